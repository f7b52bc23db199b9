/* What a caller has spent before, judged by the time that it brings. */

#include "client_timeout.h"

#include <check.h>
#include <stdlib.h>

#define MS PIMENTO_MSEC

/*
 * Callers of one route start with times that differ by a sixth. If the whole
 * difference from the longest counted as time spent, most requests would be
 * served as late ones although they have not waited at all.
 */
static const struct {
	const char *what;
	uint32_t count;
	int64_t time_left_ms[4]; /* milliseconds, one request after the other */
	int64_t elapsed; /* of the last one */
} cases[] = {
	{ "the first request of a route", 1, { 12000 }, 0 },
	{ "a sixth less than another", 2, { 12000, 10000 }, 0 },
	{ "a sixth less, many times", 4, { 12000, 10000, 11000, 10100 }, 0 },
	{ "half is gone", 3, { 12000, 11000, 6000 }, 3600 },
	{ "nearly all is gone", 2, { 12000, 600 }, 9000 },
	{ "it states none", 2, { 12000, 0 }, 0 },
	{ "the more patient came later", 3, { 3000, 12000, 3000 }, 6600 },
	{ "more patient than all before", 2, { 3000, 12000 }, 0 },
};

START_TEST(small_timeout_differences_are_not_time_spent)
{
	client_timeout_t client_timeout = { 0 };
	int64_t elapsed = 0;

	for (uint32_t i = 0; i < cases[_i].count; i++)
		elapsed = client_timeout_elapsed(
			&client_timeout, cases[_i].time_left_ms[i] * MS);
	ck_assert_msg(elapsed / MS == cases[_i].elapsed, "%s: %lld",
		      cases[_i].what, (long long)(elapsed / MS));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("patience");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tests, small_timeout_differences_are_not_time_spent,
			    0, sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
