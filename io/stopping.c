#include "stopping.h"

#include "sys.h"

/* Hosts share slots: more may come this one's way than it holds now. */
#define SHARED_SLOTS_FACTOR 2

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
	else if (gateway->bounds.early_rejection) /* at a turn of its own */
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, why);
	else
		exchange_refuse_after(x, HTTP_STATUS_SERVICE_UNAVAILABLE, why,
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

/* Returns true if one was turned away, which may have ended others too. */
static bool turn_one_away(gateway_t *gateway, gateway_service_t *service,
			  pimento_usec_t now)
{
	const pimento_usec_t left = gateway->ends_at - now;
	uint32_t begun = count_begun(gateway, service);
	pimento_usec_t ahead = 0;

	for (wait_queue_item_t *item = service->line.first; item;
	     item = item->next) {
		exchange_t *x = (exchange_t *)item;
		pimento_usec_t needed = time_needed(x);

		if (may_turn_away(x) &&
		    !answer_time_fits(needed, ahead,
				      begun * SHARED_SLOTS_FACTOR, left)) {
			stopping_turn_away(x);
			return true;
		}
		ahead += needed;
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
