/*
 * pimentoctl explain: one request's story out of the hosts' logs.
 */

#include "ctl.h"

#include "../src/explain.h"

#include <errno.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char usage[] =
	"usage: pimentoctl explain ID [FILE...]\n"
	"\n"
	"Prints the lines of the logs that tell of the request, in order of\n"
	"time, and its cause last. Without a file the log comes from standard\n"
	"input.\n"
	"\n"
	"  -h, --help  print this text\n"
	"\n"
	"Exit status: 0 found, 1 no line names the request, 2 a file cannot be\n"
	"read or wrong arguments.\n";

static void read_lines(explain_t *explain, FILE *file)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, file) >= 0)
		explain_add_line(explain, line);
	free(line);
}

static int read_file(explain_t *explain, const char *path)
{
	FILE *file = fopen(path, "r");

	if (!file) {
		fprintf(stderr, "pimentoctl: %s: %s\n", path, strerror(errno));
		return CTL_USAGE;
	}
	read_lines(explain, file);
	fclose(file);
	return CTL_SUCCESS;
}

static int print_story(explain_t *explain)
{
	strbuf_t text;
	int lines;

	strbuf_init(&text);
	lines = explain_write(explain, &text);
	fputs(strbuf_str(&text), stdout);
	strbuf_finish(&text);
	if (lines < 0)
		fprintf(stderr, "pimentoctl: %s\n", pimento_strerror(lines));
	else if (!lines)
		fprintf(stderr, "pimentoctl: no line names %s\n", explain->id);
	return lines > 0 ? CTL_SUCCESS : CTL_FAILED;
}

int ctl_explain(int argc, char **argv)
{
	static const struct option options[] = {
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	explain_t explain;
	int status = CTL_SUCCESS;
	int option;

	while ((option = getopt_long(argc, argv, "h", options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		return ctl_misused("explain");
	}
	if (optind == argc)
		return ctl_misused("explain");
	explain_init(&explain, argv[optind++]);
	if (optind == argc)
		read_lines(&explain, stdin);
	for (; optind < argc && !status; optind++)
		status = read_file(&explain, argv[optind]);
	if (!status)
		status = print_story(&explain);
	explain_finish(&explain);
	return status;
}
