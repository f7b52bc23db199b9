#ifndef RESERVATION_H
#define RESERVATION_H

/*
 * A request's reservation at an owner, from MESSAGE_RESERVE to its release, and
 * the hash table that finds it by request id.
 */

#include "queue.h"

typedef struct owner_endpoint owner_endpoint_t;

typedef enum reservation_state {
	RESERVATION_WAITING = 1,
	RESERVATION_GRANTED, /* granted, no MESSAGE_PROGRESS received yet */
	RESERVATION_RUNNING /* dispatched: MESSAGE_PROGRESS received */
} reservation_state_t;

typedef struct reservation {
	/* first member: queue items are cast to reservation_t */
	queue_item_t item;
	message_reserve_t params;
	pimento_id_t entry;
	owner_endpoint_t *endpoint;
	reservation_state_t state;
	pimento_usec_t granted_at;
	/*
	 * while waiting, the latest start; when granted, the end of the grant's
	 * lifetime; when running, the end of the lease
	 */
	pimento_usec_t due;
	/* unread prompt tokens of earlier requests when this one was granted */
	uint32_t prefill_ahead;
	uint32_t answer_tokens; /* answer tokens generated so far */
	/* decode time, as last reported by the entry */
	pimento_usec_t decode_span;
	bool has_first_token; /* first token came, prompt has been read */
	uint32_t due_index; /* index in owner_t.due */
	struct reservation *next; /* next reservation in the hash chain */
	/* reservation granted before it, in the endpoint's list in_flight */
	struct reservation *older;
	struct reservation *newer;
} reservation_t;

typedef struct reservation_table {
	reservation_t **chains;
	uint32_t size; /* number of hash chains, a power of two */
	uint32_t count;
} reservation_table_t;

int reservation_table_init(reservation_table_t *table);
/* Frees the table and every reservation still in it. */
void reservation_table_finish(reservation_table_t *table);

/*
 * Adds a zeroed reservation for a request that has none; the table owns it.
 * Returns NULL if memory runs out.
 */
reservation_t *reservation_add(reservation_table_t *table,
			       pimento_reqid_t request);
reservation_t *reservation_find(const reservation_table_t *table,
				pimento_reqid_t request);
/*
 * Removes a reservation from the table and frees it. It must have been removed
 * from all heaps and lists.
 */
void reservation_remove(reservation_table_t *table, reservation_t *r);

#endif
