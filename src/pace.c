/*
 * Streams give many samples of the pause between events, and that pause grows
 * with an endpoint's slowness and nothing else that one can choose; so it is
 * the measure by which endpoints of a service are compared. The span to the
 * first event is fitted as a line in the prompt's length for the service as a
 * whole, scaled by each endpoint's slowness: one endpoint alone sees too few
 * long prompts to tell its own line.
 */

#include "pace.h"

#include <math.h>

/* Weight of a new sample: events come by the hundred, answers one by one. */
#define GAP_WEIGHT 0.02
#define SERVICE_GAP_WEIGHT 0.002
/* The same for the mean of a stream of some ten events. */
#define GAP_MEAN_WEIGHT 0.15
#define SERVICE_GAP_MEAN_WEIGHT 0.02
#define FIRST_WEIGHT 0.1
#define FAILING_WEIGHT 0.08
#define SERVICE_FAILING_WEIGHT 0.02
#define LINE_DECAY 0.995
#define FIRST_ERROR_WEIGHT 0.05
/* Mean errors above the mean, below which nine spans in ten lie. */
#define MOST_ERRORS 2.0

/* Samples before the fitted line is used. */
#define LINE_SAMPLES 12.0
/* Samples closer together tell no slope. */
#define SPREAD_LEAST 1.0

/* Slowness beyond these is a disturbance, not a kind of hardware. */
#define SLOWNESS_LEAST 0.2
#define SLOWNESS_MOST 12.0

/* An endpoint that is not reached is tried again after this, doubling. */
#define EJECT_FIRST (300 * PIMENTO_MSEC)
#define EJECT_MOST (2 * PIMENTO_SEC)
/* A full endpoint frees places within about an answer's time. */
#define EJECT_FULL (60 * PIMENTO_MSEC)

/*
 * An endpoint that fails this often, and so many times as often as its
 * service, is ejected: failures come at once and make it look the least
 * loaded.
 */
#define FAILING_LEAST 0.3
#define FAILING_TIMES 1.6
#define EJECT_FAILING (700 * PIMENTO_MSEC)

/*
 * Breaks or failures in a row, over all hosts, after which an endpoint counts
 * as unreachable: each frees its slot at once and draws in the next request.
 */
#define BAD_MOST 4
/* Of as many in a row at an endpoint no worse than its service. */
#define BAD_CHANCE 0.01

void pace_init(pace_t *pace)
{
	*pace = (pace_t){ 0 };
}

static void blend(double *mean, double sample, double weight)
{
	*mean = *mean > 0 ? *mean + weight * (sample - *mean) : sample;
}

void pace_gap(pace_t *pace, pace_service_t *service, pimento_usec_t gap)
{
	blend(&pace->gap, (double)gap, GAP_WEIGHT);
	blend(&service->gap, (double)gap, SERVICE_GAP_WEIGHT);
}

void pace_gap_mean(pace_t *pace, pace_service_t *service, pimento_usec_t gap)
{
	blend(&pace->gap, (double)gap, GAP_MEAN_WEIGHT);
	blend(&service->gap, (double)gap, SERVICE_GAP_MEAN_WEIGHT);
}

double pace_slowness(const pace_t *pace, const pace_service_t *service)
{
	double slowness = 1;

	if (pace->gap > 0 && service->gap > 0)
		slowness = pace->gap / service->gap;
	return fmin(fmax(slowness, SLOWNESS_LEAST), SLOWNESS_MOST);
}

static void line_add(pace_line_t *line, double x, double y)
{
	line->weight = line->weight * LINE_DECAY + 1;
	line->x = line->x * LINE_DECAY + x;
	line->y = line->y * LINE_DECAY + y;
	line->xx = line->xx * LINE_DECAY + x * x;
	line->xy = line->xy * LINE_DECAY + x * y;
}

/* The line at x, which never falls; usual is its slope while none is known. */
static double line_at(const pace_line_t *line, double x, double usual)
{
	double slope = usual;
	double spread;

	if (line->weight <= 0)
		return 0;
	spread = line->xx - line->x * line->x / line->weight;
	if (line->weight >= LINE_SAMPLES && spread > SPREAD_LEAST)
		slope = (line->xy - line->x * line->y / line->weight) / spread;
	return line->y / line->weight +
	       fmax(slope, 0) * (x - line->x / line->weight);
}

void pace_first(pace_t *pace, pace_service_t *service, pimento_usec_t span,
		uint32_t prompt)
{
	double error = fabs((double)span - pace_expect(pace, service, prompt));

	if (service->first.weight > 0)
		blend(&service->first_error,
		      error / pace_slowness(pace, service), FIRST_ERROR_WEIGHT);
	blend(&pace->first, (double)span, FIRST_WEIGHT);
	line_add(&service->first, (double)prompt,
		 (double)span / pace_slowness(pace, service));
}

void pace_length(pace_service_t *service, uint32_t expected, uint32_t events)
{
	if (expected && events)
		line_add(&service->length, log((double)expected),
			 log((double)events));
}

double pace_events_expect(const pace_service_t *service, uint32_t expected)
{
	if (!expected || service->length.weight <= 0)
		return 0;
	return exp(line_at(&service->length, log((double)expected), 1));
}

double pace_gap_expect(const pace_t *pace, const pace_service_t *service)
{
	return pace->gap > 0 ? pace->gap : service->gap;
}

double pace_rest_expect(const pace_t *pace, const pace_service_t *service,
			uint32_t expected)
{
	return pace_events_expect(service, expected) *
	       pace_gap_expect(pace, service);
}

static void learn_failing(pace_t *pace, pace_service_t *service, bool failed)
{
	double sample = failed ? 1 : 0;

	pace->failing += FAILING_WEIGHT * (sample - pace->failing);
	service->failing +=
		SERVICE_FAILING_WEIGHT * (sample - service->failing);
}

void pace_answered(pace_t *pace, pace_service_t *service)
{
	pace->failures = 0;
	pace->bad = 0;
	pace->ejected_until = 0;
	learn_failing(pace, service, false);
}

bool pace_is_failing(const pace_t *pace, const pace_service_t *service)
{
	return pace->failing > FAILING_LEAST &&
	       pace->failing > service->failing * FAILING_TIMES;
}

void pace_failed(pace_t *pace, pace_service_t *service, pimento_usec_t now)
{
	learn_failing(pace, service, true);
	if (pace_is_failing(pace, service))
		pace->ejected_until = now + EJECT_FAILING;
}

void pace_heard(pace_t *pace, pace_service_t *service, pace_finding_t finding,
		pimento_usec_t now)
{
	if (finding == PACE_ANSWERS)
		learn_failing(pace, service, false);
	else if (finding == PACE_FAILS || finding == PACE_BREAKS)
		pace_failed(pace, service, now);
}

void pace_unreachable(pace_t *pace, pimento_usec_t now)
{
	pimento_usec_t span = EJECT_FIRST;

	for (uint32_t i = 0; i < pace->failures && span < EJECT_MOST; i++)
		span *= 2;
	pace->failures++;
	pace->ejected_until = now + (span < EJECT_MOST ? span : EJECT_MOST);
}

void pace_full(pace_t *pace, pimento_usec_t now)
{
	if (pace->ejected_until < now + EJECT_FULL)
		pace->ejected_until = now + EJECT_FULL;
}

const char *pace_finding_name(pace_finding_t finding)
{
	static const char *const names[PACE_FINDINGS] = {
		"nothing", "answers", "full", "breaks", "unreached", "fails",
	};

	return finding < PACE_FINDINGS ? names[finding] : "unknown";
}

/*
 * Failures in a row that single an endpoint out. Where the whole service fails
 * half of its requests, four in a row are common at each endpoint.
 */
static uint32_t bad_most(const pace_service_t *service)
{
	double most = BAD_MOST;

	if (service->failing > 0)
		most = log(BAD_CHANCE) / log(fmin(service->failing, 0.9));
	return (uint32_t)fmax(most, BAD_MOST);
}

void pace_found(pace_t *pace, const pace_service_t *service,
		pace_finding_t finding, pimento_usec_t now)
{
	switch (finding) {
	case PACE_ANSWERS:
		pace->failures = 0;
		pace->bad = 0;
		break;
	case PACE_FULL:
		pace_full(pace, now);
		break;
	case PACE_BREAKS:
	case PACE_FAILS:
		pace->bad++;
		if (pace->bad < bad_most(service))
			break;
		/* fallthrough */
	case PACE_UNREACHED:
		/* one that is left alone already was tried by requests that
		 * were on their way: they tell nothing new */
		if (pace->ejected_until <= now)
			pace_unreachable(pace, now);
		break;
	case PACE_NOTHING:
	case PACE_FINDINGS:
		break;
	}
}

double pace_expect(const pace_t *pace, const pace_service_t *service,
		   uint32_t prompt)
{
	return pace_slowness(pace, service) *
	       fmax(line_at(&service->first, (double)prompt, 0), 0);
}

double pace_expect_most(const pace_t *pace, const pace_service_t *service,
			uint32_t prompt)
{
	return pace_expect(pace, service, prompt) +
	       MOST_ERRORS * service->first_error *
		       pace_slowness(pace, service);
}
