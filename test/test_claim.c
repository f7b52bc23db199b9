/*
 * The claim protocol in tables: each row is a short play of two entries, E and
 * F, and the witnesses of one key. Every letter pair is one step.
 */

#include "claim.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WITNESSES 3
#define ENTRIES 3
#define STEP (800 * PIMENTO_MSEC)
#define RETENTION (3600 * PIMENTO_SEC)
#define SKEW (5 * PIMENTO_SEC)

typedef struct play {
	witness_t witnesses[WITNESSES];
	uint32_t reach; /* bit per witness: messages get there and back */
	claim_t claims[ENTRIES];
	claim_event_t events[ENTRIES];
	outbox_t out;
	message_t kept[WITNESSES]; /* held back by the network */
	pimento_usec_t now;
} play_t;

static const pimento_key_t key = { 7, 9 };

static void play_start_witness(play_t *play, int i, uint64_t incarnation)
{
	witness_options_t options = {
		.incarnation = incarnation,
		.capacity = 16,
		.retention = RETENTION,
		.started = play->now,
		.skew = SKEW,
	};

	ck_assert_int_eq(witness_init(&play->witnesses[i], &options), 0);
}

static void play_entry(play_t *play, int e, uint32_t attempt, uint64_t digest)
{
	claim_options_t options = {
		.key = key,
		.witnesses = { .count = WITNESSES, .quorum = 2 },
		.age = 0,
		.attempt = attempt,
		.digest = digest,
		.sequence = (uint64_t)(e + 1) * CLAIM_SEQUENCES,
		.timeout = STEP,
	};

	for (int i = 0; i < WITNESSES; i++) {
		options.witnesses.hosts[i] = (pimento_id_t)i + 1;
		options.witnesses.incarnations[i] = (uint64_t)i + 101;
	}
	ck_assert_int_eq(claim_init(&play->claims[e], &options), 0);
}

static void play_init(play_t *play)
{
	memset(play, 0, sizeof(*play));
	play->reach = 7;
	ck_assert_int_eq(outbox_init(&play->out, 64), 0);
	for (int i = 0; i < WITNESSES; i++)
		play_start_witness(play, i, (uint64_t)i + 101);
	for (int e = 0; e < ENTRIES; e++)
		play_entry(play, e, 0, 5);
}

static void play_finish(play_t *play)
{
	for (int i = 0; i < WITNESSES; i++)
		witness_finish(&play->witnesses[i]);
	outbox_finish(&play->out);
}

static void play_event(play_t *play, int e, claim_event_t event)
{
	if (event != CLAIM_NOTHING)
		play->events[e] = event;
}

static int asker(uint64_t sequence)
{
	return (int)(sequence / CLAIM_SEQUENCES) - 1;
}

static void play_deliver(play_t *play, int w, const message_t *message)
{
	int e = asker(message->u.claim.sequence);
	message_witness_t reply;

	witness_receive(&play->witnesses[w], play->now, &message->u.claim,
			&reply);
	play_event(play, e,
		   claim_receive(&play->claims[e], play->now,
				 (pimento_id_t)w + 1, &reply, &play->out));
}

static void play_run(play_t *play)
{
	message_t message;
	pimento_id_t to;

	while (outbox_take(&play->out, &to, &message)) {
		if (play->reach & 1U << (to - 1))
			play_deliver(play, (int)to - 1, &message);
		else
			play->kept[to - 1] = message;
	}
}

/* Lets the time of one step pass for all entries. */
static void play_wait(play_t *play)
{
	for (int i = 0; i < 24; i++) {
		play->now += STEP / 8;
		for (int e = 0; e < ENTRIES; e++)
			play_event(play, e,
				   claim_tick(&play->claims[e], play->now,
					      &play->out));
		play_run(play);
	}
}

static message_place_t place_of(int e)
{
	message_place_t place = {
		.request = { (uint64_t)e + 1, 1 },
		.endpoint = (pimento_id_t)e + 51,
		.digest = 5,
		.status = 200,
		.answer_size = 2,
		.answer = "ok",
	};

	return place;
}

/* One step of a play: an action and the entry or witness it is of. */
static void play_step(play_t *play, char action, int n)
{
	message_place_t place = place_of(n);

	switch (action) {
	case 'q':
		play->claims[n].options.age = play->now;
		claim_start(&play->claims[n], play->now, &play->out);
		break;
	case 't':
		claim_take(&play->claims[n], play->now, &place, &play->out);
		break;
	case 's':
		claim_seal(&play->claims[n], play->now, &play->out);
		break;
	case 'd':
		claim_done(&play->claims[n], play->now, &place, &play->out);
		break;
	case 'c': /* the link is cut, later messages are kept */
		play->reach &= ~(1U << n);
		return;
	case 'm': /* the link is mended */
		play->reach |= 1U << n;
		return;
	case 'l': /* the message kept last arrives late */
		play_deliver(play, n, &play->kept[n]);
		break;
	case 'r': /* restart without memory */
		witness_finish(&play->witnesses[n]);
		play_start_witness(play, n, 900);
		return;
	case 'b': /* another body */
		play_entry(play, n, 0, 6);
		return;
	case 'x': /* the entry dies */
		memset(&play->claims[n], 0, sizeof(play->claims[n]));
		return;
	case 'n': /* the caller says: second attempt */
		play_entry(play, n, 2, 5);
		return;
	case 'f': /* the caller says: first attempt */
		play_entry(play, n, 1, 5);
		return;
	case 'o': /* the retention passes */
		play->now += 2 * RETENTION;
		return;
	case 'w':
		play_wait(play);
		return;
	default:
		ck_abort();
	}
	play_run(play);
}

static const struct {
	const char *name;
	const char *steps;
	claim_event_t want[ENTRIES];
} plays[] = {
	{ "alone", "q0 t0", { CLAIM_WON } },
	{ "alone, one witness gone", "c2 q0 t0", { CLAIM_WON } },
	{ "too few witnesses", "c1 c2 q0 w0", { CLAIM_NO_QUORUM } },
	{ "repeat finds the claim", "q0 t0 q1", { CLAIM_WON, CLAIM_HELD } },
	{ "both query first", "q0 q1 t0 t1", { CLAIM_WON, CLAIM_HELD } },
	{ "done is kept", "q0 t0 d0 q1", { CLAIM_WON, CLAIM_HELD } },
	{ "sealed, tried again", "q0 s0 q1 t1", { CLAIM_GIVEN_UP, CLAIM_WON } },
	{ "sealed by another",
	  "q0 q1 s1 t0",
	  { CLAIM_GIVEN_UP, CLAIM_GIVEN_UP } },
	{ "no seal without a quorum", "q0 c1 c2 s0 w0", { CLAIM_DOUBT } },
	{ "a take that comes after the seal",
	  "q0 c0 t0 s0 m0 l0 q1 t1",
	  { CLAIM_GIVEN_UP, CLAIM_WON } },
	{ "won but never dispatched",
	  "q0 t0 s0 q1 t1",
	  { CLAIM_GIVEN_UP, CLAIM_WON } },
	{ "each holds one, both withdraw",
	  "q0 q1 c2 c1 t0 m1 c0 t1 m0 w0",
	  { CLAIM_GIVEN_UP, CLAIM_GIVEN_UP } },
	{ "a forgetful witness never counts",
	  "q0 c2 t0 r1 m2 q1 w0",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "two forgetful witnesses: closed",
	  "q0 t0 r1 r2 q1 w0",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "a witness that missed the seal is told again",
	  "q0 t0 c0 s0 m0 w0 c1 q1 t1",
	  { CLAIM_GIVEN_UP, CLAIM_WON } },
	{ "another body, running",
	  "b1 q0 t0 q1",
	  { CLAIM_WON, CLAIM_MISMATCH } },
	{ "a caller's attempt is not raised",
	  "f1 q0 s0 q1",
	  { CLAIM_GIVEN_UP, CLAIM_GIVEN_UP } },
	{ "a caller's next attempt",
	  "f0 q0 s0 n1 q1 t1",
	  { CLAIM_GIVEN_UP, CLAIM_WON } },
	{ "an old attempt after a newer one ran",
	  "n0 q0 t0 f1 q1",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "cannot be resumed, has won",
	  "q0 t0 q1 s1 w0",
	  { CLAIM_WON, CLAIM_DOUBT } },
	{ "cannot be resumed, never won",
	  "q0 c1 c2 t0 x0 m1 m2 q1 w0 s1 w0 q2 t2",
	  { CLAIM_FREE, CLAIM_GIVEN_UP, CLAIM_WON } },
	{ "a replayed take after all is over",
	  "q0 c2 t0 s0 m2 l2 q1 t1",
	  { CLAIM_GIVEN_UP, CLAIM_WON } },
	{ "another endpoint before the dispatch",
	  "q0 t0 t0 q1",
	  { CLAIM_WON, CLAIM_HELD } },
	{ "older than the retention",
	  "q0 t0 o0 q1",
	  { CLAIM_WON, CLAIM_EXPIRED } },
	{ "three forgetful witnesses: closed",
	  "q0 t0 r0 r1 r2 q1 w0",
	  { CLAIM_WON, CLAIM_NO_QUORUM } },
};

START_TEST(short_plays)
{
	play_t play;
	const char *step = plays[_i].steps;

	play_init(&play);
	for (; *step; step += step[2] ? 3 : 2)
		play_step(&play, step[0], step[1] - '0');
	for (int e = 0; e < ENTRIES; e++)
		ck_assert_msg(play.events[e] == plays[_i].want[e],
			      "%s: entry %d: event %d, want %d", plays[_i].name,
			      e, play.events[e], plays[_i].want[e]);
	play_finish(&play);
}
END_TEST

/*
 * Callers' own keys: five witnesses speak for the key, or abstain because it
 * may be older than their list, their process or their memory. The row gives
 * when the witness started, when it adopted the list, the key's age, all in
 * seconds before or after a time late in its life, and its answer to a take.
 */
static const struct {
	const char *name;
	int64_t started;
	int64_t adopted;
	int64_t age; /* -1: the key carries no birth */
	bool other_list;
	int answer;
} ages[] = {
	{ "here for long", -9000, -9000, 10, false, PIMENTO_OK },
	{ "started after the birth", -5, -5, 10, false, PIMENTO_ESTALE },
	{ "started before, within the margin", -12, -12, 10, false,
	  PIMENTO_ESTALE },
	{ "started before the margin", -30, -30, 10, false, PIMENTO_OK },
	{ "list adopted after the birth", -9000, -5, 10, false,
	  PIMENTO_ESTALE },
	{ "no birth, here for the retention", -3700, -3700, -1, false,
	  PIMENTO_OK },
	{ "no birth, here for less", -3500, -3500, -1, false, PIMENTO_ESTALE },
	{ "asked under another list", -9000, -9000, 10, true, PIMENTO_ESTALE },
	{ "past the retention", -9000, -9000, 3601, false, PIMENTO_EEXPIRED },
	{ "from the future", -9000, -9000, -6, false, PIMENTO_EEXPIRED },
	{ "a clock ahead within the bound", -9000, -9000, -4, false,
	  PIMENTO_OK },
};

static void make_list(hostlist_t *list, hostlist_host_t hosts[5],
		      pimento_id_t first)
{
	memset(hosts, 0, 5 * sizeof(*hosts));
	for (pimento_id_t i = 0; i < 5; i++)
		hosts[i].id = first + i;
	list->count = 5;
	list->hosts = hosts;
}

START_TEST(own_keys_by_age)
{
	pimento_usec_t now = 20000 * PIMENTO_SEC;
	witness_options_t options = {
		.incarnation = 3,
		.capacity = 4,
		.retention = RETENTION,
		.started = now + ages[_i].started * PIMENTO_SEC,
		.skew = SKEW,
	};
	message_claim_t question = { .op = CLAIM_TAKE,
				     .key = key,
				     .attempt = 1 };
	message_witness_t reply;
	hostlist_host_t hosts[5];
	hostlist_t list = { .revision = 1 };
	witness_set_t set;
	witness_t witness;
	int64_t birth;

	make_list(&list, hosts, 1);
	ck_assert_int_eq(witness_init(&witness, &options), 0);
	witness_view(&witness, now + ages[_i].adopted * PIMENTO_SEC, &list, 2);
	make_list(&list, hosts, ages[_i].other_list ? 2 : 1);
	ck_assert_int_eq(keyring_own("k", key, &list, &set, &birth), 0);
	question.view = set.view;
	question.age = ages[_i].age == -1 ? CLAIM_AGE_UNKNOWN
					  : ages[_i].age * PIMENTO_SEC;
	witness_receive(&witness, now, &question, &reply);
	ck_assert_msg(reply.answer == ages[_i].answer, "%s: %s", ages[_i].name,
		      pimento_strerror(reply.answer));
	witness_finish(&witness);
}
END_TEST

/*
 * More keys arrive than the witness may remember. A record that is live is
 * never thrown out for a new one, or its request could run again; the new key
 * is refused instead, and its refusal can still be made certain.
 */
START_TEST(full_table_refuses)
{
	witness_options_t options = { .incarnation = 3,
				      .capacity = 16,
				      .retention = RETENTION,
				      .skew = SKEW };
	message_claim_t question = { .op = CLAIM_TAKE,
				     .incarnation = 3,
				     .attempt = 1 };
	message_witness_t reply;
	witness_t witness;
	int taken = 0;

	ck_assert_int_eq(witness_init(&witness, &options), 0);
	for (uint64_t i = 1; i <= 32; i++) {
		question.key.lo = i;
		witness_receive(&witness, 0, &question, &reply);
		taken += reply.answer == PIMENTO_OK;
	}
	ck_assert_int_eq(taken, 14);
	ck_assert_int_eq(reply.answer, PIMENTO_EFULL);
	question.op = CLAIM_SEAL;
	witness_receive(&witness, 0, &question, &reply);
	ck_assert_int_eq(reply.answer, PIMENTO_OK);
	question.key.lo = 1;
	question.op = CLAIM_QUERY;
	witness_receive(&witness, 0, &question, &reply);
	ck_assert_uint_eq(reply.attempt, 1);
	/* After the retention there is room again. */
	witness_tick(&witness, 2 * RETENTION);
	ck_assert_uint_eq(witness.count, 0);
	witness_finish(&witness);
}
END_TEST

static const uint8_t secret[KEYRING_SECRET] = { 1, 2, 3 };

static const struct {
	const char *name;
	int at; /* character changed, -1 none, 0 the last one cut off */
	int result;
} issued_cases[] = {
	{ "genuine", -1, PIMENTO_OK },
	{ "a witness changed", 60, PIMENTO_EAUTH },
	{ "the birth changed", 10, PIMENTO_EAUTH },
	{ "the prefix changed", 1, PIMENTO_EPARSE },
	{ "cut off", 0, PIMENTO_EPARSE },
};

static char other(char c)
{
	return c == 'A' ? 'B' : 'A';
}

START_TEST(issued_keys)
{
	witness_set_t set = { .count = 3,
			      .quorum = 2,
			      .hosts = { 5, 6, 7 },
			      .incarnations = { 15, 16, 17 } };
	char text[KEYRING_TEXT_MAX];
	witness_set_t read;
	int64_t birth;
	int length = keyring_issue(secret, &set, 1234, 99, text);

	ck_assert_int_gt(length, 0);
	ck_assert(keyring_issued(text));
	if (issued_cases[_i].at == 0)
		text[length - 1] = 0;
	if (issued_cases[_i].at > 0)
		text[issued_cases[_i].at] = other(text[issued_cases[_i].at]);
	ck_assert_int_eq(keyring_read(secret, text, &read, &birth),
			 issued_cases[_i].result);
	if (issued_cases[_i].result)
		return;
	ck_assert_int_eq(birth, 1234);
	ck_assert_mem_eq(&read, &set, sizeof(set));
}
END_TEST

static const struct {
	const char *text;
	int64_t birth;
} births[] = {
	{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017f22e279b0 },
	{ "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 0x017f22e279b0 },
	{ "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", -1 },
	{ "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", -1 },
	{ "017f22e279b0-7cc3-98c4-dc0c0c07398f00", -1 },
	{ "order-4711", -1 },
};

START_TEST(own_keys_birth)
{
	hostlist_host_t hosts[5];
	hostlist_t list = { .revision = 1 };
	witness_set_t set;
	int64_t birth;

	make_list(&list, hosts, 1);
	ck_assert_int_eq(keyring_own(births[_i].text, key, &list, &set, &birth),
			 0);
	ck_assert_int_eq(birth, births[_i].birth);
	ck_assert_uint_eq(set.count, 5);
	ck_assert_uint_eq(set.quorum, 4);
	hosts[0].leaving = true;
	hosts[1].endpoint = true;
	list.count = 4;
	ck_assert_int_eq(keyring_own(births[_i].text, key, &list, &set, &birth),
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

	LOOP(tc, short_plays, plays);
	LOOP(tc, own_keys_by_age, ages);
	tcase_add_test(tc, full_table_refuses);
	LOOP(tc, issued_keys, issued_cases);
	LOOP(tc, own_keys_birth, births);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
