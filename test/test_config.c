/*
 * The configuration: which texts are accepted, which are rejected and with which
 * error, hostile input, and lookups.
 */

#include "config.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

#define HASH_A \
	"0101010101010101010101010101010101010101010101010101010101010101"
#define HASH_B \
	"0202020202020202020202020202020202020202020202020202020202020202"

#define TOPLEVEL "deployment = \"qurum\"\n"
#define TIERS                                                       \
	"[[tier]]\nname = \"low\"\nrank = 1\npatience_ms = 60000\n" \
	"[[tier]]\nname = \"charge\"\nrank = 0\npatience_ms = 5000\n"
#define ACCOUNTS                                                             \
	"[[account]]\nname = \"a\"\nkey_hash = \"" HASH_A "\"\nweight = 4\n" \
	"[[account]]\nname = \"b\"\nkey_hash = \"" HASH_B "\"\n"
#define CONTRACTS                                                     \
	"[[contract]]\nname = \"plan\"\naccount = \"*\"\n"            \
	"target = \"model:planner\"\ntier = \"low\"\n"                \
	"[[contract]]\nname = \"charge\"\naccount = \"a\"\n"          \
	"target = \"service:orders\"\ntier = \"charge\"\n"            \
	"patience_ms = 4000\nrepeatable = false\nmethod = \"POST\"\n" \
	"path = \"/charge\"\n"
#define SERVICES "[[service]]\nname = \"orders\"\nprefix = \"/orders\"\n"
#define ENDPOINTS                                                             \
	"[[endpoint]]\nname = \"e1\"\ndatacentre = \"muscat-1\"\n"            \
	"target = \"model:planner\"\naddress = \"127.0.0.1\"\nport = 7101\n"  \
	"concurrency = 8\ncontext_tokens = 4096\n"                            \
	"[[endpoint]]\nname = \"o1\"\ndatacentre = \"muscat-2\"\n"            \
	"target = \"service:orders\"\naddress = \"127.0.0.1\"\nport = 7201\n" \
	"concurrency = 16\nfencing = true\n"
#define COMPLETE TOPLEVEL TIERS ACCOUNTS CONTRACTS SERVICES ENDPOINTS

static problems_t problems;
static pimento_config_t config;

static int parse_length(const char *text, size_t length)
{
	problems_init(&problems);
	return pimento_config_parse(&config, text, length, "c.toml", &problems);
}

static int parse(const char *text)
{
	return parse_length(text, strlen(text));
}

static void free_parse_results(void)
{
	problems_finish(&problems);
	pimento_config_finish(&config);
}

START_TEST(complete_config_is_parsed)
{
	ck_assert_msg(!parse(COMPLETE), "%s", problems.text);
	ck_assert_str_eq(config.deployment, "qurum");
	ck_assert_uint_eq(config.tier_count, 2);
	ck_assert_str_eq(config.tiers[0].name, "charge");
	ck_assert_str_eq(config.tiers[1].name, "low");
	ck_assert_int_eq(config.tiers[0].timeout, 5 * PIMENTO_SEC);
	ck_assert_uint_eq(config.body_max, 1048576);
	ck_assert_int_eq(config.retention, 600 * PIMENTO_SEC);
	ck_assert_uint_eq(config.accounts[0].weight, 4);
	ck_assert_uint_eq(config.accounts[1].weight, 1);
	ck_assert_uint_eq(config.contracts[0].tier, 1);
	ck_assert(config.contracts[0].repeatable);
	ck_assert_int_eq(config.contracts[0].timeout, 60 * PIMENTO_SEC);
	ck_assert(!config.contracts[1].repeatable);
	ck_assert_int_eq(config.contracts[1].timeout, 4 * PIMENTO_SEC);
	ck_assert_uint_eq(config.endpoint_count, 2);
	ck_assert_uint_ne(config.digest, 0);
	free_parse_results();
}
END_TEST

#define CONTRACT(extra) \
	"[[contract]]\nname = \"x\"\naccount = \"*\"\ntier = \"low\"\n" extra

static const struct {
	const char *text;
	const char *line; /* part of one of the errors reported */
	uint32_t count; /* number of errors reported */
} rejected[] = {
	{ "", "c.toml: deployment: is missing", 5 },
	{ "deployment = ", "c.toml:1: syntax: ", 1 },
	{ COMPLETE "colour = 1\n", "c.toml:50: endpoint[2].colour: unknown key",
	  1 },
	{ "colour = 1\n" COMPLETE, "c.toml:1: colour: unknown key", 1 },
	{ "tier = 3\n" TOPLEVEL ACCOUNTS SERVICES ENDPOINTS,
	  "c.toml:1: tier: must be an array of tables", 2 },
	{ "body_max = 1\n" COMPLETE, "c.toml:1: body_max: must lie between",
	  1 },
	{ "retention_s = \"x\"\n" COMPLETE,
	  "c.toml:1: retention_s: must be a whole number", 1 },
	{ COMPLETE CONTRACT("target = \"model:none\"\n"),
	  "contract[3].target: no endpoint serves \"model:none\"", 1 },
	{ COMPLETE CONTRACT("target = \"service:none\"\n"),
	  "contract[3].target: no [[service]] is named \"none\"", 2 },
	{ COMPLETE CONTRACT("target = \"planner\"\n"),
	  "contract[3].target: must be \"model:NAME\"", 1 },
	{ COMPLETE CONTRACT("target = \"model:planner\"\npath = \"/x\"\n"),
	  "contract[3].path: is for services only", 1 },
	{ COMPLETE CONTRACT("target = \"service:orders\"\nmethod = \"post\"\n"),
	  "contract[3].method: must be upper case", 1 },
	{ COMPLETE CONTRACT("target = \"service:orders\"\n"),
	  "contract[3].repeatable: contract \"charge\" matches the same "
	  "calls",
	  1 },
	{ COMPLETE "[[contract]]\nname = \"plan\"\naccount = \"*\"\n"
		   "target = \"model:planner\"\ntier = \"mid\"\n",
	  "contract[3].tier: no tier is named \"mid\"", 2 },
	{ COMPLETE "[[contract]]\nname = \"p\"\naccount = \"c\"\n"
		   "target = \"model:planner\"\ntier = \"low\"\n",
	  "contract[3].account: no account is named \"c\"", 1 },
	{ COMPLETE "[[tier]]\nname = \"low\"\nrank = 1\npatience_ms = 100\n",
	  "tier[3].name: \"low\" is used twice", 2 },
	{ COMPLETE "[[tier]]\nname = \"x\"\nrank = 3\npatience_ms = 100\n",
	  "tier[3].rank: ranks must be consecutive from 0", 1 },
	{ COMPLETE "[[account]]\nname = \"c\"\nkey_hash = \"" HASH_A "\"\n",
	  "account[3].key_hash: account \"a\" has the same key hash", 1 },
	{ COMPLETE "[[account]]\nname = \"C\"\nkey_hash = \"12\"\nweight = 0\n",
	  "account[3].weight: must lie between 1 and 1000", 3 },
	{ COMPLETE "[[service]]\nname = \"s\"\nprefix = \"/v1/x\"\n",
	  "service[2].prefix: is a path that the daemon answers itself", 1 },
	{ COMPLETE "[[service]]\nname = \"s\"\nprefix = \"/orders\"\n",
	  "service[2].prefix: \"/orders\" is used twice", 1 },
	{ COMPLETE "[[service]]\nname = \"s\"\nprefix = \"s/\"\n",
	  "service[2].prefix: must begin with '/'", 1 },
	{ COMPLETE
	  "[[endpoint]]\nname = \"e1\"\ndatacentre = \"m\"\n"
	  "target = \"service:no\"\naddress = \"localhost\"\nport = 0\n"
	  "concurrency = true\n",
	  "endpoint[3].address: must be an IP address", 5 },
	{ COMPLETE "[[endpoint]]\nname = \"e9\"\ndatacentre = \"m\"\n"
		   "target = \"model:planner\"\naddress = \"127.0.0.1\"\n"
		   "port = 7101\nconcurrency = 1\n",
	  "endpoint[3].port: endpoint \"e1\" has the same address and port",
	  1 },
	{ "evacuated = [\"nowhere\"]\n" COMPLETE,
	  "c.toml:1: evacuated: no endpoint is in the data centre \"nowhere\"",
	  1 },
	{ "digest = \"0123456789abcdef\"\n" COMPLETE,
	  "c.toml:1: digest: does not match the text", 1 },
	{ TOPLEVEL "digest = \"0123456789abcdef\"\n" TIERS ACCOUNTS CONTRACTS
		  SERVICES ENDPOINTS,
	  "c.toml:2: digest: must be on the first line", 1 },
};

START_TEST(every_error_is_reported_and_config_discarded)
{
	pimento_config_t empty;

	memset(&empty, 0, sizeof(empty));
	ck_assert_int_eq(parse(rejected[_i].text), PIMENTO_EPARSE);
	ck_assert_msg(strstr(problems.text, rejected[_i].line) != NULL,
		      "no error \"%s\" in:\n%s", rejected[_i].line,
		      problems.text);
	ck_assert_msg(problems.count == rejected[_i].count,
		      "%u errors, expected %u:\n%s", problems.count,
		      rejected[_i].count, problems.text);
	ck_assert_mem_eq(&config, &empty, sizeof(empty));
	free_parse_results();
}
END_TEST

START_TEST(digest_mismatch_is_rejected)
{
	char text[4096];

	snprintf(text, sizeof(text), "digest = \"%016llx\"\n%s",
		 (unsigned long long)pimento_config_digest(COMPLETE,
							   strlen(COMPLETE)),
		 COMPLETE);
	ck_assert_msg(!parse(text), "%s", problems.text);
	free_parse_results();
	text[strlen(text) - 1] = ' ';
	ck_assert_int_eq(parse(text), PIMENTO_EPARSE);
	free_parse_results();
}
END_TEST

static const struct {
	const char *unit; /* repeated to fill a text of CONFIG_MAX_BYTES */
	int error;
} malformed[] = {
	{ "a.", PIMENTO_EPARSE },
	{ "[", PIMENTO_EPARSE },
	{ "a=[", PIMENTO_EPARSE },
	{ "a={", PIMENTO_EPARSE },
	{ "[[tier]]\n", PIMENTO_EPARSE },
	{ "[[account]]\n", PIMENTO_EPARSE },
	{ "\"", PIMENTO_EPARSE },
	{ "a = 1\xc3\xa9\n", PIMENTO_EPARSE },
	{ "\xc3\xa9=", PIMENTO_EPARSE },
	{ "\xff", PIMENTO_EPARSE },
	{ "[a.b.c]\n", PIMENTO_EPARSE },
	{ "\n", PIMENTO_EPARSE },
	{ "[[endpoint]]\nname=\"e\"\n", PIMENTO_EPARSE },
};

/*
 * The platform, or a process at its address, sends up to a megabyte of malformed
 * or deeply nested text. A parser without a limit on nesting would overflow the
 * stack, and all entry hosts would crash at the same time.
 */
START_TEST(nested_or_oversized_text_is_rejected)
{
	const char *unit = malformed[_i].unit;
	size_t step = strlen(unit);
	char *text = malloc(CONFIG_MAX_BYTES + 1);

	for (size_t i = 0; i < CONFIG_MAX_BYTES; i++)
		text[i] = unit[i % step];
	ck_assert_int_eq(parse_length(text, CONFIG_MAX_BYTES),
			 malformed[_i].error);
	free_parse_results();
	ck_assert_int_eq(parse_length(text, CONFIG_MAX_BYTES + 1),
			 PIMENTO_ETOOBIG);
	free_parse_results();
	free(text);
}
END_TEST

START_TEST(corrupted_text_does_not_crash_parser)
{
	char text[] = COMPLETE;
	size_t length = strlen(text);
	pimento_random_t random;

	pimento_random_init(&random, 7);
	for (int round = 0; round < 3000; round++) {
		size_t at = pimento_random_below(&random, length);
		char kept = text[at];
		size_t cut = pimento_random_below(&random, length);

		text[at] = (char)pimento_random_next(&random);
		parse_length(text, round % 2 ? length : cut);
		free_parse_results();
		text[at] = kept;
	}
	ck_assert_int_eq(parse_length("a = \"\0\"", 7), PIMENTO_EPARSE);
	free_parse_results();
}
END_TEST

START_TEST(account_is_found_only_by_exact_key_hash)
{
	uint8_t hash[32];

	ck_assert_int_eq(parse(COMPLETE), 0);
	for (uint8_t first = 0; first < 4; first++) {
		const config_account_t *found;

		memset(hash, first, sizeof(hash));
		found = pimento_config_find_account(&config, hash);
		if (first == 1 || first == 2)
			ck_assert_str_eq(found->name, first == 1 ? "a" : "b");
		else
			ck_assert_ptr_null(found);
	}
	memset(hash, 1, sizeof(hash));
	hash[31] = 0;
	ck_assert_ptr_null(pimento_config_find_account(&config, hash));
	free_parse_results();
}
END_TEST

static const struct {
	uint32_t account;
	const char *name;
	config_target_t target;
	const char *target_name;
	const char *method;
	const char *path;
	const char *found;
} calls[] = {
	{ 0, NULL, CONFIG_TARGET_MODEL, "planner", NULL, NULL, "plan" },
	{ 1, "plan", CONFIG_TARGET_MODEL, "planner", NULL, NULL, "plan" },
	{ 0, "charge", CONFIG_TARGET_MODEL, "planner", NULL, NULL, NULL },
	{ 0, NULL, CONFIG_TARGET_MODEL, "other", NULL, NULL, NULL },
	{ 0, NULL, CONFIG_TARGET_SERVICE, "orders", "POST", "/charge",
	  "charge" },
	{ 0, "charge", CONFIG_TARGET_SERVICE, "orders", "POST", "/charge",
	  "charge" },
	{ 0, NULL, CONFIG_TARGET_SERVICE, "orders", "GET", "/charge", NULL },
	{ 0, NULL, CONFIG_TARGET_SERVICE, "orders", "POST", "/charge/", NULL },
	{ 1, NULL, CONFIG_TARGET_SERVICE, "orders", "POST", "/charge", NULL },
};

START_TEST(contract_matches_account_target_and_call)
{
	const config_contract_t *found;

	ck_assert_int_eq(parse(COMPLETE), 0);
	found = pimento_config_find_contract(
		&config, &config.accounts[calls[_i].account], calls[_i].name,
		calls[_i].target, calls[_i].target_name, calls[_i].method,
		calls[_i].path);
	ck_assert_pstr_eq(found ? found->name : NULL, calls[_i].found);
	free_parse_results();
}
END_TEST

START_TEST(service_is_found_by_longest_prefix)
{
	const config_endpoint_t *endpoint;

	ck_assert_int_eq(parse(COMPLETE "[[service]]\nname = \"s\"\n"
					"prefix = \"/orders/deep\"\n"),
			 0);
	ck_assert_ptr_null(pimento_config_find_service(&config, "/ordersx"));
	ck_assert_str_eq(
		pimento_config_find_service(&config, "/orders/x")->name,
		"orders");
	ck_assert_str_eq(
		pimento_config_find_service(&config, "/orders/deep/x")->name,
		"s");
	endpoint = pimento_config_find_endpoint(&config, pimento_id("o1"));
	ck_assert_uint_eq(endpoint->port, 7201);
	ck_assert(endpoint->fencing);
	ck_assert_ptr_null(pimento_config_find_endpoint(&config, 5));
	free_parse_results();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config");
	TCase *tc = tcase_create("config");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, complete_config_is_parsed);
	tcase_add_loop_test(tc, every_error_is_reported_and_config_discarded, 0,
			    COUNT(rejected));
	tcase_add_test(tc, digest_mismatch_is_rejected);
	tcase_add_loop_test(tc, nested_or_oversized_text_is_rejected, 0,
			    COUNT(malformed));
	tcase_add_test(tc, corrupted_text_does_not_crash_parser);
	tcase_add_test(tc, account_is_found_only_by_exact_key_hash);
	tcase_add_loop_test(tc, contract_matches_account_target_and_call, 0,
			    COUNT(calls));
	tcase_add_test(tc, service_is_found_by_longest_prefix);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
