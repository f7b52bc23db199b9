/* Tests the transfer of records between the replicas of two hosts. */

#include "snapshot.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LARGE_BYTES = 400000 };

static replica_t source;
static replica_t target;
static uint32_t changes; /* changes applied to the target replica */

static void count_replica_change(void *context, const replica_record_t *record)
{
	(void)context;
	(void)record;
	changes++;
}

static void ignore_change(void *context, const replica_record_t *record)
{
	(void)context;
	(void)record;
}

static void setup(void)
{
	changes = 0;
	replica_init(&source, ignore_change, NULL);
	replica_init(&target, count_replica_change, NULL);
}

static void teardown(void)
{
	replica_finish(&source);
	replica_finish(&target);
}

static void put(replica_t *replica, const char *key, const char *value,
		uint64_t revision)
{
	ck_assert_int_eq(replica_put(replica, key, value,
				     value ? strlen(value) : 0, revision),
			 0);
}

static const char *find_value(const replica_t *replica, const char *key)
{
	for (uint32_t i = 0; i < replica->count; i++)
		if (!strcmp(replica->records[i].key, key))
			return replica->records[i].value;
	return NULL;
}

/*
 * Applies a snapshot of the replica `source` to the replica `target`. Returns
 * the result of snapshot_apply() and sets *length to the encoded size in bytes.
 */
static int transfer_snapshot(size_t *length)
{
	uint8_t *bytes;
	int result;

	ck_assert_int_eq(
		snapshot_pack(&source, target.revision, &bytes, length), 0);
	result = snapshot_apply(&target, bytes, *length);
	free(bytes);
	return result;
}

/* Returns a text that compresses about as well as route records. */
static char *large_text(void)
{
	char *text = malloc(LARGE_BYTES + 1);
	uint32_t state = 1;

	ck_assert_ptr_nonnull(text);
	for (uint32_t i = 0; i < LARGE_BYTES; i++) {
		state = state * 1664525u + 1013904223u;
		text[i] = (char)(i % 8 ? 'a' + i % 8 : 'a' + (state >> 28));
	}
	text[LARGE_BYTES] = '\0';
	return text;
}

/* Guards against sending all records of a collection for each change. */
START_TEST(snapshot_holds_only_changes)
{
	char *large = large_text();
	size_t length;

	put(&source, "config", large, 1);
	put(&source, "a", "here", 2);
	ck_assert_int_eq(transfer_snapshot(&length), 2);
	ck_assert_str_eq(find_value(&target, "config"), large);
	ck_assert_uint_lt(length, LARGE_BYTES / 2);
	put(&source, "a", "leaving", 3);
	ck_assert_int_eq(transfer_snapshot(&length), 1);
	ck_assert_uint_lt(length, 100);
	ck_assert_str_eq(find_value(&target, "a"), "leaving");
	ck_assert_uint_eq(target.revision, 3);
	ck_assert_uint_eq(changes, 3);
	free(large);
}
END_TEST

/* Guards against losing a record whose value is empty. */
START_TEST(empty_value_is_not_a_removal)
{
	size_t length;

	put(&source, "a", "", 1);
	ck_assert_int_eq(transfer_snapshot(&length), 1);
	ck_assert_str_eq(find_value(&target, "a"), "");
}
END_TEST

/* Guards against restoring removed endpoints from a peer's snapshot. */
START_TEST(snapshot_holds_removals)
{
	size_t length;

	put(&source, "a", "1", 1);
	put(&source, "b", "1", 2);
	transfer_snapshot(&length);
	put(&source, "a", NULL, 3);
	ck_assert_int_eq(transfer_snapshot(&length), 1);
	ck_assert_ptr_null(find_value(&target, "a"));
	ck_assert_str_eq(find_value(&target, "b"), "1");
}
END_TEST

static const struct {
	uint64_t held; /* revision of the target replica */
	bool kept; /* the target keeps the record that was not listed */
} listing_cases[] = {
	/* a removal after revision 3 may be missing from the source */
	{ 3, false },
	{ 7, true }, /* the source has every removal after revision 7 */
};

/* Guards against keeping a record whose removal the sender never received. */
START_TEST(replica_older_than_listing_gets_all_records)
{
	size_t length;

	put(&target, "a", "1", listing_cases[_i].held);
	replica_batch_begin(&source);
	put(&source, "b", "1", 5);
	ck_assert_int_eq(replica_list_end(&source, 7), 0);
	put(&source, "c", "1", 8);
	ck_assert_int_gt(transfer_snapshot(&length), 0);
	ck_assert_uint_eq(target.revision, 8);
	ck_assert_int_eq(find_value(&target, "a") != NULL,
			 listing_cases[_i].kept);
	ck_assert_int_eq(find_value(&target, "b") != NULL,
			 !listing_cases[_i].kept);
	ck_assert_str_eq(find_value(&target, "c"), "1");
}
END_TEST

/*
 * Guards against sending a record without the changes that precede it: the
 * receiver would count as complete up to that record's revision.
 */
START_TEST(records_beyond_complete_revision_are_not_sent)
{
	size_t length;

	replica_batch_begin(&source);
	put(&source, "a", "1", 2);
	put(&source, "b", "1", 9);
	ck_assert_int_eq(replica_list_end(&source, 4), 0);
	ck_assert_int_eq(transfer_snapshot(&length), 1);
	ck_assert_uint_eq(target.revision, 4);
	ck_assert_ptr_null(find_value(&target, "b"));
}
END_TEST

/* Guards against removing newer records because an older snapshot lacks them. */
START_TEST(stale_snapshot_is_ignored)
{
	size_t length;

	put(&source, "a", "1", 4);
	put(&target, "b", "1", 4);
	ck_assert_int_ge(transfer_snapshot(&length), 0);
	ck_assert_str_eq(find_value(&target, "b"), "1");
	ck_assert_ptr_null(find_value(&target, "a"));
}
END_TEST

/* Guards against treating a corrupt snapshot as complete. */
START_TEST(corrupt_snapshot_does_not_advance_revision)
{
	char *large = large_text();
	uint8_t *bytes;
	size_t length;

	put(&source, "a", "1", 1);
	put(&source, "config", large, 2);
	ck_assert_int_eq(snapshot_pack(&source, 0, &bytes, &length), 0);
	bytes[length / 2] ^= 0x55;
	ck_assert_int_lt(snapshot_apply(&target, bytes, length), 0);
	ck_assert_uint_eq(target.revision, 0);
	ck_assert_int_lt(snapshot_apply(&target, bytes, length / 2), 0);
	free(bytes);
	ck_assert_int_gt(transfer_snapshot(&length), 0);
	ck_assert_str_eq(find_value(&target, "config"), large);
	free(large);
}
END_TEST

/* Guards against compressing a received value a second time. */
START_TEST(compressed_value_is_not_recompressed)
{
	char *large = large_text();
	size_t length;

	put(&source, "config", large, 1);
	transfer_snapshot(&length);
	ck_assert_ptr_nonnull(target.records[0].compressed);
	ck_assert_uint_eq(target.records[0].compressed_length,
			  source.records[0].compressed_length);
	put(&target, "config", "small", 2);
	ck_assert_ptr_null(target.records[0].compressed);
	free(large);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("snapshot");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, snapshot_holds_only_changes);
	tcase_add_test(tests, empty_value_is_not_a_removal);
	tcase_add_test(tests, snapshot_holds_removals);
	tcase_add_loop_test(tests, replica_older_than_listing_gets_all_records,
			    0,
			    sizeof(listing_cases) / sizeof(listing_cases[0]));
	tcase_add_test(tests, records_beyond_complete_revision_are_not_sent);
	tcase_add_test(tests, stale_snapshot_is_ignored);
	tcase_add_test(tests, corrupt_snapshot_does_not_advance_revision);
	tcase_add_test(tests, compressed_value_is_not_recompressed);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
