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

/*
 * Of what a stated tolerance adds to the rate in one second, the part that may
 * begin at once. The rest covers requests that are granted in one second and
 * arrive in the next, and a second owner.
 */
#define BURST_SHARE 0.25
static bool is_starting(const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	return endpoint->starting_until > now;
}

static bool states_rate(registry_t *registry,
			const registry_endpoint_t *endpoint)
{
	const registry_service_t *service =
		registry_get_service(registry, endpoint->service);

	return service && service->cold_per_second > 0;
}

bool slow_start_needs_owner(registry_t *registry,
			    const registry_endpoint_t *endpoint,
			    pimento_usec_t now)
{
	return is_starting(endpoint, now) && states_rate(registry, endpoint);
}

bool slow_start_applies(registry_t *registry,
			const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	if (!is_starting(endpoint, now))
		return false;
	if (states_rate(registry, endpoint))
		return true;
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

/* Requests that may begin at once, and then in a second. */
typedef struct bucket {
	double burst;
	double per_second;
} bucket_t;

static bucket_t stated_bucket(const registry_t *registry,
			      const registry_endpoint_t *endpoint,
			      const registry_service_t *service,
			      pimento_usec_t now)
{
	const registry_start_bounds_t *bounds = &registry->start_bounds;
	double rate = service->cold_per_second;
	double excess = rate * (bounds->overrun - 1) + bounds->slack;
	double share = registry_owner_share(registry, endpoint, now);
	bucket_t bucket = { excess * BURST_SHARE * share, rate * share };

	if (bucket.burst < 1)
		bucket.burst = 1;
	return bucket;
}

static bucket_t estimated_bucket(const registry_endpoint_t *endpoint,
				 const registry_service_t *service)
{
	double limit = placement_in_flight_limit(service, endpoint);

	return (bucket_t){ limit, limit * (double)PIMENTO_SEC /
					  expected_slot_time_us(service) };
}

static void fill_bucket(registry_t *registry, registry_endpoint_t *endpoint,
			pimento_usec_t now)
{
	const registry_service_t *service =
		registry_get_service(registry, endpoint->service);
	double seconds =
		(double)(now - endpoint->start_tokens_at) / (double)PIMENTO_SEC;
	bucket_t bucket;

	if (!service)
		return;
	bucket = service->cold_per_second > 0
			 ? stated_bucket(registry, endpoint, service, now)
			 : estimated_bucket(endpoint, service);
	endpoint->start_tokens += bucket.per_second * seconds;
	if (endpoint->start_tokens > bucket.burst)
		endpoint->start_tokens = bucket.burst;
	endpoint->start_tokens_at = now;
}

void slow_start_set_owner(registry_endpoint_t *endpoint, bool owner,
			  pimento_usec_t now)
{
	if (!owner)
		endpoint->owned_since = 0;
	else if (!endpoint->owned_since)
		endpoint->owned_since = now;
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
	if (is_starting(endpoint, now) ||
	    rate_limit_applies(&endpoint->rate_limit, now))
		endpoint->refused_until = now + REFUSED_SPAN;
}
