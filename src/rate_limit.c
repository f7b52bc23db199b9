#include "rate_limit.h"

/*
 * Requests that may begin at once, in seconds of the rate and one more: the
 * owner looks at its queue some times a second.
 */
#define BURST_SPAN 0.25
/* Without any request an endpoint could not say that its limit has ended. */
#define RATE_LEAST 100
/* A limit that stands in rejections alone ends when there are none for so long. */
#define REJECTIONS_SPAN (20 * PIMENTO_SEC)
/* For how long hosts tell each other that a limit has ended. */
#define ENDED_SPAN (60 * PIMENTO_SEC)

bool rate_limit_applies(const rate_limit_t *limit, pimento_usec_t now)
{
	const rate_limit_statement_t *stated = &limit->stated;

	return stated->rate && (stated->sources & RATE_LIMIT_IN_ANSWERS ||
				now - stated->at < REJECTIONS_SPAN);
}

bool rate_limit_is_news(const rate_limit_t *limit, pimento_usec_t now)
{
	return rate_limit_applies(limit, now) ||
	       (limit->stated.at && now - limit->stated.at < ENDED_SPAN);
}

bool rate_limit_merge(rate_limit_t *limit, const rate_limit_statement_t *stated)
{
	bool changed = stated->rate != limit->stated.rate;
	uint32_t sources;

	if (limit->stated.at && stated->at <= limit->stated.at)
		return false;
	if (!limit->stated.rate) {
		limit->tokens = 0;
		limit->filled_at = stated->at;
	}
	sources =
		stated->rate && limit->stated.rate ? limit->stated.sources : 0;
	limit->stated = *stated;
	limit->stated.sources |= sources;
	return changed;
}

bool rate_limit_learn(rate_limit_t *limit, uint32_t rate,
		      enum rate_limit_source source, pimento_usec_t sent_at,
		      pimento_usec_t now)
{
	rate_limit_statement_t stated = { rate, source, now };

	if (rate)
		return rate_limit_merge(limit, &stated);
	/* an answer that was under way when the limit was stated ends nothing */
	if (!limit->stated.rate || !(limit->stated.sources & source) ||
	    sent_at <= limit->stated.at)
		return false;
	return rate_limit_merge(limit, &stated);
}

static void fill(rate_limit_t *limit, double share, pimento_usec_t now)
{
	uint32_t stated = limit->stated.rate > RATE_LEAST ? limit->stated.rate
							  : RATE_LEAST;
	double rate = (double)stated / RATE_LIMIT_UNIT * share;
	double burst = 1 + rate * BURST_SPAN;

	limit->tokens +=
		rate * (double)(now - limit->filled_at) / (double)PIMENTO_SEC;
	if (limit->tokens > burst)
		limit->tokens = burst;
	limit->filled_at = now;
}

bool rate_limit_may_begin(rate_limit_t *limit, double share, pimento_usec_t now)
{
	if (!rate_limit_applies(limit, now))
		return true;
	fill(limit, share, now);
	return limit->tokens >= 1;
}

void rate_limit_record(rate_limit_t *limit, double share, pimento_usec_t now)
{
	if (!rate_limit_applies(limit, now))
		return;
	fill(limit, share, now);
	limit->tokens -= 1;
}

void rate_limit_return(rate_limit_t *limit)
{
	limit->tokens += 1; /* the next fill caps it */
}
