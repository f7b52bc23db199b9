/*
 * Model engines admit requests in order of arrival. While no endpoint has a
 * free slot, requests therefore wait in this process, where a more urgent one
 * can still overtake them. Counts of other hosts' requests in flight are as old
 * as the last report; a random part of the cost spreads hosts that see the same
 * free slot.
 */

#include "placement.h"

#include "slow_start.h"

#include <math.h>

/*
 * Requests in flight at an engine beyond its slots: they fill a slot that falls
 * free while the report of it and the next request are still on their way.
 */
#define ENGINE_EXTRA_IN_FLIGHT 1

/*
 * Requests in flight at a plain service beyond its slots. Its answers are short,
 * so that more slots fall free than at an engine while a report and the next
 * request are on their way.
 */
#define PLAIN_EXTRA_IN_FLIGHT 3

/*
 * Added cost of a full batch over an empty one, as a fraction of the expected
 * time to the first event.
 */
#define LOAD_COST 0.8
/*
 * Cost factor of an endpoint that could not be reached. It has little in flight
 * and would look idle; a longer wait at another endpoint is preferable.
 */
#define UNREACHABLE_COST 5.0
/* Fraction added to the cost for each request in the endpoint's wait queue. */
#define QUEUED_COST 0.3
/* Largest fraction that is added to the cost at random. */
#define RANDOM_COST 0.15
/*
 * Fraction added to the cost of an endpoint in another data centre, for the
 * latency and the traffic between data centres.
 */
#define REMOTE_DATACENTRE_COST 0.3
/*
 * Fraction added to the cost if a new connection is needed: it takes a round
 * trip, and endpoints limit the number of connections.
 */
#define CONNECT_COST 1.2
/*
 * Fraction added to the cost at a failure rate of 1, and in proportion at lower
 * rates. Endpoints that fail look fast, while a failure costs the whole
 * request.
 */
#define FAILING_COST 6.0
/* Callers' estimates of the answer's length are often off by this factor. */
#define LENGTH_HINT_ERROR_FACTOR 2.0
/*
 * The mean gap between events of a stream must be below the gap objective by
 * this factor, as headroom for prompts that the engine processes in between.
 */
#define GAP_MARGIN 1.3
/*
 * Cost factor of an endpoint in slow start, or with a stated limit: it answers
 * more slowly, and few requests may begin there.
 */
#define BOUNDED_COST 1.5
/*
 * Fraction added to the cost of an endpoint that is reached through a peer, for
 * the peer's work and the way there.
 */
#define TUNNEL_COST 0.5
/*
 * Short answers go to slow endpoints from the time on when this part of the
 * other slots is taken.
 */
#define SHORT_OF_FAST_TAKEN 0.8
/* Factor by which a slow endpoint is preferred then, slowness apart. */
#define SLOW_PREFERENCE 4.0
/* Assumed time to the first event while no answer has been seen. */
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

static uint32_t total_in_flight(const registry_endpoint_t *endpoint)
{
	return endpoint->running + endpoint->remote_running;
}

static bool contains_key(const pimento_id_t *keys, uint32_t count,
			 pimento_id_t key)
{
	for (uint32_t i = 0; i < count; i++)
		if (keys[i] == key)
			return true;
	return false;
}

/*
 * True if the request was already sent to the endpoint of this key, or waits in
 * its queue.
 */
static bool is_excluded(const placement_request_t *request, pimento_id_t key)
{
	return contains_key(request->tried, request->tried_count, key) ||
	       contains_key(request->queued_at, request->queued_at_count, key);
}

static bool strings_equal(const char *a, const char *b)
{
	while (*a && *a == *b) {
		a++;
		b++;
	}
	return *a == *b;
}

/* True if the request may run in the endpoint's region. */
static bool allows_region(const placement_request_t *request,
			  const registry_endpoint_t *endpoint)
{
	const catalog_regions_t *lists[] = { request->route_regions,
					     request->account_regions };

	for (int i = 0; i < 2; i++)
		if (lists[i] &&
		    !catalog_allows_region(lists[i], endpoint->region))
			return false;
	return true;
}

/* A number in [0, 1) that differs by request and endpoint. */
static double random_fraction(uint64_t random_bits, pimento_id_t key)
{
	uint64_t hash = (random_bits ^ key) * 0x9e3779b97f4a7c15u;

	return (double)(hash >> 40) / (double)(1u << 24);
}

/* Prompt tokens that the endpoint processes before the request's first event. */
static uint32_t tokens_until_first_event(const registry_endpoint_t *endpoint,
					 const placement_request_t *request)
{
	return request->prompt_tokens + endpoint->pending_prompt_tokens +
	       endpoint->remote_prompt_tokens;
}

/*
 * Expected time to the first event in microseconds, from the endpoint's latency
 * model and the prompt tokens that it has yet to process.
 */
static double expected_first_event(const registry_endpoint_t *endpoint,
				   const registry_service_t *service,
				   const placement_request_t *request)
{
	double first = latency_expected_first_event(
		&endpoint->latency, &service->latency,
		tokens_until_first_event(endpoint, request));

	if (!request->engine_stream && endpoint->latency.first_event_us > 0)
		first = endpoint->latency.first_event_us;
	return first > 0 ? first : FIRST_EVENT_DEFAULT_US;
}

/* Expected time until the answer is complete, in microseconds. */
static double expected_completion(const registry_endpoint_t *endpoint,
				  const registry_service_t *service,
				  const placement_request_t *request)
{
	return expected_first_event(endpoint, service, request) +
	       latency_expected_stream_time(&endpoint->latency,
					    &service->latency,
					    request->answer_tokens);
}

/*
 * Time within which the answer is complete in nine of ten cases, in
 * microseconds.
 */
static double p90_completion(const registry_endpoint_t *endpoint,
			     const registry_service_t *service,
			     const placement_request_t *request)
{
	return expected_first_event(endpoint, service, request) +
	       latency_p90_events(&service->latency, request->answer_tokens) *
		       latency_expected_gap(&endpoint->latency,
					    &service->latency);
}

/* True if the expected gap between events meets the stream's gap objective. */
static bool meets_gap_objective(const registry_endpoint_t *endpoint,
				const registry_service_t *service,
				const placement_request_t *request)
{
	double gap =
		latency_expected_gap(&endpoint->latency, &service->latency);

	/* overdue requests are let through: they show if the gaps are still long */
	return !request->gap_objective || request->overdue ||
	       gap * GAP_MARGIN <= (double)request->gap_objective;
}

/*
 * True if the answer of this endpoint would begin too late although the request
 * can still meet its objective: a slot that falls free at another endpoint a
 * little later would do.
 */
static bool misses_first_event_objective(const registry_endpoint_t *endpoint,
					 const registry_service_t *service,
					 const placement_request_t *request)
{
	double first = latency_typical_first_event(
		&endpoint->latency, &service->latency,
		tokens_until_first_event(endpoint, request));

	if (!request->engine_stream)
		first = expected_first_event(endpoint, service, request);
	return !request->overdue && request->first_event_within > 0 &&
	       first > (double)request->first_event_within;
}

/* How well an endpoint fits a request; a greater value is better. */
typedef enum fit {
	/* the caller times out long before the answer is complete */
	FIT_EXCEEDS_TIMEOUT,
	/* the answer may be incomplete at the time-out or miss an objective */
	FIT_MARGINAL,
	/* an answer that is longer than expected may be incomplete */
	FIT_TIGHT,
	FIT_GOOD
} fit_t;

/*
 * A long answer on slow hardware is cut off at the caller's deadline after it
 * has held a slot for all that time. Callers' estimates of its length are often
 * wrong, so a request that fits no endpoint still goes to the one with the best
 * fit.
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
	    misses_first_event_objective(endpoint, service, request))
		return FIT_MARGINAL;
	if (p90_completion(endpoint, service, request) >
	    (double)request->time_left)
		return FIT_TIGHT;
	return FIT_GOOD;
}

static double placement_cost(const registry_endpoint_t *endpoint,
			     const registry_service_t *service,
			     const placement_request_t *request)
{
	double load = (double)total_in_flight(endpoint) /
		      (double)(endpoint->slots ? endpoint->slots : 1);
	double first = expected_first_event(endpoint, service, request);

	first *= 1 + LOAD_COST * load;
	first *= 1 + QUEUED_COST * (double)endpoint->report.waiting;
	if (endpoint->report.suspect)
		first *= UNREACHABLE_COST;
	first *= 1 + FAILING_COST * endpoint->latency.failure_rate;
	first *= 1 + RANDOM_COST * random_fraction(request->random_bits,
						   endpoint->key);
	if (!endpoint->idle_connections)
		first *= 1 + CONNECT_COST;
	if (!endpoint_path_allows_new(&endpoint->path))
		first *= 1 + TUNNEL_COST;
	if (!strings_equal(endpoint->datacentre, request->datacentre))
		first *= 1 + REMOTE_DATACENTRE_COST;
	return first;
}

/*
 * True if the request is to leave faster endpoints to others: the answer holds
 * its slot at this slow endpoint for no longer than the service's mean one.
 */
static bool is_short_at(const registry_endpoint_t *endpoint,
			const registry_service_t *service,
			const placement_request_t *request)
{
	return request->engine_stream && !request->overdue &&
	       !endpoint->report.suspect &&
	       !latency_endpoint_is_failing(&endpoint->latency,
					    &service->latency) &&
	       p90_completion(endpoint, service, request) <=
		       service->latency.slot_time_us;
}

/* True if this host should send nothing there. */
static bool is_ejected(const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	return endpoint->latency.ejected_until > now ||
	       endpoint_path_is_blocked(&endpoint->path) ||
	       backoff_blocks(&endpoint->backoff, now);
}

/* State of the search over the endpoints. */
typedef struct choice {
	registry_endpoint_t *best;
	double cost; /* placement_cost() of best */
	/*
	 * a bounded endpoint with a free slot, whose owner does not
	 * count this host's requests before they are sent: many hosts would
	 * choose it at once
	 */
	registry_endpoint_t *unguarded;
	/* a bounded endpoint whose owner has just refused */
	registry_endpoint_t *refused;
	bool any_other; /* one that is neither of these, full or not */
	/* an ejected endpoint where this host has no request in flight */
	registry_endpoint_t *ejected_idle;
	bool any_untried; /* there is a usable endpoint that was not tried */
	bool any_excluded; /* one that was tried, or in whose queue it waits */
	bool any_evacuated;
	bool any_in_other_region;
	bool any_not_ejected; /* one of the untried endpoints is not ejected */
	/* few slots of endpoints that are not slow are free */
	bool short_of_fast;
	/* best fit among the endpoints that are not ejected, full or not */
	fit_t best_fit;
} choice_t;

/* By what the cost of an endpoint is divided for short answers. */
static double slow_preference(const registry_endpoint_t *endpoint,
			      const registry_service_t *service)
{
	double slowness =
		latency_slowness(&endpoint->latency, &service->latency);

	if (!latency_is_slow(&endpoint->latency, &service->latency))
		return 1;
	return SLOW_PREFERENCE * slowness * slowness;
}

/* True if most slots of the endpoints that are not slow are taken. */
static bool is_short_of_fast(const registry_t *registry,
			     const registry_service_t *service,
			     pimento_usec_t now)
{
	uint32_t slots = 0;
	uint32_t taken = 0;

	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		if (e->service != service->key ||
		    !registry_endpoint_accepts_work(e, now) ||
		    is_ejected(e, now) ||
		    latency_is_slow(&e->latency, &service->latency))
			continue;
		slots += e->slots;
		taken += total_in_flight(e);
	}
	return (double)taken >= SHORT_OF_FAST_TAKEN * (double)slots;
}

/*
 * True if the request needs a wait queue and the owner that keeps it does not
 * answer.
 */
static bool cannot_queue_at(const registry_endpoint_t *endpoint,
			    const placement_request_t *request,
			    pimento_usec_t now)
{
	return request->may_queue && endpoint->owner_unresponsive_until > now;
}

static bool is_unguarded(const registry_endpoint_t *endpoint,
			 const placement_request_t *request, pimento_usec_t now)
{
	return request->unowned || endpoint->owner_unresponsive_until > now;
}

/* True if the requests that begin there are bounded, over all hosts. */
static bool is_bounded(registry_t *registry,
		       const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	return slow_start_applies(registry, endpoint, now) ||
	       rate_limit_applies(&endpoint->rate_limit, now);
}

static bool needs_owner(registry_t *registry,
			const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	return slow_start_needs_owner(registry, endpoint, now) ||
	       rate_limit_applies(&endpoint->rate_limit, now);
}

/* True if only the endpoint's owner may let the request begin there. */
static bool awaits_owner(registry_t *registry, registry_endpoint_t *endpoint,
			 const placement_request_t *request, pimento_usec_t now)
{
	if (!is_unguarded(endpoint, request, now) ||
	    !needs_owner(registry, endpoint, now))
		return false;
	return !request->alone ||
	       !slow_start_may_begin(registry, endpoint, now) ||
	       !rate_limit_may_begin(
		       &endpoint->rate_limit,
		       registry_owner_share(registry, endpoint, now), now);
}

static void consider_endpoint(choice_t *choice, registry_endpoint_t *endpoint,
			      const registry_service_t *service,
			      const placement_request_t *request, bool bounded,
			      pimento_usec_t now)
{
	uint32_t limit = capacity(service, endpoint, request);
	fit_t fit;
	double endpoint_cost;

	if (endpoint_path_is_blocked(&endpoint->path))
		return; /* a probe tells when it is back */
	if (backoff_blocks(&endpoint->backoff, now))
		return;
	if (is_ejected(endpoint, now)) {
		if (endpoint->running == 0)
			choice->ejected_idle = endpoint;
		return;
	}
	choice->any_not_ejected = true;
	if (bounded && endpoint->refused_until > now) {
		choice->refused = endpoint;
		return;
	}
	if (bounded && !request->alone &&
	    is_unguarded(endpoint, request, now)) {
		if (total_in_flight(endpoint) < limit &&
		    !cannot_queue_at(endpoint, request, now))
			choice->unguarded = endpoint;
		return;
	}
	choice->any_other = true;
	fit = endpoint_fit(endpoint, service, request);
	if (fit > choice->best_fit) {
		/* this endpoint fits better than all before: drop those */
		choice->best_fit = fit;
		choice->best = NULL;
		choice->cost = INFINITY;
	}
	if (fit < choice->best_fit || cannot_queue_at(endpoint, request, now) ||
	    total_in_flight(endpoint) >= limit)
		return;
	endpoint_cost = placement_cost(endpoint, service, request);
	if (choice->short_of_fast && fit == FIT_GOOD &&
	    is_short_at(endpoint, service, request))
		endpoint_cost /= slow_preference(endpoint, service);
	if (bounded)
		endpoint_cost *= BOUNDED_COST;
	if (endpoint_cost < choice->cost) {
		choice->cost = endpoint_cost;
		choice->best = endpoint;
	}
}

/* True if the request may be sent to the endpoint, now or when it has a slot. */
static bool may_use(choice_t *choice, const registry_endpoint_t *endpoint,
		    const placement_request_t *request, pimento_usec_t now)
{
	bool evacuated = registry_endpoint_is_evacuated(endpoint, now);

	if (endpoint->service != request->service ||
	    (!evacuated && !registry_endpoint_accepts_work(endpoint, now)))
		return false;
	if (!allows_region(request, endpoint)) {
		choice->any_in_other_region = true;
		return false;
	}
	if (evacuated) {
		choice->any_evacuated = true;
		return false;
	}
	if (is_excluded(request, endpoint->key)) {
		choice->any_excluded = true;
		return false;
	}
	choice->any_untried = true;
	return true;
}

/* Why no endpoint was chosen. */
static placement_result_t explain_none(const choice_t *choice)
{
	if (choice->any_untried)
		return PLACEMENT_FULL;
	if (choice->any_excluded)
		return PLACEMENT_NONE;
	if (choice->any_evacuated)
		return PLACEMENT_EVACUATED;
	return choice->any_in_other_region ? PLACEMENT_NO_REGION
					   : PLACEMENT_NONE;
}

placement_result_t placement_choose(registry_t *registry,
				    const placement_request_t *request,
				    pimento_usec_t now,
				    registry_endpoint_t **endpoint)
{
	registry_service_t *service =
		registry_get_service(registry, request->service);
	choice_t choice = { .cost = INFINITY };

	if (service && request->engine_stream)
		choice.short_of_fast = is_short_of_fast(registry, service, now);
	for (uint32_t i = 0; service && i < registry->count; i++) {
		registry_endpoint_t *e = registry->endpoints[i];

		if (may_use(&choice, e, request, now) &&
		    !awaits_owner(registry, e, request, now))
			consider_endpoint(&choice, e, service, request,
					  is_bounded(registry, e, now), now);
	}
	*endpoint = choice.best;
	if (!choice.any_not_ejected)
		*endpoint = choice.ejected_idle;
	else if (!*endpoint)
		*endpoint = choice.unguarded;
	if (!*endpoint && !choice.any_other)
		*endpoint = choice.refused;
	return *endpoint ? PLACEMENT_FOUND : explain_none(&choice);
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
		    allows_region(request, e) && !is_ejected(e, now) &&
		    !contains_key(request->tried, request->tried_count,
				  e->key) &&
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
		    backoff_is_active(&e->backoff, now) ||
		    !registry_endpoint_accepts_work(e, now))
			continue;
		headroom.capacity += e->slots;
		headroom.in_flight += total_in_flight(e);
	}
	return headroom;
}

pimento_usec_t placement_backoff_end(const registry_t *registry,
				     pimento_id_t service, pimento_usec_t now)
{
	pimento_usec_t first = 0;

	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		if (e->service != service ||
		    !registry_endpoint_accepts_work(e, now))
			continue;
		if (!backoff_is_active(&e->backoff, now))
			return 0;
		if (!first || e->backoff.until < first)
			first = e->backoff.until;
	}
	return first;
}

placement_view_t placement_view(registry_t *registry, pimento_id_t service,
				pimento_usec_t now)
{
	const registry_service_t *found =
		registry_get_service(registry, service);
	placement_view_t view = { 0 };

	for (uint32_t i = 0; found && i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		if (e->service != service ||
		    !registry_endpoint_accepts_work(e, now))
			continue;
		view.endpoints++;
		if (is_ejected(e, now))
			view.ejected++;
		else if (total_in_flight(e) >=
			 placement_in_flight_limit(found, e))
			view.full++;
	}
	return view;
}
