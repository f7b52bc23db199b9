#ifndef WORKLOAD_H
#define WORKLOAD_H

/*
 * What the two deployments ask for: classes of requests with their sizes,
 * tiers and patience, the endpoints that serve them, and the requests of one
 * run, drawn ahead so that every policy meets the very same ones.
 */

#include "config.h"
#include "engine.h"

#define WORKLOAD_CLASSES 6
#define WORKLOAD_ENDPOINTS 20
#define WORKLOAD_ACCOUNTS 5

typedef struct workload_class {
	const char *name;
	config_target_t target;
	uint8_t tier;
	double share; /* of the work at its target */
	uint32_t prompt_least;
	uint32_t prompt_most;
	uint32_t answer_least;
	uint32_t answer_most;
	uint32_t prefix_tokens; /* shared beginning of prompts */
	uint32_t prefix_kinds; /* how many different ones; 0 none */
	pimento_usec_t patience;
	bool repeatable;
	double burst; /* times the rate during the burst */
} workload_class_t;

typedef struct workload {
	const char *name;
	uint32_t tiers;
	uint32_t datacentres;
	uint32_t class_count;
	workload_class_t classes[WORKLOAD_CLASSES];
	uint32_t engine_count;
	uint32_t service_count;
	double speeds[WORKLOAD_ENDPOINTS]; /* engines first; 1 ordinary */
	double service_seconds; /* mean, at speed 1 */
	uint32_t service_slots;
} workload_t;

#define WORKLOADS 2
extern const workload_t workloads[WORKLOADS];

/* What happens in a run besides the load. */
typedef enum scenario {
	SCENARIO_STEADY,
	SCENARIO_BURST,
	SCENARIO_SLOW,
	SCENARIO_STALE_5,
	SCENARIO_STALE_30,
	SCENARIO_KILL,
	SCENARIO_CUT,
	SCENARIO_LEAVE,
	SCENARIOS
} scenario_t;

const char *scenario_name(scenario_t scenario);

/* Arrivals stop at RUN_ARRIVALS; the rest is for what is still running. */
#define RUN_ARRIVALS (300 * PIMENTO_SEC)
#define RUN_EVENT (100 * PIMENTO_SEC) /* when the scenario strikes */
#define RUN_EVENT_END (160 * PIMENTO_SEC)

typedef enum request_state {
	REQUEST_NEW,
	REQUEST_ENTRY, /* at an entry, not dispatched */
	REQUEST_DISPATCHED,
	REQUEST_AWAY, /* refused; the caller will come back */
	REQUEST_DONE
} request_state_t;

typedef struct request {
	uint64_t id;
	const workload_class_t *class;
	uint32_t account;
	pimento_usec_t arrival;
	pimento_usec_t deadline;
	uint32_t prompt;
	uint32_t answer;
	uint64_t prefix; /* 0 none */
	request_state_t state;
	uint32_t attempt; /* of the caller, from 0 */
	bool hopeless; /* came back too late for the fastest idle endpoint */
	uint32_t host;
	uint32_t endpoint;
	pimento_usec_t dispatched;
	pimento_usec_t first_token; /* when it came to the entry, 0 not yet */
	uint32_t epoch; /* of dispatch: events of an older one are ignored */
	job_t job;
	/* The policy's own. */
	uint32_t round;
	uint32_t slot;
	void *own;
} request_t;

/* Draws all requests of a run in order of arrival. */
request_t *workload_draw(const workload_t *workload, scenario_t scenario,
			 double load, uint64_t seed, uint32_t *count);

#endif
