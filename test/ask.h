#ifndef TEST_ASK_H
#define TEST_ASK_H

/* Short ways to start and to ask one stand-in under one fixed request id. */

#include "../standin/client.h"
#include "process.h"

#define ASK_ID "00000000000000000000000000000001"

/* Starts a stand-in and waits until it listens, or fails the test. */
void ask_start(process_t *process, const char *program,
	       const char *const args[]);

/* It must end by itself and without an error on SIGTERM. */
void ask_stop(process_t *process);

/* The reply is to be finished. */
client_reply_t ask(uint16_t port, const char *method, const char *path,
		   const char *body);
long ask_status(uint16_t port, const char *method, const char *path,
		const char *body);

/* A number or boolean in the JSON answer, by name and by one below it. */
long ask_number(uint16_t port, const char *path, const char *name,
		const char *inner);

#endif
