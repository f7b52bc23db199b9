#ifndef MIX_H
#define MIX_H

/*
 * Task assignment by size: which of a target's endpoints take long prompts. The
 * others are kept free of them for whatever else is asked, in proportion to the
 * work that each kind brings.
 */

#include "config.h"

#define MIX_TARGETS_MAX 32

typedef struct mix_target {
	pimento_id_t name; /* hash of the target's name; 0 unused */
	double brief[PIMENTO_TIERS_MAX]; /* work of short prompts, decaying */
	double lengthy[PIMENTO_TIERS_MAX];
	pimento_usec_t decayed;
} mix_target_t;

typedef struct mix {
	mix_target_t targets[MIX_TARGETS_MAX];
} mix_t;

void mix_init(mix_t *mix);

/* The slot of a target, NULL when there are too many. */
mix_target_t *mix_target(mix_t *mix, pimento_id_t name);

/* One more request came: work in seconds of an ordinary endpoint. */
void mix_note(mix_target_t *target, pimento_usec_t now, uint8_t tier,
	      double work, bool lengthy);

/* Least urgent tier that long prompts come in, 0 when there are none. */
uint8_t mix_last(const mix_target_t *target);

/*
 * The part of all capacity to be kept free of long prompts, in [0, 1]: that
 * which short prompts need, of the tiers not less urgent than long ones.
 */
double mix_kept(const mix_target_t *target);

#endif
