#ifndef TEST_BACKGROUND_H
#define TEST_BACKGROUND_H

/* A caller in a thread of its own, so that a test can break things meanwhile. */

#include "../standin/client.h"

#include <pthread.h>

typedef struct background {
	pthread_t thread;
	client_call_t call;
	client_reply_t reply;
} background_t;

/* The strings of the call are borrowed until background_wait(). */
void background_start(background_t *background, const client_call_t *call);

/* Waits for the reply, which is to be finished. */
client_reply_t *background_wait(background_t *background);

#endif
