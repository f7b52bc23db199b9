/* Tracing one request in the interleaved logs of several hosts. */

#include "explain.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const char *const logs[] = {
	"at=12.500 host=b part=request event=failed id=aa1 status=502 "
	"why=broken ms=20\n",
	"at=12.100 host=b part=attempt event=again id=aa1 endpoint=e1 "
	"why=unreached\n",
	"at=12.300 host=a part=request event=served id=aa10 why=-\n",
	"at=12.200 host=a part=request event=served id=xaa1 why=-\n",
	"no line of ours id=\n",
	"",
};

static explain_t explain;
static strbuf_t text;

static void setup(void)
{
	strbuf_init(&text);
}

static void teardown(void)
{
	explain_finish(&explain);
	strbuf_finish(&text);
}

static int explain_logs(const char *id)
{
	explain_init(&explain, id);
	for (size_t i = 0; i < sizeof(logs) / sizeof(logs[0]); i++)
		explain_add_line(&explain, logs[i]);
	return explain_write(&explain, &text);
}

START_TEST(log_lines_are_sorted_and_followed_by_cause)
{
	const char *first;
	const char *second;
	const char *cause;

	ck_assert_int_eq(explain_logs("aa1"), 2);
	first = strstr(strbuf_str(&text), "at=12.100");
	second = strstr(strbuf_str(&text), "at=12.500");
	cause = strstr(strbuf_str(&text), "failed at b: the connection");
	ck_assert_ptr_nonnull(first);
	ck_assert_ptr_nonnull(second);
	ck_assert_ptr_nonnull(cause);
	ck_assert(first < second && second < cause);
	ck_assert_ptr_null(strstr(strbuf_str(&text), "aa10"));
}
END_TEST

START_TEST(unlogged_request_gives_no_output)
{
	ck_assert_int_eq(explain_logs("aa"), 0);
	ck_assert_str_eq(strbuf_str(&text), "");
}
END_TEST

START_TEST(unknown_reason_has_no_explanation)
{
	ck_assert_ptr_nonnull(explain_reason("no_place"));
	ck_assert_ptr_null(explain_reason("no_plac"));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("explain");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, log_lines_are_sorted_and_followed_by_cause);
	tcase_add_test(tests, unlogged_request_gives_no_output);
	tcase_add_test(tests, unknown_reason_has_no_explanation);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
