/*
 * Planned stops of pimentoedge while requests wait for slots. Each request that
 * was read gets an answer, and a "not run" is true and comes in time for another
 * host.
 */

#include "../standin/scripted.h"
#include "edge.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READY_MS = 10000,
	LEARN_MS = 300,
	SLOTS = 6, /* of each of two endpoints */
	FIRST_JOBS = 6, /* by which hosts learn how long a job takes */
	JOBS_MAX = 64,
	SETTLE_MS = 700, /* until all jobs have arrived */
	STOP_MS = 8000, /* the settings' stop_seconds */
	LAST_ANSWERS_MS = 7400, /* after SIGTERM */
	SLACK_MS = 1000,
	CALLER_TIMEOUT_S = 40
};

#define JOB_PATH "/job/go"
#define MARKS "Request-Id: id-of-a-test\r\nResponse-Seal: w.seal\r\n"
#define PLAIN "HTTP/1.1 200 OK\r\n" MARKS "Content-Length: 8\r\n\r\nanswered"

static const char configuration[] =
	"{\"version\":%u,\"routes\":[{\"name\":\"r1\",\"host\":\"t.example\","
	"\"prefix\":\"/job/\",\"route_type\":\"%s\","
	"\"timeout_ms\":%d,\"goal_ms\":%d,\"priority\":1,\"service\":\"s\","
	"\"max_attempts\":%d}],"
	"\"services\":[{\"name\":\"s\"}],"
	"\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"account-one\",\"api_keys\":[\"" EDGE_KEY
	"\"]}]}";

typedef struct job {
	pthread_t thread;
	uint16_t port;
	client_reply_t reply;
	int64_t ended_at;
} job_t;

static edge_t edge;
static scripted_t server;
static job_t jobs[JOBS_MAX];

static void *run_job(void *data)
{
	job_t *job = data;
	const client_call_t call = {
		.method = "POST",
		.port = job->port,
		.path = JOB_PATH,
		.headers = { { "Host", "t.example" },
			     { "Request-Id", "id-of-a-test" },
			     { "Deadline-Ms", "60000" },
			     { "Key", EDGE_KEY } },
		.body = "x",
		.timeout_s = CALLER_TIMEOUT_S,
	};

	client_call(&job->reply, &call);
	job->ended_at = process_now_ms();
	return NULL;
}

/* The jobs are spread over the first so many hosts. */
static void begin_jobs(uint32_t count, uint32_t hosts)
{
	for (uint32_t i = 0; i < count; i++) {
		jobs[i] = (job_t){ .port = edge.hosts[i % hosts].callers };
		ck_assert_int_eq(pthread_create(&jobs[i].thread, NULL, run_job,
						&jobs[i]),
				 0);
	}
}

static uint32_t count_status(uint32_t count, long status)
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < count; i++)
		found += jobs[i].reply.status == status;
	return found;
}

static void join_jobs(uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		pthread_join(jobs[i].thread, NULL);
}

static void finish_jobs(uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		client_reply_finish(&jobs[i].reply);
}

static void answer_after(int job_ms)
{
	const scripted_answer_t answer = { .bytes = PLAIN, .delay_ms = job_ms };

	scripted_set(&server, &answer, 1);
}

static void list_servers(void)
{
	char record[256];

	snprintf(record, sizeof(record),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"a\",\"slots\":%d,\"state\":\"ready\",\"born\":1}",
		 server.port, SLOTS);
	edge_put(&edge, "servers/s0", record);
	edge_put(&edge, "servers/s1", record);
	edge_remove(&edge, "servers/w0");
}

typedef struct stop_case {
	const char *name;
	int job_ms;
	uint32_t jobs;
	int goal_ms;
	int timeout_ms;
	bool all_finish; /* in time, whatever happens to their host */
} stop_case_t;

static const stop_case_t cases[] = {
	{ "short", 400, 60, 14000, 15000, true },
	{ "half the stop", 4500, 54, 14000, 15000, false },
	{ "longer than the stop", 11000, 50, 20000, 60000, false },
};

#define CASES ((int)(sizeof(cases) / sizeof(cases[0])))

static void start(const stop_case_t *what, uint32_t hosts)
{
	char text[2048];

	ck_assert_int_eq(scripted_init(&server, INADDR_LOOPBACK, 0, NULL), 0);
	edge_start(&edge, 2, 1);
	snprintf(text, sizeof(text), configuration, 3, "non_idempotent",
		 what->timeout_ms, what->goal_ms, 1);
	edge_put(&edge, "op/config", text);
	list_servers();
	process_sleep_ms(LEARN_MS);
	answer_after(what->job_ms);
	for (uint32_t i = 0; i < hosts; i++) {
		begin_jobs(FIRST_JOBS, 1 + i);
		join_jobs(FIRST_JOBS);
		ck_assert_uint_eq(count_status(FIRST_JOBS, 200), FIRST_JOBS);
		finish_jobs(FIRST_JOBS);
	}
	answer_after(what->job_ms); /* counts from here */
}

static void stop(void)
{
	edge_stop(&edge);
	scripted_finish(&server);
}

/* The moment by which a host knows that a job cannot be finished here. */
static int64_t known_by(const stop_case_t *what, int64_t stopped_at)
{
	int left = LAST_ANSWERS_MS - what->job_ms;

	return stopped_at + (left > 0 ? left : 0) + SLACK_MS;
}

static void check_answers(const stop_case_t *what, int64_t stopped_at)
{
	uint32_t served = count_status(what->jobs, 200);
	uint32_t refused = count_status(what->jobs, 503);
	uint32_t failed = count_status(what->jobs, 502);
	uint32_t ran = scripted_requests(&server);

	printf("%s: %u served, %u refused, %u failed of %u; %u ran\n",
	       what->name, served, refused, failed, what->jobs, ran);
	ck_assert_uint_eq(served + refused + failed, what->jobs);
	ck_assert_uint_eq(ran, served + failed);
	if (what->all_finish)
		ck_assert_uint_eq(served, what->jobs);
	for (uint32_t i = 0; i < what->jobs; i++) {
		if (jobs[i].reply.status != 503)
			continue;
		ck_assert_int_le(jobs[i].ended_at, known_by(what, stopped_at));
		ck_assert_str_ne(jobs[i].reply.retry_after, "");
	}
}

static void stop_hosts(uint32_t hosts)
{
	for (uint32_t i = 0; i < hosts; i++)
		kill(edge.hosts[i].process.pid, SIGTERM);
}

/* Guards against requests that wait for a slot and end with their host. */
START_TEST(what_waits_at_a_host_that_stops_is_answered)
{
	const stop_case_t *what = &cases[_i];
	int64_t stopped_at;

	start(what, 1);
	begin_jobs(what->jobs, 1);
	process_sleep_ms(SETTLE_MS);
	stopped_at = process_now_ms();
	stop_hosts(1);
	join_jobs(what->jobs);
	ck_assert_int_eq(process_wait(&edge.hosts[0].process, STOP_MS), 0);
	ck_assert_int_lt(process_now_ms() - stopped_at, STOP_MS);
	check_answers(what, stopped_at);
	finish_jobs(what->jobs);
	stop();
}
END_TEST

/* The same while there is no other host left. */
START_TEST(hosts_that_stop_together_answer_what_waits)
{
	const stop_case_t *what = &cases[_i];
	int64_t stopped_at;

	start(what, 2);
	begin_jobs(what->jobs, 2);
	process_sleep_ms(SETTLE_MS);
	stopped_at = process_now_ms();
	stop_hosts(2);
	join_jobs(what->jobs);
	for (uint32_t i = 0; i < 2; i++)
		ck_assert_int_eq(process_wait(&edge.hosts[i].process, STOP_MS),
				 0);
	check_answers(what, stopped_at);
	finish_jobs(what->jobs);
	stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stopping_host");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 90);
	tcase_add_loop_test(tests, what_waits_at_a_host_that_stops_is_answered,
			    0, CASES);
	tcase_add_loop_test(tests, hosts_that_stop_together_answer_what_waits,
			    0, CASES);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
