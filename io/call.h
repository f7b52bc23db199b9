#ifndef CALL_H
#define CALL_H

/*
 * One caller's request on its way through this process: shared by the thread
 * that serves the caller, the traffic thread that talks to the endpoint, and
 * the control thread that decides. Reference-counted; the body and the answer
 * live here and nowhere else.
 */

#include "../pimentoshelf.h"

#include <pthread.h>
#include <stdatomic.h>
#include <sys/types.h>

/* Bytes of an answer held for a caller who reads slowly. */
#define CALL_STREAM_MAX ((size_t)256 * 1024)
/* A whole (not streamed) answer may be this large. */
#define CALL_WHOLE_MAX ((size_t)16 * 1024 * 1024)

/* Where the caller's thread is in its wait. */
typedef enum call_state {
	CALL_PENDING = 0, /* nothing known yet */
	CALL_ANSWERING, /* status and type are known; bytes may follow */
	CALL_ENDED, /* the whole answer is in the buffer */
	CALL_REFUSED /* refused; also after the beginning of a stream */
} call_state_t;

typedef struct call {
	atomic_uint references;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	/* fixed before submit */
	char method[8];
	char *path;
	char *content_type;
	char *key; /* idempotency key as the caller gave it, or NULL */
	uint8_t *body;
	size_t body_size;
	bool model;
	bool stream; /* answer as server-sent events */
	char tier[PIMENTO_NAME_MAX];
	pimento_usec_t began;
	pimento_usec_t patience;
	pimento_handle_t handle;
	pimento_reqid_t id;
	/* under lock */
	call_state_t state;
	int status;
	char answer_type[64];
	uint8_t *buffer;
	size_t buffer_used;
	size_t buffer_size;
	bool caller_left;
	bool cancelled;
	pimento_verdict_t verdict;
	int error;
	pimento_usec_t retry_after;
	uint32_t next_attempt;
	/* of the traffic thread in charge only */
	uint32_t events; /* whole server-sent events handed on */
} call_t;

/* Returns a call with one reference, or NULL without memory. */
call_t *call_new(void);
call_t *call_hold(call_t *call);
void call_drop(call_t *call);

/* For the traffic thread: the answer's status and type are known. */
void call_begin(call_t *call, int status, const char *type);

/*
 * Adds bytes of the answer; waits while a streaming caller's buffer is full.
 * Returns false when the caller left or the call was cancelled, or a whole
 * answer is too large.
 */
bool call_write(call_t *call, const void *bytes, size_t length);

/* Forgets a partial whole answer before it is fetched again. */
void call_rewind(call_t *call);

void call_end(call_t *call);

/* For the control thread: the final refusal. */
void call_refuse(call_t *call, const pimento_action_t *action);

/* For the caller's thread: waits until the answer begins or is refused. */
call_state_t call_wait(call_t *call);

/* Reads up to max bytes of a stream; 0 at its end, -1 if it was refused. */
ssize_t call_read(call_t *call, char *bytes, size_t max);

void call_leave(call_t *call);
bool call_abandoned(call_t *call);

#endif
