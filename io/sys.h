#ifndef SYS_H
#define SYS_H

/*
 * What differs between systems, in one place: clocks and randomness.
 */

#include "../pimentoshelf.h"

/* Microseconds of a clock that goes on while the process is stopped. */
pimento_usec_t sys_now(void);

/* Milliseconds since 1970, of the wall clock; only for the age of keys. */
int64_t sys_wall_msec(void);

/* Never zero; for incarnations, seeds and nonces. */
uint64_t sys_random(void);

/*
 * Keeps the C library from giving each of many short-lived threads a heap of
 * its own; freed memory would stay behind in each of them.
 */
void sys_share_heaps(void);

/*
 * Reads a whole file, NUL-terminated, of at most max bytes. The caller frees
 * it. Returns NULL with errno set (EFBIG when it is larger).
 */
char *sys_read_file(const char *path, size_t max, size_t *length);

#endif
