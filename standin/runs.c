/* A chained hash table by request id; the caller holds the lock. */

#include "runs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void runs_init(runs_t *runs)
{
	memset(runs, 0, sizeof(*runs));
}

void runs_finish(runs_t *runs)
{
	for (int i = 0; i < RUNS_BUCKETS; i++) {
		run_t *run = runs->buckets[i];

		while (run) {
			run_t *next = run->next;

			free(run);
			run = next;
		}
	}
}

run_t *runs_find(runs_t *runs, const char *id, bool make)
{
	run_t **bucket =
		&runs->buckets[XXH3_64bits(id, strlen(id)) % RUNS_BUCKETS];
	run_t *run = *bucket;

	while (run && strcmp(run->id, id) != 0)
		run = run->next;
	if (run || !make)
		return run;
	if (runs->count >= RUNS_MAX || strlen(id) >= RUNS_ID_MAX)
		return NULL;
	run = calloc(1, sizeof(*run));
	if (!run)
		return NULL;
	snprintf(run->id, sizeof(run->id), "%s", id);
	run->next = *bucket;
	*bucket = run;
	runs->count++;
	return run;
}

static json_t *run_json(const run_t *run)
{
	return json_pack("{s:i,s:i,s:i,s:I,s:I,s:I,s:I}", "started",
			 (int)run->started, "finished", (int)run->finished,
			 "cancelled", (int)run->cancelled, "prompt_tokens",
			 (json_int_t)run->prompt_tokens, "prefilled_tokens",
			 (json_int_t)run->prefilled, "answer_tokens",
			 (json_int_t)run->answer_tokens, "cached_tokens",
			 (json_int_t)run->cached_tokens);
}

json_t *runs_json(const runs_t *runs)
{
	json_t *object = json_object();

	for (int i = 0; i < RUNS_BUCKETS; i++)
		for (run_t *run = runs->buckets[i]; run; run = run->next)
			json_object_set_new(object, run->id, run_json(run));
	return object;
}
