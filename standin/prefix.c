/*
 * A small array searched from end to end: the caches here hold some thousand
 * blocks, and a stand-in need not be quicker than that.
 */

#include "prefix.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LOST_EVENT 7

int prefix_init(prefix_t *prefix, uint32_t tokens)
{
	memset(prefix, 0, sizeof(*prefix));
	prefix->capacity = tokens / PREFIX_BLOCK_TOKENS;
	prefix->blocks = calloc(prefix->capacity + 1, sizeof(prefix_block_t));
	return prefix->blocks ? 0 : -1;
}

void prefix_finish(prefix_t *prefix)
{
	free(prefix->blocks);
}

static uint64_t block_hash(const char *prompt, size_t block, uint64_t before)
{
	return XXH3_64bits_withSeed(prompt + block * PREFIX_BLOCK_BYTES,
				    PREFIX_BLOCK_BYTES, before);
}

static prefix_block_t *block_find(prefix_t *prefix, uint64_t hash)
{
	for (uint32_t i = 0; i < prefix->capacity; i++)
		if (prefix->blocks[i].used && prefix->blocks[i].hash == hash)
			return &prefix->blocks[i];
	return NULL;
}

static prefix_block_t *block_oldest(prefix_t *prefix)
{
	prefix_block_t *oldest = &prefix->blocks[0];

	for (uint32_t i = 1; i < prefix->capacity; i++)
		if (prefix->blocks[i].used < oldest->used)
			oldest = &prefix->blocks[i];
	return oldest;
}

uint32_t prefix_match(prefix_t *prefix, const char *prompt, size_t length)
{
	size_t count = length / PREFIX_BLOCK_BYTES;
	uint64_t hash = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		prefix_block_t *block;

		hash = block_hash(prompt, i, hash);
		block = block_find(prefix, hash);
		if (!block)
			break;
		block->used = ++prefix->clock;
	}
	return (uint32_t)i * PREFIX_BLOCK_TOKENS;
}

static void event(prefix_t *prefix, uint64_t hash, uint32_t depth, int stored,
		  int64_t now_ms)
{
	uint64_t id = ++prefix->events;

	prefix->ring[id % PREFIX_EVENTS] =
		(prefix_event_t){ id, hash, depth, stored, now_ms };
}

void prefix_store(prefix_t *prefix, const char *prompt, size_t length,
		  int64_t now_ms)
{
	size_t count = length / PREFIX_BLOCK_BYTES;
	uint64_t hash = 0;

	if (count > prefix->capacity)
		count = prefix->capacity;
	for (size_t i = 0; i < count; i++) {
		prefix_block_t *block;

		hash = block_hash(prompt, i, hash);
		block = block_find(prefix, hash);
		if (!block) {
			block = block_oldest(prefix);
			if (block->used)
				event(prefix, block->hash, 0, 0, now_ms);
			block->hash = hash;
			event(prefix, hash, (uint32_t)i, 1, now_ms);
		}
		block->used = ++prefix->clock;
	}
}

static json_t *event_json(const prefix_event_t *e)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016" PRIx64, e->hash);
	return json_pack("{s:I,s:s,s:s,s:i}", "id", (json_int_t)e->id, "kind",
			 e->stored ? "stored" : "evicted", "hash", hash,
			 "depth", (int)e->depth);
}

json_t *prefix_events(const prefix_t *prefix, uint64_t after, int64_t now_ms,
		      int64_t lag_ms)
{
	json_t *list = json_array();
	uint64_t first = prefix->events > PREFIX_EVENTS
				 ? prefix->events - PREFIX_EVENTS + 1
				 : 1;

	if (after + 1 > first)
		first = after + 1;
	for (uint64_t id = first; id <= prefix->events; id++) {
		const prefix_event_t *e = &prefix->ring[id % PREFIX_EVENTS];

		if (e->at_ms > now_ms - lag_ms)
			break;
		if (id % LOST_EVENT != 0)
			json_array_append_new(list, event_json(e));
	}
	return list;
}
