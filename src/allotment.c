/*
 * The limit over a window is rate * window + burst. Notes of peers are 100 ms
 * old or more, so a sudden surge that comes in at all hosts at once can pass
 * the limit by what arrives within that time; the operator's tolerance (a
 * quarter of the limit) holds several times as much. Refusing earlier would
 * turn away what an account is owed.
 */

#include "allotment.h"

#include <stdlib.h>

void allotment_init(allotment_t *allotment, pimento_usec_t window)
{
	*allotment = (allotment_t){ .window = window };
}

void allotment_finish(allotment_t *allotment)
{
	free(allotment->uses);
}

allotment_use_t *allotment_use(allotment_t *allotment, pimento_id_t account)
{
	allotment_use_t *grown;

	for (uint32_t i = 0; i < allotment->count; i++)
		if (allotment->uses[i].account == account)
			return &allotment->uses[i];
	grown = realloc(allotment->uses,
			(allotment->count + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	allotment->uses = grown;
	grown += allotment->count++;
	*grown = (allotment_use_t){ .account = account };
	return grown;
}

/* Empties the parts that the window has moved past. */
static void advance(const allotment_t *allotment, allotment_use_t *use,
		    pimento_usec_t now)
{
	int64_t part = now / (allotment->window / ALLOTMENT_PARTS);
	int64_t steps = part - use->part;

	if (steps > ALLOTMENT_PARTS)
		steps = ALLOTMENT_PARTS;
	for (int64_t i = 0; i < steps; i++)
		use->parts[(part - i) % ALLOTMENT_PARTS] = 0;
	use->part = part;
}

double allotment_own(const allotment_t *allotment, allotment_use_t *use,
		     pimento_usec_t now)
{
	double sum = 0;

	advance(allotment, use, now);
	for (uint32_t i = 0; i < ALLOTMENT_PARTS; i++)
		sum += use->parts[i];
	return sum;
}

static double limit(const allotment_t *allotment, allotment_rate_t rate)
{
	return rate.per_second * (double)allotment->window /
		       (double)PIMENTO_SEC +
	       rate.burst;
}

int allotment_admit(allotment_t *allotment, pimento_id_t account,
		    allotment_rate_t rate, double tokens, pimento_usec_t now)
{
	allotment_use_t *use = allotment_use(allotment, account);
	double used;

	if (!use)
		return PIMENTO_ENOMEM;
	used = allotment_own(allotment, use, now) + use->elsewhere;
	if (rate.per_second > 0 && used + tokens > limit(allotment, rate))
		return PIMENTO_EFULL;
	use->parts[use->part % ALLOTMENT_PARTS] += tokens;
	return 0;
}

void allotment_refund(allotment_t *allotment, pimento_id_t account,
		      double tokens, pimento_usec_t now)
{
	allotment_use_t *use = allotment_use(allotment, account);
	double *part;

	if (!use)
		return;
	advance(allotment, use, now);
	part = &use->parts[use->part % ALLOTMENT_PARTS];
	*part = *part > tokens ? *part - tokens : 0;
}

pimento_usec_t allotment_wait(const allotment_t *allotment,
			      allotment_rate_t rate, double tokens)
{
	pimento_usec_t part = allotment->window / ALLOTMENT_PARTS;
	double seconds = tokens / (rate.per_second > 0 ? rate.per_second : 1);
	pimento_usec_t wait = (pimento_usec_t)(seconds * (double)PIMENTO_SEC);

	if (wait < part)
		return part;
	return wait < allotment->window ? wait : allotment->window;
}
