#ifndef PEERS_H
#define PEERS_H

/*
 * The entry hosts that this one knows. Who lives is told by the membership
 * protocol (member.h), so that all hosts hold the same of each other whatever
 * their number; what each last reported of itself comes with its own notes,
 * which grow rarer as the fleet grows. Hosts find each other through seeds;
 * nothing is published. A peers is advice: nothing here gives leave to run
 * anything.
 */

#include "quota.h"
#include "registry.h"
#include "membership.h"
#include "replica.h"

/* A message has room for this many; more would not fit one datagram. */
#define GOSSIP_LOADS_MAX 64
#define GOSSIP_QUOTAS_MAX 8
#define GOSSIP_OWNER_REPORTS_MAX 24
/* With more facts on hosts than this a message has room for little else. */
#define GOSSIP_FACTS_NORMAL 16
#define GOSSIP_POLLERS_MAX 10
/*
 * Hosts that read the store. Each change costs a call of each, and the store's
 * rates grow more slowly than the fleet. With eight, a change is missed by all
 * about once in 4,000 if each loses every third answer.
 */
#define PEERS_POLLERS 8

typedef struct peers_endpoint_load {
	uint32_t endpoint; /* low half of its key */
	uint32_t running;
	uint32_t prefill_tokens; /* tokens of prompts without an answer yet */
} peers_endpoint_load_t;

/* What the owner of an endpoint says of it. */
typedef struct gossip_owner_report {
	uint32_t endpoint;
	pimento_usec_t age; /* since the owner reported it */
	registry_report_t report;
} gossip_owner_report_t;

/* A host that reads the platform's store, with success. */
typedef struct gossip_poller {
	uint32_t address;
	pimento_usec_t age; /* since it said so */
} gossip_poller_t;

/* What a message is in the membership protocol. */
typedef enum gossip_probe_kind {
	GOSSIP_NO_PROBE,
	GOSSIP_PROBE,
	GOSSIP_ACK
} gossip_probe_kind_t;

/* State of a host's copy of one collection, as announced in its notes. */
typedef struct gossip_replica {
	uint64_t revision;
	pimento_usec_t age; /* PIMENTO_NEVER: unknown */
} gossip_replica_t;

typedef struct gossip_message {
	uint32_t address; /* IPv4, host byte order */
	uint64_t incarnation;
	pimento_usec_t stamp; /* sender's clock */
	pimento_usec_t echo; /* of the receiver's last stamp; 0 none */
	gossip_replica_t
		replicas[REPLICA_KIND_COUNT]; /* of the sender, by collection */
	gossip_probe_kind_t probe_kind;
	bool reply_wanted; /* the receiver is to answer with a message of its own */
	message_probe_t membership;
	uint32_t load_count;
	uint32_t quota_count;
	uint32_t poller_count;
	uint32_t owner_report_count;
	gossip_owner_report_t owner_reports
		[GOSSIP_OWNER_REPORTS_MAX]; /* the sender's own first */
	peers_endpoint_load_t loads[GOSSIP_LOADS_MAX];
	quota_report_t quotas[GOSSIP_QUOTAS_MAX];
	gossip_poller_t pollers[GOSSIP_POLLERS_MAX];
} gossip_message_t;

typedef struct peer {
	uint32_t address;
	uint64_t incarnation;
	bool seen; /* ever; a seed may not have been */
	bool seed;
	pimento_usec_t last_seen;
	pimento_usec_t added_at;
	pimento_usec_t last_stamp; /* to echo */
	uint64_t revisions[REPLICA_KIND_COUNT];
	uint32_t load_count;
	peers_endpoint_load_t loads[GOSSIP_LOADS_MAX];
} peer_t;

/* A poller, and when it last said so, on this host's clock. */
typedef struct known_poller {
	uint32_t address;
	pimento_usec_t seen_at;
} known_poller_t;

typedef struct peers {
	uint32_t self;
	membership_t membership;
	outbox_t out; /* probes and acks to be sent */
	message_t probe_message; /* the one taken from there */
	peer_t **list;
	uint32_t count;
	known_poller_t pollers[GOSSIP_POLLERS_MAX];
	uint32_t poller_count;
	pimento_usec_t
		first_added_at; /* when the first peer was added; 0 none */
	pimento_usec_t last_added_at; /* when the newest peer was added */
	bool any_peer_seen;
	uint32_t next_turn; /* of those to be written to */
} peers_t;

/*
 * incarnation is random and never used again; random choices follow from it.
 * Returns 0 or PIMENTO_ENOMEM.
 */
int peers_init(peers_t *peers, uint32_t self, uint64_t incarnation);
void peers_finish(peers_t *peers);

/* Adds a host that might exist. Returns 0 or PIMENTO_ENOMEM. */
int peers_add(peers_t *peers, uint32_t address, bool seed, pimento_usec_t now);

/*
 * Takes a message. For each collection, sets its element of confirmed_at to the time, on
 * this host's clock, since which the sender's copy was surely confirmed, or to
 * INT64_MIN. Returns the peer; NULL for a message that is old, from this host
 * itself, or without memory.
 */
peer_t *peers_receive(peers_t *peers, const gossip_message_t *message,
		      pimento_usec_t now,
		      pimento_usec_t confirmed_at[REPLICA_KIND_COUNT]);

/* The next peers in turn; at max max. Returns how many. */
uint32_t peers_next_targets(peers_t *peers, pimento_usec_t now, uint32_t max,
			    peer_t **targets);

/* Probes what is due; call some 20 times a second. */
void peers_tick(peers_t *peers, pimento_usec_t now);

/*
 * The next probe or ack to be sent, as the membership part of a message; call
 * until it returns false, after each tick and each message that was received.
 */
bool peers_next_probe(peers_t *peers, uint32_t *address,
		      gossip_message_t *message);

/* The stamp of a peer's last message, to be echoed; 0 for one not heard. */
pimento_usec_t peers_last_stamp(const peers_t *peers, uint32_t address);

uint64_t peers_incarnation(const peers_t *peers);

/* Fills a message that is no probe with what is known of hosts. */
void peers_put_membership(peers_t *peers, gossip_message_t *message);

/* True if there is more to tell of hosts than a few notes hold. */
bool peers_has_update_backlog(const peers_t *peers);

/* Fills the readers of a message; poller: this host is one. */
void peers_put_pollers(peers_t *peers, bool poller, pimento_usec_t now,
		       gossip_message_t *message);

/* Hosts that share limits, this one included: heard of within a minute. */
uint32_t peers_host_count(const peers_t *peers, pimento_usec_t now);

/*
 * True while a recently started host is still adding peers, so that its host
 * count may be too low.
 */
bool peers_is_discovering(const peers_t *peers, pimento_usec_t now);

/* True if the peer has been heard lately enough to believe its counts. */
bool peers_is_current(const peer_t *peer, pimento_usec_t now);

/* What believed peers have in flight at an endpoint, added up. */
peers_endpoint_load_t peers_endpoint_load(const peers_t *peers,
					  pimento_id_t endpoint,
					  pimento_usec_t now);

/*
 * True if this host is among the first PEERS_POLLERS of those known, in an
 * order that is the same for all hosts.
 */
bool peers_is_default_poller(const peers_t *peers);

/*
 * Whether this host should read the platform's store, now being a poller or
 * not; draw is random. About PEERS_POLLERS hosts do, and pass on what they
 * read; with fewer hosts than that, all.
 */
bool peers_should_poll(const peers_t *peers, bool poller, uint64_t draw,
		       pimento_usec_t now);

/*
 * The host that keeps count of an endpoint's places: the same for all hosts
 * that hold the same of each other. It changes only when a host joins, leaves
 * or is found dead. May be this host.
 */
uint32_t peers_owner(const peers_t *peers, pimento_id_t endpoint);

/* The owner if the former one were dead; this host if there is no other. */
uint32_t peers_successor(const peers_t *peers, pimento_id_t endpoint,
			 uint32_t former);

/* Hosts that live and do not leave, this one included. */
uint32_t peers_live_count(const peers_t *peers);

/*
 * Part of the known hosts that live, (0, 1]: less on each side of a cut. Hosts
 * that died longer ago than span do not count.
 */
double peers_known_live_share(const peers_t *peers, pimento_usec_t span,
			      pimento_usec_t now);

/* Counts up when owners may have changed. */
uint64_t peers_owner_changes(const peers_t *peers);

/* This host leaves: others take over what it owns. */
void peers_leave(peers_t *peers, pimento_usec_t now);

#endif
