/*
 * Requests with one part in their prompts that crashes the endpoint which begins
 * their answer, beside sound requests of the same account with the same other
 * parts. Endpoints that crashed are back after some time.
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
	POISON_CALLERS = 3,
	SOUND_PAUSE_MS = 20,
	POISON_PAUSE_MS = 300, /* of each caller */
	BEFORE_MS = 2000, /* sound requests only */
	CRASHING_MS = 9000,
	DOWN_MS = 700, /* of a worker that crashed */
	/* Allowed: crashes at first, time until the part is found, crashes after that. */
	CRASHES_FREE = 5,
	FOUND_MS = 3000,
	CRASHES_AFTER = 3,
	CALLS_MAX = 4000 /* of one caller */
};

typedef struct call_record {
	int64_t sent_ms;
	long status;
} call_record_t;

typedef struct caller {
	pthread_t thread;
	uint32_t number;
	bool poison;
	uint32_t count;
	call_record_t calls[CALLS_MAX];
} caller_t;

static const struct {
	const char *name;
	const char *poison_path;
	const char *poison_parts; /* without the last */
	uint32_t hosts;
	bool restart; /* of a host */
	bool late; /* in the answer */
} cases[] = {
	{ "a part in the middle", EDGE_ONCE, "5c1e07a2:60,dead0001:40", HOSTS,
	  false, false },
	{ "resumable streams", EDGE_STREAM, "5c1e07a2:60,dead0001:40", HOSTS,
	  false, false },
	{ "the first part", EDGE_ONCE, "dead0001:60", HOSTS, false, false },
	{ "two such parts, and a host that starts again", EDGE_ONCE,
	  "5c1e07a2:60,dead0001:40,dead0002:9", HOSTS, true, false },
	{ "listeners that outlive the connections", EDGE_STREAM,
	  "5c1e07a2:60,dead5001:40", HOSTS, false, false },
	{ "many hosts", EDGE_ONCE, "5c1e07a2:60,dead0001:40", MANY_HOSTS, false,
	  false },
	{ "a host alone", EDGE_STREAM, "5c1e07a2:60,dead0001:40", 1, false,
	  false },
	{ "late in resumable streams", EDGE_STREAM, "5c1e07a2:60,dead7001:40",
	  HOSTS, false, true },
	{ "late in streams of one attempt", EDGE_ONCE,
	  "5c1e07a2:60,dead7001:40", HOSTS, false, true },
};

static edge_t edge;
static caller_t callers[SOUND_CALLERS + POISON_CALLERS];
static volatile bool stopping;
static volatile bool crashing;
static uint32_t case_number;
static crash_watch_t watch;

static void call_once(caller_t *caller)
{
	call_record_t *record = &caller->calls[caller->count];
	uint32_t host =
		(caller->number + caller->count) % cases[case_number].hosts;
	char id[32];
	char parts[128];
	bool is_late = caller->poison && cases[case_number].late;
	const char *events = is_late ? "100" : "5";
	const char *gap_ms = is_late ? "25" : "10";
	client_call_t call = { .method = "GET",
			       .port = edge.hosts[host].callers,
			       .path = caller->poison
					       ? cases[case_number].poison_path
				       : caller->count % 2 ? EDGE_ONCE
							   : EDGE_STREAM,
			       .headers = { { "Host", "t.example" },
					    { "Request-Id", id },
					    { "Deadline-Ms", "2000" },
					    { "Key", EDGE_KEY },
					    { "Prefix-Hash", parts },
					    { "Test-Events", events },
					    { "Test-Gap-Ms", gap_ms } },
			       .timeout_s = 4 };
	client_reply_t reply;

	snprintf(id, sizeof(id), "%s-%u-%u", caller->poison ? "bad" : "good",
		 caller->number, caller->count);
	snprintf(parts, sizeof(parts), "%s,%x%04x:100",
		 caller->poison ? cases[case_number].poison_parts
				: "5c1e07a2:60",
		 caller->number + 1, caller->count);
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
		if (!caller->poison || crashing)
			call_once(caller);
		process_sleep_ms(caller->poison ? POISON_PAUSE_MS
						: SOUND_PAUSE_MS);
	}
	return NULL;
}

static void start_callers(void)
{
	memset(callers, 0, sizeof(callers));
	stopping = false;
	crashing = false;
	watch = (crash_watch_t){ .edge = &edge };
	for (uint32_t i = 0; i < SOUND_CALLERS + POISON_CALLERS; i++) {
		callers[i].number = i;
		callers[i].poison = i >= SOUND_CALLERS;
		ck_assert_int_eq(pthread_create(&callers[i].thread, NULL,
						run_caller, &callers[i]),
				 0);
	}
}

static void stop_callers(void)
{
	stopping = true;
	for (uint32_t i = 0; i < SOUND_CALLERS + POISON_CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
}

static void keep_workers_for(int ms)
{
	crash_watch_run(&watch, DOWN_MS, ms);
}

/* Crashes that the rules charge. */
static uint32_t count_charged(void)
{
	return crash_watch_late(&watch, CRASHES_FREE, FOUND_MS);
}

/* Share of sound requests in a span that were served at the first attempt. */
static double served_share(int64_t from_ms, int64_t to_ms)
{
	uint32_t sent = 0;
	uint32_t served = 0;

	for (uint32_t i = 0; i < SOUND_CALLERS; i++)
		for (uint32_t j = 0; j < callers[i].count; j++) {
			const call_record_t *record = &callers[i].calls[j];

			if (record->sent_ms < from_ms ||
			    record->sent_ms >= to_ms)
				continue;
			sent++;
			served += record->status == 200;
		}
	ck_assert_uint_ge(sent, 20);
	return (double)served / sent;
}

/* Requests of one kind of caller, sent from a time on, with this status. */
static uint32_t count_status(bool poison, int64_t from_ms, long status)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < SOUND_CALLERS + POISON_CALLERS; i++)
		for (uint32_t j = 0; j < callers[i].count; j++) {
			const call_record_t *record = &callers[i].calls[j];

			count += callers[i].poison == poison &&
				 record->sent_ms >= from_ms &&
				 record->status == status;
		}
	return count;
}

/* Requests with one part crash endpoint after endpoint, on and on. */
START_TEST(a_crashing_part_stops_reaching_endpoints_and_nobody_else_pays)
{
	int64_t begin;
	int64_t end;
	double before;
	double after;

	case_number = (uint32_t)_i;
	edge_start_engines(&edge, cases[_i].hosts, WORKERS);
	start_callers();
	begin = process_now_ms();
	keep_workers_for(BEFORE_MS);
	crashing = true;
	keep_workers_for(CRASHING_MS / 3);
	if (cases[_i].restart) {
		process_kill(&edge.hosts[1].process);
		edge_start_host(&edge, 1);
	}
	keep_workers_for(CRASHING_MS - CRASHING_MS / 3);
	end = process_now_ms();
	stop_callers();
	before = served_share(begin, begin + BEFORE_MS);
	ck_assert_uint_gt(watch.count, 0);
	after = served_share(watch.at_ms[0] + FOUND_MS, end);
	fprintf(stderr,
		"%s: %u crashes, %u later than %d ms after the fifth; sound "
		"requests served %.2f before, %.2f after\n",
		cases[_i].name, watch.count, count_charged(), FOUND_MS, before,
		after);
	ck_assert_uint_le(count_charged(), CRASHES_AFTER);
	ck_assert(after >= before / 2);
	ck_assert_uint_eq(count_status(false, begin, 400), 0);
	ck_assert_uint_gt(count_status(true, watch.at_ms[0] + FOUND_MS, 400),
			  0);
	/* no "come again" for what would be refused again */
	ck_assert(cases[_i].restart ||
		  !count_status(true, watch.at_ms[0] + FOUND_MS, 503));
	edge_stop(&edge);
}
END_TEST

static long call_page(uint32_t host, const char *method, const char *path,
		      const char *expected)
{
	client_call_t call = { .method = method,
			       .port = edge.hosts[host].health,
			       .path = path };
	client_reply_t reply;
	long status;

	client_call(&reply, &call);
	status = reply.status;
	ck_assert_msg(!expected || strstr(reply.body, expected), "%s",
		      reply.body);
	client_reply_finish(&reply);
	return status;
}

static bool wait_held(uint32_t host, long parts)
{
	int64_t until = process_now_ms() + FOUND_MS;

	while (process_now_ms() < until) {
		if (edge_metric(&edge, host, "pimento_quarantine_parts_held") ==
		    parts)
			return true;
		keep_workers_for(20);
	}
	return false;
}

/* A part that was repaired stays held until its next trial. */
START_TEST(operators_see_and_release_a_part)
{
	case_number = 0;
	edge_start_engines(&edge, HOSTS, WORKERS);
	start_callers();
	crashing = true;
	for (uint32_t host = 0; host < HOSTS; host++)
		ck_assert(wait_held(host, 1));
	crashing = false;
	ck_assert_int_eq(call_page(0, "GET", "/quarantine", "dead0001 held"),
			 200);
	ck_assert_int_eq(call_page(0, "DELETE", "/quarantine/dead", NULL), 404);
	ck_assert_int_eq(call_page(0, "DELETE", "/quarantine/x", NULL), 400);
	ck_assert_int_eq(call_page(0, "POST", "/quarantine", NULL), 405);
	ck_assert_int_eq(call_page(1, "DELETE", "/quarantine/dead0001", NULL),
			 200);
	for (uint32_t host = 0; host < HOSTS; host++)
		ck_assert(wait_held(host, 0));
	stop_callers();
	edge_stop(&edge);
}
END_TEST

/* A host that starts sends what the others have found to crash endpoints. */
START_TEST(a_host_that_starts_learns_of_held_parts_before_it_serves)
{
	case_number = 0;
	edge_start_engines(&edge, HOSTS, WORKERS);
	start_callers();
	crashing = true;
	ck_assert(wait_held(0, 1));
	keep_workers_for(FOUND_MS); /* the first trial fails */
	stop_callers();
	callers[0] = (caller_t){ .number = 1, .poison = true };
	for (int i = 0; i < 5; i++) {
		uint32_t before = watch.count;

		process_kill(&edge.hosts[1].process);
		edge_start_host(&edge, 1);
		ck_assert(edge_wait_health(&edge, 1, 200, FOUND_MS));
		callers[0].count = 0;
		call_once(&callers[0]);
		crash_watch_step(&watch, DOWN_MS);
		ck_assert_int_eq(callers[0].calls[0].status, 400);
		ck_assert_uint_eq(watch.count, before);
	}
	edge_stop(&edge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("crashing prompts");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(
		tests,
		a_crashing_part_stops_reaching_endpoints_and_nobody_else_pays,
		0, sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tests, operators_see_and_release_a_part);
	tcase_add_test(
		tests,
		a_host_that_starts_learns_of_held_parts_before_it_serves);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
