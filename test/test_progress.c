/* Tests the detection of stalled transfers. */

#include "progress.h"

#include <check.h>
#include <stdlib.h>

enum { IDLE_LIMIT_MS = 700, CHUNK_BYTES = 16 * 1024 };

static const struct {
	const char *name;
	int chunks;
	int interval_ms; /* time between chunks */
	int wait_ms; /* idle time after the last chunk */
	bool stalled;
} transfer_cases[] = {
	{ "no byte within the idle limit", 0, 0, 600, false },
	{ "no byte beyond the idle limit", 0, 0, 800, true },
	{ "1 MB at 600 KB/s", 64, 27, 0, false },
	{ "16 MB at 600 KB/s", 1024, 27, 0, false },
	{ "idle after half of 1 MB", 32, 27, 800, true },
	{ "low rate within the start grace", 4, 400, 0, false },
	{ "low rate beyond the start grace", 16, 500, 0, true },
};

/* Guards against aborting large transfers and against waiting for stalled ones. */
START_TEST(stall_depends_on_idle_time_or_rate)
{
	progress_t progress;
	pimento_usec_t now = 5 * PIMENTO_SEC;

	progress_begin(&progress, now);
	for (int i = 0; i < transfer_cases[_i].chunks; i++) {
		now += transfer_cases[_i].interval_ms * PIMENTO_MSEC;
		progress_add_bytes(&progress, CHUNK_BYTES, now);
	}
	now += transfer_cases[_i].wait_ms * PIMENTO_MSEC;
	ck_assert_msg(progress_stalled(&progress, IDLE_LIMIT_MS * PIMENTO_MSEC,
				       now) == transfer_cases[_i].stalled,
		      "%s: wrong result of progress_stalled()",
		      transfer_cases[_i].name);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("progress");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tests, stall_depends_on_idle_time_or_rate, 0,
			    sizeof(transfer_cases) / sizeof(transfer_cases[0]));
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
