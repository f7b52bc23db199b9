#ifndef QUOTA_SHARE_H
#define QUOTA_SHARE_H

/*
 * Divides a scarce rate of tokens evenly over time and by tier: credit accrues
 * at the rate, and less urgent requests leave as much of it as more urgent ones
 * have requested lately.
 */

#include "../pimentoshelf.h"

/*
 * Number of tiers; 0 is the most urgent, the last includes all higher
 * numbers.
 */
#define QUOTA_SHARE_TIERS 8

typedef struct quota_share {
	/* tokens per second requested by each tier, decayed */
	double demand[QUOTA_SHARE_TIERS];
	double mean_tokens; /* mean size of a request; 0 unknown */
	pimento_usec_t demand_updated_at;
	double credit_max; /* tokens of credit that may accumulate */
	double credit; /* tokens that may be admitted; below 0: overdrawn */
	pimento_usec_t refilled_at;
} quota_share_t;

/*
 * Adds the tokens of a request to the demand of its tier, whether the request is
 * admitted or not.
 */
void quota_share_add_demand(quota_share_t *share, uint32_t tier, double tokens,
			    pimento_usec_t now);

/* Tokens per second requested lately, over all tiers. */
double quota_share_demand(const quota_share_t *share, pimento_usec_t now);

/*
 * Adds the credit that has accrued at this rate since the last call; call
 * before each decision.
 */
void quota_share_refill(quota_share_t *share, double per_second,
			pimento_usec_t now);

/*
 * Fraction of the credit, 0 to 1, that a request must leave to more urgent
 * tiers, by their demand. A request that is small compared with the mean leaves
 * less, as refusing it would save little.
 */
double quota_share_reserved(const quota_share_t *share, uint32_t tier,
			    double tokens, pimento_usec_t now);

/*
 * Spends credit on a request and returns true if more than the reserved
 * fraction is there. A large request may overdraw the credit.
 */
bool quota_share_spend(quota_share_t *share, uint32_t tier, double tokens,
		       pimento_usec_t now);

/* Adds to the credit the tokens of a request that was admitted but not run. */
void quota_share_refund(quota_share_t *share, double tokens);

#endif
