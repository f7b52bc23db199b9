/*
 * Fuzzes the parser of idempotency keys, since a caller can send any text in that
 * header. A text that was not issued must never be accepted as an issued key, and
 * an issued key must parse to the witnesses and the time that it was issued with.
 */

#include "claim.h"

#include <stdlib.h>
#include <string.h>

#define HOSTS 7

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const uint8_t secret[IDEM_KEY_SECRET_BYTES] = { 42 };

static void check_issued_round_trip(const uint8_t *data, size_t size)
{
	char text[IDEM_KEY_TEXT_MAX];
	witness_set_t set;
	witness_set_t read;
	int64_t created_ms;

	if (size < sizeof(set))
		return;
	memcpy(&set, data, sizeof(set));
	set.set_hash = 0;
	if (idem_key_issue(secret, &set, 5, size, text) < 0)
		return;
	if (idem_key_parse(secret, text, &read, &created_ms) ||
	    created_ms != 5 || read.count != set.count ||
	    read.quorum != set.quorum)
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
	int64_t created_ms;

	memcpy(text, data, size);
	text[size] = 0;
	for (uint32_t i = 0; i < HOSTS; i++)
		hosts[i].id = i + 1;
	if (idem_key_parse(secret, text, &set, &created_ms) == 0)
		abort();
	if (idem_key_select_witnesses(text, idem_key_hash(1, text), &list, &set,
				      &created_ms))
		abort();
	if (created_ms < -1 || set.count != PIMENTO_WITNESSES_MAX)
		abort();
	free(text);
	check_issued_round_trip(data, size);
	return 0;
}
