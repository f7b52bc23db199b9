/*
 * pimentoctl diff: what a new configuration changes for whom.
 */

#include "ctl.h"

#include "../src/config_diff.h"

#include <getopt.h>
#include <stdio.h>

static const char usage[] =
	"usage: pimentoctl diff OLD NEW\n"
	"\n"
	"Says in plain words what changes for which callers from OLD to NEW.\n"
	"Each is an answers file or a configuration.\n"
	"\n"
	"  -h, --help  print this text\n"
	"\n"
	"Exit status: 0 compared, 2 mistakes in a file or wrong arguments.\n";

static int compare(const pimento_config_t *before,
		   const pimento_config_t *after)
{
	strbuf_t text;
	int changes;

	strbuf_init(&text);
	changes = config_diff(before, after, &text);
	if (changes > 0)
		fputs(strbuf_str(&text), stdout);
	else if (!changes)
		puts("Nothing changes.");
	else
		fprintf(stderr, "pimentoctl: %s\n", pimento_strerror(changes));
	strbuf_finish(&text);
	return changes < 0 ? CTL_FAILED : CTL_SUCCESS;
}

static int diff_files(const char *old_path, const char *new_path)
{
	pimento_config_t before;
	pimento_config_t after;
	int old_status = ctl_load(&before, old_path);
	int new_status = ctl_load(&after, new_path);
	int status = old_status ? old_status : new_status;

	if (!status)
		status = compare(&before, &after);
	if (!old_status)
		pimento_config_finish(&before);
	if (!new_status)
		pimento_config_finish(&after);
	return status;
}

int ctl_diff(int argc, char **argv)
{
	static const struct option options[] = {
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	int option;

	while ((option = getopt_long(argc, argv, "h", options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		return ctl_misused("diff");
	}
	if (argc - optind != 2)
		return ctl_misused("diff");
	return diff_files(argv[optind], argv[optind + 1]);
}
