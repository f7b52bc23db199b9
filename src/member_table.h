#ifndef MEMBER_TABLE_H
#define MEMBER_TABLE_H

/*
 * Table of the members (hosts and endpoints): the state of each member, how
 * received facts are merged into it, and which facts go on the next message.
 * Internal to membership.c.
 */

#include "membership.h"

/* At equal versions of two facts the higher liveness wins. */
typedef enum member_liveness {
	LIVENESS_LIVE = 0,
	LIVENESS_SUSPECT,
	LIVENESS_DEAD
} member_liveness_t;

struct member {
	pimento_id_t id;
	uint64_t incarnation; /* 0: unknown */
	uint64_t leaving_incarnation; /* valid if has_leaving_incarnation */
	pimento_usec_t liveness_since; /* time of the suspicion or death */
	pimento_usec_t last_seen;
	/* 0: known only by its address or from the host list */
	uint32_t version;
	/* membership_t.pauses when the member's last ack was counted */
	uint32_t acked_pause;
	/* number of the last message that carried the member's state */
	uint32_t last_message;
	uint8_t liveness;
	/* messages that are still to carry the member's state */
	uint8_t sends_left;
	bool has_leaving_incarnation;
	bool is_endpoint;
	bool listed;
	bool listed_leaving;
	/* the member's last message named another incarnation than recorded */
	bool incarnation_mismatch;
};

/* Returns the bit length of n, at least 1. */
uint32_t member_count_log2(uint32_t n);

member_t *member_find(const membership_t *m, pimento_id_t id);
member_t *member_self(const membership_t *m);

/*
 * Pointers to members are valid until the next member_add() or member_remove().
 * member_add() returns 0, PIMENTO_EFULL or PIMENTO_ENOMEM.
 */
int member_add(membership_t *m, pimento_id_t id, bool endpoint,
	       member_t **added);
void member_remove(membership_t *m, uint32_t i);

bool member_is_leaving(const member_t *member);
bool member_is_known(const member_t *member);
/* An entry host that is known and not dead. */
bool member_is_running_host(const member_t *member);
/* An entry host that is known, not dead and not leaving. */
bool member_is_live_host(const member_t *member);

/* Schedules the member's state for sending. */
void member_queue_update(membership_t *m, member_t *member);
void member_set_liveness(membership_t *m, pimento_usec_t now, member_t *member,
			 member_liveness_t liveness);
void member_set_leaving(membership_t *m, member_t *member);

void member_merge_fact(membership_t *m, pimento_usec_t now,
		       const message_fact_t *fact);

/* The member_put_*() functions add facts to a message as far as it has room. */
void member_put_facts(message_probe_t *p, const member_t *member);
void member_put_updates(membership_t *m, message_probe_t *p);
void member_put_anti_entropy_facts(membership_t *m, message_probe_t *p);

#endif
