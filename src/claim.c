/*
 * The entry's side of the claim protocol: one keyed request, from its arrival
 * until its verdict is certain.
 *
 * A query asks the witnesses what is known. A take asks them to let this
 * dispatch run and nobody else's: a quorum of agreement wins. A seal asks them
 * to bar the attempt for good: a quorum of agreement makes "not run" true of
 * it, now and later, because a quorum for the claim would have had to include
 * a witness of the seal. Agreement never lapses, so replies may come late,
 * twice or in any order; questions are simply sent again, under the same
 * sequence number, until the step's deadline.
 *
 * A take that cannot win any more turns into a seal by itself. That withdraws
 * what the take did gain; else two entries that each hold one witness would
 * block the key for everybody.
 */

#include "claim.h"

#include <string.h>

#define RESENDS_PER_STEP 8

int claim_init(claim_t *claim, const claim_options_t *options)
{
	const witness_set_t *set = &options->witnesses;

	memset(claim, 0, sizeof(*claim));
	if (pimento_key_none(options->key) || !set->count ||
	    set->count > PIMENTO_WITNESSES_MAX || set->quorum > set->count ||
	    2 * set->quorum <= set->count)
		return PIMENTO_EINVAL;
	if (options->timeout <= 0 || options->timeout > CLAIM_STEP_MAX)
		return PIMENTO_EINVAL;
	claim->options = *options;
	claim->sequence = options->sequence;
	claim->attempt = options->attempt;
	claim->resend = PIMENTO_NEVER;
	claim->deadline = PIMENTO_NEVER;
	return PIMENTO_OK;
}

static uint32_t bits(uint32_t mask)
{
	return (uint32_t)__builtin_popcount(mask);
}

static bool waiting(const claim_t *claim)
{
	switch (claim->state) {
	case CLAIM_QUERYING:
	case CLAIM_TAKING:
	case CLAIM_SEALING:
	case CLAIM_WITHDRAWING:
	case CLAIM_TELLING:
		return true;
	default:
		return false;
	}
}

static claim_op_t op_of(claim_state_t state)
{
	switch (state) {
	case CLAIM_TAKING:
		return CLAIM_TAKE;
	case CLAIM_SEALING:
	case CLAIM_WITHDRAWING:
		return CLAIM_SEAL;
	case CLAIM_TELLING:
		return CLAIM_DONE;
	default:
		return CLAIM_QUERY;
	}
}

/*
 * The age goes on while the request waits for its grant. A question that
 * stated the age of the key's arrival would pass a witness that restarted in
 * between for one that was there all along.
 */
static pimento_usec_t age(const claim_t *claim, pimento_usec_t now)
{
	pimento_usec_t value;

	if (claim->options.age == CLAIM_AGE_UNKNOWN)
		return CLAIM_AGE_UNKNOWN;
	value = now - claim->born;
	return value == CLAIM_AGE_UNKNOWN ? 0 : value;
}

/* Asks each witness that has not agreed yet; a full outbox counts as loss. */
static void ask(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	const witness_set_t *set = &claim->options.witnesses;
	uint32_t settled = claim->agreed | claim->refused;
	message_t message = { .kind = MESSAGE_CLAIM };
	message_claim_t *question = &message.u.claim;

	question->op = (uint8_t)op_of(claim->state);
	question->key = claim->options.key;
	question->sequence = claim->sequence;
	question->view = set->view;
	question->age = age(claim, now);
	question->attempt = claim->attempt;
	question->place = claim->place;
	question->place.digest = claim->options.digest;
	for (uint32_t i = 0; i < set->count; i++) {
		if (settled & 1U << i)
			continue;
		question->incarnation = set->incarnations[i];
		outbox_put(out, set->hosts[i], &message);
	}
	claim->resend = now + claim->options.timeout / RESENDS_PER_STEP;
}

static void begin(claim_t *claim, pimento_usec_t now, claim_state_t state,
		  outbox_t *out)
{
	claim->state = state;
	claim->sequence++;
	claim->answered = 0;
	claim->agreed = 0;
	claim->refused = 0;
	claim->expired = false;
	memset(claim->reports, 0, sizeof(claim->reports));
	claim->deadline = now + claim->options.timeout;
	ask(claim, now, out);
}

static claim_event_t end(claim_t *claim, claim_state_t state,
			 claim_event_t event)
{
	claim->state = state;
	claim->resend = PIMENTO_NEVER;
	claim->deadline = PIMENTO_NEVER;
	return event;
}

void claim_start(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	if (claim->state != CLAIM_IDLE)
		return;
	claim->born = now - claim->options.age;
	begin(claim, now, CLAIM_QUERYING, out);
}

void claim_take(claim_t *claim, pimento_usec_t now,
		const message_place_t *place, outbox_t *out)
{
	if (claim->state != CLAIM_KNOWN && claim->state != CLAIM_TAKEN)
		return;
	claim->place = *place;
	claim->take_sent = true;
	begin(claim, now, CLAIM_TAKING, out);
}

void claim_seal(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	if (claim->state == CLAIM_SEALING || claim->state == CLAIM_TELLING)
		return;
	if (claim->state == CLAIM_IDLE)
		claim->born = now - claim->options.age;
	if (!claim->attempt)
		claim->attempt = claim->sealed + 1;
	begin(claim, now, CLAIM_SEALING, out);
}

void claim_done(claim_t *claim, pimento_usec_t now,
		const message_place_t *place, outbox_t *out)
{
	if (claim->state != CLAIM_TAKEN)
		return;
	claim->place = *place;
	claim->place.done = 1;
	begin(claim, now, CLAIM_TELLING, out);
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

/* Witnesses whose report names this dispatch. */
static uint32_t supporters(const claim_t *claim, pimento_reqid_t request)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < claim->options.witnesses.count; i++) {
		const claim_report_t *report = &claim->reports[i];

		count += report->attempt &&
			 pimento_reqid_equal(report->request, request);
	}
	return count;
}

/*
 * True when the claim of this attempt can neither have won nor win: a quorum
 * has barred the attempt and holds no claim. It is what an entry leaves behind
 * that died while taking.
 */
static bool barred(const claim_t *claim, uint32_t attempt)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < claim->options.witnesses.count; i++) {
		const claim_report_t *report = &claim->reports[i];

		count += (claim->answered & 1U << i) && !report->attempt &&
			 report->sealed >= attempt;
	}
	return count >= claim->options.witnesses.quorum;
}

static bool is_ours(const claim_t *claim, pimento_reqid_t request)
{
	return pimento_reqid_equal(claim->place.request, request);
}

/* A claim of others that may have won, if one is reported. */
static const claim_report_t *rival(const claim_t *claim)
{
	const claim_report_t *best = NULL;

	for (uint32_t i = 0; i < claim->options.witnesses.count; i++) {
		const claim_report_t *report = &claim->reports[i];

		if (!report->attempt || is_ours(claim, report->request))
			continue;
		if (!report->done && barred(claim, report->attempt))
			continue;
		if (!best || report->done ||
		    (!best->done && supporters(claim, report->request) >
					    supporters(claim, best->request)))
			best = report;
	}
	return best;
}

/* True when a rival holds a quorum, or its outcome is known. */
static bool rival_won(const claim_t *claim)
{
	const claim_report_t *report = rival(claim);

	return report &&
	       (report->done || supporters(claim, report->request) >=
					claim->options.witnesses.quorum);
}

/* Keeps the place of the rival that is likeliest to run. */
static void note_held(claim_t *claim, const message_place_t *place)
{
	const claim_report_t *best = rival(claim);

	if (!best || !pimento_reqid_equal(best->request, place->request))
		return;
	claim->held = *place;
	claim->held_seen = true;
}

static void note(claim_t *claim, int index, const message_witness_t *reply)
{
	claim_report_t *report = &claim->reports[index];
	uint32_t bit = 1U << index;

	report->attempt = reply->attempt;
	report->request = reply->place.request;
	report->done = reply->attempt && reply->place.done;
	switch (reply->answer) {
	case PIMENTO_OK:
		claim->agreed |= bit;
		claim->answered |= bit;
		break;
	case PIMENTO_ECLAIMED:
	case PIMENTO_ESEALED:
		claim->answered |= bit;
		break;
	default:
		claim->refused |= bit;
		claim->expired |= reply->answer == PIMENTO_EEXPIRED;
		break;
	}
	if (claim->answered & bit && reply->sealed > report->sealed)
		report->sealed = reply->sealed;
	if (report->sealed > claim->sealed)
		claim->sealed = report->sealed;
	if (reply->attempt)
		note_held(claim, &reply->place);
}

/* True when a quorum has agreed. */
static bool agreed(const claim_t *claim)
{
	return bits(claim->agreed) >= claim->options.witnesses.quorum;
}

/* True when those outside the mask are too few for a quorum. */
static bool lost(const claim_t *claim, uint32_t mask)
{
	const witness_set_t *set = &claim->options.witnesses;

	return set->count - bits(mask) < set->quorum;
}

static claim_event_t held_event(claim_t *claim)
{
	claim->told_held = true;
	claim->told = claim->held.request;
	return claim->held.digest == claim->options.digest ? CLAIM_HELD
							   : CLAIM_MISMATCH;
}

/*
 * The attempt is that of the caller, or the next one after the highest sealed.
 * A caller's is never raised: "not run" may have been said of it already.
 */
static claim_event_t end_query_free(claim_t *claim, pimento_usec_t now,
				    outbox_t *out)
{
	if (!claim->attempt)
		claim->attempt = claim->sealed + 1;
	if (claim->attempt > claim->sealed)
		return end(claim, CLAIM_KNOWN, CLAIM_FREE);
	begin(claim, now, CLAIM_SEALING, out);
	return CLAIM_NOTHING;
}

static claim_event_t end_query_held(claim_t *claim)
{
	if (!claim->attempt)
		claim->attempt = rival(claim)->attempt;
	return end(claim, CLAIM_ENDED, held_event(claim));
}

/*
 * A claim at one witness may be what a dead entry left behind; the witnesses
 * that have not answered could show that. They are given until the first
 * resend, for nobody should wait longer for an answer that is there.
 */
static claim_event_t decide_query(claim_t *claim, pimento_usec_t now, bool over,
				  outbox_t *out)
{
	const witness_set_t *set = &claim->options.witnesses;
	uint32_t heard = claim->answered | claim->refused;
	bool quorum = bits(claim->answered) >= set->quorum;

	if (rival(claim)) {
		if (over || rival_won(claim) || bits(heard) == set->count ||
		    (quorum && now >= claim->resend))
			return end_query_held(claim);
		return CLAIM_NOTHING;
	}
	if (quorum)
		return end_query_free(claim, now, out);
	if (claim->expired && lost(claim, claim->refused))
		return end(claim, CLAIM_ENDED, CLAIM_EXPIRED);
	if (over || lost(claim, claim->refused))
		return end(claim, CLAIM_ENDED, CLAIM_NO_QUORUM);
	return CLAIM_NOTHING;
}

static claim_event_t decide_take(claim_t *claim, pimento_usec_t now, bool over,
				 outbox_t *out)
{
	uint32_t heard = claim->answered | claim->refused;

	if (agreed(claim))
		return end(claim, CLAIM_TAKEN, CLAIM_WON);
	if (over || lost(claim, heard & ~claim->agreed))
		begin(claim, now, CLAIM_SEALING, out);
	return CLAIM_NOTHING;
}

/*
 * A rival that does not hold a quorum may yet withdraw, so that is waited for
 * until the deadline. One that was reported before and could not be resumed is
 * not reported again.
 */
static claim_event_t judge_seal(claim_t *claim, bool over)
{
	bool news;

	if (agreed(claim))
		return CLAIM_GIVEN_UP;
	if (!over && !rival_won(claim) && !lost(claim, claim->refused))
		return CLAIM_NOTHING;
	news = claim->held_seen &&
	       (!claim->told_held || claim->held.done ||
		!pimento_reqid_equal(claim->told, claim->held.request));
	return news ? held_event(claim) : CLAIM_DOUBT;
}

static bool all_settled(const claim_t *claim)
{
	return bits(claim->agreed | claim->refused) ==
	       claim->options.witnesses.count;
}

/*
 * The verdict is out as soon as it is certain, but what a take left at the
 * other witnesses is still to be withdrawn.
 */
static claim_event_t decide_seal(claim_t *claim, pimento_usec_t now, bool over)
{
	claim_event_t event = judge_seal(claim, over);

	if (event == CLAIM_NOTHING)
		return CLAIM_NOTHING;
	if (!claim->take_sent || all_settled(claim))
		return end(claim, CLAIM_ENDED, event);
	claim->state = CLAIM_WITHDRAWING;
	claim->deadline = now + claim->options.timeout;
	return event;
}

static claim_event_t decide_rest(claim_t *claim, bool over)
{
	if (over || all_settled(claim))
		return end(claim, CLAIM_ENDED, CLAIM_NOTHING);
	return CLAIM_NOTHING;
}

static claim_event_t decide(claim_t *claim, pimento_usec_t now, bool over,
			    outbox_t *out)
{
	switch (claim->state) {
	case CLAIM_QUERYING:
		return decide_query(claim, now, over, out);
	case CLAIM_TAKING:
		return decide_take(claim, now, over, out);
	case CLAIM_SEALING:
		return decide_seal(claim, now, over);
	case CLAIM_WITHDRAWING:
	case CLAIM_TELLING:
		return decide_rest(claim, over);
	default:
		return CLAIM_NOTHING;
	}
}

/*
 * The deadline goes before the reply. An entry that was paused wakes with
 * replies to read that are older than CLAIM_STEP_MAX, and the witnesses count
 * on such replies being ignored.
 */
claim_event_t claim_receive(claim_t *claim, pimento_usec_t now,
			    pimento_id_t from, const message_witness_t *reply,
			    outbox_t *out)
{
	int index = witness_index(claim, from, reply);

	if (index < 0 || !waiting(claim))
		return CLAIM_NOTHING;
	if (now >= claim->deadline)
		return decide(claim, now, true, out);
	note(claim, index, reply);
	return decide(claim, now, false, out);
}

claim_event_t claim_tick(claim_t *claim, pimento_usec_t now, outbox_t *out)
{
	claim_event_t event;

	if (!waiting(claim) || now < claim_deadline(claim))
		return CLAIM_NOTHING;
	event = decide(claim, now, now >= claim->deadline, out);
	if (waiting(claim) && now >= claim->resend)
		ask(claim, now, out);
	return event;
}

pimento_usec_t claim_deadline(const claim_t *claim)
{
	if (!waiting(claim))
		return PIMENTO_NEVER;
	return claim->resend < claim->deadline ? claim->resend
					       : claim->deadline;
}
