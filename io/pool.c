/*
 * The most recently used connection goes first, so that the others lapse when
 * there is less to do. Each connection counts as a holder of its endpoint.
 */

#include "pool.h"

#include <stdlib.h>

/* A connection rests at most so long if the endpoint states nothing. */
#define REST_MOST (4 * PIMENTO_SEC)
/* And ends so long before the time that the endpoint states. */
#define REST_MARGIN (500 * PIMENTO_MSEC)
/* Part of that time in which the endpoint has surely not closed it yet. */
#define CAREFUL_PART 0.5
/* A time at which one was found dead is halved, down to this. */
#define TRUST_LEAST (100 * PIMENTO_MSEC)

/* What endpoint->connections points to. */
typedef struct shelf {
	httpc_t *resting; /* last used first */
	uint32_t life; /* of the endpoint, that they lead to */
	pimento_usec_t trust; /* rests shorter than this ended well; 0: any */
} shelf_t;

void pool_init(pool_t *pool, struct ev_loop *loop, const httpc_ops_t *ops)
{
	*pool = (pool_t){ .loop = loop, .ops = ops };
}

static shelf_t *shelf_of(registry_endpoint_t *endpoint)
{
	if (!endpoint->connections)
		endpoint->connections = calloc(1, sizeof(shelf_t));
	return endpoint->connections;
}

static void let_go(httpc_t *conn)
{
	registry_endpoint_t *endpoint = conn->owner;

	httpc_close(conn);
	endpoint->refs--;
}

static pimento_usec_t rest_most(const shelf_t *shelf, const httpc_t *conn)
{
	pimento_usec_t most = REST_MOST;

	if (conn->keep > 2 * REST_MARGIN)
		most = conn->keep - REST_MARGIN;
	else if (conn->keep)
		most = conn->keep / 2;
	if (shelf->trust && shelf->trust < most)
		most = shelf->trust;
	return most;
}

static bool is_good(const shelf_t *shelf, const httpc_t *conn, bool careful,
		    pimento_usec_t now)
{
	pimento_usec_t most = rest_most(shelf, conn);

	if (careful)
		most = (pimento_usec_t)((double)most * CAREFUL_PART);
	return now - conn->since < most;
}

static httpc_t *take_resting(registry_endpoint_t *endpoint, bool careful,
			     pimento_usec_t now)
{
	shelf_t *shelf = shelf_of(endpoint);
	httpc_t *conn = shelf->resting;

	if (!conn || !is_good(shelf, conn, careful, now))
		return NULL; /* the others have rested longer */
	shelf->resting = conn->next;
	conn->next = NULL;
	endpoint->idle_connections--;
	return conn;
}

static void forget_earlier_life(registry_endpoint_t *endpoint, shelf_t *shelf)
{
	if (shelf->life == endpoint->incarnation)
		return;
	pool_close(endpoint);
	shelf->life = endpoint->incarnation;
}

httpc_t *pool_take(pool_t *pool, registry_endpoint_t *endpoint, bool careful,
		   pimento_usec_t now)
{
	shelf_t *shelf = shelf_of(endpoint);
	net_address_t address = { .port = endpoint->port };
	httpc_t *conn;

	if (!shelf || net_parse_ip(endpoint->address, &address.ip))
		return NULL;
	forget_earlier_life(endpoint, shelf);
	conn = take_resting(endpoint, careful, now);
	if (conn) {
		pool->reused++;
		return conn;
	}
	conn = httpc_open(pool->loop, &address, pool->ops);
	if (!conn)
		return NULL;
	pool->opened++;
	conn->owner = endpoint;
	endpoint->refs++;
	return conn;
}

void pool_rest(httpc_t *conn)
{
	shelf_t *shelf = shelf_of(conn->owner);

	conn->user = NULL;
	if (!shelf) {
		let_go(conn);
		return;
	}
	conn->next = shelf->resting;
	shelf->resting = conn;
	((registry_endpoint_t *)conn->owner)->idle_connections++;
}

void pool_over(httpc_t *conn)
{
	registry_endpoint_t *endpoint = conn->owner;
	shelf_t *shelf = endpoint->connections;
	httpc_t **at = shelf ? &shelf->resting : NULL;

	while (at && *at && *at != conn)
		at = &(*at)->next;
	if (at && *at) {
		*at = conn->next;
		endpoint->idle_connections--;
	}
	endpoint->refs--;
}

void pool_stale(httpc_t *conn, pimento_usec_t rested)
{
	shelf_t *shelf = shelf_of(conn->owner);

	if (!shelf)
		return;
	shelf->trust = rested / 2;
	if (shelf->trust < TRUST_LEAST)
		shelf->trust = TRUST_LEAST;
}

void pool_sweep(registry_endpoint_t *endpoint, pimento_usec_t now)
{
	shelf_t *shelf = endpoint->connections;
	httpc_t **at;

	if (!shelf)
		return;
	forget_earlier_life(endpoint, shelf);
	at = &shelf->resting;
	while (*at) {
		httpc_t *conn = *at;

		if (now - conn->since < rest_most(shelf, conn)) {
			at = &conn->next;
			continue;
		}
		*at = conn->next;
		endpoint->idle_connections--;
		let_go(conn);
	}
}

void pool_close(registry_endpoint_t *endpoint)
{
	shelf_t *shelf = endpoint->connections;

	while (shelf && shelf->resting) {
		httpc_t *conn = shelf->resting;

		shelf->resting = conn->next;
		endpoint->idle_connections--;
		let_go(conn);
	}
}

void pool_drop(registry_endpoint_t *endpoint)
{
	pool_close(endpoint);
	free(endpoint->connections);
	endpoint->connections = NULL;
}
