/*
 * Idempotency keys and the selection of their witnesses.
 *
 * An issued key names its witnesses and their incarnations, so that all hosts
 * agree on them without a host list or a clock. It is authenticated: otherwise a
 * caller could name hosts that know nothing of an earlier claim.
 *
 * The witnesses of a key that a caller chose are selected by rendezvous hash over
 * the published entry hosts. Two hosts may have different lists in force. The
 * quorum is the smallest q with 2q > n + d, so that quorums of two sets of n
 * hosts still share a host as long as the sets differ in at most d hosts.
 */

#include "claim.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ISSUED_PREFIX "pk1."
#define ISSUED_PREFIX_LENGTH (sizeof(ISSUED_PREFIX) - 1)
#define MAC_SIZE 16
#define PAYLOAD_HEADER_SIZE 18 /* fields: count, quorum, created_ms, nonce */
#define PAYLOAD_WITNESS_SIZE 16 /* fields: host id, incarnation */
#define PAYLOAD_SIZE_MAX \
	(PAYLOAD_HEADER_SIZE + PIMENTO_WITNESSES_MAX * PAYLOAD_WITNESS_SIZE)
#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

#define CLIENT_KEY_WITNESSES 5
#define CLIENT_KEY_WITNESSES_MIN 3
#define CLIENT_KEY_HOSTS_DIFFER_MAX \
	2 /* d: hosts in which the witness sets of two host lists may differ */

#define UUID_LENGTH 36

static uint8_t *put_be64(uint8_t *at, uint64_t value)
{
	for (int i = 7; i >= 0; i--) {
		at[i] = (uint8_t)value;
		value >>= 8;
	}
	return at + 8;
}

static const uint8_t *get_be64(const uint8_t *at, uint64_t *value)
{
	*value = 0;
	for (int i = 0; i < 8; i++)
		*value = *value << 8 | at[i];
	return at + 8;
}

static void compute_mac(const uint8_t secret[IDEM_KEY_SECRET_BYTES],
			const uint8_t *payload, size_t size,
			uint8_t mac[MAC_SIZE])
{
	crypto_generichash(mac, MAC_SIZE, payload, size, secret,
			   IDEM_KEY_SECRET_BYTES);
}

static bool witness_set_valid(const witness_set_t *set)
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

int idem_key_issue(const uint8_t secret[IDEM_KEY_SECRET_BYTES],
		   const witness_set_t *witnesses, int64_t created_ms,
		   uint64_t nonce, char text[IDEM_KEY_TEXT_MAX])
{
	uint8_t bytes[PAYLOAD_SIZE_MAX + MAC_SIZE];
	uint8_t *at = bytes;
	size_t size;

	if (!witness_set_valid(witnesses) || created_ms < 0)
		return PIMENTO_EINVAL;
	*at++ = (uint8_t)witnesses->count;
	*at++ = (uint8_t)witnesses->quorum;
	at = put_be64(at, (uint64_t)created_ms);
	at = put_be64(at, nonce);
	for (uint32_t i = 0; i < witnesses->count; i++) {
		at = put_be64(at, witnesses->hosts[i]);
		at = put_be64(at, witnesses->incarnations[i]);
	}
	size = (size_t)(at - bytes);
	compute_mac(secret, bytes, size, at);
	memcpy(text, ISSUED_PREFIX, ISSUED_PREFIX_LENGTH);
	sodium_bin2base64(text + ISSUED_PREFIX_LENGTH,
			  IDEM_KEY_TEXT_MAX - ISSUED_PREFIX_LENGTH, bytes,
			  size + MAC_SIZE, BASE64_VARIANT);
	return (int)strlen(text);
}

bool idem_key_is_issued(const char *text)
{
	return !strncmp(text, ISSUED_PREFIX, ISSUED_PREFIX_LENGTH);
}

static int parse_payload(const uint8_t *at, size_t size,
			 witness_set_t *witnesses, int64_t *created_ms)
{
	uint64_t value;
	uint64_t nonce;

	memset(witnesses, 0, sizeof(*witnesses));
	witnesses->count = *at++;
	witnesses->quorum = *at++;
	if (witnesses->count > PIMENTO_WITNESSES_MAX ||
	    size != PAYLOAD_HEADER_SIZE +
			    (size_t)witnesses->count * PAYLOAD_WITNESS_SIZE)
		return PIMENTO_EPARSE;
	at = get_be64(at, &value);
	*created_ms = (int64_t)value;
	at = get_be64(at, &nonce);
	for (uint32_t i = 0; i < witnesses->count; i++) {
		at = get_be64(at, &witnesses->hosts[i]);
		at = get_be64(at, &witnesses->incarnations[i]);
	}
	return witness_set_valid(witnesses) && *created_ms >= 0
		       ? PIMENTO_OK
		       : PIMENTO_EPARSE;
}

int idem_key_parse(const uint8_t secret[IDEM_KEY_SECRET_BYTES],
		   const char *text, witness_set_t *witnesses,
		   int64_t *created_ms)
{
	uint8_t bytes[PAYLOAD_SIZE_MAX + MAC_SIZE];
	uint8_t mac[MAC_SIZE];
	size_t length = strlen(text);
	size_t size;

	if (!idem_key_is_issued(text) || length >= IDEM_KEY_TEXT_MAX)
		return PIMENTO_EPARSE;
	if (sodium_base642bin(bytes, sizeof(bytes), text + ISSUED_PREFIX_LENGTH,
			      length - ISSUED_PREFIX_LENGTH, NULL, &size, NULL,
			      BASE64_VARIANT) != 0)
		return PIMENTO_EPARSE;
	if (size < PAYLOAD_HEADER_SIZE + MAC_SIZE)
		return PIMENTO_EPARSE;
	size -= MAC_SIZE;
	compute_mac(secret, bytes, size, mac);
	if (sodium_memcmp(mac, bytes + size, MAC_SIZE) != 0)
		return PIMENTO_EAUTH;
	return parse_payload(bytes, size, witnesses, created_ms);
}

static int compare_ids(const void *left, const void *right)
{
	pimento_id_t a = *(const pimento_id_t *)left;
	pimento_id_t b = *(const pimento_id_t *)right;

	return (a > b) - (a < b);
}

uint32_t idem_key_eligible_hosts(const hostlist_t *list, pimento_id_t *hosts,
				 uint32_t max)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < list->count && count < max; i++) {
		const hostlist_host_t *host = &list->hosts[i];

		if (!host->is_endpoint && !host->leaving)
			hosts[count++] = host->id;
	}
	qsort(hosts, count, sizeof(*hosts), compare_ids);
	return count;
}

static uint64_t rendezvous_score(pimento_key_t key, pimento_id_t host)
{
	uint64_t words[3] = { key.hi, key.lo, host };

	return XXH3_64bits(words, sizeof(words));
}

/* Inserts a host in order of descending score, then of ascending id. */
static void insert_by_score(witness_set_t *set, uint64_t *scores,
			    pimento_id_t host, uint64_t value)
{
	uint32_t at = set->count;

	while (at && (scores[at - 1] < value ||
		      (scores[at - 1] == value && set->hosts[at - 1] > host)))
		at--;
	if (at == CLIENT_KEY_WITNESSES)
		return;
	if (set->count < CLIENT_KEY_WITNESSES)
		set->count++;
	for (uint32_t i = set->count - 1; i > at; i--) {
		set->hosts[i] = set->hosts[i - 1];
		scores[i] = scores[i - 1];
	}
	set->hosts[at] = host;
	scores[at] = value;
}

int idem_key_rendezvous(const pimento_id_t *hosts, uint32_t count,
			pimento_key_t key, witness_set_t *witnesses)
{
	uint64_t scores[CLIENT_KEY_WITNESSES] = { 0 };

	memset(witnesses, 0, sizeof(*witnesses));
	for (uint32_t i = 0; i < count; i++)
		insert_by_score(witnesses, scores, hosts[i],
				rendezvous_score(key, hosts[i]));
	if (witnesses->count < CLIENT_KEY_WITNESSES_MIN)
		return PIMENTO_ENOQUORUM;
	witnesses->quorum =
		(witnesses->count + CLIENT_KEY_HOSTS_DIFFER_MAX) / 2 + 1;
	if (witnesses->quorum > witnesses->count)
		witnesses->quorum = witnesses->count;
	witnesses->set_hash = XXH3_64bits(
		witnesses->hosts, witnesses->count * sizeof(pimento_id_t));
	if (!witnesses->set_hash)
		witnesses->set_hash = 1;
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

/* Returns the time of a UUID version 7 (RFC 9562) in ms since 1970, or -1. */
static int64_t uuid7_time_ms(const char *text)
{
	uint8_t digits[32];
	uint32_t count = 0;
	int64_t created_ms = 0;

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
		created_ms = created_ms << 4 | digits[i];
	return created_ms;
}

int idem_key_select_witnesses(const char *text, pimento_key_t key,
			      const hostlist_t *list, witness_set_t *witnesses,
			      int64_t *created_ms)
{
	pimento_id_t *hosts = malloc((list->count + 1) * sizeof(*hosts));
	uint32_t count;
	int error;

	*created_ms = uuid7_time_ms(text);
	memset(witnesses, 0, sizeof(*witnesses));
	if (!hosts)
		return PIMENTO_ENOMEM;
	count = idem_key_eligible_hosts(list, hosts, list->count);
	error = idem_key_rendezvous(hosts, count, key, witnesses);
	free(hosts);
	return error;
}

pimento_key_t idem_key_hash(pimento_id_t account, const char *text)
{
	XXH128_hash_t hash = XXH3_128bits_withSeed(text, strlen(text), account);
	pimento_key_t key = { hash.high64, hash.low64 };

	/* An all-zero key would stand for a request without a key. */
	if (pimento_key_is_none(key))
		key.lo = 1;
	return key;
}
