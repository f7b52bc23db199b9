/*
 * Takes a caller's request in: who calls, under which contract, how long it may
 * take, what is known of its prompt. Every mistake is found here, before the
 * control thread hears of the request, so that a refusal is "not run".
 */

#include "http_intake.h"

#include "sys.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Characters of an idempotency key that a caller has made up. */
#define KEY_MAX 128
/* Of a prompt, to tell which ones begin alike. */
#define PREFIX_BYTES 1024
/* The common estimate for English text; a prompt's length is only a guide. */
#define BYTES_PER_TOKEN 4

static const char *header(const struct _u_request *request, const char *name)
{
	return u_map_get_case(request->map_header, name);
}

const config_account_t *http_account(const pimento_config_t *config,
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
	return pimento_config_find_account(config, hash);
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

int intake_fail(intake_t *in, int error, const char *detail)
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
		return intake_fail(in, PIMENTO_EINVAL,
				   "Pimento-Deadline-Ms must be 1 to 86400000");
	if (number_header(in->http, "Pimento-Attempt", 1000000, &attempt))
		return intake_fail(in, PIMENTO_EINVAL,
				   "Pimento-Attempt must be 1 to 1000000");
	if (key && (!*key || strlen(key) >= PIMENTO_KEY_TEXT_SIZE ||
		    (strlen(key) > KEY_MAX && !idem_key_is_issued(key))))
		return intake_fail(
			in, PIMENTO_EINVAL,
			"Idempotency-Key must have 1 to 128 characters");
	in->request.client_timeout = in->contract->timeout;
	if (deadline && (pimento_usec_t)deadline * PIMENTO_MSEC <
				in->request.client_timeout)
		in->request.client_timeout =
			(pimento_usec_t)deadline * PIMENTO_MSEC;
	in->request.attempt = (uint32_t)attempt;
	in->request.key = key;
	if (!key && !in->contract->repeatable)
		return intake_fail(
			in, PIMENTO_EINVAL,
			"this request may not be repeated: it needs an "
			"Idempotency-Key");
	return PIMENTO_OK;
}

static int find_contract(intake_t *in, config_target_t target,
			 const char *target_name, const char *path)
{
	const char *method = path ? in->http->http_verb : NULL;

	in->contract = pimento_config_find_contract(
		in->config, in->account, header(in->http, "Pimento-Contract"),
		target, target_name, method, path);
	if (!in->contract)
		return intake_fail(in, PIMENTO_ENOTFOUND,
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
	call->model = in->request.is_model;
	memcpy(call->tier, in->config->tiers[in->request.tier].name,
	       sizeof(call->tier));
	call->began = sys_now();
	call->patience = in->request.client_timeout;
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
		return intake_fail(
			in, PIMENTO_EINVAL,
			"prompt must be a string, or messages an array of "
			"objects with a content string");
	if (max && (!json_is_integer(max) || json_integer_value(max) < 1 ||
		    json_integer_value(max) > 1000000))
		return intake_fail(in, PIMENTO_EINVAL,
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

int intake_model(intake_t *in, const json_t *body)
{
	const json_t *model = json_object_get(body, "model");
	int error;

	if (!json_is_string(model))
		return intake_fail(in, PIMENTO_EINVAL,
				   "model must be a string");
	in->request.is_model = true;
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

int intake_service(intake_t *in)
{
	const char *path = in->http->url_path;
	const config_service_t *service =
		pimento_config_find_service(in->config, path);
	int error;

	if (!service)
		return intake_fail(in, PIMENTO_ENOTFOUND,
				   "no service has this path");
	error = find_contract(in, CONFIG_TARGET_SERVICE, service->name,
			      path + strlen(service->prefix));
	if (!error)
		error = check_headers(in);
	if (!error)
		error = fill_call(in, in->http->http_url);
	return error;
}

int intake_begin(intake_t *in, control_t *control)
{
	in->config = control_config(control);
	if (!in->config)
		return PIMENTO_EUNREADY;
	in->request.config_revision = in->config->revision;
	in->account = http_account(in->config, in->http);
	if (!in->account)
		return intake_fail(in, PIMENTO_EAUTH,
				   "unknown or missing API key");
	if (too_big(in->http, in->config->body_max))
		return PIMENTO_ETOOBIG;
	in->call = call_new();
	return in->call ? PIMENTO_OK : PIMENTO_ENOMEM;
}

void intake_finish(intake_t *in)
{
	pimento_config_unref(in->config);
	call_drop(in->call);
}
