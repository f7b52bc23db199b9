/*
 * Removed records stay as tombstones, because an older put for the same key
 * may still arrive from a peer; a day has a few thousand changes at most, and a
 * tombstone is a key and a number.
 */

#include "mirror.h"

#include <stdlib.h>
#include <string.h>

/*
 * Endpoint records expire after three missed heartbeats. Live endpoints rewrite
 * theirs within two seconds of the end of a store outage.
 */
#define STORE_OUTAGE_MIN (2500 * PIMENTO_MSEC)
#define BACK_WITHIN (2 * PIMENTO_SEC)

const char *mirror_kind_name(mirror_kind_t kind)
{
	static const char *const names[] = { "configuration", "endpoints" };

	return names[kind];
}

void mirror_init(mirror_t *mirror,
		 void (*changed)(void *context, const mirror_record_t *record),
		 void *context)
{
	*mirror = (mirror_t){ .changed = changed,
			      .context = context,
			      .fresh = MIRROR_NEVER,
			      .store_answered_at = MIRROR_NEVER };
}

void mirror_finish(mirror_t *mirror)
{
	for (uint32_t i = 0; i < mirror->count; i++) {
		free(mirror->records[i].key);
		free(mirror->records[i].value);
		free(mirror->records[i].compressed);
	}
	free(mirror->records);
}

/* The first record whose key is not less. */
static uint32_t place(const mirror_t *mirror, const char *key)
{
	uint32_t low = 0;
	uint32_t high = mirror->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (strcmp(mirror->records[middle].key, key) < 0)
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
static mirror_record_t *find(const mirror_t *mirror, const char *key,
			     uint32_t *at)
{
	*at = place(mirror, key);
	if (*at == mirror->count || strcmp(mirror->records[*at].key, key) != 0)
		return NULL;
	return &mirror->records[*at];
}

static mirror_record_t *insert(mirror_t *mirror, uint32_t at, const char *key)
{
	mirror_record_t *record;
	char *copy = strdup(key);

	if (!copy)
		return NULL;
	if (mirror->count == mirror->size) {
		uint32_t size = mirror->size ? mirror->size * 2 : 32;

		record = realloc(mirror->records, size * sizeof(*record));
		if (!record) {
			free(copy);
			return NULL;
		}
		mirror->records = record;
		mirror->size = size;
	}
	record = &mirror->records[at];
	memmove(record + 1, record, (mirror->count - at) * sizeof(*record));
	mirror->count++;
	*record = (mirror_record_t){ .key = copy };
	return record;
}

static void advance(mirror_t *mirror, uint64_t revision)
{
	if (!mirror->listing && mirror->revision < revision)
		mirror->revision = revision;
}

int mirror_put(mirror_t *mirror, const char *key, const char *value,
	       size_t length, uint64_t revision)
{
	uint32_t at;
	mirror_record_t *record = find(mirror, key, &at);
	char *copy = NULL;

	if (!record)
		record = insert(mirror, at, key);
	if (!record)
		return PIMENTO_ENOMEM;
	record->seen = value != NULL;
	if (revision <= record->revision) {
		advance(mirror, revision);
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
	advance(mirror, revision);
	mirror->changed(mirror->context, record);
	return 0;
}

void mirror_cache_compressed(mirror_t *mirror, const char *key,
			     uint64_t revision, const char *compressed,
			     size_t length)
{
	uint32_t at;
	mirror_record_t *record = find(mirror, key, &at);
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

void mirror_list_begin(mirror_t *mirror)
{
	mirror->listing = true;
	for (uint32_t i = 0; i < mirror->count; i++)
		mirror->records[i].seen = false;
}

void mirror_list_cancel(mirror_t *mirror)
{
	mirror->listing = false;
}

void mirror_changes_end(mirror_t *mirror, uint64_t revision)
{
	mirror->listing = false;
	advance(mirror, revision);
}

int mirror_list_end(mirror_t *mirror, uint64_t revision)
{
	for (uint32_t i = 0; i < mirror->count; i++) {
		mirror_record_t *record = &mirror->records[i];
		int error;

		if (record->seen || !record->value ||
		    record->revision > revision)
			continue;
		error = mirror_put(mirror, record->key, NULL, 0, revision);
		if (error) {
			mirror_list_cancel(mirror);
			return error;
		}
	}
	mirror_changes_end(mirror, revision);
	mirror->listing_revision = revision;
	return 0;
}

void mirror_store_answered(mirror_t *mirror, pimento_usec_t start,
			   pimento_usec_t now)
{
	if (start <= mirror->store_answered_at)
		return;
	if (mirror->store_answered_at != MIRROR_NEVER &&
	    start - mirror->store_answered_at > STORE_OUTAGE_MIN)
		mirror->removal_grace_until = now + BACK_WITHIN;
	mirror->store_answered_at = start;
}

pimento_usec_t mirror_gone_at(const mirror_t *mirror, pimento_usec_t now)
{
	return mirror->removal_grace_until > now ? mirror->removal_grace_until
						 : now;
}

void mirror_confirm(mirror_t *mirror, uint64_t revision, pimento_usec_t start)
{
	if (mirror->revision >= revision && mirror->fresh < start)
		mirror->fresh = start;
}

pimento_usec_t mirror_age(const mirror_t *mirror, pimento_usec_t now)
{
	if (mirror->fresh == MIRROR_NEVER)
		return PIMENTO_NEVER;
	return now - mirror->fresh;
}
