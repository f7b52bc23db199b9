/*
 * A bounded buffer between two threads, with the answer's head and its end.
 * A streamed answer is handed on as it comes; a whole one is kept until it is
 * complete, so that the caller never sees half of one.
 */

#include "call.h"

#include <stdlib.h>
#include <string.h>

#define BUFFER_MIN 4096

call_t *call_new(void)
{
	call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	atomic_init(&call->references, 1);
	pthread_mutex_init(&call->lock, NULL);
	pthread_cond_init(&call->changed, NULL);
	return call;
}

call_t *call_hold(call_t *call)
{
	atomic_fetch_add(&call->references, 1);
	return call;
}

void call_drop(call_t *call)
{
	if (!call || atomic_fetch_sub(&call->references, 1) != 1)
		return;
	pthread_mutex_destroy(&call->lock);
	pthread_cond_destroy(&call->changed);
	free(call->path);
	free(call->content_type);
	free(call->key);
	free(call->body);
	free(call->buffer);
	free(call);
}

void call_begin(call_t *call, int status, const char *type)
{
	pthread_mutex_lock(&call->lock);
	if (call->state == CALL_PENDING) {
		call->status = status;
		strncpy(call->answer_type, type ? type : "",
			sizeof(call->answer_type) - 1);
		call->state = CALL_ANSWERING;
		pthread_cond_broadcast(&call->changed);
	}
	pthread_mutex_unlock(&call->lock);
}

static bool grow(call_t *call, size_t need)
{
	size_t size = call->buffer_size ? call->buffer_size : BUFFER_MIN;
	uint8_t *buffer;

	while (size < need)
		size *= 2;
	if (size == call->buffer_size)
		return true;
	buffer = realloc(call->buffer, size);
	if (!buffer)
		return false;
	call->buffer = buffer;
	call->buffer_size = size;
	return true;
}

static bool wait_for_room(call_t *call, size_t length)
{
	if (!call->stream)
		return call->buffer_used + length <= CALL_WHOLE_MAX;
	while (call->buffer_used > CALL_STREAM_MAX && !call->caller_left &&
	       !call->cancelled)
		pthread_cond_wait(&call->changed, &call->lock);
	return true;
}

bool call_write(call_t *call, const void *bytes, size_t length)
{
	bool written = false;

	pthread_mutex_lock(&call->lock);
	if (wait_for_room(call, length) && !call->cancelled) {
		/* A keyed stream is drained also when its caller left. */
		if (call->caller_left && call->stream) {
			written = call->key != NULL;
		} else if (grow(call, call->buffer_used + length)) {
			memcpy(call->buffer + call->buffer_used, bytes, length);
			call->buffer_used += length;
			written = true;
			pthread_cond_broadcast(&call->changed);
		}
	}
	pthread_mutex_unlock(&call->lock);
	return written;
}

void call_rewind(call_t *call)
{
	pthread_mutex_lock(&call->lock);
	if (!call->stream)
		call->buffer_used = 0;
	pthread_mutex_unlock(&call->lock);
}

void call_end(call_t *call)
{
	pthread_mutex_lock(&call->lock);
	if (call->state != CALL_REFUSED)
		call->state = CALL_ENDED;
	pthread_cond_broadcast(&call->changed);
	pthread_mutex_unlock(&call->lock);
}

void call_refuse(call_t *call, const pimento_action_t *action)
{
	pthread_mutex_lock(&call->lock);
	call->verdict = action->verdict;
	call->error = action->error;
	call->retry_after = action->retry_after;
	call->next_attempt = action->next_attempt;
	call->state = CALL_REFUSED;
	pthread_cond_broadcast(&call->changed);
	pthread_mutex_unlock(&call->lock);
}

call_state_t call_wait(call_t *call)
{
	call_state_t state;

	pthread_mutex_lock(&call->lock);
	while (call->state == CALL_PENDING ||
	       (call->state == CALL_ANSWERING && !call->stream))
		pthread_cond_wait(&call->changed, &call->lock);
	state = call->state;
	pthread_mutex_unlock(&call->lock);
	return state;
}

ssize_t call_read(call_t *call, char *bytes, size_t max)
{
	ssize_t got;

	pthread_mutex_lock(&call->lock);
	while (!call->buffer_used && call->state == CALL_ANSWERING)
		pthread_cond_wait(&call->changed, &call->lock);
	got = (ssize_t)(call->buffer_used < max ? call->buffer_used : max);
	if (got) {
		memcpy(bytes, call->buffer, (size_t)got);
		call->buffer_used -= (size_t)got;
		memmove(call->buffer, call->buffer + got, call->buffer_used);
		pthread_cond_broadcast(&call->changed);
	} else if (call->state == CALL_REFUSED) {
		got = -1;
	}
	pthread_mutex_unlock(&call->lock);
	return got;
}

void call_leave(call_t *call)
{
	pthread_mutex_lock(&call->lock);
	call->caller_left = true;
	pthread_cond_broadcast(&call->changed);
	pthread_mutex_unlock(&call->lock);
}

bool call_abandoned(call_t *call)
{
	bool abandoned;

	pthread_mutex_lock(&call->lock);
	abandoned = call->cancelled || (call->caller_left && !call->key);
	pthread_mutex_unlock(&call->lock);
	return abandoned;
}
