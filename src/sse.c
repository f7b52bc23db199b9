#include "sse.h"

#include <string.h>

/*
 * Bounds the memory for an incomplete event, in bytes. An engine's events are
 * only a few tokens long and stay far below it.
 */
#define SSE_EVENT_BYTES_MAX ((size_t)1024 * 1024)

void sse_init(sse_t *sse)
{
	*sse = (sse_t){ 0 };
	strbuf_init(&sse->partial);
}

void sse_finish(sse_t *sse)
{
	strbuf_finish(&sse->partial);
}

static void parse_id(sse_t *sse, const char *line, size_t length)
{
	if (length < 3 || memcmp(line, "id:", 3) != 0)
		return;
	line += 3;
	length -= 3;
	if (length && *line == ' ') {
		line++;
		length--;
	}
	if (length >= sizeof(sse->last_id))
		return;
	memcpy(sse->last_id, line, length);
	sse->last_id[length] = '\0';
}

/*
 * Returns the length of the first line of text, line end included, or 0 if it is
 * incomplete. Sets content to its length without the line end.
 */
static size_t line_length(const char *text, size_t length, size_t *content)
{
	const char *end = memchr(text, '\n', length);

	if (!end)
		return 0;
	*content = (size_t)(end - text);
	if (*content && text[*content - 1] == '\r')
		(*content)--;
	return (size_t)(end - text) + 1;
}

/* Returns the length of the event at the start of text; 0 if incomplete. */
static size_t event_length(const char *text, size_t length)
{
	size_t at = 0;

	while (at < length) {
		size_t content = 0;
		size_t line = line_length(text + at, length - at, &content);

		if (!line)
			return 0;
		at += line;
		if (!content)
			return at;
	}
	return 0;
}

static void parse_event(sse_t *sse, const char *text, size_t length)
{
	size_t at = 0;

	while (at < length) {
		size_t content = 0;
		size_t line = line_length(text + at, length - at, &content);

		parse_id(sse, text + at, content);
		at += line;
	}
	sse->count++;
}

int64_t sse_feed(sse_t *sse, const char *bytes, size_t length)
{
	size_t complete = 0;
	size_t event;

	if (!length)
		return 0;
	strbuf_add(&sse->partial, bytes, length);
	if (strbuf_error(&sse->partial))
		return PIMENTO_ENOMEM;
	while ((event = event_length(sse->partial.bytes + complete,
				     sse->partial.length - complete))) {
		parse_event(sse, sse->partial.bytes + complete, event);
		complete += event;
	}
	if (sse->partial.length - complete > SSE_EVENT_BYTES_MAX)
		return PIMENTO_ETOOBIG;
	return (int64_t)complete;
}

void sse_consume(sse_t *sse, size_t complete)
{
	strbuf_t *partial = &sse->partial;

	if (!complete)
		return;
	memmove(partial->bytes, partial->bytes + complete,
		partial->length - complete);
	partial->length -= complete;
}

void sse_discard_partial(sse_t *sse)
{
	sse->partial.length = 0;
}
