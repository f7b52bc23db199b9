#ifndef DIALECT_H
#define DIALECT_H

/*
 * What the data path must know of a request and an answer, and what it has to
 * write: the names on the wire belong to a dialect, the decisions do not. A
 * dialect only translates.
 */

#include "head.h"

/* Parts of a prompt that are looked at; more are passed on all the same. */
#define DIALECT_PARTS_MAX 32

/* A caller's request; texts are borrowed from its head. */
typedef struct dialect_call {
	const char *id; /* of this attempt; NULL if it has none */
	const char *key; /* NULL if it has none */
	const char *resume_after; /* id of the last event got; NULL */
	bool sized; /* the two below were stated */
	uint32_t prompt; /* tokens */
	uint32_t answer; /* tokens, at most */
	uint32_t expected; /* tokens of the answer, as the caller guesses; 0 */
	pimento_usec_t patience; /* left to the caller; 0 not stated */
	/*
	 * Ids of the parts that its prompt may share with others; its last
	 * part is its own, and left out.
	 */
	uint64_t parts[DIALECT_PARTS_MAX];
	uint32_t part_count;
	/*
	 * Digest of the head's fields that say what is asked, which are the same
	 * in all attempts of a client; see fingerprint.h.
	 */
	uint64_t digest;
} dialect_call_t;

/* A request as it goes to an endpoint. */
typedef struct dialect_send {
	const char *endpoint; /* id; another one must not run it */
	const char *account; /* name; NULL: of no account */
	const char *resume_after; /* NULL: from the beginning */
	pimento_usec_t patience; /* left now */
} dialect_send_t;

/* What an endpoint's answer says beside its status. */
typedef struct dialect_answer {
	bool mine; /* it bears the request's id */
	bool foreign; /* it bears another request's */
	bool not_run; /* the endpoint promises so */
	bool sealed; /* a success must be */
	bool leaving; /* the endpoint takes no new requests */
	bool encoded; /* the body is not as the endpoint made it */
	/* the endpoint's limit, see rate_limit.h; 0: it states none */
	uint32_t rate_limit;
	/* time to back off from the endpoint, see backoff.h; 0: none */
	pimento_usec_t retry_after;
} dialect_answer_t;

typedef struct dialect_ops {
	void (*read_call)(const head_t *head, dialect_call_t *call);
	/*
	 * Adds the header lines that the endpoint gets: the caller's, without
	 * those that are the system's to set, and the system's own.
	 */
	void (*write_call)(strbuf_t *text, const head_t *head,
			   const dialect_send_t *send);
	void (*read_answer)(const head_t *head, const char *id,
			    dialect_answer_t *answer);
	/* Adds the header line that tells a caller when to come back. */
	void (*write_retry_after)(strbuf_t *text, pimento_usec_t wait);
} dialect_ops_t;

#endif
