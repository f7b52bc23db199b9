/*
 * Decoding of the platform's configuration and endpoint records. Guards against
 * fields that are lost or misread, and against invalid records that are
 * accepted in part or rejected without a reason that names the field.
 */

#include "records.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define VALID_CONFIG                                                            \
	"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"A.example\","   \
	"\"prefix\":\"/p/\",\"route_type\":\"streaming\",\"timeout_ms\":12000," \
	"\"goal_ms\":400,\"priority\":1,\"max_attempts\":2,\"resumable\":true," \
	"\"gap_goal_ms\":300,\"backends\":[{\"service\":\"s1\",\"weight\":90}," \
	"{\"service\":\"s2\",\"weight\":10}]}],\"services\":[{\"name\":\"s1\"," \
	"\"max_conns\":370,\"cold_start_s\":1.5,\"cold_per_s\":16.0,"           \
	"\"engine\":{\"slots\":12}},{\"name\":\"s2\"}],"                        \
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"    \
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["   \
	"{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,"         \
	"\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":1.5,"          \
	"\"burst\":100}],\"unheard_of\":[1]}"

START_TEST(valid_config_is_decoded)
{
	char reason[RECORDS_REASON_BYTES];
	catalog_t *c = records_decode_config(VALID_CONFIG, strlen(VALID_CONFIG),
					     reason);
	const catalog_route_t *route;

	ck_assert_ptr_nonnull(c);
	ck_assert_uint_eq(c->version, 7);
	route = catalog_find_route(c, "a.example", "/p/x");
	ck_assert_ptr_nonnull(route);
	ck_assert_int_eq(route->kind, CATALOG_STREAMING);
	ck_assert(route->resumable);
	ck_assert(!route->allows_anonymous);
	ck_assert_uint_eq(route->attempts_max, 2);
	ck_assert_int_eq(route->objective, 400 * PIMENTO_MSEC);
	ck_assert_uint_eq(route->target_count, 2);
	ck_assert_uint_eq(route->targets[1].service, pimento_id("s2"));
	ck_assert(catalog_find_service(c, pimento_id("s1"))->is_engine);
	ck_assert(!catalog_find_service(c, pimento_id("s2"))->is_engine);
	ck_assert_int_eq(catalog_find_service(c, pimento_id("s1"))->cold_start,
			 1500 * PIMENTO_MSEC);
	ck_assert_double_eq(
		catalog_find_service(c, pimento_id("s1"))->cold_per_second, 16);
	ck_assert_str_eq(catalog_find_account(c, "k2")->name, "t1");
	ck_assert(!catalog_find_account(c, "k2")->counts_requests);
	ck_assert_double_eq(catalog_find_account(c, "k2")->tokens_per_second,
			    1.5);
	ck_assert_int_eq(c->limits.idle_timeout, 15 * PIMENTO_SEC);
	catalog_release(c);
}
END_TEST

static const struct {
	const char *json;
	const char *reason; /* substring expected in the reported reason */
} invalid_configs[] = {
	{ "", "" },
	{ "[]", "version" },
	{ "{\"version\":\"7\"}", "version" },
	{ "{\"version\":-1}", "version" },
	{ "{\"version\":1,\"routes\":[{\"host\":\"a\"}]}", "name" },
	{ "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"a\","
	  "\"prefix\":\"/\",\"route_type\":\"else\",\"service\":\"s\"}]}",
	  "route_type" },
	{ "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"a\","
	  "\"prefix\":\"/\",\"route_type\":\"idempotent\","
	  "\"timeout_ms\":\"x\",\"service\":\"s\"}]}",
	  "timeout_ms" },
	{ "{\"version\":1,\"tenants\":[{\"name\":\"t\",\"api_keys\":[1]}]}",
	  "api_keys" },
};

START_TEST(invalid_config_is_rejected_with_reason)
{
	const char *json = invalid_configs[_i].json;
	char reason[RECORDS_REASON_BYTES] = "";

	ck_assert_ptr_null(records_decode_config(json, strlen(json), reason));
	ck_assert_msg(strstr(reason, invalid_configs[_i].reason) != NULL, "%s",
		      reason);
}
END_TEST

static registry_t registry;

static void put(void *context, const registry_record_t *record)
{
	(void)context;
	ck_assert_ptr_nonnull(registry_put(&registry, record));
}

static const struct {
	const char *json;
	const char *reason; /* expected substring; NULL: the record is valid */
} endpoints[] = {
	{ "{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\","
	  "\"slots\":12,\"state\":\"ready\",\"born\":1700000000000}",
	  NULL },
	{ "{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\","
	  "\"slots\":12,\"state\":\"draining\",\"more\":{}}",
	  NULL },
	{ "{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\","
	  "\"slots\":12,\"state\":\"resting\"}",
	  "state" },
	{ "{\"service\":7,\"address\":\"10.1.0.9:8080\",\"zone\":\"z\","
	  "\"slots\":12,\"state\":\"ready\"}",
	  "service" },
	{ "{\"service\":\"s\",\"address\":\"10.1.0.9\",\"zone\":\"z\","
	  "\"slots\":12,\"state\":\"ready\"}",
	  "address" },
	{ "{\"service\":\"s\",\"address\":\"10.1.0.900:80\",\"zone\":\"z\","
	  "\"slots\":12,\"state\":\"ready\"}",
	  "address" },
	{ "{\"service\":\"s\",\"address\":\"10.1.0.9:99999\",\"zone\":\"z\","
	  "\"slots\":12,\"state\":\"ready\"}",
	  "address" },
	{ "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
	  "\"slots\":-1,\"state\":\"ready\"}",
	  "slots" },
	{ "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
	  "\"slots\":0,\"state\":\"ready\"}",
	  "slots" },
	{ "\xff\xfe nothing", "record" },
	{ "[1,2]", "record" },
	{ "", "record" },
};

START_TEST(invalid_endpoint_record_is_rejected)
{
	const char *json = endpoints[_i].json;
	const char *expected_reason = endpoints[_i].reason;
	char reason[RECORDS_REASON_BYTES] = "";
	int error;

	registry_init(&registry);
	error = records_decode_endpoint(RECORDS_ENDPOINT_PREFIX "i-1", json,
					strlen(json), 3, put, NULL, reason);
	ck_assert_int_eq(error, expected_reason ? PIMENTO_EPARSE : 0);
	ck_assert_uint_eq(registry.count, expected_reason ? 0 : 1);
	if (expected_reason)
		ck_assert_msg(strstr(reason, expected_reason) != NULL, "%s",
			      reason);
	else
		ck_assert_str_eq(registry.endpoints[0]->id, "i-1");
	registry_finish(&registry);
}
END_TEST

static const struct {
	const char *key;
	const char *value;
	const char *datacentre; /* NULL: the key names none */
	const char *reason;
} evacuations[] = {
	{ "op/evacuate/muscat-a", "{}", "muscat-a", "" },
	{ "op/evacuate/muscat-a", "{\"since\":3}", "muscat-a", "" },
	{ "op/evacuate/muscat-a", "", "muscat-a", "JSON object" },
	{ "op/evacuate/muscat-a", "7", "muscat-a", "JSON object" },
	{ "op/evacuate/", "{}", NULL, "no data centre" },
};

START_TEST(evacuation_is_decoded)
{
	char reason[RECORDS_REASON_BYTES] = "";
	const char *datacentre = records_decode_evacuation(
		evacuations[_i].key, evacuations[_i].value,
		strlen(evacuations[_i].value), reason);

	ck_assert_pstr_eq(datacentre, evacuations[_i].datacentre);
	ck_assert_ptr_nonnull(strstr(reason, evacuations[_i].reason));
	ck_assert_int_eq(!*reason, !*evacuations[_i].reason);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("records");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_test(tests, valid_config_is_decoded);
	tcase_add_loop_test(tests, invalid_config_is_rejected_with_reason, 0,
			    sizeof(invalid_configs) /
				    sizeof(invalid_configs[0]));
	tcase_add_loop_test(tests, invalid_endpoint_record_is_rejected, 0,
			    sizeof(endpoints) / sizeof(endpoints[0]));
	tcase_add_loop_test(tests, evacuation_is_decoded, 0,
			    sizeof(evacuations) / sizeof(evacuations[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
