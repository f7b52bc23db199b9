/* Endpoint selection at the entry, and its next step when an owner refuses. */

#include "owner.h"
#include "route.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum { FAST = 1, SLOW = 2, SERVICE = 3 };

static route_t route;
static config_endpoint_t endpoints[] = {
	{ .name = "fast",
	  .id = FAST,
	  .target = CONFIG_TARGET_MODEL,
	  .target_name = "model",
	  .concurrency = 8 },
	{ .name = "slow",
	  .id = SLOW,
	  .target = CONFIG_TARGET_MODEL,
	  .target_name = "model",
	  .concurrency = 8,
	  .context_tokens = 50000 },
	{ .name = "shop",
	  .id = SERVICE,
	  .target = CONFIG_TARGET_SERVICE,
	  .target_name = "shop",
	  .concurrency = 2 },
};
static pimento_config_t config = {
	.tier_count = 3,
	.endpoint_count = 3,
	.endpoints = endpoints,
};
static route_query_t query = {
	.target = CONFIG_TARGET_MODEL,
	.target_name = "model",
	.tier = 1,
	.time_left = 60 * PIMENTO_SEC,
	.prompt_tokens = 1000,
	.answer_tokens = 100,
};

static void set_summary(pimento_id_t endpoint, uint32_t running,
			uint32_t waiting, float prefill, float decode)
{
	message_summary_t s = { .endpoint = endpoint,
				.epoch = 1,
				.limit = 8,
				.running = running,
				.prefill_rate = prefill,
				.decode_rate = decode };

	s.waiting[1] = waiting;
	s.wait_ms[1] = waiting * 1000;
	route_update_summary(&route, 0, &s);
}

static void setup(void)
{
	ck_assert_int_eq(route_init(&route, 1), 0);
	ck_assert_int_eq(route_configure(&route, 0, &config), 0);
	set_summary(FAST, 0, 0, 10000, 50);
	set_summary(SLOW, 0, 0, 5000, 25);
}

static void teardown(void)
{
	route_finish(&route);
}

static pimento_id_t pick(const route_query_t *q)
{
	route_choice_t choice = { 0 };

	if (route_pick(&route, 0, q, &choice))
		return 0;
	return choice.endpoint;
}

static const struct {
	const char *name;
	uint32_t running;
	uint32_t waiting;
	bool leaving;
	bool failed;
	pimento_id_t avoid;
	uint32_t prompt;
	pimento_id_t want;
} cases[] = {
	{ "fastest endpoint", 0, 0, false, false, 0, 1000, FAST },
	{ "fastest has a long queue", 8, 30, false, false, 0, 1000, SLOW },
	{ "fastest is leaving", 0, 0, true, false, 0, 1000, SLOW },
	{ "fastest refused a connection", 0, 0, false, true, 0, 1000, SLOW },
	{ "fastest refused the request", 0, 0, false, false, FAST, 1000, SLOW },
	{ "prompt exceeds the context of slow", 8, 30, false, false, 0, 60000,
	  FAST },
	{ "no usable endpoint", 0, 0, true, false, 0, 60000, 0 },
};

START_TEST(route_picks_expected_endpoint)
{
	route_query_t q = query;

	set_summary(FAST, cases[_i].running, cases[_i].waiting, 10000, 50);
	route_set_leaving(&route, FAST, cases[_i].leaving);
	if (cases[_i].failed)
		route_endpoint_failed(&route, 0, FAST);
	q.avoid = &cases[_i].avoid;
	q.avoid_count = cases[_i].avoid ? 1 : 0;
	q.prompt_tokens = cases[_i].prompt;
	ck_assert_msg(pick(&q) == cases[_i].want, "%s", cases[_i].name);
}
END_TEST

START_TEST(cached_prefix_is_preferred)
{
	route_query_t q = query;

	q.prefix = 99;
	q.prompt_tokens = 40000;
	q.answer_tokens = 1;
	set_summary(FAST, 0, 0, 8000, 25);
	set_summary(SLOW, 0, 0, 6000, 25);
	ck_assert_uint_eq(pick(&q), FAST);
	route_record_prefix(&route, 0, SLOW, 99, 40000);
	ck_assert_uint_eq(pick(&q), SLOW);
}
END_TEST

START_TEST(unmeasured_endpoint_is_tried)
{
	set_summary(FAST, 0, 0, 0, 0);
	set_summary(FAST, 0, 0, 0, 0);
	set_summary(SLOW, 4, 0, 5000, 25);
	ck_assert_uint_eq(pick(&query), FAST);
}
END_TEST

START_TEST(older_epoch_is_ignored)
{
	message_summary_t s = { .endpoint = FAST, .epoch = 9, .leaving = 1 };

	route_update_summary(&route, 0, &s);
	set_summary(FAST, 0, 0, 10000, 50);
	ck_assert_uint_eq(pick(&query), SLOW);
}
END_TEST

static int refused(route_retry_t *retry, const route_query_t *q,
		   pimento_id_t endpoint, route_choice_t *choice, uint8_t *hops)
{
	message_refuse_t refuse = { .reason = PIMENTO_EDEADLINE,
				    .retry_after = PIMENTO_SEC };

	return route_handle_refusal(&route, 0, retry, q, query.time_left,
				    endpoint, &refuse, choice, hops);
}

/*
 * Every owner refuses because the request would miss its deadline. Without a
 * final attempt at each owner, requests of lower priority would still be
 * waiting when the caller gets its refusal.
 */
START_TEST(refused_request_gets_final_attempt_at_every_owner)
{
	route_retry_t retry;
	route_choice_t choice;
	uint8_t hops = 0;

	route_retry_init(&retry);
	ck_assert_int_eq(refused(&retry, &query, FAST, &choice, &hops), 0);
	ck_assert_uint_eq(choice.endpoint, SLOW);
	ck_assert_uint_eq(hops, 1);
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(refused(&retry, &query, choice.endpoint,
					 &choice, &hops),
				 0);
		ck_assert_uint_eq(hops, OWNER_HOPS_FINAL);
	}
	ck_assert_int_eq(
		refused(&retry, &query, choice.endpoint, &choice, &hops),
		PIMENTO_EDEADLINE);
	ck_assert_int_eq(retry.retry_after, PIMENTO_SEC);
}
END_TEST

START_TEST(lowest_tier_gets_no_final_attempt)
{
	route_retry_t retry;
	route_choice_t choice;
	route_query_t q = query;
	uint8_t hops = 0;

	q.tier = 2;
	route_retry_init(&retry);
	ck_assert_int_eq(refused(&retry, &q, FAST, &choice, &hops), 0);
	ck_assert_int_eq(refused(&retry, &q, SLOW, &choice, &hops),
			 PIMENTO_EDEADLINE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("route");
	TCase *tc = tcase_create("route");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, route_picks_expected_endpoint, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tc, cached_prefix_is_preferred);
	tcase_add_test(tc, unmeasured_endpoint_is_tried);
	tcase_add_test(tc, older_epoch_is_ignored);
	tcase_add_test(tc, refused_request_gets_final_attempt_at_every_owner);
	tcase_add_test(tc, lowest_tier_gets_no_final_attempt);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
