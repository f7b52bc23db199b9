#ifndef NETSIM_H
#define NETSIM_H

/*
 * Simulates a few hosts in virtual time, with fake links, endpoints and callers
 * and random faults, all determined by one seed. It checks at every step that no
 * request is dispatched twice, reported falsely as not run, or left unanswered,
 * and records the first violation. It does not model performance.
 */

#include "host.h"

#define NETSIM_HOSTS 5
#define NETSIM_ENDPOINTS 4
#define NETSIM_KEYS_MAX 512
#define NETSIM_REQUESTS_MAX 4096

typedef struct netsim_faults {
	double loss; /* share of messages lost */
	double duplication; /* share of messages delivered twice */
	/* longest extra delay, drawn for a tenth of the messages; 0: none */
	pimento_usec_t delay_max;
	double connect_refused; /* share of connections that endpoints refuse */
	double disconnect; /* share of exchanges that break after the commit */
	double crash; /* probability per host and virtual second */
	double pause; /* probability per host and virtual second */
	double partition; /* probability per virtual second of a change: half
			     of the changes split the network, half heal it */
	double caller_leave; /* share of callers that disconnect */
} netsim_faults_t;

typedef struct netsim_counts {
	uint64_t steps;
	uint64_t messages;
	uint64_t lost;
	uint64_t duplicated;
	uint64_t crashes;
	uint64_t pauses;
	uint64_t partitions;
	uint64_t submitted;
	uint64_t commits;
	uint64_t done;
	uint64_t refused[3]; /* indexed by pimento_verdict_t */
	uint64_t replayed;
	uint64_t resumed;
	/* requests that a host without a crash never answered; must be 0 */
	uint64_t unanswered;
} netsim_counts_t;

typedef struct netsim netsim_t;

/*
 * Returns a simulation, to be freed with netsim_free(), or NULL if its hosts
 * cannot be started. keyed_share is the share of requests with a key.
 */
netsim_t *netsim_new(uint64_t seed, const netsim_faults_t *faults,
		     double keyed_share);
void netsim_free(netsim_t *netsim);

/*
 * Runs with faults and new requests for a span of virtual time, then without
 * them until every request must have been answered.
 */
void netsim_run(netsim_t *netsim, pimento_usec_t span);

/* Returns a description of the first violation, or NULL. */
const char *netsim_violation(const netsim_t *netsim);
const netsim_counts_t *netsim_counts(const netsim_t *netsim);

#endif
