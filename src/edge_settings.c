#include "edge_settings.h"

#include "fields.h"
#include "quarantine.h"

#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define OFFSET(member) offsetof(edge_settings_t, member)
#define ADDRESS_FIELD(key, member)                        \
	{                                                 \
		key, FIELD_TEXT, true, OFFSET(member), 1, \
			EDGE_ADDRESS_MAX - 1, NULL        \
	}

/* A number that may be a fraction; the platform states some bounds as one. */
#define NUMBER_FIELD(key, member, min)                                     \
	{                                                                  \
		key, FIELD_DOUBLE, false, OFFSET(member), min, NUMBER_MAX, \
			NULL                                               \
	}
#define NUMBER_MAX 1000000000

/* Defaults of settings that the platform does not state. */
#define MEMORY_MB_DEFAULT 256
#define DESCRIPTORS_DEFAULT 1024
#define STOP_SECONDS_DEFAULT 8
#define KEY_REVOKE_MS_DEFAULT 5000
#define WINDOW_S_DEFAULT 10
/*
 * The retry budget of a window: the ratio is the number of retries allowed for
 * each request; the slack is the number allowed in addition, over all hosts. A
 * ratio of one fifth is what operators commonly state; it keeps retries from
 * doubling the load on a failing service. The slack allows retries when there
 * is too little traffic for the ratio to give any.
 */
#define RETRY_RATIO_DEFAULT 0.2
#define RETRY_SLACK_DEFAULT 50

/* Without a stated tolerance, the rate that a service states is the bound. */
#define SLOW_START_OVERRUN_DEFAULT 1

#define QUARANTINE_ENDS_DEFAULT 3
#define QUARANTINE_INTERVAL_S_DEFAULT 2
#define QUARANTINE_REQUEST_INTERVAL_S_DEFAULT 600
#define QUARANTINE_INTERVAL_MAX_S_DEFAULT 3600

static const field_t toplevel_fields[] = {
	{ "host", FIELD_TABLE, true, 0, 0, 0, NULL },
	{ "listen", FIELD_TABLE, true, 0, 0, 0, NULL },
	{ "peers", FIELD_TABLE, false, 0, 0, 0, NULL },
	{ "store", FIELD_TABLE, true, 0, 0, 0, NULL },
	{ "regions", FIELD_TABLE, false, 0, 0, 0, NULL },
	{ "limits", FIELD_TABLE, false, 0, 0, 0, NULL },
	{ "bounds", FIELD_TABLE, false, 0, 0, 0, NULL },
	{ "quarantine", FIELD_TABLE, false, 0, 0, 0, NULL },
	{ "overload", FIELD_TABLE, false, 0, 0, 0, NULL },
};

static const field_t host_fields[] = {
	{ "name", FIELD_TEXT, true, OFFSET(name), 1, PIMENTO_NAME_MAX - 1,
	  NULL },
	{ "datacentre", FIELD_TEXT, true, OFFSET(datacentre), 1,
	  PIMENTO_NAME_MAX - 1, NULL },
	{ "address", FIELD_ADDRESS, true, OFFSET(address), 0, 0, NULL },
	{ "first_start", FIELD_BOOL, false, OFFSET(first_start), 0, 0, NULL },
};

static const field_t listen_fields[] = {
	ADDRESS_FIELD("callers", callers),
	ADDRESS_FIELD("health", health),
	ADDRESS_FIELD("peers", peers),
	{ "gossip_port", FIELD_U16, true, OFFSET(gossip_port), 1, UINT16_MAX,
	  NULL },
};

static const field_t peers_fields[] = {
	{ "seeds", FIELD_STRING_ARRAY, false, 0, 0, 0, NULL },
	NUMBER_FIELD("hosts", hosts, 0),
};

static const field_t store_fields[] = {
	ADDRESS_FIELD("address", store),
};

static const field_t limits_fields[] = {
	NUMBER_FIELD("memory_mb", memory_mb, 1),
	NUMBER_FIELD("descriptors", descriptors, 64),
	NUMBER_FIELD("link_mbps", link_mbps, 0),
	NUMBER_FIELD("stop_seconds", stop_seconds, 1),
};

static const field_t bounds_fields[] = {
	NUMBER_FIELD("key_revoke_ms", key_revoke_ms, 1),
	NUMBER_FIELD("retry_ratio", retry_ratio, 0),
	NUMBER_FIELD("retry_slack", retry_slack, 0),
	NUMBER_FIELD("retry_window_s", retry_window_s, 1),
	NUMBER_FIELD("quota_window_s", quota_window_s, 1),
	NUMBER_FIELD("slow_start_overrun", slow_start_overrun, 1),
	NUMBER_FIELD("slow_start_slack", slow_start_slack, 0),
};

static const field_t quarantine_fields[] = {
	{ "ends", FIELD_DOUBLE, false, OFFSET(quarantine_ends), 2,
	  QUARANTINE_ENDS_MAX, NULL },
	NUMBER_FIELD("interval_s", quarantine_interval_s, 1),
	NUMBER_FIELD("request_interval_s", quarantine_request_interval_s, 1),
	NUMBER_FIELD("interval_max_s", quarantine_interval_max_s, 1),
};

static const field_t overload_fields[] = {
	{ "early_rejection", FIELD_BOOL, false, OFFSET(early_rejection), 0, 0,
	  NULL },
};

static const struct {
	const char *key;
	const field_t *fields;
	size_t count;
} tables[] = {
	{ "host", host_fields, COUNT(host_fields) },
	{ "listen", listen_fields, COUNT(listen_fields) },
	{ "peers", peers_fields, COUNT(peers_fields) },
	{ "store", store_fields, COUNT(store_fields) },
	{ "limits", limits_fields, COUNT(limits_fields) },
	{ "bounds", bounds_fields, COUNT(bounds_fields) },
	{ "quarantine", quarantine_fields, COUNT(quarantine_fields) },
	{ "overload", overload_fields, COUNT(overload_fields) },
};

static void check_address(const fields_source_t *source,
			  const toml_node_t *root, const char *table,
			  const char *key, const char *text)
{
	const toml_node_t *node = toml_get(toml_get(root, table), key);
	char address[64];
	uint16_t port;

	if (*text && fields_parse_address_port(text, address, &port))
		problems_add(source->problems, source->file, toml_line(node),
			     key,
			     "%s is not an address and port, such as "
			     "\"10.1.0.2:80\"",
			     text);
}

static void read_seeds(const fields_source_t *source, const toml_node_t *root,
		       edge_settings_t *settings)
{
	const toml_node_t *seeds = toml_get(toml_get(root, "peers"), "seeds");

	for (size_t i = 0; i < toml_count(seeds); i++) {
		const char *text = "";
		size_t length = 0;
		char *seed;

		if (settings->seed_count == EDGE_SEEDS_MAX)
			return;
		if (!toml_string(toml_at(seeds, i), &text, &length) ||
		    length >= EDGE_ADDRESS_MAX) {
			problems_add(source->problems, source->file,
				     toml_line(seeds), "peers.seeds",
				     "a seed is not an address and port of at "
				     "most 31 bytes");
			return;
		}
		seed = settings->seeds[settings->seed_count++];
		memcpy(seed, text, length);
		seed[length] = '\0';
		check_address(source, root, "peers", "seeds", seed);
	}
}

typedef struct region_reader {
	const fields_source_t *source;
	edge_settings_t *settings;
} region_reader_t;

static void read_region(void *context, const char *datacentre,
			const toml_node_t *value)
{
	const region_reader_t *reader = context;
	const fields_source_t *source = reader->source;
	edge_settings_t *settings = reader->settings;
	const char *name = "";
	size_t length = 0;
	edge_region_t *region;

	if (!toml_string(value, &name, &length) || !length ||
	    length >= PIMENTO_NAME_MAX || !*datacentre ||
	    strlen(datacentre) >= PIMENTO_NAME_MAX) {
		problems_add(source->problems, source->file, toml_line(value),
			     "regions",
			     "\"%s\" is not a data centre with the name of its "
			     "region",
			     datacentre);
		return;
	}
	if (settings->region_count == EDGE_DATACENTRES_MAX) {
		problems_add(source->problems, source->file, toml_line(value),
			     "regions", "more than %d data centres",
			     EDGE_DATACENTRES_MAX);
		return;
	}
	region = &settings->regions[settings->region_count++];
	memcpy(region->datacentre, datacentre, strlen(datacentre) + 1);
	memcpy(region->region, name, length);
	region->region[length] = '\0';
}

static void read_regions(const fields_source_t *source, const toml_node_t *root,
			 edge_settings_t *settings)
{
	region_reader_t reader = { source, settings };

	toml_foreach(toml_get(root, "regions"), read_region, &reader);
}

int edge_settings_parse(edge_settings_t *settings, const char *text,
			size_t length, const char *file, problems_t *problems)
{
	const fields_source_t source = { file, problems };
	uint32_t before = problems->count;
	toml_document_t document;
	int error;

	*settings = (edge_settings_t){
		.memory_mb = MEMORY_MB_DEFAULT,
		.descriptors = DESCRIPTORS_DEFAULT,
		.stop_seconds = STOP_SECONDS_DEFAULT,
		.key_revoke_ms = KEY_REVOKE_MS_DEFAULT,
		.retry_ratio = RETRY_RATIO_DEFAULT,
		.retry_slack = RETRY_SLACK_DEFAULT,
		.retry_window_s = WINDOW_S_DEFAULT,
		.quota_window_s = WINDOW_S_DEFAULT,
		.slow_start_overrun = SLOW_START_OVERRUN_DEFAULT,
		.quarantine_ends = QUARANTINE_ENDS_DEFAULT,
		.quarantine_interval_s = QUARANTINE_INTERVAL_S_DEFAULT,
		.quarantine_request_interval_s =
			QUARANTINE_REQUEST_INTERVAL_S_DEFAULT,
		.quarantine_interval_max_s = QUARANTINE_INTERVAL_MAX_S_DEFAULT,
	};
	error = toml_parse(&document, text, length);
	if (error) {
		problems_add(problems, file, document.error_line, "", "%s",
			     document.error);
		return error;
	}
	fields_read(&source, document.root, "", toplevel_fields,
		    COUNT(toplevel_fields), settings);
	for (size_t i = 0; i < COUNT(tables); i++)
		fields_read(&source, toml_get(document.root, tables[i].key),
			    tables[i].key, tables[i].fields, tables[i].count,
			    settings);
	read_seeds(&source, document.root, settings);
	read_regions(&source, document.root, settings);
	check_address(&source, document.root, "listen", "callers",
		      settings->callers);
	check_address(&source, document.root, "listen", "health",
		      settings->health);
	check_address(&source, document.root, "listen", "peers",
		      settings->peers);
	check_address(&source, document.root, "store", "address",
		      settings->store);
	toml_finish(&document);
	return problems->count > before ? PIMENTO_EPARSE : 0;
}
