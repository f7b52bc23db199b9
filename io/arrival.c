/*
 * Requests come in and are judged here: route, key, quota, and whether
 * this host may judge at all. A host that has not heard from the platform for
 * longer than a key may live after it was taken away cannot tell a good key
 * from a bad one; it says "not run, come back", which is true, and its health
 * check sends new callers to other hosts.
 */

#include "exchange.h"

#include "fingerprint.h"
#include "overload.h"
#include "return_time.h"
#include "stopping.h"
#include "sys.h"
#include "trail.h"

#include <stdlib.h>

/* A caller told to come back while this host itself is not able. */
#define RETRY_AFTER_SOON (300 * PIMENTO_MSEC)

/* True if keys may be honoured: none that we hold can have been dead long. */
static bool is_fresh(const gateway_t *gateway, pimento_usec_t now)
{
	return replica_age(gateway->replica, now) < gateway->bounds.key_lease;
}

bool gateway_able(const gateway_t *gateway, pimento_usec_t now)
{
	return gateway->catalog && is_fresh(gateway, now);
}

/* Why a request is answered before it becomes an exchange. */
typedef struct judgement {
	int status; /* 0: go on */
	const char *why;
	gateway_outcome_t outcome;
} judgement_t;

/* The body was not read, as the host's link does not bear it in time. */
static const judgement_t link_busy = { HTTP_STATUS_SERVICE_UNAVAILABLE,
				       "host_link", GATEWAY_REFUSED };

static const judgement_t unable = { HTTP_STATUS_SERVICE_UNAVAILABLE,
				    "copy_too_old", GATEWAY_REFUSED };

/* A denial, or "come back" where this host cannot know. */
static judgement_t deny(const gateway_t *gateway, int status, const char *why,
			pimento_usec_t now)
{
	if (!is_fresh(gateway, now))
		return unable;
	return (judgement_t){ status, why, GATEWAY_DENIED };
}

static judgement_t judge_key(const gateway_t *gateway, exchange_t *x,
			     pimento_usec_t now)
{
	const judgement_t good = { 0, "-", GATEWAY_SERVED };

	if (x->call.key)
		x->account = catalog_find_account(x->catalog, x->call.key);
	if (x->route->allows_anonymous || !x->catalog->account_count)
		return good;
	if (!x->account)
		return deny(gateway, HTTP_STATUS_UNAUTHORIZED, "unknown_key",
			    now);
	return is_fresh(gateway, now) ? good : unable;
}

static judgement_t judge(const gateway_t *gateway, exchange_t *x,
			 pimento_usec_t now)
{
	const char *host = head_get(&x->caller->head, "host");

	if (gateway->stopping && now >= gateway->stop_at)
		return (judgement_t){ HTTP_STATUS_SERVICE_UNAVAILABLE,
				      "stopping", GATEWAY_REFUSED };
	if (!x->call.id)
		return (judgement_t){ HTTP_STATUS_BAD_REQUEST, "no_id",
				      GATEWAY_DENIED };
	if (host)
		x->route = catalog_find_route(x->catalog, host,
					      x->caller->target.bytes);
	if (!x->route)
		return deny(gateway, HTTP_STATUS_NOT_FOUND, "no_route", now);
	return judge_key(gateway, x, now);
}

/* Answers a request that is no exchange yet. */
static void turn_away(gateway_t *gateway, httpd_conn_t *caller,
		      const dialect_call_t *call, const judgement_t *judgement)
{
	trail(TRAIL_FAILURE, "request",
	      gateway_outcome_name(judgement->outcome),
	      "id=%s status=%d why=%s config=%llu copy_age_ms=%lld",
	      call->id ? call->id : "-", judgement->status, judgement->why,
	      gateway->catalog ? (unsigned long long)gateway->catalog->version
			       : 0ULL,
	      (long long)(replica_age(gateway->replica, sys_now()) /
			  PIMENTO_MSEC));
	gateway->counters.outcomes[judgement->outcome]++;
	if (judgement->outcome == GATEWAY_REFUSED)
		exchange_retry_after(gateway, caller, judgement->status,
				     RETRY_AFTER_SOON);
	else
		httpd_answer(caller, judgement->status, "", "", 0);
}

/* What the caller has surely spent before, in earlier attempts. */
static pimento_usec_t spent_before(gateway_t *gateway, exchange_t *x)
{
	gateway_route_t *learnt = gateway_route(gateway, x->route->key);
	pimento_usec_t elapsed;

	if (!learnt)
		return 0;
	elapsed = client_timeout_elapsed(&learnt->patience, x->call.patience);
	x->returned = return_time_has_come(x->call.patience,
					   learnt->patience.longest_seen);
	return elapsed;
}

static void set_ends(exchange_t *x)
{
	x->end = x->arrived + x->route->timeout;
	x->end_is_timeout = true;
	if (x->call.patience && x->call.patience < x->route->timeout) {
		x->end = x->arrived + x->call.patience;
		x->end_is_timeout = false;
	}
}

/* Less is more urgent: the account's rank if it has one, then the route's. */
static uint64_t rank_of(const exchange_t *x)
{
	uint64_t first = x->route->priority;

	if (x->account && x->account->has_priority)
		first = x->account->priority;
	return first << 32 | x->route->priority;
}

/* From a free place to the answer, and to its end, at an average endpoint. */
static void set_expected(const exchange_t *x, wait_queue_timing_t *terms)
{
	const registry_service_t *service =
		registry_get_service(x->gateway->registry, x->service->key);
	const latency_model_t average = { 0 };

	if (!service)
		return;
	terms->expected_latency = (pimento_usec_t)latency_expected_first_event(
		&average, &service->latency, x->call.prompt);
	terms->expected_slot_time = terms->expected_latency;
	if (x->engine)
		terms->expected_slot_time +=
			(pimento_usec_t)latency_expected_stream_time(
				&average, &service->latency, x->call.expected);
	else
		terms->expected_latency =
			(pimento_usec_t)latency_p90_first_event(
				&average, &service->latency, x->call.prompt);
}

static void set_wait(exchange_t *x)
{
	wait_queue_timing_t terms = {
		.arrived = x->arrived,
		.spent_before = x->spent,
		.objective = x->route->objective,
		.gap_objective = x->route->gap_objective,
		.deadline = x->end,
	};

	set_expected(x, &terms);
	x->wait.rank = rank_of(x);
	wait_queue_set_times(&x->wait, &terms);
	if (x->returned && x->gateway->bounds.early_rejection)
		overload_set_returned(x, &terms);
}

static void fill(exchange_t *x)
{
	const catalog_service_t *service;
	gateway_t *gateway = x->gateway;
	pimento_id_t key = catalog_select_service(x->route, x->draw);

	service = catalog_find_service(x->catalog, key);
	x->service = gateway_service(gateway, key);
	x->engine = service && service->is_engine;
	x->repeatable =
		x->route->kind == CATALOG_IDEMPOTENT ||
		(x->route->kind == CATALOG_STREAMING && x->route->resumable);
	x->spent = spent_before(gateway, x);
	set_ends(x);
}

static exchange_t *exchange_new(gateway_t *gateway, httpd_conn_t *caller)
{
	exchange_t *x = calloc(1, sizeof(*x));

	if (!x)
		return NULL;
	x->gateway = gateway;
	x->caller = caller;
	x->catalog = catalog_retain(gateway->catalog);
	x->arrived = caller->first_byte;
	x->length = -1;
	x->draw = gateway_draw(gateway);
	strbuf_init(&x->fields);
	strbuf_init(&x->body);
	sse_init(&x->events);
	return x;
}

static void link_in(exchange_t *x)
{
	gateway_t *gateway = x->gateway;

	x->caller->user = x;
	x->next = gateway->exchanges;
	if (x->next)
		x->next->prev = x;
	gateway->exchanges = x;
}

static void drop_new(exchange_t *x)
{
	catalog_release(x->catalog);
	free(x);
}

static void start(exchange_t *x)
{
	fill(x);
	x->fingerprint = fingerprint(x);
	link_in(x);
	if (x->service)
		admission_begin(x);
	else
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, "memory");
}

void arrival_admitted(exchange_t *x)
{
	gateway_t *gateway = x->gateway;
	pimento_usec_t now = sys_now();

	if (trials_check(x, now) == TRIAL_REJECT) {
		exchange_reject(x);
		return;
	}
	retry_budget_add_request(&x->service->budget, &gateway->bounds.retry,
				 now);
	set_wait(x);
	if (stopping_is_too_late(x, now)) {
		stopping_turn_away(x);
		return;
	}
	if (overload_reject(x, now))
		return;
	x->state = EXCHANGE_WAITING;
	wait_queue_push(&x->service->line, &x->wait);
	if (gateway->bounds.early_rejection)
		placing_begin(x);
	else
		placing_pump(gateway, x->service);
}

bool arrival_accepts(httpd_conn_t *caller, uint64_t body_length)
{
	gateway_t *gateway = caller->server->user;
	pimento_usec_t now = sys_now();
	exchange_t x = { .caller = caller, .catalog = gateway->catalog };
	pimento_usec_t left;

	gateway->dialect->read_call(&caller->head, &x.call);
	if (!gateway->catalog || judge(gateway, &x, now).status)
		return false;
	left = x.route->timeout;
	if (x.call.patience && x.call.patience < left)
		left = x.call.patience;
	return host_load_accepts(&caller->server->load, body_length, left, now);
}

void arrival_request(httpd_conn_t *caller)
{
	gateway_t *gateway = caller->server->user;
	pimento_usec_t now = sys_now();
	dialect_call_t call = { 0 };
	judgement_t judgement;
	exchange_t *x;

	gateway->counters.requests++;
	gateway->dialect->read_call(&caller->head, &call);
	if (!gateway->catalog) {
		turn_away(gateway, caller, &call, &unable);
		return;
	}
	x = exchange_new(gateway, caller);
	if (!x) {
		turn_away(gateway, caller, &call, &unable);
		return;
	}
	x->call = call;
	judgement = judge(gateway, x, now);
	if (caller->head_only && !judgement.status)
		judgement = link_busy;
	if (judgement.status) {
		drop_new(x);
		turn_away(gateway, caller, &call, &judgement);
		return;
	}
	start(x);
}

void arrival_gone(httpd_conn_t *caller)
{
	exchange_t *x = caller->user;

	if (!x)
		return;
	x->caller = NULL;
	exchange_finish(x, GATEWAY_LEFT, "caller_left");
}

void arrival_written(httpd_conn_t *caller)
{
	if (caller->user)
		relay_written(caller->user);
}
