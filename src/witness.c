/*
 * The witness's table of idempotency keys: bounded, in memory only, and lost
 * when the process ends.
 *
 * A record holds two facts about a key, each of which only restricts what may
 * happen later. The claim names the one dispatch that may run; it passes to
 * another dispatch only after its own entry, which has not dispatched, withdraws
 * it. The highest sealed attempt bars this attempt and all lower ones from
 * claiming. Any two quorums share a witness, so two dispatches cannot both have a
 * quorum, nor can a seal and a claim that it bars.
 *
 * This requires that the witness has forgotten nothing. It therefore abstains
 * (PIMENTO_ESTALE) from every key that may have been claimed without its
 * knowledge: an issued key that names another incarnation, and a key chosen by a
 * caller that may be older than this process or than the host list that made it
 * a witness. An unexpired record is never evicted: a full table refuses new keys.
 */

#include "claim.h"

#include <stdlib.h>
#include <string.h>

/*
 * One record in this many is reserved for seals. Otherwise a full table could not
 * record that a refused request has not run, and each refusal would have to be
 * reported as "may have run".
 */
#define SEAL_RESERVE_DIVISOR 8

/* Memory limit of all stored answers together, in bytes per key of capacity. */
#define ANSWER_BYTES_PER_KEY 512

struct witness_record {
	witness_record_t *bucket_next;
	witness_record_t *older;
	witness_record_t *newer;
	pimento_key_t key;
	pimento_usec_t changed_at;
	uint32_t sealed;
	uint32_t attempt; /* attempt that claimed the key, 0 if unclaimed */
	uint64_t sequence; /* sequence of the message that set the dispatch */
	pimento_reqid_t request;
	pimento_id_t endpoint;
	uint64_t digest;
	uint16_t status;
	uint16_t answer_size;
	bool done;
	uint8_t *answer; /* allocated separately, as most records have none */
};

int witness_init(witness_t *witness, const witness_options_t *options)
{
	memset(witness, 0, sizeof(*witness));
	if (!options->incarnation || !options->capacity ||
	    options->retention <= 0 || options->clock_skew_max < 0)
		return PIMENTO_EINVAL;
	witness->options = *options;
	witness->bucket_count = 1;
	while (witness->bucket_count < options->capacity)
		witness->bucket_count *= 2;
	witness->buckets =
		calloc(witness->bucket_count, sizeof(witness_record_t *));
	return witness->buckets ? PIMENTO_OK : PIMENTO_ENOMEM;
}

static witness_record_t **find_link(const witness_t *witness, pimento_key_t key)
{
	witness_record_t **at =
		&witness->buckets[key.lo & (witness->bucket_count - 1)];

	while (*at && !pimento_key_equal((*at)->key, key))
		at = &(*at)->bucket_next;
	return at;
}

static void unlink_from_age_list(witness_t *witness, witness_record_t *record)
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

static void append_to_age_list(witness_t *witness, witness_record_t *record)
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

static void remove_oldest(witness_t *witness)
{
	witness_record_t *record = witness->oldest;

	witness->oldest = record->newer;
	if (witness->oldest)
		witness->oldest->older = NULL;
	else
		witness->newest = NULL;
	*find_link(witness, record->key) = record->bucket_next;
	drop_answer(witness, record);
	free(record);
	witness->count--;
}

void witness_finish(witness_t *witness)
{
	while (witness->oldest)
		remove_oldest(witness);
	for (uint32_t i = 0; i < witness->hostlist_count; i++)
		free(witness->hostlists[i].hosts);
	free(witness->buckets);
	memset(witness, 0, sizeof(*witness));
}

/*
 * Maximum error of the key age stated in a message: the skew of two hosts' clocks
 * plus the time that the message was under way, as later replies are ignored.
 */
static pimento_usec_t age_error_max(const witness_t *witness)
{
	return witness->options.clock_skew_max + CLAIM_STEP_TIMEOUT_MAX;
}

/*
 * Records outlive the last moment at which their key is accepted. Without the
 * margin, an entry whose clock is behind could get a key accepted whose record
 * this witness has just removed, and the request would run twice.
 */
static pimento_usec_t record_lifetime(const witness_t *witness)
{
	return witness->options.retention + 2 * age_error_max(witness);
}

/*
 * All records have the same lifetime, so the list in order of last change is also
 * in order of expiry, and the scan stops at the first unexpired record.
 */
void witness_tick(witness_t *witness, pimento_usec_t now)
{
	while (witness->oldest &&
	       now - witness->oldest->changed_at > record_lifetime(witness))
		remove_oldest(witness);
}

static void move_to_newest(witness_t *witness, pimento_usec_t now,
			   witness_record_t *record)
{
	record->changed_at = now;
	unlink_from_age_list(witness, record);
	append_to_age_list(witness, record);
}

static witness_record_t *find_or_add(witness_t *witness, pimento_usec_t now,
				     pimento_key_t key, uint32_t capacity)
{
	witness_record_t **at = find_link(witness, key);
	witness_record_t *record = *at;

	if (record) {
		move_to_newest(witness, now, record);
		return record;
	}
	if (witness->count >= capacity)
		return NULL;
	record = calloc(1, sizeof(*record));
	if (!record)
		return NULL;
	record->key = key;
	record->changed_at = now;
	*at = record;
	append_to_age_list(witness, record);
	witness->count++;
	return record;
}

static bool is_held_by(const witness_record_t *record, pimento_reqid_t request)
{
	return record->attempt && pimento_reqid_equal(record->request, request);
}

static void set_claim(witness_record_t *record, const message_claim_t *msg)
{
	record->attempt = msg->attempt;
	record->sequence = msg->sequence;
	record->request = msg->dispatch.id;
	record->endpoint = msg->dispatch.endpoint;
	record->digest = msg->dispatch.digest;
}

static uint32_t claim_capacity(const witness_t *witness)
{
	uint32_t capacity = witness->options.capacity;

	return capacity - capacity / SEAL_RESERVE_DIVISOR;
}

static int apply_take_request(witness_t *witness, pimento_usec_t now,
			      const message_claim_t *msg)
{
	witness_record_t *record = *find_link(witness, msg->key);

	if (record && record->attempt && !is_held_by(record, msg->dispatch.id))
		return PIMENTO_ECLAIMED;
	if (record && record->sealed >= msg->attempt)
		return PIMENTO_ESEALED;
	record = find_or_add(witness, now, msg->key, claim_capacity(witness));
	if (!record)
		return PIMENTO_EFULL;
	/* A delayed duplicate must not restore the endpoint of an older take. */
	if (!record->attempt || msg->sequence > record->sequence)
		set_claim(record, msg);
	return PIMENTO_OK;
}

static int apply_seal_request(witness_t *witness, pimento_usec_t now,
			      const message_claim_t *msg)
{
	witness_record_t *record = *find_link(witness, msg->key);

	if (record && record->attempt && !is_held_by(record, msg->dispatch.id))
		return PIMENTO_ECLAIMED;
	/* A delayed duplicate of a seal must not free a key whose dispatch ran. */
	if (record && record->done)
		return PIMENTO_ECLAIMED;
	record = find_or_add(witness, now, msg->key, witness->options.capacity);
	if (!record)
		return PIMENTO_EFULL;
	record->attempt = 0;
	if (record->sealed < msg->attempt)
		record->sealed = msg->attempt;
	return PIMENTO_OK;
}

static void keep_answer(witness_t *witness, witness_record_t *record,
			const message_dispatch_t *dispatch)
{
	size_t limit = (size_t)witness->options.capacity * ANSWER_BYTES_PER_KEY;
	uint16_t size = dispatch->answer_size;

	if (!size || size > MESSAGE_ANSWER_BYTES_MAX ||
	    witness->answer_bytes + size > limit)
		return;
	record->answer = malloc(size);
	if (!record->answer)
		return;
	memcpy(record->answer, dispatch->answer, size);
	record->answer_size = size;
	witness->answer_bytes += size;
}

/*
 * Only the dispatch that won reports an outcome, so it is also recorded by a
 * witness that never received its claim or that holds the claim of a dispatch
 * that lost.
 */
static int apply_done_report(witness_t *witness, pimento_usec_t now,
			     const message_claim_t *msg)
{
	witness_record_t *record = *find_link(witness, msg->key);

	if (record && record->done)
		return PIMENTO_OK;
	record = find_or_add(witness, now, msg->key, witness->options.capacity);
	if (!record)
		return PIMENTO_EFULL;
	set_claim(record, msg);
	record->done = true;
	record->status = msg->dispatch.status;
	keep_answer(witness, record, &msg->dispatch);
	return PIMENTO_OK;
}

/*
 * The witness set of a key by one of the host lists kept here: steps_back is 0
 * for the newest. False if there is no such list or it has too few hosts.
 */
static bool select_witnesses_by_hostlist(const witness_t *witness,
					 uint32_t steps_back, pimento_key_t key,
					 witness_set_t *set)
{
	const witness_hostlist_t *hostlist;

	if (steps_back >= witness->hostlist_count)
		return false;
	hostlist =
		&witness->hostlists[witness->hostlist_count - 1 - steps_back];
	return idem_key_rendezvous(hostlist->hosts, hostlist->count, key,
				   set) == 0;
}

static bool witness_set_has_host(const witness_set_t *set, pimento_id_t host)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (set->hosts[i] == host)
			return true;
	}
	return false;
}

/*
 * Returns since when the lists in force have selected this witness set for the
 * key without a break. A new list that selects the same set does not reset it.
 */
static pimento_usec_t witness_set_unchanged_since(const witness_t *witness,
						  pimento_key_t key,
						  uint64_t set_hash)
{
	pimento_usec_t since = PIMENTO_NEVER;
	witness_set_t set;

	for (uint32_t steps_back = 0;
	     select_witnesses_by_hostlist(witness, steps_back, key, &set);
	     steps_back++) {
		if (set.set_hash != set_hash)
			break;
		since = witness->hostlists[witness->hostlist_count - 1 -
					   steps_back]
				.adopted;
	}
	return since;
}

/*
 * Checks a key that a caller chose. If the entry used another host list, this
 * host or other witnesses in the entry's set may not know of an earlier claim,
 * and they would agree to a second dispatch. So the witness answers only for the
 * set that its own current list selects, and only for keys that cannot have been
 * claimed before that set came into force here.
 */
static int check_witness_set(const witness_t *witness, pimento_usec_t now,
			     const message_claim_t *msg)
{
	pimento_usec_t key_created = now - msg->key_age;
	pimento_usec_t since;
	witness_set_t set;

	if (!select_witnesses_by_hostlist(witness, 0, msg->key, &set) ||
	    set.set_hash != msg->witness_set_hash ||
	    !witness_set_has_host(&set, witness->self))
		return PIMENTO_ESTALE;
	if (msg->key_age == CLAIM_AGE_UNKNOWN)
		key_created = now - witness->options.retention;
	since = witness_set_unchanged_since(witness, msg->key,
					    msg->witness_set_hash);
	return since <= key_created - age_error_max(witness) ? PIMENTO_OK
							     : PIMENTO_ESTALE;
}

/* Returns PIMENTO_OK if this witness may answer for the key, else why not. */
static int check_eligible(const witness_t *witness, pimento_usec_t now,
			  const message_claim_t *msg)
{
	if (pimento_key_is_none(msg->key) ||
	    (!msg->attempt && msg->op != CLAIM_QUERY))
		return PIMENTO_EINVAL;
	if (msg->incarnation &&
	    msg->incarnation != witness->options.incarnation)
		return PIMENTO_ESTALE;
	if (!msg->incarnation && !msg->witness_set_hash)
		return PIMENTO_EINVAL;
	if (msg->key_age != CLAIM_AGE_UNKNOWN &&
	    (msg->key_age > witness->options.retention ||
	     msg->key_age < -witness->options.clock_skew_max))
		return PIMENTO_EEXPIRED;
	if (msg->witness_set_hash)
		return check_witness_set(witness, now, msg);
	return PIMENTO_OK;
}

static int apply_op(witness_t *witness, pimento_usec_t now,
		    const message_claim_t *msg)
{
	switch (msg->op) {
	case CLAIM_QUERY:
		return PIMENTO_OK;
	case CLAIM_TAKE:
		return apply_take_request(witness, now, msg);
	case CLAIM_SEAL:
		return apply_seal_request(witness, now, msg);
	case CLAIM_DONE:
		return apply_done_report(witness, now, msg);
	default:
		return PIMENTO_EINVAL;
	}
}

/* The stored answer is left out of replies to the entry that reported it. */
static void fill_reply(const witness_record_t *record,
		       const message_claim_t *msg, message_witness_t *reply)
{
	message_dispatch_t *dispatch = &reply->dispatch;

	reply->sealed = record->sealed;
	reply->attempt = record->attempt;
	if (!record->attempt)
		return;
	dispatch->id = record->request;
	dispatch->endpoint = record->endpoint;
	dispatch->digest = record->digest;
	dispatch->done = record->done;
	dispatch->status = record->status;
	if (!record->answer_size || is_held_by(record, msg->dispatch.id))
		return;
	dispatch->answer_size = record->answer_size;
	memcpy(dispatch->answer, record->answer, record->answer_size);
}

/*
 * A witness that abstains still reports a claim that it holds: a repeated request
 * under a newer host list can then resume the dispatch, though it could never
 * dispatch anew.
 */
void witness_receive(witness_t *witness, pimento_usec_t now,
		     const message_claim_t *msg, message_witness_t *reply)
{
	const witness_record_t *record;

	witness_tick(witness, now);
	memset(reply, 0, sizeof(*reply));
	reply->key = msg->key;
	reply->sequence = msg->sequence;
	reply->incarnation = witness->options.incarnation;
	reply->result = check_eligible(witness, now, msg);
	if (reply->result == PIMENTO_OK)
		reply->result = apply_op(witness, now, msg);
	record = *find_link(witness, msg->key);
	if (record)
		fill_reply(record, msg, reply);
}

static void drop_hostlists(witness_t *witness, uint32_t keep)
{
	uint32_t drop = witness->hostlist_count - keep;

	for (uint32_t i = 0; i < drop; i++)
		free(witness->hostlists[i].hosts);
	memmove(witness->hostlists, witness->hostlists + drop,
		keep * sizeof(*witness->hostlists));
	witness->hostlist_count = keep;
}

static bool same_hosts(const witness_hostlist_t *hostlist,
		       const pimento_id_t *hosts, uint32_t count)
{
	return hostlist->count == count &&
	       !memcmp(hostlist->hosts, hosts, count * sizeof(*hosts));
}

int witness_adopt_hostlist(witness_t *witness, pimento_usec_t now,
			   const hostlist_t *list, pimento_id_t self)
{
	pimento_id_t *hosts = malloc((list->count + 1) * sizeof(*hosts));
	witness_hostlist_t *hostlist;
	uint32_t count;

	if (!hosts) {
		drop_hostlists(witness, 0);
		return PIMENTO_ENOMEM;
	}
	witness->self = self;
	count = idem_key_eligible_hosts(list, hosts, list->count);
	if (witness->hostlist_count &&
	    same_hosts(&witness->hostlists[witness->hostlist_count - 1], hosts,
		       count)) {
		free(hosts);
		return PIMENTO_OK;
	}
	if (witness->hostlist_count == WITNESS_HOSTLISTS_MAX)
		drop_hostlists(witness, WITNESS_HOSTLISTS_MAX - 1);
	hostlist = &witness->hostlists[witness->hostlist_count++];
	hostlist->hosts = hosts;
	hostlist->count = count;
	hostlist->adopted =
		now > witness->options.started ? now : witness->options.started;
	return PIMENTO_OK;
}
