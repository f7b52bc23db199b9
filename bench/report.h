#ifndef REPORT_H
#define REPORT_H

/* The bench's table on standard output, and the same as TSV. */

#include "world.h"

#include <stdio.h>

typedef struct report_row {
	const char *workload;
	const char *scenario;
	double load;
	const char *policy;
	uint64_t seed_first;
	uint64_t seed_last;
	uint32_t tiers;
	const workload_t *load_of;
	scenario_t kind;
	world_stats_t stats; /* summed over the seeds */
} report_row_t;

/* Adds one run's counts to a row's. */
void report_add(world_stats_t *sum, const world_stats_t *one);

void report_head(FILE *table, FILE *tsv);
void report_line(FILE *table, FILE *tsv, const report_row_t *row);

/* The same row by class of request, and by engine. */
void report_classes(FILE *table, const report_row_t *row,
		    const workload_t *workload);

/* Requests answered in time of all that came, in percent; 100 for none. */
double report_goodput(const tier_count_t *count);

#endif
