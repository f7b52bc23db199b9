/*
 * Fuzzes the decoding of the platform's records: any input must be either
 * accepted as a whole or rejected with a reason. The lowest bit of the first
 * byte selects an endpoint record (1) or a configuration (0).
 */

#include "records.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void put(void *context, const registry_record_t *record)
{
	registry_t *registry = context;

	if (!registry_put(registry, record))
		abort();
}

static void fuzz_endpoint(const char *text, size_t length)
{
	char reason[RECORDS_REASON_BYTES] = "";
	registry_t registry;
	int error;

	registry_init(&registry);
	error = records_decode_endpoint(RECORDS_ENDPOINT_PREFIX "i", text,
					length, 1, put, &registry, reason);
	if ((error != 0) != (registry.count == 0) || (error && !reason[0]))
		abort();
	registry_finish(&registry);
}

static void fuzz_config(const char *text, size_t length)
{
	char reason[RECORDS_REASON_BYTES] = "";
	catalog_t *catalog = records_decode_config(text, length, reason);

	if (!catalog && !reason[0])
		abort();
	if (catalog) {
		(void)catalog_find_route(catalog, "a.example", "/a/");
		(void)catalog_find_account(catalog, "k");
	}
	catalog_release(catalog);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!size)
		return 0;
	if (data[0] & 1)
		fuzz_endpoint((const char *)data + 1, size - 1);
	else
		fuzz_config((const char *)data + 1, size - 1);
	return 0;
}
