#include "quota_world.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define STEP (QUOTA_WORLD_STEP_MS * PIMENTO_MSEC)
#define TICK_STEPS 5

/* The context of a host's ops. */
static quota_world_t *current;

static uint32_t host_of(const void *context)
{
	return (uint32_t)((const quota_world_host_t *)context - current->hosts);
}

static bool reaches(const roster_world_t *rosters, uint32_t from, uint32_t to)
{
	const roster_world_host_t *a = &rosters->hosts[from];
	const roster_world_host_t *b = &rosters->hosts[to];

	return b->up && b->frozen_until <= rosters->now && !b->deaf &&
	       a->side == b->side;
}

static void on_send(void *context, uint32_t address,
		    const quota_message_t *message)
{
	roster_world_t *rosters = &current->rosters;
	uint32_t to = roster_world_index(address);

	if (to >= rosters->count || !reaches(rosters, host_of(context), to) ||
	    pimento_random_unit(&rosters->random) < rosters->loss)
		return;
	quota_fleet_receive(&current->hosts[to].fleet, message, rosters->now);
}

static void on_decided(void *context, uint64_t ticket,
		       const quota_verdict_t *verdict)
{
	uint32_t tier = (uint32_t)(ticket % QUOTA_WORLD_TIERS);

	(void)context;
	if (!verdict->admitted)
		return;
	current->admitted[current->step] += current->tokens;
	if (current->counting)
		current->given_to[tier] += current->tokens;
}

static const quota_fleet_ops_t ops = { .send = on_send, .decided = on_decided };

void quota_world_start(quota_world_t *world, uint32_t host, bool first)
{
	quota_fleet_setup_t setup = {
		.ops = &ops,
		.context = &world->hosts[host],
		.roster = &world->rosters.hosts[host].roster,
		.window = world->window,
		.first_start = first,
	};

	roster_world_start(&world->rosters, host);
	quota_fleet_init(&world->hosts[host].fleet, &setup);
	world->rosters.hosts[host].quota = &world->hosts[host].fleet.owned;
}

void quota_world_kill(quota_world_t *world, uint32_t host)
{
	if (!world->rosters.hosts[host].up)
		return;
	world->rosters.hosts[host].quota = NULL;
	quota_fleet_finish(&world->hosts[host].fleet);
	roster_world_kill(&world->rosters, host);
}

void quota_world_init(quota_world_t *world, uint32_t hosts, uint64_t seed)
{
	memset(world, 0, sizeof(*world));
	roster_world_init(&world->rosters, hosts, seed);
	world->hosts = calloc(hosts, sizeof(*world->hosts));
	world->account = 77;
	world->limit = (quota_limit_t){ 200000, 200000 };
	world->version = 1;
	world->tokens = 3000;
	world->window = 8 * PIMENTO_SEC;
	current = world;
	for (uint32_t i = 0; i < hosts; i++)
		quota_world_start(world, i, true);
	roster_world_settle(&world->rosters, 10 * PIMENTO_SEC);
}

void quota_world_finish(quota_world_t *world)
{
	for (uint32_t i = 0; i < world->rosters.count; i++)
		quota_world_kill(world, i);
	roster_world_finish(&world->rosters);
	free(world->hosts);
}

static void ask(quota_world_t *world, uint32_t host, uint32_t tier)
{
	quota_request_t request = {
		.account = world->account,
		.limit = world->limit,
		.version = world->version,
		.tier = tier,
		.tokens = world->tokens,
	};

	world->ticket += QUOTA_WORLD_TIERS;
	request.ticket = world->ticket + tier;
	if (world->counting)
		world->asked_of[tier] += world->tokens;
	ck_assert_int_eq(quota_fleet_ask(&world->hosts[host].fleet, &request,
					 world->rosters.now),
			 0);
}

static bool runs(const quota_world_t *world, uint32_t host)
{
	const roster_world_host_t *h = &world->rosters.hosts[host];

	return h->up && h->frozen_until <= world->rosters.now;
}

static void come(quota_world_t *world, uint32_t tier, double times)
{
	world->owed[tier] +=
		times * world->limit.per_second * QUOTA_WORLD_STEP_MS / 1000.0;
	for (; world->owed[tier] >= world->tokens;
	     world->owed[tier] -= world->tokens)
		world->hosts[world->turn++ * 7 % world->rosters.count]
			.waiting[tier]++;
}

void quota_world_step(quota_world_t *world,
		      const double times[QUOTA_WORLD_TIERS])
{
	roster_world_run(&world->rosters, STEP);
	for (uint32_t tier = 0; tier < QUOTA_WORLD_TIERS; tier++)
		come(world, tier, times[tier]);
	for (uint32_t i = 0; i < world->rosters.count; i++) {
		uint32_t *waiting = world->hosts[i].waiting;

		if (!runs(world, i))
			continue;
		for (uint32_t tier = 0; tier < QUOTA_WORLD_TIERS; tier++)
			for (; waiting[tier]; waiting[tier]--)
				ask(world, i, tier);
		if ((world->step + i) % TICK_STEPS == 0)
			quota_fleet_tick(&world->hosts[i].fleet,
					 world->rosters.now);
	}
	world->step++;
}

double quota_world_most(const quota_world_t *world)
{
	const uint32_t steps = (uint32_t)(world->window / STEP);
	double most = 0;
	double sum = 0;

	for (uint32_t i = 0; i < world->step; i++) {
		sum += world->admitted[i];
		if (i >= steps)
			sum -= world->admitted[i - steps];
		if (sum > most)
			most = sum;
	}
	return most;
}

double quota_world_admitted(const quota_world_t *world, uint32_t from_s,
			    uint32_t to_s)
{
	const uint32_t a_second = 1000 / QUOTA_WORLD_STEP_MS;
	double sum = 0;

	for (uint32_t i = from_s * a_second;
	     i < to_s * a_second && i < world->step; i++)
		sum += world->admitted[i];
	return sum;
}

uint32_t quota_world_owner(const quota_world_t *world)
{
	for (uint32_t i = 0; i < world->rosters.count; i++)
		if (runs(world, i))
			return roster_world_index(
				roster_owner(&world->rosters.hosts[i].roster,
					     world->account));
	return 0;
}
