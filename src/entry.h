#ifndef ENTRY_H
#define ENTRY_H

/*
 * The table of requests that this host accepted from callers. It takes each one
 * from arrival through reservation of a slot, claim of its idempotency key and
 * dispatch to the verdict. Only the host that accepted a request dispatches it.
 */

#include "claim.h"
#include "membership.h"
#include "route.h"

/*
 *	RESERVING -> WAITING -> CLAIMING -> CONNECTING -> DISPATCHED -> free
 *
 * CLAIMING occurs only with an idempotency key. The states from RESERVING to
 * CONNECTING may return to RESERVING, as nothing has been sent to an endpoint,
 * or go to SEALING, to abandon a request with a key. The step to DISPATCHED is
 * irrevocable. RESUMING reads a stream that broke, or the answer of another
 * dispatch with the same key.
 */
typedef enum entry_state {
	ENTRY_FREE = 0,
	ENTRY_RESERVING,
	ENTRY_WAITING,
	ENTRY_CLAIMING,
	ENTRY_CONNECTING,
	ENTRY_DISPATCHED,
	ENTRY_RESUMING,
	ENTRY_QUERYING_OUTCOME, /* asking the key's witnesses for the outcome of
				   another dispatch with the same key */
	ENTRY_SEALING, /* making "not run" certain at the key's witnesses */
	ENTRY_CLOSING, /* answered; the key's witnesses are being informed */
	ENTRY_STATE_COUNT
} entry_state_t;

typedef struct entry {
	entry_state_t state;
	uint32_t generation;
	pimento_reqid_t id;
	/* as submitted, but with its pointer key set to NULL */
	pimento_request_t request;
	pimento_usec_t arrived_at;
	pimento_usec_t deadline;
	pimento_usec_t wake_at; /* next time-out of the entry */
	pimento_usec_t reserve_due; /* next time-out of the reservation */
	/* Reservation of a slot at an endpoint, made with the endpoint's owner. */
	uint32_t round; /* sequence number of the current reservation, from 1 */
	pimento_id_t endpoint;
	/* of the endpoint when the slot was requested, see route.h */
	uint64_t endpoint_identity;
	pimento_id_t owner; /* 0: neither a reservation nor a slot is held */
	/* number of owners tried before this one, or an OWNER_HOPS_* value */
	uint8_t hops;
	uint64_t epoch; /* epoch of the owner when it granted the slot */
	/*
	 * when the owner was last sent a request; while RESUMING: nonzero until
	 * the retry is sent
	 */
	pimento_usec_t requested_at;
	pimento_usec_t last_reply_at; /* last reply of the owner; 0: none */
	pimento_usec_t grant_expires_at; /* 0: no grant is held */
	route_retry_t retry; /* refusals of the request by owners */
	uint32_t owner_changes; /* refusals because the owner had changed */
	/* when the request first found no reachable endpoint; 0: never */
	pimento_usec_t unreachable_since;
	/* times that the unanswered reservation was sent again */
	uint32_t resends;
	/* retry delay to report to the caller if the request fails */
	pimento_usec_t retry_after;
	/* Dispatch to the endpoint. */
	pimento_usec_t sent_at;
	pimento_usec_t first_token_at; /* 0: none has arrived */
	pimento_usec_t last_token_at;
	pimento_usec_t unstreamed_span; /* from dispatch to a model's answer
					   that came in one piece; 0: none */
	pimento_usec_t progress_sent_at; /* last progress report to the owner */
	uint32_t tokens; /* tokens of the answer so far */
	uint32_t resumes; /* times that the stream was resumed */
	bool caller_disconnected;
	/* Idempotency key of the request. */
	claim_t *claim; /* NULL without a key */
	pimento_key_t key;
	int seal_error; /* error to report when SEALING ends */
	/* Stream to read in RESUMING. */
	pimento_id_t resume_endpoint;
	pimento_reqid_t resume_stream;
} entry_t;

typedef struct entry_options {
	pimento_id_t self;
	uint64_t incarnation;
	uint32_t requests_max;
} entry_options_t;

/* Counters of request outcomes, for metrics. */
typedef struct entry_counters {
	uint64_t accepted;
	uint64_t dispatched;
	uint64_t done;
	uint64_t refused[3]; /* indexed by pimento_verdict_t */
	uint64_t retried;
	uint64_t resumed;
	uint64_t replayed;
	uint64_t callers_disconnected; /* callers that disconnected */
} entry_counters_t;

typedef struct entry_table {
	entry_options_t options;
	route_t *route;
	membership_t *membership;
	outbox_t *out;
	entry_t *entries;
	uint32_t *free_list;
	uint32_t free_count;
	uint32_t active;
	uint32_t high_water; /* entries from this index on were never used */
	uint64_t next_id;
	uint64_t next_sequence; /* next free number for claim messages */
	double retry_budget; /* number of retries that may be made now */
	pimento_usec_t next_wake; /* earliest wake_at of all entries */
	pimento_action_t *actions; /* ring buffer of actions to perform */
	uint32_t action_head;
	uint32_t action_count;
	uint32_t action_capacity;
	entry_counters_t counters;
} entry_table_t;

/*
 * route, membership and out are borrowed and must outlive the table. Returns 0
 * or PIMENTO_ENOMEM.
 */
int entry_init(entry_table_t *table, const entry_options_t *options,
	       route_t *route, membership_t *membership, outbox_t *out);
void entry_finish(entry_table_t *table);

/*
 * Accepts a request and starts to reserve a slot for it. `witnesses` is NULL for
 * a request without a key; `age` is the key's age, or CLAIM_AGE_UNKNOWN. Returns
 * 0, PIMENTO_EFULL or PIMENTO_ENOMEM, or PIMENTO_EINVAL for unusable witnesses.
 */
int entry_submit(entry_table_t *table, pimento_usec_t now,
		 const pimento_request_t *request, pimento_key_t key,
		 const witness_set_t *witnesses, pimento_usec_t age,
		 pimento_handle_t *handle, pimento_reqid_t *id);

/* See pimento_host_commit(). */
int entry_commit(entry_table_t *table, pimento_usec_t now,
		 pimento_handle_t handle);
/* See pimento_host_event(). */
void entry_event(entry_table_t *table, pimento_usec_t now,
		 pimento_handle_t handle, const pimento_event_t *event);

/*
 * Processes MESSAGE_GRANT, _WAIT, _REFUSE and _WITNESS. Returns 0, or
 * PIMENTO_EINVAL for another kind of message.
 */
int entry_receive(entry_table_t *table, pimento_usec_t now, pimento_id_t from,
		  const message_t *message);

/*
 * To be called after a change of hosts or owners. Moves reservations to the new
 * owners of their endpoints, and reports slots in use to them.
 */
void entry_owners_changed(entry_table_t *table, pimento_usec_t now);

/* Refuses all requests that have not been dispatched, with this error. */
void entry_refuse_waiting(entry_table_t *table, pimento_usec_t now, int error);

void entry_tick(entry_table_t *table, pimento_usec_t now);

/* Removes the next action from the queue; false if the queue is empty. */
bool entry_next_action(entry_table_t *table, pimento_action_t *action);

#endif
