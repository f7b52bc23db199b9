/*
 * Answers on their way back. A plain answer is held until it is whole, so that
 * one that breaks off is never passed on as a success; a stream goes on event
 * by event. An endpoint may answer with bytes of another request, late or
 * twice: only an answer that bears the request's id is taken for its answer.
 */

#include "exchange.h"

#include "statements.h"
#include "sys.h"

#include <string.h>
#include <strings.h>

/* A plain answer beyond this is passed on as it comes. */
#define HOLD_MOST ((size_t)64 * 1024)

/* A caller that does not read stops its endpoint's stream, and nobody else. */
#define UNREAD_MOST ((size_t)256 * 1024)

static latency_service_t *pace_of(exchange_t *x)
{
	registry_service_t *service =
		registry_get_service(x->gateway->registry, x->service->key);

	return service ? &service->latency : NULL;
}

static void collect_fields(exchange_t *x, const head_t *head)
{
	x->fields.length = 0;
	for (uint32_t i = 0; i < head->count; i++) {
		const char *name = head_name(head, i);

		if (head_is_hop_by_hop(head, name) ||
		    strcasecmp(name, "content-length") == 0)
			continue;
		strbuf_addf(&x->fields, "%s: %s\r\n", name,
			    head_value(head, i));
	}
}

static void begin_streaming(exchange_t *x)
{
	hedge_settle(x);
	x->streaming = true;
	x->state = EXCHANGE_ANSWERING;
	httpd_begin(x->caller, x->status, strbuf_str(&x->fields),
		    x->length >= 0 ? x->length : HTTPD_CHUNKED);
}

static bool is_event_stream(const head_t *head)
{
	const char *type = head_get(head, "content-type");

	return type && strncasecmp(type, "text/event-stream", 17) == 0;
}

/* What an answer means for the request. */
typedef enum relay_judgement {
	RELAY_PASS, /* the caller gets it */
	RELAY_NOT_RUN, /* another endpoint may run the request */
	RELAY_FULL, /* the same, and this one has no room */
	RELAY_AGAIN, /* it ran and failed; worth another attempt */
	RELAY_BAD /* not fit to be passed on */
} relay_judgement_t;

/* Statuses by which this host would promise its caller "not run". */
static bool is_promise(int status)
{
	return status == HTTP_STATUS_REQUEST_TIMEOUT ||
	       status == HTTP_STATUS_MISDIRECTED_REQUEST ||
	       status == HTTP_STATUS_TOO_MANY_REQUESTS ||
	       status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

static relay_judgement_t judge(const exchange_t *x, bool resuming,
			       const dialect_answer_t *answer,
			       const httpc_t *conn)
{
	int status = conn->status;

	if (status == HTTP_STATUS_MISDIRECTED_REQUEST)
		return RELAY_NOT_RUN;
	if (answer->not_run)
		return RELAY_FULL;
	if (is_promise(status))
		return RELAY_BAD; /* it may have run: the promise is false */
	if (status / 100 == 2 && (!answer->sealed || answer->encoded))
		return RELAY_BAD;
	if (resuming &&
	    (status != HTTP_STATUS_OK || !is_event_stream(&conn->head)))
		return RELAY_BAD;
	if (status / 100 == 5 && x->repeatable)
		return RELAY_AGAIN;
	return RELAY_PASS;
}

static void take_head(exchange_t *x, const httpc_t *conn)
{
	const http_parser *parser = &conn->parser;

	x->is_events = is_event_stream(&conn->head);
	if (x->resuming)
		return;
	x->status = conn->status;
	x->length = -1;
	if (!conn->headless && !conn->until_close &&
	    parser->content_length != UINT64_MAX &&
	    !(parser->flags & F_CHUNKED))
		x->length = (int64_t)parser->content_length;
	x->body.length = 0;
	collect_fields(x, &conn->head);
}

static void pass_head(exchange_t *x, httpc_t *conn)
{
	take_head(x, conn);
	if (x->is_events && x->status / 100 == 2) {
		if (!x->streaming)
			begin_streaming(x);
		x->state = EXCHANGE_ANSWERING;
	}
}

static void not_run(exchange_t *x, bool full, int status)
{
	x->attempt.finding =
		full ? LATENCY_OUTCOME_FULL : LATENCY_OUTCOME_REPLACED;
	slots_learn(x->gateway->slots, x->attempt.endpoint, x->attempt.finding,
		    x->gateway->slots->self, sys_now());
	dispatch_over(x, PIMENTO_NOT_RUN, status,
		      full ? "endpoint_full" : "other_endpoint");
}

/* The endpoint answered, with a failure or with what is no answer. */
static void failed(exchange_t *x)
{
	latency_service_t *service = pace_of(x);
	pimento_usec_t now = sys_now();

	x->attempt.finding = LATENCY_OUTCOME_FAILED;
	slots_learn(x->gateway->slots, x->attempt.endpoint, x->attempt.finding,
		    x->gateway->slots->self, now);
	if (service)
		latency_add_failure(&x->attempt.endpoint->latency, service,
				    now);
}

/* Bytes came from the endpoint. */
static void note_heard(const httpc_t *conn, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = conn->owner;

	if (!conn->via)
		endpoint_path_heard(&endpoint->path, now);
}

/*
 * The silent attempt has an answer. Returns true if it is fit to be passed on:
 * it is then the attempt under way; else it is over.
 */
static bool silent_answers(exchange_t *x, const dialect_answer_t *answer,
			   const httpc_t *conn)
{
	relay_judgement_t judgement =
		judge(x, x->silent.resuming, answer, conn);

	if (judgement == RELAY_PASS)
		return hedge_return(x, "answered");
	if (judgement == RELAY_NOT_RUN || judgement == RELAY_FULL)
		x->runs--;
	hedge_end(x, "unfit_answer");
	return false;
}

static const attempt_t *attempt_of(const exchange_t *x, const httpc_t *conn)
{
	return hedge_is_silent(x, conn) ? &x->silent.attempt : &x->attempt;
}

/* False if another process answered, which has the address or the id now. */
static bool is_from_process(const attempt_t *attempt, const httpc_t *conn)
{
	return conn->status != HTTP_STATUS_MISDIRECTED_REQUEST &&
	       attempt->life == attempt->endpoint->incarnation;
}

/* Any answer tells whether the endpoint leaves, also one to another request. */
static void learn_leaving(const exchange_t *x, const httpc_t *conn,
			  const dialect_answer_t *answer)
{
	const attempt_t *attempt = attempt_of(x, conn);

	if (answer->leaving && is_from_process(attempt, conn))
		statements_learn_leaving(x->gateway->slots, attempt->endpoint,
					 conn->via, sys_now());
}

/* Whether this host is to back off from the endpoint. */
static void learn_backoff(const exchange_t *x, const httpc_t *conn,
			  const dialect_answer_t *answer)
{
	const attempt_t *attempt = attempt_of(x, conn);

	if (!is_from_process(attempt, conn))
		return;
	if (conn->status != HTTP_STATUS_SERVICE_UNAVAILABLE) {
		if (attempt->is_probe)
			backoff_clear(&attempt->endpoint->backoff);
	} else if (answer->retry_after) {
		statements_learn_backoff(x->gateway->slots, attempt->endpoint,
					 answer->retry_after, conn->via,
					 sys_now());
	}
}

/* What the answer says of the requests that the endpoint takes. */
static void learn_rate_limit(const exchange_t *x, const httpc_t *conn,
			     const dialect_answer_t *answer)
{
	const attempt_t *attempt = attempt_of(x, conn);

	if (is_from_process(attempt, conn))
		statements_learn_rate_limit(
			x->gateway->slots, attempt->endpoint,
			answer->rate_limit,
			answer->not_run ? RATE_LIMIT_IN_REJECTIONS
					: RATE_LIMIT_IN_ANSWERS,
			attempt->sent_at, sys_now());
}

/* Rejections may come without an id, but not with another request's. */
static bool is_for_request(const dialect_answer_t *answer, const httpc_t *conn)
{
	if (answer->foreign)
		return false;
	return answer->mine || answer->not_run ||
	       conn->status == HTTP_STATUS_MISDIRECTED_REQUEST;
}

bool relay_head(httpc_t *conn)
{
	exchange_t *x = conn->user;
	dialect_answer_t answer = { 0 };

	if (!x)
		return false;
	if (!hedge_is_silent(x, conn))
		x->attempt.acknowledged = true;
	if (conn->status != HTTP_STATUS_MISDIRECTED_REQUEST)
		note_heard(conn, sys_now());
	x->gateway->dialect->read_answer(&conn->head, x->call.id, &answer);
	learn_leaving(x, conn, &answer);
	learn_backoff(x, conn, &answer);
	if (!is_for_request(&answer, conn))
		return false;
	learn_rate_limit(x, conn, &answer);
	if (hedge_is_silent(x, conn) && !silent_answers(x, &answer, conn))
		return true;
	switch (judge(x, x->resuming, &answer, conn)) {
	case RELAY_NOT_RUN:
		not_run(x, false, conn->status);
		return true;
	case RELAY_FULL:
		not_run(x, true, conn->status);
		return true;
	case RELAY_BAD:
		failed(x);
		dispatch_over(x, PIMENTO_MAY_HAVE_RUN, 0, "unfit_answer");
		return true;
	case RELAY_AGAIN:
		failed(x);
		if (x->runs < x->route->attempts_max ||
		    x->silent.attempt.conn) {
			dispatch_over(x, PIMENTO_RAN, conn->status,
				      "endpoint_failed");
			return true;
		}
		break;
	case RELAY_PASS:
		if (conn->status / 100 == 5)
			failed(x);
		break;
	}
	pass_head(x, conn);
	return true;
}

/* The first bytes of an answer that counts. */
static void learn_first(exchange_t *x, pimento_usec_t now)
{
	latency_service_t *service = pace_of(x);

	if (!x->first_at)
		x->first_at = now;
	dispatch_read(&x->attempt);
	if (x->status / 100 != 5) {
		x->attempt.finding = LATENCY_OUTCOME_ANSWERED;
		slots_learn(x->gateway->slots, x->attempt.endpoint,
			    x->attempt.finding, x->gateway->slots->self, now);
	}
	if (!service || x->status / 100 != 2)
		return;
	latency_add_success(&x->attempt.endpoint->latency, service);
	/* Behind a full batch the span would tell of the queue instead. */
	if (x->attempt.load <= x->attempt.endpoint->slots)
		latency_add_first_event(&x->attempt.endpoint->latency, service,
					now - x->attempt.sent_at,
					x->call.prompt + x->attempt.ahead);
}

static void learn_gap(exchange_t *x, uint32_t events, pimento_usec_t now)
{
	latency_service_t *service = pace_of(x);

	if (x->pause_most < now - x->attempt.event_at)
		x->pause_most = now - x->attempt.event_at;
	if (service && events)
		latency_add_gap(&x->attempt.endpoint->latency, service,
				(now - x->attempt.event_at) / events);
}

static void pass_events(exchange_t *x, const char *bytes, size_t length)
{
	uint32_t before = x->events.count;
	int64_t whole = sse_feed(&x->events, bytes, length);
	pimento_usec_t now = sys_now();

	if (whole == PIMENTO_ENOMEM) {
		exchange_cut(x, "memory");
		return;
	}
	if (whole < 0) {
		failed(x);
		dispatch_over(x, PIMENTO_RAN, 0, "event_too_big");
		return;
	}
	note_heard(x->attempt.conn, now);
	if (!whole)
		return;
	hedge_settle(x);
	x->gateway->counters.events += x->events.count - before;
	if (x->attempt.event_at == x->attempt.sent_at) {
		x->attempt.first_event_at = now;
		learn_first(x, now);
	} else {
		learn_gap(x, x->events.count - before, now);
	}
	x->attempt.event_at = now;
	if (!x->parts_cleared && x->call.part_count &&
	    crashes_has_begun(x, &x->attempt, now))
		trials_begun(x, now);
	placing_tell_pace(x);
	httpd_write(x->caller, x->events.partial.text.bytes, (size_t)whole);
	sse_consume(&x->events, (size_t)whole);
	if (sendbuf_waiting(&x->caller->sendbuf) > UNREAD_MOST)
		httpc_hold(x->attempt.conn, true);
}

/*
 * Keeps what comes of a silent stream. Only an event ends the search for another
 * endpoint: bytes may come for ever and make none.
 */
static bool silent_delivers(exchange_t *x, const char *bytes, size_t length)
{
	attempt_t *attempt = &x->silent.attempt;
	latency_service_t *service = pace_of(x);
	pimento_usec_t now = sys_now();
	int64_t whole;

	if (!x->silent.is_events || !x->streaming)
		return true;
	note_heard(attempt->conn, now);
	whole = sse_partial_feed(&x->silent.partial, bytes, length);
	if (whole >= 0)
		return whole > 0;
	attempt->finding = LATENCY_OUTCOME_FAILED;
	if (service)
		latency_add_failure(&attempt->endpoint->latency, service, now);
	hedge_end(x, "event_too_big");
	return false;
}

void relay_body(httpc_t *conn, const char *bytes, size_t length)
{
	exchange_t *x = conn->user;

	if (!x)
		return;
	if (hedge_is_silent(x, conn)) {
		if (!silent_delivers(x, bytes, length))
			return;
		(void)hedge_return(x, "answered");
		if (x->is_events && x->streaming)
			length = 0; /* the attempt has them already */
	}
	if (x->is_events && x->streaming) {
		pass_events(x, bytes, length);
		return;
	}
	x->attempt.event_at = sys_now();
	if (x->streaming) {
		httpd_write(x->caller, bytes, length);
		if (sendbuf_waiting(&x->caller->sendbuf) > UNREAD_MOST)
			httpc_hold(conn, true);
		return;
	}
	strbuf_add(&x->body, bytes, length);
	if (x->body.length > HOLD_MOST) {
		learn_first(x, sys_now());
		begin_streaming(x);
		httpd_write(x->caller, x->body.bytes, x->body.length);
		x->body.length = 0;
	}
}

static void learn_length(exchange_t *x)
{
	latency_service_t *service = pace_of(x);

	if (service && x->is_events && x->call.expected)
		latency_add_length(service, x->call.expected, x->events.count);
}

/* The end of a connection does not show that the answer was whole. */
static void clear_evidence(exchange_t *x)
{
	if (x->status / 100 == 2 && !x->attempt.conn->until_close)
		trials_answered(x, sys_now());
}

static void end_stream(exchange_t *x)
{
	httpd_conn_t *caller;

	if (x->is_events && sse_is_within_event(&x->events)) {
		/* it ended in the middle of an event: it is not whole */
		crashes_broken(x, &x->attempt, sys_now());
		dispatch_over(x, PIMENTO_RAN, 0, "stream_torn");
		return;
	}
	learn_length(x);
	clear_evidence(x);
	dispatch_done(x);
	caller = exchange_served(x);
	httpd_end(caller);
}

static void end_plain(exchange_t *x)
{
	strbuf_t fields = x->fields;
	strbuf_t body = x->body;
	int status = x->status;
	httpd_conn_t *caller;

	learn_first(x, sys_now());
	clear_evidence(x);
	strbuf_init(&x->fields);
	strbuf_init(&x->body);
	dispatch_done(x);
	caller = exchange_served(x);
	httpd_answer(caller, status, strbuf_str(&fields), body.bytes,
		     body.length);
	strbuf_finish(&fields);
	strbuf_finish(&body);
}

void relay_end(httpc_t *conn)
{
	exchange_t *x = conn->user;

	if (!x) {
		pool_remove(conn);
		return;
	}
	if (hedge_is_silent(x, conn))
		(void)hedge_return(x, "answered");
	if (strbuf_error(&x->body) || strbuf_error(&x->fields))
		dispatch_over(x, PIMENTO_RAN, 0, "memory");
	else if (x->streaming)
		end_stream(x);
	else
		end_plain(x);
}

void relay_written(exchange_t *x)
{
	if (x->attempt.conn)
		httpc_hold(x->attempt.conn, false);
}
