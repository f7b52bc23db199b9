/*
 * Bucket of an account at the host that owns it. test_quota_fleet covers
 * several hosts.
 */

#include "quota.h"

#include <check.h>
#include <stdlib.h>

enum { WINDOW_S = 8 };

#define ACCOUNT ((pimento_id_t)77)
#define WINDOW (WINDOW_S * PIMENTO_SEC)
#define NOW (1000 * PIMENTO_SEC)

static const quota_limit_t limit = { .tokens_per_second = 200000,
				     .burst = 200000 };

/* Tokens admitted at one time in small requests, until one is refused. */
static double admit_all(quota_t *quota, pimento_usec_t now)
{
	const double tokens = 1000;
	double sum = 0;

	while (sum < 1e6 && !quota_admit(quota, ACCOUNT, limit, 0, tokens, now))
		sum += tokens;
	return sum;
}

static const struct {
	const char *name;
	bool first_start;
	/* level in another host's report, in tokens; 0: no report */
	double reported_level;
	double reported_s_ago; /* age of the report in seconds */
	double up_s; /* seconds since the host's first report of any account */
	double admitted_min; /* tokens admitted at one time */
	double admitted_max;
} takeovers[] = {
	{ "first start of the system", true, 0, 0, 0, 160000, 260000 },
	{ "no level is known", false, 0, 0, 0, 20000, 200000 },
	{ "full bucket taken over", false, 250000, 0.2, 1, 0, 60000 },
	{ "bucket has drained since the report", false, 250000, 1, 1, 160000,
	  260000 },
	{ "no report of the account for a window", false, 0, 0, 9, 160000,
	  260000 },
};

/*
 * Guards against a new owner that admits a limit a second time, and against one
 * that refuses requests of an account that was not used.
 */
START_TEST(new_owner_continues_from_reported_level)
{
	quota_t quota;
	double admitted;

	quota_init(&quota, WINDOW, takeovers[_i].first_start);
	quota_update_limit(&quota, (uint32_t)ACCOUNT, 1, limit);
	if (takeovers[_i].up_s > 0)
		quota_apply_report(
			&quota, 5, 1,
			NOW - (pimento_usec_t)(takeovers[_i].up_s * 1e6));
	if (takeovers[_i].reported_level > 0)
		quota_apply_report(
			&quota, (uint32_t)ACCOUNT, takeovers[_i].reported_level,
			NOW - (pimento_usec_t)(takeovers[_i].reported_s_ago *
					       1e6));
	admitted = admit_all(&quota, NOW);
	ck_assert_msg(admitted >= takeovers[_i].admitted_min &&
			      admitted <= takeovers[_i].admitted_max,
		      "%s: admitted %.0f tokens", takeovers[_i].name, admitted);
	quota_finish(&quota);
}
END_TEST

/* Guards against reports whose age changes as hosts forward them. */
START_TEST(forwarded_report_keeps_its_age)
{
	quota_report_t reports[4];
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	quota_apply_report(&quota, 5, 1000, NOW - PIMENTO_SEC);
	quota_apply_report(&quota, 5, 9000,
			   NOW - 2 * PIMENTO_SEC); /* older: must be ignored */
	ck_assert_uint_eq(quota_collect_reports(&quota, reports, 4, NOW), 1);
	ck_assert_double_eq(reports[0].level, 1000);
	ck_assert_int_eq(reports[0].age, PIMENTO_SEC);
	ck_assert_uint_eq(quota_collect_reports(&quota, reports, 4,
						NOW + 3 * PIMENTO_SEC),
			  0);
	quota_finish(&quota);
}
END_TEST

/* Guards against a limit that a host with an older configuration raises. */
START_TEST(older_config_version_does_not_change_limit)
{
	const quota_limit_t lower = { 1000, 1000 };
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	ck_assert_double_eq(
		quota_update_limit(&quota, 5, 7, lower).tokens_per_second,
		1000);
	ck_assert_double_eq(
		quota_update_limit(&quota, 5, 6, limit).tokens_per_second,
		1000);
	ck_assert_double_eq(
		quota_update_limit(&quota, 5, 8, limit).tokens_per_second,
		200000);
	quota_finish(&quota);
}
END_TEST

START_TEST(refund_restores_capacity)
{
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, limit, 0, 200000, PIMENTO_SEC), 0);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, limit, 0, 200000, PIMENTO_SEC),
		PIMENTO_EFULL);
	ck_assert_int_gt(quota_retry_after(&quota, ACCOUNT, limit, 200000), 0);
	quota_refund(&quota, ACCOUNT, 200000);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, limit, 0, 200000, PIMENTO_SEC), 0);
	quota_finish(&quota);
}
END_TEST

START_TEST(request_above_burst_needs_an_empty_bucket)
{
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, limit, 0, 900000, PIMENTO_SEC), 0);
	ck_assert_int_eq(quota_admit(&quota, ACCOUNT, limit, 0, 1, PIMENTO_SEC),
			 PIMENTO_EFULL);
	quota_finish(&quota);
}
END_TEST

START_TEST(zero_rate_means_unlimited)
{
	const quota_limit_t none = { 0, 0 };
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	for (int i = 0; i < 100; i++)
		ck_assert_int_eq(
			quota_admit(&quota, ACCOUNT, none, 0, 1e9, PIMENTO_SEC),
			0);
	quota_finish(&quota);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tests, new_owner_continues_from_reported_level, 0,
			    sizeof(takeovers) / sizeof(takeovers[0]));
	tcase_add_test(tests, forwarded_report_keeps_its_age);
	tcase_add_test(tests, older_config_version_does_not_change_limit);
	tcase_add_test(tests, refund_restores_capacity);
	tcase_add_test(tests, request_above_burst_needs_an_empty_bucket);
	tcase_add_test(tests, zero_rate_means_unlimited);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
