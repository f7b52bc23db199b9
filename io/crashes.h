#ifndef CRASHES_H
#define CRASHES_H

/*
 * Finds out which requests were under way at an endpoint when its process ended,
 * and keeps requests with prompt parts that crash endpoints from them. A
 * connection that breaks does not tell: the endpoint has ended once new
 * connections are refused and no peer reaches it, or once a new process has
 * taken its place. What follows for a part is decided in src/quarantine.h.
 */

#include "dialect.h"

#include "../src/packet.h"
#include "../src/registry.h"

struct exchange;
struct gateway;

/* A request whose connection broke at an endpoint that may have ended. */
typedef struct crash_candidate {
	registry_endpoint_t *endpoint; /* held */
	uint32_t incarnation;
	uint32_t process; /* for quarantine_end_t */
	pimento_usec_t broke_at;
	struct exchange *request; /* NULL: it is over */
	uint64_t trial_part; /* of which it was a trial; 0: of none */
	uint64_t trial_ticket;
	bool begun; /* its answer was well under way */
	uint32_t part_count;
	uint64_t parts[DIALECT_PARTS_MAX];
} crash_candidate_t;

/* A request's trial while one of its parts is not clear. */
typedef struct crash_trial {
	uint64_t part;
	uint64_t ticket; /* 0: none was asked for */
	pimento_usec_t asked_at;
	pimento_usec_t until; /* it must be sent before; 0: not granted */
	bool granted;
	bool denied;
} crash_trial_t;

/* What may be done with a request. */
typedef enum crash_decision {
	CRASH_SEND,
	CRASH_WAIT, /* for the outcome of another one */
	CRASH_REJECT
} crash_decision_t;

typedef struct crashes {
	quarantine_t quarantine;
	crash_candidate_t *candidates;
	uint32_t count;
	uint32_t size;
	uint64_t ended; /* endpoints found to have ended */
	uint64_t requests; /* that were under way there */
	uint64_t trials; /* granted to requests of this host */
	uint64_t rejected; /* requests */
	/* Sends a message about a trial to another host. */
	void (*send)(void *context, uint32_t address,
		     const packet_trial_t *trial);
	void *send_context;
} crashes_t;

void crashes_init(crashes_t *crashes, const quarantine_limits_t *limits);
void crashes_finish(crashes_t *crashes);

/*
 * To be asked before a request waits for a slot and again before it is sent;
 * asks the owner of its part for a trial where that is needed.
 */
crash_decision_t crashes_check(struct exchange *exchange, pimento_usec_t now);
/* The request is being sent. */
void crashes_sent(struct exchange *exchange);
/* Its answer is whole, or has gone on for a while. */
void crashes_answered(struct exchange *exchange, pimento_usec_t now);
/* True if the answer under way has gone on for long enough for that. */
bool crashes_has_begun(const struct exchange *exchange, pimento_usec_t now);
/* The exchange is over. */
void crashes_forget(struct exchange *exchange);

/* A message of another host. */
void crashes_receive(struct gateway *gateway, const packet_trial_t *trial,
		     pimento_usec_t now);

/* The connection of the request's attempt broke. */
void crashes_broken(struct exchange *exchange, pimento_usec_t now);

/* A connection to the endpoint opened that was begun at `since`. */
void crashes_reached(struct gateway *gateway, registry_endpoint_t *endpoint,
		     pimento_usec_t since);
/* New connections are refused, and no peer reaches the endpoint either. */
void crashes_ended(struct gateway *gateway, registry_endpoint_t *endpoint,
		   pimento_usec_t now);

/* Call some times a second. */
void crashes_tick(struct gateway *gateway, pimento_usec_t now);

#endif
