#ifndef ROSTER_H
#define ROSTER_H

/*
 * The entry hosts that this one knows. Who lives is told by the membership
 * protocol (member.h), so that all hosts hold the same of each other whatever
 * their number; what each last reported of itself comes with its own notes,
 * which grow rarer as the fleet grows. Hosts find each other through seeds;
 * nothing is published. A roster is advice: nothing here gives leave to run
 * anything.
 */

#include "quota.h"
#include "registry.h"
#include "member.h"
#include "replica.h"

/* A note has room for this many; more would not fit one datagram. */
#define ROSTER_LOADS_MAX 64
#define ROSTER_QUOTAS_MAX 8
#define ROSTER_OWNED_MAX 24
/* With more facts on hosts than this a note has room for little else. */
#define ROSTER_FACTS_CALM 16
#define ROSTER_READERS_MAX 10
/*
 * Hosts that read the store. Each change costs a call of each, and the store's
 * rates grow more slowly than the fleet. With eight, a change is missed by all
 * about once in 4,000 if each loses every third answer.
 */
#define ROSTER_READERS 8

typedef struct roster_load {
	uint32_t endpoint; /* low half of its key */
	uint32_t running;
	uint32_t reading; /* tokens of prompts without an answer yet */
} roster_load_t;

/* What the owner of an endpoint says of it. */
typedef struct roster_kept {
	uint32_t endpoint;
	pimento_usec_t age; /* since the owner reported it */
	registry_report_t word;
} roster_owned_t;

/* A host that reads the platform's store, with success. */
typedef struct roster_reader {
	uint32_t address;
	pimento_usec_t age; /* since it said so */
} roster_reader_t;

/* What a note is in the membership protocol. */
typedef enum roster_probe {
	ROSTER_NO_PROBE,
	ROSTER_PROBE,
	ROSTER_ACK
} roster_probe_t;

/* State of a host's copy of one collection, as announced in its notes. */
typedef struct roster_copy {
	uint64_t revision;
	pimento_usec_t age; /* PIMENTO_NEVER: unknown */
} roster_copy_t;

typedef struct roster_note {
	uint32_t address; /* IPv4, host byte order */
	uint64_t incarnation;
	pimento_usec_t stamp; /* sender's clock */
	pimento_usec_t echo; /* of the receiver's last stamp; 0 none */
	roster_copy_t
		copies[REPLICA_KIND_COUNT]; /* of the sender, by collection */
	roster_probe_t probe;
	bool pull; /* the receiver is to answer with a note of its own */
	message_probe_t membership;
	uint32_t load_count;
	uint32_t quota_count;
	uint32_t reader_count;
	uint32_t owned_count;
	roster_owned_t owned[ROSTER_OWNED_MAX]; /* the sender's own first */
	roster_load_t loads[ROSTER_LOADS_MAX];
	quota_report_t quotas[ROSTER_QUOTAS_MAX];
	roster_reader_t readers[ROSTER_READERS_MAX];
} roster_note_t;

typedef struct roster_peer {
	uint32_t address;
	uint64_t incarnation;
	bool heard; /* ever; a seed may not have been */
	bool seed;
	pimento_usec_t heard_at;
	pimento_usec_t added_at;
	pimento_usec_t their_stamp; /* to echo */
	uint64_t revisions[REPLICA_KIND_COUNT];
	uint32_t load_count;
	roster_load_t loads[ROSTER_LOADS_MAX];
} roster_peer_t;

/* A reader, and when it last said so, on this host's clock. */
typedef struct roster_known_reader {
	uint32_t address;
	pimento_usec_t at;
} roster_known_reader_t;

typedef struct roster {
	uint32_t self;
	member_t member;
	outbox_t out; /* probes and acks to be sent */
	message_t message; /* the one taken from there */
	roster_peer_t **peers;
	uint32_t count;
	roster_known_reader_t readers[ROSTER_READERS_MAX];
	uint32_t reader_count;
	pimento_usec_t started_at; /* when the first peer was added; 0 none */
	pimento_usec_t last_added_at; /* when the newest peer was added */
	bool heard_any;
	uint32_t turn; /* of those to be written to */
} roster_t;

/*
 * incarnation is random and never used again; random choices follow from it.
 * Returns 0 or PIMENTO_ENOMEM.
 */
int roster_init(roster_t *roster, uint32_t self, uint64_t incarnation);
void roster_finish(roster_t *roster);

/* Adds a host that might exist. Returns 0 or PIMENTO_ENOMEM. */
int roster_add(roster_t *roster, uint32_t address, bool seed,
	       pimento_usec_t now);

/*
 * Takes a note. For each collection, sets its element of fresh to the time, on
 * this host's clock, since which the sender's copy was surely confirmed, or to
 * INT64_MIN. Returns the peer; NULL for a note that is old, from this host
 * itself, or without memory.
 */
roster_peer_t *roster_receive(roster_t *roster, const roster_note_t *note,
			      pimento_usec_t now,
			      pimento_usec_t fresh[REPLICA_KIND_COUNT]);

/* The next peers in turn; at most most. Returns how many. */
uint32_t roster_targets(roster_t *roster, pimento_usec_t now, uint32_t most,
			roster_peer_t **targets);

/* Probes what is due; call some 20 times a second. */
void roster_tick(roster_t *roster, pimento_usec_t now);

/*
 * The next probe or ack to be sent, as the membership part of a note; call
 * until it returns false, after each tick and each note that was received.
 */
bool roster_next_probe(roster_t *roster, uint32_t *address,
		       roster_note_t *note);

/* The stamp of a peer's last note, to be echoed; 0 for one not heard. */
pimento_usec_t roster_stamp_of(const roster_t *roster, uint32_t address);

uint64_t roster_incarnation(const roster_t *roster);

/* Fills a note that is no probe with what is known of hosts. */
void roster_tell_members(roster_t *roster, roster_note_t *note);

/* True if there is more to tell of hosts than a few notes hold. */
bool roster_has_news(const roster_t *roster);

/* Fills the readers of a note; reader: this host is one. */
void roster_tell_readers(roster_t *roster, bool reader, pimento_usec_t now,
			 roster_note_t *note);

/* Hosts that share limits, this one included: heard of within a minute. */
uint32_t roster_hosts(const roster_t *roster, pimento_usec_t now);

/*
 * True while a recently started host is still adding peers, so that its host
 * count may be too low.
 */
bool roster_is_discovering(const roster_t *roster, pimento_usec_t now);

/* True if the peer has been heard lately enough to believe its counts. */
bool roster_believed(const roster_peer_t *peer, pimento_usec_t now);

/* What believed peers have in flight at an endpoint, added up. */
roster_load_t roster_load(const roster_t *roster, pimento_id_t endpoint,
			  pimento_usec_t now);

/*
 * True if this host is among the first ROSTER_READERS of those known, in an
 * order that is the same for all hosts.
 */
bool roster_is_first(const roster_t *roster);

/*
 * Whether this host should read the platform's store, now being a reader or
 * not; draw is random. About ROSTER_READERS hosts do, and pass on what they
 * read; with fewer hosts than that, all.
 */
bool roster_should_read(const roster_t *roster, bool reader, uint64_t draw,
			pimento_usec_t now);

/*
 * The host that keeps count of an endpoint's places: the same for all hosts
 * that hold the same of each other. It changes only when a host joins, leaves
 * or is found dead. May be this host.
 */
uint32_t roster_owner(const roster_t *roster, pimento_id_t endpoint);

/* The owner if the former one were dead; this host if there is no other. */
uint32_t roster_successor(const roster_t *roster, pimento_id_t endpoint,
			  uint32_t former);

/* Hosts that live and do not leave, this one included. */
uint32_t roster_live(const roster_t *roster);

/*
 * Part of the known hosts that live, (0, 1]: less on each side of a cut. Hosts
 * that died longer ago than span do not count.
 */
double roster_part(const roster_t *roster, pimento_usec_t span,
		   pimento_usec_t now);

/* Counts up when owners may have changed. */
uint64_t roster_changes(const roster_t *roster);

/* This host leaves: others take over what it owns. */
void roster_leave(roster_t *roster, pimento_usec_t now);

#endif
