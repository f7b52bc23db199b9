#ifndef ENDPOINT_H
#define ENDPOINT_H

/*
 * One endpoint as its owner sees it: what waits, what is in flight, what was
 * learnt, and whether one more request fits.
 */

#include "limit.h"
#include "owner.h"

struct owner_endpoint {
	config_endpoint_t config;
	uint64_t epoch;
	double weight; /* share that this owner may use */
	bool leaving;
	queue_t queue;
	limit_t limit;
	reservation_t *in_flight; /* newest first */
	uint32_t running; /* in flight, granted ones included */
	uint32_t prefill_tokens; /* prompt tokens granted and not yet read */
	uint64_t running_tokens; /* still to be made, as estimated */
	uint64_t in_flight_tokens; /* of prompts and answers in flight */
	uint32_t external_running; /* in flight, but not through this owner */
	pimento_usec_t external_running_until;
	pimento_usec_t
		memory_full_until; /* it seems to have no room for tokens */
	uint32_t peak; /* most in flight lately, to judge late reports by */
	uint32_t previous_peak;
	pimento_usec_t peak_window_start;
	/* Until when nothing less urgent than this tier may wait. */
	pimento_usec_t tier_floor_until[PIMENTO_TIERS_MAX];
};

owner_endpoint_t *endpoint_new(const config_endpoint_t *description,
			       uint64_t epoch, double weight);
/* Frees it; nothing may wait or be in flight any more. */
void endpoint_free(owner_endpoint_t *endpoint);

/* True when both serve the same model or service. */
bool endpoint_same_target(const owner_endpoint_t *a, const owner_endpoint_t *b);

/* Slots that a tier may fill. */
uint32_t endpoint_tier_slots(const owner_endpoint_t *endpoint,
			     pimento_usec_t now, uint8_t tier);

/* True if this request may be in flight now beside what already is. */
bool endpoint_fits(const owner_endpoint_t *endpoint, pimento_usec_t now,
		   const reservation_t *r);

/* False while the endpoint's speed is only guessed: it then refuses nothing. */
bool endpoint_speed_measured(const owner_endpoint_t *e);

/* Span that the request would take, if granted now. */
pimento_usec_t endpoint_service_time(const owner_endpoint_t *endpoint,
				     const message_reserve_t *request);

/* Part of the endpoint's time that the request uses up. */
pimento_usec_t endpoint_busy_time(const owner_endpoint_t *endpoint,
				  const message_reserve_t *request);

/* Span until a request put into the line of this tier now is granted. */
pimento_usec_t endpoint_wait_time(const owner_endpoint_t *endpoint,
				  pimento_usec_t now, uint8_t tier);

limit_load_t endpoint_load(const owner_endpoint_t *endpoint);

/* Counts a reservation in, and out of, what is in flight. */
void endpoint_add_reservation(owner_endpoint_t *endpoint, pimento_usec_t now,
			      reservation_t *r);
void endpoint_remove_reservation(owner_endpoint_t *endpoint, reservation_t *r);

/* The reservation's first token came: its prompt is read. */
void endpoint_prefill_done(owner_endpoint_t *endpoint, reservation_t *r);

/* The reservation still has no first token. */
void endpoint_check_first_token(owner_endpoint_t *endpoint, pimento_usec_t now,
				const reservation_t *r);

/* More of the answer came. */
void endpoint_update_answered(owner_endpoint_t *endpoint, reservation_t *r,
			      uint32_t answered);

void endpoint_apply_load_report(owner_endpoint_t *endpoint, pimento_usec_t now,
				const load_report_t *report);

void endpoint_fill_summary(const owner_endpoint_t *endpoint, pimento_usec_t now,
			   message_summary_t *summary);

#endif
