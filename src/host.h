#ifndef HOST_H
#define HOST_H

/*
 * One entry host: membership, configuration sync, owner, routing, witness and
 * request table combined behind the interface of pimentoshelf.h. Messages from
 * a host to itself are delivered directly and never sent.
 */

#include "claim.h"
#include "config.h"
#include "entry.h"
#include "membership.h"
#include "owner.h"
#include "route.h"
#include "config_sync.h"

/* An endpoint of the configuration in force, and the host that owns it. */
typedef struct host_endpoint {
	const config_endpoint_t *config;
	pimento_id_t owner;
	/* epoch of this host's ownership; only valid if it owns the endpoint */
	uint64_t epoch;
	double share; /* share of the endpoint's capacity passed to owner.c */
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
	uint64_t applied_changes; /* membership.owner_changes when owners were
				     last assigned */
	uint64_t last_epoch; /* newest epoch of an ownership of this host */
	uint64_t rejected_config_revision; /* configuration rejected last */
	uint64_t
		rejected_revision; /* configuration or host list rejected last */
	char *update_errors; /* errors in the text rejected last, or NULL */
	bool update_rejected; /* UPDATE_REJECTED action is pending */
	pimento_usec_t started;
	pimento_usec_t now; /* time passed to the latest call of the host */
	pimento_usec_t next_digest;
	/* index of the first endpoint in the next load digest */
	uint32_t digest_start;
	uint32_t config_switches; /* configurations put into force */
	bool leaving;
	bool config_changed; /* CONFIG_CHANGED action is pending */
	bool hosts_changed; /* HOSTS_CHANGED action is pending */
	message_t scratch; /* message of the latest SEND action */
};

/*
 * Returns the endpoint at an index with its owner and, if this host owns it,
 * its load, for status pages; false if `index` is past the last endpoint.
 */
bool host_endpoint_status(const pimento_host_t *host, pimento_usec_t now,
			  uint32_t index, const config_endpoint_t **config,
			  pimento_id_t *owner, message_summary_t *summary);

/* Returns the name of a host from the host list, or "?" if it is not listed. */
const char *host_name(const pimento_host_t *host, pimento_id_t id);

#endif
