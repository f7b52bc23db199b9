/*
 * Simulates, in virtual time, an account's quota across a fleet whose hosts are
 * all killed at once, restart, and rediscover each other through seeds.
 */

#include "roster.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum {
	HOSTS_MAX = 87,
	SEEDS = 3,
	TARGETS = 8, /* hosts that each host sends a note to per tick */
	TICK_MS = 100,
	STEP_MS = 10,
	KILL_S = 12,
	RUN_S = 24,
	DOWN_MS = 1000, /* from the kill to the first restart */
	RESTART_SPREAD_MS = 300, /* from the first restart to the last */
	WINDOW_S = 8,
	REQUEST_TOKENS = 3000,
	STEPS = RUN_S * 1000 / STEP_MS
};

#define CLOCK_START (1000 * PIMENTO_SEC)
#define ACCOUNT ((pimento_id_t)77)
#define WINDOW (WINDOW_S * PIMENTO_SEC)
/* Tolerances above rate * window + burst: relative and absolute. */
#define OVERRUN_PART 0.25
#define SLACK_TOKENS 140000

static const quota_limit_t rate = { .per_second = 200000, .burst = 200000 };

typedef struct host {
	roster_t roster;
	quota_t quota;
	uint64_t incarnation;
	uint32_t waiting; /* requests to submit once the host is up */
	bool up;
} host_t;

static host_t hosts[HOSTS_MAX];
static double admitted[STEPS]; /* tokens admitted by all hosts in each step */

static const struct {
	const char *name;
	uint32_t hosts;
	double load; /* tokens requested of all hosts, in multiples of the rate */
	double refused_most; /* part of the requests after the kill */
	double admitted_least; /* part of rate * time after the kill */
} cases[] = {
	{ "half the rate at 87 hosts", 87, 0.5, 0.05, 0.45 },
	{ "0.9 times the rate at 87 hosts", 87, 0.9, 0.15, 0.75 },
	{ "7.5 times the rate at 58 hosts", 58, 7.5, 1, 0.9 },
	{ "7.5 times the rate at 87 hosts", 87, 7.5, 1, 0.9 },
};

static void start(uint32_t index, uint32_t count, bool first,
		  pimento_usec_t now)
{
	host_t *host = &hosts[index];

	roster_init(&host->roster, index + 1);
	for (uint32_t i = 0; i < SEEDS; i++)
		roster_add(&host->roster, i * count / SEEDS + 1, true, now);
	quota_init(&host->quota, WINDOW, first);
	host->quota.discovering = true;
	host->incarnation++;
	host->up = true;
}

static void stop(uint32_t index)
{
	if (!hosts[index].up)
		return;
	roster_finish(&hosts[index].roster);
	quota_finish(&hosts[index].quota);
	hosts[index].up = false;
}

static void deliver_note(host_t *to, const roster_note_t *note,
			 pimento_usec_t now)
{
	pimento_usec_t fresh[MIRROR_KIND_COUNT];

	if (!to->up || !roster_receive(&to->roster, note, now, fresh))
		return;
	for (uint32_t i = 0; i < note->use_count; i++)
		ck_assert_int_eq(quota_receive(&to->quota, note->address,
					       note->incarnation,
					       &note->uses[i], now),
				 0);
}

static void send_notes(uint32_t index, pimento_usec_t now)
{
	host_t *host = &hosts[index];
	roster_note_t note = { .address = index + 1,
			       .incarnation = host->incarnation,
			       .stamp = now };
	roster_peer_t *targets[TARGETS];
	uint32_t count;

	host->quota.hear_every =
		TICK_MS * PIMENTO_MSEC * (1 + host->roster.count / TARGETS);
	host->quota.hosts = roster_hosts(&host->roster, now);
	host->quota.discovering = roster_is_discovering(&host->roster, now);
	note.use_count =
		quota_reports(&host->quota, note.uses, ROSTER_USES_MAX, now);
	roster_members(&host->roster, now, &note);
	count = roster_targets(&host->roster, now, TARGETS, targets);
	for (uint32_t i = 0; i < count; i++)
		deliver_note(&hosts[targets[i]->address - 1], &note, now);
}

/* When a host restarts after the kill, in milliseconds of the run. */
static int restart_ms(uint32_t index, uint32_t count)
{
	return KILL_S * 1000 + DOWN_MS +
	       (int)(index * 7 % count) * RESTART_SPREAD_MS / (int)count;
}

static void kill_and_restart(uint32_t count, int ms, pimento_usec_t now)
{
	for (uint32_t i = 0; i < count; i++) {
		if (ms == KILL_S * 1000)
			stop(i);
		else if (!hosts[i].up && ms >= restart_ms(i, count))
			start(i, count, false, now);
	}
}

/* The most tokens that all hosts admitted within any window of the run. */
static double max_tokens_in_window(void)
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

/* Submits count requests and returns how many the host admits. */
static uint32_t admit(host_t *host, uint32_t count, pimento_usec_t now)
{
	uint32_t accepted = 0;

	for (uint32_t i = 0; i < count; i++)
		accepted += quota_admit(&host->quota, ACCOUNT, rate, 0,
					REQUEST_TOKENS, now) == 0;
	return accepted;
}

/* Guards against overuse by restarted hosts that know only some peers. */
START_TEST(a_restarted_fleet_keeps_the_quota_during_discovery)
{
	const uint32_t count = cases[_i].hosts;
	const double most =
		(rate.per_second * WINDOW_S + rate.burst) * (1 + OVERRUN_PART) +
		SLACK_TOKENS;
	const double least =
		cases[_i].admitted_least * rate.per_second * (RUN_S - KILL_S);
	double admitted_after = 0;
	uint32_t asked = 0;
	uint32_t refused = 0;
	uint32_t next_host = 0;
	double due_tokens = 0;

	memset(admitted, 0, sizeof(admitted));
	for (uint32_t i = 0; i < count; i++)
		start(i, count, true, CLOCK_START);
	for (int step = 0; step < STEPS; step++) {
		int ms = step * STEP_MS;
		pimento_usec_t now = CLOCK_START + ms * PIMENTO_MSEC;

		kill_and_restart(count, ms, now);
		due_tokens +=
			cases[_i].load * rate.per_second * STEP_MS / 1000.0;
		for (; due_tokens >= REQUEST_TOKENS;
		     due_tokens -= REQUEST_TOKENS)
			hosts[next_host++ * 7 % count].waiting++;
		for (uint32_t i = 0; i < count; i++) {
			uint32_t submitted = hosts[i].up ? hosts[i].waiting : 0;
			uint32_t accepted = admit(&hosts[i], submitted, now);

			hosts[i].waiting -= submitted;
			admitted[step] += accepted * (double)REQUEST_TOKENS;
			if (ms < KILL_S * 1000)
				continue;
			admitted_after += accepted * (double)REQUEST_TOKENS;
			asked += submitted;
			refused += submitted - accepted;
		}
		for (uint32_t i = 0; i < count; i++)
			if (hosts[i].up && (ms + (int)i) % TICK_MS < STEP_MS)
				send_notes(i, now);
	}
	for (uint32_t i = 0; i < count; i++)
		stop(i);
	ck_assert_msg(max_tokens_in_window() <= most,
		      "%s: admitted %.0f tokens in a window, limit %.0f",
		      cases[_i].name, max_tokens_in_window(), most);
	ck_assert_msg(
		admitted_after >= least,
		"%s: admitted %.0f tokens after the kill, expected at least %.0f",
		cases[_i].name, admitted_after, least);
	ck_assert_msg(refused <= asked * cases[_i].refused_most,
		      "%s: %u of %u requests refused", cases[_i].name, refused,
		      asked);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota_fleet");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests,
			    a_restarted_fleet_keeps_the_quota_during_discovery,
			    0, sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
