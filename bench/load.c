/*
 * Drives real daemons over loopback with a mix of requests and checks what
 * comes back: every whole answer against what the engine must have said, every
 * key against a second run. With --direct it asks the endpoints themselves;
 * with --compare it asks both in turn, in one run, so that what the daemons
 * add can be given as a ratio.
 */

#include "load_mix.h"
#include "load_tally.h"

#include "../standin/answer.h"
#include "../standin/client.h"

#include <getopt.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define PORTS_MAX 64
#define THREADS_MAX 512
#define TIMEOUT_S 120
#define KEY_MAX 256
#define KEY_TRIES 50
#define KEY_PAUSE_US 100000
#define REPEAT_EVERY 4

/* Exit statuses besides those of the C library. */
enum { EXIT_USAGE = 2 };

typedef struct port_list {
	uint32_t count;
	uint16_t ports[PORTS_MAX];
} port_list_t;

typedef struct load_options {
	port_list_t entries;
	port_list_t engines;
	port_list_t services;
	const char *mix;
	const char *api_key;
	uint64_t requests;
	uint32_t concurrency;
	uint32_t seconds;
	uint64_t seed;
	bool direct;
	bool compare;
	bool quiet;
} load_options_t;

typedef struct load {
	load_options_t options;
	load_mix_t mix;
	load_tally_t tally; /* through the daemons, or direct with --direct */
	load_tally_t direct; /* the direct half of --compare */
	atomic_uint_fast64_t next;
	atomic_uint_fast64_t running;
	int64_t started_us;
} load_t;

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* One call, with the texts that its headers point to. */
typedef struct load_call {
	client_call_t call;
	int headers;
	char bearer[KEY_MAX + 16];
	char deadline[16];
	char key[KEY_MAX];
	char id[PIMENTO_REQID_TEXT_SIZE];
} load_call_t;

static void add_header(load_call_t *call, const char *name, const char *value)
{
	call->call.headers[call->headers++] = (client_header_t){ name, value };
}

static void fill_call(load_call_t *call, const load_request_t *request)
{
	const load_kind_t *kind = request->kind;
	client_call_t *to = &call->call;

	memset(call, 0, sizeof(*call));
	to->timeout_s = TIMEOUT_S;
	to->body = request->body;
	to->length = request->length;
	to->method = kind->model[0] ? "POST" : kind->method;
	to->path = kind->path;
	if (kind->model[0])
		to->path = request->chat ? "/v1/chat/completions"
					 : "/v1/completions";
	add_header(call, "Content-Type", "application/json");
}

/* What only the daemons ask for. */
static void add_caller(load_call_t *call, const load_t *load,
		       const load_kind_t *kind)
{
	snprintf(call->bearer, sizeof(call->bearer), "Bearer %s",
		 load->options.api_key);
	snprintf(call->deadline, sizeof(call->deadline), "%" PRIu32,
		 kind->patience_ms);
	add_header(call, "Authorization", call->bearer);
	add_header(call, "Pimento-Deadline-Ms", call->deadline);
	if (kind->contract[0])
		add_header(call, "Pimento-Contract", kind->contract);
	if (call->key[0])
		add_header(call, "Idempotency-Key", call->key);
}

static bool read_issued(const client_reply_t *reply, char key[KEY_MAX])
{
	json_t *json = client_json(reply);
	const char *text = json_string_value(
		json_array_get(json_object_get(json, "keys"), 0));

	if (text)
		snprintf(key, KEY_MAX, "%s", text);
	json_decref(json);
	return text != NULL;
}

/* Daemons that have just started issue keys once they know enough others. */
static bool issue_key(const load_t *load, uint16_t port, char key[KEY_MAX])
{
	char bearer[KEY_MAX + 16];
	client_call_t call = { .port = port,
			       .path = "/v1/keys",
			       .headers = { { "Authorization", bearer } },
			       .body = "{\"count\":1}" };
	bool issued = false;

	snprintf(bearer, sizeof(bearer), "Bearer %s", load->options.api_key);
	for (int i = 0; i < KEY_TRIES && !issued; i++) {
		client_reply_t reply;

		if (i)
			usleep(KEY_PAUSE_US);
		client_call(&reply, &call);
		issued = read_issued(&reply, key);
		client_reply_finish(&reply);
	}
	return issued;
}

static bool model_answer_right(const load_request_t *request,
			       const client_reply_t *reply)
{
	client_answer_t answer;
	char *whole;
	size_t length = 0;
	int error = request->stream ? client_stream_answer(&answer, reply)
				    : client_whole_answer(&answer, reply);
	bool right;

	whole = answer_whole(
		answer_seed(request->prompt, strlen(request->prompt)),
		request->answer_tokens, &length);
	right = !error && whole && answer.done && answer.length == length &&
		!memcmp(answer.text, whole, length);
	free(whole);
	client_answer_finish(&answer);
	return right;
}

/* The service's answer repeats the path and size that it was asked with. */
static bool service_answer_right(const load_request_t *request,
				 const client_reply_t *reply, int64_t *run)
{
	json_t *json = client_json(reply);
	const char *path = json_string_value(json_object_get(json, "path"));
	json_int_t size =
		json_integer_value(json_object_get(json, "echo_bytes"));
	bool right = path && !strcmp(path, request->kind->path) &&
		     size == (json_int_t)request->length;

	*run = json_integer_value(json_object_get(json, "run"));
	json_decref(json);
	return right;
}

static load_outcome_t judge(const load_request_t *request,
			    const client_reply_t *reply, int64_t *run)
{
	bool right;

	*run = 0;
	if (reply->whole && reply->status == 200) {
		right = request->kind->model[0]
				? model_answer_right(request, reply)
				: service_answer_right(request, reply, run);
		if (!right)
			return LOAD_NOT_WHOLE;
		return reply->total_us <= (int64_t)request->kind->patience_ms *
						  1000
			       ? LOAD_IN_TIME
			       : LOAD_LATE;
	}
	if (!strcmp(reply->verdict, "not-run"))
		return LOAD_NOT_RUN;
	if (!strcmp(reply->verdict, "may-have-run"))
		return LOAD_MAY_HAVE_RUN;
	return !strcmp(reply->verdict, "ran") ? LOAD_RAN : LOAD_NO_ANSWER;
}

static void show_failure(const load_t *load, const load_request_t *request,
			 const client_reply_t *reply, load_outcome_t outcome)
{
	if (load->options.quiet || outcome == LOAD_IN_TIME ||
	    outcome == LOAD_LATE)
		return;
	fprintf(stderr, "%s: status %ld, verdict \"%s\", %.120s\n",
		request->kind->contract, reply->status, reply->verdict,
		outcome == LOAD_NOT_WHOLE ? "answer not whole" : reply->body);
}

static uint16_t pick_port(const port_list_t *list, uint64_t number)
{
	return list->count ? list->ports[number % list->count] : 0;
}

/* Some callers send a charge again through another host: still one run. */
static void repeat_key(load_t *load, const load_request_t *request,
		       load_call_t *call, uint64_t number, int64_t run)
{
	client_reply_t reply;
	int64_t again;

	call->call.port = pick_port(&load->options.entries, number + 1);
	client_call(&reply, &call->call);
	if (judge(request, &reply, &again) <= LOAD_LATE && again != run) {
		fprintf(stderr,
			"%s: key %s ran again: run %" PRId64 " and %" PRId64
			"\n",
			request->kind->contract, call->key, run, again);
		load_tally_twice(&load->tally);
	}
	client_reply_finish(&reply);
}

static void send_through(load_t *load, const load_request_t *request,
			 uint64_t number)
{
	uint16_t port = pick_port(&load->options.entries, number);
	client_reply_t reply;
	load_outcome_t outcome;
	load_call_t call;
	int64_t run;

	fill_call(&call, request);
	call.call.port = port;
	if (request->kind->keyed && !issue_key(load, port, call.key)) {
		load_tally_sent(&load->tally, request->kind_index);
		load_tally_add(&load->tally, request->kind_index, LOAD_NOT_RUN,
			       0, 0);
		return;
	}
	add_caller(&call, load, request->kind);
	load_tally_sent(&load->tally, request->kind_index);
	client_call(&reply, &call.call);
	outcome = judge(request, &reply, &run);
	load_tally_add(&load->tally, request->kind_index, outcome,
		       reply.first_us, reply.total_us);
	show_failure(load, request, &reply, outcome);
	client_reply_finish(&reply);
	if (call.key[0] && outcome <= LOAD_LATE && number % REPEAT_EVERY == 0)
		repeat_key(load, request, &call, number, run);
}

static void send_direct(load_t *load, load_tally_t *tally,
			const load_request_t *request, uint64_t number)
{
	const port_list_t *list = request->kind->model[0]
					  ? &load->options.engines
					  : &load->options.services;
	client_reply_t reply;
	load_outcome_t outcome;
	load_call_t call;
	int64_t run;

	fill_call(&call, request);
	call.call.port = pick_port(list, number);
	pimento_reqid_format(
		(pimento_reqid_t){ (uint64_t)load->started_us, number },
		call.id);
	add_header(&call, "X-Request-Id", call.id);
	load_tally_sent(tally, request->kind_index);
	client_call(&reply, &call.call);
	outcome = judge(request, &reply, &run);
	load_tally_add(tally, request->kind_index, outcome, reply.first_us,
		       reply.total_us);
	show_failure(load, request, &reply, outcome);
	client_reply_finish(&reply);
}

/*
 * Of two requests of a comparison, alike but for their text, one goes direct
 * and one through, and which one is first changes from pair to pair.
 */
static void send_one(load_t *load, uint64_t number)
{
	uint64_t pair = load->options.compare ? number / 2 : number;
	bool direct = load->options.direct ||
		      (load->options.compare && (number + pair) % 2 == 0);
	uint32_t kind = load_mix_pick(&load->mix, load->options.seed, pair);
	load_request_t request;

	if (load_request_init(&request, &load->mix, kind, load->options.seed,
			      pair, (uint32_t)(number % 2)) != PIMENTO_OK)
		abort();
	if (!direct)
		send_through(load, &request, pair);
	else if (load->options.compare)
		send_direct(load, &load->direct, &request, pair);
	else
		send_direct(load, &load->tally, &request, pair);
	load_request_finish(&request);
}

static bool is_over(const load_t *load)
{
	int64_t span = (int64_t)load->options.seconds * 1000000;

	return span && now_us() - load->started_us >= span;
}

static void *run_caller(void *data)
{
	load_t *load = data;

	while (!is_over(load)) {
		uint64_t number = atomic_fetch_add(&load->next, 1);

		if (number >= load->options.requests)
			break;
		send_one(load, number);
	}
	atomic_fetch_sub(&load->running, 1);
	return NULL;
}

static void show_progress(load_t *load)
{
	uint64_t answered = load_tally_sum(&load->tally, LOAD_IN_TIME) +
			    load_tally_sum(&load->tally, LOAD_LATE);

	if (load->options.quiet)
		return;
	fprintf(stderr,
		"%5.1f s: %" PRIu64 " sent, %" PRIu64 " answered, %" PRIu64
		" refused\n",
		(double)(now_us() - load->started_us) / 1e6,
		load_tally_sum_sent(&load->tally), answered,
		load_tally_sum(&load->tally, LOAD_NOT_RUN) +
			load_tally_sum(&load->tally, LOAD_MAY_HAVE_RUN));
}

static void run_callers(load_t *load)
{
	pthread_t threads[THREADS_MAX];
	uint32_t count = 0;
	int ticks = 0;

	load->started_us = now_us();
	atomic_store(&load->running, load->options.concurrency);
	while (count < load->options.concurrency) {
		if (pthread_create(&threads[count], NULL, run_caller, load))
			abort();
		count++;
	}
	while (atomic_load(&load->running)) {
		usleep(100000);
		if (++ticks % 20 == 0)
			show_progress(load);
	}
	while (count)
		pthread_join(threads[--count], NULL);
	show_progress(load);
}

/* What the endpoints say of their runs. */
typedef struct load_runs {
	bool known; /* every endpoint answered */
	uint64_t requests;
	uint64_t most; /* starts of one request id, or of one key */
	uint64_t prefilled;
	uint64_t wasted; /* of that, by runs that did not finish */
} load_runs_t;

static uint64_t run_field(const json_t *run, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(run, name));
}

static void add_runs(load_runs_t *runs, json_t *all, json_t *json)
{
	const char *id;
	json_t *run;

	json_object_foreach(json, id, run)
	{
		uint64_t started =
			run_field(run, "started") +
			(uint64_t)json_integer_value(json_object_get(all, id));
		uint64_t prefilled = run_field(run, "prefilled_tokens");

		json_object_set_new(all, id, json_integer((json_int_t)started));
		if (started > runs->most)
			runs->most = started;
		runs->prefilled += prefilled;
		if (run_field(run, "finished") < run_field(run, "started"))
			runs->wasted += prefilled;
	}
}

static void ask_runs(load_runs_t *runs, json_t *all, const port_list_t *list,
		     const char *path)
{
	for (uint32_t i = 0; i < list->count; i++) {
		client_call_t call = { .port = list->ports[i], .path = path };
		client_reply_t reply;
		json_t *json = NULL;

		if (client_call(&reply, &call) == 0)
			json = client_json(&reply);
		if (json)
			add_runs(runs, all, json);
		else
			runs->known = false;
		json_decref(json);
		client_reply_finish(&reply);
	}
}

static load_runs_t collect_runs(const load_options_t *options)
{
	load_runs_t runs = { .known = true };
	json_t *requests = json_object();
	json_t *keys = json_object();

	ask_runs(&runs, requests, &options->engines, "/runs");
	ask_runs(&runs, requests, &options->services, "/runs");
	ask_runs(&runs, keys, &options->services, "/keys");
	runs.requests = json_object_size(requests);
	json_decref(requests);
	json_decref(keys);
	return runs;
}

static void print_ratio(const char *name, int64_t direct, int64_t through)
{
	printf("%-10s direct %9.2f ms, through %9.2f ms, ratio %.3f, "
	       "added %.2f ms\n",
	       name, (double)direct / 1000.0, (double)through / 1000.0,
	       direct ? (double)through / (double)direct : 0.0,
	       (double)(through - direct) / 1000.0);
}

static void print_comparison(load_t *load)
{
	load_latency_t through = load_tally_latency(&load->tally);
	load_latency_t direct = load_tally_latency(&load->direct);

	printf("direct:\n");
	load_tally_print(&load->direct, &load->mix, stdout);
	printf("%zu direct, %zu through the daemons\n", direct.count,
	       through.count);
	print_ratio("first p50", direct.first_p50, through.first_p50);
	print_ratio("first p99", direct.first_p99, through.first_p99);
	print_ratio("total p50", direct.total_p50, through.total_p50);
	print_ratio("total p99", direct.total_p99, through.total_p99);
}

static bool verdict(load_t *load, const load_runs_t *runs)
{
	uint64_t not_whole = load_tally_sum(&load->tally, LOAD_NOT_WHOLE) +
			     load_tally_sum(&load->direct, LOAD_NOT_WHOLE) +
			     load_tally_sum(&load->tally, LOAD_NO_ANSWER) +
			     load_tally_sum(&load->direct, LOAD_NO_ANSWER);
	uint64_t answered = load_tally_sum(&load->tally, LOAD_IN_TIME) +
			    load_tally_sum(&load->tally, LOAD_LATE);
	bool good = runs->known && runs->most <= 1 && !not_whole &&
		    !load->tally.ran_twice && answered;

	printf("runs of one request or key: at most %" PRIu64 "%s\n",
	       runs->most, runs->known ? "" : " (an endpoint did not answer)");
	printf("prefill: %" PRIu64 " tokens, wasted %" PRIu64 " (%.2f %%)\n",
	       runs->prefilled, runs->wasted,
	       runs->prefilled
		       ? 100.0 * (double)runs->wasted / (double)runs->prefilled
		       : 0.0);
	printf("verdict: %s\n",
	       good ? "every answer whole, nothing ran twice" : "FAILED");
	return good;
}

static bool add_port(port_list_t *list, const char *text)
{
	const char *colon = strrchr(text, ':');
	unsigned long port = strtoul(colon ? colon + 1 : text, NULL, 10);

	if (!port || port > UINT16_MAX || list->count == PORTS_MAX)
		return false;
	if (colon && strncmp(text, "127.0.0.1:", strlen("127.0.0.1:")) != 0)
		return false;
	list->ports[list->count++] = (uint16_t)port;
	return true;
}

static void read_ports(port_list_t *list, const char *name, char *text)
{
	char *rest = text;
	char *part;

	while ((part = strsep(&rest, ",")))
		if (*part && !add_port(list, part)) {
			fprintf(stderr, "--%s: %s: not 127.0.0.1:PORT\n", name,
				part);
			exit(EXIT_USAGE);
		}
}

static uint64_t read_varint(const char *name, const char *text, uint64_t most)
{
	char *end;
	uint64_t number = strtoull(text, &end, 10);

	if (*text && !*end && number <= most)
		return number;
	fprintf(stderr, "--%s: %s: not a number up to %" PRIu64 "\n", name,
		text, most);
	exit(EXIT_USAGE);
}

static const char usage[] =
	"usage: load --entries HOST:PORT,... [options]\n"
	"  --entries LIST      daemons' HTTP addresses on loopback\n"
	"  --engines LIST      engines, to read their runs, or to ask directly\n"
	"  --services LIST     plain services, likewise\n"
	"  --mix NAME|FILE     qurum, druckstube, or a JSON file\n"
	"  --requests N        stop after N requests (default 200)\n"
	"  --seconds N         stop after N seconds (default: no limit)\n"
	"  --concurrency N     callers at once (default 8)\n"
	"  --key APIKEY        the account's key (default demo-key)\n"
	"  --seed N            another sequence of requests\n"
	"  --direct            ask the endpoints, not the daemons\n"
	"  --compare           ask both in turn and print the ratio\n"
	"  --quiet             no progress and no single failures\n"
	"  --help --version\n";

enum {
	OPT_ENTRIES = 1,
	OPT_ENGINES,
	OPT_SERVICES,
	OPT_MIX,
	OPT_REQUESTS,
	OPT_SECONDS,
	OPT_CONCURRENCY,
	OPT_KEY,
	OPT_SEED,
	OPT_DIRECT,
	OPT_COMPARE,
	OPT_QUIET,
	OPT_HELP,
	OPT_VERSION
};

static const struct option long_options[] = {
	{ "entries", required_argument, NULL, OPT_ENTRIES },
	{ "engines", required_argument, NULL, OPT_ENGINES },
	{ "services", required_argument, NULL, OPT_SERVICES },
	{ "mix", required_argument, NULL, OPT_MIX },
	{ "requests", required_argument, NULL, OPT_REQUESTS },
	{ "seconds", required_argument, NULL, OPT_SECONDS },
	{ "concurrency", required_argument, NULL, OPT_CONCURRENCY },
	{ "key", required_argument, NULL, OPT_KEY },
	{ "seed", required_argument, NULL, OPT_SEED },
	{ "direct", no_argument, NULL, OPT_DIRECT },
	{ "compare", no_argument, NULL, OPT_COMPARE },
	{ "quiet", no_argument, NULL, OPT_QUIET },
	{ "help", no_argument, NULL, OPT_HELP },
	{ "version", no_argument, NULL, OPT_VERSION },
	{ NULL, 0, NULL, 0 },
};

static void set_option(load_options_t *options, int option, char *value)
{
	switch (option) {
	case OPT_ENTRIES:
		read_ports(&options->entries, "entries", value);
		break;
	case OPT_ENGINES:
		read_ports(&options->engines, "engines", value);
		break;
	case OPT_SERVICES:
		read_ports(&options->services, "services", value);
		break;
	case OPT_MIX:
		options->mix = value;
		break;
	case OPT_REQUESTS:
		options->requests = read_varint("requests", value, 100000000);
		break;
	case OPT_SECONDS:
		options->seconds =
			(uint32_t)read_varint("seconds", value, 86400);
		break;
	case OPT_CONCURRENCY:
		options->concurrency = (uint32_t)read_varint(
			"concurrency", value, THREADS_MAX);
		break;
	case OPT_KEY:
		options->api_key = value;
		break;
	case OPT_SEED:
		options->seed = read_varint("seed", value, UINT64_MAX);
		break;
	case OPT_DIRECT:
		options->direct = true;
		break;
	case OPT_COMPARE:
		options->compare = true;
		break;
	case OPT_QUIET:
		options->quiet = true;
		break;
	case OPT_HELP:
		fputs(usage, stdout);
		exit(EXIT_SUCCESS);
	case OPT_VERSION:
		puts("load " PIMENTO_VERSION);
		exit(EXIT_SUCCESS);
	default:
		fputs(usage, stderr);
		exit(EXIT_USAGE);
	}
}

static void check_options(const load_options_t *options)
{
	if (options->concurrency &&
	    (options->entries.count || options->direct) &&
	    (options->engines.count || !options->direct))
		return;
	fputs(usage, stderr);
	exit(EXIT_USAGE);
}

int main(int argc, char **argv)
{
	static load_t load = {
		.options = { .mix = "qurum",
			     .api_key = "demo-key",
			     .requests = 200,
			     .concurrency = 8,
			     .seed = 1 },
	};
	load_runs_t runs;
	bool good;
	int option;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1)
		set_option(&load.options, option, optarg);
	check_options(&load.options);
	if (load_mix_read(&load.mix, load.options.mix) != PIMENTO_OK) {
		fprintf(stderr, "load: %s: not a mix\n", load.options.mix);
		return EXIT_USAGE;
	}
	load_tally_init(&load.tally);
	load_tally_init(&load.direct);
	run_callers(&load);
	load_tally_print(&load.tally, &load.mix, stdout);
	if (load.options.compare)
		print_comparison(&load);
	runs = collect_runs(&load.options);
	good = verdict(&load, &runs);
	load_tally_finish(&load.tally);
	load_tally_finish(&load.direct);
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
