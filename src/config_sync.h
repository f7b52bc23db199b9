#ifndef CONFIG_SYNC_H
#define CONFIG_SYNC_H

/*
 * Spreads the two published texts (configuration and host list) among the
 * hosts. A few hosts, by hash, watch the platform; the rest learn of a new
 * revision from offers and probes, pull it from whoever has it, and read the
 * platform themselves only as a slow backstop. Revisions only move up. Only
 * what changed travels.
 *
 * The receiver drives a transfer: it pulls one part, and the next when that
 * came in. So neither side holds more than one part in flight, a lost message
 * costs one timeout, and a sender that died is replaced by another holder.
 */

#include "message.h"

/*
 * Enough that when two regions lose each other, both almost surely hold some
 * (all lie on one side once in 128 cuts): a side without one learns nothing
 * until it has found the other side's hosts dead.
 */
#define CONFIG_SYNC_POLLERS 8
#define CONFIG_SYNC_TEXT_MAX ((size_t)1024 * 1024)

typedef struct config_sync_options {
	pimento_id_t self;
	uint64_t seed;
	uint32_t
		pollers; /* hosts that watch the platform; 0: CONFIG_SYNC_POLLERS */
} config_sync_options_t;

typedef struct config_sync_document config_sync_document_t;

#define CONFIG_SYNC_PEERS_MAX 64

typedef struct config_sync {
	config_sync_options_t options;
	outbox_t *out;
	pimento_random_t random;
	config_sync_document_t *documents; /* one per config_sync_subject_t */
	pimento_id_t
		peers[CONFIG_SYNC_PEERS_MAX]; /* heard lately; get the offers */
	uint32_t peer_next;
} config_sync_t;

int config_sync_init(config_sync_t *config_sync,
		     const config_sync_options_t *options, outbox_t *out);
void config_sync_finish(config_sync_t *config_sync);

/*
 * A text read from the platform. One that is no newer than what is held, or
 * that was rejected at this revision, is ignored (PIMENTO_ESTALE). Returns
 * PIMENTO_ETOOBIG over CONFIG_SYNC_TEXT_MAX, PIMENTO_EBUSY while another text
 * awaits judgement, PIMENTO_ENOMEM.
 */
int config_sync_submit(config_sync_t *config_sync, pimento_usec_t now,
		       config_sync_subject_t subject, uint64_t revision,
		       const char *text, size_t length);

/* Takes MESSAGE_OFFER, _PULL, _PART. Malformed ones return PIMENTO_EINVAL. */
int config_sync_receive(config_sync_t *config_sync, pimento_usec_t now,
			pimento_id_t from, const message_t *message);

/* A probe told that a peer holds this revision: pulls if it is newer. */
void config_sync_learn_revision(config_sync_t *config_sync, pimento_usec_t now,
				pimento_id_t from,
				config_sync_subject_t subject,
				uint64_t revision);

/*
 * Returns a whole new text that awaits judgement, or NULL. The caller checks
 * it and says config_sync_resolve_pending(); the text stays valid until then.
 */
const char *config_sync_pending(config_sync_t *config_sync,
				config_sync_subject_t subject,
				uint64_t *revision, size_t *length);

/* accepted: in force from now. Else it stays refused at this revision. */
void config_sync_resolve_pending(config_sync_t *config_sync, pimento_usec_t now,
				 config_sync_subject_t subject, bool accepted);

/* Revision in force, 0 none. */
uint64_t config_sync_revision(const config_sync_t *config_sync,
			      config_sync_subject_t subject);

/*
 * How this host should read the platform now: true to watch (blocking read),
 * false to read once each *interval. The interval is config_sync over the hosts by
 * hash and grows with the fleet, so that the backstop of all hosts together
 * never reads more often than twice a second for each text.
 */
bool config_sync_is_poller(const config_sync_t *config_sync,
			   const pimento_id_t *live, uint32_t count,
			   pimento_usec_t *interval);

void config_sync_tick(config_sync_t *config_sync, pimento_usec_t now);
pimento_usec_t config_sync_deadline(const config_sync_t *config_sync);

#endif
