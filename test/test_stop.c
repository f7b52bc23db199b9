/* Planned stops of a daemon that holds requests. */

#include "fleet.h"

#include "../standin/answer.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define PROMPT "why was my box late?"
#define TOKENS 300
#define CALLERS 6
/* The settings' stop_seconds is 15, and some more for the ending itself. */
#define LIMIT_MS 25000

static fleet_t fleet;

typedef struct caller {
	pthread_t thread;
	bool keyed;
	client_reply_t reply;
} caller_t;

static void *run_caller(void *data)
{
	caller_t *caller = data;
	client_call_t call = fleet_completion(
		fleet.http_port[0],
		"{\"model\":\"planner\",\"prompt\":\"" PROMPT "\","
		"\"max_tokens\":300,\"stream\":true}");

	call.timeout_s = 60;
	client_call(&caller->reply, &call);
	return NULL;
}

static void start_callers(caller_t callers[CALLERS])
{
	for (int i = 0; i < CALLERS; i++)
		ck_assert_int_eq(pthread_create(&callers[i].thread, NULL,
						run_caller, &callers[i]),
				 0);
}

static void wait_for_runs(uint32_t started)
{
	int64_t until = process_now_ms() + 10000;
	fleet_runs_t runs = { 0 };

	while (runs.started < started) {
		ck_assert_int_lt(process_now_ms(), until);
		process_sleep_ms(20);
		ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	}
}

static void check_whole(const client_reply_t *reply)
{
	client_answer_t answer;
	size_t length;
	char *whole = answer_whole(answer_seed(PROMPT, strlen(PROMPT)), TOKENS,
				   &length);

	ck_assert(reply->whole);
	ck_assert_int_eq(reply->status, 200);
	ck_assert_int_eq(client_stream_answer(&answer, reply), 0);
	ck_assert(answer.done);
	ck_assert_uint_eq(answer.length, length);
	ck_assert_mem_eq(answer.text, whole, length);
	client_answer_finish(&answer);
	free(whole);
}

static const fleet_options_t options = {
	.hosts = 2,
	.engines = 1,
	.engine = { { .decode = 200, .batch = CALLERS } },
};

/*
 * An operator replaces a host in office hours while parents read their
 * answers. No parent may see an answer break off.
 */
START_TEST(a_planned_stop_cuts_no_answer)
{
	caller_t callers[CALLERS];

	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
	start_callers(callers);
	wait_for_runs(CALLERS);
	kill(fleet.host[0].pid, SIGTERM);
	for (int i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		check_whole(&callers[i].reply);
		client_reply_finish(&callers[i].reply);
	}
	ck_assert_int_eq(process_wait(&fleet.host[0], LIMIT_MS), 0);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

/*
 * An engine hangs while a host that waits for its answers is to be replaced.
 * The stop has a limit; a daemon that outlives it blocks the replacement, and
 * after office hours nobody is there to kill it.
 */
START_TEST(a_planned_stop_ends_at_its_limit)
{
	caller_t callers[CALLERS];

	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
	start_callers(callers);
	wait_for_runs(CALLERS);
	ck_assert_int_eq(fleet_control(fleet.engine[0].port, "/control/stall",
				       "{\"ms\":120000}"),
			 0);
	kill(fleet.host[0].pid, SIGTERM);
	ck_assert_int_eq(process_wait(&fleet.host[0], LIMIT_MS), EXIT_FAILURE);
	for (int i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		client_reply_finish(&callers[i].reply);
	}
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

enum {
	WAITERS = 24, /* beyond the slots; every second one has a key */
	SETTLE_MS = 1500,
	STOP_SECONDS = 7,
	STOP_MARGIN_MS = 500,
	KEY_MS = 20000
};

static const fleet_options_t short_stop = {
	.hosts = 3, /* which can bear witness to a key */
	.engines = 1,
	.engine = { { .decode = 100, .batch = CALLERS } },
	.stop_seconds = STOP_SECONDS,
};

/* Hosts issue keys once they have heard of enough others. */
static void issue_key(char key[FLEET_KEY_MAX])
{
	int64_t until = process_now_ms() + KEY_MS;

	while (fleet_issue_key(fleet.http_port[0], key) < 0) {
		ck_assert_int_lt(process_now_ms(), until);
		process_sleep_ms(100);
	}
}

static void *run_waiter(void *data)
{
	caller_t *caller = data;
	char key[FLEET_KEY_MAX];
	client_call_t call = fleet_completion(
		fleet.http_port[0],
		"{\"model\":\"planner\",\"prompt\":\"" PROMPT "\","
		"\"max_tokens\":300}");

	call.timeout_s = 60;
	if (caller->keyed) {
		issue_key(key);
		call.headers[2] =
			(client_header_t){ "Pimento-Contract", "plan-once" };
		call.headers[3] = (client_header_t){ "Idempotency-Key", key };
	}
	client_call(&caller->reply, &call);
	return NULL;
}

/* Guards against a request that never ran and may not be tried again. */
START_TEST(a_planned_stop_says_what_did_not_run)
{
	caller_t waiters[WAITERS];
	uint32_t not_run[2] = { 0 }; /* without and with a key */
	fleet_runs_t runs;
	int64_t stopped_at;

	ck_assert_int_eq(fleet_start(&fleet, &short_stop), 0);
	for (int i = 0; i < WAITERS; i++) {
		waiters[i].keyed = i % 2;
		ck_assert_int_eq(pthread_create(&waiters[i].thread, NULL,
						run_waiter, &waiters[i]),
				 0);
	}
	wait_for_runs(1);
	ck_assert_int_eq(fleet_control(fleet.engine[0].port, "/control/stall",
				       "{\"ms\":120000}"),
			 0);
	process_sleep_ms(SETTLE_MS);
	stopped_at = process_now_ms();
	kill(fleet.host[0].pid, SIGTERM);
	for (int i = 0; i < WAITERS; i++) {
		client_reply_t *reply = &waiters[i].reply;

		pthread_join(waiters[i].thread, NULL);
		if (strcmp(reply->verdict, "not-run") == 0) {
			ck_assert_int_eq(reply->status, 503);
			ck_assert_str_ne(reply->retry_after, "");
			ck_assert_int_lt(process_now_ms() - stopped_at,
					 STOP_SECONDS * 1000 + STOP_MARGIN_MS);
			not_run[waiters[i].keyed]++;
		}
		client_reply_finish(reply);
	}
	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	printf("%u ran, %u and %u with a key did not\n", runs.started,
	       not_run[0], not_run[1]);
	ck_assert_uint_eq(runs.started + not_run[0] + not_run[1], WAITERS);
	ck_assert_uint_gt(not_run[0], 0);
	ck_assert_uint_gt(not_run[1], 0);
	ck_assert_int_eq(process_wait(&fleet.host[0], LIMIT_MS), EXIT_FAILURE);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stop");
	TCase *tc = tcase_create("stop");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, a_planned_stop_cuts_no_answer);
	tcase_add_test(tc, a_planned_stop_ends_at_its_limit);
	tcase_add_test(tc, a_planned_stop_says_what_did_not_run);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
