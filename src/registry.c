/*
 * The table of endpoints is a plain array: the largest deployment lists 600, and
 * a linear search costs less than keeping an index up to date.
 */

#include "registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hosts may disagree on the owner for this long after a change. */
#define OWNER_SETTLING (5 * PIMENTO_SEC)
/* Part of the rate that a new owner uses until then. */
#define NEW_OWNER_SHARE (1.0 / 3)

/* Paths that were lost longer ago do not count together with others. */
#define LOST_TOGETHER (1 * PIMENTO_SEC)
/* Bytes may be due only now from endpoints that have just been heard. */
#define HEARD_SPAN (100 * PIMENTO_MSEC)

void registry_init(registry_t *registry)
{
	*registry = (registry_t){ 0 };
	evacuation_init(&registry->evacuation);
	registry->start_bounds.overrun = 1;
	registry->start_bounds.live_share = 1;
}

static void free_endpoint(const registry_t *registry,
			  registry_endpoint_t *endpoint)
{
	if (registry->on_endpoint_free)
		registry->on_endpoint_free(endpoint);
	free(endpoint);
}

void registry_finish(registry_t *registry)
{
	for (uint32_t i = 0; i < registry->count; i++)
		free_endpoint(registry, registry->endpoints[i]);
	for (uint32_t i = 0; i < registry->service_count; i++)
		free(registry->services[i]);
	free(registry->endpoints);
	free(registry->services);
	free(registry->regions);
	evacuation_finish(&registry->evacuation);
}

registry_endpoint_t *registry_find(const registry_t *registry, pimento_id_t key)
{
	for (uint32_t i = 0; i < registry->count; i++)
		if (registry->endpoints[i]->key == key)
			return registry->endpoints[i];
	return NULL;
}

registry_service_t *registry_get_service(registry_t *registry, pimento_id_t key)
{
	registry_service_t **grown;
	registry_service_t *service;

	for (uint32_t i = 0; i < registry->service_count; i++)
		if (registry->services[i]->key == key)
			return registry->services[i];
	grown = realloc(registry->services, (registry->service_count +
					     1) * sizeof(registry_service_t *));
	if (!grown)
		return NULL;
	registry->services = grown;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	service->key = key;
	grown[registry->service_count++] = service;
	return service;
}

static registry_endpoint_t *add_endpoint(registry_t *registry, pimento_id_t key)
{
	uint32_t size = registry->capacity ? registry->capacity * 2 : 16;
	registry_endpoint_t *endpoint;

	if (registry->count == registry->capacity) {
		registry_endpoint_t **grown =
			realloc(registry->endpoints,
				size * sizeof(registry_endpoint_t *));

		if (!grown)
			return NULL;
		registry->endpoints = grown;
		registry->capacity = size;
	}
	endpoint = calloc(1, sizeof(*endpoint));
	if (!endpoint)
		return NULL;
	endpoint->key = key;
	registry->endpoints[registry->count++] = endpoint;
	return endpoint;
}

static void copy_record(registry_endpoint_t *endpoint,
			const registry_record_t *record)
{
	snprintf(endpoint->id, sizeof(endpoint->id), "%s", record->id);
	snprintf(endpoint->address, sizeof(endpoint->address), "%s",
		 record->address);
	snprintf(endpoint->datacentre, sizeof(endpoint->datacentre), "%s",
		 record->datacentre);
	endpoint->service = pimento_id(record->service);
	endpoint->port = record->port;
	endpoint->slots = record->slots;
	endpoint->revision = record->revision;
	endpoint->leaving = record->leaving;
	endpoint->listed = true;
	endpoint->removal_at = 0;
}

static registry_region_t *find_region(const registry_t *registry,
				      const char *datacentre)
{
	for (uint32_t i = 0; i < registry->region_count; i++)
		if (strcmp(registry->regions[i].datacentre, datacentre) == 0)
			return &registry->regions[i];
	return NULL;
}

static pimento_id_t region_of(const registry_t *registry,
			      const char *datacentre)
{
	const registry_region_t *found = find_region(registry, datacentre);

	return found ? found->region : 0;
}

int registry_set_region(registry_t *registry, const char *datacentre,
			const char *region)
{
	registry_region_t *found = find_region(registry, datacentre);

	if (!found) {
		found = realloc(registry->regions,
				(registry->region_count + 1) * sizeof(*found));
		if (!found)
			return PIMENTO_ENOMEM;
		registry->regions = found;
		found += registry->region_count++;
		snprintf(found->datacentre, sizeof(found->datacentre), "%s",
			 datacentre);
	}
	found->region = pimento_id(region);
	for (uint32_t i = 0; i < registry->count; i++)
		if (strcmp(registry->endpoints[i]->datacentre, datacentre) == 0)
			registry->endpoints[i]->region = found->region;
	return 0;
}

uint32_t registry_process_id(const registry_endpoint_t *endpoint)
{
	uint64_t mixed = endpoint->key;

	mixed ^= (uint64_t)endpoint->started_at_ms * 0x9e3779b97f4a7c15u;
	mixed ^= endpoint->port * 0xbf58476d1ce4e5b9u;
	return (uint32_t)(mixed ^ mixed >> 32) | 1;
}

static bool is_of_endpoint(const departure_t *departure,
			   const registry_endpoint_t *endpoint)
{
	return departure->endpoint == (uint32_t)endpoint->key &&
	       (!departure->process ||
		departure->process == registry_process_id(endpoint));
}

static void apply_departure(registry_endpoint_t *endpoint,
			    const departure_t *departure)
{
	if (departure->process)
		endpoint->stated_leaving = true;
	else if (departure->revision > endpoint->departed_revision)
		endpoint->departed_revision = departure->revision;
}

static void apply_departures(const registry_t *registry,
			     registry_endpoint_t *endpoint)
{
	for (uint32_t i = 0; i < registry->departures.count; i++) {
		const departure_t *departure = &registry->departures.list[i];

		if (is_of_endpoint(departure, endpoint))
			apply_departure(endpoint, departure);
	}
}

registry_endpoint_t *registry_put(registry_t *registry,
				  const registry_record_t *record)
{
	pimento_id_t key = pimento_id(record->id);
	registry_endpoint_t *endpoint = registry_find(registry, key);
	bool known = endpoint != NULL;

	if (!endpoint)
		endpoint = add_endpoint(registry, key);
	if (!endpoint)
		return NULL;
	if (known && (endpoint->started_at_ms != record->started_at_ms ||
		      endpoint->port != record->port ||
		      strcmp(endpoint->address, record->address) != 0)) {
		latency_init(&endpoint->latency);
		endpoint_path_init(&endpoint->path);
		endpoint->answered_at = 0;
		endpoint->ended_at = 0;
		endpoint->rate_limit = (rate_limit_t){ 0 };
		endpoint->backoff = (backoff_t){ 0 };
		endpoint->stated_leaving = false;
		endpoint->incarnation++;
	}
	endpoint->started_at_ms = record->started_at_ms;
	copy_record(endpoint, record);
	endpoint->evacuated = evacuation_includes(&registry->evacuation,
						  endpoint->datacentre);
	endpoint->region = region_of(registry, endpoint->datacentre);
	apply_departures(registry, endpoint);
	return endpoint;
}

static uint32_t count_endpoints(const registry_t *registry,
				const char *datacentre)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < registry->count; i++)
		if (strcmp(registry->endpoints[i]->datacentre, datacentre) == 0)
			count++;
	return count;
}

int registry_evacuate(registry_t *registry, const char *datacentre,
		      pimento_usec_t now)
{
	int error = evacuation_begin(&registry->evacuation, datacentre, now);

	if (error)
		return error;
	for (uint32_t i = 0; i < registry->count; i++) {
		registry_endpoint_t *endpoint = registry->endpoints[i];

		if (strcmp(endpoint->datacentre, datacentre) == 0)
			endpoint->evacuated = true;
	}
	return (int)count_endpoints(registry, datacentre);
}

/* Slow start after an evacuation, until the endpoint's record says otherwise. */
static void assume_slow_start(registry_t *registry,
			      registry_endpoint_t *endpoint, pimento_usec_t now)
{
	const registry_service_t *service =
		registry_get_service(registry, endpoint->service);

	if (service && endpoint->starting_until < now + service->cold_start)
		endpoint->starting_until = now + service->cold_start;
}

int registry_end_evacuation(registry_t *registry, const char *datacentre,
			    pimento_usec_t now)
{
	if (!evacuation_end(&registry->evacuation, datacentre))
		return 0;
	for (uint32_t i = 0; i < registry->count; i++) {
		registry_endpoint_t *endpoint = registry->endpoints[i];

		if (strcmp(endpoint->datacentre, datacentre) != 0)
			continue;
		endpoint->evacuated = false;
		assume_slow_start(registry, endpoint, now);
	}
	return (int)count_endpoints(registry, datacentre);
}

static bool is_open(const registry_endpoint_t *endpoint, pimento_usec_t now)
{
	return !endpoint->leaving && !endpoint->stated_leaving &&
	       endpoint->departed_revision <= endpoint->revision &&
	       (endpoint->listed || now < endpoint->removal_at);
}

static registry_endpoint_t *endpoint_of(const registry_t *registry,
					const departure_t *departure)
{
	for (uint32_t i = 0; i < registry->count; i++)
		if (is_of_endpoint(departure, registry->endpoints[i]))
			return registry->endpoints[i];
	return NULL;
}

registry_endpoint_t *registry_depart(registry_t *registry,
				     const departure_t *departure,
				     pimento_usec_t now)
{
	registry_endpoint_t *endpoint = endpoint_of(registry, departure);
	bool was_open = endpoint && is_open(endpoint, now);

	if (!departures_add(&registry->departures, departure, now) || !endpoint)
		return NULL;
	apply_departure(endpoint, departure);
	return was_open && !is_open(endpoint, now) ? endpoint : NULL;
}

static bool is_listed(const void *context, const departure_t *departure)
{
	const registry_endpoint_t *endpoint = endpoint_of(context, departure);

	return endpoint && endpoint->listed;
}

void registry_expire_departures(registry_t *registry, pimento_usec_t now)
{
	departures_expire(&registry->departures, is_listed, registry, now);
}

bool registry_endpoint_is_evacuated(const registry_endpoint_t *endpoint,
				    pimento_usec_t now)
{
	return endpoint->evacuated && is_open(endpoint, now);
}

void registry_schedule_removal(registry_t *registry, const char *id,
			       pimento_usec_t removal_at)
{
	registry_endpoint_t *endpoint = registry_find(registry, pimento_id(id));

	if (!endpoint || !endpoint->listed)
		return;
	endpoint->listed = false;
	endpoint->removal_at = removal_at;
}

double registry_owner_share(const registry_t *registry,
			    const registry_endpoint_t *endpoint,
			    pimento_usec_t now)
{
	double share = registry->start_bounds.live_share;

	/* not yet known as the owner, or asked by hosts that take it for one */
	if (!endpoint->owned_since ||
	    now - endpoint->owned_since < OWNER_SETTLING)
		share *= NEW_OWNER_SHARE;
	return share;
}

void registry_apply_report(registry_endpoint_t *endpoint,
			   const registry_report_t *report, pimento_usec_t at)
{
	pimento_usec_t ejected = at + report->ejected_ms * PIMENTO_MSEC;

	endpoint->report = *report;
	/* what this host hears itself counts more than others' findings */
	if (endpoint_path_is_alive(&endpoint->path, at)) {
		endpoint->report.suspect = false;
		ejected = at;
	}
	endpoint->own_running_at_report = endpoint->running;
	endpoint->report_received_at = at;
	/*
	 * The owner's event gap is based on reports from all hosts; this host
	 * has seen only a few streams.
	 */
	if (report->event_gap_us)
		endpoint->latency.event_gap_us = report->event_gap_us;
	if (ejected > at && endpoint->latency.ejected_until < ejected)
		endpoint->latency.ejected_until = ejected;
}

void registry_free_removed(registry_t *registry, pimento_usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < registry->count; i++) {
		registry_endpoint_t *endpoint = registry->endpoints[i];

		if (!endpoint->listed && endpoint->removal_at <= now &&
		    !endpoint->refs)
			free_endpoint(registry, endpoint);
		else
			registry->endpoints[kept++] = endpoint;
	}
	registry->count = kept;
}

bool registry_endpoint_accepts_work(const registry_endpoint_t *endpoint,
				    pimento_usec_t now)
{
	return !endpoint->evacuated && is_open(endpoint, now);
}

pimento_id_t registry_region_of(const registry_t *registry,
				pimento_id_t datacentre)
{
	for (uint32_t i = 0; i < registry->region_count; i++)
		if (pimento_id(registry->regions[i].datacentre) == datacentre)
			return registry->regions[i].region;
	return 0;
}

/* True if this host lost its path to the endpoint and a peer has one. */
static bool is_lost_here_alone(const endpoint_path_t *path)
{
	return path->state == ENDPOINT_PATH_LOST && path->tunnel_peer;
}

/*
 * Kept connections that have been quiet since another path was lost may be
 * dead, too, and a request that may not be repeated would be lost on them.
 */
static void suspect_quiet_paths(registry_t *registry, pimento_usec_t now)
{
	pimento_usec_t lost_at = 0;

	for (uint32_t i = 0; i < registry->count; i++) {
		const endpoint_path_t *path = &registry->endpoints[i]->path;

		if (is_lost_here_alone(path) && path->lost_at > lost_at)
			lost_at = path->lost_at;
	}
	for (uint32_t i = 0; i < registry->count; i++) {
		registry_endpoint_t *endpoint = registry->endpoints[i];

		if (endpoint->idle_connections &&
		    endpoint_path_allows_new(&endpoint->path) &&
		    endpoint->path.heard_at < lost_at)
			endpoint_path_suspect(&endpoint->path, now);
	}
}

void registry_check_paths(registry_t *registry, pimento_usec_t now)
{
	pimento_usec_t first_lost = now;
	pimento_usec_t heard_at = 0;
	uint32_t lost = 0;

	suspect_quiet_paths(registry, now);
	for (uint32_t i = 0; i < registry->count; i++) {
		const endpoint_path_t *path = &registry->endpoints[i]->path;

		if (path->heard_at > heard_at)
			heard_at = path->heard_at;
		if (path->state != ENDPOINT_PATH_LOST ||
		    now - path->lost_at > LOST_TOGETHER)
			continue;
		lost++;
		if (path->lost_at < first_lost)
			first_lost = path->lost_at;
	}
	if (lost < 2 || heard_at > first_lost || now - heard_at < HEARD_SPAN)
		return;
	for (uint32_t i = 0; i < registry->count; i++)
		if (endpoint_path_allows_new(&registry->endpoints[i]->path))
			endpoint_path_suspect(&registry->endpoints[i]->path,
					      now);
}
