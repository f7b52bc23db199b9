/*
 * Parses the settings of pimentod. All keys are read by tables of field
 * descriptions, except for peers.seeds, whose addresses are parsed here.
 */

#include "settings.h"

#include "fields.h"

#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define OFFSET(member) offsetof(settings_t, member)

#define CONNECTIONS_DEFAULT 1024
#define CONNECTIONS_MAX 65536
#define STOP_DEFAULT_SECONDS 900
#define STOP_MAX_SECONDS 86400

static const char *const level_names[] = { "error", "warning", "info", "debug",
					   NULL };
static const int syslog_levels[] = { 3, 4, 6, 7 };
#define LEVEL_INFO_INDEX 2

static const field_t toplevel_fields[] = {
	{ "deployment", FIELD_NAME, true, OFFSET(deployment), 0, 0, NULL },
	{ "host", FIELD_TABLE, true, 0, 0, 0, NULL },
	{ "platform", FIELD_TABLE, true, 0, 0, 0, NULL },
	{ "peers", FIELD_TABLE, false, 0, 0, 0, NULL },
	{ "keys", FIELD_TABLE, true, 0, 0, 0, NULL },
	{ "log", FIELD_TABLE, false, 0, 0, 0, NULL },
	{ "limits", FIELD_TABLE, false, 0, 0, 0, NULL },
};

static const field_t host_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(name), 0, 0, NULL },
	{ "datacentre", FIELD_NAME, true, OFFSET(datacentre), 0, 0, NULL },
	{ "address", FIELD_ADDRESS, true, OFFSET(address), 0, 0, NULL },
	{ "http_port", FIELD_U16, true, OFFSET(http_port), 1, 65535, NULL },
	{ "peer_port", FIELD_U16, true, OFFSET(peer_port), 1, 65535, NULL },
};

static const field_t platform_fields[] = {
	{ "address", FIELD_ADDRESS, true, OFFSET(platform_address), 0, 0,
	  NULL },
	{ "port", FIELD_U16, true, OFFSET(platform_port), 1, 65535, NULL },
};

static const field_t peers_fields[] = {
	{ "seeds", FIELD_STRING_ARRAY, false, 0, 0, 0, NULL },
};

static const field_t keys_fields[] = {
	{ "secret", FIELD_HEX32, true, OFFSET(secret), 0, 0, NULL },
};

static const field_t log_fields[] = {
	{ "level", FIELD_CHOICE, false, OFFSET(log_level), 0, 0, level_names },
};

static const field_t limits_fields[] = {
	{ "connections", FIELD_U32, false, OFFSET(connections), 1,
	  CONNECTIONS_MAX, NULL },
	{ "stop_seconds", FIELD_U32, false, OFFSET(stop_seconds), 1,
	  STOP_MAX_SECONDS, NULL },
};

static const struct {
	const char *key;
	const field_t *fields;
	size_t count;
} tables[] = {
	{ "host", host_fields, COUNT(host_fields) },
	{ "platform", platform_fields, COUNT(platform_fields) },
	{ "peers", peers_fields, COUNT(peers_fields) },
	{ "keys", keys_fields, COUNT(keys_fields) },
	{ "log", log_fields, COUNT(log_fields) },
	{ "limits", limits_fields, COUNT(limits_fields) },
};

static void read_seeds(const fields_source_t *source, const toml_node_t *root,
		       settings_t *settings)
{
	const toml_node_t *seeds = toml_get(toml_get(root, "peers"), "seeds");
	const char *text;
	size_t length;

	if (toml_count(seeds) > SETTINGS_SEEDS_MAX) {
		problems_add(source->problems, source->file, toml_line(seeds),
			     "peers.seeds", "at most %d seeds are allowed",
			     SETTINGS_SEEDS_MAX);
		return;
	}
	for (size_t i = 0; i < toml_count(seeds); i++) {
		settings_seed_t *peer = &settings->seeds[settings->seed_count];

		if (!toml_string(toml_at(seeds, i), &text, &length))
			continue;
		if (fields_parse_address_port(text, peer->address, &peer->port))
			problems_add(source->problems, source->file,
				     toml_line(toml_at(seeds, i)),
				     "peers.seeds",
				     "\"%s\" is not an address and port, such "
				     "as \"127.0.0.1:9081\"",
				     text);
		else
			settings->seed_count++;
	}
}

static void read_tables(const fields_source_t *source, const toml_node_t *root,
			settings_t *settings)
{
	fields_read(source, root, "", toplevel_fields, COUNT(toplevel_fields),
		    settings);
	for (size_t i = 0; i < COUNT(tables); i++) {
		const toml_node_t *table = toml_get(root, tables[i].key);

		if (toml_type(table) == TOML_TYPE_TABLE)
			fields_read(source, table, tables[i].key,
				    tables[i].fields, tables[i].count,
				    settings);
	}
	read_seeds(source, root, settings);
}

int settings_parse(settings_t *settings, const char *text, size_t length,
		   const char *file, problems_t *problems)
{
	fields_source_t source = { file, problems };
	uint32_t before = problems->count;
	toml_document_t document;
	int error;

	memset(settings, 0, sizeof(*settings));
	settings->log_level = LEVEL_INFO_INDEX;
	settings->connections = CONNECTIONS_DEFAULT;
	settings->stop_seconds = STOP_DEFAULT_SECONDS;
	if (length > CONFIG_MAX_BYTES)
		return PIMENTO_ETOOBIG;
	error = toml_parse(&document, text, length);
	if (error == PIMENTO_EPARSE)
		problems_add(problems, file, document.error_line, "syntax",
			     "%s", document.error);
	if (error)
		return error;
	read_tables(&source, document.root, settings);
	toml_finish(&document);
	settings->log_level = syslog_levels[settings->log_level];
	if (problems->count == before)
		return PIMENTO_OK;
	memset(settings, 0, sizeof(*settings));
	return PIMENTO_EPARSE;
}
