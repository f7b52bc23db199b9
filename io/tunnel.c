#include "tunnel.h"

#include "frame.h"
#include "sys.h"
#include "trail.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * A tick that is this late shows that this host has no processor time to spare;
 * its own callers come first for a while.
 */
#define TICK_LATE (200 * PIMENTO_MSEC)
#define OVERLOADED_SPAN (1 * PIMENTO_SEC)
/* Unsent bytes from which on one side is not read until the other has read. */
#define UNSENT_MAX ((size_t)64 * 1024)
/* Below the time that the peer waits, so that it hears the cause. */
#define CONNECT_TIMEOUT (200 * PIMENTO_MSEC)
/* A tunnel without a request is ended after this. */
#define IDLE_TIMEOUT (15 * PIMENTO_SEC)
#define READ_BYTES 65536
#define REQUEST_ID_MAX 64

typedef struct side {
	int fd; /* -1: none */
	ev_io reading;
	ev_io writing;
	sendbuf_t sendbuf;
} side_t;

struct tunnel {
	tunnels_t *tunnels;
	tunnel_t *next;
	tunnel_t *prev;
	httpd_conn_t *asker; /* until the endpoint has answered */
	side_t peer;
	side_t endpoint;
	registry_endpoint_t *target; /* held */
	frame_reader_t reader;
	char request[REQUEST_ID_MAX]; /* under way; "" none */
	size_t request_length;
	bool busy;
	bool closing; /* once the peer has been sent everything */
	bool sent_leaving; /* the peer, to use it no more */
	pimento_usec_t since; /* it was opened, or last became idle */
};

static char read_buffer[READ_BYTES];

void tunnels_init(tunnels_t *tunnels, struct ev_loop *loop,
		  registry_t *registry, uint32_t count_max)
{
	*tunnels = (tunnels_t){ .loop = loop,
				.registry = registry,
				.count_max = count_max };
}

static void side_close(struct ev_loop *loop, side_t *side)
{
	if (side->fd < 0)
		return;
	ev_io_stop(loop, &side->reading);
	ev_io_stop(loop, &side->writing);
	close(side->fd);
	side->fd = -1;
}

static void tunnel_free(tunnel_t *tunnel)
{
	tunnels_t *tunnels = tunnel->tunnels;

	side_close(tunnels->loop, &tunnel->peer);
	side_close(tunnels->loop, &tunnel->endpoint);
	sendbuf_finish(&tunnel->peer.sendbuf);
	sendbuf_finish(&tunnel->endpoint.sendbuf);
	if (tunnel->next)
		tunnel->next->prev = tunnel->prev;
	if (tunnel->prev)
		tunnel->prev->next = tunnel->next;
	else
		tunnels->list = tunnel->next;
	tunnels->count--;
	if (tunnel->asker)
		tunnel->asker->user = NULL;
	tunnel->target->refs--;
	free(tunnel);
}

static void log_tunnel(const tunnel_t *tunnel, const char *event,
		       const char *why)
{
	trail(TRAIL_ROUTINE, "tunnel", event, "id=%s endpoint=%s why=%s",
	      tunnel->request[0] ? tunnel->request : "-", tunnel->target->id,
	      why);
}

/* Ends it; an endpoint whose connection closes drops the request. */
static void tunnel_end(tunnel_t *tunnel, const char *why)
{
	if (tunnel->busy)
		log_tunnel(tunnel, "broken", why);
	tunnel_free(tunnel);
}

/* Answers the asker that there is no tunnel. */
static void tunnel_refuse(tunnel_t *tunnel, int status, const char *why)
{
	httpd_conn_t *asker = tunnel->asker;

	tunnel->tunnels->refused++;
	log_tunnel(tunnel, "refused", why);
	tunnel_free(tunnel);
	httpd_answer(asker, status, "", "", 0);
}

/* Reads a side only while the other one takes what it sent. */
static void adjust_reading(const tunnel_t *tunnel, side_t *from,
			   const side_t *to)
{
	struct ev_loop *loop = tunnel->tunnels->loop;

	if (sendbuf_waiting(&to->sendbuf) > UNSENT_MAX)
		ev_io_stop(loop, &from->reading);
	else
		ev_io_start(loop, &from->reading);
}

/* Returns false if the side is broken. */
static bool side_send(const tunnel_t *tunnel, side_t *side, const char *bytes,
		      size_t length)
{
	tunnel->tunnels->bytes += length;
	if (sendbuf_write(&side->sendbuf, side->fd, bytes, length))
		return false;
	if (sendbuf_waiting(&side->sendbuf))
		ev_io_start(tunnel->tunnels->loop, &side->writing);
	return true;
}

static bool send_frame(tunnel_t *tunnel, frame_kind_t kind, const char *bytes,
		       size_t length)
{
	strbuf_t text;
	bool sent;

	strbuf_init(&text);
	frame_write(&text, kind, bytes, length);
	sent = !strbuf_error(&text) &&
	       side_send(tunnel, &tunnel->peer, text.bytes, text.length);
	strbuf_finish(&text);
	return sent;
}

/* The endpoint's connection is over: the peer is told how, and then closed. */
static void endpoint_over(tunnel_t *tunnel, frame_kind_t kind)
{
	side_close(tunnel->tunnels->loop, &tunnel->endpoint);
	tunnel->closing = true;
	if (!send_frame(tunnel, kind, "", 0) ||
	    !sendbuf_waiting(&tunnel->peer.sendbuf))
		tunnel_end(tunnel, kind == FRAME_CLOSED ? "closed" : "broken");
}

static void on_endpoint_readable(struct ev_loop *loop, ev_io *watcher,
				 int events)
{
	tunnel_t *tunnel = watcher->data;
	ssize_t got =
		read(tunnel->endpoint.fd, read_buffer, sizeof(read_buffer));

	(void)loop;
	(void)events;
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		endpoint_over(tunnel, got ? FRAME_RESET : FRAME_CLOSED);
		return;
	}
	endpoint_path_heard(&tunnel->target->path, sys_now());
	if (!send_frame(tunnel, FRAME_DATA, read_buffer, (size_t)got))
		tunnel_end(tunnel, "peer_gone");
	else
		adjust_reading(tunnel, &tunnel->endpoint, &tunnel->peer);
}

static void take_request_id(tunnel_t *tunnel, const frame_t *frame)
{
	size_t room = sizeof(tunnel->request) - 1 - tunnel->request_length;
	size_t part = frame->length < room ? frame->length : room;

	memcpy(tunnel->request + tunnel->request_length, frame->bytes, part);
	tunnel->request_length += part;
	if (!frame->ends)
		return;
	tunnel->request[tunnel->request_length] = '\0';
	tunnel->request_length = 0;
	tunnel->busy = true;
	tunnel->tunnels->requests++;
	log_tunnel(tunnel, "request", "-");
}

/* Returns false if the tunnel is to be ended. */
static bool take_frame(tunnel_t *tunnel, const frame_t *frame)
{
	switch (frame->kind) {
	case FRAME_DATA:
		return side_send(tunnel, &tunnel->endpoint, frame->bytes,
				 frame->length);
	case FRAME_REQUEST:
		take_request_id(tunnel, frame);
		return true;
	case FRAME_DONE:
		tunnel->busy = false;
		tunnel->since = sys_now();
		return true;
	case FRAME_CLOSED:
	case FRAME_RESET:
	case FRAME_LEAVING:
	default:
		return false;
	}
}

static void on_peer_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	tunnel_t *tunnel = watcher->data;
	ssize_t got = read(tunnel->peer.fd, read_buffer, sizeof(read_buffer));
	const char *bytes = read_buffer;
	size_t length = got > 0 ? (size_t)got : 0;
	frame_t frame;

	(void)loop;
	(void)events;
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		tunnel_end(tunnel, "peer_gone");
		return;
	}
	while (!tunnel->closing &&
	       frame_read(&tunnel->reader, &bytes, &length, &frame))
		if (!take_frame(tunnel, &frame)) {
			tunnel_end(tunnel, "broken");
			return;
		}
	if (!tunnel->closing)
		adjust_reading(tunnel, &tunnel->peer, &tunnel->endpoint);
}

static void on_peer_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	tunnel_t *tunnel = watcher->data;

	(void)events;
	if (sendbuf_flush(&tunnel->peer.sendbuf, tunnel->peer.fd)) {
		tunnel_end(tunnel, "peer_gone");
		return;
	}
	if (sendbuf_waiting(&tunnel->peer.sendbuf))
		return;
	ev_io_stop(loop, &tunnel->peer.writing);
	if (tunnel->closing)
		tunnel_end(tunnel, "closed");
	else
		adjust_reading(tunnel, &tunnel->endpoint, &tunnel->peer);
}

static void watch(tunnel_t *tunnel, side_t *side,
		  void (*readable)(struct ev_loop *, ev_io *, int),
		  void (*writable)(struct ev_loop *, ev_io *, int))
{
	ev_io_init(&side->reading, readable, side->fd, EV_READ);
	ev_io_init(&side->writing, writable, side->fd, EV_WRITE);
	side->reading.data = tunnel;
	side->writing.data = tunnel;
}

/* The endpoint has accepted: the asker's connection becomes the tunnel. */
static void open_tunnel(tunnel_t *tunnel)
{
	static const char head[] = "HTTP/1.1 101 Switching Protocols\r\n"
				   "Connection: Upgrade\r\n"
				   "Upgrade: " TUNNEL_PROTOCOL "\r\n\r\n";

	tunnel->tunnels->opened++;
	tunnel->peer.fd = httpd_detach(tunnel->asker);
	tunnel->asker = NULL;
	tunnel->since = sys_now();
	watch(tunnel, &tunnel->peer, on_peer_readable, on_peer_writable);
	ev_io_start(tunnel->tunnels->loop, &tunnel->peer.reading);
	ev_io_start(tunnel->tunnels->loop, &tunnel->endpoint.reading);
	if (!side_send(tunnel, &tunnel->peer, head, sizeof(head) - 1))
		tunnel_end(tunnel, "peer_gone");
}

static void on_endpoint_writable(struct ev_loop *loop, ev_io *watcher,
				 int events)
{
	tunnel_t *tunnel = watcher->data;
	side_t *endpoint = &tunnel->endpoint;

	(void)events;
	if (tunnel->asker) {
		ev_io_stop(loop, &endpoint->writing);
		if (net_error(endpoint->fd)) {
			tunnel_refuse(tunnel, HTTP_STATUS_BAD_GATEWAY,
				      "unreached");
			return;
		}
		endpoint_path_opened(&tunnel->target->path, sys_now());
		open_tunnel(tunnel);
		return;
	}
	if (sendbuf_flush(&endpoint->sendbuf, endpoint->fd)) {
		endpoint_over(tunnel, FRAME_RESET);
		return;
	}
	if (!sendbuf_waiting(&endpoint->sendbuf))
		ev_io_stop(loop, &endpoint->writing);
	adjust_reading(tunnel, &tunnel->peer, endpoint);
}

static registry_endpoint_t *find_target(const registry_t *registry,
					const char *id)
{
	registry_endpoint_t *endpoint = registry_find(registry, pimento_id(id));
	pimento_usec_t now = sys_now();

	if (!endpoint || strcmp(endpoint->id, id) != 0 ||
	    !registry_endpoint_accepts_work(endpoint, now) ||
	    backoff_is_active(&endpoint->backoff, now))
		return NULL;
	return endpoint;
}

static void refuse(tunnels_t *tunnels, httpd_conn_t *asker, int status,
		   const char *id, const char *why)
{
	tunnels->refused++;
	trail(TRAIL_FAILURE, "tunnel", "refused", "id=- endpoint=%s why=%s", id,
	      why);
	httpd_answer(asker, status, "", "", 0);
}

/* Ends the tunnel that has been idle for longest, if all are in use. */
static bool make_room(tunnels_t *tunnels)
{
	tunnel_t *oldest = NULL;

	if (tunnels->count < tunnels->count_max)
		return true;
	for (tunnel_t *t = tunnels->list; t; t = t->next)
		if (!t->busy && !t->asker &&
		    (!oldest || t->since < oldest->since))
			oldest = t;
	if (oldest)
		tunnel_end(oldest, "idle");
	return oldest != NULL;
}

/* Connects to the endpoint. Returns NULL if no socket or memory can be had. */
static tunnel_t *tunnel_new(tunnels_t *tunnels, registry_endpoint_t *target)
{
	net_address_t address = { .port = target->port };
	tunnel_t *tunnel = calloc(1, sizeof(*tunnel));

	if (!tunnel)
		return NULL;
	tunnel->peer.fd = -1;
	tunnel->endpoint.fd = net_parse_ip(target->address, &address.ip)
				      ? -1
				      : net_connect(&address);
	if (tunnel->endpoint.fd < 0) {
		free(tunnel);
		return NULL;
	}
	tunnel->tunnels = tunnels;
	tunnel->target = target;
	target->refs++;
	tunnel->since = sys_now();
	sendbuf_init(&tunnel->peer.sendbuf);
	sendbuf_init(&tunnel->endpoint.sendbuf);
	watch(tunnel, &tunnel->endpoint, on_endpoint_readable,
	      on_endpoint_writable);
	tunnel->next = tunnels->list;
	if (tunnel->next)
		tunnel->next->prev = tunnel;
	tunnels->list = tunnel;
	tunnels->count++;
	return tunnel;
}

void tunnels_serve(tunnels_t *tunnels, httpd_conn_t *asker, const char *id)
{
	registry_endpoint_t *target = find_target(tunnels->registry, id);
	tunnel_t *tunnel;

	if (!asker->parser.upgrade || asker->ahead.length) {
		refuse(tunnels, asker, HTTP_STATUS_BAD_REQUEST, id,
		       "bad_request");
		return;
	}
	if (tunnels->stopping) {
		refuse(tunnels, asker, HTTP_STATUS_SERVICE_UNAVAILABLE, id,
		       "stopping");
		return;
	}
	if (!target) {
		refuse(tunnels, asker, HTTP_STATUS_NOT_FOUND, id, "unknown");
		return;
	}
	/* a path that is only suspect is tried */
	if (target->path.state == ENDPOINT_PATH_LOST) {
		refuse(tunnels, asker, HTTP_STATUS_BAD_GATEWAY, id,
		       "path_lost");
		return;
	}
	if (sys_now() < tunnels->overloaded_until) {
		refuse(tunnels, asker, HTTP_STATUS_SERVICE_UNAVAILABLE, id,
		       "overloaded");
		return;
	}
	tunnel = make_room(tunnels) ? tunnel_new(tunnels, target) : NULL;
	if (!tunnel) {
		refuse(tunnels, asker, HTTP_STATUS_SERVICE_UNAVAILABLE, id,
		       "no_room");
		return;
	}
	tunnel->asker = asker;
	asker->user = tunnel;
	ev_io_start(tunnels->loop, &tunnel->endpoint.writing);
}

void tunnels_asker_gone(httpd_conn_t *asker)
{
	if (asker->user)
		tunnel_free(asker->user);
}

/* Has the peer close the tunnel once it is idle. Returns false if it broke. */
static bool send_leaving(tunnel_t *tunnel)
{
	tunnel->sent_leaving = true;
	return send_frame(tunnel, FRAME_LEAVING, "", 0);
}

/* True if this host is to send the endpoint nothing, and the peer may not know. */
static bool is_to_be_closed(const tunnel_t *tunnel, pimento_usec_t now)
{
	return !tunnel->asker && !tunnel->closing && !tunnel->sent_leaving &&
	       (!registry_endpoint_accepts_work(tunnel->target, now) ||
		backoff_is_active(&tunnel->target->backoff, now));
}

void tunnels_tick(tunnels_t *tunnels, pimento_usec_t now)
{
	tunnel_t *next;

	if (tunnels->ticked_at && now - tunnels->ticked_at > TICK_LATE)
		tunnels->overloaded_until = now + OVERLOADED_SPAN;
	tunnels->ticked_at = now;
	for (tunnel_t *tunnel = tunnels->list; tunnel; tunnel = next) {
		next = tunnel->next;
		if (tunnel->asker && now - tunnel->since > CONNECT_TIMEOUT)
			tunnel_refuse(tunnel, HTTP_STATUS_BAD_GATEWAY,
				      "connect_timeout");
		else if (!tunnel->asker && !tunnel->busy &&
			 now - tunnel->since > IDLE_TIMEOUT)
			tunnel_end(tunnel, "idle");
		else if (is_to_be_closed(tunnel, now) && !send_leaving(tunnel))
			tunnel_end(tunnel, "peer_gone");
	}
}

void tunnels_stop(tunnels_t *tunnels)
{
	tunnel_t *next;

	tunnels->stopping = true;
	for (tunnel_t *tunnel = tunnels->list; tunnel; tunnel = next) {
		next = tunnel->next;
		if (!tunnel->asker && !tunnel->closing && !send_leaving(tunnel))
			tunnel_end(tunnel, "peer_gone");
	}
}

uint32_t tunnels_busy(const tunnels_t *tunnels)
{
	uint32_t busy = 0;

	for (const tunnel_t *t = tunnels->list; t; t = t->next)
		busy += t->busy;
	return busy;
}

void tunnels_finish(tunnels_t *tunnels)
{
	tunnel_t *next;

	for (tunnel_t *tunnel = tunnels->list; tunnel; tunnel = next) {
		next = tunnel->next;
		tunnel_free(tunnel);
	}
}
