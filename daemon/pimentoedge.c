/*
 * The daemon of an entry host on the platform: wires the library's parts to one
 * event loop and lets it run. SIGTERM asks for the graceful stop, SIGHUP for
 * reading the settings anew.
 */

#include "edge_settings.h"
#include "feed.h"
#include "gateway.h"
#include "headers.h"
#include "mesh.h"
#include "metrics.h"
#include "quarantine_page.h"
#include "sys.h"
#include "trail.h"
#include "window.h"

#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define SETTINGS_MAX ((size_t)256 * 1024)
#define SETTINGS_VARIABLE "PIMENTOSHELF_CONFIG"

/* The beat of everything that is not called by its own event. */
#define TICK_SECONDS 0.05
/* Notes go to peers every second tick: ten times a second. */
#define MESH_TICKS 2
/* The settings file is looked at, for a change without a signal. */
#define SETTINGS_TICKS 40

/*
 * A revoked key is not honoured within this of its bound, which covers the
 * time between the check and the request's arrival at its endpoint.
 */
#define KEY_MARGIN (400 * PIMENTO_MSEC)

/*
 * A copy older than this part of what keys are honoured for is not left to
 * peers any more.
 */
#define READ_AGE_PART 0.6
#define READ_AGE_SPREAD 0.1

/*
 * After SIGTERM callers are served as before until the balancer has surely
 * noticed: it asks once a second and wants two misses.
 */
#define NOTICE (2500 * PIMENTO_MSEC)
/* Before the platform's SIGKILL: the last answers are given, */
#define STOP_MARGIN (600 * PIMENTO_MSEC)
/* and the process exits though callers have not read theirs. */
#define EXIT_MARGIN (300 * PIMENTO_MSEC)

/* Descriptors: some are the system's, and half of the rest face callers. */
#define DESCRIPTORS_KEPT 200
#define CALLERS_PART 0.6
/* Tunnels for peers, with two descriptors each. */
#define TUNNELS_PART 0.08

/* Part of the memory for bodies; answers, buffers and the copy take the rest. */
#define BODIES_PART 0.4

enum { EXIT_USAGE = 2 };

typedef struct edge {
	struct ev_loop *loop;
	const char *path; /* of the settings */
	struct timespec settings_time;
	edge_settings_t settings;
	registry_t registry;
	peers_t roster;
	feed_t feed;
	slots_t slots;
	gateway_t gateway;
	mesh_t mesh;
	httpd_ops_t health_ops;
	httpd_t health;
	ev_timer tick;
	ev_signal term;
	ev_signal hup;
	uint64_t ticks;
	bool reader; /* selected to read the store on behalf of peers */
	bool able; /* as last told by the health check */
	pimento_usec_t stopping; /* since; 0 no */
} edge_t;

static const char usage[] =
	"usage: pimentoedge [-c SETTINGS.toml] [-t]\n"
	"\n"
	"  -c, --config FILE   settings; default: $" SETTINGS_VARIABLE "\n"
	"  -t, --test          check the settings and exit\n"
	"  -h, --help          show this help\n"
	"  -V, --version       show the version\n"
	"\n"
	"Exit status: 0 after a graceful stop, 1 if it could not run, 2 for bad\n"
	"settings or usage.\n";

/* Settings. */

static int load_settings(const char *path, edge_settings_t *settings)
{
	problems_t problems;
	size_t length;
	char *text = sys_read_file(path, SETTINGS_MAX, &length);
	int error;

	if (!text) {
		fprintf(stderr, "pimentoedge: %s: %s\n", path, strerror(errno));
		return EXIT_USAGE;
	}
	problems_init(&problems);
	error = edge_settings_parse(settings, text, length, path, &problems);
	if (error)
		fprintf(stderr, "%spimentoedge: %s: %s\n",
			problems.text ? problems.text : "", path,
			pimento_strerror(error));
	problems_finish(&problems);
	free(text);
	return error ? EXIT_USAGE : EXIT_SUCCESS;
}

static bool file_time(const char *path, struct timespec *time)
{
	struct stat status;

	if (stat(path, &status))
		return false;
	*time = status.st_mtim;
	return true;
}

static pimento_usec_t seconds(double value)
{
	return (pimento_usec_t)(value * (double)PIMENTO_SEC);
}

#define BYTES_PER_MBIT 125000
/* Ends late in an answer hit sound streams as well, which are many. */
#define LATE_ENDS_MORE 2

static quarantine_limits_t quarantine_limits(const edge_settings_t *settings,
					     uint32_t more_ends,
					     double interval_s)
{
	uint32_t ends = (uint32_t)settings->quarantine_ends + more_ends;

	return (quarantine_limits_t){
		.ends = ends < QUARANTINE_ENDS_MAX ? ends : QUARANTINE_ENDS_MAX,
		.interval = seconds(interval_s),
		.interval_max = seconds(settings->quarantine_interval_max_s),
	};
}

static gateway_bounds_t bounds_of(const edge_settings_t *settings)
{
	pimento_usec_t revoke = seconds(settings->key_revoke_ms / 1000);

	return (gateway_bounds_t){
		.key_lease = revoke > 2 * KEY_MARGIN ? revoke - KEY_MARGIN
						     : revoke / 2,
		.retry = { .window = seconds(settings->retry_window_s),
			   .ratio = settings->retry_ratio,
			   .slack = settings->retry_slack },
		.quota_window = seconds(settings->quota_window_s),
		.early_rejection = settings->early_rejection,
		.link_rate = settings->link_mbps * BYTES_PER_MBIT,
		.quarantines = {
			[QUARANTINE_PARTS] = quarantine_limits(settings, 0,
				settings->quarantine_interval_s),
			[QUARANTINE_REQUESTS] = quarantine_limits(settings, 0,
				settings->quarantine_request_interval_s),
			[QUARANTINE_LATE_PARTS] = quarantine_limits(settings,
				LATE_ENDS_MORE,
				settings->quarantine_interval_s),
		},
	};
}

/* What the registry takes from the settings. */
static void configure_registry(edge_t *edge)
{
	const edge_settings_t *settings = &edge->settings;

	for (uint32_t i = 0; i < settings->region_count; i++)
		if (registry_set_region(&edge->registry,
					settings->regions[i].datacentre,
					settings->regions[i].region))
			trail(TRAIL_STATE, "edge", "region_dropped",
			      "datacentre=%s why=memory",
			      settings->regions[i].datacentre);
	edge->registry.start_bounds.overrun = settings->slow_start_overrun;
	edge->registry.start_bounds.slack = settings->slow_start_slack;
}

static void add_seeds(edge_t *edge)
{
	peers_set_stated_hosts(&edge->roster, (uint32_t)edge->settings.hosts);
	for (uint32_t i = 0; i < edge->settings.seed_count; i++)
		mesh_add_seed(&edge->mesh, edge->settings.seeds[i], sys_now());
}

/*
 * What a running host can take over: seeds and bounds. Addresses hold until the
 * next start. Settings that are bad change nothing.
 */
static void reload(edge_t *edge, const char *why)
{
	edge_settings_t settings;
	gateway_bounds_t bounds;

	(void)file_time(edge->path, &edge->settings_time);
	if (load_settings(edge->path, &settings)) {
		trail(TRAIL_STATE, "edge", "reload", "why=%s outcome=refused",
		      why);
		return;
	}
	edge->settings = settings;
	bounds = bounds_of(&settings);
	gateway_set_bounds(&edge->gateway, &bounds);
	configure_registry(edge);
	add_seeds(edge);
	trail(TRAIL_STATE, "edge", "reload", "why=%s outcome=taken seeds=%u",
	      why, settings.seed_count);
}

static void look_at_settings(edge_t *edge)
{
	struct timespec time;

	if (!file_time(edge->path, &time))
		return;
	if (time.tv_sec != edge->settings_time.tv_sec ||
	    time.tv_nsec != edge->settings_time.tv_nsec)
		reload(edge, "file_changed");
}

/* Health and metrics. */

static void write_metrics(void *context, strbuf_t *text)
{
	const edge_t *edge = context;
	metrics_sources_t sources = {
		.gateway = &edge->gateway,
		.mesh = &edge->mesh,
		.now = sys_now(),
	};

	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++) {
		sources.store_calls += edge->feed.stores[kind].calls;
		sources.store_errors += edge->feed.stores[kind].errors;
	}
	metrics_write(text, &sources);
}

static bool is_ready(const edge_t *edge)
{
	return !edge->stopping && edge->registry.count &&
	       gateway_able(&edge->gateway, sys_now());
}

static void on_health(httpd_conn_t *conn)
{
	edge_t *edge = conn->server->user;
	strbuf_t text;

	if (strncmp(conn->target.bytes, QUARANTINE_PAGE_PATH,
		    strlen(QUARANTINE_PAGE_PATH)) == 0) {
		quarantine_page_serve(&edge->gateway, conn);
		return;
	}
	strbuf_init(&text);
	if (strcmp(conn->target.bytes, "/metrics") == 0) {
		write_metrics(edge, &text);
		httpd_answer(conn, HTTP_STATUS_OK, "", strbuf_str(&text),
			     text.length);
	} else {
		httpd_answer(conn,
			     is_ready(edge) ? HTTP_STATUS_OK
					    : HTTP_STATUS_SERVICE_UNAVAILABLE,
			     "", "", 0);
	}
	strbuf_finish(&text);
}

static void on_health_gone(httpd_conn_t *conn)
{
	(void)conn; /* answered at once: nothing is pending */
}

static void watch_ability(edge_t *edge, pimento_usec_t now)
{
	const replica_t *configuration = &edge->feed.replicas[REPLICA_OPERATOR];
	bool able = is_ready(edge);

	if (able == edge->able)
		return;
	edge->able = able;
	trail(TRAIL_STATE, "edge", able ? "ready" : "not_ready",
	      "config=%llu copy_age_ms=%lld endpoints=%u stopping=%d",
	      (unsigned long long)edge->feed.config_version,
	      (long long)(replica_age(configuration, now) / PIMENTO_MSEC),
	      edge->registry.count, edge->stopping != 0);
}

/* Time passes. */

/*
 * Age at which this host reads for itself, chosen or not. Hosts differ a
 * little: what the first ones read reaches the others before their turn.
 */
static pimento_usec_t read_age(const edge_t *edge)
{
	double lease = (double)edge->gateway.bounds.key_lease;
	double part = (double)(edge->roster.self * 2654435761u) / UINT32_MAX;

	return (pimento_usec_t)(lease *
				(READ_AGE_PART + READ_AGE_SPREAD * part));
}

/*
 * Whether this host is to read for all. While it discovers peers it does not
 * know who reads, but the first of those known are the same for all hosts.
 */
static bool may_read(const edge_t *edge, pimento_usec_t now)
{
	if (peers_is_discovering(&edge->roster, now))
		return peers_is_default_poller(&edge->roster);
	return peers_should_poll(&edge->roster, edge->reader, sys_random(),
				 now);
}

static void log_reading(const edge_t *edge, const store_t *store, bool active)
{
	pimento_usec_t age = replica_age(store->replica, sys_now());

	if (active == store->active)
		return;
	trail(TRAIL_STATE, "store", active ? "reads" : "rests",
	      "collection=%s chosen=%d copy_age_ms=%lld readers=%u",
	      store->name, edge->reader,
	      age == PIMENTO_NEVER ? -1 : (long long)(age / PIMENTO_MSEC),
	      edge->roster.poller_count);
}

/*
 * Leaves reading the store to peers where enough of them do. What they read
 * comes with their notes; when it grows old this host reads for itself.
 */
static void share_reading(edge_t *edge, pimento_usec_t now)
{
	feed_t *feed = &edge->feed;
	uint32_t hosts = peers_host_count(&edge->roster, now);
	bool well = feed_is_healthy(feed);

	edge->reader = may_read(edge, now);
	for (int kind = 0; kind < REPLICA_KIND_COUNT; kind++) {
		store_t *store = &feed->stores[kind];
		bool old = replica_age(store->replica, now) > read_age(edge);

		log_reading(edge, store, edge->reader || old);
		store_set_active(store, edge->reader || old,
				 edge->reader ? 0 : hosts);
	}
	edge->mesh.reader = well && edge->reader;
}

/* Gives the last answers; true when they have left, or time is up. */
static bool end_requests(edge_t *edge, pimento_usec_t now)
{
	gateway_end(&edge->gateway);
	return !gateway_unsent(&edge->gateway) ||
	       now - edge->gateway.ends_at > STOP_MARGIN - EXIT_MARGIN;
}

/* True when nothing is left to do, or time is up. */
static bool may_exit(edge_t *edge, pimento_usec_t now)
{
	if (now >= edge->gateway.ends_at)
		return end_requests(edge, now);
	if (now - edge->stopping < NOTICE)
		return false;
	httpd_close_resting(&edge->gateway.front);
	return gateway_pending(&edge->gateway) == 0 &&
	       tunnels_busy(&edge->mesh.tunnels) == 0;
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	edge_t *edge = watcher->data;
	pimento_usec_t now = sys_now();

	(void)events;
	if (edge->ticks % MESH_TICKS == 0)
		share_reading(edge, now);
	feed_tick(&edge->feed, now);
	gateway_tick(&edge->gateway, now);
	mesh_probe(&edge->mesh, now);
	if (edge->ticks % MESH_TICKS == 0)
		mesh_tick(&edge->mesh, now);
	if (edge->ticks % SETTINGS_TICKS == 0) {
		look_at_settings(edge);
		registry_free_removed(&edge->registry, now);
	}
	httpd_sweep(&edge->health, now);
	window_tick(now);
	watch_ability(edge, now);
	edge->ticks++;
	if (edge->stopping && may_exit(edge, now))
		ev_break(loop, EVBREAK_ALL);
}

static void on_term(struct ev_loop *loop, ev_signal *watcher, int events)
{
	edge_t *edge = watcher->data;

	(void)loop;
	(void)events;
	if (edge->stopping)
		return; /* one stop is enough */
	edge->stopping = sys_now();
	gateway_stop(&edge->gateway, edge->stopping + NOTICE,
		     edge->stopping + seconds(edge->settings.stop_seconds) -
			     STOP_MARGIN);
	peers_leave(&edge->roster, edge->stopping);
	tunnels_stop(&edge->mesh.tunnels);
	trail(TRAIL_STATE, "edge", "stopping", "pending=%u seconds=%.1f",
	      gateway_pending(&edge->gateway), edge->settings.stop_seconds);
}

static void on_hup(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)loop;
	(void)events;
	reload(watcher->data, "signal");
}

static void on_configuration(void *context, catalog_t *catalog)
{
	edge_t *edge = context;

	gateway_configure(&edge->gateway, catalog);
}

static void on_replied(void *context, const packet_slot_reply_t *reply)
{
	edge_t *edge = context;

	gateway_replied(&edge->gateway, reply);
}

static void on_send_quota(void *context, uint32_t address,
			  const quota_message_t *message)
{
	edge_t *edge = context;
	packet_t packet = { .kind = PACKET_QUOTA };

	packet.as.quota = *message;
	mesh_send(&edge->mesh, address, &packet);
}

static void on_send_demand(void *context, uint32_t address,
			   const demand_report_t *report)
{
	edge_t *edge = context;
	packet_t packet = { .kind = PACKET_DEMAND };

	packet.as.demand = *report;
	mesh_send(&edge->mesh, address, &packet);
}

static void on_demand(void *context, const demand_report_t *report)
{
	edge_t *edge = context;

	gateway_receive_demand(&edge->gateway, report);
}

static void on_send_trial(void *context, uint32_t address,
			  const packet_trial_t *trial)
{
	edge_t *edge = context;
	packet_t packet = { .kind = PACKET_TRIAL };

	packet.as.trial = *trial;
	mesh_send(&edge->mesh, address, &packet);
}

static void on_trial(void *context, const packet_trial_t *trial)
{
	edge_t *edge = context;

	trials_receive(&edge->gateway, trial, sys_now());
}

static const feed_ops_t feed_ops = { .config_updated = on_configuration };

/* Start and end. */

static int start_health(edge_t *edge)
{
	const httpd_limits_t limits = {
		.head_bytes = 4096,
		.body_bytes = 0,
		.head_timeout = 2 * PIMENTO_SEC,
		.idle_timeout = 30 * PIMENTO_SEC,
		.connections = 32,
	};
	net_address_t address;
	int error;

	edge->health_ops =
		(httpd_ops_t){ .request = on_health, .gone = on_health_gone };
	error = net_parse(edge->settings.health, &address);
	if (!error)
		error = httpd_init(&edge->health, edge->loop, &address,
				   &edge->health_ops, &limits);
	edge->health.user = edge;
	return error;
}

static int start_gateway(edge_t *edge)
{
	net_address_t peers;
	gateway_setup_t setup = {
		.loop = edge->loop,
		.connections_max = (uint32_t)((edge->settings.descriptors -
					       DESCRIPTORS_KEPT) *
					      CALLERS_PART),
		.bodies_bytes = (size_t)(edge->settings.memory_mb *
					 BODIES_PART * 1024 * 1024),
		.datacentre = edge->settings.datacentre,
		.dialect = &platform_dialect,
		.bounds = bounds_of(&edge->settings),
		.first_start = edge->settings.first_start,
		.registry = &edge->registry,
		.roster = &edge->roster,
		.replica = &edge->feed.replicas[REPLICA_OPERATOR],
		.endpoint_list = &edge->feed.replicas[REPLICA_ENDPOINTS],
		.slots = &edge->slots,
		.send_quota = on_send_quota,
		.send_trial = on_send_trial,
		.send_demand = on_send_demand,
		.send_context = edge,
	};

	if (edge->settings.descriptors < 2 * DESCRIPTORS_KEPT)
		setup.connections_max = DESCRIPTORS_KEPT / 2;
	if (net_parse(edge->settings.callers, &setup.listen) ||
	    net_parse(edge->settings.peers, &peers))
		return PIMENTO_EINVAL;
	setup.peer_port = peers.port;
	return gateway_init(&edge->gateway, &setup);
}

static int start_mesh(edge_t *edge)
{
	mesh_setup_t setup = {
		.loop = edge->loop,
		.note_port = edge->settings.gossip_port,
		.datacentre = edge->settings.datacentre,
		.tunnels_max =
			(uint32_t)(edge->settings.descriptors * TUNNELS_PART),
		.roster = &edge->roster,
		.mirrors = edge->feed.replicas,
		.registry = &edge->registry,
		.quota = &edge->gateway.quota,
		.quarantines = edge->gateway.trials.quarantines,
		.slots = &edge->slots,
	};
	int error;

	if (net_parse(edge->settings.peers, &setup.listen))
		return PIMENTO_EINVAL;
	error = mesh_init(&edge->mesh, &setup);
	edge->mesh.write_metrics = write_metrics;
	edge->mesh.metrics_context = edge;
	edge->mesh.trial_received = on_trial;
	edge->mesh.demand_received = on_demand;
	edge->mesh.handler_context = edge;
	if (!error)
		add_seeds(edge);
	return error;
}

static int start(edge_t *edge)
{
	net_address_t store;
	uint32_t self = 0;
	int error = net_parse_ip(edge->settings.address, &self);

	edge->loop = ev_default_loop(EVFLAG_NOENV);
	if (!edge->loop)
		return PIMENTO_EIO;
	registry_init(&edge->registry);
	configure_registry(edge);
	if (!error)
		error = peers_init(&edge->roster, self, sys_random());
	slots_init(&edge->slots, &edge->registry, &edge->roster, self);
	edge->slots.replied = on_replied;
	edge->slots.context = edge;
	if (!error)
		error = net_parse(edge->settings.store, &store);
	if (error)
		return error;
	feed_init(&edge->feed, edge->loop, &store, &edge->registry, &feed_ops,
		  edge);
	error = start_gateway(edge);
	if (!error)
		error = start_mesh(edge);
	if (!error)
		error = start_health(edge);
	return error;
}

static void start_watchers(edge_t *edge)
{
	ev_timer_init(&edge->tick, on_tick, 0, TICK_SECONDS);
	ev_signal_init(&edge->term, on_term, SIGTERM);
	ev_signal_init(&edge->hup, on_hup, SIGHUP);
	edge->tick.data = edge;
	edge->term.data = edge;
	edge->hup.data = edge;
	ev_timer_start(edge->loop, &edge->tick);
	ev_signal_start(edge->loop, &edge->term);
	ev_signal_start(edge->loop, &edge->hup);
}

static void finish(edge_t *edge)
{
	gateway_finish(&edge->gateway);
	mesh_finish(&edge->mesh);
	httpd_finish(&edge->health);
	feed_finish(&edge->feed);
	slots_finish(&edge->slots);
	peers_finish(&edge->roster);
	registry_finish(&edge->registry);
}

static int serve(edge_t *edge)
{
	uint32_t left;
	int error = start(edge);

	if (error) {
		trail(TRAIL_STATE, "edge", "cannot_start", "why=\"%s: %s\"",
		      pimento_strerror(error), strerror(errno));
		return EXIT_FAILURE;
	}
	start_watchers(edge);
	trail(TRAIL_STATE, "edge", "started",
	      "version=" PIMENTO_VERSION " callers=%s peers=%s seeds=%u",
	      edge->settings.callers, edge->settings.peers,
	      edge->settings.seed_count);
	ev_run(edge->loop, 0);
	left = gateway_pending(&edge->gateway);
	trail(TRAIL_STATE, "edge", "stopped", "pending=%u", left);
	finish(edge);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "config", required_argument, NULL, 'c' },
		{ "test", no_argument, NULL, 't' },
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'V' },
		{ NULL, 0, NULL, 0 },
	};
	static edge_t edge;
	bool only_test = false;
	int option;
	int status;

	edge.path = getenv(SETTINGS_VARIABLE);
	while ((option = getopt_long(argc, argv, "c:thV", options, NULL)) !=
	       -1) {
		switch (option) {
		case 'c':
			edge.path = optarg;
			break;
		case 't':
			only_test = true;
			break;
		case 'h':
			fputs(usage, stdout);
			return EXIT_SUCCESS;
		case 'V':
			puts("pimentoedge " PIMENTO_VERSION);
			return EXIT_SUCCESS;
		default:
			fputs(usage, stderr);
			return EXIT_USAGE;
		}
	}
	if (!edge.path || optind < argc) {
		fputs(usage, stderr);
		return EXIT_USAGE;
	}
	status = load_settings(edge.path, &edge.settings);
	if (status || only_test)
		return status;
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	(void)file_time(edge.path, &edge.settings_time);
	signal(SIGPIPE, SIG_IGN);
	trail_init(edge.settings.name);
	return serve(&edge);
}
