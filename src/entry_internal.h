#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

/*
 * Steps of a request that entry.c, entry_reserve.c and entry_claim.c share.
 * Nothing outside these three files uses them.
 */

#include "entry.h"

/* Puts an action into the ring. */
void entry_queue_action(entry_table_t *table, const pimento_action_t *action);

/* The entry of a handle; NULL if it ended. */
entry_t *entry_find(entry_table_t *table, pimento_handle_t handle);
pimento_handle_t entry_handle(const entry_table_t *table, const entry_t *entry);

/* Sets when the entry is looked at next. */
void entry_schedule(entry_table_t *table, entry_t *entry, pimento_usec_t at);

/* Ends the request: its one final answer. */
void entry_refuse(entry_table_t *table, entry_t *entry,
		  pimento_verdict_t verdict, int error,
		  pimento_usec_t retry_after);

/* Frees the entry without an answer. */
void entry_free(entry_table_t *table, entry_t *entry);

/* Emits FOLLOW for resume_endpoint and resume_stream. */
void entry_resume(entry_table_t *table, entry_t *entry);

/* Picks an endpoint and asks its owner for a place; else gives up. */
void entry_reserve(entry_table_t *table, pimento_usec_t now, entry_t *entry);

/* The endpoint or its owner cannot be reached: goes elsewhere. */
void entry_reroute(entry_table_t *table, pimento_usec_t now, entry_t *entry);

/* Renews the slot's lease and tells how far the answer is. */
void entry_send_progress(entry_table_t *table, pimento_usec_t now,
			 entry_t *entry);

/* Tells the owner that the reservation or slot is no longer needed. */
void entry_release(entry_table_t *table, entry_t *entry,
		   release_outcome_t outcome);

/* Repeats or abandons an unanswered reservation. */
void entry_reserve_tick(entry_table_t *table, pimento_usec_t now,
			entry_t *entry);

/*
 * Gives up before any dispatch. Without a key "not run" is known at once; with
 * one it is true only once the attempt is sealed.
 */
void entry_abort(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		 int error, pimento_usec_t retry_after);

/* The grant is here: dispatch, or take the claim first. */
void entry_on_grant(entry_table_t *table, pimento_usec_t now, entry_t *entry);

/* What the claim protocol found out. */
void entry_on_claim_event(entry_table_t *table, pimento_usec_t now,
			  entry_t *entry, claim_event_t event);

/* Begins the claim protocol anew, with a query. Returns 0 or an error. */
int entry_start_claim(entry_table_t *table, pimento_usec_t now, entry_t *entry,
		      const witness_set_t *witnesses, pimento_usec_t age);

void entry_claim_tick(entry_table_t *table, pimento_usec_t now, entry_t *entry);

#endif
