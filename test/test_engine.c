/*
 * The engine's stand-in as a process: what the other tests take for granted of
 * engines is checked here first.
 */

#include "ask.h"
#include "fleet.h"

#include "../standin/answer.h"
#include "../standin/prefix.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_MS 10000
#define STOP_MS 10000
#define PROMPT "which pouches have no sesame?"

static process_t engine;

static void start_engine(void)
{
	static const char *const args[] = {
		"--prefill",
		"100000",
		"--decode",
		"400",
		"--batch",
		"4",
		"--cache-tokens",
		"1024",
		"--event-lag-ms",
		"0",
		"--load-lag-ms",
		"200",
		NULL,
	};

	ask_start(&engine, "engine", args);
}

static long engine_runs(const char *counter)
{
	return ask_number(engine.port, "/runs", ASK_ID, counter);
}

static void check_text(const client_answer_t *answer, const char *prompt,
		       uint32_t from, uint32_t count)
{
	uint64_t seed = answer_seed(prompt, strlen(prompt));
	size_t skipped;
	size_t length;
	char *before = answer_whole(seed, from, &skipped);
	char *whole = answer_whole(seed, count, &length);

	ck_assert_uint_eq(answer->length, length - skipped);
	ck_assert_mem_eq(answer->text, whole + skipped, answer->length);
	free(before);
	free(whole);
}

static const struct {
	const char *path;
	const char *question; /* the JSON of prompt or messages */
	const char *prompt; /* as the engine sees it */
	uint32_t tokens;
	bool stream;
} answer_cases[] = {
	{ "/v1/completions", "\"prompt\":\"hi\"", "hi", 1, false },
	{ "/v1/completions", "\"prompt\":\"hi\"", "hi", 1, true },
	{ "/v1/completions", "\"prompt\":\"hi\"", "hi", 300, false },
	{ "/v1/completions", "\"prompt\":\"hi\"", "hi", 300, true },
	{ "/v1/chat/completions",
	  "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]", "user: hi\n",
	  20, false },
	{ "/v1/chat/completions",
	  "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]", "user: hi\n",
	  20, true },
};

START_TEST(engine_answers_what_the_prompt_says)
{
	client_answer_t answer;
	client_reply_t reply;
	char body[256];

	start_engine();
	snprintf(body, sizeof(body), "{%s,\"max_tokens\":%u,\"stream\":%s}",
		 answer_cases[_i].question, answer_cases[_i].tokens,
		 answer_cases[_i].stream ? "true" : "false");
	reply = ask(engine.port, "POST", answer_cases[_i].path, body);
	ck_assert(reply.whole);
	ck_assert_int_eq(reply.status, 200);
	if (answer_cases[_i].stream)
		ck_assert_int_eq(client_stream_answer(&answer, &reply), 0);
	else
		ck_assert_int_eq(client_whole_answer(&answer, &reply), 0);
	ck_assert(answer.done);
	ck_assert(answer.in_order);
	check_text(&answer, answer_cases[_i].prompt, 0,
		   answer_cases[_i].tokens);
	client_answer_finish(&answer);
	client_reply_finish(&reply);
	ck_assert_int_eq(engine_runs("started"), 1);
	ck_assert_int_eq(engine_runs("finished"), 1);
	ck_assert_int_eq(engine_runs("answer_tokens"), answer_cases[_i].tokens);
	ask_stop(&engine);
}
END_TEST

static const struct {
	const char *body;
} malformed_cases[] = {
	{ "" },
	{ "{" },
	{ "[1]" },
	{ "{\"max_tokens\":4}" },
	{ "{\"prompt\":7}" },
	{ "{\"prompt\":\"a\",\"max_tokens\":0}" },
	{ "{\"prompt\":\"a\",\"max_tokens\":-1}" },
	{ "{\"prompt\":\"a\",\"max_tokens\":99999999}" },
	{ "{\"messages\":[{\"role\":\"user\"}]}" },
};

START_TEST(engine_refuses_malformed_requests)
{
	start_engine();
	ck_assert_int_eq(ask_status(engine.port, "POST", "/v1/completions",
				    malformed_cases[_i].body),
			 400);
	ck_assert_int_eq(engine_runs("started"), 0);
	ask_stop(&engine);
}
END_TEST

static const struct {
	const char *when;
	bool stream;
	bool starts;
	uint32_t tokens_read; /* before the connection breaks off */
} close_cases[] = {
	{ "before", true, false, 0 }, { "before", false, false, 0 },
	{ "during", true, true, 20 }, { "during", false, true, 0 },
	{ "after", true, true, 40 },  { "after", false, true, 0 },
};

/*
 * An engine's connection can break off at any moment. What a caller has then
 * is a part of its answer; the engine still makes the rest, and a resume must
 * bring exactly what is missing without a second run.
 */
START_TEST(engine_closes_and_resumes)
{
	char control[64];
	char body[128];
	char resume[96];
	client_answer_t answer;
	client_reply_t reply;
	uint32_t read = close_cases[_i].tokens_read;

	start_engine();
	snprintf(control, sizeof(control), "{\"when\":\"%s\",\"count\":1}",
		 close_cases[_i].when);
	ck_assert_int_eq(fleet_control(engine.port, "/control/close", control),
			 0);
	snprintf(body, sizeof(body),
		 "{\"prompt\":\"" PROMPT "\",\"max_tokens\":40,\"stream\":%s}",
		 close_cases[_i].stream ? "true" : "false");
	reply = ask(engine.port, "POST", "/v1/completions", body);
	ck_assert(!reply.whole);
	if (close_cases[_i].stream) {
		ck_assert_int_eq(client_stream_answer(&answer, &reply), 0);
		ck_assert_uint_eq(answer.events, read);
		check_text(&answer, PROMPT, 0, read);
		client_answer_finish(&answer);
	}
	client_reply_finish(&reply);
	ck_assert_int_eq(engine_runs("started"), close_cases[_i].starts);
	snprintf(resume, sizeof(resume), "/v1/streams/" ASK_ID "?from=%u",
		 read);
	reply = ask(engine.port, "GET", resume, NULL);
	ck_assert_int_eq(reply.status, close_cases[_i].starts ? 200 : 404);
	if (close_cases[_i].starts) {
		ck_assert_int_eq(client_stream_answer(&answer, &reply), 0);
		ck_assert(reply.whole && answer.done && answer.in_order);
		check_text(&answer, PROMPT, read, 40);
		client_answer_finish(&answer);
		ck_assert_int_eq(engine_runs("started"), 1);
		ck_assert_int_eq(engine_runs("finished"), 1);
	}
	client_reply_finish(&reply);
	ask_stop(&engine);
}
END_TEST

START_TEST(engine_gives_the_whole_answer_again)
{
	client_answer_t answer;
	client_reply_t reply;

	start_engine();
	ask_status(engine.port, "POST", "/v1/completions",
		   "{\"prompt\":\"" PROMPT "\",\"max_tokens\":9}");
	reply = ask(engine.port, "GET", "/v1/streams/" ASK_ID "?whole=1", NULL);
	ck_assert_int_eq(client_whole_answer(&answer, &reply), 0);
	check_text(&answer, PROMPT, 0, 9);
	client_answer_finish(&answer);
	client_reply_finish(&reply);
	ck_assert_int_eq(engine_runs("started"), 1);
	ask_stop(&engine);
}
END_TEST

typedef struct asker {
	pthread_t thread;
	uint16_t port;
	char id[40];
	const char *body;
	client_reply_t reply;
	int64_t ended_ms;
} asker_t;

static void *run_asker(void *data)
{
	asker_t *asker = data;
	client_call_t call = { .port = asker->port,
			       .path = "/v1/completions",
			       .headers = { { "X-Request-Id", asker->id } },
			       .body = asker->body };

	client_call(&asker->reply, &call);
	asker->ended_ms = process_now_ms();
	return NULL;
}

static void ask_beside(asker_t *asker, const char *id, const char *body)
{
	asker->port = engine.port;
	asker->body = body;
	snprintf(asker->id, sizeof(asker->id), "%s", id);
	ck_assert_int_eq(pthread_create(&asker->thread, NULL, run_asker, asker),
			 0);
}

static void join_asker(asker_t *asker)
{
	pthread_join(asker->thread, NULL);
	client_reply_finish(&asker->reply);
}

static void wait_until_started(const char *id)
{
	int64_t until = process_now_ms() + START_MS;

	while (!ask_number(engine.port, "/runs", id, "started"))
		ck_assert_int_lt(process_now_ms(), until);
}

START_TEST(engine_cancels_a_stream)
{
	asker_t asker;

	start_engine();
	ask_beside(&asker, ASK_ID,
		   "{\"prompt\":\"a\",\"max_tokens\":100000,\"stream\":true}");
	wait_until_started(ASK_ID);
	ck_assert_int_eq(
		ask_status(engine.port, "DELETE", "/v1/streams/" ASK_ID, NULL),
		200);
	join_asker(&asker);
	ck_assert(!asker.reply.whole);
	ck_assert_int_eq(engine_runs("cancelled"), 1);
	ck_assert_int_eq(engine_runs("finished"), 0);
	ck_assert_int_eq(
		ask_status(engine.port, "DELETE", "/v1/streams/none", NULL),
		404);
	ask_stop(&engine);
}
END_TEST

START_TEST(engine_admits_in_order_and_reports_late)
{
	asker_t askers[6];
	long running = 0;
	long waiting = 0;

	start_engine();
	for (int i = 0; i < 6; i++) {
		char id[16];

		snprintf(id, sizeof(id), "job%d", i);
		ask_beside(&askers[i], id,
			   "{\"prompt\":\"a\",\"max_tokens\":400}");
		wait_until_started(id);
	}
	/* The report is late: it shows the four before it shows the fifth. */
	for (int i = 0; i < 100 && (running < 4 || waiting < 1); i++) {
		process_sleep_ms(10);
		running = ask_number(engine.port, "/load", "running", NULL);
		waiting = ask_number(engine.port, "/load", "waiting", NULL);
	}
	ck_assert_int_eq(running, 4);
	ck_assert_int_ge(waiting, 1);
	ck_assert_int_ge(ask_number(engine.port, "/load", "age_ms", NULL), 200);
	for (int i = 0; i < 6; i++)
		join_asker(&askers[i]);
	for (int i = 4; i < 6; i++)
		ck_assert_int_gt(askers[i].ended_ms, askers[0].ended_ms);
	ask_stop(&engine);
}
END_TEST

/* 300 words make 5 blocks of prompt, well within the cache. */
START_TEST(engine_caches_prefixes)
{
	char body[2048];
	size_t length = (size_t)snprintf(body, sizeof(body), "{\"prompt\":\"");

	start_engine();
	for (int i = 0; i < 300; i++)
		length += (size_t)snprintf(body + length, sizeof(body) - length,
					   "w%d ", i);
	snprintf(body + length, sizeof(body) - length, "\",\"max_tokens\":1}");
	ask_status(engine.port, "POST", "/v1/completions", body);
	ck_assert_int_eq(engine_runs("cached_tokens"), 0);
	ask_status(engine.port, "POST", "/v1/completions", body);
	ck_assert_int_eq(engine_runs("started"), 2);
	ck_assert_int_eq(engine_runs("cached_tokens"), 5 * PREFIX_BLOCK_TOKENS);
	ck_assert_int_eq(engine_runs("prefilled_tokens"),
			 engine_runs("prompt_tokens") -
				 engine_runs("cached_tokens"));
	ask_stop(&engine);
}
END_TEST

START_TEST(prefix_cache_forgets_the_oldest)
{
	prefix_t prefix;
	char a[2 * PREFIX_BLOCK_BYTES];
	char b[2 * PREFIX_BLOCK_BYTES];

	memset(a, 'a', sizeof(a));
	memset(b, 'b', sizeof(b));
	ck_assert_int_eq(prefix_init(&prefix, 3 * PREFIX_BLOCK_TOKENS), 0);
	prefix_store(&prefix, a, sizeof(a), 0);
	ck_assert_uint_eq(prefix_match(&prefix, a, sizeof(a)),
			  2 * PREFIX_BLOCK_TOKENS);
	prefix_store(&prefix, b, sizeof(b), 0);
	ck_assert_uint_eq(prefix_match(&prefix, b, sizeof(b)),
			  2 * PREFIX_BLOCK_TOKENS);
	ck_assert_uint_eq(prefix_match(&prefix, a, sizeof(a)), 0);
	prefix_finish(&prefix);
}
END_TEST

START_TEST(prefix_events_come_late_and_with_gaps)
{
	prefix_t prefix;
	char prompt[10 * PREFIX_BLOCK_BYTES];
	json_t *events;

	for (size_t i = 0; i < sizeof(prompt); i++)
		prompt[i] = (char)('a' + i / PREFIX_BLOCK_BYTES);
	ck_assert_int_eq(prefix_init(&prefix, 20 * PREFIX_BLOCK_TOKENS), 0);
	prefix_store(&prefix, prompt, sizeof(prompt), 1000);
	events = prefix_events(&prefix, 0, 1400, 500);
	ck_assert_uint_eq(json_array_size(events), 0);
	json_decref(events);
	events = prefix_events(&prefix, 0, 1500, 500);
	ck_assert_uint_eq(json_array_size(events), 9);
	json_decref(events);
	events = prefix_events(&prefix, 8, 1500, 500);
	ck_assert_uint_eq(json_array_size(events), 2);
	json_decref(events);
	prefix_finish(&prefix);
}
END_TEST

static const struct {
	bool fencing;
	long late_status;
} fencing_cases[] = { { true, 409 }, { false, 200 } };

/*
 * Who gave an order can be paused and give an older one afterwards. An engine
 * that checks fencing numbers refuses it; one that doesn't carries it out.
 */
START_TEST(engine_checks_fencing_numbers_if_told_to)
{
	const char *const args[] = { fencing_cases[_i].fencing ? "--fencing"
							       : NULL,
				     NULL };

	ask_start(&engine, "engine", args);
	ck_assert_int_eq(ask_status(engine.port, "POST", "/v1/orders",
				    "{\"order\":\"load-model\",\"fencing\":5,"
				    "\"model\":\"new\"}"),
			 200);
	ck_assert_int_eq(ask_status(engine.port, "POST", "/v1/orders",
				    "{\"order\":\"load-model\",\"fencing\":4,"
				    "\"model\":\"old\"}"),
			 fencing_cases[_i].late_status);
	ck_assert_int_eq(ask_number(engine.port, "/v1/orders", "fencing", NULL),
			 5);
	ck_assert_int_eq(ask_number(engine.port, "/v1/orders", "orders", NULL),
			 fencing_cases[_i].fencing ? 1 : 2);
	ck_assert_int_eq(ask_status(engine.port, "POST", "/v1/orders", "{}"),
			 400);
	ask_stop(&engine);
}
END_TEST

static const struct {
	const char *path;
	const char *json;
	int64_t least_ms;
} slow_cases[] = {
	/* 20 tokens at 400 a second take 50 ms at full speed. */
	{ "/control/speed", "{\"factor\":0.1}", 450 },
	{ "/control/stall", "{\"ms\":400}", 400 },
};

START_TEST(engine_slows_down)
{
	client_reply_t reply;

	start_engine();
	ck_assert_int_eq(fleet_control(engine.port, slow_cases[_i].path,
				       slow_cases[_i].json),
			 0);
	reply = ask(engine.port, "POST", "/v1/completions",
		    "{\"prompt\":\"a\",\"max_tokens\":20}");
	ck_assert_int_eq(reply.status, 200);
	ck_assert_int_ge(reply.total_us / 1000, slow_cases[_i].least_ms);
	client_reply_finish(&reply);
	ask_stop(&engine);
}
END_TEST

START_TEST(engine_says_that_it_leaves_and_what_came_after)
{
	start_engine();
	ck_assert_int_eq(ask_number(engine.port, "/load", "leaving", NULL), 0);
	ck_assert_int_eq(fleet_control(engine.port, "/control/leave", "{}"), 0);
	ck_assert_int_eq(ask_number(engine.port, "/load", "leaving", NULL), 1);
	ck_assert_int_eq(ask_number(engine.port, "/load",
				    "started_after_leaving_ms", NULL),
			 0);
	process_sleep_ms(20);
	ask_status(engine.port, "POST", "/v1/completions",
		   "{\"prompt\":\"a\",\"max_tokens\":1}");
	ck_assert_int_ge(ask_number(engine.port, "/load",
				    "started_after_leaving_ms", NULL),
			 20);
	ask_stop(&engine);
}
END_TEST

/*
 * Stopping an engine under load must not hang on the streams that it still
 * serves, or every test that ends early would wait for its timeout.
 */
START_TEST(engine_stops_while_it_streams)
{
	asker_t asker;

	start_engine();
	ask_beside(&asker, ASK_ID,
		   "{\"prompt\":\"a\",\"max_tokens\":100000,\"stream\":true}");
	wait_until_started(ASK_ID);
	ask_stop(&engine);
	join_asker(&asker);
	ck_assert(!asker.reply.whole);
}
END_TEST

#define CASES(table) (int)(sizeof(table) / sizeof((table)[0]))

int main(void)
{
	Suite *suite = suite_create("engine");
	TCase *tc = tcase_create("engine");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, engine_answers_what_the_prompt_says, 0,
			    CASES(answer_cases));
	tcase_add_loop_test(tc, engine_refuses_malformed_requests, 0,
			    CASES(malformed_cases));
	tcase_add_loop_test(tc, engine_closes_and_resumes, 0,
			    CASES(close_cases));
	tcase_add_test(tc, engine_gives_the_whole_answer_again);
	tcase_add_test(tc, engine_cancels_a_stream);
	tcase_add_test(tc, engine_admits_in_order_and_reports_late);
	tcase_add_test(tc, engine_caches_prefixes);
	tcase_add_test(tc, prefix_cache_forgets_the_oldest);
	tcase_add_test(tc, prefix_events_come_late_and_with_gaps);
	tcase_add_loop_test(tc, engine_checks_fencing_numbers_if_told_to, 0,
			    CASES(fencing_cases));
	tcase_add_loop_test(tc, engine_slows_down, 0, CASES(slow_cases));
	tcase_add_test(tc, engine_says_that_it_leaves_and_what_came_after);
	tcase_add_test(tc, engine_stops_while_it_streams);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
