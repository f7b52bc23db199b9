/*
 * While an engine reads a long prompt, it answers no other request quickly, and
 * the prompt cannot be interrupted without losing the work done on it. If long
 * prompts could go to any endpoint, then at moderate load most engines would be
 * reading one at any time, and urgent requests would find no quick endpoint
 * however many slots were free. So long prompts get endpoints of their own. The
 * work of both kinds is measured, so that neither group of endpoints is idle
 * while the other is busy.
 */

#include "prompt_mix.h"

#include <math.h>
#include <string.h>

#define HALF_LIFE (60 * PIMENTO_SEC)
#define DECAY_INTERVAL (200 * PIMENTO_MSEC)
/*
 * Share of the work of all long prompts. A tier with less long-prompt work
 * counts as one without long prompts. If short prompts bring less work than
 * this share, no endpoint is kept free for them.
 */
#define WORK_SHARE_MIN 0.01

void prompt_mix_init(prompt_mix_t *mix)
{
	memset(mix, 0, sizeof(*mix));
}

prompt_mix_target_t *prompt_mix_find_or_add_target(prompt_mix_t *mix,
						   pimento_id_t name)
{
	for (int i = 0; i < PROMPT_MIX_TARGETS_MAX; i++) {
		if (!mix->targets[i].name)
			mix->targets[i].name = name;
		if (mix->targets[i].name == name)
			return &mix->targets[i];
	}
	return NULL;
}

static void decay_work(prompt_mix_target_t *t, pimento_usec_t now)
{
	pimento_usec_t span = now - t->decayed_at;
	double keep;

	if (span < DECAY_INTERVAL)
		return;
	keep = exp2(-(double)span / HALF_LIFE);
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		t->short_work[i] *= keep;
		t->long_work[i] *= keep;
	}
	t->decayed_at = now;
}

void prompt_mix_record(prompt_mix_target_t *t, pimento_usec_t now, uint8_t tier,
		       double work, bool is_long)
{
	decay_work(t, now);
	if (is_long)
		t->long_work[tier] += work;
	else
		t->short_work[tier] += work;
}

static double sum_work(const double *work, int count)
{
	double all = 0;

	for (int i = 0; i < count; i++)
		all += work[i];
	return all;
}

uint8_t prompt_mix_last_tier_with_long_prompts(const prompt_mix_target_t *t)
{
	double least =
		WORK_SHARE_MIN * sum_work(t->long_work, PIMENTO_TIERS_MAX);
	uint8_t last = 0;

	for (uint8_t i = 0; i < PIMENTO_TIERS_MAX; i++)
		if (t->long_work[i] > least)
			last = i;
	return last;
}

double prompt_mix_short_share(const prompt_mix_target_t *t)
{
	double long_work = sum_work(t->long_work, PIMENTO_TIERS_MAX);
	double short_work = sum_work(
		t->short_work, prompt_mix_last_tier_with_long_prompts(t) + 1);

	if (long_work <= 0 || short_work <= WORK_SHARE_MIN * long_work)
		return 0;
	return short_work / (short_work + long_work);
}
