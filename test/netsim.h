#ifndef NETSIM_H
#define NETSIM_H

/*
 * A few pure hosts in virtual time, with fakes of links, endpoints and
 * callers, for tests of what must hold under faults. Everything follows from
 * one seed. It checks the promises itself, at every step, and counts what it
 * broke; it is no model of a fleet's speed.
 */

#include "host.h"

#define NETSIM_HOSTS 5
#define NETSIM_ENDPOINTS 4
#define NETSIM_KEYS_MAX 512
#define NETSIM_REQUESTS_MAX 4096

typedef struct netsim_faults {
	double loss; /* of a message */
	double duplication;
	pimento_usec_t delay_max;
	double connect_refused; /* connections that endpoints refuse */
	double disconnect; /* exchanges that break after the commit */
	double crash; /* chance of a host, each virtual second */
	double pause;
	double partition; /* chance of a partition of the fleet, each virtual second */
	double caller_leave; /* callers who leave while they wait */
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
	uint64_t refused[3]; /* by verdict */
	uint64_t replayed;
	uint64_t resumed;
	uint64_t unanswered; /* on hosts that never died: must be zero */
} netsim_counts_t;

typedef struct netsim netsim_t;

/* Returns NULL without memory. keyed_share is the share of requests with a key. */
netsim_t *netsim_new(uint64_t seed, const netsim_faults_t *faults,
		     double keyed_share);
void netsim_free(netsim_t *netsim);

/* Runs with faults for a span, then heals and lets everything end. */
void netsim_run(netsim_t *netsim, pimento_usec_t span);

/* The first promise that was broken, or NULL. */
const char *netsim_violation(const netsim_t *netsim);
const netsim_counts_t *netsim_counts(const netsim_t *netsim);

#endif
