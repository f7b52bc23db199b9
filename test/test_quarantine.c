/* What follows from endpoints that ended under requests with a prompt part. */

#include "packet.h"
#include "quarantine.h"

#include <check.h>
#include <stdlib.h>

enum { PART = 7, OTHER = 8, STEPS_MAX = 10, HOSTS = 6, ROUNDS = 2000 };

static const quarantine_limits_t limits = {
	.ends = 3,
	.interval = 2 * PIMENTO_SEC,
	.interval_max = 3600 * PIMENTO_SEC,
};

static quarantine_t quarantine;

static void setup(void)
{
	quarantine_init(&quarantine, QUARANTINE_PARTS, &limits);
}

static void teardown(void)
{
	quarantine_finish(&quarantine);
}

static pimento_usec_t ms(int64_t value)
{
	return value * PIMENTO_MSEC;
}

static void add_end(quarantine_t *q, uint64_t part, uint32_t process,
		    int64_t at_ms)
{
	const quarantine_end_t end = { process, ms(at_ms) };

	quarantine_add_end(q, part, &end, ms(at_ms));
}

static quarantine_verdict_t judge(const quarantine_t *q, uint64_t part,
				  int64_t at_ms)
{
	return quarantine_judge(q, &part, 1, ms(at_ms));
}

/* What happens: ends at processes, or an answer (process 0). */
typedef struct history {
	const char *name;
	struct {
		int64_t at_ms;
		uint32_t process;
	} steps[STEPS_MAX];
	quarantine_state_t state;
	int64_t trial_ms; /* when the next one may be tried */
} history_t;

/* To one part. */
static const history_t cases[] = {
	{ "nothing", { { 0 } }, QUARANTINE_CLEAR, 0 },
	{ "one end", { { 1000, 1 } }, QUARANTINE_SUSPECT, 1050 },
	{ "two ends", { { 1000, 1 }, { 2000, 2 } }, QUARANTINE_SUSPECT, 2250 },
	{ "three ends",
	  { { 1000, 1 }, { 2000, 2 }, { 3000, 3 } },
	  QUARANTINE_HELD,
	  5000 },
	{ "four ends",
	  { { 1000, 1 }, { 2000, 2 }, { 3000, 3 }, { 5000, 4 } },
	  QUARANTINE_HELD,
	  21000 },
	{ "many ends in one moment",
	  { { 1000, 1 }, { 1010, 2 }, { 1020, 3 }, { 1040, 4 } },
	  QUARANTINE_SUSPECT,
	  1090 },
	{ "one end that is reported thrice",
	  { { 1000, 1 }, { 1300, 1 }, { 1600, 1 } },
	  QUARANTINE_SUSPECT,
	  1050 },
	{ "one endpoint that ends again and again",
	  { { 1000, 1 }, { 4000, 1 }, { 7000, 1 } },
	  QUARANTINE_HELD,
	  9000 },
	{ "ends before an answer",
	  { { 1000, 1 }, { 2000, 2 }, { 3000, 3 }, { 3100, 0 } },
	  QUARANTINE_CLEAR,
	  0 },
	{ "ends after an answer",
	  { { 500, 0 }, { 1000, 1 }, { 2000, 2 }, { 3000, 3 } },
	  QUARANTINE_CLEAR,
	  0 },
	{ "many ends after an answer",
	  { { 500, 0 },
	    { 1000, 1 },
	    { 2000, 2 },
	    { 3000, 3 },
	    { 4000, 4 },
	    { 5000, 5 },
	    { 6000, 6 } },
	  QUARANTINE_HELD,
	  8000 },
	{ "ends long after an answer",
	  { { 500, 0 }, { 700000, 1 }, { 701000, 2 }, { 702000, 3 } },
	  QUARANTINE_HELD,
	  704000 },
};

/* To one request; trials of the quarantine's limits. */
static const history_t request_cases[] = {
	{ "one end", { { 1000, 1 } }, QUARANTINE_CLEAR, 0 },
	{ "two ends", { { 1000, 1 }, { 2000, 2 } }, QUARANTINE_SUSPECT, 2000 },
	{ "three ends",
	  { { 1000, 1 }, { 2000, 2 }, { 3000, 3 } },
	  QUARANTINE_HELD,
	  5000 },
	{ "three ends in one moment",
	  { { 1000, 1 }, { 1001, 2 }, { 1002, 3 } },
	  QUARANTINE_HELD,
	  3002 },
	{ "one end that is reported thrice",
	  { { 1000, 1 }, { 1300, 1 }, { 1600, 1 } },
	  QUARANTINE_CLEAR,
	  0 },
	{ "ends before an answer",
	  { { 1000, 1 }, { 2000, 2 }, { 3000, 3 }, { 3100, 0 } },
	  QUARANTINE_CLEAR,
	  0 },
	{ "a popular request under endpoints that end at once",
	  { { 500, 0 },
	    { 1000, 1 },
	    { 1010, 2 },
	    { 1020, 3 },
	    { 1030, 4 },
	    { 1040, 5 } },
	  QUARANTINE_CLEAR,
	  0 },
};

static void play_history(const history_t *history)
{
	quarantine_verdict_t verdict;

	for (int i = 0; i < STEPS_MAX && history->steps[i].at_ms; i++) {
		int64_t at_ms = history->steps[i].at_ms;

		if (history->steps[i].process)
			add_end(&quarantine, PART, history->steps[i].process,
				at_ms);
		else
			quarantine_add_answer(&quarantine, PART, ms(at_ms));
	}
	verdict = judge(&quarantine, PART, 0);
	ck_assert_msg(verdict.state == history->state, "%s: %s", history->name,
		      quarantine_state_name(verdict.state));
	if (verdict.state != QUARANTINE_CLEAR)
		ck_assert_msg(verdict.trial_at == ms(history->trial_ms),
			      "%s: trial at %lld us", history->name,
			      (long long)verdict.trial_at);
}

/* Sound parts that are refused, or crashing ones that are not. */
START_TEST(ends_without_answers_count_against_a_part)
{
	play_history(&cases[_i]);
}
END_TEST

/* Sound requests that wait or are refused, or crashing ones that are not. */
START_TEST(ends_without_answers_count_against_a_request)
{
	quarantine_init(&quarantine, QUARANTINE_REQUESTS, &limits);
	play_history(&request_cases[_i]);
}
END_TEST

/* Copies of a request that is under two ends, each taken for the only trial. */
START_TEST(one_attempt_of_a_suspect_request_is_sent_at_a_time)
{
	quarantine_init(&quarantine, QUARANTINE_REQUESTS, &limits);
	add_end(&quarantine, PART, 1, 1000);
	ck_assert(quarantine_lease(&quarantine, PART, 1, 11, ms(1000)));
	ck_assert(quarantine_lease(&quarantine, PART, 1, 12, ms(1000)));
	ck_assert(quarantine_is_near(&quarantine, PART, 1));
	ck_assert(!quarantine_is_near(&quarantine, PART, 0));
	add_end(&quarantine, PART, 2, 1010);
	ck_assert(quarantine_lease(&quarantine, PART, 1, 13, ms(1020)));
	ck_assert(!quarantine_lease(&quarantine, PART, 1, 14, ms(20000)));
	add_end(&quarantine, PART, 3, 20100);
	ck_assert(!quarantine_lease(&quarantine, PART, 1, 14, ms(20200)));
}
END_TEST

/* Requests that wait though hardly any part crashes endpoints late in answers. */
START_TEST(ends_late_in_answers_hold_a_part_but_make_none_suspect)
{
	quarantine_init(&quarantine, QUARANTINE_LATE_PARTS, &limits);
	add_end(&quarantine, PART, 1, 1000);
	add_end(&quarantine, PART, 2, 2000);
	add_end(&quarantine, PART, 3, 2010);
	ck_assert_int_eq(judge(&quarantine, PART, 2100).state,
			 QUARANTINE_CLEAR);
	add_end(&quarantine, PART, 4, 3000);
	ck_assert_int_eq(judge(&quarantine, PART, 3000).state, QUARANTINE_HELD);
	ck_assert_int_eq(judge(&quarantine, PART, 3000).trial_at, ms(5000));
	quarantine_add_answer(&quarantine, PART, ms(3500));
	ck_assert_int_eq(judge(&quarantine, PART, 3500).state,
			 QUARANTINE_CLEAR);
}
END_TEST

/* Victims of a wave of ends that displace what all hosts must know. */
START_TEST(only_suspect_requests_are_reported_to_all)
{
	quarantine_evidence_t evidence[GOSSIP_EVIDENCE_MAX];

	quarantine_init(&quarantine, QUARANTINE_REQUESTS, &limits);
	for (uint32_t i = 0; i < 50; i++)
		add_end(&quarantine, 100 + i, i, 1000);
	ck_assert_uint_eq(quarantine_report(&quarantine, evidence,
					    GOSSIP_EVIDENCE_MAX, ms(1100)),
			  0);
	add_end(&quarantine, 120, 99, 1200);
	ck_assert_uint_eq(quarantine_report(&quarantine, evidence,
					    GOSSIP_EVIDENCE_MAX, ms(1300)),
			  1);
	ck_assert_uint_eq(evidence[0].id, 120);
	/* cleared: others learn that, too */
	quarantine_add_answer(&quarantine, 120, ms(1400));
	ck_assert_uint_eq(quarantine_report(&quarantine, evidence,
					    GOSSIP_EVIDENCE_MAX, ms(1500)),
			  1);
	ck_assert_uint_eq(evidence[0].end_count, 0);
}
END_TEST

/* Several requests that crash endpoints at once, each taken for the only trial. */
START_TEST(one_request_at_a_time_is_tried)
{
	add_end(&quarantine, PART, 1, 1000);
	ck_assert(!quarantine_lease(&quarantine, PART, 1, 11, ms(1010)));
	ck_assert(quarantine_lease(&quarantine, PART, 1, 11, ms(1060)));
	ck_assert(!quarantine_lease(&quarantine, PART, 1, 12, ms(1100)));
	ck_assert(quarantine_lease(&quarantine, PART, 1, 11, ms(1100)));
	quarantine_release(&quarantine, PART, 99);
	ck_assert(!quarantine_lease(&quarantine, PART, 1, 12, ms(1200)));
	quarantine_release(&quarantine, PART, 11);
	ck_assert(quarantine_lease(&quarantine, PART, 1, 12, ms(1200)));
	/* its host dies, and nobody tells */
	ck_assert(quarantine_lease(&quarantine, PART, 1, 13, ms(7000)));
	add_end(&quarantine, PART, 2, 7100);
	ck_assert(!quarantine_lease(&quarantine, PART, 1, 14, ms(7200)));
	ck_assert(quarantine_lease(&quarantine, PART, 1, 14, ms(7400)));
}
END_TEST

/* A sound part that stays suspect because crashing requests are tried first. */
START_TEST(a_request_with_one_suspect_part_goes_first)
{
	const uint64_t both[] = { PART, OTHER };

	add_end(&quarantine, PART, 1, 1000);
	add_end(&quarantine, OTHER, 1, 1000);
	ck_assert_int_eq(judge(&quarantine, PART, 1000).trial_at, ms(1050));
	ck_assert_int_eq(
		quarantine_judge(&quarantine, both, 2, ms(1000)).trial_at,
		ms(1100));
	quarantine_add_answer(&quarantine, PART, ms(1060));
	ck_assert_uint_eq(quarantine_judge(&quarantine, both, 2, ms(1100)).id,
			  OTHER);
}
END_TEST

/* Parts that crash nothing drive one that does out of the table. */
START_TEST(a_flood_of_parts_displaces_no_held_one)
{
	for (int i = 1; i <= 3; i++)
		add_end(&quarantine, PART, (uint32_t)i, i * 1000);
	for (uint32_t i = 0; i < 10 * QUARANTINE_RECORDS_MAX; i++)
		add_end(&quarantine, 100 + i, 9, 5000 + i);
	ck_assert_uint_eq(quarantine.count, QUARANTINE_RECORDS_MAX);
	ck_assert_int_eq(judge(&quarantine, PART, 60000).state,
			 QUARANTINE_HELD);
}
END_TEST

START_TEST(evidence_is_forgotten_only_when_it_is_old)
{
	for (int i = 1; i <= 3; i++)
		add_end(&quarantine, PART, (uint32_t)i, i * 1000);
	add_end(&quarantine, OTHER, 1, 1000);
	quarantine_add_answer(&quarantine, OTHER, ms(2000));
	quarantine_tick(&quarantine, ms(3600 * 1000));
	ck_assert_ptr_nonnull(quarantine_find(&quarantine, PART));
	ck_assert_ptr_null(quarantine_find(&quarantine, OTHER));
	quarantine_tick(&quarantine, QUARANTINE_RETENTION + ms(4000));
	ck_assert_ptr_null(quarantine_find(&quarantine, PART));
}
END_TEST

/* One host's message to another, through the wire format, 1 ms later. */
static void gossip(quarantine_t *from, quarantine_t *to, pimento_usec_t now)
{
	uint8_t bytes[PACKET_BYTES_MAX];
	packet_t packet = { .kind = PACKET_GOSSIP };
	gossip_message_t *note = &packet.as.gossip;
	int length;

	note->evidence_count = quarantine_report(from, note->evidence,
						 GOSSIP_EVIDENCE_MAX, now);
	for (uint32_t i = 0; i < note->evidence_count; i++)
		quarantine_shift(&note->evidence[i], -now);
	length = packet_pack(&packet, bytes, sizeof(bytes));
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length), 0);
	for (uint32_t i = 0; i < note->evidence_count; i++) {
		quarantine_shift(&note->evidence[i], now + ms(1));
		quarantine_merge(to, &note->evidence[i], now + ms(1));
	}
}

/*
 * Each host sees one crash; evidence that is passed round drifts in time, until
 * an answer counts as later than a crash.
 */
START_TEST(all_hosts_reach_the_same_verdict_and_keep_it)
{
	quarantine_t hosts[HOSTS];
	pimento_usec_t now = ms(10000);

	for (uint32_t i = 0; i < HOSTS; i++)
		quarantine_init(&hosts[i], QUARANTINE_PARTS, &limits);
	for (uint32_t i = 0; i < 3; i++) {
		add_end(&hosts[i], PART, i, 1000 + i * 1000);
		add_end(&hosts[i], OTHER, i, 1000 + i * 1000);
	}
	quarantine_add_answer(&hosts[4], OTHER, ms(2500));
	for (uint32_t round = 0; round < ROUNDS; round++) {
		gossip(&hosts[round % HOSTS], &hosts[round * 5 / 3 % HOSTS],
		       now);
		now += ms(20);
	}
	for (uint32_t i = 0; i < HOSTS; i++) {
		quarantine_verdict_t verdict =
			quarantine_judge(&hosts[i], (uint64_t[]){ PART }, 1, 0);

		ck_assert_int_eq(verdict.state, QUARANTINE_HELD);
		ck_assert_int_ge(verdict.trial_at, ms(5000 - 100));
		ck_assert_int_le(verdict.trial_at, ms(5000 + 100));
		ck_assert_int_eq(judge(&hosts[i], OTHER, 0).state,
				 QUARANTINE_CLEAR);
		quarantine_finish(&hosts[i]);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quarantine");
	TCase *tests = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, ends_without_answers_count_against_a_part, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_loop_test(tests, ends_without_answers_count_against_a_request,
			    0,
			    sizeof(request_cases) / sizeof(request_cases[0]));
	tcase_add_test(tests,
		       one_attempt_of_a_suspect_request_is_sent_at_a_time);
	tcase_add_test(tests, only_suspect_requests_are_reported_to_all);
	tcase_add_test(tests,
		       ends_late_in_answers_hold_a_part_but_make_none_suspect);
	tcase_add_test(tests, one_request_at_a_time_is_tried);
	tcase_add_test(tests, a_request_with_one_suspect_part_goes_first);
	tcase_add_test(tests, a_flood_of_parts_displaces_no_held_one);
	tcase_add_test(tests, evidence_is_forgotten_only_when_it_is_old);
	tcase_add_test(tests, all_hosts_reach_the_same_verdict_and_keep_it);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
