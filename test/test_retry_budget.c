/* The retries of all hosts together stay within the operator's bound. */

#include "retry_budget.h"

#include <check.h>
#include <stdlib.h>

enum { HOSTS = 8, RUN_S = 40, WINDOW_S = 10, STEP_MS = 10 };

static const retry_budget_limits_t limits = { .window = WINDOW_S * PIMENTO_SEC,
					      .ratio = 0.2,
					      .slack = 56 };

static uint32_t requests[RUN_S * 1000 / STEP_MS];
static uint32_t retries[RUN_S * 1000 / STEP_MS];

static void check_windows(void)
{
	const int steps = WINDOW_S * 1000 / STEP_MS;
	double requests_in_window = 0;
	double retries_in_window = 0;

	for (int i = 0; i < RUN_S * 1000 / STEP_MS; i++) {
		requests_in_window += requests[i];
		retries_in_window += retries[i];
		if (i >= steps) {
			requests_in_window -= requests[i - steps];
			retries_in_window -= retries[i - steps];
		}
		ck_assert_msg(
			retries_in_window <= limits.ratio * requests_in_window +
						     limits.slack,
			"step %d: %.0f retries of %.0f requests in the window",
			i, retries_in_window, requests_in_window);
	}
}

/*
 * Guards against retries that add half to the load of failing endpoints. Every
 * request fails at its first endpoint, on all hosts at once, and halfway all
 * hosts are killed and lose their counts of retries.
 */
START_TEST(retries_stay_within_budget_when_all_requests_fail)
{
	retry_budget_t budgets[HOSTS] = { 0 };
	uint32_t all = 0;

	for (int i = 0; i < RUN_S * 1000 / STEP_MS; i++) {
		pimento_usec_t now = PIMENTO_SEC + i * STEP_MS * PIMENTO_MSEC;
		retry_budget_t *budget = &budgets[i % HOSTS];

		if (i == RUN_S * 1000 / STEP_MS / 2)
			for (int j = 0; j < HOSTS; j++)
				retry_budget_init(&budgets[j], &limits, now);
		retry_budget_add_request(budget, &limits, now);
		requests[i] = 1;
		retries[i] = retry_budget_take(budget, &limits, HOSTS, now);
		all += retries[i];
	}
	check_windows();
	ck_assert_uint_gt(
		all,
		400); /* at least a tenth of the 4000 requests is retried */
}
END_TEST

/* A disturbance of the fleet under which every attempt at an endpoint fails. */
typedef struct scenario {
	int fail_from_ms;
	int kill_every_ms; /* 0: no host is killed */
	int kills_at_once; /* hosts, in turn */
} scenario_t;

/* Retries of a request that all fail. */
enum { RETRIES_MAX = 4 };

static void kill_some(retry_budget_t *budgets, const scenario_t *scenario,
		      int at_ms, int *next)
{
	pimento_usec_t now = PIMENTO_SEC + at_ms * PIMENTO_MSEC;

	if (!scenario->kill_every_ms || at_ms < scenario->fail_from_ms ||
	    at_ms % scenario->kill_every_ms)
		return;
	for (int i = 0; i < scenario->kills_at_once; i++, (*next)++)
		retry_budget_init(&budgets[*next % HOSTS], &limits, now);
}

static void play(const scenario_t *scenario)
{
	retry_budget_t budgets[HOSTS] = { 0 };
	int next = 0;

	for (int i = 0; i < RUN_S * 1000 / STEP_MS; i++) {
		pimento_usec_t now = PIMENTO_SEC + i * STEP_MS * PIMENTO_MSEC;
		retry_budget_t *budget = &budgets[i % HOSTS];

		kill_some(budgets, scenario, i * STEP_MS, &next);
		retry_budget_add_request(budget, &limits, now);
		requests[i] = 1;
		retries[i] = 0;
		while (i * STEP_MS >= scenario->fail_from_ms &&
		       retries[i] < RETRIES_MAX &&
		       retry_budget_take(budget, &limits, HOSTS, now))
			retries[i]++;
	}
	check_windows();
}

/* Guards against retries that a killed host spends again within one window. */
START_TEST(killed_hosts_do_not_spend_their_retries_again)
{
	static const scenario_t scenarios[] = {
		{ 15000, 2500, HOSTS }, /* all at once */
		{ 15000, 1500, HOSTS / 2 },
		{ 15000, 500, 1 }, /* one after the other */
		{ 15000, 5000, HOSTS },
	};

	play(&scenarios[_i]);
}
END_TEST

/* Guards against a window that forgets retries before it ends. */
START_TEST(retries_count_for_the_whole_window)
{
	const scenario_t scenario = { .fail_from_ms = 10000 + _i * 100 };

	play(&scenario);
}
END_TEST

START_TEST(idle_budget_is_limited_to_slack)
{
	retry_budget_t budget = { 0 };
	uint32_t taken = 0;

	while (retry_budget_take(&budget, &limits, HOSTS, PIMENTO_SEC))
		taken++;
	ck_assert_uint_ge(taken, 1);
	ck_assert_uint_le(taken * HOSTS, (uint32_t)limits.slack);
}
END_TEST

/* Guards against a budget that searches without a retry use up. */
START_TEST(returned_retries_can_be_taken_again)
{
	const pimento_usec_t later = PIMENTO_SEC + limits.window / 2;
	const pimento_usec_t past = PIMENTO_SEC + limits.window +
				    limits.window / (RETRY_BUDGET_SLICES - 1);
	retry_budget_t budget = { 0 };
	uint32_t taken = 0;

	while (retry_budget_take(&budget, &limits, HOSTS, PIMENTO_SEC))
		taken++;
	retry_budget_return(&budget, &limits, PIMENTO_SEC, later);
	ck_assert(retry_budget_take(&budget, &limits, HOSTS, later));
	ck_assert(!retry_budget_take(&budget, &limits, HOSTS, later));
	/* the first ones have left the window, the last one has not */
	retry_budget_return(&budget, &limits, PIMENTO_SEC, past);
	while (retry_budget_take(&budget, &limits, HOSTS, past))
		taken--;
	ck_assert_uint_eq(taken, 1);
}
END_TEST

/* Guards against retries that leave the window before they were sent so long. */
START_TEST(retries_count_from_when_they_are_sent)
{
	const pimento_usec_t sent_at = PIMENTO_SEC + 1400 * PIMENTO_MSEC;
	const pimento_usec_t last = sent_at + limits.window;
	retry_budget_t budget = { 0 };
	uint32_t taken = 0;

	while (retry_budget_take(&budget, &limits, HOSTS, PIMENTO_SEC))
		taken++;
	for (uint32_t i = 0; i < taken; i++)
		retry_budget_sent(&budget, &limits, PIMENTO_SEC, sent_at);
	ck_assert_uint_eq(retry_budget_usage(&budget, &limits, last).retries,
			  taken);
	ck_assert(!retry_budget_take(&budget, &limits, HOSTS, last));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("retry_budget");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_test(tests,
		       retries_stay_within_budget_when_all_requests_fail);
	tcase_add_loop_test(
		tests, killed_hosts_do_not_spend_their_retries_again, 0, 4);
	tcase_add_loop_test(tests, retries_count_for_the_whole_window, 0, 10);
	tcase_add_test(tests, idle_budget_is_limited_to_slack);
	tcase_add_test(tests, returned_retries_can_be_taken_again);
	tcase_add_test(tests, retries_count_from_when_they_are_sent);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
