#ifndef CLAIM_H
#define CLAIM_H

/*
 * The claim protocol allows at most one dispatch per idempotency key without a
 * shared store: an entry host needs the agreement of a quorum of witnesses.
 * witness.c holds the claims that this process has witnessed; claim.c is the
 * entry's state machine for one keyed request; idem_key.c issues keys and
 * selects their witnesses. docs/PROOFS.md relates each step to the formal model.
 */

#include "config.h"
#include "message.h"

/*
 * Maximum duration of one protocol step. Entries ignore replies that arrive
 * after a step's deadline. A witness may therefore assume that the key age in a
 * message is out of date by no more than this, however long the network delayed
 * the message: its reply to an older message has no effect.
 */
#define CLAIM_STEP_TIMEOUT_MAX PIMENTO_SEC

/* Sequence numbers reserved for one claim; each protocol step uses one. */
#define CLAIM_SEQUENCES_MAX 256

#define CLAIM_AGE_UNKNOWN ((pimento_usec_t)-1)

/*
 * The witnesses of a key and how many of them must agree. Any two quorums of
 * one set share a witness. Quorums of two different sets share one if the sum of
 * both quorums exceeds the number of distinct hosts in both sets.
 */
typedef struct witness_set {
	uint32_t count;
	uint32_t quorum;
	uint64_t set_hash; /* hash of hosts; 0: an issued key names them */
	pimento_id_t hosts[PIMENTO_WITNESSES_MAX];
	/* incarnation that each witness must have; 0: any */
	uint64_t incarnations[PIMENTO_WITNESSES_MAX];
} witness_set_t;

typedef enum claim_state {
	CLAIM_IDLE = 0,
	CLAIM_QUERYING,
	CLAIM_AVAILABLE, /* no other claim can have won: claim_take() may follow */
	CLAIM_TAKING,
	CLAIM_TAKEN, /* a quorum granted the claim: this entry may dispatch */
	CLAIM_SEALING,
	/* the event was returned; the seal is still sent to other witnesses */
	CLAIM_WITHDRAWING,
	CLAIM_REPORTING, /* sending the dispatch's outcome to the witnesses */
	CLAIM_ENDED
} claim_state_t;

/*
 * Result of a protocol step for the entry. CLAIM_NOT_RUN allows the verdict
 * "not run" for claim->attempt and all lower attempts. Every other event that
 * ends the claim without a dispatch by this entry means "may have run", except
 * CLAIM_MISMATCH with a known outcome.
 */
typedef enum claim_event {
	CLAIM_NO_EVENT = 0,
	CLAIM_FREE, /* no claim known: reserve a slot, then call claim_take() */
	/*
	 * Another dispatch holds the key: resume it at claim->held. Its claim
	 * may have been withdrawn since; an entry that cannot resume it calls
	 * claim_seal().
	 */
	CLAIM_HELD,
	CLAIM_WON, /* the claim is granted: dispatch now */
	CLAIM_NOT_RUN, /* a quorum sealed the attempt: it can never be dispatched */
	CLAIM_MAY_HAVE_RUN, /* no quorum for the seal: the request may have run */
	/*
	 * fewer witnesses than a quorum answered the query, so that the attempt
	 * cannot be sealed either
	 */
	CLAIM_NO_QUORUM,
	CLAIM_EXPIRED, /* the key is older than the retention or from the future */
	/*
	 * The key was used with another request body. If claim->held.done is
	 * set, this body has not run and never will. Otherwise the claim with
	 * the other body may not have won, and this body may have run through
	 * another entry.
	 */
	CLAIM_MISMATCH
} claim_event_t;

typedef struct claim_options {
	pimento_key_t key;
	witness_set_t witnesses;
	/* age of the key at claim_start(), or CLAIM_AGE_UNKNOWN */
	pimento_usec_t key_age;
	/* attempt that the caller named; 0: the one after the highest sealed */
	uint32_t attempt;
	uint64_t digest; /* hash of the request body */
	/* first of CLAIM_SEQUENCES_MAX sequence numbers unique on this host */
	uint64_t sequence;
	/* time limit of each protocol step, at most CLAIM_STEP_TIMEOUT_MAX */
	pimento_usec_t timeout;
} claim_options_t;

/* What one witness last reported about the key. */
typedef struct claim_report {
	uint32_t sealed; /* highest sealed attempt, 0 if none */
	/* attempt of the claim that the witness holds, 0 if none */
	uint32_t attempt;
	bool done; /* the outcome of the claim's dispatch is known */
	pimento_reqid_t dispatch_id;
} claim_report_t;

typedef struct claim {
	claim_options_t options;
	claim_state_t state;
	uint32_t attempt;
	uint64_t sequence;
	uint32_t answered_mask; /* bit per witness: answered, did not abstain */
	uint32_t agreed_mask; /* bit per witness: agreed to the current step */
	uint32_t refused_mask; /* bit per witness: abstained or table full */
	bool expired; /* a witness refused because of the key's age */
	bool take_sent; /* a witness may hold this entry's claim */
	uint32_t sealed; /* highest sealed attempt that a witness reported */
	claim_report_t reports[PIMENTO_WITNESSES_MAX];
	bool held_valid; /* held is filled in */
	bool held_reported; /* an event has reported reported_request as held */
	pimento_reqid_t reported_dispatch;
	message_dispatch_t held; /* other entry's dispatch that holds the key */
	message_dispatch_t dispatch; /* dispatch that this entry claims */
	pimento_usec_t key_created; /* creation of the key, entry's clock */
	pimento_usec_t resend_at;
	pimento_usec_t deadline;
} claim_t;

/* Returns 0, or PIMENTO_EINVAL if an option is out of range. */
int claim_init(claim_t *claim, const claim_options_t *options);

/* Queries the witnesses. claim_receive() or claim_tick() returns the event. */
void claim_start(claim_t *claim, pimento_usec_t now, outbox_t *out);

/*
 * Requests the right to dispatch from the witnesses, in CLAIM_AVAILABLE. An entry
 * that has not dispatched yet may also call it in CLAIM_TAKEN to name another
 * endpoint, with the same dispatch id. Ends in CLAIM_WON. Once the claim can no
 * longer be granted, the step turns into a seal and ends as claim_seal() does.
 */
void claim_take(claim_t *claim, pimento_usec_t now,
		const message_dispatch_t *dispatch, outbox_t *out);

/*
 * Abandons the attempt; ends in CLAIM_NOT_RUN, CLAIM_HELD, CLAIM_MISMATCH or
 * CLAIM_MAY_HAVE_RUN. Allowed in any state before the dispatch; after CLAIM_WON
 * only if the entry has not dispatched and never will. After CLAIM_HELD, it
 * is the way to find out that the dispatch that holds the key never won.
 *
 * Keep calling claim_receive() and claim_tick() until CLAIM_ENDED, also after the
 * event: a witness that no seal has reached would go on holding the claim, and
 * if another witness failed, the key would stay blocked for the retention.
 */
void claim_seal(claim_t *claim, pimento_usec_t now, outbox_t *out);

/* Sends the outcome of a dispatch that has ended to the witnesses. */
void claim_complete(claim_t *claim, pimento_usec_t now,
		    const message_dispatch_t *dispatch, outbox_t *out);

/* Handles a witness's reply; replies to earlier steps are ignored. */
claim_event_t claim_receive(claim_t *claim, pimento_usec_t now,
			    pimento_id_t from, const message_witness_t *reply,
			    outbox_t *out);

/* Handles resends and time-outs; call when claim_deadline() has passed. */
claim_event_t claim_tick(claim_t *claim, pimento_usec_t now, outbox_t *out);

/* When claim_tick() is due next; PIMENTO_NEVER if no step is pending. */
pimento_usec_t claim_deadline(const claim_t *claim);

typedef struct witness_options {
	uint64_t incarnation; /* incarnation of this process, not 0 */
	uint32_t capacity; /* maximum number of keys in the table */
	pimento_usec_t retention; /* maximum age of an accepted key */
	pimento_usec_t started; /* time at which this process started */
	pimento_usec_t clock_skew_max; /* bound on clock skew between hosts */
} witness_options_t;

typedef struct witness_record witness_record_t;

/*
 * A host list that is or was in force on this host. It selects the witnesses of
 * keys that callers chose.
 */
typedef struct witness_hostlist {
	pimento_usec_t adopted; /* when this host put the list in force */
	uint32_t count;
	pimento_id_t *hosts; /* ids of eligible witnesses, sorted */
} witness_hostlist_t;

#define WITNESS_HOSTLISTS_MAX 8

typedef struct witness {
	witness_options_t options;
	pimento_id_t self;
	uint32_t hostlist_count;
	witness_hostlist_t
		hostlists[WITNESS_HOSTLISTS_MAX]; /* oldest host list first */
	witness_record_t **buckets;
	uint32_t bucket_count; /* number of hash buckets, a power of two */
	uint32_t count; /* number of records in the table */
	size_t answer_bytes; /* total size of the answers kept in records */
	/* ends of a list of all records in order of their last change */
	witness_record_t *oldest;
	witness_record_t *newest;
} witness_t;

int witness_init(witness_t *witness, const witness_options_t *options);
void witness_finish(witness_t *witness);
/* Handles one message of an entry; always fills in the reply. */
void witness_receive(witness_t *witness, pimento_usec_t now,
		     const message_claim_t *msg, message_witness_t *reply);
/*
 * Puts a new host list in force, from which the witnesses of keys that callers
 * chose are selected. Returns 0 or PIMENTO_ENOMEM; after PIMENTO_ENOMEM, the
 * witness abstains from all such keys.
 */
int witness_adopt_hostlist(witness_t *witness, pimento_usec_t now,
			   const hostlist_t *list, pimento_id_t self);
/* Removes expired records; witness_receive() does so too. */
void witness_tick(witness_t *witness, pimento_usec_t now);

#define IDEM_KEY_SECRET_BYTES 32
#define IDEM_KEY_TEXT_MAX 256

/*
 * Issues a key that names its witnesses. created_ms is wall-clock time in
 * milliseconds, nonce is random. The key is authenticated, so that clients cannot
 * choose the witnesses. Returns the length of the text, or PIMENTO_EINVAL.
 */
int idem_key_issue(const uint8_t secret[IDEM_KEY_SECRET_BYTES],
		   const witness_set_t *witnesses, int64_t created_ms,
		   uint64_t nonce, char text[IDEM_KEY_TEXT_MAX]);

/* True if the text has the prefix of issued keys; checks no authenticity. */
bool idem_key_is_issued(const char *text);

/*
 * Parses an issued key. Returns 0, PIMENTO_EAUTH if it is forged, or
 * PIMENTO_EPARSE if it is malformed.
 */
int idem_key_parse(const uint8_t secret[IDEM_KEY_SECRET_BYTES],
		   const char *text, witness_set_t *witnesses,
		   int64_t *created_ms);

/*
 * Selects the witnesses of a key that the caller chose, by rendezvous hash over
 * the listed entry hosts. Sets *created_ms to the time in a UUID version 7, or to
 * -1 for any other text. Returns 0, PIMENTO_ENOMEM, or PIMENTO_ENOQUORUM if the
 * list has too few eligible hosts.
 */
int idem_key_select_witnesses(const char *text, pimento_key_t key,
			      const hostlist_t *list, witness_set_t *witnesses,
			      int64_t *created_ms);

/*
 * Copies the entry hosts of a list that can be witnesses, which are those not
 * leaving, in sorted order. Returns their number, at most max.
 */
uint32_t idem_key_eligible_hosts(const hostlist_t *list, pimento_id_t *hosts,
				 uint32_t max);

/*
 * Selects the witnesses of a key by rendezvous hash over a sorted array of
 * eligible hosts. Returns 0 or PIMENTO_ENOQUORUM if these are too few.
 */
int idem_key_rendezvous(const pimento_id_t *hosts, uint32_t count,
			pimento_key_t key, witness_set_t *witnesses);

/*
 * Hashes a key's text to its form in messages. The account is part of the hash,
 * so that equal texts of two client accounts are different keys.
 */
pimento_key_t idem_key_hash(pimento_id_t account, const char *text);

#endif
