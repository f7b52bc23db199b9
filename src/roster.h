#ifndef ROSTER_H
#define ROSTER_H

/*
 * The entry hosts that this one hears, and what each last said. Hosts find
 * each other through seeds and pass on whom they hear; nothing is published.
 * A roster is advice: nothing here gives leave to run anything.
 */

#include "quota.h"
#include "directory.h"
#include "mirror.h"

/* A note has room for this many; more would not fit one datagram. */
#define ROSTER_LOADS_MAX 64
#define ROSTER_USES_MAX 24
#define ROSTER_OWNED_MAX 16
#define ROSTER_MEMBERS_MAX 12
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
	directory_word_t word;
} roster_owned_t;

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
		copies[MIRROR_KIND_COUNT]; /* of the sender, by collection */
	bool reader; /* it reads the store, with success */
	uint32_t load_count;
	uint32_t use_count;
	uint32_t member_count;
	uint32_t owned_count;
	roster_owned_t owned[ROSTER_OWNED_MAX];
	roster_load_t loads[ROSTER_LOADS_MAX];
	quota_report_t uses[ROSTER_USES_MAX];
	uint32_t members[ROSTER_MEMBERS_MAX];
} roster_note_t;

typedef struct roster_peer {
	uint32_t address;
	uint64_t incarnation;
	bool heard; /* ever; a seed may not have been */
	bool seed;
	pimento_usec_t heard_at;
	pimento_usec_t added_at;
	pimento_usec_t their_stamp; /* to echo */
	uint64_t revisions[MIRROR_KIND_COUNT];
	bool reader;
	uint32_t load_count;
	roster_load_t loads[ROSTER_LOADS_MAX];
} roster_peer_t;

typedef struct roster {
	uint32_t self;
	roster_peer_t **peers;
	uint32_t count;
	pimento_usec_t started_at; /* when the first peer was added; 0 none */
	pimento_usec_t last_added_at; /* when the newest peer was added */
	uint32_t turn; /* of those to be written to */
	uint32_t member_turn; /* of those to be passed on */
} roster_t;

void roster_init(roster_t *roster, uint32_t self);
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
			      pimento_usec_t fresh[MIRROR_KIND_COUNT]);

/* The next peers in turn; at most most. Returns how many. */
uint32_t roster_targets(roster_t *roster, pimento_usec_t now, uint32_t most,
			roster_peer_t **targets);

/* Fills the members of a note, each time others. */
void roster_members(roster_t *roster, pimento_usec_t now, roster_note_t *note);

/* Hosts that share limits, this one included: heard of within a minute. */
uint32_t roster_hosts(const roster_t *roster, pimento_usec_t now);

/*
 * True while a recently started host is still adding peers, so that its host
 * count may be too low.
 */
bool roster_is_discovering(const roster_t *roster, pimento_usec_t now);

/* True if the peer has been heard lately enough to believe its counts. */
bool roster_believed(const roster_peer_t *peer, pimento_usec_t now);

/* Requests that a peer has in flight at an endpoint; 0 if not believed. */
uint32_t roster_peer_running(const roster_peer_t *peer, pimento_id_t endpoint,
			     pimento_usec_t now);

/* What believed peers have in flight at an endpoint, added up. */
roster_load_t roster_load(const roster_t *roster, pimento_id_t endpoint,
			  pimento_usec_t now);

/*
 * Whether this host should read the platform's store, now being a reader or
 * not; draw is random. About ROSTER_READERS hosts do, and pass on what they
 * read; with fewer hosts than that, all.
 */
bool roster_should_read(const roster_t *roster, bool reader, uint64_t draw,
			pimento_usec_t now);

/*
 * The host that keeps count of an endpoint's places: the same for all hosts
 * that hear the same peers, and for others mostly. May be this host.
 */
uint32_t roster_owner(const roster_t *roster, pimento_id_t endpoint,
		      pimento_usec_t now);

#endif
