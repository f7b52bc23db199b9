#ifndef EDGE_SETTINGS_H
#define EDGE_SETTINGS_H

/*
 * The settings of pimentoedge, in TOML. The platform renders the file from the
 * template deploy/settings.toml.in whenever a host starts or a value changes.
 * Unknown keys are errors: the template belongs to this project, so an unknown
 * key can only be a mistake.
 *
 *	[host]    name, datacentre, address, first_start
 *	[listen]  callers, health, peers ("address:port"), gossip_port
 *	[peers]   seeds = ["10.1.0.25:8229", ...], hosts (0: not known)
 *	[store]   address ("address:port")
 *	[regions] DATACENTRE = "region", for each data centre
 *	[limits]  memory_mb, descriptors, link_mbps, stop_seconds
 *	[bounds]  key_revoke_ms, retry_ratio, retry_slack, retry_window_s,
 *	          quota_window_s, slow_start_overrun, slow_start_slack
 *
 *	[quarantine] ends, interval_s, request_interval_s, interval_max_s
 *	[overload] early_rejection
 *
 * [peers], [regions], [limits], [bounds], [quarantine] and [overload] are
 * optional. Where the region of an endpoint is not known, requests that are limited to regions are not sent there.
 */

#include "config.h"

#define EDGE_SEEDS_MAX 8
#define EDGE_ADDRESS_MAX 32
#define EDGE_DATACENTRES_MAX 64

typedef struct edge_region {
	char datacentre[PIMENTO_NAME_MAX];
	char region[PIMENTO_NAME_MAX];
} edge_region_t;

typedef struct edge_settings {
	char name[PIMENTO_NAME_MAX];
	char datacentre[PIMENTO_NAME_MAX];
	char address[64];
	bool first_start; /* no host of the deployment has run before */
	char callers[EDGE_ADDRESS_MAX];
	char health[EDGE_ADDRESS_MAX];
	char peers[EDGE_ADDRESS_MAX];
	uint16_t gossip_port;
	char seeds[EDGE_SEEDS_MAX][EDGE_ADDRESS_MAX];
	uint32_t seed_count;
	/*
	 * number of entry hosts: what a host that finds none of them takes for
	 * alive; 0: not known
	 */
	double hosts;
	char store[EDGE_ADDRESS_MAX];
	edge_region_t regions[EDGE_DATACENTRES_MAX];
	uint32_t region_count;
	double memory_mb; /* memory limit of the process */
	double descriptors; /* limit of open file descriptors */
	double link_mbps; /* this host's link, each way; 0: not known */
	double stop_seconds; /* from SIGTERM until SIGKILL */
	double key_revoke_ms; /* a revoked API key is refused after this */
	double retry_ratio; /* retries allowed for each request */
	/* retries of all hosts allowed in a window beyond the ratio */
	double retry_slack;
	double retry_window_s; /* window of the retry budget */
	double quota_window_s; /* window in which quotas are counted */
	/*
	 * requests in a second at an endpoint in slow start, over all hosts: the
	 * rate that its service states, times the overrun, plus the slack
	 */
	double slow_start_overrun;
	double slow_start_slack;
	/*
	 * ends of endpoints under requests with one prompt part, from which such
	 * requests are rejected; time to the first trial of one, and the longest
	 * time between two
	 */
	double quarantine_ends;
	double quarantine_interval_s;
	double quarantine_request_interval_s;
	double quarantine_interval_max_s;
	/* requests for which there is no slot in time are rejected at arrival */
	bool early_rejection;
} edge_settings_t;

/*
 * Parses and checks settings; every error is added to problems. Returns 0,
 * PIMENTO_EPARSE or PIMENTO_ENOMEM.
 */
int edge_settings_parse(edge_settings_t *settings, const char *text,
			size_t length, const char *file, problems_t *problems);

#endif
