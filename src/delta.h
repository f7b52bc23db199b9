#ifndef DELTA_H
#define DELTA_H

/*
 * Creates and applies binary deltas between two versions of a text, so that a
 * change of a few lines in a megabyte is sent as a few hundred bytes. Results
 * are allocated; the caller frees them.
 */

#include "../pimentoshelf.h"

/*
 * Sets *delta to a delta that turns base into text. Returns 0 or PIMENTO_ENOMEM.
 * The delta may be longer than the text if the two have little in common; the
 * caller should then send the text instead.
 */
int delta_create(const char *base, size_t base_length, const char *text,
		 size_t length, char **delta, size_t *delta_length);

/*
 * Applies a delta to base and sets *text to the result, NUL-terminated. Returns
 * 0, PIMENTO_EPARSE if the delta is malformed or refers to bytes beyond the end
 * of base, PIMENTO_ETOOBIG if the text would be longer than max bytes, or
 * PIMENTO_ENOMEM. A delta for another base may go undetected; compare digests.
 */
int delta_apply(const char *base, size_t base_length, const char *delta,
		size_t delta_length, size_t max, char **text, size_t *length);

#endif
