#ifndef SLOW_START_H
#define SLOW_START_H

/*
 * Slow start: an endpoint is slow for a while after its start, and after anything
 * else that makes it cold, yet it looks idle to all hosts at once. Until the time
 * that its record states, a token bucket bounds the requests that begin there; its
 * owner keeps it for all hosts, see grants.h.
 *
 * Load pattern: a release, the return of a data centre or a crash of many
 * endpoints, in a burst that leaves no slot free elsewhere.
 *
 * If the service states the rate that such an endpoint bears, that rate holds
 * whatever the service's other endpoints do. Only the owner's grants, or a host
 * that is alone, let requests begin: hosts that cannot reach the owner use other
 * endpoints. Two hosts may take themselves for the owner while membership
 * settles, so a new owner begins with a part of the rate, and on either side of a
 * partition the rate shrinks with the share of hosts that are live.
 *
 * Otherwise as many requests may begin at once as may be in flight, then as many
 * as an endpoint at that limit takes on average, as long as the service has
 * endpoints that are past their start.
 */

#include "registry.h"

/* True if requests that begin at the endpoint are bounded now. */
bool slow_start_applies(registry_t *registry,
			const registry_endpoint_t *endpoint,
			pimento_usec_t now);

/*
 * True if the endpoint is in slow start and its service states the rate that it
 * bears, so that no request may begin there without its owner.
 */
bool slow_start_needs_owner(registry_t *registry,
			    const registry_endpoint_t *endpoint,
			    pimento_usec_t now);

/* Records whether this host is the endpoint's owner; call some times a second. */
void slow_start_set_owner(registry_endpoint_t *endpoint, bool owner,
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
 * starting, or has stated a limit, further requests wait for slots elsewhere for a while; they would
 * all line up at the endpoint that looks idle.
 */
void slow_start_refused(registry_endpoint_t *endpoint, pimento_usec_t now);

/* For the owner: a request begins at the endpoint. */
void slow_start_record(registry_t *registry, registry_endpoint_t *endpoint,
		       pimento_usec_t now);

#endif
