#ifndef SETTINGS_H
#define SETTINGS_H

/*
 * A daemon's own settings: TOML, checked whole. What the deployment does comes
 * from the platform's configuration, never from here.
 *
 *	deployment = "qurum"
 *	[host]      name, datacentre, address (IP number), http_port, peer_port
 *	[platform]  address, port
 *	[peers]     seeds = ["127.0.0.1:9081", ...]
 *	[keys]      secret = 64 hexadecimal digits
 *	[log]       level = "error" | "warning" | "info" | "debug"
 *	[limits]    connections, stop_seconds
 */

#include "config.h"

#define SETTINGS_SEEDS_MAX 16

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
	uint8_t secret[32];
	int log_level; /* syslog's numbers: 3 error, 4 warning, 6 info, 7 debug */
	uint32_t connections; /* callers served at once, default 1024 */
	uint32_t stop_seconds; /* longest graceful stop, default 900 */
} settings_t;

/* As pimento_config_parse(); every mistake goes to problems. */
int settings_parse(settings_t *settings, const char *text, size_t length,
		   const char *file, problems_t *problems);

#endif
