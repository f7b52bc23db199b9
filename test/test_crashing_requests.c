/*
 * A request that crashes the endpoint which runs it, and is sent again by its
 * client: each attempt has an id of its own and goes to the next host. Sound
 * requests beside it. Endpoints that crashed are back after some time.
 */

#include "crash_watch.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

enum {
	HOSTS = 3,
	MANY_HOSTS = 24,
	WORKERS = 4,
	SOUND_CALLERS = 6,
	CRASHING_CALLERS_MAX = 4,
	SOUND_PAUSE_MS = 20,
	BEFORE_MS = 1500, /* sound requests only */
	CRASHING_MS = 6000,
	DOWN_MS = 700, /* of a worker that crashed */
	ENDS_ALLOWED = 3,
	/* From an attempt's arrival at a worker to the crash, with some slack. */
	UNDER_WAY_MS = 100,
	UNDER_WAY_LATE_MS = 1500, /* of a crash at the 30th event */
	CALLS_MAX = 4000 /* of one caller */
};

typedef struct call_record {
	int64_t sent_ms;
	long status;
} call_record_t;

typedef struct caller {
	pthread_t thread;
	uint32_t number;
	bool crashing;
	uint32_t count;
	call_record_t calls[CALLS_MAX];
} caller_t;

static const struct {
	const char *name;
	const char *method;
	const char *path;
	const char *parts; /* NULL: none */
	const char *body; /* NULL: none */
	uint32_t hosts;
	uint32_t copies; /* that are sent at once */
	uint32_t pause_ms; /* between the attempts of one caller */
	bool late; /* the crash */
	bool restart; /* of a host, again and again */
} cases[] = {
	{ "a resumable stream", "GET", EDGE_STREAM, "5c1e07a2:60,beef0001:40",
	  NULL, HOSTS, 1, 5, false, false },
	{ "a stream of one attempt", "GET", EDGE_ONCE,
	  "5c1e07a2:60,beef0001:40", NULL, HOSTS, 1, 5, false, false },
	{ "a prompt of one part", "GET", EDGE_ONCE, "beef0001:40", NULL, HOSTS,
	  1, 5, false, false },
	{ "a plain request that may be repeated", "GET", "/safe/crash/1", NULL,
	  NULL, HOSTS, 1, 5, false, false },
	{ "a plain request with a body", "POST", "/unsafe/crash", NULL,
	  "order 17", HOSTS, 1, 5, false, false },
	{ "copies at once", "GET", EDGE_STREAM, "5c1e07a2:60,beef0001:40", NULL,
	  HOSTS, CRASHING_CALLERS_MAX, 5, false, false },
	{ "many hosts", "GET", EDGE_STREAM, "5c1e07a2:60,beef0001:40", NULL,
	  MANY_HOSTS, 1, 5, false, false },
	{ "hosts that start again", "GET", EDGE_STREAM,
	  "5c1e07a2:60,beef0001:40", NULL, HOSTS, 1, 50, false, true },
	{ "a crash late in a resumable stream", "GET", EDGE_STREAM,
	  "5c1e07a2:60,beef7001:40", NULL, HOSTS, 1, 5, true, false },
	{ "a crash late in a stream of one attempt", "GET", EDGE_ONCE,
	  "5c1e07a2:60,beef7001:40", NULL, HOSTS, 1, 5, true, false },
	{ "a host alone", "GET", EDGE_STREAM, "5c1e07a2:60,beef0001:40", NULL,
	  1, 1, 5, false, false },
};

static edge_t edge;
static caller_t callers[SOUND_CALLERS + CRASHING_CALLERS_MAX];
static volatile bool stopping;
static volatile bool crashing;
static uint32_t case_number;
static crash_watch_t watch;

static const char *sound_path(uint32_t count)
{
	static const char *const paths[] = { EDGE_ONCE, EDGE_STREAM,
					     EDGE_SAFE };

	return paths[count % 3];
}

static void call_once(caller_t *caller)
{
	call_record_t *record = &caller->calls[caller->count];
	uint32_t host =
		(caller->number + caller->count) % cases[case_number].hosts;
	char id[32];
	char parts[128];
	client_call_t call = {
		.method = caller->crashing ? cases[case_number].method : "GET",
		.port = edge.hosts[host].callers,
		.path = caller->crashing ? cases[case_number].path
					 : sound_path(caller->count),
		.headers = { { "Host", "t.example" },
			     { "Request-Id", id },
			     { "Deadline-Ms", "3000" },
			     { "Key", EDGE_KEY },
			     { "Test-Events",
			       caller->crashing && cases[case_number].late
				       ? "200"
				       : "5" },
			     { "Test-Gap-Ms",
			       caller->crashing && cases[case_number].late
				       ? "25"
				       : "10" },
			     { "Prefix-Hash", parts } },
		.body = caller->crashing ? cases[case_number].body : NULL,
		.timeout_s = 5
	};
	client_reply_t reply;

	snprintf(id, sizeof(id), "%s-%u-%u", caller->crashing ? "bad" : "good",
		 caller->number, caller->count);
	snprintf(parts, sizeof(parts), "5c1e07a2:60,%x%04x:100",
		 caller->number + 1, caller->count);
	if (caller->crashing && cases[case_number].parts)
		snprintf(parts, sizeof(parts), "%s", cases[case_number].parts);
	else if (caller->crashing)
		call.headers[6].name = NULL;
	record->sent_ms = process_now_ms();
	client_call(&reply, &call);
	record->status = reply.status;
	client_reply_finish(&reply);
	caller->count++;
}

static void *run_caller(void *data)
{
	caller_t *caller = data;

	while (!stopping && caller->count < CALLS_MAX) {
		if (!caller->crashing || crashing)
			call_once(caller);
		process_sleep_ms(caller->crashing
					 ? (int)cases[case_number].pause_ms
					 : SOUND_PAUSE_MS);
	}
	return NULL;
}

static uint32_t caller_count(void)
{
	return SOUND_CALLERS + cases[case_number].copies;
}

static void start_callers(void)
{
	memset(callers, 0, sizeof(callers));
	stopping = false;
	crashing = false;
	watch = (crash_watch_t){ .edge = &edge };
	for (uint32_t i = 0; i < caller_count(); i++) {
		callers[i].number = i;
		callers[i].crashing = i >= SOUND_CALLERS;
		ck_assert_int_eq(pthread_create(&callers[i].thread, NULL,
						run_caller, &callers[i]),
				 0);
	}
}

static void stop_callers(void)
{
	stopping = true;
	for (uint32_t i = 0; i < caller_count(); i++)
		pthread_join(callers[i].thread, NULL);
}

/* Requests of one kind with this status; -1: all. */
static uint32_t count_calls(bool of_crashing, int64_t from_ms, long status)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < caller_count(); i++)
		for (uint32_t j = 0; j < callers[i].count; j++) {
			const call_record_t *record = &callers[i].calls[j];

			count += callers[i].crashing == of_crashing &&
				 record->sent_ms >= from_ms &&
				 (status < 0 || record->status == status);
		}
	return count;
}

static void keep_workers(void)
{
	int64_t until = process_now_ms() + CRASHING_MS;
	uint32_t host = 0;

	while (process_now_ms() < until) {
		crash_watch_run(&watch, DOWN_MS, CRASHING_MS / 6);
		if (!cases[case_number].restart)
			continue;
		host = (host + 1) % HOSTS;
		process_kill(&edge.hosts[host].process);
		edge_start_host(&edge, host);
	}
}

/* A request under which endpoint after endpoint ends, at whichever host. */
START_TEST(a_request_under_which_three_endpoints_ended_is_sent_to_no_other)
{
	int under_way;
	int64_t begin;
	uint32_t late;
	double served;

	case_number = (uint32_t)_i;
	under_way = cases[_i].late ? UNDER_WAY_LATE_MS : UNDER_WAY_MS;
	edge_start_engines(&edge, cases[_i].hosts, WORKERS);
	start_callers();
	crash_watch_run(&watch, DOWN_MS, BEFORE_MS);
	ck_assert_uint_eq(watch.count, 0);
	begin = process_now_ms();
	crashing = true;
	keep_workers();
	stop_callers();
	late = crash_watch_late(&watch, ENDS_ALLOWED, under_way);
	served = (double)count_calls(false, begin, 200) /
		 count_calls(false, begin, -1);
	fprintf(stderr,
		"%s: %u crashes, %u later than %d ms after the third; %u "
		"attempts of the client, %u with 400; sound requests served "
		"%.2f, %u with 400\n",
		cases[_i].name, watch.count, late, under_way,
		count_calls(true, begin, -1), count_calls(true, begin, 400),
		served, count_calls(false, begin, 400));
	ck_assert_uint_gt(watch.count, 0);
	ck_assert_uint_eq(late, 0);
	if (cases[_i].copies == 1)
		ck_assert_uint_le(watch.count, ENDS_ALLOWED);
	ck_assert_uint_gt(count_calls(true, begin, 400), 0);
	ck_assert_uint_eq(count_calls(false, begin, 400), 0);
	ck_assert(served >= 0.5);
	edge_stop(&edge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("crashing requests");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(
		tests,
		a_request_under_which_three_endpoints_ended_is_sent_to_no_other,
		0, sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
