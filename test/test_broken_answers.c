/*
 * Answers of endpoints that are broken, as pimentoedge reads them, directly and
 * through a peer's tunnel. Callers get none of them, and hosts believe none.
 */

#include "../standin/scripted.h"
#include "edge.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	TEXT_BYTES = 2048,
	READY_MS = 5000,
	STOP_MS = 12000, /* longer than a host takes to stop */
	HEDGED_HEADS = 6, /* of the broken ones; each takes seconds */
	UPLOAD_BYTES = 3000000, /* more than the buffers of a connection */
	UPLOAD_MAX = 4000000,
	LARGE = 300000, /* more than a host holds back */
	PAUSE_MS = 60,
	STAND_MS = 200, /* for which a host stands still */
	LEARN_MS = 300
};

#define MARKS "Request-Id: id-of-a-test\r\nResponse-Seal: w.seal\r\n"
#define EVENTS_HEAD                           \
	"Content-Type: text/event-stream\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "15\r\nid: " n "\ndata: event " n "\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define EVENTS_1_TO_2 EVENT("1") EVENT("2")
#define EVENTS_3_TO_5 EVENT("3") EVENT("4") EVENT("5") LAST_CHUNK

#define PLAIN "HTTP/1.1 200 OK\r\n" MARKS "Content-Length: 8\r\n\r\nanswered"
#define STREAM \
	"HTTP/1.1 200 OK\r\n" MARKS EVENTS_HEAD EVENTS_1_TO_2 EVENTS_3_TO_5

static edge_t edge;
static scripted_t server;
static bool behind_tunnel; /* the server, for host 0 */

/* What makes a head unusual; else the answer is whole and sealed. */
typedef struct answer_head {
	const char *line;
	const char *fields;
	const char *body; /* with its framing; NULL: a stated length */
} answer_head_t;

static const answer_head_t broken_heads[] = {
	{ "HTTP/1.1 000 None", "", NULL },
	{ "HTTP/1.1 0 None", "", NULL },
	{ "HTTP/1.1 20 OK", "", NULL },
	{ "HTTP/1.1 2 00 OK", "", NULL },
	{ "HTTP/1.1 099 Low", "", NULL },
	{ "HTTP/1.1 600 High", "", NULL },
	{ "HTTP/1.1 999 High", "", NULL },
	{ "HTTP/1.1 1000 High", "", NULL },
	{ "HTTP/1.1 0200 OK", "", NULL },
	{ "HTTP/1.1 00000200", "", NULL },
	{ "HTTP/1.1 0503 Busy", "Not-Executed: 1\r\n", NULL },
	{ "HTTP/1.1 0102 Processing", "", NULL },
	{ "HTTP/1.1 200 OK", "X Bad: 1\r\n", NULL },
	{ "HTTP/1.1 200 OK", "X-Bad : 1\r\n", NULL },
	{ "HTTP/1.1 500 Failed", "X Bad: 1\r\n", NULL },
	{ "HTTP/1.1 404 None", "X Bad: 1\r\n", NULL },
	{ "HTTP/1.1 200 OK", "Content-Length : 3\r\n", "\r\nanswered" },
	{ "HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n",
	  "\r\n8\r\nanswered\r\n" LAST_CHUNK },
	{ "HTTP/1.1 200 OK", "X\tBad: 1\r\n", NULL },
	{ "HTTP/1.1 200 OK",
	  "X\x01"
	  "Bad: 1\r\n",
	  NULL },
	{ "HTTP/1.1 200 OK",
	  "X\x7f"
	  "Bad: 1\r\n",
	  NULL },
	{ "HTTP/1.1 200 OK",
	  "X\xe4"
	  "Bad: 1\r\n",
	  NULL },
	{ "HTTP/1.1 200 OK", ": 1\r\n", NULL },
	{ "HTTP/1.1 200 OK\r\n X-First: 1", "", NULL },
	{ "HTTP/1.1 200 OK\r\n Content-Length: 3", "", NULL },
	{ "HTTP/1.1 200 OK", "No-Colon\r\n", NULL },
	{ "HTTP/1.1 200 OK", "X-Bad: \x01\r\n", NULL },
	{ "HTTP/1.1 200 OK", "X-Bad: \x7f\r\n", NULL },
	{ "HTTP/1.1 200 OK", "X-Bad: 1\x01\r\n", NULL },
	{ "HTTP/1.1 200 OK", "Content-Length: 3\r\n", NULL },
	/* What such a head says of the endpoint or the request is not believed. */
	{ "HTTP/1.1 503 Busy", "Not-Executed: 1\r\nX Bad: 1\r\n", NULL },
	{ "HTTP/1.1 429 Busy", "Not-Executed: 1\r\nX Bad: 1\r\n", NULL },
	{ "HTTP/1.1 421 Other", "X Bad: 1\r\n", NULL },
	{ "HTTP/1.1 503 Busy",
	  "Not-Executed: 1\r\nRetry-After: 30\r\nX Bad: 1\r\n", NULL },
	{ "HTTP/1.1 200 OK", "Server-Leaving: 1\r\nX Bad: 1\r\n", NULL },
	{ "HTTP/1.1 600 High", "Server-Leaving: 1\r\n", NULL },
	{ "HTTP/1.1 200 OK", "Server-Limit: 0.01\r\nX Bad: 1\r\n", NULL },
};

#define BROKEN_HEADS (sizeof(broken_heads) / sizeof(broken_heads[0]))

/* Unusual heads that are answers all the same. */
static const answer_head_t sound_heads[] = {
	{ "HTTP/1.1 200 OK", "", NULL },
	{ "HTTP/1.1 200", "", NULL },
	{ "HTTP/1.1  200 OK", "", NULL },
	{ "HTTP/1.0 200 OK", "Connection: keep-alive\r\n", NULL },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "", NULL },
	{ "HTTP/1.1 200 OK", "X-Empty:\r\n", NULL },
	{ "HTTP/1.1 200 OK", "X-Folded: 1\r\n 2\r\n", NULL },
	{ "HTTP/1.1 200 OK", "X!#$%&'*+-.^_`|~: \xe4\t1\r\n", NULL },
	{ "HTTP/1.1 200 OK", "Keep-Alive: timeout=5\r\n", NULL },
};

#define SOUND_HEADS (sizeof(sound_heads) / sizeof(sound_heads[0]))

static const char *write_plain(char text[TEXT_BYTES], const answer_head_t *head)
{
	snprintf(text, TEXT_BYTES, "%s\r\n" MARKS "%s%s", head->line,
		 head->fields,
		 head->body ? head->body : "Content-Length: 8\r\n\r\nanswered");
	return text;
}

static const char *write_stream(char text[TEXT_BYTES],
				const answer_head_t *head, const char *events)
{
	snprintf(text, TEXT_BYTES, "%s\r\n" MARKS "%s" EVENTS_HEAD "%s",
		 head->line, head->fields, events);
	return text;
}

static void answer_with(const char *bytes)
{
	const scripted_answer_t answer = { .bytes = bytes };

	scripted_set(&server, &answer, 1);
}

static void list_server(const char *id)
{
	char key[32];
	char record[256];

	snprintf(key, sizeof(key), "servers/%s", id);
	snprintf(record, sizeof(record),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":1}",
		 server.port);
	edge_put(&edge, key, record);
}

/* Returns true once host 0 gets sound answers of the scripted endpoints. */
static bool wait_served(void)
{
	int64_t until = process_now_ms() + READY_MS;
	bool served = false;

	answer_with(PLAIN);
	while (!served && process_now_ms() < until) {
		client_reply_t reply =
			edge_ask(&edge, 0, EDGE_UNSAFE, NULL, NULL);

		served = reply.status == 200 && scripted_requests(&server) > 0;
		client_reply_finish(&reply);
	}
	return served;
}

static void setup_direct(void)
{
	ck_assert_int_eq(scripted_init(&server, INADDR_LOOPBACK, 0, NULL), 0);
	edge_start(&edge, 1, 1);
	edge_configure(&edge, 3, "[\"" EDGE_KEY "\"]", UPLOAD_MAX);
	list_server("s0");
	list_server("s1");
	edge_remove(&edge, "servers/w0");
	process_sleep_ms(LEARN_MS);
	ck_assert(wait_served());
}

/*
 * Host 0 has lost its path to the endpoint; host 1 has one, without a relay,
 * which would end a connection otherwise than its far side did.
 */
static void setup_tunnel(void)
{
	ck_assert_int_eq(scripted_init(&server, INADDR_LOOPBACK, 0, NULL), 0);
	edge_start_paths(&edge, 2, 1);
	edge_configure(&edge, 3, "[\"" EDGE_KEY "\"]", UPLOAD_MAX);
	edge_cut_path(&edge, 0, 0, EDGE_CUT_RESET);
	edge.paths[1][0].port = server.port;
	edge_list_worker(&edge, 0, "ready");
	process_sleep_ms(LEARN_MS);
	behind_tunnel = true;
	ck_assert(wait_served());
}

static void teardown(void)
{
	edge_stop(&edge);
	scripted_finish(&server);
}

static const struct {
	const char *path;
	bool stream;
	uint32_t attempts;
} routes[] = {
	{ EDGE_UNSAFE, false, 1 },
	{ EDGE_SAFE, false, 2 },
	{ EDGE_ONCE, true, 1 },
	{ EDGE_STREAM, true, 2 },
};

#define ROUTES (sizeof(routes) / sizeof(routes[0]))

/* Requests that host 0 sent through its peer. */
static long tunnelled(void)
{
	return edge_metric(&edge, 0, "pimento_attempts_tunnelled_total");
}

static void check_route(size_t route, const answer_head_t *head, bool sound)
{
	char text[TEXT_BYTES];
	const char *stream = routes[route].stream ? "stream" : "plain";
	long before = tunnelled();
	client_reply_t reply;

	answer_with(
		routes[route].stream
			? write_stream(text, head, EVENTS_1_TO_2 EVENTS_3_TO_5)
			: write_plain(text, head));
	reply = edge_ask(&edge, 0, routes[route].path, NULL, "x");
	ck_assert_msg(reply.status == (sound ? 200 : 502),
		      "%s, %s (%s): got %ld, whole %d, body %s", head->line,
		      head->fields, stream, reply.status, reply.whole,
		      reply.body);
	if (sound && !routes[route].stream)
		ck_assert_str_eq(reply.body, "answered");
	ck_assert_uint_ge(scripted_requests(&server), 1);
	ck_assert_uint_le(scripted_requests(&server), routes[route].attempts);
	ck_assert_int_eq(tunnelled() > before, behind_tunnel);
	client_reply_finish(&reply);
}

static void check_sound_stream(void)
{
	client_reply_t reply;

	answer_with(STREAM);
	reply = edge_ask(&edge, 0, EDGE_ONCE, NULL, NULL);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_ptr_nonnull(strstr(reply.body, "event 5\n\n"));
	client_reply_finish(&reply);
}

/* Guards against callers that get an answer whose head is broken. */
START_TEST(a_broken_head_is_no_answer)
{
	for (size_t route = 0; route < ROUTES; route++) {
		check_route(route, &broken_heads[_i], false);
		ck_assert_msg(wait_served(), "%s, %s: believed",
			      broken_heads[_i].line, broken_heads[_i].fields);
	}
	check_sound_stream();
}
END_TEST

/* Guards against sound answers that are taken for broken. */
START_TEST(an_unusual_head_is_an_answer)
{
	for (size_t route = 0; route < ROUTES; route++)
		check_route(route, &sound_heads[_i], true);
}
END_TEST

/* Malformed fields that belong to no head of an answer. */
static const char *const dropped_fields[] = {
	"HTTP/1.1 103 Hints\r\nX Bad: 1\r\n\r\n" PLAIN,
	"HTTP/1.1 200 OK\r\n" MARKS "Transfer-Encoding: chunked\r\n\r\n"
	"8\r\nanswered\r\n0\r\nX Bad: 1\r\n\r\n",
};

/* Guards against fields beside the head that reach the caller. */
START_TEST(a_malformed_field_beside_the_head_is_dropped)
{
	char bytes[TEXT_BYTES];
	size_t length = 0;
	int fd = edge_connect(&edge, 0);
	ssize_t got;

	answer_with(dropped_fields[_i]);
	edge_send(fd, "GET " EDGE_UNSAFE " HTTP/1.1\r\nHost: t.example\r\n"
		      "Request-Id: id-of-a-test\r\nKey: " EDGE_KEY "\r\n"
		      "Connection: close\r\n\r\n");
	while ((got = recv(fd, bytes + length, sizeof(bytes) - 1 - length, 0)) >
	       0)
		length += (size_t)got;
	close(fd);
	bytes[length] = '\0';
	ck_assert_ptr_nonnull(strstr(bytes, "HTTP/1.1 200 OK"));
	ck_assert_ptr_nonnull(strstr(bytes, "\r\n\r\nanswered"));
	ck_assert_ptr_null(strstr(bytes, "Bad"));
}
END_TEST

/* Guards against heads that are judged only if they come in one piece. */
START_TEST(a_status_that_comes_in_pieces_is_judged)
{
	static const char *const lines[] = { "HTTP/1.1 0200 OK\r\n",
					     "HTTP/1.1 200 OK\r\n" };
	client_reply_t reply;
	char first[32];
	char text[TEXT_BYTES];

	for (size_t cut = 1; cut < strlen(lines[_i]); cut++) {
		const scripted_answer_t answer = { .bytes = text,
						   .split = cut };

		snprintf(text, sizeof(text), "%s%s", lines[_i],
			 strchr(PLAIN, '\n') + 1);
		scripted_set(&server, &answer, 1);
		reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, NULL);
		snprintf(first, sizeof(first), "%.*s", (int)cut, text);
		ck_assert_msg(reply.status == (_i ? 200 : 502), "\"%s\": %ld",
			      first, reply.status);
		client_reply_finish(&reply);
	}
}
END_TEST

/* Guards against a request that fails though another endpoint may serve it. */
START_TEST(another_endpoint_serves_what_may_be_repeated)
{
	char text[TEXT_BYTES];
	const scripted_answer_t answers[] = {
		{ .bytes = write_plain(text, &broken_heads[_i]) },
		{ .bytes = PLAIN },
	};
	client_reply_t reply;

	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_SAFE, NULL, "x");
	ck_assert_int_eq(reply.status, 200);
	ck_assert_str_eq(reply.body, "answered");
	ck_assert_uint_eq(scripted_requests(&server), 2);
	client_reply_finish(&reply);
	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, "x");
	ck_assert_int_eq(reply.status, 502);
	ck_assert_uint_eq(scripted_requests(&server), 1);
	client_reply_finish(&reply);
}
END_TEST

/* Guards against a stream that goes on with an answer whose head is broken. */
START_TEST(a_stream_is_not_resumed_from_a_broken_head)
{
	static const answer_head_t sound = { "HTTP/1.1 200 OK", "", NULL };
	const answer_head_t *head = _i ? &broken_heads[_i - 1] : &sound;
	char text[TEXT_BYTES];
	const scripted_answer_t answers[] = {
		{ .bytes =
			  "HTTP/1.1 200 OK\r\n" MARKS EVENTS_HEAD EVENTS_1_TO_2,
		  .end = SCRIPTED_RESET,
		  .pause_ms = PAUSE_MS },
		{ .bytes = write_stream(text, head, EVENTS_3_TO_5) },
	};
	client_reply_t reply;

	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_STREAM, NULL, NULL);
	ck_assert_uint_eq(scripted_requests(&server), 2);
	ck_assert_msg(reply.whole == (head == &sound), "%s, %s: %ld %s",
		      head->line, head->fields, reply.status, reply.body);
	ck_assert_ptr_nonnull(strstr(reply.body, "event 2\n\n"));
	ck_assert_int_eq(strstr(reply.body, "event 3") != NULL, head == &sound);
	client_reply_finish(&reply);
}
END_TEST

#define UNTIL_CLOSE "HTTP/1.1 200 OK\r\n" MARKS "\r\nanswered"
#define EVENTS_UNTIL_CLOSE                                                    \
	"HTTP/1.1 200 OK\r\n" MARKS "Content-Type: text/event-stream\r\n\r\n" \
	"id: 1\ndata: event 1\n\n"

/* Answers to a long upload, and how their connections end. */
static const struct {
	const char *name;
	const char *path;
	scripted_answer_t answer;
	bool whole;
} uploads[] = {
	{ "early, reset",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_RESET, true, 0, PAUSE_MS, 0, 0 },
	  false },
	{ "early, reset at once",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_RESET, true, 0, 0, 0, 0 },
	  false },
	{ "early, large, reset",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, LARGE, SCRIPTED_RESET, true, 0, PAUSE_MS, 0, 0 },
	  false },
	{ "early, to one that may be repeated, reset",
	  EDGE_SAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_RESET, true, 0, PAUSE_MS, 0, 0 },
	  false },
	{ "early, events, reset",
	  EDGE_ONCE,
	  { EVENTS_UNTIL_CLOSE, 0, SCRIPTED_RESET, true, 0, PAUSE_MS, 0, 0 },
	  false },
	{ "early, a failure, reset",
	  EDGE_UNSAFE,
	  { "HTTP/1.1 404 Not Found\r\n" MARKS "\r\nnone", 0, SCRIPTED_RESET,
	    true, 0, PAUSE_MS, 0, 0 },
	  false },
	{ "early, closed with the upload unread",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_CLOSE, true, 0, PAUSE_MS, 0, 0 },
	  false },
	{ "early, while a host stands still, reset",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_RESET, true, STAND_MS / 2, 0, 0, 0 },
	  false },
	{ "after the upload, reset",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_RESET, false, 0, PAUSE_MS, 0, 0 },
	  false },
	{ "after the upload, closed",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_CLOSE, false, 0, 0, 0, 0 },
	  true },
	{ "early, with a length, reads on",
	  EDGE_UNSAFE,
	  { PLAIN, 0, SCRIPTED_KEEP, true, 0, PAUSE_MS, 0, 0 },
	  true },
	{ "early, no more comes, reads on",
	  EDGE_UNSAFE,
	  { UNTIL_CLOSE, 0, SCRIPTED_SHUT, true, 0, PAUSE_MS, 0, 0 },
	  true },
};

#define UPLOADS (sizeof(uploads) / sizeof(uploads[0]))

typedef struct upload {
	const char *path;
	client_reply_t reply;
} upload_t;

static void *run_upload(void *data)
{
	upload_t *upload = data;
	char *body = malloc(UPLOAD_BYTES + 1);

	memset(body, 'x', UPLOAD_BYTES);
	body[UPLOAD_BYTES] = '\0';
	upload->reply = edge_ask(&edge, 0, upload->path, NULL, body);
	free(body);
	return NULL;
}

/* Stops a host from before the answer is sent until the reset has come. */
static void stand_still(const process_t *host)
{
	int64_t until = process_now_ms() + READY_MS;

	while (!scripted_requests(&server) && process_now_ms() < until)
		process_sleep_ms(1);
	process_freeze(host);
	process_sleep_ms(STAND_MS);
	process_thaw(host);
}

static void check_upload(int i, const process_t *standing)
{
	upload_t upload = { .path = uploads[i].path };
	long before = tunnelled();
	pthread_t thread;

	scripted_set(&server, &uploads[i].answer, 1);
	ck_assert_int_eq(pthread_create(&thread, NULL, run_upload, &upload), 0);
	if (uploads[i].answer.delay_ms)
		stand_still(standing);
	pthread_join(thread, NULL);
	ck_assert_uint_ge(scripted_requests(&server), 1);
	ck_assert_int_eq(tunnelled() > before, behind_tunnel);
	if (uploads[i].whole)
		ck_assert_msg(upload.reply.status == 200, "%s: %ld",
			      uploads[i].name, upload.reply.status);
	else
		ck_assert_msg(!upload.reply.whole || upload.reply.status == 502,
			      "%s: got %ld, %s", uploads[i].name,
			      upload.reply.status, upload.reply.body);
	client_reply_finish(&upload.reply);
	ck_assert_msg(wait_served(), "%s", uploads[i].name);
}

/* Guards against a part of an answer that is taken for the whole. */
START_TEST(an_answer_that_is_reset_is_not_whole)
{
	check_upload(_i, &edge.hosts[0].process);
}
END_TEST

/* The same where the tunnel's far end sees the reset. */
START_TEST(an_answer_that_is_reset_behind_a_tunnel_is_not_whole)
{
	check_upload(_i, &edge.hosts[1].process);
}
END_TEST

/* Guards against a cut that a caller without chunks takes for the end. */
START_TEST(a_caller_of_http_1_0_sees_the_cut)
{
	const scripted_answer_t answer = { .bytes = UNTIL_CLOSE,
					   .filler = LARGE,
					   .end = SCRIPTED_RESET,
					   .pause_ms = PAUSE_MS };
	char bytes[65536];
	int fd = edge_connect(&edge, 0);
	ssize_t got;

	scripted_set(&server, &answer, 1);
	edge_send(fd, "GET " EDGE_UNSAFE " HTTP/1.0\r\nHost: t.example\r\n"
		      "Request-Id: id-of-a-test\r\nKey: " EDGE_KEY "\r\n\r\n");
	while ((got = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		continue;
	ck_assert_int_lt(got, 0);
	close(fd);
}
END_TEST

/* Guards against a broken answer that counts because the one before was sound. */
START_TEST(a_kept_connection_vouches_for_no_answer)
{
	char text[TEXT_BYTES];
	const scripted_answer_t answers[] = {
		{ .bytes = PLAIN },
		{ .bytes = write_plain(text, &broken_heads[_i]) },
	};
	long reused = edge_metric(&edge, 0, "pimento_connections_reused_total");
	client_reply_t reply;

	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, NULL);
	ck_assert_int_eq(reply.status, 200);
	client_reply_finish(&reply);
	reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, NULL);
	ck_assert_msg(reply.status == 502, "%s: %ld", broken_heads[_i].line,
		      reply.status);
	client_reply_finish(&reply);
	ck_assert_int_gt(
		edge_metric(&edge, 0, "pimento_connections_reused_total"),
		reused);
}
END_TEST

enum { SILENCE_MS = 2000 /* longer than four of the stream's pauses */ };

/* Guards against a broken head that replaces, or ends, a silent stream. */
START_TEST(a_silent_stream_is_not_replaced_by_a_broken_head)
{
	static const char first[] =
		"HTTP/1.1 200 OK\r\n" MARKS EVENTS_HEAD EVENTS_1_TO_2;
	char text[TEXT_BYTES];
	const scripted_answer_t answers[] = {
		{ .bytes = STREAM,
		  .split = sizeof(first) - 1,
		  .piece_ms = SILENCE_MS },
		{ .bytes = write_stream(text, &broken_heads[_i],
					EVENTS_3_TO_5) },
	};
	client_reply_t reply;

	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_STREAM, NULL, NULL);
	ck_assert_uint_eq(scripted_requests(&server), 2);
	ck_assert_msg(reply.whole, "%s, %s: %s", broken_heads[_i].line,
		      broken_heads[_i].fields, reply.body);
	ck_assert_ptr_nonnull(strstr(reply.body, "event 2\n\nid: 3\n"));
	ck_assert_ptr_nonnull(strstr(reply.body, "event 5\n\n"));
	client_reply_finish(&reply);
}
END_TEST

/* Guards against the same when the host ends: a part that looks whole. */
START_TEST(a_caller_of_http_1_0_sees_the_end_of_its_host)
{
	const scripted_answer_t answer = { .bytes = EVENTS_UNTIL_CLOSE,
					   .pause_ms = STOP_MS };
	char bytes[65536];
	int fd = edge_connect(&edge, 0);
	ssize_t got;

	scripted_set(&server, &answer, 1);
	edge_send(fd, "GET " EDGE_ONCE " HTTP/1.0\r\nHost: t.example\r\n"
		      "Request-Id: id-of-a-test\r\nKey: " EDGE_KEY "\r\n\r\n");
	ck_assert(edge_expect(fd, "event 1", READY_MS));
	ck_assert_int_eq(kill(edge.hosts[0].process.pid, SIGTERM), 0);
	while ((got = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		continue;
	ck_assert_int_lt(got, 0);
	close(fd);
}
END_TEST

static TCase *add_case(Suite *suite, const char *name, SFun setup)
{
	TCase *tcase = tcase_create(name);

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	suite_add_tcase(suite, tcase);
	return tcase;
}

int main(void)
{
	Suite *suite = suite_create("broken answers");
	TCase *direct = add_case(suite, "direct", setup_direct);
	TCase *tunnel = add_case(suite, "tunnel", setup_tunnel);

	tcase_add_loop_test(direct, a_broken_head_is_no_answer, 0,
			    BROKEN_HEADS);
	tcase_add_loop_test(direct, an_unusual_head_is_an_answer, 0,
			    SOUND_HEADS);
	tcase_add_loop_test(direct,
			    a_malformed_field_beside_the_head_is_dropped, 0,
			    sizeof(dropped_fields) / sizeof(dropped_fields[0]));
	tcase_add_loop_test(direct, a_status_that_comes_in_pieces_is_judged, 0,
			    2);
	tcase_add_loop_test(direct,
			    another_endpoint_serves_what_may_be_repeated, 0,
			    BROKEN_HEADS);
	tcase_add_loop_test(direct, a_stream_is_not_resumed_from_a_broken_head,
			    0, BROKEN_HEADS + 1);
	tcase_add_loop_test(direct, an_answer_that_is_reset_is_not_whole, 0,
			    UPLOADS);
	tcase_add_test(direct, a_caller_of_http_1_0_sees_the_cut);
	tcase_add_test(direct, a_caller_of_http_1_0_sees_the_end_of_its_host);
	tcase_add_loop_test(direct, a_kept_connection_vouches_for_no_answer, 0,
			    BROKEN_HEADS);
	tcase_add_loop_test(direct,
			    a_silent_stream_is_not_replaced_by_a_broken_head, 0,
			    HEDGED_HEADS);
	tcase_add_loop_test(tunnel, a_broken_head_is_no_answer, 0,
			    BROKEN_HEADS);
	tcase_add_loop_test(tunnel, an_unusual_head_is_an_answer, 0,
			    SOUND_HEADS);
	tcase_add_loop_test(
		tunnel, an_answer_that_is_reset_behind_a_tunnel_is_not_whole, 0,
		UPLOADS);
	tcase_add_loop_test(tunnel, a_kept_connection_vouches_for_no_answer, 0,
			    BROKEN_HEADS);
	return process_run_suite(suite);
}
