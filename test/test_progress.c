/* Detection of stalled transfers. */

#include "progress.h"

#include <check.h>
#include <stdlib.h>

enum { SILENCE_MS = 700, PIECE = 16 * 1024 };

static const struct {
	const char *name;
	int pieces;
	int every_ms; /* between pieces */
	int wait_ms; /* after the last */
	bool stalled;
} cases[] = {
	{ "no byte yet", 0, 0, 600, false },
	{ "silent from the start", 0, 0, 800, true },
	{ "1 MB at 600 KB/s", 64, 27, 0, false },
	{ "16 MB at 600 KB/s", 1024, 27, 0, false },
	{ "silent after half", 32, 27, 800, true },
	{ "slow for a moment", 4, 400, 0, false },
	{ "a trickle", 16, 500, 0, true },
};

/* Guards against aborting large transfers and against waiting for stalled ones. */
START_TEST(a_transfer_stalls_by_silence_or_rate_and_not_by_size)
{
	progress_t progress;
	pimento_usec_t now = 5 * PIMENTO_SEC;

	progress_begin(&progress, now);
	for (int i = 0; i < cases[_i].pieces; i++) {
		now += cases[_i].every_ms * PIMENTO_MSEC;
		progress_add(&progress, PIECE, now);
	}
	now += cases[_i].wait_ms * PIMENTO_MSEC;
	ck_assert_msg(progress_stalled(&progress, SILENCE_MS * PIMENTO_MSEC,
				       now) == cases[_i].stalled,
		      "%s", cases[_i].name);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("progress");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(
		tests, a_transfer_stalls_by_silence_or_rate_and_not_by_size, 0,
		sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
