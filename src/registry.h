#ifndef REGISTRY_H
#define REGISTRY_H

/*
 * The endpoints that the platform lists, with what this host has in flight
 * there and what it has learnt of them. An endpoint that has left stays in the
 * table until the last request and connection that points at it is gone.
 */

#include "latency.h"

/* What the owner of an endpoint says of it. */
typedef struct registry_report {
	uint32_t running; /* requests in flight, of all hosts */
	uint32_t waiting; /* in its line */
	uint32_t event_gap_us; /* between events of a stream there; 0 unknown */
	uint32_t ejected_ms; /* gets no new work for so long */
	bool unreachable; /* was not reached, and has not answered since */
} registry_report_t;

typedef struct registry_endpoint {
	char id[PIMENTO_NAME_MAX];
	pimento_id_t key; /* of the id */
	pimento_id_t service; /* of the service's name */
	char address[24]; /* numeric IPv4 */
	uint16_t port;
	char datacentre[PIMENTO_NAME_MAX];
	uint32_t slots; /* requests that it runs at once */
	int64_t started_at_ms; /* start of its process, ms since 1970; 0 unknown */
	uint32_t incarnation; /* goes up when a new process takes over the id */
	uint64_t revision; /* of the record that this was read from */
	bool listed; /* in the platform's list */
	bool leaving; /* takes no new work */
	pimento_usec_t removal_at; /* not listed any more: leaves then; 0 no */
	uint32_t refs; /* requests and connections that point here */
	uint32_t running; /* requests in flight from this host */
	uint32_t
		pending_prompt_tokens; /* tokens of prompts that are not answered yet */
	uint32_t remote_running; /* both, of all peers, as they last said */
	uint32_t remote_prompt_tokens;
	registry_report_t report;
	uint32_t
		own_running_at_report; /* running from this host, at that moment */
	pimento_usec_t report_at; /* 0 never */
	pimento_usec_t owner_unresponsive_until; /* it did not answer lately */
	uint32_t owner; /* cached address; good for owner_epoch */
	uint64_t owner_epoch;
	uint32_t reported_running; /* running, as last reported to the owner */
	pimento_usec_t reported_at;
	latency_model_t latency;
	uint32_t idle_connections; /* open, with no request */
	void *connections; /* of the I/O layer, which alone looks at it */
} registry_endpoint_t;

typedef struct registry_service {
	pimento_id_t key;
	bool queues_requests; /* its endpoints queue requests, and are no engines */
	latency_service_t latency;
} registry_service_t;

typedef struct registry {
	registry_endpoint_t **endpoints;
	uint32_t count;
	uint32_t capacity;
	registry_service_t **services; /* kept for good; a few */
	uint32_t service_count;
	/* Told before an endpoint is freed, to give connections back; or NULL. */
	void (*on_endpoint_free)(registry_endpoint_t *endpoint);
} registry_t;

/* What a record says of an endpoint; texts are borrowed for the call. */
typedef struct registry_record {
	const char *id;
	const char *service;
	const char *address;
	uint16_t port;
	const char *datacentre;
	uint32_t slots;
	int64_t started_at_ms;
	uint64_t revision;
	bool leaving;
} registry_record_t;

void registry_init(registry_t *registry);
void registry_finish(registry_t *registry);

/*
 * Enters or changes an endpoint. A record with another birth is another
 * process: what was learnt is forgotten and life goes up. Returns NULL without
 * memory.
 */
registry_endpoint_t *registry_put(registry_t *registry,
				  const registry_record_t *record);

/* The endpoint is not listed any more; it takes no new work from removal_at. */
void registry_schedule_removal(registry_t *registry, const char *id,
			       pimento_usec_t removal_at);

registry_endpoint_t *registry_find(const registry_t *registry,
				   pimento_id_t key);
/* Never NULL but without memory. */
registry_service_t *registry_get_service(registry_t *registry,
					 pimento_id_t key);

/* Takes the report that an endpoint's owner said at a time. */
void registry_apply_report(registry_endpoint_t *endpoint,
			   const registry_report_t *report, pimento_usec_t at);

/* Drops endpoints that are gone and that nobody holds. */
void registry_free_removed(registry_t *registry, pimento_usec_t now);

/* True if the endpoint may be given new work. */
bool registry_endpoint_accepts_work(const registry_endpoint_t *endpoint,
				    pimento_usec_t now);

#endif
