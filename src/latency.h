#ifndef LATENCY_H
#define LATENCY_H

/*
 * What is learnt of one endpoint from its answers: how long it takes to the
 * first event and between events, how often it fails, and whether it is to be
 * left alone for a while. Nothing here is configured; an endpoint starts as an
 * average one of its service.
 */

#include "../pimentoshelf.h"

typedef struct latency_model {
	double event_gap_us; /* microseconds between events of one stream; 0 unknown */
	double first_event_us; /* microseconds to the answer; 0 unknown */
	double failure_rate; /* share of requests that failed, decayed */
	uint32_t consecutive_unreachable; /* in a row without an answer */
	uint32_t
		consecutive_errors; /* LATENCY_OUTCOME_RESET and LATENCY_OUTCOME_FAILED in a row */
	pimento_usec_t ejected_until; /* no new work before that */
} latency_model_t;

/* Decayed sums of a line y = base + slope * x. */
typedef struct latency_regression {
	double weight, x, y, xx, xy;
} latency_regression_t;

/* Of a whole service, to judge and to predict its endpoints by. */
typedef struct latency_service {
	double event_gap_us; /* mean of what its streams show */
	double failure_rate;
	latency_regression_t
		events_by_tokens; /* logarithm of events over that of tokens expected */
	latency_regression_t
		first_event_by_prompt; /* span over prompt_tokens, divided by the slowness */
	double first_event_error_us; /* mean distance from that line; 0 unknown */
} latency_service_t;

/* What a request has found out of its endpoint; hosts tell the owner. */
typedef enum latency_outcome {
	LATENCY_OUTCOME_NONE, /* it ended before there was an answer */
	LATENCY_OUTCOME_ANSWERED,
	LATENCY_OUTCOME_FULL,
	LATENCY_OUTCOME_RESET, /* a new connection broke before any byte of an answer */
	LATENCY_OUTCOME_UNREACHABLE,
	LATENCY_OUTCOME_FAILED, /* an answer that is a failure of the endpoint's own */
	LATENCY_OUTCOMES
} latency_outcome_t;

void latency_init(latency_model_t *latency_model);

/* An event came gap after the one before. */
void latency_add_gap(latency_model_t *latency_model, latency_service_t *service,
		     pimento_usec_t gap);
/* The mean of a whole stream, as another host has seen it. */
void latency_add_mean_gap(latency_model_t *latency_model,
			  latency_service_t *service, pimento_usec_t gap);
/*
 * The answer began after span; prompt_tokens counts its tokens and those of prompts
 * that were to be read before.
 */
void latency_add_first_event(latency_model_t *latency_model,
			     latency_service_t *service, pimento_usec_t span,
			     uint32_t prompt_tokens);
/* A stream of which so many tokens were expected ended after some events. */
void latency_add_length(latency_service_t *service, uint32_t expected_tokens,
			uint32_t events);
void latency_add_success(latency_model_t *latency_model,
			 latency_service_t *service);
/* A request failed although the endpoint had answered: it may be faulty. */
void latency_add_failure(latency_model_t *latency_model,
			 latency_service_t *service, pimento_usec_t now);
/* Nothing was reached or came back at all. */
void latency_eject_unreachable(latency_model_t *latency_model,
			       pimento_usec_t now);
/* It said that it is full. */
void latency_eject_full(latency_model_t *latency_model, pimento_usec_t now);

/* "answers", "breaks", ...; never NULL. */
const char *latency_outcome_name(latency_outcome_t outcome);
/* Learns from a finding, of this host or of another. */
void latency_update_ejection(latency_model_t *latency_model,
			     const latency_service_t *service,
			     latency_outcome_t outcome, pimento_usec_t now);
/* Learns how often requests of another host fail. */
void latency_update_failure_rate(latency_model_t *latency_model,
				 latency_service_t *service,
				 latency_outcome_t outcome, pimento_usec_t now);
/* True if it fails far more often than its service. */
bool latency_is_failing(const latency_model_t *latency_model,
			const latency_service_t *service);

/* How much slower than its service's mean; 1 unknown. */
double latency_slowness(const latency_model_t *latency_model,
			const latency_service_t *service);
/* Expected span to the first event when nothing waits there. */
double latency_expected_first_event(const latency_model_t *latency_model,
				    const latency_service_t *service,
				    uint32_t prompt_tokens);
/* The same, for nine requests in ten: they take no longer than this. */
double latency_p90_first_event(const latency_model_t *latency_model,
			       const latency_service_t *service,
			       uint32_t prompt_tokens);

/* Expected span between events there. */
double latency_expected_gap(const latency_model_t *latency_model,
			    const latency_service_t *service);
/*
 * Expected events of an answer of which the caller expects so many tokens; 0
 * unknown. Guesses far off the usual are mostly wrong: of those ten times as
 * long as the usual answer half are, so the line in logarithms is flatter than
 * one to one, and is learnt.
 */
double latency_expected_events(const latency_service_t *service,
			       uint32_t expected_tokens);
/* Expected span from the first event to the last; 0 unknown. */
double latency_expected_stream_time(const latency_model_t *latency_model,
				    const latency_service_t *service,
				    uint32_t expected_tokens);

#endif
