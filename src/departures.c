#include "departures.h"

/* By then all hosts have the record, or read the store for themselves. */
#define REPORT_SPAN (6 * PIMENTO_SEC)

/* Departures by record, or stated by one process; the newer one replaces. */
static bool is_same(const departure_t *a, const departure_t *b)
{
	return a->endpoint == b->endpoint && a->process == b->process;
}

static bool is_stated(const departure_t *departure)
{
	return !departure->revision;
}

/* The oldest departure of a record; the oldest of all if there is none. */
static departure_t *find_oldest(departures_t *departures)
{
	departure_t *oldest = &departures->list[0];

	for (uint32_t i = 1; i < departures->count; i++) {
		departure_t *d = &departures->list[i];

		if (is_stated(d) != is_stated(oldest) ? is_stated(oldest)
						      : d->at < oldest->at)
			oldest = d;
	}
	return oldest;
}

bool departures_add(departures_t *departures, const departure_t *departure,
		    pimento_usec_t now)
{
	if (!is_stated(departure) && now - departure->at > REPORT_SPAN)
		return false;
	for (uint32_t i = 0; i < departures->count; i++) {
		departure_t *held = &departures->list[i];

		if (!is_same(held, departure))
			continue;
		if (departure->revision <= held->revision)
			return false;
		*held = *departure;
		return true;
	}
	if (departures->count < DEPARTURES_MAX)
		departures->list[departures->count++] = *departure;
	else
		*find_oldest(departures) = *departure;
	return true;
}

const departure_t *departures_find(const departures_t *departures,
				   uint32_t endpoint)
{
	const departure_t *found = NULL;

	for (uint32_t i = 0; i < departures->count; i++)
		if (departures->list[i].endpoint == endpoint &&
		    (!found || found->at <= departures->list[i].at))
			found = &departures->list[i];
	return found;
}

void departures_expire(departures_t *departures,
		       bool (*is_listed)(const void *context,
					 const departure_t *departure),
		       const void *context, pimento_usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < departures->count; i++) {
		const departure_t *d = &departures->list[i];

		if (now - d->at <= REPORT_SPAN ||
		    (is_stated(d) && is_listed(context, d)))
			departures->list[kept++] = *d;
	}
	departures->count = kept;
}

uint32_t departures_report(departures_t *departures, departure_t *list,
			   uint32_t max, pimento_usec_t now)
{
	uint32_t count = departures->count < max ? departures->count : max;

	for (uint32_t i = 0; i < count; i++) {
		list[i] =
			departures
				->list[departures->turn++ % departures->count];
		list[i].at = now - list[i].at;
	}
	return count;
}
