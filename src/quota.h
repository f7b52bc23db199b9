#ifndef QUOTA_H
#define QUOTA_H

/*
 * What client accounts may use: in any window, an account's rate times the
 * window and its burst. It is kept as a bucket, which needs no memory of single
 * requests. The host that owns an account keeps its bucket for all hosts
 * (quota_fleet.h).
 */

#include "quota_share.h"

typedef struct quota_limit {
	double tokens_per_second; /* tokens; 0 no limit */
	double burst;
} quota_limit_t;

/* What the owner of an account reports of it. */
typedef struct quota_report {
	uint32_t account; /* low half of its key */
	double level; /* tokens in the bucket */
	pimento_usec_t age; /* since the owner reported it */
} quota_report_t;

typedef struct quota_usage {
	uint32_t account;
	quota_limit_t limit; /* as last stated */
	uint64_t version; /* of the configuration that states it */
	double level; /* tokens in the bucket */
	bool initialised; /* it was settled once */
	pimento_usec_t drained_at; /* when level was last drained */
	pimento_usec_t admitted_at; /* the last request; 0 never */
	quota_share_t share; /* by tier, while the account is scarce */
	double reported_level; /* level, as another host reported it */
	pimento_usec_t reported_at; /* 0 never */
} quota_usage_t;

typedef struct quota {
	bool first_start; /* nothing can have been used before this host */
	pimento_usec_t window; /* that the operator counts in */
	pimento_usec_t started_at; /* first request or report; 0 none */
	double limit_ratio; /* of each limit that this host may give out, (0, 1] */
	quota_usage_t *usages;
	uint32_t count;
	uint32_t next_report; /* of the accounts to be reported */
} quota_t;

void quota_init(quota_t *quota, pimento_usec_t window, bool first_start);
void quota_finish(quota_t *quota);

/*
 * Takes the limit that a version of the configuration states, and returns the
 * one of the newest version seen.
 */
quota_limit_t quota_update_limit(quota_t *quota, uint32_t account,
				 uint64_t version, quota_limit_t limit);

/*
 * Admits tokens if they fit, and counts them. Returns 0, PIMENTO_EFULL if the
 * account is over its quota, or PIMENTO_ENOMEM.
 */
int quota_admit(quota_t *quota, pimento_id_t account, quota_limit_t limit,
		uint32_t tier, double tokens, pimento_usec_t now);

/* The request was turned away after all and has not run. */
void quota_refund(quota_t *quota, pimento_id_t account, double tokens);

/* When room for tokens may be there again; for a caller told to come back. */
pimento_usec_t quota_retry_after(const quota_t *quota, pimento_id_t account,
				 quota_limit_t limit, double tokens);

/* Tokens in an account's bucket, as this host last saw it. */
double quota_level(const quota_t *quota, pimento_id_t account);

/*
 * Takes a report: the level at a time. A host that becomes the owner goes on
 * from there.
 */
void quota_apply_report(quota_t *quota, uint32_t account, double level,
			pimento_usec_t at);

/*
 * Reports to pass on, at most max, each time of other accounts: of those that
 * this host admits for, and what others reported lately. Returns how many.
 */
uint32_t quota_collect_reports(quota_t *quota, quota_report_t *reports,
			       uint32_t max, pimento_usec_t now);

#endif
