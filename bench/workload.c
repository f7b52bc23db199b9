/*
 * The two deployments of the users' sizes. Load 1 is what the engines could do
 * with full batches and half of the shared beginnings cached, the best that
 * any policy can hope for; so load 0.9 is a heavy one.
 */

#include "workload.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MODEL CONFIG_TARGET_MODEL
#define SERVICE CONFIG_TARGET_SERVICE
#define SEC PIMENTO_SEC

const workload_t workloads[WORKLOADS] = {
	{ .name = "qurum",
	  .tiers = 4,
	  .datacentres = 3,
	  .class_count = 6,
	  .classes = { { "charge", SERVICE, 0, 0.3, 0, 0, 0, 0, 0, 0, 5 * SEC,
			 false, 3 },
		       { "skip", MODEL, 0, 0.1, 150, 500, 20, 60, 100, 4,
			 6 * SEC, true, 3 },
		       { "missed-delivery", MODEL, 1, 0.2, 800, 2400, 80, 240,
			 600, 12, 20 * SEC, true, 2 },
		       { "weekly-box", MODEL, 2, 0.3, 1500, 4500, 250, 700,
			 1200, 24, 60 * SEC, true, 1 },
		       { "lookup", SERVICE, 2, 0.7, 0, 0, 0, 0, 0, 0, 10 * SEC,
			 true, 1 },
		       { "ingredient-summary", MODEL, 3, 0.4, 8000, 40000, 400,
			 1000, 4000, 40, 120 * SEC, true, 1 } },
	  .engine_count = 12,
	  .service_count = 3,
	  .speeds = { 1.5, 1.5, 1.2, 1, 1, 1, 1, 0.8, 0.8, 0.6, 0.5, 0.4, 1, 1,
		      0.7 },
	  .service_seconds = 0.15,
	  .service_slots = 8 },
	{ .name = "druckstube",
	  .tiers = 3,
	  .datacentres = 4,
	  .class_count = 5,
	  .classes = { { "job-submit", SERVICE, 0, 0.3, 0, 0, 0, 0, 0, 0,
			 5 * SEC, false, 2 },
		       { "counter-question", MODEL, 0, 0.15, 100, 600, 40, 150,
			 80, 3, 8 * SEC, true, 1 },
		       { "thesis-review", MODEL, 1, 0.6, 20000, 80000, 1000,
			 3000, 1000, 2, 180 * SEC, true, 4 },
		       { "tagging", MODEL, 2, 0.25, 400, 1500, 10, 30, 300, 6,
			 90 * SEC, true, 1 },
		       { "job-status", SERVICE, 2, 0.7, 0, 0, 0, 0, 0, 0,
			 10 * SEC, true, 1 } },
	  .engine_count = 9,
	  .service_count = 4,
	  .speeds = { 1.5, 1.2, 1, 1, 1, 0.8, 0.7, 0.5, 0.4, 1, 1, 1, 0.6 },
	  .service_seconds = 0.2,
	  .service_slots = 8 },
};

static const char *const scenario_names[SCENARIOS] = {
	"steady",    "burst", "slow", "stale-5s",
	"stale-30s", "kill",  "cut",  "leave",
};

/* Parts of all callers that each account has: a few are large. */
static const double account_part[WORKLOAD_ACCOUNTS] = { 0.5, 0.25, 0.12, 0.08,
							0.05 };

const char *scenario_name(scenario_t scenario)
{
	return scenario_names[scenario];
}

static double class_cost(const workload_t *w, const workload_class_t *c)
{
	double prompt = (c->prompt_least + c->prompt_most) / 2.0;
	double answer = (c->answer_least + c->answer_most) / 2.0;

	if (c->target == SERVICE)
		return w->service_seconds / w->service_slots;
	return engine_cost(prompt - c->prefix_tokens / 2.0, answer);
}

static double capacity(const workload_t *w, config_target_t target)
{
	uint32_t from = target == MODEL ? 0 : w->engine_count;
	uint32_t count = target == MODEL ? w->engine_count : w->service_count;
	double sum = 0;

	for (uint32_t i = 0; i < count; i++)
		sum += w->speeds[from + i];
	return sum;
}

static uint32_t between(pimento_random_t *random, uint32_t least, uint32_t most)
{
	if (most <= least)
		return least;
	return least + (uint32_t)pimento_random_below(random, most - least + 1);
}

static uint32_t draw_account(pimento_random_t *random)
{
	double u = pimento_random_unit(random);

	for (uint32_t i = 0; i < WORKLOAD_ACCOUNTS; i++) {
		if (u < account_part[i])
			return i;
		u -= account_part[i];
	}
	return 0;
}

static void draw_one(request_t *r, const workload_class_t *c, uint32_t class,
		     pimento_usec_t at, pimento_random_t *random)
{
	memset(r, 0, sizeof(*r));
	r->class = c;
	r->arrival = at;
	r->deadline = at + c->patience;
	r->account = draw_account(random);
	r->prompt = between(random, c->prompt_least, c->prompt_most);
	r->answer = between(random, c->answer_least, c->answer_most);
	if (c->prefix_kinds)
		r->prefix = 1 + class * 1000ULL +
			    pimento_random_below(random, c->prefix_kinds);
}

static int by_arrival(const void *a, const void *b)
{
	const request_t *left = a;
	const request_t *right = b;

	if (left->arrival != right->arrival)
		return left->arrival < right->arrival ? -1 : 1;
	return (left->class > right->class) - (left->class < right->class);
}

request_t *workload_draw(const workload_t *w, scenario_t scenario, double load,
			 uint64_t seed, uint32_t *count)
{
	request_t *all = NULL;
	uint32_t size = 0;

	*count = 0;
	for (uint32_t i = 0; i < w->class_count; i++) {
		const workload_class_t *c = &w->classes[i];
		double rate = load * c->share * capacity(w, c->target) /
			      class_cost(w, c);
		double now = 0;
		pimento_random_t random;

		pimento_random_init(&random, seed * 1000003 + i);
		for (;;) {
			pimento_usec_t at;
			double r = rate;

			at = (pimento_usec_t)(now * SEC);
			if (scenario == SCENARIO_BURST && at >= RUN_EVENT &&
			    at < RUN_EVENT_END)
				r *= c->burst;
			now -= log(1 - pimento_random_unit(&random)) / r;
			at = (pimento_usec_t)(now * SEC);
			if (at >= RUN_ARRIVALS)
				break;
			if (*count == size) {
				size = size ? size * 2 : 4096;
				all = realloc(all, size * sizeof(*all));
				if (!all)
					abort();
			}
			draw_one(&all[(*count)++], c, i, at, &random);
		}
	}
	if (!all)
		abort(); /* a load without any request is a mistake */
	qsort(all, *count, sizeof(*all), by_arrival);
	for (uint32_t i = 0; i < *count; i++)
		all[i].id = i + 1;
	return all;
}
