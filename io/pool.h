#ifndef POOL_H
#define POOL_H

/*
 * Connections to endpoints, kept between requests. New ones are expensive, and
 * an endpoint resets those beyond its bound for all callers together; idle ones
 * are closed by the endpoint after a time that it may or may not state.
 */

#include "httpc.h"

#include "../src/catalog.h"
#include "../src/peers.h"
#include "../src/registry.h"

typedef struct pool {
	struct ev_loop *loop;
	const httpc_ops_t *ops; /* of every connection */
	peers_t *peers; /* that may carry tunnels */
	const registry_t *registry;
	pimento_id_t datacentre; /* of this host */
	uint16_t peer_port;
	uint64_t opened; /* counters */
	uint64_t reused;
	uint64_t tunnels; /* of those opened */
} pool_t;

/* What a request needs of its connection. */
typedef struct pool_terms {
	/*
	 * it may not be sent twice: an idle connection only if the endpoint can
	 * hardly have closed it meanwhile
	 */
	bool careful;
	/* kept connections only if the endpoint was heard since; 0: any */
	pimento_usec_t heard_since;
	/* regions that its body may go to on the way; NULL: any */
	const catalog_regions_t *regions[2];
	uint64_t random_bits;
} pool_terms_t;

/* Connections to an endpoint that are being opened without a request. */
typedef struct pool_background {
	httpc_t *probe; /* a direct one; NULL: none */
	httpc_t *tunnel;
	uint32_t asked; /* peers, for a tunnel */
	uint32_t denied; /* of those, that do not reach the endpoint */
	pimento_usec_t unreachable_at; /* peers found so last; 0: never */
} pool_background_t;

/*
 * A connection to the endpoint: an idle one, or a new one that is still
 * connecting; through a peer's tunnel while this host has no path of its own.
 * The caller sets conn->user. Returns NULL if none can be had.
 */
httpc_t *pool_take(pool_t *pool, registry_endpoint_t *endpoint,
		   const pool_terms_t *terms, pimento_usec_t now);

/*
 * New connections without a request, direct or through a tunnel; NULL if none
 * can be had.
 */
httpc_t *pool_open(pool_t *pool, registry_endpoint_t *endpoint);
httpc_t *pool_open_tunnel(pool_t *pool, registry_endpoint_t *endpoint,
			  const pool_terms_t *terms, pimento_usec_t now);
/* NULL if memory is exhausted. */
pool_background_t *pool_background(registry_endpoint_t *endpoint);

/* Keeps the connection for other requests. */
void pool_release(httpc_t *conn);
/* The connection is closed, or will be by the caller. */
void pool_remove(httpc_t *conn);

/* An idle connection turned out to be dead when a request was sent on it. */
void pool_found_stale(httpc_t *conn, pimento_usec_t idle_time);

/*
 * Closes what has been idle too long or leads to an earlier incarnation, and
 * tunnels that are no longer needed.
 */
void pool_sweep(registry_endpoint_t *endpoint, pimento_usec_t now);

/* Closes all that are idle or being opened without a request. */
void pool_close(registry_endpoint_t *endpoint);

/* The same, and frees what was kept of the endpoint, which is to be dropped. */
void pool_drop(registry_endpoint_t *endpoint);

#endif
