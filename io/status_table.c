/*
 * An endpoint is shown as its owner reports it, because only the owner knows
 * what is in flight there. Two owners, on the two sides of a partition, give
 * two lines; an endpoint that nobody asked owns gives one, with a mark.
 */

#include "status_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CELL_BYTES 64
#define ROW_BYTES 384
#define NOTHING "-"

#define HOST_FORMAT "%-14s %-16s %-9s %-16s %-16s %6s %11s %9s\n"
#define ENDPOINT_FORMAT "%-18s %-14s %7s %6s  %s%s\n"

typedef struct row {
	char text[ROW_BYTES];
} row_t;

static void clean(char *cell)
{
	for (; *cell; cell++)
		if ((unsigned char)*cell < 0x20 || *cell == 0x7f)
			*cell = '?';
}

/* Writes a string or number of an object as a cell. */
static void cell_of(char cell[CELL_BYTES], const json_t *object,
		    const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		snprintf(cell, CELL_BYTES, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(cell, CELL_BYTES, "%lld",
			 (long long)json_integer_value(value));
	else
		snprintf(cell, CELL_BYTES, NOTHING);
	clean(cell);
}

static void config_cell(char cell[CELL_BYTES], const json_t *host)
{
	const json_t *config = json_object_get(host, "config");
	char revision[CELL_BYTES];
	json_int_t refused =
		json_integer_value(json_object_get(config, "refused_revision"));

	cell_of(revision, config, "revision");
	if (refused)
		snprintf(cell, CELL_BYTES, "%.24s, refused %lld", revision,
			 (long long)refused);
	else
		snprintf(cell, CELL_BYTES, "%s", revision);
}

static void add_host(const json_t *host, strbuf_t *text)
{
	char name[CELL_BYTES];
	char incarnation[CELL_BYTES];
	char state[CELL_BYTES];
	char config[CELL_BYTES];
	char digest[CELL_BYTES];
	char hosts[CELL_BYTES];
	char busy[CELL_BYTES];
	char calls[CELL_BYTES];

	cell_of(name, host, "name");
	cell_of(incarnation, host, "incarnation");
	cell_of(state, host, "state");
	config_cell(config, host);
	cell_of(digest, json_object_get(host, "config"), "digest");
	cell_of(hosts, json_object_get(host, "hosts"), "revision");
	cell_of(busy, json_object_get(host, "requests"), "in_progress");
	cell_of(calls, json_object_get(host, "platform"), "calls");
	strbuf_addf(text, HOST_FORMAT, name, incarnation, state, config, digest,
		    hosts, busy, calls);
}

static void waiting_cell(char cell[CELL_BYTES], const json_t *endpoint)
{
	const json_t *waiting = json_object_get(endpoint, "waiting");
	const json_t *number;
	size_t used = 0;
	size_t index;

	snprintf(cell, CELL_BYTES, NOTHING);
	json_array_foreach(waiting, index, number)
	{
		used += (size_t)snprintf(cell + used, CELL_BYTES - used,
					 "%s%lld", index ? " " : "",
					 (long long)json_integer_value(number));
		if (used >= CELL_BYTES)
			break;
	}
}

static void fill_row(row_t *row, const json_t *endpoint, const char *mark)
{
	char name[CELL_BYTES];
	char owner[CELL_BYTES];
	char running[CELL_BYTES];
	char limit[CELL_BYTES];
	char waiting[CELL_BYTES];

	cell_of(name, endpoint, "name");
	cell_of(owner, endpoint, "owner");
	cell_of(running, endpoint, "running");
	cell_of(limit, endpoint, "limit");
	waiting_cell(waiting, endpoint);
	snprintf(row->text, sizeof(row->text), ENDPOINT_FORMAT, name, owner,
		 running, limit, waiting, mark);
}

static const char *string_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static bool is_owner(const json_t *host, const json_t *endpoint)
{
	return !strcmp(string_of(host, "name"), string_of(endpoint, "owner"));
}

/* Whether an owner, or an earlier host, shows the endpoint. */
static bool shown_elsewhere(json_t *const *hosts, size_t count, size_t self,
			    const char *name)
{
	const json_t *endpoint;
	size_t index;

	for (size_t i = 0; i < count; i++)
		json_array_foreach(
			json_object_get(hosts[i], "endpoints"), index,
			endpoint) if (!strcmp(string_of(endpoint, "name"),
					      name) &&
				      (i < self ||
				       is_owner(hosts[i],
						endpoint))) return true;
	return false;
}

static size_t fill_rows(json_t *const *hosts, size_t count, size_t self,
			row_t *rows)
{
	const json_t *endpoint;
	size_t filled = 0;
	size_t index;

	json_array_foreach(json_object_get(hosts[self], "endpoints"), index,
			   endpoint)
	{
		bool evacuated =
			json_is_true(json_object_get(endpoint, "evacuated"));

		if (is_owner(hosts[self], endpoint))
			fill_row(&rows[filled++], endpoint,
				 evacuated ? "  (evacuated)" : "");
		else if (!shown_elsewhere(hosts, count, self,
					  string_of(endpoint, "name")))
			fill_row(&rows[filled++], endpoint,
				 evacuated ? "  (evacuated, owner not asked)"
					   : "  (owner not asked)");
	}
	return filled;
}

static int compare_rows(const void *left, const void *right)
{
	const row_t *a = left;
	const row_t *b = right;

	return strcmp(a->text, b->text);
}

static void add_endpoints(json_t *const *hosts, size_t count, strbuf_t *text)
{
	size_t most = 0;
	size_t filled = 0;
	row_t *rows;

	for (size_t i = 0; i < count; i++)
		most += json_array_size(json_object_get(hosts[i], "endpoints"));
	rows = calloc(most + 1, sizeof(*rows));
	if (!rows) {
		text->out_of_memory = true;
		return;
	}
	for (size_t i = 0; i < count; i++)
		filled += fill_rows(hosts, count, i, rows + filled);
	qsort(rows, filled, sizeof(*rows), compare_rows);
	for (size_t i = 0; i < filled; i++)
		strbuf_addf(text, "%s", rows[i].text);
	free(rows);
}

static void add_members(const json_t *host, strbuf_t *text)
{
	const json_t *members =
		json_object_get(json_object_get(host, "hosts"), "members");
	const json_t *member;
	char name[CELL_BYTES];
	char state[CELL_BYTES];
	size_t index;

	if (!json_array_size(members))
		return;
	cell_of(name, host, "name");
	strbuf_addf(text, "%s sees:", name);
	json_array_foreach(members, index, member)
	{
		cell_of(name, member, "name");
		cell_of(state, member, "state");
		strbuf_addf(text, "%s %s %s", index ? "," : "", name, state);
	}
	strbuf_addf(text, "\n");
}

static void add_difference(json_t *const *hosts, size_t count, strbuf_t *text)
{
	const json_t *first =
		json_object_get(json_object_get(hosts[0], "config"), "digest");

	for (size_t i = 1; i < count; i++) {
		const json_t *other = json_object_get(
			json_object_get(hosts[i], "config"), "digest");

		if (first && other && !json_equal(first, other)) {
			strbuf_addf(text,
				    "\nThe hosts do not all have the same "
				    "configuration.\n");
			return;
		}
	}
}

void status_table(json_t *const *hosts, size_t count, strbuf_t *text)
{
	if (!count)
		return;
	strbuf_addf(text, HOST_FORMAT, "HOST", "INCARNATION", "STATE",
		    "CONFIGURATION", "DIGEST", "HOSTS", "IN PROGRESS",
		    "PLATFORM");
	for (size_t i = 0; i < count; i++)
		add_host(hosts[i], text);
	strbuf_addf(text, "\n" ENDPOINT_FORMAT, "ENDPOINT", "OWNER", "RUNNING",
		    "LIMIT", "WAITING BY TIER", "");
	add_endpoints(hosts, count, text);
	strbuf_addf(text, "\n");
	for (size_t i = 0; i < count; i++)
		add_members(hosts[i], text);
	add_difference(hosts, count, text);
}
