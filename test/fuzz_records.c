/*
 * The platform's records: whatever text is published, it is taken whole or
 * refused with a reason.
 */

#include "records.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void put(void *context, const directory_record_t *record)
{
	directory_t *directory = context;

	if (!directory_put(directory, record))
		abort();
}

static void fuzz_endpoint(const char *text, size_t length)
{
	char reason[RECORDS_REASON_BYTES] = "";
	directory_t directory;
	int error;

	directory_init(&directory);
	error = records_endpoint(RECORDS_ENDPOINTS "i", text, length, 1, put,
				 &directory, reason);
	if ((error != 0) != (directory.count == 0) || (error && !reason[0]))
		abort();
	directory_finish(&directory);
}

static void fuzz_configuration(const char *text, size_t length)
{
	char reason[RECORDS_REASON_BYTES] = "";
	catalog_t *catalog = records_configuration(text, length, reason);

	if (!catalog && !reason[0])
		abort();
	if (catalog) {
		(void)catalog_route(catalog, "a.example", "/a/");
		(void)catalog_account(catalog, "k");
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
		fuzz_configuration((const char *)data + 1, size - 1);
	return 0;
}
