#ifndef TRAIL_H
#define TRAIL_H

/*
 * The structured log on standard output: one line of key=value pairs for each
 * decision that touches a request or changes what this host believes.
 *
 *	at=1764727805.123 host=a1 part=request event=refused id=9c41 ...
 *
 * Its volume is bounded, and it never blocks: what finds no room is left out
 * and counted, and the next line that is written says how many. Lines of
 * failures have room of their own, so that they are the last to go.
 */

#include "../pimentoshelf.h"

typedef enum trail_weight {
	TRAIL_ROUTINE, /* a request went well */
	TRAIL_FAILURE, /* a request was refused, failed or tried again */
	TRAIL_STATE /* what the host believes changed: always written */
} trail_weight_t;

/* host is borrowed. Makes standard output non-blocking. */
void trail_init(const char *host);

/* format gives the pairs behind part and event. */
void trail(trail_weight_t weight, const char *part, const char *event,
	   const char *format, ...) __attribute__((format(printf, 4, 5)));

typedef struct trail_counts {
	uint64_t written;
	uint64_t left_out;
} trail_counts_t;

trail_counts_t trail_counts(void);

#endif
