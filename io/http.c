/*
 * Serves callers, one ulfius thread for each. A thread checks the request
 * against the configuration in force, hands it to the control thread and
 * waits; it never decides anything itself.
 */

#include "http.h"
#include "burn_json.h"
#include "log.h"
#include "status.h"
#include "sys.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Larger bodies are never read, whatever the configuration allows. */
#define BODY_HARD_MAX ((size_t)8 * 1024 * 1024)
#define KEY_MAX 128
#define KEYS_PER_CALL 64
#define PREFIX_BYTES 1024
#define BYTES_PER_TOKEN 4
#define IDLE_SECONDS 120
#define STREAM_BLOCK 4096
#define DEFAULT_RETRY PIMENTO_SEC
#define RETRY_MIN_SECONDS 1

typedef struct refusal {
	int error;
	int status;
	const char *code;
} refusal_t;

static const refusal_t refusals[] = {
	{ PIMENTO_EINVAL, 400, "invalid" },
	{ PIMENTO_EPARSE, 400, "malformed" },
	{ PIMENTO_EAUTH, 401, "unauthorised" },
	{ PIMENTO_ENOTFOUND, 404, "not-found" },
	{ PIMENTO_ETOOBIG, 413, "too-big" },
	{ PIMENTO_ECLAIMED, 409, "key-in-use" },
	{ PIMENTO_ESEALED, 409, "attempt-given-up" },
	{ PIMENTO_EEXPIRED, 422, "key-expired" },
	{ PIMENTO_EMISMATCH, 422, "key-mismatch" },
	{ PIMENTO_EENDPOINT, 502, "endpoint-failed" },
	{ PIMENTO_ELATE, 503, "too-late" },
	{ PIMENTO_EBUSY, 503, "busy" },
	{ PIMENTO_EFULL, 503, "full" },
	{ PIMENTO_ENOQUORUM, 503, "too-few-witnesses" },
	{ PIMENTO_EUNREACHABLE, 503, "unreachable" },
	{ PIMENTO_EUNREADY, 503, "not-ready" },
	{ PIMENTO_ELEAVING, 503, "leaving" },
};

static const refusal_t *find_refusal(int error)
{
	static const refusal_t other = { 0, 500, "internal" };

	for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		if (refusals[i].error == error)
			return &refusals[i];
	}
	return &other;
}

static void add_retry_after(struct _u_response *response, pimento_usec_t after)
{
	char text[24];
	long long seconds = (after + PIMENTO_SEC - 1) / PIMENTO_SEC;

	if (seconds < RETRY_MIN_SECONDS)
		seconds = RETRY_MIN_SECONDS;
	snprintf(text, sizeof(text), "%lld", seconds);
	u_map_put(response->map_header, "Retry-After", text);
}

void http_refuse(struct _u_response *response, int error,
		 pimento_verdict_t verdict, pimento_usec_t retry_after,
		 const char *detail)
{
	const refusal_t *refusal = find_refusal(error);
	json_t *body =
		json_pack("{s:{s:s, s:s, s:s}}", "error", "code", refusal->code,
			  "message", detail ? detail : pimento_strerror(error),
			  "verdict", pimento_verdict_name(verdict));

	ulfius_set_json_body_response(response, (unsigned)refusal->status,
				      body);
	json_decref(body);
	u_map_put(response->map_header, "Pimento-Verdict",
		  pimento_verdict_name(verdict));
	if (retry_after > 0)
		add_retry_after(response, retry_after);
}

static int refuse_early(struct _u_response *response, int error,
			const char *detail)
{
	bool again = find_refusal(error)->status == 503;

	http_refuse(response, error, PIMENTO_NOT_RUN, again ? DEFAULT_RETRY : 0,
		    detail);
	return U_CALLBACK_COMPLETE;
}

static const char *header(const struct _u_request *request, const char *name)
{
	return u_map_get_case(request->map_header, name);
}

/* NULL for an unknown key; the comparison takes the same time for any. */
static const config_account_t *find_account(const pimento_config_t *config,
					    const struct _u_request *request)
{
	static const char scheme[] = "Bearer ";
	const char *value = header(request, "Authorization");
	uint8_t hash[32];

	if (!value || strncmp(value, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	value += sizeof(scheme) - 1;
	crypto_generichash(hash, sizeof(hash), (const uint8_t *)value,
			   strlen(value), NULL, 0);
	return pimento_config_account(config, hash);
}

static bool too_big(const struct _u_request *request, uint32_t max)
{
	const char *length = header(request, "Content-Length");

	if (length && strtoull(length, NULL, 10) > max)
		return true;
	return request->binary_body_length > max;
}

/* Reads a header that must be a whole number from 1 to max; 0 none. */
static int number_header(const struct _u_request *request, const char *name,
			 uint64_t max, uint64_t *value)
{
	const char *text = header(request, name);
	char *end;

	*value = 0;
	if (!text)
		return PIMENTO_OK;
	*value = strtoull(text, &end, 10);
	if (*end || end == text || *text == '-' || !*value || *value > max)
		return PIMENTO_EINVAL;
	return PIMENTO_OK;
}

/* What a request needs on its way from check to check. */
typedef struct intake {
	const struct _u_request *http;
	pimento_config_t *config;
	const config_account_t *account;
	const config_contract_t *contract;
	call_t *call;
	pimento_request_t request;
	const char *detail; /* of a mistake */
} intake_t;

static int fail(intake_t *in, int error, const char *detail)
{
	in->detail = detail;
	return error;
}

static int check_headers(intake_t *in)
{
	const char *key = header(in->http, "Idempotency-Key");
	uint64_t deadline;
	uint64_t attempt;

	if (number_header(in->http, "Pimento-Deadline-Ms", 86400000, &deadline))
		return fail(in, PIMENTO_EINVAL,
			    "Pimento-Deadline-Ms must be 1 to 86400000");
	if (number_header(in->http, "Pimento-Attempt", 1000000, &attempt))
		return fail(in, PIMENTO_EINVAL,
			    "Pimento-Attempt must be 1 to 1000000");
	if (key && (!*key || strlen(key) >= PIMENTO_KEY_TEXT ||
		    (strlen(key) > KEY_MAX && !keyring_issued(key))))
		return fail(in, PIMENTO_EINVAL,
			    "Idempotency-Key must have 1 to 128 characters");
	in->request.patience = in->contract->patience;
	if (deadline &&
	    (pimento_usec_t)deadline * PIMENTO_MSEC < in->request.patience)
		in->request.patience = (pimento_usec_t)deadline * PIMENTO_MSEC;
	in->request.attempt = (uint32_t)attempt;
	in->request.key = key;
	if (!key && !in->contract->repeatable)
		return fail(in, PIMENTO_EINVAL,
			    "this request may not be repeated: it needs an "
			    "Idempotency-Key");
	return PIMENTO_OK;
}

static int find_contract(intake_t *in, config_target_t target,
			 const char *target_name, const char *path)
{
	const char *method = path ? in->http->http_verb : NULL;

	in->contract = pimento_config_contract(
		in->config, in->account, header(in->http, "Pimento-Contract"),
		target, target_name, method, path);
	if (!in->contract)
		return fail(in, PIMENTO_ENOTFOUND,
			    "no contract lets this account call that");
	in->request.account = in->account->id;
	in->request.tier = in->contract->tier;
	in->request.repeatable = in->contract->repeatable;
	in->request.answer_tokens = in->contract->answer_tokens;
	strncpy(in->request.target, target_name, PIMENTO_NAME_MAX - 1);
	return PIMENTO_OK;
}

static int fill_call(intake_t *in, const char *path)
{
	const struct _u_request *http = in->http;
	const char *type = header(http, "Content-Type");
	call_t *call = in->call;

	strncpy(call->method, http->http_verb, sizeof(call->method) - 1);
	call->path = strdup(path);
	call->content_type = type ? strdup(type) : NULL;
	call->key = in->request.key ? strdup(in->request.key) : NULL;
	call->body = malloc(http->binary_body_length + 1);
	if (!call->path || !call->body)
		return PIMENTO_ENOMEM;
	if (http->binary_body_length)
		memcpy(call->body, http->binary_body, http->binary_body_length);
	call->body_size = http->binary_body_length;
	call->model = in->request.model;
	memcpy(call->tier, in->config->tiers[in->request.tier].name,
	       sizeof(call->tier));
	call->began = sys_now();
	call->patience = in->request.patience;
	in->request.digest = XXH3_64bits(call->body, call->body_size);
	in->request.wall_msec = sys_wall_msec();
	return PIMENTO_OK;
}

/* Adds a text to what is known of the prompt: its length and beginning. */
typedef struct prompt {
	size_t length;
	char beginning[PREFIX_BYTES];
	size_t used;
} prompt_t;

static void add_prompt(prompt_t *prompt, const json_t *text)
{
	size_t length = json_string_length(text);
	size_t room = PREFIX_BYTES - prompt->used;

	prompt->length += length;
	if (room > length)
		room = length;
	if (room)
		memcpy(prompt->beginning + prompt->used,
		       json_string_value(text), room);
	prompt->used += room;
}

static int read_prompt(const json_t *body, prompt_t *prompt)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *text = json_object_get(body, "prompt");

	if (json_is_string(text)) {
		add_prompt(prompt, text);
		return PIMENTO_OK;
	}
	if (!json_is_array(messages) || !json_array_size(messages))
		return PIMENTO_EINVAL;
	for (size_t i = 0; i < json_array_size(messages); i++) {
		const json_t *content =
			json_object_get(json_array_get(messages, i), "content");

		if (!json_is_string(content))
			return PIMENTO_EINVAL;
		add_prompt(prompt, content);
	}
	return PIMENTO_OK;
}

static int use_prompt(intake_t *in, const json_t *body)
{
	const json_t *max = json_object_get(body, "max_tokens");
	prompt_t prompt = { 0 };

	if (read_prompt(body, &prompt))
		return fail(in, PIMENTO_EINVAL,
			    "prompt must be a string, or messages an array of "
			    "objects with a content string");
	if (max && (!json_is_integer(max) || json_integer_value(max) < 1 ||
		    json_integer_value(max) > 1000000))
		return fail(in, PIMENTO_EINVAL,
			    "max_tokens must be 1 to 1000000");
	in->request.prompt_tokens =
		(uint32_t)((prompt.length + BYTES_PER_TOKEN - 1) /
			   BYTES_PER_TOKEN);
	if (max)
		in->request.answer_tokens = (uint32_t)json_integer_value(max);
	if (prompt.used == PREFIX_BYTES)
		in->request.prefix = XXH3_64bits(prompt.beginning, prompt.used);
	in->call->stream = json_is_true(json_object_get(body, "stream"));
	return PIMENTO_OK;
}

static int intake_model(intake_t *in, const json_t *body)
{
	const json_t *model = json_object_get(body, "model");
	int error;

	if (!json_is_string(model))
		return fail(in, PIMENTO_EINVAL, "model must be a string");
	in->request.model = true;
	error = find_contract(in, CONFIG_TARGET_MODEL, json_string_value(model),
			      NULL);
	if (!error)
		error = check_headers(in);
	if (!error)
		error = use_prompt(in, body);
	if (!error)
		error = fill_call(in, in->http->url_path);
	return error;
}

static int intake_service(intake_t *in)
{
	const char *path = in->http->url_path;
	const config_service_t *service =
		pimento_config_service(in->config, path);
	int error;

	if (!service)
		return fail(in, PIMENTO_ENOTFOUND, "no service has this path");
	error = find_contract(in, CONFIG_TARGET_SERVICE, service->name,
			      path + strlen(service->prefix));
	if (!error)
		error = check_headers(in);
	if (!error)
		error = fill_call(in, in->http->http_url);
	return error;
}

/* The checks that come before a body is looked at. */
static int intake_begin(intake_t *in, http_t *http)
{
	in->config = control_config(http->control);
	if (!in->config)
		return PIMENTO_EUNREADY;
	in->account = find_account(in->config, in->http);
	if (!in->account)
		return fail(in, PIMENTO_EAUTH, "unknown or missing API key");
	if (too_big(in->http, in->config->body_max))
		return PIMENTO_ETOOBIG;
	in->call = call_new();
	return in->call ? PIMENTO_OK : PIMENTO_ENOMEM;
}

static void add_identity(struct _u_response *response, const call_t *call,
			 pimento_verdict_t verdict)
{
	char id[PIMENTO_REQID_TEXT];

	pimento_reqid_text(call->id, id);
	u_map_put(response->map_header, "Pimento-Request-Id", id);
	u_map_put(response->map_header, "Pimento-Verdict",
		  pimento_verdict_name(verdict));
}

static void answer_refused(struct _u_response *response, const call_t *call)
{
	char attempt[16];

	http_refuse(response, call->error, call->verdict, call->retry_after,
		    NULL);
	add_identity(response, call, call->verdict);
	if (!call->next_attempt || call->verdict != PIMENTO_NOT_RUN)
		return;
	snprintf(attempt, sizeof(attempt), "%u", call->next_attempt);
	u_map_put(response->map_header, "Pimento-Attempt", attempt);
}

/* An endpoint that says 5xx has perhaps done part of the work. */
static pimento_verdict_t verdict_of(int status)
{
	return status >= 500 ? PIMENTO_MAY_HAVE_RUN : PIMENTO_RAN;
}

/* A caller who reads an answer, until ulfius frees it. */
typedef struct reader {
	control_t *control;
	call_t *call;
	bool ended;
	bool told; /* the refusal in mid-stream was written */
} reader_t;

/*
 * An answer is counted until its last byte was handed to the caller's
 * connection. Without that, a daemon that is stopped would end while a caller
 * on a slow line still reads, for the endpoint was done long before.
 */
static reader_t *reader_new(control_t *control, call_t *call)
{
	reader_t *reader = calloc(1, sizeof(*reader));

	if (!reader)
		return NULL;
	reader->control = control;
	reader->call = call_hold(call);
	control->answering++;
	return reader;
}

static void reader_free(reader_t *reader)
{
	reader->control->answering--;
	call_drop(reader->call);
	free(reader);
}

static ssize_t on_read_whole(void *data, uint64_t offset, char *out, size_t max)
{
	const reader_t *reader = data;
	const call_t *call = reader->call;
	size_t left = call->buffer_used - (size_t)offset;
	size_t length = left < max ? left : max;

	if (!length)
		return U_STREAM_END;
	memcpy(out, call->buffer + offset, length);
	return (ssize_t)length;
}

static void on_whole_gone(void *data)
{
	reader_free(data);
}

static void answer_whole(http_t *http, struct _u_response *response,
			 call_t *call)
{
	reader_t *reader = reader_new(http->control, call);

	if (!reader) {
		http_refuse(response, PIMENTO_ENOMEM, PIMENTO_MAY_HAVE_RUN, 0,
			    NULL);
		return;
	}
	if (call->buffer_used) {
		ulfius_set_stream_response(
			response, (unsigned)call->status, on_read_whole,
			on_whole_gone, call->buffer_used, STREAM_BLOCK, reader);
	} else {
		ulfius_set_empty_body_response(response,
					       (unsigned)call->status);
		reader_free(reader);
	}
	if (*call->answer_type)
		u_map_put(response->map_header, "Content-Type",
			  call->answer_type);
	add_identity(response, call, verdict_of(call->status));
}

/*
 * The head was sent long ago, so the verdict of a stream that cannot be
 * completed goes into a last event; the proper end mark is missing.
 */
static ssize_t write_refusal(reader_t *reader, char *out, size_t max)
{
	const call_t *call = reader->call;
	int length;

	if (reader->told)
		return U_STREAM_END;
	reader->told = true;
	reader->ended = true;
	length = snprintf(out, max,
			  "data: {\"error\":{\"code\":\"%s\",\"message\":"
			  "\"%s\",\"verdict\":\"%s\"}}\n\n",
			  find_refusal(call->error)->code,
			  pimento_strerror(call->error),
			  pimento_verdict_name(call->verdict));
	return length < (int)max ? length : (ssize_t)U_STREAM_END;
}

static ssize_t on_read(void *data, uint64_t offset, char *out, size_t max)
{
	reader_t *reader = data;
	ssize_t got = call_read(reader->call, out, max);

	(void)offset;
	if (got > 0)
		return got;
	if (got < 0)
		return write_refusal(reader, out, max);
	reader->ended = true;
	return U_STREAM_END;
}

static void on_reader_gone(void *data)
{
	reader_t *reader = data;
	pimento_event_t event = { .kind = PIMENTO_EVENT_LEFT };

	if (!reader->ended) {
		call_leave(reader->call);
		control_event(reader->control, reader->call, &event);
	}
	reader_free(reader);
}

static void answer_stream(http_t *http, struct _u_response *response,
			  call_t *call)
{
	reader_t *reader = reader_new(http->control, call);

	if (!reader) {
		http_refuse(response, PIMENTO_ENOMEM, PIMENTO_MAY_HAVE_RUN, 0,
			    NULL);
		return;
	}
	ulfius_set_stream_response(response, (unsigned)call->status, on_read,
				   on_reader_gone, U_STREAM_SIZE_UNKNOWN,
				   STREAM_BLOCK, reader);
	u_map_put(response->map_header, "Content-Type", call->answer_type);
	add_identity(response, call, verdict_of(call->status));
}

static void submit(http_t *http, intake_t *in, struct _u_response *response)
{
	int error = control_submit(http->control, in->call, &in->request);

	if (error) {
		refuse_early(response, error, NULL);
		return;
	}
	if (call_wait(in->call) == CALL_REFUSED)
		answer_refused(response, in->call);
	else if (in->call->stream)
		answer_stream(http, response, in->call);
	else
		answer_whole(http, response, in->call);
}

static int finish_intake(http_t *http, intake_t *in, int error,
			 struct _u_response *response)
{
	if (error) {
		refuse_early(response, error, in->detail);
		http->control->counters.callers_refused++;
	} else {
		submit(http, in, response);
	}
	pimento_config_drop(in->config);
	call_drop(in->call);
	return U_CALLBACK_COMPLETE;
}

static int on_completion(const struct _u_request *request,
			 struct _u_response *response, void *data)
{
	http_t *http = data;
	intake_t in = { .http = request };
	json_t *body = NULL;
	int error = intake_begin(&in, http);

	if (!error) {
		body = json_loadb(request->binary_body,
				  request->binary_body_length, 0, NULL);
		error = json_is_object(body)
				? intake_model(&in, body)
				: fail(&in, PIMENTO_EPARSE,
				       "the body must be a JSON object");
	}
	json_decref(body);
	return finish_intake(http, &in, error, response);
}

static int on_service(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	http_t *http = data;
	intake_t in = { .http = request };
	int error = intake_begin(&in, http);

	if (!error)
		error = intake_service(&in);
	return finish_intake(http, &in, error, response);
}

typedef struct issue {
	char text[PIMENTO_KEY_TEXT];
	int result;
} issue_t;

static void run_issue(control_t *control, void *argument)
{
	issue_t *issue = argument;

	issue->result =
		pimento_host_issue(control->host, sys_now(), sys_wall_msec(),
				   sys_random(), issue->text);
}

static json_t *issue_keys(http_t *http, json_int_t count, int *error)
{
	json_t *keys = json_array();

	*error = PIMENTO_OK;
	for (json_int_t i = 0; i < count && !*error; i++) {
		issue_t issue = { .result = PIMENTO_ELEAVING };

		control_call(http->control, run_issue, &issue);
		if (issue.result < 0)
			*error = issue.result;
		else
			json_array_append_new(keys, json_string(issue.text));
	}
	return keys;
}

static int on_keys(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	http_t *http = data;
	pimento_config_t *config = control_config(http->control);
	json_t *body = json_loadb(request->binary_body,
				  request->binary_body_length, 0, NULL);
	const json_t *number = json_object_get(body, "count");
	json_int_t count =
		json_is_integer(number) ? json_integer_value(number) : 1;
	json_t *keys = NULL;
	int error = PIMENTO_OK;

	if (!config)
		error = PIMENTO_EUNREADY;
	else if (!find_account(config, request))
		error = PIMENTO_EAUTH;
	else if (count < 1 || count > KEYS_PER_CALL)
		error = PIMENTO_EINVAL;
	if (!error)
		keys = issue_keys(http, count, &error);
	json_decref(body);
	pimento_config_drop(config);
	if (error) {
		json_decref(keys);
		return refuse_early(response, error, NULL);
	}
	body = json_pack("{s:o}", "keys", keys);
	ulfius_set_json_body_response(response, 200, body);
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

static int on_health(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	http_t *http = data;
	const char *state = status_health(http->control);

	(void)request;
	ulfius_set_string_body_response(
		response, !strcmp(state, "serving") ? 200 : 503, state);
	return U_CALLBACK_COMPLETE;
}

static int on_status(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	http_t *http = data;
	json_t *body = status_json(http->control);

	(void)request;
	ulfius_set_json_body_response(response, 200, body);
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

static int on_metrics(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	http_t *http = data;
	char *text = status_metrics(http->control);

	(void)request;
	u_map_put(response->map_header, "Content-Type",
		  "text/plain; version=0.0.4");
	ulfius_set_string_body_response(response, 200, text ? text : "");
	free(text);
	return U_CALLBACK_COMPLETE;
}

typedef struct burn_text {
	char *text;
} burn_text_t;

static void run_burn(control_t *control, void *argument)
{
	burn_text_t *burn = argument;

	burn->text = burn_json_write(
		&control->burn, pimento_host_config(control->host), sys_now());
}

static int on_burn(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	http_t *http = data;
	burn_text_t burn = { NULL };

	(void)request;
	control_call(http->control, run_burn, &burn);
	if (!burn.text)
		return refuse_early(response, PIMENTO_ELEAVING, NULL);
	u_map_put(response->map_header, "Content-Type", "application/json");
	ulfius_set_string_body_response(response, 200, burn.text);
	free(burn.text);
	return U_CALLBACK_COMPLETE;
}

typedef struct page {
	const char *method;
	const char *path;
	int (*callback)(const struct _u_request *request,
			struct _u_response *response, void *data);
} page_t;

static const page_t pages[] = {
	{ "POST", "/v1/completions", on_completion },
	{ "POST", "/v1/chat/completions", on_completion },
	{ "POST", "/v1/keys", on_keys },
	{ "GET", "/healthz", on_health },
	{ "GET", "/status", on_status },
	{ "GET", "/metrics", on_metrics },
	{ "GET", "/burn", on_burn },
};

static int add_pages(http_t *http)
{
	struct _u_instance *instance = &http->instance;

	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		if (ulfius_add_endpoint_by_val(instance, pages[i].method,
					       pages[i].path, NULL, 0,
					       pages[i].callback, http) != U_OK)
			return PIMENTO_EIO;
	}
	return ulfius_set_default_endpoint(instance, on_service, http) == U_OK
		       ? PIMENTO_OK
		       : PIMENTO_EIO;
}

int http_init(http_t *http, control_t *control)
{
	const settings_t *settings = control->settings;
	struct sockaddr_in at = { .sin_family = AF_INET };

	memset(http, 0, sizeof(*http));
	http->control = control;
	at.sin_port = htons(settings->http_port);
	if (inet_pton(AF_INET, settings->address, &at.sin_addr) != 1)
		return PIMENTO_EINVAL;
	if (ulfius_init_instance(&http->instance, settings->http_port, &at,
				 NULL) != U_OK)
		return PIMENTO_EIO;
	http->instance.max_post_body_size = BODY_HARD_MAX + 1;
	http->instance.allowed_post_processor = U_POST_PROCESS_NONE;
	http->instance.timeout = IDLE_SECONDS;
	if (add_pages(http) ||
	    ulfius_start_framework(&http->instance) != U_OK) {
		ulfius_clean_instance(&http->instance);
		return PIMENTO_EIO;
	}
	http->started = true;
	return PIMENTO_OK;
}

void http_finish(http_t *http)
{
	if (!http->started)
		return;
	ulfius_stop_framework(&http->instance);
	ulfius_clean_instance(&http->instance);
	http->started = false;
}
