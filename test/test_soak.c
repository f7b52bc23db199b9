/*
 * The soak, for the verdict: a few seeds for some seconds each, and each seed
 * that ever failed. By hand:
 *
 *	SOAK_SEED=100 SOAK_COUNT=50 SOAK_MS=8000 build/test/test_soak
 *
 * SOAK_SERIES=1 adds series of signals and changes, SOAK_EVACUATIONS=1
 * evacuations, SOAK_PATHS=1 hosts without a path to any worker (6 hosts at
 * most), SOAK_CRASHING=1 prompts that crash workers, SOAK_SILENCES=1 sound
 * workers that fall silent, SOAK_STRAINS=1 workers that reject most requests or
 * state a limit, SOAK_BURSTS=1 callers beyond the room and one account beyond its
 * quota, SOAK_STATEMENTS=1 workers that leave or state a backoff; SOAK_HOSTS and SOAK_CALLERS play a larger deployment.
 */

#include "edge.h"
#include "soak.h"

#include <stdio.h>
#include <stdlib.h>

enum { HOSTS = 3, WORKERS = 3, CALLERS = 12, FAULT_MS = 5000 };

typedef struct play {
	uint64_t seed;
	const char *why;
	bool series;
	bool evacuations;
	bool paths;
	bool crashing;
	bool silences;
	bool strains;
	bool bursts;
	bool statements;
} play_t;

/* Each seed that ever failed stays, with its cause. */
static const play_t seeds[] = {
	{ .seed = 1, .why = "none, a fresh seed" },
	{ .seed = 107,
	  .why = "a host told to stop between fork and exec ended the test" },
	{ .seed = 130, .why = "the same" },
	{ .seed = 2, .why = "none, a fresh seed with series", .series = true },
	{ .seed = 3,
	  .why = "none, a fresh seed with evacuations",
	  .evacuations = true },
	{ .seed = 4,
	  .why = "none, a fresh seed with lost paths",
	  .series = true,
	  .evacuations = true,
	  .paths = true },
	{ .seed = 7101,
	  .why = "the relay of a lost path did not listen again",
	  .series = true,
	  .paths = true },
	{ .seed = 5,
	  .why = "none, a fresh seed with prompts that crash workers",
	  .series = true,
	  .crashing = true },
	{ .seed = 6,
	  .why = "none, a fresh seed with silent workers",
	  .series = true,
	  .silences = true },
	{ .seed = 8,
	  .why = "none, a fresh seed with strained workers",
	  .strains = true },
	{ .seed = 9, .why = "none, a fresh seed with bursts", .bursts = true },
	{ .seed = 10,
	  .why = "none, a fresh seed with workers that leave or state a backoff",
	  .series = true,
	  .statements = true },
};

static uint64_t number_of(const char *name, uint64_t otherwise)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

static void play(const play_t *what)
{
	soak_terms_t terms = {
		.seed = what->seed,
		.fault_ms = (uint32_t)number_of("SOAK_MS", FAULT_MS),
		.hosts = (uint32_t)number_of("SOAK_HOSTS", HOSTS),
		.workers = WORKERS,
		.callers = (uint32_t)number_of("SOAK_CALLERS", CALLERS),
		.series = what->series,
		.evacuations = what->evacuations,
		.paths = what->paths,
		.crashing = what->crashing,
		.silences = what->silences,
		.strains = what->strains,
		.bursts = what->bursts,
		.statements = what->statements,
	};
	soak_result_t result;

	soak_play(&terms, &result);
	fprintf(stderr,
		"seed %llu: %u requests, %u served, %u refused, %u failed, "
		"%u faults, %u crashes, %u runs of a repeated request, %u "
		"promises broken\n",
		(unsigned long long)what->seed, result.requests, result.served,
		result.refused, result.failed, result.faults, result.crashes,
		result.repeated_runs, result.broken);
	ck_assert_msg(result.broken == 0, "seed %llu (%s): %u broken, first %s",
		      (unsigned long long)what->seed, what->why, result.broken,
		      result.first);
	ck_assert_uint_gt(result.served, 0);
}

/*
 * Faults of all kinds overlap for some seconds: hosts are killed, frozen and
 * stopped, workers crash, links break, the store fails, keys change. Callers
 * see refusals and failures, but none that is untrue: nothing that must not be
 * repeated runs twice, "not run" holds, streams are whole, and afterwards all
 * hosts serve.
 */
START_TEST(promises_hold_under_overlapping_faults)
{
	play(&seeds[_i]);
}
END_TEST

START_TEST(seeds_by_hand)
{
	play_t what = {
		.seed = number_of("SOAK_SEED", 1) + (uint64_t)_i,
		.why = "by hand",
		.series = number_of("SOAK_SERIES", 0) != 0,
		.evacuations = number_of("SOAK_EVACUATIONS", 0) != 0,
		.paths = number_of("SOAK_PATHS", 0) != 0,
		.crashing = number_of("SOAK_CRASHING", 0) != 0,
		.silences = number_of("SOAK_SILENCES", 0) != 0,
		.strains = number_of("SOAK_STRAINS", 0) != 0,
		.bursts = number_of("SOAK_BURSTS", 0) != 0,
		.statements = number_of("SOAK_STATEMENTS", 0) != 0,
	};

	play(&what);
}
END_TEST

int main(void)
{
	int count = (int)number_of("SOAK_COUNT", 0);
	Suite *suite = suite_create("soak");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 120);
	if (count)
		tcase_add_loop_test(tests, seeds_by_hand, 0, count);
	else
		tcase_add_loop_test(tests,
				    promises_hold_under_overlapping_faults, 0,
				    sizeof(seeds) / sizeof(seeds[0]));
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
