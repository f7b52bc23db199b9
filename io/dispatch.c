/*
 * A request is committed to an endpoint in the moment between "connected" and
 * its first byte. Until then nothing has run, and another endpoint may be
 * tried freely. From then on, only the endpoint's own word "not run" makes the
 * request free again; without it, a request that may not be repeated is over.
 */

#include "exchange.h"

#include "overload.h"
#include "paths.h"
#include "sys.h"
#include "trail.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

/*
 * A connection takes some milliseconds. A first packet that is lost, or sent to
 * a host without power, would be sent again after a second; another endpoint
 * answers sooner.
 */
#define CONNECT_TIMEOUT (150 * PIMENTO_MSEC)
/* Once another connection to the endpoint has failed. */
#define CONNECT_TIMEOUT_LOST (50 * PIMENTO_MSEC)

/* The same through a tunnel: its peer connects, too. */
#define TUNNEL_TIMEOUT (450 * PIMENTO_MSEC)
/* Times that a request may not reach an endpoint it has not been sent to. */
#define UNREACHED_MAX 3
/* Longer than a segment that is lost once takes on a short path. */
#define ACK_TIMEOUT (150 * PIMENTO_MSEC)
/* Silence after which an answer on a lost path is not waited for. */
#define STRANDED_AFTER (300 * PIMENTO_MSEC)

/*
 * A request that may be repeated looks for another endpoint when its own has
 * been silent for so long, in parts of the route's goal.
 */
#define SILENT_GOALS 2
#define SILENT_LEAST (250 * PIMENTO_MSEC)
/* The same in the middle of a stream, in parts of its longest good pause. */
#define SILENT_GAPS 4

/* A plain answer that takes this many times the usual does not come. */
#define OVERDUE_TIMES 3.0

/* Sooner than this no endpoint closes an idle connection. */
#define STALE_LEAST (100 * PIMENTO_MSEC)

/*
 * After a request was refused by more endpoints than it may run at; doubles
 * with each.
 */
#define REFUSED_PAUSE_MIN (100 * PIMENTO_MSEC)
#define REFUSED_PAUSE_MAX (800 * PIMENTO_MSEC)

/* A retry that waits for a slot counts when it is sent, to about this. */
#define RETRY_RENEWED (1 * PIMENTO_SEC)

/* Lines about an exhausted retry budget of one service. */
#define RETRY_DENIED_SPACING (1 * PIMENTO_SEC)

/* Less time than this is no use to an endpoint. */
#define TIME_LEAST (10 * PIMENTO_MSEC)

void dispatch_read(attempt_t *attempt)
{
	attempt->endpoint->pending_prompt_tokens -= attempt->reading;
	attempt->reading = 0;
}

/* The endpoint is done with the request, or counts as done with it. */
static void free_slot(attempt_t *attempt)
{
	if (!attempt->overdue)
		attempt->endpoint->running--;
	attempt->overdue = false;
}

/* Lets go of an endpoint; the connection has been dealt with. */
static void let_go(exchange_t *x, attempt_t *attempt)
{
	registry_endpoint_t *endpoint = attempt->endpoint;

	if (!endpoint)
		return;
	dispatch_read(attempt);
	free_slot(attempt);
	if (attempt->is_probe)
		backoff_end_probe(&endpoint->backoff);
	attempt->is_probe = false;
	endpoint->refs--;
	attempt->endpoint = NULL;
	attempt->conn = NULL;
	placing_give_back(x, attempt);
}

void dispatch_close(exchange_t *x, attempt_t *attempt)
{
	httpc_t *conn = attempt->conn;

	if (conn) {
		pool_remove(conn);
		httpc_close(conn);
	}
	let_go(x, attempt);
}

void dispatch_abandon(exchange_t *x)
{
	dispatch_close(x, &x->attempt);
}

static void learn_answer_time(exchange_t *x, registry_service_t *service,
			      pimento_usec_t span)
{
	gateway_route_t *learnt = gateway_route(x->gateway, x->route->key);

	latency_add_slot_time(&service->latency, span);
	if (learnt)
		answer_time_add(&learnt->answer_time, span);
}

void dispatch_done(exchange_t *x)
{
	httpc_t *conn = x->attempt.conn;
	registry_service_t *service =
		registry_get_service(x->gateway->registry, x->service->key);

	if (service && x->status / 100 == 2)
		learn_answer_time(x, service, sys_now() - x->attempt.sent_at);
	if (conn->reusable)
		pool_release(conn);
	else
		pool_remove(conn);
	let_go(x, &x->attempt);
}

/* Sending. */

static void write_head(exchange_t *x, strbuf_t *text, pimento_usec_t now)
{
	httpd_conn_t *caller = x->caller;
	dialect_send_t send = {
		.endpoint = x->attempt.endpoint->id,
		.account = x->account ? x->account->name : NULL,
		.resume_after = x->call.resume_after,
		.patience = x->call.patience
				    ? x->arrived + x->call.patience - now
				    : x->end - now,
	};

	if (x->events.last_id[0])
		send.resume_after = x->events.last_id;
	strbuf_addf(text, "%s %s HTTP/1.1\r\n",
		    http_method_str(caller->parser.method),
		    caller->target.bytes);
	x->gateway->dialect->write_call(text, &caller->head, &send);
	if (caller->body.length || head_get(&caller->head, "content-length") ||
	    head_get(&caller->head, "transfer-encoding"))
		strbuf_addf(text, "Content-Length: %zu\r\n",
			    caller->body.length);
	strbuf_addf(text, "\r\n");
}

/* The attempt uses the retry that was taken for it, if it needed one. */
static void count_retry(exchange_t *x, pimento_usec_t now)
{
	x->attempt.retry_age = 0;
	if (!x->retry_taken_at)
		return;
	x->attempt.retry_age = now - x->retry_taken_at;
	retry_budget_sent(&x->service->budget, &x->gateway->bounds.retry,
			  x->retry_taken_at, now);
	x->retry_taken_at = 0;
}

/* The connection is open: commits the request, unless things have changed. */
static void commit(exchange_t *x)
{
	pimento_usec_t now = sys_now();
	httpc_t *conn = x->attempt.conn;
	strbuf_t head;
	bool asked;

	if (!registry_endpoint_accepts_work(x->attempt.endpoint, now) ||
	    x->attempt.life != x->attempt.endpoint->incarnation) {
		dispatch_over(x, PIMENTO_NOT_RUN, 0, "endpoint_left");
		return;
	}
	if (backoff_is_active(&x->attempt.endpoint->backoff, now)) {
		dispatch_over(x, PIMENTO_NOT_RUN, 0, "endpoint_in_backoff");
		return;
	}
	if (now + TIME_LEAST > x->end) {
		dispatch_over(x, PIMENTO_NOT_RUN, 0, "no_time");
		return;
	}
	if (trials_check(x, now) != TRIAL_SEND) {
		dispatch_over(x, PIMENTO_NOT_RUN, 0, "quarantined");
		return;
	}
	conn->request_id = x->call.id;
	x->gateway->counters.tunnelled += conn->via != 0;
	x->attempt.reused = conn->asked > 0;
	x->attempt.rested = now - conn->since;
	strbuf_init(&head);
	write_head(x, &head, now);
	asked = !strbuf_error(&head) &&
		httpc_ask(conn, head.bytes, head.length, x->caller->body.bytes,
			  x->caller->body.length,
			  x->caller->parser.method == HTTP_HEAD);
	strbuf_finish(&head);
	if (!asked) {
		dispatch_over(x, PIMENTO_NOT_RUN, 0, "connection_dead");
		return;
	}
	x->state = EXCHANGE_SENT;
	trials_sent(x);
	snprintf(x->sent_to, sizeof(x->sent_to), "%s", x->attempt.endpoint->id);
	x->attempt.sent_at = now;
	x->attempt.list_age = replica_age(x->gateway->endpoint_list, now);
	x->attempt.acknowledged = false;
	x->attempt.ack_checked_at = now;
	x->attempt.event_at = now;
	x->attempt.events_before = x->events.count;
	x->attempt.told_pace = false;
	x->attempt.load = x->attempt.endpoint->running +
			  x->attempt.endpoint->remote_running;
	x->gateway->counters.attempts++;
	x->gateway->counters.repeats += x->arrivals > 0;
	x->arrivals++;
	x->runs++;
	count_retry(x, now);
}

static gateway_t *gateway_of(const httpc_t *conn)
{
	return (gateway_t *)((char *)conn->ops -
			     offsetof(gateway_t, endpoints));
}

static void on_opened(httpc_t *conn)
{
	exchange_t *x = conn->user;

	if (!x) {
		paths_opened(gateway_of(conn), conn);
		return;
	}
	if (conn->via)
		endpoint_path_tunnelled(&x->attempt.endpoint->path, conn->via);
	else
		endpoint_path_opened(&x->attempt.endpoint->path, sys_now());
	crashes_reached(x->gateway, x->attempt.endpoint, conn->begun);
	commit(x);
}

static httpc_t *take_connection(exchange_t *x, pimento_usec_t now)
{
	const pool_terms_t terms = {
		.careful = !x->repeatable,
		.heard_since = x->unanswered_at,
		.regions = { &x->route->regions,
			     x->account ? &x->account->regions : NULL },
		.random_bits = gateway_draw(x->gateway),
	};

	return pool_take(&x->gateway->pool, x->attempt.endpoint, &terms, now);
}

/* Without a path, the request waits until a peer has been found. */
static void no_connection(exchange_t *x, pimento_usec_t now)
{
	endpoint_path_t *path = &x->attempt.endpoint->path;

	if (path->state == ENDPOINT_PATH_LOST) {
		x->attempt.unreached = true;
		x->unreached_count++;
		if (!peers_may_tunnel(x->gateway->roster, path->tunnel_peer,
				      now))
			path->tunnel_peer = 0;
	}
	dispatch_over(x, PIMENTO_NOT_RUN, 0, "no_connection");
}

static void count_slow(exchange_t *x, const registry_endpoint_t *endpoint)
{
	const registry_service_t *service =
		registry_get_service(x->gateway->registry, x->service->key);

	if (service && latency_is_slow(&endpoint->latency, &service->latency))
		x->service->begun_at_slow++;
}

/* Takes a place at an endpoint, and a connection there. */
void dispatch_begin(exchange_t *x, registry_endpoint_t *endpoint)
{
	pimento_usec_t now = sys_now();

	wait_queue_remove(&x->service->line, &x->wait);
	placing_leave_lines(x);
	overload_begun(x);
	count_slow(x, endpoint);
	x->state = EXCHANGE_CONNECTING;
	x->attempt.finding = LATENCY_OUTCOME_NONE;
	x->attempt.unreached = false;
	x->attempt.begun_at = now;
	x->attempt.endpoint = endpoint;
	x->attempt.life = endpoint->incarnation;
	x->attempt.is_probe = backoff_begin_request(&endpoint->backoff);
	x->attempt.ahead = endpoint->pending_prompt_tokens +
			   endpoint->remote_prompt_tokens;
	x->attempt.reading = x->call.prompt;
	endpoint->pending_prompt_tokens += x->attempt.reading;
	endpoint->running++;
	endpoint->refs++;
	x->attempt.conn = take_connection(x, now);
	if (!x->attempt.conn) {
		no_connection(x, now);
		return;
	}
	x->attempt.conn->user = x;
	x->attempt.via = x->attempt.conn->via;
	if (x->attempt.conn->state == HTTPC_RESTING)
		commit(x);
}

/* Failing. */

/* Its caller waits for the rest of a stream, or for one that ran in vain. */
static void wait_again(exchange_t *x)
{
	const wait_queue_timing_t terms = {
		.arrived = x->arrived,
		.objective = x->route->objective,
		.gap_objective = x->route->gap_objective,
		.deadline = x->end,
	};

	if (x->streaming || (x->runs && x->engine))
		wait_queue_set_resumed(&x->wait, &terms, x->streaming);
	if (x->silent.attempt.conn)
		x->wait.expires_at = x->end;
}

/* Time spent on an attempt that failed was no time in the queue. */
static void extend_wait(exchange_t *x, pimento_usec_t now)
{
	x->wait.expires_at += now - x->attempt.begun_at;
	if (x->wait.expires_at > x->end)
		x->wait.expires_at = x->end;
}

static void try_again(exchange_t *x)
{
	x->state = EXCHANGE_WAITING;
	if (x->attempt.unreached || x->runs)
		extend_wait(x, sys_now());
	wait_again(x);
	x->resuming = x->streaming;
	sse_discard_partial(&x->events);
	wait_queue_push(&x->service->line, &x->wait);
	placing_pump(x->gateway, x->service);
}

void dispatch_return_retry(exchange_t *x)
{
	if (x->retry_taken_at)
		retry_budget_return(&x->service->budget,
				    &x->gateway->bounds.retry,
				    x->retry_taken_at, sys_now());
	x->retry_taken_at = 0;
}

static void note_denied_retry(exchange_t *x, uint32_t hosts, pimento_usec_t now)
{
	gateway_t *gateway = x->gateway;
	gateway_service_t *service = x->service;
	retry_budget_usage_t usage;

	gateway->counters.retries_denied++;
	if (service->denial_logged_at &&
	    now - service->denial_logged_at < RETRY_DENIED_SPACING)
		return;
	service->denial_logged_at = now;
	usage = retry_budget_usage(&service->budget, &gateway->bounds.retry,
				   now);
	trail(TRAIL_STATE, "retry", "exhausted",
	      "route=%s requests=%u retries=%u hosts=%u up_ms=%lld",
	      x->route->name, usage.requests, usage.retries, hosts,
	      (long long)((now - gateway->started_at) / PIMENTO_MSEC));
}

bool dispatch_take_retry(exchange_t *x)
{
	gateway_t *gateway = x->gateway;
	pimento_usec_t now = sys_now();
	uint32_t hosts = peers_sharing_count(gateway->roster, now);

	if (x->retry_taken_at && now - x->retry_taken_at < RETRY_RENEWED)
		return true;
	dispatch_return_retry(x);
	if (!retry_budget_take(&x->service->budget, &gateway->bounds.retry,
			       hosts, now)) {
		note_denied_retry(x, hosts, now);
		return false;
	}
	x->retry_taken_at = now;
	return true;
}

/*
 * True if the next attempt is within all limits. A stream of which the caller
 * has a part waits for the budget in the queue; all others are given up.
 */
static bool may_try_again(exchange_t *x, pimento_verdict_t verdict)
{
	pimento_usec_t now = sys_now();

	if (now + TIME_LEAST > x->end)
		return false;
	if (x->tried_count == PLACEMENT_TRIED_MAX && !x->streaming)
		return false;
	if (verdict != PIMENTO_NOT_RUN &&
	    (!x->repeatable || x->runs >= x->route->attempts_max))
		return false;
	if (x->streaming && (!x->is_events || !x->route->resumable))
		return false; /* the caller has a part of the answer */
	if (!x->arrivals || x->streaming)
		return true;
	return dispatch_take_retry(x);
}

static void give_up(exchange_t *x, int status, const char *why)
{
	if (hedge_return(x, why))
		return;
	if (!x->runs)
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, why);
	else
		exchange_fail(x, status ? status : HTTP_STATUS_BAD_GATEWAY,
			      why);
}

/*
 * A caller that is told of a failure may come again at once, at a host that must
 * have heard of the end by then.
 */
static void hold_failure(exchange_t *x, int status, const char *why)
{
	dispatch_abandon(x);
	x->state = EXCHANGE_FAILING;
	x->failure_status = status;
	x->failure_why = why;
}

void dispatch_tell_failure(exchange_t *x)
{
	give_up(x, x->failure_status, x->failure_why);
}

/* Without a pause a stream would use up the service's retries at once. */
static void pause_refused(exchange_t *x, pimento_usec_t now)
{
	pimento_usec_t pause = REFUSED_PAUSE_MIN;

	if (!x->streaming || x->arrivals <= x->route->attempts_max)
		return;
	for (uint32_t i = x->arrivals - x->route->attempts_max;
	     i > 1 && pause < REFUSED_PAUSE_MAX; i--)
		pause *= 2;
	x->retry_at = now + pause;
}

static void add_tried(exchange_t *x)
{
	if (x->streaming && x->tried_count == PLACEMENT_TRIED_MAX)
		x->tried_count = 0;
	if (x->tried_count < PLACEMENT_TRIED_MAX)
		x->tried[x->tried_count++] = x->attempt.endpoint->key;
}

/* True if the endpoint was not reached, but may be in another way. */
static bool may_use_other_path(const exchange_t *x)
{
	return x->attempt.unreached && x->unreached_count <= UNREACHED_MAX;
}

/* Since the last byte of this attempt's answer; -1: nothing was sent. */
static long long silent_ms(const exchange_t *x, pimento_usec_t now)
{
	if (x->state < EXCHANGE_SENT)
		return -1;
	return (long long)((now - x->attempt.event_at) / PIMENTO_MSEC);
}

/* For how long this attempt's answer had been under way; -1: not begun. */
static long long begun_ms(const exchange_t *x, pimento_usec_t now)
{
	if (x->state < EXCHANGE_SENT || !x->attempt.first_event_at ||
	    x->attempt.first_event_at < x->attempt.sent_at)
		return -1;
	return (long long)((now - x->attempt.first_event_at) / PIMENTO_MSEC);
}

void dispatch_over(exchange_t *x, pimento_verdict_t verdict, int status,
		   const char *why)
{
	pimento_usec_t now = sys_now();
	bool arrived = x->state >= EXCHANGE_SENT;
	char parts[EXCHANGE_PARTS_BYTES];
	char via[INET_ADDRSTRLEN];
	bool again;

	if (verdict == PIMENTO_NOT_RUN && arrived)
		x->runs--;
	if (!may_use_other_path(x))
		add_tried(x);
	if (verdict == PIMENTO_NOT_RUN && arrived)
		pause_refused(x, now);
	again = may_try_again(x, verdict);
	trail(TRAIL_FAILURE, "attempt", again ? "again" : "over",
	      "id=%s fingerprint=%llx endpoint=%s why=%s verdict=%s status=%d "
	      "arrivals=%u ended=%u "
	      "load=%u ms=%lld reused=%d rested_ms=%lld events=%u begun_ms=%lld "
	      "silent_ms=%lld left_ms=%lld taken_ms=%lld path=%s parts=%s "
	      "via=%s",
	      x->call.id, (unsigned long long)x->fingerprint,
	      x->attempt.endpoint->id, why, pimento_verdict_name(verdict),
	      status, x->arrivals, x->ended, x->attempt.load,
	      (long long)((now - x->arrived) / PIMENTO_MSEC), x->attempt.reused,
	      (long long)(x->attempt.rested / PIMENTO_MSEC), x->events.count,
	      begun_ms(x, now), silent_ms(x, now),
	      (long long)((x->end - now) / PIMENTO_MSEC),
	      (long long)(x->attempt.retry_age / PIMENTO_MSEC),
	      endpoint_path_state_name(x->attempt.endpoint->path.state),
	      exchange_parts(x, parts), exchange_via(x, via));
	if (!again) {
		if (x->undecided && !x->silent.attempt.conn)
			hold_failure(x, status, why);
		else
			give_up(x, status, why);
		return;
	}
	dispatch_abandon(x);
	try_again(x);
}

/* No connection was made: another path may do. */
static void unreached(exchange_t *x, const char *why)
{
	x->attempt.unreached = true;
	x->unreached_count++;
	if (x->attempt.conn->via)
		paths_tunnel_failed(x->gateway, x->attempt.conn);
	else
		paths_failed(x->gateway, x->attempt.endpoint,
			     x->attempt.conn->refused);
	dispatch_over(x, PIMENTO_NOT_RUN, 0,
		      x->attempt.conn->via ? "tunnel_refused" : why);
}

/* The endpoint broke an answer off, as a peer says that holds the connection. */
static void learn_break(exchange_t *x, attempt_t *attempt, bool begun)
{
	registry_endpoint_t *endpoint = attempt->endpoint;
	registry_service_t *service =
		registry_get_service(x->gateway->registry, x->service->key);

	if (service)
		latency_add_failure(&endpoint->latency, &service->latency,
				    sys_now());
	if (begun)
		return;
	attempt->finding = LATENCY_OUTCOME_RESET;
	slots_learn(x->gateway->slots, endpoint, attempt->finding,
		    x->gateway->slots->self, sys_now());
}

/* What the end of a connection that carried a request tells of its endpoint. */
static void learn_failure(exchange_t *x, attempt_t *attempt,
			  httpc_failure_t why)
{
	const httpc_t *conn = attempt->conn;

	if (why == HTTPC_TUNNEL_BROKEN)
		peers_avoid_tunnel(x->gateway->roster, conn->via, sys_now());
	else if (attempt->reused && why == HTTPC_BROKEN && !conn->status &&
		 attempt->rested > STALE_LEAST)
		pool_found_stale(attempt->conn, attempt->rested);
	else if (conn->via || why == HTTPC_GARBLED)
		learn_break(x, attempt, conn->status || why == HTTPC_GARBLED);
	else
		paths_broken(x->gateway, attempt->endpoint, conn->status != 0);
	if (why == HTTPC_BROKEN)
		crashes_broken(x, attempt, sys_now());
}

/*
 * What owners learn may give slots to requests that wait. This one is not to
 * get one before the silent attempt is gone.
 */
static void silent_failed(exchange_t *x, httpc_failure_t why)
{
	gateway_t *gateway = x->gateway;
	bool pumping = gateway->pumping;

	gateway->pumping = true;
	placing_leave_lines(x);
	learn_failure(x, &x->silent.attempt, why);
	gateway->pumping = pumping;
	hedge_end(x, httpc_failure_name(why));
}

/* The connection failed, at whatever point. */
static void on_failed(httpc_t *conn, httpc_failure_t why)
{
	exchange_t *x = conn->user;

	if (!x) {
		paths_not_opened(gateway_of(conn), conn);
		return;
	}
	if (hedge_is_silent(x, conn)) {
		silent_failed(x, why);
		return;
	}
	if (why == HTTPC_UNREACHED || x->state == EXCHANGE_CONNECTING) {
		unreached(x, httpc_failure_name(why));
		return;
	}
	learn_failure(x, &x->attempt, why);
	dispatch_over(x, PIMENTO_MAY_HAVE_RUN, 0, httpc_failure_name(why));
}

static void on_lapsed(httpc_t *conn)
{
	registry_endpoint_t *endpoint = conn->owner;

	pool_remove(conn);
	crashes_lapsed(gateway_of(conn), endpoint);
}

/* Silence. */

static bool is_silent_for(const exchange_t *x, pimento_usec_t span,
			  pimento_usec_t now)
{
	if (span < SILENT_LEAST)
		span = SILENT_LEAST;
	return gateway_elapsed(x->gateway, x->attempt.event_at, now) > span;
}

static bool is_silent(const exchange_t *x, pimento_usec_t now)
{
	return is_silent_for(x,
			     x->first_at ? x->route->gap_objective * SILENT_GAPS
					 : x->route->objective * SILENT_GOALS,
			     now);
}

/* True if an endpoint that works would have answered long ago. */
static bool is_overdue(const exchange_t *x, pimento_usec_t now)
{
	const registry_service_t *service =
		registry_get_service(x->gateway->registry, x->service->key);
	double most;

	if (x->engine || x->state != EXCHANGE_SENT || !service)
		return false;
	most = latency_p90_first_event(&x->attempt.endpoint->latency,
				       &service->latency, 0);
	return most > 0 &&
	       (double)gateway_elapsed(x->gateway, x->attempt.sent_at, now) >
		       OVERDUE_TIMES * most;
}

/*
 * An endpoint that drops requests without an answer has free slots all the
 * same. Counted as taken until the timeout, they would keep others from it.
 */
static void count_out(exchange_t *x)
{
	x->attempt.endpoint->running--;
	x->attempt.overdue = true;
	placing_give_back(x, &x->attempt);
}

/* A request that its next host has not acknowledged after this is looked into. */
static void check_path(exchange_t *x, pimento_usec_t now)
{
	if (x->state != EXCHANGE_SENT || x->attempt.acknowledged ||
	    now - x->attempt.ack_checked_at < ACK_TIMEOUT)
		return;
	x->attempt.ack_checked_at = now;
	x->attempt.acknowledged = !httpc_unacknowledged(x->attempt.conn);
	if (x->attempt.acknowledged)
		return;
	if (x->attempt.conn->via)
		peers_avoid_tunnel(x->gateway->roster, x->attempt.conn->via,
				   now);
	else
		endpoint_path_suspect(&x->attempt.endpoint->path, now);
	x->attempt.endpoint->path.wanted_at = now;
}

/*
 * An endpoint from which nothing comes may be slow, or its path is lost, which
 * a request that may not be repeated would find out only at its deadline.
 */
static void check_silence(exchange_t *x, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = x->attempt.endpoint;
	pimento_usec_t span =
		x->first_at ? x->route->gap_objective : x->route->objective;

	if (x->state >= EXCHANGE_SENT && !x->attempt.conn->via &&
	    is_silent_for(x, span, now) &&
	    endpoint_path_allows_new(&endpoint->path) &&
	    endpoint->path.heard_at <= x->attempt.event_at)
		paths_probe(x->gateway, endpoint);
}

/* True if nothing can come any more on the path that the request took. */
static bool is_stranded(const exchange_t *x, pimento_usec_t now)
{
	const endpoint_path_t *path = &x->attempt.endpoint->path;

	return !x->attempt.conn->via && path->state == ENDPOINT_PATH_LOST &&
	       path->heard_at <= path->lost_at &&
	       x->attempt.event_at < path->lost_at &&
	       gateway_elapsed(x->gateway, x->attempt.event_at, now) >
		       STRANDED_AFTER;
}

static pimento_usec_t connect_timeout(const exchange_t *x)
{
	if (x->attempt.conn->via)
		return TUNNEL_TIMEOUT;
	return x->attempt.endpoint->path.state == ENDPOINT_PATH_LOST
		       ? CONNECT_TIMEOUT_LOST
		       : CONNECT_TIMEOUT;
}

/* Nothing came from the endpoint; it may be that nothing comes from others. */
static void try_elsewhere(exchange_t *x, const char *why)
{
	if (!x->attempt.conn->via)
		x->unanswered_at = x->attempt.event_at;
	add_tried(x);
	hedge_begin(x, why);
	try_again(x);
}

/* Looks for another endpoint if nothing comes from this one. */
static bool sweep_silent(exchange_t *x, pimento_usec_t now)
{
	bool stranded = is_stranded(x, now);

	if (sendbuf_waiting(&x->caller->sendbuf))
		return false; /* its reader is slow, not the endpoint */
	if (!stranded && !is_silent(x, now))
		return false;
	if (!may_try_again(x, PIMENTO_MAY_HAVE_RUN))
		return false;
	if (!x->attempt.conn->via &&
	    x->attempt.endpoint->path.heard_at <= x->attempt.event_at)
		endpoint_path_suspect(&x->attempt.endpoint->path, now);
	try_elsewhere(x, stranded ? "path_lost" : "silent");
	return true;
}

bool dispatch_sweep(exchange_t *x, pimento_usec_t now)
{
	if (x->state == EXCHANGE_ADMITTING)
		return false;
	if (x->state == EXCHANGE_WAITING)
		return placing_sweep(x, now);
	if (x->state == EXCHANGE_FAILING) {
		if (trials_holds_failure(x, now))
			return false;
		dispatch_tell_failure(x);
		return true;
	}
	if (x->state == EXCHANGE_CONNECTING &&
	    gateway_elapsed(x->gateway, x->attempt.conn->since, now) >
		    connect_timeout(x)) {
		unreached(x, "connect_timeout");
		return true;
	}
	if (!x->attempt.overdue && is_overdue(x, now))
		count_out(x);
	check_path(x, now);
	check_silence(x, now);
	if (x->state < EXCHANGE_SENT || !hedge_may_begin(x, now))
		return false;
	return sweep_silent(x, now);
}

void dispatch_init(gateway_t *gateway)
{
	gateway->endpoints = (httpc_ops_t){
		.opened = on_opened,
		.head = relay_head,
		.body = relay_body,
		.end = relay_end,
		.failed = on_failed,
		.lapsed = on_lapsed,
	};
	gateway->pool = (pool_t){
		.loop = gateway->loop,
		.ops = &gateway->endpoints,
		.peers = gateway->roster,
		.registry = gateway->registry,
		.datacentre = pimento_id(gateway->datacentre),
	};
}
