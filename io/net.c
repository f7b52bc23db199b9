#include "net.h"

#include "window.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Callers that may wait to be accepted; a full queue costs them seconds. */
#define BACKLOG 1024

/*
 * A connection can go silent without a word: the peer lost its power, or the
 * path is cut. TCP_USER_TIMEOUT bounds how long a request would hang on it, in
 * milliseconds: on Linux it decides for unacknowledged bytes, for keep-alive
 * probes, whatever their count, and for a peer whose window stays closed, which
 * window.h allows for. Longer than a lossy link needs to send a segment a few
 * times again. The count is for systems without the option.
 */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBES 3

int net_parse_ip(const char *text, uint32_t *ip)
{
	struct in_addr address;

	if (inet_pton(AF_INET, text, &address) != 1)
		return PIMENTO_EINVAL;
	*ip = ntohl(address.s_addr);
	return 0;
}

int net_parse(const char *text, net_address_t *address)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	unsigned long port;
	char *end;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return PIMENTO_EINVAL;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port == 0 || port > UINT16_MAX)
		return PIMENTO_EINVAL;
	address->port = (uint16_t)port;
	return net_parse_ip(ip, &address->ip);
}

static struct sockaddr_in to_sockaddr(const net_address_t *address)
{
	struct sockaddr_in result;

	memset(&result, 0, sizeof(result));
	result.sin_family = AF_INET;
	result.sin_port = htons(address->port);
	result.sin_addr.s_addr = htonl(address->ip);
	return result;
}

static void set(int fd, int level, int name, int value)
{
	/* An option that the system lacks costs speed, not correctness. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_up_stream(int fd)
{
	set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S);
	set(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
	set(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBES);
	set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, WINDOW_OPEN_TIMEOUT_MS);
	window_begin(fd);
}

static int bound(int type, const net_address_t *address)
{
	struct sockaddr_in name = to_sockaddr(address);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int saved;

	if (fd < 0)
		return PIMENTO_EIO;
	if (type == SOCK_STREAM)
		set(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (struct sockaddr *)&name, sizeof(name)) == 0)
		return fd;
	saved = errno;
	close(fd);
	errno = saved;
	return PIMENTO_EIO;
}

int net_listen(const net_address_t *address)
{
	int fd = bound(SOCK_STREAM, address);

	if (fd < 0)
		return fd;
	if (listen(fd, BACKLOG) == 0)
		return fd;
	close(fd);
	return PIMENTO_EIO;
}

int net_datagram(const net_address_t *address)
{
	return bound(SOCK_DGRAM, address);
}

int net_accept(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return PIMENTO_EIO;
	set_up_stream(fd);
	return fd;
}

int net_connect(const net_address_t *address)
{
	struct sockaddr_in name = to_sockaddr(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return PIMENTO_EIO;
	set_up_stream(fd);
	if (connect(fd, (struct sockaddr *)&name, sizeof(name)) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return PIMENTO_EIO;
}

int net_send_to(int fd, const net_address_t *to, const void *bytes,
		size_t length)
{
	struct sockaddr_in name = to_sockaddr(to);

	if (sendto(fd, bytes, length, MSG_NOSIGNAL | MSG_DONTWAIT,
		   (struct sockaddr *)&name, sizeof(name)) < 0)
		return PIMENTO_EIO;
	return 0;
}

int net_error(int fd)
{
	int error = 0;
	socklen_t length = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) < 0)
		return errno;
	return error;
}

ssize_t net_receive_from(int fd, uint32_t *from, void *bytes, size_t size)
{
	struct sockaddr_in name = { 0 };
	socklen_t length = sizeof(name);
	ssize_t got = recvfrom(fd, bytes, size, MSG_DONTWAIT,
			       (struct sockaddr *)&name, &length);

	*from = ntohl(name.sin_addr.s_addr);
	return got;
}

void net_reset(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}
