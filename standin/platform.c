/*
 * The platform's stand-in: a configuration and a host list that can be read
 * and watched by revision, never written by the system. Each subject keeps the
 * value before the newest as well, so that "stale" can serve it. Tests publish
 * through /control and choose how the platform misbehaves.
 */

#include "common.h"

#include <errno.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define VALUE_MAX ((size_t)1024 * 1024)
#define WAIT_MAX_S 300
#define WILD_REVISION "4000000000"
#define SILENCE_MAX_MS INT64_C(60000)

typedef enum platform_mode {
	MODE_OK = 0,
	MODE_SILENT, /* accepts and does not answer within a bound */
	MODE_ERROR,
	MODE_STALE, /* serves the revision before the newest */
	MODE_RUBBISH,
	MODE_WILD, /* rubbish that claims a revision far ahead */
	MODES
} platform_mode_t;

typedef struct value {
	char *text;
	size_t length;
	uint64_t revision;
	int64_t visible_ms; /* when a reader may see it */
} value_t;

typedef struct subject {
	value_t newest;
	value_t before;
	uint64_t reads;
	uint64_t watches;
} subject_t;

typedef struct platform {
	standin_t standin;
	pthread_mutex_t mutex; /* guards what follows */
	pthread_cond_t changed;
	subject_t config;
	subject_t hosts;
	platform_mode_t mode;
	int64_t lag_ms; /* of the host list */
	bool stopping;
} platform_t;

static const char *const mode_names[MODES] = { "ok",	"silent",  "error",
					       "stale", "rubbish", "wild" };

static struct timespec deadline_of(int64_t at_ms)
{
	return (struct timespec){ at_ms / 1000, at_ms % 1000 * 1000000 };
}

/* What a reader sees now; hosts become visible only after their lag. */
static const value_t *visible(const platform_t *platform,
			      const subject_t *subject)
{
	if (platform->mode == MODE_STALE && subject->before.text)
		return &subject->before;
	if (subject->before.text &&
	    standin_now_ms() < subject->newest.visible_ms)
		return &subject->before;
	return &subject->newest;
}

/* Waits until a newer revision is visible; false when the time ran out. */
static bool wait_newer(platform_t *platform, const subject_t *subject,
		       uint64_t after, int64_t until_ms)
{
	while (!platform->stopping) {
		int64_t now = standin_now_ms();
		int64_t wake = until_ms;
		const value_t *value = visible(platform, subject);
		struct timespec deadline;

		if (value->text && value->revision > after)
			return true;
		if (now >= until_ms || platform->mode == MODE_ERROR ||
		    platform->mode == MODE_RUBBISH ||
		    platform->mode == MODE_WILD)
			return false;
		if (subject->newest.visible_ms > now &&
		    subject->newest.visible_ms < wake)
			wake = subject->newest.visible_ms;
		deadline = deadline_of(wake);
		pthread_cond_timedwait(&platform->changed, &platform->mutex,
				       &deadline);
	}
	return false;
}

static void stay_silent(platform_t *platform)
{
	int64_t until = standin_now_ms() + SILENCE_MAX_MS;
	struct timespec deadline = deadline_of(until);

	while (!platform->stopping && platform->mode == MODE_SILENT &&
	       standin_now_ms() < until)
		pthread_cond_timedwait(&platform->changed, &platform->mutex,
				       &deadline);
}

static void send_value(struct _u_response *response, const value_t *value)
{
	char revision[24];

	snprintf(revision, sizeof(revision), "%llu",
		 (unsigned long long)value->revision);
	ulfius_add_header_to_response(response, "X-Revision", revision);
	ulfius_set_binary_body_response(response, 200, value->text,
					value->length);
}

static void send_rubbish(const platform_t *platform,
			 struct _u_response *response)
{
	if (platform->mode == MODE_WILD)
		ulfius_add_header_to_response(response, "X-Revision",
					      WILD_REVISION);
	ulfius_set_string_body_response(response, 200,
					"\x01rubbish ]]][ = {\n");
}

static void answer_read(platform_t *platform, subject_t *subject,
			struct _u_response *response, uint64_t after,
			int64_t wait_s)
{
	/* The clock is cut to milliseconds: one more, or it ends early. */
	int64_t until = standin_now_ms() + wait_s * 1000 + 1;
	bool newer;

	if (platform->mode == MODE_SILENT)
		stay_silent(platform);
	newer = wait_newer(platform, subject, after, until);
	if (platform->mode == MODE_ERROR || platform->mode == MODE_SILENT)
		ulfius_set_string_body_response(response, 503, "unavailable\n");
	else if (platform->mode == MODE_RUBBISH || platform->mode == MODE_WILD)
		send_rubbish(platform, response);
	else if (newer)
		send_value(response, visible(platform, subject));
	else
		ulfius_set_empty_body_response(response, 304);
}

static int read_subject(platform_t *platform, subject_t *subject,
			const struct _u_request *request,
			struct _u_response *response)
{
	int64_t after = standin_query(request, "after", 0);
	int64_t wait_s = standin_query(request, "wait_s", 0);

	if (after < 0 || wait_s < 0 || wait_s > WAIT_MAX_S)
		return standin_error(response, 400, "bad query");
	pthread_mutex_lock(&platform->mutex);
	if (wait_s)
		subject->watches++;
	else
		subject->reads++;
	answer_read(platform, subject, response, (uint64_t)after, wait_s);
	pthread_mutex_unlock(&platform->mutex);
	return U_CALLBACK_COMPLETE;
}

static int on_config(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	platform_t *platform = data;

	return read_subject(platform, &platform->config, request, response);
}

static int on_hosts(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	platform_t *platform = data;

	return read_subject(platform, &platform->hosts, request, response);
}

/* Takes the text over and returns its revision. */
static uint64_t publish(platform_t *platform, subject_t *subject, char *text,
			size_t length, int64_t lag_ms)
{
	uint64_t revision;

	pthread_mutex_lock(&platform->mutex);
	free(subject->before.text);
	subject->before = subject->newest;
	revision = subject->before.revision + 1;
	subject->newest =
		(value_t){ text, length, revision, standin_now_ms() + lag_ms };
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->mutex);
	return revision;
}

static char *copy(const void *bytes, size_t length)
{
	char *text = malloc(length + 1);

	if (!text)
		return NULL;
	memcpy(text, bytes, length);
	text[length] = '\0';
	return text;
}

static int answer_revision(struct _u_response *response, uint64_t revision)
{
	return standin_json(
		response, 200,
		json_pack("{s:I}", "revision", (json_int_t)revision));
}

static int on_put_config(const struct _u_request *request,
			 struct _u_response *response, void *data)
{
	platform_t *platform = data;
	size_t length = request->binary_body_length;
	char *text;

	if (!length || length > VALUE_MAX)
		return standin_error(response, 413, "empty or too big");
	text = copy(request->binary_body, length);
	if (!text)
		return U_CALLBACK_ERROR;
	return answer_revision(response, publish(platform, &platform->config,
						 text, length, 0));
}

/* Publishes a list whose revision is the platform's; 0 if that fails. */
static uint64_t publish_hosts(platform_t *platform, json_t *list)
{
	uint64_t revision = platform->hosts.newest.revision + 1;
	char *text;

	json_object_set_new(list, "revision",
			    json_integer((json_int_t)revision));
	text = json_dumps(list, JSON_COMPACT);
	if (!text)
		return 0;
	return publish(platform, &platform->hosts, text, strlen(text),
		       platform->lag_ms);
}

static int on_put_hosts(const struct _u_request *request,
			struct _u_response *response, void *data)
{
	/* One publisher at a time, or two lists would carry one revision. */
	static pthread_mutex_t publishing = PTHREAD_MUTEX_INITIALIZER;
	platform_t *platform = data;
	json_t *list = standin_body(request);
	uint64_t revision;

	if (!list || request->binary_body_length > VALUE_MAX) {
		json_decref(list);
		return standin_error(response, 400, "not a host list");
	}
	pthread_mutex_lock(&publishing);
	revision = publish_hosts(platform, list);
	pthread_mutex_unlock(&publishing);
	json_decref(list);
	return answer_revision(response, revision);
}

static int on_mode(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	platform_t *platform = data;
	json_t *body = standin_body(request);
	const char *mode = json_string_value(json_object_get(body, "mode"));
	json_t *lag = json_object_get(body, "lag_ms");
	bool known = !mode;

	pthread_mutex_lock(&platform->mutex);
	for (int i = 0; mode && i < MODES; i++)
		if (!strcmp(mode, mode_names[i])) {
			platform->mode = (platform_mode_t)i;
			known = true;
		}
	if (lag)
		platform->lag_ms = json_integer_value(lag);
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->mutex);
	json_decref(body);
	if (!known)
		return standin_error(response, 400, "no such mode");
	return standin_json(response, 200, json_pack("{s:b}", "ok", 1));
}

static int on_calls(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	platform_t *platform = data;
	json_t *object;

	(void)request;
	pthread_mutex_lock(&platform->mutex);
	object = json_pack("{s:I,s:I,s:I,s:I}", "config_reads",
			   (json_int_t)platform->config.reads, "config_watches",
			   (json_int_t)platform->config.watches, "hosts_reads",
			   (json_int_t)platform->hosts.reads, "hosts_watches",
			   (json_int_t)platform->hosts.watches);
	pthread_mutex_unlock(&platform->mutex);
	return standin_json(response, 200, object);
}

static char *read_file(const char *path, size_t *length)
{
	FILE *file = fopen(path, "rb");
	char *text = malloc(VALUE_MAX + 1);

	if (!file || !text) {
		fprintf(stderr, "platform: %s: %s\n", path, strerror(errno));
		exit(2);
	}
	*length = fread(text, 1, VALUE_MAX, file);
	text[*length] = '\0';
	fclose(file);
	return text;
}

static void start_config(platform_t *platform, const char *path)
{
	size_t length;
	char *text = read_file(path, &length);

	publish(platform, &platform->config, text, length, 0);
}

static void start_hosts(platform_t *platform, const char *path)
{
	size_t length;
	char *text = read_file(path, &length);
	json_t *list = json_loadb(text, length, 0, NULL);

	free(text);
	if (!json_is_object(list)) {
		fprintf(stderr, "platform: %s: not a host list\n", path);
		exit(2);
	}
	publish_hosts(platform, list);
	json_decref(list);
}

static void platform_init(platform_t *platform)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_mutex_init(&platform->mutex, NULL);
	pthread_cond_init(&platform->changed, &attributes);
	pthread_condattr_destroy(&attributes);
}

static void serve(platform_t *platform)
{
	standin_t *standin = &platform->standin;

	standin_route(standin, "GET", "/v1/config", on_config, platform);
	standin_route(standin, "GET", "/v1/hosts", on_hosts, platform);
	standin_route(standin, "PUT", "/control/config", on_put_config,
		      platform);
	standin_route(standin, "PUT", "/control/hosts", on_put_hosts, platform);
	standin_route(standin, "POST", "/control/mode", on_mode, platform);
	standin_route(standin, "GET", "/control/calls", on_calls, platform);
}

static void platform_stop(platform_t *platform)
{
	pthread_mutex_lock(&platform->mutex);
	platform->stopping = true;
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->mutex);
	standin_finish(&platform->standin);
	free(platform->config.newest.text);
	free(platform->config.before.text);
	free(platform->hosts.newest.text);
	free(platform->hosts.before.text);
}

enum { OPT_PORT = 1, OPT_NAME, OPT_CONFIG, OPT_HOSTS };

static const struct option long_options[] = {
	{ "port", required_argument, NULL, OPT_PORT },
	{ "name", required_argument, NULL, OPT_NAME },
	{ "config", required_argument, NULL, OPT_CONFIG },
	{ "hosts", required_argument, NULL, OPT_HOSTS },
	{ NULL, 0, NULL, 0 },
};

int main(int argc, char **argv)
{
	static platform_t platform;
	const char *name = "platform";
	uint16_t port = 0;
	int option;

	platform_init(&platform);
	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1)
		switch (option) {
		case OPT_PORT:
			port = (uint16_t)standin_number("port", optarg, 0,
							65535);
			break;
		case OPT_NAME:
			name = optarg;
			break;
		case OPT_CONFIG:
			start_config(&platform, optarg);
			break;
		case OPT_HOSTS:
			start_hosts(&platform, optarg);
			break;
		default:
			return 2;
		}
	standin_signals();
	if (standin_init(&platform.standin, name, port, NULL) < 0)
		return EXIT_FAILURE;
	serve(&platform);
	if (standin_run(&platform.standin) < 0)
		return EXIT_FAILURE;
	platform_stop(&platform);
	return EXIT_SUCCESS;
}
