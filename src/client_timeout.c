/*
 * The time-outs of a route's callers differ a little. Were the whole difference
 * from the longest counted as time spent, most requests would be overdue on
 * arrival and be served last although they have not waited at all. So only a
 * clear difference counts.
 */

#include "client_timeout.h"

/*
 * The time-outs of one route's callers differ by about a sixth. A time left
 * below this fraction of the longest one shows that the caller has spent some
 * on earlier attempts.
 */
#define UNSPENT_RATIO_MIN 0.8

pimento_usec_t client_timeout_elapsed(client_timeout_t *client_timeout,
				      pimento_usec_t time_left)
{
	pimento_usec_t unspent_min;

	if (!time_left)
		return 0;
	if (client_timeout->longest_seen < time_left)
		client_timeout->longest_seen = time_left;
	unspent_min = (pimento_usec_t)((double)client_timeout->longest_seen *
				       UNSPENT_RATIO_MIN);
	return unspent_min > time_left ? unspent_min - time_left : 0;
}
