/*
 * Estimate of the time that a caller has spent on earlier attempts, from the
 * time left that its request states.
 */

#include "client_timeout.h"

#include <check.h>
#include <stdlib.h>

#define MS PIMENTO_MSEC

/*
 * Guards against different time-outs that count as time spent. The time-outs of
 * a route's callers differ by a sixth; if the whole difference from the longest
 * counted, most requests would be served as overdue although they have not
 * waited at all.
 */
static const struct {
	const char *what;
	uint32_t count;
	/* milliseconds, as stated by successive requests */
	int64_t time_left_ms[4];
	int64_t elapsed; /* milliseconds, estimated for the last request */
} cases[] = {
	{ "first request of a route", 1, { 12000 }, 0 },
	{ "a sixth less than another caller", 2, { 12000, 10000 }, 0 },
	{ "up to a sixth less, several callers",
	  4,
	  { 12000, 10000, 11000, 10100 },
	  0 },
	{ "half of the time is spent", 3, { 12000, 11000, 6000 }, 3600 },
	{ "nearly all of the time is spent", 2, { 12000, 600 }, 9000 },
	{ "request states no time left", 2, { 12000, 0 }, 0 },
	{ "longer time-out seen in between", 3, { 3000, 12000, 3000 }, 6600 },
	{ "longer time-out than all before", 2, { 3000, 12000 }, 0 },
};

START_TEST(small_timeout_differences_are_not_time_spent)
{
	client_timeout_t client_timeout = { 0 };
	int64_t elapsed = 0;

	for (uint32_t i = 0; i < cases[_i].count; i++)
		elapsed = client_timeout_elapsed(
			&client_timeout, cases[_i].time_left_ms[i] * MS);
	ck_assert_msg(elapsed / MS == cases[_i].elapsed,
		      "%s: estimated %lld ms", cases[_i].what,
		      (long long)(elapsed / MS));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("client_timeout");
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
