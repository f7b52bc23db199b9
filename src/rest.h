#ifndef REST_H
#define REST_H

/*
 * The time for which an endpoint wants no requests from this host, as it said
 * when it rejected one. After that time one request at a time tells whether it
 * takes more again.
 */

#include "../pimentoshelf.h"

/* A longer time that is stated counts as this. */
#define REST_MAX (3600 * PIMENTO_SEC)

typedef struct rest {
	pimento_usec_t until; /* 0: never stated */
	pimento_usec_t stated_at;
	uint32_t via; /* peer whose tunnel brought the answer; 0: none */
	bool on_trial; /* no answer but a rejection since it was stated */
	bool trial_under_way;
} rest_t;

/*
 * Takes over a time that was stated now; one that ends later stays. Returns
 * false if that is so.
 */
bool rest_state(rest_t *rest, pimento_usec_t span, uint32_t via,
		pimento_usec_t now);

/* True while no request may be sent. */
bool rest_is_asked(const rest_t *rest, pimento_usec_t now);

/* True if the endpoint takes no further request now. */
bool rest_blocks(const rest_t *rest, pimento_usec_t now);

/* A request begins. Returns true if it is the trial. */
bool rest_begin(rest_t *rest);
/* The trial is over, whatever came of it. */
void rest_end_trial(rest_t *rest);
/* The trial was not rejected. */
void rest_trial_succeeded(rest_t *rest);

#endif
