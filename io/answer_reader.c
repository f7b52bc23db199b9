/*
 * A stream is read line by line; only lines that begin with "data:" count.
 * A stream that ends without its end mark was cut, whatever was read of it.
 */

#include "answer_reader.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define END_MARK "[DONE]"
#define DATA_PREFIX "data:"

void answer_reader_init(answer_reader_t *reader, bool stream,
			answer_sink_t *sink, void *context)
{
	memset(reader, 0, sizeof(*reader));
	reader->stream = stream;
	reader->sink = sink;
	reader->context = context;
	strbuf_init(&reader->pending);
}

void answer_reader_finish(answer_reader_t *reader)
{
	strbuf_finish(&reader->pending);
}

/* Returns the text of a completion or of a piece of one; NULL if it is none. */
static const char *completion_text(const json_t *body)
{
	const json_t *choice =
		json_array_get(json_object_get(body, "choices"), 0);
	const json_t *text = json_object_get(choice, "text");

	if (!text)
		text = json_object_get(json_object_get(choice, "delta"),
				       "content");
	if (!text)
		text = json_object_get(json_object_get(choice, "message"),
				       "content");
	return json_string_value(text);
}

/* Keeps what an error says; returns false if the body is no error. */
static bool keep_error(answer_reader_t *reader, const json_t *body)
{
	const json_t *error = json_object_get(body, "error");
	const char *verdict =
		json_string_value(json_object_get(error, "verdict"));
	const char *message =
		json_string_value(json_object_get(error, "message"));

	if (!json_is_object(error))
		return false;
	snprintf(reader->verdict, sizeof(reader->verdict), "%s",
		 verdict ? verdict : "");
	snprintf(reader->message, sizeof(reader->message), "%s",
		 message ? message : "");
	return true;
}

static void read_data(answer_reader_t *reader, const char *data)
{
	json_t *body;
	const char *text;

	data += strspn(data, " ");
	if (!strcmp(data, END_MARK)) {
		reader->done = true;
		return;
	}
	body = json_loads(data, 0, NULL);
	text = keep_error(reader, body) ? NULL : completion_text(body);
	if (text)
		reader->sink(reader->context, text, strlen(text));
	json_decref(body);
}

static void read_line(answer_reader_t *reader)
{
	char *line = reader->pending.bytes;
	size_t length = reader->pending.length;

	if (length && line[length - 1] == '\r')
		line[length - 1] = '\0';
	if (length && !strncmp(line, DATA_PREFIX, strlen(DATA_PREFIX)))
		read_data(reader, line + strlen(DATA_PREFIX));
	reader->pending.length = 0;
}

static bool keep(answer_reader_t *reader, const char *bytes, size_t length)
{
	size_t limit = reader->stream ? ANSWER_LINE_MAX : ANSWER_BYTES_MAX;

	if (reader->pending.length + length > limit)
		reader->failed = true;
	else
		strbuf_add(&reader->pending, bytes, length);
	if (strbuf_error(&reader->pending))
		reader->failed = true;
	return !reader->failed;
}

/* No event begins with a brace, but every refusal does. */
static void recognise(answer_reader_t *reader, const char *bytes, size_t length)
{
	if (reader->begun || !length)
		return;
	reader->begun = true;
	if (bytes[0] == '{')
		reader->stream = false;
}

bool answer_reader_feed(answer_reader_t *reader, const char *bytes,
			size_t length)
{
	recognise(reader, bytes, length);
	if (!reader->stream)
		return keep(reader, bytes, length);
	while (length && !reader->failed) {
		const char *end = memchr(bytes, '\n', length);
		size_t part = end ? (size_t)(end - bytes) : length;

		if (!keep(reader, bytes, part) || !end)
			break;
		read_line(reader);
		bytes += part + 1;
		length -= part + 1;
	}
	return !reader->failed;
}

void answer_reader_end(answer_reader_t *reader)
{
	const strbuf_t *whole = &reader->pending;
	json_t *body;
	const char *text;

	if (reader->stream || reader->failed)
		return;
	body = json_loadb(strbuf_str(whole), whole->length, 0, NULL);
	reader->done = true;
	if (!keep_error(reader, body)) {
		text = completion_text(body);
		if (text)
			reader->sink(reader->context, text, strlen(text));
		else
			reader->sink(reader->context, strbuf_str(whole),
				     whole->length);
	}
	json_decref(body);
}
