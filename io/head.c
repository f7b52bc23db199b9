/*
 * All texts of a head lie in one buffer, so that a request costs two
 * allocations however many fields it has, and none on a kept connection.
 */

#include "head.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define FIELDS_FIRST 16

void head_init(head_t *head)
{
	memset(head, 0, sizeof(*head));
	strbuf_init(&head->text);
}

void head_finish(head_t *head)
{
	strbuf_finish(&head->text);
	free(head->fields);
	free(head->listed);
}

void head_clear(head_t *head)
{
	head->text.length = 0;
	head->count = 0;
	head->listed_count = 0;
	head->in_value = false;
	head->failed = false;
}

static void end_text(head_t *head)
{
	strbuf_add(&head->text, "", 1);
}

/* Makes room for one more element; NULL without memory. */
static void *grow(void *array, uint32_t count, uint32_t *size, size_t element)
{
	uint32_t larger = *size ? *size * 2 : FIELDS_FIRST;
	void *grown;

	if (count < *size)
		return array;
	grown = realloc(array, larger * element);
	if (grown)
		*size = larger;
	return grown;
}

static void begin_field(head_t *head)
{
	head_field_t *grown =
		grow(head->fields, head->count, &head->size, sizeof(*grown));

	if (!grown) {
		head->failed = true;
		return;
	}
	head->fields = grown;
	head->fields[head->count].name = (uint32_t)head->text.length;
	head->fields[head->count].value = 0;
	head->count++;
}

void head_add_name(head_t *head, const char *piece, size_t length)
{
	if (head->in_value)
		end_text(head);
	if (head->in_value || !head->count)
		begin_field(head);
	head->in_value = false;
	if (!head->failed)
		strbuf_add(&head->text, piece, length);
}

void head_add_value(head_t *head, const char *piece, size_t length)
{
	if (head->failed || !head->count)
		return;
	if (!head->in_value) {
		end_text(head);
		head->fields[head->count - 1].value =
			(uint32_t)head->text.length;
	}
	head->in_value = true;
	strbuf_add(&head->text, piece, length);
}

static void list_token(head_t *head, size_t at, size_t length)
{
	head_token_t *grown = grow(head->listed, head->listed_count,
				   &head->listed_size, sizeof(*grown));

	if (!grown) {
		head->failed = true;
		return;
	}
	head->listed = grown;
	grown[head->listed_count++] =
		(head_token_t){ (uint32_t)at, (uint32_t)length };
}

static void list_tokens(head_t *head, uint32_t value)
{
	const char *text = head->text.bytes;
	size_t at = value;

	while (text[at] && !head->failed) {
		size_t length;

		at += strspn(text + at, " \t,");
		length = strcspn(text + at, " \t,;");
		if (length)
			list_token(head, at, length);
		at += strcspn(text + at, ",");
	}
}

static int compare_names(const char *a, size_t a_length, const char *b,
			 size_t b_length)
{
	size_t shorter = a_length < b_length ? a_length : b_length;
	int order = strncasecmp(a, b, shorter);

	if (order || a_length == b_length)
		return order;
	return a_length < b_length ? -1 : 1;
}

static int compare_tokens(const void *a, const void *b, void *text)
{
	const head_token_t *first = a;
	const head_token_t *second = b;
	const char *bytes = text;

	return compare_names(bytes + first->at, first->length,
			     bytes + second->at, second->length);
}

/*
 * In order, so that a head of thousands of fields and of names in its
 * Connection fields is not searched once for each of them.
 */
static void list_connection_fields(head_t *head)
{
	for (uint32_t i = 0; i < head->count; i++)
		if (strcasecmp(head_name(head, i), "connection") == 0)
			list_tokens(head, head->fields[i].value);
	if (head->listed_count > 1)
		qsort_r(head->listed, head->listed_count, sizeof(*head->listed),
			compare_tokens, head->text.bytes);
}

static bool is_listed(const head_t *head, const char *name)
{
	uint32_t low = 0;
	uint32_t high = head->listed_count;
	size_t length = strlen(name);

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		const head_token_t *token = &head->listed[middle];
		int order = compare_names(name, length,
					  head->text.bytes + token->at,
					  token->length);

		if (!order)
			return true;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return false;
}

void head_end(head_t *head)
{
	if (head->count)
		end_text(head);
	if (head->count && !head->in_value) {
		/* a name without a value */
		head->fields[head->count - 1].value =
			(uint32_t)head->text.length;
		end_text(head);
	}
	if (strbuf_error(&head->text))
		head->failed = true;
	if (!head->failed)
		list_connection_fields(head);
}

bool head_is_token(const char *text, size_t length)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	for (size_t i = 0; i < length; i++)
		if (!isalnum((unsigned char)text[i]) &&
		    (!text[i] || !strchr(others, text[i])))
			return false;
	return length > 0;
}

bool head_is_sound(const head_t *head)
{
	for (uint32_t i = 0; i < head->count; i++) {
		const char *name = head_name(head, i);

		if (!head_is_token(name, strlen(name)))
			return false;
	}
	return true;
}

const char *head_name(const head_t *head, uint32_t index)
{
	return head->text.bytes + head->fields[index].name;
}

const char *head_value(const head_t *head, uint32_t index)
{
	return head->text.bytes + head->fields[index].value;
}

const char *head_get(const head_t *head, const char *name)
{
	for (uint32_t i = 0; i < head->count; i++)
		if (strcasecmp(head_name(head, i), name) == 0)
			return head_value(head, i);
	return NULL;
}

static bool list_has(const char *list, const char *token)
{
	size_t length = strlen(token);

	while (*list) {
		size_t span;

		list += strspn(list, " \t,");
		span = strcspn(list, " \t,;");
		if (span == length && strncasecmp(list, token, length) == 0)
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

bool head_has_token(const head_t *head, const char *name, const char *token)
{
	for (uint32_t i = 0; i < head->count; i++)
		if (strcasecmp(head_name(head, i), name) == 0 &&
		    list_has(head_value(head, i), token))
			return true;
	return false;
}

bool head_is_hop_by_hop(const head_t *head, const char *name)
{
	static const char *const names[] = {
		"connection",	      "keep-alive", "proxy-connection",
		"proxy-authenticate", "te",	    "trailer",
		"transfer-encoding",  "upgrade",    "proxy-authorization",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcasecmp(name, names[i]) == 0)
			return true;
	return is_listed(head, name);
}

bool head_number(const head_t *head, const char *name, uint64_t most,
		 uint64_t *number)
{
	const char *text = head_get(head, name);
	unsigned long long value;
	char *end;

	if (!text || *text < '0' || *text > '9')
		return false;
	value = strtoull(text, &end, 10);
	if (*end || value > most)
		return false;
	*number = value;
	return true;
}
