#ifndef EXCHANGE_H
#define EXCHANGE_H

/*
 * One request of a caller on its way through the gateway, and the steps that
 * the gateway's files share. For the gateway's own files only.
 */

#include "gateway.h"

typedef enum exchange_state {
	EXCHANGE_ADMITTING, /* the owner of its account is asked */
	EXCHANGE_WAITING, /* for a place */
	EXCHANGE_CONNECTING, /* nothing has been sent */
	EXCHANGE_SENT, /* may run; no answer yet */
	EXCHANGE_ANSWERING, /* the caller has the head of the answer */
	EXCHANGE_FAILING /* its last attempt broke; the caller is told soon */
} exchange_state_t;

/* A place at an engine, asked of its owner. */
typedef struct exchange_place {
	uint64_t ticket; /* 0: none */
	registry_endpoint_t *endpoint; /* held while there is a ticket */
	pimento_usec_t asked_at;
	bool in_line; /* the owner has answered */
} exchange_place_t;

/* One attempt at an endpoint. Without an endpoint it is over. */
typedef struct attempt {
	registry_endpoint_t *endpoint; /* NULL: none */
	uint32_t life; /* of the endpoint */
	httpc_t *conn;
	exchange_place_t place; /* that it was given */
	latency_outcome_t finding;

	pimento_usec_t begun_at; /* when it got its slot */
	pimento_usec_t rested; /* how long the connection had, if reused */
	pimento_usec_t retry_age; /* when sent, since its retry was taken */
	pimento_usec_t sent_at;
	pimento_usec_t list_age; /* of the list of endpoints when sent */
	pimento_usec_t ack_checked_at;
	pimento_usec_t event_at; /* last event */
	pimento_usec_t first_event_at;

	uint32_t load; /* in flight at the endpoint when sent */
	uint32_t ahead; /* tokens of prompts that were to be read before */
	uint32_t reading; /* of its own prompt, until the answer begins */
	uint32_t events_before; /* that the caller had */
	uint32_t via; /* the peer whose tunnel it took; 0: none */
	bool acknowledged; /* the request, by the next host */
	bool unreached; /* no connection was made */
	bool overdue; /* its endpoint is not taken for busy with it any more */
	bool is_probe; /* of a half-open endpoint, see backoff.h */
	bool granted; /* its place, by the endpoint's owner */
	bool reused; /* the connection had rested */
	bool told_pace; /* the owner heard how fast its events come */
} attempt_t;

/*
 * An attempt that is silent and goes on while another endpoint is tried, with
 * what has come of its answer and not been passed on.
 */
typedef struct silent_attempt {
	attempt_t attempt; /* without a connection: there is none */
	exchange_state_t state;
	int status;
	int64_t length;
	strbuf_t fields;
	strbuf_t body;
	sse_partial_t partial; /* event */
	bool is_events;
	bool resuming;
} silent_attempt_t;

typedef struct exchange {
	wait_queue_item_t wait; /* first: the line hands out items */
	struct exchange *next;
	struct exchange *prev;
	gateway_t *gateway;
	gateway_service_t *service;
	httpd_conn_t *caller;
	catalog_t *catalog; /* held */
	const catalog_route_t *route;
	const catalog_account_t *account; /* NULL: none */
	dialect_call_t call;
	uint64_t fingerprint; /* the same in all attempts of its client */
	double tokens; /* counted against the quota */
	uint64_t quota_ticket; /* of the ask under way; 0 none */
	bool counted; /* it was admitted, */
	uint32_t quota_judge; /* by this host; 0: this one's own part */
	uint64_t draw;
	pimento_usec_t arrived; /* its first byte */
	pimento_usec_t spent; /* by earlier attempts of its caller */
	pimento_usec_t end; /* caller's deadline or route's timeout */

	exchange_place_t
		lines[GRANTS_QUEUES_MAX]; /* asked for while it waits */
	uint32_t line_count;
	uint64_t given; /* ticket of a place that was granted while asking */
	trial_t trials[QUARANTINE_KINDS];

	attempt_t attempt; /* under way, or the last one */
	silent_attempt_t silent;
	pimento_usec_t hedge_at; /* not before this */
	pimento_usec_t retry_at; /* the same for the next attempt */
	/* a retry was taken from the budget and not used yet; 0: none */
	pimento_usec_t retry_taken_at;
	pimento_usec_t pause_most; /* the longest between two events */

	/* The answer. */
	pimento_usec_t first_at; /* its first bytes */
	int64_t length; /* stated, or -1 */
	strbuf_t fields; /* header lines for the caller */
	strbuf_t body; /* of a plain answer, held until whole */
	sse_t events;

	pimento_id_t tried[PLACEMENT_TRIED_MAX]; /* in all attempts */
	uint32_t tried_count;
	uint32_t arrivals; /* at endpoints */
	uint32_t runs; /* of those, that may have run */
	char sent_to[PIMENTO_NAME_MAX]; /* the last endpoint that it reached */
	uint32_t ended; /* endpoints that ended under it */
	uint32_t undecided; /* those of which it is not known yet */
	pimento_usec_t
		broke_at; /* the last attempt's connection; 0: none did */
	int status;
	int failure_status; /* that its caller is told */
	const char *failure_why;
	exchange_state_t state;

	uint32_t unreached_count; /* attempts that reached nothing */
	/* last byte of the last attempt that nothing came of; 0: none */
	pimento_usec_t unanswered_at;
	bool returned; /* its caller was rejected before, and came at its turn */
	bool engine;
	bool repeatable; /* may run more than once */
	bool end_is_timeout;
	bool tried_all; /* once, and began anew */
	bool streaming; /* the answer is passed on as it comes */
	bool is_events; /* and split into events */
	bool parts_cleared; /* its answer cleared its parts */
	bool resuming; /* the head of this attempt is not passed on */
} exchange_t;

/* gateway.c */
gateway_service_t *gateway_service(gateway_t *gateway, pimento_id_t key);
/* What is learnt of a route; NULL without memory. */
gateway_route_t *gateway_route(gateway_t *gateway, pimento_id_t key);
uint64_t gateway_draw(gateway_t *gateway);

/* admission.c */
void admission_init(gateway_t *gateway, const gateway_setup_t *setup);
/*
 * Asks whether the request is within its account's quota, if it has one; then
 * it goes on, or is refused and gone.
 */
void admission_begin(exchange_t *exchange);
/* The exchange ends: the ask is cancelled. */
void admission_abandon(exchange_t *exchange);
/* It has not run: its tokens are given back. */
void admission_refund(exchange_t *exchange);

/* arrival.c: what the callers' side of the server tells. */
void arrival_request(httpd_conn_t *caller);
bool arrival_accepts(httpd_conn_t *caller, uint64_t body_length);
void arrival_gone(httpd_conn_t *caller);
void arrival_written(httpd_conn_t *caller);
/* The request is within its quota: it waits for a slot. */
void arrival_admitted(exchange_t *exchange);

/*
 * exchange.c: each of these ends an exchange and frees it. The first two answer
 * the caller: "not run, come back", or a failure that promises nothing; if the
 * head of an endpoint's answer has already gone out, they break that answer off.
 */
void exchange_refuse(exchange_t *exchange, int status, const char *why);
/* exchange_refuse() with the Retry-After that is given. */
void exchange_refuse_after(exchange_t *exchange, int status, const char *why,
			   pimento_usec_t wait);
void exchange_fail(exchange_t *exchange, int status, const char *why);
/* It, or a part of its prompt, crashes endpoints: a final answer. */
void exchange_reject(exchange_t *exchange);
void exchange_over_quota(exchange_t *exchange, const quota_decision_t *verdict);
/* The first of its prompt's shared parts as text, or "-". */
#define EXCHANGE_PARTS_BYTES 80
const char *exchange_parts(const exchange_t *exchange,
			   char buf[EXCHANGE_PARTS_BYTES]);
/* The peer of its last attempt as text, or "-"; buf is INET_ADDRSTRLEN long. */
const char *exchange_via(const exchange_t *exchange, char *buf);
/* Its answer is whole; returns the caller, to whom its end is still owed. */
httpd_conn_t *exchange_served(exchange_t *exchange);
/* Breaks an answer off that has begun. */
void exchange_cut(exchange_t *exchange, const char *why);
/* Answers nobody. */
void exchange_finish(exchange_t *exchange, gateway_outcome_t outcome,
		     const char *why);
/* A "not run, come back" to a caller, with the time to stay away. */
void exchange_retry_after(gateway_t *gateway, httpd_conn_t *caller, int status,
			  pimento_usec_t wait);

/* placing.c */
void placing_pump(gateway_t *gateway, gateway_service_t *service);
/* True if no endpoint that suits has a free slot. */
bool placing_is_full(exchange_t *exchange, pimento_usec_t now);
/*
 * Takes a free slot for a request that has just arrived, whatever waits before
 * it: that may have found none that suits. Without a free slot the queue is
 * served as usual. The exchange may be over then.
 */
void placing_begin(exchange_t *exchange);
/* Until the first backoff ends, if it backs off from all endpoints; otherwise 0. */
pimento_usec_t placing_backoff_left(const exchange_t *exchange,
				    pimento_usec_t now);
/* Leaves all lines. */
void placing_leave_lines(exchange_t *exchange);
/* Gives back the place that the attempt holds, if any. */
void placing_give_back(exchange_t *exchange, attempt_t *attempt);
/* Tells the owner, once, of an engine's pace that it does not know. */
void placing_tell_pace(exchange_t *exchange);
/*
 * Leaves lines where no owner has answered, where it waited long enough, and at
 * endpoints that accept no more work.
 * Returns true if it left any; exchanges may be over then, this one too.
 */
bool placing_sweep(exchange_t *exchange, pimento_usec_t now);

/* dispatch.c */
void dispatch_init(gateway_t *gateway);
/* Takes a place at an endpoint, and a connection there. */
void dispatch_begin(exchange_t *exchange, registry_endpoint_t *endpoint);
/* The endpoint has read the prompt: its answer has begun. */
void dispatch_read(attempt_t *attempt);
/* The attempt ended well; its connection rests. */
void dispatch_done(exchange_t *exchange);
/* The attempt failed: tries again or ends the exchange. */
void dispatch_over(exchange_t *exchange, pimento_verdict_t verdict, int status,
		   const char *why);
/* Tells the caller of a failure that was held back. */
void dispatch_tell_failure(exchange_t *exchange);
/* Lets go of an attempt; its connection is closed. */
void dispatch_close(exchange_t *exchange, attempt_t *attempt);
/* The same for the one under way, if there is one. */
void dispatch_abandon(exchange_t *exchange);
/*
 * Takes a retry from the service's budget, which the next attempt uses up.
 * Returns false if none is left.
 */
bool dispatch_take_retry(exchange_t *exchange);
/* Gives back one that was not used. */
void dispatch_return_retry(exchange_t *exchange);
/*
 * Ends an attempt that reaches nothing, and looks for another endpoint beside
 * one that is silent; returns true if it did. Exchanges may be over then.
 */
bool dispatch_sweep(exchange_t *exchange, pimento_usec_t now);

/* hedge.c: another attempt beside one that is silent. */
bool hedge_may_begin(const exchange_t *exchange, pimento_usec_t now);
/* The attempt under way is silent; it goes on beside the next one. */
void hedge_begin(exchange_t *exchange, const char *why);
/* True if the connection is that of the silent attempt. */
bool hedge_is_silent(const exchange_t *exchange, const httpc_t *conn);
/*
 * Ends the other attempt, or the search for one: the silent one is under way
 * again. Returns false if there is none.
 */
bool hedge_return(exchange_t *exchange, const char *why);
/* The other attempt delivers: the silent one is cancelled. */
void hedge_settle(exchange_t *exchange);
/*
 * The silent attempt is over, if there is one. An exchange that waits may be
 * over when this returns.
 */
void hedge_drop(exchange_t *exchange);
/* The same for one that failed. */
void hedge_end(exchange_t *exchange, const char *why);

/* relay.c: what the connection to the endpoint tells. */
bool relay_head(httpc_t *conn);
void relay_body(httpc_t *conn, const char *bytes, size_t length);
void relay_end(httpc_t *conn);
/* The caller has taken all that was written. */
void relay_written(exchange_t *exchange);

#endif
