#ifndef OUTBOX_H
#define OUTBOX_H

/*
 * Bytes on their way out of a non-blocking socket. What the socket takes at
 * once is never copied; the rest is kept in order.
 */

#include "../src/text.h"

typedef struct outbox {
	text_t text;
	size_t sent; /* of the text */
} outbox_t;

void outbox_init(outbox_t *outbox);
void outbox_finish(outbox_t *outbox);

/* Bytes that still wait. */
size_t outbox_waiting(const outbox_t *outbox);

/*
 * Writes bytes, behind what waits. Returns 0 (whether they left or wait), or
 * PIMENTO_EIO when the connection is broken, or PIMENTO_ENOMEM.
 */
int outbox_write(outbox_t *outbox, int fd, const void *bytes, size_t length);

/* Writes what waits, as far as the socket takes it. Returns as above. */
int outbox_flush(outbox_t *outbox, int fd);

#endif
