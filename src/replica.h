#ifndef REPLICA_H
#define REPLICA_H

/*
 * A host's local replica of one collection of records that the platform
 * publishes, by key, each with the revision of its last change. Records
 * from the platform's store and from peers' snapshots may be applied in any
 * mixture: for each key the newest revision wins, so a stale read or a delayed
 * message cannot restore a replaced value.
 *
 * The replica also records its freshness: the start of the latest read of the
 * store that is known to have covered all changes up to the replica's revision.
 *
 * Collections are replicated independently, so that the transfer of a large
 * configuration does not delay endpoint changes.
 */

#include "../pimentoshelf.h"

typedef enum replica_kind {
	REPLICA_OPERATOR, /* configuration and evacuated data centres */
	REPLICA_ENDPOINTS,
	REPLICA_KIND_COUNT
} replica_kind_t;

/* Returns "configuration" or "endpoints", as used in logs. */
const char *replica_kind_name(replica_kind_t kind);
/*
 * Returns "operator" or "endpoints", as used in paths of snapshots. Earlier
 * versions offer the configuration alone, under its own name.
 */
const char *replica_kind_path(replica_kind_t kind);

typedef struct replica_record {
	char *key;
	char *value; /* NUL-terminated; NULL once removed */
	size_t length;
	char *compressed; /* cached compressed value, or NULL */
	size_t compressed_length;
	uint64_t revision;
	bool listed; /* present in the full listing that is being applied */
} replica_record_t;

typedef struct replica {
	/* Called after each change; record->value is NULL after a removal. */
	void (*changed)(void *context, const replica_record_t *record);
	void *context;
	replica_record_t *records; /* sorted by key, tombstones included */
	uint32_t count;
	uint32_t capacity;
	uint64_t revision; /* all changes up to this one are applied */
	/* Revision of the last full listing; all later removals are known. */
	uint64_t listing_revision;
	bool applying_batch; /* a batch of records is being applied */
	/*
	 * Start of the latest read known to have covered all changes up to the
	 * replica's revision; REPLICA_NEVER before the first one.
	 */
	pimento_usec_t confirmed_at;
	/*
	 * Start of the latest read, by any host, that the store answered;
	 * REPLICA_NEVER before the first one.
	 */
	pimento_usec_t store_answered_at;
	/* End of the grace period for removals after an outage; 0: none. */
	pimento_usec_t removal_grace_until;
} replica_t;

#define REPLICA_NEVER INT64_MIN

void replica_init(replica_t *replica,
		  void (*changed)(void *context,
				  const replica_record_t *record),
		  void *context);
void replica_finish(replica_t *replica);

/*
 * Applies one change to a record and copies key and value; a NULL value removes
 * the record. Outside of a listing, changes must be applied in the order of
 * their revisions, without gaps. Returns 0 or PIMENTO_ENOMEM.
 */
int replica_put(replica_t *replica, const char *key, const char *value,
		size_t length, uint64_t revision);

/*
 * Caches a copy of the compressed form of a record's value if the record still
 * has this revision. Does nothing if memory cannot be allocated.
 */
void replica_cache_compressed(replica_t *replica, const char *key,
			      uint64_t revision, const char *compressed,
			      size_t length);

/*
 * Applies a full listing of the collection: call replica_put() for each listed
 * record between replica_batch_begin() and replica_list_end(). The end removes
 * all records that were not listed and are not newer than revision. Listed
 * records may be newer than revision, but the replica counts as complete only
 * up to revision. Returns 0 or PIMENTO_ENOMEM; an error leaves the revision of
 * the replica unchanged.
 */
void replica_batch_begin(replica_t *replica);
int replica_list_end(replica_t *replica, uint64_t revision);
/*
 * Ends a batch, begun with replica_batch_begin(), that holds all changes after
 * the replica's revision up to the given one. Records missing from the batch
 * are kept.
 */
void replica_changes_end(replica_t *replica, uint64_t revision);
/* Ends an incomplete batch without advancing the replica's revision. */
void replica_batch_cancel(replica_t *replica);

/*
 * Records that a read of the store that began at time `start` covered all
 * changes up to `revision`. Has no effect on a replica with a lower revision.
 */
void replica_confirm(replica_t *replica, uint64_t revision,
		     pimento_usec_t start);

/*
 * Records that the store answered a read, by this host or a peer, that began at
 * start. A long gap since the last such read counts as an outage of the store.
 * Must be called before the changes from the read are applied.
 */
void replica_store_answered(replica_t *replica, pimento_usec_t start,
			    pimento_usec_t now);

/*
 * Returns the time at which the removal of a record, received now, takes effect:
 * immediately, or, after a store outage for all hosts, at the end of the grace
 * period in which live endpoints rewrite their expired records.
 */
pimento_usec_t replica_removal_time(const replica_t *replica,
				    pimento_usec_t now);

/* Age of the replica's contents; PIMENTO_NEVER before the first read. */
pimento_usec_t replica_age(const replica_t *replica, pimento_usec_t now);

#endif
