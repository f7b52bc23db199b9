/* Streams are split into whole events wherever their bytes are cut. */

#include "events.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const char stream[] = "id: 1\ndata: a\n\n"
			     ": a comment\r\nid:2\r\ndata: b\r\n\r\n"
			     "data: without an id\n\n"
			     "id: 3\ndata: cut";

#define WHOLE (sizeof(stream) - 1 - strlen("id: 3\ndata: cut"))

START_TEST(any_cut_gives_the_same_events)
{
	events_t events;
	size_t passed = 0;

	events_init(&events);
	for (size_t at = 0; at < sizeof(stream) - 1; at += (size_t)_i) {
		size_t length = sizeof(stream) - 1 - at;
		int64_t whole;

		if (length > (size_t)_i)
			length = (size_t)_i;
		whole = events_take(&events, stream + at, length);
		ck_assert_int_ge(whole, 0);
		ck_assert_mem_eq(events.partial.bytes, stream + passed,
				 (size_t)whole);
		passed += (size_t)whole;
		events_drop(&events, (size_t)whole);
	}
	ck_assert_uint_eq(passed, WHOLE);
	ck_assert_uint_eq(events.count, 3);
	ck_assert_str_eq(events.last_id, "2");
	events_restart(&events);
	ck_assert_uint_eq(events.partial.length, 0);
	events_finish(&events);
}
END_TEST

START_TEST(an_empty_piece_changes_nothing)
{
	events_t events;

	events_init(&events);
	ck_assert_int_eq(events_take(&events, NULL, 0), 0);
	ck_assert_int_eq(events_take(&events, "data: a\n\n", 9), 9);
	events_drop(&events, 9);
	ck_assert_int_eq(events_take(&events, "", 0), 0);
	ck_assert_uint_eq(events.count, 1);
	events_finish(&events);
}
END_TEST

START_TEST(an_id_beyond_all_reason_is_passed_over)
{
	char text[EVENTS_ID_MAX + 16] = "id: ";
	events_t events;

	memset(text + 4, 'x', EVENTS_ID_MAX);
	strcpy(text + 4 + EVENTS_ID_MAX, "\n\n");
	events_init(&events);
	ck_assert_int_gt(events_take(&events, text, strlen(text)), 0);
	ck_assert_str_eq(events.last_id, "");
	events_finish(&events);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("events");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tests, any_cut_gives_the_same_events, 1,
			    sizeof(stream));
	tcase_add_test(tests, an_empty_piece_changes_nothing);
	tcase_add_test(tests, an_id_beyond_all_reason_is_passed_over);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
