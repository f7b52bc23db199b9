/*
 * Parses and checks the answers to the questionnaire. Whatever the checks of the
 * configuration would reject is rejected here first, so that errors name the
 * questions and not the configuration generated from the answers.
 */

#include "questionnaire.h"

#include "evacuation_field.h"
#include "fields.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define OFFSET(type, member) offsetof(type, member)

#define TIMEOUT_MIN_MS 50
#define TIMEOUT_MAX_MS 86400000
#define CALLERS_MAX 512
#define REQUESTS_MAX 128
#define CONTRACTS_MAX 1024
#define SERVICES_MAX 256
#define ENDPOINTS_MAX 4096
#define CONCURRENCY_MAX 65536
#define CONTEXT_TOKENS_MAX 10000000
#define TARGET_MAX_LENGTH (PIMENTO_NAME_MAX + 7)

static const char *const size_names[] = { "small", "medium", "large", NULL };
static const char *const length_names[] = { "line",    "paragraph", "page",
					    "chapter", "thesis",    NULL };

static const field_t toplevel_fields[] = {
	{ "deployment", FIELD_NAME, true, OFFSET(questionnaire_t, deployment),
	  0, 0, NULL },
	EVACUATION_FIELD,
	{ "tier", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "caller", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "request", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "service", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "endpoint", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
};

static const field_t tier_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(questionnaire_tier_t, name), 0, 0,
	  NULL },
	{ "until", FIELD_DURATION, true, OFFSET(questionnaire_tier_t, timeout),
	  TIMEOUT_MIN_MS, TIMEOUT_MAX_MS, NULL },
};

static const field_t caller_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(questionnaire_caller_t, name), 0, 0,
	  NULL },
	{ "key_hash", FIELD_HEX32, true,
	  OFFSET(questionnaire_caller_t, key_hash), 0, 0, NULL },
	{ "size", FIELD_CHOICE, true, OFFSET(questionnaire_caller_t, size), 0,
	  0, size_names },
};

static const field_t request_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(questionnaire_request_t, name), 0, 0,
	  NULL },
	{ "what", FIELD_TEXT, true,
	  OFFSET(questionnaire_request_t, description), 1, 199, NULL },
	{ "from", FIELD_STRING_ARRAY, true, 0, 0, 0, NULL },
	{ "uses", FIELD_TEXT, true,
	  OFFSET(questionnaire_request_t, target_spec), 1, TARGET_MAX_LENGTH,
	  NULL },
	{ "method", FIELD_TEXT, false, OFFSET(questionnaire_request_t, method),
	  1, 7, NULL },
	{ "path", FIELD_TEXT, false, OFFSET(questionnaire_request_t, path), 1,
	  127, NULL },
	{ "tier", FIELD_NAME, true, OFFSET(questionnaire_request_t, tier), 0, 0,
	  NULL },
	{ "until", FIELD_DURATION, false,
	  OFFSET(questionnaire_request_t, timeout), TIMEOUT_MIN_MS,
	  TIMEOUT_MAX_MS, NULL },
	{ "may_repeat", FIELD_BOOL, true,
	  OFFSET(questionnaire_request_t, may_repeat), 0, 0, NULL },
	{ "question", FIELD_CHOICE, true,
	  OFFSET(questionnaire_request_t, prompt_length), 0, 0, length_names },
	{ "answer", FIELD_CHOICE, true,
	  OFFSET(questionnaire_request_t, answer_length), 0, 0, length_names },
};

static const field_t service_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(questionnaire_service_t, name), 0, 0,
	  NULL },
	{ "path", FIELD_TEXT, true, OFFSET(questionnaire_service_t, path), 1,
	  63, NULL },
};

static const field_t endpoint_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(questionnaire_endpoint_t, name), 0,
	  0, NULL },
	{ "datacentre", FIELD_NAME, true,
	  OFFSET(questionnaire_endpoint_t, datacentre), 0, 0, NULL },
	{ "serves", FIELD_TEXT, true,
	  OFFSET(questionnaire_endpoint_t, target_spec), 1, TARGET_MAX_LENGTH,
	  NULL },
	{ "at", FIELD_TEXT, true,
	  OFFSET(questionnaire_endpoint_t, address_port), 1, 79, NULL },
	{ "checks_fencing", FIELD_BOOL, true,
	  OFFSET(questionnaire_endpoint_t, checks_fencing), 0, 0, NULL },
	{ "at_once", FIELD_U32, true,
	  OFFSET(questionnaire_endpoint_t, concurrency), 1, CONCURRENCY_MAX,
	  NULL },
	{ "context_tokens", FIELD_U32, false,
	  OFFSET(questionnaire_endpoint_t, context_tokens), 1,
	  CONTEXT_TOKENS_MAX, NULL },
};

static const questionnaire_tier_t tier_defaults;
static const questionnaire_caller_t caller_defaults;
static const questionnaire_request_t request_defaults;
static const questionnaire_service_t service_defaults;
static const questionnaire_endpoint_t endpoint_defaults;

#define TABLE_ARRAY(name, min_count, max_count)                             \
	{                                                                   \
#name, name##_fields, COUNT(name##_fields),                 \
			sizeof(questionnaire_##name##_t), &name##_defaults, \
			min_count, max_count                                \
	}

static const fields_list_t tier_list = TABLE_ARRAY(tier, 1, PIMENTO_TIERS_MAX);
static const fields_list_t caller_list = TABLE_ARRAY(caller, 1, CALLERS_MAX);
static const fields_list_t request_list = TABLE_ARRAY(request, 1, REQUESTS_MAX);
static const fields_list_t service_list = TABLE_ARRAY(service, 0, SERVICES_MAX);
static const fields_list_t endpoint_list =
	TABLE_ARRAY(endpoint, 1, ENDPOINTS_MAX);

/* State of one run of the parser. */
typedef struct parser {
	fields_source_t source;
	const toml_node_t *root;
	questionnaire_t *questionnaire;
} parser_t;

/* Reports an error at one key of a list's element. */
#define ADD_PROBLEM(parser, list, index, key, ...)                         \
	fields_add_problem(&(parser)->source, (parser)->root, list, index, \
			   key, __VA_ARGS__)

uint32_t questionnaire_length_tokens(int length)
{
	static const uint32_t tokens[QUESTIONNAIRE_LENGTH_COUNT] = { 30, 150,
								     600, 6000,
								     60000 };

	return length >= 0 && length < QUESTIONNAIRE_LENGTH_COUNT
		       ? tokens[length]
		       : 0;
}

static int read_table_arrays(parser_t *parser)
{
	questionnaire_t *a = parser->questionnaire;
	const struct {
		const fields_list_t *list;
		void **elements;
		uint32_t *count;
	} lists[] = {
		{ &tier_list, (void **)&a->tiers, &a->tier_count },
		{ &caller_list, (void **)&a->callers, &a->caller_count },
		{ &request_list, (void **)&a->requests, &a->request_count },
		{ &service_list, (void **)&a->services, &a->service_count },
		{ &endpoint_list, (void **)&a->endpoints, &a->endpoint_count },
	};
	int error = PIMENTO_OK;

	for (size_t i = 0; i < COUNT(lists) && !error; i++)
		error = fields_read_list(&parser->source, parser->root,
					 lists[i].list, lists[i].elements,
					 lists[i].count);
	return error;
}

static int check_unique_values(const parser_t *parser)
{
	const questionnaire_t *a = parser->questionnaire;
	const struct {
		const fields_list_t *list;
		const void *elements;
		uint32_t count;
		const char *key;
		size_t offset;
	} lists[] = {
		{ &tier_list, a->tiers, a->tier_count, "name",
		  OFFSET(questionnaire_tier_t, name) },
		{ &caller_list, a->callers, a->caller_count, "name",
		  OFFSET(questionnaire_caller_t, name) },
		{ &request_list, a->requests, a->request_count, "name",
		  OFFSET(questionnaire_request_t, name) },
		{ &service_list, a->services, a->service_count, "name",
		  OFFSET(questionnaire_service_t, name) },
		{ &service_list, a->services, a->service_count, "path",
		  OFFSET(questionnaire_service_t, path) },
		{ &endpoint_list, a->endpoints, a->endpoint_count, "name",
		  OFFSET(questionnaire_endpoint_t, name) },
		{ &endpoint_list, a->endpoints, a->endpoint_count, "at",
		  OFFSET(questionnaire_endpoint_t, address_port) },
	};
	int error = PIMENTO_OK;

	for (size_t i = 0; i < COUNT(lists) && !error; i++)
		error = fields_check_unique(&parser->source, parser->root,
					    lists[i].list, lists[i].elements,
					    lists[i].count, lists[i].key,
					    lists[i].offset);
	return error;
}

static int find_caller(const questionnaire_t *questionnaire, const char *name)
{
	for (uint32_t i = 0; i < questionnaire->caller_count; i++)
		if (!strcmp(questionnaire->callers[i].name, name))
			return (int)i;
	return -1;
}

static bool has_tier(const questionnaire_t *questionnaire, const char *name)
{
	for (uint32_t i = 0; i < questionnaire->tier_count; i++)
		if (!strcmp(questionnaire->tiers[i].name, name))
			return true;
	return false;
}

static bool has_service(const questionnaire_t *questionnaire, const char *name)
{
	for (uint32_t i = 0; i < questionnaire->service_count; i++)
		if (!strcmp(questionnaire->services[i].name, name))
			return true;
	return false;
}

static bool caller_may_send(const questionnaire_request_t *request,
			    uint32_t caller)
{
	if (request->all_callers)
		return true;
	for (uint32_t i = 0; i < request->caller_count; i++)
		if (request->callers[i] == caller)
			return true;
	return false;
}

static void add_request_caller(parser_t *parser, uint32_t index,
			       const char *name)
{
	questionnaire_request_t *request =
		&parser->questionnaire->requests[index];
	int caller = find_caller(parser->questionnaire, name);

	if (!strcmp(name, "*"))
		request->all_callers = true;
	else if (caller < 0)
		ADD_PROBLEM(parser, "request", index, "from",
			    "no caller is named \"%s\"", name);
	else if (!request->all_callers &&
		 caller_may_send(request, (uint32_t)caller))
		ADD_PROBLEM(parser, "request", index, "from",
			    "\"%s\" is listed twice", name);
	else
		request->callers[request->caller_count++] = (uint32_t)caller;
}

static int read_request_callers(parser_t *parser, uint32_t index)
{
	questionnaire_request_t *request =
		&parser->questionnaire->requests[index];
	const toml_node_t *table =
		toml_at(toml_get(parser->root, "request"), index);
	const toml_node_t *from = toml_get(table, "from");
	size_t count = toml_count(from);
	const char *name;
	size_t length;

	if (from && !count)
		ADD_PROBLEM(parser, "request", index, "from",
			    "must not be empty");
	request->callers =
		calloc(parser->questionnaire->caller_count + (size_t)1,
		       sizeof(*request->callers));
	if (!request->callers)
		return PIMENTO_ENOMEM;
	for (size_t i = 0; i < count && i <= CALLERS_MAX; i++)
		if (toml_string(toml_at(from, i), &name, &length))
			add_request_caller(parser, index, name);
	if (request->all_callers && count > 1)
		ADD_PROBLEM(parser, "request", index, "from",
			    "\"*\" means every caller and must be the only "
			    "entry");
	return PIMENTO_OK;
}

#define TARGET_FORMAT_MESSAGE "must be \"model:NAME\" or \"service:NAME\""

static void check_target(const parser_t *parser, const char *list,
			 uint32_t index, const char *key,
			 config_target_t target, const char *name)
{
	if (!target)
		ADD_PROBLEM(parser, list, index, key, TARGET_FORMAT_MESSAGE);
	else if (target == CONFIG_TARGET_SERVICE &&
		 !has_service(parser->questionnaire, name))
		ADD_PROBLEM(parser, list, index, key,
			    "no [[service]] is named \"%s\"", name);
}

static void check_endpoint(parser_t *parser, uint32_t index)
{
	questionnaire_endpoint_t *e = &parser->questionnaire->endpoints[index];

	if (e->address_port[0] &&
	    fields_parse_address_port(e->address_port, e->address, &e->port))
		ADD_PROBLEM(parser, "endpoint", index, "at",
			    "must be an IP address and a port, such as "
			    "\"127.0.0.1:7101\"");
	if (!e->target_spec[0])
		return;
	pimento_config_parse_target(e->target_spec, &e->target, e->target_name);
	check_target(parser, "endpoint", index, "serves", e->target,
		     e->target_name);
}

static bool tokens_fit_context(const questionnaire_endpoint_t *endpoint,
			       uint32_t tokens)
{
	return !endpoint->context_tokens || endpoint->context_tokens >= tokens;
}

/*
 * Checks that some endpoint serves a request's target; for a model, one whose
 * context is large enough for the question and the answer.
 */
static void check_endpoint_available(const parser_t *parser, uint32_t index)
{
	const questionnaire_request_t *r =
		&parser->questionnaire->requests[index];
	uint32_t tokens = questionnaire_length_tokens(r->prompt_length) +
			  questionnaire_length_tokens(r->answer_length);
	bool target_found = false;

	for (uint32_t i = 0; i < parser->questionnaire->endpoint_count; i++) {
		const questionnaire_endpoint_t *e =
			&parser->questionnaire->endpoints[i];

		if (e->target != r->target ||
		    strcmp(e->target_name, r->target_name) != 0)
			continue;
		if (r->target == CONFIG_TARGET_SERVICE ||
		    tokens_fit_context(e, tokens))
			return;
		target_found = true;
	}
	if (target_found)
		ADD_PROBLEM(
			parser, "request", index, "question",
			"question and answer take %u tokens, and no endpoint "
			"of \"%s\" has a context that large",
			tokens, r->target_spec);
	else
		ADD_PROBLEM(parser, "request", index, "uses",
			    "no endpoint serves \"%s\"", r->target_spec);
}

static void check_call(const parser_t *parser, uint32_t index)
{
	const questionnaire_request_t *r =
		&parser->questionnaire->requests[index];

	if (r->target == CONFIG_TARGET_MODEL) {
		if (r->method[0])
			ADD_PROBLEM(parser, "request", index, "method",
				    "is for services only");
		if (r->path[0])
			ADD_PROBLEM(parser, "request", index, "path",
				    "is for services only");
		return;
	}
	if (!r->method[0])
		ADD_PROBLEM(parser, "request", index, "method",
			    "is missing; it is required for services");
	if (strspn(r->method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
	    strlen(r->method))
		ADD_PROBLEM(parser, "request", index, "method",
			    "must be upper case, such as \"POST\"");
	if (r->path[0] && r->path[0] != '/')
		ADD_PROBLEM(parser, "request", index, "path",
			    "must begin with '/'");
	if (!r->path[0] && !r->may_repeat)
		ADD_PROBLEM(
			parser, "request", index, "path",
			"is missing; it is required where may_repeat is false");
}

static void check_request(parser_t *parser, uint32_t index)
{
	questionnaire_request_t *r = &parser->questionnaire->requests[index];

	if (r->tier[0] && !has_tier(parser->questionnaire, r->tier))
		ADD_PROBLEM(parser, "request", index, "tier",
			    "no tier is named \"%s\"", r->tier);
	if (!r->target_spec[0])
		return;
	pimento_config_parse_target(r->target_spec, &r->target, r->target_name);
	check_target(parser, "request", index, "uses", r->target,
		     r->target_name);
	if (!r->target)
		return;
	check_call(parser, index);
	check_endpoint_available(parser, index);
}

static bool callers_overlap(const questionnaire_t *questionnaire,
			    const questionnaire_request_t *a,
			    const questionnaire_request_t *b)
{
	for (uint32_t i = 0; i < questionnaire->caller_count; i++)
		if (caller_may_send(a, i) && caller_may_send(b, i))
			return true;
	return false;
}

static bool calls_overlap(const questionnaire_t *questionnaire,
			  const questionnaire_request_t *a,
			  const questionnaire_request_t *b)
{
	return a->target == CONFIG_TARGET_SERVICE && b->target == a->target &&
	       !strcmp(a->target_name, b->target_name) &&
	       pimento_config_calls_overlap(a->method, a->path, b->method,
					    b->path) &&
	       callers_overlap(questionnaire, a, b);
}

/*
 * Rejects requests that match the same call but differ in may_repeat. Otherwise
 * a call that must not be repeated could be sent as a request that may be, and
 * run twice. config_parse.c rejects contracts for the same reason.
 */
static void check_overlapping_requests(const parser_t *parser)
{
	const questionnaire_t *questionnaire = parser->questionnaire;

	for (uint32_t i = 0; i < questionnaire->request_count; i++) {
		const questionnaire_request_t *a = &questionnaire->requests[i];

		for (uint32_t j = 0; j < i; j++) {
			const questionnaire_request_t *b =
				&questionnaire->requests[j];

			if (a->may_repeat == b->may_repeat ||
			    !calls_overlap(questionnaire, a, b))
				continue;
			ADD_PROBLEM(
				parser, "request", i, "may_repeat",
				"request \"%s\" matches the same calls with "
				"another value",
				b->name);
		}
	}
}

static void check_services(const parser_t *parser)
{
	for (uint32_t i = 0; i < parser->questionnaire->service_count; i++) {
		const char *path = parser->questionnaire->services[i].path;
		const char *problem = pimento_config_check_prefix(path);

		if (path[0] && problem)
			ADD_PROBLEM(parser, "service", i, "path", "%s",
				    problem);
	}
}

static void check_callers(const parser_t *parser)
{
	const questionnaire_caller_t *callers = parser->questionnaire->callers;
	static const uint8_t zero_hash[32];

	for (uint32_t i = 0; i < parser->questionnaire->caller_count; i++)
		for (uint32_t j = 0; j < i; j++)
			if (memcmp(callers[i].key_hash, zero_hash, 32) != 0 &&
			    !memcmp(callers[i].key_hash, callers[j].key_hash,
				    32))
				ADD_PROBLEM(
					parser, "caller", i, "key_hash",
					"caller \"%s\" has the same key hash",
					callers[j].name);
}

static void check_contract_count(const parser_t *parser)
{
	const questionnaire_t *questionnaire = parser->questionnaire;
	uint32_t count = 0;

	for (uint32_t i = 0; i < questionnaire->request_count; i++)
		count += questionnaire->requests[i].all_callers
				 ? 1
				 : questionnaire->requests[i].caller_count;
	if (count > CONTRACTS_MAX)
		problems_add(parser->source.problems, parser->source.file, 0,
			     "request",
			     "%u pairs of request and caller, at most %d are "
			     "allowed; write from = [\"*\"] for requests that "
			     "every caller may send",
			     count, CONTRACTS_MAX);
}

static int check_document(parser_t *parser)
{
	questionnaire_t *questionnaire = parser->questionnaire;
	int error = check_unique_values(parser);

	for (uint32_t i = 0; i < questionnaire->request_count && !error; i++)
		error = read_request_callers(parser, i);
	if (error)
		return error;
	check_callers(parser);
	check_services(parser);
	for (uint32_t i = 0; i < questionnaire->endpoint_count; i++)
		check_endpoint(parser, i);
	for (uint32_t i = 0; i < questionnaire->request_count; i++)
		check_request(parser, i);
	check_overlapping_requests(parser);
	check_contract_count(parser);
	return PIMENTO_OK;
}

static bool has_endpoint_in(const void *context, const char *datacentre)
{
	const questionnaire_t *questionnaire = context;

	for (uint32_t i = 0; i < questionnaire->endpoint_count; i++)
		if (strcmp(questionnaire->endpoints[i].datacentre,
			   datacentre) == 0)
			return true;
	return false;
}

static int read_document(parser_t *parser)
{
	uint32_t before = parser->source.problems->count;
	int error;

	fields_read(&parser->source, parser->root, "", toplevel_fields,
		    COUNT(toplevel_fields), parser->questionnaire);
	error = read_table_arrays(parser);
	if (error)
		return error;
	error = check_document(parser);
	if (error)
		return error;
	error = evacuation_field_read(&parser->source, parser->root,
				      has_endpoint_in, parser->questionnaire,
				      &parser->questionnaire->evacuated);
	if (error)
		return error;
	return parser->source.problems->count == before ? PIMENTO_OK
							: PIMENTO_EPARSE;
}

int questionnaire_parse(questionnaire_t *questionnaire, const char *text,
			size_t length, const char *file, problems_t *problems)
{
	parser_t parser = { .source = { file, problems },
			    .questionnaire = questionnaire };
	toml_document_t document;
	int error;

	memset(questionnaire, 0, sizeof(*questionnaire));
	if (length > CONFIG_MAX_BYTES)
		return PIMENTO_ETOOBIG;
	error = toml_parse(&document, text, length);
	if (error == PIMENTO_EPARSE)
		problems_add(problems, file, document.error_line, "syntax",
			     "%s", document.error);
	if (error)
		return error;
	parser.root = document.root;
	error = read_document(&parser);
	toml_finish(&document);
	if (error)
		questionnaire_finish(questionnaire);
	return error;
}

void questionnaire_finish(questionnaire_t *questionnaire)
{
	for (uint32_t i = 0; i < questionnaire->request_count; i++)
		free(questionnaire->requests[i].callers);
	free(questionnaire->tiers);
	free(questionnaire->callers);
	free(questionnaire->requests);
	free(questionnaire->services);
	free(questionnaire->endpoints);
	evacuation_finish(&questionnaire->evacuated);
	memset(questionnaire, 0, sizeof(*questionnaire));
}
