#ifndef OWNER_H
#define OWNER_H

/*
 * The owner's side of endpoints: for each endpoint that this host owns, the
 * waiting line, the slots in flight and the learnt limit. Takes reservations
 * of entries (this host's own entry among them, by the same messages) and
 * answers grant, wait or refuse through the outbox. Never dispatches anything,
 * so its death cannot leave a request in doubt.
 */

#include "config.h"
#include "heap.h"
#include "message.h"
#include "reservation.h"

/*
 * What an entry does, so that no more than this is needed of it:
 *
 * - MESSAGE_RESERVE, again each second until something is answered. A request
 *   has one reservation at a time; another one has a higher round, also at
 *   another owner, and ends the earlier one here.
 * - On MESSAGE_GRANT of the round it waits for: dispatches within lifetime and
 *   sends MESSAGE_PROGRESS at once, at the first token, and then every
 *   OWNER_PROGRESS_INTERVAL. Any other grant it answers with MESSAGE_RELEASE, unused.
 * - On MESSAGE_REFUSE: asks route_refused() what to do.
 * - When the dispatch ended, or the caller left: MESSAGE_RELEASE.
 * - When an endpoint changes its owner: MESSAGE_PROGRESS to the new one for
 *   each dispatch there, which makes it count the slot.
 */
#define OWNER_PROGRESS_INTERVAL (1 * PIMENTO_SEC)
#define OWNER_LEASE (5 * PIMENTO_SEC)
#define OWNER_GRANT_LIFETIME (500 * PIMENTO_MSEC)

/*
 * hops of the last visit before a request is given up: this owner takes it, or
 * refuses and with it everything less urgent that waits for the same target,
 * and lets nothing less urgent wait there for OWNER_TIER_FLOOR_SPAN.
 */
#define OWNER_HOPS_FINAL 255
/* The same, but the owner refuses in any case: the endpoint is kept for others. */
#define OWNER_HOPS_SHED_ONLY 254
#define OWNER_TIER_FLOOR_SPAN (200 * PIMENTO_MSEC)

/* An endpoint's own load report, late by age. */
typedef struct load_report {
	pimento_usec_t age;
	uint32_t running;
	uint32_t waiting;
	uint32_t tokens_left; /* tokens to be made for what runs */
	bool leaving;
} load_report_t;

typedef struct owner_options {
	pimento_id_t self;
	uint64_t seed;
	uint32_t waiting_max; /* reservations held over all endpoints */
} owner_options_t;

/* An account's share within a tier. */
typedef struct owner_account {
	pimento_id_t id;
	uint32_t weight;
} owner_account_t;

typedef struct owner {
	owner_options_t options;
	outbox_t *out;
	pimento_random_t random;
	owner_endpoint_t **endpoints; /* in the order they were taken */
	uint32_t count;
	uint32_t capacity;
	uint32_t waiting; /* reservations held */
	owner_account_t *accounts; /* by id, ascending */
	uint32_t account_count;
	reservation_table_t reservations;
	heap_t due; /* reservations by the time something must happen */
} owner_t;

/* out is borrowed and must outlive the owner. Returns 0 or PIMENTO_ENOMEM. */
int owner_init(owner_t *owner, const owner_options_t *options, outbox_t *out);
void owner_finish(owner_t *owner);

/*
 * Takes over the accounts' weights; without it, and for accounts it does not
 * name, every weight is 1. Returns 0 or PIMENTO_ENOMEM.
 */
int owner_configure(owner_t *owner, const pimento_config_t *config);

/*
 * Starts to own an endpoint, or takes over a changed description of it. epoch
 * is greater than that of every earlier ownership known here. weight in
 * (0, 1] is the share of the endpoint this owner may use: less than one where
 * it can reach only a part of the published hosts. Returns 0, PIMENTO_ENOMEM.
 */
int owner_add_endpoint(owner_t *owner, pimento_usec_t now,
		       const config_endpoint_t *endpoint, uint64_t epoch,
		       double weight);

/*
 * Stops owning: every waiting reservation is refused with PIMENTO_ESTALE at
 * once, so that its entry reserves at the new owner; nothing of it has run.
 */
void owner_remove_endpoint(owner_t *owner, pimento_usec_t now,
			   pimento_id_t endpoint);

/* The endpoint is leaving: refuse what waits, grant nothing more. */
void owner_endpoint_leaving(owner_t *owner, pimento_usec_t now,
			    pimento_id_t endpoint);

/* A new process stands in the place of the endpoint that was leaving. */
void owner_endpoint_restarted(owner_t *owner, pimento_usec_t now,
			      pimento_id_t endpoint);

/* An entry host is dead: what it had waiting is dropped. */
void owner_entry_dead(owner_t *owner, pimento_usec_t now, pimento_id_t entry);

/*
 * Takes MESSAGE_RESERVE, _RELEASE, _PROGRESS. Repeated and reordered ones are
 * harmless. Returns 0, or PIMENTO_EINVAL for another kind.
 */
int owner_receive(owner_t *owner, pimento_usec_t now, pimento_id_t from,
		  const message_t *message);

void owner_load_report(owner_t *owner, pimento_usec_t now,
		       pimento_id_t endpoint, const load_report_t *report);

/*
 * Called when owner_deadline() is due, or whenever else: refuses what can no
 * longer finish in time, takes back grants and slots whose lifetime is over,
 * grants what the limit now allows.
 */
void owner_tick(owner_t *owner, pimento_usec_t now);
pimento_usec_t owner_deadline(const owner_t *owner);

/* Fills a summary; PIMENTO_ENOTFOUND if the endpoint is not owned here. */
int owner_summary(const owner_t *owner, pimento_usec_t now,
		  pimento_id_t endpoint, message_summary_t *summary);

#endif
