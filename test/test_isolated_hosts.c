/*
 * Hosts that start while the hosts of their seeds are down find nobody, and
 * nothing tells them how many others did the same.
 */

#include "edge.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	SEEDS = 2, /* the first hosts, as the settings of edge.c name them */
	HOSTS = 8,
	ISOLATED = HOSTS - SEEDS,
	WORKERS = 2,
	READY_MS = 10000,
	FIND_MS = 10000,
	REQUESTS = 20, /* at each host, within one window of the budget */
	/* of edge.c: retries for each five requests, and beyond that */
	REQUESTS_PER_RETRY = 5,
	RETRY_SLACK = 56,
	WINDOW_MS = 10500 /* younger processes have less of the slack */
};

static edge_t edge;

static void restart_without_seeds(void)
{
	edge_start(&edge, HOSTS, WORKERS);
	for (uint32_t i = 0; i < HOSTS; i++)
		process_kill(&edge.hosts[i].process);
	for (uint32_t i = SEEDS; i < HOSTS; i++)
		edge_start_host(&edge, i);
	for (uint32_t i = SEEDS; i < HOSTS; i++)
		ck_assert(edge_wait_health(&edge, i, 200, READY_MS));
}

static void *ask_in_vain(void *data)
{
	uint32_t host = *(const uint32_t *)data;

	for (int i = 0; i < REQUESTS; i++) {
		client_reply_t reply =
			edge_ask(&edge, host, EDGE_SAFE, "fail", "x");

		client_reply_finish(&reply);
	}
	return NULL;
}

/* Guards against isolated hosts that each spend the slack of a few hosts. */
START_TEST(isolated_hosts_share_the_retry_budget)
{
	pthread_t threads[ISOLATED];
	uint32_t hosts[ISOLATED];
	long repeats = 0;

	restart_without_seeds();
	process_sleep_ms(WINDOW_MS);
	for (uint32_t i = 0; i < ISOLATED; i++) {
		hosts[i] = SEEDS + i;
		ck_assert_int_eq(pthread_create(&threads[i], NULL, ask_in_vain,
						&hosts[i]),
				 0);
	}
	for (uint32_t i = 0; i < ISOLATED; i++)
		pthread_join(threads[i], NULL);
	for (uint32_t i = SEEDS; i < HOSTS; i++)
		repeats += edge_metric(&edge, i, "pimento_repeats_total");
	ck_assert_int_gt(repeats, 0);
	ck_assert_int_le(repeats, ISOLATED * REQUESTS / REQUESTS_PER_RETRY +
					  RETRY_SLACK);
	edge_stop(&edge);
}
END_TEST

/* Guards against a state that operators cannot see, or that does not end. */
START_TEST(isolation_shows_and_ends_with_the_first_peer)
{
	int64_t until;

	restart_without_seeds();
	for (uint32_t i = SEEDS; i < HOSTS; i++)
		ck_assert_int_eq(edge_metric(&edge, i, "pimento_host_isolated"),
				 1);
	edge_start_host(&edge, 0);
	until = process_now_ms() + FIND_MS;
	for (uint32_t i = SEEDS; i < HOSTS;) {
		if (edge_metric(&edge, i, "pimento_host_isolated") == 0)
			i++;
		else
			ck_assert_int_lt(process_now_ms(), until);
	}
	edge_stop(&edge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("isolated_hosts");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, isolated_hosts_share_the_retry_budget);
	tcase_add_test(tests, isolation_shows_and_ends_with_the_first_peer);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
