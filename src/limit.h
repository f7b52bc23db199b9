#ifndef LIMIT_H
#define LIMIT_H

/*
 * What is learnt of one endpoint from the answers that it gives: how fast it
 * reads prompts and makes tokens, and how much may be in flight there at once.
 */

#include "config.h"

typedef struct limit {
	config_target_t target;
	uint32_t requests_max; /* the configuration's cap */
	double request_limit; /* learnt, between 1 and requests_max */
	double token_limit; /* learnt, of prompts and answers; 0 no limit yet */
	double prefill_tokens; /* sums that decay, of first-token samples */
	double prefill_seconds;
	double token_gap; /* seconds between tokens, 0 unknown */
	double token_gap_min; /* least that it has been lately: no prompt is read */
	double prefill_rate_max; /* most that the prefill rate has been lately */
	double service_mean; /* seconds of a plain service's answer, 0 unknown */
	double service_min; /* least that it has been lately */
	uint32_t service_samples; /* samples of it */
	pimento_usec_t requests_decreased_at; /* when requests last went down */
	pimento_usec_t tokens_changed_at; /* when tokens last changed */
} limit_t;

void limit_init(limit_t *limit, config_target_t target, uint32_t concurrency);
/* The configuration changed the cap; what was learnt stays. */
void limit_set_concurrency(limit_t *limit, uint32_t concurrency);

/* What is in flight at an endpoint. */
typedef struct limit_load {
	uint32_t requests;
	uint64_t tokens; /* of prompts and answers, as estimated */
} limit_load_t;

/*
 * A first token came after span; tokens counts the prompt and all prompts that
 * were ahead of it at the endpoint.
 */
void limit_observe_first_token(limit_t *limit, pimento_usec_t now,
			       uint32_t tokens, pimento_usec_t span,
			       const limit_load_t *load);

/*
 * No first token yet after span. Returns true if that is so long that the
 * request can have no place in the batch: the endpoint is full of tokens.
 */
bool limit_check_first_token(limit_t *limit, pimento_usec_t now,
			     uint32_t tokens, pimento_usec_t span,
			     const limit_load_t *load);

/* True if so many tokens may be in flight. */
bool limit_tokens_fit(const limit_t *limit, uint64_t tokens);

/* tokens more came in span, of one stream. */
void limit_observe_decode(limit_t *limit, uint32_t tokens, pimento_usec_t span);

/* A plain service answered after span, with running requests in flight. */
void limit_observe_service(limit_t *limit, pimento_usec_t now,
			   pimento_usec_t span, const limit_load_t *load);

/* The endpoint failed a request that it had taken. */
void limit_observe_failure(limit_t *limit, pimento_usec_t now);

/* Prompt tokens a second, and tokens a second of one stream; 0 unknown. */
double limit_prefill_rate(const limit_t *limit);
double limit_decode_rate(const limit_t *limit);

/* Requests that may be in flight, at least 1. */
uint32_t limit_requests(const limit_t *limit);

/*
 * Span that a prompt takes to be read with ahead tokens in front, and that the
 * rest of an answer takes if no prompt is read meanwhile.
 */
pimento_usec_t limit_prefill_span(const limit_t *limit, uint32_t ahead,
				  uint32_t prompt);
pimento_usec_t limit_decode_span(const limit_t *limit, uint32_t answer);

/* Span from dispatch to whole answer with ahead prompt tokens in front. */
pimento_usec_t limit_service_span(const limit_t *limit, uint32_t ahead,
				  uint32_t prompt, uint32_t answer);

/*
 * Part of the endpoint's time that a request uses up: prompts are read one
 * after another, but answers are made side by side in slots.
 */
pimento_usec_t limit_work(const limit_t *limit, uint32_t prompt,
			  uint32_t answer);

#endif
