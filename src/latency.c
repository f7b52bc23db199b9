/*
 * Streams give many samples of the gap between events, and the gap depends on
 * the endpoint's speed and on nothing else that a scheduler can choose, so the
 * endpoints of a service are compared by it. The time to the first event is
 * fitted as a linear regression over the length of the prompt, for the service
 * as a whole, and scaled by each endpoint's slowness: a single endpoint gets
 * too few long prompts to fit a regression of its own.
 */

#include "latency.h"

#include <math.h>

/*
 * Weights of a new sample in the moving averages. A gap weighs less than an
 * answer, as a stream has hundreds of gaps.
 */
#define GAP_WEIGHT 0.02
#define SERVICE_GAP_WEIGHT 0.002
/* Weights of a stream's mean gap, for a stream of some ten events. */
#define GAP_MEAN_WEIGHT 0.15
#define SERVICE_GAP_MEAN_WEIGHT 0.02
#define FIRST_EVENT_WEIGHT 0.1
#define FAILURE_RATE_WEIGHT 0.08
#define SERVICE_FAILURE_RATE_WEIGHT 0.02
#define REGRESSION_DECAY 0.995
#define FIRST_EVENT_ERROR_WEIGHT 0.05
#define SLOT_TIME_WEIGHT 0.02
#define EVENTS_ERROR_WEIGHT 0.05
#define SLOW_FIRST_EVENT_WEIGHT 0.05
/*
 * Nine in ten times to the first event lie below the expected time plus this
 * many mean absolute errors.
 */
#define P90_MEAN_ERRORS 2.0
/* The same for the log of a number of events, whose errors are symmetric. */
#define P90_MEAN_LOG_ERRORS 1.6

/* The fitted slope is used from this decayed number of samples on. */
#define REGRESSION_SAMPLES_MIN 12.0
/*
 * Sum of squared deviations of x up to which the samples are too close together
 * to fit a slope.
 */
#define REGRESSION_X_VARIATION_MIN 1.0

/*
 * Slowness outside these bounds is a disturbance, not a property of the
 * hardware.
 */
#define SLOWNESS_MIN 0.2
#define SLOWNESS_MAX 12.0
/* Endpoints are slower than their service from this slowness on. */
#define SLOW_MIN 1.5

/* First and longest ejection of an unreachable endpoint; doubles in between. */
#define EJECT_UNREACHABLE_MIN (300 * PIMENTO_MSEC)
#define EJECT_UNREACHABLE_MAX (2 * PIMENTO_SEC)
/* A full endpoint frees slots within about the time of one answer. */
#define EJECT_FULL_TIME (60 * PIMENTO_MSEC)

/*
 * An endpoint is ejected if its failure rate exceeds the minimum and this ratio
 * times the rate of its service: failures return at once and make the endpoint
 * look the least loaded.
 */
#define EJECT_FAILURE_RATE_MIN 0.3
#define EJECT_FAILURE_RATE_RATIO 1.6
#define EJECT_FAILING_TIME (700 * PIMENTO_MSEC)

/*
 * Closed connections and failed answers in a row, over all hosts, after which
 * an endpoint counts as unreachable: each frees its slot at once, which then
 * gets the next request.
 */
#define EJECT_CONSECUTIVE_ERRORS 4
/*
 * Accepted probability that an endpoint which fails no more often than its
 * service is ejected for its errors in a row.
 */
#define EJECT_FALSE_POSITIVE_RATE 0.01

void latency_init(latency_model_t *latency_model)
{
	*latency_model = (latency_model_t){ 0 };
}

static void update_ewma(double *mean, double sample, double weight)
{
	*mean = *mean > 0 ? *mean + weight * (sample - *mean) : sample;
}

void latency_add_gap(latency_model_t *latency_model, latency_service_t *service,
		     pimento_usec_t gap)
{
	update_ewma(&latency_model->event_gap_us, (double)gap, GAP_WEIGHT);
	update_ewma(&service->event_gap_us, (double)gap, SERVICE_GAP_WEIGHT);
}

void latency_add_mean_gap(latency_model_t *latency_model,
			  latency_service_t *service, pimento_usec_t gap)
{
	update_ewma(&latency_model->event_gap_us, (double)gap, GAP_MEAN_WEIGHT);
	update_ewma(&service->event_gap_us, (double)gap,
		    SERVICE_GAP_MEAN_WEIGHT);
}

double latency_slowness(const latency_model_t *latency_model,
			const latency_service_t *service)
{
	double slowness = 1;

	if (latency_model->event_gap_us > 0 && service->event_gap_us > 0)
		slowness = latency_model->event_gap_us / service->event_gap_us;
	return fmin(fmax(slowness, SLOWNESS_MIN), SLOWNESS_MAX);
}

static void regression_add(latency_regression_t *regression, double x, double y)
{
	regression->weight = regression->weight * REGRESSION_DECAY + 1;
	regression->x = regression->x * REGRESSION_DECAY + x;
	regression->y = regression->y * REGRESSION_DECAY + y;
	regression->xx = regression->xx * REGRESSION_DECAY + x * x;
	regression->xy = regression->xy * REGRESSION_DECAY + x * y;
}

/*
 * Value of the regression at x. The slope is at least 0, and default_slope
 * while the samples are too few.
 */
static double regression_at(const latency_regression_t *regression, double x,
			    double default_slope)
{
	double slope = default_slope;
	double x_variation;

	if (regression->weight <= 0)
		return 0;
	x_variation = regression->xx -
		      regression->x * regression->x / regression->weight;
	if (regression->weight >= REGRESSION_SAMPLES_MIN &&
	    x_variation > REGRESSION_X_VARIATION_MIN)
		slope = (regression->xy -
			 regression->x * regression->y / regression->weight) /
			x_variation;
	return regression->y / regression->weight +
	       fmax(slope, 0) * (x - regression->x / regression->weight);
}

bool latency_is_slow(const latency_model_t *latency_model,
		     const latency_service_t *service)
{
	return latency_slowness(latency_model, service) >= SLOW_MIN;
}

void latency_add_first_event(latency_model_t *latency_model,
			     latency_service_t *service, pimento_usec_t span,
			     uint32_t prompt_tokens)
{
	double expected = latency_expected_first_event(latency_model, service,
						       prompt_tokens);
	double error = fabs((double)span - expected);

	if (expected > 0 && span > 0 && latency_is_slow(latency_model, service))
		service->slow_first_event_error +=
			SLOW_FIRST_EVENT_WEIGHT *
			(log((double)span / expected) -
			 service->slow_first_event_error);
	if (service->first_event_by_prompt.weight > 0)
		update_ewma(&service->first_event_error_us,
			    error / latency_slowness(latency_model, service),
			    FIRST_EVENT_ERROR_WEIGHT);
	update_ewma(&latency_model->first_event_us, (double)span,
		    FIRST_EVENT_WEIGHT);
	regression_add(&service->first_event_by_prompt, (double)prompt_tokens,
		       (double)span / latency_slowness(latency_model, service));
}

void latency_add_length(latency_service_t *service, uint32_t expected_tokens,
			uint32_t events)
{
	double expected = latency_expected_events(service, expected_tokens);

	if (!expected_tokens || !events)
		return;
	if (expected > 0)
		update_ewma(&service->events_error,
			    fabs(log((double)events / expected)),
			    EVENTS_ERROR_WEIGHT);
	regression_add(&service->events_by_tokens, log((double)expected_tokens),
		       log((double)events));
}

double latency_expected_events(const latency_service_t *service,
			       uint32_t expected_tokens)
{
	if (!expected_tokens || service->events_by_tokens.weight <= 0)
		return 0;
	return exp(regression_at(&service->events_by_tokens,
				 log((double)expected_tokens), 1));
}

double latency_p90_events(const latency_service_t *service,
			  uint32_t expected_tokens)
{
	return latency_expected_events(service, expected_tokens) *
	       exp(P90_MEAN_LOG_ERRORS * service->events_error);
}

double latency_expected_gap(const latency_model_t *latency_model,
			    const latency_service_t *service)
{
	return latency_model->event_gap_us > 0 ? latency_model->event_gap_us
					       : service->event_gap_us;
}

double latency_expected_stream_time(const latency_model_t *latency_model,
				    const latency_service_t *service,
				    uint32_t expected_tokens)
{
	return latency_expected_events(service, expected_tokens) *
	       latency_expected_gap(latency_model, service);
}

static void update_failure_rate(latency_model_t *latency_model,
				latency_service_t *service, bool failed)
{
	double sample = failed ? 1 : 0;

	latency_model->failure_rate +=
		FAILURE_RATE_WEIGHT * (sample - latency_model->failure_rate);
	service->failure_rate +=
		SERVICE_FAILURE_RATE_WEIGHT * (sample - service->failure_rate);
}

void latency_add_slot_time(latency_service_t *service, pimento_usec_t span)
{
	double weight = 1.0 / (1 + service->slot_time_count);

	if (weight < SLOT_TIME_WEIGHT)
		weight = SLOT_TIME_WEIGHT;
	else
		service->slot_time_count++;
	service->slot_time_us +=
		weight * ((double)span - service->slot_time_us);
}

void latency_add_success(latency_model_t *latency_model,
			 latency_service_t *service)
{
	latency_model->consecutive_unreachable = 0;
	latency_model->consecutive_errors = 0;
	latency_model->ejected_until = 0;
	update_failure_rate(latency_model, service, false);
}

bool latency_endpoint_is_failing(const latency_model_t *latency_model,
				 const latency_service_t *service)
{
	return latency_model->failure_rate > EJECT_FAILURE_RATE_MIN &&
	       latency_model->failure_rate >
		       service->failure_rate * EJECT_FAILURE_RATE_RATIO;
}

void latency_add_failure(latency_model_t *latency_model,
			 latency_service_t *service, pimento_usec_t now)
{
	update_failure_rate(latency_model, service, true);
	if (latency_endpoint_is_failing(latency_model, service))
		latency_model->ejected_until = now + EJECT_FAILING_TIME;
}

void latency_update_failure_rate(latency_model_t *latency_model,
				 latency_service_t *service,
				 latency_outcome_t outcome, pimento_usec_t now)
{
	if (outcome == LATENCY_OUTCOME_ANSWERED)
		update_failure_rate(latency_model, service, false);
	else if (outcome == LATENCY_OUTCOME_FAILED ||
		 outcome == LATENCY_OUTCOME_RESET)
		latency_add_failure(latency_model, service, now);
}

void latency_eject_unreachable(latency_model_t *latency_model,
			       pimento_usec_t now)
{
	pimento_usec_t span = EJECT_UNREACHABLE_MIN;

	for (uint32_t i = 0; i < latency_model->consecutive_unreachable &&
			     span < EJECT_UNREACHABLE_MAX;
	     i++)
		span *= 2;
	latency_model->consecutive_unreachable++;
	latency_model->ejected_until =
		now +
		(span < EJECT_UNREACHABLE_MAX ? span : EJECT_UNREACHABLE_MAX);
}

void latency_eject_full(latency_model_t *latency_model, pimento_usec_t now)
{
	if (latency_model->ejected_until < now + EJECT_FULL_TIME)
		latency_model->ejected_until = now + EJECT_FULL_TIME;
}

const char *latency_outcome_name(latency_outcome_t outcome)
{
	static const char *const names[LATENCY_OUTCOMES] = {
		"nothing",   "answers", "full",	    "breaks",
		"unreached", "fails",	"replaced",
	};

	return outcome < LATENCY_OUTCOMES ? names[outcome] : "unknown";
}

/*
 * Number of errors in a row after which an endpoint is ejected. Where a whole
 * service fails half of its requests, four in a row are common at each of its
 * endpoints, so the limit rises with the service's failure rate.
 */
static uint32_t consecutive_errors_limit(const latency_service_t *service)
{
	double limit = EJECT_CONSECUTIVE_ERRORS;

	if (service->failure_rate > 0)
		limit = log(EJECT_FALSE_POSITIVE_RATE) /
			log(fmin(service->failure_rate, 0.9));
	return (uint32_t)fmax(limit, EJECT_CONSECUTIVE_ERRORS);
}

void latency_update_ejection(latency_model_t *latency_model,
			     const latency_service_t *service,
			     latency_outcome_t outcome, pimento_usec_t now)
{
	switch (outcome) {
	case LATENCY_OUTCOME_ANSWERED:
		latency_model->consecutive_unreachable = 0;
		latency_model->consecutive_errors = 0;
		break;
	case LATENCY_OUTCOME_FULL:
		latency_eject_full(latency_model, now);
		break;
	case LATENCY_OUTCOME_RESET:
	case LATENCY_OUTCOME_FAILED:
		latency_model->consecutive_errors++;
		if (latency_model->consecutive_errors <
		    consecutive_errors_limit(service))
			break;
		/* fallthrough */
	case LATENCY_OUTCOME_UNREACHABLE:
	case LATENCY_OUTCOME_REPLACED:
		/*
		 * Outcomes of requests that were in flight when the endpoint
		 * was ejected are no new evidence and do not prolong it.
		 */
		if (latency_model->ejected_until <= now)
			latency_eject_unreachable(latency_model, now);
		break;
	case LATENCY_OUTCOME_NONE:
	case LATENCY_OUTCOMES:
		break;
	}
}

double latency_expected_first_event(const latency_model_t *latency_model,
				    const latency_service_t *service,
				    uint32_t prompt_tokens)
{
	return latency_slowness(latency_model, service) *
	       fmax(regression_at(&service->first_event_by_prompt,
				  (double)prompt_tokens, 0),
		    0);
}

double latency_typical_first_event(const latency_model_t *latency_model,
				   const latency_service_t *service,
				   uint32_t prompt_tokens)
{
	double expected = latency_expected_first_event(latency_model, service,
						       prompt_tokens);

	if (latency_is_slow(latency_model, service))
		expected *= exp(fmin(service->slow_first_event_error, 0));
	return expected;
}

double latency_p90_first_event(const latency_model_t *latency_model,
			       const latency_service_t *service,
			       uint32_t prompt_tokens)
{
	return latency_expected_first_event(latency_model, service,
					    prompt_tokens) +
	       P90_MEAN_ERRORS * service->first_event_error_us *
		       latency_slowness(latency_model, service);
}
