#ifndef CLAIM_H
#define CLAIM_H

/*
 * The claim protocol: at most one dispatch for an idempotency key, without a
 * store. witness.c answers for what this process remembers; claim.c is the
 * entry's state machine for one keyed request. docs/PROOFS.md ties each step
 * to the model.
 */

#include "config.h"
#include "message.h"

/* Who the witnesses of a key are, and how many must agree. */
typedef struct witness_set {
	uint32_t count;
	uint32_t quorum;
	uint64_t view; /* 0: the key names the witnesses */
	pimento_id_t hosts[PIMENTO_WITNESSES_MAX];
	uint64_t incarnations[PIMENTO_WITNESSES_MAX]; /* 0: any */
} witness_set_t;

typedef enum claim_state {
	CLAIM_IDLE = 0,
	CLAIM_QUERYING,
	CLAIM_KNOWN, /* free to take */
	CLAIM_TAKING,
	CLAIM_TAKEN, /* won: the one dispatch is ours */
	CLAIM_SEALING,
	CLAIM_ENDED
} claim_state_t;

/* What the entry learns from a step. */
typedef enum claim_event {
	CLAIM_NOTHING = 0,
	CLAIM_FREE, /* nothing claimed: go on to reserve, then claim_take() */
	CLAIM_HELD, /* another dispatch holds it: resume at held place */
	CLAIM_WON, /* dispatch now */
	CLAIM_GIVEN_UP, /* this attempt is sealed: "not run" is true */
	CLAIM_DOUBT, /* "may have run" */
	CLAIM_NO_QUORUM, /* too few answered a query: seal could not be had */
	CLAIM_EXPIRED, /* the key is past its retention or from the future */
	CLAIM_MISMATCH /* the key was used with another body */
} claim_event_t;

typedef struct claim_options {
	pimento_key_t key;
	witness_set_t witnesses;
	pimento_usec_t age; /* of the key, -1 unknown */
	uint32_t attempt; /* the caller's, 0: learn the next one */
	uint64_t digest; /* of the body */
	uint64_t sequence; /* unique start value for questions */
	pimento_usec_t timeout; /* of one step */
} claim_options_t;

typedef struct claim {
	claim_options_t options;
	claim_state_t state;
	uint32_t attempt;
	uint64_t sequence;
	uint32_t answered; /* bit per witness */
	uint32_t agreed; /* bit per witness */
	uint32_t sealed; /* highest seen */
	bool held_seen;
	bool taken_sent; /* a CLAIM_TAKE of ours may be on its way */
	message_place_t held; /* where the claimed request runs */
	pimento_usec_t resend;
	pimento_usec_t deadline;
	message_place_t place; /* ours */
} claim_t;

int claim_init(claim_t *claim, const claim_options_t *options);

/* Sends the queries. The event comes with a later step. */
void claim_start(claim_t *claim, pimento_usec_t now, outbox_t *out);

/* Asks for the one dispatch; only in CLAIM_KNOWN. */
void claim_take(claim_t *claim, pimento_usec_t now,
		const message_place_t *place, outbox_t *out);

/*
 * Gives the attempt up: ends in CLAIM_GIVEN_UP or CLAIM_DOUBT. In any state
 * before the dispatch; after CLAIM_WON only if the entry never dispatched and
 * never will.
 */
void claim_seal(claim_t *claim, pimento_usec_t now, outbox_t *out);

/* The dispatch ended; tells the witnesses the outcome. */
void claim_done(claim_t *claim, pimento_usec_t now,
		const message_place_t *place, outbox_t *out);

claim_event_t claim_receive(claim_t *claim, pimento_usec_t now,
			    pimento_id_t from, const message_witness_t *reply,
			    outbox_t *out);
claim_event_t claim_tick(claim_t *claim, pimento_usec_t now, outbox_t *out);
pimento_usec_t claim_deadline(const claim_t *claim);

typedef struct witness_options {
	uint64_t incarnation;
	uint32_t capacity; /* keys remembered; a hard cap */
	pimento_usec_t retention;
	pimento_usec_t started;
	pimento_usec_t skew; /* stated bound on clock difference */
} witness_options_t;

typedef struct witness_record witness_record_t;

typedef struct witness {
	witness_options_t options;
	uint64_t view_now; /* unused for issued keys */
	witness_record_t *records;
	uint32_t count;
	uint32_t size;
} witness_t;

int witness_init(witness_t *witness, const witness_options_t *options);
void witness_finish(witness_t *witness);
/* Answers one question; always fills reply. */
void witness_receive(witness_t *witness, pimento_usec_t now,
		     const message_claim_t *question, message_witness_t *reply);
/* The host list in force changed: witness sets of callers' own keys with it. */
void witness_view(witness_t *witness, pimento_usec_t now,
		  const hostlist_t *list, pimento_id_t self);
void witness_tick(witness_t *witness, pimento_usec_t now);

#define KEYRING_SECRET 32
#define KEYRING_TEXT_MAX 256

/*
 * Issues a key that names its witnesses; birth is wall-clock milliseconds and
 * nonce random, both given by the caller of this function. Authenticated, so
 * that nobody can name witnesses of his own. Returns the text's length.
 */
int keyring_issue(const uint8_t secret[KEYRING_SECRET],
		  const witness_set_t *witnesses, int64_t birth, uint64_t nonce,
		  char text[KEYRING_TEXT_MAX]);

/* True if the text looks like an issued key (not that it is genuine). */
bool keyring_issued(const char *text);

/*
 * Reads an issued key. Returns 0, PIMENTO_EAUTH for a forged one,
 * PIMENTO_EPARSE for a malformed one.
 */
int keyring_read(const uint8_t secret[KEYRING_SECRET], const char *text,
		 witness_set_t *witnesses, int64_t *birth);

/*
 * A caller's own key: its witnesses by rendezvous hash over the published
 * entry hosts, and its birth where it is a UUID version 7 (else *birth is -1).
 * Returns 0 or PIMENTO_ENOQUORUM when too few hosts are listed.
 */
int keyring_own(const char *text, pimento_key_t key, const hostlist_t *list,
		witness_set_t *witnesses, int64_t *birth);

/* The key as the protocol carries it; the account keeps callers apart. */
pimento_key_t keyring_hash(pimento_id_t account, const char *text);

#endif
