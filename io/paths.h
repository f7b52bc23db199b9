#ifndef PATHS_H
#define PATHS_H

/*
 * Keeps the paths from this host to endpoints: opens connections that probe a
 * lost path, and asks peers whether they reach the endpoint. Only if they do
 * not either is the endpoint itself taken for unreachable, and other hosts are
 * told. Until a probe succeeds, requests go through a peer's tunnel.
 */

#include "gateway.h"

/*
 * A direct connection for a request could not be opened; `refused` if nothing
 * listens at the endpoint.
 */
void paths_failed(gateway_t *gateway, registry_endpoint_t *endpoint,
		  bool refused);
/* A tunnel for a request could not be opened. */
void paths_tunnel_failed(gateway_t *gateway, const httpc_t *conn);
/*
 * A direct connection broke, after its answer had begun or before. Whether the
 * endpoint or the path did it is told by a probe.
 */
void paths_broken(gateway_t *gateway, registry_endpoint_t *endpoint,
		  bool begun);

/* Finds out whether new connections can be opened. */
void paths_probe(gateway_t *gateway, registry_endpoint_t *endpoint);
/* The same, through peers if the path is lost. */
void paths_verify(gateway_t *gateway, registry_endpoint_t *endpoint);

/* A connection without a request is open, or could not be opened. */
void paths_opened(gateway_t *gateway, httpc_t *conn);
void paths_not_opened(gateway_t *gateway, httpc_t *conn);

/* Begins probes that are due, ends what takes too long; every tick. */
void paths_tick(gateway_t *gateway, pimento_usec_t now);

#endif
