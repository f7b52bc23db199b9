/*
 * What is held of a subject is a join: the higher version wins, at the same
 * version the higher incarnation, then the worse state; leaving is a mark on
 * an incarnation that is only ever added. So the order and number of messages
 * do not matter, and hosts that hear the same end up holding the same.
 *
 * Rumours are told a bounded number of times and can miss a host. Therefore
 * each message also carries a few facts in rotation (anti-entropy).
 */

#include "subject.h"

#include <stdlib.h>
#include <string.h>

#define TELLS 3 /* times log2 of the fleet, a rumour is told */
#define SWEEP 2 /* facts told in rotation on each message */
#define VERSION_MAX (1U << 30) /* beyond it a fact is malformed */

uint32_t subject_log2(uint32_t n)
{
	uint32_t bits = 1;

	while (n >>= 1)
		bits++;
	return bits;
}

/* First index whose id is not below the one given. */
static uint32_t lower_bound(const member_t *m, pimento_id_t id)
{
	uint32_t low = 0;
	uint32_t high = m->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (m->hosts[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

member_host_t *subject_find(const member_t *m, pimento_id_t id)
{
	uint32_t i = lower_bound(m, id);

	if (i < m->count && m->hosts[i].id == id)
		return &m->hosts[i];
	return NULL;
}

static int reserve(member_t *m)
{
	uint32_t capacity = m->capacity ? m->capacity * 2 : 16;
	member_host_t *hosts;
	pimento_id_t *order;

	if (m->count < m->capacity)
		return PIMENTO_OK;
	if (m->count >= MEMBER_HOSTS_MAX)
		return PIMENTO_EFULL;
	hosts = realloc(m->hosts, capacity * sizeof(*hosts));
	if (!hosts)
		return PIMENTO_ENOMEM;
	m->hosts = hosts;
	order = realloc(m->order, capacity * sizeof(*order));
	if (!order)
		return PIMENTO_ENOMEM;
	m->order = order;
	m->capacity = capacity;
	return PIMENTO_OK;
}

/* A newcomer gets a random turn in what is left of the round. */
static void order_add(member_t *m, pimento_id_t id)
{
	uint32_t left = m->order_count - m->order_next + 1;
	uint32_t at = m->order_next +
		      (uint32_t)pimento_random_below(&m->random, left);

	m->order[m->order_count] = m->order[at];
	m->order[at] = id;
	m->order_count++;
}

static void order_remove(member_t *m, pimento_id_t id)
{
	uint32_t i = 0;

	while (i < m->order_count && m->order[i] != id)
		i++;
	if (i == m->order_count)
		return;
	memmove(&m->order[i], &m->order[i + 1],
		(m->order_count - i - 1) * sizeof(*m->order));
	m->order_count--;
	if (i < m->order_next)
		m->order_next--;
}

int subject_add(member_t *m, pimento_id_t id, bool endpoint,
		member_host_t **added)
{
	int error = reserve(m);
	member_host_t *h;
	uint32_t i;

	if (error)
		return error;
	i = lower_bound(m, id);
	h = &m->hosts[i];
	memmove(h + 1, h, (m->count - i) * sizeof(*h));
	memset(h, 0, sizeof(*h));
	h->id = id;
	h->endpoint = endpoint;
	m->count++;
	if (!endpoint && id != m->options.self)
		order_add(m, id);
	*added = h;
	return PIMENTO_OK;
}

void subject_drop(member_t *m, uint32_t i)
{
	member_host_t *h = &m->hosts[i];

	if (h->untold)
		m->untold--;
	order_remove(m, h->id);
	memmove(h, h + 1, (m->count - i - 1) * sizeof(*h));
	m->count--;
	m->changes++;
}

bool subject_leaving(const member_host_t *h)
{
	return h->has_left && h->left == h->incarnation;
}

/* Merely met hosts count only once they were heard. */
bool subject_known(const member_host_t *h)
{
	return h->listed || h->version;
}

bool subject_alive(const member_host_t *h)
{
	return !h->endpoint && h->rank != RANK_DEAD && subject_known(h);
}

bool subject_live(const member_host_t *h)
{
	return subject_alive(h) && !subject_leaving(h);
}

void subject_rumour(member_t *m, member_host_t *h)
{
	if (!h->untold)
		m->untold++;
	h->untold = (uint8_t)(TELLS * subject_log2(m->order_count + 1));
}

void subject_set_rank(member_t *m, pimento_usec_t now, member_host_t *h,
		      member_rank_t rank)
{
	if (h->rank == rank)
		return;
	if (h->rank == RANK_DEAD || rank == RANK_DEAD)
		m->changes++;
	h->rank = (uint8_t)rank;
	h->since = now;
	subject_rumour(m, h);
}

void subject_set_leaving(member_t *m, member_host_t *h)
{
	if (subject_leaving(h))
		return;
	h->has_left = true;
	h->left = h->incarnation;
	m->changes++;
	subject_rumour(m, h);
}

member_host_t *subject_self(const member_t *m)
{
	return subject_find(m, m->options.self);
}

static void fact_of(const member_host_t *h, host_state_t state,
		    message_fact_t *fact)
{
	fact->subject = h->id;
	fact->incarnation = h->incarnation;
	fact->version = h->version;
	fact->state = (uint8_t)state;
	fact->is_endpoint = h->endpoint;
}

static void put_fact(message_probe_t *p, const member_host_t *h,
		     host_state_t state)
{
	for (uint32_t i = 0; i < p->count; i++)
		if (p->facts[i].subject == h->id && p->facts[i].state == state)
			return;
	if (p->count < MESSAGE_FACTS_MAX)
		fact_of(h, state, &p->facts[p->count++]);
}

/* Leaving and a bad state are two facts; joined they say both. */
void subject_put(message_probe_t *p, const member_host_t *h)
{
	if (subject_leaving(h))
		put_fact(p, h, HOST_LEAVING);
	if (h->rank == RANK_SUSPECT)
		put_fact(p, h, HOST_SUSPECT);
	else if (h->rank == RANK_DEAD)
		put_fact(p, h, HOST_DEAD);
	else if (!subject_leaving(h))
		put_fact(p, h, HOST_LIVE);
}

/* Puts what is left to tell at least least and at most most times, in turn. */
static void put_untold(member_t *m, message_probe_t *p, uint32_t room,
		       uint32_t least, uint32_t most)
{
	uint32_t from = m->tell_next;

	for (uint32_t i = 0; i < m->count && p->count < room; i++) {
		uint32_t j = (from + i) % m->count;
		member_host_t *h = &m->hosts[j];

		if (h->untold < least || h->untold > most ||
		    h->told == m->telling)
			continue;
		subject_put(p, h);
		h->told = m->telling;
		m->tell_next = j + 1;
		if (!--h->untold)
			m->untold--;
	}
}

/* So often or more is left to tell what a message has room for. */
static uint32_t tell_from(const member_t *m, uint32_t room)
{
	uint32_t counts[UINT8_MAX + 1] = { 0 };
	uint32_t from = UINT8_MAX;

	for (uint32_t i = 0; i < m->count; i++)
		counts[m->hosts[i].untold]++;
	for (uint32_t found = counts[from]; found < room && from > 1;)
		found += counts[--from];
	return from;
}

/*
 * The freshest news goes first: what was told least often, in turn among those
 * told equally often. When a data centre starts or is lost, word of it fills
 * every message for a minute or more; a death told in turn with the rest would
 * wait that long, and requests with the dead host.
 */
void subject_put_rumours(member_t *m, message_probe_t *p)
{
	uint32_t room = m->options.facts - SWEEP - 1;
	uint32_t from;

	m->telling++;
	if (!m->untold)
		return;
	from = tell_from(m, room);
	put_untold(m, p, room, from + 1, UINT8_MAX);
	put_untold(m, p, room, from, from);
}

void subject_put_sweep(member_t *m, message_probe_t *p)
{
	uint32_t told = 0;

	for (uint32_t i = 0; i < m->count && told < SWEEP; i++) {
		member_host_t *h;

		if (m->sweep_next >= m->count)
			m->sweep_next = 0;
		h = &m->hosts[m->sweep_next++];
		if (h->id == m->options.self ||
		    (!h->version && !subject_leaving(h)))
			continue;
		subject_put(p, h);
		told++;
	}
}

static void raise_self(member_t *m, uint32_t above)
{
	member_host_t *self = subject_self(m);

	if (self->version <= above)
		self->version = above + 1;
	subject_rumour(m, self);
}

static void merge_self(member_t *m, const message_fact_t *fact)
{
	member_host_t *self = subject_self(m);
	bool mine = fact->incarnation == self->incarnation;

	if (mine && fact->state == HOST_LEAVING)
		subject_set_leaving(m, self);
	if (fact->version < self->version)
		return;
	if (!mine || fact->state == HOST_SUSPECT || fact->state == HOST_DEAD)
		raise_self(m, fact->version);
}

static member_rank_t rank_of(const message_fact_t *fact)
{
	if (fact->state == HOST_DEAD)
		return RANK_DEAD;
	return fact->state == HOST_SUSPECT ? RANK_SUSPECT : RANK_LIVE;
}

/* Takes over a newer version, perhaps of another incarnation. */
static void supersede(member_t *m, pimento_usec_t now, member_host_t *h,
		      const message_fact_t *fact)
{
	bool counted = subject_live(h);

	if (!h->incarnation && fact->incarnation && h->has_left && !h->left)
		h->left = fact->incarnation;
	/* No incarnation to bind a mark to: the newer word decides. */
	if (!fact->incarnation && !h->left)
		h->has_left = false;
	h->incarnation = fact->incarnation;
	h->version = fact->version;
	subject_set_rank(m, now, h, rank_of(fact));
	subject_rumour(m, h);
	if (counted != subject_live(h))
		m->changes++;
}

static member_host_t *meet_subject(member_t *m, const message_fact_t *fact)
{
	member_host_t *h = subject_find(m, fact->subject);

	if (h)
		return h->endpoint == (fact->is_endpoint != 0) ? h : NULL;
	if (fact->state == HOST_DEAD)
		return NULL;
	if (!fact->version && !fact->is_endpoint)
		return NULL;
	if (subject_add(m, fact->subject, fact->is_endpoint != 0, &h))
		return NULL;
	return h;
}

void subject_merge(member_t *m, pimento_usec_t now, const message_fact_t *fact)
{
	member_host_t *h;
	bool newer;

	if (!fact->subject || !fact->state || fact->state > HOST_DEAD ||
	    fact->version > VERSION_MAX)
		return;
	if (fact->subject == m->options.self) {
		merge_self(m, fact);
		return;
	}
	h = meet_subject(m, fact);
	if (!h)
		return;
	newer = fact->version > h->version ||
		(fact->version == h->version &&
		 fact->incarnation > h->incarnation);
	if (newer)
		supersede(m, now, h, fact);
	if (fact->incarnation != h->incarnation)
		return;
	if (fact->state == HOST_LEAVING &&
	    (fact->incarnation || fact->version == h->version))
		subject_set_leaving(m, h);
	if (fact->version == h->version && rank_of(fact) > h->rank)
		subject_set_rank(m, now, h, rank_of(fact));
}
