/*
 * What a killed host has spent is known to nobody, so that the sum has to hold
 * without it. A part of the ratio is spent as it is earned, within one process;
 * a process that ends takes what it has not spent with it. The rest of the ratio
 * and most of the slack may be spent at once, in any part of a window, but only
 * by a process that is older than a window: then no other one of this host spent
 * any of it. However hosts restart, a window holds one burst of each, what was
 * earned in it, and a little for each process that started: without that, a host
 * would retry nothing before it has served some requests.
 */

#include "retry_budget.h"

/* Of the ratio, spent as it is earned. */
#define EARNED_SHARE 0.35
/* Of the slack, for processes that are younger than a window. */
#define RESTART_SHARE 0.1
/* Starts of each host in a window that this is meant for. */
#define RESTARTS_MAX 4

static int64_t slice_of(const retry_budget_limits_t *limits, pimento_usec_t at)
{
	return at / (limits->window / (RETRY_BUDGET_SLICES - 1));
}

void retry_budget_init(retry_budget_t *budget,
		       const retry_budget_limits_t *limits,
		       pimento_usec_t started_at)
{
	*budget =
		(retry_budget_t){ .blind_until = started_at + limits->window };
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

/* True if one more retry is within the bound of each part of the window. */
static bool fits_burst(const retry_budget_t *budget,
		       const retry_budget_limits_t *limits, double burst)
{
	double requests = 0;
	double retries = 1;

	for (int64_t i = 0; i < RETRY_BUDGET_SLICES; i++) {
		int64_t slice = budget->slice + RETRY_BUDGET_SLICES - i;

		retries += budget->retries[slice % RETRY_BUDGET_SLICES];
		if (retries > burst + EARNED_SHARE * limits->ratio * requests)
			return false;
		requests += budget->requests[slice % RETRY_BUDGET_SLICES];
	}
	return true;
}

/*
 * The same for a process that is younger than a window, with slack for each
 * start of a process of this host.
 */
static bool is_earned(const retry_budget_t *budget,
		      const retry_budget_limits_t *limits, double start_slack)
{
	double requests = 0;
	double retries = 1;

	for (uint32_t i = 0; i < RETRY_BUDGET_SLICES; i++) {
		requests += budget->requests[i];
		retries += budget->retries[i];
	}
	return retries <= start_slack + EARNED_SHARE * limits->ratio * requests;
}

bool retry_budget_take(retry_budget_t *budget,
		       const retry_budget_limits_t *limits, uint32_t hosts,
		       pimento_usec_t now)
{
	retry_budget_usage_t usage = retry_budget_usage(budget, limits, now);
	double slack = limits->slack / (hosts ? hosts : 1);
	double burst = (1 - EARNED_SHARE) * limits->ratio * usage.requests +
		       (1 - RESTART_SHARE) * slack;
	double start_slack = RESTART_SHARE * slack / RESTARTS_MAX;

	if (!fits_burst(budget, limits, burst))
		return false;
	if (start_slack > 1)
		start_slack = 1;
	if (now < budget->blind_until &&
	    !is_earned(budget, limits, start_slack))
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

void retry_budget_sent(retry_budget_t *budget,
		       const retry_budget_limits_t *limits,
		       pimento_usec_t taken_at, pimento_usec_t now)
{
	retry_budget_return(budget, limits, taken_at, now);
	budget->retries[budget->slice % RETRY_BUDGET_SLICES]++;
}
