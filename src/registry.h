#ifndef REGISTRY_H
#define REGISTRY_H

/*
 * A host's table of the endpoints that the platform lists. Each entry holds the
 * endpoint's record, the host's requests in flight there, the latest report from
 * the endpoint's owner and the endpoint's latency model. A removed endpoint
 * stays in the table until the last request or connection that refers to it has
 * ended.
 */

#include "departures.h"
#include "endpoint_path.h"
#include "evacuation.h"
#include "latency.h"
#include "rate_limit.h"
#include "backoff.h"

/* State of an endpoint as reported by its owner. */
typedef struct registry_report {
	uint32_t running; /* requests in flight from all hosts */
	uint32_t waiting; /* requests in the owner's wait queue */
	uint32_t event_gap_us; /* time between events of a stream; 0: unknown */
	uint32_t ejected_ms; /* remaining time of its ejection; 0: none */
	/*
	 * The owner could not reach the endpoint and has had no answer from it
	 * since, or the endpoint fails too often.
	 */
	bool suspect;
} registry_report_t;

typedef struct registry_endpoint {
	char id[PIMENTO_NAME_MAX];
	pimento_id_t key; /* hash of id */
	pimento_id_t service; /* id of the service's name */
	pimento_id_t region; /* of its data centre; 0: unknown */
	char address[24]; /* numeric IPv4 */
	uint16_t port;
	char datacentre[PIMENTO_NAME_MAX];
	uint32_t slots; /* requests that the endpoint can run concurrently */
	/* When its slow start ends, see slow_start.h; 0: none. */
	pimento_usec_t starting_until;
	/* Since when this host is its owner; 0: it is not. */
	pimento_usec_t owned_since;
	/* Owner only: requests that may begin in its slow start, and when counted */
	double start_tokens;
	pimento_usec_t start_tokens_at;
	rate_limit_t rate_limit; /* that it has stated */
	backoff_t backoff; /* of this host alone */
	/*
	 * In slow start, or with a stated limit: others are preferred until
	 * then, as it had no slot.
	 */
	pimento_usec_t refused_until;
	int64_t started_at_ms; /* process start, ms since 1970; 0: unknown */
	/* Incremented when a new process takes over the id. */
	uint32_t incarnation;
	uint64_t revision; /* revision of the endpoint's record */
	/*
	 * Newest revision at which its departure was reported: it accepts
	 * requests again once its record is newer. 0: none
	 */
	uint64_t departed_revision;
	bool listed; /* present in the platform's list */
	bool leaving; /* accepts no new requests */
	bool stated_leaving; /* the same, as this process's answers say */
	bool evacuated; /* its data centre is evacuated */
	/* When an unlisted endpoint stops accepting requests; 0: listed. */
	pimento_usec_t removal_at;
	uint32_t refs; /* requests and connections that refer to this entry */
	uint32_t running; /* requests in flight from this host */
	/* Prompt tokens of this host's requests without an answer so far. */
	uint32_t pending_prompt_tokens;
	/* Requests in flight from other hosts, as last reported. */
	uint32_t remote_running;
	/*
	 * Prompt tokens of other hosts' requests without an answer so far, as
	 * last reported.
	 */
	uint32_t remote_prompt_tokens;
	registry_report_t report;
	/* This host's requests in flight at report_received_at. */
	uint32_t own_running_at_report;
	/* Arrival of the owner's report; 0: none. */
	pimento_usec_t report_received_at;
	/*
	 * The owner did not reply in time: no slot requests are sent to it
	 * until this time.
	 */
	pimento_usec_t owner_unresponsive_until;
	/* Cached address of the owner, valid for owner_change_count. */
	uint32_t owner;
	/* 1 + peers_owner_changes() when owner was computed; 0: never. */
	uint64_t owner_change_count;
	uint32_t sent_running; /* value of running last sent to the owner */
	/* When sent_running was last sent to the owner; 0: it is due now. */
	pimento_usec_t running_sent_at;
	latency_model_t latency;
	endpoint_path_t path; /* of this host alone */
	/* last answer that any host is known to have got there; 0: none */
	pimento_usec_t answered_at;
	/* when this host found that its process has ended; 0: it has not */
	pimento_usec_t ended_at;
	uint32_t idle_connections; /* open connections without a request */
	void *connections; /* connection pool, private to the I/O layer */
} registry_endpoint_t;

typedef struct registry_service {
	pimento_id_t key;
	bool queues_requests; /* a plain service, whose endpoints queue requests */
	/* How long an endpoint is slow after its start, at most; 0: unknown. */
	pimento_usec_t cold_start;
	/* Requests a second that an endpoint in slow start bears; 0: unknown. */
	double cold_per_second;
	latency_service_t latency;
} registry_service_t;

/* The region that a data centre lies in. */
typedef struct registry_region {
	char datacentre[PIMENTO_NAME_MAX];
	pimento_id_t region; /* hash of the region's name */
} registry_region_t;

/* By how much requests may exceed the rate that an endpoint in slow start bears. */
typedef struct registry_start_bounds {
	double overrun; /* requests in a second: rate * overrun + slack */
	double slack;
	/* Share of the known hosts that are live, and grant slots with this one. */
	double live_share;
} registry_start_bounds_t;

typedef struct registry {
	registry_endpoint_t **endpoints;
	uint32_t count;
	uint32_t capacity;
	registry_service_t **services; /* only a few, never removed */
	uint32_t service_count;
	evacuation_t evacuation;
	departures_t departures;
	registry_region_t *regions;
	uint32_t region_count;
	registry_start_bounds_t start_bounds;
	/* Called before an endpoint is freed, to close connections; or NULL. */
	void (*on_endpoint_free)(registry_endpoint_t *endpoint);
} registry_t;

/* Fields of an endpoint's record; strings are borrowed during the call. */
typedef struct registry_record {
	const char *id;
	const char *service;
	const char *address;
	uint16_t port;
	const char *datacentre;
	uint32_t slots;
	int64_t started_at_ms;
	/* time for which it is still slow after its start; 0: none */
	pimento_usec_t slow_start;
	uint64_t revision;
	bool leaving;
} registry_record_t;

void registry_init(registry_t *registry);
void registry_finish(registry_t *registry);

/*
 * Adds or updates an endpoint from its record. A different start time, address
 * or port means a new process: the latency model is reset and incarnation is
 * incremented. Returns NULL if out of memory.
 */
registry_endpoint_t *registry_put(registry_t *registry,
				  const registry_record_t *record);

/*
 * Records that the platform no longer lists the endpoint. It accepts no new
 * requests from removal_at on.
 */
void registry_schedule_removal(registry_t *registry, const char *id,
			       pimento_usec_t removal_at);

/*
 * Takes over a departure, also of an endpoint that is not known yet. Returns the
 * endpoint if it accepted requests until now, otherwise NULL.
 */
registry_endpoint_t *registry_depart(registry_t *registry,
				     const departure_t *departure,
				     pimento_usec_t now);

/* Forgets departures that need not be reported to peers any more. */
void registry_expire_departures(registry_t *registry, pimento_usec_t now);

/*
 * Identifies the process of an endpoint: the same on all hosts, and another one
 * after each start. Never 0.
 */
uint32_t registry_process_id(const registry_endpoint_t *endpoint);

registry_endpoint_t *registry_find(const registry_t *registry,
				   pimento_id_t key);
/* Finds a service, or adds it; returns NULL only if out of memory. */
registry_service_t *registry_get_service(registry_t *registry,
					 pimento_id_t key);

/*
 * Part of a rate that this host may grant as the owner of an endpoint: less
 * while other hosts may take another one for the owner, and in a partition.
 */
double registry_owner_share(const registry_t *registry,
			    const registry_endpoint_t *endpoint,
			    pimento_usec_t now);

/* Applies a report from an endpoint's owner, received at the given time. */
void registry_apply_report(registry_endpoint_t *endpoint,
			   const registry_report_t *report, pimento_usec_t at);

/*
 * Begins or ends the evacuation of a data centre: no new requests are sent to
 * its endpoints. They may have been restarted meanwhile without a new record,
 * so after the end they are taken to be in slow start. Returns the number of its
 * endpoints, or PIMENTO_ENOMEM.
 */
int registry_evacuate(registry_t *registry, const char *datacentre,
		      pimento_usec_t now);
int registry_end_evacuation(registry_t *registry, const char *datacentre,
			    pimento_usec_t now);
/* True if the endpoint accepts new requests but for an evacuation. */
bool registry_endpoint_is_evacuated(const registry_endpoint_t *endpoint,
				    pimento_usec_t now);

/*
 * Sets the region of a data centre, also of the endpoints there that are known.
 * Returns 0 or PIMENTO_ENOMEM.
 */
int registry_set_region(registry_t *registry, const char *datacentre,
			const char *region);

/* Region of the data centre whose name has this hash; 0: unknown. */
pimento_id_t registry_region_of(const registry_t *registry,
				pimento_id_t datacentre);

/*
 * Makes all paths suspect if two or more were lost lately and nothing came from
 * any endpoint since: this host is probably cut off from all. If a peer reaches
 * an endpoint that this host does not, makes the paths suspect that have kept
 * connections on which nothing came since.
 */
void registry_check_paths(registry_t *registry, pimento_usec_t now);

/* Frees endpoints whose removal is due and that nothing refers to. */
void registry_free_removed(registry_t *registry, pimento_usec_t now);

/* True if new requests may be sent to the endpoint. */
bool registry_endpoint_accepts_work(const registry_endpoint_t *endpoint,
				    pimento_usec_t now);

#endif
