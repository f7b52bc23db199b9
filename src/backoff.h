#ifndef BACKOFF_H
#define BACKOFF_H

/*
 * Backoff of this host from an endpoint that rejected a request and stated when
 * to retry. When it ends the endpoint is half open: one request at a time, the
 * probe, until one is not rejected.
 */

#include "../pimentoshelf.h"

/* A longer time that is stated counts as this. */
#define BACKOFF_SPAN_MAX (3600 * PIMENTO_SEC)

typedef struct backoff {
	pimento_usec_t until; /* 0: never stated */
	pimento_usec_t stated_at;
	uint32_t via; /* peer whose tunnel brought the answer; 0: none */
	bool half_open; /* it has rejected all requests since */
	bool probe_in_flight;
} backoff_t;

/*
 * Takes over a time that was stated now; one that ends later stays. Returns
 * false if that is so.
 */
bool backoff_extend(backoff_t *backoff, pimento_usec_t span, uint32_t via,
		    pimento_usec_t now);

/* True while no request may be sent. */
bool backoff_is_active(const backoff_t *backoff, pimento_usec_t now);

/* True if no further request may be sent now. */
bool backoff_blocks(const backoff_t *backoff, pimento_usec_t now);

/* A request begins. Returns true if it is the probe. */
bool backoff_begin_request(backoff_t *backoff);
/* The probe is over, whatever came of it. */
void backoff_end_probe(backoff_t *backoff);
/* The probe was not rejected: ends the half-open state. */
void backoff_clear(backoff_t *backoff);

#endif
