/*
 * Tests of membership and configuration sync among several hosts in virtual
 * time, under random faults. GOSSIP_SEED sets the first seed, GOSSIP_RUNS the
 * number of seeds.
 */

#include "gossip_sim.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define RUNS_DEFAULT 40
#define FAULTS_PER_RUN 40
#define RECOVERY_SPAN (90 * PIMENTO_SEC)
#define ENDPOINTS 200

/*
 * One host's view of another when last checked: the incarnations of both, and
 * whether the other was leaving.
 */
typedef struct observation {
	uint64_t observer;
	uint64_t incarnation;
	bool leaving;
} observation_t;

static void check_leaving(gossip_sim_t *sim, observation_t *observed)
{
	for (uint32_t i = 0; i < sim->count; i++) {
		for (uint32_t j = 0; j < sim->count; j++) {
			observation_t *s = &observed[i * sim->count + j];
			const gossip_sim_host_t *h = &sim->hosts[i];
			pimento_id_t id = sim->hosts[j].id;
			host_state_t state;
			uint64_t incarnation;

			if (!h->up)
				continue;
			state = membership_state(&h->membership, id);
			incarnation =
				membership_incarnation(&h->membership, id);
			if (s->leaving && s->observer == h->incarnation &&
			    s->incarnation == incarnation &&
			    (state == HOST_LIVE || state == HOST_SUSPECT)) {
				sim->violations++;
				fprintf(stderr,
					"host %u: leaving host %u is live again\n",
					i, j);
			}
			s->observer = h->incarnation;
			s->leaving =
				state == HOST_LEAVING ||
				(s->leaving && s->incarnation == incarnation);
			s->incarnation = incarnation;
		}
	}
}

static void inject_fault(gossip_sim_t *sim)
{
	uint32_t host =
		(uint32_t)pimento_random_below(&sim->random, sim->count);
	gossip_sim_host_t *h = &sim->hosts[host];
	uint64_t n = pimento_random_below(&sim->random, 16);

	switch (n) {
	case 0:
		gossip_sim_kill_host(sim, host);
		break;
	case 1:
	case 2:
		gossip_sim_kill_host(sim, host);
		gossip_sim_start_host(sim, host);
		break;
	case 3:
		gossip_sim_start_host(sim, host);
		break;
	case 4:
	case 5:
		gossip_sim_pause_host(sim, host,
				      (pimento_usec_t)pimento_random_below(
					      &sim->random, 20 * PIMENTO_SEC));
		break;
	case 6:
		h->partition = !h->partition;
		break;
	case 7:
		for (uint32_t i = 0; i < sim->count; i++)
			sim->hosts[i].partition =
				(uint8_t)pimento_random_below(&sim->random, 2);
		break;
	case 8:
		for (uint32_t i = 0; i < sim->count; i++)
			sim->hosts[i].partition = 0;
		break;
	case 9:
		if (h->up && !h->paused_until)
			membership_leave(&h->membership, sim->now);
		break;
	case 10:
	case 11:
	case 12:
		gossip_sim_publish(sim, CONFIG_SYNC_CONFIG,
				   gossip_sim_make_config(sim, 3000));
		break;
	case 13:
		gossip_sim_publish_hosts(sim);
		break;
	case 14:
		sim->platform_down = !sim->platform_down;
		break;
	default:
		sim->platform_stale = !sim->platform_stale;
		break;
	}
}

static void end_faults_and_recover(gossip_sim_t *sim)
{
	sim->loss = 0;
	sim->slow_message_chance = 0;
	sim->platform_down = false;
	sim->platform_stale = false;
	for (uint32_t i = 0; i < sim->count; i++)
		sim->hosts[i].partition = 0;
	gossip_sim_start_host(sim, 0);
	gossip_sim_publish_hosts(sim);
	gossip_sim_run(sim, RECOVERY_SPAN);
}

static void run_seed(uint64_t seed, uint32_t count)
{
	gossip_sim_t sim;
	observation_t *observed =
		calloc((size_t)count * count, sizeof(*observed));

	gossip_sim_init(&sim, count, seed);
	sim.loss = pimento_random_unit(&sim.random) * 0.2;
	sim.delay_max = 5 * PIMENTO_MSEC;
	sim.slow_message_chance = 0.01;
	gossip_sim_publish(&sim, CONFIG_SYNC_CONFIG,
			   gossip_sim_make_config(&sim, 3000));
	gossip_sim_publish_hosts(&sim);
	for (uint32_t i = 0; i < count; i++)
		gossip_sim_start_host(&sim, i);
	for (uint32_t i = 0; i < FAULTS_PER_RUN; i++) {
		for (uint32_t j = 0; j < 4; j++) {
			gossip_sim_run(&sim,
				       (pimento_usec_t)pimento_random_below(
					       &sim.random, PIMENTO_SEC));
			check_leaving(&sim, observed);
		}
		inject_fault(&sim);
	}
	end_faults_and_recover(&sim);
	check_leaving(&sim, observed);
	ck_assert_msg(!sim.violations, "seed %llu: %llu invariant violations",
		      (unsigned long long)seed,
		      (unsigned long long)sim.violations);
	ck_assert_msg(!gossip_sim_count_wrong_states(&sim),
		      "seed %llu, %u hosts: %u wrong host states",
		      (unsigned long long)seed, count,
		      gossip_sim_count_wrong_states(&sim));
	ck_assert_msg(!gossip_sim_count_disputed_owners(&sim, ENDPOINTS),
		      "seed %llu: hosts disagree on owners",
		      (unsigned long long)seed);
	ck_assert_msg(
		gossip_sim_count_updated_hosts(&sim, CONFIG_SYNC_CONFIG) ==
				gossip_sim_count_running_hosts(&sim) &&
			gossip_sim_count_updated_hosts(&sim,
						       CONFIG_SYNC_HOSTS) ==
				gossip_sim_count_running_hosts(&sim),
		"seed %llu: configuration in force on %u, host list on %u of %u hosts",
		(unsigned long long)seed,
		gossip_sim_count_updated_hosts(&sim, CONFIG_SYNC_CONFIG),
		gossip_sim_count_updated_hosts(&sim, CONFIG_SYNC_HOSTS),
		gossip_sim_count_running_hosts(&sim));
	gossip_sim_finish(&sim);
	free(observed);
}

/*
 * Hosts crash, restart, leave and pause, messages are lost and delayed, the
 * network is partitioned, the platform is down or stale. If a fault had a
 * lasting effect, an endpoint would keep two owners or none, or a host would
 * keep serving under a configuration that was replaced.
 */
START_TEST(state_converges_after_random_faults)
{
	const char *seed = getenv("GOSSIP_SEED");
	uint64_t base = seed ? strtoull(seed, NULL, 10) : 1;

	printf("random faults: seed %llu\n",
	       (unsigned long long)base + (uint64_t)_i);
	fflush(stdout);
	run_seed(base + (uint64_t)_i, 3 + (uint32_t)(_i * 7) % 48);
}
END_TEST

static void start_healthy_hosts(gossip_sim_t *sim, uint32_t count)
{
	gossip_sim_init(sim, count, 5);
	gossip_sim_publish(sim, CONFIG_SYNC_CONFIG,
			   gossip_sim_make_config(sim, 20000));
	gossip_sim_publish_hosts(sim);
	for (uint32_t i = 0; i < count; i++)
		gossip_sim_start_host(sim, i);
	gossip_sim_publish_hosts(sim);
	gossip_sim_run(sim, 20 * PIMENTO_SEC);
	ck_assert_uint_eq(gossip_sim_count_wrong_states(sim), 0);
}

/* Returns the virtual time until count() returns 0, or limit. */
static pimento_usec_t time_until_zero(gossip_sim_t *sim,
				      uint32_t (*count)(const gossip_sim_t *),
				      pimento_usec_t limit)
{
	pimento_usec_t start = sim->now;

	while (sim->now - start < limit && count(sim))
		gossip_sim_run(sim, 50 * PIMENTO_MSEC);
	return sim->now - start;
}

static uint32_t count_outdated_hosts(const gossip_sim_t *sim)
{
	return gossip_sim_count_running_hosts(sim) -
	       gossip_sim_count_updated_hosts(sim, CONFIG_SYNC_CONFIG);
}

/*
 * A partition lasts long enough for each side to declare the other dead. If dead
 * hosts were never probed again, they would stay dead after the partition, and
 * every endpoint would keep two owners.
 */
START_TEST(state_converges_after_partition)
{
	gossip_sim_t sim;

	start_healthy_hosts(&sim, 12);
	for (uint32_t i = 0; i < 6; i++)
		sim.hosts[i].partition = 1;
	gossip_sim_run(&sim, 60 * PIMENTO_SEC);
	ck_assert_uint_eq(
		membership_live_hosts(&sim.hosts[0].membership, NULL, 0), 6);
	ck_assert_uint_eq(
		membership_live_hosts(&sim.hosts[11].membership, NULL, 0), 6);
	ck_assert_double_eq(
		membership_published_live_share(&sim.hosts[0].membership), 0.5);
	for (uint32_t i = 0; i < 6; i++)
		sim.hosts[i].partition = 0;
	ck_assert_int_lt(time_until_zero(&sim, gossip_sim_count_wrong_states,
					 60 * PIMENTO_SEC),
			 6 * PIMENTO_SEC);
	ck_assert_uint_eq(gossip_sim_count_disputed_owners(&sim, ENDPOINTS), 0);
	gossip_sim_finish(&sim);
}
END_TEST

/*
 * A host crashes without announcing it. Until the other hosts detect that,
 * requests that reserve slots with it wait for a reply that never comes.
 */
START_TEST(dead_host_is_detected_within_seconds)
{
	static const uint32_t sizes[] = { 3, 8, 50 };
	static const int limits[] = { 4, 4, 7 };
	gossip_sim_t sim;

	start_healthy_hosts(&sim, sizes[_i]);
	gossip_sim_kill_host(&sim, 1);
	ck_assert_int_lt(time_until_zero(&sim, gossip_sim_count_wrong_states,
					 60 * PIMENTO_SEC),
			 limits[_i] * PIMENTO_SEC);
	gossip_sim_finish(&sim);
}
END_TEST

/*
 * 200 hosts start at once, and a host crashes while updates about the starts
 * still fill every gossip message. If the update about the crash were queued
 * behind them, requests would keep waiting for the dead host for half a minute.
 */
START_TEST(death_is_gossiped_before_older_updates)
{
	pimento_usec_t start;
	gossip_sim_t sim;

	gossip_sim_init(&sim, 200, 5);
	gossip_sim_publish(&sim, CONFIG_SYNC_CONFIG,
			   gossip_sim_make_config(&sim, 2000));
	gossip_sim_publish_hosts(&sim);
	for (uint32_t i = 0; i < 200; i++)
		gossip_sim_start_host(&sim, i);
	gossip_sim_publish_hosts(&sim);
	gossip_sim_run(&sim, 5 * PIMENTO_SEC);
	gossip_sim_kill_host(&sim, 1);
	start = sim.now;
	while (gossip_sim_count_unaware_hosts(&sim, 1) &&
	       sim.now - start < 60 * PIMENTO_SEC)
		gossip_sim_run(&sim, 100 * PIMENTO_MSEC);
	printf("gossip: death known to all hosts after %d ms\n",
	       (int)((sim.now - start) / 1000));
	ck_assert_int_lt(sim.now - start, 8 * PIMENTO_SEC);
	gossip_sim_finish(&sim);
}
END_TEST

/*
 * A host is replaced while the platform is down. It knows two peers from its
 * settings and must learn the others and the configuration from them; otherwise
 * replaced hosts would be lost for as long as the platform is down.
 */
START_TEST(host_joins_while_platform_is_down)
{
	gossip_sim_t sim;

	start_healthy_hosts(&sim, 8);
	sim.platform_down = true;
	gossip_sim_kill_host(&sim, 3);
	gossip_sim_run(&sim, 10 * PIMENTO_SEC);
	gossip_sim_start_host(&sim, 3);
	ck_assert_int_lt(
		time_until_zero(&sim, count_outdated_hosts, 60 * PIMENTO_SEC),
		2 * PIMENTO_SEC);
	ck_assert_int_lt(time_until_zero(&sim, gossip_sim_count_wrong_states,
					 60 * PIMENTO_SEC),
			 6 * PIMENTO_SEC);
	gossip_sim_finish(&sim);
}
END_TEST

/*
 * Links lose one message in twenty while configurations are published. If a
 * lost message cost more than a retry, different hosts would serve callers
 * under different configurations for a long time.
 */
START_TEST(config_propagates_within_seconds)
{
	static const uint32_t sizes[] = { 3, 8, 50 };
	gossip_sim_t sim;

	start_healthy_hosts(&sim, sizes[_i]);
	sim.loss = 0.05;
	for (uint32_t i = 0; i < 20; i++) {
		gossip_sim_publish(&sim, CONFIG_SYNC_CONFIG,
				   gossip_sim_make_config(&sim, 20000));
		ck_assert_int_lt(time_until_zero(&sim, count_outdated_hosts,
						 60 * PIMENTO_SEC),
				 3 * PIMENTO_SEC);
		gossip_sim_run(&sim, PIMENTO_SEC);
	}
	ck_assert_uint_eq(sim.violations, 0);
	gossip_sim_finish(&sim);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("gossip");
	TCase *tc = tcase_create("gossip");
	const char *runs = getenv("GOSSIP_RUNS");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, state_converges_after_partition);
	tcase_add_loop_test(tc, dead_host_is_detected_within_seconds, 0, 3);
	tcase_add_test(tc, death_is_gossiped_before_older_updates);
	tcase_add_test(tc, host_joins_while_platform_is_down);
	tcase_add_loop_test(tc, config_propagates_within_seconds, 0, 3);
	tcase_add_loop_test(tc, state_converges_after_random_faults, 0,
			    runs ? atoi(runs) : RUNS_DEFAULT);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
