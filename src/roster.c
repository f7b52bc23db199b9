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
/* A host that was started alone waits so long for the first peer. */
#define DISCOVERY_ALONE (500 * PIMENTO_MSEC)
/* Quiet hosts are written to in one of so many turns. */
#define QUIET_TURNS 8

/* Between probes; facts and ages ride on them. */
#define PROBE_PERIOD (150 * PIMENTO_MSEC)
/* Probes and acks between two drains. */
#define OUTBOX 256
/* Two hosts that are not paused tell each other the same number. */
#define SETTLED 1

int roster_init(roster_t *roster, uint32_t self, uint64_t incarnation)
{
	const member_options_t options = { .self = self,
					   .incarnation = incarnation,
					   .seed = incarnation,
					   .period = PROBE_PERIOD,
					   .facts = MESSAGE_FACTS_MAX };
	int error;

	memset(roster, 0, sizeof(*roster));
	roster->self = self;
	error = outbox_init(&roster->out, OUTBOX);
	if (!error)
		error = member_init(&roster->member, &options, &roster->out);
	roster->member.revision = SETTLED;
	return error;
}

void roster_finish(roster_t *roster)
{
	for (uint32_t i = 0; i < roster->count; i++)
		free(roster->peers[i]);
	free(roster->peers);
	member_finish(&roster->member);
	outbox_finish(&roster->out);
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
	return member_meet(&roster->member, now, address);
}

static void take_counts(roster_peer_t *peer, const roster_note_t *note)
{
	peer->load_count = note->load_count;
	memcpy(peer->loads, note->loads, sizeof(peer->loads));
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		peer->revisions[kind] = note->copies[kind].revision;
}

/* Takes what a note says of hosts, also if a later one came before it. */
static int take_membership(roster_t *roster, const roster_note_t *note,
			   pimento_usec_t now)
{
	const message_probe_t *told = &note->membership;
	member_t *member = &roster->member;
	int error = 0;

	for (uint32_t i = 0; i < told->count && !error; i++) {
		const message_fact_t *fact = &told->facts[i];

		if (fact->state != HOST_DEAD &&
		    member_state(member, fact->subject) == HOST_UNKNOWN)
			error = roster_add(roster, (uint32_t)fact->subject,
					   false, now);
	}
	if (note->probe == ROSTER_NO_PROBE)
		member_learn(member, now, note->address, told);
	else
		member_receive_probe(member, now, note->address,
				     note->probe == ROSTER_ACK ? MESSAGE_ACK
							       : MESSAGE_PROBE,
				     told);
	return error;
}

static bool goes_before(const roster_known_reader_t *a,
			const roster_known_reader_t *b)
{
	return spread(a->address) < spread(b->address);
}

/* The reader that goes if another is to have its place. */
static roster_known_reader_t *last_reader(roster_t *roster)
{
	roster_known_reader_t *last = &roster->readers[0];

	for (uint32_t i = 1; i < roster->reader_count; i++)
		if (goes_before(last, &roster->readers[i]))
			last = &roster->readers[i];
	return last;
}

static void add_reader(roster_t *roster, const roster_known_reader_t *reader)
{
	for (uint32_t i = 0; i < roster->reader_count; i++) {
		roster_known_reader_t *known = &roster->readers[i];

		if (known->address != reader->address)
			continue;
		if (known->at < reader->at)
			known->at = reader->at;
		return;
	}
	if (roster->reader_count < ROSTER_READERS_MAX)
		roster->readers[roster->reader_count++] = *reader;
	else if (goes_before(reader, last_reader(roster)))
		*last_reader(roster) = *reader;
}

static void forget_readers(roster_t *roster, pimento_usec_t now)
{
	for (uint32_t i = roster->reader_count; i-- > 0;)
		if (now - roster->readers[i].at >= BELIEVED)
			roster->readers[i] =
				roster->readers[--roster->reader_count];
}

static void take_readers(roster_t *roster, const roster_note_t *note,
			 pimento_usec_t now)
{
	for (uint32_t i = 0; i < note->reader_count; i++) {
		const roster_reader_t *told = &note->readers[i];
		const roster_known_reader_t reader = { told->address,
						       now - told->age };

		if (told->age < BELIEVED && told->address != roster->self)
			add_reader(roster, &reader);
	}
	forget_readers(roster, now);
}

void roster_tell_readers(roster_t *roster, bool reader, pimento_usec_t now,
			 roster_note_t *note)
{
	forget_readers(roster, now);
	note->reader_count = 0;
	if (reader)
		note->readers[note->reader_count++] =
			(roster_reader_t){ roster->self, 0 };
	for (uint32_t i = 0; i < roster->reader_count &&
			     note->reader_count < ROSTER_READERS_MAX;
	     i++)
		note->readers[note->reader_count++] = (roster_reader_t){
			roster->readers[i].address,
			now - roster->readers[i].at,
		};
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
			      pimento_usec_t fresh[REPLICA_KIND_COUNT])
{
	roster_peer_t *peer = find(roster, note->address);

	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		fresh[kind] = INT64_MIN;
	if (note->address == roster->self || !note->address)
		return NULL;
	if (take_membership(roster, note, now))
		return NULL;
	take_readers(roster, note, now);
	if (!peer && !roster_add(roster, note->address, false, now))
		peer = find(roster, note->address);
	if (!peer)
		return NULL;
	if (peer->heard && peer->incarnation == note->incarnation &&
	    note->stamp <= peer->their_stamp)
		return NULL;
	roster->heard_any = true;
	peer->heard = true;
	peer->incarnation = note->incarnation;
	peer->their_stamp = note->stamp;
	peer->heard_at = now;
	take_counts(peer, note);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		fresh[kind] = fresh_since(note, &note->copies[kind], now);
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

void roster_tick(roster_t *roster, pimento_usec_t now)
{
	member_tick(&roster->member, now);
}

bool roster_next_probe(roster_t *roster, uint32_t *address, roster_note_t *note)
{
	pimento_id_t to;

	if (!outbox_take(&roster->out, &to, &roster->message))
		return false;
	*address = (uint32_t)to;
	note->probe =
		roster->message.kind == MESSAGE_ACK ? ROSTER_ACK : ROSTER_PROBE;
	note->membership = roster->message.u.probe;
	return true;
}

pimento_usec_t roster_stamp_of(const roster_t *roster, uint32_t address)
{
	const roster_peer_t *peer = find(roster, address);

	return peer ? peer->their_stamp : 0;
}

uint64_t roster_incarnation(const roster_t *roster)
{
	return roster->member.options.incarnation;
}

void roster_tell_members(roster_t *roster, roster_note_t *note)
{
	note->probe = ROSTER_NO_PROBE;
	note->membership.count = 0;
	member_tell(&roster->member, &note->membership);
}

static bool is_live(const roster_t *roster, uint32_t address)
{
	host_state_t state = member_state(&roster->member, address);

	return state == HOST_LIVE || state == HOST_SUSPECT;
}

bool roster_has_news(const roster_t *roster)
{
	return roster->member.untold > ROSTER_FACTS_CALM;
}

uint32_t roster_hosts(const roster_t *roster, pimento_usec_t now)
{
	uint32_t hosts = 1;

	for (uint32_t i = 0; i < roster->count; i++)
		if (roster->peers[i]->seed ||
		    now - roster->peers[i]->heard_at < FORGOTTEN ||
		    is_live(roster, roster->peers[i]->address))
			hosts++;
	return hosts;
}

bool roster_is_discovering(const roster_t *roster, pimento_usec_t now)
{
	pimento_usec_t up = now - roster->started_at;

	return (!roster->heard_any && up < DISCOVERY_ALONE) ||
	       (up < DISCOVERY_MOST &&
		now - roster->last_added_at < DISCOVERY_IDLE);
}

bool roster_believed(const roster_peer_t *peer, pimento_usec_t now)
{
	return peer->heard && now - peer->heard_at < BELIEVED;
}

bool roster_is_first(const roster_t *roster)
{
	uint32_t before = 0;

	for (uint32_t i = 0; i < roster->count; i++)
		if (spread(roster->peers[i]->address) < spread(roster->self))
			before++;
	return before < ROSTER_READERS;
}

/* Known readers; first counts those that would stay before us. */
static uint32_t count_readers(const roster_t *roster, pimento_usec_t now,
			      uint32_t *first)
{
	uint32_t readers = 0;

	*first = 0;
	for (uint32_t i = 0; i < roster->reader_count; i++) {
		const roster_known_reader_t *reader = &roster->readers[i];

		if (now - reader->at >= BELIEVED)
			continue;
		readers++;
		if (spread(reader->address) < spread(roster->self))
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

uint32_t roster_owner(const roster_t *roster, pimento_id_t endpoint)
{
	pimento_id_t owner = member_owner(&roster->member, endpoint);

	return owner ? (uint32_t)owner : roster->self;
}

uint32_t roster_successor(const roster_t *roster, pimento_id_t endpoint,
			  uint32_t former)
{
	pimento_id_t owner =
		member_successor(&roster->member, endpoint, former);

	return owner ? (uint32_t)owner : roster->self;
}

uint32_t roster_live(const roster_t *roster)
{
	return member_live(&roster->member, NULL, 0);
}

double roster_part(const roster_t *roster, pimento_usec_t span,
		   pimento_usec_t now)
{
	return member_reachable(&roster->member, span, now);
}

uint64_t roster_changes(const roster_t *roster)
{
	return roster->member.changes;
}

void roster_leave(roster_t *roster, pimento_usec_t now)
{
	member_leave(&roster->member, now);
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
