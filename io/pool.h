#ifndef POOL_H
#define POOL_H

/*
 * Connections to endpoints that rest between requests. New ones are dear, and
 * an endpoint resets those beyond its bound for all callers together; resting
 * ones are closed by the endpoint after a time that it may or may not state.
 */

#include "httpc.h"

#include "../src/registry.h"

typedef struct pool {
	struct ev_loop *loop;
	const httpc_ops_t *ops; /* of every connection */
	uint64_t opened; /* counters */
	uint64_t reused;
} pool_t;

void pool_init(pool_t *pool, struct ev_loop *loop, const httpc_ops_t *ops);

/*
 * A connection to the endpoint: a resting one, or a new one that is still
 * connecting. With careful, only a resting one that the endpoint can hardly
 * have closed meanwhile, for a request that may not be sent twice. The caller
 * sets conn->user. Returns NULL if none can be had.
 */
httpc_t *pool_take(pool_t *pool, registry_endpoint_t *endpoint, bool careful,
		   pimento_usec_t now);

/* The connection rests again, or is over; both give it back to the pool. */
void pool_rest(httpc_t *conn);
void pool_over(httpc_t *conn);

/* A resting connection turned out to be dead when a request was sent on it. */
void pool_stale(httpc_t *conn, pimento_usec_t rested);

/* Closes what has rested too long, or leads to an earlier life. */
void pool_sweep(registry_endpoint_t *endpoint, pimento_usec_t now);

/* Closes all that rest. */
void pool_close(registry_endpoint_t *endpoint);

/* The same, and frees what was kept of the endpoint, which is to be dropped. */
void pool_drop(registry_endpoint_t *endpoint);

#endif
