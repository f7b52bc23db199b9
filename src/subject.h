#ifndef SUBJECT_H
#define SUBJECT_H

/*
 * What membership holds of each subject, host or endpoint: the table, the join
 * of facts, and which facts ride on the next message. For member.c alone.
 */

#include "member.h"

/* Order of badness at one version. */
typedef enum member_rank {
	RANK_LIVE = 0,
	RANK_SUSPECT,
	RANK_DEAD
} member_rank_t;

struct member_host {
	pimento_id_t id;
	uint64_t incarnation; /* 0 unknown */
	uint64_t left; /* incarnation that leaves, if has_left */
	pimento_usec_t since; /* of the suspicion or death */
	pimento_usec_t heard;
	uint32_t version; /* 0: never told by the subject */
	uint32_t acked; /* number of the pause since which it acked */
	uint32_t told; /* number of the last message that told it */
	uint8_t rank;
	uint8_t untold; /* messages that shall still carry it */
	bool has_left;
	bool endpoint;
	bool listed;
	bool listed_leaving;
	bool disputed; /* spoke in another incarnation than the one held */
};

uint32_t subject_log2(uint32_t n); /* rounded up, at least 1 */

member_host_t *subject_find(const member_t *m, pimento_id_t id);
member_host_t *subject_self(const member_t *m);

/* Pointers to subjects are good until the next add or drop. */
int subject_add(member_t *m, pimento_id_t id, bool endpoint,
		member_host_t **added);
void subject_drop(member_t *m, uint32_t i);

bool subject_leaving(const member_host_t *h);
bool subject_known(const member_host_t *h);
bool subject_alive(const member_host_t *h); /* an entry host, not dead */
bool subject_live(const member_host_t *h); /* and not leaving */

void subject_rumour(member_t *m, member_host_t *h); /* tell it afresh */
void subject_set_rank(member_t *m, pimento_usec_t now, member_host_t *h,
		      member_rank_t rank);
void subject_set_leaving(member_t *m, member_host_t *h);

void subject_merge(member_t *m, pimento_usec_t now, const message_fact_t *fact);

/* Add facts to a message, as far as it has room. */
void subject_put(message_probe_t *p, const member_host_t *h);
void subject_put_rumours(member_t *m, message_probe_t *p);
void subject_put_sweep(member_t *m, message_probe_t *p);

#endif
