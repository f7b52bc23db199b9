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
	char text[PIMENTO_KEY_TEXT_SIZE];
	int result;
} issue_t;

static void run_issue(control_t *control, void *argument)
{
	issue_t *issue = argument;

	issue->result = pimento_host_issue_key(control->host, sys_now(),
					       sys_wall_msec(), sys_random(),
					       issue->text);
}

static json_t *issue_keys(http_t *http, json_int_t count, int *error)
{
	json_t *keys = json_array();

	*error = PIMENTO_OK;
	for (json_int_t i = 0; i < count && !*error; i++) {
		issue_t issue = { .result = PIMENTO_ELEAVING };

		control_call(http->control, run_issue, &issue);
		if (issue.result < 0)
			*error = issue.result;
		else
			json_array_append_new(keys, json_string(issue.text));
	}
	return keys;
}

int http_keys(const struct _u_request *request, struct _u_response *response,
	      void *data)
{
	http_t *http = data;
	pimento_config_t *config = control_config(http->control);
	json_t *body = json_loadb(request->binary_body,
				  request->binary_body_length, 0, NULL);
	const json_t *number = json_object_get(body, "count");
	json_int_t count =
		json_is_integer(number) ? json_integer_value(number) : 1;
	json_t *keys = NULL;
	int error = PIMENTO_OK;

	if (!config)
		error = PIMENTO_EUNREADY;
	else if (!http_account(config, request))
		error = PIMENTO_EAUTH;
	else if (count < 1 || count > KEYS_PER_CALL)
		error = PIMENTO_EINVAL;
	if (!error)
		keys = issue_keys(http, count, &error);
	json_decref(body);
	pimento_config_unref(config);
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
