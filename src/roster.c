/*
 * Freshness travels with an echo. A note may have lain in the socket of a host
 * that was frozen; counted from its arrival, the age that it states would look
 * seconds younger than it is, and keys that were taken away would be honoured.
 * So a statement counts from the receiver's own stamp that it echoes: that
 * stamp was surely taken before the statement was written.
 */

#include "roster.h"

#include <stdlib.h>
#include <string.h>

/* A peer's counts are believed for so long; notes come every 100 ms or so. */
#define BELIEVED (2500 * PIMENTO_MSEC)
/* A peer that was not heard for this long is only tried now and then. */
#define QUIET (5 * PIMENTO_SEC)
/* A host that never answered, or was silent as long, is dropped. */
#define FORGOTTEN (60 * PIMENTO_SEC)
/* Discovery ends after DISCOVERY_MOST, or DISCOVERY_IDLE without a new peer. */
#define DISCOVERY_MOST (5 * PIMENTO_SEC)
#define DISCOVERY_IDLE (200 * PIMENTO_MSEC)
/* Quiet hosts are written to in one of so many turns. */
#define QUIET_TURNS 8

void roster_init(roster_t *roster, uint32_t self)
{
	*roster = (roster_t){ .self = self };
}

void roster_finish(roster_t *roster)
{
	for (uint32_t i = 0; i < roster->count; i++)
		free(roster->peers[i]);
	free(roster->peers);
}

/* An order of the hosts in which neighbours lie apart. */
static uint32_t spread(uint32_t address)
{
	return address * 2654435761u;
}

static roster_peer_t *find(const roster_t *roster, uint32_t address)
{
	for (uint32_t i = 0; i < roster->count; i++)
		if (roster->peers[i]->address == address)
			return roster->peers[i];
	return NULL;
}

static roster_peer_t *add(roster_t *roster, uint32_t address,
			  pimento_usec_t now)
{
	roster_peer_t **grown;
	roster_peer_t *peer;

	grown = realloc(roster->peers,
			(roster->count + 1) * sizeof(roster_peer_t *));
	if (!grown)
		return NULL;
	roster->peers = grown;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	peer->address = address;
	peer->added_at = now;
	roster->last_added_at = now;
	if (!roster->started_at)
		roster->started_at = now;
	grown[roster->count++] = peer;
	return peer;
}

int roster_add(roster_t *roster, uint32_t address, bool seed,
	       pimento_usec_t now)
{
	roster_peer_t *peer = find(roster, address);

	if (address == roster->self)
		return 0;
	if (!peer)
		peer = add(roster, address, now);
	if (!peer)
		return PIMENTO_ENOMEM;
	peer->seed = peer->seed || seed;
	return 0;
}

static void take_counts(roster_peer_t *peer, const roster_note_t *note)
{
	peer->load_count = note->load_count;
	memcpy(peer->loads, note->loads, sizeof(peer->loads));
	for (int kind = 0; kind < MIRROR_KIND_COUNT; kind++)
		peer->revisions[kind] = note->copies[kind].revision;
	peer->reader = note->reader;
}

static pimento_usec_t fresh_since(const roster_note_t *note,
				  const roster_copy_t *copy, pimento_usec_t now)
{
	if (!note->echo || note->echo > now || copy->age == PIMENTO_NEVER)
		return INT64_MIN;
	return note->echo - copy->age;
}

roster_peer_t *roster_receive(roster_t *roster, const roster_note_t *note,
			      pimento_usec_t now,
			      pimento_usec_t fresh[MIRROR_KIND_COUNT])
{
	roster_peer_t *peer = find(roster, note->address);

	for (int kind = 0; kind < MIRROR_KIND_COUNT; kind++)
		fresh[kind] = INT64_MIN;
	if (note->address == roster->self)
		return NULL;
	if (!peer)
		peer = add(roster, note->address, now);
	if (!peer)
		return NULL;
	if (peer->heard && peer->incarnation == note->incarnation &&
	    note->stamp <= peer->their_stamp)
		return NULL;
	peer->heard = true;
	peer->incarnation = note->incarnation;
	peer->their_stamp = note->stamp;
	peer->heard_at = now;
	take_counts(peer, note);
	for (int kind = 0; kind < MIRROR_KIND_COUNT; kind++)
		fresh[kind] = fresh_since(note, &note->copies[kind], now);
	for (uint32_t i = 0; i < note->member_count; i++)
		if (roster_add(roster, note->members[i], false, now))
			return NULL;
	return peer;
}

static bool is_quiet(const roster_peer_t *peer, pimento_usec_t now)
{
	return !peer->heard || now - peer->heard_at > QUIET;
}

static bool is_forgotten(const roster_peer_t *peer, pimento_usec_t now)
{
	pimento_usec_t since = peer->heard ? peer->heard_at : peer->added_at;

	return !peer->seed && now - since > FORGOTTEN;
}

static void forget(roster_t *roster, pimento_usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < roster->count; i++) {
		if (is_forgotten(roster->peers[i], now))
			free(roster->peers[i]);
		else
			roster->peers[kept++] = roster->peers[i];
	}
	roster->count = kept;
}

uint32_t roster_targets(roster_t *roster, pimento_usec_t now, uint32_t most,
			roster_peer_t **targets)
{
	uint32_t found = 0;

	forget(roster, now);
	for (uint32_t i = 0; i < roster->count && found < most; i++) {
		roster_peer_t *peer =
			roster->peers[roster->turn++ % roster->count];

		if (is_quiet(peer, now) && roster->turn % QUIET_TURNS &&
		    now - peer->added_at > QUIET)
			continue;
		targets[found++] = peer;
	}
	return found;
}

void roster_members(roster_t *roster, pimento_usec_t now, roster_note_t *note)
{
	note->member_count = 0;
	for (uint32_t i = 0; i < roster->count; i++) {
		roster_peer_t *peer =
			roster->peers[roster->member_turn++ % roster->count];

		if (note->member_count == ROSTER_MEMBERS_MAX)
			return;
		if (!is_quiet(peer, now))
			note->members[note->member_count++] = peer->address;
	}
}

uint32_t roster_hosts(const roster_t *roster, pimento_usec_t now)
{
	uint32_t hosts = 1;

	for (uint32_t i = 0; i < roster->count; i++)
		if (roster->peers[i]->seed ||
		    now - roster->peers[i]->heard_at < FORGOTTEN)
			hosts++;
	return hosts;
}

bool roster_is_discovering(const roster_t *roster, pimento_usec_t now)
{
	return now - roster->started_at < DISCOVERY_MOST &&
	       now - roster->last_added_at < DISCOVERY_IDLE;
}

bool roster_believed(const roster_peer_t *peer, pimento_usec_t now)
{
	return peer->heard && now - peer->heard_at < BELIEVED;
}

/* Readers that are heard; first counts those that would stay before us. */
static uint32_t count_readers(const roster_t *roster, pimento_usec_t now,
			      uint32_t *first)
{
	uint32_t readers = 0;

	*first = 0;
	for (uint32_t i = 0; i < roster->count; i++) {
		const roster_peer_t *peer = roster->peers[i];

		if (!peer->reader || !roster_believed(peer, now))
			continue;
		readers++;
		if (spread(peer->address) < spread(roster->self))
			(*first)++;
	}
	return readers;
}

bool roster_should_read(const roster_t *roster, bool reader, uint64_t draw,
			pimento_usec_t now)
{
	uint32_t first;
	uint32_t readers = count_readers(roster, now, &first);

	if (reader)
		return first < ROSTER_READERS;
	/* Each that is missing is made up for by about one of the others. */
	if (readers >= ROSTER_READERS)
		return false;
	return draw % roster_hosts(roster, now) < ROSTER_READERS - readers;
}

/* Mixed so that each endpoint orders the hosts in another way. */
static uint64_t owner_weight(pimento_id_t endpoint, uint32_t address)
{
	uint64_t z = endpoint ^ (address * 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	return z ^ (z >> 31);
}

uint32_t roster_owner(const roster_t *roster, pimento_id_t endpoint,
		      pimento_usec_t now)
{
	uint32_t owner = roster->self;
	uint64_t most = owner_weight(endpoint, owner);

	for (uint32_t i = 0; i < roster->count; i++) {
		const roster_peer_t *peer = roster->peers[i];
		uint64_t weight = owner_weight(endpoint, peer->address);

		if (weight > most && roster_believed(peer, now)) {
			most = weight;
			owner = peer->address;
		}
	}
	return owner;
}

uint32_t roster_peer_running(const roster_peer_t *peer, pimento_id_t endpoint,
			     pimento_usec_t now)
{
	for (uint32_t i = 0; i < peer->load_count; i++)
		if (peer->loads[i].endpoint == (uint32_t)endpoint)
			return roster_believed(peer, now)
				       ? peer->loads[i].running
				       : 0;
	return 0;
}

roster_load_t roster_load(const roster_t *roster, pimento_id_t endpoint,
			  pimento_usec_t now)
{
	roster_load_t sum = { .endpoint = (uint32_t)endpoint };

	for (uint32_t i = 0; i < roster->count; i++) {
		const roster_peer_t *peer = roster->peers[i];

		if (!roster_believed(peer, now))
			continue;
		for (uint32_t j = 0; j < peer->load_count; j++) {
			if (peer->loads[j].endpoint != sum.endpoint)
				continue;
			sum.running += peer->loads[j].running;
			sum.reading += peer->loads[j].reading;
		}
	}
	return sum;
}
