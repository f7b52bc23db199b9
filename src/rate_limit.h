#ifndef RATE_LIMIT_H
#define RATE_LIMIT_H

/*
 * A limit that an endpoint states in its answers: the requests a second that it
 * takes from all hosts together, for as long as it says so. The endpoint's owner
 * keeps a token bucket for all hosts; see slots.h. A host that saw an answer
 * tells the owner at once and all others by gossip; the newest answer counts.
 */

#include "../pimentoshelf.h"

/* Rates are thousandths of a request a second: endpoints state 0.4. */
#define RATE_LIMIT_UNIT 1000
#define RATE_LIMIT_MAX ((uint32_t)1000000 * RATE_LIMIT_UNIT)

/* Answers that have stated the limit: those of this kind end it, too. */
enum rate_limit_source {
	RATE_LIMIT_IN_REJECTIONS = 1,
	RATE_LIMIT_IN_ANSWERS = 2
};

/* What an answer of an endpoint says, or a host that saw it. */
typedef struct rate_limit_statement {
	uint32_t rate; /* 0: none, a former one has ended */
	uint32_t sources; /* mask of rate_limit_source */
	pimento_usec_t at; /* when the answer came, or how long ago */
} rate_limit_statement_t;

typedef struct rate_limit {
	rate_limit_statement_t stated; /* the newest; at is 0: none */
	double tokens; /* the owner's: requests that may begin */
	pimento_usec_t filled_at;
} rate_limit_t;

/* The newest statement about an endpoint, as a host passes it on. */
typedef struct rate_limit_report {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	rate_limit_statement_t stated; /* at: how long ago */
} rate_limit_report_t;

/*
 * Learns from an answer to a request that was sent at sent_at. rate is 0 if it
 * states none. Returns true if the limit has changed.
 */
bool rate_limit_learn(rate_limit_t *limit, uint32_t rate,
		      enum rate_limit_source source, pimento_usec_t sent_at,
		      pimento_usec_t now);

/* Takes over a statement if it is the newest; returns as rate_limit_learn(). */
bool rate_limit_merge(rate_limit_t *limit,
		      const rate_limit_statement_t *stated);

/* True if the endpoint has a limit now. */
bool rate_limit_applies(const rate_limit_t *limit, pimento_usec_t now);

/* True if others have to know: a limit, or that one ended lately. */
bool rate_limit_is_news(const rate_limit_t *limit, pimento_usec_t now);

/*
 * For the owner, which grants a share of the rate: true if the next request may
 * begin.
 */
bool rate_limit_may_begin(rate_limit_t *limit, double share,
			  pimento_usec_t now);
/* A request begins, whether it was granted or not. */
void rate_limit_record(rate_limit_t *limit, double share, pimento_usec_t now);
/* A request that was recorded has not begun. */
void rate_limit_return(rate_limit_t *limit);

#endif
