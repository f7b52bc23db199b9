#ifndef PLATFORM_H
#define PLATFORM_H

/*
 * Readers of the platform: one thread for the configuration, one for the host
 * list, one for the load reports of the endpoints that this host owns. Whether
 * a thread watches or reads now and then is the host's choice, so that the
 * platform's reads do not grow with the fleet.
 */

#include "control.h"

typedef struct platform_thread {
	pthread_t thread;
	bool started;
	atomic_bool ended; /* at its end: joining does not wait */
} platform_thread_t;

typedef struct platform_reader {
	control_t *control;
	bool hosts; /* the host list, else the configuration */
	uint64_t passed; /* revision that was not taken; 0 none */
	pimento_usec_t backoff;
	bool failing;
	platform_thread_t thread;
} platform_reader_t;

typedef struct platform {
	control_t *control;
	platform_reader_t readers[2];
	platform_thread_t reports;
} platform_t;

int platform_init(platform_t *platform, control_t *control);

/*
 * Waits a moment for the threads; control->stopped must be set. Returns false
 * if one still waits for the platform's answer to a watch. Such a thread holds
 * nothing, but what it uses may not be freed: the process must simply end.
 */
bool platform_finish(platform_t *platform);

#endif
