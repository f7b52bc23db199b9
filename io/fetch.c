/*
 * A lost first packet of a connection is sent again only after a second. So
 * that it delays no change, another peer is tried as well while none has sent
 * anything.
 */

#include "fetch.h"

#include "mesh.h"
#include "sys.h"
#include "trail.h"

#include "../src/snapshot.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * How long a peer may be ahead before its records are fetched: the store's
 * own word is usually on its way.
 */
#define BEHIND_MOST (150 * PIMENTO_MSEC)
/* A transfer is aborted when nothing has been received for this long. */
#define TRANSFER_IDLE_MAX (700 * PIMENTO_MSEC)
/* After this long without a byte from any peer, another one is tried as well. */
#define TRANSFER_STAGGER (150 * PIMENTO_MSEC)
/* A snapshot: the largest value of the store, and some. */
#define SNAPSHOT_BYTES_MAX ((size_t)16 * 1024 * 1024)

/* Logs the end of a transfer and adds its body bytes to the counter. */
static void report_transfer(const mesh_transfer_t *transfer,
			    const char *outcome)
{
	const mesh_fetch_t *fetch = transfer->fetch;
	const struct in_addr address = { htonl(transfer->peer) };
	pimento_usec_t now = sys_now();
	char peer[INET_ADDRSTRLEN];

	fetch->mesh->snapshot_bytes_in += transfer->body.length;
	inet_ntop(AF_INET, &address, peer, sizeof(peer));
	trail(TRAIL_STATE, "mesh", "fetch",
	      "collection=%s peer=%s outcome=%s bytes=%zu ms=%lld connected=%d "
	      "behind_ms=%lld",
	      replica_kind_name(fetch->kind), peer, outcome,
	      transfer->body.length,
	      (long long)((now - transfer->progress.started) / PIMENTO_MSEC),
	      transfer->connected,
	      fetch->behind_since
		      ? (long long)((now - fetch->behind_since) / PIMENTO_MSEC)
		      : -1);
}

static void transfer_failed(mesh_transfer_t *transfer, const char *why)
{
	transfer->conn = NULL;
	transfer->fetch->mesh->snapshots_lost++;
	report_transfer(transfer, why);
}

/* The sender's copy was current, up to what it sent, when this began. */
static void confirm_snapshot(const mesh_transfer_t *transfer,
			     const httpc_t *conn)
{
	const mesh_fetch_t *fetch = transfer->fetch;
	const char *text = head_get(&conn->head, SNAPSHOT_AGE_FIELD);
	pimento_usec_t age = text ? strtoll(text, NULL, 10) * PIMENTO_MSEC : 0;

	if (age > 0)
		replica_confirm(&fetch->mesh->mirrors[fetch->kind], 0,
				transfer->progress.started - age);
}

static void take_snapshot(mesh_transfer_t *transfer, const httpc_t *conn)
{
	mesh_fetch_t *fetch = transfer->fetch;
	replica_t *replica = &fetch->mesh->mirrors[fetch->kind];
	uint64_t before = replica->revision;
	int result =
		snapshot_apply(replica, (const uint8_t *)transfer->body.bytes,
			       transfer->body.length);

	if (result >= 0)
		confirm_snapshot(transfer, conn);
	if (result >= 0 && replica->revision == before)
		return; /* the copy was updated during the transfer */
	if (result >= 0)
		fetch->mesh->snapshots_in++;
	trail(TRAIL_STATE, "mesh", "snapshot",
	      "collection=%s revision=%llu before=%llu records=%d error=%s",
	      replica_kind_name(fetch->kind),
	      (unsigned long long)replica->revision, (unsigned long long)before,
	      result < 0 ? 0 : result,
	      result < 0 ? pimento_strerror(result) : "-");
}

static void on_opened(httpc_t *conn)
{
	mesh_transfer_t *transfer = conn->user;
	const mesh_fetch_t *fetch = transfer->fetch;
	const replica_t *replica = &fetch->mesh->mirrors[fetch->kind];
	char head[128];
	int length = snprintf(head, sizeof(head),
			      "GET " SNAPSHOT_PATH "%s/%llu HTTP/1.1\r\n"
			      "Host: peer\r\nConnection: close\r\n\r\n",
			      replica_kind_path(fetch->kind),
			      (unsigned long long)replica->revision);

	transfer->connected = true;
	if (!httpc_ask(conn, head, (size_t)length, "", 0, false)) {
		transfer_failed(transfer, "not_sent");
		httpc_close(conn);
	}
}

static bool on_head(httpc_t *conn)
{
	(void)conn;
	return true;
}

/* One transfer has begun: the others would only fill the links. */
static void end_others(mesh_transfer_t *transfer)
{
	mesh_fetch_t *fetch = transfer->fetch;

	for (int i = 0; i < MESH_TRANSFERS_MAX; i++) {
		mesh_transfer_t *other = &fetch->transfers[i];

		if (other == transfer || !other->conn || other->body.length)
			continue;
		httpc_close(other->conn);
		other->conn = NULL;
		report_transfer(other, "overtaken");
	}
}

static void on_body(httpc_t *conn, const char *bytes, size_t length)
{
	mesh_transfer_t *transfer = conn->user;

	if (transfer->body.length + length > SNAPSHOT_BYTES_MAX)
		return; /* stalls, and is aborted */
	if (!transfer->body.length)
		end_others(transfer);
	progress_add_bytes(&transfer->progress, length, sys_now());
	strbuf_add(&transfer->body, bytes, length);
}

static void on_end(httpc_t *conn)
{
	mesh_transfer_t *transfer = conn->user;
	bool complete = conn->status == HTTP_STATUS_OK;

	transfer->conn = NULL;
	report_transfer(transfer, complete ? "complete" : "bad_status");
	if (complete && !strbuf_error(&transfer->body))
		take_snapshot(transfer, conn);
	strbuf_finish(&transfer->body);
	strbuf_init(&transfer->body);
	if (conn->reusable)
		httpc_close(conn);
}

static void on_failed(httpc_t *conn, httpc_failure_t why)
{
	transfer_failed(conn->user, httpc_failure_name(why));
}

static void on_lapsed(httpc_t *conn)
{
	(void)conn; /* none is kept */
}

static const httpc_ops_t snapshots = {
	.opened = on_opened,
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
	.lapsed = on_lapsed,
};

/* The next peer in turn that holds newer records; NULL if there is none. */
static const peer_t *newer_peer(mesh_fetch_t *fetch, pimento_usec_t now)
{
	const peers_t *roster = fetch->mesh->roster;
	uint64_t revision = fetch->mesh->mirrors[fetch->kind].revision;

	for (uint32_t i = 0; i < roster->count; i++) {
		const peer_t *peer =
			roster->list[fetch->turn++ % roster->count];

		if (peers_has_current_report(peer, now) &&
		    peer->revisions[fetch->kind] > revision)
			return peer;
	}
	return NULL;
}

static void begin_transfer(mesh_transfer_t *transfer, const peer_t *peer,
			   pimento_usec_t now)
{
	mesh_t *mesh = transfer->fetch->mesh;
	net_address_t address = { peer->address, mesh->peer_port };

	transfer->body.length = 0;
	transfer->connected = false;
	transfer->peer = peer->address;
	progress_begin(&transfer->progress, now);
	transfer->conn = httpc_open(mesh->loop, &address, &snapshots);
	if (transfer->conn)
		transfer->conn->user = transfer;
}

static void abort_stalled(mesh_fetch_t *fetch, pimento_usec_t now)
{
	for (int i = 0; i < MESH_TRANSFERS_MAX; i++) {
		mesh_transfer_t *transfer = &fetch->transfers[i];

		if (!transfer->conn ||
		    !progress_stalled(&transfer->progress, TRANSFER_IDLE_MAX,
				      now))
			continue;
		httpc_close(transfer->conn);
		transfer_failed(transfer, "timeout");
	}
}

/*
 * A transfer for another peer; NULL if all are under way, or one of them began,
 * or received a byte, only just now.
 */
static mesh_transfer_t *next_transfer(mesh_fetch_t *fetch, pimento_usec_t now)
{
	mesh_transfer_t *unused = NULL;

	for (int i = 0; i < MESH_TRANSFERS_MAX; i++) {
		mesh_transfer_t *transfer = &fetch->transfers[i];

		if (!transfer->conn)
			unused = transfer;
		else if (now - transfer->progress.last_received <
			 TRANSFER_STAGGER)
			return NULL;
	}
	return unused;
}

void fetch_tick(mesh_fetch_t *fetch, pimento_usec_t now)
{
	const replica_t *replica = &fetch->mesh->mirrors[fetch->kind];
	mesh_transfer_t *transfer;
	const peer_t *peer;

	abort_stalled(fetch, now);
	transfer = next_transfer(fetch, now);
	if (!transfer)
		return;
	if (!fetch->behind_since)
		fetch->turn = (uint32_t)sys_random(); /* spreads the load */
	peer = newer_peer(fetch, now);
	if (!peer) {
		fetch->behind_since = 0;
		return;
	}
	if (!fetch->behind_since)
		fetch->behind_since = now;
	if (now - fetch->behind_since >= BEHIND_MOST || !fetch->mesh->reader ||
	    replica->confirmed_at == REPLICA_NEVER)
		begin_transfer(transfer, peer, now);
}

void fetch_init(mesh_fetch_t *fetch, struct mesh *mesh, replica_kind_t kind)
{
	*fetch = (mesh_fetch_t){ .mesh = mesh, .kind = kind };
	for (int i = 0; i < MESH_TRANSFERS_MAX; i++) {
		fetch->transfers[i].fetch = fetch;
		strbuf_init(&fetch->transfers[i].body);
	}
}

void fetch_finish(mesh_fetch_t *fetch)
{
	for (int i = 0; i < MESH_TRANSFERS_MAX; i++) {
		if (fetch->transfers[i].conn)
			httpc_close(fetch->transfers[i].conn);
		strbuf_finish(&fetch->transfers[i].body);
	}
}
