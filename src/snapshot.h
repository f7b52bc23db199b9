#ifndef SNAPSHOT_H
#define SNAPSHOT_H

/*
 * Encodes and applies the snapshots by which hosts copy a replica from each
 * other. A snapshot holds the changes since the revision of the fetching host's
 * replica, or all records if that revision is too old. Large values are
 * compressed once: a host caches the compressed form that it receives and
 * forwards it.
 */

#include "replica.h"

/* Largest decompressed value accepted from a peer, in bytes. */
#define SNAPSHOT_VALUE_MAX ((uint32_t)16 * 1024 * 1024)

/*
 * Encodes the replica's changes after a revision, or all of its records if after
 * is 0 or older than the last full listing. Sets *bytes, which the caller frees,
 * and *length. Returns 0 or PIMENTO_ENOMEM.
 */
int snapshot_pack(replica_t *replica, uint64_t after, uint8_t **bytes,
		  size_t *length);

/*
 * Applies an encoded snapshot to a replica; a snapshot that is not newer than
 * the replica changes nothing. Returns the number of records in the snapshot;
 * PIMENTO_EPARSE for malformed bytes or changes that start after the replica's
 * revision; or PIMENTO_ENOMEM. An error leaves the replica's revision unchanged.
 */
int snapshot_apply(replica_t *replica, const uint8_t *bytes, size_t length);

#endif
