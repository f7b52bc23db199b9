#ifndef ANSWERS_H
#define ANSWERS_H

/*
 * The questionnaire's answers: what a team says of its callers, its urgencies
 * and its endpoints, in TOML. Limits and shares are derived from it by
 * generate.c; nothing here tunes the system. answers_template() documents each
 * question.
 */

#include "config.h"
#include "text.h"

typedef struct answers_tier {
	char name[PIMENTO_NAME_MAX];
	pimento_usec_t until; /* span for which the caller still cares */
} answers_tier_t;

typedef enum answers_size {
	ANSWERS_SMALL,
	ANSWERS_MEDIUM,
	ANSWERS_LARGE
} answers_size_t;

typedef struct answers_caller {
	char name[PIMENTO_NAME_MAX];
	uint8_t key_hash[32];
	int size; /* answers_size_t */
} answers_caller_t;

/* How long a question or an answer is, in words that need no counting. */
typedef enum answers_length {
	ANSWERS_LINE,
	ANSWERS_PARAGRAPH,
	ANSWERS_PAGE,
	ANSWERS_CHAPTER,
	ANSWERS_THESIS,
	ANSWERS_LENGTHS
} answers_length_t;

typedef struct answers_request {
	char name[PIMENTO_NAME_MAX];
	char what[200]; /* for people only */
	char uses[PIMENTO_NAME_MAX + 8]; /* "model:planner" */
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char method[8];
	char path[128];
	char tier[PIMENTO_NAME_MAX];
	pimento_usec_t until; /* 0: as long as the tier's */
	bool may_repeat;
	int question; /* answers_length_t */
	int answer;
	bool everybody; /* from = ["*"] */
	uint32_t caller_count;
	uint32_t *callers; /* indices */
} answers_request_t;

typedef struct answers_service {
	char name[PIMENTO_NAME_MAX];
	char path[64]; /* what its calls' paths begin with */
} answers_service_t;

typedef struct answers_endpoint {
	char name[PIMENTO_NAME_MAX];
	char datacentre[PIMENTO_NAME_MAX];
	char serves[PIMENTO_NAME_MAX + 8];
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char at[80]; /* address and port as written */
	char address[64];
	uint16_t port;
	bool checks_fencing;
	uint32_t at_once;
	uint32_t context_tokens;
} answers_endpoint_t;

typedef struct answers {
	char deployment[PIMENTO_NAME_MAX];
	uint32_t tier_count;
	answers_tier_t *tiers; /* the most urgent first */
	uint32_t caller_count;
	answers_caller_t *callers;
	uint32_t request_count;
	answers_request_t *requests;
	uint32_t service_count;
	answers_service_t *services;
	uint32_t endpoint_count;
	answers_endpoint_t *endpoints;
} answers_t;

/* Parses and checks answers; returns as pimento_config_parse(). */
int answers_parse(answers_t *answers, const char *text, size_t length,
		  const char *file, problems_t *problems);
void answers_finish(answers_t *answers);

/* Tokens that an answers_length_t stands for. */
uint32_t answers_tokens(int length);

/* The commented template, itself a file of answers. */
const char *answers_template(void);

/*
 * Writes the configuration that follows from the answers. The same answers
 * give the same bytes, whatever their comments, spaces and order of keys. The
 * text always passes pimento_config_parse(). Returns 0 or PIMENTO_ENOMEM.
 */
int answers_generate(const answers_t *answers, text_t *text);

#endif
