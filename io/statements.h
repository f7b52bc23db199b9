#ifndef STATEMENTS_H
#define STATEMENTS_H

/*
 * What endpoints state of themselves in their answers, and how hosts report it
 * to each other: a limit of requests (rate_limit.h), that they leave
 * (departures.h), when a host may retry (backoff.h). Departures are also reported
 * from the endpoints' records.
 */

#include "slots.h"

/*
 * Learns what an answer to a request that was sent at sent_at says of the
 * endpoint's limit, and tells its owner what has changed.
 */
void statements_learn_rate_limit(slots_t *slots, registry_endpoint_t *endpoint,
				 uint32_t rate, enum rate_limit_source source,
				 pimento_usec_t sent_at, pimento_usec_t now);
/*
 * An answer to a request that went through the peer `via` (0: none) says that
 * the endpoint leaves: tells its owner and that peer at once.
 */
void statements_learn_leaving(slots_t *slots, registry_endpoint_t *endpoint,
			      uint32_t via, pimento_usec_t now);
/*
 * An answer to a request that went through the peer `via` (0: none) says that
 * this host and that peer are to back off from the endpoint for so long.
 */
void statements_learn_backoff(slots_t *slots, registry_endpoint_t *endpoint,
			      pimento_usec_t span, uint32_t via,
			      pimento_usec_t now);

/* What the host `source` reports; times in it are ages. */
void statements_receive_rate_limit(slots_t *slots,
				   const rate_limit_report_t *report,
				   uint32_t source, pimento_usec_t now);
void statements_receive_departure(slots_t *slots, const departure_t *departure,
				  uint32_t source, pimento_usec_t now);
void statements_receive_backoff(slots_t *slots, const packet_backoff_t *backoff,
				uint32_t source, pimento_usec_t now);

/* Reports to one host that an endpoint leaves, if this host knows it. */
void statements_report_departure(const slots_t *slots, uint32_t endpoint,
				 uint32_t address, pimento_usec_t now);

/* Fills in what gossip reports of all endpoints, and takes that over. */
void statements_report(slots_t *slots, gossip_message_t *note,
		       pimento_usec_t now);
void statements_receive(slots_t *slots, const gossip_message_t *note,
			pimento_usec_t now);

/* Repeats and forgets reports; call some times a second. */
void statements_tick(const slots_t *slots, pimento_usec_t now);

#endif
