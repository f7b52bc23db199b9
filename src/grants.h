#ifndef GRANTS_H
#define GRANTS_H

/*
 * The slots of endpoints that this host keeps count of for all hosts. With
 * many hosts, notes are a second old; hosts that choose by them all send to
 * what was free a second ago. So each endpoint has one host that counts, its
 * owner: the others ask it for a place, wait there in one line in order of
 * urgency, and say when they have done. A grant is a lease, which the host
 * renews by reporting what it has in flight.
 *
 * A grant is advice. An owner that is frozen, cut off or gone grants nothing;
 * who asks then goes by its own view.
 */

#include "../pimentoshelf.h"

/*
 * Endpoints in whose queues a request waits at once: a single one frees a slot
 * too rarely for the most urgent. Each costs three datagrams of a request that
 * has to wait.
 */
#define GRANTS_QUEUES_MAX 6

/* A host reports this often what it has in flight, */
#define GRANTS_REPORT_INTERVAL (1 * PIMENTO_SEC)
/* and what it did not report for so long is taken for over. */
#define GRANTS_LEASE (3 * PIMENTO_SEC)

/* Who asks, and for what. */
typedef struct grants_request {
	uint32_t endpoint; /* low half of its key */
	uint32_t address; /* of the host that asks */
	uint64_t ticket; /* chosen by that host, never used again */
	uint64_t rank; /* urgency: less is more urgent */
	bool overdue; /* cannot be on time any more */
	pimento_usec_t
		overdue_in; /* until then it can, if not late; 0 always */
	bool unconditional; /* goes there anyway: is only to be counted */
	pimento_usec_t queue_timeout; /* how long it waits in line */
	/* how far it is ahead of one that comes now; below 0 behind it */
	pimento_usec_t head_start;
} grants_request_t;

typedef struct grants_entry {
	grants_request_t request;
	bool granted;
	pimento_usec_t since; /* of the grant, or of the wait */
	pimento_usec_t renewed_at; /* its host last reported it */
} grants_entry_t;

/* Requests of a host that were not granted here: by another owner, or none. */
typedef struct grants_foreign {
	uint32_t address;
	uint32_t running;
	pimento_usec_t reported_at;
} grants_foreign_t;

typedef struct grants_endpoint {
	uint32_t endpoint;
	pimento_usec_t requested_at; /* last, by anybody */
	uint32_t foreign_running; /* of all hosts */
	uint32_t granted;
	uint32_t waiting;
	grants_entry_t *entries;
	uint32_t count;
	uint32_t size;
	grants_foreign_t *foreign;
	uint32_t foreign_count;
	uint32_t foreign_size;
} grants_endpoint_t;

typedef struct grants {
	grants_endpoint_t *endpoints;
	uint32_t count;
} grants_t;

void grants_init(grants_t *grants);
void grants_finish(grants_t *grants);

/* Takes a question in. Returns 0 or PIMENTO_ENOMEM; grants_grant_next() answers. */
int grants_request(grants_t *grants, const grants_request_t *request,
		   pimento_usec_t now);

/* True if the ask is still in line. */
bool grants_is_waiting(const grants_t *grants, const grants_request_t *request);

/* The request is over, or does not want the place any more. */
void grants_release(grants_t *grants, uint32_t endpoint, uint32_t address,
		    uint64_t ticket);

/*
 * The next request of the line that gets one of so many slots; call until it
 * returns false, after each ask and release.
 */
bool grants_grant_next(grants_t *grants, uint32_t endpoint, uint32_t slots,
		       pimento_usec_t now, grants_request_t *granted);

/*
 * A host reports how many of its requests are in flight at an endpoint. That
 * renews its grants, drops those whose release was lost, and tells a new owner
 * what it did not grant. Returns 0 or PIMENTO_ENOMEM.
 */
int grants_report(grants_t *grants, uint32_t endpoint, uint32_t address,
		  uint32_t running, pimento_usec_t now);

/* Drops what no host has reported for GRANTS_LEASE. */
void grants_expire(grants_t *grants, uint32_t endpoint, pimento_usec_t now);

/* True if hosts ask here for its slots, or did lately. */
bool grants_is_requested(const grants_t *grants, uint32_t endpoint,
			 pimento_usec_t now);

/* This host does not keep the endpoint any more. */
void grants_remove_endpoint(grants_t *grants, uint32_t endpoint);

/* True if anybody has asked or said a word about it. */
bool grants_has_endpoint(const grants_t *grants, uint32_t endpoint);

/* In flight, and waiting; 0 for an endpoint that was never asked for. */
uint32_t grants_running(const grants_t *grants, uint32_t endpoint);
uint32_t grants_waiting(const grants_t *grants, uint32_t endpoint);

#endif
