/*
 * One heap of events, deliveries and ticks. A host that stands still gets what
 * arrives meanwhile when it goes on, before its first tick, as from a socket's
 * buffer: the order in which a woken process trusts stale knowledge.
 */

#include "gossip.h"

#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_DELAY (5 * PIMENTO_MSEC) /* of the platform's answer */
#define WATCH_AGAIN (200 * PIMENTO_MSEC)
#define OUTBOX 4096
#define PAUSE_NOTICED (2 * PIMENTO_SEC) /* a shorter one may go unnoticed */

static bool before(const gossip_event_t *a, const gossip_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void push(gossip_t *f, gossip_event_t event)
{
	uint32_t i = f->heap_count++;

	if (f->heap_count > f->heap_capacity) {
		f->heap_capacity = f->heap_capacity ? f->heap_capacity * 2 : 64;
		f->heap = realloc(f->heap, f->heap_capacity * sizeof(*f->heap));
	}
	event.order = ++f->order;
	for (; i && before(&event, &f->heap[(i - 1) / 2]); i = (i - 1) / 2)
		f->heap[i] = f->heap[(i - 1) / 2];
	f->heap[i] = event;
}

static gossip_event_t pop(gossip_t *f)
{
	gossip_event_t top = f->heap[0];
	gossip_event_t last = f->heap[--f->heap_count];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= f->heap_count)
			break;
		if (child + 1 < f->heap_count &&
		    before(&f->heap[child + 1], &f->heap[child]))
			child++;
		if (!before(&f->heap[child], &last))
			break;
		f->heap[i] = f->heap[child];
		i = child;
	}
	f->heap[i] = last;
	return top;
}

static uint32_t index_of(const gossip_t *f, pimento_id_t id)
{
	uint32_t i = 0;

	while (i < f->count && f->hosts[i].id != id)
		i++;
	return i;
}

static pimento_usec_t delay(gossip_t *f)
{
	uint64_t span = (uint64_t)(f->delay_max - f->delay_min) + 1;

	if (pimento_random_unit(&f->random) < f->straggle)
		span += PIMENTO_SEC;
	return f->delay_min +
	       (pimento_usec_t)pimento_random_below(&f->random, span);
}

static void post(gossip_t *f, gossip_host_t *from, pimento_id_t to,
		 const message_t *message)
{
	static uint8_t frame[WIRE_FRAME_MAX];
	uint32_t i = index_of(f, to);
	int length = wire_encode(from->id, message, frame, sizeof(frame));
	gossip_event_t event = { .host = i, .from = from->id };
	size_t size = message_size(message->kind);

	if (length < 0 || i == f->count)
		return;
	from->sent_bytes += (uint64_t)length;
	from->sent_messages++;
	if (f->hosts[i].side != from->side ||
	    pimento_random_unit(&f->random) < f->loss)
		return;
	f->hosts[i].received_bytes += (uint64_t)length;
	event.at = f->now + delay(f);
	event.message = malloc(size);
	memcpy(event.message, message, size);
	push(f, event);
}

static void problem(gossip_t *f, const gossip_host_t *h, const char *what)
{
	f->problems++;
	fprintf(stderr, "at %.3f s, host %u: %s\n", (double)f->now / 1e6,
		(unsigned)(h - f->hosts), what);
}

static bool good(gossip_t *f, config_sync_subject_t subject, const char *text,
		 size_t length, hostlist_t *list)
{
	problems_t problems;
	int error = 0;

	if (subject == CONFIG_SYNC_CONFIG)
		return length < 3 || strncmp(text, "bad", 3) != 0;
	problems_init(&problems);
	error = hostlist_parse(list, text, length, &problems);
	problems_finish(&problems);
	(void)f;
	return !error;
}

static void judge(gossip_t *f, gossip_host_t *h, config_sync_subject_t subject)
{
	hostlist_t list = { 0 };
	uint64_t revision;
	size_t length;
	const char *text =
		spread_pending(&h->spread, subject, &revision, &length);
	bool ok;

	if (!text)
		return;
	ok = good(f, subject, text, length, &list);
	if (!ok)
		f->judged_bad++;
	spread_judge(&h->spread, f->now, subject, ok);
	if (subject == CONFIG_SYNC_HOSTS && ok) {
		member_publish(&h->member, f->now, &list);
		hostlist_finish(&list);
	}
	if (subject == CONFIG_SYNC_CONFIG && ok)
		h->in_force = f->now;
}

/* What a daemon does after each step. */
static void settle(gossip_t *f, gossip_host_t *h)
{
	static message_t message;
	pimento_id_t to;
	pimento_usec_t at;

	judge(f, h, CONFIG_SYNC_CONFIG);
	judge(f, h, CONFIG_SYNC_HOSTS);
	h->member.revision = spread_revision(&h->spread, CONFIG_SYNC_CONFIG);
	h->member.hosts_revision =
		spread_revision(&h->spread, CONFIG_SYNC_HOSTS);
	if (h->member.revision < h->revision)
		problem(f, h, "the configuration reverted");
	h->revision = h->member.revision;
	if (member_fresh(&h->member, f->now) && h->revision < h->wake_floor)
		problem(f, h, "serves under a revision from before its pause");
	while (outbox_take(&h->out, &to, &message))
		post(f, h, to, &message);
	at = member_deadline(&h->member);
	if (spread_deadline(&h->spread) < at)
		at = spread_deadline(&h->spread);
	if (h->read_at < at)
		at = h->read_at;
	if (at <= f->now)
		at = f->now + 1;
	if (at == h->tick_at)
		return;
	h->tick_at = at;
	push(f, (gossip_event_t){ .at = at, .host = (uint32_t)(h - f->hosts) });
}

static void read_platform(gossip_t *f, gossip_host_t *h)
{
	pimento_id_t live[GOSSIP_MAX];
	uint32_t count = member_live(&h->member, live, GOSSIP_MAX);
	pimento_usec_t interval;

	if (spread_reader(&h->spread, live, count, &interval))
		h->read_at = f->now + WATCH_AGAIN;
	else
		h->read_at = f->now + interval;
	if (f->platform_down)
		return;
	f->platform_reads++;
	for (unsigned int s = 0; s < 2; s++) {
		const char *text = f->texts[s];
		uint64_t revision = f->revisions[s];

		if (f->platform_stale && f->former[s]) {
			text = f->former[s];
			revision--;
		}
		if (!text)
			continue;
		spread_read(&h->spread, f->now, (config_sync_subject_t)(s + 1),
			    revision, text, strlen(text));
		judge(f, h, (config_sync_subject_t)(s + 1));
	}
	h->member.revision = spread_revision(&h->spread, CONFIG_SYNC_CONFIG);
	h->member.hosts_revision =
		spread_revision(&h->spread, CONFIG_SYNC_HOSTS);
	/* A host cannot tell that the platform is stale. */
	member_refreshed(&h->member, f->now, f->now);
}

static void tick(gossip_t *f, gossip_host_t *h)
{
	member_tick(&h->member, f->now);
	spread_tick(&h->spread, f->now);
	if (f->now >= h->read_at)
		read_platform(f, h);
}

static void receive(gossip_t *f, gossip_host_t *h, pimento_id_t from,
		    const message_t *m)
{
	if (m->kind == MESSAGE_PROBE || m->kind == MESSAGE_ACK) {
		member_receive(&h->member, f->now, from, m);
		spread_heard(&h->spread, f->now, from, CONFIG_SYNC_CONFIG,
			     m->u.probe.revision);
		spread_heard(&h->spread, f->now, from, CONFIG_SYNC_HOSTS,
			     m->u.probe.hosts_revision);
		return;
	}
	member_heard(&h->member, f->now, from);
	spread_receive(&h->spread, f->now, from, m);
}

/* What all others that it can reach serve under, when a host goes on. */
static uint64_t floor_of(const gossip_t *f, const gossip_host_t *woken)
{
	uint64_t floor = UINT64_MAX;

	for (uint32_t i = 0; i < f->count; i++) {
		const gossip_host_t *h = &f->hosts[i];

		if (h == woken || !h->up || h->side != woken->side)
			continue;
		if (f->now < h->paused_until ||
		    !member_fresh(&h->member, f->now))
			return 0;
		if (h->revision < floor)
			floor = h->revision;
	}
	return floor == UINT64_MAX ? 0 : floor;
}

static void wake(gossip_t *f, gossip_host_t *h)
{
	if (f->now - h->paused_at >= PAUSE_NOTICED)
		h->wake_floor = floor_of(f, h);
	h->paused_at = 0;
	h->paused_until = 0;
}

static void handle(gossip_t *f, gossip_event_t event)
{
	gossip_host_t *h = &f->hosts[event.host];

	if (h->up && f->now < h->paused_until) {
		event.at = h->paused_until;
		if (!event.message)
			h->tick_at = event.at;
		push(f, event);
		return;
	}
	if (h->up && h->paused_until)
		wake(f, h);
	if (h->up && event.message) {
		receive(f, h, event.from, event.message);
		settle(f, h);
	} else if (h->up && event.at == h->tick_at) {
		tick(f, h);
		settle(f, h);
	}
	free(event.message);
}

void gossip_run(gossip_t *fleet, pimento_usec_t span)
{
	pimento_usec_t end = fleet->now + span;

	while (fleet->heap_count && fleet->heap[0].at <= end) {
		gossip_event_t event = pop(fleet);

		fleet->now = event.at;
		handle(fleet, event);
	}
	fleet->now = end;
}

void gossip_init(gossip_t *fleet, uint32_t count, uint64_t seed)
{
	memset(fleet, 0, sizeof(*fleet));
	pimento_random_init(&fleet->random, seed);
	fleet->count = count;
	fleet->delay_min = 500;
	fleet->delay_max = 1500;
	fleet->hosts = calloc(count, sizeof(*fleet->hosts));
	for (uint32_t i = 0; i < count; i++) {
		char name[16];

		snprintf(name, sizeof(name), "host-%u", i);
		fleet->hosts[i].id = pimento_id(name);
		fleet->hosts[i].datacentre = (uint8_t)(i % 8);
	}
}

void gossip_start(gossip_t *fleet, uint32_t host)
{
	gossip_host_t *h = &fleet->hosts[host];
	member_options_t member = { .self = h->id };
	spread_options_t spread = { .self = h->id };

	if (h->up)
		return;
	h->incarnation = pimento_random_next(&fleet->random);
	member.incarnation = h->incarnation;
	member.seed = pimento_random_next(&fleet->random);
	spread.seed = pimento_random_next(&fleet->random);
	outbox_init(&h->out, OUTBOX);
	member_init(&h->member, &member, &h->out);
	spread_init(&h->spread, &spread, &h->out);
	h->up = true;
	h->revision = 0;
	h->wake_floor = 0;
	h->paused_at = 0;
	h->paused_until = 0;
	h->read_at = fleet->now;
	h->tick_at = 0;
	/* Its settings name two seeds. */
	for (uint32_t i = 0; i < 2; i++)
		member_meet(&h->member, fleet->now,
			    fleet->hosts[(host + 1 + i) % fleet->count].id);
	tick(fleet, h);
	settle(fleet, h);
}

void gossip_kill(gossip_t *fleet, uint32_t host)
{
	gossip_host_t *h = &fleet->hosts[host];

	if (!h->up)
		return;
	h->up = false;
	member_finish(&h->member);
	spread_finish(&h->spread);
	outbox_finish(&h->out);
}

void gossip_pause(gossip_t *fleet, uint32_t host, pimento_usec_t span)
{
	gossip_host_t *h = &fleet->hosts[host];

	if (!h->up || h->paused_until)
		return;
	h->paused_at = fleet->now;
	h->paused_until = fleet->now + span;
}

void gossip_finish(gossip_t *fleet)
{
	for (uint32_t i = 0; i < fleet->count; i++)
		gossip_kill(fleet, i);
	for (uint32_t i = 0; i < fleet->heap_count; i++)
		free(fleet->heap[i].message);
	for (unsigned int s = 0; s < 2; s++) {
		free(fleet->texts[s]);
		free(fleet->former[s]);
	}
	free(fleet->heap);
	free(fleet->hosts);
	memset(fleet, 0, sizeof(*fleet));
}

void gossip_publish(gossip_t *fleet, config_sync_subject_t subject, char *text)
{
	unsigned int s = (unsigned int)subject - 1;

	free(fleet->former[s]);
	fleet->former[s] = fleet->texts[s];
	fleet->texts[s] = text;
	fleet->revisions[s]++;
}

void gossip_publish_hosts(gossip_t *fleet)
{
	size_t capacity = (size_t)fleet->count * 160 + 64;
	char *text = malloc(capacity);
	size_t n = (size_t)snprintf(
		text, capacity, "{\"revision\": %llu, \"hosts\": [",
		(unsigned long long)fleet->revisions[CONFIG_SYNC_HOSTS - 1] +
			1);
	const char *comma = "";

	for (uint32_t i = 0; i < fleet->count; i++) {
		gossip_host_t *h = &fleet->hosts[i];
		bool leaving = h->up &&
			       member_state(&h->member, h->id) == HOST_LEAVING;

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
	gossip_publish(fleet, CONFIG_SYNC_HOSTS, text);
}

char *gossip_config(gossip_t *fleet, size_t size)
{
	uint64_t revision = fleet->revisions[CONFIG_SYNC_CONFIG - 1] + 1;
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

uint32_t gossip_up(const gossip_t *fleet)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->count; i++)
		n += fleet->hosts[i].up;
	return n;
}

uint32_t gossip_in_force(const gossip_t *fleet, config_sync_subject_t subject)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->count; i++) {
		const gossip_host_t *h = &fleet->hosts[i];

		if (h->up && spread_revision(&h->spread, subject) ==
				     fleet->revisions[subject - 1])
			n++;
	}
	return n;
}

uint32_t gossip_misjudged(const gossip_t *fleet)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->count; i++) {
		for (uint32_t j = 0; j < fleet->count; j++) {
			const gossip_host_t *a = &fleet->hosts[i];
			const gossip_host_t *b = &fleet->hosts[j];
			host_state_t state;

			if (!a->up)
				continue;
			state = member_state(&a->member, b->id);
			if (!b->up)
				n += state != HOST_DEAD &&
				     state != HOST_UNKNOWN;
			else
				n += state != member_state(&b->member, b->id);
		}
	}
	return n;
}

uint32_t gossip_unaware(const gossip_t *fleet, uint32_t dead)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->count; i++) {
		const gossip_host_t *h = &fleet->hosts[i];
		host_state_t state;

		if (!h->up)
			continue;
		state = member_state(&h->member, fleet->hosts[dead].id);
		n += state == HOST_LIVE || state == HOST_SUSPECT;
	}
	return n;
}

uint32_t gossip_disputed_owners(const gossip_t *fleet, uint32_t endpoints)
{
	uint32_t n = 0;

	for (uint32_t e = 1; e <= endpoints; e++) {
		pimento_id_t owner = 0;
		bool first = true;

		for (uint32_t i = 0; i < fleet->count; i++) {
			pimento_id_t o;

			if (!fleet->hosts[i].up)
				continue;
			o = member_owner(&fleet->hosts[i].member, e);
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
