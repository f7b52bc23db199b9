/* The status code of an answer, which comes in pieces of any size. */

#include "../io/status_line.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *bytes;
	bool valid;
} lines[] = {
	{ "HTTP/1.1 200 OK\r\n", true },
	{ "HTTP/1.1 100 Continue", true },
	{ "HTTP/1.1 599 x", true },
	{ "HTTP/1.1 200\r\n", true },
	{ "HTTP/1.1 200\n", true },
	{ "HTTP/1.1  200 OK", true },
	{ "TTP/1.0 404 None", true },
	{ "HTTP/1.1 000 x", false },
	{ "HTTP/1.1 099 x", false },
	{ "HTTP/1.1 600 x", false },
	{ "HTTP/1.1 999 x", false },
	{ "HTTP/1.1 20 x", false },
	{ "HTTP/1.1 0200 x", false },
	{ "HTTP/1.1 2000 x", false },
	{ "HTTP/1.1 2 00 x", false },
	{ "HTTP/1.1 x200", false },
	{ "HTTP/1.1 +200 x", false },
	{ "HTTP/1.1 -200 x", false },
	{ "HTTP/1.1 200", false },
	{ "HTTP/1.1 ", false },
	{ "HTTP/1.1 00000000000200 x", false },
	{ "HTTP/1.1\r\n200 OK", false },
	{ "", false },
};

START_TEST(codes_have_three_digits_from_100_to_599)
{
	size_t length = strlen(lines[_i].bytes);

	for (size_t cut = 0; cut <= length; cut++) {
		status_line_t line;

		status_line_begin(&line);
		status_line_feed(&line, lines[_i].bytes, cut);
		status_line_feed(&line, lines[_i].bytes + cut, length - cut);
		ck_assert_msg(status_line_is_valid(&line) == lines[_i].valid,
			      "\"%s\" cut at %zu", lines[_i].bytes, cut);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("status line");
	TCase *tcase = tcase_create("status line");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tcase, codes_have_three_digits_from_100_to_599, 0,
			    sizeof(lines) / sizeof(lines[0]));
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
