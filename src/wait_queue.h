#ifndef WAIT_QUEUE_H
#define WAIT_QUEUE_H

/*
 * Queue of the requests that wait at this host for a free slot at an endpoint
 * of one service. Decides which request goes next, which one is overdue (can no
 * longer meet its latency objective) and which one is rejected. Requests that
 * are not overdue go first, then the more urgent ones, then those whose callers
 * have waited longest, earlier attempts included; a request that is expected to
 * hold its slot for long waits longer.
 */

#include "../pimentoshelf.h"

typedef struct wait_queue_item {
	struct wait_queue_item *next;
	struct wait_queue_item *prev;
	uint64_t rank; /* urgency: a lower value is more urgent */
	/* time of the caller's first attempt */
	pimento_usec_t first_attempt_at;
	/* among equally urgent requests the lowest key goes first */
	pimento_usec_t order_key;
	/* time from which the request cannot meet its objective */
	pimento_usec_t overdue_at;
	pimento_usec_t expires_at; /* time from which the request is rejected */
	pimento_usec_t slot_time; /* that it is expected to hold a slot */
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
 * Marks items that have become overdue and moves them behind those that are
 * not. Returns an item that has expired and is to be removed and rejected, NULL
 * if there is none; call until it returns NULL.
 */
wait_queue_item_t *wait_queue_next_expired(wait_queue_t *queue,
					   pimento_usec_t now);

/* Time limits of a request, from which its item's times are set. */
typedef struct wait_queue_timing {
	pimento_usec_t arrived;
	/* time that the caller has spent on earlier attempts */
	pimento_usec_t spent_before;
	/*
	 * objective for the time from the first attempt to the start of the
	 * answer
	 */
	pimento_usec_t objective;
	/* expected time from a free slot to the start of the answer */
	pimento_usec_t expected_latency;
	/* expected time from a free slot to the end of the answer */
	pimento_usec_t expected_slot_time;
	/* longest acceptable gap between events; 0: the answer is no stream */
	pimento_usec_t gap_objective;
	/* time when the caller or the route times out */
	pimento_usec_t deadline;
} wait_queue_timing_t;

void wait_queue_set_times(wait_queue_item_t *item,
			  const wait_queue_timing_t *timing);

/*
 * Sets the times of a request that was already running when its endpoint
 * failed. Its caller cannot be answered "not run", and may have received a part
 * of the answer, which would be wasted. So the request goes before others of
 * its urgency and never becomes overdue. If its answer has begun it waits until
 * the deadline, else until callers give up on a stream that does not begin.
 */
void wait_queue_set_resumed(wait_queue_item_t *item,
			    const wait_queue_timing_t *timing, bool begun);

/*
 * Sets the times of a request whose caller was rejected and has come back at its
 * turn. It will not come again, so that it may wait for as long as an answer can
 * still reach it. goes_first: its objective counts from now on, so that it goes
 * before new requests of its urgency.
 */
void wait_queue_set_returned(wait_queue_item_t *item,
			     const wait_queue_timing_t *timing,
			     bool goes_first);

/*
 * Time after which the caller of a rejected request should retry. backlog is
 * the number of requests in this queue, per_second the number that the service
 * answers for this host; random_bits spreads the callers' retries.
 */
pimento_usec_t wait_queue_retry_after(uint32_t backlog, double per_second,
				      uint64_t random_bits);

#endif
