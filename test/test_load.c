/* The load tool's verdict: good loads pass, and what it exists to find fails. */

#include "ask.h"
#include "fleet.h"

#include <stdio.h>

#define LOAD_MS 60000

static process_t engine;
static process_t service;

static void start_endpoints(void)
{
	static const char *const fast[] = { "--decode", "5000", "--prefill",
					    "1000000", NULL };

	ask_start(&engine, "engine", fast);
	ask_start(&service, "service", NULL);
}

static void stop_endpoints(void)
{
	ask_stop(&engine);
	ask_stop(&service);
}

static int run_load(const char *mix)
{
	process_t load;
	char engines[32];
	char services[32];
	const char *args[] = { "--direct", "--mix",	 mix,	   "--engines",
			       engines,	   "--services", services, "--requests",
			       "60",	   NULL };

	snprintf(engines, sizeof(engines), "127.0.0.1:%u", engine.port);
	snprintf(services, sizeof(services), "127.0.0.1:%u", service.port);
	ck_assert_int_eq(process_start(&load, "load", "load", args), 0);
	return process_wait(&load, LOAD_MS);
}

static const char *const mixes[] = { "qurum", "druckstube",
				     "bench/short.json" };

START_TEST(good_loads_pass)
{
	start_endpoints();
	ck_assert_int_eq(run_load(mixes[_i]), 0);
	stop_endpoints();
}
END_TEST

static const char *const moments[] = { "before", "during", "after" };

/* An answer broke off; a load that overlooked it would prove nothing. */
START_TEST(an_answer_that_is_not_whole_fails)
{
	char control[64];

	start_endpoints();
	snprintf(control, sizeof(control), "{\"when\":\"%s\",\"count\":1}",
		 moments[_i]);
	ck_assert_int_eq(fleet_control(engine.port, "/control/close", control),
			 0);
	ck_assert_int_eq(run_load("bench/short.json"), 1);
	stop_endpoints();
}
END_TEST

/* One request id reached the endpoint twice before or during the load. */
START_TEST(a_second_run_fails)
{
	uint16_t port;

	start_endpoints();
	port = _i ? service.port : engine.port;
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(ask_status(port, "POST", "/v1/completions",
					    "{\"prompt\":\"a\"}"),
				 200);
	ck_assert_int_eq(run_load("bench/short.json"), 1);
	stop_endpoints();
}
END_TEST

static const char *const wrong[][3] = {
	{ NULL },
	{ "--entries", "10.0.0.1:80", NULL },
	{ "--entries", "127.0.0.1:0", NULL },
	{ "--entries", "127.0.0.1:70000", NULL },
	{ "--requests", "-1", NULL },
	{ "--nonsense", NULL },
	{ "--direct", NULL },
};

START_TEST(wrong_arguments_are_refused)
{
	process_t load;

	ck_assert_int_eq(process_start(&load, "load", "load", wrong[_i]), 0);
	ck_assert_int_eq(process_wait(&load, LOAD_MS), 2);
}
END_TEST

#define CASES(table) (int)(sizeof(table) / sizeof((table)[0]))

int main(void)
{
	Suite *suite = suite_create("load");
	TCase *tc = tcase_create("load");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, good_loads_pass, 0, CASES(mixes));
	tcase_add_loop_test(tc, an_answer_that_is_not_whole_fails, 0,
			    CASES(moments));
	tcase_add_loop_test(tc, a_second_run_fails, 0, 2);
	tcase_add_loop_test(tc, wrong_arguments_are_refused, 0, CASES(wrong));
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
