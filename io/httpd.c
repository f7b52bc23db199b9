/*
 * One http_parser per connection does the protocol; this file owns when it is
 * fed. It is paused at the end of each request, so that a caller that sends
 * the next one early cannot disturb the one being answered, and so that
 * nothing behind a request can be taken for a part of it.
 */

#include "httpd.h"

#include "sys.h"
#include "loop_time.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes taken from a socket at once; shared by all connections. */
#define READ_BYTES 65536
/* A caller that sends ahead is not read further beyond this. */
#define AHEAD_MOST 65536
/* Connections accepted in one turn, so that open ones are not starved. */
#define ACCEPT_AT_ONCE 16
/*
 * After the last answer the caller closes first. Closing with unread bytes
 * would reset the connection, and the caller might lose the answer.
 */
#define LINGER (1 * PIMENTO_SEC)
/* The same while a body comes that was not accepted. */
#define LINGER_DRAINING (10 * PIMENTO_SEC)

static char read_buffer[READ_BYTES];

/* No more of the body is read, or counted on. */
static void forget_body_left(httpd_conn_t *conn)
{
	host_load_remove_expected(&conn->server->load, conn->body_left);
	conn->body_left = 0;
}

static void drop_body(httpd_conn_t *conn)
{
	forget_body_left(conn);
	conn->server->bodies -= conn->body.length;
	strbuf_finish(&conn->body);
	strbuf_init(&conn->body);
}

static void conn_free(httpd_conn_t *conn)
{
	httpd_t *server = conn->server;

	if (conn->prev)
		conn->prev->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	server->count--;
	if (server->count + 1 == server->limits.connections)
		ev_io_start(server->loop, &server->accepting);
	strbuf_finish(&conn->target);
	head_finish(&conn->head);
	drop_body(conn);
	strbuf_finish(&conn->ahead);
	sendbuf_finish(&conn->sendbuf);
	free(conn);
}

/* Ends a connection; its user is told if it owes an answer. */
static void conn_close(httpd_conn_t *conn, bool reset)
{
	bool owed =
		conn->state == HTTPD_WAITING || conn->state == HTTPD_ANSWERING;

	if (conn->dead)
		return;
	conn->dead = true;
	ev_io_stop(conn->server->loop, &conn->reading);
	ev_io_stop(conn->server->loop, &conn->writing);
	if (reset)
		net_reset(conn->fd);
	else
		close(conn->fd);
	if (owed)
		conn->server->ops->gone(conn);
	if (!conn->in_call)
		conn_free(conn);
}

int httpd_detach(httpd_conn_t *conn)
{
	int fd = conn->fd;

	conn->dead = true;
	ev_io_stop(conn->server->loop, &conn->reading);
	ev_io_stop(conn->server->loop, &conn->writing);
	if (!conn->in_call)
		conn_free(conn);
	return fd;
}

static void linger(httpd_conn_t *conn)
{
	conn->state = HTTPD_LINGERING;
	conn->last_byte = sys_now();
	forget_body_left(conn);
	if (!sendbuf_waiting(&conn->sendbuf))
		shutdown(conn->fd, SHUT_WR);
}

static void clear_request(httpd_conn_t *conn)
{
	conn->target.length = 0;
	head_clear(&conn->head);
	drop_body(conn);
	conn->head_bytes = 0;
	conn->head_read = false;
	conn->judged = false;
	conn->refusal = 0;
	conn->at_rest = true;
}

/* Parser callbacks. */

static httpd_conn_t *of(http_parser *parser)
{
	return parser->data;
}

/* Returns nonzero, which stops the parser, with the status to refuse with. */
static int refuse(httpd_conn_t *conn, int status)
{
	conn->refusal = status;
	return -1;
}

static int count_head(httpd_conn_t *conn, size_t length)
{
	conn->head_bytes += length;
	if (conn->head_bytes > conn->server->limits.head_bytes)
		return refuse(conn,
			      HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE);
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t length)
{
	strbuf_add(&of(parser)->target, at, length);
	return count_head(of(parser), length);
}

static int on_name(http_parser *parser, const char *at, size_t length)
{
	head_add_name(&of(parser)->head, at, length);
	return count_head(of(parser), length);
}

static int on_value(http_parser *parser, const char *at, size_t length)
{
	head_add_value(&of(parser)->head, at, length);
	return count_head(of(parser), length);
}

static int on_head(http_parser *parser)
{
	httpd_conn_t *conn = of(parser);
	uint64_t length = parser->content_length;

	strbuf_add(&conn->target, "", 1);
	head_end(&conn->head);
	conn->head_read = true;
	if (conn->head.failed || strbuf_error(&conn->target))
		return refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE);
	if (!head_is_sound(&conn->head))
		return refuse(conn, HTTP_STATUS_BAD_REQUEST);
	if (parser->upgrade && !conn->server->takes_upgrades)
		return refuse(conn, HTTP_STATUS_NOT_IMPLEMENTED);
	if (length != UINT64_MAX && length > conn->server->limits.body_bytes)
		return refuse(conn, HTTP_STATUS_PAYLOAD_TOO_LARGE);
	return 0;
}

/*
 * Bodies are held until their requests are over. Large ones that come at many
 * connections at once would use up the host's memory, and the process would be
 * killed with everybody's requests.
 */
static bool has_room(const httpd_t *server, size_t length)
{
	size_t most = server->limits.bodies_bytes;

	return !most || server->bodies + length <= most;
}

static void count_body(httpd_conn_t *conn, uint64_t length)
{
	if (length > conn->body_left)
		length = conn->body_left;
	conn->body_left -= length;
	host_load_remove_expected(&conn->server->load, length);
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	httpd_conn_t *conn = of(parser);

	if (conn->body.length + length > conn->server->limits.body_bytes)
		return refuse(conn, HTTP_STATUS_PAYLOAD_TOO_LARGE);
	if (!has_room(conn->server, length))
		return refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE);
	strbuf_add(&conn->body, at, length);
	if (strbuf_error(&conn->body))
		return refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE);
	conn->server->bodies += length;
	count_body(conn, length);
	return 0;
}

static int on_end(http_parser *parser)
{
	httpd_conn_t *conn = of(parser);

	conn->state = HTTPD_WAITING;
	conn->keep = http_should_keep_alive(parser) != 0;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

/* A request that cannot be read is answered and ends the connection. */
static void refuse_request(httpd_conn_t *conn)
{
	int status = conn->refusal ? conn->refusal : HTTP_STATUS_BAD_REQUEST;

	conn->state = HTTPD_WAITING;
	conn->keep = false;
	httpd_answer(conn, status, "", "", 0);
}

/* Of the body that is still to come; 0 if that is not stated. */
static uint64_t stated_body_left(const http_parser *parser)
{
	if ((parser->flags & F_CHUNKED) || parser->content_length == UINT64_MAX)
		return 0;
	return parser->content_length;
}

static void ask_for_body(httpd_conn_t *conn)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (head_has_token(&conn->head, "expect", "100-continue"))
		(void)sendbuf_write(&conn->sendbuf, conn->fd, go_on,
				    sizeof(go_on) - 1);
}

/* The head is there, and a part of the body is not. */
static void judge_head(httpd_conn_t *conn)
{
	httpd_t *server = conn->server;
	uint64_t left = stated_body_left(&conn->parser);

	conn->judged = true;
	if (server->ops->accepts && !server->ops->accepts(conn, left)) {
		conn->head_only = true;
		conn->keep = false;
		conn->state = HTTPD_WAITING;
		return;
	}
	conn->body_left = left;
	host_load_add_expected(&server->load, left);
	ask_for_body(conn);
}

/* Feeds bytes up to the end of a request; returns how many were taken. */
static size_t feed(httpd_conn_t *conn, const char *bytes, size_t length)
{
	enum http_errno error;
	size_t taken;

	if (conn->at_rest) {
		conn->at_rest = false;
		conn->first_byte = conn->last_byte;
	}
	taken = http_parser_execute(&conn->parser, &callbacks, bytes, length);
	error = HTTP_PARSER_ERRNO(&conn->parser);
	if (error == HPE_PAUSED) {
		http_parser_pause(&conn->parser, 0);
		return taken;
	}
	if (error != HPE_OK) {
		refuse_request(conn);
		return length;
	}
	if (conn->head_read && !conn->judged)
		judge_head(conn);
	return taken;
}

/*
 * Serves requests that are there whole, one after another. A loop, not a
 * recursion: a caller that sends many small ones ahead would else use up the
 * stack.
 */
static void take(httpd_conn_t *conn, const char *bytes, size_t length)
{
	while (length && !conn->dead && conn->state == HTTPD_READING) {
		size_t taken = feed(conn, bytes, length);

		bytes += taken;
		length -= taken;
		if (conn->state == HTTPD_WAITING)
			conn->server->ops->request(conn);
	}
	if (!conn->dead && length && conn->state != HTTPD_LINGERING)
		strbuf_add(&conn->ahead, bytes, length);
}

static void take_ahead(httpd_conn_t *conn)
{
	strbuf_t ahead = conn->ahead;

	if (!ahead.length)
		return;
	strbuf_init(&conn->ahead);
	take(conn, ahead.bytes, ahead.length);
	strbuf_finish(&ahead);
}

/*
 * After its user was called: serves what was sent ahead, if the user has
 * answered, and frees the connection if it was closed meanwhile. Returns false
 * if it was.
 */
static bool settle(httpd_conn_t *conn)
{
	conn->in_call = true;
	if (!conn->dead && conn->state == HTTPD_READING)
		take_ahead(conn);
	conn->in_call = false;
	if (conn->dead) {
		conn_free(conn);
		return false;
	}
	if (strbuf_error(&conn->ahead)) {
		conn_close(conn, true);
		return false;
	}
	if (conn->ahead.length > AHEAD_MOST)
		ev_io_stop(conn->server->loop, &conn->reading);
	return true;
}

/* Whoever sends the whole body first still gets the answer. */
static void drain(httpd_conn_t *conn)
{
	pimento_usec_t now = sys_now();

	if (conn->head_only && now - conn->first_byte < LINGER_DRAINING)
		conn->last_byte = now;
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	httpd_conn_t *conn = watcher->data;
	ssize_t got = read(conn->fd, read_buffer, sizeof(read_buffer));
	loop_time_t time;

	(void)loop;
	(void)events;
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		conn_close(conn, false);
		return;
	}
	time = loop_time_begin("caller", conn->fd, got);
	host_load_add_received(&conn->server->load, (uint64_t)got, sys_now());
	if (conn->state == HTTPD_LINGERING) {
		drain(conn);
		return;
	}
	conn->last_byte = sys_now();
	conn->in_call = true;
	if (conn->state == HTTPD_READING)
		take(conn, read_buffer, (size_t)got);
	else
		strbuf_add(&conn->ahead, read_buffer, (size_t)got);
	if (!settle(conn))
		time.fd = -1;
	loop_time_end(&time);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	httpd_conn_t *conn = watcher->data;
	size_t waiting = sendbuf_waiting(&conn->sendbuf);

	(void)events;
	if (sendbuf_flush(&conn->sendbuf, conn->fd)) {
		conn_close(conn, true);
		return;
	}
	if (sendbuf_waiting(&conn->sendbuf) < waiting)
		conn->last_byte = sys_now();
	if (sendbuf_waiting(&conn->sendbuf))
		return;
	ev_io_stop(loop, &conn->writing);
	if (conn->state == HTTPD_LINGERING) {
		shutdown(conn->fd, SHUT_WR);
	} else if (conn->server->ops->written) {
		conn->in_call = true;
		conn->server->ops->written(conn);
		(void)settle(conn);
	}
}

static void accept_one(httpd_t *server, int fd)
{
	httpd_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn) {
		net_reset(fd);
		return;
	}
	conn->server = server;
	conn->fd = fd;
	conn->last_byte = sys_now();
	strbuf_init(&conn->target);
	head_init(&conn->head);
	strbuf_init(&conn->body);
	strbuf_init(&conn->ahead);
	sendbuf_init(&conn->sendbuf);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	clear_request(conn);
	conn->next = server->conns;
	if (conn->next)
		conn->next->prev = conn;
	server->conns = conn;
	server->count++;
	ev_io_init(&conn->reading, on_readable, fd, EV_READ);
	ev_io_init(&conn->writing, on_writable, fd, EV_WRITE);
	conn->reading.data = conn;
	conn->writing.data = conn;
	ev_io_start(server->loop, &conn->reading);
}

static void on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
	httpd_t *server = watcher->data;

	(void)events;
	for (int i = 0; i < ACCEPT_AT_ONCE; i++) {
		int fd;

		if (server->count >= server->limits.connections) {
			ev_io_stop(loop, watcher);
			return;
		}
		fd = net_accept(watcher->fd);
		if (fd < 0)
			return;
		accept_one(server, fd);
	}
}

int httpd_init(httpd_t *server, struct ev_loop *loop,
	       const net_address_t *address, const httpd_ops_t *ops,
	       const httpd_limits_t *limits)
{
	int fd = net_listen(address);

	memset(server, 0, sizeof(*server));
	if (fd < 0)
		return fd;
	server->loop = loop;
	server->ops = ops;
	server->limits = *limits;
	ev_io_init(&server->accepting, on_acceptable, fd, EV_READ);
	server->accepting.data = server;
	ev_io_start(loop, &server->accepting);
	return 0;
}

void httpd_pause(httpd_t *server)
{
	ev_io_stop(server->loop, &server->accepting);
}

void httpd_resume(httpd_t *server)
{
	ev_io_start(server->loop, &server->accepting);
}

void httpd_finish(httpd_t *server)
{
	ev_io_stop(server->loop, &server->accepting);
	close(server->accepting.fd);
	for (httpd_conn_t *conn = server->conns, *next; conn; conn = next) {
		next = conn->next;
		conn_close(conn, conn->until_close);
	}
}

/* True if a connection has lasted too long in its state. */
static bool is_overdue(const httpd_conn_t *conn, pimento_usec_t now)
{
	const httpd_limits_t *limits = &conn->server->limits;

	switch (conn->state) {
	case HTTPD_LINGERING:
		return now - conn->last_byte > (sendbuf_waiting(&conn->sendbuf)
							? limits->idle_timeout
							: LINGER);
	case HTTPD_READING:
		return now - conn->last_byte > limits->idle_timeout;
	case HTTPD_WAITING:
	case HTTPD_ANSWERING:
	default:
		return false;
	}
}

static bool is_slow_head(const httpd_conn_t *conn, pimento_usec_t now)
{
	return conn->state == HTTPD_READING && !conn->at_rest &&
	       !conn->head_read &&
	       now - conn->first_byte > conn->server->limits.head_timeout;
}

void httpd_sweep(httpd_t *server, pimento_usec_t now)
{
	httpd_conn_t *conn = server->conns;

	while (conn) {
		httpd_conn_t *next = conn->next;

		if (is_slow_head(conn, now)) {
			conn->refusal = HTTP_STATUS_REQUEST_TIMEOUT;
			refuse_request(conn);
		} else if (is_overdue(conn, now)) {
			conn_close(conn, false);
		}
		conn = next;
	}
}

void httpd_stop(httpd_t *server)
{
	server->stopping = true;
}

void httpd_close_resting(httpd_t *server)
{
	httpd_conn_t *conn = server->conns;

	while (conn) {
		httpd_conn_t *next = conn->next;

		if (conn->state == HTTPD_READING && conn->at_rest &&
		    !sendbuf_waiting(&conn->sendbuf))
			conn_close(conn, false);
		conn = next;
	}
}

uint32_t httpd_pending(const httpd_t *server)
{
	uint32_t pending = 0;

	for (const httpd_conn_t *c = server->conns; c; c = c->next)
		if (c->state == HTTPD_WAITING || c->state == HTTPD_ANSWERING ||
		    sendbuf_waiting(&c->sendbuf))
			pending++;
	return pending;
}

uint32_t httpd_unsent(const httpd_t *server)
{
	uint32_t unsent = 0;

	for (const httpd_conn_t *c = server->conns; c; c = c->next)
		if (c->state != HTTPD_ANSWERING && sendbuf_waiting(&c->sendbuf))
			unsent++;
	return unsent;
}

/* Answers. */

static void put(httpd_conn_t *conn, const char *bytes, size_t length)
{
	if (conn->dead)
		return;
	/* A broken connection shows at the next read, and is told there. */
	(void)sendbuf_write(&conn->sendbuf, conn->fd, bytes, length);
	if (sendbuf_waiting(&conn->sendbuf))
		ev_io_start(conn->server->loop, &conn->writing);
}

static void add_head(const httpd_conn_t *conn, strbuf_t *text, int status,
		     const char *fields, int64_t length)
{
	strbuf_addf(text, "HTTP/1.1 %d %s\r\n%s", status,
		    http_status_str((enum http_status)status), fields);
	if (conn->chunked)
		strbuf_addf(text, "Transfer-Encoding: chunked\r\n");
	else if (length >= 0)
		strbuf_addf(text, "Content-Length: %lld\r\n",
			    (long long)length);
	if (!conn->keep)
		strbuf_addf(text, "Connection: close\r\n");
	strbuf_addf(text, "\r\n");
}

static bool is_old(const httpd_conn_t *conn)
{
	return conn->parser.http_major < 1 ||
	       (conn->parser.http_major == 1 && conn->parser.http_minor < 1);
}

void httpd_begin(httpd_conn_t *conn, int status, const char *fields,
		 int64_t length)
{
	strbuf_t text;

	if (conn->server->stopping)
		conn->keep = false;
	conn->state = HTTPD_ANSWERING;
	conn->chunked = length == HTTPD_CHUNKED && !is_old(conn);
	conn->until_close = length == HTTPD_CHUNKED && !conn->chunked;
	if (conn->until_close)
		conn->keep = false;
	strbuf_init(&text);
	add_head(conn, &text, status, fields, length);
	put(conn, strbuf_str(&text), text.length);
	strbuf_finish(&text);
}

void httpd_write(httpd_conn_t *conn, const char *bytes, size_t length)
{
	strbuf_t text;

	if (!length)
		return;
	if (!conn->chunked) {
		put(conn, bytes, length);
		return;
	}
	strbuf_init(&text);
	strbuf_addf(&text, "%zx\r\n", length);
	strbuf_add(&text, bytes, length);
	strbuf_add(&text, "\r\n", 2);
	put(conn, strbuf_str(&text), text.length);
	strbuf_finish(&text);
}

void httpd_end(httpd_conn_t *conn)
{
	if (conn->chunked)
		put(conn, "0\r\n\r\n", 5);
	conn->until_close = false;
	if (conn->dead)
		return;
	conn->served++;
	if (!conn->keep) {
		linger(conn);
		return;
	}
	conn->state = HTTPD_READING;
	clear_request(conn);
	if (!ev_is_active(&conn->reading))
		ev_io_start(conn->server->loop, &conn->reading);
	if (!conn->in_call) /* else whoever calls settles it */
		(void)settle(conn);
}

void httpd_abort(httpd_conn_t *conn)
{
	conn->state = HTTPD_LINGERING; /* its user knows */
	conn_close(conn, true);
}

void httpd_answer(httpd_conn_t *conn, int status, const char *fields,
		  const char *body, size_t length)
{
	strbuf_t text;

	if (conn->server->stopping)
		conn->keep = false;
	conn->state = HTTPD_ANSWERING;
	conn->chunked = false;
	strbuf_init(&text);
	add_head(conn, &text, status, fields, (int64_t)length);
	strbuf_add(&text, body, length);
	put(conn, strbuf_str(&text), text.length);
	strbuf_finish(&text);
	httpd_end(conn);
}
