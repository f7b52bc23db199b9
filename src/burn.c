/*
 * Requests are counted in rings of buckets, each labelled with the interval of
 * time that it counts. A bucket with another label than the interval looked up
 * counts as empty. Expired buckets therefore need not be cleared, and a process
 * that was suspended for hours has zero counts for that time.
 */

#include "burn.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Share of requests that may fail, in the most and the least urgent tier. */
#define FIRST_TIER_ERROR_BUDGET 0.001
#define LAST_TIER_ERROR_BUDGET 0.05

/*
 * Thresholds of the burn rate. A rate of 1 uses up the error budget of a period
 * in exactly that period.
 */
#define BURN_RATE_FAST 14.4 /* uses up 2 % of a month's error budget in 1 h */
#define BURN_RATE_SLOW 6.0 /* uses up 5 % of a month's error budget in 6 h */
#define BURN_RATE_SPENT 1.0

/* With fewer bad requests in a window, its burn rate is not significant. */
#define MIN_BAD_REQUESTS 3

enum { WINDOW_5_MIN, WINDOW_30_MIN, WINDOW_1_H, WINDOW_6_H, WINDOW_24_H };

const uint32_t burn_window_seconds[BURN_WINDOWS] = { 300, 1800, 3600, 21600,
						     86400 };

int burn_init(burn_t *burn)
{
	burn->count = 0;
	burn->tiers = calloc(BURN_TIERS_MAX, sizeof(*burn->tiers));
	return burn->tiers ? PIMENTO_OK : PIMENTO_ENOMEM;
}

void burn_finish(burn_t *burn)
{
	free(burn->tiers);
	memset(burn, 0, sizeof(*burn));
}

static burn_tier_t *find_tier(const burn_t *burn, const char *name)
{
	for (uint32_t i = 0; i < burn->count; i++)
		if (!strcmp(burn->tiers[i].name, name))
			return &burn->tiers[i];
	return NULL;
}

static burn_tier_t *least_recently_used(burn_t *burn)
{
	burn_tier_t *oldest = &burn->tiers[0];

	for (uint32_t i = 1; i < burn->count; i++)
		if (burn->tiers[i].last_used < oldest->last_used)
			oldest = &burn->tiers[i];
	return oldest;
}

static burn_tier_t *find_or_add_tier(burn_t *burn, const char *name)
{
	burn_tier_t *tier = find_tier(burn, name);

	if (tier)
		return tier;
	if (burn->count < BURN_TIERS_MAX)
		tier = &burn->tiers[burn->count++];
	else
		tier = least_recently_used(burn);
	memset(tier, 0, sizeof(*tier));
	snprintf(tier->name, sizeof(tier->name), "%s", name);
	return tier;
}

static int64_t interval_at(pimento_usec_t now, int64_t step)
{
	/* intervals are numbered from 1; 0 marks a bucket never used */
	return now / (step * PIMENTO_SEC) + 1;
}

static void bucket_add(burn_bucket_t *ring, int64_t buckets, int64_t interval,
		       bool good)
{
	burn_bucket_t *bucket = &ring[interval % buckets];

	if (bucket->interval != interval)
		*bucket = (burn_bucket_t){ .interval = interval };
	bucket->total++;
	bucket->good += good;
}

void burn_add(burn_t *burn, const char *name, bool good, pimento_usec_t now)
{
	burn_tier_t *tier = find_or_add_tier(burn, name);

	tier->last_used = now;
	bucket_add(tier->fine, BURN_FINE_BUCKETS,
		   interval_at(now, BURN_FINE_STEP_S), good);
	bucket_add(tier->coarse, BURN_COARSE_BUCKETS,
		   interval_at(now, BURN_COARSE_STEP_S), good);
}

bool burn_counts_as_bad(int error)
{
	switch (error) {
	case PIMENTO_EINVAL:
	case PIMENTO_EPARSE:
	case PIMENTO_EAUTH:
	case PIMENTO_ENOTFOUND:
	case PIMENTO_ETOOBIG:
	case PIMENTO_EEXPIRED:
	case PIMENTO_EMISMATCH:
	case PIMENTO_ECANCELLED:
		return false;
	default:
		return true;
	}
}

static burn_count_t bucket_count(const burn_bucket_t *ring, int64_t buckets,
				 int64_t interval)
{
	const burn_bucket_t *bucket;
	burn_count_t count = { 0, 0 };

	if (interval < 1)
		return count;
	bucket = &ring[interval % buckets];
	if (bucket->interval == interval) {
		count.good = bucket->good;
		count.total = bucket->total;
	}
	return count;
}

static void add_counts(burn_count_t *to, burn_count_t from)
{
	to->good += from.good;
	to->total += from.total;
}

static burn_count_t window_count(const burn_tier_t *tier, uint32_t seconds,
				 pimento_usec_t now)
{
	bool fine = seconds <= BURN_FINE_STEP_S * BURN_FINE_BUCKETS;
	int64_t step = fine ? BURN_FINE_STEP_S : BURN_COARSE_STEP_S;
	int64_t buckets = fine ? BURN_FINE_BUCKETS : BURN_COARSE_BUCKETS;
	int64_t wanted = (seconds + step - 1) / step;
	int64_t newest = interval_at(now, step);
	burn_count_t total = { 0, 0 };

	if (wanted > buckets)
		wanted = buckets;
	for (int64_t age = 0; age < wanted; age++)
		add_counts(&total,
			   bucket_count(fine ? tier->fine : tier->coarse,
					buckets, newest - age));
	return total;
}

burn_count_t burn_window_count(const burn_t *burn, const char *name,
			       uint32_t seconds, pimento_usec_t now)
{
	const burn_tier_t *tier = find_tier(burn, name);

	return tier ? window_count(tier, seconds, now) : (burn_count_t){ 0, 0 };
}

static void set_rank(const pimento_config_t *config, burn_report_t *report)
{
	report->rank = BURN_RANK_NONE;
	report->objective = 1 - LAST_TIER_ERROR_BUDGET;
	for (uint32_t i = 0; config && i < config->tier_count; i++) {
		if (strcmp(config->tiers[i].name, report->tier) != 0)
			continue;
		report->rank = i;
		report->objective = burn_objective(i, config->tier_count);
	}
}

void burn_report(const burn_t *burn, uint32_t index,
		 const pimento_config_t *config, pimento_usec_t now,
		 burn_report_t *report)
{
	const burn_tier_t *tier = &burn->tiers[index];
	int64_t newest = interval_at(now, BURN_COARSE_STEP_S);

	memcpy(report->tier, tier->name, sizeof(report->tier));
	set_rank(config, report);
	for (int i = 0; i < BURN_WINDOWS; i++)
		report->windows[i] =
			window_count(tier, burn_window_seconds[i], now);
	for (int age = 0; age < BURN_COARSE_BUCKETS; age++)
		report->series[age] = bucket_count(
			tier->coarse, BURN_COARSE_BUCKETS, newest - age);
}

void burn_merge(burn_report_t *to, const burn_report_t *from)
{
	if (from->rank < to->rank) {
		to->rank = from->rank;
		to->objective = from->objective;
	}
	for (int i = 0; i < BURN_WINDOWS; i++)
		add_counts(&to->windows[i], from->windows[i]);
	for (int age = 0; age < BURN_COARSE_BUCKETS; age++)
		add_counts(&to->series[age], from->series[age]);
}

double burn_objective(uint32_t rank, uint32_t tier_count)
{
	double part;

	if (tier_count < 2 || rank == 0)
		return 1 - FIRST_TIER_ERROR_BUDGET;
	if (rank >= tier_count)
		rank = tier_count - 1;
	part = (double)rank / (tier_count - 1);
	return 1 - FIRST_TIER_ERROR_BUDGET *
			   pow(LAST_TIER_ERROR_BUDGET / FIRST_TIER_ERROR_BUDGET,
			       part);
}

double burn_rate(burn_count_t count, double objective)
{
	double bad;

	if (!count.total || count.good > count.total)
		return 0;
	bad = (double)(count.total - count.good) / (double)count.total;
	return bad / (1 - objective);
}

static bool rate_exceeds(const burn_report_t *report, int window, double limit)
{
	return burn_rate(report->windows[window], report->objective) > limit;
}

static bool has_min_bad_requests(const burn_report_t *report, int window)
{
	const burn_count_t *count = &report->windows[window];

	return count->total >= count->good + MIN_BAD_REQUESTS;
}

burn_state_t burn_evaluate(const burn_report_t *report)
{
	if (has_min_bad_requests(report, WINDOW_1_H) &&
	    rate_exceeds(report, WINDOW_1_H, BURN_RATE_FAST) &&
	    rate_exceeds(report, WINDOW_5_MIN, BURN_RATE_FAST))
		return BURN_FAST;
	if (has_min_bad_requests(report, WINDOW_6_H) &&
	    rate_exceeds(report, WINDOW_6_H, BURN_RATE_SLOW) &&
	    rate_exceeds(report, WINDOW_30_MIN, BURN_RATE_SLOW))
		return BURN_SLOW;
	if (has_min_bad_requests(report, WINDOW_24_H) &&
	    rate_exceeds(report, WINDOW_24_H, BURN_RATE_SPENT))
		return BURN_SPENT;
	return report->windows[WINDOW_24_H].total ? BURN_OK : BURN_IDLE;
}

const char *burn_state_name(burn_state_t state)
{
	static const char *const names[] = { "idle", "ok", "spent", "slow",
					     "fast" };

	if ((unsigned)state >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[state];
}
