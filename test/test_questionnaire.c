/*
 * The questionnaire: its template and the examples are valid, errors are reported
 * with key and reason, equal answers give equal configurations, and the changes
 * between two configurations are described in sentences.
 */

#include "questionnaire.h"
#include "config_diff.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static problems_t problems;

/*
 * Returns a copy of the template with the first occurrence of `from` replaced
 * by `to`, or with `to` appended if `from` is NULL.
 */
static char *edit_template(const char *from, const char *to)
{
	const char *template = questionnaire_template();
	const char *at =
		from ? strstr(template, from) : template + strlen(template);
	size_t kept = (size_t)(at - template);
	char *text = malloc(strlen(template) + strlen(to) + 1);

	ck_assert_ptr_nonnull(at);
	memcpy(text, template, kept);
	strcpy(text + kept, to);
	strcat(text, at + (from ? strlen(from) : 0));
	return text;
}

static int generate(const char *text, strbuf_t *to)
{
	questionnaire_t answers;
	int error;

	problems_init(&problems);
	strbuf_init(to);
	error = questionnaire_parse(&answers, text, strlen(text), "a",
				    &problems);
	if (error)
		return error;
	error = questionnaire_generate_config(&answers, to);
	questionnaire_finish(&answers);
	return error;
}

static void generate_config(const char *text, pimento_config_t *config)
{
	strbuf_t generated;

	ck_assert_msg(!generate(text, &generated), "%s", problems.text);
	ck_assert_msg(!pimento_config_parse(config, strbuf_str(&generated),
					    generated.length, "g", &problems),
		      "%s", problems.text);
	strbuf_finish(&generated);
	problems_finish(&problems);
}

START_TEST(template_gives_valid_config)
{
	pimento_config_t config;

	generate_config(questionnaire_template(), &config);
	ck_assert_uint_eq(config.tier_count, 2);
	ck_assert_uint_eq(config.body_max, 262144);
	ck_assert_int_eq(config.retention, 600 * PIMENTO_SEC);
	ck_assert(!config.contracts[0].repeatable);
	ck_assert_int_eq(config.contracts[1].timeout, 300 * PIMENTO_SEC);
	ck_assert_uint_eq(config.contracts[1].answer_tokens, 600);
	pimento_config_finish(&config);
}
END_TEST

static const char *const examples[] = { "examples/qurum.answers.toml",
					"examples/druckstube.answers.toml" };

START_TEST(examples_give_valid_config)
{
	char text[16384];
	pimento_config_t config;
	uint8_t hash[32];
	FILE *file = fopen(examples[_i], "r");

	ck_assert_ptr_nonnull(file);
	text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
	fclose(file);
	generate_config(text, &config);
	ck_assert_uint_eq(config.account_count, 5);
	pimento_config_hash_key("demo-key", 8, hash);
	ck_assert_ptr_nonnull(pimento_config_find_account(&config, hash));
	pimento_config_finish(&config);
}
END_TEST

static const struct {
	/* text of the template to replace; NULL: append `to` */
	const char *from;
	const char *to;
	const char *line; /* part of one of the errors reported */
	uint32_t count; /* number of errors reported */
} rejected[] = {
	{ "[[tier]]", "[[teir]]", "teir: unknown key", 2 },
	{ "\"10s\"", "\"10 parsecs\"", "tier[1].until: must be a duration", 1 },
	{ "\"10s\"", "\"9d\"", "tier[1].until: must lie between", 1 },
	{ "name = \"later\"", "name = \"now\"",
	  "tier[2].name: \"now\" is used twice", 2 },
	{ "size = \"small\"", "size = \"tiny\"",
	  "caller[1].size: must be one of \"small\", \"medium\", \"large\"",
	  1 },
	{ "from = [\"shop\"]", "from = [\"shap\"]",
	  "request[1].from: no caller is named \"shap\"", 1 },
	{ "from = [\"shop\"]", "from = []",
	  "request[1].from: must not be empty", 1 },
	{ "from = [\"shop\"]", "from = [\"*\", \"shop\"]",
	  "request[1].from: \"*\" means every caller", 1 },
	{ "may_repeat = false\n", "", "request[1].may_repeat: is missing", 1 },
	{ "method = \"POST\"\n", "", "request[1].method: is missing", 1 },
	{ "path = \"/charge\"\n", "",
	  "request[1].path: is missing; it is required where may_repeat", 1 },
	{ "answer = \"page\"", "answer = \"thesis\"",
	  "request[2].question: question and answer take 66000 tokens, and no "
	  "endpoint of \"model:writer\" has a context that large",
	  1 },
	{ "uses = \"model:writer\"", "uses = \"writer\"",
	  "request[2].uses: must be \"model:NAME\" or", 1 },
	{ "uses = \"model:writer\"", "uses = \"model:reader\"",
	  "request[2].uses: no endpoint serves \"model:reader\"", 1 },
	{ "uses = \"model:writer\"", "uses = \"service:x\"",
	  "request[2].uses: no [[service]] is named \"x\"", 3 },
	{ "127.0.0.1:7201", "localhost:7201", "endpoint[2].at: must be an IP",
	  1 },
	{ "127.0.0.1:7201", "127.0.0.1:7101",
	  "endpoint[2].at: \"127.0.0.1:7101\" is used twice", 1 },
	{ "# evacuated = [\"second\"]", "evacuated = [\"third\"]",
	  "evacuated: no endpoint is in the data centre \"third\"", 1 },
	{ "# evacuated = [\"second\"]", "evacuated = [\"\", 7]",
	  "evacuated: contains a name that is empty or too long", 2 },
	{ "# evacuated = [\"second\"]", "evacuated = \"second\"",
	  "evacuated: must be an array of strings", 1 },
	{ "path = \"/orders\"", "path = \"/status\"",
	  "service[1].path: is a path that the daemon answers itself", 1 },
	{ NULL,
	  "[[request]]\nname = \"any\"\nwhat = \"x\"\nfrom = [\"*\"]\n"
	  "uses = \"service:orders\"\nmethod = \"POST\"\ntier = \"now\"\n"
	  "may_repeat = true\nquestion = \"line\"\nanswer = \"line\"\n",
	  "request[3].may_repeat: request \"charge\" matches the same "
	  "calls",
	  1 },
};

START_TEST(errors_are_reported_with_key_and_reason)
{
	char *text = edit_template(rejected[_i].from, rejected[_i].to);
	strbuf_t generated;

	ck_assert_int_eq(generate(text, &generated), PIMENTO_EPARSE);
	ck_assert_msg(strstr(problems.text, rejected[_i].line) != NULL,
		      "no error \"%s\" in:\n%s", rejected[_i].line,
		      problems.text);
	ck_assert_msg(problems.count == rejected[_i].count, "%u errors:\n%s",
		      problems.count, problems.text);
	problems_finish(&problems);
	free(text);
}
END_TEST

/* Returns the template without comments and empty lines, with two keys swapped. */
static char *reformat_template(void)
{
	char *text = edit_template("name = \"now\"\nuntil = \"10s\"",
				   "until=\"10 s\"\nname='now'");
	char *to = text;

	for (const char *line = text; *line;) {
		size_t length = strcspn(line, "\n") + 1;

		if (line[0] != '#' && line[0] != '\n') {
			memmove(to, line, length);
			to += length;
		}
		line += length;
	}
	*to = '\0';
	return text;
}

START_TEST(generated_config_ignores_formatting_of_answers)
{
	char *other = reformat_template();
	strbuf_t a;
	strbuf_t b;

	ck_assert_int_eq(generate(questionnaire_template(), &a), 0);
	ck_assert_msg(!generate(other, &b), "%s", problems.text);
	ck_assert_str_eq(strbuf_str(&a), strbuf_str(&b));
	strbuf_finish(&a);
	strbuf_finish(&b);
	free(other);
}
END_TEST

static const struct {
	const char *from;
	const char *to;
	const char *expected;
} diff_cases[] = {
	{ "# Names", "# Names", "" },
	{ "\"10s\"", "\"12s\"",
	  "Request \"charge\" times out after 12 s instead of 10 s, for "
	  "every caller.\n" },
	{ "tier = \"later\"", "tier = \"now\"",
	  "Request \"summary\" is served in tier \"now\" instead of \"later\", "
	  "for every caller.\n" },
	{ "may_repeat = false", "may_repeat = true",
	  "Request \"charge\" may now be repeated, for every caller.\n" },
	{ "size = \"small\"", "size = \"large\"",
	  "Caller \"shop\" gets a larger share under load (weight 16 instead "
	  "of 1).\n" },
	{ "checks_fencing = false", "checks_fencing = true",
	  "Endpoint \"orders-1\" now checks fencing numbers.\n" },
	{ "# evacuated = [\"second\"]", "evacuated = [\"second\"]",
	  "Data centre \"second\" is evacuated: its endpoints get no new "
	  "requests.\n" },
	{ "path = \"/orders\"", "path = \"/o\"",
	  "Service \"orders\" is below /o instead of /orders, for every "
	  "caller.\n" },
	{ NULL,
	  "[[caller]]\nname = \"kiosk\"\nsize = \"small\"\nkey_hash = "
	  "\"01010101010101010101010101010101"
	  "01010101010101010101010101010101\"\n",
	  "Caller \"kiosk\" is new.\n"
	  "Request \"summary\" may now be sent, in tier \"later\", for "
	  "\"kiosk\".\n" },
};

START_TEST(diff_describes_each_change)
{
	char *text = edit_template(diff_cases[_i].from, diff_cases[_i].to);
	pimento_config_t before;
	pimento_config_t after;
	strbuf_t expected;

	generate_config(questionnaire_template(), &before);
	generate_config(text, &after);
	strbuf_init(&expected);
	ck_assert_int_ge(config_diff(&before, &after, &expected), 0);
	ck_assert_str_eq(strbuf_str(&expected), diff_cases[_i].expected);
	strbuf_finish(&expected);
	pimento_config_finish(&before);
	pimento_config_finish(&after);
	free(text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("answers");
	TCase *tc = tcase_create("answers");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, template_gives_valid_config);
	tcase_add_loop_test(tc, examples_give_valid_config, 0, COUNT(examples));
	tcase_add_loop_test(tc, errors_are_reported_with_key_and_reason, 0,
			    COUNT(rejected));
	tcase_add_test(tc, generated_config_ignores_formatting_of_answers);
	tcase_add_loop_test(tc, diff_describes_each_change, 0,
			    COUNT(diff_cases));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
