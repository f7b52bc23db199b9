#ifndef SENDBUF_H
#define SENDBUF_H

/*
 * Bytes on their way out of a non-blocking socket. What the socket takes at
 * once is never copied; the rest is kept in order.
 */

#include "../src/strbuf.h"

typedef struct sendbuf {
	strbuf_t text;
	size_t sent; /* of the text */
} sendbuf_t;

void sendbuf_init(sendbuf_t *sendbuf);
void sendbuf_finish(sendbuf_t *sendbuf);

/* Bytes that still wait. */
size_t sendbuf_waiting(const sendbuf_t *sendbuf);

/*
 * Writes bytes, behind what waits. Returns 0 (whether they left or wait), or
 * PIMENTO_EIO when the connection is broken, or PIMENTO_ENOMEM.
 */
int sendbuf_write(sendbuf_t *sendbuf, int fd, const void *bytes, size_t length);

/* Writes what waits, as far as the socket takes it. Returns as above. */
int sendbuf_flush(sendbuf_t *sendbuf, int fd);

#endif
