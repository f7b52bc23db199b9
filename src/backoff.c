#include "backoff.h"

bool backoff_extend(backoff_t *backoff, pimento_usec_t span, uint32_t via,
		    pimento_usec_t now)
{
	if (span > BACKOFF_SPAN_MAX)
		span = BACKOFF_SPAN_MAX;
	if (now + span <= backoff->until)
		return false;
	backoff->until = now + span;
	backoff->stated_at = now;
	backoff->via = via;
	backoff->half_open = true;
	return true;
}

bool backoff_is_active(const backoff_t *backoff, pimento_usec_t now)
{
	return now < backoff->until;
}

bool backoff_blocks(const backoff_t *backoff, pimento_usec_t now)
{
	return backoff_is_active(backoff, now) ||
	       (backoff->half_open && backoff->probe_in_flight);
}

bool backoff_begin_request(backoff_t *backoff)
{
	if (!backoff->half_open)
		return false;
	backoff->probe_in_flight = true;
	return true;
}

void backoff_end_probe(backoff_t *backoff)
{
	backoff->probe_in_flight = false;
}

void backoff_clear(backoff_t *backoff)
{
	backoff->half_open = false;
}
