/*
 * Rates and limits that are learnt of an endpoint, and the share of endpoints
 * that is kept free of long prompts.
 */

#include "limit.h"
#include "prompt_mix.h"

#include <check.h>
#include <stdlib.h>

enum { SAMPLES = 50, REQUESTS = 32 };

static limit_t limit;

static void setup(void)
{
	limit_init(&limit, CONFIG_TARGET_MODEL, REQUESTS);
}

static void observe_first_tokens(uint32_t tokens, pimento_usec_t span,
				 uint32_t requests, uint64_t in_flight)
{
	limit_load_t load = { requests, in_flight };

	for (int i = 0; i < SAMPLES; i++)
		limit_observe_first_token(&limit, i * PIMENTO_SEC, tokens, span,
					  &load);
}

START_TEST(rates_match_samples)
{
	observe_first_tokens(10000, PIMENTO_SEC, 4, 40000);
	for (int i = 0; i < SAMPLES; i++)
		limit_observe_decode(&limit, 50, PIMENTO_SEC);
	ck_assert_double_eq_tol(limit_get_prefill_rate(&limit), 10000, 1);
	ck_assert_double_eq_tol(limit_get_decode_rate(&limit), 50, 0.1);
	ck_assert_uint_eq(limit_get_max_requests(&limit), REQUESTS);
}
END_TEST

/*
 * The engine's batch is smaller than the configured concurrency, so requests
 * wait inside the engine and first tokens come late. If the limit stayed,
 * urgent requests would wait behind work that can no longer be reordered.
 */
START_TEST(late_first_tokens_lower_request_limit)
{
	observe_first_tokens(10000, PIMENTO_SEC, 4, 40000);
	observe_first_tokens(100, PIMENTO_SEC, REQUESTS, 40000);
	ck_assert_uint_lt(limit_get_max_requests(&limit), REQUESTS / 2);
}
END_TEST

/*
 * The engine's memory is full of tokens although few requests are in flight,
 * and a short request waits in it for seconds without a first token. If the
 * token limit stayed, more requests would queue inside the engine.
 */
START_TEST(missing_first_token_lowers_token_limit)
{
	limit_load_t load = { 4, 400000 };

	observe_first_tokens(10000, PIMENTO_SEC, 4, 40000);
	ck_assert(limit_tokens_fit(&limit, 400000));
	ck_assert(!limit_check_first_token(&limit, 99 * PIMENTO_SEC, 1000,
					   PIMENTO_SEC, &load));
	ck_assert(limit_check_first_token(&limit, 99 * PIMENTO_SEC, 1000,
					  4 * PIMENTO_SEC, &load));
	ck_assert(!limit_tokens_fit(&limit, 400000));
	ck_assert(limit_tokens_fit(&limit, 300000));
	ck_assert_uint_eq(limit_get_max_requests(&limit), REQUESTS);
}
END_TEST

/*
 * Service times scatter widely. If the limit followed single answers, it would
 * fall without any overload.
 */
START_TEST(service_time_variance_keeps_request_limit)
{
	limit_load_t load = { REQUESTS, 0 };

	limit_init(&limit, CONFIG_TARGET_SERVICE, REQUESTS);
	for (int i = 0; i < 10 * SAMPLES; i++)
		limit_observe_service(&limit, i * PIMENTO_SEC,
				      (i % 10 + 1) * 20 * PIMENTO_MSEC, &load);
	ck_assert_uint_eq(limit_get_max_requests(&limit), REQUESTS);
}
END_TEST

static const struct {
	const char *name;
	uint8_t short_tier;
	double short_work;
	double long_work;
	double short_share;
} prompt_mix_cases[] = {
	{ "no long prompts", 0, 10, 0, 0 },
	{ "no short prompts", 0, 0, 10, 0 },
	{ "equal work of both kinds", 0, 10, 10, 0.5 },
	{ "short prompts of the same tier", 1, 5, 15, 0.25 },
	{ "short prompts less urgent", 2, 10, 10, 0 },
};

START_TEST(short_prompt_share_follows_work)
{
	prompt_mix_t mix;
	prompt_mix_target_t *target;

	prompt_mix_init(&mix);
	target = prompt_mix_find_or_add_target(&mix, 1);
	prompt_mix_record(target, 0, prompt_mix_cases[_i].short_tier,
			  prompt_mix_cases[_i].short_work, false);
	prompt_mix_record(target, 0, 1, prompt_mix_cases[_i].long_work, true);
	ck_assert_double_eq_tol(prompt_mix_short_share(target),
				prompt_mix_cases[_i].short_share, 0.001);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("limit");
	TCase *tc = tcase_create("limit");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, rates_match_samples);
	tcase_add_test(tc, late_first_tokens_lower_request_limit);
	tcase_add_test(tc, missing_first_token_lowers_token_limit);
	tcase_add_test(tc, service_time_variance_keeps_request_limit);
	tcase_add_loop_test(tc, short_prompt_share_follows_work, 0,
			    sizeof(prompt_mix_cases) /
				    sizeof(prompt_mix_cases[0]));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
