/*
 * The data path of pimentoedge against workers that misbehave in every way
 * that the platform's pages tell of, as separate processes on loopback.
 */

#include "edge.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static edge_t edge;

static void setup_one(void)
{
	edge_start(&edge, 1, 1);
}

static void setup_two(void)
{
	edge_start(&edge, 1, 2);
}

static void teardown(void)
{
	edge_stop(&edge);
}

static long runs(void)
{
	long sum = 0;

	for (uint32_t i = 0; i < edge.worker_count; i++)
		sum += edge_worker(&edge, i, "runs");
	return sum;
}

static long status_of(const char *path, const char *behave)
{
	client_reply_t reply = edge_ask(&edge, 0, path, behave, NULL);
	long status = reply.whole ? reply.status : 0;

	client_reply_finish(&reply);
	return status;
}

START_TEST(answers_and_streams_come_back_whole)
{
	client_reply_t reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, "body");

	ck_assert_int_eq(reply.status, 200);
	ck_assert_str_eq(reply.body, "answer of w0 to 4 bytes");
	client_reply_finish(&reply);
	reply = edge_ask(&edge, 0, EDGE_ONCE, NULL, "body");
	ck_assert_int_eq(reply.status, 200);
	ck_assert(reply.whole);
	ck_assert_ptr_nonnull(strstr(reply.body, "id: 1\ndata: event 1\n\n"));
	ck_assert_ptr_nonnull(strstr(reply.body, "id: 5\ndata: event 5\n\n"));
	client_reply_finish(&reply);
}
END_TEST

/*
 * One worker that misbehaves, alone: what a caller may see, and how often its
 * request may have run. A caller that is told "not run" (503) pays or orders
 * again; if it had run, a family would pay twice.
 */
static const struct {
	const char *path;
	const char *behave;
	long status; /* 0: broken off, or not whole */
	long runs_most;
} misbehaviours[] = {
	{ EDGE_UNSAFE, "extra", 200, 1 },   { EDGE_UNSAFE, "foreign", 504, 1 },
	{ EDGE_UNSAFE, "torn", 502, 1 },    { EDGE_UNSAFE, "bare", 200, 1 },
	{ EDGE_UNSAFE, "hang", 504, 1 },    { EDGE_UNSAFE, "garble", 502, 1 },
	{ EDGE_UNSAFE, "interim", 502, 1 }, { EDGE_ONCE, "interim", 502, 1 },
	{ EDGE_UNSAFE, "full", 503, 0 },    { EDGE_UNSAFE, "busy", 502, 1 },
	{ EDGE_UNSAFE, "fail", 500, 1 },    { EDGE_UNSAFE, "unsealed", 502, 1 },
	{ EDGE_ONCE, "half", 0, 1 },	    { EDGE_ONCE, "foreign", 504, 1 },
	{ EDGE_ONCE, "unsealed", 502, 1 },  { EDGE_SAFE, "full", 503, 0 },
	{ EDGE_SAFE, "torn", 502, 2 },	    { EDGE_SAFE, "fail", 500, 2 },
	{ EDGE_SAFE, "extra", 200, 1 },	    { EDGE_UNSAFE, "stale", 200, 1 },
	{ EDGE_ONCE, "stale", 200, 1 },
};

START_TEST(a_misbehaving_worker_never_makes_the_host_lie)
{
	long status =
		status_of(misbehaviours[_i].path, misbehaviours[_i].behave);

	ck_assert_msg(status == misbehaviours[_i].status, "%s %s: %ld",
		      misbehaviours[_i].path, misbehaviours[_i].behave, status);
	ck_assert_int_le(runs(), misbehaviours[_i].runs_most);
	/* the next request on the same connections is not disturbed */
	ck_assert_int_eq(status_of(EDGE_UNSAFE, NULL), 200);
}
END_TEST

/* The same with a sound worker beside it, for requests that may be repeated. */
static const struct {
	const char *path;
	const char *behave;
} repeats[] = {
	{ EDGE_SAFE, "torn" },	     { EDGE_SAFE, "garble" },
	{ EDGE_SAFE, "fail" },	     { EDGE_SAFE, "busy" },
	{ EDGE_SAFE, "full" },	     { EDGE_SAFE, "hang" },
	{ EDGE_SAFE, "interim" },    { EDGE_STREAM, "interim" },
	{ EDGE_UNSAFE, "full" },     { EDGE_STREAM, "half" },
	{ EDGE_STREAM, "unsealed" },
};

static client_reply_t ask_at(const char *path, const char *behave,
			     const char *at)
{
	client_call_t call = { .method = "GET",
			       .port = edge.hosts[0].callers,
			       .path = path,
			       .headers = { { "Host", "t.example" },
					    { "Request-Id", "id-of-a-test" },
					    { "Deadline-Ms", "5000" },
					    { "Key", EDGE_KEY },
					    { "Test-Behave", behave },
					    { "Test-Behave-At", at } } };
	client_reply_t reply;

	client_call(&reply, &call);
	return reply;
}

START_TEST(another_worker_takes_over_what_may_be_repeated)
{
	for (int i = 0; i < 4; i++) {
		client_reply_t reply =
			ask_at(repeats[_i].path, repeats[_i].behave,
			       i % 2 ? "w0" : "w1");

		ck_assert_msg(reply.whole && reply.status == 200, "%s %s: %ld",
			      repeats[_i].path, repeats[_i].behave,
			      reply.status);
		if (strstr(repeats[_i].path, "stream"))
			ck_assert_str_eq(reply.body,
					 "id: 1\ndata: event 1\n\n"
					 "id: 2\ndata: event 2\n\n"
					 "id: 3\ndata: event 3\n\n"
					 "id: 4\ndata: event 4\n\n"
					 "id: 5\ndata: event 5\n\n");
		client_reply_finish(&reply);
	}
}
END_TEST

/*
 * A worker has gone, and its address now belongs to another one. The record of
 * the first is still in the store: the new one says 421 and must not be taken
 * for a failure that may have run.
 */
START_TEST(a_reused_address_runs_nothing)
{
	char record[256];

	snprintf(record, sizeof(record),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"a\",\"slots\":8,\"state\":\"ready\"}",
		 edge.workers[0].port);
	edge_put(&edge, "servers/gone", record);
	edge_remove(&edge, "servers/w0");
	process_sleep_ms(400);
	ck_assert_int_eq(status_of(EDGE_UNSAFE, NULL), 503);
	ck_assert_int_eq(runs(), 0);
	edge_list_worker(&edge, 0, "ready");
	process_sleep_ms(400);
	ck_assert_int_eq(status_of(EDGE_UNSAFE, NULL), 200);
}
END_TEST

/* Guards against slots taken for busy by requests that get no answer. */
START_TEST(unanswered_requests_do_not_keep_others_out)
{
	enum { UNANSWERED = 12 }; /* more than the worker's slots and reserve */
	int fds[UNANSWERED];
	client_reply_t reply;

	/* so that the host knows how long answers take */
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(status_of(EDGE_UNSAFE, NULL), 200);
	for (int i = 0; i < UNANSWERED; i++) {
		fds[i] = edge_connect(&edge, 0);
		edge_send(fds[i], "POST " EDGE_UNSAFE " HTTP/1.1\r\n"
				  "Host: t.example\r\nRequest-Id: a\r\n"
				  "Deadline-Ms: 5000\r\nKey: " EDGE_KEY "\r\n"
				  "Content-Length: 0\r\n"
				  "Test-Behave: hang\r\n\r\n");
	}
	process_sleep_ms(100);
	reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, NULL);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_int_lt(reply.total_us, 1000000);
	client_reply_finish(&reply);
	for (int i = 0; i < UNANSWERED; i++)
		close(fds[i]);
}
END_TEST

/*
 * A caller gives up, before the answer or in the middle of a stream. The engine
 * would go on for seconds for nobody, and others would wait for its place.
 */
START_TEST(a_caller_that_leaves_frees_the_worker)
{
	int fd = edge_connect(&edge, 0);

	edge_send(fd, "GET " EDGE_ONCE " HTTP/1.1\r\nHost: t.example\r\n"
		      "Request-Id: a\r\nDeadline-Ms: 5000\r\nKey: " EDGE_KEY
		      "\r\nTest-Events: 400\r\n\r\n");
	ck_assert(edge_expect(fd, "event 2", 2000));
	ck_assert_int_eq(edge_worker(&edge, 0, "open"), 1);
	close(fd);
	process_sleep_ms(300);
	ck_assert_int_eq(edge_worker(&edge, 0, "open"), 0);
}
END_TEST

/*
 * A stream's head has gone out to the caller, and the worker resets before the
 * first event. A failure answered then would stand, with a head of its own, in
 * the middle of the first answer: the caller cannot read either.
 */
START_TEST(an_answer_that_has_begun_gets_no_second_head)
{
	int fd = edge_connect(&edge, 0);

	edge_send(fd, "GET " EDGE_ONCE " HTTP/1.1\r\nHost: t.example\r\n"
		      "Request-Id: a\r\nDeadline-Ms: 3000\r\nKey: " EDGE_KEY
		      "\r\nTest-Behave: mute\r\n\r\n");
	ck_assert(edge_expect(fd, "HTTP/1.1 200 ", 1000));
	ck_assert(!edge_expect(fd, "HTTP/1.1 ", 2000));
	close(fd);
	ck_assert_int_eq(runs(), 1);
}
END_TEST

/*
 * A caller hides a second request in the body of the first, or states two
 * lengths. If the worker got other bytes than the caller's, somebody's request
 * would run under another's name.
 */
static const char *const smuggled[] = {
	"POST " EDGE_UNSAFE " HTTP/1.1\r\nHost: t.example\r\nRequest-Id: a\r\n"
	"Key: " EDGE_KEY "\r\nContent-Length: 4\r\nContent-Length: 40\r\n\r\n"
	"bodyGET " EDGE_UNSAFE " HTTP/1.1\r\n\r\n",
	"POST " EDGE_UNSAFE " HTTP/1.1\r\nHost: t.example\r\nRequest-Id: a\r\n"
	"Key: " EDGE_KEY "\r\nContent-Length: 4\r\n"
	"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	"GET " EDGE_UNSAFE " HTTP/1.1\r\n\r\n",
	"POST " EDGE_UNSAFE " HTTP/1.1\r\nHost: t.example\r\nRequest-Id: a\r\n"
	"Key: " EDGE_KEY "\r\nTransfer-Encoding: chunked, gzip\r\n\r\nx\r\n",
	"GET " EDGE_UNSAFE " HTTP/1.1\r\nHost: t.example\r\n"
	"Request-Id: a\r\nKey : " EDGE_KEY "\r\n\r\n",
	"\x16\x03\x01 no request at all\r\n\r\n",
};

START_TEST(a_smuggled_request_is_refused_and_runs_nowhere)
{
	int fd = edge_connect(&edge, 0);

	edge_send(fd, smuggled[_i]);
	ck_assert(edge_expect(fd, "HTTP/1.1 400 ", 2000));
	close(fd);
	ck_assert_int_eq(runs(), 0);
}
END_TEST

START_TEST(requests_sent_ahead_are_answered_in_turn)
{
	int fd = edge_connect(&edge, 0);

	edge_send(fd, "GET " EDGE_SAFE " HTTP/1.1\r\nHost: t.example\r\n"
		      "Request-Id: first\r\nKey: " EDGE_KEY "\r\n\r\n"
		      "POST " EDGE_SAFE " HTTP/1.1\r\nHost: t.example\r\n"
		      "Request-Id: second\r\nKey: " EDGE_KEY
		      "\r\nContent-Length: 3\r\n\r\nabc");
	ck_assert(edge_expect(fd, "to 3 bytes", 2000));
	close(fd);
	ck_assert_int_eq(runs(), 2);
}
END_TEST

START_TEST(a_body_at_the_limit_passes_and_one_over_does_not)
{
	enum { LIMIT = 100000 };
	char *body = malloc(LIMIT + 2);
	client_reply_t reply;

	memset(body, 'x', LIMIT + 1);
	body[LIMIT + 1] = '\0';
	reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, body);
	ck_assert_int_eq(reply.status, 413);
	client_reply_finish(&reply);
	body[LIMIT] = '\0';
	reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, body);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_str_eq(reply.body, "answer of w0 to 100000 bytes");
	client_reply_finish(&reply);
	free(body);
	ck_assert_int_eq(runs(), 1);
}
END_TEST

START_TEST(heads_are_bounded_in_size_and_time)
{
	char big[6000];
	int fd = edge_connect(&edge, 0);

	memset(big, 'x', sizeof(big) - 1);
	big[sizeof(big) - 1] = '\0';
	edge_send(fd, "GET / HTTP/1.1\r\nX-Big: ");
	edge_send(fd, big);
	edge_send(fd, "\r\n\r\n");
	ck_assert(edge_expect(fd, "HTTP/1.1 431 ", 2000));
	close(fd);
	fd = edge_connect(&edge, 0);
	edge_send(fd, "GET / HTTP/1.1\r\nX-Slow: ");
	ck_assert(edge_expect(fd, "HTTP/1.1 408 ", 3000));
	close(fd);
}
END_TEST

/*
 * A caller sets fields that only the system may set. Passed on, they would let
 * it reserve an engine, or pose as another account.
 */
START_TEST(only_the_system_sets_its_own_fields)
{
	client_call_t tell = { .method = "GET",
			       .port = edge.workers[0].port,
			       .path = "/test/runs" };
	client_reply_t reply;
	int fd = edge_connect(&edge, 0);

	edge_send(fd, "GET " EDGE_SAFE " HTTP/1.1\r\nHost: t.example\r\n"
		      "Request-Id: a\r\nKey: " EDGE_KEY "\r\nTenant: other\r\n"
		      "Hold: 7\r\nPin-Ms: 9\r\nKv-From: x\r\nX-Mine: kept\r\n"
		      "Expect-Instance: nobody\r\nDeadline-Ms: 4000\r\n\r\n");
	ck_assert(edge_expect(fd, "answer of w0", 2000));
	close(fd);
	ck_assert_int_eq(client_call(&reply, &tell), 0);
	ck_assert_ptr_nonnull(strstr(reply.body, "Tenant: account-one"));
	ck_assert_ptr_nonnull(strstr(reply.body, "X-Mine: kept"));
	ck_assert_ptr_nonnull(strstr(reply.body, "Expect-Instance: w0"));
	ck_assert_ptr_null(strstr(reply.body, EDGE_KEY));
	ck_assert_ptr_null(strstr(reply.body, "other"));
	ck_assert_ptr_null(strstr(reply.body, "Hold"));
	ck_assert_ptr_null(strstr(reply.body, "Pin-Ms"));
	ck_assert_ptr_null(strstr(reply.body, "Kv-From"));
	client_reply_finish(&reply);
}
END_TEST

/*
 * One caller reads its stream slowly or not at all. Its bytes pile up only to a
 * bound, and the streams of others flow on.
 */
START_TEST(a_slow_reader_stops_nobody_else)
{
	int small = 4096;
	int slow = edge_connect(&edge, 0);
	client_reply_t reply;

	setsockopt(slow, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	edge_send(slow, "GET " EDGE_ONCE " HTTP/1.1\r\nHost: t.example\r\n"
			"Request-Id: slow\r\nKey: " EDGE_KEY
			"\r\nTest-Events: 5000\r\nTest-Gap-Ms: 0\r\n\r\n");
	for (int i = 0; i < 5; i++) {
		reply = edge_ask(&edge, 0, EDGE_ONCE, NULL, NULL);
		ck_assert_int_eq(reply.status, 200);
		ck_assert(reply.whole);
		ck_assert_int_lt(reply.total_us, 1000000);
		client_reply_finish(&reply);
	}
	close(slow);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge");
	TCase *one = tcase_create("one worker");
	TCase *two = tcase_create("two workers");

	tcase_set_timeout(one, 60);
	tcase_set_timeout(two, 60);
	tcase_add_checked_fixture(one, setup_one, teardown);
	tcase_add_checked_fixture(two, setup_two, teardown);
	tcase_add_test(one, answers_and_streams_come_back_whole);
	tcase_add_loop_test(one, a_misbehaving_worker_never_makes_the_host_lie,
			    0,
			    sizeof(misbehaviours) / sizeof(misbehaviours[0]));
	tcase_add_test(one, a_reused_address_runs_nothing);
	tcase_add_test(one, unanswered_requests_do_not_keep_others_out);
	tcase_add_test(one, a_caller_that_leaves_frees_the_worker);
	tcase_add_test(one, an_answer_that_has_begun_gets_no_second_head);
	tcase_add_loop_test(one, a_smuggled_request_is_refused_and_runs_nowhere,
			    0, sizeof(smuggled) / sizeof(smuggled[0]));
	tcase_add_test(one, requests_sent_ahead_are_answered_in_turn);
	tcase_add_test(one, a_body_at_the_limit_passes_and_one_over_does_not);
	tcase_add_test(one, heads_are_bounded_in_size_and_time);
	tcase_add_test(one, only_the_system_sets_its_own_fields);
	tcase_add_test(one, a_slow_reader_stops_nobody_else);
	tcase_add_loop_test(two, another_worker_takes_over_what_may_be_repeated,
			    0, sizeof(repeats) / sizeof(repeats[0]));
	suite_add_tcase(suite, one);
	suite_add_tcase(suite, two);
	return process_run_suite(suite);
}
