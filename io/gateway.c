/*
 * Requests come in and are judged here: route, key, allotment, and whether
 * this host may judge at all. A host that has not heard from the platform for
 * longer than a key may live after it was taken away cannot tell a good key
 * from a bad one; it says "not run, come back", which is true, and its health
 * check sends new callers to other hosts.
 */

#include "exchange.h"

#include "sys.h"
#include "trail.h"

#include <stdlib.h>
#include <string.h>

/* Weight of the last second in the rate of answers. */
#define RATE_WEIGHT 0.3
#define TICKS_A_SECOND 20.0

/* Without a limit stated by the operator. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT (4 * 1024 * 1024)
#define HEAD_TIMEOUT_DEFAULT (5 * PIMENTO_SEC)
#define IDLE_TIMEOUT_DEFAULT (60 * PIMENTO_SEC)

/*
 * Callers of one route differ in their patience by about a sixth. Less than
 * this part of the most that was seen shows that some was spent before, in an
 * earlier attempt.
 */
#define PATIENCE_USUAL 0.8

/*
 * A owner's word counts more than the sum of what hosts say of themselves, for
 * as long as the owner's next word may take with a hundred hosts.
 */
#define TOLD_AGE (1500 * PIMENTO_MSEC)

/* A caller told to come back while this host itself is not able. */
#define COME_BACK_SOON (300 * PIMENTO_MSEC)

const char *gateway_outcome_name(gateway_outcome_t outcome)
{
	static const char *const names[GATEWAY_OUTCOMES] = {
		"served", "passed", "refused", "over_allotment",
		"denied", "failed", "cut",     "left",
	};

	return names[outcome];
}

gateway_service_t *gateway_service(gateway_t *gateway, pimento_id_t key)
{
	gateway_service_t **grown;
	gateway_service_t *service;

	for (uint32_t i = 0; i < gateway->service_count; i++)
		if (gateway->services[i]->key == key)
			return gateway->services[i];
	grown = realloc(gateway->services, (gateway->service_count + 1) *
						   sizeof(gateway_service_t *));
	if (!grown)
		return NULL;
	gateway->services = grown;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	service->key = key;
	grown[gateway->service_count++] = service;
	return service;
}

static gateway_route_t *learnt_of(gateway_t *gateway, pimento_id_t key)
{
	gateway_route_t *grown;

	for (uint32_t i = 0; i < gateway->route_count; i++)
		if (gateway->routes[i].key == key)
			return &gateway->routes[i];
	grown = realloc(gateway->routes,
			(gateway->route_count + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	gateway->routes = grown;
	grown += gateway->route_count++;
	*grown = (gateway_route_t){ .key = key };
	return grown;
}

/* splitmix64 */
uint64_t gateway_draw(gateway_t *gateway)
{
	uint64_t z = gateway->draws += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static void histogram_add(gateway_histogram_t *histogram, pimento_usec_t span)
{
	double ms = (double)span / (double)PIMENTO_MSEC;
	double edge = 1;
	uint32_t i = 0;

	while (i < GATEWAY_BUCKETS - 1 && ms > edge) {
		edge *= 2;
		i++;
	}
	histogram->buckets[i]++;
	histogram->count++;
	histogram->sum_ms += ms;
}

/* The end of exchanges. */

static int64_t msec(pimento_usec_t span)
{
	return span / PIMENTO_MSEC;
}

static void log_end(const exchange_t *x, gateway_outcome_t outcome,
		    const char *why, pimento_usec_t now)
{
	bool good = outcome == GATEWAY_SERVED || outcome == GATEWAY_PASSED;

	trail(good ? TRAIL_ROUTINE : TRAIL_FAILURE, "request",
	      gateway_outcome_name(outcome),
	      "id=%s route=%s account=%s status=%d why=%s ms=%lld "
	      "first_ms=%lld waited_ms=%lld left_ms=%lld late=%d attempts=%u "
	      "endpoint=%s load=%u waiting=%u prompt=%u expected=%u events=%u "
	      "pause_ms=%lld "
	      "config=%llu copy_age_ms=%lld",
	      x->call.id, x->route->name, x->account ? x->account->name : "-",
	      x->status, why, (long long)msec(now - x->arrived),
	      x->first_at ? (long long)msec(x->first_at - x->arrived) : -1,
	      x->sent_at ? (long long)msec(x->sent_at - x->arrived) : -1,
	      (long long)msec(x->end - now), x->wait.late, x->arrivals,
	      x->endpoint ? x->endpoint->id : "-", x->load,
	      x->service ? x->service->line.count : 0, x->call.prompt,
	      x->call.expected, x->events.count, (long long)msec(x->pause_most),
	      (unsigned long long)x->catalog->version,
	      (long long)msec(mirror_age(x->gateway->mirror, now)));
}

void exchange_finish(exchange_t *x, gateway_outcome_t outcome, const char *why)
{
	gateway_t *gateway = x->gateway;
	gateway_service_t *service = x->service;
	pimento_usec_t now = sys_now();

	log_end(x, outcome, why, now);
	gateway->counters.outcomes[outcome]++;
	if (x->first_at)
		histogram_add(&gateway->counters.first,
			      x->first_at - x->arrived);
	if (x->sent_at)
		histogram_add(&gateway->counters.waited,
			      x->sent_at - x->arrived);
	if (x->state == EXCHANGE_WAITING && service)
		waitline_remove(&service->line, &x->wait);
	dispatch_abandon(x);
	dispatch_unask(x);
	if (x->caller)
		x->caller->user = NULL;
	if (x->next)
		x->next->prev = x->prev;
	if (x->prev)
		x->prev->next = x->next;
	else
		gateway->exchanges = x->next;
	catalog_release(x->catalog);
	text_finish(&x->fields);
	text_finish(&x->body);
	events_finish(&x->events);
	free(x);
	if (service)
		dispatch_pump(gateway, service);
}

/* A "not run, come back" with the time to stay away. */
static void answer_come_back(gateway_t *gateway, httpd_conn_t *caller,
			     int status, pimento_usec_t wait)
{
	text_t fields;

	text_init(&fields);
	gateway->dialect->write_come_back(&fields, wait);
	httpd_answer(caller, status, text_get(&fields), "", 0);
	text_finish(&fields);
}

/*
 * Takes the caller out of an exchange and ends that. The answer is written
 * afterwards, because the caller's next request may be there already and is
 * then read into the memory that the exchange still refers to.
 */
static httpd_conn_t *part(exchange_t *x, int status, gateway_outcome_t outcome,
			  const char *why)
{
	httpd_conn_t *caller = x->caller;

	x->status = status;
	x->caller = NULL;
	caller->user = NULL;
	exchange_finish(x, outcome, why);
	return caller;
}

void exchange_refuse(exchange_t *x, int status, const char *why)
{
	gateway_t *gateway = x->gateway;
	pimento_usec_t wait = waitline_come_back(
		x->service ? x->service->line.count : 0,
		x->service ? x->service->per_second : 0, gateway_draw(gateway));

	if (x->streaming) {
		exchange_cut(x, why);
		return;
	}
	if (x->account)
		allotment_refund(&gateway->allotment, x->account->key,
				 x->tokens);
	answer_come_back(gateway, part(x, status, GATEWAY_REFUSED, why), status,
			 wait);
}

void exchange_fail(exchange_t *x, int status, const char *why)
{
	if (x->streaming)
		exchange_cut(x, why);
	else
		httpd_answer(part(x, status, GATEWAY_FAILED, why), status, "",
			     "", 0);
}

httpd_conn_t *exchange_served(exchange_t *x)
{
	gateway_outcome_t outcome =
		x->status / 100 == 2 ? GATEWAY_SERVED : GATEWAY_PASSED;

	x->service->answers++;
	return part(x, x->status, outcome, "-");
}

void exchange_cut(exchange_t *x, const char *why)
{
	httpd_abort(part(x, x->status, GATEWAY_CUT, why));
}

/* Arrivals. */

/* True if keys may be honoured: none that we hold can have been dead long. */
static bool is_fresh(const gateway_t *gateway, pimento_usec_t now)
{
	return mirror_age(gateway->mirror, now) < gateway->bounds.key_lease;
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
		x->account = catalog_account(x->catalog, x->call.key);
	if (x->route->open || !x->catalog->account_count)
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
		x->route = catalog_route(x->catalog, host,
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
	      (long long)msec(mirror_age(gateway->mirror, sys_now())));
	gateway->counters.outcomes[judgement->outcome]++;
	if (judgement->outcome == GATEWAY_REFUSED)
		answer_come_back(gateway, caller, judgement->status,
				 COME_BACK_SOON);
	else
		httpd_answer(caller, judgement->status, "", "", 0);
}

/* What the caller has surely spent before, in earlier attempts. */
static pimento_usec_t spent_before(gateway_t *gateway, const exchange_t *x)
{
	gateway_route_t *learnt = learnt_of(gateway, x->route->key);
	pimento_usec_t usual;

	if (!learnt || !x->call.patience)
		return 0;
	if (learnt->patience < x->call.patience)
		learnt->patience = x->call.patience;
	usual = (pimento_usec_t)((double)learnt->patience * PATIENCE_USUAL);
	return usual > x->call.patience ? usual - x->call.patience : 0;
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

	if (x->account && x->account->ranked)
		first = x->account->priority;
	return first << 32 | x->route->priority;
}

static void set_wait(exchange_t *x)
{
	gateway_t *gateway = x->gateway;
	directory_service_t *service =
		directory_service(gateway->directory, x->service->key);
	pace_t average = { 0 };
	waitline_terms_t terms = {
		.arrived = x->arrived,
		.spent = x->spent,
		.goal = x->route->goal,
		.gap_goal = x->route->gap_goal,
		.end = x->end,
	};

	if (service)
		terms.expect = (pimento_usec_t)pace_expect(
			&average, &service->pace, x->call.prompt);
	x->wait.rank = rank_of(x);
	waitline_set_times(&x->wait, &terms);
}

static void fill(exchange_t *x)
{
	const catalog_service_t *service;
	gateway_t *gateway = x->gateway;
	pimento_id_t key = catalog_pick(x->route, x->draw);

	service = catalog_service(x->catalog, key);
	x->service = gateway_service(gateway, key);
	x->engine = service && service->engine;
	x->repeatable =
		x->route->kind == CATALOG_IDEMPOTENT ||
		(x->route->kind == CATALOG_STREAMING && x->route->resumable);
	x->spent = spent_before(gateway, x);
	set_ends(x);
}

static int admit(exchange_t *x, pimento_usec_t now)
{
	allotment_rate_t rate;

	if (!x->account)
		return 0;
	rate.per_second = x->account->tokens_per_second;
	rate.burst = x->account->burst;
	x->tokens = x->call.sized ? x->call.prompt + x->call.answer
				  : x->account->plain_tokens;
	if (x->account->by_request)
		x->tokens = 1;
	return allotment_admit(&x->gateway->allotment, x->account->key, rate,
			       x->tokens, now);
}

static void refuse_over_allotment(exchange_t *x)
{
	const int status = HTTP_STATUS_TOO_MANY_REQUESTS;
	gateway_t *gateway = x->gateway;
	allotment_rate_t rate = { .per_second = x->account->tokens_per_second,
				  .burst = x->account->burst };
	pimento_usec_t wait = allotment_wait(&gateway->allotment,
					     x->account->key, rate, x->tokens);
	httpd_conn_t *caller;

	trail(TRAIL_FAILURE, "allotment", "over",
	      "id=%s account=%s tokens=%.0f rate=%.0f burst=%.0f level=%.0f",
	      x->call.id, x->account->name, x->tokens, rate.per_second,
	      rate.burst,
	      allotment_level(&gateway->allotment, x->account->key));
	x->service = NULL; /* it never waited */
	caller = part(x, status, GATEWAY_OVER_ALLOTMENT, "allotment");
	answer_come_back(gateway, caller, status, wait);
}

static exchange_t *exchange_new(gateway_t *gateway, httpd_conn_t *caller)
{
	exchange_t *x = calloc(1, sizeof(*x));

	if (!x)
		return NULL;
	x->gateway = gateway;
	x->caller = caller;
	x->catalog = catalog_hold(gateway->catalog);
	x->arrived = caller->first_byte;
	x->length = -1;
	x->draw = gateway_draw(gateway);
	text_init(&x->fields);
	text_init(&x->body);
	events_init(&x->events);
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

static void start(exchange_t *x, pimento_usec_t now)
{
	gateway_t *gateway = x->gateway;

	fill(x);
	link_in(x);
	if (!x->service) {
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, "memory");
		return;
	}
	if (admit(x, now)) {
		refuse_over_allotment(x);
		return;
	}
	retry_budget_request(&x->service->budget, &gateway->bounds.retry, now);
	set_wait(x);
	waitline_put(&x->service->line, &x->wait);
	dispatch_pump(gateway, x->service);
}

static void on_request(httpd_conn_t *caller)
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
	if (judgement.status) {
		drop_new(x);
		turn_away(gateway, caller, &call, &judgement);
		return;
	}
	start(x, now);
}

static void on_gone(httpd_conn_t *caller)
{
	exchange_t *x = caller->user;

	if (!x)
		return;
	x->caller = NULL;
	exchange_finish(x, GATEWAY_LEFT, "caller_left");
}

static void on_written(httpd_conn_t *caller)
{
	if (caller->user)
		relay_written(caller->user);
}

/* Time passes. */

/* Past its end: an answer is owed now, whatever happens at the endpoint. */
static void end_overdue(exchange_t *x)
{
	const char *why = x->end_is_timeout ? "route_timeout" : "deadline";

	switch (x->state) {
	case EXCHANGE_WAITING:
	case EXCHANGE_CONNECTING:
		if (x->runs)
			exchange_fail(x, HTTP_STATUS_GATEWAY_TIMEOUT, why);
		else
			exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE,
					why);
		break;
	case EXCHANGE_SENT:
		exchange_fail(x, HTTP_STATUS_GATEWAY_TIMEOUT, why);
		break;
	case EXCHANGE_ANSWERING:
		exchange_cut(x, why);
		break;
	}
}

/* Returns true if something ended, which may have ended others too. */
static bool sweep_one(gateway_t *gateway, pimento_usec_t now)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next) {
		if (now >= x->end) {
			end_overdue(x);
			return true;
		}
		if (dispatch_sweep(x, now))
			return true;
	}
	return false;
}

static void sweep_line(gateway_t *gateway, gateway_service_t *service,
		       pimento_usec_t now)
{
	waitline_item_t *item;

	while ((item = waitline_expired(&service->line, now))) {
		exchange_t *x = (exchange_t *)item;

		if (x->runs)
			exchange_fail(x, HTTP_STATUS_BAD_GATEWAY, "no_place");
		else
			exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE,
					"no_place");
	}
	service->per_second +=
		RATE_WEIGHT / TICKS_A_SECOND *
		(service->answers * TICKS_A_SECOND - service->per_second);
	service->answers = 0;
	dispatch_pump(gateway, service);
}

/* What peers said of their load, added up once a tick. */
static void add_up_peers(gateway_t *gateway, pimento_usec_t now)
{
	for (uint32_t i = 0; i < gateway->directory->count; i++) {
		directory_endpoint_t *e = gateway->directory->endpoints[i];

		roster_load_t load = roster_load(gateway->roster, e->key, now);

		e->elsewhere = load.running;
		if (now - e->told_at < TOLD_AGE)
			e->elsewhere = e->told.running > e->told_own
					       ? e->told.running - e->told_own
					       : 0;
		else
			e->told.waiting = 0;
		e->reading_elsewhere = load.reading;
		pool_sweep(e, now);
	}
}

void gateway_tick(gateway_t *gateway, pimento_usec_t now)
{
	add_up_peers(gateway, now);
	while (sweep_one(gateway, now))
		;
	for (uint32_t i = 0; i < gateway->service_count; i++)
		sweep_line(gateway, gateway->services[i], now);
	httpd_sweep(&gateway->front, now);
}

void gateway_configure(gateway_t *gateway, catalog_t *catalog)
{
	const catalog_limits_t *limits = &catalog->limits;
	httpd_limits_t *front = &gateway->front.limits;

	catalog_release(gateway->catalog);
	gateway->catalog = catalog;
	if (limits->head_bytes_max)
		front->head_bytes = limits->head_bytes_max;
	if (limits->body_bytes_max)
		front->body_bytes = limits->body_bytes_max;
	if (limits->head_timeout)
		front->head_timeout = limits->head_timeout;
	if (limits->idle_timeout)
		front->idle_timeout = limits->idle_timeout;
}

int gateway_init(gateway_t *gateway, const gateway_setup_t *setup)
{
	const httpd_limits_t limits = {
		.head_bytes = HEAD_BYTES_DEFAULT,
		.body_bytes = BODY_BYTES_DEFAULT,
		.head_timeout = HEAD_TIMEOUT_DEFAULT,
		.idle_timeout = IDLE_TIMEOUT_DEFAULT,
		.connections = setup->connections_max,
	};
	int error;

	memset(gateway, 0, sizeof(*gateway));
	gateway->callers = (httpd_ops_t){ .request = on_request,
					  .gone = on_gone,
					  .written = on_written };
	gateway->loop = setup->loop;
	gateway->dialect = setup->dialect;
	gateway->datacentre = setup->datacentre;
	gateway->bounds = setup->bounds;
	gateway->directory = setup->directory;
	gateway->roster = setup->roster;
	gateway->mirror = setup->mirror;
	gateway->slots = setup->slots;
	gateway->draws = sys_random();
	allotment_init(&gateway->allotment, setup->bounds.allotment_window,
		       setup->first_start);
	dispatch_init(gateway);
	error = httpd_init(&gateway->front, setup->loop, &setup->listen,
			   &gateway->callers, &limits);
	gateway->front.user = gateway;
	return error;
}

void gateway_finish(gateway_t *gateway)
{
	httpd_finish(&gateway->front);
	for (uint32_t i = 0; i < gateway->directory->count; i++)
		pool_close(gateway->directory->endpoints[i]);
	for (uint32_t i = 0; i < gateway->service_count; i++)
		free(gateway->services[i]);
	free(gateway->services);
	free(gateway->routes);
	allotment_finish(&gateway->allotment);
	catalog_release(gateway->catalog);
}

void gateway_stop(gateway_t *gateway, pimento_usec_t turn_away_at)
{
	gateway->stopping = true;
	gateway->stop_at = turn_away_at;
	httpd_stop(&gateway->front);
}

uint32_t gateway_pending(const gateway_t *gateway)
{
	return httpd_pending(&gateway->front);
}
