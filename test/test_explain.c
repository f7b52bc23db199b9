/* One request's story out of logs of several hosts that are mixed. */

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
static text_t text;

static void setup(void)
{
	text_init(&text);
}

static void teardown(void)
{
	explain_finish(&explain);
	text_finish(&text);
}

static int tell(const char *id)
{
	explain_init(&explain, id);
	for (size_t i = 0; i < sizeof(logs) / sizeof(logs[0]); i++)
		explain_line(&explain, logs[i]);
	return explain_write(&explain, &text);
}

START_TEST(the_lines_of_one_request_come_in_order_with_the_cause_last)
{
	const char *first;
	const char *second;
	const char *cause;

	ck_assert_int_eq(tell("aa1"), 2);
	first = strstr(text_get(&text), "at=12.100");
	second = strstr(text_get(&text), "at=12.500");
	cause = strstr(text_get(&text), "failed at b: the connection");
	ck_assert_ptr_nonnull(first);
	ck_assert_ptr_nonnull(second);
	ck_assert_ptr_nonnull(cause);
	ck_assert(first < second && second < cause);
	ck_assert_ptr_null(strstr(text_get(&text), "aa10"));
}
END_TEST

START_TEST(a_request_that_nobody_names_has_no_story)
{
	ck_assert_int_eq(tell("aa"), 0);
	ck_assert_str_eq(text_get(&text), "");
}
END_TEST

START_TEST(what_is_not_known_is_not_explained)
{
	ck_assert_ptr_nonnull(explain_why("no_place"));
	ck_assert_ptr_null(explain_why("no_plac"));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("explain");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(
		tests,
		the_lines_of_one_request_come_in_order_with_the_cause_last);
	tcase_add_test(tests, a_request_that_nobody_names_has_no_story);
	tcase_add_test(tests, what_is_not_known_is_not_explained);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
