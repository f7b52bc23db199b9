#ifndef TEST_LOADER_H
#define TEST_LOADER_H

/*
 * Callers in threads, sent only to daemons whose health answers, as a
 * balancer does. A refusal that says "not run" is tried again elsewhere;
 * anything else that is no whole answer is counted against the system.
 */

#include "fleet.h"

#include <pthread.h>
#include <stdatomic.h>

#define LOADER_CALLERS 12

typedef struct loader {
	fleet_t *fleet;
	pthread_t callers[LOADER_CALLERS];
	pthread_t health;
	atomic_bool stopping;
	atomic_bool healthy[FLEET_HOSTS_MAX];
	atomic_uint turn;
	atomic_uint whole; /* answers that came as they should */
	atomic_uint refused; /* "not run", tried again */
	atomic_uint cut; /* the connection broke, or a stream lacks its end */
	atomic_uint doubtful; /* any other verdict than "not run" */
} loader_t;

/* Charges are among the requests if the fleet has services. */
void loader_start(loader_t *loader, fleet_t *fleet);
void loader_stop(loader_t *loader);

#endif
