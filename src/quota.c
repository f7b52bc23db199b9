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
#define ROOM_SECONDS 0.5
/*
 * Part of the burst that drains with the rate, and part that may come at
 * once. Their sum above 1 uses some of the operators' tolerance for an
 * account that is over its quota all the time.
 */
#define DRAIN_PART 0.75
#define BURST_PART 0.75
/* Part of the room that counts as used when nothing is known. */
#define UNKNOWN_PART 0.25
/*
 * Beyond this part of the bucket the account is scarce: what drains is given
 * out by tier, and the bucket is held at the part aimed at. Up to so much more
 * or less than drains is admitted that the aim is reached in this time.
 */
#define SCARCE_PART 0.65
#define AIM_PART 0.8
#define SETTLE_SECONDS 2.0
#define CORRECT_MOST 0.5
/* Part of the bucket that is kept for more urgent requests. */
#define KEPT_PART 0.2
/* Reports that are older are not passed on. */
#define REPORT_AGE (2 * PIMENTO_SEC)

void quota_init(quota_t *quota, pimento_usec_t window, bool first_start)
{
	*quota = (quota_t){ .first_start = first_start,
			    .window = window,
			    .part = 1 };
}

void quota_finish(quota_t *quota)
{
	free(quota->uses);
}

static quota_usage_t *find(const quota_t *quota, uint32_t account)
{
	for (uint32_t i = 0; i < quota->count; i++)
		if (quota->uses[i].account == account)
			return &quota->uses[i];
	return NULL;
}

static quota_usage_t *find_or_add(quota_t *quota, uint32_t account)
{
	quota_usage_t *use = find(quota, account);

	if (use)
		return use;
	use = realloc(quota->uses, (quota->count + 1) * sizeof(*use));
	if (!use)
		return NULL;
	quota->uses = use;
	use += quota->count++;
	*use = (quota_usage_t){ .account = account };
	return use;
}

quota_limit_t quota_state(quota_t *quota, uint32_t account, uint64_t version,
			  quota_limit_t limit)
{
	quota_usage_t *use = find_or_add(quota, account);

	if (!use)
		return limit;
	if (version >= use->version) {
		use->version = version;
		use->limit = limit;
	}
	return use->limit;
}

static double seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

static double room(const quota_t *quota, quota_limit_t limit)
{
	return quota->part *
	       (limit.burst * BURST_PART + limit.per_second * ROOM_SECONDS);
}

/* Tokens a second that drain. */
static double draining(const quota_t *quota, quota_limit_t limit)
{
	return quota->part *
	       (limit.per_second +
		limit.burst * DRAIN_PART / seconds(quota->window));
}

/* What another host reported, as it has drained since. */
static double told_level(const quota_t *quota, const quota_usage_t *use,
			 pimento_usec_t now)
{
	double drained =
		seconds(now - use->told_at) * draining(quota, use->limit);

	if (!use->told_at || now - use->told_at > quota->window)
		return 0;
	return fmax(use->told - drained, 0);
}

static void begin(const quota_t *quota, quota_usage_t *use, pimento_usec_t now)
{
	/* in that time any owner would have been heard of the account */
	bool known = quota->first_start || use->told_at ||
		     now - quota->started_at > quota->window;

	if (!known)
		use->level = room(quota, use->limit) * UNKNOWN_PART;
	use->begun = true;
	use->settled = now;
}

static void drain(const quota_t *quota, quota_usage_t *use, pimento_usec_t now)
{
	use->level -= seconds(now - use->settled) * draining(quota, use->limit);
	use->settled = now;
	/* while another host owned the account, only its reports count */
	use->level = fmax(use->level, told_level(quota, use, now));
}

/* Tokens a second that may be admitted of a scarce account. */
static double fair_rate(const quota_t *quota, const quota_usage_t *use)
{
	double drains = draining(quota, use->limit);
	double off = AIM_PART * room(quota, use->limit) - use->level;

	off /= SETTLE_SECONDS * drains;
	return drains * (1 + fmin(fmax(off, -CORRECT_MOST), CORRECT_MOST));
}

static bool fits(const quota_t *quota, quota_usage_t *use, uint32_t tier,
		 double tokens, pimento_usec_t now)
{
	double most = room(quota, use->limit);
	double kept;

	quota_share_fill(&use->share, fair_rate(quota, use), now);
	kept = KEPT_PART * quota_share_reserved(&use->share, tier, tokens, now);
	/* one that is larger than the whole bucket waits for an empty one */
	if (use->level > 0 && use->level + tokens > most * (1 - kept))
		return false;
	return use->level <= SCARCE_PART * most ||
	       quota_share_spend(&use->share, tier, tokens, now);
}

int quota_admit(quota_t *quota, pimento_id_t account, quota_limit_t limit,
		uint32_t tier, double tokens, pimento_usec_t now)
{
	quota_usage_t *use = find_or_add(quota, (uint32_t)account);

	if (!use)
		return PIMENTO_ENOMEM;
	if (!quota->started_at)
		quota->started_at = now;
	use->limit = limit;
	if (!use->begun)
		begin(quota, use, now);
	drain(quota, use, now);
	quota_share_ask(&use->share, tier, tokens, now);
	use->admitted_at = now;
	if (limit.per_second > 0 && !fits(quota, use, tier, tokens, now))
		return PIMENTO_EFULL;
	use->level += tokens;
	return 0;
}

void quota_refund(quota_t *quota, pimento_id_t account, double tokens)
{
	quota_usage_t *use = find(quota, (uint32_t)account);

	if (!use)
		return;
	quota_share_refund(&use->share, tokens);
	use->level = fmax(use->level - tokens, 0);
}

pimento_usec_t quota_retry_after(const quota_t *quota, pimento_id_t account,
				 quota_limit_t limit, double tokens)
{
	const quota_usage_t *use = find(quota, (uint32_t)account);
	double over = (use ? use->level : 0) + tokens - room(quota, limit);
	double wait = 0;

	if (over > 0 && limit.per_second > 0)
		wait = over / draining(quota, limit);
	return (pimento_usec_t)(wait * (double)PIMENTO_SEC);
}

double quota_level(const quota_t *quota, pimento_id_t account)
{
	const quota_usage_t *use = find(quota, (uint32_t)account);

	return use ? use->level : 0;
}

void quota_told(quota_t *quota, uint32_t account, double level,
		pimento_usec_t at)
{
	quota_usage_t *use = find_or_add(quota, account);

	if (!quota->started_at)
		quota->started_at = at;
	if (!use || at <= use->told_at)
		return;
	use->told = level;
	use->told_at = at;
}

/* What there is to pass on of an account; false if nothing recent. */
static bool report_of(const quota_t *quota, quota_usage_t *use,
		      pimento_usec_t now, quota_report_t *report)
{
	report->account = use->account;
	if (use->admitted_at && now - use->admitted_at < REPORT_AGE &&
	    use->admitted_at >= use->told_at) {
		drain(quota, use, now);
		report->level = use->level;
		report->age = 0;
		return true;
	}
	report->level = use->told;
	report->age = now - use->told_at;
	return use->told_at && report->age < REPORT_AGE;
}

uint32_t quota_reports(quota_t *quota, quota_report_t *reports, uint32_t max,
		       pimento_usec_t now)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < quota->count && count < max; i++) {
		quota_usage_t *use = &quota->uses[quota->turn++ % quota->count];

		if (report_of(quota, use, now, &reports[count]))
			count++;
	}
	return count;
}
