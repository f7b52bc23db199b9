/* Division of a scarce account's rate of tokens. */

#include "quota_share.h"

#include <check.h>
#include <stdlib.h>

enum { STEP_MS = 10, RUN_S = 20 };

/*
 * Guards against large requests that are never admitted, and against spending
 * above the rate. Callers request more than the rate, in very different sizes;
 * a large request overdraws the credit of the next seconds.
 */
START_TEST(spending_averages_the_refill_rate)
{
	quota_share_t share = { 0 };
	double spent = 0;
	uint32_t large = 0;

	for (int step = 1; step <= RUN_S * 1000 / STEP_MS; step++) {
		pimento_usec_t now = step * STEP_MS * PIMENTO_MSEC;
		double tokens = step % 51 ? 100 : 6000;

		quota_share_add_demand(&share, 0, tokens, now);
		quota_share_refill(&share, 5000, now);
		if (!quota_share_spend(&share, 0, tokens, now))
			continue;
		spent += tokens;
		large += tokens > 1000;
	}
	ck_assert_double_eq_tol(spent, 5000.0 * RUN_S, 10000);
	ck_assert_uint_ge(large, 2);
}
END_TEST

START_TEST(demand_estimate_decays)
{
	quota_share_t share = { 0 };
	pimento_usec_t now = 0;

	for (int i = 0; i < 2000; i++) {
		now += STEP_MS * PIMENTO_MSEC;
		quota_share_add_demand(&share, 0, 50,
				       now); /* 5,000 tokens per second */
	}
	ck_assert_double_eq_tol(quota_share_demand(&share, now), 5000, 100);
	ck_assert_double_le(quota_share_demand(&share, now + 30 * PIMENTO_SEC),
			    1);
}
END_TEST

START_TEST(refunded_credit_can_be_spent)
{
	quota_share_t share = { 0 };

	quota_share_refill(&share, 1000, PIMENTO_SEC);
	ck_assert(quota_share_spend(&share, 0, 2000, PIMENTO_SEC));
	ck_assert(!quota_share_spend(&share, 0, 1, PIMENTO_SEC));
	quota_share_refund(&share, 2000);
	ck_assert(quota_share_spend(&share, 0, 1, PIMENTO_SEC));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota_share");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_test(tests, spending_averages_the_refill_rate);
	tcase_add_test(tests, demand_estimate_decays);
	tcase_add_test(tests, refunded_credit_can_be_spent);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
