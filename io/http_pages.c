/*
 * What is answered by this host itself: idempotency keys for callers, the
 * balancer's question, and what operators look at.
 */

#include "http_pages.h"

#include "burn_json.h"
#include "http_intake.h"
#include "status.h"
#include "sys.h"

#include <stdlib.h>
#include <string.h>

/* Keys issued in one call; each takes a turn of the control thread. */
#define KEYS_PER_CALL 64

typedef struct issue {
	uint64_t config_revision; /* that lists the caller's account */
	char text[PIMENTO_KEY_TEXT_SIZE];
	int result;
} issue_t;

static void run_issue(control_t *control, void *argument)
{
	issue_t *issue = argument;

	issue->result = pimento_host_check_config(control->host, sys_now(),
						  issue->config_revision);
	if (!issue->result)
		issue->result = pimento_host_issue_key(
			control->host, sys_now(), sys_wall_msec(), sys_random(),
			issue->text);
}

static int issue_keys(http_t *http, uint64_t config_revision, json_int_t count,
		      json_t *keys)
{
	for (json_int_t i = 0; i < count; i++) {
		issue_t issue = { .config_revision = config_revision,
				  .result = PIMENTO_ELEAVING };

		control_call(http->control, run_issue, &issue);
		if (issue.result < 0)
			return issue.result;
		json_array_append_new(keys, json_string(issue.text));
	}
	return PIMENTO_OK;
}

/* Checks the caller's account and issues keys to it. */
static int issue_for(http_t *http, const struct _u_request *request,
		     json_int_t count, json_t *keys)
{
	pimento_config_t *config = control_config(http->control);
	int error;

	json_array_clear(keys);
	if (!config)
		error = PIMENTO_EUNREADY;
	else if (!http_account(config, request))
		error = PIMENTO_EAUTH;
	else if (count < 1 || count > KEYS_PER_CALL)
		error = PIMENTO_EINVAL;
	else
		error = issue_keys(http, config->revision, count, keys);
	pimento_config_unref(config);
	return error;
}

int http_keys(const struct _u_request *request, struct _u_response *response,
	      void *data)
{
	json_t *body = json_loadb(request->binary_body,
				  request->binary_body_length, 0, NULL);
	const json_t *number = json_object_get(body, "count");
	json_int_t count =
		json_is_integer(number) ? json_integer_value(number) : 1;
	json_t *keys = json_array();
	int error;

	json_decref(body);
	do
		error = issue_for(data, request, count, keys);
	while (error == PIMENTO_ESTALE);
	if (error) {
		json_decref(keys);
		return http_refuse_early(response, error, NULL);
	}
	body = json_pack("{s:o}", "keys", keys);
	ulfius_set_json_body_response(response, 200, body);
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

int http_health(const struct _u_request *request, struct _u_response *response,
		void *data)
{
	http_t *http = data;
	const char *state = status_health(http->control);

	(void)request;
	ulfius_set_string_body_response(
		response, !strcmp(state, "serving") ? 200 : 503, state);
	return U_CALLBACK_COMPLETE;
}

int http_status_page(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	http_t *http = data;
	json_t *body = status_json(http->control);

	(void)request;
	ulfius_set_json_body_response(response, 200, body);
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

int http_metrics(const struct _u_request *request, struct _u_response *response,
		 void *data)
{
	http_t *http = data;
	char *text = status_metrics(http->control);

	(void)request;
	u_map_put(response->map_header, "Content-Type",
		  "text/plain; version=0.0.4");
	ulfius_set_string_body_response(response, 200, text ? text : "");
	free(text);
	return U_CALLBACK_COMPLETE;
}

typedef struct burn_text {
	char *text;
} burn_text_t;

static void run_burn(control_t *control, void *argument)
{
	burn_text_t *burn = argument;

	burn->text = burn_json_write(
		&control->burn, pimento_host_config(control->host), sys_now());
}

int http_burn(const struct _u_request *request, struct _u_response *response,
	      void *data)
{
	http_t *http = data;
	burn_text_t burn = { NULL };

	(void)request;
	control_call(http->control, run_burn, &burn);
	if (!burn.text)
		return http_refuse_early(response, PIMENTO_ELEAVING, NULL);
	u_map_put(response->map_header, "Content-Type", "application/json");
	ulfius_set_string_body_response(response, 200, burn.text);
	free(burn.text);
	return U_CALLBACK_COMPLETE;
}
