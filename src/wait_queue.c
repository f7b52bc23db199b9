/*
 * In an overload the queue would grow without bound, and in order of arrival
 * every request would be answered just too late. So a request that can no
 * longer meet its objective goes behind all that can, and is rejected with a
 * true "not run" while its caller still has time for a retry.
 */

#include "wait_queue.h"

/*
 * An overdue request may wait for this fraction of the time that its caller had
 * left on arrival: long enough to outlast a burst of a few seconds, short
 * enough to leave the caller most of the time for another attempt.
 */
#define OVERDUE_WAIT_RATIO 0.2

/*
 * Callers close a stream that is idle, also before its first event, for longer
 * than the greatest of a fixed time, a multiple of the latency objective and a
 * multiple of the gap objective; to hold a request longer is useless. The ratio
 * is a safety margin to that bound.
 */
#define IDLE_TIMEOUT_MIN (2 * PIMENTO_SEC)
#define IDLE_TIMEOUT_OBJECTIVES 4
#define IDLE_TIMEOUT_GAPS 8
#define IDLE_TIMEOUT_RATIO 0.8

/*
 * Weight of the time that a request is expected to hold its slot. Among equally
 * urgent requests the one goes first that would have finished first had it
 * started on its first attempt: one long answer holds a slot for as long as
 * twenty short ones. A long one does not starve, as later requests order behind
 * it.
 */
#define SLOT_TIME_WEIGHT 1.0

/* Bounds of the retry time of rejected callers, before its random spread. */
#define RETRY_AFTER_MIN (200 * PIMENTO_MSEC)
#define RETRY_AFTER_MAX (5 * PIMENTO_SEC)
/*
 * Callers that were rejected earlier retry as well, so that the queue is only a
 * part of the load that comes before a retry.
 */
#define RETRY_AFTER_BACKLOG_FACTOR 2.5

static bool goes_before(const wait_queue_item_t *a, const wait_queue_item_t *b)
{
	if (a->overdue != b->overdue)
		return b->overdue;
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->order_key < b->order_key;
}

void wait_queue_push(wait_queue_t *queue, wait_queue_item_t *item)
{
	wait_queue_item_t *before = queue->last;

	while (before && goes_before(item, before))
		before = before->prev;
	item->prev = before;
	item->next = before ? before->next : queue->first;
	if (item->next)
		item->next->prev = item;
	else
		queue->last = item;
	if (before)
		before->next = item;
	else
		queue->first = item;
	queue->count++;
}

void wait_queue_remove(wait_queue_t *queue, wait_queue_item_t *item)
{
	if (item->prev)
		item->prev->next = item->next;
	else
		queue->first = item->next;
	if (item->next)
		item->next->prev = item->prev;
	else
		queue->last = item->prev;
	item->next = NULL;
	item->prev = NULL;
	queue->count--;
}

wait_queue_item_t *wait_queue_next_expired(wait_queue_t *queue,
					   pimento_usec_t now)
{
	wait_queue_item_t *item = queue->first;

	while (item) {
		wait_queue_item_t *next = item->next;

		if (now >= item->expires_at)
			return item;
		if (!item->overdue && now >= item->overdue_at) {
			wait_queue_remove(queue, item);
			item->overdue = true;
			wait_queue_push(queue, item);
		}
		item = next;
	}
	return NULL;
}

/* Time for which a caller keeps an idle stream open, less a safety margin. */
static pimento_usec_t stream_idle_timeout(const wait_queue_timing_t *timing)
{
	pimento_usec_t span = IDLE_TIMEOUT_MIN;

	if (span < timing->objective * IDLE_TIMEOUT_OBJECTIVES)
		span = timing->objective * IDLE_TIMEOUT_OBJECTIVES;
	if (span < timing->gap_objective * IDLE_TIMEOUT_GAPS)
		span = timing->gap_objective * IDLE_TIMEOUT_GAPS;
	return (pimento_usec_t)((double)span * IDLE_TIMEOUT_RATIO);
}

void wait_queue_set_times(wait_queue_item_t *item,
			  const wait_queue_timing_t *timing)
{
	pimento_usec_t left = timing->deadline - timing->arrived;
	pimento_usec_t wait =
		(pimento_usec_t)((double)left * OVERDUE_WAIT_RATIO);
	pimento_usec_t idle_wait =
		stream_idle_timeout(timing) - timing->expected_latency;

	if (timing->gap_objective && wait > idle_wait)
		wait = idle_wait;

	item->slot_time = timing->expected_slot_time;
	item->first_attempt_at = timing->arrived - timing->spent_before;
	item->order_key = item->first_attempt_at +
			  (pimento_usec_t)(SLOT_TIME_WEIGHT *
					   (double)timing->expected_slot_time);
	item->overdue_at = item->first_attempt_at + timing->objective -
			   timing->expected_latency;
	item->overdue = item->overdue_at <= timing->arrived;
	item->expires_at = timing->arrived + wait;
	if (item->expires_at < item->overdue_at)
		item->expires_at = item->overdue_at;
	if (item->expires_at > timing->deadline)
		item->expires_at = timing->deadline;
}

void wait_queue_set_resumed(wait_queue_item_t *item,
			    const wait_queue_timing_t *timing, bool begun)
{
	item->overdue = false;
	item->order_key = item->first_attempt_at;
	item->expires_at = timing->arrived + stream_idle_timeout(timing);
	if (begun || item->expires_at > timing->deadline)
		item->expires_at = timing->deadline;
	item->overdue_at = item->expires_at;
}

void wait_queue_set_returned(wait_queue_item_t *item,
			     const wait_queue_timing_t *timing, bool goes_first)
{
	pimento_usec_t last = timing->deadline - timing->expected_slot_time;
	pimento_usec_t idle = timing->arrived + stream_idle_timeout(timing) -
			      timing->expected_latency;

	if (timing->gap_objective && last > idle)
		last = idle;
	if (item->expires_at < last)
		item->expires_at = last;
	if (!goes_first)
		return;
	item->overdue_at =
		timing->arrived + timing->objective - timing->expected_latency;
	if (item->overdue_at > item->expires_at)
		item->overdue_at = item->expires_at;
	item->overdue = item->overdue_at <= timing->arrived;
}

pimento_usec_t wait_queue_retry_after(uint32_t backlog, double per_second,
				      uint64_t random_bits)
{
	double seconds = RETRY_AFTER_BACKLOG_FACTOR * ((double)backlog + 1) /
			 (per_second + 1);
	pimento_usec_t wait = (pimento_usec_t)(seconds * (double)PIMENTO_SEC);

	if (wait < RETRY_AFTER_MIN)
		wait = RETRY_AFTER_MIN;
	if (wait > RETRY_AFTER_MAX)
		wait = RETRY_AFTER_MAX;
	return wait / 2 + (pimento_usec_t)(random_bits % (uint64_t)wait);
}
