#ifndef MESSAGE_H
#define MESSAGE_H

/*
 * The typed messages that hosts send to one another, and the outbox into which
 * the pure library puts them. wire.c turns them into protobuf and back; nothing
 * else knows the encoding. Times in messages are spans, never points in time,
 * because two hosts share no clock.
 */

#include "../pimentoshelf.h"

#define MESSAGE_SUMMARIES_MAX 16
#define MESSAGE_FACTS_MAX 48
#define MESSAGE_PART_BYTES_MAX 16384
#define MESSAGE_ANSWER_BYTES_MAX 4096
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

/* What an owner knows of one endpoint; travels on every answer of the owner. */
typedef struct message_summary {
	pimento_id_t endpoint;
	uint64_t epoch; /* of the owner's ownership; a newer one is greater */
	uint32_t running; /* requests in flight */
	uint32_t limit; /* requests that may be in flight */
	uint32_t running_tokens; /* tokens still to be made in flight */
	uint32_t token_limit;
	uint32_t waiting[PIMENTO_TIERS_MAX]; /* waiting requests by tier */
	uint32_t wait_ms[PIMENTO_TIERS_MAX]; /* ms until one more is granted */
	uint32_t waiting_tokens; /* of prompts granted and not yet read */
	float prefill_rate; /* prompt tokens a second, 0 unknown */
	float decode_rate; /* tokens a second of one stream, 0 unknown */
	uint8_t leaving;
} message_summary_t;

/* Entry to owner: a place in the waiting line. Never carries a body. */
typedef struct message_reserve {
	pimento_reqid_t request;
	uint32_t round; /* counts this request's reservations, from 1 */
	pimento_id_t endpoint;
	pimento_id_t account;
	uint8_t tier; /* 0 is the most urgent */
	uint8_t hops; /* owners that passed it on so far */
	pimento_usec_t time_left; /* span until the caller stops caring */
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* estimate */
	uint64_t prefix_hash; /* hash of the prompt's beginning, 0 none */
} message_reserve_t;

/* Owner to entry: dispatch now; good for one dispatch, for a short span. */
typedef struct message_grant {
	pimento_reqid_t request;
	uint32_t round;
	uint64_t epoch;
	pimento_usec_t lifetime;
	message_summary_t summary;
} message_grant_t;

typedef struct message_wait {
	pimento_reqid_t request;
	uint32_t round;
	pimento_usec_t expected_wait; /* span until the expected grant */
	message_summary_t summary;
} message_wait_t;

/* Owner to entry: no place; the request was not dispatched by this owner. */
typedef struct message_refuse {
	pimento_reqid_t request;
	uint32_t round;
	int32_t reason; /* PIMENTO_EDEADLINE, _EBUSY, _ELEAVING, _ESTALE ... */
	pimento_usec_t retry_after;
	pimento_id_t alternative_endpoint; /* endpoint to try instead, 0 none */
	message_summary_t summary;
} message_refuse_t;

typedef enum release_outcome {
	RELEASE_UNUSED = 0, /* never dispatched */
	RELEASE_DONE, /* answered whole */
	RELEASE_FAILED, /* the endpoint failed it */
	RELEASE_CANCELLED /* the caller left; cancelled at the endpoint */
} release_outcome_t;

/* Entry to owner: the reservation or the slot is no longer needed. */
typedef struct message_release {
	pimento_reqid_t request;
	uint32_t round;
	pimento_id_t endpoint;
	uint64_t epoch;
	uint8_t outcome; /* release_outcome_t */
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* made in fact */
	pimento_usec_t time_to_first_token; /* span from dispatch, 0 unknown */
	pimento_usec_t
		decode_time; /* from first to last token; of all if no first */
} message_release_t;

/* Entry to owner: the slot is still in use. Missing ones free the slot. */
typedef struct message_progress {
	pimento_reqid_t request;
	uint32_t round;
	pimento_id_t endpoint;
	uint64_t epoch;
	uint32_t answer_tokens;
	pimento_usec_t time_to_first_token;
	pimento_usec_t decode_time;
} message_progress_t;

/* Owner to all it talks to: what it knows of some of its endpoints. */
typedef struct message_digest {
	uint32_t count;
	message_summary_t summaries[MESSAGE_SUMMARIES_MAX];
} message_digest_t;

typedef enum claim_op {
	CLAIM_QUERY = 1, /* what is known of the key? */
	CLAIM_TAKE, /* let this attempt dispatch, nobody else */
	CLAIM_SEAL, /* this attempt and older ones must never dispatch */
	CLAIM_DONE /* the dispatch ended; keep its outcome */
} claim_op_t;

/* Where a claimed request runs, and what a repeat needs to resume it. */
typedef struct message_dispatch {
	pimento_reqid_t request; /* the dispatch's id at the endpoint */
	pimento_id_t endpoint;
	uint64_t digest; /* of the body: the same key with another is refused */
	uint8_t done; /* the outcome below is final */
	uint16_t status; /* HTTP status of the answer, when done */
	uint16_t answer_size; /* up to MESSAGE_ANSWER_BYTES_MAX; 0 none kept */
	uint8_t answer[MESSAGE_ANSWER_BYTES_MAX];
} message_dispatch_t;

/* Entry to witness. */
typedef struct message_claim {
	uint8_t op; /* claim_op_t */
	pimento_key_t key;
	uint64_t sequence; /* names this question; the reply repeats it */
	uint64_t incarnation; /* the witness's, as the key names it; 0 any */
	uint64_t
		witness_set_hash; /* hash of the witness set, callers' own keys; or 0 */
	pimento_usec_t key_age; /* of the key since its birth, -1 unknown */
	uint32_t attempt; /* from 1 */
	message_dispatch_t dispatch;
} message_claim_t;

/* Witness to entry. */
typedef struct message_witness {
	pimento_key_t key;
	uint64_t sequence;
	uint64_t incarnation; /* the witness's own */
	int32_t result; /* PIMENTO_OK, _ECLAIMED, _ESEALED, _ESTALE, ... */
	uint32_t sealed; /* highest sealed attempt, 0 none */
	uint32_t attempt; /* of the claim held, 0 none */
	message_dispatch_t dispatch; /* of the claim held */
} message_witness_t;

typedef enum host_state {
	HOST_UNKNOWN = 0,
	HOST_LIVE,
	HOST_SUSPECT,
	HOST_LEAVING,
	HOST_DEAD
} host_state_t;

/* One thing known of one host or endpoint, spread by gossip. */
typedef struct message_fact {
	pimento_id_t subject;
	uint64_t incarnation;
	uint32_t version; /* raised by the subject to refute a suspicion */
	uint8_t state; /* host_state_t */
	uint8_t is_endpoint; /* 1: the subject is an endpoint, not an entry host */
} message_fact_t;

/*
 * Probe and ack carry the same: who am I, what do I know. A probe with a
 * target asks the receiver to probe the target on the sender's behalf.
 */
typedef struct message_probe {
	uint64_t sequence;
	uint64_t incarnation; /* of the sender */
	pimento_id_t target; /* 0: the receiver itself */
	uint64_t revision; /* configuration in force at the sender */
	uint64_t hosts_revision; /* host list in force at the sender */
	uint32_t count;
	message_fact_t facts[MESSAGE_FACTS_MAX];
} message_probe_t;

typedef enum config_sync_subject {
	CONFIG_SYNC_CONFIG = 1,
	CONFIG_SYNC_HOSTS
} config_sync_subject_t;

/* "I hold this revision": answered by a pull from who holds less. */
typedef struct message_offer {
	uint8_t subject; /* config_sync_subject_t */
	uint64_t revision;
	uint64_t digest; /* hash of the whole text */
	uint32_t size;
} message_offer_t;

typedef struct message_pull {
	uint8_t subject;
	uint64_t revision; /* wanted */
	uint64_t base; /* revision held, so that only changes travel; 0 none */
	uint32_t offset;
} message_pull_t;

typedef struct message_part {
	uint8_t subject;
	uint64_t revision;
	uint64_t base; /* 0: parts of the whole text; else of the difference */
	uint64_t digest; /* of the whole text */
	uint32_t size; /* of all parts together */
	uint32_t offset;
	uint32_t length;
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

/*
 * Messages on their way out of the pure library, in order. Bounded: a full
 * outbox refuses, which every protocol here must bear as it bears loss.
 */
typedef struct outbox_entry {
	pimento_id_t to;
	message_t *message; /* of its own allocation, sized to its kind */
} outbox_entry_t;

typedef struct outbox {
	outbox_entry_t *entries;
	uint32_t capacity; /* a power of two */
	uint32_t head;
	uint32_t count;
	uint64_t refused; /* messages that found it full */
} outbox_t;

/* Returns PIMENTO_ENOMEM, or 0. capacity is rounded up to a power of two. */
int outbox_init(outbox_t *outbox, uint32_t capacity);
void outbox_finish(outbox_t *outbox);

/* Copies the message. Returns PIMENTO_EFULL or PIMENTO_ENOMEM, or 0. */
int outbox_put(outbox_t *outbox, pimento_id_t to, const message_t *message);

/* Takes the oldest message out; false when there is none. */
bool outbox_take(outbox_t *outbox, pimento_id_t *to, message_t *message);

/* Bytes of a message_t that its kind uses, for copying no more than that. */
size_t message_size(message_kind_t kind);

/* Lower-case name of the kind, for logs; never NULL. */
const char *message_kind_name(message_kind_t kind);

#endif
