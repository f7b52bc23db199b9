/*
 * Serves callers, one ulfius thread for each. A thread takes the request in
 * (http_intake.c), hands it to the control thread, waits, and writes the answer;
 * it never decides anything itself. Pages that are no requests to an endpoint
 * are in http_pages.c.
 */

#include "http.h"
#include "http_intake.h"
#include "http_pages.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Larger bodies are never read, whatever the configuration allows. */
#define BODY_HARD_MAX ((size_t)8 * 1024 * 1024)
#define IDLE_SECONDS 120
#define STREAM_BLOCK 4096
#define DEFAULT_RETRY PIMENTO_SEC
#define RETRY_MIN_SECONDS 1

typedef struct refusal {
	int error;
	int status;
	const char *code;
} refusal_t;

static const refusal_t refusals[] = {
	{ PIMENTO_EINVAL, 400, "invalid" },
	{ PIMENTO_EPARSE, 400, "malformed" },
	{ PIMENTO_EAUTH, 401, "unauthorised" },
	{ PIMENTO_ENOTFOUND, 404, "not-found" },
	{ PIMENTO_ETOOBIG, 413, "too-big" },
	{ PIMENTO_ECLAIMED, 409, "key-in-use" },
	{ PIMENTO_ESEALED, 409, "attempt-given-up" },
	{ PIMENTO_EEXPIRED, 422, "key-expired" },
	{ PIMENTO_EMISMATCH, 422, "key-mismatch" },
	{ PIMENTO_EENDPOINT, 502, "endpoint-failed" },
	{ PIMENTO_EDEADLINE, 503, "too-late" },
	{ PIMENTO_EBUSY, 503, "busy" },
	{ PIMENTO_EFULL, 503, "full" },
	{ PIMENTO_ENOQUORUM, 503, "too-few-witnesses" },
	{ PIMENTO_EUNREACHABLE, 503, "unreachable" },
	{ PIMENTO_EUNREADY, 503, "not-ready" },
	{ PIMENTO_ELEAVING, 503, "leaving" },
};

static const refusal_t *find_refusal(int error)
{
	static const refusal_t other = { 0, 500, "internal" };

	for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		if (refusals[i].error == error)
			return &refusals[i];
	}
	return &other;
}

static void add_retry_after(struct _u_response *response, pimento_usec_t after)
{
	char text[24];
	long long seconds = (after + PIMENTO_SEC - 1) / PIMENTO_SEC;

	if (seconds < RETRY_MIN_SECONDS)
		seconds = RETRY_MIN_SECONDS;
	snprintf(text, sizeof(text), "%lld", seconds);
	u_map_put(response->map_header, "Retry-After", text);
}

void http_refuse(struct _u_response *response, int error,
		 pimento_verdict_t verdict, pimento_usec_t retry_after,
		 const char *detail)
{
	const refusal_t *refusal = find_refusal(error);
	json_t *body =
		json_pack("{s:{s:s, s:s, s:s}}", "error", "code", refusal->code,
			  "message", detail ? detail : pimento_strerror(error),
			  "verdict", pimento_verdict_name(verdict));

	ulfius_set_json_body_response(response, (unsigned)refusal->status,
				      body);
	json_decref(body);
	u_map_put(response->map_header, "Pimento-Verdict",
		  pimento_verdict_name(verdict));
	if (retry_after > 0)
		add_retry_after(response, retry_after);
}

int http_refuse_early(struct _u_response *response, int error,
		      const char *detail)
{
	bool again = find_refusal(error)->status == 503;

	http_refuse(response, error, PIMENTO_NOT_RUN, again ? DEFAULT_RETRY : 0,
		    detail);
	return U_CALLBACK_COMPLETE;
}

static void add_identity(struct _u_response *response, const call_t *call,
			 pimento_verdict_t verdict)
{
	char id[PIMENTO_REQID_TEXT_SIZE];

	pimento_reqid_format(call->id, id);
	u_map_put(response->map_header, "Pimento-Request-Id", id);
	u_map_put(response->map_header, "Pimento-Verdict",
		  pimento_verdict_name(verdict));
}

static void answer_refused(struct _u_response *response, const call_t *call)
{
	char attempt[16];

	http_refuse(response, call->error, call->verdict, call->retry_after,
		    NULL);
	add_identity(response, call, call->verdict);
	if (!call->next_attempt || call->verdict != PIMENTO_NOT_RUN)
		return;
	snprintf(attempt, sizeof(attempt), "%u", call->next_attempt);
	u_map_put(response->map_header, "Pimento-Attempt", attempt);
}

/* An endpoint that says 5xx has perhaps done part of the work. */
static pimento_verdict_t verdict_of(int status)
{
	return status >= 500 ? PIMENTO_MAY_HAVE_RUN : PIMENTO_RAN;
}

/* A caller who reads an answer, until ulfius frees it. */
typedef struct reader {
	control_t *control;
	call_t *call;
	bool ended;
	bool told; /* the refusal in mid-stream was written */
} reader_t;

/*
 * An answer is counted until its last byte was handed to the caller's
 * connection. Without that, a daemon that is stopped would end while a caller
 * on a slow line still reads, for the endpoint was done long before.
 */
static reader_t *reader_new(control_t *control, call_t *call)
{
	reader_t *reader = calloc(1, sizeof(*reader));

	if (!reader)
		return NULL;
	reader->control = control;
	reader->call = call_hold(call);
	control->answering++;
	return reader;
}

static void reader_free(reader_t *reader)
{
	reader->control->answering--;
	call_drop(reader->call);
	free(reader);
}

static ssize_t on_read_whole(void *data, uint64_t offset, char *out, size_t max)
{
	const reader_t *reader = data;
	const call_t *call = reader->call;
	size_t left = call->buffer_used - (size_t)offset;
	size_t length = left < max ? left : max;

	if (!length)
		return U_STREAM_END;
	memcpy(out, call->buffer + offset, length);
	return (ssize_t)length;
}

static void on_whole_gone(void *data)
{
	reader_free(data);
}

static void answer_whole(http_t *http, struct _u_response *response,
			 call_t *call)
{
	reader_t *reader = reader_new(http->control, call);

	if (!reader) {
		http_refuse(response, PIMENTO_ENOMEM, PIMENTO_MAY_HAVE_RUN, 0,
			    NULL);
		return;
	}
	if (call->buffer_used) {
		ulfius_set_stream_response(
			response, (unsigned)call->status, on_read_whole,
			on_whole_gone, call->buffer_used, STREAM_BLOCK, reader);
	} else {
		ulfius_set_empty_body_response(response,
					       (unsigned)call->status);
		reader_free(reader);
	}
	if (*call->answer_type)
		u_map_put(response->map_header, "Content-Type",
			  call->answer_type);
	add_identity(response, call, verdict_of(call->status));
}

/*
 * The head was sent long ago, so the verdict of a stream that cannot be
 * completed goes into a last event; the proper end mark is missing.
 */
static ssize_t write_refusal(reader_t *reader, char *out, size_t max)
{
	const call_t *call = reader->call;
	int length;

	if (reader->told)
		return U_STREAM_END;
	reader->told = true;
	reader->ended = true;
	length = snprintf(out, max,
			  "data: {\"error\":{\"code\":\"%s\",\"message\":"
			  "\"%s\",\"verdict\":\"%s\"}}\n\n",
			  find_refusal(call->error)->code,
			  pimento_strerror(call->error),
			  pimento_verdict_name(call->verdict));
	return length < (int)max ? length : (ssize_t)U_STREAM_END;
}

static ssize_t on_read(void *data, uint64_t offset, char *out, size_t max)
{
	reader_t *reader = data;
	ssize_t got = call_read(reader->call, out, max);

	(void)offset;
	if (got > 0)
		return got;
	if (got < 0)
		return write_refusal(reader, out, max);
	reader->ended = true;
	return U_STREAM_END;
}

static void on_reader_gone(void *data)
{
	reader_t *reader = data;
	pimento_event_t event = { .kind = PIMENTO_EVENT_CALLER_DISCONNECTED };

	if (!reader->ended) {
		call_leave(reader->call);
		control_event(reader->control, reader->call, &event);
	}
	reader_free(reader);
}

static void answer_stream(http_t *http, struct _u_response *response,
			  call_t *call)
{
	reader_t *reader = reader_new(http->control, call);

	if (!reader) {
		http_refuse(response, PIMENTO_ENOMEM, PIMENTO_MAY_HAVE_RUN, 0,
			    NULL);
		return;
	}
	ulfius_set_stream_response(response, (unsigned)call->status, on_read,
				   on_reader_gone, U_STREAM_SIZE_UNKNOWN,
				   STREAM_BLOCK, reader);
	u_map_put(response->map_header, "Content-Type", call->answer_type);
	add_identity(response, call, verdict_of(call->status));
}

static void answer(http_t *http, const intake_t *in,
		   struct _u_response *response)
{
	if (call_wait(in->call) == CALL_REFUSED)
		answer_refused(response, in->call);
	else if (in->call->stream)
		answer_stream(http, response, in->call);
	else
		answer_whole(http, response, in->call);
}

static int check_completion(intake_t *in)
{
	json_t *body = json_loadb(in->http->binary_body,
				  in->http->binary_body_length, 0, NULL);
	int error = json_is_object(body)
			    ? intake_model(in, body)
			    : intake_fail(in, PIMENTO_EPARSE,
					  "the body must be a JSON object");

	json_decref(body);
	return error;
}

/*
 * Checks a request and submits it. If the configuration that it was checked by
 * is replaced before the control thread accepts it, it is checked again.
 */
static int serve(http_t *http, const struct _u_request *request,
		 struct _u_response *response, int (*check)(intake_t *in))
{
	control_t *control = http->control;
	intake_t in;
	int error;

	for (;;) {
		in = (intake_t){ .http = request };
		error = intake_begin(&in, control);
		if (!error)
			error = check(&in);
		if (error)
			control->counters.callers_refused++;
		else
			error = control_submit(control, in.call, &in.request);
		if (error != PIMENTO_ESTALE)
			break;
		intake_finish(&in);
	}
	if (error)
		http_refuse_early(response, error, in.detail);
	else
		answer(http, &in, response);
	intake_finish(&in);
	return U_CALLBACK_COMPLETE;
}

static int on_completion(const struct _u_request *request,
			 struct _u_response *response, void *data)
{
	return serve(data, request, response, check_completion);
}

static int on_service(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	return serve(data, request, response, intake_service);
}

typedef struct page {
	const char *method;
	const char *path;
	int (*callback)(const struct _u_request *request,
			struct _u_response *response, void *data);
} page_t;

static const page_t pages[] = {
	{ "POST", "/v1/completions", on_completion },
	{ "POST", "/v1/chat/completions", on_completion },
	{ "POST", "/v1/keys", http_keys },
	{ "GET", "/healthz", http_health },
	{ "GET", "/status", http_status_page },
	{ "GET", "/metrics", http_metrics },
	{ "GET", "/burn", http_burn },
};

static int add_pages(http_t *http)
{
	struct _u_instance *instance = &http->instance;

	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		if (ulfius_add_endpoint_by_val(instance, pages[i].method,
					       pages[i].path, NULL, 0,
					       pages[i].callback, http) != U_OK)
			return PIMENTO_EIO;
	}
	return ulfius_set_default_endpoint(instance, on_service, http) == U_OK
		       ? PIMENTO_OK
		       : PIMENTO_EIO;
}

int http_init(http_t *http, control_t *control)
{
	const settings_t *settings = control->settings;
	struct sockaddr_in at = { .sin_family = AF_INET };

	memset(http, 0, sizeof(*http));
	http->control = control;
	at.sin_port = htons(settings->http_port);
	if (inet_pton(AF_INET, settings->address, &at.sin_addr) != 1)
		return PIMENTO_EINVAL;
	if (ulfius_init_instance(&http->instance, settings->http_port, &at,
				 NULL) != U_OK)
		return PIMENTO_EIO;
	http->instance.max_post_body_size = BODY_HARD_MAX + 1;
	http->instance.allowed_post_processor = U_POST_PROCESS_NONE;
	http->instance.timeout = IDLE_SECONDS;
	if (add_pages(http) ||
	    ulfius_start_framework(&http->instance) != U_OK) {
		ulfius_clean_instance(&http->instance);
		return PIMENTO_EIO;
	}
	http->started = true;
	return PIMENTO_OK;
}

void http_finish(http_t *http)
{
	if (!http->started)
		return;
	ulfius_stop_framework(&http->instance);
	ulfius_clean_instance(&http->instance);
	http->started = false;
}
