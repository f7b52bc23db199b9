#ifndef PROMPT_MIX_H
#define PROMPT_MIX_H

/*
 * Task assignment by size: decides which share of a target's endpoints is kept
 * free of long prompts, in proportion to the work that short and long prompts
 * bring. Long prompts are sent to the other endpoints while one of these is
 * usable.
 */

#include "config.h"

#define PROMPT_MIX_TARGETS_MAX 32

typedef struct prompt_mix_target {
	/* hash of the target's name; 0: the entry is unused */
	pimento_id_t name;
	/* seconds of work of requests with short prompts, by tier, decaying */
	double short_work[PIMENTO_TIERS_MAX];
	/* seconds of work of requests with long prompts, by tier, decaying */
	double long_work[PIMENTO_TIERS_MAX];
	pimento_usec_t decayed_at;
} prompt_mix_target_t;

typedef struct prompt_mix {
	prompt_mix_target_t targets[PROMPT_MIX_TARGETS_MAX];
} prompt_mix_t;

void prompt_mix_init(prompt_mix_t *mix);

/*
 * Returns the entry of a target, added if it is new; NULL if the table is full.
 */
prompt_mix_target_t *prompt_mix_find_or_add_target(prompt_mix_t *mix,
						   pimento_id_t name);

/*
 * Records a new request. The parameter work is in seconds of a typical
 * endpoint's time.
 */
void prompt_mix_record(prompt_mix_target_t *target, pimento_usec_t now,
		       uint8_t tier, double work, bool is_long);

/*
 * Returns the least urgent tier with a noticeable share of the long prompts, 0
 * if no tier has any.
 */
uint8_t
prompt_mix_last_tier_with_long_prompts(const prompt_mix_target_t *target);

/*
 * Share of the total capacity to keep free of long prompts, in [0, 1]: the
 * share that short prompts need, in the tiers at least as urgent as the least
 * urgent one with long prompts.
 */
double prompt_mix_short_share(const prompt_mix_target_t *target);

#endif
