#ifndef FETCH_H
#define FETCH_H

/*
 * Fetches the changes of one collection of published records from peers that
 * hold newer records than this host, by HTTP. For the mesh only.
 */

#include "httpc.h"

#include "../src/progress.h"
#include "../src/replica.h"

#define SNAPSHOT_PATH "/snapshot/"
/* Milliseconds since the sender's copy was surely current, rounded up. */
#define SNAPSHOT_AGE_FIELD "Copy-Age"

struct mesh;

/* Transfers of one collection that may be under way, each from another peer. */
#define MESH_TRANSFERS_MAX 3

struct mesh_fetch;

/* A snapshot on its way from one peer. */
typedef struct mesh_transfer {
	struct mesh_fetch *fetch;
	httpc_t *conn; /* NULL: none */
	strbuf_t body;
	uint32_t peer; /* IPv4 address, host byte order */
	progress_t progress;
	bool connected;
} mesh_transfer_t;

/* Fetch state of one collection. */
typedef struct mesh_fetch {
	struct mesh *mesh;
	replica_kind_t kind;
	mesh_transfer_t transfers[MESH_TRANSFERS_MAX];
	pimento_usec_t behind_since; /* a peer has had newer records; 0 no */
	uint32_t turn; /* index of the peer to try next */
} mesh_fetch_t;

void fetch_init(mesh_fetch_t *fetch, struct mesh *mesh, replica_kind_t kind);
void fetch_finish(mesh_fetch_t *fetch);

/* Begins transfers that are due and aborts stalled ones; ten times a second. */
void fetch_tick(mesh_fetch_t *fetch, pimento_usec_t now);

#endif
