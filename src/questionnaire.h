#ifndef QUESTIONNAIRE_H
#define QUESTIONNAIRE_H

/*
 * The questionnaire's answers: what a team says of its callers, its urgencies
 * and its endpoints, in TOML. Limits and shares are derived from it by
 * questionnaire_generate.c; nothing here tunes the system. questionnaire_template() documents each
 * question.
 */

#include "config.h"
#include "strbuf.h"

typedef struct questionnaire_tier {
	char name[PIMENTO_NAME_MAX];
	pimento_usec_t timeout; /* span for which the caller still cares */
} questionnaire_tier_t;

typedef enum questionnaire_size {
	QUESTIONNAIRE_SMALL,
	QUESTIONNAIRE_MEDIUM,
	QUESTIONNAIRE_LARGE
} questionnaire_size_t;

typedef struct questionnaire_caller {
	char name[PIMENTO_NAME_MAX];
	uint8_t key_hash[32];
	int size; /* questionnaire_size_t */
} questionnaire_caller_t;

/* How long a question or an answer is, in words that need no counting. */
typedef enum questionnaire_length {
	QUESTIONNAIRE_LINE,
	QUESTIONNAIRE_PARAGRAPH,
	QUESTIONNAIRE_PAGE,
	QUESTIONNAIRE_CHAPTER,
	QUESTIONNAIRE_THESIS,
	QUESTIONNAIRE_LENGTH_COUNT
} questionnaire_length_t;

typedef struct questionnaire_request {
	char name[PIMENTO_NAME_MAX];
	char description[200]; /* for people only */
	char target_spec[PIMENTO_NAME_MAX + 8]; /* "model:planner" */
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char method[8];
	char path[128];
	char tier[PIMENTO_NAME_MAX];
	pimento_usec_t timeout; /* 0: as long as the tier's */
	bool may_repeat;
	int prompt_length; /* questionnaire_length_t */
	int answer_length;
	bool all_callers; /* from = ["*"] */
	uint32_t caller_count;
	uint32_t *callers; /* indices */
} questionnaire_request_t;

typedef struct questionnaire_service {
	char name[PIMENTO_NAME_MAX];
	char path[64]; /* what its calls' paths begin with */
} questionnaire_service_t;

typedef struct questionnaire_endpoint {
	char name[PIMENTO_NAME_MAX];
	char datacentre[PIMENTO_NAME_MAX];
	char target_spec[PIMENTO_NAME_MAX + 8];
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char address_port[80]; /* address and port as written */
	char address[64];
	uint16_t port;
	bool checks_fencing;
	uint32_t concurrency;
	uint32_t context_tokens;
} questionnaire_endpoint_t;

typedef struct questionnaire {
	char deployment[PIMENTO_NAME_MAX];
	uint32_t tier_count;
	questionnaire_tier_t *tiers; /* the most urgent first */
	uint32_t caller_count;
	questionnaire_caller_t *callers;
	uint32_t request_count;
	questionnaire_request_t *requests;
	uint32_t service_count;
	questionnaire_service_t *services;
	uint32_t endpoint_count;
	questionnaire_endpoint_t *endpoints;
} questionnaire_t;

/* Parses and checks the answers; returns as pimento_config_parse(). */
int questionnaire_parse(questionnaire_t *questionnaire, const char *text,
			size_t length, const char *file, problems_t *problems);
void questionnaire_finish(questionnaire_t *questionnaire);

/* Tokens that a questionnaire_length_t stands for. */
uint32_t questionnaire_length_tokens(int length);

/* The commented template, itself a file of answers. */
const char *questionnaire_template(void);

/*
 * Writes the configuration that follows from the answers. The same answers
 * give the same bytes, whatever their comments, spaces and order of keys. The
 * text always passes pimento_config_parse(). Returns 0 or PIMENTO_ENOMEM.
 */
int questionnaire_generate(const questionnaire_t *questionnaire,
			   strbuf_t *text);

#endif
