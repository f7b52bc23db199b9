/* Tests lookups in a version of the operator's configuration. */

#include "catalog.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static catalog_t *catalog;

static void add_route(const char *host, const char *prefix)
{
	catalog_route_t *route = catalog_add_route(catalog);

	ck_assert_ptr_nonnull(route);
	route->name = strdup(prefix);
	route->host = strdup(host);
	route->prefix = strdup(prefix);
}

static void setup(void)
{
	catalog = catalog_new(7);
	ck_assert_ptr_nonnull(catalog);
	add_route("b.example", "/x/");
	add_route("a.example", "/x/");
	add_route("a.example", "/x/long/");
	add_route("a.example", "/y/");
	catalog_finalize(catalog);
}

static void teardown(void)
{
	catalog_release(catalog);
}

static const struct {
	const char *host;
	const char *path;
	const char *prefix; /* NULL: no route */
} route_cases[] = {
	{ "a.example", "/x/1", "/x/" },
	{ "a.example", "/x/long/1", "/x/long/" },
	{ "a.example", "/x/longer/1", "/x/" },
	{ "a.example", "/x/?q=/y/", "/x/" },
	{ "A.Example:8080", "/y/", "/y/" },
	{ "b.example", "/x/long/1", "/x/" },
	{ "b.example", "/y/1", NULL },
	{ "a.example", "/x", NULL },
	{ "a.exampl", "/x/", NULL },
	{ "a.example.org", "/x/", NULL },
	{ "", "/x/", NULL },
};

/*
 * Guards against picking a shorter path prefix than possible, and against
 * matching hosts by a prefix, case-sensitively or together with the port.
 */
START_TEST(route_is_found_by_host_and_longest_prefix)
{
	const catalog_route_t *route = catalog_find_route(
		catalog, route_cases[_i].host, route_cases[_i].path);

	if (!route_cases[_i].prefix) {
		ck_assert_ptr_null(route);
		return;
	}
	ck_assert_ptr_nonnull(route);
	ck_assert_str_eq(route->prefix, route_cases[_i].prefix);
}
END_TEST

START_TEST(account_is_found_by_key)
{
	catalog_t *keys = catalog_new(1);

	catalog_add_account(keys)->name = strdup("first");
	catalog_add_account(keys)->name = strdup("second");
	ck_assert_int_eq(catalog_add_key(keys, "zz", 0), 0);
	ck_assert_int_eq(catalog_add_key(keys, "aa", 1), 0);
	ck_assert_int_eq(catalog_add_key(keys, "mm", 1), 0);
	catalog_finalize(keys);
	ck_assert_str_eq(catalog_find_account(keys, "zz")->name, "first");
	ck_assert_str_eq(catalog_find_account(keys, "aa")->name, "second");
	ck_assert_str_eq(catalog_find_account(keys, "mm")->name, "second");
	ck_assert_ptr_null(catalog_find_account(keys, "m"));
	ck_assert_ptr_null(catalog_find_account(catalog, "aa"));
	catalog_release(keys);
}
END_TEST

/*
 * Guards against using priorities directly as tiers: priorities that are not
 * consecutive, such as 10 and 500, would share the last tier.
 */
START_TEST(tiers_are_ranks_of_used_priorities)
{
	static const struct {
		uint32_t priority;
		uint32_t tier;
	} routes[] = { { 500, 3 }, { 10, 1 }, { 0, 0 }, { 10, 1 }, { 20, 2 } };
	enum { COUNT = sizeof(routes) / sizeof(routes[0]) };
	catalog_t *many = catalog_new(1);

	for (int i = 0; i < COUNT; i++) {
		char host[8] = { (char)('a' + i) };
		catalog_route_t *route = catalog_add_route(many);

		route->name = strdup(host);
		route->host = strdup(host);
		route->prefix = strdup("/");
		route->priority = routes[i].priority;
	}
	catalog_finalize(many);
	for (int i = 0; i < COUNT; i++)
		ck_assert_uint_eq(many->routes[i].tier, routes[i].tier);
	for (uint32_t i = 0; i < 20; i++) {
		catalog_route_t *route = catalog_add_route(many);

		route->name = strdup("n");
		route->host = strdup("z");
		route->prefix = strdup("/");
		route->priority = 1000 + i;
	}
	catalog_finalize(many);
	ck_assert_uint_eq(many->routes[2].tier, 0);
	ck_assert_uint_eq(many->routes[0].tier, 3);
	ck_assert_uint_eq(many->routes[COUNT + 19].tier, CATALOG_TIERS_MAX - 1);
	catalog_release(many);
}
END_TEST

START_TEST(service_is_selected_by_weight)
{
	enum { DRAWS = 1000 };
	catalog_route_t route = { 0 };
	uint32_t first = 0;

	*catalog_add_target(&route) = (catalog_target_t){ 1, 90 };
	*catalog_add_target(&route) = (catalog_target_t){ 2, 10 };
	for (uint64_t draw = 0; draw < DRAWS; draw++)
		first += catalog_select_service(&route, draw) == 1;
	ck_assert_uint_eq(first, 900);
	free(route.targets);
}
END_TEST

START_TEST(version_is_freed_with_last_reference)
{
	catalog_t *retained = catalog_retain(catalog);

	catalog_release(catalog);
	ck_assert_uint_eq(retained->version, 7);
	catalog = retained;
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("catalog");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, route_is_found_by_host_and_longest_prefix, 0,
			    sizeof(route_cases) / sizeof(route_cases[0]));
	tcase_add_test(tests, account_is_found_by_key);
	tcase_add_test(tests, tiers_are_ranks_of_used_priorities);
	tcase_add_test(tests, service_is_selected_by_weight);
	tcase_add_test(tests, version_is_freed_with_last_reference);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
