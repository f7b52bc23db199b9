#include "frame.h"

static void write_one(strbuf_t *text, frame_kind_t kind, const char *bytes,
		      size_t length)
{
	const char head[FRAME_HEAD_BYTES] = { (char)kind, (char)(length >> 8),
					      (char)(length & 0xff) };

	strbuf_add(text, head, sizeof(head));
	strbuf_add(text, bytes, length);
}

void frame_write(strbuf_t *text, frame_kind_t kind, const char *bytes,
		 size_t length)
{
	do {
		size_t part =
			length < FRAME_LENGTH_MAX ? length : FRAME_LENGTH_MAX;

		write_one(text, kind, bytes, part);
		bytes += part;
		length -= part;
	} while (length);
}

static bool read_head(frame_reader_t *reader, const char **bytes,
		      size_t *length)
{
	while (reader->head_length < FRAME_HEAD_BYTES) {
		if (!*length)
			return false;
		reader->head[reader->head_length++] = (uint8_t) * (*bytes)++;
		(*length)--;
		if (reader->head_length == FRAME_HEAD_BYTES)
			reader->left =
				(size_t)reader->head[1] << 8 | reader->head[2];
	}
	return true;
}

bool frame_read(frame_reader_t *reader, const char **bytes, size_t *length,
		frame_t *frame)
{
	size_t part;

	if (!read_head(reader, bytes, length) || (reader->left && !*length))
		return false;
	part = reader->left < *length ? reader->left : *length;
	reader->left -= part;
	*frame = (frame_t){ .kind = (frame_kind_t)reader->head[0],
			    .bytes = *bytes,
			    .length = part,
			    .ends = !reader->left };
	*bytes += part;
	*length -= part;
	if (frame->ends)
		reader->head_length = 0;
	return true;
}
