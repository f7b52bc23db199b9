/*
 * Reading of files for the subcommands. Files are read whole and bounded, as
 * the daemon would do it, so that what passes here passes there.
 */

#include "ctl.h"

#include "../src/questionnaire.h"
#include "../src/toml.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const ctl_kind_names[CTL_KINDS + 1] = { "answers", "configuration",
						    "settings", NULL };

int ctl_help(const char *usage)
{
	fputs(usage, stdout);
	return CTL_SUCCESS;
}

int ctl_misused(const char *command)
{
	fprintf(stderr, "pimentoctl: try \"pimentoctl %s --help\"\n", command);
	return CTL_USAGE;
}

static int read_stream(ctl_file_t *file, FILE *stream)
{
	size_t limit = CONFIG_MAX_BYTES + 1;

	file->bytes = malloc(limit + 1);
	if (!file->bytes)
		return -1;
	file->length = fread(file->bytes, 1, limit, stream);
	file->bytes[file->length] = '\0';
	return ferror(stream) ? -1 : 0;
}

int ctl_read(ctl_file_t *file, const char *path)
{
	bool standard = !strcmp(path, "-");
	FILE *stream = standard ? stdin : fopen(path, "r");
	int error;

	memset(file, 0, sizeof(*file));
	if (!stream) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return CTL_USAGE;
	}
	error = read_stream(file, stream);
	if (error)
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
	if (!standard)
		fclose(stream);
	if (error)
		ctl_release(file);
	return error ? CTL_USAGE : CTL_SUCCESS;
}

void ctl_release(ctl_file_t *file)
{
	free(file->bytes);
	memset(file, 0, sizeof(*file));
}

static ctl_kind_t kind_of_root(const toml_node_t *root)
{
	if (toml_get(root, "caller") || toml_get(root, "request"))
		return CTL_ANSWERS;
	if (toml_get(root, "host") || toml_get(root, "platform"))
		return CTL_SETTINGS;
	return CTL_CONFIG;
}

ctl_kind_t ctl_kind_of(const ctl_file_t *file)
{
	toml_document_t document;
	ctl_kind_t kind;

	if (file->length > CONFIG_MAX_BYTES ||
	    toml_parse(&document, file->bytes, file->length))
		return CTL_CONFIG;
	kind = kind_of_root(document.root);
	toml_finish(&document);
	return kind;
}

int ctl_report(int error, const char *path, const problems_t *problems)
{
	if (!error)
		return CTL_SUCCESS;
	if (problems->text)
		fputs(problems->text, stderr);
	if (problems->count > problems->max_lines)
		fprintf(stderr, "%s: %u more mistakes are not shown\n", path,
			problems->count - problems->max_lines);
	if (error != PIMENTO_EPARSE)
		fprintf(stderr, "%s: %s\n", path, pimento_strerror(error));
	return CTL_USAGE;
}

static int load_answers(pimento_config_t *config, const ctl_file_t *file,
			const char *path, problems_t *problems)
{
	questionnaire_t answers;
	strbuf_t text;
	int error = questionnaire_parse(&answers, file->bytes, file->length,
					path, problems);

	if (error)
		return error;
	strbuf_init(&text);
	error = questionnaire_generate_config(&answers, &text);
	if (!error)
		error = pimento_config_parse(config, strbuf_str(&text),
					     text.length, path, problems);
	strbuf_finish(&text);
	questionnaire_finish(&answers);
	return error;
}

int ctl_load(pimento_config_t *config, const char *path)
{
	problems_t problems;
	ctl_file_t file;
	int error;
	int status = ctl_read(&file, path);

	if (status)
		return status;
	problems_init(&problems);
	if (ctl_kind_of(&file) == CTL_ANSWERS)
		error = load_answers(config, &file, path, &problems);
	else
		error = pimento_config_parse(config, file.bytes, file.length,
					     path, &problems);
	status = ctl_report(error, path, &problems);
	problems_finish(&problems);
	ctl_release(&file);
	return status;
}
