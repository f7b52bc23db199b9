#include "sendbuf.h"

#include "window.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

void sendbuf_init(sendbuf_t *sendbuf)
{
	strbuf_init(&sendbuf->text);
	sendbuf->sent = 0;
}

void sendbuf_finish(sendbuf_t *sendbuf)
{
	strbuf_finish(&sendbuf->text);
}

size_t sendbuf_waiting(const sendbuf_t *sendbuf)
{
	return sendbuf->text.length - sendbuf->sent;
}

/* Returns bytes taken, 0 if the socket is full, or PIMENTO_EIO. */
static ssize_t put(int fd, const void *bytes, size_t length)
{
	ssize_t taken;

	do {
		taken = send(fd, bytes, length, MSG_NOSIGNAL | MSG_DONTWAIT);
	} while (taken < 0 && errno == EINTR);
	if (taken < 0)
		return errno == EAGAIN ? 0 : PIMENTO_EIO;
	window_sent(fd);
	return taken;
}

int sendbuf_write(sendbuf_t *sendbuf, int fd, const void *bytes, size_t length)
{
	ssize_t taken = 0;

	if (!sendbuf_waiting(sendbuf))
		taken = put(fd, bytes, length);
	if (taken < 0)
		return PIMENTO_EIO;
	if ((size_t)taken == length)
		return 0;
	strbuf_add(&sendbuf->text, (const char *)bytes + taken,
		   length - (size_t)taken);
	return strbuf_error(&sendbuf->text);
}

static void drop_sent(sendbuf_t *sendbuf)
{
	strbuf_finish(&sendbuf->text);
	sendbuf_init(sendbuf);
}

int sendbuf_flush(sendbuf_t *sendbuf, int fd)
{
	while (sendbuf_waiting(sendbuf)) {
		ssize_t taken = put(fd, sendbuf->text.bytes + sendbuf->sent,
				    sendbuf_waiting(sendbuf));

		if (taken <= 0)
			return (int)taken;
		sendbuf->sent += (size_t)taken;
	}
	if (sendbuf->text.length)
		drop_sent(sendbuf);
	return 0;
}
