/*
 * Tests of error strings and of the outbox's order and capacity.
 */

#include "message.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	int error;
	const char *text;
} error_cases[] = {
	{ 0, "success" },
	{ PIMENTO_EDEADLINE, "cannot finish before its deadline" },
	{ PIMENTO_EDUPLICATE, "repeated" },
	{ -1000, "unknown error" },
	{ 1, "unknown error" },
};

START_TEST(error_strings)
{
	ck_assert_str_eq(pimento_strerror(error_cases[_i].error),
			 error_cases[_i].text);
}
END_TEST

START_TEST(outbox_keeps_order_and_bound)
{
	outbox_t box;
	message_t m = { .kind = MESSAGE_OFFER };
	message_t out;
	pimento_id_t to;

	ck_assert_int_eq(outbox_init(&box, 3), 0);
	for (uint64_t i = 0; i < 4; i++) {
		m.u.offer.revision = i;
		ck_assert_int_eq(outbox_put(&box, i, &m), 0);
	}
	ck_assert_int_eq(outbox_put(&box, 9, &m), PIMENTO_EFULL);
	for (uint64_t i = 0; i < 4; i++) {
		ck_assert(outbox_take(&box, &to, &out));
		ck_assert_uint_eq(to, i);
		ck_assert_uint_eq(out.u.offer.revision, i);
	}
	ck_assert(!outbox_take(&box, &to, &out));
	outbox_finish(&box);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("base");
	TCase *tc = tcase_create("base");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, error_strings, 0,
			    sizeof(error_cases) / sizeof(error_cases[0]));
	tcase_add_test(tc, outbox_keeps_order_and_bound);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
