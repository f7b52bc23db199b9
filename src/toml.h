#ifndef TOML_H
#define TOML_H

/*
 * A C face of the TOML parser, which is a C++ library. Text goes in as a
 * string, nodes come out as read-only pointers that live as long as their
 * document. No exception crosses this face. Nesting is bounded, because the
 * library descends recursively and a hostile text could exhaust the stack.
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
	int error_line; /* 0 if not known */
	char error[160]; /* why the text was refused */
} toml_document_t;

/*
 * Parses a text, which need not be NUL-terminated. Returns 0; PIMENTO_EPARSE
 * with the reason in the document; PIMENTO_ENOMEM. After a failure there is
 * nothing to finish.
 */
int toml_parse(toml_document_t *document, const char *text, size_t length);
void toml_finish(toml_document_t *document);

/* Type, and line in the text (0 if unknown); node may be NULL. */
toml_type_t toml_type(const toml_node_t *node);
int toml_line(const toml_node_t *node);

/* Values; each returns false if the node is of another type or NULL. */
bool toml_string(const toml_node_t *node, const char **text, size_t *length);
bool toml_integer(const toml_node_t *node, int64_t *value);
bool toml_boolean(const toml_node_t *node, bool *value);
/* A whole number or a fraction. */
bool toml_number(const toml_node_t *node, double *value);

/* Elements of an array; 0 and NULL for other types. */
size_t toml_count(const toml_node_t *array);
const toml_node_t *toml_at(const toml_node_t *array, size_t index);

/* The value of a table's key; NULL if there is none. */
const toml_node_t *toml_get(const toml_node_t *table, const char *key);

/* Calls visit for each key of a table, in the order of the keys' bytes. */
typedef void toml_visit_t(void *context, const char *key,
			  const toml_node_t *value);
void toml_foreach(const toml_node_t *table, toml_visit_t *visit, void *context);

#ifdef __cplusplus
}
#endif

#endif
