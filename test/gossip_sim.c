/*
 * Discrete-event simulation with one heap of message deliveries and ticks. A
 * paused host processes the messages that arrived meanwhile when it continues,
 * before its first tick, as from a socket's buffer: in that order a process is
 * most likely to act on stale state after a pause.
 */

#include "gossip_sim.h"

#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_DELAY (5 * PIMENTO_MSEC) /* latency of the platform's answer */
#define WATCH_RETRY_PERIOD (200 * PIMENTO_MSEC)
#define OUTBOX_CAPACITY 4096
#define PAUSE_DETECTED_MIN \
	(2 * PIMENTO_SEC) /* shorter pauses may go undetected */

static bool event_before(const gossip_sim_event_t *a,
			 const gossip_sim_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void push_event(gossip_sim_t *sim, gossip_sim_event_t event)
{
	uint32_t i = sim->heap_count++;

	if (sim->heap_count > sim->heap_capacity) {
		sim->heap_capacity =
			sim->heap_capacity ? sim->heap_capacity * 2 : 64;
		sim->heap = realloc(sim->heap,
				    sim->heap_capacity * sizeof(*sim->heap));
	}
	event.order = ++sim->order;
	for (; i && event_before(&event, &sim->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		sim->heap[i] = sim->heap[(i - 1) / 2];
	sim->heap[i] = event;
}

static gossip_sim_event_t pop_event(gossip_sim_t *sim)
{
	gossip_sim_event_t top = sim->heap[0];
	gossip_sim_event_t last = sim->heap[--sim->heap_count];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= sim->heap_count)
			break;
		if (child + 1 < sim->heap_count &&
		    event_before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!event_before(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return top;
}

static uint32_t host_index(const gossip_sim_t *sim, pimento_id_t id)
{
	uint32_t i = 0;

	while (i < sim->count && sim->hosts[i].id != id)
		i++;
	return i;
}

static pimento_usec_t random_delay(gossip_sim_t *sim)
{
	uint64_t span = (uint64_t)(sim->delay_max - sim->delay_min) + 1;

	if (pimento_random_unit(&sim->random) < sim->slow_message_chance)
		span += PIMENTO_SEC;
	return sim->delay_min +
	       (pimento_usec_t)pimento_random_below(&sim->random, span);
}

static void send_message(gossip_sim_t *sim, gossip_sim_host_t *from,
			 pimento_id_t to, const message_t *message)
{
	static uint8_t frame[WIRE_FRAME_MAX];
	uint32_t i = host_index(sim, to);
	int length = wire_encode(from->id, message, frame, sizeof(frame));
	gossip_sim_event_t event = { .host = i, .from = from->id };
	size_t size = message_size(message->kind);

	if (length < 0 || i == sim->count)
		return;
	from->sent_bytes += (uint64_t)length;
	from->sent_messages++;
	if (sim->hosts[i].partition != from->partition ||
	    pimento_random_unit(&sim->random) < sim->loss)
		return;
	sim->hosts[i].received_bytes += (uint64_t)length;
	event.at = sim->now + random_delay(sim);
	event.message = malloc(size);
	memcpy(event.message, message, size);
	push_event(sim, event);
}

static void report_violation(gossip_sim_t *sim, const gossip_sim_host_t *h,
			     const char *what)
{
	sim->violations++;
	fprintf(stderr, "at %.3f s, host %u: %s\n", (double)sim->now / 1e6,
		(unsigned)(h - sim->hosts), what);
}

static bool text_is_valid(gossip_sim_t *sim, config_sync_subject_t subject,
			  const char *text, size_t length, hostlist_t *list)
{
	problems_t problems;
	int error = 0;

	if (subject == CONFIG_SYNC_CONFIG)
		return length < 3 || strncmp(text, "bad", 3) != 0;
	problems_init(&problems);
	error = hostlist_parse(list, text, length, &problems);
	problems_finish(&problems);
	(void)sim;
	return !error;
}

static void apply_pending(gossip_sim_t *sim, gossip_sim_host_t *h,
			  config_sync_subject_t subject)
{
	hostlist_t list = { 0 };
	uint64_t revision;
	size_t length;
	const char *text = config_sync_pending(&h->config_sync, subject,
					       &revision, &length);
	bool ok;

	if (!text)
		return;
	ok = text_is_valid(sim, subject, text, length, &list);
	if (!ok)
		sim->rejected_texts++;
	config_sync_resolve_pending(&h->config_sync, sim->now, subject, ok);
	if (subject == CONFIG_SYNC_HOSTS && ok) {
		membership_apply_hostlist(&h->membership, sim->now, &list);
		hostlist_finish(&list);
	}
	if (subject == CONFIG_SYNC_CONFIG && ok)
		h->in_force_at = sim->now;
}

/*
 * Does the work of a daemon after each event of a host: puts received texts
 * into force, sends the outbox and schedules the next tick; checks invariants.
 */
static void complete_host_event(gossip_sim_t *sim, gossip_sim_host_t *h)
{
	static message_t message;
	pimento_id_t to;
	pimento_usec_t at;

	apply_pending(sim, h, CONFIG_SYNC_CONFIG);
	apply_pending(sim, h, CONFIG_SYNC_HOSTS);
	h->membership.config_revision =
		config_sync_revision(&h->config_sync, CONFIG_SYNC_CONFIG);
	h->membership.hosts_revision =
		config_sync_revision(&h->config_sync, CONFIG_SYNC_HOSTS);
	if (h->membership.config_revision < h->revision)
		report_violation(sim, h, "configuration revision went back");
	h->revision = h->membership.config_revision;
	if (membership_is_fresh(&h->membership, sim->now) &&
	    h->revision < h->wake_revision_min)
		report_violation(
			sim, h,
			"fresh after a pause, but its revision is outdated");
	while (outbox_take(&h->out, &to, &message))
		send_message(sim, h, to, &message);
	at = membership_deadline(&h->membership);
	if (config_sync_deadline(&h->config_sync) < at)
		at = config_sync_deadline(&h->config_sync);
	if (h->next_read_at < at)
		at = h->next_read_at;
	if (at <= sim->now)
		at = sim->now + 1;
	if (at == h->tick_at)
		return;
	h->tick_at = at;
	push_event(sim, (gossip_sim_event_t){
				.at = at, .host = (uint32_t)(h - sim->hosts) });
}

static void poll_platform(gossip_sim_t *sim, gossip_sim_host_t *h)
{
	pimento_id_t live[GOSSIP_SIM_HOSTS_MAX];
	uint32_t count = membership_live_hosts(&h->membership, live,
					       GOSSIP_SIM_HOSTS_MAX);
	pimento_usec_t interval;

	if (config_sync_is_poller(&h->config_sync, live, count, &interval))
		h->next_read_at = sim->now + WATCH_RETRY_PERIOD;
	else
		h->next_read_at = sim->now + interval;
	if (sim->platform_down)
		return;
	sim->platform_reads++;
	for (unsigned int s = 0; s < 2; s++) {
		const char *text = sim->texts[s];
		uint64_t revision = sim->revisions[s];

		if (sim->platform_stale && sim->previous_texts[s]) {
			text = sim->previous_texts[s];
			revision--;
		}
		if (!text)
			continue;
		config_sync_submit(&h->config_sync, sim->now,
				   (config_sync_subject_t)(s + 1), revision,
				   text, strlen(text));
		apply_pending(sim, h, (config_sync_subject_t)(s + 1));
	}
	h->membership.config_revision =
		config_sync_revision(&h->config_sync, CONFIG_SYNC_CONFIG);
	h->membership.hosts_revision =
		config_sync_revision(&h->config_sync, CONFIG_SYNC_HOSTS);
	/*
	 * A read of a stale platform confirms the host's state too, because the
	 * host cannot detect staleness.
	 */
	membership_platform_read_done(&h->membership, sim->now, sim->now);
}

static void tick_host(gossip_sim_t *sim, gossip_sim_host_t *h)
{
	membership_tick(&h->membership, sim->now);
	config_sync_tick(&h->config_sync, sim->now);
	if (sim->now >= h->next_read_at)
		poll_platform(sim, h);
}

static void receive_message(gossip_sim_t *sim, gossip_sim_host_t *h,
			    pimento_id_t from, const message_t *m)
{
	if (m->kind == MESSAGE_PROBE || m->kind == MESSAGE_ACK) {
		membership_receive(&h->membership, sim->now, from, m);
		config_sync_learn_revision(&h->config_sync, sim->now, from,
					   CONFIG_SYNC_CONFIG,
					   m->u.probe.revision);
		config_sync_learn_revision(&h->config_sync, sim->now, from,
					   CONFIG_SYNC_HOSTS,
					   m->u.probe.hosts_revision);
		return;
	}
	membership_host_seen(&h->membership, sim->now, from);
	config_sync_receive(&h->config_sync, sim->now, from, m);
}

/*
 * Called when the pause of host `woken` ends. Returns the lowest revision in
 * force on the other hosts that it can reach; 0 if there are none, or if one of
 * them is paused or its membership state is not fresh.
 */
static uint64_t min_revision_in_force(const gossip_sim_t *sim,
				      const gossip_sim_host_t *woken)
{
	uint64_t lowest = UINT64_MAX;

	for (uint32_t i = 0; i < sim->count; i++) {
		const gossip_sim_host_t *h = &sim->hosts[i];

		if (h == woken || !h->up || h->partition != woken->partition)
			continue;
		if (sim->now < h->paused_until ||
		    !membership_is_fresh(&h->membership, sim->now))
			return 0;
		if (h->revision < lowest)
			lowest = h->revision;
	}
	return lowest == UINT64_MAX ? 0 : lowest;
}

static void resume_host(gossip_sim_t *sim, gossip_sim_host_t *h)
{
	if (sim->now - h->paused_at >= PAUSE_DETECTED_MIN)
		h->wake_revision_min = min_revision_in_force(sim, h);
	h->paused_at = 0;
	h->paused_until = 0;
}

static void handle_event(gossip_sim_t *sim, gossip_sim_event_t event)
{
	gossip_sim_host_t *h = &sim->hosts[event.host];

	if (h->up && sim->now < h->paused_until) {
		event.at = h->paused_until;
		if (!event.message)
			h->tick_at = event.at;
		push_event(sim, event);
		return;
	}
	if (h->up && h->paused_until)
		resume_host(sim, h);
	if (h->up && event.message) {
		receive_message(sim, h, event.from, event.message);
		complete_host_event(sim, h);
	} else if (h->up && event.at == h->tick_at) {
		tick_host(sim, h);
		complete_host_event(sim, h);
	}
	free(event.message);
}

void gossip_sim_run(gossip_sim_t *sim, pimento_usec_t span)
{
	pimento_usec_t end = sim->now + span;

	while (sim->heap_count && sim->heap[0].at <= end) {
		gossip_sim_event_t event = pop_event(sim);

		sim->now = event.at;
		handle_event(sim, event);
	}
	sim->now = end;
}

void gossip_sim_init(gossip_sim_t *sim, uint32_t count, uint64_t seed)
{
	memset(sim, 0, sizeof(*sim));
	pimento_random_init(&sim->random, seed);
	sim->count = count;
	sim->delay_min = 500;
	sim->delay_max = 1500;
	sim->hosts = calloc(count, sizeof(*sim->hosts));
	for (uint32_t i = 0; i < count; i++) {
		char name[16];

		snprintf(name, sizeof(name), "host-%u", i);
		sim->hosts[i].id = pimento_id(name);
		sim->hosts[i].datacentre = (uint8_t)(i % 8);
	}
}

void gossip_sim_start_host(gossip_sim_t *sim, uint32_t host)
{
	gossip_sim_host_t *h = &sim->hosts[host];
	membership_options_t membership = { .self = h->id };
	config_sync_options_t config_sync = { .self = h->id };

	if (h->up)
		return;
	h->incarnation = pimento_random_next(&sim->random);
	membership.incarnation = h->incarnation;
	membership.seed = pimento_random_next(&sim->random);
	config_sync.seed = pimento_random_next(&sim->random);
	outbox_init(&h->out, OUTBOX_CAPACITY);
	membership_init(&h->membership, &membership, &h->out);
	config_sync_init(&h->config_sync, &config_sync, &h->out);
	h->up = true;
	h->revision = 0;
	h->wake_revision_min = 0;
	h->paused_at = 0;
	h->paused_until = 0;
	h->next_read_at = sim->now;
	h->tick_at = 0;
	/* As in a daemon's settings, two seed peers are known at the start. */
	for (uint32_t i = 0; i < 2; i++)
		membership_add_host(&h->membership, sim->now,
				    sim->hosts[(host + 1 + i) % sim->count].id);
	tick_host(sim, h);
	complete_host_event(sim, h);
}

void gossip_sim_kill_host(gossip_sim_t *sim, uint32_t host)
{
	gossip_sim_host_t *h = &sim->hosts[host];

	if (!h->up)
		return;
	h->up = false;
	membership_finish(&h->membership);
	config_sync_finish(&h->config_sync);
	outbox_finish(&h->out);
}

void gossip_sim_pause_host(gossip_sim_t *sim, uint32_t host,
			   pimento_usec_t span)
{
	gossip_sim_host_t *h = &sim->hosts[host];

	if (!h->up || h->paused_until)
		return;
	h->paused_at = sim->now;
	h->paused_until = sim->now + span;
}

void gossip_sim_finish(gossip_sim_t *sim)
{
	for (uint32_t i = 0; i < sim->count; i++)
		gossip_sim_kill_host(sim, i);
	for (uint32_t i = 0; i < sim->heap_count; i++)
		free(sim->heap[i].message);
	for (unsigned int s = 0; s < 2; s++) {
		free(sim->texts[s]);
		free(sim->previous_texts[s]);
	}
	free(sim->heap);
	free(sim->hosts);
	memset(sim, 0, sizeof(*sim));
}

void gossip_sim_publish(gossip_sim_t *sim, config_sync_subject_t subject,
			char *text)
{
	unsigned int s = (unsigned int)subject - 1;

	free(sim->previous_texts[s]);
	sim->previous_texts[s] = sim->texts[s];
	sim->texts[s] = text;
	sim->revisions[s]++;
}

void gossip_sim_publish_hosts(gossip_sim_t *sim)
{
	size_t capacity = (size_t)sim->count * 160 + 64;
	char *text = malloc(capacity);
	size_t n = (size_t)snprintf(
		text, capacity, "{\"revision\": %llu, \"hosts\": [",
		(unsigned long long)sim->revisions[CONFIG_SYNC_HOSTS - 1] + 1);
	const char *comma = "";

	for (uint32_t i = 0; i < sim->count; i++) {
		gossip_sim_host_t *h = &sim->hosts[i];
		bool leaving = h->up && membership_state(&h->membership,
							 h->id) == HOST_LEAVING;

		if (!h->up)
			continue;
		n += (size_t)snprintf(
			text + n, capacity - n,
			"%s\n{\"name\": \"host-%u\", \"datacentre\": \"dc%u\", "
			"\"address\": \"10.0.%u.%u\", \"port\": 9081, "
			"\"role\": \"entry\", \"state\": \"%s\"}",
			comma, i, h->datacentre, i / 250, i % 250,
			leaving ? "leaving" : "live");
		comma = ",";
	}
	snprintf(text + n, capacity - n, "]}\n");
	gossip_sim_publish(sim, CONFIG_SYNC_HOSTS, text);
}

char *gossip_sim_make_config(gossip_sim_t *sim, size_t size)
{
	uint64_t revision = sim->revisions[CONFIG_SYNC_CONFIG - 1] + 1;
	char *text = malloc(size + 128);
	size_t n = 0;

	for (uint64_t i = 0; n < size; i++)
		n += (size_t)snprintf(
			text + n, 128,
			"[[contract]]\nname = \"c%llu\"\n"
			"patience = %llu\n",
			(unsigned long long)i,
			(unsigned long long)(i ? i * 7 : revision));
	return text;
}

uint32_t gossip_sim_count_running_hosts(const gossip_sim_t *sim)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < sim->count; i++)
		n += sim->hosts[i].up;
	return n;
}

uint32_t gossip_sim_count_updated_hosts(const gossip_sim_t *sim,
					config_sync_subject_t subject)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < sim->count; i++) {
		const gossip_sim_host_t *h = &sim->hosts[i];

		if (h->up && config_sync_revision(&h->config_sync, subject) ==
				     sim->revisions[subject - 1])
			n++;
	}
	return n;
}

uint32_t gossip_sim_count_wrong_states(const gossip_sim_t *sim)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < sim->count; i++) {
		for (uint32_t j = 0; j < sim->count; j++) {
			const gossip_sim_host_t *a = &sim->hosts[i];
			const gossip_sim_host_t *b = &sim->hosts[j];
			host_state_t state;

			if (!a->up)
				continue;
			state = membership_state(&a->membership, b->id);
			if (!b->up)
				n += state != HOST_DEAD &&
				     state != HOST_UNKNOWN;
			else
				n += state !=
				     membership_state(&b->membership, b->id);
		}
	}
	return n;
}

uint32_t gossip_sim_count_unaware_hosts(const gossip_sim_t *sim,
					uint32_t dead_host)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < sim->count; i++) {
		const gossip_sim_host_t *h = &sim->hosts[i];
		host_state_t state;

		if (!h->up)
			continue;
		state = membership_state(&h->membership,
					 sim->hosts[dead_host].id);
		n += state == HOST_LIVE || state == HOST_SUSPECT;
	}
	return n;
}

uint32_t gossip_sim_count_disputed_owners(const gossip_sim_t *sim,
					  uint32_t endpoints)
{
	uint32_t n = 0;

	for (uint32_t e = 1; e <= endpoints; e++) {
		pimento_id_t owner = 0;
		bool first = true;

		for (uint32_t i = 0; i < sim->count; i++) {
			pimento_id_t o;

			if (!sim->hosts[i].up)
				continue;
			o = membership_owner(&sim->hosts[i].membership, e);
			if (!first && o != owner) {
				n++;
				break;
			}
			owner = o;
			first = false;
		}
	}
	return n;
}
