#ifndef HTTPD_H
#define HTTPD_H

/*
 * An HTTP/1.1 server on the event loop. A request is read whole, bounded by
 * the limits, and handed to its user, who answers at once or later; a user may
 * also turn it away on its head, before a long body is read. Until the
 * answer is complete the server tells when the caller leaves. One request of a
 * connection is served at a time; what the caller sends ahead waits.
 */

#include "../src/host_load.h"
#include "head.h"
#include "net.h"
#include "sendbuf.h"

#include <http_parser.h>

typedef struct httpd_conn httpd_conn_t;

/* What the server's user does; the first member of the user's own struct. */
typedef struct httpd_ops {
	/*
	 * A whole request, or one that was not accepted (conn->head_only),
	 * which is to be answered at once. It stays readable until the answer
	 * is complete.
	 */
	void (*request)(httpd_conn_t *conn);
	/*
	 * Whether the rest of a request's body is read, of length bytes or, if
	 * 0, of a length that is not stated. Called for bodies that do not come
	 * with their heads. NULL: all are.
	 */
	bool (*accepts)(httpd_conn_t *conn, uint64_t length);
	/* The caller left, or the connection broke, before that. */
	void (*gone)(httpd_conn_t *conn);
	/* All that waited to be written has left. NULL: not wanted. */
	void (*written)(httpd_conn_t *conn);
} httpd_ops_t;

typedef struct httpd_limits {
	uint32_t head_bytes;
	uint32_t body_bytes;
	size_t bodies_bytes; /* of all requests together; 0: no bound */
	pimento_usec_t head_timeout; /* from a request's first byte */
	pimento_usec_t idle_timeout; /* without a byte */
	uint32_t connections;
} httpd_limits_t;

typedef struct httpd {
	const httpd_ops_t *ops;
	void *user;
	struct ev_loop *loop;
	ev_io accepting;
	httpd_limits_t limits;
	httpd_conn_t *conns;
	uint32_t count;
	size_t bodies; /* bytes of all requests' bodies */
	host_load_t load; /* its user sets the rate of the link */
	bool stopping; /* each answer ends its connection */
	/* requests to change the protocol are handed to the user too */
	bool takes_upgrades;
} httpd_t;

typedef enum httpd_state {
	HTTPD_READING, /* between requests, or in one */
	HTTPD_WAITING, /* its user owes an answer */
	HTTPD_ANSWERING, /* the answer has begun */
	HTTPD_LINGERING /* answered for good; the caller closes first */
} httpd_state_t;

struct httpd_conn {
	httpd_t *server;
	httpd_conn_t *next;
	httpd_conn_t *prev;
	int fd;
	httpd_state_t state;
	ev_io reading;
	ev_io writing;
	http_parser parser;
	strbuf_t target; /* path and query, NUL-terminated in WAITING */
	head_t head;
	strbuf_t body;
	strbuf_t ahead; /* bytes behind the request */
	sendbuf_t sendbuf;
	size_t head_bytes;
	int refusal; /* status of a request that cannot be taken; 0 */
	bool head_read; /* of the request under way */
	bool judged; /* the same: its user was asked whether it is accepted */
	bool head_only; /* it is not: the body is drained */
	uint64_t body_left; /* of a body that is accepted */
	bool at_rest; /* no byte of the next request has come */
	bool keep;
	bool chunked; /* the answer under way */
	bool until_close; /* its end is that of the connection */
	bool in_call; /* its user is being called: do not free */
	bool dead;
	uint32_t served; /* requests answered here */
	pimento_usec_t first_byte; /* of the request */
	pimento_usec_t last_byte;
	void *user;
};

/* Listens. Returns 0, or PIMENTO_EIO with errno set. */
int httpd_init(httpd_t *server, struct ev_loop *loop,
	       const net_address_t *address, const httpd_ops_t *ops,
	       const httpd_limits_t *limits);
/* Closes everything; users are told of requests that were pending. */
void httpd_finish(httpd_t *server);

/* Ends what has lasted too long; call several times a second. */
void httpd_sweep(httpd_t *server, pimento_usec_t now);

/*
 * New connections stay in the system's queue until they are resumed; their
 * requests are not read.
 */
void httpd_pause(httpd_t *server);
void httpd_resume(httpd_t *server);

/*
 * From now on each answer ends its connection. Connections at rest stay open,
 * as a request may be on its way; httpd_close_resting() closes them.
 */
void httpd_stop(httpd_t *server);
void httpd_close_resting(httpd_t *server);
/* Requests that were read and are not yet answered. */
uint32_t httpd_pending(const httpd_t *server);
/* Those that have a whole answer which has not been handed to the system. */
uint32_t httpd_unsent(const httpd_t *server);

/*
 * Takes the connection away from the server before its request is answered and
 * frees it. Returns its descriptor, which is the caller's from now on.
 */
int httpd_detach(httpd_conn_t *conn);

/*
 * An answer: begin, write as often as needed, end. fields holds whole header
 * lines. length is the body's, or HTTPD_CHUNKED. None of these fails: a broken
 * connection is told as gone, later.
 */
#define HTTPD_CHUNKED (-1)
void httpd_begin(httpd_conn_t *conn, int status, const char *fields,
		 int64_t length);
void httpd_write(httpd_conn_t *conn, const char *bytes, size_t length);
void httpd_end(httpd_conn_t *conn);
/* Breaks an answer off so that it cannot look complete. */
void httpd_abort(httpd_conn_t *conn);
/* A whole answer at once. */
void httpd_answer(httpd_conn_t *conn, int status, const char *fields,
		  const char *body, size_t length);

#endif
