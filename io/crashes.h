#ifndef CRASHES_H
#define CRASHES_H

/*
 * Finds out which requests were under way at an endpoint when its process ended;
 * that is evidence about their prompts' parts, see src/quarantine.h. A connection
 * that breaks does not tell: the endpoint has ended once new connections are
 * refused and no peer reaches it, or once a new process has taken its place. It
 * lives if a connection that was opened since then stays open for a moment: a
 * process that ends may accept connections for some milliseconds more.
 */

#include "trials.h"

#include "../src/registry.h"

struct attempt;
struct exchange;
struct gateway;

/* A request whose connection broke at an endpoint that may have ended. */
typedef struct crash_candidate {
	registry_endpoint_t *endpoint; /* held */
	uint32_t incarnation;
	uint32_t process; /* for quarantine_end_t */
	pimento_usec_t broke_at;
	pimento_usec_t reached_at; /* a connection opened since; 0: none did */
	struct exchange *request; /* NULL: it is over */
	uint64_t fingerprint; /* of the request */
	trial_t trials[QUARANTINE_KINDS]; /* that it was */
	bool begun; /* its answer was well under way */
	uint32_t part_count;
	uint64_t parts[DIALECT_PARTS_MAX];
} crash_candidate_t;

typedef struct crashes {
	crash_candidate_t *candidates;
	uint32_t count;
	uint32_t size;
	uint64_t ended; /* endpoints found to have ended */
	uint64_t requests; /* that were under way there */
} crashes_t;

void crashes_finish(crashes_t *crashes);

/* True if the answer of the attempt did not crash the endpoint by beginning. */
bool crashes_has_begun(const struct exchange *exchange,
		       const struct attempt *attempt, pimento_usec_t now);
/* Connections that broke under the request and may mean an end; not known yet. */
uint32_t crashes_count_undecided(const crashes_t *crashes,
				 uint64_t fingerprint);
/* The exchange is over. */
void crashes_forget(struct exchange *exchange);

/* The connection of an attempt of the request broke. */
void crashes_broken(struct exchange *exchange, const struct attempt *attempt,
		    pimento_usec_t now);

/* A connection to the endpoint opened that was begun at `since`. */
void crashes_reached(struct gateway *gateway, registry_endpoint_t *endpoint,
		     pimento_usec_t since);
/* A connection to the endpoint ended while it was idle. */
void crashes_lapsed(struct gateway *gateway, registry_endpoint_t *endpoint);
/* New connections are refused, and no peer reaches the endpoint either. */
void crashes_ended(struct gateway *gateway, registry_endpoint_t *endpoint,
		   pimento_usec_t now);

/* Call some times a second. */
void crashes_tick(struct gateway *gateway, pimento_usec_t now);

#endif
