#ifndef LOAD_TALLY_H
#define LOAD_TALLY_H

/* What became of the requests of a load, by kind, and the endpoints' side. */

#include "load_mix.h"

#include <pthread.h>
#include <stdio.h>

typedef enum load_outcome {
	LOAD_IN_TIME = 0,
	LOAD_LATE, /* whole, but after the caller's patience */
	LOAD_NOT_RUN, /* refused with this verdict */
	LOAD_MAY_HAVE_RUN,
	LOAD_RAN, /* failed with this verdict */
	LOAD_NOT_WHOLE, /* 200, but not the whole right answer */
	LOAD_NO_ANSWER, /* broken off, or an error without a verdict */
	LOAD_OUTCOMES
} load_outcome_t;

typedef struct load_series {
	int64_t *values; /* microseconds */
	size_t count;
	size_t capacity;
} load_series_t;

typedef struct load_row {
	uint64_t sent;
	uint64_t outcomes[LOAD_OUTCOMES];
	load_series_t first; /* to the first byte of an answer */
	load_series_t total; /* to its last */
} load_row_t;

typedef struct load_tally {
	pthread_mutex_t mutex;
	load_row_t rows[LOAD_KINDS_MAX];
	uint64_t ran_twice; /* a key that was seen to run again */
} load_tally_t;

void load_tally_init(load_tally_t *tally);
void load_tally_finish(load_tally_t *tally);

void load_tally_sent(load_tally_t *tally, uint32_t kind);
void load_tally_add(load_tally_t *tally, uint32_t kind, load_outcome_t outcome,
		    int64_t first_us, int64_t total_us);
void load_tally_twice(load_tally_t *tally);

/* Sums over all kinds. */
uint64_t load_tally_sum(load_tally_t *tally, load_outcome_t outcome);
uint64_t load_tally_sum_sent(load_tally_t *tally);

/* A line per contract, then one per tier. */
void load_tally_print(load_tally_t *tally, const load_mix_t *mix, FILE *out);

/* Median and 99th percentile of all kinds together, in microseconds. */
typedef struct load_latency {
	size_t count;
	int64_t first_p50;
	int64_t first_p99;
	int64_t total_p50;
	int64_t total_p99;
} load_latency_t;

load_latency_t load_tally_latency(load_tally_t *tally);

#endif
