#include "crash_watch.h"

#include <stdio.h>

enum { STEP_MS = 5 };

static void restart(crash_watch_t *watch, uint32_t worker)
{
	char name[16];

	snprintf(name, sizeof(name), "w%u-%u", worker, ++watch->starts);
	edge_start_worker(watch->edge, worker, name);
	edge_list_worker(watch->edge, worker, "ready");
	watch->down_since[worker] = 0;
}

void crash_watch_step(crash_watch_t *watch, int down_ms)
{
	edge_t *edge = watch->edge;

	for (uint32_t i = 0; i < edge->worker_count; i++) {
		int64_t now = process_now_ms();

		if (!watch->down_since[i]) {
			if (process_running(&edge->workers[i]))
				continue;
			watch->down_since[i] = now;
			ck_assert_uint_lt(watch->count, CRASH_WATCH_MAX);
			watch->at_ms[watch->count++] = now;
		} else if (now - watch->down_since[i] > down_ms) {
			restart(watch, i);
		}
	}
}

void crash_watch_run(crash_watch_t *watch, int down_ms, int span_ms)
{
	int64_t until = process_now_ms() + span_ms;

	while (process_now_ms() < until) {
		crash_watch_step(watch, down_ms);
		process_sleep_ms(STEP_MS);
	}
}

uint32_t crash_watch_late(const crash_watch_t *watch, uint32_t free,
			  int span_ms)
{
	uint32_t late = 0;

	for (uint32_t i = free; i < watch->count; i++)
		late += watch->at_ms[i] > watch->at_ms[free - 1] + span_ms;
	return late;
}
