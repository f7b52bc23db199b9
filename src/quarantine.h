#ifndef QUARANTINE_H
#define QUARANTINE_H

/*
 * Evidence about parts of prompts, and about whole requests, under which endpoints
 * ended, and what follows from it. A part that crashes endpoints differs from one
 * that was merely under way there: sound parts get answers all the time, on any
 * host, and an answer clears all ends before it. A request is told by its
 * fingerprint, which is the same in all attempts of its client.
 *
 * Hosts exchange their evidence; merging it is commutative and idempotent. With
 * an end or two and no answer since, a part is suspect: one request at a time is
 * sent in the whole deployment. With more it is held, and requests with it are
 * rejected but for single trials after times that grow. Trials are leased by the
 * part's owner, one of the hosts.
 *
 * A request is sent freely until one more end would hold it; then one attempt at
 * a time. Ends under requests are rarely news to others: all hosts are told once
 * they matter, and only the request's owner before.
 *
 * Late in an answer most ends hit sound streams, of which there are many. Only
 * whole answers clear parts of these ends, more of them are needed, and none makes
 * a part suspect.
 */

#include "../pimentoshelf.h"

/* Ends of endpoints that are kept of a part: the newest ones. */
#define QUARANTINE_ENDS_MAX 8
#define QUARANTINE_RECORDS_MAX 256
/* Parts whose last answer is remembered; a power of two. */
#define QUARANTINE_ANSWERS_MAX 1024

/* Evidence is forgotten after this. */
#define QUARANTINE_RETENTION ((pimento_usec_t)24 * 3600 * PIMENTO_SEC)

typedef enum quarantine_kind {
	QUARANTINE_PARTS,
	QUARANTINE_REQUESTS,
	QUARANTINE_LATE_PARTS, /* under which endpoints end late in an answer */
	QUARANTINE_KINDS
} quarantine_kind_t;

typedef struct quarantine_limits {
	uint32_t ends; /* that hold what no answer is known of */
	pimento_usec_t interval; /* from there to the next trial */
	pimento_usec_t interval_max; /* it grows up to this */
} quarantine_limits_t;

/* An endpoint that ended while it ran the request, or one with the part. */
typedef struct quarantine_end {
	uint32_t process; /* identifies the endpoint's process */
	pimento_usec_t at;
} quarantine_end_t;

/* What is known of a part or a request; hosts send this to each other. */
typedef struct quarantine_evidence {
	quarantine_kind_t kind;
	uint64_t id; /* of the part, or the request's fingerprint */
	bool answered;
	pimento_usec_t answered_at; /* last answer, if there was one */
	uint32_t end_count;
	quarantine_end_t ends[QUARANTINE_ENDS_MAX]; /* since then, by time */
} quarantine_evidence_t;

typedef enum quarantine_state {
	QUARANTINE_CLEAR,
	QUARANTINE_SUSPECT, /* one request at a time */
	QUARANTINE_HELD /* only trials, after some time */
} quarantine_state_t;

typedef struct quarantine_record {
	quarantine_evidence_t evidence;
	pimento_usec_t changed_at;
	quarantine_state_t reported; /* by quarantine_next_change() */
	bool was_suspect; /* or held, once */
	/* Owner only: a request is being tried until then. */
	uint64_t lease_ticket; /* 0: none is */
	pimento_usec_t lease_until;
} quarantine_record_t;

typedef struct quarantine_answer {
	uint64_t id; /* 0: none */
	pimento_usec_t at;
} quarantine_answer_t;

/* Of one kind: a flood of requests displaces no parts. */
typedef struct quarantine {
	quarantine_kind_t kind;
	quarantine_limits_t limits;
	quarantine_record_t *records;
	uint64_t ids[QUARANTINE_RECORDS_MAX]; /* theirs, close together */
	uint32_t count;
	uint32_t size;
	uint32_t next_report; /* record whose turn it is */
	quarantine_answer_t answers[QUARANTINE_ANSWERS_MAX];
} quarantine_t;

void quarantine_init(quarantine_t *quarantine, quarantine_kind_t kind,
		     const quarantine_limits_t *limits);
void quarantine_finish(quarantine_t *quarantine);

/* An endpoint ended under the request, or one with the part. */
void quarantine_add_end(quarantine_t *quarantine, uint64_t id,
			const quarantine_end_t *end, pimento_usec_t now);
/* There was an answer, or an operator releases the part or request. */
void quarantine_add_answer(quarantine_t *quarantine, uint64_t id,
			   pimento_usec_t now);
/* Adds what another host knows, of the same kind. Returns true if it is news. */
bool quarantine_merge(quarantine_t *quarantine,
		      const quarantine_evidence_t *evidence,
		      pimento_usec_t now);

/* Adds a span to all times: hosts tell each other ages, as clocks differ. */
void quarantine_shift(quarantine_evidence_t *evidence, pimento_usec_t span);

/* What follows for a request with several parts, or for the request itself. */
typedef struct quarantine_verdict {
	quarantine_kind_t kind;
	quarantine_state_t state; /* of the one with most ends */
	uint64_t id; /* that one's; 0 if the state is CLEAR */
	uint32_t suspects; /* that are not clear */
	pimento_usec_t trial_at; /* when a request may be tried */
} quarantine_verdict_t;

quarantine_verdict_t quarantine_judge(const quarantine_t *quarantine,
				      const uint64_t *ids, uint32_t count,
				      pimento_usec_t now);

/*
 * For the owner: leases a trial to a request with this number of suspect parts, or
 * to an attempt of the request. Returns false if another one is under way or none
 * is due. The lease ends with quarantine_release(), with new evidence, or by
 * itself.
 */
bool quarantine_lease(quarantine_t *quarantine, uint64_t id, uint32_t suspects,
		      uint64_t ticket, pimento_usec_t now);
void quarantine_release(quarantine_t *quarantine, uint64_t id, uint64_t ticket);

/* What is known of a part or a request; NULL if nothing is. */
const quarantine_record_t *quarantine_find(const quarantine_t *quarantine,
					   uint64_t id);
/* True if it would be suspect with so many ends more. */
bool quarantine_is_near(const quarantine_t *quarantine, uint64_t id,
			uint32_t ends);
quarantine_state_t quarantine_state(const quarantine_t *quarantine,
				    const quarantine_record_t *record);
/* True if each of them was answered lately: one more end makes none suspect. */
bool quarantine_is_proven(const quarantine_t *quarantine, const uint64_t *ids,
			  uint32_t count, pimento_usec_t now);
/* When the next trial of a request with this number of suspect parts is due. */
pimento_usec_t quarantine_trial_at(const quarantine_t *quarantine,
				   const quarantine_record_t *record,
				   uint32_t suspects);

/*
 * Evidence for other hosts, the newest first; returns the number. Of requests that
 * were never suspect only their owner is told, by other means.
 */
uint32_t quarantine_report(quarantine_t *quarantine,
			   quarantine_evidence_t *evidence, uint32_t max,
			   pimento_usec_t now);

/* A record whose state has changed since the last call; NULL if none has. */
const quarantine_record_t *quarantine_next_change(quarantine_t *quarantine);

/* Forgets what is old; call some times a second. */
void quarantine_tick(quarantine_t *quarantine, pimento_usec_t now);

/* "part", "fingerprint" or "late_part". */
const char *quarantine_kind_name(quarantine_kind_t kind);
/* "clear", "suspect" or "held". */
const char *quarantine_state_name(quarantine_state_t state);

#endif
