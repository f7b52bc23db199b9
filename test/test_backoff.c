/*
 * Endpoints that reject a host's requests and state how long it is to back off
 * (Retry-After): what that host sends, with real programs.
 */

#include "edge.h"
#include "backoff.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	WORKERS = 3,
	LAST = 2, /* host whose paths are cut */
	WARM_MS = 800,
	PATHS_MS = 1500, /* in which a host finds peers in place of a path */
	REJECTS_MS = 2500, /* for how long the endpoint rejects */
	WATCH_MS = 5000,
	USED_AGAIN_MS = 4000, /* after the backoff */
	AT_ONCE_MS = 500,
	ALLOWED = 2 /* requests of a host in its backoff */
};

typedef struct scenario {
	uint32_t hosts;
	const char *path;
	const char *retry_after; /* as stated */
	bool engines;
	bool one_host; /* only the first host is to back off */
	bool through_peers; /* the last host has lost its path to the endpoint */
} scenario_t;

static const scenario_t scenarios[] = {
	{ .hosts = 1, .path = EDGE_STREAM, .retry_after = "2" },
	{ .hosts = 3, .path = EDGE_STREAM, .retry_after = "3" },
	{ .hosts = 3, .path = EDGE_ONCE, .retry_after = "1.5" },
	{ .hosts = 3,
	  .path = EDGE_STREAM,
	  .retry_after = "2",
	  .engines = true },
	{ .hosts = 2,
	  .path = EDGE_STREAM,
	  .retry_after = "3",
	  .one_host = true },
	{ .hosts = 3,
	  .path = EDGE_STREAM,
	  .retry_after = "3",
	  .through_peers = true },
};

static edge_t edge;
static const scenario_t *scenario;

static void teardown(void)
{
	if (edge.host_count)
		edge_stop(&edge);
}

static void start_scenario(void)
{
	if (scenario->through_peers)
		edge_start_paths(&edge, scenario->hosts, WORKERS);
	else if (scenario->engines)
		edge_start_engines(&edge, scenario->hosts, WORKERS);
	else
		edge_start(&edge, scenario->hosts, WORKERS);
	if (scenario->through_peers) {
		edge_cut_path(&edge, LAST, 0, EDGE_CUT_RESET);
		process_sleep_ms(PATHS_MS);
	}
}

static void check_used_again(void)
{
	long before = edge_worker(&edge, 0, "runs");
	int64_t until = process_now_ms() + USED_AGAIN_MS;

	while (process_now_ms() < until &&
	       edge_worker(&edge, 0, "runs") == before)
		process_sleep_ms(50);
	ck_assert_int_gt(edge_worker(&edge, 0, "runs"), before);
}

/* Guards against requests to an endpoint from which this host is to back off. */
START_TEST(an_endpoint_gets_no_requests_in_the_backoff_it_states)
{
	edge_callers_t callers;

	scenario = &scenarios[_i];
	start_scenario();
	edge_call(&callers, &edge, scenario->path);
	process_sleep_ms(WARM_MS);
	edge_set_backoff(&edge, 0, scenario->retry_after, REJECTS_MS,
			 scenario->one_host ? "h0" : "all");
	process_sleep_ms(WATCH_MS);
	check_used_again();
	edge_end_calls(&callers);
	ck_assert_int_le(edge_worker(&edge, 0, "in_backoff"), ALLOWED);
	ck_assert_uint_gt(callers.served, 100);
	ck_assert_uint_le(callers.not_served, callers.served / 100);
}
END_TEST

static const struct {
	const char *text;
	bool is_backoff;
} values[] = {
	{ "2", true },	{ "0.8", true },  { "soon", false }, { "-3", false },
	{ "0", false }, { "nan", false }, { "2x", false },
};

/* Requests of one host that reach the only worker, which rejects them. */
static long requests_that_reach_it(int requests)
{
	long before = edge_worker(&edge, 0, "here");

	for (int i = 0; i < requests; i++) {
		client_reply_t reply = edge_ask(&edge, 0, EDGE_SAFE, NULL, "x");

		ck_assert_int_eq(reply.status, 503);
		client_reply_finish(&reply);
	}
	return edge_worker(&edge, 0, "here") - before;
}

/* Guards against a backoff that is not stated, and one that is overlooked. */
START_TEST(only_a_number_of_seconds_is_a_backoff)
{
	enum { REQUESTS = 3 };

	edge_start(&edge, 1, 1);
	edge_set_backoff(&edge, 0, values[_i].text, WATCH_MS, "all");
	ck_assert_int_eq(requests_that_reach_it(1), 1);
	ck_assert_int_eq(requests_that_reach_it(REQUESTS),
			 values[_i].is_backoff ? 0 : REQUESTS);
}
END_TEST

/* Guards against callers who are told to return within all backoffs. */
START_TEST(callers_hear_when_the_first_backoff_ends)
{
	static const char *const backoffs[WORKERS] = { "4", "3", "5" };
	client_reply_t reply;
	int64_t began;
	double wait;

	edge_start(&edge, 1, WORKERS);
	for (uint32_t i = 0; i < WORKERS; i++)
		edge_set_backoff(&edge, i, backoffs[i], REJECTS_MS, "all");
	for (uint32_t i = 0; i < WORKERS; i++) {
		reply = edge_ask(&edge, 0, EDGE_SAFE, NULL, "x");
		ck_assert_int_eq(reply.status, 503);
		client_reply_finish(&reply);
	}
	began = process_now_ms();
	reply = edge_ask(&edge, 0, EDGE_SAFE, NULL, "x");
	ck_assert_int_eq(reply.status, 503);
	ck_assert_int_lt(process_now_ms() - began, AT_ONCE_MS);
	wait = strtod(reply.retry_after, NULL);
	client_reply_finish(&reply);
	ck_assert_double_gt(wait, 2);
	ck_assert_double_le(wait, 3);
	process_sleep_ms((int)(wait * 1000) + 50);
	reply = edge_ask(&edge, 0, EDGE_SAFE, NULL, "x");
	ck_assert_int_eq(reply.status, 200);
	client_reply_finish(&reply);
}
END_TEST

#define NOW (100 * PIMENTO_SEC)

/* Guards against everything that waited being sent when a backoff ends. */
START_TEST(a_half_open_endpoint_gets_one_request_at_a_time)
{
	const pimento_usec_t end = NOW + 2 * PIMENTO_SEC;
	backoff_t backoff = { 0 };

	ck_assert(!backoff_blocks(&backoff, NOW));
	ck_assert(backoff_extend(&backoff, 2 * PIMENTO_SEC, 0, NOW));
	ck_assert(backoff_blocks(&backoff, end - 1));
	ck_assert(!backoff_blocks(&backoff, end));
	ck_assert(backoff_begin_request(&backoff));
	ck_assert(backoff_blocks(&backoff, end));
	backoff_end_probe(&backoff); /* it broke */
	ck_assert(!backoff_blocks(&backoff, end));
	ck_assert(backoff_begin_request(&backoff));
	backoff_clear(&backoff);
	backoff_end_probe(&backoff);
	ck_assert(!backoff_begin_request(&backoff));
	ck_assert(!backoff_blocks(&backoff, end));
}
END_TEST

/* Guards against a shorter backoff that ends a longer one, and one for ever. */
START_TEST(the_backoff_that_ends_last_holds)
{
	backoff_t backoff = { 0 };

	ck_assert(backoff_extend(&backoff, 3 * PIMENTO_SEC, 0, NOW));
	ck_assert(!backoff_extend(&backoff, PIMENTO_SEC, 0, NOW + PIMENTO_SEC));
	ck_assert(backoff_is_active(&backoff, NOW + 3 * PIMENTO_SEC - 1));
	ck_assert(backoff_extend(&backoff, 2 * BACKOFF_SPAN_MAX, 0, NOW));
	ck_assert(backoff_is_active(&backoff, NOW + BACKOFF_SPAN_MAX - 1));
	ck_assert(!backoff_is_active(&backoff, NOW + BACKOFF_SPAN_MAX));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("backoff");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, NULL, teardown);
	tcase_add_loop_test(
		tests, an_endpoint_gets_no_requests_in_the_backoff_it_states, 0,
		sizeof(scenarios) / sizeof(scenarios[0]));
	tcase_add_loop_test(tests, only_a_number_of_seconds_is_a_backoff, 0,
			    sizeof(values) / sizeof(values[0]));
	tcase_add_test(tests, callers_hear_when_the_first_backoff_ends);
	tcase_add_test(tests, a_half_open_endpoint_gets_one_request_at_a_time);
	tcase_add_test(tests, the_backoff_that_ends_last_holds);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
