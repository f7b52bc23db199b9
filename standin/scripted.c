#include "scripted.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { BACKLOG = 64, HEAD_BYTES = 16384, PIECE = 4096, SPLIT_MS = 5 };

/* So that an upload that is not read stays under way at its sender. */
#define RECEIVE_BYTES 4096

static const char not_found[] =
	"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/* Bytes of a request that were read. */
typedef struct input {
	char bytes[HEAD_BYTES];
	size_t length;
} input_t;

static bool send_all(int fd, const char *bytes, size_t length)
{
	while (length > 0) {
		ssize_t part = send(fd, bytes, length, MSG_NOSIGNAL);

		if (part <= 0)
			return false;
		bytes += part;
		length -= (size_t)part;
	}
	return true;
}

/* Reads up to the end of a head. Returns its length; 0: there is none. */
static size_t read_head(int fd, input_t *input)
{
	for (;;) {
		char *end;
		ssize_t got;

		input->bytes[input->length] = '\0';
		end = strstr(input->bytes, "\r\n\r\n");
		if (end)
			return (size_t)(end - input->bytes) + 4;
		if (input->length == HEAD_BYTES - 1)
			return 0;
		got = recv(fd, input->bytes + input->length,
			   HEAD_BYTES - 1 - input->length, 0);
		if (got <= 0)
			return 0;
		input->length += (size_t)got;
	}
}

static size_t body_length(const char *head)
{
	const char *field = strcasestr(head, "\r\ncontent-length:");

	return field ? strtoul(strchr(field, ':') + 1, NULL, 10) : 0;
}

/* Reads a body off the connection and drops what was read of the request. */
static bool read_body(int fd, input_t *input, size_t head, size_t body)
{
	char piece[PIECE];
	size_t here = input->length - head < body ? input->length - head : body;

	memmove(input->bytes, input->bytes + head + here,
		input->length - head - here);
	input->length -= head + here;
	for (size_t left = body - here; left > 0;) {
		size_t part = left < sizeof(piece) ? left : sizeof(piece);
		ssize_t got = recv(fd, piece, part, 0);

		if (got <= 0)
			return false;
		left -= (size_t)got;
	}
	return true;
}

static void read_to_end(int fd)
{
	char piece[PIECE];

	while (recv(fd, piece, sizeof(piece), 0) > 0)
		continue;
}

static scripted_answer_t next_answer(scripted_t *server)
{
	scripted_answer_t answer = { 0 };

	pthread_mutex_lock(&server->mutex);
	if (server->answer_count)
		answer = server->answers[server->next];
	if (server->next + 1 < server->answer_count)
		server->next++;
	server->requests++;
	pthread_mutex_unlock(&server->mutex);
	return answer;
}

static bool send_filler(int fd, uint32_t length)
{
	char piece[PIECE];

	memset(piece, 'x', sizeof(piece));
	while (length > 0) {
		uint32_t part = length < PIECE ? length : PIECE;

		if (!send_all(fd, piece, part))
			return false;
		length -= part;
	}
	return true;
}

static void wait_ms(int ms)
{
	const struct timespec span = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&span, NULL);
}

static bool send_pieces(int fd, const scripted_answer_t *answer)
{
	size_t left = strlen(answer->bytes);

	for (const char *at = answer->bytes; left;) {
		size_t part = left < answer->split ? left : answer->split;

		if (!send_all(fd, at, part))
			return false;
		at += part;
		left -= part;
		wait_ms(answer->piece_ms);
	}
	return true;
}

static bool send_bytes(int fd, const scripted_answer_t *answer)
{
	if (answer->piece_ms)
		return send_pieces(fd, answer);
	if (answer->split) {
		if (!send_all(fd, answer->bytes, answer->split))
			return false;
		wait_ms(SPLIT_MS);
	}
	return send_all(fd, answer->bytes + answer->split,
			strlen(answer->bytes + answer->split));
}

/* Returns true if the connection is kept. */
static bool end_answer(int fd, const scripted_answer_t *answer)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	wait_ms(answer->pause_ms);
	if (answer->end == SCRIPTED_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (answer->end == SCRIPTED_SHUT) {
		shutdown(fd, SHUT_WR);
		read_to_end(fd);
	}
	return answer->end == SCRIPTED_KEEP;
}

static bool counts(const scripted_t *server, const char *head)
{
	const char *path = strchr(head, ' ');

	return !server->only || (path && strncmp(path + 1, server->only,
						 strlen(server->only)) == 0);
}

/* Serves one request. Returns true if another one may follow. */
static bool serve(scripted_t *server, int fd, input_t *input)
{
	size_t head = read_head(fd, input);
	size_t body = head ? body_length(input->bytes) : 0;
	scripted_answer_t answer;

	if (!head)
		return false;
	if (!counts(server, input->bytes))
		return read_body(fd, input, head, body) &&
		       send_all(fd, not_found, sizeof(not_found) - 1);
	answer = next_answer(server);
	if (!answer.bytes ||
	    (!answer.early && !read_body(fd, input, head, body)))
		return false;
	wait_ms(answer.delay_ms);
	if (!send_bytes(fd, &answer) || !send_filler(fd, answer.filler) ||
	    !end_answer(fd, &answer))
		return false;
	return !answer.early || read_body(fd, input, head, body);
}

/* The descriptor is closed under the lock, so that no other one is shut down. */
static void *run_connection(void *data)
{
	scripted_connection_t *connection = data;
	input_t input = { .length = 0 };

	while (serve(connection->server, connection->fd, &input))
		continue;
	pthread_mutex_lock(&connection->server->mutex);
	close(connection->fd);
	connection->fd = -1;
	pthread_mutex_unlock(&connection->server->mutex);
	return NULL;
}

/* A slot without a connection; NULL if all are in use. */
static scripted_connection_t *free_slot(scripted_t *server)
{
	for (uint32_t i = 0; i < server->connection_count; i++)
		if (server->connections[i].fd < 0) {
			pthread_join(server->connections[i].thread, NULL);
			return &server->connections[i];
		}
	if (server->connection_count == SCRIPTED_CONNECTIONS_MAX)
		return NULL;
	return &server->connections[server->connection_count++];
}

static void add_connection(scripted_t *server, int fd)
{
	scripted_connection_t *connection = free_slot(server);

	if (!connection) {
		close(fd);
		return;
	}
	*connection = (scripted_connection_t){ .server = server, .fd = fd };
	if (pthread_create(&connection->thread, NULL, run_connection,
			   connection))
		abort();
}

static void *accept_connections(void *data)
{
	const int one = 1;
	scripted_t *server = data;
	int fd;

	while ((fd = accept4(server->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >=
	       0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_mutex_lock(&server->mutex);
		if (server->stopping)
			close(fd);
		else
			add_connection(server, fd);
		pthread_mutex_unlock(&server->mutex);
	}
	return NULL;
}

static int listen_at(uint32_t ip, uint16_t *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(*port) };
	socklen_t length = sizeof(address);
	const int one = 1;
	const int size = RECEIVE_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(ip);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(fd, BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) < 0) {
		close(fd);
		return -1;
	}
	*port = ntohs(address.sin_port);
	return fd;
}

int scripted_init(scripted_t *server, uint32_t address, uint16_t port,
		  const char *only)
{
	memset(server, 0, sizeof(*server));
	server->port = port;
	server->only = only;
	pthread_mutex_init(&server->mutex, NULL);
	server->listen_fd = listen_at(address, &server->port);
	if (server->listen_fd < 0)
		return -1;
	return pthread_create(&server->acceptor, NULL, accept_connections,
			      server)
		       ? -1
		       : 0;
}

void scripted_finish(scripted_t *server)
{
	pthread_mutex_lock(&server->mutex);
	server->stopping = true;
	for (uint32_t i = 0; i < server->connection_count; i++)
		if (server->connections[i].fd >= 0)
			shutdown(server->connections[i].fd, SHUT_RDWR);
	pthread_mutex_unlock(&server->mutex);
	shutdown(server->listen_fd, SHUT_RDWR);
	pthread_join(server->acceptor, NULL);
	for (uint32_t i = 0; i < server->connection_count; i++)
		pthread_join(server->connections[i].thread, NULL);
	close(server->listen_fd);
	pthread_mutex_destroy(&server->mutex);
}

void scripted_set(scripted_t *server, const scripted_answer_t *answers,
		  uint32_t count)
{
	pthread_mutex_lock(&server->mutex);
	memcpy(server->answers, answers, count * sizeof(*answers));
	server->answer_count = count;
	server->next = 0;
	server->requests = 0;
	pthread_mutex_unlock(&server->mutex);
}

uint32_t scripted_requests(scripted_t *server)
{
	uint32_t requests;

	pthread_mutex_lock(&server->mutex);
	requests = server->requests;
	pthread_mutex_unlock(&server->mutex);
	return requests;
}
