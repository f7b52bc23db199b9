/*
 * Writes and reads the burn report as JSON. Points in time are only ever used
 * as ages against the now_s of the same text, because hosts share no clock.
 */

#include "burn_json.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static json_t *count_json(const char *key, json_int_t value, burn_count_t count)
{
	return json_pack("{s:I, s:I, s:I}", key, value, "good",
			 (json_int_t)count.good, "total",
			 (json_int_t)count.total);
}

/* Returns NULL, which is left out, for a tier that is not in force. */
static json_t *rank_json(uint32_t rank)
{
	return rank == BURN_RANK_NONE ? NULL : json_integer(rank);
}

static json_t *report_json(const burn_report_t *report, json_int_t now_s)
{
	json_t *windows = json_array();
	json_t *series = json_array();

	for (int i = 0; i < BURN_WINDOWS; i++)
		json_array_append_new(
			windows, count_json("seconds", burn_window_seconds[i],
					    report->windows[i]));
	for (int age = BURN_COARSE_BUCKETS - 1; age >= 0; age--) {
		json_int_t t = now_s - (json_int_t)age * BURN_COARSE_STEP_S;

		if (report->series[age].total)
			json_array_append_new(
				series,
				count_json("t", t, report->series[age]));
	}
	return json_pack("{s:s, s:o*, s:f, s:o, s:o}", "tier", report->tier,
			 "rank", rank_json(report->rank), "objective",
			 report->objective, "windows", windows, "series",
			 series);
}

char *burn_json_write(const burn_t *burn, const pimento_config_t *config,
		      pimento_usec_t now)
{
	json_int_t now_s = now / PIMENTO_SEC;
	json_t *tiers = json_array();
	burn_report_t report;
	json_t *root;
	char *text;

	for (uint32_t i = 0; i < burn->count; i++) {
		burn_report(burn, i, config, now, &report);
		json_array_append_new(tiers, report_json(&report, now_s));
	}
	root = json_pack("{s:I, s:o}", "now_s", now_s, "tiers", tiers);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

int burn_reports_init(burn_reports_t *reports)
{
	reports->count = 0;
	reports->reports = calloc(BURN_TIERS_MAX, sizeof(*reports->reports));
	return reports->reports ? PIMENTO_OK : PIMENTO_ENOMEM;
}

void burn_reports_finish(burn_reports_t *reports)
{
	free(reports->reports);
	memset(reports, 0, sizeof(*reports));
}

static bool read_count(const json_t *from, burn_count_t *count)
{
	json_int_t good = json_integer_value(json_object_get(from, "good"));
	json_int_t total = json_integer_value(json_object_get(from, "total"));

	if (good < 0 || total < good)
		return false;
	count->good = (uint64_t)good;
	count->total = (uint64_t)total;
	return true;
}

static void read_windows(const json_t *windows, burn_report_t *report)
{
	const json_t *window;
	size_t index;

	json_array_foreach(windows, index, window)
	{
		json_int_t seconds =
			json_integer_value(json_object_get(window, "seconds"));

		for (int i = 0; i < BURN_WINDOWS; i++)
			if (seconds == burn_window_seconds[i])
				read_count(window, &report->windows[i]);
	}
}

static void read_series(const json_t *series, json_int_t now_s,
			burn_report_t *report)
{
	const json_t *point;
	size_t index;

	json_array_foreach(series, index, point)
	{
		json_int_t t = json_integer_value(json_object_get(point, "t"));

		if (t > now_s || t < 0)
			continue;
		t = (now_s - t) / BURN_COARSE_STEP_S;
		if (t < BURN_COARSE_BUCKETS)
			read_count(point, &report->series[t]);
	}
}

static void read_objective(const json_t *tier, burn_report_t *report)
{
	const json_t *rank = json_object_get(tier, "rank");
	double objective =
		json_number_value(json_object_get(tier, "objective"));

	report->rank = BURN_RANK_NONE;
	report->objective = burn_objective(1, 2);
	if (json_is_integer(rank) && json_integer_value(rank) >= 0 &&
	    json_integer_value(rank) < PIMENTO_TIERS_MAX)
		report->rank = (uint32_t)json_integer_value(rank);
	if (objective > 0 && objective < 1)
		report->objective = objective;
}

static void merge(burn_reports_t *reports, const burn_report_t *report)
{
	for (uint32_t i = 0; i < reports->count; i++)
		if (!strcmp(reports->reports[i].tier, report->tier)) {
			burn_merge(&reports->reports[i], report);
			return;
		}
	if (reports->count < BURN_TIERS_MAX)
		reports->reports[reports->count++] = *report;
}

static void read_tier(burn_reports_t *reports, const json_t *tier,
		      json_int_t now_s)
{
	const char *name = json_string_value(json_object_get(tier, "tier"));
	burn_report_t report;

	if (!name || !name[0])
		return;
	memset(&report, 0, sizeof(report));
	snprintf(report.tier, sizeof(report.tier), "%s", name);
	read_objective(tier, &report);
	read_windows(json_object_get(tier, "windows"), &report);
	read_series(json_object_get(tier, "series"), now_s, &report);
	merge(reports, &report);
}

int burn_json_read(burn_reports_t *reports, const char *text, size_t length)
{
	json_t *root = json_loadb(text, length, 0, NULL);
	const json_t *now_s = json_object_get(root, "now_s");
	const json_t *tiers = json_object_get(root, "tiers");
	const json_t *tier;
	size_t index;
	int error = PIMENTO_OK;

	if (!json_is_integer(now_s) || !json_is_array(tiers))
		error = PIMENTO_EPARSE;
	else
		json_array_foreach(tiers, index, tier)
			read_tier(reports, tier, json_integer_value(now_s));
	json_decref(root);
	return error;
}

static int by_rank(const void *left, const void *right)
{
	const burn_report_t *a = left;
	const burn_report_t *b = right;

	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return strcmp(a->tier, b->tier);
}

void burn_reports_sort(burn_reports_t *reports)
{
	qsort(reports->reports, reports->count, sizeof(*reports->reports),
	      by_rank);
}
