#ifndef HTTPC_H
#define HTTPC_H

/*
 * One HTTP/1.1 connection to a server, on the event loop. It carries one
 * request at a time. Its user connects, is told when it is open, and only then
 * commits a request to it; whether a byte of the request may have left stays
 * known until the answer or the failure. The connection may lead through a
 * tunnel of another host (tunnel.h); its user sees no difference.
 */

#include "frame.h"
#include "head.h"
#include "net.h"
#include "sendbuf.h"
#include "status_line.h"

#include <http_parser.h>

typedef struct httpc httpc_t;

typedef enum httpc_failure {
	HTTPC_UNREACHED, /* no connection was made */
	HTTPC_BROKEN, /* it ended before the answer was whole */
	HTTPC_TUNNEL_BROKEN, /* the same, and the tunnel ended, not the server */
	HTTPC_GARBLED /* bytes came that are no answer, or too many before it */
} httpc_failure_t;

/* Returns the failure's name for log output, as a static string. */
const char *httpc_failure_name(httpc_failure_t failure);

/* What the connection's user does. */
typedef struct httpc_ops {
	void (*opened)(httpc_t *conn);
	/*
	 * The head of an answer. Returns false if it is not the answer that
	 * the request waits for: it is then read over.
	 */
	bool (*head)(httpc_t *conn);
	void (*body)(httpc_t *conn, const char *bytes, size_t length);
	/* The answer is whole; the connection rests if it is reusable. */
	void (*end)(httpc_t *conn);
	/* The connection is over; it is freed after this. */
	void (*failed)(httpc_t *conn, httpc_failure_t why);
	/* It was resting and is over; it is freed after this. */
	void (*lapsed)(httpc_t *conn);
} httpc_ops_t;

typedef enum httpc_state {
	HTTPC_CONNECTING,
	HTTPC_TUNNELLING, /* waits for the peer's answer */
	HTTPC_RESTING,
	HTTPC_ASKING /* a request was sent */
} httpc_state_t;

struct httpc {
	const httpc_ops_t *ops;
	void *user; /* of whoever asks */
	void *owner; /* of whoever keeps it */
	struct ev_loop *loop;
	httpc_t *next; /* in its keeper's list */
	int fd;
	httpc_state_t state;
	ev_io reading;
	ev_io writing;
	http_parser parser;
	status_line_t status_line; /* of the answer under way */
	head_t head;
	sendbuf_t sendbuf;
	int status;
	bool sent; /* a byte of the request may have left */
	bool taking; /* the answer under way is the one waited for */
	size_t preamble; /* bytes that came before its head */
	bool ended;
	bool reusable;
	bool until_close; /* the answer ends with the connection */
	bool headless; /* the answer to HEAD has no body */
	bool in_call;
	bool dead;
	bool refused; /* unreached, as nothing listens there */
	uint32_t asked; /* requests that it has carried */
	pimento_usec_t since; /* start of connecting, resting or asking */
	pimento_usec_t begun; /* start of connecting */
	pimento_usec_t keep; /* how long the server lets it rest; 0 unknown */
	/* Through a tunnel only. */
	uint32_t via; /* the peer's address; 0: a direct connection */
	pimento_id_t via_datacentre; /* of the peer; its user's to set */
	char target
		[PIMENTO_NAME_MAX]; /* endpoint id that the tunnel leads to */
	const char *request_id; /* of the next request, for the peer's log */
	int tunnel_status; /* the peer's answer; 0: none */
	bool leaving; /* the peer stops */
	frame_reader_t frames;
};

/* Starts to connect. Returns NULL when no socket or memory can be had. */
httpc_t *httpc_open(struct ev_loop *loop, const net_address_t *address,
		    const httpc_ops_t *ops);

/*
 * The same through a tunnel of the peer at this address to the server with this
 * id.
 */
httpc_t *httpc_open_tunnel(struct ev_loop *loop, const net_address_t *peer,
			   const char *target, const httpc_ops_t *ops);

/*
 * True if bytes that were sent are not acknowledged by the next host: the path,
 * or that host, may be gone. False where the system does not tell.
 */
bool httpc_unacknowledged(const httpc_t *conn);

/*
 * Sends a request on an open connection; body may be empty. Returns false if
 * not a byte of it left: the connection is then to be closed.
 */
bool httpc_ask(httpc_t *conn, const char *head, size_t head_length,
	       const char *body, size_t body_length, bool headless);

/* Closes at once, without calling its user. */
void httpc_close(httpc_t *conn);

/* Stops or goes on reading, when the reader of the answer is slow. */
void httpc_hold(httpc_t *conn, bool hold);

#endif
