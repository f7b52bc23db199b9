/*
 * The outbox: a ring buffer of messages. Each is allocated with the size of its
 * kind, since a message_t is as large as its largest member and most messages
 * are small.
 */

#include "message.h"

#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	size_t size;
} kinds[MESSAGE_KINDS] = {
	[MESSAGE_NONE] = { "none", 0 },
	[MESSAGE_RESERVE] = { "reserve", sizeof(message_reserve_t) },
	[MESSAGE_GRANT] = { "grant", sizeof(message_grant_t) },
	[MESSAGE_WAIT] = { "wait", sizeof(message_wait_t) },
	[MESSAGE_REFUSE] = { "refuse", sizeof(message_refuse_t) },
	[MESSAGE_RELEASE] = { "release", sizeof(message_release_t) },
	[MESSAGE_PROGRESS] = { "progress", sizeof(message_progress_t) },
	[MESSAGE_DIGEST] = { "digest", sizeof(message_digest_t) },
	[MESSAGE_CLAIM] = { "claim", sizeof(message_claim_t) },
	[MESSAGE_WITNESS] = { "witness", sizeof(message_witness_t) },
	[MESSAGE_PROBE] = { "probe", sizeof(message_probe_t) },
	[MESSAGE_ACK] = { "ack", sizeof(message_probe_t) },
	[MESSAGE_OFFER] = { "offer", sizeof(message_offer_t) },
	[MESSAGE_PULL] = { "pull", sizeof(message_pull_t) },
	[MESSAGE_PART] = { "part", sizeof(message_part_t) },
};

size_t message_size(message_kind_t kind)
{
	if ((unsigned)kind >= MESSAGE_KINDS)
		kind = MESSAGE_NONE;
	return offsetof(message_t, u) + kinds[kind].size;
}

const char *message_kind_name(message_kind_t kind)
{
	if ((unsigned)kind >= MESSAGE_KINDS)
		return "unknown";
	return kinds[kind].name;
}

static uint32_t round_up_pow2(uint32_t n)
{
	uint32_t power = 1;

	while (power < n && power < (1U << 31))
		power <<= 1;
	return power;
}

int outbox_init(outbox_t *outbox, uint32_t capacity)
{
	memset(outbox, 0, sizeof(*outbox));
	outbox->capacity = round_up_pow2(capacity);
	outbox->entries = calloc(outbox->capacity, sizeof(*outbox->entries));
	return outbox->entries ? PIMENTO_OK : PIMENTO_ENOMEM;
}

void outbox_finish(outbox_t *outbox)
{
	uint32_t mask = outbox->capacity - 1;

	for (; outbox->count; outbox->count--)
		free(outbox->entries[outbox->head++ & mask].message);
	free(outbox->entries);
	memset(outbox, 0, sizeof(*outbox));
}

int outbox_put(outbox_t *outbox, pimento_id_t to, const message_t *message)
{
	size_t size = message_size(message->kind);
	outbox_entry_t *entry;

	if (outbox->count == outbox->capacity) {
		outbox->refused++;
		return PIMENTO_EFULL;
	}
	entry = &outbox->entries[(outbox->head + outbox->count) &
				 (outbox->capacity - 1)];
	entry->message = malloc(size);
	if (!entry->message)
		return PIMENTO_ENOMEM;
	memcpy(entry->message, message, size);
	entry->to = to;
	outbox->count++;
	return PIMENTO_OK;
}

bool outbox_take(outbox_t *outbox, pimento_id_t *to, message_t *message)
{
	outbox_entry_t *entry;

	if (!outbox->count)
		return false;
	entry = &outbox->entries[outbox->head & (outbox->capacity - 1)];
	*to = entry->to;
	memcpy(message, entry->message, message_size(entry->message->kind));
	free(entry->message);
	entry->message = NULL;
	outbox->head = (outbox->head + 1) & (outbox->capacity - 1);
	outbox->count--;
	return true;
}
