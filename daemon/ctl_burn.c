/*
 * pimentoctl burn: the hosts' counts, merged, as a table and as a page.
 */

#include "ctl.h"
#include "ctl_http.h"

#include "../io/burn_json.h"
#include "../src/burn_page.h"

#include <getopt.h>
#include <stdio.h>
#include <time.h>

static const char usage[] =
	"usage: pimentoctl burn [--html FILE] [ADDRESS:PORT...]\n"
	"\n"
	"Asks one or more hosts how many requests of each tier were good, that\n"
	"is, answered whole while the caller still cared, and prints how fast\n"
	"each tier's error budget is used up over 5 min, 30 min, 1 h, 6 h and\n"
	"24 h. Rate 1 uses it up exactly. Name every host: each knows its own\n"
	"requests only. Without arguments it asks " CTL_DEFAULT_HOST ".\n"
	"\n"
	"States: fast (over 14.4 in the last hour and still in 5 min), slow\n"
	"(over 6 in 6 h and still in 30 min), spent (over 1 in 24 h), ok,\n"
	"idle (no request).\n"
	"\n"
	"  -o, --html FILE  write a page with plots, too\n"
	"  -h, --help       print this text\n"
	"\n"
	"Exit status: 0 every host answered, 1 some did not or the page could\n"
	"not be written, 2 wrong arguments, 3 none answered.\n";

static void ask(ctl_hosts_t *hosts, burn_reports_t *reports)
{
	for (size_t i = 0; i < hosts->count; i++) {
		strbuf_t body;

		strbuf_init(&body);
		if (!ctl_get(hosts->names[i], "/burn", &body)) {
			if (burn_json_read(reports, strbuf_str(&body),
					   body.length))
				fprintf(stderr, "%s: answer is malformed\n",
					hosts->names[i]);
			else
				hosts->answered++;
		}
		strbuf_finish(&body);
	}
}

static void time_text(char *to, size_t size)
{
	time_t now = time(NULL);
	struct tm when;

	gmtime_r(&now, &when);
	strftime(to, size, "%Y-%m-%d %H:%M UTC", &when);
}

static int write_file(const char *path, const strbuf_t *text)
{
	FILE *file = fopen(path, "w");
	bool written = file && fputs(strbuf_str(text), file) != EOF;

	if (file && fclose(file))
		written = false;
	if (!written)
		perror(path);
	return written ? CTL_SUCCESS : CTL_FAILED;
}

static int write_page(const char *path, const ctl_hosts_t *hosts,
		      const burn_reports_t *reports)
{
	char when[32];
	strbuf_t text;
	int status;

	time_text(when, sizeof(when));
	strbuf_init(&text);
	burn_write_html(reports->reports, reports->count, hosts->answered, when,
			&text);
	status = write_file(path, &text);
	strbuf_finish(&text);
	return status;
}

static void print_table(const burn_reports_t *reports)
{
	strbuf_t text;

	strbuf_init(&text);
	burn_write_table(reports->reports, reports->count, &text);
	fputs(strbuf_str(&text), stdout);
	strbuf_finish(&text);
}

static int report(ctl_hosts_t *hosts, const char *page)
{
	burn_reports_t reports;
	int status;

	if (burn_reports_init(&reports))
		return CTL_FAILED;
	ask(hosts, &reports);
	burn_reports_sort(&reports);
	status = ctl_hosts_status(hosts);
	if (hosts->answered)
		print_table(&reports);
	if (hosts->answered && page && write_page(page, hosts, &reports))
		status = CTL_FAILED;
	burn_reports_finish(&reports);
	return status;
}

int ctl_burn(int argc, char **argv)
{
	static const struct option options[] = {
		{ "html", required_argument, NULL, 'o' },
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	const char *page = NULL;
	ctl_hosts_t hosts;
	int option;
	int status;

	while ((option = getopt_long(argc, argv, "o:h", options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		if (option != 'o')
			return ctl_misused("burn");
		page = optarg;
	}
	status = ctl_hosts_init(&hosts, argc - optind, argv + optind);
	return status ? status : report(&hosts, page);
}
