/* Peers: which gossip messages and reports are accepted, and for how long. */

#include "packet.h"

#include <check.h>
#include <stdlib.h>

#define DAY (86400 * PIMENTO_SEC)

enum { SELF = 1, PEER = 2, LOADS_MIN = 24 };

static peers_t peers;

static void setup(void)
{
	ck_assert_int_eq(peers_init(&peers, SELF, 99), 0);
}

static void teardown(void)
{
	peers_finish(&peers);
}

static gossip_message_t make_message(uint32_t address, pimento_usec_t stamp)
{
	return (gossip_message_t){
		.address = address,
		.incarnation = 1,
		.stamp = stamp,
		.replicas = { { .age = PIMENTO_NEVER },
			      { .age = PIMENTO_NEVER } },
		.membership = { .incarnation = 1,
				.count = 1,
				.facts = { { .subject = address,
					     .incarnation = 1,
					     .version = 1,
					     .state = HOST_LIVE } } }
	};
}

static void add_fact(gossip_message_t *message, uint32_t address)
{
	message->membership.facts[message->membership.count++] =
		(message_fact_t){
			.subject = address,
			.incarnation = 1,
			.version = 1,
			.state = HOST_LIVE,
		};
}

/*
 * This host is frozen for four seconds while a peer's gossip message lies in
 * its socket. The message states that the peer's replica is 200 ms old, which
 * was true when it was written. If the age counted from the moment of reading,
 * keys revoked during the freeze would be accepted.
 */
START_TEST(delayed_message_does_not_refresh_replica)
{
	gossip_message_t message = make_message(PEER, 50);
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];

	/* this host's stamp before the freeze */
	message.echo = 10 * PIMENTO_SEC;
	message.replicas[_i].age = 200 * PIMENTO_MSEC;
	ck_assert_ptr_nonnull(peers_receive(&peers, &message, 14 * PIMENTO_SEC,
					    confirmed_at));
	ck_assert_int_eq(confirmed_at[_i],
			 10 * PIMENTO_SEC - 200 * PIMENTO_MSEC);
	ck_assert_int_eq(confirmed_at[!_i], INT64_MIN);
}
END_TEST

START_TEST(message_without_valid_echo_gives_no_age)
{
	gossip_message_t message = make_message(PEER, 50);
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];

	message.replicas[_i].age = 0;
	ck_assert_ptr_nonnull(
		peers_receive(&peers, &message, PIMENTO_SEC, confirmed_at));
	ck_assert_int_eq(confirmed_at[_i], INT64_MIN);
	message.stamp++;
	/* in the future, so not a stamp of this host */
	message.echo = 2 * PIMENTO_SEC;
	ck_assert_ptr_nonnull(
		peers_receive(&peers, &message, PIMENTO_SEC, confirmed_at));
	ck_assert_int_eq(confirmed_at[_i], INT64_MIN);
}
END_TEST

START_TEST(reordered_messages_are_ignored)
{
	gossip_message_t message = make_message(PEER, 100);
	gossip_message_t earlier = make_message(PEER, 90);
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];

	ck_assert_ptr_nonnull(
		peers_receive(&peers, &message, 200, confirmed_at));
	ck_assert_ptr_null(peers_receive(&peers, &earlier, 201, confirmed_at));
	ck_assert_ptr_null(peers_receive(&peers, &message, 202, confirmed_at));
	/* the peer has restarted, so its stamps come from a new clock */
	earlier.incarnation = 2;
	ck_assert_ptr_nonnull(
		peers_receive(&peers, &earlier, 203, confirmed_at));
}
END_TEST

START_TEST(loads_of_unresponsive_peers_are_ignored)
{
	gossip_message_t message = make_message(PEER, 100);
	peers_endpoint_load_t load;
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];

	message.loads[0] = (peers_endpoint_load_t){ 9, 4, 700 };
	message.load_count = 1;
	peers_receive(&peers, &message, PIMENTO_SEC, confirmed_at);
	load = peers_endpoint_load(&peers, 9, 2 * PIMENTO_SEC);
	ck_assert_uint_eq(load.running, 4);
	ck_assert_uint_eq(load.prefill_tokens, 700);
	load = peers_endpoint_load(&peers, 9, 8 * PIMENTO_SEC);
	ck_assert_uint_eq(load.running, 0);
}
END_TEST

/*
 * The three seeds may be down or outdated: the host must keep sending to all of
 * them until a peer responds, and then learn of all other hosts. Otherwise it
 * would never join the fleet.
 */
START_TEST(peers_are_discovered_through_seeds)
{
	peer_t *targets[8];
	gossip_message_t message = make_message(PEER, 100);
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];

	for (uint32_t seed = 10; seed < 13; seed++)
		ck_assert_int_eq(peers_add(&peers, seed, true, 0), 0);
	ck_assert_int_eq(peers_add(&peers, SELF, true, 0), 0);
	ck_assert_uint_eq(peers_next_targets(&peers, PIMENTO_SEC, 8, targets),
			  3);
	add_fact(&message, 20);
	peers_receive(&peers, &message, PIMENTO_SEC, confirmed_at);
	ck_assert_uint_eq(peers_next_targets(&peers, PIMENTO_SEC, 8, targets),
			  5);
}
END_TEST

START_TEST(unresponsive_peers_expire_except_seeds)
{
	peer_t *targets[8];
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];
	gossip_message_t message = make_message(PEER, 100);

	peers_receive(&peers, &message, PIMENTO_SEC, confirmed_at);
	ck_assert_int_eq(peers_add(&peers, 10, true, 0), 0);
	ck_assert_uint_eq(peers_host_count(&peers, 2 * PIMENTO_SEC), 3);
	peers_next_targets(&peers, 90 * PIMENTO_SEC, 8, targets);
	ck_assert_uint_eq(peers.count, 1);
	ck_assert_uint_eq(peers.list[0]->address, 10);
}
END_TEST

/*
 * In a large fleet about eight hosts poll the store, and others replace those
 * that fail.
 */
START_TEST(target_number_of_hosts_poll_the_store)
{
	enum { HOSTS = 60, ROUNDS = 50 };
	pimento_usec_t now = PIMENTO_SEC;
	uint32_t joined = 0;
	gossip_message_t relayed;
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];

	for (uint32_t i = 2; i < HOSTS; i++) {
		gossip_message_t message = make_message(i, 100);

		if (i < 2 + PEERS_POLLERS)
			message.pollers[message.poller_count++] =
				(gossip_poller_t){ i, 0 };
		peers_receive(&peers, &message, now, confirmed_at);
	}
	for (uint64_t draw = 0; draw < ROUNDS; draw++)
		joined += peers_should_poll(&peers, false, draw, now);
	ck_assert_uint_eq(joined, 0);
	/*
	 * one poller is down; another host passes on that the others still poll
	 */
	now += 3 * PIMENTO_SEC;
	relayed = make_message(HOSTS, 200);
	for (uint32_t i = 3; i < 2 + PEERS_POLLERS; i++)
		relayed.pollers[relayed.poller_count++] =
			(gossip_poller_t){ i, PIMENTO_SEC };
	peers_receive(&peers, &relayed, now, confirmed_at);
	for (uint64_t draw = 0; draw < peers_host_count(&peers, now); draw++)
		joined += peers_should_poll(&peers, false, draw, now);
	/* out of 60 hosts, about one starts to poll */
	ck_assert_uint_eq(joined, 1);
}
END_TEST

/*
 * Guards against a starting fleet in which no host, or every host, polls the
 * store.
 */
START_TEST(default_pollers_poll_during_discovery)
{
	enum { HOSTS = 60 };
	uint32_t default_pollers = 0;

	for (uint32_t self = 1; self <= HOSTS; self++) {
		peers_t other;

		ck_assert_int_eq(peers_init(&other, self, 7), 0);
		for (uint32_t i = 1; i <= HOSTS; i++)
			peers_add(&other, i, false, PIMENTO_SEC);
		default_pollers += peers_is_default_poller(&other);
		peers_finish(&other);
	}
	ck_assert_uint_eq(default_pollers, PEERS_POLLERS);
	ck_assert(peers_is_default_poller(&peers));
}
END_TEST

START_TEST(all_hosts_poll_in_a_small_fleet)
{
	ck_assert(peers_should_poll(&peers, false, 0, PIMENTO_SEC));
	ck_assert(peers_should_poll(&peers, true, 0, PIMENTO_SEC));
}
END_TEST

/*
 * A host has loads, quotas and owner reports for as many endpoints and accounts
 * as a gossip message can hold. If the message were too big for a datagram it
 * would not be sent at all; peers would declare the host dead, and its
 * endpoints would change owners.
 */
START_TEST(full_message_round_trips)
{
	uint8_t bytes[PACKET_BYTES_MAX];
	gossip_message_t message = make_message(PEER, 123456);
	packet_t packet = { .kind = PACKET_GOSSIP };
	gossip_message_t read;
	int length;

	message.echo = 99;
	for (uint32_t kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		message.replicas[kind] = (gossip_replica_t){
			(1u << 20) + kind,
			(1500 + kind) * PIMENTO_MSEC,
		};
	message.load_count = GOSSIP_LOADS_MAX;
	message.quota_count = GOSSIP_QUOTAS_MAX;
	message.reply_wanted = true;
	message.probe_kind = GOSSIP_ACK;
	message.membership.sequence = 1ull << 40;
	message.membership.target = PEER;
	message.membership.revision = 1;
	while (message.membership.count < GOSSIP_FACTS_NORMAL)
		add_fact(&message, 100 + message.membership.count);
	message.poller_count = GOSSIP_POLLERS_MAX;
	for (uint32_t i = 0; i < GOSSIP_POLLERS_MAX; i++)
		message.pollers[i] = (gossip_poller_t){ i, i * PIMENTO_SEC };
	for (uint32_t i = 0; i < GOSSIP_LOADS_MAX; i++)
		message.loads[i] =
			(peers_endpoint_load_t){ i, i + 1, i * 1000 };
	for (uint32_t i = 0; i < GOSSIP_QUOTAS_MAX; i++)
		message.quotas[i] = (quota_report_t){ i, 1e7 + i, PIMENTO_SEC };
	message.owner_report_count = GOSSIP_OWNER_REPORTS_MAX;
	for (uint32_t i = 0; i < GOSSIP_OWNER_REPORTS_MAX; i++)
		message.owner_reports[i] = (gossip_owner_report_t){
			i, i * PIMENTO_MSEC, { 12, 60, 150000, 2000, true }
		};
	packet.as.gossip = message;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length), 0);
	read = packet.as.gossip;
	ck_assert_uint_eq(read.loads[5].prefill_tokens, 5000);
	ck_assert_uint_ge(read.load_count, LOADS_MIN);
	ck_assert_uint_eq(read.quota_count, GOSSIP_QUOTAS_MAX);
	ck_assert(read.reply_wanted);
	ck_assert_int_eq(read.probe_kind, GOSSIP_ACK);
	ck_assert_uint_eq(read.membership.sequence, 1ull << 40);
	ck_assert_uint_eq(read.membership.target, PEER);
	ck_assert_uint_eq(read.membership.revision, 1);
	ck_assert_uint_eq(read.membership.incarnation, 1);
	ck_assert_uint_eq(read.membership.count, GOSSIP_FACTS_NORMAL);
	ck_assert_uint_eq(read.membership.facts[7].subject, 107);
	ck_assert_uint_eq(read.membership.facts[7].version, 1);
	ck_assert_uint_eq(read.membership.facts[7].state, HOST_LIVE);
	ck_assert_uint_eq(read.poller_count, GOSSIP_POLLERS_MAX);
	ck_assert_uint_eq(read.pollers[3].address, 3);
	ck_assert_int_ge(read.pollers[3].age, 3 * PIMENTO_SEC);
	ck_assert_double_eq(read.quotas[3].level, 1e7 + 3);
	ck_assert_int_eq(read.quotas[3].age, PIMENTO_SEC);
	ck_assert_uint_eq(read.owner_reports[15].report.event_gap_us, 150000);
	ck_assert_int_eq(read.owner_reports[15].age, 15 * PIMENTO_MSEC);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++) {
		/* encoding never lowers the age */
		ck_assert_int_ge(read.replicas[kind].age,
				 message.replicas[kind].age);
		ck_assert_uint_eq(read.replicas[kind].revision,
				  message.replicas[kind].revision);
	}
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length - 1),
			 PIMENTO_EPARSE);
}
END_TEST

/*
 * Guards against gossip messages too big to send, and hosts that therefore
 * cannot report each other, after many hosts start at once.
 */
START_TEST(message_full_of_facts_round_trips)
{
	uint8_t bytes[PACKET_BYTES_MAX];
	gossip_message_t message = make_message(PEER, 123456);
	packet_t packet = { .kind = PACKET_GOSSIP };
	int length;

	while (message.membership.count < MESSAGE_FACTS_MAX)
		add_fact(&message, 0x0a000000 + message.membership.count);
	for (uint32_t i = 0; i < MESSAGE_FACTS_MAX; i++)
		message.membership.facts[i].incarnation = UINT64_MAX;
	message.poller_count = GOSSIP_POLLERS_MAX;
	for (uint32_t i = 0; i < GOSSIP_POLLERS_MAX; i++)
		message.pollers[i] =
			(gossip_poller_t){ UINT32_MAX, PIMENTO_SEC };
	packet.as.gossip = message;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length), 0);
	ck_assert_uint_eq(packet.as.gossip.membership.count, MESSAGE_FACTS_MAX);
}
END_TEST

static const struct {
	const char *name;
	/* when the second peer is added; the first is added at 1000 ms */
	int second_peer_ms;
	int now_ms;
	bool discovering;
} discovery_cases[] = {
	{ "just started", 1100, 1200, true },
	{ "no more peers", 1100, 1500, false },
	{ "still more peers", 1900, 2000, true },
	{ "a peer added long after the start", 60000, 60100, false },
};

/* Guards against shares of limits computed from an incomplete host count. */
START_TEST(discovery_ends_when_no_more_peers_are_added)
{
	peers_add(&peers, 10, true, 1000 * PIMENTO_MSEC);
	peers_add(&peers, 11, false,
		  discovery_cases[_i].second_peer_ms * PIMENTO_MSEC);
	ck_assert_msg(peers_is_discovering(&peers, discovery_cases[_i].now_ms *
							   PIMENTO_MSEC) ==
			      discovery_cases[_i].discovering,
		      "%s", discovery_cases[_i].name);
}
END_TEST

/*
 * Guards against a restarted host that takes itself for the only host because
 * its seeds have not responded yet.
 */
START_TEST(discovery_lasts_until_a_peer_responds)
{
	const pimento_usec_t at = 1000 * PIMENTO_MSEC;
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];
	gossip_message_t message = make_message(PEER, 100);

	peers_add(&peers, PEER, true, at);
	ck_assert(peers_is_discovering(&peers, at + 400 * PIMENTO_MSEC));
	ck_assert(!peers_is_discovering(&peers, at + 600 * PIMENTO_MSEC));
	peers_receive(&peers, &message, at + 300 * PIMENTO_MSEC, confirmed_at);
	ck_assert(!peers_is_discovering(&peers, at + 400 * PIMENTO_MSEC));
}
END_TEST

/*
 * Guards against a host that admits whole quotas beside others, as its seeds are
 * stale or down, for however long.
 */
START_TEST(seeds_that_never_answered_count_as_lost_hosts)
{
	const pimento_usec_t at = 1000 * PIMENTO_MSEC;
	const pimento_usec_t span = 20 * PIMENTO_SEC;
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];
	gossip_message_t message = make_message(PEER + 1, 100);

	ck_assert(peers_known_live_share(&peers, span, at) >= 1);
	peers_add(&peers, PEER, true, at);
	ck_assert(peers_known_live_share(&peers, span, at + span / 2) <= 0.5);
	ck_assert(peers_known_live_share(&peers, span, at + span) <= 0.5);
	ck_assert(peers_known_live_share(&peers, span, at + 100 * span) <= 0.5);
	peers_receive(&peers, &message, at + span / 2, confirmed_at);
	ck_assert(peers_known_live_share(&peers, span, at + span / 2) >= 1);
}
END_TEST

static const struct {
	uint32_t seeds;
	uint32_t stated;
	uint32_t hosts; /* that share the limits */
} isolated_cases[] = {
	{ 0, 0, 1 }, { 0, 40, 1 }, { 1, 0, 4 },	  { 2, 0, 6 },
	{ 3, 0, 8 }, { 3, 3, 3 },  { 3, 40, 40 },
};

/* Guards against limits that isolated hosts share with too few others. */
START_TEST(an_isolated_host_assumes_others)
{
	const pimento_usec_t at = 1000 * PIMENTO_MSEC;
	const pimento_usec_t span = 20 * PIMENTO_SEC;
	double hosts = isolated_cases[_i].hosts;

	peers_set_stated_hosts(&peers, isolated_cases[_i].stated);
	for (uint32_t i = 0; i < isolated_cases[_i].seeds; i++)
		peers_add(&peers, PEER + i, true, at);
	ck_assert_int_eq(peers_is_isolated(&peers),
			 isolated_cases[_i].seeds > 0);
	ck_assert_uint_eq(peers_sharing_count(&peers, at + 3 * span),
			  isolated_cases[_i].hosts);
	ck_assert_double_eq_tol(
		peers_known_live_share(&peers, span, at + 3 * span) * hosts, 1,
		1e-9);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peers");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, delayed_message_does_not_refresh_replica, 0,
			    REPLICA_KIND_COUNT);
	tcase_add_loop_test(tests, message_without_valid_echo_gives_no_age, 0,
			    REPLICA_KIND_COUNT);
	tcase_add_test(tests, reordered_messages_are_ignored);
	tcase_add_test(tests, loads_of_unresponsive_peers_are_ignored);
	tcase_add_test(tests, peers_are_discovered_through_seeds);
	tcase_add_test(tests, unresponsive_peers_expire_except_seeds);
	tcase_add_test(tests, target_number_of_hosts_poll_the_store);
	tcase_add_test(tests, default_pollers_poll_during_discovery);
	tcase_add_test(tests, all_hosts_poll_in_a_small_fleet);
	tcase_add_test(tests, full_message_round_trips);
	tcase_add_test(tests, message_full_of_facts_round_trips);
	tcase_add_loop_test(
		tests, discovery_ends_when_no_more_peers_are_added, 0,
		sizeof(discovery_cases) / sizeof(discovery_cases[0]));
	tcase_add_test(tests, discovery_lasts_until_a_peer_responds);
	tcase_add_test(tests, seeds_that_never_answered_count_as_lost_hosts);
	tcase_add_loop_test(tests, an_isolated_host_assumes_others, 0,
			    sizeof(isolated_cases) / sizeof(isolated_cases[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
