#ifndef LOG_H
#define LOG_H

/*
 * Log lines to standard error, syslog-style: "Dec  3 00:05:17 entry-1
 * pimentod[42]: link: connected to entry-2". Each line is one short sentence
 * behind the fixed prefix of its part.
 */

enum {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7
};

/* name is the host's, program the daemon's; both are borrowed. */
void log_init(const char *name, const char *program, int level);

void log_line(int level, const char *part, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
