#ifndef TUNNEL_H
#define TUNNEL_H

/*
 * Connections to endpoints on behalf of peers that have no path there. A peer
 * asks by
 *
 *	GET /tunnel/ENDPOINT-ID HTTP/1.1
 *	Upgrade: pimento-tunnel/1
 *
 * and gets 101 once the endpoint has accepted a connection, 502 if it did not,
 * 404 if this host does not know it or sends nothing there, and 503 if this
 * host has no room or is stopping. From 101 on both sides send frames
 * (frame.h). This host passes bytes on and decides nothing: slots, attempts,
 * quotas and deadlines stay with the peer. It never uses a tunnel of its own
 * for a peer, so that a request passes one other host at most.
 */

#include "httpd.h"

#include "../src/registry.h"

#define TUNNEL_PATH "/tunnel/"
#define TUNNEL_PROTOCOL "pimento-tunnel/1"

typedef struct tunnel tunnel_t;

typedef struct tunnels {
	struct ev_loop *loop;
	registry_t *registry;
	tunnel_t *list;
	uint32_t count;
	uint32_t count_max;
	bool stopping;
	pimento_usec_t ticked_at;
	pimento_usec_t overloaded_until; /* takes no new tunnels */
	uint64_t opened; /* counters */
	uint64_t refused;
	uint64_t requests;
	uint64_t bytes; /* in both directions */
} tunnels_t;

void tunnels_init(tunnels_t *tunnels, struct ev_loop *loop,
		  registry_t *registry, uint32_t count_max);
void tunnels_finish(tunnels_t *tunnels);

/* Answers a peer's request for a tunnel, now or when the endpoint has. */
void tunnels_serve(tunnels_t *tunnels, httpd_conn_t *asker,
		   const char *endpoint);
/* The peer left before that. */
void tunnels_asker_gone(httpd_conn_t *asker);

/* Ends what takes too long; call ten times a second. */
void tunnels_tick(tunnels_t *tunnels, pimento_usec_t now);

/* Takes no new tunnels and tells peers to begin no new requests. */
void tunnels_stop(tunnels_t *tunnels);
/* Tunnels with a request whose answer the peer has not read. */
uint32_t tunnels_busy(const tunnels_t *tunnels);

#endif
