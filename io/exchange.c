/*
 * How exchanges end. Whatever became of a request, it ends here exactly once:
 * its line is written, its place and memory are given back, and its caller gets
 * an answer or is cut off.
 */

#include "exchange.h"

#include "overload.h"
#include "sys.h"
#include "trail.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *gateway_outcome_name(gateway_outcome_t outcome)
{
	static const char *const names[GATEWAY_OUTCOMES] = {
		"served", "passed", "refused", "over_quota",  "denied",
		"failed", "cut",    "left",    "quarantined",
	};

	return names[outcome];
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

static int64_t msec(pimento_usec_t span)
{
	return span / PIMENTO_MSEC;
}

const char *exchange_via(const exchange_t *x, char *buf)
{
	const struct in_addr address = { htonl(x->attempt.via) };

	if (!x->attempt.via ||
	    !inet_ntop(AF_INET, &address, buf, INET_ADDRSTRLEN))
		return "-";
	return buf;
}

const char *exchange_parts(const exchange_t *x, char buf[EXCHANGE_PARTS_BYTES])
{
	int length = 0;

	for (uint32_t i = 0; i < x->call.part_count; i++) {
		char part[20];
		int added = snprintf(part, sizeof(part), "%s%llx", i ? "," : "",
				     (unsigned long long)x->call.parts[i]);

		if (length + added >= EXCHANGE_PARTS_BYTES)
			break;
		memcpy(buf + length, part, (size_t)added + 1);
		length += added;
	}
	return length ? buf : "-";
}

static void log_end(const exchange_t *x, gateway_outcome_t outcome,
		    const char *why, pimento_usec_t now)
{
	char via[INET_ADDRSTRLEN];
	bool good = outcome == GATEWAY_SERVED || outcome == GATEWAY_PASSED;

	trail(good ? TRAIL_ROUTINE : TRAIL_FAILURE, "request",
	      gateway_outcome_name(outcome),
	      "id=%s fingerprint=%llx route=%s account=%s status=%d why=%s ms=%lld "
	      "first_ms=%lld waited_ms=%lld left_ms=%lld late=%d attempts=%u "
	      "endpoint=%s via=%s granted=%d load=%u waiting=%u tokens=%.0f prompt=%u expected=%u "
	      "events=%u "
	      "pause_ms=%lld "
	      "config=%llu copy_age_ms=%lld endpoints_age_ms=%lld",
	      x->call.id, (unsigned long long)x->fingerprint, x->route->name,
	      x->account ? x->account->name : "-", x->status, why,
	      (long long)msec(now - x->arrived),
	      x->first_at ? (long long)msec(x->first_at - x->arrived) : -1,
	      x->attempt.sent_at
		      ? (long long)msec(x->attempt.sent_at - x->arrived)
		      : -1,
	      (long long)msec(x->end - now), x->wait.overdue, x->arrivals,
	      x->sent_to[0] ? x->sent_to : "-", exchange_via(x, via),
	      x->attempt.granted, x->attempt.load,
	      x->service ? x->service->line.count : 0, x->tokens,
	      x->call.prompt, x->call.expected, x->events.count,
	      (long long)msec(x->pause_most),
	      (unsigned long long)x->catalog->version,
	      (long long)msec(replica_age(x->gateway->replica, now)),
	      x->attempt.sent_at ? (long long)msec(x->attempt.list_age) : -1);
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
	if (x->attempt.sent_at)
		histogram_add(&gateway->counters.waited,
			      x->attempt.sent_at - x->arrived);
	if (x->state == EXCHANGE_WAITING && service)
		wait_queue_remove(&service->line, &x->wait);
	admission_abandon(x);
	crashes_forget(x);
	trials_forget(x);
	placing_leave_lines(x);
	hedge_drop(x);
	dispatch_abandon(x);
	dispatch_return_retry(x);
	if (x->caller)
		x->caller->user = NULL;
	if (x->next)
		x->next->prev = x->prev;
	if (x->prev)
		x->prev->next = x->next;
	else
		gateway->exchanges = x->next;
	catalog_release(x->catalog);
	strbuf_finish(&x->fields);
	strbuf_finish(&x->body);
	sse_finish(&x->events);
	free(x);
	if (service)
		placing_pump(gateway, service);
}

/* A "not run, come back" with the time to stay away. */
void exchange_retry_after(gateway_t *gateway, httpd_conn_t *caller, int status,
			  pimento_usec_t wait)
{
	strbuf_t fields;

	strbuf_init(&fields);
	gateway->dialect->write_retry_after(&fields, wait);
	httpd_answer(caller, status, strbuf_str(&fields), "", 0);
	strbuf_finish(&fields);
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

/* Why nothing suited: too few endpoints are reached, or all are full. */
static void log_endpoints(const exchange_t *x)
{
	placement_view_t view = placement_view(x->gateway->registry,
					       x->service->key, sys_now());

	trail(TRAIL_FAILURE, "request", "unplaced",
	      "id=%s endpoints=%u ejected=%u full=%u queued_at=%u tried=%u",
	      x->call.id, view.endpoints, view.ejected, view.full,
	      x->line_count, x->tried_count);
}

/*
 * If this host backs off from all endpoints, when the first backoff ends; not
 * beyond the caller's time, as other hosts need not back off.
 */
static pimento_usec_t retry_after(exchange_t *x)
{
	pimento_usec_t now = sys_now();
	pimento_usec_t left = x->call.patience
				      ? x->arrived + x->call.patience - now
				      : x->end - now;
	pimento_usec_t backoff = x->service ? placing_backoff_left(x, now) : 0;

	if (!backoff)
		return overload_retry_after(x);
	if (left < 0)
		left = 0;
	return backoff < left ? backoff : left;
}

void exchange_refuse_after(exchange_t *x, int status, const char *why,
			   pimento_usec_t wait)
{
	gateway_t *gateway = x->gateway;

	if (x->service)
		log_endpoints(x);
	if (x->streaming) {
		exchange_cut(x, why);
		return;
	}
	admission_refund(x);
	exchange_retry_after(gateway, part(x, status, GATEWAY_REFUSED, why),
			     status, wait);
}

void exchange_refuse(exchange_t *x, int status, const char *why)
{
	exchange_refuse_after(x, status, why,
			      x->streaming ? 0 : retry_after(x));
}

void exchange_fail(exchange_t *x, int status, const char *why)
{
	if (x->state == EXCHANGE_WAITING)
		log_endpoints(x);
	if (x->streaming)
		exchange_cut(x, why);
	else
		httpd_answer(part(x, status, GATEWAY_FAILED, why), status, "",
			     "", 0);
}

/*
 * A request that has not run gets an answer after which no client sends it
 * again; one that has run gets no such promise.
 */
void exchange_reject(exchange_t *x)
{
	quarantine_verdict_t verdict = trials_judge(x, sys_now());
	const char *why = "quarantined";
	char text[96];
	int length;

	if (hedge_return(x, why))
		return;
	x->gateway->trials.rejected++;
	trail(TRAIL_FAILURE, "quarantine", "rejected",
	      "id=%s %s=%llx state=%s ended=%u runs=%u trial_in_ms=%lld",
	      x->call.id, quarantine_kind_name(verdict.kind),
	      (unsigned long long)verdict.id,
	      quarantine_state_name(verdict.state), x->ended, x->runs,
	      (long long)msec(verdict.trial_at - sys_now()));
	if (x->runs) {
		exchange_fail(x, HTTP_STATUS_BAD_GATEWAY, why);
		return;
	}
	length = snprintf(
		text, sizeof(text), "Not run: %s %llx crashes endpoints.\n",
		verdict.kind == QUARANTINE_REQUESTS ? "request" : "prompt part",
		(unsigned long long)verdict.id);
	admission_refund(x);
	httpd_answer(part(x, HTTP_STATUS_BAD_REQUEST, GATEWAY_QUARANTINED, why),
		     HTTP_STATUS_BAD_REQUEST, "Content-Type: text/plain\r\n",
		     text, (size_t)length);
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

void exchange_over_quota(exchange_t *x, const quota_decision_t *verdict)
{
	const int status = HTTP_STATUS_TOO_MANY_REQUESTS;
	const struct in_addr judge = { htonl(verdict->deciding_host) };
	pimento_usec_t wait = verdict->retry_after;
	gateway_t *gateway = x->gateway;
	char text[INET_ADDRSTRLEN] = "";
	httpd_conn_t *caller;

	inet_ntop(AF_INET, &judge, text, sizeof(text));
	trail(TRAIL_FAILURE, "quota", "over",
	      "id=%s account=%s tokens=%.0f rate=%.0f burst=%.0f level=%.0f "
	      "judge=%s retry_after_ms=%lld",
	      x->call.id, x->account->name, x->tokens,
	      x->account->tokens_per_second, x->account->burst, verdict->level,
	      verdict->deciding_host ? text : "self_alone",
	      (long long)msec(wait));
	x->service = NULL; /* it never waited */
	caller = part(x, status, GATEWAY_OVER_QUOTA, "quota");
	exchange_retry_after(gateway, caller, status, wait);
}
