/*
 * A binary heap of events by time and sequence.
 */

#include "sim.h"

#include <stdlib.h>
#include <string.h>

#define EVENTS_FIRST 1024

void sim_init(sim_t *sim)
{
	memset(sim, 0, sizeof(*sim));
}

void sim_finish(sim_t *sim)
{
	free(sim->events);
	memset(sim, 0, sizeof(*sim));
}

static bool before(const sim_event_t *a, const sim_event_t *b)
{
	if (a->time != b->time)
		return a->time < b->time;
	return a->sequence < b->sequence;
}

static void grow(sim_t *sim)
{
	size_t size = sim->size ? sim->size * 2 : EVENTS_FIRST;
	sim_event_t *events = realloc(sim->events, size * sizeof(*events));

	if (!events)
		abort();
	sim->events = events;
	sim->size = size;
}

void sim_at(sim_t *sim, pimento_usec_t time, sim_fn_t fn, void *context,
	    void *item, uint64_t argument)
{
	sim_event_t event = {
		time, sim->sequence++, fn, context, item, argument
	};
	size_t i;

	if (sim->count == sim->size)
		grow(sim);
	i = sim->count++;
	while (i && before(&event, &sim->events[(i - 1) / 2])) {
		sim->events[i] = sim->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->events[i] = event;
}

static sim_event_t take(sim_t *sim)
{
	sim_event_t first = sim->events[0];
	sim_event_t last = sim->events[--sim->count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= sim->count)
			break;
		if (child + 1 < sim->count &&
		    before(&sim->events[child + 1], &sim->events[child]))
			child++;
		if (!before(&sim->events[child], &last))
			break;
		sim->events[i] = sim->events[child];
		i = child;
	}
	sim->events[i] = last;
	return first;
}

void sim_run(sim_t *sim, pimento_usec_t end)
{
	while (sim->count && sim->events[0].time <= end) {
		sim_event_t event = take(sim);

		sim->now = event.time;
		event.fn(event.context, event.item, event.argument);
	}
	sim->now = end;
}
