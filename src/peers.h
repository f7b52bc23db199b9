#ifndef PEERS_H
#define PEERS_H

/*
 * Entry hosts known to this host. Which of them are alive is decided by the
 * membership protocol (membership.h), so that all hosts reach the same view
 * whatever their number. What a host last reported about itself comes in its
 * gossip messages, which become rarer as the fleet grows. Hosts find each other
 * through seeds; nothing is published. This state is advisory: nothing here
 * permits running a request.
 */

#include "departures.h"
#include "quarantine.h"
#include "quota.h"
#include "rate_limit.h"
#include "registry.h"
#include "membership.h"
#include "replica.h"

/* Limits per gossip message; more would not fit in one datagram. */
#define GOSSIP_LOADS_MAX 64
#define GOSSIP_QUOTAS_MAX 8
#define GOSSIP_OWNER_REPORTS_MAX 24
/*
 * Membership facts in a gossip message; more would leave little room for
 * anything else.
 */
#define GOSSIP_FACTS_NORMAL 16
#define GOSSIP_POLLERS_MAX 10
#define GOSSIP_EVIDENCE_MAX 8
#define GOSSIP_RATE_LIMITS_MAX 16
#define GOSSIP_DEPARTURES_MAX 16
/*
 * Number of hosts that poll the platform's store. Each change of the store
 * costs one call per poller, and the rate of calls that the store permits grows
 * more slowly than the fleet. With eight pollers, all of them miss a change
 * about once in 4,000 changes if each loses every third answer.
 */
#define PEERS_POLLERS 8

typedef struct peers_endpoint_load {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	uint32_t running;
	/* tokens of prompts whose answer has not begun */
	uint32_t prefill_tokens;
} peers_endpoint_load_t;

/* Report of an endpoint's owner about that endpoint. */
typedef struct gossip_owner_report {
	uint32_t endpoint;
	pimento_usec_t age; /* time since the owner made the report */
	registry_report_t report;
} gossip_owner_report_t;

/* A host that reads the platform's store successfully. */
typedef struct gossip_poller {
	uint32_t address;
	pimento_usec_t age; /* time since the host reported that it polls */
} gossip_poller_t;

/* Role of a gossip message in the membership protocol. */
typedef enum gossip_probe_kind {
	GOSSIP_NO_PROBE,
	GOSSIP_PROBE,
	GOSSIP_ACK
} gossip_probe_kind_t;

/*
 * State of a host's replica of one collection, as announced in its gossip
 * messages.
 */
typedef struct gossip_replica {
	uint64_t revision;
	/* time since the replica was confirmed; PIMENTO_NEVER: unknown */
	pimento_usec_t age;
} gossip_replica_t;

typedef struct gossip_message {
	uint32_t address; /* sender's IPv4 address, host byte order */
	uint64_t incarnation;
	pimento_id_t datacentre; /* sender's, by hash of its name; 0: unknown */
	pimento_usec_t stamp; /* time of sending, on the sender's clock */
	/*
	 * stamp of the last message that the sender received from the receiver;
	 * 0: none
	 */
	pimento_usec_t echo;
	/* sender's replicas, by collection */
	gossip_replica_t replicas[REPLICA_KIND_COUNT];
	gossip_probe_kind_t probe_kind;
	bool reply_wanted; /* the receiver should reply with a gossip message */
	message_probe_t membership;
	uint32_t load_count;
	uint32_t quota_count;
	uint32_t poller_count;
	uint32_t owner_report_count;
	uint32_t evidence_count;
	uint32_t rate_limit_count;
	uint32_t departure_count;
	/* the sender's own reports come first */
	gossip_owner_report_t owner_reports[GOSSIP_OWNER_REPORTS_MAX];
	peers_endpoint_load_t loads[GOSSIP_LOADS_MAX];
	quota_report_t quotas[GOSSIP_QUOTAS_MAX];
	gossip_poller_t pollers[GOSSIP_POLLERS_MAX];
	/* times in it are negative ages */
	quarantine_evidence_t evidence[GOSSIP_EVIDENCE_MAX];
	rate_limit_report_t rate_limits[GOSSIP_RATE_LIMITS_MAX];
	departure_t departures[GOSSIP_DEPARTURES_MAX];
} gossip_message_t;

typedef struct peer {
	uint32_t address;
	uint64_t incarnation;
	bool seen; /* a message has arrived from this peer */
	bool seed;
	pimento_id_t datacentre; /* hash of its name; 0: unknown */
	/* it gets no tunnels until then, as it refused or broke one */
	pimento_usec_t tunnel_avoided_until;
	pimento_usec_t last_seen;
	pimento_usec_t added_at;
	/* stamp of the peer's last message, to be echoed to it */
	pimento_usec_t last_stamp;
	uint64_t revisions[REPLICA_KIND_COUNT];
	uint32_t load_count;
	peers_endpoint_load_t loads[GOSSIP_LOADS_MAX];
} peer_t;

/*
 * A host known to poll the store, and when it last reported so, on this host's
 * clock.
 */
typedef struct known_poller {
	uint32_t address;
	pimento_usec_t seen_at;
} known_poller_t;

typedef struct peers {
	uint32_t self;
	membership_t membership;
	outbox_t out; /* probes and acks waiting to be sent */
	/* buffer for the message last taken from `out` */
	message_t probe_message;
	peer_t **list;
	uint32_t count;
	known_poller_t pollers[GOSSIP_POLLERS_MAX];
	uint32_t poller_count;
	/* when the first peer was added; 0: none yet */
	pimento_usec_t first_added_at;
	pimento_usec_t last_added_at; /* when the newest peer was added */
	bool any_peer_seen;
	uint32_t stated_hosts; /* by the settings; 0: unknown */
	uint32_t next_turn; /* list index of the next gossip target */
} peers_t;

/*
 * incarnation must be random and unique to this process; it also seeds the
 * random choices. Returns 0 or PIMENTO_ENOMEM.
 */
int peers_init(peers_t *peers, uint32_t self, uint64_t incarnation);
void peers_finish(peers_t *peers);

/* How many hosts there are, as the operators state; 0: they don't. */
void peers_set_stated_hosts(peers_t *peers, uint32_t hosts);

/*
 * Adds a host that is known only by its address. Returns 0, PIMENTO_EFULL or
 * PIMENTO_ENOMEM.
 */
int peers_add(peers_t *peers, uint32_t address, bool seed, pimento_usec_t now);

/*
 * Processes a gossip message. For each collection, stores in confirmed_at a
 * lower bound, on this host's clock, of the time when the sender's replica was
 * last confirmed; INT64_MIN if no bound is known. Returns the peer; NULL if the
 * message is outdated or from this host itself, or if memory is exhausted.
 */
peer_t *peers_receive(peers_t *peers, const gossip_message_t *message,
		      pimento_usec_t now,
		      pimento_usec_t confirmed_at[REPLICA_KIND_COUNT]);

/*
 * Stores the next gossip targets in turn, at most `max` of them, and returns
 * their number.
 */
uint32_t peers_next_targets(peers_t *peers, pimento_usec_t now, uint32_t max,
			    peer_t **targets);

/* Queues the probes that are due; to be called about 20 times per second. */
void peers_tick(peers_t *peers, pimento_usec_t now);

/*
 * Takes the next queued probe or ack: its destination, and the membership part
 * of a gossip message. Call it until it returns false, after each tick and each
 * received message.
 */
bool peers_next_probe(peers_t *peers, uint32_t *address,
		      gossip_message_t *message);

/*
 * Stamp of the last message received from a peer, to be echoed; 0 if there was
 * none.
 */
pimento_usec_t peers_last_stamp(const peers_t *peers, uint32_t address);

uint64_t peers_incarnation(const peers_t *peers);

/*
 * Fills a gossip message that is neither probe nor ack with membership facts.
 */
void peers_put_membership(peers_t *peers, gossip_message_t *message);

/*
 * True if more membership updates are pending than a gossip message normally
 * carries.
 */
bool peers_has_update_backlog(const peers_t *peers);

/*
 * Fills the poller list of a gossip message; `poller` states whether this host
 * is a poller.
 */
void peers_put_pollers(peers_t *peers, bool poller, pimento_usec_t now,
		       gossip_message_t *message);

/*
 * Number of hosts that share the limits, this one included: seeds, hosts seen
 * within the last minute, and hosts that membership considers live.
 */
uint32_t peers_host_count(const peers_t *peers, pimento_usec_t now);

/*
 * True while a recently started host is still adding peers, so that its host
 * count may be too low.
 */
bool peers_is_discovering(const peers_t *peers, pimento_usec_t now);

/*
 * True if the peer's last message is recent enough for its load report to
 * count.
 */
bool peers_has_current_report(const peer_t *peer, pimento_usec_t now);

/*
 * Sum of the load that peers with current reports have in flight at an
 * endpoint.
 */
peers_endpoint_load_t peers_endpoint_load(const peers_t *peers,
					  pimento_id_t endpoint,
					  pimento_usec_t now);

/*
 * True if this host is among the first PEERS_POLLERS known hosts, in an order
 * that is the same on all hosts.
 */
bool peers_is_default_poller(const peers_t *peers);

/*
 * Whether this host should poll the platform's store. `poller` states whether
 * it polls at present, and `draw` is a random number. About PEERS_POLLERS hosts
 * poll and pass on what they read; in a smaller fleet all hosts do.
 */
bool peers_should_poll(const peers_t *peers, bool poller, uint64_t draw,
		       pimento_usec_t now);

/*
 * The host that manages an endpoint's slots: the same on all hosts whose
 * membership state agrees. It changes only when a host joins, leaves or is
 * declared dead. May be this host.
 */
uint32_t peers_owner(const peers_t *peers, pimento_id_t endpoint);

/*
 * Owner of an endpoint if the host `former` were dead; this host if there is no
 * other.
 */
uint32_t peers_successor(const peers_t *peers, pimento_id_t endpoint,
			 uint32_t former);

/* What a peer must fulfil that is to pass requests on to an endpoint. */
typedef struct peers_tunnel_query {
	pimento_id_t own_datacentre;
	pimento_id_t endpoint_datacentre;
	const uint32_t *avoided; /* addresses */
	uint32_t avoided_count;
	/* whether the request's body may go to a data centre */
	bool (*allows)(const void *context, pimento_id_t datacentre);
	const void *context;
	uint64_t random_bits;
} peers_tunnel_query_t;

/*
 * Chooses a live peer for a tunnel at random among those with the fewest changes
 * of data centre on the way. Returns NULL if there is none.
 */
const peer_t *peers_choose_tunnel(const peers_t *peers,
				  const peers_tunnel_query_t *query,
				  pimento_usec_t now);
/* The peer of this address, if it fulfils the query; NULL if not. */
const peer_t *peers_get_tunnel(const peers_t *peers, uint32_t address,
			       const peers_tunnel_query_t *query,
			       pimento_usec_t now);
/* True if the peer is live and not to be avoided. */
bool peers_may_tunnel(const peers_t *peers, uint32_t address,
		      pimento_usec_t now);
/* Chooses the peer no more for a while. */
void peers_avoid_tunnel(peers_t *peers, uint32_t address, pimento_usec_t now);

/* True if this host has received from the host, or has it as a seed. */
bool peers_is_known(const peers_t *peers, uint32_t address);

/* True if membership has declared the host dead. */
bool peers_is_dead(const peers_t *peers, uint32_t address);

/*
 * Number of live hosts that are not leaving, this one included unless it is
 * leaving.
 */
uint32_t peers_live_count(const peers_t *peers);

/*
 * True if this host has seeds and no other host has sent it anything since it
 * started. The seeds may be down or stale and any number of others alive, which
 * no passage of time disproves. A host whose seeds name only itself is alone.
 */
bool peers_is_isolated(const peers_t *peers);

/*
 * Number of hosts among which limits are to be shared. For an isolated host what
 * the settings state, or else twice its seeds and itself.
 */
uint32_t peers_sharing_count(const peers_t *peers, pimento_usec_t now);

/*
 * Share of the known hosts that are live, (0, 1]; below 1 on each side of a
 * network partition. Hosts that died longer ago than span do not count. For an
 * isolated host its part among those that share the limits.
 */
double peers_known_live_share(const peers_t *peers, pimento_usec_t span,
			      pimento_usec_t now);

/* Counter that is incremented when endpoint owners may have changed. */
uint64_t peers_owner_changes(const peers_t *peers);

/*
 * Marks this host as leaving, so that other hosts take over the endpoints that
 * it owns.
 */
void peers_leave(peers_t *peers, pimento_usec_t now);

#endif
