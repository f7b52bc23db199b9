#ifndef DIRECTORY_H
#define DIRECTORY_H

/*
 * The endpoints that the platform lists, with what this host has in flight
 * there and what it has learnt of them. An endpoint that has left stays in the
 * table until the last request and connection that points at it is gone.
 */

#include "latency.h"

/* What the owner of an endpoint says of it. */
typedef struct directory_word {
	uint32_t running; /* requests in flight, of all hosts */
	uint32_t waiting; /* in its line */
	uint32_t gap_us; /* between events of a stream there; 0 unknown */
	uint32_t ejected_ms; /* gets no new work for so long */
	bool doubtful; /* was not reached, and has not answered since */
} directory_word_t;

typedef struct directory_endpoint {
	char id[PIMENTO_NAME_MAX];
	pimento_id_t key; /* of the id */
	pimento_id_t service; /* of the service's name */
	char address[24]; /* numeric IPv4 */
	uint16_t port;
	char datacentre[PIMENTO_NAME_MAX];
	uint32_t slots; /* requests that it runs at once */
	int64_t born; /* start of its process, ms since 1970; 0 unknown */
	uint32_t life; /* goes up when a new process takes over the id */
	uint64_t revision; /* of the record that this was read from */
	bool listed; /* in the platform's list */
	bool leaving; /* takes no new work */
	pimento_usec_t gone_at; /* not listed any more: leaves then; 0 no */
	uint32_t holders; /* requests and connections that point here */
	uint32_t running; /* requests in flight from this host */
	uint32_t reading; /* tokens of prompts that are not answered yet */
	uint32_t elsewhere; /* both, of all peers, as they last said */
	uint32_t reading_elsewhere;
	directory_word_t told;
	uint32_t told_own; /* running from this host, at that moment */
	pimento_usec_t told_at; /* 0 never */
	pimento_usec_t owner_silent_until; /* it did not answer lately */
	uint32_t owner; /* cached address; good for owner_epoch */
	uint64_t owner_epoch;
	uint32_t reported; /* running, as last reported to the owner */
	pimento_usec_t reported_at;
	latency_model_t pace;
	uint32_t idle_connections; /* open, with no request */
	void *connections; /* of the I/O layer, which alone looks at it */
} directory_endpoint_t;

typedef struct directory_service {
	pimento_id_t key;
	bool plain; /* its endpoints queue requests, and are no engines */
	latency_service_t pace;
} directory_service_t;

typedef struct directory {
	directory_endpoint_t **endpoints;
	uint32_t count;
	uint32_t size;
	directory_service_t **services; /* kept for good; a few */
	uint32_t service_count;
	/* Told before an endpoint is freed, to give connections back; or NULL. */
	void (*dropped)(directory_endpoint_t *endpoint);
} directory_t;

/* What a record says of an endpoint; texts are borrowed for the call. */
typedef struct directory_record {
	const char *id;
	const char *service;
	const char *address;
	uint16_t port;
	const char *datacentre;
	uint32_t slots;
	int64_t born;
	uint64_t revision;
	bool leaving;
} directory_record_t;

void directory_init(directory_t *directory);
void directory_finish(directory_t *directory);

/*
 * Enters or changes an endpoint. A record with another birth is another
 * process: what was learnt is forgotten and life goes up. Returns NULL without
 * memory.
 */
directory_endpoint_t *directory_put(directory_t *directory,
				    const directory_record_t *record);

/* The endpoint is not listed any more; it takes no new work from gone_at. */
void directory_gone(directory_t *directory, const char *id,
		    pimento_usec_t gone_at);

directory_endpoint_t *directory_find(const directory_t *directory,
				     pimento_id_t key);
/* Never NULL but without memory. */
directory_service_t *directory_service(directory_t *directory,
				       pimento_id_t key);

/* Takes the word that an endpoint's owner said at a time. */
void directory_told(directory_endpoint_t *endpoint,
		    const directory_word_t *word, pimento_usec_t at);

/* Drops endpoints that are gone and that nobody holds. */
void directory_sweep(directory_t *directory, pimento_usec_t now);

/* True if the endpoint may be given new work. */
bool directory_takes(const directory_endpoint_t *endpoint, pimento_usec_t now);

#endif
