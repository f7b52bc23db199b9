#ifndef SLOW_START_H
#define SLOW_START_H

/*
 * Slow start: an endpoint whose process was started a short time ago is slow at
 * first, yet it looks idle to all hosts at once. Until the time that its record
 * states, a token bucket bounds the requests that begin there: as many at once as
 * may be in flight, then as many as an endpoint at that limit takes on average. It
 * applies as long as the service has endpoints that are past their start. The
 * endpoint's owner counts for all hosts; see grants.h.
 */

#include "registry.h"

/* True if the endpoint is starting and its service has one that is not. */
bool slow_start_applies(const registry_t *registry,
			const registry_endpoint_t *endpoint,
			pimento_usec_t now);

/*
 * For the owner of an endpoint in slow start: true if the next request may
 * begin there. Answers that are short or fail at once free their slot so early
 * that the number in flight does not bound the number of requests.
 */
bool slow_start_may_begin(registry_t *registry, registry_endpoint_t *endpoint,
			  pimento_usec_t now);

/*
 * For other hosts: the owner has not granted a slot at once. If the endpoint is
 * starting, further requests wait for slots elsewhere for a while; they would
 * all line up at the endpoint that looks idle.
 */
void slow_start_refused(registry_endpoint_t *endpoint, pimento_usec_t now);

/* For the owner: a request begins at the endpoint. */
void slow_start_record(registry_t *registry, registry_endpoint_t *endpoint,
		       pimento_usec_t now);

#endif
