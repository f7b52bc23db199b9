/*
 * Many hosts before many engines, with more requests than places, in virtual
 * time: who gets a place in time, by urgency, and whether places stand empty.
 */

#include "grants.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define MS PIMENTO_MSEC

enum {
	ENGINES = 30,
	SLOTS = 8,
	RANKS = 3,
	REQUESTS_MAX = 60000,
	LINK_MS = 2, /* one way between hosts */
	RUN_MS = 20000
};

/* What comes in: the most urgent hold their places longest. */
static const struct {
	double per_ms; /* at a load of one: all together fill all places */
	pimento_usec_t holds;
	pimento_usec_t patience; /* in line; then it is turned away */
} kinds[RANKS] = {
	{ 0.24, 400 * MS, 450 * MS },
	{ 0.28, 300 * MS, 200 * MS },
	{ 0.60, 100 * MS, 300 * MS },
};

typedef struct request {
	uint32_t rank;
	pimento_usec_t arrived;
	pimento_usec_t started; /* 0: not yet */
	pimento_usec_t over_at; /* 0: waits */
	uint32_t engines[GRANTS_QUEUES_MAX];
	uint32_t lines;
	uint32_t engine; /* where it runs */
	bool ended;
} request_t;

typedef struct run {
	grants_t grants;
	request_t *requests;
	uint32_t count;
	uint32_t open; /* all before are over */
	uint64_t draws;
	uint32_t lines; /* that a request may stand in */
	uint32_t came[RANKS];
	uint32_t served[RANKS];
	uint64_t busy; /* places x milliseconds */
	int64_t running;
} run_t;

/* splitmix64 */
static uint64_t draw(run_t *run)
{
	uint64_t z = run->draws += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static double chance(run_t *run)
{
	return (double)(draw(run) >> 11) / (double)(1ull << 53);
}

static uint64_t ticket_of(const run_t *run, const request_t *request,
			  uint32_t engine)
{
	return (uint64_t)(request - run->requests) * ENGINES + engine + 1;
}

static void leave(run_t *run, const request_t *request, uint32_t engine)
{
	grants_release(&run->grants, engine, 1,
		       ticket_of(run, request, engine));
}

static void start(run_t *run, const grants_request_t *given, pimento_usec_t now)
{
	request_t *request = &run->requests[(given->ticket - 1) / ENGINES];

	if (request->ended || request->started) {
		leave(run, request, given->endpoint); /* it was too late */
		return;
	}
	request->started = now + LINK_MS * MS;
	request->over_at = request->started + kinds[request->rank].holds;
	request->engine = given->endpoint;
	run->running++;
	if (request->started - request->arrived <=
	    kinds[request->rank].patience)
		run->served[request->rank]++;
	for (uint32_t i = 0; i < request->lines; i++)
		if (request->engines[i] != given->endpoint)
			leave(run, request, request->engines[i]);
}

static void give(run_t *run, pimento_usec_t now)
{
	grants_request_t given;

	for (uint32_t engine = 0; engine < ENGINES; engine++)
		while (grants_grant_next(&run->grants, engine, SLOTS, now,
					 &given))
			start(run, &given, now);
}

static bool stands_at(const request_t *request, uint32_t engine)
{
	for (uint32_t i = 0; i < request->lines; i++)
		if (request->engines[i] == engine)
			return true;
	return false;
}

static void arrive(run_t *run, uint32_t rank, pimento_usec_t now)
{
	request_t *request = &run->requests[run->count++];

	ck_assert_uint_lt(run->count, REQUESTS_MAX);
	*request = (request_t){ .rank = rank, .arrived = now };
	run->came[rank]++;
	while (request->lines < run->lines) {
		uint32_t engine = (uint32_t)(draw(run) % ENGINES);
		grants_request_t ask = {
			.endpoint = engine,
			.address = 1,
			.ticket = ticket_of(run, request, engine),
			.rank = rank,
			.queue_timeout = kinds[rank].patience
		};

		if (stands_at(request, engine))
			continue;
		request->engines[request->lines++] = engine;
		ck_assert_int_eq(grants_request(&run->grants, &ask, now), 0);
	}
}

static void end(run_t *run, request_t *request, pimento_usec_t now)
{
	if (request->ended)
		return;
	if (request->started && now >= request->over_at) {
		leave(run, request, request->engine);
		run->running--;
		request->ended = true;
	} else if (!request->started &&
		   now - request->arrived > kinds[request->rank].patience) {
		for (uint32_t i = 0; i < request->lines; i++)
			leave(run, request, request->engines[i]);
		request->ended = true;
	}
}

static void play(run_t *run, uint32_t lines, double load)
{
	*run = (run_t){ .lines = lines, .draws = 7 };
	grants_init(&run->grants);
	run->requests = calloc(REQUESTS_MAX, sizeof(*run->requests));
	ck_assert_ptr_nonnull(run->requests);
	for (pimento_usec_t ms = 1; ms <= RUN_MS; ms++) {
		pimento_usec_t now = ms * MS;

		for (uint32_t rank = 0; rank < RANKS; rank++)
			if (chance(run) < kinds[rank].per_ms * load)
				arrive(run, rank, now);
		for (uint32_t i = run->open; i < run->count; i++)
			end(run, &run->requests[i], now);
		while (run->open < run->count && run->requests[run->open].ended)
			run->open++;
		give(run, now);
		run->busy += (uint64_t)run->running;
	}
	free(run->requests);
	grants_finish(&run->grants);
}

static double share(const run_t *run, uint32_t rank)
{
	return (double)run->served[rank] / (double)run->came[rank];
}

static double use(const run_t *run)
{
	return (double)run->busy / ((double)RUN_MS * ENGINES * SLOTS);
}

/*
 * A third more comes in than all engines can answer. Each request used to wait
 * at one engine; urgent ones were turned away after a fifth of a second at a
 * busy engine while less urgent ones got places at others. Callers with urgent
 * requests saw "come back later" although two thirds of all places went to
 * others.
 */
START_TEST(in_an_overload_the_urgent_are_served_and_the_least_urgent_wait)
{
	run_t one;
	run_t many;

	play(&one, 1, 1.33);
	play(&many, GRANTS_QUEUES_MAX, 1.33);
	ck_assert_msg(share(&many, 0) > 0.99, "%f", share(&many, 0));
	ck_assert_msg(share(&many, 1) > 0.97, "%f", share(&many, 1));
	ck_assert_msg(share(&many, 1) > share(&one, 1) + 0.02, "%f %f",
		      share(&many, 1), share(&one, 1));
	ck_assert(share(&many, 2) < share(&many, 1));
	ck_assert_msg(use(&many) > use(&one), "%f %f", use(&many), use(&one));
	ck_assert_msg(use(&many) > 0.97, "%f", use(&many));
}
END_TEST

/* Below what the engines can do, nobody is turned away. */
START_TEST(below_an_overload_all_are_served)
{
	run_t run;

	play(&run, GRANTS_QUEUES_MAX, 0.85);
	for (uint32_t rank = 0; rank < RANKS; rank++)
		ck_assert_msg(share(&run, rank) > 0.99, "%u: %f", rank,
			      share(&run, rank));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lines");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(
		tests,
		in_an_overload_the_urgent_are_served_and_the_least_urgent_wait);
	tcase_add_test(tests, below_an_overload_all_are_served);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
