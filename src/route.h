#ifndef ROUTE_H
#define ROUTE_H

/*
 * Endpoint selection at the entry: estimates which endpoint will finish a
 * request first, from the owners' latest summaries, the entry's own
 * measurements and the endpoints to which prompts with the same prefix were
 * sent. Also decides what follows when an owner refuses.
 */

#include "config.h"
#include "message.h"
#include "prompt_mix.h"

typedef struct route_endpoint route_endpoint_t;

typedef struct route_prefix route_prefix_t;

typedef struct route {
	pimento_random_t random;
	route_endpoint_t *endpoints; /* sorted by id, ascending */
	uint32_t count;
	uint32_t tier_count;
	/* hash table of the endpoints that prompt prefixes were sent to */
	route_prefix_t *prefixes;
	prompt_mix_t mix;
	/* when endpoints were last divided between long and short prompts */
	pimento_usec_t partitioned_at;
} route_t;

typedef struct route_query {
	config_target_t target;
	const char *target_name;
	uint8_t tier;
	pimento_usec_t time_left; /* time until the caller's deadline */
	uint32_t prompt_tokens;
	uint32_t answer_tokens;
	uint64_t prefix;
	/* endpoints whose owners have refused this request */
	const pimento_id_t *avoid;
	uint32_t avoid_count;
} route_query_t;

typedef struct route_choice {
	pimento_id_t endpoint;
	/* expected time until the answer is complete */
	pimento_usec_t expected_time;
} route_choice_t;

int route_init(route_t *route, uint64_t seed);
void route_finish(route_t *route);

/*
 * Applies the endpoints of a configuration; keeps what is known of those that
 * stay. Returns 0 or PIMENTO_ENOMEM.
 */
int route_configure(route_t *route, pimento_usec_t now,
		    const pimento_config_t *config);

/*
 * Applies an owner's summary of an endpoint. Summaries of older epochs are
 * ignored.
 */
void route_update_summary(route_t *route, pimento_usec_t now,
			  const message_summary_t *summary);

/*
 * Records the times of an answer that this host received: time to the first
 * token and decode time, as in message_release_t.
 */
void route_record_answer(route_t *route, pimento_usec_t now,
			 pimento_id_t endpoint, uint32_t prompt_tokens,
			 uint32_t answer_tokens, pimento_usec_t first_token,
			 pimento_usec_t decode);

/*
 * Records that a prompt with this prefix was dispatched to the endpoint, which
 * probably caches it.
 */
void route_record_prefix(route_t *route, pimento_usec_t now,
			 pimento_id_t endpoint, uint64_t prefix,
			 uint32_t prompt_tokens);

/*
 * Returns a hash of an endpoint's target and address in the configuration in
 * force, or 0 if that has no such endpoint.
 */
uint64_t route_endpoint_identity(const route_t *route, pimento_id_t endpoint);

/* Sets whether an endpoint is leaving. Leaving endpoints are never picked. */
void route_set_leaving(route_t *route, pimento_id_t endpoint, bool leaving);

/* The endpoint refused a connection: it is not picked for a short time. */
void route_endpoint_failed(route_t *route, pimento_usec_t now,
			   pimento_id_t endpoint);

/*
 * Picks the endpoint expected to finish the request first. Returns 0, or
 * PIMENTO_EUNREACHABLE if no endpoint is usable.
 */
int route_pick(route_t *route, pimento_usec_t now, const route_query_t *query,
	       route_choice_t *choice);

/*
 * What an entry remembers of the refusals of one request, from its first to its
 * last reservation. Must be zeroed, or set up by route_retry_init(), before the
 * first refusal.
 */
#define ROUTE_ATTEMPTS_MAX 16

typedef struct route_retry {
	/* endpoints whose owner refused */
	pimento_id_t refused[ROUTE_ATTEMPTS_MAX];
	uint32_t refused_count;
	/* endpoints that got a final attempt */
	pimento_id_t final[ROUTE_ATTEMPTS_MAX];
	uint32_t final_count;
	/* start of the current round of final attempts */
	pimento_usec_t final_since;
	/* refusals with PIMENTO_ESTALE, because the owner had changed */
	uint32_t owner_changes;
	int reason; /* reason of the first refusal */
	pimento_usec_t retry_after; /* smallest retry_after of all refusals */
} route_retry_t;

void route_retry_init(route_retry_t *retry);

/*
 * Decides what follows when an owner refused the reservation at this endpoint.
 * Returns 0 to reserve again, at choice->endpoint with *hops in the
 * reservation. query->time_left is the time left now; query->avoid is not used.
 * Any other return value is the error of the final answer, which the caller
 * gets at once: the request was not run and may be retried after
 * retry->retry_after.
 *
 * Endpoints are tried while one seems able to finish in time. After that, if
 * the request is not of the least urgent tier and could finish within
 * client_timeout (the time limit that it arrived with) on an idle endpoint,
 * each owner gets a final attempt (OWNER_HOPS_FINAL): it accepts the request,
 * or refuses it together with everything of lower priority. So when the request
 * is rejected, nothing of lower priority is waiting at any reachable owner.
 */
int route_handle_refusal(route_t *route, pimento_usec_t now,
			 route_retry_t *retry, const route_query_t *query,
			 pimento_usec_t client_timeout, pimento_id_t endpoint,
			 const message_refuse_t *refuse, route_choice_t *choice,
			 uint8_t *hops);

#endif
