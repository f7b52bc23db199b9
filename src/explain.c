#include "explain.h"

#include <stdlib.h>
#include <string.h>

#define VALUE_MAX_BYTES 96

/* Values of the field why= in log lines, with their meanings. */
static const struct {
	const char *why;
	const char *meaning;
} meanings[] = {
	{ "-", "the complete answer was passed on" },
	{ "quota", "the account exceeded its quota, counted over all hosts; "
		   "the log line with part=quota gives rate, burst and level" },
	{ "broken", "the connection to the endpoint broke before the answer "
		    "was complete" },
	{ "caller_left",
	  "the caller closed its connection before the answer was "
	  "complete; waited_ms and first_ms show what it was "
	  "waiting for" },
	{ "connect_timeout",
	  "the endpoint did not accept the connection in time" },
	{ "connection_dead",
	  "an idle connection was already closed; nothing was sent" },
	{ "copy_too_old",
	  "this host's copy of the platform's records was older "
	  "than a revoked key may stay valid, with no update "
	  "from the platform or a peer; look at copy_age_ms "
	  "and at log lines with part=store" },
	{ "deadline", "the deadline set by the caller passed" },
	{ "endpoint_failed",
	  "the endpoint ran the request and reported a failure" },
	{ "endpoint_full",
	  "the endpoint refused the request because it is full" },
	{ "endpoint_left", "the endpoint restarted or stopped accepting work "
			   "while this host connected to it" },
	{ "endpoint_in_backoff", "the endpoint stated a backoff while the "
				 "host connected to it" },
	{ "endpoints_in_backoff",
	  "every endpoint stated a backoff for this host, longer "
	  "than the request could wait; see log lines with "
	  "event=backoff_stated" },
	{ "endpoints_failed",
	  "the request failed at every endpoint that may be tried" },
	{ "endpoints_full", "every endpoint that may be tried is full" },
	{ "evacuated", "all endpoints that may be tried are in data centres "
		       "that operators have evacuated; nothing was sent" },
	{ "event_too_big", "an event of the stream exceeded the maximum size" },
	{ "garbled", "the endpoint sent bytes that are not a valid HTTP "
		     "response" },
	{ "memory", "this host ran out of memory" },
	{ "no_connection", "this host could not open another connection" },
	{ "no_endpoint_in_region",
	  "no endpoint is in a region that the route and the account allow; "
	  "nothing was sent" },
	{ "no_id", "the request had no id" },
	{ "quarantined",
	  "it, or a part of its prompt, crashes endpoints; lines of "
	  "part=quarantine with the same part= or fingerprint= say when one is "
	  "tried again" },
	{ "overload", "all slots were taken and the expected wait for one was "
		      "too long; look at part=overload lines" },
	{ "no_place", "no endpoint had a free slot in time; look at waiting, "
		      "late and the load of the service" },
	{ "no_route", "no route of the configuration matches the request; "
		      "config gives the revision" },
	{ "no_time", "too little of the request's time was left to send it" },
	{ "other_endpoint", "another process now uses the endpoint's address" },
	{ "path_lost", "this host lost its path to the endpoint after it had "
		       "sent the request; look at lines with part=path" },
	{ "route_timeout", "the route's timeout passed" },
	{ "silent", "the endpoint sent nothing for several times the latency "
		    "objective" },
	{ "stopping",
	  "this host is stopping: it takes no new requests, and none that it could not finish" },
	{ "stream_torn", "the stream ended in the middle of an event" },
	{ "tunnel_broken",
	  "the peer that passed the request on (via) ended the tunnel before "
	  "the answer was complete" },
	{ "tunnel_refused",
	  "this host has no path to the endpoint, and the peer that was asked "
	  "(via) opened no tunnel there; nothing was sent" },
	{ "unfit_answer",
	  "the answer was not from the expected endpoint, or its "
	  "statement \"not run\" could not be trusted" },
	{ "unknown_key", "no account has this API key; config gives the "
			 "revision" },
	{ "unreached", "nothing accepted a connection at the endpoint's "
		       "address" },
};

const char *explain_reason(const char *why)
{
	for (size_t i = 0; i < sizeof(meanings) / sizeof(meanings[0]); i++)
		if (strcmp(meanings[i].why, why) == 0)
			return meanings[i].meaning;
	return NULL;
}

void explain_init(explain_t *explain, const char *id)
{
	*explain = (explain_t){ .id = id };
}

void explain_finish(explain_t *explain)
{
	for (uint32_t i = 0; i < explain->count; i++)
		free(explain->lines[i]);
	free(explain->lines);
}

/*
 * Copies the value of a key=value pair of a log line to value, truncated to fit;
 * "" if the line does not have the key.
 */
static void get_log_value(const char *line, const char *key,
			  char value[VALUE_MAX_BYTES])
{
	size_t length = strlen(key);
	const char *at = line;

	value[0] = '\0';
	while ((at = strstr(at, key))) {
		bool starts = at == line || at[-1] == ' ';
		size_t span;

		at += length;
		if (!starts || *at != '=')
			continue;
		span = strcspn(++at, " \n");
		if (span >= VALUE_MAX_BYTES)
			span = VALUE_MAX_BYTES - 1;
		memcpy(value, at, span);
		value[span] = '\0';
		return;
	}
}

static bool has_request_id(const char *line, const char *id)
{
	char value[VALUE_MAX_BYTES];

	get_log_value(line, "id", value);
	return strcmp(value, id) == 0;
}

static void append_line(explain_t *explain, const char *line)
{
	uint32_t size = explain->capacity ? explain->capacity * 2 : 8;
	char *copy = strdup(line);

	if (explain->count == explain->capacity && copy) {
		char **grown = realloc(explain->lines, size * sizeof(char *));

		if (!grown) {
			free(copy);
			copy = NULL;
		} else {
			explain->lines = grown;
			explain->capacity = size;
		}
	}
	if (!copy) {
		explain->out_of_memory = true;
		return;
	}
	copy[strcspn(copy, "\n")] = '\0';
	explain->lines[explain->count++] = copy;
}

void explain_add_line(explain_t *explain, const char *line)
{
	if (has_request_id(line, explain->id))
		append_line(explain, line);
}

static double parse_line_time(const char *line)
{
	char value[VALUE_MAX_BYTES];

	get_log_value(line, "at", value);
	return strtod(value, NULL);
}

static int compare_line_times(const void *a, const void *b)
{
	double x = parse_line_time(*(char *const *)a);
	double y = parse_line_time(*(char *const *)b);

	return x < y ? -1 : x > y;
}

static void write_cause(const explain_t *explain, strbuf_t *text)
{
	const char *last = explain->lines[explain->count - 1];
	char why[VALUE_MAX_BYTES];
	char event[VALUE_MAX_BYTES];
	char host[VALUE_MAX_BYTES];
	const char *meaning;

	get_log_value(last, "why", why);
	get_log_value(last, "event", event);
	get_log_value(last, "host", host);
	meaning = explain_reason(why);
	strbuf_addf(text, "%s at %s: %s (%s)\n", event, host,
		    meaning ? meaning : "unknown reason", why);
}

int explain_write(explain_t *explain, strbuf_t *text)
{
	if (explain->out_of_memory)
		return PIMENTO_ENOMEM;
	if (!explain->count)
		return 0;
	qsort(explain->lines, explain->count, sizeof(char *),
	      compare_line_times);
	for (uint32_t i = 0; i < explain->count; i++)
		strbuf_addf(text, "%s\n", explain->lines[i]);
	write_cause(explain, text);
	return strbuf_error(text) ? PIMENTO_ENOMEM : (int)explain->count;
}
