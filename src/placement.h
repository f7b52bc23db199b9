#ifndef PLACEMENT_H
#define PLACEMENT_H

/*
 * Chooses the endpoint for a request: of those with a free place, the one that
 * is expected to answer first.
 */

#include "directory.h"
#include "grants.h"

#define PLACEMENT_TRIED_MAX 8

typedef struct placement_request {
	pimento_id_t service;
	uint32_t prompt; /* tokens */
	uint32_t answer; /* tokens, as the caller expects; 0 unknown */
	pimento_usec_t left; /* until the caller or the route gives up */
	pimento_usec_t goal; /* from its arrival to the answer; 0 none */
	pimento_usec_t begin_within; /* to be on time; 0 or less: any */
	pimento_usec_t gap_goal; /* longest good pause of a stream; 0 any */
	bool engine; /* a stream from a model engine */
	bool late; /* cannot be on time any more */
	const char *datacentre; /* of this host; nearer endpoints are cheaper */
	const pimento_id_t *tried; /* endpoints that had this request */
	uint32_t tried_count;
	const pimento_id_t *asked; /* endpoints in whose lines it stands */
	uint32_t asked_count;
	bool in_line; /* full ones too: it is to wait at the best of them */
	uint64_t draw; /* random, to spread hosts that see the same */
} placement_request_t;

/* Why there is no endpoint. */
typedef enum placement_verdict {
	PLACEMENT_FOUND,
	PLACEMENT_FULL, /* some exist, but have no free place */
	PLACEMENT_NONE /* none is listed, or each was tried */
} placement_verdict_t;

/*
 * Sets endpoint if PLACEMENT_FOUND. An endpoint that is ejected is used only
 * when all are, since it may work again, and for one request at a time.
 */
placement_verdict_t placement_choose(directory_t *directory,
				     const placement_request_t *request,
				     pimento_usec_t now,
				     directory_endpoint_t **endpoint);

/*
 * True if a place given there is to be taken: the request can be served well
 * there, or nowhere else either. What the owner says with the place may be the
 * first that this host hears of the endpoint's speed.
 */
bool placement_suits(directory_t *directory, const placement_request_t *request,
		     const directory_endpoint_t *endpoint, pimento_usec_t now);

/* Requests that an endpoint of the service may have in flight. */
uint32_t placement_places(const directory_service_t *service,
			  const directory_endpoint_t *endpoint);

/* Places of a service: taken counts requests in flight anywhere. */
typedef struct placement_room {
	uint32_t places;
	uint32_t taken;
} placement_room_t;

placement_room_t placement_room(const directory_t *directory,
				pimento_id_t service, pimento_usec_t now);

#endif
