#ifndef TEST_CRASH_WATCH_H
#define TEST_CRASH_WATCH_H

/* Workers that crash: when they do, and another process in their place. */

#include "edge.h"

#define CRASH_WATCH_MAX 1000

typedef struct crash_watch {
	edge_t *edge;
	uint32_t count;
	int64_t at_ms[CRASH_WATCH_MAX];
	int64_t down_since[EDGE_WORKERS_MAX]; /* 0: it runs */
	uint32_t starts;
} crash_watch_t;

/* Counts workers that crashed; starts them again down_ms later. */
void crash_watch_step(crash_watch_t *watch, int down_ms);
/* The same for a span. */
void crash_watch_run(crash_watch_t *watch, int down_ms, int span_ms);

/* Crashes later than span_ms after the first `free` ones. */
uint32_t crash_watch_late(const crash_watch_t *watch, uint32_t free,
			  int span_ms);

#endif
