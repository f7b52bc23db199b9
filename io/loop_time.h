#ifndef LOOP_TIME_H
#define LOOP_TIME_H

/*
 * Measures how long one connection holds the event loop: from a read of its
 * socket until everything that came of it is done. Nobody else is served
 * meanwhile.
 */

#include "../pimentoshelf.h"

#include <sys/types.h>

/* A span of this length is logged, with the connection. */
#define LOOP_TIME_LOGGED (20 * PIMENTO_MSEC)

typedef struct loop_time {
	const char *who; /* on the other side, in one word */
	int fd; /* -1: closed meanwhile */
	ssize_t bytes; /* that were read */
	pimento_usec_t begun;
} loop_time_t;

loop_time_t loop_time_begin(const char *who, int fd, ssize_t bytes);
void loop_time_end(const loop_time_t *time);

/* The longest span since this process started. */
pimento_usec_t loop_time_longest(void);

#endif
