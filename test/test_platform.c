/*
 * What callers and operators must be able to rely on while the platform is
 * down, slow, stale or wrong: real daemons and signals, a platform that
 * misbehaves on command.
 */

#include "background.h"
#include "watch.h"

#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define HOSTS 3
#define CALLERS 8
#define IN_FORCE_MS 5000
/* The longest back-off, and a watch that passes over a wild revision. */
#define RETURN_MS 35000
/* The slow direct read of a host that does not watch. */
#define BACKSTOP_MS 45000
/* Calls a second that a host may make while the platform is out of order. */
#define CALLS_PER_HOST 4
#define GUEST_KEY "guest-api-key"

static fleet_t fleet;

static void start(int hosts, const char *config_more)
{
	fleet_options_t options = { .hosts = hosts,
				    .engines = 1,
				    .config_more = config_more };

	ck_assert_int_eq(fleet_start(&fleet, &options), 0);
}

static void stop(void)
{
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}

static void check_served(int host)
{
	static const char body[] = "{\"model\":\"planner\",\"prompt\":\"box\","
				   "\"max_tokens\":4}";
	client_call_t call = fleet_completion(fleet.http_port[host], body);
	client_reply_t reply;

	client_call(&reply, &call);
	ck_assert_msg(reply.status == 200, "host %d: %ld %s", host,
		      reply.status, reply.body);
	client_reply_finish(&reply);
}

static void serve_for(int ms)
{
	int64_t until = process_now_ms() + ms;

	for (int i = 0; process_now_ms() < until; i++) {
		check_served(i % fleet.options.hosts);
		process_sleep_ms(20);
	}
}

/* The newest valid text in force everywhere; returns its revision. */
static uint64_t publish(int timeout_ms)
{
	uint64_t revision = fleet_publish_config(&fleet, NULL);

	ck_assert_uint_ne(revision, 0);
	ck_assert_msg(watch_wait_config(&fleet, revision, timeout_ms) == 0,
		      "revision %llu not in force everywhere",
		      (unsigned long long)revision);
	return revision;
}

static void check_revision(uint64_t revision)
{
	for (int i = 0; i < fleet.options.hosts; i++)
		ck_assert_int_eq(
			watch_number(fleet.http_port[i], "config", "revision"),
			(int64_t)revision);
}

static const char *const modes[] = { "silent", "error", "stale", "rubbish",
				     "wild" };

/*
 * The platform stops answering properly for the night, in one of several ways.
 * Callers notice nothing; a daemon that is replaced meanwhile learns from its
 * peers what the others have and serves; no revision goes down, and the
 * platform is not called more often than it can bear. Once it answers again,
 * the next configuration comes in force.
 */
START_TEST(platform_out_of_order)
{
	uint64_t revision;
	int64_t calls;

	start(HOSTS, NULL);
	revision = publish(IN_FORCE_MS);
	ck_assert_int_eq(watch_platform_mode(&fleet, modes[_i]), 0);
	calls = watch_platform_calls(&fleet);
	serve_for(4000);
	calls = watch_platform_calls(&fleet) - calls;
	ck_assert_msg(calls <= 4 * CALLS_PER_HOST * HOSTS,
		      "%s: %lld calls in 4 s", modes[_i], (long long)calls);
	process_kill(&fleet.host[1]);
	ck_assert_int_eq(fleet_start_host(&fleet, 1), 0);
	check_revision(revision);
	check_served(1);
	ck_assert_int_eq(watch_platform_mode(&fleet, "ok"), 0);
	publish(RETURN_MS);
	serve_for(200);
	stop();
}
END_TEST

/*
 * The platform's process dies and comes back with what it had long ago, so it
 * numbers from the beginning. The daemons hold newer revisions and must keep
 * them until the platform has passed them; callers notice nothing.
 */
START_TEST(platform_restarted_with_old_revisions)
{
	char port[8];
	const char *args[] = { "--name", "platform-0", "--port", port, NULL };
	uint64_t revision;
	int64_t switches;

	start(HOSTS, NULL);
	publish(IN_FORCE_MS);
	revision = publish(IN_FORCE_MS);
	switches = watch_metric(fleet.http_port[0], "config_switches_total");
	snprintf(port, sizeof(port), "%u", fleet.platform[0].port);
	process_kill(&fleet.platform[0]);
	serve_for(1500);
	process_kill(&fleet.host[2]);
	ck_assert_int_eq(fleet_start_host(&fleet, 2), 0);
	ck_assert_int_eq(process_start(&fleet.platform[0], "platform-0",
				       "platform", args),
			 0);
	ck_assert_int_eq(process_wait_listening(&fleet.platform[0], 10000), 0);
	for (uint64_t old = 1; old < revision; old++) {
		ck_assert_uint_eq(fleet_publish_config(&fleet, NULL), old);
		serve_for(500);
		check_revision(revision);
	}
	ck_assert_int_eq(
		watch_metric(fleet.http_port[0], "config_switches_total"),
		switches);
	ck_assert_uint_eq(fleet_publish_config(&fleet, NULL), revision);
	publish(RETURN_MS);
	serve_for(200);
	stop();
}
END_TEST

/*
 * The platform fails and answers in turn, several times a second. Each success
 * invites the daemons to ask at once; callers are served all the while, and
 * the platform's calls stay bounded.
 */
START_TEST(platform_flaps)
{
	int64_t calls;

	start(HOSTS, NULL);
	calls = watch_platform_calls(&fleet);
	for (int i = 0; i < 20; i++) {
		ck_assert_int_eq(
			watch_platform_mode(&fleet, i % 2 ? "ok" : "error"), 0);
		serve_for(250);
	}
	calls = watch_platform_calls(&fleet) - calls;
	ck_assert_msg(calls <= 5 * CALLS_PER_HOST * HOSTS, "%lld calls in 5 s",
		      (long long)calls);
	publish(RETURN_MS);
	stop();
}
END_TEST

/*
 * A configuration with a mistake is published. Every host judges it by itself
 * and refuses it whole; the operators see in the status, the metrics and the
 * log which revision was refused, and callers are served under the last one.
 */
START_TEST(invalid_configuration_is_refused_everywhere)
{
	static const char mistake[] = "[[tier]]\nname = \"charge\"\n";
	uint64_t before;
	uint64_t refused;

	start(HOSTS, NULL);
	before = publish(IN_FORCE_MS);
	refused = fleet_publish_config(&fleet, mistake);
	for (int i = 0; i < HOSTS; i++) {
		uint16_t port = fleet.http_port[i];

		ck_assert_int_eq(watch_wait(port, "config", "refused_revision",
					    (int64_t)refused, BACKSTOP_MS),
				 0);
		ck_assert_int_eq(watch_metric(port, "config_refused_revision"),
				 (int64_t)refused);
		ck_assert(process_logged(
			&fleet.host[i],
			"revision 3 refused, the last one stays in force"));
		check_served(i);
	}
	check_revision(before);
	publish(IN_FORCE_MS);
	stop();
}
END_TEST

static const char *guest_account(void)
{
	static char text[256];
	unsigned char hash[32];
	char hex[65];

	ck_assert_int_ge(sodium_init(), 0);
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)GUEST_KEY,
			   strlen(GUEST_KEY), NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	snprintf(text, sizeof(text),
		 "[[account]]\nname = \"guest\"\nkey_hash = \"%s\"\n"
		 "weight = 1\n",
		 hex);
	return text;
}

static client_call_t guest_call(int host)
{
	static const char body[] = "{\"model\":\"planner\",\"prompt\":\"box\","
				   "\"max_tokens\":4}";
	client_call_t call = fleet_completion(fleet.http_port[host], body);

	call.headers[0].value = "Bearer " GUEST_KEY;
	return call;
}

static void check_not_served(const client_reply_t *reply)
{
	ck_assert_msg(reply->status == 401 || reply->status == 503, "%ld %s",
		      reply->status, reply->body);
	ck_assert_str_eq(reply->verdict, "not-run");
}

/*
 * A daemon stands still while an account is taken out of the configuration,
 * and wakes with that account's requests in its sockets. Until it has
 * refreshed what it holds it may serve nothing under the old configuration:
 * the caller is told "not run", or refused under the new one.
 */
START_TEST(woken_daemon_serves_nothing_under_the_old_configuration)
{
	background_t callers[CALLERS];
	client_call_t call;
	uint64_t revision;

	start(HOSTS, guest_account());
	call = guest_call(0);
	process_freeze(&fleet.host[0]);
	revision = fleet_publish_config(&fleet, NULL);
	for (int i = 1; i < HOSTS; i++)
		ck_assert_int_eq(watch_wait(fleet.http_port[i], "config",
					    "revision", (int64_t)revision,
					    IN_FORCE_MS),
				 0);
	process_sleep_ms(2500);
	for (int i = 0; i < CALLERS; i++)
		background_start(&callers[i], &call);
	process_sleep_ms(200);
	process_thaw(&fleet.host[0]);
	for (int i = 0; i < 4 * CALLERS; i++) {
		client_reply_t reply;

		client_call(&reply, &call);
		check_not_served(&reply);
		client_reply_finish(&reply);
	}
	for (int i = 0; i < CALLERS; i++) {
		check_not_served(background_wait(&callers[i]));
		client_reply_finish(&callers[i].reply);
	}
	ck_assert_int_eq(watch_started(fleet.engine[0].port), 0);
	ck_assert_int_eq(watch_wait(fleet.http_port[0], "config", "revision",
				    (int64_t)revision, IN_FORCE_MS),
			 0);
	ck_assert_int_eq(process_wait_health(fleet.http_port[0], IN_FORCE_MS),
			 0);
	check_served(0);
	stop();
}
END_TEST

/*
 * After a long outage every daemon is waiting to ask again. If all did so at
 * once when the platform returns, a fleet would bring it down anew; so the
 * calls come spread out, and few in all.
 */
START_TEST(no_stampede_when_the_platform_returns)
{
	int64_t before;
	int64_t most = 0;
	int64_t all;

	start(FLEET_HOSTS_MAX, NULL);
	ck_assert_int_eq(watch_platform_mode(&fleet, "error"), 0);
	process_sleep_ms(20000);
	ck_assert_int_eq(watch_platform_mode(&fleet, "ok"), 0);
	all = watch_platform_calls(&fleet);
	before = all;
	for (int i = 0; i < 48; i++) {
		int64_t now;

		process_sleep_ms(250);
		now = watch_platform_calls(&fleet);
		most = now - before > most ? now - before : most;
		before = now;
	}
	all = before - all;
	printf("stampede: %lld calls in 12 s after the return, "
	       "at most %lld in 250 ms\n",
	       (long long)all, (long long)most);
	ck_assert_int_le(all, 3 * FLEET_HOSTS_MAX);
	ck_assert_int_le(most, FLEET_HOSTS_MAX);
	stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("platform");
	TCase *tc = tcase_create("platform");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, platform_out_of_order, 0,
			    sizeof(modes) / sizeof(modes[0]));
	tcase_add_test(tc, platform_restarted_with_old_revisions);
	tcase_add_test(tc, platform_flaps);
	tcase_add_test(tc, invalid_configuration_is_refused_everywhere);
	tcase_add_test(tc,
		       woken_daemon_serves_nothing_under_the_old_configuration);
	tcase_add_test(tc, no_stampede_when_the_platform_returns);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
