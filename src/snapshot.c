#include "snapshot.h"

#include "peer.pb-c.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* Record values smaller than this are sent uncompressed. */
#define COMPRESSION_MIN_BYTES 4096
#define COMPRESSION_LEVEL Z_BEST_SPEED

/*
 * Compresses a record's value and caches the result if it is smaller. On
 * failure, the value is sent uncompressed.
 */
static void compress_value(replica_record_t *record)
{
	uLongf length = compressBound(record->length);
	char *compressed;

	if (record->compressed || record->length < COMPRESSION_MIN_BYTES)
		return;
	compressed = malloc(length);
	if (compressed &&
	    compress2((Bytef *)compressed, &length,
		      (const Bytef *)record->value, record->length,
		      COMPRESSION_LEVEL) == Z_OK &&
	    length < record->length) {
		record->compressed = compressed;
		record->compressed_length = length;
	} else {
		free(compressed);
	}
}

static void fill_record(Peer__Record *to, replica_record_t *from)
{
	peer__record__init(to);
	to->key = from->key;
	to->revision = from->revision;
	to->removed = !from->value;
	if (!from->value)
		return;
	compress_value(from);
	to->value.data = (uint8_t *)from->value;
	to->value.len = from->length;
	if (from->compressed) {
		to->value.data = (uint8_t *)from->compressed;
		to->value.len = from->compressed_length;
		to->length = (uint32_t)from->length;
	}
}

/*
 * Excludes records newer than the replica's revision, because changes between
 * that revision and theirs may be missing. A snapshot of all records (after is
 * 0) needs no tombstones.
 */
static bool is_included(const replica_t *replica,
			const replica_record_t *record, uint64_t after)
{
	if (record->revision > replica->revision || record->revision <= after)
		return false;
	return record->value || after;
}

int snapshot_pack(replica_t *replica, uint64_t after, uint8_t **bytes,
		  size_t *length)
{
	Peer__Snapshot message = PEER__SNAPSHOT__INIT;
	Peer__Record *records = calloc(replica->count + 1, sizeof(*records));
	Peer__Record **pointers =
		calloc(replica->count + 1, sizeof(Peer__Record *));

	*bytes = NULL;
	message.after = after >= replica->listing_revision ? after : 0;
	message.revision = replica->revision;
	message.records = pointers;
	for (uint32_t i = 0; records && pointers && i < replica->count; i++) {
		Peer__Record *to = &records[message.n_records];

		if (!is_included(replica, &replica->records[i], message.after))
			continue;
		fill_record(to, &replica->records[i]);
		pointers[message.n_records++] = to;
	}
	if (records && pointers) {
		*length = peer__snapshot__get_packed_size(&message);
		*bytes = malloc(*length + 1);
	}
	if (*bytes)
		peer__snapshot__pack(&message, *bytes);
	free(records);
	free(pointers);
	return *bytes ? 0 : PIMENTO_ENOMEM;
}

static int put_compressed(replica_t *replica, const Peer__Record *record)
{
	uLongf length = record->length;
	char *value;
	int error = PIMENTO_EPARSE;

	if (record->length > SNAPSHOT_VALUE_MAX)
		return PIMENTO_EPARSE;
	value = malloc(record->length);
	if (!value)
		return PIMENTO_ENOMEM;
	if (uncompress((Bytef *)value, &length, record->value.data,
		       record->value.len) == Z_OK &&
	    length == record->length)
		error = replica_put(replica, record->key, value, length,
				    record->revision);
	free(value);
	if (!error)
		replica_cache_compressed(replica, record->key, record->revision,
					 (const char *)record->value.data,
					 record->value.len);
	return error;
}

static int put_record(replica_t *replica, const Peer__Record *record)
{
	if (record->removed)
		return replica_put(replica, record->key, NULL, 0,
				   record->revision);
	if (record->length)
		return put_compressed(replica, record);
	/* An empty value may have no data pointer; NULL would mean a removal. */
	return replica_put(replica, record->key,
			   record->value.len ? (const char *)record->value.data
					     : "",
			   record->value.len, record->revision);
}

static int apply_records(replica_t *replica, const Peer__Snapshot *snapshot)
{
	replica_batch_begin(replica);
	for (size_t i = 0; i < snapshot->n_records; i++) {
		int error = put_record(replica, snapshot->records[i]);

		if (error) {
			replica_batch_cancel(replica);
			return error;
		}
	}
	if (!snapshot->after)
		return replica_list_end(replica, snapshot->revision);
	replica_changes_end(replica, snapshot->revision);
	return 0;
}

int snapshot_apply(replica_t *replica, const uint8_t *bytes, size_t length)
{
	Peer__Snapshot *snapshot = peer__snapshot__unpack(NULL, length, bytes);
	int result = PIMENTO_EPARSE;

	if (!snapshot)
		return PIMENTO_EPARSE;
	/*
	 * An older snapshot is ignored: records that it lacks may have been
	 * added after it was made.
	 */
	if (snapshot->revision <= replica->revision)
		result = 0;
	else if (snapshot->after <= replica->revision)
		result = apply_records(replica, snapshot);
	if (!result)
		result = (int)snapshot->n_records;
	peer__snapshot__free_unpacked(snapshot, NULL);
	return result;
}
