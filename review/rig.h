#ifndef RIG_H
#define RIG_H

/*
 * What the review's scripts share: a platform store, a worker's HTTP side and a
 * client's, with blocking sockets and a thread for each connection. Each case is
 * one program that includes this file; the hosts (pimentoedge) are processes of
 * their own, which run.sh starts.
 */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384
#define STACK_BYTES (256 * 1024)

/* The record: one line an event, with milliseconds since the start. */

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double rig_start;

static double rig_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static double rig_now(void)
{
	return rig_seconds() - rig_start;
}

static void rig_sleep(double seconds)
{
	if (seconds > 0)
		usleep((useconds_t)(seconds * 1e6));
}

__attribute__((format(printf, 1, 2))) static void rec(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%9.1f ", rig_now() * 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void rig_begin(const char *record)
{
	signal(SIGPIPE, SIG_IGN);
	rig_start = rig_seconds();
	record_file = fopen(record, "w");
	if (!record_file) {
		perror(record);
		exit(2);
	}
}

static void rig_thread(void *(*run)(void *), void *argument)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, STACK_BYTES);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, argument)) {
		rec("no thread");
		exit(2);
	}
	pthread_attr_destroy(&attributes);
}

/* Sockets. */

static struct sockaddr_in rig_address(const char *ip, int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };

	at.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &at.sin_addr);
	return at;
}

static int rig_listen(const char *ip, int port)
{
	struct sockaddr_in at = rig_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, 256)) {
		rec("cannot listen at %s:%d: %s", ip, port, strerror(errno));
		exit(2);
	}
	return fd;
}

/* receive_bytes: size of the receive buffer; 0: as the system has it. */
static int rig_connect(const char *ip, int port, int receive_bytes)
{
	struct sockaddr_in at = rig_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool rig_send(int fd, const char *bytes, size_t length)
{
	while (length) {
		ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (size_t)sent;
	}
	return true;
}

/* HTTP, as far as it is needed. */

typedef struct peer_conn {
	int fd;
	size_t have; /* bytes in buf */
	char buf[HEAD_MAX];
	char head[HEAD_MAX]; /* of the last message, a C string */
	long body_length; /* stated; -1: not stated */
} peer_conn_t;

/* Reads a head; bytes behind it stay in buf. False: the channel has ended. */
static bool rig_read_head(peer_conn_t *conn)
{
	for (;;) {
		char *end = memmem(conn->buf, conn->have, "\r\n\r\n", 4);
		ssize_t got;

		if (end) {
			size_t length = (size_t)(end - conn->buf) + 4;

			memcpy(conn->head, conn->buf, length);
			conn->head[length] = '\0';
			conn->have -= length;
			memmove(conn->buf, conn->buf + length, conn->have);
			return true;
		}
		if (conn->have == sizeof(conn->buf) - 1)
			return false;
		got = recv(conn->fd, conn->buf + conn->have,
			   sizeof(conn->buf) - 1 - conn->have, 0);
		if (got <= 0)
			return false;
		conn->have += (size_t)got;
	}
}

/* Copies a field's value, "" if there is none; true if it is there. */
static bool rig_field(const char *head, const char *name, char *value,
		      size_t size)
{
	size_t length = strlen(name);

	value[0] = '\0';
	for (const char *at = strstr(head, "\r\n"); at && at[2];
	     at = strstr(at + 2, "\r\n")) {
		const char *line = at + 2;
		size_t span;

		if (strncasecmp(line, name, length) || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " ");
		span = strcspn(line, "\r");
		if (span >= size)
			span = size - 1;
		memcpy(value, line, span);
		value[span] = '\0';
		return true;
	}
	return false;
}

static long rig_length(const char *head)
{
	char text[32];

	return rig_field(head, "Content-Length", text, sizeof(text))
		       ? strtol(text, NULL, 10)
		       : -1;
}

/* Takes up to size bytes of a body; 0: ended, -1: broken. */
static ssize_t rig_read_some(peer_conn_t *conn, char *to, size_t size)
{
	if (conn->have) {
		size_t part = conn->have < size ? conn->have : size;

		memcpy(to, conn->buf, part);
		conn->have -= part;
		memmove(conn->buf, conn->buf + part, conn->have);
		return (ssize_t)part;
	}
	return recv(conn->fd, to, size, 0);
}

static bool rig_skip_body(peer_conn_t *conn, long length)
{
	char part[4096];

	while (length > 0) {
		ssize_t got = rig_read_some(conn, part,
					    length < (long)sizeof(part)
						    ? (size_t)length
						    : sizeof(part));

		if (got <= 0)
			return false;
		length -= got;
	}
	return true;
}

/* A server: accepts, and runs serve() in a thread for each channel. */

typedef struct server {
	int fd;
	void (*serve)(struct server *server, peer_conn_t *conn);
	void *context;
} server_t;

typedef struct served {
	server_t *server;
	peer_conn_t *conn;
} served_t;

static void *rig_serve_one(void *argument)
{
	served_t served = *(served_t *)argument;

	free(argument);
	served.server->serve(served.server, served.conn);
	close(served.conn->fd);
	free(served.conn);
	return NULL;
}

static void *rig_accept(void *argument)
{
	server_t *server = argument;

	for (;;) {
		int fd = accept(server->fd, NULL, NULL);
		int one = 1;
		served_t *served;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		served = calloc(1, sizeof(*served));
		served->server = server;
		served->conn = calloc(1, sizeof(peer_conn_t));
		served->conn->fd = fd;
		rig_thread(rig_serve_one, served);
	}
	return NULL;
}

static void rig_start_server(server_t *server, const char *ip, int port)
{
	server->fd = rig_listen(ip, port);
	rig_thread(rig_accept, server);
}

/* The platform's store: /kv-range and /kv-watch, all in one page. */

#define STORE_ITEMS 64

typedef struct store_item {
	char key[200];
	char *value; /* base64; NULL: removed */
	uint64_t revision;
} store_item_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	store_item_t items[STORE_ITEMS];
	int count;
	uint64_t revision;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER,
	    .revision = 100 };

static char *rig_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);
	char *out = calloc(1, length / 3 * 4 + 8);
	char *to = out;

	for (size_t i = 0; i < length; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
		size_t left = length - i;

		if (left > 1)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (left > 2)
			bits |= (uint32_t)(unsigned char)text[i + 2];
		*to++ = digits[bits >> 18 & 63];
		*to++ = digits[bits >> 12 & 63];
		*to++ = left > 1 ? digits[bits >> 6 & 63] : '=';
		*to++ = left > 2 ? digits[bits & 63] : '=';
	}
	return out;
}

/* NULL removes the item. The acknowledgement is this function's return. */
static void store_put(const char *key, const char *value)
{
	store_item_t *item = NULL;

	pthread_mutex_lock(&store.lock);
	for (int i = 0; i < store.count; i++)
		if (!strcmp(store.items[i].key, key))
			item = &store.items[i];
	if (!item) {
		item = &store.items[store.count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	free(item->value);
	item->value = value ? rig_base64(value) : NULL;
	item->revision = ++store.revision;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

static void store_query(const char *head, const char *name, char *value,
			size_t size)
{
	char wanted[32];
	const char *at;
	size_t length = (size_t)snprintf(wanted, sizeof(wanted), "%s=", name);

	value[0] = '\0';
	at = strchr(head, '?');
	while (at && *at != ' ') {
		at++;
		if (!strncmp(at, wanted, length)) {
			snprintf(value, size, "%.*s",
				 (int)strcspn(at + length, "& "), at + length);
			return;
		}
		at += strcspn(at, "& ");
	}
}

/* Adds the items of a prefix that changed after a revision. */
static int store_list(FILE *to, const char *prefix, uint64_t after, bool watch)
{
	int count = 0;

	for (int i = 0; i < store.count; i++) {
		const store_item_t *item = &store.items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) ||
		    item->revision <= after || (!item->value && !watch))
			continue;
		if (item->value)
			fprintf(to,
				"%s{\"key\":\"%s\",\"value\":\"%s\","
				"\"revision\":%llu,\"created\":%llu,"
				"\"lease\":0}",
				count ? "," : "", item->key, item->value,
				(unsigned long long)item->revision,
				(unsigned long long)item->revision);
		else
			fprintf(to,
				"%s{\"key\":\"%s\",\"revision\":%llu,"
				"\"removed\":true}",
				count ? "," : "", item->key,
				(unsigned long long)item->revision);
		count++;
	}
	return count;
}

static void store_serve(server_t *server, peer_conn_t *conn)
{
	(void)server;
	while (rig_read_head(conn)) {
		bool watch = strncmp(conn->head, "GET /kv-watch?", 14) == 0;
		char prefix[200];
		char text[32];
		char *body = NULL;
		size_t size = 0;
		FILE *to = open_memstream(&body, &size);
		char head[256];
		uint64_t after = 0;
		struct timespec until;
		int length;
		int found;

		store_query(conn->head, "prefix", prefix, sizeof(prefix));
		fprintf(to, watch ? "{\"events\":[" : "{\"items\":[");
		pthread_mutex_lock(&store.lock);
		if (watch) {
			long wait_ms;

			store_query(conn->head, "after", text, sizeof(text));
			after = strtoull(text, NULL, 10);
			store_query(conn->head, "wait_ms", text, sizeof(text));
			wait_ms = strtol(text, NULL, 10);
			clock_gettime(CLOCK_REALTIME, &until);
			until.tv_nsec += wait_ms % 1000 * 1000000;
			until.tv_sec +=
				wait_ms / 1000 + until.tv_nsec / 1000000000;
			until.tv_nsec %= 1000000000;
		}
		do
			found = store_list(to, prefix, after, watch);
		while (watch && !found &&
		       !pthread_cond_timedwait(&store.changed, &store.lock,
					       &until));
		fprintf(to,
			watch ? "],\"store_revision\":%llu}"
			      : "],\"more_pages\":false,"
				"\"store_revision\":%llu}",
			(unsigned long long)store.revision);
		pthread_mutex_unlock(&store.lock);
		fclose(to);
		length = snprintf(head, sizeof(head),
				  "HTTP/1.1 200 OK\r\nContent-Type: "
				  "application/json\r\nContent-Length: %zu\r\n"
				  "\r\n",
				  size);
		if (!rig_send(conn->fd, head, (size_t)length) ||
		    !rig_send(conn->fd, body, size)) {
			free(body);
			return;
		}
		free(body);
	}
}

/* A host is up when its health address answers 200. */
static bool rig_is_ready(const char *ip, int port)
{
	static const char ask[] = "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n";
	char text[64] = "";
	int fd = rig_connect(ip, port, 0);
	bool ready = false;

	if (fd < 0)
		return false;
	if (rig_send(fd, ask, sizeof(ask) - 1) &&
	    recv(fd, text, sizeof(text) - 1, 0) > 0)
		ready = strncmp(text, "HTTP/1.1 200", 12) == 0;
	close(fd);
	return ready;
}

static void rig_await_ready(const char *ip, int port)
{
	for (int i = 0; i < 200; i++) {
		if (rig_is_ready(ip, port))
			return;
		usleep(50000);
	}
	rec("the host at %s is not ready", ip);
	exit(2);
}

#endif
