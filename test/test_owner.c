/*
 * Decisions of the owner: each test sends a sequence of messages and checks the
 * owner's reply to each.
 */

#include "owner.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum { ENTRY = 100, ACCOUNT_LARGE = 7, ACCOUNT_SMALL = 8 };

static owner_t owner;
static outbox_t out;
static config_endpoint_t engine = {
	.name = "engine-1",
	.id = 1,
	.target = CONFIG_TARGET_MODEL,
	.target_name = "model",
	.concurrency = 4,
};

static void setup(void)
{
	owner_options_t options = { .self = 1, .seed = 1, .waiting_max = 4 };

	ck_assert_int_eq(outbox_init(&out, 1024), 0);
	ck_assert_int_eq(owner_init(&owner, &options, &out), 0);
	ck_assert_int_eq(owner_add_endpoint(&owner, 0, &engine, 1, 1.0), 0);
}

static void teardown(void)
{
	owner_finish(&owner);
	outbox_finish(&out);
}

static void reserve_with(uint64_t n, uint32_t round, uint8_t tier,
			 pimento_id_t account, pimento_usec_t time_left,
			 uint8_t hops, pimento_usec_t now)
{
	message_t m = { .kind = MESSAGE_RESERVE };

	m.u.reserve.request.lo = n;
	m.u.reserve.round = round;
	m.u.reserve.endpoint = engine.id;
	m.u.reserve.account = account;
	m.u.reserve.tier = tier;
	m.u.reserve.hops = hops;
	m.u.reserve.time_left = time_left;
	m.u.reserve.prompt_tokens = 100;
	m.u.reserve.answer_tokens = 30;
	ck_assert_int_eq(owner_receive(&owner, now, ENTRY, &m), 0);
}

static void reserve(uint64_t n, uint8_t tier)
{
	reserve_with(n, 1, tier, ACCOUNT_LARGE, 60 * PIMENTO_SEC, 0, 0);
}

static void release(uint64_t n)
{
	message_t m = { .kind = MESSAGE_RELEASE };

	m.u.release.request.lo = n;
	m.u.release.round = 1;
	m.u.release.outcome = RELEASE_UNUSED;
	ck_assert_int_eq(owner_receive(&owner, 0, ENTRY, &m), 0);
}

static void progress(uint64_t n, pimento_usec_t now)
{
	message_t m = { .kind = MESSAGE_PROGRESS };

	m.u.progress.request.lo = n;
	m.u.progress.round = 1;
	m.u.progress.endpoint = engine.id;
	ck_assert_int_eq(owner_receive(&owner, now, ENTRY, &m), 0);
}

/*
 * Takes the next message from the outbox. Returns its request number, stores
 * its kind and, for a refusal, the reason.
 */
static uint64_t next_outgoing_message(message_kind_t *kind, int *reason)
{
	pimento_id_t to;
	message_t m;

	*kind = MESSAGE_NONE;
	if (!outbox_take(&out, &to, &m))
		return 0;
	ck_assert_uint_eq(to, ENTRY);
	*kind = m.kind;
	*reason = m.kind == MESSAGE_REFUSE ? m.u.refuse.reason : 0;
	if (m.kind == MESSAGE_GRANT)
		return m.u.grant.request.lo;
	if (m.kind == MESSAGE_WAIT)
		return m.u.wait.request.lo;
	return m.u.refuse.request.lo;
}

static void expect_message(message_kind_t kind, uint64_t n, int reason)
{
	message_kind_t got;
	int why = 0;
	uint64_t number = next_outgoing_message(&got, &why);

	ck_assert_str_eq(message_kind_name(got), message_kind_name(kind));
	ck_assert_uint_eq(number, n);
	ck_assert_int_eq(why, reason);
}

/*
 * Fills all four slots: three are open to every tier, one is kept for the most
 * urgent.
 */
static void fill_slots(void)
{
	for (uint64_t n = 1; n <= 4; n++) {
		reserve(n, 0);
		expect_message(MESSAGE_GRANT, n, 0);
		progress(n, 0);
	}
}

START_TEST(urgent_tier_is_granted_first)
{
	fill_slots();
	reserve(10, 2);
	expect_message(MESSAGE_WAIT, 10, 0);
	reserve(11, 1);
	expect_message(MESSAGE_WAIT, 11, 0);
	reserve(12, 0);
	expect_message(MESSAGE_WAIT, 12, 0);
	release(1);
	expect_message(MESSAGE_GRANT, 12, 0);
	release(2);
	release(12);
	expect_message(MESSAGE_GRANT, 11, 0);
	expect_message(MESSAGE_NONE, 0, 0);
}
END_TEST

START_TEST(slots_are_reserved_for_urgent_tier)
{
	for (uint64_t n = 1; n <= 3; n++) {
		reserve(n, 1);
		expect_message(MESSAGE_GRANT, n, 0);
	}
	reserve(4, 1);
	expect_message(MESSAGE_WAIT, 4, 0);
	reserve(5, 0);
	expect_message(MESSAGE_GRANT, 5, 0);
}
END_TEST

/*
 * One account sends far more than the others, and its requests came first. In
 * order of arrival, the small account would wait behind all of them.
 */
START_TEST(busy_account_does_not_starve_others)
{
	fill_slots();
	for (uint64_t n = 10; n <= 12; n++) {
		reserve(n, 1);
		expect_message(MESSAGE_WAIT, n, 0);
	}
	reserve_with(13, 1, 1, ACCOUNT_SMALL, 60 * PIMENTO_SEC, 0, 0);
	expect_message(MESSAGE_WAIT, 13, 0);
	release(1);
	release(2);
	expect_message(MESSAGE_GRANT, 10, 0);
	release(3);
	expect_message(MESSAGE_GRANT, 13, 0);
}
END_TEST

START_TEST(earliest_deadline_first_within_an_account)
{
	fill_slots();
	reserve_with(10, 1, 0, ACCOUNT_LARGE, 50 * PIMENTO_SEC, 0, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	reserve_with(11, 1, 0, ACCOUNT_LARGE, 40 * PIMENTO_SEC, 0, 0);
	expect_message(MESSAGE_WAIT, 11, 0);
	release(1);
	expect_message(MESSAGE_GRANT, 11, 0);
}
END_TEST

/*
 * More reservations wait than the owner may hold. If it evicted in order of
 * arrival, urgent requests would be refused while less urgent ones wait.
 */
START_TEST(full_table_evicts_lowest_tier)
{
	fill_slots();
	for (uint64_t n = 10; n <= 13; n++) {
		reserve(n, n == 12 ? 2 : 1);
		expect_message(MESSAGE_WAIT, n, 0);
	}
	reserve(14, 0);
	expect_message(MESSAGE_REFUSE, 12, PIMENTO_EBUSY);
	expect_message(MESSAGE_WAIT, 14, 0);
	reserve(15, 3);
	expect_message(MESSAGE_REFUSE, 15, PIMENTO_EBUSY);
}
END_TEST

/*
 * Lets the owner learn the endpoint's rates from one answer of 30 tokens,
 * generated at 30 tokens/s.
 */
static void learn_rates(void)
{
	message_t m = { .kind = MESSAGE_RELEASE };

	message_t first = { .kind = MESSAGE_PROGRESS };

	reserve(99, 0);
	expect_message(MESSAGE_GRANT, 99, 0);
	first.u.progress.request.lo = 99;
	first.u.progress.round = 1;
	first.u.progress.endpoint = engine.id;
	first.u.progress.answer_tokens = 1;
	first.u.progress.time_to_first_token = 25 * PIMENTO_MSEC;
	ck_assert_int_eq(owner_receive(&owner, 0, ENTRY, &first), 0);
	m.u.release.request.lo = 99;
	m.u.release.round = 1;
	m.u.release.endpoint = engine.id;
	m.u.release.outcome = RELEASE_DONE;
	m.u.release.prompt_tokens = 100;
	m.u.release.answer_tokens = 30;
	m.u.release.time_to_first_token = 25 * PIMENTO_MSEC;
	m.u.release.decode_time = PIMENTO_SEC;
	ck_assert_int_eq(owner_receive(&owner, 0, ENTRY, &m), 0);
}

/*
 * All callers of a new endpoint want long answers in little time. If an assumed
 * rate led to their refusal, the owner would never learn that the endpoint is
 * fast.
 */
START_TEST(unmeasured_endpoint_refuses_nothing)
{
	reserve_with(1, 1, 0, ACCOUNT_LARGE, 10 * PIMENTO_MSEC, 0, 0);
	expect_message(MESSAGE_GRANT, 1, 0);
}
END_TEST

START_TEST(infeasible_deadline_is_refused_at_once)
{
	learn_rates();
	reserve_with(1, 1, 0, ACCOUNT_LARGE, 10 * PIMENTO_MSEC, 0, 0);
	expect_message(MESSAGE_REFUSE, 1, PIMENTO_EDEADLINE);
}
END_TEST

/*
 * A request waits until it can no longer be answered in time. It must be
 * refused then, not only when its deadline has passed, so that the caller can
 * act in time.
 */
START_TEST(queued_request_is_refused_once_infeasible)
{
	learn_rates();
	fill_slots();
	reserve_with(10, 1, 0, ACCOUNT_LARGE, 4 * PIMENTO_SEC, 0, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	ck_assert_int_lt(owner_deadline(&owner), 4 * PIMENTO_SEC);
	owner_tick(&owner, owner_deadline(&owner));
	expect_message(MESSAGE_REFUSE, 10, PIMENTO_EDEADLINE);
}
END_TEST

/*
 * An urgent request is rejected because no endpoint can finish it. If requests
 * of lower priority stayed in the queue, they would have been preferred to the
 * urgent one.
 */
START_TEST(final_attempt_sheds_lower_tiers)
{
	learn_rates();
	fill_slots();
	reserve(10, 2);
	expect_message(MESSAGE_WAIT, 10, 0);
	reserve(11, 1);
	expect_message(MESSAGE_WAIT, 11, 0);
	reserve_with(12, 1, 0, ACCOUNT_LARGE, PIMENTO_MSEC, OWNER_HOPS_FINAL,
		     0);
	expect_message(MESSAGE_REFUSE, 10, PIMENTO_EBUSY);
	expect_message(MESSAGE_REFUSE, 11, PIMENTO_EBUSY);
	expect_message(MESSAGE_REFUSE, 12, PIMENTO_EDEADLINE);
	reserve(13, 1);
	expect_message(MESSAGE_REFUSE, 13, PIMENTO_EBUSY);
	reserve(14, 0);
	expect_message(MESSAGE_WAIT, 14, 0);
}
END_TEST

/*
 * An entry host fails after it received a grant and before it dispatches.
 * Without an expiry of the grant, its slot would be lost.
 */
START_TEST(expired_grant_frees_its_slot)
{
	fill_slots();
	release(4);
	reserve(9, 0);
	expect_message(MESSAGE_GRANT, 9, 0);
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	owner_tick(&owner, OWNER_GRANT_LIFETIME);
	expect_message(MESSAGE_GRANT, 10, 0);
}
END_TEST

/*
 * An entry host fails during an answer, so no more MESSAGE_PROGRESS comes.
 * Without a lease, the slot would be lost.
 */
START_TEST(slot_without_progress_is_freed_after_lease)
{
	fill_slots();
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	for (uint64_t n = 2; n <= 4; n++)
		progress(n, OWNER_LEASE / 2);
	owner_tick(&owner, OWNER_LEASE);
	expect_message(MESSAGE_GRANT, 10, 0);
	expect_message(MESSAGE_NONE, 0, 0);
}
END_TEST

START_TEST(duplicate_messages_are_idempotent)
{
	fill_slots();
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	release(10);
	release(10);
	release(1);
	release(1);
	reserve(11, 0);
	expect_message(MESSAGE_GRANT, 11, 0);
	reserve(11, 0);
	expect_message(MESSAGE_GRANT, 11, 0);
	reserve_with(11, 2, 0, ACCOUNT_LARGE, 60 * PIMENTO_SEC, 0, 0);
	expect_message(MESSAGE_GRANT, 11, 0);
	reserve(11, 0);
	expect_message(MESSAGE_NONE, 0, 0);
	reserve(12, 0);
	expect_message(MESSAGE_WAIT, 12, 0);
}
END_TEST

/*
 * The host list changed and another host owns the endpoint now. Requests left
 * in the old owner's queue would wait until their deadline.
 */
START_TEST(removed_endpoint_refuses_queued_requests)
{
	fill_slots();
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	owner_remove_endpoint(&owner, 0, engine.id);
	expect_message(MESSAGE_REFUSE, 10, PIMENTO_ESTALE);
	reserve(11, 0);
	expect_message(MESSAGE_REFUSE, 11, PIMENTO_ESTALE);
}
END_TEST

START_TEST(new_owner_counts_reported_dispatches)
{
	for (uint64_t n = 1; n <= 4; n++)
		progress(n, 0);
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
}
END_TEST

START_TEST(leaving_endpoint_refuses_requests)
{
	fill_slots();
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	owner_endpoint_leaving(&owner, 0, engine.id);
	expect_message(MESSAGE_REFUSE, 10, PIMENTO_ELEAVING);
	release(1);
	reserve(11, 0);
	expect_message(MESSAGE_REFUSE, 11, PIMENTO_ELEAVING);
}
END_TEST

/*
 * Both sides of a network partition own the endpoint. If each granted all
 * slots, the endpoint would be overloaded.
 */
START_TEST(partitioned_owner_grants_only_its_share)
{
	ck_assert_int_eq(owner_add_endpoint(&owner, 0, &engine, 2, 0.5), 0);
	for (uint64_t n = 1; n <= 3; n++) {
		reserve(n, 0);
		expect_message(n <= 2 ? MESSAGE_GRANT : MESSAGE_WAIT, n, 0);
	}
}
END_TEST

START_TEST(reported_foreign_load_takes_slots)
{
	load_report_t report = { .running = 3 };

	owner_load_report(&owner, 0, engine.id, &report);
	reserve(1, 0);
	expect_message(MESSAGE_GRANT, 1, 0);
	reserve(2, 0);
	expect_message(MESSAGE_WAIT, 2, 0);
}
END_TEST

START_TEST(reservations_of_dead_entry_are_dropped)
{
	fill_slots();
	reserve(10, 0);
	expect_message(MESSAGE_WAIT, 10, 0);
	owner_entry_dead(&owner, 0, ENTRY);
	ck_assert_uint_eq(owner.waiting, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("owner");
	TCase *tc = tcase_create("owner");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, urgent_tier_is_granted_first);
	tcase_add_test(tc, slots_are_reserved_for_urgent_tier);
	tcase_add_test(tc, busy_account_does_not_starve_others);
	tcase_add_test(tc, earliest_deadline_first_within_an_account);
	tcase_add_test(tc, full_table_evicts_lowest_tier);
	tcase_add_test(tc, unmeasured_endpoint_refuses_nothing);
	tcase_add_test(tc, infeasible_deadline_is_refused_at_once);
	tcase_add_test(tc, queued_request_is_refused_once_infeasible);
	tcase_add_test(tc, final_attempt_sheds_lower_tiers);
	tcase_add_test(tc, expired_grant_frees_its_slot);
	tcase_add_test(tc, slot_without_progress_is_freed_after_lease);
	tcase_add_test(tc, duplicate_messages_are_idempotent);
	tcase_add_test(tc, removed_endpoint_refuses_queued_requests);
	tcase_add_test(tc, new_owner_counts_reported_dispatches);
	tcase_add_test(tc, leaving_endpoint_refuses_requests);
	tcase_add_test(tc, partitioned_owner_grants_only_its_share);
	tcase_add_test(tc, reported_foreign_load_takes_slots);
	tcase_add_test(tc, reservations_of_dead_entry_are_dropped);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
