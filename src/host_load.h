#ifndef HOST_LOAD_H
#define HOST_LOAD_H

/*
 * Whether this host's own link bears one more request's body.
 *
 * Load pattern: callers send more than the link carries. If all bodies are read
 * at once, each takes as long as all of them together, and none is there before
 * its caller leaves. A host that knows its link's rate reads as many as can be
 * there in time, and turns the other requests away on their head.
 */

#include "../pimentoshelf.h"

typedef struct host_load {
	double link_rate; /* bytes per second; 0: not known, no bound */
	uint64_t expected; /* bytes of bodies that are being read */
	pimento_usec_t window_since;
	uint64_t window_bytes; /* received since */
	pimento_usec_t busy_until;
} host_load_t;

/* Rate in bytes per second; 0 if it is not known. */
void host_load_init(host_load_t *load, double link_rate);
/* The same when the settings change. */
void host_load_set_link_rate(host_load_t *load, double link_rate);

/* Bytes were received, of whatever kind. */
void host_load_add_received(host_load_t *load, uint64_t bytes,
			    pimento_usec_t now);

/* A body of this length will be read. */
void host_load_add_expected(host_load_t *load, uint64_t bytes);
/* Bytes of such a body were read, or will not be. */
void host_load_remove_expected(host_load_t *load, uint64_t bytes);

/* True if half of the link or more is in use, or was within the last second. */
bool host_load_is_busy(const host_load_t *load, pimento_usec_t now);

/*
 * True if a body of this length (0: not stated) may be read for a request with
 * this time left. A link that is not busy bears any: callers that send slowly
 * hold up nobody.
 */
bool host_load_accepts(const host_load_t *load, uint64_t length,
		       pimento_usec_t time_left, pimento_usec_t now);

#endif
