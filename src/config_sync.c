/*
 * Distribution of the published documents. New revisions travel in two ways at
 * once: a host that accepts one offers it to a few peers right away, which
 * reaches the fleet in a few hops, and every probe carries the revision in
 * force, which reaches the hosts that the offers missed. Both only announce a
 * revision; a host that lacks it pulls the text, as a difference if the sender
 * knows the base.
 *
 * A text is offered to other hosts only after it was validated, so a
 * configuration that fails its checks stops at the hosts that read it from the
 * platform.
 */

#include "config_sync.h"

#include "delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DOCUMENTS 2
#define HISTORY_MAX 8 /* former texts kept as bases for differences */
/* total length of the former texts of one document */
#define HISTORY_BYTES_MAX ((size_t)2 * 1024 * 1024)
#define REJECTED_MAX 4 /* rejected revisions remembered per document */
#define OFFER_FANOUT 4 /* peers to which a newly accepted text is offered */
#define SOURCES_MAX 8 /* peers known to hold a newer text */
#define PULL_TIMEOUT (200 * PIMENTO_MSEC)
/* timed-out pulls; then wait until a peer announces the revision again */
#define PULL_TRIES_MAX 10
#define READ_INTERVAL_MIN (30 * PIMENTO_SEC)
#define READ_INTERVAL_PER_HOST (500 * PIMENTO_MSEC)

typedef struct text_version {
	uint64_t revision; /* 0: no text */
	uint64_t digest;
	char *text; /* NUL-terminated */
	size_t length;
} text_version_t;

typedef struct rejection {
	uint64_t revision;
	uint64_t digest;
} rejection_t;

typedef struct source {
	pimento_id_t host;
	uint64_t revision;
} source_t;

/* Transfer of one text from another host. */
typedef struct fetch {
	uint64_t revision; /* 0: no transfer in progress */
	uint64_t base;
	uint64_t digest;
	pimento_id_t from;
	char *bytes; /* NULL until the first part arrives */
	uint32_t size;
	uint32_t received;
	uint32_t tries; /* pulls that timed out since the last part arrived */
	bool full; /* the difference did not apply; pull the complete text */
	pimento_usec_t deadline;
} fetch_t;

struct config_sync_document {
	text_version_t current; /* in force, offered to peers */
	text_version_t pending; /* awaits validation */
	text_version_t history[HISTORY_MAX]; /* former texts, newest first */
	rejection_t rejected[REJECTED_MAX];
	uint32_t rejected_next;
	/* difference from delta_base to current, created when first pulled */
	char *delta;
	size_t delta_length;
	uint64_t delta_base;
	source_t sources[SOURCES_MAX];
	fetch_t fetch;
};

static void text_version_finish(text_version_t *version)
{
	free(version->text);
	memset(version, 0, sizeof(*version));
}

static void fetch_reset(fetch_t *fetch)
{
	free(fetch->bytes);
	memset(fetch, 0, sizeof(*fetch));
	fetch->deadline = PIMENTO_NEVER;
}

static config_sync_document_t *find_document(const config_sync_t *config_sync,
					     unsigned int subject)
{
	if (subject < CONFIG_SYNC_CONFIG || subject > CONFIG_SYNC_HOSTS)
		return NULL;
	return &config_sync->documents[subject - 1];
}

int config_sync_init(config_sync_t *config_sync,
		     const config_sync_options_t *options, outbox_t *out)
{
	memset(config_sync, 0, sizeof(*config_sync));
	config_sync->options = *options;
	config_sync->out = out;
	if (!config_sync->options.pollers)
		config_sync->options.pollers = CONFIG_SYNC_POLLERS;
	pimento_random_init(&config_sync->random,
			    options->seed ^ options->self);
	config_sync->documents =
		calloc(DOCUMENTS, sizeof(*config_sync->documents));
	if (!config_sync->documents)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < DOCUMENTS; i++)
		config_sync->documents[i].fetch.deadline = PIMENTO_NEVER;
	return PIMENTO_OK;
}

void config_sync_finish(config_sync_t *config_sync)
{
	for (uint32_t i = 0; config_sync->documents && i < DOCUMENTS; i++) {
		config_sync_document_t *doc = &config_sync->documents[i];

		text_version_finish(&doc->current);
		text_version_finish(&doc->pending);
		for (uint32_t j = 0; j < HISTORY_MAX; j++)
			text_version_finish(&doc->history[j]);
		free(doc->delta);
		fetch_reset(&doc->fetch);
	}
	free(config_sync->documents);
	memset(config_sync, 0, sizeof(*config_sync));
}

/* Newest revision held by this host, in force or awaiting validation. */
static uint64_t newest_revision(const config_sync_document_t *doc)
{
	if (doc->pending.revision > doc->current.revision)
		return doc->pending.revision;
	return doc->current.revision;
}

static const rejection_t *find_rejection(const config_sync_document_t *doc,
					 uint64_t revision)
{
	for (uint32_t i = 0; i < REJECTED_MAX; i++)
		if (revision && doc->rejected[i].revision == revision)
			return &doc->rejected[i];
	return NULL;
}

static bool is_rejected(const config_sync_document_t *doc, uint64_t revision,
			uint64_t digest)
{
	const rejection_t *r = find_rejection(doc, revision);

	return r && r->digest == digest;
}

static void reject_pending(config_sync_document_t *doc)
{
	rejection_t *r = &doc->rejected[doc->rejected_next++ % REJECTED_MAX];

	r->revision = doc->pending.revision;
	r->digest = doc->pending.digest;
	text_version_finish(&doc->pending);
}

static void send_pull(config_sync_t *config_sync, pimento_usec_t now,
		      unsigned int subject)
{
	config_sync_document_t *doc = find_document(config_sync, subject);
	message_t message = { .kind = MESSAGE_PULL };

	message.u.pull.subject = (uint8_t)subject;
	message.u.pull.revision = doc->fetch.revision;
	message.u.pull.base = doc->fetch.full ? 0 : doc->current.revision;
	message.u.pull.offset = doc->fetch.received;
	doc->fetch.deadline = now + PULL_TIMEOUT;
	outbox_put(config_sync->out, doc->fetch.from, &message);
}

static void record_document_source(config_sync_document_t *doc,
				   pimento_id_t host, uint64_t revision)
{
	source_t *oldest = &doc->sources[0];

	for (uint32_t i = 0; i < SOURCES_MAX; i++) {
		source_t *h = &doc->sources[i];

		if (h->host == host) {
			h->revision = revision;
			return;
		}
		if (h->revision < oldest->revision)
			oldest = h;
	}
	oldest->host = host;
	oldest->revision = revision;
}

/*
 * Returns a source, other than `excluded`, of this or a later revision;
 * `excluded` itself if there is none.
 */
static pimento_id_t alternative_source(config_sync_t *config_sync,
				       const config_sync_document_t *doc,
				       uint64_t revision, pimento_id_t excluded)
{
	uint32_t start = (uint32_t)pimento_random_below(&config_sync->random,
							SOURCES_MAX);

	for (uint32_t i = 0; i < SOURCES_MAX; i++) {
		const source_t *h = &doc->sources[(start + i) % SOURCES_MAX];

		if (h->host && h->host != excluded && h->revision >= revision)
			return h->host;
	}
	return excluded;
}

static void fetch_start(config_sync_t *config_sync, pimento_usec_t now,
			unsigned int subject, pimento_id_t from,
			uint64_t revision)
{
	config_sync_document_t *doc = find_document(config_sync, subject);

	fetch_reset(&doc->fetch);
	doc->fetch.revision = revision;
	doc->fetch.from = from;
	send_pull(config_sync, now, subject);
}

static void fetch_restart(config_sync_t *config_sync, pimento_usec_t now,
			  unsigned int subject, bool full)
{
	fetch_t *f = &find_document(config_sync, subject)->fetch;

	free(f->bytes);
	f->bytes = NULL;
	f->received = 0;
	f->full = f->full || full;
	send_pull(config_sync, now, subject);
}

/* While one text was transferred, a peer may have announced a newer one. */
static void fetch_newest(config_sync_t *config_sync, pimento_usec_t now,
			 unsigned int subject)
{
	config_sync_document_t *doc = find_document(config_sync, subject);
	const source_t *best = NULL;

	for (uint32_t i = 0; i < SOURCES_MAX; i++) {
		const source_t *h = &doc->sources[i];

		if (h->revision > newest_revision(doc) &&
		    !find_rejection(doc, h->revision) &&
		    (!best || h->revision > best->revision))
			best = h;
	}
	if (best)
		fetch_start(config_sync, now, subject, best->host,
			    best->revision);
}

static void add_recent_peer(config_sync_t *config_sync, pimento_id_t peer)
{
	for (uint32_t i = 0; i < CONFIG_SYNC_PEERS_MAX; i++)
		if (config_sync->peers[i] == peer)
			return;
	config_sync->peers[config_sync->peer_next++ % CONFIG_SYNC_PEERS_MAX] =
		peer;
}

static void send_offers(config_sync_t *config_sync, unsigned int subject)
{
	const text_version_t *version =
		&find_document(config_sync, subject)->current;
	message_t message = { .kind = MESSAGE_OFFER };
	uint32_t start = (uint32_t)pimento_random_below(&config_sync->random,
							CONFIG_SYNC_PEERS_MAX);
	uint32_t sent = 0;

	message.u.offer.subject = (uint8_t)subject;
	message.u.offer.revision = version->revision;
	message.u.offer.digest = version->digest;
	message.u.offer.size = (uint32_t)version->length;
	for (uint32_t i = 0; i < CONFIG_SYNC_PEERS_MAX && sent < OFFER_FANOUT;
	     i++) {
		pimento_id_t peer =
			config_sync->peers[(start + i) % CONFIG_SYNC_PEERS_MAX];

		if (!peer)
			continue;
		outbox_put(config_sync->out, peer, &message);
		sent++;
	}
}

int config_sync_submit(config_sync_t *config_sync, pimento_usec_t now,
		       config_sync_subject_t subject, uint64_t revision,
		       const char *text, size_t length)
{
	config_sync_document_t *doc = find_document(config_sync, subject);
	uint64_t digest;
	char *copy;

	(void)now;
	if (!doc || !revision)
		return PIMENTO_EINVAL;
	if (length > CONFIG_SYNC_TEXT_MAX)
		return PIMENTO_ETOOBIG;
	if (revision <= doc->current.revision)
		return PIMENTO_ESTALE;
	if (doc->pending.revision)
		return revision <= doc->pending.revision ? PIMENTO_ESTALE
							 : PIMENTO_EBUSY;
	digest = XXH3_64bits(text, length);
	if (is_rejected(doc, revision, digest))
		return PIMENTO_ESTALE;
	copy = malloc(length + 1);
	if (!copy)
		return PIMENTO_ENOMEM;
	memcpy(copy, text, length);
	copy[length] = '\0';
	doc->pending = (text_version_t){ revision, digest, copy, length };
	if (doc->fetch.revision && doc->fetch.revision <= revision)
		fetch_reset(&doc->fetch);
	return PIMENTO_OK;
}

void config_sync_learn_revision(config_sync_t *config_sync, pimento_usec_t now,
				pimento_id_t from,
				config_sync_subject_t subject,
				uint64_t revision)
{
	config_sync_document_t *doc = find_document(config_sync, subject);

	if (!doc || !from)
		return;
	add_recent_peer(config_sync, from);
	if (revision <= newest_revision(doc) || find_rejection(doc, revision))
		return;
	record_document_source(doc, from, revision);
	if (!doc->fetch.revision)
		fetch_start(config_sync, now, subject, from, revision);
}

static int receive_offer(config_sync_t *config_sync, pimento_usec_t now,
			 pimento_id_t from, const message_offer_t *o)
{
	const config_sync_document_t *doc =
		find_document(config_sync, o->subject);

	if (!doc || !o->revision || o->size > CONFIG_SYNC_TEXT_MAX)
		return PIMENTO_EINVAL;
	if (is_rejected(doc, o->revision, o->digest))
		return PIMENTO_OK;
	config_sync_learn_revision(config_sync, now, from,
				   (config_sync_subject_t)o->subject,
				   o->revision);
	return PIMENTO_OK;
}

static const text_version_t *find_base(const config_sync_document_t *doc,
				       uint64_t revision)
{
	for (uint32_t i = 0; revision && i < HISTORY_MAX; i++)
		if (doc->history[i].revision == revision)
			return &doc->history[i];
	return NULL;
}

/*
 * Creates the difference from a base to the current text. Returns false if it
 * cannot be made or is no shorter than the text.
 */
static bool prepare_delta(config_sync_document_t *doc, uint64_t base)
{
	const text_version_t *from = find_base(doc, base);

	if (!from)
		return false;
	if (doc->delta_base != base) {
		free(doc->delta);
		doc->delta = NULL;
		doc->delta_base = 0;
		if (delta_create(from->text, from->length, doc->current.text,
				 doc->current.length, &doc->delta,
				 &doc->delta_length))
			return false;
		doc->delta_base = base;
	}
	return doc->delta_length < doc->current.length;
}

static int receive_pull(config_sync_t *config_sync, pimento_id_t from,
			const message_pull_t *p)
{
	config_sync_document_t *doc = find_document(config_sync, p->subject);
	message_t message = { .kind = MESSAGE_PART };
	message_part_t *part = &message.u.part;
	const char *bytes;
	size_t size;

	if (!doc || !p->revision)
		return PIMENTO_EINVAL;
	if (doc->current.revision < p->revision)
		return PIMENTO_OK;
	part->base = prepare_delta(doc, p->base) ? p->base : 0;
	bytes = part->base ? doc->delta : doc->current.text;
	size = part->base ? doc->delta_length : doc->current.length;
	if (p->offset > size)
		return PIMENTO_OK;
	part->subject = p->subject;
	part->revision = doc->current.revision;
	part->digest = doc->current.digest;
	part->size = (uint32_t)size;
	part->offset = p->offset;
	part->length = (uint32_t)(size - p->offset);
	if (part->length > MESSAGE_PART_BYTES_MAX)
		part->length = MESSAGE_PART_BYTES_MAX;
	memcpy(part->bytes, bytes + p->offset, part->length);
	outbox_put(config_sync->out, from, &message);
	return PIMENTO_OK;
}

/*
 * Builds the text from the received bytes. Returns false if that fails or the
 * text does not match its digest.
 */
static bool fetch_assemble(const config_sync_document_t *doc,
			   text_version_t *version)
{
	const fetch_t *f = &doc->fetch;
	int error = PIMENTO_OK;

	version->revision = f->revision;
	version->digest = f->digest;
	if (f->base) {
		error = delta_apply(doc->current.text, doc->current.length,
				    f->bytes, f->size, CONFIG_SYNC_TEXT_MAX,
				    &version->text, &version->length);
	} else {
		version->length = f->size;
		version->text = malloc((size_t)f->size + 1);
		if (!version->text)
			return false;
		memcpy(version->text, f->bytes, f->size);
		version->text[f->size] = '\0';
	}
	if (error)
		return false;
	if (XXH3_64bits(version->text, version->length) == version->digest)
		return true;
	free(version->text);
	return false;
}

static void fetch_complete(config_sync_t *config_sync, pimento_usec_t now,
			   unsigned int subject)
{
	config_sync_document_t *doc = find_document(config_sync, subject);
	text_version_t version = { 0 };

	if (doc->pending.revision) {
		fetch_reset(&doc->fetch);
		return;
	}
	if (fetch_assemble(doc, &version)) {
		fetch_reset(&doc->fetch);
		doc->pending = version;
		return;
	}
	/*
	 * Pull again only after the timeout: an immediate retry could loop at
	 * the speed of the network.
	 */
	free(doc->fetch.bytes);
	doc->fetch.bytes = NULL;
	doc->fetch.received = 0;
	doc->fetch.full = true;
	doc->fetch.deadline = now + PULL_TIMEOUT;
}

static bool fetch_allocate(config_sync_document_t *doc, const message_part_t *p)
{
	fetch_t *f = &doc->fetch;

	f->bytes = malloc((size_t)p->size + 1);
	if (!f->bytes)
		return false;
	f->revision = p->revision;
	f->base = p->base;
	f->digest = p->digest;
	f->size = p->size;
	f->received = 0;
	return true;
}

static bool same_transfer(const fetch_t *f, const message_part_t *p)
{
	return f->revision == p->revision && f->base == p->base &&
	       f->digest == p->digest && f->size == p->size;
}

static int receive_part(config_sync_t *config_sync, pimento_usec_t now,
			const message_part_t *p)
{
	config_sync_document_t *doc = find_document(config_sync, p->subject);
	fetch_t *f;

	if (!doc || p->length > MESSAGE_PART_BYTES_MAX ||
	    p->size > CONFIG_SYNC_TEXT_MAX || p->offset > p->size ||
	    p->length > p->size - p->offset)
		return PIMENTO_EINVAL;
	f = &doc->fetch;
	if (!f->revision || p->revision < f->revision ||
	    p->revision <= doc->current.revision)
		return PIMENTO_OK;
	if (is_rejected(doc, p->revision, p->digest)) {
		fetch_reset(f);
		return PIMENTO_OK;
	}
	if (p->base && p->base != doc->current.revision)
		return PIMENTO_OK;
	if (f->bytes && !same_transfer(f, p)) {
		fetch_restart(config_sync, now, p->subject, false);
		return PIMENTO_OK;
	}
	if (p->offset != f->received)
		return PIMENTO_OK;
	if (!f->bytes && !fetch_allocate(doc, p))
		return PIMENTO_ENOMEM;
	memcpy(f->bytes + f->received, p->bytes, p->length);
	f->received += p->length;
	f->tries = 0;
	if (f->received == f->size)
		fetch_complete(config_sync, now, p->subject);
	else if (p->length)
		send_pull(config_sync, now, p->subject);
	return PIMENTO_OK;
}

int config_sync_receive(config_sync_t *config_sync, pimento_usec_t now,
			pimento_id_t from, const message_t *message)
{
	switch (message->kind) {
	case MESSAGE_OFFER:
		return receive_offer(config_sync, now, from, &message->u.offer);
	case MESSAGE_PULL:
		return receive_pull(config_sync, from, &message->u.pull);
	case MESSAGE_PART:
		return receive_part(config_sync, now, &message->u.part);
	default:
		return PIMENTO_EINVAL;
	}
}

const char *config_sync_pending(config_sync_t *config_sync,
				config_sync_subject_t subject,
				uint64_t *revision, size_t *length)
{
	const config_sync_document_t *doc = find_document(config_sync, subject);

	if (!doc || !doc->pending.revision)
		return NULL;
	*revision = doc->pending.revision;
	*length = doc->pending.length;
	return doc->pending.text;
}

/*
 * Moves the current text into the history, which is bounded in entries and
 * bytes.
 */
static void push_history(config_sync_document_t *doc)
{
	size_t bytes = 0;

	text_version_finish(&doc->history[HISTORY_MAX - 1]);
	memmove(&doc->history[1], &doc->history[0],
		(HISTORY_MAX - 1) * sizeof(doc->history[0]));
	doc->history[0] = doc->current;
	memset(&doc->current, 0, sizeof(doc->current));
	for (uint32_t i = 0; i < HISTORY_MAX; i++) {
		bytes += doc->history[i].length;
		if (bytes > HISTORY_BYTES_MAX)
			text_version_finish(&doc->history[i]);
	}
}

void config_sync_resolve_pending(config_sync_t *config_sync, pimento_usec_t now,
				 config_sync_subject_t subject, bool accepted)
{
	config_sync_document_t *doc = find_document(config_sync, subject);

	if (!doc || !doc->pending.revision)
		return;
	if (accepted) {
		if (doc->current.revision)
			push_history(doc);
		doc->current = doc->pending;
		memset(&doc->pending, 0, sizeof(doc->pending));
		free(doc->delta);
		doc->delta = NULL;
		doc->delta_base = 0;
		send_offers(config_sync, subject);
	} else {
		reject_pending(doc);
	}
	if (!doc->fetch.revision ||
	    doc->fetch.revision <= newest_revision(doc)) {
		fetch_reset(&doc->fetch);
		fetch_newest(config_sync, now, subject);
	}
}

uint64_t config_sync_revision(const config_sync_t *config_sync,
			      config_sync_subject_t subject)
{
	const config_sync_document_t *doc = find_document(config_sync, subject);

	return doc ? doc->current.revision : 0;
}

static uint64_t poller_weight(pimento_id_t host)
{
	static const char name[] = "platform reader";
	uint64_t seed = XXH3_64bits(name, sizeof(name));

	return XXH3_64bits_withSeed(&host, sizeof(host), seed);
}

bool config_sync_is_poller(const config_sync_t *config_sync,
			   const pimento_id_t *live, uint32_t count,
			   pimento_usec_t *interval)
{
	uint64_t own = poller_weight(config_sync->options.self);
	pimento_usec_t span = (pimento_usec_t)count * READ_INTERVAL_PER_HOST;
	uint32_t before = 0;

	if (span < READ_INTERVAL_MIN)
		span = READ_INTERVAL_MIN;
	/*
	 * Up to a quarter shorter or longer, so that the hosts' reads do not
	 * coincide.
	 */
	*interval = span * 3 / 4 + (pimento_usec_t)(own % (uint64_t)span) / 2;
	for (uint32_t i = 0; i < count; i++)
		if (live[i] != config_sync->options.self &&
		    poller_weight(live[i]) > own)
			before++;
	return before < config_sync->options.pollers;
}

void config_sync_tick(config_sync_t *config_sync, pimento_usec_t now)
{
	for (unsigned int s = CONFIG_SYNC_CONFIG; s <= CONFIG_SYNC_HOSTS; s++) {
		config_sync_document_t *doc = find_document(config_sync, s);
		fetch_t *f = &doc->fetch;

		if (!f->revision || now < f->deadline)
			continue;
		if (++f->tries > PULL_TRIES_MAX) {
			fetch_reset(f);
			continue;
		}
		f->from = alternative_source(config_sync, doc, f->revision,
					     f->from);
		send_pull(config_sync, now, s);
	}
}

pimento_usec_t config_sync_deadline(const config_sync_t *config_sync)
{
	pimento_usec_t deadline = PIMENTO_NEVER;

	for (uint32_t i = 0; i < DOCUMENTS; i++)
		if (config_sync->documents[i].fetch.deadline < deadline)
			deadline = config_sync->documents[i].fetch.deadline;
	return deadline;
}
