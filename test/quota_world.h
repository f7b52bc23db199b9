#ifndef QUOTA_WORLD_H
#define QUOTA_WORLD_H

/*
 * An account's quota over many hosts in virtual time: real rosters, real
 * owners, requests that come in at all hosts. Hosts are killed, frozen and cut
 * from each other.
 */

#include "quota_fleet.h"
#include "roster_world.h"

#define QUOTA_WORLD_STEP_MS 10
#define QUOTA_WORLD_SECONDS_MAX 32
#define QUOTA_WORLD_STEPS (QUOTA_WORLD_SECONDS_MAX * 1000 / QUOTA_WORLD_STEP_MS)
#define QUOTA_WORLD_TIERS 3

typedef struct quota_world_host {
	quota_fleet_t fleet;
	uint32_t waiting[QUOTA_WORLD_TIERS]; /* asked while it was down */
} quota_world_host_t;

typedef struct quota_world {
	roster_world_t rosters;
	quota_world_host_t *hosts;
	pimento_id_t account;
	quota_limit_t limit;
	uint64_t version;
	double tokens; /* of each request */
	pimento_usec_t window;
	uint32_t step;
	uint32_t turn; /* of the hosts that callers reach */
	double owed[QUOTA_WORLD_TIERS]; /* tokens still to be asked for */
	uint64_t ticket; /* a multiple of the tiers, and then the tier */
	double admitted[QUOTA_WORLD_STEPS]; /* tokens */
	double asked_of[QUOTA_WORLD_TIERS]; /* tokens, counted while counting */
	double given_to[QUOTA_WORLD_TIERS];
	bool counting;
} quota_world_t;

void quota_world_init(quota_world_t *world, uint32_t hosts, uint64_t seed);
void quota_world_finish(quota_world_t *world);

void quota_world_kill(quota_world_t *world, uint32_t host);
/* first: of the whole system. */
void quota_world_start(quota_world_t *world, uint32_t host, bool first);

/* One step in which callers ask for so many times the rate, by tier. */
void quota_world_step(quota_world_t *world,
		      const double times[QUOTA_WORLD_TIERS]);

/* Most tokens admitted in any window of the steps so far. */
double quota_world_most(const quota_world_t *world);
/* Tokens admitted from one second of the run to another. */
double quota_world_admitted(const quota_world_t *world, uint32_t from_s,
			    uint32_t to_s);
/* The host that owns the account, as a host that runs sees it. */
uint32_t quota_world_owner(const quota_world_t *world);

#endif
