/*
 * Lookups in a parsed configuration, and the checks that its parser and that of
 * the questionnaire share.
 *
 * Tiers are sorted by rank, so that a rank is an index; endpoints are sorted by
 * id for binary search. Contracts keep the order of the text, because the first
 * one that matches a request applies.
 */

#include "config.h"

#include "fields.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

uint64_t pimento_config_digest(const char *text, size_t length)
{
	return XXH3_64bits(text, length);
}

void pimento_config_hash_key(const char *key, size_t length, uint8_t hash[32])
{
	crypto_generichash(hash, 32, (const unsigned char *)key, length, NULL,
			   0);
}

bool pimento_config_parse_target(const char *text, config_target_t *target,
				 char name[PIMENTO_NAME_MAX])
{
	static const struct {
		const char *prefix;
		config_target_t target;
	} target_prefixes[] = {
		{ "model:", CONFIG_TARGET_MODEL },
		{ "service:", CONFIG_TARGET_SERVICE },
	};

	for (size_t i = 0; i < COUNT(target_prefixes); i++) {
		size_t length = strlen(target_prefixes[i].prefix);

		if (strncmp(text, target_prefixes[i].prefix, length) != 0 ||
		    !fields_is_name(text + length))
			continue;
		*target = target_prefixes[i].target;
		snprintf(name, PIMENTO_NAME_MAX, "%s", text + length);
		return true;
	}
	return false;
}

static bool patterns_overlap(const char *a, const char *b)
{
	return !a[0] || !b[0] || !strcmp(a, b);
}

bool pimento_config_calls_overlap(const char *method_a, const char *path_a,
				  const char *method_b, const char *path_b)
{
	return patterns_overlap(method_a, method_b) &&
	       patterns_overlap(path_a, path_b);
}

/* Paths that the daemon serves itself; no service may claim them. */
static const char *const reserved_paths[] = { "/v1", "/status", "/metrics",
					      "/healthz", "/burn" };

static bool path_has_prefix(const char *path, const char *prefix)
{
	size_t length = strlen(prefix);

	return !strncmp(path, prefix, length) &&
	       (path[length] == '/' || !path[length] || path[length] == '?');
}

const char *pimento_config_check_prefix(const char *prefix)
{
	size_t length = strlen(prefix);

	if (prefix[0] != '/' || length < 2 || prefix[length - 1] == '/')
		return "must begin with '/' and must not end with '/'";
	for (size_t i = 0; i < COUNT(reserved_paths); i++)
		if (path_has_prefix(prefix, reserved_paths[i]))
			return "is a path that the daemon answers itself: "
			       "/v1, /status, /metrics, /healthz or /burn";
	return NULL;
}

void pimento_config_finish(pimento_config_t *config)
{
	free(config->accounts);
	free(config->contracts);
	free(config->services);
	free(config->endpoints);
	evacuation_finish(&config->evacuated);
	memset(config, 0, sizeof(*config));
}

static int compare_endpoints(const void *left, const void *right)
{
	const config_endpoint_t *a = left;
	const config_endpoint_t *b = right;

	return (a->id > b->id) - (a->id < b->id);
}

void pimento_config_sort_endpoints(pimento_config_t *config)
{
	if (config->endpoint_count)
		qsort(config->endpoints, config->endpoint_count,
		      sizeof(*config->endpoints), compare_endpoints);
}

const config_endpoint_t *
pimento_config_find_endpoint(const pimento_config_t *config, pimento_id_t id)
{
	config_endpoint_t wanted = { .id = id };

	if (!config->endpoint_count)
		return NULL;
	return bsearch(&wanted, config->endpoints, config->endpoint_count,
		       sizeof(wanted), compare_endpoints);
}

/*
 * Compares the full hash with that of every account, so that the time taken does
 * not reveal how much of a guessed key's hash matches, nor which account's.
 */
const config_account_t *
pimento_config_find_account(const pimento_config_t *config,
			    const uint8_t key_hash[32])
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < config->account_count; i++) {
		int differs = sodium_memcmp(config->accounts[i].key_hash,
					    key_hash, 32);
		uint32_t mask = (uint32_t)differs & 1U;

		/* mask is 0 if the hashes are equal, otherwise 1 */
		found |= (i + 1) & (mask - 1U);
	}
	return found ? &config->accounts[found - 1] : NULL;
}

static bool matches_target(const config_contract_t *contract,
			   const config_account_t *account, const char *name,
			   config_target_t target, const char *target_name)
{
	if (contract->target != target ||
	    strcmp(contract->target_name, target_name) != 0)
		return false;
	if (name && strcmp(contract->name, name) != 0)
		return false;
	return !strcmp(contract->account, "*") ||
	       !strcmp(contract->account, account->name);
}

static bool contract_matches_call(const config_contract_t *contract,
				  const char *method, const char *path)
{
	if (contract->method[0] &&
	    (!method || strcmp(contract->method, method) != 0))
		return false;
	return !contract->path[0] || (path && !strcmp(contract->path, path));
}

const config_contract_t *
pimento_config_find_contract(const pimento_config_t *config,
			     const config_account_t *account, const char *name,
			     config_target_t target, const char *target_name,
			     const char *method, const char *path)
{
	for (uint32_t i = 0; i < config->contract_count; i++) {
		const config_contract_t *contract = &config->contracts[i];

		if (matches_target(contract, account, name, target,
				   target_name) &&
		    contract_matches_call(contract, method, path))
			return contract;
	}
	return NULL;
}

const config_service_t *
pimento_config_find_service(const pimento_config_t *config, const char *path)
{
	const config_service_t *best = NULL;

	for (uint32_t i = 0; i < config->service_count; i++) {
		const config_service_t *service = &config->services[i];

		if (!path_has_prefix(path, service->prefix))
			continue;
		if (!best || strlen(service->prefix) > strlen(best->prefix))
			best = service;
	}
	return best;
}
