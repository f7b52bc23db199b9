/*
 * Error budget burn: counts of time windows, burn rates, the state of a tier, and
 * the merging of the reports of several hosts.
 */

#include "burn_json.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const struct {
	/* time at which ten requests, one of them bad, are counted */
	int64_t added_s;
	int64_t now_s;
	uint32_t seconds; /* length of the window */
	uint64_t total; /* requests expected in the window */
} windows[] = {
	{ 0, 0, 300, 10 },	   { 1000, 1005, 300, 10 },
	{ 1000, 1280, 300, 10 },   { 1000, 1310, 300, 0 },
	{ 1000, 2700, 1800, 10 },  { 1000, 4590, 3600, 10 },
	{ 1000, 4610, 3600, 0 },   { 1000, 22000, 21600, 10 },
	{ 1000, 22900, 21600, 0 }, { 1000, 87000, 86400, 10 },
	{ 1000, 87700, 86400, 0 }, { 1000, 900000, 86400, 0 },
};

START_TEST(window_drops_expired_counts)
{
	burn_t burn;
	burn_count_t count;

	ck_assert_int_eq(burn_init(&burn), 0);
	for (int i = 0; i < 10; i++)
		burn_add(&burn, "t", i > 0, windows[_i].added_s * PIMENTO_SEC);
	count = burn_window_count(&burn, "t", windows[_i].seconds,
				  windows[_i].now_s * PIMENTO_SEC);
	ck_assert_uint_eq(count.total, windows[_i].total);
	ck_assert_uint_eq(count.good, windows[_i].total * 9 / 10);
	count = burn_window_count(&burn, "other", 300, 0);
	ck_assert_uint_eq(count.total, 0);
	burn_finish(&burn);
}
END_TEST

START_TEST(least_recently_used_tier_is_evicted)
{
	char name[] = "tier-A";
	burn_t burn;

	ck_assert_int_eq(burn_init(&burn), 0);
	for (int i = 0; i < (int)BURN_TIERS_MAX + 3; i++) {
		name[5] = (char)('A' + i);
		burn_add(&burn, name, true, i * PIMENTO_SEC);
	}
	ck_assert_uint_eq(burn.count, BURN_TIERS_MAX);
	ck_assert_uint_eq(
		burn_window_count(&burn, "tier-A", 300, 20 * PIMENTO_SEC).total,
		0);
	ck_assert_uint_eq(
		burn_window_count(&burn, "tier-D", 300, 20 * PIMENTO_SEC).total,
		1);
	burn_finish(&burn);
}
END_TEST

static const struct {
	uint64_t bad[BURN_WINDOWS]; /* bad requests in each window */
	uint64_t total; /* all requests in each window */
	double objective;
	burn_state_t state;
} state_cases[] = {
	{ { 0, 0, 0, 0, 0 }, 1000, 0.999, BURN_OK },
	{ { 15, 15, 15, 15, 15 }, 1000, 0.999, BURN_FAST },
	{ { 15, 15, 15, 15, 15 }, 1000, 0.95, BURN_OK },
	{ { 0, 0, 15, 15, 15 }, 1000, 0.999, BURN_SPENT },
	{ { 0, 7, 7, 7, 7 }, 1000, 0.999, BURN_SLOW },
	{ { 0, 0, 0, 0, 1 }, 1000, 0.999, BURN_OK },
	{ { 2, 2, 2, 2, 2 }, 4, 0.999, BURN_OK },
	{ { 3, 3, 3, 3, 3 }, 4, 0.999, BURN_FAST },
	{ { 800, 800, 800, 800, 800 }, 1000, 0.95, BURN_FAST },
};

START_TEST(state_follows_long_and_short_windows)
{
	burn_report_t report;

	memset(&report, 0, sizeof(report));
	report.objective = state_cases[_i].objective;
	ck_assert_int_eq(burn_evaluate(&report), BURN_IDLE);
	for (int i = 0; i < BURN_WINDOWS; i++) {
		report.windows[i].total = state_cases[_i].total;
		report.windows[i].good =
			state_cases[_i].total - state_cases[_i].bad[i];
	}
	ck_assert_str_eq(burn_state_name(burn_evaluate(&report)),
			 burn_state_name(state_cases[_i].state));
}
END_TEST

static const struct {
	int error;
	bool counts;
} error_cases[] = {
	{ PIMENTO_EDEADLINE, true },	{ PIMENTO_EBUSY, true },
	{ PIMENTO_EENDPOINT, true },	{ PIMENTO_ENOQUORUM, true },
	{ PIMENTO_EUNREACHABLE, true }, { PIMENTO_ECANCELLED, false },
	{ PIMENTO_EMISMATCH, false },	{ PIMENTO_ENOTFOUND, false },
};

START_TEST(client_errors_do_not_use_error_budget)
{
	ck_assert_int_eq(burn_counts_as_bad(error_cases[_i].error),
			 error_cases[_i].counts);
}
END_TEST

START_TEST(objective_decreases_with_rank)
{
	burn_count_t count = { 998, 1000 };

	ck_assert_double_eq_tol(burn_objective(0, 4), 0.999, 1e-9);
	ck_assert_double_eq_tol(burn_objective(3, 4), 0.95, 1e-9);
	ck_assert_double_eq_tol(burn_objective(0, 1), 0.999, 1e-9);
	ck_assert(burn_objective(1, 4) > burn_objective(2, 4));
	ck_assert_double_eq_tol(burn_rate(count, 0.999), 2, 1e-9);
	count.total = 0;
	ck_assert_double_eq_tol(burn_rate(count, 0.999), 0, 1e-9);
}
END_TEST

/*
 * Reports of two hosts whose clocks differ by days. Merged by time instead of by
 * age, the counts of one host would be lost or shown at the wrong time.
 */
START_TEST(reports_merge_by_age_despite_clock_skew)
{
	const pimento_usec_t now[] = { 1000 * PIMENTO_SEC,
				       500000 * PIMENTO_SEC };
	pimento_config_t config = { .tier_count = 3,
				    .tiers = { { .name = "a" },
					       { .name = "charge" },
					       { .name = "c" } } };
	burn_reports_t reports;
	burn_t burn;
	char *text;

	ck_assert_int_eq(burn_reports_init(&reports), 0);
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(burn_init(&burn), 0);
		burn_add(&burn, "charge", true, now[i]);
		burn_add(&burn, "charge", i, now[i] - 600 * PIMENTO_SEC);
		text = burn_json_write(&burn, i ? &config : NULL, now[i]);
		ck_assert_int_eq(burn_json_read(&reports, text, strlen(text)),
				 0);
		free(text);
		burn_finish(&burn);
	}
	ck_assert_uint_eq(reports.count, 1);
	ck_assert_uint_eq(reports.reports[0].rank, 1);
	ck_assert_double_eq_tol(reports.reports[0].objective,
				burn_objective(1, 3), 1e-9);
	ck_assert_uint_eq(reports.reports[0].windows[0].total, 2);
	ck_assert_uint_eq(reports.reports[0].windows[4].total, 4);
	ck_assert_uint_eq(reports.reports[0].windows[4].good, 3);
	ck_assert_uint_eq(reports.reports[0].series[0].total, 2);
	ck_assert_uint_eq(reports.reports[0].series[2].good, 1);
	burn_reports_finish(&reports);
}
END_TEST

static const char *const malformed[] = {
	"", "[]", "{\"now_s\":1}", "{\"now_s\":\"x\",\"tiers\":[]}", "{",
};

START_TEST(malformed_report_is_rejected)
{
	static const char odd[] =
		"{\"now_s\":1,\"tiers\":[3,{\"tier\":\"\"},{\"tier\":\"a\","
		"\"windows\":[{\"seconds\":300,\"good\":5,\"total\":-1}],"
		"\"series\":[{\"t\":-99999999999},{\"t\":9}]}]}";
	burn_reports_t reports;

	ck_assert_int_eq(burn_reports_init(&reports), 0);
	ck_assert_int_eq(
		burn_json_read(&reports, malformed[_i], strlen(malformed[_i])),
		PIMENTO_EPARSE);
	ck_assert_int_eq(burn_json_read(&reports, odd, strlen(odd)), 0);
	ck_assert_uint_eq(reports.count, 1);
	ck_assert_uint_eq(reports.reports[0].windows[0].total, 0);
	burn_reports_finish(&reports);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("burn");
	TCase *tc = tcase_create("burn");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, window_drops_expired_counts, 0, COUNT(windows));
	tcase_add_test(tc, least_recently_used_tier_is_evicted);
	tcase_add_loop_test(tc, state_follows_long_and_short_windows, 0,
			    COUNT(state_cases));
	tcase_add_loop_test(tc, client_errors_do_not_use_error_budget, 0,
			    COUNT(error_cases));
	tcase_add_test(tc, objective_decreases_with_rank);
	tcase_add_test(tc, reports_merge_by_age_despite_clock_skew);
	tcase_add_loop_test(tc, malformed_report_is_rejected, 0,
			    COUNT(malformed));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
