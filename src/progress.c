#include "progress.h"

/*
 * A transfer may take START_GRACE plus the time that its bytes received so far
 * need at BYTES_PER_SECOND_MIN.
 */
#define BYTES_PER_SECOND_MIN ((pimento_usec_t)65536)
#define START_GRACE (2 * PIMENTO_SEC)

void progress_begin(progress_t *progress, pimento_usec_t now)
{
	*progress = (progress_t){ .started = now, .last_received = now };
}

void progress_add_bytes(progress_t *progress, size_t bytes, pimento_usec_t now)
{
	progress->bytes += bytes;
	progress->last_received = now;
}

bool progress_stalled(const progress_t *progress, pimento_usec_t idle_limit,
		      pimento_usec_t now)
{
	pimento_usec_t time_limit =
		START_GRACE + (pimento_usec_t)progress->bytes * PIMENTO_SEC /
				      BYTES_PER_SECOND_MIN;

	return now - progress->last_received > idle_limit ||
	       now - progress->started > time_limit;
}
