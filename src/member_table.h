#ifndef MEMBER_TABLE_H
#define MEMBER_TABLE_H

/*
 * What membership holds of each subject, host or endpoint: the table, the join
 * of facts, and which facts ride on the next message. For member.c alone.
 */

#include "membership.h"

/* Order of badness at one version. */
typedef enum member_liveness {
	LIVENESS_LIVE = 0,
	LIVENESS_SUSPECT,
	LIVENESS_DEAD
} member_liveness_t;

struct member {
	pimento_id_t id;
	uint64_t incarnation; /* 0 unknown */
	uint64_t
		leaving_incarnation; /* incarnation that leaves, if has_leaving_incarnation */
	pimento_usec_t liveness_since; /* of the suspicion or death */
	pimento_usec_t last_seen;
	uint32_t version; /* 0: never told by the subject */
	uint32_t acked_pause; /* number of the pause since which it acked */
	uint32_t last_message; /* number of the last message that told it */
	uint8_t liveness;
	uint8_t sends_left; /* messages that shall still carry it */
	bool has_leaving_incarnation;
	bool is_endpoint;
	bool listed;
	bool listed_leaving;
	bool incarnation_mismatch; /* spoke in another incarnation than the one held */
};

uint32_t member_log2(uint32_t n); /* rounded up, at least 1 */

member_t *member_find(const membership_t *m, pimento_id_t id);
member_t *member_self(const membership_t *m);

/* Pointers to subjects are good until the next add or drop. */
int member_add(membership_t *m, pimento_id_t id, bool endpoint,
	       member_t **added);
void member_remove(membership_t *m, uint32_t i);

bool member_is_leaving(const member_t *member);
bool member_is_known(const member_t *member);
bool member_is_up_host(const member_t *member); /* an entry host, not dead */
bool member_is_live_host(const member_t *member); /* and not leaving */

void member_queue_update(membership_t *m,
			 member_t *member); /* tell it afresh */
void member_set_liveness(membership_t *m, pimento_usec_t now, member_t *member,
			 member_liveness_t liveness);
void member_set_leaving(membership_t *m, member_t *member);

void member_merge_fact(membership_t *m, pimento_usec_t now,
		       const message_fact_t *fact);

/* Add facts to a message, as far as it has room. */
void member_put_facts(message_probe_t *p, const member_t *member);
void member_put_updates(membership_t *m, message_probe_t *p);
void member_put_anti_entropy(membership_t *m, message_probe_t *p);

#endif
