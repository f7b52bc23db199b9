/*
 * Each token is a space and a few letters drawn from a hash of the prompt and
 * the token's index. Tokens differ in length and none needs escaping in JSON,
 * so a lost, doubled or swapped piece always shows in the whole text.
 */

#include "answer.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LETTERS_MIN 2
#define LETTERS_SPREAD 6

static size_t messages_length(const json_t *messages)
{
	size_t length = 1;
	size_t i;
	json_t *message;

	json_array_foreach(messages, i, message)
	{
		length += json_string_length(json_object_get(message, "role"));
		length +=
			json_string_length(json_object_get(message, "content"));
		length += strlen(": \n");
	}
	return length;
}

static char *messages_text(const json_t *messages)
{
	char *text = malloc(messages_length(messages));
	char *at = text;
	size_t i;
	json_t *message;

	if (!text)
		return NULL;
	*at = '\0';
	json_array_foreach(messages, i, message)
	{
		const char *role =
			json_string_value(json_object_get(message, "role"));
		const char *content =
			json_string_value(json_object_get(message, "content"));

		if (!role || !content) {
			free(text);
			return NULL;
		}
		at = stpcpy(at, role);
		at = stpcpy(at, ": ");
		at = stpcpy(at, content);
		at = stpcpy(at, "\n");
	}
	return text;
}

char *answer_prompt(const json_t *request)
{
	const json_t *messages = json_object_get(request, "messages");
	const char *prompt =
		json_string_value(json_object_get(request, "prompt"));

	if (json_is_array(messages))
		return messages_text(messages);
	return prompt ? strdup(prompt) : NULL;
}

uint32_t answer_tokens(size_t length)
{
	return (uint32_t)((length + 3) / 4);
}

uint64_t answer_seed(const char *prompt, size_t length)
{
	return XXH3_64bits(prompt, length);
}

size_t answer_piece(uint64_t seed, uint32_t index, char piece[ANSWER_PIECE_MAX])
{
	uint64_t bits = XXH3_64bits_withSeed(&index, sizeof(index), seed);
	size_t letters = LETTERS_MIN + bits % LETTERS_SPREAD;

	bits /= LETTERS_SPREAD;
	piece[0] = ' ';
	for (size_t i = 1; i <= letters; i++) {
		piece[i] = (char)('a' + bits % 26);
		bits /= 26;
	}
	piece[letters + 1] = '\0';
	return letters + 1;
}

char *answer_whole(uint64_t seed, uint32_t count, size_t *length)
{
	char *text = malloc((size_t)count * ANSWER_PIECE_MAX + 1);
	size_t at = 0;

	if (!text)
		return NULL;
	text[0] = '\0';
	for (uint32_t i = 0; i < count; i++)
		at += answer_piece(seed, i, text + at);
	if (length)
		*length = at;
	return text;
}
