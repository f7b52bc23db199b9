#include "sse.h"

#include <string.h>

/*
 * Bounds the memory for an incomplete event, in bytes. An engine's events are
 * only a few tokens long and stay far below it.
 */
#define SSE_EVENT_BYTES_MAX ((size_t)1024 * 1024)

void sse_partial_init(sse_partial_t *partial)
{
	*partial = (sse_partial_t){ 0 };
	strbuf_init(&partial->text);
}

void sse_partial_finish(sse_partial_t *partial)
{
	strbuf_finish(&partial->text);
	sse_partial_init(partial);
}

void sse_init(sse_t *sse)
{
	*sse = (sse_t){ 0 };
	sse_partial_init(&sse->partial);
}

void sse_finish(sse_t *sse)
{
	sse_partial_finish(&sse->partial);
}

static void read_id(sse_partial_t *partial, const char *line, size_t length)
{
	if (length < 3 || memcmp(line, "id:", 3) != 0)
		return;
	line += 3;
	length -= 3;
	if (length && *line == ' ') {
		line++;
		length--;
	}
	if (length >= sizeof(partial->id))
		return;
	memcpy(partial->id, line, length);
	partial->id[length] = '\0';
	partial->has_id = true;
}

static void end_event(sse_partial_t *partial)
{
	if (partial->has_id) {
		memcpy(partial->last_id, partial->id, sizeof(partial->id));
		partial->has_last_id = true;
	}
	partial->has_id = false;
	partial->complete = partial->scanned;
	partial->events++;
}

/* An empty line ends an event. */
static void end_line(sse_partial_t *partial, char end)
{
	size_t length = partial->scanned - 1 - partial->line;

	if (length)
		read_id(partial, partial->text.bytes + partial->line, length);
	else
		end_event(partial);
	partial->line = partial->scanned;
	partial->after_cr = end == '\r';
}

/* The line that a CR ended, and the event that it may have ended, go on. */
static void skip_lf(sse_partial_t *partial)
{
	if (partial->complete == partial->scanned)
		partial->complete++;
	partial->scanned++;
	partial->line = partial->scanned;
	partial->after_cr = false;
}

static void scan(sse_partial_t *partial)
{
	while (partial->scanned < partial->text.length) {
		char byte = partial->text.bytes[partial->scanned];

		if (byte == '\n' && partial->after_cr) {
			skip_lf(partial);
			continue;
		}
		partial->after_cr = false;
		partial->scanned++;
		if (byte == '\n' || byte == '\r')
			end_line(partial, byte);
	}
}

int64_t sse_partial_feed(sse_partial_t *partial, const char *bytes,
			 size_t length)
{
	strbuf_add(&partial->text, bytes, length);
	if (strbuf_error(&partial->text))
		return PIMENTO_ENOMEM;
	scan(partial);
	if (partial->text.length - partial->complete > SSE_EVENT_BYTES_MAX)
		return PIMENTO_ETOOBIG;
	return (int64_t)partial->complete;
}

int64_t sse_feed(sse_t *sse, const char *bytes, size_t length)
{
	sse_partial_t *partial = &sse->partial;
	int64_t complete = sse_partial_feed(partial, bytes, length);

	if (partial->has_last_id)
		memcpy(sse->last_id, partial->last_id, sizeof(sse->last_id));
	partial->has_last_id = false;
	sse->count += partial->events;
	partial->events = 0;
	return complete;
}

void sse_consume(sse_t *sse, size_t complete)
{
	sse_partial_t *partial = &sse->partial;

	if (!complete)
		return;
	memmove(partial->text.bytes, partial->text.bytes + complete,
		partial->text.length - complete);
	partial->text.length -= complete;
	partial->complete -= complete;
	partial->line -= complete;
	partial->scanned -= complete;
}

bool sse_is_within_event(const sse_t *sse)
{
	return sse->partial.text.length > 0;
}

void sse_discard_partial(sse_t *sse)
{
	strbuf_t text = sse->partial.text;

	text.length = 0;
	sse->partial = (sse_partial_t){ .text = text };
}
