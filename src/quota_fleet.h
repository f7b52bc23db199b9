#ifndef QUOTA_FLEET_H
#define QUOTA_FLEET_H

/*
 * Token quotas over all hosts together. Each account has an owner host, chosen
 * by rendezvous hashing over the live hosts, which keeps its bucket; other
 * hosts ask the owner, with one datagram each way for all requests that came
 * within a short time. If the owner does not answer, the host asks the owner's
 * successor once, and if that does not answer either, decides within its own
 * even share of the limit, so that hosts in a network partition continue within
 * their shares.
 *
 * Load pattern: one account that asks for many times its rate at all hosts.
 * Its owner gets a bounded number of datagrams a second then, whatever the
 * number of requests and of hosts, and none again because it answers late.
 */

#include "quota.h"
#include "peers.h"

typedef enum quota_message_kind {
	QUOTA_REQUEST,
	QUOTA_REPLY,
	QUOTA_REFUND,
	QUOTA_MESSAGE_KINDS
} quota_message_kind_t;

/* Requests in one message, at most: bits of quota_message_t.admitted. */
#define QUOTA_BATCH_MAX 32

/* Batches that a host may send at once, after it has sent fewer for a while. */
#define QUOTA_BATCH_BURST 4

/* A request in a message. */
typedef struct quota_item {
	double tokens;
	uint32_t tier;
} quota_item_t;

/* Message between hosts; a reply repeats the fields of the requests. */
typedef struct quota_message {
	quota_message_kind_t kind;
	uint32_t address; /* address of the sender */
	uint32_t account; /* low half of the account's key */
	uint64_t ticket; /* id of the batch, chosen by the requesting host */
	/* replies: that were admitted; refunds: that are put back */
	double tokens;
	quota_limit_t limit;
	uint64_t version; /* version of the configuration that sets the limit */
	uint32_t count; /* of requests, or of those that a reply decides */
	quota_item_t items[QUOTA_BATCH_MAX]; /* requests only */
	uint32_t admitted; /* replies only: mask of the requests that are */
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

/* Request that waits until its account's next batch is sent. */
typedef struct quota_pending {
	uint64_t ticket;
	uint32_t account;
	uint64_t version;
	quota_limit_t limit;
	quota_item_t item;
	pimento_usec_t requested_at;
} quota_pending_t;

/* Requests that were sent together and wait for the reply. */
typedef struct quota_batch {
	quota_message_t message;
	uint64_t tickets[QUOTA_BATCH_MAX]; /* 0: cancelled */
	pimento_usec_t sent_at;
	uint32_t sent_to; /* address of the host last sent to */
	bool resent; /* to the owner's successor */
} quota_batch_t;

/* How far the batches of an account are ahead of their interval. */
typedef struct quota_batch_time {
	uint32_t account;
	/* when as many intervals have passed as batches were sent */
	pimento_usec_t spaced_until;
} quota_batch_time_t;

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
	quota_pending_t *pending; /* in order of arrival */
	uint32_t pending_count;
	uint32_t pending_size;
	quota_batch_t *batches;
	uint32_t batch_count;
	uint32_t batch_size;
	quota_batch_time_t *batch_times;
	uint32_t batch_time_count;
	uint64_t last_batch; /* ticket of the newest one */
	quota_fleet_unresponsive_t unresponsive[QUOTA_FLEET_UNRESPONSIVE_MAX];
	uint32_t unresponsive_next;
	bool first_start;
	/* number of requests since the start */
	uint64_t requests;
	/* number of batches sent, and of those that were not answered in time */
	uint64_t sent;
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
 * The first few requests of an account for a while are sent at once, later ones
 * at most quota_fleet_batch_interval() later.
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

/* Mean time between two batches of one account; grows with the number of hosts. */
pimento_usec_t quota_fleet_batch_interval(const quota_fleet_t *fleet,
					  pimento_usec_t now);

/*
 * Sends batches that are due, and those that were not answered in time to
 * another host. Call some 20 times a second.
 */
void quota_fleet_tick(quota_fleet_t *fleet, pimento_usec_t now);

#endif
