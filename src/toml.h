#ifndef TOML_H
#define TOML_H

/*
 * C interface to a TOML parser that is a C++ library. Nodes are read-only
 * pointers, valid as long as their document; no exception crosses the interface.
 * The depth of nesting is limited, because the library is recursive and hostile
 * input could exhaust the stack.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct toml_node toml_node_t;

typedef enum toml_type {
	TOML_TYPE_NONE = 0,
	TOML_TYPE_STRING,
	TOML_TYPE_INTEGER,
	TOML_TYPE_FLOAT,
	TOML_TYPE_BOOLEAN,
	TOML_TYPE_TIME,
	TOML_TYPE_ARRAY,
	TOML_TYPE_TABLE
} toml_type_t;

typedef struct toml_document {
	toml_node_t *root;
	int error_line; /* line of the syntax error; 0 if unknown */
	char error[160]; /* why the text was rejected */
} toml_document_t;

/*
 * Parses a TOML text, which need not be NUL-terminated. Returns 0; PIMENTO_EPARSE
 * with the reason in document->error; or PIMENTO_ENOMEM. After an error the
 * document need not be finished.
 */
int toml_parse(toml_document_t *document, const char *text, size_t length);
void toml_finish(toml_document_t *document);

/* Type of a node, and its line in the text (0 if unknown); node may be NULL. */
toml_type_t toml_type(const toml_node_t *node);
int toml_line(const toml_node_t *node);

/*
 * Read the value of a node; each returns false if the node is NULL or of another
 * type. A string is owned by its document.
 */
bool toml_string(const toml_node_t *node, const char **text, size_t *length);
bool toml_integer(const toml_node_t *node, int64_t *value);
bool toml_boolean(const toml_node_t *node, bool *value);
/* Reads an integer or a floating-point number. */
bool toml_number(const toml_node_t *node, double *value);

/* Number of elements of an array, and one element; 0 and NULL for other types. */
size_t toml_count(const toml_node_t *array);
const toml_node_t *toml_at(const toml_node_t *array, size_t index);

/* The value of a key in a table; NULL if the table does not have the key. */
const toml_node_t *toml_get(const toml_node_t *table, const char *key);

/* Calls visit for each key of a table, sorted by the bytes of the keys. */
typedef void toml_visit_t(void *context, const char *key,
			  const toml_node_t *value);
void toml_foreach(const toml_node_t *table, toml_visit_t *visit, void *context);

#ifdef __cplusplus
}
#endif

#endif
