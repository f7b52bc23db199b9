/*
 * Fuzzes the decoder of peers' datagrams and the parser of server-sent events.
 * No input may overrun a buffer, and every decoded packet must encode again. The
 * lowest bit of the first input byte selects which of the two is run.
 */

#include "sse.h"
#include "packet.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_packet(const uint8_t *data, size_t size)
{
	uint8_t bytes[4 * PACKET_BYTES_MAX];
	packet_t packet;

	if (packet_unpack(&packet, data, size))
		return;
	if (packet_pack(&packet, bytes, sizeof(bytes)) <= 0)
		abort();
}

static void fuzz_events(const uint8_t *data, size_t size)
{
	size_t half = size / 2;
	sse_t events;
	int64_t complete;

	sse_init(&events);
	complete = sse_feed(&events, (const char *)data, half);
	if (complete < 0 || (size_t)complete > events.partial.text.length)
		abort();
	sse_consume(&events, (size_t)complete);
	complete = sse_feed(&events, (const char *)data + half, size - half);
	if (complete < 0 || (size_t)complete > events.partial.text.length)
		abort();
	sse_finish(&events);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!size)
		return 0;
	if (data[0] & 1)
		fuzz_packet(data + 1, size - 1);
	else
		fuzz_events(data + 1, size - 1);
	return 0;
}
