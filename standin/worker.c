/*
 * A stand-in for a worker of the platform, for tests: it answers plainly or
 * with a stream, and misbehaves as the caller's own header field asks.
 *
 *	worker PORT ID [SLOTS]
 *
 * The path ends with "/stream" for a stream. "Test-Events: N" gives its length
 * (default 5) and "Test-Gap-Ms: N" its pauses (default 10). "Test-Behave: WORD"
 * asks this worker to misbehave; "Test-Behave-At: ID" only if it has that id.
 *
 *	extra	the answer twice		foreign	another request's id
 *	torn	half an answer, then a reset	bare	no length; ends by closing
 *	hang	no answer at all		garble	bytes that are no answer
 *	full	503, not run			busy	503, may have run
 *	fail	500				unsealed a success without a seal
 *	half	a stream that stops inside its third event
 *	mute	a stream's head, and a reset before its first event
 *	interim	answers 102 by the thousand, then nothing
 *	stale	a rejection of another request, then the answer
 *
 * A prompt part whose id begins with "dead" ("Prefix-Hash: dead01:40,7f:20"; not
 * the last one) ends this process soon after the head of a stream; with "dead5"
 * its listener is open for a moment longer than its connections, with "dead7" it
 * ends at the 30th event. A part whose id begins with "beef" does the same as
 * one with "dead" wherever it stands ("beef7": at the 30th event), and so does a
 * path with "/crash" in it, also of a plain request.
 *
 * Each run is a line "ran ID" on standard output, each rejection that /test/state
 * asks for a line "rejected ID". "after_leaving ID MS" is a request of a sender
 * (its field Test-Sender) that was first told at MS that this worker leaves;
 * "in_backoff ID MS" is one beyond two in the backoff that a sender was told of at MS.
 *
 * GET /test/state/LIMIT/REJECTED/WHERE: from now on this worker states the limit
 * LIMIT (requests a second, a decimal number; 0: none) in all its answers, or in
 * its rejections alone (WHERE: all, rejections), and rejects REJECTED in 100.
 *
 * GET /test/leave: from now on this worker says in all its answers that it leaves.
 *
 * GET /test/backoff/VALUE/MS/SENDER: for MS milliseconds this worker rejects all
 * requests of SENDER (their field Test-Sender; "all": of everybody) with
 * "Retry-After: VALUE". If VALUE is a number of seconds, it counts for each sender
 * what arrives from half a second after such a rejection until that time is over.
 *
 * GET /test/runs tells {"runs": N, "here": requests that arrived, "open":
 * streams under way, "in_backoff": the most that one sender sent in its
 * backoff, "last": the last request's head as text}.
 */

#include "httpd.h"
#include "sys.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	RUNS_MAX = 64,
	INTERIM_HEADS = 100000,
	DESCRIPTORS_MAX = 1024,
	EVENTS_DEFAULT = 5,
	GAP_DEFAULT_MS = 10,
	MUTE_MS = 100, /* from a stream's head to its reset */
	CRASH_MS = 20, /* from a stream's head to the end of this process */
	CRASH_EVENT = 30, /* the same for a late one */
	LISTENER_MS = 5, /* from the end of its connections to that */
	CRASHED = 3 /* exit status */
};

/* A stream under way. */
typedef struct run {
	httpd_conn_t *conn; /* NULL: free */
	uint64_t next; /* event */
	uint64_t events;
	pimento_usec_t gap;
	pimento_usec_t due;
	uint64_t crash_after; /* events of this run, if it is to crash */
	bool half;
	bool mute;
	bool crash;
	bool crash_slowly;
} run_t;

static const char *own_id;
static run_t runs[RUNS_MAX];
static json_int_t run_count;
static json_int_t arrivals;
static strbuf_t last;

/* What /test/state sets. */
static struct {
	double limit; /* 0: none */
	uint32_t rejected; /* of 100 */
	bool only_rejections; /* state the limit */
	uint32_t turn;
	bool leaving;
} state;

enum { SENDERS_MAX = 48, BACKOFF_ALLOWED = 2 };

#define BACKOFF_BEGINS (500 * PIMENTO_MSEC) /* after the rejection */

/* What /test/backoff sets. */
static struct {
	char value[32];
	char sender[32];
	pimento_usec_t until;
} backoff;

/* What one sender was told, and sent then. */
static struct {
	char name[32];
	pimento_usec_t told_leaving_at; /* 0: never */
	pimento_usec_t told_backoff_at;
	pimento_usec_t begins;
	pimento_usec_t ends;
	json_int_t arrivals;
} senders[SENDERS_MAX];
static json_int_t most_in_backoff;

static const char *sender_of(const httpd_conn_t *conn)
{
	const char *name = head_get(&conn->head, "Test-Sender");

	return name ? name : "-";
}

/* Index of a sender, which is added if it is new. */
static int find_sender(const char *name)
{
	int i = 0;

	while (i < SENDERS_MAX - 1 && senders[i].name[0] &&
	       strcmp(senders[i].name, name) != 0)
		i++;
	snprintf(senders[i].name, sizeof(senders[i].name), "%s", name);
	return i;
}

static void tell_at(const httpd_conn_t *conn, const char *what,
		    pimento_usec_t at)
{
	const char *id = head_get(&conn->head, "Request-Id");

	printf("%s %s %lld\n", what, id ? id : "-",
	       (long long)(at / PIMENTO_MSEC));
	fflush(stdout);
}

static void count_in_backoff(const httpd_conn_t *conn)
{
	int i = find_sender(sender_of(conn));
	pimento_usec_t now = sys_now();

	if (now < senders[i].begins || now >= senders[i].ends)
		return;
	if (++senders[i].arrivals > most_in_backoff)
		most_in_backoff = senders[i].arrivals;
	if (senders[i].arrivals > BACKOFF_ALLOWED)
		tell_at(conn, "in_backoff", senders[i].told_backoff_at);
}

static void note_leaving(const httpd_conn_t *conn)
{
	int i = find_sender(sender_of(conn));

	if (senders[i].told_leaving_at)
		tell_at(conn, "after_leaving", senders[i].told_leaving_at);
	else
		senders[i].told_leaving_at = sys_now();
}

static bool is_to_back_off(const httpd_conn_t *conn)
{
	return sys_now() < backoff.until &&
	       (strcmp(backoff.sender, "all") == 0 ||
		strcmp(backoff.sender, sender_of(conn)) == 0);
}

static void state_backoff(const httpd_conn_t *conn, strbuf_t *fields)
{
	int i = find_sender(sender_of(conn));
	pimento_usec_t now = sys_now();
	pimento_usec_t ends =
		now +
		(pimento_usec_t)(strtod(backoff.value, NULL) * PIMENTO_SEC);

	strbuf_addf(fields, "Retry-After: %s\r\n", backoff.value);
	if (now >= senders[i].ends) {
		senders[i].told_backoff_at = now;
		senders[i].begins = now + BACKOFF_BEGINS;
		senders[i].arrivals = 0;
	}
	if (ends > senders[i].ends)
		senders[i].ends = ends;
}

static void set_backoff(httpd_conn_t *conn, const char *text)
{
	unsigned ms;

	if (sscanf(text, "%31[^/]/%u/%31s", backoff.value, &ms,
		   backoff.sender) != 3) {
		httpd_answer(conn, 400, "", "", 0);
		return;
	}
	backoff.until = sys_now() + ms * PIMENTO_MSEC;
	httpd_answer(conn, 200, "", "", 0);
}

static void keep_head(const httpd_conn_t *conn)
{
	last.length = 0;
	strbuf_addf(&last, "%s\n", conn->target.bytes);
	for (uint32_t i = 0; i < conn->head.count; i++)
		strbuf_addf(&last, "%s: %s\n", head_name(&conn->head, i),
			    head_value(&conn->head, i));
}

static bool behaves(const httpd_conn_t *conn, const char *word)
{
	const char *wanted = head_get(&conn->head, "Test-Behave");
	const char *at = head_get(&conn->head, "Test-Behave-At");

	return wanted && strcmp(wanted, word) == 0 &&
	       (!at || strcmp(at, own_id) == 0);
}

static uint64_t number(const httpd_conn_t *conn, const char *name,
		       uint64_t otherwise)
{
	uint64_t value;

	return head_number(&conn->head, name, UINT32_MAX, &value) ? value
								  : otherwise;
}

/* What all answers say of the worker itself. */
static void add_state(strbuf_t *fields, bool rejection)
{
	if (state.leaving)
		strbuf_addf(fields, "Server-Leaving: 1\r\n");
	if (state.limit > 0 && (rejection || !state.only_rejections))
		strbuf_addf(fields, "Server-Limit: %g\r\n", state.limit);
}

/* The head of an answer; sealed as a worker's. */
static void add_fields(const httpd_conn_t *conn, strbuf_t *fields)
{
	const char *id = head_get(&conn->head, "Request-Id");

	if (behaves(conn, "foreign"))
		id = "somebody-elses";
	strbuf_addf(fields, "Request-Id: %s\r\n", id ? id : "-");
	if (!behaves(conn, "unsealed"))
		strbuf_addf(fields, "Response-Seal: %s.seal\r\n", own_id);
	strbuf_addf(fields, "X-Worker: %s\r\n", own_id);
	add_state(fields, false);
}

static void raw(httpd_conn_t *conn, const char *text, size_t length)
{
	(void)sendbuf_write(&conn->sendbuf, conn->fd, text, length);
}

static void answer_plainly(httpd_conn_t *conn)
{
	char body[128];
	strbuf_t fields;

	snprintf(body, sizeof(body), "answer of %s to %zu bytes", own_id,
		 conn->body.length);
	strbuf_init(&fields);
	add_fields(conn, &fields);
	if (behaves(conn, "torn") || behaves(conn, "bare")) {
		strbuf_t whole;

		strbuf_init(&whole);
		strbuf_addf(&whole, "HTTP/1.1 200 OK\r\n%s",
			    strbuf_str(&fields));
		if (behaves(conn, "torn"))
			strbuf_addf(&whole, "Content-Length: 1000\r\n");
		strbuf_addf(&whole, "\r\n%s", body);
		raw(conn, whole.bytes, whole.length);
		strbuf_finish(&whole);
		if (behaves(conn, "bare"))
			shutdown(conn->fd, SHUT_WR);
		else
			httpd_abort(conn);
	} else {
		int status = behaves(conn, "fail")   ? 500
			     : behaves(conn, "busy") ? 503
						     : 200;

		if (behaves(conn, "extra")) {
			strbuf_t again;

			strbuf_init(&again);
			strbuf_addf(&again,
				    "HTTP/1.1 200 OK\r\n%sContent-Length: "
				    "%zu\r\n\r\n%s",
				    strbuf_str(&fields), strlen(body), body);
			raw(conn, again.bytes, again.length);
			strbuf_finish(&again);
		}
		httpd_answer(conn, status, strbuf_str(&fields), body,
			     strlen(body));
	}
	strbuf_finish(&fields);
}

/* True if a part of the prompt, but for the last one, begins with this text. */
static bool has_part(const httpd_conn_t *conn, const char *text)
{
	const char *parts = head_get(&conn->head, "Prefix-Hash");
	const char *part = parts ? strstr(parts, text) : NULL;

	return part && strchr(part, ',') && (part == parts || part[-1] == ',');
}

/* True if any part of the prompt begins with this text. */
static bool has_any_part(const httpd_conn_t *conn, const char *text)
{
	const char *parts = head_get(&conn->head, "Prefix-Hash");
	const char *part = parts ? strstr(parts, text) : NULL;

	return part && (part == parts || part[-1] == ',');
}

static bool is_crashing_path(const httpd_conn_t *conn)
{
	return strstr(conn->target.bytes, "/crash") != NULL;
}

static bool is_connection(int fd)
{
	struct sockaddr_in peer;
	socklen_t length = sizeof(peer);

	return getpeername(fd, (struct sockaddr *)&peer, &length) == 0;
}

/* Ends as a process may whose sockets are closed one after the other. */
static void crash(bool slowly)
{
	if (slowly) {
		for (int fd = 3; fd < DESCRIPTORS_MAX; fd++)
			if (is_connection(fd))
				close(fd);
		usleep(LISTENER_MS * 1000);
	}
	_exit(CRASHED);
}

static void crash_plainly(void)
{
	usleep(CRASH_MS * 1000);
	crash(false);
}

static void begin_stream(httpd_conn_t *conn)
{
	strbuf_t fields;

	for (int i = 0; i < RUNS_MAX; i++) {
		const char *after = head_get(&conn->head, "Last-Event-Id");

		if (runs[i].conn)
			continue;
		runs[i].conn = conn;
		runs[i].next = after ? strtoull(after, NULL, 10) + 1 : 1;
		runs[i].events = number(conn, "Test-Events", EVENTS_DEFAULT);
		runs[i].gap = (pimento_usec_t)number(conn, "Test-Gap-Ms",
						     GAP_DEFAULT_MS) *
			      PIMENTO_MSEC;
		runs[i].due = sys_now();
		runs[i].half = behaves(conn, "half");
		runs[i].mute = behaves(conn, "mute");
		runs[i].crash = has_part(conn, "dead") ||
				has_any_part(conn, "beef") ||
				is_crashing_path(conn);
		runs[i].crash_slowly = has_part(conn, "dead5");
		runs[i].crash_after =
			has_part(conn, "dead7") || has_any_part(conn, "beef7")
				? CRASH_EVENT
				: 0;
		if (runs[i].crash && !runs[i].crash_after)
			runs[i].due += CRASH_MS * PIMENTO_MSEC;
		if (runs[i].mute) /* its head must have arrived before */
			runs[i].due += MUTE_MS * PIMENTO_MSEC;
		break;
	}
	strbuf_init(&fields);
	add_fields(conn, &fields);
	strbuf_addf(&fields, "Content-Type: text/event-stream\r\n");
	httpd_begin(conn, 200, strbuf_str(&fields), HTTPD_CHUNKED);
	strbuf_finish(&fields);
}

static void end_run(run_t *run)
{
	httpd_conn_t *conn = run->conn;

	run->conn = NULL;
	httpd_end(conn);
}

static void go_on(run_t *run)
{
	char event[64];
	int length = snprintf(
		event, sizeof(event), "id: %llu\ndata: event %llu\n\n",
		(unsigned long long)run->next, (unsigned long long)run->next);

	if (run->crash && !run->crash_after--)
		crash(run->crash_slowly);
	if (run->mute) {
		httpd_conn_t *conn = run->conn;

		run->conn = NULL;
		httpd_abort(conn);
		return;
	}
	if (run->half && run->next == 3) {
		httpd_conn_t *conn = run->conn;

		run->conn = NULL;
		httpd_write(conn, event, (size_t)length / 2);
		httpd_abort(conn);
		return;
	}
	httpd_write(run->conn, event, (size_t)length);
	run->due += run->gap;
	if (run->next++ >= run->events)
		end_run(run);
}

static void tell_runs(httpd_conn_t *conn)
{
	json_int_t open = 0;
	json_t *root;
	char *text;

	for (int i = 0; i < RUNS_MAX; i++)
		open += runs[i].conn != NULL;
	root = json_pack("{s:I, s:I, s:I, s:I, s:s}", "runs", run_count, "here",
			 arrivals, "open", open, "in_backoff", most_in_backoff,
			 "last", strbuf_str(&last));
	text = json_dumps(root, JSON_COMPACT);
	httpd_answer(conn, 200, "", text, strlen(text));
	free(text);
	json_decref(root);
}

/* For who checks afterwards what came of it, also if this process is killed. */
static void answer_interim(httpd_conn_t *conn)
{
	static const char head[] = "HTTP/1.1 102 Processing\r\n\r\n";

	for (int i = 0; i < INTERIM_HEADS; i++)
		raw(conn, head, sizeof(head) - 1);
}

static void tell(const httpd_conn_t *conn, const char *what)
{
	const char *id = head_get(&conn->head, "Request-Id");

	printf("%s %s\n", what, id ? id : "-");
	fflush(stdout);
}

static bool is_rejected(void)
{
	state.turn = (state.turn + 37) % 100; /* spread evenly */
	return state.turn < state.rejected;
}

static void reject(httpd_conn_t *conn)
{
	strbuf_t fields;

	strbuf_init(&fields);
	strbuf_addf(&fields, "Not-Executed: 1\r\n");
	add_state(&fields, true);
	if (is_to_back_off(conn))
		state_backoff(conn, &fields);
	httpd_answer(conn, 503, strbuf_str(&fields), "", 0);
	strbuf_finish(&fields);
}

/* Returns true if the request is refused and has not run. */
static bool refuse(httpd_conn_t *conn)
{
	const char *wanted = head_get(&conn->head, "Expect-Instance");
	char fields[128];

	if (wanted && strcmp(wanted, own_id) != 0) {
		snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n", own_id);
		httpd_answer(conn, 421, fields, "", 0);
		return true;
	}
	if (behaves(conn, "full")) {
		reject(conn);
		return true;
	}
	if (is_to_back_off(conn) || is_rejected()) {
		tell(conn, "rejected");
		reject(conn);
		return true;
	}
	return false;
}

static void set_state(httpd_conn_t *conn, const char *text)
{
	char where[16] = "";
	char answer[32];
	int length;

	if (sscanf(text, "%lf/%u/%15s", &state.limit, &state.rejected, where) !=
	    3) {
		httpd_answer(conn, 400, "", "", 0);
		return;
	}
	state.only_rejections = strcmp(where, "rejections") == 0;
	length = snprintf(answer, sizeof(answer), "%g", state.limit);
	httpd_answer(conn, 200, "", answer, (size_t)length);
}

static void on_request(httpd_conn_t *conn)
{
	static const char rubbish[] = "\x01\x02 no answer\r\n\r\n";
	static const char stale[] =
		"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
		"Request-Id: somebody-elses\r\nContent-Length: 0\r\n\r\n";
	size_t path = strcspn(conn->target.bytes, "?");

	if (strcmp(conn->target.bytes, "/test/runs") == 0) {
		tell_runs(conn);
		return;
	}
	if (strcmp(conn->target.bytes, "/test/leave") == 0) {
		state.leaving = true;
		httpd_answer(conn, 200, "", "", 0);
		return;
	}
	if (strncmp(conn->target.bytes, "/test/backoff/", 14) == 0) {
		set_backoff(conn, conn->target.bytes + 14);
		return;
	}
	if (strncmp(conn->target.bytes, "/test/state/", 12) == 0) {
		set_state(conn, conn->target.bytes + 12);
		return;
	}
	arrivals++;
	keep_head(conn);
	count_in_backoff(conn);
	if (state.leaving)
		note_leaving(conn);
	if (refuse(conn))
		return;
	run_count++;
	tell(conn, "ran");
	if (behaves(conn, "hang"))
		return;
	if (behaves(conn, "stale"))
		raw(conn, stale, sizeof(stale) - 1);
	if (behaves(conn, "interim"))
		answer_interim(conn);
	else if (behaves(conn, "garble"))
		raw(conn, rubbish, sizeof(rubbish) - 1);
	else if (path >= 7 &&
		 strncmp(conn->target.bytes + path - 7, "/stream", 7) == 0)
		begin_stream(conn);
	else if (is_crashing_path(conn))
		crash_plainly();
	else
		answer_plainly(conn);
}

static void on_gone(httpd_conn_t *conn)
{
	for (int i = 0; i < RUNS_MAX; i++)
		if (runs[i].conn == conn)
			runs[i].conn = NULL;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	pimento_usec_t now = sys_now();

	(void)loop;
	(void)timer;
	(void)events;
	for (int i = 0; i < RUNS_MAX; i++)
		if (runs[i].conn && now >= runs[i].due)
			go_on(&runs[i]);
}

static void on_term(struct ev_loop *loop, ev_signal *signal, int events)
{
	(void)signal;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static const httpd_ops_t ops = { .request = on_request,
					 .gone = on_gone };
	static const httpd_limits_t limits = {
		.head_bytes = 65536,
		.body_bytes = 16 * 1024 * 1024,
		.head_timeout = 10 * PIMENTO_SEC,
		.idle_timeout = 30 * PIMENTO_SEC,
		.connections = 512,
	};
	static httpd_t server;
	struct ev_loop *loop = ev_default_loop(EVFLAG_NOENV);
	net_address_t address = { 0 };
	ev_timer tick;
	ev_signal term;

	if (argc < 3 || sodium_init() < 0)
		return 2;
	own_id = argv[2];
	address.ip = 0x7f000001; /* 127.0.0.1 */
	address.port = (uint16_t)strtoul(argv[1], NULL, 10);
	strbuf_init(&last);
	signal(SIGPIPE, SIG_IGN);
	if (httpd_init(&server, loop, &address, &ops, &limits))
		return EXIT_FAILURE;
	ev_timer_init(&tick, on_tick, 0, 0.002);
	ev_timer_start(loop, &tick);
	ev_signal_init(&term, on_term, SIGTERM);
	ev_signal_start(loop, &term);
	printf("listening on 127.0.0.1:%u\n", address.port);
	fflush(stdout);
	ev_run(loop, 0);
	return EXIT_SUCCESS;
}
