/*
 * Fuzzes the decoder of peers' frames. An accepted payload must encode to a frame
 * that decodes and encodes to the same bytes; otherwise two hosts could read one
 * message differently.
 *
 * The initial corpus is one frame of each message kind, written into the corpus
 * directory that is the first argument: without it, libFuzzer needs hours to find
 * valid frames.
 */

#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
int LLVMFuzzerInitialize(int *argc, char ***argv);

/* Fills in a message with counts and enumerations that are in range. */
static void make_message(message_t *message, message_kind_t kind)
{
	memset(message, 1, sizeof(*message));
	message->kind = kind;
	if (kind == MESSAGE_DIGEST)
		message->u.digest.count = 3;
	if (kind == MESSAGE_PROBE || kind == MESSAGE_ACK)
		message->u.probe.count = 3;
	if (kind == MESSAGE_PART)
		message->u.part.length = 20;
	if (kind == MESSAGE_CLAIM)
		message->u.claim.dispatch.answer_size = 20;
	if (kind == MESSAGE_WITNESS)
		message->u.witness.dispatch.answer_size = 20;
}

static void write_seed(const char *folder, message_kind_t kind)
{
	static uint8_t frame[WIRE_FRAME_MAX];
	static message_t message;
	char path[256];
	FILE *file;
	int length;

	make_message(&message, kind);
	length = wire_encode(1, &message, frame, sizeof(frame));
	if (length < WIRE_HEADER_SIZE)
		return;
	snprintf(path, sizeof(path), "%s/%s", folder, message_kind_name(kind));
	file = fopen(path, "wb");
	if (!file)
		return;
	fwrite(frame + WIRE_HEADER_SIZE, 1, (size_t)(length - WIRE_HEADER_SIZE),
	       file);
	fclose(file);
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	if (*argc < 2 || (*argv)[1][0] == '-')
		return 0;
	for (int kind = 1; kind < MESSAGE_KINDS; kind++)
		write_seed((*argv)[1], (message_kind_t)kind);
	return 0;
}

static void check_round_trip(pimento_id_t from, const message_t *message)
{
	static uint8_t frame[WIRE_FRAME_MAX];
	static uint8_t reencoded[WIRE_FRAME_MAX];
	static message_t copy;
	pimento_id_t sender;
	int length = wire_encode(from, message, frame, sizeof(frame));

	if (length < WIRE_HEADER_SIZE ||
	    wire_payload_length(frame) != length - WIRE_HEADER_SIZE)
		abort();
	memset(&copy, 0, sizeof(copy));
	if (wire_decode(frame + WIRE_HEADER_SIZE,
			(size_t)(length - WIRE_HEADER_SIZE), &sender, &copy))
		abort();
	if (sender != from || copy.kind != message->kind)
		abort();
	if (wire_encode(sender, &copy, reencoded, sizeof(reencoded)) !=
		    length ||
	    memcmp(frame, reencoded, (size_t)length) != 0)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static message_t message;
	pimento_id_t from;

	if (size >= WIRE_HEADER_SIZE)
		(void)wire_payload_length(data);
	memset(&message, 0, sizeof(message));
	if (wire_decode(data, size, &from, &message) == 0)
		check_round_trip(from, &message);
	return 0;
}
