#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

/*
 * How many requests this host may send to a second endpoint. The operator
 * bounds the sum over all hosts in a sliding window: a share of the requests
 * of a service, and a fixed number beside it.
 */

#include "../pimentoshelf.h"

#define RETRY_BUDGET_PARTS 10

typedef struct retry_budget_terms {
	pimento_usec_t window;
	double ratio; /* repeats for each request */
	double slack; /* repeats of all hosts together, beside the share */
} retry_budget_terms_t;

typedef struct retry_budget {
	uint32_t requests[RETRY_BUDGET_PARTS];
	uint32_t repeats[RETRY_BUDGET_PARTS];
	int64_t part;
} retry_budget_t;

void retry_budget_request(retry_budget_t *budget,
			  const retry_budget_terms_t *terms,
			  pimento_usec_t now);

/* Takes one repeat if the budget has it; hosts is how many share the slack. */
bool retry_budget_take(retry_budget_t *budget,
		       const retry_budget_terms_t *terms, uint32_t hosts,
		       pimento_usec_t now);

#endif
