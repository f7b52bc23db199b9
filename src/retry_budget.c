/*
 * Each host retries at most the ratio of its own requests plus an even share of
 * the slack, so that the sum stays within the bound through network partitions
 * and mass restarts without communication between hosts. A restarted host has
 * lost its counts; the part of the slack that is not used covers hosts that
 * restart within one window.
 */

#include "retry_budget.h"

/* Fractions used of the ratio and of a host's even share of the slack. */
#define RATIO_SAFETY_FACTOR 0.85
#define SLACK_SAFETY_FACTOR 0.6

static int64_t slice_of(const retry_budget_limits_t *limits, pimento_usec_t at)
{
	return at / (limits->window / (RETRY_BUDGET_SLICES - 1));
}

static void advance_window(retry_budget_t *budget,
			   const retry_budget_limits_t *limits,
			   pimento_usec_t now)
{
	int64_t slice = slice_of(limits, now);
	int64_t steps = slice - budget->slice;

	if (steps > RETRY_BUDGET_SLICES)
		steps = RETRY_BUDGET_SLICES;
	for (int64_t i = 0; i < steps; i++) {
		budget->requests[(slice - i) % RETRY_BUDGET_SLICES] = 0;
		budget->retries[(slice - i) % RETRY_BUDGET_SLICES] = 0;
	}
	budget->slice = slice;
}

void retry_budget_add_request(retry_budget_t *budget,
			      const retry_budget_limits_t *limits,
			      pimento_usec_t now)
{
	advance_window(budget, limits, now);
	budget->requests[budget->slice % RETRY_BUDGET_SLICES]++;
}

retry_budget_usage_t retry_budget_usage(retry_budget_t *budget,
					const retry_budget_limits_t *limits,
					pimento_usec_t now)
{
	retry_budget_usage_t usage = { 0 };

	advance_window(budget, limits, now);
	for (uint32_t i = 0; i < RETRY_BUDGET_SLICES; i++) {
		usage.requests += budget->requests[i];
		usage.retries += budget->retries[i];
	}
	/* the oldest slice may have begun before the window */
	usage.requests -=
		budget->requests[(budget->slice + 1) % RETRY_BUDGET_SLICES];
	return usage;
}

bool retry_budget_take(retry_budget_t *budget,
		       const retry_budget_limits_t *limits, uint32_t hosts,
		       pimento_usec_t now)
{
	retry_budget_usage_t usage = retry_budget_usage(budget, limits, now);
	double allowed =
		limits->ratio * usage.requests * RATIO_SAFETY_FACTOR +
		limits->slack * SLACK_SAFETY_FACTOR / (hosts ? hosts : 1);

	if (usage.retries + 1 > allowed)
		return false;
	budget->retries[budget->slice % RETRY_BUDGET_SLICES]++;
	return true;
}

void retry_budget_return(retry_budget_t *budget,
			 const retry_budget_limits_t *limits,
			 pimento_usec_t taken_at, pimento_usec_t now)
{
	int64_t slice = slice_of(limits, taken_at);

	advance_window(budget, limits, now);
	if (slice <= budget->slice - RETRY_BUDGET_SLICES)
		return; /* it no longer counts */
	if (budget->retries[slice % RETRY_BUDGET_SLICES])
		budget->retries[slice % RETRY_BUDGET_SLICES]--;
}
