/*
 * HTTP calls of the subcommands, with a bound on time and size, so that a host
 * that hangs or floods holds nobody up.
 */

#include "ctl.h"
#include "ctl_http.h"

#include "../io/response.h"
#include "../src/fields.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 2000
#define GET_TIMEOUT_SECONDS 5UL
#define GET_BYTES_MAX ((size_t)8 * 1048576)
#define URL_BYTES 512

static socklen_t fill_address(struct sockaddr_storage *to, const char *address,
			      uint16_t port)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)to;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)to;

	memset(to, 0, sizeof(*to));
	if (inet_pton(AF_INET, address, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		return sizeof(*v4);
	}
	inet_pton(AF_INET6, address, &v6->sin6_addr);
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(port);
	return sizeof(*v6);
}

/* Waits until a connection that is being made is there, or has failed. */
static bool wait_connected(int fd)
{
	struct pollfd wanted = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t size = sizeof(error);

	if (poll(&wanted, 1, CONNECT_TIMEOUT_MS) != 1)
		return false;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size))
		return false;
	return !error;
}

bool ctl_reachable(const char *host)
{
	struct sockaddr_storage to;
	socklen_t length;
	char address[64];
	uint16_t port;
	bool connected;
	int fd;

	if (fields_parse_address_port(host, address, &port))
		return false;
	length = fill_address(&to, address, port);
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return false;
	connected = !connect(fd, (const struct sockaddr *)&to, length) ||
		    (errno == EINPROGRESS && wait_connected(fd));
	close(fd);
	return connected;
}

bool ctl_is_host(const char *host)
{
	char address[64];
	uint16_t port;

	if (!fields_parse_address_port(host, address, &port))
		return true;
	fprintf(stderr, "pimentoctl: \"%s\" is not ADDRESS:PORT, such as %s\n",
		host, CTL_DEFAULT_HOST);
	return false;
}

typedef struct sink {
	strbuf_t *body;
	bool too_big;
} sink_t;

static size_t on_body(void *bytes, size_t size, size_t count, void *data)
{
	sink_t *sink = data;
	size_t length = size * count;

	if (sink->body->length + length > GET_BYTES_MAX) {
		sink->too_big = true;
		return 0;
	}
	strbuf_add(sink->body, bytes, length);
	return length;
}

static int get(const char *url, sink_t *sink, long *status)
{
	struct _u_request request;
	struct _u_response response;
	int error;

	ulfius_init_request(&request);
	ulfius_init_response(&response);
	ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "GET",
				      U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
				      GET_TIMEOUT_SECONDS, U_OPT_NONE);
	error = ulfius_send_http_streaming_request(&request, &response, on_body,
						   sink);
	*status = response.status;
	if (error == U_OK && !response_is_sound(&response))
		error = U_ERROR;
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
	return error;
}

int ctl_get(const char *host, const char *path, strbuf_t *body)
{
	sink_t sink = { body, false };
	char url[URL_BYTES];
	long status = 0;

	if (!ctl_reachable(host)) {
		fprintf(stderr, "%s: cannot be reached\n", host);
		return CTL_UNREACHABLE;
	}
	snprintf(url, sizeof(url), "http://%s%s", host, path);
	if (get(url, &sink, &status) != U_OK) {
		fprintf(stderr, "%s: %s\n", host,
			sink.too_big ? "answer is too big" : "no answer");
		return sink.too_big ? CTL_FAILED : CTL_UNREACHABLE;
	}
	if (status != 200 || strbuf_error(body)) {
		fprintf(stderr, "%s: answered %ld\n", host, status);
		return CTL_FAILED;
	}
	return CTL_SUCCESS;
}

int ctl_hosts_init(ctl_hosts_t *hosts, int argc, char **argv)
{
	static const char *const standard[] = { CTL_DEFAULT_HOST };

	hosts->names = argc ? (const char *const *)argv : standard;
	hosts->count = argc ? (size_t)argc : 1;
	hosts->answered = 0;
	if (hosts->count > CTL_HOSTS_MAX) {
		fprintf(stderr, "pimentoctl: at most %d hosts are asked\n",
			CTL_HOSTS_MAX);
		return CTL_USAGE;
	}
	for (size_t i = 0; i < hosts->count; i++)
		if (!ctl_is_host(hosts->names[i]))
			return CTL_USAGE;
	return CTL_SUCCESS;
}

int ctl_hosts_status(const ctl_hosts_t *hosts)
{
	if (!hosts->answered)
		return CTL_UNREACHABLE;
	return hosts->answered < hosts->count ? CTL_FAILED : CTL_SUCCESS;
}
