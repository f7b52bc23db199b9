#ifndef PROGRESS_H
#define PROGRESS_H

/*
 * Detects stalled transfers by their idle time and average rate. There is no
 * limit on the total time, so that a large transfer at a normal rate is never
 * aborted.
 */

#include "../pimentoshelf.h"

typedef struct progress {
	pimento_usec_t started;
	/*
	 * when the last byte arrived; before the first one, when the transfer
	 * began
	 */
	pimento_usec_t last_received;
	size_t bytes; /* received so far */
} progress_t;

void progress_begin(progress_t *progress, pimento_usec_t now);
/* Records that more bytes of the transfer have been received. */
void progress_add_bytes(progress_t *progress, size_t bytes, pimento_usec_t now);

/*
 * True if no byte of the transfer has been received for longer than idle_limit,
 * or if its average rate after a grace period is so low that another source is
 * likely to be faster.
 */
bool progress_stalled(const progress_t *progress, pimento_usec_t idle_limit,
		      pimento_usec_t now);

#endif
