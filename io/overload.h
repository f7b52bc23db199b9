#ifndef OVERLOAD_H
#define OVERLOAD_H

/*
 * Rejects requests for which their service has no slot in time: the traffic
 * between src/demand.h, which decides, and the gateway, which knows what
 * arrives, waits and begins here. For the gateway's own files only.
 */

#include "exchange.h"

/*
 * A request that may wait has arrived. Returns true if it has been rejected and
 * is gone.
 */
bool overload_reject(exchange_t *exchange, pimento_usec_t now);

/*
 * Sets the times of a request whose caller was rejected before and has come at
 * its turn.
 */
void overload_set_returned(exchange_t *exchange,
			   const wait_queue_timing_t *timing);

/* Time after which the caller of a request that is rejected is to retry. */
pimento_usec_t overload_retry_after(exchange_t *exchange);

/* The request begins at an endpoint. */
void overload_begun(const exchange_t *exchange);

/*
 * Measures and reports the demand of a service, and rejects overdue requests
 * for which no slot is left; call some times a second.
 */
void overload_tick(gateway_t *gateway, gateway_service_t *service,
		   pimento_usec_t now);

void overload_finish(gateway_service_t *service);

#endif
