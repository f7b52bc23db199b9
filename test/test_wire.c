/*
 * Tests of the message encoding: every kind of message decodes to what was
 * encoded, and malformed or hostile input of a peer is rejected.
 */

#include "wire.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static message_t decoded;

static int round_trip(const message_t *message)
{
	uint8_t frame[WIRE_FRAME_MAX];
	pimento_id_t from;
	int length = wire_encode(7, message, frame, sizeof(frame));

	if (length < 0)
		return length;
	ck_assert_int_eq(wire_payload_length(frame), length - WIRE_HEADER_SIZE);
	memset(&decoded, 0, sizeof(decoded));
	return wire_decode(frame + WIRE_HEADER_SIZE,
			   (size_t)length - WIRE_HEADER_SIZE, &from, &decoded);
}

START_TEST(every_kind_round_trips)
{
	message_t m;

	memset(&m, 0, sizeof(m));
	m.kind = (message_kind_t)_i;
	switch (m.kind) {
	case MESSAGE_CLAIM:
		m.u.claim.op = CLAIM_TAKE;
		m.u.claim.key_age = -1;
		m.u.claim.dispatch.answer_size = MESSAGE_ANSWER_BYTES_MAX;
		memset(m.u.claim.dispatch.answer, 'x',
		       MESSAGE_ANSWER_BYTES_MAX);
		break;
	case MESSAGE_WITNESS:
		m.u.witness.result = PIMENTO_ECLAIMED;
		m.u.witness.attempt = 3;
		m.u.witness.dispatch.done = 1;
		break;
	case MESSAGE_PROBE:
	case MESSAGE_ACK:
		m.u.probe.count = MESSAGE_FACTS_MAX;
		m.u.probe.facts[15].state = HOST_LEAVING;
		break;
	case MESSAGE_OFFER:
		m.u.offer.subject = CONFIG_SYNC_HOSTS;
		break;
	case MESSAGE_PULL:
		m.u.pull.subject = CONFIG_SYNC_CONFIG;
		m.u.pull.base = 9;
		break;
	case MESSAGE_PART:
		m.u.part.subject = CONFIG_SYNC_CONFIG;
		m.u.part.length = MESSAGE_PART_BYTES_MAX;
		memset(m.u.part.bytes, 'y', MESSAGE_PART_BYTES_MAX);
		break;
	case MESSAGE_DIGEST:
		m.u.digest.count = MESSAGE_SUMMARIES_MAX;
		m.u.digest.summaries[3].waiting[2] = 5;
		break;
	default:
		m.u.reserve.request.hi = 0x1234;
		break;
	}
	ck_assert_int_eq(round_trip(&m), 0);
	ck_assert_mem_eq(&decoded, &m, message_size(m.kind));
}
END_TEST

static const struct {
	const char *name;
	message_t message;
	int expected;
} out_of_range_cases[] = {
	{ "message without a kind", { .kind = MESSAGE_NONE }, PIMENTO_EINVAL },
	{ "kind out of range", { .kind = MESSAGE_KINDS }, PIMENTO_EINVAL },
	{ "more facts than a probe holds",
	  { .kind = MESSAGE_PROBE, .u.probe.count = MESSAGE_FACTS_MAX + 1 },
	  PIMENTO_EINVAL },
	{ "tier out of range",
	  { .kind = MESSAGE_RESERVE, .u.reserve.tier = PIMENTO_TIERS_MAX },
	  PIMENTO_EPARSE },
	{ "unknown claim operation",
	  { .kind = MESSAGE_CLAIM, .u.claim.op = 9 },
	  PIMENTO_EPARSE },
	{ "unknown release outcome",
	  { .kind = MESSAGE_RELEASE, .u.release.outcome = 9 },
	  PIMENTO_EPARSE },
	{ "unknown subject of an offer",
	  { .kind = MESSAGE_OFFER, .u.offer.subject = 3 },
	  PIMENTO_EPARSE },
	{ "unknown host state in a fact",
	  { .kind = MESSAGE_ACK,
	    .u.probe = { .count = 1, .facts[0].state = 77 } },
	  PIMENTO_EPARSE },
};

START_TEST(out_of_range_is_refused)
{
	ck_assert_msg(round_trip(&out_of_range_cases[_i].message) ==
			      out_of_range_cases[_i].expected,
		      "%s", out_of_range_cases[_i].name);
}
END_TEST

static const struct {
	uint8_t header[WIRE_HEADER_SIZE];
	int expected;
} header_cases[] = {
	{ { 0, 0, 0, 0 }, PIMENTO_EPARSE },
	{ { 0, 0, 0, 1 }, 1 },
	{ { 0, 0, 0x80, 0 }, WIRE_PAYLOAD_MAX },
	{ { 0, 0, 0x80, 1 }, PIMENTO_EPARSE },
	{ { 0xff, 0xff, 0xff, 0xff }, PIMENTO_EPARSE },
};

START_TEST(out_of_range_length_is_refused)
{
	ck_assert_int_eq(wire_payload_length(header_cases[_i].header),
			 header_cases[_i].expected);
}
END_TEST

/*
 * A peer of another version or an unrelated client may send arbitrary bytes. The
 * decoder must return an error or a valid message for them and must not crash.
 */
START_TEST(random_bytes_do_not_crash_decoder)
{
	uint8_t bytes[256];
	pimento_random_t random;
	pimento_id_t from;

	pimento_random_init(&random, 1);
	for (int round = 0; round < 20000; round++) {
		size_t length = pimento_random_below(&random, sizeof(bytes));

		for (size_t i = 0; i < length; i++)
			bytes[i] = (uint8_t)pimento_random_next(&random);
		if (!wire_decode(bytes, length, &from, &decoded))
			ck_assert_uint_lt(decoded.kind, MESSAGE_KINDS);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("wire");
	TCase *tc = tcase_create("wire");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, every_kind_round_trips, MESSAGE_RESERVE,
			    MESSAGE_KINDS);
	tcase_add_loop_test(tc, out_of_range_is_refused, 0,
			    sizeof(out_of_range_cases) /
				    sizeof(out_of_range_cases[0]));
	tcase_add_loop_test(tc, out_of_range_length_is_refused, 0,
			    sizeof(header_cases) / sizeof(header_cases[0]));
	tcase_add_test(tc, random_bytes_do_not_crash_decoder);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
