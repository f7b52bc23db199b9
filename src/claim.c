/*
 * The entry's side of the claim protocol: the state machine of one keyed
 * request, from its arrival until its verdict is certain.
 *
 * A query reads what the witnesses know of the key. A take requests that only
 * this dispatch may run; it succeeds when a quorum agrees. A seal requests that
 * the attempt be barred for good; once a quorum agrees, the attempt has not run
 * and never will, because a quorum for its claim would have to include a witness
 * that has sealed it. Agreement never expires, so replies may be delayed,
 * duplicated or reordered; messages are resent with the same sequence number
 * until the step's deadline.
 *
 * A take that can no longer reach a quorum turns into a seal. That withdraws the
 * claim from the witnesses that agreed to it; otherwise two entries that each
 * hold one witness would block the key for everybody.
 */

#include "claim.h"

#include <string.h>

/* Divisor of a step's time limit: the interval between resends of a message. */
#define RESENDS_PER_STEP 8

int claim_init(claim_t *claim, const claim_options_t *options)
{
	const witness_set_t *set = &options->witnesses;

	memset(claim, 0, sizeof(*claim));
	if (pimento_key_is_none(options->key) || !set->count ||
	    set->count > PIMENTO_WITNESSES_MAX || set->quorum > set->count ||
	    2 * set->quorum <= set->count)
		return PIMENTO_EINVAL;
	if (options->timeout <= 0 || options->timeout > CLAIM_STEP_TIMEOUT_MAX)
		return PIMENTO_EINVAL;
	claim->options = *options;
	claim->sequence = options->sequence;
	claim->attempt = options->attempt;
	claim->resend_at = PIMENTO_NEVER;
	claim->deadline = PIMENTO_NEVER;
	return PIMENTO_OK;
}

static uint32_t count_bits(uint32_t mask)
{
	return (uint32_t)__builtin_popcount(mask);
}

static bool step_pending(const claim_t *claim)
{
	switch (claim->state) {
	case CLAIM_QUERYING:
	case CLAIM_TAKING:
	case CLAIM_SEALING:
	case CLAIM_WITHDRAWING:
	case CLAIM_REPORTING:
		return true;
	default:
		return false;
	}
}

static claim_op_t op_for_state(claim_state_t state)
{
	switch (state) {
	case CLAIM_TAKING:
		return CLAIM_TAKE;
	case CLAIM_SEALING:
	case CLAIM_WITHDRAWING:
		return CLAIM_SEAL;
	case CLAIM_REPORTING:
		return CLAIM_DONE;
	default:
		return CLAIM_QUERY;
	}
}

/*
 * The age of the key now, since it grows while the request waits for its grant.
 * If messages stated the age at the request's arrival, a witness that restarted
 * in between would take the key for one created after its restart and would not
 * abstain.
 */
static pimento_usec_t key_age(const claim_t *claim, pimento_usec_t now)
{
	pimento_usec_t value;

	if (claim->options.key_age == CLAIM_AGE_UNKNOWN)
		return CLAIM_AGE_UNKNOWN;
	value = now - claim->key_created;
	return value == CLAIM_AGE_UNKNOWN ? 0 : value;
}

/*
 * Sends the step's message to each witness that has neither agreed nor refused.
 * A message that a full outbox drops is resent like one lost on the network.
 */
static void send_requests(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	const witness_set_t *set = &claim->options.witnesses;
	uint32_t done_mask = claim->agreed_mask | claim->refused_mask;
	message_t message = { .kind = MESSAGE_CLAIM };
	message_claim_t *msg = &message.u.claim;

	msg->op = (uint8_t)op_for_state(claim->state);
	msg->key = claim->options.key;
	msg->sequence = claim->sequence;
	msg->witness_set_hash = set->set_hash;
	msg->key_age = key_age(claim, now);
	msg->attempt = claim->attempt;
	msg->dispatch = claim->dispatch;
	msg->dispatch.digest = claim->options.digest;
	for (uint32_t i = 0; i < set->count; i++) {
		if (done_mask & 1U << i)
			continue;
		msg->incarnation = set->incarnations[i];
		outbox_put(out, set->hosts[i], &message);
	}
	claim->resend_at = now + claim->options.timeout / RESENDS_PER_STEP;
}

static void begin_step(claim_t *claim, pimento_usec_t now, claim_state_t state,
		       outbox_t *out)
{
	claim->state = state;
	claim->sequence++;
	claim->answered_mask = 0;
	claim->agreed_mask = 0;
	claim->refused_mask = 0;
	claim->expired = false;
	memset(claim->reports, 0, sizeof(claim->reports));
	claim->deadline = now + claim->options.timeout;
	send_requests(claim, now, out);
}

static claim_event_t end_step(claim_t *claim, claim_state_t state,
			      claim_event_t event)
{
	claim->state = state;
	claim->resend_at = PIMENTO_NEVER;
	claim->deadline = PIMENTO_NEVER;
	return event;
}

void claim_start(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	if (claim->state != CLAIM_IDLE)
		return;
	claim->key_created = now - claim->options.key_age;
	begin_step(claim, now, CLAIM_QUERYING, out);
}

void claim_take(claim_t *claim, pimento_usec_t now,
		const message_dispatch_t *dispatch, outbox_t *out)
{
	if (claim->state != CLAIM_AVAILABLE && claim->state != CLAIM_TAKEN)
		return;
	claim->dispatch = *dispatch;
	claim->take_sent = true;
	begin_step(claim, now, CLAIM_TAKING, out);
}

void claim_seal(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	if (claim->state == CLAIM_SEALING || claim->state == CLAIM_REPORTING)
		return;
	if (claim->state == CLAIM_IDLE)
		claim->key_created = now - claim->options.key_age;
	if (!claim->attempt)
		claim->attempt = claim->sealed + 1;
	begin_step(claim, now, CLAIM_SEALING, out);
}

void claim_complete(claim_t *claim, pimento_usec_t now,
		    const message_dispatch_t *dispatch, outbox_t *out)
{
	if (claim->state != CLAIM_TAKEN)
		return;
	claim->dispatch = *dispatch;
	claim->dispatch.done = 1;
	begin_step(claim, now, CLAIM_REPORTING, out);
}

static int witness_index(const claim_t *claim, pimento_id_t from,
			 const message_witness_t *reply)
{
	const witness_set_t *set = &claim->options.witnesses;

	if (reply->sequence != claim->sequence ||
	    !pimento_key_equal(reply->key, claim->options.key))
		return -1;
	for (uint32_t i = 0; i < set->count; i++) {
		if (set->hosts[i] == from)
			return (int)i;
	}
	return -1;
}

/* Returns the number of witnesses that hold the claim of this dispatch. */
static uint32_t count_holders(const claim_t *claim, pimento_reqid_t request)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < claim->options.witnesses.count; i++) {
		const claim_report_t *report = &claim->reports[i];

		count += report->attempt &&
			 pimento_reqid_equal(report->dispatch_id, request);
	}
	return count;
}

/*
 * True if a claim of this attempt has not won and cannot win: a quorum has sealed
 * the attempt and holds no claim. Such a claim remains at a witness when an entry
 * dies during a take.
 */
static bool sealed_by_quorum(const claim_t *claim, uint32_t attempt)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < claim->options.witnesses.count; i++) {
		const claim_report_t *report = &claim->reports[i];

		count += (claim->answered_mask & 1U << i) && !report->attempt &&
			 report->sealed >= attempt;
	}
	return count >= claim->options.witnesses.quorum;
}

static bool is_own_dispatch(const claim_t *claim, pimento_reqid_t request)
{
	return pimento_reqid_equal(claim->dispatch.id, request);
}

/*
 * Returns the reported claim of another entry that is most likely to have won, or
 * NULL if none can have won.
 */
static const claim_report_t *strongest_rival(const claim_t *claim)
{
	const claim_report_t *best = NULL;

	for (uint32_t i = 0; i < claim->options.witnesses.count; i++) {
		const claim_report_t *report = &claim->reports[i];

		if (!report->attempt ||
		    is_own_dispatch(claim, report->dispatch_id))
			continue;
		if (!report->done && sealed_by_quorum(claim, report->attempt))
			continue;
		if (!best || report->done ||
		    (!best->done &&
		     count_holders(claim, report->dispatch_id) >
			     count_holders(claim, best->dispatch_id)))
			best = report;
	}
	return best;
}

/* True if another entry's claim holds a quorum or its outcome is known. */
static bool rival_won(const claim_t *claim)
{
	const claim_report_t *report = strongest_rival(claim);

	return report &&
	       (report->done || count_holders(claim, report->dispatch_id) >=
					claim->options.witnesses.quorum);
}

/* Keeps a reported dispatch if it is that of the strongest rival claim. */
static void record_rival_dispatch(claim_t *claim,
				  const message_dispatch_t *dispatch)
{
	const claim_report_t *best = strongest_rival(claim);

	if (!best || !pimento_reqid_equal(best->dispatch_id, dispatch->id))
		return;
	claim->held = *dispatch;
	claim->held_valid = true;
}

static void record_reply(claim_t *claim, int index,
			 const message_witness_t *reply)
{
	claim_report_t *report = &claim->reports[index];
	uint32_t bit = 1U << index;

	report->attempt = reply->attempt;
	report->dispatch_id = reply->dispatch.id;
	report->done = reply->attempt && reply->dispatch.done;
	switch (reply->result) {
	case PIMENTO_OK:
		claim->agreed_mask |= bit;
		claim->answered_mask |= bit;
		break;
	case PIMENTO_ECLAIMED:
	case PIMENTO_ESEALED:
		claim->answered_mask |= bit;
		break;
	default:
		claim->refused_mask |= bit;
		claim->expired |= reply->result == PIMENTO_EEXPIRED;
		break;
	}
	if (claim->answered_mask & bit && reply->sealed > report->sealed)
		report->sealed = reply->sealed;
	if (report->sealed > claim->sealed)
		claim->sealed = report->sealed;
	if (reply->attempt)
		record_rival_dispatch(claim, &reply->dispatch);
}

static bool quorum_agreed(const claim_t *claim)
{
	return count_bits(claim->agreed_mask) >=
	       claim->options.witnesses.quorum;
}

/* True if the witnesses outside the mask are too few for a quorum. */
static bool quorum_impossible(const claim_t *claim, uint32_t mask)
{
	const witness_set_t *set = &claim->options.witnesses;

	return set->count - count_bits(mask) < set->quorum;
}

static claim_event_t held_event(claim_t *claim)
{
	claim->held_reported = true;
	claim->reported_dispatch = claim->held.id;
	return claim->held.digest == claim->options.digest ? CLAIM_HELD
							   : CLAIM_MISMATCH;
}

/*
 * The attempt is the one that the caller named, or else the one after the highest
 * sealed attempt. A caller's attempt is never raised: it may already have been
 * reported as "not run", so dispatching it under another number would be wrong.
 */
static claim_event_t end_query_unclaimed_key(claim_t *claim, pimento_usec_t now,
					     outbox_t *out)
{
	if (!claim->attempt)
		claim->attempt = claim->sealed + 1;
	if (claim->attempt > claim->sealed)
		return end_step(claim, CLAIM_AVAILABLE, CLAIM_FREE);
	begin_step(claim, now, CLAIM_SEALING, out);
	return CLAIM_NO_EVENT;
}

static claim_event_t end_query_held_key(claim_t *claim)
{
	if (!claim->attempt)
		claim->attempt = strongest_rival(claim)->attempt;
	return end_step(claim, CLAIM_ENDED, held_event(claim));
}

/*
 * A claim at a single witness may be left over from an entry that died, which
 * the replies still missing could show. They are awaited until the first resend
 * only, since a caller should not wait longer for an answer that already exists.
 */
static claim_event_t decide_query_step(claim_t *claim, pimento_usec_t now,
				       bool timed_out, outbox_t *out)
{
	const witness_set_t *set = &claim->options.witnesses;
	uint32_t replied = claim->answered_mask | claim->refused_mask;
	bool quorum = count_bits(claim->answered_mask) >= set->quorum;

	if (strongest_rival(claim)) {
		if (timed_out || rival_won(claim) ||
		    count_bits(replied) == set->count ||
		    (quorum && now >= claim->resend_at))
			return end_query_held_key(claim);
		return CLAIM_NO_EVENT;
	}
	if (quorum)
		return end_query_unclaimed_key(claim, now, out);
	if (claim->expired && quorum_impossible(claim, claim->refused_mask))
		return end_step(claim, CLAIM_ENDED, CLAIM_EXPIRED);
	if (timed_out || quorum_impossible(claim, claim->refused_mask))
		return end_step(claim, CLAIM_ENDED, CLAIM_NO_QUORUM);
	return CLAIM_NO_EVENT;
}

static claim_event_t decide_take_step(claim_t *claim, pimento_usec_t now,
				      bool timed_out, outbox_t *out)
{
	uint32_t replied = claim->answered_mask | claim->refused_mask;

	if (quorum_agreed(claim))
		return end_step(claim, CLAIM_TAKEN, CLAIM_WON);
	if (timed_out ||
	    quorum_impossible(claim, replied & ~claim->agreed_mask))
		begin_step(claim, now, CLAIM_SEALING, out);
	return CLAIM_NO_EVENT;
}

/*
 * Another entry's claim that holds no quorum may still be withdrawn, so the
 * result is open until the deadline. A dispatch that was already reported as
 * held, and that the entry could not resume, is not reported again.
 */
static claim_event_t evaluate_seal(claim_t *claim, bool timed_out)
{
	bool is_new;

	if (quorum_agreed(claim))
		return CLAIM_NOT_RUN;
	if (!timed_out && !rival_won(claim) &&
	    !quorum_impossible(claim, claim->refused_mask))
		return CLAIM_NO_EVENT;
	is_new = claim->held_valid &&
		 (!claim->held_reported || claim->held.done ||
		  !pimento_reqid_equal(claim->reported_dispatch,
				       claim->held.id));
	return is_new ? held_event(claim) : CLAIM_MAY_HAVE_RUN;
}

static bool none_pending(const claim_t *claim)
{
	return count_bits(claim->agreed_mask | claim->refused_mask) ==
	       claim->options.witnesses.count;
}

/*
 * Returns the event as soon as it is certain. If a take was sent, its claim must
 * still be withdrawn from the witnesses that have not confirmed the seal.
 */
static claim_event_t decide_seal_step(claim_t *claim, pimento_usec_t now,
				      bool timed_out)
{
	claim_event_t event = evaluate_seal(claim, timed_out);

	if (event == CLAIM_NO_EVENT)
		return CLAIM_NO_EVENT;
	if (!claim->take_sent || none_pending(claim))
		return end_step(claim, CLAIM_ENDED, event);
	claim->state = CLAIM_WITHDRAWING;
	claim->deadline = now + claim->options.timeout;
	return event;
}

static claim_event_t decide_cleanup_step(claim_t *claim, bool timed_out)
{
	if (timed_out || none_pending(claim))
		return end_step(claim, CLAIM_ENDED, CLAIM_NO_EVENT);
	return CLAIM_NO_EVENT;
}

static claim_event_t decide_current_step(claim_t *claim, pimento_usec_t now,
					 bool timed_out, outbox_t *out)
{
	switch (claim->state) {
	case CLAIM_QUERYING:
		return decide_query_step(claim, now, timed_out, out);
	case CLAIM_TAKING:
		return decide_take_step(claim, now, timed_out, out);
	case CLAIM_SEALING:
		return decide_seal_step(claim, now, timed_out);
	case CLAIM_WITHDRAWING:
	case CLAIM_REPORTING:
		return decide_cleanup_step(claim, timed_out);
	default:
		return CLAIM_NO_EVENT;
	}
}

/*
 * The deadline is checked before the reply is used. When a paused entry resumes,
 * it may read replies older than CLAIM_STEP_TIMEOUT_MAX, which the witnesses rely
 * on being ignored.
 */
claim_event_t claim_receive(claim_t *claim, pimento_usec_t now,
			    pimento_id_t from, const message_witness_t *reply,
			    outbox_t *out)
{
	int index = witness_index(claim, from, reply);

	if (index < 0 || !step_pending(claim))
		return CLAIM_NO_EVENT;
	if (now >= claim->deadline)
		return decide_current_step(claim, now, true, out);
	record_reply(claim, index, reply);
	return decide_current_step(claim, now, false, out);
}

claim_event_t claim_tick(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	claim_event_t event;

	if (!step_pending(claim) || now < claim_deadline(claim))
		return CLAIM_NO_EVENT;
	event = decide_current_step(claim, now, now >= claim->deadline, out);
	if (step_pending(claim) && now >= claim->resend_at)
		send_requests(claim, now, out);
	return event;
}

pimento_usec_t claim_deadline(const claim_t *claim)
{
	if (!step_pending(claim))
		return PIMENTO_NEVER;
	return claim->resend_at < claim->deadline ? claim->resend_at
						  : claim->deadline;
}
