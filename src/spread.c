/*
 * Spreading the published texts. New revisions travel in two ways at once: who
 * accepts one offers it to a few peers right away, which reaches the fleet in
 * a handful of steps, and every probe tells the revision in force, which
 * reaches whoever the offers missed. Both only say "I hold this"; the text is
 * pulled by who needs it, as a difference where the sender knows the base.
 *
 * A text becomes part of what is offered on only after it was judged, so a
 * configuration that fails its checks stops at the hosts that read it.
 */

#include "spread.h"

#include "delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define TEXTS 2
#define HISTORY 8 /* former texts kept as bases of differences */
#define HISTORY_BYTES ((size_t)2 * 1024 * 1024) /* of them, for one subject */
#define REFUSED 4 /* refused texts remembered */
#define FANOUT 4 /* peers offered a newly accepted text */
#define HOLDERS 8 /* peers known to hold a newer text */
#define PULL_TIMEOUT (200 * PIMENTO_MSEC)
#define PULL_TRIES 10 /* then wait until a peer tells of it again */
#define BACKSTOP (30 * PIMENTO_SEC)
#define BACKSTOP_PER_HOST (500 * PIMENTO_MSEC)

typedef struct held {
	uint64_t revision; /* 0 none */
	uint64_t digest;
	char *text; /* NUL-terminated */
	size_t length;
} held_t;

typedef struct refusal {
	uint64_t revision;
	uint64_t digest;
} refusal_t;

typedef struct holder {
	pimento_id_t host;
	uint64_t revision;
} holder_t;

/* A transfer in progress. */
typedef struct fetch {
	uint64_t revision; /* 0: none */
	uint64_t base;
	uint64_t digest;
	pimento_id_t from;
	char *bytes; /* NULL until the first part came in */
	uint32_t size;
	uint32_t received;
	uint32_t tries; /* since the last part */
	bool whole; /* a difference did not fit; ask for all of it */
	pimento_usec_t deadline;
} fetch_t;

struct spread_text {
	held_t current; /* in force, offered on */
	held_t pending; /* awaits judgement */
	held_t history[HISTORY]; /* newest first */
	refusal_t refused[REFUSED];
	uint32_t refused_next;
	char *delta; /* from delta_base to current, made when first pulled */
	size_t delta_length;
	uint64_t delta_base;
	holder_t holders[HOLDERS];
	fetch_t fetch;
};

static void held_finish(held_t *held)
{
	free(held->text);
	memset(held, 0, sizeof(*held));
}

static void fetch_finish(fetch_t *fetch)
{
	free(fetch->bytes);
	memset(fetch, 0, sizeof(*fetch));
	fetch->deadline = PIMENTO_NEVER;
}

static spread_text_t *text_of(const spread_t *spread, unsigned int subject)
{
	if (subject < CONFIG_SYNC_CONFIG || subject > CONFIG_SYNC_HOSTS)
		return NULL;
	return &spread->texts[subject - 1];
}

int spread_init(spread_t *spread, const spread_options_t *options,
		outbox_t *out)
{
	memset(spread, 0, sizeof(*spread));
	spread->options = *options;
	spread->out = out;
	if (!spread->options.readers)
		spread->options.readers = SPREAD_READERS;
	pimento_random_init(&spread->random, options->seed ^ options->self);
	spread->texts = calloc(TEXTS, sizeof(*spread->texts));
	if (!spread->texts)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < TEXTS; i++)
		spread->texts[i].fetch.deadline = PIMENTO_NEVER;
	return PIMENTO_OK;
}

void spread_finish(spread_t *spread)
{
	for (uint32_t i = 0; spread->texts && i < TEXTS; i++) {
		spread_text_t *t = &spread->texts[i];

		held_finish(&t->current);
		held_finish(&t->pending);
		for (uint32_t j = 0; j < HISTORY; j++)
			held_finish(&t->history[j]);
		free(t->delta);
		fetch_finish(&t->fetch);
	}
	free(spread->texts);
	memset(spread, 0, sizeof(*spread));
}

/* Newest revision that is here already. */
static uint64_t newest(const spread_text_t *t)
{
	if (t->pending.revision > t->current.revision)
		return t->pending.revision;
	return t->current.revision;
}

static const refusal_t *refusal_of(const spread_text_t *t, uint64_t revision)
{
	for (uint32_t i = 0; i < REFUSED; i++)
		if (revision && t->refused[i].revision == revision)
			return &t->refused[i];
	return NULL;
}

static bool refused(const spread_text_t *t, uint64_t revision, uint64_t digest)
{
	const refusal_t *r = refusal_of(t, revision);

	return r && r->digest == digest;
}

static void refuse_pending(spread_text_t *t)
{
	refusal_t *r = &t->refused[t->refused_next++ % REFUSED];

	r->revision = t->pending.revision;
	r->digest = t->pending.digest;
	held_finish(&t->pending);
}

static void pull(spread_t *spread, pimento_usec_t now, unsigned int subject)
{
	spread_text_t *t = text_of(spread, subject);
	message_t message = { .kind = MESSAGE_PULL };

	message.u.pull.subject = (uint8_t)subject;
	message.u.pull.revision = t->fetch.revision;
	message.u.pull.base = t->fetch.whole ? 0 : t->current.revision;
	message.u.pull.offset = t->fetch.received;
	t->fetch.deadline = now + PULL_TIMEOUT;
	outbox_put(spread->out, t->fetch.from, &message);
}

static void note_holder(spread_text_t *t, pimento_id_t host, uint64_t revision)
{
	holder_t *oldest = &t->holders[0];

	for (uint32_t i = 0; i < HOLDERS; i++) {
		holder_t *h = &t->holders[i];

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

/* Another holder of at least this revision than the one given, or that one. */
static pimento_id_t other_holder(spread_t *spread, const spread_text_t *t,
				 uint64_t revision, pimento_id_t not_this)
{
	uint32_t start =
		(uint32_t)pimento_random_below(&spread->random, HOLDERS);

	for (uint32_t i = 0; i < HOLDERS; i++) {
		const holder_t *h = &t->holders[(start + i) % HOLDERS];

		if (h->host && h->host != not_this && h->revision >= revision)
			return h->host;
	}
	return not_this;
}

static void fetch_start(spread_t *spread, pimento_usec_t now,
			unsigned int subject, pimento_id_t from,
			uint64_t revision)
{
	spread_text_t *t = text_of(spread, subject);

	fetch_finish(&t->fetch);
	t->fetch.revision = revision;
	t->fetch.from = from;
	pull(spread, now, subject);
}

static void fetch_again(spread_t *spread, pimento_usec_t now,
			unsigned int subject, bool whole)
{
	fetch_t *f = &text_of(spread, subject)->fetch;

	free(f->bytes);
	f->bytes = NULL;
	f->received = 0;
	f->whole = f->whole || whole;
	pull(spread, now, subject);
}

/* After one text was taken over, an even newer one may be known of. */
static void fetch_newest(spread_t *spread, pimento_usec_t now,
			 unsigned int subject)
{
	spread_text_t *t = text_of(spread, subject);
	const holder_t *best = NULL;

	for (uint32_t i = 0; i < HOLDERS; i++) {
		const holder_t *h = &t->holders[i];

		if (h->revision > newest(t) && !refusal_of(t, h->revision) &&
		    (!best || h->revision > best->revision))
			best = h;
	}
	if (best)
		fetch_start(spread, now, subject, best->host, best->revision);
}

static void note_peer(spread_t *spread, pimento_id_t peer)
{
	for (uint32_t i = 0; i < SPREAD_PEERS; i++)
		if (spread->peers[i] == peer)
			return;
	spread->peers[spread->peer_next++ % SPREAD_PEERS] = peer;
}

static void offer(spread_t *spread, unsigned int subject)
{
	const held_t *held = &text_of(spread, subject)->current;
	message_t message = { .kind = MESSAGE_OFFER };
	uint32_t start =
		(uint32_t)pimento_random_below(&spread->random, SPREAD_PEERS);
	uint32_t sent = 0;

	message.u.offer.subject = (uint8_t)subject;
	message.u.offer.revision = held->revision;
	message.u.offer.digest = held->digest;
	message.u.offer.size = (uint32_t)held->length;
	for (uint32_t i = 0; i < SPREAD_PEERS && sent < FANOUT; i++) {
		pimento_id_t peer = spread->peers[(start + i) % SPREAD_PEERS];

		if (!peer)
			continue;
		outbox_put(spread->out, peer, &message);
		sent++;
	}
}

int spread_read(spread_t *spread, pimento_usec_t now,
		config_sync_subject_t subject, uint64_t revision,
		const char *text, size_t length)
{
	spread_text_t *t = text_of(spread, subject);
	uint64_t digest;
	char *copy;

	(void)now;
	if (!t || !revision)
		return PIMENTO_EINVAL;
	if (length > SPREAD_TEXT_MAX)
		return PIMENTO_ETOOBIG;
	if (revision <= t->current.revision)
		return PIMENTO_ESTALE;
	if (t->pending.revision)
		return revision <= t->pending.revision ? PIMENTO_ESTALE
						       : PIMENTO_EBUSY;
	digest = XXH3_64bits(text, length);
	if (refused(t, revision, digest))
		return PIMENTO_ESTALE;
	copy = malloc(length + 1);
	if (!copy)
		return PIMENTO_ENOMEM;
	memcpy(copy, text, length);
	copy[length] = '\0';
	t->pending = (held_t){ revision, digest, copy, length };
	if (t->fetch.revision && t->fetch.revision <= revision)
		fetch_finish(&t->fetch);
	return PIMENTO_OK;
}

void spread_heard(spread_t *spread, pimento_usec_t now, pimento_id_t from,
		  config_sync_subject_t subject, uint64_t revision)
{
	spread_text_t *t = text_of(spread, subject);

	if (!t || !from)
		return;
	note_peer(spread, from);
	if (revision <= newest(t) || refusal_of(t, revision))
		return;
	note_holder(t, from, revision);
	if (!t->fetch.revision)
		fetch_start(spread, now, subject, from, revision);
}

static int receive_offer(spread_t *spread, pimento_usec_t now,
			 pimento_id_t from, const message_offer_t *o)
{
	const spread_text_t *t = text_of(spread, o->subject);

	if (!t || !o->revision || o->size > SPREAD_TEXT_MAX)
		return PIMENTO_EINVAL;
	if (refused(t, o->revision, o->digest))
		return PIMENTO_OK;
	spread_heard(spread, now, from, (config_sync_subject_t)o->subject,
		     o->revision);
	return PIMENTO_OK;
}

static const held_t *base_of(const spread_text_t *t, uint64_t revision)
{
	for (uint32_t i = 0; revision && i < HISTORY; i++)
		if (t->history[i].revision == revision)
			return &t->history[i];
	return NULL;
}

/* Makes the difference from a base to the current text; false if useless. */
static bool delta_ready(spread_text_t *t, uint64_t base)
{
	const held_t *from = base_of(t, base);

	if (!from)
		return false;
	if (t->delta_base != base) {
		free(t->delta);
		t->delta = NULL;
		t->delta_base = 0;
		if (delta_create(from->text, from->length, t->current.text,
				 t->current.length, &t->delta,
				 &t->delta_length))
			return false;
		t->delta_base = base;
	}
	return t->delta_length < t->current.length;
}

static int receive_pull(spread_t *spread, pimento_id_t from,
			const message_pull_t *p)
{
	spread_text_t *t = text_of(spread, p->subject);
	message_t message = { .kind = MESSAGE_PART };
	message_part_t *part = &message.u.part;
	const char *bytes;
	size_t size;

	if (!t || !p->revision)
		return PIMENTO_EINVAL;
	if (t->current.revision < p->revision)
		return PIMENTO_OK;
	part->base = delta_ready(t, p->base) ? p->base : 0;
	bytes = part->base ? t->delta : t->current.text;
	size = part->base ? t->delta_length : t->current.length;
	if (p->offset > size)
		return PIMENTO_OK;
	part->subject = p->subject;
	part->revision = t->current.revision;
	part->digest = t->current.digest;
	part->size = (uint32_t)size;
	part->offset = p->offset;
	part->length = (uint32_t)(size - p->offset);
	if (part->length > MESSAGE_PART_BYTES_MAX)
		part->length = MESSAGE_PART_BYTES_MAX;
	memcpy(part->bytes, bytes + p->offset, part->length);
	outbox_put(spread->out, from, &message);
	return PIMENTO_OK;
}

/* Turns the bytes received into the text; false if they do not make it. */
static bool fetch_text(const spread_text_t *t, held_t *held)
{
	const fetch_t *f = &t->fetch;
	int error = PIMENTO_OK;

	held->revision = f->revision;
	held->digest = f->digest;
	if (f->base) {
		error = delta_apply(t->current.text, t->current.length,
				    f->bytes, f->size, SPREAD_TEXT_MAX,
				    &held->text, &held->length);
	} else {
		held->length = f->size;
		held->text = malloc((size_t)f->size + 1);
		if (!held->text)
			return false;
		memcpy(held->text, f->bytes, f->size);
		held->text[f->size] = '\0';
	}
	if (error)
		return false;
	if (XXH3_64bits(held->text, held->length) == held->digest)
		return true;
	free(held->text);
	return false;
}

static void fetch_done(spread_t *spread, pimento_usec_t now,
		       unsigned int subject)
{
	spread_text_t *t = text_of(spread, subject);
	held_t held = { 0 };

	if (t->pending.revision) {
		fetch_finish(&t->fetch);
		return;
	}
	if (fetch_text(t, &held)) {
		fetch_finish(&t->fetch);
		t->pending = held;
		return;
	}
	/* Pulled again only by the timeout: no loop at the network's speed. */
	free(t->fetch.bytes);
	t->fetch.bytes = NULL;
	t->fetch.received = 0;
	t->fetch.whole = true;
	t->fetch.deadline = now + PULL_TIMEOUT;
}

static bool fetch_begin(spread_text_t *t, const message_part_t *p)
{
	fetch_t *f = &t->fetch;

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

static int receive_part(spread_t *spread, pimento_usec_t now,
			const message_part_t *p)
{
	spread_text_t *t = text_of(spread, p->subject);
	fetch_t *f;

	if (!t || p->length > MESSAGE_PART_BYTES_MAX ||
	    p->size > SPREAD_TEXT_MAX || p->offset > p->size ||
	    p->length > p->size - p->offset)
		return PIMENTO_EINVAL;
	f = &t->fetch;
	if (!f->revision || p->revision < f->revision ||
	    p->revision <= t->current.revision)
		return PIMENTO_OK;
	if (refused(t, p->revision, p->digest)) {
		fetch_finish(f);
		return PIMENTO_OK;
	}
	if (p->base && p->base != t->current.revision)
		return PIMENTO_OK;
	if (f->bytes && !same_transfer(f, p)) {
		fetch_again(spread, now, p->subject, false);
		return PIMENTO_OK;
	}
	if (p->offset != f->received)
		return PIMENTO_OK;
	if (!f->bytes && !fetch_begin(t, p))
		return PIMENTO_ENOMEM;
	memcpy(f->bytes + f->received, p->bytes, p->length);
	f->received += p->length;
	f->tries = 0;
	if (f->received == f->size)
		fetch_done(spread, now, p->subject);
	else if (p->length)
		pull(spread, now, p->subject);
	return PIMENTO_OK;
}

int spread_receive(spread_t *spread, pimento_usec_t now, pimento_id_t from,
		   const message_t *message)
{
	switch (message->kind) {
	case MESSAGE_OFFER:
		return receive_offer(spread, now, from, &message->u.offer);
	case MESSAGE_PULL:
		return receive_pull(spread, from, &message->u.pull);
	case MESSAGE_PART:
		return receive_part(spread, now, &message->u.part);
	default:
		return PIMENTO_EINVAL;
	}
}

const char *spread_pending(spread_t *spread, config_sync_subject_t subject,
			   uint64_t *revision, size_t *length)
{
	const spread_text_t *t = text_of(spread, subject);

	if (!t || !t->pending.revision)
		return NULL;
	*revision = t->pending.revision;
	*length = t->pending.length;
	return t->pending.text;
}

/* The newest former texts stay as bases, within a bound of bytes. */
static void remember(spread_text_t *t)
{
	size_t bytes = 0;

	held_finish(&t->history[HISTORY - 1]);
	memmove(&t->history[1], &t->history[0],
		(HISTORY - 1) * sizeof(t->history[0]));
	t->history[0] = t->current;
	memset(&t->current, 0, sizeof(t->current));
	for (uint32_t i = 0; i < HISTORY; i++) {
		bytes += t->history[i].length;
		if (bytes > HISTORY_BYTES)
			held_finish(&t->history[i]);
	}
}

void spread_judge(spread_t *spread, pimento_usec_t now,
		  config_sync_subject_t subject, bool accepted)
{
	spread_text_t *t = text_of(spread, subject);

	if (!t || !t->pending.revision)
		return;
	if (accepted) {
		if (t->current.revision)
			remember(t);
		t->current = t->pending;
		memset(&t->pending, 0, sizeof(t->pending));
		free(t->delta);
		t->delta = NULL;
		t->delta_base = 0;
		offer(spread, subject);
	} else {
		refuse_pending(t);
	}
	if (!t->fetch.revision || t->fetch.revision <= newest(t)) {
		fetch_finish(&t->fetch);
		fetch_newest(spread, now, subject);
	}
}

uint64_t spread_revision(const spread_t *spread, config_sync_subject_t subject)
{
	const spread_text_t *t = text_of(spread, subject);

	return t ? t->current.revision : 0;
}

static uint64_t reader_weight(pimento_id_t host)
{
	static const char name[] = "platform reader";
	uint64_t seed = XXH3_64bits(name, sizeof(name));

	return XXH3_64bits_withSeed(&host, sizeof(host), seed);
}

bool spread_reader(const spread_t *spread, const pimento_id_t *live,
		   uint32_t count, pimento_usec_t *interval)
{
	uint64_t own = reader_weight(spread->options.self);
	pimento_usec_t span = (pimento_usec_t)count * BACKSTOP_PER_HOST;
	uint32_t before = 0;

	if (span < BACKSTOP)
		span = BACKSTOP;
	/* A quarter either way, so that the hosts' reads do not fall together.
	 */
	*interval = span * 3 / 4 + (pimento_usec_t)(own % (uint64_t)span) / 2;
	for (uint32_t i = 0; i < count; i++)
		if (live[i] != spread->options.self &&
		    reader_weight(live[i]) > own)
			before++;
	return before < spread->options.readers;
}

void spread_tick(spread_t *spread, pimento_usec_t now)
{
	for (unsigned int s = CONFIG_SYNC_CONFIG; s <= CONFIG_SYNC_HOSTS; s++) {
		spread_text_t *t = text_of(spread, s);
		fetch_t *f = &t->fetch;

		if (!f->revision || now < f->deadline)
			continue;
		if (++f->tries > PULL_TRIES) {
			fetch_finish(f);
			continue;
		}
		f->from = other_holder(spread, t, f->revision, f->from);
		pull(spread, now, s);
	}
}

pimento_usec_t spread_deadline(const spread_t *spread)
{
	pimento_usec_t deadline = PIMENTO_NEVER;

	for (uint32_t i = 0; i < TEXTS; i++)
		if (spread->texts[i].fetch.deadline < deadline)
			deadline = spread->texts[i].fetch.deadline;
	return deadline;
}
