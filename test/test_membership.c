/*
 * Membership: the state that results from facts in every order, the owners of
 * endpoints, and the effects of a process pause.
 */

#include "membership.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SELF 100
#define PEER 200
#define ENDPOINT 900
#define OLD_INCARNATION 5 /* incarnations of PEER */
#define NEW_INCARNATION 3

static membership_t membership;
static outbox_t out;
static pimento_usec_t now;

static void setup(void)
{
	membership_options_t options = { .self = SELF,
					 .incarnation = 77,
					 .seed = 1 };

	now = 0;
	ck_assert_int_eq(outbox_init(&out, 1024), 0);
	ck_assert_int_eq(membership_init(&membership, &options, &out), 0);
}

static void teardown(void)
{
	membership_finish(&membership);
	outbox_finish(&out);
}

static void receive_fact(pimento_id_t subject, uint64_t incarnation,
			 uint32_t version, host_state_t state, bool endpoint)
{
	message_t m = { .kind = MESSAGE_ACK };

	m.u.probe.incarnation = 1;
	m.u.probe.count = 1;
	m.u.probe.facts[0] = (message_fact_t){ subject, incarnation, version,
					       (uint8_t)state, endpoint };
	ck_assert_int_eq(membership_receive(&membership, now, 300, &m), 0);
}

#define LIVE(inc, version)              \
	{                               \
		inc, version, HOST_LIVE \
	}
#define SUSPECT(inc, version)              \
	{                                  \
		inc, version, HOST_SUSPECT \
	}
#define DEAD(inc, version)              \
	{                               \
		inc, version, HOST_DEAD \
	}
#define LEAVING(inc, version)              \
	{                                  \
		inc, version, HOST_LEAVING \
	}

/* Expected state after facts that arrive in every order, each of them twice. */
static const struct {
	const char *name;
	uint32_t count;
	struct {
		uint64_t incarnation;
		uint32_t version;
		host_state_t state;
	} facts[4];
	host_state_t state;
	uint64_t incarnation;
} merge_cases[] = {
	{ "live", 1, { LIVE(OLD_INCARNATION, 1) }, HOST_LIVE, OLD_INCARNATION },
	{ "suspect",
	  2,
	  { LIVE(OLD_INCARNATION, 1), SUSPECT(OLD_INCARNATION, 1) },
	  HOST_SUSPECT,
	  OLD_INCARNATION },
	{ "suspect, refuted",
	  3,
	  { LIVE(OLD_INCARNATION, 1), SUSPECT(OLD_INCARNATION, 1),
	    LIVE(OLD_INCARNATION, 2) },
	  HOST_LIVE,
	  OLD_INCARNATION },
	{ "dead, refuted",
	  3,
	  { LIVE(OLD_INCARNATION, 1), DEAD(OLD_INCARNATION, 1),
	    LIVE(OLD_INCARNATION, 2) },
	  HOST_LIVE,
	  OLD_INCARNATION },
	{ "leaving is not undone by a newer version",
	  3,
	  { LIVE(OLD_INCARNATION, 1), LEAVING(OLD_INCARNATION, 1),
	    LIVE(OLD_INCARNATION, 4) },
	  HOST_LEAVING,
	  OLD_INCARNATION },
	{ "leaving, suspect, refuted",
	  4,
	  { LIVE(OLD_INCARNATION, 1), LEAVING(OLD_INCARNATION, 2),
	    SUSPECT(OLD_INCARNATION, 2), LIVE(OLD_INCARNATION, 3) },
	  HOST_LEAVING,
	  OLD_INCARNATION },
	{ "leaving does not bind the next incarnation",
	  3,
	  { LIVE(OLD_INCARNATION, 1), LEAVING(OLD_INCARNATION, 1),
	    LIVE(NEW_INCARNATION, 2) },
	  HOST_LIVE,
	  NEW_INCARNATION },
	{ "death does not bind the next incarnation",
	  3,
	  { LIVE(OLD_INCARNATION, 1), DEAD(OLD_INCARNATION, 6),
	    LIVE(NEW_INCARNATION, 7) },
	  HOST_LIVE,
	  NEW_INCARNATION },
};

static void apply_facts(int i, const uint32_t *order, uint32_t count)
{
	for (uint32_t j = 0; j < count; j++)
		for (uint32_t twice = 0; twice < 2; twice++)
			receive_fact(PEER,
				     merge_cases[i].facts[order[j]].incarnation,
				     merge_cases[i].facts[order[j]].version,
				     merge_cases[i].facts[order[j]].state,
				     false);
}

static void check_facts_in_order(int i, const uint32_t *order, uint32_t count)
{
	teardown();
	setup();
	ck_assert_int_eq(membership_add_host(&membership, now, PEER), 0);
	/* A host of which only the address is known owns nothing yet. */
	ck_assert_int_eq(membership_state(&membership, PEER), HOST_UNKNOWN);
	apply_facts(i, order, count);
	ck_assert_msg(membership_state(&membership, PEER) ==
				      merge_cases[i].state &&
			      membership_incarnation(&membership, PEER) ==
				      merge_cases[i].incarnation,
		      "%s: state %d, order %u %u %u %u", merge_cases[i].name,
		      membership_state(&membership, PEER), order[0], order[1],
		      order[2], order[3]);
}

static void check_all_orders(int i, uint32_t *order, uint32_t from,
			     uint32_t count)
{
	if (from == count) {
		check_facts_in_order(i, order, count);
		return;
	}
	for (uint32_t j = from; j < count; j++) {
		uint32_t kept = order[from];

		order[from] = order[j];
		order[j] = kept;
		check_all_orders(i, order, from + 1, count);
		order[j] = order[from];
		order[from] = kept;
	}
}

START_TEST(facts_merge_in_any_order)
{
	uint32_t order[4] = { 0, 1, 2, 3 };

	check_all_orders(_i, order, 0, merge_cases[_i].count);
}
END_TEST

static void publish_list(uint64_t revision, uint32_t count, uint32_t leaving)
{
	hostlist_host_t hosts[16] = { 0 };
	hostlist_t list = { revision, count, hosts };

	for (uint32_t i = 0; i < count; i++) {
		hosts[i].id = SELF * (i + 1);
		hosts[i].leaving = i == leaving;
	}
	ck_assert_int_eq(membership_apply_hostlist(&membership, now, &list), 0);
}

/*
 * The platform's list shows a host as leaving, and a later list, generated from
 * older data, shows it as live again. If the later list were trusted, new work would be
 * sent to a host that is about to stop.
 */
START_TEST(published_leaving_is_not_reverted)
{
	receive_fact(PEER, OLD_INCARNATION, 1, HOST_LIVE, false);
	publish_list(1, 3, 1);
	ck_assert_int_eq(membership_state(&membership, PEER), HOST_LEAVING);
	publish_list(2, 3, 16);
	ck_assert_int_eq(membership_state(&membership, PEER), HOST_LEAVING);
	receive_fact(PEER, NEW_INCARNATION, 2, HOST_LIVE, false);
	ck_assert_int_eq(membership_state(&membership, PEER), HOST_LIVE);
}
END_TEST

static const struct {
	uint64_t leaving; /* incarnation that reports leaving */
	uint64_t then; /* incarnation that reports being live afterwards */
	host_state_t state;
} endpoint_cases[] = {
	{ 0, 0, HOST_LEAVING },
	{ 8, 8, HOST_LEAVING },
	{ 8, 9, HOST_LIVE },
	/* leaving applies to the first incarnation reported */
	{ 0, 9, HOST_LEAVING },
};

START_TEST(endpoint_leaving_binds_one_incarnation)
{
	hostlist_host_t entry = { .id = ENDPOINT, .is_endpoint = true };
	hostlist_t list = { 1, 1, &entry };

	membership_apply_hostlist(&membership, now, &list);
	ck_assert_int_eq(membership_state(&membership, ENDPOINT), HOST_LIVE);
	membership_endpoint_leaving(&membership, now, ENDPOINT,
				    endpoint_cases[_i].leaving);
	ck_assert_int_eq(membership_state(&membership, ENDPOINT), HOST_LEAVING);
	membership_endpoint_live(&membership, now, ENDPOINT,
				 endpoint_cases[_i].then);
	ck_assert_int_eq(membership_state(&membership, ENDPOINT),
			 endpoint_cases[_i].state);
	ck_assert_uint_eq(membership_live_hosts(&membership, NULL, 0), 1);
}
END_TEST

START_TEST(only_the_lost_hosts_endpoints_change_owner)
{
	pimento_id_t before[600];
	uint32_t moved = 0;

	publish_list(1, 8, 16);
	for (uint32_t i = 0; i < 600; i++)
		before[i] = membership_owner(&membership, i + 1);
	publish_list(2, 8, 3);
	for (uint32_t i = 0; i < 600; i++) {
		if (membership_owner(&membership, i + 1) == before[i])
			continue;
		ck_assert_uint_eq(before[i], SELF * 4);
		moved++;
	}
	ck_assert_uint_gt(moved, 40);
	ck_assert_uint_lt(moved, 120);
	ck_assert_double_eq(membership_published_live_share(&membership), 1.0);
}
END_TEST

static void receive_ack_from(pimento_id_t peer, uint64_t sequence,
			     uint64_t revision)
{
	message_t m = { .kind = MESSAGE_ACK };

	m.u.probe.sequence = sequence;
	m.u.probe.incarnation = peer + 1;
	m.u.probe.revision = revision;
	m.u.probe.count = 1;
	m.u.probe.facts[0] =
		(message_fact_t){ peer, peer + 1, 1, HOST_LIVE, 0 };
	membership_receive(&membership, now, peer, &m);
}

static void run_ticks(pimento_usec_t span)
{
	pimento_usec_t end = now + span;

	for (; now < end; now += MEMBERSHIP_PROBE_PERIOD / 5)
		membership_tick(&membership, now);
}

/*
 * The process is paused for ten seconds, during which a new configuration comes
 * into force on the other hosts. If it simply continued, it would serve callers
 * under withdrawn rules until gossip caught up. It must have its state
 * confirmed by peers first.
 */
START_TEST(paused_host_is_stale_until_peers_ack)
{
	uint64_t before;

	publish_list(1, 3, 16);
	membership.config_revision = 6;
	run_ticks(PIMENTO_SEC);
	ck_assert(membership_is_fresh(&membership, now));
	before = membership.sequence;
	now += 10 * PIMENTO_SEC;
	membership_tick(&membership, now);
	ck_assert_uint_eq(membership.pauses, 1);
	ck_assert(!membership_is_fresh(&membership, now));
	/* acks a probe sent before the pause */
	receive_ack_from(PEER, before, 7);
	ck_assert(!membership_is_fresh(&membership, now));
	/*
	 * Acks to a former incarnation of this host, which had sent more
	 * probes.
	 */
	receive_ack_from(PEER, before + 1000, 6);
	receive_ack_from(300, before + 1001, 6);
	ck_assert(!membership_is_fresh(&membership, now));
	receive_ack_from(PEER, before + 1, 7);
	receive_ack_from(300, before + 2, 6);
	/* revision 7 is not in force here yet */
	ck_assert(!membership_is_fresh(&membership, now));
	membership.config_revision = 7;
	ck_assert(membership_is_fresh(&membership, now));
}
END_TEST

/*
 * The first event after a pause may be a request, or a response of the platform
 * that was requested before the pause, rather than a tick. If the pause went
 * unnoticed until the next tick, a caller would be served under the
 * configuration of before the pause.
 */
START_TEST(pause_is_detected_before_the_next_tick)
{
	pimento_usec_t begun;

	run_ticks(PIMENTO_SEC);
	begun = now;
	now += 10 * PIMENTO_SEC;
	ck_assert(!membership_is_fresh(&membership, now));
	membership_platform_read_done(&membership, now, begun);
	ck_assert(!membership_is_fresh(&membership, now));
	membership_platform_read_done(&membership, now, now);
	ck_assert(membership_is_fresh(&membership, now));
}
END_TEST

START_TEST(platform_read_ends_pause_without_peers)
{
	run_ticks(PIMENTO_SEC);
	now += 10 * PIMENTO_SEC;
	membership_tick(&membership, now);
	ck_assert(!membership_is_fresh(&membership, now));
	membership_platform_read_done(&membership, now, now);
	ck_assert(membership_is_fresh(&membership, now));
}
END_TEST

START_TEST(unresponsive_hosts_are_declared_dead)
{
	publish_list(1, 8, 16);
	run_ticks(10 * PIMENTO_SEC);
	ck_assert_uint_eq(membership_live_hosts(&membership, NULL, 0), 1);
	ck_assert_uint_eq(membership_owner(&membership, ENDPOINT), SELF);
	ck_assert_double_eq(membership_published_live_share(&membership),
			    1.0 / 8);
	membership_leave(&membership, now);
	ck_assert_uint_eq(membership_owner(&membership, ENDPOINT), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership");
	TCase *tc = tcase_create("membership");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, facts_merge_in_any_order, 0,
			    sizeof(merge_cases) / sizeof(merge_cases[0]));
	tcase_add_test(tc, published_leaving_is_not_reverted);
	tcase_add_loop_test(tc, endpoint_leaving_binds_one_incarnation, 0,
			    sizeof(endpoint_cases) / sizeof(endpoint_cases[0]));
	tcase_add_test(tc, only_the_lost_hosts_endpoints_change_owner);
	tcase_add_test(tc, paused_host_is_stale_until_peers_ack);
	tcase_add_test(tc, pause_is_detected_before_the_next_tick);
	tcase_add_test(tc, platform_read_ends_pause_without_peers);
	tcase_add_test(tc, unresponsive_hosts_are_declared_dead);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
