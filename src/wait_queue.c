/*
 * In an overload the line would grow without end, and in a line that is
 * served in order everybody would be answered just too late. So a request
 * that cannot be on time any more goes behind all that can, and leaves the
 * line with a true "not run" while its caller still has time to come back.
 */

#include "wait_queue.h"

/*
 * A late request may wait this part of the time that its caller had left when
 * it came: long enough to outlast a burst of a few seconds, short enough to
 * leave the caller most of the time for another attempt.
 */
#define LATE_WAIT_PART 0.2

/*
 * Callers leave a stream that is silent for the longest of these, before its
 * first event too; a request that waits longer is held in vain. The part keeps
 * clear of that bound.
 */
#define SILENCE_LEAST (2 * PIMENTO_SEC)
#define SILENCE_GOALS 4
#define SILENCE_GAPS 8
#define SILENCE_PART 0.8

/*
 * Among equals goes first who would be done first, had it gone when it came,
 * with this part of its expected stay: one long answer holds a slot for as
 * long as twenty short ones. Its turn comes as it waits.
 */
#define HOLD_PART 1.0

/* Bounds and spread of the time that a caller is told to stay away. */
#define RETRY_AFTER_LEAST (200 * PIMENTO_MSEC)
#define RETRY_AFTER_MOST (5 * PIMENTO_SEC)
/*
 * Those turned away before return too: the queue here is a part of what is
 * ahead.
 */
#define RETRY_AFTER_TIMES 2.5

static bool goes_before(const wait_queue_item_t *a, const wait_queue_item_t *b)
{
	if (a->late != b->late)
		return b->late;
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->order_at < b->order_at;
}

void wait_queue_push(wait_queue_t *line, wait_queue_item_t *item)
{
	wait_queue_item_t *before = line->last;

	while (before && goes_before(item, before))
		before = before->prev;
	item->prev = before;
	item->next = before ? before->next : line->first;
	if (item->next)
		item->next->prev = item;
	else
		line->last = item;
	if (before)
		before->next = item;
	else
		line->first = item;
	line->count++;
}

void wait_queue_remove(wait_queue_t *line, wait_queue_item_t *item)
{
	if (item->prev)
		item->prev->next = item->next;
	else
		line->first = item->next;
	if (item->next)
		item->next->prev = item->prev;
	else
		line->last = item->prev;
	item->next = NULL;
	item->prev = NULL;
	line->count--;
}

wait_queue_item_t *wait_queue_expired(wait_queue_t *line, pimento_usec_t now)
{
	wait_queue_item_t *item = line->first;

	while (item) {
		wait_queue_item_t *next = item->next;

		if (now >= item->give_up_at)
			return item;
		if (!item->late && now >= item->late_at) {
			wait_queue_remove(line, item);
			item->late = true;
			wait_queue_push(line, item);
		}
		item = next;
	}
	return NULL;
}

/* How long a caller stays with a stream that shows nothing. */
static pimento_usec_t longest_silence(const wait_queue_terms_t *terms)
{
	pimento_usec_t span = SILENCE_LEAST;

	if (span < terms->goal * SILENCE_GOALS)
		span = terms->goal * SILENCE_GOALS;
	if (span < terms->gap_goal * SILENCE_GAPS)
		span = terms->gap_goal * SILENCE_GAPS;
	return (pimento_usec_t)((double)span * SILENCE_PART);
}

void wait_queue_set_times(wait_queue_item_t *item,
			  const wait_queue_terms_t *terms)
{
	pimento_usec_t left = terms->end - terms->arrived;
	pimento_usec_t wait = (pimento_usec_t)((double)left * LATE_WAIT_PART);
	pimento_usec_t silence = longest_silence(terms) - terms->expect;

	if (terms->gap_goal && wait > silence)
		wait = silence;

	item->since = terms->arrived - terms->spent;
	item->order_at =
		item->since + (pimento_usec_t)(HOLD_PART * (double)terms->hold);
	item->late_at = item->since + terms->goal - terms->expect;
	item->late = item->late_at <= terms->arrived;
	item->give_up_at = terms->arrived + wait;
	if (item->give_up_at < item->late_at)
		item->give_up_at = item->late_at;
	if (item->give_up_at > terms->end)
		item->give_up_at = terms->end;
}

void wait_queue_set_begun(wait_queue_item_t *item,
			  const wait_queue_terms_t *terms,
			  pimento_usec_t heard_at)
{
	item->late = false;
	item->order_at = item->since;
	item->give_up_at = heard_at + longest_silence(terms);
	if (item->give_up_at > terms->end)
		item->give_up_at = terms->end;
	item->late_at = item->give_up_at;
}

pimento_usec_t wait_queue_retry_after(uint32_t backlog, double per_second,
				      uint64_t draw)
{
	double seconds =
		RETRY_AFTER_TIMES * ((double)backlog + 1) / (per_second + 1);
	pimento_usec_t wait = (pimento_usec_t)(seconds * (double)PIMENTO_SEC);

	if (wait < RETRY_AFTER_LEAST)
		wait = RETRY_AFTER_LEAST;
	if (wait > RETRY_AFTER_MOST)
		wait = RETRY_AFTER_MOST;
	return wait / 2 + (pimento_usec_t)(draw % (uint64_t)wait);
}
