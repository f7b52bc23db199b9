#ifndef STRBUF_H
#define STRBUF_H

/*
 * A strbuf that grows. A failed allocation is remembered and reported once, at
 * the end, so that what writes a long strbuf need not check every line of it.
 */

#include "../pimentoshelf.h"

typedef struct strbuf {
	char *bytes; /* NUL-terminated; NULL while empty */
	size_t length;
	size_t capacity;
	bool out_of_memory;
} strbuf_t;

void strbuf_init(strbuf_t *strbuf);
void strbuf_finish(strbuf_t *strbuf);

/* Appends as printf() does; does nothing after a failure. */
void strbuf_addf(strbuf_t *strbuf, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Appends bytes as they are; what follows a NUL is seen by length only. */
void strbuf_add(strbuf_t *strbuf, const char *bytes, size_t length);

/* Returns the strbuf, "" while it is empty; never NULL. */
const char *strbuf_str(const strbuf_t *strbuf);

/* Returns 0, or PIMENTO_ENOMEM if any addition failed. */
int strbuf_error(const strbuf_t *strbuf);

#endif
