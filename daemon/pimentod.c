/*
 * The daemon of an entry host: reads and checks its settings, then lets the
 * library run. SIGTERM and SIGINT ask for the graceful stop.
 */

#include "../pimentoshelf.h"
#include "control.h"
#include "http.h"
#include "log.h"
#include "platform.h"
#include "settings.h"
#include "sys.h"

#include <curl/curl.h>
#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SETTINGS_MAX ((size_t)256 * 1024)

enum { EXIT_USAGE = 2 };

static control_t control;

static const char usage[] =
	"usage: pimentod -c SETTINGS.toml [-t]\n"
	"\n"
	"  -c, --config FILE   settings of this daemon\n"
	"  -t, --test          check the settings and exit\n"
	"  -h, --help          show this help\n"
	"  -V, --version       show the version\n"
	"\n"
	"Exit status: 0 after a graceful stop, 1 if it could not run or cut\n"
	"requests at the stop's limit, 2 for bad settings or usage.\n";

static void on_signal(int number)
{
	(void)number;
	control_stop(&control);
}

static void set_signals(void)
{
	struct sigaction action = { .sa_handler = on_signal };

	sigemptyset(&action.sa_mask);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int load_settings(const char *path, settings_t *settings)
{
	problems_t problems;
	size_t length;
	char *text = sys_read_file(path, SETTINGS_MAX, &length);
	int error;

	if (!text) {
		fprintf(stderr, "pimentod: %s: %s\n", path, strerror(errno));
		return EXIT_USAGE;
	}
	problems_init(&problems);
	error = settings_parse(settings, text, length, path, &problems);
	if (error)
		fprintf(stderr, "%spimentod: %s: %s\n",
			problems.text ? problems.text : "", path,
			pimento_strerror(error));
	problems_finish(&problems);
	free(text);
	return error ? EXIT_USAGE : EXIT_SUCCESS;
}

static int serve(const settings_t *settings)
{
	static platform_t platform;
	bool joined;
	http_t http = { 0 };
	uint32_t left;
	int error = control_init(&control, settings);

	if (!error)
		error = http_init(&http, &control);
	if (!error)
		error = platform_init(&platform, &control);
	if (error) {
		log_line(LOG_LEVEL_ERROR, "pimentod", "cannot start: %s: %s",
			 pimento_strerror(error), strerror(errno));
		return EXIT_FAILURE;
	}
	set_signals();
	log_line(LOG_LEVEL_INFO, "pimentod", "serving on %s:%u, peers on %u",
		 settings->address, settings->http_port, settings->peer_port);
	left = control_run(&control);
	if (left)
		log_line(LOG_LEVEL_ERROR, "pimentod",
			 "stopped at the limit with %u requests in progress",
			 left);
	joined = platform_finish(&platform);
	http_finish(&http);
	log_line(LOG_LEVEL_INFO, "pimentod", "stopped");
	/* A thread that still waits for the platform or for an endpoint uses
	 * what control_finish() would free. */
	if (!joined || left)
		_exit(left ? EXIT_FAILURE : EXIT_SUCCESS);
	control_finish(&control);
	return left ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "config", required_argument, NULL, 'c' },
		{ "test", no_argument, NULL, 't' },
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'V' },
		{ NULL, 0, NULL, 0 },
	};
	static settings_t settings;
	const char *path = NULL;
	bool only_test = false;
	int option;
	int status;

	while ((option = getopt_long(argc, argv, "c:thV", options, NULL)) !=
	       -1) {
		switch (option) {
		case 'c':
			path = optarg;
			break;
		case 't':
			only_test = true;
			break;
		case 'h':
			fputs(usage, stdout);
			return EXIT_SUCCESS;
		case 'V':
			puts("pimentod " PIMENTO_VERSION);
			return EXIT_SUCCESS;
		default:
			fputs(usage, stderr);
			return EXIT_USAGE;
		}
	}
	if (!path || optind < argc) {
		fputs(usage, stderr);
		return EXIT_USAGE;
	}
	status = load_settings(path, &settings);
	if (status || only_test)
		return status;
	sys_share_heaps();
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_FAILURE;
	log_init(settings.name, "pimentod", settings.log_level);
	return serve(&settings);
}
