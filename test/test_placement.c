/* Which endpoint a request goes to, and when there is none for it. */

#include "placement.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SERVICE "engines"
enum { ENDPOINTS = 4, SLOTS = 10, FAST_GAP_MS = 20, SLOW_FACTOR = 3 };

static registry_t registry;
static registry_endpoint_t *endpoints[ENDPOINTS];
static latency_service_t *service;

/* The last endpoint takes three times as long for everything. */
static void train_latency_models(void)
{
	for (int i = 0; i < 400; i++) {
		for (int e = 0; e < ENDPOINTS; e++) {
			int slow = e == ENDPOINTS - 1 ? SLOW_FACTOR : 1;

			latency_add_gap(&endpoints[e]->latency, service,
					slow * FAST_GAP_MS * PIMENTO_MSEC);
		}
	}
	for (int i = 0; i < 100; i++) {
		int e = i % ENDPOINTS;
		int slow = e == ENDPOINTS - 1 ? SLOW_FACTOR : 1;
		uint32_t prompt = 1000 + (uint32_t)i * 50;

		latency_add_first_event(
			&endpoints[e]->latency, service,
			slow * (60 + prompt / 100) * PIMENTO_MSEC, prompt);
		latency_add_length(service, 60, 10);
	}
}

static void setup(void)
{
	registry_init(&registry);
	for (int i = 0; i < ENDPOINTS; i++) {
		char id[16];
		registry_record_t record = { .id = id,
					     .service = SERVICE,
					     .address = "127.0.0.1",
					     .port = (uint16_t)(8000 + i),
					     .datacentre = "a",
					     .slots = SLOTS };

		snprintf(id, sizeof(id), "e%d", i);
		endpoints[i] = registry_put(&registry, &record);
		ck_assert_ptr_nonnull(endpoints[i]);
	}
	service =
		&registry_get_service(&registry, pimento_id(SERVICE))->latency;
	train_latency_models();
}

static void teardown(void)
{
	registry_finish(&registry);
}

static placement_request_t stream(uint32_t prompt, uint32_t answer)
{
	return (placement_request_t){ .service = pimento_id(SERVICE),
				      .prompt_tokens = prompt,
				      .answer_tokens = answer,
				      .time_left = 10 * PIMENTO_SEC,
				      .gap_objective = 300 * PIMENTO_MSEC,
				      .engine_stream = true,
				      .datacentre = "a",
				      .random_bits = 1 };
}

static placement_result_t choose(const placement_request_t *request,
				 registry_endpoint_t **endpoint)
{
	return placement_choose(&registry, request, PIMENTO_SEC, endpoint);
}

START_TEST(faster_idle_endpoints_are_preferred)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_ne(endpoint, endpoints[ENDPOINTS - 1]);
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[ENDPOINTS - 1]);
}
END_TEST

/* Guards against a new connection for each request of a host with few. */
START_TEST(endpoints_with_idle_connections_are_preferred)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	endpoints[1]->idle_connections = 1;
	for (uint64_t draw = 0; draw < 50; draw++) {
		request.random_bits = draw * 977;
		ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_eq(endpoint, endpoints[1]);
	}
	endpoints[1]->running = SLOTS + 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_ne(endpoint, endpoints[1]);
}
END_TEST

/* Guards against slow answers for the sake of a connection. */
START_TEST(idle_connection_does_not_outweigh_slow_endpoint)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	endpoints[ENDPOINTS - 1]->idle_connections = 1;
	for (uint64_t draw = 0; draw < 50; draw++) {
		request.random_bits = draw * 977;
		ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_ne(endpoint, endpoints[ENDPOINTS - 1]);
	}
}
END_TEST

/*
 * An answer of hundreds of events on the slowest hardware runs for longer than
 * its caller stays. It holds a place for all that time and is cut at the last
 * moment; the caller sees a long answer that never ends.
 */
START_TEST(long_answer_waits_for_endpoint_within_deadline)
{
	placement_request_t request = stream(1000, 60 * 30); /* 300 events */
	registry_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
	endpoints[1]->running = 0;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
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
	pimento_usec_t objective;
	bool overdue;
	bool fast_endpoints_leaving;
	placement_result_t result;
} slow_endpoint_cases[] = {
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

START_TEST(long_answers_do_not_occupy_slow_slots)
{
	placement_request_t request =
		stream(1000, slow_endpoint_cases[_i].answer);
	registry_endpoint_t *endpoint;

	request.objective = slow_endpoint_cases[_i].objective;
	request.overdue = slow_endpoint_cases[_i].overdue;
	for (int i = 0; i < ENDPOINTS - 1; i++) {
		endpoints[i]->running = SLOTS + 1;
		endpoints[i]->leaving =
			slow_endpoint_cases[_i].fast_endpoints_leaving;
	}
	ck_assert_msg(choose(&request, &endpoint) ==
			      slow_endpoint_cases[_i].result,
		      "%s", slow_endpoint_cases[_i].what);
	if (slow_endpoint_cases[_i].result == PLACEMENT_FOUND)
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
	pimento_usec_t first_event_within;
	bool overdue;
	bool fast_endpoints_leaving;
	placement_result_t result;
} first_event_cases[] = {
	{ "it waits for a fast one", 150 * PIMENTO_MSEC, false, false,
	  PLACEMENT_FULL },
	{ "the slow one is fast enough", 400 * PIMENTO_MSEC, false, false,
	  PLACEMENT_FOUND },
	{ "a late one goes", 150 * PIMENTO_MSEC, true, false, PLACEMENT_FOUND },
	{ "one without a goal goes", 0, false, false, PLACEMENT_FOUND },
	{ "no other is left", 150 * PIMENTO_MSEC, false, true,
	  PLACEMENT_FOUND },
};

START_TEST(request_waits_for_endpoint_meeting_objective)
{
	placement_request_t request = stream(1000, 24);
	registry_endpoint_t *endpoint;

	request.first_event_within = first_event_cases[_i].first_event_within;
	request.overdue = first_event_cases[_i].overdue;
	for (int i = 0; i < ENDPOINTS - 1; i++) {
		endpoints[i]->running = SLOTS + 1;
		endpoints[i]->leaving =
			first_event_cases[_i].fast_endpoints_leaving;
	}
	ck_assert_msg(choose(&request, &endpoint) ==
			      first_event_cases[_i].result,
		      "%s", first_event_cases[_i].what);
	if (first_event_cases[_i].result == PLACEMENT_FOUND)
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
START_TEST(grant_is_declined_if_owner_reports_slow_endpoint)
{
	const registry_report_t report = { .event_gap_us = 160 * PIMENTO_MSEC };
	placement_request_t request = stream(1000, 600); /* a hundred events */
	registry_endpoint_t *slow = endpoints[ENDPOINTS - 1];

	latency_init(&slow->latency);
	ck_assert(placement_accepts_grant(&registry, &request, slow,
					  PIMENTO_SEC));
	registry_apply_report(slow, &report, PIMENTO_SEC);
	ck_assert(!placement_accepts_grant(&registry, &request, slow,
					   PIMENTO_SEC));
	request.answer_tokens = 24;
	ck_assert(placement_accepts_grant(&registry, &request, slow,
					  PIMENTO_SEC));
	/* where all are slow it is as good as the others */
	request.answer_tokens = 600;
	for (int i = 0; i < ENDPOINTS; i++)
		registry_apply_report(endpoints[i], &report, PIMENTO_SEC);
	ck_assert(placement_accepts_grant(&registry, &request, slow,
					  PIMENTO_SEC));
}
END_TEST

/*
 * An engine had long pauses for a few seconds. If nothing went there any more,
 * nobody would see that it has recovered, and its places would stand empty
 * while callers are turned away.
 */
START_TEST(overdue_requests_probe_endpoints_with_long_gaps)
{
	placement_request_t request = stream(1000, 24);
	registry_endpoint_t *endpoint;

	endpoints[3]->latency.event_gap_us = 290 * PIMENTO_MSEC;
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
	request.overdue = true;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[3]);
}
END_TEST

/*
 * A request that waits stands in the lines of several engines; it must not
 * ask the same one twice.
 */
START_TEST(request_queues_once_per_endpoint)
{
	placement_request_t request = stream(1000, 60);
	pimento_id_t queued_at[ENDPOINTS];
	registry_endpoint_t *endpoint;

	request.may_queue = true;
	request.queued_at = queued_at;
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	for (uint32_t i = 0; i < ENDPOINTS; i++) {
		ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
		for (uint32_t j = 0; j < i; j++)
			ck_assert(queued_at[j] != endpoint->key);
		queued_at[request.queued_at_count++] = endpoint->key;
	}
	ck_assert_int_ne(choose(&request, &endpoint), PLACEMENT_FOUND);
}
END_TEST

/*
 * The owner of the best engine is frozen and does not answer. A request that
 * still chose that engine to wait at would wait nowhere, and its caller be
 * turned away although the other engines go on giving places.
 */
START_TEST(request_does_not_queue_at_unresponsive_owner)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	request.may_queue = true;
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->owner_unresponsive_until = 2 * PIMENTO_SEC;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[ENDPOINTS - 1]);
	endpoints[ENDPOINTS - 1]->owner_unresponsive_until = 2 * PIMENTO_SEC;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
	/* a place that is free is taken without the owner's leave */
	request.may_queue = false;
	endpoints[0]->running = 0;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
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
	latency_outcome_t outcomes[6];
	bool ejected;
} outcomes[] = {
	{ "four breaks in a row",
	  { LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_RESET,
	    LATENCY_OUTCOME_RESET },
	  true },
	{ "three are chance",
	  { LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_RESET,
	    LATENCY_OUTCOME_RESET },
	  false },
	{ "an answer between them",
	  { LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_RESET,
	    LATENCY_OUTCOME_ANSWERED, LATENCY_OUTCOME_RESET,
	    LATENCY_OUTCOME_RESET },
	  false },
	{ "callers that left say nothing",
	  { LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_NONE,
	    LATENCY_OUTCOME_RESET, LATENCY_OUTCOME_RESET },
	  true },
	{ "four failures in a row",
	  { LATENCY_OUTCOME_FAILED, LATENCY_OUTCOME_FAILED,
	    LATENCY_OUTCOME_FAILED, LATENCY_OUTCOME_FAILED },
	  true },
	{ "failures and breaks",
	  { LATENCY_OUTCOME_FAILED, LATENCY_OUTCOME_RESET,
	    LATENCY_OUTCOME_FAILED, LATENCY_OUTCOME_RESET },
	  true },
	{ "half of its answers fail",
	  { LATENCY_OUTCOME_FAILED, LATENCY_OUTCOME_ANSWERED,
	    LATENCY_OUTCOME_FAILED, LATENCY_OUTCOME_FAILED,
	    LATENCY_OUTCOME_ANSWERED, LATENCY_OUTCOME_FAILED },
	  false },
	{ "nobody there", { LATENCY_OUTCOME_UNREACHABLE }, true },
	{ "full, for a moment", { LATENCY_OUTCOME_FULL }, true },
};

START_TEST(consecutive_errors_eject_endpoint)
{
	latency_model_t *latency = &endpoints[0]->latency;

	for (int i = 0; i < 6; i++)
		latency_update_ejection(latency, service,
					outcomes[_i].outcomes[i], PIMENTO_SEC);
	ck_assert_msg((latency->ejected_until > PIMENTO_SEC) ==
			      outcomes[_i].ejected,
		      "%s", outcomes[_i].what);
}
END_TEST

START_TEST(answer_too_long_for_every_endpoint_is_still_placed)
{
	placement_request_t request = stream(1000, 60 * 300);
	registry_endpoint_t *endpoint;

	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
}
END_TEST

/*
 * Some callers expect answers that no engine can make in their time. Most of
 * these guesses are too long, and the answers are whole at a fast engine. A
 * slow one, which looks best as it is empty, works on them until their
 * callers leave, and each caller sees an answer that breaks off after ten
 * seconds.
 */
START_TEST(overlong_length_hint_waits_for_fast_endpoint)
{
	/* 600 events: 12 s at a fast endpoint, 36 s at the slow one */
	placement_request_t request = stream(1000, 60 * 60);
	registry_endpoint_t *endpoint;

	for (int overdue = 0; overdue < 2; overdue++) {
		request.overdue = overdue;
		ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_ne(endpoint, endpoints[ENDPOINTS - 1]);
	}
	for (int i = 0; i < ENDPOINTS - 1; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

/*
 * Callers who expect ten times the usual get half of that, and of those who
 * expect little some get much. Taken at their word, long answers would find no
 * engine fast enough.
 */
START_TEST(length_hints_are_corrected_by_observed_lengths)
{
	latency_service_t fresh = { 0 };

	for (uint32_t i = 0; i < 100; i++) {
		latency_add_length(&fresh, 100, 10);
		latency_add_length(&fresh, 1000, 50);
	}
	ck_assert_double_eq_tol(latency_expected_events(&fresh, 100), 10, 0.1);
	ck_assert_double_eq_tol(latency_expected_events(&fresh, 1000), 50, 0.5);
	ck_assert_double_eq_tol(latency_expected_events(&fresh, 10000), 250, 3);
	ck_assert_double_eq(latency_expected_events(&fresh, 0), 0);
}
END_TEST

/*
 * An endpoint has crashed, and its port resets every connection at once. When
 * all others are full it looks like the only one with free places: each
 * waiting request would try it, many times a second, and none would wait for a
 * place that does become free.
 */
START_TEST(ejected_endpoint_gets_no_overflow_from_full_ones)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	latency_eject_unreachable(&endpoints[0]->latency, PIMENTO_SEC);
	for (int i = 1; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

START_TEST(all_ejected_endpoints_get_one_trial_request_each)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS; i++)
		latency_eject_unreachable(&endpoints[i]->latency, PIMENTO_SEC);
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

/*
 * Peers have filled an endpoint. A host that counts only its own requests
 * would send more, which the engine admits in order of arrival, behind
 * everything else: the caller waits and nothing more urgent can overtake.
 */
START_TEST(requests_in_flight_from_peers_count_as_load)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->remote_running = SLOTS + 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
}
END_TEST

START_TEST(pending_prompt_tokens_raise_endpoint_cost)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	endpoints[0]->pending_prompt_tokens = 50000;
	endpoints[1]->remote_prompt_tokens = 50000;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[2]);
}
END_TEST

/*
 * After a burst only late requests wait. If they were let have a part of the
 * places only, the others would stand empty while callers are turned away;
 * what can be on time overtakes them in line.
 */
START_TEST(overdue_requests_may_use_every_slot)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS;
	for (int overdue = 0; overdue < 2; overdue++) {
		request.overdue = overdue;
		ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	}
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS + 1;
	for (int overdue = 0; overdue < 2; overdue++) {
		request.overdue = overdue;
		ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FULL);
	}
}
END_TEST

START_TEST(leaving_and_tried_endpoints_are_excluded)
{
	placement_request_t request = stream(1000, 60);
	pimento_id_t tried[] = { endpoints[0]->key, endpoints[1]->key };
	registry_endpoint_t *endpoint;

	endpoints[2]->leaving = true;
	registry_schedule_removal(&registry, "e3", PIMENTO_SEC / 2);
	request.tried = tried;
	request.tried_count = 1;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[1]);
	request.tried_count = 2;
	ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_NONE);
}
END_TEST

START_TEST(failing_endpoint_is_ejected)
{
	placement_request_t request = stream(1000, 60);
	registry_endpoint_t *endpoint;

	for (int i = 0; i < 12; i++)
		latency_add_failure(&endpoints[0]->latency, service,
				    PIMENTO_SEC);
	ck_assert_int_gt(endpoints[0]->latency.ejected_until, PIMENTO_SEC);
	for (int i = 0; i < 20; i++) {
		request.random_bits = (uint64_t)i * 977;
		ck_assert_int_eq(choose(&request, &endpoint), PLACEMENT_FOUND);
		ck_assert_ptr_ne(endpoint, endpoints[0]);
	}
}
END_TEST

START_TEST(new_endpoint_process_clears_ejection)
{
	registry_record_t record = { .id = "e0",
				     .service = SERVICE,
				     .address = "127.0.0.1",
				     .port = 8000,
				     .datacentre = "a",
				     .slots = SLOTS,
				     .started_at_ms = 5 };

	latency_eject_unreachable(&endpoints[0]->latency, PIMENTO_SEC);
	ck_assert_ptr_eq(registry_put(&registry, &record), endpoints[0]);
	ck_assert_uint_eq(endpoints[0]->incarnation, 1);
	ck_assert_int_eq(endpoints[0]->latency.ejected_until, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, faster_idle_endpoints_are_preferred);
	tcase_add_test(tests, endpoints_with_idle_connections_are_preferred);
	tcase_add_test(tests, idle_connection_does_not_outweigh_slow_endpoint);
	tcase_add_test(tests, long_answer_waits_for_endpoint_within_deadline);
	tcase_add_test(tests,
		       answer_too_long_for_every_endpoint_is_still_placed);
	tcase_add_test(tests, overlong_length_hint_waits_for_fast_endpoint);
	tcase_add_test(tests, length_hints_are_corrected_by_observed_lengths);
	tcase_add_loop_test(tests, long_answers_do_not_occupy_slow_slots, 0,
			    sizeof(slow_endpoint_cases) /
				    sizeof(slow_endpoint_cases[0]));
	tcase_add_loop_test(
		tests, request_waits_for_endpoint_meeting_objective, 0,
		sizeof(first_event_cases) / sizeof(first_event_cases[0]));
	tcase_add_test(tests, grant_is_declined_if_owner_reports_slow_endpoint);
	tcase_add_test(tests, overdue_requests_probe_endpoints_with_long_gaps);
	tcase_add_test(tests, request_queues_once_per_endpoint);
	tcase_add_test(tests, request_does_not_queue_at_unresponsive_owner);
	tcase_add_loop_test(tests, consecutive_errors_eject_endpoint, 0,
			    sizeof(outcomes) / sizeof(outcomes[0]));
	tcase_add_test(tests, ejected_endpoint_gets_no_overflow_from_full_ones);
	tcase_add_test(tests, all_ejected_endpoints_get_one_trial_request_each);
	tcase_add_test(tests, requests_in_flight_from_peers_count_as_load);
	tcase_add_test(tests, pending_prompt_tokens_raise_endpoint_cost);
	tcase_add_test(tests, overdue_requests_may_use_every_slot);
	tcase_add_test(tests, leaving_and_tried_endpoints_are_excluded);
	tcase_add_test(tests, failing_endpoint_is_ejected);
	tcase_add_test(tests, new_endpoint_process_clears_ejection);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
