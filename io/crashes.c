#include "crashes.h"

#include "exchange.h"
#include "paths.h"
#include "sys.h"
#include "trail.h"

#include <stdlib.h>
#include <string.h>

/* A break that is not explained within this counts against nothing. */
#define DECIDED_WITHIN (3 * PIMENTO_SEC)
/* An endpoint whose new connection is open for so long has not ended. */
#define ALIVE_AFTER (50 * PIMENTO_MSEC)
/* A stream that has gone on for this long did not crash its endpoint by beginning. */
#define BEGUN_SPAN (500 * PIMENTO_MSEC)
#define BEGUN_EVENTS 4
#define CANDIDATES_MAX 256

void crashes_finish(crashes_t *crashes)
{
	while (crashes->count)
		crashes->candidates[--crashes->count].endpoint->refs--;
	free(crashes->candidates);
	crashes->candidates = NULL;
	crashes->size = 0;
}

static crash_candidate_t *add_candidate(crashes_t *crashes)
{
	uint32_t size = crashes->size ? crashes->size * 2 : 16;
	crash_candidate_t *grown;

	if (crashes->count < crashes->size)
		return &crashes->candidates[crashes->count++];
	if (size > CANDIDATES_MAX)
		return NULL;
	grown = realloc(crashes->candidates, size * sizeof(*grown));
	if (!grown)
		return NULL;
	crashes->candidates = grown;
	crashes->size = size;
	return &grown[crashes->count++];
}

bool crashes_has_begun(const exchange_t *x, const attempt_t *attempt,
		       pimento_usec_t now)
{
	return attempt->first_event_at &&
	       attempt->first_event_at >= attempt->sent_at &&
	       now - attempt->first_event_at >= BEGUN_SPAN &&
	       x->events.count - attempt->events_before >= BEGUN_EVENTS;
}

void crashes_broken(exchange_t *x, const attempt_t *attempt, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = attempt->endpoint;
	bool is_current = attempt == &x->attempt; /* a trial is its own */
	crash_candidate_t *candidate;

	candidate = add_candidate(&x->gateway->crashes);
	if (!candidate)
		return;
	*candidate = (crash_candidate_t){
		.endpoint = endpoint,
		.incarnation = attempt->life,
		.process = registry_process_id(endpoint),
		.broke_at = now,
		.request = x,
		.fingerprint = x->fingerprint,
		.begun = crashes_has_begun(x, attempt, now),
		.part_count = x->call.part_count,
	};
	memcpy(candidate->parts, x->call.parts, sizeof(candidate->parts));
	endpoint->refs++;
	x->undecided++;
	x->broke_at = now;
	if (is_current) {
		memcpy(candidate->trials, x->trials, sizeof(x->trials));
		memset(x->trials, 0, sizeof(x->trials));
	}
	if (endpoint->ended_at)
		crashes_ended(x->gateway, endpoint, now);
	else
		paths_verify(x->gateway, endpoint);
}

/*
 * Evidence against the request's parts. A part that is held explains the end;
 * the others, which sound requests may share, are not charged with it.
 */
static void charge_parts(quarantine_t *quarantine,
			 const crash_candidate_t *candidate,
			 const quarantine_end_t *end, pimento_usec_t now)
{
	quarantine_verdict_t verdict = quarantine_judge(
		quarantine, candidate->parts, candidate->part_count, now);

	for (uint32_t i = 0; i < candidate->part_count; i++) {
		const quarantine_record_t *record =
			quarantine_find(quarantine, candidate->parts[i]);

		if (verdict.state != QUARANTINE_HELD ||
		    (record &&
		     quarantine_state(quarantine, record) == QUARANTINE_HELD))
			quarantine_add_end(quarantine, candidate->parts[i], end,
					   now);
	}
}

/*
 * Evidence against the request, wherever its answer was. One that is suspect
 * explains the end, and its parts are not charged with it.
 */
static void charge(gateway_t *gateway, const crash_candidate_t *candidate,
		   pimento_usec_t now)
{
	quarantine_t *quarantines = gateway->trials.quarantines;
	quarantine_t *requests = &quarantines[QUARANTINE_REQUESTS];
	quarantine_t *parts =
		&quarantines[candidate->begun ? QUARANTINE_LATE_PARTS
					      : QUARANTINE_PARTS];
	const quarantine_end_t end = { candidate->process,
				       candidate->broke_at };

	if (!quarantine_is_near(requests, candidate->fingerprint, 0))
		charge_parts(parts, candidate, &end, now);
	quarantine_add_end(requests, candidate->fingerprint, &end, now);
	trials_tell_end(gateway, candidate->fingerprint, now);
}

/* The break is explained, or has stayed unexplained for too long. */
static void drop_candidate(gateway_t *gateway, uint32_t index,
			   pimento_usec_t now)
{
	crashes_t *crashes = &gateway->crashes;
	crash_candidate_t *candidate = &crashes->candidates[index];
	exchange_t *request = candidate->request;

	if (request)
		request->undecided--;
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++)
		trials_release(gateway, (quarantine_kind_t)kind,
			       &candidate->trials[kind], now);
	candidate->endpoint->refs--;
	*candidate = crashes->candidates[--crashes->count];
	if (request && !request->undecided &&
	    request->state == EXCHANGE_FAILING)
		dispatch_tell_failure(request);
}

void crashes_reached(gateway_t *gateway, registry_endpoint_t *endpoint,
		     pimento_usec_t since)
{
	crashes_t *crashes = &gateway->crashes;
	bool earlier = false;

	endpoint->ended_at = 0;
	for (uint32_t i = 0; i < crashes->count; i++) {
		crash_candidate_t *candidate = &crashes->candidates[i];

		if (candidate->endpoint != endpoint || candidate->reached_at)
			continue;
		if (candidate->broke_at <= since)
			candidate->reached_at = sys_now();
		else
			earlier = true;
	}
	if (earlier)
		paths_verify(gateway, endpoint);
}

void crashes_lapsed(gateway_t *gateway, registry_endpoint_t *endpoint)
{
	crashes_t *crashes = &gateway->crashes;
	bool undecided = false;

	for (uint32_t i = 0; i < crashes->count; i++) {
		if (crashes->candidates[i].endpoint != endpoint)
			continue;
		crashes->candidates[i].reached_at = 0;
		undecided = true;
	}
	if (undecided)
		paths_verify(gateway, endpoint);
}

/* The process of this incarnation has ended. */
static void conclude(gateway_t *gateway, const registry_endpoint_t *endpoint,
		     uint32_t incarnation, pimento_usec_t now)
{
	crashes_t *crashes = &gateway->crashes;
	uint32_t requests = 0;
	uint32_t begun = 0;

	for (uint32_t i = crashes->count; i-- > 0;) {
		const crash_candidate_t *candidate = &crashes->candidates[i];

		if (i >= crashes->count)
			continue; /* dropped with another one */
		if (candidate->endpoint != endpoint ||
		    candidate->incarnation != incarnation)
			continue;
		requests++;
		begun += candidate->begun;
		if (candidate->request)
			candidate->request->ended++;
		trail(TRAIL_FAILURE, "endpoint", "ended_under",
		      "endpoint=%s fingerprint=%llx begun=%d", endpoint->id,
		      (unsigned long long)candidate->fingerprint,
		      candidate->begun);
		charge(gateway, candidate, now);
		drop_candidate(gateway, i, now);
	}
	if (!requests)
		return;
	crashes->requests += requests;
	trail(TRAIL_STATE, "endpoint", "ended",
	      "endpoint=%s requests=%u begun=%u", endpoint->id, requests,
	      begun);
}

void crashes_ended(gateway_t *gateway, registry_endpoint_t *endpoint,
		   pimento_usec_t now)
{
	if (!endpoint->ended_at)
		gateway->crashes.ended++;
	endpoint->ended_at = now;
	conclude(gateway, endpoint, endpoint->incarnation, now);
}

uint32_t crashes_count_undecided(const crashes_t *crashes, uint64_t fingerprint)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < crashes->count; i++)
		count += crashes->candidates[i].fingerprint == fingerprint;
	return count;
}

void crashes_forget(exchange_t *x)
{
	crashes_t *crashes = &x->gateway->crashes;

	for (uint32_t i = 0; i < crashes->count; i++)
		if (crashes->candidates[i].request == x)
			crashes->candidates[i].request = NULL;
}

void crashes_tick(gateway_t *gateway, pimento_usec_t now)
{
	crashes_t *crashes = &gateway->crashes;

	for (uint32_t i = crashes->count; i-- > 0;) {
		const crash_candidate_t *candidate;

		if (i >= crashes->count)
			continue; /* dropped with another one */
		candidate = &crashes->candidates[i];
		if (candidate->incarnation != candidate->endpoint->incarnation)
			conclude(gateway, candidate->endpoint,
				 candidate->incarnation, now);
		else if (now - candidate->broke_at > DECIDED_WITHIN ||
			 (candidate->reached_at &&
			  now - candidate->reached_at > ALIVE_AFTER))
			drop_candidate(gateway, i, now);
	}
}
