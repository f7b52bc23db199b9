/*
 * A server may answer before it has read the request, answer twice, or send
 * bytes behind an answer. None of that may reach another request: a connection
 * is only used again after a whole answer, to a request that had left whole,
 * with nothing behind it; and while it rests, any byte ends it.
 */

#include "httpc.h"

#include "sys.h"
#include "tunnel.h"
#include "loop_time.h"

#include <ctype.h>
#include <errno.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <unistd.h>

#define READ_BYTES 65536
/*
 * Bytes that may come before the head of the answer: interim answers, and
 * answers to other requests, which are read over.
 */
#define PREAMBLE_MAX ((size_t)256 * 1024)

/* What on_head() returns to the parser. */
#define HAS_NO_BODY 1
#define NOTHING_FOLLOWS 2

static char read_buffer[READ_BYTES];

const char *httpc_failure_name(httpc_failure_t failure)
{
	static const char *const names[] = { "unreached", "broken",
					     "tunnel_broken", "garbled" };

	return names[failure];
}

static void conn_free(httpc_t *conn)
{
	head_finish(&conn->head);
	sendbuf_finish(&conn->sendbuf);
	free(conn);
}

static void stop(httpc_t *conn)
{
	conn->dead = true;
	ev_io_stop(conn->loop, &conn->reading);
	ev_io_stop(conn->loop, &conn->writing);
	close(conn->fd);
}

void httpc_close(httpc_t *conn)
{
	if (conn->dead)
		return;
	stop(conn);
	if (!conn->in_call)
		conn_free(conn);
}

/* Ends the connection and tells its user. */
static void fail(httpc_t *conn, httpc_failure_t why)
{
	bool rested = conn->state == HTTPC_RESTING;

	if (conn->dead)
		return;
	stop(conn);
	if (rested)
		conn->ops->lapsed(conn);
	else
		conn->ops->failed(conn, why);
}

static httpc_t *of(http_parser *parser)
{
	return parser->data;
}

static int on_begin(http_parser *parser)
{
	httpc_t *conn = of(parser);

	if (conn->ended)
		return -1; /* bytes behind the answer */
	head_clear(&conn->head);
	conn->taking = false;
	status_line_begin(&conn->status_line);
	http_parser_pause(parser, 1); /* shows parse() where the line is */
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t length)
{
	head_add_name(&of(parser)->head, at, length);
	return 0;
}

/* True for a byte that HTTP doesn't allow in a value. */
static bool is_control(char byte)
{
	return iscntrl((unsigned char)byte) && byte != '\t';
}

static int on_value(http_parser *parser, const char *at, size_t length)
{
	head_t *head = &of(parser)->head;

	/* the parser checks all bytes of a value but the first */
	if (!head->in_value && length && is_control(*at))
		return -1;
	head_add_value(head, at, length);
	return 0;
}

static bool is_interim(const http_parser *parser)
{
	return parser->status_code / 100 == 1;
}

/* "timeout=5, max=100" */
static void read_keep(httpc_t *conn)
{
	const char *text = head_get(&conn->head, "keep-alive");
	const char *at = text ? strcasestr(text, "timeout=") : NULL;

	if (at)
		conn->keep = strtol(at + 8, NULL, 10) * PIMENTO_SEC;
}

/* An answer of neither a stated length nor chunks, that may have a body. */
static bool ends_with_connection(const httpc_t *conn, const http_parser *parser)
{
	return !conn->headless &&
	       parser->status_code != HTTP_STATUS_NO_CONTENT &&
	       parser->status_code != HTTP_STATUS_NOT_MODIFIED &&
	       !(parser->flags & F_CHUNKED) &&
	       parser->content_length == UINT64_MAX;
}

static int on_head(http_parser *parser)
{
	httpc_t *conn = of(parser);

	head_end(&conn->head);
	if (conn->head.failed || !status_line_is_valid(&conn->status_line))
		return -1;
	if (is_interim(parser) && conn->state != HTTPC_TUNNELLING)
		return 0;
	if (!head_is_sound(&conn->head))
		return -1;
	if (conn->state == HTTPC_TUNNELLING) {
		conn->tunnel_status = (int)parser->status_code;
		return NOTHING_FOLLOWS;
	}
	conn->status = (int)parser->status_code;
	conn->until_close = ends_with_connection(conn, parser);
	read_keep(conn);
	conn->taking = conn->ops->head(conn);
	if (!conn->taking)
		conn->reusable = false;
	return conn->headless ? HAS_NO_BODY : 0;
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	httpc_t *conn = of(parser);

	if (conn->taking && !conn->dead)
		conn->ops->body(conn, at, length);
	return 0;
}

static int on_end(http_parser *parser)
{
	httpc_t *conn = of(parser);

	if (is_interim(parser) || !conn->taking)
		return 0;
	conn->ended = true;
	if (!http_should_keep_alive(parser) || sendbuf_waiting(&conn->sendbuf))
		conn->reusable = false;
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

/* The reader of the last answer may have been slow; the next one is another. */
static void rest(httpc_t *conn)
{
	conn->state = HTTPC_RESTING;
	conn->since = sys_now();
	ev_io_start(conn->loop, &conn->reading);
}

/* Tells the peer that the answer has been read. */
static void end_request(httpc_t *conn)
{
	strbuf_t text;

	strbuf_init(&text);
	frame_write(&text, FRAME_DONE, "", 0);
	if (strbuf_error(&text) ||
	    sendbuf_write(&conn->sendbuf, conn->fd, text.bytes, text.length))
		conn->reusable = false;
	strbuf_finish(&text);
}

/* The answer is whole; its user may send the next request at once. */
static void finish(httpc_t *conn)
{
	if (conn->leaving)
		conn->reusable = false;
	if (conn->via && conn->reusable)
		end_request(conn);
	if (conn->reusable)
		rest(conn);
	else
		stop(conn);
	conn->ops->end(conn);
}

static bool is_paused(const httpc_t *conn)
{
	return HTTP_PARSER_ERRNO(&conn->parser) == HPE_PAUSED;
}

/* Feeds the parser, which pauses in each status line. Returns bytes taken. */
static size_t parse(httpc_t *conn, const char *bytes, size_t length)
{
	size_t taken = 0;

	do {
		if (is_paused(conn))
			http_parser_pause(&conn->parser, 0);
		status_line_feed(&conn->status_line, bytes + taken,
				 length - taken);
		taken += http_parser_execute(&conn->parser, &callbacks,
					     bytes + taken, length - taken);
	} while (is_paused(conn) && taken < length);
	return taken;
}

/* Feeds what came; length 0 is the end of the connection. */
static void take(httpc_t *conn, const char *bytes, size_t length)
{
	size_t taken = parse(conn, bytes, length);
	bool good =
		is_paused(conn) || HTTP_PARSER_ERRNO(&conn->parser) == HPE_OK;

	if (conn->dead)
		return;
	if (conn->ended) {
		if (!good || taken < length || !length)
			conn->reusable = false;
		finish(conn);
		return;
	}
	if (!conn->taking)
		conn->preamble += length;
	if (conn->preamble > PREAMBLE_MAX)
		good = false;
	if (!good)
		fail(conn, length ? HTTPC_GARBLED : HTTPC_BROKEN);
	else if (!length)
		fail(conn, HTTPC_BROKEN);
}

/*
 * The peer's answer to the request for a tunnel. It comes in one piece, with
 * nothing behind it.
 */
static void take_tunnel_answer(httpc_t *conn, const char *bytes, size_t length)
{
	if (parse(conn, bytes, length) < length ||
	    conn->tunnel_status != HTTP_STATUS_SWITCHING_PROTOCOLS) {
		fail(conn, HTTPC_UNREACHED);
		return;
	}
	rest(conn);
	conn->ops->opened(conn);
}

static void take_frame(httpc_t *conn, const frame_t *frame)
{
	bool asking = conn->state == HTTPC_ASKING;

	switch (frame->kind) {
	case FRAME_DATA:
		if (!frame->length)
			break; /* take() knows no bytes as the end */
		if (asking)
			take(conn, frame->bytes, frame->length);
		else
			fail(conn, HTTPC_BROKEN);
		break;
	case FRAME_CLOSED:
		if (asking)
			take(conn, "", 0);
		else
			fail(conn, HTTPC_BROKEN);
		break;
	case FRAME_LEAVING:
		conn->leaving = true;
		if (!asking)
			fail(conn, HTTPC_BROKEN);
		break;
	case FRAME_RESET:
		fail(conn, HTTPC_BROKEN);
		break;
	case FRAME_REQUEST:
	case FRAME_DONE:
	default:
		fail(conn, HTTPC_TUNNEL_BROKEN);
		break;
	}
}

/* What came through a tunnel; length 0: the tunnel has ended. */
static void take_tunnelled(httpc_t *conn, const char *bytes, size_t length)
{
	frame_t frame;

	if (conn->state == HTTPC_TUNNELLING) {
		take_tunnel_answer(conn, bytes, length);
		return;
	}
	if (!length)
		fail(conn, HTTPC_TUNNEL_BROKEN);
	while (!conn->dead &&
	       frame_read(&conn->frames, &bytes, &length, &frame))
		take_frame(conn, &frame);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	httpc_t *conn = watcher->data;
	ssize_t got = read(conn->fd, read_buffer, sizeof(read_buffer));
	loop_time_t time;

	(void)loop;
	(void)events;
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	time = loop_time_begin(conn->via ? "peer" : "server", conn->fd, got);
	conn->in_call = true;
	if (conn->via)
		take_tunnelled(conn, read_buffer, got > 0 ? (size_t)got : 0);
	else if (conn->state != HTTPC_ASKING || got < 0)
		fail(conn, HTTPC_BROKEN);
	else
		take(conn, read_buffer, (size_t)got);
	conn->in_call = false;
	if (conn->dead)
		time.fd = -1;
	loop_time_end(&time);
	if (conn->dead)
		conn_free(conn);
}

static void ask_for_tunnel(httpc_t *conn)
{
	char head[256];
	int length = snprintf(head, sizeof(head),
			      "GET " TUNNEL_PATH "%s HTTP/1.1\r\nHost: peer\r\n"
			      "Connection: Upgrade\r\n"
			      "Upgrade: " TUNNEL_PROTOCOL "\r\n\r\n",
			      conn->target);

	conn->state = HTTPC_TUNNELLING;
	if (sendbuf_write(&conn->sendbuf, conn->fd, head, (size_t)length))
		fail(conn, HTTPC_UNREACHED);
	else if (sendbuf_waiting(&conn->sendbuf))
		ev_io_start(conn->loop, &conn->writing);
}

static void connected(httpc_t *conn)
{
	int error = net_error(conn->fd);

	if (error) {
		conn->refused = error == ECONNREFUSED;
		fail(conn, HTTPC_UNREACHED);
		return;
	}
	ev_io_stop(conn->loop, &conn->writing);
	ev_io_start(conn->loop, &conn->reading);
	if (conn->via) {
		ask_for_tunnel(conn);
		return;
	}
	rest(conn);
	conn->ops->opened(conn);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	httpc_t *conn = watcher->data;
	bool connecting = conn->state == HTTPC_CONNECTING;

	(void)events;
	conn->in_call = true;
	if (connecting)
		connected(conn);
	else if (sendbuf_flush(&conn->sendbuf, conn->fd))
		fail(conn, HTTPC_BROKEN);
	else if (!sendbuf_waiting(&conn->sendbuf))
		ev_io_stop(loop, &conn->writing);
	conn->in_call = false;
	if (conn->dead)
		conn_free(conn);
}

httpc_t *httpc_open(struct ev_loop *loop, const net_address_t *address,
		    const httpc_ops_t *ops)
{
	int fd = net_connect(address);
	httpc_t *conn;

	if (fd < 0)
		return NULL;
	conn = calloc(1, sizeof(*conn));
	if (!conn) {
		close(fd);
		return NULL;
	}
	conn->loop = loop;
	conn->ops = ops;
	conn->fd = fd;
	conn->since = sys_now();
	conn->begun = conn->since;
	head_init(&conn->head);
	sendbuf_init(&conn->sendbuf);
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	ev_io_init(&conn->reading, on_readable, fd, EV_READ);
	ev_io_init(&conn->writing, on_writable, fd, EV_WRITE);
	conn->reading.data = conn;
	conn->writing.data = conn;
	ev_io_start(loop, &conn->writing);
	return conn;
}

/* True if an id can stand in a request line as it is. */
static bool is_path_segment(const char *id)
{
	for (const char *at = id; *at; at++)
		if (!isalnum((unsigned char)*at) && !strchr("-_.~", *at))
			return false;
	return *id != '\0';
}

httpc_t *httpc_open_tunnel(struct ev_loop *loop, const net_address_t *peer,
			   const char *target, const httpc_ops_t *ops)
{
	httpc_t *conn =
		is_path_segment(target) ? httpc_open(loop, peer, ops) : NULL;

	if (!conn)
		return NULL;
	conn->via = peer->ip;
	snprintf(conn->target, sizeof(conn->target), "%s", target);
	return conn;
}

bool httpc_unacknowledged(const httpc_t *conn)
{
	int bytes = 0;

	return !conn->dead && ioctl(conn->fd, SIOCOUTQ, &bytes) == 0 &&
	       bytes > 0;
}

/* Adds a request as a whole, in frames if it goes through a tunnel. */
static void write_request(const httpc_t *conn, strbuf_t *whole,
			  const char *head, size_t head_length,
			  const char *body, size_t body_length)
{
	if (!conn->via) {
		strbuf_add(whole, head, head_length);
		strbuf_add(whole, body, body_length);
		return;
	}
	if (conn->request_id)
		frame_write(whole, FRAME_REQUEST, conn->request_id,
			    strlen(conn->request_id));
	frame_write(whole, FRAME_DATA, head, head_length);
	if (body_length)
		frame_write(whole, FRAME_DATA, body, body_length);
}

bool httpc_ask(httpc_t *conn, const char *head, size_t head_length,
	       const char *body, size_t body_length, bool headless)
{
	strbuf_t whole;
	int error;

	strbuf_init(&whole);
	write_request(conn, &whole, head, head_length, body, body_length);
	error = strbuf_error(&whole);
	if (!error)
		error = sendbuf_write(&conn->sendbuf, conn->fd, whole.bytes,
				      whole.length);
	strbuf_finish(&whole);
	if (error)
		return false;
	conn->state = HTTPC_ASKING;
	conn->since = sys_now();
	conn->asked++;
	conn->sent = true;
	conn->status = 0;
	conn->ended = false;
	conn->taking = false;
	conn->preamble = 0;
	conn->reusable = true;
	conn->headless = headless;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	if (sendbuf_waiting(&conn->sendbuf))
		ev_io_start(conn->loop, &conn->writing);
	return true;
}

void httpc_hold(httpc_t *conn, bool hold)
{
	if (conn->dead || conn->state < HTTPC_RESTING)
		return;
	if (hold)
		ev_io_stop(conn->loop, &conn->reading);
	else
		ev_io_start(conn->loop, &conn->reading);
}
