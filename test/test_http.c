/*
 * The callers' interface of real daemons: whole answers, and a clear error for
 * whatever is wrong, with nothing else disturbed.
 */

#include "fleet.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static fleet_t fleet;

static void start(int hosts, int engines, int services)
{
	fleet_options_t options = { .hosts = hosts,
				    .engines = engines,
				    .services = services };

	for (int i = 0; i < engines; i++)
		options.engine[i].decode = 2000;
	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
}

static void stop(void)
{
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}

static client_reply_t post(uint16_t port, const char *path, const char *body,
			   size_t length)
{
	client_call_t call = { .method = "POST",
			       .port = port,
			       .path = path,
			       .body = body,
			       .length = length };
	client_reply_t reply;

	call.headers[0].name = "Authorization";
	call.headers[0].value = "Bearer " FLEET_KEY;
	client_call(&reply, &call);
	return reply;
}

#define LONG_STREAM                                              \
	"{\"model\":\"planner\",\"prompt\":\"a week of boxes\"," \
	"\"max_tokens\":5000,\"stream\":true}"

/* Streams through the daemon, and from the engine itself, are the same. */
START_TEST(long_stream_is_the_same)
{
	client_call_t direct = { .method = "POST",
				 .path = "/v1/completions",
				 .body = LONG_STREAM };
	client_reply_t a;
	client_reply_t b;

	start(1, 1, 0);
	a = post(fleet.http_port[0], "/v1/completions", LONG_STREAM, 0);
	direct.port = fleet.engine[0].port;
	client_call(&b, &direct);
	ck_assert_msg(a.status == 200, "%s", a.body);
	ck_assert_str_eq(a.verdict, "ran");
	ck_assert_uint_eq(a.length, b.length);
	ck_assert_mem_eq(a.body, b.body, a.length);
	client_reply_finish(&a);
	client_reply_finish(&b);
	stop();
}
END_TEST

static const struct {
	const char *name;
	const char *path;
	const char *body;
	long status;
	const char *code;
} wrong[] = {
	{ "no JSON", "/v1/completions", "{bad", 400, "malformed" },
	{ "JSON but no object", "/v1/completions", "[1]", 400, "malformed" },
	{ "empty body", "/v1/completions", "", 400, "malformed" },
	{ "no model", "/v1/completions", "{\"prompt\":\"x\"}", 400, "invalid" },
	{ "model is a number", "/v1/completions",
	  "{\"model\":1,\"prompt\":\"x\"}", 400, "invalid" },
	{ "unknown model", "/v1/completions",
	  "{\"model\":\"none\",\"prompt\":\"x\"}", 404, "not-found" },
	{ "no prompt", "/v1/completions", "{\"model\":\"planner\"}", 400,
	  "invalid" },
	{ "prompt is a list", "/v1/completions",
	  "{\"model\":\"planner\",\"prompt\":[1]}", 400, "invalid" },
	{ "negative max_tokens", "/v1/completions",
	  "{\"model\":\"planner\",\"prompt\":\"x\",\"max_tokens\":-1}", 400,
	  "invalid" },
	{ "messages without content", "/v1/chat/completions",
	  "{\"model\":\"planner\",\"messages\":[{}]}", 400, "invalid" },
	{ "no such service", "/nowhere/x", "{}", 404, "not-found" },
	{ "not repeatable, no key", "/orders/charge", "{}", 400, "invalid" },
	{ "too many keys asked for", "/v1/keys", "{\"count\":1000}", 400,
	  "invalid" },
};

#define WRONGS (sizeof(wrong) / sizeof(wrong[0]))

START_TEST(mistakes_get_clear_errors)
{
	start(1, 1, 1);
	for (size_t i = 0; i < WRONGS; i++) {
		client_reply_t reply = post(fleet.http_port[0], wrong[i].path,
					    wrong[i].body, 0);

		ck_assert_msg(reply.status == wrong[i].status,
			      "%s: status %ld, %s", wrong[i].name, reply.status,
			      reply.body);
		ck_assert_msg(strstr(reply.body, wrong[i].code) != NULL,
			      "%s: %s", wrong[i].name, reply.body);
		ck_assert_msg(!strcmp(reply.verdict, "not-run"), "%s: %s",
			      wrong[i].name, reply.verdict);
		client_reply_finish(&reply);
	}
	stop();
}
END_TEST

static const struct {
	const char *header;
	const char *value;
	long status;
} headers[] = {
	{ "Authorization", "Bearer wrong", 401 },
	{ "Authorization", "Basic abc", 401 },
	{ "Pimento-Deadline-Ms", "0", 400 },
	{ "Pimento-Deadline-Ms", "-5", 400 },
	{ "Pimento-Deadline-Ms", "soon", 400 },
	{ "Pimento-Attempt", "x", 400 },
	{ "Pimento-Contract", "none", 404 },
	{ "Idempotency-Key", "pk1.Zm9yZ2Vk", 400 },
};

START_TEST(wrong_headers_are_refused)
{
	start(1, 1, 0);
	for (size_t i = 0; i < sizeof(headers) / sizeof(headers[0]); i++) {
		client_call_t call = {
			.method = "POST",
			.port = fleet.http_port[0],
			.path = "/v1/completions",
			.body = "{\"model\":\"planner\",\"prompt\":\"x\"}"
		};
		client_reply_t reply;

		call.headers[0].name = "Authorization";
		call.headers[0].value = "Bearer " FLEET_KEY;
		call.headers[i < 2 ? 0 : 1].name = headers[i].header;
		call.headers[i < 2 ? 0 : 1].value = headers[i].value;
		client_call(&reply, &call);
		ck_assert_msg(reply.status == headers[i].status,
			      "%s: %s: status %ld %s", headers[i].header,
			      headers[i].value, reply.status, reply.body);
		client_reply_finish(&reply);
	}
	stop();
}
END_TEST

/* The size limit itself is taken, one byte more is not. */
START_TEST(body_limit_is_exact)
{
	char *body = malloc(FLEET_BODY_MAX + 2);
	static const char head[] = "{\"model\":\"none\",\"prompt\":\"";
	client_reply_t reply;

	start(1, 1, 0);
	memset(body, 'x', FLEET_BODY_MAX + 1);
	memcpy(body, head, sizeof(head) - 1);
	memcpy(body + FLEET_BODY_MAX - 2, "\"}", 2);
	reply = post(fleet.http_port[0], "/v1/completions", body,
		     FLEET_BODY_MAX);
	ck_assert_int_eq(reply.status, 404);
	client_reply_finish(&reply);
	body[FLEET_BODY_MAX] = ' ';
	reply = post(fleet.http_port[0], "/v1/completions", body,
		     FLEET_BODY_MAX + 1);
	ck_assert_int_eq(reply.status, 413);
	ck_assert_str_eq(reply.verdict, "not-run");
	client_reply_finish(&reply);
	free(body);
	stop();
}
END_TEST

/*
 * One key is used through every host of the fleet, one after the other. The
 * parent who presses the button again must see one charge and one answer.
 */
START_TEST(one_key_one_run)
{
	client_reply_t keys;
	json_t *json;
	const char *key;
	client_call_t call = { .method = "POST",
			       .path = "/orders/charge",
			       .body = "{\"amount\":12}" };
	char first[512] = "";

	start(3, 1, 1);
	keys = post(fleet.http_port[0], "/v1/keys", "{}", 0);
	json = client_json(&keys);
	key = json_string_value(
		json_array_get(json_object_get(json, "keys"), 0));
	ck_assert_msg(key != NULL, "%s", keys.body);
	call.headers[0].name = "Authorization";
	call.headers[0].value = "Bearer " FLEET_KEY;
	call.headers[1].name = "Idempotency-Key";
	call.headers[1].value = key;
	for (int i = 0; i < 3; i++) {
		client_reply_t reply;

		call.port = fleet.http_port[i];
		client_call(&reply, &call);
		ck_assert_int_eq(reply.status, 200);
		if (!i)
			snprintf(first, sizeof(first), "%s", reply.body);
		ck_assert_str_eq(reply.body, first);
		client_reply_finish(&reply);
	}
	ck_assert_int_eq(fleet_key_runs(&fleet, key), 1);
	client_reply_finish(&keys);
	call.body = "{\"amount\":13}";
	client_call(&keys, &call);
	ck_assert_int_eq(keys.status, 422);
	ck_assert_int_eq(fleet_key_runs(&fleet, key), 1);
	client_reply_finish(&keys);
	json_decref(json);
	stop();
}
END_TEST

/*
 * A caller of a long answer closes its browser. The engine must not go on
 * making tokens that nobody reads, and the daemon must not keep anything.
 */
START_TEST(vanished_caller_is_cancelled)
{
	client_call_t call = { .method = "POST",
			       .path = "/v1/completions",
			       .body = "{\"model\":\"planner\",\"prompt\":"
				       "\"long\",\"max_tokens\":100000,"
				       "\"stream\":true}",
			       .timeout_s = 1 };
	client_reply_t reply;
	fleet_runs_t runs;
	json_t *status = NULL;
	int busy = 1;

	start(1, 1, 0);
	call.port = fleet.http_port[0];
	call.headers[0].name = "Authorization";
	call.headers[0].value = "Bearer " FLEET_KEY;
	client_call(&reply, &call);
	client_reply_finish(&reply);
	for (int i = 0; i < 50 && busy; i++) {
		client_call_t ask = { .port = fleet.http_port[0],
				      .path = "/status" };

		usleep(100000);
		client_call(&reply, &ask);
		status = client_json(&reply);
		busy = (int)json_integer_value(json_object_get(
			json_object_get(status, "requests"), "in_progress"));
		json_decref(status);
		client_reply_finish(&reply);
	}
	ck_assert_int_eq(busy, 0);
	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_eq(runs.started, 1);
	ck_assert_uint_eq(runs.finished, 0);
	stop();
}
END_TEST

/*
 * A daemon serves a thousand requests of every kind and stops. With the leak
 * checker (make asan) its exit status tells of anything it kept. The platform
 * ends first, so that no thread is left waiting for its answer.
 */
START_TEST(thousand_requests_then_clean_exit)
{
	static const char *const bodies[] = {
		"{\"model\":\"planner\",\"prompt\":\"x\",\"max_tokens\":2}",
		"{\"model\":\"planner\",\"prompt\":\"x\",\"max_tokens\":3,"
		"\"stream\":true}",
		"{bad",
		"{\"model\":\"none\",\"prompt\":\"x\"}",
	};

	start(1, 1, 0);
	for (int i = 0; i < 1000; i++) {
		client_reply_t reply =
			post(fleet.http_port[0], "/v1/completions",
			     bodies[i % 4], 0);

		ck_assert_int_eq(reply.status,
				 i % 4 < 2 ? 200 : 400 + 4 * (i % 4 == 3));
		client_reply_finish(&reply);
	}
	process_stop(&fleet.platform[0], 3000);
	usleep(500000);
	ck_assert_int_eq(process_stop(&fleet.host[0], 10000), 0);
	stop();
}
END_TEST

static const char *const pages[] = { "/healthz", "/status", "/metrics",
				     "/burn" };

START_TEST(operators_pages_answer)
{
	start(1, 1, 0);
	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		client_call_t call = { .port = fleet.http_port[0],
				       .path = pages[i] };
		client_reply_t reply;

		client_call(&reply, &call);
		ck_assert_msg(reply.status == 200 && reply.length > 0, "%s: %s",
			      pages[i], reply.body);
		client_reply_finish(&reply);
	}
	stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http");
	TCase *tc = tcase_create("http");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, long_stream_is_the_same);
	tcase_add_test(tc, mistakes_get_clear_errors);
	tcase_add_test(tc, wrong_headers_are_refused);
	tcase_add_test(tc, body_limit_is_exact);
	tcase_add_test(tc, one_key_one_run);
	tcase_add_test(tc, vanished_caller_is_cancelled);
	tcase_add_test(tc, thousand_requests_then_clean_exit);
	tcase_add_test(tc, operators_pages_answer);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
