/*
 * A stand-in for the platform's store, for tests: it lists and watches records
 * as the platform's pages describe, and fails on demand.
 *
 *	store PORT
 *
 * Beside the platform's calls, tests use
 *
 *	POST /test/put?key=K	the body becomes the record's value
 *	POST /test/remove?key=K
 *	POST /test/mode?MODE	ok; busy (503); many (429); silent (no answer);
 *				rubbish (answers that are no JSON)
 *	POST /test/forget	the history is dropped: watches get 410
 */

#include "httpd.h"
#include "sys.h"

#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { RECORDS_MAX = 256, PAGE_RECORDS = 3, WATCHES_MAX = 64 };

typedef enum store_mode {
	MODE_OK,
	MODE_BUSY,
	MODE_MANY,
	MODE_SILENT,
	MODE_RUBBISH
} store_mode_t;

typedef struct record {
	char key[128];
	char *base64; /* NULL: removed */
	json_int_t revision;
} record_t;

typedef struct watch {
	httpd_conn_t *conn;
	json_int_t after;
	char prefix[128];
	pimento_usec_t until;
} watch_t;

static record_t records[RECORDS_MAX];
static uint32_t record_count;
static json_int_t revision = 1;
static json_int_t forgotten; /* changes up to here have no history */
static store_mode_t mode;
static watch_t watches[WATCHES_MAX];
static uint32_t watch_count;

static const char *const mode_names[] = { "ok", "busy", "many", "silent",
					  "rubbish" };

static void answer_json(httpd_conn_t *conn, json_t *root)
{
	char *text;

	json_object_set_new(root, "store_revision", json_integer(revision));
	text = json_dumps(root, JSON_COMPACT);
	httpd_answer(conn, HTTP_STATUS_OK, "Content-Type: application/json\r\n",
		     text, strlen(text));
	free(text);
	json_decref(root);
}

/* The value of a name in the query, into text; "" if there is none. */
static void query(const char *target, const char *name, char *text, size_t size)
{
	const char *at = strchr(target, '?');
	size_t length = strlen(name);

	text[0] = '\0';
	while (at && *++at) {
		size_t span = strcspn(at, "&");

		if (strncmp(at, name, length) == 0 && at[length] == '=' &&
		    span - length - 1 < size) {
			memcpy(text, at + length + 1, span - length - 1);
			text[span - length - 1] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static json_t *item_of(const record_t *record)
{
	if (!record->base64)
		return json_pack("{s:s, s:I, s:b}", "key", record->key,
				 "revision", record->revision, "removed", 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:i}", "key", record->key,
			 "value", record->base64, "revision", record->revision,
			 "created", record->revision, "lease", 0);
}

static int by_key(const void *a, const void *b)
{
	return strcmp(((const record_t *)a)->key, ((const record_t *)b)->key);
}

static void answer_list(httpd_conn_t *conn)
{
	char prefix[128];
	char after[128];
	json_t *items = json_array();
	bool more = false;

	query(conn->target.bytes, "prefix", prefix, sizeof(prefix));
	query(conn->target.bytes, "after", after, sizeof(after));
	for (uint32_t i = 0; i < record_count; i++) {
		const record_t *record = &records[i];

		if (!record->base64 || strcmp(record->key, after) <= 0 ||
		    strncmp(record->key, prefix, strlen(prefix)) != 0)
			continue;
		more = json_array_size(items) == PAGE_RECORDS;
		if (more)
			break;
		json_array_append_new(items, item_of(record));
	}
	answer_json(conn, json_pack("{s:o, s:b}", "items", items, "more_pages",
				    (int)more));
}

static json_t *events_after(json_int_t after, const char *prefix)
{
	json_t *events = json_array();

	for (json_int_t at = after + 1; at <= revision; at++)
		for (uint32_t i = 0; i < record_count; i++)
			if (records[i].revision == at &&
			    strncmp(records[i].key, prefix, strlen(prefix)) ==
				    0)
				json_array_append_new(events,
						      item_of(&records[i]));
	return events;
}

/* Answers a watch that has something to tell, or has waited long enough. */
static bool answer_watch(const watch_t *watch, bool at_end)
{
	json_t *events;

	if (watch->after < forgotten) {
		httpd_answer(watch->conn, HTTP_STATUS_GONE, "", "", 0);
		return true;
	}
	events = events_after(watch->after, watch->prefix);
	if (!json_array_size(events) && !at_end) {
		json_decref(events);
		return false;
	}
	answer_json(watch->conn, json_pack("{s:o}", "events", events));
	return true;
}

static void drop_watch(uint32_t index)
{
	watches[index] = watches[--watch_count];
}

static void answer_watches(pimento_usec_t now)
{
	for (uint32_t i = watch_count; i-- > 0;) {
		watch_t watch = watches[i];

		if (mode != MODE_OK)
			continue;
		if (answer_watch(&watch, now >= watch.until)) {
			for (uint32_t j = 0; j < watch_count; j++)
				if (watches[j].conn == watch.conn)
					drop_watch(j);
		}
	}
}

static void begin_watch(httpd_conn_t *conn)
{
	char after[32];
	char wait[32];
	watch_t watch = { .conn = conn };

	query(conn->target.bytes, "after", after, sizeof(after));
	query(conn->target.bytes, "wait_ms", wait, sizeof(wait));
	query(conn->target.bytes, "prefix", watch.prefix, sizeof(watch.prefix));
	watch.after = strtoll(after, NULL, 10);
	watch.until = sys_now() + strtoll(wait, NULL, 10) * PIMENTO_MSEC;
	if (!answer_watch(&watch, false) && watch_count < WATCHES_MAX)
		watches[watch_count++] = watch;
}

/* Calls of tests. */

static record_t *record_of(const char *key)
{
	for (uint32_t i = 0; i < record_count; i++)
		if (strcmp(records[i].key, key) == 0)
			return &records[i];
	if (record_count == RECORDS_MAX)
		exit(EXIT_FAILURE);
	snprintf(records[record_count].key, sizeof(records[0].key), "%s", key);
	return &records[record_count++];
}

static void change(httpd_conn_t *conn, bool put)
{
	char key[128];
	record_t *record;

	query(conn->target.bytes, "key", key, sizeof(key));
	record = record_of(key);
	free(record->base64);
	record->base64 = NULL;
	if (put) {
		size_t size = sodium_base64_encoded_len(
			conn->body.length, sodium_base64_VARIANT_ORIGINAL);

		record->base64 = malloc(size);
		sodium_bin2base64(
			record->base64, size,
			(const unsigned char *)strbuf_str(&conn->body),
			conn->body.length, sodium_base64_VARIANT_ORIGINAL);
	}
	record->revision = ++revision;
	qsort(records, record_count, sizeof(records[0]), by_key);
	httpd_answer(conn, HTTP_STATUS_OK, "", "", 0);
	answer_watches(sys_now());
}

static void set_mode(httpd_conn_t *conn)
{
	const char *wanted = strchr(conn->target.bytes, '?');

	for (size_t i = 0; wanted && i < 5; i++)
		if (strcmp(wanted + 1, mode_names[i]) == 0)
			mode = (store_mode_t)i;
	httpd_answer(conn, HTTP_STATUS_OK, "", "", 0);
}

static void forget(httpd_conn_t *conn)
{
	forgotten = ++revision;
	httpd_answer(conn, HTTP_STATUS_OK, "", "", 0);
	answer_watches(sys_now());
}

static bool is_call(const httpd_conn_t *conn, const char *path)
{
	size_t length = strcspn(conn->target.bytes, "?");

	return length == strlen(path) &&
	       strncmp(conn->target.bytes, path, length) == 0;
}

static void answer_by_mode(httpd_conn_t *conn)
{
	switch (mode) {
	case MODE_BUSY:
		httpd_answer(conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "", "", 0);
		break;
	case MODE_MANY:
		httpd_answer(conn, HTTP_STATUS_TOO_MANY_REQUESTS, "", "", 0);
		break;
	case MODE_RUBBISH:
		httpd_answer(conn, HTTP_STATUS_OK, "", "{\"items\":", 9);
		break;
	case MODE_SILENT:
		break;
	case MODE_OK:
	default:
		if (is_call(conn, "/kv-watch"))
			begin_watch(conn);
		else
			answer_list(conn);
		break;
	}
}

static void on_request(httpd_conn_t *conn)
{
	if (is_call(conn, "/test/put"))
		change(conn, true);
	else if (is_call(conn, "/test/remove"))
		change(conn, false);
	else if (is_call(conn, "/test/mode"))
		set_mode(conn);
	else if (is_call(conn, "/test/forget"))
		forget(conn);
	else if (is_call(conn, "/kv-range") || is_call(conn, "/kv-watch"))
		answer_by_mode(conn);
	else
		httpd_answer(conn, HTTP_STATUS_NOT_FOUND, "", "", 0);
}

static void on_gone(httpd_conn_t *conn)
{
	for (uint32_t i = watch_count; i-- > 0;)
		if (watches[i].conn == conn)
			drop_watch(i);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	answer_watches(sys_now());
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
		.head_bytes = 16384,
		.body_bytes = 1024 * 1024,
		.head_timeout = 10 * PIMENTO_SEC,
		.idle_timeout = 600 * PIMENTO_SEC,
		.connections = 256,
	};
	static httpd_t server;
	struct ev_loop *loop = ev_default_loop(EVFLAG_NOENV);
	net_address_t address = { 0 };
	ev_timer tick;
	ev_signal term;

	if (argc != 2 || sodium_init() < 0)
		return 2;
	address.ip = 0x7f000001; /* 127.0.0.1 */
	address.port = (uint16_t)strtoul(argv[1], NULL, 10);
	signal(SIGPIPE, SIG_IGN);
	if (httpd_init(&server, loop, &address, &ops, &limits))
		return EXIT_FAILURE;
	ev_timer_init(&tick, on_tick, 0, 0.02);
	ev_timer_start(loop, &tick);
	ev_signal_init(&term, on_term, SIGTERM);
	ev_signal_start(loop, &term);
	printf("listening on 127.0.0.1:%u\n", address.port);
	fflush(stdout);
	ev_run(loop, 0);
	return EXIT_SUCCESS;
}
