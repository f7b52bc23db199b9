/* Which endpoint a request goes to, and when there is none for it. */

#include "placement.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SERVICE "engines"
enum { ENDPOINTS = 4, SLOTS = 10, FAST_GAP_MS = 20, SLOW = 3 };

static directory_t directory;
static directory_endpoint_t *endpoints[ENDPOINTS];
static pace_service_t *service;

/* The last endpoint takes three times as long for everything. */
static void learn(void)
{
	for (int i = 0; i < 400; i++) {
		for (int e = 0; e < ENDPOINTS; e++) {
			int slow = e == ENDPOINTS - 1 ? SLOW : 1;

			pace_gap(&endpoints[e]->pace, service,
				 slow * FAST_GAP_MS * PIMENTO_MSEC);
		}
	}
	for (int i = 0; i < 100; i++) {
		int e = i % ENDPOINTS;
		int slow = e == ENDPOINTS - 1 ? SLOW : 1;
		uint32_t prompt = 1000 + (uint32_t)i * 50;

		pace_first(&endpoints[e]->pace, service,
			   slow * (60 + prompt / 100) * PIMENTO_MSEC, prompt);
		pace_length(service, 60, 10);
	}
}

static void setup(void)
{
	directory_init(&directory);
	for (int i = 0; i < ENDPOINTS; i++) {
		char id[16];
		directory_record_t record = { .id = id,
					      .service = SERVICE,
					      .address = "127.0.0.1",
					      .port = (uint16_t)(8000 + i),
					      .datacentre = "a",
					      .slots = SLOTS };

		snprintf(id, sizeof(id), "e%d", i);
		endpoints[i] = directory_put(&directory, &record);
		ck_assert_ptr_nonnull(endpoints[i]);
	}
	service = &directory_service(&directory, pimento_id(SERVICE))->pace;
	learn();
}

static void teardown(void)
{
	directory_finish(&directory);
}

static placement_request_t stream(uint32_t prompt, uint32_t answer)
{
	return (placement_request_t){ .service = pimento_id(SERVICE),
				      .prompt = prompt,
				      .answer = answer,
				      .left = 10 * PIMENTO_SEC,
				      .gap_goal = 300 * PIMENTO_MSEC,
				      .engine = true,
				      .datacentre = "a",
				      .draw = 1 };
}

static placement_verdict_t place(const placement_request_t *request,
				 directory_endpoint_t **endpoint)
{
	return placement_choose(&directory, request, PIMENTO_SEC, endpoint);
}

START_TEST(idle_endpoints_are_chosen_by_their_speed)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_ne(endpoint, endpoints[ENDPOINTS - 1]);
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[ENDPOINTS - 1]);
}
END_TEST

/* Guards against a new connection for each request of a host with few. */
START_TEST(a_host_stays_with_its_idle_connections)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	endpoints[1]->idle_connections = 1;
	for (uint64_t draw = 0; draw < 50; draw++) {
		request.draw = draw * 977;
		ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_eq(endpoint, endpoints[1]);
	}
	endpoints[1]->running = SLOTS + 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_ne(endpoint, endpoints[1]);
}
END_TEST

/* Guards against slow answers for the sake of a connection. */
START_TEST(an_idle_connection_to_a_slow_endpoint_stays_unused)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	endpoints[ENDPOINTS - 1]->idle_connections = 1;
	for (uint64_t draw = 0; draw < 50; draw++) {
		request.draw = draw * 977;
		ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_ne(endpoint, endpoints[ENDPOINTS - 1]);
	}
}
END_TEST

/*
 * An answer of hundreds of events on the slowest hardware runs for longer than
 * its caller stays. It holds a place for all that time and is cut at the last
 * moment; the caller sees a long answer that never ends.
 */
START_TEST(a_long_answer_waits_for_an_endpoint_that_can_finish)
{
	placement_request_t request = stream(1000, 60 * 30); /* 300 events */
	directory_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
	endpoints[1]->running = 0;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[1]);
}
END_TEST

/*
 * One engine of four is three times slower, and the fast ones are full for a
 * moment. Long answers that take the slow one's places hold each for seconds;
 * short answers, which would be on time there, find none and are turned away.
 * When the fast ones are gone, the slow one is better than nothing.
 */
static const struct {
	const char *what;
	uint32_t answer; /* tokens; six make an event */
	pimento_usec_t goal;
	bool late;
	bool fast_ones_gone;
	placement_verdict_t verdict;
} slow_places[] = {
	{ "a long answer waits", 240, 600 * PIMENTO_MSEC, false, false,
	  PLACEMENT_FULL },
	{ "a short one goes", 24, 600 * PIMENTO_MSEC, false, false,
	  PLACEMENT_FOUND },
	{ "a late one goes", 240, 600 * PIMENTO_MSEC, true, false,
	  PLACEMENT_FOUND },
	{ "one without a goal goes", 240, 0, false, false, PLACEMENT_FOUND },
	{ "no other is left", 240, 600 * PIMENTO_MSEC, false, true,
	  PLACEMENT_FOUND },
};

START_TEST(long_answers_leave_slow_places_to_short_ones)
{
	placement_request_t request = stream(1000, slow_places[_i].answer);
	directory_endpoint_t *endpoint;

	request.goal = slow_places[_i].goal;
	request.late = slow_places[_i].late;
	for (int i = 0; i < ENDPOINTS - 1; i++) {
		endpoints[i]->running = SLOTS + 1;
		endpoints[i]->leaving = slow_places[_i].fast_ones_gone;
	}
	ck_assert_msg(place(&request, &endpoint) == slow_places[_i].verdict,
		      "%s", slow_places[_i].what);
	if (slow_places[_i].verdict == PLACEMENT_FOUND)
		ck_assert_ptr_eq(endpoint, endpoints[ENDPOINTS - 1]);
}
END_TEST

/*
 * In a burst the fast engines are full for a moment, and a slow one has room.
 * A request that goes there although its answer will begin too late is late
 * for sure, while a place that falls free elsewhere a little later would have
 * been in time; its caller sees a slow answer that need not have been one.
 */
static const struct {
	const char *what;
	pimento_usec_t begin_within;
	bool late;
	bool fast_ones_gone;
	placement_verdict_t verdict;
} beginnings[] = {
	{ "it waits for a fast one", 150 * PIMENTO_MSEC, false, false,
	  PLACEMENT_FULL },
	{ "the slow one is fast enough", 400 * PIMENTO_MSEC, false, false,
	  PLACEMENT_FOUND },
	{ "a late one goes", 150 * PIMENTO_MSEC, true, false, PLACEMENT_FOUND },
	{ "one without a goal goes", 0, false, false, PLACEMENT_FOUND },
	{ "no other is left", 150 * PIMENTO_MSEC, false, true,
	  PLACEMENT_FOUND },
};

START_TEST(a_request_waits_for_an_endpoint_that_begins_in_time)
{
	placement_request_t request = stream(1000, 24);
	directory_endpoint_t *endpoint;

	request.begin_within = beginnings[_i].begin_within;
	request.late = beginnings[_i].late;
	for (int i = 0; i < ENDPOINTS - 1; i++) {
		endpoints[i]->running = SLOTS + 1;
		endpoints[i]->leaving = beginnings[_i].fast_ones_gone;
	}
	ck_assert_msg(place(&request, &endpoint) == beginnings[_i].verdict,
		      "%s", beginnings[_i].what);
	if (beginnings[_i].verdict == PLACEMENT_FOUND)
		ck_assert_ptr_eq(endpoint, endpoints[ENDPOINTS - 1]);
}
END_TEST

/*
 * A host asks for a place at an engine of which it knows nothing, and its
 * owner gives one together with the word that the engine is slow. A long
 * answer that took the place all the same would be cut at its caller's
 * deadline after ten seconds, though fast engines would have had room some
 * milliseconds later.
 */
START_TEST(a_place_is_taken_only_where_the_owners_word_lets)
{
	const directory_word_t word = { .gap_us = 160 * PIMENTO_MSEC };
	placement_request_t request = stream(1000, 600); /* a hundred events */
	directory_endpoint_t *slow = endpoints[ENDPOINTS - 1];

	pace_init(&slow->pace);
	ck_assert(placement_suits(&directory, &request, slow, PIMENTO_SEC));
	directory_told(slow, &word, PIMENTO_SEC);
	ck_assert(!placement_suits(&directory, &request, slow, PIMENTO_SEC));
	request.answer = 24;
	ck_assert(placement_suits(&directory, &request, slow, PIMENTO_SEC));
	/* where all are slow it is as good as the others */
	request.answer = 600;
	for (int i = 0; i < ENDPOINTS; i++)
		directory_told(endpoints[i], &word, PIMENTO_SEC);
	ck_assert(placement_suits(&directory, &request, slow, PIMENTO_SEC));
}
END_TEST

/*
 * An engine had long pauses for a few seconds. If nothing went there any more,
 * nobody would see that it has recovered, and its places would stand empty
 * while callers are turned away.
 */
START_TEST(late_answers_find_out_whether_pauses_are_still_long)
{
	placement_request_t request = stream(1000, 24);
	directory_endpoint_t *endpoint;

	endpoints[3]->pace.gap = 290 * PIMENTO_MSEC;
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
	request.late = true;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[3]);
}
END_TEST

/*
 * A request that waits stands in the lines of several engines; it must not
 * ask the same one twice.
 */
START_TEST(an_endpoint_that_is_asked_already_is_not_asked_again)
{
	placement_request_t request = stream(1000, 60);
	pimento_id_t asked[ENDPOINTS];
	directory_endpoint_t *endpoint;

	request.in_line = true;
	request.asked = asked;
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	for (uint32_t i = 0; i < ENDPOINTS; i++) {
		ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
		for (uint32_t j = 0; j < i; j++)
			ck_assert(asked[j] != endpoint->key);
		asked[request.asked_count++] = endpoint->key;
	}
	ck_assert_int_ne(place(&request, &endpoint), PLACEMENT_FOUND);
}
END_TEST

/*
 * The owner of the best engine is frozen and does not answer. A request that
 * still chose that engine to wait at would wait nowhere, and its caller be
 * turned away although the other engines go on giving places.
 */
START_TEST(a_request_waits_where_an_owner_answers)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	request.in_line = true;
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->owner_silent_until = 2 * PIMENTO_SEC;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[ENDPOINTS - 1]);
	endpoints[ENDPOINTS - 1]->owner_silent_until = 2 * PIMENTO_SEC;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
	/* a place that is free is taken without the owner's leave */
	request.in_line = false;
	endpoints[0]->running = 0;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[0]);
}
END_TEST

/*
 * An engine that goes down and up accepts connections and breaks them; a
 * faulty one fails all that it gets. It is free again at once and would be
 * given one request after the other. Hosts tell its owner what they found:
 * four such in a row, and it is left alone.
 */
static const struct {
	const char *what;
	pace_finding_t findings[6];
	bool ejected;
} findings[] = {
	{ "four breaks in a row",
	  { PACE_BREAKS, PACE_BREAKS, PACE_BREAKS, PACE_BREAKS },
	  true },
	{ "three are chance",
	  { PACE_BREAKS, PACE_BREAKS, PACE_BREAKS },
	  false },
	{ "an answer between them",
	  { PACE_BREAKS, PACE_BREAKS, PACE_BREAKS, PACE_ANSWERS, PACE_BREAKS,
	    PACE_BREAKS },
	  false },
	{ "callers that left say nothing",
	  { PACE_BREAKS, PACE_BREAKS, PACE_NOTHING, PACE_BREAKS, PACE_BREAKS },
	  true },
	{ "four failures in a row",
	  { PACE_FAILS, PACE_FAILS, PACE_FAILS, PACE_FAILS },
	  true },
	{ "failures and breaks",
	  { PACE_FAILS, PACE_BREAKS, PACE_FAILS, PACE_BREAKS },
	  true },
	{ "half of its answers fail",
	  { PACE_FAILS, PACE_ANSWERS, PACE_FAILS, PACE_FAILS, PACE_ANSWERS,
	    PACE_FAILS },
	  false },
	{ "nobody there", { PACE_UNREACHED }, true },
	{ "full, for a moment", { PACE_FULL }, true },
};

START_TEST(an_engine_that_breaks_connections_is_left_alone)
{
	pace_t *pace = &endpoints[0]->pace;

	for (int i = 0; i < 6; i++)
		pace_found(pace, service, findings[_i].findings[i],
			   PIMENTO_SEC);
	ck_assert_msg((pace->ejected_until > PIMENTO_SEC) ==
			      findings[_i].ejected,
		      "%s", findings[_i].what);
}
END_TEST

START_TEST(an_answer_too_long_for_all_is_tried_anyway)
{
	placement_request_t request = stream(1000, 60 * 300);
	directory_endpoint_t *endpoint;

	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
}
END_TEST

/*
 * Some callers expect answers that no engine can make in their time. Most of
 * these guesses are too long, and the answers are whole at a fast engine. A
 * slow one, which looks best as it is empty, works on them until their
 * callers leave, and each caller sees an answer that breaks off after ten
 * seconds.
 */
START_TEST(a_guess_beyond_all_reach_waits_for_a_fast_endpoint)
{
	/* 600 events: 12 s at a fast endpoint, 36 s at the slow one */
	placement_request_t request = stream(1000, 60 * 60);
	directory_endpoint_t *endpoint;

	for (int late = 0; late < 2; late++) {
		request.late = late;
		ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_ne(endpoint, endpoints[ENDPOINTS - 1]);
	}
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

/*
 * Callers who expect ten times the usual get half of that, and of those who
 * expect little some get much. Taken at their word, long answers would find no
 * engine fast enough.
 */
START_TEST(long_guesses_are_taken_for_what_they_were_before)
{
	pace_service_t fresh = { 0 };

	for (uint32_t i = 0; i < 100; i++) {
		pace_length(&fresh, 100, 10);
		pace_length(&fresh, 1000, 50);
	}
	ck_assert_double_eq_tol(pace_events_expect(&fresh, 100), 10, 0.1);
	ck_assert_double_eq_tol(pace_events_expect(&fresh, 1000), 50, 0.5);
	ck_assert_double_eq_tol(pace_events_expect(&fresh, 10000), 250, 3);
	ck_assert_double_eq(pace_events_expect(&fresh, 0), 0);
}
END_TEST

/*
 * An endpoint has crashed, and its port resets every connection at once. When
 * all others are full it looks like the only one with free places: each
 * waiting request would try it, many times a second, and none would wait for a
 * place that does become free.
 */
START_TEST(a_dead_endpoint_is_no_overflow_for_full_ones)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	pace_unreachable(&endpoints[0]->pace, PIMENTO_SEC);
	for (int i = 1; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

START_TEST(when_all_are_dead_one_request_at_a_time_finds_out)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS; i++)
		pace_unreachable(&endpoints[i]->pace, PIMENTO_SEC);
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

/*
 * Peers have filled an endpoint. A host that counts only its own requests
 * would send more, which the engine admits in order of arrival, behind
 * everything else: the caller waits and nothing more urgent can overtake.
 */
START_TEST(what_peers_have_in_flight_counts)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->elsewhere = SLOTS + 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

START_TEST(prompts_that_wait_to_be_read_make_an_endpoint_slower)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	endpoints[0]->reading = 50000;
	endpoints[1]->reading_elsewhere = 50000;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[2]);
}
END_TEST

/*
 * After a burst only late requests wait. If they were let have a part of the
 * places only, the others would stand empty while callers are turned away;
 * what can be on time overtakes them in line.
 */
START_TEST(late_requests_may_take_every_place)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS;
	for (int late = 0; late < 2; late++) {
		request.late = late;
		ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	}
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	for (int late = 0; late < 2; late++) {
		request.late = late;
		ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FULL);
	}
}
END_TEST

START_TEST(endpoints_that_leave_or_were_tried_get_nothing)
{
	placement_request_t request = stream(1000, 60);
	pimento_id_t tried[] = { endpoints[0]->key, endpoints[1]->key };
	directory_endpoint_t *endpoint;

	endpoints[2]->leaving = true;
	directory_gone(&directory, "e3", PIMENTO_SEC / 2);
	request.tried = tried;
	request.tried_count = 1;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[1]);
	request.tried_count = 2;
	ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_NONE);
}
END_TEST

START_TEST(a_failing_endpoint_is_left_alone_for_a_while)
{
	placement_request_t request = stream(1000, 60);
	directory_endpoint_t *endpoint;

	for (int i = 0; i < 12; i++)
		pace_failed(&endpoints[0]->pace, service, PIMENTO_SEC);
	ck_assert_int_gt(endpoints[0]->pace.ejected_until, PIMENTO_SEC);
	for (int i = 0; i < 20; i++) {
		request.draw = (uint64_t)i * 977;
		ck_assert_int_eq(place(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_ne(endpoint, endpoints[0]);
	}
}
END_TEST

START_TEST(a_new_process_under_an_old_id_starts_afresh)
{
	directory_record_t record = { .id = "e0",
				      .service = SERVICE,
				      .address = "127.0.0.1",
				      .port = 8000,
				      .datacentre = "a",
				      .slots = SLOTS,
				      .born = 5 };

	pace_unreachable(&endpoints[0]->pace, PIMENTO_SEC);
	ck_assert_ptr_eq(directory_put(&directory, &record), endpoints[0]);
	ck_assert_uint_eq(endpoints[0]->life, 1);
	ck_assert_int_eq(endpoints[0]->pace.ejected_until, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, idle_endpoints_are_chosen_by_their_speed);
	tcase_add_test(tests, a_host_stays_with_its_idle_connections);
	tcase_add_test(tests,
		       an_idle_connection_to_a_slow_endpoint_stays_unused);
	tcase_add_test(tests,
		       a_long_answer_waits_for_an_endpoint_that_can_finish);
	tcase_add_test(tests, an_answer_too_long_for_all_is_tried_anyway);
	tcase_add_test(tests,
		       a_guess_beyond_all_reach_waits_for_a_fast_endpoint);
	tcase_add_test(tests, long_guesses_are_taken_for_what_they_were_before);
	tcase_add_loop_test(tests, long_answers_leave_slow_places_to_short_ones,
			    0, sizeof(slow_places) / sizeof(slow_places[0]));
	tcase_add_loop_test(tests,
			    a_request_waits_for_an_endpoint_that_begins_in_time,
			    0, sizeof(beginnings) / sizeof(beginnings[0]));
	tcase_add_test(tests, a_place_is_taken_only_where_the_owners_word_lets);
	tcase_add_test(tests,
		       late_answers_find_out_whether_pauses_are_still_long);
	tcase_add_test(tests,
		       an_endpoint_that_is_asked_already_is_not_asked_again);
	tcase_add_test(tests, a_request_waits_where_an_owner_answers);
	tcase_add_loop_test(tests,
			    an_engine_that_breaks_connections_is_left_alone, 0,
			    sizeof(findings) / sizeof(findings[0]));
	tcase_add_test(tests, a_dead_endpoint_is_no_overflow_for_full_ones);
	tcase_add_test(tests,
		       when_all_are_dead_one_request_at_a_time_finds_out);
	tcase_add_test(tests, what_peers_have_in_flight_counts);
	tcase_add_test(tests,
		       prompts_that_wait_to_be_read_make_an_endpoint_slower);
	tcase_add_test(tests, late_requests_may_take_every_place);
	tcase_add_test(tests, endpoints_that_leave_or_were_tried_get_nothing);
	tcase_add_test(tests, a_failing_endpoint_is_left_alone_for_a_while);
	tcase_add_test(tests, a_new_process_under_an_old_id_starts_afresh);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
