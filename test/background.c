/* A thread and what it brought back. */

#include "background.h"

#include <check.h>

static void *run(void *data)
{
	background_t *background = data;

	client_call(&background->reply, &background->call);
	return NULL;
}

void background_start(background_t *background, const client_call_t *call)
{
	background->call = *call;
	ck_assert_int_eq(
		pthread_create(&background->thread, NULL, run, background), 0);
}

client_reply_t *background_wait(background_t *background)
{
	pthread_join(background->thread, NULL);
	return &background->reply;
}
