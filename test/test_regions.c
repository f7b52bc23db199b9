/*
 * Routes and accounts that are limited to regions: real entry hosts in data centre
 * "a", region "east"; worker 0 is there too, worker 1 in "b", region "west".
 */

#include "edge.h"

#include <stdio.h>
#include <string.h>

enum {
	HOSTS = 2,
	IN_FORCE_MS = 1500,
	REFUSED_MS = 300, /* a refusal that waits for nothing */
	ROUNDS = 10
};

static edge_t edge;

static void setup(void)
{
	edge_start(&edge, HOSTS, 2);
	edge_list_worker_in(&edge, 1, "b", "ready");
}

static void teardown(void)
{
	edge_stop(&edge);
}

/* Publishes a route and an account with their regions; "" for none. */
static void configure(const char *route, const char *account)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"version\":5,\"routes\":[{\"name\":\"r\","
		 "\"host\":\"t.example\",\"prefix\":\"/unsafe/\","
		 "\"route_type\":\"non_idempotent\",\"timeout_ms\":1500,"
		 "\"goal_ms\":1000,\"priority\":0,\"service\":\"s\"%s}],"
		 "\"services\":[{\"name\":\"s\"}],"
		 "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"" EDGE_KEY
		 "\"]%s}]}",
		 route, account);
	edge_put(&edge, "op/config", text);
	process_sleep_ms(IN_FORCE_MS);
}

static long ask(uint32_t host)
{
	client_reply_t reply =
		edge_ask(&edge, host, EDGE_UNSAFE, NULL, "charge");
	long status = reply.status;

	client_reply_finish(&reply);
	return status;
}

#define LIMITED_TO(regions) ",\"allowed_regions\":[" regions "]"
#define EAST LIMITED_TO("\"east\"")
#define WEST LIMITED_TO("\"west\"")
#define BOTH LIMITED_TO("\"west\",\"east\"")
#define NORTH LIMITED_TO("\"north\"")

static const struct {
	const char *route;
	const char *account;
	bool uses[2]; /* which workers may get requests */
} limits[] = {
	{ "", "", { true, true } },	  { EAST, "", { true, false } },
	{ WEST, "", { false, true } },	  { "", WEST, { false, true } },
	{ BOTH, EAST, { true, false } },  { WEST, BOTH, { false, true } },
	{ EAST, WEST, { false, false } }, { NORTH, "", { false, false } },
	{ "", NORTH, { false, false } },
};

/*
 * Guards against requests that leave the regions of their route or account, also
 * when no endpoint is left there, and against holding those that cannot be sent.
 */
START_TEST(requests_stay_in_their_regions)
{
	bool served = limits[_i].uses[0] || limits[_i].uses[1];
	long before[2];

	configure(limits[_i].route, limits[_i].account);
	for (uint32_t i = 0; i < 2; i++)
		before[i] = edge_worker(&edge, i, "here");
	for (uint32_t i = 0; i < ROUNDS; i++) {
		int64_t began = process_now_ms();

		ck_assert_int_eq(ask(i % HOSTS), served ? 200 : 503);
		if (!served)
			ck_assert_int_le(process_now_ms() - began, REFUSED_MS);
	}
	for (uint32_t i = 0; i < 2; i++)
		if (!limits[_i].uses[i])
			ck_assert_int_eq(edge_worker(&edge, i, "here"),
					 before[i]);
}
END_TEST

/* Guards against requests that follow a lost region's traffic elsewhere. */
START_TEST(lost_region_is_not_replaced)
{
	long before;

	configure(WEST, "");
	ck_assert_int_eq(ask(0), 200);
	before = edge_worker(&edge, 0, "here");
	process_kill(&edge.workers[1]);
	for (uint32_t i = 0; i < ROUNDS; i++)
		ck_assert_int_ne(ask(i % HOSTS), 200);
	edge_remove(&edge, "servers/w1");
	process_sleep_ms(IN_FORCE_MS);
	for (uint32_t i = 0; i < ROUNDS; i++)
		ck_assert_int_eq(ask(i % HOSTS), 503);
	ck_assert_int_eq(edge_worker(&edge, 0, "here"), before);
	edge_list_worker_in(&edge, 0, "b", "ready");
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(ask(0), 200);
}
END_TEST

/* Guards against a malformed list of regions that is taken for none. */
START_TEST(malformed_regions_change_nothing)
{
	configure(WEST, "");
	edge_put(&edge, "op/config",
		 "{\"version\":9,\"routes\":[{\"name\":\"r\","
		 "\"host\":\"t.example\",\"prefix\":\"/unsafe/\","
		 "\"route_type\":\"non_idempotent\",\"service\":\"s\","
		 "\"allowed_regions\":\"west\"}],"
		 "\"services\":[{\"name\":\"s\"}],"
		 "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"" EDGE_KEY
		 "\"]}]}");
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(ask(0), 200);
	ck_assert_int_eq(edge_worker(&edge, 0, "here"), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("regions");
	TCase *tests = tcase_create("hosts");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, requests_stay_in_their_regions, 0,
			    sizeof(limits) / sizeof(limits[0]));
	tcase_add_test(tests, lost_region_is_not_replaced);
	tcase_add_test(tests, malformed_regions_change_nothing);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
