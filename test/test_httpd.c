/* The server of HTTP towards callers, in this process, on loopback. */

#include "httpc.h"
#include "httpd.h"
#include "process.h"
#include "sys.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	BODY_BYTES = 12 * 1024 * 1024, /* beyond what sockets hold */
	RECEIVE_BYTES = 64 * 1024,
	STEP_MS = 10,
	IDLE_MS = 1500
};

static struct ev_loop *loop;
static httpd_t server;
static char *body;

static void on_request(httpd_conn_t *conn)
{
	httpd_answer(conn, 200, "", body, BODY_BYTES);
}

static void on_gone(httpd_conn_t *conn)
{
	(void)conn;
}

static const httpd_ops_t server_ops = { .request = on_request,
					.gone = on_gone };

static net_address_t address(void)
{
	return (net_address_t){ INADDR_LOOPBACK, process_free_port() };
}

static int connect_to(const net_address_t *to)
{
	struct sockaddr_in peer = { .sin_family = AF_INET,
				    .sin_port = htons(to->port),
				    .sin_addr = { htonl(to->ip) } };
	int size = RECEIVE_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&peer, sizeof(peer)),
			 0);
	return fd;
}

/* A caller whose answer is whole at the server, and not yet at the caller. */
static int call_large(const char *fields)
{
	const httpd_limits_t limits = {
		.head_bytes = 4096,
		.head_timeout = PIMENTO_SEC,
		.idle_timeout = IDLE_MS * PIMENTO_MSEC,
		.connections = 4,
	};
	net_address_t at = address();
	char text[128];
	int length = snprintf(text, sizeof(text),
			      "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", fields);
	int fd;

	ck_assert_int_eq(httpd_init(&server, loop, &at, &server_ops, &limits),
			 0);
	fd = connect_to(&at);
	ck_assert_int_eq(write(fd, text, (size_t)length), length);
	while (!httpd_pending(&server))
		ev_run(loop, EVRUN_ONCE);
	return fd;
}

/* Reads on, steadily, until the connection ends or its answer is whole. */
static size_t read_slowly(int fd)
{
	static char buffer[256 * 1024];
	size_t sum = 0;
	ssize_t got;

	do {
		httpd_sweep(&server, sys_now());
		httpd_close_resting(&server);
		ev_run(loop, EVRUN_NOWAIT);
		got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (got > 0)
			sum += (size_t)got;
		process_sleep_ms(STEP_MS);
	} while (sum < BODY_BYTES && (got > 0 || (got < 0 && errno == EAGAIN)));
	return sum;
}

static void setup(void)
{
	loop = ev_loop_new(EVFLAG_AUTO);
	body = calloc(1, BODY_BYTES);
}

static void teardown(void)
{
	httpd_finish(&server);
	ev_loop_destroy(loop);
	free(body);
}

static const char *const connection_fields[] = { "", "Connection: close\r\n" };

/* A stop, or the end of a connection, that cuts an answer which is being read. */
START_TEST(an_answer_that_is_still_read_is_not_cut)
{
	int fd = call_large(connection_fields[_i]);

	ck_assert_uint_ge(read_slowly(fd), BODY_BYTES);
	close(fd);
}
END_TEST

/* Callers that keep a connection and its answer without ever reading on. */
START_TEST(a_reader_that_has_stopped_is_let_go)
{
	int fd = call_large(connection_fields[_i]);
	int64_t until = process_now_ms() + 3 * IDLE_MS;

	while (server.conns && process_now_ms() < until) {
		httpd_sweep(&server, sys_now());
		ev_run(loop, EVRUN_NOWAIT);
		process_sleep_ms(STEP_MS);
	}
	ck_assert_ptr_null(server.conns);
	close(fd);
}
END_TEST

/* A connection to an endpoint, which answers each request with two bytes. */
static uint32_t answers;

static void on_opened(httpc_t *conn)
{
	static const char head[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

	ck_assert(httpc_ask(conn, head, sizeof(head) - 1, "", 0, false));
}

static bool on_head(httpc_t *conn)
{
	(void)conn;
	return true;
}

static void on_body(httpc_t *conn, const char *bytes, size_t length)
{
	(void)bytes;
	(void)length;
	httpc_hold(conn, true); /* its reader is slow */
}

static void on_end(httpc_t *conn)
{
	if (++answers < 2)
		on_opened(conn);
}

static void on_failed(httpc_t *conn, httpc_failure_t why)
{
	(void)conn;
	(void)why;
}

static const httpc_ops_t endpoint_ops = { .opened = on_opened,
					  .head = on_head,
					  .body = on_body,
					  .end = on_end,
					  .failed = on_failed };

static void answer_shortly(httpd_conn_t *conn)
{
	httpd_answer(conn, 200, "", "ok", 2);
}

/* The next request on a connection whose reading had stopped is not answered. */
START_TEST(a_connection_reads_again_for_its_next_request)
{
	static const httpd_ops_t ops = { .request = answer_shortly,
					 .gone = on_gone };
	const httpd_limits_t limits = { .head_bytes = 4096,
					.head_timeout = PIMENTO_SEC,
					.idle_timeout = 10 * PIMENTO_SEC,
					.connections = 4 };
	net_address_t at = address();
	int64_t until = process_now_ms() + IDLE_MS;
	httpc_t *conn;

	ck_assert_int_eq(httpd_init(&server, loop, &at, &ops, &limits), 0);
	answers = 0;
	conn = httpc_open(loop, &at, &endpoint_ops);
	ck_assert_ptr_nonnull(conn);
	while (answers < 2 && process_now_ms() < until) {
		ev_run(loop, EVRUN_NOWAIT);
		process_sleep_ms(1);
	}
	ck_assert_uint_eq(answers, 2);
	httpc_close(conn);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("httpd");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 30);
	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, an_answer_that_is_still_read_is_not_cut, 0,
			    2);
	tcase_add_loop_test(tests, a_reader_that_has_stopped_is_let_go, 0, 2);
	tcase_add_test(tests, a_connection_reads_again_for_its_next_request);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
