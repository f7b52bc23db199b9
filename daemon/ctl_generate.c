/*
 * pimentoctl generate: from the questionnaire's answers to the configuration.
 * Publishing it is the platform's business.
 */

#include "ctl.h"

#include "../src/questionnaire.h"

#include <getopt.h>
#include <stdio.h>

static const char usage[] =
	"usage: pimentoctl generate ANSWERS\n"
	"       pimentoctl generate --template\n"
	"\n"
	"Checks the answers to the questionnaire, reports every mistake at\n"
	"once, and prints the configuration that follows from them. The same\n"
	"answers give the same bytes. ANSWERS is a path, or - for standard\n"
	"input.\n"
	"\n"
	"  -t, --template  print the commented questionnaire to fill in\n"
	"  -h, --help      print this text\n"
	"\n"
	"Exit status: 0 printed, 1 not written, 2 mistakes or wrong arguments.\n";

static int print(const char *text)
{
	if (fputs(text, stdout) == EOF || fflush(stdout) == EOF) {
		perror("pimentoctl: standard output");
		return CTL_FAILED;
	}
	return CTL_SUCCESS;
}

/* Generates the text and reads it back as a daemon would. */
static int derive(const questionnaire_t *answers, strbuf_t *text,
		  problems_t *problems)
{
	pimento_config_t config;
	int error = questionnaire_generate_config(answers, text);

	if (error)
		return error;
	error = pimento_config_parse(&config, strbuf_str(text), text->length,
				     "generated", problems);
	if (!error)
		pimento_config_finish(&config);
	return error;
}

static int generate_from(const ctl_file_t *file, const char *path)
{
	problems_t problems;
	questionnaire_t answers;
	strbuf_t text;
	int status;
	int error;

	problems_init(&problems);
	strbuf_init(&text);
	error = questionnaire_parse(&answers, file->bytes, file->length, path,
				    &problems);
	if (!error) {
		error = derive(&answers, &text, &problems);
		questionnaire_finish(&answers);
	}
	status = ctl_report(error, path, &problems);
	if (!status)
		status = print(strbuf_str(&text));
	strbuf_finish(&text);
	problems_finish(&problems);
	return status;
}

static int generate(const char *path)
{
	ctl_file_t file;
	int status = ctl_read(&file, path);

	if (status)
		return status;
	status = generate_from(&file, path);
	ctl_release(&file);
	return status;
}

int ctl_generate(int argc, char **argv)
{
	static const struct option options[] = {
		{ "template", no_argument, NULL, 't' },
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	bool template = false;
	int option;

	while ((option = getopt_long(argc, argv, "th", options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		if (option != 't')
			return ctl_misused("generate");
		template = true;
	}
	if (argc - optind != (template ? 0 : 1))
		return ctl_misused("generate");
	return template ? print(questionnaire_template())
			: generate(argv[optind]);
}
