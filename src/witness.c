/*
 * What this process remembers of idempotency keys: bounded memory, gone with
 * the process.
 *
 * For each key there are two facts, and both only ever narrow what can happen.
 * The claim names the one dispatch that may run; it is never given to another
 * unless its own claimant, which has not dispatched, takes it back. The highest
 * sealed attempt bars this attempt and older ones from claiming. Two quorums
 * share a witness, so two dispatches cannot both hold one, and a seal and an
 * older claim cannot both be granted by one.
 *
 * That rests on the witness's memory, so it abstains (PIMENTO_ESTALE) from
 * every key that may have been claimed before it could know: one issued to
 * another incarnation, or, for callers' own keys, one that may be older than
 * this process or than the host list by which it is a witness. A live record is
 * never evicted: a full table refuses.
 */

#include "claim.h"

#include <stdlib.h>
#include <string.h>

/*
 * Claims leave this share of the table to seals. Otherwise a full table could
 * not even record that a refused request has not run, and each refusal would
 * have to say "may have run".
 */
#define SEAL_SHARE 8

/* Answers kept may use this much a key of the capacity, taken together. */
#define ANSWER_BYTES_PER_KEY 512

struct witness_record {
	witness_record_t *chain;
	witness_record_t *older;
	witness_record_t *newer;
	pimento_key_t key;
	pimento_usec_t changed;
	uint32_t sealed;
	uint32_t attempt; /* of the claim, 0 none */
	uint64_t sequence; /* of the question that named the place */
	pimento_reqid_t request;
	pimento_id_t endpoint;
	uint64_t digest;
	uint16_t status;
	uint16_t answer_size;
	bool done;
	uint8_t *answer; /* of its own: most records keep none */
};

int witness_init(witness_t *witness, const witness_options_t *options)
{
	memset(witness, 0, sizeof(*witness));
	if (!options->incarnation || !options->capacity ||
	    options->retention <= 0 || options->skew < 0)
		return PIMENTO_EINVAL;
	witness->options = *options;
	witness->bucket_count = 1;
	while (witness->bucket_count < options->capacity)
		witness->bucket_count *= 2;
	witness->buckets =
		calloc(witness->bucket_count, sizeof(witness_record_t *));
	return witness->buckets ? PIMENTO_OK : PIMENTO_ENOMEM;
}

static witness_record_t **slot(const witness_t *witness, pimento_key_t key)
{
	witness_record_t **at =
		&witness->buckets[key.lo & (witness->bucket_count - 1)];

	while (*at && !pimento_key_equal((*at)->key, key))
		at = &(*at)->chain;
	return at;
}

static void age_unlink(witness_t *witness, witness_record_t *record)
{
	if (record->older)
		record->older->newer = record->newer;
	else
		witness->oldest = record->newer;
	if (record->newer)
		record->newer->older = record->older;
	else
		witness->newest = record->older;
}

static void age_append(witness_t *witness, witness_record_t *record)
{
	record->older = witness->newest;
	record->newer = NULL;
	if (witness->newest)
		witness->newest->newer = record;
	else
		witness->oldest = record;
	witness->newest = record;
}

static void drop_answer(witness_t *witness, witness_record_t *record)
{
	free(record->answer);
	witness->answer_bytes -= record->answer_size;
	record->answer = NULL;
	record->answer_size = 0;
}

static void forget_oldest(witness_t *witness)
{
	witness_record_t *record = witness->oldest;

	witness->oldest = record->newer;
	if (witness->oldest)
		witness->oldest->older = NULL;
	else
		witness->newest = NULL;
	*slot(witness, record->key) = record->chain;
	drop_answer(witness, record);
	free(record);
	witness->count--;
}

void witness_finish(witness_t *witness)
{
	while (witness->oldest)
		forget_oldest(witness);
	for (uint32_t i = 0; i < witness->view_count; i++)
		free(witness->views[i].hosts);
	free(witness->buckets);
	memset(witness, 0, sizeof(*witness));
}

/*
 * How much a stated age can be wrong: by the difference of two clocks, and by
 * the time that a question was on its way, for as long as its reply counts.
 */
static pimento_usec_t margin(const witness_t *witness)
{
	return witness->options.skew + CLAIM_STEP_MAX;
}

/*
 * A record outlives the last moment at which its key is accepted. Without the
 * margin, an entry whose clock is behind would still get a key accepted that
 * this witness has just forgotten, and it would run twice.
 */
static pimento_usec_t lifetime(const witness_t *witness)
{
	return witness->options.retention + 2 * margin(witness);
}

/*
 * All records live equally long, so the list by last change is the list by
 * expiry: each record is looked at once when it expires, and never before.
 */
void witness_tick(witness_t *witness, pimento_usec_t now)
{
	while (witness->oldest &&
	       now - witness->oldest->changed > lifetime(witness))
		forget_oldest(witness);
}

static void touch(witness_t *witness, pimento_usec_t now,
		  witness_record_t *record)
{
	record->changed = now;
	age_unlink(witness, record);
	age_append(witness, record);
}

static witness_record_t *remember(witness_t *witness, pimento_usec_t now,
				  pimento_key_t key, uint32_t capacity)
{
	witness_record_t **at = slot(witness, key);
	witness_record_t *record = *at;

	if (record) {
		touch(witness, now, record);
		return record;
	}
	if (witness->count >= capacity)
		return NULL;
	record = calloc(1, sizeof(*record));
	if (!record)
		return NULL;
	record->key = key;
	record->changed = now;
	*at = record;
	age_append(witness, record);
	witness->count++;
	return record;
}

static bool holds(const witness_record_t *record, pimento_reqid_t request)
{
	return record->attempt && pimento_reqid_equal(record->request, request);
}

static void set_claim(witness_record_t *record, const message_claim_t *question)
{
	record->attempt = question->attempt;
	record->sequence = question->sequence;
	record->request = question->place.request;
	record->endpoint = question->place.endpoint;
	record->digest = question->place.digest;
}

static uint32_t claim_capacity(const witness_t *witness)
{
	uint32_t capacity = witness->options.capacity;

	return capacity - capacity / SEAL_SHARE;
}

static int take(witness_t *witness, pimento_usec_t now,
		const message_claim_t *question)
{
	witness_record_t *record = *slot(witness, question->key);

	if (record && record->attempt &&
	    !holds(record, question->place.request))
		return PIMENTO_ECLAIMED;
	if (record && record->sealed >= question->attempt)
		return PIMENTO_ESEALED;
	record = remember(witness, now, question->key, claim_capacity(witness));
	if (!record)
		return PIMENTO_EFULL;
	/* A late copy must not put back the endpoint of an earlier question. */
	if (!record->attempt || question->sequence > record->sequence)
		set_claim(record, question);
	return PIMENTO_OK;
}

static int seal(witness_t *witness, pimento_usec_t now,
		const message_claim_t *question)
{
	witness_record_t *record = *slot(witness, question->key);

	if (record && record->attempt &&
	    !holds(record, question->place.request))
		return PIMENTO_ECLAIMED;
	/* Done: a late copy of a seal must not free what has run. */
	if (record && record->done)
		return PIMENTO_ECLAIMED;
	record = remember(witness, now, question->key,
			  witness->options.capacity);
	if (!record)
		return PIMENTO_EFULL;
	record->attempt = 0;
	if (record->sealed < question->attempt)
		record->sealed = question->attempt;
	return PIMENTO_OK;
}

static void keep_answer(witness_t *witness, witness_record_t *record,
			const message_place_t *place)
{
	size_t limit = (size_t)witness->options.capacity * ANSWER_BYTES_PER_KEY;
	uint16_t size = place->answer_size;

	if (!size || size > MESSAGE_ANSWER_MAX ||
	    witness->answer_bytes + size > limit)
		return;
	record->answer = malloc(size);
	if (!record->answer)
		return;
	memcpy(record->answer, place->answer, size);
	record->answer_size = size;
	witness->answer_bytes += size;
}

/*
 * The outcome comes from the dispatch that won, so it also stands at a witness
 * that the claim never reached or that holds a loser's.
 */
static int done(witness_t *witness, pimento_usec_t now,
		const message_claim_t *question)
{
	witness_record_t *record = *slot(witness, question->key);

	if (record && record->done)
		return PIMENTO_OK;
	record = remember(witness, now, question->key,
			  witness->options.capacity);
	if (!record)
		return PIMENTO_EFULL;
	set_claim(record, question);
	record->done = true;
	record->status = question->place.status;
	keep_answer(witness, record, &question->place);
	return PIMENTO_OK;
}

static bool newest_set(const witness_t *witness, uint32_t back,
		       pimento_key_t key, witness_set_t *set)
{
	const witness_view_t *view;

	if (back >= witness->view_count)
		return false;
	view = &witness->views[witness->view_count - 1 - back];
	return keyring_rendezvous(view->hosts, view->count, key, set) == 0;
}

static bool in_set(const witness_set_t *set, pimento_id_t host)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (set->hosts[i] == host)
			return true;
	}
	return false;
}

/*
 * Since when this process has been a witness in just this set. A change of the
 * list that leaves the key's witnesses as they were changes nothing for it.
 */
static pimento_usec_t in_set_since(const witness_t *witness, pimento_key_t key,
				   uint64_t view)
{
	pimento_usec_t since = PIMENTO_NEVER;
	witness_set_t set;

	for (uint32_t back = 0; newest_set(witness, back, key, &set); back++) {
		if (set.view != view)
			break;
		since = witness->views[witness->view_count - 1 - back].adopted;
	}
	return since;
}

/*
 * Callers' own keys. Under another list this host may stand beside witnesses
 * that know nothing of a claim, or may itself know nothing: it would agree to
 * a second dispatch. So it speaks only in the set that it believes in, and only
 * for keys that cannot have been claimed before it did.
 */
static int check_view(const witness_t *witness, pimento_usec_t now,
		      const message_claim_t *question)
{
	pimento_usec_t born = now - question->age;
	pimento_usec_t since;
	witness_set_t set;

	if (!newest_set(witness, 0, question->key, &set) ||
	    set.view != question->view || !in_set(&set, witness->self))
		return PIMENTO_ESTALE;
	if (question->age == CLAIM_AGE_UNKNOWN)
		born = now - witness->options.retention;
	since = in_set_since(witness, question->key, question->view);
	return since <= born - margin(witness) ? PIMENTO_OK : PIMENTO_ESTALE;
}

/* Whether this witness may speak for the key at all. */
static int admit(const witness_t *witness, pimento_usec_t now,
		 const message_claim_t *question)
{
	if (pimento_key_none(question->key) ||
	    (!question->attempt && question->op != CLAIM_QUERY))
		return PIMENTO_EINVAL;
	if (question->incarnation &&
	    question->incarnation != witness->options.incarnation)
		return PIMENTO_ESTALE;
	if (!question->incarnation && !question->view)
		return PIMENTO_EINVAL;
	if (question->age != CLAIM_AGE_UNKNOWN &&
	    (question->age > witness->options.retention ||
	     question->age < -witness->options.skew))
		return PIMENTO_EEXPIRED;
	if (question->view)
		return check_view(witness, now, question);
	return PIMENTO_OK;
}

static int apply(witness_t *witness, pimento_usec_t now,
		 const message_claim_t *question)
{
	switch (question->op) {
	case CLAIM_QUERY:
		return PIMENTO_OK;
	case CLAIM_TAKE:
		return take(witness, now, question);
	case CLAIM_SEAL:
		return seal(witness, now, question);
	case CLAIM_DONE:
		return done(witness, now, question);
	default:
		return PIMENTO_EINVAL;
	}
}

/* The claimant knows its own answer: only others are sent it. */
static void describe(const witness_record_t *record,
		     const message_claim_t *question, message_witness_t *reply)
{
	message_place_t *place = &reply->place;

	reply->sealed = record->sealed;
	reply->attempt = record->attempt;
	if (!record->attempt)
		return;
	place->request = record->request;
	place->endpoint = record->endpoint;
	place->digest = record->digest;
	place->done = record->done;
	place->status = record->status;
	if (!record->answer_size || holds(record, question->place.request))
		return;
	place->answer_size = record->answer_size;
	memcpy(place->answer, record->answer, record->answer_size);
}

/*
 * A witness that abstains still tells of a claim that it holds: a repeat made
 * under a newer host list can then resume, though it could never dispatch.
 */
void witness_receive(witness_t *witness, pimento_usec_t now,
		     const message_claim_t *question, message_witness_t *reply)
{
	const witness_record_t *record;

	witness_tick(witness, now);
	memset(reply, 0, sizeof(*reply));
	reply->key = question->key;
	reply->sequence = question->sequence;
	reply->incarnation = witness->options.incarnation;
	reply->answer = admit(witness, now, question);
	if (reply->answer == PIMENTO_OK)
		reply->answer = apply(witness, now, question);
	record = *slot(witness, question->key);
	if (record)
		describe(record, question, reply);
}

static void drop_views(witness_t *witness, uint32_t keep)
{
	uint32_t drop = witness->view_count - keep;

	for (uint32_t i = 0; i < drop; i++)
		free(witness->views[i].hosts);
	memmove(witness->views, witness->views + drop,
		keep * sizeof(*witness->views));
	witness->view_count = keep;
}

static bool same_hosts(const witness_view_t *view, const pimento_id_t *hosts,
		       uint32_t count)
{
	return view->count == count &&
	       !memcmp(view->hosts, hosts, count * sizeof(*hosts));
}

int witness_view(witness_t *witness, pimento_usec_t now, const hostlist_t *list,
		 pimento_id_t self)
{
	pimento_id_t *hosts = malloc((list->count + 1) * sizeof(*hosts));
	witness_view_t *view;
	uint32_t count;

	if (!hosts) {
		drop_views(witness, 0);
		return PIMENTO_ENOMEM;
	}
	witness->self = self;
	count = keyring_hosts(list, hosts, list->count);
	if (witness->view_count &&
	    same_hosts(&witness->views[witness->view_count - 1], hosts,
		       count)) {
		free(hosts);
		return PIMENTO_OK;
	}
	if (witness->view_count == WITNESS_VIEWS)
		drop_views(witness, WITNESS_VIEWS - 1);
	view = &witness->views[witness->view_count++];
	view->hosts = hosts;
	view->count = count;
	view->adopted =
		now > witness->options.started ? now : witness->options.started;
	return PIMENTO_OK;
}
