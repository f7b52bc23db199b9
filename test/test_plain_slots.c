/*
 * A plain service with fewer slots than its callers need, in virtual time: how
 * many answers are in time, with the slots handed out by their owner and with
 * each host filling the endpoint's own queue.
 */

#include "grants.h"
#include "latency.h"
#include "placement.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

#define MS PIMENTO_MSEC

enum {
	SLOTS = 6,
	OWN_QUEUE = 24, /* of the endpoint, in order of arrival */
	REQUESTS_MAX = 8000,
	LINK_MS = 2,
	GOAL_MS = 300,
	WAIT_MS = 400, /* in the owner's queue */
	RUN_MS = 20000,
	SEEDS = 5
};

#define WORK_MS 60.0
#define WORK_SIGMA 0.47
/* A third more than the slots can serve. */
#define PER_MS 0.13

typedef struct job {
	pimento_usec_t arrived;
	pimento_usec_t sent;
	pimento_usec_t over_at; /* 0: waits in the endpoint's queue */
	pimento_usec_t work;
} job_t;

typedef struct run {
	grants_t grants;
	latency_service_t service;
	latency_model_t pace;
	uint64_t draws;
	job_t jobs[REQUESTS_MAX];
	uint32_t count;
	uint32_t at_endpoint[REQUESTS_MAX]; /* in order of arrival */
	uint32_t held;
	uint32_t in_time;
} run_t;

/* splitmix64 */
static double chance(run_t *run)
{
	uint64_t z = run->draws += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return (double)((z ^ (z >> 31)) >> 11) / (double)(1ull << 53);
}

static pimento_usec_t draw_work(run_t *run)
{
	double normal =
		sqrt(-2 * log(1 - chance(run))) * cos(2 * M_PI * chance(run));
	double ms = WORK_MS *
		    exp(WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2);

	return (pimento_usec_t)(ms * (double)MS);
}

/* What a host leaves for the answer when it says how long it can wait. */
static pimento_usec_t expect(const run_t *run, bool owner)
{
	if (owner)
		return (pimento_usec_t)latency_p90_first_event(
			&run->pace, &run->service, 0);
	return (pimento_usec_t)latency_expected_first_event(&run->pace,
							    &run->service, 0);
}

static void arrive(run_t *run, bool owner, pimento_usec_t now)
{
	grants_request_t ask = { .address = 1,
				 .ticket = run->count + 1,
				 .queue_timeout = WAIT_MS * MS };
	job_t *job = &run->jobs[run->count];

	ck_assert_uint_lt(run->count, REQUESTS_MAX);
	*job = (job_t){ .arrived = now, .work = draw_work(run) };
	run->count++;
	ask.overdue_in = GOAL_MS * MS - expect(run, owner);
	ck_assert_int_eq(grants_request(&run->grants, &ask, now), 0);
}

static void finish(run_t *run, uint32_t ticket, pimento_usec_t now)
{
	const job_t *job = &run->jobs[ticket - 1];

	if (now - job->arrived <= GOAL_MS * MS)
		run->in_time++;
	latency_add_first_event(&run->pace, &run->service, now - job->sent, 0);
	grants_release(&run->grants, 0, 1, ticket);
}

/* Ends jobs and begins those that waited in the endpoint's queue. */
static void serve(run_t *run, pimento_usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < run->held; i++) {
		job_t *job = &run->jobs[run->at_endpoint[i] - 1];

		if (job->over_at && now >= job->over_at)
			finish(run, run->at_endpoint[i], now + LINK_MS * MS);
		else
			run->at_endpoint[kept++] = run->at_endpoint[i];
	}
	run->held = kept;
	for (uint32_t i = 0; i < kept && i < SLOTS; i++) {
		job_t *job = &run->jobs[run->at_endpoint[i] - 1];

		if (!job->over_at)
			job->over_at = now + job->work;
	}
}

/* Share of all requests that were answered in time. */
static double play(uint64_t seed, bool owner)
{
	static run_t run;
	const registry_service_t plain = { .queues_requests = true };
	const registry_endpoint_t endpoint = { .slots = SLOTS };
	uint32_t places = owner ? placement_in_flight_limit(&plain, &endpoint)
				: SLOTS + OWN_QUEUE;
	grants_request_t given;
	double share;

	run = (run_t){ .draws = seed };
	grants_init(&run.grants);
	for (pimento_usec_t ms = 1; ms <= RUN_MS; ms++) {
		pimento_usec_t now = ms * MS;

		if (chance(&run) < PER_MS)
			arrive(&run, owner, now);
		serve(&run, now);
		while (grants_grant_next(&run.grants, 0, places, now, &given)) {
			run.jobs[given.ticket - 1].sent =
				now - 2 * LINK_MS * MS;
			run.at_endpoint[run.held++] = (uint32_t)given.ticket;
		}
	}
	share = (double)run.in_time / run.count;
	grants_finish(&run.grants);
	return share;
}

/* Guards against a full queue at the endpoint that makes every answer late. */
START_TEST(in_an_overload_the_slots_go_to_answers_in_time)
{
	double reachable = SLOTS / WORK_MS / PER_MS;
	double owned = play((uint64_t)_i + 1, true);
	double unowned = play((uint64_t)_i + 1, false);

	ck_assert_msg(owned > 0.8 * reachable, "%f of %f", owned, reachable);
	ck_assert_msg(unowned < owned / 2, "%f, %f", unowned, owned);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("plain_slots");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests,
			    in_an_overload_the_slots_go_to_answers_in_time, 0,
			    SEEDS);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
