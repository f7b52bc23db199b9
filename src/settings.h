#ifndef SETTINGS_H
#define SETTINGS_H

/*
 * The local settings of one pimentod, in TOML: its addresses, its secret and its
 * limits. Every key is checked. What the deployment serves is not set here; it
 * comes from the configuration that the platform publishes.
 *
 *	deployment = "qurum"
 *	[host]      name, datacentre, address (IP address), http_port, peer_port
 *	[platform]  address, port
 *	[peers]     seeds = ["127.0.0.1:9081", ...]
 *	[keys]      secret = 64 hexadecimal digits
 *	[log]       level = "error" | "warning" | "info" | "debug"
 *	[limits]    connections, stop_seconds
 *
 * [peers], [log] and [limits] are optional.
 */

#include "config.h"

#define SETTINGS_SEEDS_MAX 16

/* A peer that is contacted first, to learn of the other hosts. */
typedef struct settings_seed {
	char address[64];
	uint16_t port;
} settings_seed_t;

typedef struct settings {
	char deployment[PIMENTO_NAME_MAX];
	char name[PIMENTO_NAME_MAX];
	char datacentre[PIMENTO_NAME_MAX];
	char address[64];
	uint16_t http_port;
	uint16_t peer_port;
	char platform_address[64];
	uint16_t platform_port;
	uint32_t seed_count;
	settings_seed_t seeds[SETTINGS_SEEDS_MAX];
	uint8_t secret[32]; /* authenticates issued idempotency keys */
	int log_level; /* as for syslog: 3 error, 4 warning, 6 info, 7 debug */
	uint32_t connections; /* of callers; maximum, default 1024 */
	uint32_t stop_seconds; /* maximum of a graceful shutdown, default 900 */
} settings_t;

/*
 * Parses and checks settings; every error is added to problems. Returns the same
 * errors as pimento_config_parse().
 */
int settings_parse(settings_t *settings, const char *text, size_t length,
		   const char *file, problems_t *problems);

#endif
