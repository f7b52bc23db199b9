#ifndef STATUS_LINE_H
#define STATUS_LINE_H

/*
 * The digits of an answer's status code, read off the status line. Parsers give
 * the number alone, and take "0200" for 200.
 */

#include <stdbool.h>
#include <stddef.h>

typedef enum status_line_state {
	STATUS_LINE_VERSION,
	STATUS_LINE_CODE,
	STATUS_LINE_READ
} status_line_state_t;

typedef struct status_line {
	status_line_state_t state;
	unsigned int digits;
	char first; /* digit */
} status_line_t;

/* Starts a line. Its first bytes, up to the blank, need not be fed. */
void status_line_begin(status_line_t *line);

/* Takes the next bytes; those behind the code are ignored. */
void status_line_feed(status_line_t *line, const char *bytes, size_t length);

/* True if the code has been read and is one of HTTP: three digits, 100 to 599. */
bool status_line_is_valid(const status_line_t *line);

/* True for the code of an answer that is followed by the one proper. */
bool status_line_is_interim(const status_line_t *line);

#endif
