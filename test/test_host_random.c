/*
 * Complete hosts under random faults, in virtual time. Each seed is one
 * schedule of faults: messages lost, duplicated, delayed and reordered, hosts
 * crashed, paused and partitioned, connections refused and broken, callers that
 * disconnect. netsim.c checks the guarantees at every step.
 *
 *	SEED=n KIND=k build/test/test_host_random	repeats one schedule
 *	SEEDS=n build/test/test_host_random		runs n seeds per scenario
 */

#include "netsim.h"

#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define SEEDS_DEFAULT 60
#define FAULT_SPAN (20 * PIMENTO_SEC)

static const struct {
	const char *name;
	double keyed_share;
	netsim_faults_t faults;
} scenarios[] = {
	{ "no faults", 0.3, { .loss = 0 } },
	{ "lossy links",
	  0.5,
	  { .loss = 0.1, .duplication = 0.1, .delay_max = 2 * PIMENTO_SEC } },
	{ "hosts killed", 0.5, { .crash = 0.05, .loss = 0.01 } },
	{ "hosts paused", 0.5, { .pause = 0.08, .disconnect = 0.05 } },
	{ "partitions", 0.5, { .partition = 0.3, .loss = 0.01 } },
	{ "endpoints fail",
	  0.4,
	  { .connect_refused = 0.2, .disconnect = 0.2 } },
	{ "callers leave", 0.5, { .caller_leave = 0.3, .disconnect = 0.1 } },
	{ "all faults",
	  0.6,
	  { .loss = 0.05,
	    .duplication = 0.05,
	    .delay_max = 3 * PIMENTO_SEC,
	    .connect_refused = 0.05,
	    .disconnect = 0.1,
	    .crash = 0.02,
	    .pause = 0.03,
	    .partition = 0.1,
	    .caller_leave = 0.1 } },
};

#define SCENARIOS (sizeof(scenarios) / sizeof(scenarios[0]))

static void add_counts(netsim_counts_t *to, const netsim_counts_t *from)
{
	to->steps += from->steps;
	to->messages += from->messages;
	to->lost += from->lost;
	to->duplicated += from->duplicated;
	to->crashes += from->crashes;
	to->pauses += from->pauses;
	to->partitions += from->partitions;
	to->submitted += from->submitted;
	to->commits += from->commits;
	to->replayed += from->replayed;
	to->resumed += from->resumed;
	for (int i = 0; i < 3; i++)
		to->refused[i] += from->refused[i];
}

static void print_counts(const char *name, uint64_t seeds,
			 const netsim_counts_t *c)
{
	printf("%-15s %" PRIu64 " schedules, %" PRIu64 " requests, %" PRIu64
	       " dispatched, refused %" PRIu64 " not run %" PRIu64
	       " may have run %" PRIu64 " ran, %" PRIu64 " replayed, %" PRIu64
	       " resumed; faults: %" PRIu64 " lost %" PRIu64
	       " duplicated %" PRIu64 " crashed %" PRIu64 " paused %" PRIu64
	       " partitions\n",
	       name, seeds, c->submitted, c->commits, c->refused[0],
	       c->refused[1], c->refused[2], c->replayed, c->resumed, c->lost,
	       c->duplicated, c->crashes, c->pauses, c->partitions);
}

static void run_seed(size_t scenario, uint64_t seed, netsim_counts_t *total)
{
	netsim_t *netsim = netsim_new(seed, &scenarios[scenario].faults,
				      scenarios[scenario].keyed_share);
	char violation[256] = "";

	ck_assert_ptr_nonnull(netsim);
	netsim_run(netsim, FAULT_SPAN);
	add_counts(total, netsim_counts(netsim));
	if (netsim_violation(netsim))
		snprintf(violation, sizeof(violation), "%s",
			 netsim_violation(netsim));
	netsim_free(netsim);
	ck_assert_msg(!*violation,
		      "%s: %s; SEED=%" PRIu64 " KIND=%zu repeats it",
		      scenarios[scenario].name, violation, seed, scenario);
}

/*
 * A caller retries a request through another entry host while the first one is
 * dead, paused or partitioned. Without the claim of its key the request would
 * run twice, or be reported as "not run" although it had run: a payment would
 * be charged twice, or charged and reported as failed.
 */
START_TEST(no_duplicate_or_misreported_dispatch_under_faults)
{
	const char *seed_text = getenv("SEED");
	const char *scenario = getenv("KIND");
	const char *seeds_text = getenv("SEEDS");
	uint64_t seeds =
		seeds_text ? strtoull(seeds_text, NULL, 10) : SEEDS_DEFAULT;
	netsim_counts_t total = { 0 };

	if (scenario && strtoull(scenario, NULL, 10) != (unsigned)_i)
		return;
	if (seed_text) {
		run_seed((size_t)_i, strtoull(seed_text, NULL, 10), &total);
		return;
	}
	for (uint64_t seed = 1; seed <= seeds; seed++)
		run_seed((size_t)_i, seed, &total);
	print_counts(scenarios[_i].name, seeds, &total);
	ck_assert_uint_gt(total.commits, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host_random");
	TCase *tc = tcase_create("host_random");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 300);
	tcase_add_loop_test(tc,
			    no_duplicate_or_misreported_dispatch_under_faults,
			    0, SCENARIOS);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
