#ifndef WORLD_H
#define WORLD_H

/*
 * One run: callers, entry hosts, links and endpoints as small fakes around a
 * policy that decides. It strikes with the scenario's fault, counts what became
 * of each request, and looks at every request given up whether less urgent
 * work was left waiting.
 */

#include "message.h"
#include "owner.h"
#include "workload.h"

#define WORLD_HOSTS_MAX 8
#define WORLD_LINK (1 * PIMENTO_MSEC)
#define WORLD_SLOWDOWN 5
#define WORLD_STRUCK_ENDPOINT 2 /* by slow-down or leaving */
#define WORLD_DETECT (2 * PIMENTO_SEC) /* until a dead host is known dead */

typedef struct world world_t;
typedef struct policy policy_t;

/* A policy's struct has this as its first member. */
struct policy {
	const char *name;
	int (*start)(policy_t *policy, world_t *world);
	void (*finish)(policy_t *policy);
	/* A caller's request came to an entry. */
	void (*submit)(policy_t *policy, request_t *r);
	/* The first token, or the whole answer, came back to the entry. */
	void (*first)(policy_t *policy, request_t *r);
	void (*done)(policy_t *policy, request_t *r);
	/* The caller left, or the request is lost with its host. */
	void (*left)(policy_t *policy, request_t *r);
	/* A load report reached all hosts. */
	void (*report)(policy_t *policy, uint32_t endpoint,
		       const load_report_t *report);
	/* A message of a peer reached a host. NULL where none are sent. */
	void (*receive)(policy_t *policy, uint32_t host, uint32_t from,
			const message_t *message);
	/* Which hosts a host holds live has changed, or an endpoint leaves. */
	void (*view)(policy_t *policy, uint32_t host);
	void (*leaving)(policy_t *policy, uint32_t endpoint);
	/*
	 * Less urgent requests that wait within reach of a host: at owners that
	 * its messages reach and that it holds live.
	 */
	uint32_t (*waiting_below)(policy_t *policy, uint32_t host,
				  const request_t *r);
};

typedef struct tier_count {
	uint32_t offered;
	uint32_t good; /* answered whole while the caller cared */
	uint32_t refused; /* final answer "not run" */
	uint32_t gone; /* the caller left, no final answer before */
	uint32_t lost; /* with a host that died: "may have run" or no answer */
} tier_count_t;

typedef struct world_stats {
	tier_count_t tiers[PIMENTO_TIERS_MAX];
	tier_count_t classes[WORKLOAD_CLASSES];
	uint32_t refused_late;
	uint32_t refused_busy;
	uint32_t refused_other;
	uint32_t inversions;
	uint64_t wasted; /* prompt tokens read and thrown away */
	uint64_t read; /* prompt tokens read in all */
	double busy[WORKLOAD_ENDPOINTS]; /* as in engine_t */
	double reading[WORKLOAD_ENDPOINTS];
	double batched[WORKLOAD_ENDPOINTS];
	pimento_usec_t give_up; /* longest from first refusal to final answer */
	uint64_t messages;
	uint64_t message_bytes;
} world_stats_t;

struct world {
	sim_t sim;
	pimento_random_t random;
	const workload_t *workload;
	scenario_t scenario;
	policy_t *policy;
	pimento_config_t config;
	config_endpoint_t descriptions[WORKLOAD_ENDPOINTS];
	engine_t engines[WORKLOAD_ENDPOINTS];
	bool endpoint_left[WORKLOAD_ENDPOINTS];
	uint32_t endpoint_count;
	request_t *requests;
	uint32_t request_count;
	uint32_t next_arrival;
	uint32_t hosts;
	bool dead[WORLD_HOSTS_MAX];
	bool cut;
	bool live[WORLD_HOSTS_MAX][WORLD_HOSTS_MAX]; /* as the first sees */
	world_stats_t stats;
};

typedef struct world_options {
	const workload_t *workload;
	scenario_t scenario;
	double load;
	uint64_t seed;
	policy_t *policy;
} world_options_t;

/* Runs it to the end; stats are what came out. */
void world_run(const world_options_t *options, world_stats_t *stats);

/* What a policy may do. */

/* One way; the entry must not touch the request's place any more. */
void world_dispatch(world_t *world, request_t *r, uint32_t endpoint);
/* A final answer: not run. decided is when it was first known. */
void world_refuse(world_t *world, request_t *r, int reason,
		  pimento_usec_t retry_after, pimento_usec_t decided);
void world_send(world_t *world, uint32_t from, uint32_t to,
		const message_t *message);
bool world_serves(const world_t *world, const request_t *r, uint32_t endpoint);
/* True if messages pass between two hosts now. */
bool world_reaches(const world_t *world, uint32_t a, uint32_t b);

#endif
