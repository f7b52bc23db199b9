#ifndef DEPARTURES_H
#define DEPARTURES_H

/*
 * Recent departures: endpoints that accept no new requests, as hosts report them
 * to each other. A departure is known from the endpoint's record or from its
 * answers. It fits into each gossip message, so that it does not depend on the
 * fetch of the record from a peer.
 */

#include "../pimentoshelf.h"

/* Departures that a host holds; the oldest of a record is replaced first. */
#define DEPARTURES_MAX 128

typedef struct departure {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	/* The process that leaves; 0 if the record says so. */
	uint32_t process;
	/* Of the record that says so, or of its removal; 0: an answer does. */
	uint64_t revision;
	/* When a host first learned it; in messages: how long ago. */
	pimento_usec_t at;
} departure_t;

typedef struct departures {
	departure_t list[DEPARTURES_MAX];
	uint32_t count;
	uint32_t turn; /* index of the next departure to report */
} departures_t;

/*
 * Holds a departure. Returns false if it is already held, or too old to be
 * reported.
 */
bool departures_add(departures_t *departures, const departure_t *departure,
		    pimento_usec_t now);

/* The departure of an endpoint that was learned last, or NULL. */
const departure_t *departures_find(const departures_t *departures,
				   uint32_t endpoint);

/*
 * Forgets what need not be reported any more. Departures stated in answers are
 * kept as long as is_listed() finds their endpoints.
 */
void departures_expire(departures_t *departures,
		       bool (*is_listed)(const void *context,
					 const departure_t *departure),
		       const void *context, pimento_usec_t now);

/* Writes the departures to report next, in turn; returns their number. */
uint32_t departures_report(departures_t *departures, departure_t *list,
			   uint32_t max, pimento_usec_t now);

#endif
