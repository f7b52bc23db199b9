/*
 * The platform can be down, slow, stale or wrong for hours. Each read has a
 * timeout, failures back off with jitter up to a bound, and whatever comes is
 * judged by the host; nothing here ever takes a configuration away.
 */

#include "platform.h"
#include "log.h"
#include "sys.h"

#include <stdlib.h>
#include <string.h>
#include <ulfius.h>
#include <unistd.h>

#define WATCH_SECONDS 20
#define READ_TIMEOUT_SECONDS 5
#define BACKOFF_MIN (200 * PIMENTO_MSEC)
#define BACKOFF_MAX (10 * PIMENTO_SEC)
#define NAP (50 * PIMENTO_MSEC)
#define REPORTS_PERIOD PIMENTO_SEC
#define REPORT_TIMEOUT_SECONDS 1
#define REPORTS_MAX 128
#define FINISH_TIMEOUT (200 * PIMENTO_MSEC)
#define URL_MAX 256

/* Sleeps, but not beyond the end of the process. */
static void rest(const control_t *control, pimento_usec_t span)
{
	pimento_usec_t end = sys_now() + span;

	while (!control->stopped && sys_now() < end)
		usleep((useconds_t)NAP);
}

/* Between half and all of the span, so that hosts do not come in step. */
static pimento_usec_t jitter(pimento_usec_t span)
{
	return span / 2 + (pimento_usec_t)(sys_random() % (uint64_t)(span / 2));
}

/* Returns the HTTP status, or 0 if there was no answer. */
static long get(const char *url, unsigned long timeout,
		struct _u_response *response)
{
	struct _u_request request;
	int result;

	ulfius_init_request(&request);
	request.http_verb = o_strdup("GET");
	request.http_url = o_strdup(url);
	request.proxy = o_strdup("");
	request.timeout = timeout;
	result = ulfius_send_http_request(&request, response);
	ulfius_clean_request(&request);
	return result == U_OK ? response->status : 0;
}

typedef struct plan {
	bool watch;
	pimento_usec_t interval;
} plan_t;

static void run_plan(control_t *control, void *argument)
{
	plan_t *plan = argument;

	plan->watch = pimento_host_reader(control->host, &plan->interval);
}

typedef struct reading {
	bool hosts;
	uint64_t revision;
	const char *text;
	size_t length;
	pimento_usec_t begun;
	int error;
} reading_t;

static void run_reading(control_t *control, void *argument)
{
	reading_t *reading = argument;
	pimento_usec_t now = sys_now();

	pimento_host_refreshed(control->host, now, reading->begun);
	if (reading->text)
		reading->error = pimento_host_read(
			control->host, now, reading->hosts, reading->revision,
			reading->text, reading->length);
}

static void hand_over(platform_reader_t *reader,
		      const struct _u_response *response, pimento_usec_t begun)
{
	const char *revision =
		u_map_get_case(response->map_header, "X-Revision");
	reading_t reading = { .hosts = reader->hosts, .begun = begun };

	if (response->status == 200 && revision) {
		reading.revision = strtoull(revision, NULL, 10);
		reading.text = response->binary_body;
		reading.length = response->binary_body_length;
	}
	control_call(reader->control, run_reading, &reading);
	if (reading.revision > reader->revision)
		reader->revision = reading.revision;
}

/* One read or watch; false if the platform did not answer properly. */
static bool read_once(platform_reader_t *reader, bool watch)
{
	const settings_t *settings = reader->control->settings;
	pimento_usec_t begun = sys_now();
	struct _u_response response;
	char url[URL_MAX];
	long status;
	bool good;

	snprintf(url, sizeof(url), "http://%s:%u/v1/%s?after=%llu&wait_s=%d",
		 settings->platform_address, settings->platform_port,
		 reader->hosts ? "hosts" : "config",
		 (unsigned long long)reader->revision,
		 watch ? WATCH_SECONDS : 0);
	ulfius_init_response(&response);
	reader->control->counters.platform_calls++;
	status = get(url, READ_TIMEOUT_SECONDS + (watch ? WATCH_SECONDS : 0UL),
		     &response);
	good = status == 200 || status == 304;
	if (good)
		hand_over(reader, &response, begun);
	else
		reader->control->counters.platform_failures++;
	ulfius_clean_response(&response);
	return good;
}

static void *run_reader(void *data)
{
	platform_reader_t *reader = data;
	control_t *control = reader->control;
	pimento_usec_t backoff = BACKOFF_MIN;
	bool failing = false;

	while (!control->stopped) {
		plan_t plan = { .watch = false, .interval = PIMENTO_SEC };
		pimento_usec_t begun = sys_now();
		bool good;

		control_call(control, run_plan, &plan);
		good = read_once(reader, plan.watch);
		if (good == failing)
			log_line(LOG_LEVEL_WARNING, "platform",
				 good ? "answers again" : "does not answer");
		failing = !good;
		if (!good) {
			rest(control, jitter(backoff));
			backoff = backoff * 2 < BACKOFF_MAX ? backoff * 2
							    : BACKOFF_MAX;
			continue;
		}
		backoff = BACKOFF_MIN;
		if (!plan.watch)
			rest(control, jitter(plan.interval));
		else if (sys_now() - begun < NAP)
			rest(control, NAP);
	}
	reader->platform->running--;
	return NULL;
}

typedef struct report_target {
	pimento_id_t id;
	char address[64];
	uint16_t port;
} report_target_t;

typedef struct report_list {
	uint32_t count;
	report_target_t targets[REPORTS_MAX];
} report_list_t;

static void run_targets(control_t *control, void *argument)
{
	report_list_t *list = argument;
	const config_endpoint_t *endpoint;
	message_summary_t summary;
	pimento_id_t owner;

	for (uint32_t i = 0; list->count < REPORTS_MAX &&
			     host_endpoint_status(control->host, sys_now(), i,
						  &endpoint, &owner, &summary);
	     i++) {
		report_target_t *target = &list->targets[list->count];

		if (owner != control->host->self)
			continue;
		target->id = endpoint->id;
		target->port = endpoint->port;
		memcpy(target->address, endpoint->address,
		       sizeof(target->address));
		list->count++;
	}
}

typedef struct report {
	pimento_id_t endpoint;
	uint32_t running;
	uint32_t waiting;
	uint32_t tokens_left;
	pimento_usec_t age;
	bool leaving;
} report_t;

static void run_report(control_t *control, void *argument)
{
	const report_t *report = argument;

	pimento_host_report(control->host, sys_now(), report->endpoint,
			    report->running, report->waiting,
			    report->tokens_left, report->age, report->leaving);
}

static uint32_t number(const json_t *body, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(body, name));

	return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static void read_report(control_t *control, const report_target_t *target)
{
	struct _u_response response;
	char url[URL_MAX];
	json_t *body;

	snprintf(url, sizeof(url), "http://%s:%u/load", target->address,
		 target->port);
	ulfius_init_response(&response);
	if (get(url, REPORT_TIMEOUT_SECONDS, &response) == 200) {
		body = json_loadb(response.binary_body,
				  response.binary_body_length, 0, NULL);
		if (json_is_object(body)) {
			report_t report = { .endpoint = target->id };

			report.running = number(body, "running");
			report.waiting = number(body, "waiting");
			report.tokens_left = number(body, "tokens_left");
			report.age = number(body, "age_ms") * PIMENTO_MSEC;
			report.leaving =
				json_is_true(json_object_get(body, "leaving"));
			control_call(control, run_report, &report);
		}
		json_decref(body);
	}
	ulfius_clean_response(&response);
}

static void *run_reports(void *data)
{
	platform_t *platform = data;
	control_t *control = platform->control;

	while (!control->stopped) {
		report_list_t list = { 0 };

		control_call(control, run_targets, &list);
		for (uint32_t i = 0; i < list.count && !control->stopped; i++)
			read_report(control, &list.targets[i]);
		rest(control, REPORTS_PERIOD);
	}
	platform->running--;
	return NULL;
}

int platform_init(platform_t *platform, control_t *control)
{
	memset(platform, 0, sizeof(*platform));
	platform->control = control;
	for (int i = 0; i < 2; i++) {
		platform_reader_t *reader = &platform->readers[i];

		reader->control = control;
		reader->platform = platform;
		reader->hosts = i == 1;
		if (pthread_create(&reader->thread, NULL, run_reader, reader))
			return PIMENTO_EIO;
		reader->started = true;
		platform->running++;
	}
	if (pthread_create(&platform->reports, NULL, run_reports, platform))
		return PIMENTO_EIO;
	platform->reports_started = true;
	platform->running++;
	return PIMENTO_OK;
}

/* The process ends before they do; nobody will join them. */
static void detach_threads(platform_t *platform)
{
	for (int i = 0; i < 2; i++) {
		if (platform->readers[i].started)
			pthread_detach(platform->readers[i].thread);
	}
	if (platform->reports_started)
		pthread_detach(platform->reports);
}

bool platform_finish(platform_t *platform)
{
	pimento_usec_t end = sys_now() + FINISH_TIMEOUT;
	bool done = false;

	while (!done && sys_now() < end) {
		usleep((useconds_t)NAP);
		done = !platform->running;
	}
	if (!done) {
		detach_threads(platform);
		return false;
	}
	for (int i = 0; i < 2; i++) {
		if (platform->readers[i].started)
			pthread_join(platform->readers[i].thread, NULL);
	}
	if (platform->reports_started)
		pthread_join(platform->reports, NULL);
	return true;
}
