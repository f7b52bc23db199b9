/*
 * Slopes of single tables and functions: bytes of a message, memory of one
 * entry, time of one operation, each at several sizes.
 */

#include "delta.h"
#include "host.h"
#include "link.h"
#include "slope.h"
#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BIG (1U << 20)
#define WAKE_UPS 20000
#define ID(i) (((uint64_t)(i) + 1) * 0x9e3779b97f4a7c15ULL)

static double frame(const message_t *message)
{
	static uint8_t bytes[WIRE_FRAME_MAX];

	return wire_encode(ID(0), message, bytes, sizeof(bytes));
}

static void fill_summary(message_summary_t *s, uint32_t i)
{
	*s = (message_summary_t){ .endpoint = ID(i),
				  .epoch = 1700000000000000ULL,
				  .running = 30,
				  .limit = 64,
				  .running_tokens = 7000,
				  .token_limit = 20000,
				  .waiting = { 0, 1, 2, 3, 4 },
				  .waiting_tokens = 1500,
				  .prefill_rate = 5000,
				  .decode_rate = 22 };
}

static void wire_probe(uint32_t facts)
{
	message_t m = { .kind = MESSAGE_PROBE };

	m.u.probe.sequence = 1000000;
	m.u.probe.incarnation = ID(1);
	m.u.probe.revision = 300000;
	m.u.probe.hosts_revision = 300000;
	m.u.probe.count = facts;
	for (uint32_t i = 0; i < facts; i++)
		m.u.probe.facts[i] =
			(message_fact_t){ ID(i), ID(i + 99), 3, HOST_LIVE, 0 };
	slope_row("wire", "probe or ack, by facts", facts, frame(&m), "bytes");
}

static void wire_digest(uint32_t count)
{
	message_t m = { .kind = MESSAGE_DIGEST };

	m.u.digest.count = count;
	for (uint32_t i = 0; i < count; i++)
		fill_summary(&m.u.digest.summaries[i], i);
	slope_row("wire", "digest, by summaries", count, frame(&m), "bytes");
}

static void wire_part(uint32_t length)
{
	message_t m = { .kind = MESSAGE_PART };

	m.u.part = (message_part_t){ .subject = 1,
				     .revision = 300000,
				     .base = 299999,
				     .digest = ID(3),
				     .size = length,
				     .length = length };
	slope_row("wire", "part, by bytes of text", length, frame(&m), "bytes");
}

void slope_wire(void)
{
	wire_probe(1);
	wire_probe(3);
	wire_probe(16);
	wire_digest(1);
	wire_digest(2);
	wire_digest(16);
	wire_part(100);
	wire_part(1000);
	wire_part(MESSAGE_PART_BYTES_MAX);
}

static void fill_list(hostlist_t *list, uint32_t n, bool endpoints)
{
	list->revision = 1;
	list->count = n;
	list->hosts = calloc(n, sizeof(*list->hosts));
	for (uint32_t i = 0; i < n; i++) {
		list->hosts[i].id = ID(i);
		list->hosts[i].is_endpoint = endpoints;
	}
}

static void memory_member(uint32_t n)
{
	membership_options_t options = { .self = ID(0), .incarnation = 1 };
	hostlist_t list;
	outbox_t out;
	membership_t member;
	double before;

	fill_list(&list, n, false);
	outbox_init(&out, 16);
	before = slope_heap();
	membership_init(&member, &options, &out);
	membership_apply_hostlist(&member, 0, &list);
	slope_row("tables", "member, memory per host", n,
		  (slope_heap() - before) / n, "bytes");
	membership_finish(&member);
	outbox_finish(&out);
	free(list.hosts);
}

static const config_endpoint_t slope_endpoint = { .name = "e",
						  .target = CONFIG_TARGET_MODEL,
						  .target_name = "m0",
						  .concurrency = 8 };

static void owner_with(owner_t *owner, outbox_t *out, uint32_t endpoints)
{
	owner_options_t options = { .self = ID(0), .waiting_max = BIG };

	outbox_init(out, BIG);
	owner_init(owner, &options, out);
	for (uint32_t i = 0; i < endpoints; i++) {
		config_endpoint_t e = slope_endpoint;

		e.id = ID(i);
		owner_add_endpoint(owner, 0, &e, 1, 1.0);
	}
}

static void reserve(owner_t *owner, uint32_t i, uint32_t endpoints)
{
	message_t m = { .kind = MESSAGE_RESERVE };

	m.u.reserve = (message_reserve_t){ .request = { 7, i + 1 },
					   .round = 1,
					   .endpoint = ID(i % endpoints),
					   .account = ID(i % 300),
					   .tier = (uint8_t)(i % 5),
					   .time_left = 3600 * PIMENTO_SEC * 24,
					   .prompt_tokens = 10,
					   .answer_tokens = 10 };
	owner_receive(owner, 0, ID(i % 400), &m);
}

static void empty(outbox_t *out)
{
	static message_t m;
	pimento_id_t to;

	while (outbox_take(out, &to, &m))
		;
}

static void memory_owner(uint32_t endpoints, uint32_t waiting)
{
	owner_t owner;
	outbox_t out;
	double before;
	double time;

	outbox_init(&out, BIG);
	outbox_finish(&out);
	owner_with(&owner, &out, 0);
	before = slope_heap();
	owner_finish(&owner);
	outbox_finish(&out);
	owner_with(&owner, &out, endpoints);
	slope_row("tables", "owner, memory per endpoint", endpoints,
		  (slope_heap() - before) / endpoints, "bytes");
	before = slope_heap();
	time = slope_cpu();
	for (uint32_t i = 0; i < waiting; i++) {
		reserve(&owner, i, endpoints);
		if (i % 1000 == 999)
			empty(&out);
	}
	empty(&out);
	time = slope_cpu() - time;
	slope_row("tables", "owner, reservations really waiting", waiting,
		  owner.waiting, "");
	slope_row("tables", "owner, memory per waiting reservation", waiting,
		  (slope_heap() - before) / waiting, "bytes");
	slope_row("tables", "owner, time per reservation, mean", waiting,
		  time / waiting, "ns");
	owner_finish(&owner);
	outbox_finish(&out);
}

static void memory_witness(uint32_t keys, uint32_t answer)
{
	witness_options_t options = { .incarnation = 5,
				      .capacity = 131072,
				      .retention = 600 * PIMENTO_SEC,
				      .clock_skew_max = PIMENTO_SEC };
	message_claim_t q = { .op = CLAIM_TAKE,
			      .incarnation = 5,
			      .attempt = 1 };
	message_witness_t reply;
	witness_t witness;
	double empty_table = slope_heap();
	double before;
	uint32_t taken = 0;

	witness_init(&witness, &options);
	before = slope_heap();
	slope_row("tables", "witness, empty, per key of its capacity", 131072,
		  (before - empty_table) / 131072, "bytes");
	for (uint32_t i = 0; i < keys; i++) {
		q.key = (pimento_key_t){ ID(i), ID(i + 3) };
		q.sequence = i + 1;
		q.dispatch.id.lo = i + 1;
		q.dispatch.endpoint = ID(1);
		q.op = CLAIM_TAKE;
		q.dispatch.done = 0;
		q.dispatch.answer_size = 0;
		witness_receive(&witness, PIMENTO_SEC, &q, &reply);
		taken += reply.result == PIMENTO_OK;
		if (!answer)
			continue;
		q.op = CLAIM_DONE;
		q.dispatch.done = 1;
		q.dispatch.answer_size = (uint16_t)answer;
		witness_receive(&witness, PIMENTO_SEC, &q, &reply);
	}
	slope_row("tables", "witness, claims held", keys, taken, "");
	slope_row("tables",
		  answer ? "witness, memory per key, answer 400 B"
			 : "witness, memory per key",
		  keys, (slope_heap() - before) / keys, "bytes");
	witness_finish(&witness);
}

static void memory_config(uint32_t endpoints, size_t size)
{
	char *text = slope_config(endpoints, size, 1);
	double before = slope_heap();
	double time = slope_cpu();
	problems_t problems;
	pimento_config_t config;
	route_t route;

	problems_init(&problems);
	if (pimento_config_parse(&config, text, strlen(text), "c", &problems))
		printf("%s\n", problems.text);
	time = slope_cpu() - time;
	slope_row("tables", "configuration, parsed, memory", strlen(text),
		  slope_heap() - before, "bytes");
	slope_row("tables", "configuration, time to parse", strlen(text),
		  time / 1e6, "ms");
	route_init(&route, 1);
	before = slope_heap();
	route_configure(&route, 0, &config);
	slope_row("tables", "route, memory per endpoint", endpoints,
		  (slope_heap() - before) / endpoints, "bytes");
	route_finish(&route);
	pimento_config_finish(&config);
	free(text);
}

static void time_delta(uint32_t endpoints, size_t size)
{
	char *base = slope_config(endpoints, size, 1);
	char *text = slope_config(endpoints, size, 2);
	char *delta = NULL;
	char *made = NULL;
	size_t length = 0;
	double time = slope_cpu();

	delta_create(base, strlen(base), text, strlen(text), &delta, &length);
	time = slope_cpu() - time;
	slope_row("tables", "difference of one line, bytes", strlen(text),
		  (double)length, "bytes");
	slope_row("tables", "difference of one line, time to make",
		  strlen(text), time / 1e6, "ms");
	time = slope_cpu();
	delta_apply(base, strlen(base), delta, length, BIG, &made, &length);
	time = slope_cpu() - time;
	slope_row("tables", "difference of one line, time to apply",
		  strlen(text), time / 1e6, "ms");
	free(base);
	free(text);
	free(delta);
	free(made);
}

static void memory_host(uint32_t endpoints, size_t size)
{
	pimento_host_options_t options = { .name = "h",
					   .incarnation = 1,
					   .requests_max = 1024 };
	pimento_host_t *host;
	char *text = slope_config(endpoints, size, 1);
	double before = slope_heap();

	host = calloc(1, pimento_host_size());
	pimento_host_init(host, &options, 1);
	slope_row("tables", "host, empty, memory", 0, slope_heap() - before,
		  "bytes");
	for (uint64_t i = 1; i < 12; i++) {
		pimento_host_apply_update(host, 1, false, i, text,
					  strlen(text));
		if (i == 1 || i == 11)
			slope_row("tables",
				  i == 1 ? "host, one configuration held"
					 : "host, eleven were held, memory",
				  strlen(text), slope_heap() - before, "bytes");
	}
	pimento_host_finish(host);
	free(host);
	free(text);
}

static void no_message(link_handler_t *handler, pimento_id_t from,
		       const message_t *message)
{
	(void)handler;
	(void)from;
	(void)message;
}

static void no_hello(link_handler_t *handler, message_t *message)
{
	(void)handler;
	message->kind = MESSAGE_PROBE;
	memset(&message->u.probe, 0, sizeof(message->u.probe));
}

/* What the control thread does with its links each time that it wakes up. */
static void time_links(links_t *links, struct pollfd *fds, uint32_t n)
{
	double time = slope_cpu();

	for (uint32_t i = 0; i < WAKE_UPS; i++) {
		uint32_t used = link_poll(links, fds, 2000);

		poll(fds, used, 0);
		link_ready(links, PIMENTO_SEC, fds, used);
	}
	slope_row("tables", "link, time per wake-up, nothing to read", n,
		  (slope_cpu() - time) / WAKE_UPS / 1000, "us");
}

/* Links of one hub to n peers on loopback; half of the memory is the hub's. */
static void memory_links(uint32_t n)
{
	link_handler_t handler = { no_message, no_hello };
	links_t *links = calloc(n + 1, sizeof(*links));
	static struct pollfd fds[2000];
	message_t m = { .kind = MESSAGE_PROBE };
	double resident;
	double before;

	memset(&m.u.probe, 0, sizeof(m.u.probe));
	for (uint32_t i = 0; i <= n; i++)
		link_init(&links[i], ID(i), &handler, "127.0.0.1",
			  (uint16_t)(24000 + i));
	before = slope_heap();
	resident = slope_resident();
	for (uint32_t i = 1; i <= n; i++) {
		link_peer(&links[0], ID(i), "127.0.0.1", (uint16_t)(24000 + i));
		link_send(&links[0], PIMENTO_SEC, ID(i), &m);
	}
	for (uint32_t round = 0; round < 20; round++)
		for (uint32_t i = 0; i <= n; i++) {
			uint32_t used = link_poll(&links[i], fds, 2000);

			poll(fds, used, 1);
			link_ready(&links[i], PIMENTO_SEC, fds, used);
		}
	slope_row("tables", "link, heap per connection", n,
		  (slope_heap() - before) / (2.0 * n), "bytes");
	slope_row("tables", "link, resident per connection", n,
		  (slope_resident() - resident) / (2.0 * n), "bytes");
	time_links(&links[0], fds, n);
	for (uint32_t i = 0; i <= n; i++)
		link_finish(&links[i]);
	free(links);
}

void slope_tables(void)
{
	/* First: later, freed memory would be used again and not be seen. */
	memory_links(10);
	memory_links(100);
	memory_links(400);
	memory_member(50);
	memory_member(400);
	memory_member(1000);
	memory_owner(1, 1000);
	memory_owner(2, 10000);
	memory_owner(12, 100000);
	memory_owner(600, 100000);
	memory_witness(1000, 0);
	memory_witness(100000, 0);
	memory_witness(10000, 400);
	slope_row("tables", "entry, memory per request", 1, sizeof(entry_t),
		  "bytes");
	slope_row("tables", "entry, and of its claim", 1, sizeof(claim_t),
		  "bytes");
	memory_config(12, 20000);
	memory_config(600, 200000);
	memory_config(600, 1000000);
	time_delta(12, 20000);
	time_delta(600, 200000);
	time_delta(600, 1000000);
	memory_host(12, 20000);
	memory_host(600, 200000);
	memory_host(600, 1000000);
}

/* A round: one probe sent, its ack taken, one probe answered. */
static void repeat_probe(uint32_t hosts, uint32_t times)
{
	membership_options_t options = { .self = ID(0), .incarnation = 1 };
	membership_t member;
	outbox_t out;
	hostlist_t list;
	message_t probe = { .kind = MESSAGE_PROBE };
	static message_t m;
	static uint8_t bytes[WIRE_FRAME_MAX];
	pimento_usec_t now = 0;
	pimento_id_t to;

	if (hosts < 2)
		return;
	fill_list(&list, hosts, false);
	outbox_init(&out, 64);
	membership_init(&member, &options, &out);
	membership_apply_hostlist(&member, 0, &list);
	for (uint32_t i = 0; i < times; i++) {
		now += MEMBERSHIP_PROBE_PERIOD * 11 / 10;
		membership_tick(&member, now);
		while (outbox_take(&out, &to, &m)) {
			message_t ack = m;

			wire_encode(ID(0), &m, bytes, sizeof(bytes));
			ack.kind = MESSAGE_ACK;
			ack.u.probe.incarnation = to;
			ack.u.probe.count = 3;
			for (uint32_t j = 0; j < 3; j++)
				ack.u.probe.facts[j] =
					(message_fact_t){ ID((i + j) % hosts),
							  5, 1, HOST_LIVE, 0 };
			if (m.kind == MESSAGE_PROBE)
				membership_receive(&member, now, to, &ack);
		}
		probe.u.probe.sequence = i;
		probe.u.probe.incarnation = 5;
		membership_receive(&member, now, ID(1 + i % (hosts - 1)),
				   &probe);
	}
	membership_finish(&member);
	outbox_finish(&out);
	free(list.hosts);
}

static void repeat_owners(uint32_t hosts, uint32_t times)
{
	membership_options_t options = { .self = ID(0), .incarnation = 1 };
	membership_t member;
	outbox_t out;
	hostlist_t list;
	uint64_t sum = 0;

	fill_list(&list, hosts, false);
	outbox_init(&out, 64);
	membership_init(&member, &options, &out);
	membership_apply_hostlist(&member, 0, &list);
	for (uint32_t i = 0; i < times; i++)
		sum += membership_owner(&member, ID(i));
	printf("%llu\n", (unsigned long long)sum);
	membership_finish(&member);
	outbox_finish(&out);
	free(list.hosts);
}

static void repeat_reserve(uint32_t waiting, uint32_t times)
{
	owner_t owner;
	outbox_t out;

	owner_with(&owner, &out, 1);
	for (uint32_t i = 0; i < waiting + times; i++) {
		reserve(&owner, i, 1);
		empty(&out);
	}
	owner_finish(&owner);
	outbox_finish(&out);
}

static void repeat_pick(uint32_t endpoints, uint32_t times)
{
	char *text = slope_config(endpoints, 20000, 1);
	route_query_t query = { .target = CONFIG_TARGET_MODEL,
				.target_name = "m0",
				.time_left = 60 * PIMENTO_SEC,
				.prompt_tokens = 500,
				.answer_tokens = 230 };
	problems_t problems;
	pimento_config_t config;
	route_choice_t choice;
	route_t route;

	problems_init(&problems);
	pimento_config_parse(&config, text, strlen(text), "c", &problems);
	route_init(&route, 1);
	route_configure(&route, 0, &config);
	for (uint32_t i = 0; i < times; i++)
		route_pick(&route, 1, &query, &choice);
	route_finish(&route);
	pimento_config_finish(&config);
	free(text);
}

static void repeat_config(uint32_t size, uint32_t times)
{
	char *text = slope_config(600, size, 1);

	for (uint32_t i = 0; i < times; i++) {
		pimento_config_t config;
		problems_t problems;

		problems_init(&problems);
		if (!pimento_config_parse(&config, text, strlen(text), "c",
					  &problems))
			pimento_config_finish(&config);
		problems_finish(&problems);
	}
	free(text);
}

static void repeat_delta(uint32_t size, uint32_t times)
{
	char *base = slope_config(600, size, 1);
	char *text = slope_config(600, size, 2);

	for (uint32_t i = 0; i < times; i++) {
		char *delta;
		size_t length;

		if (!delta_create(base, strlen(base), text, strlen(text),
				  &delta, &length))
			free(delta);
	}
	free(base);
	free(text);
}

static void repeat_unkeyed(uint32_t endpoints, uint32_t times)
{
	slope_repeat_request(endpoints, times, false);
}

static void repeat_keyed(uint32_t endpoints, uint32_t times)
{
	slope_repeat_request(endpoints, times, true);
}

int slope_repeat(const char *operation, uint32_t size, uint32_t times)
{
	static const struct {
		const char *name;
		void (*run)(uint32_t size, uint32_t times);
	} operations[] = {
		{ "probe", repeat_probe },     { "owner", repeat_owners },
		{ "reserve", repeat_reserve }, { "pick", repeat_pick },
		{ "config", repeat_config },   { "delta", repeat_delta },
		{ "unkeyed", repeat_unkeyed }, { "keyed", repeat_keyed },
	};

	for (size_t i = 0; i < sizeof(operations) / sizeof(operations[0]);
	     i++) {
		if (strcmp(operations[i].name, operation) != 0)
			continue;
		operations[i].run(size, times);
		return EXIT_SUCCESS;
	}
	return EXIT_FAILURE;
}
