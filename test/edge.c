#include "edge.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READY_MS = 10000,
	STARTS_MAX = 20,
	STOP_MS = 12000,
	TEXT_BYTES = 4096,
	ROUTE_BYTES = 256,
	KEY_REVOKE_MS = 3000,
	CALLER_PAUSE_MS = 10 /* between two requests */
};

static const char settings_format[] =
	"[host]\nname = \"h%u\"\ndatacentre = \"a\"\naddress = \"127.0.1.%u\"\n"
	"first_start = %s\n"
	"[listen]\ncallers = \"127.0.0.1:%u\"\nhealth = \"127.0.0.1:%u\"\n"
	"peers = \"127.0.1.%u:%u\"\ngossip_port = %u\n"
	"[peers]\nseeds = [\"127.0.1.1:%u\", \"127.0.1.2:%u\"]\n"
	"[store]\naddress = \"127.0.0.1:%u\"\n"
	"[regions]\na = \"east\"\nb = \"west\"\n"
	"[limits]\nstop_seconds = 8\nlink_mbps = %g\n"
	"[bounds]\nkey_revoke_ms = %u\nretry_ratio = 0.2\nretry_slack = 56\n"
	"retry_window_s = 10\nquota_window_s = 8\n"
	"[overload]\nearly_rejection = %s\n";

static const char configuration_format[] =
	"{\"version\":%u,\"routes\":[%s"
	"{\"name\":\"r1\",\"host\":\"t.example\",\"prefix\":\"/stream/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":400,"
	"\"priority\":0,\"service\":\"s\",\"max_attempts\":2,"
	"\"resumable\":true,\"gap_goal_ms\":300},"
	"{\"name\":\"r2\",\"host\":\"t.example\",\"prefix\":\"/once/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":400,"
	"\"priority\":0,\"service\":\"s\",\"max_attempts\":1,"
	"\"gap_goal_ms\":300},"
	"{\"name\":\"r3\",\"host\":\"t.example\",\"prefix\":\"/safe/\","
	"\"route_type\":\"idempotent\",\"timeout_ms\":1500,\"goal_ms\":100,"
	"\"priority\":1,\"service\":\"s\",\"max_attempts\":2},"
	"{\"name\":\"r4\",\"host\":\"t.example\",\"prefix\":\"/unsafe/\","
	"\"route_type\":\"non_idempotent\",\"timeout_ms\":1500,\"goal_ms\":100,"
	"\"priority\":1,\"service\":\"s\",\"max_attempts\":1}],"
	"\"services\":[{\"name\":\"s\"%s}],"
	"\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":%u,"
	"\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000},"
	"\"tenants\":[{\"name\":\"account-one\",\"api_keys\":%s},"
	"{\"name\":\"account-two\",\"api_keys\":[\"" EDGE_LIMITED_KEY "\"],"
	"\"rate_per_s\":10,\"burst\":10}]}";

static const char route_format[] =
	"{\"name\":\"r-%08x\",\"host\":\"%08x.example\","
	"\"prefix\":\"/%08x/\",\"route_type\":\"idempotent\","
	"\"timeout_ms\":1500,\"goal_ms\":100,\"priority\":1,"
	"\"service\":\"s\",\"max_attempts\":2},";

static void store_call_at(uint16_t port, const char *path, const char *body)
{
	client_call_t call = {
		.method = "POST", .port = port, .path = path, .body = body
	};
	client_reply_t reply;

	ck_assert_int_eq(client_call(&reply, &call), 0);
	ck_assert_int_eq(reply.status, 200);
	client_reply_finish(&reply);
}

static uint32_t store_count(const edge_t *edge)
{
	return edge->own_paths ? edge->host_count : 1;
}

static uint16_t store_port(const edge_t *edge, uint32_t host)
{
	return edge->own_paths && host ? edge->stores[host].port
				       : edge->store.port;
}

/* Stores of several hosts get the same calls, so that their revisions agree. */
static void store_call(const edge_t *edge, const char *path, const char *body)
{
	for (uint32_t i = 0; i < store_count(edge); i++)
		store_call_at(store_port(edge, i), path, body);
}

static void put_at(uint16_t port, const char *key, const char *value)
{
	char path[256];

	snprintf(path, sizeof(path), "/test/put?key=%s", key);
	store_call_at(port, path, value);
}

void edge_put(const edge_t *edge, const char *key, const char *value)
{
	char path[256];

	snprintf(path, sizeof(path), "/test/put?key=%s", key);
	store_call(edge, path, value);
}

void edge_remove(const edge_t *edge, const char *key)
{
	char path[256];

	snprintf(path, sizeof(path), "/test/remove?key=%s", key);
	store_call(edge, path, "");
}

void edge_mode(const edge_t *edge, const char *mode)
{
	char path[64];

	snprintf(path, sizeof(path), "/test/mode?%s", mode);
	store_call(edge, path, "");
}

void edge_forget(const edge_t *edge)
{
	store_call(edge, "/test/forget", "");
}

static void configure(const edge_t *edge, uint32_t version, const char *keys,
		      uint32_t body_bytes_max, const char *routes)
{
	size_t size = TEXT_BYTES + strlen(routes);
	char *text = malloc(size);

	ck_assert_ptr_nonnull(text);
	snprintf(text, size, configuration_format, version, routes,
		 edge->engines ? ",\"engine\":{}" : "", body_bytes_max, keys);
	edge_put(edge, "op/config", text);
	free(text);
}

void edge_configure(const edge_t *edge, uint32_t version, const char *keys,
		    uint32_t body_bytes_max)
{
	configure(edge, version, keys, body_bytes_max, "");
}

/* Uses hashed names, hosts and paths, so that routes compress realistically. */
void edge_configure_routes(const edge_t *edge, uint32_t version,
			   const char *keys, uint32_t routes)
{
	char *text = malloc((size_t)routes * ROUTE_BYTES + 1);
	char *end = text;

	ck_assert_ptr_nonnull(text);
	*end = '\0';
	for (uint32_t i = 0; i < routes; i++)
		end += snprintf(end, ROUTE_BYTES, route_format, i * 2654435761u,
				i * 2246822519u, i * 3266489917u);
	configure(edge, version, keys, 1000, text);
	free(text);
}

void edge_list_worker(const edge_t *edge, uint32_t index, const char *state)
{
	edge_list_worker_in(edge, index, "a", state);
}

void edge_list_worker_in(const edge_t *edge, uint32_t index,
			 const char *datacentre, const char *state)
{
	edge_list_process(edge, index, datacentre, state, 1);
}

void edge_list_process(const edge_t *edge, uint32_t index,
		       const char *datacentre, const char *state,
		       uint32_t started_at_ms)
{
	uint16_t front = edge->worker_fronts[index] ? edge->worker_fronts[index]
						    : edge->workers[index].port;
	char key[32];
	char text[256];

	snprintf(key, sizeof(key), "servers/w%u", index);
	for (uint32_t host = 0; host < store_count(edge); host++) {
		snprintf(
			text, sizeof(text),
			"{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
			"\"zone\":\"%s\",\"slots\":8,\"state\":\"%s\",\"born\":%u}",
			edge->own_paths ? edge->paths[host][index].port : front,
			datacentre, state, started_at_ms);
		put_at(store_port(edge, host), key, text);
	}
}

static void start_program(process_t *process, const char *name,
			  const char *program, const char *id)
{
	char port[8];
	const char *args[] = { port, id, NULL };

	snprintf(port, sizeof(port), "%u", process_free_port());
	ck_assert_int_eq(process_start(process, name, program, args), 0);
	ck_assert_int_eq(process_wait_listening(process, READY_MS), 0);
}

void edge_start_worker(edge_t *edge, uint32_t index, const char *name)
{
	char id[16];

	snprintf(id, sizeof(id), "w%u", index);
	start_program(&edge->workers[index], name, "worker", id);
}

void edge_start_host(edge_t *edge, uint32_t index)
{
	edge_host_t *host = &edge->hosts[index];
	char path[PROCESS_PATH_MAX];
	char text[TEXT_BYTES];
	char name[16];
	const char *args[] = { "-c", path, NULL };

	snprintf(text, sizeof(text), settings_format, index + 1, index + 1,
		 host->started_before ? "false" : "true", host->callers,
		 host->health, index + 1,
		 edge->peer_fronts[index] ? edge->peer_fronts[index]
					  : edge->peer_port,
		 edge->gossip_port, edge->peer_port, edge->peer_port,
		 edge->store_front ? edge->store_front
				   : store_port(edge, index),
		 edge->link_mbps,
		 edge->key_revoke_ms ? edge->key_revoke_ms : KEY_REVOKE_MS,
		 edge->early_rejection ? "true" : "false");
	snprintf(name, sizeof(name), "h%u.toml", index + 1);
	ck_assert_int_eq(process_write_file(path, name, text), 0);
	snprintf(name, sizeof(name), "h%u", index + 1);
	ck_assert_int_eq(
		process_start(&host->process, name, "pimentoedge", args), 0);
	host->started_before = true;
}

static void start_paths(edge_t *edge, uint32_t worker)
{
	for (uint32_t host = 0; host < edge->host_count; host++)
		ck_assert_int_eq(relay_init_at(&edge->paths[host][worker],
					       INADDR_LOOPBACK,
					       process_free_port(),
					       edge->workers[worker].port),
				 0);
}

void edge_cut_path(edge_t *edge, uint32_t host, uint32_t worker, edge_cut_t how)
{
	relay_t *path = &edge->paths[host][worker];

	if (how == EDGE_CUT_SILENT)
		relay_cut(path, RELAY_BOTH);
	else if (how == EDGE_CUT_LOSS)
		relay_lose(path);
	else if (how == EDGE_CUT_RESET)
		relay_drop(path);
	relay_shut_door(path,
			how == EDGE_CUT_RESET || how == EDGE_CUT_NEW_REFUSED
				? RELAY_REFUSES
				: RELAY_HANGS);
}

void edge_mend_path(edge_t *edge, uint32_t host, uint32_t worker)
{
	relay_mend(&edge->paths[host][worker]);
}

static void start_stores(edge_t *edge)
{
	char name[16];

	start_program(&edge->store, "store", "store", NULL);
	for (uint32_t i = 1; i < store_count(edge); i++) {
		snprintf(name, sizeof(name), "store%u", i);
		start_program(&edge->stores[i], name, "store", NULL);
	}
}

/* True if the host took its list of workers from a peer, not from its store. */
static bool has_list_of_peer(const edge_t *edge, uint32_t host)
{
	FILE *file = fopen(edge->hosts[host].process.out, "r");
	char line[TEXT_BYTES];
	bool found = false;

	while (file && fgets(line, sizeof(line), file))
		if (strstr(line, "event=snapshot collection=endpoints"))
			found = true;
	if (file)
		fclose(file);
	return found;
}

/* A list of a peer leads through that host's paths, which are not to be cut. */
static void ensure_own_list(edge_t *edge, uint32_t host)
{
	for (int i = 0; has_list_of_peer(edge, host); i++) {
		ck_assert_int_lt(i, STARTS_MAX);
		process_kill(&edge->hosts[host].process);
		edge_start_host(edge, host);
		ck_assert(edge_wait_health(edge, host, 200, READY_MS));
	}
}

static void start_all(edge_t *edge, uint32_t hosts, uint32_t workers)
{
	edge->worker_count = workers;
	edge->host_count = hosts;
	edge->peer_port = process_free_port();
	edge->gossip_port = process_free_port();
	start_stores(edge);
	edge_configure(edge, 2, "[\"" EDGE_KEY "\"]", 100000);
	for (uint32_t i = 0; i < workers; i++) {
		char name[16];

		snprintf(name, sizeof(name), "w%u", i);
		edge_start_worker(edge, i, name);
		if (edge->own_paths)
			start_paths(edge, i);
		edge_list_worker(edge, i, "ready");
	}
	for (uint32_t i = 0; i < hosts; i++) {
		edge->hosts[i].callers = process_free_port();
		edge->hosts[i].health = process_free_port();
		edge_start_host(edge, i);
	}
	for (uint32_t i = 0; i < hosts; i++)
		ck_assert(edge_wait_health(edge, i, 200, READY_MS));
	for (uint32_t i = 0; edge->own_paths && i < hosts; i++)
		ensure_own_list(edge, i);
}

void edge_start(edge_t *edge, uint32_t hosts, uint32_t workers)
{
	memset(edge, 0, sizeof(*edge));
	start_all(edge, hosts, workers);
}

void edge_start_links(edge_t *edge, uint32_t hosts, uint32_t workers,
		      double link_mbps)
{
	memset(edge, 0, sizeof(*edge));
	edge->link_mbps = link_mbps;
	start_all(edge, hosts, workers);
}

void edge_start_engines(edge_t *edge, uint32_t hosts, uint32_t workers)
{
	memset(edge, 0, sizeof(*edge));
	edge->engines = true;
	start_all(edge, hosts, workers);
}

void edge_start_rejecting(edge_t *edge, uint32_t hosts, uint32_t workers)
{
	memset(edge, 0, sizeof(*edge));
	edge->engines = true;
	edge->early_rejection = true;
	start_all(edge, hosts, workers);
}

void edge_start_paths(edge_t *edge, uint32_t hosts, uint32_t workers)
{
	memset(edge, 0, sizeof(*edge));
	edge->own_paths = true;
	start_all(edge, hosts, workers);
}

void edge_start_engine_paths(edge_t *edge, uint32_t hosts, uint32_t workers)
{
	memset(edge, 0, sizeof(*edge));
	edge->own_paths = true;
	edge->engines = true;
	start_all(edge, hosts, workers);
}

static void *run_caller(void *data)
{
	edge_callers_t *callers = data;
	uint32_t host = callers->started++ % callers->edge->host_count;

	while (!callers->stopping) {
		client_reply_t reply =
			edge_ask(callers->edge, host, callers->path, NULL, "x");

		if (reply.status == 200)
			callers->served++;
		else
			callers->not_served++;
		client_reply_finish(&reply);
		process_sleep_ms(CALLER_PAUSE_MS);
	}
	return NULL;
}

void edge_call(edge_callers_t *callers, const edge_t *edge, const char *path)
{
	memset(callers, 0, sizeof(*callers));
	callers->edge = edge;
	callers->path = path;
	for (uint32_t i = 0; i < EDGE_CALLERS; i++)
		ck_assert_int_eq(pthread_create(&callers->threads[i], NULL,
						run_caller, callers),
				 0);
}

void edge_end_calls(edge_callers_t *callers)
{
	callers->stopping = true;
	for (uint32_t i = 0; i < EDGE_CALLERS; i++)
		pthread_join(callers->threads[i], NULL);
}

void edge_stop(edge_t *edge)
{
	for (uint32_t i = 0; i < edge->host_count; i++)
		if (process_running(&edge->hosts[i].process))
			process_kill(&edge->hosts[i].process);
	for (uint32_t i = 0; i < edge->worker_count; i++)
		if (process_running(&edge->workers[i]))
			process_stop(&edge->workers[i], STOP_MS);
	process_stop(&edge->store, STOP_MS);
	for (uint32_t i = 1; i < store_count(edge); i++)
		process_stop(&edge->stores[i], STOP_MS);
	for (uint32_t i = 0; edge->own_paths && i < edge->host_count; i++)
		for (uint32_t j = 0; j < edge->worker_count; j++)
			relay_finish(&edge->paths[i][j]);
}

client_reply_t edge_ask(const edge_t *edge, uint32_t host, const char *path,
			const char *behave, const char *body)
{
	char sender[16];
	client_call_t call = { .method = body ? "POST" : "GET",
			       .port = edge->hosts[host].callers,
			       .path = path,
			       .headers = { { "Host", "t.example" },
					    { "Request-Id", "id-of-a-test" },
					    { "Deadline-Ms", "5000" },
					    { "Key", EDGE_KEY },
					    { "Test-Sender", sender },
					    { behave ? "Test-Behave" : NULL,
					      behave } },
			       .body = body };
	client_reply_t reply;

	snprintf(sender, sizeof(sender), "h%u", host);
	client_call(&reply, &call);
	return reply;
}

client_reply_t edge_ask_key(const edge_t *edge, uint32_t host, const char *path,
			    const char *key)
{
	client_call_t call = { .method = "GET",
			       .port = edge->hosts[host].callers,
			       .path = path,
			       .headers = { { "Host", "t.example" },
					    { "Request-Id", "id-of-a-test" },
					    { "Deadline-Ms", "5000" },
					    { *key ? "Key" : NULL, key } } };
	client_reply_t reply;

	client_call(&reply, &call);
	return reply;
}

long edge_health(const edge_t *edge, uint32_t host)
{
	client_call_t call = { .method = "GET",
			       .port = edge->hosts[host].health,
			       .path = "/readyz",
			       .timeout_s = 2 };
	client_reply_t reply;
	long status;

	client_call(&reply, &call);
	status = reply.status;
	client_reply_finish(&reply);
	return status;
}

bool edge_wait_health(const edge_t *edge, uint32_t host, long status,
		      int timeout_ms)
{
	int64_t until = process_now_ms() + timeout_ms;

	while (process_now_ms() < until) {
		if (edge_health(edge, host) == status)
			return true;
		process_sleep_ms(20);
	}
	return false;
}

long edge_metric(const edge_t *edge, uint32_t host, const char *name)
{
	client_call_t call = { .method = "GET",
			       .port = edge->hosts[host].health,
			       .path = "/metrics" };
	client_reply_t reply;
	char line[96];
	const char *at;
	long value = -1;

	client_call(&reply, &call);
	snprintf(line, sizeof(line), "\n%s ", name);
	at = strstr(reply.body, line);
	if (at)
		value = strtol(at + strlen(line), NULL, 10);
	client_reply_finish(&reply);
	return value;
}

long edge_worker(const edge_t *edge, uint32_t index, const char *name)
{
	client_call_t call = { .method = "GET",
			       .port = edge->workers[index].port,
			       .path = "/test/runs" };
	client_reply_t reply;
	json_t *root;
	long value;

	ck_assert_int_eq(client_call(&reply, &call), 0);
	root = client_json(&reply);
	value = (long)json_integer_value(json_object_get(root, name));
	json_decref(root);
	client_reply_finish(&reply);
	return value;
}

static void worker_call(const edge_t *edge, uint32_t index, const char *path)
{
	client_call_t call = { .method = "GET",
			       .port = edge->workers[index].port,
			       .path = path };
	client_reply_t reply;

	ck_assert_int_eq(client_call(&reply, &call), 0);
	ck_assert_int_eq(reply.status, 200);
	client_reply_finish(&reply);
}

void edge_set_backoff(const edge_t *edge, uint32_t index, const char *value,
		      int span_ms, const char *sender)
{
	char path[96];

	snprintf(path, sizeof(path), "/test/backoff/%s/%d/%s", value, span_ms,
		 sender);
	worker_call(edge, index, path);
}

void edge_leave_worker(const edge_t *edge, uint32_t index)
{
	worker_call(edge, index, "/test/leave");
}

void edge_set_worker(const edge_t *edge, uint32_t index, double limit,
		     uint32_t rejected, bool only_rejections)
{
	char path[64];

	snprintf(path, sizeof(path), "/test/state/%g/%u/%s", limit, rejected,
		 only_rejections ? "rejections" : "all");
	worker_call(edge, index, path);
}

int edge_connect(const edge_t *edge, uint32_t host)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons(edge->hosts[host].callers);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

void edge_send(int fd, const char *text)
{
	size_t length = strlen(text);

	ck_assert_int_eq(send(fd, text, length, MSG_NOSIGNAL), (ssize_t)length);
}

bool edge_expect(int fd, const char *text, int timeout_ms)
{
	int64_t until = process_now_ms() + timeout_ms;
	char bytes[65536];
	size_t length = 0;

	while (process_now_ms() < until && length < sizeof(bytes) - 1) {
		struct pollfd poller = { .fd = fd, .events = POLLIN };
		ssize_t got;

		if (poll(&poller, 1, (int)(until - process_now_ms())) <= 0)
			return false;
		got = recv(fd, bytes + length, sizeof(bytes) - 1 - length, 0);
		if (got <= 0)
			return false;
		length += (size_t)got;
		bytes[length] = '\0';
		if (strstr(bytes, text))
			return true;
	}
	return false;
}
