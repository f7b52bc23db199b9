/*
 * A text that doubles its memory when it is full, so that appending n bytes
 * copies less than 2n.
 */

#include "text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_SIZE 256

void text_init(text_t *text)
{
	memset(text, 0, sizeof(*text));
}

void text_finish(text_t *text)
{
	free(text->bytes);
	memset(text, 0, sizeof(*text));
}

static bool reserve(text_t *text, size_t more)
{
	size_t size = text->size ? text->size : FIRST_SIZE;
	char *bytes;

	while (size - text->length <= more)
		size *= 2;
	if (size == text->size)
		return true;
	bytes = realloc(text->bytes, size);
	if (!bytes) {
		text->failed = true;
		return false;
	}
	text->bytes = bytes;
	text->size = size;
	return true;
}

void text_add(text_t *text, const char *format, ...)
{
	va_list args;
	int length;

	if (text->failed)
		return;
	va_start(args, format);
	length = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (length < 0 || !reserve(text, (size_t)length))
		return;
	va_start(args, format);
	vsnprintf(text->bytes + text->length, text->size - text->length, format,
		  args);
	va_end(args);
	text->length += (size_t)length;
}

void text_add_bytes(text_t *text, const char *bytes, size_t length)
{
	if (!length || text->failed || !reserve(text, length))
		return;
	memcpy(text->bytes + text->length, bytes, length);
	text->length += length;
	text->bytes[text->length] = '\0';
}

const char *text_get(const text_t *text)
{
	return text->bytes ? text->bytes : "";
}

int text_error(const text_t *text)
{
	return text->failed ? PIMENTO_ENOMEM : PIMENTO_OK;
}
