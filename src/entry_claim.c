/*
 * The part of a request's life that its idempotency key rules: no dispatch
 * before the claim is won, no "not run" before the attempt is sealed, and the
 * answer of an earlier dispatch instead of a second one.
 */

#include "entry_steps.h"

#include <stdlib.h>
#include <string.h>

/* How often the outcome of another's dispatch is asked for. */
#define ASK_AGAIN (200 * PIMENTO_MSEC)
#define RETRY_DEFAULT PIMENTO_SEC

void entry_give_up(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		   int error, pimento_usec_t retry_after)
{
	if (!entry->claim) {
		entry_refuse(table, entry, PIMENTO_NOT_RUN, error,
			     retry_after ? retry_after : RETRY_DEFAULT);
		return;
	}
	entry->state = ENTRY_SEALING;
	entry->give_up = error;
	entry->retry_after = retry_after ? retry_after : RETRY_DEFAULT;
	claim_seal(entry->claim, now, table->out);
	entry_wake(table, entry, claim_deadline(entry->claim));
}

static void dispatch(entry_table_t *table, entry_t *entry)
{
	pimento_action_t action = { .kind = PIMENTO_ACTION_DISPATCH };

	entry->state = ENTRY_CONNECTING;
	action.request = entry_handle(table, entry);
	action.endpoint = entry->endpoint;
	action.stream = entry->id;
	entry_wake(table, entry, entry->deadline);
	entry_act(table, &action);
}

static void take_claim(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	message_dispatch_t place = { 0 };

	place.request = entry->id;
	place.endpoint = entry->endpoint;
	place.digest = entry->request.digest;
	entry->state = ENTRY_CLAIMING;
	claim_take(entry->claim, now, &place, table->out);
	entry_wake(table, entry, claim_deadline(entry->claim));
}

void entry_granted(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	if (!entry->claim) {
		dispatch(table, entry);
		return;
	}
	/*
	 * Taken before, for an endpoint that could not be reached: the claim
	 * stays ours and only names another place. If the query is still out,
	 * its event comes back here.
	 */
	if (entry->claim->state == CLAIM_AVAILABLE ||
	    entry->claim->state == CLAIM_TAKEN)
		take_claim(table, now, entry);
}

static void replay(entry_table_t *table, entry_t *entry)
{
	const message_dispatch_t *held = &entry->claim->held;
	pimento_action_t action = { .kind = PIMENTO_ACTION_REPLAY };

	action.request = entry_handle(table, entry);
	action.status = held->status;
	action.answer = malloc(held->answer_size);
	if (!action.answer) {
		entry_refuse(table, entry, PIMENTO_RAN, PIMENTO_ENOMEM,
			     RETRY_DEFAULT);
		return;
	}
	memcpy(action.answer, held->answer, held->answer_size);
	action.answer_size = held->answer_size;
	table->counters.replayed++;
	entry_free(table, entry);
	entry_act(table, &action);
}

/*
 * Another call with the same key holds the claim. It may have died before its
 * dispatch, but that cannot be known here, so nothing is ever dispatched
 * again: the caller gets that dispatch's answer, or "may have run".
 */
static void held_by_other(entry_table_t *table, pimento_usec_t now,
			  entry_t *entry)
{
	const message_dispatch_t *held = &entry->claim->held;

	entry_release(table, entry, RELEASE_UNUSED);
	if (held->done && held->answer_size) {
		replay(table, entry);
		return;
	}
	if (entry->state == ENTRY_SEALING) {
		entry_refuse(table, entry, PIMENTO_MAY_HAVE_RUN, entry->give_up,
			     RETRY_DEFAULT);
		return;
	}
	if (entry->request.model) {
		entry->follow_endpoint = held->endpoint;
		entry->follow_stream = held->request;
		entry_follow(table, entry);
		return;
	}
	if (held->done) {
		entry_refuse(table, entry, PIMENTO_RAN, PIMENTO_ECLAIMED, 0);
		return;
	}
	entry->state = ENTRY_ASKING;
	entry_wake(table, entry, now + ASK_AGAIN);
}

static void claim_free(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	if (entry->state == ENTRY_ASKING) {
		entry_reserve(table, now, entry);
		return;
	}
	if (entry->grant_ends)
		take_claim(table, now, entry);
}

static void claim_won(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	if (now < entry->grant_ends && now < entry->deadline) {
		dispatch(table, entry);
		return;
	}
	entry_release(table, entry, RELEASE_UNUSED);
	entry_give_up(table, now, entry, PIMENTO_ELATE, 0);
}

void entry_claim_event(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		       claim_event_t event)
{
	int error = entry->give_up;

	switch (event) {
	case CLAIM_NO_EVENT:
		return;
	case CLAIM_FREE:
		claim_free(table, now, entry);
		return;
	case CLAIM_WON:
		claim_won(table, now, entry);
		return;
	case CLAIM_HELD:
		held_by_other(table, now, entry);
		return;
	case CLAIM_NOT_RUN:
		entry_release(table, entry, RELEASE_UNUSED);
		entry_refuse(table, entry, PIMENTO_NOT_RUN,
			     error ? error : PIMENTO_ESEALED,
			     entry->retry_after ? entry->retry_after
						: RETRY_DEFAULT);
		return;
	case CLAIM_MISMATCH:
		entry_release(table, entry, RELEASE_UNUSED);
		/* Only a known outcome shows which body has run. */
		entry_refuse(table, entry,
			     entry->claim->held.done ? PIMENTO_NOT_RUN
						     : PIMENTO_MAY_HAVE_RUN,
			     PIMENTO_EMISMATCH, 0);
		return;
	case CLAIM_EXPIRED:
		entry_release(table, entry, RELEASE_UNUSED);
		entry_refuse(table, entry, PIMENTO_MAY_HAVE_RUN,
			     PIMENTO_EEXPIRED, 0);
		return;
	case CLAIM_MAY_HAVE_RUN:
	case CLAIM_NO_QUORUM:
	default:
		entry_release(table, entry, RELEASE_UNUSED);
		entry_refuse(table, entry, PIMENTO_MAY_HAVE_RUN,
			     error ? error : PIMENTO_ENOQUORUM, RETRY_DEFAULT);
		return;
	}
}

/* Asks the witnesses once more how another's dispatch ended. */
static void ask_again(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	witness_set_t witnesses = entry->claim->options.witnesses;
	pimento_usec_t age = entry->claim->options.key_age;

	if (now >= entry->deadline) {
		entry_give_up(table, now, entry, PIMENTO_ECLAIMED, 0);
		return;
	}
	if (age != CLAIM_AGE_UNKNOWN)
		age += now - entry->arrived;
	/* The attempt stays: "not run" may be said of it by somebody else. */
	entry->request.attempt = entry->claim->attempt;
	entry_start_claim(table, now, entry, &witnesses, age);
	entry_wake(table, entry, claim_deadline(entry->claim));
}

void entry_claim_tick(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	claim_event_t event;

	if (entry->state == ENTRY_ASKING &&
	    entry->claim->state != CLAIM_QUERYING) {
		ask_again(table, now, entry);
		return;
	}
	event = claim_tick(entry->claim, now, table->out);
	if (event) {
		entry_claim_event(table, now, entry, event);
		return;
	}
	entry_wake(table, entry, claim_deadline(entry->claim));
}
