#ifndef METRICS_H
#define METRICS_H

/*
 * The metrics page of an entry host, in Prometheus' text format. Counters
 * count from the start of the process. docs/OPERATIONS.md tells what each
 * means.
 */

#include "gateway.h"
#include "mesh.h"

typedef struct metrics_sources {
	const gateway_t *gateway;
	const mesh_t *mesh;
	uint64_t store_calls;
	uint64_t store_errors;
	pimento_usec_t now;
} metrics_sources_t;

void metrics_write(strbuf_t *text, const metrics_sources_t *sources);

#endif
