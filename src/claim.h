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

/*
 * A step's replies count only until its deadline, and a step lasts no longer
 * than this. Witnesses may therefore take the age that a message states as
 * at most this much out of date, however long the network held it back: the
 * reply to an older one is ignored.
 */
#define CLAIM_STEP_TIMEOUT_MAX PIMENTO_SEC

/* Questions of one claim use up to this many numbers from its first. */
#define CLAIM_SEQUENCES_MAX 256

#define CLAIM_AGE_UNKNOWN ((pimento_usec_t)-1)

/*
 * Who the witnesses of a key are, and how many must agree. Any two quorums of
 * one set share a witness; those of two sets do so while quorum + quorum is
 * more than the hosts of both sets together.
 */
typedef struct witness_set {
	uint32_t count;
	uint32_t quorum;
	uint64_t set_hash; /* 0: the key names the witnesses */
	pimento_id_t hosts[PIMENTO_WITNESSES_MAX];
	uint64_t incarnations[PIMENTO_WITNESSES_MAX]; /* 0: any */
} witness_set_t;

typedef enum claim_state {
	CLAIM_IDLE = 0,
	CLAIM_QUERYING,
	CLAIM_AVAILABLE, /* free to take */
	CLAIM_TAKING,
	CLAIM_TAKEN, /* won: the one dispatch is ours */
	CLAIM_SEALING,
	CLAIM_WITHDRAWING, /* the event is out; seals go to the last witnesses */
	CLAIM_REPORTING, /* the outcome, to the witnesses */
	CLAIM_ENDED
} claim_state_t;

/*
 * What the entry learns from a step. CLAIM_NOT_RUN allows "not run"; it is
 * said of claim->attempt and of those before it. But for CLAIM_MISMATCH with a
 * known outcome, all others that end without a dispatch of ours are "may have
 * run".
 */
typedef enum claim_event {
	CLAIM_NO_EVENT = 0,
	CLAIM_FREE, /* nothing claimed: go on to reserve, then claim_take() */
	/*
	 * Another dispatch holds it: resume at claim->held. It may have been
	 * withdrawn since; an entry that cannot resume says claim_seal().
	 */
	CLAIM_HELD,
	CLAIM_WON, /* dispatch now */
	CLAIM_NOT_RUN, /* this attempt is sealed: "not run" is true */
	CLAIM_MAY_HAVE_RUN, /* "may have run" */
	CLAIM_NO_QUORUM, /* too few answered a query: seal could not be had */
	CLAIM_EXPIRED, /* the key is past its retention or from the future */
	/*
	 * The key was used with another body. If claim->held.done, this one
	 * has not run and will not; else the claim with the other body may not
	 * have won, and this one may have run through another entry.
	 */
	CLAIM_MISMATCH
} claim_event_t;

typedef struct claim_options {
	pimento_key_t key;
	witness_set_t witnesses;
	pimento_usec_t key_age; /* at claim_start(), or CLAIM_AGE_UNKNOWN */
	uint32_t attempt; /* the caller's, 0: learn the next one */
	uint64_t digest; /* of the body */
	uint64_t
		sequence; /* first of CLAIM_SEQUENCES_MAX, unique in the host */
	pimento_usec_t timeout; /* of one step, up to CLAIM_STEP_TIMEOUT_MAX */
} claim_options_t;

/* What one witness last said of the key. */
typedef struct claim_report {
	uint32_t sealed;
	uint32_t attempt; /* of the claim held there, 0 none */
	bool done;
	pimento_reqid_t request;
} claim_report_t;

typedef struct claim {
	claim_options_t options;
	claim_state_t state;
	uint32_t attempt;
	uint64_t sequence;
	uint32_t answered_mask; /* bit per witness: spoke for the key */
	uint32_t agreed_mask; /* bit per witness: said yes to this step */
	uint32_t refused_mask; /* bit per witness: abstains or is full */
	bool expired; /* one refused because of the key's age */
	bool take_sent; /* a witness may hold the claim for us */
	uint32_t sealed; /* highest seen */
	claim_report_t reports[PIMENTO_WITNESSES_MAX];
	bool held_valid;
	bool held_reported; /* CLAIM_HELD was said of reported_request */
	pimento_reqid_t reported_request;
	message_dispatch_t held; /* where the claimed request runs */
	message_dispatch_t dispatch; /* ours */
	pimento_usec_t key_created; /* of the key, by the entry's clock */
	pimento_usec_t resend_at;
	pimento_usec_t deadline;
} claim_t;

/* Returns PIMENTO_EINVAL for options out of range, or 0. */
int claim_init(claim_t *claim, const claim_options_t *options);

/* Sends the queries. The event comes with a later step. */
void claim_start(claim_t *claim, pimento_usec_t now, outbox_t *out);

/*
 * Asks for the one dispatch; in CLAIM_AVAILABLE. Also in CLAIM_TAKEN, by an entry
 * that has not dispatched, to name another endpoint: the dispatch's id must be
 * the same. Ends in CLAIM_WON or as claim_seal() does, which it turns into
 * when the dispatch can no longer be won.
 */
void claim_take(claim_t *claim, pimento_usec_t now,
		const message_dispatch_t *dispatch, outbox_t *out);

/*
 * Gives the attempt up: ends in CLAIM_NOT_RUN, CLAIM_HELD, CLAIM_MISMATCH or
 * CLAIM_MAY_HAVE_RUN. In any state before the dispatch; after CLAIM_WON only if the
 * entry never dispatched and never will. After CLAIM_HELD it is the way to
 * learn that the holder never won.
 *
 * Go on with claim_receive() and claim_tick() until CLAIM_ENDED, also after the
 * event: a witness that no seal has reached would go on holding the claim, and
 * with another witness gone the key would stay closed for the retention.
 */
void claim_seal(claim_t *claim, pimento_usec_t now, outbox_t *out);

/* The dispatch ended; tells the witnesses the outcome. */
void claim_complete(claim_t *claim, pimento_usec_t now,
		    const message_dispatch_t *dispatch, outbox_t *out);

claim_event_t claim_receive(claim_t *claim, pimento_usec_t now,
			    pimento_id_t from, const message_witness_t *reply,
			    outbox_t *out);
claim_event_t claim_tick(claim_t *claim, pimento_usec_t now, outbox_t *out);
pimento_usec_t claim_deadline(const claim_t *claim);

typedef struct witness_options {
	uint64_t incarnation; /* not 0 */
	uint32_t capacity; /* keys remembered; a hard cap */
	pimento_usec_t retention;
	pimento_usec_t started;
	pimento_usec_t clock_skew_max; /* stated bound on clock difference */
} witness_options_t;

typedef struct witness_record witness_record_t;

/* A host list that was in force here, for callers' own keys. */
typedef struct witness_hostlist {
	pimento_usec_t adopted;
	uint32_t count;
	pimento_id_t *hosts; /* sorted */
} witness_hostlist_t;

#define WITNESS_HOSTLISTS_MAX 8

typedef struct witness {
	witness_options_t options;
	pimento_id_t self;
	uint32_t hostlist_count;
	witness_hostlist_t
		hostlists[WITNESS_HOSTLISTS_MAX]; /* the newest is the last */
	witness_record_t **buckets;
	uint32_t bucket_count; /* a power of two */
	uint32_t count;
	size_t answer_bytes; /* kept in records */
	witness_record_t *oldest; /* by last change */
	witness_record_t *newest;
} witness_t;

int witness_init(witness_t *witness, const witness_options_t *options);
void witness_finish(witness_t *witness);
/* Answers one message; always fills reply. */
void witness_receive(witness_t *witness, pimento_usec_t now,
		     const message_claim_t *msg, message_witness_t *reply);
/*
 * The host list in force changed: witness sets of callers' own keys with it.
 * Returns PIMENTO_ENOMEM, and then answers for no such key; or 0.
 */
int witness_adopt_hostlist(witness_t *witness, pimento_usec_t now,
			   const hostlist_t *list, pimento_id_t self);
/* Forgets what is past the retention; also done by each message. */
void witness_tick(witness_t *witness, pimento_usec_t now);

#define IDEM_KEY_SECRET_BYTES 32
#define IDEM_KEY_TEXT_MAX 256

/*
 * Issues a key that names its witnesses; created_ms is wall-clock milliseconds and
 * nonce random, both given by the caller of this function. Authenticated, so
 * that nobody can name witnesses of his own. Returns the text's length.
 */
int idem_key_issue(const uint8_t secret[IDEM_KEY_SECRET_BYTES],
		   const witness_set_t *witnesses, int64_t created_ms,
		   uint64_t nonce, char text[IDEM_KEY_TEXT_MAX]);

/* True if the text looks like an issued key (not that it is genuine). */
bool idem_key_is_issued(const char *text);

/*
 * Reads an issued key. Returns 0, PIMENTO_EAUTH for a forged one,
 * PIMENTO_EPARSE for a malformed one.
 */
int idem_key_parse(const uint8_t secret[IDEM_KEY_SECRET_BYTES],
		   const char *text, witness_set_t *witnesses,
		   int64_t *created_ms);

/*
 * A caller's own key: its witnesses by rendezvous hash over the published
 * entry hosts, and its created_ms where it is a UUID version 7 (else *created_ms is -1).
 * Returns 0 or PIMENTO_ENOQUORUM when too few hosts are listed.
 */
int idem_key_select_witnesses(const char *text, pimento_key_t key,
			      const hostlist_t *list, witness_set_t *witnesses,
			      int64_t *created_ms);

/*
 * The entry hosts of a list that can be witnesses, sorted: those not leaving.
 * Returns their number, at most max.
 */
uint32_t idem_key_eligible_hosts(const hostlist_t *list, pimento_id_t *hosts,
				 uint32_t max);

/* idem_key_select_witnesses() for a sorted list of hosts, without the creation time. */
int idem_key_rendezvous(const pimento_id_t *hosts, uint32_t count,
			pimento_key_t key, witness_set_t *witnesses);

/* The key as the protocol carries it; the account keeps callers apart. */
pimento_key_t idem_key_hash(pimento_id_t account, const char *text);

#endif
