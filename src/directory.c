/*
 * A plain array: the largest deployment lists 600 endpoints, and a walk over
 * them costs less than slots an index true.
 */

#include "directory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void directory_init(directory_t *directory)
{
	*directory = (directory_t){ 0 };
}

static void drop(const directory_t *directory, directory_endpoint_t *endpoint)
{
	if (directory->dropped)
		directory->dropped(endpoint);
	free(endpoint);
}

void directory_finish(directory_t *directory)
{
	for (uint32_t i = 0; i < directory->count; i++)
		drop(directory, directory->endpoints[i]);
	for (uint32_t i = 0; i < directory->service_count; i++)
		free(directory->services[i]);
	free(directory->endpoints);
	free(directory->services);
}

directory_endpoint_t *directory_find(const directory_t *directory,
				     pimento_id_t key)
{
	for (uint32_t i = 0; i < directory->count; i++)
		if (directory->endpoints[i]->key == key)
			return directory->endpoints[i];
	return NULL;
}

directory_service_t *directory_service(directory_t *directory, pimento_id_t key)
{
	directory_service_t **grown;
	directory_service_t *service;

	for (uint32_t i = 0; i < directory->service_count; i++)
		if (directory->services[i]->key == key)
			return directory->services[i];
	grown = realloc(directory->services,
			(directory->service_count + 1) *
				sizeof(directory_service_t *));
	if (!grown)
		return NULL;
	directory->services = grown;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	service->key = key;
	grown[directory->service_count++] = service;
	return service;
}

static directory_endpoint_t *add(directory_t *directory, pimento_id_t key)
{
	uint32_t size = directory->size ? directory->size * 2 : 16;
	directory_endpoint_t *endpoint;

	if (directory->count == directory->size) {
		directory_endpoint_t **grown =
			realloc(directory->endpoints,
				size * sizeof(directory_endpoint_t *));

		if (!grown)
			return NULL;
		directory->endpoints = grown;
		directory->size = size;
	}
	endpoint = calloc(1, sizeof(*endpoint));
	if (!endpoint)
		return NULL;
	endpoint->key = key;
	directory->endpoints[directory->count++] = endpoint;
	return endpoint;
}

static void take(directory_endpoint_t *endpoint,
		 const directory_record_t *record)
{
	snprintf(endpoint->id, sizeof(endpoint->id), "%s", record->id);
	snprintf(endpoint->address, sizeof(endpoint->address), "%s",
		 record->address);
	snprintf(endpoint->datacentre, sizeof(endpoint->datacentre), "%s",
		 record->datacentre);
	endpoint->service = pimento_id(record->service);
	endpoint->port = record->port;
	endpoint->slots = record->slots;
	endpoint->revision = record->revision;
	endpoint->leaving = record->leaving;
	endpoint->listed = true;
	endpoint->gone_at = 0;
}

directory_endpoint_t *directory_put(directory_t *directory,
				    const directory_record_t *record)
{
	pimento_id_t key = pimento_id(record->id);
	directory_endpoint_t *endpoint = directory_find(directory, key);
	bool known = endpoint != NULL;

	if (!endpoint)
		endpoint = add(directory, key);
	if (!endpoint)
		return NULL;
	if (known &&
	    (endpoint->born != record->born || endpoint->port != record->port ||
	     strcmp(endpoint->address, record->address) != 0)) {
		latency_init(&endpoint->pace);
		endpoint->life++;
	}
	endpoint->born = record->born;
	take(endpoint, record);
	return endpoint;
}

void directory_gone(directory_t *directory, const char *id,
		    pimento_usec_t gone_at)
{
	directory_endpoint_t *endpoint =
		directory_find(directory, pimento_id(id));

	if (!endpoint || !endpoint->listed)
		return;
	endpoint->listed = false;
	endpoint->gone_at = gone_at;
}

void directory_told(directory_endpoint_t *endpoint,
		    const directory_word_t *word, pimento_usec_t at)
{
	pimento_usec_t ejected = at + word->ejected_ms * PIMENTO_MSEC;

	endpoint->told = *word;
	endpoint->told_own = endpoint->running;
	endpoint->told_at = at;
	/* The owner hears from all hosts; this one has seen a few streams. */
	if (word->gap_us)
		endpoint->pace.event_gap_us = word->gap_us;
	if (word->ejected_ms && endpoint->pace.ejected_until < ejected)
		endpoint->pace.ejected_until = ejected;
}

void directory_sweep(directory_t *directory, pimento_usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < directory->count; i++) {
		directory_endpoint_t *endpoint = directory->endpoints[i];

		if (!endpoint->listed && endpoint->gone_at <= now &&
		    !endpoint->holders)
			drop(directory, endpoint);
		else
			directory->endpoints[kept++] = endpoint;
	}
	directory->count = kept;
}

bool directory_takes(const directory_endpoint_t *endpoint, pimento_usec_t now)
{
	if (endpoint->leaving)
		return false;
	return endpoint->listed || now < endpoint->gone_at;
}
