/*
 * Idempotency keys, as a caller may send anything in that header. No text but
 * an issued one may pass for an issued one; an issued one is read back as it
 * was, whatever hosts it names.
 */

#include "claim.h"

#include <stdlib.h>
#include <string.h>

#define HOSTS 7

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const uint8_t secret[KEYRING_SECRET] = { 42 };

static void issue(const uint8_t *data, size_t size)
{
	char text[KEYRING_TEXT_MAX];
	witness_set_t set;
	witness_set_t read;
	int64_t birth;

	if (size < sizeof(set))
		return;
	memcpy(&set, data, sizeof(set));
	set.view = 0;
	if (keyring_issue(secret, &set, 5, size, text) < 0)
		return;
	if (keyring_read(secret, text, &read, &birth) || birth != 5 ||
	    read.count != set.count || read.quorum != set.quorum)
		abort();
	if (memcmp(read.hosts, set.hosts, set.count * sizeof(*set.hosts)) != 0)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = malloc(size + 1);
	hostlist_host_t hosts[HOSTS] = { 0 };
	hostlist_t list = { .count = HOSTS, .hosts = hosts };
	witness_set_t set;
	int64_t birth;

	memcpy(text, data, size);
	text[size] = 0;
	for (uint32_t i = 0; i < HOSTS; i++)
		hosts[i].id = i + 1;
	if (keyring_read(secret, text, &set, &birth) == 0)
		abort();
	if (keyring_own(text, keyring_hash(1, text), &list, &set, &birth))
		abort();
	if (birth < -1 || set.count != PIMENTO_WITNESSES_MAX)
		abort();
	free(text);
	issue(data, size);
	return 0;
}
