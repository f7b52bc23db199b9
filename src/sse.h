#ifndef SSE_H
#define SSE_H

/*
 * Splits a text/event-stream into complete events as its bytes come in, and keeps
 * the id of the last complete one. A stream that breaks off in the middle of an
 * event can then go on elsewhere right behind it.
 */

#include "strbuf.h"

#define SSE_ID_MAX 64

typedef struct sse {
	strbuf_t partial; /* bytes of an event that has not ended */
	uint32_t count; /* complete events so far */
	char last_id[SSE_ID_MAX]; /* "" before the first event with an id */
} sse_t;

void sse_init(sse_t *sse);
void sse_finish(sse_t *sse);

/*
 * Takes bytes. Returns how many bytes, from the start of partial.bytes, are
 * complete events now; the caller passes them on and then calls sse_consume().
 * Returns PIMENTO_ENOMEM, or PIMENTO_ETOOBIG for an event beyond all reason.
 */
int64_t sse_feed(sse_t *sse, const char *bytes, size_t length);
void sse_consume(sse_t *sse, size_t complete);

/* Forgets a part of an event, before the stream goes on elsewhere. */
void sse_discard_partial(sse_t *sse);

#endif
