#ifndef QUOTA_SHARE_H
#define QUOTA_SHARE_H

/*
 * Gives out what is scarce evenly over time and by tier: credit flows in at a
 * rate, and less urgent requests leave what more urgent ones ask for lately.
 */

#include "../pimentoshelf.h"

/* Tiers that are told apart; 0 is the most urgent, the last takes the rest. */
#define QUOTA_SHARE_TIERS 8

typedef struct quota_share {
	double demand[QUOTA_SHARE_TIERS]; /* tokens a second, decayed */
	double mean_tokens; /* mean of the requests, tokens; 0 unknown */
	pimento_usec_t demand_updated_at;
	double credit_max;
	double credit; /* tokens that may be admitted; below 0: overdrawn */
	pimento_usec_t refilled_at;
} quota_share_t;

/* Callers ask for tokens, admitted or not. */
void quota_share_add_demand(quota_share_t *share, uint32_t tier, double tokens,
			    pimento_usec_t now);

/* Tokens a second that callers asked for lately. */
double quota_share_demand(const quota_share_t *share, pimento_usec_t now);

/* Credit flows in at this rate; call before each decision. */
void quota_share_refill(quota_share_t *share, double per_second,
			pimento_usec_t now);

/*
 * Part of what there is, 0 to 1, that a request leaves to more urgent ones, by
 * what they ask for. One that is small beside the others leaves less: refusing
 * it would save nothing.
 */
double quota_share_reserved(const quota_share_t *share, uint32_t tier,
			    double tokens, pimento_usec_t now);

/*
 * Spends credit if there is any: one large request may overdraw it. The
 * reserved part is left.
 */
bool quota_share_spend(quota_share_t *share, uint32_t tier, double tokens,
		       pimento_usec_t now);

/* What was spent was not used after all. */
void quota_share_refund(quota_share_t *share, double tokens);

#endif
