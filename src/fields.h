#ifndef FIELDS_H
#define FIELDS_H

/*
 * Reads TOML tables into structures by descriptions of their fields. Unknown
 * keys, missing keys, wrong types and values out of range are all detected here,
 * so that configuration, settings and questionnaire are checked alike. A key
 * that is missing leaves the value that the structure held before (its default).
 */

#include "config.h"
#include "toml.h"

/* Kinds of fields, with the C type of the value that is stored. */
typedef enum field_kind {
	FIELD_NAME, /* char[PIMENTO_NAME_MAX]: a-z 0-9 . _ - */
	FIELD_TEXT, /* char[max + 1], at least min bytes, printable */
	FIELD_ADDRESS, /* char[64]: numeric IP address */
	FIELD_HEX32, /* uint8_t[32] from 64 hexadecimal digits */
	FIELD_BOOL, /* bool */
	FIELD_U8, /* uint8_t; this and all numbers below lie in [min, max] */
	FIELD_U16,
	FIELD_U32,
	FIELD_DOUBLE, /* double */
	FIELD_MSEC, /* pimento_usec_t from an integer in milliseconds */
	FIELD_SEC, /* pimento_usec_t from an integer in seconds */
	FIELD_DURATION, /* pimento_usec_t from "20s", "5min", "2h", "1d" */
	FIELD_CHOICE, /* int: index of the string in choices */
	FIELD_TABLE, /* type checked, nothing stored; also for arrays */
	FIELD_TABLE_ARRAY,
	FIELD_STRING_ARRAY
} field_kind_t;

typedef struct field {
	const char *key;
	field_kind_t kind;
	bool required;
	size_t offset; /* of the value in the structure, in bytes */
	int64_t min;
	int64_t max;
	const char *const *choices; /* terminated by NULL */
} field_t;

/* The file that is read, and where its errors are reported. */
typedef struct fields_source {
	const char *file; /* file name shown in errors */
	problems_t *problems;
} fields_source_t;

/*
 * Reads one table into the structure at base. path is the table's name in error
 * messages, "" for the root table.
 */
void fields_read(const fields_source_t *source, const toml_node_t *table,
		 const char *path, const field_t *fields, size_t count,
		 void *base);

/* Description of an array of tables, such as [[endpoint]]. */
typedef struct fields_list {
	const char *key;
	const field_t *fields;
	size_t field_count;
	size_t element_size; /* bytes of the structure of one table */
	const void *defaults; /* initial value of each structure */
	uint32_t min; /* number of tables */
	uint32_t max;
} fields_list_t;

/*
 * Reads an array of tables into *elements, which is allocated here and freed by
 * the caller; NULL if there are no tables or too many. Returns 0, also if errors
 * were reported, or PIMENTO_ENOMEM.
 */
int fields_read_list(const fields_source_t *source, const toml_node_t *root,
		     const fields_list_t *list, void **elements,
		     uint32_t *count);

/* Reports an error at a key of the table with this index in an array. */
void fields_add_problem(const fields_source_t *source, const toml_node_t *root,
			const char *list, uint32_t index, const char *key,
			const char *format, ...)
	__attribute__((format(printf, 6, 7)));

/*
 * Reports an error for each element whose string at offset equals that of an
 * earlier element; empty strings are ignored. Returns 0, also if errors were
 * reported, or PIMENTO_ENOMEM.
 */
int fields_check_unique(const fields_source_t *source, const toml_node_t *root,
			const fields_list_t *list, const void *elements,
			uint32_t count, const char *key, size_t offset);

/* Splits "127.0.0.1:80" or "[::1]:80". Returns 0 or PIMENTO_EPARSE. */
int fields_parse_address_port(const char *text, char address[64],
			      uint16_t *port);

/* Whether the text is a valid name for a FIELD_NAME. */
bool fields_is_name(const char *text);

/* Turns 64 hexadecimal digits into 32 bytes. Returns 0 or PIMENTO_EPARSE. */
int fields_parse_hex32(const char *text, uint8_t bytes[32]);

#endif
