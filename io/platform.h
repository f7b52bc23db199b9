#ifndef PLATFORM_H
#define PLATFORM_H

/*
 * Readers of the platform: one thread for the configuration, one for the host
 * list, one for the load reports of the endpoints that this host owns. Whether
 * a thread watches or reads now and then is the host's choice, so that the
 * platform's reads do not grow with the fleet.
 */

#include "control.h"

typedef struct platform_reader {
	control_t *control;
	bool hosts; /* the host list, else the configuration */
	uint64_t revision; /* newest that the platform gave */
	pthread_t thread;
	bool started;
} platform_reader_t;

typedef struct platform {
	control_t *control;
	platform_reader_t readers[2];
	pthread_t reports;
	bool reports_started;
} platform_t;

int platform_init(platform_t *platform, control_t *control);

/* Waits for the threads; control->stopped must be set. */
void platform_finish(platform_t *platform);

#endif
