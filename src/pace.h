#ifndef PACE_H
#define PACE_H

/*
 * What is learnt of one endpoint from its answers: how long it takes to the
 * first event and between events, how often it fails, and whether it is to be
 * left alone for a while. Nothing here is configured; an endpoint starts as an
 * average one of its service.
 */

#include "../pimentoshelf.h"

typedef struct pace {
	double gap; /* microseconds between events of one stream; 0 unknown */
	double first; /* microseconds to the answer; 0 unknown */
	double failing; /* share of requests that failed, decayed */
	uint32_t failures; /* in a row without an answer */
	uint32_t bad; /* PACE_BREAKS and PACE_FAILS in a row */
	pimento_usec_t ejected_until; /* no new work before that */
} pace_t;

/* Decayed sums of a line y = base + slope * x. */
typedef struct pace_line {
	double weight, x, y, xx, xy;
} pace_line_t;

/* Of a whole service, to judge and to predict its endpoints by. */
typedef struct pace_service {
	double gap; /* mean of what its streams show */
	double failing;
	pace_line_t
		length; /* logarithm of events over that of tokens expected */
	pace_line_t first; /* span over prompt, divided by the slowness */
	double first_error; /* mean distance from that line; 0 unknown */
} pace_service_t;

/* What a request has found out of its endpoint; hosts tell the owner. */
typedef enum pace_finding {
	PACE_NOTHING, /* it ended before there was an answer */
	PACE_ANSWERS,
	PACE_FULL,
	PACE_BREAKS, /* a new connection broke before any byte of an answer */
	PACE_UNREACHED,
	PACE_FAILS, /* an answer that is a failure of the endpoint's own */
	PACE_FINDINGS
} pace_finding_t;

void pace_init(pace_t *pace);

/* An event came gap after the one before. */
void pace_gap(pace_t *pace, pace_service_t *service, pimento_usec_t gap);
/* The mean of a whole stream, as another host has seen it. */
void pace_gap_mean(pace_t *pace, pace_service_t *service, pimento_usec_t gap);
/*
 * The answer began after span; prompt counts its tokens and those of prompts
 * that were to be read before.
 */
void pace_first(pace_t *pace, pace_service_t *service, pimento_usec_t span,
		uint32_t prompt);
/* A stream of which so many tokens were expected ended after some events. */
void pace_length(pace_service_t *service, uint32_t expected, uint32_t events);
void pace_answered(pace_t *pace, pace_service_t *service);
/* A request failed although the endpoint had answered: it may be faulty. */
void pace_failed(pace_t *pace, pace_service_t *service, pimento_usec_t now);
/* Nothing was reached or came back at all. */
void pace_unreachable(pace_t *pace, pimento_usec_t now);
/* It said that it is full. */
void pace_full(pace_t *pace, pimento_usec_t now);

/* "answers", "breaks", ...; never NULL. */
const char *pace_finding_name(pace_finding_t finding);
/* Learns from a finding, of this host or of another. */
void pace_found(pace_t *pace, const pace_service_t *service,
		pace_finding_t finding, pimento_usec_t now);
/* Learns how often requests of another host fail. */
void pace_heard(pace_t *pace, pace_service_t *service, pace_finding_t finding,
		pimento_usec_t now);
/* True if it fails far more often than its service. */
bool pace_is_failing(const pace_t *pace, const pace_service_t *service);

/* How much slower than its service's mean; 1 unknown. */
double pace_slowness(const pace_t *pace, const pace_service_t *service);
/* Expected span to the first event when nothing waits there. */
double pace_expect(const pace_t *pace, const pace_service_t *service,
		   uint32_t prompt);
/* The same, for nine requests in ten: they take no longer than this. */
double pace_expect_most(const pace_t *pace, const pace_service_t *service,
			uint32_t prompt);

/* Expected span between events there. */
double pace_gap_expect(const pace_t *pace, const pace_service_t *service);
/*
 * Expected events of an answer of which the caller expects so many tokens; 0
 * unknown. Guesses far off the usual are mostly wrong: of those ten times as
 * long as the usual answer half are, so the line in logarithms is flatter than
 * one to one, and is learnt.
 */
double pace_events_expect(const pace_service_t *service, uint32_t expected);
/* Expected span from the first event to the last; 0 unknown. */
double pace_rest_expect(const pace_t *pace, const pace_service_t *service,
			uint32_t expected);

#endif
