#include "window.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* A peer that has acknowledged nothing for this long is gone. */
#define SILENT_MS 3500
/* Between probes of a closed window; they come less and less often otherwise. */
#define PROBE_MS 1000
#ifndef TCP_RTO_MAX_MS
#define TCP_RTO_MAX_MS 44 /* Linux 6.15 */
#endif
#define RTO_MAX_DEFAULT_MS 120000

typedef struct watched {
	int fd;
	bool put_off; /* until nothing is left to send */
} watched_t;

static struct {
	watched_t *streams;
	uint32_t count;
	uint32_t size;
	bool *is_watched; /* by descriptor */
	uint32_t descriptors;
	pimento_usec_t ticked_at;
} table;

static bool reserve_descriptor(uint32_t fd)
{
	uint32_t size = fd < 32 ? 64 : fd * 2;
	bool *grown;

	if (fd < table.descriptors)
		return true;
	grown = realloc(table.is_watched, size * sizeof(*grown));
	if (!grown)
		return false;
	memset(grown + table.descriptors, 0,
	       (size - table.descriptors) * sizeof(*grown));
	table.is_watched = grown;
	table.descriptors = size;
	return true;
}

static bool reserve_stream(void)
{
	uint32_t size = table.size ? table.size * 2 : 16;
	watched_t *grown;

	if (table.count < table.size)
		return true;
	grown = realloc(table.streams, size * sizeof(*grown));
	if (!grown)
		return false;
	table.streams = grown;
	table.size = size;
	return true;
}

static void forget(uint32_t index)
{
	table.is_watched[table.streams[index].fd] = false;
	table.streams[index] = table.streams[--table.count];
}

void window_begin(int fd)
{
	if ((uint32_t)fd >= table.descriptors || !table.is_watched[fd])
		return;
	for (uint32_t i = table.count; i-- > 0;)
		if (table.streams[i].fd == fd)
			forget(i);
}

void window_sent(int fd)
{
	/* without memory the timeout of an open window stays in force */
	if (!reserve_descriptor((uint32_t)fd) || table.is_watched[fd] ||
	    !reserve_stream())
		return;
	table.streams[table.count++] = (watched_t){ .fd = fd };
	table.is_watched[fd] = true;
}

static bool set(int fd, int name, int value)
{
	return setsockopt(fd, IPPROTO_TCP, name, &value, sizeof(value)) == 0;
}

static bool read_info(int fd, struct tcp_info *info)
{
	socklen_t length = sizeof(*info);

	memset(info, 0, sizeof(*info));
	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &length) == 0;
}

/* Bytes wait in the kernel and none is under way. */
static bool is_closed(const struct tcp_info *info)
{
	return info->tcpi_notsent_bytes && !info->tcpi_unacked;
}

/* The timeout stays as it is where probes cannot be made to come regularly. */
static void put_off(watched_t *stream)
{
	if (set(stream->fd, TCP_RTO_MAX_MS, PROBE_MS))
		stream->put_off = set(stream->fd, TCP_USER_TIMEOUT, 0);
}

static void restore(watched_t *stream)
{
	if (!stream->put_off)
		return;
	(void)set(stream->fd, TCP_USER_TIMEOUT, WINDOW_OPEN_TIMEOUT_MS);
	(void)set(stream->fd, TCP_RTO_MAX_MS, RTO_MAX_DEFAULT_MS);
	stream->put_off = false;
}

/* Returns false if there is nothing more to watch. */
static bool check(watched_t *stream)
{
	struct tcp_info info;
	int unacknowledged = 0;

	if (ioctl(stream->fd, SIOCOUTQ, &unacknowledged) || !unacknowledged ||
	    !read_info(stream->fd, &info)) {
		restore(stream);
		return false;
	}
	if (!stream->put_off && is_closed(&info))
		put_off(stream);
	if (!stream->put_off || info.tcpi_last_ack_recv < SILENT_MS)
		return true;
	restore(stream);
	(void)shutdown(stream->fd, SHUT_RDWR);
	return false;
}

void window_tick(pimento_usec_t now)
{
	if (now - table.ticked_at < WINDOW_PERIOD)
		return;
	table.ticked_at = now;
	for (uint32_t i = table.count; i-- > 0;)
		if (!check(&table.streams[i]))
			forget(i);
}
