/*
 * Requests with an idempotency key: no dispatch before the claim of the key is
 * won, no "not run" before the attempt is sealed, and instead of a second
 * dispatch the answer of the earlier one.
 */

#include "entry_internal.h"

#include <stdlib.h>
#include <string.h>

/* Interval of queries for the outcome of another dispatch with the same key. */
#define OUTCOME_QUERY_PERIOD (200 * PIMENTO_MSEC)
#define RETRY_AFTER_DEFAULT PIMENTO_SEC

void entry_abort(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		 int error, pimento_usec_t retry_after)
{
	if (!entry->claim) {
		entry_refuse(table, entry, PIMENTO_NOT_RUN, error,
			     retry_after ? retry_after : RETRY_AFTER_DEFAULT);
		return;
	}
	entry->state = ENTRY_SEALING;
	entry->seal_error = error;
	entry->retry_after = retry_after ? retry_after : RETRY_AFTER_DEFAULT;
	claim_seal(entry->claim, now, table->out);
	entry_schedule(table, entry, claim_deadline(entry->claim));
}

static void queue_dispatch(entry_table_t *table, entry_t *entry)
{
	pimento_action_t action = { .kind = PIMENTO_ACTION_DISPATCH };

	entry->state = ENTRY_CONNECTING;
	action.request = entry_get_handle(table, entry);
	action.endpoint = entry->endpoint;
	action.stream = entry->id;
	entry_schedule(table, entry, entry->deadline);
	entry_queue_action(table, &action);
}

static void request_claim(entry_table_t *table, pimento_usec_t now,
			  entry_t *entry)
{
	message_dispatch_t record = { 0 };

	record.id = entry->id;
	record.endpoint = entry->endpoint;
	record.digest = entry->request.digest;
	entry->state = ENTRY_CLAIMING;
	claim_take(entry->claim, now, &record, table->out);
	entry_schedule(table, entry, claim_deadline(entry->claim));
}

void entry_on_grant(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	if (!entry->claim) {
		queue_dispatch(table, entry);
		return;
	}
	/*
	 * A claim in CLAIM_TAKEN was won for an endpoint that could not be
	 * reached. It is kept, and only the endpoint in it is changed. While
	 * the witnesses have not answered the query, on_key_unclaimed()
	 * requests the claim later.
	 */
	if (entry->claim->state == CLAIM_AVAILABLE ||
	    entry->claim->state == CLAIM_TAKEN)
		request_claim(table, now, entry);
}

static void replay_answer(entry_table_t *table, entry_t *entry)
{
	const message_dispatch_t *held = &entry->claim->held;
	pimento_action_t action = { .kind = PIMENTO_ACTION_REPLAY };

	action.request = entry_get_handle(table, entry);
	action.status = held->status;
	action.answer = malloc(held->answer_size);
	if (!action.answer) {
		entry_refuse(table, entry, PIMENTO_RAN, PIMENTO_ENOMEM,
			     RETRY_AFTER_DEFAULT);
		return;
	}
	memcpy(action.answer, held->answer, held->answer_size);
	action.answer_size = held->answer_size;
	table->counters.replayed++;
	entry_free(table, entry);
	entry_queue_action(table, &action);
}

/*
 * Another request with the same key holds the claim. Its host may have crashed
 * before the dispatch, but that cannot be known here, so this request is never
 * dispatched: the caller gets the other dispatch's answer, or "may have run".
 */
static void on_claim_held(entry_table_t *table, pimento_usec_t now,
			  entry_t *entry)
{
	const message_dispatch_t *held = &entry->claim->held;

	entry_release(table, entry, RELEASE_UNUSED);
	if (held->done && held->answer_size) {
		replay_answer(table, entry);
		return;
	}
	if (entry->state == ENTRY_SEALING) {
		entry_refuse(table, entry, PIMENTO_MAY_HAVE_RUN,
			     entry->seal_error, RETRY_AFTER_DEFAULT);
		return;
	}
	if (entry->request.is_model) {
		entry->resume_endpoint = held->endpoint;
		entry->resume_stream = held->id;
		entry_resume(table, entry);
		return;
	}
	if (held->done) {
		entry_refuse(table, entry, PIMENTO_RAN, PIMENTO_ECLAIMED, 0);
		return;
	}
	entry->state = ENTRY_QUERYING_OUTCOME;
	entry_schedule(table, entry, now + OUTCOME_QUERY_PERIOD);
}

static void on_key_unclaimed(entry_table_t *table, pimento_usec_t now,
			     entry_t *entry)
{
	if (entry->state == ENTRY_QUERYING_OUTCOME) {
		entry_reserve(table, now, entry);
		return;
	}
	if (entry->grant_expires_at)
		request_claim(table, now, entry);
}

static void on_claim_won(entry_table_t *table, pimento_usec_t now,
			 entry_t *entry)
{
	if (now < entry->grant_expires_at && now < entry->deadline) {
		queue_dispatch(table, entry);
		return;
	}
	entry_release(table, entry, RELEASE_UNUSED);
	entry_abort(table, now, entry, PIMENTO_EDEADLINE, 0);
}

void entry_on_claim_event(entry_table_t *table, pimento_usec_t now,
			  entry_t *entry, claim_event_t event)
{
	int error = entry->seal_error;

	switch (event) {
	case CLAIM_NO_EVENT:
		return;
	case CLAIM_FREE:
		on_key_unclaimed(table, now, entry);
		return;
	case CLAIM_WON:
		on_claim_won(table, now, entry);
		return;
	case CLAIM_HELD:
		on_claim_held(table, now, entry);
		return;
	case CLAIM_NOT_RUN:
		entry_release(table, entry, RELEASE_UNUSED);
		entry_refuse(table, entry, PIMENTO_NOT_RUN,
			     error ? error : PIMENTO_ESEALED,
			     entry->retry_after ? entry->retry_after
						: RETRY_AFTER_DEFAULT);
		return;
	case CLAIM_MISMATCH:
		entry_release(table, entry, RELEASE_UNUSED);
		/*
		 * A request with another body holds the key. Only once its
		 * outcome is known is it certain that this request has not run.
		 */
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
			     error ? error : PIMENTO_ENOQUORUM,
			     RETRY_AFTER_DEFAULT);
		return;
	}
}

/* Queries the key's witnesses again for the outcome of another dispatch. */
static void requery_outcome(entry_table_t *table, pimento_usec_t now,
			    entry_t *entry)
{
	witness_set_t witnesses = entry->claim->options.witnesses;
	pimento_usec_t age = entry->claim->options.key_age;

	if (now >= entry->deadline) {
		entry_abort(table, now, entry, PIMENTO_ECLAIMED, 0);
		return;
	}
	if (age != CLAIM_AGE_UNKNOWN)
		age += now - entry->arrived_at;
	/*
	 * Keep the number of the key's attempt: another host may have reported
	 * that attempt as "not run".
	 */
	entry->request.attempt = entry->claim->attempt;
	entry_start_claim(table, now, entry, &witnesses, age);
	entry_schedule(table, entry, claim_deadline(entry->claim));
}

void entry_claim_tick(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	claim_event_t event;

	if (entry->state == ENTRY_QUERYING_OUTCOME &&
	    entry->claim->state != CLAIM_QUERYING) {
		requery_outcome(table, now, entry);
		return;
	}
	event = claim_tick(entry->claim, now, table->out);
	if (event) {
		entry_on_claim_event(table, now, entry, event);
		return;
	}
	entry_schedule(table, entry, claim_deadline(entry->claim));
}
