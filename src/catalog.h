#ifndef CATALOG_H
#define CATALOG_H

/*
 * One immutable version of the operator's configuration: routes, the services
 * that they select from, client accounts with their keys, and limits. A request
 * keeps a reference to the version that was current when it arrived; a version
 * is freed with its last reference. Reference counts are not thread-safe.
 */

#include "../pimentoshelf.h"

typedef enum catalog_kind {
	CATALOG_IDEMPOTENT, /* a request may be executed more than once */
	CATALOG_NON_IDEMPOTENT,
	CATALOG_STREAMING /* non-idempotent unless the route is resumable */
} catalog_kind_t;

/* Regions in which requests may run, by hash of the name; none: all. */
typedef struct catalog_regions {
	pimento_id_t *ids;
	uint32_t count;
} catalog_regions_t;

typedef struct catalog_target {
	pimento_id_t service;
	uint32_t weight;
} catalog_target_t;

typedef struct catalog_route {
	char *name;
	char *host; /* lower case */
	char *prefix; /* path prefix; begins and ends with a slash */
	pimento_id_t key; /* hash of the name */
	catalog_kind_t kind;
	bool resumable; /* a broken stream may be resumed */
	bool allows_anonymous; /* accepts requests without a client key */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t tier; /* rank of priority, set by catalog_finalize() */
	uint32_t attempts_max; /* endpoints that a request may be sent to */
	pimento_usec_t timeout;
	/* Target time to the answer, or to the first event of a stream. */
	pimento_usec_t objective;
	/* Target for the longest pause between two events of a stream. */
	pimento_usec_t gap_objective;
	catalog_target_t *targets;
	uint32_t target_count;
	catalog_regions_t regions;
} catalog_route_t;

/* Maximum number of tiers; all less urgent priorities share the last one. */
#define CATALOG_TIERS_MAX 8

typedef struct catalog_service {
	char *name;
	pimento_id_t key;
	/* Connections to one endpoint, over all callers. */
	uint32_t connections_max;
	bool is_engine; /* a model engine that streams its answers */
	/* How long an endpoint is slow after its start; 0: not stated. */
	pimento_usec_t cold_start;
	/* Requests a second that it bears until then; 0: not stated. */
	double cold_per_second;
} catalog_service_t;

typedef struct catalog_account {
	char *name;
	pimento_id_t key; /* hash of the name */
	/* priority is set and takes precedence over the route's priority. */
	bool has_priority;
	uint32_t priority;
	double tokens_per_second; /* 0: no quota */
	double burst; /* tokens that the token bucket holds */
	/* Tokens charged for a request that does not state its size. */
	uint32_t default_request_tokens;
	bool counts_requests; /* the quota counts requests, not tokens */
	catalog_regions_t regions;
} catalog_account_t;

typedef struct catalog_key {
	char *text;
	uint32_t account; /* index in the catalog's accounts */
} catalog_key_t;

typedef struct catalog_limits {
	uint32_t head_bytes_max;
	uint32_t body_bytes_max;
	pimento_usec_t head_timeout;
	pimento_usec_t idle_timeout;
} catalog_limits_t;

typedef struct catalog {
	uint32_t refs;
	uint64_t version;
	catalog_route_t *routes;
	uint32_t route_count;
	catalog_service_t *services;
	uint32_t service_count;
	catalog_account_t *accounts;
	uint32_t account_count;
	catalog_key_t *keys; /* sorted by text after catalog_finalize() */
	uint32_t key_count;
	catalog_limits_t limits;
} catalog_t;

/* Returns an empty version with one reference, or NULL if out of memory. */
catalog_t *catalog_new(uint64_t version);
catalog_t *catalog_retain(catalog_t *catalog);
/*
 * Releases a reference to a configuration version, which is freed with its last
 * reference. NULL is allowed.
 */
void catalog_release(catalog_t *catalog);

/*
 * Appends a zeroed element and returns it, or NULL if out of memory. The pointer
 * is valid until the next element of the same kind is added.
 */
catalog_route_t *catalog_add_route(catalog_t *catalog);
catalog_target_t *catalog_add_target(catalog_route_t *route);
catalog_service_t *catalog_add_service(catalog_t *catalog);
catalog_account_t *catalog_add_account(catalog_t *catalog);
/*
 * Adds a client key, whose text is copied; account is an index in the catalog's
 * accounts. Returns 0 or PIMENTO_ENOMEM.
 */
int catalog_add_key(catalog_t *catalog, const char *text, uint32_t account);

/* Adds a region by its name. Returns 0 or PIMENTO_ENOMEM. */
int catalog_add_region(catalog_regions_t *regions, const char *name);
/* True if there are none, or if region is one of them. */
bool catalog_allows_region(const catalog_regions_t *regions,
			   pimento_id_t region);

/*
 * Assigns tiers and sorts keys and routes. Call after the last addition and
 * before any lookup.
 */
void catalog_finalize(catalog_t *catalog);

/*
 * Finds the route of a request: among the routes for its host, the one with the
 * longest prefix of path. host may include a port. Returns NULL if there is
 * none.
 */
const catalog_route_t *catalog_find_route(const catalog_t *catalog,
					  const char *host, const char *path);
/* Finds the account that a client key belongs to; NULL if there is none. */
const catalog_account_t *catalog_find_account(const catalog_t *catalog,
					      const char *key);
const catalog_service_t *catalog_find_service(const catalog_t *catalog,
					      pimento_id_t key);
/*
 * Selects one of the route's services by weight; draw is a random number that
 * the caller draws for each request. Returns 0 if the route has no service.
 */
pimento_id_t catalog_select_service(const catalog_route_t *route,
				    uint64_t draw);

#endif
