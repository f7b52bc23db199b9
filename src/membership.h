#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

/*
 * Who is there: the published host list, corrected by what peers see. Each
 * period one peer is probed, directly and then through others; what is found
 * travels as facts on probes and acks, so the cost per host does not grow with
 * the fleet. Leaving is one-way for an incarnation.
 *
 * Facts about one subject are ordered by version, so that any two hosts that
 * have seen the same facts, in whatever order, hold the same. Only the subject
 * raises its version: to refute a suspicion, and, after a restart, to outbid
 * what is still told of its former incarnation. Incarnations are random and
 * have no order of their own.
 */

#include "config.h"
#include "message.h"

typedef struct membership_options {
	pimento_id_t self;
	uint64_t incarnation;
	uint64_t seed;
	pimento_usec_t probe_period; /* between probes; 0: the default */
	uint32_t facts_max; /* on a message, at most; 0: the default */
} membership_options_t;

#define MEMBERSHIP_PROBE_PERIOD (250 * PIMENTO_MSEC)
#define MEMBERSHIP_MEMBERS_MAX 4096 /* subjects known, hosts and endpoints */
#define MEMBERSHIP_RELAYS_MAX 16
#define MEMBERSHIP_FACTS_DEFAULT 16 /* on a message */

typedef struct member member_t;

/* A probe that this host makes on another's behalf. */
typedef struct membership_relay {
	uint64_t sequence; /* ours, 0 for a free place */
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
	uint64_t owner_changes; /* counts up when ownership may have changed */
	uint64_t config_revision; /* configuration in force, told on probes */
	uint64_t hosts_revision;
	uint64_t published_revision; /* of the last list taken over, 0 none */
	pimento_usec_t last_tick;
	uint32_t pauses; /* gaps found between ticks */

	pimento_id_t *probe_order; /* shuffled round of hosts to probe */
	uint32_t probe_order_count;
	uint32_t probe_order_next;
	uint32_t pending_updates; /* subjects with something left to tell */
	uint32_t message_number; /* number of the message being filled */
	uint32_t update_cursor; /* where the next message goes on telling */
	uint32_t
		anti_entropy_cursor; /* likewise for facts that nobody asked for */
	pimento_id_t priority_target; /* probed next, out of turn; 0 none */

	uint64_t sequence;
	uint64_t probe_sequence; /* of the probe in progress, 0 none */
	pimento_id_t probe_target;
	pimento_usec_t probe_timeout; /* then others are asked */
	pimento_usec_t next_probe;
	membership_relay_t relays[MEMBERSHIP_RELAYS_MAX];
	uint32_t relay_next;

	bool fresh;
	bool confirmed; /* since the wake; fresh once the revisions follow */
	pimento_usec_t resumed_at;
	uint64_t
		resume_sequence; /* acks below it answer from before the wake */
	uint32_t fresh_acks;
	uint32_t stale_acks;
	uint64_t
		reported_config_revision; /* newest that peers told since the wake */
	uint64_t reported_hosts_revision;
} membership_t;

int membership_init(membership_t *membership,
		    const membership_options_t *options, outbox_t *out);
void membership_finish(membership_t *membership);

/*
 * Takes over the published list; an older one is PIMENTO_ESTALE. A host that
 * is no longer listed stays known for as long as it answers. One that the list
 * newly shows as leaving leaves in the incarnation known here, and stays
 * leaving in it whatever later lists say. Returns 0 or PIMENTO_ENOMEM.
 */
int membership_apply_hostlist(membership_t *membership, pimento_usec_t now,
			      const hostlist_t *list);

/*
 * A peer that is known only by its settings or by a message. It is probed, and
 * counts as live once it was heard. Returns 0, PIMENTO_EFULL, PIMENTO_ENOMEM.
 */
int membership_add_host(membership_t *membership, pimento_usec_t now,
			pimento_id_t host);

/* Takes MESSAGE_PROBE and MESSAGE_ACK; PIMENTO_EINVAL for other kinds. */
int membership_receive(membership_t *membership, pimento_usec_t now,
		       pimento_id_t from, const message_t *message);

/* The same for a probe or ack that came by other means than a message_t. */
int membership_receive_probe(membership_t *membership, pimento_usec_t now,
			     pimento_id_t from, message_kind_t kind,
			     const message_probe_t *probe);

/*
 * Fills a message that is neither probe nor ack with facts, the sender's own
 * first; membership_merge_facts() takes them. They spread as those on probes do.
 */
void membership_put_facts(membership_t *membership, message_probe_t *facts);
int membership_merge_facts(membership_t *membership, pimento_usec_t now,
			   pimento_id_t from, const message_probe_t *facts);

/* Any message of a peer shows that it lives. */
void membership_host_seen(membership_t *membership, pimento_usec_t now,
			  pimento_id_t from);

/* This host leaves; one-way. */
void membership_leave(membership_t *membership, pimento_usec_t now);

/* An endpoint says itself that it leaves (incarnation 0 if it names none). */
void membership_endpoint_leaving(membership_t *membership, pimento_usec_t now,
				 pimento_id_t endpoint, uint64_t incarnation);

/*
 * An endpoint reports itself live in an incarnation. Another than the one
 * that was leaving is a new process, so it takes work again. 0 says nothing.
 */
void membership_endpoint_live(membership_t *membership, pimento_usec_t now,
			      pimento_id_t endpoint, uint64_t incarnation);

/*
 * False from a gap between ticks (this process stood still) until what is held
 * was confirmed: two peers, or as many as live, that are themselves fresh
 * answered a probe sent since, and the revisions that they told are in force
 * here; or every live peer answered and none is fresh (all stood still); or
 * the platform was read since (membership_platform_read_done) and no fresh peer answered
 * for a grace time, or there is none. Until then serve nothing.
 */
bool membership_is_fresh(const membership_t *membership, pimento_usec_t now);

/*
 * A read of the platform came in. One that was begun before a pause says
 * nothing of what was published during it, and is ignored.
 */
void membership_platform_read_done(membership_t *membership, pimento_usec_t now,
				   pimento_usec_t begun);

void membership_tick(membership_t *membership, pimento_usec_t now);
pimento_usec_t membership_deadline(const membership_t *membership);

host_state_t membership_state(const membership_t *membership, pimento_id_t id);
uint64_t membership_incarnation(const membership_t *membership,
				pimento_id_t id);

/* Live entry hosts, self among them unless it leaves. Returns the count. */
uint32_t membership_live_hosts(const membership_t *membership,
			       pimento_id_t *ids, uint32_t max);

/*
 * The owner of an endpoint: by rendezvous hash over the live hosts, 0 if none.
 * Suspect hosts count as live until they are dead, so that a lost packet does
 * not move a waiting line.
 */
pimento_id_t membership_owner(const membership_t *membership,
			      pimento_id_t endpoint);

/* The owner if the former one were dead; 0 if there is none. */
pimento_id_t membership_successor(const membership_t *membership,
				  pimento_id_t endpoint, pimento_id_t former);

/*
 * Share of the known hosts that live, (0, 1]; those that died within span
 * count as known. Leaving is no death.
 */
double membership_known_live_share(const membership_t *membership,
				   pimento_usec_t span, pimento_usec_t now);

/*
 * Share of the published entry hosts that this host believes alive, (0, 1];
 * 1 where none are published.
 */
double membership_published_live_share(const membership_t *membership);

#endif
