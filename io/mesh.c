/*
 * Notes are lost, late or doubled without harm: each holds the sender's whole
 * state, and the roster takes only the newest. Their number a second is bounded
 * by MESH_TARGETS, however many hosts there are; with many, each hears of each
 * less often.
 */

#include "mesh.h"

#include "sys.h"
#include "trail.h"

#include "../src/peer.pb-c.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Peers written to in one tick: 80 notes a second at ten ticks. */
#define MESH_TARGETS 8
#define TICK (100 * PIMENTO_MSEC)
/* Notes read in one turn of the loop. */
#define NOTES_AT_ONCE 64
/*
 * How long a peer may be ahead before its records are fetched: the store's
 * own word is usually on its way.
 */
#define BEHIND_MOST (150 * PIMENTO_MSEC)
#define FETCH_MOST (700 * PIMENTO_MSEC)
/* A snapshot: the largest value of the store, and some. */
#define SNAPSHOT_BYTES_MAX ((size_t)16 * 1024 * 1024)

#define SNAPSHOT_PATH "/snapshot"
#define METRICS_PATH "/metrics"

/* Notes. */

static void add_loads(const mesh_t *mesh, roster_note_t *note)
{
	const directory_t *directory = mesh->directory;

	for (uint32_t i = 0; i < directory->count; i++) {
		const directory_endpoint_t *e = directory->endpoints[i];
		roster_load_t load = { (uint32_t)e->key, e->running,
				       e->reading };

		if (e->running && note->load_count < ROSTER_LOADS_MAX)
			note->loads[note->load_count++] = load;
	}
}

static void send_note(mesh_t *mesh, roster_note_t *note, roster_peer_t *peer)
{
	net_address_t to = { peer->address, mesh->note_port };
	uint8_t bytes[PACKET_BYTES];
	pimento_usec_t now = sys_now();
	packet_t packet = { .kind = PACKET_NOTE };
	int length;

	note->stamp = now;
	note->echo = peer->their_stamp;
	note->age = mirror_age(mesh->mirror, now);
	packet.as.note = *note;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	if (length < 0)
		return;
	/* A note that cannot be sent now is as good as lost on the way. */
	if (!net_send_to(mesh->datagrams.fd, &to, bytes, (size_t)length))
		mesh->notes_out++;
}

static void send_notes(mesh_t *mesh, pimento_usec_t now)
{
	roster_peer_t *targets[MESH_TARGETS];
	roster_note_t note = {
		.address = mesh->self,
		.incarnation = mesh->incarnation,
		.revision = mesh->mirror->revision,
		.reader = mesh->reader,
	};
	uint32_t count;

	add_loads(mesh, &note);
	note.use_count =
		quota_reports(mesh->quota, note.uses, ROSTER_USES_MAX, now);
	slots_say(mesh->slots, &note, now);
	roster_members(mesh->roster, now, &note);
	count = roster_targets(mesh->roster, now, MESH_TARGETS, targets);
	for (uint32_t i = 0; i < count; i++)
		send_note(mesh, &note, targets[i]);
}

static void take_note(mesh_t *mesh, const roster_note_t *note,
		      pimento_usec_t now)
{
	pimento_usec_t fresh;

	mesh->notes_in++;
	if (!roster_receive(mesh->roster, note, now, &fresh))
		return;
	if (fresh != INT64_MIN) {
		mirror_store_answered(mesh->mirror, fresh, now);
		mirror_confirm(mesh->mirror, note->revision, fresh);
	}
	slots_hear(mesh->slots, note, now);
	for (uint32_t i = 0; i < note->use_count; i++)
		if (quota_receive(mesh->quota, note->address, note->incarnation,
				  &note->uses[i], now))
			return; /* no memory; the next note says it again */
}

static void take_packet(mesh_t *mesh, const uint8_t *bytes, size_t length)
{
	pimento_usec_t now = sys_now();
	packet_t packet;

	if (packet_unpack(&packet, bytes, length))
		return;
	if (packet.kind == PACKET_NOTE)
		take_note(mesh, &packet.as.note, now);
	else
		slots_take(mesh->slots, &packet, now);
}

static void on_datagram(struct ev_loop *loop, ev_io *watcher, int events)
{
	mesh_t *mesh = watcher->data;
	uint8_t bytes[PACKET_BYTES];

	(void)loop;
	(void)events;
	for (int i = 0; i < NOTES_AT_ONCE; i++) {
		ssize_t got =
			recv(watcher->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (got < 0)
			return;
		take_packet(mesh, bytes, (size_t)got);
	}
}

/* Serving snapshots. */

static size_t pack_snapshot(const mirror_t *mirror, uint8_t **bytes)
{
	Peer__Snapshot message = PEER__SNAPSHOT__INIT;
	Peer__Record *records = calloc(mirror->count + 1, sizeof(*records));
	Peer__Record **pointers =
		calloc(mirror->count + 1, sizeof(Peer__Record *));
	size_t length = 0;

	message.revision = mirror->revision;
	message.records = pointers;
	for (uint32_t i = 0; records && pointers && i < mirror->count; i++) {
		const mirror_record_t *from = &mirror->records[i];
		Peer__Record *to = &records[message.n_records];

		if (!from->value || from->revision > mirror->revision)
			continue;
		peer__record__init(to);
		to->key = from->key;
		to->value.data = (uint8_t *)from->value;
		to->value.len = from->length;
		to->revision = from->revision;
		pointers[message.n_records++] = to;
	}
	*bytes = malloc(peer__snapshot__get_packed_size(&message) + 1);
	if (*bytes && records && pointers)
		length = peer__snapshot__pack(&message, *bytes);
	free(records);
	free(pointers);
	return length;
}

static void serve_snapshot(mesh_t *mesh, httpd_conn_t *conn)
{
	uint8_t *bytes;
	size_t length;

	if (mesh->mirror->fresh == MIRROR_NEVER) {
		httpd_answer(conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "", "", 0);
		return;
	}
	length = pack_snapshot(mesh->mirror, &bytes);
	mesh->snapshot_bytes_out += length;
	httpd_answer(conn,
		     length ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE,
		     "Content-Type: application/x-protobuf\r\n",
		     (const char *)bytes, length);
	free(bytes);
}

static void serve_metrics(mesh_t *mesh, httpd_conn_t *conn)
{
	text_t text;

	text_init(&text);
	if (mesh->write_metrics)
		mesh->write_metrics(mesh->metrics_context, &text);
	httpd_answer(conn, HTTP_STATUS_OK,
		     "Content-Type: text/plain; version=0.0.4\r\n",
		     text_get(&text), text.length);
	text_finish(&text);
}

static void on_request(httpd_conn_t *conn)
{
	mesh_t *mesh = conn->server->user;
	const char *path = conn->target.bytes;

	if (strcmp(path, SNAPSHOT_PATH) == 0)
		serve_snapshot(mesh, conn);
	else if (strcmp(path, METRICS_PATH) == 0)
		serve_metrics(mesh, conn);
	else
		httpd_answer(conn, HTTP_STATUS_NOT_FOUND, "", "", 0);
}

static void on_gone(httpd_conn_t *conn)
{
	(void)conn; /* answered at once: nothing is pending */
}

/* Fetching a snapshot. */

/* Logs the end of a fetch and adds its body bytes to the counter. */
static void report_fetch(mesh_t *mesh, const char *outcome)
{
	const struct in_addr address = { htonl(mesh->fetch_peer) };
	char peer[INET_ADDRSTRLEN];

	mesh->snapshot_bytes_in += mesh->fetched.length;
	inet_ntop(AF_INET, &address, peer, sizeof(peer));
	trail(TRAIL_STATE, "mesh", "fetch",
	      "peer=%s outcome=%s bytes=%zu ms=%lld", peer, outcome,
	      mesh->fetched.length,
	      (long long)((sys_now() - mesh->fetch_started) / PIMENTO_MSEC));
}

static void fetch_failed(mesh_t *mesh, const char *why)
{
	mesh->fetching = NULL;
	mesh->snapshots_lost++;
	report_fetch(mesh, why);
}

static int put_records(mirror_t *mirror, const Peer__Snapshot *snapshot)
{
	mirror_list_begin(mirror);
	for (size_t i = 0; i < snapshot->n_records; i++) {
		const Peer__Record *record = snapshot->records[i];
		int error = mirror_put(mirror, record->key,
				       (const char *)record->value.data,
				       record->value.len, record->revision);

		if (error) {
			mirror_list_cancel(mirror);
			return error;
		}
	}
	return mirror_list_end(mirror, snapshot->revision);
}

static void take_snapshot(mesh_t *mesh)
{
	uint64_t before = mesh->mirror->revision;
	Peer__Snapshot *snapshot =
		peer__snapshot__unpack(NULL, mesh->fetched.length,
				       (const uint8_t *)mesh->fetched.bytes);

	if (!snapshot)
		return;
	/* The copy may have caught up meanwhile; an older listing would then
	 * look as if what is newer had been removed. */
	if (snapshot->revision > before) {
		int error = put_records(mesh->mirror, snapshot);

		mesh->snapshots_in++;
		trail(TRAIL_STATE, "mesh", "snapshot",
		      "revision=%llu before=%llu records=%zu error=%d",
		      (unsigned long long)snapshot->revision,
		      (unsigned long long)before, snapshot->n_records, error);
	}
	peer__snapshot__free_unpacked(snapshot, NULL);
}

static void on_opened(httpc_t *conn)
{
	static const char head[] =
		"GET " SNAPSHOT_PATH " HTTP/1.1\r\nHost: peer\r\n"
		"Connection: close\r\n\r\n";

	if (!httpc_ask(conn, head, sizeof(head) - 1, "", 0, false)) {
		fetch_failed(conn->user, "not_sent");
		httpc_close(conn);
	}
}

static bool on_head(httpc_t *conn)
{
	(void)conn;
	return true;
}

static void on_body(httpc_t *conn, const char *bytes, size_t length)
{
	mesh_t *mesh = conn->user;

	if (mesh->fetched.length + length <= SNAPSHOT_BYTES_MAX)
		text_add_bytes(&mesh->fetched, bytes, length);
}

static void on_end(httpc_t *conn)
{
	mesh_t *mesh = conn->user;

	mesh->fetching = NULL;
	report_fetch(mesh, conn->status == HTTP_STATUS_OK ? "complete"
							  : "bad_status");
	if (conn->status == HTTP_STATUS_OK && !text_error(&mesh->fetched))
		take_snapshot(mesh);
	text_finish(&mesh->fetched);
	text_init(&mesh->fetched);
	if (conn->reusable)
		httpc_close(conn);
}

static void on_failed(httpc_t *conn, httpc_failure_t why)
{
	fetch_failed(conn->user, httpc_failure_name(why));
}

static void on_lapsed(httpc_t *conn)
{
	(void)conn; /* none is kept */
}

/* A peer that holds newer records, by chance; NULL if there is none. */
static roster_peer_t *newer_peer(mesh_t *mesh, pimento_usec_t now)
{
	roster_t *roster = mesh->roster;
	uint32_t start = roster->count ? (uint32_t)sys_random() : 0;

	for (uint32_t i = 0; i < roster->count; i++) {
		roster_peer_t *peer =
			roster->peers[(start + i) % roster->count];

		if (roster_believed(peer, now) &&
		    peer->revision > mesh->mirror->revision)
			return peer;
	}
	return NULL;
}

static void fetch(mesh_t *mesh, const roster_peer_t *peer)
{
	net_address_t address = { peer->address, mesh->peer_port };

	mesh->fetched.length = 0;
	mesh->fetch_peer = peer->address;
	mesh->fetch_started = sys_now();
	mesh->fetching = httpc_open(mesh->loop, &address, &mesh->snapshots);
	if (mesh->fetching)
		mesh->fetching->user = mesh;
}

static void catch_up(mesh_t *mesh, pimento_usec_t now)
{
	roster_peer_t *peer;

	if (mesh->fetching) {
		if (now - mesh->fetching->since < FETCH_MOST)
			return;
		httpc_close(mesh->fetching);
		fetch_failed(mesh, "timeout");
	}
	peer = newer_peer(mesh, now);
	if (!peer) {
		mesh->behind_since = 0;
		return;
	}
	if (!mesh->behind_since)
		mesh->behind_since = now;
	if (now - mesh->behind_since >= BEHIND_MOST ||
	    mesh->mirror->fresh == MIRROR_NEVER)
		fetch(mesh, peer);
}

void mesh_tick(mesh_t *mesh, pimento_usec_t now)
{
	mesh->quota->hear_every =
		TICK * (1 + mesh->roster->count / MESH_TARGETS);
	mesh->quota->hosts = roster_hosts(mesh->roster, now);
	slots_tick(mesh->slots, now);
	send_notes(mesh, now);
	catch_up(mesh, now);
	httpd_sweep(&mesh->server, now);
}

void mesh_add_seed(mesh_t *mesh, const char *text, pimento_usec_t now)
{
	net_address_t address;

	if (net_parse(text, &address) ||
	    roster_add(mesh->roster, address.ip, true, now))
		trail(TRAIL_STATE, "mesh", "bad_seed", "seed=%s", text);
}

int mesh_init(mesh_t *mesh, const mesh_setup_t *setup)
{
	const httpd_limits_t limits = {
		.head_bytes = 4096,
		.body_bytes = 0,
		.head_timeout = 2 * PIMENTO_SEC,
		.idle_timeout = 10 * PIMENTO_SEC,
		.connections = 256,
	};
	net_address_t notes = { setup->listen.ip, setup->note_port };
	int fd;
	int error;

	memset(mesh, 0, sizeof(*mesh));
	mesh->peers = (httpd_ops_t){ .request = on_request, .gone = on_gone };
	mesh->snapshots = (httpc_ops_t){
		.opened = on_opened,
		.head = on_head,
		.body = on_body,
		.end = on_end,
		.failed = on_failed,
		.lapsed = on_lapsed,
	};
	mesh->loop = setup->loop;
	mesh->self = setup->listen.ip;
	mesh->note_port = setup->note_port;
	mesh->peer_port = setup->listen.port;
	mesh->incarnation = sys_random();
	mesh->roster = setup->roster;
	mesh->mirror = setup->mirror;
	mesh->directory = setup->directory;
	mesh->quota = setup->quota;
	mesh->slots = setup->slots;
	text_init(&mesh->fetched);
	fd = net_datagram(&notes);
	if (fd < 0)
		return fd;
	mesh->slots->fd = fd;
	mesh->slots->port = setup->note_port;
	ev_io_init(&mesh->datagrams, on_datagram, fd, EV_READ);
	mesh->datagrams.data = mesh;
	ev_io_start(mesh->loop, &mesh->datagrams);
	error = httpd_init(&mesh->server, mesh->loop, &setup->listen,
			   &mesh->peers, &limits);
	mesh->server.user = mesh;
	return error;
}

void mesh_finish(mesh_t *mesh)
{
	ev_io_stop(mesh->loop, &mesh->datagrams);
	close(mesh->datagrams.fd);
	if (mesh->fetching)
		httpc_close(mesh->fetching);
	httpd_finish(&mesh->server);
	text_finish(&mesh->fetched);
}
