/*
 * Endpoints that say in their answers that they leave, with real programs, and
 * which departures a host reports.
 */

#include "edge.h"
#include "feed.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

enum {
	HOSTS = 3,
	WORKERS = 3,
	LAST = HOSTS - 1,
	REQUESTS = 20,
	START_MS = 8000,
	DRAIN_MS = 2000 /* after which it gets no requests */
};

static edge_t edge;

static void teardown(void)
{
	if (edge.host_count)
		edge_stop(&edge);
}

/* Sends requests to a host; returns how many of them reach the only worker. */
static long requests_through(uint32_t host)
{
	long before = edge_worker(&edge, 0, "here");

	for (int i = 0; i < REQUESTS; i++) {
		client_reply_t reply =
			edge_ask(&edge, host, EDGE_SAFE, NULL, "x");

		client_reply_finish(&reply);
		process_sleep_ms(5);
	}
	return edge_worker(&edge, 0, "here") - before;
}

enum {
	WARM_MS = 800,
	WATCH_MS = 2500,
	PATHS_MS = 1500, /* in which a host finds peers in place of a path */
	LISTED_MS = 1000
};

/* An endpoint that says in its answers that it leaves. */
typedef struct scenario {
	const char *path;
	bool engines;
	uint32_t rejected; /* of 100 */
	bool through_peers; /* the last host has lost its path to it */
	bool restart; /* a host, once it has said so */
	bool record_ready; /* its record is written again as ready */
} scenario_t;

static const scenario_t scenarios[] = {
	{ .path = EDGE_SAFE },
	{ .path = EDGE_STREAM, .engines = true },
	{ .path = EDGE_SAFE, .rejected = 100 },
	{ .path = EDGE_SAFE, .through_peers = true },
	{ .path = EDGE_UNSAFE, .restart = true },
	{ .path = EDGE_ONCE, .engines = true, .record_ready = true },
};

static const scenario_t *scenario;

static void start_scenario(void)
{
	if (scenario->through_peers)
		edge_start_paths(&edge, HOSTS, WORKERS);
	else if (scenario->engines)
		edge_start_engines(&edge, HOSTS, WORKERS);
	else
		edge_start(&edge, HOSTS, WORKERS);
	if (scenario->through_peers) {
		edge_cut_path(&edge, LAST, 0, EDGE_CUT_RESET);
		process_sleep_ms(PATHS_MS);
	}
	edge_set_worker(&edge, 0, 0, scenario->rejected, false);
}

/* What happens to hosts and records once the endpoint has said that it leaves. */
static void disturb(void)
{
	if (scenario->record_ready)
		edge_list_worker_in(&edge, 0, "b", "ready");
	if (!scenario->restart)
		return;
	process_kill(&edge.hosts[0].process);
	edge_start_host(&edge, 0);
	ck_assert(edge_wait_health(&edge, 0, 200, START_MS));
}

/* Guards against requests to an endpoint after the drain time of its answers. */
START_TEST(an_endpoint_that_says_that_it_leaves_gets_no_more)
{
	edge_callers_t callers;
	long before;

	scenario = &scenarios[_i];
	start_scenario();
	edge_call(&callers, &edge, scenario->path);
	process_sleep_ms(WARM_MS);
	edge_leave_worker(&edge, 0);
	process_sleep_ms(DRAIN_MS);
	before = edge_worker(&edge, 0, "here");
	ck_assert_int_gt(before, 0);
	disturb();
	process_sleep_ms(WATCH_MS);
	edge_end_calls(&callers);
	ck_assert_int_eq(edge_worker(&edge, 0, "here") - before, 0);
	ck_assert_uint_gt(callers.served, 100);
	if (!scenario->restart)
		ck_assert_uint_le(callers.not_served, callers.served / 100);
}
END_TEST

/* Guards against an endpoint that is never used again after it left once. */
START_TEST(a_new_process_of_an_endpoint_that_left_is_used)
{
	edge_start(&edge, HOSTS, 1);
	edge_leave_worker(&edge, 0);
	ck_assert_int_gt(requests_through(0), 0);
	process_sleep_ms(DRAIN_MS);
	ck_assert_int_eq(requests_through(LAST), 0);
	process_kill(&edge.workers[0]);
	edge_start_worker(&edge, 0, "w0-again");
	edge_list_process(&edge, 0, "a", "ready", 2);
	process_sleep_ms(LISTED_MS);
	for (uint32_t i = 0; i < HOSTS; i++)
		ck_assert_int_eq(requests_through(i), REQUESTS);
}
END_TEST

static void ignore_configuration(void *context, catalog_t *catalog)
{
	(void)context;
	catalog_release(catalog);
}

/*
 * Guards against a host that starts and reports removals of the past: endpoints
 * that the others keep for a while after an outage of the store.
 */
START_TEST(removals_of_the_past_are_not_reported)
{
	static const char key[] = "servers/w";
	static const char value[] =
		"{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"a\","
		"\"slots\":8,\"state\":\"ready\",\"born\":1}";
	static const feed_ops_t ops = { .config_updated =
						ignore_configuration };
	const net_address_t store = { INADDR_LOOPBACK, 1 };
	static registry_t registry;
	static feed_t feed;
	replica_t *records = &feed.replicas[REPLICA_ENDPOINTS];

	registry_init(&registry);
	feed_init(&feed, ev_default_loop(EVFLAG_NOENV), &store, &registry, &ops,
		  NULL);
	ck_assert_int_eq(replica_put(records, key, NULL, 0, 7), 0);
	ck_assert_uint_eq(registry.departures.count, 0);
	ck_assert_int_eq(replica_put(records, key, value, strlen(value), 8), 0);
	ck_assert_int_eq(replica_put(records, key, NULL, 0, 9), 0);
	ck_assert_uint_eq(registry.departures.count, 1);
	ck_assert_uint_eq(registry.departures.list[0].revision, 9);
	feed_finish(&feed);
	registry_finish(&registry);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("departures");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, NULL, teardown);
	tcase_add_loop_test(tests,
			    an_endpoint_that_says_that_it_leaves_gets_no_more,
			    0, sizeof(scenarios) / sizeof(scenarios[0]));
	tcase_add_test(tests, removals_of_the_past_are_not_reported);
	tcase_add_test(tests, a_new_process_of_an_endpoint_that_left_is_used);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
