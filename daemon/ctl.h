#ifndef CTL_H
#define CTL_H

/*
 * What the subcommands of pimentoctl share: exit statuses, reading files, and
 * reading a configuration whatever it was written as.
 */

#include "../src/config.h"
#include "../src/strbuf.h"

enum {
	CTL_SUCCESS = 0,
	CTL_FAILED = 1, /* refused by a host, or failed */
	CTL_USAGE = 2, /* wrong arguments or a file with mistakes */
	CTL_UNREACHABLE = 3 /* no host could be reached */
};

/* Each takes its name as argv[0] and returns an exit status. */
int ctl_burn(int argc, char **argv);
int ctl_check(int argc, char **argv);
int ctl_diff(int argc, char **argv);
int ctl_explain(int argc, char **argv);
int ctl_generate(int argc, char **argv);
int ctl_hash_key(int argc, char **argv);
int ctl_send(int argc, char **argv);
int ctl_status(int argc, char **argv);

/* Prints to standard output, and "try --help" to standard error. */
int ctl_help(const char *usage);
int ctl_misused(const char *command);

typedef struct ctl_file {
	char *bytes; /* NUL-terminated */
	size_t length;
} ctl_file_t;

/*
 * Reads a whole file, "-" for standard input. Returns CTL_SUCCESS, or
 * CTL_USAGE after a message. At most one byte over CONFIG_MAX_BYTES is read,
 * which is enough to notice that it is too big.
 */
int ctl_read(ctl_file_t *file, const char *path);
void ctl_release(ctl_file_t *file);

typedef enum ctl_kind {
	CTL_ANSWERS,
	CTL_CONFIG,
	CTL_SETTINGS,
	CTL_KINDS
} ctl_kind_t;

extern const char *const ctl_kind_names[CTL_KINDS + 1]; /* ends with NULL */

/* Recognises a text by its tables; CTL_CONFIG where nothing tells. */
ctl_kind_t ctl_kind_of(const ctl_file_t *file);

/* Prints problems to standard error; returns the exit status of an error. */
int ctl_report(int error, const char *path, const problems_t *problems);

/*
 * Reads answers or a configuration as a configuration. Returns CTL_SUCCESS, or
 * CTL_USAGE after messages.
 */
int ctl_load(pimento_config_t *config, const char *path);

#endif
