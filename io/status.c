/*
 * Status and metrics. Both are made in the control thread, where nothing
 * changes meanwhile; a snapshot costs less than locks on everything would.
 */

#include "status.h"
#include "sys.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define METRICS_SIZE 65536

static const char *const host_states[] = {
	[HOST_UNKNOWN] = "unknown", [HOST_LIVE] = "live",
	[HOST_SUSPECT] = "suspect", [HOST_LEAVING] = "leaving",
	[HOST_DEAD] = "dead",
};

static void run_health(control_t *control, void *argument)
{
	const char **state = argument;

	if (control->leaving)
		*state = "leaving";
	else if (!pimento_host_is_current(control->host))
		*state = "not-fresh";
	else if (!pimento_host_ready(control->host, sys_now()))
		*state = "not-ready";
	else
		*state = "serving";
}

const char *status_health(control_t *control)
{
	const char *state = "leaving";

	control_call(control, run_health, &state);
	return state;
}

static json_t *hex(uint64_t value)
{
	return json_sprintf("%016" PRIx64, value);
}

static json_t *members(const pimento_host_t *host)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < host->hosts.count; i++) {
		const hostlist_host_t *h = &host->hosts.hosts[i];

		if (h->is_endpoint)
			continue;
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s, s:o}", "name", h->name,
					"datacentre", h->datacentre, "state",
					host_states[membership_state(
						&host->membership, h->id)],
					"incarnation",
					hex(membership_incarnation(
						&host->membership, h->id))));
	}
	return list;
}

static json_t *waiting(const message_summary_t *summary, uint32_t tiers)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < tiers; i++)
		json_array_append_new(list, json_integer(summary->waiting[i]));
	return list;
}

static json_t *endpoints(const pimento_host_t *host)
{
	const pimento_config_t *config = pimento_host_config(host);
	uint32_t tiers = config ? config->tier_count : 0;
	const config_endpoint_t *endpoint;
	message_summary_t summary;
	pimento_id_t owner;
	json_t *list = json_array();

	for (uint32_t i = 0; host_endpoint_status(host, sys_now(), i, &endpoint,
						  &owner, &summary);
	     i++)
		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:b, s:s, s:b, s:i, s:i, s:f, s:f, s:o}",
				"name", endpoint->name, "evacuated",
				evacuation_includes(&config->evacuated,
						    endpoint->datacentre),
				"owner", host_name(host, owner), "own",
				owner == host->self, "running",
				(int)summary.running, "limit",
				(int)summary.limit, "prefill_rate",
				(double)summary.prefill_rate, "decode_rate",
				(double)summary.decode_rate, "waiting",
				waiting(&summary, tiers)));
	return list;
}

static void run_status(control_t *control, void *argument)
{
	json_t **body = argument;
	const pimento_host_t *host = control->host;
	const pimento_config_t *config = pimento_host_config(host);
	const char *state;

	run_health(control, &state);
	*body = json_pack(
		"{s:s, s:o, s:s, s:{s:I, s:o, s:I}, s:{s:I, s:o}, s:{s:i}, "
		"s:o, s:{s:I, s:I}}",
		"name", control->settings->name, "incarnation",
		hex(control->incarnation), "state", state, "config", "revision",
		(json_int_t)(config ? config->revision : 0), "digest",
		hex(config ? config->digest : 0), "refused_revision",
		(json_int_t)host->rejected_config_revision, "hosts", "revision",
		(json_int_t)host->hosts.revision, "members", members(host),
		"requests", "in_progress",
		(int)pimento_host_active_requests(host), "endpoints",
		endpoints(host), "platform", "calls",
		(json_int_t)control->counters.platform_calls, "failures",
		(json_int_t)control->counters.platform_failures);
}

json_t *status_json(control_t *control)
{
	json_t *body = NULL;

	control_call(control, run_status, &body);
	return body ? body : json_pack("{s:s}", "state", "stopped");
}

typedef struct metric {
	const char *name;
	const char *labels;
	uint64_t value;
} metric_t;

static void run_metrics(control_t *control, void *argument)
{
	char **text = argument;
	const pimento_host_t *host = control->host;
	const entry_counters_t *c = &host->entries.counters;
	const link_counters_t *l = &control->links.counters;
	const metric_t metrics[] = {
		{ "requests_accepted_total", "", c->accepted },
		{ "requests_dispatched_total", "", c->dispatched },
		{ "requests_done_total", "", c->done },
		{ "requests_refused_total", "{verdict=\"not-run\"}",
		  c->refused[PIMENTO_NOT_RUN] },
		{ "requests_refused_total", "{verdict=\"may-have-run\"}",
		  c->refused[PIMENTO_MAY_HAVE_RUN] },
		{ "requests_refused_total", "{verdict=\"ran\"}",
		  c->refused[PIMENTO_RAN] },
		{ "requests_retried_total", "", c->retried },
		{ "requests_resumed_total", "", c->resumed },
		{ "requests_replayed_total", "", c->replayed },
		{ "callers_left_total", "", c->callers_disconnected },
		{ "callers_refused_total", "",
		  control->counters.callers_refused },
		{ "answers_whole_total", "", control->counters.answers_whole },
		{ "link_messages_in_total", "", l->messages_in },
		{ "link_messages_out_total", "", l->messages_out },
		{ "link_bytes_in_total", "", l->bytes_in },
		{ "link_bytes_out_total", "", l->bytes_out },
		{ "link_malformed_total", "", l->malformed },
		{ "link_dropped_total", "", l->dropped },
		{ "outbox_refused_total", "", host->out.refused },
		{ "platform_calls_total", "",
		  control->counters.platform_calls },
		{ "platform_failures_total", "",
		  control->counters.platform_failures },
		{ "config_switches_total", "", host->config_switches },
		{ "config_refused_revision", "",
		  host->rejected_config_revision },
		{ "config_revision", "", host->membership.config_revision },
		{ "hosts_revision", "", host->membership.hosts_revision },
		{ "pauses_total", "", host->membership.pauses },
		{ "keys_witnessed", "", host->witness.count },
		{ "requests_in_progress", "", host->entries.active },
		{ "reservations_waiting", "", host->owner.waiting },
	};
	size_t used = 0;

	*text = malloc(METRICS_SIZE);
	if (!*text)
		return;
	for (size_t i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++)
		used += (size_t)snprintf(*text + used, METRICS_SIZE - used,
					 "pimento_%s%s %" PRIu64 "\n",
					 metrics[i].name, metrics[i].labels,
					 metrics[i].value);
}

char *status_metrics(control_t *control)
{
	char *text = NULL;

	control_call(control, run_metrics, &text);
	return text;
}
