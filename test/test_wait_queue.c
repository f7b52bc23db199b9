/* Which waiting request goes next, and when one is turned away. */

#include "wait_queue.h"

#include <check.h>
#include <stdlib.h>

#define MS PIMENTO_MSEC

static wait_queue_t line;

static void setup(void)
{
	line = (wait_queue_t){ 0 };
}

static wait_queue_item_t item(uint64_t rank, pimento_usec_t arrived,
			      pimento_usec_t late_at, pimento_usec_t give_up_at)
{
	return (wait_queue_item_t){ .rank = rank,
				    .since = arrived,
				    .order_at = arrived,
				    .late_at = late_at,
				    .give_up_at = give_up_at };
}

START_TEST(the_more_urgent_goes_first_then_the_earlier)
{
	wait_queue_item_t a = item(1, 10 * MS, 900 * MS, PIMENTO_SEC);
	wait_queue_item_t b = item(0, 30 * MS, 900 * MS, PIMENTO_SEC);
	wait_queue_item_t c = item(0, 20 * MS, 900 * MS, PIMENTO_SEC);

	wait_queue_push(&line, &a);
	wait_queue_push(&line, &b);
	wait_queue_push(&line, &c);
	ck_assert_ptr_eq(line.first, &c);
	ck_assert_ptr_eq(c.next, &b);
	ck_assert_ptr_eq(b.next, &a);
	wait_queue_remove(&line, &b);
	ck_assert_ptr_eq(c.next, &a);
	ck_assert_uint_eq(line.count, 2);
}
END_TEST

/*
 * In an overload a caller wants an answer that takes as long as twenty others.
 * Were it served in its turn, the twenty that came just after it would be late or
 * turned away; were it always last, it would never be served.
 */
START_TEST(a_long_answer_lets_short_ones_go_first_for_a_while)
{
	wait_queue_terms_t terms = { .goal = 300 * MS,
				     .end = 10 * PIMENTO_SEC,
				     .hold = 4 * PIMENTO_SEC };
	wait_queue_item_t longer = { 0 };
	wait_queue_item_t soon = { 0 };
	wait_queue_item_t later = { 0 };

	wait_queue_set_times(&longer, &terms);
	terms.hold = 200 * MS;
	terms.arrived = 250 * MS;
	wait_queue_set_times(&soon, &terms);
	terms.arrived = 4 * PIMENTO_SEC;
	wait_queue_set_times(&later, &terms);
	wait_queue_push(&line, &longer);
	wait_queue_push(&line, &soon);
	wait_queue_push(&line, &later);
	ck_assert_ptr_eq(line.first, &soon);
	ck_assert_ptr_eq(soon.next, &longer);
	ck_assert_ptr_eq(longer.next, &later);
}
END_TEST

/*
 * A burst has filled the line. Served in order of arrival, everyone would be
 * answered just too late; callers see every answer miss its goal although
 * half of them could have been on time.
 */
START_TEST(what_is_late_goes_behind_what_can_be_on_time)
{
	wait_queue_item_t late = item(0, 0, 300 * MS, 900 * MS);
	wait_queue_item_t fresh = item(2, 350 * MS, 650 * MS, 900 * MS);

	wait_queue_push(&line, &late);
	wait_queue_push(&line, &fresh);
	ck_assert_ptr_null(wait_queue_expired(&line, 290 * MS));
	ck_assert_ptr_eq(line.first, &late);
	ck_assert_ptr_null(wait_queue_expired(&line, 400 * MS));
	ck_assert_ptr_eq(line.first, &fresh);
	ck_assert(late.late);
	ck_assert_ptr_eq(wait_queue_expired(&line, 901 * MS), &fresh);
}
END_TEST

/*
 * An engine crashes while it makes an answer, in an overload. The time for which
 * the request was to wait for its first place has passed long ago; were it still
 * to count, the answer would break off at once, and its caller, who would have
 * waited for the rest, has half an answer and starts anew.
 */
START_TEST(an_answer_that_lost_its_engine_waits_for_another)
{
	wait_queue_terms_t terms = { .goal = 300 * MS,
				     .gap_goal = 300 * MS,
				     .end = 10 * PIMENTO_SEC,
				     .hold = 4 * PIMENTO_SEC };
	wait_queue_item_t begun = { 0 };
	wait_queue_item_t fresh =
		item(0, 5000 * MS, 5300 * MS, 7 * PIMENTO_SEC);

	wait_queue_set_times(&begun, &terms);
	begun.late = true;
	wait_queue_set_begun(&begun, &terms, 5 * PIMENTO_SEC);
	wait_queue_push(&line, &fresh);
	wait_queue_push(&line, &begun);
	ck_assert_ptr_eq(line.first, &begun);
	ck_assert_ptr_null(wait_queue_expired(&line, 5200 * MS));
	ck_assert(!begun.late);
	ck_assert_ptr_eq(wait_queue_expired(&line, 7 * PIMENTO_SEC), &begun);
}
END_TEST

/* What a request brings, and when it is late and turned away. */
static const struct {
	const char *what;
	wait_queue_terms_t terms; /* in milliseconds */
	int64_t late_at;
	int64_t give_up_at;
} times[] = {
	{ "a stream with much time",
	  { 1000, 0, 600, 100, 0, 300, 16000 },
	  1500,
	  1000 + 1920 - 100 },
	{ "a stream whose caller leaves soon",
	  { 1000, 0, 400, 100, 0, 300, 4000 },
	  1300,
	  1600 },
	{ "a plain call", { 1000, 0, 100, 20, 0, 0, 2000 }, 1080, 1200 },
	{ "one that has come back late",
	  { 1000, 3000, 600, 100, 0, 300, 12000 },
	  -1500,
	  1000 + 1920 - 100 },
	{ "one with hardly any time",
	  { 1000, 0, 600, 100, 0, 300, 1050 },
	  1500,
	  1050 },
};

START_TEST(waits_end_while_the_caller_still_cares)
{
	wait_queue_terms_t terms = times[_i].terms;
	wait_queue_item_t it = { 0 };

	terms.arrived *= MS;
	terms.spent *= MS;
	terms.goal *= MS;
	terms.expect *= MS;
	terms.gap_goal *= MS;
	terms.end *= MS;
	wait_queue_set_times(&it, &terms);
	ck_assert_msg(it.late_at / MS == times[_i].late_at, "%s: late %lld",
		      times[_i].what, (long long)(it.late_at / MS));
	ck_assert_msg(it.give_up_at / MS == times[_i].give_up_at,
		      "%s: given up %lld", times[_i].what,
		      (long long)(it.give_up_at / MS));
	ck_assert(it.late == (it.late_at <= terms.arrived));
}
END_TEST

START_TEST(callers_that_are_turned_away_come_back_spread)
{
	pimento_usec_t least = PIMENTO_NEVER;
	pimento_usec_t most = 0;

	for (uint64_t draw = 0; draw < 1000; draw++) {
		pimento_usec_t wait =
			wait_queue_retry_after(40, 19, draw * 7919000);

		least = wait < least ? wait : least;
		most = wait > most ? wait : most;
	}
	ck_assert_int_ge(least, 5 * PIMENTO_SEC / 2);
	ck_assert_int_le(most, 15 * PIMENTO_SEC / 2);
	ck_assert_int_gt(most - least, 4 * PIMENTO_SEC);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("wait_queue");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, NULL);
	tcase_add_test(tests, the_more_urgent_goes_first_then_the_earlier);
	tcase_add_test(tests,
		       a_long_answer_lets_short_ones_go_first_for_a_while);
	tcase_add_test(tests, an_answer_that_lost_its_engine_waits_for_another);
	tcase_add_test(tests, what_is_late_goes_behind_what_can_be_on_time);
	tcase_add_loop_test(tests, waits_end_while_the_caller_still_cares, 0,
			    sizeof(times) / sizeof(times[0]));
	tcase_add_test(tests, callers_that_are_turned_away_come_back_spread);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
