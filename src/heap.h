#ifndef HEAP_H
#define HEAP_H

/*
 * A binary min-heap of borrowed items. Each item stores its index in the heap in
 * a uint32_t member, so that it can be removed or given a new key in O(log n).
 * An item can be in several heaps, with an index member for each.
 */

#include <stddef.h>
#include <stdint.h>

#define HEAP_ABSENT UINT32_MAX /* index of an item that is not in the heap */

typedef struct heap_entry {
	int64_t key;
	void *item;
} heap_entry_t;

typedef struct heap {
	heap_entry_t *entries;
	uint32_t count;
	uint32_t capacity;
	size_t index_offset; /* offset of the index member in an item, in bytes */
} heap_t;

void heap_init(heap_t *heap, size_t index_offset);
void heap_finish(heap_t *heap);

/*
 * Inserts an item, or changes the key of an item in the heap. Returns 0 or
 * PIMENTO_ENOMEM; changing a key never fails. The index of a new item must be
 * HEAP_ABSENT.
 */
int heap_put(heap_t *heap, void *item, int64_t key);

/* Removes an item; does nothing if it is not in the heap. */
void heap_remove(heap_t *heap, void *item);

/* Returns the item with the least key, or NULL if the heap is empty. */
void *heap_top(const heap_t *heap);
/* Returns the least key, or INT64_MAX if the heap is empty. */
int64_t heap_top_key(const heap_t *heap);

#endif
