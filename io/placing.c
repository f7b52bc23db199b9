/*
 * Finds places for the requests that wait. With one host there is nobody to
 * agree with. With several, the owner of an engine counts its places: it is
 * told of a request that goes to a calm engine, and asked where places are
 * scarce. It is never waited for beyond a few milliseconds.
 */

#include "exchange.h"

#include "sys.h"

/*
 * An owner answers within some milliseconds. One that has not after this is
 * frozen, cut off or gone: a request goes by this host's own view then, and
 * the owner is not asked for a while.
 */
#define ASK_SILENT (40 * PIMENTO_MSEC)
#define OWNER_SILENT (1 * PIMENTO_SEC)
/* Waits so long in one endpoint's line before it looks for a better one. */
#define ASK_MOST (150 * PIMENTO_MSEC)
/* The owner forgets the ask this much later, should the release be lost. */
#define ASK_MARGIN (100 * PIMENTO_MSEC)
/* Requests of one service in line at owners; the others wait here. */
#define ASKS_AT_ONCE 16

/* Events of a stream whose mean pause says something of the endpoint. */
#define EVENTS_TO_JUDGE 4

/* Mean pause between the events of this attempt; 0 if there were too few. */
static pimento_usec_t mean_gap(const exchange_t *x)
{
	uint32_t events = x->events.count - x->events_before;

	if (events < EVENTS_TO_JUDGE || x->event_at <= x->first_event_at)
		return 0;
	return (x->event_at - x->first_event_at) / (events - 1);
}

void placing_unask(exchange_t *x)
{
	directory_endpoint_t *endpoint = x->asked;

	if (!x->ticket)
		return;
	if (x->state == EXCHANGE_WAITING)
		x->service->asks--;
	slots_release(x->gateway->slots, endpoint,
		      &(packet_release_t){ .ticket = x->ticket,
					   .gap_us = (uint32_t)mean_gap(x),
					   .unreached = x->unreached },
		      sys_now());
	x->unreached = false;
	endpoint->holders--;
	x->ticket = 0;
	x->asked = NULL;
}

static void ask(exchange_t *x, directory_endpoint_t *endpoint, bool sure,
		pimento_usec_t now)
{
	grants_ask_t question = { .ticket = gateway_draw(x->gateway) | 1,
				  .rank = x->wait.rank,
				  .late = x->wait.late,
				  .sure = sure,
				  .wait = ASK_MOST + ASK_MARGIN };

	endpoint->holders++;
	x->ticket = question.ticket;
	x->asked = endpoint;
	x->asked_at = now;
	x->in_line = false;
	x->given = false;
	x->service->asks++;
	x->gateway->asking = x;
	slots_ask(x->gateway->slots, endpoint, &question, now);
	x->gateway->asking = NULL;
}

/* True if places of this endpoint are to be asked for. */
static bool is_owned(const exchange_t *x, const directory_endpoint_t *endpoint,
		     pimento_usec_t now)
{
	return x->engine && roster_hosts(x->gateway->roster, now) > 1 &&
	       endpoint->owner_silent_until <= now;
}

static placement_verdict_t place(exchange_t *x, bool in_line,
				 pimento_usec_t now,
				 directory_endpoint_t **endpoint)
{
	gateway_t *gateway = x->gateway;
	placement_request_t request = {
		.service = x->service->key,
		.prompt = x->call.prompt,
		.answer = x->call.expected,
		.left = x->end - now,
		.gap_goal = x->route->gap_goal,
		.engine = x->engine,
		.late = x->wait.late,
		.in_line = in_line,
		.datacentre = gateway->datacentre,
		.tried = x->tried,
		.tried_count = x->tried_count,
		.draw = x->draw,
	};

	return placement_choose(gateway->directory, &request, now, endpoint);
}

/* The endpoints that were tried may be tried again, if nothing has run. */
static void no_more_endpoints(exchange_t *x)
{
	if (x->runs && !x->tried_all) {
		/* it may be repeated, and only those that failed are left */
		x->tried_all = true;
		x->tried_count = 0;
		return;
	}
	if (x->runs)
		exchange_fail(x, HTTP_STATUS_BAD_GATEWAY, "endpoints_failed");
	else
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE,
				"endpoints_full");
}

/* What became of a request that waits. */
typedef enum step {
	STEP_STAYS, /* for want of a place */
	STEP_ASKS, /* an owner was asked */
	STEP_MOVED /* it has left the line */
} step_t;

static step_t ask_for_place(exchange_t *x, directory_endpoint_t *endpoint,
			    pimento_usec_t now)
{
	ask(x, endpoint, false, now);
	if (!x->given)
		return STEP_ASKS;
	dispatch_begin(x, endpoint);
	return STEP_MOVED;
}

/* A place that looks free: takes it, or asks its owner if that is uncertain. */
static step_t take_place(exchange_t *x, directory_endpoint_t *endpoint,
			 pimento_usec_t now)
{
	bool owned = is_owned(x, endpoint, now);

	if (owned && !placement_is_calm(endpoint))
		return ask_for_place(x, endpoint, now);
	if (owned)
		ask(x, endpoint, true, now);
	dispatch_begin(x, endpoint);
	return STEP_MOVED;
}

/* No place looks free: waits in the line of the best endpoint. */
static step_t stand_in_line(exchange_t *x, pimento_usec_t now)
{
	directory_endpoint_t *endpoint = NULL;

	if (!x->engine || place(x, true, now, &endpoint) != PLACEMENT_FOUND ||
	    !is_owned(x, endpoint, now))
		return STEP_STAYS;
	return ask_for_place(x, endpoint, now);
}

static step_t step(exchange_t *x, pimento_usec_t now)
{
	directory_endpoint_t *endpoint = NULL;

	switch (place(x, false, now, &endpoint)) {
	case PLACEMENT_FOUND:
		return take_place(x, endpoint, now);
	case PLACEMENT_FULL:
		return stand_in_line(x, now);
	case PLACEMENT_NONE:
	default:
		if (!x->tried_count)
			return STEP_STAYS;
		no_more_endpoints(x);
		return STEP_MOVED;
	}
}

/* Returns true if a request has left the line, which is then looked at anew. */
static bool pump_once(gateway_service_t *service, pimento_usec_t now)
{
	for (waitline_item_t *item = service->line.first; item;
	     item = item->next) {
		exchange_t *x = (exchange_t *)item;
		bool first_try = !x->tried_count;
		step_t what;

		if (x->ticket)
			continue;
		if (service->asks >= ASKS_AT_ONCE)
			return false;
		what = step(x, now);
		if (what == STEP_MOVED)
			return true;
		if (what == STEP_STAYS && first_try)
			return false; /* those behind it find none either */
	}
	return false;
}

void placing_pump(gateway_t *gateway, gateway_service_t *service)
{
	if (gateway->pumping)
		return; /* the outer call goes on until nothing changes */
	gateway->pumping = true;
	while (pump_once(service, sys_now()))
		;
	gateway->pumping = false;
}

/* Ends an ask that was not answered, or has waited long enough. */
void placing_sweep(exchange_t *x, pimento_usec_t now)
{
	if (x->state != EXCHANGE_WAITING || !x->ticket)
		return;
	if (!x->in_line && now - x->asked_at > ASK_SILENT)
		x->asked->owner_silent_until = now + OWNER_SILENT;
	else if (now - x->asked_at < ASK_MOST)
		return;
	placing_unask(x);
}

static exchange_t *find_ticket(const gateway_t *gateway, uint64_t ticket)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next)
		if (x->ticket == ticket)
			return x;
	return NULL;
}

void gateway_replied(gateway_t *gateway, const packet_reply_t *reply)
{
	exchange_t *x = find_ticket(gateway, reply->ticket);
	pimento_usec_t now = sys_now();

	if (!x)
		return; /* over meanwhile, and released */
	x->in_line = true;
	directory_told(x->asked, &reply->word, now);
	if (!reply->granted || x->state != EXCHANGE_WAITING)
		return;
	if (x == gateway->asking) {
		x->given = true; /* this host is the owner */
		return;
	}
	if (directory_takes(x->asked, now))
		dispatch_begin(x, x->asked);
	else
		placing_unask(x);
}
