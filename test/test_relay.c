/* The relay that makes network faults for other tests. */

#include "ask.h"
#include "relay.h"

static process_t service;

static void start_service(void)
{
	ask_start(&service, "service", NULL);
}

START_TEST(relay_passes_everything)
{
	static relay_t relay;

	start_service();
	ck_assert_int_eq(relay_init(&relay, service.port), 0);
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(
			ask_status(relay.port, "POST", "/orders", "{}"), 200);
	relay_finish(&relay);
	ask_stop(&service);
}
END_TEST

static const struct {
	int directions;
	int runs; /* while cut */
} cut_cases[] = {
	{ RELAY_BOTH, 0 },
	{ RELAY_TO, 0 },
	{ RELAY_FROM, 1 },
};

/*
 * A partition says nothing: bytes just stop arriving, in one direction or
 * both. A request sent into it runs or not without its caller knowing, and
 * what was under way arrives late, when the partition ends.
 */
START_TEST(relay_cuts_silently)
{
	static relay_t relay;
	client_call_t call = { .method = "POST",
			       .path = "/orders/charge",
			       .headers = { { "X-Request-Id", ASK_ID } },
			       .body = "{}",
			       .timeout_s = 1 };
	client_reply_t reply;

	start_service();
	ck_assert_int_eq(relay_init(&relay, service.port), 0);
	call.port = relay.port;
	relay_cut(&relay, cut_cases[_i].directions);
	ck_assert_int_lt(client_call(&reply, &call), 0);
	client_reply_finish(&reply);
	ck_assert_int_eq(ask_number(service.port, "/runs", ASK_ID, "started"),
			 cut_cases[_i].runs);
	relay_mend(&relay);
	ck_assert_int_eq(client_call(&reply, &call), 0);
	client_reply_finish(&reply);
	relay_finish(&relay);
	ask_stop(&service);
}
END_TEST

START_TEST(relay_drops_and_delays)
{
	static relay_t relay;
	client_reply_t reply;

	start_service();
	ck_assert_int_eq(relay_init(&relay, service.port), 0);
	relay_drop(&relay);
	ck_assert_int_eq(ask_status(relay.port, "GET", "/orders", NULL), 0);
	relay_mend(&relay);
	relay_delay(&relay, 100);
	reply = ask(relay.port, "GET", "/orders", NULL);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_int_ge(reply.total_us, 200000);
	client_reply_finish(&reply);
	relay_finish(&relay);
	ask_stop(&service);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay");
	TCase *tc = tcase_create("relay");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, relay_passes_everything);
	tcase_add_loop_test(tc, relay_cuts_silently, 0,
			    sizeof(cut_cases) / sizeof(cut_cases[0]));
	tcase_add_test(tc, relay_drops_and_delays);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
