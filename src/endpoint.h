#ifndef ENDPOINT_H
#define ENDPOINT_H

/*
 * The state that an owner keeps for one endpoint: its wait queue, the
 * reservations in flight and the measured limits and rates. Decides whether one
 * more request fits, and estimates wait and service times.
 */

#include "limit.h"
#include "owner.h"

struct owner_endpoint {
	config_endpoint_t config;
	uint64_t epoch;
	double weight; /* share of the limits that this owner may use, 0 to 1 */
	bool leaving; /* grants no new requests */
	queue_t queue; /* requests waiting for a slot at this endpoint */
	limit_t limit;
	reservation_t *in_flight; /* granted reservations, newest first */
	uint32_t running; /* requests granted or in flight */
	/* Tokens of granted prompts that the endpoint has not read yet. */
	uint32_t prefill_tokens;
	uint64_t running_tokens; /* estimated answer tokens still to come */
	uint64_t in_flight_tokens; /* tokens of prompts and estimated answers */
	uint32_t external_running; /* requests not granted by this owner */
	pimento_usec_t external_running_until; /* expiry of external_running */
	/* The engine's token memory is assumed to be full until this time. */
	pimento_usec_t memory_full_until;
	/*
	 * Maximum of running in the current window. Load reports may describe
	 * an earlier moment, so they are compared with the recent maximum.
	 */
	uint32_t peak;
	uint32_t previous_peak; /* maximum of running in the previous window */
	pimento_usec_t peak_window_start;
	/*
	 * Requests less urgent than a tier are not queued until this time;
	 * indexed by tier.
	 */
	pimento_usec_t tier_floor_until[PIMENTO_TIERS_MAX];
};

owner_endpoint_t *endpoint_new(const config_endpoint_t *description,
			       uint64_t epoch, double weight);
/* Frees an endpoint; no request may be queued or in flight there. */
void endpoint_free(owner_endpoint_t *endpoint);

/* True if both endpoints serve the same model or service. */
bool endpoint_same_target(const owner_endpoint_t *a, const owner_endpoint_t *b);

/* Returns the number of slots at the endpoint that a tier may use. */
uint32_t endpoint_tier_slots(const owner_endpoint_t *endpoint,
			     pimento_usec_t now, uint8_t tier);

/* True if the request may be granted now, given the requests in flight. */
bool endpoint_fits(const owner_endpoint_t *endpoint, pimento_usec_t now,
		   const reservation_t *r);

/*
 * False until the endpoint's speed has been measured; until then, no request is
 * refused because it could not finish by its deadline.
 */
bool endpoint_speed_measured(const owner_endpoint_t *e);

/* Estimated time from the grant of the request, if granted now, to its end. */
pimento_usec_t endpoint_service_time(const owner_endpoint_t *endpoint,
				     const message_reserve_t *request);

/* Share of the endpoint's processing time that the request would use. */
pimento_usec_t endpoint_busy_time(const owner_endpoint_t *endpoint,
				  const message_reserve_t *request);

/*
 * Estimated time that a request of this tier, if queued now, would wait for its
 * grant.
 */
pimento_usec_t endpoint_wait_time(const owner_endpoint_t *endpoint,
				  pimento_usec_t now, uint8_t tier);

/* Load at the endpoint, scaled to the owner's share of the token limit. */
limit_load_t endpoint_load(const owner_endpoint_t *endpoint);

/*
 * endpoint_add_reservation() adds a reservation to those in flight, and
 * endpoint_remove_reservation() removes it.
 */
void endpoint_add_reservation(owner_endpoint_t *endpoint, pimento_usec_t now,
			      reservation_t *r);
void endpoint_remove_reservation(owner_endpoint_t *endpoint, reservation_t *r);

/*
 * Records that the reservation's first token has been received, which means that
 * the endpoint has read its prompt.
 */
void endpoint_prefill_done(owner_endpoint_t *endpoint, reservation_t *r);

/*
 * Called while a reservation has no first token. If it is long overdue, the
 * engine's memory is taken to be full, and grants are suspended for a while.
 */
void endpoint_check_first_token(owner_endpoint_t *endpoint, pimento_usec_t now,
				const reservation_t *r);

/* Records the number of answer tokens received so far. */
void endpoint_update_answer_tokens(owner_endpoint_t *endpoint, reservation_t *r,
				   uint32_t answered);

/*
 * Derives from an endpoint's load report how many of its requests were not
 * granted by this owner.
 */
void endpoint_apply_load_report(owner_endpoint_t *endpoint, pimento_usec_t now,
				const load_report_t *report);

void endpoint_fill_summary(const owner_endpoint_t *endpoint, pimento_usec_t now,
			   message_summary_t *summary);

#endif
