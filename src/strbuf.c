/*
 * The buffer doubles its capacity when it is full, so that appending n bytes one
 * at a time copies fewer than 2n bytes in all.
 */

#include "strbuf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 256

void strbuf_init(strbuf_t *strbuf)
{
	memset(strbuf, 0, sizeof(*strbuf));
}

void strbuf_finish(strbuf_t *strbuf)
{
	free(strbuf->bytes);
	memset(strbuf, 0, sizeof(*strbuf));
}

static bool reserve(strbuf_t *strbuf, size_t extra)
{
	size_t size = strbuf->capacity ? strbuf->capacity : INITIAL_CAPACITY;
	char *bytes;

	while (size - strbuf->length <= extra)
		size *= 2;
	if (size == strbuf->capacity)
		return true;
	bytes = realloc(strbuf->bytes, size);
	if (!bytes) {
		strbuf->out_of_memory = true;
		return false;
	}
	strbuf->bytes = bytes;
	strbuf->capacity = size;
	return true;
}

void strbuf_addf(strbuf_t *strbuf, const char *format, ...)
{
	va_list args;
	int length;

	if (strbuf->out_of_memory)
		return;
	va_start(args, format);
	length = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (length < 0 || !reserve(strbuf, (size_t)length))
		return;
	va_start(args, format);
	vsnprintf(strbuf->bytes + strbuf->length,
		  strbuf->capacity - strbuf->length, format, args);
	va_end(args);
	strbuf->length += (size_t)length;
}

void strbuf_add(strbuf_t *strbuf, const char *bytes, size_t length)
{
	if (!length || strbuf->out_of_memory || !reserve(strbuf, length))
		return;
	memcpy(strbuf->bytes + strbuf->length, bytes, length);
	strbuf->length += length;
	strbuf->bytes[strbuf->length] = '\0';
}

const char *strbuf_str(const strbuf_t *strbuf)
{
	return strbuf->bytes ? strbuf->bytes : "";
}

int strbuf_error(const strbuf_t *strbuf)
{
	return strbuf->out_of_memory ? PIMENTO_ENOMEM : PIMENTO_OK;
}
