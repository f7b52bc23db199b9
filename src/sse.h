#ifndef SSE_H
#define SSE_H

/*
 * Splits a text/event-stream into complete events as its bytes arrive, and keeps
 * the id of the last complete event. If the stream breaks off within an event,
 * it can be resumed at another endpoint after the last complete one. Each byte
 * is looked at once, however the stream is cut.
 */

#include "strbuf.h"

#define SSE_ID_MAX 64 /* bytes, with the NUL; longer ids are ignored */

/* Received bytes that have not been consumed, and how far they were read. */
typedef struct sse_partial {
	strbuf_t text;
	size_t complete; /* its first bytes, which may be passed on */
	size_t line; /* start of the line that is being received */
	size_t scanned; /* bytes in which the end of that line was sought */
	bool after_cr; /* an LF that follows belongs to the line before */
	bool has_id;
	char id[SSE_ID_MAX]; /* of the incomplete event */
	/* of complete events that sse_feed() has not seen yet */
	uint32_t events;
	bool has_last_id;
	char last_id[SSE_ID_MAX];
} sse_partial_t;

typedef struct sse {
	sse_partial_t partial;
	uint32_t count; /* complete events received so far */
	char last_id[SSE_ID_MAX]; /* "" before the first event that has an id */
} sse_t;

void sse_init(sse_t *sse);
void sse_finish(sse_t *sse);

void sse_partial_init(sse_partial_t *partial);
void sse_partial_finish(sse_partial_t *partial);
/* As sse_feed(), for a partial that is set aside: counts no events yet. */
int64_t sse_partial_feed(sse_partial_t *partial, const char *bytes,
			 size_t length);

/*
 * Appends received bytes, if any, to partial. Returns how many bytes, from the
 * start of partial.text.bytes, are now complete events; the caller forwards them
 * and then calls sse_consume() with that number. Returns PIMENTO_ENOMEM, or
 * PIMENTO_ETOOBIG if an incomplete event exceeds 1 MiB.
 */
int64_t sse_feed(sse_t *sse, const char *bytes, size_t length);
void sse_consume(sse_t *sse, size_t complete);

/* True if a part of an event has been received. */
bool sse_is_within_event(const sse_t *sse);

/*
 * Discards an incomplete event before the stream is resumed at another
 * endpoint.
 */
void sse_discard_partial(sse_t *sse);

#endif
