#ifndef LIMIT_H
#define LIMIT_H

/*
 * Learns from an endpoint's answers how fast it reads prompts and generates
 * tokens, or, of a plain service, how fast it answers, and from that how many
 * requests and tokens may be in flight there at once. An owner uses it to admit
 * requests and to estimate waits.
 */

#include "config.h"

typedef struct limit {
	config_target_t target;
	uint32_t requests_max; /* configured upper bound of request_limit */
	/* learnt limit of requests in flight, from 1 to requests_max */
	double request_limit;
	/* learnt limit of prompt and answer tokens in flight; 0: none yet */
	double token_limit;
	/* decaying sums of prompt tokens and of the time taken to read them */
	double prefill_tokens;
	double prefill_seconds;
	double token_gap; /* seconds between tokens of one stream, 0: unknown */
	/* recent minimum of token_gap: the gap while no prompt is read */
	double token_gap_min;
	/* recent maximum of the prefill rate, tokens/s */
	double prefill_rate_max;
	/* mean time of a plain service's answers in seconds, 0: unknown */
	double service_mean;
	double service_min; /* recent minimum of service_mean */
	uint32_t service_samples; /* samples in service_mean */
	/* when request_limit was last decreased */
	pimento_usec_t requests_decreased_at;
	pimento_usec_t tokens_changed_at; /* when token_limit last changed */
} limit_t;

void limit_init(limit_t *limit, config_target_t target, uint32_t concurrency);
/* Applies a new configured upper bound; everything learnt is kept. */
void limit_set_concurrency(limit_t *limit, uint32_t concurrency);

/* Load in flight at an endpoint. */
typedef struct limit_load {
	uint32_t requests;
	uint64_t tokens; /* prompt and answer tokens, as estimated */
} limit_load_t;

/*
 * Learns from a request whose first token came the given span after its
 * dispatch. The parameter tokens is the length of its prompt and of all prompts
 * that were ahead of it at the endpoint.
 */
void limit_observe_first_token(limit_t *limit, pimento_usec_t now,
			       uint32_t tokens, pimento_usec_t span,
			       const limit_load_t *load);

/*
 * Checks a request that has no first token the given span after its dispatch.
 * Returns true, and lowers the token limit, if the span is so long that the
 * request cannot be in the engine's batch: the engine's memory is full of
 * tokens.
 */
bool limit_check_first_token(limit_t *limit, pimento_usec_t now,
			     uint32_t tokens, pimento_usec_t span,
			     const limit_load_t *load);

/* True if this many prompt and answer tokens may be in flight. */
bool limit_tokens_fit(const limit_t *limit, uint64_t tokens);

/*
 * Learns the time between the tokens of one stream, from the number of tokens
 * that it generated and the time that this took.
 */
void limit_observe_decode(limit_t *limit, uint32_t tokens, pimento_usec_t span);

/*
 * Learns from an answer of a plain service. The parameter span is the time from
 * dispatch to answer, load is what was in flight at the service.
 */
void limit_observe_service(limit_t *limit, pimento_usec_t now,
			   pimento_usec_t span, const limit_load_t *load);

/* Lowers the request limit after an endpoint failed an accepted request. */
void limit_observe_failure(limit_t *limit, pimento_usec_t now);

/* Prompt tokens that the engine reads per second; 0: unknown. */
double limit_get_prefill_rate(const limit_t *limit);
/* Answer tokens per second of one stream; 0: unknown. */
double limit_get_decode_rate(const limit_t *limit);

/* Number of requests that may be in flight, at least 1. */
uint32_t limit_get_max_requests(const limit_t *limit);

/*
 * Expected time until the engine has read a prompt of this many tokens, with
 * other prompts queued before it whose tokens add up to the parameter ahead. A
 * default rate is assumed until answers have been measured.
 */
pimento_usec_t limit_estimate_prefill_span(const limit_t *limit, uint32_t ahead,
					   uint32_t prompt);
/*
 * Expected time to generate an answer of this many tokens while the engine
 * reads no prompt. A default rate is assumed until answers have been measured.
 */
pimento_usec_t limit_estimate_decode_span(const limit_t *limit,
					  uint32_t answer);

/*
 * Expected time from the dispatch of a request to its complete answer. The
 * parameter ahead is the number of prompt tokens queued before the request.
 */
pimento_usec_t limit_estimate_answer_span(const limit_t *limit, uint32_t ahead,
					  uint32_t prompt, uint32_t answer);

/*
 * Share of the endpoint's time that a request uses up: prompts are read one
 * after another, but answers are generated side by side in slots.
 */
pimento_usec_t limit_work(const limit_t *limit, uint32_t prompt,
			  uint32_t answer);

#endif
