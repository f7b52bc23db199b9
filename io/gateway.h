#ifndef GATEWAY_H
#define GATEWAY_H

/*
 * The data path of an entry host: requests of callers come in, wait for a
 * place, go to an endpoint and their answers go back. What is decided lies in
 * the pure library; what the wire looks like lies in the dialect.
 */

#include "crashes.h"
#include "dialect.h"
#include "httpd.h"
#include "slots.h"
#include "trials.h"
#include "pool.h"

#include "../src/quota_fleet.h"
#include "../src/catalog.h"
#include "../src/sse.h"
#include "../src/replica.h"
#include "../src/answer_time.h"
#include "../src/client_timeout.h"
#include "../src/placement.h"
#include "../src/retry_budget.h"
#include "../src/peers.h"
#include "../src/wait_queue.h"

/* Operators' bounds that the data path keeps. */
typedef struct gateway_bounds {
	pimento_usec_t key_lease; /* a copy older than this honours no key */
	retry_budget_limits_t retry;
	pimento_usec_t quota_window;
	bool early_rejection; /* see overload.h */
	double link_rate; /* bytes per second; 0: see host_load.h */
	quarantine_limits_t quarantines[QUARANTINE_KINDS];
} gateway_bounds_t;

typedef enum gateway_outcome {
	GATEWAY_SERVED,
	GATEWAY_PASSED, /* an endpoint's failure, passed on as it was */
	GATEWAY_REFUSED, /* not run, come back */
	GATEWAY_OVER_QUOTA,
	GATEWAY_DENIED, /* no such route, unknown key */
	GATEWAY_FAILED, /* may have run */
	GATEWAY_CUT, /* broken off in the middle of the answer */
	GATEWAY_LEFT, /* the caller left */
	GATEWAY_QUARANTINED, /* rejected, as its prompt crashes endpoints */
	GATEWAY_OUTCOMES
} gateway_outcome_t;

/* "served", "passed", ...; never NULL. */
const char *gateway_outcome_name(gateway_outcome_t outcome);

#define GATEWAY_BUCKETS 16 /* of doubling width from 1 ms */

typedef struct gateway_histogram {
	uint64_t buckets[GATEWAY_BUCKETS];
	uint64_t count;
	double sum_ms;
} gateway_histogram_t;

typedef struct gateway_counters {
	uint64_t requests;
	uint64_t outcomes[GATEWAY_OUTCOMES];
	uint64_t attempts;
	uint64_t repeats; /* beyond the first of a request */
	uint64_t retries_denied; /* beyond the retry budget */
	uint64_t hedges; /* searches for an endpoint beside a silent one */
	uint64_t hedges_won; /* of those, that replaced its attempt */
	uint64_t tunnelled; /* attempts through a peer */
	uint64_t path_probes; /* connections that test a path */
	uint64_t resumed;
	uint64_t events; /* of streams */
	gateway_histogram_t first; /* to the answer's first byte */
	gateway_histogram_t waited; /* for a place */
} gateway_counters_t;

/* What this host keeps of each service. */
typedef struct gateway_service {
	pimento_id_t key;
	wait_queue_t line;
	retry_budget_t budget;
	pimento_usec_t denial_logged_at; /* of a retry */
	double per_second; /* answers, decayed */
	uint32_t answers; /* since the last tick */
	uint32_t asks; /* requests in line at owners */
	demand_meter_t demand;
	demand_keeper_t keeper; /* if this host adds up the demand of all */
	uint64_t rejected; /* requests for which there was no slot in time */
	uint64_t rejected_logged;
	uint64_t promised; /* rejected requests that were given a turn */
	uint64_t returned; /* requests at their turn, */
	uint64_t returned_first; /* of those, before new ones */
	/* requests that began at endpoints much slower than the service */
	uint64_t begun_at_slow;
	pimento_usec_t demand_logged_at;
} gateway_service_t;

/* What this host has learnt of each route, by its name. */
typedef struct gateway_route {
	pimento_id_t key;
	client_timeout_t patience;
	answer_time_t answer_time;
} gateway_route_t;

typedef struct gateway {
	httpd_ops_t callers; /* first: the server calls these */
	httpc_ops_t endpoints;
	struct ev_loop *loop;
	httpd_t front;
	pool_t pool;
	const dialect_ops_t *dialect;
	const char *datacentre;
	gateway_bounds_t bounds;
	registry_t *registry;
	peers_t *roster;
	const replica_t *replica; /* of operators' records */
	const replica_t *endpoint_list;
	slots_t *slots;
	quota_fleet_ops_t quota_ops;
	quota_fleet_t quota;
	void (*send_quota)(void *context, uint32_t address,
			   const quota_message_t *message);
	void (*send_demand)(void *context, uint32_t address,
			    const demand_report_t *report);
	void *send_context;
	catalog_t *catalog; /* in force; NULL before the first */
	gateway_service_t **services;
	uint32_t service_count;
	gateway_route_t *routes;
	uint32_t route_count;
	struct exchange *exchanges;
	crashes_t crashes;
	trials_t trials;
	gateway_counters_t counters;
	uint64_t ticks;
	pimento_usec_t ticked_at;
	pimento_usec_t
		stalled_until; /* the last tick that came late; 0: none */
	uint64_t draws; /* state of the random numbers */
	pimento_usec_t started_at;
	bool first_start; /* of the whole system: no host has run before */
	bool open; /* takes connections of callers */
	bool stopping;
	pimento_usec_t stop_at; /* when new requests are turned away */
	pimento_usec_t ends_at; /* when the last answers are given */
	bool pumping;
	struct exchange *asking; /* while its ask is being sent */
} gateway_t;

typedef struct gateway_setup {
	struct ev_loop *loop;
	net_address_t listen;
	uint32_t connections_max;
	size_t bodies_bytes; /* of requests that are held, together */
	const char *datacentre; /* borrowed */
	uint16_t peer_port; /* of all hosts, for tunnels */
	const dialect_ops_t *dialect;
	gateway_bounds_t bounds;
	bool first_start; /* of the whole system */
	registry_t *registry;
	peers_t *roster;
	const replica_t *replica; /* of operators' records */
	const replica_t *endpoint_list;
	slots_t *slots;
	/* Sends a message about quotas to another host. */
	void (*send_quota)(void *context, uint32_t address,
			   const quota_message_t *message);
	/* The same for a message about a trial. */
	void (*send_trial)(void *context, uint32_t address,
			   const packet_trial_t *trial);
	/* The same for the demand of a service. */
	void (*send_demand)(void *context, uint32_t address,
			    const demand_report_t *report);
	void *send_context;
} gateway_setup_t;

/* Returns 0, or PIMENTO_EIO with errno set. */
int gateway_init(gateway_t *gateway, const gateway_setup_t *setup);
void gateway_finish(gateway_t *gateway);

/* The operator has changed the bounds. */
void gateway_set_bounds(gateway_t *gateway, const gateway_bounds_t *bounds);

/* A new version is in force; takes over the caller's hold. */
void gateway_configure(gateway_t *gateway, catalog_t *catalog);

/* A host's part of a service's demand, or the sum that a keeper replied. */
void gateway_receive_demand(gateway_t *gateway, const demand_report_t *report);

/* True if requests can be served: configuration known, and not too old. */
bool gateway_able(const gateway_t *gateway, pimento_usec_t now);

/*
 * Time since then, or since this host last stood still: what arrived while it
 * did has not been read yet, and its absence is no silence.
 */
pimento_usec_t gateway_elapsed(const gateway_t *gateway, pimento_usec_t since,
			       pimento_usec_t now);

/* The owner of an endpoint has answered an ask of this gateway. */
void gateway_replied(gateway_t *gateway, const packet_slot_reply_t *reply);

/* Ends what is overdue and tries what waits; call some 20 times a second. */
void gateway_tick(gateway_t *gateway, pimento_usec_t now);

/*
 * Begins a graceful stop: what comes until turn_away_at is still served, later
 * requests are told to come back, and so are those whose answers would not be
 * whole by ends_at.
 */
void gateway_stop(gateway_t *gateway, pimento_usec_t turn_away_at,
		  pimento_usec_t ends_at);
/* Requests that are owed an answer, or a part of one. */
uint32_t gateway_pending(const gateway_t *gateway);

/*
 * Gives the last answers: "not run", or that a request may have run. Answers
 * that have begun go on until the gateway is finished.
 */
void gateway_end(gateway_t *gateway);
/* Whole answers of which a part has not been handed to the system. */
uint32_t gateway_unsent(const gateway_t *gateway);

#endif
