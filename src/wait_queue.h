#ifndef WAIT_QUEUE_H
#define WAIT_QUEUE_H

/*
 * Requests that wait at this host for a free place at an endpoint of one
 * service, and the decision which of them goes next, which is late, and which
 * is turned away. The order is: what can still be on time before what cannot,
 * then the more urgent, then the one whose caller has waited longest, earlier
 * attempts included, for what it wants: who will hold a place for long waits
 * longer.
 */

#include "../pimentoshelf.h"

typedef struct wait_queue_item {
	struct wait_queue_item *next;
	struct wait_queue_item *prev;
	uint64_t rank; /* urgency: less is more urgent */
	pimento_usec_t first_attempt_at; /* its caller's first attempt */
	pimento_usec_t order_key; /* among equals the least goes first */
	pimento_usec_t overdue_at; /* past that it cannot be on time any more */
	pimento_usec_t expires_at; /* past that it is turned away */
	bool overdue;
} wait_queue_item_t;

typedef struct wait_queue {
	wait_queue_item_t *first;
	wait_queue_item_t *last;
	uint32_t count;
} wait_queue_t;

void wait_queue_push(wait_queue_t *queue, wait_queue_item_t *item);
void wait_queue_remove(wait_queue_t *queue, wait_queue_item_t *item);

/*
 * Marks items as late and moves them behind. Returns one that is to be turned
 * away, NULL if there is none; call until it returns NULL.
 */
wait_queue_item_t *wait_queue_next_expired(wait_queue_t *queue,
					   pimento_usec_t now);

/* What a request may spend, to set the two times of its item. */
typedef struct wait_queue_timing {
	pimento_usec_t arrived;
	pimento_usec_t
		spent_before; /* by the caller before, in earlier attempts */
	pimento_usec_t objective; /* from the first attempt to the answer */
	pimento_usec_t expected_latency; /* from a free place to the answer */
	pimento_usec_t
		expected_slot_time; /* from a free place to the end of the answer */
	pimento_usec_t gap_objective; /* of a stream; 0: no stream */
	pimento_usec_t deadline; /* caller's deadline or route's timeout */
} wait_queue_timing_t;

void wait_queue_set_times(wait_queue_item_t *item,
			  const wait_queue_timing_t *timing);

/*
 * The same for a request that ran already and lost its endpoint. Its caller
 * cannot be told "not run", and may have a part of the answer, whose making would
 * be lost. So it goes before its equals, never counts as late, and waits until
 * its caller, who heard of it last at last_sent_at, leaves the silent stream.
 */
void wait_queue_set_resumed(wait_queue_item_t *item,
			    const wait_queue_timing_t *timing,
			    pimento_usec_t last_sent_at);

/*
 * How long a caller that is turned away should stay away. backlog is the number
 * that wait here, per_second how many the service answers for this host, random_bits a
 * random number that spreads the callers.
 */
pimento_usec_t wait_queue_retry_after(uint32_t backlog, double per_second,
				      uint64_t random_bits);

#endif
