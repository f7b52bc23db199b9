/*
 * Each host keeps to its own requests' share and an even part of the slack, so
 * that the sum holds through partitions and mass restarts without a word
 * between hosts. A host that restarts forgets what it has spent; keeping a part
 * of the slack back covers hosts that restart within one window.
 */

#include "retry_budget.h"

/* Parts used of the ratio and of the even share of the slack. */
#define RATIO_PART 0.85
#define SLACK_PART 0.6

static void advance(retry_budget_t *budget, const retry_budget_terms_t *terms,
		    pimento_usec_t now)
{
	int64_t part = now / (terms->window / RETRY_BUDGET_PARTS);
	int64_t steps = part - budget->part;

	if (steps > RETRY_BUDGET_PARTS)
		steps = RETRY_BUDGET_PARTS;
	for (int64_t i = 0; i < steps; i++) {
		budget->requests[(part - i) % RETRY_BUDGET_PARTS] = 0;
		budget->repeats[(part - i) % RETRY_BUDGET_PARTS] = 0;
	}
	budget->part = part;
}

void retry_budget_request(retry_budget_t *budget,
			  const retry_budget_terms_t *terms, pimento_usec_t now)
{
	advance(budget, terms, now);
	budget->requests[budget->part % RETRY_BUDGET_PARTS]++;
}

bool retry_budget_take(retry_budget_t *budget,
		       const retry_budget_terms_t *terms, uint32_t hosts,
		       pimento_usec_t now)
{
	double requests = 0;
	double repeats = 0;
	double most;

	advance(budget, terms, now);
	for (uint32_t i = 0; i < RETRY_BUDGET_PARTS; i++) {
		requests += budget->requests[i];
		repeats += budget->repeats[i];
	}
	most = terms->ratio * requests * RATIO_PART +
	       terms->slack * SLACK_PART / (hosts ? hosts : 1);
	if (repeats + 1 > most)
		return false;
	budget->repeats[budget->part % RETRY_BUDGET_PARTS]++;
	return true;
}
