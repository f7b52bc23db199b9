#ifndef ROSTER_WORLD_H
#define ROSTER_WORLD_H

/*
 * The rosters of many entry hosts in virtual time: hosts that die, restart and
 * stand still, links that lose and are cut one way. Everything follows from
 * the seed.
 */

#include "roster.h"

#define ROSTER_WORLD_MAX 1000

typedef struct roster_world_host {
	roster_t roster;
	uint64_t incarnation;
	bool up;
	bool leaving;
	pimento_usec_t frozen_until;
	bool deaf; /* sends, and receives nothing */
	uint8_t side; /* hosts of different sides cannot reach one another */
	quota_t *quota; /* whose reports go with its notes; NULL none */
	uint64_t notes; /* sent */
	uint64_t bytes; /* of them, encoded */
} roster_world_host_t;

typedef struct roster_world {
	roster_world_host_t *hosts;
	uint32_t count;
	uint32_t targets; /* of plain notes, each 100 ms */
	pimento_random_t random;
	pimento_usec_t now;
	uint32_t step;
	double loss;
	bool measure; /* count bytes */
} roster_world_t;

void roster_world_init(roster_world_t *world, uint32_t count, uint64_t seed);
void roster_world_finish(roster_world_t *world);

/* The address of a host, by its index, and the reverse. */
uint32_t roster_world_address(uint32_t host);
uint32_t roster_world_index(uint32_t address);

void roster_world_start(roster_world_t *world, uint32_t host);
void roster_world_kill(roster_world_t *world, uint32_t host);
void roster_world_run(roster_world_t *world, pimento_usec_t span);

/* Of so many endpoints, those whose owner is not the same for all hosts. */
uint32_t roster_world_disputed(const roster_world_t *world, uint32_t endpoints);

/* Hosts that are up and hold another for live that is not, or the reverse. */
/* No less than one; not all are counted. */
uint32_t roster_world_misjudged(const roster_world_t *world);

/* Runs until misjudged is 0; returns the span, or limit if it never was. */
pimento_usec_t roster_world_settle(roster_world_t *world, pimento_usec_t limit);

#endif
