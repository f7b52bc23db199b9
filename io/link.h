#ifndef LINK_H
#define LINK_H

/*
 * Links to peers: framed messages over TCP, driven by the control thread with
 * poll(). Links are made when something is to be sent, used in both
 * directions, and closed when idle. Messages may be lost with a link; every
 * protocol above bears that.
 */

#include "message.h"
#include "wire.h"

#include <poll.h>

#define LINK_ADDRESS_MAX 64

typedef struct link_peer {
	pimento_id_t id; /* 0: a seed, not yet known */
	char address[LINK_ADDRESS_MAX];
	uint16_t port;
	int connection; /* index, -1 none */
	pimento_usec_t retry_at;
	pimento_usec_t backoff;
	bool seed;
} link_peer_t;

typedef struct link_connection {
	int fd; /* -1: free */
	pimento_id_t id; /* 0: not yet known */
	int peer; /* index of the peer that it was made for, -1 accepted */
	bool connecting;
	pimento_usec_t used;
	uint8_t *in;
	size_t in_used;
	uint8_t *out;
	size_t out_used;
	size_t out_size;
} link_connection_t;

typedef struct links links_t;

/* What the links tell their user, in the first member of its structure. */
typedef struct link_handler {
	void (*message)(struct link_handler *handler, pimento_id_t from,
			const message_t *message);
	/* A link to an unknown peer stands: fill what to say first. */
	void (*hello)(struct link_handler *handler, message_t *message);
} link_handler_t;

typedef struct link_counters {
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t malformed;
	uint64_t dropped; /* nowhere to send, or a full buffer */
} link_counters_t;

struct links {
	pimento_id_t self;
	link_handler_t *handler;
	int listener;
	link_peer_t *peers;
	uint32_t peer_count;
	uint32_t peer_capacity;
	link_connection_t *connections;
	uint32_t connection_count;
	link_counters_t counters;
	message_t scratch;
};

/* Listens at once. Returns 0, PIMENTO_EIO (errno says why), PIMENTO_ENOMEM. */
int link_init(links_t *links, pimento_id_t self, link_handler_t *handler,
	      const char *address, uint16_t port);
void link_finish(links_t *links);

/* A peer's address, from the host list; a changed one replaces the old. */
int link_peer(links_t *links, pimento_id_t id, const char *address,
	      uint16_t port);

/* A peer of which only the address is known. */
int link_seed(links_t *links, const char *address, uint16_t port);

/* Sends or drops; never blocks. */
void link_send(links_t *links, pimento_usec_t now, pimento_id_t to,
	       const message_t *message);

/* Connects to seeds, closes idle links. Call every few hundred ms. */
void link_tick(links_t *links, pimento_usec_t now);

/* Fills what to poll for; returns how many of max were used. */
uint32_t link_poll(const links_t *links, struct pollfd *fds, uint32_t max);

/* Handles what poll() found; fds as link_poll() filled them. */
void link_ready(links_t *links, pimento_usec_t now, const struct pollfd *fds,
		uint32_t count);

#endif
