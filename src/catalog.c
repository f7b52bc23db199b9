/*
 * Versions of the configuration are small and rarely change, so each one is
 * built completely, sorted once and read-only from then on. References are
 * counted without locks, because only the thread that handles requests counts
 * them.
 */

#include "catalog.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

catalog_t *catalog_new(uint64_t version)
{
	catalog_t *catalog = calloc(1, sizeof(*catalog));

	if (!catalog)
		return NULL;
	catalog->refs = 1;
	catalog->version = version;
	return catalog;
}

catalog_t *catalog_retain(catalog_t *catalog)
{
	catalog->refs++;
	return catalog;
}

static void free_catalog(catalog_t *catalog)
{
	for (uint32_t i = 0; i < catalog->route_count; i++) {
		free(catalog->routes[i].name);
		free(catalog->routes[i].host);
		free(catalog->routes[i].prefix);
		free(catalog->routes[i].targets);
		free(catalog->routes[i].regions.ids);
	}
	for (uint32_t i = 0; i < catalog->service_count; i++)
		free(catalog->services[i].name);
	for (uint32_t i = 0; i < catalog->account_count; i++) {
		free(catalog->accounts[i].name);
		free(catalog->accounts[i].regions.ids);
	}
	for (uint32_t i = 0; i < catalog->key_count; i++)
		free(catalog->keys[i].text);
	free(catalog->routes);
	free(catalog->services);
	free(catalog->accounts);
	free(catalog->keys);
	free(catalog);
}

void catalog_release(catalog_t *catalog)
{
	if (catalog && --catalog->refs == 0)
		free_catalog(catalog);
}

/* Doubles the capacity when full, so that an append rarely copies the array. */
static void *append_element(void *elements, uint32_t *count, size_t size)
{
	void *grown = elements;

	if ((*count & (*count - 1)) == 0)
		grown = realloc(elements, (*count ? *count * 2 : 1) * size);
	if (!grown)
		return NULL;
	memset((char *)grown + *count * size, 0, size);
	(*count)++;
	return grown;
}

#define APPEND(array, count)                                                 \
	do {                                                                 \
		void *grown =                                                \
			append_element((array), &(count), sizeof(*(array))); \
		if (!grown)                                                  \
			return NULL;                                         \
		(array) = grown;                                             \
		return &(array)[(count)-1];                                  \
	} while (0)

catalog_route_t *catalog_add_route(catalog_t *catalog)
{
	APPEND(catalog->routes, catalog->route_count);
}

catalog_target_t *catalog_add_target(catalog_route_t *route)
{
	APPEND(route->targets, route->target_count);
}

catalog_service_t *catalog_add_service(catalog_t *catalog)
{
	APPEND(catalog->services, catalog->service_count);
}

catalog_account_t *catalog_add_account(catalog_t *catalog)
{
	APPEND(catalog->accounts, catalog->account_count);
}

static catalog_key_t *add_key(catalog_t *catalog)
{
	APPEND(catalog->keys, catalog->key_count);
}

int catalog_add_key(catalog_t *catalog, const char *text, uint32_t account)
{
	catalog_key_t *key = add_key(catalog);

	if (!key)
		return PIMENTO_ENOMEM;
	key->account = account;
	key->text = strdup(text);
	if (!key->text) {
		catalog->key_count--;
		return PIMENTO_ENOMEM;
	}
	return 0;
}

static pimento_id_t *add_region(catalog_regions_t *regions)
{
	APPEND(regions->ids, regions->count);
}

int catalog_add_region(catalog_regions_t *regions, const char *name)
{
	pimento_id_t *id = add_region(regions);

	if (!id)
		return PIMENTO_ENOMEM;
	*id = pimento_id(name);
	return 0;
}

bool catalog_allows_region(const catalog_regions_t *regions,
			   pimento_id_t region)
{
	for (uint32_t i = 0; i < regions->count; i++)
		if (regions->ids[i] == region)
			return true;
	return regions->count == 0;
}

static int compare_keys(const void *a, const void *b)
{
	const catalog_key_t *x = a;
	const catalog_key_t *y = b;

	return strcmp(x->text, y->text);
}

static int compare_routes(const void *a, const void *b)
{
	const catalog_route_t *x = a;
	const catalog_route_t *y = b;
	int order = strcmp(x->host, y->host);
	size_t x_length = strlen(x->prefix);
	size_t y_length = strlen(y->prefix);

	if (order)
		return order;
	if (x_length != y_length)
		return x_length < y_length ? 1 : -1;
	return strcmp(x->prefix, y->prefix);
}

/*
 * Inserts a priority into an ascending list of distinct ones. If the list is
 * full, the least urgent priority is dropped.
 */
static void insert_priority(uint32_t *tiers, uint32_t *count, uint32_t priority)
{
	uint32_t i = 0;

	while (i < *count && tiers[i] < priority)
		i++;
	if (i == CATALOG_TIERS_MAX || (i < *count && tiers[i] == priority))
		return;
	if (*count < CATALOG_TIERS_MAX)
		(*count)++;
	memmove(&tiers[i + 1], &tiers[i], (*count - i - 1) * sizeof(*tiers));
	tiers[i] = priority;
}

/* A tier is the rank of a priority in use; priorities may be any numbers. */
static void assign_tiers(catalog_t *catalog)
{
	uint32_t tiers[CATALOG_TIERS_MAX];
	uint32_t count = 0;

	for (uint32_t i = 0; i < catalog->route_count; i++)
		insert_priority(tiers, &count, catalog->routes[i].priority);
	for (uint32_t i = 0; i < catalog->route_count; i++) {
		catalog_route_t *route = &catalog->routes[i];

		route->tier = 0;
		while (route->tier + 1 < count &&
		       tiers[route->tier] < route->priority)
			route->tier++;
	}
}

void catalog_finalize(catalog_t *catalog)
{
	assign_tiers(catalog);
	if (catalog->key_count)
		qsort(catalog->keys, catalog->key_count, sizeof(*catalog->keys),
		      compare_keys);
	if (catalog->route_count)
		qsort(catalog->routes, catalog->route_count,
		      sizeof(*catalog->routes), compare_routes);
}

static int compare_host(const char *wanted, size_t length, const char *host)
{
	int order = strncasecmp(wanted, host, length);

	if (order)
		return order;
	return host[length] ? -1 : 0;
}

/*
 * Returns the index of a host's first route, or where it would be. Routes are
 * sorted by host; length excludes the port.
 */
static uint32_t first_route_of_host(const catalog_t *catalog, const char *host,
				    size_t length)
{
	uint32_t low = 0;
	uint32_t high = catalog->route_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (compare_host(host, length, catalog->routes[middle].host) >
		    0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const catalog_route_t *catalog_find_route(const catalog_t *catalog,
					  const char *host, const char *path)
{
	size_t length = strcspn(host, ":");

	for (uint32_t i = first_route_of_host(catalog, host, length);
	     i < catalog->route_count; i++) {
		const catalog_route_t *route = &catalog->routes[i];

		if (compare_host(host, length, route->host))
			break;
		if (strncmp(path, route->prefix, strlen(route->prefix)) == 0)
			return route;
	}
	return NULL;
}

const catalog_account_t *catalog_find_account(const catalog_t *catalog,
					      const char *key)
{
	catalog_key_t wanted = { .text = (char *)key };
	const catalog_key_t *found = NULL;

	if (catalog->key_count)
		found = bsearch(&wanted, catalog->keys, catalog->key_count,
				sizeof(wanted), compare_keys);
	return found ? &catalog->accounts[found->account] : NULL;
}

const catalog_service_t *catalog_find_service(const catalog_t *catalog,
					      pimento_id_t key)
{
	for (uint32_t i = 0; i < catalog->service_count; i++)
		if (catalog->services[i].key == key)
			return &catalog->services[i];
	return NULL;
}

pimento_id_t catalog_select_service(const catalog_route_t *route, uint64_t draw)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < route->target_count; i++)
		total += route->targets[i].weight;
	if (!total)
		return route->target_count ? route->targets[0].service : 0;
	draw %= total;
	for (uint32_t i = 0; i < route->target_count; i++) {
		if (draw < route->targets[i].weight)
			return route->targets[i].service;
		draw -= route->targets[i].weight;
	}
	return 0;
}
