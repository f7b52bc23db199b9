#ifndef TEST_EDGE_H
#define TEST_EDGE_H

/*
 * A deployment on loopback as the platform would run it: the store's stand-in,
 * workers, and entry hosts (pimentoedge). Hosts have addresses of their own in
 * 127.0.1.0/24 for each other, and face callers on 127.0.0.1.
 */

#include "../standin/client.h"
#include "process.h"
#include "relay.h"

#include <pthread.h>
#include <stdatomic.h>

#define EDGE_HOSTS_MAX 48
#define EDGE_WORKERS_MAX 4
#define EDGE_PATH_HOSTS_MAX 6 /* with paths of their own */

/* Routes of the configuration that edge_start() publishes. */
#define EDGE_STREAM "/stream/go/stream" /* resumable, two attempts */
#define EDGE_ONCE "/once/go/stream" /* a stream, not to be repeated */
#define EDGE_SAFE "/safe/go"
#define EDGE_UNSAFE "/unsafe/go"
#define EDGE_KEY "key-one"
#define EDGE_LIMITED_KEY "key-limited" /* of ten requests a second */

typedef struct edge_host {
	process_t process;
	uint16_t callers;
	uint16_t health;
	bool started_before;
} edge_host_t;

typedef struct edge {
	process_t store;
	process_t workers[EDGE_WORKERS_MAX];
	edge_host_t hosts[EDGE_HOSTS_MAX];
	uint32_t worker_count;
	uint32_t host_count;
	uint16_t peer_port;
	uint16_t gossip_port;
	uint32_t key_revoke_ms; /* 0: default of 3000 */
	double link_mbps; /* of each host; 0: not stated to them */
	bool early_rejection; /* [overload] of hosts that start from now on */
	bool engines; /* workers are model engines, whose places have owners */
	/* What hosts are told in place of the ports above; 0: those. */
	uint16_t store_front;
	uint16_t worker_fronts[EDGE_WORKERS_MAX];
	uint16_t peer_fronts[EDGE_HOSTS_MAX]; /* port of peers, per host */
	/*
	 * Each host reaches the workers through relays of its own, which a
	 * store of its own lists.
	 */
	bool own_paths;
	process_t stores[EDGE_PATH_HOSTS_MAX]; /* store is the first */
	relay_t paths[EDGE_PATH_HOSTS_MAX][EDGE_WORKERS_MAX];
} edge_t;

/* Starts all of it and waits until each host is ready, or fails the test. */
void edge_start(edge_t *edge, uint32_t hosts, uint32_t workers);
/* The same with hosts that are told the rate of their link. */
void edge_start_links(edge_t *edge, uint32_t hosts, uint32_t workers,
		      double link_mbps);
/* The same with workers that are model engines. */
void edge_start_engines(edge_t *edge, uint32_t hosts, uint32_t workers);
/* The same with hosts that reject early. */
void edge_start_rejecting(edge_t *edge, uint32_t hosts, uint32_t workers);
/* The same with relays between each host and each worker. */
void edge_start_paths(edge_t *edge, uint32_t hosts, uint32_t workers);
void edge_start_engine_paths(edge_t *edge, uint32_t hosts, uint32_t workers);
void edge_stop(edge_t *edge);

/* How a host loses its path to a worker. */
typedef enum edge_cut {
	EDGE_CUT_SILENT, /* nothing comes through, nothing is closed */
	EDGE_CUT_RESET, /* open connections are reset, new ones refused */
	EDGE_CUT_NEW_REFUSED, /* open connections live on */
	EDGE_CUT_NEW_HANG, /* the same, and new ones hang */
	EDGE_CUT_LOSS, /* as SILENT, and nothing is acknowledged */
	EDGE_CUTS
} edge_cut_t;

void edge_cut_path(edge_t *edge, uint32_t host, uint32_t worker,
		   edge_cut_t how);
void edge_mend_path(edge_t *edge, uint32_t host, uint32_t worker);

/* Starts one worker; for one that was killed, again, under a new name. */
void edge_start_worker(edge_t *edge, uint32_t index, const char *name);

/* Starts one host; for one that was killed, again. Does not wait. */
void edge_start_host(edge_t *edge, uint32_t index);

/* Calls of the store's stand-in. */
void edge_put(const edge_t *edge, const char *key, const char *value);
void edge_remove(const edge_t *edge, const char *key);
void edge_mode(const edge_t *edge, const char *mode);
void edge_forget(const edge_t *edge);

/* Publishes a configuration; keys is a JSON list of the account's keys. */
void edge_configure(const edge_t *edge, uint32_t version, const char *keys,
		    uint32_t body_bytes_max);

/* Publishes a configuration with additional routes of about 190 bytes each. */
void edge_configure_routes(const edge_t *edge, uint32_t version,
			   const char *keys, uint32_t routes);

/* Publishes a worker's record, in data centre "a" or another. */
void edge_list_worker(const edge_t *edge, uint32_t index, const char *state);
void edge_list_worker_in(const edge_t *edge, uint32_t index,
			 const char *datacentre, const char *state);
/* The same with the time of its start, which tells processes of one id apart. */
void edge_list_process(const edge_t *edge, uint32_t index,
		       const char *datacentre, const char *state,
		       uint32_t started_at_ms);

/* A request with the key, an id, a deadline and the name of the host ("h0"). */
client_reply_t edge_ask(const edge_t *edge, uint32_t host, const char *path,
			const char *behave, const char *body);
/* The same with a key of one's own; "" sends none. */
client_reply_t edge_ask_key(const edge_t *edge, uint32_t host, const char *path,
			    const char *key);

#define EDGE_CALLERS 18

/* Callers that send requests through all hosts until they are told to end. */
typedef struct edge_callers {
	const edge_t *edge;
	const char *path;
	pthread_t threads[EDGE_CALLERS];
	atomic_uint started;
	atomic_bool stopping;
	atomic_uint served;
	atomic_uint not_served;
} edge_callers_t;

void edge_call(edge_callers_t *callers, const edge_t *edge, const char *path);
void edge_end_calls(edge_callers_t *callers);

/* Status of the health check; 0 without an answer. */
long edge_health(const edge_t *edge, uint32_t host);
/* Waits until the health check gives status. Returns false if it does not. */
bool edge_wait_health(const edge_t *edge, uint32_t host, long status,
		      int timeout_ms);

/* A value of a host's metrics page; -1 if it has none. */
long edge_metric(const edge_t *edge, uint32_t host, const char *name);

/* A number that the worker's stand-in tells: "runs", "here", "open", "in_backoff". */
long edge_worker(const edge_t *edge, uint32_t index, const char *name);

/*
 * The worker states a limit of requests a second in its answers (0: none), or
 * in its rejections alone, and rejects so many in 100.
 */
void edge_set_worker(const edge_t *edge, uint32_t index, double limit,
		     uint32_t rejected, bool only_rejections);

/*
 * For so long the worker rejects all requests through a host ("h0"; "all":
 * through any) with this text as Retry-After.
 */
void edge_set_backoff(const edge_t *edge, uint32_t index, const char *value,
		      int span_ms, const char *sender);
/* The worker says from now on in all its answers that it leaves. */
void edge_leave_worker(const edge_t *edge, uint32_t index);

/* A plain connection to a host's callers' port; closes with close(). */
int edge_connect(const edge_t *edge, uint32_t host);
void edge_send(int fd, const char *text);
/* Reads until text appears or the connection ends or time is up. */
bool edge_expect(int fd, const char *text, int timeout_ms);

#endif
