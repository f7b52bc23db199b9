#ifndef DELTA_H
#define DELTA_H

/*
 * The difference between two texts, so that a change of a few lines in a
 * megabyte travels as a few hundred bytes. Allocates what it returns; the
 * caller frees it.
 */

#include "../pimentoshelf.h"

/*
 * Sets *delta to what turns base into text. Returns 0 or PIMENTO_ENOMEM. The
 * difference may be longer than the text itself, if they have nothing in
 * common; it is the caller's to send the text then.
 */
int delta_create(const char *base, size_t base_length, const char *text,
		 size_t length, char **delta, size_t *delta_length);

/*
 * Sets *text to what delta makes of base, NUL-terminated. Returns 0,
 * PIMENTO_EPARSE if the delta is malformed or not of this base,
 * PIMENTO_ETOOBIG if the text would be longer than max, PIMENTO_ENOMEM.
 */
int delta_apply(const char *base, size_t base_length, const char *delta,
		size_t delta_length, size_t max, char **text, size_t *length);

#endif
