#ifndef MEMBER_H
#define MEMBER_H

/*
 * Who is there: the published host list, corrected by what peers see. Each
 * period one peer is probed, directly and then through others; what is found
 * travels as facts on probes and acks, so the cost per host does not grow with
 * the fleet. Leaving is one-way for an incarnation.
 */

#include "config.h"
#include "message.h"

typedef struct member_options {
	pimento_id_t self;
	uint64_t incarnation;
	uint64_t seed;
	pimento_usec_t period; /* between probes; 0: the default */
} member_options_t;

typedef struct member_host member_host_t;

typedef struct member {
	member_options_t options;
	outbox_t *out;
	pimento_random_t random;
	member_host_t *hosts;
	uint32_t count;
	uint32_t capacity;
	uint64_t changes; /* counts up when ownership may have changed */
	uint64_t revision; /* configuration in force, told on probes */
	uint64_t hosts_revision;
	pimento_usec_t last_tick;
	uint32_t pauses; /* gaps found between ticks */
} member_t;

int member_init(member_t *member, const member_options_t *options,
		outbox_t *out);
void member_finish(member_t *member);

/* Takes over the published list. Hosts no longer listed are forgotten. */
int member_publish(member_t *member, pimento_usec_t now,
		   const hostlist_t *list);

/* A peer that is known only by its settings or by a message. */
int member_meet(member_t *member, pimento_usec_t now, pimento_id_t host);

/* Takes MESSAGE_PROBE and MESSAGE_ACK. */
int member_receive(member_t *member, pimento_usec_t now, pimento_id_t from,
		   const message_t *message);

/* Any message of a peer shows that it lives. */
void member_heard(member_t *member, pimento_usec_t now, pimento_id_t from);

/* This host leaves; one-way. */
void member_leave(member_t *member, pimento_usec_t now);

/* An endpoint says itself that it leaves (incarnation 0 if it names none). */
void member_endpoint_leaving(member_t *member, pimento_usec_t now,
			     pimento_id_t endpoint, uint64_t incarnation);

void member_tick(member_t *member, pimento_usec_t now);
pimento_usec_t member_deadline(const member_t *member);

host_state_t member_state(const member_t *member, pimento_id_t id);
uint64_t member_incarnation(const member_t *member, pimento_id_t id);

/* Live entry hosts, self among them unless it leaves. Returns the count. */
uint32_t member_live(const member_t *member, pimento_id_t *ids, uint32_t max);

/*
 * The owner of an endpoint: by rendezvous hash over the live hosts, 0 if none.
 * epoch, where not NULL, is set to a number that grows with each change seen.
 */
pimento_id_t member_owner(const member_t *member, pimento_id_t endpoint);

/* Share of the published entry hosts that this host believes alive, (0, 1]. */
double member_share(const member_t *member);

#endif
