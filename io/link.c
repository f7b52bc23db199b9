/*
 * Non-blocking TCP with bounded buffers. A peer that does not read fills its
 * buffer and loses messages, but can never hold up the control thread. A frame
 * that cannot be decoded closes the link, is counted and logged once a link:
 * after it, the stream's frames could not be told apart.
 */

#include "link.h"
#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 1024
#define OUT_MIN 4096
#define OUT_MAX ((size_t)4 * 1024 * 1024)
#define IDLE_TIMEOUT (60 * PIMENTO_SEC)
#define CONNECT_TIMEOUT (2 * PIMENTO_SEC)
#define BACKOFF_MIN (100 * PIMENTO_MSEC)
#define BACKOFF_MAX (2 * PIMENTO_SEC)
#define BACKLOG 128

static int set_options(int fd)
{
	int one = 1;
	int flags = fcntl(fd, F_GETFL);

	if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) < 0)
		return PIMENTO_EIO;
	if (fcntl(fd, F_SETFD, FD_CLOEXEC) < 0)
		return PIMENTO_EIO;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return PIMENTO_OK;
}

static int fill_address(struct sockaddr_in *to, const char *address,
			uint16_t port)
{
	memset(to, 0, sizeof(*to));
	to->sin_family = AF_INET;
	to->sin_port = htons(port);
	return inet_pton(AF_INET, address, &to->sin_addr) == 1 ? PIMENTO_OK
							       : PIMENTO_EINVAL;
}

static int start_listening(links_t *links, const char *address, uint16_t port)
{
	struct sockaddr_in at;
	int one = 1;

	if (fill_address(&at, address, port))
		return PIMENTO_EINVAL;
	links->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (links->listener < 0)
		return PIMENTO_EIO;
	setsockopt(links->listener, SOL_SOCKET, SO_REUSEADDR, &one,
		   sizeof(one));
	if (bind(links->listener, (struct sockaddr *)&at, sizeof(at)) < 0 ||
	    listen(links->listener, BACKLOG) < 0)
		return PIMENTO_EIO;
	return set_options(links->listener);
}

int link_init(links_t *links, pimento_id_t self, link_handler_t *handler,
	      const char *address, uint16_t port)
{
	memset(links, 0, sizeof(*links));
	links->self = self;
	links->handler = handler;
	links->listener = -1;
	links->connections =
		calloc(CONNECTIONS_MAX, sizeof(*links->connections));
	if (!links->connections)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
		links->connections[i].fd = -1;
	return start_listening(links, address, port);
}

static void close_connection(links_t *links, pimento_usec_t now, uint32_t index)
{
	link_connection_t *c = &links->connections[index];

	for (uint32_t i = 0; i < links->peer_count; i++) {
		link_peer_t *peer = &links->peers[i];

		if (peer->connection != (int)index)
			continue;
		peer->connection = -1;
		peer->backoff = peer->backoff ? peer->backoff * 2 : BACKOFF_MIN;
		if (peer->backoff > BACKOFF_MAX)
			peer->backoff = BACKOFF_MAX;
		peer->retry_at = now + peer->backoff;
	}
	close(c->fd);
	free(c->in);
	free(c->out);
	memset(c, 0, sizeof(*c));
	c->fd = -1;
}

void link_finish(links_t *links)
{
	for (uint32_t i = 0; i < links->connection_count; i++) {
		if (links->connections[i].fd >= 0)
			close_connection(links, 0, i);
	}
	if (links->listener >= 0)
		close(links->listener);
	free(links->connections);
	free(links->peers);
	memset(links, 0, sizeof(*links));
	links->listener = -1;
}

static link_peer_t *find_peer(links_t *links, pimento_id_t id)
{
	for (uint32_t i = 0; i < links->peer_count; i++) {
		if (links->peers[i].id == id)
			return &links->peers[i];
	}
	return NULL;
}

static link_peer_t *add_peer(links_t *links)
{
	link_peer_t *peer;

	if (links->peer_count == links->peer_capacity) {
		uint32_t capacity = links->peer_capacity * 2 + 8;
		link_peer_t *peers =
			realloc(links->peers, capacity * sizeof(*peers));

		if (!peers)
			return NULL;
		links->peers = peers;
		links->peer_capacity = capacity;
	}
	peer = &links->peers[links->peer_count++];
	memset(peer, 0, sizeof(*peer));
	peer->connection = -1;
	return peer;
}

static void set_address(link_peer_t *peer, const char *address, uint16_t port)
{
	strncpy(peer->address, address, LINK_ADDRESS_MAX - 1);
	peer->port = port;
}

int link_peer(links_t *links, pimento_id_t id, const char *address,
	      uint16_t port)
{
	link_peer_t *peer = find_peer(links, id);

	if (!peer)
		peer = add_peer(links);
	if (!peer)
		return PIMENTO_ENOMEM;
	peer->id = id;
	set_address(peer, address, port);
	return PIMENTO_OK;
}

int link_seed(links_t *links, const char *address, uint16_t port)
{
	link_peer_t *peer = add_peer(links);

	if (!peer)
		return PIMENTO_ENOMEM;
	peer->seed = true;
	set_address(peer, address, port);
	return PIMENTO_OK;
}

static int add_connection(links_t *links, pimento_usec_t now, int fd)
{
	for (uint32_t i = 0; i < CONNECTIONS_MAX; i++) {
		link_connection_t *c = &links->connections[i];

		if (c->fd >= 0)
			continue;
		c->in = malloc(WIRE_FRAME_MAX);
		c->out = malloc(OUT_MIN);
		if (!c->in || !c->out) {
			free(c->in);
			free(c->out);
			return -1;
		}
		c->fd = fd;
		c->out_size = OUT_MIN;
		c->used = now;
		c->peer = -1;
		if (i >= links->connection_count)
			links->connection_count = i + 1;
		return (int)i;
	}
	return -1;
}

static void connect_peer(links_t *links, pimento_usec_t now, uint32_t index)
{
	link_peer_t *peer = &links->peers[index];
	struct sockaddr_in to;
	int fd;
	int at;

	if (now < peer->retry_at ||
	    fill_address(&to, peer->address, peer->port))
		return;
	peer->retry_at = now + BACKOFF_MIN;
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (fd < 0)
		return;
	if (set_options(fd) ||
	    (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
	     errno != EINPROGRESS)) {
		close(fd);
		return;
	}
	at = add_connection(links, now, fd);
	if (at < 0) {
		close(fd);
		return;
	}
	links->connections[at].connecting = true;
	links->connections[at].peer = (int)index;
	links->connections[at].id = peer->id;
	peer->connection = at;
}

/* Makes room for length more bytes; false when the bound is reached. */
static bool reserve_out(link_connection_t *c, size_t length)
{
	size_t size = c->out_size;
	uint8_t *out;

	if (c->out_used + length > OUT_MAX)
		return false;
	while (size < c->out_used + length)
		size *= 2;
	if (size == c->out_size)
		return true;
	out = realloc(c->out, size);
	if (!out)
		return false;
	c->out = out;
	c->out_size = size;
	return true;
}

static void flush(links_t *links, pimento_usec_t now, uint32_t index)
{
	link_connection_t *c = &links->connections[index];
	ssize_t sent;

	if (c->connecting || !c->out_used)
		return;
	sent = send(c->fd, c->out, c->out_used, MSG_NOSIGNAL);
	if (sent < 0) {
		if (errno != EAGAIN && errno != EINTR)
			close_connection(links, now, index);
		return;
	}
	c->out_used -= (size_t)sent;
	memmove(c->out, c->out + sent, c->out_used);
	links->counters.bytes_out += (uint64_t)sent;
}

static void queue_message(links_t *links, pimento_usec_t now, uint32_t index,
			  const message_t *message)
{
	link_connection_t *c = &links->connections[index];
	uint8_t frame[WIRE_FRAME_MAX];
	int length = wire_encode(links->self, message, frame, sizeof(frame));

	if (length < 0 || !reserve_out(c, (size_t)length)) {
		links->counters.dropped++;
		return;
	}
	memcpy(c->out + c->out_used, frame, (size_t)length);
	c->out_used += (size_t)length;
	c->used = now;
	links->counters.messages_out++;
	flush(links, now, index);
}

/* A standing connection of either direction to this peer, or -1. */
static int connection_to(const links_t *links, pimento_id_t id)
{
	for (uint32_t i = 0; i < links->connection_count; i++) {
		if (links->connections[i].fd >= 0 &&
		    links->connections[i].id == id)
			return (int)i;
	}
	return -1;
}

void link_send(links_t *links, pimento_usec_t now, pimento_id_t to,
	       const message_t *message)
{
	int at = connection_to(links, to);

	if (at < 0) {
		link_peer_t *peer = find_peer(links, to);

		if (peer)
			connect_peer(links, now,
				     (uint32_t)(peer - links->peers));
		at = peer ? peer->connection : -1;
	}
	if (at < 0) {
		links->counters.dropped++;
		return;
	}
	queue_message(links, now, (uint32_t)at, message);
}

static void greet(links_t *links, pimento_usec_t now, uint32_t index)
{
	message_t *message = &links->scratch;

	links->handler->hello(links->handler, message);
	queue_message(links, now, index, message);
}

void link_tick(links_t *links, pimento_usec_t now)
{
	for (uint32_t i = 0; i < links->connection_count; i++) {
		const link_connection_t *c = &links->connections[i];
		pimento_usec_t limit =
			c->connecting ? CONNECT_TIMEOUT : IDLE_TIMEOUT;

		if (c->fd >= 0 && now - c->used > limit)
			close_connection(links, now, i);
	}
	for (uint32_t i = 0; i < links->peer_count; i++) {
		const link_peer_t *peer = &links->peers[i];

		if (peer->seed && peer->connection < 0 &&
		    (!peer->id || connection_to(links, peer->id) < 0))
			connect_peer(links, now, i);
	}
}

uint32_t link_poll(const links_t *links, struct pollfd *fds, uint32_t max)
{
	uint32_t used = 0;

	if (max) {
		fds[used].fd = links->listener;
		fds[used++].events = POLLIN;
	}
	for (uint32_t i = 0; i < links->connection_count && used < max; i++) {
		const link_connection_t *c = &links->connections[i];

		if (c->fd < 0)
			continue;
		fds[used].fd = c->fd;
		fds[used].events = POLLIN;
		if (c->connecting || c->out_used)
			fds[used].events |= POLLOUT;
		used++;
	}
	return used;
}

static void accept_peers(links_t *links, pimento_usec_t now)
{
	for (;;) {
		int fd = accept(links->listener, NULL, NULL);

		if (fd < 0)
			return;
		if (set_options(fd) || add_connection(links, now, fd) < 0)
			close(fd);
	}
}

static void finish_connect(links_t *links, pimento_usec_t now, uint32_t index)
{
	link_connection_t *c = &links->connections[index];
	socklen_t size = sizeof(int);
	int error = 0;

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		close_connection(links, now, index);
		return;
	}
	c->connecting = false;
	c->used = now;
	if (c->peer >= 0)
		links->peers[c->peer].backoff = 0;
	if (c->peer >= 0 && !links->peers[c->peer].id)
		greet(links, now, index);
	flush(links, now, index);
}

/* The first message on a link tells who is at its other end. */
static void learn_peer(links_t *links, link_connection_t *c, pimento_id_t from)
{
	c->id = from;
	if (c->peer >= 0 && !links->peers[c->peer].id)
		links->peers[c->peer].id = from;
}

/* Handles whole frames at the front; false if the link must be closed. */
static bool take_frames(links_t *links, uint32_t index)
{
	link_connection_t *c = &links->connections[index];
	size_t at = 0;

	while (c->in_used - at >= WIRE_HEADER_SIZE) {
		int length = wire_payload_length(c->in + at);
		pimento_id_t from;

		if (length < 0)
			return false;
		if (c->in_used - at < (size_t)length + WIRE_HEADER_SIZE)
			break;
		if (wire_decode(c->in + at + WIRE_HEADER_SIZE, (size_t)length,
				&from, &links->scratch))
			return false;
		at += (size_t)length + WIRE_HEADER_SIZE;
		links->counters.messages_in++;
		learn_peer(links, c, from);
		links->handler->message(links->handler, from, &links->scratch);
		if (c->fd < 0)
			return true;
	}
	c->in_used -= at;
	memmove(c->in, c->in + at, c->in_used);
	return true;
}

static void read_connection(links_t *links, pimento_usec_t now, uint32_t index)
{
	link_connection_t *c = &links->connections[index];
	ssize_t got =
		recv(c->fd, c->in + c->in_used, WIRE_FRAME_MAX - c->in_used, 0);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		close_connection(links, now, index);
		return;
	}
	c->in_used += (size_t)got;
	c->used = now;
	links->counters.bytes_in += (uint64_t)got;
	if (take_frames(links, index))
		return;
	links->counters.malformed++;
	log_line(LOG_LEVEL_WARNING, "link",
		 "closed a link after a malformed frame");
	close_connection(links, now, index);
}

static void connection_ready(links_t *links, pimento_usec_t now, uint32_t index,
			     short events)
{
	const link_connection_t *c = &links->connections[index];

	if (c->connecting) {
		if (events & (POLLOUT | POLLERR | POLLHUP))
			finish_connect(links, now, index);
		return;
	}
	if (events & POLLOUT)
		flush(links, now, index);
	if (c->fd >= 0 && events & (POLLIN | POLLERR | POLLHUP))
		read_connection(links, now, index);
}

void link_ready(links_t *links, pimento_usec_t now, const struct pollfd *fds,
		uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!fds[i].revents)
			continue;
		if (fds[i].fd == links->listener) {
			accept_peers(links, now);
			continue;
		}
		for (uint32_t j = 0; j < links->connection_count; j++) {
			if (links->connections[j].fd == fds[i].fd) {
				connection_ready(links, now, j, fds[i].revents);
				break;
			}
		}
	}
}
