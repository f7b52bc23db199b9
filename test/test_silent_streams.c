/*
 * Streams that are under way when sound workers fall silent. Slots are taken,
 * requests wait in line and the configuration changes meanwhile.
 */

#include "edge.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

enum {
	HOSTS = 2,
	WORKERS = 3,
	SLOTS = 8, /* of a worker */
	ALL_SLOTS = WORKERS * SLOTS,
	CALLERS_MAX = 72,
	CALLS_MAX = 256, /* of a caller */
	GAP_MS = 20,
	DEADLINE_MS = 7500, /* less than the route's timeout */
	DEADLINE_SLACK_MS = 100,
	LENGTH_SLACK_MS = 500, /* of a stream, on a busy machine */
	STAGGER_MS = 15, /* between the first calls of two callers */
	WARM_MS = 1500,
	VERSION = 3, /* of the changed configuration */
	AFTER_MS = 500,
	RETRY_MS = 50,
	CANCEL_MS = 500, /* until workers know that a stream has ended */
	ATTEMPTS_MAX = 2 /* of the resumable route */
};

typedef struct record {
	int64_t sent_ms;
	int64_t first_ms; /* 0: nothing has arrived */
	int64_t done_ms;
	long status; /* 0: not whole */
	uint32_t events;
	uint32_t runs; /* at workers */
	bool once;
	bool whole;
} record_t;

typedef struct caller {
	pthread_t thread;
	uint32_t number;
	uint32_t count;
	record_t records[CALLS_MAX];
} caller_t;

/* What all callers do. */
typedef struct terms {
	uint32_t callers;
	uint32_t events; /* of a stream */
	bool once; /* every fourth stream is not to be repeated */
	bool single; /* each caller sends one request */
} terms_t;

static edge_t edge;
static terms_t terms;
static caller_t callers[CALLERS_MAX];
static volatile bool callers_stop;

/* Events up to the first that is out of order. */
static uint32_t count_events(const char *body)
{
	uint32_t count = 0;
	unsigned id;

	while ((body = strstr(body, "id: "))) {
		if (sscanf(body, "id: %u", &id) != 1 || id != count + 1)
			break;
		count++;
		body += 4;
	}
	return count;
}

/* Events in the body, in any order. */
static uint32_t count_ids(const char *body)
{
	uint32_t count = 0;

	for (; (body = strstr(body, "id: ")); body += 4)
		count++;
	return count;
}

static void call_once(const caller_t *caller, record_t *record)
{
	char id[32];
	char events[16];
	char gap[16];
	char deadline[16];
	client_call_t call = {
		.method = "GET",
		.port = edge.hosts[caller->number % HOSTS].callers,
		.path = record->once ? EDGE_ONCE : EDGE_STREAM,
		.headers = { { "Host", "t.example" },
			     { "Request-Id", id },
			     { "Deadline-Ms", deadline },
			     { "Key", EDGE_KEY },
			     { "Test-Events", events },
			     { "Test-Gap-Ms", gap } },
		.timeout_s = DEADLINE_MS / 1000 + 4
	};
	client_reply_t reply;

	snprintf(id, sizeof(id), "silent-%u",
		 caller->number * CALLS_MAX + caller->count);
	snprintf(events, sizeof(events), "%u", terms.events);
	snprintf(gap, sizeof(gap), "%d", GAP_MS);
	snprintf(deadline, sizeof(deadline), "%d", DEADLINE_MS);
	record->sent_ms = process_now_ms();
	client_call(&reply, &call);
	record->done_ms = process_now_ms();
	record->status = reply.status;
	record->events = count_events(reply.body);
	if (record->events)
		record->first_ms = record->sent_ms + reply.first_us / 1000;
	record->whole = reply.whole && reply.status == 200 &&
			record->events == terms.events &&
			count_ids(reply.body) == terms.events;
	client_reply_finish(&reply);
}

static void *run_caller(void *data)
{
	caller_t *caller = data;

	if (!terms.single)
		process_sleep_ms((int)caller->number * STAGGER_MS);
	while (!callers_stop && caller->count < CALLS_MAX) {
		record_t *record = &caller->records[caller->count];

		record->once = terms.once && caller->number % 4 == 3;
		call_once(caller, record);
		caller->count++;
		if (terms.single)
			break;
		if (!record->whole)
			process_sleep_ms(RETRY_MS);
	}
	return NULL;
}

static void start_callers(const terms_t *wanted)
{
	terms = *wanted;
	for (uint32_t i = 0; i < terms.callers; i++) {
		callers[i].number = i;
		ck_assert_int_eq(pthread_create(&callers[i].thread, NULL,
						run_caller, &callers[i]),
				 0);
	}
}

static void join_callers(void)
{
	callers_stop = true;
	for (uint32_t i = 0; i < terms.callers; i++)
		pthread_join(callers[i].thread, NULL);
}

static void read_runs(uint32_t worker)
{
	FILE *file = fopen(edge.workers[worker].out, "r");
	char line[64];
	unsigned number;

	while (file && fgets(line, sizeof(line), file))
		if (sscanf(line, "ran silent-%u", &number) == 1)
			callers[number / CALLS_MAX]
				.records[number % CALLS_MAX]
				.runs++;
	if (file)
		fclose(file);
}

static long sum_workers(const char *name)
{
	long sum = 0;

	for (uint32_t i = 0; i < WORKERS; i++)
		if (process_running(&edge.workers[i]))
			sum += edge_worker(&edge, i, name);
	return sum;
}

static void freeze_workers(uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		process_freeze(&edge.workers[i]);
}

static void thaw_workers(uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		process_thaw(&edge.workers[i]);
}

/* True if the stream can end in time though its worker is silent for a while. */
static bool has_time(const record_t *record, int silence_ms)
{
	int64_t length = (int64_t)terms.events * GAP_MS + LENGTH_SLACK_MS;

	return record->first_ms + length + silence_ms <
	       record->sent_ms + DEADLINE_MS;
}

/* True if the stream began and broke off, though nothing called for that. */
static bool is_cut(const record_t *record, int silence_ms)
{
	if (!record->first_ms || record->whole)
		return false;
	return has_time(record, silence_ms) ||
	       record->done_ms - record->sent_ms <
		       DEADLINE_MS - DEADLINE_SLACK_MS;
}

static void print_lost(const record_t *record, uint32_t number,
		       int64_t since_ms)
{
	fprintf(stderr,
		"silent-%u%s: status %ld, %u events, first after %lld ms, "
		"ended after %lld ms, %lld ms into the silence, %u runs\n",
		number, record->once ? " (once)" : "", record->status,
		record->events,
		(long long)(record->first_ms
				    ? record->first_ms - record->sent_ms
				    : -1),
		(long long)(record->done_ms - record->sent_ms),
		(long long)(record->done_ms - since_ms), record->runs);
}

/* Lines of the hosts' logs with the text. */
static uint32_t count_lines(const char *text, bool show)
{
	uint32_t count = 0;
	char line[1024];

	for (uint32_t i = 0; i < HOSTS; i++) {
		FILE *file = fopen(edge.hosts[i].process.out, "r");

		while (file && fgets(line, sizeof(line), file)) {
			if (!strstr(line, text))
				continue;
			count++;
			if (show)
				fputs(line, stderr);
		}
		if (file)
			fclose(file);
	}
	return count;
}

typedef struct sums {
	uint32_t calls;
	uint32_t whole;
	uint32_t under_way; /* when the silence began */
	uint32_t cut;
	uint32_t unbegun; /* ended without an event */
	uint32_t lost; /* ran, and ended without an event */
	uint32_t overrun; /* ran more often than they may */
	uint32_t attempts; /* all that they may take */
} sums_t;

static void add_record(sums_t *sums, const record_t *record, uint32_t number,
		       int64_t since_ms, int silence_ms)
{
	uint32_t attempts = record->once ? 1 : ATTEMPTS_MAX;
	bool cut = is_cut(record, silence_ms);
	bool lost = record->runs && !record->first_ms;

	sums->calls++;
	sums->attempts += attempts;
	sums->whole += record->whole;
	sums->unbegun += !record->first_ms;
	sums->overrun += record->runs > attempts;
	sums->under_way += record->first_ms && record->first_ms < since_ms &&
			   record->done_ms > since_ms;
	sums->cut += cut;
	sums->lost += lost;
	if (cut || lost)
		print_lost(record, number, since_ms);
}

/* Sums what callers saw of a silence that began then. */
static sums_t sum_up(int64_t since_ms, int silence_ms)
{
	sums_t sums = { 0 };

	for (uint32_t i = 0; i < WORKERS; i++)
		read_runs(i);
	for (uint32_t i = 0; i < terms.callers; i++)
		for (uint32_t j = 0; j < callers[i].count; j++)
			add_record(&sums, &callers[i].records[j],
				   i * CALLS_MAX + j, since_ms, silence_ms);
	fprintf(stderr,
		"%u calls, %u whole, %u under way at the silence, %u cut, %u "
		"without an event, %u lost, %ld arrivals of %u at most\n",
		sums.calls, sums.whole, sums.under_way, sums.cut, sums.unbegun,
		sums.lost, sum_workers("here"), sums.attempts);
	fprintf(stderr, "host log: %u silent, %u cut\n",
		count_lines("why=silent", false),
		count_lines("event=cut", true));
	return sums;
}

/* Holds whatever happens to workers. */
static void check_runs(const sums_t *sums)
{
	ck_assert_msg(sums->overrun == 0, "%u ran too often", sums->overrun);
	ck_assert_int_le(sum_workers("here"), sums->attempts);
}

/* Workers learn soon that nobody waits for a stream any more. */
static void check_none_left(void)
{
	int64_t until = process_now_ms() + CANCEL_MS;

	while (sum_workers("open") > 0 && process_now_ms() < until)
		process_sleep_ms(20);
	ck_assert_int_eq(sum_workers("open"), 0);
}

static void change_configuration(void)
{
	edge_configure(&edge, VERSION, "[\"" EDGE_KEY "\"]", 200000);
}

static void check_changed(void)
{
	for (uint32_t i = 0; i < HOSTS; i++)
		ck_assert_int_eq(
			edge_metric(&edge, i, "pimento_config_version"),
			VERSION);
}

static const struct {
	uint32_t silent; /* workers */
	int silence_ms;
	bool change; /* of the configuration, which comes in force meanwhile */
	terms_t terms;
} silences[] = {
	{ 3, 1200, false, { 72, 150, true, false } },
	{ 3, 1300, true, { 72, 150, true, false } },
	{ 3, 1500, true, { 72, 150, true, false } },
	{ 2, 1100, false, { 72, 150, true, false } },
	{ 2, 1500, true, { 72, 150, true, false } },
	{ 3, 3000, false, { 72, 100, true, false } },
	{ 1, 5000, false, { 72, 60, true, false } },
};

/* Guards against streams that are reset because sound workers were silent. */
START_TEST(a_silence_resets_no_stream)
{
	int64_t since;
	sums_t sums;

	edge_start_engines(&edge, HOSTS, WORKERS);
	start_callers(&silences[_i].terms);
	process_sleep_ms(WARM_MS);
	if (silences[_i].change)
		change_configuration();
	ck_assert_int_ge(sum_workers("open"), ALL_SLOTS - SLOTS / 2);
	since = process_now_ms();
	freeze_workers(silences[_i].silent);
	process_sleep_ms(silences[_i].silence_ms);
	thaw_workers(silences[_i].silent);
	process_sleep_ms(AFTER_MS);
	join_callers();
	sums = sum_up(since, silences[_i].silence_ms);
	ck_assert_uint_gt(sums.under_way, 0);
	if (silences[_i].change)
		check_changed();
	check_runs(&sums);
	check_none_left();
	ck_assert_msg(sums.cut == 0, "%u of %u streams cut", sums.cut,
		      sums.under_way);
	edge_stop(&edge);
}
END_TEST

static const struct {
	bool killed; /* else silent */
	int gone_ms;
	terms_t terms;
} losses[] = {
	{ true, 1000, { 12, 150, false, false } },
	{ false, 6000, { 12, 150, false, false } },
};

/* Guards against streams that stay with a worker that is gone. */
START_TEST(streams_go_on_where_slots_are_free)
{
	int64_t since;
	sums_t sums;

	edge_start_engines(&edge, HOSTS, WORKERS);
	start_callers(&losses[_i].terms);
	process_sleep_ms(WARM_MS);
	ck_assert_int_gt(edge_worker(&edge, 0, "open"), 0);
	since = process_now_ms();
	if (losses[_i].killed)
		process_kill(&edge.workers[0]);
	else
		freeze_workers(1);
	process_sleep_ms(losses[_i].gone_ms);
	thaw_workers(1);
	join_callers();
	sums = sum_up(since, 0);
	ck_assert_uint_gt(sums.under_way, 0);
	check_runs(&sums);
	check_none_left();
	ck_assert_msg(sums.cut == 0, "%u of %u streams cut", sums.cut,
		      sums.under_way);
	edge_stop(&edge);
}
END_TEST

static const struct {
	int silence_ms;
	terms_t terms;
} waits[] = {
	{ 1000, { 12, 20, false, true } }, { 2000, { 12, 20, false, true } },
	{ 4000, { 12, 20, true, true } },  { 1500, { 60, 20, true, true } },
	{ 2500, { 60, 20, true, true } },
};

/* Connections that the hosts keep open are then sent on without a handshake. */
static void use_workers(uint32_t requests)
{
	for (uint32_t i = 0; i < requests; i++) {
		client_reply_t reply =
			edge_ask(&edge, i % HOSTS, EDGE_STREAM, NULL, NULL);

		ck_assert_int_eq(reply.status, 200);
		client_reply_finish(&reply);
	}
}

/* Guards against giving up requests whose workers are silent before an event. */
START_TEST(a_silence_before_the_first_event_is_waited_out)
{
	int64_t since;
	sums_t sums;

	edge_start_engines(&edge, HOSTS, WORKERS);
	use_workers(ALL_SLOTS);
	freeze_workers(WORKERS);
	since = process_now_ms();
	start_callers(&waits[_i].terms);
	process_sleep_ms(waits[_i].silence_ms);
	thaw_workers(WORKERS);
	join_callers();
	sums = sum_up(since, waits[_i].silence_ms);
	ck_assert_msg(sums.overrun == 0, "%u ran too often", sums.overrun);
	check_none_left();
	ck_assert_uint_gt(sums.whole, 0);
	ck_assert_msg(sums.cut + sums.lost == 0, "%u of %u answers lost",
		      sums.cut + sums.lost, sums.calls);
	edge_stop(&edge);
}
END_TEST

static void freeze_hosts(int ms)
{
	for (uint32_t i = 0; i < HOSTS; i++)
		process_freeze(&edge.hosts[i].process);
	process_sleep_ms(ms);
	for (uint32_t i = 0; i < HOSTS; i++)
		process_thaw(&edge.hosts[i].process);
}

static const struct {
	int stall_ms;
	terms_t terms;
} stalls[] = {
	{ 600, { 12, 150, false, true } },
	{ 1500, { 12, 150, false, true } },
	{ 3000, { 12, 150, false, true } },
};

/* Guards against a host that takes its own stall for its endpoints' silence. */
START_TEST(a_stall_of_hosts_repeats_nothing)
{
	int64_t since;
	sums_t sums;

	edge_start_engines(&edge, HOSTS, WORKERS);
	start_callers(&stalls[_i].terms);
	process_sleep_ms(WARM_MS);
	since = process_now_ms();
	freeze_hosts(stalls[_i].stall_ms);
	join_callers();
	sums = sum_up(since, stalls[_i].stall_ms);
	ck_assert_uint_eq(sums.under_way, stalls[_i].terms.callers);
	ck_assert_uint_eq(sums.whole, stalls[_i].terms.callers);
	ck_assert_int_eq(sum_workers("here"), stalls[_i].terms.callers);
	check_none_left();
	edge_stop(&edge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("silent_streams");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, a_silence_resets_no_stream, 0,
			    sizeof(silences) / sizeof(silences[0]));
	tcase_add_loop_test(tests, streams_go_on_where_slots_are_free, 0,
			    sizeof(losses) / sizeof(losses[0]));
	tcase_add_loop_test(tests,
			    a_silence_before_the_first_event_is_waited_out, 0,
			    sizeof(waits) / sizeof(waits[0]));
	tcase_add_loop_test(tests, a_stall_of_hosts_repeats_nothing, 0,
			    sizeof(stalls) / sizeof(stalls[0]));
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
