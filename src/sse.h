#ifndef SSE_H
#define SSE_H

/*
 * Splits a text/event-stream into complete events as its bytes arrive, and keeps
 * the id of the last complete event. If the stream breaks off within an event,
 * it can be resumed at another endpoint after the last complete one.
 */

#include "strbuf.h"

#define SSE_ID_MAX 64 /* bytes, with the NUL; longer ids are ignored */

typedef struct sse {
	strbuf_t partial; /* received bytes of events not yet consumed */
	uint32_t count; /* complete events received so far */
	char last_id[SSE_ID_MAX]; /* "" before the first event that has an id */
} sse_t;

void sse_init(sse_t *sse);
void sse_finish(sse_t *sse);

/*
 * Appends received bytes to partial. Returns how many bytes, from the start of
 * partial.bytes, are now complete events; the caller forwards them and then
 * calls sse_consume() with that number. Returns PIMENTO_ENOMEM, or
 * PIMENTO_ETOOBIG if an incomplete event exceeds 1 MiB.
 */
int64_t sse_feed(sse_t *sse, const char *bytes, size_t length);
void sse_consume(sse_t *sse, size_t complete);

/*
 * Discards an incomplete event before the stream is resumed at another
 * endpoint.
 */
void sse_discard_partial(sse_t *sse);

#endif
