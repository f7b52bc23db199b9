/*
 * Engines admit in order of arrival, so requests wait here while no endpoint
 * has a free slot, where a more urgent one can still overtake. Counts of what
 * is in flight elsewhere are as old as the last report; a random part of the
 * cost spreads hosts that see the same free slot.
 */

#include "placement.h"

#include <math.h>

/* Sent ahead, to bridge the report of a free slot and the way to it. */
#define ENGINE_BEYOND 1

/* The same where answers are short and more slots fall free meanwhile. */
#define PLAIN_BEYOND 3

/* Cost of a full batch against an empty one, in parts of the first event. */
#define LOAD_COST 0.8
/* One that was not reached looks idle; the others are worth more of a wait. */
#define DOUBT_COST 5.0
/* Cost of each request that waits in the endpoint's line. */
#define LINE_COST 0.3
/* Random part of the cost. */
#define SPREAD 0.15
/* An endpoint in another data centre: latency, and bytes between them. */
#define FAR_COST 0.3
/* A new connection costs a round trip, and endpoints bound their number. */
#define CONNECT_COST 1.2
/* Failing endpoints look quick; a failure costs the whole request. */
#define FAILING_COST 6.0
/* Callers' guesses of an answer's length are often off by this factor. */
#define GUESS_OFF 2.0
/* A mean pause this much below the goal leaves room for prompts in between. */
#define GAP_MARGIN 1.3
/*
 * An answer that takes so many goals longer than usual waits for another
 * slot.
 */
#define GOALS_LONGER 2.0
/* Used when no answer has been seen: microseconds to a first answer. */
#define UNKNOWN_FIRST 50000.0

uint32_t placement_places(const directory_service_t *service,
			  const directory_endpoint_t *endpoint)
{
	return endpoint->slots +
	       (service->plain ? PLAIN_BEYOND : ENGINE_BEYOND);
}

static uint32_t places(const directory_service_t *service,
		       const directory_endpoint_t *endpoint,
		       const placement_request_t *request)
{
	if (request->in_line)
		return UINT32_MAX;
	return placement_places(service, endpoint);
}

static uint32_t in_flight(const directory_endpoint_t *endpoint)
{
	return endpoint->running + endpoint->elsewhere;
}

static bool has(const pimento_id_t *keys, uint32_t count, pimento_id_t key)
{
	for (uint32_t i = 0; i < count; i++)
		if (keys[i] == key)
			return true;
	return false;
}

/* True if the request is not to be sent there, or asks there already. */
static bool is_excluded(const placement_request_t *request, pimento_id_t key)
{
	return has(request->tried, request->tried_count, key) ||
	       has(request->asked, request->asked_count, key);
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
static double chance(uint64_t draw, pimento_id_t key)
{
	uint64_t mixed = (draw ^ key) * 0x9e3779b97f4a7c15u;

	return (double)(mixed >> 40) / (double)(1u << 24);
}

/* Span to the first event, as the endpoint's pace and queue let expect. */
static double expect_first(const directory_endpoint_t *endpoint,
			   const directory_service_t *service,
			   const placement_request_t *request)
{
	uint32_t ahead = endpoint->reading + endpoint->reading_elsewhere;
	double first = pace_expect(&endpoint->pace, &service->pace,
				   request->prompt + ahead);

	if (!request->engine && endpoint->pace.first > 0)
		first = endpoint->pace.first;
	return first > 0 ? first : UNKNOWN_FIRST;
}

/* Expected span until the answer is whole. */
static double expect_whole(const directory_endpoint_t *endpoint,
			   const directory_service_t *service,
			   const placement_request_t *request)
{
	return expect_first(endpoint, service, request) +
	       pace_rest_expect(&endpoint->pace, &service->pace,
				request->answer);
}

/* True if a stream's pauses are expected to be short enough. */
static bool flows(const directory_endpoint_t *endpoint,
		  const directory_service_t *service,
		  const placement_request_t *request)
{
	double gap = pace_gap_expect(&endpoint->pace, &service->pace);

	/* one that is late anyway finds out whether pauses are still long */
	return !request->gap_goal || request->late ||
	       gap * GAP_MARGIN <= (double)request->gap_goal;
}

/*
 * True if the answer would hold a slot there far longer than elsewhere, while
 * short answers, which could be on time there, are turned away.
 */
static bool is_dear(const directory_endpoint_t *endpoint,
		    const directory_service_t *service,
		    const placement_request_t *request)
{
	const pace_t average = { 0 };
	double longer =
		pace_rest_expect(&endpoint->pace, &service->pace,
				 request->answer) -
		pace_rest_expect(&average, &service->pace, request->answer);

	return request->goal && !request->late &&
	       longer > GOALS_LONGER * (double)request->goal;
}

/*
 * True if the answer would begin too late there though the request can still
 * be on time: a slot that falls free elsewhere a little later is in time.
 */
static bool begins_late(const directory_endpoint_t *endpoint,
			const directory_service_t *service,
			const placement_request_t *request)
{
	return !request->late && request->begin_within > 0 &&
	       expect_first(endpoint, service, request) >
		       (double)request->begin_within;
}

/* How well an endpoint fits a request; better ones come first. */
typedef enum fit {
	FIT_HOPELESS, /* the caller leaves long before the end */
	FIT_POSSIBLE, /* it may be whole in time, or will be late */
	FIT_GOOD
} fit_t;

/*
 * A long answer on slow hardware is cut at the caller's deadline after it
 * held a slot for all that time. Callers' guesses of its length are often
 * wrong, so one that fits nowhere is still tried where it is least hopeless.
 */
static fit_t fit_of(const directory_endpoint_t *endpoint,
		    const directory_service_t *service,
		    const placement_request_t *request)
{
	double whole;

	if (!request->engine)
		return FIT_GOOD;
	whole = expect_whole(endpoint, service, request);
	if (whole > GUESS_OFF * (double)request->left)
		return FIT_HOPELESS;
	if (whole > (double)request->left ||
	    !flows(endpoint, service, request) ||
	    is_dear(endpoint, service, request) ||
	    begins_late(endpoint, service, request))
		return FIT_POSSIBLE;
	return FIT_GOOD;
}

static double cost(const directory_endpoint_t *endpoint,
		   const directory_service_t *service,
		   const placement_request_t *request)
{
	double load = (double)in_flight(endpoint) /
		      (double)(endpoint->slots ? endpoint->slots : 1);
	double first = expect_first(endpoint, service, request);

	first *= 1 + LOAD_COST * load;
	first *= 1 + LINE_COST * (double)endpoint->told.waiting;
	if (endpoint->told.doubtful)
		first *= DOUBT_COST;
	first *= 1 + FAILING_COST * endpoint->pace.failing;
	first *= 1 + SPREAD * chance(request->draw, endpoint->key);
	if (!endpoint->idle_connections)
		first *= 1 + CONNECT_COST;
	if (!same_text(endpoint->datacentre, request->datacentre))
		first *= 1 + FAR_COST;
	return first;
}

/* What a walk over the endpoints finds. */
typedef struct choice {
	directory_endpoint_t *best;
	double cost;
	directory_endpoint_t *trial; /* ejected, with nothing to do */
	bool any; /* that was not tried */
	bool sound; /* that is not ejected */
	fit_t fit; /* the best of a sound one, full or not */
} choice_t;

/* An owner that does not answer keeps no queue to wait in. */
static bool has_no_line(const directory_endpoint_t *endpoint,
			const placement_request_t *request, pimento_usec_t now)
{
	return request->in_line && endpoint->owner_silent_until > now;
}

static void consider(choice_t *choice, directory_endpoint_t *endpoint,
		     const directory_service_t *service,
		     const placement_request_t *request, pimento_usec_t now)
{
	fit_t fit;
	double c;

	choice->any = true;
	if (endpoint->pace.ejected_until > now) {
		if (endpoint->running == 0)
			choice->trial = endpoint;
		return;
	}
	choice->sound = true;
	fit = fit_of(endpoint, service, request);
	if (fit > choice->fit) {
		/* those seen so far fit worse: they are no choice any more */
		choice->fit = fit;
		choice->best = NULL;
		choice->cost = INFINITY;
	}
	if (fit < choice->fit || has_no_line(endpoint, request, now) ||
	    in_flight(endpoint) >= places(service, endpoint, request))
		return;
	c = cost(endpoint, service, request);
	if (c < choice->cost) {
		choice->cost = c;
		choice->best = endpoint;
	}
}

placement_verdict_t placement_choose(directory_t *directory,
				     const placement_request_t *request,
				     pimento_usec_t now,
				     directory_endpoint_t **endpoint)
{
	directory_service_t *service =
		directory_service(directory, request->service);
	choice_t choice = { .cost = INFINITY };

	for (uint32_t i = 0; service && i < directory->count; i++) {
		directory_endpoint_t *e = directory->endpoints[i];

		if (e->service == request->service && directory_takes(e, now) &&
		    !is_excluded(request, e->key))
			consider(&choice, e, service, request, now);
	}
	*endpoint = choice.sound ? choice.best : choice.trial;
	if (*endpoint)
		return PLACEMENT_FOUND;
	return choice.any ? PLACEMENT_FULL : PLACEMENT_NONE;
}

bool placement_suits(directory_t *directory, const placement_request_t *request,
		     const directory_endpoint_t *endpoint, pimento_usec_t now)
{
	const directory_service_t *service =
		directory_service(directory, request->service);
	fit_t fit;

	if (!service)
		return true;
	fit = fit_of(endpoint, service, request);
	for (uint32_t i = 0; fit < FIT_GOOD && i < directory->count; i++) {
		const directory_endpoint_t *e = directory->endpoints[i];

		if (e->service == request->service && directory_takes(e, now) &&
		    e->pace.ejected_until <= now &&
		    !has(request->tried, request->tried_count, e->key) &&
		    fit_of(e, service, request) > fit)
			return false;
	}
	return true;
}

placement_room_t placement_room(const directory_t *directory,
				pimento_id_t service, pimento_usec_t now)
{
	placement_room_t room = { 0, 0 };

	for (uint32_t i = 0; i < directory->count; i++) {
		const directory_endpoint_t *e = directory->endpoints[i];

		if (e->service != service || !directory_takes(e, now))
			continue;
		room.places += e->slots;
		room.taken += in_flight(e);
	}
	return room;
}
