#include "quota_fleet.h"

#include <stdlib.h>

/* Bypass a host that does not answer. */
#define ASK_TIMEOUT (60 * PIMENTO_MSEC)
#define SILENT_FOR (1 * PIMENTO_SEC)
/*
 * A restarted host that still discovers peers takes others for owners than
 * they do. Were each of them to give out a whole limit, a surge would have it
 * many times over.
 */
#define HOLD_MOST (400 * PIMENTO_MSEC)
/* Part of a limit that a host gives out that is not the owner, but was asked. */
#define DEPUTY_PART 0.5
/* Hosts that died this lately may live on behind a cut. */
#define LOST_LATELY (20 * PIMENTO_SEC)
/* With this part of the hosts in reach the others' part is in the tolerance. */
#define MOST_HOSTS 0.8

void quota_fleet_init(quota_fleet_t *fleet, const quota_fleet_setup_t *setup)
{
	*fleet = (quota_fleet_t){
		.ops = setup->ops,
		.context = setup->context,
		.roster = setup->roster,
		.first_start = setup->first_start,
	};
	quota_init(&fleet->owned, setup->window, setup->first_start);
	quota_init(&fleet->own, setup->window, setup->first_start);
}

void quota_fleet_finish(quota_fleet_t *fleet)
{
	quota_finish(&fleet->owned);
	quota_finish(&fleet->own);
	free(fleet->pending);
}

static bool is_silent(const quota_fleet_t *fleet, uint32_t address,
		      pimento_usec_t now)
{
	for (uint32_t i = 0; i < QUOTA_FLEET_SILENT; i++)
		if (fleet->silent[i].address == address &&
		    fleet->silent[i].until > now)
			return true;
	return false;
}

static void set_silent(quota_fleet_t *fleet, uint32_t address,
		       pimento_usec_t now)
{
	fleet->silent[fleet->silent_next++ % QUOTA_FLEET_SILENT] =
		(quota_fleet_silent_t){ address, now + SILENT_FOR };
}

static void set_heard(quota_fleet_t *fleet, uint32_t address)
{
	for (uint32_t i = 0; i < QUOTA_FLEET_SILENT; i++)
		if (fleet->silent[i].address == address)
			fleet->silent[i].until = 0;
}

/* Part of a limit that this side of a cut may give out. */
static double side_part(const quota_fleet_t *fleet, pimento_usec_t now)
{
	double part = roster_part(fleet->roster, LOST_LATELY, now);

	return part >= MOST_HOSTS ? 1 : part;
}

static quota_verdict_t judge(quota_t *quota, const quota_message_t *ask,
			     pimento_usec_t now)
{
	quota_limit_t limit =
		quota_state(quota, ask->account, ask->version, ask->limit);
	int error = quota_admit(quota, ask->account, limit, ask->tier,
				ask->tokens, now);

	return (quota_verdict_t){
		.admitted = !error,
		.retry_after = error ? quota_retry_after(quota, ask->account,
							 limit, ask->tokens)
				     : 0,
		.level = quota_level(quota, ask->account),
	};
}

static quota_verdict_t judge_as_owner(quota_fleet_t *fleet,
				      const quota_message_t *ask, bool deputy,
				      pimento_usec_t now)
{
	quota_verdict_t verdict;

	fleet->owned.part = side_part(fleet, now) * (deputy ? DEPUTY_PART : 1);
	verdict = judge(&fleet->owned, ask, now);
	verdict.judge = fleet->roster->self;
	return verdict;
}

static quota_verdict_t judge_alone(quota_fleet_t *fleet,
				   const quota_message_t *ask,
				   pimento_usec_t now)
{
	fleet->alone++;
	fleet->own.part = 1.0 / roster_hosts(fleet->roster, now);
	return judge(&fleet->own, ask, now);
}

/* Ends an ask; the callee may ask anew. */
static void decide(quota_fleet_t *fleet, uint32_t index,
		   const quota_verdict_t *verdict)
{
	uint64_t ticket = fleet->pending[index].ask.ticket;

	fleet->pending[index] = fleet->pending[--fleet->pending_count];
	fleet->ops->decided(fleet->context, ticket, verdict);
}

/* The host to ask next: the owner, its successor; 0: neither answers. */
static uint32_t next_judge(const quota_fleet_t *fleet,
			   const quota_pending_t *pending, pimento_usec_t now)
{
	uint32_t owner = roster_owner(fleet->roster, pending->ask.account);
	uint32_t successor;

	if (owner != pending->sent_to && !is_silent(fleet, owner, now))
		return owner;
	successor =
		roster_successor(fleet->roster, pending->ask.account, owner);
	if (successor != pending->sent_to && !is_silent(fleet, successor, now))
		return successor;
	return 0;
}

static bool is_held(const quota_fleet_t *fleet, const quota_pending_t *pending,
		    pimento_usec_t now)
{
	return !fleet->first_start && now - pending->asked_at < HOLD_MOST &&
	       roster_is_discovering(fleet->roster, now);
}

/* Returns true if the ask is over: the table of those pending has changed. */
static bool send_on(quota_fleet_t *fleet, uint32_t index, pimento_usec_t now)
{
	quota_pending_t *pending = &fleet->pending[index];
	uint32_t address;
	quota_verdict_t verdict;

	if (is_held(fleet, pending, now))
		return false;
	address = next_judge(fleet, pending, now);
	if (address && address != fleet->roster->self) {
		pending->sent_to = address;
		pending->sent_at = now;
		fleet->ops->send(fleet->context, address, &pending->ask);
		return false;
	}
	if (address)
		verdict = judge_as_owner(
			fleet, &pending->ask,
			address != roster_owner(fleet->roster,
						pending->ask.account),
			now);
	else
		verdict = judge_alone(fleet, &pending->ask, now);
	decide(fleet, index, &verdict);
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

int quota_fleet_ask(quota_fleet_t *fleet, const quota_request_t *request,
		    pimento_usec_t now)
{
	quota_pending_t *pending = add_pending(fleet);

	if (!pending)
		return PIMENTO_ENOMEM;
	fleet->asked++;
	*pending = (quota_pending_t){
		.ask = { .kind = QUOTA_ASK,
			 .address = fleet->roster->self,
			 .account = (uint32_t)request->account,
			 .ticket = request->ticket,
			 .tokens = request->tokens,
			 .tier = request->tier,
			 .limit = request->limit,
			 .version = request->version },
		.asked_at = now,
	};
	(void)send_on(fleet, fleet->pending_count - 1, now);
	return 0;
}

void quota_fleet_cancel(quota_fleet_t *fleet, uint64_t ticket)
{
	for (uint32_t i = 0; i < fleet->pending_count; i++)
		if (fleet->pending[i].ask.ticket == ticket) {
			fleet->pending[i] =
				fleet->pending[--fleet->pending_count];
			return;
		}
}

void quota_fleet_refund(quota_fleet_t *fleet, uint32_t judge,
			pimento_id_t account, double tokens)
{
	const quota_message_t message = {
		.kind = QUOTA_REFUND,
		.address = fleet->roster->self,
		.account = (uint32_t)account,
		.tokens = tokens,
	};

	if (!judge)
		quota_refund(&fleet->own, account, tokens);
	else if (judge == fleet->roster->self)
		quota_refund(&fleet->owned, account, tokens);
	else
		fleet->ops->send(fleet->context, judge, &message);
}

static void take_ask(quota_fleet_t *fleet, const quota_message_t *ask,
		     pimento_usec_t now)
{
	uint32_t owner = roster_owner(fleet->roster, ask->account);
	quota_verdict_t verdict =
		judge_as_owner(fleet, ask, owner != fleet->roster->self, now);
	quota_message_t reply = *ask;

	reply.kind = QUOTA_REPLY;
	reply.address = fleet->roster->self;
	reply.admitted = verdict.admitted;
	reply.retry_after = verdict.retry_after;
	reply.level = verdict.level;
	fleet->ops->send(fleet->context, ask->address, &reply);
}

static void take_reply(quota_fleet_t *fleet, const quota_message_t *reply)
{
	const quota_verdict_t verdict = {
		.admitted = reply->admitted,
		.retry_after = reply->retry_after,
		.level = reply->level,
		.judge = reply->address,
	};

	set_heard(fleet, reply->address);
	for (uint32_t i = 0; i < fleet->pending_count; i++)
		if (fleet->pending[i].ask.ticket == reply->ticket) {
			decide(fleet, i, &verdict);
			return;
		}
	/* cancelled, or another host was asked and answered first */
	if (reply->admitted)
		quota_fleet_refund(fleet, reply->address, reply->account,
				   reply->tokens);
}

void quota_fleet_receive(quota_fleet_t *fleet, const quota_message_t *message,
			 pimento_usec_t now)
{
	switch (message->kind) {
	case QUOTA_ASK:
		take_ask(fleet, message, now);
		break;
	case QUOTA_REPLY:
		take_reply(fleet, message);
		break;
	case QUOTA_REFUND:
		quota_refund(&fleet->owned, message->account, message->tokens);
		break;
	case QUOTA_MESSAGES:
		break;
	}
}

/* Deals with one ask that is due; returns true if there may be more. */
static bool tick_one(quota_fleet_t *fleet, pimento_usec_t now)
{
	for (uint32_t i = 0; i < fleet->pending_count; i++) {
		quota_pending_t *pending = &fleet->pending[i];

		if (pending->sent_at && now - pending->sent_at < ASK_TIMEOUT)
			continue;
		if (pending->sent_at) {
			fleet->unanswered++;
			set_silent(fleet, pending->sent_to, now);
		}
		if (send_on(fleet, i, now))
			return true;
	}
	return false;
}

void quota_fleet_tick(quota_fleet_t *fleet, pimento_usec_t now)
{
	while (tick_one(fleet, now))
		;
}
