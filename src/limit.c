/*
 * Rates are ratios of sums that decay with each sample, so that a long answer
 * counts for more than a short one and an engine which slowed down shows after
 * a few answers. The limit of requests follows additive increase and
 * multiplicative decrease. What shows that too much is in flight is a line
 * inside the endpoint: first tokens come far later than the prompts in front
 * explain, or a plain service's answers take far longer than they did. The gap
 * between tokens is no such sign, for it grows with every prompt that the
 * engine reads meanwhile.
 */

#include "limit.h"

#include <string.h>

#define DECAY 0.9
#define GAP_KEEP 0.9 /* of the old value in each new sample */
#define GAP_ENOUGH 8 /* tokens that make a sample */
#define FIRST_WORSE 3.0 /* times the expected span that is still accepted */
#define FIRST_SLACK 0.5 /* seconds: a step that reads a full chunk, twice */
/*
 * The best decays by this with each sample, to be learnt anew in minutes: were
 * it forgotten while prompts are read without a pause, the pace of an engine
 * that reads would pass for its best, and urgent requests would be refused.
 */
#define BEST_FORGET 0.9999
#define DECREASE 0.8
#define TOKENS_INCREASE 1.01 /* once in each pause: being full costs much */
#define TOKENS_PAUSE (30 * PIMENTO_SEC)
#define TOKENS_DECREASE 0.85
#define FULL_PAUSE (5 * PIMENTO_SEC)
#define FULL_SLACK 2.0 /* seconds: far more than a step */
#define USED 0.75 /* of a limit, that makes it the one that was met */
#define DECREASE_PAUSE (1 * PIMENTO_SEC)
#define SERVICE_NEW 0.05 /* of each new sample: single spans scatter widely */
#define SERVICE_ENOUGH 40 /* samples before the mean is worth comparing */
#define SERVICE_WORSE 3.0
#define GUESS_PREFILL 4000.0 /* tokens a second, until learnt */
#define GUESS_DECODE 30.0
#define GUESS_SERVICE 0.05 /* seconds */

void limit_init(limit_t *limit, config_target_t target, uint32_t concurrency)
{
	memset(limit, 0, sizeof(*limit));
	limit->target = target;
	limit->requests_max = concurrency ? concurrency : 1;
	limit->requests = limit->requests_max;
}

void limit_cap(limit_t *limit, uint32_t concurrency)
{
	limit->requests_max = concurrency ? concurrency : 1;
	if (limit->requests > limit->requests_max)
		limit->requests = limit->requests_max;
}

/* Only a limit that was used up can have been too high. */
static void decrease(limit_t *limit, pimento_usec_t now,
		     const limit_load_t *load)
{
	if (limit->changed && now - limit->changed < DECREASE_PAUSE)
		return;
	if (load->requests < limit->requests * USED)
		return;
	limit->changed = now;
	limit->requests *= DECREASE;
	if (limit->requests < 1)
		limit->requests = 1;
}

static void increase(limit_t *limit, const limit_load_t *load)
{
	if (load->requests + 1 >= limit_requests(limit))
		limit->requests += 1 / limit->requests;
	if (limit->requests > limit->requests_max)
		limit->requests = limit->requests_max;
}

static void adapt(limit_t *limit, pimento_usec_t now, bool worse,
		  const limit_load_t *load)
{
	if (worse)
		decrease(limit, now, load);
	else
		increase(limit, load);
}

/* A first token came so late that the request had no place in the batch. */
static void decrease_tokens(limit_t *limit, pimento_usec_t now,
			    const limit_load_t *load)
{
	if (limit->full && now - limit->full < FULL_PAUSE)
		return;
	limit->full = now;
	limit->tokens = (double)load->tokens * TOKENS_DECREASE;
}

bool limit_tokens_fit(const limit_t *limit, uint64_t tokens)
{
	return limit->tokens <= 0 || (double)tokens <= limit->tokens;
}

bool limit_silent(limit_t *limit, pimento_usec_t now, uint32_t tokens,
		  pimento_usec_t span, const limit_load_t *load)
{
	double seconds = (double)span / PIMENTO_SEC;

	if (limit->prefill_best <= 0 ||
	    load->requests >= limit->requests * USED)
		return false;
	if (seconds <= FULL_SLACK + tokens / limit->prefill_best * FIRST_WORSE)
		return false;
	decrease_tokens(limit, now, load);
	return true;
}

void limit_first_token(limit_t *limit, pimento_usec_t now, uint32_t tokens,
		       pimento_usec_t span, const limit_load_t *load)
{
	double seconds = (double)span / PIMENTO_SEC;
	double expected;

	if (!tokens || span <= 0)
		return;
	limit->prefill_tokens = limit->prefill_tokens * DECAY + tokens;
	limit->prefill_seconds = limit->prefill_seconds * DECAY + seconds;
	limit->prefill_best *= BEST_FORGET;
	if (limit->prefill_best < limit_prefill_rate(limit))
		limit->prefill_best = limit_prefill_rate(limit);
	expected = tokens / limit->prefill_best;
	adapt(limit, now, seconds > FIRST_SLACK + expected * FIRST_WORSE, load);
	if (limit_silent(limit, now, tokens, span, load))
		return;
	if ((double)load->tokens >= limit->tokens * USED &&
	    now - limit->full >= TOKENS_PAUSE) {
		limit->full = now;
		limit->tokens *= TOKENS_INCREASE;
	}
}

void limit_decoded(limit_t *limit, uint32_t tokens, pimento_usec_t span)
{
	double gap;

	if (!tokens || span <= 0)
		return;
	gap = (double)span / PIMENTO_SEC / tokens;
	limit->gap_best /= BEST_FORGET;
	if (tokens >= GAP_ENOUGH &&
	    (limit->gap_best <= 0 || gap < limit->gap_best))
		limit->gap_best = gap;
	if (limit->gap > 0)
		gap = limit->gap * GAP_KEEP + gap * (1 - GAP_KEEP);
	limit->gap = gap;
}

void limit_served(limit_t *limit, pimento_usec_t now, pimento_usec_t span,
		  const limit_load_t *load)
{
	double seconds = (double)span / PIMENTO_SEC;
	double part = limit->served < SERVICE_ENOUGH / 2
			      ? 1.0 / (limit->served + 1)
			      : SERVICE_NEW;

	limit->served++;
	limit->service += (seconds - limit->service) * part;
	if (limit->served < SERVICE_ENOUGH)
		return;
	limit->service_best /= BEST_FORGET;
	if (limit->service_best <= 0 || limit->service < limit->service_best)
		limit->service_best = limit->service;
	adapt(limit, now, limit->service > SERVICE_WORSE * limit->service_best,
	      load);
}

void limit_failed(limit_t *limit, pimento_usec_t now)
{
	limit_load_t all = { limit->requests_max, 0 };

	decrease(limit, now, &all);
}

double limit_prefill_rate(const limit_t *limit)
{
	if (limit->prefill_seconds <= 0)
		return 0;
	return limit->prefill_tokens / limit->prefill_seconds;
}

double limit_decode_rate(const limit_t *limit)
{
	return limit->gap > 0 ? 1 / limit->gap : 0;
}

uint32_t limit_requests(const limit_t *limit)
{
	return limit->requests < 1 ? 1 : (uint32_t)limit->requests;
}

static double reading(const limit_t *limit, uint32_t ahead, uint32_t prompt)
{
	double rate = limit_prefill_rate(limit);

	return ((double)ahead + prompt) / (rate > 0 ? rate : GUESS_PREFILL);
}

pimento_usec_t limit_reading(const limit_t *limit, uint32_t ahead,
			     uint32_t prompt)
{
	return (pimento_usec_t)(reading(limit, ahead, prompt) * PIMENTO_SEC);
}

pimento_usec_t limit_making(const limit_t *limit, uint32_t answer)
{
	double gap = limit->gap_best > 0 ? limit->gap_best : 1 / GUESS_DECODE;

	return (pimento_usec_t)(answer * gap * PIMENTO_SEC);
}

static pimento_usec_t served_span(const limit_t *limit)
{
	double seconds = limit->service > 0 ? limit->service : GUESS_SERVICE;

	return (pimento_usec_t)(seconds * PIMENTO_SEC);
}

pimento_usec_t limit_service(const limit_t *limit, uint32_t ahead,
			     uint32_t prompt, uint32_t answer)
{
	if (limit->target == CONFIG_TARGET_SERVICE)
		return served_span(limit);
	return limit_reading(limit, ahead, prompt) +
	       limit_making(limit, answer);
}

pimento_usec_t limit_work(const limit_t *limit, uint32_t prompt,
			  uint32_t answer)
{
	uint32_t slots = limit_requests(limit);

	if (limit->target == CONFIG_TARGET_SERVICE)
		return served_span(limit) / slots;
	return limit_reading(limit, 0, prompt) +
	       limit_making(limit, answer) / slots;
}
