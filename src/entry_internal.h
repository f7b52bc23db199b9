#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

/*
 * Functions on a request in progress, shared by entry.c, entry_reserve.c and
 * entry_claim.c. No other file uses them.
 */

#include "entry.h"

/* Appends an action to the ring buffer; aborts the process without memory. */
void entry_queue_action(entry_table_t *table, const pimento_action_t *action);

/* Returns the entry of a handle, or NULL if its request was answered. */
entry_t *entry_find(entry_table_t *table, pimento_handle_t handle);
pimento_handle_t entry_get_handle(const entry_table_t *table,
				  const entry_t *entry);

/* Sets the next time-out of an entry; a query of its claim may be due earlier. */
void entry_schedule(entry_table_t *table, entry_t *entry, pimento_usec_t at);

/*
 * Answers a request's caller with an error, which ends the request, and frees
 * its entry.
 */
void entry_refuse(entry_table_t *table, entry_t *entry,
		  pimento_verdict_t verdict, int error,
		  pimento_usec_t retry_after);

/*
 * Frees an entry as soon as its claim has nothing more to report to witnesses.
 */
void entry_free(entry_table_t *table, entry_t *entry);

/* Queues a RESUME action for the stream resume_stream at resume_endpoint. */
void entry_resume(entry_table_t *table, entry_t *entry);

/*
 * Picks an endpoint and requests a slot from its owner. If no endpoint is
 * suitable the request is abandoned.
 */
void entry_reserve(entry_table_t *table, pimento_usec_t now, entry_t *entry);

/*
 * Reserves at another endpoint, because the present one or its owner cannot be
 * reached; without another, at the same one again after a delay.
 */
void entry_reroute(entry_table_t *table, pimento_usec_t now, entry_t *entry);

/* Renews the slot's lease at its owner and reports the answer's progress. */
void entry_send_progress(entry_table_t *table, pimento_usec_t now,
			 entry_t *entry);

/* Releases the reservation or slot at its owner. */
void entry_release(entry_table_t *table, entry_t *entry,
		   release_outcome_t outcome);

/* Handles a time-out of a reservation: repeats, renews, moves or ends it. */
void entry_reserve_tick(entry_table_t *table, pimento_usec_t now,
			entry_t *entry);

/*
 * Abandons a request that was not dispatched. Without a key it is refused as
 * "not run" at once; with one only after the attempt is sealed at the witnesses,
 * for until then another entry host may dispatch the same key.
 */
void entry_abort(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		 int error, pimento_usec_t retry_after);

/*
 * Continues a request after a slot was granted: dispatches it or, if it has a
 * key, claims the key first.
 */
void entry_on_grant(entry_table_t *table, pimento_usec_t now, entry_t *entry);

/* Continues a request after an event of its key's claim protocol. */
void entry_on_claim_event(entry_table_t *table, pimento_usec_t now,
			  entry_t *entry, claim_event_t event);

/*
 * Starts, or restarts, the claim protocol with a query to the key's witnesses.
 * Returns 0, PIMENTO_ENOMEM or PIMENTO_EINVAL.
 */
int entry_start_claim(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		      const witness_set_t *witnesses, pimento_usec_t age);

/* Handles a time-out of a request's claim protocol. */
void entry_claim_tick(entry_table_t *table, pimento_usec_t now, entry_t *entry);

#endif
