#include "return_time.h"

/* Clients honour Retry-After up to this part of the time that they have left. */
#define LIMIT_RATIO (1.0 / 3)
/* Below the limit, as the answer takes time on its way. */
#define LIMIT_MARGIN (10 * PIMENTO_MSEC)
/* Part of the limit over which late turns are spread. */
#define LATE_SPREAD 0.25
/* Shorter times are of no use: a new connection takes as long. */
#define TURN_MIN (100 * PIMENTO_MSEC)
static double to_seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

static pimento_usec_t at_least(pimento_usec_t span, pimento_usec_t least)
{
	return span < least ? least : span;
}

pimento_usec_t return_time_limit(pimento_usec_t time_left)
{
	pimento_usec_t limit =
		(pimento_usec_t)((double)time_left * LIMIT_RATIO);

	return at_least(limit - LIMIT_MARGIN, TURN_MIN);
}

static uint32_t step_at(pimento_usec_t wait)
{
	pimento_usec_t step = wait / DEMAND_STEP;

	return step < DEMAND_STEPS ? (uint32_t)step : DEMAND_STEPS - 1;
}

static pimento_usec_t draw(pimento_random_t *random, pimento_usec_t least,
			   pimento_usec_t most)
{
	double span = (double)(most - least);

	return least + (pimento_usec_t)(span * pimento_random_unit(random));
}

/* Slot time a second that is left over, whoever arrives. */
static double spare_rate(const demand_t *demand)
{
	double rate = demand->beginning;

	for (uint32_t i = 0; i < demand->band_count; i++)
		rate -= demand->bands[i].arriving;
	return rate;
}

/*
 * The first step by whose end there is room after all that waits and is due;
 * DEMAND_STEPS if there is none.
 */
static uint32_t first_step_with_room(const demand_t *demand, double slot_time)
{
	double rate = spare_rate(demand);
	double taken = slot_time;
	uint32_t step = 0;

	for (uint32_t i = 0; i < demand->band_count; i++)
		taken += demand->bands[i].waiting;
	for (; step < DEMAND_STEPS; step++) {
		taken += demand->due[step];
		if (taken <= rate * (step + 1) * to_seconds(DEMAND_STEP))
			break;
	}
	return step;
}

/* Of two moments that with fewer others due. */
static pimento_usec_t late_turn(const demand_t *demand, pimento_usec_t limit,
				pimento_random_t *random)
{
	pimento_usec_t least =
		(pimento_usec_t)((double)limit * (1 - LATE_SPREAD));
	pimento_usec_t a = draw(random, least, limit);
	pimento_usec_t b = draw(random, least, limit);

	return demand->due[step_at(a)] <= demand->due[step_at(b)] ? a : b;
}

pimento_usec_t return_time_promise(demand_meter_t *meter,
				   const return_request_t *request,
				   uint32_t hosts, pimento_random_t *random,
				   pimento_usec_t now)
{
	pimento_usec_t limit = return_time_limit(request->time_left);
	double slot_time = to_seconds(request->slot_time);
	const demand_t *demand;
	pimento_usec_t wait;
	uint32_t step;

	demand_advance(meter, now);
	demand = demand_current(meter, hosts, now);
	step = first_step_with_room(demand, slot_time);
	if (step < DEMAND_STEPS && (step + 1) * DEMAND_STEP <= limit)
		wait = at_least(draw(random, step * DEMAND_STEP,
				     (step + 1) * DEMAND_STEP),
				TURN_MIN);
	else
		wait = late_turn(demand, limit, random);
	demand_add_due(meter, step_at(wait), request->slot_time);
	return wait;
}

bool return_time_has_come(pimento_usec_t time_left, pimento_usec_t longest)
{
	pimento_usec_t stayed = longest - time_left;

	return time_left && (double)stayed >= (double)longest * LIMIT_RATIO *
						      (1 - LATE_SPREAD);
}

bool return_time_fits(const demand_meter_t *meter, uint64_t rank,
		      uint32_t hosts, pimento_usec_t now)
{
	const demand_t *demand = demand_current(meter, hosts, now);
	double room = demand->beginning;

	for (uint32_t i = 0; i < demand->band_count; i++)
		if (demand->bands[i].rank <= rank)
			room -= demand->bands[i].arriving;
	return demand->due[0] + demand->due[1] <=
	       room * 2 * to_seconds(DEMAND_STEP);
}
