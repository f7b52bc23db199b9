#ifndef GRANTS_H
#define GRANTS_H

/*
 * Counts the slots of endpoints on behalf of all hosts. Gossip messages are up
 * to a second old, and many hosts that choose by them would all send to the
 * slots that were free a second ago. So each endpoint has one host that counts
 * its slots, the owner: the other hosts send it slot requests, which wait there
 * in one queue in order of urgency, and report when their requests have ended.
 * A grant is a lease, which a host renews by reporting what it has in flight.
 *
 * A grant is advisory. An owner that is frozen, partitioned or dead grants
 * nothing; the requesting host then decides by its own view of the endpoint.
 */

#include "../pimentoshelf.h"

/*
 * Number of endpoints in whose queues one request waits at the same time: a
 * single endpoint frees a slot too rarely for the most urgent requests. Each
 * costs three datagrams for a request that has to wait.
 */
#define GRANTS_QUEUES_MAX 6

/* Interval at which a host reports to an owner what it has in flight. */
#define GRANTS_REPORT_INTERVAL (1 * PIMENTO_SEC)
/*
 * Grants and running requests that their host has not reported for this long
 * are dropped.
 */
#define GRANTS_LEASE (3 * PIMENTO_SEC)

/* A host's request for a slot at an endpoint. */
typedef struct grants_request {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	uint32_t address; /* address of the requesting host */
	uint64_t ticket; /* chosen by the requesting host, never reused */
	uint64_t rank; /* urgency: a lower rank is more urgent */
	bool overdue; /* can no longer meet its objective */
	/*
	 * time in the queue after which it can no longer meet its objective;
	 * 0: no limit
	 */
	pimento_usec_t overdue_in;
	/* dispatched without waiting for a grant; only counted */
	bool unconditional;
	/* time in the queue after which the request is dropped */
	pimento_usec_t queue_timeout;
	/*
	 * added to its time in the queue, to order it among requests of equal
	 * rank; negative: behind a request that arrives at the same time
	 */
	pimento_usec_t head_start;
} grants_request_t;

typedef struct grants_entry {
	grants_request_t request;
	bool granted;
	pimento_usec_t
		since; /* when it was granted or, while it waits, queued */
	/* when its host last reported it as running */
	pimento_usec_t renewed_at;
} grants_entry_t;

/*
 * Running requests of a host that hold no grant of this owner: another owner
 * granted them, or none did.
 */
typedef struct grants_foreign {
	uint32_t address;
	uint32_t running;
	pimento_usec_t reported_at;
} grants_foreign_t;

typedef struct grants_endpoint {
	uint32_t endpoint;
	/* time of the last slot request from any host */
	pimento_usec_t requested_at;
	/* sum of grants_foreign_t.running over all hosts */
	uint32_t foreign_running;
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

/*
 * Adds a slot request to the queue of its endpoint. Returns 0 or
 * PIMENTO_ENOMEM. The grant comes from grants_grant_next().
 */
int grants_request(grants_t *grants, const grants_request_t *request,
		   pimento_usec_t now);

/*
 * True if the slot request is still in the queue, neither granted nor dropped.
 */
bool grants_is_waiting(const grants_t *grants, const grants_request_t *request);

/*
 * Frees the slot of a request that has ended, or withdraws a slot request that
 * waits. If the ticket is unknown here, one request is subtracted from those
 * that the host reported and this owner did not grant; a ticket of 0 frees
 * nothing. Returns true if this owner had granted the slot.
 */
bool grants_release(grants_t *grants, uint32_t endpoint, uint32_t address,
		    uint64_t ticket);

/*
 * Grants the first request in the queue if fewer than slots are in use, and
 * copies it to granted. To be called until it returns false, after each slot
 * request and each release.
 */
bool grants_grant_next(grants_t *grants, uint32_t endpoint, uint32_t slots,
		       pimento_usec_t now, grants_request_t *granted);

/*
 * Handles a host's report of how many of its requests run at an endpoint. It
 * renews the host's grants, drops those whose release was lost, and counts
 * requests that a previous owner granted. Returns 0 or PIMENTO_ENOMEM.
 */
int grants_report(grants_t *grants, uint32_t endpoint, uint32_t address,
		  uint32_t running, pimento_usec_t now);

/* Tells whether the process that a host's requests came from has ended. */
typedef bool grants_is_dead_t(void *context, uint32_t address);

/*
 * Drops all that an endpoint's hosts hold if they are dead: endpoints end the
 * requests of a host as soon as its connections are closed.
 */
void grants_drop_dead(grants_t *grants, uint32_t endpoint,
		      grants_is_dead_t *is_dead, void *context);

/* Drops grants and running requests that were not reported for GRANTS_LEASE. */
void grants_expire(grants_t *grants, uint32_t endpoint, pimento_usec_t now);

/*
 * True if this host received a slot request for the endpoint within the last
 * 3 s.
 */
bool grants_is_requested(const grants_t *grants, uint32_t endpoint,
			 pimento_usec_t now);

/* Frees all state of an endpoint whose slots this host no longer counts. */
void grants_remove_endpoint(grants_t *grants, uint32_t endpoint);

/* True if a slot request or a report for the endpoint was received. */
bool grants_has_endpoint(const grants_t *grants, uint32_t endpoint);

/*
 * Number of requests running at an endpoint, and of slot requests waiting for
 * it; 0 for an unknown endpoint.
 */
uint32_t grants_running(const grants_t *grants, uint32_t endpoint);
uint32_t grants_waiting(const grants_t *grants, uint32_t endpoint);

#endif
