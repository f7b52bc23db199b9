/*
 * Start-time fair queueing between the accounts of a tier: each flow counts the
 * work that it was granted, divided by its weight, and the flow with the least
 * is served next. A flow that was empty starts at the tier's virtual time, so
 * that an account which was idle has gained no credit with which to starve the
 * others.
 */

#include "queue.h"

#include <stdlib.h>
#include <string.h>

#define FLOWS_INITIAL 4

void queue_item_init(queue_item_t *item)
{
	memset(item, 0, sizeof(*item));
	item->earliest_index = HEAP_ABSENT;
	item->latest_index = HEAP_ABSENT;
}

void queue_init(queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		heap_init(&queue->tiers[i].by_service,
			  offsetof(queue_flow_t, service_index));
		heap_init(&queue->tiers[i].by_backlog,
			  offsetof(queue_flow_t, backlog_index));
	}
}

static void flow_free(queue_flow_t *flow)
{
	heap_finish(&flow->earliest);
	heap_finish(&flow->latest);
	free(flow);
}

void queue_finish(queue_t *queue)
{
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		queue_tier_t *tier = &queue->tiers[i];

		for (uint32_t j = 0; j < tier->flow_count; j++)
			flow_free(tier->flows[j]);
		free(tier->flows);
		heap_finish(&tier->by_service);
		heap_finish(&tier->by_backlog);
	}
	memset(queue, 0, sizeof(*queue));
}

/* Index of the first flow whose account id is not below the given one. */
static uint32_t flow_insert_index(const queue_tier_t *tier,
				  pimento_id_t account)
{
	uint32_t low = 0;
	uint32_t high = tier->flow_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (tier->flows[middle]->account < account)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static queue_flow_t *flow_find(const queue_tier_t *tier, pimento_id_t account)
{
	uint32_t i = flow_insert_index(tier, account);

	if (i < tier->flow_count && tier->flows[i]->account == account)
		return tier->flows[i];
	return NULL;
}

static queue_flow_t *flow_new(pimento_id_t account)
{
	queue_flow_t *flow = calloc(1, sizeof(*flow));

	if (!flow)
		return NULL;
	flow->account = account;
	flow->service_index = HEAP_ABSENT;
	flow->backlog_index = HEAP_ABSENT;
	heap_init(&flow->earliest, offsetof(queue_item_t, earliest_index));
	heap_init(&flow->latest, offsetof(queue_item_t, latest_index));
	return flow;
}

static int flows_grow(queue_tier_t *tier)
{
	uint32_t size =
		tier->flow_capacity ? tier->flow_capacity * 2 : FLOWS_INITIAL;
	queue_flow_t **flows =
		realloc(tier->flows, size * sizeof(queue_flow_t *));

	if (!flows)
		return PIMENTO_ENOMEM;
	tier->flows = flows;
	tier->flow_capacity = size;
	return 0;
}

static queue_flow_t *flow_add(queue_tier_t *tier, pimento_id_t account)
{
	uint32_t i = flow_insert_index(tier, account);
	queue_flow_t *flow;

	if (tier->flow_count == tier->flow_capacity && flows_grow(tier))
		return NULL;
	flow = flow_new(account);
	if (!flow)
		return NULL;
	memmove(tier->flows + i + 1, tier->flows + i,
		(tier->flow_count - i) * sizeof(queue_flow_t *));
	tier->flows[i] = flow;
	tier->flow_count++;
	return flow;
}

static int flow_reorder(queue_tier_t *tier, queue_flow_t *flow)
{
	if (!flow->earliest.count) {
		heap_remove(&tier->by_service, flow);
		heap_remove(&tier->by_backlog, flow);
		return 0;
	}
	if (heap_put(&tier->by_service, flow, flow->virtual_service))
		return PIMENTO_ENOMEM;
	return heap_put(&tier->by_backlog, flow, -(flow->work / flow->weight));
}

static int flow_insert(queue_flow_t *flow, queue_item_t *item)
{
	int r = heap_put(&flow->earliest, item, item->deadline);

	if (!r)
		r = heap_put(&flow->latest, item, -item->deadline);
	if (r)
		heap_remove(&flow->earliest, item);
	return r;
}

int queue_put(queue_t *queue, queue_item_t *item, uint32_t weight)
{
	queue_tier_t *tier = &queue->tiers[item->tier];
	queue_flow_t *flow = flow_find(tier, item->account);

	if (!flow)
		flow = flow_add(tier, item->account);
	if (!flow || flow_insert(flow, item))
		return PIMENTO_ENOMEM;
	if (flow->earliest.count == 1 &&
	    flow->virtual_service < tier->virtual_time)
		flow->virtual_service = tier->virtual_time;
	flow->weight = weight;
	flow->work += item->work;
	tier->work += item->work;
	tier->count++;
	queue->count++;
	if (!flow_reorder(tier, flow))
		return 0;
	queue_remove(queue, item);
	return PIMENTO_ENOMEM;
}

void queue_remove(queue_t *queue, queue_item_t *item)
{
	queue_tier_t *tier = &queue->tiers[item->tier];
	queue_flow_t *flow = flow_find(tier, item->account);

	if (item->earliest_index == HEAP_ABSENT)
		return;
	heap_remove(&flow->earliest, item);
	heap_remove(&flow->latest, item);
	flow->work -= item->work;
	tier->work -= item->work;
	tier->count--;
	queue->count--;
	flow_reorder(tier, flow);
}

void queue_grant(queue_t *queue, queue_item_t *item)
{
	queue_tier_t *tier = &queue->tiers[item->tier];
	queue_flow_t *flow = flow_find(tier, item->account);

	tier->virtual_time = flow->virtual_service;
	flow->virtual_service += 1 + item->work / flow->weight;
	queue_remove(queue, item);
}

queue_item_t *queue_next(const queue_t *queue, uint8_t tier)
{
	const queue_flow_t *flow = heap_top(&queue->tiers[tier].by_service);

	return flow ? heap_top(&flow->earliest) : NULL;
}

queue_item_t *queue_victim(const queue_t *queue, uint8_t tier)
{
	const queue_flow_t *flow = heap_top(&queue->tiers[tier].by_backlog);

	return flow ? heap_top(&flow->latest) : NULL;
}

int queue_least_urgent_tier(const queue_t *queue)
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
