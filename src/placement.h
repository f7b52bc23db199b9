#ifndef PLACEMENT_H
#define PLACEMENT_H

/*
 * Selects the endpoint for a request: among the endpoints of its service that
 * have a free slot, the one with the lowest expected time to the first event of
 * the answer, weighted by load, failures and distance.
 *
 * Load pattern: a third of the endpoints is several times slower, and there is
 * more work than the fast ones can do. Short answers then go to slow endpoints
 * that complete them in time, and long ones have the fast endpoints.
 */

#include "catalog.h"
#include "registry.h"
#include "grants.h"

#define PLACEMENT_TRIED_MAX 8

typedef struct placement_request {
	pimento_id_t service;
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* length that the caller expects; 0 unknown */
	/* time until the caller or the route times out */
	pimento_usec_t time_left;
	/*
	 * objective for the time from arrival to the start of the answer; 0
	 * none
	 */
	pimento_usec_t objective;
	/*
	 * time left until the first event misses the objective; <= 0: no
	 * limit
	 */
	pimento_usec_t first_event_within;
	/* longest acceptable gap between events of a stream; 0 no limit */
	pimento_usec_t gap_objective;
	bool engine_stream; /* the answer is a stream from a model engine */
	bool overdue; /* the request can no longer meet its objective */
	/* this host does not know the owners, which count slots for all hosts */
	bool unowned;
	/* there is no other host, so that this one owns all endpoints */
	bool alone;
	/* regions that the route, and the account, are limited to; or NULL */
	const catalog_regions_t *route_regions;
	const catalog_regions_t *account_regions;
	/* data centre of this host; endpoints in it are preferred */
	const char *datacentre;
	/* endpoints that the request was already sent to */
	const pimento_id_t *tried;
	uint32_t tried_count;
	/* endpoints whose wait queues hold the request */
	const pimento_id_t *queued_at;
	uint32_t queued_at_count;
	/* also consider full endpoints; the request would wait in the queue there */
	bool may_queue;
	/* random, so that hosts with equal views choose different endpoints */
	uint64_t random_bits;
} placement_request_t;

/* Result of the selection. */
typedef enum placement_result {
	PLACEMENT_FOUND,
	/* usable endpoints exist, but none that suits has a free slot */
	PLACEMENT_FULL,
	PLACEMENT_NONE, /* no usable endpoint is listed, or all were tried */
	/* all usable endpoints are in evacuated data centres */
	PLACEMENT_EVACUATED,
	/* endpoints are usable, none in a region that the request may go to */
	PLACEMENT_NO_REGION
} placement_result_t;

/*
 * Sets *endpoint if it returns PLACEMENT_FOUND. Ejected endpoints are used only
 * when all are ejected, as one may have recovered, and for one request at a
 * time.
 */
placement_result_t placement_choose(registry_t *registry,
				    const placement_request_t *request,
				    pimento_usec_t now,
				    registry_endpoint_t **endpoint);

/*
 * True if a slot that was granted at the endpoint is to be used: the request
 * fits this endpoint well, or fits no other endpoint better. Checked at the
 * grant, as the owner's report that comes with it may be the first information
 * that this host has about the endpoint's speed.
 */
bool placement_accepts_grant(registry_t *registry,
			     const placement_request_t *request,
			     const registry_endpoint_t *endpoint,
			     pimento_usec_t now);

/* Maximum number of requests in flight at an endpoint of the service. */
uint32_t placement_in_flight_limit(const registry_service_t *service,
				   const registry_endpoint_t *endpoint);

/*
 * Slots of a service's endpoints, and requests in flight there from all
 * hosts.
 */
typedef struct placement_headroom {
	uint32_t capacity;
	uint32_t in_flight;
} placement_headroom_t;

/* Usable endpoints of a service, as this host sees them. */
typedef struct placement_view {
	uint32_t endpoints;
	uint32_t ejected;
	uint32_t full; /* not ejected, and without a free slot */
} placement_view_t;

/*
 * When the backoff from the first endpoint ends, if this host backs off from all
 * of the service; otherwise 0.
 */
pimento_usec_t placement_backoff_end(const registry_t *registry,
				     pimento_id_t service, pimento_usec_t now);

placement_view_t placement_view(registry_t *registry, pimento_id_t service,
				pimento_usec_t now);

placement_headroom_t placement_headroom(const registry_t *registry,
					pimento_id_t service,
					pimento_usec_t now);

#endif
