/*
 * Agreement of many hosts on which hosts are live and who owns an endpoint, in
 * virtual time. ROSTER_TABLE=1 prints the table of fleet sizes for
 * docs/DESIGN.md.
 */

#include "peers_sim.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

enum { ENDPOINTS = 197 };

#define LOSS 0.02

static const struct {
	uint32_t hosts;
	/*
	 * time limit for all hosts to learn of each other after a common start
	 */
	pimento_usec_t join_time;
	/*
	 * time limit for all hosts to learn that a sixth of the hosts has died
	 */
	pimento_usec_t death_time;
} sizes[] = {
	{ 8, 2 * PIMENTO_SEC, 4 * PIMENTO_SEC },
	{ 87, 3 * PIMENTO_SEC, 5 * PIMENTO_SEC },
	{ 295, 4 * PIMENTO_SEC, 6 * PIMENTO_SEC },
	{ 400, 4 * PIMENTO_SEC, 6 * PIMENTO_SEC },
};

static void start_all(peers_sim_t *sim, uint32_t hosts, uint64_t seed)
{
	peers_sim_init(sim, hosts, seed);
	sim->loss = LOSS;
	for (uint32_t i = 0; i < hosts; i++)
		peers_sim_start(sim, i);
}

/* Guards against endpoints with several owners in a fleet without faults. */
START_TEST(owners_agree_without_faults)
{
	peers_sim_t sim;

	start_all(&sim, sizes[_i].hosts, 1);
	ck_assert_int_lt(peers_sim_converge(&sim, sizes[_i].join_time),
			 sizes[_i].join_time);
	for (int i = 0; i < 10; i++) {
		peers_sim_run(&sim, 500 * PIMENTO_MSEC);
		ck_assert_uint_eq(
			peers_sim_count_disputed_owners(&sim, ENDPOINTS), 0);
	}
	peers_sim_finish(&sim);
}
END_TEST

/*
 * Guards against dead hosts that remain owners for longer than the time in
 * which a death spreads, which grows with the logarithm of the fleet's size.
 */
START_TEST(death_reaches_all_hosts_in_time)
{
	peers_sim_t sim;

	start_all(&sim, sizes[_i].hosts, 2);
	peers_sim_converge(&sim, sizes[_i].join_time);
	for (uint32_t i = 0; i < sizes[_i].hosts; i += 6)
		peers_sim_kill(&sim, i);
	ck_assert_int_lt(peers_sim_converge(&sim, sizes[_i].death_time),
			 sizes[_i].death_time);
	ck_assert_uint_eq(peers_sim_count_disputed_owners(&sim, ENDPOINTS), 0);
	peers_sim_finish(&sim);
}
END_TEST

/* Guards against owners that change because a host was paused for 600 ms. */
START_TEST(short_pause_changes_no_owner)
{
	peers_sim_t sim;
	uint32_t before;

	start_all(&sim, sizes[_i].hosts, 3);
	peers_sim_converge(&sim, sizes[_i].join_time);
	peers_sim_run(&sim, PIMENTO_SEC);
	before = (uint32_t)peers_owner_changes(&sim.hosts[1].peers);
	sim.hosts[0].frozen_until = sim.now + 600 * PIMENTO_MSEC;
	peers_sim_run(&sim, 5 * PIMENTO_SEC);
	ck_assert_uint_eq(peers_owner_changes(&sim.hosts[1].peers), before);
	ck_assert_uint_eq(peers_sim_count_disputed_owners(&sim, ENDPOINTS), 0);
	peers_sim_finish(&sim);
}
END_TEST

/*
 * Guards against endpoints that keep two owners after all hosts were killed and
 * restarted at once.
 */
START_TEST(owners_agree_after_full_restart)
{
	peers_sim_t sim;

	start_all(&sim, sizes[_i].hosts, 4);
	peers_sim_converge(&sim, sizes[_i].join_time);
	for (uint32_t i = 0; i < sizes[_i].hosts; i++)
		peers_sim_kill(&sim, i);
	for (uint32_t i = 0; i < sizes[_i].hosts; i++)
		peers_sim_start(&sim, i);
	ck_assert_int_lt(peers_sim_converge(&sim, sizes[_i].join_time),
			 sizes[_i].join_time);
	ck_assert_uint_eq(peers_sim_count_disputed_owners(&sim, ENDPOINTS), 0);
	peers_sim_finish(&sim);
}
END_TEST

/* Guards against a leaving host that remains the owner of its endpoints. */
START_TEST(leaving_host_hands_over_endpoints)
{
	peers_sim_t sim;

	start_all(&sim, sizes[_i].hosts, 5);
	peers_sim_converge(&sim, sizes[_i].join_time);
	peers_leave(&sim.hosts[0].peers, sim.now);
	sim.hosts[0].leaving = true;
	ck_assert_int_lt(peers_sim_converge(&sim, 2 * PIMENTO_SEC),
			 2 * PIMENTO_SEC);
	ck_assert_uint_eq(peers_sim_count_disputed_owners(&sim, ENDPOINTS), 0);
	peers_sim_finish(&sim);
}
END_TEST

enum {
	DRAIN_MS = 2000, /* an endpoint gets no requests after this */
	DEPARTING = 40, /* endpoints, all at once */
	POLLERS = 8 /* hosts that read of the departures themselves */
};

/* Guards against hosts that hear too late of an endpoint's departure. */
START_TEST(departures_reach_all_hosts_in_time)
{
	static const double losses[] = { 0.02, 0.3 };
	peers_sim_t sim;

	start_all(&sim, sizes[_i / 2].hosts, 6);
	peers_sim_converge(&sim, sizes[_i / 2].join_time);
	sim.loss = losses[_i % 2];
	sim.targets = 1; /* as far as the bytes of gossip reach */
	for (uint32_t i = 0; i < POLLERS * DEPARTING; i++) {
		const departure_t departure = { .endpoint = 1 + i / POLLERS,
						.revision = 1 + i / POLLERS,
						.at = sim.now };

		departures_add(&sim.hosts[i % POLLERS].departures, &departure,
			       sim.now);
	}
	peers_sim_run(&sim, DRAIN_MS * PIMENTO_MSEC);
	for (uint32_t i = 0; i < sim.count; i++)
		ck_assert_uint_eq(sim.hosts[i].departures.count, DEPARTING);
	peers_sim_finish(&sim);
}
END_TEST

static double to_msec(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_MSEC;
}

static void print_row(uint32_t hosts)
{
	peers_sim_t sim;
	pimento_usec_t join_time;
	pimento_usec_t death_time;
	uint64_t changes;

	start_all(&sim, hosts, 7);
	join_time = peers_sim_converge(&sim, 20 * PIMENTO_SEC);
	peers_sim_run(&sim, 2 * PIMENTO_SEC);
	changes = peers_owner_changes(&sim.hosts[1].peers);
	sim.measure_bytes = true;
	sim.hosts[1].messages_sent = 0;
	sim.hosts[1].bytes_sent = 0;
	peers_sim_run(&sim, 10 * PIMENTO_SEC);
	changes = peers_owner_changes(&sim.hosts[1].peers) - changes;
	printf("%5u hosts: joined %5.0f ms, messages/s %5.1f, bytes/s %6.0f, "
	       "owner changes in 10 s without faults %llu",
	       hosts, to_msec(join_time),
	       (double)sim.hosts[1].messages_sent / 10,
	       (double)sim.hosts[1].bytes_sent / 10,
	       (unsigned long long)changes);
	sim.measure_bytes = false;
	peers_sim_kill(&sim, 0);
	death_time = peers_sim_converge(&sim, 20 * PIMENTO_SEC);
	printf(", death known %5.0f ms\n", to_msec(death_time));
	peers_sim_finish(&sim);
}

START_TEST(print_table)
{
	static const uint32_t hosts[] = { 8, 58, 87, 295, 400, 1000 };

	if (!getenv("ROSTER_TABLE"))
		return;
	for (size_t i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++)
		print_row(hosts[i]);
}
END_TEST

int main(void)
{
	const int count = sizeof(sizes) / sizeof(sizes[0]);
	Suite *suite = suite_create("peers_fleet");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tests, 300);
	tcase_add_loop_test(tests, owners_agree_without_faults, 0, count);
	tcase_add_loop_test(tests, death_reaches_all_hosts_in_time, 0, count);
	tcase_add_loop_test(tests, short_pause_changes_no_owner, 0, count);
	tcase_add_loop_test(tests, owners_agree_after_full_restart, 0, count);
	tcase_add_loop_test(tests, leaving_host_hands_over_endpoints, 0, count);
	tcase_add_loop_test(tests, departures_reach_all_hosts_in_time, 0,
			    2 * count);
	tcase_add_test(tests, print_table);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
