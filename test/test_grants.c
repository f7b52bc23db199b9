/* Slots of an engine, granted by the host that counts them. */

#include "grants.h"

#include <check.h>
#include <stdlib.h>

enum { ENGINE = 7, SLOTS = 4, HOST_A = 1, HOST_B = 2 };

#define NOW (100 * PIMENTO_SEC)

static grants_t grants;

static void setup(void)
{
	grants_init(&grants);
}

static void teardown(void)
{
	grants_finish(&grants);
}

static void request_slot(uint64_t ticket, uint64_t rank, bool overdue,
			 pimento_usec_t now)
{
	grants_request_t request = { .endpoint = ENGINE,
				     .address = HOST_A,
				     .ticket = ticket,
				     .rank = rank,
				     .overdue = overdue,
				     .queue_timeout = 250 * PIMENTO_MSEC };

	ck_assert_int_eq(grants_request(&grants, &request, now), 0);
}

/* Returns the ticket that is granted next, 0 if none is. */
static uint64_t next_grant(pimento_usec_t now)
{
	grants_request_t granted;

	return grants_grant_next(&grants, ENGINE, SLOTS, now, &granted)
		       ? granted.ticket
		       : 0;
}

static void fill_slots(uint32_t count, pimento_usec_t now)
{
	for (uint64_t ticket = 1; ticket <= count; ticket++) {
		request_slot(ticket, 5, false, now);
		ck_assert_uint_eq(next_grant(now), ticket);
	}
}

START_TEST(grants_do_not_exceed_slots)
{
	fill_slots(SLOTS, NOW);
	request_slot(9, 0, false, NOW);
	ck_assert_uint_eq(next_grant(NOW), 0);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), SLOTS);
	ck_assert_uint_eq(grants_waiting(&grants, ENGINE), 1);
	grants_release(&grants, ENGINE, HOST_A, 2);
	ck_assert_uint_eq(next_grant(NOW), 9);
}
END_TEST

/*
 * Dozens of hosts wait for slots of the same engine. Without one queue for all,
 * the first host that sees a free slot would take it for any request, while
 * another host holds a more urgent one, which short requests then overtake.
 */
START_TEST(slot_goes_to_most_urgent_request_of_all_hosts)
{
	fill_slots(SLOTS, NOW);
	request_slot(11, 2, false, NOW);
	request_slot(12, 0, true, NOW + 1);
	request_slot(13, 1, false, NOW + 2);
	request_slot(14, 1, false, NOW + 3);
	for (uint64_t ticket = 1; ticket <= 3; ticket++)
		grants_release(&grants, ENGINE, HOST_A, ticket);
	ck_assert_uint_eq(next_grant(NOW + 4), 13);
	ck_assert_uint_eq(next_grant(NOW + 4), 14);
	ck_assert_uint_eq(next_grant(NOW + 4), 11);
	/*
	 * an overdue request comes after all that can be on time, however
	 * urgent it is
	 */
	request_slot(15, 2, false, NOW + 4);
	ck_assert_uint_eq(next_grant(NOW + 4), 0);
	grants_release(&grants, ENGINE, HOST_A, 11);
	ck_assert_uint_eq(next_grant(NOW + 4), 15);
	grants_release(&grants, ENGINE, HOST_A, 13);
	ck_assert_uint_eq(next_grant(NOW + 4), 12);
}
END_TEST

/*
 * A caller that was refused retries and waits again. If the queue were in order
 * of arrival, its request would wait behind newer ones and be refused a second
 * time.
 */
START_TEST(longest_total_wait_is_granted_first)
{
	grants_request_t returning = { .endpoint = ENGINE,
				       .address = HOST_B,
				       .ticket = 12,
				       .rank = 1,
				       .queue_timeout = 250 * PIMENTO_MSEC,
				       .head_start = 900 * PIMENTO_MSEC };

	fill_slots(SLOTS, NOW);
	request_slot(11, 1, false, NOW);
	ck_assert_int_eq(grants_request(&grants, &returning, NOW + 1), 0);
	grants_release(&grants, ENGINE, HOST_A, 1);
	ck_assert_uint_eq(next_grant(NOW + 2), 12);
	grants_release(&grants, ENGINE, HOST_A, 2);
	ck_assert_uint_eq(next_grant(NOW + 2), 11);
}
END_TEST

/*
 * In an overload, requests are on time when they are queued and become overdue
 * while they wait. If the one that waited longest always got the slot, each
 * would get it just too late, and every answer would miss its objective
 * although half of them could have met it.
 */
START_TEST(request_overdue_in_queue_is_granted_last)
{
	grants_request_t older = { .endpoint = ENGINE,
				   .address = HOST_A,
				   .ticket = 21,
				   .overdue_in = 100 * PIMENTO_MSEC,
				   .queue_timeout = PIMENTO_SEC,
				   .head_start = 900 * PIMENTO_MSEC };
	grants_request_t newer = { .endpoint = ENGINE,
				   .address = HOST_B,
				   .ticket = 22,
				   .overdue_in = 250 * PIMENTO_MSEC,
				   .queue_timeout = PIMENTO_SEC };
	pimento_usec_t now = NOW + 120 * PIMENTO_MSEC;

	fill_slots(SLOTS, NOW);
	ck_assert_int_eq(grants_request(&grants, &older, NOW), 0);
	ck_assert_int_eq(grants_request(&grants, &newer, now), 0);
	grants_release(&grants, ENGINE, HOST_A, 1);
	ck_assert_uint_eq(next_grant(now), 22);
	grants_release(&grants, ENGINE, HOST_A, 2);
	ck_assert_uint_eq(next_grant(now), 21);
}
END_TEST

/*
 * A host withdrew a slot request and the message was lost. If the request did
 * not time out in the queue, a slot would be granted to it for nothing.
 */
START_TEST(request_past_its_wait_gets_no_grant)
{
	fill_slots(SLOTS, NOW);
	request_slot(9, 0, false, NOW);
	grants_release(&grants, ENGINE, HOST_A, 1);
	ck_assert_uint_eq(next_grant(NOW + PIMENTO_SEC), 0);
	ck_assert_uint_eq(grants_waiting(&grants, ENGINE), 0);
}
END_TEST

static void report(uint32_t address, uint32_t running, pimento_usec_t now)
{
	ck_assert_int_eq(grants_report(&grants, ENGINE, address, running, now),
			 0);
}

/*
 * A release is lost in transit. Without the host's reports, its slot would stay
 * in use for good, and the engine would idle a little more after each loss. A
 * report sent before the grant arrived must not free the slot.
 */
START_TEST(report_recovers_lost_release)
{
	fill_slots(SLOTS, NOW);
	report(HOST_A, 1, NOW + 100 * PIMENTO_MSEC);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), SLOTS);
	report(HOST_A, 1, NOW + PIMENTO_SEC);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), 1);
}
END_TEST

/*
 * The owner is killed and another host takes over, or it restarts. The new
 * owner has granted nothing although the engine is full; without the hosts'
 * reports it would grant all slots again.
 */
START_TEST(new_owner_counts_reported_requests)
{
	report(HOST_A, 3, NOW);
	report(HOST_B, 2, NOW);
	request_slot(9, 0, false, NOW);
	ck_assert_uint_eq(next_grant(NOW), 0);
	report(HOST_A, 1, NOW + PIMENTO_SEC);
	report(HOST_B, 2, NOW + PIMENTO_SEC);
	request_slot(10, 0, false, NOW + PIMENTO_SEC);
	ck_assert_uint_eq(next_grant(NOW + PIMENTO_SEC), 10);
}
END_TEST

/*
 * Running requests that the previous owner granted are counted from reports. If
 * a release did not free such a slot, it would stay in use until the next
 * report.
 */
START_TEST(new_owner_frees_foreign_grant_on_release)
{
	report(HOST_A, SLOTS, NOW);
	request_slot(9, 0, false, NOW);
	ck_assert_uint_eq(next_grant(NOW), 0);
	grants_release(&grants, ENGINE, HOST_A, 77);
	ck_assert_uint_eq(next_grant(NOW), 9);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), SLOTS);
}
END_TEST

/*
 * A release without a ticket only reports measured times. If it freed a slot,
 * the endpoint would get more requests than it has slots.
 */
START_TEST(release_without_ticket_frees_nothing)
{
	report(HOST_A, SLOTS, NOW);
	grants_release(&grants, ENGINE, HOST_A, 0);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), SLOTS);
}
END_TEST

/*
 * A host loses power while it holds slots. If its grants did not expire, the
 * slots would be lost for good.
 */
START_TEST(unreported_grants_expire)
{
	const pimento_usec_t end = NOW + GRANTS_LEASE + PIMENTO_MSEC;

	fill_slots(2, NOW);
	report(HOST_B, 2, NOW);
	grants_expire(&grants, ENGINE, NOW + GRANTS_LEASE);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), SLOTS);
	report(HOST_A, 2, NOW + GRANTS_LEASE);
	grants_expire(&grants, ENGINE, end);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), 2);
	grants_expire(&grants, ENGINE, end + GRANTS_LEASE);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), 0);
}
END_TEST

/*
 * A report covers requests that this owner granted. If it were counted in
 * addition to the grants, with many hosts a third of an engine would look in
 * use.
 */
START_TEST(report_does_not_count_grants_twice)
{
	report(HOST_B, 0, NOW);
	fill_slots(SLOTS, NOW + 5 * PIMENTO_SEC);
	for (uint64_t ticket = 1; ticket <= 3; ticket++)
		grants_release(&grants, ENGINE, HOST_A, ticket);
	report(HOST_A, 1, NOW + 6 * PIMENTO_SEC);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), 1);
}
END_TEST

START_TEST(unconditional_request_is_counted)
{
	grants_request_t request = { .endpoint = ENGINE,
				     .address = HOST_A,
				     .ticket = 1,
				     .unconditional = true };

	ck_assert_int_eq(grants_request(&grants, &request, NOW), 0);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), 1);
	ck_assert_uint_eq(next_grant(NOW), 0);
	grants_remove_endpoint(&grants, ENGINE);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), 0);
}
END_TEST

static bool is_host_a(void *context, uint32_t address)
{
	(void)context;
	return address == HOST_A;
}

/* Guards against slots that a dead host holds until its lease expires. */
START_TEST(slots_of_a_dead_host_are_free)
{
	grants_request_t other = { .endpoint = ENGINE,
				   .address = HOST_B,
				   .ticket = 50,
				   .unconditional = true };

	fill_slots(SLOTS - 1, NOW);
	ck_assert_int_eq(grants_request(&grants, &other, NOW), 0);
	ck_assert_int_eq(grants_report(&grants, ENGINE, HOST_A, SLOTS + 2, NOW),
			 0);
	request_slot(9, 0, false, NOW);
	ck_assert_uint_eq(next_grant(NOW), 0);
	grants_drop_dead(&grants, ENGINE, is_host_a, NULL);
	ck_assert_uint_eq(grants_running(&grants, ENGINE), 1);
	ck_assert_uint_eq(grants_waiting(&grants, ENGINE), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("grants");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, grants_do_not_exceed_slots);
	tcase_add_test(tests, slot_goes_to_most_urgent_request_of_all_hosts);
	tcase_add_test(tests, longest_total_wait_is_granted_first);
	tcase_add_test(tests, request_overdue_in_queue_is_granted_last);
	tcase_add_test(tests, request_past_its_wait_gets_no_grant);
	tcase_add_test(tests, report_recovers_lost_release);
	tcase_add_test(tests, new_owner_counts_reported_requests);
	tcase_add_test(tests, new_owner_frees_foreign_grant_on_release);
	tcase_add_test(tests, release_without_ticket_frees_nothing);
	tcase_add_test(tests, unreported_grants_expire);
	tcase_add_test(tests, slots_of_a_dead_host_are_free);
	tcase_add_test(tests, report_does_not_count_grants_twice);
	tcase_add_test(tests, unconditional_request_is_counted);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
