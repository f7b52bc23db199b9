/*
 * The body is collected as it arrives, so that the moment of the first byte is
 * known and the part of a broken answer is kept.
 */

#include "client.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <ulfius.h>

#define URL_MAX 512

typedef struct collector {
	char *bytes;
	size_t length;
	size_t capacity;
	int64_t start_us;
	int64_t first_us;
} collector_t;

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Room for more bytes and a NUL. Returns 0, or -1 without memory. */
static int reserve(collector_t *collector, size_t more)
{
	size_t capacity = collector->capacity ? collector->capacity : 4096;
	char *bytes;

	while (capacity < collector->length + more + 1)
		capacity *= 2;
	if (capacity == collector->capacity)
		return 0;
	bytes = realloc(collector->bytes, capacity);
	if (!bytes)
		return -1;
	collector->bytes = bytes;
	collector->capacity = capacity;
	return 0;
}

static size_t collect(void *contents, size_t size, size_t count, void *data)
{
	collector_t *collector = data;
	size_t length = size * count;

	if (!collector->length)
		collector->first_us = now_us() - collector->start_us;
	if (reserve(collector, length) < 0)
		return 0;
	memcpy(collector->bytes + collector->length, contents, length);
	collector->length += length;
	return length;
}

/* libcurl's own initialisation on first use is not safe between threads. */
static void initialise(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static void fill_request(struct _u_request *request, const client_call_t *call)
{
	char url[URL_MAX];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", call->port,
		 call->path);
	request->http_url = strdup(url);
	request->http_verb = strdup(call->method ? call->method
				    : call->body ? "POST"
						 : "GET");
	request->timeout = call->timeout_s ? call->timeout_s : CLIENT_TIMEOUT_S;
	for (int i = 0; i < CLIENT_HEADERS_MAX && call->headers[i].name; i++)
		u_map_put(request->map_header, call->headers[i].name,
			  call->headers[i].value);
	if (call->body)
		ulfius_set_binary_body_request(
			request, call->body,
			call->length ? call->length : strlen(call->body));
}

static void copy_header(const struct _u_response *response, const char *name,
			char value[CLIENT_VALUE_MAX])
{
	const char *text = u_map_get_case(response->map_header, name);

	snprintf(value, CLIENT_VALUE_MAX, "%s", text ? text : "");
}

static void fill_reply(client_reply_t *reply,
		       const struct _u_response *response)
{
	char revision[CLIENT_VALUE_MAX];

	/* libcurl gives ulfius no status of an answer that broke off. */
	reply->status = reply->whole ? response->status : 0;
	copy_header(response, "Pimento-Request-Id", reply->request_id);
	copy_header(response, "Pimento-Verdict", reply->verdict);
	copy_header(response, "Retry-After", reply->retry_after);
	copy_header(response, "X-Revision", revision);
	reply->revision = strtoull(revision, NULL, 10);
}

int client_call(client_reply_t *reply, const client_call_t *call)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	struct _u_request request;
	struct _u_response response;
	collector_t collector = { 0 };

	pthread_once(&once, initialise);
	memset(reply, 0, sizeof(*reply));
	ulfius_init_request(&request);
	ulfius_init_response(&response);
	fill_request(&request, call);
	collector.start_us = now_us();
	reply->whole =
		ulfius_send_http_streaming_request(&request, &response, collect,
						   &collector) == U_OK;
	reply->total_us = now_us() - collector.start_us;
	reply->first_us =
		collector.length ? collector.first_us : reply->total_us;
	if (reserve(&collector, 0) < 0)
		abort();
	collector.bytes[collector.length] = '\0';
	reply->body = collector.bytes;
	reply->length = collector.length;
	fill_reply(reply, &response);
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
	return reply->whole ? 0 : -1;
}

void client_reply_finish(client_reply_t *reply)
{
	free(reply->body);
	reply->body = NULL;
}

json_t *client_json(const client_reply_t *reply)
{
	return json_loadb(reply->body, reply->length, 0, NULL);
}

/* The text of either interface's event or whole answer; NULL if none. */
static const char *choice_text(const json_t *object)
{
	const json_t *choice =
		json_array_get(json_object_get(object, "choices"), 0);
	const json_t *part = json_object_get(choice, "delta");

	if (json_object_get(choice, "text"))
		return json_string_value(json_object_get(choice, "text"));
	if (!part)
		part = json_object_get(choice, "message");
	return json_string_value(json_object_get(part, "content"));
}

static int append_event(client_answer_t *answer, const char *data, size_t size)
{
	json_t *object = json_loadb(data, size, 0, NULL);
	const char *text = choice_text(object);
	size_t length;

	if (!text) {
		json_decref(object);
		return -1;
	}
	/* The text is shorter than the JSON around it, so it always fits. */
	length = strlen(text);
	memcpy(answer->text + answer->length, text, length + 1);
	answer->length += length;
	answer->events++;
	json_decref(object);
	return 0;
}

static void check_id(client_answer_t *answer, const char *line)
{
	uint32_t id = (uint32_t)strtoul(line, NULL, 10);

	if (!answer->events)
		answer->first_id = id;
	else if (id != answer->first_id + answer->events)
		answer->in_order = false;
}

static int take_line(client_answer_t *answer, const char *line, size_t size)
{
	static const char data[] = "data: ";
	static const char id[] = "id: ";
	static const char done[] = "data: [DONE]";

	if (size >= strlen(done) && !strncmp(line, done, strlen(done))) {
		answer->done = true;
		return 0;
	}
	if (size > strlen(id) && !strncmp(line, id, strlen(id)))
		check_id(answer, line + strlen(id));
	if (size > strlen(data) && !strncmp(line, data, strlen(data)))
		return append_event(answer, line + strlen(data),
				    size - strlen(data));
	return 0;
}

static int answer_init(client_answer_t *answer, size_t size)
{
	memset(answer, 0, sizeof(*answer));
	answer->in_order = true;
	answer->text = calloc(1, size + 1);
	return answer->text ? 0 : -1;
}

int client_stream_answer(client_answer_t *answer, const client_reply_t *reply)
{
	const char *line = reply->body;

	if (answer_init(answer, reply->length) < 0)
		return -1;
	while (*line) {
		size_t size = strcspn(line, "\n");

		if (!line[size]) /* the stream broke off in this line */
			break;
		if (take_line(answer, line, size) < 0)
			return -1;
		line += size + 1;
	}
	return 0;
}

int client_whole_answer(client_answer_t *answer, const client_reply_t *reply)
{
	if (answer_init(answer, reply->length) < 0)
		return -1;
	if (append_event(answer, reply->body, reply->length) < 0)
		return -1;
	answer->done = true;
	return 0;
}

void client_answer_finish(client_answer_t *answer)
{
	free(answer->text);
	answer->text = NULL;
}
