/*
 * Finds slots for the requests that wait. With several hosts the owner of an
 * endpoint grants its slots; it is never waited for beyond a few milliseconds.
 */

#include "exchange.h"

#include "sys.h"

#include "../src/slow_start.h"

/* Bypass an owner that does not answer, for a while. */
#define ASK_SILENT (40 * PIMENTO_MSEC)
#define OWNER_SILENT (1 * PIMENTO_SEC)
/* Waits so long in one endpoint's line before it looks for a better one. */
#define ASK_MOST (150 * PIMENTO_MSEC)
/* The owner forgets the ask this much later, should the release be lost. */
#define ASK_MARGIN (100 * PIMENTO_MSEC)
/* Requests of one service in line at owners; the others wait here. */
#define ASKS_AT_ONCE 16

/* Before a stream tries the endpoints again that it was at. */
#define RETRY_PAUSE (100 * PIMENTO_MSEC)

/* Events of a stream whose mean pause is reported; short answers have few. */
#define EVENTS_TO_JUDGE 2

/*
 * Streams on an engine that turned slow end after seconds, in which its owner
 * would go on granting slots to long answers: report its pace after a few
 * events.
 */
#define NEWS_EVENTS 4
/* Paces this many times apart are news; prompts in between make some noise. */
#define NEWS_RATIO 1.5

/* Mean pause between the events of the attempt; 0 if there were too few. */
static pimento_usec_t mean_gap(const exchange_t *x, const attempt_t *attempt)
{
	uint32_t events = x->events.count - attempt->events_before;

	if (events < EVENTS_TO_JUDGE ||
	    attempt->event_at <= attempt->first_event_at)
		return 0;
	return (attempt->event_at - attempt->first_event_at) / (events - 1);
}

/*
 * Tells the owner that the place, or the wait for it, is over. This host may
 * be the owner and then gives places to others at once: they may end, and so
 * may the exchange that waited, if it still stood in other lines.
 */
static void release(slots_t *slots, const exchange_place_t *place,
		    packet_slot_release_t words)
{
	words.ticket = place->ticket;
	slots_release(slots, place->endpoint, &words, sys_now());
	place->endpoint->refs--;
}

void placing_give_back(exchange_t *x, attempt_t *attempt)
{
	exchange_place_t place = attempt->place;
	packet_slot_release_t words = { .gap_us =
						(uint32_t)mean_gap(x, attempt),
					.outcome = attempt->finding };

	attempt->place = (exchange_place_t){ 0 };
	if (place.ticket)
		release(x->gateway->slots, &place, words);
}

/* True if the owner of the place knows about the pace that was seen. */
static bool is_known(const exchange_t *x, pimento_usec_t gap)
{
	double told = x->attempt.place.endpoint->report.event_gap_us;

	return told > 0 && (double)gap < told * NEWS_RATIO &&
	       told < (double)gap * NEWS_RATIO;
}

void placing_tell_pace(exchange_t *x)
{
	pimento_usec_t gap = mean_gap(x, &x->attempt);
	packet_slot_release_t words = { .gap_us = (uint32_t)gap,
					.outcome = LATENCY_OUTCOME_ANSWERED };

	if (!x->attempt.place.ticket || x->attempt.told_pace || !gap ||
	    x->events.count - x->attempt.events_before < NEWS_EVENTS)
		return;
	x->attempt.told_pace = true;
	if (!is_known(x, gap))
		slots_release(x->gateway->slots, x->attempt.place.endpoint,
			      &words, sys_now());
}

/*
 * Leaves the queues of owners: one that has granted a slot meanwhile may grant it
 * to another request.
 */
static void release_all(slots_t *slots, const exchange_place_t *places,
			uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		release(slots, &places[i],
			(packet_slot_release_t){ .unused = true });
}

/* Out of the exchange's list; the owner is not told. */
static exchange_place_t take_line(exchange_t *x, uint32_t index)
{
	exchange_place_t line = x->lines[index];

	x->lines[index] = x->lines[--x->line_count];
	if (!x->line_count)
		x->service->asks--;
	return line;
}

/* The exchange may be over when this returns. */
static void leave_line(exchange_t *x, uint32_t index)
{
	slots_t *slots = x->gateway->slots;
	exchange_place_t line = take_line(x, index);

	release_all(slots, &line, 1);
}

/*
 * The lines are forgotten before the owners are told: this host may be one of
 * them, and would give a place to the request that is leaving.
 */
void placing_leave_lines(exchange_t *x)
{
	slots_t *slots = x->gateway->slots;
	exchange_place_t left[GRANTS_QUEUES_MAX];
	uint32_t count = 0;

	while (x->line_count)
		left[count++] = take_line(x, x->line_count - 1);
	release_all(slots, left, count);
}

/* It goes where it was given a place, and leaves all other lines. */
static void go(exchange_t *x, uint32_t index)
{
	x->attempt.place = take_line(x, index);
	x->attempt.granted = true;
	dispatch_begin(x, x->attempt.place.endpoint);
}

/* Until a request that can be on time is late; 0: it is, or has no goal. */
static pimento_usec_t late_in(const exchange_t *x, pimento_usec_t now)
{
	if (x->wait.overdue)
		return 0;
	if (x->wait.overdue_at < now + PIMENTO_MSEC)
		return PIMENTO_MSEC; /* the least that a packet tells */
	return x->wait.overdue_at - now;
}

/*
 * Asks for a place. Returns true if one was given at once, because this host
 * is the owner; x->given is its ticket.
 */
static bool ask(exchange_t *x, registry_endpoint_t *endpoint,
		pimento_usec_t now)
{
	gateway_t *gateway = x->gateway;
	bool pumping = gateway->pumping;
	grants_request_t question = { .ticket = gateway_draw(gateway) | 1,
				      .rank = x->wait.rank,
				      .overdue = x->wait.overdue,
				      .overdue_in = late_in(x, now),
				      .queue_timeout = ASK_MOST + ASK_MARGIN,
				      .head_start = now - x->wait.order_key };

	if (!x->line_count)
		x->service->asks++;
	x->lines[x->line_count++] = (exchange_place_t){
		.ticket = question.ticket, .endpoint = endpoint, .asked_at = now
	};
	endpoint->refs++;
	x->given = 0;
	/* What this ends as the owner is looked at later, not in between. */
	gateway->pumping = true;
	gateway->asking = x;
	slots_ask(gateway->slots, endpoint, &question, now);
	gateway->asking = NULL;
	gateway->pumping = pumping;
	return x->given != 0;
}

/* True if places of this endpoint are to be asked for. */
static bool is_owned(const exchange_t *x, const registry_endpoint_t *endpoint,
		     pimento_usec_t now)
{
	return peers_host_count(x->gateway->roster, now) > 1 &&
	       endpoint->owner_unresponsive_until <= now;
}

/* A host that has just started takes itself for the owner of all endpoints. */
static bool knows_owners(const peers_t *roster, pimento_usec_t now)
{
	return peers_host_count(roster, now) > 1 &&
	       !peers_is_discovering(roster, now);
}

/* No other host is known, and time enough has passed to hear of one. */
static bool is_alone(const peers_t *roster, pimento_usec_t now)
{
	return peers_host_count(roster, now) <= 1 &&
	       !peers_is_discovering(roster, now);
}

/* What placement looks at; the lines that x stands in are left out. */
static placement_request_t request_of(const exchange_t *x, pimento_usec_t now)
{
	return (placement_request_t){
		.service = x->service->key,
		.prompt_tokens = x->call.prompt,
		.answer_tokens = x->call.expected,
		.time_left = x->end - now,
		.objective = x->route->objective,
		.first_event_within =
			x->wait.first_attempt_at + x->route->objective - now,
		.gap_objective = x->route->gap_objective,
		.engine_stream = x->engine,
		.overdue = x->wait.overdue,
		.unowned = !knows_owners(x->gateway->roster, now),
		.alone = is_alone(x->gateway->roster, now),
		.route_regions = &x->route->regions,
		.account_regions = x->account ? &x->account->regions : NULL,
		.datacentre = x->gateway->datacentre,
		.tried = x->tried,
		.tried_count = x->tried_count,
		.random_bits = x->draw,
	};
}

static placement_result_t place(exchange_t *x, bool in_line, pimento_usec_t now,
				registry_endpoint_t **endpoint)
{
	pimento_id_t asked[GRANTS_QUEUES_MAX];
	placement_request_t request = request_of(x, now);

	request.may_queue = in_line;
	request.queued_at = asked;
	request.queued_at_count = x->line_count;
	for (uint32_t i = 0; i < x->line_count; i++)
		asked[i] = x->lines[i].endpoint->key;

	return placement_choose(x->gateway->registry, &request, now, endpoint);
}

bool placing_is_full(exchange_t *x, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = NULL;

	/* past the queue, they would take slots that on-time requests wait for */
	if (x->wait.overdue && x->service->line.first &&
	    !x->service->line.first->overdue)
		return true;
	return place(x, false, now, &endpoint) == PLACEMENT_FULL;
}

/*
 * Endpoints that were tried are tried once more if the request may be repeated.
 * A stream of which the caller has a part looks for one until its deadline.
 */
static void no_more_endpoints(exchange_t *x, pimento_usec_t now)
{
	if (hedge_return(x, "endpoints_failed")) {
		x->tried_count = 0;
		return;
	}
	if (x->runs && (!x->tried_all || x->streaming)) {
		/* it may be repeated, and only those that failed are left */
		if (x->streaming)
			x->retry_at = now + RETRY_PAUSE;
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
	STEP_HELD, /* whatever places there are */
	STEP_ASKS, /* an owner was asked */
	STEP_MOVED /* it has left the line */
} step_t;

static uint32_t line_of(const exchange_t *x, uint64_t ticket)
{
	uint32_t i = 0;

	while (i < x->line_count && x->lines[i].ticket != ticket)
		i++;
	return i;
}

static step_t ask_for_place(exchange_t *x, registry_endpoint_t *endpoint,
			    pimento_usec_t now)
{
	if (!ask(x, endpoint, now))
		return STEP_ASKS;
	go(x, line_of(x, x->given));
	return STEP_MOVED;
}

/* Takes a place without leave; its owner, if there is one, is to count it. */
static void take_anyway(exchange_t *x, registry_endpoint_t *endpoint,
			pimento_usec_t now)
{
	grants_request_t told = { .ticket = gateway_draw(x->gateway) | 1,
				  .unconditional = true };

	x->attempt.granted = false;
	if (peers_host_count(x->gateway->roster, now) > 1) {
		x->attempt.place.ticket = told.ticket;
		x->attempt.place.endpoint = endpoint;
		endpoint->refs++;
		slots_ask(x->gateway->slots, endpoint, &told, now);
	} else {
		slots_record_begun(x->gateway->registry, endpoint, now);
	}
	dispatch_begin(x, endpoint);
}

/* A place that looks free: asks its owner, if it has one that answers. */
static step_t take_place(exchange_t *x, registry_endpoint_t *endpoint,
			 pimento_usec_t now)
{
	if (is_owned(x, endpoint, now))
		return ask_for_place(x, endpoint, now);
	take_anyway(x, endpoint, now);
	return STEP_MOVED;
}

/* Stands in the lines of the best endpoints, up to GRANTS_QUEUES_MAX. */
static step_t stand_in_lines(exchange_t *x, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = NULL;

	while (x->line_count < GRANTS_QUEUES_MAX &&
	       place(x, true, now, &endpoint) == PLACEMENT_FOUND &&
	       is_owned(x, endpoint, now))
		if (ask_for_place(x, endpoint, now) == STEP_MOVED)
			return STEP_MOVED;
	return x->line_count ? STEP_ASKS : STEP_STAYS;
}

/*
 * No endpoint is to be had in time, or before operators change something. What
 * has not run is refused at once.
 */
static step_t refuse_unplaceable(exchange_t *x, const char *why,
				 pimento_usec_t now)
{
	if (x->runs) {
		no_more_endpoints(x, now);
		return STEP_MOVED;
	}
	exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, why);
	return STEP_MOVED;
}

static step_t step(exchange_t *x, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = NULL;
	trial_decision_t decision = trials_check(x, now);
	pimento_usec_t backoff;

	if (decision == TRIAL_WAIT)
		return STEP_HELD;
	if (decision == TRIAL_REJECT) {
		exchange_reject(x);
		return STEP_MOVED;
	}
	if (now < x->retry_at || (x->arrivals && !dispatch_take_retry(x)))
		return STEP_HELD;
	switch (place(x, false, now, &endpoint)) {
	case PLACEMENT_FOUND:
		return take_place(x, endpoint, now);
	case PLACEMENT_FULL:
		backoff = placing_backoff_left(x, now);
		if (backoff && now + backoff > x->wait.expires_at)
			return refuse_unplaceable(x, "endpoints_in_backoff",
						  now);
		return stand_in_lines(x, now);
	case PLACEMENT_EVACUATED:
		return refuse_unplaceable(x, "evacuated", now);
	case PLACEMENT_NO_REGION:
		return refuse_unplaceable(x, "no_endpoint_in_region", now);
	case PLACEMENT_NONE:
	default:
		if (!x->tried_count)
			return STEP_STAYS;
		no_more_endpoints(x, now);
		return STEP_MOVED;
	}
}

/*
 * Returns true if a request has left the line, which is then looked at anew.
 */
static bool pump_once(gateway_service_t *service, pimento_usec_t now)
{
	for (wait_queue_item_t *item = service->line.first; item;
	     item = item->next) {
		exchange_t *x = (exchange_t *)item;
		bool first_try = !x->tried_count;
		step_t what;

		if (x->line_count)
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

void placing_begin(exchange_t *x)
{
	gateway_t *gateway = x->gateway;
	gateway_service_t *service = x->service;
	bool moved;

	if (gateway->pumping)
		return;
	if (service->line.count <= 1 || placing_is_full(x, sys_now())) {
		placing_pump(gateway, service);
		return;
	}
	gateway->pumping = true;
	moved = step(x, sys_now()) == STEP_MOVED;
	gateway->pumping = false;
	if (moved)
		placing_pump(gateway, service);
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

bool placing_sweep(exchange_t *x, pimento_usec_t now)
{
	slots_t *slots = x->gateway->slots;
	exchange_place_t left[GRANTS_QUEUES_MAX];
	uint32_t count = 0;

	for (uint32_t i = x->line_count; i-- > 0;) {
		const exchange_place_t *line = &x->lines[i];
		pimento_usec_t age =
			gateway_elapsed(x->gateway, line->asked_at, now);

		if (!line->in_line && age > ASK_SILENT)
			line->endpoint->owner_unresponsive_until =
				now + OWNER_SILENT;
		else if (age < ASK_MOST &&
			 registry_endpoint_accepts_work(line->endpoint, now) &&
			 !endpoint_path_is_blocked(&line->endpoint->path) &&
			 !backoff_blocks(&line->endpoint->backoff, now))
			continue;
		left[count++] = take_line(x, i);
	}
	release_all(slots, left, count);
	return count > 0;
}

pimento_usec_t placing_backoff_left(const exchange_t *x, pimento_usec_t now)
{
	pimento_usec_t end = placement_backoff_end(x->gateway->registry,
						   x->service->key, now);

	return end ? end - now : 0;
}

/* The exchange that asked with a ticket, and the number of its line. */
static exchange_t *find_ticket(const gateway_t *gateway, uint64_t ticket,
			       uint32_t *index)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next) {
		*index = line_of(x, ticket);
		if (*index < x->line_count)
			return x;
	}
	return NULL;
}

/*
 * Grants are advisory: the owner's report, which came with it, may be the
 * first that this host hears of the endpoint's speed.
 */
static bool is_welcome(const exchange_t *x, const registry_endpoint_t *endpoint,
		       pimento_usec_t now)
{
	const placement_request_t request = request_of(x, now);

	return registry_endpoint_accepts_work(endpoint, now) &&
	       !endpoint_path_is_blocked(&endpoint->path) &&
	       !backoff_blocks(&endpoint->backoff, now) &&
	       placement_accepts_grant(x->gateway->registry, &request, endpoint,
				       now);
}

void gateway_replied(gateway_t *gateway, const packet_slot_reply_t *reply)
{
	uint32_t index;
	exchange_t *x = find_ticket(gateway, reply->ticket, &index);
	pimento_usec_t now = sys_now();
	registry_endpoint_t *endpoint;
	gateway_service_t *service;

	if (!x)
		return; /* over meanwhile, and released */
	endpoint = x->lines[index].endpoint;
	x->lines[index].in_line = true;
	registry_apply_report(endpoint, &reply->report, now);
	if (!reply->granted)
		slow_start_refused(endpoint, now);
	if (x == gateway->asking) {
		if (reply->granted)
			x->given = reply->ticket; /* this host is the owner */
	} else if (!reply->granted) {
		(void)stand_in_lines(x, now);
	} else if (is_welcome(x, endpoint, now)) {
		go(x, index);
	} else {
		service = x->service;
		leave_line(x, index);
		placing_pump(gateway, service);
	}
}
