/*
 * SWIM membership (Das, Gupta, Motivala, 2002): one probe per period whatever
 * the size of the fleet, in a shuffled round so that each host is probed within
 * a bounded time; indirect probes before a suspicion, a suspicion before a
 * death, and facts piggybacked on probes and acks.
 *
 * Dead hosts stay in the round: otherwise the two sides of a healed network
 * partition would consider each other dead for ever.
 */

#include "member_table.h"

#include <stdlib.h>
#include <string.h>

/* many times the round trip of 1 ms links */
#define PROBE_TIMEOUT (80 * PIMENTO_MSEC)
#define INDIRECT_PROBES 3 /* hosts that are to probe an unresponsive host */
/* probe periods per log2(hosts) from suspicion to death */
#define SUSPICION_PERIODS 2
/* probe periods; a longer gap between ticks is a pause */
#define PAUSE_PERIODS 4
#define RESUME_PROBES 4 /* probes per period while not fresh */
#define SEQUENCE_SHIFT 24 /* sequence numbers start at a random 40-bit value */
/* extra probes per period while updates exceed one message */
#define BACKLOG_PROBES 2
#define FRESH_ACKS 2
#define PLATFORM_READ_GRACE (2 * PIMENTO_SEC)
#define DEAD_HOST_RETENTION (60 * PIMENTO_SEC)
#define DEAD_ENDPOINT_RETENTION ((pimento_usec_t)24 * 3600 * PIMENTO_SEC)

int membership_init(membership_t *membership,
		    const membership_options_t *options, outbox_t *out)
{
	member_t *self;
	int error;

	memset(membership, 0, sizeof(*membership));
	membership->options = *options;
	membership->out = out;
	if (!membership->options.probe_period)
		membership->options.probe_period = MEMBERSHIP_PROBE_PERIOD;
	if (!membership->options.facts_max)
		membership->options.facts_max = MEMBERSHIP_FACTS_DEFAULT;
	pimento_random_init(&membership->random, options->seed ^ options->self ^
							 options->incarnation);
	/*
	 * A peer that was paused may only now answer a probe from a former
	 * incarnation of this host. Sequence numbers start at random so that
	 * such an ack is not taken for one to a current probe: after a pause it
	 * would confirm state that no peer has checked.
	 */
	membership->sequence =
		pimento_random_next(&membership->random) >> SEQUENCE_SHIFT;
	membership->last_tick = -1;
	membership->fresh = true;
	error = member_add(membership, options->self, false, &self);
	if (error) {
		membership_finish(membership);
		return error;
	}
	self->incarnation = options->incarnation;
	self->version = 1;
	member_queue_update(membership, self);
	return PIMENTO_OK;
}

void membership_finish(membership_t *membership)
{
	free(membership->members);
	free(membership->probe_order);
	memset(membership, 0, sizeof(*membership));
}

/*
 * A process that was paused still holds the state from before the pause, and
 * would grant or dispatch work under a configuration that all other hosts have
 * replaced. Ticks come at least once per probe period, so a long gap between
 * them reveals the pause. Every entry point checks for it, because much can be
 * handled between the end of the pause and the next tick.
 */
static bool was_paused(const membership_t *m, pimento_usec_t now)
{
	return m->last_tick >= 0 &&
	       now - m->last_tick > PAUSE_PERIODS * m->options.probe_period;
}

static void detect_pause(membership_t *m, pimento_usec_t now)
{
	if (!was_paused(m, now))
		return;
	m->pauses++;
	m->last_tick = now;
	m->fresh = false;
	m->confirmed = false;
	m->resumed_at = now;
	m->resume_sequence = m->sequence + 1;
	m->fresh_acks = 0;
	m->stale_acks = 0;
	m->reported_config_revision = 0;
	m->reported_hosts_revision = 0;
	m->probe_sequence = 0;
	m->next_probe = now;
	memset(m->relays, 0, sizeof(m->relays));
	for (uint32_t i = 0; i < m->count; i++)
		if (m->members[i].liveness == LIVENESS_SUSPECT)
			m->members[i].liveness_since = now;
}

static uint32_t count_live_peers(const membership_t *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->count; i++)
		if (m->members[i].id != m->options.self &&
		    member_is_running_host(&m->members[i]))
			n++;
	return n;
}

bool membership_is_fresh(const membership_t *membership, pimento_usec_t now)
{
	if (was_paused(membership, now))
		return false;
	if (membership->fresh)
		return true;
	return membership->confirmed &&
	       membership->config_revision >=
		       membership->reported_config_revision &&
	       membership->hosts_revision >=
		       membership->reported_hosts_revision;
}

static void update_freshness(membership_t *m)
{
	uint32_t peers;

	if (m->fresh)
		return;
	peers = count_live_peers(m);
	if (m->fresh_acks &&
	    m->fresh_acks >= (peers < FRESH_ACKS ? peers : FRESH_ACKS))
		m->confirmed = true;
	if (peers && m->fresh_acks + m->stale_acks >= peers)
		m->confirmed = true;
	if (membership_is_fresh(m, m->last_tick))
		m->fresh = true;
}

void membership_platform_read_done(membership_t *membership, pimento_usec_t now,
				   pimento_usec_t read_started_at)
{
	detect_pause(membership, now);
	if (membership->fresh || read_started_at < membership->resumed_at)
		return;
	if (!count_live_peers(membership) ||
	    (!membership->fresh_acks &&
	     now - membership->resumed_at >= PLATFORM_READ_GRACE))
		membership->confirmed = true;
	update_freshness(membership);
}

/*
 * The first fact is always the sender's own. Facts about the receiver follow if
 * it may have to refute them.
 */
static void send_probe_message(membership_t *m, message_kind_t kind,
			       pimento_id_t to, pimento_id_t target,
			       uint64_t sequence)
{
	const member_t *member = member_find(m, to);
	message_t message = { .kind = kind };
	message_probe_t *p = &message.u.probe;

	p->sequence = sequence;
	p->incarnation = m->options.incarnation;
	p->target = target;
	if (membership_is_fresh(m, m->last_tick)) {
		p->revision = m->config_revision;
		p->hosts_revision = m->hosts_revision;
	}
	member_put_facts(p, member_self(m));
	if (member && member->version &&
	    (member->liveness || member->incarnation_mismatch ||
	     member_is_leaving(member)))
		member_put_facts(p, member);
	member_put_updates(m, p);
	member_put_anti_entropy_facts(m, p);
	outbox_put(m->out, to, &message);
}

int membership_add_host(membership_t *membership, pimento_usec_t now,
			pimento_id_t host)
{
	member_t *member = member_find(membership, host);

	detect_pause(membership, now);
	if (member)
		return PIMENTO_OK;
	return member_add(membership, host, false, &member);
}

static member_t *find_or_add_listed(membership_t *m,
				    const hostlist_host_t *entry, int *error)
{
	member_t *member = member_find(m, entry->id);

	if (member)
		return member;
	*error = member_add(m, entry->id, entry->is_endpoint, &member);
	return *error ? NULL : member;
}

static void apply_listed_host(membership_t *m, member_t *member,
			      const hostlist_host_t *entry, bool was_listed)
{
	if (!was_listed)
		m->owner_changes++;
	member->listed = true;
	if (entry->leaving && !(was_listed && member->listed_leaving))
		member_set_leaving(m, member);
	/*
	 * A later list shows an endpoint of unknown incarnation as live again:
	 * it is taken for a new process.
	 */
	if (!entry->leaving && member->is_endpoint && !member->incarnation &&
	    member->has_leaving_incarnation &&
	    (!was_listed || member->listed_leaving)) {
		member->has_leaving_incarnation = false;
		member->version++;
		member_queue_update(m, member);
		m->owner_changes++;
	}
	member->listed_leaving = entry->leaving;
}

static void remove_unlisted_unseen(membership_t *m)
{
	for (uint32_t i = m->count; i-- > 0;) {
		member_t *member = &m->members[i];

		if (member->listed || member->id == m->options.self)
			continue;
		member->listed_leaving = false;
		if (!member->version && !member->is_endpoint &&
		    !member->last_seen)
			member_remove(m, i);
	}
}

int membership_apply_hostlist(membership_t *membership, pimento_usec_t now,
			      const hostlist_t *list)
{
	int error = PIMENTO_OK;
	bool *was_listed;

	detect_pause(membership, now);
	if (list->revision <= membership->published_revision)
		return PIMENTO_ESTALE;
	was_listed = calloc(list->count + 1, sizeof(*was_listed));
	if (!was_listed)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < list->count; i++) {
		member_t *member =
			find_or_add_listed(membership, &list->hosts[i], &error);

		was_listed[i] = member && member->listed;
	}
	for (uint32_t i = 0; i < membership->count; i++)
		membership->members[i].listed = false;
	for (uint32_t i = 0; i < list->count; i++) {
		member_t *member = member_find(membership, list->hosts[i].id);

		if (member)
			apply_listed_host(membership, member, &list->hosts[i],
					  was_listed[i]);
	}
	free(was_listed);
	if (!error)
		membership->published_revision = list->revision;
	remove_unlisted_unseen(membership);
	membership->owner_changes++;
	return error;
}

static pimento_usec_t suspicion_timeout(const membership_t *m)
{
	return (pimento_usec_t)SUSPICION_PERIODS *
	       member_count_log2(m->probe_order_count + 1) *
	       m->options.probe_period;
}

static void mark_suspect(membership_t *m, pimento_usec_t now, pimento_id_t id)
{
	member_t *member = member_find(m, id);

	if (member && member->liveness == LIVENESS_LIVE &&
	    member_is_known(member))
		member_set_liveness(m, now, member, LIVENESS_SUSPECT);
}

static void expire_members(membership_t *m, pimento_usec_t now)
{
	pimento_usec_t limit = suspicion_timeout(m);

	for (uint32_t i = m->count; i-- > 0;) {
		member_t *member = &m->members[i];
		pimento_usec_t retention = member->is_endpoint
						   ? DEAD_ENDPOINT_RETENTION
						   : DEAD_HOST_RETENTION;

		if (member->liveness == LIVENESS_SUSPECT &&
		    now - member->liveness_since >= limit)
			member_set_liveness(m, now, member, LIVENESS_DEAD);
		if (member->liveness == LIVENESS_DEAD && !member->listed &&
		    now - member->liveness_since >= retention)
			member_remove(m, i);
	}
}

void membership_host_seen(membership_t *membership, pimento_usec_t now,
			  pimento_id_t from)
{
	member_t *member;

	if (!from || from == membership->options.self)
		return;
	if (membership_add_host(membership, now, from))
		return;
	member = member_find(membership, from);
	member->last_seen = now;
	if (from == membership->probe_target)
		membership->probe_sequence = 0;
	if (member->liveness == LIVENESS_SUSPECT)
		member->liveness_since = now;
	/*
	 * The host is alive but recorded as dead: probe it next, so that it
	 * learns of this and refutes it.
	 */
	if (member->liveness == LIVENESS_DEAD)
		membership->priority_target = from;
}

static void count_ack(membership_t *m, pimento_id_t from,
		      const message_probe_t *p)
{
	member_t *member = member_find(m, from);

	if (m->fresh || !member || p->target ||
	    p->sequence < m->resume_sequence || p->sequence > m->sequence)
		return;
	if (member->acked_pause == m->pauses)
		return;
	member->acked_pause = m->pauses;
	if (p->revision)
		m->fresh_acks++;
	else
		m->stale_acks++;
	if (p->revision > m->reported_config_revision)
		m->reported_config_revision = p->revision;
	if (p->hosts_revision > m->reported_hosts_revision)
		m->reported_hosts_revision = p->hosts_revision;
}

static void relay_probe(membership_t *m, pimento_id_t origin,
			const message_probe_t *p)
{
	membership_relay_t *r =
		&m->relays[m->relay_next++ % MEMBERSHIP_RELAYS_MAX];

	r->sequence = ++m->sequence;
	r->origin_sequence = p->sequence;
	r->origin = origin;
	r->target = p->target;
	send_probe_message(m, MESSAGE_PROBE, p->target, 0, r->sequence);
}

static void receive_probe(membership_t *m, pimento_id_t from,
			  const message_probe_t *p)
{
	if (p->target && p->target != m->options.self)
		relay_probe(m, from, p);
	else
		send_probe_message(m, MESSAGE_ACK, from, 0, p->sequence);
}

static void receive_ack(membership_t *m, pimento_id_t from,
			const message_probe_t *p)
{
	count_ack(m, from, p);
	if (p->sequence == m->probe_sequence && p->target == m->probe_target)
		m->probe_sequence = 0;
	for (uint32_t i = 0; i < MEMBERSHIP_RELAYS_MAX; i++) {
		membership_relay_t *r = &m->relays[i];

		if (!r->sequence || r->sequence != p->sequence)
			continue;
		r->sequence = 0;
		send_probe_message(m, MESSAGE_ACK, r->origin, r->target,
				   r->origin_sequence);
	}
}

static bool is_valid(const membership_t *m, pimento_id_t from,
		     const message_probe_t *p)
{
	return p->count <= MESSAGE_FACTS_MAX && from && from != m->options.self;
}

static member_t *merge_facts(membership_t *m, pimento_usec_t now,
			     pimento_id_t from, const message_probe_t *p)
{
	member_t *member;

	detect_pause(m, now);
	for (uint32_t i = 0; i < p->count; i++)
		member_merge_fact(m, now, &p->facts[i]);
	membership_host_seen(m, now, from);
	member = member_find(m, from);
	if (member)
		member->incarnation_mismatch =
			member->incarnation != p->incarnation;
	return member;
}

int membership_receive_probe(membership_t *membership, pimento_usec_t now,
			     pimento_id_t from, message_kind_t kind,
			     const message_probe_t *probe)
{
	if (kind != MESSAGE_PROBE && kind != MESSAGE_ACK)
		return PIMENTO_EINVAL;
	if (!is_valid(membership, from, probe))
		return PIMENTO_EINVAL;
	merge_facts(membership, now, from, probe);
	if (kind == MESSAGE_PROBE)
		receive_probe(membership, from, probe);
	else
		receive_ack(membership, from, probe);
	update_freshness(membership);
	return PIMENTO_OK;
}

int membership_receive(membership_t *membership, pimento_usec_t now,
		       pimento_id_t from, const message_t *message)
{
	return membership_receive_probe(membership, now, from, message->kind,
					&message->u.probe);
}

void membership_put_facts(membership_t *membership, message_probe_t *facts)
{
	facts->incarnation = membership->options.incarnation;
	member_put_facts(facts, member_self(membership));
	member_put_updates(membership, facts);
	member_put_anti_entropy_facts(membership, facts);
}

int membership_merge_facts(membership_t *membership, pimento_usec_t now,
			   pimento_id_t from, const message_probe_t *facts)
{
	if (!is_valid(membership, from, facts))
		return PIMENTO_EINVAL;
	merge_facts(membership, now, from, facts);
	return PIMENTO_OK;
}

void membership_leave(membership_t *membership, pimento_usec_t now)
{
	detect_pause(membership, now);
	member_set_leaving(membership, member_self(membership));
}

static member_t *find_or_add_endpoint(membership_t *m, pimento_id_t endpoint)
{
	member_t *member = member_find(m, endpoint);

	if (!member && member_add(m, endpoint, true, &member))
		return NULL;
	return member->is_endpoint ? member : NULL;
}

void membership_endpoint_live(membership_t *membership, pimento_usec_t now,
			      pimento_id_t endpoint, uint64_t incarnation)
{
	member_t *member = find_or_add_endpoint(membership, endpoint);

	detect_pause(membership, now);
	if (!member || !incarnation || member->incarnation == incarnation)
		return;
	if (!member->incarnation && member->has_leaving_incarnation &&
	    !member->leaving_incarnation)
		member->leaving_incarnation = incarnation;
	member->incarnation = incarnation;
	member->version++;
	membership->owner_changes++;
	member_queue_update(membership, member);
}

void membership_endpoint_leaving(membership_t *membership, pimento_usec_t now,
				 pimento_id_t endpoint, uint64_t incarnation)
{
	member_t *member;

	membership_endpoint_live(membership, now, endpoint, incarnation);
	member = find_or_add_endpoint(membership, endpoint);
	if (member)
		member_set_leaving(membership, member);
}

static void shuffle_probe_order(membership_t *m)
{
	for (uint32_t i = m->probe_order_count; i > 1; i--) {
		uint32_t j = (uint32_t)pimento_random_below(&m->random, i);
		pimento_id_t id = m->probe_order[i - 1];

		m->probe_order[i - 1] = m->probe_order[j];
		m->probe_order[j] = id;
	}
	m->probe_order_next = 0;
}

static pimento_id_t next_probe_target(membership_t *m)
{
	pimento_id_t id = m->priority_target;

	m->priority_target = 0;
	if (id && member_find(m, id))
		return id;
	if (m->probe_order_next >= m->probe_order_count)
		shuffle_probe_order(m);
	return m->probe_order_count ? m->probe_order[m->probe_order_next++] : 0;
}

static void send_indirect_probes(membership_t *m)
{
	uint32_t sent = 0;

	/*
	 * The target may have been removed since, leaving no host to send
	 * through.
	 */
	if (!m->probe_order_count)
		return;
	for (uint32_t i = 0; i < 4 * INDIRECT_PROBES && sent < INDIRECT_PROBES;
	     i++) {
		uint64_t n =
			pimento_random_below(&m->random, m->probe_order_count);
		const member_t *member = member_find(m, m->probe_order[n]);

		if (!member || member->id == m->probe_target ||
		    !member_is_running_host(member))
			continue;
		send_probe_message(m, MESSAGE_PROBE, member->id,
				   m->probe_target, m->probe_sequence);
		sent++;
	}
}

static void send_resume_probes(membership_t *m)
{
	for (uint32_t i = 1; i < RESUME_PROBES && i < m->probe_order_count; i++)
		send_probe_message(m, MESSAGE_PROBE, next_probe_target(m), 0,
				   ++m->sequence);
}

/*
 * After the loss or return of many hosts at once there are more updates than
 * fit on one message, and until every host has all of them, some endpoints have
 * two owners. A few more probes per period, to random hosts, shorten that time;
 * none are sent without such a backlog.
 */
static void send_backlog_probes(membership_t *m)
{
	for (uint32_t i = 0; i < BACKLOG_PROBES; i++) {
		uint64_t n =
			pimento_random_below(&m->random, m->probe_order_count);
		const member_t *member = member_find(m, m->probe_order[n]);

		if (member && member_is_running_host(member))
			send_probe_message(m, MESSAGE_PROBE, member->id, 0,
					   ++m->sequence);
	}
}

static void start_probe(membership_t *m, pimento_usec_t now)
{
	pimento_usec_t period = m->options.probe_period;
	pimento_id_t target = next_probe_target(m);

	m->next_probe = now + period * 9 / 10 +
			(pimento_usec_t)pimento_random_below(
				&m->random, (uint64_t)period / 5 + 1);
	if (!target)
		return;
	m->probe_target = target;
	m->probe_sequence = ++m->sequence;
	m->probe_timeout = now + PROBE_TIMEOUT;
	send_probe_message(m, MESSAGE_PROBE, target, 0, m->probe_sequence);
	if (!m->fresh)
		send_resume_probes(m);
	else if (m->pending_updates > m->options.facts_max)
		send_backlog_probes(m);
}

void membership_tick(membership_t *membership, pimento_usec_t now)
{
	detect_pause(membership, now);
	membership->last_tick = now;
	update_freshness(membership);
	if (membership->probe_sequence && now >= membership->probe_timeout) {
		membership->probe_timeout = PIMENTO_NEVER;
		send_indirect_probes(membership);
	}
	if (now < membership->next_probe)
		return;
	if (membership->probe_sequence)
		mark_suspect(membership, now, membership->probe_target);
	expire_members(membership, now);
	start_probe(membership, now);
}

pimento_usec_t membership_deadline(const membership_t *membership)
{
	if (membership->probe_sequence &&
	    membership->probe_timeout < membership->next_probe)
		return membership->probe_timeout;
	return membership->next_probe;
}

host_state_t membership_state(const membership_t *membership, pimento_id_t id)
{
	const member_t *member = member_find(membership, id);

	if (!member)
		return HOST_UNKNOWN;
	if (member->liveness == LIVENESS_DEAD)
		return HOST_DEAD;
	if (member_is_leaving(member))
		return HOST_LEAVING;
	if (!member_is_known(member))
		return HOST_UNKNOWN;
	return member->liveness == LIVENESS_SUSPECT ? HOST_SUSPECT : HOST_LIVE;
}

uint64_t membership_incarnation(const membership_t *membership, pimento_id_t id)
{
	const member_t *member = member_find(membership, id);

	return member ? member->incarnation : 0;
}

uint32_t membership_live_hosts(const membership_t *membership,
			       pimento_id_t *ids, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < membership->count; i++) {
		if (!member_is_live_host(&membership->members[i]))
			continue;
		if (n < max)
			ids[n] = membership->members[i].id;
		n++;
	}
	return n;
}

static uint64_t rendezvous_weight(pimento_id_t endpoint, pimento_id_t host)
{
	pimento_random_t mix;

	pimento_random_init(&mix, endpoint ^ (host * 0x9e3779b97f4a7c15ULL));
	return pimento_random_next(&mix);
}

pimento_id_t membership_owner(const membership_t *membership,
			      pimento_id_t endpoint)
{
	return membership_successor(membership, endpoint, 0);
}

pimento_id_t membership_successor(const membership_t *membership,
				  pimento_id_t endpoint, pimento_id_t former)
{
	pimento_id_t owner = 0;
	uint64_t best = 0;

	for (uint32_t i = 0; i < membership->count; i++) {
		const member_t *member = &membership->members[i];
		uint64_t w;

		if (!member_is_live_host(member) || member->id == former)
			continue;
		w = rendezvous_weight(endpoint, member->id);
		if (owner && w <= best)
			continue;
		best = w;
		owner = member->id;
	}
	return owner;
}

double membership_known_live_share(const membership_t *membership,
				   pimento_usec_t span, pimento_usec_t now)
{
	uint32_t alive = 0;
	uint32_t lost = 0;

	for (uint32_t i = 0; i < membership->count; i++) {
		const member_t *member = &membership->members[i];

		if (member_is_running_host(member))
			alive++;
		else if (!member->is_endpoint &&
			 member->liveness == LIVENESS_DEAD &&
			 !member_is_leaving(member) &&
			 now - member->liveness_since < span)
			lost++;
	}
	return alive ? (double)alive / (alive + lost) : 1.0;
}

double membership_published_live_share(const membership_t *membership)
{
	uint32_t published = 0;
	uint32_t alive = 0;

	for (uint32_t i = 0; i < membership->count; i++) {
		const member_t *member = &membership->members[i];

		if (!member->listed || member->is_endpoint)
			continue;
		published++;
		if (member->liveness != LIVENESS_DEAD)
			alive++;
	}
	if (!published || !alive)
		return 1.0;
	return (double)alive / published;
}
