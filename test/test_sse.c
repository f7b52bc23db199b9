/* Tests that event streams are split into complete events. */

#include "sse.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

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
		ck_assert_mem_eq(sse.partial.text.bytes, stream + consumed,
				 (size_t)complete);
		consumed += (size_t)complete;
		sse_consume(&sse, (size_t)complete);
	}
	ck_assert_uint_eq(consumed, COMPLETE_BYTES);
	ck_assert_uint_eq(sse.count, 3);
	ck_assert_str_eq(sse.last_id, "2");
	sse_discard_partial(&sse);
	ck_assert_uint_eq(sse.partial.text.length, 0);
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

/* Bytes that a connection delivers to its reader at once. */
#define READ_BYTES 65536
/* An event is bounded at 1 MiB. */
#define ENDLESS_BYTES (15 * READ_BYTES)
/* The event loop's tick: one read must not take as long. */
#define READ_MS_MAX 50.0

static double processor_ms(void)
{
	return (double)clock() * 1000 / CLOCKS_PER_SEC;
}

/* The input is this text, repeated, in pieces of so many bytes. */
static const struct {
	const char *text;
	size_t piece;
	bool has_events;
} inputs[] = {
	{ "d: 0\n", 5, false },	  { "d: 0\r\n", 6, false },
	{ "d: 0\r\n", 1, false }, { ": comment\n", 10, false },
	{ "id: 7\n", 6, false },  { "x", 1, false },
	{ "x", 1000, false },	  { "d: 0\n", READ_BYTES, false },
	{ "data\n\n", 6, true },  { "data\r\n\r\n", 1, true },
	{ "\n", 1, true },	  { "\r", 1, true },
};

/*
 * Feeds one read's bytes in pieces; returns the processor time that it took.
 * Checks nothing on the way, as each check would write to a file.
 */
static double feed_read(sse_t *sse, const char *bytes, size_t length,
			size_t piece)
{
	double begun = processor_ms();

	for (size_t at = 0; at + piece <= length; at += piece) {
		int64_t complete = sse_feed(sse, bytes + at, piece);

		if (complete < 0)
			return HUGE_VAL;
		sse_consume(sse, (size_t)complete);
	}
	return processor_ms() - begun;
}

/* Guards against work that grows with the square of an event's bytes. */
START_TEST(work_is_linear_however_bytes_are_cut)
{
	const char *text = inputs[_i].text;
	char input[READ_BYTES];
	sse_t sse;

	for (size_t i = 0; i < sizeof(input); i++)
		input[i] = text[i % strlen(text)];
	sse_init(&sse);
	for (size_t at = 0; at < ENDLESS_BYTES; at += READ_BYTES) {
		double ms =
			feed_read(&sse, input, sizeof(input), inputs[_i].piece);

		ck_assert_msg(ms < READ_MS_MAX, "%.0f ms for the read at %zu",
			      ms, at);
	}
	ck_assert_int_eq(sse.count > 0, inputs[_i].has_events);
	sse_finish(&sse);
}
END_TEST

/* The end of a line is LF, CRLF or CR, in any mixture. */
static const struct {
	const char *text;
	uint32_t events;
	const char *last_id;
} line_ends[] = {
	{ "id: 1\ndata: a\n\n", 1, "1" },
	{ "id: 1\r\ndata: a\r\n\r\n", 1, "1" },
	{ "id: 1\rdata: a\r\r", 1, "1" },
	{ "id: 1\ndata: a\n\r\n", 1, "1" },
	{ "id: 1\rdata: a\n\r", 1, "1" },
	{ "id: 1\r\n\r\nid: 2\r\n\r\n", 2, "2" },
	{ "id: 1\r\rid: 2\r\r", 2, "2" },
	{ "id: 1\n\r\nid: 2\r\n\n", 2, "2" },
};

/* Guards against an event that is never whole, and against bytes that are lost. */
START_TEST(every_line_end_ends_a_line)
{
	const char *text = line_ends[_i].text;
	size_t length = strlen(text);

	for (size_t cut = 1; cut <= length; cut++) {
		size_t consumed = 0;
		sse_t sse;

		sse_init(&sse);
		for (size_t at = 0; at < length; at += cut) {
			size_t part = length - at < cut ? length - at : cut;
			int64_t complete = sse_feed(&sse, text + at, part);

			ck_assert_int_ge(complete, 0);
			sse_consume(&sse, (size_t)complete);
			consumed += (size_t)complete;
		}
		ck_assert_msg(consumed == length &&
				      sse.count == line_ends[_i].events,
			      "in pieces of %zu: %zu of %zu bytes, %u events",
			      cut, consumed, length, sse.count);
		ck_assert_str_eq(sse.last_id, line_ends[_i].last_id);
		sse_finish(&sse);
	}
}
END_TEST

/* Guards against resuming behind an event that its caller has not got. */
START_TEST(id_of_an_incomplete_event_is_not_kept)
{
	sse_t sse;

	sse_init(&sse);
	ck_assert_int_eq(sse_feed(&sse, "id: 1\n\nid: 2\n", 14), 7);
	ck_assert_str_eq(sse.last_id, "1");
	sse_consume(&sse, 7);
	sse_discard_partial(&sse);
	ck_assert_int_eq(sse_feed(&sse, "data: a\n\n", 9), 9);
	ck_assert_str_eq(sse.last_id, "1");
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
	tcase_add_loop_test(tests, work_is_linear_however_bytes_are_cut, 0,
			    sizeof(inputs) / sizeof(inputs[0]));
	tcase_add_loop_test(tests, every_line_end_ends_a_line, 0,
			    sizeof(line_ends) / sizeof(line_ends[0]));
	tcase_add_test(tests, id_of_an_incomplete_event_is_not_kept);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
