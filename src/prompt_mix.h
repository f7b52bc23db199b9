#ifndef PROMPT_MIX_H
#define PROMPT_MIX_H

/*
 * Task assignment by size: which of a target's endpoints take long prompts. The
 * others are kept free of them for whatever else is asked, in proportion to the
 * work that each kind brings.
 */

#include "config.h"

#define PROMPT_MIX_TARGETS_MAX 32

typedef struct prompt_mix_target {
	pimento_id_t name; /* hash of the target's name; 0 unused */
	double short_work
		[PIMENTO_TIERS_MAX]; /* work of short prompts, decaying */
	double long_work[PIMENTO_TIERS_MAX];
	pimento_usec_t decayed_at;
} prompt_mix_target_t;

typedef struct prompt_mix {
	prompt_mix_target_t targets[PROMPT_MIX_TARGETS_MAX];
} prompt_mix_t;

void prompt_mix_init(prompt_mix_t *mix);

/* The slot of a target, NULL when there are too many. */
prompt_mix_target_t *prompt_mix_target(prompt_mix_t *mix, pimento_id_t name);

/* One more request came: work in seconds of an ordinary endpoint. */
void prompt_mix_record(prompt_mix_target_t *target, pimento_usec_t now,
		       uint8_t tier, double work, bool is_long);

/* Least urgent tier that long prompts come in, 0 when there are none. */
uint8_t prompt_mix_lowest_long_tier(const prompt_mix_target_t *target);

/*
 * The part of all capacity to be kept free of long prompts, in [0, 1]: that
 * which short prompts need, of the tiers not less urgent than long ones.
 */
double prompt_mix_short_share(const prompt_mix_target_t *target);

#endif
