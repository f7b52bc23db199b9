/*
 * One worker steps the batch every few milliseconds by the time that really
 * went by, so a machine that is busy makes the engine late but never wrong.
 */

#include "batch.h"

#include "answer.h"
#include "common.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STEP_NS 4000000
#define KEEP_MS INT64_C(600000)
#define STEP_MAX_S 1.0
#define DECODE_BESIDE_PREFILL 0.5

static double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void line_put(job_line_t *line, job_t *job)
{
	job->next = NULL;
	if (line->tail)
		line->tail->next = job;
	else
		line->head = job;
	line->tail = job;
	line->count++;
}

static job_t *line_take(job_line_t *line)
{
	job_t *job = line->head;

	if (!job)
		return NULL;
	line->head = job->next;
	if (!line->head)
		line->tail = NULL;
	line->count--;
	return job;
}

static void job_put(job_t *job)
{
	if (--job->references)
		return;
	if (job->run && job->run->job == job)
		job->run->job = NULL;
	free(job->prompt);
	free(job);
}

static void job_end(batch_t *batch, job_t *job, job_state_t state)
{
	job->state = state;
	job->ended_ms = standin_now_ms();
	if (state == JOB_FINISHED)
		job->run->finished++;
	line_put(&batch->ended, job);
}

static void admit(batch_t *batch)
{
	while (batch->waiting.head &&
	       batch->running_count < batch->options.batch) {
		job_t *job = line_take(&batch->waiting);
		uint32_t cached;

		if (job->state == JOB_CANCELLED) {
			job_end(batch, job, JOB_CANCELLED);
			continue;
		}
		cached = prefix_match(&batch->prefix, job->prompt,
				      job->prompt_length);
		job->prefill_left = (double)job->prompt_tokens - cached;
		job->run->cached_tokens += cached;
		job->state = JOB_RUNNING;
		batch->running[batch->running_count++] = job;
	}
}

/* Reads prompts in order of admission; true while there are any to read. */
static bool prefill(batch_t *batch, double tokens)
{
	for (uint32_t i = 0; i < batch->running_count; i++) {
		job_t *job = batch->running[i];
		double part =
			tokens < job->prefill_left ? tokens : job->prefill_left;

		if (job->prefill_left <= 0)
			continue;
		job->prefill_left -= part;
		job->run->prefilled += part;
		tokens -= part;
		if (job->prefill_left > 0)
			return true;
		job->prefill_left = 0;
		prefix_store(&batch->prefix, job->prompt, job->prompt_length,
			     standin_now_ms());
	}
	return false;
}

static void decode(batch_t *batch, double tokens)
{
	for (uint32_t i = 0; i < batch->running_count; i++) {
		job_t *job = batch->running[i];
		uint32_t whole;

		if (job->prefill_left > 0)
			continue;
		job->decoded += tokens;
		whole = job->decoded < job->max_tokens ? (uint32_t)job->decoded
						       : job->max_tokens;
		job->run->answer_tokens += whole - job->generated;
		job->generated = whole;
	}
}

static void sweep(batch_t *batch)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < batch->running_count; i++) {
		job_t *job = batch->running[i];

		if (job->state == JOB_CANCELLED)
			job_end(batch, job, JOB_CANCELLED);
		else if (job->generated >= job->max_tokens &&
			 job->prefill_left <= 0)
			job_end(batch, job, JOB_FINISHED);
		else
			batch->running[kept++] = job;
	}
	batch->running_count = kept;
}

static void expire(batch_t *batch)
{
	int64_t now = standin_now_ms();

	while (batch->ended.head && now - batch->ended.head->ended_ms > KEEP_MS)
		job_put(line_take(&batch->ended));
}

static uint64_t tokens_left(const batch_t *batch)
{
	uint64_t left = 0;

	for (uint32_t i = 0; i < batch->running_count; i++) {
		const job_t *job = batch->running[i];

		left += job->max_tokens - job->generated;
		left += (uint64_t)job->prefill_left;
	}
	for (const job_t *job = batch->waiting.head; job; job = job->next)
		left += job->max_tokens + job->prompt_tokens;
	return left;
}

static void take_sample(batch_t *batch)
{
	int64_t now = standin_now_ms();
	const batch_sample_t *last =
		&batch->samples[(batch->sample_count + BATCH_SAMPLES - 1) %
				BATCH_SAMPLES];

	if (batch->sample_count && now - last->at_ms < BATCH_SAMPLE_MS)
		return;
	batch->samples[batch->sample_count++ % BATCH_SAMPLES] =
		(batch_sample_t){ now, batch->running_count,
				  batch->waiting.count, tokens_left(batch) };
}

static void step(batch_t *batch, double seconds)
{
	double rate = batch->options.decode * batch->options.batch;
	bool reading;

	if (standin_now_ms() < batch->stalled_until_ms)
		return;
	seconds *= batch->speed;
	sweep(batch);
	admit(batch);
	reading = prefill(batch, batch->options.prefill * seconds);
	rate /= batch->options.batch +
		(batch->running_count ? batch->running_count - 1 : 0);
	if (reading)
		rate *= DECODE_BESIDE_PREFILL;
	decode(batch, rate * seconds);
	sweep(batch);
	admit(batch);
}

static void *work(void *data)
{
	batch_t *batch = data;
	struct timespec pause = { 0, STEP_NS };
	double before = now_s();

	pthread_mutex_lock(&batch->mutex);
	while (!batch->stopping) {
		double now;

		pthread_mutex_unlock(&batch->mutex);
		nanosleep(&pause, NULL);
		pthread_mutex_lock(&batch->mutex);
		now = now_s();
		step(batch,
		     now - before < STEP_MAX_S ? now - before : STEP_MAX_S);
		before = now;
		take_sample(batch);
		expire(batch);
		pthread_cond_broadcast(&batch->changed);
	}
	pthread_mutex_unlock(&batch->mutex);
	return NULL;
}

int batch_init(batch_t *batch, const batch_options_t *options)
{
	memset(batch, 0, sizeof(*batch));
	batch->options = *options;
	batch->speed = 1.0;
	batch->incarnation = standin_draw();
	pthread_mutex_init(&batch->mutex, NULL);
	pthread_cond_init(&batch->changed, NULL);
	runs_init(&batch->runs);
	batch->running = calloc(options->batch, sizeof(job_t *));
	if (!batch->running ||
	    prefix_init(&batch->prefix, options->cache_tokens) < 0)
		return -1;
	return pthread_create(&batch->worker, NULL, work, batch) ? -1 : 0;
}

void batch_stop(batch_t *batch)
{
	pthread_mutex_lock(&batch->mutex);
	batch->stopping = true;
	pthread_cond_broadcast(&batch->changed);
	pthread_mutex_unlock(&batch->mutex);
	pthread_join(batch->worker, NULL);
}

void batch_finish(batch_t *batch)
{
	job_t *job;

	for (uint32_t i = 0; i < batch->running_count; i++)
		job_put(batch->running[i]);
	while ((job = line_take(&batch->waiting)))
		job_put(job);
	while ((job = line_take(&batch->ended)))
		job_put(job);
	free(batch->running);
	prefix_finish(&batch->prefix);
	runs_finish(&batch->runs);
	pthread_cond_destroy(&batch->changed);
	pthread_mutex_destroy(&batch->mutex);
}

static job_t *job_new(char *prompt, uint32_t max_tokens, bool chat)
{
	job_t *job = calloc(1, sizeof(*job));

	if (!job) {
		free(prompt);
		return NULL;
	}
	job->prompt = prompt;
	job->prompt_length = strlen(prompt);
	job->prompt_tokens = answer_tokens(job->prompt_length);
	job->seed = answer_seed(prompt, job->prompt_length);
	job->max_tokens = max_tokens;
	job->chat = chat;
	return job;
}

job_t *batch_submit(batch_t *batch, const char *id, char *prompt,
		    uint32_t max_tokens, bool chat)
{
	job_t *job = job_new(prompt, max_tokens, chat);

	if (!job)
		return NULL;
	pthread_mutex_lock(&batch->mutex);
	job->run = runs_find(&batch->runs, id, true);
	if (job->run) {
		job->references = 2; /* the batch's and the caller's */
		job->run->started++;
		job->run->prompt_tokens += job->prompt_tokens;
		job->run->job = job;
		batch->last_start_ms = standin_now_ms();
		line_put(&batch->waiting, job);
		admit(batch);
	} else {
		job->references = 1;
		job_put(job);
		job = NULL;
	}
	pthread_mutex_unlock(&batch->mutex);
	return job;
}

job_t *batch_find(batch_t *batch, const char *id)
{
	run_t *run;
	job_t *job;

	pthread_mutex_lock(&batch->mutex);
	run = runs_find(&batch->runs, id, false);
	job = run ? run->job : NULL;
	if (job)
		job->references++;
	pthread_mutex_unlock(&batch->mutex);
	return job;
}

void batch_release(batch_t *batch, job_t *job)
{
	pthread_mutex_lock(&batch->mutex);
	job_put(job);
	pthread_mutex_unlock(&batch->mutex);
}

void batch_cancel(batch_t *batch, job_t *job)
{
	pthread_mutex_lock(&batch->mutex);
	if (job->state == JOB_WAITING || job->state == JOB_RUNNING) {
		/* Here and not in sweep(), or a reader could see the end of
		 * the stream before the count. */
		job->state = JOB_CANCELLED;
		job->run->cancelled++;
	}
	pthread_cond_broadcast(&batch->changed);
	pthread_mutex_unlock(&batch->mutex);
}

uint32_t batch_wait(batch_t *batch, job_t *job, uint32_t index,
		    job_state_t *state)
{
	uint32_t generated;

	pthread_mutex_lock(&batch->mutex);
	while (job->generated <= index && job->state != JOB_FINISHED &&
	       job->state != JOB_CANCELLED && !batch->stopping)
		pthread_cond_wait(&batch->changed, &batch->mutex);
	generated = job->generated;
	*state = batch->stopping && job->state != JOB_FINISHED ? JOB_CANCELLED
							       : job->state;
	pthread_mutex_unlock(&batch->mutex);
	return generated;
}

void batch_set_speed(batch_t *batch, double factor)
{
	pthread_mutex_lock(&batch->mutex);
	batch->speed = factor;
	pthread_mutex_unlock(&batch->mutex);
}

void batch_stall(batch_t *batch, int64_t ms)
{
	pthread_mutex_lock(&batch->mutex);
	batch->stalled_until_ms = standin_now_ms() + ms;
	pthread_mutex_unlock(&batch->mutex);
}

void batch_leave(batch_t *batch)
{
	pthread_mutex_lock(&batch->mutex);
	batch->leaving = true;
	batch->left_ms = standin_now_ms();
	pthread_mutex_unlock(&batch->mutex);
}

/* The newest sample that is as old as the lag; the oldest while all are new. */
static batch_sample_t lagged(const batch_t *batch, int64_t now)
{
	uint32_t first = batch->sample_count > BATCH_SAMPLES
				 ? batch->sample_count - BATCH_SAMPLES
				 : 0;
	uint32_t i = batch->sample_count;

	if (!i)
		return (batch_sample_t){ .at_ms = now };
	while (--i > first)
		if (batch->samples[i % BATCH_SAMPLES].at_ms <=
		    now - batch->options.load_lag_ms)
			break;
	return batch->samples[i % BATCH_SAMPLES];
}

json_t *batch_load(batch_t *batch)
{
	int64_t now = standin_now_ms();
	int64_t since_left = 0;
	batch_sample_t sample;
	bool leaving;

	pthread_mutex_lock(&batch->mutex);
	sample = lagged(batch, now);
	leaving = batch->leaving;
	if (leaving && batch->last_start_ms > batch->left_ms)
		since_left = batch->last_start_ms - batch->left_ms;
	pthread_mutex_unlock(&batch->mutex);
	return json_pack("{s:i,s:i,s:I,s:I,s:b,s:I,s:I}", "running",
			 (int)sample.running, "waiting", (int)sample.waiting,
			 "tokens_left", (json_int_t)sample.tokens_left,
			 "age_ms", (json_int_t)(now - sample.at_ms), "leaving",
			 leaving, "started_after_leaving_ms",
			 (json_int_t)since_left, "incarnation",
			 (json_int_t)batch->incarnation);
}

json_t *batch_runs(batch_t *batch)
{
	json_t *object;

	pthread_mutex_lock(&batch->mutex);
	object = runs_json(&batch->runs);
	pthread_mutex_unlock(&batch->mutex);
	return object;
}

json_t *batch_events(batch_t *batch, uint64_t after)
{
	json_t *list;

	pthread_mutex_lock(&batch->mutex);
	list = prefix_events(&batch->prefix, after, standin_now_ms(),
			     batch->options.event_lag_ms);
	pthread_mutex_unlock(&batch->mutex);
	return list;
}
