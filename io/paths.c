#include "paths.h"

#include "exchange.h"
#include "sys.h"
#include "trail.h"

/* A connection takes some milliseconds. */
#define PROBE_TIMEOUT (150 * PIMENTO_MSEC)
/* The peer's own limit, and the way there and back. */
#define TUNNEL_TIMEOUT (450 * PIMENTO_MSEC)
/*
 * Between two rounds of asking peers for a path to an endpoint; doubles with
 * each. An endpoint that is gone would be asked for by all hosts.
 */
#define ASK_INTERVAL_MIN (500 * PIMENTO_MSEC)
#define ASK_INTERVAL_MAX (4 * PIMENTO_SEC)
/* Connections without a request that are being opened at the same time. */
#define PROBES_MAX 8
/*
 * Peers that must fail to reach an endpoint before it counts as unreachable;
 * fewer if there are no more.
 */
#define WITNESSES 2
/* An owner's report that is older does not spare the asking. */
#define REPORT_AGE_MAX (2 * PIMENTO_SEC)
/* Peers that are asked in one round: one of the others may still reach it. */
#define ASKED_MAX 6

static bool is_alone(const gateway_t *gateway, pimento_usec_t now)
{
	return peers_host_count(gateway->roster, now) <= 1;
}

/* Tells the endpoint's owner, which may be another host. */
static void report(gateway_t *gateway, registry_endpoint_t *endpoint,
		   latency_outcome_t outcome, pimento_usec_t now)
{
	const packet_slot_release_t release = { .outcome = outcome };

	slots_learn(gateway->slots, endpoint, outcome, gateway->slots->self,
		    now);
	slots_release(gateway->slots, endpoint, &release, now);
}

/* Requests that wait for the endpoint may go on. */
static void pump(gateway_t *gateway, const registry_endpoint_t *endpoint)
{
	gateway_service_t *service =
		gateway_service(gateway, endpoint->service);

	if (service)
		placing_pump(gateway, service);
}

/* Neither this host nor a peer reaches the endpoint. */
static void report_unreachable(gateway_t *gateway,
			       registry_endpoint_t *endpoint,
			       pimento_usec_t now)
{
	report(gateway, endpoint, LATENCY_OUTCOME_UNREACHABLE, now);
	pool_background(endpoint)->unreachable_at = now;
	if (endpoint->path.refused) {
		crashes_ended(gateway, endpoint, now);
		pump(gateway, endpoint);
	} else {
		/* one that was reset may have been waiting to be accepted */
		paths_probe(gateway, endpoint);
	}
}

/* A connection is refused where peers just now found nobody either. */
static void check_ended(gateway_t *gateway, registry_endpoint_t *endpoint,
			pimento_usec_t now)
{
	const pool_background_t *background = pool_background(endpoint);

	if (!background || !background->unreachable_at ||
	    now - background->unreachable_at >= ASK_INTERVAL_MIN)
		return;
	crashes_ended(gateway, endpoint, now);
	pump(gateway, endpoint);
}

void paths_probe(gateway_t *gateway, registry_endpoint_t *endpoint)
{
	pool_background_t *background = pool_background(endpoint);

	if (!background || background->probe)
		return;
	background->probe = pool_open(&gateway->pool, endpoint);
	gateway->counters.path_probes++;
}

static void ask_next_peer(gateway_t *gateway, registry_endpoint_t *endpoint,
			  pimento_usec_t now)
{
	pool_background_t *background = pool_background(endpoint);
	pool_terms_t any = { .random_bits = gateway_draw(gateway) };

	if (!background || background->tunnel)
		return;
	if (background->asked < ASKED_MAX)
		background->tunnel =
			pool_open_tunnel(&gateway->pool, endpoint, &any, now);
	if (background->tunnel)
		background->asked++;
	else if (background->denied && background->denied < WITNESSES)
		report_unreachable(gateway, endpoint, now);
}

static void set_next_round(endpoint_path_t *path, pimento_usec_t now)
{
	path->ask_interval *= 2;
	if (path->ask_interval < ASK_INTERVAL_MIN)
		path->ask_interval = ASK_INTERVAL_MIN;
	if (path->ask_interval > ASK_INTERVAL_MAX)
		path->ask_interval = ASK_INTERVAL_MAX;
	path->ask_at = now + path->ask_interval;
}

/* True if the endpoint's owner says so, which two peers found. */
static bool is_known_unreachable(const registry_endpoint_t *endpoint,
				 pimento_usec_t now)
{
	return endpoint->report.suspect && endpoint->report.ejected_ms &&
	       now - endpoint->report_received_at < REPORT_AGE_MAX;
}

/* Asks peers whether they reach an endpoint that this host does not. */
static void ask_peers(gateway_t *gateway, registry_endpoint_t *endpoint,
		      pimento_usec_t now)
{
	pool_background_t *background = pool_background(endpoint);

	if (!background || background->tunnel)
		return;
	background->denied = 0;
	/* one peer is enough to find out that the owner is wrong */
	background->asked =
		is_known_unreachable(endpoint, now) ? ASKED_MAX - 1 : 0;
	set_next_round(&endpoint->path, now);
	ask_next_peer(gateway, endpoint, now);
}

void paths_verify(gateway_t *gateway, registry_endpoint_t *endpoint)
{
	if (endpoint->path.state == ENDPOINT_PATH_LOST)
		ask_peers(gateway, endpoint, sys_now());
	else
		paths_probe(gateway, endpoint);
}

void paths_failed(gateway_t *gateway, registry_endpoint_t *endpoint,
		  bool refused)
{
	pimento_usec_t now = sys_now();

	endpoint->path.refused = refused;

	if (endpoint_path_failed(&endpoint->path, now))
		trail(TRAIL_STATE, "path", "lost", "endpoint=%s heard_ms=%lld",
		      endpoint->id,
		      endpoint->path.heard_at
			      ? (long long)((now - endpoint->path.heard_at) /
					    PIMENTO_MSEC)
			      : -1);
	endpoint->path.resets = 0;
	endpoint->path.breaks = 0;
	if (is_alone(gateway, now)) {
		slots_learn(gateway->slots, endpoint,
			    LATENCY_OUTCOME_UNREACHABLE, gateway->slots->self,
			    now);
		if (refused)
			crashes_ended(gateway, endpoint, now);
		return;
	}
	if (endpoint_path_is_blocked(&endpoint->path) &&
	    now >= endpoint->path.ask_at)
		ask_peers(gateway, endpoint, now);
	else if (refused)
		check_ended(gateway, endpoint, now);
}

static void avoid_peer(gateway_t *gateway, const httpc_t *conn,
		       pimento_usec_t now)
{
	registry_endpoint_t *endpoint = conn->owner;

	/* it answered for this endpoint alone, or is of no use at present */
	if (conn->tunnel_status == HTTP_STATUS_BAD_GATEWAY ||
	    conn->tunnel_status == HTTP_STATUS_NOT_FOUND)
		endpoint_path_avoid(&endpoint->path, conn->via, now);
	else
		peers_avoid_tunnel(gateway->roster, conn->via, now);
}

void paths_tunnel_failed(gateway_t *gateway, const httpc_t *conn)
{
	pimento_usec_t now = sys_now();

	avoid_peer(gateway, conn, now);
	if (endpoint_path_is_blocked(
		    &((registry_endpoint_t *)conn->owner)->path))
		ask_peers(gateway, conn->owner, now);
}

/* The breaks were the endpoint's doing. */
static void learn_breaks(gateway_t *gateway, registry_endpoint_t *endpoint,
			 pimento_usec_t now)
{
	registry_service_t *service =
		registry_get_service(gateway->registry, endpoint->service);

	for (; endpoint->path.breaks; endpoint->path.breaks--)
		if (service)
			latency_add_failure(&endpoint->latency,
					    &service->latency, now);
	for (; endpoint->path.resets; endpoint->path.resets--)
		report(gateway, endpoint, LATENCY_OUTCOME_RESET, now);
}

void paths_broken(gateway_t *gateway, registry_endpoint_t *endpoint, bool begun)
{
	pimento_usec_t now = sys_now();

	endpoint->path.breaks++;
	if (!begun)
		endpoint->path.resets++;
	if (is_alone(gateway, now))
		learn_breaks(gateway, endpoint, now);
	else
		paths_probe(gateway, endpoint);
}

static void probe_opened(gateway_t *gateway, registry_endpoint_t *endpoint,
			 pimento_usec_t now)
{
	if (endpoint_path_opened(&endpoint->path, now))
		trail(TRAIL_STATE, "path", "back", "endpoint=%s lost_ms=%lld",
		      endpoint->id,
		      (long long)((now - endpoint->path.lost_at) /
				  PIMENTO_MSEC));
	learn_breaks(gateway, endpoint, now);
}

/* An endpoint that was taken for unreachable is not. */
static void reached(gateway_t *gateway, registry_endpoint_t *endpoint,
		    pimento_usec_t now)
{
	if (!endpoint->latency.consecutive_unreachable)
		return;
	endpoint->latency.ejected_until = 0;
	report(gateway, endpoint, LATENCY_OUTCOME_ANSWERED, now);
}

void paths_opened(gateway_t *gateway, httpc_t *conn)
{
	registry_endpoint_t *endpoint = conn->owner;
	pool_background_t *background = pool_background(endpoint);
	pimento_usec_t now = sys_now();
	bool broke = endpoint->path.breaks;

	background->unreachable_at = 0;
	if (background->probe == conn) {
		background->probe = NULL;
		probe_opened(gateway, endpoint, now);
	} else {
		background->tunnel = NULL;
		endpoint_path_tunnelled(&endpoint->path, conn->via);
	}
	if (!broke)
		reached(gateway, endpoint, now);
	crashes_reached(gateway, endpoint, conn->begun);
	pool_release(conn);
	pump(gateway, endpoint);
}

void paths_not_opened(gateway_t *gateway, httpc_t *conn)
{
	registry_endpoint_t *endpoint = conn->owner;
	pool_background_t *background = pool_background(endpoint);
	pimento_usec_t now = sys_now();

	if (background->probe == conn) {
		background->probe = NULL;
		pool_remove(conn);
		paths_failed(gateway, endpoint, conn->refused);
		return;
	}
	background->tunnel = NULL;
	avoid_peer(gateway, conn, now);
	pool_remove(conn);
	if (conn->tunnel_status == HTTP_STATUS_BAD_GATEWAY &&
	    ++background->denied == WITNESSES)
		report_unreachable(gateway, endpoint, now);
	ask_next_peer(gateway, endpoint, now);
}

static void end_overdue(gateway_t *gateway, httpc_t *conn,
			pimento_usec_t timeout, pimento_usec_t now)
{
	if (!conn || gateway_elapsed(gateway, conn->since, now) <= timeout)
		return;
	paths_not_opened(gateway, conn);
	httpc_close(conn);
}

void paths_tick(gateway_t *gateway, pimento_usec_t now)
{
	registry_t *registry = gateway->registry;
	uint32_t probes = 0;

	registry_check_paths(registry, now);
	for (uint32_t i = 0; i < registry->count; i++) {
		registry_endpoint_t *endpoint = registry->endpoints[i];
		pool_background_t *background = pool_background(endpoint);

		if (!background)
			continue;
		end_overdue(gateway, background->probe, PROBE_TIMEOUT, now);
		end_overdue(gateway, background->tunnel, TUNNEL_TIMEOUT, now);
		if (endpoint_path_is_blocked(&endpoint->path) &&
		    now >= endpoint->path.ask_at &&
		    registry_endpoint_accepts_work(endpoint, now))
			ask_peers(gateway, endpoint, now);
		probes += background->probe != NULL;
		if (probes < PROBES_MAX && !background->probe &&
		    registry_endpoint_accepts_work(endpoint, now) &&
		    endpoint_path_begin_probe(&endpoint->path, now)) {
			paths_probe(gateway, endpoint);
			probes++;
		}
	}
}
