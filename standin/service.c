/*
 * A plain service's stand-in: answers any call with what it ran as, and counts
 * runs by request id and by idempotency key. It deliberately runs a repeated
 * call again: that nothing is repeated is what its callers must see to.
 */

#include "common.h"
#include "runs.h"

#include <getopt.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

typedef struct service {
	standin_t standin;
	int64_t delay_ms;
	int64_t incarnation; /* of this process */
	pthread_mutex_t mutex; /* guards what follows */
	runs_t requests;
	runs_t keys;
	uint64_t run;
	uint64_t id; /* for calls without a request id */
	int running;
	bool leaving;
	int64_t left_ms;
	int64_t last_start_ms;
} service_t;

static void count_start(service_t *service, const char *id, const char *key,
			uint64_t *number)
{
	char own[RUNS_ID_MAX];
	run_t *run;

	pthread_mutex_lock(&service->mutex);
	if (!id) {
		snprintf(own, sizeof(own), "%.64s-%" PRIu64,
			 service->standin.name, service->id++);
		id = own;
	}
	run = runs_find(&service->requests, id, true);
	if (run)
		run->started++;
	run = key ? runs_find(&service->keys, key, true) : NULL;
	if (run)
		run->started++;
	*number = ++service->run;
	service->running++;
	service->last_start_ms = standin_now_ms();
	pthread_mutex_unlock(&service->mutex);
}

static void count_finish(service_t *service, const char *id, const char *key)
{
	run_t *run;

	pthread_mutex_lock(&service->mutex);
	run = id ? runs_find(&service->requests, id, false) : NULL;
	if (run)
		run->finished++;
	run = key ? runs_find(&service->keys, key, false) : NULL;
	if (run)
		run->finished++;
	service->running--;
	pthread_mutex_unlock(&service->mutex);
}

static void delay(int64_t ms)
{
	struct timespec span = { ms / 1000, ms % 1000 * 1000000 };

	nanosleep(&span, NULL);
}

static int on_call(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	service_t *service = data;
	const char *id = u_map_get_case(request->map_header, "X-Request-Id");
	const char *key =
		u_map_get_case(request->map_header, "Idempotency-Key");
	uint64_t number;
	json_t *answer;

	if (standin_closed_before())
		return U_CALLBACK_COMPLETE;
	count_start(service, id, key, &number);
	delay(service->delay_ms);
	count_finish(service, id, key);
	answer = json_pack("{s:I,s:s,s:s,s:s,s:I}", "run", (json_int_t)number,
			   "method", request->http_verb, "path",
			   request->url_path, "request", id ? id : "",
			   "echo_bytes",
			   (json_int_t)request->binary_body_length);
	return standin_answer(&service->standin, response, answer);
}

static int on_runs(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	service_t *service = data;
	json_t *object;

	(void)request;
	pthread_mutex_lock(&service->mutex);
	object = runs_json(&service->requests);
	pthread_mutex_unlock(&service->mutex);
	return standin_json(response, 200, object);
}

static int on_keys(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	service_t *service = data;
	json_t *object;

	(void)request;
	pthread_mutex_lock(&service->mutex);
	object = runs_json(&service->keys);
	pthread_mutex_unlock(&service->mutex);
	return standin_json(response, 200, object);
}

static int on_load(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	service_t *service = data;
	int64_t after = 0;
	json_t *object;

	(void)request;
	pthread_mutex_lock(&service->mutex);
	if (service->leaving && service->last_start_ms > service->left_ms)
		after = service->last_start_ms - service->left_ms;
	object = json_pack("{s:i,s:i,s:i,s:i,s:b,s:I,s:I}", "running",
			   service->running, "waiting", 0, "tokens_left", 0,
			   "age_ms", 0, "leaving", service->leaving,
			   "started_after_leaving_ms", (json_int_t)after,
			   "incarnation", (json_int_t)service->incarnation);
	pthread_mutex_unlock(&service->mutex);
	return standin_json(response, 200, object);
}

static int on_leave(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	service_t *service = data;

	(void)request;
	pthread_mutex_lock(&service->mutex);
	service->leaving = true;
	service->left_ms = standin_now_ms();
	pthread_mutex_unlock(&service->mutex);
	return standin_json(response, 200, json_pack("{s:b}", "ok", 1));
}

static bool is_call(const char *url)
{
	static const char *const own[] = { "/control/", "/runs", "/keys",
					   "/load", "/healthz" };

	for (size_t i = 0; i < sizeof(own) / sizeof(own[0]); i++)
		if (!strncmp(url, own[i], strlen(own[i])))
			return false;
	return true;
}

enum { OPT_PORT = 1, OPT_NAME, OPT_DELAY };

static const struct option long_options[] = {
	{ "port", required_argument, NULL, OPT_PORT },
	{ "name", required_argument, NULL, OPT_NAME },
	{ "delay-ms", required_argument, NULL, OPT_DELAY },
	{ NULL, 0, NULL, 0 },
};

static void serve(service_t *service)
{
	standin_t *standin = &service->standin;

	standin_route(standin, "GET", "/runs", on_runs, service);
	standin_route(standin, "GET", "/keys", on_keys, service);
	standin_route(standin, "GET", "/load", on_load, service);
	standin_route(standin, "POST", "/control/leave", on_leave, service);
	ulfius_set_default_endpoint(&standin->instance, on_call, service);
}

int main(int argc, char **argv)
{
	static service_t service;
	const char *name = "service";
	uint16_t port = 0;
	int option;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1)
		switch (option) {
		case OPT_PORT:
			port = (uint16_t)standin_number("port", optarg, 0,
							65535);
			break;
		case OPT_NAME:
			name = optarg;
			break;
		case OPT_DELAY:
			service.delay_ms =
				standin_number("delay-ms", optarg, 0, 600000);
			break;
		default:
			return 2;
		}
	standin_signals();
	service.incarnation = standin_draw();
	pthread_mutex_init(&service.mutex, NULL);
	if (standin_init(&service.standin, name, port, is_call) < 0)
		return EXIT_FAILURE;
	serve(&service);
	if (standin_run(&service.standin) < 0)
		return EXIT_FAILURE;
	standin_finish(&service.standin);
	runs_finish(&service.requests);
	runs_finish(&service.keys);
	return EXIT_SUCCESS;
}
