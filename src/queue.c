/*
 * Start-time fair queueing between the accounts of a tier: each lane counts
 * the work it was granted, divided by its weight, and the lane with the least
 * goes next. A lane that was empty starts at the tier's virtual clock, so that
 * an account which was away has no credit to starve the others with.
 */

#include "queue.h"

#include <stdlib.h>
#include <string.h>

#define LANES_FIRST 4

void queue_item_init(queue_item_t *item)
{
	memset(item, 0, sizeof(*item));
	item->place_first = HEAP_ABSENT;
	item->place_last = HEAP_ABSENT;
}

void queue_init(queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		heap_init(&queue->tiers[i].turn,
			  offsetof(queue_lane_t, place_turn));
		heap_init(&queue->tiers[i].size,
			  offsetof(queue_lane_t, place_size));
	}
}

static void lane_free(queue_lane_t *lane)
{
	heap_finish(&lane->first);
	heap_finish(&lane->last);
	free(lane);
}

void queue_finish(queue_t *queue)
{
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		queue_tier_t *tier = &queue->tiers[i];

		for (uint32_t j = 0; j < tier->lane_count; j++)
			lane_free(tier->lanes[j]);
		free(tier->lanes);
		heap_finish(&tier->turn);
		heap_finish(&tier->size);
	}
	memset(queue, 0, sizeof(*queue));
}

/* Index of the first lane whose account is not below the given one. */
static uint32_t lane_index(const queue_tier_t *tier, pimento_id_t account)
{
	uint32_t low = 0;
	uint32_t high = tier->lane_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (tier->lanes[middle]->account < account)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static queue_lane_t *lane_find(const queue_tier_t *tier, pimento_id_t account)
{
	uint32_t i = lane_index(tier, account);

	if (i < tier->lane_count && tier->lanes[i]->account == account)
		return tier->lanes[i];
	return NULL;
}

static queue_lane_t *lane_new(pimento_id_t account)
{
	queue_lane_t *lane = calloc(1, sizeof(*lane));

	if (!lane)
		return NULL;
	lane->account = account;
	lane->place_turn = HEAP_ABSENT;
	lane->place_size = HEAP_ABSENT;
	heap_init(&lane->first, offsetof(queue_item_t, place_first));
	heap_init(&lane->last, offsetof(queue_item_t, place_last));
	return lane;
}

static int lanes_grow(queue_tier_t *tier)
{
	uint32_t size = tier->lane_size ? tier->lane_size * 2 : LANES_FIRST;
	queue_lane_t **lanes =
		realloc(tier->lanes, size * sizeof(queue_lane_t *));

	if (!lanes)
		return PIMENTO_ENOMEM;
	tier->lanes = lanes;
	tier->lane_size = size;
	return 0;
}

static queue_lane_t *lane_add(queue_tier_t *tier, pimento_id_t account)
{
	uint32_t i = lane_index(tier, account);
	queue_lane_t *lane;

	if (tier->lane_count == tier->lane_size && lanes_grow(tier))
		return NULL;
	lane = lane_new(account);
	if (!lane)
		return NULL;
	memmove(tier->lanes + i + 1, tier->lanes + i,
		(tier->lane_count - i) * sizeof(queue_lane_t *));
	tier->lanes[i] = lane;
	tier->lane_count++;
	return lane;
}

static int lane_place(queue_tier_t *tier, queue_lane_t *lane)
{
	if (!lane->first.count) {
		heap_remove(&tier->turn, lane);
		heap_remove(&tier->size, lane);
		return 0;
	}
	if (heap_put(&tier->turn, lane, lane->served))
		return PIMENTO_ENOMEM;
	return heap_put(&tier->size, lane, -(lane->work / lane->weight));
}

static int lane_insert(queue_lane_t *lane, queue_item_t *item)
{
	int r = heap_put(&lane->first, item, item->deadline);

	if (!r)
		r = heap_put(&lane->last, item, -item->deadline);
	if (r)
		heap_remove(&lane->first, item);
	return r;
}

int queue_put(queue_t *queue, queue_item_t *item, uint32_t weight)
{
	queue_tier_t *tier = &queue->tiers[item->tier];
	queue_lane_t *lane = lane_find(tier, item->account);

	if (!lane)
		lane = lane_add(tier, item->account);
	if (!lane || lane_insert(lane, item))
		return PIMENTO_ENOMEM;
	if (lane->first.count == 1 && lane->served < tier->clock)
		lane->served = tier->clock;
	lane->weight = weight;
	lane->work += item->work;
	tier->work += item->work;
	tier->count++;
	queue->count++;
	if (!lane_place(tier, lane))
		return 0;
	queue_remove(queue, item);
	return PIMENTO_ENOMEM;
}

void queue_remove(queue_t *queue, queue_item_t *item)
{
	queue_tier_t *tier = &queue->tiers[item->tier];
	queue_lane_t *lane = lane_find(tier, item->account);

	if (item->place_first == HEAP_ABSENT)
		return;
	heap_remove(&lane->first, item);
	heap_remove(&lane->last, item);
	lane->work -= item->work;
	tier->work -= item->work;
	tier->count--;
	queue->count--;
	lane_place(tier, lane);
}

void queue_grant(queue_t *queue, queue_item_t *item)
{
	queue_tier_t *tier = &queue->tiers[item->tier];
	queue_lane_t *lane = lane_find(tier, item->account);

	tier->clock = lane->served;
	lane->served += 1 + item->work / lane->weight;
	queue_remove(queue, item);
}

queue_item_t *queue_first(const queue_t *queue, uint8_t tier)
{
	const queue_lane_t *lane = heap_top(&queue->tiers[tier].turn);

	return lane ? heap_top(&lane->first) : NULL;
}

queue_item_t *queue_last(const queue_t *queue, uint8_t tier)
{
	const queue_lane_t *lane = heap_top(&queue->tiers[tier].size);

	return lane ? heap_top(&lane->last) : NULL;
}

int queue_lowest(const queue_t *queue)
{
	for (int i = PIMENTO_TIERS_MAX - 1; i >= 0; i--)
		if (queue->tiers[i].count)
			return i;
	return -1;
}

pimento_usec_t queue_work(const queue_t *queue, uint8_t tier)
{
	pimento_usec_t work = 0;

	for (int i = 0; i <= tier; i++)
		work += queue->tiers[i].work;
	return work;
}
