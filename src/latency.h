#ifndef LATENCY_H
#define LATENCY_H

/*
 * Estimates the latency and the failure rate of an endpoint from its answers:
 * the time to the first event, the gap between events, the share of failed
 * requests, and whether the endpoint is ejected for a while. Nothing here is
 * configured; an endpoint starts as an average one of its service. Values of
 * type double whose name ends in _us, and expected times, are in microseconds.
 */

#include "../pimentoshelf.h"

typedef struct latency_model {
	/* mean gap between events of a stream; 0 unknown */
	double event_gap_us;
	/* mean time to the start of an answer; 0 unknown */
	double first_event_us;
	/* moving average of the share of failed requests */
	double failure_rate;
	/* ejections as unreachable since the last answer */
	uint32_t consecutive_unreachable;
	/* reset connections and failed answers in a row */
	uint32_t consecutive_errors;
	/* time until which the endpoint gets no new requests */
	pimento_usec_t ejected_until;
} latency_model_t;

/* Linear regression y = base + slope * x over exponentially decayed sums. */
typedef struct latency_regression {
	double weight, x, y, xx, xy;
} latency_regression_t;

/* Model of a whole service, to which its endpoints are compared. */
typedef struct latency_service {
	/* mean gap between events over all streams of the service; 0 unknown */
	double event_gap_us;
	double failure_rate;
	/* x: log of the tokens expected by the caller, y: log of the events */
	latency_regression_t events_by_tokens;
	/* mean absolute error of events_by_tokens, of the log of the events */
	double events_error;
	/*
	 * x: prompt tokens, y: time to the first event, divided by the
	 * endpoint's slowness
	 */
	latency_regression_t first_event_by_prompt;
	/* mean absolute error of first_event_by_prompt; 0 unknown */
	double first_event_error_us;
	/*
	 * mean log of the time to the first event over the expected one, at
	 * endpoints that are slower than their service; 0 unknown
	 */
	double slow_first_event_error;
	/* mean time from dispatch to the complete answer; 0 unknown */
	double slot_time_us;
	/* answers in that mean, up to the number that it reaches back */
	uint32_t slot_time_count;
} latency_service_t;

/* Outcome of a request at its endpoint; hosts report it to the owner. */
typedef enum latency_outcome {
	LATENCY_OUTCOME_NONE, /* the request ended before there was an answer */
	LATENCY_OUTCOME_ANSWERED,
	LATENCY_OUTCOME_FULL,
	/* a new connection closed before the first byte of an answer */
	LATENCY_OUTCOME_RESET,
	LATENCY_OUTCOME_UNREACHABLE,
	/* the answer is an error of the endpoint itself */
	LATENCY_OUTCOME_FAILED,
	/* another process answered at the endpoint's address */
	LATENCY_OUTCOME_REPLACED,
	LATENCY_OUTCOMES
} latency_outcome_t;

void latency_init(latency_model_t *latency_model);

/* Adds the gap between two events of a stream. */
void latency_add_gap(latency_model_t *latency_model, latency_service_t *service,
		     pimento_usec_t gap);
/* Adds the mean gap of a whole stream that another host has relayed. */
void latency_add_mean_gap(latency_model_t *latency_model,
			  latency_service_t *service, pimento_usec_t gap);
/*
 * Adds the time to the first event of an answer. prompt_tokens counts the
 * request's own prompt and the prompts that the engine had to process before
 * it.
 */
void latency_add_first_event(latency_model_t *latency_model,
			     latency_service_t *service, pimento_usec_t span,
			     uint32_t prompt_tokens);
/*
 * Adds the number of events of a complete stream, and the length in tokens that
 * its caller had stated.
 */
void latency_add_length(latency_service_t *service, uint32_t expected_tokens,
			uint32_t events);
/* Adds the time from the dispatch of a request to its complete answer. */
void latency_add_slot_time(latency_service_t *service, pimento_usec_t span);
void latency_add_success(latency_model_t *latency_model,
			 latency_service_t *service);
/*
 * Adds a request that failed although the endpoint answered. Ejects the
 * endpoint if it fails far more often than its service.
 */
void latency_add_failure(latency_model_t *latency_model,
			 latency_service_t *service, pimento_usec_t now);
/*
 * Ejects an endpoint that could not be reached or did not answer; the time
 * doubles with each ejection in a row.
 */
void latency_eject_unreachable(latency_model_t *latency_model,
			       pimento_usec_t now);
/* Ejects for a moment an endpoint that reported that it is full. */
void latency_eject_full(latency_model_t *latency_model, pimento_usec_t now);

/* Name of an outcome for reports, such as "answers" or "breaks"; never NULL. */
const char *latency_outcome_name(latency_outcome_t outcome);
/*
 * Ejects the endpoint if the outcome of a request, sent by this host or
 * another, shows that it is full or unreachable, or is one error too many in a
 * row.
 */
void latency_update_ejection(latency_model_t *latency_model,
			     const latency_service_t *service,
			     latency_outcome_t outcome, pimento_usec_t now);
/* Adds the outcome of another host's request to the failure rates. */
void latency_update_failure_rate(latency_model_t *latency_model,
				 latency_service_t *service,
				 latency_outcome_t outcome, pimento_usec_t now);
/* True if the endpoint fails far more often than its service. */
bool latency_endpoint_is_failing(const latency_model_t *latency_model,
				 const latency_service_t *service);

/*
 * Mean gap between the endpoint's events divided by that of its service; 1
 * while either is unknown.
 */
double latency_slowness(const latency_model_t *latency_model,
			const latency_service_t *service);
/* True if the endpoint is much slower than its service. */
bool latency_is_slow(const latency_model_t *latency_model,
		     const latency_service_t *service);
/* Expected time to the first event if no other prompt waits at the endpoint. */
double latency_expected_first_event(const latency_model_t *latency_model,
				    const latency_service_t *service,
				    uint32_t prompt_tokens);
/* Estimated 90th percentile of the time to the first event. */
double latency_p90_first_event(const latency_model_t *latency_model,
			       const latency_service_t *service,
			       uint32_t prompt_tokens);

/*
 * Typical time to the first event: half of the times lie below. The expected
 * time is a mean, and an endpoint's slowness comes from its gaps; the first
 * event of a slow endpoint mostly comes earlier.
 */
double latency_typical_first_event(const latency_model_t *latency_model,
				   const latency_service_t *service,
				   uint32_t prompt_tokens);

/* Expected gap between events of a stream of the endpoint. */
double latency_expected_gap(const latency_model_t *latency_model,
			    const latency_service_t *service);
/*
 * Number of events to expect in an answer whose caller states expected_tokens
 * as its length; 0: unknown. Callers' estimates far from the usual length are
 * mostly wrong: half of the estimates of ten times the usual length are. So the
 * logarithm of the number of events is fitted to that of the estimate by a
 * regression, which follows the observed lengths and is flatter than one to
 * one.
 */
double latency_expected_events(const latency_service_t *service,
			       uint32_t expected_tokens);
/* Estimated 90th percentile of that number. */
double latency_p90_events(const latency_service_t *service,
			  uint32_t expected_tokens);
/* Expected time from the first event of a stream to the last; 0 unknown. */
double latency_expected_stream_time(const latency_model_t *latency_model,
				    const latency_service_t *service,
				    uint32_t expected_tokens);

#endif
