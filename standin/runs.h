#ifndef STANDIN_RUNS_H
#define STANDIN_RUNS_H

/*
 * How often each request was started, finished and cancelled at one endpoint:
 * the evidence for "at most once". Bounded; never forgets while it counts.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define RUNS_ID_MAX 264 /* also of idempotency keys */
#define RUNS_MAX 200000
#define RUNS_BUCKETS 16384

typedef struct run {
	struct run *next;
	char id[RUNS_ID_MAX];
	uint32_t started;
	uint32_t finished;
	uint32_t cancelled;
	uint64_t prompt_tokens; /* of all its runs together */
	double prefilled; /* prompt tokens computed, not cached */
	uint64_t answer_tokens;
	uint64_t cached_tokens;
	void *job; /* the engine's latest job of this id */
} run_t;

typedef struct runs {
	run_t *buckets[RUNS_BUCKETS];
	uint32_t count;
} runs_t;

void runs_init(runs_t *runs);
void runs_finish(runs_t *runs);

/* Finds a request; with make, enters it. NULL if unknown, or full. */
run_t *runs_find(runs_t *runs, const char *id, bool make);

/* All of them as one JSON object by request id. */
json_t *runs_json(const runs_t *runs);

#endif
