/*
 * The stand-ins of the platform and of plain services as processes: what the
 * other tests take for granted of them is checked here first.
 */

#include "ask.h"
#include "fleet.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static process_t service;
static process_t platform;

static void start_service(void)
{
	ask_start(&service, "service", NULL);
}

static void start_platform(void)
{
	ask_start(&platform, "platform", NULL);
}

START_TEST(service_counts_runs_by_request_and_key)
{
	client_call_t call = { .method = "POST",
			       .path = "/orders/charge",
			       .headers = { { "X-Request-Id", ASK_ID },
					    { "Idempotency-Key", "box-7" } },
			       .body = "{\"amount\":3}" };
	client_reply_t reply;
	json_t *json;

	start_service();
	call.port = service.port;
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(client_call(&reply, &call), 0);
		json = client_json(&reply);
		ck_assert_int_eq(
			json_integer_value(json_object_get(json, "run")),
			i + 1);
		ck_assert_int_eq(
			json_integer_value(json_object_get(json, "echo_bytes")),
			strlen(call.body));
		ck_assert_str_eq(
			json_string_value(json_object_get(json, "path")),
			call.path);
		ck_assert_str_eq(
			json_string_value(json_object_get(json, "request")),
			ASK_ID);
		json_decref(json);
		client_reply_finish(&reply);
	}
	ck_assert_int_eq(ask_number(service.port, "/runs", ASK_ID, "started"),
			 2);
	ck_assert_int_eq(ask_number(service.port, "/keys", "box-7", "finished"),
			 2);
	ask_stop(&service);
}
END_TEST

/* Each method and path is a call, also those a service never heard of. */
static const struct {
	const char *method;
	const char *path;
} any_cases[] = {
	{ "GET", "/orders" },	   { "PUT", "/orders/7" },
	{ "DELETE", "/orders/7" }, { "PATCH", "/orders/7/box" },
	{ "POST", "/runs" },
};

START_TEST(service_answers_any_call)
{
	start_service();
	ck_assert_int_eq(ask_status(service.port, any_cases[_i].method,
				    any_cases[_i].path, NULL),
			 200);
	ck_assert_int_eq(ask_number(service.port, "/runs", ASK_ID, "started"),
			 1);
	ask_stop(&service);
}
END_TEST

static const struct {
	const char *when;
	int runs;
} service_close_cases[] = {
	{ "before", 0 },
	{ "during", 1 },
	{ "after", 1 },
};

/*
 * A service's connection that breaks off looks the same to its caller whether
 * the charge ran or not.
 */
START_TEST(service_closes_its_connection)
{
	char control[64];
	client_reply_t reply;

	start_service();
	snprintf(control, sizeof(control), "{\"when\":\"%s\"}",
		 service_close_cases[_i].when);
	ck_assert_int_eq(fleet_control(service.port, "/control/close", control),
			 0);
	reply = ask(service.port, "POST", "/orders/charge", "{}");
	ck_assert(!reply.whole);
	client_reply_finish(&reply);
	ck_assert_int_eq(ask_number(service.port, "/runs", ASK_ID, "started"),
			 service_close_cases[_i].runs);
	ck_assert_int_eq(ask_status(service.port, "POST", "/orders", "{}"),
			 200);
	ask_stop(&service);
}
END_TEST

/* A request too long for one piece on the wire, so that it is cut for sure. */
START_TEST(service_closes_before_a_long_request_is_read)
{
	size_t length = 900000;
	char *body = malloc(length + 1);
	client_reply_t reply;

	memset(body, 'x', length);
	body[length] = '\0';
	start_service();
	ck_assert_int_eq(fleet_control(service.port, "/control/close",
				       "{\"when\":\"before\"}"),
			 0);
	reply = ask(service.port, "POST", "/orders/charge", body);
	ck_assert(!reply.whole);
	client_reply_finish(&reply);
	ck_assert_int_eq(ask_number(service.port, "/runs", ASK_ID, "started"),
			 0);
	free(body);
	ask_stop(&service);
}
END_TEST

START_TEST(platform_serves_and_watches_by_revision)
{
	client_reply_t reply;

	start_platform();
	ck_assert_int_eq(
		ask_status(platform.port, "GET", "/v1/config?after=0", NULL),
		304);
	ck_assert_int_eq(
		ask_status(platform.port, "PUT", "/control/config", "a = 1"),
		200);
	reply = ask(platform.port, "GET", "/v1/config?after=0&wait_s=5", NULL);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_uint_eq(reply.revision, 1);
	ck_assert_str_eq(reply.body, "a = 1");
	client_reply_finish(&reply);
	reply = ask(platform.port, "GET", "/v1/config?after=1&wait_s=1", NULL);
	ck_assert_int_eq(reply.status, 304);
	ck_assert_int_ge(reply.total_us, 1000000);
	client_reply_finish(&reply);
	ck_assert_int_eq(ask_number(platform.port, "/control/calls",
				    "config_reads", NULL),
			 1);
	ck_assert_int_eq(ask_number(platform.port, "/control/calls",
				    "config_watches", NULL),
			 2);
	ask_stop(&platform);
}
END_TEST

static void *publish_later(void *data)
{
	(void)data;
	process_sleep_ms(200);
	ask_status(platform.port, "PUT", "/control/hosts", "{\"hosts\":[]}");
	return NULL;
}

START_TEST(platform_wakes_a_watch)
{
	pthread_t thread;
	client_reply_t reply;
	json_t *json;

	start_platform();
	ask_status(platform.port, "PUT", "/control/hosts", "{\"hosts\":[]}");
	pthread_create(&thread, NULL, publish_later, NULL);
	reply = ask(platform.port, "GET", "/v1/hosts?after=1&wait_s=20", NULL);
	pthread_join(thread, NULL);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_int_lt(reply.total_us, 10000000);
	json = client_json(&reply);
	ck_assert_int_eq(json_integer_value(json_object_get(json, "revision")),
			 2);
	json_decref(json);
	client_reply_finish(&reply);
	ask_stop(&platform);
}
END_TEST

static const struct {
	const char *mode;
	long status; /* 0: none within the caller's time */
	uint64_t revision;
	const char *body; /* NULL: whatever it is */
} mode_cases[] = {
	{ "ok", 200, 2, "b = 2" }, { "stale", 200, 1, "a = 1" },
	{ "error", 503, 0, NULL }, { "rubbish", 200, 0, NULL },
	{ "silent", 0, 0, NULL },
};

/*
 * The platform can be down, stale or talking nonsense for hours. Each way in
 * which it can be so is asked for by name.
 */
START_TEST(platform_misbehaves_as_told)
{
	client_call_t call = { .path = "/v1/config?after=0", .timeout_s = 1 };
	client_reply_t reply;
	char control[64];

	start_platform();
	call.port = platform.port;
	ask_status(platform.port, "PUT", "/control/config", "a = 1");
	ask_status(platform.port, "PUT", "/control/config", "b = 2");
	snprintf(control, sizeof(control), "{\"mode\":\"%s\"}",
		 mode_cases[_i].mode);
	ck_assert_int_eq(fleet_control(platform.port, "/control/mode", control),
			 0);
	client_call(&reply, &call);
	ck_assert_int_eq(reply.status, mode_cases[_i].status);
	ck_assert_uint_eq(reply.revision, mode_cases[_i].revision);
	if (mode_cases[_i].body)
		ck_assert_str_eq(reply.body, mode_cases[_i].body);
	client_reply_finish(&reply);
	ck_assert_int_eq(fleet_control(platform.port, "/control/mode",
				       "{\"mode\":\"sideways\"}"),
			 -1);
	ask_stop(&platform);
}
END_TEST

START_TEST(platform_publishes_hosts_with_a_lag)
{
	client_reply_t reply;

	start_platform();
	ask_status(platform.port, "PUT", "/control/hosts", "{\"hosts\":[]}");
	fleet_control(platform.port, "/control/mode", "{\"lag_ms\":500}");
	ask_status(platform.port, "PUT", "/control/hosts", "{\"hosts\":[]}");
	reply = ask(platform.port, "GET", "/v1/hosts?after=0", NULL);
	ck_assert_uint_eq(reply.revision, 1);
	client_reply_finish(&reply);
	reply = ask(platform.port, "GET", "/v1/hosts?after=1&wait_s=5", NULL);
	ck_assert_uint_eq(reply.revision, 2);
	client_reply_finish(&reply);
	ask_stop(&platform);
}
END_TEST

static const struct {
	size_t length;
	long status;
} size_cases[] = { { 1048576, 200 }, { 1048577, 413 }, { 0, 413 } };

START_TEST(platform_holds_values_up_to_a_megabyte)
{
	char *value = calloc(1, size_cases[_i].length + 1);
	client_reply_t reply;

	memset(value, '#', size_cases[_i].length);
	start_platform();
	ck_assert_int_eq(
		ask_status(platform.port, "PUT", "/control/config", value),
		size_cases[_i].status);
	if (size_cases[_i].status == 200) {
		reply = ask(platform.port, "GET", "/v1/config?after=0", NULL);
		ck_assert_uint_eq(reply.length, size_cases[_i].length);
		ck_assert_mem_eq(reply.body, value, reply.length);
		client_reply_finish(&reply);
	}
	free(value);
	ask_stop(&platform);
}
END_TEST

#define CASES(table) (int)(sizeof(table) / sizeof((table)[0]))

int main(void)
{
	Suite *suite = suite_create("standin");
	TCase *tc = tcase_create("service and platform");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, service_counts_runs_by_request_and_key);
	tcase_add_loop_test(tc, service_answers_any_call, 0, CASES(any_cases));
	tcase_add_loop_test(tc, service_closes_its_connection, 0,
			    CASES(service_close_cases));
	tcase_add_test(tc, service_closes_before_a_long_request_is_read);
	tcase_add_test(tc, platform_serves_and_watches_by_revision);
	tcase_add_test(tc, platform_wakes_a_watch);
	tcase_add_loop_test(tc, platform_misbehaves_as_told, 0,
			    CASES(mode_cases));
	tcase_add_test(tc, platform_publishes_hosts_with_a_lag);
	tcase_add_loop_test(tc, platform_holds_values_up_to_a_megabyte, 0,
			    CASES(size_cases));
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
