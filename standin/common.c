/*
 * One HTTP server for all stand-ins. Each connection has a thread of its own,
 * so a callback may simply wait. A connection that must be closed before its
 * request is read is shut down as soon as the request line was parsed; the
 * callback, which runs in the same thread, learns of it by a thread variable
 * and does nothing, because the request may have been small enough to have
 * arrived whole.
 */

#include "common.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 512
#define CONNECTIONS_MAX 4096

static _Thread_local bool closed_before;

static void *log_uri(void *data, const char *uri, struct MHD_Connection *con)
{
	standin_t *standin = data;
	const union MHD_ConnectionInfo *info;

	closed_before = standin->is_call && standin->is_call(uri) &&
			standin_close_take(standin, CLOSE_BEFORE);
	if (closed_before) {
		info = MHD_get_connection_info(
			con, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (info)
			shutdown(info->connect_fd, SHUT_RDWR);
	}
	return ulfius_uri_logger(NULL, uri);
}

bool standin_closed_before(void)
{
	return closed_before;
}

bool standin_close_take(standin_t *standin, close_when_t when)
{
	bool taken;

	pthread_mutex_lock(&standin->mutex);
	taken = standin->when == when && standin->close_count > 0;
	if (taken)
		standin->close_count--;
	pthread_mutex_unlock(&standin->mutex);
	return taken;
}

static close_when_t close_named(const char *name)
{
	static const char *const names[] = { "never", "before", "during",
					     "after" };

	for (int i = CLOSE_BEFORE; name && i <= CLOSE_AFTER; i++)
		if (!strcmp(name, names[i]))
			return (close_when_t)i;
	return CLOSE_NEVER;
}

static int on_close(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	standin_t *standin = data;
	json_t *body = standin_body(request);
	const char *when = json_string_value(json_object_get(body, "when"));
	json_t *count = json_object_get(body, "count");

	pthread_mutex_lock(&standin->mutex);
	standin->when = close_named(when);
	standin->close_count = count ? (int)json_integer_value(count) : 1;
	pthread_mutex_unlock(&standin->mutex);
	json_decref(body);
	return standin_json(response, 200, json_pack("{s:b}", "ok", 1));
}

/* A whole answer that is cut short. */
typedef struct cut {
	char *text;
	size_t length;
} cut_t;

static ssize_t read_cut(void *data, uint64_t offset, char *out, size_t max)
{
	const cut_t *cut = data;
	size_t left;

	if (offset >= cut->length)
		return U_STREAM_ERROR;
	left = cut->length - (size_t)offset;
	if (left > max)
		left = max;
	memcpy(out, cut->text + offset, left);
	return (ssize_t)left;
}

static void free_cut(void *data)
{
	cut_t *cut = data;

	free(cut->text);
	free(cut);
}

static int send_cut(struct _u_response *response, json_t *object, bool half)
{
	cut_t *cut = calloc(1, sizeof(*cut));

	if (cut)
		cut->text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	if (!cut || !cut->text) {
		free(cut);
		return U_CALLBACK_ERROR;
	}
	cut->length = strlen(cut->text);
	if (half)
		cut->length /= 2;
	ulfius_add_header_to_response(response, "Content-Type",
				      "application/json");
	ulfius_set_stream_response(response, 200, read_cut, free_cut,
				   U_STREAM_SIZE_UNKNOWN, STANDIN_STREAM_BLOCK,
				   cut);
	return U_CALLBACK_COMPLETE;
}

int standin_answer(standin_t *standin, struct _u_response *response,
		   json_t *object)
{
	if (standin_close_take(standin, CLOSE_DURING))
		return send_cut(response, object, true);
	if (standin_close_take(standin, CLOSE_AFTER))
		return send_cut(response, object, false);
	return standin_json(response, 200, object);
}

static int on_healthz(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	(void)request;
	(void)data;
	ulfius_set_string_body_response(response, 200, "ok\n");
	return U_CALLBACK_COMPLETE;
}

static int on_unknown(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	(void)request;
	(void)data;
	return standin_error(response, 404, "no such path");
}

static int listen_on(uint16_t port, uint16_t *bound)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	socklen_t length = sizeof(address);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(fd, BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) < 0) {
		close(fd);
		return -1;
	}
	*bound = ntohs(address.sin_port);
	return fd;
}

int standin_init(standin_t *standin, const char *name, uint16_t port,
		 bool (*is_call)(const char *url))
{
	memset(standin, 0, sizeof(*standin));
	standin->name = name;
	standin->is_call = is_call;
	pthread_mutex_init(&standin->mutex, NULL);
	standin->listen_fd = listen_on(port, &standin->port);
	if (standin->listen_fd < 0) {
		fprintf(stderr, "%s: port %u: %s\n", name, port,
			strerror(errno));
		return -1;
	}
	if (ulfius_init_instance(&standin->instance, standin->port, NULL,
				 NULL) != U_OK)
		return -1;
	standin->instance.check_utf8 = 0;
	standin->instance.allowed_post_processor = U_POST_PROCESS_NONE;
	standin_route(standin, "GET", "/healthz", on_healthz, NULL);
	standin_route(standin, "POST", "/control/close", on_close, standin);
	ulfius_set_default_endpoint(&standin->instance, on_unknown, NULL);
	return 0;
}

void standin_route(standin_t *standin, const char *method, const char *path,
		   standin_callback_t callback, void *data)
{
	ulfius_add_endpoint_by_val(&standin->instance, method, NULL, path, 0,
				   callback, data);
}

static void signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void standin_signals(void)
{
	sigset_t set;

	signal_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

int standin_run(standin_t *standin)
{
	struct MHD_OptionItem options[] = {
		{ MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed,
		  NULL },
		{ MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)log_uri, standin },
		{ MHD_OPTION_LISTEN_SOCKET, standin->listen_fd, NULL },
		{ MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
			     MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
	sigset_t set;
	int number;

	if (ulfius_start_framework_with_mhd_options(&standin->instance, flags,
						    options) != U_OK) {
		fprintf(stderr, "%s: cannot serve\n", standin->name);
		return -1;
	}
	printf("listening on 127.0.0.1:%u\n", standin->port);
	fflush(stdout);
	signal_set(&set);
	sigwait(&set, &number);
	return 0;
}

void standin_finish(standin_t *standin)
{
	ulfius_stop_framework(&standin->instance);
	ulfius_clean_instance(&standin->instance);
	pthread_mutex_destroy(&standin->mutex);
}

int standin_json(struct _u_response *response, unsigned int status,
		 json_t *object)
{
	ulfius_set_json_body_response(response, status, object);
	json_decref(object);
	return U_CALLBACK_COMPLETE;
}

int standin_error(struct _u_response *response, unsigned int status,
		  const char *message)
{
	return standin_json(
		response, status,
		json_pack("{s:{s:s}}", "error", "message", message));
}

json_t *standin_body(const struct _u_request *request)
{
	json_t *body;

	if (!request->binary_body_length)
		return NULL;
	body = json_loadb(request->binary_body, request->binary_body_length, 0,
			  NULL);
	if (json_is_object(body))
		return body;
	json_decref(body);
	return NULL;
}

int64_t standin_query(const struct _u_request *request, const char *name,
		      int64_t otherwise)
{
	const char *text = u_map_get(request->map_url, name);

	return text ? strtoll(text, NULL, 10) : otherwise;
}

int64_t standin_number(const char *option, const char *text, int64_t least,
		       int64_t most)
{
	char *end;
	int64_t number = strtoll(text, &end, 10);

	if (*text && !*end && number >= least && number <= most)
		return number;
	fprintf(stderr, "--%s: %s: not a number from %lld to %lld\n", option,
		text, (long long)least, (long long)most);
	exit(2);
}

int64_t standin_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t standin_draw(void)
{
	int64_t number = 0;

	while (number <= 0)
		if (getrandom(&number, sizeof(number), 0) !=
		    (ssize_t)sizeof(number))
			abort();
	return number;
}
