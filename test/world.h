#ifndef WORLD_H
#define WORLD_H

/*
 * A few pure hosts in virtual time, with fakes of links, endpoints and
 * callers, for tests of what must hold under faults. Everything follows from
 * one seed. It checks the promises itself, at every step, and counts what it
 * broke; it is no model of a fleet's speed.
 */

#include "host.h"

#define WORLD_HOSTS 5
#define WORLD_ENDPOINTS 4
#define WORLD_KEYS 512
#define WORLD_REQUESTS 4096

typedef struct world_faults {
	double loss; /* of a message */
	double doubling;
	pimento_usec_t delay_max;
	double refused; /* connections that endpoints refuse */
	double broken; /* exchanges that break after the commit */
	double crash; /* chance of a host, each virtual second */
	double pause;
	double cut; /* chance of a cut of the fleet, each virtual second */
	double leave; /* callers who leave while they wait */
} world_faults_t;

typedef struct world_counts {
	uint64_t steps;
	uint64_t messages;
	uint64_t lost;
	uint64_t doubled;
	uint64_t crashes;
	uint64_t pauses;
	uint64_t cuts;
	uint64_t submitted;
	uint64_t commits;
	uint64_t done;
	uint64_t refused[3]; /* by verdict */
	uint64_t replayed;
	uint64_t followed;
	uint64_t unanswered; /* on hosts that never died: must be zero */
} world_counts_t;

typedef struct world world_t;

/* Returns NULL without memory. keyed is the share of requests with a key. */
world_t *world_new(uint64_t seed, const world_faults_t *faults, double keyed);
void world_free(world_t *world);

/* Runs with faults for a span, then heals and lets everything end. */
void world_run(world_t *world, pimento_usec_t span);

/* The first promise that was broken, or NULL. */
const char *world_broken(const world_t *world);
const world_counts_t *world_counts(const world_t *world);

#endif
