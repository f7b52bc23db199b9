#ifndef SIM_H
#define SIM_H

/*
 * Virtual time: events run in the order of their times, and in the order in
 * which they were set where times are equal, so that a run repeats exactly.
 */

#include "../pimentoshelf.h"

typedef void (*sim_fn_t)(void *context, void *item, uint64_t argument);

typedef struct sim_event {
	pimento_usec_t time;
	uint64_t sequence;
	sim_fn_t fn;
	void *context;
	void *item;
	uint64_t argument;
} sim_event_t;

typedef struct sim {
	pimento_usec_t now;
	uint64_t sequence;
	sim_event_t *events;
	size_t count;
	size_t size;
} sim_t;

void sim_init(sim_t *sim);
void sim_finish(sim_t *sim);
void sim_at(sim_t *sim, pimento_usec_t time, sim_fn_t fn, void *context,
	    void *item, uint64_t argument);
/* Runs every event up to and including end. */
void sim_run(sim_t *sim, pimento_usec_t end);

#endif
