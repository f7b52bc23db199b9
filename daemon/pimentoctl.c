/*
 * The operators' and new teams' command: finds the subcommand and hands over.
 */

#include "ctl.h"

#include <getopt.h>
#include <stdio.h>
#include <string.h>

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} commands[] = {
	{ "check", ctl_check, "check answers, a configuration or settings" },
	{ "generate", ctl_generate, "questionnaire to configuration" },
	{ "diff", ctl_diff, "what a new configuration changes for whom" },
	{ "hash-key", ctl_hash_key, "hash of an API key, for the answers" },
	{ "status", ctl_status, "hosts, endpoints, owners, waiting requests" },
	{ "send", ctl_send, "send a request, print answer and verdict" },
	{ "burn", ctl_burn, "service-level burn per tier" },
	{ "explain", ctl_explain, "one request's story out of the logs" },
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

static int print_usage(void)
{
	puts("usage: pimentoctl COMMAND [ARGUMENT...]\n");
	for (size_t i = 0; i < COMMANDS; i++)
		printf("  %-10s %s\n", commands[i].name, commands[i].summary);
	puts("\n"
	     "  -h, --help     print this text; after a command, its own\n"
	     "  -V, --version  print the version\n"
	     "\n"
	     "Exit status: 0 success, 1 refused or failed, 2 wrong arguments or\n"
	     "a file with mistakes, 3 no host could be reached.");
	return CTL_SUCCESS;
}

static int run(int argc, char **argv)
{
	for (size_t i = 0; i < COMMANDS; i++) {
		if (strcmp(argv[0], commands[i].name) != 0)
			continue;
		/* 0 makes getopt_long() start anew */
		optind = 0;
		return commands[i].run(argc, argv);
	}
	fprintf(stderr, "pimentoctl: \"%s\" is no command\n", argv[0]);
	fputs("pimentoctl: try \"pimentoctl --help\"\n", stderr);
	return CTL_USAGE;
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'V' },
		{ NULL, 0, NULL, 0 },
	};
	int option;

	/* "+": options after the command are the command's */
	while ((option = getopt_long(argc, argv, "+hV", options, NULL)) != -1) {
		if (option == 'h')
			return print_usage();
		if (option != 'V')
			return CTL_USAGE;
		puts("pimentoctl " PIMENTO_VERSION);
		return CTL_SUCCESS;
	}
	if (optind == argc) {
		print_usage();
		return CTL_USAGE;
	}
	return run(argc - optind, argv + optind);
}
