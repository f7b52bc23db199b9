#include "outbox.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

void outbox_init(outbox_t *outbox)
{
	text_init(&outbox->text);
	outbox->sent = 0;
}

void outbox_finish(outbox_t *outbox)
{
	text_finish(&outbox->text);
}

size_t outbox_waiting(const outbox_t *outbox)
{
	return outbox->text.length - outbox->sent;
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
	return taken;
}

int outbox_write(outbox_t *outbox, int fd, const void *bytes, size_t length)
{
	ssize_t taken = 0;

	if (!outbox_waiting(outbox))
		taken = put(fd, bytes, length);
	if (taken < 0)
		return PIMENTO_EIO;
	if ((size_t)taken == length)
		return 0;
	text_add_bytes(&outbox->text, (const char *)bytes + taken,
		       length - (size_t)taken);
	return text_error(&outbox->text);
}

static void drop_sent(outbox_t *outbox)
{
	text_finish(&outbox->text);
	outbox_init(outbox);
}

int outbox_flush(outbox_t *outbox, int fd)
{
	while (outbox_waiting(outbox)) {
		ssize_t taken = put(fd, outbox->text.bytes + outbox->sent,
				    outbox_waiting(outbox));

		if (taken <= 0)
			return (int)taken;
		outbox->sent += (size_t)taken;
	}
	if (outbox->text.length)
		drop_sent(outbox);
	return 0;
}
