#ifndef REPLICA_H
#define REPLICA_H

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

typedef enum replica_kind {
	REPLICA_CONFIGURATION,
	REPLICA_ENDPOINTS,
	REPLICA_KIND_COUNT
} replica_kind_t;

/* Returns "configuration" or "endpoints", as used in paths and logs. */
const char *replica_kind_name(replica_kind_t kind);

typedef struct replica_record {
	char *key;
	char *value; /* NUL-terminated; NULL once removed */
	size_t length;
	char *compressed; /* cached compressed value, or NULL */
	size_t compressed_length;
	uint64_t revision;
	bool seen; /* during a full listing */
} replica_record_t;

typedef struct replica {
	/* Told of each change; value is NULL when the record was removed. */
	void (*changed)(void *context, const replica_record_t *record);
	void *context;
	replica_record_t *records; /* sorted by key, removed ones included */
	uint32_t count;
	uint32_t capacity;
	uint64_t revision; /* all changes up to this one are held */
	/* Of the last full listing; all later removals are known. */
	uint64_t listing_revision;
	bool applying_batch; /* a batch of records is being applied */
	pimento_usec_t
		confirmed_at; /* see above; REPLICA_NEVER before the first */
	/* Start of the latest read, by any host, that the store answered. */
	pimento_usec_t store_answered_at;
	pimento_usec_t
		removal_grace_until; /* see replica_removal_time(); 0: none */
} replica_t;

#define REPLICA_NEVER INT64_MIN

void replica_init(replica_t *replica,
		  void (*changed)(void *context,
				  const replica_record_t *record),
		  void *context);
void replica_finish(replica_t *replica);

/*
 * Applies one change; a NULL value removes the record. Outside of a listing,
 * changes must be applied in order, without gaps. Returns 0 or PIMENTO_ENOMEM.
 */
int replica_put(replica_t *replica, const char *key, const char *value,
		size_t length, uint64_t revision);

/*
 * Caches the compressed form of a value if the record still has this revision.
 * Does nothing if memory cannot be allocated.
 */
void replica_cache_compressed(replica_t *replica, const char *key,
			      uint64_t revision, const char *compressed,
			      size_t length);

/*
 * A full listing: between begin and end, each record listed is put; what was
 * not listed and is not newer than revision is then removed. Records may be
 * newer than revision, but the copy counts as complete only up to revision.
 * Returns 0 or PIMENTO_ENOMEM; an error leaves the revision of the copy
 * unchanged.
 */
void replica_list_begin(replica_t *replica);
int replica_list_end(replica_t *replica, uint64_t revision);
/* Ends a batch that holds all changes since the copy's revision up to this. */
void replica_changes_end(replica_t *replica, uint64_t revision);
/* Ends an incomplete batch without advancing the revision. */
void replica_list_cancel(replica_t *replica);

/* A read that began at start saw everything up to revision. */
void replica_confirm(replica_t *replica, uint64_t revision,
		     pimento_usec_t start);

/*
 * Records that the store answered a read, by this host or a peer, that began at
 * start. Must be called before the changes from that read are applied.
 */
void replica_store_answered(replica_t *replica, pimento_usec_t start,
			    pimento_usec_t now);

/*
 * Returns when a record removed now takes effect as gone: immediately, or, after
 * a store outage for all hosts, at the end of the grace period in which live
 * endpoints rewrite their expired records.
 */
pimento_usec_t replica_removal_time(const replica_t *replica,
				    pimento_usec_t now);

/* Age of the copy; PIMENTO_NEVER before the first read. */
pimento_usec_t replica_age(const replica_t *replica, pimento_usec_t now);

#endif
