/*
 * Parsing of the settings of pimentod and of the platform's host list.
 */

#include "settings.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

#define SECRET                               \
	"secret = "                          \
	"\"000102030405060708090a0b0c0d0e0f" \
	"000102030405060708090a0b0c0d0e0f\"\n"
#define HOST                                                   \
	"deployment = \"qurum\"\n[host]\nname = \"h1\"\n"      \
	"datacentre = \"muscat-1\"\naddress = \"127.0.0.1\"\n" \
	"http_port = 8080\npeer_port = 9080\n"
#define PLATFORM "[platform]\naddress = \"127.0.0.1\"\nport = 7000\n"
#define COMPLETE HOST PLATFORM "[keys]\n" SECRET

static problems_t problems;
static settings_t settings;

static int parse(const char *text)
{
	problems_init(&problems);
	return settings_parse(&settings, text, strlen(text), "s.toml",
			      &problems);
}

START_TEST(settings_have_defaults_and_parsed_values)
{
	ck_assert_msg(!parse(COMPLETE), "%s", problems.text);
	ck_assert_str_eq(settings.name, "h1");
	ck_assert_int_eq(settings.log_level, 6);
	ck_assert_uint_eq(settings.connections, 1024);
	ck_assert_uint_eq(settings.stop_seconds, 900);
	ck_assert_uint_eq(settings.secret[15], 15);
	problems_finish(&problems);
	ck_assert_int_eq(parse(COMPLETE
			       "[peers]\nseeds = [\"127.0.0.1:9081\", "
			       "\"[::1]:9082\"]\n[log]\nlevel = \"debug\"\n"
			       "[limits]\nconnections = 9\nstop_seconds = 8\n"),
			 0);
	ck_assert_uint_eq(settings.seed_count, 2);
	ck_assert_str_eq(settings.seeds[1].address, "::1");
	ck_assert_uint_eq(settings.seeds[1].port, 9082);
	ck_assert_int_eq(settings.log_level, 7);
	ck_assert_uint_eq(settings.connections, 9);
	ck_assert_uint_eq(settings.stop_seconds, 8);
	problems_finish(&problems);
}
END_TEST

static const struct {
	const char *text;
	const char *line;
	uint32_t count;
} rejected[] = {
	{ "", "s.toml: deployment: is missing", 4 },
	{ HOST "[keys]\n", "s.toml:8: keys.secret: is missing", 2 },
	{ "host = 1\n" PLATFORM "[keys]\n" SECRET,
	  "s.toml:1: host: must be a table", 2 },
	{ COMPLETE "[log]\nlevel = \"loud\"\n",
	  "s.toml:14: log.level: must be one of \"error\", \"warning\", "
	  "\"info\", \"debug\"",
	  1 },
	{ COMPLETE "[peers]\nseeds = [\"x:1\", \"1.2.3.4:0\", \"1.2.3.4\"]\n",
	  "s.toml:14: peers.seeds: \"1.2.3.4:0\" is not an address", 3 },
	{ COMPLETE "[limits]\nconnections = 0\nstop = 1\n",
	  "s.toml:15: limits.stop: unknown key", 2 },
	{ "[a", "s.toml:1: syntax:", 1 },
};

START_TEST(every_error_is_reported_with_line)
{
	ck_assert_int_eq(parse(rejected[_i].text), PIMENTO_EPARSE);
	ck_assert_msg(strstr(problems.text, rejected[_i].line) != NULL,
		      "no error \"%s\" in:\n%s", rejected[_i].line,
		      problems.text);
	ck_assert_msg(problems.count == rejected[_i].count, "%u errors:\n%s",
		      problems.count, problems.text);
	problems_finish(&problems);
}
END_TEST

static const char *const tokens[] = {
	"a",	       "b.c",  "\"k\"", "'q'",
	"=",	       "[",    "]",	"[[",
	"]]",	       "{",    "}",	",",
	"\n",	       "\r\n", "\"",	"\"\"\"",
	"'''",	       "#",    "1",	"-",
	"0x",	       "1e",   ":",	"1979-05-27",
	"07:32",       "true", "inf",	"\\",
	"\\u0041",     "\xc3", "\xa9",	"\xef\xbb\xbf",
	".",	       " ",    "\t",	"host",
	"\\U0010FFFF", "\x7f", "\x01",	"=[{",
};

#define RANDOM_TEXT_BYTES 600
#define RANDOM_TEXT_TOKENS 60

static size_t make_random_text(char *text, pimento_random_t *random)
{
	uint64_t count = 1 + pimento_random_below(random, RANDOM_TEXT_TOKENS);
	size_t used = 0;

	for (uint64_t i = 0; i < count && used < RANDOM_TEXT_BYTES - 20; i++) {
		size_t at = pimento_random_below(random, COUNT(tokens));

		memcpy(text + used, tokens[at], strlen(tokens[at]));
		used += strlen(tokens[at]);
		if (!pimento_random_below(random, 40))
			text[used++] = '\0';
	}
	return used;
}

/*
 * Random sequences of TOML tokens, as a careless edit of the settings may leave
 * them. Guards against a parser that crashes on them, so that the daemon does not
 * start and reports no reason. Under sanitizers the TOML library showed undefined
 * behaviour for some non-ASCII characters.
 */
START_TEST(random_tokens_are_rejected_with_reason)
{
	char text[RANDOM_TEXT_BYTES];
	pimento_random_t random;

	pimento_random_init(&random, (uint64_t)_i);
	for (int round = 0; round < 5000; round++) {
		size_t length = make_random_text(text, &random);

		problems_init(&problems);
		ck_assert_int_eq(
			settings_parse(&settings, text, length, "s", &problems),
			PIMENTO_EPARSE);
		ck_assert_uint_gt(problems.count, 0);
		problems_finish(&problems);
	}
}
END_TEST

#define ENTRY                                                              \
	"{\"name\":\"h1\",\"datacentre\":\"m\",\"address\":\"127.0.0.1\"," \
	"\"port\":9080,\"role\":\"entry\",\"state\":\"live\",\"new\":1}"

static const struct {
	const char *text;
	int error;
	/* number of hosts parsed, or of errors if the list is rejected */
	uint32_t count;
} lists[] = {
	{ "{\"revision\":7,\"hosts\":[]}", 0, 0 },
	{ "{\"revision\":7,\"hosts\":[" ENTRY "]}", 0, 1 },
	{ "{\"revision\":7,\"hosts\":[" ENTRY "," ENTRY "]}", PIMENTO_EPARSE,
	  1 },
	{ "{\"revision\":7,\"hosts\":[{}]}", PIMENTO_EPARSE, 6 },
	{ "{\"revision\":7,\"hosts\":[3]}", PIMENTO_EPARSE, 6 },
	{ "{\"revision\":-1,\"hosts\":3}", PIMENTO_EPARSE, 2 },
	{ "{\"revision\":1.5,\"hosts\":[]}", PIMENTO_EPARSE, 1 },
	{ "[]", PIMENTO_EPARSE, 2 },
	{ "rubbish", PIMENTO_EPARSE, 1 },
	{ "", PIMENTO_EPARSE, 1 },
};

START_TEST(host_list_is_parsed_or_rejected)
{
	hostlist_t list;

	problems_init(&problems);
	ck_assert_int_eq(hostlist_parse(&list, lists[_i].text,
					strlen(lists[_i].text), &problems),
			 lists[_i].error);
	ck_assert_uint_eq(lists[_i].error ? problems.count : list.count,
			  lists[_i].count);
	if (!lists[_i].error) {
		ck_assert_uint_eq(list.revision, 7);
		if (list.count)
			ck_assert_uint_eq(list.hosts[0].id, pimento_id("h1"));
		hostlist_finish(&list);
	}
	problems_finish(&problems);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tc = tcase_create("settings");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, settings_have_defaults_and_parsed_values);
	tcase_add_loop_test(tc, every_error_is_reported_with_line, 0,
			    COUNT(rejected));
	tcase_add_loop_test(tc, random_tokens_are_rejected_with_reason, 0, 4);
	tcase_add_loop_test(tc, host_list_is_parsed_or_rejected, 0,
			    COUNT(lists));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
