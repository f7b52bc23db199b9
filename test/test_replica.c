/* Tests which changes a replica of published records accepts, and its age. */

#include "replica.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static replica_t replica;
static uint32_t changes;

static void count_replica_change(void *context, const replica_record_t *record)
{
	(void)context;
	(void)record;
	changes++;
}

static void setup(void)
{
	changes = 0;
	replica_init(&replica, count_replica_change, NULL);
}

static void teardown(void)
{
	replica_finish(&replica);
}

static void put(const char *key, const char *value, uint64_t revision)
{
	ck_assert_int_eq(replica_put(&replica, key, value,
				     value ? strlen(value) : 0, revision),
			 0);
}

static const char *find_value(const char *key)
{
	for (uint32_t i = 0; i < replica.count; i++)
		if (!strcmp(replica.records[i].key, key))
			return replica.records[i].value;
	return NULL;
}

/*
 * Guards against applying outdated records from a stale read of the store or
 * from a peer that was disconnected: a route that operators removed would
 * reappear.
 */
START_TEST(stale_record_is_ignored)
{
	put("op/config", "new", 9);
	put("op/config", "old", 8);
	ck_assert_str_eq(find_value("op/config"), "new");
	put("op/config", NULL, 8);
	ck_assert_str_eq(find_value("op/config"), "new");
	ck_assert_uint_eq(changes, 1);
	ck_assert_uint_eq(replica.revision, 9);
}
END_TEST

/*
 * Guards against restoring the record of a removed endpoint from a peer that has
 * not received the removal: requests would be sent to an address that is unused
 * or that another process uses.
 */
START_TEST(stale_put_does_not_undo_removal)
{
	put("servers/a", "here", 5);
	put("servers/a", NULL, 6);
	put("servers/a", "here", 5);
	ck_assert_ptr_null(find_value("servers/a"));
}
END_TEST

/* Guards against keeping endpoints whose removal was never received. */
START_TEST(listing_removes_missing_records)
{
	put("servers/a", "1", 1);
	put("servers/b", "1", 2);
	replica_batch_begin(&replica);
	put("servers/b", "1", 2);
	ck_assert_int_eq(replica_list_end(&replica, 4), 0);
	ck_assert_ptr_null(find_value("servers/a"));
	ck_assert_str_eq(find_value("servers/b"), "1");
}
END_TEST

/*
 * Guards against removing an endpoint that registers while the pages of a
 * listing are read: it is on none of the pages read before, but its record is
 * newer than the listing.
 */
START_TEST(listing_keeps_newer_records)
{
	put("servers/new", "1", 9);
	replica_batch_begin(&replica);
	put("servers/b", "1", 2);
	ck_assert_int_eq(replica_list_end(&replica, 4), 0);
	ck_assert_str_eq(find_value("servers/new"), "1");
}
END_TEST

/* Guards against losing a change made between two pages of a listing. */
START_TEST(listing_is_complete_up_to_first_page)
{
	replica_batch_begin(&replica);
	put("servers/a", "read before it changed at 6", 2);
	put("servers/b", "1", 9);
	ck_assert_int_eq(replica_list_end(&replica, 4), 0);
	/* reported by a peer that has both changes */
	replica_confirm(&replica, 9, 50);
	ck_assert_int_eq(replica_age(&replica, 100), PIMENTO_NEVER);
	put("servers/a", "2", 6);
	put("servers/b", "1", 9);
	replica_confirm(&replica, 9, 50);
	ck_assert_int_eq(replica_age(&replica, 100), 50);
}
END_TEST

/*
 * Guards against counting a replica as fresh when a read covered changes that
 * the replica lacks.
 */
START_TEST(confirmation_requires_complete_replica)
{
	ck_assert_int_eq(replica_age(&replica, 100), PIMENTO_NEVER);
	put("op/config", "x", 5);
	/* a confirmation of a newer replica */
	replica_confirm(&replica, 6, 50);
	ck_assert_int_eq(replica_age(&replica, 100), PIMENTO_NEVER);
	replica_confirm(&replica, 5, 50);
	ck_assert_int_eq(replica_age(&replica, 100), 50);
	replica_confirm(&replica, 5, 40);
	ck_assert_int_eq(replica_age(&replica, 100), 50);
}
END_TEST

static const struct {
	const char *name;
	int answered_ms[4]; /* starts of reads that the store answered */
	int count;
	int removed_ms; /* when the removal is received */
	int gone_ms; /* when the removal takes effect */
} removal_cases[] = {
	{ "first read", { 0 }, 1, 0, 0 },
	{ "no outage", { 0, 1000, 2000, 3000 }, 4, 3100, 3100 },
	{ "removal at the end of a 3 s outage", { 0, 3000 }, 2, 3000, 5000 },
	{ "removal 1 s after a 3 s outage", { 0, 3000, 4000 }, 3, 4000, 5000 },
	{ "removal 3 s after a 3 s outage", { 0, 3000, 5000 }, 3, 6000, 6000 },
	{ "outage for this host only", { 0, 1500, 3000 }, 3, 3000, 3000 },
	{ "delayed report of an older answer",
	  { 0, 3000, 1500 },
	  3,
	  3000,
	  5000 },
};

/*
 * Guards against sending requests to removed endpoints, and against dropping
 * live endpoints whose records expired during an outage of the store.
 */
START_TEST(removal_is_delayed_only_after_store_outage)
{
	pimento_usec_t gone;

	for (int i = 0; i < removal_cases[_i].count; i++) {
		pimento_usec_t start =
			removal_cases[_i].answered_ms[i] * PIMENTO_MSEC;

		replica_store_answered(&replica, start, start);
	}
	gone = replica_removal_time(&replica, removal_cases[_i].removed_ms *
						      PIMENTO_MSEC);
	ck_assert_msg(gone == removal_cases[_i].gone_ms * PIMENTO_MSEC,
		      "%s: removal takes effect at the wrong time",
		      removal_cases[_i].name);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("replica");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, stale_record_is_ignored);
	tcase_add_test(tests, stale_put_does_not_undo_removal);
	tcase_add_test(tests, listing_removes_missing_records);
	tcase_add_test(tests, listing_keeps_newer_records);
	tcase_add_test(tests, listing_is_complete_up_to_first_page);
	tcase_add_test(tests, confirmation_requires_complete_replica);
	tcase_add_loop_test(tests, removal_is_delayed_only_after_store_outage,
			    0,
			    sizeof(removal_cases) / sizeof(removal_cases[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
