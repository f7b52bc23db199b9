#ifndef ENTRY_H
#define ENTRY_H

/*
 * The entry's side of requests: from arrival through reservation, claim and
 * dispatch to the verdict. Only the entry that holds a request dispatches it.
 */

#include "claim.h"
#include "membership.h"
#include "route.h"

/*
 *	RESERVING -> WAITING -> CLAIMING -> CONNECTING -> DISPATCHED -> free
 *
 * CLAIMING only with a key. RESERVING to CONNECTING may go back to RESERVING
 * (nothing has left this process) or to SEALING (giving up with a key). The
 * step to DISPATCHED is one-way. FOLLOWING hands over the answer of another
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
	ENTRY_QUERYING_OUTCOME, /* another dispatch's outcome, at the witnesses */
	ENTRY_SEALING,
	ENTRY_CLOSING, /* answered; the witnesses are still being told */
	ENTRY_STATE_COUNT
} entry_state_t;

typedef struct entry {
	entry_state_t state;
	uint32_t generation;
	pimento_reqid_t id;
	pimento_request_t request; /* its key pointer is not kept */
	pimento_usec_t arrived_at;
	pimento_usec_t deadline;
	pimento_usec_t wake_at;
	pimento_usec_t reserve_due; /* reservation: when to look again */
	/* reservation */
	uint32_t round;
	pimento_id_t endpoint;
	pimento_id_t owner; /* 0: no place or slot is held */
	uint8_t hops;
	uint64_t epoch;
	pimento_usec_t requested_at; /* when the owner was last asked */
	pimento_usec_t last_reply_at; /* when it last answered; 0 never */
	pimento_usec_t grant_expires_at; /* 0: no grant is held */
	route_retry_t retry; /* what owners said no so far */
	uint32_t owner_changes; /* times that the owner had changed */
	pimento_usec_t
		unreachable_since; /* since when no endpoint was; 0 never */
	uint32_t resends; /* of one unanswered reservation */
	pimento_usec_t retry_after;
	/* dispatch */
	pimento_usec_t sent_at;
	pimento_usec_t first_token_at;
	pimento_usec_t last_token_at;
	pimento_usec_t
		unstreamed_span; /* span of an answer in one piece; 0 none */
	pimento_usec_t
		progress_sent_at; /* when the owner was last told of progress */
	uint32_t tokens;
	uint32_t resumes;
	bool caller_disconnected; /* the caller left */
	/* key */
	claim_t *claim; /* NULL without a key */
	pimento_key_t key;
	int seal_error; /* error that SEALING ends in */
	pimento_id_t resume_endpoint;
	pimento_reqid_t resume_stream;
} entry_t;

typedef struct entry_options {
	pimento_id_t self;
	uint64_t incarnation;
	uint32_t requests_max;
} entry_options_t;

/* Counters of what became of requests, for metrics. */
typedef struct entry_counters {
	uint64_t accepted;
	uint64_t dispatched;
	uint64_t done;
	uint64_t refused[3]; /* by verdict */
	uint64_t retried;
	uint64_t resumed;
	uint64_t replayed;
	uint64_t callers_left;
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
	uint32_t high_water; /* entries beyond were never used */
	uint64_t next_id;
	uint64_t next_sequence;
	double retry_budget; /* retries that may still be spent */
	pimento_usec_t next_wake;
	pimento_action_t *actions; /* ring */
	uint32_t action_head;
	uint32_t action_count;
	uint32_t action_capacity;
	entry_counters_t counters;
} entry_table_t;

/* route, membership and out are borrowed. Returns 0 or PIMENTO_ENOMEM. */
int entry_init(entry_table_t *table, const entry_options_t *options,
	       route_t *route, membership_t *membership, outbox_t *out);
void entry_finish(entry_table_t *table);

/*
 * Takes a request on. witnesses is NULL without a key. Returns 0,
 * PIMENTO_EFULL or PIMENTO_ENOMEM.
 */
int entry_submit(entry_table_t *table, pimento_usec_t now,
		 const pimento_request_t *request, pimento_key_t key,
		 const witness_set_t *witnesses, pimento_usec_t age,
		 pimento_handle_t *handle, pimento_reqid_t *id);

int entry_commit(entry_table_t *table, pimento_usec_t now,
		 pimento_handle_t handle);
void entry_event(entry_table_t *table, pimento_usec_t now,
		 pimento_handle_t handle, const pimento_event_t *event);

/* MESSAGE_GRANT, _WAIT, _REFUSE, _WITNESS; others give PIMENTO_EINVAL. */
int entry_receive(entry_table_t *table, pimento_usec_t now, pimento_id_t from,
		  const message_t *message);

/* Hosts or owners changed: reservations at the wrong owner move at once. */
void entry_owners_changed(entry_table_t *table, pimento_usec_t now);

void entry_tick(entry_table_t *table, pimento_usec_t now);

/* Takes the next action; false when there is none. */
bool entry_next_action(entry_table_t *table, pimento_action_t *action);

#endif
