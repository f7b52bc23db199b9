#ifndef CONFIG_H
#define CONFIG_H

/*
 * The configuration that the platform publishes, in TOML, generated from the
 * questionnaire, and the parser of the platform's host list. Each revision is
 * parsed into one pimento_config_t that is never changed afterwards: switching
 * to another revision swaps one pointer, and a request in progress keeps the
 * contract it was accepted under by holding a reference to its revision.
 */

#include "evacuation.h"

#define CONFIG_MAX_BYTES ((size_t)1048576)

/* Priority class of requests. Requests of rank 0 are the most urgent. */
typedef struct config_tier {
	char name[PIMENTO_NAME_MAX];
	uint8_t rank;
	pimento_usec_t timeout; /* default timeout of its contracts */
} config_tier_t;

/*
 * An account that may call. Only the hash of its API key is published, never
 * the key itself.
 */
typedef struct config_account {
	char name[PIMENTO_NAME_MAX];
	pimento_id_t id;
	uint8_t key_hash[32]; /* BLAKE2b-256 of the API key */
	uint32_t weight; /* relative share of its tier under load, at least 1 */
} config_account_t;

typedef enum config_target {
	CONFIG_TARGET_MODEL = 1,
	CONFIG_TARGET_SERVICE
} config_target_t;

/*
 * A contract: a kind of request of one account or of all, with the target that
 * it calls and the tier in which it is served. A caller selects a contract by
 * the header Pimento-Contract. Without the header, the first contract in the
 * configuration that matches the account and the call applies.
 */
typedef struct config_contract {
	char name[PIMENTO_NAME_MAX];
	char account[PIMENTO_NAME_MAX]; /* "*" for every account */
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX]; /* name of a model or service */
	char method[8]; /* services only, such as "POST"; "" for any method */
	/* services only: exact path below the prefix; "" for any path */
	char path[128];
	uint8_t tier; /* rank of the tier */
	pimento_usec_t timeout; /* from arrival to the complete answer */
	bool repeatable; /* false: needs an idempotency key, runs at most once */
	uint32_t answer_tokens; /* assumed if the caller states no limit */
} config_contract_t;

/* A plain service. Calls whose path is below its prefix are passed through. */
typedef struct config_service {
	char name[PIMENTO_NAME_MAX];
	char prefix[64]; /* begins with '/', no trailing '/' */
} config_service_t;

/* A process that serves requests: a model engine or part of a plain service. */
typedef struct config_endpoint {
	char name[PIMENTO_NAME_MAX];
	pimento_id_t id;
	char datacentre[PIMENTO_NAME_MAX];
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char address[64]; /* numeric IP address */
	uint16_t port;
	bool fencing; /* refuses requests with a stale fencing number */
	uint32_t concurrency; /* maximum of requests in progress */
	uint32_t context_tokens; /* maximum in a request; 0: no limit */
} config_endpoint_t;

typedef struct pimento_config {
	char deployment[PIMENTO_NAME_MAX];
	uint64_t revision; /* assigned by the platform; not set by the parser */
	uint64_t digest; /* see pimento_config_digest() */
	uint32_t body_max; /* maximum bytes of a request body */
	pimento_usec_t retention; /* lifetime of idempotency keys */
	evacuation_t evacuated; /* data centres that get no new requests */
	uint32_t tier_count;
	config_tier_t tiers[PIMENTO_TIERS_MAX]; /* indexed by rank */
	uint32_t account_count;
	config_account_t *accounts;
	uint32_t contract_count;
	config_contract_t *contracts; /* contracts in the order of the text */
	uint32_t service_count;
	config_service_t *services;
	uint32_t endpoint_count;
	config_endpoint_t *endpoints; /* endpoints sorted by id */
} pimento_config_t;

/*
 * Collects all errors found in one configuration text, so that they can be
 * reported together. Each is one line of the form "file:line: key: reason".
 */
typedef struct problems {
	char *text; /* NUL-terminated, one line per error; NULL if none */
	uint32_t count; /* errors found, stored or not */
	uint32_t max_lines; /* errors beyond this are counted, not stored */
} problems_t;

void problems_init(problems_t *problems);
void problems_finish(problems_t *problems);
/* Adds an error. line is 0 if the line number is unknown; it is then omitted. */
void problems_add(problems_t *problems, const char *file, int line,
		  const char *key, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/*
 * Parses and checks a configuration. text need not be NUL-terminated; file is
 * the file name shown in problems. Returns 0; PIMENTO_EPARSE with every error
 * in problems; PIMENTO_ETOOBIG if the text is larger than CONFIG_MAX_BYTES; or
 * PIMENTO_ENOMEM. After an error, config is empty and need not be finished.
 */
int pimento_config_parse(pimento_config_t *config, const char *text,
			 size_t length, const char *file, problems_t *problems);
void pimento_config_finish(pimento_config_t *config);

/*
 * Returns the digest of a configuration text. A configuration may state on its
 * first line the digest of all following lines, as 16 hexadecimal digits; the
 * parser then verifies it.
 */
uint64_t pimento_config_digest(const char *text, size_t length);

/* Computes the hash of an API key by which the configuration lists it. */
void pimento_config_hash_key(const char *key, size_t length, uint8_t hash[32]);

/* Splits "model:NAME" or "service:NAME"; returns false if it is neither. */
bool pimento_config_parse_target(const char *text, config_target_t *target,
				 char name[PIMENTO_NAME_MAX]);

/*
 * Checks the path prefix of a service. Returns the error as a static string,
 * NULL if the prefix is valid.
 */
const char *pimento_config_check_prefix(const char *prefix);

/*
 * Whether some call of a service can match both of two pairs of method and
 * path. An empty string matches any method or path.
 */
bool pimento_config_calls_overlap(const char *method_a, const char *path_a,
				  const char *method_b, const char *path_b);

/*
 * Sorts the endpoints by id, as pimento_config_find_endpoint() requires. A
 * parsed configuration is already sorted.
 */
void pimento_config_sort_endpoints(pimento_config_t *config);

const config_endpoint_t *
pimento_config_find_endpoint(const pimento_config_t *config, pimento_id_t id);
/*
 * Finds the account of an API key's hash; NULL if none. The time taken does not
 * depend on the hash.
 */
const config_account_t *
pimento_config_find_account(const pimento_config_t *config,
			    const uint8_t key_hash[32]);

/*
 * Finds the contract that applies to a request. name is the contract that the
 * caller selected, or NULL; method and path are those of a service call, and
 * NULL for a model. Returns NULL if no contract lets the account make the call.
 */
const config_contract_t *
pimento_config_find_contract(const pimento_config_t *config,
			     const config_account_t *account, const char *name,
			     config_target_t target, const char *target_name,
			     const char *method, const char *path);

/* Finds the service with the longest prefix that matches the path, or NULL. */
const config_service_t *
pimento_config_find_service(const pimento_config_t *config, const char *path);

typedef struct hostlist_host {
	char name[PIMENTO_NAME_MAX];
	pimento_id_t id;
	char datacentre[PIMENTO_NAME_MAX];
	/* numeric IP address; for an entry host, that of its peer port */
	char address[64];
	uint16_t port;
	bool is_endpoint; /* runs an endpoint; false for an entry host */
	bool leaving; /* is being drained */
} hostlist_host_t;

/*
 * The list of live and leaving hosts that the platform publishes in JSON. It may
 * be out of date, as the platform notices changes with a delay.
 */
typedef struct hostlist {
	uint64_t revision;
	uint32_t count;
	hostlist_host_t *hosts;
} hostlist_t;

/*
 * Parses {"revision": 7, "hosts": [{"name", "datacentre", "address", "port",
 * "role": "entry"|"endpoint", "state": "live"|"leaving"}, ...]}. Unknown keys are
 * ignored. Returns the same errors as pimento_config_parse().
 */
int hostlist_parse(hostlist_t *list, const char *text, size_t length,
		   problems_t *problems);
void hostlist_finish(hostlist_t *list);

#endif
