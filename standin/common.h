#ifndef STANDIN_COMMON_H
#define STANDIN_COMMON_H

/*
 * What the three stand-ins share: an HTTP server on loopback that says on
 * standard output where it listens, JSON in and out, and a control by which a
 * test makes the server close a caller's connection at a chosen moment.
 */

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

#define STANDIN_STREAM_BLOCK 16384

typedef enum close_when {
	CLOSE_NEVER = 0,
	CLOSE_BEFORE, /* before the request is read to its end */
	CLOSE_DURING, /* in the middle of the answer */
	CLOSE_AFTER /* after the last byte, before the proper end */
} close_when_t;

typedef int (*standin_callback_t)(const struct _u_request *request,
				  struct _u_response *response, void *data);

typedef struct standin {
	struct _u_instance instance;
	int listen_fd;
	uint16_t port;
	const char *name;
	/* Whether a URL is a call proper, to which the close control applies */
	bool (*is_call)(const char *url);
	pthread_mutex_t mutex; /* guards what follows */
	close_when_t when;
	int close_count;
} standin_t;

/* Binds to 127.0.0.1; port 0 takes any. Returns 0, or -1. */
int standin_init(standin_t *standin, const char *name, uint16_t port,
		 bool (*is_call)(const char *url));

/* Adds a route, before standin_run(). path may end in an asterisk. */
void standin_route(standin_t *standin, const char *method, const char *path,
		   standin_callback_t callback, void *data);

/*
 * Serves, prints "listening on 127.0.0.1:PORT", and returns when SIGTERM or
 * SIGINT arrives. The caller then wakes its waiting callbacks and calls
 * standin_finish(). Threads started before must come after standin_signals().
 */
int standin_run(standin_t *standin);
void standin_finish(standin_t *standin);

/* Blocks the signals that standin_run() waits for, in all later threads. */
void standin_signals(void);

/* Uses up one count of an armed close if it is of that moment. */
bool standin_close_take(standin_t *standin, close_when_t when);

/* Whether this thread's connection was closed before its request was read. */
bool standin_closed_before(void);

/* Answers a call with the object, or with a part of it if a close is armed. */
int standin_answer(standin_t *standin, struct _u_response *response,
		   json_t *object);

/* Answers with the object and releases it. */
int standin_json(struct _u_response *response, unsigned int status,
		 json_t *object);
int standin_error(struct _u_response *response, unsigned int status,
		  const char *message);

/* The body as a JSON object, or NULL. */
json_t *standin_body(const struct _u_request *request);

/* A number of the query string, or otherwise. */
int64_t standin_query(const struct _u_request *request, const char *name,
		      int64_t otherwise);

/* Parses an option's number or ends the program with status 2. */
int64_t standin_number(const char *option, const char *text, int64_t least,
		       int64_t most);

int64_t standin_now_ms(void);

/* A random number above zero, for an incarnation. */
int64_t standin_draw(void);

#endif
