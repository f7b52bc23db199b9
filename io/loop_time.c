#include "loop_time.h"

#include "sys.h"
#include "trail.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>

/* Between two lines. */
#define LINE_SPACING PIMENTO_SEC

#define PEER_TEXT_BYTES (INET_ADDRSTRLEN + 6)

static pimento_usec_t longest;
static pimento_usec_t logged_at;

loop_time_t loop_time_begin(const char *who, int fd, ssize_t bytes)
{
	return (loop_time_t){
		.who = who, .fd = fd, .bytes = bytes, .begun = sys_now()
	};
}

/* The connection may have been closed meanwhile. */
static const char *peer_of(int fd, char text[PEER_TEXT_BYTES])
{
	struct sockaddr_in address = { 0 };
	socklen_t length = sizeof(address);
	char ip[INET_ADDRSTRLEN];

	if (getpeername(fd, (struct sockaddr *)&address, &length) ||
	    address.sin_family != AF_INET ||
	    !inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip)))
		return "-";
	snprintf(text, PEER_TEXT_BYTES, "%s:%u", ip, ntohs(address.sin_port));
	return text;
}

void loop_time_end(const loop_time_t *time)
{
	pimento_usec_t now = sys_now();
	pimento_usec_t span = now - time->begun;
	char peer[PEER_TEXT_BYTES];

	if (span > longest)
		longest = span;
	if (span < LOOP_TIME_LOGGED ||
	    (logged_at && now - logged_at < LINE_SPACING))
		return;
	logged_at = now;
	trail(TRAIL_STATE, "edge", "held",
	      "ms=%lld by=%s peer=%s bytes=%lld longest_ms=%lld",
	      (long long)(span / PIMENTO_MSEC), time->who,
	      peer_of(time->fd, peer), (long long)time->bytes,
	      (long long)(longest / PIMENTO_MSEC));
}

pimento_usec_t loop_time_longest(void)
{
	return longest;
}
