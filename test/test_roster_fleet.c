/*
 * Who lives and who owns an endpoint, as many hosts see it, in virtual time.
 * ROSTER_TABLE=1 prints what docs/DESIGN.md tells of sizes.
 */

#include "roster_world.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

enum { ENDPOINTS = 197 };

#define LOSS 0.02

static const struct {
	uint32_t hosts;
	pimento_usec_t joined; /* all know all, after a common start */
	pimento_usec_t died; /* all know of the death of a sixth */
} sizes[] = {
	{ 8, 2 * PIMENTO_SEC, 4 * PIMENTO_SEC },
	{ 87, 3 * PIMENTO_SEC, 5 * PIMENTO_SEC },
	{ 295, 4 * PIMENTO_SEC, 6 * PIMENTO_SEC },
	{ 400, 4 * PIMENTO_SEC, 6 * PIMENTO_SEC },
};

static void start_all(roster_world_t *world, uint32_t hosts, uint64_t seed)
{
	roster_world_init(world, hosts, seed);
	world->loss = LOSS;
	for (uint32_t i = 0; i < hosts; i++)
		roster_world_start(world, i);
}

/* Guards against endpoints with several owners in a fleet that is sound. */
START_TEST(owners_agree_in_calm)
{
	roster_world_t world;

	start_all(&world, sizes[_i].hosts, 1);
	ck_assert_int_lt(roster_world_settle(&world, sizes[_i].joined),
			 sizes[_i].joined);
	for (int i = 0; i < 10; i++) {
		roster_world_run(&world, 500 * PIMENTO_MSEC);
		ck_assert_uint_eq(roster_world_disputed(&world, ENDPOINTS), 0);
	}
	roster_world_finish(&world);
}
END_TEST

/* Guards against owners that are gone for longer than the fleet's log allows. */
START_TEST(a_death_is_known_everywhere_in_time)
{
	roster_world_t world;

	start_all(&world, sizes[_i].hosts, 2);
	roster_world_settle(&world, sizes[_i].joined);
	for (uint32_t i = 0; i < sizes[_i].hosts; i += 6)
		roster_world_kill(&world, i);
	ck_assert_int_lt(roster_world_settle(&world, sizes[_i].died),
			 sizes[_i].died);
	ck_assert_uint_eq(roster_world_disputed(&world, ENDPOINTS), 0);
	roster_world_finish(&world);
}
END_TEST

/* Guards against owners that move because a host stood still for a moment. */
START_TEST(a_short_pause_moves_no_owner)
{
	roster_world_t world;
	uint32_t before;

	start_all(&world, sizes[_i].hosts, 3);
	roster_world_settle(&world, sizes[_i].joined);
	roster_world_run(&world, PIMENTO_SEC);
	before = (uint32_t)roster_changes(&world.hosts[1].roster);
	world.hosts[0].frozen_until = world.now + 600 * PIMENTO_MSEC;
	roster_world_run(&world, 5 * PIMENTO_SEC);
	ck_assert_uint_eq(roster_changes(&world.hosts[1].roster), before);
	ck_assert_uint_eq(roster_world_disputed(&world, ENDPOINTS), 0);
	roster_world_finish(&world);
}
END_TEST

/* Guards against two owners for good after all hosts were killed at once. */
START_TEST(a_fleet_that_restarts_agrees_again)
{
	roster_world_t world;

	start_all(&world, sizes[_i].hosts, 4);
	roster_world_settle(&world, sizes[_i].joined);
	for (uint32_t i = 0; i < sizes[_i].hosts; i++)
		roster_world_kill(&world, i);
	for (uint32_t i = 0; i < sizes[_i].hosts; i++)
		roster_world_start(&world, i);
	ck_assert_int_lt(roster_world_settle(&world, sizes[_i].joined),
			 sizes[_i].joined);
	ck_assert_uint_eq(roster_world_disputed(&world, ENDPOINTS), 0);
	roster_world_finish(&world);
}
END_TEST

/* Guards against a leaving host that goes on owning endpoints. */
START_TEST(a_leaving_host_hands_its_endpoints_over)
{
	roster_world_t world;

	start_all(&world, sizes[_i].hosts, 5);
	roster_world_settle(&world, sizes[_i].joined);
	roster_leave(&world.hosts[0].roster, world.now);
	world.hosts[0].leaving = true;
	ck_assert_int_lt(roster_world_settle(&world, 2 * PIMENTO_SEC),
			 2 * PIMENTO_SEC);
	ck_assert_uint_eq(roster_world_disputed(&world, ENDPOINTS), 0);
	roster_world_finish(&world);
}
END_TEST

static double ms(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_MSEC;
}

static void print_row(uint32_t hosts)
{
	roster_world_t world;
	pimento_usec_t joined;
	pimento_usec_t died;
	uint64_t changes;

	start_all(&world, hosts, 7);
	joined = roster_world_settle(&world, 20 * PIMENTO_SEC);
	roster_world_run(&world, 2 * PIMENTO_SEC);
	changes = roster_changes(&world.hosts[1].roster);
	world.measure = true;
	world.hosts[1].notes = 0;
	world.hosts[1].bytes = 0;
	roster_world_run(&world, 10 * PIMENTO_SEC);
	changes = roster_changes(&world.hosts[1].roster) - changes;
	printf("%5u hosts: joined %5.0f ms, notes/s %5.1f, bytes/s %6.0f, "
	       "changes in 10 s of calm %llu",
	       hosts, ms(joined), (double)world.hosts[1].notes / 10,
	       (double)world.hosts[1].bytes / 10, (unsigned long long)changes);
	world.measure = false;
	roster_world_kill(&world, 0);
	died = roster_world_settle(&world, 20 * PIMENTO_SEC);
	printf(", death known %5.0f ms\n", ms(died));
	roster_world_finish(&world);
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
	Suite *suite = suite_create("roster_fleet");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tests, 300);
	tcase_add_loop_test(tests, owners_agree_in_calm, 0, count);
	tcase_add_loop_test(tests, a_death_is_known_everywhere_in_time, 0,
			    count);
	tcase_add_loop_test(tests, a_short_pause_moves_no_owner, 0, count);
	tcase_add_loop_test(tests, a_fleet_that_restarts_agrees_again, 0,
			    count);
	tcase_add_loop_test(tests, a_leaving_host_hands_its_endpoints_over, 0,
			    count);
	tcase_add_test(tests, print_table);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
