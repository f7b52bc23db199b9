/*
 * Exchanges with endpoints, over libcurl. The ulfius client would do but for
 * two things that "not run" rests on: it does not tell a connection that was
 * never made from one that broke, and has no place between the connection and
 * the first byte. libcurl, on which it stands, has both; every handle is fresh
 * and makes one connection, so that nothing is ever sent twice behind our
 * back.
 */

#include "traffic.h"
#include "head_lines.h"
#include "log.h"
#include "sys.h"

#include "../src/sse.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MSEC 1000L
#define CANCEL_TIMEOUT_MSEC 3000L
/* An exchange is given this long beyond the caller's patience. */
#define EXCHANGE_GRACE_MSEC 10000L
#define TOKENS_PERIOD PIMENTO_SEC
#define URL_MAX 2048
#define LINE_TYPE_MAX 64
#define STACK_BYTES ((size_t)256 * 1024)
#define DONE_MARK "data: [DONE]"
#define EVENT_STREAM "text/event-stream"
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404

typedef struct exchange {
	control_t *control;
	call_t *call;
	pimento_action_kind_t kind;
	char address[64];
	uint16_t port;
	pimento_reqid_t stream;
	CURL *curl;
	struct curl_slist *headers;
	bool committed; /* the first byte may leave */
	bool done_seen; /* the stream's proper end came */
	bool aborted; /* on our side: caller left, or too large */
	head_lines_t head; /* of the answer */
	char type[LINE_TYPE_MAX];
	sse_t events; /* of a stream */
	pimento_usec_t told;
	pimento_usec_t last_token; /* when the last whole event came */
} exchange_t;

static atomic_uint running;

uint32_t traffic_running(void)
{
	return running;
}

static long status_of(const exchange_t *exchange)
{
	long status = 0;

	curl_easy_getinfo(exchange->curl, CURLINFO_RESPONSE_CODE, &status);
	return status;
}

static bool is_stream(const exchange_t *exchange)
{
	return exchange->call->stream &&
	       !strncmp(exchange->type, EVENT_STREAM, strlen(EVENT_STREAM));
}

/* libcurl calls this when the connection stands, before it sends. */
static int on_connected(void *data, char *to, char *from, int to_port,
			int from_port)
{
	exchange_t *exchange = data;

	(void)to;
	(void)from;
	(void)to_port;
	(void)from_port;
	if (exchange->kind == PIMENTO_ACTION_DISPATCH &&
	    control_commit(exchange->control, exchange->call))
		return CURL_PREREQFUNC_ABORT;
	exchange->committed = true;
	return CURL_PREREQFUNC_OK;
}

/* Returns less than the length if the answer is not to be read further. */
static size_t on_header(char *bytes, size_t size, size_t count, void *data)
{
	static const char name[] = "content-type:";
	exchange_t *exchange = data;
	size_t length = size * count;
	size_t skip = sizeof(name) - 1;

	if (!head_lines_take(&exchange->head, bytes, length)) {
		log_line(LOG_LEVEL_DEBUG, "traffic", "malformed head");
		return 0;
	}
	if (length > skip && !strncasecmp(bytes, name, skip)) {
		while (skip < length && bytes[skip] == ' ')
			skip++;
		snprintf(exchange->type, sizeof(exchange->type), "%.*s",
			 (int)(length - skip), bytes + skip);
		exchange->type[strcspn(exchange->type, "\r\n")] = '\0';
	}
	return length;
}

static void tell_tokens(exchange_t *exchange)
{
	pimento_event_t event = { .kind = PIMENTO_EVENT_TOKENS };
	pimento_usec_t now = sys_now();

	exchange->last_token = now;
	if (exchange->told && now - exchange->told < TOKENS_PERIOD)
		return;
	exchange->told = now;
	event.tokens = exchange->call->events;
	event.last_token_at = now;
	control_event(exchange->control, exchange->call, &event);
}

/* The mark is the last event of a stream, and none of its answer. */
static bool has_done_mark(const char *events, size_t length)
{
	return length && memmem(events, length, DONE_MARK, strlen(DONE_MARK));
}

/*
 * Hands on whole events only, and counts them: a stream that breaks inside one
 * is resumed at that event, and the caller sees no half of it.
 */
static bool hand_on_events(exchange_t *exchange, const char *bytes,
			   size_t length)
{
	sse_t *events = &exchange->events;
	uint32_t before = events->count;
	int64_t whole = sse_feed(events, bytes, length);
	const char *text = events->partial.text.bytes;

	if (whole < 0 ||
	    (whole && !call_write(exchange->call, text, (size_t)whole)))
		return false;
	exchange->call->events += events->count - before;
	if (has_done_mark(text, (size_t)whole)) {
		exchange->done_seen = true;
		exchange->call->events--;
	}
	sse_consume(events, (size_t)whole);
	tell_tokens(exchange);
	return true;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	exchange_t *exchange = data;
	size_t length = size * count;
	bool taken;

	if (call_abandoned(exchange->call)) {
		exchange->aborted = true;
		return 0;
	}
	/* A streaming caller must be reading, or the buffer would fill up. */
	if (exchange->call->stream)
		call_begin(exchange->call, (int)status_of(exchange),
			   exchange->type);
	if (is_stream(exchange)) {
		taken = hand_on_events(exchange, bytes, length);
	} else {
		taken = call_write(exchange->call, bytes, length);
	}
	if (!taken)
		exchange->aborted = true;
	return taken ? length : 0;
}

static int on_progress(void *data, curl_off_t dltotal, curl_off_t dlnow,
		       curl_off_t ultotal, curl_off_t ulnow)
{
	exchange_t *exchange = data;

	(void)dltotal;
	(void)dlnow;
	(void)ultotal;
	(void)ulnow;
	return call_abandoned(exchange->call);
}

static void set_url(exchange_t *exchange)
{
	char url[URL_MAX];
	char id[PIMENTO_REQID_TEXT_SIZE];

	pimento_reqid_format(exchange->stream, id);
	if (exchange->kind == PIMENTO_ACTION_DISPATCH)
		snprintf(url, sizeof(url), "http://%s:%u%s", exchange->address,
			 exchange->port, exchange->call->path);
	else if (exchange->kind == PIMENTO_ACTION_CANCEL)
		snprintf(url, sizeof(url), "http://%s:%u/v1/streams/%s",
			 exchange->address, exchange->port, id);
	else
		snprintf(url, sizeof(url),
			 "http://%s:%u/v1/streams/%s?from=%u%s",
			 exchange->address, exchange->port, id,
			 exchange->call->events,
			 exchange->call->stream ? "" : "&whole=1");
	curl_easy_setopt(exchange->curl, CURLOPT_URL, url);
}

static void add_header(exchange_t *exchange, const char *name,
		       const char *value)
{
	char line[URL_MAX];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	exchange->headers = curl_slist_append(exchange->headers, line);
}

static void set_request(exchange_t *exchange)
{
	const call_t *call = exchange->call;
	char id[PIMENTO_REQID_TEXT_SIZE];

	pimento_reqid_format(exchange->stream, id);
	add_header(exchange, "X-Request-Id", id);
	add_header(exchange, "Expect", "");
	if (exchange->kind == PIMENTO_ACTION_CANCEL)
		curl_easy_setopt(exchange->curl, CURLOPT_CUSTOMREQUEST,
				 "DELETE");
	if (exchange->kind == PIMENTO_ACTION_DISPATCH) {
		if (call->content_type)
			add_header(exchange, "Content-Type",
				   call->content_type);
		if (call->key)
			add_header(exchange, "Idempotency-Key", call->key);
		if (call->body_size || !strcmp(call->method, "POST")) {
			curl_easy_setopt(exchange->curl, CURLOPT_POST, 1L);
			curl_easy_setopt(exchange->curl, CURLOPT_POSTFIELDSIZE,
					 (long)call->body_size);
			curl_easy_setopt(exchange->curl, CURLOPT_POSTFIELDS,
					 call->body_size ? (char *)call->body
							 : "");
		}
		curl_easy_setopt(exchange->curl, CURLOPT_CUSTOMREQUEST,
				 call->method);
	}
	curl_easy_setopt(exchange->curl, CURLOPT_HTTPHEADER, exchange->headers);
}

static long timeout_of(const exchange_t *exchange)
{
	const call_t *call = exchange->call;
	pimento_usec_t left = call->began + call->patience - sys_now();

	if (exchange->kind == PIMENTO_ACTION_CANCEL)
		return CANCEL_TIMEOUT_MSEC;
	if (left < 0)
		left = 0;
	return (long)(left / PIMENTO_MSEC) + EXCHANGE_GRACE_MSEC;
}

static void set_options(exchange_t *exchange)
{
	CURL *curl = exchange->curl;

	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MSEC);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_of(exchange));
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, exchange);
	if (exchange->kind == PIMENTO_ACTION_CANCEL) {
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
		return;
	}
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, exchange);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
}

/* Tokens that an engine says it made for a whole answer; 0 if it does not. */
static uint32_t used_tokens(const call_t *call)
{
	json_t *body = json_loadb((const char *)call->buffer, call->buffer_used,
				  0, NULL);
	json_int_t tokens = json_integer_value(json_object_get(
		json_object_get(body, "usage"), "completion_tokens"));

	json_decref(body);
	return tokens > 0 && tokens < UINT32_MAX ? (uint32_t)tokens : 0;
}

/* A whole answer is complete: its head and body become visible together. */
static void finish_answer(exchange_t *exchange, long status)
{
	call_t *call = exchange->call;
	pimento_event_t event = { .kind = PIMENTO_EVENT_DONE };

	event.status = (uint16_t)status;
	event.tokens = call->events;
	event.last_token_at = exchange->last_token;
	if (!is_stream(exchange)) {
		event.tokens = call->model ? used_tokens(call) : 0;
		event.answer = call->buffer;
		event.answer_size = call->buffer_used;
	}
	control_event(exchange->control, call, &event);
	call_begin(call, (int)status, exchange->type);
	call_end(call);
	exchange->control->counters.answers_whole++;
}

static pimento_event_kind_t judge(const exchange_t *exchange, CURLcode code,
				  long status)
{
	if (!exchange->committed)
		return PIMENTO_EVENT_UNREACHABLE;
	if (exchange->kind == PIMENTO_ACTION_RESUME &&
	    status == HTTP_NOT_FOUND && exchange->head.whole)
		return PIMENTO_EVENT_STREAM_UNKNOWN;
	if (code != CURLE_OK)
		return PIMENTO_EVENT_CONNECTION_LOST;
	if (is_stream(exchange) && !exchange->done_seen)
		return PIMENTO_EVENT_CONNECTION_LOST;
	return PIMENTO_EVENT_DONE;
}

static void settle(exchange_t *exchange, CURLcode code)
{
	long status = status_of(exchange);
	pimento_event_t event = { .kind = judge(exchange, code, status) };

	if (exchange->kind == PIMENTO_ACTION_CANCEL)
		return;
	/* The commit said no: the control thread has gone on by itself. */
	if (code == CURLE_ABORTED_BY_CALLBACK && !exchange->committed)
		return;
	if (exchange->aborted && call_abandoned(exchange->call))
		return;
	if (event.kind == PIMENTO_EVENT_DONE) {
		finish_answer(exchange, status);
		return;
	}
	event.tokens = exchange->call->events;
	call_rewind(exchange->call);
	log_line(LOG_LEVEL_DEBUG, "traffic", "exchange ended early: %s",
		 curl_easy_strerror(code));
	control_event(exchange->control, exchange->call, &event);
}

static void free_exchange(exchange_t *exchange)
{
	if (exchange->curl)
		curl_easy_cleanup(exchange->curl);
	curl_slist_free_all(exchange->headers);
	sse_finish(&exchange->events);
	call_drop(exchange->call);
	free(exchange);
	running--;
}

static void *run_exchange(void *data)
{
	exchange_t *exchange = data;
	CURLcode code = CURLE_FAILED_INIT;

	exchange->curl = curl_easy_init();
	if (exchange->curl) {
		set_options(exchange);
		set_url(exchange);
		set_request(exchange);
		code = curl_easy_perform(exchange->curl);
		settle(exchange, code);
	} else if (exchange->kind != PIMENTO_ACTION_CANCEL) {
		pimento_event_t event = { .kind = PIMENTO_EVENT_UNREACHABLE };

		control_event(exchange->control, exchange->call, &event);
	}
	free_exchange(exchange);
	return NULL;
}

static int start_thread(exchange_t *exchange)
{
	pthread_attr_t attr;
	pthread_t thread;
	int failed;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	failed = pthread_create(&thread, &attr, run_exchange, exchange);
	pthread_attr_destroy(&attr);
	return failed ? PIMENTO_EIO : PIMENTO_OK;
}

int traffic_start(control_t *control, call_t *call,
		  const pimento_action_t *action, const char *address,
		  uint16_t port)
{
	exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		return PIMENTO_ENOMEM;
	sse_init(&exchange->events);
	exchange->control = control;
	exchange->call = call_hold(call);
	exchange->kind = action->kind;
	exchange->stream = action->stream;
	exchange->port = port;
	strncpy(exchange->address, address, sizeof(exchange->address) - 1);
	running++;
	if (start_thread(exchange)) {
		free_exchange(exchange);
		return PIMENTO_EIO;
	}
	return PIMENTO_OK;
}
