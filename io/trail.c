/*
 * Two token buckets bound the lines a second. A line costs about 5 us of
 * processor time, so that the bounds keep logging under 1% of a quarter core
 * in ordinary load and under 3% in a storm of failures.
 */

#include "trail.h"

#include "sys.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#define LINE_BYTES 512

/* Lines a second, and how many may come at once. */
#define ROUTINE_RATE 60.0
#define FAILURE_RATE 100.0
#define BURST_SECONDS 3.0

typedef struct bucket {
	double tokens;
	double rate;
	pimento_usec_t filled;
} bucket_t;

static const char *trail_host = "-";
static trail_counts_t counts;
static uint64_t left_out_unsaid;
static bucket_t routine = { .tokens = ROUTINE_RATE, .rate = ROUTINE_RATE };
static bucket_t failure = { .tokens = FAILURE_RATE, .rate = FAILURE_RATE };

void trail_init(const char *host)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	trail_host = host;
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static bool take(bucket_t *bucket, pimento_usec_t now)
{
	double passed = (double)(now - bucket->filled) / (double)PIMENTO_SEC;

	bucket->filled = now;
	bucket->tokens += passed * bucket->rate;
	if (bucket->tokens > bucket->rate * BURST_SECONDS)
		bucket->tokens = bucket->rate * BURST_SECONDS;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

static bool has_room(trail_weight_t weight)
{
	pimento_usec_t now;

	if (weight == TRAIL_STATE)
		return true;
	now = sys_now();
	return take(weight == TRAIL_ROUTINE ? &routine : &failure, now);
}

static void leave_out(void)
{
	counts.left_out++;
	left_out_unsaid++;
}

static void put_line(const char *line, size_t length)
{
	if (write(STDOUT_FILENO, line, length) < 0) {
		leave_out();
		return;
	}
	counts.written++;
	left_out_unsaid = 0;
}

void trail(trail_weight_t weight, const char *part, const char *event,
	   const char *format, ...)
{
	char line[LINE_BYTES];
	int64_t wall;
	va_list args;
	int used;
	int more;

	if (!has_room(weight)) {
		leave_out();
		return;
	}
	wall = sys_wall_msec();
	used = snprintf(line, sizeof(line),
			"at=%lld.%03d host=%s part=%s event=%s ",
			(long long)(wall / 1000), (int)(wall % 1000),
			trail_host, part, event);
	va_start(args, format);
	more = vsnprintf(line + used, sizeof(line) - (size_t)used, format,
			 args);
	va_end(args);
	used += more;
	if (left_out_unsaid && used < (int)sizeof(line))
		used += snprintf(line + used, sizeof(line) - (size_t)used,
				 " left_out=%llu",
				 (unsigned long long)left_out_unsaid);
	if (used > (int)sizeof(line) - 1)
		used = (int)sizeof(line) - 1;
	line[used++] = '\n';
	put_line(line, (size_t)used);
}

trail_counts_t trail_counts(void)
{
	return counts;
}
