/*
 * Parses and checks the answers of the questionnaire. What the configuration's
 * own checks would refuse is found here first, so that the reasons name the
 * questions and not what was derived from them.
 */

#include "answers.h"

#include "fields.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define AT(type, member) offsetof(type, member)

#define UNTIL_MIN_MS 50
#define UNTIL_MAX_MS 86400000
#define CALLERS_MAX 512
#define REQUESTS_MAX 128
#define CONTRACTS_MAX 1024
#define SERVICES_MAX 256
#define ENDPOINTS_MAX 4096
#define AT_ONCE_MAX 65536
#define CONTEXT_MAX 10000000
#define SERVES_MAX (PIMENTO_NAME_MAX + 7)

static const char *const sizes[] = { "small", "medium", "large", NULL };
static const char *const lengths[] = { "line",	  "paragraph", "page",
				       "chapter", "thesis",    NULL };

static const field_t top_fields[] = {
	{ "deployment", FIELD_NAME, true, AT(answers_t, deployment), 0, 0,
	  NULL },
	{ "tier", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "caller", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "request", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "service", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "endpoint", FIELD_TABLES, false, 0, 0, 0, NULL },
};

static const field_t tier_fields[] = {
	{ "name", FIELD_NAME, true, AT(answers_tier_t, name), 0, 0, NULL },
	{ "until", FIELD_SPAN, true, AT(answers_tier_t, until), UNTIL_MIN_MS,
	  UNTIL_MAX_MS, NULL },
};

static const field_t caller_fields[] = {
	{ "name", FIELD_NAME, true, AT(answers_caller_t, name), 0, 0, NULL },
	{ "key_hash", FIELD_HEX32, true, AT(answers_caller_t, key_hash), 0, 0,
	  NULL },
	{ "size", FIELD_WORD, true, AT(answers_caller_t, size), 0, 0, sizes },
};

static const field_t request_fields[] = {
	{ "name", FIELD_NAME, true, AT(answers_request_t, name), 0, 0, NULL },
	{ "what", FIELD_TEXT, true, AT(answers_request_t, what), 1, 199, NULL },
	{ "from", FIELD_STRINGS, true, 0, 0, 0, NULL },
	{ "uses", FIELD_TEXT, true, AT(answers_request_t, uses), 1, SERVES_MAX,
	  NULL },
	{ "method", FIELD_TEXT, false, AT(answers_request_t, method), 1, 7,
	  NULL },
	{ "path", FIELD_TEXT, false, AT(answers_request_t, path), 1, 127,
	  NULL },
	{ "tier", FIELD_NAME, true, AT(answers_request_t, tier), 0, 0, NULL },
	{ "until", FIELD_SPAN, false, AT(answers_request_t, until),
	  UNTIL_MIN_MS, UNTIL_MAX_MS, NULL },
	{ "may_repeat", FIELD_BOOL, true, AT(answers_request_t, may_repeat), 0,
	  0, NULL },
	{ "question", FIELD_WORD, true, AT(answers_request_t, question), 0, 0,
	  lengths },
	{ "answer", FIELD_WORD, true, AT(answers_request_t, answer), 0, 0,
	  lengths },
};

static const field_t service_fields[] = {
	{ "name", FIELD_NAME, true, AT(answers_service_t, name), 0, 0, NULL },
	{ "path", FIELD_TEXT, true, AT(answers_service_t, path), 1, 63, NULL },
};

static const field_t endpoint_fields[] = {
	{ "name", FIELD_NAME, true, AT(answers_endpoint_t, name), 0, 0, NULL },
	{ "datacentre", FIELD_NAME, true, AT(answers_endpoint_t, datacentre), 0,
	  0, NULL },
	{ "serves", FIELD_TEXT, true, AT(answers_endpoint_t, serves), 1,
	  SERVES_MAX, NULL },
	{ "at", FIELD_TEXT, true, AT(answers_endpoint_t, at), 1, 79, NULL },
	{ "checks_fencing", FIELD_BOOL, true,
	  AT(answers_endpoint_t, checks_fencing), 0, 0, NULL },
	{ "at_once", FIELD_U32, true, AT(answers_endpoint_t, at_once), 1,
	  AT_ONCE_MAX, NULL },
	{ "context_tokens", FIELD_U32, false,
	  AT(answers_endpoint_t, context_tokens), 1, CONTEXT_MAX, NULL },
};

static const answers_tier_t tier_defaults;
static const answers_caller_t caller_defaults;
static const answers_request_t request_defaults;
static const answers_service_t service_defaults;
static const answers_endpoint_t endpoint_defaults;

#define LIST(name, least, most)                                              \
	{                                                                    \
#name, name##_fields, COUNT(name##_fields),                  \
			sizeof(answers_##name##_t), &name##_defaults, least, \
			most                                                 \
	}

static const fields_list_t tier_list = LIST(tier, 1, PIMENTO_TIERS_MAX);
static const fields_list_t caller_list = LIST(caller, 1, CALLERS_MAX);
static const fields_list_t request_list = LIST(request, 1, REQUESTS_MAX);
static const fields_list_t service_list = LIST(service, 0, SERVICES_MAX);
static const fields_list_t endpoint_list = LIST(endpoint, 1, ENDPOINTS_MAX);

/* What one parse works on. */
typedef struct reader {
	fields_source_t source;
	const toml_node_t *root;
	answers_t *answers;
} reader_t;

/* Reports a mistake at one key of an element; evaluates its place once. */
#define PROBLEM(reader, list, index, key, ...)                              \
	fields_problem(&(reader)->source, (reader)->root, list, index, key, \
		       __VA_ARGS__)

uint32_t answers_tokens(int length)
{
	static const uint32_t tokens[ANSWERS_LENGTHS] = { 30, 150, 600, 6000,
							  60000 };

	return length >= 0 && length < ANSWERS_LENGTHS ? tokens[length] : 0;
}

static int read_lists(reader_t *reader)
{
	answers_t *a = reader->answers;
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
		error = fields_read_list(&reader->source, reader->root,
					 lists[i].list, lists[i].elements,
					 lists[i].count);
	return error;
}

static int check_unique(const reader_t *reader)
{
	const answers_t *a = reader->answers;
	const struct {
		const fields_list_t *list;
		const void *elements;
		uint32_t count;
		const char *key;
		size_t offset;
	} lists[] = {
		{ &tier_list, a->tiers, a->tier_count, "name",
		  AT(answers_tier_t, name) },
		{ &caller_list, a->callers, a->caller_count, "name",
		  AT(answers_caller_t, name) },
		{ &request_list, a->requests, a->request_count, "name",
		  AT(answers_request_t, name) },
		{ &service_list, a->services, a->service_count, "name",
		  AT(answers_service_t, name) },
		{ &service_list, a->services, a->service_count, "path",
		  AT(answers_service_t, path) },
		{ &endpoint_list, a->endpoints, a->endpoint_count, "name",
		  AT(answers_endpoint_t, name) },
		{ &endpoint_list, a->endpoints, a->endpoint_count, "at",
		  AT(answers_endpoint_t, at) },
	};
	int error = PIMENTO_OK;

	for (size_t i = 0; i < COUNT(lists) && !error; i++)
		error = fields_unique(&reader->source, reader->root,
				      lists[i].list, lists[i].elements,
				      lists[i].count, lists[i].key,
				      lists[i].offset);
	return error;
}

static int find_caller(const answers_t *answers, const char *name)
{
	for (uint32_t i = 0; i < answers->caller_count; i++)
		if (!strcmp(answers->callers[i].name, name))
			return (int)i;
	return -1;
}

static bool has_tier(const answers_t *answers, const char *name)
{
	for (uint32_t i = 0; i < answers->tier_count; i++)
		if (!strcmp(answers->tiers[i].name, name))
			return true;
	return false;
}

static bool has_service(const answers_t *answers, const char *name)
{
	for (uint32_t i = 0; i < answers->service_count; i++)
		if (!strcmp(answers->services[i].name, name))
			return true;
	return false;
}

static bool sends(const answers_request_t *request, uint32_t caller)
{
	if (request->everybody)
		return true;
	for (uint32_t i = 0; i < request->caller_count; i++)
		if (request->callers[i] == caller)
			return true;
	return false;
}

static void read_sender(reader_t *reader, uint32_t index, const char *name)
{
	answers_request_t *request = &reader->answers->requests[index];
	int caller = find_caller(reader->answers, name);

	if (!strcmp(name, "*"))
		request->everybody = true;
	else if (caller < 0)
		PROBLEM(reader, "request", index, "from",
			"no caller is named \"%s\"", name);
	else if (!request->everybody && sends(request, (uint32_t)caller))
		PROBLEM(reader, "request", index, "from", "\"%s\" stands twice",
			name);
	else
		request->callers[request->caller_count++] = (uint32_t)caller;
}

static int read_senders(reader_t *reader, uint32_t index)
{
	answers_request_t *request = &reader->answers->requests[index];
	const toml_node_t *table =
		toml_at(toml_get(reader->root, "request"), index);
	const toml_node_t *from = toml_get(table, "from");
	size_t count = toml_count(from);
	const char *name;
	size_t length;

	if (from && !count)
		PROBLEM(reader, "request", index, "from", "must not be empty");
	request->callers = calloc(reader->answers->caller_count + (size_t)1,
				  sizeof(*request->callers));
	if (!request->callers)
		return PIMENTO_ENOMEM;
	for (size_t i = 0; i < count && i <= CALLERS_MAX; i++)
		if (toml_string(toml_at(from, i), &name, &length))
			read_sender(reader, index, name);
	if (request->everybody && count > 1)
		PROBLEM(reader, "request", index, "from",
			"\"*\" stands for every caller and stands alone");
	return PIMENTO_OK;
}

#define TARGET_HELP "must be \"model:NAME\" or \"service:NAME\""

static void check_target(const reader_t *reader, const char *list,
			 uint32_t index, const char *key,
			 config_target_t target, const char *name)
{
	if (!target)
		PROBLEM(reader, list, index, key, TARGET_HELP);
	else if (target == CONFIG_TARGET_SERVICE &&
		 !has_service(reader->answers, name))
		PROBLEM(reader, list, index, key,
			"no [[service]] is named \"%s\"", name);
}

static void check_endpoint(reader_t *reader, uint32_t index)
{
	answers_endpoint_t *e = &reader->answers->endpoints[index];

	if (e->at[0] && fields_address_port(e->at, e->address, &e->port))
		PROBLEM(reader, "endpoint", index, "at",
			"must be an IP number and a port, such as "
			"\"127.0.0.1:7101\"");
	if (!e->serves[0])
		return;
	pimento_config_target(e->serves, &e->target, e->target_name);
	check_target(reader, "endpoint", index, "serves", e->target,
		     e->target_name);
}

static bool reads(const answers_endpoint_t *endpoint, uint32_t tokens)
{
	return !endpoint->context_tokens || endpoint->context_tokens >= tokens;
}

/* A request must have an endpoint, and for a model one that reads that much. */
static void check_served(const reader_t *reader, uint32_t index)
{
	const answers_request_t *r = &reader->answers->requests[index];
	uint32_t tokens =
		answers_tokens(r->question) + answers_tokens(r->answer);
	bool served = false;

	for (uint32_t i = 0; i < reader->answers->endpoint_count; i++) {
		const answers_endpoint_t *e = &reader->answers->endpoints[i];

		if (e->target != r->target ||
		    strcmp(e->target_name, r->target_name) != 0)
			continue;
		if (r->target == CONFIG_TARGET_SERVICE || reads(e, tokens))
			return;
		served = true;
	}
	if (served)
		PROBLEM(reader, "request", index, "question",
			"question and answer take %u tokens, and no endpoint "
			"of \"%s\" reads so many",
			tokens, r->uses);
	else
		PROBLEM(reader, "request", index, "uses",
			"no endpoint serves \"%s\"", r->uses);
}

static void check_call(const reader_t *reader, uint32_t index)
{
	const answers_request_t *r = &reader->answers->requests[index];

	if (r->target == CONFIG_TARGET_MODEL) {
		if (r->method[0])
			PROBLEM(reader, "request", index, "method",
				"is for services only");
		if (r->path[0])
			PROBLEM(reader, "request", index, "path",
				"is for services only");
		return;
	}
	if (!r->method[0])
		PROBLEM(reader, "request", index, "method",
			"is missing, services need it");
	if (strspn(r->method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
	    strlen(r->method))
		PROBLEM(reader, "request", index, "method",
			"must be upper case, such as \"POST\"");
	if (r->path[0] && r->path[0] != '/')
		PROBLEM(reader, "request", index, "path",
			"must begin with '/'");
	if (!r->path[0] && !r->may_repeat)
		PROBLEM(reader, "request", index, "path",
			"is missing, a call that may not be repeated needs it");
}

static void check_request(reader_t *reader, uint32_t index)
{
	answers_request_t *r = &reader->answers->requests[index];

	if (r->tier[0] && !has_tier(reader->answers, r->tier))
		PROBLEM(reader, "request", index, "tier",
			"no tier is named \"%s\"", r->tier);
	if (!r->uses[0])
		return;
	pimento_config_target(r->uses, &r->target, r->target_name);
	check_target(reader, "request", index, "uses", r->target,
		     r->target_name);
	if (!r->target)
		return;
	check_call(reader, index);
	check_served(reader, index);
}

static bool share_sender(const answers_t *answers, const answers_request_t *a,
			 const answers_request_t *b)
{
	for (uint32_t i = 0; i < answers->caller_count; i++)
		if (sends(a, i) && sends(b, i))
			return true;
	return false;
}

static bool same_call(const answers_t *answers, const answers_request_t *a,
		      const answers_request_t *b)
{
	return a->target == CONFIG_TARGET_SERVICE && b->target == a->target &&
	       !strcmp(a->target_name, b->target_name) &&
	       pimento_config_call_overlaps(a->method, a->path, b->method,
					    b->path) &&
	       share_sender(answers, a, b);
}

/* As config.c does: one call must not fit two that differ in may_repeat. */
static void check_overlaps(const reader_t *reader)
{
	const answers_t *answers = reader->answers;

	for (uint32_t i = 0; i < answers->request_count; i++) {
		const answers_request_t *a = &answers->requests[i];

		for (uint32_t j = 0; j < i; j++) {
			const answers_request_t *b = &answers->requests[j];

			if (a->may_repeat == b->may_repeat ||
			    !same_call(answers, a, b))
				continue;
			PROBLEM(reader, "request", i, "may_repeat",
				"request \"%s\" fits the same calls and says "
				"otherwise",
				b->name);
		}
	}
}

static void check_services(const reader_t *reader)
{
	for (uint32_t i = 0; i < reader->answers->service_count; i++) {
		const char *path = reader->answers->services[i].path;
		const char *wrong = pimento_config_prefix_problem(path);

		if (path[0] && wrong)
			PROBLEM(reader, "service", i, "path", "%s", wrong);
	}
}

static void check_callers(const reader_t *reader)
{
	const answers_caller_t *callers = reader->answers->callers;
	static const uint8_t none[32];

	for (uint32_t i = 0; i < reader->answers->caller_count; i++)
		for (uint32_t j = 0; j < i; j++)
			if (memcmp(callers[i].key_hash, none, 32) != 0 &&
			    !memcmp(callers[i].key_hash, callers[j].key_hash,
				    32))
				PROBLEM(reader, "caller", i, "key_hash",
					"caller \"%s\" has it too",
					callers[j].name);
}

static void check_contract_count(const reader_t *reader)
{
	const answers_t *answers = reader->answers;
	uint32_t count = 0;

	for (uint32_t i = 0; i < answers->request_count; i++)
		count += answers->requests[i].everybody
				 ? 1
				 : answers->requests[i].caller_count;
	if (count > CONTRACTS_MAX)
		problems_add(reader->source.problems, reader->source.file, 0,
			     "request",
			     "%u pairs of request and caller, at most %d are "
			     "taken; write from = [\"*\"] where all may send",
			     count, CONTRACTS_MAX);
}

static int check_all(reader_t *reader)
{
	answers_t *answers = reader->answers;
	int error = check_unique(reader);

	for (uint32_t i = 0; i < answers->request_count && !error; i++)
		error = read_senders(reader, i);
	if (error)
		return error;
	check_callers(reader);
	check_services(reader);
	for (uint32_t i = 0; i < answers->endpoint_count; i++)
		check_endpoint(reader, i);
	for (uint32_t i = 0; i < answers->request_count; i++)
		check_request(reader, i);
	check_overlaps(reader);
	check_contract_count(reader);
	return PIMENTO_OK;
}

static int read_all(reader_t *reader)
{
	uint32_t before = reader->source.problems->count;
	int error;

	fields_read(&reader->source, reader->root, "", top_fields,
		    COUNT(top_fields), reader->answers);
	error = read_lists(reader);
	if (error)
		return error;
	error = check_all(reader);
	if (error)
		return error;
	return reader->source.problems->count == before ? PIMENTO_OK
							: PIMENTO_EPARSE;
}

int answers_parse(answers_t *answers, const char *text, size_t length,
		  const char *file, problems_t *problems)
{
	reader_t reader = { .source = { file, problems }, .answers = answers };
	toml_document_t document;
	int error;

	memset(answers, 0, sizeof(*answers));
	if (length > CONFIG_TEXT_MAX)
		return PIMENTO_ETOOBIG;
	error = toml_init(&document, text, length);
	if (error == PIMENTO_EPARSE)
		problems_add(problems, file, document.error_line, "syntax",
			     "%s", document.error);
	if (error)
		return error;
	reader.root = document.root;
	error = read_all(&reader);
	toml_finish(&document);
	if (error)
		answers_finish(answers);
	return error;
}

void answers_finish(answers_t *answers)
{
	for (uint32_t i = 0; i < answers->request_count; i++)
		free(answers->requests[i].callers);
	free(answers->tiers);
	free(answers->callers);
	free(answers->requests);
	free(answers->services);
	free(answers->endpoints);
	memset(answers, 0, sizeof(*answers));
}
