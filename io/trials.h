#ifndef TRIALS_H
#define TRIALS_H

/*
 * Keeps requests with prompt parts that crash endpoints from them. What follows
 * from the evidence is decided in src/quarantine.h; here requests are held back,
 * and the owner of a part is asked whether one of them may be tried.
 */

#include "dialect.h"

#include "../src/packet.h"

struct exchange;
struct gateway;

/* A request's trial while one of its parts is not clear. */
typedef struct trial {
	uint64_t part;
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
	quarantine_t quarantine;
	uint64_t granted; /* counters of this host's requests */
	uint64_t rejected;
	/* Sends a message to another host. */
	void (*send)(void *context, uint32_t address,
		     const packet_trial_t *trial);
	void *send_context;
} trials_t;

void trials_init(trials_t *trials, const quarantine_limits_t *limits);
void trials_finish(trials_t *trials);

/*
 * To be asked before a request waits for a slot and again before it is sent;
 * asks the owner of its part for a trial where that is needed.
 */
trial_decision_t trials_check(struct exchange *exchange, pimento_usec_t now);
/* The request is being sent. */
void trials_sent(struct exchange *exchange);
/* Its answer is whole, or has gone on for a while. */
void trials_answered(struct exchange *exchange, pimento_usec_t now);
/* The exchange is over. */
void trials_forget(struct exchange *exchange);
/* Tells the part's owner that a trial is over, and what came of it. */
void trials_release(struct gateway *gateway, uint64_t part, uint64_t ticket,
		    pimento_usec_t now);

/* A message of another host. */
void trials_receive(struct gateway *gateway, const packet_trial_t *trial,
		    pimento_usec_t now);

/* Logs parts whose state has changed; call some times a second. */
void trials_tick(struct gateway *gateway, pimento_usec_t now);

#endif
