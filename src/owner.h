#ifndef OWNER_H
#define OWNER_H

/*
 * The owner's side of endpoints: for each endpoint that this host owns, the
 * wait queue, the slots in use and the learnt limits. Receives reservations
 * from entry hosts (from the entry on this host too, by the same messages) and
 * answers grant, wait or refuse through the outbox. It never dispatches a
 * request, so the failure of an owner cannot leave a request in doubt.
 */

#include "config.h"
#include "heap.h"
#include "message.h"
#include "reservation.h"

/*
 * What an owner expects of an entry, and all that it relies on:
 *
 * - Sends MESSAGE_RESERVE, and repeats it each second until it is answered. A
 *   request has one reservation at a time; a further one, also at another
 *   owner, has a higher round and ends the earlier one here.
 * - On MESSAGE_GRANT of the round that it waits for: dispatches within the
 *   grant's lifetime and sends MESSAGE_PROGRESS at once, at the first token,
 *   and then every OWNER_PROGRESS_INTERVAL. Answers any other grant with
 *   MESSAGE_RELEASE, outcome RELEASE_UNUSED.
 * - On MESSAGE_REFUSE: calls route_handle_refusal() for the next step.
 * - When the dispatch ended, or the caller left: sends MESSAGE_RELEASE.
 * - When an endpoint changes its owner: sends MESSAGE_PROGRESS to the new owner
 *   for each dispatch at the endpoint, so that the new owner counts its slot.
 */
#define OWNER_PROGRESS_INTERVAL (1 * PIMENTO_SEC)
#define OWNER_LEASE (5 * PIMENTO_SEC)
#define OWNER_GRANT_LIFETIME (500 * PIMENTO_MSEC)

/*
 * Value of message_reserve_t.hops that marks the final attempt before a request
 * is rejected: the owner accepts it, or refuses it together with everything of
 * lower priority that waits for the same target, and for OWNER_TIER_FLOOR_SPAN
 * lets nothing of lower priority wait there.
 */
#define OWNER_HOPS_FINAL 255
/*
 * Value of message_reserve_t.hops of a final attempt at an endpoint that is
 * kept free of long prompts: as OWNER_HOPS_FINAL, but the owner refuses the
 * request in any case.
 */
#define OWNER_HOPS_SHED_ONLY 254
#define OWNER_TIER_FLOOR_SPAN (200 * PIMENTO_MSEC)

/* Load figures that an endpoint reports about itself. */
typedef struct load_report {
	pimento_usec_t age; /* time since the endpoint took the figures */
	uint32_t running;
	uint32_t waiting;
	/* answer tokens still to be generated for running requests */
	uint32_t tokens_left;
	bool leaving;
} load_report_t;

typedef struct owner_options {
	pimento_id_t self;
	uint64_t seed;
	/* limit on waiting reservations, over all endpoints */
	uint32_t waiting_max;
} owner_options_t;

/* An account's weight in the fair queueing within a tier. */
typedef struct owner_account {
	pimento_id_t id;
	uint32_t weight;
} owner_account_t;

typedef struct owner {
	owner_options_t options;
	outbox_t *out;
	pimento_random_t random;
	owner_endpoint_t **endpoints; /* unsorted */
	uint32_t count;
	uint32_t capacity;
	uint32_t waiting; /* waiting reservations, over all endpoints */
	owner_account_t *accounts; /* sorted by id, ascending */
	uint32_t account_count;
	reservation_table_t reservations;
	heap_t due; /* reservations by their next time-out */
} owner_t;

/*
 * The owner writes its messages to out, which is borrowed and must outlive it.
 * Returns 0 or PIMENTO_ENOMEM.
 */
int owner_init(owner_t *owner, const owner_options_t *options, outbox_t *out);
void owner_finish(owner_t *owner);

/*
 * Sets the accounts' weights from the configuration. Before the first call, and
 * for accounts that are not configured, the weight is 1. Returns 0 or
 * PIMENTO_ENOMEM.
 */
int owner_configure(owner_t *owner, const pimento_config_t *config);

/*
 * Starts to own an endpoint, or applies a changed description of it. epoch is
 * greater than that of every earlier ownership known here. weight in (0, 1] is
 * the share of the endpoint that this owner may use: less than one while it can
 * reach only a part of the published hosts. Returns 0 or PIMENTO_ENOMEM.
 */
int owner_add_endpoint(owner_t *owner, pimento_usec_t now,
		       const config_endpoint_t *endpoint, uint64_t epoch,
		       double weight);

/*
 * Stops owning an endpoint: every waiting reservation is refused with
 * PIMENTO_ESTALE at once, so that its entry reserves at the new owner. No
 * waiting request was dispatched, so none can run twice.
 */
void owner_remove_endpoint(owner_t *owner, pimento_usec_t now,
			   pimento_id_t endpoint);

/*
 * The endpoint is leaving: refuses all reservations that wait for it and grants
 * no more.
 */
void owner_endpoint_leaving(owner_t *owner, pimento_usec_t now,
			    pimento_id_t endpoint);

/* A new process has replaced the endpoint's process that was leaving. */
void owner_endpoint_restarted(owner_t *owner, pimento_usec_t now,
			      pimento_id_t endpoint);

/*
 * An entry host is dead: drops its reservations that are waiting or granted.
 * Running ones keep their slots until their lease expires.
 */
void owner_entry_dead(owner_t *owner, pimento_usec_t now, pimento_id_t entry);

/*
 * Handles MESSAGE_RESERVE, _RELEASE and _PROGRESS. Repeated and reordered
 * messages are harmless. Returns 0, or PIMENTO_EINVAL for another kind.
 */
int owner_receive(owner_t *owner, pimento_usec_t now, pimento_id_t from,
		  const message_t *message);

void owner_load_report(owner_t *owner, pimento_usec_t now,
		       pimento_id_t endpoint, const load_report_t *report);

/*
 * To be called when owner_deadline() is reached; more often is harmless.
 * Refuses requests that can no longer finish in time, frees slots whose grant
 * or lease has expired, and grants what the limits now allow.
 */
void owner_tick(owner_t *owner, pimento_usec_t now);
pimento_usec_t owner_deadline(const owner_t *owner);

/*
 * Fills the summary of an endpoint. Returns 0, or PIMENTO_ENOTFOUND if the
 * endpoint is not owned here.
 */
int owner_summary(const owner_t *owner, pimento_usec_t now,
		  pimento_id_t endpoint, message_summary_t *summary);

#endif
