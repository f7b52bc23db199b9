#include "answer_time.h"

#include <math.h>

/* Weights of a new answer, as TCP's estimate of the round trip has them. */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 2

void answer_time_add(answer_time_t *time, pimento_usec_t span)
{
	double error = (double)span - time->mean_us;

	if (time->mean_us <= 0) {
		time->mean_us = (double)span;
		return;
	}
	time->deviation_us +=
		DEVIATION_WEIGHT * (fabs(error) - time->deviation_us);
	time->mean_us += MEAN_WEIGHT * error;
}

pimento_usec_t answer_time_bound(const answer_time_t *time)
{
	return (pimento_usec_t)(time->mean_us +
				DEVIATIONS * time->deviation_us);
}

bool answer_time_fits(pimento_usec_t needed, pimento_usec_t ahead,
		      uint32_t slots, pimento_usec_t left)
{
	return needed + (slots ? ahead / slots : 0) <= left;
}
