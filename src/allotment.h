#ifndef ALLOTMENT_H
#define ALLOTMENT_H

/*
 * What a client account may use over all entry hosts together, in a sliding
 * window. Each host counts exactly what it admits itself and hears from its
 * peers what they admitted.
 */

#include "../pimentoshelf.h"

/*
 * The window is counted in this many parts. The part under way is included, so
 * that the span covered is between 15 and 16 sixteenths of the window.
 */
#define ALLOTMENT_PARTS 16

typedef struct allotment_use {
	pimento_id_t account;
	double parts[ALLOTMENT_PARTS];
	int64_t part; /* number of the part under way */
	double elsewhere; /* admitted by peers within the window */
} allotment_use_t;

typedef struct allotment {
	pimento_usec_t window;
	allotment_use_t *uses;
	uint32_t count;
} allotment_t;

void allotment_init(allotment_t *allotment, pimento_usec_t window);
void allotment_finish(allotment_t *allotment);

/* The use of an account; NULL without memory. */
allotment_use_t *allotment_use(allotment_t *allotment, pimento_id_t account);

/* Tokens that this host admitted within the window. */
double allotment_own(const allotment_t *allotment, allotment_use_t *use,
		     pimento_usec_t now);

typedef struct allotment_rate {
	double per_second; /* tokens; 0 no limit */
	double burst;
} allotment_rate_t;

/*
 * Admits tokens if they fit, and counts them. Returns 0, PIMENTO_EFULL if the
 * account is over its allotment, or PIMENTO_ENOMEM.
 */
int allotment_admit(allotment_t *allotment, pimento_id_t account,
		    allotment_rate_t rate, double tokens, pimento_usec_t now);

/* The request was turned away after all and has not run. */
void allotment_refund(allotment_t *allotment, pimento_id_t account,
		      double tokens, pimento_usec_t now);

/* When room for tokens may be there again; for a caller told to come back. */
pimento_usec_t allotment_wait(const allotment_t *allotment,
			      allotment_rate_t rate, double tokens);

#endif
