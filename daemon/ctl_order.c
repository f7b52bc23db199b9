/*
 * The arguments of pimentoctl send. The API key is taken from the environment
 * or a file, never from an argument, which every user of the machine can see.
 */

#include "ctl_order.h"
#include "ctl_http.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

static bool read_varint(const char *text, unsigned long *number)
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
		return read_varint(optarg, &order->deadline_ms);
	case 'i':
		return set_key(order, optarg);
	case 'I':
		order->issue_key = true;
		return true;
	case 'm':
		order->model = optarg;
		return true;
	case 't':
		return read_varint(optarg, &order->max_tokens);
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

int order_init(order_t *order, int argc, char **argv)
{
	const char *key_file = NULL;
	int option;

	memset(order, 0, sizeof(*order));
	order->method = "POST";
	while ((option = getopt_long(argc, argv, "e:f:c:d:i:Im:p:P:t:sa:X:D:h",
				     options, NULL)) != -1) {
		if (option == 'h') {
			order->help = true;
			return ctl_help(usage);
		}
		if (!set_option(order, option, &key_file))
			return ctl_misused("send");
	}
	if (optind != argc || !is_complete(order))
		return ctl_misused("send");
	if (!order->entry_count)
		order->entries[order->entry_count++] = CTL_DEFAULT_HOST;
	return read_api_key(order, key_file);
}

void order_finish(order_t *order)
{
	ctl_release(&order->body);
}
