/*
 * An endpoint that is silent may be gone, or may go on the next moment. Ending
 * its attempt before another one delivers would lose an answer that is sound, so
 * the attempt goes on while the request looks for another endpoint. Whichever
 * delivers first is kept; the other one is cancelled. At most two are under way,
 * and both count against the limits of attempts and of retries.
 */

#include "exchange.h"

#include "sys.h"
#include "trail.h"

/* After a search that found nothing, before the next one. */
#define SEARCH_PAUSE (500 * PIMENTO_MSEC)

static void log_hedge(const exchange_t *x, const attempt_t *silent,
		      const char *event, const char *why)
{
	pimento_usec_t now = sys_now();

	trail(TRAIL_FAILURE, "attempt", event,
	      "id=%s endpoint=%s why=%s silent_ms=%lld left_ms=%lld events=%u "
	      "arrivals=%u path=%s",
	      x->call.id, silent->endpoint->id, why,
	      (long long)((now - silent->event_at) / PIMENTO_MSEC),
	      (long long)((x->end - now) / PIMENTO_MSEC), x->events.count,
	      x->arrivals,
	      endpoint_path_state_name(silent->endpoint->path.state));
}

bool hedge_may_begin(const exchange_t *x, pimento_usec_t now)
{
	/* a trial shows what one endpoint does with a prompt */
	return !x->silent.attempt.conn && !trials_is_trial(x) &&
	       now >= x->hedge_at;
}

void hedge_begin(exchange_t *x, const char *why)
{
	x->gateway->counters.hedges++;
	log_hedge(x, &x->attempt, "hedged", why);
	x->silent = (silent_attempt_t){
		.attempt = x->attempt,
		.state = x->state,
		.status = x->status,
		.length = x->length,
		.fields = x->fields,
		.body = x->body,
		.partial = x->events.partial,
		.is_events = x->is_events,
		.resuming = x->resuming,
	};
	strbuf_init(&x->fields);
	strbuf_init(&x->body);
	sse_partial_init(&x->events.partial);
	x->attempt.endpoint = NULL;
	x->attempt.conn = NULL;
	x->attempt.place = (exchange_place_t){ 0 };
	x->attempt.reading = 0;
	x->attempt.overdue = false;
}

bool hedge_is_silent(const exchange_t *x, const httpc_t *conn)
{
	return x->silent.attempt.conn == conn;
}

/* Ends the search for another endpoint, or the attempt there. */
static void end_search(exchange_t *x)
{
	if (x->state == EXCHANGE_WAITING) {
		wait_queue_remove(&x->service->line, &x->wait);
		placing_leave_lines(x);
	}
	dispatch_abandon(x);
}

bool hedge_return(exchange_t *x, const char *why)
{
	silent_attempt_t silent = x->silent;

	if (!silent.attempt.conn)
		return false;
	log_hedge(x, &silent.attempt, "returned", why);
	end_search(x);
	strbuf_finish(&x->fields);
	strbuf_finish(&x->body);
	sse_partial_finish(&x->events.partial);
	x->attempt = silent.attempt;
	x->state = silent.state;
	x->status = silent.status;
	x->length = silent.length;
	x->fields = silent.fields;
	x->body = silent.body;
	x->events.partial = silent.partial;
	x->is_events = silent.is_events;
	x->resuming = silent.resuming;
	x->silent = (silent_attempt_t){ 0 };
	dispatch_return_retry(x);
	x->hedge_at = sys_now() + SEARCH_PAUSE;
	return true;
}

void hedge_drop(exchange_t *x)
{
	silent_attempt_t silent = x->silent;

	if (!silent.attempt.conn)
		return;
	x->silent = (silent_attempt_t){ 0 };
	strbuf_finish(&silent.fields);
	strbuf_finish(&silent.body);
	sse_partial_finish(&silent.partial);
	dispatch_close(x, &silent.attempt);
}

void hedge_end(exchange_t *x, const char *why)
{
	log_hedge(x, &x->silent.attempt, "ended", why);
	hedge_drop(x);
}

void hedge_settle(exchange_t *x)
{
	if (!x->silent.attempt.conn)
		return;
	x->gateway->counters.hedges_won++;
	log_hedge(x, &x->silent.attempt, "replaced", "-");
	hedge_drop(x);
}
