/*
 * An engine that reads a long prompt answers nobody quickly meanwhile, and
 * cannot be told to stop without throwing the reading away. If long prompts
 * may go anywhere, then at moderate load most engines are reading one at any
 * time, and urgent requests find no quick endpoint however many slots are
 * free. With endpoints of their own they share the others' time with nobody.
 * The work of both kinds is measured, so that neither side idles.
 */

#include "mix.h"

#include <math.h>
#include <string.h>

#define HALF_LIFE (60 * PIMENTO_SEC)
#define DECAY_STEP (200 * PIMENTO_MSEC)
#define LITTLE 0.01 /* a part of work that is not worth an endpoint */

void mix_init(mix_t *mix)
{
	memset(mix, 0, sizeof(*mix));
}

mix_target_t *mix_target(mix_t *mix, pimento_id_t name)
{
	for (int i = 0; i < MIX_TARGETS_MAX; i++) {
		if (!mix->targets[i].name)
			mix->targets[i].name = name;
		if (mix->targets[i].name == name)
			return &mix->targets[i];
	}
	return NULL;
}

static void decay(mix_target_t *t, pimento_usec_t now)
{
	pimento_usec_t span = now - t->decayed;
	double keep;

	if (span < DECAY_STEP)
		return;
	keep = exp2(-(double)span / HALF_LIFE);
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		t->brief[i] *= keep;
		t->lengthy[i] *= keep;
	}
	t->decayed = now;
}

void mix_note(mix_target_t *t, pimento_usec_t now, uint8_t tier, double work,
	      bool lengthy)
{
	decay(t, now);
	if (lengthy)
		t->lengthy[tier] += work;
	else
		t->brief[tier] += work;
}

static double sum(const double *work, int count)
{
	double all = 0;

	for (int i = 0; i < count; i++)
		all += work[i];
	return all;
}

uint8_t mix_last(const mix_target_t *t)
{
	double least = LITTLE * sum(t->lengthy, PIMENTO_TIERS_MAX);
	uint8_t last = 0;

	for (uint8_t i = 0; i < PIMENTO_TIERS_MAX; i++)
		if (t->lengthy[i] > least)
			last = i;
	return last;
}

double mix_kept(const mix_target_t *t)
{
	double lengthy = sum(t->lengthy, PIMENTO_TIERS_MAX);
	double brief = sum(t->brief, mix_last(t) + 1);

	if (lengthy <= 0 || brief <= LITTLE * lengthy)
		return 0;
	return brief / (brief + lengthy);
}
