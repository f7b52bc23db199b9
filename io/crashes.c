#include "crashes.h"

#include "exchange.h"
#include "paths.h"
#include "trail.h"

#include <stdlib.h>
#include <string.h>

/* What is not known after this is not taken for an end of the endpoint. */
#define DECIDED_WITHIN (3 * PIMENTO_SEC)
/* An answer that has gone on for so long does not end its endpoint. */
#define BEGUN_SPAN (500 * PIMENTO_MSEC)
#define BEGUN_EVENTS 4
#define CANDIDATES_MAX 256

static void drop_candidate(crashes_t *crashes, uint32_t index)
{
	crashes->candidates[index].endpoint->refs--;
	crashes->candidates[index] = crashes->candidates[--crashes->count];
}

void crashes_finish(crashes_t *crashes)
{
	while (crashes->count)
		drop_candidate(crashes, 0);
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

static bool has_begun(const exchange_t *x, pimento_usec_t now)
{
	return x->first_event_at && x->first_event_at >= x->sent_at &&
	       now - x->first_event_at >= BEGUN_SPAN &&
	       x->events.count - x->events_before >= BEGUN_EVENTS;
}

void crashes_broken(exchange_t *x, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = x->endpoint;
	crash_candidate_t *candidate;

	if (!x->call.part_count)
		return;
	candidate = add_candidate(&x->gateway->crashes);
	if (!candidate)
		return;
	*candidate = (crash_candidate_t){
		.endpoint = endpoint,
		.incarnation = x->life,
		.broke_at = now,
		.begun = has_begun(x, now),
		.part_count = x->call.part_count,
	};
	memcpy(candidate->parts, x->call.parts, sizeof(candidate->parts));
	endpoint->refs++;
	if (endpoint->ended_at)
		crashes_ended(x->gateway, endpoint, now);
	else
		paths_verify(x->gateway, endpoint);
}

void crashes_reached(gateway_t *gateway, registry_endpoint_t *endpoint,
		     pimento_usec_t since)
{
	crashes_t *crashes = &gateway->crashes;
	bool undecided = false;

	endpoint->ended_at = 0;
	for (uint32_t i = crashes->count; i-- > 0;) {
		if (crashes->candidates[i].endpoint != endpoint)
			continue;
		if (crashes->candidates[i].broke_at <= since)
			drop_candidate(crashes, i);
		else
			undecided = true;
	}
	if (undecided)
		paths_verify(gateway, endpoint);
}

/* The process of this incarnation has ended. */
static void conclude(gateway_t *gateway, const registry_endpoint_t *endpoint,
		     uint32_t incarnation)
{
	crashes_t *crashes = &gateway->crashes;
	uint32_t requests = 0;
	uint32_t begun = 0;

	for (uint32_t i = crashes->count; i-- > 0;) {
		const crash_candidate_t *candidate = &crashes->candidates[i];

		if (candidate->endpoint != endpoint ||
		    candidate->incarnation != incarnation)
			continue;
		requests++;
		begun += candidate->begun;
		drop_candidate(crashes, i);
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
	conclude(gateway, endpoint, endpoint->incarnation);
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
				 candidate->incarnation);
		else if (now - candidate->broke_at > DECIDED_WITHIN)
			drop_candidate(crashes, i);
	}
}
