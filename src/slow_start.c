#include "slow_start.h"

#include "placement.h"

/*
 * Assumed time from dispatch to the complete answer, and the number of measured
 * answers that it weighs as much as: the first answers that are complete after a
 * host's start are the short ones.
 */
#define ENGINE_SLOT_TIME_US 1000000.0
#define PLAIN_SLOT_TIME_US 50000.0
#define ASSUMED_ANSWERS 20
#define REFUSED_SPAN (100 * PIMENTO_MSEC)

static bool is_starting(const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	return endpoint->starting_until > now;
}

bool slow_start_applies(const registry_t *registry,
			const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	if (!is_starting(endpoint, now))
		return false;
	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		if (e->service == endpoint->service && !is_starting(e, now) &&
		    registry_endpoint_accepts_work(e, now) &&
		    e->latency.ejected_until <= now)
			return true;
	}
	return false;
}

static double expected_slot_time_us(const registry_service_t *service)
{
	const latency_service_t *latency = &service->latency;
	double assumed = service->queues_requests ? PLAIN_SLOT_TIME_US
						  : ENGINE_SLOT_TIME_US;
	uint32_t count = latency->slot_time_count;

	return (assumed * ASSUMED_ANSWERS + latency->slot_time_us * count) /
	       (ASSUMED_ANSWERS + count);
}

static void fill_bucket(registry_t *registry, registry_endpoint_t *endpoint,
			pimento_usec_t now)
{
	const registry_service_t *service =
		registry_get_service(registry, endpoint->service);
	double elapsed_us = (double)(now - endpoint->start_tokens_at);
	double burst;

	if (!service)
		return;
	burst = placement_in_flight_limit(service, endpoint);
	endpoint->start_tokens +=
		burst * elapsed_us / expected_slot_time_us(service);
	if (endpoint->start_tokens > burst)
		endpoint->start_tokens = burst;
	endpoint->start_tokens_at = now;
}

bool slow_start_may_begin(registry_t *registry, registry_endpoint_t *endpoint,
			  pimento_usec_t now)
{
	if (!slow_start_applies(registry, endpoint, now))
		return true;
	fill_bucket(registry, endpoint, now);
	return endpoint->start_tokens >= 1;
}

void slow_start_record(registry_t *registry, registry_endpoint_t *endpoint,
		       pimento_usec_t now)
{
	if (!is_starting(endpoint, now))
		return;
	fill_bucket(registry, endpoint, now);
	endpoint->start_tokens -= 1;
}

void slow_start_refused(registry_endpoint_t *endpoint, pimento_usec_t now)
{
	if (is_starting(endpoint, now))
		endpoint->start_refused_until = now + REFUSED_SPAN;
}
