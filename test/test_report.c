/*
 * What operators read: answers cut into pieces, the status table, the burn
 * table and page.
 */

#include "answer_reader.h"
#include "burn_page.h"
#include "status_table.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static void collect(void *context, const char *bytes, size_t length)
{
	strbuf_add(context, bytes, length);
}

#define EVENT(text) "data: {\"choices\":[{\"text\":\"" text "\"}]}\r\n\r\n"
#define CHAT(text) \
	"data:{\"choices\":[{\"delta\":{\"content\":\"" text "\"}}]}\n\n"
#define REFUSAL                                               \
	"{\"error\":{\"code\":\"x\",\"message\":\"no room\"," \
	"\"verdict\":\"not-run\"}}"

static const struct {
	bool stream;
	const char *bytes;
	const char *text;
	bool done;
	const char *verdict;
} answers[] = {
	{ true, EVENT("a") EVENT("b\\n") "data: [DONE]\n\n", "ab\n", true, "" },
	{ true, CHAT("a") ": comment\n" CHAT("b"), "ab", false, "" },
	{ true, EVENT("a") "data: " REFUSAL "\n\n", "a", false, "not-run" },
	{ true, REFUSAL, "", true, "not-run" },
	{ true, "data: rubbish\n\ndata: [DONE]\n", "", true, "" },
	{ false, REFUSAL, "", true, "not-run" },
	{ false, "{\"choices\":[{\"text\":\"a b\"}]}", "a b", true, "" },
	{ false, "{\"choices\":[{\"message\":{\"content\":\"c\"}}]}", "c", true,
	  "" },
	{ false, "plain", "plain", true, "" },
	{ false, "", "", true, "" },
};

START_TEST(answers_are_read_however_they_are_cut)
{
	const char *bytes = answers[_i].bytes;
	size_t length = strlen(bytes);

	for (size_t step = 1; step <= length + 1; step++) {
		answer_reader_t reader;
		strbuf_t text;

		strbuf_init(&text);
		answer_reader_init(&reader, answers[_i].stream, collect, &text);
		for (size_t at = 0; at < length; at += step) {
			size_t left = length - at;

			ck_assert(
				answer_reader_feed(&reader, bytes + at,
						   left < step ? left : step));
		}
		answer_reader_end(&reader);
		ck_assert_str_eq(strbuf_str(&text), answers[_i].text);
		ck_assert_int_eq(reader.done, answers[_i].done);
		ck_assert_str_eq(reader.verdict, answers[_i].verdict);
		answer_reader_finish(&reader);
		strbuf_finish(&text);
	}
}
END_TEST

START_TEST(endless_line_is_given_up)
{
	static char block[65536];
	answer_reader_t reader;
	size_t fed = 0;

	memset(block, 'x', sizeof(block));
	answer_reader_init(&reader, true, collect, NULL);
	while (answer_reader_feed(&reader, block, sizeof(block)))
		fed += sizeof(block);
	ck_assert_uint_eq(fed, ANSWER_LINE_MAX);
	answer_reader_finish(&reader);
}
END_TEST

#define HOST(name, owner1, owner2, digest)                                   \
	"{\"name\":\"" name "\",\"incarnation\":\"00ab\",\"state\":"         \
	"\"serving\",\"config\":{\"revision\":7,\"digest\":\"" digest        \
	"\",\"refused_revision\":8},\"hosts\":{\"revision\":3,\"members\":[" \
	"{\"name\":\"h2\",\"state\":\"live\"}]},\"endpoints\":[{\"name\":"   \
	"\"e1\",\"owner\":\"" owner1 "\",\"running\":2,\"limit\":8,"         \
	"\"waiting\":[0,5]},{\"name\":\"e2\",\"owner\":\"" owner2 "\"}]}"

static const struct {
	const char *hosts[3];
	const char *lines[4];
	const char *absent;
} tables[] = {
	{ { HOST("h1", "h1", "h2", "x") },
	  { "7, refused 8",
	    "e1                 h1                   2      8  "
	    "0 5\n",
	    "e2                 h2                   -      -  -  (owner not "
	    "asked)",
	    "h1 sees: h2 live" },
	  "same configuration" },
	{ { HOST("h1", "h1", "h2", "x"), HOST("h2", "h1", "h2", "y") },
	  { "e2                 h2                   -      -  -\n",
	    "The hosts do not all have the same configuration" },
	  "not asked" },
	{ { HOST("h1", "h1", "h1", "x"), HOST("h2", "h2", "h2", "x") },
	  { "e1                 h1 ", "e1                 h2 " },
	  "not asked" },
	{ { "{}", "{\"name\":\"a\\u001bb\",\"state\":3}" },
	  { "-              -", "a?b            -                3" },
	  "\x1b" },
};

START_TEST(status_is_shown)
{
	json_t *hosts[3];
	size_t count = 0;
	strbuf_t text;

	while (count < 3 && tables[_i].hosts[count]) {
		hosts[count] = json_loads(tables[_i].hosts[count], 0, NULL);
		ck_assert_ptr_nonnull(hosts[count]);
		count++;
	}
	strbuf_init(&text);
	status_table(hosts, count, &text);
	for (int i = 0; i < 4 && tables[_i].lines[i]; i++)
		ck_assert_msg(strstr(strbuf_str(&text), tables[_i].lines[i]) !=
				      NULL,
			      "no \"%s\" in:\n%s", tables[_i].lines[i],
			      strbuf_str(&text));
	ck_assert_ptr_null(strstr(strbuf_str(&text), tables[_i].absent));
	strbuf_finish(&text);
	while (count)
		json_decref(hosts[--count]);
}
END_TEST

START_TEST(burn_is_shown)
{
	burn_report_t report = { .tier = "a<b", .objective = 0.999 };
	strbuf_t text;

	for (int i = 0; i < BURN_WINDOWS; i++)
		report.windows[i] = (burn_count_t){ 980, 1000 };
	report.windows[0].total = report.windows[0].good = 0;
	report.series[3] = (burn_count_t){ 980, 1000 };
	strbuf_init(&text);
	burn_write_table(&report, 1, &text);
	ck_assert_ptr_nonnull(strstr(strbuf_str(&text),
				     "99.90 %        -    20.00    20.00"));
	ck_assert_ptr_nonnull(strstr(strbuf_str(&text), "1000  slow\n"));
	strbuf_finish(&text);
	burn_write_html(&report, 1, 2, "now", &text);
	ck_assert_ptr_nonnull(strstr(strbuf_str(&text), "<h2>a&lt;b</h2>"));
	ck_assert_ptr_nonnull(strstr(strbuf_str(&text), "counts of 2 hosts"));
	ck_assert_ptr_nonnull(strstr(strbuf_str(&text), "rect class=\"bad\""));
	ck_assert_ptr_null(strstr(strbuf_str(&text), "http"));
	ck_assert_ptr_null(strstr(strbuf_str(&text), "<script"));
	strbuf_finish(&text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("report");
	TCase *tc = tcase_create("report");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, answers_are_read_however_they_are_cut, 0,
			    COUNT(answers));
	tcase_add_test(tc, endless_line_is_given_up);
	tcase_add_loop_test(tc, status_is_shown, 0, COUNT(tables));
	tcase_add_test(tc, burn_is_shown);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
