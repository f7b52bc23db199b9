#ifndef PEERS_SIM_H
#define PEERS_SIM_H

/*
 * The rosters of many entry hosts in virtual time: hosts that die, restart and
 * stand still, links that lose and are cut one way. Everything follows from
 * the seed.
 */

#include "peers.h"

#define PEERS_SIM_HOSTS_MAX 1000

typedef struct peers_sim_host {
	peers_t roster;
	uint64_t incarnation;
	bool up;
	bool leaving;
	pimento_usec_t frozen_until;
	bool drops_input; /* sends, and receives nothing */
	uint8_t partition; /* hosts of different sides cannot reach one another */
	quota_t *quota; /* whose reports go with its notes; NULL none */
	uint64_t messages_sent; /* sent */
	uint64_t bytes_sent; /* of them, encoded */
} peers_sim_host_t;

typedef struct peers_sim {
	peers_sim_host_t *hosts;
	uint32_t count;
	uint32_t targets; /* of plain notes, each 100 ms */
	pimento_random_t random;
	pimento_usec_t now;
	uint32_t step;
	double loss;
	bool measure_bytes; /* count bytes */
} peers_sim_t;

void peers_sim_init(peers_sim_t *sim, uint32_t count, uint64_t seed);
void peers_sim_finish(peers_sim_t *sim);

/* The address of a host, by its index, and the reverse. */
uint32_t peers_sim_address(uint32_t host);
uint32_t peers_sim_host_index(uint32_t address);

void peers_sim_start(peers_sim_t *sim, uint32_t host);
void peers_sim_kill(peers_sim_t *sim, uint32_t host);
void peers_sim_run(peers_sim_t *sim, pimento_usec_t span);

/* Of so many endpoints, those whose owner is not the same for all hosts. */
uint32_t peers_sim_disputed_owners(const peers_sim_t *sim, uint32_t endpoints);

/* Hosts that are up and hold another for live that is not, or the reverse. */
/* No less than one; not all are counted. */
uint32_t peers_sim_wrong_states(const peers_sim_t *sim);

/* Runs until misjudged is 0; returns the span, or limit if it never was. */
pimento_usec_t peers_sim_converge(peers_sim_t *sim, pimento_usec_t limit);

#endif
