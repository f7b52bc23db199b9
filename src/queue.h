#ifndef QUEUE_H
#define QUEUE_H

/*
 * The waiting line of one endpoint: by tier; within a tier fair between
 * accounts by weight; within an account by deadline. Every step is O(log n) in
 * what waits and in the accounts that have something waiting.
 */

#include "heap.h"
#include "message.h"

/* Embedded in what waits; the owner of the item keeps the memory. */
typedef struct queue_item {
	uint8_t tier;
	pimento_id_t account;
	pimento_usec_t deadline;
	pimento_usec_t work; /* expected time of service */
	uint32_t earliest_index; /* in its flow, earliest deadline first */
	uint32_t latest_index; /* in its flow, latest deadline first */
} queue_item_t;

/* What one account has waiting in one tier. */
typedef struct queue_flow {
	pimento_id_t account;
	uint32_t weight;
	int64_t virtual_service; /* work granted over weight, in virtual time */
	pimento_usec_t work; /* of all that waits here */
	heap_t earliest;
	heap_t latest;
	uint32_t service_index;
	uint32_t backlog_index;
} queue_flow_t;

typedef struct queue_tier {
	queue_flow_t **flows; /* by account, ascending */
	uint32_t flow_count;
	uint32_t flow_capacity;
	heap_t by_service; /* flows with something waiting, least served first */
	heap_t by_backlog; /* the same, most work for its weight first */
	int64_t virtual_time; /* virtual time: served of the flow granted last */
	uint32_t count;
	pimento_usec_t work;
} queue_tier_t;

typedef struct queue {
	queue_tier_t tiers[PIMENTO_TIERS_MAX];
	uint32_t count;
} queue_t;

void queue_init(queue_t *queue);
void queue_finish(queue_t *queue); /* items must have been removed */

void queue_item_init(queue_item_t *item);

/* weight is the account's share, at least 1. Returns 0 or PIMENTO_ENOMEM. */
int queue_put(queue_t *queue, queue_item_t *item, uint32_t weight);
void queue_remove(queue_t *queue, queue_item_t *item);

/* Removes an item that is granted: its account pays for the work. */
void queue_grant(queue_t *queue, queue_item_t *item);

/* Whose turn it is in a tier; NULL when nothing waits there. */
queue_item_t *queue_next(const queue_t *queue, uint8_t tier);

/*
 * Who goes first when something must go: of the account with the most waiting
 * for its weight, the one with the latest deadline.
 */
queue_item_t *queue_victim(const queue_t *queue, uint8_t tier);

/* Least urgent tier with something waiting, -1 when there is none. */
int queue_lowest_tier(const queue_t *queue);

/* Work waiting in this tier and in more urgent ones. */
pimento_usec_t queue_work(const queue_t *queue, uint8_t tier);

#endif
