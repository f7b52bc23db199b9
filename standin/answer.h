#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

/*
 * What an engine answers: a fixed function of the prompt, so that any client
 * can check a whole answer byte by byte without asking twice.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define ANSWER_PIECE_MAX 16
#define ANSWER_DEFAULT_TOKENS 16

/* Text of a request's prompt or messages; to be freed; NULL if malformed. */
char *answer_prompt(const json_t *request);

/* Tokens of a prompt: four bytes each, rounded up. */
uint32_t answer_tokens(size_t length);

uint64_t answer_seed(const char *prompt, size_t length);

/* Writes the text of one token with a NUL; returns its length. */
size_t answer_piece(uint64_t seed, uint32_t index,
		    char piece[ANSWER_PIECE_MAX]);

/* The text of count tokens from the first; to be freed. */
char *answer_whole(uint64_t seed, uint32_t count, size_t *length);

#endif
