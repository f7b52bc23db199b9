#ifndef QUOTA_H
#define QUOTA_H

/*
 * Token quotas of client accounts: in any window an account may use its rate
 * times the window plus its burst. The quota is kept as a leaky bucket, which
 * needs no record of single requests. The host that owns an account keeps its
 * bucket for all hosts (quota_fleet.h).
 */

#include "quota_share.h"

typedef struct quota_limit {
	double tokens_per_second; /* 0 no limit */
	double burst; /* tokens */
} quota_limit_t;

/* Report of an account's bucket by its owner. */
typedef struct quota_report {
	uint32_t account; /* low half of the account's key */
	double level; /* tokens in the bucket: used and not yet drained */
	pimento_usec_t age; /* time since the owner made the report */
} quota_report_t;

typedef struct quota_usage {
	uint32_t account; /* low half of the account's key */
	quota_limit_t limit; /* limit in the newest configuration seen */
	uint64_t version; /* version of the configuration that sets the limit */
	double level; /* tokens in the bucket: used and not yet drained */
	bool initialised; /* the first request has set the initial level */
	pimento_usec_t drained_at; /* when level was last drained */
	/* time of the last request, admitted or refused; 0: none yet */
	pimento_usec_t requested_at;
	/* divides the drain rate among the tiers while the account is scarce */
	quota_share_t share;
	double reported_level; /* level in the newest report of another host */
	pimento_usec_t reported_at; /* time of that report; 0 none */
} quota_usage_t;

typedef struct quota {
	/* the whole system starts for the first time: no quota was used before */
	bool first_start;
	/* length of the window over which the operator limits tokens */
	pimento_usec_t window;
	/* time of the first request or report; 0 none */
	pimento_usec_t started_at;
	/* fraction of each quota limit that this host may admit, (0, 1] */
	double limit_ratio;
	quota_usage_t *usages;
	uint32_t count;
	uint32_t next_report; /* position of the next account to report */
} quota_t;

void quota_init(quota_t *quota, pimento_usec_t window, bool first_start);
void quota_finish(quota_t *quota);

/*
 * Records the limit of an account in a version of the configuration. Returns
 * the limit in the newest version seen.
 */
quota_limit_t quota_update_limit(quota_t *quota, uint32_t account,
				 uint64_t version, quota_limit_t limit);

/*
 * Admits and counts a request for tokens if it fits the account's quota.
 * Returns 0, PIMENTO_EFULL if the account is over its quota, or PIMENTO_ENOMEM.
 */
int quota_admit(quota_t *quota, pimento_id_t account, quota_limit_t limit,
		uint32_t tier, double tokens, pimento_usec_t now);

/*
 * Puts back into an account's quota the tokens of an admitted request that was
 * rejected later and has not run.
 */
void quota_refund(quota_t *quota, pimento_id_t account, double tokens);

/* Time after which a rejected caller may retry a request for tokens. */
pimento_usec_t quota_retry_after(const quota_t *quota, pimento_id_t account,
				 quota_limit_t limit, double tokens);

/* Level of an account's bucket, in tokens, at its last update on this host. */
double quota_level(const quota_t *quota, pimento_id_t account);

/*
 * Stores the level of an account's bucket that another host reported, as it was
 * at the time at; ignored if a newer report is stored. A host that becomes the
 * account's owner continues from the reported level.
 */
void quota_apply_report(quota_t *quota, uint32_t account, double level,
			pimento_usec_t at);

/*
 * Fills in at most max reports for a gossip message: levels of the accounts for
 * which this host admits requests, and recent reports of other hosts.
 * Successive calls go round all accounts. Returns the number of reports.
 */
uint32_t quota_collect_reports(quota_t *quota, quota_report_t *reports,
			       uint32_t max, pimento_usec_t now);

#endif
