/* Parsing of the settings of pimentoedge: errors and defaults. */

#include "edge_settings.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define HOST \
	"[host]\nname = \"a-1\"\ndatacentre = \"a\"\naddress = \"10.1.0.2\"\n"
#define LISTEN                                                            \
	"[listen]\ncallers = \"10.1.0.2:80\"\nhealth = \"10.1.0.2:81\"\n" \
	"peers = \"10.1.0.2:82\"\ngossip_port = 7600\n"
#define STORE "[store]\naddress = \"10.2.0.1:90\"\n"

static const struct {
	const char *text;
	/* part of the error expected; NULL if the text is accepted */
	const char *problem;
} cases[] = {
	{ HOST LISTEN STORE, NULL },
	{ HOST LISTEN STORE "[peers]\nseeds = [\"10.1.0.2:82\"]\n", NULL },
	{ HOST LISTEN STORE "[peers]\nhosts = 40\n", NULL },
	{ HOST LISTEN STORE "[peers]\nhosts = -1\n", "hosts" },
	{ HOST LISTEN STORE "[peers]\nhosts = \"40\"\n", "hosts" },
	{ HOST LISTEN STORE "[bounds]\nretry_ratio = 0.2\nkey_revoke_ms = "
			    "5000.0\nretry_slack = 56\n",
	  NULL },
	{ HOST LISTEN STORE "[limits]\nstop_seconds = 7.5\n", NULL },
	{ HOST LISTEN STORE "[limits]\nstop_seconds = \"8\"\n", "number" },
	{ HOST LISTEN STORE "[limits]\ndescriptors = 3\n", "between" },
	{ HOST LISTEN STORE "[bounds]\nretry_rate = 1\n", "unknown key" },
	{ HOST LISTEN STORE "[peers]\nseeds = [\"10.1.0.2\"]\n",
	  "not an address" },
	{ HOST LISTEN STORE "[peers]\nseeds = [1]\n", "strings" },
	{ HOST LISTEN, "store" },
	{ LISTEN STORE, "host" },
	{ HOST STORE "[listen]\ncallers = \"here\"\nhealth = \"10.1.0.2:81\"\n"
		     "peers = \"10.1.0.2:82\"\ngossip_port = 7600\n",
	  "not an address" },
	{ "[host\n", "" },
};

START_TEST(invalid_settings_are_rejected_with_reason)
{
	edge_settings_t settings;
	problems_t problems;
	int error;

	problems_init(&problems);
	error = edge_settings_parse(&settings, cases[_i].text,
				    strlen(cases[_i].text), "test.toml",
				    &problems);
	if (cases[_i].problem) {
		ck_assert_int_eq(error, PIMENTO_EPARSE);
		ck_assert_msg(strstr(problems.text, cases[_i].problem) != NULL,
			      "%s", problems.text);
	} else {
		ck_assert_msg(error == 0, "%s", problems.text);
		ck_assert_str_eq(settings.name, "a-1");
	}
	problems_finish(&problems);
}
END_TEST

/*
 * Settings without a retry budget. If the defaults were zero, a stream whose
 * endpoint crashes would end for its caller, although the route allows it to
 * continue at another endpoint.
 */
START_TEST(retry_budget_defaults_are_not_zero)
{
	const char *text = HOST LISTEN STORE;
	edge_settings_t settings;
	problems_t problems;

	problems_init(&problems);
	ck_assert_int_eq(edge_settings_parse(&settings, text, strlen(text),
					     "test.toml", &problems),
			 0);
	ck_assert_double_gt(settings.retry_ratio, 0);
	ck_assert_double_ge(settings.retry_slack, 1);
	problems_finish(&problems);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_settings");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tests, invalid_settings_are_rejected_with_reason, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tests, retry_budget_defaults_are_not_zero);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
