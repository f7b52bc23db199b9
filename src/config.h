#ifndef CONFIG_H
#define CONFIG_H

/*
 * The configuration that the platform publishes: generated from the
 * questionnaire, written in TOML, immutable once parsed. One revision is one
 * pimento_config_t; switching to another is swapping one pointer, and requests
 * in progress keep the contract they came in under by holding a reference.
 */

#include "../pimentoshelf.h"

#define CONFIG_MAX_BYTES ((size_t)1048576)

/* How urgent requests are; rank 0 is the most urgent. */
typedef struct config_tier {
	char name[PIMENTO_NAME_MAX];
	uint8_t rank;
	pimento_usec_t timeout; /* span for which the caller still cares */
} config_tier_t;

/* Who may call. The key itself is never published, only its hash. */
typedef struct config_account {
	char name[PIMENTO_NAME_MAX];
	pimento_id_t id;
	uint8_t key_hash[32]; /* BLAKE2b-256 of the API key */
	uint32_t weight; /* share within a tier, at least 1 */
} config_account_t;

typedef enum config_target {
	CONFIG_TARGET_MODEL = 1,
	CONFIG_TARGET_SERVICE
} config_target_t;

/*
 * One kind of request of one or more accounts: what it may call and in which
 * tier it is served. A caller names it in the header Pimento-Contract; the
 * first contract of an account and target serves where none is named.
 */
typedef struct config_contract {
	char name[PIMENTO_NAME_MAX];
	char account[PIMENTO_NAME_MAX]; /* "*": every account */
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX]; /* model or service */
	char method[8]; /* services: "POST"; "" any */
	char path[128]; /* services: exact path below the prefix, "" any */
	uint8_t tier; /* rank */
	pimento_usec_t timeout;
	bool repeatable; /* false: needs an idempotency key, runs once */
	uint32_t answer_tokens; /* estimate where the caller gives none */
} config_contract_t;

/* A plain service: calls below its path prefix are passed through. */
typedef struct config_service {
	char name[PIMENTO_NAME_MAX];
	char prefix[64]; /* begins with '/', no trailing '/' */
} config_service_t;

/* A machine's process that answers: a model engine or a plain service. */
typedef struct config_endpoint {
	char name[PIMENTO_NAME_MAX];
	pimento_id_t id;
	char datacentre[PIMENTO_NAME_MAX];
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char address[64]; /* IP number */
	uint16_t port;
	bool fencing; /* refuses orders with an old fencing number */
	uint32_t concurrency; /* most requests it takes at once */
	uint32_t context_tokens; /* most tokens of one request; 0 no limit */
} config_endpoint_t;

typedef struct pimento_config {
	char deployment[PIMENTO_NAME_MAX];
	uint64_t revision; /* the platform's; set by who read it */
	uint64_t digest; /* hash of the text */
	uint32_t body_max; /* bytes of a caller's body */
	pimento_usec_t retention; /* how long an idempotency key is known */
	uint32_t tier_count;
	config_tier_t tiers[PIMENTO_TIERS_MAX];
	uint32_t account_count;
	config_account_t *accounts;
	uint32_t contract_count;
	config_contract_t *contracts;
	uint32_t service_count;
	config_service_t *services;
	uint32_t endpoint_count;
	config_endpoint_t *endpoints;
} pimento_config_t;

/*
 * Collects every mistake of one text, so that all are reported at once. Each
 * is one line: "file:line: key: reason".
 */
typedef struct problems {
	char *text; /* NUL-terminated, one line each; NULL when none */
	uint32_t count;
	uint32_t max_lines; /* more are counted, not kept */
} problems_t;

void problems_init(problems_t *problems);
void problems_finish(problems_t *problems);
void problems_add(problems_t *problems, const char *file, int line,
		  const char *key, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/*
 * Parses and checks a configuration. text need not be NUL-terminated; file is
 * the name used in problems. Returns 0; PIMENTO_EPARSE with every mistake in
 * problems (config is then empty and needs no finish); PIMENTO_ETOOBIG over
 * CONFIG_MAX_BYTES; PIMENTO_ENOMEM.
 */
int pimento_config_parse(pimento_config_t *config, const char *text,
			 size_t length, const char *file, problems_t *problems);
void pimento_config_finish(pimento_config_t *config);

/*
 * Digest of a text. A configuration may carry, on its first line, the digest
 * of all that follows that line, as 16 hexadecimal digits; it is then checked.
 */
uint64_t pimento_config_digest(const char *text, size_t length);

/* Hash of an API key, as it stands in the configuration. */
void pimento_config_hash_key(const char *key, size_t length, uint8_t hash[32]);

/* Splits "model:NAME" or "service:NAME"; returns false if it is neither. */
bool pimento_config_parse_target(const char *text, config_target_t *target,
				 char name[PIMENTO_NAME_MAX]);

/* Says what is wrong with a service's path prefix; NULL if nothing is. */
const char *pimento_config_check_prefix(const char *prefix);

/*
 * Whether a service's calls under one method and path may also come under the
 * other; an empty text stands for any.
 */
bool pimento_config_calls_overlap(const char *method_a, const char *path_a,
				  const char *method_b, const char *path_b);

/* Puts the endpoints in the order that look-ups need; parsing does it. */
void pimento_config_sort_endpoints(pimento_config_t *config);

const config_endpoint_t *
pimento_config_find_endpoint(const pimento_config_t *config, pimento_id_t id);
const config_account_t *
pimento_config_find_account(const pimento_config_t *config,
			    const uint8_t key_hash[32]); /* constant time */

/*
 * Finds the contract of a request. name may be NULL; method and path are those
 * of a service call, else NULL. Returns NULL if the account may not call that.
 */
const config_contract_t *
pimento_config_find_contract(const pimento_config_t *config,
			     const config_account_t *account, const char *name,
			     config_target_t target, const char *target_name,
			     const char *method, const char *path);

/* Finds the service whose prefix the path begins with; NULL if none. */
const config_service_t *
pimento_config_find_service(const pimento_config_t *config, const char *path);

typedef struct hostlist_host {
	char name[PIMENTO_NAME_MAX];
	pimento_id_t id;
	char datacentre[PIMENTO_NAME_MAX];
	char address[64]; /* entry hosts: of the peer port */
	uint16_t port;
	bool is_endpoint; /* an endpoint's host, not one of ours */
	bool leaving;
} hostlist_host_t;

/* The platform's host list: live and leaving hosts, with a lag. JSON. */
typedef struct hostlist {
	uint64_t revision;
	uint32_t count;
	hostlist_host_t *hosts;
} hostlist_t;

/*
 * Parses {"revision": 7, "hosts": [{"name", "datacentre", "address", "port",
 * "role": "entry"|"endpoint", "state": "live"|"leaving"}, ...]}. Returns as
 * pimento_config_parse().
 */
int hostlist_parse(hostlist_t *list, const char *text, size_t length,
		   problems_t *problems);
void hostlist_finish(hostlist_t *list);

#endif
