/*
 * Removed records stay in the replica as tombstones, because an older put for
 * the same key may still arrive from a peer. They are kept for the lifetime of
 * the replica: there are at most a few thousand changes per day, and a tombstone
 * holds only a key and a revision.
 */

#include "replica.h"

#include <stdlib.h>
#include <string.h>

/*
 * An endpoint's record expires after three missed heartbeats, so an outage of
 * the store also expires the records of live endpoints. They rewrite their
 * records within two seconds of the end of the outage.
 */
#define STORE_OUTAGE_MIN (2500 * PIMENTO_MSEC)
#define REMOVAL_GRACE (2 * PIMENTO_SEC)

const char *replica_kind_name(replica_kind_t kind)
{
	static const char *const names[] = { "configuration", "endpoints" };

	return names[kind];
}

const char *replica_kind_path(replica_kind_t kind)
{
	static const char *const paths[] = { "operator", "endpoints" };

	return paths[kind];
}

void replica_init(replica_t *replica,
		  void (*changed)(void *context,
				  const replica_record_t *record),
		  void *context)
{
	*replica = (replica_t){ .changed = changed,
				.context = context,
				.confirmed_at = REPLICA_NEVER,
				.store_answered_at = REPLICA_NEVER };
}

void replica_finish(replica_t *replica)
{
	for (uint32_t i = 0; i < replica->count; i++) {
		free(replica->records[i].key);
		free(replica->records[i].value);
		free(replica->records[i].compressed);
	}
	free(replica->records);
}

/* Returns the index of the first record whose key is not less than key. */
static uint32_t lower_bound(const replica_t *replica, const char *key)
{
	uint32_t low = 0;
	uint32_t high = replica->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (strcmp(replica->records[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns the record with this key, or NULL. Always sets at to the index of the
 * key in sorted order.
 */
static replica_record_t *find_record(const replica_t *replica, const char *key,
				     uint32_t *at)
{
	*at = lower_bound(replica, key);
	if (*at == replica->count ||
	    strcmp(replica->records[*at].key, key) != 0)
		return NULL;
	return &replica->records[*at];
}

static replica_record_t *insert_record(replica_t *replica, uint32_t at,
				       const char *key)
{
	replica_record_t *record;
	char *copy = strdup(key);

	if (!copy)
		return NULL;
	if (replica->count == replica->capacity) {
		uint32_t size = replica->capacity ? replica->capacity * 2 : 32;

		record = realloc(replica->records, size * sizeof(*record));
		if (!record) {
			free(copy);
			return NULL;
		}
		replica->records = record;
		replica->capacity = size;
	}
	record = &replica->records[at];
	memmove(record + 1, record, (replica->count - at) * sizeof(*record));
	replica->count++;
	*record = (replica_record_t){ .key = copy };
	return record;
}

static void advance_revision(replica_t *replica, uint64_t revision)
{
	if (!replica->applying_batch && replica->revision < revision)
		replica->revision = revision;
}

int replica_put(replica_t *replica, const char *key, const char *value,
		size_t length, uint64_t revision)
{
	uint32_t at;
	replica_record_t *record = find_record(replica, key, &at);
	char *copy = NULL;

	if (!record)
		record = insert_record(replica, at, key);
	if (!record)
		return PIMENTO_ENOMEM;
	record->listed = value != NULL;
	if (revision <= record->revision) {
		advance_revision(replica, revision);
		return 0;
	}
	if (value) {
		copy = malloc(length + 1);
		if (!copy)
			return PIMENTO_ENOMEM;
		memcpy(copy, value, length);
		copy[length] = '\0';
	}
	free(record->value);
	free(record->compressed);
	record->compressed = NULL;
	record->compressed_length = 0;
	record->value = copy;
	record->length = value ? length : 0;
	record->revision = revision;
	advance_revision(replica, revision);
	replica->changed(replica->context, record);
	return 0;
}

void replica_cache_compressed(replica_t *replica, const char *key,
			      uint64_t revision, const char *compressed,
			      size_t length)
{
	uint32_t at;
	replica_record_t *record = find_record(replica, key, &at);
	char *copy;

	if (!record || record->revision != revision || record->compressed)
		return;
	copy = malloc(length);
	if (!copy)
		return;
	memcpy(copy, compressed, length);
	record->compressed = copy;
	record->compressed_length = length;
}

void replica_batch_begin(replica_t *replica)
{
	replica->applying_batch = true;
	for (uint32_t i = 0; i < replica->count; i++)
		replica->records[i].listed = false;
}

void replica_batch_cancel(replica_t *replica)
{
	replica->applying_batch = false;
}

void replica_changes_end(replica_t *replica, uint64_t revision)
{
	replica->applying_batch = false;
	advance_revision(replica, revision);
}

int replica_list_end(replica_t *replica, uint64_t revision)
{
	for (uint32_t i = 0; i < replica->count; i++) {
		replica_record_t *record = &replica->records[i];
		int error;

		if (record->listed || !record->value ||
		    record->revision > revision)
			continue;
		error = replica_put(replica, record->key, NULL, 0, revision);
		if (error) {
			replica_batch_cancel(replica);
			return error;
		}
	}
	replica_changes_end(replica, revision);
	replica->listing_revision = revision;
	return 0;
}

void replica_store_answered(replica_t *replica, pimento_usec_t start,
			    pimento_usec_t now)
{
	if (start <= replica->store_answered_at)
		return;
	if (replica->store_answered_at != REPLICA_NEVER &&
	    start - replica->store_answered_at > STORE_OUTAGE_MIN)
		replica->removal_grace_until = now + REMOVAL_GRACE;
	replica->store_answered_at = start;
}

pimento_usec_t replica_removal_time(const replica_t *replica,
				    pimento_usec_t now)
{
	return replica->removal_grace_until > now ? replica->removal_grace_until
						  : now;
}

void replica_confirm(replica_t *replica, uint64_t revision,
		     pimento_usec_t start)
{
	if (replica->revision >= revision && replica->confirmed_at < start)
		replica->confirmed_at = start;
}

pimento_usec_t replica_age(const replica_t *replica, pimento_usec_t now)
{
	if (replica->confirmed_at == REPLICA_NEVER)
		return PIMENTO_NEVER;
	return now - replica->confirmed_at;
}
