/*
 * The most recently used connection goes first, so that the others lapse when
 * there is less to do. Each connection counts as a holder of its endpoint.
 */

#include "pool.h"

#include <stdlib.h>

/* Idle time after which a connection is closed if the endpoint states none. */
#define IDLE_MAX (4 * PIMENTO_SEC)
/* If it states one, connections are closed so much sooner. */
#define IDLE_MARGIN (500 * PIMENTO_MSEC)
/* Part of that time in which the endpoint has hardly closed it yet. */
#define CAREFUL_FRACTION 0.5
/* Least limit, however soon the endpoint is found to close connections. */
#define IDLE_MIN (100 * PIMENTO_MSEC)

/* What endpoint->connections points to. */
typedef struct endpoint_conns {
	httpc_t *idle; /* last used first */
	httpc_t *tunnels; /* the same, through peers */
	pool_background_t background;
	uint32_t incarnation; /* of the endpoint that they lead to */
	pimento_usec_t idle_max; /* found to be safe; 0: no limit found */
} endpoint_conns_t;

static endpoint_conns_t *conns_of(registry_endpoint_t *endpoint)
{
	if (!endpoint->connections)
		endpoint->connections = calloc(1, sizeof(endpoint_conns_t));
	return endpoint->connections;
}

static void close_conn(httpc_t *conn)
{
	registry_endpoint_t *endpoint = conn->owner;

	httpc_close(conn);
	endpoint->refs--;
}

static pimento_usec_t idle_limit(const endpoint_conns_t *conns,
				 const httpc_t *conn)
{
	pimento_usec_t most = IDLE_MAX;

	if (conn->keep > 2 * IDLE_MARGIN)
		most = conn->keep - IDLE_MARGIN;
	else if (conn->keep)
		most = conn->keep / 2;
	if (conns->idle_max && conns->idle_max < most)
		most = conns->idle_max;
	return most;
}

static bool is_fresh(const endpoint_conns_t *conns, const httpc_t *conn,
		     bool careful, pimento_usec_t now)
{
	pimento_usec_t most = idle_limit(conns, conn);

	if (careful)
		most = (pimento_usec_t)((double)most * CAREFUL_FRACTION);
	return now - conn->since < most;
}

static httpc_t *take_idle(registry_endpoint_t *endpoint,
			  const pool_terms_t *terms, pimento_usec_t now)
{
	endpoint_conns_t *conns = conns_of(endpoint);
	httpc_t *conn = conns->idle;

	if (!endpoint_path_allows_open(&endpoint->path) ||
	    endpoint->path.heard_at < terms->heard_since)
		return NULL;
	if (!conn || !is_fresh(conns, conn, terms->careful, now))
		return NULL; /* the others have been idle longer */
	conns->idle = conn->next;
	conn->next = NULL;
	endpoint->idle_connections--;
	return conn;
}

static void close_earlier_incarnation(registry_endpoint_t *endpoint,
				      endpoint_conns_t *conns)
{
	if (conns->incarnation == endpoint->incarnation)
		return;
	pool_close(endpoint);
	conns->incarnation = endpoint->incarnation;
}

/* What decides which data centres a request's body may pass. */
typedef struct passage {
	const pool_t *pool;
	const pool_terms_t *terms;
} passage_t;

static bool may_pass(const void *context, pimento_id_t datacentre)
{
	const passage_t *passage = context;
	pimento_id_t region =
		registry_region_of(passage->pool->registry, datacentre);

	for (int i = 0; i < 2; i++) {
		const catalog_regions_t *regions = passage->terms->regions[i];

		if (regions && !catalog_allows_region(regions, region))
			return false;
	}
	return true;
}

/* An idle tunnel through a peer that the request may pass. */
static httpc_t *take_tunnel(const pool_t *pool, registry_endpoint_t *endpoint,
			    const pool_terms_t *terms, pimento_usec_t now)
{
	endpoint_conns_t *conns = conns_of(endpoint);
	const passage_t passage = { pool, terms };
	httpc_t **at = &conns->tunnels;

	while (*at) {
		httpc_t *conn = *at;

		if (is_fresh(conns, conn, terms->careful, now) &&
		    may_pass(&passage, conn->via_datacentre) &&
		    peers_may_tunnel(pool->peers, conn->via, now)) {
			*at = conn->next;
			conn->next = NULL;
			endpoint->idle_connections--;
			return conn;
		}
		at = &conn->next;
	}
	return NULL;
}

static httpc_t *opened(pool_t *pool, registry_endpoint_t *endpoint,
		       httpc_t *conn)
{
	if (!conn)
		return NULL;
	pool->opened++;
	conn->owner = endpoint;
	endpoint->refs++;
	return conn;
}

httpc_t *pool_open(pool_t *pool, registry_endpoint_t *endpoint)
{
	net_address_t address = { .port = endpoint->port };

	if (net_parse_ip(endpoint->address, &address.ip))
		return NULL;
	return opened(pool, endpoint,
		      httpc_open(pool->loop, &address, pool->ops));
}

/* The peer of the last tunnel knows its own path to be good. */
static const peer_t *choose_peer(const pool_t *pool,
				 const endpoint_path_t *path,
				 const peers_tunnel_query_t *query,
				 pimento_usec_t now)
{
	const peer_t *peer =
		peers_get_tunnel(pool->peers, path->tunnel_peer, query, now);

	return peer ? peer : peers_choose_tunnel(pool->peers, query, now);
}

httpc_t *pool_open_tunnel(pool_t *pool, registry_endpoint_t *endpoint,
			  const pool_terms_t *terms, pimento_usec_t now)
{
	const endpoint_path_t *path = &endpoint->path;
	const passage_t passage = { pool, terms };
	const peers_tunnel_query_t query = {
		.own_datacentre = pool->datacentre,
		.endpoint_datacentre = pimento_id(endpoint->datacentre),
		.avoided = path->avoided,
		.avoided_count =
			path->avoided_until > now ? path->avoided_count : 0,
		.allows = may_pass,
		.context = &passage,
		.random_bits = terms->random_bits,
	};
	const peer_t *peer = choose_peer(pool, path, &query, now);
	net_address_t address = { .port = pool->peer_port };
	httpc_t *conn;

	if (!peer)
		return NULL;
	address.ip = peer->address;
	conn = opened(pool, endpoint,
		      httpc_open_tunnel(pool->loop, &address, endpoint->id,
					pool->ops));
	if (!conn)
		return NULL;
	conn->via_datacentre = peer->datacentre;
	pool->tunnels++;
	return conn;
}

pool_background_t *pool_background(registry_endpoint_t *endpoint)
{
	endpoint_conns_t *conns = conns_of(endpoint);

	return conns ? &conns->background : NULL;
}

httpc_t *pool_take(pool_t *pool, registry_endpoint_t *endpoint,
		   const pool_terms_t *terms, pimento_usec_t now)
{
	endpoint_conns_t *conns = conns_of(endpoint);
	httpc_t *conn;

	if (!conns)
		return NULL;
	close_earlier_incarnation(endpoint, conns);
	conn = take_idle(endpoint, terms, now);
	if (!conn && !endpoint_path_allows_new(&endpoint->path)) {
		endpoint->path.wanted_at = now;
		conn = take_tunnel(pool, endpoint, terms, now);
	}
	if (conn) {
		pool->reused++;
		return conn;
	}
	if (!endpoint_path_allows_new(&endpoint->path))
		conn = pool_open_tunnel(pool, endpoint, terms, now);
	if (!conn && endpoint->path.state != ENDPOINT_PATH_LOST)
		conn = pool_open(pool, endpoint);
	return conn;
}

void pool_release(httpc_t *conn)
{
	endpoint_conns_t *conns = conns_of(conn->owner);
	httpc_t **list;

	conn->user = NULL;
	if (!conns) {
		close_conn(conn);
		return;
	}
	list = conn->via ? &conns->tunnels : &conns->idle;
	conn->next = *list;
	*list = conn;
	((registry_endpoint_t *)conn->owner)->idle_connections++;
}

void pool_remove(httpc_t *conn)
{
	registry_endpoint_t *endpoint = conn->owner;
	endpoint_conns_t *conns = endpoint->connections;
	httpc_t **at = NULL;

	if (conns)
		at = conn->via ? &conns->tunnels : &conns->idle;
	while (at && *at && *at != conn)
		at = &(*at)->next;
	if (at && *at) {
		*at = conn->next;
		endpoint->idle_connections--;
	}
	endpoint->refs--;
}

void pool_found_stale(httpc_t *conn, pimento_usec_t idle_time)
{
	endpoint_conns_t *conns = conns_of(conn->owner);

	if (!conns)
		return;
	conns->idle_max = idle_time / 2;
	if (conns->idle_max < IDLE_MIN)
		conns->idle_max = IDLE_MIN;
}

static void close_idle(registry_endpoint_t *endpoint, httpc_t **at, bool all,
		       pimento_usec_t now)
{
	const endpoint_conns_t *conns = endpoint->connections;

	while (*at) {
		httpc_t *conn = *at;

		if (!all && now - conn->since < idle_limit(conns, conn)) {
			at = &conn->next;
			continue;
		}
		*at = conn->next;
		endpoint->idle_connections--;
		close_conn(conn);
	}
}

void pool_sweep(registry_endpoint_t *endpoint, pimento_usec_t now)
{
	endpoint_conns_t *conns = endpoint->connections;

	if (!conns)
		return;
	close_earlier_incarnation(endpoint, conns);
	close_idle(endpoint, &conns->idle, false, now);
	close_idle(endpoint, &conns->tunnels,
		   endpoint_path_allows_new(&endpoint->path), now);
}

void pool_close(registry_endpoint_t *endpoint)
{
	endpoint_conns_t *conns = endpoint->connections;

	if (!conns)
		return;
	close_idle(endpoint, &conns->idle, true, 0);
	close_idle(endpoint, &conns->tunnels, true, 0);
	if (conns->background.probe)
		close_conn(conns->background.probe);
	if (conns->background.tunnel)
		close_conn(conns->background.tunnel);
	conns->background = (pool_background_t){ 0 };
}

void pool_drop(registry_endpoint_t *endpoint)
{
	pool_close(endpoint);
	free(endpoint->connections);
	endpoint->connections = NULL;
}
