#ifndef HTTP_INTAKE_H
#define HTTP_INTAKE_H

/* The checks of a request, from its headers to its body. For http.c. */

#include "control.h"

#include <jansson.h>
#include <ulfius.h>

/* What a request needs on its way from check to check. */
typedef struct intake {
	const struct _u_request *http;
	pimento_config_t *config;
	const config_account_t *account;
	const config_contract_t *contract;
	call_t *call;
	pimento_request_t request;
	const char *detail; /* of a mistake */
} intake_t;

/* NULL for an unknown key; the comparison takes the same time for any. */
const config_account_t *http_account(const pimento_config_t *config,
				     const struct _u_request *request);

/*
 * The checks that come before a body is looked at; in->http is set. All four
 * return 0 or a negative error, with in->detail if a sentence is known. Each
 * intake_begin() is followed by intake_finish(), also after an error.
 */
int intake_begin(intake_t *in, control_t *control);
int intake_model(intake_t *in, const json_t *body);
int intake_service(intake_t *in);
int intake_fail(intake_t *in, int error, const char *detail);
void intake_finish(intake_t *in);

#endif
