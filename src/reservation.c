/*
 * A chained hash table that doubles when it holds one reservation per chain. A
 * request id consists of a random incarnation and a counter, so multiplying the
 * xor of both halves by an odd constant spreads the ids well.
 */

#include "reservation.h"

#include <stdlib.h>

#define TABLE_SIZE_INITIAL 256

int reservation_table_init(reservation_table_t *table)
{
	table->count = 0;
	table->size = TABLE_SIZE_INITIAL;
	table->chains = calloc(table->size, sizeof(reservation_t *));
	return table->chains ? 0 : PIMENTO_ENOMEM;
}

void reservation_table_finish(reservation_table_t *table)
{
	for (uint32_t i = 0; i < table->size; i++) {
		while (table->chains[i]) {
			reservation_t *r = table->chains[i];

			table->chains[i] = r->next;
			free(r);
		}
	}
	free(table->chains);
	table->chains = NULL;
	table->size = 0;
	table->count = 0;
}

static uint32_t chain_index(pimento_reqid_t request, uint32_t size)
{
	uint64_t h = (request.hi ^ request.lo) * 0x9e3779b97f4a7c15ULL;

	return (uint32_t)(h >> 32) & (size - 1);
}

/*
 * Doubles the table. If memory runs out it stays as it is, with longer chains.
 */
static void grow_table(reservation_table_t *table)
{
	uint32_t size = table->size * 2;
	reservation_t **chains = calloc(size, sizeof(reservation_t *));

	if (!chains)
		return;
	for (uint32_t i = 0; i < table->size; i++) {
		while (table->chains[i]) {
			reservation_t *r = table->chains[i];
			uint32_t to = chain_index(r->params.request, size);

			table->chains[i] = r->next;
			r->next = chains[to];
			chains[to] = r;
		}
	}
	free(table->chains);
	table->chains = chains;
	table->size = size;
}

reservation_t *reservation_add(reservation_table_t *table,
			       pimento_reqid_t request)
{
	reservation_t *r = calloc(1, sizeof(*r));
	uint32_t i;

	if (!r)
		return NULL;
	if (table->count >= table->size)
		grow_table(table);
	queue_item_init(&r->item);
	r->params.request = request;
	r->due_index = HEAP_ABSENT;
	i = chain_index(request, table->size);
	r->next = table->chains[i];
	table->chains[i] = r;
	table->count++;
	return r;
}

reservation_t *reservation_find(const reservation_table_t *table,
				pimento_reqid_t request)
{
	reservation_t *r = table->chains[chain_index(request, table->size)];

	while (r && !pimento_reqid_equal(r->params.request, request))
		r = r->next;
	return r;
}

void reservation_remove(reservation_table_t *table, reservation_t *r)
{
	reservation_t **link =
		&table->chains[chain_index(r->params.request, table->size)];

	while (*link != r)
		link = &(*link)->next;
	*link = r->next;
	table->count--;
	free(r);
}
