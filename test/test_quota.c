/*
 * An account's quota over several hosts in virtual time: a surge that comes
 * in everywhere at once, hosts that are killed and forget, and cuts.
 */

#include "quota.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum {
	HOSTS = 8,
	STEP_MS = 10, /* of virtual time */
	NOTE_MS = 100, /* between a host's words */
	DELAY_MS = 120, /* of a word, at most: a tick and the way */
	RUN_S = 30,
	WINDOW_S = 8,
	REQUEST_TOKENS = 3000,
	STEPS = RUN_S * 1000 / STEP_MS
};

#define ACCOUNT ((pimento_id_t)77)
#define WINDOW (WINDOW_S * PIMENTO_SEC)
/* What the operators tolerate beside rate * window + burst. */
#define OVERRUN 0.25
#define SLACK_TOKENS 140000

static const quota_limit_t rate = { .per_second = 200000, .burst = 200000 };

typedef struct host {
	quota_t quota;
	uint64_t incarnation;
	uint32_t side; /* of a cut */
} host_t;

static host_t hosts[HOSTS];
static double admitted[STEPS]; /* tokens of all hosts */

/* What happens on the way; times in seconds, 0: it does not. */
typedef struct story {
	const char *name;
	double asked; /* times the rate, over all hosts */
	double kill_all_at;
	double kill_one_at;
	double cut_at; /* two hosts from the six others */
	double cut_until;
	double least; /* part of rate * time that must be admitted */
} story_t;

static const story_t stories[] = {
	{ "steady at the rate", 0.95, 0, 0, 0, 0, 0.94 },
	{ "a surge of four times the rate", 4, 0, 0, 0, 0, 1.0 },
	{ "all killed in the surge", 4, 13, 0, 0, 0, 1.0 },
	{ "all killed soon after its start", 4, 1, 0, 0, 0, 1.0 },
	{ "one killed in the surge", 4, 0, 13, 0, 0, 1.0 },
	{ "cut in two in the surge", 4, 0, 0, 10, 20, 0.95 },
};

static void start(host_t *host, uint64_t incarnation, bool first)
{
	quota_init(&host->quota, WINDOW, first);
	host->quota.hear_every = NOTE_MS * PIMENTO_MSEC;
	host->incarnation = incarnation;
}

static void restart(host_t *host)
{
	quota_finish(&host->quota);
	start(host, host->incarnation + 1, false);
}

static bool is_at(double at_s, int step)
{
	return at_s > 0 && step == (int)(at_s * 1000 / STEP_MS);
}

static bool is_cut(const story_t *story, int step)
{
	double now = step * STEP_MS / 1000.0;

	return story->cut_at > 0 && now >= story->cut_at &&
	       now < story->cut_until;
}

static void exchange_words(const story_t *story, int step, pimento_usec_t now)
{
	for (uint32_t from = 0; from < HOSTS; from++) {
		quota_report_t word;

		if (!quota_reports(&hosts[from].quota, &word, 1, now))
			continue;
		for (uint32_t to = 0; to < HOSTS; to++) {
			if (to == from || (is_cut(story, step) &&
					   hosts[to].side != hosts[from].side))
				continue;
			ck_assert_int_eq(quota_receive(&hosts[to].quota,
						       from + 1,
						       hosts[from].incarnation,
						       &word, now),
					 0);
		}
	}
}

/* One host is heard by all others. */
static void exchange_words_of(uint32_t from, pimento_usec_t now)
{
	quota_report_t word;

	if (!quota_reports(&hosts[from].quota, &word, 1, now))
		return;
	for (uint32_t to = 0; to < HOSTS; to++)
		if (to != from)
			ck_assert_int_eq(quota_receive(&hosts[to].quota,
						       from + 1,
						       hosts[from].incarnation,
						       &word, now),
					 0);
}

/* Callers of one step, dealt out to the hosts in turn. */
static void ask(const story_t *story, int step, pimento_usec_t now)
{
	static double owed; /* tokens that callers have still to ask for */
	static uint32_t turn;

	if (step == 0)
		owed = 0;
	owed += story->asked * rate.per_second * STEP_MS / 1000.0;
	for (; owed >= REQUEST_TOKENS; owed -= REQUEST_TOKENS) {
		host_t *host = &hosts[turn++ % HOSTS];

		if (quota_admit(&host->quota, ACCOUNT, rate, 0, REQUEST_TOKENS,
				now) == 0)
			admitted[step] += REQUEST_TOKENS;
	}
}

static void play(const story_t *story)
{
	memset(admitted, 0, sizeof(admitted));
	for (uint32_t i = 0; i < HOSTS; i++) {
		start(&hosts[i], 1, true);
		hosts[i].side = i < 2;
	}
	for (int step = 0; step < STEPS; step++) {
		pimento_usec_t now =
			PIMENTO_SEC + step * STEP_MS * PIMENTO_MSEC;

		for (uint32_t i = 0; i < HOSTS; i++)
			if (is_at(story->kill_all_at, step))
				restart(&hosts[i]);
		if (is_at(story->kill_one_at, step))
			restart(&hosts[0]);
		ask(story, step, now);
		if (step % (DELAY_MS / STEP_MS) == 0)
			exchange_words(story, step, now);
	}
	for (uint32_t i = 0; i < HOSTS; i++)
		quota_finish(&hosts[i].quota);
}

static double most_in_a_window(void)
{
	const int window = WINDOW_S * 1000 / STEP_MS;
	double sum = 0;
	double most = 0;

	for (int step = 0; step < STEPS; step++) {
		sum += admitted[step];
		if (step >= window)
			sum -= admitted[step - window];
		if (sum > most)
			most = sum;
	}
	return most;
}

/*
 * One account sends several times what it may, at all hosts at once, while
 * hosts are killed and forget what they admitted, or cannot hear each other.
 * Other accounts would wait behind what it may not have; or, with too much
 * caution, the account would be refused what it is owed.
 */
START_TEST(no_window_holds_more_than_the_operators_tolerate)
{
	const story_t *story = &stories[_i];
	double most =
		(rate.per_second * WINDOW_S + rate.burst) * (1 + OVERRUN) +
		SLACK_TOKENS;
	double all = 0;

	play(story);
	for (int step = 0; step < STEPS; step++)
		all += admitted[step];
	ck_assert_msg(most_in_a_window() <= most, "%s: %.0f of %.0f",
		      story->name, most_in_a_window(), most);
	ck_assert_msg(all >= story->least * rate.per_second * RUN_S,
		      "%s: only %.0f", story->name, all);
}
END_TEST

/*
 * With many hosts each hears each other less than once a second. All are
 * killed together and start again, and none knows what was used. An account
 * that asks for several times what it may have must not get it twice; one
 * that asks for half must not be turned away for seconds, as it was when each
 * host took what others believe for more use, and views climbed one upon the
 * other.
 */
enum { MANY = 58, HEARD = 8, TICK_MS = 100, KILL_S = 12, MANY_S = 24 };

static const struct {
	const char *name;
	double asked; /* times the rate, over all hosts */
	double refused; /* part of what is asked after the kill, at most */
} restarts[] = {
	{ "half of the rate", 0.5, 0.05 },
	{ "nearly the rate", 0.9, 0.15 },
	{ "a surge of five times the rate", 5, 1 },
	{ "a surge of ten times the rate", 10, 1 },
};

static quota_t many[MANY];

static void start_many(bool first)
{
	for (uint32_t i = 0; i < MANY; i++) {
		quota_init(&many[i], WINDOW, first);
		many[i].hear_every =
			(1 + MANY / HEARD) * TICK_MS * PIMENTO_MSEC;
		many[i].hosts = MANY;
	}
}

static void finish_many(void)
{
	for (uint32_t i = 0; i < MANY; i++)
		quota_finish(&many[i]);
}

static void exchange_many(int ms, uint64_t incarnation, pimento_usec_t now)
{
	uint32_t turn = (uint32_t)(ms / TICK_MS) * HEARD;

	for (uint32_t from = 0; from < MANY; from++) {
		quota_report_t word;

		if (!quota_reports(&many[from], &word, 1, now))
			continue;
		for (uint32_t k = 1; k <= HEARD; k++)
			ck_assert_int_eq(
				quota_receive(&many[(from + turn + k) % MANY],
					      from + 1, incarnation, &word,
					      now),
				0);
	}
}

START_TEST(after_a_mass_restart_nobody_gets_more_or_less_than_is_owed)
{
	double most =
		(rate.per_second * WINDOW_S + rate.burst) * (1 + OVERRUN) +
		SLACK_TOKENS;
	uint32_t asked = 0;
	uint32_t refused = 0;
	uint32_t turn = 0;
	double owed = 0;

	memset(admitted, 0, sizeof(admitted));
	start_many(true);
	for (int step = 0; step < MANY_S * 1000 / STEP_MS; step++) {
		int ms = step * STEP_MS;
		pimento_usec_t now = PIMENTO_SEC + ms * PIMENTO_MSEC;
		bool killed = ms >= KILL_S * 1000;

		if (ms == KILL_S * 1000) {
			finish_many();
			start_many(false);
		}
		owed += restarts[_i].asked * rate.per_second * STEP_MS / 1000.0;
		for (; owed >= REQUEST_TOKENS; owed -= REQUEST_TOKENS) {
			int error =
				quota_admit(&many[turn++ * 7 % MANY], ACCOUNT,
					    rate, 0, REQUEST_TOKENS, now);

			asked += killed;
			refused += killed && error;
			if (!error)
				admitted[step] += REQUEST_TOKENS;
		}
		if (ms % TICK_MS == 0)
			exchange_many(ms, killed ? 2 : 1, now);
	}
	finish_many();
	ck_assert_msg(most_in_a_window() <= most, "%s: %.0f of %.0f",
		      restarts[_i].name, most_in_a_window(), most);
	ck_assert_msg(refused <= asked * restarts[_i].refused,
		      "%s: %u of %u refused", restarts[_i].name, refused,
		      asked);
}
END_TEST

/*
 * An account asks at many hosts for several times what it may have, for many
 * seconds. Each host hears of what the others admitted a second late. When
 * all admit until their views are full, the account gets three times its rate
 * in one second and nothing in the next two: its callers are turned away
 * although it has used two thirds of what it is owed, and the engines get its
 * requests in heaps.
 */
enum { SURGE_AT_S = 2, SETTLED_S = 6 };

static const struct {
	const char *name;
	double asked; /* times the rate, over all hosts */
	double least; /* part of the rate, in each second after the first few */
	double most;
} surges[] = {
	{ "half as much again", 1.5, 0.5, 1.6 },
	{ "five times the rate", 5, 0.5, 1.7 },
	{ "ten times the rate", 10, 0.5, 1.7 },
};

static double admitted_in_second(int second)
{
	double sum = 0;

	for (int i = 0; i < 1000 / STEP_MS; i++)
		sum += admitted[second * 1000 / STEP_MS + i];
	return sum;
}

START_TEST(a_surge_at_many_hosts_is_admitted_evenly)
{
	uint32_t turn = 0;
	double owed = 0;

	memset(admitted, 0, sizeof(admitted));
	start_many(true);
	for (int step = 0; step < MANY_S * 1000 / STEP_MS; step++) {
		int ms = step * STEP_MS;
		pimento_usec_t now = PIMENTO_SEC + ms * PIMENTO_MSEC;
		double asked = ms < SURGE_AT_S * 1000 ? 0.5 : surges[_i].asked;

		owed += asked * rate.per_second * STEP_MS / 1000.0;
		for (; owed >= REQUEST_TOKENS; owed -= REQUEST_TOKENS)
			if (!quota_admit(&many[turn++ * 7 % MANY], ACCOUNT,
					 rate, 0, REQUEST_TOKENS, now))
				admitted[step] += REQUEST_TOKENS;
		if (ms % TICK_MS == 0)
			exchange_many(ms, 1, now);
	}
	finish_many();
	for (int second = SETTLED_S; second < MANY_S; second++) {
		double part = admitted_in_second(second) / rate.per_second;

		ck_assert_msg(part >= surges[_i].least &&
				      part <= surges[_i].most,
			      "%s: %.2f of the rate in second %d",
			      surges[_i].name, part, second);
	}
}
END_TEST

/* Guards against a restarted host that counts all that was ever admitted. */
enum { RESTART_S = 20 };

static const struct {
	const char *name;
	double asked; /* times the rate, over all hosts */
	double most; /* that may be refused at the restarted host */
} rolling[] = {
	{ "a calm account", 0.5, 0 },
	{ "a scarce account", 2, 0.6 },
};

START_TEST(a_restarted_host_takes_over_what_is_used_now)
{
	uint32_t asked = 0;
	uint32_t refused = 0;
	double owed[HOSTS] = { 0 };

	for (uint32_t i = 0; i < HOSTS; i++)
		start(&hosts[i], 1, true);
	for (int step = 0; step < STEPS; step++) {
		pimento_usec_t now =
			PIMENTO_SEC + step * STEP_MS * PIMENTO_MSEC;

		if (step == RESTART_S * 1000 / STEP_MS)
			restart(&hosts[0]);
		for (uint32_t i = 0; i < HOSTS; i++) {
			owed[i] += rolling[_i].asked * rate.per_second / HOSTS *
				   STEP_MS / 1000.0;
			for (; owed[i] >= REQUEST_TOKENS;
			     owed[i] -= REQUEST_TOKENS) {
				bool counts =
					!i && step > RESTART_S * 1000 / STEP_MS;
				int error = quota_admit(&hosts[i].quota,
							ACCOUNT, rate, 0,
							REQUEST_TOKENS, now);

				asked += counts;
				refused += counts && error;
			}
		}
		/* one host after the other is heard */
		if (step % 3 == 0)
			exchange_words_of((uint32_t)(step / 3) % HOSTS, now);
	}
	for (uint32_t i = 0; i < HOSTS; i++)
		quota_finish(&hosts[i].quota);
	ck_assert_msg(refused <= rolling[_i].most * asked, "%s: %u of %u",
		      rolling[_i].name, refused, asked);
}
END_TEST

/*
 * What an account asks for by rank, in times its rate, and the part of each
 * that is admitted: at least, and of the least urgent at most.
 */
enum { RANKS = 3, SMALL_TOKENS = 100 };

static const struct {
	const char *name;
	double asked[RANKS];
	double least; /* of what rank 0 asks */
	double most; /* of what the last rank asks */
} ranked[] = {
	{ "the urgent alone fit", { 0.7, 1.4, 1.4 }, 0.9, 0.25 },
	{ "the urgent alone are too many", { 2, 2, 2 }, 0.4, 0.1 },
	{ "all fit", { 0.3, 0.3, 0.3 }, 0.99, 1 },
};

static bool admit_ranked(uint32_t rank, double tokens, pimento_usec_t now)
{
	static uint32_t turn;
	host_t *host = &hosts[turn++ % HOSTS];

	return !quota_admit(&host->quota, ACCOUNT, rate, rank, tokens, now);
}

/*
 * Guards against urgent work refused while its account's other work is
 * served.
 */
START_TEST(a_scarce_account_admits_its_urgent_requests_first)
{
	const story_t calm = { 0 };
	double owed[RANKS] = { 0 };
	double asked[RANKS] = { 0 };
	double given[RANKS] = { 0 };
	uint32_t small = 0;

	for (uint32_t i = 0; i < HOSTS; i++)
		start(&hosts[i], 1, true);
	for (int step = 0; step < STEPS; step++) {
		pimento_usec_t now =
			PIMENTO_SEC + step * STEP_MS * PIMENTO_MSEC;

		for (uint32_t rank = 0; rank < RANKS; rank++) {
			owed[rank] += ranked[_i].asked[rank] * rate.per_second *
				      STEP_MS / 1000.0;
			for (; owed[rank] >= REQUEST_TOKENS;
			     owed[rank] -= REQUEST_TOKENS) {
				asked[rank] += REQUEST_TOKENS;
				if (admit_ranked(rank, REQUEST_TOKENS, now))
					given[rank] += REQUEST_TOKENS;
			}
		}
		small += admit_ranked(RANKS - 1, SMALL_TOKENS, now);
		if (step % (DELAY_MS / STEP_MS) == 0)
			exchange_words(&calm, step, now);
	}
	for (uint32_t i = 0; i < HOSTS; i++)
		quota_finish(&hosts[i].quota);
	ck_assert_msg(given[0] >= ranked[_i].least * asked[0], "%s: %.2f",
		      ranked[_i].name, given[0] / asked[0]);
	ck_assert_msg(given[RANKS - 1] <= ranked[_i].most * asked[RANKS - 1],
		      "%s: %.2f", ranked[_i].name,
		      given[RANKS - 1] / asked[RANKS - 1]);
	/* refusing what is tiny would save nothing */
	ck_assert_msg(small > STEPS / 4, "%s: %u", ranked[_i].name, small);
}
END_TEST

START_TEST(a_refund_gives_the_room_back)
{
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, rate, 0, 200000, PIMENTO_SEC), 0);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, rate, 0, 200000, PIMENTO_SEC),
		PIMENTO_EFULL);
	ck_assert_int_gt(quota_retry_after(&quota, ACCOUNT, rate, 200000), 0);
	quota_refund(&quota, ACCOUNT, 200000);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, rate, 0, 200000, PIMENTO_SEC), 0);
	quota_finish(&quota);
}
END_TEST

START_TEST(one_request_beyond_the_burst_waits_for_an_empty_bucket)
{
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	ck_assert_int_eq(
		quota_admit(&quota, ACCOUNT, rate, 0, 900000, PIMENTO_SEC), 0);
	ck_assert_int_eq(quota_admit(&quota, ACCOUNT, rate, 0, 1, PIMENTO_SEC),
			 PIMENTO_EFULL);
	quota_finish(&quota);
}
END_TEST

START_TEST(without_a_rate_there_is_no_limit)
{
	const quota_limit_t none = { 0, 0 };
	quota_t quota;

	quota_init(&quota, WINDOW, true);
	for (int i = 0; i < 100; i++)
		ck_assert_int_eq(
			quota_admit(&quota, ACCOUNT, none, 0, 1e9, PIMENTO_SEC),
			0);
	quota_finish(&quota);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tests,
			    no_window_holds_more_than_the_operators_tolerate, 0,
			    sizeof(stories) / sizeof(stories[0]));
	tcase_add_loop_test(
		tests,
		after_a_mass_restart_nobody_gets_more_or_less_than_is_owed, 0,
		sizeof(restarts) / sizeof(restarts[0]));
	tcase_add_loop_test(tests, a_surge_at_many_hosts_is_admitted_evenly, 0,
			    sizeof(surges) / sizeof(surges[0]));
	tcase_add_loop_test(tests, a_restarted_host_takes_over_what_is_used_now,
			    0, sizeof(rolling) / sizeof(rolling[0]));
	tcase_add_loop_test(tests,
			    a_scarce_account_admits_its_urgent_requests_first,
			    0, sizeof(ranked) / sizeof(ranked[0]));
	tcase_add_test(tests, a_refund_gives_the_room_back);
	tcase_add_test(tests,
		       one_request_beyond_the_burst_waits_for_an_empty_bucket);
	tcase_add_test(tests, without_a_rate_there_is_no_limit);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
