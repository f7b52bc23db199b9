#ifndef RETURN_TIME_H
#define RETURN_TIME_H

/*
 * When the caller of a rejected request is to retry (Retry-After), and whether
 * one that retries has come at its turn.
 *
 * Load pattern: demand beyond what the endpoints can do, for seconds, by
 * callers who retry once. Were they told to retry within a time drawn at random
 * from the queue of one host, most would come back into the same overload and
 * be rejected for good.
 *
 * A turn is handed out where the slot time that begins is expected to exceed
 * what waits, what arrives and what was promised to others before, at all
 * hosts. If there is none within the time for which the caller stays away, the
 * turn is as late as that allows, at a moment at which fewer others are due.
 * Promises are a part of each host's demand, and their sum comes from the
 * service's keeper (src/demand.h). Those of a host that ends lapse with its
 * part.
 */

#include "demand.h"

/* A request that is being rejected. */
typedef struct return_request {
	pimento_usec_t slot_time; /* that it would hold a slot */
	pimento_usec_t time_left; /* until its caller or its route times out */
} return_request_t;

/* Longest time that callers with this time left stay away. */
pimento_usec_t return_time_limit(pimento_usec_t time_left);

/*
 * Returns the time after which the caller is to retry, and counts its slot time
 * as promised then. hosts: live hosts, which bound the age of a sum that is
 * used.
 */
pimento_usec_t return_time_promise(demand_meter_t *meter,
				   const return_request_t *request,
				   uint32_t hosts, pimento_random_t *random,
				   pimento_usec_t now);

/*
 * True if a caller with this time left has stayed away for as long as a late
 * turn asks, given the longest time left that callers of its route have at
 * first. One that came back sooner is not told apart from a new one.
 */
bool return_time_has_come(pimento_usec_t time_left, pimento_usec_t longest);

/*
 * True if those who are due about now fit beside the new requests of the given
 * rank and of more urgent ones, so that they may go before the new ones without
 * taking their room.
 */
bool return_time_fits(const demand_meter_t *meter, uint64_t rank,
		      uint32_t hosts, pimento_usec_t now);

#endif
