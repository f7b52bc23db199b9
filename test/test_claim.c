/*
 * Table-driven tests of the claim protocol and of idempotency keys. A scenario
 * has up to three entries and the three witnesses of one key. Each of its steps
 * is a letter for the action, see sim_step(), and the number of the entry or
 * witness that it concerns.
 */

#include "claim.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WITNESSES 3
#define ENTRIES 3
#define STEP_TIMEOUT (800 * PIMENTO_MSEC)
#define RETENTION (3600 * PIMENTO_SEC)
#define SKEW (5 * PIMENTO_SEC)

typedef struct sim {
	witness_t witnesses[WITNESSES];
	uint32_t reachable_mask; /* bit per witness: messages are delivered */
	claim_t claims[ENTRIES];
	claim_event_t events[ENTRIES];
	outbox_t out;
	message_t delayed
		[WITNESSES]; /* last undelivered message to each witness */
	pimento_usec_t now;
} sim_t;

static const pimento_key_t key = { 7, 9 };

static void sim_start_witness(sim_t *sim, int i, uint64_t incarnation)
{
	witness_options_t options = {
		.incarnation = incarnation,
		.capacity = 16,
		.retention = RETENTION,
		.started = sim->now,
		.clock_skew_max = SKEW,
	};

	ck_assert_int_eq(witness_init(&sim->witnesses[i], &options), 0);
}

static void sim_init_entry(sim_t *sim, int e, uint32_t attempt, uint64_t digest)
{
	claim_options_t options = {
		.key = key,
		.witnesses = { .count = WITNESSES, .quorum = 2 },
		.key_age = 0,
		.attempt = attempt,
		.digest = digest,
		.sequence = (uint64_t)(e + 1) * CLAIM_SEQUENCES_MAX,
		.timeout = STEP_TIMEOUT,
	};

	for (int i = 0; i < WITNESSES; i++) {
		options.witnesses.hosts[i] = (pimento_id_t)i + 1;
		options.witnesses.incarnations[i] = (uint64_t)i + 101;
	}
	ck_assert_int_eq(claim_init(&sim->claims[e], &options), 0);
}

static void sim_init(sim_t *sim)
{
	memset(sim, 0, sizeof(*sim));
	sim->reachable_mask = 7;
	ck_assert_int_eq(outbox_init(&sim->out, 64), 0);
	for (int i = 0; i < WITNESSES; i++)
		sim_start_witness(sim, i, (uint64_t)i + 101);
	for (int e = 0; e < ENTRIES; e++)
		sim_init_entry(sim, e, 0, 5);
}

static void sim_finish(sim_t *sim)
{
	for (int i = 0; i < WITNESSES; i++)
		witness_finish(&sim->witnesses[i]);
	outbox_finish(&sim->out);
}

static void sim_record_event(sim_t *sim, int e, claim_event_t event)
{
	if (event != CLAIM_NO_EVENT)
		sim->events[e] = event;
}

static int sender_of(uint64_t sequence)
{
	return (int)(sequence / CLAIM_SEQUENCES_MAX) - 1;
}

static void sim_deliver(sim_t *sim, int w, const message_t *message)
{
	int e = sender_of(message->u.claim.sequence);
	message_witness_t reply;

	witness_receive(&sim->witnesses[w], sim->now, &message->u.claim,
			&reply);
	sim_record_event(sim, e,
			 claim_receive(&sim->claims[e], sim->now,
				       (pimento_id_t)w + 1, &reply, &sim->out));
}

static void sim_deliver_all(sim_t *sim)
{
	message_t message;
	pimento_id_t to;

	while (outbox_take(&sim->out, &to, &message)) {
		if (sim->reachable_mask & 1U << (to - 1))
			sim_deliver(sim, (int)to - 1, &message);
		else
			sim->delayed[to - 1] = message;
	}
}

/* Advances the clock until every pending protocol step has ended. */
static void sim_wait_step(sim_t *sim)
{
	for (int i = 0; i < 24; i++) {
		sim->now += STEP_TIMEOUT / 8;
		for (int e = 0; e < ENTRIES; e++)
			sim_record_event(sim, e,
					 claim_tick(&sim->claims[e], sim->now,
						    &sim->out));
		sim_deliver_all(sim);
	}
}

static message_dispatch_t dispatch_of(int e)
{
	message_dispatch_t dispatch = {
		.id = { (uint64_t)e + 1, 1 },
		.endpoint = (pimento_id_t)e + 51,
		.digest = 5,
		.status = 200,
		.answer_size = 2,
		.answer = "ok",
	};

	return dispatch;
}

/* Runs one step of a scenario: an action of entry n or on witness n. */
static void sim_step(sim_t *sim, char action, int n)
{
	message_dispatch_t dispatch = dispatch_of(n);

	switch (action) {
	case 'q': /* the entry queries the witnesses */
		sim->claims[n].options.key_age = sim->now;
		claim_start(&sim->claims[n], sim->now, &sim->out);
		break;
	case 't': /* the entry takes the claim */
		claim_take(&sim->claims[n], sim->now, &dispatch, &sim->out);
		break;
	case 's': /* the entry seals its attempt */
		claim_seal(&sim->claims[n], sim->now, &sim->out);
		break;
	case 'd': /* the dispatch completes */
		claim_complete(&sim->claims[n], sim->now, &dispatch, &sim->out);
		break;
	case 'c': /* the witness becomes unreachable: messages are held back */
		sim->reachable_mask &= ~(1U << n);
		return;
	case 'm': /* the witness becomes reachable again */
		sim->reachable_mask |= 1U << n;
		return;
	case 'l': /* the last message held back is delivered */
		sim_deliver(sim, n, &sim->delayed[n]);
		break;
	case 'r': /* the witness restarts with an empty table */
		witness_finish(&sim->witnesses[n]);
		sim_start_witness(sim, n, 900);
		return;
	case 'b': /* the entry's request has another body */
		sim_init_entry(sim, n, 0, 6);
		return;
	case 'x': /* the entry's process dies */
		memset(&sim->claims[n], 0, sizeof(sim->claims[n]));
		return;
	case 'n': /* the caller names attempt 2 */
		sim_init_entry(sim, n, 2, 5);
		return;
	case 'f': /* the caller names attempt 1 */
		sim_init_entry(sim, n, 1, 5);
		return;
	case 'o': /* witness records exceed their retention */
		sim->now += 2 * RETENTION;
		return;
	case 'w': /* all pending protocol steps end */
		sim_wait_step(sim);
		return;
	default:
		ck_abort();
	}
	sim_deliver_all(sim);
}

static const struct {
	const char *name;
	const char *steps;
	claim_event_t want[ENTRIES];
} scenarios[] = {
	{ "one entry", "q0 t0", { CLAIM_WON } },
	{ "one entry, one witness unreachable", "c2 q0 t0", { CLAIM_WON } },
	{ "too few witnesses reachable", "c1 c2 q0 w0", { CLAIM_NO_QUORUM } },
	{ "a repeated request finds the claim",
	  "q0 t0 q1",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "both entries query before either takes",
	  "q0 q1 t0 t1",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "a completed dispatch still holds the key",
	  "q0 t0 d0 q1",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "a new attempt after a seal",
	  "q0 s0 q1 t1",
	  { CLAIM_NOT_RUN, CLAIM_WON } },
	{ "sealed by another entry",
	  "q0 q1 s1 t0",
	  { CLAIM_NOT_RUN, CLAIM_NOT_RUN } },
	{ "no seal without a quorum",
	  "q0 c1 c2 s0 w0",
	  { CLAIM_MAY_HAVE_RUN } },
	{ "a take delivered after the seal",
	  "q0 c0 t0 s0 m0 l0 q1 t1",
	  { CLAIM_NOT_RUN, CLAIM_WON } },
	{ "claim won but never dispatched",
	  "q0 t0 s0 q1 t1",
	  { CLAIM_NOT_RUN, CLAIM_WON } },
	{ "each entry holds one witness, both withdraw",
	  "q0 q1 c2 c1 t0 m1 c0 t1 m0 w0",
	  { CLAIM_NOT_RUN, CLAIM_NOT_RUN } },
	{ "a witness restarted without its table is not counted",
	  "q0 c2 t0 r1 m2 q1 w0",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "two witnesses restarted: no second dispatch",
	  "q0 t0 r1 r2 q1 w0",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "a seal is resent to a witness that missed it",
	  "q0 t0 c0 s0 m0 w0 c1 q1 t1",
	  { CLAIM_NOT_RUN, CLAIM_WON } },
	{ "another body while the first one runs",
	  "b1 q0 t0 q1",
	  { CLAIM_WON, CLAIM_MISMATCH } },
	{ "an attempt named by the caller is not raised",
	  "f1 q0 s0 q1",
	  { CLAIM_NOT_RUN, CLAIM_NOT_RUN } },
	{ "the caller names the next attempt",
	  "f0 q0 s0 n1 q1 t1",
	  { CLAIM_NOT_RUN, CLAIM_WON } },
	{ "a lower attempt after a higher one was dispatched",
	  "n0 q0 t0 f1 q1",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "a held claim that has won cannot be sealed",
	  "q0 t0 q1 s1 w0",
	  { CLAIM_WON, CLAIM_MAY_HAVE_RUN } },
	{ "a held claim that never won is sealed",
	  "q0 c1 c2 t0 x0 m1 m2 q1 w0 s1 w0 q2 t2",
	  { CLAIM_FREE, CLAIM_NOT_RUN, CLAIM_WON } },
	{ "a delayed take after the attempt was sealed",
	  "q0 c2 t0 s0 m2 l2 q1 t1",
	  { CLAIM_NOT_RUN, CLAIM_WON } },
	{ "the endpoint is changed before the dispatch",
	  "q0 t0 t0 q1",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "a key older than the retention",
	  "q0 t0 o0 q1",
	  { CLAIM_WON, CLAIM_EXPIRED } },
	{ "three witnesses restarted: no quorum",
	  "q0 t0 r0 r1 r2 q1 w0",
	  { CLAIM_WON, CLAIM_NO_QUORUM } },
};

START_TEST(at_most_one_dispatch_per_key)
{
	sim_t sim;
	const char *step = scenarios[_i].steps;

	sim_init(&sim);
	for (; *step; step += step[2] ? 3 : 2)
		sim_step(&sim, step[0], step[1] - '0');
	for (int e = 0; e < ENTRIES; e++)
		ck_assert_msg(sim.events[e] == scenarios[_i].want[e],
			      "%s: entry %d: event %d, want %d",
			      scenarios[_i].name, e, sim.events[e],
			      scenarios[_i].want[e]);
	sim_finish(&sim);
}
END_TEST

/*
 * Keys that callers chose: a witness must abstain from a key that may be older
 * than its host list or its process, because it could have missed a claim and
 * would allow a second dispatch. A row gives when the witness started and when
 * it adopted the list, in seconds relative to the time of the take, the key's age
 * in seconds, and the expected result of the take.
 */
static const struct {
	const char *name;
	int64_t started;
	int64_t adopted;
	int64_t age; /* -1: the key states no creation time */
	bool other_list; /* the entry used another host list */
	int answer;
} abstain_cases[] = {
	{ "started long before the key", -9000, -9000, 10, false, PIMENTO_OK },
	{ "started after the key was created", -5, -5, 10, false,
	  PIMENTO_ESTALE },
	{ "started before the key, within the error margin", -12, -12, 10,
	  false, PIMENTO_ESTALE },
	{ "started before the key, outside the error margin", -30, -30, 10,
	  false, PIMENTO_OK },
	{ "list adopted after the key was created", -9000, -5, 10, false,
	  PIMENTO_ESTALE },
	{ "key without a time, process older than the retention", -3700, -3700,
	  -1, false, PIMENTO_OK },
	{ "key without a time, process younger than the retention", -3500,
	  -3500, -1, false, PIMENTO_ESTALE },
	{ "entry with another host list", -9000, -9000, 10, true,
	  PIMENTO_ESTALE },
	{ "key older than the retention", -9000, -9000, 3601, false,
	  PIMENTO_EEXPIRED },
	{ "key from the future, outside the clock skew", -9000, -9000, -6,
	  false, PIMENTO_EEXPIRED },
	{ "key from the future, within the clock skew", -9000, -9000, -4, false,
	  PIMENTO_OK },
};

static void make_hostlist(hostlist_t *list, hostlist_host_t hosts[5],
			  pimento_id_t first)
{
	memset(hosts, 0, 5 * sizeof(*hosts));
	for (pimento_id_t i = 0; i < 5; i++)
		hosts[i].id = first + i;
	list->count = 5;
	list->hosts = hosts;
}

START_TEST(witness_abstains_from_keys_older_than_its_memory)
{
	pimento_usec_t now = 20000 * PIMENTO_SEC;
	witness_options_t options = {
		.incarnation = 3,
		.capacity = 4,
		.retention = RETENTION,
		.started = now + abstain_cases[_i].started * PIMENTO_SEC,
		.clock_skew_max = SKEW,
	};
	message_claim_t msg = { .op = CLAIM_TAKE, .key = key, .attempt = 1 };
	message_witness_t reply;
	hostlist_host_t hosts[5];
	hostlist_t list = { .revision = 1 };
	witness_set_t set;
	witness_t witness;
	int64_t created_ms;

	make_hostlist(&list, hosts, 1);
	ck_assert_int_eq(witness_init(&witness, &options), 0);
	witness_adopt_hostlist(&witness,
			       now + abstain_cases[_i].adopted * PIMENTO_SEC,
			       &list, 2);
	make_hostlist(&list, hosts, abstain_cases[_i].other_list ? 2 : 1);
	ck_assert_int_eq(
		idem_key_select_witnesses("k", key, &list, &set, &created_ms),
		0);
	msg.witness_set_hash = set.set_hash;
	msg.key_age = abstain_cases[_i].age == -1
			      ? CLAIM_AGE_UNKNOWN
			      : abstain_cases[_i].age * PIMENTO_SEC;
	witness_receive(&witness, now, &msg, &reply);
	ck_assert_msg(reply.result == abstain_cases[_i].answer, "%s: %s",
		      abstain_cases[_i].name, pimento_strerror(reply.result));
	witness_finish(&witness);
}
END_TEST

/*
 * A witness receives more keys than its table holds. If it evicted an unexpired
 * record for a new key, the request of the evicted one could run again. It must
 * refuse the new key instead, and must still be able to seal it, so that the
 * refused request can be reported as "not run".
 */
START_TEST(full_table_refuses_instead_of_evicting)
{
	witness_options_t options = { .incarnation = 3,
				      .capacity = 16,
				      .retention = RETENTION,
				      .clock_skew_max = SKEW };
	message_claim_t msg = { .op = CLAIM_TAKE,
				.incarnation = 3,
				.attempt = 1 };
	message_witness_t reply;
	witness_t witness;
	int taken = 0;

	ck_assert_int_eq(witness_init(&witness, &options), 0);
	for (uint64_t i = 1; i <= 32; i++) {
		msg.key.lo = i;
		witness_receive(&witness, 0, &msg, &reply);
		taken += reply.result == PIMENTO_OK;
	}
	ck_assert_int_eq(taken, 14);
	ck_assert_int_eq(reply.result, PIMENTO_EFULL);
	msg.op = CLAIM_SEAL;
	witness_receive(&witness, 0, &msg, &reply);
	ck_assert_int_eq(reply.result, PIMENTO_OK);
	msg.key.lo = 1;
	msg.op = CLAIM_QUERY;
	witness_receive(&witness, 0, &msg, &reply);
	ck_assert_uint_eq(reply.attempt, 1);
	/* Records expire after the retention, which empties the table. */
	witness_tick(&witness, 2 * RETENTION);
	ck_assert_uint_eq(witness.count, 0);
	witness_finish(&witness);
}
END_TEST

static const uint8_t secret[IDEM_KEY_SECRET_BYTES] = { 1, 2, 3 };

static const struct {
	const char *name;
	int at; /* index of the changed character; -1: none, 0: the last is cut off */
	int result;
} issued_cases[] = {
	{ "unchanged", -1, PIMENTO_OK },
	{ "witness changed", 60, PIMENTO_EAUTH },
	{ "creation time changed", 10, PIMENTO_EAUTH },
	{ "prefix changed", 1, PIMENTO_EPARSE },
	{ "last character cut off", 0, PIMENTO_EPARSE },
};

static char different_char(char c)
{
	return c == 'A' ? 'B' : 'A';
}

START_TEST(altered_issued_key_is_rejected)
{
	witness_set_t set = { .count = 3,
			      .quorum = 2,
			      .hosts = { 5, 6, 7 },
			      .incarnations = { 15, 16, 17 } };
	char text[IDEM_KEY_TEXT_MAX];
	witness_set_t read;
	int64_t created_ms;
	int length = idem_key_issue(secret, &set, 1234, 99, text);

	ck_assert_int_gt(length, 0);
	ck_assert(idem_key_is_issued(text));
	if (issued_cases[_i].at == 0)
		text[length - 1] = 0;
	if (issued_cases[_i].at > 0)
		text[issued_cases[_i].at] =
			different_char(text[issued_cases[_i].at]);
	ck_assert_int_eq(idem_key_parse(secret, text, &read, &created_ms),
			 issued_cases[_i].result);
	if (issued_cases[_i].result)
		return;
	ck_assert_int_eq(created_ms, 1234);
	ck_assert_mem_eq(&read, &set, sizeof(set));
}
END_TEST

static const struct {
	const char *text;
	int64_t created_ms;
} uuid_cases[] = {
	{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017f22e279b0 },
	{ "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 0x017f22e279b0 },
	{ "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", -1 },
	{ "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", -1 },
	{ "017f22e279b0-7cc3-98c4-dc0c0c07398f00", -1 },
	{ "order-4711", -1 },
};

START_TEST(uuid7_key_gives_its_creation_time)
{
	hostlist_host_t hosts[5];
	hostlist_t list = { .revision = 1 };
	witness_set_t set;
	int64_t created_ms;

	make_hostlist(&list, hosts, 1);
	ck_assert_int_eq(idem_key_select_witnesses(uuid_cases[_i].text, key,
						   &list, &set, &created_ms),
			 0);
	ck_assert_int_eq(created_ms, uuid_cases[_i].created_ms);
	ck_assert_uint_eq(set.count, 5);
	ck_assert_uint_eq(set.quorum, 4);
	hosts[0].leaving = true;
	hosts[1].is_endpoint = true;
	list.count = 4;
	ck_assert_int_eq(idem_key_select_witnesses(uuid_cases[_i].text, key,
						   &list, &set, &created_ms),
			 PIMENTO_ENOQUORUM);
}
END_TEST

#define LOOP(tc, test, cases) \
	tcase_add_loop_test(tc, test, 0, sizeof(cases) / sizeof((cases)[0]))

int main(void)
{
	Suite *suite = suite_create("claim");
	TCase *tc = tcase_create("claim");
	SRunner *runner;
	int failed;

	LOOP(tc, at_most_one_dispatch_per_key, scenarios);
	LOOP(tc, witness_abstains_from_keys_older_than_its_memory,
	     abstain_cases);
	tcase_add_test(tc, full_table_refuses_instead_of_evicting);
	LOOP(tc, altered_issued_key_is_rejected, issued_cases);
	LOOP(tc, uuid7_key_gives_its_creation_time, uuid_cases);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
