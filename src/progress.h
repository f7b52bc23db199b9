#ifndef PROGRESS_H
#define PROGRESS_H

/*
 * Detects stalled transfers by idle time and average rate, regardless of size.
 */

#include "../pimentoshelf.h"

typedef struct progress {
	pimento_usec_t started;
	pimento_usec_t last_received; /* initially, the start */
	size_t bytes;
} progress_t;

void progress_begin(progress_t *progress, pimento_usec_t now);
void progress_add(progress_t *progress, size_t bytes, pimento_usec_t now);

/*
 * True if nothing has been received for longer than idle_limit, or the average
 * rate is, after a grace period, so low that another source is likely to be
 * faster.
 */
bool progress_stalled(const progress_t *progress, pimento_usec_t idle_limit,
		      pimento_usec_t now);

#endif
