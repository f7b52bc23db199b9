/*
 * The encoding of notes. What comes from the network is bounded before it is
 * copied into the fixed tables of a note.
 */

#include "roster.h"

#include <string.h>

#include "peer.pb-c.h"

#define AGE_UNKNOWN UINT32_MAX

typedef struct packed {
	Peer__Load loads[ROSTER_LOADS_MAX];
	Peer__Load *load_pointers[ROSTER_LOADS_MAX];
	Peer__Use uses[ROSTER_USES_MAX];
	Peer__Use *use_pointers[ROSTER_USES_MAX];
} packed_t;

static uint32_t age_msec(pimento_usec_t age)
{
	if (age < 0 || age / PIMENTO_MSEC + 1 >= AGE_UNKNOWN)
		return AGE_UNKNOWN;
	return (uint32_t)(age / PIMENTO_MSEC) + 1; /* never younger */
}

static uint64_t whole(double tokens)
{
	return tokens > 0 ? (uint64_t)tokens : 0;
}

static void point(Peer__Note *message, const roster_note_t *note,
		  packed_t *packed)
{
	for (uint32_t i = 0; i < note->load_count; i++) {
		peer__load__init(&packed->loads[i]);
		packed->loads[i].endpoint = note->loads[i].endpoint;
		packed->loads[i].running = note->loads[i].running;
		packed->loads[i].reading = note->loads[i].reading;
		packed->load_pointers[i] = &packed->loads[i];
	}
	for (uint32_t i = 0; i < note->use_count; i++) {
		peer__use__init(&packed->uses[i]);
		packed->uses[i].account = note->uses[i].account;
		packed->uses[i].admitted = whole(note->uses[i].admitted);
		packed->uses[i].level = whole(note->uses[i].level);
		packed->use_pointers[i] = &packed->uses[i];
	}
	message->n_loads = note->load_count;
	message->loads = packed->load_pointers;
	message->n_uses = note->use_count;
	message->uses = packed->use_pointers;
}

int roster_pack(const roster_note_t *note, uint8_t *bytes, size_t size)
{
	Peer__Note message = PEER__NOTE__INIT;
	packed_t packed;

	message.address = note->address;
	message.incarnation = note->incarnation;
	message.stamp = (uint64_t)note->stamp;
	message.echo = (uint64_t)note->echo;
	message.fresh_age_ms = age_msec(note->age);
	message.revision = note->revision;
	message.reader = note->reader;
	message.n_members = note->member_count;
	message.members = (uint32_t *)note->members;
	point(&message, note, &packed);
	if (peer__note__get_packed_size(&message) > size)
		return PIMENTO_ETOOBIG;
	return (int)peer__note__pack(&message, bytes);
}

static uint32_t least(size_t count, uint32_t most)
{
	return count < most ? (uint32_t)count : most;
}

static void copy(roster_note_t *note, const Peer__Note *message)
{
	*note = (roster_note_t){
		.address = message->address,
		.incarnation = message->incarnation,
		.stamp = (pimento_usec_t)message->stamp,
		.echo = (pimento_usec_t)message->echo,
		.age = PIMENTO_NEVER,
		.revision = message->revision,
		.reader = message->reader != 0,
		.load_count = least(message->n_loads, ROSTER_LOADS_MAX),
		.use_count = least(message->n_uses, ROSTER_USES_MAX),
		.member_count = least(message->n_members, ROSTER_MEMBERS_MAX),
	};
	if (message->fresh_age_ms != AGE_UNKNOWN)
		note->age = message->fresh_age_ms * PIMENTO_MSEC;
	for (uint32_t i = 0; i < note->load_count; i++) {
		note->loads[i].endpoint = message->loads[i]->endpoint;
		note->loads[i].running = message->loads[i]->running;
		note->loads[i].reading = message->loads[i]->reading;
	}
	for (uint32_t i = 0; i < note->use_count; i++) {
		note->uses[i].account = message->uses[i]->account;
		note->uses[i].admitted = (double)message->uses[i]->admitted;
		note->uses[i].level = (double)message->uses[i]->level;
	}
	for (uint32_t i = 0; i < note->member_count; i++)
		note->members[i] = message->members[i];
}

int roster_unpack(roster_note_t *note, const uint8_t *bytes, size_t length)
{
	Peer__Note *message = peer__note__unpack(NULL, length, bytes);

	if (!message)
		return PIMENTO_EPARSE;
	copy(note, message);
	peer__note__free_unpacked(message, NULL);
	return 0;
}
