/*
 * A bucket that drains at rate + part * burst / window and holds the rest of
 * the burst lets through, in any window, rate * window + burst: as much as the
 * operator states, for any part. A larger part gives an account that asks for
 * more than its rate all the time more of what it is owed, a smaller one is
 * kinder to sudden bursts.
 *
 * A host that takes an account over goes on from the level that was last
 * reported. When all hosts were killed together nobody knows one; the bucket
 * then starts a quarter full. The operator's tolerance over a window
 * holds what is used twice then.
 */

#include "quota.h"

#include <math.h>
#include <stdlib.h>

/* Room beside the burst, in seconds of the rate. */
#define BUCKET_EXTRA_SECONDS 0.5
/*
 * Part of the burst that drains with the rate, and part that may come at
 * once. Their sum above 1 uses some of the operators' tolerance for an
 * account that is over its quota all the time.
 */
#define BURST_DRAIN_RATIO 0.75
#define BURST_BUCKET_RATIO 0.75
/* Part of the bucket_size that counts as used when nothing is known. */
#define UNKNOWN_LEVEL_RATIO 0.25
/*
 * Beyond this part of the bucket the account is scarce: what drains is given
 * out by tier, and the bucket is held at the part aimed at. Up to so much more
 * or less than drains is admitted that the aim is reached in this time.
 */
#define SCARCE_LEVEL_RATIO 0.65
#define TARGET_LEVEL_RATIO 0.8
#define TARGET_REACH_SECONDS 2.0
#define RATE_CORRECTION_MAX 0.5
/* Part of the bucket that is reserved for more urgent requests. */
#define URGENT_RESERVE_RATIO 0.2
/* Reports that are older are not passed on. */
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

static quota_usage_t *find(const quota_t *quota, uint32_t account)
{
	for (uint32_t i = 0; i < quota->count; i++)
		if (quota->usages[i].account == account)
			return &quota->usages[i];
	return NULL;
}

static quota_usage_t *find_or_add(quota_t *quota, uint32_t account)
{
	quota_usage_t *usage = find(quota, account);

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
	quota_usage_t *usage = find_or_add(quota, account);

	if (!usage)
		return limit;
	if (version >= usage->version) {
		usage->version = version;
		usage->limit = limit;
	}
	return usage->limit;
}

static double seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

static double bucket_size(const quota_t *quota, quota_limit_t limit)
{
	return quota->limit_ratio *
	       (limit.burst * BURST_BUCKET_RATIO +
		limit.tokens_per_second * BUCKET_EXTRA_SECONDS);
}

/* Tokens a second that drain. */
static double drain_rate(const quota_t *quota, quota_limit_t limit)
{
	return quota->limit_ratio *
	       (limit.tokens_per_second +
		limit.burst * BURST_DRAIN_RATIO / seconds(quota->window));
}

/* What another host reported, as it has drained since. */
static double drained_report_level(const quota_t *quota,
				   const quota_usage_t *usage,
				   pimento_usec_t now)
{
	double drained = seconds(now - usage->reported_at) *
			 drain_rate(quota, usage->limit);

	if (!usage->reported_at || now - usage->reported_at > quota->window)
		return 0;
	return fmax(usage->reported_level - drained, 0);
}

static void init_level(const quota_t *quota, quota_usage_t *usage,
		       pimento_usec_t now)
{
	/* in that time any owner would have been heard of the account */
	bool known = quota->first_start || usage->reported_at ||
		     now - quota->started_at > quota->window;

	if (!known)
		usage->level =
			bucket_size(quota, usage->limit) * UNKNOWN_LEVEL_RATIO;
	usage->initialised = true;
	usage->drained_at = now;
}

static void drain(const quota_t *quota, quota_usage_t *usage,
		  pimento_usec_t now)
{
	usage->level -= seconds(now - usage->drained_at) *
			drain_rate(quota, usage->limit);
	usage->drained_at = now;
	/* while another host owned the account, only its reports count */
	usage->level =
		fmax(usage->level, drained_report_level(quota, usage, now));
}

/* Tokens a second that may be admitted of a scarce account. */
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

static bool fits(const quota_t *quota, quota_usage_t *usage, uint32_t tier,
		 double tokens, pimento_usec_t now)
{
	double capacity = bucket_size(quota, usage->limit);
	double reserved;

	quota_share_refill(&usage->share, fair_rate(quota, usage), now);
	reserved = URGENT_RESERVE_RATIO *
		   quota_share_reserved(&usage->share, tier, tokens, now);
	/* one that is larger than the whole bucket waits for an empty one */
	if (usage->level > 0 &&
	    usage->level + tokens > capacity * (1 - reserved))
		return false;
	return usage->level <= SCARCE_LEVEL_RATIO * capacity ||
	       quota_share_spend(&usage->share, tier, tokens, now);
}

int quota_admit(quota_t *quota, pimento_id_t account, quota_limit_t limit,
		uint32_t tier, double tokens, pimento_usec_t now)
{
	quota_usage_t *usage = find_or_add(quota, (uint32_t)account);

	if (!usage)
		return PIMENTO_ENOMEM;
	if (!quota->started_at)
		quota->started_at = now;
	usage->limit = limit;
	if (!usage->initialised)
		init_level(quota, usage, now);
	drain(quota, usage, now);
	quota_share_add_demand(&usage->share, tier, tokens, now);
	usage->admitted_at = now;
	if (limit.tokens_per_second > 0 &&
	    !fits(quota, usage, tier, tokens, now))
		return PIMENTO_EFULL;
	usage->level += tokens;
	return 0;
}

void quota_refund(quota_t *quota, pimento_id_t account, double tokens)
{
	quota_usage_t *usage = find(quota, (uint32_t)account);

	if (!usage)
		return;
	quota_share_refund(&usage->share, tokens);
	usage->level = fmax(usage->level - tokens, 0);
}

pimento_usec_t quota_retry_after(const quota_t *quota, pimento_id_t account,
				 quota_limit_t limit, double tokens)
{
	const quota_usage_t *usage = find(quota, (uint32_t)account);
	double over =
		(usage ? usage->level : 0) + tokens - bucket_size(quota, limit);
	double wait = 0;

	if (over > 0 && limit.tokens_per_second > 0)
		wait = over / drain_rate(quota, limit);
	return (pimento_usec_t)(wait * (double)PIMENTO_SEC);
}

double quota_level(const quota_t *quota, pimento_id_t account)
{
	const quota_usage_t *usage = find(quota, (uint32_t)account);

	return usage ? usage->level : 0;
}

void quota_apply_report(quota_t *quota, uint32_t account, double level,
			pimento_usec_t at)
{
	quota_usage_t *usage = find_or_add(quota, account);

	if (!quota->started_at)
		quota->started_at = at;
	if (!usage || at <= usage->reported_at)
		return;
	usage->reported_level = level;
	usage->reported_at = at;
}

/* What there is to pass on of an account; false if nothing recent. */
static bool make_report(const quota_t *quota, quota_usage_t *usage,
			pimento_usec_t now, quota_report_t *report)
{
	report->account = usage->account;
	if (usage->admitted_at && now - usage->admitted_at < REPORT_AGE_MAX &&
	    usage->admitted_at >= usage->reported_at) {
		drain(quota, usage, now);
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
