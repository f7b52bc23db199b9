/*
 * Answers of endpoints that go on without an end that a reader could use. They
 * cost their own request at most: the host serves everybody else, and another
 * endpoint may serve what may be repeated.
 */

#include "../standin/scripted.h"
#include "edge.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	READY_MS = 5000,
	LEARN_MS = 300,
	ENDLESS_BYTES = 4000000, /* holds more than the largest event */
	WATCHED_MS = 3000,
	/* an event that never ends, slowly */
	DRIBBLE_BYTES = 100,
	DRIBBLE_MS = 50,
	BUSY_MS = 400, /* an endpoint's usual time to the first event */
	SILENCE_MS = 2000, /* longer than four of the route's longest pauses */
	STUCK_MS = 4000,
	EVENT_PART = 10, /* bytes of the event that the silence cuts */
	HELD_UP_MS = 500 /* CONFIG: an answer is due this long after its time */
};

#define MARKS "Request-Id: id-of-a-test\r\nResponse-Seal: w.seal\r\n"
#define EVENTS_HEAD                                                       \
	"HTTP/1.1 200 OK\r\n" MARKS "Content-Type: text/event-stream\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "15\r\nid: " n "\ndata: event " n "\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define PLAIN "HTTP/1.1 200 OK\r\n" MARKS "Content-Length: 8\r\n\r\nanswered"

static edge_t edge;
static scripted_t server;
static char *endless;

/* Events that the caller has before the one that does not end. */
#define BEGINNING EVENTS_HEAD EVENT("1") EVENT("2")

static void list_server(const char *key)
{
	char record[256];

	snprintf(record, sizeof(record),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":1}",
		 server.port);
	edge_put(&edge, key, record);
}

static void answer_with(const char *bytes)
{
	const scripted_answer_t answer = { .bytes = bytes };

	scripted_set(&server, &answer, 1);
}

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

/* The beginning of a stream, and then one line in each chunk. */
static void fill_endless(const char *chunk)
{
	size_t length = strlen(chunk);
	size_t at = strlen(BEGINNING);

	memcpy(endless, BEGINNING, at);
	for (; at + length < ENDLESS_BYTES; at += length)
		memcpy(endless + at, chunk, length);
	endless[at] = '\0';
}

static void setup(void)
{
	endless = malloc(ENDLESS_BYTES);
	ck_assert_ptr_nonnull(endless);
	ck_assert_int_eq(scripted_init(&server, INADDR_LOOPBACK, 0, NULL), 0);
	edge_start(&edge, 1, 1);
	list_server("servers/s0");
	list_server("servers/s1");
	edge_remove(&edge, "servers/w0");
	process_sleep_ms(LEARN_MS);
	ck_assert(wait_served());
}

static void teardown(void)
{
	edge_stop(&edge);
	scripted_finish(&server);
	free(endless);
}

static const char *const chunks[] = {
	"5\r\nd: 0\n\r\n",  "6\r\nd: 0\r\n\r\n", "2\r\n:\n\r\n",
	"6\r\nid: 9\n\r\n", "1\r\nx\r\n",
};

#define CHUNKS ((int)(sizeof(chunks) / sizeof(chunks[0])))

/* Guards against one endpoint's answer that keeps its host from all others. */
START_TEST(an_event_without_an_end_holds_up_nobody)
{
	int64_t until;
	int caller;

	fill_endless(chunks[_i]);
	answer_with(endless);
	caller = edge_connect(&edge, 0);
	edge_send(caller,
		  "GET " EDGE_ONCE " HTTP/1.1\r\nHost: t.example\r\n"
		  "Request-Id: id-of-a-test\r\nKey: " EDGE_KEY "\r\n\r\n");
	until = process_now_ms() + WATCHED_MS;
	while (process_now_ms() < until) {
		int64_t begun = process_now_ms();

		ck_assert_int_eq(edge_health(&edge, 0), 200);
		ck_assert_int_lt(process_now_ms() - begun, HELD_UP_MS);
	}
	ck_assert_uint_eq(scripted_requests(&server), 1);
	close(caller);
}
END_TEST

#define REST EVENTS_HEAD EVENT("3") EVENT("4") EVENT("5") LAST_CHUNK

/* Guards against a request that is lost though another endpoint may serve it. */
START_TEST(another_endpoint_goes_on_with_what_may_be_resumed)
{
	const scripted_answer_t answers[] = { { .bytes = endless },
					      { .bytes = REST } };
	client_reply_t reply;

	fill_endless(chunks[_i]);
	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_STREAM, NULL, NULL);
	ck_assert_uint_eq(scripted_requests(&server), 2);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_msg(reply.whole, "%s", reply.body);
	ck_assert_ptr_nonnull(strstr(reply.body, "event 2\n\nid: 3\n"));
	ck_assert_ptr_nonnull(strstr(reply.body, "event 5\n\n"));
	client_reply_finish(&reply);
}
END_TEST

/*
 * Guards against a search for another endpoint that ends whenever a byte comes
 * from the silent one, though it completes no event.
 */
START_TEST(bytes_without_an_event_end_no_search)
{
	const scripted_answer_t answers[] = { { .bytes = endless,
						.split = DRIBBLE_BYTES,
						.piece_ms = DRIBBLE_MS },
					      { .bytes = REST,
						.delay_ms = BUSY_MS } };
	client_reply_t reply;

	fill_endless(chunks[_i]);
	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_STREAM, NULL, NULL);
	ck_assert_uint_eq(scripted_requests(&server), 2);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_msg(reply.whole, "%s", reply.body);
	ck_assert_ptr_nonnull(strstr(reply.body, "event 2\n\nid: 3\n"));
	client_reply_finish(&reply);
}
END_TEST

/* Guards against a silent endpoint that delivers and is cancelled all the same. */
START_TEST(a_silent_endpoint_that_delivers_is_kept)
{
	const scripted_answer_t answers[] = {
		{ .bytes = EVENTS_HEAD EVENT("1") EVENT("2") EVENT("3")
			  EVENT("4") EVENT("5") LAST_CHUNK,
		  .split = sizeof(BEGINNING) - 1 + EVENT_PART,
		  .piece_ms = SILENCE_MS },
		{ .bytes = REST, .delay_ms = STUCK_MS }
	};
	client_reply_t reply;

	scripted_set(&server, answers, 2);
	reply = edge_ask(&edge, 0, EDGE_STREAM, NULL, NULL);
	ck_assert_uint_eq(scripted_requests(&server), 2);
	ck_assert_msg(reply.whole, "%s", reply.body);
	ck_assert_ptr_nonnull(strstr(reply.body, "event 2\n\nid: 3\n"));
	ck_assert_ptr_nonnull(strstr(reply.body, "event 5\n\n"));
	client_reply_finish(&reply);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("endless_answers");
	TCase *direct = tcase_create("direct");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(direct, setup, teardown);
	tcase_set_timeout(direct, 60);
	tcase_add_loop_test(direct, an_event_without_an_end_holds_up_nobody, 0,
			    CHUNKS);
	tcase_add_loop_test(direct,
			    another_endpoint_goes_on_with_what_may_be_resumed,
			    0, CHUNKS);
	tcase_add_loop_test(direct, bytes_without_an_event_end_no_search, 0,
			    CHUNKS);
	tcase_add_test(direct, a_silent_endpoint_that_delivers_is_kept);
	suite_add_tcase(suite, direct);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
