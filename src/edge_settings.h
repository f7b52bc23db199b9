#ifndef EDGE_SETTINGS_H
#define EDGE_SETTINGS_H

/*
 * The settings of pimentoedge: TOML, checked whole. The platform renders the
 * file from the template deploy/settings.toml.in at each start and at each
 * change; keys that are not known here are refused, since the template is ours.
 *
 *	[host]    name, datacentre, address, first_start
 *	[listen]  callers, health, peers ("address:port"), gossip_port
 *	[peers]   seeds = ["10.1.0.25:8229", ...]
 *	[store]   address ("address:port")
 *	[limits]  memory_mb, descriptors, stop_seconds
 *	[bounds]  key_revoke_ms, retry_ratio, retry_slack, retry_window_s,
 *	          quota_window_s
 */

#include "config.h"

#define EDGE_SEEDS_MAX 8
#define EDGE_ADDRESS_MAX 32

typedef struct edge_settings {
	char name[PIMENTO_NAME_MAX];
	char datacentre[PIMENTO_NAME_MAX];
	char address[64];
	bool first_start; /* the whole system starts for the first time */
	char callers[EDGE_ADDRESS_MAX];
	char health[EDGE_ADDRESS_MAX];
	char peers[EDGE_ADDRESS_MAX];
	uint16_t gossip_port;
	char seeds[EDGE_SEEDS_MAX][EDGE_ADDRESS_MAX];
	uint32_t seed_count;
	char store[EDGE_ADDRESS_MAX];
	double memory_mb;
	double descriptors;
	double stop_seconds; /* until SIGKILL follows SIGTERM */
	double key_revoke_ms; /* a revoked key is dead after this */
	double retry_ratio; /* repeats for each request */
	double retry_slack; /* repeats of all hosts in a window */
	double retry_window_s;
	double quota_window_s;
} edge_settings_t;

/* Every mistake goes to problems. Returns 0 or PIMENTO_EPARSE. */
int edge_settings_parse(edge_settings_t *settings, const char *text,
			size_t length, const char *file, problems_t *problems);

#endif
