#ifndef SLOTS_H
#define SLOTS_H

/*
 * Places at endpoints, asked of their owners and kept for others: the traffic
 * between grants (who keeps) and the gateway (who asks).
 */

#include "net.h"

#include "../src/registry.h"
#include "../src/packet.h"
#include "../src/placement.h"

typedef struct slots {
	grants_t grants;
	registry_t *registry;
	peers_t *roster;
	int fd; /* datagrams; borrowed */
	uint16_t port; /* of every host */
	uint32_t self;
	/* An answer to an ask of this host. */
	void (*replied)(void *context, const packet_slot_reply_t *reply);
	void *context;
	pimento_usec_t first_tick_at;
	uint64_t asked; /* counters */
	uint64_t granted; /* as owner */
	uint64_t owners_changed; /* of endpoints, as this host sees it */
	uint64_t
		held_by_limit; /* as owner: requests that a stated limit held */
	uint32_t relay_turn; /* of endpoints whose reports are passed on */
	uint32_t limit_turn; /* of endpoints whose limits are passed on */
} slots_t;

void slots_init(slots_t *slots, registry_t *registry, peers_t *roster,
		uint32_t self);
void slots_finish(slots_t *slots);

/* Asks the endpoint's owner; its answer comes by replied(), maybe at once. */
void slots_ask(slots_t *slots, registry_endpoint_t *endpoint,
	       grants_request_t *ask, pimento_usec_t now);
/* The request is over; ticket, gap and failure are the caller's to fill. */
void slots_release(slots_t *slots, registry_endpoint_t *endpoint,
		   const packet_slot_release_t *release, pimento_usec_t now);

/*
 * What this host's note says of the endpoints that it keeps, and of others what
 * their owners reported lately.
 */
void slots_say(slots_t *slots, gossip_message_t *note, pimento_usec_t now);
void slots_hear(slots_t *slots, const gossip_message_t *note,
		pimento_usec_t now);

/*
 * For the owner of an endpoint, or a host that is alone: a request begins there.
 */
void slots_record_begun(registry_t *registry, registry_endpoint_t *endpoint,
			pimento_usec_t now);

/* A datagram of another host. */
void slots_take(slots_t *slots, const packet_t *packet, pimento_usec_t now);

/* Reports to owners, and ends grants that lapse; call some times a second. */
void slots_tick(slots_t *slots, pimento_usec_t now);

/*
 * Learns what a request of the host `source` has found out of an endpoint, and
 * logs when that is left alone or answers again.
 */
void slots_learn(slots_t *slots, registry_endpoint_t *endpoint,
		 latency_outcome_t finding, uint32_t source,
		 pimento_usec_t now);

/* For statements.c: */

/* Sends another host a packet, which may be lost. */
void slots_send(const slots_t *slots, uint32_t address, const packet_t *packet);
/* The endpoint with these low 32 bits of its key, or NULL. */
registry_endpoint_t *slots_endpoint(const slots_t *slots, uint32_t key);
uint32_t slots_owner(slots_t *slots, registry_endpoint_t *endpoint);

#endif
