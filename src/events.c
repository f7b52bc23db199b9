#include "events.h"

#include <string.h>

/* An engine's event is some tokens long; this is a guard, not a limit. */
#define EVENT_BYTES_MAX ((size_t)1024 * 1024)

void events_init(events_t *events)
{
	*events = (events_t){ 0 };
	text_init(&events->partial);
}

void events_finish(events_t *events)
{
	text_finish(&events->partial);
}

static void keep_id(events_t *events, const char *line, size_t length)
{
	if (length < 3 || memcmp(line, "id:", 3) != 0)
		return;
	line += 3;
	length -= 3;
	if (length && *line == ' ') {
		line++;
		length--;
	}
	if (length >= sizeof(events->last_id))
		return;
	memcpy(events->last_id, line, length);
	events->last_id[length] = '\0';
}

/* Reads one line; returns its length with its end, 0 if it is not whole. */
static size_t line_at(const char *text, size_t length, size_t *content)
{
	const char *end = memchr(text, '\n', length);

	if (!end)
		return 0;
	*content = (size_t)(end - text);
	if (*content && text[*content - 1] == '\r')
		(*content)--;
	return (size_t)(end - text) + 1;
}

/* Length of the event at the start of text; 0 if it is not whole. */
static size_t event_at(const char *text, size_t length)
{
	size_t at = 0;

	while (at < length) {
		size_t content = 0;
		size_t line = line_at(text + at, length - at, &content);

		if (!line)
			return 0;
		at += line;
		if (!content)
			return at;
	}
	return 0;
}

static void read_event(events_t *events, const char *text, size_t length)
{
	size_t at = 0;

	while (at < length) {
		size_t content = 0;
		size_t line = line_at(text + at, length - at, &content);

		keep_id(events, text + at, content);
		at += line;
	}
	events->count++;
}

int64_t events_take(events_t *events, const char *bytes, size_t length)
{
	size_t whole = 0;
	size_t event;

	if (!length)
		return 0;
	text_add_bytes(&events->partial, bytes, length);
	if (text_error(&events->partial))
		return PIMENTO_ENOMEM;
	while ((event = event_at(events->partial.bytes + whole,
				 events->partial.length - whole))) {
		read_event(events, events->partial.bytes + whole, event);
		whole += event;
	}
	if (events->partial.length - whole > EVENT_BYTES_MAX)
		return PIMENTO_ETOOBIG;
	return (int64_t)whole;
}

void events_drop(events_t *events, size_t whole)
{
	text_t *partial = &events->partial;

	if (!whole)
		return;
	memmove(partial->bytes, partial->bytes + whole,
		partial->length - whole);
	partial->length -= whole;
}

void events_restart(events_t *events)
{
	events->partial.length = 0;
}
