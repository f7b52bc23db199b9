#ifndef STANDIN_BATCH_H
#define STANDIN_BATCH_H

/*
 * Continuous batching in real time, by arithmetic instead of a model. Jobs are
 * admitted in order of arrival while the batch has room; nothing here knows of
 * priorities. Prompts are read one after the other at the prefill rate, less
 * what the prefix cache holds; every job past its prompt then gains tokens at
 * the decode rate, which falls as the batch grows and halves while a prompt is
 * being read.
 */

#include "prefix.h"
#include "runs.h"

#include <pthread.h>

#define BATCH_SAMPLES 512
#define BATCH_SAMPLE_MS 25

typedef struct batch_options {
	double prefill; /* prompt tokens a second, all jobs together */
	double decode; /* tokens a second of one job alone */
	uint32_t batch; /* jobs that run at once */
	uint32_t cache_tokens;
	int64_t load_lag_ms;
	int64_t event_lag_ms;
} batch_options_t;

typedef enum job_state {
	JOB_WAITING = 0,
	JOB_RUNNING,
	JOB_FINISHED,
	JOB_CANCELLED
} job_state_t;

typedef struct job {
	struct job *next; /* in the waiting line, or among the ended */
	run_t *run;
	int references;
	bool chat;
	char *prompt;
	size_t prompt_length;
	uint64_t seed; /* of the answer's text */
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	double prefill_left;
	double decoded; /* tokens, with the part of the next one */
	uint32_t generated; /* whole tokens that may be read */
	job_state_t state;
	int64_t ended_ms;
} job_t;

typedef struct job_line {
	job_t *head;
	job_t *tail;
	uint32_t count;
} job_line_t;

typedef struct batch_sample {
	int64_t at_ms;
	uint32_t running;
	uint32_t waiting;
	uint64_t tokens_left;
} batch_sample_t;

typedef struct batch {
	int64_t incarnation; /* of this process */
	batch_options_t options;
	pthread_mutex_t mutex; /* guards everything below */
	pthread_cond_t changed;
	pthread_t worker;
	bool stopping;
	bool leaving;
	int64_t left_ms; /* when leaving was said */
	int64_t last_start_ms;
	double speed;
	int64_t stalled_until_ms;
	job_t **running;
	uint32_t running_count;
	job_line_t waiting;
	job_line_t ended; /* oldest first */
	runs_t runs;
	prefix_t prefix;
	batch_sample_t samples[BATCH_SAMPLES];
	uint32_t sample_count;
} batch_t;

/* Starts the worker. Returns 0, or -1. */
int batch_init(batch_t *batch, const batch_options_t *options);

/* Stops the worker and wakes all who wait; jobs stay readable. */
void batch_stop(batch_t *batch);
void batch_finish(batch_t *batch);

/*
 * Enters a job and returns it with a reference; takes the prompt over. NULL if
 * the table of runs is full.
 */
job_t *batch_submit(batch_t *batch, const char *id, char *prompt,
		    uint32_t max_tokens, bool chat);

/* The latest job of a request id, with a reference; NULL if unknown. */
job_t *batch_find(batch_t *batch, const char *id);
void batch_release(batch_t *batch, job_t *job);
void batch_cancel(batch_t *batch, job_t *job);

/*
 * Waits until the job has more than index tokens, or ended, or the batch
 * stops. Returns the tokens it has; *state is the job's.
 */
uint32_t batch_wait(batch_t *batch, job_t *job, uint32_t index,
		    job_state_t *state);

void batch_set_speed(batch_t *batch, double factor);
void batch_stall(batch_t *batch, int64_t ms);
void batch_leave(batch_t *batch);

json_t *batch_load(batch_t *batch);
json_t *batch_runs(batch_t *batch);
json_t *batch_events(batch_t *batch, uint64_t after);

#endif
