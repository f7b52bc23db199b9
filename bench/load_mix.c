/*
 * A prompt is a beginning that many requests of its kind share, as callers'
 * instructions and notes are shared, and an end of its own. Without the shared
 * half a prefix cache would have nothing to find; without the own half two
 * requests would have one answer, and a mix-up of them would not show.
 */

#include "load_mix.h"

#include "../standin/answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHARED_BEGINNINGS 4
#define BYTES_A_TOKEN 4
#define CHAT_EVERY 3
#define STREAM_OF 10
#define STREAMED 7

static const load_mix_t qurum = {
	.count = 6,
	.kinds = {
		{ "charge", "charge", "", "POST", "/orders/charge", 12, 10000,
		  { 10, 30 }, { 0, 0 }, true },
		{ "skip", "charge", "", "POST", "/orders/skip", 8, 10000,
		  { 10, 30 }, { 0, 0 }, true },
		{ "order-lookup", "parent", "", "GET", "/orders/lookup", 10,
		  20000, { 0, 0 }, { 0, 0 }, false },
		{ "missed-delivery", "parent", "planner", "", "", 40, 20000,
		  { 60, 200 }, { 40, 120 }, false },
		{ "weekly-box", "plan", "planner", "", "", 20, 60000,
		  { 300, 900 }, { 80, 160 }, false },
		{ "ingredient-summary", "summary", "planner", "", "", 10,
		  600000, { 2000, 6000 }, { 150, 400 }, false },
	},
};

static const load_mix_t druckstube = {
	.count = 5,
	.kinds = {
		{ "counter-question", "counter", "reviewer", "", "", 45, 8000,
		  { 10, 40 }, { 30, 100 }, false },
		{ "job-submit", "submit", "", "POST", "/jobs/submit", 15, 15000,
		  { 50, 200 }, { 0, 0 }, true },
		{ "job-lookup", "counter", "", "GET", "/jobs/lookup", 10, 8000,
		  { 0, 0 }, { 0, 0 }, false },
		{ "thesis-review", "review", "reviewer", "", "", 6, 900000,
		  { 12000, 30000 }, { 150, 400 }, false },
		{ "tagging", "tagging", "reviewer", "", "", 24, 3600000,
		  { 300, 700 }, { 10, 30 }, false },
	},
};

static void read_name(const json_t *entry, const char *key, char *name,
		      size_t size)
{
	const char *text = json_string_value(json_object_get(entry, key));

	snprintf(name, size, "%s", text ? text : "");
}

static uint32_t read_varint(const json_t *entry, const char *key,
			    uint32_t otherwise)
{
	const json_t *value = json_object_get(entry, key);

	return json_is_integer(value) ? (uint32_t)json_integer_value(value)
				      : otherwise;
}

static void read_range(const json_t *entry, const char *key, uint32_t range[2])
{
	const json_t *pair = json_object_get(entry, key);

	for (size_t i = 0; i < 2; i++)
		range[i] =
			(uint32_t)json_integer_value(json_array_get(pair, i));
	if (range[1] < range[0])
		range[1] = range[0];
}

static int read_kind(load_kind_t *kind, const json_t *entry)
{
	memset(kind, 0, sizeof(*kind));
	read_name(entry, "contract", kind->contract, sizeof(kind->contract));
	read_name(entry, "tier", kind->tier, sizeof(kind->tier));
	read_name(entry, "model", kind->model, sizeof(kind->model));
	read_name(entry, "method", kind->method, sizeof(kind->method));
	read_name(entry, "path", kind->path, sizeof(kind->path));
	kind->weight = read_varint(entry, "weight", 1);
	kind->patience_ms = read_varint(entry, "patience_ms", 10000);
	read_range(entry, "prompt_tokens", kind->prompt_tokens);
	read_range(entry, "answer_tokens", kind->answer_tokens);
	kind->keyed = json_is_true(json_object_get(entry, "keyed"));
	if (!kind->model[0] && !kind->path[0])
		return PIMENTO_EPARSE;
	return kind->weight ? PIMENTO_OK : PIMENTO_EPARSE;
}

static int read_file(load_mix_t *mix, const char *path)
{
	json_error_t error;
	json_t *list = json_load_file(path, 0, &error);
	json_t *entry;
	size_t i;
	int result = PIMENTO_OK;

	memset(mix, 0, sizeof(*mix));
	if (!json_is_array(list) || !json_array_size(list) ||
	    json_array_size(list) > LOAD_KINDS_MAX)
		result = PIMENTO_EPARSE;
	json_array_foreach(list, i, entry)
	{
		if (result == PIMENTO_OK)
			result = read_kind(&mix->kinds[mix->count++], entry);
	}
	json_decref(list);
	return result;
}

int load_mix_read(load_mix_t *mix, const char *name)
{
	if (!strcmp(name, "qurum"))
		*mix = qurum;
	else if (!strcmp(name, "druckstube"))
		*mix = druckstube;
	else
		return read_file(mix, name);
	return PIMENTO_OK;
}

static pimento_random_t generator(uint64_t seed, uint64_t number)
{
	pimento_random_t random;

	pimento_random_init(&random, seed);
	random.state ^= pimento_random_next(&random) + number;
	pimento_random_next(&random);
	return random;
}

uint32_t load_mix_pick(const load_mix_t *mix, uint64_t seed, uint64_t number)
{
	pimento_random_t random = generator(seed, number);
	uint64_t total = 0;
	uint64_t at;

	for (uint32_t i = 0; i < mix->count; i++)
		total += mix->kinds[i].weight;
	at = pimento_random_below(&random, total);
	for (uint32_t i = 0; i < mix->count; i++) {
		if (at < mix->kinds[i].weight)
			return i;
		at -= mix->kinds[i].weight;
	}
	return mix->count - 1;
}

static uint32_t draw(pimento_random_t *random, const uint32_t range[2])
{
	return range[0] +
	       (uint32_t)pimento_random_below(random, range[1] - range[0] + 1);
}

static void letters(pimento_random_t *random, char *text, size_t length)
{
	for (size_t i = 0; i < length; i++)
		text[i] = i % 7 == 6 ? ' '
				     : (char)('a' +
					      pimento_random_below(random, 26));
}

/* Half from one of a few beginnings, half of this request alone. */
static char *make_prompt(const load_kind_t *kind, pimento_random_t *random,
			 uint32_t variant)
{
	size_t length =
		(size_t)draw(random, kind->prompt_tokens) * BYTES_A_TOKEN;
	uint64_t beginning = pimento_random_below(random, SHARED_BEGINNINGS);
	pimento_random_t shared;
	char *text = malloc(length + 1);

	if (!text)
		return NULL;
	pimento_random_init(&shared, pimento_id(kind->contract) + beginning);
	letters(&shared, text, length / 2);
	random->state += variant;
	letters(random, text + length / 2, length - length / 2);
	text[length] = '\0';
	return text;
}

static json_t *model_body(const load_request_t *request, const char *text)
{
	json_t *body = json_pack("{s:s,s:i,s:b}", "model", request->kind->model,
				 "max_tokens", (int)request->answer_tokens,
				 "stream", request->stream);

	if (request->chat)
		json_object_set_new(body, "messages",
				    json_pack("[{s:s,s:s}]", "role", "user",
					      "content", text));
	else
		json_object_set_new(body, "prompt", json_string(text));
	return body;
}

static int make_body(load_request_t *request, const char *text)
{
	json_t *body;

	if (request->kind->model[0]) {
		body = model_body(request, text);
		request->prompt = answer_prompt(body);
	} else if (!strcmp(request->kind->method, "GET")) {
		return PIMENTO_OK;
	} else {
		body = json_pack("{s:s}", "note", text);
	}
	request->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (!request->body || (request->kind->model[0] && !request->prompt))
		return PIMENTO_ENOMEM;
	request->length = strlen(request->body);
	return PIMENTO_OK;
}

int load_request_init(load_request_t *request, const load_mix_t *mix,
		      uint32_t kind, uint64_t seed, uint64_t number,
		      uint32_t variant)
{
	pimento_random_t random = generator(seed + 1, number);
	char *text;
	int result;

	memset(request, 0, sizeof(*request));
	request->kind = &mix->kinds[kind];
	request->kind_index = kind;
	request->answer_tokens = draw(&random, request->kind->answer_tokens);
	request->stream = pimento_random_below(&random, STREAM_OF) < STREAMED;
	request->chat = pimento_random_below(&random, CHAT_EVERY) == 0;
	text = make_prompt(request->kind, &random, variant);
	if (!text)
		return PIMENTO_ENOMEM;
	result = make_body(request, text);
	free(text);
	if (result != PIMENTO_OK)
		load_request_finish(request);
	return result;
}

void load_request_finish(load_request_t *request)
{
	free(request->body);
	free(request->prompt);
	request->body = NULL;
	request->prompt = NULL;
}
