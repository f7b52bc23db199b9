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

int main(void)
{
	Suite *suite = suite_create("claim");
	TCase *tc = tcase_create("claim");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, short_plays, 0,
			    sizeof(plays) / sizeof(plays[0]));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
