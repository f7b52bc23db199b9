#ifndef HOST_H
#define HOST_H

/*
 * One entry host: the parts put together. Messages to itself never leave it.
 */

#include "claim.h"
#include "config.h"
#include "entry.h"
#include "membership.h"
#include "owner.h"
#include "route.h"
#include "config_sync.h"

/* An endpoint of the configuration in force, and who owns it. */
typedef struct host_endpoint {
	const config_endpoint_t *config;
	pimento_id_t owner;
	uint64_t epoch; /* of our own ownership */
	double share; /* that we told owner.c */
} host_endpoint_t;

struct pimento_host {
	pimento_host_options_t options;
	pimento_id_t self;
	pimento_random_t random;
	outbox_t out;
	membership_t membership;
	config_sync_t config_sync;
	owner_t owner;
	route_t route;
	witness_t witness;
	entry_table_t entries;
	pimento_config_t *config;
	hostlist_t hosts;
	host_endpoint_t *endpoints;
	uint32_t endpoint_count;
	uint64_t applied_changes; /* of membership, as far as taken over */
	uint64_t last_epoch;
	uint64_t rejected_config_revision; /* revision that failed its checks */
	uint64_t rejected_revision; /* of either text */
	char *update_errors; /* why it was refused */
	bool update_rejected;
	pimento_usec_t started;
	pimento_usec_t now; /* of the latest call */
	pimento_usec_t next_digest;
	uint32_t digest_start; /* endpoint the next digest begins with */
	uint32_t config_switches;
	bool leaving;
	bool config_changed; /* an action is due */
	bool hosts_changed;
	message_t scratch;
};

/* What owns what, for status pages. Returns false past the last. */
bool host_endpoint_status(const pimento_host_t *host, pimento_usec_t now,
			  uint32_t index, const config_endpoint_t **config,
			  pimento_id_t *owner, message_summary_t *summary);

/* Name of a host by its id, from the host list; "?" if it is not there. */
const char *host_name(const pimento_host_t *host, pimento_id_t id);

#endif
