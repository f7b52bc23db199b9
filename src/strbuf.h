#ifndef STRBUF_H
#define STRBUF_H

/*
 * A string buffer that grows as text is appended. A failed allocation is recorded
 * in the buffer, and later calls do nothing, so that a caller can append many
 * times and check once at the end by strbuf_error().
 */

#include "../pimentoshelf.h"

typedef struct strbuf {
	char *bytes; /* NUL-terminated; NULL until something is appended */
	size_t length; /* without the terminating NUL */
	size_t capacity;
	bool out_of_memory; /* an allocation failed */
} strbuf_t;

void strbuf_init(strbuf_t *strbuf);
void strbuf_finish(strbuf_t *strbuf);

/* Appends formatted text as printf() does. */
void strbuf_addf(strbuf_t *strbuf, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Appends bytes unchanged. They may include NUL: the length counts what follows,
 * but strbuf_str() as a C string ends there.
 */
void strbuf_add(strbuf_t *strbuf, const char *bytes, size_t length);

/*
 * Returns the text, "" if nothing was appended; never NULL. Valid until the next
 * append.
 */
const char *strbuf_str(const strbuf_t *strbuf);

/* Returns 0, or PIMENTO_ENOMEM if an allocation of any append failed. */
int strbuf_error(const strbuf_t *strbuf);

#endif
