/*
 * What callers must be able to rely on when endpoints and daemons leave as
 * planned: real daemons, real signals, loopback.
 */

#include "background.h"
#include "loader.h"
#include "watch.h"

#include <arpa/inet.h>
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOSTS 3
#define LEAVE_MS 4000 /* "a few seconds" */
#define QUIET_MS 3000
#define LIST_MAX 4096
#define LEAVING_ENGINE 0
#define WAITERS 6
/* More than the sockets' buffers hold, so that a slow reader holds it up. */
#define LONG_TOKENS 60000
#define READ_BLOCK 16384

static fleet_t fleet;
static loader_t loader;

static void start(const fleet_options_t *options)
{
	ck_assert_int_eq(fleet_start(&fleet, options), 0);
}

static void stop(void)
{
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}

/* The host list with the engines in it, one of them perhaps leaving. */
static void publish_engines(const char *state)
{
	char list[LIST_MAX];
	client_call_t call = { .method = "PUT",
			       .port = fleet.platform[0].port,
			       .path = "/control/hosts",
			       .body = list };
	client_reply_t reply;
	int used = snprintf(list, sizeof(list), "{\"hosts\":[");

	for (int i = 0; i < fleet.options.hosts; i++)
		used += snprintf(
			list + used, sizeof(list) - (size_t)used,
			"{\"name\":\"host-%d\",\"datacentre\":\"dc%d\","
			"\"address\":\"127.0.0.1\",\"port\":%u,"
			"\"role\":\"entry\",\"state\":\"live\"},",
			i, i % 3, fleet.peer_port[i]);
	for (int i = 0; i < fleet.options.engines; i++)
		used += snprintf(
			list + used, sizeof(list) - (size_t)used,
			"%s{\"name\":\"engine-%d\",\"datacentre\":\"dc%d\","
			"\"address\":\"127.0.0.1\",\"port\":%u,"
			"\"role\":\"endpoint\",\"state\":\"%s\"}",
			i ? "," : "", i, i % 3, fleet.engine[i].port,
			i == LEAVING_ENGINE ? state : "live");
	snprintf(list + used, sizeof(list) - (size_t)used, "]}");
	client_call(&reply, &call);
	ck_assert_int_eq(reply.status, 200);
	client_reply_finish(&reply);
}

static uint16_t leaving_port(void)
{
	return fleet.engine[LEAVING_ENGINE].port;
}

/* Milliseconds until the last new dispatch, looking for some seconds. */
static int64_t last_dispatch(int look_ms)
{
	int64_t begun = process_now_ms();
	int started = watch_started(leaving_port());
	int64_t last = 0;

	while (process_now_ms() - begun < look_ms) {
		int now;

		process_sleep_ms(50);
		now = watch_started(leaving_port());
		if (now != started)
			last = process_now_ms() - begun;
		started = now;
	}
	return last;
}

static void check_no_dispatch(int ms)
{
	int started = watch_started(leaving_port());

	process_sleep_ms(ms);
	ck_assert_int_eq(watch_started(leaving_port()), started);
}

static void check_load(void)
{
	fleet_runs_t runs;

	loader_stop(&loader);
	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_eq(loader.cut, 0);
	ck_assert_uint_eq(loader.doubtful, 0);
	ck_assert_uint_eq(runs.most, 1);
	ck_assert_uint_eq(runs.started, loader.whole);
}

static void restart_engine(void)
{
	char port[8];
	const char *args[] = { "--name", "engine-0", "--model", "planner",
			       "--port", port,	     NULL };

	snprintf(port, sizeof(port), "%u", leaving_port());
	process_kill(&fleet.engine[LEAVING_ENGINE]);
	ck_assert_int_eq(process_start(&fleet.engine[LEAVING_ENGINE],
				       "engine-0", "engine", args),
			 0);
	ck_assert_int_eq(
		process_wait_listening(&fleet.engine[LEAVING_ENGINE], 10000),
		0);
}

/*
 * Guards against requests that are sent to an evacuated data centre, or are lost
 * because it is, and against one that is never used again.
 */
START_TEST(evacuated_datacentre_gets_nothing_new)
{
	const fleet_options_t options = { .hosts = HOSTS, .engines = 2 };

	start(&options);
	loader_start(&loader, &fleet);
	process_sleep_ms(1500);
	ck_assert_int_gt(watch_started(leaving_port()), 0);
	fleet.options.evacuated = "[\"dc0\"]";
	ck_assert_uint_ne(fleet_publish_config(&fleet, NULL), 0);
	ck_assert_int_le(last_dispatch(LEAVE_MS + QUIET_MS), LEAVE_MS);
	fleet.options.evacuated = NULL;
	ck_assert_uint_ne(fleet_publish_config(&fleet, NULL), 0);
	ck_assert_int_gt(last_dispatch(LEAVE_MS), 0);
	check_load();
	stop();
}
END_TEST

static const struct {
	const char *name;
	bool by_list; /* else by its own word */
	bool platform_down;
} leavings[] = {
	{ "by the host list", true, false },
	{ "by the host list, then the platform is down", true, true },
	{ "by its own word", false, false },
	{ "by its own word, the platform is down", false, true },
};

/*
 * An engine is to be taken away, and says so or is listed so. Whoever sends it
 * work after some seconds loses it when the engine goes. Lists that say
 * "live" again come late or from a stale platform, and a daemon that is
 * replaced meanwhile has to hear of it too. Callers notice nothing; only
 * a new process under the same name takes work again.
 */
START_TEST(endpoint_leaves)
{
	fleet_options_t options = { .hosts = HOSTS, .engines = 2 };
	int64_t last;

	start(&options);
	publish_engines("live");
	process_sleep_ms(1500);
	loader_start(&loader, &fleet);
	process_sleep_ms(1500);
	ck_assert_int_gt(watch_started(leaving_port()), 0);
	if (!leavings[_i].by_list && leavings[_i].platform_down)
		ck_assert_int_eq(watch_platform_mode(&fleet, "error"), 0);
	if (leavings[_i].by_list)
		publish_engines("leaving");
	else
		ck_assert_int_eq(
			fleet_control(leaving_port(), "/control/leave", "{}"),
			0);
	last = last_dispatch(LEAVE_MS + QUIET_MS);
	printf("leaving %s: last new dispatch after %lld ms\n",
	       leavings[_i].name, (long long)last);
	ck_assert_int_le(last, LEAVE_MS);
	if (leavings[_i].platform_down)
		ck_assert_int_eq(watch_platform_mode(&fleet, "error"), 0);
	else
		publish_engines("live");
	check_no_dispatch(QUIET_MS);
	check_load();
	process_kill(&fleet.host[1]);
	ck_assert_int_eq(fleet_start_host(&fleet, 1), 0);
	loader_start(&loader, &fleet);
	check_no_dispatch(QUIET_MS);
	loader_stop(&loader);
	ck_assert_uint_eq(loader.cut + loader.doubtful, 0);
	restart_engine();
	loader_start(&loader, &fleet);
	process_sleep_ms(6000);
	ck_assert_msg(watch_started(leaving_port()) > 0,
		      "%s: the new process gets no work", leavings[_i].name);
	loader_stop(&loader);
	ck_assert_uint_eq(loader.cut + loader.doubtful, 0);
	stop();
}
END_TEST

static int health_of(int host)
{
	client_call_t call = { .port = fleet.http_port[host],
			       .path = "/healthz" };
	client_reply_t reply;
	int status;

	client_call(&reply, &call);
	status = (int)reply.status;
	client_reply_finish(&reply);
	return status;
}

#define STREAM_BODY                                                       \
	"{\"model\":\"planner\",\"prompt\":\"boxes\",\"max_tokens\":800," \
	"\"stream\":true}"

/*
 * A daemon is asked to stop, twice, while a long answer streams through it.
 * The balancer must learn it at once; who still comes is told "not run"; the
 * peers hear of it; and the answer arrives whole before the daemon ends.
 */
START_TEST(stop_finishes_a_long_stream)
{
	fleet_options_t options = { .hosts = HOSTS, .engines = 1 };
	client_call_t call;
	background_t stream;
	client_reply_t late;
	char state[32];

	start(&options);
	call = fleet_completion(fleet.http_port[0], STREAM_BODY);
	background_start(&stream, &call);
	process_sleep_ms(500);
	kill(fleet.host[0].pid, SIGTERM);
	process_sleep_ms(300);
	ck_assert_int_eq(health_of(0), 503);
	kill(fleet.host[0].pid, SIGTERM);
	process_sleep_ms(1700);
	client_call(&late, &call);
	ck_assert_int_eq(late.status, 503);
	ck_assert_str_eq(late.verdict, "not-run");
	client_reply_finish(&late);
	for (int i = 1; i < HOSTS; i++) {
		watch_member(fleet.http_port[i], "host-0", state);
		ck_assert_str_eq(state, "leaving");
	}
	kill(fleet.host[0].pid, SIGTERM);
	ck_assert_int_eq(background_wait(&stream)->status, 200);
	ck_assert_ptr_nonnull(strstr(stream.reply.body, "data: [DONE]"));
	client_reply_finish(&stream.reply);
	ck_assert_int_eq(process_wait(&fleet.host[0], 10000), 0);
	stop();
}
END_TEST

/*
 * A daemon with nothing to do is stopped. Its peers must hear that it leaves
 * before it is gone: if they found out by silence only, requests that wait in
 * its lines would lose seconds.
 */
START_TEST(idle_stop_is_told_to_the_peers)
{
	fleet_options_t options = { .hosts = HOSTS, .engines = 1 };
	char state[32];

	start(&options);
	ck_assert_int_eq(process_stop(&fleet.host[0], 10000), 0);
	for (int i = 1; i < HOSTS; i++) {
		watch_member(fleet.http_port[i], "host-0", state);
		ck_assert_str_eq(state, "leaving");
	}
	stop();
}
END_TEST

static int connect_slowly(uint16_t port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int small = 4096;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_port = htons(port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	return fd;
}

static void send_request(int fd, const char *body)
{
	char text[1024];
	int length = snprintf(text, sizeof(text),
			      "POST /v1/completions HTTP/1.1\r\n"
			      "Host: localhost\r\nConnection: close\r\n"
			      "Authorization: Bearer " FLEET_KEY "\r\n"
			      "Content-Length: %zu\r\n\r\n%s",
			      strlen(body), body);

	ck_assert_int_eq(write(fd, text, (size_t)length), length);
}

/* Reads to the end, with rests; true if the end mark stood at it. */
static bool read_slowly(int fd, const char *mark, int rest_ms)
{
	static char last[2 * READ_BLOCK + 1];
	size_t kept = 0;
	ssize_t got;

	while ((got = read(fd, last + kept, READ_BLOCK)) > 0) {
		kept += (size_t)got;
		if (kept > READ_BLOCK) {
			memmove(last, last + kept - READ_BLOCK, READ_BLOCK);
			kept = READ_BLOCK;
		}
		process_sleep_ms(rest_ms);
	}
	last[kept] = '\0';
	return got == 0 && memmem(last, kept, mark, strlen(mark));
}

static const struct {
	const char *name;
	const char *stream;
	const char *mark;
	int rest_ms; /* after each piece read */
	int wait_ms; /* before the first */
	int status; /* of the daemon */
} readers[] = {
	{ "slow reader of a stream", "true", "data: [DONE]", 5, 0, 0 },
	{ "slow reader of a whole answer", "false", "\"finish_reason\"", 5,
	  1000, 0 },
	{ "reader who never reads", "true", "", 0, 0, 1 },
};

/*
 * A caller on a slow line has most of an answer still to come when its daemon
 * is stopped. The endpoint finished long ago, so nothing is "in progress"
 * there, but the caller has not got its answer until it has read it. One who
 * reads nothing at all is cut at the limit, and the exit status says so.
 */
START_TEST(stop_waits_for_a_slow_reader)
{
	fleet_options_t options = { .hosts = 1,
				    .engines = 1,
				    .stop_seconds = 20 };
	char body[256];
	int status;
	int fd;

	if (readers[_i].status)
		options.stop_seconds = 4;
	options.engine[0].decode = 1000000;
	start(&options);
	fd = connect_slowly(fleet.http_port[0]);
	snprintf(body, sizeof(body),
		 "{\"model\":\"planner\",\"prompt\":\"thesis\","
		 "\"max_tokens\":%d,\"stream\":%s}",
		 readers[_i].stream[0] == 't' ? LONG_TOKENS : 4 * LONG_TOKENS,
		 readers[_i].stream);
	send_request(fd, body);
	process_sleep_ms(1500);
	kill(fleet.host[0].pid, SIGTERM);
	process_sleep_ms(readers[_i].wait_ms);
	if (!readers[_i].status)
		ck_assert_msg(
			read_slowly(fd, readers[_i].mark, readers[_i].rest_ms),
			"%s: cut", readers[_i].name);
	status = process_wait(&fleet.host[0], 30000);
	close(fd);
	ck_assert_msg(status == readers[_i].status, "%s: exit status %d",
		      readers[_i].name, status);
	if (readers[_i].status)
		ck_assert(process_logged(&fleet.host[0],
					 "stopped at the limit with 1 "));
	stop();
}
END_TEST

/*
 * An answer takes longer than the operators let a stop take. The daemon ends at
 * its limit, logs how many requests it cut, and says so by its exit status.
 */
START_TEST(stop_limit_is_logged)
{
	fleet_options_t options = { .hosts = 1,
				    .engines = 1,
				    .stop_seconds = 3 };
	client_call_t call;
	background_t stream;

	options.engine[0].decode = 20;
	start(&options);
	call = fleet_completion(fleet.http_port[0], STREAM_BODY);
	call.headers[2].name = "Pimento-Contract";
	call.headers[2].value = "ingredients";
	background_start(&stream, &call);
	process_sleep_ms(500);
	ck_assert_int_eq(process_stop(&fleet.host[0], 10000), 1);
	ck_assert(process_logged(&fleet.host[0],
				 "stopped at the limit with 1 requests"));
	ck_assert_ptr_null(
		strstr(background_wait(&stream)->body, "data: [DONE]"));
	client_reply_finish(&stream.reply);
	stop();
}
END_TEST

static int find_owner(void)
{
	json_t *status = watch_status(fleet.http_port[0]);
	const char *owner = json_string_value(json_object_get(
		json_array_get(json_object_get(status, "endpoints"), 0),
		"owner"));
	int host = -1;

	ck_assert_ptr_nonnull(owner);
	ck_assert_int_eq(sscanf(owner, "host-%d", &host), 1);
	json_decref(status);
	return host;
}

/*
 * The daemon that is stopped keeps the line of an engine, and requests of
 * other daemons wait in it. They must find their place in the next owner's
 * line; their callers see no refusal, only a wait.
 */
START_TEST(stop_hands_waiting_requests_over)
{
	fleet_options_t options = { .hosts = HOSTS, .engines = 1 };
	static const char body[] = "{\"model\":\"planner\",\"prompt\":\"b\","
				   "\"max_tokens\":100}";
	background_t callers[WAITERS];
	fleet_runs_t runs;
	int owner;

	options.engine[0].batch = 1;
	start(&options);
	owner = find_owner();
	for (int i = 0; i < WAITERS; i++) {
		client_call_t call = fleet_completion(
			fleet.http_port[(owner + 1 + i % 2) % HOSTS], body);

		background_start(&callers[i], &call);
	}
	process_sleep_ms(300);
	ck_assert_int_eq(process_stop(&fleet.host[owner], 15000), 0);
	for (int i = 0; i < WAITERS; i++) {
		const client_reply_t *reply = background_wait(&callers[i]);

		ck_assert_msg(reply->status == 200, "%ld %s", reply->status,
			      reply->body);
		client_reply_finish(&callers[i].reply);
	}
	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_eq(runs.started, WAITERS);
	ck_assert_uint_eq(runs.most, 1);
	stop();
}
END_TEST

/*
 * All daemons are replaced one after the other while callers, sent where the
 * health answers, go on asking and charging. No answer may be cut, no request
 * be lost or left in doubt, and nothing run twice.
 */
START_TEST(rolling_replacement)
{
	fleet_options_t options = { .hosts = 4, .engines = 2, .services = 2 };
	int64_t begun;

	start(&options);
	loader_start(&loader, &fleet);
	process_sleep_ms(1000);
	begun = process_now_ms();
	for (int i = 0; i < options.hosts; i++) {
		ck_assert_int_eq(process_stop(&fleet.host[i], 30000), 0);
		ck_assert_int_eq(fleet_start_host(&fleet, i), 0);
		process_sleep_ms(500);
	}
	begun = process_now_ms() - begun;
	check_load();
	printf("rolling replacement of %d daemons in %lld ms: %u answers "
	       "whole, %u refused \"not run\" and tried again, %u cut, "
	       "%u in doubt\n",
	       options.hosts, (long long)begun, loader.whole, loader.refused,
	       loader.cut, loader.doubtful);
	stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("leaving");
	TCase *endpoint = tcase_create("endpoint");
	TCase *daemon = tcase_create("daemon");

	tcase_set_timeout(endpoint, 120);
	tcase_set_timeout(daemon, 120);
	tcase_add_loop_test(endpoint, endpoint_leaves, 0,
			    sizeof(leavings) / sizeof(leavings[0]));
	tcase_add_test(endpoint, evacuated_datacentre_gets_nothing_new);
	tcase_add_test(daemon, stop_finishes_a_long_stream);
	tcase_add_test(daemon, idle_stop_is_told_to_the_peers);
	tcase_add_loop_test(daemon, stop_waits_for_a_slow_reader, 0,
			    sizeof(readers) / sizeof(readers[0]));
	tcase_add_test(daemon, stop_limit_is_logged);
	tcase_add_test(daemon, stop_hands_waiting_requests_over);
	tcase_add_test(daemon, rolling_replacement);
	suite_add_tcase(suite, endpoint);
	suite_add_tcase(suite, daemon);
	return process_run_suite(suite);
}
