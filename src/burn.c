/*
 * Rings of buckets, each marked with the slot of time that it counts. A bucket
 * whose mark is not the wanted slot is void, so no pass is needed to clear old
 * ones, and a daemon that was paused for hours reads zeros for that time.
 */

#include "burn.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUDGET_FIRST 0.001
#define BUDGET_LAST 0.05

#define RATE_FAST 14.4 /* 2 % of a month's budget in an hour */
#define RATE_SLOW 6.0 /* 5 % of a month's budget in six hours */
#define RATE_SPENT 1.0

/* Below this many bad requests a rate says more of chance than of service. */
#define BAD_LEAST 3

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

static burn_tier_t *find(const burn_t *burn, const char *name)
{
	for (uint32_t i = 0; i < burn->count; i++)
		if (!strcmp(burn->tiers[i].name, name))
			return &burn->tiers[i];
	return NULL;
}

static burn_tier_t *longest_unused(burn_t *burn)
{
	burn_tier_t *oldest = &burn->tiers[0];

	for (uint32_t i = 1; i < burn->count; i++)
		if (burn->tiers[i].used < oldest->used)
			oldest = &burn->tiers[i];
	return oldest;
}

static burn_tier_t *find_or_take(burn_t *burn, const char *name)
{
	burn_tier_t *tier = find(burn, name);

	if (tier)
		return tier;
	if (burn->count < BURN_TIERS_MAX)
		tier = &burn->tiers[burn->count++];
	else
		tier = longest_unused(burn);
	memset(tier, 0, sizeof(*tier));
	snprintf(tier->name, sizeof(tier->name), "%s", name);
	return tier;
}

static int64_t slot_of(pimento_usec_t now, int64_t step)
{
	/* slot 0 marks a bucket that was never used */
	return now / (step * PIMENTO_SEC) + 1;
}

static void add(burn_bucket_t *ring, int64_t buckets, int64_t slot, bool good)
{
	burn_bucket_t *bucket = &ring[slot % buckets];

	if (bucket->slot != slot)
		*bucket = (burn_bucket_t){ .slot = slot };
	bucket->total++;
	bucket->good += good;
}

void burn_add(burn_t *burn, const char *name, bool good, pimento_usec_t now)
{
	burn_tier_t *tier = find_or_take(burn, name);

	tier->used = now;
	add(tier->fine, BURN_FINE_BUCKETS, slot_of(now, BURN_FINE_STEP), good);
	add(tier->coarse, BURN_COARSE_BUCKETS, slot_of(now, BURN_COARSE_STEP),
	    good);
}

bool burn_counts(int error)
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

static burn_count_t count_at(const burn_bucket_t *ring, int64_t buckets,
			     int64_t slot)
{
	const burn_bucket_t *bucket;
	burn_count_t count = { 0, 0 };

	if (slot < 1)
		return count;
	bucket = &ring[slot % buckets];
	if (bucket->slot == slot) {
		count.good = bucket->good;
		count.total = bucket->total;
	}
	return count;
}

static void sum(burn_count_t *to, burn_count_t from)
{
	to->good += from.good;
	to->total += from.total;
}

static burn_count_t window_of(const burn_tier_t *tier, uint32_t seconds,
			      pimento_usec_t now)
{
	bool fine = seconds <= BURN_FINE_STEP * BURN_FINE_BUCKETS;
	int64_t step = fine ? BURN_FINE_STEP : BURN_COARSE_STEP;
	int64_t buckets = fine ? BURN_FINE_BUCKETS : BURN_COARSE_BUCKETS;
	int64_t wanted = (seconds + step - 1) / step;
	int64_t newest = slot_of(now, step);
	burn_count_t total = { 0, 0 };

	if (wanted > buckets)
		wanted = buckets;
	for (int64_t age = 0; age < wanted; age++)
		sum(&total, count_at(fine ? tier->fine : tier->coarse, buckets,
				     newest - age));
	return total;
}

burn_count_t burn_window(const burn_t *burn, const char *name, uint32_t seconds,
			 pimento_usec_t now)
{
	const burn_tier_t *tier = find(burn, name);

	return tier ? window_of(tier, seconds, now) : (burn_count_t){ 0, 0 };
}

static void find_rank(const pimento_config_t *config, burn_report_t *report)
{
	report->rank = BURN_RANK_NONE;
	report->objective = 1 - BUDGET_LAST;
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
	int64_t newest = slot_of(now, BURN_COARSE_STEP);

	memcpy(report->tier, tier->name, sizeof(report->tier));
	find_rank(config, report);
	for (int i = 0; i < BURN_WINDOWS; i++)
		report->windows[i] =
			window_of(tier, burn_window_seconds[i], now);
	for (int age = 0; age < BURN_COARSE_BUCKETS; age++)
		report->series[age] = count_at(
			tier->coarse, BURN_COARSE_BUCKETS, newest - age);
}

void burn_merge(burn_report_t *to, const burn_report_t *from)
{
	if (from->rank < to->rank) {
		to->rank = from->rank;
		to->objective = from->objective;
	}
	for (int i = 0; i < BURN_WINDOWS; i++)
		sum(&to->windows[i], from->windows[i]);
	for (int age = 0; age < BURN_COARSE_BUCKETS; age++)
		sum(&to->series[age], from->series[age]);
}

double burn_objective(uint32_t rank, uint32_t tier_count)
{
	double part;

	if (tier_count < 2 || rank == 0)
		return 1 - BUDGET_FIRST;
	if (rank >= tier_count)
		rank = tier_count - 1;
	part = (double)rank / (tier_count - 1);
	return 1 - BUDGET_FIRST * pow(BUDGET_LAST / BUDGET_FIRST, part);
}

double burn_rate(burn_count_t count, double objective)
{
	double bad;

	if (!count.total || count.good > count.total)
		return 0;
	bad = (double)(count.total - count.good) / (double)count.total;
	return bad / (1 - objective);
}

static bool over(const burn_report_t *report, int window, double limit)
{
	return burn_rate(report->windows[window], report->objective) > limit;
}

static bool enough(const burn_report_t *report, int window)
{
	const burn_count_t *count = &report->windows[window];

	return count->total >= count->good + BAD_LEAST;
}

burn_state_t burn_judge(const burn_report_t *report)
{
	if (enough(report, WINDOW_1_H) && over(report, WINDOW_1_H, RATE_FAST) &&
	    over(report, WINDOW_5_MIN, RATE_FAST))
		return BURN_FAST;
	if (enough(report, WINDOW_6_H) && over(report, WINDOW_6_H, RATE_SLOW) &&
	    over(report, WINDOW_30_MIN, RATE_SLOW))
		return BURN_SLOW;
	if (enough(report, WINDOW_24_H) &&
	    over(report, WINDOW_24_H, RATE_SPENT))
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
