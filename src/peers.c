/*
 * How the age of a peer's replica is bounded. A gossip message may have lain in
 * the socket of a host that was frozen; counted from its arrival, the age
 * stated in the message would look seconds lower than it is, and revoked keys
 * would be accepted. So the age counts from the receiver's own stamp that the
 * message echoes: that stamp was surely taken before the message was written.
 */

#include "peers.h"

#include <stdlib.h>
#include <string.h>

/* Reports older than this are ignored; messages come about every 100 ms. */
#define REPORT_MAX_AGE (2500 * PIMENTO_MSEC)
/* A peer that sent no message for this long gets gossip only occasionally. */
#define UNRESPONSIVE_AFTER (5 * PIMENTO_SEC)
/* A peer, other than a seed, that sent no message for this long is removed. */
#define PEER_RETENTION (60 * PIMENTO_SEC)
/*
 * Discovery ends after DISCOVERY_MAX, or after DISCOVERY_IDLE without a new
 * peer.
 */
#define DISCOVERY_MAX (5 * PIMENTO_SEC)
#define DISCOVERY_IDLE (200 * PIMENTO_MSEC)
/* How long a starting host waits for the first message from a peer. */
#define DISCOVERY_FIRST_PEER (500 * PIMENTO_MSEC)
/* A peer that refused or broke a tunnel gets no other for this long. */
#define TUNNEL_AVOIDED_SPAN (500 * PIMENTO_MSEC)
/* Unresponsive peers get gossip in one of this many turns. */
#define UNRESPONSIVE_TURNS 8

/*
 * Hosts that are assumed for each seed, and for this host, while none of them is
 * seen and their number is not stated.
 */
#define HOSTS_PER_SEED 2

/* Time between probes, which also carry facts and replica ages. */
#define PROBE_PERIOD (150 * PIMENTO_MSEC)
/* Probes and acks that can be queued until the outbox is drained. */
#define OUTBOX_CAPACITY 256
/*
 * Configuration revision that a host reports in probes unless it was paused;
 * the same on all hosts.
 */
#define UNPAUSED_REVISION 1

int peers_init(peers_t *peers, uint32_t self, uint64_t incarnation)
{
	const membership_options_t options = { .self = self,
					       .incarnation = incarnation,
					       .seed = incarnation,
					       .probe_period = PROBE_PERIOD,
					       .facts_max = MESSAGE_FACTS_MAX };
	int error;

	memset(peers, 0, sizeof(*peers));
	peers->self = self;
	error = outbox_init(&peers->out, OUTBOX_CAPACITY);
	if (!error)
		error = membership_init(&peers->membership, &options,
					&peers->out);
	peers->membership.config_revision = UNPAUSED_REVISION;
	return error;
}

void peers_finish(peers_t *peers)
{
	for (uint32_t i = 0; i < peers->count; i++)
		free(peers->list[i]);
	free(peers->list);
	membership_finish(&peers->membership);
	outbox_finish(&peers->out);
}

void peers_set_stated_hosts(peers_t *peers, uint32_t hosts)
{
	peers->stated_hosts = hosts;
}

/* Sort key that places neighbouring addresses far apart. */
static uint32_t address_hash(uint32_t address)
{
	return address * 2654435761u;
}

static peer_t *find_peer(const peers_t *peers, uint32_t address)
{
	for (uint32_t i = 0; i < peers->count; i++)
		if (peers->list[i]->address == address)
			return peers->list[i];
	return NULL;
}

static peer_t *add_peer(peers_t *peers, uint32_t address, pimento_usec_t now)
{
	peer_t **grown;
	peer_t *peer;

	grown = realloc(peers->list, (peers->count + 1) * sizeof(peer_t *));
	if (!grown)
		return NULL;
	peers->list = grown;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	peer->address = address;
	peer->added_at = now;
	peers->last_added_at = now;
	if (!peers->first_added_at)
		peers->first_added_at = now;
	grown[peers->count++] = peer;
	return peer;
}

int peers_add(peers_t *peers, uint32_t address, bool seed, pimento_usec_t now)
{
	peer_t *peer = find_peer(peers, address);

	if (address == peers->self)
		return 0;
	if (!peer)
		peer = add_peer(peers, address, now);
	if (!peer)
		return PIMENTO_ENOMEM;
	peer->seed = peer->seed || seed;
	return membership_add_host(&peers->membership, now, address);
}

static void store_loads_and_revisions(peer_t *peer,
				      const gossip_message_t *message)
{
	peer->load_count = message->load_count;
	memcpy(peer->loads, message->loads, sizeof(peer->loads));
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		peer->revisions[kind] = message->replicas[kind].revision;
}

/*
 * Merges the membership facts of a message, also if a later message arrived
 * first.
 */
static int merge_membership(peers_t *peers, const gossip_message_t *message,
			    pimento_usec_t now)
{
	const message_probe_t *reported = &message->membership;
	membership_t *membership = &peers->membership;
	int error = 0;

	for (uint32_t i = 0; i < reported->count && !error; i++) {
		const message_fact_t *fact = &reported->facts[i];

		if (fact->state != HOST_DEAD &&
		    membership_state(membership, fact->subject) == HOST_UNKNOWN)
			error = peers_add(peers, (uint32_t)fact->subject, false,
					  now);
	}
	if (message->probe_kind == GOSSIP_NO_PROBE)
		membership_merge_facts(membership, now, message->address,
				       reported);
	else
		membership_receive_probe(membership, now, message->address,
					 message->probe_kind == GOSSIP_ACK
						 ? MESSAGE_ACK
						 : MESSAGE_PROBE,
					 reported);
	return error;
}

static bool poller_ranks_before(const known_poller_t *a,
				const known_poller_t *b)
{
	return address_hash(a->address) < address_hash(b->address);
}

/* The poller that is replaced first when the poller table is full. */
static known_poller_t *lowest_ranked_poller(peers_t *peers)
{
	known_poller_t *last = &peers->pollers[0];

	for (uint32_t i = 1; i < peers->poller_count; i++)
		if (poller_ranks_before(last, &peers->pollers[i]))
			last = &peers->pollers[i];
	return last;
}

static void add_poller(peers_t *peers, const known_poller_t *poller)
{
	for (uint32_t i = 0; i < peers->poller_count; i++) {
		known_poller_t *known = &peers->pollers[i];

		if (known->address != poller->address)
			continue;
		if (known->seen_at < poller->seen_at)
			known->seen_at = poller->seen_at;
		return;
	}
	if (peers->poller_count < GOSSIP_POLLERS_MAX)
		peers->pollers[peers->poller_count++] = *poller;
	else if (poller_ranks_before(poller, lowest_ranked_poller(peers)))
		*lowest_ranked_poller(peers) = *poller;
}

static void expire_pollers(peers_t *peers, pimento_usec_t now)
{
	for (uint32_t i = peers->poller_count; i-- > 0;)
		if (now - peers->pollers[i].seen_at >= REPORT_MAX_AGE)
			peers->pollers[i] =
				peers->pollers[--peers->poller_count];
}

static void merge_pollers(peers_t *peers, const gossip_message_t *message,
			  pimento_usec_t now)
{
	for (uint32_t i = 0; i < message->poller_count; i++) {
		const gossip_poller_t *reported = &message->pollers[i];
		const known_poller_t poller = { reported->address,
						now - reported->age };

		if (reported->age < REPORT_MAX_AGE &&
		    reported->address != peers->self)
			add_poller(peers, &poller);
	}
	expire_pollers(peers, now);
}

void peers_put_pollers(peers_t *peers, bool poller, pimento_usec_t now,
		       gossip_message_t *message)
{
	expire_pollers(peers, now);
	message->poller_count = 0;
	if (poller)
		message->pollers[message->poller_count++] =
			(gossip_poller_t){ peers->self, 0 };
	for (uint32_t i = 0; i < peers->poller_count &&
			     message->poller_count < GOSSIP_POLLERS_MAX;
	     i++)
		message->pollers[message->poller_count++] = (gossip_poller_t){
			peers->pollers[i].address,
			now - peers->pollers[i].seen_at,
		};
}

static pimento_usec_t replica_confirmed_at(const gossip_message_t *message,
					   const gossip_replica_t *copy,
					   pimento_usec_t now)
{
	if (!message->echo || message->echo > now || copy->age == PIMENTO_NEVER)
		return INT64_MIN;
	return message->echo - copy->age;
}

peer_t *peers_receive(peers_t *peers, const gossip_message_t *message,
		      pimento_usec_t now,
		      pimento_usec_t confirmed_at[REPLICA_KIND_COUNT])
{
	peer_t *peer = find_peer(peers, message->address);

	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		confirmed_at[kind] = INT64_MIN;
	if (message->address == peers->self || !message->address)
		return NULL;
	if (merge_membership(peers, message, now))
		return NULL;
	merge_pollers(peers, message, now);
	if (!peer && !peers_add(peers, message->address, false, now))
		peer = find_peer(peers, message->address);
	if (!peer)
		return NULL;
	if (peer->seen && peer->incarnation == message->incarnation &&
	    message->stamp <= peer->last_stamp)
		return NULL;
	peers->any_peer_seen = true;
	peer->seen = true;
	peer->incarnation = message->incarnation;
	if (message->datacentre)
		peer->datacentre = message->datacentre;
	peer->last_stamp = message->stamp;
	peer->last_seen = now;
	store_loads_and_revisions(peer, message);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		confirmed_at[kind] = replica_confirmed_at(
			message, &message->replicas[kind], now);
	return peer;
}

static bool is_unresponsive(const peer_t *peer, pimento_usec_t now)
{
	return !peer->seen || now - peer->last_seen > UNRESPONSIVE_AFTER;
}

static bool peer_is_expired(const peer_t *peer, pimento_usec_t now)
{
	pimento_usec_t since = peer->seen ? peer->last_seen : peer->added_at;

	return !peer->seed && now - since > PEER_RETENTION;
}

static void expire_peers(peers_t *peers, pimento_usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < peers->count; i++) {
		if (peer_is_expired(peers->list[i], now))
			free(peers->list[i]);
		else
			peers->list[kept++] = peers->list[i];
	}
	peers->count = kept;
}

uint32_t peers_next_targets(peers_t *peers, pimento_usec_t now, uint32_t max,
			    peer_t **targets)
{
	uint32_t found = 0;

	expire_peers(peers, now);
	for (uint32_t i = 0; i < peers->count && found < max; i++) {
		peer_t *peer = peers->list[peers->next_turn++ % peers->count];

		if (is_unresponsive(peer, now) &&
		    peers->next_turn % UNRESPONSIVE_TURNS &&
		    now - peer->added_at > UNRESPONSIVE_AFTER)
			continue;
		targets[found++] = peer;
	}
	return found;
}

void peers_tick(peers_t *peers, pimento_usec_t now)
{
	membership_tick(&peers->membership, now);
}

bool peers_next_probe(peers_t *peers, uint32_t *address,
		      gossip_message_t *message)
{
	pimento_id_t to;

	if (!outbox_take(&peers->out, &to, &peers->probe_message))
		return false;
	*address = (uint32_t)to;
	message->probe_kind = peers->probe_message.kind == MESSAGE_ACK
				      ? GOSSIP_ACK
				      : GOSSIP_PROBE;
	message->membership = peers->probe_message.u.probe;
	return true;
}

pimento_usec_t peers_last_stamp(const peers_t *peers, uint32_t address)
{
	const peer_t *peer = find_peer(peers, address);

	return peer ? peer->last_stamp : 0;
}

uint64_t peers_incarnation(const peers_t *peers)
{
	return peers->membership.options.incarnation;
}

void peers_put_membership(peers_t *peers, gossip_message_t *message)
{
	message->probe_kind = GOSSIP_NO_PROBE;
	message->membership.count = 0;
	membership_put_facts(&peers->membership, &message->membership);
}

static bool is_live_peer(const peers_t *peers, uint32_t address)
{
	host_state_t state = membership_state(&peers->membership, address);

	return state == HOST_LIVE || state == HOST_SUSPECT;
}

bool peers_has_update_backlog(const peers_t *peers)
{
	return peers->membership.pending_updates > GOSSIP_FACTS_NORMAL;
}

uint32_t peers_host_count(const peers_t *peers, pimento_usec_t now)
{
	uint32_t hosts = 1;

	for (uint32_t i = 0; i < peers->count; i++)
		if (peers->list[i]->seed ||
		    now - peers->list[i]->last_seen < PEER_RETENTION ||
		    is_live_peer(peers, peers->list[i]->address))
			hosts++;
	return hosts;
}

bool peers_is_discovering(const peers_t *peers, pimento_usec_t now)
{
	pimento_usec_t elapsed = now - peers->first_added_at;

	return (!peers->any_peer_seen && elapsed < DISCOVERY_FIRST_PEER) ||
	       (elapsed < DISCOVERY_MAX &&
		now - peers->last_added_at < DISCOVERY_IDLE);
}

bool peers_has_current_report(const peer_t *peer, pimento_usec_t now)
{
	return peer->seen && now - peer->last_seen < REPORT_MAX_AGE;
}

bool peers_is_default_poller(const peers_t *peers)
{
	uint32_t before = 0;

	for (uint32_t i = 0; i < peers->count; i++)
		if (address_hash(peers->list[i]->address) <
		    address_hash(peers->self))
			before++;
	return before < PEERS_POLLERS;
}

/*
 * Returns the number of hosts known to have polled the platform within
 * REPORT_MAX_AGE, and stores in *first how many of them precede this host in
 * the order of the hashes of their addresses.
 */
static uint32_t count_pollers(const peers_t *peers, pimento_usec_t now,
			      uint32_t *first)
{
	uint32_t pollers = 0;

	*first = 0;
	for (uint32_t i = 0; i < peers->poller_count; i++) {
		const known_poller_t *poller = &peers->pollers[i];

		if (now - poller->seen_at >= REPORT_MAX_AGE)
			continue;
		pollers++;
		if (address_hash(poller->address) < address_hash(peers->self))
			(*first)++;
	}
	return pollers;
}

bool peers_should_poll(const peers_t *peers, bool poller, uint64_t draw,
		       pimento_usec_t now)
{
	uint32_t first;
	uint32_t pollers = count_pollers(peers, now, &first);

	if (poller)
		return first < PEERS_POLLERS;
	/*
	 * About one of the other hosts starts to poll for each missing poller.
	 */
	if (pollers >= PEERS_POLLERS)
		return false;
	return draw % peers_host_count(peers, now) < PEERS_POLLERS - pollers;
}

uint32_t peers_owner(const peers_t *peers, pimento_id_t endpoint)
{
	pimento_id_t owner = membership_owner(&peers->membership, endpoint);

	return owner ? (uint32_t)owner : peers->self;
}

uint32_t peers_successor(const peers_t *peers, pimento_id_t endpoint,
			 uint32_t former)
{
	pimento_id_t owner =
		membership_successor(&peers->membership, endpoint, former);

	return owner ? (uint32_t)owner : peers->self;
}

bool peers_is_known(const peers_t *peers, uint32_t address)
{
	return find_peer(peers, address) != NULL;
}

bool peers_is_dead(const peers_t *peers, uint32_t address)
{
	return membership_state(&peers->membership, address) == HOST_DEAD;
}

uint32_t peers_live_count(const peers_t *peers)
{
	return membership_live_hosts(&peers->membership, NULL, 0);
}

bool peers_is_isolated(const peers_t *peers)
{
	return peers->count && !peers->any_peer_seen;
}

static uint32_t count_seeds(const peers_t *peers)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < peers->count; i++)
		count += peers->list[i]->seed;
	return count;
}

/* Hosts that an isolated host takes for alive. */
static uint32_t assumed_count(const peers_t *peers)
{
	if (peers->stated_hosts)
		return peers->stated_hosts;
	return HOSTS_PER_SEED * (1 + count_seeds(peers));
}

uint32_t peers_sharing_count(const peers_t *peers, pimento_usec_t now)
{
	return peers_is_isolated(peers) ? assumed_count(peers)
					: peers_host_count(peers, now);
}

double peers_known_live_share(const peers_t *peers, pimento_usec_t span,
			      pimento_usec_t now)
{
	if (peers_is_isolated(peers))
		return 1.0 / assumed_count(peers);
	return membership_known_live_share(&peers->membership, span, now);
}

uint64_t peers_owner_changes(const peers_t *peers)
{
	return peers->membership.owner_changes;
}

void peers_leave(peers_t *peers, pimento_usec_t now)
{
	membership_leave(&peers->membership, now);
}

peers_endpoint_load_t peers_endpoint_load(const peers_t *peers,
					  pimento_id_t endpoint,
					  pimento_usec_t now)
{
	peers_endpoint_load_t sum = { .endpoint = (uint32_t)endpoint };

	for (uint32_t i = 0; i < peers->count; i++) {
		const peer_t *peer = peers->list[i];

		if (!peers_has_current_report(peer, now))
			continue;
		for (uint32_t j = 0; j < peer->load_count; j++) {
			if (peer->loads[j].endpoint != sum.endpoint)
				continue;
			sum.running += peer->loads[j].running;
			sum.prefill_tokens += peer->loads[j].prefill_tokens;
		}
	}
	return sum;
}

static bool is_usable(const peers_t *peers, const peer_t *peer,
		      pimento_usec_t now)
{
	return peer->seen && peer->tunnel_avoided_until <= now &&
	       is_live_peer(peers, peer->address);
}

bool peers_may_tunnel(const peers_t *peers, uint32_t address,
		      pimento_usec_t now)
{
	const peer_t *peer = find_peer(peers, address);

	return peer && is_usable(peers, peer, now);
}

static bool may_tunnel(const peers_t *peers, const peer_t *peer,
		       const peers_tunnel_query_t *query, pimento_usec_t now)
{
	if (!peer->datacentre || !is_usable(peers, peer, now) ||
	    !query->allows(query->context, peer->datacentre))
		return false;
	for (uint32_t i = 0; i < query->avoided_count; i++)
		if (query->avoided[i] == peer->address)
			return false;
	return true;
}

const peer_t *peers_choose_tunnel(const peers_t *peers,
				  const peers_tunnel_query_t *query,
				  pimento_usec_t now)
{
	uint32_t start = peers->count
				 ? (uint32_t)(query->random_bits % peers->count)
				 : 0;
	const peer_t *best = NULL;
	int best_changes = 0;

	for (uint32_t i = 0; i < peers->count; i++) {
		const peer_t *peer = peers->list[(start + i) % peers->count];
		int changes = (peer->datacentre != query->own_datacentre) +
			      (peer->datacentre != query->endpoint_datacentre);

		if (!may_tunnel(peers, peer, query, now))
			continue;
		if (!best || changes < best_changes) {
			best = peer;
			best_changes = changes;
		}
	}
	return best;
}

const peer_t *peers_get_tunnel(const peers_t *peers, uint32_t address,
			       const peers_tunnel_query_t *query,
			       pimento_usec_t now)
{
	const peer_t *peer = find_peer(peers, address);

	return peer && may_tunnel(peers, peer, query, now) ? peer : NULL;
}

void peers_avoid_tunnel(peers_t *peers, uint32_t address, pimento_usec_t now)
{
	peer_t *peer = find_peer(peers, address);

	if (peer)
		peer->tunnel_avoided_until = now + TUNNEL_AVOIDED_SPAN;
}
