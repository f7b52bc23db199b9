#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

/*
 * SWIM membership: the published host list, corrected by failure detection. In
 * each period one host is probed, directly and then through other hosts. Facts
 * (states of hosts and endpoints) are piggybacked on probes and acks, so the
 * cost per host does not grow with the fleet. Leaving is final for an
 * incarnation.
 *
 * Facts about one subject are ordered by version, so that two hosts that have
 * received the same facts, in whatever order, hold the same state. Only the
 * subject raises its version: to refute a suspicion and, after a restart, to
 * supersede facts about its former incarnation that still circulate.
 * Incarnations are random numbers: they do not tell which of two is the later
 * one.
 */

#include "config.h"
#include "message.h"

typedef struct membership_options {
	pimento_id_t self;
	uint64_t incarnation;
	uint64_t seed;
	/* time between probes; 0: MEMBERSHIP_PROBE_PERIOD */
	pimento_usec_t probe_period;
	uint32_t facts_max; /* facts per message; 0: MEMBERSHIP_FACTS_DEFAULT */
} membership_options_t;

#define MEMBERSHIP_PROBE_PERIOD (250 * PIMENTO_MSEC)
#define MEMBERSHIP_MEMBERS_MAX 4096 /* hosts and endpoints together */
#define MEMBERSHIP_RELAYS_MAX 16
#define MEMBERSHIP_FACTS_DEFAULT 16 /* facts per message */

typedef struct member member_t;

/* An indirect probe, sent to target on behalf of origin. */
typedef struct membership_relay {
	/* sequence number of the probe sent to target; 0: entry unused */
	uint64_t sequence;
	uint64_t origin_sequence;
	pimento_id_t origin;
	pimento_id_t target;
} membership_relay_t;

typedef struct membership {
	membership_options_t options;
	outbox_t *out;
	pimento_random_t random;
	member_t *members; /* sorted by id */
	uint32_t count;
	uint32_t capacity;
	/* incremented when endpoint owners may have changed */
	uint64_t owner_changes;
	/* revision of the configuration in force; sent on probes */
	uint64_t config_revision;
	uint64_t hosts_revision;
	/* revision of the last host list applied; 0: none */
	uint64_t published_revision;
	pimento_usec_t last_tick;
	uint32_t pauses; /* process pauses detected */

	pimento_id_t *probe_order; /* hosts to probe, shuffled for each round */
	uint32_t probe_order_count;
	uint32_t probe_order_next;
	uint32_t pending_updates; /* members whose state is still to be sent */
	/* sequence number of the message being filled */
	uint32_t message_number;
	/* member index at which the next message resumes with updates */
	uint32_t update_cursor;
	/*
	 * member index at which the next message resumes with anti-entropy
	 * facts
	 */
	uint32_t anti_entropy_cursor;
	/* host to probe next, out of turn; 0: none */
	pimento_id_t priority_target;

	uint64_t sequence;
	/* sequence number of the probe that awaits its ack; 0: none */
	uint64_t probe_sequence;
	pimento_id_t probe_target;
	pimento_usec_t probe_timeout; /* when to send indirect probes */
	pimento_usec_t next_probe;
	membership_relay_t relays[MEMBERSHIP_RELAYS_MAX];
	uint32_t relay_next;

	bool fresh;
	/*
	 * peers or the platform have answered since the last pause; this host
	 * is fresh again once the reported revisions are in force as well
	 */
	bool confirmed;
	pimento_usec_t resumed_at;
	/* acks with lower numbers answer probes from before the pause */
	uint64_t resume_sequence;
	uint32_t fresh_acks;
	uint32_t stale_acks;
	/* newest revisions that peers reported since the pause */
	uint64_t reported_config_revision;
	uint64_t reported_hosts_revision;
} membership_t;

int membership_init(membership_t *membership,
		    const membership_options_t *options, outbox_t *out);
void membership_finish(membership_t *membership);

/*
 * Applies a published host list. Returns 0, PIMENTO_ESTALE for a list that is
 * not newer than the last one applied, PIMENTO_EFULL or PIMENTO_ENOMEM. A host
 * that is no longer listed stays a member for as long as it answers. A host
 * newly marked as leaving leaves in the incarnation known here, and stays
 * leaving in that incarnation whatever later lists say.
 */
int membership_apply_hostlist(membership_t *membership, pimento_usec_t now,
			      const hostlist_t *list);

/*
 * Adds a host known only from settings or from a message. It is probed, and
 * counts as live once a fact about it has arrived. Returns 0, PIMENTO_EFULL or
 * PIMENTO_ENOMEM.
 */
int membership_add_host(membership_t *membership, pimento_usec_t now,
			pimento_id_t host);

/*
 * Handles MESSAGE_PROBE and MESSAGE_ACK. Returns PIMENTO_EINVAL for messages of
 * other kinds and malformed ones.
 */
int membership_receive(membership_t *membership, pimento_usec_t now,
		       pimento_id_t from, const message_t *message);

/*
 * Like membership_receive(), for a probe or ack that was not received as a
 * message_t.
 */
int membership_receive_probe(membership_t *membership, pimento_usec_t now,
			     pimento_id_t from, message_kind_t kind,
			     const message_probe_t *probe);

/*
 * membership_put_facts() fills a message that is neither probe nor ack with
 * facts, the sender's own first; membership_merge_facts() merges them at the
 * receiver. They spread like the facts on probes.
 */
void membership_put_facts(membership_t *membership, message_probe_t *facts);
int membership_merge_facts(membership_t *membership, pimento_usec_t now,
			   pimento_id_t from, const message_probe_t *facts);

/*
 * To be called for every message from a host: any message shows that the host
 * is alive.
 */
void membership_host_seen(membership_t *membership, pimento_usec_t now,
			  pimento_id_t from);

/* Marks this host as leaving, which cannot be undone. */
void membership_leave(membership_t *membership, pimento_usec_t now);

/*
 * Records that an endpoint announced that it is leaving; incarnation: 0 if it
 * gave none.
 */
void membership_endpoint_leaving(membership_t *membership, pimento_usec_t now,
				 pimento_id_t endpoint, uint64_t incarnation);

/*
 * Records that an endpoint reported itself live in an incarnation. An
 * incarnation other than the one that was leaving is a new process, so the
 * endpoint accepts work again. Incarnation 0 changes nothing.
 */
void membership_endpoint_live(membership_t *membership, pimento_usec_t now,
			      pimento_id_t endpoint, uint64_t incarnation);

/*
 * False from a process pause (detected as a gap between ticks) until this
 * host's state has been confirmed. It is confirmed once the revisions that
 * peers reported are in force here and one of these holds since the pause: two
 * fresh peers, or all live peers if there are fewer, have acked a probe; every
 * live peer has acked and none is fresh (all were paused); the platform was
 * read (membership_platform_read_done()) and there is no live peer, or no fresh
 * peer acked within 2 s. While this is false, serve nothing.
 */
bool membership_is_fresh(const membership_t *membership, pimento_usec_t now);

/*
 * Reports that a read of the platform, started at `read_started_at`, has
 * completed. A read that was started before a pause does not show what was
 * published during the pause, and is ignored.
 */
void membership_platform_read_done(membership_t *membership, pimento_usec_t now,
				   pimento_usec_t read_started_at);

void membership_tick(membership_t *membership, pimento_usec_t now);
pimento_usec_t membership_deadline(const membership_t *membership);

host_state_t membership_state(const membership_t *membership, pimento_id_t id);
uint64_t membership_incarnation(const membership_t *membership,
				pimento_id_t id);

/*
 * Stores up to max ids of live entry hosts, including this one unless it is
 * leaving. Returns the number of live entry hosts, which may exceed max.
 */
uint32_t membership_live_hosts(const membership_t *membership,
			       pimento_id_t *ids, uint32_t max);

/*
 * Owner of an endpoint, by rendezvous hash over the live hosts; 0 if there are
 * none. Suspect hosts count as live until they are declared dead, so that a
 * lost packet does not move an endpoint's wait queue to another host.
 */
pimento_id_t membership_owner(const membership_t *membership,
			      pimento_id_t endpoint);

/* Owner of an endpoint if the host `former` were dead; 0 if there is none. */
pimento_id_t membership_successor(const membership_t *membership,
				  pimento_id_t endpoint, pimento_id_t former);

/*
 * Share of the known hosts that are live, (0, 1]. Hosts that died within span
 * count as known; hosts that have left do not count as dead.
 */
double membership_known_live_share(const membership_t *membership,
				   pimento_usec_t span, pimento_usec_t now);

/*
 * Share of the published entry hosts that this host considers alive, (0, 1]; 1
 * if none is published.
 */
double membership_published_live_share(const membership_t *membership);

#endif
