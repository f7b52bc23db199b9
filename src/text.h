#ifndef TEXT_H
#define TEXT_H

/*
 * A text that grows. A failed allocation is remembered and reported once, at
 * the end, so that what writes a long text need not check every line of it.
 */

#include "../pimentoshelf.h"

typedef struct text {
	char *bytes; /* NUL-terminated; NULL while empty */
	size_t length;
	size_t size;
	bool failed;
} text_t;

void text_init(text_t *text);
void text_finish(text_t *text);

/* Appends as printf() does; does nothing after a failure. */
void text_add(text_t *text, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Appends bytes as they are; what follows a NUL is seen by length only. */
void text_add_bytes(text_t *text, const char *bytes, size_t length);

/* Returns the text, "" while it is empty; never NULL. */
const char *text_get(const text_t *text);

/* Returns 0, or PIMENTO_ENOMEM if any addition failed. */
int text_error(const text_t *text);

#endif
