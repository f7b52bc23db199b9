/*
 * The table of requests in progress. A handle consists of the index of a table
 * entry and a generation that counts the uses of that entry, so that an event
 * of an ended request never reaches a later one. The handle is also the low
 * half of the request's id.
 */

#include "entry_internal.h"
#include "owner.h"

#include <stdlib.h>
#include <string.h>

/* Interval between renewals of a slot's lease at its owner. */
#define PROGRESS_PERIOD OWNER_PROGRESS_INTERVAL
/* A broken stream is resumed at most this often, with increasing delays. */
#define RESUMES_MAX 40
#define RESUME_DELAY_STEP (50 * PIMENTO_MSEC)
#define RESUME_DELAY_MAX PIMENTO_SEC
/* A stream may be resumed until this long after the request's deadline. */
#define RESUME_GRACE (5 * PIMENTO_SEC)
/*
 * Retry budget: each accepted request adds 0.1 of a retry, up to 10, so that
 * retries cannot multiply the load on endpoints that are failing.
 */
#define RETRY_BUDGET_RATIO 0.1
#define RETRY_BUDGET_MAX 10.0
#define ACTIONS_CAPACITY_MIN 64
#define CLAIM_STEP_TIMEOUT (400 * PIMENTO_MSEC)

int entry_init(entry_table_t *table, const entry_options_t *options,
	       route_t *route, membership_t *membership, outbox_t *out)
{
	memset(table, 0, sizeof(*table));
	table->options = *options;
	table->route = route;
	table->membership = membership;
	table->out = out;
	table->next_wake = PIMENTO_NEVER;
	table->retry_budget = RETRY_BUDGET_MAX;
	table->action_capacity = ACTIONS_CAPACITY_MIN;
	table->entries = calloc(options->requests_max, sizeof(entry_t));
	table->free_list = calloc(options->requests_max, sizeof(uint32_t));
	table->actions = calloc(ACTIONS_CAPACITY_MIN, sizeof(pimento_action_t));
	if (!table->entries || !table->free_list || !table->actions) {
		entry_finish(table);
		return PIMENTO_ENOMEM;
	}
	return PIMENTO_OK;
}

void entry_finish(entry_table_t *table)
{
	pimento_action_t action;

	while (table->actions && entry_next_action(table, &action))
		free(action.answer);
	for (uint32_t i = 0; table->entries && i < table->high_water; i++)
		free(table->entries[i].claim);
	free(table->entries);
	free(table->free_list);
	free(table->actions);
	memset(table, 0, sizeof(*table));
}

static int grow_actions(entry_table_t *table)
{
	uint32_t capacity = table->action_capacity * 2;
	pimento_action_t *actions = calloc(capacity, sizeof(*actions));

	if (!actions)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < table->action_count; i++)
		actions[i] = table->actions[(table->action_head + i) %
					    table->action_capacity];
	free(table->actions);
	table->actions = actions;
	table->action_capacity = capacity;
	table->action_head = 0;
	return PIMENTO_OK;
}

void entry_queue_action(entry_table_t *table, const pimento_action_t *action)
{
	uint32_t at;

	/* A request has at most a few actions pending, so the ring stays small. */
	if (table->action_count == table->action_capacity &&
	    grow_actions(table))
		abort();
	at = (table->action_head + table->action_count) %
	     table->action_capacity;
	table->actions[at] = *action;
	table->action_count++;
}

bool entry_next_action(entry_table_t *table, pimento_action_t *action)
{
	if (!table->action_count)
		return false;
	*action = table->actions[table->action_head];
	table->action_head = (table->action_head + 1) % table->action_capacity;
	table->action_count--;
	return true;
}

pimento_handle_t entry_get_handle(const entry_table_t *table,
				  const entry_t *entry)
{
	return (uint64_t)entry->generation << 32 |
	       (uint64_t)(entry - table->entries);
}

entry_t *entry_find(entry_table_t *table, pimento_handle_t handle)
{
	uint32_t index = (uint32_t)handle;
	entry_t *entry;

	if (index >= table->high_water)
		return NULL;
	entry = &table->entries[index];
	if (entry->state == ENTRY_FREE || entry->state == ENTRY_CLOSING ||
	    entry->generation != handle >> 32)
		return NULL;
	return entry;
}

void entry_schedule(entry_table_t *table, entry_t *entry, pimento_usec_t at)
{
	if (entry->state < ENTRY_CLAIMING && entry->claim &&
	    entry->claim->state == CLAIM_QUERYING &&
	    claim_deadline(entry->claim) < at)
		at = claim_deadline(entry->claim);
	entry->wake_at = at;
	if (at < table->next_wake)
		table->next_wake = at;
}

/* Returns true while a claim has a seal or an outcome to send to witnesses. */
static bool claim_is_notifying(const claim_t *claim)
{
	return claim && (claim->state == CLAIM_SEALING ||
			 claim->state == CLAIM_WITHDRAWING ||
			 claim->state == CLAIM_REPORTING);
}

/*
 * The caller has its answer, but a witness may have missed the seal or the
 * outcome. Unless these are sent again, the witness would keep holding a claim
 * that never won, and if another witness fails, the key would be unusable for
 * its retention period. So the entry is kept until its claim has ended, which
 * takes one step of the claim protocol at most.
 */
void entry_free(entry_table_t *table, entry_t *entry)
{
	if (claim_is_notifying(entry->claim)) {
		entry->state = ENTRY_CLOSING;
		entry_schedule(table, entry, claim_deadline(entry->claim));
		return;
	}
	free(entry->claim);
	entry->claim = NULL;
	entry->state = ENTRY_FREE;
	table->free_list[table->free_count++] =
		(uint32_t)(entry - table->entries);
	table->active--;
}

/* Ends a request whose caller needs no further answer from this host. */
static void finish_request(entry_table_t *table, entry_t *entry)
{
	pimento_action_t action = { .kind = PIMENTO_ACTION_END };

	action.request = entry_get_handle(table, entry);
	entry_free(table, entry);
	entry_queue_action(table, &action);
}

void entry_refuse(entry_table_t *table, entry_t *entry,
		  pimento_verdict_t verdict, int error,
		  pimento_usec_t retry_after)
{
	pimento_action_t action = { .kind = PIMENTO_ACTION_REFUSE };

	action.request = entry_get_handle(table, entry);
	action.verdict = verdict;
	action.error = error;
	action.retry_after = retry_after;
	if (entry->claim) {
		action.attempt = entry->claim->attempt;
		action.next_attempt = entry->claim->sealed + 1;
	}
	table->counters.refused[verdict]++;
	entry_free(table, entry);
	entry_queue_action(table, &action);
}

void entry_resume(entry_table_t *table, entry_t *entry)
{
	pimento_action_t action = { .kind = PIMENTO_ACTION_RESUME };

	entry->state = ENTRY_RESUMING;
	action.request = entry_get_handle(table, entry);
	action.endpoint = entry->resume_endpoint;
	action.stream = entry->resume_stream;
	entry_schedule(table, entry, entry->deadline + RESUME_GRACE);
	table->counters.resumed++;
	entry_queue_action(table, &action);
}

static entry_t *allocate_entry(entry_table_t *table)
{
	uint32_t generation;
	entry_t *entry;

	if (table->free_count)
		entry = &table->entries[table->free_list[--table->free_count]];
	else if (table->high_water < table->options.requests_max)
		entry = &table->entries[table->high_water++];
	else
		return NULL;
	generation = entry->generation + 1;
	memset(entry, 0, sizeof(*entry));
	entry->generation = generation;
	table->active++;
	return entry;
}

int entry_start_claim(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		      const witness_set_t *witnesses, pimento_usec_t age)
{
	claim_options_t options = { 0 };
	int error;

	if (!entry->claim)
		entry->claim = calloc(1, sizeof(*entry->claim));
	if (!entry->claim)
		return PIMENTO_ENOMEM;
	options.key = entry->key;
	options.witnesses = *witnesses;
	options.key_age = age;
	options.attempt = entry->request.attempt;
	options.digest = entry->request.digest;
	options.sequence = table->next_sequence;
	options.timeout = CLAIM_STEP_TIMEOUT;
	table->next_sequence += CLAIM_SEQUENCES_MAX;
	error = claim_init(entry->claim, &options);
	if (!error)
		claim_start(entry->claim, now, table->out);
	return error;
}

int entry_submit(entry_table_t *table, pimento_usec_t now,
		 const pimento_request_t *request, pimento_key_t key,
		 const witness_set_t *witnesses, pimento_usec_t age,
		 pimento_handle_t *handle, pimento_reqid_t *id)
{
	entry_t *entry = allocate_entry(table);
	int error = PIMENTO_OK;

	if (!entry)
		return PIMENTO_EFULL;
	entry->state = ENTRY_RESERVING;
	entry->request = *request;
	entry->request.key = NULL;
	entry->key = key;
	entry->arrived_at = now;
	entry->deadline = now + request->client_timeout;
	entry->id.hi = table->options.incarnation;
	entry->id.lo = entry_get_handle(table, entry);
	if (witnesses)
		error = entry_start_claim(table, now, entry, witnesses, age);
	if (error) {
		entry_free(table, entry);
		return error;
	}
	*handle = entry_get_handle(table, entry);
	*id = entry->id;
	table->counters.accepted++;
	table->retry_budget += RETRY_BUDGET_RATIO;
	if (table->retry_budget > RETRY_BUDGET_MAX)
		table->retry_budget = RETRY_BUDGET_MAX;
	entry_reserve(table, now, entry);
	return PIMENTO_OK;
}

int entry_commit(entry_table_t *table, pimento_usec_t now,
		 pimento_handle_t handle)
{
	entry_t *entry = entry_find(table, handle);

	if (!entry || entry->state != ENTRY_CONNECTING)
		return PIMENTO_ESTALE;
	/*
	 * A process that was paused between grant and dispatch continues here.
	 * It must not send: the caller may have timed out, and the owner may
	 * have granted the slot to another request.
	 */
	if (now >= entry->deadline || now >= entry->grant_expires_at) {
		entry_release(table, entry, RELEASE_UNUSED);
		entry_abort(table, now, entry, PIMENTO_EDEADLINE, 0);
		return PIMENTO_EDEADLINE;
	}
	/*
	 * A new configuration may have given the endpoint's name or its address
	 * to another target since the slot was requested.
	 */
	if (entry->endpoint_identity !=
	    route_endpoint_identity(table->route, entry->endpoint)) {
		entry_release(table, entry, RELEASE_UNUSED);
		entry_reroute(table, now, entry);
		return PIMENTO_ESTALE;
	}
	entry->state = ENTRY_DISPATCHED;
	entry->sent_at = now;
	entry->progress_sent_at = now;
	table->counters.dispatched++;
	route_record_prefix(table->route, now, entry->endpoint,
			    entry->request.prefix,
			    entry->request.prompt_tokens);
	entry_send_progress(table, now, entry);
	entry_schedule(table, entry, now + PROGRESS_PERIOD);
	return PIMENTO_OK;
}

void entry_send_progress(entry_table_t *table, pimento_usec_t now,
			 entry_t *entry)
{
	message_t message = { .kind = MESSAGE_PROGRESS };
	message_progress_t *progress = &message.u.progress;

	if (!entry->owner)
		return;
	progress->request = entry->id;
	progress->round = entry->round;
	progress->endpoint = entry->endpoint;
	progress->epoch = entry->epoch;
	progress->answer_tokens = entry->tokens;
	if (entry->first_token_at) {
		progress->time_to_first_token =
			entry->first_token_at - entry->sent_at;
		progress->decode_time =
			entry->last_token_at - entry->first_token_at;
	}
	entry->progress_sent_at = now;
	outbox_put(table->out, entry->owner, &message);
}

static void on_tokens(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		      const pimento_event_t *event)
{
	bool first = !entry->first_token_at;

	if (first)
		entry->first_token_at = now;
	entry->last_token_at =
		event->last_token_at ? event->last_token_at : now;
	entry->tokens = event->tokens;
	if (first)
		entry_send_progress(table, now, entry);
}

/* Nothing was sent, so another endpoint is tried while the budget allows. */
static void on_unreachable(entry_table_t *table, pimento_usec_t now,
			   entry_t *entry)
{
	route_endpoint_failed(table->route, now, entry->endpoint);
	entry_release(table, entry, RELEASE_UNUSED);
	if (table->retry_budget < 1) {
		entry_abort(table, now, entry, PIMENTO_EUNREACHABLE, 0);
		return;
	}
	table->retry_budget -= 1;
	table->counters.retried++;
	entry_reroute(table, now, entry);
}

static void record_latency(entry_table_t *table, pimento_usec_t now,
			   const entry_t *entry)
{
	if (!entry->first_token_at || !entry->sent_at)
		return;
	route_record_answer(table->route, now, entry->endpoint,
			    entry->request.prompt_tokens, entry->tokens,
			    entry->first_token_at - entry->sent_at,
			    entry->last_token_at - entry->first_token_at);
}

/*
 * An answer that came in one piece has no time to first token. For a service
 * the span to the complete answer is used instead; for a model engine the whole
 * span is counted as decode time.
 */
static void record_unstreamed_answer(pimento_usec_t now, entry_t *entry,
				     const pimento_event_t *event)
{
	if (entry->first_token_at || !entry->sent_at)
		return;
	entry->tokens = event->tokens;
	if (!entry->request.is_model)
		entry->first_token_at = now;
	else
		entry->unstreamed_span = now - entry->sent_at;
	entry->last_token_at = now;
}

/* Stores the outcome at the key's witnesses, to be replayed to a retry. */
static void report_outcome(entry_table_t *table, pimento_usec_t now,
			   entry_t *entry, const pimento_event_t *event)
{
	message_dispatch_t record = { 0 };

	if (!entry->claim || entry->claim->state != CLAIM_TAKEN)
		return;
	record.id = entry->id;
	record.endpoint = entry->endpoint;
	record.digest = entry->request.digest;
	record.done = 1;
	record.status = event->status;
	if (event->answer && event->answer_size <= MESSAGE_ANSWER_BYTES_MAX) {
		record.answer_size = (uint16_t)event->answer_size;
		memcpy(record.answer, event->answer, event->answer_size);
	}
	claim_complete(entry->claim, now, &record, table->out);
}

static void on_done(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		    const pimento_event_t *event)
{
	if (entry->state == ENTRY_DISPATCHED) {
		if (entry->first_token_at && event->tokens > entry->tokens)
			on_tokens(table, now, entry, event);
		record_unstreamed_answer(now, entry, event);
		record_latency(table, now, entry);
	}
	entry->tokens = event->tokens;
	entry_release(table, entry, RELEASE_DONE);
	report_outcome(table, now, entry, event);
	table->counters.done++;
	finish_request(table, entry);
}

static pimento_usec_t resume_delay(const entry_t *entry)
{
	pimento_usec_t delay = RESUME_DELAY_STEP * entry->resumes;

	return delay < RESUME_DELAY_MAX ? delay : RESUME_DELAY_MAX;
}

/*
 * The connection broke after the commit. A model engine continues to generate,
 * and its stream can be resumed. A plain service cannot be queried, so the
 * request is refused at once with the verdict "may have run".
 */
static void on_connection_lost(entry_table_t *table, pimento_usec_t now,
			       entry_t *entry)
{
	if (entry->caller_disconnected || !entry->request.is_model ||
	    entry->resumes >= RESUMES_MAX ||
	    now >= entry->deadline + RESUME_GRACE) {
		entry_release(table, entry, RELEASE_FAILED);
		entry_refuse(table, entry, PIMENTO_MAY_HAVE_RUN,
			     PIMENTO_EENDPOINT, 0);
		return;
	}
	if (entry->state == ENTRY_DISPATCHED) {
		entry->resume_endpoint = entry->endpoint;
		entry->resume_stream = entry->id;
	}
	entry->resumes++;
	entry->state = ENTRY_RESUMING;
	entry->requested_at = now;
	entry_schedule(table, entry, now + resume_delay(entry));
}

/*
 * The endpoint has no such stream. If this request dispatched it, the endpoint
 * has lost it. If another request with the same key claimed it, that one may be
 * about to dispatch: the witnesses are queried again until the deadline.
 */
static void on_stream_unknown(entry_table_t *table, pimento_usec_t now,
			      entry_t *entry)
{
	bool own = pimento_reqid_equal(entry->resume_stream, entry->id);

	if (own || !entry->claim || entry->caller_disconnected) {
		entry_release(table, entry, RELEASE_FAILED);
		entry_refuse(table, entry, PIMENTO_MAY_HAVE_RUN,
			     PIMENTO_EENDPOINT, 0);
		return;
	}
	entry->state = ENTRY_QUERYING_OUTCOME;
	entry_schedule(table, entry, now + RESUME_DELAY_STEP);
}

/*
 * The caller disconnected. Before the dispatch the request ends. After it, a
 * stream without a key is cancelled, as no one can retrieve the answer; one
 * with a key continues, because a retry with that key may ask for the answer.
 */
static void on_caller_disconnected(entry_table_t *table, pimento_usec_t now,
				   entry_t *entry)
{
	pimento_action_t action = { .kind = PIMENTO_ACTION_CANCEL };

	table->counters.callers_disconnected++;
	if (entry->claim && entry->state == ENTRY_DISPATCHED) {
		entry->caller_disconnected = true;
		return;
	}
	if (entry->state == ENTRY_DISPATCHED) {
		action.request = entry_get_handle(table, entry);
		action.endpoint = entry->endpoint;
		action.stream = entry->id;
		entry_queue_action(table, &action);
		entry_release(table, entry, RELEASE_CANCELLED);
	} else {
		entry_release(table, entry, RELEASE_UNUSED);
		if (entry->claim && entry->state != ENTRY_RESUMING)
			claim_seal(entry->claim, now, table->out);
	}
	finish_request(table, entry);
}

void entry_event(entry_table_t *table, pimento_usec_t now,
		 pimento_handle_t handle, const pimento_event_t *event)
{
	entry_t *entry = entry_find(table, handle);
	bool sent;

	if (!entry)
		return;
	sent = entry->state == ENTRY_DISPATCHED ||
	       entry->state == ENTRY_RESUMING;
	switch (event->kind) {
	case PIMENTO_EVENT_UNREACHABLE:
		if (entry->state == ENTRY_CONNECTING)
			on_unreachable(table, now, entry);
		else if (entry->state == ENTRY_RESUMING)
			on_connection_lost(table, now, entry);
		return;
	case PIMENTO_EVENT_TOKENS:
		if (sent)
			on_tokens(table, now, entry, event);
		return;
	case PIMENTO_EVENT_DONE:
		if (sent)
			on_done(table, now, entry, event);
		return;
	case PIMENTO_EVENT_CONNECTION_LOST:
		if (sent)
			on_connection_lost(table, now, entry);
		return;
	case PIMENTO_EVENT_STREAM_UNKNOWN:
		if (sent)
			on_stream_unknown(table, now, entry);
		return;
	case PIMENTO_EVENT_CALLER_DISCONNECTED:
		on_caller_disconnected(table, now, entry);
		return;
	default:
		return;
	}
}

static void tick_resuming(entry_table_t *table, pimento_usec_t now,
			  entry_t *entry)
{
	if (now >= entry->deadline + RESUME_GRACE && entry->requested_at) {
		entry_release(table, entry, RELEASE_FAILED);
		entry_refuse(table, entry, PIMENTO_MAY_HAVE_RUN,
			     PIMENTO_EENDPOINT, 0);
		return;
	}
	if (entry->requested_at) {
		entry->requested_at = 0;
		entry_resume(table, entry);
		return;
	}
	entry_send_progress(table, now, entry);
	entry_schedule(table, entry, now + PROGRESS_PERIOD);
}

/* The reservation and the query of the key's claim run in parallel. */
static void tick_reserving(entry_table_t *table, pimento_usec_t now,
			   entry_t *entry)
{
	if (entry->claim && entry->claim->state == CLAIM_QUERYING &&
	    now >= claim_deadline(entry->claim))
		entry_claim_tick(table, now, entry);
	if (entry->state != ENTRY_RESERVING && entry->state != ENTRY_WAITING)
		return;
	if (now >= entry->reserve_due)
		entry_reserve_tick(table, now, entry);
	else
		entry_schedule(table, entry, entry->reserve_due);
}

static void tick_entry(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	switch (entry->state) {
	case ENTRY_RESERVING:
	case ENTRY_WAITING:
		tick_reserving(table, now, entry);
		return;
	case ENTRY_CLAIMING:
	case ENTRY_QUERYING_OUTCOME:
	case ENTRY_SEALING:
		entry_claim_tick(table, now, entry);
		return;
	case ENTRY_CONNECTING:
		/* entry_commit() will refuse to send after the deadline. */
		entry_schedule(table, entry, now + PROGRESS_PERIOD);
		return;
	case ENTRY_DISPATCHED:
		entry_send_progress(table, now, entry);
		entry_schedule(table, entry, now + PROGRESS_PERIOD);
		return;
	case ENTRY_RESUMING:
		tick_resuming(table, now, entry);
		return;
	case ENTRY_CLOSING:
		(void)claim_tick(entry->claim, now, table->out);
		entry_free(table, entry);
		return;
	case ENTRY_FREE:
	case ENTRY_STATE_COUNT:
	default:
		return;
	}
}

/* A claim or a connection under way is let finish; then its time is over. */
static void refuse_waiting(entry_table_t *table, pimento_usec_t now,
			   entry_t *entry, int error)
{
	switch (entry->state) {
	case ENTRY_RESERVING:
	case ENTRY_WAITING:
		entry_release(table, entry, RELEASE_UNUSED);
		entry_abort(table, now, entry, error, 0);
		return;
	case ENTRY_CLAIMING:
	case ENTRY_CONNECTING:
		if (entry->deadline > now)
			entry->deadline = now;
		return;
	default:
		return;
	}
}

void entry_refuse_waiting(entry_table_t *table, pimento_usec_t now, int error)
{
	for (uint32_t i = 0; i < table->high_water; i++)
		refuse_waiting(table, now, &table->entries[i], error);
}

void entry_tick(entry_table_t *table, pimento_usec_t now)
{
	table->next_wake = PIMENTO_NEVER;
	for (uint32_t i = 0; i < table->high_water; i++) {
		entry_t *entry = &table->entries[i];

		if (entry->state != ENTRY_FREE && entry->wake_at <= now)
			tick_entry(table, now, entry);
		if (entry->state != ENTRY_FREE &&
		    entry->wake_at < table->next_wake)
			table->next_wake = entry->wake_at;
	}
}
