/*
 * Every latency is kept, not a histogram of it: a load has some thousand
 * requests, and a percentile of a bucket would hide the differences that the
 * load is run for.
 */

#include "load_tally.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MEDIAN 0.5
#define TAIL 0.99
#define US_A_MS 1000.0

void load_tally_init(load_tally_t *tally)
{
	memset(tally, 0, sizeof(*tally));
	pthread_mutex_init(&tally->mutex, NULL);
}

void load_tally_finish(load_tally_t *tally)
{
	for (int i = 0; i < LOAD_KINDS_MAX; i++) {
		free(tally->rows[i].first.values);
		free(tally->rows[i].total.values);
	}
	pthread_mutex_destroy(&tally->mutex);
}

static void series_add(load_series_t *series, int64_t value)
{
	if (series->count == series->capacity) {
		size_t capacity = series->capacity ? 2 * series->capacity : 64;
		int64_t *values =
			realloc(series->values, capacity * sizeof(*values));

		if (!values)
			return;
		series->values = values;
		series->capacity = capacity;
	}
	series->values[series->count++] = value;
}

static void series_join(load_series_t *all, const load_series_t *part)
{
	for (size_t i = 0; i < part->count; i++)
		series_add(all, part->values[i]);
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Sorts the series; 0 if it is empty. */
static int64_t percentile(load_series_t *series, double part)
{
	if (!series->count)
		return 0;
	qsort(series->values, series->count, sizeof(int64_t), compare);
	return series->values[(size_t)(part * (double)(series->count - 1))];
}

void load_tally_sent(load_tally_t *tally, uint32_t kind)
{
	pthread_mutex_lock(&tally->mutex);
	tally->rows[kind].sent++;
	pthread_mutex_unlock(&tally->mutex);
}

void load_tally_add(load_tally_t *tally, uint32_t kind, load_outcome_t outcome,
		    int64_t first_us, int64_t total_us)
{
	load_row_t *row = &tally->rows[kind];

	pthread_mutex_lock(&tally->mutex);
	row->outcomes[outcome]++;
	if (outcome == LOAD_IN_TIME || outcome == LOAD_LATE) {
		series_add(&row->first, first_us);
		series_add(&row->total, total_us);
	}
	pthread_mutex_unlock(&tally->mutex);
}

void load_tally_twice(load_tally_t *tally)
{
	pthread_mutex_lock(&tally->mutex);
	tally->ran_twice++;
	pthread_mutex_unlock(&tally->mutex);
}

uint64_t load_tally_sum(load_tally_t *tally, load_outcome_t outcome)
{
	uint64_t sum = 0;

	pthread_mutex_lock(&tally->mutex);
	for (int i = 0; i < LOAD_KINDS_MAX; i++)
		sum += tally->rows[i].outcomes[outcome];
	pthread_mutex_unlock(&tally->mutex);
	return sum;
}

uint64_t load_tally_sum_sent(load_tally_t *tally)
{
	uint64_t sum = 0;

	pthread_mutex_lock(&tally->mutex);
	for (int i = 0; i < LOAD_KINDS_MAX; i++)
		sum += tally->rows[i].sent;
	pthread_mutex_unlock(&tally->mutex);
	return sum;
}

static void print_row(FILE *out, const char *name, load_row_t *row)
{
	fprintf(out,
		"%-20s %6" PRIu64 " %8" PRIu64 " %6" PRIu64 " %8" PRIu64
		" %8" PRIu64 " %6" PRIu64 " %9" PRIu64 " %9.1f %9.1f %9.1f\n",
		name, row->sent, row->outcomes[LOAD_IN_TIME],
		row->outcomes[LOAD_LATE], row->outcomes[LOAD_NOT_RUN],
		row->outcomes[LOAD_MAY_HAVE_RUN], row->outcomes[LOAD_RAN],
		row->outcomes[LOAD_NOT_WHOLE] + row->outcomes[LOAD_NO_ANSWER],
		(double)percentile(&row->first, MEDIAN) / US_A_MS,
		(double)percentile(&row->total, MEDIAN) / US_A_MS,
		(double)percentile(&row->total, TAIL) / US_A_MS);
}

static void print_head(FILE *out, const char *name)
{
	fprintf(out, "%-20s %6s %8s %6s %8s %8s %6s %9s %9s %9s %9s\n", name,
		"sent", "in time", "late", "not-run", "may-have", "ran",
		"not whole", "first p50", "total p50", "total p99");
}

static void row_join(load_row_t *all, const load_row_t *part)
{
	all->sent += part->sent;
	for (int i = 0; i < LOAD_OUTCOMES; i++)
		all->outcomes[i] += part->outcomes[i];
	series_join(&all->first, &part->first);
	series_join(&all->total, &part->total);
}

/* Whether a kind is the first of its tier, which prints the tier's line. */
static bool first_of_tier(const load_mix_t *mix, uint32_t kind)
{
	for (uint32_t i = 0; i < kind; i++)
		if (!strcmp(mix->kinds[i].tier, mix->kinds[kind].tier))
			return false;
	return true;
}

static void print_tier(load_tally_t *tally, const load_mix_t *mix,
		       uint32_t kind, FILE *out)
{
	load_row_t all = { 0 };

	for (uint32_t i = kind; i < mix->count; i++)
		if (!strcmp(mix->kinds[i].tier, mix->kinds[kind].tier))
			row_join(&all, &tally->rows[i]);
	print_row(out, mix->kinds[kind].tier, &all);
	free(all.first.values);
	free(all.total.values);
}

void load_tally_print(load_tally_t *tally, const load_mix_t *mix, FILE *out)
{
	pthread_mutex_lock(&tally->mutex);
	print_head(out, "contract (ms)");
	for (uint32_t i = 0; i < mix->count; i++)
		print_row(out, mix->kinds[i].contract, &tally->rows[i]);
	print_head(out, "tier (ms)");
	for (uint32_t i = 0; i < mix->count; i++)
		if (first_of_tier(mix, i))
			print_tier(tally, mix, i, out);
	pthread_mutex_unlock(&tally->mutex);
}

load_latency_t load_tally_latency(load_tally_t *tally)
{
	load_latency_t latency;
	load_row_t all = { 0 };

	pthread_mutex_lock(&tally->mutex);
	for (int i = 0; i < LOAD_KINDS_MAX; i++)
		row_join(&all, &tally->rows[i]);
	pthread_mutex_unlock(&tally->mutex);
	latency.count = all.total.count;
	latency.first_p50 = percentile(&all.first, MEDIAN);
	latency.first_p99 = percentile(&all.first, TAIL);
	latency.total_p50 = percentile(&all.total, MEDIAN);
	latency.total_p99 = percentile(&all.total, TAIL);
	free(all.first.values);
	free(all.total.values);
	return latency;
}
