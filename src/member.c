/*
 * Membership in the manner of SWIM (Das, Gupta, Motivala, 2002): one probe a
 * period whatever the fleet's size, in a shuffled round so that every host's
 * turn comes within a bounded time; indirect probes before a suspicion, a
 * suspicion before a death, and facts that ride on probes and acks.
 *
 * Dead hosts keep their turn in the round: without that, two sides of a healed
 * partition would hold each other dead for good.
 */

#include "subject.h"

#include <stdlib.h>
#include <string.h>

#define PROBE_TIMEOUT (80 * PIMENTO_MSEC) /* many round trips of 1 ms links */
#define INDIRECT 3 /* hosts asked to probe in our place */
#define SUSPECT_PERIODS 2 /* times log2 of the fleet, before death */
#define PAUSE_PERIODS 4 /* a longer gap between ticks is a pause */
#define WAKE_PROBES 4 /* a period, until fresh */
#define SEQUENCE_SHIFT 24 /* leaves 40 random bits to start from */
#define TELL_PROBES 2 /* more a period, while there is much to tell */
#define FRESH_ACKS 2
#define REFRESH_GRACE (2 * PIMENTO_SEC)
#define FORGET_HOST (60 * PIMENTO_SEC)
#define FORGET_ENDPOINT ((pimento_usec_t)24 * 3600 * PIMENTO_SEC)

int member_init(member_t *member, const member_options_t *options,
		outbox_t *out)
{
	member_host_t *self;
	int error;

	memset(member, 0, sizeof(*member));
	member->options = *options;
	member->out = out;
	if (!member->options.period)
		member->options.period = MEMBER_PERIOD;
	if (!member->options.facts)
		member->options.facts = MEMBER_FACTS;
	pimento_random_init(&member->random, options->seed ^ options->self ^
						     options->incarnation);
	/*
	 * A peer that stood still may answer a probe of this host's former
	 * incarnation only now. Counted as an answer to a probe of ours it
	 * would confirm, after a pause, what nobody has looked at.
	 */
	member->sequence =
		pimento_random_next(&member->random) >> SEQUENCE_SHIFT;
	member->last_tick = -1;
	member->fresh = true;
	error = subject_add(member, options->self, false, &self);
	if (error) {
		member_finish(member);
		return error;
	}
	self->incarnation = options->incarnation;
	self->version = 1;
	subject_rumour(member, self);
	return PIMENTO_OK;
}

void member_finish(member_t *member)
{
	free(member->hosts);
	free(member->order);
	memset(member, 0, sizeof(*member));
}

/*
 * A process that stood still believes what was true before. It would show as
 * work granted or dispatched under a configuration that everyone else has left
 * behind. Ticks come at least once a period, so a long gap between them gives
 * the pause away; every entry point looks for it, because after a wake much
 * can be handled before the next tick.
 */
static bool stood_still(const member_t *m, pimento_usec_t now)
{
	return m->last_tick >= 0 &&
	       now - m->last_tick > PAUSE_PERIODS * m->options.period;
}

static void notice_pause(member_t *m, pimento_usec_t now)
{
	if (!stood_still(m, now))
		return;
	m->pauses++;
	m->last_tick = now;
	m->fresh = false;
	m->confirmed = false;
	m->woken = now;
	m->wake_sequence = m->sequence + 1;
	m->fresh_acks = 0;
	m->stale_acks = 0;
	m->told_revision = 0;
	m->told_hosts_revision = 0;
	m->probe_sequence = 0;
	m->next_probe = now;
	memset(m->relays, 0, sizeof(m->relays));
	for (uint32_t i = 0; i < m->count; i++)
		if (m->hosts[i].rank == RANK_SUSPECT)
			m->hosts[i].since = now;
}

static uint32_t live_peers(const member_t *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->count; i++)
		if (m->hosts[i].id != m->options.self &&
		    subject_alive(&m->hosts[i]))
			n++;
	return n;
}

bool member_fresh(const member_t *member, pimento_usec_t now)
{
	if (stood_still(member, now))
		return false;
	if (member->fresh)
		return true;
	return member->confirmed && member->revision >= member->told_revision &&
	       member->hosts_revision >= member->told_hosts_revision;
}

static void settle_fresh(member_t *m)
{
	uint32_t peers;

	if (m->fresh)
		return;
	peers = live_peers(m);
	if (m->fresh_acks &&
	    m->fresh_acks >= (peers < FRESH_ACKS ? peers : FRESH_ACKS))
		m->confirmed = true;
	if (peers && m->fresh_acks + m->stale_acks >= peers)
		m->confirmed = true;
	if (member_fresh(m, m->last_tick))
		m->fresh = true;
}

void member_refreshed(member_t *member, pimento_usec_t now,
		      pimento_usec_t begun)
{
	notice_pause(member, now);
	if (member->fresh || begun < member->woken)
		return;
	if (!live_peers(member) ||
	    (!member->fresh_acks && now - member->woken >= REFRESH_GRACE))
		member->confirmed = true;
	settle_fresh(member);
}

/* The first fact is always the sender's own, in its own words. */
static void send(member_t *m, message_kind_t kind, pimento_id_t to,
		 pimento_id_t target, uint64_t sequence)
{
	const member_host_t *h = subject_find(m, to);
	message_t message = { .kind = kind };
	message_probe_t *p = &message.u.probe;

	p->sequence = sequence;
	p->incarnation = m->options.incarnation;
	p->target = target;
	if (member_fresh(m, m->last_tick)) {
		p->revision = m->revision;
		p->hosts_revision = m->hosts_revision;
	}
	subject_put(p, subject_self(m));
	if (h && h->version && (h->rank || h->disputed || subject_leaving(h)))
		subject_put(p, h);
	subject_put_rumours(m, p);
	subject_put_sweep(m, p);
	outbox_put(m->out, to, &message);
}

int member_meet(member_t *member, pimento_usec_t now, pimento_id_t host)
{
	member_host_t *h = subject_find(member, host);

	notice_pause(member, now);
	if (h)
		return PIMENTO_OK;
	return subject_add(member, host, false, &h);
}

static member_host_t *listed_host(member_t *m, const hostlist_host_t *entry,
				  int *error)
{
	member_host_t *h = subject_find(m, entry->id);

	if (h)
		return h;
	*error = subject_add(m, entry->id, entry->endpoint, &h);
	return *error ? NULL : h;
}

static void publish_host(member_t *m, member_host_t *h,
			 const hostlist_host_t *entry, bool was_listed)
{
	if (!was_listed)
		m->changes++;
	h->listed = true;
	if (entry->leaving && !(was_listed && h->listed_leaving))
		subject_set_leaving(m, h);
	/* Live again on a later list, no incarnation named: a new process. */
	if (!entry->leaving && h->endpoint && !h->incarnation && h->has_left &&
	    (!was_listed || h->listed_leaving)) {
		h->has_left = false;
		h->version++;
		subject_rumour(m, h);
		m->changes++;
	}
	h->listed_leaving = entry->leaving;
}

static void forget_unlisted(member_t *m)
{
	for (uint32_t i = m->count; i-- > 0;) {
		member_host_t *h = &m->hosts[i];

		if (h->listed || h->id == m->options.self)
			continue;
		h->listed_leaving = false;
		if (!h->version && !h->endpoint && !h->heard)
			subject_drop(m, i);
	}
}

int member_publish(member_t *member, pimento_usec_t now, const hostlist_t *list)
{
	int error = PIMENTO_OK;
	bool *was;

	notice_pause(member, now);
	if (list->revision <= member->list_revision)
		return PIMENTO_ESTALE;
	was = calloc(list->count + 1, sizeof(*was));
	if (!was)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < list->count; i++) {
		member_host_t *h = listed_host(member, &list->hosts[i], &error);

		was[i] = h && h->listed;
	}
	for (uint32_t i = 0; i < member->count; i++)
		member->hosts[i].listed = false;
	for (uint32_t i = 0; i < list->count; i++) {
		member_host_t *h = subject_find(member, list->hosts[i].id);

		if (h)
			publish_host(member, h, &list->hosts[i], was[i]);
	}
	free(was);
	if (!error)
		member->list_revision = list->revision;
	forget_unlisted(member);
	member->changes++;
	return error;
}

static pimento_usec_t suspicion_time(const member_t *m)
{
	return (pimento_usec_t)SUSPECT_PERIODS *
	       subject_log2(m->order_count + 1) * m->options.period;
}

static void suspect(member_t *m, pimento_usec_t now, pimento_id_t id)
{
	member_host_t *h = subject_find(m, id);

	if (h && h->rank == RANK_LIVE && subject_known(h))
		subject_set_rank(m, now, h, RANK_SUSPECT);
}

static void expire(member_t *m, pimento_usec_t now)
{
	pimento_usec_t limit = suspicion_time(m);

	for (uint32_t i = m->count; i-- > 0;) {
		member_host_t *h = &m->hosts[i];
		pimento_usec_t forget =
			h->endpoint ? FORGET_ENDPOINT : FORGET_HOST;

		if (h->rank == RANK_SUSPECT && now - h->since >= limit)
			subject_set_rank(m, now, h, RANK_DEAD);
		if (h->rank == RANK_DEAD && !h->listed &&
		    now - h->since >= forget)
			subject_drop(m, i);
	}
}

void member_heard(member_t *member, pimento_usec_t now, pimento_id_t from)
{
	member_host_t *h;

	if (!from || from == member->options.self)
		return;
	if (member_meet(member, now, from))
		return;
	h = subject_find(member, from);
	h->heard = now;
	if (from == member->probe_target)
		member->probe_sequence = 0;
	if (h->rank == RANK_SUSPECT)
		h->since = now;
	/* It does not know that it is held dead: tell it, it will refute. */
	if (h->rank == RANK_DEAD)
		member->urgent = from;
}

static void count_ack(member_t *m, pimento_id_t from, const message_probe_t *p)
{
	member_host_t *h = subject_find(m, from);

	if (m->fresh || !h || p->target || p->sequence < m->wake_sequence ||
	    p->sequence > m->sequence)
		return;
	if (h->acked == m->pauses)
		return;
	h->acked = m->pauses;
	if (p->revision)
		m->fresh_acks++;
	else
		m->stale_acks++;
	if (p->revision > m->told_revision)
		m->told_revision = p->revision;
	if (p->hosts_revision > m->told_hosts_revision)
		m->told_hosts_revision = p->hosts_revision;
}

static void relay(member_t *m, pimento_id_t origin, const message_probe_t *p)
{
	member_relay_t *r = &m->relays[m->relay_next++ % MEMBER_RELAYS];

	r->sequence = ++m->sequence;
	r->origin_sequence = p->sequence;
	r->origin = origin;
	r->target = p->target;
	send(m, MESSAGE_PROBE, p->target, 0, r->sequence);
}

static void receive_probe(member_t *m, pimento_id_t from,
			  const message_probe_t *p)
{
	if (p->target && p->target != m->options.self)
		relay(m, from, p);
	else
		send(m, MESSAGE_ACK, from, 0, p->sequence);
}

static void receive_ack(member_t *m, pimento_id_t from,
			const message_probe_t *p)
{
	count_ack(m, from, p);
	if (p->sequence == m->probe_sequence && p->target == m->probe_target)
		m->probe_sequence = 0;
	for (uint32_t i = 0; i < MEMBER_RELAYS; i++) {
		member_relay_t *r = &m->relays[i];

		if (!r->sequence || r->sequence != p->sequence)
			continue;
		r->sequence = 0;
		send(m, MESSAGE_ACK, r->origin, r->target, r->origin_sequence);
	}
}

static bool is_sound(const member_t *m, pimento_id_t from,
		     const message_probe_t *p)
{
	return p->count <= MESSAGE_FACTS_MAX && from && from != m->options.self;
}

static member_host_t *take_facts(member_t *m, pimento_usec_t now,
				 pimento_id_t from, const message_probe_t *p)
{
	member_host_t *h;

	notice_pause(m, now);
	for (uint32_t i = 0; i < p->count; i++)
		subject_merge(m, now, &p->facts[i]);
	member_heard(m, now, from);
	h = subject_find(m, from);
	if (h)
		h->disputed = h->incarnation != p->incarnation;
	return h;
}

int member_receive_probe(member_t *member, pimento_usec_t now,
			 pimento_id_t from, message_kind_t kind,
			 const message_probe_t *probe)
{
	if (kind != MESSAGE_PROBE && kind != MESSAGE_ACK)
		return PIMENTO_EINVAL;
	if (!is_sound(member, from, probe))
		return PIMENTO_EINVAL;
	take_facts(member, now, from, probe);
	if (kind == MESSAGE_PROBE)
		receive_probe(member, from, probe);
	else
		receive_ack(member, from, probe);
	settle_fresh(member);
	return PIMENTO_OK;
}

int member_receive(member_t *member, pimento_usec_t now, pimento_id_t from,
		   const message_t *message)
{
	return member_receive_probe(member, now, from, message->kind,
				    &message->u.probe);
}

void member_tell(member_t *member, message_probe_t *facts)
{
	facts->incarnation = member->options.incarnation;
	subject_put(facts, subject_self(member));
	subject_put_rumours(member, facts);
	subject_put_sweep(member, facts);
}

int member_learn(member_t *member, pimento_usec_t now, pimento_id_t from,
		 const message_probe_t *facts)
{
	if (!is_sound(member, from, facts))
		return PIMENTO_EINVAL;
	take_facts(member, now, from, facts);
	return PIMENTO_OK;
}

void member_leave(member_t *member, pimento_usec_t now)
{
	notice_pause(member, now);
	subject_set_leaving(member, subject_self(member));
}

static member_host_t *endpoint_of(member_t *m, pimento_id_t endpoint)
{
	member_host_t *h = subject_find(m, endpoint);

	if (!h && subject_add(m, endpoint, true, &h))
		return NULL;
	return h->endpoint ? h : NULL;
}

void member_endpoint_live(member_t *member, pimento_usec_t now,
			  pimento_id_t endpoint, uint64_t incarnation)
{
	member_host_t *h = endpoint_of(member, endpoint);

	notice_pause(member, now);
	if (!h || !incarnation || h->incarnation == incarnation)
		return;
	if (!h->incarnation && h->has_left && !h->left)
		h->left = incarnation;
	h->incarnation = incarnation;
	h->version++;
	member->changes++;
	subject_rumour(member, h);
}

void member_endpoint_leaving(member_t *member, pimento_usec_t now,
			     pimento_id_t endpoint, uint64_t incarnation)
{
	member_host_t *h;

	member_endpoint_live(member, now, endpoint, incarnation);
	h = endpoint_of(member, endpoint);
	if (h)
		subject_set_leaving(member, h);
}

static void shuffle(member_t *m)
{
	for (uint32_t i = m->order_count; i > 1; i--) {
		uint32_t j = (uint32_t)pimento_random_below(&m->random, i);
		pimento_id_t id = m->order[i - 1];

		m->order[i - 1] = m->order[j];
		m->order[j] = id;
	}
	m->order_next = 0;
}

static pimento_id_t next_target(member_t *m)
{
	pimento_id_t id = m->urgent;

	m->urgent = 0;
	if (id && subject_find(m, id))
		return id;
	if (m->order_next >= m->order_count)
		shuffle(m);
	return m->order_count ? m->order[m->order_next++] : 0;
}

static void ask_others(member_t *m)
{
	uint32_t asked = 0;

	/* The target may have been forgotten since, and nobody be left. */
	if (!m->order_count)
		return;
	for (uint32_t i = 0; i < 4 * INDIRECT && asked < INDIRECT; i++) {
		uint64_t n = pimento_random_below(&m->random, m->order_count);
		const member_host_t *h = subject_find(m, m->order[n]);

		if (!h || h->id == m->probe_target || !subject_alive(h))
			continue;
		send(m, MESSAGE_PROBE, h->id, m->probe_target,
		     m->probe_sequence);
		asked++;
	}
}

static void probe_more(member_t *m)
{
	for (uint32_t i = 1; i < WAKE_PROBES && i < m->order_count; i++)
		send(m, MESSAGE_PROBE, next_target(m), 0, ++m->sequence);
}

/*
 * After the loss or return of many hosts at once there is more to tell than
 * fits on a message, and until all know of all, some endpoints have two
 * owners. A few messages more, to anybody, shorten that; without such news
 * none are sent.
 */
static void tell_more(member_t *m)
{
	for (uint32_t i = 0; i < TELL_PROBES; i++) {
		uint64_t n = pimento_random_below(&m->random, m->order_count);
		const member_host_t *h = subject_find(m, m->order[n]);

		if (h && subject_alive(h))
			send(m, MESSAGE_PROBE, h->id, 0, ++m->sequence);
	}
}

static void probe_next(member_t *m, pimento_usec_t now)
{
	pimento_usec_t period = m->options.period;
	pimento_id_t target = next_target(m);

	m->next_probe = now + period * 9 / 10 +
			(pimento_usec_t)pimento_random_below(
				&m->random, (uint64_t)period / 5 + 1);
	if (!target)
		return;
	m->probe_target = target;
	m->probe_sequence = ++m->sequence;
	m->probe_timeout = now + PROBE_TIMEOUT;
	send(m, MESSAGE_PROBE, target, 0, m->probe_sequence);
	if (!m->fresh)
		probe_more(m);
	else if (m->untold > m->options.facts)
		tell_more(m);
}

void member_tick(member_t *member, pimento_usec_t now)
{
	notice_pause(member, now);
	member->last_tick = now;
	settle_fresh(member);
	if (member->probe_sequence && now >= member->probe_timeout) {
		member->probe_timeout = PIMENTO_NEVER;
		ask_others(member);
	}
	if (now < member->next_probe)
		return;
	if (member->probe_sequence)
		suspect(member, now, member->probe_target);
	expire(member, now);
	probe_next(member, now);
}

pimento_usec_t member_deadline(const member_t *member)
{
	if (member->probe_sequence &&
	    member->probe_timeout < member->next_probe)
		return member->probe_timeout;
	return member->next_probe;
}

host_state_t member_state(const member_t *member, pimento_id_t id)
{
	const member_host_t *h = subject_find(member, id);

	if (!h)
		return HOST_UNKNOWN;
	if (h->rank == RANK_DEAD)
		return HOST_DEAD;
	if (subject_leaving(h))
		return HOST_LEAVING;
	if (!subject_known(h))
		return HOST_UNKNOWN;
	return h->rank == RANK_SUSPECT ? HOST_SUSPECT : HOST_LIVE;
}

uint64_t member_incarnation(const member_t *member, pimento_id_t id)
{
	const member_host_t *h = subject_find(member, id);

	return h ? h->incarnation : 0;
}

uint32_t member_live(const member_t *member, pimento_id_t *ids, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < member->count; i++) {
		if (!subject_live(&member->hosts[i]))
			continue;
		if (n < max)
			ids[n] = member->hosts[i].id;
		n++;
	}
	return n;
}

static uint64_t weight(pimento_id_t endpoint, pimento_id_t host)
{
	pimento_random_t mix;

	pimento_random_init(&mix, endpoint ^ (host * 0x9e3779b97f4a7c15ULL));
	return pimento_random_next(&mix);
}

pimento_id_t member_owner(const member_t *member, pimento_id_t endpoint)
{
	return member_successor(member, endpoint, 0);
}

pimento_id_t member_successor(const member_t *member, pimento_id_t endpoint,
			      pimento_id_t former)
{
	pimento_id_t owner = 0;
	uint64_t best = 0;

	for (uint32_t i = 0; i < member->count; i++) {
		const member_host_t *h = &member->hosts[i];
		uint64_t w;

		if (!subject_live(h) || h->id == former)
			continue;
		w = weight(endpoint, h->id);
		if (owner && w <= best)
			continue;
		best = w;
		owner = h->id;
	}
	return owner;
}

double member_reachable(const member_t *member, pimento_usec_t span,
			pimento_usec_t now)
{
	uint32_t alive = 0;
	uint32_t lost = 0;

	for (uint32_t i = 0; i < member->count; i++) {
		const member_host_t *h = &member->hosts[i];

		if (subject_alive(h))
			alive++;
		else if (!h->endpoint && h->rank == RANK_DEAD &&
			 !subject_leaving(h) && now - h->since < span)
			lost++;
	}
	return alive ? (double)alive / (alive + lost) : 1.0;
}

double member_share(const member_t *member)
{
	uint32_t published = 0;
	uint32_t alive = 0;

	for (uint32_t i = 0; i < member->count; i++) {
		const member_host_t *h = &member->hosts[i];

		if (!h->listed || h->endpoint)
			continue;
		published++;
		if (h->rank != RANK_DEAD)
			alive++;
	}
	if (!published || !alive)
		return 1.0;
	return (double)alive / published;
}
