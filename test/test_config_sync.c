/*
 * Differences between texts, and distribution of the two published documents.
 */

#include "delta.h"
#include "config_sync.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3

static config_sync_t hosts[HOSTS];
static outbox_t outboxes[HOSTS];

static void setup(void)
{
	for (uint32_t i = 0; i < HOSTS; i++) {
		config_sync_options_t options = { .self = i + 1, .seed = 7 };

		ck_assert_int_eq(outbox_init(&outboxes[i], 64), 0);
		ck_assert_int_eq(
			config_sync_init(&hosts[i], &options, &outboxes[i]), 0);
	}
}

static void teardown(void)
{
	for (uint32_t i = 0; i < HOSTS; i++) {
		config_sync_finish(&hosts[i]);
		outbox_finish(&outboxes[i]);
	}
}

/*
 * Delivers messages until all outboxes are empty. Returns their number and adds
 * the bytes of transferred parts to *bytes.
 */
static uint32_t deliver_messages(pimento_usec_t now, size_t *bytes)
{
	uint32_t messages = 0;
	bool idle;

	do {
		idle = true;
		for (uint32_t i = 0; i < HOSTS; i++) {
			message_t m;
			pimento_id_t to;

			while (outbox_take(&outboxes[i], &to, &m)) {
				idle = false;
				messages++;
				if (m.kind == MESSAGE_PART && bytes)
					*bytes += m.u.part.length;
				config_sync_receive(&hosts[to - 1], now, i + 1,
						    &m);
			}
		}
	} while (!idle);
	return messages;
}

static char *make_text(uint32_t count, uint32_t changed, size_t *length)
{
	char *text = malloc((size_t)count * 40 + 1);

	*length = 0;
	for (uint32_t i = 0; i < count; i++)
		*length += (size_t)sprintf(text + *length,
					   "contract%u = \"%s%u\"\n", i,
					   i == changed ? "new" : "old", i * 7);
	return text;
}

static const struct {
	const char *base;
	const char *text;
} delta_cases[] = {
	{ "", "" },
	{ "", "a\nb\n" },
	{ "a\nb\n", "" },
	{ "a\nb\nc\n", "a\nx\nc\n" },
	{ "same line here\nsame line here\nend", "same line here\nend" },
	{ "[{\"name\":\"host-a\",\"state\":\"live\"},"
	  "{\"name\":\"host-b\",\"state\":\"live\"}]",
	  "[{\"name\":\"host-b\",\"state\":\"leaving\"},"
	  "{\"name\":\"host-a\",\"state\":\"live\"}]" },
};

START_TEST(delta_round_trip)
{
	const char *base = delta_cases[_i].base;
	const char *text = delta_cases[_i].text;
	char *delta;
	char *result;
	size_t length;

	ck_assert_int_eq(delta_create(base, strlen(base), text, strlen(text),
				      &delta, &length),
			 0);
	ck_assert_int_eq(delta_apply(base, strlen(base), delta, length, 1000,
				     &result, &length),
			 0);
	ck_assert_uint_eq(length, strlen(text));
	ck_assert_str_eq(result, text);
	free(delta);
	free(result);
}
END_TEST

static const struct {
	const char *delta;
	size_t length;
	int error;
} bad_deltas[] = {
	{ "\x80", 1, PIMENTO_EPARSE }, /* truncated number */
	{ "\x09"
	  "\x00",
	  2, PIMENTO_EPARSE }, /* copies 4 bytes, the base has 3 */
	{ "\x03"
	  "\x04",
	  2, PIMENTO_EPARSE }, /* copies from beyond the end of the base */
	{ "\x06"
	  "a",
	  2, PIMENTO_EPARSE }, /* has fewer new bytes than it states */
	{ "\x7e", 1, PIMENTO_ETOOBIG },
};

START_TEST(malformed_delta_is_rejected)
{
	char *result;
	size_t length;

	ck_assert_int_eq(delta_apply("abc", 3, bad_deltas[_i].delta,
				     bad_deltas[_i].length, 32, &result,
				     &length),
			 bad_deltas[_i].error);
}
END_TEST

START_TEST(only_the_delta_is_transferred)
{
	size_t bytes = 0;
	size_t length;
	uint64_t revision;
	char *text = make_text(2000, 9999, &length);

	ck_assert_int_eq(config_sync_submit(&hosts[0], 0, CONFIG_SYNC_CONFIG, 4,
					    text, length),
			 0);
	ck_assert_uint_eq(config_sync_revision(&hosts[0], CONFIG_SYNC_CONFIG),
			  0);
	config_sync_resolve_pending(&hosts[0], 0, CONFIG_SYNC_CONFIG, true);
	config_sync_learn_revision(&hosts[1], 0, 1, CONFIG_SYNC_CONFIG, 4);
	deliver_messages(0, &bytes);
	ck_assert_uint_eq(bytes, length);
	ck_assert_str_eq(config_sync_pending(&hosts[1], CONFIG_SYNC_CONFIG,
					     &revision, &length),
			 text);
	ck_assert_uint_eq(revision, 4);
	config_sync_resolve_pending(&hosts[1], 0, CONFIG_SYNC_CONFIG, true);
	free(text);

	text = make_text(2000, 1000, &length);
	bytes = 0;
	config_sync_submit(&hosts[0], 0, CONFIG_SYNC_CONFIG, 5, text, length);
	config_sync_resolve_pending(&hosts[0], 0, CONFIG_SYNC_CONFIG, true);
	config_sync_learn_revision(&hosts[1], 0, 1, CONFIG_SYNC_CONFIG, 5);
	deliver_messages(0, &bytes);
	ck_assert_uint_lt(bytes, 100);
	ck_assert_str_eq(config_sync_pending(&hosts[1], CONFIG_SYNC_CONFIG,
					     &revision, &length),
			 text);
	config_sync_resolve_pending(&hosts[1], 0, CONFIG_SYNC_CONFIG, true);
	ck_assert_int_eq(config_sync_submit(&hosts[1], 0, CONFIG_SYNC_CONFIG, 4,
					    text, length),
			 PIMENTO_ESTALE);
	ck_assert_uint_eq(config_sync_revision(&hosts[1], CONFIG_SYNC_CONFIG),
			  5);
	free(text);
}
END_TEST

/*
 * A published configuration fails its checks, and peers keep announcing it. If
 * the host fetched the rejected text at each announcement, operators would see
 * steady traffic and a log full of the same errors.
 */
START_TEST(rejected_text_is_not_fetched_again)
{
	size_t length;
	uint64_t revision;

	config_sync_submit(&hosts[0], 0, CONFIG_SYNC_CONFIG, 3, "bad", 3);
	config_sync_resolve_pending(&hosts[0], 0, CONFIG_SYNC_CONFIG, true);
	config_sync_learn_revision(&hosts[1], 0, 1, CONFIG_SYNC_CONFIG, 3);
	deliver_messages(0, NULL);
	ck_assert_ptr_nonnull(config_sync_pending(&hosts[1], CONFIG_SYNC_CONFIG,
						  &revision, &length));
	config_sync_resolve_pending(&hosts[1], 0, CONFIG_SYNC_CONFIG, false);
	ck_assert_uint_eq(config_sync_revision(&hosts[1], CONFIG_SYNC_CONFIG),
			  0);
	config_sync_learn_revision(&hosts[1], 0, 1, CONFIG_SYNC_CONFIG, 3);
	ck_assert_uint_eq(deliver_messages(0, NULL), 0);
	ck_assert_int_eq(config_sync_submit(&hosts[1], 0, CONFIG_SYNC_CONFIG, 3,
					    "bad", 3),
			 PIMENTO_ESTALE);
	ck_assert_int_eq(config_sync_submit(&hosts[1], 0, CONFIG_SYNC_CONFIG, 2,
					    "good", 4),
			 0);
}
END_TEST

/*
 * The peer from which a text is being pulled dies midway. The host must
 * continue with another peer that has the text; otherwise it would keep the old
 * configuration until the dead peer returns.
 */
START_TEST(transfer_resumes_from_another_peer)
{
	message_t m;
	pimento_id_t to;
	size_t length;
	uint64_t revision;
	char *text = make_text(2000, 9999, &length);

	for (uint32_t i = 0; i < 2; i++) {
		config_sync_submit(&hosts[i], 0, CONFIG_SYNC_CONFIG, 4, text,
				   length);
		config_sync_resolve_pending(&hosts[i], 0, CONFIG_SYNC_CONFIG,
					    true);
		config_sync_learn_revision(&hosts[2], 0, i + 1,
					   CONFIG_SYNC_CONFIG, 4);
	}
	ck_assert(outbox_take(&outboxes[2], &to, &m));
	ck_assert_uint_eq(to, 1);
	config_sync_receive(&hosts[0], 0, 3, &m);
	outbox_take(&outboxes[0], &to, &m);
	config_sync_receive(&hosts[2], 0, 1, &m);
	/* host 1 is dead: the next pull is lost */
	outbox_take(&outboxes[2], &to, &m);
	config_sync_tick(&hosts[2], config_sync_deadline(&hosts[2]));
	deliver_messages(0, NULL);
	ck_assert_str_eq(config_sync_pending(&hosts[2], CONFIG_SYNC_CONFIG,
					     &revision, &length),
			 text);
	free(text);
}
END_TEST

static const struct {
	message_part_t part;
} bad_parts[] = {
	{ { .subject = 9, .revision = 1 } },
	{ { .subject = 1,
	    .revision = 1,
	    .length = MESSAGE_PART_BYTES_MAX + 1 } },
	{ { .subject = 1, .revision = 1, .size = 10, .offset = 11 } },
	{ { .subject = 1,
	    .revision = 1,
	    .size = 10,
	    .offset = 8,
	    .length = 3 } },
	{ { .subject = 1, .revision = 1, .size = CONFIG_SYNC_TEXT_MAX + 1 } },
};

START_TEST(malformed_parts_are_rejected)
{
	message_t m = { .kind = MESSAGE_PART };

	m.u.part = bad_parts[_i].part;
	ck_assert_int_eq(config_sync_receive(&hosts[0], 0, 2, &m),
			 PIMENTO_EINVAL);
}
END_TEST

START_TEST(poller_count_is_bounded)
{
	static const uint32_t sizes[] = { 1, 8, 50, 400 };
	uint32_t n = sizes[_i];
	pimento_id_t live[400];
	uint32_t pollers = 0;
	double reads = 0;

	for (uint32_t i = 0; i < n; i++)
		live[i] = (i + 1) * 0x9e3779b97f4a7c15ULL;
	for (uint32_t i = 0; i < n; i++) {
		config_sync_t s = { .options = {
					    .self = live[i],
					    .pollers = CONFIG_SYNC_POLLERS } };
		pimento_usec_t interval;

		if (config_sync_is_poller(&s, live, n, &interval))
			pollers++;
		else
			reads += (double)PIMENTO_SEC / (double)interval;
	}
	ck_assert_uint_eq(pollers,
			  n < CONFIG_SYNC_POLLERS ? n : CONFIG_SYNC_POLLERS);
	ck_assert_double_le(reads, 2.5);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_sync");
	TCase *tc = tcase_create("config_sync");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, delta_round_trip, 0,
			    sizeof(delta_cases) / sizeof(delta_cases[0]));
	tcase_add_loop_test(tc, malformed_delta_is_rejected, 0,
			    sizeof(bad_deltas) / sizeof(bad_deltas[0]));
	tcase_add_test(tc, only_the_delta_is_transferred);
	tcase_add_test(tc, rejected_text_is_not_fetched_again);
	tcase_add_test(tc, transfer_resumes_from_another_peer);
	tcase_add_loop_test(tc, malformed_parts_are_rejected, 0,
			    sizeof(bad_parts) / sizeof(bad_parts[0]));
	tcase_add_loop_test(tc, poller_count_is_bounded, 0, 4);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
