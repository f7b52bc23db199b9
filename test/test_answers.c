/*
 * The questionnaire: its template and the examples are acceptable, mistakes
 * are reported with key and reason, the same answers give the same bytes, and
 * the difference of two is told in plain words.
 */

#include "answers.h"
#include "diff.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static problems_t problems;

/* Returns the template with one piece replaced, or more appended. */
static char *changed(const char *from, const char *to)
{
	const char *template = answers_template();
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

static int generate(const char *text, text_t *to)
{
	answers_t answers;
	int error;

	problems_init(&problems);
	text_init(to);
	error = answers_parse(&answers, text, strlen(text), "a", &problems);
	if (error)
		return error;
	error = answers_generate(&answers, to);
	answers_finish(&answers);
	return error;
}

static void load(const char *text, pimento_config_t *config)
{
	text_t generated;

	ck_assert_msg(!generate(text, &generated), "%s", problems.text);
	ck_assert_msg(!pimento_config_parse(config, text_get(&generated),
					    generated.length, "g", &problems),
		      "%s", problems.text);
	text_finish(&generated);
	problems_finish(&problems);
}

START_TEST(template_is_acceptable)
{
	pimento_config_t config;

	load(answers_template(), &config);
	ck_assert_uint_eq(config.tier_count, 2);
	ck_assert_uint_eq(config.body_max, 262144);
	ck_assert_int_eq(config.retention, 600 * PIMENTO_SEC);
	ck_assert(!config.contracts[0].repeatable);
	ck_assert_int_eq(config.contracts[1].patience, 300 * PIMENTO_SEC);
	ck_assert_uint_eq(config.contracts[1].answer_tokens, 600);
	pimento_config_finish(&config);
}
END_TEST

static const char *const examples[] = { "examples/qurum.answers.toml",
					"examples/druckstube.answers.toml" };

START_TEST(examples_are_acceptable)
{
	char text[16384];
	pimento_config_t config;
	uint8_t hash[32];
	FILE *file = fopen(examples[_i], "r");

	ck_assert_ptr_nonnull(file);
	text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
	fclose(file);
	load(text, &config);
	ck_assert_uint_eq(config.account_count, 5);
	pimento_config_key_hash("demo-key", 8, hash);
	ck_assert_ptr_nonnull(pimento_config_account(&config, hash));
	pimento_config_finish(&config);
}
END_TEST

static const struct {
	const char *from; /* NULL: append */
	const char *to;
	const char *line;
	uint32_t count;
} refused[] = {
	{ "[[tier]]", "[[teir]]", "teir: unknown key", 2 },
	{ "\"10s\"", "\"10 parsecs\"", "tier[1].until: must be a span", 1 },
	{ "\"10s\"", "\"9d\"", "tier[1].until: must lie between", 1 },
	{ "name = \"later\"", "name = \"now\"",
	  "tier[2].name: \"now\" stands twice", 2 },
	{ "size = \"small\"", "size = \"tiny\"",
	  "caller[1].size: must be one of \"small\", \"medium\", \"large\"",
	  1 },
	{ "from = [\"shop\"]", "from = [\"shap\"]",
	  "request[1].from: no caller is named \"shap\"", 1 },
	{ "from = [\"shop\"]", "from = []",
	  "request[1].from: must not be empty", 1 },
	{ "from = [\"shop\"]", "from = [\"*\", \"shop\"]",
	  "request[1].from: \"*\" stands for every caller", 1 },
	{ "may_repeat = false\n", "", "request[1].may_repeat: is missing", 1 },
	{ "method = \"POST\"\n", "", "request[1].method: is missing", 1 },
	{ "path = \"/charge\"\n", "",
	  "request[1].path: is missing, a call that may not be repeated", 1 },
	{ "answer = \"page\"", "answer = \"thesis\"",
	  "request[2].question: question and answer take 66000 tokens, and no "
	  "endpoint of \"model:writer\" reads so many",
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
	  "endpoint[2].at: \"127.0.0.1:7101\" stands twice", 1 },
	{ "path = \"/orders\"", "path = \"/status\"",
	  "service[1].path: is a path that the daemon answers itself", 1 },
	{ NULL,
	  "[[request]]\nname = \"any\"\nwhat = \"x\"\nfrom = [\"*\"]\n"
	  "uses = \"service:orders\"\nmethod = \"POST\"\ntier = \"now\"\n"
	  "may_repeat = true\nquestion = \"line\"\nanswer = \"line\"\n",
	  "request[3].may_repeat: request \"charge\" fits the same calls", 1 },
};

START_TEST(mistakes_are_reported)
{
	char *text = changed(refused[_i].from, refused[_i].to);
	text_t generated;

	ck_assert_int_eq(generate(text, &generated), PIMENTO_EPARSE);
	ck_assert_msg(strstr(problems.text, refused[_i].line) != NULL,
		      "wanted %s in:\n%s", refused[_i].line, problems.text);
	ck_assert_msg(problems.count == refused[_i].count, "%u:\n%s",
		      problems.count, problems.text);
	problems_finish(&problems);
	free(text);
}
END_TEST

/* Drops comments and empty lines, and swaps two keys. */
static char *reformatted(void)
{
	char *text = changed("name = \"now\"\nuntil = \"10s\"",
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

START_TEST(same_answers_give_the_same_bytes)
{
	char *other = reformatted();
	text_t a;
	text_t b;

	ck_assert_int_eq(generate(answers_template(), &a), 0);
	ck_assert_msg(!generate(other, &b), "%s", problems.text);
	ck_assert_str_eq(text_get(&a), text_get(&b));
	text_finish(&a);
	text_finish(&b);
	free(other);
}
END_TEST

static const struct {
	const char *from;
	const char *to;
	const char *told;
} differences[] = {
	{ "# Names", "# Names", "" },
	{ "\"10s\"", "\"12s\"",
	  "Request \"charge\" is given up after 12 s instead of 10 s, for "
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

START_TEST(differences_are_told)
{
	char *text = changed(differences[_i].from, differences[_i].to);
	pimento_config_t before;
	pimento_config_t after;
	text_t told;

	load(answers_template(), &before);
	load(text, &after);
	text_init(&told);
	ck_assert_int_ge(diff_configs(&before, &after, &told), 0);
	ck_assert_str_eq(text_get(&told), differences[_i].told);
	text_finish(&told);
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

	tcase_add_test(tc, template_is_acceptable);
	tcase_add_loop_test(tc, examples_are_acceptable, 0, COUNT(examples));
	tcase_add_loop_test(tc, mistakes_are_reported, 0, COUNT(refused));
	tcase_add_test(tc, same_answers_give_the_same_bytes);
	tcase_add_loop_test(tc, differences_are_told, 0, COUNT(differences));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
