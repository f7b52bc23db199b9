#ifndef STANDIN_SCRIPTED_H
#define STANDIN_SCRIPTED_H

/*
 * A server inside the test process that answers requests with the bytes it was
 * given, whether they are HTTP or not, and then ends the connection or not. The
 * answers go out in the order in which requests arrive; the last one is
 * repeated.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define SCRIPTED_ANSWERS_MAX 4
#define SCRIPTED_CONNECTIONS_MAX 256 /* at a time */

/* What becomes of the connection after an answer. */
typedef enum scripted_end {
	SCRIPTED_KEEP,
	SCRIPTED_CLOSE,
	SCRIPTED_SHUT, /* says that no more comes, and reads on */
	SCRIPTED_RESET
} scripted_end_t;

typedef struct scripted_answer {
	const char *bytes; /* borrowed */
	uint32_t filler; /* bytes of body sent after them */
	scripted_end_t end;
	bool early; /* sent once the request's head is there */
	int delay_ms; /* before it is sent */
	int pause_ms; /* before the end */
	uint32_t split; /* bytes that go out ahead of the others; 0: all */
	/* more than 0: split bytes go out at a time, with this pause between */
	int piece_ms;
} scripted_answer_t;

struct scripted;

typedef struct scripted_connection {
	struct scripted *server;
	int fd; /* -1: closed */
	pthread_t thread;
} scripted_connection_t;

typedef struct scripted {
	uint16_t port;
	/* Beginning of the paths that count; others get 404. NULL: all. */
	const char *only;
	int listen_fd;
	pthread_t acceptor;
	pthread_mutex_t mutex; /* guards what follows */
	bool stopping;
	scripted_answer_t answers[SCRIPTED_ANSWERS_MAX];
	uint32_t answer_count;
	uint32_t next;
	uint32_t requests; /* since the answers were set */
	uint32_t connection_count;
	scripted_connection_t connections[SCRIPTED_CONNECTIONS_MAX];
} scripted_t;

/*
 * Listens on an address (IPv4, host byte order; port 0: any free one). Returns
 * 0, or -1.
 */
int scripted_init(scripted_t *server, uint32_t address, uint16_t port,
		  const char *only);
void scripted_finish(scripted_t *server);

void scripted_set(scripted_t *server, const scripted_answer_t *answers,
		  uint32_t count);

/* Requests that arrived since then. */
uint32_t scripted_requests(scripted_t *server);

#endif
