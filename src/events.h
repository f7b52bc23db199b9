#ifndef EVENTS_H
#define EVENTS_H

/*
 * Splits a text/event-stream into whole events as its bytes come in, and keeps
 * the id of the last whole one. A stream that breaks off in the middle of an
 * event can then go on elsewhere right behind it.
 */

#include "text.h"

#define EVENTS_ID_MAX 64

typedef struct events {
	text_t partial; /* bytes of an event that has not ended */
	uint32_t count; /* whole events so far */
	char last_id[EVENTS_ID_MAX]; /* "" before the first event with an id */
} events_t;

void events_init(events_t *events);
void events_finish(events_t *events);

/*
 * Takes bytes. Returns how many bytes, from the start of partial.bytes, are
 * whole events now; the caller passes them on and then calls events_drop().
 * Returns PIMENTO_ENOMEM, or PIMENTO_ETOOBIG for an event beyond all reason.
 */
int64_t events_take(events_t *events, const char *bytes, size_t length);
void events_drop(events_t *events, size_t whole);

/* Forgets a part of an event, before the stream goes on elsewhere. */
void events_restart(events_t *events);

#endif
