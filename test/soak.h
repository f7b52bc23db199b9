#ifndef TEST_SOAK_H
#define TEST_SOAK_H

/*
 * A randomized run of the real programs as separate processes, with faults from
 * outside: hosts that are killed, frozen, stopped and restarted, workers that
 * crash, links that are delayed, reset, cut one way or silent, a store that
 * fails, keys that are taken away, data centres that are evacuated, hosts that
 * lose their paths to workers, prompts that crash workers, workers that fall
 * silent, reject most requests, state a limit, leave or state a backoff, callers who press beyond the
 * room, with one account beyond its quota. Callers go on all the while. What they
 * and the workers saw is checked against what is promised.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct soak_terms {
	uint64_t seed; /* of all that is drawn */
	uint32_t fault_ms; /* how long faults go on */
	uint32_t hosts; /* 1 .. EDGE_HOSTS_MAX */
	uint32_t workers; /* 1 .. EDGE_WORKERS_MAX */
	uint32_t callers; /* threads, 1 .. SOAK_CALLERS_MAX */
	/* also signals and configuration changes in quick succession */
	bool series;
	/* also evacuations; the data centre of worker 0 stays evacuated */
	bool evacuations;
	/*
	 * also hosts that lose their paths to all workers, in place of faults
	 * of the links to workers and to the store; EDGE_PATH_HOSTS_MAX hosts
	 * at most
	 */
	bool paths;
	/*
	 * also requests with a prompt part that crashes the worker which begins
	 * their answer, and one that does and is sent again and again, in place
	 * of faults of the links to workers
	 */
	bool crashing;
	/*
	 * also sound workers that are silent for a while, one or all at once,
	 * and SOAK_CALLERS_MAX callers with streams that outlast that, in place
	 * of faults of the links to workers
	 */
	bool silences;
	/*
	 * also workers that reject most requests or state a limit, one or all
	 * at once, while hosts are killed, frozen or stopped, in place of
	 * faults of the links to workers
	 */
	bool strains;
	/*
	 * also bursts of SOAK_CALLERS_MAX callers whose streams need more slots
	 * than there are, half of them of an account far beyond its quota,
	 * before hosts that reject early, in place of faults of the links to
	 * workers
	 */
	bool bursts;
	/*
	 * also workers that say in their answers that they leave, or state a
	 * backoff, while hosts are killed, frozen or stopped, in place of
	 * faults of the links to workers
	 */
	bool statements;
} soak_terms_t;

enum { SOAK_CALLERS_MAX = 64, SOAK_TEXT_MAX = 256 };

/* What came of it; a broken promise fails the test with a line for each. */
typedef struct soak_result {
	uint32_t requests;
	uint32_t served;
	uint32_t refused;
	uint32_t failed; /* a failure, or no whole answer */
	uint32_t faults;
	uint32_t crashes; /* of workers, under such requests */
	uint32_t repeated_runs; /* of the one that is sent again and again */
	uint32_t broken; /* promises */
	char first[SOAK_TEXT_MAX]; /* the first of them; "" none */
} soak_result_t;

/*
 * Plays one seed. Prints each broken promise to standard error, with the faults
 * and the hosts' log lines around it.
 */
void soak_play(const soak_terms_t *terms, soak_result_t *result);

#endif
