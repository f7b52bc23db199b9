#ifndef MIRROR_H
#define MIRROR_H

/*
 * This host's copy of one collection of what the platform publishes: records by
 * key, each with the revision of its last change. It is fed from the platform's
 * store or from a peer's snapshot, in any mixture: per key a newer revision wins
 * and an older one changes nothing, so that a stale read or a late message can
 * never bring back what was replaced.
 *
 * It also keeps the freshness of the copy: the start of the latest read that
 * is known to have seen everything up to the copy's revision.
 *
 * Collections are replicated independently, so that the transfer of a large
 * configuration does not delay endpoint changes.
 */

#include "../pimentoshelf.h"

typedef enum mirror_kind {
	MIRROR_CONFIGURATION,
	MIRROR_ENDPOINTS,
	MIRROR_KIND_COUNT
} mirror_kind_t;

/* Returns "configuration" or "endpoints", as used in paths and logs. */
const char *mirror_kind_name(mirror_kind_t kind);

typedef struct mirror_record {
	char *key;
	char *value; /* NUL-terminated; NULL once removed */
	size_t length;
	char *compressed; /* cached compressed value, or NULL */
	size_t compressed_length;
	uint64_t revision;
	bool seen; /* during a full listing */
} mirror_record_t;

typedef struct mirror {
	/* Told of each change; value is NULL when the record was removed. */
	void (*changed)(void *context, const mirror_record_t *record);
	void *context;
	mirror_record_t *records; /* sorted by key, removed ones included */
	uint32_t count;
	uint32_t size;
	uint64_t revision; /* all changes up to this one are held */
	/* Of the last full listing; all later removals are known. */
	uint64_t listing_revision;
	bool listing; /* a batch of records is being applied */
	pimento_usec_t fresh; /* see above; MIRROR_NEVER before the first */
	/* Start of the latest read, by any host, that the store answered. */
	pimento_usec_t store_answered_at;
	pimento_usec_t removal_grace_until; /* see mirror_gone_at(); 0: none */
} mirror_t;

#define MIRROR_NEVER INT64_MIN

void mirror_init(mirror_t *mirror,
		 void (*changed)(void *context, const mirror_record_t *record),
		 void *context);
void mirror_finish(mirror_t *mirror);

/*
 * Applies one change; a NULL value removes the record. Outside of a listing,
 * changes must be applied in order, without gaps. Returns 0 or PIMENTO_ENOMEM.
 */
int mirror_put(mirror_t *mirror, const char *key, const char *value,
	       size_t length, uint64_t revision);

/*
 * Caches the compressed form of a value if the record still has this revision.
 * Does nothing if memory cannot be allocated.
 */
void mirror_cache_compressed(mirror_t *mirror, const char *key,
			     uint64_t revision, const char *compressed,
			     size_t length);

/*
 * A full listing: between begin and end, each record listed is put; what was
 * not listed and is not newer than revision is then removed. Records may be
 * newer than revision, but the copy counts as complete only up to revision.
 * Returns 0 or PIMENTO_ENOMEM; an error leaves the revision of the copy
 * unchanged.
 */
void mirror_list_begin(mirror_t *mirror);
int mirror_list_end(mirror_t *mirror, uint64_t revision);
/* Ends a batch that holds all changes since the copy's revision up to this. */
void mirror_changes_end(mirror_t *mirror, uint64_t revision);
/* Ends an incomplete batch without advancing the revision. */
void mirror_list_cancel(mirror_t *mirror);

/* A read that began at start saw everything up to revision. */
void mirror_confirm(mirror_t *mirror, uint64_t revision, pimento_usec_t start);

/*
 * Records that the store answered a read, by this host or a peer, that began at
 * start. Must be called before the changes from that read are applied.
 */
void mirror_store_answered(mirror_t *mirror, pimento_usec_t start,
			   pimento_usec_t now);

/*
 * Returns when a record removed now takes effect as gone: immediately, or, after
 * a store outage for all hosts, at the end of the grace period in which live
 * endpoints rewrite their expired records.
 */
pimento_usec_t mirror_gone_at(const mirror_t *mirror, pimento_usec_t now);

/* Age of the copy; PIMENTO_NEVER before the first read. */
pimento_usec_t mirror_age(const mirror_t *mirror, pimento_usec_t now);

#endif
