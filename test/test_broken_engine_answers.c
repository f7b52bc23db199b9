/*
 * Answers that are broken, as pimentod reads them of engines and of the
 * platform, and as pimentoctl reads them of hosts.
 */

#include "../standin/scripted.h"
#include "fleet.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	HOSTS = 3, /* that bear witness to a key */
	TEXT_BYTES = 2048,
	UPLOAD_BYTES = 900000,
	PAUSE_MS = 60,
	LARGE = 300000,
	READ_MS = 5000,
	START_MS = 20000,
	RETRY_MS = 100
};

#define ENDPOINT                                                     \
	"[[endpoint]]\nname = \"engine-%d\"\ndatacentre = \"dc0\"\n" \
	"target = \"model:planner\"\naddress = \"127.0.0.1\"\n"      \
	"port = %u\nfencing = false\nconcurrency = 8\n"              \
	"context_tokens = 300000\n"

#define BODY "{\"choices\":[{\"text\":\"answered\"}]}"
#define EVENTS_HEAD "Content-Type: text/event-stream\r\n\r\n"
#define EVENT(n) "id: " n "\ndata: {\"choices\":[{\"text\":\"t" n "\"}]}\n\n"
#define DONE "data: [DONE]\n\n"

#define NOT_FOUND "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
#define TORN_STREAM                                                    \
	{                                                              \
		.bytes = "HTTP/1.1 200 OK\r\n" EVENTS_HEAD EVENT("1"), \
		.end = SCRIPTED_RESET, .pause_ms = PAUSE_MS            \
	}
#define REST_OF_STREAM                                                      \
	{                                                                   \
		.bytes = "HTTP/1.1 200 OK\r\n" EVENTS_HEAD EVENT("2") DONE, \
		.end = SCRIPTED_CLOSE                                       \
	}

static fleet_t fleet;
static scripted_t server;

/* What makes a head unusual. */
typedef struct answer_head {
	const char *line;
	const char *fields;
} answer_head_t;

static const answer_head_t broken_heads[] = {
	{ "HTTP/1.1 000 None", "" },
	{ "HTTP/1.1 20 OK", "" },
	{ "HTTP/1.1 099 Low", "" },
	{ "HTTP/1.1 0200 OK", "" },
	{ "HTTP/1.1 600 High", "" },
	{ "HTTP/1.1 999 High", "" },
	{ "HTTP/1.1 200 OK", "X Bad: 1\r\n" },
	{ "HTTP/1.1 200 OK", "X-Bad : 1\r\n" },
	{ "HTTP/1.1 200 OK", "X\x01"
			     "Bad: 1\r\n" },
	{ "HTTP/1.1 200 OK", "Content-Length : 3\r\n" },
	{ "HTTP/1.1 200 OK", ": 1\r\n" },
	{ "HTTP/1.1 200 OK", "No-Colon\r\n" },
	{ "HTTP/1.1 200 OK", "Content-Length: 8\r\nContent-Length: 9\r\n" },
	{ "HTTP/1.1 200 OK", "Content-Length: 3, 3\r\n" },
	{ "HTTP/1.1 200 OK", "Content-Length: 3x\r\n" },
	{ "HTTP/1.1 500 Failed", "X Bad: 1\r\n" },
	{ "HTTP/1.1 503 Busy", "X Bad: 1\r\n" },
};

#define BROKEN_HEADS (sizeof(broken_heads) / sizeof(broken_heads[0]))

static const answer_head_t sound_heads[] = {
	{ "HTTP/1.1 200 OK", "" },
	{ "HTTP/1.1 200", "" },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "" },
	{ "HTTP/1.1 200 OK", "X-Empty:\r\nX-Folded: 1\r\n 2\r\n" },
	{ "HTTP/1.0 200 OK", "Connection: close\r\n" },
	{ "HTTP/1.1 103 Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK", "" },
};

#define SOUND_HEADS (sizeof(sound_heads) / sizeof(sound_heads[0]))

static const char *write_plain(char text[TEXT_BYTES], const answer_head_t *head)
{
	snprintf(text, TEXT_BYTES,
		 "%s\r\n%sContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n" BODY,
		 head->line, head->fields, strlen(BODY));
	return text;
}

static const char *write_stream(char text[TEXT_BYTES],
				const answer_head_t *head, const char *events)
{
	snprintf(text, TEXT_BYTES, "%s\r\n%s" EVENTS_HEAD "%s", head->line,
		 head->fields, events);
	return text;
}

static void start_engine(void)
{
	static char endpoints[TEXT_BYTES];
	const fleet_options_t options = { .hosts = HOSTS,
					  .config_more = endpoints };

	ck_assert_int_eq(scripted_init(&server, INADDR_LOOPBACK, 0, "/v1/"), 0);
	snprintf(endpoints, sizeof(endpoints), ENDPOINT, 0, server.port);
	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
}

static void stop(void)
{
	fleet_stop(&fleet);
	scripted_finish(&server);
}

/* Hosts issue keys once they have heard of enough others. */
static void issue_key(char key[FLEET_KEY_MAX])
{
	int64_t until = process_now_ms() + START_MS;

	while (fleet_issue_key(fleet.http_port[0], key) < 0) {
		ck_assert_int_lt(process_now_ms(), until);
		process_sleep_ms(RETRY_MS);
	}
}

/* A completion under a contract; one that may not be repeated has a key. */
static client_reply_t ask(const char *contract, bool stream, const char *prompt)
{
	size_t size = strlen(prompt) + 256;
	char *body = malloc(size);
	char key[FLEET_KEY_MAX];
	client_call_t call = { .method = "POST",
			       .port = fleet.http_port[0],
			       .path = "/v1/completions",
			       .headers = { { "Authorization",
					      "Bearer " FLEET_KEY },
					    { "Pimento-Contract", contract },
					    { "Idempotency-Key", key } },
			       .body = body };
	client_reply_t reply;

	ck_assert_ptr_nonnull(body);
	issue_key(key);
	snprintf(body, size,
		 "{\"model\":\"planner\",\"prompt\":\"%s\","
		 "\"max_tokens\":5,\"stream\":%s}",
		 prompt, stream ? "true" : "false");
	client_call(&reply, &call);
	free(body);
	return reply;
}

static const char *write_answer(char text[TEXT_BYTES],
				const answer_head_t *head, bool stream)
{
	return stream ? write_stream(text, head, EVENT("1") EVENT("2") DONE)
		      : write_plain(text, head);
}

/* Guards against callers that get an answer whose head is broken. */
START_TEST(a_broken_head_is_no_answer)
{
	char text[TEXT_BYTES];

	for (size_t i = 0; i < 2 * BROKEN_HEADS; i++) {
		const answer_head_t *head = &broken_heads[i / 2];
		bool stream = i % 2;
		const scripted_answer_t answers[] = {
			{ .bytes = write_answer(text, head, stream),
			  .end = SCRIPTED_CLOSE },
			{ .bytes = NOT_FOUND },
		};
		client_reply_t reply;

		scripted_set(&server, answers, 2);
		reply = ask("plan-once", stream, "x");
		ck_assert_msg(reply.status == 502, "%s, %s: got %ld, %s",
			      head->line, head->fields, reply.status,
			      reply.body);
		ck_assert_str_eq(reply.verdict, "may-have-run");
		ck_assert_ptr_null(strstr(reply.body, "choices"));
		client_reply_finish(&reply);
	}
}
END_TEST

/* Guards against sound answers that are taken for broken. */
START_TEST(an_unusual_head_is_an_answer)
{
	char text[TEXT_BYTES];

	for (size_t i = 0; i < 2 * SOUND_HEADS; i++) {
		bool stream = i % 2;
		const scripted_answer_t answer = {
			.bytes =
				write_answer(text, &sound_heads[i / 2], stream),
			.end = SCRIPTED_CLOSE
		};
		client_reply_t reply;

		scripted_set(&server, &answer, 1);
		reply = ask("plan-once", stream, "x");
		ck_assert_int_eq(reply.status, 200);
		ck_assert(reply.whole);
		ck_assert_str_eq(reply.verdict, "ran");
		ck_assert_uint_eq(scripted_requests(&server), 1);
		client_reply_finish(&reply);
	}
}
END_TEST

#define LINES(end)                                        \
	"HTTP/1.1 200 OK\r\n" EVENTS_HEAD "id: 1" end     \
	"data: {\"choices\":[{\"text\":\"t1\"}]}" end end \
	"data: {\"choices\":[{\"text\":\"t2\"}]}" end end \
	"data: [DONE]" end end

/* Guards against a stream whose events are never whole for want of an LF. */
START_TEST(a_stream_with_any_line_end_is_passed_on)
{
	static const char *const streams[] = { LINES("\n"), LINES("\r\n"),
					       LINES("\r") };
	const scripted_answer_t answers[] = {
		{ .bytes = streams[_i], .end = SCRIPTED_CLOSE },
		{ .bytes = NOT_FOUND },
	};
	client_reply_t reply;

	scripted_set(&server, answers, 2);
	reply = ask("plan-once", true, "x");
	ck_assert_int_eq(reply.status, 200);
	ck_assert_msg(reply.whole && strstr(reply.body, "t1") &&
			      strstr(reply.body, "t2"),
		      "%s", reply.body);
	ck_assert_str_eq(reply.verdict, "ran");
	ck_assert_uint_eq(scripted_requests(&server), 1);
	client_reply_finish(&reply);
}
END_TEST

/* Guards against a repeatable request that gets the broken answer. */
START_TEST(what_may_be_repeated_gets_a_sound_answer)
{
	char text[TEXT_BYTES];

	for (size_t i = 0; i < 2 * BROKEN_HEADS; i++) {
		const answer_head_t *head = &broken_heads[i / 2];
		bool stream = i % 2;
		char later[TEXT_BYTES];
		const scripted_answer_t answers[] = {
			{ .bytes = write_answer(text, head, stream),
			  .end = SCRIPTED_CLOSE },
			{ .bytes = write_answer(later, &sound_heads[0], stream),
			  .end = SCRIPTED_CLOSE },
		};
		client_reply_t reply;

		scripted_set(&server, answers, 2);
		reply = ask("weekly-box", stream, "x");
		ck_assert_msg(reply.status == 200, "%s, %s: got %ld, %s",
			      head->line, head->fields, reply.status,
			      reply.body);
		ck_assert_uint_ge(scripted_requests(&server), 2);
		client_reply_finish(&reply);
	}
}
END_TEST

/* Guards against a stream that goes on with an answer whose head is broken. */
START_TEST(a_stream_is_not_resumed_from_a_broken_head)
{
	char text[TEXT_BYTES];

	for (size_t i = 0; i < BROKEN_HEADS; i++) {
		const scripted_answer_t answers[] = {
			TORN_STREAM,
			{ .bytes = write_stream(text, &broken_heads[i],
						EVENT("9") DONE),
			  .end = SCRIPTED_CLOSE },
			REST_OF_STREAM,
		};
		client_reply_t reply;

		scripted_set(&server, answers, 3);
		reply = ask("weekly-box", true, "x");
		ck_assert_msg(reply.whole && !strstr(reply.body, "t9") &&
				      strstr(reply.body, "t1") &&
				      strstr(reply.body, "t2"),
			      "%s, %s: %s", broken_heads[i].line,
			      broken_heads[i].fields, reply.body);
		ck_assert_uint_eq(scripted_requests(&server), 3);
		client_reply_finish(&reply);
	}
}
END_TEST

/* Answers to a call that resumes a stream: what they say of it is not true. */
static const char *const broken_refusals[] = {
	"HTTP/1.1 404 None\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 0404 None\r\nContent-Length: 0\r\n\r\n",
};

/* Guards against a stream that is given up, or begun again, by a broken head. */
START_TEST(a_broken_head_does_not_end_a_stream)
{
	const scripted_answer_t answers[] = {
		TORN_STREAM,
		{ .bytes = broken_refusals[_i], .end = SCRIPTED_CLOSE },
		REST_OF_STREAM,
	};
	client_reply_t reply;

	scripted_set(&server, answers, 3);
	reply = ask("plan-once", true, "x");
	ck_assert_int_eq(reply.status, 200);
	ck_assert_msg(strstr(reply.body, "t2") != NULL, "%s", reply.body);
	client_reply_finish(&reply);
}
END_TEST

#define UNTIL_CLOSE \
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" BODY

/* Answers to a long upload, and how their connections end. */
static const struct {
	const char *name;
	bool stream;
	bool whole;
	scripted_answer_t answer;
} uploads[] = {
	{ "early, reset",
	  false,
	  false,
	  { .bytes = UNTIL_CLOSE,
	    .end = SCRIPTED_RESET,
	    .early = true,
	    .pause_ms = PAUSE_MS } },
	{ "early, large, reset",
	  false,
	  false,
	  { .bytes = UNTIL_CLOSE,
	    .filler = LARGE,
	    .end = SCRIPTED_RESET,
	    .early = true,
	    .pause_ms = PAUSE_MS } },
	{ "early, events, reset",
	  true,
	  false,
	  { .bytes = "HTTP/1.1 200 OK\r\n" EVENTS_HEAD EVENT("1"),
	    .end = SCRIPTED_RESET,
	    .early = true,
	    .pause_ms = PAUSE_MS } },
	{ "early, a failure, reset",
	  false,
	  false,
	  { .bytes = "HTTP/1.1 404 None\r\n\r\nnone",
	    .end = SCRIPTED_RESET,
	    .early = true,
	    .pause_ms = PAUSE_MS } },
	{ "early, closed with the upload unread",
	  false,
	  false,
	  { .bytes = UNTIL_CLOSE,
	    .end = SCRIPTED_CLOSE,
	    .early = true,
	    .pause_ms = PAUSE_MS } },
	{ "after the upload, reset",
	  false,
	  false,
	  { .bytes = UNTIL_CLOSE,
	    .end = SCRIPTED_RESET,
	    .pause_ms = PAUSE_MS } },
	{ "after the upload, closed",
	  false,
	  true,
	  { .bytes = UNTIL_CLOSE, .end = SCRIPTED_CLOSE } },
};

#define UPLOADS (sizeof(uploads) / sizeof(uploads[0]))

/* A stream that was cut ends with an event that says so. */
static bool is_whole(const client_reply_t *reply)
{
	return reply->whole && reply->status != 502 &&
	       !strstr(reply->body, "\"verdict\":\"may-have-run\"");
}

/* Guards against a part of an answer that is taken for the whole. */
START_TEST(an_answer_that_is_reset_is_not_whole)
{
	const scripted_answer_t answers[] = { uploads[_i].answer,
					      { .bytes = NOT_FOUND } };
	char *prompt = malloc(UPLOAD_BYTES + 1);
	client_reply_t reply;

	ck_assert_ptr_nonnull(prompt);
	memset(prompt, 'x', UPLOAD_BYTES);
	prompt[UPLOAD_BYTES] = '\0';
	scripted_set(&server, answers, 2);
	reply = ask("plan-once", uploads[_i].stream, prompt);
	free(prompt);
	ck_assert_msg(is_whole(&reply) == uploads[_i].whole,
		      "%s: got %ld, %.80s", uploads[_i].name, reply.status,
		      reply.body);
	ck_assert_uint_ge(scripted_requests(&server), 1);
	client_reply_finish(&reply);
}
END_TEST

static void start_engines(void)
{
	const fleet_options_t options = { .hosts = 1, .engines = 1 };

	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
}

/* Answers of the platform with a configuration that is none. */
static const struct {
	const char *head;
	bool sound;
} config_answers[] = {
	{ "HTTP/1.1 200 OK\r\n", true },
	{ "HTTP/1.1 0200 OK\r\n", false },
	{ "HTTP/1.1 200 OK\r\nX Bad: 1\r\n", false },
	{ "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", false },
};

/* Guards against a configuration that is read from a broken answer. */
START_TEST(a_broken_answer_of_the_platform_is_not_believed)
{
	static const char refused[] = "revision 9 refused";
	uint16_t port = fleet.platform[0].port;
	char text[TEXT_BYTES];
	const scripted_answer_t answer = { .bytes = text,
					   .end = SCRIPTED_CLOSE };
	int64_t until;

	snprintf(text, sizeof(text), "%sX-Revision: 9\r\n\r\nno configuration",
		 config_answers[_i].head);
	process_kill(&fleet.platform[0]);
	ck_assert_int_eq(
		scripted_init(&server, INADDR_LOOPBACK, port, "/v1/config"), 0);
	scripted_set(&server, &answer, 1);
	until = process_now_ms() + READ_MS;
	while (scripted_requests(&server) < 2 && process_now_ms() < until)
		process_sleep_ms(20);
	ck_assert_uint_ge(scripted_requests(&server), 2);
	ck_assert_int_eq(process_logged(&fleet.host[0], refused),
			 config_answers[_i].sound);
}
END_TEST

static const struct {
	const char *answer;
	const char *verdict;
} refusals[] = {
	{ "HTTP/1.1 503 Busy\r\nPimento-Verdict: not-run\r\n"
	  "Content-Length: 0\r\n\r\n",
	  "verdict: not-run" },
	{ "HTTP/1.1 503 Busy\r\nPimento-Verdict: not-run\r\nX Bad: 1\r\n"
	  "Content-Length: 0\r\n\r\n",
	  "verdict: may-have-run" },
	{ "HTTP/1.1 603 Busy\r\nPimento-Verdict: not-run\r\n"
	  "Content-Length: 0\r\n\r\n",
	  "verdict: may-have-run" },
};

static void start_server(void)
{
	ck_assert_int_eq(scripted_init(&server, INADDR_LOOPBACK, 0, "/v1/"), 0);
}

static void stop_server(void)
{
	scripted_finish(&server);
}

/* Guards against pimentoctl trying a request again that may have run. */
START_TEST(a_broken_head_promises_nothing_to_pimentoctl)
{
	const scripted_answer_t answer = { .bytes = refusals[_i].answer,
					   .end = SCRIPTED_CLOSE };
	char entry[32];
	const char *args[] = { "send",	  "-e", entry, "-m",
			       "planner", "-p", "x",   NULL };
	process_t ctl;

	snprintf(entry, sizeof(entry), "127.0.0.1:%u", server.port);
	scripted_set(&server, &answer, 1);
	setenv("PIMENTO_KEY", FLEET_KEY, 1);
	ck_assert_int_eq(process_start(&ctl, "ctl", "pimentoctl", args), 0);
	ck_assert_int_ne(process_wait(&ctl, READ_MS), 0);
	ck_assert(process_logged(&ctl, refusals[_i].verdict));
	ck_assert_uint_eq(scripted_requests(&server), 1);
}
END_TEST

static TCase *add_case(Suite *suite, const char *name, SFun setup, SFun finish)
{
	TCase *tcase = tcase_create(name);

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, finish);
	suite_add_tcase(suite, tcase);
	return tcase;
}

int main(void)
{
	Suite *suite = suite_create("broken engine answers");
	TCase *engine = add_case(suite, "engine", start_engine, stop);
	TCase *platform = add_case(suite, "platform", start_engines, stop);
	TCase *ctl = add_case(suite, "pimentoctl", start_server, stop_server);

	tcase_add_test(engine, a_broken_head_is_no_answer);
	tcase_add_test(engine, an_unusual_head_is_an_answer);
	tcase_add_loop_test(engine, a_stream_with_any_line_end_is_passed_on, 0,
			    3);
	tcase_add_test(engine, what_may_be_repeated_gets_a_sound_answer);
	tcase_add_test(engine, a_stream_is_not_resumed_from_a_broken_head);
	tcase_add_loop_test(engine, a_broken_head_does_not_end_a_stream, 0,
			    sizeof(broken_refusals) /
				    sizeof(broken_refusals[0]));
	tcase_add_loop_test(engine, an_answer_that_is_reset_is_not_whole, 0,
			    UPLOADS);
	tcase_add_loop_test(platform,
			    a_broken_answer_of_the_platform_is_not_believed, 0,
			    sizeof(config_answers) / sizeof(config_answers[0]));
	tcase_add_loop_test(ctl, a_broken_head_promises_nothing_to_pimentoctl,
			    0, sizeof(refusals) / sizeof(refusals[0]));
	return process_run_suite(suite);
}
