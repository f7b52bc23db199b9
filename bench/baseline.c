/*
 * The baselines. Both dispatch at once and leave the line to the endpoints,
 * which serve in order of arrival; neither refuses anything.
 */

#include "policy.h"

#include <stdlib.h>
#include <string.h>

typedef struct baseline {
	policy_t policy; /* first member */
	world_t *world;
	uint32_t turn[WORLD_HOSTS_MAX][3]; /* by host and target */
	uint32_t load[WORLD_HOSTS_MAX][WORKLOAD_ENDPOINTS];
} baseline_t;

static int start(policy_t *policy, world_t *world)
{
	baseline_t *b = (baseline_t *)policy;

	b->world = world;
	for (uint32_t i = 0; i < WORLD_HOSTS_MAX; i++)
		for (int j = 0; j < 3; j++)
			b->turn[i][j] = i; /* or all begin with the same one */
	return 0;
}

static void finish(policy_t *policy)
{
	free(policy);
}

static bool usable(const baseline_t *b, const request_t *r, uint32_t endpoint)
{
	return world_serves(b->world, r, endpoint) &&
	       !b->world->endpoint_left[endpoint];
}

static void submit_in_turn(policy_t *policy, request_t *r)
{
	baseline_t *b = (baseline_t *)policy;
	uint32_t *turn = &b->turn[r->host][r->class->target];

	do {
		*turn = (*turn + 1) % b->world->endpoint_count;
	} while (!usable(b, r, *turn));
	world_dispatch(b->world, r, *turn);
}

static uint32_t any(baseline_t *b, const request_t *r)
{
	uint32_t endpoint;

	do {
		endpoint = (uint32_t)pimento_random_below(
			&b->world->random, b->world->endpoint_count);
	} while (!usable(b, r, endpoint));
	return endpoint;
}

static void submit_better(policy_t *policy, request_t *r)
{
	baseline_t *b = (baseline_t *)policy;
	uint32_t one = any(b, r);
	uint32_t other = any(b, r);
	uint32_t *load = b->load[r->host];

	if (load[other] < load[one])
		one = other;
	load[one]++; /* what it sent itself it knows at once */
	world_dispatch(b->world, r, one);
}

static void nothing(policy_t *policy, request_t *r)
{
	(void)policy;
	(void)r;
}

static void report(policy_t *policy, uint32_t endpoint,
		   const load_report_t *said)
{
	baseline_t *b = (baseline_t *)policy;

	for (uint32_t i = 0; i < b->world->hosts; i++)
		b->load[i][endpoint] = said->running + said->waiting;
}

static void view(policy_t *policy, uint32_t host)
{
	(void)policy;
	(void)host;
}

/* What waits does so inside the endpoints. */
static uint32_t waiting_below(policy_t *policy, uint32_t host,
			      const request_t *r)
{
	const world_t *w = ((baseline_t *)policy)->world;
	uint32_t found = 0;

	(void)host;
	for (uint32_t i = 0; i < w->endpoint_count; i++) {
		if (!world_serves(w, r, i))
			continue;
		for (const job_t *j = w->engines[i].first; j; j = j->next)
			found += j->tier > r->class->tier;
	}
	return found;
}

static policy_t *make(const char *name,
		      void (*submit)(policy_t *policy, request_t *r))
{
	baseline_t *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->policy.name = name;
	b->policy.start = start;
	b->policy.finish = finish;
	b->policy.submit = submit;
	b->policy.first = nothing;
	b->policy.done = nothing;
	b->policy.left = nothing;
	b->policy.report = report;
	b->policy.view = view;
	b->policy.leaving = view;
	b->policy.waiting_below = waiting_below;
	return &b->policy;
}

policy_t *policy_round_robin(void)
{
	return make("round-robin", submit_in_turn);
}

policy_t *policy_better_of_two(void)
{
	return make("better-of-two", submit_better);
}
