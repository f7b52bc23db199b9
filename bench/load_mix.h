#ifndef LOAD_MIX_H
#define LOAD_MIX_H

/*
 * What a load consists of: kinds of request with their shares, and the making
 * of the n-th request of a kind. The same seed and number give the same
 * request, so that two runs can be compared.
 */

#include "../pimentoshelf.h"

#define LOAD_NAME_MAX 48
#define LOAD_KINDS_MAX 16

typedef struct load_kind {
	char contract[LOAD_NAME_MAX];
	char tier[LOAD_NAME_MAX];
	char model[LOAD_NAME_MAX]; /* "": a call of a plain service */
	char method[8]; /* services */
	char path[128]; /* services: with the prefix */
	uint32_t weight;
	uint32_t patience_ms;
	uint32_t prompt_tokens[2]; /* least and most */
	uint32_t answer_tokens[2];
	bool keyed; /* may not be repeated: gets an idempotency key */
} load_kind_t;

typedef struct load_mix {
	uint32_t count;
	load_kind_t kinds[LOAD_KINDS_MAX];
} load_mix_t;

/* A built-in mix by name, or a JSON file. Returns PIMENTO_OK or an error. */
int load_mix_read(load_mix_t *mix, const char *name);

/* One request, ready to be sent. */
typedef struct load_request {
	const load_kind_t *kind;
	uint32_t kind_index;
	char *body; /* NULL: none */
	char *prompt; /* as the engine sees it; NULL for services */
	size_t length; /* of the body */
	uint32_t answer_tokens;
	bool stream;
	bool chat;
} load_request_t;

/* Which kind the n-th request is of. */
uint32_t load_mix_pick(const load_mix_t *mix, uint64_t seed, uint64_t number);

/*
 * Makes the n-th request of a kind. variant changes the text, never a length.
 * Returns PIMENTO_OK or PIMENTO_ENOMEM.
 */
int load_request_init(load_request_t *request, const load_mix_t *mix,
		      uint32_t kind, uint64_t seed, uint64_t number,
		      uint32_t variant);
void load_request_finish(load_request_t *request);

#endif
