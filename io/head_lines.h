#ifndef HEAD_LINES_H
#define HEAD_LINES_H

/*
 * Judges the head of an answer line by line, for readers over libcurl, which
 * lets status codes, names and lengths pass that are none of HTTP. All zero at
 * the start of an answer.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct head_lines {
	bool in_head; /* of the answer itself, not of an interim one */
	bool whole; /* that head was read, and is sound */
	bool has_length;
	uint64_t length; /* of the body, as it is stated */
} head_lines_t;

/*
 * Takes the next line; fields of interim answers and trailers are passed over.
 * Returns false if the line is malformed: the answer is not to be read further.
 */
bool head_lines_take(head_lines_t *lines, const char *line, size_t length);

#endif
