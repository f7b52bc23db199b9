/* Clocks, randomness and files, for POSIX systems. */

#include "sys.h"

#include <errno.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define HEAPS 2

/*
 * CLOCK_BOOTTIME never goes back and counts the time that the machine was
 * suspended, unlike CLOCK_MONOTONIC: what wakes up sees how long it was away.
 */
pimento_usec_t sys_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (pimento_usec_t)ts.tv_sec * PIMENTO_SEC + ts.tv_nsec / 1000;
}

int64_t sys_wall_msec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

uint64_t sys_random(void)
{
	uint64_t value;

	do {
		randombytes_buf(&value, sizeof(value));
	} while (!value);
	return value;
}

void sys_share_heaps(void)
{
#ifdef M_ARENA_MAX
	mallopt(M_ARENA_MAX, HEAPS);
#endif
}

char *sys_read_file(const char *path, size_t max, size_t *length)
{
	FILE *file = fopen(path, "re");
	char *text;

	if (!file)
		return NULL;
	text = malloc(max + 2);
	if (!text) {
		fclose(file);
		return NULL;
	}
	*length = fread(text, 1, max + 1, file);
	if (ferror(file) || *length > max) {
		if (!ferror(file))
			errno = EFBIG;
		free(text);
		fclose(file);
		return NULL;
	}
	text[*length] = '\0';
	fclose(file);
	return text;
}
