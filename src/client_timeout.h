#ifndef CLIENT_TIMEOUT_H
#define CLIENT_TIMEOUT_H

/*
 * How long callers of one route are willing to wait, learnt from what they say.
 * A caller that was turned away comes back with less time than it had at first;
 * the difference is what it has spent already.
 */

#include "../pimentoshelf.h"

typedef struct client_timeout {
	pimento_usec_t
		longest_seen; /* that a caller has time_left; 0 none yet */
} client_timeout_t;

/*
 * Learns from the time that a request brings (microseconds; 0 if it states
 * none), and returns what its caller has surely spent before, 0 if nothing.
 */
pimento_usec_t client_timeout_elapsed(client_timeout_t *client_timeout,
				      pimento_usec_t time_left);

#endif
