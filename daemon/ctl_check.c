/*
 * pimentoctl check: the checks that the daemon and the questionnaire make,
 * without starting anything.
 */

#include "ctl.h"

#include "../src/questionnaire.h"
#include "../src/settings.h"

#include <getopt.h>
#include <stdio.h>
#include <string.h>

static const char usage[] =
	"usage: pimentoctl check [--kind KIND] FILE\n"
	"\n"
	"Checks an answers file, a configuration or a daemon's settings and\n"
	"reports every mistake at once, with line, key and reason. FILE is a\n"
	"path, or - for standard input.\n"
	"\n"
	"  -k, --kind KIND  answers, configuration or settings; recognised by\n"
	"                   the file's tables if not given\n"
	"  -h, --help       print this text\n"
	"\n"
	"Exit status: 0 no mistake, 2 mistakes, or wrong arguments.\n";

static int check_answers(const ctl_file_t *file, const char *path,
			 problems_t *problems)
{
	questionnaire_t answers;
	int error = questionnaire_parse(&answers, file->bytes, file->length,
					path, problems);

	if (!error)
		questionnaire_finish(&answers);
	return error;
}

static int check_config(const ctl_file_t *file, const char *path,
			problems_t *problems)
{
	pimento_config_t config;
	int error = pimento_config_parse(&config, file->bytes, file->length,
					 path, problems);

	if (!error)
		pimento_config_finish(&config);
	return error;
}

static int check_settings(const ctl_file_t *file, const char *path,
			  problems_t *problems)
{
	settings_t settings;

	return settings_parse(&settings, file->bytes, file->length, path,
			      problems);
}

typedef int check_t(const ctl_file_t *file, const char *path,
		    problems_t *problems);

static int check_file(const char *path, int kind)
{
	static check_t *const checks[CTL_KINDS] = { check_answers, check_config,
						    check_settings };
	problems_t problems;
	ctl_file_t file;
	int status = ctl_read(&file, path);

	if (status)
		return status;
	if (kind < 0)
		kind = (int)ctl_kind_of(&file);
	problems_init(&problems);
	status = ctl_report(checks[kind](&file, path, &problems), path,
			    &problems);
	if (!status)
		printf("%s: %s: no mistake\n", path, ctl_kind_names[kind]);
	problems_finish(&problems);
	ctl_release(&file);
	return status;
}

/* Returns the kind of that name, or CTL_KINDS. */
static int kind_named(const char *name)
{
	for (int kind = 0; kind < CTL_KINDS; kind++)
		if (!strcmp(name, ctl_kind_names[kind]))
			return kind;
	fprintf(stderr, "pimentoctl: \"%s\" is no kind\n", name);
	return CTL_KINDS;
}

int ctl_check(int argc, char **argv)
{
	static const struct option options[] = {
		{ "kind", required_argument, NULL, 'k' },
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	int kind = -1;
	int option;

	while ((option = getopt_long(argc, argv, "k:h", options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		if (option != 'k')
			return ctl_misused("check");
		kind = kind_named(optarg);
		if (kind == CTL_KINDS)
			return ctl_misused("check");
	}
	if (argc - optind != 1)
		return ctl_misused("check");
	return check_file(argv[optind], kind);
}
