/*
 * The state of a member is a join: the higher version wins; at the same version
 * the higher incarnation, then the worse liveness. Leaving is a mark on an
 * incarnation, and marks are only ever added. So the order and number of
 * messages do not matter, and hosts that receive the same facts end up with the
 * same state.
 *
 * An update is sent a bounded number of times and can miss a host. Therefore
 * each message also carries a few facts in rotation (anti-entropy).
 */

#include "member_table.h"

#include <stdlib.h>
#include <string.h>

#define UPDATE_SENDS 3 /* messages per log2(hosts) that carry an update */
/* anti-entropy facts per message, taken from all members in turn */
#define ANTI_ENTROPY_FACTS 2
#define VERSION_MAX (1U << 30) /* facts with a higher version are malformed */

uint32_t member_count_log2(uint32_t n)
{
	uint32_t bits = 1;

	while (n >>= 1)
		bits++;
	return bits;
}

/* Index of the first member whose id is not less than the given id. */
static uint32_t lower_bound(const membership_t *m, pimento_id_t id)
{
	uint32_t low = 0;
	uint32_t high = m->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (m->members[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

member_t *member_find(const membership_t *m, pimento_id_t id)
{
	uint32_t i = lower_bound(m, id);

	if (i < m->count && m->members[i].id == id)
		return &m->members[i];
	return NULL;
}

static int grow_table(membership_t *m)
{
	uint32_t capacity = m->capacity ? m->capacity * 2 : 16;
	member_t *members;
	pimento_id_t *order;

	if (m->count < m->capacity)
		return PIMENTO_OK;
	if (m->count >= MEMBERSHIP_MEMBERS_MAX)
		return PIMENTO_EFULL;
	members = realloc(m->members, capacity * sizeof(*members));
	if (!members)
		return PIMENTO_ENOMEM;
	m->members = members;
	order = realloc(m->probe_order, capacity * sizeof(*order));
	if (!order)
		return PIMENTO_ENOMEM;
	m->probe_order = order;
	m->capacity = capacity;
	return PIMENTO_OK;
}

/* A new host gets a random position in the rest of the current probe round. */
static void probe_order_add(membership_t *m, pimento_id_t id)
{
	uint32_t left = m->probe_order_count - m->probe_order_next + 1;
	uint32_t at = m->probe_order_next +
		      (uint32_t)pimento_random_below(&m->random, left);

	m->probe_order[m->probe_order_count] = m->probe_order[at];
	m->probe_order[at] = id;
	m->probe_order_count++;
}

static void probe_order_remove(membership_t *m, pimento_id_t id)
{
	uint32_t i = 0;

	while (i < m->probe_order_count && m->probe_order[i] != id)
		i++;
	if (i == m->probe_order_count)
		return;
	memmove(&m->probe_order[i], &m->probe_order[i + 1],
		(m->probe_order_count - i - 1) * sizeof(*m->probe_order));
	m->probe_order_count--;
	if (i < m->probe_order_next)
		m->probe_order_next--;
}

int member_add(membership_t *m, pimento_id_t id, bool endpoint,
	       member_t **added)
{
	int error = grow_table(m);
	member_t *member;
	uint32_t i;

	if (error)
		return error;
	i = lower_bound(m, id);
	member = &m->members[i];
	memmove(member + 1, member, (m->count - i) * sizeof(*member));
	memset(member, 0, sizeof(*member));
	member->id = id;
	member->is_endpoint = endpoint;
	m->count++;
	if (!endpoint && id != m->options.self)
		probe_order_add(m, id);
	*added = member;
	return PIMENTO_OK;
}

void member_remove(membership_t *m, uint32_t i)
{
	member_t *member = &m->members[i];

	if (member->sends_left)
		m->pending_updates--;
	probe_order_remove(m, member->id);
	memmove(member, member + 1, (m->count - i - 1) * sizeof(*member));
	m->count--;
	m->owner_changes++;
}

bool member_is_leaving(const member_t *member)
{
	return member->has_leaving_incarnation &&
	       member->leaving_incarnation == member->incarnation;
}

/* A host that is not listed counts only once a fact about it has arrived. */
bool member_is_known(const member_t *member)
{
	return member->listed || member->version;
}

bool member_is_running_host(const member_t *member)
{
	return !member->is_endpoint && member->liveness != LIVENESS_DEAD &&
	       member_is_known(member);
}

bool member_is_live_host(const member_t *member)
{
	return member_is_running_host(member) && !member_is_leaving(member);
}

void member_queue_update(membership_t *m, member_t *member)
{
	if (!member->sends_left)
		m->pending_updates++;
	member->sends_left =
		(uint8_t)(UPDATE_SENDS *
			  member_count_log2(m->probe_order_count + 1));
}

void member_set_liveness(membership_t *m, pimento_usec_t now, member_t *member,
			 member_liveness_t liveness)
{
	if (member->liveness == liveness)
		return;
	if (member->liveness == LIVENESS_DEAD || liveness == LIVENESS_DEAD)
		m->owner_changes++;
	member->liveness = (uint8_t)liveness;
	member->liveness_since = now;
	member_queue_update(m, member);
}

void member_set_leaving(membership_t *m, member_t *member)
{
	if (member_is_leaving(member))
		return;
	member->has_leaving_incarnation = true;
	member->leaving_incarnation = member->incarnation;
	m->owner_changes++;
	member_queue_update(m, member);
}

member_t *member_self(const membership_t *m)
{
	return member_find(m, m->options.self);
}

static void fill_fact(const member_t *member, host_state_t state,
		      message_fact_t *fact)
{
	fact->subject = member->id;
	fact->incarnation = member->incarnation;
	fact->version = member->version;
	fact->state = (uint8_t)state;
	fact->is_endpoint = member->is_endpoint;
}

static void put_fact(message_probe_t *p, const member_t *member,
		     host_state_t state)
{
	for (uint32_t i = 0; i < p->count; i++)
		if (p->facts[i].subject == member->id &&
		    p->facts[i].state == state)
			return;
	if (p->count < MESSAGE_FACTS_MAX)
		fill_fact(member, state, &p->facts[p->count++]);
}

/*
 * Appends the member's state to the message. A member that is leaving and also
 * suspect or dead is described by two facts, which the receiver merges.
 */
void member_put_facts(message_probe_t *p, const member_t *member)
{
	if (member_is_leaving(member))
		put_fact(p, member, HOST_LEAVING);
	if (member->liveness == LIVENESS_SUSPECT)
		put_fact(p, member, HOST_SUSPECT);
	else if (member->liveness == LIVENESS_DEAD)
		put_fact(p, member, HOST_DEAD);
	else if (!member_is_leaving(member))
		put_fact(p, member, HOST_LIVE);
}

/*
 * Adds the states of members that have from min_left to max_left sends left, in
 * turn, until the message holds `room` facts.
 */
static void put_updates(membership_t *m, message_probe_t *p, uint32_t room,
			uint32_t min_left, uint32_t max_left)
{
	uint32_t from = m->update_cursor;

	for (uint32_t i = 0; i < m->count && p->count < room; i++) {
		uint32_t j = (from + i) % m->count;
		member_t *member = &m->members[j];

		if (member->sends_left < min_left ||
		    member->sends_left > max_left ||
		    member->last_message == m->message_number)
			continue;
		member_put_facts(p, member);
		member->last_message = m->message_number;
		m->update_cursor = j + 1;
		if (!--member->sends_left)
			m->pending_updates--;
	}
}

/*
 * A message has room for `room` facts, and members with the most sends left go
 * first. Returns the highest number of sends left that at least `room` members
 * have or exceed; 1 if there are fewer such members.
 */
static uint32_t sends_left_threshold(const membership_t *m, uint32_t room)
{
	uint32_t counts[UINT8_MAX + 1] = { 0 };
	uint32_t from = UINT8_MAX;

	for (uint32_t i = 0; i < m->count; i++)
		counts[m->members[i].sends_left]++;
	for (uint32_t found = counts[from]; found < room && from > 1;)
		found += counts[--from];
	return from;
}

/*
 * Updates that were sent least often go first, in turn among those sent equally
 * often. When a data centre starts or is lost, updates about its hosts fill
 * every message for a minute or more; if a death had to wait for its turn among
 * them, so would the requests at the dead host.
 */
void member_put_updates(membership_t *m, message_probe_t *p)
{
	uint32_t room = m->options.facts_max - ANTI_ENTROPY_FACTS - 1;
	uint32_t from;

	m->message_number++;
	if (!m->pending_updates)
		return;
	from = sends_left_threshold(m, room);
	put_updates(m, p, room, from + 1, UINT8_MAX);
	put_updates(m, p, room, from, from);
}

void member_put_anti_entropy_facts(membership_t *m, message_probe_t *p)
{
	uint32_t sent = 0;

	for (uint32_t i = 0; i < m->count && sent < ANTI_ENTROPY_FACTS; i++) {
		member_t *member;

		if (m->anti_entropy_cursor >= m->count)
			m->anti_entropy_cursor = 0;
		member = &m->members[m->anti_entropy_cursor++];
		if (member->id == m->options.self ||
		    (!member->version && !member_is_leaving(member)))
			continue;
		member_put_facts(p, member);
		sent++;
	}
}

static void raise_self_version(membership_t *m, uint32_t above)
{
	member_t *self = member_self(m);

	if (self->version <= above)
		self->version = above + 1;
	member_queue_update(m, self);
}

static void merge_self_fact(membership_t *m, const message_fact_t *fact)
{
	member_t *self = member_self(m);
	bool own_incarnation = fact->incarnation == self->incarnation;

	if (own_incarnation && fact->state == HOST_LEAVING)
		member_set_leaving(m, self);
	if (fact->version < self->version)
		return;
	if (!own_incarnation || fact->state == HOST_SUSPECT ||
	    fact->state == HOST_DEAD)
		raise_self_version(m, fact->version);
}

static member_liveness_t fact_liveness(const message_fact_t *fact)
{
	if (fact->state == HOST_DEAD)
		return LIVENESS_DEAD;
	return fact->state == HOST_SUSPECT ? LIVENESS_SUSPECT : LIVENESS_LIVE;
}

/* Applies a fact with a newer version, perhaps of another incarnation. */
static void apply_newer_fact(membership_t *m, pimento_usec_t now,
			     member_t *member, const message_fact_t *fact)
{
	bool was_live = member_is_live_host(member);

	if (!member->incarnation && fact->incarnation &&
	    member->has_leaving_incarnation && !member->leaving_incarnation)
		member->leaving_incarnation = fact->incarnation;
	/*
	 * The leaving mark is bound to no incarnation: the newer fact decides.
	 */
	if (!fact->incarnation && !member->leaving_incarnation)
		member->has_leaving_incarnation = false;
	member->incarnation = fact->incarnation;
	member->version = fact->version;
	member_set_liveness(m, now, member, fact_liveness(fact));
	member_queue_update(m, member);
	if (was_live != member_is_live_host(member))
		m->owner_changes++;
}

static member_t *find_or_add_member(membership_t *m, const message_fact_t *fact)
{
	member_t *member = member_find(m, fact->subject);

	if (member)
		return member->is_endpoint == (fact->is_endpoint != 0) ? member
								       : NULL;
	if (fact->state == HOST_DEAD)
		return NULL;
	if (!fact->version && !fact->is_endpoint)
		return NULL;
	if (member_add(m, fact->subject, fact->is_endpoint != 0, &member))
		return NULL;
	return member;
}

void member_merge_fact(membership_t *m, pimento_usec_t now,
		       const message_fact_t *fact)
{
	member_t *member;
	bool newer;

	if (!fact->subject || !fact->state || fact->state > HOST_DEAD ||
	    fact->version > VERSION_MAX)
		return;
	if (fact->subject == m->options.self) {
		merge_self_fact(m, fact);
		return;
	}
	member = find_or_add_member(m, fact);
	if (!member)
		return;
	newer = fact->version > member->version ||
		(fact->version == member->version &&
		 fact->incarnation > member->incarnation);
	if (newer)
		apply_newer_fact(m, now, member, fact);
	if (fact->incarnation != member->incarnation)
		return;
	if (fact->state == HOST_LEAVING &&
	    (fact->incarnation || fact->version == member->version))
		member_set_leaving(m, member);
	if (fact->version == member->version &&
	    fact_liveness(fact) > member->liveness)
		member_set_liveness(m, now, member, fact_liveness(fact));
}
