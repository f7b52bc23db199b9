#include "turn.h"

#include "sys.h"
#include "trail.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>

/* Lines about turns that follow each other. */
#define LINE_SPACING PIMENTO_SEC

#define PEER_TEXT_BYTES (INET_ADDRSTRLEN + 6)

static pimento_usec_t longest;
static pimento_usec_t logged_at;

turn_t turn_begin(const char *who, int fd, ssize_t bytes)
{
	return (turn_t){
		.who = who, .fd = fd, .bytes = bytes, .begun = sys_now()
	};
}

/* The turn may have closed its connection. */
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

void turn_end(const turn_t *turn)
{
	pimento_usec_t now = sys_now();
	pimento_usec_t span = now - turn->begun;
	char peer[PEER_TEXT_BYTES];

	if (span > longest)
		longest = span;
	if (span < TURN_LOGGED || (logged_at && now - logged_at < LINE_SPACING))
		return;
	logged_at = now;
	trail(TRAIL_STATE, "edge", "held",
	      "ms=%lld by=%s peer=%s bytes=%lld longest_ms=%lld",
	      (long long)(span / PIMENTO_MSEC), turn->who,
	      peer_of(turn->fd, peer), (long long)turn->bytes,
	      (long long)(longest / PIMENTO_MSEC));
}

pimento_usec_t turn_longest(void)
{
	return longest;
}
