#include "quarantine.h"

#include <stdlib.h>
#include <string.h>

/* Endpoints that end within this of each other are one piece of evidence. */
#define SAME_MOMENT (50 * PIMENTO_MSEC)
/* Hosts may report one end of a process up to this far apart. */
#define SAME_END (1 * PIMENTO_SEC)
/* Times drift as ages are passed from host to host: smaller changes are ignored. */
#define NO_NEWS (100 * PIMENTO_MSEC)
/* A part with an answer so lately needs further ends to count as suspect. */
#define PROVEN_SPAN (600 * PIMENTO_SEC)
#define PROVEN_ENDS 3
#define SUSPECT_DELAY_GROWTH 5
#define HELD_GROWTH 8
/* Other hosts are told of a cleared part for this long. */
#define CLEARED_SPAN (30 * PIMENTO_SEC)
/* Records that changed so lately are reported before all others. */
#define NEWS_SPAN (3 * PIMENTO_SEC)

/* What differs between the kinds. */
static const struct {
	const char *name;
	/* From the first end to the next trial; grows with each end. */
	pimento_usec_t suspect_delay;
	/* A trial that does not end otherwise. */
	pimento_usec_t lease_span;
	/* It is suspect once so many ends more, or fewer, would hold it. */
	uint32_t suspect_within;
	/*
	 * It is in one request only: each end counts, as no other request comes
	 * between, and only the owner gathers evidence before it is suspect.
	 */
	bool is_single;
} policies[QUARANTINE_KINDS] = {
	[QUARANTINE_PARTS] = { "part", 50 * PIMENTO_MSEC, 5 * PIMENTO_SEC,
			       QUARANTINE_ENDS_MAX, false },
	[QUARANTINE_REQUESTS] = { "fingerprint", 0, 30 * PIMENTO_SEC, 1, true },
	[QUARANTINE_LATE_PARTS] = { "late_part", 0, 30 * PIMENTO_SEC, 0,
				    false },
};

const char *quarantine_kind_name(quarantine_kind_t kind)
{
	return policies[kind].name;
}

void quarantine_init(quarantine_t *q, quarantine_kind_t kind,
		     const quarantine_limits_t *limits)
{
	memset(q, 0, sizeof(*q));
	q->kind = kind;
	q->limits = *limits;
}

void quarantine_finish(quarantine_t *q)
{
	free(q->records);
	q->records = NULL;
	q->count = 0;
	q->size = 0;
}

const char *quarantine_state_name(quarantine_state_t state)
{
	static const char *const names[] = { "clear", "suspect", "held" };

	return names[state];
}

/* Evidence of a single part or request. */

static uint32_t count_moments(const quarantine_evidence_t *evidence)
{
	pimento_usec_t last = 0;
	uint32_t moments = 0;

	for (uint32_t i = 0; i < evidence->end_count; i++) {
		pimento_usec_t at = evidence->ends[i].at;

		if (moments && at - last < SAME_MOMENT)
			continue;
		last = at;
		moments++;
	}
	return moments;
}

/* Ends that count, beyond those that an answer outweighs. */
static uint32_t count_weight(const quarantine_evidence_t *evidence)
{
	uint32_t moments = count_moments(evidence);

	if (!moments || !evidence->answered ||
	    evidence->ends[0].at - evidence->answered_at > PROVEN_SPAN)
		return policies[evidence->kind].is_single ? evidence->end_count
							  : moments;
	return moments > PROVEN_ENDS ? moments - PROVEN_ENDS : 0;
}

static quarantine_state_t state_of_weight(const quarantine_t *q,
					  uint32_t weight)
{
	if (weight >= q->limits.ends)
		return QUARANTINE_HELD;
	if (weight &&
	    weight + policies[q->kind].suspect_within >= q->limits.ends)
		return QUARANTINE_SUSPECT;
	return QUARANTINE_CLEAR;
}

static void remove_end(quarantine_evidence_t *evidence, uint32_t index)
{
	evidence->end_count--;
	memmove(&evidence->ends[index], &evidence->ends[index + 1],
		(evidence->end_count - index) * sizeof(evidence->ends[0]));
}

static void insert_end(quarantine_evidence_t *evidence,
		       const quarantine_end_t *end)
{
	uint32_t i = evidence->end_count++;

	while (i > 0 && evidence->ends[i - 1].at > end->at) {
		evidence->ends[i] = evidence->ends[i - 1];
		i--;
	}
	evidence->ends[i] = *end;
}

static bool is_same_end(const quarantine_end_t *a, const quarantine_end_t *b)
{
	pimento_usec_t apart = a->at > b->at ? a->at - b->at : b->at - a->at;

	return a->process == b->process && apart < SAME_END;
}

/* Returns true if it is news. */
static bool merge_end(quarantine_evidence_t *evidence,
		      const quarantine_end_t *end)
{
	bool known = false;

	if (evidence->answered && end->at <= evidence->answered_at)
		return false;
	for (uint32_t i = evidence->end_count; i-- > 0;) {
		if (!is_same_end(&evidence->ends[i], end))
			continue;
		if (end->at > evidence->ends[i].at - NO_NEWS)
			return false;
		remove_end(evidence, i);
		known = true;
	}
	if (evidence->end_count == QUARANTINE_ENDS_MAX) {
		if (end->at < evidence->ends[0].at)
			return false;
		remove_end(evidence, 0);
	}
	insert_end(evidence, end);
	return !known;
}

static bool merge_answer(quarantine_evidence_t *evidence, pimento_usec_t at)
{
	if (evidence->answered && at < evidence->answered_at + NO_NEWS)
		return false;
	evidence->answered = true;
	evidence->answered_at = at;
	while (evidence->end_count && evidence->ends[0].at <= at)
		remove_end(evidence, 0);
	return true;
}

/* The table. */

static uint32_t answer_index(uint64_t id)
{
	uint64_t mixed = id * 0x9e3779b97f4a7c15u;

	return (uint32_t)(mixed >> 32) & (QUARANTINE_ANSWERS_MAX - 1);
}

static quarantine_answer_t *answer_slot(quarantine_t *q, uint64_t id)
{
	return &q->answers[answer_index(id)];
}

bool quarantine_is_proven(const quarantine_t *q, const uint64_t *ids,
			  uint32_t count, pimento_usec_t now)
{
	for (uint32_t i = 0; i < count; i++) {
		const quarantine_answer_t *answer =
			&q->answers[answer_index(ids[i])];

		if (answer->id != ids[i] || now - answer->at > PROVEN_SPAN)
			return false;
	}
	return true;
}

static quarantine_record_t *find(const quarantine_t *q, uint64_t id)
{
	for (uint32_t i = 0; i < q->count; i++)
		if (q->ids[i] == id)
			return &q->records[i];
	return NULL;
}

const quarantine_record_t *quarantine_find(const quarantine_t *q, uint64_t id)
{
	return find(q, id);
}

static void remove_record(quarantine_t *q, uint32_t index)
{
	q->records[index] = q->records[--q->count];
	q->ids[index] = q->ids[q->count];
}

/* The record that is missed least: fewest ends, then the oldest. */
static uint32_t least_record(const quarantine_t *q)
{
	uint32_t least = 0;

	for (uint32_t i = 1; i < q->count; i++) {
		const quarantine_record_t *a = &q->records[i];
		const quarantine_record_t *b = &q->records[least];

		if (a->evidence.end_count < b->evidence.end_count ||
		    (a->evidence.end_count == b->evidence.end_count &&
		     a->changed_at < b->changed_at))
			least = i;
	}
	return least;
}

static bool grow(quarantine_t *q)
{
	uint32_t size = q->size ? q->size * 2 : 8;
	quarantine_record_t *grown =
		realloc(q->records, size * sizeof(*q->records));

	if (!grown)
		return false;
	q->records = grown;
	q->size = size;
	return true;
}

/* Returns NULL if memory is exhausted. */
static quarantine_record_t *find_or_add(quarantine_t *q, uint64_t id)
{
	const quarantine_answer_t *answer = answer_slot(q, id);
	quarantine_record_t *record = find(q, id);

	if (record)
		return record;
	if (q->count == QUARANTINE_RECORDS_MAX)
		remove_record(q, least_record(q));
	if (q->count == q->size && !grow(q))
		return NULL;
	q->ids[q->count] = id;
	record = &q->records[q->count++];
	*record = (quarantine_record_t){ .evidence = { .kind = q->kind,
						       .id = id } };
	if (answer->id == id)
		(void)merge_answer(&record->evidence, answer->at);
	return record;
}

static void note_change(const quarantine_t *q, quarantine_record_t *record,
			pimento_usec_t now)
{
	record->changed_at = now;
	record->lease_ticket = 0;
	if (quarantine_state(q, record) != QUARANTINE_CLEAR)
		record->was_suspect = true;
}

void quarantine_add_end(quarantine_t *q, uint64_t id,
			const quarantine_end_t *end, pimento_usec_t now)
{
	quarantine_record_t *record = find_or_add(q, id);

	if (record && merge_end(&record->evidence, end))
		note_change(q, record, now);
}

void quarantine_add_answer(quarantine_t *q, uint64_t id, pimento_usec_t now)
{
	quarantine_record_t *record = q->count ? find(q, id) : NULL;

	*answer_slot(q, id) = (quarantine_answer_t){ id, now };
	if (record && merge_answer(&record->evidence, now))
		note_change(q, record, now);
}

bool quarantine_merge(quarantine_t *q, const quarantine_evidence_t *evidence,
		      pimento_usec_t now)
{
	quarantine_record_t *record = find(q, evidence->id);
	bool changed = false;

	if (!record && !evidence->end_count)
		return false;
	record = find_or_add(q, evidence->id);
	if (!record)
		return false;
	if (evidence->answered)
		changed =
			merge_answer(&record->evidence, evidence->answered_at);
	for (uint32_t i = 0; i < evidence->end_count; i++)
		changed |= merge_end(&record->evidence, &evidence->ends[i]);
	if (changed)
		note_change(q, record, now);
	return changed;
}

void quarantine_shift(quarantine_evidence_t *evidence, pimento_usec_t span)
{
	evidence->answered_at += span;
	for (uint32_t i = 0; i < evidence->end_count; i++)
		evidence->ends[i].at += span;
}

/* Decisions. */

quarantine_state_t quarantine_state(const quarantine_t *q,
				    const quarantine_record_t *record)
{
	return state_of_weight(q, count_weight(&record->evidence));
}

bool quarantine_is_near(const quarantine_t *q, uint64_t id, uint32_t ends)
{
	const quarantine_record_t *record = find(q, id);
	uint32_t weight = record ? count_weight(&record->evidence) : 0;

	return state_of_weight(q, weight + ends) != QUARANTINE_CLEAR;
}

static pimento_usec_t trial_delay(const quarantine_t *q, uint32_t weight)
{
	pimento_usec_t delay = policies[q->kind].suspect_delay;

	if (weight < q->limits.ends) {
		for (uint32_t i = 1; i < weight; i++)
			delay *= SUSPECT_DELAY_GROWTH;
		return delay;
	}
	delay = q->limits.interval;
	for (uint32_t i = q->limits.ends; i < weight; i++)
		if (delay < q->limits.interval_max)
			delay *= HELD_GROWTH;
	return delay < q->limits.interval_max ? delay : q->limits.interval_max;
}

pimento_usec_t quarantine_trial_at(const quarantine_t *q,
				   const quarantine_record_t *record,
				   uint32_t suspects)
{
	const quarantine_evidence_t *evidence = &record->evidence;
	uint32_t weight = count_weight(evidence);

	if (!weight)
		return evidence->answered_at;
	/*
	 * Requests in which this part is the only suspect go first: they tell
	 * most, and a sound part among crashing ones is cleared by them.
	 */
	return evidence->ends[evidence->end_count - 1].at +
	       trial_delay(q, weight) * suspects;
}

quarantine_verdict_t quarantine_judge(const quarantine_t *q,
				      const uint64_t *ids, uint32_t count,
				      pimento_usec_t now)
{
	quarantine_verdict_t verdict = { .kind = q->kind,
					 .state = QUARANTINE_CLEAR,
					 .trial_at = now };
	const quarantine_record_t *found[QUARANTINE_RECORDS_MAX];
	uint32_t most = 0;

	if (!q->count)
		return verdict;
	for (uint32_t i = 0; i < count; i++) {
		const quarantine_record_t *record = find(q, ids[i]);
		uint32_t weight;

		if (!record || verdict.suspects == QUARANTINE_RECORDS_MAX)
			continue;
		weight = count_weight(&record->evidence);
		if (state_of_weight(q, weight) == QUARANTINE_CLEAR)
			continue;
		found[verdict.suspects++] = record;
		if (weight < most || (weight == most && ids[i] > verdict.id))
			continue;
		most = weight;
		verdict.id = ids[i];
		verdict.state = quarantine_state(q, record);
	}
	for (uint32_t i = 0; i < verdict.suspects; i++) {
		pimento_usec_t at =
			quarantine_trial_at(q, found[i], verdict.suspects);

		if (at > verdict.trial_at)
			verdict.trial_at = at;
	}
	return verdict;
}

bool quarantine_lease(quarantine_t *q, uint64_t id, uint32_t suspects,
		      uint64_t ticket, pimento_usec_t now)
{
	quarantine_record_t *record = find(q, id);

	if (!record || quarantine_state(q, record) == QUARANTINE_CLEAR)
		return true;
	if (record->lease_ticket && record->lease_ticket != ticket &&
	    record->lease_until > now)
		return false;
	if (quarantine_trial_at(q, record, suspects) > now)
		return false;
	record->lease_ticket = ticket;
	record->lease_until = now + policies[q->kind].lease_span;
	return true;
}

void quarantine_release(quarantine_t *q, uint64_t id, uint64_t ticket)
{
	quarantine_record_t *record = find(q, id);

	if (record && record->lease_ticket == ticket)
		record->lease_ticket = 0;
}

/* Reports. */

static bool is_for_all(const quarantine_t *q, const quarantine_record_t *record)
{
	return record->was_suspect || !policies[q->kind].is_single;
}

static bool is_news(const quarantine_record_t *record, pimento_usec_t now)
{
	return now - record->changed_at < NEWS_SPAN;
}

uint32_t quarantine_report(quarantine_t *q, quarantine_evidence_t *evidence,
			   uint32_t max, pimento_usec_t now)
{
	uint32_t start = q->count ? q->next_report % q->count : 0;
	uint32_t count = 0;

	for (int news = 1; news >= 0; news--)
		for (uint32_t i = 0; i < q->count && count < max; i++) {
			uint32_t index = (start + i) % q->count;
			const quarantine_record_t *record = &q->records[index];

			if (is_news(record, now) != (news != 0) ||
			    !is_for_all(q, record))
				continue;
			evidence[count++] = record->evidence;
			q->next_report = index + 1;
		}
	return count;
}

const quarantine_record_t *quarantine_next_change(quarantine_t *q)
{
	for (uint32_t i = 0; i < q->count; i++) {
		quarantine_record_t *record = &q->records[i];
		quarantine_state_t state = quarantine_state(q, record);

		if (record->reported == state)
			continue;
		record->reported = state;
		return record;
	}
	return NULL;
}

static bool is_old(const quarantine_evidence_t *evidence, pimento_usec_t now)
{
	if (evidence->end_count)
		return now - evidence->ends[evidence->end_count - 1].at >
		       QUARANTINE_RETENTION;
	return now - evidence->answered_at > CLEARED_SPAN;
}

void quarantine_tick(quarantine_t *q, pimento_usec_t now)
{
	for (uint32_t i = q->count; i-- > 0;)
		if (is_old(&q->records[i].evidence, now))
			remove_record(q, i);
}
