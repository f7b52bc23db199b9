/* The parts of a prompt, as the platform's header field states them. */

#include "headers.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define LONG_ID "0123456789abcdef0:1"

static const struct {
	const char *field; /* NULL: none */
	const char *second; /* a further field of the same name; NULL: none */
	uint32_t count;
	uint64_t parts[3];
} cases[] = {
	{ NULL, NULL, 0, { 0 } },
	{ "", NULL, 0, { 0 } },
	{ "5c1e07a2:800", NULL, 0, { 0 } }, /* its own */
	{ "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	  NULL,
	  2,
	  { 0x5c1e07a2, 0x91bd3f06 } },
	{ "5C1E07A2:800, 91bd3f06:410", NULL, 1, { 0x5c1e07a2 } },
	{ "5c1e07a2:800", "91bd3f06:410", 1, { 0x5c1e07a2 } },
	{ "x:1,5c1e07a2:800,:2,7,91bd3f06:410", NULL, 1, { 0x5c1e07a2 } },
	{ LONG_ID ",5c1e07a2:800,91bd3f06:410", NULL, 1, { 0x5c1e07a2 } },
	{ "0:5,,,5c1e07a2:800,", NULL, 0, { 0 } },
};

static void add_field(head_t *head, const char *value)
{
	if (!value)
		return;
	head_add_name(head, "Prefix-Hash", 11);
	head_add_value(head, value, strlen(value));
}

static dialect_call_t read_field(const char *field, const char *second)
{
	dialect_call_t call = { 0 };
	head_t head;

	head_init(&head);
	add_field(&head, field);
	add_field(&head, second);
	head_end(&head);
	platform_dialect.read_call(&head, &call);
	head_finish(&head);
	return call;
}

START_TEST(shared_parts_are_read_and_malformed_ones_left_out)
{
	dialect_call_t call = read_field(cases[_i].field, cases[_i].second);

	ck_assert_uint_eq(call.part_count, cases[_i].count);
	for (uint32_t i = 0; i < call.part_count; i++)
		ck_assert_uint_eq(call.parts[i], cases[_i].parts[i]);
}
END_TEST

/* A prompt of very many parts that overruns what is kept of them. */
START_TEST(parts_beyond_the_bound_are_left_out)
{
	char field[40 * (DIALECT_PARTS_MAX + 9)] = "";

	for (int i = 0; i < DIALECT_PARTS_MAX + 9; i++)
		strcat(field, "5c1e07a2:800,");
	ck_assert_uint_eq(read_field(field, NULL).part_count,
			  DIALECT_PARTS_MAX);
}
END_TEST

/* Attempts that are not known to ask for the same, or others that are. */
START_TEST(the_digest_tells_what_is_asked)
{
	uint64_t digest = read_field("5c1e07a2:800,91bd3f06:410", NULL).digest;

	ck_assert_uint_eq(digest,
			  read_field("5c1e07a2:800,91bd3f06:410", NULL).digest);
	ck_assert_uint_ne(digest,
			  read_field("5c1e07a2:800,91bd3f06:411", NULL).digest);
	ck_assert_uint_ne(digest,
			  read_field("5c1e07a2:800,", "91bd3f06:410").digest);
	ck_assert_uint_ne(digest, read_field(NULL, NULL).digest);
}
END_TEST

static const struct {
	const char *field; /* NULL: none */
	uint32_t rate;
} limits[] = {
	{ NULL, 0 },	{ "", 0 },	{ "3.7", 3700 }, { "12", 12000 },
	{ "0.4", 400 }, { "0", 1 },	{ "-3", 0 },	 { "3.7 a second", 0 },
	{ "nan", 0 },	{ "1e300", 0 }, { "0.0001", 1 },
};

START_TEST(stated_limits_are_read_and_malformed_ones_left_out)
{
	dialect_answer_t answer = { 0 };
	head_t head;

	head_init(&head);
	if (limits[_i].field) {
		head_add_name(&head, "Server-Limit", 12);
		head_add_value(&head, limits[_i].field,
			       strlen(limits[_i].field));
	}
	head_end(&head);
	platform_dialect.read_answer(&head, "x", &answer);
	ck_assert_uint_eq(answer.rate_limit, limits[_i].rate);
	head_finish(&head);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("headers");
	TCase *tests = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests,
			    shared_parts_are_read_and_malformed_ones_left_out,
			    0, sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tests, parts_beyond_the_bound_are_left_out);
	tcase_add_test(tests, the_digest_tells_what_is_asked);
	tcase_add_loop_test(tests,
			    stated_limits_are_read_and_malformed_ones_left_out,
			    0, sizeof(limits) / sizeof(limits[0]));
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
