#include "quota_share.h"

#include <math.h>

/*
 * Demand is looked at over some seconds: a host of many sees a few requests of
 * an account a second, of very different sizes, and its share would jump with
 * each of them.
 */
#define ASKED_SECONDS 3.0

/* Credit that may be saved, in seconds of its flow. */
#define CREDIT_SECONDS 0.5
/* Of more urgent requests' demand, which less urgent ones leave. */
#define RESERVE_SECONDS 1.0
/* Weight of a new request in their mean size. */
#define SIZE_WEIGHT 0.05

static double seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

static double fade(const quota_share_t *share, pimento_usec_t now)
{
	return exp(-seconds(now - share->asked_at) / ASKED_SECONDS);
}

/* Asked for lately by requests of the first tiers. */
static double asked_below(const quota_share_t *share, uint32_t tiers,
			  pimento_usec_t now)
{
	double sum = 0;

	for (uint32_t i = 0; i < tiers; i++)
		sum += share->asked[i];
	return sum * fade(share, now);
}

double quota_share_asked(const quota_share_t *share, pimento_usec_t now)
{
	return asked_below(share, QUOTA_SHARE_TIERS, now);
}

static uint32_t tier_of(uint32_t tier)
{
	return tier < QUOTA_SHARE_TIERS ? tier : QUOTA_SHARE_TIERS - 1;
}

void quota_share_ask(quota_share_t *share, uint32_t tier, double tokens,
		     pimento_usec_t now)
{
	double part = fade(share, now);

	for (uint32_t i = 0; i < QUOTA_SHARE_TIERS; i++)
		share->asked[i] *= part;
	share->asked[tier_of(tier)] += tokens / ASKED_SECONDS;
	share->asked_at = now;
	share->size += SIZE_WEIGHT * (tokens - share->size);
}

void quota_share_fill(quota_share_t *share, double per_second,
		      pimento_usec_t now)
{
	share->credit_most = per_second * CREDIT_SECONDS;
	share->credit += per_second * seconds(now - share->filled_at);
	share->credit = fmin(share->credit, share->credit_most);
	share->filled_at = now;
}

double quota_share_reserved(const quota_share_t *share, uint32_t tier,
			    double tokens, pimento_usec_t now)
{
	double urgent = asked_below(share, tier_of(tier), now);
	double part = share->size > 0 ? fmin(tokens / share->size, 1) : 1;

	if (urgent <= 0 || share->credit_most <= 0)
		return 0;
	return fmin(urgent * RESERVE_SECONDS / share->credit_most, 1) * part;
}

bool quota_share_spend(quota_share_t *share, uint32_t tier, double tokens,
		       pimento_usec_t now)
{
	double kept = quota_share_reserved(share, tier, tokens, now);

	if (share->credit <= 0 || share->credit < kept * share->credit_most)
		return false;
	share->credit -= tokens;
	return true;
}

void quota_share_refund(quota_share_t *share, double tokens)
{
	share->credit += tokens; /* what is too much goes when it is filled */
}
