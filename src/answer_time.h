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

#endif
