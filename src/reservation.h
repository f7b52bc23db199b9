#ifndef RESERVATION_H
#define RESERVATION_H

/*
 * One request's place at one owner, from the reservation to the release, and
 * the table that finds it by the request's id.
 */

#include "queue.h"

typedef struct owner_endpoint owner_endpoint_t;

typedef enum reservation_state {
	RESERVATION_WAITING = 1,
	RESERVATION_GRANTED, /* no sign yet that it was dispatched */
	RESERVATION_RUNNING /* dispatched, said MESSAGE_PROGRESS */
} reservation_state_t;

typedef struct reservation {
	queue_item_t item; /* first member: the queue hands it back */
	message_reserve_t params;
	pimento_id_t entry;
	owner_endpoint_t *endpoint;
	reservation_state_t state;
	pimento_usec_t granted_at; /* when */
	pimento_usec_t due; /* latest start, end of lifetime or of lease */
	uint32_t prefill_ahead; /* prompt tokens in front when granted */
	uint32_t answer_tokens; /* tokens of the answer so far */
	pimento_usec_t decode_span; /* span of its making, as last said */
	bool has_first_token; /* the prompt is read */
	uint32_t due_index; /* in the owner's heap of times */
	struct reservation *next; /* in the table's chain */
	struct reservation *older; /* in the endpoint's list in flight */
	struct reservation *newer;
} reservation_t;

typedef struct reservation_table {
	reservation_t **chains;
	uint32_t size; /* a power of two */
	uint32_t count;
} reservation_table_t;

int reservation_table_init(reservation_table_t *table);
/* Frees every reservation that is left. */
void reservation_table_finish(reservation_table_t *table);

/* Returns a cleared reservation for a request that has none, or NULL. */
reservation_t *reservation_add(reservation_table_t *table,
			       pimento_reqid_t request);
reservation_t *reservation_find(const reservation_table_t *table,
				pimento_reqid_t request);
/* Frees it; it must be in no heap or list any more. */
void reservation_remove(reservation_table_t *table, reservation_t *r);

#endif
