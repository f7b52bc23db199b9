/* How long answers of a route take, and what can still be finished. */

#include "answer_time.h"

#include <check.h>
#include <stdlib.h>

#define MS PIMENTO_MSEC

/* Guards against bounds that one answer, or the first one, sets for long. */
START_TEST(the_bound_follows_the_answers)
{
	answer_time_t time = { 0 };

	ck_assert_int_eq(answer_time_bound(&time), 0);
	for (int i = 0; i < 100; i++)
		answer_time_add(&time, 1000 * MS);
	ck_assert_int_eq(answer_time_bound(&time), 1000 * MS);
	answer_time_add(&time, 3000 * MS);
	ck_assert_int_gt(answer_time_bound(&time), 2000 * MS);
	for (int i = 0; i < 100; i++)
		answer_time_add(&time, 200 * MS);
	ck_assert_int_lt(answer_time_bound(&time), 210 * MS);
}
END_TEST

static const struct {
	const char *name;
	pimento_usec_t needed;
	pimento_usec_t ahead;
	uint32_t slots;
	pimento_usec_t left;
	bool fits;
} cases[] = {
	{ "first in line", 4500 * MS, 0, 6, 4600 * MS, true },
	{ "too long", 4500 * MS, 0, 6, 4400 * MS, false },
	{ "unknown time", 0, 0, 6, 1 * MS, true },
	{ "behind long ones", 4500 * MS, 24 * 4500 * MS, 12, 7400 * MS, false },
	{ "behind few long ones", 4500 * MS, 6 * 4500 * MS, 12, 7400 * MS,
	  true },
	{ "behind many short ones", 4000 * MS, 100 * 20 * MS, 10, 7400 * MS,
	  true },
	{ "short behind many short ones", 20 * MS, 5000 * 20 * MS, 10,
	  7400 * MS, false },
	{ "no slot known", 20 * MS, 5000 * 20 * MS, 0, 7400 * MS, true },
};

/* Guards against refusing what can be finished, and keeping what can not. */
START_TEST(what_can_be_finished_fits)
{
	ck_assert_msg(answer_time_fits(cases[_i].needed, cases[_i].ahead,
				       cases[_i].slots,
				       cases[_i].left) == cases[_i].fits,
		      "%s", cases[_i].name);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("answer_time");
	TCase *tests = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, the_bound_follows_the_answers);
	tcase_add_loop_test(tests, what_can_be_finished_fits, 0,
			    sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
