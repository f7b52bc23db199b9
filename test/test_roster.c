/* What hosts hear of each other, and how far it may be believed. */

#include "packet.h"

#include <check.h>
#include <stdlib.h>

#define DAY (86400 * PIMENTO_SEC)

enum { SELF = 1, PEER = 2, LOADS_LEAST = 24 };

static roster_t roster;

static void setup(void)
{
	ck_assert_int_eq(roster_init(&roster, SELF, 99), 0);
}

static void teardown(void)
{
	roster_finish(&roster);
}

static roster_note_t note_of(uint32_t address, pimento_usec_t stamp)
{
	return (roster_note_t){ .address = address,
				.incarnation = 1,
				.stamp = stamp,
				.copies = { { .age = PIMENTO_NEVER },
					    { .age = PIMENTO_NEVER } },
				.membership = {
					.incarnation = 1,
					.count = 1,
					.facts = { { .subject = address,
						     .incarnation = 1,
						     .version = 1,
						     .state = HOST_LIVE } } } };
}

static void add_fact(roster_note_t *note, uint32_t address)
{
	note->membership.facts[note->membership.count++] = (message_fact_t){
		.subject = address,
		.incarnation = 1,
		.version = 1,
		.state = HOST_LIVE,
	};
}

/*
 * This host is frozen for four seconds while a peer's note lies in its socket.
 * The note says "my copy is 200 ms old", which was true when it was written.
 * Counted from the moment of reading, keys that were taken away during the
 * freeze would be honoured.
 */
START_TEST(an_old_note_does_not_make_the_copy_fresh)
{
	roster_note_t note = note_of(PEER, 50);
	pimento_usec_t fresh[REPLICA_KIND_COUNT];

	note.echo = 10 * PIMENTO_SEC; /* our stamp before the freeze */
	note.copies[_i].age = 200 * PIMENTO_MSEC;
	ck_assert_ptr_nonnull(
		roster_receive(&roster, &note, 14 * PIMENTO_SEC, fresh));
	ck_assert_int_eq(fresh[_i], 10 * PIMENTO_SEC - 200 * PIMENTO_MSEC);
	ck_assert_int_eq(fresh[!_i], INT64_MIN);
}
END_TEST

START_TEST(without_an_echo_nothing_is_known_of_the_age)
{
	roster_note_t note = note_of(PEER, 50);
	pimento_usec_t fresh[REPLICA_KIND_COUNT];

	note.copies[_i].age = 0;
	ck_assert_ptr_nonnull(
		roster_receive(&roster, &note, PIMENTO_SEC, fresh));
	ck_assert_int_eq(fresh[_i], INT64_MIN);
	note.stamp++;
	note.echo = 2 * PIMENTO_SEC; /* of the future: not ours */
	ck_assert_ptr_nonnull(
		roster_receive(&roster, &note, PIMENTO_SEC, fresh));
	ck_assert_int_eq(fresh[_i], INT64_MIN);
}
END_TEST

START_TEST(notes_that_overtake_each_other_do_no_harm)
{
	roster_note_t note = note_of(PEER, 100);
	roster_note_t earlier = note_of(PEER, 90);
	pimento_usec_t fresh[REPLICA_KIND_COUNT];

	ck_assert_ptr_nonnull(roster_receive(&roster, &note, 200, fresh));
	ck_assert_ptr_null(roster_receive(&roster, &earlier, 201, fresh));
	ck_assert_ptr_null(roster_receive(&roster, &note, 202, fresh));
	earlier.incarnation = 2; /* it has restarted: its clock is another */
	ck_assert_ptr_nonnull(roster_receive(&roster, &earlier, 203, fresh));
}
END_TEST

START_TEST(loads_of_silent_peers_are_not_believed)
{
	roster_note_t note = note_of(PEER, 100);
	roster_load_t load;
	pimento_usec_t fresh[REPLICA_KIND_COUNT];

	note.loads[0] = (roster_load_t){ 9, 4, 700 };
	note.load_count = 1;
	roster_receive(&roster, &note, PIMENTO_SEC, fresh);
	load = roster_load(&roster, 9, 2 * PIMENTO_SEC);
	ck_assert_uint_eq(load.running, 4);
	ck_assert_uint_eq(load.reading, 700);
	load = roster_load(&roster, 9, 8 * PIMENTO_SEC);
	ck_assert_uint_eq(load.running, 0);
}
END_TEST

/*
 * The three seeds are down, or stale: the host must still write to them until
 * somebody answers, and then learn of everybody else.
 */
START_TEST(seeds_lead_to_the_others)
{
	roster_peer_t *targets[8];
	roster_note_t note = note_of(PEER, 100);
	pimento_usec_t fresh[REPLICA_KIND_COUNT];

	for (uint32_t seed = 10; seed < 13; seed++)
		ck_assert_int_eq(roster_add(&roster, seed, true, 0), 0);
	ck_assert_int_eq(roster_add(&roster, SELF, true, 0), 0);
	ck_assert_uint_eq(roster_targets(&roster, PIMENTO_SEC, 8, targets), 3);
	add_fact(&note, 20);
	roster_receive(&roster, &note, PIMENTO_SEC, fresh);
	ck_assert_uint_eq(roster_targets(&roster, PIMENTO_SEC, 8, targets), 5);
}
END_TEST

START_TEST(a_host_that_is_gone_is_forgotten_but_a_seed_is_not)
{
	roster_peer_t *targets[8];
	pimento_usec_t fresh[REPLICA_KIND_COUNT];
	roster_note_t note = note_of(PEER, 100);

	roster_receive(&roster, &note, PIMENTO_SEC, fresh);
	ck_assert_int_eq(roster_add(&roster, 10, true, 0), 0);
	ck_assert_uint_eq(roster_hosts(&roster, 2 * PIMENTO_SEC), 3);
	roster_targets(&roster, 90 * PIMENTO_SEC, 8, targets);
	ck_assert_uint_eq(roster.count, 1);
	ck_assert_uint_eq(roster.peers[0]->address, 10);
}
END_TEST

/* With many hosts about eight read the store, and others take over. */
START_TEST(enough_hosts_read_the_store_and_not_all)
{
	enum { HOSTS = 60, ROUNDS = 50 };
	pimento_usec_t now = PIMENTO_SEC;
	uint32_t joined = 0;
	roster_note_t relayed;
	pimento_usec_t fresh[REPLICA_KIND_COUNT];

	for (uint32_t i = 2; i < HOSTS; i++) {
		roster_note_t note = note_of(i, 100);

		if (i < 2 + ROSTER_READERS)
			note.readers[note.reader_count++] =
				(roster_reader_t){ i, 0 };
		roster_receive(&roster, &note, now, fresh);
	}
	for (uint64_t draw = 0; draw < ROUNDS; draw++)
		joined += roster_should_read(&roster, false, draw, now);
	ck_assert_uint_eq(joined, 0);
	/* one of them is down; another host passes on that the others read */
	now += 3 * PIMENTO_SEC;
	relayed = note_of(HOSTS, 200);
	for (uint32_t i = 3; i < 2 + ROSTER_READERS; i++)
		relayed.readers[relayed.reader_count++] =
			(roster_reader_t){ i, PIMENTO_SEC };
	roster_receive(&roster, &relayed, now, fresh);
	for (uint64_t draw = 0; draw < roster_hosts(&roster, now); draw++)
		joined += roster_should_read(&roster, false, draw, now);
	ck_assert_uint_eq(joined, 1); /* of sixty, about one steps in */
}
END_TEST

/* Guards against a fleet without readers, or with all, while it starts. */
START_TEST(the_first_hosts_read_while_others_are_discovered)
{
	enum { HOSTS = 60 };
	uint32_t first = 0;

	for (uint32_t self = 1; self <= HOSTS; self++) {
		roster_t other;

		ck_assert_int_eq(roster_init(&other, self, 7), 0);
		for (uint32_t i = 1; i <= HOSTS; i++)
			roster_add(&other, i, false, PIMENTO_SEC);
		first += roster_is_first(&other);
		roster_finish(&other);
	}
	ck_assert_uint_eq(first, ROSTER_READERS);
	ck_assert(roster_is_first(&roster));
}
END_TEST

START_TEST(with_few_hosts_all_read)
{
	ck_assert(roster_should_read(&roster, false, 0, PIMENTO_SEC));
	ck_assert(roster_should_read(&roster, true, 0, PIMENTO_SEC));
}
END_TEST

/*
 * A host has to do with as many endpoints, accounts and engines as a note can
 * name. Too big for a datagram, the note would not be sent at all; peers would
 * take the host for gone, and its engines would change hands.
 */
START_TEST(a_note_survives_its_encoding)
{
	uint8_t bytes[PACKET_BYTES_MAX];
	roster_note_t note = note_of(PEER, 123456);
	packet_t packet = { .kind = PACKET_GOSSIP };
	roster_note_t read;
	int length;

	note.echo = 99;
	for (uint32_t kind = 0; kind < REPLICA_KIND_COUNT; kind++)
		note.copies[kind] = (roster_copy_t){
			(1u << 20) + kind,
			(1500 + kind) * PIMENTO_MSEC,
		};
	note.load_count = ROSTER_LOADS_MAX;
	note.quota_count = ROSTER_QUOTAS_MAX;
	note.pull = true;
	note.probe = ROSTER_ACK;
	note.membership.sequence = 1ull << 40;
	note.membership.target = PEER;
	note.membership.revision = 1;
	while (note.membership.count < ROSTER_FACTS_CALM)
		add_fact(&note, 100 + note.membership.count);
	note.reader_count = ROSTER_READERS_MAX;
	for (uint32_t i = 0; i < ROSTER_READERS_MAX; i++)
		note.readers[i] = (roster_reader_t){ i, i * PIMENTO_SEC };
	for (uint32_t i = 0; i < ROSTER_LOADS_MAX; i++)
		note.loads[i] = (roster_load_t){ i, i + 1, i * 1000 };
	for (uint32_t i = 0; i < ROSTER_QUOTAS_MAX; i++)
		note.quotas[i] = (quota_report_t){ i, 1e7 + i, PIMENTO_SEC };
	note.owned_count = ROSTER_OWNED_MAX;
	for (uint32_t i = 0; i < ROSTER_OWNED_MAX; i++)
		note.owned[i] = (roster_owned_t){
			i, i * PIMENTO_MSEC, { 12, 60, 150000, 2000, true }
		};
	packet.as.gossip = note;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length), 0);
	read = packet.as.gossip;
	ck_assert_uint_eq(read.loads[5].reading, 5000);
	ck_assert_uint_ge(read.load_count, LOADS_LEAST);
	ck_assert_uint_eq(read.quota_count, ROSTER_QUOTAS_MAX);
	ck_assert(read.pull);
	ck_assert_int_eq(read.probe, ROSTER_ACK);
	ck_assert_uint_eq(read.membership.sequence, 1ull << 40);
	ck_assert_uint_eq(read.membership.target, PEER);
	ck_assert_uint_eq(read.membership.revision, 1);
	ck_assert_uint_eq(read.membership.incarnation, 1);
	ck_assert_uint_eq(read.membership.count, ROSTER_FACTS_CALM);
	ck_assert_uint_eq(read.membership.facts[7].subject, 107);
	ck_assert_uint_eq(read.membership.facts[7].version, 1);
	ck_assert_uint_eq(read.membership.facts[7].state, HOST_LIVE);
	ck_assert_uint_eq(read.reader_count, ROSTER_READERS_MAX);
	ck_assert_uint_eq(read.readers[3].address, 3);
	ck_assert_int_ge(read.readers[3].age, 3 * PIMENTO_SEC);
	ck_assert_double_eq(read.quotas[3].level, 1e7 + 3);
	ck_assert_int_eq(read.quotas[3].age, PIMENTO_SEC);
	ck_assert_uint_eq(read.owned[15].word.event_gap_us, 150000);
	ck_assert_int_eq(read.owned[15].age, 15 * PIMENTO_MSEC);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++) {
		ck_assert_int_ge(read.copies[kind].age,
				 note.copies[kind].age); /* never younger */
		ck_assert_uint_eq(read.copies[kind].revision,
				  note.copies[kind].revision);
	}
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length - 1),
			 PIMENTO_EPARSE);
}
END_TEST

/* Guards against hosts that cannot tell of each other after a mass start. */
START_TEST(a_note_full_of_hosts_survives_its_encoding)
{
	uint8_t bytes[PACKET_BYTES_MAX];
	roster_note_t note = note_of(PEER, 123456);
	packet_t packet = { .kind = PACKET_GOSSIP };
	int length;

	while (note.membership.count < MESSAGE_FACTS_MAX)
		add_fact(&note, 0x0a000000 + note.membership.count);
	for (uint32_t i = 0; i < MESSAGE_FACTS_MAX; i++)
		note.membership.facts[i].incarnation = UINT64_MAX;
	note.reader_count = ROSTER_READERS_MAX;
	for (uint32_t i = 0; i < ROSTER_READERS_MAX; i++)
		note.readers[i] = (roster_reader_t){ UINT32_MAX, PIMENTO_SEC };
	packet.as.gossip = note;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length), 0);
	ck_assert_uint_eq(packet.as.gossip.membership.count, MESSAGE_FACTS_MAX);
}
END_TEST

static const struct {
	const char *name;
	int second_peer_ms; /* time it is added; the first is added at 1000 */
	int now_ms;
	bool discovering;
} discovery_cases[] = {
	{ "just started", 1100, 1200, true },
	{ "no more peers", 1100, 1500, false },
	{ "still more peers", 1900, 2000, true },
	{ "a peer added long after the start", 60000, 60100, false },
};

/* Guards against shares computed from an incomplete host count. */
START_TEST(discovery_ends_when_no_more_peers_are_added)
{
	roster_add(&roster, 10, true, 1000 * PIMENTO_MSEC);
	roster_add(&roster, 11, false,
		   discovery_cases[_i].second_peer_ms * PIMENTO_MSEC);
	ck_assert_msg(
		roster_is_discovering(&roster, discovery_cases[_i].now_ms *
						       PIMENTO_MSEC) ==
			discovery_cases[_i].discovering,
		"%s", discovery_cases[_i].name);
}
END_TEST

/*
 * Guards against a restarted host that takes itself for the only one, as its
 * seeds have not answered yet.
 */
START_TEST(discovery_lasts_until_a_peer_is_heard)
{
	const pimento_usec_t at = 1000 * PIMENTO_MSEC;
	pimento_usec_t fresh[REPLICA_KIND_COUNT];
	roster_note_t note = note_of(PEER, 100);

	roster_add(&roster, PEER, true, at);
	ck_assert(roster_is_discovering(&roster, at + 400 * PIMENTO_MSEC));
	ck_assert(!roster_is_discovering(&roster, at + 600 * PIMENTO_MSEC));
	roster_receive(&roster, &note, at + 300 * PIMENTO_MSEC, fresh);
	ck_assert(!roster_is_discovering(&roster, at + 400 * PIMENTO_MSEC));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("roster");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, an_old_note_does_not_make_the_copy_fresh, 0,
			    REPLICA_KIND_COUNT);
	tcase_add_loop_test(tests, without_an_echo_nothing_is_known_of_the_age,
			    0, REPLICA_KIND_COUNT);
	tcase_add_test(tests, notes_that_overtake_each_other_do_no_harm);
	tcase_add_test(tests, loads_of_silent_peers_are_not_believed);
	tcase_add_test(tests, seeds_lead_to_the_others);
	tcase_add_test(tests,
		       a_host_that_is_gone_is_forgotten_but_a_seed_is_not);
	tcase_add_test(tests, enough_hosts_read_the_store_and_not_all);
	tcase_add_test(tests, the_first_hosts_read_while_others_are_discovered);
	tcase_add_test(tests, with_few_hosts_all_read);
	tcase_add_test(tests, a_note_survives_its_encoding);
	tcase_add_test(tests, a_note_full_of_hosts_survives_its_encoding);
	tcase_add_loop_test(
		tests, discovery_ends_when_no_more_peers_are_added, 0,
		sizeof(discovery_cases) / sizeof(discovery_cases[0]));
	tcase_add_test(tests, discovery_lasts_until_a_peer_is_heard);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
