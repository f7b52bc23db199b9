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
}

void head_clear(head_t *head)
{
	head->text.length = 0;
	head->count = 0;
	head->in_value = false;
	head->failed = false;
}

static void end_text(head_t *head)
{
	strbuf_add(&head->text, "", 1);
}

static bool grow(head_t *head)
{
	uint32_t size = head->size ? head->size * 2 : FIELDS_FIRST;
	head_field_t *grown;

	if (head->count < head->size)
		return true;
	grown = realloc(head->fields, size * sizeof(*grown));
	if (!grown)
		return false;
	head->fields = grown;
	head->size = size;
	return true;
}

static void begin_field(head_t *head)
{
	if (!grow(head)) {
		head->failed = true;
		return;
	}
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
	return head_has_token(head, "connection", name);
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
