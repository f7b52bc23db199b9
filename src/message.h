#ifndef MESSAGE_H
#define MESSAGE_H

/*
 * The typed messages between hosts, and the outbox into which the library, which
 * does no I/O itself, puts them for the caller to send. Only wire.c knows their
 * protobuf encoding. Times in messages are durations, never points in time,
 * because two hosts share no clock.
 */

#include "../pimentoshelf.h"

#define MESSAGE_SUMMARIES_MAX 16 /* summaries in a digest */
#define MESSAGE_FACTS_MAX 48 /* facts in a probe or ack */
#define MESSAGE_PART_BYTES_MAX 16384 /* document bytes in a part */
#define MESSAGE_ANSWER_BYTES_MAX 4096 /* bytes of an answer kept by witnesses */
#define MESSAGE_STREAM_MAX 64

typedef enum message_kind {
	MESSAGE_NONE = 0,
	MESSAGE_RESERVE,
	MESSAGE_GRANT,
	MESSAGE_WAIT,
	MESSAGE_REFUSE,
	MESSAGE_RELEASE,
	MESSAGE_PROGRESS,
	MESSAGE_DIGEST,
	MESSAGE_CLAIM,
	MESSAGE_WITNESS,
	MESSAGE_PROBE,
	MESSAGE_ACK,
	MESSAGE_OFFER,
	MESSAGE_PULL,
	MESSAGE_PART,
	MESSAGE_KINDS
} message_kind_t;

/* State of one endpoint as its owner sees it; part of every reply of the owner. */
typedef struct message_summary {
	pimento_id_t endpoint;
	uint64_t epoch; /* ownership epoch of the endpoint; rises */
	uint32_t running; /* requests in flight */
	uint32_t limit; /* requests that may be in flight */
	/* answer tokens that the running requests still have to generate */
	uint32_t running_tokens;
	uint32_t token_limit; /* maximum of running_tokens */
	uint32_t waiting[PIMENTO_TIERS_MAX]; /* queued requests by tier */
	/* estimated wait of one more request in ms, by tier */
	uint32_t wait_ms[PIMENTO_TIERS_MAX];
	uint32_t waiting_tokens; /* prompt tokens granted but not prefilled */
	float prefill_rate; /* prompt tokens per second, 0 if unknown */
	float decode_rate; /* tokens per second of one stream, 0 if unknown */
	uint8_t leaving; /* 1: the endpoint takes no new requests */
} message_summary_t;

/* Entry to owner: requests a place in the wait queue; carries no request body. */
typedef struct message_reserve {
	pimento_reqid_t request;
	uint32_t round; /* number of this reservation of the request, from 1 */
	pimento_id_t endpoint;
	pimento_id_t account;
	uint8_t tier; /* 0 is the most urgent */
	uint8_t hops; /* owners that have redirected it so far; see OWNER_HOPS_FINAL */
	pimento_usec_t time_left; /* time until the caller's deadline */
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* estimated tokens of the answer */
	uint64_t prefix_hash; /* hash of the start of the prompt, 0 if none */
} message_reserve_t;

/* Owner to entry: permits one dispatch, within the grant's lifetime. */
typedef struct message_grant {
	pimento_reqid_t request;
	uint32_t round;
	uint64_t epoch; /* ownership epoch in which the grant was made */
	pimento_usec_t lifetime;
	message_summary_t summary;
} message_grant_t;

/* Owner to entry: the request is in the wait queue. */
typedef struct message_wait {
	pimento_reqid_t request;
	uint32_t round;
	pimento_usec_t expected_wait; /* estimated time until the grant */
	message_summary_t summary;
} message_wait_t;

/* Owner to entry: the reservation is refused; this owner granted no dispatch. */
typedef struct message_refuse {
	pimento_reqid_t request;
	uint32_t round;
	int32_t reason; /* PIMENTO_EDEADLINE, _EBUSY, _ELEAVING, _ESTALE ... */
	pimento_usec_t retry_after;
	pimento_id_t alternative_endpoint; /* endpoint to try instead, or 0 */
	message_summary_t summary;
} message_refuse_t;

typedef enum release_outcome {
	RELEASE_UNUSED = 0, /* never dispatched */
	RELEASE_DONE, /* the answer is complete */
	RELEASE_FAILED, /* the endpoint failed during the request */
	RELEASE_CANCELLED /* the caller disconnected; cancelled at the endpoint */
} release_outcome_t;

/* Entry to owner: the reservation or the slot is no longer needed. */
typedef struct message_release {
	pimento_reqid_t request;
	uint32_t round;
	pimento_id_t endpoint;
	uint64_t epoch;
	uint8_t outcome; /* release_outcome_t */
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* tokens generated */
	pimento_usec_t time_to_first_token; /* from dispatch, 0 if unknown */
	/*
	 * Time from the first to the last token; time of the complete answer
	 * if time_to_first_token is unknown.
	 */
	pimento_usec_t decode_time;
} message_release_t;

/*
 * Entry to owner: the slot is still in use. The owner frees a slot for which
 * these messages stop.
 */
typedef struct message_progress {
	pimento_reqid_t request;
	uint32_t round;
	pimento_id_t endpoint;
	uint64_t epoch;
	uint32_t answer_tokens; /* tokens generated so far */
	pimento_usec_t time_to_first_token; /* as in message_release_t */
	pimento_usec_t decode_time; /* as in message_release_t */
} message_progress_t;

/*
 * Owner to the hosts that it exchanges messages with: summaries of some of its
 * endpoints.
 */
typedef struct message_digest {
	uint32_t count;
	message_summary_t summaries[MESSAGE_SUMMARIES_MAX];
} message_digest_t;

typedef enum claim_op {
	CLAIM_QUERY = 1, /* read what the witness knows of the key */
	CLAIM_TAKE, /* allow this attempt to dispatch and no other */
	CLAIM_SEAL, /* bar this attempt and all lower ones from dispatch */
	CLAIM_DONE /* store the outcome of the dispatch, which has ended */
} claim_op_t;

/* Where a claimed request runs, and what a repeated request needs to resume it. */
typedef struct message_dispatch {
	pimento_reqid_t id; /* id of the dispatch at the endpoint */
	pimento_id_t endpoint;
	/* hash of the request body; the key is refused with another body */
	uint64_t digest;
	uint8_t done; /* the dispatch has ended: status and answer are final */
	uint16_t status; /* HTTP status of the answer, when done */
	uint16_t answer_size; /* bytes of the stored answer, 0 if none */
	uint8_t answer[MESSAGE_ANSWER_BYTES_MAX];
} message_dispatch_t;

/* Entry to witness: one step of the claim protocol, see claim.h. */
typedef struct message_claim {
	uint8_t op; /* claim_op_t */
	pimento_key_t key;
	/* number of the protocol step; the reply repeats it */
	uint64_t sequence;
	/* incarnation of the witness that an issued key names; else 0 */
	uint64_t incarnation;
	/* hash of the witness set of a key that a caller chose; else 0 */
	uint64_t witness_set_hash;
	pimento_usec_t key_age; /* age of the key, -1 if unknown */
	uint32_t attempt; /* attempt number from 1; 0 in some queries */
	message_dispatch_t dispatch;
} message_claim_t;

/* Witness to entry: reply to a message_claim_t. */
typedef struct message_witness {
	pimento_key_t key;
	uint64_t sequence; /* copied from the message_claim_t */
	uint64_t incarnation; /* incarnation of the witness */
	int32_t result; /* PIMENTO_OK, _ECLAIMED, _ESEALED, _ESTALE, ... */
	uint32_t sealed; /* highest sealed attempt, 0 if none */
	/* attempt of the claim that the witness holds, 0 if none */
	uint32_t attempt;
	message_dispatch_t dispatch; /* dispatch that holds the claim */
} message_witness_t;

typedef enum host_state {
	HOST_UNKNOWN = 0,
	HOST_LIVE,
	HOST_SUSPECT,
	HOST_LEAVING,
	HOST_DEAD
} host_state_t;

/* The state of one host or endpoint, spread by gossip. */
typedef struct message_fact {
	pimento_id_t subject;
	uint64_t incarnation;
	uint32_t version; /* raised by the subject to refute suspicion */
	uint8_t state; /* host_state_t */
	uint8_t is_endpoint; /* 1: the subject is an endpoint, not an entry host */
} message_fact_t;

/*
 * A probe or an ack; both carry the sender's state and the facts that it
 * knows. A probe with a target asks the receiver to probe the target on the
 * sender's behalf.
 */
typedef struct message_probe {
	uint64_t sequence;
	uint64_t incarnation; /* incarnation of the sender */
	pimento_id_t target; /* host to probe; 0: the receiver itself */
	uint64_t revision; /* configuration revision in force at the sender */
	uint64_t hosts_revision; /* host list revision in force at the sender */
	uint32_t count;
	message_fact_t facts[MESSAGE_FACTS_MAX];
} message_probe_t;

typedef enum config_sync_subject {
	CONFIG_SYNC_CONFIG = 1,
	CONFIG_SYNC_HOSTS
} config_sync_subject_t;

/*
 * Announces which revision of the configuration or of the host list the sender
 * holds. A host that holds an older one replies with a message_pull_t.
 */
typedef struct message_offer {
	uint8_t subject; /* config_sync_subject_t */
	uint64_t revision;
	uint64_t digest; /* hash of the complete text */
	uint32_t size; /* bytes of the complete text */
} message_offer_t;

/*
 * Requests a part of the text of a configuration or host list, or of the changes
 * to it.
 */
typedef struct message_pull {
	uint8_t subject; /* config_sync_subject_t */
	uint64_t revision; /* revision of the requested text */
	/* revision held by the requester, to send changes only; 0 if none */
	uint64_t base;
	uint32_t offset; /* offset of the requested part in bytes */
} message_pull_t;

/* Reply to a message_pull_t: consecutive bytes of the text or of the changes. */
typedef struct message_part {
	uint8_t subject; /* config_sync_subject_t */
	uint64_t revision;
	/* revision to which the changes apply; 0: the parts are of a complete text */
	uint64_t base;
	uint64_t digest; /* hash of the complete text */
	uint32_t size; /* bytes of all parts together */
	uint32_t offset; /* offset of this part in bytes */
	uint32_t length; /* bytes of this part */
	uint8_t bytes[MESSAGE_PART_BYTES_MAX];
} message_part_t;

typedef struct message {
	message_kind_t kind;
	union {
		message_reserve_t reserve;
		message_grant_t grant;
		message_wait_t wait;
		message_refuse_t refuse;
		message_release_t release;
		message_progress_t progress;
		message_digest_t digest;
		message_claim_t claim;
		message_witness_t witness;
		message_probe_t probe; /* MESSAGE_PROBE and MESSAGE_ACK */
		message_offer_t offer;
		message_pull_t pull;
		message_part_t part;
	} u;
} message_t;

typedef struct outbox_entry {
	pimento_id_t to;
	message_t *message; /* allocated with the size of its kind */
} outbox_entry_t;

/*
 * First-in, first-out queue of the messages that the library wants sent. It is
 * bounded: a full outbox refuses messages, which every protocol here must
 * tolerate like the loss of a message on the network.
 */

typedef struct outbox {
	outbox_entry_t *entries;
	uint32_t capacity; /* number of entries, a power of two */
	uint32_t head;
	uint32_t count;
	uint64_t refused; /* messages dropped because the outbox was full */
} outbox_t;

/* Returns 0 or PIMENTO_ENOMEM. capacity is rounded up to a power of two. */
int outbox_init(outbox_t *outbox, uint32_t capacity);
void outbox_finish(outbox_t *outbox);

/* Appends a copy of the message. Returns 0, PIMENTO_EFULL or PIMENTO_ENOMEM. */
int outbox_put(outbox_t *outbox, pimento_id_t to, const message_t *message);

/* Removes the oldest message; false if the outbox is empty. */
bool outbox_take(outbox_t *outbox, pimento_id_t *to, message_t *message);

/* Returns how many leading bytes of a message_t its kind uses. */
size_t message_size(message_kind_t kind);

/* Returns the lower-case name of the kind, for logs; never NULL. */
const char *message_kind_name(message_kind_t kind);

#endif
