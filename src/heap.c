/*
 * A binary heap in an array. Every move of an entry stores its new index in the
 * item, so that an item in the middle can be found and removed.
 */

#include "heap.h"

#include "../pimentoshelf.h"

#include <stdlib.h>

#define HEAP_INITIAL_CAPACITY 16

static uint32_t *item_index(const heap_t *heap, void *item)
{
	return (uint32_t *)(void *)((char *)item + heap->index_offset);
}

static void set_entry(heap_t *heap, uint32_t i, heap_entry_t entry)
{
	heap->entries[i] = entry;
	*item_index(heap, entry.item) = i;
}

static void sift_up(heap_t *heap, uint32_t i)
{
	heap_entry_t entry = heap->entries[i];

	while (i) {
		uint32_t parent = (i - 1) / 2;

		if (heap->entries[parent].key <= entry.key)
			break;
		set_entry(heap, i, heap->entries[parent]);
		i = parent;
	}
	set_entry(heap, i, entry);
}

static void sift_down(heap_t *heap, uint32_t i)
{
	heap_entry_t entry = heap->entries[i];

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    heap->entries[child + 1].key < heap->entries[child].key)
			child++;
		if (heap->entries[child].key >= entry.key)
			break;
		set_entry(heap, i, heap->entries[child]);
		i = child;
	}
	set_entry(heap, i, entry);
}

void heap_init(heap_t *heap, size_t index_offset)
{
	heap->entries = NULL;
	heap->count = 0;
	heap->capacity = 0;
	heap->index_offset = index_offset;
}

void heap_finish(heap_t *heap)
{
	free(heap->entries);
	heap_init(heap, heap->index_offset);
}

static int grow(heap_t *heap)
{
	uint32_t size =
		heap->capacity ? heap->capacity * 2 : HEAP_INITIAL_CAPACITY;
	heap_entry_t *entries =
		realloc(heap->entries, size * sizeof(*heap->entries));

	if (!entries)
		return PIMENTO_ENOMEM;
	heap->entries = entries;
	heap->capacity = size;
	return 0;
}

int heap_put(heap_t *heap, void *item, int64_t key)
{
	uint32_t i = *item_index(heap, item);

	if (i == HEAP_ABSENT) {
		if (heap->count == heap->capacity && grow(heap))
			return PIMENTO_ENOMEM;
		i = heap->count++;
		heap->entries[i].item = item;
	}
	heap->entries[i].key = key;
	sift_up(heap, i);
	sift_down(heap, *item_index(heap, item));
	return 0;
}

void heap_remove(heap_t *heap, void *item)
{
	uint32_t i = *item_index(heap, item);
	heap_entry_t last;

	if (i == HEAP_ABSENT)
		return;
	*item_index(heap, item) = HEAP_ABSENT;
	last = heap->entries[--heap->count];
	if (i == heap->count)
		return;
	set_entry(heap, i, last);
	sift_up(heap, i);
	sift_down(heap, *item_index(heap, last.item));
}

void *heap_top(const heap_t *heap)
{
	return heap->count ? heap->entries[0].item : NULL;
}

int64_t heap_top_key(const heap_t *heap)
{
	return heap->count ? heap->entries[0].key : INT64_MAX;
}
