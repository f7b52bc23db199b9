#include "status_line.h"

#define CODE_DIGITS 3

void status_line_begin(status_line_t *line)
{
	*line = (status_line_t){ .state = STATUS_LINE_VERSION };
}

static void read_byte(status_line_t *line, char byte)
{
	bool digit = byte >= '0' && byte <= '9';

	if (line->state == STATUS_LINE_VERSION) {
		if (byte == ' ')
			line->state = STATUS_LINE_CODE;
		return;
	}
	if (byte == ' ' && !line->digits)
		return;
	if (!digit) {
		line->state = STATUS_LINE_READ;
		return;
	}
	if (!line->digits)
		line->first = byte;
	if (line->digits <= CODE_DIGITS)
		line->digits++;
}

void status_line_feed(status_line_t *line, const char *bytes, size_t length)
{
	for (size_t i = 0; i < length && line->state != STATUS_LINE_READ; i++)
		read_byte(line, bytes[i]);
}

bool status_line_is_valid(const status_line_t *line)
{
	return line->state == STATUS_LINE_READ && line->digits == CODE_DIGITS &&
	       line->first >= '1' && line->first <= '5';
}

bool status_line_is_interim(const status_line_t *line)
{
	return status_line_is_valid(line) && line->first == '1';
}
