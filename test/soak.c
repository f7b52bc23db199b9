#include "soak.h"

#include "edge.h"
#include "relay.h"
#include "sys.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	REQUESTS_MAX = 40000,
	KEYS_MAX = 64,
	HEALS_MAX = 64,
	EVENTS = 12, /* of a stream */
	GAP_MS = 15,
	DEADLINE_MS = 2000,
	LONG_EVENTS = 100, /* of a stream that may outlast a silence */
	LONG_DEADLINE_MS = 6000,
	DEADLINE_SLACK_MS = 100, /* hosts may end a stream so much sooner */
	SILENCE_LEAST_MS = 500,
	SILENCE_MOST_MS = 2000,
	STRAIN_MS = 9000,
	STRAIN_WINDOW_MS = 4000, /* the last part of it, in which limits hold */
	STRAIN_HOSTS_MS = 1500, /* the first part, in which hosts end */
	BUDGET_WINDOW_MS = 10000, /* of the settings in edge.c */
	BUDGET_SLACK = 56,
	ANSWER_SLACK_MS = 1000, /* beside the deadline, on a busy machine */
	DRAIN_MS = 2000, /* a worker that leaves gets no requests after this */
	STATEMENT_MS = 4500,
	STATEMENT_HOSTS_MS = 1500, /* the first part, in which hosts end */
	BURST_MS = 4000,
	BURST_EVENTS = 40, /* of its streams */
	HOT_KEY = UINT8_MAX, /* number of EDGE_LIMITED_KEY */
	REVOKE_MS = 3000, /* of the settings in edge.c */
	GRACE_MS = 8000, /* stop_seconds there */
	QUIET_MS = 1500, /* around a fault its host's answers may be late */
	BACK_MS = 8000, /* until all is well after the last fault */
	/* until a process that was started heeds a request to stop */
	STARTED_MS = 400,
	CALLER_PAUSE_MS = 15,
	CRASHING_SHARE = 6, /* one in so many streams has such a prompt */
	REPEATS_SHARE = 3, /* one in so many requests of the first caller */
	ENDS_ALLOWED = 3, /* under one request, with all its repeats */
	SERIES_MOST = 6, /* signals or changes in one series */
	SERIES_GAP_MS = 60, /* between two of them, at most */
	EVENTS_MAX = 512,
	LINE_MAX_BYTES = 1024,
	AROUND_MS = 3000, /* of a broken promise, for what is printed */
	PAUSE_MS = 1200 /* between two faults, at most */
};

typedef enum kind { STREAM, ONCE, SAFE, UNSAFE, KINDS } kind_t;

static const struct {
	const char *path;
	uint32_t runs_max;
} kinds[KINDS] = { { EDGE_STREAM, 2 },
		   { EDGE_ONCE, 1 },
		   { EDGE_SAFE, 2 },
		   { EDGE_UNSAFE, 1 } };

/* How workers misbehave at a caller's wish. */
static const char *const behaviours[] = { "torn", "half",    "fail", "extra",
					  "mute", "foreign", "full", "garble" };

typedef struct record {
	int64_t sent_ms;
	int64_t done_ms; /* 0: not begun, or it never ended */
	int64_t host_lost_ms; /* last fault of its host, when it was done */
	uint32_t runs; /* at workers */
	uint32_t arrivals; /* the same, and rejections of strained workers */
	bool ran_evacuated; /* at a worker that it may not have gone to */
	uint32_t key; /* number of the key; 0 is never taken away */
	long status; /* 0: no whole answer */
	uint32_t events; /* that arrived */
	uint8_t events_wanted; /* of a stream */
	uint8_t kind;
	uint8_t host;
	bool behaves; /* no worker is asked to misbehave */
	bool undisturbed; /* no fault of its host or a worker but silences */
	bool crashing; /* its prompt crashes workers */
	bool repeated; /* the request that crashes workers and comes again */
	bool after_drain; /* it reached a worker that had left for its host */
	bool in_backoff; /* in the backoff of its host */
	bool out_of_order;
	bool sealed; /* the answer is a worker's own */
} record_t;

/* What ends a fault, or follows on it. */
typedef enum heal_kind {
	HEAL_START_HOST,
	HEAL_THAW_HOST,
	HEAL_REAP_HOST, /* it was told to stop */
	HEAL_START_WORKER,
	HEAL_WORKER_LINK,
	HEAL_STORE,
	HEAL_STORE_LINK,
	HEAL_PATHS /* of a host to all workers */
} heal_kind_t;

typedef struct heal {
	int64_t at_ms;
	heal_kind_t kind;
	uint32_t index;
} heal_t;

/* A fault or its end, for the report of a broken promise. */
typedef struct soak_event {
	int64_t at_ms;
	char what[48];
} soak_event_t;

typedef struct soak {
	soak_terms_t terms;
	soak_event_t events[EVENTS_MAX];
	uint32_t event_count;
	int64_t wall_offset_ms; /* wall clock minus process_now_ms() */
	soak_result_t *result;
	edge_t edge;
	relay_t worker_links[EDGE_WORKERS_MAX];
	relay_t store_link;
	uint64_t draws;
	uint64_t
		series_draws; /* apart, so that a seed's faults stay the same */
	heal_t heals[HEALS_MAX];
	uint32_t heal_count;
	uint32_t version;
	uint32_t starts; /* of workers, for the names of their files */
	bool host_down[EDGE_HOSTS_MAX];
	int64_t started_ms[EDGE_HOSTS_MAX];
	bool worker_down[EDGE_WORKERS_MAX];
	bool paths_down[EDGE_PATH_HOSTS_MAX];
	uint64_t path_draws; /* apart, too */
	uint64_t silence_draws; /* apart, too */
	uint64_t strain_draws; /* apart, too */
	uint64_t burst_draws; /* apart, too */
	uint64_t statement_draws; /* apart, too */
	int64_t began_ms;
	/* shared with callers */
	uint64_t evacuation_draws; /* apart, too */
	/* when the data centre of a worker was evacuated; 0: it is not */
	int64_t evacuated_ms[EDGE_WORKERS_MAX];
	atomic_bool stopping;
	atomic_bool crashing; /* callers send such prompts */
	atomic_bool long_streams; /* callers ask for such */
	atomic_bool
		bursting; /* all callers ask for streams, half with HOT_KEY */
	atomic_int workers_lost; /* killed and not back yet */
	uint32_t host_faults; /* hosts killed, frozen or told to stop */
	/* when faults last began or ended that may end streams */
	_Atomic int64_t worker_lost_ms;
	_Atomic int64_t host_lost_ms[EDGE_HOSTS_MAX];
	atomic_uint key; /* newest that is in force */
	atomic_uint next;
	_Atomic int64_t touched_ms[EDGE_HOSTS_MAX]; /* last fault there */
	int64_t revoked_ms[HOT_KEY + 1]; /* by number of the key; 0: in force */
	record_t records[REQUESTS_MAX];
} soak_t;

typedef struct caller {
	soak_t *soak;
	uint64_t draws;
	bool extra; /* with streams alone, amid silences and in bursts */
	bool repeats; /* a request that crashes workers, if there are such */
	pthread_t thread;
} caller_t;

/* splitmix64 */
static uint64_t draw(uint64_t *state)
{
	uint64_t z = *state += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static uint32_t draw_below(uint64_t *state, uint32_t bound)
{
	return (uint32_t)(draw(state) % bound);
}

static void key_name(uint32_t key, char name[16])
{
	if (key == HOT_KEY)
		snprintf(name, 16, EDGE_LIMITED_KEY);
	else if (key)
		snprintf(name, 16, "key-%u", key);
	else
		snprintf(name, 16, EDGE_KEY);
}

/* Callers. */

typedef struct answer {
	char id[24]; /* of the answer */
	uint32_t events;
	bool out_of_order;
	bool sealed;
	char line[64]; /* of the body, as far as it has come */
	size_t length;
} answer_t;

static void take_line(answer_t *answer)
{
	unsigned event;

	answer->line[answer->length] = '\0';
	answer->length = 0;
	if (sscanf(answer->line, "id: %u", &event) != 1)
		return;
	answer->events++;
	if (event != answer->events)
		answer->out_of_order = true;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	answer_t *answer = data;

	for (size_t i = 0; i < size * count; i++) {
		if (bytes[i] == '\n')
			take_line(answer);
		else if (answer->length < sizeof(answer->line) - 1)
			answer->line[answer->length++] = bytes[i];
	}
	return size * count;
}

static size_t on_field(char *bytes, size_t size, size_t count, void *data)
{
	answer_t *answer = data;
	char line[128];

	snprintf(line, sizeof(line), "%.*s", (int)(size * count), bytes);
	(void)sscanf(line, "Request-Id: %23s", answer->id);
	if (strncmp(line, "Response-Seal:", 14) == 0)
		answer->sealed = true;
	return size * count;
}

static struct curl_slist *add_field(struct curl_slist *fields, const char *name,
				    const char *value)
{
	char line[96];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	return curl_slist_append(fields, line);
}

static int deadline_of(const soak_t *soak)
{
	return soak->terms.silences ? LONG_DEADLINE_MS : DEADLINE_MS;
}

static struct curl_slist *fields_of(caller_t *caller, record_t *record,
				    const char *id)
{
	struct curl_slist *fields = NULL;
	char text[24];

	fields = add_field(fields, "Host", "t.example");
	fields = add_field(fields, "Request-Id", id);
	snprintf(text, sizeof(text), "%d", deadline_of(caller->soak));
	fields = add_field(fields, "Deadline-Ms", text);
	key_name(record->key, text);
	fields = add_field(fields, "Key", text);
	snprintf(text, sizeof(text), "%u", record->events_wanted);
	fields = add_field(fields, "Test-Events", text);
	snprintf(text, sizeof(text), "%d", GAP_MS);
	fields = add_field(fields, "Test-Gap-Ms", text);
	snprintf(text, sizeof(text), "h%u", record->host);
	fields = add_field(fields, "Test-Sender", text);
	if (caller->soak->terms.crashing) {
		char parts[64];

		snprintf(parts, sizeof(parts), "5c1e07a2:60,%s%s:100",
			 record->crashing ? "dead0001:40,1" : "2", id + 5);
		if (record->repeated)
			snprintf(parts, sizeof(parts),
				 "5c1e07a2:60,beef0001:100");
		fields = add_field(fields, "Prefix-Hash", parts);
	}
	if (draw_below(&caller->draws, 10) == 0 && !record->repeated) {
		uint32_t count = sizeof(behaviours) / sizeof(behaviours[0]);
		uint32_t i = draw_below(&caller->draws, count);

		fields = add_field(fields, "Test-Behave", behaviours[i]);
		record->behaves = false;
	}
	return fields;
}

static void judge_answer(record_t *record, const answer_t *answer,
			 const char *id)
{
	bool stream = record->kind == STREAM || record->kind == ONCE;

	record->sealed = answer->sealed;
	record->events = answer->events;
	if (record->status / 100 != 2)
		return;
	if (strcmp(answer->id, id) != 0 ||
	    (stream &&
	     (answer->out_of_order || answer->events != record->events_wanted)))
		record->out_of_order = true;
}

/* True if its host and all workers lived since the request was sent. */
static bool was_undisturbed(const soak_t *soak, const record_t *record)
{
	return !soak->workers_lost && soak->worker_lost_ms < record->sent_ms &&
	       soak->host_lost_ms[record->host] < record->sent_ms;
}

/* One request; a connection that is open to that host is used again. */
static void call(caller_t *caller, CURL *curl, record_t *record, const char *id)
{
	const soak_t *soak = caller->soak;
	struct curl_slist *fields = fields_of(caller, record, id);
	answer_t answer = { 0 };
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u%s",
		 soak->edge.hosts[record->host].callers,
		 kinds[record->kind].path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, fields);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_field);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 3L * deadline_of(soak));
	/* curl itself sends again on an old connection that turns out dead */
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT,
			 kinds[record->kind].runs_max == 1 ? 1L : 0L);
	record->sent_ms = process_now_ms();
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
				  &record->status);
	record->done_ms = process_now_ms();
	record->host_lost_ms = soak->host_lost_ms[record->host];
	record->undisturbed = was_undisturbed(soak, record);
	curl_slist_free_all(fields);
	judge_answer(record, &answer, id);
}

/* Returns false once the caller is to end. */
static bool wait_turn(const caller_t *caller)
{
	const soak_t *soak = caller->soak;

	while (!soak->stopping && caller->extra && soak->terms.bursts &&
	       !soak->bursting)
		process_sleep_ms(CALLER_PAUSE_MS);
	return !soak->stopping &&
	       (!caller->extra || soak->terms.bursts || soak->long_streams);
}

static uint8_t events_of(const soak_t *soak)
{
	if (soak->long_streams)
		return LONG_EVENTS;
	return soak->bursting ? BURST_EVENTS : EVENTS;
}

static void *run_caller(void *data)
{
	caller_t *caller = data;
	soak_t *soak = caller->soak;
	CURL *curl = curl_easy_init();

	while (curl && wait_turn(caller)) {
		uint32_t number = soak->next++;
		record_t *record = &soak->records[number];
		char id[24];

		if (number >= REQUESTS_MAX)
			break;
		snprintf(id, sizeof(id), "soak-%u", number);
		record->kind = (uint8_t)draw_below(
			&caller->draws, caller->extra ? SAFE : KINDS);
		record->host =
			(uint8_t)draw_below(&caller->draws, soak->terms.hosts);
		if (draw_below(&caller->draws, 3) == 0)
			record->key = soak->key;
		if (soak->bursting && caller->extra && number % 2)
			record->key = HOT_KEY;
		record->crashing =
			soak->crashing && record->kind <= ONCE &&
			draw_below(&caller->draws, CRASHING_SHARE) == 0;
		if (soak->crashing && caller->repeats &&
		    draw_below(&caller->draws, REPEATS_SHARE) == 0) {
			record->kind = STREAM;
			record->key = 0;
			record->crashing = true;
			record->repeated = true;
		}
		record->events_wanted = events_of(soak);
		record->behaves = true;
		call(caller, curl, record, id);
		process_sleep_ms(CALLER_PAUSE_MS);
	}
	curl_easy_cleanup(curl);
	return NULL;
}

/* What ran where. */

/*
 * True if the host that judged the request knew of the evacuation: like a key that
 * was taken away, no copy of the operators' records may be older.
 */
static bool was_evacuated(const soak_t *soak, uint32_t worker,
			  const record_t *record)
{
	int64_t since = soak->evacuated_ms[worker];

	return since && record->sent_ms > since + REVOKE_MS;
}

/* What a worker says of a request of a host to which it had stated something. */
static void read_statement(soak_t *soak, const char *line)
{
	long long told_ms;
	unsigned number;
	bool leaving = sscanf(line, "after_leaving soak-%u %lld", &number,
			      &told_ms) == 2;
	record_t *record;

	if (!leaving &&
	    sscanf(line, "in_backoff soak-%u %lld", &number, &told_ms) != 2)
		return;
	if (number >= REQUESTS_MAX)
		return;
	record = &soak->records[number];
	if (record->host_lost_ms >= told_ms)
		return; /* its host need not know */
	if (!leaving)
		record->in_backoff = true;
	else if (record->sent_ms > told_ms + DRAIN_MS)
		record->after_drain = true;
}

static void read_runs(soak_t *soak, uint32_t worker)
{
	FILE *file = fopen(soak->edge.workers[worker].out, "r");
	char line[64];
	unsigned number;

	while (file && fgets(line, sizeof(line), file)) {
		record_t *record;

		bool ran = sscanf(line, "ran soak-%u", &number) == 1;

		read_statement(soak, line);
		if ((!ran && sscanf(line, "rejected soak-%u", &number) != 1) ||
		    number >= REQUESTS_MAX)
			continue;
		record = &soak->records[number];
		record->arrivals++;
		if (!ran)
			continue;
		record->runs++;
		if (was_evacuated(soak, worker, record))
			record->ran_evacuated = true;
	}
	if (file)
		fclose(file);
}

/* Faults. */

static void add_event(soak_t *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void add_event(soak_t *soak, const char *format, ...)
{
	soak_event_t *event;
	va_list args;

	if (soak->event_count == EVENTS_MAX)
		return;
	event = &soak->events[soak->event_count++];
	event->at_ms = process_now_ms();
	va_start(args, format);
	vsnprintf(event->what, sizeof(event->what), format, args);
	va_end(args);
}

static void touch(soak_t *soak, uint32_t host)
{
	soak->touched_ms[host] = process_now_ms();
}

/* A fault of a host began or ended that may end its streams. */
static void note_host(soak_t *soak, uint32_t host)
{
	soak->host_lost_ms[host] = process_now_ms();
}

/* The same with workers, of which so many more are lost now. */
static void note_workers(soak_t *soak, int more)
{
	soak->workers_lost += more;
	soak->worker_lost_ms = process_now_ms();
}

/* A fault that touches whatever a host depends on touches all hosts. */
static void touch_all(soak_t *soak)
{
	for (uint32_t host = 0; host < soak->terms.hosts; host++)
		touch(soak, host);
}

static void heal_later(soak_t *soak, heal_kind_t kind, uint32_t index,
		       uint32_t most_ms)
{
	ck_assert_uint_lt(soak->heal_count, HEALS_MAX);
	soak->heals[soak->heal_count++] = (heal_t){
		.at_ms = process_now_ms() + 50 +
			 draw_below(&soak->draws, most_ms),
		.kind = kind,
		.index = index,
	};
}

static void publish(soak_t *soak)
{
	char keys[64];
	char name[16];

	key_name(soak->key, name);
	snprintf(keys, sizeof(keys), "[\"" EDGE_KEY "\",\"%s\"]", name);
	soak->version += 1 + draw_below(&soak->draws, 5);
	edge_configure(&soak->edge, soak->version, keys, 100000);
}

static void rotate_key(soak_t *soak)
{
	uint32_t old = soak->key;

	if (old + 1 >= KEYS_MAX)
		return;
	soak->key = old + 1;
	publish(soak);
	if (old)
		soak->revoked_ms[old] = process_now_ms();
	add_event(soak, "key %u replaces key %u", soak->key, old);
}

static void fault_host(soak_t *soak, uint32_t host)
{
	process_t *process = &soak->edge.hosts[host].process;

	if (soak->host_down[host] ||
	    process_now_ms() < soak->started_ms[host] + STARTED_MS)
		return;
	soak->host_down[host] = true;
	touch(soak, host);
	note_host(soak, host);
	soak->host_faults++;
	switch (draw_below(&soak->draws, 3)) {
	case 0:
		add_event(soak, "host %u killed", host);
		process_kill(process);
		heal_later(soak, HEAL_START_HOST, host, 1500);
		break;
	case 1:
		add_event(soak, "host %u frozen", host);
		process_freeze(process);
		heal_later(soak, HEAL_THAW_HOST, host, 4000);
		break;
	default:
		add_event(soak, "host %u told to stop", host);
		kill(process->pid, SIGTERM);
		heal_later(soak, HEAL_REAP_HOST, host, 500);
		break;
	}
}

/* Signals that leave a process as it was, also one that is stopping. */
static void signal_series(soak_t *soak, uint32_t host, uint32_t count)
{
	process_t *process = &soak->edge.hosts[host].process;
	bool stopping = soak->host_down[host];

	if (process_now_ms() < soak->started_ms[host] + STARTED_MS ||
	    !process_running(process))
		return;
	add_event(soak, "host %u gets %u signals", host, count);
	for (uint32_t i = 0; i < count; i++) {
		switch (draw_below(&soak->series_draws, stopping ? 1 : 2)) {
		case 0:
			kill(process->pid, SIGHUP);
			break;
		default:
			process_freeze(process);
			process_sleep_ms((int)draw_below(&soak->series_draws,
							 SERIES_GAP_MS));
			process_thaw(process);
			break;
		}
		process_sleep_ms(
			(int)draw_below(&soak->series_draws, SERIES_GAP_MS));
	}
	touch(soak, host);
}

static void change_series(soak_t *soak, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		rotate_key(soak);
		process_sleep_ms(
			(int)draw_below(&soak->series_draws, SERIES_GAP_MS));
	}
	touch_all(soak);
}

static void cut_paths(soak_t *soak, uint32_t host)
{
	edge_cut_t how = (edge_cut_t)draw_below(&soak->path_draws, EDGE_CUTS);

	if (soak->paths_down[host] || soak->heal_count == HEALS_MAX)
		return;
	soak->paths_down[host] = true;
	for (uint32_t worker = 0; worker < soak->terms.workers; worker++)
		edge_cut_path(&soak->edge, host, worker, how);
	add_event(soak, "host %u without paths, cut %d", host, how);
	soak->heals[soak->heal_count++] = (heal_t){
		.at_ms = process_now_ms() + 50 +
			 draw_below(&soak->path_draws, 2500),
		.kind = HEAL_PATHS,
		.index = host,
	};
}

/* One host loses all its paths, or all hosts but one do. */
static void play_paths(soak_t *soak)
{
	uint32_t chosen = draw_below(&soak->path_draws, soak->terms.hosts);
	bool most = draw_below(&soak->path_draws, 3) == 0;

	if (draw_below(&soak->path_draws, 2) == 0)
		return;
	for (uint32_t host = 0; host < soak->terms.hosts; host++)
		if ((host == chosen) != most)
			cut_paths(soak, host);
	touch_all(soak);
}

static void mend_paths(soak_t *soak, uint32_t host)
{
	for (uint32_t worker = 0; worker < soak->terms.workers; worker++)
		edge_mend_path(&soak->edge, host, worker);
	soak->paths_down[host] = false;
}

/* A series beside whatever fault is going on. */
static void play_series(soak_t *soak)
{
	uint32_t host = draw_below(&soak->series_draws, soak->terms.hosts);
	uint32_t count = 2 + draw_below(&soak->series_draws, SERIES_MOST - 1);

	if (draw_below(&soak->series_draws, 3) == 0)
		change_series(soak, count);
	else
		signal_series(soak, host, count);
}

static void evacuation_key(uint32_t worker, char key[32])
{
	snprintf(key, 32, "op/evacuate/dc%u", worker);
}

/* Evacuates the data centre of a worker, or takes that back. */
static void play_evacuation(soak_t *soak)
{
	uint32_t worker =
		draw_below(&soak->evacuation_draws, soak->terms.workers);
	char key[32];

	evacuation_key(worker, key);
	if (!soak->evacuated_ms[worker]) {
		edge_put(&soak->edge, key, "{}");
		soak->evacuated_ms[worker] = process_now_ms();
		add_event(soak, "data centre of worker %u evacuated", worker);
	} else if (worker) {
		edge_remove(&soak->edge, key);
		soak->evacuated_ms[worker] = 0;
		add_event(soak, "data centre of worker %u returns", worker);
	}
}

/* All data centres but that of worker 0, which others serve for. */
static void end_evacuations(soak_t *soak)
{
	char key[32];

	for (uint32_t worker = 1; worker < soak->terms.workers; worker++) {
		evacuation_key(worker, key);
		edge_remove(&soak->edge, key);
		soak->evacuated_ms[worker] = 0;
	}
}

static void fault_worker(soak_t *soak, uint32_t worker)
{
	if (soak->worker_down[worker])
		return;
	soak->worker_down[worker] = true;
	note_workers(soak, 1);
	add_event(soak, "worker %u killed", worker);
	process_kill(&soak->edge.workers[worker]);
	read_runs(soak, worker);
	heal_later(soak, HEAL_START_WORKER, worker, 1500);
}

static void freeze_workers(soak_t *soak, uint32_t chosen, bool all)
{
	for (uint32_t i = 0; i < soak->terms.workers; i++)
		if ((all || i == chosen) && !soak->worker_down[i])
			process_freeze(&soak->edge.workers[i]);
}

static void thaw_workers(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->terms.workers; i++)
		if (!soak->worker_down[i])
			process_thaw(&soak->edge.workers[i]);
}

/* One worker or all are silent for a while, beside whatever fault is going on. */
static void play_silence(soak_t *soak)
{
	uint32_t chosen = draw_below(&soak->silence_draws, soak->terms.workers);
	bool all = draw_below(&soak->silence_draws, 2) == 0;
	int64_t until = process_now_ms() + SILENCE_LEAST_MS +
			draw_below(&soak->silence_draws,
				   SILENCE_MOST_MS - SILENCE_LEAST_MS);

	if (draw_below(&soak->silence_draws, 2) == 0)
		change_series(soak, 1 + draw_below(&soak->silence_draws, 3));
	freeze_workers(soak, chosen, all);
	add_event(soak, "silent: worker %u, all %d, %lld ms", chosen, all,
		  (long long)(until - process_now_ms()));
	soak->result->faults++;
	while (process_now_ms() < until)
		process_sleep_ms(10);
	thaw_workers(soak);
	add_event(soak, "end of silence");
}

/* Workers that crashed under a prompt are back after a while. */
static void find_crashed(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->terms.workers; i++) {
		if (soak->worker_down[i] ||
		    process_running(&soak->edge.workers[i]) ||
		    soak->heal_count == HEALS_MAX)
			continue;
		soak->worker_down[i] = true;
		note_workers(soak, 1);
		soak->result->crashes++;
		add_event(soak, "worker %u crashed", i);
		read_runs(soak, i);
		heal_later(soak, HEAL_START_WORKER, i, 1500);
	}
}

static void fault_link(soak_t *soak, relay_t *link, heal_kind_t heal,
		       uint32_t index)
{
	static const char *const names[] = { "cut to", "cut from", "cut",
					     "dropped", "delayed" };
	uint32_t fault = draw_below(&soak->draws, 5);

	switch (fault) {
	case 0:
		relay_cut(link, RELAY_TO);
		break;
	case 1:
		relay_cut(link, RELAY_FROM);
		break;
	case 2:
		relay_cut(link, RELAY_BOTH);
		break;
	case 3:
		relay_drop(link);
		break;
	default:
		relay_delay(link, (int)draw_below(&soak->draws, 60));
		break;
	}
	add_event(soak, "link of %s %u %s",
		  heal == HEAL_STORE_LINK ? "store" : "worker", index,
		  names[fault]);
	heal_later(soak, heal, index, 2500);
}

static void fault_store(soak_t *soak)
{
	static const char *const modes[] = { "busy", "many", "silent",
					     "rubbish" };
	const char *mode;

	if (draw_below(&soak->draws, 5) == 0) {
		add_event(soak, "store forgets");
		edge_forget(&soak->edge);
		return;
	}
	mode = modes[draw_below(&soak->draws, 4)];
	add_event(soak, "store is %s", mode);
	edge_mode(&soak->edge, mode);
	heal_later(soak, HEAL_STORE, 0, 4000);
}

static bool has_worker_links(const soak_t *soak)
{
	return !soak->terms.crashing && !soak->terms.silences &&
	       !soak->terms.strains && !soak->terms.bursts &&
	       !soak->terms.statements;
}

static void fault(soak_t *soak)
{
	uint32_t worker = draw_below(&soak->draws, soak->terms.workers);
	uint32_t host = draw_below(&soak->draws, soak->terms.hosts);

	if (soak->heal_count + 2 > HEALS_MAX)
		return;
	soak->result->faults++;
	touch_all(soak);
	switch (draw_below(&soak->draws, 6)) {
	case 0:
		fault_host(soak, host);
		break;
	case 1:
		fault_worker(soak, worker);
		break;
	case 2:
		if (!soak->terms.paths && has_worker_links(soak))
			fault_link(soak, &soak->worker_links[worker],
				   HEAL_WORKER_LINK, worker);
		break;
	case 3:
		if (!soak->terms.paths)
			fault_link(soak, &soak->store_link, HEAL_STORE_LINK, 0);
		break;
	case 4:
		fault_store(soak);
		break;
	default:
		rotate_key(soak);
		break;
	}
}

static void list_worker(soak_t *soak, uint32_t worker)
{
	char datacentre[16];

	snprintf(datacentre, sizeof(datacentre), "dc%u", worker);
	edge_list_process(&soak->edge, worker,
			  soak->terms.evacuations ? datacentre : "a", "ready",
			  soak->terms.statements ? 1 + soak->starts : 1);
}

static void start_worker(soak_t *soak, uint32_t worker)
{
	char name[16];

	snprintf(name, sizeof(name), "w%u-%u", worker, ++soak->starts);
	edge_start_worker(&soak->edge, worker, name);
	if (!has_worker_links(soak))
		list_worker(soak, worker);
	soak->worker_links[worker].target = soak->edge.workers[worker].port;
	for (uint32_t i = 0; soak->terms.paths && i < soak->terms.hosts; i++)
		soak->edge.paths[i][worker].target =
			soak->edge.workers[worker].port;
	soak->worker_down[worker] = false;
	note_workers(soak, -1);
}

/* True if a host's log line belongs to the request, or to what went on then. */
static bool is_line_around(const soak_t *soak, const char *line, const char *id,
			   int64_t from_ms, int64_t to_ms)
{
	const char *at = strstr(line, "at=");
	int64_t at_ms;

	if (id && strstr(line, id))
		return true;
	if (!at || strstr(line, "part=request"))
		return false;
	at_ms = (int64_t)(strtod(at + 3, NULL) * 1000) - soak->wall_offset_ms;
	return at_ms > from_ms && at_ms < to_ms;
}

static bool print_lines(const soak_t *soak, const char *path, const char *id,
			int64_t from_ms, int64_t to_ms)
{
	FILE *file = fopen(path, "r");
	char line[LINE_MAX_BYTES];

	if (!file)
		return false;
	while (fgets(line, sizeof(line), file))
		if (is_line_around(soak, line, id, from_ms, to_ms))
			fprintf(stderr, "  %s", line);
	fclose(file);
	return true;
}

/* What the hosts logged, and which faults there were; id may be NULL. */
static void print_around(const soak_t *soak, const char *id, int64_t from_ms,
			 int64_t to_ms)
{
	for (uint32_t i = 0; i < soak->event_count; i++) {
		const soak_event_t *event = &soak->events[i];

		if (event->at_ms > from_ms && event->at_ms < to_ms)
			fprintf(stderr, "  %+lld ms: %s\n",
				(long long)(event->at_ms - from_ms),
				event->what);
	}
	for (uint32_t host = 0; host < soak->terms.hosts; host++) {
		const char *out = soak->edge.hosts[host].process.out;
		char path[PROCESS_PATH_MAX + 16];
		int earlier = 0;

		print_lines(soak, out, id, from_ms, to_ms);
		do
			snprintf(path, sizeof(path), "%s.%d", out, ++earlier);
		while (print_lines(soak, path, id, from_ms, to_ms));
	}
}

static void report(soak_t *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void report(soak_t *soak, const char *format, ...)
{
	char text[SOAK_TEXT_MAX];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (!soak->result->broken++)
		memcpy(soak->result->first, text, sizeof(text));
	fprintf(stderr, "seed %llu: %s\n", (unsigned long long)soak->terms.seed,
		text);
}

static void broke(soak_t *soak, const char *promise, uint32_t number)
{
	const record_t *record = &soak->records[number];
	int64_t revoked = soak->revoked_ms[record->key];
	char id[24];

	report(soak,
	       "%s: soak-%u kind=%d host=%d key=%u status=%ld runs=%u "
	       "took=%lld since_key_revoked=%lld",
	       promise, number, record->kind, record->host, record->key,
	       record->status, record->runs,
	       (long long)(record->done_ms - record->sent_ms),
	       revoked ? (long long)(record->sent_ms - revoked) : -1);
	snprintf(id, sizeof(id), "id=soak-%u ", number);
	print_around(soak, id, record->sent_ms - AROUND_MS,
		     record->done_ms + AROUND_MS);
}

static void reap_host(soak_t *soak, uint32_t host)
{
	process_t *process = &soak->edge.hosts[host].process;
	int64_t now = process_now_ms();
	int status = process_wait(process, GRACE_MS + 1000);

	if (status) {
		report(soak, "host %u did not stop well: %d", host, status);
		print_around(soak, NULL, now - AROUND_MS, now + GRACE_MS);
	}
}

static void heal(soak_t *soak, const heal_t *what)
{
	process_t *process = &soak->edge.hosts[what->index].process;

	touch_all(soak);
	add_event(soak, "end of fault: kind %d, number %u", what->kind,
		  what->index);
	switch (what->kind) {
	case HEAL_REAP_HOST:
		reap_host(soak, what->index);
		/* fallthrough */
	case HEAL_START_HOST:
		edge_start_host(&soak->edge, what->index);
		note_host(soak, what->index);
		soak->started_ms[what->index] = process_now_ms();
		soak->host_down[what->index] = false;
		break;
	case HEAL_THAW_HOST:
		process_thaw(process);
		note_host(soak, what->index);
		soak->host_down[what->index] = false;
		break;
	case HEAL_START_WORKER:
		start_worker(soak, what->index);
		break;
	case HEAL_WORKER_LINK:
		relay_delay(&soak->worker_links[what->index], 0);
		relay_mend(&soak->worker_links[what->index]);
		break;
	case HEAL_STORE:
		edge_mode(&soak->edge, "ok");
		break;
	case HEAL_PATHS:
		mend_paths(soak, what->index);
		break;
	case HEAL_STORE_LINK:
		relay_delay(&soak->store_link, 0);
		relay_mend(&soak->store_link);
		break;
	}
}

/* Does what is due; all of it at the end. */
static void heal_due(soak_t *soak, bool all)
{
	for (uint32_t i = soak->heal_count; i-- > 0;) {
		heal_t what = soak->heals[i];

		if (!all && process_now_ms() < what.at_ms)
			continue;
		soak->heals[i] = soak->heals[--soak->heal_count];
		heal(soak, &what);
	}
}

/* Promises. */

static bool is_refusal(const record_t *record)
{
	return !record->sealed &&
	       (record->status == 503 || record->status == 429 ||
		record->status == 408 || record->status == 421);
}

static bool was_quiet(const soak_t *soak, const record_t *record)
{
	return record->sent_ms > soak->touched_ms[record->host] + QUIET_MS;
}

/* A stream broke off though its host and workers lived and time was left. */
static bool was_cut(const soak_t *soak, const record_t *record)
{
	const soak_terms_t *terms = &soak->terms;

	/* of lost paths and crashes it is not known when they end streams */
	if (!terms->silences || terms->paths || terms->crashing)
		return false;
	return record->kind == STREAM && record->key == 0 && record->behaves &&
	       record->undisturbed && record->events &&
	       record->status / 100 != 2 &&
	       record->done_ms - record->sent_ms <
		       LONG_DEADLINE_MS - DEADLINE_SLACK_MS;
}

static void check_record(soak_t *soak, uint32_t number)
{
	const record_t *record = &soak->records[number];
	int64_t revoked = soak->revoked_ms[record->key];
	int64_t took = record->done_ms - record->sent_ms;

	if (record->runs > kinds[record->kind].runs_max)
		broke(soak, "it ran too often", number);
	if (is_refusal(record) && record->runs &&
	    kinds[record->kind].runs_max == 1)
		broke(soak, "\"not run\" was not true", number);
	if (record->out_of_order)
		broke(soak, "a success is not the whole answer", number);
	if ((record->key == 0 || record->key == HOT_KEY) &&
	    (record->status == 401 || record->status == 404))
		broke(soak, "a good request was denied", number);
	if (revoked && record->runs && record->sent_ms > revoked + REVOKE_MS)
		broke(soak, "a key that was taken away was honoured", number);
	if (record->status == 400 && !record->crashing)
		broke(soak, "a sound prompt was rejected", number);
	if (record->status == 400 && record->runs)
		broke(soak, "it was rejected as not run, and had run", number);
	if (record->after_drain)
		broke(soak, "it was sent to a worker that had left", number);
	if (record->in_backoff)
		broke(soak, "it was sent in a worker's backoff", number);
	if (record->ran_evacuated)
		broke(soak, "it ran in an evacuated data centre", number);
	if (was_quiet(soak, record) &&
	    took > deadline_of(soak) + ANSWER_SLACK_MS)
		broke(soak, "no answer in time", number);
	if (was_cut(soak, record))
		broke(soak, "a stream of sound workers was cut", number);
}

/* Over the whole play; each begun window allows the slack once. */
static void check_retries(soak_t *soak, uint32_t count)
{
	int64_t span = process_now_ms() - soak->began_ms;
	double slack = BUDGET_SLACK * (double)(1 + span / BUDGET_WINDOW_MS);
	uint32_t retries = 0;

	for (uint32_t i = 0; i < count; i++)
		if (soak->records[i].arrivals)
			retries += soak->records[i].arrivals - 1;
	if (retries > 0.2 * count + slack)
		report(soak, "%u retries of %u requests", retries, count);
}

/*
 * A host that is killed, frozen or stopped need not know or tell what was found; an
 * attempt of a client runs there twice at most.
 */
static void check_repeats(soak_t *soak, uint32_t count)
{
	uint32_t allowed =
		ENDS_ALLOWED + kinds[STREAM].runs_max * soak->host_faults;
	uint32_t runs = 0;

	for (uint32_t i = 0; i < count; i++)
		if (soak->records[i].repeated)
			runs += soak->records[i].runs;
	soak->result->repeated_runs = runs;
	if (runs > allowed)
		report(soak, "a request that crashes workers ran %u times",
		       runs);
}

static void check_all(soak_t *soak)
{
	uint32_t count = soak->next < REQUESTS_MAX ? soak->next : REQUESTS_MAX;

	if (soak->terms.strains)
		check_retries(soak, count);
	if (soak->terms.crashing)
		check_repeats(soak, count);

	soak->result->requests = count;
	for (uint32_t i = 0; i < count; i++) {
		const record_t *record = &soak->records[i];

		check_record(soak, i);
		if (record->status / 100 == 2)
			soak->result->served++;
		else if (is_refusal(record))
			soak->result->refused++;
		else
			soak->result->failed++;
	}
}

/* All faults are over: every host is to be ready and to serve again. */
static void check_recovery(soak_t *soak)
{
	for (uint32_t host = 0; host < soak->terms.hosts; host++) {
		int64_t until = process_now_ms() + BACK_MS;
		uint32_t in_a_row = 0;

		while (in_a_row < 5 && process_now_ms() < until) {
			client_reply_t reply = edge_ask_key(
				&soak->edge, host, EDGE_SAFE, EDGE_KEY);

			in_a_row = reply.status == 200 ? in_a_row + 1 : 0;
			client_reply_finish(&reply);
			process_sleep_ms(20);
		}
		if (in_a_row < 5 || edge_health(&soak->edge, host) != 200) {
			report(soak, "host %u does not recover: %u in a row",
			       host, in_a_row);
			print_around(soak, NULL, until - BACK_MS - AROUND_MS,
				     until);
		}
	}
}

static void list_workers(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->terms.workers; i++)
		list_worker(soak, i);
}

/* Hosts are told the relays' ports in place of the programs' own. */
static void start_links(soak_t *soak)
{
	edge_t *edge = &soak->edge;

	ck_assert_int_eq(relay_init(&soak->store_link, edge->store.port), 0);
	edge->store_front = soak->store_link.port;
	for (uint32_t i = 0; has_worker_links(soak) && i < soak->terms.workers;
	     i++) {
		ck_assert_int_eq(relay_init(&soak->worker_links[i],
					    edge->workers[i].port),
				 0);
		edge->worker_fronts[i] = soak->worker_links[i].port;
	}
	list_workers(soak);
	for (uint32_t i = 0; i < soak->terms.hosts; i++) {
		process_kill(&edge->hosts[i].process);
		edge_start_host(edge, i);
	}
	for (uint32_t i = 0; i < soak->terms.hosts; i++)
		ck_assert(edge_wait_health(edge, i, 200, BACK_MS));
}

/* Waits for the last of the requests that crash workers. */
static void end_crashing(soak_t *soak)
{
	int64_t until = process_now_ms() + DEADLINE_MS + ANSWER_SLACK_MS;

	soak->crashing = false;
	while (process_now_ms() < until) {
		find_crashed(soak);
		heal_due(soak, false);
		process_sleep_ms(20);
	}
}

/* What one worker, or each, does while it is strained. */
typedef struct strain {
	uint32_t worker;
	bool all;
	double limit; /* 0: none is stated */
	uint32_t rejected; /* of 100 */
} strain_t;

static strain_t draw_strain(soak_t *soak)
{
	uint64_t *draws = &soak->strain_draws;
	strain_t strain = { .worker = draw_below(draws, soak->terms.workers),
			    .all = draw_below(draws, 2) == 0 };

	if (draw_below(draws, 2) == 0)
		strain.rejected = 60 + draw_below(draws, 36);
	if (!strain.rejected || draw_below(draws, 2) == 0)
		strain.limit = (1 + draw_below(draws, 160)) / 10.0;
	return strain;
}

static void set_strain(soak_t *soak, const strain_t *strain, bool on)
{
	for (uint32_t i = 0; i < soak->terms.workers; i++)
		if ((strain->all || i == strain->worker) &&
		    !soak->worker_down[i])
			edge_set_worker(&soak->edge, i, on ? strain->limit : 0,
					on ? strain->rejected : 0, false);
}

static void wait_healing(soak_t *soak, int64_t until)
{
	while (process_now_ms() < until) {
		heal_due(soak, false);
		process_sleep_ms(20);
	}
}

/* Hosts end, and are back some seconds later. */
static void end_hosts(soak_t *soak, uint64_t *draws, int64_t until)
{
	while (process_now_ms() < until) {
		if (soak->heal_count < HEALS_MAX)
			fault_host(soak, draw_below(draws, soak->terms.hosts));
		wait_healing(soak,
			     process_now_ms() + 100 + draw_below(draws, 400));
	}
}

static void check_limit(soak_t *soak, const strain_t *strain, uint32_t worker,
			long arrivals)
{
	double allowed = 1.5 * strain->limit * STRAIN_WINDOW_MS / 1000 + 5;

	if ((double)arrivals > allowed)
		report(soak,
		       "worker %u states %g a second and gets %ld in %d ms",
		       worker, strain->limit, arrivals, STRAIN_WINDOW_MS);
}

/* One worker or all reject most requests, or state a limit. */
static void play_strain(soak_t *soak)
{
	strain_t strain = draw_strain(soak);
	int64_t until = process_now_ms() + STRAIN_MS;
	long before[EDGE_WORKERS_MAX] = { 0 };
	uint32_t starts = soak->starts;

	set_strain(soak, &strain, true);
	add_event(soak, "strained: worker %u, all %d, limit %g, rejects %u",
		  strain.worker, strain.all, strain.limit, strain.rejected);
	soak->result->faults++;
	touch_all(soak);
	end_hosts(soak, &soak->strain_draws,
		  process_now_ms() + STRAIN_HOSTS_MS);
	wait_healing(soak, until - STRAIN_WINDOW_MS);
	for (uint32_t i = 0; i < soak->terms.workers; i++)
		before[i] = soak->worker_down[i]
				    ? 0
				    : edge_worker(&soak->edge, i, "here");
	wait_healing(soak, until);
	for (uint32_t i = 0; i < soak->terms.workers; i++)
		if (strain.limit > 0 && (strain.all || i == strain.worker) &&
		    !soak->worker_down[i] && soak->starts == starts)
			check_limit(soak, &strain, i,
				    edge_worker(&soak->edge, i, "here") -
					    before[i]);
	set_strain(soak, &strain, false);
	touch_all(soak);
	add_event(soak, "end of strain");
}

/* A worker leaves, and is replaced; hosts end meanwhile. */
static void play_leaving(soak_t *soak, uint32_t worker, int64_t until)
{
	edge_leave_worker(&soak->edge, worker);
	add_event(soak, "worker %u says that it leaves", worker);
	end_hosts(soak, &soak->statement_draws,
		  process_now_ms() + STATEMENT_HOSTS_MS);
	wait_healing(soak, until);
	fault_worker(soak, worker);
}

/* One worker or all reject everything for a while, and state a backoff. */
static void play_backoff(soak_t *soak, uint32_t worker, int64_t until)
{
	static const char *const backoffs[] = { "0.7", "1.5", "3", "10",
						"soon" };
	uint64_t *draws = &soak->statement_draws;
	const char *backoff = backoffs[draw_below(
		draws, sizeof(backoffs) / sizeof(backoffs[0]))];
	bool all = draw_below(draws, 3) == 0;
	int span = 200 + (int)draw_below(draws, 2500);

	for (uint32_t i = 0; i < soak->terms.workers; i++)
		if ((all || i == worker) && !soak->worker_down[i])
			edge_set_backoff(&soak->edge, i, backoff, span, "all");
	add_event(soak, "backoff of %s s for %d ms: worker %u, all %d", backoff,
		  span, worker, all);
	end_hosts(soak, &soak->statement_draws,
		  process_now_ms() + STATEMENT_HOSTS_MS);
	wait_healing(soak, until);
}

static void play_statement(soak_t *soak)
{
	uint32_t worker =
		draw_below(&soak->statement_draws, soak->terms.workers);
	bool leaves = draw_below(&soak->statement_draws, 2) == 0;
	int64_t until = process_now_ms() + STATEMENT_MS;

	if (soak->worker_down[worker])
		return;
	soak->result->faults++;
	touch_all(soak);
	if (leaves)
		play_leaving(soak, worker, until);
	else
		play_backoff(soak, worker, until);
	touch_all(soak);
	add_event(soak, "end of statement");
}

/* Callers press beyond the room while faults go on. */
static void play_burst(soak_t *soak)
{
	int64_t until = process_now_ms() + BURST_MS;

	soak->bursting = true;
	add_event(soak, "burst");
	soak->result->faults++;
	touch_all(soak);
	while (process_now_ms() < until) {
		if (soak->heal_count < HEALS_MAX &&
		    draw_below(&soak->burst_draws, 3) == 0)
			fault_host(soak, draw_below(&soak->burst_draws,
						    soak->terms.hosts));
		wait_healing(soak, process_now_ms() + 500);
	}
	soak->bursting = false;
	touch_all(soak);
	add_event(soak, "end of burst");
}

static void play_faults(soak_t *soak)
{
	int64_t until = process_now_ms() + soak->terms.fault_ms;

	soak->crashing = soak->terms.crashing;
	while (process_now_ms() < until) {
		fault(soak);
		if (soak->terms.series)
			play_series(soak);
		if (soak->terms.evacuations)
			play_evacuation(soak);
		if (soak->terms.paths)
			play_paths(soak);
		if (soak->terms.silences)
			play_silence(soak);
		if (soak->terms.strains)
			play_strain(soak);
		if (soak->terms.bursts)
			play_burst(soak);
		if (soak->terms.statements)
			play_statement(soak);
		process_sleep_ms((int)draw_below(&soak->draws, PAUSE_MS));
		if (soak->terms.crashing)
			find_crashed(soak);
		heal_due(soak, false);
	}
	soak->long_streams = false;
	if (soak->terms.crashing)
		end_crashing(soak);
	heal_due(soak, true);
	if (soak->terms.evacuations)
		end_evacuations(soak);
}

static void finish_links(soak_t *soak)
{
	if (soak->terms.paths)
		return;
	relay_finish(&soak->store_link);
	for (uint32_t i = 0; has_worker_links(soak) && i < soak->terms.workers;
	     i++)
		relay_finish(&soak->worker_links[i]);
}

void soak_play(const soak_terms_t *terms, soak_result_t *result)
{
	static soak_t soak;
	static caller_t callers[SOAK_CALLERS_MAX];
	uint32_t count = terms->silences || terms->bursts ? SOAK_CALLERS_MAX
							  : terms->callers;

	memset(&soak, 0, sizeof(soak));
	memset(result, 0, sizeof(*result));
	soak.terms = *terms;
	soak.result = result;
	soak.draws = terms->seed;
	soak.series_draws = terms->seed ^ 0x5e41e5;
	soak.evacuation_draws = terms->seed ^ 0xe7ac;
	soak.path_draws = terms->seed ^ 0x9a7;
	soak.strain_draws = terms->seed ^ 0x57a1;
	soak.burst_draws = terms->seed ^ 0xb0457;
	soak.statement_draws = terms->seed ^ 0x57a7e;
	soak.began_ms = process_now_ms();
	soak.silence_draws = terms->seed ^ 0x51e7ce;
	soak.version = 10;
	soak.wall_offset_ms = sys_wall_msec() - process_now_ms();
	if (terms->paths) {
		edge_start_engine_paths(&soak.edge, terms->hosts,
					terms->workers);
		list_workers(&soak);
	} else {
		edge_start_engines(&soak.edge, terms->hosts, terms->workers);
		soak.edge.early_rejection = terms->bursts;
		start_links(&soak);
	}
	soak.long_streams = terms->silences;
	for (uint32_t i = 0; i < count; i++) {
		callers[i].soak = &soak;
		callers[i].draws = terms->seed * 1000 + i;
		callers[i].extra = i >= terms->callers;
		callers[i].repeats = !i;
		ck_assert_int_eq(pthread_create(&callers[i].thread, NULL,
						run_caller, &callers[i]),
				 0);
	}
	play_faults(&soak);
	check_recovery(&soak);
	soak.stopping = true;
	for (uint32_t i = 0; i < count; i++)
		pthread_join(callers[i].thread, NULL);
	for (uint32_t i = 0; i < terms->workers; i++)
		read_runs(&soak, i);
	check_all(&soak);
	edge_stop(&soak.edge);
	finish_links(&soak);
}
