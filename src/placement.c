/*
 * Engines admit in order of arrival, so requests wait here while no endpoint
 * has a free slot, where a more urgent one can still overtake. Counts of what
 * is in flight elsewhere are as old as the last report; a random part of the
 * cost spreads hosts that see the same free slot.
 */

#include "placement.h"

#include <math.h>

/* Sent ahead, to bridge the report of a free slot and the way to it. */
#define ENGINE_EXTRA_IN_FLIGHT 1

/* The same where answers are short and more slots fall free meanwhile. */
#define PLAIN_EXTRA_IN_FLIGHT 3

/* Cost of a full batch against an empty one, in parts of the first event. */
#define LOAD_COST 0.8
/* One that was not reached looks idle; the others are worth more of a wait. */
#define UNREACHABLE_COST 5.0
/* Cost of each request that waits in the endpoint's line. */
#define QUEUED_COST 0.3
/* Random part of the cost. */
#define RANDOM_COST 0.15
/* An endpoint in another data centre: latency, and bytes between them. */
#define REMOTE_DATACENTRE_COST 0.3
/* A new connection costs a round trip, and endpoints bound their number. */
#define CONNECT_COST 1.2
/* Failing endpoints look quick; a failure costs the whole request. */
#define FAILING_COST 6.0
/* Callers' guesses of an answer's length are often off by this factor. */
#define LENGTH_HINT_ERROR_FACTOR 2.0
/* A mean pause this much below the goal leaves headroom for prompts in between. */
#define GAP_MARGIN 1.3
/*
 * An answer that takes so many goals longer than usual waits for another
 * slot.
 */
#define SLOT_TIME_EXCESS_OBJECTIVES 2.0
/* Used when no answer has been seen: microseconds to a first answer. */
#define FIRST_EVENT_DEFAULT_US 50000.0

uint32_t placement_in_flight_limit(const registry_service_t *service,
				   const registry_endpoint_t *endpoint)
{
	return endpoint->slots + (service->queues_requests
					  ? PLAIN_EXTRA_IN_FLIGHT
					  : ENGINE_EXTRA_IN_FLIGHT);
}

static uint32_t capacity(const registry_service_t *service,
			 const registry_endpoint_t *endpoint,
			 const placement_request_t *request)
{
	if (request->may_queue)
		return UINT32_MAX;
	return placement_in_flight_limit(service, endpoint);
}

static uint32_t in_flight(const registry_endpoint_t *endpoint)
{
	return endpoint->running + endpoint->remote_running;
}

static bool contains(const pimento_id_t *keys, uint32_t count, pimento_id_t key)
{
	for (uint32_t i = 0; i < count; i++)
		if (keys[i] == key)
			return true;
	return false;
}

/* True if the request is not to be sent there, or asks there already. */
static bool is_excluded(const placement_request_t *request, pimento_id_t key)
{
	return contains(request->tried, request->tried_count, key) ||
	       contains(request->queued_at, request->queued_at_count, key);
}

static bool same_text(const char *a, const char *b)
{
	while (*a && *a == *b) {
		a++;
		b++;
	}
	return *a == *b;
}

/* A number in [0, 1) that differs by request and endpoint. */
static double random_fraction(uint64_t random_bits, pimento_id_t key)
{
	uint64_t hash = (random_bits ^ key) * 0x9e3779b97f4a7c15u;

	return (double)(hash >> 40) / (double)(1u << 24);
}

/* Span to the first event, as the endpoint's pace and queue let expect. */
static double expected_first_event(const registry_endpoint_t *endpoint,
				   const registry_service_t *service,
				   const placement_request_t *request)
{
	uint32_t ahead = endpoint->pending_prompt_tokens +
			 endpoint->remote_prompt_tokens;
	double first = latency_expected_first_event(
		&endpoint->latency, &service->latency,
		request->prompt_tokens + ahead);

	if (!request->engine_stream && endpoint->latency.first_event_us > 0)
		first = endpoint->latency.first_event_us;
	return first > 0 ? first : FIRST_EVENT_DEFAULT_US;
}

/* Expected span until the answer is whole. */
static double expected_completion(const registry_endpoint_t *endpoint,
				  const registry_service_t *service,
				  const placement_request_t *request)
{
	return expected_first_event(endpoint, service, request) +
	       latency_expected_stream_time(&endpoint->latency,
					    &service->latency,
					    request->answer_tokens);
}

/* True if a stream's pauses are expected to be short enough. */
static bool meets_gap_objective(const registry_endpoint_t *endpoint,
				const registry_service_t *service,
				const placement_request_t *request)
{
	double gap =
		latency_expected_gap(&endpoint->latency, &service->latency);

	/* one that is late anyway finds out whether pauses are still long */
	return !request->gap_objective || request->overdue ||
	       gap * GAP_MARGIN <= (double)request->gap_objective;
}

/*
 * True if the answer would hold a slot there far longer than elsewhere, while
 * short answers, which could be on time there, are turned away.
 */
static bool exceeds_slot_time(const registry_endpoint_t *endpoint,
			      const registry_service_t *service,
			      const placement_request_t *request)
{
	const latency_model_t average = { 0 };
	double longer =
		latency_expected_stream_time(&endpoint->latency,
					     &service->latency,
					     request->answer_tokens) -
		latency_expected_stream_time(&average, &service->latency,
					     request->answer_tokens);

	return request->objective && !request->overdue &&
	       longer >
		       SLOT_TIME_EXCESS_OBJECTIVES * (double)request->objective;
}

/*
 * True if the answer would begin too late there though the request can still
 * be on time: a slot that falls free elsewhere a little later is in time.
 */
static bool misses_first_event(const registry_endpoint_t *endpoint,
			       const registry_service_t *service,
			       const placement_request_t *request)
{
	return !request->overdue && request->first_event_within > 0 &&
	       expected_first_event(endpoint, service, request) >
		       (double)request->first_event_within;
}

/* How well an endpoint fits a request; better ones come first. */
typedef enum fit {
	FIT_EXCEEDS_TIMEOUT, /* the caller leaves long before the end */
	FIT_MARGINAL, /* it may be whole in time, or will be late */
	FIT_GOOD
} fit_t;

/*
 * A long answer on slow hardware is cut at the caller's deadline after it
 * held a slot for all that time. Callers' guesses of its length are often
 * wrong, so one that fits nowhere is still tried where it is least hopeless.
 */
static fit_t endpoint_fit(const registry_endpoint_t *endpoint,
			  const registry_service_t *service,
			  const placement_request_t *request)
{
	double completion;

	if (!request->engine_stream)
		return FIT_GOOD;
	completion = expected_completion(endpoint, service, request);
	if (completion > LENGTH_HINT_ERROR_FACTOR * (double)request->time_left)
		return FIT_EXCEEDS_TIMEOUT;
	if (completion > (double)request->time_left ||
	    !meets_gap_objective(endpoint, service, request) ||
	    exceeds_slot_time(endpoint, service, request) ||
	    misses_first_event(endpoint, service, request))
		return FIT_MARGINAL;
	return FIT_GOOD;
}

static double cost(const registry_endpoint_t *endpoint,
		   const registry_service_t *service,
		   const placement_request_t *request)
{
	double load = (double)in_flight(endpoint) /
		      (double)(endpoint->slots ? endpoint->slots : 1);
	double first = expected_first_event(endpoint, service, request);

	first *= 1 + LOAD_COST * load;
	first *= 1 + QUEUED_COST * (double)endpoint->report.waiting;
	if (endpoint->report.unreachable)
		first *= UNREACHABLE_COST;
	first *= 1 + FAILING_COST * endpoint->latency.failure_rate;
	first *= 1 + RANDOM_COST * random_fraction(request->random_bits,
						   endpoint->key);
	if (!endpoint->idle_connections)
		first *= 1 + CONNECT_COST;
	if (!same_text(endpoint->datacentre, request->datacentre))
		first *= 1 + REMOTE_DATACENTRE_COST;
	return first;
}

/* What a walk over the endpoints finds. */
typedef struct choice {
	registry_endpoint_t *best;
	double cost;
	registry_endpoint_t *ejected_idle; /* ejected, with nothing to do */
	bool any_untried; /* that was not tried */
	bool any_not_ejected; /* that is not ejected */
	fit_t best_fit; /* the best of a sound one, full or not */
} choice_t;

/* An owner that does not answer keeps no queue to wait in. */
static bool cannot_queue_at(const registry_endpoint_t *endpoint,
			    const placement_request_t *request,
			    pimento_usec_t now)
{
	return request->may_queue && endpoint->owner_unresponsive_until > now;
}

static void consider_endpoint(choice_t *choice, registry_endpoint_t *endpoint,
			      const registry_service_t *service,
			      const placement_request_t *request,
			      pimento_usec_t now)
{
	fit_t fit;
	double endpoint_cost;

	choice->any_untried = true;
	if (endpoint->latency.ejected_until > now) {
		if (endpoint->running == 0)
			choice->ejected_idle = endpoint;
		return;
	}
	choice->any_not_ejected = true;
	fit = endpoint_fit(endpoint, service, request);
	if (fit > choice->best_fit) {
		/* those seen so far fit worse: they are no choice any more */
		choice->best_fit = fit;
		choice->best = NULL;
		choice->cost = INFINITY;
	}
	if (fit < choice->best_fit || cannot_queue_at(endpoint, request, now) ||
	    in_flight(endpoint) >= capacity(service, endpoint, request))
		return;
	endpoint_cost = cost(endpoint, service, request);
	if (endpoint_cost < choice->cost) {
		choice->cost = endpoint_cost;
		choice->best = endpoint;
	}
}

placement_result_t placement_choose(registry_t *registry,
				    const placement_request_t *request,
				    pimento_usec_t now,
				    registry_endpoint_t **endpoint)
{
	registry_service_t *service =
		registry_get_service(registry, request->service);
	choice_t choice = { .cost = INFINITY };

	for (uint32_t i = 0; service && i < registry->count; i++) {
		registry_endpoint_t *e = registry->endpoints[i];

		if (e->service == request->service &&
		    registry_endpoint_accepts_work(e, now) &&
		    !is_excluded(request, e->key))
			consider_endpoint(&choice, e, service, request, now);
	}
	*endpoint = choice.any_not_ejected ? choice.best : choice.ejected_idle;
	if (*endpoint)
		return PLACEMENT_FOUND;
	return choice.any_untried ? PLACEMENT_FULL : PLACEMENT_NONE;
}

bool placement_accepts_grant(registry_t *registry,
			     const placement_request_t *request,
			     const registry_endpoint_t *endpoint,
			     pimento_usec_t now)
{
	const registry_service_t *service =
		registry_get_service(registry, request->service);
	fit_t fit;

	if (!service)
		return true;
	fit = endpoint_fit(endpoint, service, request);
	for (uint32_t i = 0; fit < FIT_GOOD && i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		if (e->service == request->service &&
		    registry_endpoint_accepts_work(e, now) &&
		    e->latency.ejected_until <= now &&
		    !contains(request->tried, request->tried_count, e->key) &&
		    endpoint_fit(e, service, request) > fit)
			return false;
	}
	return true;
}

placement_headroom_t placement_headroom(const registry_t *registry,
					pimento_id_t service,
					pimento_usec_t now)
{
	placement_headroom_t headroom = { 0, 0 };

	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		if (e->service != service ||
		    !registry_endpoint_accepts_work(e, now))
			continue;
		headroom.capacity += e->slots;
		headroom.in_flight += in_flight(e);
	}
	return headroom;
}
