#ifndef HEAD_H
#define HEAD_H

/*
 * The header fields of one HTTP message, as a parser delivers them piece by
 * piece. Names compare without regard to case. All texts are NUL-terminated
 * and last until the next field is added.
 */

#include "../src/strbuf.h"

typedef struct head_field {
	uint32_t name; /* offsets into the text */
	uint32_t value;
} head_field_t;

/* A part of the text. */
typedef struct head_token {
	uint32_t at;
	uint32_t length;
} head_token_t;

typedef struct head {
	strbuf_t text;
	head_field_t *fields;
	uint32_t count;
	uint32_t size;
	/* what Connection fields name, in order, once the head has ended */
	head_token_t *listed;
	uint32_t listed_count;
	uint32_t listed_size;
	bool in_value;
	bool failed; /* memory ran out: the head is not whole */
} head_t;

void head_init(head_t *head);
void head_finish(head_t *head);
void head_clear(head_t *head); /* keeps the memory */

/* Pieces, in order; each is copied. */
void head_add_name(head_t *head, const char *piece, size_t length);
void head_add_value(head_t *head, const char *piece, size_t length);
/* After the last piece. */
void head_end(head_t *head);

/* True for what HTTP allows as the name of a field. */
bool head_is_token(const char *text, size_t length);

/*
 * True if every name is a token as HTTP defines it. The parser lets a space
 * before the colon pass; another server might read such a field as another one.
 */
bool head_is_sound(const head_t *head);

const char *head_name(const head_t *head, uint32_t index);
const char *head_value(const head_t *head, uint32_t index);
/* The first value of a name; NULL if there is none. */
const char *head_get(const head_t *head, const char *name);
/* True if the field's comma-separated list has token, in any case. */
bool head_has_token(const head_t *head, const char *name, const char *token);

/*
 * True for fields that concern one connection only and are never passed on,
 * those that the message's Connection field names included.
 */
bool head_is_hop_by_hop(const head_t *head, const char *name);

/* A value as a whole number of at most most; false if it is none. */
bool head_number(const head_t *head, const char *name, uint64_t most,
		 uint64_t *number);

#endif
