#include "trials.h"

#include "exchange.h"
#include "sys.h"
#include "trail.h"

/* A request waits this long to learn whether its endpoint has ended. */
#define UNDECIDED_WAIT (200 * PIMENTO_MSEC)
/* An owner that does not answer within this is asked again. */
#define OWNER_TIMEOUT (100 * PIMENTO_MSEC)
/* A granted trial is sent within this; the owner's lease lasts longer. */
#define TRIAL_SPAN (4 * PIMENTO_SEC)
/* A request under which so many endpoints have ended is sent to no other. */
#define ENDS_MAX 2

void trials_init(trials_t *trials,
		 const quarantine_limits_t limits[QUARANTINE_KINDS])
{
	*trials = (trials_t){ 0 };
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++)
		quarantine_init(&trials->quarantines[kind],
				(quarantine_kind_t)kind, &limits[kind]);
}

void trials_finish(trials_t *trials)
{
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++)
		quarantine_finish(&trials->quarantines[kind]);
}

static quarantine_t *quarantine_of(gateway_t *gateway, quarantine_kind_t kind)
{
	return &gateway->trials.quarantines[kind];
}

/* Messages. */

static void send_trial(gateway_t *gateway, uint32_t address,
		       packet_trial_kind_t what, quarantine_kind_t kind,
		       const trial_t *trial, uint32_t suspects,
		       pimento_usec_t now)
{
	const trials_t *trials = &gateway->trials;
	const quarantine_record_t *record =
		quarantine_find(quarantine_of(gateway, kind), trial->id);
	packet_trial_t packet = {
		.kind = what,
		.address = gateway->roster->self,
		.ticket = trial->ticket,
		.suspects = suspects,
		.evidence = { .kind = kind, .id = trial->id },
	};

	if (record)
		packet.evidence = record->evidence;
	quarantine_shift(&packet.evidence, -now);
	if (trials->send)
		trials->send(trials->send_context, address, &packet);
}

void trials_release(gateway_t *gateway, quarantine_kind_t kind,
		    const trial_t *trial, pimento_usec_t now)
{
	uint32_t owner;

	if (!trial->granted)
		return;
	owner = peers_owner(gateway->roster, trial->id);
	if (owner == gateway->roster->self)
		quarantine_release(quarantine_of(gateway, kind), trial->id,
				   trial->ticket);
	else
		send_trial(gateway, owner, PACKET_TRIAL_RELEASE, kind, trial, 0,
			   now);
}

static void release_all(exchange_t *x, pimento_usec_t now)
{
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++) {
		trials_release(x->gateway, (quarantine_kind_t)kind,
			       &x->trials[kind], now);
		x->trials[kind] = (trial_t){ 0 };
	}
}

/*
 * The next attempt of the request may come to any host at once: gossip would be
 * too late.
 */
static void tell_all(gateway_t *gateway, uint64_t fingerprint,
		     pimento_usec_t now)
{
	const peers_t *roster = gateway->roster;
	const trial_t none = { .id = fingerprint };

	for (uint32_t i = 0; i < roster->count; i++)
		if (!peers_is_dead(roster, roster->list[i]->address))
			send_trial(gateway, roster->list[i]->address,
				   PACKET_TRIAL_EVIDENCE, QUARANTINE_REQUESTS,
				   &none, 0, now);
}

void trials_tell_end(gateway_t *gateway, uint64_t fingerprint,
		     pimento_usec_t now)
{
	uint32_t owner = peers_owner(gateway->roster, fingerprint);
	const trial_t none = { .id = fingerprint };

	if (quarantine_is_near(quarantine_of(gateway, QUARANTINE_REQUESTS),
			       fingerprint, 0))
		tell_all(gateway, fingerprint, now);
	else if (owner != gateway->roster->self)
		send_trial(gateway, owner, PACKET_TRIAL_EVIDENCE,
			   QUARANTINE_REQUESTS, &none, 0, now);
}

/* Requests. */

static void grant(exchange_t *x, trial_t *trial, pimento_usec_t now)
{
	trial->granted = true;
	trial->until = now + TRIAL_SPAN;
	x->gateway->trials.granted++;
	trail(TRAIL_STATE, "quarantine", "trial", "%s=%llx id=%s",
	      quarantine_kind_name((quarantine_kind_t)(trial - x->trials)),
	      (unsigned long long)trial->id, x->call.id);
}

static void ask_for_trial(exchange_t *x, const quarantine_verdict_t *verdict,
			  pimento_usec_t now)
{
	gateway_t *gateway = x->gateway;
	trial_t *trial = &x->trials[verdict->kind];
	uint32_t owner = peers_owner(gateway->roster, verdict->id);
	bool renewed = trial->granted && trial->id == verdict->id;

	if (!renewed)
		trials_release(gateway, verdict->kind, trial, now);
	*trial = (trial_t){
		.id = verdict->id,
		.ticket = renewed ? trial->ticket : gateway_draw(gateway) | 1,
		.asked_at = now,
		.granted = renewed,
	};
	if (owner != gateway->roster->self)
		send_trial(gateway, owner, PACKET_TRIAL_REQUEST, verdict->kind,
			   trial, verdict->suspects, now);
	else if (quarantine_lease(quarantine_of(gateway, verdict->kind),
				  verdict->id, verdict->suspects, trial->ticket,
				  now))
		grant(x, trial, now);
	else
		trial->denied = true;
}

static trial_decision_t check_trial(exchange_t *x,
				    const quarantine_verdict_t *verdict,
				    pimento_usec_t now)
{
	const trial_t *trial = &x->trials[verdict->kind];
	bool asked = trial->ticket && trial->id == verdict->id &&
		     now - trial->asked_at < OWNER_TIMEOUT;

	if (!asked)
		ask_for_trial(x, verdict, now);
	if (trial->until > now)
		return TRIAL_SEND;
	return verdict->state == QUARANTINE_HELD && trial->denied ? TRIAL_REJECT
								  : TRIAL_WAIT;
}

/* True if the last attempt may have ended an endpoint, and that would matter. */
static bool awaits_verdict(const exchange_t *x, pimento_usec_t now)
{
	const quarantine_t *quarantines = x->gateway->trials.quarantines;
	uint32_t undecided =
		crashes_count_undecided(&x->gateway->crashes, x->fingerprint);

	if (undecided && quarantine_is_near(&quarantines[QUARANTINE_REQUESTS],
					    x->fingerprint, undecided))
		return true;
	return x->undecided && now - x->broke_at < UNDECIDED_WAIT &&
	       !quarantine_is_proven(&quarantines[QUARANTINE_PARTS],
				     x->call.parts, x->call.part_count, now);
}

bool trials_holds_failure(const exchange_t *x, pimento_usec_t now)
{
	return x->undecided && now - x->broke_at < UNDECIDED_WAIT;
}

static quarantine_verdict_t judge_as(const exchange_t *x,
				     quarantine_kind_t kind, pimento_usec_t now)
{
	const quarantine_t *quarantine = &x->gateway->trials.quarantines[kind];

	if (kind == QUARANTINE_REQUESTS)
		return quarantine_judge(quarantine, &x->fingerprint, 1, now);
	return quarantine_judge(quarantine, x->call.parts, x->call.part_count,
				now);
}

quarantine_verdict_t trials_judge(const exchange_t *x, pimento_usec_t now)
{
	quarantine_verdict_t worst = { .state = QUARANTINE_CLEAR };

	for (int kind = 0; kind < QUARANTINE_KINDS; kind++) {
		quarantine_verdict_t verdict =
			judge_as(x, (quarantine_kind_t)kind, now);

		if (verdict.state > worst.state)
			worst = verdict;
	}
	return worst;
}

static trial_decision_t check(exchange_t *x, quarantine_kind_t kind,
			      pimento_usec_t now)
{
	quarantine_verdict_t verdict = judge_as(x, kind, now);
	const trial_t *trial = &x->trials[kind];

	if (verdict.state == QUARANTINE_CLEAR)
		return TRIAL_SEND;
	if (x->ended >= ENDS_MAX)
		return TRIAL_REJECT;
	/* also if a trial was granted before the end that holds it */
	if (verdict.state == QUARANTINE_HELD && verdict.trial_at > now)
		return TRIAL_REJECT;
	if (trial->until > now && trial->id == verdict.id)
		return TRIAL_SEND;
	if (verdict.trial_at > now)
		return TRIAL_WAIT;
	return check_trial(x, &verdict, now);
}

trial_decision_t trials_check(exchange_t *x, pimento_usec_t now)
{
	trial_decision_t decision = TRIAL_SEND;

	if (awaits_verdict(x, now))
		return TRIAL_WAIT;
	for (int kind = 0; kind < QUARANTINE_KINDS && decision == TRIAL_SEND;
	     kind++)
		decision = check(x, (quarantine_kind_t)kind, now);
	return decision;
}

void trials_sent(exchange_t *x)
{
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++)
		x->trials[kind].until = 0; /* the next attempt needs another */
}

bool trials_is_trial(const exchange_t *x)
{
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++)
		if (x->trials[kind].granted)
			return true;
	return false;
}

static void clear_parts(exchange_t *x, quarantine_kind_t kind,
			pimento_usec_t now)
{
	quarantine_t *quarantine = quarantine_of(x->gateway, kind);

	for (uint32_t i = 0; i < x->call.part_count; i++)
		quarantine_add_answer(quarantine, x->call.parts[i], now);
}

void trials_begun(exchange_t *x, pimento_usec_t now)
{
	trial_t *trial = &x->trials[QUARANTINE_PARTS];

	x->parts_cleared = true;
	clear_parts(x, QUARANTINE_PARTS, now);
	trials_release(x->gateway, QUARANTINE_PARTS, trial, now);
	*trial = (trial_t){ 0 };
}

void trials_answered(exchange_t *x, pimento_usec_t now)
{
	clear_parts(x, QUARANTINE_PARTS, now);
	clear_parts(x, QUARANTINE_LATE_PARTS, now);
	quarantine_add_answer(quarantine_of(x->gateway, QUARANTINE_REQUESTS),
			      x->fingerprint, now);
	release_all(x, now);
}

void trials_forget(exchange_t *x)
{
	release_all(x, sys_now());
}

/* The request that asked for a trial with this ticket. */
static exchange_t *find_trial(const gateway_t *gateway, quarantine_kind_t kind,
			      uint64_t ticket)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next)
		if (x->trials[kind].ticket == ticket)
			return x;
	return NULL;
}

static void take_answer(gateway_t *gateway, const packet_trial_t *packet,
			pimento_usec_t now)
{
	quarantine_kind_t kind = packet->evidence.kind;
	exchange_t *x = find_trial(gateway, kind, packet->ticket);
	const trial_t over = { .id = packet->evidence.id,
			       .ticket = packet->ticket,
			       .granted = packet->kind == PACKET_TRIAL_GRANT };

	if (!x) {
		trials_release(gateway, kind, &over, now);
		return;
	}
	if (packet->kind == PACKET_TRIAL_GRANT)
		grant(x, &x->trials[kind], now);
	else
		x->trials[kind].denied = true;
	placing_pump(gateway, x->service);
}

static void answer_trial(gateway_t *gateway, const packet_trial_t *packet,
			 pimento_usec_t now)
{
	quarantine_kind_t kind = packet->evidence.kind;
	const trial_t trial = { .id = packet->evidence.id,
				.ticket = packet->ticket };
	bool lease = quarantine_lease(quarantine_of(gateway, kind), trial.id,
				      packet->suspects, trial.ticket, now);

	send_trial(gateway, packet->address,
		   lease ? PACKET_TRIAL_GRANT : PACKET_TRIAL_DENIAL, kind,
		   &trial, 0, now);
}

/* The owner of a request tells all hosts once its ends matter. */
static void pass_on(gateway_t *gateway, const quarantine_evidence_t *evidence,
		    pimento_usec_t now)
{
	if (evidence->kind == QUARANTINE_REQUESTS &&
	    peers_owner(gateway->roster, evidence->id) == gateway->roster->self)
		trials_tell_end(gateway, evidence->id, now);
}

void trials_receive(gateway_t *gateway, const packet_trial_t *packet,
		    pimento_usec_t now)
{
	quarantine_evidence_t evidence = packet->evidence;
	quarantine_t *quarantine = quarantine_of(gateway, evidence.kind);

	quarantine_shift(&evidence, now);
	if (quarantine_merge(quarantine, &evidence, now))
		pass_on(gateway, &evidence, now);
	switch (packet->kind) {
	case PACKET_TRIAL_REQUEST:
		answer_trial(gateway, packet, now);
		break;
	case PACKET_TRIAL_RELEASE:
		quarantine_release(quarantine, evidence.id, packet->ticket);
		break;
	case PACKET_TRIAL_EVIDENCE:
		break;
	default:
		take_answer(gateway, packet, now);
		break;
	}
}

static void log_change(const quarantine_t *quarantine,
		       const quarantine_record_t *record, pimento_usec_t now)
{
	const quarantine_evidence_t *evidence = &record->evidence;

	trail(TRAIL_STATE, "quarantine",
	      quarantine_state_name(record->reported),
	      "%s=%llx ends=%u answered_ms=%lld trial_in_ms=%lld",
	      quarantine_kind_name(quarantine->kind),
	      (unsigned long long)evidence->id, evidence->end_count,
	      evidence->answered ? (long long)((now - evidence->answered_at) /
					       PIMENTO_MSEC)
				 : -1,
	      (long long)((quarantine_trial_at(quarantine, record, 1) - now) /
			  PIMENTO_MSEC));
}

void trials_tick(gateway_t *gateway, pimento_usec_t now)
{
	const quarantine_record_t *record;

	for (int kind = 0; kind < QUARANTINE_KINDS; kind++) {
		quarantine_t *quarantine =
			quarantine_of(gateway, (quarantine_kind_t)kind);

		while ((record = quarantine_next_change(quarantine)))
			log_change(quarantine, record, now);
		quarantine_tick(quarantine, now);
	}
}
