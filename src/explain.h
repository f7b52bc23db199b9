#ifndef EXPLAIN_H
#define EXPLAIN_H

/*
 * Traces one request through the structured logs of any number of hosts: collects
 * its log lines, orders them by time, and explains the reason of the last one.
 */

#include "strbuf.h"

typedef struct explain {
	const char *id; /* request id; owned by the caller */
	char **lines; /* copies of the request's log lines */
	uint32_t count;
	uint32_t capacity;
	bool out_of_memory; /* a line was lost; reported by explain_write() */
} explain_t;

/* id must stay valid until explain_finish(). */
void explain_init(explain_t *explain, const char *id);
void explain_finish(explain_t *explain);

/* Adds a log line if it is one of the request's; ignores all others. */
void explain_add_line(explain_t *explain, const char *line);

/*
 * Appends the request's log lines and the explanation to text; nothing if there
 * are no lines. Returns the number of log lines, or PIMENTO_ENOMEM.
 */
int explain_write(explain_t *explain, strbuf_t *text);

/*
 * Returns the meaning of the value of "why" in a log line; NULL if the value is
 * unknown. docs/OPERATIONS.md lists the same values with their meanings.
 */
const char *explain_reason(const char *why);

#endif
