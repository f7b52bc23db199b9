#ifndef GOSSIP_SIM_H
#define GOSSIP_SIM_H

/*
 * Many hosts' membership and spread in virtual time, for tests and for the
 * slopes: links that lose, delay and reorder, hosts that die, restart and
 * stand still, cuts, and a platform that can be down or stale. Everything
 * follows from the seed. No requests; just what those two parts need.
 */

#include "membership.h"
#include "config_sync.h"

#define GOSSIP_SIM_HOSTS_MAX 400

typedef struct gossip_sim_host {
	membership_t membership;
	config_sync_t config_sync;
	outbox_t out;
	pimento_id_t id;
	uint64_t incarnation;
	bool up;
	uint8_t partition; /* hosts of different sides cannot reach one another */
	uint8_t datacentre;
	pimento_usec_t paused_at;
	pimento_usec_t paused_until; /* 0: runs */
	pimento_usec_t tick_at; /* of the valid tick event */
	pimento_usec_t next_read_at;
	uint64_t
		revision; /* highest in force since the start, to see it fall */
	uint64_t wake_revision_min; /* in force elsewhere when it woke */
	pimento_usec_t in_force_at; /* when the revision came into force */
	uint64_t sent_bytes;
	uint64_t sent_messages;
	uint64_t received_bytes;
} gossip_sim_host_t;

typedef struct gossip_sim_event {
	pimento_usec_t at;
	uint64_t order;
	uint32_t host;
	pimento_id_t from;
	message_t *message; /* NULL: a tick */
} gossip_sim_event_t;

typedef struct gossip_sim {
	pimento_random_t random;
	pimento_usec_t now;
	gossip_sim_host_t *hosts;
	uint32_t count;
	gossip_sim_event_t *heap;
	uint32_t heap_count;
	uint32_t heap_capacity;
	uint64_t order;
	double loss;
	pimento_usec_t delay_min;
	pimento_usec_t delay_max;
	double slow_message_chance; /* chance of a delay of up to a second */
	bool platform_down;
	bool platform_stale; /* shows what was published before the last */
	uint64_t revisions[2]; /* published, by subject */
	char *texts[2];
	char *previous_texts[2];
	uint64_t platform_reads;
	uint64_t rejected_texts;
	uint64_t violations; /* broken promises; each printed */
} gossip_sim_t;

void gossip_sim_init(gossip_sim_t *gossip_sim, uint32_t count, uint64_t seed);
void gossip_sim_finish(gossip_sim_t *gossip_sim);
void gossip_sim_run(gossip_sim_t *gossip_sim, pimento_usec_t span);

void gossip_sim_start_host(gossip_sim_t *gossip_sim, uint32_t host);
void gossip_sim_kill_host(gossip_sim_t *gossip_sim, uint32_t host);
void gossip_sim_pause_host(gossip_sim_t *gossip_sim, uint32_t host,
			   pimento_usec_t span);

/* Publishes a text with the next revision; takes over the allocated text. */
void gossip_sim_publish(gossip_sim_t *gossip_sim, config_sync_subject_t subject,
			char *text);

/* Publishes the hosts that are up; leaving ones by their own word. */
void gossip_sim_publish_hosts(gossip_sim_t *gossip_sim);

/* A configuration of about this many bytes; differs by the revision. */
char *gossip_sim_make_config(gossip_sim_t *gossip_sim, size_t size);

/* Counts hosts that are up and have the published revision in force. */
uint32_t gossip_sim_count_in_force(const gossip_sim_t *gossip_sim,
				   config_sync_subject_t subject);
uint32_t gossip_sim_count_up(const gossip_sim_t *gossip_sim);

/* Counts pairs of hosts that are up and do not see one another live. */
uint32_t gossip_sim_count_wrong_states(const gossip_sim_t *gossip_sim);

/* Counts hosts that are up and still believe that this one lives. */
uint32_t gossip_sim_count_undetected(const gossip_sim_t *gossip_sim,
				     uint32_t dead);

/* Counts endpoints whose owner is not the same for all hosts that are up. */
uint32_t gossip_sim_count_disputed_owners(const gossip_sim_t *gossip_sim,
					  uint32_t endpoints);

#endif
