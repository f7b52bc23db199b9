#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

/*
 * How many requests this host may send to a second endpoint. The operator
 * bounds the sum over all hosts in a sliding window: a share of the requests
 * of a service, and a fixed number beside it.
 */

#include "../pimentoshelf.h"

#define RETRY_BUDGET_SLICES 10

typedef struct retry_budget_limits {
	pimento_usec_t window;
	double ratio; /* retries for each request */
	double slack; /* retries of all hosts together, beside the share */
} retry_budget_limits_t;

typedef struct retry_budget {
	uint32_t requests[RETRY_BUDGET_SLICES];
	uint32_t retries[RETRY_BUDGET_SLICES];
	int64_t slice;
} retry_budget_t;

void retry_budget_add_request(retry_budget_t *budget,
			      const retry_budget_limits_t *limits,
			      pimento_usec_t now);

/* Takes one repeat if the budget has it; hosts is how many share the slack. */
bool retry_budget_take(retry_budget_t *budget,
		       const retry_budget_limits_t *limits, uint32_t hosts,
		       pimento_usec_t now);

#endif
