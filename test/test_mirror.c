/* The copy of the published records: what may change it, and its freshness. */

#include "mirror.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static mirror_t mirror;
static uint32_t changes;

static void changed(void *context, const mirror_record_t *record)
{
	(void)context;
	(void)record;
	changes++;
}

static void setup(void)
{
	changes = 0;
	mirror_init(&mirror, changed, NULL);
}

static void teardown(void)
{
	mirror_finish(&mirror);
}

static void put(const char *key, const char *value, uint64_t revision)
{
	ck_assert_int_eq(mirror_put(&mirror, key, value,
				    value ? strlen(value) : 0, revision),
			 0);
}

static const char *value_of(const char *key)
{
	for (uint32_t i = 0; i < mirror.count; i++)
		if (!strcmp(mirror.records[i].key, key))
			return mirror.records[i].value;
	return NULL;
}

/*
 * A read that the store serves from an old copy, or a peer that has been away,
 * states what was true before. Operators would see a route that they removed
 * come back.
 */
START_TEST(an_older_record_changes_nothing)
{
	put("op/config", "new", 9);
	put("op/config", "old", 8);
	ck_assert_str_eq(value_of("op/config"), "new");
	put("op/config", NULL, 8);
	ck_assert_str_eq(value_of("op/config"), "new");
	ck_assert_uint_eq(changes, 1);
	ck_assert_uint_eq(mirror.revision, 9);
}
END_TEST

/*
 * An endpoint leaves, and a peer that has not heard of it states its record
 * once more. Requests would go to an address where nobody answers, or somebody
 * else does.
 */
START_TEST(a_removed_record_stays_removed)
{
	put("servers/a", "here", 5);
	put("servers/a", NULL, 6);
	put("servers/a", "here", 5);
	ck_assert_ptr_null(value_of("servers/a"));
}
END_TEST

START_TEST(a_listing_removes_what_it_does_not_hold)
{
	put("servers/a", "1", 1);
	put("servers/b", "1", 2);
	mirror_list_begin(&mirror);
	put("servers/b", "1", 2);
	ck_assert_int_eq(mirror_list_end(&mirror, 4), 0);
	ck_assert_ptr_null(value_of("servers/a"));
	ck_assert_str_eq(value_of("servers/b"), "1");
}
END_TEST

/*
 * While the pages of a listing come in, an endpoint registers. It stands on no
 * page that was read before, but is newer than the listing.
 */
START_TEST(a_listing_keeps_what_is_newer_than_itself)
{
	put("servers/new", "1", 9);
	mirror_list_begin(&mirror);
	put("servers/b", "1", 2);
	ck_assert_int_eq(mirror_list_end(&mirror, 4), 0);
	ck_assert_str_eq(value_of("servers/new"), "1");
}
END_TEST

/* Guards against losing a change made between two pages of a listing. */
START_TEST(a_listing_is_complete_up_to_its_first_page_only)
{
	mirror_list_begin(&mirror);
	put("servers/a", "read before it changed at 6", 2);
	put("servers/b", "1", 9);
	ck_assert_int_eq(mirror_list_end(&mirror, 4), 0);
	mirror_confirm(&mirror, 9, 50); /* a peer that holds both changes */
	ck_assert_int_eq(mirror_age(&mirror, 100), PIMENTO_NEVER);
	put("servers/a", "2", 6);
	put("servers/b", "1", 9);
	mirror_confirm(&mirror, 9, 50);
	ck_assert_int_eq(mirror_age(&mirror, 100), 50);
}
END_TEST

START_TEST(freshness_only_grows_and_only_for_a_copy_that_is_whole)
{
	ck_assert_int_eq(mirror_age(&mirror, 100), PIMENTO_NEVER);
	put("op/config", "x", 5);
	mirror_confirm(&mirror, 6, 50); /* of a newer copy than ours */
	ck_assert_int_eq(mirror_age(&mirror, 100), PIMENTO_NEVER);
	mirror_confirm(&mirror, 5, 50);
	ck_assert_int_eq(mirror_age(&mirror, 100), 50);
	mirror_confirm(&mirror, 5, 40);
	ck_assert_int_eq(mirror_age(&mirror, 100), 50);
}
END_TEST

static const struct {
	const char *name;
	int answered_ms[4]; /* starts of reads that the store answered */
	int count;
	int removed_ms;
	int gone_ms;
} removal_cases[] = {
	{ "the first read", { 0 }, 1, 0, 0 },
	{ "no outage", { 0, 1000, 2000, 3000 }, 4, 3100, 3100 },
	{ "an outage of three seconds", { 0, 3000 }, 2, 3000, 5000 },
	{ "a second after it", { 0, 3000, 4000 }, 3, 4000, 5000 },
	{ "long after it", { 0, 3000, 5000 }, 3, 6000, 6000 },
	{ "peers were answered meanwhile", { 0, 1500, 3000 }, 3, 3000, 3000 },
	{ "an older answer is heard late", { 0, 3000, 1500 }, 3, 3000, 5000 },
};

/* Guards against using removed endpoints and against dropping live ones. */
START_TEST(a_removed_record_is_kept_only_after_an_outage_for_all)
{
	pimento_usec_t gone;

	for (int i = 0; i < removal_cases[_i].count; i++) {
		pimento_usec_t start =
			removal_cases[_i].answered_ms[i] * PIMENTO_MSEC;

		mirror_store_answered(&mirror, start, start);
	}
	gone = mirror_gone_at(&mirror,
			      removal_cases[_i].removed_ms * PIMENTO_MSEC);
	ck_assert_msg(gone == removal_cases[_i].gone_ms * PIMENTO_MSEC, "%s",
		      removal_cases[_i].name);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("mirror");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, an_older_record_changes_nothing);
	tcase_add_test(tests, a_removed_record_stays_removed);
	tcase_add_test(tests, a_listing_removes_what_it_does_not_hold);
	tcase_add_test(tests, a_listing_keeps_what_is_newer_than_itself);
	tcase_add_test(tests, a_listing_is_complete_up_to_its_first_page_only);
	tcase_add_test(tests,
		       freshness_only_grows_and_only_for_a_copy_that_is_whole);
	tcase_add_loop_test(
		tests, a_removed_record_is_kept_only_after_an_outage_for_all, 0,
		sizeof(removal_cases) / sizeof(removal_cases[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
