/*
 * Reserving a slot for a request: pick the endpoint that is expected to finish
 * first, request a slot from its owner, and try another endpoint if refused.
 * Nothing here sends the request to an endpoint, so every step can be undone
 * and the request is still known not to have run.
 */

#include "entry_internal.h"

#include <string.h>

/*
 * Time allowed for an owner's reply. It normally takes one round trip between
 * hosts; this allows for many.
 */
#define RESERVE_TIMEOUT (150 * PIMENTO_MSEC)
#define RESERVE_RESENDS_MAX 2
/*
 * Interval of renewals of a queued reservation, and the time without a reply
 * after which its owner is considered lost.
 */
#define RENEW_PERIOD PIMENTO_SEC
#define RENEW_TIMEOUT (3 * PIMENTO_SEC)
/*
 * Delay after a host refused because it does not own the endpoint: a change of
 * membership has not reached every host yet.
 */
#define STALE_OWNER_RETRY_DELAY (40 * PIMENTO_MSEC)
/* Retry delay, and limit, while no endpoint or no owner can be reached. */
#define UNREACHABLE_RETRY_DELAY (150 * PIMENTO_MSEC)
#define UNREACHABLE_WAIT_MAX (3 * PIMENTO_SEC)
#define OWNER_CHANGES_MAX 50

/* Sets the reservation's time-out; the key's claim has its own. */
static void schedule_reserve(entry_table_t *table, entry_t *entry,
			     pimento_usec_t at)
{
	entry->reserve_due = at < entry->deadline ? at : entry->deadline;
	entry_schedule(table, entry, entry->reserve_due);
}

static void send_reserve(entry_table_t *table, pimento_usec_t now,
			 entry_t *entry)
{
	message_t message = { .kind = MESSAGE_RESERVE };
	message_reserve_t *reserve = &message.u.reserve;

	reserve->request = entry->id;
	reserve->round = entry->round;
	reserve->endpoint = entry->endpoint;
	reserve->account = entry->request.account;
	reserve->tier = entry->request.tier;
	reserve->hops = entry->hops;
	reserve->time_left = entry->deadline - now;
	reserve->prompt_tokens = entry->request.prompt_tokens;
	reserve->answer_tokens = entry->request.answer_tokens;
	reserve->prefix_hash = entry->request.prefix;
	entry->requested_at = now;
	outbox_put(table->out, entry->owner, &message);
}

static void request_slot(entry_table_t *table, pimento_usec_t now,
			 entry_t *entry, pimento_id_t endpoint, uint8_t hops)
{
	entry->state = ENTRY_RESERVING;
	entry->round++;
	entry->endpoint = endpoint;
	entry->endpoint_identity =
		route_endpoint_identity(table->route, endpoint);
	entry->hops = hops;
	entry->owner = membership_owner(table->membership, endpoint);
	if (!entry->owner)
		entry->owner = table->options.self;
	entry->last_reply_at = 0;
	entry->grant_expires_at = 0;
	entry->resends = 0;
	send_reserve(table, now, entry);
	schedule_reserve(table, entry, now + RESERVE_TIMEOUT);
}

static void fill_route_query(const entry_t *entry, pimento_usec_t now,
			     route_query_t *query)
{
	memset(query, 0, sizeof(*query));
	query->target = entry->request.is_model ? CONFIG_TARGET_MODEL
						: CONFIG_TARGET_SERVICE;
	query->target_name = entry->request.target;
	query->tier = entry->request.tier;
	query->time_left = entry->deadline - now;
	query->prompt_tokens = entry->request.prompt_tokens;
	query->answer_tokens = entry->request.answer_tokens;
	query->prefix = entry->request.prefix;
	query->avoid = entry->retry.refused;
	query->avoid_count = entry->retry.refused_count;
}

/*
 * No endpoint can be reached now. A restart of an endpoint takes about
 * UNREACHABLE_WAIT_MAX, so the request waits that long before it is refused.
 */
static bool retry_while_unreachable(entry_table_t *table, pimento_usec_t now,
				    entry_t *entry)
{
	if (!entry->unreachable_since)
		entry->unreachable_since = now;
	if (now - entry->unreachable_since > UNREACHABLE_WAIT_MAX)
		return false;
	entry->state = ENTRY_RESERVING;
	entry->owner = 0;
	schedule_reserve(table, entry, now + UNREACHABLE_RETRY_DELAY);
	return true;
}

void entry_reserve(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	route_query_t query;
	route_choice_t choice;
	int error = PIMENTO_EDEADLINE;

	fill_route_query(entry, now, &query);
	if (now < entry->deadline)
		error = route_pick(table->route, now, &query, &choice);
	if (!error) {
		request_slot(table, now, entry, choice.endpoint,
			     (uint8_t)entry->retry.refused_count);
		return;
	}
	if (error == PIMENTO_EUNREACHABLE && !entry->retry.refused_count &&
	    retry_while_unreachable(table, now, entry))
		return;
	if (entry->retry.reason)
		error = entry->retry.reason;
	entry_abort(table, now, entry, error, entry->retry.retry_after);
}

/* An owner refused the reservation: route.c selects the next one to try. */
static void reserve_after_refusal(entry_table_t *table, pimento_usec_t now,
				  entry_t *entry,
				  const message_refuse_t *refuse)
{
	route_query_t query;
	route_choice_t choice;
	uint8_t hops;
	int error = PIMENTO_EDEADLINE;

	fill_route_query(entry, now, &query);
	if (now < entry->deadline)
		error = route_handle_refusal(
			table->route, now, &entry->retry, &query,
			entry->request.client_timeout, entry->endpoint, refuse,
			&choice, &hops);
	if (error)
		entry_abort(table, now, entry, error, entry->retry.retry_after);
	else
		request_slot(table, now, entry, choice.endpoint, hops);
}

/*
 * A missing reply says nothing about the endpoint's capacity, only that its
 * owner is dead, partitioned or slow. Without another endpoint the same one is
 * tried again after a delay, in which the hosts assign it a new owner: the
 * failure of one host must not cause an urgent request to be refused.
 */
void entry_reroute(entry_table_t *table, pimento_usec_t now, entry_t *entry)
{
	pimento_id_t avoid[ROUTE_ATTEMPTS_MAX + 1];
	route_query_t query;
	route_choice_t choice;

	fill_route_query(entry, now, &query);
	memcpy(avoid, query.avoid, query.avoid_count * sizeof(avoid[0]));
	avoid[query.avoid_count++] = entry->endpoint;
	query.avoid = avoid;
	if (now < entry->deadline &&
	    !route_pick(table->route, now, &query, &choice)) {
		request_slot(table, now, entry, choice.endpoint,
			     (uint8_t)entry->retry.refused_count);
		return;
	}
	entry->state = ENTRY_RESERVING;
	entry->owner = 0;
	schedule_reserve(table, entry, now + UNREACHABLE_RETRY_DELAY);
}

void entry_release(entry_table_t *table, entry_t *entry,
		   release_outcome_t outcome)
{
	message_t message = { .kind = MESSAGE_RELEASE };
	message_release_t *release = &message.u.release;

	if (!entry->endpoint || !entry->owner)
		return;
	release->request = entry->id;
	release->round = entry->round;
	release->endpoint = entry->endpoint;
	release->epoch = entry->epoch;
	release->outcome = (uint8_t)outcome;
	release->prompt_tokens = entry->request.prompt_tokens;
	release->answer_tokens = entry->tokens;
	if (entry->first_token_at) {
		release->time_to_first_token =
			entry->first_token_at - entry->sent_at;
		release->decode_time =
			entry->last_token_at - entry->first_token_at;
	} else {
		release->decode_time = entry->unstreamed_span;
	}
	outbox_put(table->out, entry->owner, &message);
	entry->owner = 0;
	entry->grant_expires_at = 0;
}

/*
 * Holds a grant while the query of the key's claim is unanswered. If the grant
 * expires first, the slot is released and reserved again.
 */
static void keep_grant_during_query(entry_table_t *table, pimento_usec_t now,
				    entry_t *entry)
{
	if (now < entry->grant_expires_at) {
		schedule_reserve(table, entry, entry->grant_expires_at);
		return;
	}
	entry_release(table, entry, RELEASE_UNUSED);
	entry_reserve(table, now, entry);
}

void entry_reserve_tick(entry_table_t *table, pimento_usec_t now,
			entry_t *entry)
{
	pimento_usec_t since_last_reply =
		now - (entry->last_reply_at ? entry->last_reply_at
					    : entry->requested_at);

	if (now >= entry->deadline) {
		entry_release(table, entry, RELEASE_UNUSED);
		entry_abort(table, now, entry, PIMENTO_EDEADLINE,
			    entry->retry.retry_after);
		return;
	}
	if (entry->grant_expires_at) {
		keep_grant_during_query(table, now, entry);
		return;
	}
	if (entry->state == ENTRY_RESERVING && !entry->owner) {
		entry_reserve(table, now, entry);
		return;
	}
	if (entry->state == ENTRY_WAITING && since_last_reply < RENEW_TIMEOUT) {
		send_reserve(table, now, entry);
		schedule_reserve(table, entry, now + RENEW_PERIOD);
		return;
	}
	if (entry->state == ENTRY_RESERVING &&
	    entry->resends < RESERVE_RESENDS_MAX) {
		entry->resends++;
		send_reserve(table, now, entry);
		schedule_reserve(table, entry, now + RESERVE_TIMEOUT);
		return;
	}
	/*
	 * The owner does not reply: it is dead, partitioned or paused. Owners
	 * never dispatch, so the request can safely go to another endpoint. A
	 * grant that arrives later is of an old round and will be released.
	 */
	entry_release(table, entry, RELEASE_UNUSED);
	entry_reroute(table, now, entry);
}

/* Releases a grant for a reservation that was superseded or has ended. */
static void release_stale_grant(entry_table_t *table, pimento_id_t from,
				const message_grant_t *grant)
{
	message_t message = { .kind = MESSAGE_RELEASE };

	message.u.release.request = grant->request;
	message.u.release.round = grant->round;
	message.u.release.endpoint = grant->summary.endpoint;
	message.u.release.epoch = grant->epoch;
	message.u.release.outcome = RELEASE_UNUSED;
	outbox_put(table->out, from, &message);
}

/*
 * Returns the entry that awaits a reply of the owner `from` to its reservation
 * number `round`, or NULL.
 */
static entry_t *find_waiting_entry(entry_table_t *table, pimento_id_t from,
				   pimento_reqid_t id, uint32_t round)
{
	entry_t *entry = entry_find(table, id.lo);

	if (id.hi != table->options.incarnation || !entry)
		return NULL;
	if (entry->round != round || entry->owner != from)
		return NULL;
	if (entry->state != ENTRY_RESERVING && entry->state != ENTRY_WAITING)
		return NULL;
	return entry;
}

static void handle_grant(entry_table_t *table, pimento_usec_t now,
			 pimento_id_t from, const message_grant_t *grant)
{
	entry_t *entry =
		find_waiting_entry(table, from, grant->request, grant->round);
	const entry_t *current = entry_find(table, grant->request.lo);

	if (entry && !entry->grant_expires_at) {
		entry->last_reply_at = now;
		entry->epoch = grant->epoch;
		entry->grant_expires_at = now + grant->lifetime;
		entry_on_grant(table, now, entry);
		return;
	}
	/* A duplicate of the grant in use is ignored; a stale one is released. */
	if (current && current->round == grant->round &&
	    current->owner == from &&
	    grant->request.hi == table->options.incarnation)
		return;
	release_stale_grant(table, from, grant);
}

static void handle_wait(entry_table_t *table, pimento_usec_t now,
			pimento_id_t from, const message_wait_t *wait)
{
	entry_t *entry =
		find_waiting_entry(table, from, wait->request, wait->round);

	if (!entry || entry->grant_expires_at)
		return;
	entry->state = ENTRY_WAITING;
	entry->last_reply_at = now;
	entry->resends = 0;
	schedule_reserve(table, entry, now + RENEW_PERIOD);
}

static void handle_refuse(entry_table_t *table, pimento_usec_t now,
			  pimento_id_t from, const message_refuse_t *refuse)
{
	entry_t *entry =
		find_waiting_entry(table, from, refuse->request, refuse->round);

	if (!entry)
		return;
	entry->owner = 0;
	entry->grant_expires_at = 0;
	if (refuse->reason == PIMENTO_ESTALE &&
	    entry->owner_changes < OWNER_CHANGES_MAX) {
		entry->owner_changes++;
		entry->state = ENTRY_RESERVING;
		schedule_reserve(table, entry, now + STALE_OWNER_RETRY_DELAY);
		return;
	}
	reserve_after_refusal(table, now, entry, refuse);
}

/*
 * Passes a witness's reply to the entries with that key; the sequence number,
 * unique in this host, tells each claim whether the reply is for it.
 */
static void handle_witness_reply(entry_table_t *table, pimento_usec_t now,
				 pimento_id_t from,
				 const message_witness_t *witness)
{
	for (uint32_t i = 0; i < table->high_water; i++) {
		entry_t *entry = &table->entries[i];
		claim_event_t event;

		if (entry->state == ENTRY_FREE || !entry->claim ||
		    !pimento_key_equal(entry->key, witness->key))
			continue;
		event = claim_receive(entry->claim, now, from, witness,
				      table->out);
		if (entry->state == ENTRY_CLOSING)
			entry_free(table, entry);
		else if (event)
			entry_on_claim_event(table, now, entry, event);
	}
}

int entry_receive(entry_table_t *table, pimento_usec_t now, pimento_id_t from,
		  const message_t *message)
{
	switch (message->kind) {
	case MESSAGE_GRANT:
		route_update_summary(table->route, now,
				     &message->u.grant.summary);
		handle_grant(table, now, from, &message->u.grant);
		return PIMENTO_OK;
	case MESSAGE_WAIT:
		route_update_summary(table->route, now,
				     &message->u.wait.summary);
		handle_wait(table, now, from, &message->u.wait);
		return PIMENTO_OK;
	case MESSAGE_REFUSE:
		route_update_summary(table->route, now,
				     &message->u.refuse.summary);
		handle_refuse(table, now, from, &message->u.refuse);
		return PIMENTO_OK;
	case MESSAGE_WITNESS:
		handle_witness_reply(table, now, from, &message->u.witness);
		return PIMENTO_OK;
	default:
		return PIMENTO_EINVAL;
	}
}

/* Reports a slot in use to the endpoint's new owner; the dispatch continues. */
static void move_slot(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		      pimento_id_t owner)
{
	if (!entry->owner || entry->owner == owner)
		return;
	entry->owner = owner;
	entry_send_progress(table, now, entry);
}

/* Nothing was sent to the endpoint, so a slot can be reserved anew. */
static void move_reservation(entry_table_t *table, pimento_usec_t now,
			     entry_t *entry, pimento_id_t owner)
{
	if (entry->grant_expires_at || !entry->owner || entry->owner == owner)
		return;
	entry_release(table, entry, RELEASE_UNUSED);
	entry_reserve(table, now, entry);
}

void entry_owners_changed(entry_table_t *table, pimento_usec_t now)
{
	for (uint32_t i = 0; i < table->high_water; i++) {
		entry_t *entry = &table->entries[i];
		pimento_id_t owner;

		if (entry->state == ENTRY_FREE || !entry->endpoint)
			continue;
		owner = membership_owner(table->membership, entry->endpoint);
		if (entry->state == ENTRY_RESERVING ||
		    entry->state == ENTRY_WAITING)
			move_reservation(table, now, entry, owner);
		else if (entry->state == ENTRY_DISPATCHED ||
			 entry->state == ENTRY_RESUMING)
			move_slot(table, now, entry, owner);
	}
}
