/*
 * Membership and spread among several hosts in virtual time, under random
 * faults by seed. GOSSIP_SEED and GOSSIP_RUNS choose other seeds than the fixed
 * ones.
 */

#include "gossip.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define RUNS 40
#define ACTIONS 40
#define QUIET (90 * PIMENTO_SEC)
#define ENDPOINTS 200

/* What each host was seen to hold of each other's leaving. */
typedef struct seen {
	uint64_t observer;
	uint64_t incarnation;
	bool leaving;
} seen_t;

static void check_leaving(gossip_t *f, seen_t *seen)
{
	for (uint32_t i = 0; i < f->count; i++) {
		for (uint32_t j = 0; j < f->count; j++) {
			seen_t *s = &seen[i * f->count + j];
			const gossip_host_t *h = &f->hosts[i];
			pimento_id_t id = f->hosts[j].id;
			host_state_t state;
			uint64_t incarnation;

			if (!h->up)
				continue;
			state = member_state(&h->member, id);
			incarnation = member_incarnation(&h->member, id);
			if (s->leaving && s->observer == h->incarnation &&
			    s->incarnation == incarnation &&
			    (state == HOST_LIVE || state == HOST_SUSPECT)) {
				f->problems++;
				fprintf(stderr, "host %u: %u left, no more\n",
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

static void act(gossip_t *f)
{
	uint32_t host = (uint32_t)pimento_random_below(&f->random, f->count);
	gossip_host_t *h = &f->hosts[host];
	uint64_t n = pimento_random_below(&f->random, 16);

	switch (n) {
	case 0:
		gossip_kill(f, host);
		break;
	case 1:
	case 2:
		gossip_kill(f, host);
		gossip_start(f, host);
		break;
	case 3:
		gossip_start(f, host);
		break;
	case 4:
	case 5:
		gossip_pause(f, host,
			     (pimento_usec_t)pimento_random_below(
				     &f->random, 20 * PIMENTO_SEC));
		break;
	case 6:
		h->side = !h->side;
		break;
	case 7:
		for (uint32_t i = 0; i < f->count; i++)
			f->hosts[i].side =
				(uint8_t)pimento_random_below(&f->random, 2);
		break;
	case 8:
		for (uint32_t i = 0; i < f->count; i++)
			f->hosts[i].side = 0;
		break;
	case 9:
		if (h->up && !h->paused_until)
			member_leave(&h->member, f->now);
		break;
	case 10:
	case 11:
	case 12:
		gossip_publish(f, CONFIG_SYNC_CONFIG, gossip_config(f, 3000));
		break;
	case 13:
		gossip_publish_hosts(f);
		break;
	case 14:
		f->platform_down = !f->platform_down;
		break;
	default:
		f->platform_stale = !f->platform_stale;
		break;
	}
}

static void heal(gossip_t *f)
{
	f->loss = 0;
	f->straggle = 0;
	f->platform_down = false;
	f->platform_stale = false;
	for (uint32_t i = 0; i < f->count; i++)
		f->hosts[i].side = 0;
	gossip_start(f, 0);
	gossip_publish_hosts(f);
	gossip_run(f, QUIET);
}

static void run_seed(uint64_t seed, uint32_t count)
{
	gossip_t f;
	seen_t *seen = calloc((size_t)count * count, sizeof(*seen));

	gossip_init(&f, count, seed);
	f.loss = pimento_random_unit(&f.random) * 0.2;
	f.delay_max = 5 * PIMENTO_MSEC;
	f.straggle = 0.01;
	gossip_publish(&f, CONFIG_SYNC_CONFIG, gossip_config(&f, 3000));
	gossip_publish_hosts(&f);
	for (uint32_t i = 0; i < count; i++)
		gossip_start(&f, i);
	for (uint32_t i = 0; i < ACTIONS; i++) {
		for (uint32_t j = 0; j < 4; j++) {
			gossip_run(&f, (pimento_usec_t)pimento_random_below(
					       &f.random, PIMENTO_SEC));
			check_leaving(&f, seen);
		}
		act(&f);
	}
	heal(&f);
	check_leaving(&f, seen);
	ck_assert_msg(!f.problems, "seed %llu: %llu problems",
		      (unsigned long long)seed, (unsigned long long)f.problems);
	ck_assert_msg(!gossip_misjudged(&f),
		      "seed %llu, %u hosts: %u misjudged",
		      (unsigned long long)seed, count, gossip_misjudged(&f));
	ck_assert_msg(!gossip_disputed_owners(&f, ENDPOINTS),
		      "seed %llu: owners disputed", (unsigned long long)seed);
	ck_assert_msg(
		gossip_in_force(&f, CONFIG_SYNC_CONFIG) == gossip_up(&f) &&
			gossip_in_force(&f, CONFIG_SYNC_HOSTS) == gossip_up(&f),
		"seed %llu: in force at %u and %u of %u",
		(unsigned long long)seed,
		gossip_in_force(&f, CONFIG_SYNC_CONFIG),
		gossip_in_force(&f, CONFIG_SYNC_HOSTS), gossip_up(&f));
	gossip_finish(&f);
	free(seen);
}

/*
 * Hosts die, restart, leave and stand still, links lose, delay and cut, the
 * platform is down or shows what it showed before. Were anything of that to
 * leave lasting marks, some endpoint would have two owners or none for good,
 * or a host would go on serving under a configuration that was withdrawn.
 */
START_TEST(gossip_agrees_after_any_faults)
{
	const char *seed = getenv("GOSSIP_SEED");
	uint64_t base = seed ? strtoull(seed, NULL, 10) : 1;

	printf("fleet: seed %llu\n", (unsigned long long)base + (uint64_t)_i);
	fflush(stdout);
	run_seed(base + (uint64_t)_i, 3 + (uint32_t)(_i * 7) % 48);
}
END_TEST

static void quiet_fleet(gossip_t *f, uint32_t count)
{
	gossip_init(f, count, 5);
	gossip_publish(f, CONFIG_SYNC_CONFIG, gossip_config(f, 20000));
	gossip_publish_hosts(f);
	for (uint32_t i = 0; i < count; i++)
		gossip_start(f, i);
	gossip_publish_hosts(f);
	gossip_run(f, 20 * PIMENTO_SEC);
	ck_assert_uint_eq(gossip_misjudged(f), 0);
}

/* Span until the check counts zero, or the limit. */
static pimento_usec_t until(gossip_t *f, uint32_t (*count)(const gossip_t *),
			    pimento_usec_t limit)
{
	pimento_usec_t start = f->now;

	while (f->now - start < limit && count(f))
		gossip_run(f, 50 * PIMENTO_MSEC);
	return f->now - start;
}

static uint32_t not_in_force(const gossip_t *f)
{
	return gossip_up(f) - gossip_in_force(f, CONFIG_SYNC_CONFIG);
}

/*
 * A cut that lasts long enough for both sides to hold each other dead. Hosts
 * that are held dead and never asked again would stay dead after the cut, and
 * every endpoint would go on having two owners.
 */
START_TEST(cut_heals)
{
	gossip_t f;

	quiet_fleet(&f, 12);
	for (uint32_t i = 0; i < 6; i++)
		f.hosts[i].side = 1;
	gossip_run(&f, 60 * PIMENTO_SEC);
	ck_assert_uint_eq(member_live(&f.hosts[0].member, NULL, 0), 6);
	ck_assert_uint_eq(member_live(&f.hosts[11].member, NULL, 0), 6);
	ck_assert_double_eq(member_share(&f.hosts[0].member), 0.5);
	for (uint32_t i = 0; i < 6; i++)
		f.hosts[i].side = 0;
	ck_assert_int_lt(until(&f, gossip_misjudged, 60 * PIMENTO_SEC),
			 6 * PIMENTO_SEC);
	ck_assert_uint_eq(gossip_disputed_owners(&f, ENDPOINTS), 0);
	gossip_finish(&f);
}
END_TEST

/*
 * A host dies without a word. Until the others know, requests that reserve
 * with it wait in vain.
 */
START_TEST(dead_host_is_known_within_seconds)
{
	static const uint32_t sizes[] = { 3, 8, 50 };
	static const int limits[] = { 4, 4, 7 };
	gossip_t f;

	quiet_fleet(&f, sizes[_i]);
	gossip_kill(&f, 1);
	ck_assert_int_lt(until(&f, gossip_misjudged, 60 * PIMENTO_SEC),
			 limits[_i] * PIMENTO_SEC);
	gossip_finish(&f);
}
END_TEST

/*
 * A data centre's worth of hosts starts at once, and while word of that still
 * fills every message, a host dies. Were its death to wait its turn behind the
 * rest, requests would go on waiting with the dead host for half a minute.
 */
START_TEST(death_is_told_before_older_news)
{
	pimento_usec_t start;
	gossip_t f;

	gossip_init(&f, 200, 5);
	gossip_publish(&f, CONFIG_SYNC_CONFIG, gossip_config(&f, 2000));
	gossip_publish_hosts(&f);
	for (uint32_t i = 0; i < 200; i++)
		gossip_start(&f, i);
	gossip_publish_hosts(&f);
	gossip_run(&f, 5 * PIMENTO_SEC);
	gossip_kill(&f, 1);
	start = f.now;
	while (gossip_unaware(&f, 1) && f.now - start < 60 * PIMENTO_SEC)
		gossip_run(&f, 100 * PIMENTO_MSEC);
	printf("gossip: known after %d ms\n", (int)((f.now - start) / 1000));
	ck_assert_int_lt(f.now - start, 8 * PIMENTO_SEC);
	gossip_finish(&f);
}
END_TEST

/*
 * The platform is down for hours, and meanwhile a host is replaced. It knows
 * two peers from its settings and has to learn the rest from them, or the
 * fleet melts away over a night.
 */
START_TEST(host_starts_with_the_platform_down)
{
	gossip_t f;

	quiet_fleet(&f, 8);
	f.platform_down = true;
	gossip_kill(&f, 3);
	gossip_run(&f, 10 * PIMENTO_SEC);
	gossip_start(&f, 3);
	ck_assert_int_lt(until(&f, not_in_force, 60 * PIMENTO_SEC),
			 2 * PIMENTO_SEC);
	ck_assert_int_lt(until(&f, gossip_misjudged, 60 * PIMENTO_SEC),
			 6 * PIMENTO_SEC);
	gossip_finish(&f);
}
END_TEST

/*
 * Links lose one message in twenty while somebody publishes. If a lost message
 * cost more than a retry, one caller would be served by old rules and the next
 * by new ones for a long while.
 */
START_TEST(configuration_is_in_force_within_seconds)
{
	static const uint32_t sizes[] = { 3, 8, 50 };
	gossip_t f;

	quiet_fleet(&f, sizes[_i]);
	f.loss = 0.05;
	for (uint32_t i = 0; i < 20; i++) {
		gossip_publish(&f, CONFIG_SYNC_CONFIG,
			       gossip_config(&f, 20000));
		ck_assert_int_lt(until(&f, not_in_force, 60 * PIMENTO_SEC),
				 3 * PIMENTO_SEC);
		gossip_run(&f, PIMENTO_SEC);
	}
	ck_assert_uint_eq(f.problems, 0);
	gossip_finish(&f);
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
	tcase_add_test(tc, cut_heals);
	tcase_add_loop_test(tc, dead_host_is_known_within_seconds, 0, 3);
	tcase_add_test(tc, death_is_told_before_older_news);
	tcase_add_test(tc, host_starts_with_the_platform_down);
	tcase_add_loop_test(tc, configuration_is_in_force_within_seconds, 0, 3);
	tcase_add_loop_test(tc, gossip_agrees_after_any_faults, 0,
			    runs ? atoi(runs) : RUNS);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
