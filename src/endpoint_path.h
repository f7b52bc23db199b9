#ifndef ENDPOINT_PATH_H
#define ENDPOINT_PATH_H

/*
 * Whether this host reaches an endpoint over the network. A lost path says
 * nothing about the endpoint: other hosts may reach it, so this state is never
 * reported to others, and requests go through a peer while it lasts.
 *
 * OPEN becomes SUSPECT when bytes stay unacknowledged or other paths are lost,
 * and LOST when a new connection fails. A new connection that succeeds makes
 * it OPEN; bytes from the endpoint end SUSPECT only, as kept connections may
 * live on while new ones fail.
 */

#include "../pimentoshelf.h"

/* Peers that did not reach the endpoint either; others are asked first. */
#define ENDPOINT_PATH_AVOIDED_MAX 6

typedef enum endpoint_path_state {
	ENDPOINT_PATH_OPEN,
	ENDPOINT_PATH_SUSPECT,
	ENDPOINT_PATH_LOST
} endpoint_path_state_t;

/* Returns the state's name for log output, as a static string. */
const char *endpoint_path_state_name(endpoint_path_state_t state);

typedef struct endpoint_path {
	endpoint_path_state_t state;
	/* last byte from the endpoint on a direct connection; 0: none */
	pimento_usec_t heard_at;
	pimento_usec_t lost_at; /* when it was last found suspect or lost */
	bool refused; /* the last connection: nothing listens at the endpoint */
	uint32_t tunnel_peer; /* opened the last tunnel since; 0: none did */
	pimento_usec_t probe_at; /* when a new connection is tried next */
	pimento_usec_t probe_interval;
	pimento_usec_t ask_at; /* when peers are asked next if it is blocked */
	pimento_usec_t ask_interval;
	pimento_usec_t wanted_at; /* last request without a direct connection */
	/* broken connections, which are the endpoint's if a probe succeeds */
	uint32_t breaks;
	uint32_t resets; /* of those, before an answer had begun */
	uint32_t avoided[ENDPOINT_PATH_AVOIDED_MAX];
	uint32_t avoided_count;
	pimento_usec_t avoided_until;
} endpoint_path_t;

void endpoint_path_init(endpoint_path_t *path);

/* A direct connection was opened. Returns true if the path had been LOST. */
bool endpoint_path_opened(endpoint_path_t *path, pimento_usec_t now);
/* A direct connection was not. Returns true if the path was not LOST before. */
bool endpoint_path_failed(endpoint_path_t *path, pimento_usec_t now);
/* Bytes came on a direct connection. */
void endpoint_path_heard(endpoint_path_t *path, pimento_usec_t now);
/*
 * Nothing comes on an open connection. Makes an OPEN path SUSPECT and a probe
 * due; of any other path, connections that are open are no longer used.
 */
void endpoint_path_suspect(endpoint_path_t *path, pimento_usec_t now);

/* A peer reaches the endpoint. */
void endpoint_path_tunnelled(endpoint_path_t *path, uint32_t peer);
/* A peer does not; it is avoided for a while. */
void endpoint_path_avoid(endpoint_path_t *path, uint32_t peer,
			 pimento_usec_t now);

/* Whether new direct connections, and those that are open, may be used. */
bool endpoint_path_allows_new(const endpoint_path_t *path);
bool endpoint_path_allows_open(const endpoint_path_t *path);
/* True if the endpoint is reached neither directly nor, so far, by a peer. */
bool endpoint_path_is_blocked(const endpoint_path_t *path);
/* True if a byte came within the last 0.3 s. */
bool endpoint_path_is_alive(const endpoint_path_t *path, pimento_usec_t now);

/*
 * True if a new connection is to be tried, and counts it as begun. A path that
 * is only SUSPECT is probed when a request wants it.
 */
bool endpoint_path_begin_probe(endpoint_path_t *path, pimento_usec_t now);

#endif
