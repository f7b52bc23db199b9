/*
 * What requests cost: whole hosts, as the daemon drives them, in virtual time.
 * The mesh hands messages over after one millisecond and answers dispatches
 * like an engine that makes a token each 45 ms. Each figure is the difference
 * between a run with requests and one without, divided by the requests.
 */

#include "host.h"
#include "slope.h"
#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP PIMENTO_MSEC
#define SPAN (60 * PIMENTO_SEC)
#define FIRST_TOKEN (62 * PIMENTO_MSEC) /* 500 tokens at 8,000 a second */
#define TOKEN (45 * PIMENTO_MSEC)
#define TOLD (250 * PIMENTO_MSEC) /* the daemon's pace of telling tokens */
#define TOKENS 230
#define HOSTS_MAX 50
#define QUEUE (1U << 16)
#define RUNNING 8192
#define KEY_NONCE 99

typedef struct mesh_message {
	pimento_usec_t at;
	uint32_t to;
	pimento_id_t from;
	message_t *message;
} mesh_message_t;

typedef struct mesh_stream {
	bool used;
	uint32_t host;
	pimento_handle_t handle;
	pimento_usec_t sent;
	pimento_usec_t told;
} mesh_stream_t;

typedef struct mesh {
	pimento_host_t *hosts;
	pimento_id_t ids[HOSTS_MAX];
	uint32_t count;
	pimento_usec_t now;
	mesh_message_t *queue;
	uint32_t head;
	uint32_t tail;
	mesh_stream_t *streams;
	uint32_t stream_high; /* streams beyond were never used */
	uint64_t bytes[MESSAGE_KINDS];
	uint64_t messages[MESSAGE_KINDS];
	uint64_t done;
	uint64_t refused;
	uint64_t nonce;
} mesh_t;

static void send(mesh_t *m, uint32_t from, pimento_id_t to,
		 const message_t *message)
{
	static uint8_t frame[WIRE_FRAME_MAX];
	int length = wire_encode(m->ids[from], message, frame, sizeof(frame));
	size_t size = message_size(message->kind);
	mesh_message_t *q = &m->queue[m->tail++ % QUEUE];
	uint32_t i = 0;

	while (i < m->count && m->ids[i] != to)
		i++;
	if (i == m->count || length < 0) {
		m->tail--;
		return;
	}
	m->bytes[message->kind] += (uint64_t)length;
	m->messages[message->kind]++;
	q->at = m->now + PIMENTO_MSEC;
	q->to = i;
	q->from = m->ids[from];
	q->message = malloc(size);
	memcpy(q->message, message, size);
}

static void dispatch(mesh_t *m, uint32_t host, pimento_handle_t handle)
{
	uint32_t i = 0;

	if (pimento_host_commit(&m->hosts[host], m->now, handle))
		return;
	while (m->streams[i].used)
		i++;
	if (i >= m->stream_high)
		m->stream_high = i + 1;
	m->streams[i] = (mesh_stream_t){ true, host, handle, m->now, 0 };
}

static void drain(mesh_t *m, uint32_t host)
{
	pimento_action_t action;

	while (pimento_host_next_action(&m->hosts[host], &action)) {
		if (action.kind == PIMENTO_ACTION_SEND)
			send(m, host, action.peer, action.message);
		else if (action.kind == PIMENTO_ACTION_DISPATCH)
			dispatch(m, host, action.request);
		else if (action.kind == PIMENTO_ACTION_REFUSE)
			m->refused++;
	}
}

static void stream(mesh_t *m, mesh_stream_t *s)
{
	pimento_event_t event = { .kind = PIMENTO_EVENT_TOKENS };
	pimento_usec_t age = m->now - s->sent;

	if (age < FIRST_TOKEN || m->now - s->told < TOLD)
		return;
	s->told = m->now;
	event.tokens = (uint32_t)((age - FIRST_TOKEN) / TOKEN) + 1;
	if (event.tokens >= TOKENS) {
		event.kind = PIMENTO_EVENT_DONE;
		event.status = 200;
		s->used = false;
		m->done++;
	}
	pimento_host_event(&m->hosts[s->host], m->now, s->handle, &event);
	drain(m, s->host);
}

static void step(mesh_t *m)
{
	m->now += STEP;
	while (m->head != m->tail && m->queue[m->head % QUEUE].at <= m->now) {
		mesh_message_t q = m->queue[m->head++ % QUEUE];

		pimento_host_receive(&m->hosts[q.to], m->now, q.from,
				     q.message);
		free(q.message);
		drain(m, q.to);
	}
	for (uint32_t i = 0; i < m->count; i++) {
		if (pimento_host_deadline(&m->hosts[i]) > m->now)
			continue;
		pimento_host_tick(&m->hosts[i], m->now);
		drain(m, i);
	}
	for (uint32_t i = 0; i < m->stream_high; i++)
		if (m->streams[i].used)
			stream(m, &m->streams[i]);
}

static void mesh_init(mesh_t *m, uint32_t count, uint32_t endpoints)
{
	char *config = slope_config(endpoints, 20000, 1);
	char *hosts = slope_hosts(count, 1);

	memset(m, 0, sizeof(*m));
	m->count = count;
	m->now = PIMENTO_SEC;
	m->hosts = calloc(count, sizeof(*m->hosts));
	m->queue = calloc(QUEUE, sizeof(*m->queue));
	m->streams = calloc(RUNNING, sizeof(*m->streams));
	for (uint32_t i = 0; i < count; i++) {
		char name[16];
		pimento_host_options_t options = { .name = name,
						   .incarnation = i + 1,
						   .seed = i };

		snprintf(name, sizeof(name), "host-%u", i);
		m->ids[i] = pimento_id(name);
		pimento_host_init(&m->hosts[i], &options, m->now);
		m->hosts[i].options.name = "slopes";
		pimento_host_apply_update(&m->hosts[i], m->now, false, 1,
					  config, strlen(config));
		pimento_host_apply_update(&m->hosts[i], m->now, true, 1, hosts,
					  strlen(hosts));
		drain(m, i);
	}
	free(config);
	free(hosts);
	for (uint32_t i = 0; i < 3000; i++)
		step(m);
}

static void clear(mesh_t *m)
{
	memset(m->bytes, 0, sizeof(m->bytes));
	memset(m->messages, 0, sizeof(m->messages));
	m->done = 0;
	m->refused = 0;
}

static void mesh_finish(mesh_t *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		pimento_host_finish(&m->hosts[i]);
	while (m->head != m->tail)
		free(m->queue[m->head++ % QUEUE].message);
	free(m->hosts);
	free(m->queue);
	free(m->streams);
}

static void submit(mesh_t *m, uint32_t host, bool keyed)
{
	char key[PIMENTO_KEY_TEXT_SIZE];
	pimento_request_t r = { .account = pimento_id("a0"),
				.is_model = true,
				.tier = (uint8_t)(m->nonce % 5),
				.client_timeout = 60 * PIMENTO_SEC,
				.repeatable = !keyed,
				.prompt_tokens = 500,
				.answer_tokens = TOKENS,
				.wall_msec = 1000000 };
	pimento_handle_t handle;
	pimento_reqid_t id;

	snprintf(r.target, sizeof(r.target), "m%u", (unsigned)(m->nonce % 4));
	r.digest = ++m->nonce;
	if (keyed) {
		pimento_host_issue_key(&m->hosts[host], m->now, 1000000,
				       m->nonce, key);
		r.key = key;
	}
	if (pimento_host_submit(&m->hosts[host], m->now, &r, &handle, &id))
		m->refused++;
	drain(m, host);
}

/* Runs with this many requests a second over all hosts; returns CPU time. */
static double load(mesh_t *m, uint32_t rate, bool keyed)
{
	pimento_usec_t end = m->now + SPAN;
	pimento_usec_t last = end - 15 * PIMENTO_SEC; /* let them finish */
	pimento_usec_t next = m->now;
	double before = slope_cpu();

	while (m->now < end) {
		while (rate && next <= m->now && m->now < last) {
			submit(m, (uint32_t)(m->nonce % m->count), keyed);
			next += PIMENTO_SEC / rate;
		}
		step(m);
	}
	return slope_cpu() - before;
}

static uint64_t total(const uint64_t *counts)
{
	uint64_t sum = 0;

	for (int k = 0; k < MESSAGE_KINDS; k++)
		if (k != MESSAGE_PROBE && k != MESSAGE_ACK &&
		    k != MESSAGE_DIGEST)
			sum += counts[k];
	return sum;
}

static void kinds(const mesh_t *m, const char *keyed, uint32_t size)
{
	for (int k = 1; k < MESSAGE_KINDS; k++) {
		char what[160];

		if (!m->messages[k] || k == MESSAGE_PROBE || k == MESSAGE_ACK ||
		    k == MESSAGE_DIGEST)
			continue;
		snprintf(what, sizeof(what), "%s, of it %s", keyed,
			 message_kind_name((message_kind_t)k));
		slope_row("request", what, size,
			  (double)m->bytes[k] / (double)m->done,
			  "bytes/request");
	}
}

static void measure(uint32_t hosts, uint32_t endpoints, uint32_t rate,
		    bool keyed)
{
	const char *label = keyed ? "keyed" : "unkeyed";
	double idle;
	double busy;
	char what[128];
	mesh_t m;

	mesh_init(&m, hosts, endpoints);
	load(&m, rate, false); /* owners learn the endpoints' limits */
	clear(&m);
	idle = load(&m, 0, false);
	snprintf(what, sizeof(what), "digests, %u hosts, sent per host", hosts);
	slope_row("request", what, endpoints,
		  (double)m.bytes[MESSAGE_DIGEST] / hosts / 60, "bytes/s");
	clear(&m);
	busy = load(&m, rate, keyed);
	snprintf(what, sizeof(what), "%s, %u hosts", label, hosts);
	slope_row("request", what, endpoints, (double)m.done, "done");
	slope_row("request", what, endpoints, (double)m.refused, "refused");
	slope_row("request", what, endpoints,
		  (double)total(m.messages) / (double)m.done,
		  "messages/request");
	slope_row("request", what, endpoints,
		  (double)total(m.bytes) / (double)m.done, "bytes/request");
	slope_row("request", what, endpoints,
		  (busy - idle) / (double)m.done / 1000, "us/request");
	slope_row("request", what, endpoints, idle / hosts / 60 / 1000,
		  "us/s per idle host");
	if (hosts == HOSTS_MAX && endpoints == 600)
		kinds(&m, label, endpoints);
	mesh_finish(&m);
}

void slope_request(void)
{
	measure(8, 12, 24, false);
	measure(8, 12, 24, true);
	/* 8 a second on each host, as at the target. */
	measure(HOSTS_MAX, 75, 400, false);
	measure(HOSTS_MAX, 600, 400, false);
	measure(HOSTS_MAX, 600, 400, true);
}

/*
 * The same span of virtual time whatever the number of requests, so that what
 * hosts do without any cancels out of the difference of two runs.
 */
void slope_repeat_request(uint32_t endpoints, uint32_t times, bool keyed)
{
	pimento_usec_t end;
	mesh_t m;

	mesh_init(&m, 4, endpoints);
	end = m.now + 30 * PIMENTO_SEC;
	for (uint32_t i = 0; m.now < end; i++) {
		if (i % 20 == 0 && i / 20 < times)
			submit(&m, (i / 20) % m.count, keyed);
		step(&m);
	}
	printf("%llu done, %llu refused\n", (unsigned long long)m.done,
	       (unsigned long long)m.refused);
	mesh_finish(&m);
}
