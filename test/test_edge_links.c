/*
 * What entry hosts take over when their links are slow or the store is out of
 * their reach: endpoints that leave, and large configurations.
 */

#include "edge.h"
#include "relay.h"

#include <stdio.h>

enum {
	DRAIN_MS = 3000, /* an endpoint that leaves gets no request after it */
	TAKES_EFFECT_MS = 6000,
	STARTS_MS = 8000,
	HEARD_MS = 500, /* a change, by hosts whose links are not busy */
	STORE_AWAY_MS = 3000,
	SLOW_LINK = 600000, /* bytes a second */
	ROUTES = 4500, /* of 850 KB together */
	KEY_REVOKE_MS = 8000,
	PEERS_IP = 0x7f000100 /* 127.0.1.0 */
};

#define KEYS "[\"" EDGE_KEY "\",\"later-key\"]"

static edge_t edge;
static relay_t store_links[EDGE_HOSTS_MAX];
static relay_t peer_links[EDGE_HOSTS_MAX];

static void setup(void)
{
	edge_start(&edge, 3, EDGE_WORKERS_MAX);
	edge.key_revoke_ms = KEY_REVOKE_MS;
}

static void teardown(void)
{
	edge_stop(&edge);
}

static long status_with(uint32_t host, const char *key)
{
	client_reply_t reply = edge_ask_key(&edge, host, EDGE_SAFE, key);
	long status = reply.status;

	client_reply_finish(&reply);
	return status;
}

static bool wait_status(uint32_t host, const char *key, long status,
			int timeout_ms)
{
	int64_t until = process_now_ms() + timeout_ms;

	while (process_now_ms() < until) {
		if (status_with(host, key) == status)
			return true;
		process_sleep_ms(20);
	}
	return false;
}

static void list_workers(const char *state)
{
	for (uint32_t i = 0; i < edge.worker_count; i++)
		edge_list_worker(&edge, i, state);
}

static void remove_workers(void)
{
	char key[32];

	for (uint32_t i = 0; i < edge.worker_count; i++) {
		snprintf(key, sizeof(key), "servers/w%u", i);
		edge_remove(&edge, key);
	}
}

static long requests_of_workers(void)
{
	long requests = 0;

	for (uint32_t i = 0; i < edge.worker_count; i++)
		requests += edge_worker(&edge, i, "here");
	return requests;
}

/* Sends requests to the host; returns how many reach a worker. */
static long requests_through(uint32_t host)
{
	long before = requests_of_workers();

	for (int i = 0; i < 20; i++) {
		status_with(host, EDGE_KEY);
		process_sleep_ms(10);
	}
	return requests_of_workers() - before;
}

static void restart_host(uint32_t host)
{
	process_kill(&edge.hosts[host].process);
	edge_start_host(&edge, host);
}

/* Each host reaches the store over a slow link of its own. */
static void slow_store_links(void)
{
	for (uint32_t i = 0; i < edge.host_count; i++) {
		relay_t *link = &store_links[i];

		ck_assert_int_eq(relay_init(link, edge.store.port), 0);
		relay_rate(link, SLOW_LINK);
		edge.store_front = link->port;
		restart_host(i);
	}
}

/* The last host reaches no store, and its peers over slow links. */
static void slow_peer_links(void)
{
	uint16_t front = process_free_port();

	for (uint32_t i = 0; i < 2; i++) {
		relay_t *link = &peer_links[i];

		ck_assert_int_eq(relay_init_at(link, PEERS_IP + i + 1, front,
					       edge.peer_port),
				 0);
		relay_rate(link, SLOW_LINK);
	}
	edge.peer_fronts[2] = front;
	edge.store_front = process_free_port(); /* nobody listens there */
	restart_host(2);
}

static void (*const slow_links[])(void) = { slow_store_links, slow_peer_links };

/* Guards against requests to a leaving endpoint behind a large transfer. */
START_TEST(a_leaving_endpoint_is_heard_beside_a_large_configuration)
{
	slow_links[_i]();
	ck_assert(edge_wait_health(&edge, 2, 200, STARTS_MS));
	edge_configure_routes(&edge, 5, KEYS, ROUTES);
	list_workers("draining");
	process_sleep_ms(DRAIN_MS);
	ck_assert_int_eq(requests_through(2), 0);
	list_workers("ready");
	ck_assert(wait_status(2, EDGE_KEY, 200, TAKES_EFFECT_MS));
}
END_TEST

/* Guards against transfers that are cut before they can end. */
START_TEST(a_large_configuration_takes_effect_over_a_slow_link)
{
	slow_links[_i]();
	ck_assert(edge_wait_health(&edge, 2, 200, STARTS_MS));
	edge_configure_routes(&edge, 5, KEYS, ROUTES);
	ck_assert(wait_status(2, "later-key", 200, TAKES_EFFECT_MS));
}
END_TEST

/* Guards against a restarted host that never learns the configuration. */
START_TEST(a_host_starts_under_a_large_configuration_over_a_slow_link)
{
	edge_configure_routes(&edge, 5, KEYS, ROUTES);
	ck_assert(wait_status(0, "later-key", 200, TAKES_EFFECT_MS));
	ck_assert(wait_status(1, "later-key", 200, TAKES_EFFECT_MS));
	slow_links[_i]();
	ck_assert(edge_wait_health(&edge, 2, 200, STARTS_MS));
	ck_assert(wait_status(2, "later-key", 200, TAKES_EFFECT_MS));
}
END_TEST

/* Guards against a grace time for removed endpoints that no outage gave. */
START_TEST(a_host_without_the_store_drops_removed_endpoints_at_once)
{
	ck_assert_int_eq(relay_init(&store_links[2], edge.store.port), 0);
	edge.store_front = store_links[2].port;
	restart_host(2);
	ck_assert(edge_wait_health(&edge, 2, 200, STARTS_MS));
	relay_drop(&store_links[2]);
	process_sleep_ms(STORE_AWAY_MS);
	remove_workers();
	process_sleep_ms(HEARD_MS);
	for (uint32_t i = 0; i < 2; i++) /* owners of slots do not answer */
		process_freeze(&edge.hosts[i].process);
	ck_assert_int_eq(requests_through(2), 0);
	for (uint32_t i = 0; i < 2; i++)
		process_thaw(&edge.hosts[i].process);
	list_workers("ready");
	ck_assert(wait_status(2, EDGE_KEY, 200, TAKES_EFFECT_MS));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_links");
	TCase *tests = tcase_create("three hosts");
	const int kinds = sizeof(slow_links) / sizeof(slow_links[0]);

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(
		tests, a_leaving_endpoint_is_heard_beside_a_large_configuration,
		0, kinds);
	tcase_add_loop_test(tests,
			    a_large_configuration_takes_effect_over_a_slow_link,
			    0, kinds);
	tcase_add_loop_test(
		tests,
		a_host_starts_under_a_large_configuration_over_a_slow_link, 0,
		kinds);
	tcase_add_test(
		tests,
		a_host_without_the_store_drops_removed_endpoints_at_once);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
