/*
 * Parses the configuration in three passes: each table is read by its field
 * descriptions, then values that must be unique are checked, then references
 * between tables. An error in any pass rejects the whole configuration, so that
 * no daemon serves under a part of one. The result depends on the text alone, so
 * all daemons accept or reject the same revisions.
 */

#include "config.h"

#include "evacuation_field.h"
#include "fields.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

#define BODY_DEFAULT_BYTES 1048576
#define BODY_MAX_BYTES 67108864
#define RETENTION_DEFAULT_S 600
#define RETENTION_MAX_S 86400
#define TIMEOUT_MIN_MS 50
#define TIMEOUT_MAX_MS 86400000
#define ANSWER_TOKENS_DEFAULT 256
#define TOKENS_MAX 10000000
#define WEIGHT_MAX 1000
#define CONCURRENCY_MAX 65536

#define ACCOUNTS_MAX 4096
#define CONTRACTS_MAX 1024
#define SERVICES_MAX 256
#define ENDPOINTS_MAX 16384

#define DIGEST_DIGITS 16

/*
 * A [[contract]] or [[endpoint]] as read. The names of targets and tiers are
 * resolved after all tables have been read.
 */
typedef struct raw_contract {
	config_contract_t contract;
	char target[PIMENTO_NAME_MAX + 8];
	char tier[PIMENTO_NAME_MAX];
} raw_contract_t;

typedef struct raw_endpoint {
	config_endpoint_t endpoint;
	char target[PIMENTO_NAME_MAX + 8];
} raw_endpoint_t;

typedef struct raw_toplevel {
	char deployment[PIMENTO_NAME_MAX];
	char digest[DIGEST_DIGITS + 1];
	uint32_t body_max;
	pimento_usec_t retention;
} raw_toplevel_t;

/* State of one run of the parser. */
typedef struct parser {
	fields_source_t source;
	const toml_node_t *root;
	pimento_config_t *config;
	config_tier_t *tiers;
	uint32_t tier_count;
	raw_contract_t *contracts;
	uint32_t contract_count;
	raw_endpoint_t *endpoints;
	uint32_t endpoint_count;
	raw_toplevel_t toplevel;
} parser_t;

#define OFFSET(type, member) offsetof(type, member)
#define TARGET_MAX_LENGTH (PIMENTO_NAME_MAX + 7)

static const field_t toplevel_fields[] = {
	{ "deployment", FIELD_NAME, true, OFFSET(raw_toplevel_t, deployment), 0,
	  0, NULL },
	{ "digest", FIELD_TEXT, false, OFFSET(raw_toplevel_t, digest),
	  DIGEST_DIGITS, DIGEST_DIGITS, NULL },
	{ "body_max", FIELD_U32, false, OFFSET(raw_toplevel_t, body_max), 1024,
	  BODY_MAX_BYTES, NULL },
	{ "retention_s", FIELD_SEC, false, OFFSET(raw_toplevel_t, retention),
	  10, RETENTION_MAX_S, NULL },
	EVACUATION_FIELD,
	{ "tier", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "account", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "contract", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "service", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
	{ "endpoint", FIELD_TABLE_ARRAY, false, 0, 0, 0, NULL },
};

static const field_t tier_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(config_tier_t, name), 0, 0, NULL },
	{ "rank", FIELD_U8, true, OFFSET(config_tier_t, rank), 0,
	  PIMENTO_TIERS_MAX - 1, NULL },
	{ "patience_ms", FIELD_MSEC, true, OFFSET(config_tier_t, timeout),
	  TIMEOUT_MIN_MS, TIMEOUT_MAX_MS, NULL },
};

static const field_t account_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(config_account_t, name), 0, 0,
	  NULL },
	{ "key_hash", FIELD_HEX32, true, OFFSET(config_account_t, key_hash), 0,
	  0, NULL },
	{ "weight", FIELD_U32, false, OFFSET(config_account_t, weight), 1,
	  WEIGHT_MAX, NULL },
};

static const field_t contract_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(raw_contract_t, contract.name), 0, 0,
	  NULL },
	{ "account", FIELD_TEXT, true, OFFSET(raw_contract_t, contract.account),
	  1, PIMENTO_NAME_MAX - 1, NULL },
	{ "target", FIELD_TEXT, true, OFFSET(raw_contract_t, target), 1,
	  TARGET_MAX_LENGTH, NULL },
	{ "tier", FIELD_NAME, true, OFFSET(raw_contract_t, tier), 0, 0, NULL },
	{ "patience_ms", FIELD_MSEC, false,
	  OFFSET(raw_contract_t, contract.timeout), TIMEOUT_MIN_MS,
	  TIMEOUT_MAX_MS, NULL },
	{ "repeatable", FIELD_BOOL, false,
	  OFFSET(raw_contract_t, contract.repeatable), 0, 0, NULL },
	{ "answer_tokens", FIELD_U32, false,
	  OFFSET(raw_contract_t, contract.answer_tokens), 1, TOKENS_MAX, NULL },
	{ "method", FIELD_TEXT, false, OFFSET(raw_contract_t, contract.method),
	  0, 7, NULL },
	{ "path", FIELD_TEXT, false, OFFSET(raw_contract_t, contract.path), 0,
	  127, NULL },
};

static const field_t service_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(config_service_t, name), 0, 0,
	  NULL },
	{ "prefix", FIELD_TEXT, true, OFFSET(config_service_t, prefix), 1, 63,
	  NULL },
};

static const field_t endpoint_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(raw_endpoint_t, endpoint.name), 0, 0,
	  NULL },
	{ "datacentre", FIELD_NAME, true,
	  OFFSET(raw_endpoint_t, endpoint.datacentre), 0, 0, NULL },
	{ "target", FIELD_TEXT, true, OFFSET(raw_endpoint_t, target), 1,
	  TARGET_MAX_LENGTH, NULL },
	{ "address", FIELD_ADDRESS, true,
	  OFFSET(raw_endpoint_t, endpoint.address), 0, 0, NULL },
	{ "port", FIELD_U16, true, OFFSET(raw_endpoint_t, endpoint.port), 1,
	  65535, NULL },
	{ "fencing", FIELD_BOOL, false,
	  OFFSET(raw_endpoint_t, endpoint.fencing), 0, 0, NULL },
	{ "concurrency", FIELD_U32, true,
	  OFFSET(raw_endpoint_t, endpoint.concurrency), 1, CONCURRENCY_MAX,
	  NULL },
	{ "context_tokens", FIELD_U32, false,
	  OFFSET(raw_endpoint_t, endpoint.context_tokens), 0, TOKENS_MAX,
	  NULL },
};

static const config_tier_t tier_defaults;
static const config_account_t account_defaults = { .weight = 1 };
static const raw_contract_t contract_defaults = {
	.contract = { .repeatable = true,
		      .answer_tokens = ANSWER_TOKENS_DEFAULT },
};
static const config_service_t service_defaults;
static const raw_endpoint_t endpoint_defaults;

#define TABLE_ARRAY(name, type, min_count, max_count)                     \
	{                                                                 \
#name, name##_fields, COUNT(name##_fields), sizeof(type), \
			&name##_defaults, min_count, max_count            \
	}

static const fields_list_t tier_list =
	TABLE_ARRAY(tier, config_tier_t, 1, PIMENTO_TIERS_MAX);
static const fields_list_t account_list =
	TABLE_ARRAY(account, config_account_t, 1, ACCOUNTS_MAX);
static const fields_list_t contract_list =
	TABLE_ARRAY(contract, raw_contract_t, 1, CONTRACTS_MAX);
static const fields_list_t service_list =
	TABLE_ARRAY(service, config_service_t, 0, SERVICES_MAX);
static const fields_list_t endpoint_list =
	TABLE_ARRAY(endpoint, raw_endpoint_t, 1, ENDPOINTS_MAX);

static int read_table_arrays(parser_t *parser)
{
	const struct {
		const fields_list_t *list;
		void **elements;
		uint32_t *count;
	} lists[] = {
		{ &tier_list, (void **)&parser->tiers, &parser->tier_count },
		{ &account_list, (void **)&parser->config->accounts,
		  &parser->config->account_count },
		{ &contract_list, (void **)&parser->contracts,
		  &parser->contract_count },
		{ &service_list, (void **)&parser->config->services,
		  &parser->config->service_count },
		{ &endpoint_list, (void **)&parser->endpoints,
		  &parser->endpoint_count },
	};
	int error = PIMENTO_OK;

	for (size_t i = 0; i < COUNT(lists) && !error; i++)
		error = fields_read_list(&parser->source, parser->root,
					 lists[i].list, lists[i].elements,
					 lists[i].count);
	return error;
}

#define TARGET_FORMAT_MESSAGE "must be \"model:NAME\" or \"service:NAME\""

static void parse_targets(parser_t *parser)
{
	for (uint32_t i = 0; i < parser->contract_count; i++) {
		raw_contract_t *raw = &parser->contracts[i];

		if (raw->target[0] &&
		    !pimento_config_parse_target(raw->target,
						 &raw->contract.target,
						 raw->contract.target_name))
			fields_add_problem(&parser->source, parser->root,
					   "contract", i, "target",
					   TARGET_FORMAT_MESSAGE);
	}
	for (uint32_t i = 0; i < parser->endpoint_count; i++) {
		raw_endpoint_t *raw = &parser->endpoints[i];

		if (raw->target[0] &&
		    !pimento_config_parse_target(raw->target,
						 &raw->endpoint.target,
						 raw->endpoint.target_name))
			fields_add_problem(&parser->source, parser->root,
					   "endpoint", i, "target",
					   TARGET_FORMAT_MESSAGE);
	}
}

static bool has_service(const pimento_config_t *config, const char *name)
{
	for (uint32_t i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, name))
			return true;
	return false;
}

static bool has_account(const pimento_config_t *config, const char *name)
{
	for (uint32_t i = 0; i < config->account_count; i++)
		if (!strcmp(config->accounts[i].name, name))
			return true;
	return false;
}

static bool has_endpoint(const parser_t *parser, config_target_t target,
			 const char *name)
{
	for (uint32_t i = 0; i < parser->endpoint_count; i++) {
		const config_endpoint_t *e = &parser->endpoints[i].endpoint;

		if (e->target == target && !strcmp(e->target_name, name))
			return true;
	}
	return false;
}

static const config_tier_t *find_tier(const parser_t *parser, const char *name)
{
	for (uint32_t i = 0; i < parser->tier_count; i++)
		if (!strcmp(parser->tiers[i].name, name))
			return &parser->tiers[i];
	return NULL;
}

static void check_contract_target(const parser_t *parser, uint32_t index)
{
	const config_contract_t *c = &parser->contracts[index].contract;
	bool service = c->target == CONFIG_TARGET_SERVICE;

	if (!c->target)
		return;
	if (service && !has_service(parser->config, c->target_name))
		fields_add_problem(&parser->source, parser->root, "contract",
				   index, "target",
				   "no [[service]] is named \"%s\"",
				   c->target_name);
	if (!has_endpoint(parser, c->target, c->target_name))
		fields_add_problem(&parser->source, parser->root, "contract",
				   index, "target", "no endpoint serves \"%s\"",
				   parser->contracts[index].target);
	if (!service && (c->method[0] || c->path[0]))
		fields_add_problem(&parser->source, parser->root, "contract",
				   index, c->method[0] ? "method" : "path",
				   "is for services only");
	if (c->path[0] && c->path[0] != '/')
		fields_add_problem(&parser->source, parser->root, "contract",
				   index, "path", "must begin with '/'");
}

static void check_contract(parser_t *parser, uint32_t index)
{
	raw_contract_t *raw = &parser->contracts[index];
	config_contract_t *c = &raw->contract;
	const config_tier_t *tier = find_tier(parser, raw->tier);

	if (c->account[0] && strcmp(c->account, "*") != 0 &&
	    !has_account(parser->config, c->account))
		fields_add_problem(&parser->source, parser->root, "contract",
				   index, "account",
				   "no account is named \"%s\"", c->account);
	if (tier) {
		c->tier = tier->rank;
		if (!c->timeout)
			c->timeout = tier->timeout;
	} else if (raw->tier[0]) {
		fields_add_problem(&parser->source, parser->root, "contract",
				   index, "tier", "no tier is named \"%s\"",
				   raw->tier);
	}
	if (strspn(c->method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
	    strlen(c->method))
		fields_add_problem(&parser->source, parser->root, "contract",
				   index, "method",
				   "must be upper case, such as \"POST\"");
	check_contract_target(parser, index);
}

static bool accounts_overlap(const config_contract_t *a,
			     const config_contract_t *b)
{
	return !strcmp(a->account, "*") || !strcmp(b->account, "*") ||
	       !strcmp(a->account, b->account);
}

static bool calls_overlap(const config_contract_t *a,
			  const config_contract_t *b)
{
	return a->target == CONFIG_TARGET_SERVICE && b->target == a->target &&
	       !strcmp(a->target_name, b->target_name) &&
	       accounts_overlap(a, b) &&
	       pimento_config_calls_overlap(a->method, a->path, b->method,
					    b->path);
}

/*
 * Rejects contracts that match the same call but differ in repeatable. Otherwise
 * a caller could select the repeatable one for a call that must not be repeated,
 * and the call could run twice.
 */
static void check_overlapping_contracts(const parser_t *parser)
{
	for (uint32_t i = 0; i < parser->contract_count; i++) {
		const config_contract_t *a = &parser->contracts[i].contract;

		for (uint32_t j = 0; j < i; j++) {
			const config_contract_t *b =
				&parser->contracts[j].contract;

			if (a->repeatable == b->repeatable ||
			    !calls_overlap(a, b))
				continue;
			fields_add_problem(
				&parser->source, parser->root, "contract", i,
				"repeatable",
				"contract \"%s\" matches the same calls "
				"with another value",
				b->name);
		}
	}
}

static void check_contract_names(const parser_t *parser)
{
	for (uint32_t i = 0; i < parser->contract_count; i++) {
		const config_contract_t *a = &parser->contracts[i].contract;

		for (uint32_t j = 0; j < i && a->name[0]; j++) {
			const config_contract_t *b =
				&parser->contracts[j].contract;

			if (strcmp(a->name, b->name) != 0 ||
			    strcmp(a->account, b->account) != 0)
				continue;
			fields_add_problem(
				&parser->source, parser->root, "contract", i,
				"name",
				"\"%s\" is used twice for account \"%s\"",
				a->name, a->account);
			break;
		}
	}
}

static void order_tiers_by_rank(parser_t *parser)
{
	config_tier_t *tiers = parser->config->tiers;

	for (uint32_t i = 0; i < parser->tier_count; i++) {
		const config_tier_t *tier = &parser->tiers[i];

		if (tier->rank >= parser->tier_count)
			fields_add_problem(&parser->source, parser->root,
					   "tier", i, "rank",
					   "ranks must be consecutive from 0");
		else if (tiers[tier->rank].name[0])
			fields_add_problem(&parser->source, parser->root,
					   "tier", i, "rank",
					   "tier \"%s\" has the same rank",
					   tiers[tier->rank].name);
		else
			tiers[tier->rank] = *tier;
	}
	parser->config->tier_count = parser->tier_count;
}

static void check_service(const parser_t *parser, uint32_t index)
{
	const char *prefix = parser->config->services[index].prefix;
	const char *problem = pimento_config_check_prefix(prefix);

	if (prefix[0] && problem)
		fields_add_problem(&parser->source, parser->root, "service",
				   index, "prefix", "%s", problem);
}

static void check_endpoint(const parser_t *parser, uint32_t index)
{
	const config_endpoint_t *e = &parser->endpoints[index].endpoint;

	if (e->target == CONFIG_TARGET_SERVICE &&
	    !has_service(parser->config, e->target_name))
		fields_add_problem(&parser->source, parser->root, "endpoint",
				   index, "target",
				   "no [[service]] is named \"%s\"",
				   e->target_name);
}

static int check_unique_values(const parser_t *parser)
{
	const pimento_config_t *config = parser->config;
	const struct {
		const fields_list_t *list;
		const void *elements;
		uint32_t count;
		const char *key;
		size_t offset;
	} lists[] = {
		{ &tier_list, parser->tiers, parser->tier_count, "name",
		  OFFSET(config_tier_t, name) },
		{ &account_list, config->accounts, config->account_count,
		  "name", OFFSET(config_account_t, name) },
		{ &service_list, config->services, config->service_count,
		  "name", OFFSET(config_service_t, name) },
		{ &service_list, config->services, config->service_count,
		  "prefix", OFFSET(config_service_t, prefix) },
		{ &endpoint_list, parser->endpoints, parser->endpoint_count,
		  "name", OFFSET(raw_endpoint_t, endpoint.name) },
	};
	int error = PIMENTO_OK;

	for (size_t i = 0; i < COUNT(lists) && !error; i++)
		error = fields_check_unique(&parser->source, parser->root,
					    lists[i].list, lists[i].elements,
					    lists[i].count, lists[i].key,
					    lists[i].offset);
	return error;
}

static int compare_addresses(const void *left, const void *right)
{
	const raw_endpoint_t *a = *(const raw_endpoint_t *const *)left;
	const raw_endpoint_t *b = *(const raw_endpoint_t *const *)right;
	int order = strcmp(a->endpoint.address, b->endpoint.address);

	if (order)
		return order;
	if (a->endpoint.port != b->endpoint.port)
		return a->endpoint.port < b->endpoint.port ? -1 : 1;
	return (a > b) - (a < b);
}

static bool same_address(const config_endpoint_t *a, const config_endpoint_t *b)
{
	return a->port && a->port == b->port && !strcmp(a->address, b->address);
}

/*
 * Rejects endpoints with equal address and port. A process listed under two
 * names would have two owners that do not count each other's requests, and would
 * get up to twice its concurrency limit.
 */
static int check_addresses(const parser_t *parser)
{
	const raw_endpoint_t **sorted = calloc(
		(size_t)parser->endpoint_count + 1, sizeof(const void *));

	if (!sorted)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < parser->endpoint_count; i++)
		sorted[i] = &parser->endpoints[i];
	qsort((void *)sorted, parser->endpoint_count, sizeof(const void *),
	      compare_addresses);
	for (uint32_t i = 1; i < parser->endpoint_count; i++)
		if (same_address(&sorted[i - 1]->endpoint,
				 &sorted[i]->endpoint))
			fields_add_problem(
				&parser->source, parser->root, "endpoint",
				(uint32_t)(sorted[i] - parser->endpoints),
				"port",
				"endpoint \"%s\" has the same address and port",
				sorted[i - 1]->endpoint.name);
	free((void *)sorted);
	return PIMENTO_OK;
}

/* Rejects equal key hashes: callers of such accounts cannot be told apart. */
static void check_key_hashes(const parser_t *parser)
{
	const config_account_t *accounts = parser->config->accounts;

	for (uint32_t i = 0; i < parser->config->account_count; i++)
		for (uint32_t j = 0; j < i; j++)
			if (!sodium_is_zero(accounts[i].key_hash, 32) &&
			    !memcmp(accounts[i].key_hash, accounts[j].key_hash,
				    32))
				fields_add_problem(
					&parser->source, parser->root,
					"account", i, "key_hash",
					"account \"%s\" has the same key hash",
					accounts[j].name);
}

/*
 * Verifies the digest on the first line, which covers all following lines. It
 * detects a text that was truncated or edited by hand, but is not a signature.
 */
static void check_digest(parser_t *parser, const char *text, size_t length)
{
	const char *end = memchr(text, '\n', length);
	const toml_node_t *node = toml_get(parser->root, "digest");
	char expected[DIGEST_DIGITS + 1];
	size_t line = end ? (size_t)(end - text) + 1 : length;
	uint64_t digest;

	if (!parser->toplevel.digest[0]) {
		parser->config->digest = XXH3_64bits(text, length);
		return;
	}
	digest = pimento_config_digest(text + line, length - line);
	snprintf(expected, sizeof(expected), "%016llx",
		 (unsigned long long)digest);
	if (toml_line(node) != 1)
		problems_add(parser->source.problems, parser->source.file,
			     toml_line(node), "digest",
			     "must be on the first line");
	else if (strcmp(expected, parser->toplevel.digest) != 0)
		problems_add(parser->source.problems, parser->source.file, 1,
			     "digest",
			     "does not match the text, whose digest is %s: "
			     "generate it again instead of editing it",
			     expected);
	parser->config->digest = digest;
}

/* Copies the resolved contracts and endpoints into the configuration. */
static int fill_config(parser_t *parser)
{
	pimento_config_t *config = parser->config;

	config->contracts =
		calloc(parser->contract_count + 1, sizeof(*config->contracts));
	config->endpoints =
		calloc(parser->endpoint_count + 1, sizeof(*config->endpoints));
	if (!config->contracts || !config->endpoints)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < parser->contract_count; i++)
		config->contracts[i] = parser->contracts[i].contract;
	config->contract_count = parser->contract_count;
	for (uint32_t i = 0; i < parser->endpoint_count; i++) {
		config->endpoints[i] = parser->endpoints[i].endpoint;
		config->endpoints[i].id = pimento_id(config->endpoints[i].name);
	}
	config->endpoint_count = parser->endpoint_count;
	for (uint32_t i = 0; i < config->account_count; i++)
		config->accounts[i].id = pimento_id(config->accounts[i].name);
	pimento_config_sort_endpoints(config);
	return PIMENTO_OK;
}

static int check_document(parser_t *parser)
{
	int error = check_unique_values(parser);

	if (!error)
		error = check_addresses(parser);
	if (error)
		return error;
	parse_targets(parser);
	order_tiers_by_rank(parser);
	check_key_hashes(parser);
	for (uint32_t i = 0; i < parser->config->service_count; i++)
		check_service(parser, i);
	for (uint32_t i = 0; i < parser->endpoint_count; i++)
		check_endpoint(parser, i);
	for (uint32_t i = 0; i < parser->contract_count; i++)
		check_contract(parser, i);
	check_contract_names(parser);
	check_overlapping_contracts(parser);
	return PIMENTO_OK;
}

static bool has_endpoint_in(const void *context, const char *datacentre)
{
	const parser_t *parser = context;

	for (uint32_t i = 0; i < parser->endpoint_count; i++)
		if (strcmp(parser->endpoints[i].endpoint.datacentre,
			   datacentre) == 0)
			return true;
	return false;
}

static int read_document(parser_t *parser, const char *text, size_t length)
{
	pimento_config_t *config = parser->config;
	uint32_t before = parser->source.problems->count;
	int error;

	parser->toplevel.body_max = BODY_DEFAULT_BYTES;
	parser->toplevel.retention = RETENTION_DEFAULT_S * PIMENTO_SEC;
	fields_read(&parser->source, parser->root, "", toplevel_fields,
		    COUNT(toplevel_fields), &parser->toplevel);
	error = read_table_arrays(parser);
	if (error)
		return error;
	error = check_document(parser);
	if (error)
		return error;
	error = evacuation_field_read(&parser->source, parser->root,
				      has_endpoint_in, parser,
				      &config->evacuated);
	if (error)
		return error;
	check_digest(parser, text, length);
	memcpy(config->deployment, parser->toplevel.deployment,
	       PIMENTO_NAME_MAX);
	config->body_max = parser->toplevel.body_max;
	config->retention = parser->toplevel.retention;
	if (parser->source.problems->count != before)
		return PIMENTO_EPARSE;
	return fill_config(parser);
}

int pimento_config_parse(pimento_config_t *config, const char *text,
			 size_t length, const char *file, problems_t *problems)
{
	parser_t parser = { .source = { file, problems }, .config = config };
	toml_document_t document;
	int error;

	memset(config, 0, sizeof(*config));
	if (length > CONFIG_MAX_BYTES)
		return PIMENTO_ETOOBIG;
	error = toml_parse(&document, text, length);
	if (error == PIMENTO_EPARSE)
		problems_add(problems, file, document.error_line, "syntax",
			     "%s", document.error);
	if (error)
		return error;
	parser.root = document.root;
	error = read_document(&parser, text, length);
	free(parser.tiers);
	free(parser.contracts);
	free(parser.endpoints);
	toml_finish(&document);
	if (error)
		pimento_config_finish(config);
	return error;
}
