#ifndef TEST_FLEET_H
#define TEST_FLEET_H

/*
 * A whole deployment as processes on loopback: platforms, engines, services
 * and daemons with generated settings and configuration. With a split, the
 * daemons form two halves, each half has a platform of its own that publishes
 * the same, and every link between the halves goes through relays, so that a
 * test can cut the fleet in two.
 */

#include "../standin/client.h"
#include "process.h"
#include "relay.h"

#define FLEET_HOSTS_MAX 8
#define FLEET_ENGINES_MAX 12
#define FLEET_SERVICES_MAX 3
#define FLEET_PLATFORMS_MAX 2

/* The accounts' API keys; contracts are in fleet.c's configuration. */
#define FLEET_KEY "shop-api-key"
#define FLEET_OTHER_KEY "other-api-key"
#define FLEET_BODY_MAX 1048576

typedef struct fleet_engine {
	int prefill; /* 0: 20000 */
	int decode; /* 0: 200 */
	int batch; /* 0: 8 */
	int cache_tokens; /* 0: 65536 */
	int concurrency; /* in the configuration; 0: as batch */
	bool fencing;
} fleet_engine_t;

typedef struct fleet_options {
	int hosts;
	int engines;
	int services;
	int split; /* hosts in the first half; 0: no halves */
	int service_delay_ms;
	int stop_seconds; /* 0: 15 */
	fleet_engine_t engine[FLEET_ENGINES_MAX];
	const char *log_level; /* NULL: "info" */
	const char *config_more; /* TOML put at the end; NULL: none */
	const char *evacuated; /* TOML array of data centres; NULL: none */
} fleet_options_t;

typedef struct fleet {
	fleet_options_t options;
	int platforms;
	process_t platform[FLEET_PLATFORMS_MAX];
	process_t engine[FLEET_ENGINES_MAX];
	process_t service[FLEET_SERVICES_MAX];
	process_t host[FLEET_HOSTS_MAX];
	uint16_t http_port[FLEET_HOSTS_MAX];
	uint16_t peer_port[FLEET_HOSTS_MAX];
	bool leaving[FLEET_HOSTS_MAX]; /* as published */
	bool gone[FLEET_HOSTS_MAX]; /* not published any more */
	relay_t relay[FLEET_HOSTS_MAX]; /* to a host from the other half */
} fleet_t;

/* Starts all and waits until all are healthy. Returns 0, or -1. */
int fleet_start(fleet_t *fleet, const fleet_options_t *options);

/* Stops whatever still runs. Returns how many had to be killed. */
int fleet_stop(fleet_t *fleet);

/* Starts the stand-ins only, so that a test can boot the daemons itself. */
int fleet_start_standins(fleet_t *fleet, const fleet_options_t *options);

/* Starts a daemon, also one that had ended. Returns once it is healthy. */
int fleet_start_host(fleet_t *fleet, int host);

/* Publishes the host list or the configuration. Returns the revision, or 0. */
uint64_t fleet_publish_hosts(fleet_t *fleet);
uint64_t fleet_publish_config(fleet_t *fleet, const char *more);

/* Cuts the two halves apart, both ways and silently, and joins them again. */
void fleet_cut(fleet_t *fleet);
void fleet_mend(fleet_t *fleet);

/* POST of JSON to a stand-in's control. Returns 0, or -1. */
int fleet_control(uint16_t port, const char *path, const char *json);

/*
 * How often any request was started in all engines and services: the most of
 * one request id, and the sum over all requests.
 */
typedef struct fleet_runs {
	uint32_t requests;
	uint32_t started;
	uint32_t finished;
	uint32_t most; /* starts of one request id */
} fleet_runs_t;

int fleet_runs(fleet_t *fleet, fleet_runs_t *runs);

/* Starts under one idempotency key in all services. */
int fleet_key_runs(fleet_t *fleet, const char *key);

#define FLEET_KEY_MAX 256

/* Fetches a key that a daemon issues. Returns 0, or -1. */
int fleet_issue_key(uint16_t port, char key[FLEET_KEY_MAX]);

/* Draws a caller's own key that carries its birth: a UUID version 7. */
void fleet_draw_key(char key[FLEET_KEY_MAX]);

/* A completion through a daemon, with the shop's key. */
client_call_t fleet_completion(uint16_t port, const char *json);

#endif
