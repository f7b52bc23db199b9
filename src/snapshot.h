#ifndef SNAPSHOT_H
#define SNAPSHOT_H

/*
 * Snapshots that hosts fetch from each other: the changes since the revision
 * that the fetching host holds, or all records if that revision is too old.
 * Large values are compressed once; a host caches the compressed form that it
 * receives and forwards it.
 */

#include "replica.h"

/* Limits the decompressed length of a value received from a peer. */
#define SNAPSHOT_VALUE_MAX ((uint32_t)16 * 1024 * 1024)

/*
 * Encodes the changes after a revision, or all records if after is 0 or too old.
 * Sets bytes, which the caller frees, and length. Returns 0 or PIMENTO_ENOMEM.
 */
int snapshot_pack(replica_t *replica, uint64_t after, uint8_t **bytes,
		  size_t *length);

/*
 * Applies a snapshot; one that is not newer than the copy changes nothing.
 * Returns the number of records; PIMENTO_EPARSE for malformed bytes or changes
 * that start after the copy's revision; or PIMENTO_ENOMEM. An error leaves the
 * revision of the copy unchanged.
 */
int snapshot_apply(replica_t *replica, const uint8_t *bytes, size_t length);

#endif
