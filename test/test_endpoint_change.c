/*
 * An endpoint that a new configuration changes between the grant of a slot and
 * the dispatch.
 */

#include "host.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NOW (100 * PIMENTO_SEC)
#define HASH "0101010101010101010101010101010101010101010101010101010101010101"

static const char host_list[] =
	"{\"revision\":1,\"hosts\":[{\"name\":\"h1\",\"datacentre\":\"d\","
	"\"address\":\"127.0.0.1\",\"port\":9000,\"role\":\"entry\","
	"\"state\":\"live\"}]}";

static const char head[] =
	"deployment = \"d\"\n"
	"[[tier]]\nname = \"t\"\nrank = 0\npatience_ms = 9000\n"
	"[[account]]\nname = \"a\"\nkey_hash = \"" HASH "\"\n"
	"[[service]]\nname = \"orders\"\nprefix = \"/orders\"\n"
	"[[service]]\nname = \"bills\"\nprefix = \"/bills\"\n"
	"[[contract]]\nname = \"o\"\naccount = \"*\"\n"
	"target = \"service:orders\"\ntier = \"t\"\nrepeatable = true\n"
	"[[contract]]\nname = \"b\"\naccount = \"*\"\n"
	"target = \"service:bills\"\ntier = \"t\"\nrepeatable = true\n"
	"[[endpoint]]\nname = \"other\"\ndatacentre = \"d\"\n"
	"target = \"service:bills\"\naddress = \"127.0.0.1\"\nport = 7001\n"
	"concurrency = 2\n";

static pimento_host_t *host;
static uint64_t revision;

typedef struct endpoint_terms {
	const char *name;
	const char *target;
	const char *address;
	int port;
	int concurrency;
} endpoint_terms_t;

static void apply(bool hosts, const char *text)
{
	ck_assert_int_eq(pimento_host_apply_update(host, NOW, hosts,
						   hosts ? 1 : ++revision, text,
						   strlen(text)),
			 0);
}

static void configure(const endpoint_terms_t *terms, uint32_t count)
{
	char text[4096];
	size_t length = (size_t)snprintf(text, sizeof(text), "%s", head);

	for (uint32_t i = 0; i < count; i++)
		length += (size_t)snprintf(
			text + length, sizeof(text) - length,
			"[[endpoint]]\nname = \"%s\"\ndatacentre = \"d\"\n"
			"target = \"service:%s\"\naddress = \"%s\"\n"
			"port = %d\nconcurrency = %d\n",
			terms[i].name, terms[i].target, terms[i].address,
			terms[i].port, terms[i].concurrency);
	apply(false, text);
}

/* Runs the host's actions up to the next dispatch; its endpoint, or 0. */
static pimento_id_t next_dispatch(pimento_handle_t *request)
{
	pimento_action_t action;

	while (pimento_host_next_action(host, &action)) {
		if (action.kind != PIMENTO_ACTION_DISPATCH)
			continue;
		*request = action.request;
		return action.endpoint;
	}
	return 0;
}

static pimento_handle_t submit(void)
{
	pimento_request_t request = { .config_revision = revision,
				      .account = pimento_id("a"),
				      .target = "orders",
				      .client_timeout = 9 * PIMENTO_SEC,
				      .repeatable = true };
	pimento_handle_t handle;
	pimento_reqid_t id;

	ck_assert_int_eq(pimento_host_submit(host, NOW, &request, &handle, &id),
			 0);
	return handle;
}

static void setup(void)
{
	const pimento_host_options_t options = {
		.name = "h1", .incarnation = 7, .seed = 1, .wall_msec = 1000
	};

	host = calloc(1, pimento_host_size());
	ck_assert_int_eq(pimento_host_init(host, &options, NOW), 0);
	revision = 0;
	apply(true, host_list);
}

static void teardown(void)
{
	pimento_host_finish(host);
	free(host);
}

static const endpoint_terms_t before = { "e", "orders", "127.0.0.1", 7000, 2 };

static const struct {
	const char *name;
	endpoint_terms_t after;
	int error; /* of the commit */
} changes[] = {
	{ "none of it", { "e", "orders", "127.0.0.1", 7000, 2 }, 0 },
	{ "concurrency", { "e", "orders", "127.0.0.1", 7000, 5 }, 0 },
	{ "target", { "e", "bills", "127.0.0.1", 7000, 2 }, PIMENTO_ESTALE },
	{ "address", { "e", "orders", "127.0.0.2", 7000, 2 }, PIMENTO_ESTALE },
	{ "port", { "e", "orders", "127.0.0.1", 7009, 2 }, PIMENTO_ESTALE },
	{ "name", { "f", "orders", "127.0.0.1", 7009, 2 }, PIMENTO_ESTALE },
};

/*
 * Guards against a request that is sent to an endpoint which the configuration
 * in force gives to another service.
 */
START_TEST(slot_of_a_changed_endpoint_is_not_used)
{
	const endpoint_terms_t after[] = {
		changes[_i].after, { "spare", "orders", "127.0.0.1", 7010, 2 }
	};
	pimento_handle_t request = 0;
	int error;

	configure(&before, 1);
	submit();
	ck_assert_uint_eq(next_dispatch(&request), pimento_id("e"));
	configure(after, 2);
	error = pimento_host_commit(host, NOW, request);
	ck_assert_msg(error == changes[_i].error, "%s: commit returned %d",
		      changes[_i].name, error);
}
END_TEST

/* Guards against a refusal of a request whose endpoint changed. */
START_TEST(request_goes_to_another_endpoint)
{
	const endpoint_terms_t after[] = {
		{ "e", "bills", "127.0.0.1", 7000, 2 },
		{ "spare", "orders", "127.0.0.1", 7010, 2 }
	};
	pimento_handle_t request = 0;

	configure(&before, 1);
	submit();
	ck_assert_uint_eq(next_dispatch(&request), pimento_id("e"));
	configure(after, 2);
	ck_assert_int_eq(pimento_host_commit(host, NOW, request),
			 PIMENTO_ESTALE);
	ck_assert_uint_eq(next_dispatch(&request), pimento_id("spare"));
	ck_assert_int_eq(pimento_host_commit(host, NOW, request), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("endpoint_change");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, slot_of_a_changed_endpoint_is_not_used, 0,
			    sizeof(changes) / sizeof(changes[0]));
	tcase_add_test(tests, request_goes_to_another_endpoint);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
