#ifndef STANDIN_CLIENT_H
#define STANDIN_CLIENT_H

/*
 * An HTTP caller on loopback for tests and for the load tool, over ulfius's
 * client. A reply that broke off keeps what had arrived.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CLIENT_HEADERS_MAX 8
#define CLIENT_VALUE_MAX 128

typedef struct client_header {
	const char *name;
	const char *value;
} client_header_t;

typedef struct client_call {
	const char *method; /* NULL: GET without a body, POST with one */
	uint16_t port;
	const char *path; /* with the query */
	client_header_t headers[CLIENT_HEADERS_MAX]; /* up to a NULL name */
	const char *body; /* NULL: none */
	size_t length; /* 0: that of the string */
	unsigned int timeout_s; /* 0: CLIENT_TIMEOUT_S */
} client_call_t;

#define CLIENT_TIMEOUT_S 30

typedef struct client_reply {
	bool whole; /* ended as HTTP says it must */
	long status; /* 0: the answer is not whole */
	char *body; /* NUL-terminated, never NULL */
	size_t length;
	char request_id[CLIENT_VALUE_MAX]; /* Pimento-Request-Id, or "" */
	char verdict[CLIENT_VALUE_MAX]; /* Pimento-Verdict, or "" */
	char retry_after[CLIENT_VALUE_MAX]; /* Retry-After, or "" */
	uint64_t revision; /* X-Revision, or 0 */
	int64_t first_us; /* span to the first byte of the body */
	int64_t total_us;
} client_reply_t;

/* Returns 0 when an HTTP answer ended properly, else -1. */
int client_call(client_reply_t *reply, const client_call_t *call);
void client_reply_finish(client_reply_t *reply);

/* The reply's body as JSON, or NULL; to be released. */
json_t *client_json(const client_reply_t *reply);

/* What a stream or a whole answer said; to be released. */
typedef struct client_answer {
	char *text;
	size_t length;
	uint32_t events; /* events with text */
	uint32_t first_id; /* of the first event */
	bool in_order; /* ids went up by one */
	bool done; /* "[DONE]" arrived, or the JSON was whole */
} client_answer_t;

/* Both return 0, or -1 if the reply is malformed. */
int client_stream_answer(client_answer_t *answer, const client_reply_t *reply);
int client_whole_answer(client_answer_t *answer, const client_reply_t *reply);
void client_answer_finish(client_answer_t *answer);

#endif
