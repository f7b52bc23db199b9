#ifndef CTL_HTTP_H
#define CTL_HTTP_H

/*
 * The subcommands' HTTP calls.
 */

#include "../src/strbuf.h"

#include <ulfius.h>

#define CTL_HOSTS_MAX 64
#define CTL_DEFAULT_HOST "127.0.0.1:8080"

/*
 * Whether a connection to "ADDRESS:PORT" can be made. If not, a request to it
 * has certainly not run; a call that fails later may have.
 */
bool ctl_reachable(const char *host);

/* Whether the text is "ADDRESS:PORT"; says so on standard error if not. */
bool ctl_is_host(const char *host);

/*
 * GETs a path of a host into body. Returns CTL_SUCCESS, CTL_FAILED or
 * CTL_UNREACHABLE, after a message.
 */
int ctl_get(const char *host, const char *path, strbuf_t *body);

/* Hosts to ask: the arguments, or the default one. */
typedef struct ctl_hosts {
	const char *const *names;
	size_t count;
	size_t answered;
} ctl_hosts_t;

/* Returns CTL_SUCCESS, or CTL_USAGE after a message. */
int ctl_hosts_init(ctl_hosts_t *hosts, int argc, char **argv);

/* Exit status after every host was asked. */
int ctl_hosts_status(const ctl_hosts_t *hosts);

#endif
