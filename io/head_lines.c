#include "head_lines.h"

#include "head.h"
#include "status_line.h"

#include <string.h>

static bool is_status_line(const char *line, size_t length)
{
	static const char version[] = "HTTP/";
	size_t known = sizeof(version) - 1;

	return length >= known && memcmp(line, version, known) == 0;
}

static bool take_status_line(head_lines_t *lines, const char *line,
			     size_t length)
{
	status_line_t status;

	status_line_begin(&status);
	status_line_feed(&status, line, length);
	lines->in_head = !status_line_is_interim(&status);
	lines->whole = false;
	return status_line_is_valid(&status);
}

static bool is_last(const char *line, size_t length)
{
	return !length || *line == '\r' || *line == '\n';
}

/* A line that begins with a blank goes on with the field before it. */
static bool is_continuation(const char *line)
{
	return *line == ' ' || *line == '\t';
}

static bool is_field(const char *line, size_t length)
{
	const char *colon = memchr(line, ':', length);

	return colon && head_is_token(line, (size_t)(colon - line));
}

bool head_lines_take(head_lines_t *lines, const char *line, size_t length)
{
	if (is_status_line(line, length))
		return take_status_line(lines, line, length);
	if (!lines->in_head)
		return true;
	if (is_last(line, length)) {
		lines->in_head = false;
		lines->whole = true;
		return true;
	}
	return is_continuation(line) || is_field(line, length);
}
