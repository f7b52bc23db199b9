/*
 * Notes are lost, late or doubled without harm: each holds the sender's whole
 * state, and the roster takes only the newest. Their bytes a second are bounded
 * by NOTE_BYTES, however many hosts there are; with many, each hears directly
 * of each less often, and what must not grow old is passed on by others.
 */

#include "mesh.h"

#include "statements.h"
#include "sys.h"
#include "trail.h"

#include "../src/snapshot.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Peers written to in one tick, at most, and as far as the bytes reach. */
#define MESH_TARGETS 8
/* Bytes of notes a second, probes and acks included. */
#define NOTE_BYTES (16 * 1024)
/* Saved for when many hosts start or die, and all are to know it soon. */
#define NOTE_BYTES_SAVED (128 * 1024)
/* Loads grow too old in a larger fleet; owners count there. */
#define LOADS_HOSTS_MAX 64
/* Notes read in one turn of the loop. */
#define NOTES_AT_ONCE 64
/* Longer than hosts that start together take to find each other. */
#define ISOLATION_LOGGED (5 * PIMENTO_SEC)
#define METRICS_PATH "/metrics"

/* Notes. */

static void add_loads(const mesh_t *mesh, gossip_message_t *note)
{
	const registry_t *registry = mesh->registry;

	if (mesh->roster->count > LOADS_HOSTS_MAX)
		return;
	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];
		peers_endpoint_load_t load = { (uint32_t)e->key, e->running,
					       e->pending_prompt_tokens };

		if (e->running && note->load_count < GOSSIP_LOADS_MAX)
			note->loads[note->load_count++] = load;
	}
}

/* Parts may be many: they get what room the other kinds leave. */
static void add_evidence(mesh_t *mesh, gossip_message_t *note,
			 pimento_usec_t now)
{
	static const struct {
		quarantine_kind_t kind;
		uint32_t most; /* with those before */
	} shares[] = {
		{ QUARANTINE_REQUESTS, GOSSIP_EVIDENCE_MAX / 4 },
		{ QUARANTINE_LATE_PARTS, GOSSIP_EVIDENCE_MAX / 2 },
		{ QUARANTINE_PARTS, GOSSIP_EVIDENCE_MAX },
	};
	uint32_t count = 0;

	for (int i = 0; i < QUARANTINE_KINDS; i++)
		count += quarantine_report(&mesh->quarantines[shares[i].kind],
					   note->evidence + count,
					   shares[i].most - count, now);
	for (uint32_t i = 0; i < count; i++)
		quarantine_shift(&note->evidence[i], -now);
	note->evidence_count = count;
}

/* What each note says beside membership; who is written to follows. */
static void write_note(mesh_t *mesh, gossip_message_t *note, pimento_usec_t now)
{
	note->address = mesh->self;
	note->incarnation = mesh->incarnation;
	note->datacentre = mesh->datacentre;
	note->load_count = 0;
	note->owner_report_count = 0;
	note->quota_count = 0;
	statements_report(mesh->slots, note, now);
	add_evidence(mesh, note, now);
	peers_put_pollers(mesh->roster, mesh->reader, now, note);
	if (note->membership.count > GOSSIP_FACTS_NORMAL)
		return; /* after many hosts started, they come first */
	add_loads(mesh, note);
	note->quota_count = quota_collect_reports(
		&mesh->quota->owned, note->quotas, GOSSIP_QUOTAS_MAX, now);
	slots_say(mesh->slots, note, now);
}

static void send_note(mesh_t *mesh, gossip_message_t *note, uint32_t address)
{
	net_address_t to = { address, mesh->note_port };
	uint8_t bytes[PACKET_BYTES_MAX];
	pimento_usec_t now = sys_now();
	packet_t packet = { .kind = PACKET_GOSSIP };
	int length;

	note->stamp = now;
	note->echo = peers_last_stamp(mesh->roster, address);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		note->replicas[kind] = (gossip_replica_t){
			mesh->mirrors[kind].revision,
			replica_age(&mesh->mirrors[kind], now),
		};
	packet.as.gossip = *note;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	if (length < 0)
		return;
	mesh->note_bytes_out += (uint64_t)length;
	mesh->note_credit -= length;
	/* A note that cannot be sent now is as good as lost on the way. */
	if (!net_send_to(mesh->datagrams.fd, &to, bytes, (size_t)length))
		mesh->notes_out++;
}

static void fill_credit(mesh_t *mesh, pimento_usec_t now)
{
	double passed =
		(double)(now - mesh->note_credit_at) / (double)PIMENTO_SEC;

	mesh->note_credit += passed * NOTE_BYTES;
	if (mesh->note_credit > NOTE_BYTES_SAVED)
		mesh->note_credit = NOTE_BYTES_SAVED;
	mesh->note_credit_at = now;
}

static bool may_send(mesh_t *mesh, pimento_usec_t now)
{
	double kept = peers_has_update_backlog(mesh->roster)
			      ? 0
			      : NOTE_BYTES_SAVED - NOTE_BYTES;

	fill_credit(mesh, now);
	return mesh->note_credit > kept;
}

static void send_notes(mesh_t *mesh, pimento_usec_t now)
{
	peer_t *targets[MESH_TARGETS];
	gossip_message_t note = { 0 };
	uint32_t count;

	if (!may_send(mesh, now))
		return;
	peers_put_membership(mesh->roster, &note);
	write_note(mesh, &note, now);
	/* an age counts only in an answer: it echoes a stamp that is young */
	note.reply_wanted = true;
	count = peers_next_targets(mesh->roster, now, MESH_TARGETS, targets);
	for (uint32_t i = 0; i < count && may_send(mesh, now); i++)
		send_note(mesh, &note, targets[i]->address);
}

/* Sends the probes and acks that are due. */
static void send_probes(mesh_t *mesh, pimento_usec_t now)
{
	gossip_message_t note = { 0 };
	uint32_t address;

	while (peers_next_probe(mesh->roster, &address, &note)) {
		write_note(mesh, &note, now);
		send_note(mesh, &note, address);
	}
}

static void answer_pull(mesh_t *mesh, uint32_t address, pimento_usec_t now)
{
	gossip_message_t note = { 0 };

	if (!may_send(mesh, now))
		return;
	peers_put_membership(mesh->roster, &note);
	write_note(mesh, &note, now);
	send_note(mesh, &note, address);
}

static void take_note(mesh_t *mesh, const gossip_message_t *note,
		      pimento_usec_t now)
{
	pimento_usec_t fresh[REPLICA_KIND_COUNT];

	mesh->notes_in++;
	if (!peers_receive(mesh->roster, note, now, fresh))
		return;
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++) {
		if (fresh[kind] == INT64_MIN)
			continue;
		replica_store_answered(&mesh->mirrors[kind], fresh[kind], now);
		replica_confirm(&mesh->mirrors[kind],
				note->replicas[kind].revision, fresh[kind]);
	}
	statements_receive(mesh->slots, note, now);
	slots_hear(mesh->slots, note, now);
	for (uint32_t i = 0; i < note->evidence_count; i++) {
		quarantine_evidence_t evidence = note->evidence[i];

		quarantine_shift(&evidence, now);
		quarantine_merge(&mesh->quarantines[evidence.kind], &evidence,
				 now);
	}
	for (uint32_t i = 0; i < note->quota_count; i++)
		quota_apply_report(&mesh->quota->owned, note->quotas[i].account,
				   note->quotas[i].level,
				   now - note->quotas[i].age);
	if (note->reply_wanted)
		answer_pull(mesh, note->address, now);
}

static void take_packet(mesh_t *mesh, uint32_t from, const uint8_t *bytes,
			size_t length)
{
	pimento_usec_t now = sys_now();
	packet_t packet;

	if (packet_unpack(&packet, bytes, length))
		return;
	switch (packet.kind) {
	case PACKET_GOSSIP:
		/* these can have callers refused: from their sender only */
		if (packet.as.gossip.address != from) {
			packet.as.gossip.evidence_count = 0;
			packet.as.gossip.rate_limit_count = 0;
			packet.as.gossip.departure_count = 0;
		}
		take_note(mesh, &packet.as.gossip, now);
		break;
	case PACKET_QUOTA:
		quota_fleet_receive(mesh->quota, &packet.as.quota, now);
		break;
	case PACKET_TRIAL:
		if (packet.as.trial.address == from &&
		    peers_is_known(mesh->roster, from) && mesh->trial_received)
			mesh->trial_received(mesh->handler_context,
					     &packet.as.trial);
		break;
	case PACKET_DEMAND:
		if (packet.as.demand.address == from &&
		    peers_is_known(mesh->roster, from) && mesh->demand_received)
			mesh->demand_received(mesh->handler_context,
					      &packet.as.demand);
		break;
	case PACKET_RATE_LIMIT:
		if (peers_is_known(mesh->roster, from))
			statements_receive_rate_limit(
				mesh->slots, &packet.as.rate_limit, from, now);
		break;
	case PACKET_DEPARTURE:
		if (peers_is_known(mesh->roster, from))
			statements_receive_departure(
				mesh->slots, &packet.as.departure, from, now);
		break;
	case PACKET_BACKOFF:
		if (peers_is_known(mesh->roster, from))
			statements_receive_backoff(
				mesh->slots, &packet.as.backoff, from, now);
		break;
	default:
		slots_take(mesh->slots, &packet, now);
		break;
	}
}

static void on_datagram(struct ev_loop *loop, ev_io *watcher, int events)
{
	mesh_t *mesh = watcher->data;
	uint8_t bytes[PACKET_BYTES_MAX];
	uint32_t from;

	(void)loop;
	(void)events;
	for (int i = 0; i < NOTES_AT_ONCE; i++) {
		ssize_t got = net_receive_from(watcher->fd, &from, bytes,
					       sizeof(bytes));

		if (got < 0)
			break;
		take_packet(mesh, from, bytes, (size_t)got);
	}
	send_probes(mesh, sys_now());
}

/* Serving snapshots. */

/* Parses "COLLECTION/REVISION"; returns NULL if the collection is unknown. */
static replica_t *mirror_of_path(mesh_t *mesh, const char *path,
				 uint64_t *after)
{
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++) {
		const char *name = replica_kind_path((replica_kind_t)kind);
		size_t length = strlen(name);

		if (strncmp(path, name, length) != 0 || path[length] != '/')
			continue;
		*after = strtoull(path + length + 1, NULL, 10);
		return &mesh->mirrors[kind];
	}
	return NULL;
}

static void serve_snapshot(mesh_t *mesh, httpd_conn_t *conn, const char *path)
{
	uint64_t after;
	replica_t *replica = mirror_of_path(mesh, path, &after);
	char fields[128];
	uint8_t *bytes;
	size_t length;

	if (!replica) {
		httpd_answer(conn, HTTP_STATUS_NOT_FOUND, "", "", 0);
		return;
	}
	if (replica->confirmed_at == REPLICA_NEVER ||
	    snapshot_pack(replica, after, &bytes, &length)) {
		httpd_answer(conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "", "", 0);
		return;
	}
	mesh->snapshot_bytes_out += length;
	snprintf(fields, sizeof(fields),
		 "Content-Type: application/x-protobuf\r\n" SNAPSHOT_AGE_FIELD
		 ": %lld\r\n",
		 (long long)(replica_age(replica, sys_now()) / PIMENTO_MSEC) +
			 1);
	httpd_answer(conn, HTTP_STATUS_OK, fields, (const char *)bytes, length);
	free(bytes);
}

static void serve_metrics(mesh_t *mesh, httpd_conn_t *conn)
{
	strbuf_t text;

	strbuf_init(&text);
	if (mesh->write_metrics)
		mesh->write_metrics(mesh->metrics_context, &text);
	httpd_answer(conn, HTTP_STATUS_OK,
		     "Content-Type: text/plain; version=0.0.4\r\n",
		     strbuf_str(&text), text.length);
	strbuf_finish(&text);
}

static void on_request(httpd_conn_t *conn)
{
	mesh_t *mesh = conn->server->user;
	const char *path = conn->target.bytes;

	if (strncmp(path, SNAPSHOT_PATH, strlen(SNAPSHOT_PATH)) == 0)
		serve_snapshot(mesh, conn, path + strlen(SNAPSHOT_PATH));
	else if (strcmp(path, METRICS_PATH) == 0)
		serve_metrics(mesh, conn);
	else if (strncmp(path, TUNNEL_PATH, strlen(TUNNEL_PATH)) == 0)
		tunnels_serve(&mesh->tunnels, conn, path + strlen(TUNNEL_PATH));
	else
		httpd_answer(conn, HTTP_STATUS_NOT_FOUND, "", "", 0);
}

static void on_gone(httpd_conn_t *conn)
{
	tunnels_asker_gone(conn); /* all else is answered at once */
}

/* One line a second at most, however many hosts come and go. */
static void log_members(mesh_t *mesh, pimento_usec_t now)
{
	uint64_t changes = peers_owner_changes(mesh->roster);

	if (changes == mesh->changes_logged ||
	    now - mesh->members_logged_at < PIMENTO_SEC)
		return;
	trail(TRAIL_STATE, "mesh", "members",
	      "live=%u reachable=%.2f changes=%llu owners_changed=%llu",
	      peers_live_count(mesh->roster),
	      peers_known_live_share(mesh->roster, MESH_LOST_LATELY, now),
	      (unsigned long long)(changes - mesh->changes_logged),
	      (unsigned long long)mesh->slots->owners_changed);
	mesh->changes_logged = changes;
	mesh->members_logged_at = now;
}

/* An isolated host gives out a part of each limit, however long that lasts. */
static void log_isolation(mesh_t *mesh, pimento_usec_t now)
{
	const peers_t *roster = mesh->roster;
	bool isolated = peers_is_isolated(roster) &&
			now - roster->first_added_at > ISOLATION_LOGGED;

	if (isolated == mesh->isolation_logged)
		return;
	mesh->isolation_logged = isolated;
	trail(TRAIL_STATE, "mesh", isolated ? "isolated" : "joined",
	      "seeds=%u hosts=%u share=%.3f up_ms=%lld", roster->count,
	      peers_sharing_count(roster, now),
	      peers_known_live_share(roster, MESH_LOST_LATELY, now),
	      (long long)((now - roster->first_added_at) / PIMENTO_MSEC));
}

void mesh_probe(mesh_t *mesh, pimento_usec_t now)
{
	peers_tick(mesh->roster, now);
	send_probes(mesh, now);
	quota_fleet_tick(mesh->quota, now);
}

void mesh_send(mesh_t *mesh, uint32_t address, const packet_t *packet)
{
	net_address_t to = { address, mesh->note_port };
	uint8_t bytes[PACKET_BYTES_MAX];
	int length = packet_pack(packet, bytes, sizeof(bytes));

	/* What cannot be sent now is as good as lost on the way. */
	if (length > 0)
		(void)net_send_to(mesh->datagrams.fd, &to, bytes,
				  (size_t)length);
}

void mesh_tick(mesh_t *mesh, pimento_usec_t now)
{
	slots_tick(mesh->slots, now);
	log_members(mesh, now);
	log_isolation(mesh, now);
	send_notes(mesh, now);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		fetch_tick(&mesh->fetches[kind], now);
	tunnels_tick(&mesh->tunnels, now);
	httpd_sweep(&mesh->server, now);
}

void mesh_add_seed(mesh_t *mesh, const char *text, pimento_usec_t now)
{
	net_address_t address;

	if (net_parse(text, &address) ||
	    peers_add(mesh->roster, address.ip, true, now))
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
	mesh->loop = setup->loop;
	mesh->self = setup->listen.ip;
	mesh->note_port = setup->note_port;
	mesh->peer_port = setup->listen.port;
	mesh->roster = setup->roster;
	mesh->datacentre = pimento_id(setup->datacentre);
	tunnels_init(&mesh->tunnels, setup->loop, setup->registry,
		     setup->tunnels_max);
	mesh->incarnation = peers_incarnation(setup->roster);
	mesh->mirrors = setup->mirrors;
	mesh->registry = setup->registry;
	mesh->quota = setup->quota;
	mesh->quarantines = setup->quarantines;
	mesh->slots = setup->slots;
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		fetch_init(&mesh->fetches[kind], mesh, (replica_kind_t)kind);
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
	mesh->server.takes_upgrades = true;
	return error;
}

void mesh_finish(mesh_t *mesh)
{
	ev_io_stop(mesh->loop, &mesh->datagrams);
	close(mesh->datagrams.fd);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		fetch_finish(&mesh->fetches[kind]);
	tunnels_finish(&mesh->tunnels);
	httpd_finish(&mesh->server);
}
