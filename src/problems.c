/*
 * Collects the errors found in a configuration text, one line each. Names and
 * values in them come from untrusted input, so control characters, which could
 * disturb a terminal or forge log lines, are replaced, and both the length of a
 * line and the number of lines are bounded.
 */

#include "config.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROBLEMS_MAX_LINES 200
#define LINE_MAX_BYTES 512

void problems_init(problems_t *problems)
{
	memset(problems, 0, sizeof(*problems));
	problems->max_lines = PROBLEMS_MAX_LINES;
}

void problems_finish(problems_t *problems)
{
	free(problems->text);
	memset(problems, 0, sizeof(*problems));
}

static void append_line(problems_t *problems, const char *line)
{
	size_t used = problems->text ? strlen(problems->text) : 0;
	size_t size = used + strlen(line) + 2;
	char *text = realloc(problems->text, size);

	if (!text)
		return;
	snprintf(text + used, size - used, "%s\n", line);
	problems->text = text;
}

static void make_printable(char *line)
{
	for (; *line; line++) {
		unsigned char c = (unsigned char)*line;

		if (c < 0x20 || c == 0x7f)
			*line = '?';
	}
}

void problems_add(problems_t *problems, const char *file, int line,
		  const char *key, const char *format, ...)
{
	char text[LINE_MAX_BYTES];
	char reason[LINE_MAX_BYTES / 2];
	char line_text[16] = "";
	va_list args;

	problems->count++;
	if (problems->count > problems->max_lines)
		return;
	va_start(args, format);
	vsnprintf(reason, sizeof(reason), format, args);
	va_end(args);
	if (line > 0)
		snprintf(line_text, sizeof(line_text), "%d:", line);
	snprintf(text, sizeof(text), "%.96s:%s %.96s: %s", file, line_text, key,
		 reason);
	make_printable(text);
	append_line(problems, text);
}
