/*
 * Ports are chosen before anything starts, because every daemon's settings and
 * the published lists name all of them. A port could be taken by somebody else
 * in between; the start then fails loudly and the test with it.
 */

#include "fleet.h"

#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define START_MS 10000
/* A daemon first ends its watch of the platform, then its requests. */
#define STOP_MS 40000
#define TEXT_MAX 65536
#define KEY_HASH_SIZE 32

typedef struct text {
	char bytes[TEXT_MAX];
	size_t length;
} strbuf_t;

static void add(strbuf_t *text, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void add(strbuf_t *text, const char *format, ...)
{
	va_list args;
	int length;

	va_start(args, format);
	length = vsnprintf(text->bytes + text->length, TEXT_MAX - text->length,
			   format, args);
	va_end(args);
	ck_assert_int_lt(length, (int)(TEXT_MAX - text->length));
	text->length += (size_t)length;
}

static const char head[] =
	"deployment = \"qurum\"\n"
	"body_max = 1048576\n"
	"retention_s = 600\n"
	"[[tier]]\nname = \"charge\"\nrank = 0\npatience_ms = 10000\n"
	"[[tier]]\nname = \"parent\"\nrank = 1\npatience_ms = 20000\n"
	"[[tier]]\nname = \"summary\"\nrank = 2\npatience_ms = 60000\n"
	"[[contract]]\nname = \"weekly-box\"\naccount = \"*\"\n"
	"target = \"model:planner\"\ntier = \"parent\"\n"
	"repeatable = true\nanswer_tokens = 64\n"
	"[[contract]]\nname = \"urgent-question\"\naccount = \"*\"\n"
	"target = \"model:planner\"\ntier = \"charge\"\n"
	"repeatable = true\nanswer_tokens = 16\n"
	"[[contract]]\nname = \"plan-once\"\naccount = \"*\"\n"
	"target = \"model:planner\"\ntier = \"parent\"\n"
	"repeatable = false\nanswer_tokens = 64\n"
	"[[contract]]\nname = \"ingredients\"\naccount = \"*\"\n"
	"target = \"model:planner\"\ntier = \"summary\"\n"
	"repeatable = true\nanswer_tokens = 256\n";

/* Only with services: a contract without an endpoint is a mistake. */
static const char service_contracts[] =
	"[[service]]\nname = \"orders\"\nprefix = \"/orders\"\n"
	"[[contract]]\nname = \"charge\"\naccount = \"*\"\n"
	"target = \"service:orders\"\ntier = \"charge\"\n"
	"repeatable = false\nmethod = \"POST\"\npath = \"/charge\"\n"
	"[[contract]]\nname = \"skip\"\naccount = \"*\"\n"
	"target = \"service:orders\"\ntier = \"charge\"\n"
	"repeatable = false\nmethod = \"POST\"\npath = \"/skip\"\n"
	"[[contract]]\nname = \"status\"\naccount = \"*\"\n"
	"target = \"service:orders\"\ntier = \"parent\"\n"
	"repeatable = true\nmethod = \"GET\"\n";

static void add_account(strbuf_t *text, const char *name, const char *key)
{
	unsigned char hash[KEY_HASH_SIZE];
	char hex[2 * KEY_HASH_SIZE + 1];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
			   strlen(key), NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	add(text, "[[account]]\nname = \"%s\"\nkey_hash = \"%s\"\nweight = 1\n",
	    name, hex);
}

static int or_default(int value, int otherwise)
{
	return value ? value : otherwise;
}

static void add_engine(strbuf_t *text, const fleet_t *fleet, int i)
{
	const fleet_engine_t *engine = &fleet->options.engine[i];

	add(text,
	    "[[endpoint]]\nname = \"engine-%d\"\ndatacentre = \"dc%d\"\n"
	    "target = \"model:planner\"\naddress = \"127.0.0.1\"\n"
	    "port = %u\nfencing = %s\nconcurrency = %d\n"
	    "context_tokens = 300000\n",
	    i, i % 3, fleet->engine[i].port, engine->fencing ? "true" : "false",
	    or_default(engine->concurrency, or_default(engine->batch, 8)));
}

static void build_config(strbuf_t *text, const fleet_t *fleet, const char *more)
{
	text->length = 0;
	if (fleet->options.evacuated)
		add(text, "evacuated = %s\n", fleet->options.evacuated);
	add(text, "%s", head);
	if (fleet->options.services)
		add(text, "%s", service_contracts);
	add_account(text, "shop", FLEET_KEY);
	add_account(text, "other", FLEET_OTHER_KEY);
	for (int i = 0; i < fleet->options.engines; i++)
		add_engine(text, fleet, i);
	for (int i = 0; i < fleet->options.services; i++)
		add(text,
		    "[[endpoint]]\nname = \"service-%d\"\n"
		    "datacentre = \"dc%d\"\ntarget = \"service:orders\"\n"
		    "address = \"127.0.0.1\"\nport = %u\nfencing = false\n"
		    "concurrency = 16\ncontext_tokens = 0\n",
		    i, i % 3, fleet->service[i].port);
	if (more)
		add(text, "%s", more);
}

static int half_of(const fleet_t *fleet, int host)
{
	return fleet->options.split && host >= fleet->options.split;
}

/* Where daemons of one half reach a host's peer port. */
static uint16_t link_port(const fleet_t *fleet, int half, int host)
{
	if (half_of(fleet, host) == half)
		return fleet->peer_port[host];
	return fleet->relay[host].port;
}

static void build_hosts(strbuf_t *text, const fleet_t *fleet, int half)
{
	const char *comma = "";

	text->length = 0;
	add(text, "{\"hosts\":[");
	for (int i = 0; i < fleet->options.hosts; i++) {
		if (fleet->gone[i])
			continue;
		add(text,
		    "%s{\"name\":\"host-%d\",\"datacentre\":\"dc%d\","
		    "\"address\":\"127.0.0.1\",\"port\":%u,"
		    "\"role\":\"entry\",\"state\":\"%s\"}",
		    comma, i, i % 3, link_port(fleet, half, i),
		    fleet->leaving[i] ? "leaving" : "live");
		comma = ",";
	}
	add(text, "]}");
}

static uint64_t publish(uint16_t port, const char *path, const char *value)
{
	client_call_t call = {
		.method = "PUT", .port = port, .path = path, .body = value
	};
	client_reply_t reply;
	uint64_t revision = 0;
	json_t *json;

	if (client_call(&reply, &call) == 0 && reply.status == 200) {
		json = client_json(&reply);
		revision = (uint64_t)json_integer_value(
			json_object_get(json, "revision"));
		json_decref(json);
	}
	client_reply_finish(&reply);
	return revision;
}

uint64_t fleet_publish_hosts(fleet_t *fleet)
{
	static strbuf_t text;
	uint64_t revision = 0;

	for (int i = 0; i < fleet->platforms; i++) {
		build_hosts(&text, fleet, i);
		revision = publish(fleet->platform[i].port, "/control/hosts",
				   text.bytes);
		if (!revision)
			return 0;
	}
	return revision;
}

uint64_t fleet_publish_config(fleet_t *fleet, const char *more)
{
	static strbuf_t text;
	uint64_t revision = 0;

	build_config(&text, fleet, more);
	for (int i = 0; i < fleet->platforms; i++) {
		revision = publish(fleet->platform[i].port, "/control/config",
				   text.bytes);
		if (!revision)
			return 0;
	}
	return revision;
}

static int start_engine(fleet_t *fleet, int i)
{
	const fleet_engine_t *engine = &fleet->options.engine[i];
	char name[PROCESS_NAME_MAX];
	char prefill[16];
	char decode[16];
	char batch[16];
	char cache[16];
	const char *args[] = {
		"--name",
		name,
		"--model",
		"planner",
		"--prefill",
		prefill,
		"--decode",
		decode,
		"--batch",
		batch,
		"--cache-tokens",
		cache,
		engine->fencing ? "--fencing" : NULL,
		NULL,
	};

	snprintf(name, sizeof(name), "engine-%d", i);
	snprintf(prefill, sizeof(prefill), "%d",
		 or_default(engine->prefill, 20000));
	snprintf(decode, sizeof(decode), "%d", or_default(engine->decode, 200));
	snprintf(batch, sizeof(batch), "%d", or_default(engine->batch, 8));
	snprintf(cache, sizeof(cache), "%d",
		 or_default(engine->cache_tokens, 65536));
	if (process_start(&fleet->engine[i], name, "engine", args) < 0)
		return -1;
	return process_wait_listening(&fleet->engine[i], START_MS);
}

static int start_service(fleet_t *fleet, int i)
{
	char name[PROCESS_NAME_MAX];
	char delay[16];
	const char *args[] = { "--name", name, "--delay-ms", delay, NULL };

	snprintf(name, sizeof(name), "service-%d", i);
	snprintf(delay, sizeof(delay), "%d", fleet->options.service_delay_ms);
	if (process_start(&fleet->service[i], name, "service", args) < 0)
		return -1;
	return process_wait_listening(&fleet->service[i], START_MS);
}

static int start_platform(fleet_t *fleet, int i)
{
	char name[PROCESS_NAME_MAX];
	const char *args[] = { "--name", name, NULL };

	snprintf(name, sizeof(name), "platform-%d", i);
	if (process_start(&fleet->platform[i], name, "platform", args) < 0)
		return -1;
	return process_wait_listening(&fleet->platform[i], START_MS);
}

static int choose_ports(fleet_t *fleet)
{
	for (int i = 0; i < fleet->options.hosts; i++) {
		fleet->http_port[i] = process_free_port();
		fleet->peer_port[i] = process_free_port();
		if (!fleet->http_port[i] || !fleet->peer_port[i])
			return -1;
		if (fleet->options.split &&
		    relay_init(&fleet->relay[i], fleet->peer_port[i]) < 0)
			return -1;
	}
	return 0;
}

int fleet_start_standins(fleet_t *fleet, const fleet_options_t *options)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->options = *options;
	fleet->platforms = options->split ? 2 : 1;
	if (sodium_init() < 0 || choose_ports(fleet) < 0)
		return -1;
	for (int i = 0; i < fleet->platforms; i++)
		if (start_platform(fleet, i) < 0)
			return -1;
	for (int i = 0; i < options->engines; i++)
		if (start_engine(fleet, i) < 0)
			return -1;
	for (int i = 0; i < options->services; i++)
		if (start_service(fleet, i) < 0)
			return -1;
	if (!fleet_publish_config(fleet, options->config_more))
		return -1;
	return fleet_publish_hosts(fleet) ? 0 : -1;
}

static void build_settings(strbuf_t *text, const fleet_t *fleet, int host)
{
	int half = half_of(fleet, host);
	const char *comma = "";

	text->length = 0;
	add(text,
	    "deployment = \"qurum\"\n[host]\nname = \"host-%d\"\n"
	    "datacentre = \"dc%d\"\naddress = \"127.0.0.1\"\n"
	    "http_port = %u\npeer_port = %u\n"
	    "[platform]\naddress = \"127.0.0.1\"\nport = %u\n"
	    "[peers]\nseeds = [",
	    host, host % 3, fleet->http_port[host], fleet->peer_port[host],
	    fleet->platform[half].port);
	for (int i = 0; i < fleet->options.hosts; i++) {
		if (i == host)
			continue;
		add(text, "%s\"127.0.0.1:%u\"", comma,
		    link_port(fleet, half, i));
		comma = ", ";
	}
	add(text, "]\n[keys]\nsecret = \"%064d\"\n", 7);
	add(text, "[log]\nlevel = \"%s\"\n",
	    fleet->options.log_level ? fleet->options.log_level : "info");
	add(text, "[limits]\nconnections = 1024\nstop_seconds = %d\n",
	    or_default(fleet->options.stop_seconds, 15));
}

static int launch_host(fleet_t *fleet, int host)
{
	static strbuf_t text;
	char name[PROCESS_NAME_MAX];
	char file[PROCESS_NAME_MAX + 8];
	char path[PROCESS_PATH_MAX];
	const char *args[] = { "-c", path, NULL };

	snprintf(name, sizeof(name), "host-%d", host);
	snprintf(file, sizeof(file), "%s.toml", name);
	build_settings(&text, fleet, host);
	if (process_write_file(path, file, text.bytes) < 0 ||
	    process_start(&fleet->host[host], name, "pimentod", args) < 0)
		return -1;
	return 0;
}

int fleet_start_host(fleet_t *fleet, int host)
{
	if (launch_host(fleet, host) < 0)
		return -1;
	return process_wait_health(fleet->http_port[host], START_MS);
}

int fleet_start(fleet_t *fleet, const fleet_options_t *options)
{
	if (fleet_start_standins(fleet, options) < 0)
		return -1;
	for (int i = 0; i < options->hosts; i++)
		if (launch_host(fleet, i) < 0)
			return -1;
	for (int i = 0; i < options->hosts; i++)
		if (process_wait_health(fleet->http_port[i], START_MS) < 0)
			return -1;
	return 0;
}

static int stop_one(process_t *process)
{
	if (!process_running(process))
		return 0;
	process_thaw(process);
	return process_stop(process, STOP_MS) == PROCESS_KILLED;
}

/* All at once, for each stop takes its time; a second SIGTERM is harmless. */
static void ask_to_stop(process_t *process)
{
	if (!process_running(process))
		return;
	process_thaw(process);
	kill(process->pid, SIGTERM);
}

int fleet_stop(fleet_t *fleet)
{
	int killed = 0;

	for (int i = 0; i < fleet->options.hosts; i++)
		ask_to_stop(&fleet->host[i]);
	for (int i = 0; i < fleet->options.hosts; i++)
		killed += stop_one(&fleet->host[i]);
	for (int i = 0; i < fleet->options.engines; i++)
		killed += stop_one(&fleet->engine[i]);
	for (int i = 0; i < fleet->options.services; i++)
		killed += stop_one(&fleet->service[i]);
	for (int i = 0; i < fleet->platforms; i++)
		killed += stop_one(&fleet->platform[i]);
	for (int i = 0; fleet->options.split && i < fleet->options.hosts; i++)
		relay_finish(&fleet->relay[i]);
	return killed;
}

void fleet_cut(fleet_t *fleet)
{
	for (int i = 0; i < fleet->options.hosts; i++)
		relay_cut(&fleet->relay[i], RELAY_BOTH);
}

void fleet_mend(fleet_t *fleet)
{
	for (int i = 0; i < fleet->options.hosts; i++)
		relay_mend(&fleet->relay[i]);
}

int fleet_control(uint16_t port, const char *path, const char *json)
{
	client_call_t call = { .port = port, .path = path, .body = json };
	client_reply_t reply;
	int result = client_call(&reply, &call);

	if (reply.status != 200)
		result = -1;
	client_reply_finish(&reply);
	return result;
}

static json_t *get_json(uint16_t port, const char *path)
{
	client_call_t call = { .port = port, .path = path };
	client_reply_t reply;
	json_t *json = NULL;

	if (client_call(&reply, &call) == 0)
		json = client_json(&reply);
	client_reply_finish(&reply);
	return json;
}

static int field(const json_t *run, const char *name)
{
	return (int)json_integer_value(json_object_get(run, name));
}

/* A request may have run once here and once at another endpoint. */
static int merge_runs(json_t *all, uint16_t port)
{
	json_t *runs = get_json(port, "/runs");
	const char *id;
	json_t *run;

	if (!runs)
		return -1;
	json_object_foreach(runs, id, run)
	{
		const json_t *before = json_object_get(all, id);

		json_object_set_new(all, id,
				    json_pack("{s:i,s:i}", "started",
					      field(before, "started") +
						      field(run, "started"),
					      "finished",
					      field(before, "finished") +
						      field(run, "finished")));
	}
	json_decref(runs);
	return 0;
}

static void sum_runs(json_t *all, fleet_runs_t *runs)
{
	const char *id;
	json_t *run;

	json_object_foreach(all, id, run)
	{
		uint32_t started = (uint32_t)field(run, "started");

		runs->requests++;
		runs->started += started;
		runs->finished += (uint32_t)field(run, "finished");
		if (started > runs->most)
			runs->most = started;
	}
}

int fleet_runs(fleet_t *fleet, fleet_runs_t *runs)
{
	json_t *all = json_object();
	int error = 0;

	memset(runs, 0, sizeof(*runs));
	for (int i = 0; i < fleet->options.engines; i++)
		error |= merge_runs(all, fleet->engine[i].port);
	for (int i = 0; i < fleet->options.services; i++)
		error |= merge_runs(all, fleet->service[i].port);
	sum_runs(all, runs);
	json_decref(all);
	return error ? -1 : 0;
}

int fleet_key_runs(fleet_t *fleet, const char *key)
{
	int started = 0;

	for (int i = 0; i < fleet->options.services; i++) {
		json_t *keys = get_json(fleet->service[i].port, "/keys");

		started += field(json_object_get(keys, key), "started");
		json_decref(keys);
	}
	return started;
}

int fleet_issue_key(uint16_t port, char key[FLEET_KEY_MAX])
{
	client_call_t call = {
		.port = port,
		.path = "/v1/keys",
		.headers = { { "Authorization", "Bearer " FLEET_KEY } },
		.body = "{\"count\":1}",
	};
	client_reply_t reply;
	json_t *json;
	const char *text;

	client_call(&reply, &call);
	json = client_json(&reply);
	text = json_string_value(
		json_array_get(json_object_get(json, "keys"), 0));
	if (text)
		snprintf(key, FLEET_KEY_MAX, "%s", text);
	json_decref(json);
	client_reply_finish(&reply);
	return text ? 0 : -1;
}

void fleet_draw_key(char key[FLEET_KEY_MAX])
{
	struct timespec now;
	uint64_t ms;
	uint32_t random[3];

	clock_gettime(CLOCK_REALTIME, &now);
	ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
	randombytes_buf(random, sizeof(random));
	snprintf(key, FLEET_KEY_MAX, "%08x-%04x-7%03x-%04x-%04x%08x",
		 (uint32_t)(ms >> 16), (uint32_t)(ms & 0xffff),
		 random[0] & 0xfff, 0x8000 | (random[0] >> 16 & 0x3fff),
		 random[1] & 0xffff, random[2]);
}

client_call_t fleet_completion(uint16_t port, const char *json)
{
	return (client_call_t){
		.port = port,
		.path = "/v1/completions",
		.headers = { { "Authorization", "Bearer " FLEET_KEY },
			     { "Content-Type", "application/json" } },
		.body = json,
	};
}
