/*
 * Propagation of endpoint changes and large configurations to entry hosts over
 * slow links or without access to the store.
 */

#include "edge.h"
#include "relay.h"

#include <stdio.h>

enum {
	DRAIN_MS = 3000, /* a draining endpoint gets no requests after this */
	DEPARTURE_MS = 2000, /* the same, the shortest there is */
	EFFECT_MS = 6000,
	START_MS = 8000,
	PROPAGATION_MS = 500, /* of a change over idle links */
	STORE_OUTAGE_MS = 3000,
	SLOW_LINK = 600000, /* bytes per second */
	ROUTES = 4500, /* about 850 KB in total */
	KEY_REVOKE_MS = 8000,
	IN_FORCE_MS = 2000, /* the operators' bound */
	FLEET = 7, /* hosts, of which all but the last read the store */
	UNREACHED = 5, /* of these, by the last one */
	CHANGES = 3,
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

/* Sends requests to a host; returns how many of them reach a worker. */
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

/* The last host reaches its peers through relays, and the store not at all. */
static void relay_peers(uint32_t rate)
{
	uint16_t front = process_free_port();

	for (uint32_t i = 0; i < edge.host_count - 1; i++) {
		relay_t *link = &peer_links[i];

		ck_assert_int_eq(relay_init_at(link, PEERS_IP + i + 1, front,
					       edge.peer_port),
				 0);
		relay_rate(link, rate);
	}
	edge.peer_fronts[edge.host_count - 1] = front;
	edge.store_front = process_free_port(); /* nothing listens on it */
	restart_host(edge.host_count - 1);
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

static void slow_peer_links(void)
{
	relay_peers(SLOW_LINK);
}

static void (*const link_setups[])(void) = { slow_store_links,
					     slow_peer_links };

/* Guards against a large transfer that delays endpoint changes. */
START_TEST(a_draining_endpoint_gets_no_requests_during_a_large_transfer)
{
	link_setups[_i]();
	ck_assert(edge_wait_health(&edge, 2, 200, START_MS));
	edge_configure_routes(&edge, 5, KEYS, ROUTES);
	list_workers("draining");
	process_sleep_ms(DRAIN_MS);
	ck_assert_int_eq(requests_through(2), 0);
	list_workers("ready");
	ck_assert(wait_status(2, EDGE_KEY, 200, EFFECT_MS));
}
END_TEST

/* Guards against aborting slow transfers that still make progress. */
START_TEST(a_large_configuration_takes_effect_over_a_slow_link)
{
	link_setups[_i]();
	ck_assert(edge_wait_health(&edge, 2, 200, START_MS));
	edge_configure_routes(&edge, 5, KEYS, ROUTES);
	ck_assert(wait_status(2, "later-key", 200, EFFECT_MS));
}
END_TEST

/* Guards against a restarted host that never receives the configuration. */
START_TEST(a_host_starts_under_a_large_configuration_over_a_slow_link)
{
	edge_configure_routes(&edge, 5, KEYS, ROUTES);
	ck_assert(wait_status(0, "later-key", 200, EFFECT_MS));
	ck_assert(wait_status(1, "later-key", 200, EFFECT_MS));
	link_setups[_i]();
	ck_assert(edge_wait_health(&edge, 2, 200, START_MS));
	ck_assert(wait_status(2, "later-key", 200, EFFECT_MS));
}
END_TEST

/* Guards against keeping removed endpoints because of one host's lost link. */
START_TEST(a_host_without_the_store_drops_removed_endpoints_at_once)
{
	ck_assert_int_eq(relay_init(&store_links[2], edge.store.port), 0);
	edge.store_front = store_links[2].port;
	restart_host(2);
	ck_assert(edge_wait_health(&edge, 2, 200, START_MS));
	relay_drop(&store_links[2]);
	process_sleep_ms(STORE_OUTAGE_MS);
	remove_workers();
	process_sleep_ms(PROPAGATION_MS);
	for (uint32_t i = 0; i < 2; i++) /* keeps slot owners from answering */
		process_freeze(&edge.hosts[i].process);
	ck_assert_int_eq(requests_through(2), 0);
	for (uint32_t i = 0; i < 2; i++)
		process_thaw(&edge.hosts[i].process);
	list_workers("ready");
	ck_assert(wait_status(2, EDGE_KEY, 200, EFFECT_MS));
}
END_TEST

/* Guards against changes that wait for one unresponsive peer after the other. */
START_TEST(unresponsive_peers_delay_no_change)
{
	edge_stop(&edge);
	edge_start(&edge, FLEET, 1);
	edge.key_revoke_ms = KEY_REVOKE_MS;
	relay_peers(0);
	ck_assert(edge_wait_health(&edge, FLEET - 1, 200, START_MS));
	for (uint32_t i = 0; i < UNREACHED; i++)
		relay_shut_door(&peer_links[i], RELAY_HANGS);
	for (uint32_t i = 0; i < CHANGES; i++) {
		char key[16];
		char keys[64];

		snprintf(key, sizeof(key), "key-%u", i);
		snprintf(keys, sizeof(keys), "[\"%s\"]", key);
		edge_configure(&edge, 5 + i, keys, 1000);
		ck_assert(wait_status(FLEET - 1, key, 200, IN_FORCE_MS));
	}
}
END_TEST

static void drain_workers(void)
{
	list_workers("draining");
}

static void (*const departures[])(void) = { drain_workers, remove_workers };

/* Guards against hosts that learn of departures by fetches from peers alone. */
START_TEST(departures_reach_a_host_whose_fetches_fail)
{
	relay_peers(0);
	ck_assert(edge_wait_health(&edge, 2, 200, START_MS));
	ck_assert_int_gt(requests_through(2), 0);
	for (uint32_t i = 0; i < 2; i++)
		relay_shut_door(&peer_links[i], RELAY_HANGS);
	departures[_i]();
	process_sleep_ms(DEPARTURE_MS);
	for (uint32_t i = 0; i < 2; i++) /* keeps slot owners from answering */
		process_freeze(&edge.hosts[i].process);
	ck_assert_int_eq(requests_through(2), 0);
	for (uint32_t i = 0; i < 2; i++)
		process_thaw(&edge.hosts[i].process);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_links");
	TCase *tests = tcase_create("three hosts");
	const int link_setup_count =
		sizeof(link_setups) / sizeof(link_setups[0]);

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(
		tests,
		a_draining_endpoint_gets_no_requests_during_a_large_transfer, 0,
		link_setup_count);
	tcase_add_loop_test(tests,
			    a_large_configuration_takes_effect_over_a_slow_link,
			    0, link_setup_count);
	tcase_add_loop_test(
		tests,
		a_host_starts_under_a_large_configuration_over_a_slow_link, 0,
		link_setup_count);
	tcase_add_test(
		tests,
		a_host_without_the_store_drops_removed_endpoints_at_once);
	tcase_add_loop_test(tests, departures_reach_a_host_whose_fetches_fail,
			    0, sizeof(departures) / sizeof(departures[0]));
	tcase_add_test(tests, unresponsive_peers_delay_no_change);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
