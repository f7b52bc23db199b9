/*
 * How long a change takes from its publishing until it is in force on every
 * daemon, and how often the platform is called for it. Prints the figures that
 * docs/OPERATING.md quotes; the checks are the promises: seconds, and a number
 * of calls that does not grow with the fleet.
 */

#include "watch.h"

#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#define HOSTS 8
#define CHANGES 60
#define FROZEN (HOSTS - 1)
#define FREEZE_AT 20
#define THAW_AT 30
#define POLL_MS 5
#define IN_FORCE_MS 5000
#define QUIET_S 40
#define CALLS_PER_S 2

static fleet_t fleet;
static atomic_bool stopping;
/* When a host was first seen with a revision or a later one. */
static atomic_llong seen[HOSTS][CHANGES + 2];

static void *run_observer(void *data)
{
	int host = *(const int *)data;
	int64_t known = 0;

	while (!stopping) {
		int64_t revision = watch_number(fleet.http_port[host], "config",
						"revision");

		while (known < revision && known <= CHANGES)
			seen[host][++known] = process_now_ms();
		process_sleep_ms(POLL_MS);
	}
	return NULL;
}

static void wait_seen(int host, uint64_t revision)
{
	int64_t until = process_now_ms() + IN_FORCE_MS;

	while (!seen[host][revision]) {
		ck_assert_msg(process_now_ms() < until,
			      "revision %llu not in force on host %d",
			      (unsigned long long)revision, host);
		process_sleep_ms(1);
	}
}

static int compare(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/* Publishes one change; its spans go into the list, which grows. */
static uint32_t change(int64_t spans[], uint32_t count, bool frozen)
{
	int64_t begun = process_now_ms();
	uint64_t revision = fleet_publish_config(&fleet, NULL);
	int hosts = frozen ? FROZEN : HOSTS;

	ck_assert_uint_le(revision, CHANGES + 1);
	for (int i = 0; i < hosts; i++) {
		wait_seen(i, revision);
		spans[count++] = seen[i][revision] - begun;
	}
	process_sleep_ms(50);
	return count;
}

/* Milliseconds from the wake until the newest revision is in force. */
static int64_t thaw(uint64_t newest)
{
	int64_t begun = process_now_ms();

	process_thaw(&fleet.host[FROZEN]);
	wait_seen(FROZEN, newest);
	return seen[FROZEN][newest] - begun;
}

static void print_quiet_calls(void)
{
	int64_t calls = watch_platform_calls(&fleet);

	process_sleep_ms(QUIET_S * 1000);
	calls = watch_platform_calls(&fleet) - calls;
	printf("platform: %lld calls in %d s without a change, %.2f a second\n",
	       (long long)calls, QUIET_S, (double)calls / QUIET_S);
	ck_assert_int_le(calls, QUIET_S * CALLS_PER_S);
}

/*
 * Operators publish one change after the other, while one daemon stands still
 * for some of them. A daemon that lags behind serves callers under rules that
 * were replaced; it must be a matter of seconds everywhere.
 */
START_TEST(changes_come_in_force)
{
	fleet_options_t options = { .hosts = HOSTS, .engines = 1 };
	static int64_t spans[CHANGES * HOSTS];
	pthread_t observers[HOSTS];
	int numbers[HOSTS];
	uint32_t count = 0;
	int64_t calls;

	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
	for (int i = 0; i < HOSTS; i++) {
		numbers[i] = i;
		pthread_create(&observers[i], NULL, run_observer, &numbers[i]);
	}
	calls = watch_platform_calls(&fleet);
	for (int i = 0; i < CHANGES; i++) {
		if (i == FREEZE_AT)
			process_freeze(&fleet.host[FROZEN]);
		if (i == THAW_AT)
			printf("frozen daemon: %lld ms from its wake to the "
			       "newest of %d changes\n",
			       (long long)thaw(THAW_AT + 1),
			       THAW_AT - FREEZE_AT);
		count = change(spans, count, i >= FREEZE_AT && i < THAW_AT);
	}
	calls = watch_platform_calls(&fleet) - calls;
	stopping = true;
	for (int i = 0; i < HOSTS; i++)
		pthread_join(observers[i], NULL);
	qsort(spans, count, sizeof(spans[0]), compare);
	printf("in force: %d changes, %d daemons: p50 %lld ms, p99 %lld ms, "
	       "max %lld ms; %.1f platform calls a change\n",
	       CHANGES, HOSTS, (long long)spans[count / 2],
	       (long long)spans[count * 99 / 100], (long long)spans[count - 1],
	       (double)calls / CHANGES);
	print_quiet_calls();
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("in_force");
	TCase *tc = tcase_create("in_force");

	tcase_set_timeout(tc, 200);
	tcase_add_test(tc, changes_come_in_force);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
