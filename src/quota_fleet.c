#include "quota_fleet.h"

#include <stdlib.h>

/* A host that does not answer a request in time is bypassed for a while. */
#define REQUEST_TIMEOUT (60 * PIMENTO_MSEC)
#define UNRESPONSIVE_TIME (1 * PIMENTO_SEC)
/*
 * Time between two batches of an account, for each host: its owner gets two
 * thousand of them a second, which the smallest links carry beside their
 * requests.
 */
#define BATCH_INTERVAL_PER_HOST ((pimento_usec_t)500)
/*
 * Requests of a restarted host that is still discovering its peers are deferred
 * for up to this time: with an incomplete list of hosts it picks other owners
 * than the rest do. Were each of these to admit a whole limit, a surge would be
 * admitted many times over.
 */
#define DISCOVERY_DEFER_MAX (400 * PIMENTO_MSEC)
/*
 * Fraction of an account's limit that a host admits when it decides requests in
 * place of the account's owner.
 */
#define NON_OWNER_LIMIT_RATIO 0.5
/* Hosts lost within this time may be alive across a network partition. */
#define LOST_HOST_WINDOW (20 * PIMENTO_SEC)
/*
 * With this fraction of the hosts in reach the whole limit is admitted: the
 * share of the others is within the operator's tolerance.
 */
#define FULL_LIMIT_HOSTS_RATIO 0.8

void quota_fleet_init(quota_fleet_t *fleet, const quota_fleet_setup_t *setup)
{
	*fleet = (quota_fleet_t){
		.ops = setup->ops,
		.context = setup->context,
		.peers = setup->peers,
		.first_start = setup->first_start,
		/* replies to a former process of this host match no batch */
		.last_batch = peers_incarnation(setup->peers) << 20,
	};
	quota_init(&fleet->owned, setup->window, setup->first_start);
	quota_init(&fleet->fallback, setup->window, setup->first_start);
}

void quota_fleet_finish(quota_fleet_t *fleet)
{
	quota_finish(&fleet->owned);
	quota_finish(&fleet->fallback);
	free(fleet->pending);
	free(fleet->batches);
	free(fleet->batch_times);
}

static bool is_unresponsive(const quota_fleet_t *fleet, uint32_t address,
			    pimento_usec_t now)
{
	for (uint32_t i = 0; i < QUOTA_FLEET_UNRESPONSIVE_MAX; i++)
		if (fleet->unresponsive[i].address == address &&
		    fleet->unresponsive[i].until > now)
			return true;
	return false;
}

static void mark_unresponsive(quota_fleet_t *fleet, uint32_t address,
			      pimento_usec_t now)
{
	fleet->unresponsive[fleet->unresponsive_next++ %
			    QUOTA_FLEET_UNRESPONSIVE_MAX] =
		(quota_fleet_unresponsive_t){ address,
					      now + UNRESPONSIVE_TIME };
}

static void mark_responsive(quota_fleet_t *fleet, uint32_t address)
{
	for (uint32_t i = 0; i < QUOTA_FLEET_UNRESPONSIVE_MAX; i++)
		if (fleet->unresponsive[i].address == address)
			fleet->unresponsive[i].until = 0;
}

/* Fraction of a limit that this side of a network partition may admit. */
static double partition_limit_ratio(const quota_fleet_t *fleet,
				    pimento_usec_t now)
{
	double live_share =
		peers_known_live_share(fleet->peers, LOST_HOST_WINDOW, now);

	return live_share >= FULL_LIMIT_HOSTS_RATIO ? 1 : live_share;
}

static quota_decision_t admit_or_refuse(quota_t *quota, uint32_t account,
					uint64_t version, quota_limit_t stated,
					const quota_item_t *item,
					pimento_usec_t now)
{
	quota_limit_t limit =
		quota_update_limit(quota, account, version, stated);
	int error = quota_admit(quota, account, limit, item->tier, item->tokens,
				now);

	return (quota_decision_t){
		.admitted = !error,
		.retry_after = error ? quota_retry_after(quota, account, limit,
							 item->tokens)
				     : 0,
		.level = quota_level(quota, account),
	};
}

static quota_decision_t decide_as_owner(quota_fleet_t *fleet,
					const quota_message_t *batch,
					uint32_t index, bool non_owner,
					pimento_usec_t now)
{
	quota_decision_t decision;

	fleet->owned.limit_ratio = partition_limit_ratio(fleet, now) *
				   (non_owner ? NON_OWNER_LIMIT_RATIO : 1);
	decision =
		admit_or_refuse(&fleet->owned, batch->account, batch->version,
				batch->limit, &batch->items[index], now);
	decision.deciding_host = fleet->peers->self;
	return decision;
}

static quota_decision_t decide_request_locally(quota_fleet_t *fleet,
					       const quota_message_t *batch,
					       uint32_t index,
					       pimento_usec_t now)
{
	fleet->local_decisions++;
	fleet->fallback.limit_ratio = 1.0 / peers_host_count(fleet->peers, now);
	return admit_or_refuse(&fleet->fallback, batch->account, batch->version,
			       batch->limit, &batch->items[index], now);
}

/* Decides a whole batch on this host, within the account's limit or its share. */
static void decide_here(quota_fleet_t *fleet, const quota_batch_t *batch,
			bool locally, pimento_usec_t now)
{
	bool non_owner = peers_owner(fleet->peers, batch->message.account) !=
			 fleet->peers->self;

	for (uint32_t i = 0; i < batch->message.count; i++) {
		quota_decision_t decision;

		if (!batch->tickets[i])
			continue;
		if (locally)
			decision = decide_request_locally(
				fleet, &batch->message, i, now);
		else
			decision = decide_as_owner(fleet, &batch->message, i,
						   non_owner, now);
		fleet->ops->decided(fleet->context, batch->tickets[i],
				    &decision);
	}
}

pimento_usec_t quota_fleet_batch_interval(const quota_fleet_t *fleet,
					  pimento_usec_t now)
{
	return peers_host_count(fleet->peers, now) * BATCH_INTERVAL_PER_HOST;
}

static quota_batch_time_t *find_batch_time(quota_fleet_t *fleet,
					   uint32_t account)
{
	quota_batch_time_t *grown;

	for (uint32_t i = 0; i < fleet->batch_time_count; i++)
		if (fleet->batch_times[i].account == account)
			return &fleet->batch_times[i];
	grown = realloc(fleet->batch_times,
			(fleet->batch_time_count + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	fleet->batch_times = grown;
	grown += fleet->batch_time_count++;
	*grown = (quota_batch_time_t){ .account = account };
	return grown;
}

/* The owner, or its successor if that does not answer; 0 if neither does. */
static uint32_t host_to_ask(const quota_fleet_t *fleet, uint32_t account,
			    uint32_t asked, pimento_usec_t now)
{
	uint32_t owner = peers_owner(fleet->peers, account);
	uint32_t successor;

	if (owner != asked && !is_unresponsive(fleet, owner, now))
		return owner;
	successor = peers_successor(fleet->peers, account, owner);
	if (successor != asked && !is_unresponsive(fleet, successor, now))
		return successor;
	return 0;
}

static quota_batch_t *add_batch(quota_fleet_t *fleet)
{
	uint32_t size = fleet->batch_size ? fleet->batch_size * 2 : 4;
	quota_batch_t *grown;

	if (fleet->batch_count == fleet->batch_size) {
		grown = realloc(fleet->batches, size * sizeof(*grown));
		if (!grown)
			return NULL;
		fleet->batches = grown;
		fleet->batch_size = size;
	}
	return &fleet->batches[fleet->batch_count++];
}

static void space_batch(quota_batch_time_t *last, pimento_usec_t interval,
			pimento_usec_t now)
{
	if (last->spaced_until < now)
		last->spaced_until = now;
	last->spaced_until += interval;
}

/* Sends a batch, or decides it here; decided() may add new requests. */
static void send_or_decide(quota_fleet_t *fleet, const quota_batch_t *batch,
			   uint32_t address, pimento_usec_t now)
{
	quota_batch_time_t *last;
	quota_batch_t *kept;

	if (!address || address == fleet->peers->self) {
		decide_here(fleet, batch, !address, now);
		return;
	}
	kept = add_batch(fleet);
	if (!kept) {
		decide_here(fleet, batch, true, now);
		return;
	}
	*kept = *batch;
	kept->sent_at = now;
	kept->sent_to = address;
	last = find_batch_time(fleet, batch->message.account);
	if (last)
		space_batch(last, quota_fleet_batch_interval(fleet, now), now);
	fleet->sent++;
	fleet->ops->send(fleet->context, address, &kept->message);
}

/* Moves the oldest requests of an account into a batch. */
static void fill_batch(quota_fleet_t *fleet, uint32_t account,
		       quota_batch_t *batch)
{
	uint32_t kept = 0;

	*batch = (quota_batch_t){
		.message = { .kind = QUOTA_REQUEST,
			     .address = fleet->peers->self,
			     .account = account,
			     .ticket = ++fleet->last_batch },
	};
	for (uint32_t i = 0; i < fleet->pending_count; i++) {
		const quota_pending_t *pending = &fleet->pending[i];
		quota_message_t *message = &batch->message;

		if (pending->account != account ||
		    message->count == QUOTA_BATCH_MAX) {
			fleet->pending[kept++] = *pending;
			continue;
		}
		if (pending->version >= message->version) {
			message->version = pending->version;
			message->limit = pending->limit;
		}
		batch->tickets[message->count] = pending->ticket;
		message->items[message->count++] = pending->item;
	}
	fleet->pending_count = kept;
}

static bool is_deferred(const quota_fleet_t *fleet,
			const quota_pending_t *pending, pimento_usec_t now)
{
	return !fleet->first_start &&
	       now - pending->requested_at < DISCOVERY_DEFER_MAX &&
	       peers_is_discovering(fleet->peers, now);
}

/* True if the batch that the request goes with may be sent now. */
static bool is_due(quota_fleet_t *fleet, const quota_pending_t *pending,
		   pimento_usec_t now)
{
	const quota_batch_time_t *last;

	if (is_deferred(fleet, pending, now))
		return false;
	last = find_batch_time(fleet, pending->account);
	return !last || last->spaced_until - now <=
				(QUOTA_BATCH_BURST - 1) *
					quota_fleet_batch_interval(fleet, now);
}

static void begin_batch(quota_fleet_t *fleet, uint32_t account,
			pimento_usec_t now)
{
	quota_batch_t batch;

	fill_batch(fleet, account, &batch);
	send_or_decide(fleet, &batch, host_to_ask(fleet, account, 0, now), now);
}

static quota_pending_t *add_pending(quota_fleet_t *fleet)
{
	uint32_t size = fleet->pending_size ? fleet->pending_size * 2 : 16;
	quota_pending_t *grown;

	if (fleet->pending_count == fleet->pending_size) {
		grown = realloc(fleet->pending, size * sizeof(*grown));
		if (!grown)
			return NULL;
		fleet->pending = grown;
		fleet->pending_size = size;
	}
	return &fleet->pending[fleet->pending_count++];
}

int quota_fleet_request(quota_fleet_t *fleet, const quota_request_t *request,
			pimento_usec_t now)
{
	quota_pending_t *pending = add_pending(fleet);

	if (!pending)
		return PIMENTO_ENOMEM;
	fleet->requests++;
	*pending = (quota_pending_t){
		.ticket = request->ticket,
		.account = (uint32_t)request->account,
		.version = request->version,
		.limit = request->limit,
		.item = { request->tokens, request->tier },
		.requested_at = now,
	};
	if (is_due(fleet, pending, now))
		begin_batch(fleet, pending->account, now);
	return 0;
}

static void remove_pending(quota_fleet_t *fleet, uint32_t index)
{
	fleet->pending_count--;
	for (uint32_t i = index; i < fleet->pending_count; i++)
		fleet->pending[i] = fleet->pending[i + 1];
}

void quota_fleet_cancel(quota_fleet_t *fleet, uint64_t ticket)
{
	for (uint32_t i = 0; i < fleet->pending_count; i++)
		if (fleet->pending[i].ticket == ticket) {
			remove_pending(fleet, i);
			return;
		}
	for (uint32_t i = 0; i < fleet->batch_count; i++)
		for (uint32_t k = 0; k < fleet->batches[i].message.count; k++)
			if (fleet->batches[i].tickets[k] == ticket)
				fleet->batches[i].tickets[k] = 0;
}

void quota_fleet_refund(quota_fleet_t *fleet, uint32_t deciding_host,
			pimento_id_t account, double tokens)
{
	const quota_message_t message = {
		.kind = QUOTA_REFUND,
		.address = fleet->peers->self,
		.account = (uint32_t)account,
		.tokens = tokens,
	};

	if (!deciding_host)
		quota_refund(&fleet->fallback, account, tokens);
	else if (deciding_host == fleet->peers->self)
		quota_refund(&fleet->owned, account, tokens);
	else
		fleet->ops->send(fleet->context, deciding_host, &message);
}

static void handle_request(quota_fleet_t *fleet, const quota_message_t *request,
			   pimento_usec_t now)
{
	bool non_owner = peers_owner(fleet->peers, request->account) !=
			 fleet->peers->self;
	quota_message_t reply = {
		.kind = QUOTA_REPLY,
		.address = fleet->peers->self,
		.account = request->account,
		.ticket = request->ticket,
		.count = request->count,
	};

	for (uint32_t i = 0; i < request->count; i++) {
		quota_decision_t decision =
			decide_as_owner(fleet, request, i, non_owner, now);

		if (decision.admitted) {
			reply.admitted |= (uint32_t)1 << i;
			reply.tokens += request->items[i].tokens;
		} else {
			reply.retry_after = decision.retry_after;
		}
		reply.level = decision.level;
	}
	fleet->ops->send(fleet->context, request->address, &reply);
}

static void apply_reply(quota_fleet_t *fleet, const quota_batch_t *batch,
			const quota_message_t *reply)
{
	quota_decision_t decision = {
		.level = reply->level,
		.deciding_host = reply->address,
	};

	for (uint32_t i = 0; i < reply->count; i++) {
		decision.admitted = (reply->admitted >> i & 1) != 0;
		decision.retry_after =
			decision.admitted ? 0 : reply->retry_after;
		if (batch->tickets[i])
			fleet->ops->decided(fleet->context, batch->tickets[i],
					    &decision);
		else if (decision.admitted)
			quota_fleet_refund(fleet, reply->address,
					   reply->account,
					   batch->message.items[i].tokens);
	}
}

/* What a host of an earlier version did not answer. */
static void drop_answered(quota_batch_t *batch, uint32_t answered)
{
	quota_message_t *message = &batch->message;

	message->count -= answered;
	for (uint32_t i = 0; i < message->count; i++) {
		message->items[i] = message->items[i + answered];
		batch->tickets[i] = batch->tickets[i + answered];
	}
}

static void handle_reply(quota_fleet_t *fleet, const quota_message_t *reply,
			 pimento_usec_t now)
{
	uint32_t i = 0;
	quota_batch_t batch;

	while (i < fleet->batch_count &&
	       fleet->batches[i].message.ticket != reply->ticket)
		i++;
	if (i == fleet->batch_count ||
	    fleet->batches[i].message.account != reply->account) {
		/* another host answered first, or none within its time */
		if (reply->admitted)
			quota_fleet_refund(fleet, reply->address,
					   reply->account, reply->tokens);
		return;
	}
	batch = fleet->batches[i];
	if (!reply->count || reply->count > batch.message.count)
		return;
	fleet->batches[i] = fleet->batches[--fleet->batch_count];
	if (reply->address == batch.sent_to)
		mark_responsive(fleet, reply->address);
	apply_reply(fleet, &batch, reply);
	drop_answered(&batch, reply->count);
	/* a late reply of another host answers the former batch */
	batch.message.ticket = ++fleet->last_batch;
	if (batch.message.count)
		send_or_decide(fleet, &batch, reply->address, now);
}

void quota_fleet_receive(quota_fleet_t *fleet, const quota_message_t *message,
			 pimento_usec_t now)
{
	switch (message->kind) {
	case QUOTA_REQUEST:
		handle_request(fleet, message, now);
		break;
	case QUOTA_REPLY:
		handle_reply(fleet, message, now);
		break;
	case QUOTA_REFUND:
		quota_refund(&fleet->owned, message->account, message->tokens);
		break;
	case QUOTA_MESSAGE_KINDS:
		break;
	}
}

/* Returns true if a batch was due, which changes the table of pending requests. */
static bool begin_one_due(quota_fleet_t *fleet, pimento_usec_t now)
{
	for (uint32_t i = 0; i < fleet->pending_count; i++)
		if (is_due(fleet, &fleet->pending[i], now)) {
			begin_batch(fleet, fleet->pending[i].account, now);
			return true;
		}
	return false;
}

/*
 * Asks the owner's successor once, then decides here: a host that answers late
 * would only get the same requests again. Returns true if there may be more.
 */
static bool end_one_unanswered(quota_fleet_t *fleet, pimento_usec_t now)
{
	for (uint32_t i = 0; i < fleet->batch_count; i++) {
		quota_batch_t batch = fleet->batches[i];
		uint32_t address = 0;

		if (now - batch.sent_at < REQUEST_TIMEOUT)
			continue;
		fleet->batches[i] = fleet->batches[--fleet->batch_count];
		fleet->unanswered++;
		mark_unresponsive(fleet, batch.sent_to, now);
		if (!batch.resent)
			address = host_to_ask(fleet, batch.message.account,
					      batch.sent_to, now);
		batch.resent = true;
		send_or_decide(fleet, &batch, address, now);
		return true;
	}
	return false;
}

/* Accounts come and go with the configuration. */
static void drop_old_batch_times(quota_fleet_t *fleet, pimento_usec_t now)
{
	for (uint32_t i = fleet->batch_time_count; i-- > 0;)
		if (fleet->batch_times[i].spaced_until <= now)
			fleet->batch_times[i] =
				fleet->batch_times[--fleet->batch_time_count];
}

void quota_fleet_tick(quota_fleet_t *fleet, pimento_usec_t now)
{
	while (end_one_unanswered(fleet, now))
		;
	while (begin_one_due(fleet, now))
		;
	drop_old_batch_times(fleet, now);
}
