/*
 * A bucket that drains at rate + ratio * burst / window and holds the rest of
 * the burst admits, in any window, rate * window + burst, for any ratio: as
 * much as the operator allows. A larger ratio gives an account that always
 * exceeds its rate more of its quota, a smaller one leaves more room for sudden
 * bursts.
 *
 * A host that takes over an account continues from the level that was last
 * reported. After all hosts were killed together no host knows a level; the
 * bucket then starts a quarter full. What is admitted twice in that case stays
 * within the operator's tolerance over a window.
 */

#include "quota.h"

#include <math.h>
#include <stdlib.h>

/* Capacity of a bucket beside the burst, in seconds of the rate. */
#define BUCKET_EXTRA_SECONDS 0.5
/*
 * Fraction of the burst that drains with the rate, and fraction that may be
 * used at once. Their sum exceeds 1, which uses some of the operator's
 * tolerance for an account that is over its quota all the time.
 */
#define BURST_DRAIN_RATIO 0.75
#define BURST_BUCKET_RATIO 0.75
/* Fraction of the bucket that counts as used if no level is known. */
#define UNKNOWN_LEVEL_RATIO 0.25
/*
 * Above SCARCE_LEVEL_RATIO of its bucket an account is scarce: requests are
 * admitted by tier at the drain rate, which is corrected by up to
 * RATE_CORRECTION_MAX either way so that the level reaches TARGET_LEVEL_RATIO
 * within TARGET_REACH_SECONDS.
 */
#define SCARCE_LEVEL_RATIO 0.65
#define TARGET_LEVEL_RATIO 0.8
#define TARGET_REACH_SECONDS 2.0
#define RATE_CORRECTION_MAX 0.5
/* Largest fraction of the bucket that is reserved for more urgent requests. */
#define URGENT_RESERVE_RATIO 0.2
/* Reports of bucket levels that are older than this are not forwarded. */
#define REPORT_AGE_MAX (2 * PIMENTO_SEC)

void quota_init(quota_t *quota, pimento_usec_t window, bool first_start)
{
	*quota = (quota_t){ .first_start = first_start,
			    .window = window,
			    .limit_ratio = 1 };
}

void quota_finish(quota_t *quota)
{
	free(quota->usages);
}

static quota_usage_t *find_usage(const quota_t *quota, uint32_t account)
{
	for (uint32_t i = 0; i < quota->count; i++)
		if (quota->usages[i].account == account)
			return &quota->usages[i];
	return NULL;
}

static quota_usage_t *find_or_add_usage(quota_t *quota, uint32_t account)
{
	quota_usage_t *usage = find_usage(quota, account);

	if (usage)
		return usage;
	usage = realloc(quota->usages, (quota->count + 1) * sizeof(*usage));
	if (!usage)
		return NULL;
	quota->usages = usage;
	usage += quota->count++;
	*usage = (quota_usage_t){ .account = account };
	return usage;
}

quota_limit_t quota_update_limit(quota_t *quota, uint32_t account,
				 uint64_t version, quota_limit_t limit)
{
	quota_usage_t *usage = find_or_add_usage(quota, account);

	if (!usage)
		return limit;
	if (version >= usage->version) {
		usage->version = version;
		usage->limit = limit;
	}
	return usage->limit;
}

static double to_seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

static double bucket_size(const quota_t *quota, quota_limit_t limit)
{
	return quota->limit_ratio *
	       (limit.burst * BURST_BUCKET_RATIO +
		limit.tokens_per_second * BUCKET_EXTRA_SECONDS);
}

/* Tokens per second that drain from the bucket. */
static double drain_rate(const quota_t *quota, quota_limit_t limit)
{
	return quota->limit_ratio *
	       (limit.tokens_per_second +
		limit.burst * BURST_DRAIN_RATIO / to_seconds(quota->window));
}

/* Level that another host reported, less what has drained since. */
static double drained_report_level(const quota_t *quota,
				   const quota_usage_t *usage,
				   pimento_usec_t now)
{
	double drained = to_seconds(now - usage->reported_at) *
			 drain_rate(quota, usage->limit);

	if (!usage->reported_at || now - usage->reported_at > quota->window)
		return 0;
	return fmax(usage->reported_level - drained, 0);
}

static void init_level(const quota_t *quota, quota_usage_t *usage,
		       pimento_usec_t now)
{
	/* an account in use would have been reported within one window */
	bool known = quota->first_start || usage->reported_at ||
		     now - quota->started_at > quota->window;

	if (!known)
		usage->level =
			bucket_size(quota, usage->limit) * UNKNOWN_LEVEL_RATIO;
	usage->initialised = true;
	usage->drained_at = now;
}

static void drain_bucket(const quota_t *quota, quota_usage_t *usage,
			 pimento_usec_t now)
{
	usage->level -= to_seconds(now - usage->drained_at) *
			drain_rate(quota, usage->limit);
	usage->drained_at = now;
	/* tokens that another owner admitted are only known from its reports */
	usage->level =
		fmax(usage->level, drained_report_level(quota, usage, now));
}

/* Tokens per second that a scarce account may use. */
static double fair_rate(const quota_t *quota, const quota_usage_t *usage)
{
	double drains = drain_rate(quota, usage->limit);
	double deviation =
		TARGET_LEVEL_RATIO * bucket_size(quota, usage->limit) -
		usage->level;

	deviation /= TARGET_REACH_SECONDS * drains;
	return drains * (1 + fmin(fmax(deviation, -RATE_CORRECTION_MAX),
				  RATE_CORRECTION_MAX));
}

static bool fits_quota(const quota_t *quota, quota_usage_t *usage,
		       uint32_t tier, double tokens, pimento_usec_t now)
{
	double capacity = bucket_size(quota, usage->limit);
	double reserved;

	quota_share_refill(&usage->share, fair_rate(quota, usage), now);
	reserved = URGENT_RESERVE_RATIO *
		   quota_share_reserved(&usage->share, tier, tokens, now);
	/* a request above the bucket's capacity needs an empty bucket */
	if (usage->level > 0 &&
	    usage->level + tokens > capacity * (1 - reserved))
		return false;
	return usage->level <= SCARCE_LEVEL_RATIO * capacity ||
	       quota_share_spend(&usage->share, tier, tokens, now);
}

int quota_admit(quota_t *quota, pimento_id_t account, quota_limit_t limit,
		uint32_t tier, double tokens, pimento_usec_t now)
{
	quota_usage_t *usage = find_or_add_usage(quota, (uint32_t)account);

	if (!usage)
		return PIMENTO_ENOMEM;
	if (!quota->started_at)
		quota->started_at = now;
	usage->limit = limit;
	if (!usage->initialised)
		init_level(quota, usage, now);
	drain_bucket(quota, usage, now);
	quota_share_add_demand(&usage->share, tier, tokens, now);
	usage->requested_at = now;
	if (limit.tokens_per_second > 0 &&
	    !fits_quota(quota, usage, tier, tokens, now))
		return PIMENTO_EFULL;
	usage->level += tokens;
	return 0;
}

void quota_refund(quota_t *quota, pimento_id_t account, double tokens)
{
	quota_usage_t *usage = find_usage(quota, (uint32_t)account);

	if (!usage)
		return;
	quota_share_refund(&usage->share, tokens);
	usage->level = fmax(usage->level - tokens, 0);
}

pimento_usec_t quota_retry_after(const quota_t *quota, pimento_id_t account,
				 quota_limit_t limit, double tokens)
{
	const quota_usage_t *usage = find_usage(quota, (uint32_t)account);
	double over =
		(usage ? usage->level : 0) + tokens - bucket_size(quota, limit);
	double wait = 0;

	if (over > 0 && limit.tokens_per_second > 0)
		wait = over / drain_rate(quota, limit);
	return (pimento_usec_t)(wait * (double)PIMENTO_SEC);
}

double quota_level(const quota_t *quota, pimento_id_t account)
{
	const quota_usage_t *usage = find_usage(quota, (uint32_t)account);

	return usage ? usage->level : 0;
}

void quota_apply_report(quota_t *quota, uint32_t account, double level,
			pimento_usec_t at)
{
	quota_usage_t *usage = find_or_add_usage(quota, account);

	if (!quota->started_at)
		quota->started_at = at;
	if (!usage || at <= usage->reported_at)
		return;
	usage->reported_level = level;
	usage->reported_at = at;
}

/*
 * Fills in the report of an account for a gossip message. Returns false if the
 * account has no recent level.
 */
static bool make_report(const quota_t *quota, quota_usage_t *usage,
			pimento_usec_t now, quota_report_t *report)
{
	report->account = usage->account;
	if (usage->requested_at && now - usage->requested_at < REPORT_AGE_MAX &&
	    usage->requested_at >= usage->reported_at) {
		drain_bucket(quota, usage, now);
		report->level = usage->level;
		report->age = 0;
		return true;
	}
	report->level = usage->reported_level;
	report->age = now - usage->reported_at;
	return usage->reported_at && report->age < REPORT_AGE_MAX;
}

uint32_t quota_collect_reports(quota_t *quota, quota_report_t *reports,
			       uint32_t max, pimento_usec_t now)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < quota->count && count < max; i++) {
		quota_usage_t *usage =
			&quota->usages[quota->next_report++ % quota->count];

		if (make_report(quota, usage, now, &reports[count]))
			count++;
	}
	return count;
}
