/*
 * A whole deployment on loopback: requests go in at each of three daemons and
 * whole answers come out, and the harness itself starts, cuts and stops it.
 */

#include "fleet.h"

#include "../standin/answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define PATIENCE_MS 15000
#define RETRY_MS 200
#define PROMPT "plan a week without sesame"

static fleet_t fleet;

static const fleet_options_t plain = { .hosts = HOSTS,
				       .engines = 2,
				       .services = 1 };

static void check_answer(const client_answer_t *answer, uint32_t tokens)
{
	size_t length;
	char *whole = answer_whole(answer_seed(PROMPT, strlen(PROMPT)), tokens,
				   &length);

	ck_assert(answer->done);
	ck_assert(answer->in_order);
	ck_assert_uint_eq(answer->length, length);
	ck_assert_mem_eq(answer->text, whole, length);
	free(whole);
}

/*
 * Does what a caller may: tries again after a refusal that says "not run", and
 * after any refusal of a request with a key. Anything else is the result.
 */
static client_reply_t call_until_answered(const client_call_t *call)
{
	int64_t until = process_now_ms() + PATIENCE_MS;
	bool keyed = call->headers[2].name != NULL;
	client_reply_t reply;

	for (;;) {
		bool again;

		client_call(&reply, call);
		again = reply.status == 503 &&
			(keyed || !strcmp(reply.verdict, "not-run"));
		if (!again || process_now_ms() > until)
			return reply;
		client_reply_finish(&reply);
		process_sleep_ms(RETRY_MS);
	}
}

static void complete(uint16_t port, bool stream, uint32_t tokens)
{
	client_answer_t answer;
	client_reply_t reply;
	client_call_t call;
	char body[256];

	snprintf(body, sizeof(body),
		 "{\"model\":\"planner\",\"prompt\":\"" PROMPT "\","
		 "\"max_tokens\":%u,\"stream\":%s}",
		 tokens, stream ? "true" : "false");
	call = fleet_completion(port, body);
	reply = call_until_answered(&call);
	ck_assert_msg(reply.whole && reply.status == 200, "%ld %s",
		      reply.status, reply.body);
	ck_assert_uint_eq(strlen(reply.request_id), 32);
	if (stream)
		ck_assert_int_eq(client_stream_answer(&answer, &reply), 0);
	else
		ck_assert_int_eq(client_whole_answer(&answer, &reply), 0);
	check_answer(&answer, tokens);
	client_answer_finish(&answer);
	client_reply_finish(&reply);
}

START_TEST(answers_come_whole_from_every_host)
{
	fleet_runs_t runs;

	ck_assert_int_eq(fleet_start(&fleet, &plain), 0);
	for (int i = 0; i < HOSTS; i++) {
		complete(fleet.http_port[i], true, 50);
		complete(fleet.http_port[i], false, 50);
	}
	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_eq(runs.requests, 2 * HOSTS);
	ck_assert_uint_eq(runs.finished, 2 * HOSTS);
	ck_assert_uint_eq(runs.most, 1);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

static client_reply_t charge(uint16_t port, const char *key)
{
	client_call_t call = {
		.method = "POST",
		.port = port,
		.path = "/orders/charge",
		.headers = { { "Authorization", "Bearer " FLEET_KEY },
			     { "Content-Type", "application/json" },
			     { key ? "Idempotency-Key" : NULL, key } },
		.body = "{\"box\":7}",
	};

	return call_until_answered(&call);
}

/* Daemons issue keys once they have heard of enough others. */
static void issue_key(char key[FLEET_KEY_MAX])
{
	int64_t until = process_now_ms() + PATIENCE_MS;

	while (fleet_issue_key(fleet.http_port[0], key) < 0) {
		ck_assert_int_lt(process_now_ms(), until);
		process_sleep_ms(RETRY_MS);
	}
}

/* A witness speaks for no key that may be older than its own start. */
#define WITNESSES_READY_MS 8000

static const struct {
	bool issued; /* by a daemon, else drawn by the caller */
} key_cases[] = { { true }, { false } };

/*
 * A parent's phone sends a charge again because the first answer got lost, and
 * the balancer hands it to another host. The family must not pay twice.
 */
START_TEST(a_key_charges_once_whichever_host_it_comes_to)
{
	char key[FLEET_KEY_MAX];
	fleet_runs_t runs;

	ck_assert_int_eq(fleet_start(&fleet, &plain), 0);
	if (!key_cases[_i].issued)
		process_sleep_ms(WITNESSES_READY_MS);
	fleet_draw_key(key);
	if (key_cases[_i].issued)
		issue_key(key);
	for (int i = 0; i < 2 * HOSTS; i++) {
		client_reply_t reply = charge(fleet.http_port[i % HOSTS], key);

		ck_assert_msg(reply.status == 200, "call %d: %ld %s", i,
			      reply.status, reply.body);
		client_reply_finish(&reply);
	}
	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_eq(runs.started, 1);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

/*
 * A key that doesn't say how old it is could have been used before the
 * daemons started. Until they have been up for the whole retention they must
 * refuse it, and nothing may run.
 */
START_TEST(a_key_of_unknown_age_is_refused_after_a_start)
{
	fleet_runs_t runs;
	client_reply_t reply;

	ck_assert_int_eq(fleet_start(&fleet, &plain), 0);
	reply = charge(fleet.http_port[0], "box-7-week-49");
	ck_assert_int_eq(reply.status, 503);
	client_reply_finish(&reply);
	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_eq(runs.started, 0);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

/*
 * Two halves of the fleet lose each other while both go on serving. Requests
 * that need no agreement are answered on both sides, and again after the
 * partition; nobody has to do anything.
 */
START_TEST(halves_serve_through_a_partition)
{
	fleet_options_t options = {
		.hosts = 4, .engines = 2, .services = 1, .split = 2
	};

	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
	fleet_cut(&fleet);
	complete(fleet.http_port[0], true, 20);
	complete(fleet.http_port[3], true, 20);
	fleet_mend(&fleet);
	complete(fleet.http_port[1], true, 20);
	complete(fleet.http_port[2], true, 20);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

/* A host dies and comes back under its name; the others never notice. */
START_TEST(a_killed_host_can_be_started_again)
{
	ck_assert_int_eq(fleet_start(&fleet, &plain), 0);
	process_kill(&fleet.host[1]);
	complete(fleet.http_port[0], true, 10);
	ck_assert_int_eq(fleet_start_host(&fleet, 1), 0);
	complete(fleet.http_port[1], true, 10);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("path");
	TCase *tc = tcase_create("path");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, answers_come_whole_from_every_host);
	tcase_add_loop_test(tc, a_key_charges_once_whichever_host_it_comes_to,
			    0, sizeof(key_cases) / sizeof(key_cases[0]));
	tcase_add_test(tc, a_key_of_unknown_age_is_refused_after_a_start);
	tcase_add_test(tc, halves_serve_through_a_partition);
	tcase_add_test(tc, a_killed_host_can_be_started_again);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
