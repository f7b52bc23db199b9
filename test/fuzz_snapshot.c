/* Applies arbitrary bytes as a snapshot and encodes the resulting replica. */

#include "snapshot.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void ignore_change(void *context, const replica_record_t *record)
{
	(void)context;
	(void)record;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	replica_t replica;
	uint8_t *bytes;
	size_t length;

	replica_init(&replica, ignore_change, NULL);
	snapshot_apply(&replica, data, size);
	if (snapshot_pack(&replica, 0, &bytes, &length))
		abort();
	free(bytes);
	replica_finish(&replica);
	return 0;
}
