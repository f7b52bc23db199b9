#ifndef QUOTA_SIM_H
#define QUOTA_SIM_H

/*
 * An account's quota over many hosts in virtual time: real rosters, real
 * owners, requests that come in at all hosts. Hosts are killed, frozen and cut
 * from each other.
 */

#include "quota_fleet.h"
#include "peers_sim.h"

#define QUOTA_SIM_STEP_MS 10
#define QUOTA_SIM_SECONDS_MAX 32
#define QUOTA_SIM_STEPS_MAX (QUOTA_SIM_SECONDS_MAX * 1000 / QUOTA_SIM_STEP_MS)
#define QUOTA_SIM_TIERS 3

typedef struct quota_sim_host {
	quota_fleet_t fleet;
	uint32_t unsent_requests[QUOTA_SIM_TIERS]; /* asked while it was down */
} quota_sim_host_t;

typedef struct quota_sim {
	peers_sim_t peers;
	quota_sim_host_t *hosts;
	pimento_id_t account;
	quota_limit_t limit;
	uint64_t version;
	double tokens; /* of each request */
	pimento_usec_t window;
	uint32_t step;
	uint32_t next_host; /* of the hosts that callers reach */
	double unsent_tokens
		[QUOTA_SIM_TIERS]; /* tokens still to be asked for */
	uint64_t ticket; /* a multiple of the tiers, and then the tier */
	double admitted[QUOTA_SIM_STEPS_MAX]; /* tokens */
	double requested_tokens
		[QUOTA_SIM_TIERS]; /* tokens, counted while counting */
	double admitted_tokens[QUOTA_SIM_TIERS];
	bool counting;
} quota_sim_t;

void quota_sim_init(quota_sim_t *sim, uint32_t hosts, uint64_t seed);
void quota_sim_finish(quota_sim_t *sim);

void quota_sim_kill(quota_sim_t *sim, uint32_t host);
/* is_first_start: of the whole system. */
void quota_sim_start(quota_sim_t *sim, uint32_t host, bool is_first_start);

/* One step in which callers ask for so many rate_multiple the rate, by tier. */
void quota_sim_step(quota_sim_t *sim,
		    const double rate_multiple[QUOTA_SIM_TIERS]);

/* Most tokens admitted in any window of the steps so far. */
double quota_sim_window_max(const quota_sim_t *sim);
/* Tokens admitted from one second of the run to another. */
double quota_sim_admitted(const quota_sim_t *sim, uint32_t from_s,
			  uint32_t to_s);
/* The host that owns the account, as a host that runs sees it. */
uint32_t quota_sim_owner(const quota_sim_t *sim);

#endif
