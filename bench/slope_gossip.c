/*
 * Slopes of what hosts say among themselves: probes, changes of configuration,
 * and the loss of hosts, at the true encoding's size and in virtual time.
 */

#include "gossip_sim.h"
#include "slope.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE (30 * PIMENTO_SEC) /* and more with the fleet, to be quiet */
#define SETTLE_HOST (300 * PIMENTO_MSEC)
#define MEASURE (30 * PIMENTO_SEC)
#define STEP (20 * PIMENTO_MSEC)
#define LIMIT (120 * PIMENTO_SEC)
#define ENDPOINTS 600
#define DATACENTRES 8

static const uint32_t sizes[] = { 8, 50, 100, 200, 400 };

#define SIZES (sizeof(sizes) / sizeof(sizes[0]))

static void start_fleet(gossip_sim_t *f, uint32_t count, char *config)
{
	gossip_sim_init(f, count, 11);
	gossip_sim_publish(f, CONFIG_SYNC_CONFIG, config);
	gossip_sim_publish_hosts(f);
	for (uint32_t i = 0; i < count; i++)
		gossip_sim_start_host(f, i);
	gossip_sim_publish_hosts(f);
	gossip_sim_run(f, SETTLE + count * SETTLE_HOST);
}

static void clear_counters(gossip_sim_t *f)
{
	for (uint32_t i = 0; i < f->count; i++) {
		f->hosts[i].sent_bytes = 0;
		f->hosts[i].sent_messages = 0;
		f->hosts[i].received_bytes = 0;
	}
	f->platform_reads = 0;
}

/* Mean over the hosts that are up, and the most that any of them sent. */
static void bytes_sent(const gossip_sim_t *f, double *mean, double *most,
		       double *messages)
{
	uint32_t up = gossip_sim_count_running_hosts(f);

	*mean = 0;
	*most = 0;
	*messages = 0;
	for (uint32_t i = 0; i < f->count; i++) {
		const gossip_sim_host_t *h = &f->hosts[i];

		if (!h->up)
			continue;
		*mean += (double)h->sent_bytes / up;
		*messages += (double)h->sent_messages / up;
		if ((double)h->sent_bytes > *most)
			*most = (double)h->sent_bytes;
	}
}

/* As gossip_sim_count_wrong_states() but stops at the first, for it is asked often. */
static uint32_t disagreement(const gossip_sim_t *f)
{
	for (uint32_t i = 0; i < f->count; i++) {
		const gossip_sim_host_t *h = &f->hosts[i];
		host_state_t own = HOST_DEAD;

		if (h->up)
			own = membership_state(&h->membership, h->id);
		for (uint32_t j = 0; j < f->count; j++) {
			host_state_t state;

			if (!f->hosts[j].up)
				continue;
			state = membership_state(&f->hosts[j].membership,
						 h->id);
			if (state == HOST_UNKNOWN && !h->up)
				state = HOST_DEAD;
			if (state != own)
				return 1;
		}
	}
	return 0;
}

static uint32_t not_in_force(const gossip_sim_t *f)
{
	return gossip_sim_count_running_hosts(f) -
	       gossip_sim_count_updated_hosts(f, CONFIG_SYNC_CONFIG);
}

static pimento_usec_t until(gossip_sim_t *f,
			    uint32_t (*count)(const gossip_sim_t *))
{
	pimento_usec_t start = f->now;

	while (f->now - start < LIMIT && count(f))
		gossip_sim_run(f, STEP);
	return f->now - start;
}

static double seconds(pimento_usec_t span)
{
	return (double)span / (double)PIMENTO_SEC;
}

void slope_gossip(void)
{
	for (size_t i = 0; i < SIZES; i++) {
		uint32_t n = sizes[i];
		double span = seconds(MEASURE);
		double mean;
		double most;
		double messages;
		gossip_sim_t f;

		start_fleet(&f, n, gossip_sim_make_config(&f, 20000));
		clear_counters(&f);
		gossip_sim_run(&f, MEASURE);
		bytes_sent(&f, &mean, &most, &messages);
		slope_row("gossip", "quiet, sent per host", n, mean / span,
			  "bytes/s");
		slope_row("gossip", "quiet, sent by the busiest host", n,
			  most / span, "bytes/s");
		slope_row("gossip", "quiet, sent per host", n, messages / span,
			  "messages/s");
		gossip_sim_kill_host(&f, n / 2);
		slope_row("gossip", "host killed, until all know", n,
			  seconds(until(&f, disagreement)), "s");
		gossip_sim_finish(&f);
	}
}

static int by_value(const void *a, const void *b)
{
	pimento_usec_t x = *(const pimento_usec_t *)a;
	pimento_usec_t y = *(const pimento_usec_t *)b;

	return x < y ? -1 : x > y;
}

static char *next_text(size_t size, uint32_t endpoints, uint32_t change,
		       bool whole)
{
	char *text = slope_config(endpoints, size, 100 + change);

	/* Every line differs from the one before; hosts here do not parse. */
	for (char *c = text; whole && change % 2 && *c; c++)
		if (*c >= 'a' && *c <= 'z')
			*c = (char)(*c - 'a' + 'A');
	return text;
}

/* Publishes several times; prints when it was in force at the last host. */
static void changes(gossip_sim_t *f, bool whole, size_t size,
		    uint32_t endpoints, uint32_t times)
{
	const char *label = whole ? "all lines" : "one line";
	pimento_usec_t spans[64];
	char what[128];
	double mean;
	double most;
	double messages;

	clear_counters(f);
	for (uint32_t i = 0; i < times; i++) {
		gossip_sim_publish(f, CONFIG_SYNC_CONFIG,
				   next_text(size, endpoints, i, whole));
		spans[i] = until(f, not_in_force);
		gossip_sim_run(f, PIMENTO_SEC);
	}
	qsort(spans, times, sizeof(spans[0]), by_value);
	snprintf(what, sizeof(what), "%s, %u hosts, median", label, f->count);
	slope_row("change", what, size, seconds(spans[times / 2]), "s");
	snprintf(what, sizeof(what), "%s, %u hosts, longest", label, f->count);
	slope_row("change", what, size, seconds(spans[times - 1]), "s");
	bytes_sent(f, &mean, &most, &messages);
	snprintf(what, sizeof(what), "%s, %u hosts, busiest", label, f->count);
	slope_row("change", what, size, most / times, "bytes");
	snprintf(what, sizeof(what), "%s, %u hosts, sent", label, f->count);
	slope_row("change", what, size, mean / times, "bytes/host");
}

/* One change of a line; the quiet gossip of about a second is in it. */
void slope_change(void)
{
	static const uint32_t hosts[] = { 8, 50, 400 };
	static const size_t texts[] = { 20000, 200000, 1000000 };
	static const uint32_t endpoints[] = { 12, 600, 600 };

	for (size_t i = 0; i < 3; i++) {
		for (size_t j = 0; j < 3; j++) {
			gossip_sim_t f;
			char *text = slope_config(endpoints[j], texts[j], 1);

			start_fleet(&f, hosts[i], text);
			changes(&f, false, texts[j], endpoints[j],
				hosts[i] < 400 ? 50 : 20);
			changes(&f, true, texts[j], endpoints[j], 10);
			gossip_sim_finish(&f);
		}
	}
}

/* A host that starts knows nothing, so the whole text travels to it. */
static void restart(gossip_sim_t *f, size_t size)
{
	uint64_t before;

	gossip_sim_kill_host(f, 5);
	gossip_sim_run(f, 20 * PIMENTO_SEC);
	f->platform_down = true;
	before = f->hosts[5].received_bytes;
	gossip_sim_start_host(f, 5);
	slope_row("loss", "host replaced, platform down, in force", size,
		  seconds(until(f, not_in_force)), "s");
	slope_row("loss", "host replaced, platform down, received", size,
		  (double)(f->hosts[5].received_bytes - before), "bytes");
	slope_row("loss", "host replaced, until all know", f->count,
		  seconds(until(f, disagreement)), "s");
	f->platform_down = false;
}

static uint32_t owners_moved(const gossip_sim_t *f, const pimento_id_t *before,
			     pimento_id_t *now)
{
	uint32_t moved = 0;
	uint32_t i = 0;

	while (!f->hosts[i].up || f->hosts[i].partition)
		i++;
	for (uint32_t e = 0; e < ENDPOINTS; e++) {
		now[e] = membership_owner(&f->hosts[i].membership, e + 1);
		if (before && now[e] != before[e])
			moved++;
	}
	return moved;
}

/* Spans and bytes until every host that is up holds the same of all. */
static void aftermath(gossip_sim_t *f, const char *what, uint32_t hit)
{
	pimento_usec_t start = f->now;
	pimento_usec_t span;
	double mean;
	double most;
	double messages;

	clear_counters(f);
	span = until(f, disagreement);
	bytes_sent(f, &mean, &most, &messages);
	slope_row("loss", what, hit, seconds(span), "s until all know");
	slope_row("loss", what, hit, mean / seconds(f->now - start + 1),
		  "bytes/s per host meanwhile");
	slope_row("loss", what, hit, most / seconds(f->now - start + 1),
		  "bytes/s, busiest host");
}

static uint32_t others_dead(const gossip_sim_t *f)
{
	uint32_t half = f->count / 2;
	uint32_t wrong = 0;

	for (uint32_t i = 0; i < f->count; i++)
		if (membership_live_hosts(&f->hosts[i].membership, NULL, 0) !=
		    half)
			wrong++;
	return wrong;
}

static void cut_region(gossip_sim_t *f)
{
	pimento_id_t owners[ENDPOINTS];
	pimento_id_t after[ENDPOINTS];

	owners_moved(f, NULL, owners);
	for (uint32_t i = 0; i < f->count; i++)
		f->hosts[i].partition =
			f->hosts[i].datacentre >= DATACENTRES / 2;
	slope_row("loss", "region cut off, until both sides know", f->count,
		  seconds(until(f, others_dead)), "s");
	slope_row("loss", "region cut off, endpoints moved", f->count,
		  owners_moved(f, owners, after), "of 600");
	gossip_sim_run(f, 180 * PIMENTO_SEC);
	for (uint32_t i = 0; i < f->count; i++)
		f->hosts[i].partition = 0;
	aftermath(f, "region link healed", f->count);
	slope_row("loss", "region link healed, owners differ", f->count,
		  owners_moved(f, owners, after), "of 600");
}

void slope_loss(void)
{
	pimento_id_t owners[ENDPOINTS];
	pimento_id_t after[ENDPOINTS];
	gossip_sim_t f;

	start_fleet(&f, 400, slope_config(ENDPOINTS, 200000, 1));
	restart(&f, 200000);
	gossip_sim_run(&f, 60 * PIMENTO_SEC);
	owners_moved(&f, NULL, owners);
	gossip_sim_kill_host(&f, 200);
	aftermath(&f, "one host killed", 1);
	slope_row("loss", "one host killed, endpoints moved", 1,
		  owners_moved(&f, owners, after), "of 600");
	gossip_sim_start_host(&f, 200);
	gossip_sim_run(&f, 60 * PIMENTO_SEC);
	for (uint32_t i = 0; i < 10; i++)
		gossip_sim_kill_host(&f, 1 + i * 8);
	aftermath(&f, "rack of hosts killed", 10);
	slope_row("loss", "rack killed, endpoints moved", 10,
		  owners_moved(&f, owners, after), "of 600");
	for (uint32_t i = 0; i < 10; i++)
		gossip_sim_start_host(&f, 1 + i * 8);
	gossip_sim_run(&f, 60 * PIMENTO_SEC);
	for (uint32_t i = 1; i < 400; i += DATACENTRES)
		gossip_sim_kill_host(&f, i);
	aftermath(&f, "data centre killed", 50);
	slope_row("loss", "data centre killed, endpoints moved", 50,
		  owners_moved(&f, owners, after), "of 600");
	for (uint32_t i = 1; i < 400; i += DATACENTRES)
		gossip_sim_start_host(&f, i);
	aftermath(&f, "data centre back", 50);
	gossip_sim_run(&f, 60 * PIMENTO_SEC);
	cut_region(&f);
	gossip_sim_finish(&f);
}

void slope_reads(void)
{
	for (size_t i = 0; i < SIZES; i++) {
		pimento_id_t live[GOSSIP_SIM_HOSTS_MAX];
		uint32_t readers = 0;
		double reads = 0;

		for (uint32_t j = 0; j < sizes[i]; j++) {
			char name[16];

			snprintf(name, sizeof(name), "host-%u", j);
			live[j] = pimento_id(name);
		}
		for (uint32_t j = 0; j < sizes[i]; j++) {
			config_sync_t s = {
				.options = { .self = live[j],
					     .pollers = CONFIG_SYNC_POLLERS }
			};
			pimento_usec_t interval;

			if (config_sync_is_poller(&s, live, sizes[i],
						  &interval))
				readers++;
			else
				reads += 1 / seconds(interval);
		}
		slope_row("reads", "hosts that watch", sizes[i], readers,
			  "hosts");
		slope_row("reads", "backstop of all others, a text", sizes[i],
			  reads, "reads/s");
	}
}
