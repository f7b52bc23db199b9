#ifndef NET_H
#define NET_H

/*
 * Sockets of the event loop: IPv4, non-blocking, no Nagle, and with probes, so
 * that a connection that went silent for good is noticed.
 */

#include "../pimentoshelf.h"

#include <ev.h>
#include <sys/types.h>

typedef struct net_address {
	uint32_t ip; /* host byte order */
	uint16_t port;
} net_address_t;

/* "10.1.0.25:8221". Returns 0 or PIMENTO_EINVAL. */
int net_parse(const char *text, net_address_t *address);
int net_parse_ip(const char *text, uint32_t *ip);

/* Each returns a descriptor, or PIMENTO_EIO with errno set. */
int net_listen(const net_address_t *address);
int net_accept(int listener);
int net_connect(const net_address_t *address); /* not yet connected */
int net_datagram(const net_address_t *address); /* bound */

int net_send_to(int fd, const net_address_t *to, const void *bytes,
		size_t length);
/* A datagram and its sender's address; -1 if there is none. */
ssize_t net_receive_from(int fd, uint32_t *from, void *bytes, size_t size);

/* The pending error of a socket, as errno has it; 0 none. */
int net_error(int fd);

/* Closes so that the peer cannot take what it got for a whole message. */
void net_reset(int fd);

#endif
