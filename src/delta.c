/*
 * A delta is a sequence of operations: either copy a number of bytes from an
 * offset in the base, or insert new bytes. Both texts are split into tokens
 * after each newline or closing brace, which suits TOML and JSON alike. A hash
 * table of the base's tokens finds the offset of a token of the new text, and
 * the match is then extended byte by byte. Each text is passed over once, so the
 * time is linear in their lengths, not quadratic.
 *
 * The search may choose a poor offset to copy from, which makes a delta longer.
 * Whoever applies a delta verifies the result by the digest of the whole text.
 */

#include "delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define OP_COPY 1
#define OP_INSERT 0
#define COPY_MIN 16 /* bytes; a shorter copy operation saves nothing */
#define VARINT_BYTES_MAX 10 /* encoded uint64_t, seven bits per byte */

typedef struct buffer {
	char *bytes;
	size_t length;
	size_t capacity;
	bool failed;
} buffer_t;

typedef struct token_table {
	uint32_t *offsets; /* offset of a base token plus 1; 0: free slot */
	uint32_t mask;
} token_table_t;

static void append(buffer_t *b, const char *bytes, size_t length)
{
	size_t capacity = b->capacity ? b->capacity : 256;
	char *grown;

	while (capacity < b->length + length)
		capacity *= 2;
	if (capacity != b->capacity) {
		grown = realloc(b->bytes, capacity);
		if (!grown) {
			b->failed = true;
			return;
		}
		b->bytes = grown;
		b->capacity = capacity;
	}
	memcpy(b->bytes + b->length, bytes, length);
	b->length += length;
}

static void append_varint(buffer_t *b, uint64_t n)
{
	char bytes[VARINT_BYTES_MAX];
	size_t length = 0;

	while (n >= 0x80) {
		bytes[length++] = (char)(n | 0x80);
		n >>= 7;
	}
	bytes[length++] = (char)n;
	append(b, bytes, length);
}

static bool read_varint(const char **at, const char *end, uint64_t *n)
{
	*n = 0;
	for (unsigned int shift = 0; *at < end && shift < 63; shift += 7) {
		uint8_t byte = (uint8_t) * (*at)++;

		*n |= (uint64_t)(byte & 0x7f) << shift;
		if (!(byte & 0x80))
			return true;
	}
	return false;
}

static size_t token_length(const char *text, size_t length)
{
	size_t n = 0;

	while (n < length && text[n] != '\n' && text[n] != '}')
		n++;
	return n < length ? n + 1 : n;
}

/*
 * Returns the slot of an equal token of the base, or the free slot where the
 * token belongs.
 */
static uint32_t *token_table_find(const token_table_t *table, const char *base,
				  size_t base_length, const char *token,
				  size_t n)
{
	uint32_t i = (uint32_t)XXH3_64bits(token, n) & table->mask;

	for (; table->offsets[i]; i = (i + 1) & table->mask) {
		size_t start = table->offsets[i] - 1;

		if (base_length - start >= n && !memcmp(base + start, token, n))
			break;
	}
	return &table->offsets[i];
}

static int token_table_init(token_table_t *table, const char *base,
			    size_t length)
{
	size_t tokens = 1;
	uint32_t size = 16;

	for (size_t at = 0; at < length; tokens++)
		at += token_length(base + at, length - at);
	while (size < 2 * tokens)
		size *= 2;
	table->mask = size - 1;
	table->offsets = calloc(size, sizeof(*table->offsets));
	if (!table->offsets)
		return PIMENTO_ENOMEM;
	for (size_t at = 0; at < length;) {
		size_t n = token_length(base + at, length - at);
		uint32_t *slot =
			token_table_find(table, base, length, base + at, n);

		/* Of equal tokens, only the first one's offset is stored. */
		if (!*slot)
			*slot = (uint32_t)at + 1;
		at += n;
	}
	return PIMENTO_OK;
}

static size_t common_prefix(const char *a, size_t a_length, const char *b,
			    size_t b_length)
{
	size_t n = 0;

	while (n < a_length && n < b_length && a[n] == b[n])
		n++;
	return n;
}

static void emit_insert_op(buffer_t *b, const char *bytes, size_t length)
{
	if (!length)
		return;
	append_varint(b, (uint64_t)length << 1 | OP_INSERT);
	append(b, bytes, length);
}

static void emit_copy_op(buffer_t *b, size_t from, size_t length)
{
	append_varint(b, (uint64_t)length << 1 | OP_COPY);
	append_varint(b, from);
}

/*
 * Finds a match for the start of text in the base: sets *from to its offset and
 * returns its length. Tries the expected offset, after the end of the last
 * copy, first: if only a few tokens have changed in between, this finds the
 * right one of many equal tokens.
 */
static size_t find_base_match(const token_table_t *table, const char *base,
			      size_t base_length, const char *text,
			      size_t length, size_t expected, size_t *from)
{
	size_t n = token_length(text, length);
	size_t best = common_prefix(base + expected, base_length - expected,
				    text, length);
	uint32_t offset;
	size_t found;

	*from = expected;
	if (best >= COPY_MIN)
		return best;
	offset = *token_table_find(table, base, base_length, text, n);
	if (!offset)
		return best;
	found = common_prefix(base + offset - 1, base_length - (offset - 1),
			      text, length);
	if (found <= best)
		return best;
	*from = offset - 1;
	return found;
}

static void emit_delta_ops(buffer_t *out, const token_table_t *table,
			   const char *base, size_t base_length,
			   const char *text, size_t length)
{
	size_t pending = 0; /* start of the text not yet covered by an op */
	size_t expected = 0;
	size_t at = 0;

	while (at < length) {
		size_t from;
		size_t n = find_base_match(table, base, base_length, text + at,
					   length - at, expected, &from);

		if (n < COPY_MIN) {
			n = token_length(text + at, length - at);
			expected += token_length(base + expected,
						 base_length - expected);
			at += n;
			continue;
		}
		emit_insert_op(out, text + pending, at - pending);
		emit_copy_op(out, from, n);
		at += n;
		pending = at;
		expected = from + n;
	}
	emit_insert_op(out, text + pending, length - pending);
}

int delta_create(const char *base, size_t base_length, const char *text,
		 size_t length, char **delta, size_t *delta_length)
{
	buffer_t out = { 0 };
	token_table_t table;
	int error = token_table_init(&table, base, base_length);

	if (error)
		return error;
	append(&out, "", 0);
	emit_delta_ops(&out, &table, base, base_length, text, length);
	free(table.offsets);
	if (out.failed) {
		free(out.bytes);
		return PIMENTO_ENOMEM;
	}
	*delta = out.bytes;
	*delta_length = out.length;
	return PIMENTO_OK;
}

static int apply_op(buffer_t *out, const char *base, size_t base_length,
		    const char **at, const char *end, size_t max)
{
	uint64_t op;
	uint64_t from;

	if (!read_varint(at, end, &op))
		return PIMENTO_EPARSE;
	if (op >> 1 > max - out->length)
		return PIMENTO_ETOOBIG;
	if ((op & 1) == OP_INSERT) {
		if (op >> 1 > (uint64_t)(end - *at))
			return PIMENTO_EPARSE;
		append(out, *at, op >> 1);
		*at += op >> 1;
		return PIMENTO_OK;
	}
	if (!read_varint(at, end, &from) || from > base_length ||
	    op >> 1 > base_length - from)
		return PIMENTO_EPARSE;
	append(out, base + from, op >> 1);
	return PIMENTO_OK;
}

int delta_apply(const char *base, size_t base_length, const char *delta,
		size_t delta_length, size_t max, char **text, size_t *length)
{
	const char *end = delta + delta_length;
	buffer_t out = { 0 };
	int error = PIMENTO_OK;

	append(&out, "", 0);
	while (!error && delta < end)
		error = apply_op(&out, base, base_length, &delta, end, max);
	*length = out.length;
	append(&out, "", 1);
	if (!error && out.failed)
		error = PIMENTO_ENOMEM;
	if (error)
		free(out.bytes);
	else
		*text = out.bytes;
	return error;
}
