/*
 * Parses the platform's host list. Unknown keys are ignored, because the format
 * belongs to the platform and may be extended. If a host's entry is invalid, the
 * whole list is rejected, because a list without this host would move its share
 * of the endpoints to other hosts.
 */

#include "config.h"

#include "fields.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_NAME "hosts"

static void add_host_problem(problems_t *problems, size_t index,
			     const char *key, const char *reason)
{
	char path[64];

	snprintf(path, sizeof(path), "hosts[%zu].%s", index + 1, key);
	problems_add(problems, FILE_NAME, 0, path, "%s", reason);
}

static bool copy_name(const json_t *host, const char *key, char *to)
{
	const char *text = json_string_value(json_object_get(host, key));

	if (!text || !fields_is_name(text))
		return false;
	snprintf(to, PIMENTO_NAME_MAX, "%s", text);
	return true;
}

static bool copy_address(const json_t *host, hostlist_host_t *to)
{
	const char *text = json_string_value(json_object_get(host, "address"));
	unsigned char number[sizeof(struct in6_addr)];

	if (!text || strlen(text) >= sizeof(to->address))
		return false;
	if (inet_pton(AF_INET, text, number) != 1 &&
	    inet_pton(AF_INET6, text, number) != 1)
		return false;
	snprintf(to->address, sizeof(to->address), "%s", text);
	return true;
}

static bool copy_port(const json_t *host, hostlist_host_t *to)
{
	const json_t *port = json_object_get(host, "port");
	json_int_t value = json_integer_value(port);

	if (!json_is_integer(port) || value < 1 || value > UINT16_MAX)
		return false;
	to->port = (uint16_t)value;
	return true;
}

/*
 * Sets *to to true if the text under key is true_text, and to false if it is
 * false_text. Returns false if it is neither.
 */
static bool parse_two_valued_text(const json_t *host, const char *key,
				  const char *false_text, const char *true_text,
				  bool *to)
{
	const char *text = json_string_value(json_object_get(host, key));

	if (!text ||
	    (strcmp(text, false_text) != 0 && strcmp(text, true_text) != 0))
		return false;
	*to = !strcmp(text, true_text);
	return true;
}

static void read_host(const json_t *host, size_t index, hostlist_host_t *to,
		      problems_t *problems)
{
	if (!copy_name(host, "name", to->name))
		add_host_problem(problems, index, "name", "must be a name");
	if (!copy_name(host, "datacentre", to->datacentre))
		add_host_problem(problems, index, "datacentre",
				 "must be a name");
	if (!copy_address(host, to))
		add_host_problem(problems, index, "address",
				 "must be an IPv4 or IPv6 address");
	if (!copy_port(host, to))
		add_host_problem(problems, index, "port",
				 "must be an integer between 1 and 65535");
	if (!parse_two_valued_text(host, "role", "entry", "endpoint",
				   &to->is_endpoint))
		add_host_problem(problems, index, "role",
				 "must be \"entry\" or \"endpoint\"");
	if (!parse_two_valued_text(host, "state", "live", "leaving",
				   &to->leaving))
		add_host_problem(problems, index, "state",
				 "must be \"live\" or \"leaving\"");
	to->id = pimento_id(to->name);
}

static int compare_ids(const void *left, const void *right)
{
	pimento_id_t a = *(const pimento_id_t *)left;
	pimento_id_t b = *(const pimento_id_t *)right;

	return (a > b) - (a < b);
}

static int check_unique_names(const hostlist_t *list, problems_t *problems)
{
	pimento_id_t *ids = calloc((size_t)list->count + 1, sizeof(*ids));

	if (!ids)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < list->count; i++)
		ids[i] = list->hosts[i].id;
	qsort(ids, list->count, sizeof(*ids), compare_ids);
	for (uint32_t i = 1; i < list->count; i++)
		if (ids[i] == ids[i - 1])
			problems_add(problems, FILE_NAME, 0, "hosts",
				     "two hosts have the same name");
	free(ids);
	return PIMENTO_OK;
}

static int read_hosts(hostlist_t *list, const json_t *hosts,
		      problems_t *problems)
{
	size_t count = json_array_size(hosts);

	list->hosts = calloc(count + 1, sizeof(*list->hosts));
	if (!list->hosts)
		return PIMENTO_ENOMEM;
	list->count = (uint32_t)count;
	for (size_t i = 0; i < count; i++)
		read_host(json_array_get(hosts, i), i, &list->hosts[i],
			  problems);
	return check_unique_names(list, problems);
}

static int read_list(hostlist_t *list, const json_t *root, problems_t *problems)
{
	const json_t *revision = json_object_get(root, "revision");
	const json_t *hosts = json_object_get(root, "hosts");
	uint32_t before = problems->count;
	int error;

	if (!json_is_integer(revision) || json_integer_value(revision) < 0)
		problems_add(problems, FILE_NAME, 0, "revision",
			     "must be an integer of at least 0");
	if (!json_is_array(hosts)) {
		problems_add(problems, FILE_NAME, 0, "hosts",
			     "must be an array");
		return PIMENTO_EPARSE;
	}
	list->revision = (uint64_t)json_integer_value(revision);
	error = read_hosts(list, hosts, problems);
	if (error)
		return error;
	return problems->count == before ? PIMENTO_OK : PIMENTO_EPARSE;
}

int hostlist_parse(hostlist_t *list, const char *text, size_t length,
		   problems_t *problems)
{
	json_error_t parse_error;
	json_t *root;
	int error;

	memset(list, 0, sizeof(*list));
	if (length > CONFIG_MAX_BYTES)
		return PIMENTO_ETOOBIG;
	root = json_loadb(text, length, JSON_REJECT_DUPLICATES, &parse_error);
	if (!root) {
		problems_add(problems, FILE_NAME, parse_error.line, "syntax",
			     "%s", parse_error.text);
		return PIMENTO_EPARSE;
	}
	error = read_list(list, root, problems);
	json_decref(root);
	if (error)
		hostlist_finish(list);
	return error;
}

void hostlist_finish(hostlist_t *list)
{
	free(list->hosts);
	memset(list, 0, sizeof(*list));
}
