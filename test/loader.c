/* A caller has one request open at a time and begins the next at once. */

#include "loader.h"

#include "../standin/client.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#define HEALTH_MS 200
#define AGAIN_MS 50
#define KINDS 3

static const char *const bodies[] = {
	"{\"model\":\"planner\",\"prompt\":\"which box\",\"max_tokens\":20}",
	"{\"model\":\"planner\",\"prompt\":\"ingredients\",\"max_tokens\":200,"
	"\"stream\":true}",
};

static void *run_health(void *data)
{
	loader_t *loader = data;

	while (!loader->stopping) {
		for (int i = 0; i < loader->fleet->options.hosts; i++) {
			client_call_t call = {
				.port = loader->fleet->http_port[i],
				.path = "/healthz",
				.timeout_s = 1,
			};
			client_reply_t reply;

			client_call(&reply, &call);
			loader->healthy[i] = reply.status == 200;
			client_reply_finish(&reply);
		}
		process_sleep_ms(HEALTH_MS);
	}
	return NULL;
}

/* The next healthy host in turn, or -1. */
static int choose_host(loader_t *loader)
{
	int hosts = loader->fleet->options.hosts;

	for (int i = 0; i < hosts; i++) {
		int host = (int)(loader->turn++ % (unsigned int)hosts);

		if (loader->healthy[host])
			return host;
	}
	return -1;
}

static bool answered(const client_reply_t *reply, bool stream)
{
	return reply->whole && reply->status == 200 &&
	       (!stream || strstr(reply->body, "data: [DONE]"));
}

/* Counts the reply; true if the request is to be tried again. */
static bool count(loader_t *loader, const client_reply_t *reply, bool stream)
{
	if (answered(reply, stream)) {
		loader->whole++;
		return false;
	}
	if (reply->status >= 400 && !strcmp(reply->verdict, "not-run")) {
		loader->refused++;
		return true;
	}
	if (reply->status >= 400)
		loader->doubtful++;
	else
		loader->cut++;
	fprintf(stderr, "caller: status %ld, verdict '%s', %zu bytes: %.200s\n",
		reply->status, reply->verdict, reply->length, reply->body);
	return false;
}

static bool call_once(loader_t *loader, int kind)
{
	int host = choose_host(loader);
	bool charge = kind == KINDS - 1 && loader->fleet->options.services;
	char key[FLEET_KEY_MAX];
	client_reply_t reply;
	client_call_t call;
	bool again;

	if (host < 0)
		return true;
	call = fleet_completion(loader->fleet->http_port[host],
				bodies[kind % 2]);
	if (charge) {
		if (fleet_issue_key(call.port, key))
			return true;
		call.path = "/orders/charge";
		call.body = "{\"family\":7}";
		call.headers[2].name = "Idempotency-Key";
		call.headers[2].value = key;
	}
	client_call(&reply, &call);
	again = count(loader, &reply, !charge && kind % 2);
	client_reply_finish(&reply);
	return again;
}

static void *run_caller(void *data)
{
	loader_t *loader = data;

	for (int kind = 0; !loader->stopping; kind = (kind + 1) % KINDS)
		while (call_once(loader, kind) && !loader->stopping)
			process_sleep_ms(AGAIN_MS);
	return NULL;
}

void loader_start(loader_t *loader, fleet_t *fleet)
{
	memset(loader, 0, sizeof(*loader));
	loader->fleet = fleet;
	for (int i = 0; i < fleet->options.hosts; i++)
		loader->healthy[i] = true;
	ck_assert_int_eq(
		pthread_create(&loader->health, NULL, run_health, loader), 0);
	for (int i = 0; i < LOADER_CALLERS; i++)
		ck_assert_int_eq(pthread_create(&loader->callers[i], NULL,
						run_caller, loader),
				 0);
}

void loader_stop(loader_t *loader)
{
	loader->stopping = true;
	for (int i = 0; i < LOADER_CALLERS; i++)
		pthread_join(loader->callers[i], NULL);
	pthread_join(loader->health, NULL);
}
