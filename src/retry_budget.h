#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

/*
 * Limits the retries, that is the requests that this host sends to another
 * endpoint after a failure. The operator bounds the sum over all hosts in a
 * sliding window to a ratio of the service's requests plus a fixed number.
 */

#include "../pimentoshelf.h"

/* Of the window, and one more, since the newest one is not over yet. */
#define RETRY_BUDGET_SLICES 21

typedef struct retry_budget_limits {
	pimento_usec_t window;
	double ratio; /* retries per request */
	/* retries of all hosts together in a window, on top of the ratio */
	double slack;
} retry_budget_limits_t;

typedef struct retry_budget {
	uint32_t requests[RETRY_BUDGET_SLICES];
	uint32_t retries[RETRY_BUDGET_SLICES];
	int64_t slice;
	/* what this host spent before may still count; 0: it spent nothing */
	pimento_usec_t blind_until;
} retry_budget_t;

/* started_at: when this process started; others of this host may have ended. */
void retry_budget_init(retry_budget_t *budget,
		       const retry_budget_limits_t *limits,
		       pimento_usec_t started_at);

void retry_budget_add_request(retry_budget_t *budget,
			      const retry_budget_limits_t *limits,
			      pimento_usec_t now);

/*
 * Takes one retry from the budget; returns false if none is left. hosts is the
 * number of hosts that share the slack.
 */
bool retry_budget_take(retry_budget_t *budget,
		       const retry_budget_limits_t *limits, uint32_t hosts,
		       pimento_usec_t now);

/* What counts in the window: no request before it, each retry in it. */
typedef struct retry_budget_usage {
	uint32_t requests;
	uint32_t retries;
} retry_budget_usage_t;

retry_budget_usage_t retry_budget_usage(retry_budget_t *budget,
					const retry_budget_limits_t *limits,
					pimento_usec_t now);

/* A retry taken at taken_at is sent now, and counts from now on. */
void retry_budget_sent(retry_budget_t *budget,
		       const retry_budget_limits_t *limits,
		       pimento_usec_t taken_at, pimento_usec_t now);

/* Gives back a retry taken at taken_at that was not used. */
void retry_budget_return(retry_budget_t *budget,
			 const retry_budget_limits_t *limits,
			 pimento_usec_t taken_at, pimento_usec_t now);

#endif
