#include "roster_world.h"

#include "packet.h"

#include <stdlib.h>
#include <string.h>

#define STEP (10 * PIMENTO_MSEC)
#define PROBE_STEPS 5 /* an edge ticks 20 times a second */
#define NOTE_STEPS 10
#define SEEDS 3
#define TARGETS 2
#define CLOCK_START (1000 * PIMENTO_SEC)

uint32_t roster_world_address(uint32_t host)
{
	return 0x0a000001u + (host / 200 << 8) + host % 200;
}

uint32_t roster_world_index(uint32_t address)
{
	uint32_t offset = address - 0x0a000001u;

	return (offset >> 8) * 200 + (offset & 0xff);
}

void roster_world_init(roster_world_t *world, uint32_t count, uint64_t seed)
{
	*world = (roster_world_t){ .count = count,
				   .targets = TARGETS,
				   .now = CLOCK_START };
	world->hosts = calloc(count, sizeof(*world->hosts));
	pimento_random_init(&world->random, seed);
}

void roster_world_finish(roster_world_t *world)
{
	for (uint32_t i = 0; i < world->count; i++)
		roster_world_kill(world, i);
	free(world->hosts);
}

void roster_world_start(roster_world_t *world, uint32_t host)
{
	roster_world_host_t *h = &world->hosts[host];

	h->incarnation = pimento_random_next(&world->random);
	roster_init(&h->roster, roster_world_address(host), h->incarnation);
	for (uint32_t i = 0; i < SEEDS; i++)
		roster_add(&h->roster,
			   roster_world_address(i * world->count / SEEDS), true,
			   world->now);
	h->up = true;
	h->leaving = false;
}

void roster_world_kill(roster_world_t *world, uint32_t host)
{
	if (!world->hosts[host].up)
		return;
	roster_finish(&world->hosts[host].roster);
	world->hosts[host].up = false;
}

static bool runs(const roster_world_t *world, const roster_world_host_t *h)
{
	return h->up && h->frozen_until <= world->now;
}

static void send_probes(roster_world_t *world, uint32_t host);

static void measure(roster_world_host_t *from, const roster_note_t *note)
{
	uint8_t bytes[PACKET_BYTES_MAX];
	packet_t packet = { .kind = PACKET_GOSSIP };
	int length;

	packet.as.gossip = *note;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	from->bytes += length > 0 ? (uint64_t)length : 0;
}

/* What a frozen host would read after it wakes is lost instead. */
static void deliver(roster_world_t *world, uint32_t from, roster_note_t *note,
		    uint32_t address)
{
	pimento_usec_t fresh[REPLICA_KIND_COUNT];
	quota_t *quota = world->hosts[from].quota;
	uint32_t to = roster_world_index(address);

	note->address = roster_world_address(from);
	note->incarnation = world->hosts[from].incarnation;
	note->stamp = ++world->now; /* no two notes at the same moment */
	note->quota_count =
		quota ? quota_collect_reports(quota, note->quotas,
					      ROSTER_QUOTAS_MAX, world->now)
		      : 0;
	world->hosts[from].notes++;
	if (world->measure)
		measure(&world->hosts[from], note);
	if (to >= world->count || !runs(world, &world->hosts[to]) ||
	    world->hosts[to].deaf ||
	    world->hosts[to].side != world->hosts[from].side ||
	    pimento_random_unit(&world->random) < world->loss)
		return;
	roster_receive(&world->hosts[to].roster, note, world->now, fresh);
	for (uint32_t i = 0; world->hosts[to].quota && i < note->quota_count;
	     i++)
		quota_apply_report(world->hosts[to].quota,
				   note->quotas[i].account,
				   note->quotas[i].level,
				   world->now - note->quotas[i].age);
	send_probes(world, to);
}

static void send_probes(roster_world_t *world, uint32_t host)
{
	roster_note_t note = { 0 };
	uint32_t address;

	while (roster_next_probe(&world->hosts[host].roster, &address, &note))
		deliver(world, host, &note, address);
}

static void send_notes(roster_world_t *world, uint32_t host)
{
	roster_world_host_t *h = &world->hosts[host];
	roster_peer_t *targets[TARGETS];
	roster_note_t note = { 0 };
	uint32_t count;

	roster_tell_members(&h->roster, &note);
	count = roster_targets(&h->roster, world->now, world->targets, targets);
	for (uint32_t i = 0; i < count; i++)
		deliver(world, host, &note, targets[i]->address);
}

void roster_world_run(roster_world_t *world, pimento_usec_t span)
{
	pimento_usec_t end = world->now + span;

	for (; world->now < end; world->step++) {
		pimento_usec_t begun = world->now;
		uint32_t step = world->step;

		for (uint32_t i = 0; i < world->count; i++) {
			if (!runs(world, &world->hosts[i]))
				continue;
			if ((step + i) % PROBE_STEPS == 0) {
				roster_tick(&world->hosts[i].roster,
					    world->now);
				send_probes(world, i);
			}
			if (world->targets && (step + i) % NOTE_STEPS == 0)
				send_notes(world, i);
		}
		if (world->now < begun + STEP)
			world->now = begun + STEP;
	}
}

uint32_t roster_world_disputed(const roster_world_t *world, uint32_t endpoints)
{
	uint32_t disputed = 0;

	for (uint32_t e = 1; e <= endpoints; e++) {
		uint32_t owner = 0;

		for (uint32_t i = 0; i < world->count; i++) {
			uint32_t seen;

			if (!runs(world, &world->hosts[i]))
				continue;
			seen = roster_owner(&world->hosts[i].roster,
					    e * 0x9e3779b97f4a7c15u);
			if (owner && seen != owner) {
				disputed++;
				break;
			}
			owner = seen;
		}
	}
	return disputed;
}

uint32_t roster_world_misjudged(const roster_world_t *world)
{
	uint32_t wrong = 0;

	/* one that errs is enough to know that they do not agree yet */
	for (uint32_t i = 0; i < world->count && !wrong; i++) {
		const roster_t *roster = &world->hosts[i].roster;

		for (uint32_t j = 0; j < world->count; j++) {
			const roster_world_host_t *other = &world->hosts[j];
			host_state_t state;
			bool live;

			if (!runs(world, &world->hosts[i]) || i == j)
				continue;
			state = member_state(&roster->member,
					     roster_world_address(j));
			live = state == HOST_LIVE || state == HOST_SUSPECT;
			wrong += live != (other->up && !other->leaving);
		}
	}
	return wrong;
}

pimento_usec_t roster_world_settle(roster_world_t *world, pimento_usec_t limit)
{
	const pimento_usec_t step = 100 * PIMENTO_MSEC;
	pimento_usec_t begun = world->now;

	while (roster_world_misjudged(world)) {
		if (world->now - begun >= limit)
			return limit;
		roster_world_run(world, step);
	}
	return world->now - begun;
}
