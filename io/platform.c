/*
 * The platform can be down, slow, stale or wrong for hours. Each read has a
 * timeout, failures back off with jitter up to a bound, and whatever comes is
 * judged by the host; nothing here ever takes a configuration away.
 */

#include "platform.h"
#include "head_lines.h"
#include "log.h"
#include "sys.h"

#include "../src/strbuf.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
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

/* An answer of the platform or of an endpoint. */
typedef struct answer {
	long status; /* 0: there was none, or a malformed one */
	head_lines_t head;
	uint64_t revision; /* 0: none is stated */
	strbuf_t body;
} answer_t;

/* Returns less than the length if the answer is not to be read further. */
static size_t on_header(char *bytes, size_t size, size_t count, void *data)
{
	static const char name[] = "x-revision:";
	size_t length = size * count;
	size_t skip = sizeof(name) - 1;
	answer_t *answer = data;

	if (!head_lines_take(&answer->head, bytes, length))
		return 0;
	if (answer->head.in_head && length > skip &&
	    strncasecmp(bytes, name, skip) == 0)
		answer->revision = strtoull(bytes + skip, NULL, 10);
	return length;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	answer_t *answer = data;

	strbuf_add(&answer->body, bytes, size * count);
	return strbuf_error(&answer->body) ? 0 : size * count;
}

/*
 * Over libcurl: the ulfius client gives the fields of a head, not its lines.
 * The body is to be freed with strbuf_finish().
 */
static void get(const char *url, long timeout, answer_t *answer)
{
	CURL *curl = curl_easy_init();

	*answer = (answer_t){ 0 };
	strbuf_init(&answer->body);
	if (!curl)
		return;
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, timeout);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, answer);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
				  &answer->status);
	curl_easy_cleanup(curl);
}

typedef struct plan {
	bool hosts;
	bool watch;
	pimento_usec_t interval;
	uint64_t in_force;
} plan_t;

static uint64_t in_force(const control_t *control, bool hosts)
{
	return hosts ? control->host->membership.hosts_revision
		     : control->host->membership.config_revision;
}

static void run_plan(control_t *control, void *argument)
{
	plan_t *plan = argument;

	plan->watch = pimento_host_should_watch_platform(control->host,
							 &plan->interval);
	plan->in_force = in_force(control, plan->hosts);
}

typedef enum outcome {
	READ_FAILED, /* no proper answer */
	READ_USELESS, /* a text that was not taken */
	READ_GOOD, /* a text that is in force now, or nothing newer */
} outcome_t;

typedef struct reading {
	bool hosts;
	uint64_t revision;
	const char *text; /* NULL: nothing newer */
	size_t length;
	pimento_usec_t begun;
	outcome_t outcome;
} reading_t;

/*
 * Only a text that is in force confirms what is held. A refused one, or one of
 * an older revision, would let a daemon that stood still serve under what the
 * others have left behind.
 */
static void run_reading(control_t *control, void *argument)
{
	reading_t *reading = argument;
	pimento_usec_t now = sys_now();

	if (reading->text)
		pimento_host_apply_update(control->host, now, reading->hosts,
					  reading->revision, reading->text,
					  reading->length);
	if (reading->text &&
	    reading->revision != in_force(control, reading->hosts))
		return;
	reading->outcome = READ_GOOD;
	pimento_host_confirm_current(control->host, now, reading->begun);
}

/*
 * A text that was not taken is passed over by the next watch, so that its
 * correction comes at once. Not for longer: a platform that for a moment gave
 * a revision far ahead would never be listened to again.
 */
static outcome_t hand_over(platform_reader_t *reader, const answer_t *answer,
			   pimento_usec_t begun)
{
	reading_t reading = { .hosts = reader->hosts,
			      .begun = begun,
			      .outcome = READ_USELESS };

	if (answer->status != 200 && answer->status != 304)
		return READ_FAILED;
	if (answer->status == 200) {
		reading.revision = answer->revision;
		reading.text = answer->body.bytes;
		reading.length = answer->body.length;
		if (!reading.revision || !reading.text)
			return READ_FAILED;
	}
	control_call(reader->control, run_reading, &reading);
	reader->passed = reading.outcome == READ_USELESS ? reading.revision : 0;
	return reading.outcome;
}

static outcome_t read_once(platform_reader_t *reader, const plan_t *plan)
{
	const settings_t *settings = reader->control->settings;
	uint64_t after = plan->in_force;
	pimento_usec_t begun = sys_now();
	answer_t answer;
	char url[URL_MAX];
	outcome_t outcome;

	if (plan->watch && reader->passed > after)
		after = reader->passed;
	snprintf(url, sizeof(url), "http://%s:%u/v1/%s?after=%llu&wait_s=%d",
		 settings->platform_address, settings->platform_port,
		 reader->hosts ? "hosts" : "config", (unsigned long long)after,
		 plan->watch ? WATCH_SECONDS : 0);
	reader->control->counters.platform_calls++;
	get(url, READ_TIMEOUT_SECONDS + (plan->watch ? WATCH_SECONDS : 0),
	    &answer);
	outcome = hand_over(reader, &answer, begun);
	if (outcome == READ_FAILED)
		reader->control->counters.platform_failures++;
	strbuf_finish(&answer.body);
	return outcome;
}

static void note_answer(platform_reader_t *reader, outcome_t outcome)
{
	bool failed = outcome == READ_FAILED;

	if (failed != reader->failing)
		log_line(LOG_LEVEL_WARNING, "platform",
			 failed ? "does not answer" : "answers again");
	reader->failing = failed;
}

/* The span until the next read; failures and useless answers back off. */
static pimento_usec_t next_rest(platform_reader_t *reader, const plan_t *plan,
				outcome_t outcome)
{
	pimento_usec_t backoff = reader->backoff;

	if (outcome == READ_GOOD) {
		reader->backoff = BACKOFF_MIN;
		return plan->watch ? NAP : jitter(plan->interval);
	}
	if (outcome == READ_USELESS && !plan->watch)
		return jitter(plan->interval);
	reader->backoff = backoff * 2 < BACKOFF_MAX ? backoff * 2 : BACKOFF_MAX;
	return jitter(backoff);
}

static void *run_reader(void *data)
{
	platform_reader_t *reader = data;
	control_t *control = reader->control;

	reader->backoff = BACKOFF_MIN;
	while (!control->stopped) {
		plan_t plan = { .hosts = reader->hosts,
				.interval = PIMENTO_SEC };
		outcome_t outcome;

		control_call(control, run_plan, &plan);
		outcome = read_once(reader, &plan);
		note_answer(reader, outcome);
		rest(control, next_rest(reader, &plan, outcome));
	}
	reader->thread.ended = true;
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
	uint64_t incarnation; /* 0: the endpoint names none */
} report_t;

static void run_report(control_t *control, void *argument)
{
	const report_t *report = argument;

	pimento_host_report_load(control->host, sys_now(), report->endpoint,
				 report->running, report->waiting,
				 report->tokens_left, report->age,
				 report->leaving, report->incarnation);
}

static uint32_t number(const json_t *body, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(body, name));

	return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static void read_report(control_t *control, const report_target_t *target)
{
	answer_t answer;
	char url[URL_MAX];
	json_t *body;

	snprintf(url, sizeof(url), "http://%s:%u/load", target->address,
		 target->port);
	get(url, REPORT_TIMEOUT_SECONDS, &answer);
	if (answer.status == 200) {
		body = json_loadb(answer.body.bytes, answer.body.length, 0,
				  NULL);
		if (json_is_object(body)) {
			report_t report = { .endpoint = target->id };

			report.running = number(body, "running");
			report.waiting = number(body, "waiting");
			report.tokens_left = number(body, "tokens_left");
			report.age = number(body, "age_ms") * PIMENTO_MSEC;
			report.leaving =
				json_is_true(json_object_get(body, "leaving"));
			report.incarnation = (uint64_t)json_integer_value(
				json_object_get(body, "incarnation"));
			control_call(control, run_report, &report);
		}
		json_decref(body);
	}
	strbuf_finish(&answer.body);
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
	platform->reports.ended = true;
	return NULL;
}

static int start_thread(platform_thread_t *thread, void *(*run)(void *),
			void *data)
{
	if (pthread_create(&thread->thread, NULL, run, data))
		return PIMENTO_EIO;
	thread->started = true;
	return PIMENTO_OK;
}

int platform_init(platform_t *platform, control_t *control)
{
	int error = PIMENTO_OK;

	memset(platform, 0, sizeof(*platform));
	platform->control = control;
	for (int i = 0; i < 2 && !error; i++) {
		platform_reader_t *reader = &platform->readers[i];

		reader->control = control;
		reader->hosts = i == 1;
		error = start_thread(&reader->thread, run_reader, reader);
	}
	if (!error)
		error = start_thread(&platform->reports, run_reports, platform);
	return error;
}

/* Joins the thread if it ends in time, else lets it go; true if joined. */
static bool finish_thread(platform_thread_t *thread, pimento_usec_t end)
{
	if (!thread->started)
		return true;
	while (!thread->ended && sys_now() < end)
		usleep((useconds_t)NAP);
	if (thread->ended)
		pthread_join(thread->thread, NULL);
	else
		pthread_detach(thread->thread);
	return thread->ended;
}

bool platform_finish(platform_t *platform)
{
	pimento_usec_t end = sys_now() + FINISH_TIMEOUT;
	bool joined = finish_thread(&platform->reports, end);

	for (int i = 0; i < 2; i++)
		joined &= finish_thread(&platform->readers[i].thread, end);
	return joined;
}
