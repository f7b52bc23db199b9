#ifndef ENGINE_H
#define ENGINE_H

/*
 * A fake endpoint. An engine batches continuously: each step makes one token
 * for every request that is past its prompt, and reads a chunk of prompts; a
 * step lasts as long as what it does costs. It keeps requests in order of
 * arrival, knows no priorities, and caches prompt beginnings in limited
 * memory. A service answers each of a few requests at once after a drawn span.
 */

#include "sim.h"

#include "config.h"

#define ENGINE_BATCH 32 /* requests in a batch at most */
#define ENGINE_CHUNK 2048 /* prompt tokens read in a step at most */
#define ENGINE_STEP 0.012 /* seconds of a step that does nothing else */
#define ENGINE_TOKEN 0.00025 /* more for each token made */
#define ENGINE_PROMPT 0.0001 /* more for each prompt token read */
#define ENGINE_MEMORY 400000 /* tokens of requests in the batch */
#define ENGINE_CACHE 120000 /* tokens of cached beginnings */
#define ENGINE_PREFIXES 64

typedef struct job {
	uint32_t answer;
	uint32_t prompt;
	uint64_t prefix;
	uint32_t prefix_tokens;
	uint32_t unread; /* prompt tokens still to be read */
	uint32_t read; /* prompt tokens that were read here */
	uint32_t made;
	bool in_batch;
	bool present;
	uint64_t started; /* sequence of service start, for stale events */
	struct job *next;
	void *owner; /* who is told of it */
	uint8_t tier;
} job_t;

typedef struct engine_prefix {
	uint64_t prefix;
	uint32_t tokens;
	uint64_t used;
} engine_prefix_t;

typedef void (*engine_fn_t)(void *context, job_t *job);

typedef struct engine {
	sim_t *sim;
	config_target_t target;
	double speed; /* 1 ordinary, 2 twice as fast */
	double slowdown; /* 1, or more after the scenario struck */
	uint32_t slots; /* most in the batch, or served at once */
	double service_seconds;
	pimento_random_t random;
	job_t *first; /* waiting inside, in order of arrival */
	job_t **end;
	uint32_t waiting;
	job_t *batch[ENGINE_BATCH];
	uint32_t running;
	uint32_t memory;
	bool stepping;
	uint32_t planned[ENGINE_BATCH]; /* what this step does for each */
	engine_prefix_t cache[ENGINE_PREFIXES];
	uint32_t cached;
	uint64_t clock;
	engine_fn_t on_first;
	engine_fn_t on_done;
	void *context;
	uint64_t prompt_read; /* tokens, in all */
	double busy; /* seconds in steps */
	double reading; /* of these, in steps that read a full chunk */
	double batched; /* seconds times requests in the batch */
} engine_t;

void engine_init(engine_t *engine, sim_t *sim, config_target_t target,
		 double speed, uint64_t seed);
void engine_submit(engine_t *engine, job_t *job);
/* Takes a job out wherever it is; harmless if it is not there. */
void engine_cancel(engine_t *engine, job_t *job);

/* Seconds that an idle ordinary engine takes for an answer. */
double engine_alone(double prompt, double answer);

/* Seconds of an ordinary engine that a request costs in a full batch. */
double engine_cost(double prompt, double answer);

#endif
