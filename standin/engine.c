/*
 * A model engine's stand-in: an OpenAI-style interface with streams that can
 * be resumed and cancelled, over batch.c. A job belongs to the engine, not to
 * the connection it came by, so that it runs to its end whoever still reads.
 */

#include "answer.h"
#include "batch.h"
#include "common.h"

#include <getopt.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENT_MAX 512
#define MODEL_MAX 64
#define MAX_TOKENS_MAX 1000000

typedef struct engine {
	standin_t standin;
	batch_t batch;
	pthread_mutex_t mutex; /* guards what follows */
	char model[MODEL_MAX];
	char role[MODEL_MAX];
	bool fencing;
	int64_t highest_fencing;
	int orders;
	atomic_uint_fast64_t ids;
} engine_t;

/* One reader of one job. Ends early where a close was asked for. */
typedef struct reader {
	engine_t *engine;
	job_t *job;
	uint32_t next;
	uint32_t stop_at; /* UINT32_MAX: nowhere */
	bool close_after;
	bool ended; /* the last event is rendered */
	char model[MODEL_MAX];
	char text[EVENT_MAX];
	size_t length;
	size_t sent;
} reader_t;

static size_t render_token(reader_t *reader)
{
	const job_t *job = reader->job;
	char piece[ANSWER_PIECE_MAX];
	bool last = reader->next + 1 == job->max_tokens;
	int length;

	answer_piece(job->seed, reader->next, piece);
	length = snprintf(
		reader->text, EVENT_MAX,
		"id: %" PRIu32 "\ndata: {\"id\":\"cmpl-%016" PRIx64
		"\",\"object\":\"%s\",\"created\":0,\"model\":\"%s\","
		"\"choices\":[{\"index\":0,%s\"%s\"%s,"
		"\"finish_reason\":%s}]}\n\n",
		reader->next, job->seed,
		job->chat ? "chat.completion.chunk" : "text_completion",
		reader->model,
		job->chat ? "\"delta\":{\"content\":" : "\"text\":", piece,
		job->chat ? "}" : "", last ? "\"length\"" : "null");
	return (size_t)length;
}

/* Renders the next event; false when the stream breaks off here. */
static bool render(reader_t *reader)
{
	job_state_t state;
	uint32_t ready;

	if (reader->next >= reader->stop_at)
		return false;
	ready = batch_wait(&reader->engine->batch, reader->job, reader->next,
			   &state);
	reader->sent = 0;
	if (ready > reader->next) {
		reader->length = render_token(reader);
		reader->next++;
		return true;
	}
	if (state != JOB_FINISHED)
		return false;
	reader->length =
		(size_t)snprintf(reader->text, EVENT_MAX, "data: [DONE]\n\n");
	reader->ended = true;
	return true;
}

static bool more_is_ready(reader_t *reader)
{
	job_t *job = reader->job;
	bool ready;

	pthread_mutex_lock(&reader->engine->batch.mutex);
	ready = job->generated > reader->next;
	pthread_mutex_unlock(&reader->engine->batch.mutex);
	return ready;
}

static ssize_t read_stream(void *data, uint64_t offset, char *out, size_t max)
{
	reader_t *reader = data;
	size_t filled = 0;

	(void)offset;
	while (filled < max) {
		size_t part = reader->length - reader->sent;

		if (!part) {
			if (filled && !more_is_ready(reader))
				break;
			if (reader->ended)
				return reader->close_after ? U_STREAM_ERROR
							   : U_STREAM_END;
			if (!render(reader))
				return filled ? (ssize_t)filled
					      : U_STREAM_ERROR;
			continue;
		}
		if (part > max - filled)
			part = max - filled;
		memcpy(out + filled, reader->text + reader->sent, part);
		reader->sent += part;
		filled += part;
	}
	return (ssize_t)filled;
}

static void free_stream(void *data)
{
	reader_t *reader = data;

	batch_release(&reader->engine->batch, reader->job);
	free(reader);
}

/* The model may change by an order while its answers are being read. */
static void model_name(engine_t *engine, char name[MODEL_MAX])
{
	pthread_mutex_lock(&engine->mutex);
	snprintf(name, MODEL_MAX, "%s", engine->model);
	pthread_mutex_unlock(&engine->mutex);
}

static int send_stream(engine_t *engine, struct _u_response *response,
		       job_t *job, uint32_t from)
{
	reader_t *reader = calloc(1, sizeof(*reader));

	if (!reader) {
		batch_release(&engine->batch, job);
		return U_CALLBACK_ERROR;
	}
	reader->engine = engine;
	reader->job = job;
	reader->next = from;
	model_name(engine, reader->model);
	reader->stop_at = UINT32_MAX;
	if (standin_close_take(&engine->standin, CLOSE_DURING))
		reader->stop_at = from + (job->max_tokens - from) / 2;
	reader->close_after = standin_close_take(&engine->standin, CLOSE_AFTER);
	ulfius_add_header_to_response(response, "Content-Type",
				      "text/event-stream");
	ulfius_set_stream_response(response, 200, read_stream, free_stream,
				   U_STREAM_SIZE_UNKNOWN, STANDIN_STREAM_BLOCK,
				   reader);
	return U_CALLBACK_COMPLETE;
}

static json_t *whole_json(engine_t *engine, const job_t *job)
{
	char id[32];
	char model[MODEL_MAX];
	char *text = answer_whole(job->seed, job->max_tokens, NULL);
	json_t *choice;

	if (!text)
		return NULL;
	model_name(engine, model);
	snprintf(id, sizeof(id), "cmpl-%016" PRIx64, job->seed);
	if (job->chat)
		choice = json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0,
				   "message", "role", "assistant", "content",
				   text, "finish_reason", "length");
	else
		choice = json_pack("{s:i,s:s,s:s}", "index", 0, "text", text,
				   "finish_reason", "length");
	free(text);
	return json_pack(
		"{s:s,s:s,s:i,s:s,s:[o],s:{s:i,s:i,s:i}}", "id", id, "object",
		job->chat ? "chat.completion" : "text_completion", "created", 0,
		"model", engine->model, "choices", choice, "usage",
		"prompt_tokens", (int)job->prompt_tokens, "completion_tokens",
		(int)job->max_tokens, "total_tokens",
		(int)(job->prompt_tokens + job->max_tokens));
}

static int send_whole(engine_t *engine, struct _u_response *response,
		      job_t *job)
{
	job_state_t state = JOB_WAITING;
	uint32_t count = 0;
	json_t *object;

	while (state == JOB_WAITING || state == JOB_RUNNING)
		count = batch_wait(&engine->batch, job, count, &state);
	object = state == JOB_FINISHED ? whole_json(engine, job) : NULL;
	batch_release(&engine->batch, job);
	if (!object)
		return standin_error(response, 499, "cancelled");
	return standin_answer(&engine->standin, response, object);
}

static void request_id(engine_t *engine, const struct _u_request *request,
		       char id[RUNS_ID_MAX])
{
	const char *given = u_map_get_case(request->map_header, "X-Request-Id");

	if (given && *given)
		snprintf(id, RUNS_ID_MAX, "%s", given);
	else
		snprintf(id, RUNS_ID_MAX, "%.64s-%" PRIuFAST64,
			 engine->standin.name,
			 atomic_fetch_add(&engine->ids, 1));
}

static int on_completion(const struct _u_request *request,
			 struct _u_response *response, void *data)
{
	engine_t *engine = data;
	json_t *body;
	json_t *max_tokens;
	char *prompt;
	char id[RUNS_ID_MAX];
	bool stream;
	json_int_t count = ANSWER_DEFAULT_TOKENS;
	job_t *job;

	if (standin_closed_before())
		return U_CALLBACK_COMPLETE;
	body = standin_body(request);
	prompt = answer_prompt(body);
	max_tokens = json_object_get(body, "max_tokens");
	stream = json_is_true(json_object_get(body, "stream"));
	if (max_tokens)
		count = json_integer_value(max_tokens);
	json_decref(body);
	if (!prompt || count < 1 || count > MAX_TOKENS_MAX) {
		free(prompt);
		return standin_error(response, 400, "malformed request");
	}
	request_id(engine, request, id);
	job = batch_submit(&engine->batch, id, prompt, (uint32_t)count,
			   strstr(request->url_path, "/chat/") != NULL);
	if (!job)
		return standin_error(response, 503, "full");
	ulfius_add_header_to_response(response, "X-Request-Id", id);
	if (stream)
		return send_stream(engine, response, job, 0);
	return send_whole(engine, response, job);
}

static int on_resume(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	engine_t *engine = data;
	int64_t from = standin_query(request, "from", 0);
	job_t *job =
		batch_find(&engine->batch, u_map_get(request->map_url, "id"));

	if (!job)
		return standin_error(response, 404, "no such stream");
	if (standin_query(request, "whole", 0))
		return send_whole(engine, response, job);
	if (from < 0 || from > job->max_tokens) {
		batch_release(&engine->batch, job);
		return standin_error(response, 400, "no such event");
	}
	return send_stream(engine, response, job, (uint32_t)from);
}

static int on_cancel(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	engine_t *engine = data;
	job_t *job =
		batch_find(&engine->batch, u_map_get(request->map_url, "id"));

	if (!job)
		return standin_error(response, 404, "no such stream");
	batch_cancel(&engine->batch, job);
	batch_release(&engine->batch, job);
	return standin_json(response, 200, json_pack("{s:b}", "cancelled", 1));
}

static int on_load(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	engine_t *engine = data;

	(void)request;
	return standin_json(response, 200, batch_load(&engine->batch));
}

static int on_runs(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	engine_t *engine = data;

	(void)request;
	return standin_json(response, 200, batch_runs(&engine->batch));
}

static int on_events(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	engine_t *engine = data;
	uint64_t after = (uint64_t)standin_query(request, "after", 0);

	return standin_json(response, 200,
			    json_pack("{s:o}", "events",
				      batch_events(&engine->batch, after)));
}

/* Carries out an order, or refuses one older than the newest seen. */
static bool order(engine_t *engine, const json_t *body, int64_t *highest)
{
	int64_t number = json_integer_value(json_object_get(body, "fencing"));
	const char *model = json_string_value(json_object_get(body, "model"));
	const char *role = json_string_value(json_object_get(body, "role"));
	bool accepted;

	pthread_mutex_lock(&engine->mutex);
	accepted = !engine->fencing || number >= engine->highest_fencing;
	if (number > engine->highest_fencing)
		engine->highest_fencing = number;
	if (accepted)
		engine->orders++;
	if (accepted && model && strlen(model) < MODEL_MAX)
		snprintf(engine->model, MODEL_MAX, "%s", model);
	if (accepted && role && strlen(role) < MODEL_MAX)
		snprintf(engine->role, MODEL_MAX, "%s", role);
	*highest = engine->highest_fencing;
	pthread_mutex_unlock(&engine->mutex);
	return accepted;
}

static int on_order(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	engine_t *engine = data;
	json_t *body = standin_body(request);
	int64_t highest;
	bool accepted;

	if (!json_is_string(json_object_get(body, "order"))) {
		json_decref(body);
		return standin_error(response, 400, "malformed order");
	}
	accepted = order(engine, body, &highest);
	json_decref(body);
	return standin_json(response, accepted ? 200 : 409,
			    json_pack("{s:b,s:I}", "accepted", accepted,
				      "fencing", (json_int_t)highest));
}

static int on_orders(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	engine_t *engine = data;
	json_t *object;

	(void)request;
	pthread_mutex_lock(&engine->mutex);
	object = json_pack("{s:i,s:I,s:s,s:s}", "orders", engine->orders,
			   "fencing", (json_int_t)engine->highest_fencing,
			   "model", engine->model, "role", engine->role);
	pthread_mutex_unlock(&engine->mutex);
	return standin_json(response, 200, object);
}

static int on_speed(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	engine_t *engine = data;
	json_t *body = standin_body(request);
	double factor = json_number_value(json_object_get(body, "factor"));

	json_decref(body);
	if (factor < 0)
		return standin_error(response, 400, "factor below zero");
	batch_set_speed(&engine->batch, factor);
	return standin_json(response, 200, json_pack("{s:b}", "ok", 1));
}

static int on_stall(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	engine_t *engine = data;
	json_t *body = standin_body(request);

	batch_stall(&engine->batch,
		    json_integer_value(json_object_get(body, "ms")));
	json_decref(body);
	return standin_json(response, 200, json_pack("{s:b}", "ok", 1));
}

static int on_leave(const struct _u_request *request,
		    struct _u_response *response, void *data)
{
	engine_t *engine = data;

	(void)request;
	batch_leave(&engine->batch);
	return standin_json(response, 200, json_pack("{s:b}", "ok", 1));
}

static bool is_call(const char *url)
{
	return !strncmp(url, "/v1/completions", strlen("/v1/completions")) ||
	       !strncmp(url, "/v1/chat/", strlen("/v1/chat/"));
}

static void routes(engine_t *engine)
{
	static const struct {
		const char *method;
		const char *path;
		standin_callback_t callback;
	} table[] = {
		{ "POST", "/v1/completions", on_completion },
		{ "POST", "/v1/chat/completions", on_completion },
		{ "GET", "/v1/streams/:id", on_resume },
		{ "DELETE", "/v1/streams/:id", on_cancel },
		{ "GET", "/v1/cache/events", on_events },
		{ "POST", "/v1/orders", on_order },
		{ "GET", "/v1/orders", on_orders },
		{ "GET", "/load", on_load },
		{ "GET", "/runs", on_runs },
		{ "POST", "/control/speed", on_speed },
		{ "POST", "/control/stall", on_stall },
		{ "POST", "/control/leave", on_leave },
	};

	for (size_t i = 0; i < sizeof(table) / sizeof(table[0]); i++)
		standin_route(&engine->standin, table[i].method, table[i].path,
			      table[i].callback, engine);
}

typedef struct engine_options {
	const char *name;
	const char *model;
	uint16_t port;
	bool fencing;
	batch_options_t batch;
} engine_options_t;

enum {
	OPT_PORT = 1,
	OPT_NAME,
	OPT_MODEL,
	OPT_PREFILL,
	OPT_DECODE,
	OPT_BATCH,
	OPT_CACHE,
	OPT_LOAD_LAG,
	OPT_EVENT_LAG,
	OPT_FENCING
};

static const struct option long_options[] = {
	{ "port", required_argument, NULL, OPT_PORT },
	{ "name", required_argument, NULL, OPT_NAME },
	{ "model", required_argument, NULL, OPT_MODEL },
	{ "prefill", required_argument, NULL, OPT_PREFILL },
	{ "decode", required_argument, NULL, OPT_DECODE },
	{ "batch", required_argument, NULL, OPT_BATCH },
	{ "cache-tokens", required_argument, NULL, OPT_CACHE },
	{ "load-lag-ms", required_argument, NULL, OPT_LOAD_LAG },
	{ "event-lag-ms", required_argument, NULL, OPT_EVENT_LAG },
	{ "fencing", no_argument, NULL, OPT_FENCING },
	{ NULL, 0, NULL, 0 },
};

static void set_option(engine_options_t *options, int option, const char *value)
{
	switch (option) {
	case OPT_PORT:
		options->port =
			(uint16_t)standin_number("port", value, 0, 65535);
		break;
	case OPT_NAME:
		options->name = value;
		break;
	case OPT_MODEL:
		options->model = value;
		break;
	case OPT_PREFILL:
		options->batch.prefill =
			(double)standin_number("prefill", value, 1, 100000000);
		break;
	case OPT_DECODE:
		options->batch.decode =
			(double)standin_number("decode", value, 1, 100000000);
		break;
	case OPT_BATCH:
		options->batch.batch =
			(uint32_t)standin_number("batch", value, 1, 10000);
		break;
	case OPT_CACHE:
		options->batch.cache_tokens = (uint32_t)standin_number(
			"cache-tokens", value, 0, 100000000);
		break;
	case OPT_LOAD_LAG:
		options->batch.load_lag_ms =
			standin_number("load-lag-ms", value, 0, 12000);
		break;
	case OPT_EVENT_LAG:
		options->batch.event_lag_ms =
			standin_number("event-lag-ms", value, 0, 600000);
		break;
	case OPT_FENCING:
		options->fencing = true;
		break;
	default:
		exit(2);
	}
}

int main(int argc, char **argv)
{
	static engine_t engine;
	engine_options_t options = {
		.name = "engine",
		.model = "planner",
		.batch = { 8000, 60, 8, 65536, 1000, 500 },
	};
	int option;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1)
		set_option(&options, option, optarg);
	standin_signals();
	pthread_mutex_init(&engine.mutex, NULL);
	snprintf(engine.model, MODEL_MAX, "%s", options.model);
	engine.fencing = options.fencing;
	if (standin_init(&engine.standin, options.name, options.port, is_call) <
		    0 ||
	    batch_init(&engine.batch, &options.batch) < 0)
		return EXIT_FAILURE;
	routes(&engine);
	if (standin_run(&engine.standin) < 0)
		return EXIT_FAILURE;
	batch_stop(&engine.batch);
	standin_finish(&engine.standin);
	batch_finish(&engine.batch);
	pthread_mutex_destroy(&engine.mutex);
	return EXIT_SUCCESS;
}
