#ifndef PEERS_SIM_H
#define PEERS_SIM_H

/*
 * Simulates the peers and membership state of many entry hosts in virtual time:
 * hosts die, restart and freeze, links lose messages and are cut, also in one
 * direction only. The seed determines everything.
 */

#include "peers.h"

#define PEERS_SIM_HOSTS_MAX 1000

typedef struct peers_sim_host {
	peers_t peers;
	uint64_t incarnation;
	bool up;
	bool leaving;
	pimento_usec_t frozen_until;
	bool drops_input; /* the host sends messages, but receives none */
	/* hosts with different values cannot reach one another */
	uint8_t partition;
	/* quota whose reports the host sends in gossip messages; NULL: none */
	quota_t *quota;
	departures_t departures; /* that the host reports and has heard of */
	uint64_t messages_sent;
	/* encoded size of the messages sent, if measure_bytes */
	uint64_t bytes_sent;
} peers_sim_host_t;

typedef struct peers_sim {
	peers_sim_host_t *hosts;
	uint32_t count;
	/* gossip targets per host every 100 ms, besides probes */
	uint32_t targets;
	pimento_random_t random;
	pimento_usec_t now;
	uint32_t step;
	double loss;
	bool measure_bytes; /* whether bytes_sent is counted */
} peers_sim_t;

void peers_sim_init(peers_sim_t *sim, uint32_t count, uint64_t seed);
/* True for the hosts that all hosts have as their seeds. */
bool peers_sim_is_seed(const peers_sim_t *sim, uint32_t host);
void peers_sim_finish(peers_sim_t *sim);

/* Convert the index of a host to its address, and an address to an index. */
uint32_t peers_sim_address(uint32_t host);
uint32_t peers_sim_host_index(uint32_t address);

void peers_sim_start(peers_sim_t *sim, uint32_t host);
void peers_sim_kill(peers_sim_t *sim, uint32_t host);
void peers_sim_run(peers_sim_t *sim, pimento_usec_t span);

/*
 * Number of endpoints, out of the given number, on whose owner the running
 * hosts disagree.
 */
uint32_t peers_sim_count_disputed_owners(const peers_sim_t *sim,
					 uint32_t endpoints);

/*
 * Number of wrong liveness states: a running host considers a host live that is
 * down or leaving, or the reverse. 0 only if there are none; else only the
 * errors of one host are counted.
 */
uint32_t peers_sim_count_wrong_states(const peers_sim_t *sim);

/*
 * Runs until peers_sim_count_wrong_states() is 0. Returns the time that this
 * took, or limit if it was not reached.
 */
pimento_usec_t peers_sim_converge(peers_sim_t *sim, pimento_usec_t limit);

#endif
