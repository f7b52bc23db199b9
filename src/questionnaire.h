#ifndef QUESTIONNAIRE_H
#define QUESTIONNAIRE_H

/*
 * The questionnaire: a team describes its callers, the urgency of its requests
 * and its endpoints in TOML, and the configuration with its limits and shares is
 * generated from these answers. The answers hold no tuning parameters. Each
 * question is documented in the text of questionnaire_template().
 */

#include "config.h"
#include "strbuf.h"

typedef struct questionnaire_tier {
	char name[PIMENTO_NAME_MAX];
	pimento_usec_t timeout; /* default timeout of its requests */
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

/*
 * Rough length of a question or an answer, named so that a team can state it
 * without counting tokens.
 */
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
	char description[200]; /* not used by the program */
	char target_spec[PIMENTO_NAME_MAX + 8]; /* such as "model:planner" */
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char method[8];
	char path[128];
	char tier[PIMENTO_NAME_MAX];
	pimento_usec_t timeout; /* 0: the tier's timeout applies */
	bool may_repeat;
	int prompt_length; /* questionnaire_length_t */
	int answer_length; /* questionnaire_length_t */
	bool all_callers; /* from = ["*"]: every caller may send the request */
	uint32_t caller_count;
	uint32_t *callers; /* indices into questionnaire_t.callers */
} questionnaire_request_t;

typedef struct questionnaire_service {
	char name[PIMENTO_NAME_MAX];
	char path[64]; /* path prefix of its calls */
} questionnaire_service_t;

typedef struct questionnaire_endpoint {
	char name[PIMENTO_NAME_MAX];
	char datacentre[PIMENTO_NAME_MAX];
	char target_spec[PIMENTO_NAME_MAX + 8];
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	char address_port[80]; /* address and port as given */
	char address[64];
	uint16_t port;
	bool checks_fencing;
	uint32_t concurrency; /* maximum of requests in progress */
	uint32_t context_tokens; /* maximum tokens of a request; 0: no limit */
} questionnaire_endpoint_t;

typedef struct questionnaire {
	char deployment[PIMENTO_NAME_MAX];
	evacuation_t evacuated; /* data centres that get no new requests */
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

/*
 * Parses and checks the answers. Returns the same errors as
 * pimento_config_parse(); the answers then need not be finished.
 */
int questionnaire_parse(questionnaire_t *questionnaire, const char *text,
			size_t length, const char *file, problems_t *problems);
void questionnaire_finish(questionnaire_t *questionnaire);

/*
 * Number of tokens assumed for a questionnaire_length_t; 0 for any other value.
 */
uint32_t questionnaire_length_tokens(int length);

/* Returns a commented example of answers, which is itself valid. */
const char *questionnaire_template(void);

/*
 * Appends the configuration generated from the answers. Equal answers give equal
 * bytes, whatever their comments, white space and order of keys. The text is
 * always accepted by pimento_config_parse(). Returns 0 or PIMENTO_ENOMEM.
 */
int questionnaire_generate_config(const questionnaire_t *questionnaire,
				  strbuf_t *text);

#endif
