#include "metrics.h"

#include "trail.h"
#include "loop_time.h"

static void counter(strbuf_t *text, const char *name, uint64_t value)
{
	strbuf_addf(text, "# TYPE pimento_%s counter\npimento_%s %llu\n", name,
		    name, (unsigned long long)value);
}

static void gauge(strbuf_t *text, const char *name, double value)
{
	strbuf_addf(text, "# TYPE pimento_%s gauge\npimento_%s %g\n", name,
		    name, value);
}

static void outcomes(strbuf_t *text, const gateway_counters_t *counters)
{
	strbuf_addf(text, "# TYPE pimento_requests_ended_total counter\n");
	for (int i = 0; i < GATEWAY_OUTCOMES; i++)
		strbuf_addf(
			text,
			"pimento_requests_ended_total{outcome=\"%s\"} %llu\n",
			gateway_outcome_name((gateway_outcome_t)i),
			(unsigned long long)counters->outcomes[i]);
}

static void histogram(strbuf_t *text, const char *name,
		      const gateway_histogram_t *histogram)
{
	uint64_t below = 0;
	double edge = 0.001;

	strbuf_addf(text, "# TYPE pimento_%s histogram\n", name);
	for (int i = 0; i < GATEWAY_BUCKETS - 1; i++) {
		below += histogram->buckets[i];
		strbuf_addf(text, "pimento_%s_bucket{le=\"%g\"} %llu\n", name,
			    edge, (unsigned long long)below);
		edge *= 2;
	}
	strbuf_addf(text,
		    "pimento_%s_bucket{le=\"+Inf\"} %llu\n"
		    "pimento_%s_sum %g\npimento_%s_count %llu\n",
		    name, (unsigned long long)histogram->count, name,
		    histogram->sum_ms / 1000, name,
		    (unsigned long long)histogram->count);
}

static uint32_t paths_lost(const registry_t *registry)
{
	uint32_t lost = 0;

	for (uint32_t i = 0; i < registry->count; i++)
		lost += registry->endpoints[i]->path.state ==
			ENDPOINT_PATH_LOST;
	return lost;
}

/* Endpoints that are much slower than their service. */
static uint32_t endpoints_slow(registry_t *registry)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];
		const registry_service_t *service =
			registry_get_service(registry, e->service);

		count += service &&
			 latency_is_slow(&e->latency, &service->latency);
	}
	return count;
}

/* Endpoints whose records say that they take requests, and that leave. */
static uint32_t endpoints_leaving(const registry_t *registry,
				  pimento_usec_t now)
{
	uint32_t leaving = 0;

	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		leaving += e->listed && !e->leaving && !e->evacuated &&
			   !registry_endpoint_accepts_work(e, now);
	}
	return leaving;
}

static uint32_t endpoints_in_backoff(const registry_t *registry,
				     pimento_usec_t now)
{
	uint32_t at_rest = 0;

	for (uint32_t i = 0; i < registry->count; i++)
		at_rest += backoff_is_active(&registry->endpoints[i]->backoff,
					     now);
	return at_rest;
}

static uint32_t endpoints_limited(const registry_t *registry,
				  pimento_usec_t now)
{
	uint32_t limited = 0;

	for (uint32_t i = 0; i < registry->count; i++)
		limited += rate_limit_applies(
			&registry->endpoints[i]->rate_limit, now);
	return limited;
}

static uint32_t count_state(const quarantine_t *quarantine,
			    quarantine_state_t state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < quarantine->count; i++)
		count += quarantine_state(quarantine,
					  &quarantine->records[i]) == state;
	return count;
}

static void quarantines(strbuf_t *text, const quarantine_t *quarantines)
{
	const quarantine_t *parts = &quarantines[QUARANTINE_PARTS];
	const quarantine_t *requests = &quarantines[QUARANTINE_REQUESTS];

	gauge(text, "quarantine_parts_suspect",
	      count_state(parts, QUARANTINE_SUSPECT));
	gauge(text, "quarantine_parts_held",
	      count_state(parts, QUARANTINE_HELD));
	gauge(text, "quarantine_late_parts_held",
	      count_state(&quarantines[QUARANTINE_LATE_PARTS],
			  QUARANTINE_HELD));
	gauge(text, "quarantine_requests_suspect",
	      count_state(requests, QUARANTINE_SUSPECT));
	gauge(text, "quarantine_requests_held",
	      count_state(requests, QUARANTINE_HELD));
}

static void services(strbuf_t *text, const gateway_t *gateway,
		     pimento_usec_t now)
{
	uint32_t waiting = 0;
	uint64_t rejected = 0;
	uint64_t promised = 0;
	uint64_t returned = 0;
	uint64_t returned_first = 0;
	uint64_t at_slow = 0;

	for (uint32_t i = 0; i < gateway->service_count; i++) {
		at_slow += gateway->services[i]->begun_at_slow;
		waiting += gateway->services[i]->line.count;
		rejected += gateway->services[i]->rejected;
		promised += gateway->services[i]->promised;
		returned += gateway->services[i]->returned;
		returned_first += gateway->services[i]->returned_first;
	}
	gauge(text, "requests_waiting", waiting);
	counter(text, "overload_rejected_total", rejected);
	counter(text, "overload_turns_total", promised);
	counter(text, "overload_returned_total", returned);
	counter(text, "overload_returned_first_total", returned_first);
	counter(text, "slow_endpoint_requests_total", at_slow);
	gauge(text, "connections_callers", gateway->front.count);
	gauge(text, "endpoints", gateway->registry->count);
	gauge(text, "copy_age_seconds",
	      (double)replica_age(gateway->replica, now) / (double)PIMENTO_SEC);
	gauge(text, "config_version",
	      gateway->catalog ? (double)gateway->catalog->version : 0);
}

void metrics_write(strbuf_t *text, const metrics_sources_t *sources)
{
	const gateway_t *gateway = sources->gateway;
	const gateway_counters_t *counters = &gateway->counters;
	trail_counts_t lines = trail_counts();

	counter(text, "requests_total", counters->requests);
	outcomes(text, counters);
	counter(text, "attempts_total", counters->attempts);
	counter(text, "repeats_total", counters->repeats);
	counter(text, "retries_denied_total", counters->retries_denied);
	counter(text, "hedges_total", counters->hedges);
	counter(text, "hedges_won_total", counters->hedges_won);
	counter(text, "attempts_tunnelled_total", counters->tunnelled);
	counter(text, "path_probes_total", counters->path_probes);
	counter(text, "endpoints_ended_total", gateway->crashes.ended);
	counter(text, "endpoints_ended_requests_total",
		gateway->crashes.requests);
	counter(text, "quarantine_rejected_total", gateway->trials.rejected);
	counter(text, "quarantine_trials_total", gateway->trials.granted);
	counter(text, "tunnels_opened_total", gateway->pool.tunnels);
	counter(text, "tunnels_carried_total", sources->mesh->tunnels.opened);
	counter(text, "tunnels_refused_total", sources->mesh->tunnels.refused);
	counter(text, "tunnel_requests_carried_total",
		sources->mesh->tunnels.requests);
	counter(text, "tunnel_bytes_carried_total",
		sources->mesh->tunnels.bytes);
	counter(text, "events_total", counters->events);
	counter(text, "connections_opened_total", gateway->pool.opened);
	counter(text, "connections_reused_total", gateway->pool.reused);
	counter(text, "notes_in_total", sources->mesh->notes_in);
	counter(text, "notes_out_total", sources->mesh->notes_out);
	counter(text, "note_bytes_out_total", sources->mesh->note_bytes_out);
	counter(text, "slots_asked_total", gateway->slots->asked);
	counter(text, "slots_granted_total", gateway->slots->granted);
	counter(text, "slots_held_by_limit_total",
		gateway->slots->held_by_limit);
	counter(text, "owners_changed_total", gateway->slots->owners_changed);
	counter(text, "quota_asked_total", gateway->quota.requests);
	counter(text, "quota_batches_total", gateway->quota.sent);
	counter(text, "quota_unanswered_total", gateway->quota.unanswered);
	counter(text, "quota_alone_total", gateway->quota.local_decisions);
	counter(text, "snapshots_in_total", sources->mesh->snapshots_in);
	counter(text, "snapshots_lost_total", sources->mesh->snapshots_lost);
	counter(text, "snapshot_bytes_in_total",
		sources->mesh->snapshot_bytes_in);
	counter(text, "snapshot_bytes_out_total",
		sources->mesh->snapshot_bytes_out);
	counter(text, "store_calls_total", sources->store_calls);
	counter(text, "store_errors_total", sources->store_errors);
	counter(text, "log_lines_total", lines.written);
	counter(text, "log_lines_left_out_total", lines.left_out);
	histogram(text, "first_byte_seconds", &counters->first);
	histogram(text, "wait_seconds", &counters->waited);
	services(text, gateway, sources->now);
	quarantines(text, gateway->trials.quarantines);
	gauge(text, "endpoints_slow", endpoints_slow(gateway->registry));
	gauge(text, "endpoints_leaving",
	      endpoints_leaving(gateway->registry, sources->now));
	gauge(text, "endpoints_in_backoff",
	      endpoints_in_backoff(gateway->registry, sources->now));
	gauge(text, "endpoints_limited",
	      endpoints_limited(gateway->registry, sources->now));
	gauge(text, "paths_lost", paths_lost(gateway->registry));
	gauge(text, "tunnels_carried", sources->mesh->tunnels.count);
	gauge(text, "peers", peers_host_count(gateway->roster, sources->now));
	gauge(text, "hosts_live", peers_live_count(gateway->roster));
	gauge(text, "hosts_reachable_part",
	      peers_known_live_share(gateway->roster, MESH_LOST_LATELY,
				     sources->now));
	gauge(text, "loop_longest_seconds",
	      (double)loop_time_longest() / (double)PIMENTO_SEC);
	gauge(text, "host_isolated", peers_is_isolated(gateway->roster));
	gauge(text, "store_readers", gateway->roster->poller_count);
}
