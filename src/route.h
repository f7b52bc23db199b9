#ifndef ROUTE_H
#define ROUTE_H

/*
 * The entry's side of the choice: which endpoint is expected to finish this
 * request first, from what owners said last, what this host measured itself
 * and where a prompt's prefix was sent before.
 */

#include "config.h"
#include "message.h"

typedef struct route_endpoint route_endpoint_t;

typedef struct route {
	pimento_random_t random;
	route_endpoint_t *endpoints;
	uint32_t count;
} route_t;

typedef struct route_query {
	config_target_t target;
	const char *target_name;
	uint8_t tier;
	pimento_usec_t patience; /* span left */
	uint32_t prompt_tokens;
	uint32_t answer_tokens;
	uint64_t prefix;
	const pimento_id_t *avoid; /* endpoints that refused already */
	uint32_t avoid_count;
} route_query_t;

typedef struct route_choice {
	pimento_id_t endpoint;
	pimento_usec_t expected; /* span until the whole answer */
} route_choice_t;

int route_init(route_t *route, uint64_t seed);
void route_finish(route_t *route);

/* Takes over the endpoints of a configuration; keeps what is known of those
 * that stay. Returns 0 or PIMENTO_ENOMEM. */
int route_configure(route_t *route, pimento_usec_t now,
		    const pimento_config_t *config);

/* What an owner said; older epochs of the same endpoint are ignored. */
void route_learn(route_t *route, pimento_usec_t now,
		 const message_summary_t *summary);

/* What this host measured of one answer; spans as in message_release_t. */
void route_observe(route_t *route, pimento_usec_t now, pimento_id_t endpoint,
		   uint32_t prompt_tokens, uint32_t answer_tokens,
		   pimento_usec_t first_token, pimento_usec_t decode);

/* A prompt with this prefix was dispatched there, so it is probably cached. */
void route_placed(route_t *route, pimento_usec_t now, pimento_id_t endpoint,
		  uint64_t prefix, uint32_t prompt_tokens);

/* Leaving or unreachable endpoints are never picked. */
void route_leaving(route_t *route, pimento_id_t endpoint, bool leaving);

/* The endpoint refused a connection: avoid it for a while. */
void route_failed(route_t *route, pimento_usec_t now, pimento_id_t endpoint);

/* Returns 0, or PIMENTO_EUNREACHABLE when no endpoint is left. */
int route_pick(route_t *route, pimento_usec_t now, const route_query_t *query,
	       route_choice_t *choice);

#endif
