#ifndef CLIENT_TIMEOUT_H
#define CLIENT_TIMEOUT_H

/*
 * Learns from the times left that callers of a route state in their requests
 * how long their time-out is. A caller that was rejected retries with less time
 * than it had at first; the difference is what it has spent on earlier
 * attempts.
 */

#include "../pimentoshelf.h"

typedef struct client_timeout {
	/*
	 * longest time left that any request of the route has stated; 0: none
	 * stated yet
	 */
	pimento_usec_t longest_seen;
} client_timeout_t;

/*
 * Records the time left that a request states (microseconds; 0 if it states
 * none). Returns the time that its caller has certainly spent on earlier
 * attempts, or 0.
 */
pimento_usec_t client_timeout_elapsed(client_timeout_t *client_timeout,
				      pimento_usec_t time_left);

#endif
