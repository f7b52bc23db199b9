/*
 * pimentoctl status: what the hosts say of themselves.
 */

#include "ctl.h"
#include "ctl_http.h"

#include "../io/status_table.h"

#include <getopt.h>
#include <stdio.h>

static const char usage[] =
	"usage: pimentoctl status [ADDRESS:PORT...]\n"
	"\n"
	"Asks one or more hosts for their state and prints it: hosts with\n"
	"incarnation, state and revisions, endpoints with owner, requests\n"
	"running, limit and waiting requests by tier. Without arguments it\n"
	"asks " CTL_DEFAULT_HOST ".\n"
	"\n"
	"  -h, --help  print this text\n"
	"\n"
	"Exit status: 0 every host answered, 1 some did not, 2 wrong arguments,\n"
	"3 none did.\n";

/* Returns what the host says, or NULL after a message. */
static json_t *ask(const char *host)
{
	json_t *answer = NULL;
	strbuf_t body;

	strbuf_init(&body);
	if (!ctl_get(host, "/status", &body)) {
		answer = json_loadb(strbuf_str(&body), body.length, 0, NULL);
		if (!json_is_object(answer))
			fprintf(stderr, "%s: answer is malformed\n", host);
	}
	strbuf_finish(&body);
	if (json_is_object(answer))
		return answer;
	json_decref(answer);
	return NULL;
}

static int status_of(ctl_hosts_t *hosts)
{
	json_t *answers[CTL_HOSTS_MAX];
	strbuf_t text;

	for (size_t i = 0; i < hosts->count; i++) {
		json_t *answer = ask(hosts->names[i]);

		if (answer)
			answers[hosts->answered++] = answer;
	}
	strbuf_init(&text);
	status_table(answers, hosts->answered, &text);
	fputs(strbuf_str(&text), stdout);
	strbuf_finish(&text);
	for (size_t i = 0; i < hosts->answered; i++)
		json_decref(answers[i]);
	return ctl_hosts_status(hosts);
}

int ctl_status(int argc, char **argv)
{
	static const struct option options[] = {
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	ctl_hosts_t hosts;
	int option;
	int status;

	while ((option = getopt_long(argc, argv, "h", options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		return ctl_misused("status");
	}
	status = ctl_hosts_init(&hosts, argc - optind, argv + optind);
	return status ? status : status_of(&hosts);
}
