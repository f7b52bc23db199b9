/*
 * Membership: what is held of a host after each order of facts, who owns an
 * endpoint, and what a gap between ticks does.
 */

#include "member.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SELF 100
#define PEER 200
#define ENDPOINT 900
#define OLD 5 /* incarnations of the peer */
#define NEW 3

static member_t member;
static outbox_t out;
static pimento_usec_t now;

static void setup(void)
{
	member_options_t options = { .self = SELF,
				     .incarnation = 77,
				     .seed = 1 };

	now = 0;
	ck_assert_int_eq(outbox_init(&out, 1024), 0);
	ck_assert_int_eq(member_init(&member, &options, &out), 0);
}

static void teardown(void)
{
	member_finish(&member);
	outbox_finish(&out);
}

static void hear_fact(pimento_id_t subject, uint64_t incarnation,
		      uint32_t version, host_state_t state, bool endpoint)
{
	message_t m = { .kind = MESSAGE_ACK };

	m.u.probe.incarnation = 1;
	m.u.probe.count = 1;
	m.u.probe.facts[0] = (message_fact_t){ subject, incarnation, version,
					       (uint8_t)state, endpoint };
	ck_assert_int_eq(member_receive(&member, now, 300, &m), 0);
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

/* What is held after facts that arrive in every order, each also twice. */
static const struct {
	const char *what;
	uint32_t count;
	struct {
		uint64_t incarnation;
		uint32_t version;
		host_state_t state;
	} facts[4];
	host_state_t state;
	uint64_t incarnation;
} joins[] = {
	{ "lives", 1, { LIVE(OLD, 1) }, HOST_LIVE, OLD },
	{ "suspected",
	  2,
	  { LIVE(OLD, 1), SUSPECT(OLD, 1) },
	  HOST_SUSPECT,
	  OLD },
	{ "refuted",
	  3,
	  { LIVE(OLD, 1), SUSPECT(OLD, 1), LIVE(OLD, 2) },
	  HOST_LIVE,
	  OLD },
	{ "dead, refuted",
	  3,
	  { LIVE(OLD, 1), DEAD(OLD, 1), LIVE(OLD, 2) },
	  HOST_LIVE,
	  OLD },
	{ "leaving is not undone by a newer version",
	  3,
	  { LIVE(OLD, 1), LEAVING(OLD, 1), LIVE(OLD, 4) },
	  HOST_LEAVING,
	  OLD },
	{ "leaving, suspected, refuted",
	  4,
	  { LIVE(OLD, 1), LEAVING(OLD, 2), SUSPECT(OLD, 2), LIVE(OLD, 3) },
	  HOST_LEAVING,
	  OLD },
	{ "leaving does not bind the next incarnation",
	  3,
	  { LIVE(OLD, 1), LEAVING(OLD, 1), LIVE(NEW, 2) },
	  HOST_LIVE,
	  NEW },
	{ "nor does a death",
	  3,
	  { LIVE(OLD, 1), DEAD(OLD, 6), LIVE(NEW, 7) },
	  HOST_LIVE,
	  NEW },
};

static void apply(int i, const uint32_t *order, uint32_t count)
{
	for (uint32_t j = 0; j < count; j++)
		for (uint32_t twice = 0; twice < 2; twice++)
			hear_fact(PEER, joins[i].facts[order[j]].incarnation,
				  joins[i].facts[order[j]].version,
				  joins[i].facts[order[j]].state, false);
}

static void check_order(int i, const uint32_t *order, uint32_t count)
{
	teardown();
	setup();
	ck_assert_int_eq(member_meet(&member, now, PEER), 0);
	/* Meeting is not hearing: it owns nothing yet. */
	ck_assert_int_eq(member_state(&member, PEER), HOST_UNKNOWN);
	apply(i, order, count);
	ck_assert_msg(member_state(&member, PEER) == joins[i].state &&
			      member_incarnation(&member, PEER) ==
				      joins[i].incarnation,
		      "%s: state %d, order %u %u %u %u", joins[i].what,
		      member_state(&member, PEER), order[0], order[1], order[2],
		      order[3]);
}

static void permute(int i, uint32_t *order, uint32_t from, uint32_t count)
{
	if (from == count) {
		check_order(i, order, count);
		return;
	}
	for (uint32_t j = from; j < count; j++) {
		uint32_t kept = order[from];

		order[from] = order[j];
		order[j] = kept;
		permute(i, order, from + 1, count);
		order[j] = order[from];
		order[from] = kept;
	}
}

START_TEST(facts_join_in_any_order)
{
	uint32_t order[4] = { 0, 1, 2, 3 };

	permute(_i, order, 0, joins[_i].count);
}
END_TEST

static void publish(uint64_t revision, uint32_t count, uint32_t leaving)
{
	hostlist_host_t hosts[16] = { 0 };
	hostlist_t list = { revision, count, hosts };

	for (uint32_t i = 0; i < count; i++) {
		hosts[i].id = SELF * (i + 1);
		hosts[i].leaving = i == leaving;
	}
	ck_assert_int_eq(member_publish(&member, now, &list), 0);
}

/*
 * The platform's list shows a host as leaving, and a later list, generated
 * from older knowledge, shows it as live again. Taking that at its word would
 * send new work to a host that is about to stop.
 */
START_TEST(published_leaving_stays)
{
	hear_fact(PEER, OLD, 1, HOST_LIVE, false);
	publish(1, 3, 1);
	ck_assert_int_eq(member_state(&member, PEER), HOST_LEAVING);
	publish(2, 3, 16);
	ck_assert_int_eq(member_state(&member, PEER), HOST_LEAVING);
	hear_fact(PEER, NEW, 2, HOST_LIVE, false);
	ck_assert_int_eq(member_state(&member, PEER), HOST_LIVE);
}
END_TEST

static const struct {
	uint64_t leaving; /* incarnation that leaves */
	uint64_t then; /* incarnation seen after */
	host_state_t state;
} endpoint_cases[] = {
	{ 0, 0, HOST_LEAVING },
	{ 8, 8, HOST_LEAVING },
	{ 8, 9, HOST_LIVE },
	{ 0, 9, HOST_LEAVING }, /* the first incarnation named is bound */
};

START_TEST(endpoint_leaves_in_its_incarnation)
{
	hostlist_host_t entry = { .id = ENDPOINT, .endpoint = true };
	hostlist_t list = { 1, 1, &entry };

	member_publish(&member, now, &list);
	ck_assert_int_eq(member_state(&member, ENDPOINT), HOST_LIVE);
	member_endpoint_leaving(&member, now, ENDPOINT,
				endpoint_cases[_i].leaving);
	ck_assert_int_eq(member_state(&member, ENDPOINT), HOST_LEAVING);
	member_endpoint_live(&member, now, ENDPOINT, endpoint_cases[_i].then);
	ck_assert_int_eq(member_state(&member, ENDPOINT),
			 endpoint_cases[_i].state);
	ck_assert_uint_eq(member_live(&member, NULL, 0), 1);
}
END_TEST

START_TEST(owners_move_only_from_the_lost_host)
{
	pimento_id_t before[600];
	uint32_t moved = 0;

	publish(1, 8, 16);
	for (uint32_t i = 0; i < 600; i++)
		before[i] = member_owner(&member, i + 1);
	publish(2, 8, 3);
	for (uint32_t i = 0; i < 600; i++) {
		if (member_owner(&member, i + 1) == before[i])
			continue;
		ck_assert_uint_eq(before[i], SELF * 4);
		moved++;
	}
	ck_assert_uint_gt(moved, 40);
	ck_assert_uint_lt(moved, 120);
	ck_assert_double_eq(member_share(&member), 1.0);
}
END_TEST

static void ack_from(pimento_id_t peer, uint64_t sequence, uint64_t revision)
{
	message_t m = { .kind = MESSAGE_ACK };

	m.u.probe.sequence = sequence;
	m.u.probe.incarnation = peer + 1;
	m.u.probe.revision = revision;
	m.u.probe.count = 1;
	m.u.probe.facts[0] =
		(message_fact_t){ peer, peer + 1, 1, HOST_LIVE, 0 };
	member_receive(&member, now, peer, &m);
}

static void run(pimento_usec_t span)
{
	pimento_usec_t end = now + span;

	for (; now < end; now += MEMBER_PERIOD / 5)
		member_tick(&member, now);
}

/*
 * The process is stopped for ten seconds, during which a new configuration
 * came into force elsewhere, and goes on. Callers would be served under rules
 * that were withdrawn, until gossip catches up. It has to ask first.
 */
START_TEST(pause_makes_stale_until_peers_answer)
{
	uint64_t before;

	publish(1, 3, 16);
	member.revision = 6;
	run(PIMENTO_SEC);
	ck_assert(member_fresh(&member, now));
	before = member.sequence;
	now += 10 * PIMENTO_SEC;
	member_tick(&member, now);
	ck_assert_uint_eq(member.pauses, 1);
	ck_assert(!member_fresh(&member, now));
	ack_from(PEER, before, 7); /* answers from before the wake */
	ck_assert(!member_fresh(&member, now));
	/* Answers to a former incarnation of this host, which asked more. */
	ack_from(PEER, before + 1000, 6);
	ack_from(300, before + 1001, 6);
	ck_assert(!member_fresh(&member, now));
	ack_from(PEER, before + 1, 7);
	ack_from(300, before + 2, 6);
	ck_assert(!member_fresh(&member, now)); /* 7 is not yet in force here */
	member.revision = 7;
	ck_assert(member_fresh(&member, now));
}
END_TEST

/*
 * The first thing that a woken process does may be to take a request on, or to
 * take in an answer of the platform that was asked for before the pause. A
 * caller would be served by what was in force then.
 */
START_TEST(pause_shows_before_the_next_tick)
{
	pimento_usec_t begun;

	run(PIMENTO_SEC);
	begun = now;
	now += 10 * PIMENTO_SEC;
	ck_assert(!member_fresh(&member, now));
	member_refreshed(&member, now, begun);
	ck_assert(!member_fresh(&member, now));
	member_refreshed(&member, now, now);
	ck_assert(member_fresh(&member, now));
}
END_TEST

START_TEST(pause_of_a_lone_host_ends_with_a_read)
{
	run(PIMENTO_SEC);
	now += 10 * PIMENTO_SEC;
	member_tick(&member, now);
	ck_assert(!member_fresh(&member, now));
	member_refreshed(&member, now, now);
	ck_assert(member_fresh(&member, now));
}
END_TEST

START_TEST(others_are_dead_when_nobody_answers)
{
	publish(1, 8, 16);
	run(10 * PIMENTO_SEC);
	ck_assert_uint_eq(member_live(&member, NULL, 0), 1);
	ck_assert_uint_eq(member_owner(&member, ENDPOINT), SELF);
	ck_assert_double_eq(member_share(&member), 1.0 / 8);
	member_leave(&member, now);
	ck_assert_uint_eq(member_owner(&member, ENDPOINT), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("member");
	TCase *tc = tcase_create("member");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, facts_join_in_any_order, 0,
			    sizeof(joins) / sizeof(joins[0]));
	tcase_add_test(tc, published_leaving_stays);
	tcase_add_loop_test(tc, endpoint_leaves_in_its_incarnation, 0,
			    sizeof(endpoint_cases) / sizeof(endpoint_cases[0]));
	tcase_add_test(tc, owners_move_only_from_the_lost_host);
	tcase_add_test(tc, pause_makes_stale_until_peers_answer);
	tcase_add_test(tc, pause_shows_before_the_next_tick);
	tcase_add_test(tc, pause_of_a_lone_host_ends_with_a_read);
	tcase_add_test(tc, others_are_dead_when_nobody_answers);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
