#include "quota_fleet.h"

#include <stdlib.h>

/* A host that does not answer a request in time is bypassed for a while. */
#define REQUEST_TIMEOUT (60 * PIMENTO_MSEC)
#define UNRESPONSIVE_TIME (1 * PIMENTO_SEC)
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
	};
	quota_init(&fleet->owned, setup->window, setup->first_start);
	quota_init(&fleet->fallback, setup->window, setup->first_start);
}

void quota_fleet_finish(quota_fleet_t *fleet)
{
	quota_finish(&fleet->owned);
	quota_finish(&fleet->fallback);
	free(fleet->pending);
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

static quota_decision_t admit_or_refuse(quota_t *quota,
					const quota_message_t *request,
					pimento_usec_t now)
{
	quota_limit_t limit = quota_update_limit(
		quota, request->account, request->version, request->limit);
	int error = quota_admit(quota, request->account, limit, request->tier,
				request->tokens, now);

	return (quota_decision_t){
		.admitted = !error,
		.retry_after =
			error ? quota_retry_after(quota, request->account,
						  limit, request->tokens)
			      : 0,
		.level = quota_level(quota, request->account),
	};
}

static quota_decision_t decide_as_owner(quota_fleet_t *fleet,
					const quota_message_t *request,
					bool non_owner, pimento_usec_t now)
{
	quota_decision_t decision;

	fleet->owned.limit_ratio = partition_limit_ratio(fleet, now) *
				   (non_owner ? NON_OWNER_LIMIT_RATIO : 1);
	decision = admit_or_refuse(&fleet->owned, request, now);
	decision.deciding_host = fleet->peers->self;
	return decision;
}

static quota_decision_t decide_request_locally(quota_fleet_t *fleet,
					       const quota_message_t *request,
					       pimento_usec_t now)
{
	fleet->local_decisions++;
	fleet->fallback.limit_ratio = 1.0 / peers_host_count(fleet->peers, now);
	return admit_or_refuse(&fleet->fallback, request, now);
}

/* Ends a pending request; decided() may add new ones. */
static void finish_request(quota_fleet_t *fleet, uint32_t index,
			   const quota_decision_t *decision)
{
	uint64_t ticket = fleet->pending[index].request.ticket;

	fleet->pending[index] = fleet->pending[--fleet->pending_count];
	fleet->ops->decided(fleet->context, ticket, decision);
}

/* Host to ask next: the owner or its successor; 0 if neither answers. */
static uint32_t next_host(const quota_fleet_t *fleet,
			  const quota_pending_t *pending, pimento_usec_t now)
{
	uint32_t owner = peers_owner(fleet->peers, pending->request.account);
	uint32_t successor;

	if (owner != pending->sent_to && !is_unresponsive(fleet, owner, now))
		return owner;
	successor =
		peers_successor(fleet->peers, pending->request.account, owner);
	if (successor != pending->sent_to &&
	    !is_unresponsive(fleet, successor, now))
		return successor;
	return 0;
}

static bool is_deferred(const quota_fleet_t *fleet,
			const quota_pending_t *pending, pimento_usec_t now)
{
	return !fleet->first_start &&
	       now - pending->requested_at < DISCOVERY_DEFER_MAX &&
	       peers_is_discovering(fleet->peers, now);
}

/*
 * Sends a pending request to the next host or decides it here. Returns true if
 * it was decided, which changes the table of pending requests.
 */
static bool forward_or_decide_request(quota_fleet_t *fleet, uint32_t index,
				      pimento_usec_t now)
{
	quota_pending_t *pending = &fleet->pending[index];
	uint32_t address;
	quota_decision_t decision;

	if (is_deferred(fleet, pending, now))
		return false;
	address = next_host(fleet, pending, now);
	if (address && address != fleet->peers->self) {
		pending->sent_to = address;
		pending->sent_at = now;
		fleet->ops->send(fleet->context, address, &pending->request);
		return false;
	}
	if (address)
		decision = decide_as_owner(
			fleet, &pending->request,
			address != peers_owner(fleet->peers,
					       pending->request.account),
			now);
	else
		decision =
			decide_request_locally(fleet, &pending->request, now);
	finish_request(fleet, index, &decision);
	return true;
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
		.request = { .kind = QUOTA_REQUEST,
			     .address = fleet->peers->self,
			     .account = (uint32_t)request->account,
			     .ticket = request->ticket,
			     .tokens = request->tokens,
			     .tier = request->tier,
			     .limit = request->limit,
			     .version = request->version },
		.requested_at = now,
	};
	(void)forward_or_decide_request(fleet, fleet->pending_count - 1, now);
	return 0;
}

void quota_fleet_cancel(quota_fleet_t *fleet, uint64_t ticket)
{
	for (uint32_t i = 0; i < fleet->pending_count; i++)
		if (fleet->pending[i].request.ticket == ticket) {
			fleet->pending[i] =
				fleet->pending[--fleet->pending_count];
			return;
		}
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
	uint32_t owner = peers_owner(fleet->peers, request->account);
	quota_decision_t decision = decide_as_owner(
		fleet, request, owner != fleet->peers->self, now);
	quota_message_t reply = *request;

	reply.kind = QUOTA_REPLY;
	reply.address = fleet->peers->self;
	reply.admitted = decision.admitted;
	reply.retry_after = decision.retry_after;
	reply.level = decision.level;
	fleet->ops->send(fleet->context, request->address, &reply);
}

static void handle_reply(quota_fleet_t *fleet, const quota_message_t *reply)
{
	const quota_decision_t decision = {
		.admitted = reply->admitted,
		.retry_after = reply->retry_after,
		.level = reply->level,
		.deciding_host = reply->address,
	};

	mark_responsive(fleet, reply->address);
	for (uint32_t i = 0; i < fleet->pending_count; i++)
		if (fleet->pending[i].request.ticket == reply->ticket) {
			finish_request(fleet, i, &decision);
			return;
		}
	/* not pending: it was cancelled, or another host answered it first */
	if (reply->admitted)
		quota_fleet_refund(fleet, reply->address, reply->account,
				   reply->tokens);
}

void quota_fleet_receive(quota_fleet_t *fleet, const quota_message_t *message,
			 pimento_usec_t now)
{
	switch (message->kind) {
	case QUOTA_REQUEST:
		handle_request(fleet, message, now);
		break;
	case QUOTA_REPLY:
		handle_reply(fleet, message);
		break;
	case QUOTA_REFUND:
		quota_refund(&fleet->owned, message->account, message->tokens);
		break;
	case QUOTA_MESSAGE_KINDS:
		break;
	}
}

/*
 * Handles pending requests that are deferred or timed out, up to the first that
 * is decided. Returns true if there may be more.
 */
static bool process_one_due(quota_fleet_t *fleet, pimento_usec_t now)
{
	for (uint32_t i = 0; i < fleet->pending_count; i++) {
		quota_pending_t *pending = &fleet->pending[i];

		if (pending->sent_at &&
		    now - pending->sent_at < REQUEST_TIMEOUT)
			continue;
		if (pending->sent_at) {
			fleet->unanswered++;
			mark_unresponsive(fleet, pending->sent_to, now);
		}
		if (forward_or_decide_request(fleet, i, now))
			return true;
	}
	return false;
}

void quota_fleet_tick(quota_fleet_t *fleet, pimento_usec_t now)
{
	while (process_one_due(fleet, now))
		;
}
