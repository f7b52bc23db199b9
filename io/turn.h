#ifndef TURN_H
#define TURN_H

/*
 * One connection's turn on the event loop, from a read of its socket until
 * everything that came of it is done. Nobody else is served meanwhile.
 */

#include "../pimentoshelf.h"

#include <sys/types.h>

/* A turn of this length is logged, with the connection that took it. */
#define TURN_LOGGED (20 * PIMENTO_MSEC)

typedef struct turn {
	const char *who; /* on the other side, in one word */
	int fd; /* -1: closed in this turn */
	ssize_t bytes; /* that were read */
	pimento_usec_t begun;
} turn_t;

turn_t turn_begin(const char *who, int fd, ssize_t bytes);
void turn_end(const turn_t *turn);

/* The longest turn of this process so far. */
pimento_usec_t turn_longest(void);

#endif
