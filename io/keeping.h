#ifndef KEEPING_H
#define KEEPING_H

/*
 * Places at endpoints, asked of their keepers and kept for others: the traffic
 * between grants (who keeps) and the gateway (who asks).
 */

#include "net.h"

#include "../src/directory.h"
#include "../src/packet.h"
#include "../src/placement.h"

typedef struct keeping {
	grants_t grants;
	directory_t *directory;
	roster_t *roster;
	int fd; /* datagrams; borrowed */
	uint16_t port; /* of every host */
	uint32_t self;
	/* An answer to an ask of this host. */
	void (*replied)(void *context, const packet_reply_t *reply);
	void *context;
	uint64_t asked; /* counters */
	uint64_t granted; /* as keeper */
} keeping_t;

void keeping_init(keeping_t *keeping, directory_t *directory, roster_t *roster,
		  uint32_t self);
void keeping_finish(keeping_t *keeping);

/* Asks the endpoint's keeper; its answer comes by replied(), maybe at once. */
void keeping_ask(keeping_t *keeping, const directory_endpoint_t *endpoint,
		 grants_ask_t *ask, pimento_usec_t now);
/* The request is over; ticket, gap and failure are the caller's to fill. */
void keeping_release(keeping_t *keeping, const directory_endpoint_t *endpoint,
		     const packet_release_t *release, pimento_usec_t now);

/* What this host's note says of the endpoints that it keeps. */
void keeping_say(const keeping_t *keeping, roster_note_t *note,
		 pimento_usec_t now);
void keeping_hear(keeping_t *keeping, const roster_note_t *note,
		  pimento_usec_t now);

/* A datagram of another host. */
void keeping_take(keeping_t *keeping, const packet_t *packet,
		  pimento_usec_t now);

/* Compares the grants with what hosts say; call some times a second. */
void keeping_tick(keeping_t *keeping, pimento_usec_t now);

#endif
