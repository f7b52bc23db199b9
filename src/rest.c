#include "rest.h"

bool rest_state(rest_t *rest, pimento_usec_t span, uint32_t via,
		pimento_usec_t now)
{
	if (span > REST_MAX)
		span = REST_MAX;
	if (now + span <= rest->until)
		return false;
	rest->until = now + span;
	rest->stated_at = now;
	rest->via = via;
	rest->on_trial = true;
	return true;
}

bool rest_is_asked(const rest_t *rest, pimento_usec_t now)
{
	return now < rest->until;
}

bool rest_blocks(const rest_t *rest, pimento_usec_t now)
{
	return rest_is_asked(rest, now) ||
	       (rest->on_trial && rest->trial_under_way);
}

bool rest_begin(rest_t *rest)
{
	if (!rest->on_trial)
		return false;
	rest->trial_under_way = true;
	return true;
}

void rest_end_trial(rest_t *rest)
{
	rest->trial_under_way = false;
}

void rest_trial_succeeded(rest_t *rest)
{
	rest->on_trial = false;
}
