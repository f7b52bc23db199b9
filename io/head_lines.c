#include "head_lines.h"

#include "head.h"
#include "status_line.h"

#include <string.h>
#include <strings.h>

/* More would overflow. */
#define LENGTH_DIGITS_MAX 18

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
	*lines = (head_lines_t){ .in_head = !status_line_is_interim(&status) };
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

static size_t skip_blanks(const char *text, size_t length)
{
	size_t i = 0;

	while (i < length && (text[i] == ' ' || text[i] == '\t'))
		i++;
	return i;
}

/* False for what is no number, and for another one than was stated before. */
static bool take_length(head_lines_t *lines, const char *value, size_t length)
{
	size_t i = skip_blanks(value, length);
	size_t digits = i;
	uint64_t number = 0;

	for (; i < length && value[i] >= '0' && value[i] <= '9'; i++)
		number = number * 10 + (uint64_t)(value[i] - '0');
	digits = i - digits;
	i += skip_blanks(value + i, length - i);
	if (!digits || digits > LENGTH_DIGITS_MAX ||
	    !is_last(value + i, length - i))
		return false;
	if (lines->has_length && lines->length != number)
		return false;
	lines->has_length = true;
	lines->length = number;
	return true;
}

static bool take_field(head_lines_t *lines, const char *line, size_t length)
{
	static const char length_name[] = "content-length";
	const char *colon = memchr(line, ':', length);
	size_t name = colon ? (size_t)(colon - line) : 0;

	if (!head_is_token(line, name))
		return false;
	if (name != sizeof(length_name) - 1 ||
	    strncasecmp(line, length_name, name) != 0)
		return true;
	return take_length(lines, colon + 1, length - name - 1);
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
	return is_continuation(line) || take_field(lines, line, length);
}
