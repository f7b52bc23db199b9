#ifndef STANDIN_PREFIX_H
#define STANDIN_PREFIX_H

/*
 * An engine's prefix cache: blocks of prompt, least recently used out first.
 * A block's name is the hash of its bytes seeded with the name of the block
 * before it (0 for the first), so that equal names mean equal prefixes.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define PREFIX_BLOCK_TOKENS 64
#define PREFIX_BLOCK_BYTES ((size_t)4 * PREFIX_BLOCK_TOKENS)
#define PREFIX_EVENTS 1024

typedef struct prefix_block {
	uint64_t hash;
	uint64_t used; /* 0: free */
} prefix_block_t;

typedef struct prefix_event {
	uint64_t id; /* 0: none */
	uint64_t hash;
	uint32_t depth;
	int stored; /* 0: evicted */
	int64_t at_ms;
} prefix_event_t;

typedef struct prefix {
	prefix_block_t *blocks;
	uint32_t capacity;
	uint64_t clock;
	uint64_t events;
	prefix_event_t ring[PREFIX_EVENTS];
} prefix_t;

/* Returns 0, or -1 without memory. */
int prefix_init(prefix_t *prefix, uint32_t tokens);
void prefix_finish(prefix_t *prefix);

/* Tokens at the prompt's beginning that are cached; marks them as used. */
uint32_t prefix_match(prefix_t *prefix, const char *prompt, size_t length);

/* Enters the prompt's whole blocks. */
void prefix_store(prefix_t *prefix, const char *prompt, size_t length,
		  int64_t now_ms);

/* Events after one, old enough to be published; every seventh is lost. */
json_t *prefix_events(const prefix_t *prefix, uint64_t after, int64_t now_ms,
		      int64_t lag_ms);

#endif
