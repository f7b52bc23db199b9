#ifndef WINDOW_H
#define WINDOW_H

/*
 * TCP_USER_TIMEOUT counts from the moment a peer closes its window, whether it
 * acknowledges probes or not. Here it is lifted for such connections; they end
 * once their peer has acknowledged nothing for a few seconds. So a reader may
 * pause for any time, and one that is gone is noticed. Streams of net.h only.
 */

#include "../pimentoshelf.h"

/* A new connection has this descriptor; forgets what was known of it. */
void window_begin(int fd);
/* Bytes were sent: the connection is watched until all are acknowledged. */
void window_sent(int fd);
/* Call at least every WINDOW_PERIOD. */
void window_tick(pimento_usec_t now);

#define WINDOW_PERIOD (100 * PIMENTO_MSEC)
/* For TCP_USER_TIMEOUT while the window is open, in milliseconds. */
#define WINDOW_OPEN_TIMEOUT_MS 3000

#endif
