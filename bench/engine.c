/*
 * The arithmetic of a continuously batching engine, and a plain service.
 */

#include "engine.h"

#include <math.h>
#include <string.h>

void engine_init(engine_t *engine, sim_t *sim, config_target_t target,
		 double speed, uint64_t seed)
{
	memset(engine, 0, sizeof(*engine));
	engine->sim = sim;
	engine->target = target;
	engine->speed = speed;
	engine->slowdown = 1;
	engine->slots = ENGINE_BATCH;
	engine->end = &engine->first;
	pimento_random_init(&engine->random, seed);
}

double engine_alone(double prompt, double answer)
{
	return prompt * ENGINE_PROMPT + answer * (ENGINE_STEP + ENGINE_TOKEN);
}

double engine_cost(double prompt, double answer)
{
	return prompt * ENGINE_PROMPT +
	       answer * (ENGINE_TOKEN + ENGINE_STEP / ENGINE_BATCH);
}

static engine_prefix_t *cache_find(engine_t *e, uint64_t prefix)
{
	for (int i = 0; i < ENGINE_PREFIXES; i++)
		if (e->cache[i].prefix == prefix && e->cache[i].tokens)
			return &e->cache[i];
	return NULL;
}

static engine_prefix_t *cache_oldest(engine_t *e)
{
	engine_prefix_t *oldest = NULL;

	for (int i = 0; i < ENGINE_PREFIXES; i++) {
		engine_prefix_t *p = &e->cache[i];

		if (p->tokens && (!oldest || p->used < oldest->used))
			oldest = p;
	}
	return oldest;
}

static engine_prefix_t *cache_empty(engine_t *e)
{
	for (int i = 0; i < ENGINE_PREFIXES; i++)
		if (!e->cache[i].tokens)
			return &e->cache[i];
	return NULL;
}

/* A beginning was read: keep it, and forget the least recently used. */
static void cache_keep(engine_t *e, uint64_t prefix, uint32_t tokens)
{
	engine_prefix_t *p = cache_find(e, prefix);

	if (!prefix || !tokens)
		return;
	while (!p && (e->cached + tokens > ENGINE_CACHE || !cache_empty(e))) {
		engine_prefix_t *oldest = cache_oldest(e);

		if (!oldest)
			return;
		e->cached -= oldest->tokens;
		oldest->tokens = 0;
	}
	if (!p) {
		p = cache_empty(e);
		p->prefix = prefix;
		p->tokens = tokens;
		e->cached += tokens;
	}
	p->used = ++e->clock;
}

static uint32_t cache_hit(engine_t *e, const job_t *job)
{
	engine_prefix_t *p = job->prefix ? cache_find(e, job->prefix) : NULL;

	if (!p)
		return 0;
	p->used = ++e->clock;
	return p->tokens < job->prompt ? p->tokens : job->prompt - 1;
}

static void pop(engine_t *e)
{
	job_t *job = e->first;

	e->first = job->next;
	if (!e->first)
		e->end = &e->first;
	e->waiting--;
	job->in_batch = true;
	e->batch[e->running++] = job;
}

static void admit(engine_t *e)
{
	while (e->first && e->running < e->slots) {
		job_t *job = e->first;
		uint32_t need = job->prompt + job->answer;

		if (e->running && e->memory + need > ENGINE_MEMORY)
			return;
		e->memory += need;
		job->unread = job->prompt - cache_hit(e, job);
		pop(e);
	}
}

static void step_end(void *context, void *item, uint64_t argument);

static void step_begin(engine_t *e)
{
	uint32_t chunk = ENGINE_CHUNK;
	uint32_t making = 0;
	uint32_t reading = 0;
	double seconds;

	admit(e);
	if (!e->running)
		return;
	for (uint32_t i = 0; i < e->running; i++) {
		uint32_t part = e->batch[i]->unread;

		if (!part) {
			making++;
			e->planned[i] = 0;
			continue;
		}
		if (part > chunk)
			part = chunk;
		chunk -= part;
		reading += part;
		e->planned[i] = part;
	}
	seconds = ENGINE_STEP + making * ENGINE_TOKEN + reading * ENGINE_PROMPT;
	seconds *= e->slowdown / e->speed;
	e->prompt_read += reading;
	e->busy += seconds;
	e->batched += seconds * e->running;
	if (reading == ENGINE_CHUNK)
		e->reading += seconds;
	e->stepping = true;
	sim_at(e->sim, e->sim->now + (pimento_usec_t)(seconds * PIMENTO_SEC),
	       step_end, e, NULL, 0);
}

static void leave_batch(engine_t *e, uint32_t i)
{
	job_t *job = e->batch[i];

	e->running--;
	for (uint32_t j = i; j < e->running; j++) {
		e->batch[j] = e->batch[j + 1];
		e->planned[j] = e->planned[j + 1];
	}
	job->in_batch = false;
	job->present = false;
	e->memory -= job->prompt + job->answer;
}

/* True when the job is done. */
static bool advance(engine_t *e, job_t *job, uint32_t planned)
{
	if (job->unread) {
		job->unread -= planned;
		job->read += planned;
		if (job->unread)
			return false;
		cache_keep(e, job->prefix, job->prefix_tokens);
		job->made = 1;
		e->on_first(e->context, job);
	} else {
		job->made++;
	}
	return job->made >= job->answer;
}

static void step_end(void *context, void *item, uint64_t argument)
{
	engine_t *e = context;
	uint32_t i = 0;

	(void)item;
	(void)argument;
	e->stepping = false;
	while (i < e->running) {
		job_t *job = e->batch[i];

		if (advance(e, job, e->planned[i])) {
			leave_batch(e, i);
			e->on_done(e->context, job);
		} else {
			i++;
		}
	}
	step_begin(e);
}

static void service_begin(engine_t *e);

static void service_end(void *context, void *item, uint64_t argument)
{
	engine_t *e = context;
	job_t *job = item;

	if (!job->present || job->started != argument)
		return;
	job->present = false;
	job->in_batch = false;
	e->running--;
	e->on_first(e->context, job);
	e->on_done(e->context, job);
	service_begin(e);
}

static void service_begin(engine_t *e)
{
	while (e->first && e->running < e->slots) {
		job_t *job = e->first;
		double u = pimento_random_unit(&e->random);
		double seconds = -log(1 - u) * e->service_seconds;

		e->first = job->next;
		if (!e->first)
			e->end = &e->first;
		e->waiting--;
		e->running++;
		job->in_batch = true;
		job->started = ++e->clock;
		seconds *= e->slowdown / e->speed;
		sim_at(e->sim,
		       e->sim->now + (pimento_usec_t)(seconds * PIMENTO_SEC),
		       service_end, e, job, job->started);
	}
}

static void work(engine_t *e)
{
	if (e->target == CONFIG_TARGET_SERVICE)
		service_begin(e);
	else if (!e->stepping)
		step_begin(e);
}

void engine_submit(engine_t *e, job_t *job)
{
	job->next = NULL;
	job->present = true;
	job->in_batch = false;
	job->read = 0;
	job->made = 0;
	*e->end = job;
	e->end = &job->next;
	e->waiting++;
	work(e);
}

static void cancel_waiting(engine_t *e, job_t *job)
{
	job_t **link = &e->first;

	while (*link && *link != job)
		link = &(*link)->next;
	if (!*link)
		return;
	*link = job->next;
	if (!*link)
		e->end = link;
	e->waiting--;
	job->present = false;
}

void engine_cancel(engine_t *e, job_t *job)
{
	if (!job->present)
		return;
	if (!job->in_batch) {
		cancel_waiting(e, job);
		return;
	}
	if (e->target == CONFIG_TARGET_SERVICE) {
		job->present = false;
		job->in_batch = false;
		e->running--;
		service_begin(e);
		return;
	}
	for (uint32_t i = 0; i < e->running; i++)
		if (e->batch[i] == job)
			leave_batch(e, i--);
}
