/*
 * Engines know no priorities: they run all admitted requests together and read
 * their prompts in order of arrival. Capacity for urgent requests must therefore
 * be reserved before they arrive. Less urgent tiers get only part of the slots,
 * and their prompts may form only a short queue at the engine, because an urgent
 * request's first token waits for all prompts admitted before it.
 */

#include "endpoint.h"

#include <stdlib.h>
#include <string.h>

/*
 * At an endpoint with two or more slots, one slot in this many, but at least
 * one, is reserved for tier 0.
 */
#define URGENT_RESERVE_DIVISOR 8
/*
 * No slot is reserved for tier 0 if one is expected to become free within this
 * time.
 */
#define URGENT_RESERVE_WAIT_MIN (100 * PIMENTO_MSEC)
/*
 * Requests of tiers other than 0 are granted only while the engine needs at most
 * this long to read the prompts that it has not read yet.
 */
#define PREFILL_QUEUE_MAX (300 * PIMENTO_MSEC)
/*
 * A prompt may use only part of the slack of the answers in progress: their
 * slack must be at least this multiple of the time that the prompt takes.
 */
#define PREFILL_SLACK_FACTOR 2.0
/*
 * An answer takes this much longer if prompts are read in the meantime. If a
 * request were granted with less time left, no prompt could be admitted beside
 * it, and the engine would generate few answers at once, which wastes capacity.
 */
#define BATCHED_DECODE_SLOWDOWN 2.5
/*
 * Factor on a plain service's mean time to an answer, because half of the
 * answers take longer than the mean.
 */
#define SERVICE_TIME_MARGIN 1.25
/*
 * An answer near or beyond its estimated length is assumed to have one tenth of
 * the estimate still to come.
 */
#define REMAINING_TOKENS_DIVISOR 10
/*
 * Time for which grants are suspended when the engine's memory is full: it
 * covers the time until the next progress report on the request is due.
 */
#define MEMORY_FULL_HOLD_TIME (1500 * PIMENTO_MSEC)
/* Estimated time until an answer ends and frees memory of a full engine. */
#define MEMORY_FULL_WAIT (5 * PIMENTO_SEC)
/* The peak of running requests covers the last one to two windows. */
#define PEAK_WINDOW (30 * PIMENTO_SEC)
/* Lifetime of the external load derived from an endpoint's load report. */
#define EXTERNAL_RUNNING_TTL (10 * PIMENTO_SEC)

owner_endpoint_t *endpoint_new(const config_endpoint_t *description,
			       uint64_t epoch, double weight)
{
	owner_endpoint_t *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->config = *description;
	e->epoch = epoch;
	e->weight = weight;
	queue_init(&e->queue);
	limit_init(&e->limit, description->target, description->concurrency);
	return e;
}

void endpoint_free(owner_endpoint_t *e)
{
	queue_finish(&e->queue);
	free(e);
}

bool endpoint_same_target(const owner_endpoint_t *a, const owner_endpoint_t *b)
{
	return a->config.target == b->config.target &&
	       !strcmp(a->config.target_name, b->config.target_name);
}

static uint32_t share_of_slots(const owner_endpoint_t *e)
{
	uint32_t all = limit_get_max_requests(&e->limit);
	uint32_t part = (uint32_t)(all * e->weight);

	return part ? part : 1;
}

static uint32_t current_external_running(const owner_endpoint_t *e,
					 pimento_usec_t now)
{
	return now < e->external_running_until ? e->external_running : 0;
}

/* Estimated time until the first of the slots in use is released. */
static pimento_usec_t next_slot_wait(const owner_endpoint_t *e)
{
	uint32_t mean = (uint32_t)(e->running_tokens / e->running);

	return limit_estimate_answer_span(&e->limit, 0, 0, mean) / e->running;
}

uint32_t endpoint_tier_slots(const owner_endpoint_t *e, pimento_usec_t now,
			     uint8_t tier)
{
	uint32_t slots = share_of_slots(e);
	uint32_t available = limit_get_max_requests(&e->limit);
	uint32_t others = current_external_running(e, now);
	uint32_t reserved;

	available = available > others ? available - others : 0;
	if (slots > available)
		slots = available;
	if (!slots)
		slots = 1;
	if (!tier || slots < 2 || !e->running ||
	    next_slot_wait(e) < URGENT_RESERVE_WAIT_MIN)
		return slots;
	reserved = slots / URGENT_RESERVE_DIVISOR;
	return slots - (reserved ? reserved : 1);
}

static uint64_t request_tokens(const reservation_t *r)
{
	return (uint64_t)r->params.prompt_tokens + r->params.answer_tokens;
}

/*
 * Scales tokens up so that this owner uses only its share of the token limit:
 * in a network partition, each side has an owner for the same endpoint.
 */
static uint64_t scale_by_weight(const owner_endpoint_t *e, uint64_t tokens)
{
	return (uint64_t)((double)tokens / e->weight);
}

limit_load_t endpoint_load(const owner_endpoint_t *e)
{
	limit_load_t load = { e->running,
			      scale_by_weight(e, e->in_flight_tokens) };

	return load;
}

static uint32_t remaining_tokens(const reservation_t *r)
{
	uint32_t least = r->params.answer_tokens / REMAINING_TOKENS_DIVISOR;

	if (r->answer_tokens + least >= r->params.answer_tokens)
		return least;
	return r->params.answer_tokens - r->answer_tokens;
}

/*
 * While an engine reads a long prompt, it generates hardly any tokens, so each
 * prompt that is admitted delays all answers in progress. A steady sequence of
 * prompts would make those answers miss their deadlines. A prompt is admitted
 * only if the slack of each answer of the same or a more urgent tier allows it.
 */
static bool slack_allows_prefill(const owner_endpoint_t *e, pimento_usec_t now,
				 uint8_t tier, pimento_usec_t prefill_span)
{
	for (const reservation_t *r = e->in_flight; r; r = r->older) {
		pimento_usec_t left = r->item.deadline - now;

		if (!r->item.deadline || r->item.tier > tier)
			continue;
		left -= limit_estimate_decode_span(&e->limit,
						   remaining_tokens(r));
		if (left > 0 &&
		    (double)left < (double)prefill_span * PREFILL_SLACK_FACTOR)
			return false;
	}
	return true;
}

static bool prefill_fits(const owner_endpoint_t *e, pimento_usec_t now,
			 const reservation_t *r)
{
	uint32_t prompt = r->params.prompt_tokens;

	if (!r->item.tier || !prompt)
		return true;
	if (limit_estimate_prefill_span(&e->limit, e->prefill_tokens, 0) >
	    PREFILL_QUEUE_MAX)
		return false;
	return slack_allows_prefill(
		e, now, r->item.tier,
		limit_estimate_prefill_span(&e->limit, e->prefill_tokens,
					    prompt));
}

bool endpoint_fits(const owner_endpoint_t *e, pimento_usec_t now,
		   const reservation_t *r)
{
	if (e->leaving || now < e->memory_full_until)
		return false;
	if (e->running >= endpoint_tier_slots(e, now, r->item.tier))
		return false;
	if (r->item.tier && e->running &&
	    !limit_tokens_fit(&e->limit,
			      scale_by_weight(e, e->in_flight_tokens +
							 request_tokens(r))))
		return false;
	return prefill_fits(e, now, r);
}

bool endpoint_speed_measured(const owner_endpoint_t *e)
{
	if (e->config.target == CONFIG_TARGET_SERVICE)
		return e->limit.service_samples > 0;
	return limit_get_decode_rate(&e->limit) > 0;
}

/*
 * A rate that has not been measured counts as zero time. Otherwise, if the
 * initial estimate is too slow for the deadlines of all callers, the endpoint
 * would refuse every request and its actual speed would never be measured.
 */
pimento_usec_t endpoint_service_time(const owner_endpoint_t *e,
				     const message_reserve_t *request)
{
	const limit_t *limit = &e->limit;
	double span = 0;

	if (e->config.target == CONFIG_TARGET_SERVICE)
		return endpoint_speed_measured(e)
			       ? (pimento_usec_t)(SERVICE_TIME_MARGIN *
						  limit_estimate_answer_span(
							  limit, 0, 0, 0))
			       : 0;
	if (limit_get_prefill_rate(limit) > 0)
		span += (double)limit_estimate_prefill_span(
			limit, e->prefill_tokens, request->prompt_tokens);
	if (limit_get_decode_rate(limit) > 0)
		span += (double)limit_estimate_decode_span(
				limit, request->answer_tokens) *
			BATCHED_DECODE_SLOWDOWN;
	return (pimento_usec_t)span;
}

pimento_usec_t endpoint_busy_time(const owner_endpoint_t *e,
				  const message_reserve_t *request)
{
	return limit_work(&e->limit, request->prompt_tokens,
			  request->answer_tokens);
}

pimento_usec_t endpoint_wait_time(const owner_endpoint_t *e, pimento_usec_t now,
				  uint8_t tier)
{
	pimento_usec_t wait = queue_work(&e->queue, tier);

	if (now < e->memory_full_until)
		wait += MEMORY_FULL_WAIT;
	if (tier)
		wait += limit_estimate_prefill_span(&e->limit,
						    e->prefill_tokens, 0);
	if (e->running && e->running >= endpoint_tier_slots(e, now, tier))
		wait += next_slot_wait(e);
	return wait;
}

static void update_peak(owner_endpoint_t *e, pimento_usec_t now)
{
	if (now - e->peak_window_start > PEAK_WINDOW) {
		e->previous_peak = e->peak;
		e->peak = 0;
		e->peak_window_start = now;
	}
	if (e->running > e->peak)
		e->peak = e->running;
}

void endpoint_add_reservation(owner_endpoint_t *e, pimento_usec_t now,
			      reservation_t *r)
{
	r->prefill_ahead = e->prefill_tokens;
	r->granted_at = now;
	r->newer = NULL;
	r->older = e->in_flight;
	if (e->in_flight)
		e->in_flight->newer = r;
	e->in_flight = r;
	e->running++;
	e->running_tokens += r->params.answer_tokens;
	e->in_flight_tokens += request_tokens(r);
	if (!r->has_first_token)
		e->prefill_tokens += r->params.prompt_tokens;
	update_peak(e, now);
}

void endpoint_remove_reservation(owner_endpoint_t *e, reservation_t *r)
{
	endpoint_prefill_done(e, r);
	if (r->older)
		r->older->newer = r->newer;
	if (r->newer)
		r->newer->older = r->older;
	else
		e->in_flight = r->older;
	e->running--;
	e->running_tokens -= remaining_tokens(r);
	e->in_flight_tokens -= request_tokens(r);
}

void endpoint_prefill_done(owner_endpoint_t *e, reservation_t *r)
{
	if (r->has_first_token)
		return;
	r->has_first_token = true;
	e->prefill_tokens -= r->params.prompt_tokens;
}

/*
 * An engine whose memory is full adds no request to its batch; further requests
 * wait inside the engine in order of arrival, regardless of their tier. The sign
 * of this is a request without a first token long after its prompt should have
 * been read. Until its first token, other requests are better served by another
 * endpoint.
 */
void endpoint_check_first_token(owner_endpoint_t *e, pimento_usec_t now,
				const reservation_t *r)
{
	limit_load_t load = endpoint_load(e);

	if (e->config.target != CONFIG_TARGET_MODEL || r->has_first_token)
		return;
	if (limit_check_first_token(&e->limit, now,
				    r->prefill_ahead + r->params.prompt_tokens,
				    now - r->granted_at, &load))
		e->memory_full_until = now + MEMORY_FULL_HOLD_TIME;
}

void endpoint_update_answer_tokens(owner_endpoint_t *e, reservation_t *r,
				   uint32_t answered)
{
	e->running_tokens -= remaining_tokens(r);
	r->answer_tokens = answered;
	e->running_tokens += remaining_tokens(r);
}

void endpoint_apply_load_report(owner_endpoint_t *e, pimento_usec_t now,
				const load_report_t *report)
{
	uint32_t known =
		e->peak > e->previous_peak ? e->peak : e->previous_peak;
	uint32_t seen = report->running + report->waiting;

	e->external_running = seen > known ? seen - known : 0;
	e->external_running_until = now + EXTERNAL_RUNNING_TTL;
}

void endpoint_fill_summary(const owner_endpoint_t *e, pimento_usec_t now,
			   message_summary_t *summary)
{
	memset(summary, 0, sizeof(*summary));
	summary->endpoint = e->config.id;
	summary->epoch = e->epoch;
	summary->running = e->running;
	summary->limit = endpoint_tier_slots(e, now, 0);
	summary->running_tokens = (uint32_t)e->running_tokens;
	summary->token_limit = (uint32_t)e->limit.token_limit;
	for (uint8_t i = 0; i < PIMENTO_TIERS_MAX; i++) {
		summary->waiting[i] = e->queue.tiers[i].count;
		summary->wait_ms[i] = (uint32_t)(endpoint_wait_time(e, now, i) /
						 PIMENTO_MSEC);
	}
	summary->waiting_tokens = e->prefill_tokens;
	summary->prefill_rate = (float)limit_get_prefill_rate(&e->limit);
	summary->decode_rate = (float)limit_get_decode_rate(&e->limit);
	/* a plain service, whose decode_rate is in answers per second */
	if (e->limit.service_mean > 0)
		summary->decode_rate = (float)(1 / e->limit.service_mean);
	summary->leaving = e->leaving;
}
