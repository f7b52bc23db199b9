#ifndef ROUTE_H
#define ROUTE_H

/*
 * The entry's side of the choice: which endpoint is expected to finish this
 * request first, from what owners said last, what this host measured itself
 * and where a prompt's prefix was sent before.
 */

#include "config.h"
#include "message.h"
#include "prompt_mix.h"

typedef struct route_endpoint route_endpoint_t;

typedef struct route_prefix route_prefix_t;

typedef struct route {
	pimento_random_t random;
	route_endpoint_t *endpoints; /* by id, ascending */
	uint32_t count;
	uint32_t tier_count;
	route_prefix_t *prefixes; /* where prompts were sent before */
	prompt_mix_t mix;
	pimento_usec_t
		partitioned_at; /* when endpoints were last divided by it */
} route_t;

typedef struct route_query {
	config_target_t target;
	const char *target_name;
	uint8_t tier;
	pimento_usec_t time_left; /* span left */
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
void route_update_summary(route_t *route, pimento_usec_t now,
			  const message_summary_t *summary);

/* What this host measured of one answer; spans as in message_release_t. */
void route_record_answer(route_t *route, pimento_usec_t now,
			 pimento_id_t endpoint, uint32_t prompt_tokens,
			 uint32_t answer_tokens, pimento_usec_t first_token,
			 pimento_usec_t decode);

/* A prompt with this prefix was dispatched there, so it is probably cached. */
void route_record_prefix(route_t *route, pimento_usec_t now,
			 pimento_id_t endpoint, uint64_t prefix,
			 uint32_t prompt_tokens);

/* Leaving or unreachable endpoints are never picked. */
void route_set_leaving(route_t *route, pimento_id_t endpoint, bool leaving);

/* The endpoint refused a connection: avoid it for a while. */
void route_endpoint_failed(route_t *route, pimento_usec_t now,
			   pimento_id_t endpoint);

/* Returns 0, or PIMENTO_EUNREACHABLE when no endpoint is left. */
int route_pick(route_t *route, pimento_usec_t now, const route_query_t *query,
	       route_choice_t *choice);

/*
 * What an entry keeps of one request's refusals. Cleared memory, or
 * route_retry_init(), before the first; good for all of the request's life.
 */
#define ROUTE_ATTEMPTS_MAX 16

typedef struct route_retry {
	pimento_id_t refused[ROUTE_ATTEMPTS_MAX]; /* endpoints that said no */
	uint32_t refused_count;
	pimento_id_t
		final[ROUTE_ATTEMPTS_MAX]; /* ... and no for the last time */
	uint32_t final_count;
	pimento_usec_t
		final_since; /* the first of these; old ones do not count */
	uint32_t owner_changes; /* refusals because the owner had changed */
	int reason; /* of the first refusal */
	pimento_usec_t retry_after; /* the least that was said */
} route_retry_t;

void route_retry_init(route_retry_t *retry);

/*
 * An owner refused the reservation at this endpoint. Returns 0 to reserve once
 * more, as *choice says, with *hops in the reservation; query->patience is the
 * span left now, and its avoid list is not used. Otherwise the request is given
 * up: the caller gets its final answer at once, the returned error, "not run"
 * and retry->retry_after.
 *
 * While an endpoint seems able to finish in time it is tried. Then, if the
 * request is not of the least urgent tier and could finish in time on an idle
 * endpoint (patience is the span it came with), each owner gets a last visit
 * (OWNER_HOPS_FINAL), at which it takes the request or sheds everything less
 * urgent with it. So nothing less urgent waits at any owner within reach when
 * the request is given up.
 */
int route_refused(route_t *route, pimento_usec_t now, route_retry_t *retry,
		  const route_query_t *query, pimento_usec_t client_timeout,
		  pimento_id_t endpoint, const message_refuse_t *refuse,
		  route_choice_t *choice, uint8_t *hops);

#endif
