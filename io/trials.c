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

void trials_init(trials_t *trials, const quarantine_limits_t *limits)
{
	*trials = (trials_t){ 0 };
	quarantine_init(&trials->quarantine, limits);
}

void trials_finish(trials_t *trials)
{
	quarantine_finish(&trials->quarantine);
}

static void send_trial(gateway_t *gateway, uint32_t address,
		       packet_trial_kind_t kind, uint64_t part, uint64_t ticket,
		       uint32_t suspects, pimento_usec_t now)
{
	const trials_t *trials = &gateway->trials;
	const quarantine_record_t *record =
		quarantine_find(&trials->quarantine, part);
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
	if (trials->send)
		trials->send(trials->send_context, address, &trial);
}

void trials_release(gateway_t *gateway, uint64_t part, uint64_t ticket,
		    pimento_usec_t now)
{
	uint32_t owner = peers_owner(gateway->roster, part);

	if (owner == gateway->roster->self)
		quarantine_release(&gateway->trials.quarantine, part, ticket);
	else
		send_trial(gateway, owner, PACKET_TRIAL_RELEASE, part, ticket,
			   0, now);
}

static void granted(exchange_t *x, pimento_usec_t now)
{
	x->trial.granted = true;
	x->trial.until = now + TRIAL_SPAN;
	x->gateway->trials.granted++;
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
		trials_release(gateway, x->trial.part, x->trial.ticket, now);
	x->trial = (trial_t){
		.part = verdict->part,
		.ticket = renewed ? x->trial.ticket : gateway_draw(gateway) | 1,
		.asked_at = now,
		.granted = renewed,
	};
	if (owner != gateway->roster->self)
		send_trial(gateway, owner, PACKET_TRIAL_REQUEST, verdict->part,
			   x->trial.ticket, verdict->suspects, now);
	else if (quarantine_lease(&gateway->trials.quarantine, verdict->part,
				  verdict->suspects, x->trial.ticket, now))
		granted(x, now);
	else
		x->trial.denied = true;
}

static trial_decision_t check_trial(exchange_t *x,
				    const quarantine_verdict_t *verdict,
				    pimento_usec_t now)
{
	trial_t *trial = &x->trial;
	bool asked = trial->ticket && trial->part == verdict->part &&
		     now - trial->asked_at < OWNER_TIMEOUT;

	if (!asked)
		ask_for_trial(x, verdict, now);
	if (trial->until > now)
		return TRIAL_SEND;
	return verdict->state == QUARANTINE_HELD && trial->denied ? TRIAL_REJECT
								  : TRIAL_WAIT;
}

trial_decision_t trials_check(exchange_t *x, pimento_usec_t now)
{
	const quarantine_t *quarantine = &x->gateway->trials.quarantine;
	quarantine_verdict_t verdict;

	if (x->undecided && now - x->broke_at < UNDECIDED_WAIT &&
	    !quarantine_is_proven(quarantine, x->call.parts, x->call.part_count,
				  now))
		return TRIAL_WAIT;
	verdict = quarantine_judge(quarantine, x->call.parts,
				   x->call.part_count, now);
	if (verdict.state == QUARANTINE_CLEAR)
		return TRIAL_SEND;
	if (x->ended >= ENDS_MAX)
		return TRIAL_REJECT;
	if (x->trial.until > now && x->trial.part == verdict.part)
		return TRIAL_SEND;
	if (verdict.trial_at > now)
		return verdict.state == QUARANTINE_HELD ? TRIAL_REJECT
							: TRIAL_WAIT;
	return check_trial(x, &verdict, now);
}

void trials_sent(exchange_t *x)
{
	x->trial.until = 0; /* the next attempt needs another trial */
}

void trials_answered(exchange_t *x, pimento_usec_t now)
{
	gateway_t *gateway = x->gateway;

	x->parts_cleared = true;
	for (uint32_t i = 0; i < x->call.part_count; i++)
		quarantine_add_answer(&gateway->trials.quarantine,
				      x->call.parts[i], now);
	if (x->trial.granted)
		trials_release(gateway, x->trial.part, x->trial.ticket, now);
	x->trial = (trial_t){ 0 };
}

void trials_forget(exchange_t *x)
{
	if (x->trial.granted)
		trials_release(x->gateway, x->trial.part, x->trial.ticket,
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
			trials_release(gateway, trial->evidence.part,
				       trial->ticket, now);
		return;
	}
	if (trial->kind == PACKET_TRIAL_GRANT)
		granted(x, now);
	else
		x->trial.denied = true;
	placing_pump(gateway, x->service);
}

void trials_receive(gateway_t *gateway, const packet_trial_t *trial,
		    pimento_usec_t now)
{
	quarantine_t *quarantine = &gateway->trials.quarantine;
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

void trials_tick(gateway_t *gateway, pimento_usec_t now)
{
	quarantine_t *quarantine = &gateway->trials.quarantine;
	const quarantine_record_t *record;

	while ((record = quarantine_next_change(quarantine)))
		log_change(quarantine, record, now);
	quarantine_tick(quarantine, now);
}
