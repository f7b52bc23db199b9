/*
 * Reads TOML tables by descriptions of their fields. The function that reads a
 * kind of field returns NULL, or the error as a sentence without storing a value;
 * file, line and key are added by fields_read(). Reading continues after an
 * error, so that all errors are reported together. That is safe because a field
 * that was not stored keeps its default and the result is discarded in the end.
 */

#include "fields.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_PATH_MAX_BYTES 128

bool fields_is_name(const char *text)
{
	size_t length = strlen(text);

	if (!length || length >= PIMENTO_NAME_MAX)
		return false;
	if (!isalnum((unsigned char)text[0]))
		return false;
	return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") ==
	       length;
}

static bool is_address(const char *text)
{
	unsigned char number[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, number) == 1 ||
	       inet_pton(AF_INET6, text, number) == 1;
}

static bool is_printable(const char *text, size_t length)
{
	for (size_t i = 0; i < length; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c < 0x20 || c == 0x7f)
			return false;
	}
	return true;
}

int fields_parse_hex32(const char *text, uint8_t bytes[32])
{
	size_t length = strlen(text);
	size_t written = 0;
	uint8_t read[32];

	if (length != 64)
		return PIMENTO_EPARSE;
	if (sodium_hex2bin(read, sizeof(read), text, length, NULL, &written,
			   NULL) ||
	    written != sizeof(read))
		return PIMENTO_EPARSE;
	memcpy(bytes, read, sizeof(read));
	return PIMENTO_OK;
}

int fields_parse_address_port(const char *text, char address[64],
			      uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	size_t length = colon ? (size_t)(colon - text) : 0;
	char host[64];
	char *end;
	unsigned long number;

	if (!length || length >= sizeof(host) ||
	    !isdigit((unsigned char)colon[1]))
		return PIMENTO_EPARSE;
	number = strtoul(colon + 1, &end, 10);
	if (*end || number < 1 || number > UINT16_MAX)
		return PIMENTO_EPARSE;
	if (text[0] == '[' && text[length - 1] == ']') {
		text++;
		length -= 2;
	} else if (memchr(text, ':', length)) {
		return PIMENTO_EPARSE;
	}
	snprintf(host, sizeof(host), "%.*s", (int)length, text);
	if (!is_address(host))
		return PIMENTO_EPARSE;
	memcpy(address, host, sizeof(host));
	*port = (uint16_t)number;
	return PIMENTO_OK;
}

/* Returns the value of a string node without control characters, else NULL. */
static const char *printable_string(const toml_node_t *node, size_t *length)
{
	const char *text;

	if (!toml_string(node, &text, length))
		return NULL;
	return is_printable(text, *length) ? text : NULL;
}

static const char *read_text(const field_t *field, const toml_node_t *node,
			     char *to)
{
	size_t length;
	const char *text = printable_string(node, &length);

	if (!text)
		return "must be a string without control characters";
	if (length < (size_t)field->min)
		return "must not be empty";
	if (length > (size_t)field->max)
		return "is too long";
	memcpy(to, text, length + 1);
	return NULL;
}

static const char *read_name(const toml_node_t *node, char *to)
{
	size_t length;
	const char *text = printable_string(node, &length);

	if (!text || !fields_is_name(text))
		return "must be a name of 1 to 47 bytes: lower-case letters, "
		       "digits, '.', '_', '-', beginning with a letter or "
		       "digit";
	memcpy(to, text, length + 1);
	return NULL;
}

static const char *read_address(const toml_node_t *node, char *to)
{
	size_t length;
	const char *text = printable_string(node, &length);

	if (!text || length >= 64 || !is_address(text))
		return "must be an IP address, such as \"127.0.0.1\"";
	memcpy(to, text, length + 1);
	return NULL;
}

static const char *read_hex32(const toml_node_t *node, uint8_t *to)
{
	size_t length;
	const char *text = printable_string(node, &length);

	if (!text || fields_parse_hex32(text, to))
		return "must be 64 hexadecimal digits";
	return NULL;
}

static const char *read_bool(const toml_node_t *node, bool *to)
{
	return toml_boolean(node, to) ? NULL : "must be true or false";
}

static void store_number(field_kind_t kind, void *to, int64_t value)
{
	switch (kind) {
	case FIELD_U8:
		*(uint8_t *)to = (uint8_t)value;
		break;
	case FIELD_U16:
		*(uint16_t *)to = (uint16_t)value;
		break;
	case FIELD_U32:
		*(uint32_t *)to = (uint32_t)value;
		break;
	case FIELD_MSEC:
		*(pimento_usec_t *)to = value * PIMENTO_MSEC;
		break;
	default:
		*(pimento_usec_t *)to = value * PIMENTO_SEC;
		break;
	}
}

static const char *read_integer(const field_t *field, const toml_node_t *node,
				void *to, char *reason, size_t size)
{
	int64_t value;

	if (!toml_integer(node, &value))
		return "must be a whole number";
	if (value < field->min || value > field->max) {
		snprintf(reason, size, "must lie between %lld and %lld",
			 (long long)field->min, (long long)field->max);
		return reason;
	}
	store_number(field->kind, to, value);
	return NULL;
}

static const char *read_double(const field_t *field, const toml_node_t *node,
			       double *to, char *reason, size_t size)
{
	double value;

	if (!toml_number(node, &value))
		return "must be a number";
	if (!(value >= (double)field->min && value <= (double)field->max)) {
		snprintf(reason, size, "must lie between %lld and %lld",
			 (long long)field->min, (long long)field->max);
		return reason;
	}
	*to = value;
	return NULL;
}

static const struct {
	const char *unit;
	pimento_usec_t usec;
} duration_units[] = {
	{ "ms", PIMENTO_MSEC },	      { "s", PIMENTO_SEC },
	{ "min", 60 * PIMENTO_SEC },  { "h", 3600 * PIMENTO_SEC },
	{ "d", 86400 * PIMENTO_SEC },
};

/* Returns the duration in microseconds, or -1 if the text is not a duration. */
static pimento_usec_t parse_duration(const char *text)
{
	char *end;
	long number;

	if (!isdigit((unsigned char)text[0]) || strlen(text) > 10)
		return -1;
	number = strtol(text, &end, 10);
	end += strspn(end, " ");
	for (size_t i = 0;
	     i < sizeof(duration_units) / sizeof(duration_units[0]); i++)
		if (!strcmp(end, duration_units[i].unit))
			return number * duration_units[i].usec;
	return -1;
}

/* Reads a duration; the field's min and max are in milliseconds. */
static const char *read_duration(const field_t *field, const toml_node_t *node,
				 pimento_usec_t *to, char *reason, size_t size)
{
	size_t length;
	const char *text = printable_string(node, &length);
	pimento_usec_t duration = text ? parse_duration(text) : -1;

	if (duration < 0)
		return "must be a duration, such as \"500ms\", \"20s\", "
		       "\"5min\", \"2h\" or \"1d\"";
	if (duration < field->min * PIMENTO_MSEC ||
	    duration > field->max * PIMENTO_MSEC) {
		snprintf(reason, size, "must lie between %lldms and %llds",
			 (long long)field->min, (long long)field->max / 1000);
		return reason;
	}
	*to = duration;
	return NULL;
}

static const char *read_choice(const field_t *field, const toml_node_t *node,
			       int *to, char *reason, size_t size)
{
	size_t length;
	const char *text = printable_string(node, &length);
	int used = snprintf(reason, size, "must be one of");

	for (int i = 0; field->choices[i]; i++) {
		if (text && !strcmp(text, field->choices[i])) {
			*to = i;
			return NULL;
		}
		if (used > 0 && (size_t)used < size)
			used += snprintf(reason + used, size - (size_t)used,
					 "%s \"%s\"", i ? "," : "",
					 field->choices[i]);
	}
	return reason;
}

static bool is_array_of(const toml_node_t *array, toml_type_t type)
{
	if (toml_type(array) != TOML_TYPE_ARRAY)
		return false;
	for (size_t i = 0; i < toml_count(array); i++)
		if (toml_type(toml_at(array, i)) != type)
			return false;
	return true;
}

static const char *read_field(const field_t *field, const toml_node_t *node,
			      void *to, char *reason, size_t size)
{
	switch (field->kind) {
	case FIELD_NAME:
		return read_name(node, to);
	case FIELD_TEXT:
		return read_text(field, node, to);
	case FIELD_ADDRESS:
		return read_address(node, to);
	case FIELD_HEX32:
		return read_hex32(node, to);
	case FIELD_BOOL:
		return read_bool(node, to);
	case FIELD_DOUBLE:
		return read_double(field, node, to, reason, size);
	case FIELD_DURATION:
		return read_duration(field, node, to, reason, size);
	case FIELD_CHOICE:
		return read_choice(field, node, to, reason, size);
	case FIELD_TABLE:
		return toml_type(node) == TOML_TYPE_TABLE ? NULL
							  : "must be a table";
	case FIELD_TABLE_ARRAY:
		return is_array_of(node, TOML_TYPE_TABLE)
			       ? NULL
			       : "must be an array of tables, written [[...]]";
	case FIELD_STRING_ARRAY:
		return is_array_of(node, TOML_TYPE_STRING)
			       ? NULL
			       : "must be an array of strings";
	default:
		return read_integer(field, node, to, reason, size);
	}
}

static void format_key_path(char *to, size_t size, const char *path,
			    const char *key)
{
	snprintf(to, size, "%s%s%s", path, path[0] ? "." : "", key);
}

typedef struct key_check {
	const fields_source_t *source;
	const char *path;
	const field_t *fields;
	size_t count;
} key_check_t;

static void reject_unknown_key(void *context, const char *key,
			       const toml_node_t *value)
{
	const key_check_t *check = context;
	char path[KEY_PATH_MAX_BYTES];

	for (size_t i = 0; i < check->count; i++)
		if (!strcmp(check->fields[i].key, key))
			return;
	format_key_path(path, sizeof(path), check->path, key);
	problems_add(check->source->problems, check->source->file,
		     toml_line(value), path, "unknown key");
}

void fields_read(const fields_source_t *source, const toml_node_t *table,
		 const char *path, const field_t *fields, size_t count,
		 void *base)
{
	key_check_t check = { source, path, fields, count };
	int table_line = path[0] ? toml_line(table) : 0;

	toml_foreach(table, reject_unknown_key, &check);
	for (size_t i = 0; i < count; i++) {
		const field_t *field = &fields[i];
		const toml_node_t *node = toml_get(table, field->key);
		const char *problem = NULL;
		char reason[160];
		char key[KEY_PATH_MAX_BYTES];

		if (node)
			problem = read_field(field, node,
					     (char *)base + field->offset,
					     reason, sizeof(reason));
		else if (field->required)
			problem = "is missing";
		if (!problem)
			continue;
		format_key_path(key, sizeof(key), path, field->key);
		problems_add(source->problems, source->file,
			     node ? toml_line(node) : table_line, key, "%s",
			     problem);
	}
}

static void format_element_path(char *to, size_t size, const char *list,
				uint32_t index)
{
	snprintf(to, size, "%s[%u]", list, index + 1);
}

static bool check_list_length(const fields_source_t *source,
			      const toml_node_t *node,
			      const fields_list_t *list, size_t length)
{
	if (length < list->min && (!node || is_array_of(node, TOML_TYPE_TABLE)))
		problems_add(source->problems, source->file, toml_line(node),
			     list->key, "at least %u must be given", list->min);
	if (length > list->max)
		problems_add(source->problems, source->file, toml_line(node),
			     list->key, "%zu given, at most %u allowed", length,
			     list->max);
	return length <= list->max;
}

int fields_read_list(const fields_source_t *source, const toml_node_t *root,
		     const fields_list_t *list, void **elements,
		     uint32_t *count)
{
	const toml_node_t *node = toml_get(root, list->key);
	size_t length =
		is_array_of(node, TOML_TYPE_TABLE) ? toml_count(node) : 0;
	char path[KEY_PATH_MAX_BYTES];
	char *element;

	*elements = NULL;
	*count = 0;
	if (!check_list_length(source, node, list, length) || !length)
		return PIMENTO_OK;
	element = calloc(length, list->element_size);
	if (!element)
		return PIMENTO_ENOMEM;
	*elements = element;
	*count = (uint32_t)length;
	for (uint32_t i = 0; i < length; i++) {
		memcpy(element, list->defaults, list->element_size);
		format_element_path(path, sizeof(path), list->key, i);
		fields_read(source, toml_at(node, i), path, list->fields,
			    list->field_count, element);
		element += list->element_size;
	}
	return PIMENTO_OK;
}

void fields_add_problem(const fields_source_t *source, const toml_node_t *root,
			const char *list, uint32_t index, const char *key,
			const char *format, ...)
{
	const toml_node_t *table = toml_at(toml_get(root, list), index);
	const toml_node_t *node = toml_get(table, key);
	char element[KEY_PATH_MAX_BYTES / 2];
	char path[KEY_PATH_MAX_BYTES];
	char reason[200];
	va_list args;

	va_start(args, format);
	vsnprintf(reason, sizeof(reason), format, args);
	va_end(args);
	format_element_path(element, sizeof(element), list, index);
	format_key_path(path, sizeof(path), element, key);
	problems_add(source->problems, source->file,
		     toml_line(node ? node : table), path, "%s", reason);
}

typedef struct indexed_text {
	const char *text;
	uint32_t index;
} indexed_text_t;

static int compare_indexed_texts(const void *left, const void *right)
{
	const indexed_text_t *a = left;
	const indexed_text_t *b = right;
	int order = strcmp(a->text, b->text);

	if (order)
		return order;
	return (a->index > b->index) - (a->index < b->index);
}

int fields_check_unique(const fields_source_t *source, const toml_node_t *root,
			const fields_list_t *list, const void *elements,
			uint32_t count, const char *key, size_t offset)
{
	indexed_text_t *sorted = calloc((size_t)count + 1, sizeof(*sorted));
	const char *element = elements;

	if (!sorted)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < count; i++) {
		sorted[i].text = element + i * list->element_size + offset;
		sorted[i].index = i;
	}
	qsort(sorted, count, sizeof(*sorted), compare_indexed_texts);
	for (uint32_t i = 1; i < count; i++) {
		if (!sorted[i].text[0] ||
		    strcmp(sorted[i].text, sorted[i - 1].text) != 0)
			continue;
		fields_add_problem(source, root, list->key, sorted[i].index,
				   key, "\"%s\" is used twice", sorted[i].text);
	}
	free(sorted);
	return PIMENTO_OK;
}
