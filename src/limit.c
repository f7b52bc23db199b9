/*
 * Rates are ratios of sums that decay with each sample, so that a long answer
 * counts for more than a short one and a slowdown of the engine shows after a
 * few answers. The request limit follows additive increase, multiplicative
 * decrease. The sign of too many requests in flight is a queue inside the
 * endpoint: first tokens come far later than the prompts ahead explain, or the
 * answers of a plain service take far longer than before. The gap between
 * tokens is no such sign, because it grows with every prompt that the engine
 * reads meanwhile.
 */

#include "limit.h"

#include <string.h>

#define RATE_DECAY 0.9
#define GAP_DECAY 0.9 /* weight of the old gap in the moving average */
#define GAP_TOKENS_MIN 8 /* tokens that a sample needs to set the minimum gap */
/* Accepted time to the first token, as a multiple of the expected one. */
#define FIRST_TOKEN_FACTOR_MAX 3.0
/* Seconds: two engine steps that each read a full chunk of a prompt. */
#define FIRST_TOKEN_SLACK_S 0.5
/*
 * Decay of the best prefill rate, token gap and service time with each sample,
 * so that they are learnt anew within minutes. With a faster decay, the speed
 * of an engine that reads prompts without a pause would pass for its best one,
 * and urgent requests would be refused.
 */
#define BEST_DECAY 0.9999
#define REQUESTS_DECREASE 0.8
/*
 * Factor by which the token limit grows, at most once per
 * TOKENS_INCREASE_INTERVAL. Small, as an engine full of tokens costs much.
 */
#define TOKENS_INCREASE 1.01
#define TOKENS_INCREASE_INTERVAL (30 * PIMENTO_SEC)
#define TOKENS_DECREASE 0.85
#define TOKENS_DECREASE_INTERVAL (5 * PIMENTO_SEC)
#define NO_FIRST_TOKEN_SLACK_S 2.0 /* far longer than one engine step */
/* Share of a limit in use from which on the limit counts as reached. */
#define LIMIT_USED_MIN 0.75
#define REQUESTS_DECREASE_INTERVAL (1 * PIMENTO_SEC)
/* Weight of a new service time in the mean; single times scatter widely. */
#define SERVICE_SAMPLE_WEIGHT 0.05
/* Service times measured before their mean is compared with its minimum. */
#define SERVICE_SAMPLES_MIN 40
#define SERVICE_FACTOR_MAX 3.0
/* Tokens per second, assumed until a rate is measured. */
#define DEFAULT_PREFILL_RATE 4000.0
#define DEFAULT_DECODE_RATE 30.0
#define DEFAULT_SERVICE_S 0.05 /* seconds per answer, assumed until measured */

void limit_init(limit_t *limit, config_target_t target, uint32_t concurrency)
{
	memset(limit, 0, sizeof(*limit));
	limit->target = target;
	limit->requests_max = concurrency ? concurrency : 1;
	limit->request_limit = limit->requests_max;
}

void limit_set_concurrency(limit_t *limit, uint32_t concurrency)
{
	limit->requests_max = concurrency ? concurrency : 1;
	if (limit->request_limit > limit->requests_max)
		limit->request_limit = limit->requests_max;
}

/*
 * Lowers the request limit, but only if it was nearly used up: a limit that was
 * not reached cannot have been too high.
 */
static void decrease_request_limit(limit_t *limit, pimento_usec_t now,
				   const limit_load_t *load)
{
	if (limit->requests_decreased_at &&
	    now - limit->requests_decreased_at < REQUESTS_DECREASE_INTERVAL)
		return;
	if (load->requests < limit->request_limit * LIMIT_USED_MIN)
		return;
	limit->requests_decreased_at = now;
	limit->request_limit *= REQUESTS_DECREASE;
	if (limit->request_limit < 1)
		limit->request_limit = 1;
}

static void increase_request_limit(limit_t *limit, const limit_load_t *load)
{
	if (load->requests + 1 >= limit_get_max_requests(limit))
		limit->request_limit += 1 / limit->request_limit;
	if (limit->request_limit > limit->requests_max)
		limit->request_limit = limit->requests_max;
}

static void adapt_request_limit(limit_t *limit, pimento_usec_t now,
				bool overloaded, const limit_load_t *load)
{
	if (overloaded)
		decrease_request_limit(limit, now, load);
	else
		increase_request_limit(limit, load);
}

/*
 * Lowers the token limit after a first token so late that the request cannot
 * have been in the engine's batch.
 */
static void decrease_token_limit(limit_t *limit, pimento_usec_t now,
				 const limit_load_t *load)
{
	if (limit->tokens_changed_at &&
	    now - limit->tokens_changed_at < TOKENS_DECREASE_INTERVAL)
		return;
	limit->tokens_changed_at = now;
	limit->token_limit = (double)load->tokens * TOKENS_DECREASE;
}

bool limit_tokens_fit(const limit_t *limit, uint64_t tokens)
{
	return limit->token_limit <= 0 || (double)tokens <= limit->token_limit;
}

bool limit_check_first_token(limit_t *limit, pimento_usec_t now,
			     uint32_t tokens, pimento_usec_t span,
			     const limit_load_t *load)
{
	double seconds = (double)span / PIMENTO_SEC;

	if (limit->prefill_rate_max <= 0 ||
	    load->requests >= limit->request_limit * LIMIT_USED_MIN)
		return false;
	if (seconds <=
	    NO_FIRST_TOKEN_SLACK_S +
		    tokens / limit->prefill_rate_max * FIRST_TOKEN_FACTOR_MAX)
		return false;
	decrease_token_limit(limit, now, load);
	return true;
}

void limit_observe_first_token(limit_t *limit, pimento_usec_t now,
			       uint32_t tokens, pimento_usec_t span,
			       const limit_load_t *load)
{
	double seconds = (double)span / PIMENTO_SEC;
	double expected;

	if (!tokens || span <= 0)
		return;
	limit->prefill_tokens = limit->prefill_tokens * RATE_DECAY + tokens;
	limit->prefill_seconds = limit->prefill_seconds * RATE_DECAY + seconds;
	limit->prefill_rate_max *= BEST_DECAY;
	if (limit->prefill_rate_max < limit_get_prefill_rate(limit))
		limit->prefill_rate_max = limit_get_prefill_rate(limit);
	expected = tokens / limit->prefill_rate_max;
	adapt_request_limit(limit, now,
			    seconds > FIRST_TOKEN_SLACK_S +
					      expected * FIRST_TOKEN_FACTOR_MAX,
			    load);
	if (limit_check_first_token(limit, now, tokens, span, load))
		return;
	if ((double)load->tokens >= limit->token_limit * LIMIT_USED_MIN &&
	    now - limit->tokens_changed_at >= TOKENS_INCREASE_INTERVAL) {
		limit->tokens_changed_at = now;
		limit->token_limit *= TOKENS_INCREASE;
	}
}

void limit_observe_decode(limit_t *limit, uint32_t tokens, pimento_usec_t span)
{
	double gap;

	if (!tokens || span <= 0)
		return;
	gap = (double)span / PIMENTO_SEC / tokens;
	limit->token_gap_min /= BEST_DECAY;
	if (tokens >= GAP_TOKENS_MIN &&
	    (limit->token_gap_min <= 0 || gap < limit->token_gap_min))
		limit->token_gap_min = gap;
	if (limit->token_gap > 0)
		gap = limit->token_gap * GAP_DECAY + gap * (1 - GAP_DECAY);
	limit->token_gap = gap;
}

void limit_observe_service(limit_t *limit, pimento_usec_t now,
			   pimento_usec_t span, const limit_load_t *load)
{
	double seconds = (double)span / PIMENTO_SEC;
	double weight = limit->service_samples < SERVICE_SAMPLES_MIN / 2
				? 1.0 / (limit->service_samples + 1)
				: SERVICE_SAMPLE_WEIGHT;

	limit->service_samples++;
	limit->service_mean += (seconds - limit->service_mean) * weight;
	if (limit->service_samples < SERVICE_SAMPLES_MIN)
		return;
	limit->service_min /= BEST_DECAY;
	if (limit->service_min <= 0 || limit->service_mean < limit->service_min)
		limit->service_min = limit->service_mean;
	adapt_request_limit(limit, now,
			    limit->service_mean >
				    SERVICE_FACTOR_MAX * limit->service_min,
			    load);
}

void limit_observe_failure(limit_t *limit, pimento_usec_t now)
{
	limit_load_t full_load = { limit->requests_max, 0 };

	decrease_request_limit(limit, now, &full_load);
}

double limit_get_prefill_rate(const limit_t *limit)
{
	if (limit->prefill_seconds <= 0)
		return 0;
	return limit->prefill_tokens / limit->prefill_seconds;
}

double limit_get_decode_rate(const limit_t *limit)
{
	return limit->token_gap > 0 ? 1 / limit->token_gap : 0;
}

uint32_t limit_get_max_requests(const limit_t *limit)
{
	return limit->request_limit < 1 ? 1 : (uint32_t)limit->request_limit;
}

static double prefill_span_seconds(const limit_t *limit, uint32_t ahead,
				   uint32_t prompt)
{
	double rate = limit_get_prefill_rate(limit);

	return ((double)ahead + prompt) /
	       (rate > 0 ? rate : DEFAULT_PREFILL_RATE);
}

pimento_usec_t limit_estimate_prefill_span(const limit_t *limit, uint32_t ahead,
					   uint32_t prompt)
{
	return (pimento_usec_t)(prefill_span_seconds(limit, ahead, prompt) *
				PIMENTO_SEC);
}

pimento_usec_t limit_estimate_decode_span(const limit_t *limit, uint32_t answer)
{
	double gap = limit->token_gap_min > 0 ? limit->token_gap_min
					      : 1 / DEFAULT_DECODE_RATE;

	return (pimento_usec_t)(answer * gap * PIMENTO_SEC);
}

static pimento_usec_t mean_service_span(const limit_t *limit)
{
	double seconds = limit->service_mean > 0 ? limit->service_mean
						 : DEFAULT_SERVICE_S;

	return (pimento_usec_t)(seconds * PIMENTO_SEC);
}

pimento_usec_t limit_estimate_answer_span(const limit_t *limit, uint32_t ahead,
					  uint32_t prompt, uint32_t answer)
{
	if (limit->target == CONFIG_TARGET_SERVICE)
		return mean_service_span(limit);
	return limit_estimate_prefill_span(limit, ahead, prompt) +
	       limit_estimate_decode_span(limit, answer);
}

pimento_usec_t limit_work(const limit_t *limit, uint32_t prompt,
			  uint32_t answer)
{
	uint32_t slots = limit_get_max_requests(limit);

	if (limit->target == CONFIG_TARGET_SERVICE)
		return mean_service_span(limit) / slots;
	return limit_estimate_prefill_span(limit, 0, prompt) +
	       limit_estimate_decode_span(limit, answer) / slots;
}
