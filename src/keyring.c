/*
 * Idempotency keys and who their witnesses are.
 *
 * An issued key names its witnesses and their incarnations, so that every host
 * agrees on them without a list or a clock. It is authenticated: otherwise a
 * caller could name hosts that know nothing of an earlier claim.
 *
 * A caller's own key gets its witnesses by rendezvous hash over the published
 * entry hosts. Two hosts may hold different lists. The quorum is the smallest q
 * with 2q > n + d, so that quorums of two sets of n still share a host while
 * the sets differ in at most d hosts.
 */

#include "claim.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define PREFIX "pk1."
#define PREFIX_LENGTH (sizeof(PREFIX) - 1)
#define MAC_SIZE 16
#define HEAD_SIZE 18 /* count, quorum, birth, nonce */
#define WITNESS_SIZE 16
#define PAYLOAD_MAX (HEAD_SIZE + PIMENTO_WITNESSES_MAX * WITNESS_SIZE)
#define ENCODING sodium_base64_VARIANT_URLSAFE_NO_PADDING

#define OWN_WITNESSES 5
#define OWN_WITNESSES_MIN 3
#define OWN_DIFFERENCE 2 /* d: hosts in which two sets may differ */

#define UUID_LENGTH 36

static uint8_t *put64(uint8_t *at, uint64_t value)
{
	for (int i = 7; i >= 0; i--) {
		at[i] = (uint8_t)value;
		value >>= 8;
	}
	return at + 8;
}

static const uint8_t *get64(const uint8_t *at, uint64_t *value)
{
	*value = 0;
	for (int i = 0; i < 8; i++)
		*value = *value << 8 | at[i];
	return at + 8;
}

static void authenticate(const uint8_t secret[KEYRING_SECRET],
			 const uint8_t *payload, size_t size,
			 uint8_t mac[MAC_SIZE])
{
	crypto_generichash(mac, MAC_SIZE, payload, size, secret,
			   KEYRING_SECRET);
}

static bool set_valid(const witness_set_t *set)
{
	if (set->count < 1 || set->count > PIMENTO_WITNESSES_MAX)
		return false;
	if (set->quorum > set->count || 2 * set->quorum <= set->count)
		return false;
	for (uint32_t i = 0; i < set->count; i++) {
		if (!set->hosts[i] || !set->incarnations[i])
			return false;
	}
	return true;
}

int keyring_issue(const uint8_t secret[KEYRING_SECRET],
		  const witness_set_t *witnesses, int64_t birth, uint64_t nonce,
		  char text[KEYRING_TEXT_MAX])
{
	uint8_t bytes[PAYLOAD_MAX + MAC_SIZE];
	uint8_t *at = bytes;
	size_t size;

	if (!set_valid(witnesses) || birth < 0)
		return PIMENTO_EINVAL;
	*at++ = (uint8_t)witnesses->count;
	*at++ = (uint8_t)witnesses->quorum;
	at = put64(at, (uint64_t)birth);
	at = put64(at, nonce);
	for (uint32_t i = 0; i < witnesses->count; i++) {
		at = put64(at, witnesses->hosts[i]);
		at = put64(at, witnesses->incarnations[i]);
	}
	size = (size_t)(at - bytes);
	authenticate(secret, bytes, size, at);
	memcpy(text, PREFIX, PREFIX_LENGTH);
	sodium_bin2base64(text + PREFIX_LENGTH,
			  KEYRING_TEXT_MAX - PREFIX_LENGTH, bytes,
			  size + MAC_SIZE, ENCODING);
	return (int)strlen(text);
}

bool keyring_issued(const char *text)
{
	return !strncmp(text, PREFIX, PREFIX_LENGTH);
}

static int read_payload(const uint8_t *at, size_t size,
			witness_set_t *witnesses, int64_t *birth)
{
	uint64_t value;
	uint64_t nonce;

	memset(witnesses, 0, sizeof(*witnesses));
	witnesses->count = *at++;
	witnesses->quorum = *at++;
	if (witnesses->count > PIMENTO_WITNESSES_MAX ||
	    size != HEAD_SIZE + (size_t)witnesses->count * WITNESS_SIZE)
		return PIMENTO_EPARSE;
	at = get64(at, &value);
	*birth = (int64_t)value;
	at = get64(at, &nonce);
	for (uint32_t i = 0; i < witnesses->count; i++) {
		at = get64(at, &witnesses->hosts[i]);
		at = get64(at, &witnesses->incarnations[i]);
	}
	return set_valid(witnesses) && *birth >= 0 ? PIMENTO_OK
						   : PIMENTO_EPARSE;
}

int keyring_read(const uint8_t secret[KEYRING_SECRET], const char *text,
		 witness_set_t *witnesses, int64_t *birth)
{
	uint8_t bytes[PAYLOAD_MAX + MAC_SIZE];
	uint8_t mac[MAC_SIZE];
	size_t length = strlen(text);
	size_t size;

	if (!keyring_issued(text) || length >= KEYRING_TEXT_MAX)
		return PIMENTO_EPARSE;
	if (sodium_base642bin(bytes, sizeof(bytes), text + PREFIX_LENGTH,
			      length - PREFIX_LENGTH, NULL, &size, NULL,
			      ENCODING) != 0)
		return PIMENTO_EPARSE;
	if (size < HEAD_SIZE + MAC_SIZE)
		return PIMENTO_EPARSE;
	size -= MAC_SIZE;
	authenticate(secret, bytes, size, mac);
	if (sodium_memcmp(mac, bytes + size, MAC_SIZE) != 0)
		return PIMENTO_EAUTH;
	return read_payload(bytes, size, witnesses, birth);
}

static int compare_ids(const void *left, const void *right)
{
	pimento_id_t a = *(const pimento_id_t *)left;
	pimento_id_t b = *(const pimento_id_t *)right;

	return (a > b) - (a < b);
}

uint32_t keyring_hosts(const hostlist_t *list, pimento_id_t *hosts,
		       uint32_t max)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < list->count && count < max; i++) {
		const hostlist_host_t *host = &list->hosts[i];

		if (!host->endpoint && !host->leaving)
			hosts[count++] = host->id;
	}
	qsort(hosts, count, sizeof(*hosts), compare_ids);
	return count;
}

static uint64_t score(pimento_key_t key, pimento_id_t host)
{
	uint64_t words[3] = { key.hi, key.lo, host };

	return XXH3_64bits(words, sizeof(words));
}

/* Puts host into its place among the best; equal scores go by identity. */
static void rank_host(witness_set_t *set, uint64_t *scores, pimento_id_t host,
		      uint64_t value)
{
	uint32_t at = set->count;

	while (at && (scores[at - 1] < value ||
		      (scores[at - 1] == value && set->hosts[at - 1] > host)))
		at--;
	if (at == OWN_WITNESSES)
		return;
	if (set->count < OWN_WITNESSES)
		set->count++;
	for (uint32_t i = set->count - 1; i > at; i--) {
		set->hosts[i] = set->hosts[i - 1];
		scores[i] = scores[i - 1];
	}
	set->hosts[at] = host;
	scores[at] = value;
}

int keyring_rendezvous(const pimento_id_t *hosts, uint32_t count,
		       pimento_key_t key, witness_set_t *witnesses)
{
	uint64_t scores[OWN_WITNESSES] = { 0 };

	memset(witnesses, 0, sizeof(*witnesses));
	for (uint32_t i = 0; i < count; i++)
		rank_host(witnesses, scores, hosts[i], score(key, hosts[i]));
	if (witnesses->count < OWN_WITNESSES_MIN)
		return PIMENTO_ENOQUORUM;
	witnesses->quorum = (witnesses->count + OWN_DIFFERENCE) / 2 + 1;
	if (witnesses->quorum > witnesses->count)
		witnesses->quorum = witnesses->count;
	witnesses->view = XXH3_64bits(witnesses->hosts,
				      witnesses->count * sizeof(pimento_id_t));
	if (!witnesses->view)
		witnesses->view = 1;
	return PIMENTO_OK;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* The milliseconds of a UUID version 7 (RFC 9562), else -1. */
static int64_t uuid_birth(const char *text)
{
	uint8_t digits[32];
	uint32_t count = 0;
	int64_t birth = 0;

	if (strlen(text) != UUID_LENGTH)
		return -1;
	for (int i = 0; i < UUID_LENGTH; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (dash != (text[i] == '-'))
			return -1;
		if (dash)
			continue;
		if (hex_digit(text[i]) < 0)
			return -1;
		digits[count++] = (uint8_t)hex_digit(text[i]);
	}
	if (digits[12] != 7 || (digits[16] & 12) != 8)
		return -1;
	for (int i = 0; i < 12; i++)
		birth = birth << 4 | digits[i];
	return birth;
}

int keyring_own(const char *text, pimento_key_t key, const hostlist_t *list,
		witness_set_t *witnesses, int64_t *birth)
{
	pimento_id_t *hosts = malloc((list->count + 1) * sizeof(*hosts));
	uint32_t count;
	int error;

	*birth = uuid_birth(text);
	memset(witnesses, 0, sizeof(*witnesses));
	if (!hosts)
		return PIMENTO_ENOMEM;
	count = keyring_hosts(list, hosts, list->count);
	error = keyring_rendezvous(hosts, count, key, witnesses);
	free(hosts);
	return error;
}

pimento_key_t keyring_hash(pimento_id_t account, const char *text)
{
	XXH128_hash_t hash = XXH3_128bits_withSeed(text, strlen(text), account);
	pimento_key_t key = { hash.high64, hash.low64 };

	/* All zero would mean that there is no key. */
	if (pimento_key_none(key))
		key.lo = 1;
	return key;
}
