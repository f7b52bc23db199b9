/* Tests that event streams are split into complete events. */

#include "sse.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const char stream[] = "id: 1\ndata: a\n\n"
			     ": a comment\r\nid:2\r\ndata: b\r\n\r\n"
			     "data: without an id\n\n"
			     "id: 3\ndata: cut";

#define COMPLETE_BYTES (sizeof(stream) - 1 - strlen("id: 3\ndata: cut"))

/* Guards against losing or merging events that span received chunks. */
START_TEST(split_points_do_not_change_events)
{
	sse_t sse;
	size_t consumed = 0;

	sse_init(&sse);
	for (size_t at = 0; at < sizeof(stream) - 1; at += (size_t)_i) {
		size_t length = sizeof(stream) - 1 - at;
		int64_t complete;

		if (length > (size_t)_i)
			length = (size_t)_i;
		complete = sse_feed(&sse, stream + at, length);
		ck_assert_int_ge(complete, 0);
		ck_assert_mem_eq(sse.partial.bytes, stream + consumed,
				 (size_t)complete);
		consumed += (size_t)complete;
		sse_consume(&sse, (size_t)complete);
	}
	ck_assert_uint_eq(consumed, COMPLETE_BYTES);
	ck_assert_uint_eq(sse.count, 3);
	ck_assert_str_eq(sse.last_id, "2");
	sse_discard_partial(&sse);
	ck_assert_uint_eq(sse.partial.length, 0);
	sse_finish(&sse);
}
END_TEST

START_TEST(empty_chunk_is_ignored)
{
	sse_t sse;

	sse_init(&sse);
	ck_assert_int_eq(sse_feed(&sse, NULL, 0), 0);
	ck_assert_int_eq(sse_feed(&sse, "data: a\n\n", 9), 9);
	sse_consume(&sse, 9);
	ck_assert_int_eq(sse_feed(&sse, "", 0), 0);
	ck_assert_uint_eq(sse.count, 1);
	sse_finish(&sse);
}
END_TEST

/* Guards against overflowing last_id, and against storing a truncated id. */
START_TEST(oversized_id_is_ignored)
{
	char text[SSE_ID_MAX + 16] = "id: ";
	sse_t sse;

	memset(text + 4, 'x', SSE_ID_MAX);
	strcpy(text + 4 + SSE_ID_MAX, "\n\n");
	sse_init(&sse);
	ck_assert_int_gt(sse_feed(&sse, text, strlen(text)), 0);
	ck_assert_str_eq(sse.last_id, "");
	sse_finish(&sse);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sse");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tests, split_points_do_not_change_events, 1,
			    sizeof(stream));
	tcase_add_test(tests, empty_chunk_is_ignored);
	tcase_add_test(tests, oversized_id_is_ignored);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
