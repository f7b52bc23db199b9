#ifndef HEAP_H
#define HEAP_H

/*
 * A binary heap of borrowed items, least key first. Each item keeps its place
 * in the heap in a uint32_t of its own, so that it can be removed or moved in
 * O(log n); one item can sit in several heaps with a place for each.
 */

#include <stddef.h>
#include <stdint.h>

#define HEAP_ABSENT UINT32_MAX

typedef struct heap_entry {
	int64_t key;
	void *item;
} heap_entry_t;

typedef struct heap {
	heap_entry_t *entries;
	uint32_t count;
	uint32_t capacity;
	size_t index_offset; /* offset of the item's place */
} heap_t;

void heap_init(heap_t *heap, size_t index_offset);
void heap_finish(heap_t *heap);

/*
 * Puts an item in, or moves it to a new key. Returns 0 or PIMENTO_ENOMEM; a
 * move never fails. The place of a new item must be HEAP_ABSENT.
 */
int heap_put(heap_t *heap, void *item, int64_t key);

/* Takes an item out; harmless if it is not in. */
void heap_remove(heap_t *heap, void *item);

/* Returns the item of the least key, NULL when empty. */
void *heap_top(const heap_t *heap);
int64_t heap_top_key(const heap_t *heap); /* INT64_MAX when empty */

#endif
