#ifndef ANSWER_TIME_H
#define ANSWER_TIME_H

/*
 * How long the answers of one route take, from the moment when a request is sent
 * until its answer is whole: a moving average and its mean deviation.
 */

#include "../pimentoshelf.h"

typedef struct answer_time {
	double mean_us; /* 0: unknown */
	double deviation_us;
} answer_time_t;

void answer_time_add(answer_time_t *time, pimento_usec_t span);

/* What most answers need at most; 0 if none has been seen. */
pimento_usec_t answer_time_bound(const answer_time_t *time);

/*
 * True if a request can be finished in the time left: it needs a slot for
 * `needed`, and the requests before it need slots for `ahead` in all, which
 * `slots` of them work off side by side. With 0 slots (number unknown) the
 * requests before it are ignored.
 */
bool answer_time_fits(pimento_usec_t needed, pimento_usec_t ahead,
		      uint32_t slots, pimento_usec_t left);

#endif
