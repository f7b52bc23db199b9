#ifndef QUOTA_FLEET_H
#define QUOTA_FLEET_H

/*
 * Token quotas over all hosts together. Each account has an owner host, chosen
 * by rendezvous hashing over the live hosts, which keeps its bucket; other
 * hosts ask the owner for each request, with one datagram each way. If the
 * owner does not answer, the host asks the owner's successor, and if that does
 * not answer either, decides within its own even share of the limit, so that
 * hosts in a network partition continue within their shares.
 */

#include "quota.h"
#include "peers.h"

typedef enum quota_message_kind {
	QUOTA_REQUEST,
	QUOTA_REPLY,
	QUOTA_REFUND,
	QUOTA_MESSAGE_KINDS
} quota_message_kind_t;

/* Message between hosts; a reply repeats the fields of the request. */
typedef struct quota_message {
	quota_message_kind_t kind;
	uint32_t address; /* address of the sender */
	uint32_t account; /* low half of the account's key */
	uint64_t ticket; /* id of the request, chosen by the requesting host */
	double tokens;
	uint32_t tier;
	quota_limit_t limit;
	uint64_t version; /* version of the configuration that sets the limit */
	bool admitted; /* replies only: whether the tokens may be used */
	pimento_usec_t retry_after; /* replies only */
	/* replies only: level of the account's bucket, in tokens */
	double level;
} quota_message_t;

typedef struct quota_decision {
	bool admitted;
	pimento_usec_t retry_after;
	/* tokens in the account's bucket at the deciding host */
	double level;
	/* host that counted the request; 0: counted in this host's own share */
	uint32_t deciding_host;
} quota_decision_t;

typedef struct quota_fleet_ops {
	void (*send)(void *context, uint32_t address,
		     const quota_message_t *message);
	/*
	 * Receives the decision, perhaps before quota_fleet_request()
	 * returns.
	 */
	void (*decided)(void *context, uint64_t ticket,
			const quota_decision_t *decision);
} quota_fleet_ops_t;

/* Request that waits for a decision. */
typedef struct quota_pending {
	quota_message_t request;
	pimento_usec_t requested_at;
	/* time of the last send; 0: deferred, not sent yet */
	pimento_usec_t sent_at;
	uint32_t sent_to; /* address of the host last sent to */
	uint32_t tries;
} quota_pending_t;

/* Number of recently unresponsive hosts that are remembered. */
#define QUOTA_FLEET_UNRESPONSIVE_MAX 8

typedef struct quota_fleet_unresponsive {
	uint32_t address;
	pimento_usec_t until; /* time until which the host is bypassed */
} quota_fleet_unresponsive_t;

typedef struct quota_fleet {
	const quota_fleet_ops_t *ops;
	void *context;
	peers_t *peers;
	quota_t owned; /* buckets that this host keeps for all hosts */
	/* buckets of this host's own share, used while no owner answers */
	quota_t fallback;
	quota_pending_t *pending;
	uint32_t pending_count;
	uint32_t pending_size;
	quota_fleet_unresponsive_t unresponsive[QUOTA_FLEET_UNRESPONSIVE_MAX];
	uint32_t unresponsive_next;
	bool first_start;
	/* number of requests since the start */
	uint64_t requests;
	/* number of datagrams to owners that were not answered in time */
	uint64_t unanswered;
	/* number of requests decided within this host's own share */
	uint64_t local_decisions;
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

/* A request to admit tokens of an account; tickets are never reused. */
typedef struct quota_request {
	uint64_t ticket;
	pimento_id_t account;
	quota_limit_t limit;
	uint64_t version; /* version of the configuration that sets the limit */
	uint32_t tier;
	double tokens;
} quota_request_t;

/*
 * Requests a decision, which decided() receives. Returns 0 or PIMENTO_ENOMEM.
 */
int quota_fleet_request(quota_fleet_t *fleet, const quota_request_t *request,
			pimento_usec_t now);

/* Cancels a pending request; tokens that a later reply admits are refunded. */
void quota_fleet_cancel(quota_fleet_t *fleet, uint64_t ticket);

/*
 * Puts back into an account's quota the tokens of an admitted request that has
 * not run. deciding_host is taken from the request's quota_decision_t.
 */
void quota_fleet_refund(quota_fleet_t *fleet, uint32_t deciding_host,
			pimento_id_t account, double tokens);

void quota_fleet_receive(quota_fleet_t *fleet, const quota_message_t *message,
			 pimento_usec_t now);

/*
 * Sends deferred requests, and sends requests that were not answered in time to
 * another host. Call some 20 times a second.
 */
void quota_fleet_tick(quota_fleet_t *fleet, pimento_usec_t now);

#endif
