/*
 * What is learnt of an endpoint, and which endpoints take long prompts.
 */

#include "limit.h"
#include "mix.h"

#include <check.h>
#include <stdlib.h>

enum { SAMPLES = 50, REQUESTS = 32 };

static limit_t limit;

static void setup(void)
{
	limit_init(&limit, CONFIG_TARGET_MODEL, REQUESTS);
}

static void read_prompts(uint32_t tokens, pimento_usec_t span,
			 uint32_t requests, uint64_t in_flight)
{
	limit_load_t load = { requests, in_flight };

	for (int i = 0; i < SAMPLES; i++)
		limit_first_token(&limit, i * PIMENTO_SEC, tokens, span, &load);
}

START_TEST(rates_are_those_of_the_samples)
{
	read_prompts(10000, PIMENTO_SEC, 4, 40000);
	for (int i = 0; i < SAMPLES; i++)
		limit_decoded(&limit, 50, PIMENTO_SEC);
	ck_assert_double_eq_tol(limit_prefill_rate(&limit), 10000, 1);
	ck_assert_double_eq_tol(limit_decode_rate(&limit), 50, 0.1);
	ck_assert_uint_eq(limit_requests(&limit), REQUESTS);
}
END_TEST

/*
 * The engine's batch is smaller than configured, so requests wait inside it
 * and first tokens come late; callers would wait behind work that cannot be
 * reordered any more.
 */
START_TEST(late_first_tokens_lower_the_requests)
{
	read_prompts(10000, PIMENTO_SEC, 4, 40000);
	read_prompts(100, PIMENTO_SEC, REQUESTS, 40000);
	ck_assert_uint_lt(limit_requests(&limit), REQUESTS / 2);
}
END_TEST

/*
 * The engine's memory is full of tokens although few requests are in flight. A
 * short request sits in it for seconds without a first token.
 */
START_TEST(silence_lowers_the_tokens)
{
	limit_load_t load = { 4, 400000 };

	read_prompts(10000, PIMENTO_SEC, 4, 40000);
	ck_assert(limit_tokens_fit(&limit, 400000));
	ck_assert(!limit_silent(&limit, 99 * PIMENTO_SEC, 1000, PIMENTO_SEC,
				&load));
	ck_assert(limit_silent(&limit, 99 * PIMENTO_SEC, 1000, 4 * PIMENTO_SEC,
			       &load));
	ck_assert(!limit_tokens_fit(&limit, 400000));
	ck_assert(limit_tokens_fit(&limit, 300000));
	ck_assert_uint_eq(limit_requests(&limit), REQUESTS);
}
END_TEST

/* Single answers of a service scatter; the limit must not follow each one. */
START_TEST(scatter_of_a_service_leaves_its_limit)
{
	limit_load_t load = { REQUESTS, 0 };

	limit_init(&limit, CONFIG_TARGET_SERVICE, REQUESTS);
	for (int i = 0; i < 10 * SAMPLES; i++)
		limit_served(&limit, i * PIMENTO_SEC,
			     (i % 10 + 1) * 20 * PIMENTO_MSEC, &load);
	ck_assert_uint_eq(limit_requests(&limit), REQUESTS);
}
END_TEST

static const struct {
	const char *name;
	uint8_t short_tier;
	double brief;
	double lengthy;
	double kept;
} mixes[] = {
	{ "no long prompts", 0, 10, 0, 0 },
	{ "no short prompts", 0, 0, 10, 0 },
	{ "half and half", 0, 10, 10, 0.5 },
	{ "of the same tier", 1, 5, 15, 0.25 },
	{ "short ones less urgent", 2, 10, 10, 0 },
};

START_TEST(part_kept_free_of_long_prompts)
{
	mix_t mix;
	mix_target_t *target;

	mix_init(&mix);
	target = mix_target(&mix, 1);
	mix_note(target, 0, mixes[_i].short_tier, mixes[_i].brief, false);
	mix_note(target, 0, 1, mixes[_i].lengthy, true);
	ck_assert_double_eq_tol(mix_kept(target), mixes[_i].kept, 0.001);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("limit");
	TCase *tc = tcase_create("limit");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, rates_are_those_of_the_samples);
	tcase_add_test(tc, late_first_tokens_lower_the_requests);
	tcase_add_test(tc, silence_lowers_the_tokens);
	tcase_add_test(tc, scatter_of_a_service_leaves_its_limit);
	tcase_add_loop_test(tc, part_kept_free_of_long_prompts, 0,
			    sizeof(mixes) / sizeof(mixes[0]));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
