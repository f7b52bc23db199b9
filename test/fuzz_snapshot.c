/* Applies arbitrary bytes as a snapshot and encodes the resulting copy. */

#include "snapshot.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void ignore(void *context, const mirror_record_t *record)
{
	(void)context;
	(void)record;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	mirror_t mirror;
	uint8_t *bytes;
	size_t length;

	mirror_init(&mirror, ignore, NULL);
	snapshot_apply(&mirror, data, size);
	if (snapshot_pack(&mirror, 0, &bytes, &length))
		abort();
	free(bytes);
	mirror_finish(&mirror);
	return 0;
}
