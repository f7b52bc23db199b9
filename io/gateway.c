/*
 * The gateway as a whole: its services, its start and end, and what happens as
 * time passes. arrival.c takes requests in, placing.c finds places for them,
 * dispatch.c sends them, relay.c passes the answers on, exchange.c ends them.
 */

#include "exchange.h"

#include "overload.h"
#include "paths.h"
#include "stopping.h"

#include "sys.h"
#include "trail.h"

#include <stdlib.h>
#include <string.h>

/* Weight of the last second in the rate of answers. */
#define RATE_WEIGHT 0.3
#define TICKS_A_SECOND 20.0
/* Notes come at most this often, in ticks. */
#define PEER_TICKS 2

/* A tick that comes this much after the one before: the host stood still. */
#define TICK_LATE (200 * PIMENTO_MSEC)
/* A host whose ticks are all late would take nothing for silent any more. */
#define STALL_SPACING (1 * PIMENTO_SEC)

/* Without a limit stated by the operator. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT (4 * 1024 * 1024)
#define HEAD_TIMEOUT_DEFAULT (5 * PIMENTO_SEC)
#define IDLE_TIMEOUT_DEFAULT (60 * PIMENTO_SEC)

/*
 * An owner's word counts more than the sum of what hosts say of themselves,
 * for as long as the owner's next word may take with a hundred hosts.
 */
#define TOLD_AGE (1500 * PIMENTO_MSEC)

/*
 * A host that has just started knows no configuration for some milliseconds.
 * Connections wait until it does, within what callers allow for that: their
 * first attempt often broke when the host before was killed.
 */
#define OPEN_WITHIN (400 * PIMENTO_MSEC)

gateway_service_t *gateway_service(gateway_t *gateway, pimento_id_t key)
{
	gateway_service_t **grown;
	gateway_service_t *service;

	for (uint32_t i = 0; i < gateway->service_count; i++)
		if (gateway->services[i]->key == key)
			return gateway->services[i];
	grown = realloc(gateway->services, (gateway->service_count + 1) *
						   sizeof(gateway_service_t *));
	if (!grown)
		return NULL;
	gateway->services = grown;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	service->key = key;
	demand_keeper_init(&service->keeper, (uint32_t)key);
	if (!gateway->first_start)
		retry_budget_init(&service->budget, &gateway->bounds.retry,
				  gateway->started_at);
	grown[gateway->service_count++] = service;
	return service;
}

gateway_route_t *gateway_route(gateway_t *gateway, pimento_id_t key)
{
	gateway_route_t *grown;

	for (uint32_t i = 0; i < gateway->route_count; i++)
		if (gateway->routes[i].key == key)
			return &gateway->routes[i];
	grown = realloc(gateway->routes,
			(gateway->route_count + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	gateway->routes = grown;
	grown += gateway->route_count++;
	*grown = (gateway_route_t){ .key = key };
	return grown;
}

/* splitmix64 */
uint64_t gateway_draw(gateway_t *gateway)
{
	uint64_t z = gateway->draws += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/* Time passes. */

/* Past its end: an answer is owed now, whatever happens at the endpoint. */
static void end_overdue(exchange_t *x)
{
	const char *why = x->end_is_timeout ? "route_timeout" : "deadline";

	switch (x->state) {
	case EXCHANGE_ADMITTING:
	case EXCHANGE_WAITING:
	case EXCHANGE_CONNECTING:
		if (x->runs)
			exchange_fail(x, HTTP_STATUS_GATEWAY_TIMEOUT, why);
		else
			exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE,
					why);
		break;
	case EXCHANGE_SENT:
		exchange_fail(x, HTTP_STATUS_GATEWAY_TIMEOUT, why);
		break;
	case EXCHANGE_ANSWERING:
		exchange_cut(x, why);
		break;
	case EXCHANGE_FAILING:
		dispatch_tell_failure(x);
		break;
	}
}

/* Returns true if something ended, which may have ended others too. */
static bool sweep_one(gateway_t *gateway, pimento_usec_t now)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next) {
		if (now >= x->end) {
			end_overdue(x);
			return true;
		}
		if (dispatch_sweep(x, now))
			return true;
	}
	return false;
}

static void sweep_line(gateway_t *gateway, gateway_service_t *service,
		       pimento_usec_t now)
{
	wait_queue_item_t *item;

	while ((item = wait_queue_next_expired(&service->line, now))) {
		exchange_t *x = (exchange_t *)item;

		if (x->runs)
			exchange_fail(x, HTTP_STATUS_BAD_GATEWAY, "no_place");
		else
			exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE,
					"no_place");
	}
	service->per_second +=
		RATE_WEIGHT / TICKS_A_SECOND *
		(service->answers * TICKS_A_SECOND - service->per_second);
	service->answers = 0;
	placing_pump(gateway, service);
}

/* What peers said of their load, added up once a tick. */
static void add_up_peers(gateway_t *gateway, pimento_usec_t now)
{
	for (uint32_t i = 0; i < gateway->registry->count; i++) {
		registry_endpoint_t *e = gateway->registry->endpoints[i];

		peers_endpoint_load_t load =
			peers_endpoint_load(gateway->roster, e->key, now);

		e->remote_running = load.running;
		if (now - e->report_received_at < TOLD_AGE)
			e->remote_running =
				e->report.running > e->own_running_at_report
					? e->report.running -
						  e->own_running_at_report
					: 0;
		else
			e->report.waiting = 0;
		e->remote_prompt_tokens = load.prefill_tokens;
		pool_sweep(e, now);
	}
}

static void open_when_able(gateway_t *gateway, pimento_usec_t now)
{
	if (gateway->open || (!gateway_able(gateway, now) &&
			      now - gateway->started_at < OPEN_WITHIN))
		return;
	gateway->open = true;
	httpd_resume(&gateway->front);
}

pimento_usec_t gateway_elapsed(const gateway_t *gateway, pimento_usec_t since,
			       pimento_usec_t now)
{
	return now - (since > gateway->stalled_until ? since
						     : gateway->stalled_until);
}

static void note_stall(gateway_t *gateway, pimento_usec_t now)
{
	if (gateway->ticked_at && now - gateway->ticked_at > TICK_LATE &&
	    now - gateway->stalled_until > STALL_SPACING) {
		gateway->stalled_until = now;
		trail(TRAIL_STATE, "edge", "stalled", "ms=%lld",
		      (long long)((now - gateway->ticked_at) / PIMENTO_MSEC));
	}
	gateway->ticked_at = now;
}

void gateway_tick(gateway_t *gateway, pimento_usec_t now)
{
	note_stall(gateway, now);
	open_when_able(gateway, now);
	if (gateway->ticks++ % PEER_TICKS == 0)
		add_up_peers(gateway, now);
	paths_tick(gateway, now);
	crashes_tick(gateway, now);
	trials_tick(gateway, now);
	while (sweep_one(gateway, now))
		;
	stopping_tick(gateway, now);
	for (uint32_t i = 0; i < gateway->service_count; i++) {
		overload_tick(gateway, gateway->services[i], now);
		sweep_line(gateway, gateway->services[i], now);
	}
	httpd_sweep(&gateway->front, now);
}

/* Placement needs to know what kind of endpoints a service has. */
static void mark_services(gateway_t *gateway, const catalog_t *catalog)
{
	for (uint32_t i = 0; i < catalog->service_count; i++) {
		const catalog_service_t *from = &catalog->services[i];
		registry_service_t *service =
			registry_get_service(gateway->registry, from->key);

		if (!service)
			continue;
		service->queues_requests = !from->is_engine;
		service->cold_start = from->cold_start;
		service->cold_per_second = from->cold_per_second;
	}
}

void gateway_configure(gateway_t *gateway, catalog_t *catalog)
{
	const catalog_limits_t *limits = &catalog->limits;
	httpd_limits_t *front = &gateway->front.limits;

	catalog_release(gateway->catalog);
	gateway->catalog = catalog;
	mark_services(gateway, catalog);
	if (limits->head_bytes_max)
		front->head_bytes = limits->head_bytes_max;
	if (limits->body_bytes_max)
		front->body_bytes = limits->body_bytes_max;
	if (limits->head_timeout)
		front->head_timeout = limits->head_timeout;
	if (limits->idle_timeout)
		front->idle_timeout = limits->idle_timeout;
}

void gateway_set_bounds(gateway_t *gateway, const gateway_bounds_t *bounds)
{
	gateway->bounds = *bounds;
	host_load_set_link_rate(&gateway->front.load, bounds->link_rate);
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++)
		gateway->trials.quarantines[kind].limits =
			bounds->quarantines[kind];
}

int gateway_init(gateway_t *gateway, const gateway_setup_t *setup)
{
	const httpd_limits_t limits = {
		.head_bytes = HEAD_BYTES_DEFAULT,
		.body_bytes = BODY_BYTES_DEFAULT,
		.head_timeout = HEAD_TIMEOUT_DEFAULT,
		.idle_timeout = IDLE_TIMEOUT_DEFAULT,
		.connections = setup->connections_max,
		.bodies_bytes = setup->bodies_bytes,
	};
	int error;

	memset(gateway, 0, sizeof(*gateway));
	gateway->callers = (httpd_ops_t){ .request = arrival_request,
					  .accepts = arrival_accepts,
					  .gone = arrival_gone,
					  .written = arrival_written };
	gateway->loop = setup->loop;
	gateway->dialect = setup->dialect;
	gateway->datacentre = setup->datacentre;
	gateway->bounds = setup->bounds;
	gateway->first_start = setup->first_start;
	gateway->registry = setup->registry;
	gateway->registry->on_endpoint_free = pool_drop;
	gateway->roster = setup->roster;
	gateway->replica = setup->replica;
	gateway->endpoint_list = setup->endpoint_list;
	gateway->slots = setup->slots;
	gateway->draws = sys_random();
	gateway->send_quota = setup->send_quota;
	gateway->send_demand = setup->send_demand;
	gateway->send_context = setup->send_context;
	trials_init(&gateway->trials, setup->bounds.quarantines);
	gateway->trials.send = setup->send_trial;
	gateway->trials.send_context = setup->send_context;
	admission_init(gateway, setup);
	dispatch_init(gateway);
	gateway->pool.peer_port = setup->peer_port;
	error = httpd_init(&gateway->front, setup->loop, &setup->listen,
			   &gateway->callers, &limits);
	gateway->front.user = gateway;
	host_load_init(&gateway->front.load, setup->bounds.link_rate);
	gateway->started_at = sys_now();
	if (!error)
		httpd_pause(&gateway->front);
	return error;
}

void gateway_finish(gateway_t *gateway)
{
	httpd_finish(&gateway->front);
	crashes_finish(&gateway->crashes);
	trials_finish(&gateway->trials);
	for (uint32_t i = 0; i < gateway->registry->count; i++)
		pool_close(gateway->registry->endpoints[i]);
	for (uint32_t i = 0; i < gateway->service_count; i++) {
		overload_finish(gateway->services[i]);
		free(gateway->services[i]);
	}
	free(gateway->services);
	free(gateway->routes);
	quota_fleet_finish(&gateway->quota);
	catalog_release(gateway->catalog);
}

void gateway_stop(gateway_t *gateway, pimento_usec_t turn_away_at,
		  pimento_usec_t ends_at)
{
	gateway->stopping = true;
	gateway->stop_at = turn_away_at;
	gateway->ends_at = ends_at;
	httpd_stop(&gateway->front);
}

uint32_t gateway_pending(const gateway_t *gateway)
{
	return httpd_pending(&gateway->front);
}

uint32_t gateway_unsent(const gateway_t *gateway)
{
	return httpd_unsent(&gateway->front);
}
