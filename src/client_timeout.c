/*
 * Callers of a route start with times that differ a little. Were the whole
 * difference from the longest taken for time spent, most requests would count
 * as late on arrival, and be served last, though they have not waited at all.
 * So only a clear lack counts.
 */

#include "client_timeout.h"

/*
 * Callers of one route differ in their patience by about a sixth. Less than
 * this part of the most that was seen shows that some was spent before.
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
