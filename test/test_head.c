/* Which fields of a message's head concern one connection only. */

#include "head.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static void add(head_t *head, const char *name, const char *value)
{
	head_add_name(head, name, strlen(name));
	head_add_value(head, value, strlen(value));
}

static const struct {
	const char *first; /* of the Connection fields; NULL: none */
	const char *second;
	const char *name;
	bool hop_by_hop;
} cases[] = {
	{ NULL, NULL, "Keep-Alive", true },
	{ NULL, NULL, "connection", true },
	{ NULL, NULL, "X-One", false },
	{ "close", NULL, "X-One", false },
	{ "X-One", NULL, "x-one", true },
	{ "x-two, X-ONE", NULL, "X-One", true },
	{ ",, x-two ,x-one ;q=1,x-three", NULL, "X-One", true },
	{ "close", "x-zero, x-one, x-two", "X-One", true },
	{ "x-ones, x-on", NULL, "X-One", false },
	{ "x-two;x-one", NULL, "X-One", false },
	{ "", " , ;", "X-One", false },
};

START_TEST(fields_that_connection_names_are_hop_by_hop)
{
	head_t head;

	head_init(&head);
	for (int i = 0; i < 2; i++) { /* the second time with its memory */
		head_clear(&head);
		add(&head, "Host", "t.example");
		if (cases[_i].first)
			add(&head, "Connection", cases[_i].first);
		add(&head, "X-One", "1");
		if (cases[_i].second)
			add(&head, "CONNECTION", cases[_i].second);
		head_end(&head);
		ck_assert(!head.failed);
		ck_assert_int_eq(head_is_hop_by_hop(&head, cases[_i].name),
				 cases[_i].hop_by_hop);
	}
	head_finish(&head);
}
END_TEST

/* As many as the parser's limit of 80 KB holds. */
#define FIELDS_MAX 16000
/* The event loop's tick: one head must not take as long. */
#define HEAD_MS_MAX 50.0

/* Guards against work that grows with the square of a head's fields. */
START_TEST(a_head_of_many_fields_holds_up_nobody)
{
	uint32_t named = (uint32_t)_i * FIELDS_MAX / 2;
	uint32_t dropped = 0;
	clock_t begun = clock();
	char name[16];
	double ms;
	head_t head;

	head_init(&head);
	for (uint32_t i = 0; i < named; i++) {
		snprintf(name, sizeof(name), "f%u", i);
		add(&head, "Connection", name);
	}
	for (uint32_t i = 0; i < FIELDS_MAX; i++) {
		snprintf(name, sizeof(name), "f%u", i);
		add(&head, name, "1");
	}
	head_end(&head);
	for (uint32_t i = 0; i < head.count; i++)
		dropped += head_is_hop_by_hop(&head, head_name(&head, i));
	ms = (double)(clock() - begun) * 1000 / CLOCKS_PER_SEC;
	ck_assert_uint_eq(dropped, 2 * named);
	ck_assert_msg(ms < HEAD_MS_MAX, "%.0f ms", ms);
	head_finish(&head);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("head");
	TCase *tests = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, fields_that_connection_names_are_hop_by_hop,
			    0, sizeof(cases) / sizeof(cases[0]));
	tcase_add_loop_test(tests, a_head_of_many_fields_holds_up_nobody, 0, 3);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
