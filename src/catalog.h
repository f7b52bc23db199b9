#ifndef CATALOG_H
#define CATALOG_H

/*
 * The operator's configuration as one immutable version: routes, the services
 * they lead to, client accounts and their keys, and limits. A request holds the
 * version that it arrived under; a version is freed with its last holder.
 */

#include "../pimentoshelf.h"

typedef enum catalog_kind {
	CATALOG_IDEMPOTENT, /* may run more than once */
	CATALOG_NON_IDEMPOTENT,
	CATALOG_STREAMING /* as non-idempotent, unless it can be resumed */
} catalog_kind_t;

typedef struct catalog_target {
	pimento_id_t service;
	uint32_t weight;
} catalog_target_t;

typedef struct catalog_route {
	char *name;
	char *host; /* lower case */
	char *prefix; /* begins and ends with a slash */
	pimento_id_t key; /* of the name */
	catalog_kind_t kind;
	bool resumable;
	bool allows_anonymous; /* needs no key */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t tier; /* of the priorities in use, after catalog_finalize() */
	uint32_t attempts_max; /* endpoints that one request may be sent to */
	pimento_usec_t timeout;
	pimento_usec_t
		objective; /* to the answer, or to a stream's first event */
	pimento_usec_t
		gap_objective; /* longest pause between a stream's events */
	catalog_target_t *targets;
	uint32_t target_count;
} catalog_route_t;

/* Less urgent priorities than so many share the last tier. */
#define CATALOG_TIERS_MAX 8

typedef struct catalog_service {
	char *name;
	pimento_id_t key;
	uint32_t connections_max; /* of all callers together, at one endpoint */
	bool is_engine; /* a model engine that answers in streams */
} catalog_service_t;

typedef struct catalog_account {
	char *name;
	pimento_id_t key; /* of the name */
	bool has_priority; /* has a priority of its own, which goes first */
	uint32_t priority;
	double tokens_per_second; /* 0: no quota */
	double burst; /* tokens */
	uint32_t
		default_request_tokens; /* what a request without a size counts as */
	bool counts_requests; /* the quota counts requests, not tokens */
} catalog_account_t;

typedef struct catalog_key {
	char *text;
	uint32_t account;
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

/* An empty version with one holder. Returns NULL without memory. */
catalog_t *catalog_new(uint64_t version);
catalog_t *catalog_retain(catalog_t *catalog);
void catalog_release(catalog_t *catalog); /* NULL is allowed */

/*
 * Appends a zeroed element and returns it; NULL without memory. The pointer
 * lasts until the next of its kind is added.
 */
catalog_route_t *catalog_add_route(catalog_t *catalog);
catalog_target_t *catalog_add_target(catalog_route_t *route);
catalog_service_t *catalog_add_service(catalog_t *catalog);
catalog_account_t *catalog_add_account(catalog_t *catalog);
/* Copies text. Returns 0 or PIMENTO_ENOMEM. */
int catalog_add_key(catalog_t *catalog, const char *text, uint32_t account);

/* Sorts what is looked up; call once, before any lookup. */
void catalog_finalize(catalog_t *catalog);

/*
 * The route of a request: of the routes of its host, the one with the longest
 * prefix of path. host may carry a port. NULL if there is none.
 */
const catalog_route_t *catalog_find_route(const catalog_t *catalog,
					  const char *host, const char *path);
/* The account that holds a key; NULL if none does. */
const catalog_account_t *catalog_find_account(const catalog_t *catalog,
					      const char *key);
const catalog_service_t *catalog_find_service(const catalog_t *catalog,
					      pimento_id_t key);
/* One of the route's services, by weight; hash is that of the request. */
pimento_id_t catalog_select_service(const catalog_route_t *route,
				    uint64_t hash);

#endif
