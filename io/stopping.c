#include "stopping.h"

#include "sys.h"

/*
 * A slot becomes free for this host at most once in the time of an answer; hosts
 * share slots, so that more may come its way than it holds.
 */
#define MORE_SLOTS 2

/* Another host takes the request at once: callers come spread over this. */
#define RETRY_AFTER_MIN (100 * PIMENTO_MSEC)
#define RETRY_AFTER_SPREAD (300 * PIMENTO_MSEC)

/* From a free slot until the answer is whole; 0 if unknown. */
static pimento_usec_t time_needed(const exchange_t *x)
{
	const registry_service_t *service =
		registry_get_service(x->gateway->registry, x->service->key);
	const latency_model_t average = { 0 };
	const gateway_route_t *learnt;

	if (x->engine && service)
		return (pimento_usec_t)(latency_expected_first_event(
						&average, &service->latency,
						x->call.prompt) +
					latency_expected_stream_time(
						&average, &service->latency,
						x->call.expected));
	learnt = gateway_route(x->gateway, x->route->key);
	return learnt ? answer_time_bound(&learnt->answer_time) : 0;
}

bool stopping_is_too_late(const exchange_t *x, pimento_usec_t now)
{
	return x->gateway->stopping &&
	       now + time_needed(x) > x->gateway->ends_at;
}

/* Callers come back by turns where hosts know the room that is left. */
static pimento_usec_t retry_after(gateway_t *gateway)
{
	return RETRY_AFTER_MIN + (pimento_usec_t)(gateway_draw(gateway) %
						  (uint64_t)RETRY_AFTER_SPREAD);
}

void stopping_turn_away(exchange_t *x)
{
	gateway_t *gateway = x->gateway;
	const char *why = "stopping";

	if (x->runs)
		exchange_fail(x, HTTP_STATUS_BAD_GATEWAY, why);
	else if (gateway->bounds.early_rejection)
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, why);
	else
		exchange_refuse_for(x, HTTP_STATUS_SERVICE_UNAVAILABLE, why,
				    retry_after(gateway));
}

/* A caller who has a part of an answer waits for the rest until the end. */
static bool may_turn_away(const exchange_t *x)
{
	return !x->streaming && !x->silent.attempt.conn;
}

/* Requests of the service that this host has at endpoints. */
static uint32_t count_begun(const gateway_t *gateway,
			    const gateway_service_t *service)
{
	uint32_t begun = 0;

	for (const exchange_t *x = gateway->exchanges; x; x = x->next)
		begun += x->service == service && x->attempt.endpoint;
	return begun;
}

/*
 * True if so many wait before it that none of the slots comes round to it while
 * there is time; begun is the number of slots that this host holds.
 */
static bool is_too_far_behind(const exchange_t *x, uint32_t before,
			      uint32_t begun, pimento_usec_t now)
{
	pimento_usec_t needed = time_needed(x);
	pimento_usec_t rounds;

	if (!begun || !needed)
		return false;
	rounds = (x->gateway->ends_at - needed - now) / needed + 1;
	return before >= (uint64_t)rounds * begun * MORE_SLOTS;
}

/* Returns true if one was turned away, which may have ended others too. */
static bool turn_one_away(gateway_t *gateway, gateway_service_t *service,
			  pimento_usec_t now)
{
	uint32_t begun = count_begun(gateway, service);
	uint32_t before = 0;

	for (wait_queue_item_t *item = service->line.first; item;
	     item = item->next, before++) {
		exchange_t *x = (exchange_t *)item;

		if (!may_turn_away(x) ||
		    (!stopping_is_too_late(x, now) &&
		     !is_too_far_behind(x, before, begun, now)))
			continue;
		stopping_turn_away(x);
		return true;
	}
	return false;
}

void stopping_tick(gateway_t *gateway, pimento_usec_t now)
{
	if (!gateway->stopping)
		return;
	for (uint32_t i = 0; i < gateway->service_count; i++)
		while (turn_one_away(gateway, gateway->services[i], now))
			continue;
}

/* Ends one request that has no part of its answer; false if none is left. */
static bool end_one(gateway_t *gateway)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next) {
		if (x->state == EXCHANGE_ANSWERING)
			continue;
		if (x->state == EXCHANGE_FAILING)
			dispatch_tell_failure(x);
		else
			stopping_turn_away(x);
		return true;
	}
	return false;
}

void gateway_end(gateway_t *gateway)
{
	gateway->pumping = true; /* nothing begins any more */
	gateway->stop_at = sys_now();
	while (end_one(gateway))
		continue;
}
