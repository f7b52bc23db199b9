#ifndef SPREAD_H
#define SPREAD_H

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
#define SPREAD_READERS 8
#define SPREAD_TEXT_MAX ((size_t)1024 * 1024)

typedef struct spread_options {
	pimento_id_t self;
	uint64_t seed;
	uint32_t readers; /* hosts that watch the platform; 0: SPREAD_READERS */
} spread_options_t;

typedef struct spread_text spread_text_t;

#define SPREAD_PEERS 64

typedef struct spread {
	spread_options_t options;
	outbox_t *out;
	pimento_random_t random;
	spread_text_t *texts; /* one per config_sync_subject_t */
	pimento_id_t peers[SPREAD_PEERS]; /* heard lately; get the offers */
	uint32_t peer_next;
} spread_t;

int spread_init(spread_t *spread, const spread_options_t *options,
		outbox_t *out);
void spread_finish(spread_t *spread);

/*
 * A text read from the platform. One that is no newer than what is held, or
 * that was rejected at this revision, is ignored (PIMENTO_ESTALE). Returns
 * PIMENTO_ETOOBIG over SPREAD_TEXT_MAX, PIMENTO_EBUSY while another text
 * awaits judgement, PIMENTO_ENOMEM.
 */
int spread_read(spread_t *spread, pimento_usec_t now,
		config_sync_subject_t subject, uint64_t revision,
		const char *text, size_t length);

/* Takes MESSAGE_OFFER, _PULL, _PART. Malformed ones return PIMENTO_EINVAL. */
int spread_receive(spread_t *spread, pimento_usec_t now, pimento_id_t from,
		   const message_t *message);

/* A probe told that a peer holds this revision: pulls if it is newer. */
void spread_heard(spread_t *spread, pimento_usec_t now, pimento_id_t from,
		  config_sync_subject_t subject, uint64_t revision);

/*
 * Returns a whole new text that awaits judgement, or NULL. The caller checks
 * it and says spread_judge(); the text stays valid until then.
 */
const char *spread_pending(spread_t *spread, config_sync_subject_t subject,
			   uint64_t *revision, size_t *length);

/* accepted: in force from now. Else it stays refused at this revision. */
void spread_judge(spread_t *spread, pimento_usec_t now,
		  config_sync_subject_t subject, bool accepted);

/* Revision in force, 0 none. */
uint64_t spread_revision(const spread_t *spread, config_sync_subject_t subject);

/*
 * How this host should read the platform now: true to watch (blocking read),
 * false to read once each *interval. The interval is spread over the hosts by
 * hash and grows with the fleet, so that the backstop of all hosts together
 * never reads more often than twice a second for each text.
 */
bool spread_reader(const spread_t *spread, const pimento_id_t *live,
		   uint32_t count, pimento_usec_t *interval);

void spread_tick(spread_t *spread, pimento_usec_t now);
pimento_usec_t spread_deadline(const spread_t *spread);

#endif
