#ifndef EXPLAIN_H
#define EXPLAIN_H

/*
 * The story of one request out of the structured logs of any number of hosts:
 * its lines in order of time, and its cause in words.
 */

#include "strbuf.h"

typedef struct explain {
	const char *id; /* borrowed */
	char **lines; /* that name the id */
	uint32_t count;
	uint32_t capacity;
	bool out_of_memory; /* memory ran out */
} explain_t;

void explain_init(explain_t *explain, const char *id);
void explain_finish(explain_t *explain);

/* Takes a line of a log; those of other requests are passed over. */
void explain_add_line(explain_t *explain, const char *line);

/* Writes the story. Returns the number of its lines, or PIMENTO_ENOMEM. */
int explain_write(explain_t *explain, strbuf_t *text);

/*
 * What the "why" of a line means; NULL for one that is not known. The text of
 * docs/OPERATIONS.md follows this table.
 */
const char *explain_reason(const char *why);

#endif
