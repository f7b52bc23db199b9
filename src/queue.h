#ifndef QUEUE_H
#define QUEUE_H

/*
 * The wait queue of one endpoint: ordered by tier, within a tier by weighted
 * fair queueing between accounts, within an account by deadline. Every
 * operation is O(log n) in the number of waiting items and of accounts with
 * waiting items.
 */

#include "heap.h"
#include "message.h"

/* Embedded in the waiting object, which the caller allocates and frees. */
typedef struct queue_item {
	uint8_t tier;
	pimento_id_t account;
	pimento_usec_t deadline;
	/* endpoint time that the request is expected to use, see limit_work() */
	pimento_usec_t work;
	uint32_t earliest_index; /* index in the heap queue_flow_t.earliest */
	uint32_t latest_index; /* index in the heap queue_flow_t.latest */
} queue_item_t;

/* The waiting items of one account in one tier. */
typedef struct queue_flow {
	pimento_id_t account;
	uint32_t weight;
	/* work granted so far divided by weight, in virtual time */
	int64_t virtual_service;
	pimento_usec_t work; /* work of all waiting items */
	heap_t earliest;
	heap_t latest;
	uint32_t service_index;
	uint32_t backlog_index;
} queue_flow_t;

typedef struct queue_tier {
	queue_flow_t **flows; /* sorted by account, ascending */
	uint32_t flow_count;
	uint32_t flow_capacity;
	/* flows with waiting items, least virtual_service first */
	heap_t by_service;
	/* flows with waiting items, most waiting work per weight first */
	heap_t by_backlog;
	/* virtual_service of the flow granted last, before that grant */
	int64_t virtual_time;
	uint32_t count;
	pimento_usec_t work;
} queue_tier_t;

typedef struct queue {
	queue_tier_t tiers[PIMENTO_TIERS_MAX];
	uint32_t count;
} queue_t;

void queue_init(queue_t *queue);
void queue_finish(queue_t *queue); /* The queue must be empty. */

void queue_item_init(queue_item_t *item);

/*
 * Adds an item, initialised by queue_item_init(), with its tier, account,
 * deadline and work set. weight is the account's weight, at least 1. Returns 0
 * or PIMENTO_ENOMEM.
 */
int queue_put(queue_t *queue, queue_item_t *item, uint32_t weight);
void queue_remove(queue_t *queue, queue_item_t *item);

/* Removes an item that is granted and charges its work to its account. */
void queue_grant(queue_t *queue, queue_item_t *item);

/* Returns the item to grant next in a tier; NULL if none is waiting. */
queue_item_t *queue_next(const queue_t *queue, uint8_t tier);

/*
 * Returns the item to evict first from a tier, NULL if none is waiting: of the
 * account with the most waiting work per weight, the one with the latest
 * deadline.
 */
queue_item_t *queue_victim(const queue_t *queue, uint8_t tier);

/* Least urgent tier with waiting items, -1 if the queue is empty. */
int queue_least_urgent_tier(const queue_t *queue);

/* Sum of the work waiting in this tier and in more urgent ones. */
pimento_usec_t queue_work(const queue_t *queue, uint8_t tier);

#endif
