#include "quota_share.h"

#include <math.h>

/*
 * Demand is averaged over some seconds: one host of many gets only a few
 * requests of an account per second, of very different sizes, and the shares of
 * the tiers would jump with each of them.
 */
#define DEMAND_DECAY_SECONDS 3.0

/* Maximum credit, in seconds of the rate at which it accrues. */
#define CREDIT_MAX_SECONDS 0.5
/*
 * Credit that less urgent requests leave unused, in seconds of the more urgent
 * tiers' demand.
 */
#define RESERVE_SECONDS 1.0
/* Weight of a new request in the mean size of requests. */
#define MEAN_TOKENS_WEIGHT 0.05

static double to_seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

static double demand_decay(const quota_share_t *share, pimento_usec_t now)
{
	return exp(-to_seconds(now - share->demand_updated_at) /
		   DEMAND_DECAY_SECONDS);
}

/*
 * Returns the tokens per second requested lately by the most urgent tiers;
 * `tiers` is the number of these tiers.
 */
static double first_tiers_demand(const quota_share_t *share, uint32_t tiers,
				 pimento_usec_t now)
{
	double sum = 0;

	for (uint32_t i = 0; i < tiers; i++)
		sum += share->demand[i];
	return sum * demand_decay(share, now);
}

double quota_share_demand(const quota_share_t *share, pimento_usec_t now)
{
	return first_tiers_demand(share, QUOTA_SHARE_TIERS, now);
}

static uint32_t clamp_tier(uint32_t tier)
{
	return tier < QUOTA_SHARE_TIERS ? tier : QUOTA_SHARE_TIERS - 1;
}

void quota_share_add_demand(quota_share_t *share, uint32_t tier, double tokens,
			    pimento_usec_t now)
{
	double decay = demand_decay(share, now);

	for (uint32_t i = 0; i < QUOTA_SHARE_TIERS; i++)
		share->demand[i] *= decay;
	share->demand[clamp_tier(tier)] += tokens / DEMAND_DECAY_SECONDS;
	share->demand_updated_at = now;
	share->mean_tokens +=
		MEAN_TOKENS_WEIGHT * (tokens - share->mean_tokens);
}

void quota_share_refill(quota_share_t *share, double per_second,
			pimento_usec_t now)
{
	share->credit_max = per_second * CREDIT_MAX_SECONDS;
	share->credit += per_second * to_seconds(now - share->refilled_at);
	share->credit = fmin(share->credit, share->credit_max);
	share->refilled_at = now;
}

double quota_share_reserved(const quota_share_t *share, uint32_t tier,
			    double tokens, pimento_usec_t now)
{
	double urgent = first_tiers_demand(share, clamp_tier(tier), now);
	double size_ratio = share->mean_tokens > 0
				    ? fmin(tokens / share->mean_tokens, 1)
				    : 1;

	if (urgent <= 0 || share->credit_max <= 0)
		return 0;
	return fmin(urgent * RESERVE_SECONDS / share->credit_max, 1) *
	       size_ratio;
}

bool quota_share_spend(quota_share_t *share, uint32_t tier, double tokens,
		       pimento_usec_t now)
{
	double reserved = quota_share_reserved(share, tier, tokens, now);

	if (share->credit <= 0 || share->credit < reserved * share->credit_max)
		return false;
	share->credit -= tokens;
	return true;
}

void quota_share_refund(quota_share_t *share, double tokens)
{
	share->credit += tokens; /* the next refill clamps it to credit_max */
}
