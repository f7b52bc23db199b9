#ifndef QUOTA_FLEET_H
#define QUOTA_FLEET_H

/*
 * Quotas over all hosts together. Each account has an owner, by rendezvous
 * hashing over the live hosts, which keeps its bucket; a host asks it for each
 * request, one datagram each way. An owner that does not answer is passed over:
 * first for its successor, then for this host's own even part of the limit, so
 * that hosts that are cut off go on within theirs.
 */

#include "quota.h"
#include "peers.h"

typedef enum quota_message_kind {
	QUOTA_REQUEST,
	QUOTA_REPLY,
	QUOTA_REFUND,
	QUOTA_MESSAGE_KINDS
} quota_message_kind_t;

/* What hosts send each other; a reply repeats what was asked. */
typedef struct quota_message {
	quota_message_kind_t kind;
	uint32_t address; /* of the sender */
	uint32_t account; /* low half of its key */
	uint64_t ticket; /* chosen by the host that asks */
	double tokens;
	uint32_t tier;
	quota_limit_t limit; /* and the configuration that states it */
	uint64_t version;
	bool admitted;
	pimento_usec_t retry_after;
	double level;
} quota_message_t;

typedef struct quota_decision {
	bool admitted;
	pimento_usec_t retry_after;
	double level; /* of the account, where it was judged */
	uint32_t
		deciding_host; /* host that counted it; 0: this host's own part */
} quota_decision_t;

typedef struct quota_fleet_ops {
	void (*send)(void *context, uint32_t address,
		     const quota_message_t *message);
	/* The answer to an ask, perhaps before quota_fleet_request() returns. */
	void (*decided)(void *context, uint64_t ticket,
			const quota_decision_t *decision);
} quota_fleet_ops_t;

/* An ask without an answer. */
typedef struct quota_pending {
	quota_message_t req;
	pimento_usec_t requested_at;
	pimento_usec_t sent_at; /* last; 0: held back */
	uint32_t sent_to;
	uint32_t tries;
} quota_pending_t;

/* Hosts that did not answer lately. */
#define QUOTA_FLEET_UNRESPONSIVE_MAX 8

typedef struct quota_fleet_unresponsive {
	uint32_t address;
	pimento_usec_t until;
} quota_fleet_unresponsive_t;

typedef struct quota_fleet {
	const quota_fleet_ops_t *ops;
	void *context;
	peers_t *peers;
	quota_t owned; /* buckets of accounts, kept for all hosts */
	quota_t fallback; /* this host's part, while no owner answers */
	quota_pending_t *pending;
	uint32_t pending_count;
	uint32_t pending_size;
	quota_fleet_unresponsive_t unresponsive[QUOTA_FLEET_UNRESPONSIVE_MAX];
	uint32_t unresponsive_next;
	bool first_start;
	uint64_t requests; /* counters */
	uint64_t unanswered; /* sends without an answer in time */
	uint64_t local_decisions; /* judged by this host's own part */
} quota_fleet_t;

typedef struct quota_fleet_setup {
	const quota_fleet_ops_t *ops;
	void *context;
	peers_t *peers;
	pimento_usec_t window;
	bool first_start;
} quota_fleet_setup_t;

void quota_fleet_init(quota_fleet_t *fleet, const quota_fleet_setup_t *setup);
void quota_fleet_finish(quota_fleet_t *fleet);

/* What a request needs; ticket is never used again. */
typedef struct quota_request {
	uint64_t ticket;
	pimento_id_t account;
	quota_limit_t limit;
	uint64_t version; /* of the configuration */
	uint32_t tier;
	double tokens;
} quota_request_t;

/* Asks; decided() gets the answer. Returns 0 or PIMENTO_ENOMEM. */
int quota_fleet_request(quota_fleet_t *fleet, const quota_request_t *request,
			pimento_usec_t now);

/* Nobody waits for the answer any more; what it admits is refunded. */
void quota_fleet_cancel(quota_fleet_t *fleet, uint64_t ticket);

/* A request that was admitted has not run; judge is the decision's. */
void quota_fleet_refund(quota_fleet_t *fleet, uint32_t deciding_host,
			pimento_id_t account, double tokens);

void quota_fleet_receive(quota_fleet_t *fleet, const quota_message_t *message,
			 pimento_usec_t now);

/* Asks again where no answer came; call some 20 times a second. */
void quota_fleet_tick(quota_fleet_t *fleet, pimento_usec_t now);

#endif
