/*
 * Parses the configuration. It is read in three passes: every table by its
 * description, then what must be unique, then what refers to something else.
 * Any mistake of any pass discards the whole, so that no daemon ever serves
 * under half of a configuration, and all daemons come to the same result
 * because nothing but the text goes in.
 */

#include "config.h"

#include "fields.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

#define BODY_MAX_DEFAULT 1048576
#define BODY_MAX_LIMIT 67108864
#define RETENTION_DEFAULT_S 600
#define RETENTION_MAX_S 86400
#define PATIENCE_MIN_MS 50
#define PATIENCE_MAX_MS 86400000
#define ANSWER_TOKENS_DEFAULT 256
#define TOKENS_MAX 10000000
#define WEIGHT_MAX 1000
#define CONCURRENCY_MAX 65536

#define ACCOUNTS_MAX 4096
#define CONTRACTS_MAX 1024
#define SERVICES_MAX 256
#define ENDPOINTS_MAX 16384

#define DIGEST_DIGITS 16

/* Texts that are taken apart once every table has been read. */
typedef struct raw_contract {
	config_contract_t contract;
	char target[PIMENTO_NAME_MAX + 8];
	char tier[PIMENTO_NAME_MAX];
} raw_contract_t;

typedef struct raw_endpoint {
	config_endpoint_t endpoint;
	char target[PIMENTO_NAME_MAX + 8];
} raw_endpoint_t;

typedef struct raw_top {
	char deployment[PIMENTO_NAME_MAX];
	char digest[DIGEST_DIGITS + 1];
	uint32_t body_max;
	pimento_usec_t retention;
} raw_top_t;

/* What one parse works on. */
typedef struct reader {
	fields_source_t source;
	const toml_node_t *root;
	pimento_config_t *config;
	config_tier_t *tiers;
	uint32_t tier_count;
	raw_contract_t *contracts;
	uint32_t contract_count;
	raw_endpoint_t *endpoints;
	uint32_t endpoint_count;
	raw_top_t top;
} reader_t;

#define AT(type, member) offsetof(type, member)
#define TARGET_MAX (PIMENTO_NAME_MAX + 7)

static const field_t top_fields[] = {
	{ "deployment", FIELD_NAME, true, AT(raw_top_t, deployment), 0, 0,
	  NULL },
	{ "digest", FIELD_TEXT, false, AT(raw_top_t, digest), DIGEST_DIGITS,
	  DIGEST_DIGITS, NULL },
	{ "body_max", FIELD_U32, false, AT(raw_top_t, body_max), 1024,
	  BODY_MAX_LIMIT, NULL },
	{ "retention_s", FIELD_SEC, false, AT(raw_top_t, retention), 10,
	  RETENTION_MAX_S, NULL },
	{ "tier", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "account", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "contract", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "service", FIELD_TABLES, false, 0, 0, 0, NULL },
	{ "endpoint", FIELD_TABLES, false, 0, 0, 0, NULL },
};

static const field_t tier_fields[] = {
	{ "name", FIELD_NAME, true, AT(config_tier_t, name), 0, 0, NULL },
	{ "rank", FIELD_U8, true, AT(config_tier_t, rank), 0,
	  PIMENTO_TIERS_MAX - 1, NULL },
	{ "patience_ms", FIELD_MSEC, true, AT(config_tier_t, patience),
	  PATIENCE_MIN_MS, PATIENCE_MAX_MS, NULL },
};

static const field_t account_fields[] = {
	{ "name", FIELD_NAME, true, AT(config_account_t, name), 0, 0, NULL },
	{ "key_hash", FIELD_HEX32, true, AT(config_account_t, key_hash), 0, 0,
	  NULL },
	{ "weight", FIELD_U32, false, AT(config_account_t, weight), 1,
	  WEIGHT_MAX, NULL },
};

static const field_t contract_fields[] = {
	{ "name", FIELD_NAME, true, AT(raw_contract_t, contract.name), 0, 0,
	  NULL },
	{ "account", FIELD_TEXT, true, AT(raw_contract_t, contract.account), 1,
	  PIMENTO_NAME_MAX - 1, NULL },
	{ "target", FIELD_TEXT, true, AT(raw_contract_t, target), 1, TARGET_MAX,
	  NULL },
	{ "tier", FIELD_NAME, true, AT(raw_contract_t, tier), 0, 0, NULL },
	{ "patience_ms", FIELD_MSEC, false,
	  AT(raw_contract_t, contract.patience), PATIENCE_MIN_MS,
	  PATIENCE_MAX_MS, NULL },
	{ "repeatable", FIELD_BOOL, false,
	  AT(raw_contract_t, contract.repeatable), 0, 0, NULL },
	{ "answer_tokens", FIELD_U32, false,
	  AT(raw_contract_t, contract.answer_tokens), 1, TOKENS_MAX, NULL },
	{ "method", FIELD_TEXT, false, AT(raw_contract_t, contract.method), 0,
	  7, NULL },
	{ "path", FIELD_TEXT, false, AT(raw_contract_t, contract.path), 0, 127,
	  NULL },
};

static const field_t service_fields[] = {
	{ "name", FIELD_NAME, true, AT(config_service_t, name), 0, 0, NULL },
	{ "prefix", FIELD_TEXT, true, AT(config_service_t, prefix), 1, 63,
	  NULL },
};

static const field_t endpoint_fields[] = {
	{ "name", FIELD_NAME, true, AT(raw_endpoint_t, endpoint.name), 0, 0,
	  NULL },
	{ "datacentre", FIELD_NAME, true,
	  AT(raw_endpoint_t, endpoint.datacentre), 0, 0, NULL },
	{ "target", FIELD_TEXT, true, AT(raw_endpoint_t, target), 1, TARGET_MAX,
	  NULL },
	{ "address", FIELD_ADDRESS, true, AT(raw_endpoint_t, endpoint.address),
	  0, 0, NULL },
	{ "port", FIELD_U16, true, AT(raw_endpoint_t, endpoint.port), 1, 65535,
	  NULL },
	{ "fencing", FIELD_BOOL, false, AT(raw_endpoint_t, endpoint.fencing), 0,
	  0, NULL },
	{ "concurrency", FIELD_U32, true,
	  AT(raw_endpoint_t, endpoint.concurrency), 1, CONCURRENCY_MAX, NULL },
	{ "context_tokens", FIELD_U32, false,
	  AT(raw_endpoint_t, endpoint.context_tokens), 0, TOKENS_MAX, NULL },
};

static const config_tier_t tier_defaults;
static const config_account_t account_defaults = { .weight = 1 };
static const raw_contract_t contract_defaults = {
	.contract = { .repeatable = true,
		      .answer_tokens = ANSWER_TOKENS_DEFAULT },
};
static const config_service_t service_defaults;
static const raw_endpoint_t endpoint_defaults;

#define LIST(name, type, least, most)                                     \
	{                                                                 \
#name, name##_fields, COUNT(name##_fields), sizeof(type), \
			&name##_defaults, least, most                     \
	}

static const fields_list_t tier_list =
	LIST(tier, config_tier_t, 1, PIMENTO_TIERS_MAX);
static const fields_list_t account_list =
	LIST(account, config_account_t, 1, ACCOUNTS_MAX);
static const fields_list_t contract_list =
	LIST(contract, raw_contract_t, 1, CONTRACTS_MAX);
static const fields_list_t service_list =
	LIST(service, config_service_t, 0, SERVICES_MAX);
static const fields_list_t endpoint_list =
	LIST(endpoint, raw_endpoint_t, 1, ENDPOINTS_MAX);

static int read_lists(reader_t *reader)
{
	const struct {
		const fields_list_t *list;
		void **elements;
		uint32_t *count;
	} lists[] = {
		{ &tier_list, (void **)&reader->tiers, &reader->tier_count },
		{ &account_list, (void **)&reader->config->accounts,
		  &reader->config->account_count },
		{ &contract_list, (void **)&reader->contracts,
		  &reader->contract_count },
		{ &service_list, (void **)&reader->config->services,
		  &reader->config->service_count },
		{ &endpoint_list, (void **)&reader->endpoints,
		  &reader->endpoint_count },
	};
	int error = PIMENTO_OK;

	for (size_t i = 0; i < COUNT(lists) && !error; i++)
		error = fields_read_list(&reader->source, reader->root,
					 lists[i].list, lists[i].elements,
					 lists[i].count);
	return error;
}

#define TARGET_HELP "must be \"model:NAME\" or \"service:NAME\""

static void split_targets(reader_t *reader)
{
	for (uint32_t i = 0; i < reader->contract_count; i++) {
		raw_contract_t *raw = &reader->contracts[i];

		if (raw->target[0] &&
		    !pimento_config_target(raw->target, &raw->contract.target,
					   raw->contract.target_name))
			fields_problem(&reader->source, reader->root,
				       "contract", i, "target", TARGET_HELP);
	}
	for (uint32_t i = 0; i < reader->endpoint_count; i++) {
		raw_endpoint_t *raw = &reader->endpoints[i];

		if (raw->target[0] &&
		    !pimento_config_target(raw->target, &raw->endpoint.target,
					   raw->endpoint.target_name))
			fields_problem(&reader->source, reader->root,
				       "endpoint", i, "target", TARGET_HELP);
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

static bool has_endpoint(const reader_t *reader, config_target_t target,
			 const char *name)
{
	for (uint32_t i = 0; i < reader->endpoint_count; i++) {
		const config_endpoint_t *e = &reader->endpoints[i].endpoint;

		if (e->target == target && !strcmp(e->target_name, name))
			return true;
	}
	return false;
}

static const config_tier_t *find_tier(const reader_t *reader, const char *name)
{
	for (uint32_t i = 0; i < reader->tier_count; i++)
		if (!strcmp(reader->tiers[i].name, name))
			return &reader->tiers[i];
	return NULL;
}

static void check_contract_target(const reader_t *reader, uint32_t index)
{
	const config_contract_t *c = &reader->contracts[index].contract;
	bool service = c->target == CONFIG_TARGET_SERVICE;

	if (!c->target)
		return;
	if (service && !has_service(reader->config, c->target_name))
		fields_problem(&reader->source, reader->root, "contract", index,
			       "target", "no [[service]] is named \"%s\"",
			       c->target_name);
	if (!has_endpoint(reader, c->target, c->target_name))
		fields_problem(&reader->source, reader->root, "contract", index,
			       "target", "no endpoint serves \"%s\"",
			       reader->contracts[index].target);
	if (!service && (c->method[0] || c->path[0]))
		fields_problem(&reader->source, reader->root, "contract", index,
			       c->method[0] ? "method" : "path",
			       "is for services only");
	if (c->path[0] && c->path[0] != '/')
		fields_problem(&reader->source, reader->root, "contract", index,
			       "path", "must begin with '/'");
}

static void check_contract(reader_t *reader, uint32_t index)
{
	raw_contract_t *raw = &reader->contracts[index];
	config_contract_t *c = &raw->contract;
	const config_tier_t *tier = find_tier(reader, raw->tier);

	if (c->account[0] && strcmp(c->account, "*") != 0 &&
	    !has_account(reader->config, c->account))
		fields_problem(&reader->source, reader->root, "contract", index,
			       "account", "no account is named \"%s\"",
			       c->account);
	if (tier) {
		c->tier = tier->rank;
		if (!c->patience)
			c->patience = tier->patience;
	} else if (raw->tier[0]) {
		fields_problem(&reader->source, reader->root, "contract", index,
			       "tier", "no tier is named \"%s\"", raw->tier);
	}
	if (strspn(c->method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
	    strlen(c->method))
		fields_problem(&reader->source, reader->root, "contract", index,
			       "method",
			       "must be upper case, such as \"POST\"");
	check_contract_target(reader, index);
}

static bool share_account(const config_contract_t *a,
			  const config_contract_t *b)
{
	return !strcmp(a->account, "*") || !strcmp(b->account, "*") ||
	       !strcmp(a->account, b->account);
}

static bool same_call(const config_contract_t *a, const config_contract_t *b)
{
	return a->target == CONFIG_TARGET_SERVICE && b->target == a->target &&
	       !strcmp(a->target_name, b->target_name) && share_account(a, b) &&
	       pimento_config_call_overlaps(a->method, a->path, b->method,
					    b->path);
}

/*
 * A call that may not be repeated would be served as repeatable if its caller
 * could name another contract that fits it too; it could then run twice. No
 * call may therefore fit two contracts that differ in this.
 */
static void check_overlaps(const reader_t *reader)
{
	for (uint32_t i = 0; i < reader->contract_count; i++) {
		const config_contract_t *a = &reader->contracts[i].contract;

		for (uint32_t j = 0; j < i; j++) {
			const config_contract_t *b =
				&reader->contracts[j].contract;

			if (a->repeatable == b->repeatable || !same_call(a, b))
				continue;
			fields_problem(&reader->source, reader->root,
				       "contract", i, "repeatable",
				       "contract \"%s\" fits the same calls "
				       "and says otherwise",
				       b->name);
		}
	}
}

static void check_contract_names(const reader_t *reader)
{
	for (uint32_t i = 0; i < reader->contract_count; i++) {
		const config_contract_t *a = &reader->contracts[i].contract;

		for (uint32_t j = 0; j < i && a->name[0]; j++) {
			const config_contract_t *b =
				&reader->contracts[j].contract;

			if (strcmp(a->name, b->name) != 0 ||
			    strcmp(a->account, b->account) != 0)
				continue;
			fields_problem(&reader->source, reader->root,
				       "contract", i, "name",
				       "\"%s\" stands twice for account \"%s\"",
				       a->name, a->account);
			break;
		}
	}
}

static void check_tiers(reader_t *reader)
{
	config_tier_t *tiers = reader->config->tiers;

	for (uint32_t i = 0; i < reader->tier_count; i++) {
		const config_tier_t *tier = &reader->tiers[i];

		if (tier->rank >= reader->tier_count)
			fields_problem(&reader->source, reader->root, "tier", i,
				       "rank",
				       "ranks count from 0 without gap");
		else if (tiers[tier->rank].name[0])
			fields_problem(&reader->source, reader->root, "tier", i,
				       "rank", "tier \"%s\" has it too",
				       tiers[tier->rank].name);
		else
			tiers[tier->rank] = *tier;
	}
	reader->config->tier_count = reader->tier_count;
}

static void check_service(const reader_t *reader, uint32_t index)
{
	const char *prefix = reader->config->services[index].prefix;
	const char *wrong = pimento_config_prefix_problem(prefix);

	if (prefix[0] && wrong)
		fields_problem(&reader->source, reader->root, "service", index,
			       "prefix", "%s", wrong);
}

static void check_endpoint(const reader_t *reader, uint32_t index)
{
	const config_endpoint_t *e = &reader->endpoints[index].endpoint;

	if (e->target == CONFIG_TARGET_SERVICE &&
	    !has_service(reader->config, e->target_name))
		fields_problem(&reader->source, reader->root, "endpoint", index,
			       "target", "no [[service]] is named \"%s\"",
			       e->target_name);
}

static int check_unique(const reader_t *reader)
{
	const pimento_config_t *config = reader->config;
	const struct {
		const fields_list_t *list;
		const void *elements;
		uint32_t count;
		const char *key;
		size_t offset;
	} lists[] = {
		{ &tier_list, reader->tiers, reader->tier_count, "name",
		  AT(config_tier_t, name) },
		{ &account_list, config->accounts, config->account_count,
		  "name", AT(config_account_t, name) },
		{ &service_list, config->services, config->service_count,
		  "name", AT(config_service_t, name) },
		{ &service_list, config->services, config->service_count,
		  "prefix", AT(config_service_t, prefix) },
		{ &endpoint_list, reader->endpoints, reader->endpoint_count,
		  "name", AT(raw_endpoint_t, endpoint.name) },
	};
	int error = PIMENTO_OK;

	for (size_t i = 0; i < COUNT(lists) && !error; i++)
		error = fields_unique(&reader->source, reader->root,
				      lists[i].list, lists[i].elements,
				      lists[i].count, lists[i].key,
				      lists[i].offset);
	return error;
}

static int compare_places(const void *left, const void *right)
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

static bool same_place(const config_endpoint_t *a, const config_endpoint_t *b)
{
	return a->port && a->port == b->port && !strcmp(a->address, b->address);
}

/*
 * One process under two names would have two owners, each of which believes
 * that what the other let in is not there; it would get twice its limit.
 */
static int check_places(const reader_t *reader)
{
	const raw_endpoint_t **sorted = calloc(
		(size_t)reader->endpoint_count + 1, sizeof(const void *));

	if (!sorted)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < reader->endpoint_count; i++)
		sorted[i] = &reader->endpoints[i];
	qsort((void *)sorted, reader->endpoint_count, sizeof(const void *),
	      compare_places);
	for (uint32_t i = 1; i < reader->endpoint_count; i++)
		if (same_place(&sorted[i - 1]->endpoint, &sorted[i]->endpoint))
			fields_problem(
				&reader->source, reader->root, "endpoint",
				(uint32_t)(sorted[i] - reader->endpoints),
				"port", "endpoint \"%s\" is at the same place",
				sorted[i - 1]->endpoint.name);
	free((void *)sorted);
	return PIMENTO_OK;
}

/* Two accounts with one key could not be told apart. */
static void check_key_hashes(const reader_t *reader)
{
	const config_account_t *accounts = reader->config->accounts;

	for (uint32_t i = 0; i < reader->config->account_count; i++)
		for (uint32_t j = 0; j < i; j++)
			if (!sodium_is_zero(accounts[i].key_hash, 32) &&
			    !memcmp(accounts[i].key_hash, accounts[j].key_hash,
				    32))
				fields_problem(&reader->source, reader->root,
					       "account", i, "key_hash",
					       "account \"%s\" has it too",
					       accounts[j].name);
}

/*
 * The digest stands on the first line and covers all that follows that line.
 * It is no signature: it notices a text that was cut short or changed by hand.
 */
static void check_digest(reader_t *reader, const char *text, size_t length)
{
	const char *end = memchr(text, '\n', length);
	const toml_node_t *node = toml_get(reader->root, "digest");
	char expected[DIGEST_DIGITS + 1];
	size_t line = end ? (size_t)(end - text) + 1 : length;
	uint64_t digest;

	if (!reader->top.digest[0]) {
		reader->config->digest = XXH3_64bits(text, length);
		return;
	}
	digest = pimento_config_digest(text + line, length - line);
	snprintf(expected, sizeof(expected), "%016llx",
		 (unsigned long long)digest);
	if (toml_line(node) != 1)
		problems_add(reader->source.problems, reader->source.file,
			     toml_line(node), "digest",
			     "must stand on the first line");
	else if (strcmp(expected, reader->top.digest) != 0)
		problems_add(reader->source.problems, reader->source.file, 1,
			     "digest",
			     "does not fit the text, which gives %s: generate "
			     "it again instead of changing it by hand",
			     expected);
	reader->config->digest = digest;
}

/* Moves what was read raw into the configuration. */
static int move_lists(reader_t *reader)
{
	pimento_config_t *config = reader->config;

	config->contracts =
		calloc(reader->contract_count + 1, sizeof(*config->contracts));
	config->endpoints =
		calloc(reader->endpoint_count + 1, sizeof(*config->endpoints));
	if (!config->contracts || !config->endpoints)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < reader->contract_count; i++)
		config->contracts[i] = reader->contracts[i].contract;
	config->contract_count = reader->contract_count;
	for (uint32_t i = 0; i < reader->endpoint_count; i++) {
		config->endpoints[i] = reader->endpoints[i].endpoint;
		config->endpoints[i].id = pimento_id(config->endpoints[i].name);
	}
	config->endpoint_count = reader->endpoint_count;
	for (uint32_t i = 0; i < config->account_count; i++)
		config->accounts[i].id = pimento_id(config->accounts[i].name);
	pimento_config_sort(config);
	return PIMENTO_OK;
}

static int check_all(reader_t *reader)
{
	int error = check_unique(reader);

	if (!error)
		error = check_places(reader);
	if (error)
		return error;
	split_targets(reader);
	check_tiers(reader);
	check_key_hashes(reader);
	for (uint32_t i = 0; i < reader->config->service_count; i++)
		check_service(reader, i);
	for (uint32_t i = 0; i < reader->endpoint_count; i++)
		check_endpoint(reader, i);
	for (uint32_t i = 0; i < reader->contract_count; i++)
		check_contract(reader, i);
	check_contract_names(reader);
	check_overlaps(reader);
	return PIMENTO_OK;
}

static int read_all(reader_t *reader, const char *text, size_t length)
{
	pimento_config_t *config = reader->config;
	uint32_t before = reader->source.problems->count;
	int error;

	reader->top.body_max = BODY_MAX_DEFAULT;
	reader->top.retention = RETENTION_DEFAULT_S * PIMENTO_SEC;
	fields_read(&reader->source, reader->root, "", top_fields,
		    COUNT(top_fields), &reader->top);
	error = read_lists(reader);
	if (error)
		return error;
	error = check_all(reader);
	if (error)
		return error;
	check_digest(reader, text, length);
	memcpy(config->deployment, reader->top.deployment, PIMENTO_NAME_MAX);
	config->body_max = reader->top.body_max;
	config->retention = reader->top.retention;
	if (reader->source.problems->count != before)
		return PIMENTO_EPARSE;
	return move_lists(reader);
}

int pimento_config_parse(pimento_config_t *config, const char *text,
			 size_t length, const char *file, problems_t *problems)
{
	reader_t reader = { .source = { file, problems }, .config = config };
	toml_document_t document;
	int error;

	memset(config, 0, sizeof(*config));
	if (length > CONFIG_TEXT_MAX)
		return PIMENTO_ETOOBIG;
	error = toml_init(&document, text, length);
	if (error == PIMENTO_EPARSE)
		problems_add(problems, file, document.error_line, "syntax",
			     "%s", document.error);
	if (error)
		return error;
	reader.root = document.root;
	error = read_all(&reader, text, length);
	free(reader.tiers);
	free(reader.contracts);
	free(reader.endpoints);
	toml_finish(&document);
	if (error)
		pimento_config_finish(config);
	return error;
}
