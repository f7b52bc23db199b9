/* Small readers of the pages that daemons and stand-ins offer. */

#include "watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_MS 20
#define PAGE_TIMEOUT_S 3

static json_t *get(uint16_t port, const char *path)
{
	client_call_t call = { .port = port,
			       .path = path,
			       .timeout_s = PAGE_TIMEOUT_S };
	client_reply_t reply;
	json_t *json = NULL;

	if (client_call(&reply, &call) == 0)
		json = client_json(&reply);
	client_reply_finish(&reply);
	return json;
}

json_t *watch_status(uint16_t port)
{
	return get(port, "/status");
}

int64_t watch_number(uint16_t port, const char *object, const char *field)
{
	json_t *status = watch_status(port);
	const json_t *value =
		json_object_get(json_object_get(status, object), field);
	int64_t number =
		json_is_integer(value) ? json_integer_value(value) : -1;

	json_decref(status);
	return number;
}

void watch_member(uint16_t port, const char *name, char state[32])
{
	json_t *status = watch_status(port);
	const json_t *members =
		json_object_get(json_object_get(status, "hosts"), "members");
	const json_t *member;
	size_t i;

	state[0] = '\0';
	json_array_foreach(members, i, member)
	{
		const char *found =
			json_string_value(json_object_get(member, "name"));

		if (found && !strcmp(found, name))
			snprintf(state, 32, "%s",
				 json_string_value(
					 json_object_get(member, "state")));
	}
	json_decref(status);
}

int64_t watch_metric(uint16_t port, const char *name)
{
	client_call_t call = { .port = port, .path = "/metrics" };
	client_reply_t reply;
	char line[96];
	const char *at;
	int64_t value = -1;

	snprintf(line, sizeof(line), "pimento_%s ", name);
	if (client_call(&reply, &call) == 0) {
		at = strstr(reply.body, line);
		if (at)
			value = strtoll(at + strlen(line), NULL, 10);
	}
	client_reply_finish(&reply);
	return value;
}

int watch_wait(uint16_t port, const char *object, const char *field,
	       int64_t value, int timeout_ms)
{
	int64_t until = process_now_ms() + timeout_ms;

	while (watch_number(port, object, field) != value) {
		if (process_now_ms() > until)
			return -1;
		process_sleep_ms(POLL_MS);
	}
	return 0;
}

int watch_wait_config(const fleet_t *fleet, uint64_t revision, int timeout_ms)
{
	int64_t until = process_now_ms() + timeout_ms;

	for (int i = 0; i < fleet->options.hosts; i++) {
		if (!fleet->host[i].pid)
			continue;
		if (watch_wait(fleet->http_port[i], "config", "revision",
			       (int64_t)revision,
			       (int)(until - process_now_ms())))
			return -1;
	}
	return 0;
}

int64_t watch_platform_calls(const fleet_t *fleet)
{
	int64_t calls = 0;

	for (int i = 0; i < fleet->platforms; i++) {
		json_t *counts = get(fleet->platform[i].port, "/control/calls");
		const char *name;
		json_t *count;

		json_object_foreach(counts, name, count) calls +=
			json_integer_value(count);
		json_decref(counts);
	}
	return calls;
}

int watch_platform_mode(const fleet_t *fleet, const char *mode)
{
	char body[64];
	int error = 0;

	snprintf(body, sizeof(body), "{\"mode\":\"%s\"}", mode);
	for (int i = 0; i < fleet->platforms; i++)
		error |= fleet_control(fleet->platform[i].port, "/control/mode",
				       body);
	return error;
}

int watch_started(uint16_t port)
{
	json_t *runs = get(port, "/runs");
	const char *id;
	json_t *run;
	int started = 0;

	json_object_foreach(runs, id, run) started +=
		(int)json_integer_value(json_object_get(run, "started"));
	json_decref(runs);
	return started;
}
