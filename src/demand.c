/*
 * The expected wait is that of a fluid: what waits and goes first is served at
 * the rate at which requests begin, less the rate at which more urgent ones
 * arrive.
 */

#include "demand.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constant of the measured rates. */
#define RATE_SPAN (500 * PIMENTO_MSEC)
/* Between two reports of a host: at least this, and this for each host. */
#define REPORT_INTERVAL_MIN (100 * PIMENTO_MSEC)
#define REPORT_INTERVAL_PER_HOST (1 * PIMENTO_MSEC)
/* Sums and parts are used for this many intervals: datagrams are lost. */
#define REPORT_INTERVALS_VALID 4
/*
 * Part of a request's slack that its expected wait may take. The rest is for
 * what arrives meanwhile and for endpoints that turn slow.
 */
#define SLACK_RATIO 0.4
/* Slot times beyond this many times the mean of their rank are not told apart. */
#define LONG_RATIO 3.0
/* Slot times that demand_band_t.shorter tells apart, in multiples of the mean. */
static const double edges[DEMAND_EDGES] = { 0.5, 1, 2 };
/* Waits beyond this many seconds count as endless. */
#define WAIT_MAX 1e6
/* Rates below this, in slot time a second, tell nothing. */
#define RATE_MIN 1e-6
/* Requests a second below which a rank is forgotten: ranks come and go. */
#define ARRIVALS_MIN 0.01

static double to_seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

/* Finds or adds the band of a rank, in order of urgency; none before from. */
static uint32_t band_from(demand_t *demand, demand_band_t *beside,
			  uint64_t rank, uint32_t from)
{
	uint32_t i = from;

	while (i < demand->band_count && demand->bands[i].rank < rank)
		i++;
	if (i < demand->band_count && demand->bands[i].rank == rank)
		return i;
	if (demand->band_count == DEMAND_BANDS_MAX)
		return i < DEMAND_BANDS_MAX ? i : DEMAND_BANDS_MAX - 1;
	for (uint32_t k = demand->band_count; k > i; k--) {
		demand->bands[k] = demand->bands[k - 1];
		if (beside)
			beside[k] = beside[k - 1];
	}
	demand->bands[i] = (demand_band_t){ .rank = rank };
	if (beside)
		beside[i] = (demand_band_t){ .rank = rank };
	demand->band_count++;
	return i;
}

static uint32_t band_of(demand_meter_t *meter, uint64_t rank)
{
	return band_from(&meter->own, meter->arrived, rank, 0);
}

/* The slot time in multiples of the mean of the rank. */
static double mean_ratio(const demand_band_t *band, pimento_usec_t slot_time)
{
	if (band->arriving <= 0)
		return 1;
	return to_seconds(slot_time) * band->arrivals / band->arriving;
}

void demand_add_arrival(demand_meter_t *meter, uint64_t rank,
			pimento_usec_t slot_time)
{
	uint32_t i = band_of(meter, rank);
	demand_band_t *arrived = &meter->arrived[i];
	double ratio = mean_ratio(&meter->own.bands[i], slot_time);

	arrived->arriving += to_seconds(slot_time);
	arrived->arrivals++;
	for (int k = 0; k < DEMAND_EDGES; k++)
		if (ratio < edges[k])
			arrived->shorter[k] += to_seconds(slot_time);
}

void demand_add_begun(demand_meter_t *meter, pimento_usec_t slot_time)
{
	meter->begun += to_seconds(slot_time);
}

void demand_clear_waiting(demand_meter_t *meter)
{
	for (uint32_t i = 0; i < meter->own.band_count; i++)
		meter->own.bands[i].waiting = 0;
}

void demand_add_waiting(demand_meter_t *meter, uint64_t rank,
			pimento_usec_t slot_time)
{
	uint32_t band = band_of(meter, rank);

	meter->own.bands[band].waiting += to_seconds(slot_time);
}

static void approach(double *rate, double measured, double weight)
{
	*rate += weight * (measured - *rate);
}

static void drop_idle_bands(demand_meter_t *meter)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < meter->own.band_count; i++) {
		const demand_band_t *band = &meter->own.bands[i];

		if (band->waiting <= 0 && band->arrivals < ARRIVALS_MIN)
			continue;
		meter->arrived[kept] = (demand_band_t){ .rank = band->rank };
		meter->own.bands[kept++] = *band;
	}
	meter->own.band_count = kept;
}

void demand_measure(demand_meter_t *meter, pimento_usec_t now)
{
	double seconds = to_seconds(now - meter->measured_at);
	double weight = 1 - exp(-seconds / to_seconds(RATE_SPAN));

	if (seconds <= 0)
		return;
	demand_advance(meter, now);
	meter->measured_at = now;
	meter->own.hosts = 1;
	approach(&meter->own.beginning, meter->begun / seconds, weight);
	meter->begun = 0;
	for (uint32_t i = 0; i < meter->own.band_count; i++) {
		demand_band_t *band = &meter->own.bands[i];
		const demand_band_t *arrived = &meter->arrived[i];

		approach(&band->arriving, arrived->arriving / seconds, weight);
		approach(&band->arrivals, arrived->arrivals / seconds, weight);
		for (int k = 0; k < DEMAND_EDGES; k++)
			approach(&band->shorter[k],
				 arrived->shorter[k] / seconds, weight);
	}
	drop_idle_bands(meter);
}

static double total_waiting(const demand_t *demand)
{
	double sum = 0;

	for (uint32_t i = 0; i < demand->band_count; i++)
		sum += demand->bands[i].waiting;
	return sum;
}

static pimento_usec_t report_interval(uint32_t hosts)
{
	return REPORT_INTERVAL_MIN + hosts * REPORT_INTERVAL_PER_HOST;
}

/* True if the keeper's last sum is recent enough to go by. */
static bool is_current(const demand_meter_t *meter, uint32_t hosts,
		       pimento_usec_t now)
{
	return meter->sum_at &&
	       now - meter->sum_at <
		       REPORT_INTERVALS_VALID * report_interval(hosts);
}

bool demand_report_is_due(demand_meter_t *meter, uint32_t hosts,
			  pimento_usec_t now)
{
	bool scarce = total_waiting(&meter->own) > 0 ||
		      (is_current(meter, hosts, now) &&
		       total_waiting(&meter->sum) > 0);

	if (!scarce || now - meter->reported_at < report_interval(hosts))
		return false;
	meter->reported_at = now;
	return true;
}

const demand_t *demand_current(const demand_meter_t *meter, uint32_t hosts,
			       pimento_usec_t now)
{
	return is_current(meter, hosts, now) ? &meter->sum : &meter->own;
}

static void drop_steps(double *due, uint64_t passed)
{
	uint32_t steps =
		passed < DEMAND_STEPS ? (uint32_t)passed : DEMAND_STEPS;

	memmove(due, due + steps, (DEMAND_STEPS - steps) * sizeof(*due));
	for (uint32_t i = DEMAND_STEPS - steps; i < DEMAND_STEPS; i++)
		due[i] = 0;
}

void demand_advance(demand_meter_t *meter, pimento_usec_t now)
{
	uint64_t passed = (uint64_t)((now - meter->due_from) / DEMAND_STEP);

	drop_steps(meter->own.due, passed);
	drop_steps(meter->sum.due, passed);
	meter->due_from += (pimento_usec_t)passed * DEMAND_STEP;
}

void demand_add_due(demand_meter_t *meter, uint32_t step,
		    pimento_usec_t slot_time)
{
	meter->own.due[step] += to_seconds(slot_time);
	meter->sum.due[step] += to_seconds(slot_time) * meter->sum.hosts;
}

void demand_set_sum(demand_meter_t *meter, const demand_t *sum,
		    pimento_usec_t now)
{
	demand_advance(meter, now);
	meter->sum = *sum;
	meter->sum_at = now;
}

/*
 * Share of a rank's arriving slot time that requests take which are shorter
 * than the given one. Very long requests count as long ones: they wait no
 * longer than those.
 */
static double shorter_share(const demand_band_t *band, pimento_usec_t slot_time)
{
	double ratio = mean_ratio(band, slot_time);
	double edge = 0;
	double share = 0;

	if (band->arriving <= 0)
		return 1;
	for (int i = 0; i < DEMAND_EDGES; i++) {
		double next = fmin(band->shorter[i] / band->arriving, 1);

		if (ratio < edges[i])
			return share + (next - share) * (ratio - edge) /
					       (edges[i] - edge);
		edge = edges[i];
		share = next;
	}
	return share +
	       (1 - share) * fmin((ratio - edge) / (LONG_RATIO - edge), 1);
}

pimento_usec_t demand_expected_wait(const demand_meter_t *meter,
				    const demand_request_t *request,
				    uint32_t hosts, pimento_usec_t now)
{
	const demand_t *demand = demand_current(meter, hosts, now);
	double rate = demand->beginning;
	double ahead = 0;

	for (uint32_t i = 0; i < demand->band_count; i++) {
		const demand_band_t *band = &demand->bands[i];

		double share = 1;

		if (band->rank > request->rank)
			break;
		if (band->rank == request->rank)
			share = shorter_share(band, request->slot_time);
		ahead += share * band->waiting;
		rate -= share * band->arriving;
	}
	if (ahead <= 0 && total_waiting(demand) <= 0)
		return 0; /* nothing waits: the rates are no bound */
	if (rate < RATE_MIN || ahead / rate > WAIT_MAX)
		return PIMENTO_NEVER;
	return (pimento_usec_t)(ahead / rate * (double)PIMENTO_SEC);
}

bool demand_exceeds(const demand_meter_t *meter,
		    const demand_request_t *request, uint32_t hosts,
		    pimento_usec_t now)
{
	pimento_usec_t wait = demand_expected_wait(meter, request, hosts, now);

	return (double)wait > SLACK_RATIO * (double)request->slack;
}

/* The keeper. */

void demand_keeper_init(demand_keeper_t *keeper, uint32_t service)
{
	*keeper = (demand_keeper_t){ .service = service };
}

void demand_keeper_finish(demand_keeper_t *keeper)
{
	free(keeper->parts);
}

static demand_part_t *find_or_add_part(demand_keeper_t *keeper,
				       uint32_t address)
{
	uint32_t size = keeper->size ? keeper->size * 2 : 16;
	demand_part_t *grown;

	for (uint32_t i = 0; i < keeper->count; i++)
		if (keeper->parts[i].address == address)
			return &keeper->parts[i];
	if (keeper->count == keeper->size) {
		grown = realloc(keeper->parts, size * sizeof(*grown));
		if (!grown)
			return NULL;
		keeper->parts = grown;
		keeper->size = size;
	}
	grown = &keeper->parts[keeper->count++];
	*grown = (demand_part_t){ .address = address };
	return grown;
}

int demand_keeper_receive(demand_keeper_t *keeper,
			  const demand_report_t *report, pimento_usec_t now)
{
	demand_part_t *part = find_or_add_part(keeper, report->address);

	if (!part)
		return PIMENTO_ENOMEM;
	part->demand = report->demand;
	part->received_at = now;
	return 0;
}

static void add_due(double *sum, const double *due, uint64_t passed)
{
	for (uint64_t i = passed; i < DEMAND_STEPS; i++)
		sum[i - passed] += due[i];
}

static void add_part(demand_t *sum, const demand_t *part)
{
	uint32_t band = 0;

	sum->beginning += part->beginning;
	sum->hosts++;
	for (uint32_t i = 0; i < part->band_count; i++) {
		band = band_from(sum, NULL, part->bands[i].rank, band);
		sum->bands[band].waiting += part->bands[i].waiting;
		sum->bands[band].arriving += part->bands[i].arriving;
		sum->bands[band].arrivals += part->bands[i].arrivals;
		for (int k = 0; k < DEMAND_EDGES; k++)
			sum->bands[band].shorter[k] +=
				part->bands[i].shorter[k];
	}
}

void demand_keeper_add_up(demand_keeper_t *keeper, uint32_t hosts,
			  pimento_usec_t now, demand_t *sum)
{
	pimento_usec_t age_max =
		REPORT_INTERVALS_VALID * report_interval(hosts);

	*sum = (demand_t){ 0 };
	for (uint32_t i = keeper->count; i-- > 0;) {
		const demand_part_t *part = &keeper->parts[i];
		pimento_usec_t age = now - part->received_at;

		if (age > age_max) {
			keeper->parts[i] = keeper->parts[--keeper->count];
			continue;
		}
		add_part(sum, &part->demand);
		add_due(sum->due, part->demand.due,
			(uint64_t)(age / DEMAND_STEP));
	}
}
