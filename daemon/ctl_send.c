/*
 * pimentoctl send: one request, its answer on standard output and its verdict
 * on standard error. With several entry hosts the next one is tried only where
 * the last one's verdict was "not run", because any other might make the
 * request run twice.
 */

#include "ctl.h"
#include "ctl_http.h"

#include "../io/answer_reader.h"

#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENTRIES_MAX 16
#define KEY_BYTES 512
#define VALUE_BYTES 512
#define DEFAULT_TIMEOUT_S 3600UL
#define TIMEOUT_MARGIN_S 10UL /* for a refusal that comes at the deadline */
#define ISSUE_TIMEOUT_S 5UL

static const char usage[] =
	"usage: pimentoctl send --model NAME --prompt TEXT [OPTION...]\n"
	"       pimentoctl send --path PATH [--data TEXT] [OPTION...]\n"
	"\n"
	"Sends a completion or a call to a service. Prints the answer on\n"
	"standard output, and verdict and request id on standard error. The\n"
	"account's API key is read from the environment (PIMENTO_KEY) or a\n"
	"file.\n"
	"\n"
	"  -e, --entry ADDRESS:PORT   entry host; may be given several times:\n"
	"                             the next one is tried only if the request\n"
	"                             has certainly not run\n"
	"  -f, --key-file FILE        file with the API key\n"
	"  -c, --contract NAME        kind of request, from the questionnaire\n"
	"  -d, --deadline-ms N        how long you care for the answer\n"
	"  -i, --idempotency-key KEY  your key; the same one names the same\n"
	"                             request\n"
	"  -I, --issue-key            let the entry host issue a key\n"
	"  -m, --model NAME           model to ask\n"
	"  -p, --prompt TEXT          question to the model\n"
	"  -P, --prompt-file FILE     the same from a file, - standard input\n"
	"  -t, --max-tokens N         most tokens of the answer\n"
	"  -s, --stream               print the answer as it comes\n"
	"  -a, --path PATH            path of the service's call\n"
	"  -X, --method METHOD        its method; POST if not given\n"
	"  -D, --data TEXT            its body\n"
	"      --data-file FILE       the same from a file, - standard input\n"
	"  -h, --help                 print this text\n"
	"\n"
	"Exit status: 0 whole answer, 1 refused or failed (see the verdict),\n"
	"2 wrong arguments, 3 no entry host could be reached.\n";

typedef struct order {
	const char *entries[ENTRIES_MAX];
	size_t entry_count;
	char api_key[KEY_BYTES];
	const char *contract;
	unsigned long deadline_ms;
	char idempotency_key[KEY_BYTES];
	bool issue_key;
	const char *model;
	unsigned long max_tokens;
	bool stream;
	const char *path;
	const char *method;
	ctl_file_t body; /* prompt, or body of a service call */
	bool has_body;
	char attempt[VALUE_BYTES]; /* told by the last refusal */
} order_t;

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
	outcome->status = response.status;
	keep_header(outcome->verdict, &response, "Pimento-Verdict");
	keep_header(outcome->request_id, &response, "Pimento-Request-Id");
	keep_header(outcome->retry_after, &response, "Retry-After");
	keep_header(order->attempt, &response, "Pimento-Attempt");
	if (error == U_OK)
		answer_reader_end(&reader);
	judge(outcome, &reader, error);
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
	    response.status == 200)
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

static int read_api_key(order_t *order, const char *path)
{
	const char *key = getenv("PIMENTO_KEY");
	ctl_file_t file = { NULL, 0 };
	int status = path ? ctl_read(&file, path) : CTL_SUCCESS;

	if (status)
		return status;
	if (path)
		key = file.bytes;
	if (key)
		snprintf(order->api_key, sizeof(order->api_key), "%.*s",
			 (int)strcspn(key, "\r\n"), key);
	ctl_release(&file);
	if (order->api_key[0])
		return CTL_SUCCESS;
	fputs("pimentoctl: no API key: set PIMENTO_KEY or give --key-file\n",
	      stderr);
	return CTL_USAGE;
}

static bool read_number(const char *text, unsigned long *number)
{
	char *end;

	*number = strtoul(text, &end, 10);
	if (*text >= '0' && *text <= '9' && !*end && *number)
		return true;
	fprintf(stderr, "pimentoctl: \"%s\" is no whole number above 0\n",
		text);
	return false;
}

static bool set_text(order_t *order, const char *text)
{
	ctl_release(&order->body);
	order->body.bytes = strdup(text);
	order->body.length = strlen(text);
	order->has_body = true;
	return order->body.bytes != NULL;
}

static bool set_file(order_t *order, const char *path)
{
	ctl_release(&order->body);
	order->has_body = true;
	return ctl_read(&order->body, path) == CTL_SUCCESS;
}

static bool add_entry(order_t *order, const char *entry)
{
	if (order->entry_count == ENTRIES_MAX || !ctl_is_host(entry))
		return false;
	order->entries[order->entry_count++] = entry;
	return true;
}

static bool set_key(order_t *order, const char *key)
{
	snprintf(order->idempotency_key, sizeof(order->idempotency_key), "%s",
		 key);
	return strlen(key) > 0 && strlen(key) < sizeof(order->idempotency_key);
}

enum { OPTION_DATA_FILE = 256 };

static const struct option options[] = {
	{ "entry", required_argument, NULL, 'e' },
	{ "key-file", required_argument, NULL, 'f' },
	{ "contract", required_argument, NULL, 'c' },
	{ "deadline-ms", required_argument, NULL, 'd' },
	{ "idempotency-key", required_argument, NULL, 'i' },
	{ "issue-key", no_argument, NULL, 'I' },
	{ "model", required_argument, NULL, 'm' },
	{ "prompt", required_argument, NULL, 'p' },
	{ "prompt-file", required_argument, NULL, 'P' },
	{ "max-tokens", required_argument, NULL, 't' },
	{ "stream", no_argument, NULL, 's' },
	{ "path", required_argument, NULL, 'a' },
	{ "method", required_argument, NULL, 'X' },
	{ "data", required_argument, NULL, 'D' },
	{ "data-file", required_argument, NULL, OPTION_DATA_FILE },
	{ "help", no_argument, NULL, 'h' },
	{ NULL, 0, NULL, 0 },
};

/* Stores one option; returns false if it is wrong. */
static bool set_option(order_t *order, int option, const char **key_file)
{
	switch (option) {
	case 'e':
		return add_entry(order, optarg);
	case 'f':
		*key_file = optarg;
		return true;
	case 'c':
		order->contract = optarg;
		return true;
	case 'd':
		return read_number(optarg, &order->deadline_ms);
	case 'i':
		return set_key(order, optarg);
	case 'I':
		order->issue_key = true;
		return true;
	case 'm':
		order->model = optarg;
		return true;
	case 't':
		return read_number(optarg, &order->max_tokens);
	case 's':
		order->stream = true;
		return true;
	case 'a':
		order->path = optarg;
		return optarg[0] == '/';
	case 'X':
		order->method = optarg;
		return true;
	case 'p':
	case 'D':
		return set_text(order, optarg);
	case 'P':
	case OPTION_DATA_FILE:
		return set_file(order, optarg);
	default:
		return false;
	}
}

static bool is_complete(const order_t *order)
{
	if (order->issue_key && order->idempotency_key[0])
		return false;
	if (order->model)
		return !order->path && order->has_body &&
		       !strcmp(order->method, "POST");
	return order->path && !order->stream && !order->max_tokens;
}

static int run(order_t *order, const char *key_file)
{
	int status;

	if (!is_complete(order))
		return ctl_misused("send");
	status = read_api_key(order, key_file);
	if (!status && order->issue_key)
		status = issue_key(order);
	return status ? status : send_order(order);
}

static int parse_and_run(order_t *order, int argc, char **argv)
{
	const char *key_file = NULL;
	int option;

	while ((option = getopt_long(argc, argv, "e:f:c:d:i:Im:p:P:t:sa:X:D:h",
				     options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		if (!set_option(order, option, &key_file))
			return ctl_misused("send");
	}
	if (optind != argc)
		return ctl_misused("send");
	if (!order->entry_count)
		order->entries[order->entry_count++] = CTL_DEFAULT_HOST;
	return run(order, key_file);
}

int ctl_send(int argc, char **argv)
{
	order_t order = { .method = "POST" };
	int status = parse_and_run(&order, argc, argv);

	ctl_release(&order.body);
	return status;
}
