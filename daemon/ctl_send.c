/*
 * pimentoctl send: one request, its answer on standard output and its verdict
 * on standard error. With several entry hosts the next one is tried only where
 * the last one's verdict was "not run", because any other might make the
 * request run twice.
 */

#include "ctl.h"
#include "ctl_http.h"

#include "ctl_order.h"

#include "../io/answer_reader.h"
#include "../io/response.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_TIMEOUT_S 3600UL
#define TIMEOUT_MARGIN_S 10UL /* for a refusal that comes at the deadline */
#define ISSUE_TIMEOUT_S 5UL

/* What became of the request at one entry host. */
typedef struct outcome {
	bool reached;
	long status;
	char verdict[VALUE_BYTES];
	char request_id[VALUE_BYTES];
	char retry_after[VALUE_BYTES];
	char message[VALUE_BYTES];
	bool whole;
} outcome_t;

static void print_piece(void *context, const char *bytes, size_t length)
{
	(void)context;
	fwrite(bytes, 1, length, stdout);
	fflush(stdout);
}

static size_t on_body(void *bytes, size_t size, size_t count, void *data)
{
	size_t length = size * count;

	return answer_reader_feed(data, bytes, length) ? length : 0;
}

/* Returns the body as JSON text to be freed; NULL if it is no text. */
static char *completion_body(const order_t *order)
{
	json_t *body = json_pack("{s:s, s:s%, s:b}", "model", order->model,
				 "prompt", order->body.bytes,
				 order->body.length, "stream", order->stream);
	char *text;

	if (body && order->max_tokens)
		json_object_set_new(
			body, "max_tokens",
			json_integer((json_int_t)order->max_tokens));
	text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	json_decref(body);
	return text;
}

static void add_header(struct _u_request *request, const char *name,
		       const char *value)
{
	if (value && value[0])
		u_map_put(request->map_header, name, value);
}

static void add_key(struct _u_request *request, const order_t *order)
{
	char value[KEY_BYTES + 8];

	snprintf(value, sizeof(value), "Bearer %s", order->api_key);
	add_header(request, "Authorization", value);
}

static void add_headers(struct _u_request *request, const order_t *order)
{
	char number[24];

	add_key(request, order);
	add_header(request, "Pimento-Contract", order->contract);
	add_header(request, "Idempotency-Key", order->idempotency_key);
	add_header(request, "Pimento-Attempt", order->attempt);
	if (!order->deadline_ms)
		return;
	snprintf(number, sizeof(number), "%lu", order->deadline_ms);
	add_header(request, "Pimento-Deadline-Ms", number);
}

static unsigned long timeout_of(const order_t *order)
{
	if (!order->deadline_ms)
		return DEFAULT_TIMEOUT_S;
	return order->deadline_ms / 1000 + TIMEOUT_MARGIN_S;
}

static void add_call(struct _u_request *request, const order_t *order,
		     const char *entry, const char *body, size_t length)
{
	char url[2 * VALUE_BYTES];

	snprintf(url, sizeof(url), "http://%s%s", entry,
		 order->path ? order->path : "/v1/completions");
	ulfius_set_request_properties(request, U_OPT_HTTP_VERB, order->method,
				      U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
				      timeout_of(order), U_OPT_NONE);
	if (length)
		ulfius_set_binary_body_request(request, body, length);
	if (order->model)
		add_header(request, "Content-Type", "application/json");
	add_headers(request, order);
}

static void keep_header(char to[VALUE_BYTES], const struct _u_response *from,
			const char *name)
{
	const char *value = u_map_get_case(from->map_header, name);

	snprintf(to, VALUE_BYTES, "%s", value ? value : "");
}

/*
 * A stream's head says "ran" before all of it has come; one that was cut, or
 * whose error event says otherwise, is judged by that.
 */
static void judge(outcome_t *outcome, const answer_reader_t *reader, int error)
{
	outcome->whole = error == U_OK && reader->done && !reader->failed &&
			 !reader->verdict[0];
	if (reader->verdict[0])
		snprintf(outcome->verdict, VALUE_BYTES, "%s", reader->verdict);
	else if (!outcome->verdict[0] || !outcome->whole)
		snprintf(outcome->verdict, VALUE_BYTES, "%s",
			 pimento_verdict_name(PIMENTO_MAY_HAVE_RUN));
	snprintf(outcome->message, VALUE_BYTES, "%s", reader->message);
	if (!outcome->whole && !outcome->message[0])
		snprintf(outcome->message, VALUE_BYTES,
			 "the answer is not whole");
}

/* What an answer says whose head is none of HTTP is not believed. */
static void judge_malformed(outcome_t *outcome)
{
	snprintf(outcome->verdict, VALUE_BYTES, "%s",
		 pimento_verdict_name(PIMENTO_MAY_HAVE_RUN));
	snprintf(outcome->message, VALUE_BYTES, "the answer is malformed");
}

static void keep_headers(order_t *order, const struct _u_response *response,
			 outcome_t *outcome)
{
	outcome->status = response->status;
	keep_header(outcome->verdict, response, "Pimento-Verdict");
	keep_header(outcome->request_id, response, "Pimento-Request-Id");
	keep_header(outcome->retry_after, response, "Retry-After");
	keep_header(order->attempt, response, "Pimento-Attempt");
}

static void perform(order_t *order, const char *entry, const char *body,
		    size_t length, outcome_t *outcome)
{
	struct _u_request request;
	struct _u_response response;
	answer_reader_t reader;
	int error;

	ulfius_init_request(&request);
	ulfius_init_response(&response);
	answer_reader_init(&reader, order->stream, print_piece, NULL);
	add_call(&request, order, entry, body, length);
	error = ulfius_send_http_streaming_request(&request, &response, on_body,
						   &reader);
	if (error == U_OK && !response_is_sound(&response)) {
		judge_malformed(outcome);
	} else {
		keep_headers(order, &response, outcome);
		if (error == U_OK)
			answer_reader_end(&reader);
		judge(outcome, &reader, error);
	}
	answer_reader_finish(&reader);
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
}

/* Nothing of the request has left this process. */
static void not_sent(outcome_t *outcome, const char *reason)
{
	snprintf(outcome->verdict, VALUE_BYTES, "%s",
		 pimento_verdict_name(PIMENTO_NOT_RUN));
	snprintf(outcome->message, VALUE_BYTES, "%s", reason);
}

static void try_completion(order_t *order, const char *entry,
			   outcome_t *outcome)
{
	char *body = completion_body(order);

	if (body)
		perform(order, entry, body, strlen(body), outcome);
	else
		not_sent(outcome, "the prompt is not UTF-8");
	free(body);
}

static void try_entry(order_t *order, const char *entry, outcome_t *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	outcome->reached = ctl_reachable(entry);
	if (!outcome->reached)
		not_sent(outcome, "cannot be reached");
	else if (order->model)
		try_completion(order, entry, outcome);
	else
		perform(order, entry, order->body.bytes, order->body.length,
			outcome);
}

/* Headers come from the host; bytes that upset a terminal are replaced. */
static void print_line(const char *name, char *value)
{
	if (!value[0])
		return;
	for (char *c = value; *c; c++)
		if ((unsigned char)*c < 0x20 || *c == 0x7f)
			*c = '?';
	fprintf(stderr, "%s: %s\n", name, value);
}

static void print_outcome(const char *entry, outcome_t *outcome)
{
	/* the answer's bytes are left alone where they go into a file */
	if (outcome->status && isatty(STDOUT_FILENO))
		puts("");
	fprintf(stderr, "entry: %s\n", entry);
	if (outcome->status)
		fprintf(stderr, "status: %ld\n", outcome->status);
	print_line("request", outcome->request_id);
	print_line("reason", outcome->message);
	print_line("retry-after", outcome->retry_after);
	print_line("verdict", outcome->verdict);
}

static bool succeeded(const outcome_t *outcome)
{
	return outcome->whole && outcome->status >= 200 &&
	       outcome->status < 300;
}

/* Another host can help only if this one did not run it, and is at fault. */
static bool may_go_on(const outcome_t *outcome)
{
	if (strcmp(outcome->verdict, pimento_verdict_name(PIMENTO_NOT_RUN)) !=
	    0)
		return false;
	return !outcome->reached || outcome->status == 429 ||
	       outcome->status >= 500;
}

static int send_order(order_t *order)
{
	bool reached = false;
	outcome_t outcome;

	for (size_t i = 0; i < order->entry_count; i++) {
		try_entry(order, order->entries[i], &outcome);
		reached = reached || outcome.reached;
		print_outcome(order->entries[i], &outcome);
		if (succeeded(&outcome))
			return CTL_SUCCESS;
		if (!may_go_on(&outcome))
			return CTL_FAILED;
	}
	return reached ? CTL_FAILED : CTL_UNREACHABLE;
}

static bool keep_issued(order_t *order, const struct _u_response *response)
{
	json_t *body = json_loadb(response->binary_body,
				  response->binary_body_length, 0, NULL);
	const char *key = json_string_value(
		json_array_get(json_object_get(body, "keys"), 0));

	if (key && strlen(key) < sizeof(order->idempotency_key))
		snprintf(order->idempotency_key, sizeof(order->idempotency_key),
			 "%s", key);
	json_decref(body);
	return order->idempotency_key[0];
}

static bool issue_at(order_t *order, const char *entry)
{
	struct _u_request request;
	struct _u_response response;
	char url[VALUE_BYTES];
	bool issued = false;

	if (!ctl_reachable(entry))
		return false;
	ulfius_init_request(&request);
	ulfius_init_response(&response);
	snprintf(url, sizeof(url), "http://%s/v1/keys", entry);
	ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "POST",
				      U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
				      ISSUE_TIMEOUT_S, U_OPT_STRING_BODY,
				      "{\"count\":1}", U_OPT_NONE);
	add_header(&request, "Content-Type", "application/json");
	add_key(&request, order);
	if (ulfius_send_http_request(&request, &response) == U_OK &&
	    response_is_sound(&response) && response.status == 200)
		issued = keep_issued(order, &response);
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
	return issued;
}

/* A key that was issued but not used does no harm, so any host may do it. */
static int issue_key(order_t *order)
{
	for (size_t i = 0; i < order->entry_count; i++)
		if (issue_at(order, order->entries[i])) {
			fprintf(stderr, "key: %s\n", order->idempotency_key);
			return CTL_SUCCESS;
		}
	fprintf(stderr, "pimentoctl: no entry host issued a key\n"
			"verdict: not-run\n");
	return CTL_FAILED;
}

int ctl_send(int argc, char **argv)
{
	order_t order;
	int status = order_init(&order, argc, argv);

	if (status == CTL_SUCCESS && !order.help) {
		if (order.issue_key)
			status = issue_key(&order);
		if (!status)
			status = send_order(&order);
	}
	order_finish(&order);
	return status;
}
