/*
 * One write() per line, so that lines of several threads do not mix. Sending
 * to a syslog daemon is the platform's: our hosts keep nothing.
 */

#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

static const char *log_name = "-";
static const char *log_program = "pimentoshelf";
static int log_level = LOG_LEVEL_INFO;

void log_init(const char *name, const char *program, int level)
{
	log_name = name;
	log_program = program;
	log_level = level;
}

void log_line(int level, const char *part, const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	char stamp[32];
	time_t now = time(NULL);
	struct tm tm;
	va_list args;
	int used;
	int more;

	if (level > log_level)
		return;
	gmtime_r(&now, &tm);
	strftime(stamp, sizeof(stamp), "%b %e %H:%M:%S", &tm);
	used = snprintf(line, sizeof(line), "%s %s %s[%d]: %s: ", stamp,
			log_name, log_program, (int)getpid(), part);
	va_start(args, format);
	more = vsnprintf(line + used, sizeof(line) - (size_t)used - 1, format,
			 args);
	va_end(args);
	used += more;
	if (used > (int)sizeof(line) - 2)
		used = (int)sizeof(line) - 2;
	line[used++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)used) < 0)
		return; /* nowhere left to say so */
}
