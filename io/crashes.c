#include "crashes.h"

#include "exchange.h"
#include "paths.h"
#include "sys.h"
#include "trail.h"

#include <stdlib.h>
#include <string.h>

/* A request whose endpoint may have ended waits so long to know. */
#define UNDECIDED_WAIT (100 * PIMENTO_MSEC)
/* An owner that does not answer within this is asked again. */
#define TRIAL_ANSWER (100 * PIMENTO_MSEC)
/* Less than the owner's lease. */
#define TRIAL_SPAN (4 * PIMENTO_SEC)
/* Endpoints that may end under one request. */
#define ENDS_MAX 2
/* What is not known after this is not taken for an end of the endpoint. */
#define DECIDED_WITHIN (3 * PIMENTO_SEC)
/* An answer that has gone on for so long does not end its endpoint. */
#define BEGUN_SPAN (500 * PIMENTO_MSEC)
#define BEGUN_EVENTS 4
#define CANDIDATES_MAX 256

void crashes_init(crashes_t *crashes, const quarantine_limits_t *limits)
{
	*crashes = (crashes_t){ 0 };
	quarantine_init(&crashes->quarantine, limits);
}

void crashes_finish(crashes_t *crashes)
{
	while (crashes->count)
		crashes->candidates[--crashes->count].endpoint->refs--;
	quarantine_finish(&crashes->quarantine);
	free(crashes->candidates);
	crashes->candidates = NULL;
	crashes->size = 0;
}

static crash_candidate_t *add_candidate(crashes_t *crashes)
{
	uint32_t size = crashes->size ? crashes->size * 2 : 16;
	crash_candidate_t *grown;

	if (crashes->count < crashes->size)
		return &crashes->candidates[crashes->count++];
	if (size > CANDIDATES_MAX)
		return NULL;
	grown = realloc(crashes->candidates, size * sizeof(*grown));
	if (!grown)
		return NULL;
	crashes->candidates = grown;
	crashes->size = size;
	return &grown[crashes->count++];
}

/* Trials. */

static void send_trial(gateway_t *gateway, uint32_t address,
		       packet_trial_kind_t kind, uint64_t part, uint64_t ticket,
		       uint32_t suspects, pimento_usec_t now)
{
	const crashes_t *crashes = &gateway->crashes;
	const quarantine_record_t *record =
		quarantine_find(&crashes->quarantine, part);
	packet_trial_t trial = {
		.kind = kind,
		.address = gateway->roster->self,
		.ticket = ticket,
		.suspects = suspects,
		.evidence.part = part,
	};

	if (record)
		trial.evidence = record->evidence;
	quarantine_shift(&trial.evidence, -now);
	if (crashes->send)
		crashes->send(crashes->send_context, address, &trial);
}

/* Tells the part's owner that a trial is over, and what came of it. */
static void release_trial(gateway_t *gateway, uint64_t part, uint64_t ticket,
			  pimento_usec_t now)
{
	uint32_t owner = peers_owner(gateway->roster, part);

	if (owner == gateway->roster->self)
		quarantine_release(&gateway->crashes.quarantine, part, ticket);
	else
		send_trial(gateway, owner, PACKET_TRIAL_RELEASE, part, ticket,
			   0, now);
}

static void granted(exchange_t *x, pimento_usec_t now)
{
	x->trial.granted = true;
	x->trial.until = now + TRIAL_SPAN;
	x->gateway->crashes.trials++;
	trail(TRAIL_STATE, "quarantine", "trial", "part=%llx id=%s",
	      (unsigned long long)x->trial.part, x->call.id);
}

static void ask_for_trial(exchange_t *x, const quarantine_verdict_t *verdict,
			  pimento_usec_t now)
{
	gateway_t *gateway = x->gateway;
	uint32_t owner = peers_owner(gateway->roster, verdict->part);
	bool renewed = x->trial.granted && x->trial.part == verdict->part;

	if (x->trial.granted && !renewed)
		release_trial(gateway, x->trial.part, x->trial.ticket, now);
	x->trial = (crash_trial_t){
		.part = verdict->part,
		.ticket = renewed ? x->trial.ticket : gateway_draw(gateway) | 1,
		.asked_at = now,
		.granted = renewed,
	};
	if (owner != gateway->roster->self)
		send_trial(gateway, owner, PACKET_TRIAL_REQUEST, verdict->part,
			   x->trial.ticket, verdict->suspects, now);
	else if (quarantine_lease(&gateway->crashes.quarantine, verdict->part,
				  verdict->suspects, x->trial.ticket, now))
		granted(x, now);
	else
		x->trial.denied = true;
}

static crash_decision_t check_trial(exchange_t *x,
				    const quarantine_verdict_t *verdict,
				    pimento_usec_t now)
{
	crash_trial_t *trial = &x->trial;
	bool asked = trial->ticket && trial->part == verdict->part &&
		     now - trial->asked_at < TRIAL_ANSWER;

	if (!asked)
		ask_for_trial(x, verdict, now);
	if (trial->until > now)
		return CRASH_SEND;
	return verdict->state == QUARANTINE_HELD && trial->denied ? CRASH_REJECT
								  : CRASH_WAIT;
}

crash_decision_t crashes_check(exchange_t *x, pimento_usec_t now)
{
	const quarantine_t *quarantine = &x->gateway->crashes.quarantine;
	quarantine_verdict_t verdict;

	if (x->undecided && now - x->broke_at < UNDECIDED_WAIT)
		return CRASH_WAIT;
	verdict = quarantine_judge(quarantine, x->call.parts,
				   x->call.part_count, now);
	if (verdict.state == QUARANTINE_CLEAR)
		return CRASH_SEND;
	if (x->ended >= ENDS_MAX)
		return CRASH_REJECT;
	if (x->trial.until > now && x->trial.part == verdict.part)
		return CRASH_SEND;
	if (verdict.trial_at > now)
		return verdict.state == QUARANTINE_HELD ? CRASH_REJECT
							: CRASH_WAIT;
	return check_trial(x, &verdict, now);
}

void crashes_sent(exchange_t *x)
{
	x->trial.until = 0; /* the next attempt needs another trial */
}

void crashes_answered(exchange_t *x, pimento_usec_t now)
{
	gateway_t *gateway = x->gateway;

	x->parts_cleared = true;
	for (uint32_t i = 0; i < x->call.part_count; i++)
		quarantine_add_answer(&gateway->crashes.quarantine,
				      x->call.parts[i], now);
	if (x->trial.granted)
		release_trial(gateway, x->trial.part, x->trial.ticket, now);
	x->trial = (crash_trial_t){ 0 };
}

void crashes_forget(exchange_t *x)
{
	crashes_t *crashes = &x->gateway->crashes;

	for (uint32_t i = 0; i < crashes->count; i++)
		if (crashes->candidates[i].request == x)
			crashes->candidates[i].request = NULL;
	if (x->trial.granted)
		release_trial(x->gateway, x->trial.part, x->trial.ticket,
			      sys_now());
}

static exchange_t *find_trial(const gateway_t *gateway, uint64_t ticket)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next)
		if (x->trial.ticket == ticket)
			return x;
	return NULL;
}

static void take_answer(gateway_t *gateway, const packet_trial_t *trial,
			pimento_usec_t now)
{
	exchange_t *x = find_trial(gateway, trial->ticket);

	if (!x) {
		if (trial->kind == PACKET_TRIAL_GRANT)
			release_trial(gateway, trial->evidence.part,
				      trial->ticket, now);
		return;
	}
	if (trial->kind == PACKET_TRIAL_GRANT)
		granted(x, now);
	else
		x->trial.denied = true;
	placing_pump(gateway, x->service);
}

void crashes_receive(gateway_t *gateway, const packet_trial_t *trial,
		     pimento_usec_t now)
{
	quarantine_t *quarantine = &gateway->crashes.quarantine;
	quarantine_evidence_t evidence = trial->evidence;
	bool lease;

	quarantine_shift(&evidence, now);
	quarantine_merge(quarantine, &evidence, now);
	switch (trial->kind) {
	case PACKET_TRIAL_REQUEST:
		lease = quarantine_lease(quarantine, evidence.part,
					 trial->suspects, trial->ticket, now);
		send_trial(gateway, trial->address,
			   lease ? PACKET_TRIAL_GRANT : PACKET_TRIAL_DENIAL,
			   evidence.part, trial->ticket, 0, now);
		break;
	case PACKET_TRIAL_RELEASE:
		quarantine_release(quarantine, evidence.part, trial->ticket);
		break;
	default:
		take_answer(gateway, trial, now);
		break;
	}
}

/* Ends of endpoints. */

bool crashes_has_begun(const exchange_t *x, pimento_usec_t now)
{
	return x->first_event_at && x->first_event_at >= x->sent_at &&
	       now - x->first_event_at >= BEGUN_SPAN &&
	       x->events.count - x->events_before >= BEGUN_EVENTS;
}

/* The same on all hosts; another one after each start of the endpoint. */
static uint32_t process_of(const registry_endpoint_t *endpoint)
{
	uint64_t mixed = endpoint->key;

	mixed ^= (uint64_t)endpoint->started_at_ms * 0x9e3779b97f4a7c15u;
	mixed ^= endpoint->port * 0xbf58476d1ce4e5b9u;
	return (uint32_t)(mixed ^ mixed >> 32);
}

void crashes_broken(exchange_t *x, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = x->endpoint;
	crash_candidate_t *candidate;

	if (!x->call.part_count)
		return;
	candidate = add_candidate(&x->gateway->crashes);
	if (!candidate)
		return;
	*candidate = (crash_candidate_t){
		.endpoint = endpoint,
		.incarnation = x->life,
		.process = process_of(endpoint),
		.broke_at = now,
		.request = x,
		.trial_part = x->trial.part,
		.trial_ticket = x->trial.granted ? x->trial.ticket : 0,
		.begun = crashes_has_begun(x, now),
		.part_count = x->call.part_count,
	};
	memcpy(candidate->parts, x->call.parts, sizeof(candidate->parts));
	endpoint->refs++;
	x->undecided = true;
	x->broke_at = now;
	x->trial = (crash_trial_t){ 0 }; /* the candidate has it now */
	if (endpoint->ended_at)
		crashes_ended(x->gateway, endpoint, now);
	else
		paths_verify(x->gateway, endpoint);
}

/*
 * Evidence against the request's parts. A part that is held explains the end;
 * the others, which sound requests may share, are not charged with it.
 */
static void charge(gateway_t *gateway, const crash_candidate_t *candidate,
		   pimento_usec_t now)
{
	quarantine_t *quarantine = &gateway->crashes.quarantine;
	const quarantine_end_t end = { candidate->process,
				       candidate->broke_at };
	quarantine_verdict_t verdict = quarantine_judge(
		quarantine, candidate->parts, candidate->part_count, now);

	for (uint32_t i = 0; i < candidate->part_count; i++) {
		const quarantine_record_t *record =
			quarantine_find(quarantine, candidate->parts[i]);

		if (verdict.state != QUARANTINE_HELD ||
		    (record &&
		     quarantine_state(quarantine, record) == QUARANTINE_HELD))
			quarantine_add_end(quarantine, candidate->parts[i],
					   &end, now);
	}
}

/* It is known what became of the endpoint, or never will be. */
static void drop_candidate(gateway_t *gateway, uint32_t index,
			   pimento_usec_t now)
{
	crashes_t *crashes = &gateway->crashes;
	crash_candidate_t *candidate = &crashes->candidates[index];

	if (candidate->request)
		candidate->request->undecided = false;
	if (candidate->trial_ticket)
		release_trial(gateway, candidate->trial_part,
			      candidate->trial_ticket, now);
	candidate->endpoint->refs--;
	*candidate = crashes->candidates[--crashes->count];
}

void crashes_reached(gateway_t *gateway, registry_endpoint_t *endpoint,
		     pimento_usec_t since)
{
	crashes_t *crashes = &gateway->crashes;
	bool undecided = false;

	endpoint->ended_at = 0;
	for (uint32_t i = crashes->count; i-- > 0;) {
		if (crashes->candidates[i].endpoint != endpoint)
			continue;
		if (crashes->candidates[i].broke_at <= since)
			drop_candidate(gateway, i, sys_now());
		else
			undecided = true;
	}
	if (undecided)
		paths_verify(gateway, endpoint);
}

/* The process of this incarnation has ended. */
static void conclude(gateway_t *gateway, const registry_endpoint_t *endpoint,
		     uint32_t incarnation, pimento_usec_t now)
{
	crashes_t *crashes = &gateway->crashes;
	uint32_t requests = 0;
	uint32_t begun = 0;

	for (uint32_t i = crashes->count; i-- > 0;) {
		const crash_candidate_t *candidate = &crashes->candidates[i];

		if (candidate->endpoint != endpoint ||
		    candidate->incarnation != incarnation)
			continue;
		requests++;
		begun += candidate->begun;
		if (candidate->request)
			candidate->request->ended++;
		if (!candidate->begun)
			charge(gateway, candidate, now);
		drop_candidate(gateway, i, now);
	}
	if (!requests)
		return;
	crashes->requests += requests;
	trail(TRAIL_STATE, "endpoint", "ended",
	      "endpoint=%s requests=%u begun=%u", endpoint->id, requests,
	      begun);
}

void crashes_ended(gateway_t *gateway, registry_endpoint_t *endpoint,
		   pimento_usec_t now)
{
	if (!endpoint->ended_at)
		gateway->crashes.ended++;
	endpoint->ended_at = now;
	conclude(gateway, endpoint, endpoint->incarnation, now);
}

static void log_change(const quarantine_t *quarantine,
		       const quarantine_record_t *record, pimento_usec_t now)
{
	const quarantine_evidence_t *evidence = &record->evidence;

	trail(TRAIL_STATE, "quarantine",
	      quarantine_state_name(record->reported),
	      "part=%llx ends=%u answered_ms=%lld trial_in_ms=%lld",
	      (unsigned long long)evidence->part, evidence->end_count,
	      evidence->answered ? (long long)((now - evidence->answered_at) /
					       PIMENTO_MSEC)
				 : -1,
	      (long long)((quarantine_trial_at(quarantine, record, 1) - now) /
			  PIMENTO_MSEC));
}

void crashes_tick(gateway_t *gateway, pimento_usec_t now)
{
	crashes_t *crashes = &gateway->crashes;
	const quarantine_record_t *record;

	while ((record = quarantine_next_change(&crashes->quarantine)))
		log_change(&crashes->quarantine, record, now);
	quarantine_tick(&crashes->quarantine, now);

	for (uint32_t i = crashes->count; i-- > 0;) {
		const crash_candidate_t *candidate;

		if (i >= crashes->count)
			continue; /* dropped with another one */
		candidate = &crashes->candidates[i];
		if (candidate->incarnation != candidate->endpoint->incarnation)
			conclude(gateway, candidate->endpoint,
				 candidate->incarnation, now);
		else if (now - candidate->broke_at > DECIDED_WITHIN)
			drop_candidate(gateway, i, now);
	}
}
