/* Every failure to start or to stop a stand-in is a failure of the test. */

#include "ask.h"

#define START_MS 10000
#define STOP_MS 10000

void ask_start(process_t *process, const char *program,
	       const char *const args[])
{
	ck_assert_int_eq(process_start(process, program, program, args), 0);
	ck_assert_int_eq(process_wait_listening(process, START_MS), 0);
}

void ask_stop(process_t *process)
{
	ck_assert_int_eq(process_stop(process, STOP_MS), 0);
}

client_reply_t ask(uint16_t port, const char *method, const char *path,
		   const char *body)
{
	client_call_t call = { .method = method,
			       .port = port,
			       .path = path,
			       .headers = { { "X-Request-Id", ASK_ID } },
			       .body = body };
	client_reply_t reply;

	client_call(&reply, &call);
	return reply;
}

long ask_status(uint16_t port, const char *method, const char *path,
		const char *body)
{
	client_reply_t reply = ask(port, method, path, body);

	client_reply_finish(&reply);
	return reply.status;
}

long ask_number(uint16_t port, const char *path, const char *name,
		const char *inner)
{
	client_reply_t reply = ask(port, "GET", path, NULL);
	json_t *json = client_json(&reply);
	json_t *value = json_object_get(json, name);
	long number;

	if (inner)
		value = json_object_get(value, inner);
	number = json_is_boolean(value) ? json_is_true(value)
					: (long)json_integer_value(value);
	json_decref(json);
	client_reply_finish(&reply);
	return number;
}
