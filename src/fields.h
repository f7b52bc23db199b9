#ifndef FIELDS_H
#define FIELDS_H

/*
 * Reads TOML tables into structures by a description of their keys. One place
 * reports unknown keys, missing keys, wrong types and ranges, so that the
 * configuration, the settings and the questionnaire are all checked alike.
 * Defaults are what the structure holds before it is read.
 */

#include "config.h"
#include "toml.h"

typedef enum field_kind {
	FIELD_NAME, /* char[PIMENTO_NAME_MAX]: a-z 0-9 . _ - */
	FIELD_TEXT, /* char[max + 1], at least min bytes, printable */
	FIELD_ADDRESS, /* char[64]: an IP number */
	FIELD_HEX32, /* uint8_t[32] from 64 digits */
	FIELD_BOOL, /* bool */
	FIELD_U8, /* numbers lie in [min, max] */
	FIELD_U16,
	FIELD_U32,
	FIELD_DOUBLE, /* double */
	FIELD_MSEC, /* pimento_usec_t from milliseconds */
	FIELD_SEC, /* pimento_usec_t from seconds */
	FIELD_DURATION, /* pimento_usec_t from "20s", "5min", "2h", "1d" */
	FIELD_CHOICE, /* int: index in choices */
	FIELD_TABLE, /* its type only is checked here */
	FIELD_TABLE_ARRAY,
	FIELD_STRING_ARRAY
} field_kind_t;

typedef struct field {
	const char *key;
	field_kind_t kind;
	bool required;
	size_t offset;
	int64_t min;
	int64_t max;
	const char *const *choices; /* ends with NULL */
} field_t;

/* Where mistakes go, and what text they are in. */
typedef struct fields_source {
	const char *file;
	problems_t *problems;
} fields_source_t;

/* Reads one table; path names it in problems, "" for the top one. */
void fields_read(const fields_source_t *source, const toml_node_t *table,
		 const char *path, const field_t *fields, size_t count,
		 void *base);

/* A list of tables of one kind, such as [[endpoint]]. */
typedef struct fields_list {
	const char *key;
	const field_t *fields;
	size_t field_count;
	size_t element_size; /* of an element */
	const void *defaults; /* an element */
	uint32_t min;
	uint32_t max;
} fields_list_t;

/*
 * Reads a list into allocated elements, which the caller frees. Returns 0 or
 * PIMENTO_ENOMEM; *elements is NULL if there are none.
 */
int fields_read_list(const fields_source_t *source, const toml_node_t *root,
		     const fields_list_t *list, void **elements,
		     uint32_t *count);

/* Reports a mistake at one key of an element of a list. */
void fields_add_problem(const fields_source_t *source, const toml_node_t *root,
			const char *list, uint32_t index, const char *key,
			const char *format, ...)
	__attribute__((format(printf, 6, 7)));

/*
 * Reports each element whose text at offset equals that of an earlier one;
 * empty texts are passed over. Returns 0 or PIMENTO_ENOMEM.
 */
int fields_check_unique(const fields_source_t *source, const toml_node_t *root,
			const fields_list_t *list, const void *elements,
			uint32_t count, const char *key, size_t offset);

/* Splits "127.0.0.1:80" or "[::1]:80". Returns 0 or PIMENTO_EPARSE. */
int fields_parse_address_port(const char *text, char address[64],
			      uint16_t *port);

/* Whether the text is a name as FIELD_NAME wants it. */
bool fields_is_name(const char *text);

/* Turns 64 hexadecimal digits into 32 bytes. Returns 0 or PIMENTO_EPARSE. */
int fields_parse_hex32(const char *text, uint8_t bytes[32]);

#endif
