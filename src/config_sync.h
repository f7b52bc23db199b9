#ifndef CONFIG_SYNC_H
#define CONFIG_SYNC_H

/*
 * Distributes the two published documents (configuration and host list) among
 * the hosts. A few hosts, chosen by hash, watch the platform; the others learn
 * of a new revision from offers and probes, pull it from any host that has it,
 * and read the platform only as a slow fallback. Revisions only increase. Only
 * differences are transferred.
 *
 * The receiver drives a transfer: it pulls one part, and the next one when that
 * has arrived. So neither side has more than one part in flight, a lost message
 * costs one timeout, and a sender that died is replaced by another source.
 */

#include "message.h"

/*
 * Hosts that watch the platform. When two regions lose contact, both almost
 * surely have some of these hosts (all eight are on one side in one of 128
 * partitions): a side with none learns of no new revision until it has declared
 * the other side's hosts dead.
 */
#define CONFIG_SYNC_POLLERS 8
#define CONFIG_SYNC_TEXT_MAX ((size_t)1024 * 1024)

typedef struct config_sync_options {
	pimento_id_t self;
	uint64_t seed;
	/* hosts that watch the platform; 0: CONFIG_SYNC_POLLERS */
	uint32_t pollers;
} config_sync_options_t;

typedef struct config_sync_document config_sync_document_t;

#define CONFIG_SYNC_PEERS_MAX 64

typedef struct config_sync {
	config_sync_options_t options;
	outbox_t *out;
	pimento_random_t random;
	config_sync_document_t *documents; /* one per config_sync_subject_t */
	/*
	 * peers that sent a message recently, to which new revisions are
	 * offered
	 */
	pimento_id_t peers[CONFIG_SYNC_PEERS_MAX];
	uint32_t peer_next;
} config_sync_t;

int config_sync_init(config_sync_t *config_sync,
		     const config_sync_options_t *options, outbox_t *out);
void config_sync_finish(config_sync_t *config_sync);

/*
 * Submits a text read from the platform, which is copied and then awaits
 * config_sync_resolve_pending(). Returns PIMENTO_ESTALE for a text that is no
 * newer than the one held or that was rejected at this revision,
 * PIMENTO_ETOOBIG over CONFIG_SYNC_TEXT_MAX bytes, PIMENTO_EBUSY while another
 * text awaits validation, PIMENTO_EINVAL for an unknown subject or revision 0,
 * PIMENTO_ENOMEM.
 */
int config_sync_submit(config_sync_t *config_sync, pimento_usec_t now,
		       config_sync_subject_t subject, uint64_t revision,
		       const char *text, size_t length);

/*
 * Handles MESSAGE_OFFER, MESSAGE_PULL and MESSAGE_PART. Returns PIMENTO_EINVAL
 * for messages of other kinds and malformed ones, PIMENTO_ENOMEM.
 */
int config_sync_receive(config_sync_t *config_sync, pimento_usec_t now,
			pimento_id_t from, const message_t *message);

/*
 * Records that a peer reported this revision of a document in a probe, ack or
 * offer; pulls the document if the revision is newer.
 */
void config_sync_learn_revision(config_sync_t *config_sync, pimento_usec_t now,
				pimento_id_t from,
				config_sync_subject_t subject,
				uint64_t revision);

/*
 * Returns a completely received text that awaits validation, or NULL. The
 * caller validates it and calls config_sync_resolve_pending(); the text stays
 * valid until then.
 */
const char *config_sync_pending(config_sync_t *config_sync,
				config_sync_subject_t subject,
				uint64_t *revision, size_t *length);

/*
 * Ends the validation of the pending text: if accepted is true the text is in
 * force from now on, otherwise it is rejected and not fetched again at this
 * revision.
 */
void config_sync_resolve_pending(config_sync_t *config_sync, pimento_usec_t now,
				 config_sync_subject_t subject, bool accepted);

/* Revision of the document in force; 0: none. */
uint64_t config_sync_revision(const config_sync_t *config_sync,
			      config_sync_subject_t subject);

/*
 * How this host should read the platform: returns true to watch it (blocking
 * read), false to read it once per *interval. The interval differs between
 * hosts, by hash, and grows with the fleet, so that the fallback reads of all
 * hosts together never exceed two per second for each document.
 */
bool config_sync_is_poller(const config_sync_t *config_sync,
			   const pimento_id_t *live, uint32_t count,
			   pimento_usec_t *interval);

void config_sync_tick(config_sync_t *config_sync, pimento_usec_t now);
pimento_usec_t config_sync_deadline(const config_sync_t *config_sync);

#endif
