#ifndef STOPPING_H
#define STOPPING_H

/*
 * The requests of a host that stops. One that could not be finished before the
 * host ends is refused while its caller still has time for another host; what
 * can be finished is. For the gateway's own files only.
 */

#include "exchange.h"

/* True if its answer would not be whole before the host ends. */
bool stopping_is_too_late(const exchange_t *exchange, pimento_usec_t now);

/* Refuses, or fails if it has run, a request whose turn will not come. */
void stopping_turn_away(exchange_t *exchange);

/* Turns away what waits and will not get its turn. */
void stopping_tick(gateway_t *gateway, pimento_usec_t now);

#endif
