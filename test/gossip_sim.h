#ifndef GOSSIP_SIM_H
#define GOSSIP_SIM_H

/*
 * Simulates the membership and configuration sync of many hosts in virtual
 * time, for tests and scaling benchmarks: links that lose, delay and reorder
 * messages, hosts that crash, restart and pause, network partitions, and a
 * platform that can be down or stale. The seed determines everything. Requests
 * are not simulated.
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
	uint8_t partition; /* hosts with different values cannot communicate */
	uint8_t datacentre;
	pimento_usec_t paused_at;
	pimento_usec_t paused_until; /* 0: not paused */
	pimento_usec_t tick_at; /* due time of the one valid tick event */
	pimento_usec_t next_read_at;
	uint64_t revision; /* highest configuration revision in force since
			      the start, to detect a reversion */
	uint64_t wake_revision_min; /* lowest revision in force on other hosts
				       when this host's pause ended */
	pimento_usec_t in_force_at; /* when the revision came into force */
	uint64_t sent_bytes;
	uint64_t sent_messages;
	uint64_t received_bytes;
} gossip_sim_host_t;

typedef struct gossip_sim_event {
	pimento_usec_t at; /* due time of the event */
	uint64_t order; /* tie-breaker of events due at the same time */
	uint32_t host;
	pimento_id_t from;
	message_t *message; /* message to deliver; NULL: a tick of the host */
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
	double loss; /* share of messages lost */
	pimento_usec_t delay_min;
	pimento_usec_t delay_max;
	double slow_message_chance; /* share of messages that are delayed by up
				       to a second more */
	bool platform_down;
	/* reads return the previous texts instead of the latest */
	bool platform_stale;
	/* latest revision of each document, indexed by subject - 1 */
	uint64_t revisions[2];
	char *texts[2];
	char *previous_texts[2];
	uint64_t platform_reads;
	uint64_t rejected_texts;
	uint64_t violations; /* violated invariants; each is printed */
} gossip_sim_t;

void gossip_sim_init(gossip_sim_t *gossip_sim, uint32_t count, uint64_t seed);
void gossip_sim_finish(gossip_sim_t *gossip_sim);
void gossip_sim_run(gossip_sim_t *gossip_sim, pimento_usec_t span);

void gossip_sim_start_host(gossip_sim_t *gossip_sim, uint32_t host);
void gossip_sim_kill_host(gossip_sim_t *gossip_sim, uint32_t host);
void gossip_sim_pause_host(gossip_sim_t *gossip_sim, uint32_t host,
			   pimento_usec_t span);

/*
 * Publishes a text with the next revision. The text must be allocated with
 * malloc(); the simulation frees it.
 */
void gossip_sim_publish(gossip_sim_t *gossip_sim, config_sync_subject_t subject,
			char *text);

/* Publishes the list of hosts that are up, with the leaving ones so marked. */
void gossip_sim_publish_hosts(gossip_sim_t *gossip_sim);

/*
 * Returns an allocated configuration text of about size bytes, which differs in
 * each revision.
 */
char *gossip_sim_make_config(gossip_sim_t *gossip_sim, size_t size);

/* Counts running hosts on which the latest published revision is in force. */
uint32_t gossip_sim_count_updated_hosts(const gossip_sim_t *gossip_sim,
					config_sync_subject_t subject);
uint32_t gossip_sim_count_running_hosts(const gossip_sim_t *gossip_sim);

/*
 * Counts wrong entries in the member tables of the running hosts: a stopped
 * host must be dead or unknown there, and a running host must have the state
 * that it has in its own table.
 */
uint32_t gossip_sim_count_wrong_states(const gossip_sim_t *gossip_sim);

/* Counts running hosts that still consider dead_host live or suspect. */
uint32_t gossip_sim_count_unaware_hosts(const gossip_sim_t *gossip_sim,
					uint32_t dead_host);

/* Counts endpoints for which the hosts that are up compute different owners. */
uint32_t gossip_sim_count_disputed_owners(const gossip_sim_t *gossip_sim,
					  uint32_t endpoints);

#endif
