#ifndef PLACEMENT_H
#define PLACEMENT_H

/*
 * Chooses the endpoint for a request: of those with a free place, the one that
 * is expected to answer first.
 */

#include "registry.h"
#include "grants.h"

#define PLACEMENT_TRIED_MAX 8

typedef struct placement_request {
	pimento_id_t service;
	uint32_t prompt_tokens; /* tokens */
	uint32_t answer_tokens; /* tokens, as the caller expects; 0 unknown */
	pimento_usec_t time_left; /* until the caller or the route gives up */
	pimento_usec_t objective; /* from its arrival to the answer; 0 none */
	pimento_usec_t first_event_within; /* to be on time; 0 or less: any */
	pimento_usec_t
		gap_objective; /* longest good pause of a stream; 0 any */
	bool engine_stream; /* a stream from a model engine */
	bool overdue; /* cannot be on time any more */
	const char *datacentre; /* of this host; nearer endpoints are cheaper */
	const pimento_id_t *tried; /* endpoints that had this request */
	uint32_t tried_count;
	const pimento_id_t *queued_at; /* endpoints in whose lines it stands */
	uint32_t queued_at_count;
	bool may_queue; /* full ones too: it is to wait at the best of them */
	uint64_t random_bits; /* random, to spread hosts that see the same */
} placement_request_t;

/* Why there is no endpoint. */
typedef enum placement_result {
	PLACEMENT_FOUND,
	PLACEMENT_FULL, /* some exist, but have no free place */
	PLACEMENT_NONE /* none is listed, or each was tried */
} placement_result_t;

/*
 * Sets endpoint if PLACEMENT_FOUND. An endpoint that is ejected is used only
 * when all are, since it may work again, and for one request at a time.
 */
placement_result_t placement_choose(registry_t *registry,
				    const placement_request_t *request,
				    pimento_usec_t now,
				    registry_endpoint_t **endpoint);

/*
 * True if a place given there is to be taken: the request can be served well
 * there, or nowhere else either. What the owner says with the place may be the
 * first that this host hears of the endpoint's speed.
 */
bool placement_accepts_grant(registry_t *registry,
			     const placement_request_t *request,
			     const registry_endpoint_t *endpoint,
			     pimento_usec_t now);

/* Requests that an endpoint of the service may have in flight. */
uint32_t placement_in_flight_limit(const registry_service_t *service,
				   const registry_endpoint_t *endpoint);

/* Places of a service: taken counts requests in flight anywhere. */
typedef struct placement_headroom {
	uint32_t capacity;
	uint32_t in_flight;
} placement_headroom_t;

placement_headroom_t placement_headroom(const registry_t *registry,
					pimento_id_t service,
					pimento_usec_t now);

#endif
