/*
 * Rates are ratios of sums that decay with each sample, so that a long answer
 * counts for more than a short one and an engine which slowed down shows after
 * a few answers. The limit of requests follows additive increase and
 * multiplicative decrease: up while tokens come as fast as with little in
 * flight, down when the gap between them grows beyond a factor.
 */

#include "limit.h"

#include <string.h>

#define DECAY 0.9
#define GAP_KEEP 0.8 /* of the old value in each new sample */
#define GAP_WORSE 4.0 /* times the best gap that is still accepted */
#define GAP_FORGET 1.001 /* the best gap grows by this, to be learnt anew */
#define DECREASE 0.8
#define DECREASE_PAUSE (1 * PIMENTO_SEC)
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

static void decrease(limit_t *limit, pimento_usec_t now)
{
	if (limit->changed && now - limit->changed < DECREASE_PAUSE)
		return;
	limit->changed = now;
	limit->requests *= DECREASE;
	if (limit->requests < 1)
		limit->requests = 1;
}

static void increase(limit_t *limit)
{
	limit->requests += 1 / limit->requests;
	if (limit->requests > limit->requests_max)
		limit->requests = limit->requests_max;
}

void limit_first_token(limit_t *limit, pimento_usec_t now, uint32_t tokens,
		       pimento_usec_t span)
{
	(void)now;
	if (!tokens || span <= 0)
		return;
	limit->prefill_tokens = limit->prefill_tokens * DECAY + tokens;
	limit->prefill_seconds =
		limit->prefill_seconds * DECAY + (double)span / PIMENTO_SEC;
}

static double blend(double old, double sample)
{
	return old > 0 ? old * GAP_KEEP + sample * (1 - GAP_KEEP) : sample;
}

void limit_decoded(limit_t *limit, pimento_usec_t now, uint32_t tokens,
		   pimento_usec_t span, uint32_t running)
{
	double gap;

	if (!tokens || span <= 0)
		return;
	gap = (double)span / PIMENTO_SEC / tokens;
	limit->gap = blend(limit->gap, gap);
	limit->gap_best *= GAP_FORGET;
	if (limit->gap_best <= 0 || gap < limit->gap_best)
		limit->gap_best = gap;
	if (limit->gap > GAP_WORSE * limit->gap_best)
		decrease(limit, now);
	else if (running >= (uint32_t)limit->requests)
		increase(limit);
}

void limit_served(limit_t *limit, pimento_usec_t now, pimento_usec_t span)
{
	double seconds = (double)span / PIMENTO_SEC;

	limit->service = blend(limit->service, seconds);
	limit->gap_best *= GAP_FORGET;
	if (limit->gap_best <= 0 || seconds < limit->gap_best)
		limit->gap_best = seconds;
	if (limit->service > SERVICE_WORSE * limit->gap_best)
		decrease(limit, now);
	else
		increase(limit);
}

void limit_failed(limit_t *limit, pimento_usec_t now)
{
	decrease(limit, now);
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

pimento_usec_t limit_service(const limit_t *limit, uint32_t ahead,
			     uint32_t prompt, uint32_t answer)
{
	double prefill = limit_prefill_rate(limit);
	double decode = limit_decode_rate(limit);
	double seconds;

	if (limit->target == CONFIG_TARGET_SERVICE)
		seconds = limit->service > 0 ? limit->service : GUESS_SERVICE;
	else
		seconds = ((double)ahead + prompt) /
				  (prefill > 0 ? prefill : GUESS_PREFILL) +
			  answer / (decode > 0 ? decode : GUESS_DECODE);
	return (pimento_usec_t)(seconds * PIMENTO_SEC);
}
