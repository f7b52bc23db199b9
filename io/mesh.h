#ifndef MESH_H
#define MESH_H

/*
 * How entry hosts talk to each other: short notes by datagram several times a
 * second, and snapshots of each collection of published records by HTTP when
 * one finds that another holds newer records. The protocol is ours;
 * src/peer.proto describes it.
 */

#include "fetch.h"
#include "httpd.h"
#include "slots.h"
#include "tunnel.h"

#include "../src/quota_fleet.h"
#include "../src/registry.h"
#include "../src/replica.h"
#include "../src/peers.h"

/* Hosts that died longer ago do not count as out of reach in what is shown. */
#define MESH_LOST_LATELY (20 * PIMENTO_SEC)

typedef struct mesh {
	httpd_ops_t peers; /* first: the server calls these */
	struct ev_loop *loop;
	httpd_t server; /* of snapshots and of the metrics page */
	ev_io datagrams;
	uint32_t self;
	uint16_t note_port;
	uint16_t peer_port;
	uint64_t incarnation;
	pimento_id_t datacentre; /* of this host, hash of its name */
	tunnels_t tunnels; /* for peers */
	peers_t *roster;
	replica_t *mirrors; /* indexed by replica_kind_t */
	registry_t *registry;
	quota_fleet_t *quota;
	quarantine_t *quarantines; /* QUARANTINE_KINDS */
	slots_t *slots;
	mesh_fetch_t fetches[REPLICA_KIND_COUNT];
	bool reader; /* this host reads the store with success; set by others */
	uint64_t changes_logged; /* of the roster */
	pimento_usec_t members_logged_at;
	bool isolation_logged;
	uint64_t notes_in; /* counters */
	uint64_t notes_out;
	uint64_t note_bytes_out;
	double note_credit; /* bytes of notes that may be sent */
	pimento_usec_t note_credit_at;
	uint64_t snapshots_in;
	uint64_t snapshots_lost; /* fetches without a complete response */
	uint64_t snapshot_bytes_in; /* body bytes, failed fetches included */
	uint64_t snapshot_bytes_out; /* body bytes passed to httpd */
	/* Writes the metrics page; context is the caller's. */
	void (*write_metrics)(void *context, strbuf_t *text);
	void *metrics_context;
	/* Receives messages about trials; context is the caller's. */
	void (*trial_received)(void *context, const packet_trial_t *trial);
	void (*demand_received)(void *context, const demand_report_t *report);
	void *handler_context;
} mesh_t;

typedef struct mesh_setup {
	struct ev_loop *loop;
	net_address_t listen; /* of peers */
	uint16_t note_port; /* the same on all hosts */
	const char *datacentre;
	uint32_t tunnels_max; /* for peers; each takes two descriptors */
	peers_t *roster;
	replica_t *mirrors; /* indexed by replica_kind_t */
	registry_t *registry;
	quota_fleet_t *quota;
	quarantine_t *quarantines; /* QUARANTINE_KINDS */
	slots_t *slots; /* is given the mesh's socket and port */
} mesh_setup_t;

/* Returns 0, or PIMENTO_EIO with errno set. */
int mesh_init(mesh_t *mesh, const mesh_setup_t *setup);
void mesh_finish(mesh_t *mesh);

/* "10.1.0.25:8229"; what is no address is passed over. */
void mesh_add_seed(mesh_t *mesh, const char *text, pimento_usec_t now);

/* Sends probes and asks that are due; call some 20 times a second. */
void mesh_probe(mesh_t *mesh, pimento_usec_t now);

/* Sends another host a packet, which may be lost. */
void mesh_send(mesh_t *mesh, uint32_t address, const packet_t *packet);

/* Sends notes, and fetches what this host lacks; call ten times a second. */
void mesh_tick(mesh_t *mesh, pimento_usec_t now);

#endif
