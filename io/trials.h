#ifndef TRIALS_H
#define TRIALS_H

/*
 * Keeps requests that crash endpoints, or with prompt parts that do, from them.
 * What follows from the evidence is decided in src/quarantine.h; here requests are
 * held back, and the owner of a part, or of the request, is asked whether one of
 * them may be tried.
 */

#include "dialect.h"

#include "../src/packet.h"

struct exchange;
struct gateway;

/* A request's trial while it, or one of its parts, is not clear. */
typedef struct trial {
	uint64_t id; /* of the part, or the request's fingerprint */
	uint64_t ticket; /* 0: none was asked for */
	pimento_usec_t asked_at;
	pimento_usec_t until; /* it must be sent before; 0: not granted */
	bool granted;
	bool denied;
} trial_t;

/* What may be done with a request. */
typedef enum trial_decision {
	TRIAL_SEND,
	TRIAL_WAIT, /* for the outcome of another one */
	TRIAL_REJECT
} trial_decision_t;

typedef struct trials {
	quarantine_t quarantines[QUARANTINE_KINDS];
	uint64_t granted; /* counters of this host's requests */
	uint64_t rejected;
	/* Sends a message to another host. */
	void (*send)(void *context, uint32_t address,
		     const packet_trial_t *trial);
	void *send_context;
} trials_t;

void trials_init(trials_t *trials,
		 const quarantine_limits_t limits[QUARANTINE_KINDS]);
void trials_finish(trials_t *trials);

/* What is known of the request itself or of its parts, whichever is worse. */
quarantine_verdict_t trials_judge(const struct exchange *exchange,
				  pimento_usec_t now);
/*
 * To be asked before a request waits for a slot and again before it is sent;
 * asks owners for a trial where that is needed.
 */
trial_decision_t trials_check(struct exchange *exchange, pimento_usec_t now);
/* True if its caller is not told of the failure yet: the endpoint may have ended. */
bool trials_holds_failure(const struct exchange *exchange, pimento_usec_t now);
/* The request is being sent. */
void trials_sent(struct exchange *exchange);
/* Its answer has gone on for a while: beginning it crashes nothing. */
void trials_begun(struct exchange *exchange, pimento_usec_t now);
/* Its answer is whole: that clears all evidence. */
void trials_answered(struct exchange *exchange, pimento_usec_t now);
/* True if the attempt under way, or the next one, is a trial. */
bool trials_is_trial(const struct exchange *exchange);
/* The exchange is over. */
void trials_forget(struct exchange *exchange);
/* Tells the owner that a trial is over, if it was granted, and what came of it. */
void trials_release(struct gateway *gateway, quarantine_kind_t kind,
		    const trial_t *trial, pimento_usec_t now);
/* An endpoint ended under a request; its owner is told, or all hosts. */
void trials_tell_end(struct gateway *gateway, uint64_t fingerprint,
		     pimento_usec_t now);

/* A message of another host. */
void trials_receive(struct gateway *gateway, const packet_trial_t *trial,
		    pimento_usec_t now);

/* Logs parts and requests whose state has changed; call some times a second. */
void trials_tick(struct gateway *gateway, pimento_usec_t now);

#endif
