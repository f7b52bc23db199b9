/*
 * Endpoints that state a limit of requests a second in their answers: what hosts
 * know of it, what their owner grants in virtual time, and what all hosts
 * together send with real programs.
 */

#include "edge.h"
#include "slots.h"
#include "statements.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum {
	WORKERS = 3,
	CALLERS = 4, /* of each host */
	HOSTS_MAX = 4,
	PAUSE_MS = 15, /* of a caller between two requests */
	WARM_MS = 1000,
	STABLE_MS = 3000, /* from the first answer that states it */
	WATCH_MS = 8000,
	WINDOW_MS = 4000,
	SAMPLE_MS = 20,
	SAMPLES_MAX = WATCH_MS / SAMPLE_MS + 50
};

/* What a window may hold beyond the limit. */
#define EXCESS 1.5
#define SLACK 5

typedef struct scenario {
	uint32_t hosts;
	bool engines;
	bool only_rejections; /* state the limit */
	uint32_t rejected; /* of 100, by endpoints with a limit */
	double limits[WORKERS]; /* 0: none */
	bool kill; /* a host, meanwhile */
	bool needed; /* callers ask for more than all limits together */
} scenario_t;

static const scenario_t scenarios[] = {
	{ .hosts = 3, .limits = { 4 } },
	{ .hosts = 4, .engines = true, .limits = { 3.7, 4.3 }, .kill = true },
	{ .hosts = 2,
	  .limits = { 0.4, 5 },
	  .rejected = 50,
	  .only_rejections = true },
	{ .hosts = 3, .limits = { 4, 5, 6 }, .needed = true },
};

/* How often the worker had been sent a request. */
typedef struct sample {
	int64_t at_ms;
	long arrivals[WORKERS];
} sample_t;

static edge_t edge;
static sample_t samples[SAMPLES_MAX];
static uint32_t sample_count;
static atomic_bool stopping;
static atomic_uint turned_away;
static atomic_uint served;
static const scenario_t *scenario;

static void *run_caller(void *data)
{
	uint32_t host = (uint32_t)(uintptr_t)data;
	const char *path = scenario->engines ? EDGE_STREAM : EDGE_SAFE;

	while (!stopping) {
		client_reply_t reply = edge_ask(&edge, host, path, NULL, "x");

		if (reply.status == 200)
			served++;
		else if (reply.status == 503)
			turned_away++;
		client_reply_finish(&reply);
		process_sleep_ms(PAUSE_MS);
	}
	return NULL;
}

static void take_sample(void)
{
	sample_t *sample = &samples[sample_count++];

	for (uint32_t i = 0; i < WORKERS; i++)
		sample->arrivals[i] = edge_worker(&edge, i, "here");
	sample->at_ms = process_now_ms();
}

static void watch(void)
{
	int64_t began = process_now_ms();
	bool killed = false;

	while (process_now_ms() < began + WATCH_MS &&
	       sample_count < SAMPLES_MAX) {
		take_sample();
		if (scenario->kill && !killed &&
		    process_now_ms() > began + WATCH_MS / 2) {
			process_kill(&edge.hosts[0].process);
			killed = true;
		}
		process_sleep_ms(SAMPLE_MS);
	}
}

/* The most that arrived in any window between two samples. */
static long most_in_window(uint32_t worker)
{
	long most = 0;
	uint32_t from = 0;

	for (uint32_t to = 0; to < sample_count; to++) {
		while (samples[to].at_ms - samples[from].at_ms > WINDOW_MS)
			from++;
		if (samples[to].arrivals[worker] -
			    samples[from].arrivals[worker] >
		    most)
			most = samples[to].arrivals[worker] -
			       samples[from].arrivals[worker];
	}
	return most;
}

/* What arrived in the last window: owners grant the whole rate by then. */
static long last_window(uint32_t worker)
{
	const sample_t *last = &samples[sample_count - 1];
	uint32_t from = sample_count - 1;

	while (from && last->at_ms - samples[from - 1].at_ms <= WINDOW_MS)
		from--;
	return last->arrivals[worker] - samples[from].arrivals[worker];
}

static void check_limits(void)
{
	const double seconds = WINDOW_MS / 1000.0;

	for (uint32_t i = 0; i < WORKERS; i++) {
		double limit = scenario->limits[i];
		double allowed = EXCESS * limit * seconds + SLACK;
		long most = most_in_window(i);

		fprintf(stderr, "limit %g: %ld in %g s\n", limit, most,
			seconds);
		if (limit > 0)
			ck_assert_msg((double)most <= allowed,
				      "worker %u: %ld, %.1f allowed", i, most,
				      allowed);
		if (scenario->needed)
			ck_assert_msg((double)last_window(i) >=
					      0.9 * limit * seconds - 1,
				      "worker %u: %ld", i, last_window(i));
	}
}

/* Guards against hosts that together send more than an endpoint has stated. */
START_TEST(hosts_keep_to_a_stated_limit)
{
	pthread_t callers[HOSTS_MAX * CALLERS];
	uint32_t count = 0;

	scenario = &scenarios[_i];
	sample_count = 0;
	if (scenario->engines)
		edge_start_engines(&edge, scenario->hosts, WORKERS);
	else
		edge_start(&edge, scenario->hosts, WORKERS);
	for (; count < scenario->hosts * CALLERS; count++)
		ck_assert_int_eq(
			pthread_create(
				&callers[count], NULL, run_caller,
				(void *)(uintptr_t)(count % scenario->hosts)),
			0);
	process_sleep_ms(WARM_MS);
	for (uint32_t i = 0; i < WORKERS; i++)
		edge_set_worker(&edge, i, scenario->limits[i],
				scenario->limits[i] > 0 ? scenario->rejected
							: 0,
				scenario->only_rejections);
	process_sleep_ms(STABLE_MS);
	watch();
	stopping = true;
	for (uint32_t i = 0; i < count; i++)
		pthread_join(callers[i], NULL);
	fprintf(stderr, "%u served, %u turned away\n", served, turned_away);
	edge_stop(&edge);
	check_limits();
	ck_assert_uint_gt(served, 100);
}
END_TEST

enum {
	SELF = 1,
	OTHER = 2,
	SLOTS = 8,
	ASK_EVERY_MS = 10,
	ASKED_MS = 30000,
	SETTLED_MS = 5000, /* a new owner grants less until then */
	QUEUE_MS = 150,
	GRANTS_MAX = 4000
};

#define SERVICE "engines"
#define NOW (100 * PIMENTO_SEC)

/* A host without traffic, and the endpoint that it knows. */
typedef struct node {
	registry_t registry;
	registry_endpoint_t *endpoint;
	registry_endpoint_t *other;
	peers_t peers;
	slots_t slots;
} node_t;

static registry_endpoint_t *add_endpoint(registry_t *registry, const char *id)
{
	const registry_record_t record = { .id = id,
					   .service = SERVICE,
					   .address = "127.0.0.1",
					   .port = 8000,
					   .datacentre = "a",
					   .slots = SLOTS };
	registry_endpoint_t *endpoint = registry_put(registry, &record);

	ck_assert_ptr_nonnull(endpoint);
	return endpoint;
}

static void init_node(node_t *node, uint32_t address)
{
	memset(node, 0, sizeof(*node));
	registry_init(&node->registry);
	node->endpoint = add_endpoint(&node->registry, "limited");
	node->other = add_endpoint(&node->registry, "free");
	ck_assert_ptr_nonnull(
		registry_get_service(&node->registry, pimento_id(SERVICE)));
	ck_assert_int_eq(peers_init(&node->peers, address, 99), 0);
	slots_init(&node->slots, &node->registry, &node->peers, address);
}

static void finish_node(node_t *node)
{
	slots_finish(&node->slots);
	peers_finish(&node->peers);
	registry_finish(&node->registry);
}

static uint32_t rate_of(const node_t *node)
{
	return node->endpoint->rate_limit.stated.rate;
}

/* An answer with a limit, or without, to a request sent so long before. */
typedef struct answer {
	int at_ms;
	int took_ms;
	uint32_t rate;
	enum rate_limit_source source;
	uint32_t known; /* afterwards */
} answer_t;

#define ANSWERS_MAX 4

static const answer_t histories[][ANSWERS_MAX] = {
	/* stated, changed, ended */
	{ { 0, 10, 4000, RATE_LIMIT_IN_ANSWERS, 4000 },
	  { 100, 10, 3000, RATE_LIMIT_IN_ANSWERS, 3000 },
	  { 200, 10, 0, RATE_LIMIT_IN_ANSWERS, 0 } },
	/* an answer that was under way when the limit was stated */
	{ { 0, 10, 4000, RATE_LIMIT_IN_ANSWERS, 4000 },
	  { 100, 200, 0, RATE_LIMIT_IN_ANSWERS, 4000 },
	  { 300, 200, 0, RATE_LIMIT_IN_ANSWERS, 0 } },
	/* stated in rejections alone */
	{ { 0, 10, 4000, RATE_LIMIT_IN_REJECTIONS, 4000 },
	  { 100, 10, 0, RATE_LIMIT_IN_ANSWERS, 4000 },
	  { 200, 10, 0, RATE_LIMIT_IN_REJECTIONS, 0 } },
	/* in both, ended by either */
	{ { 0, 10, 4000, RATE_LIMIT_IN_REJECTIONS, 4000 },
	  { 100, 10, 4000, RATE_LIMIT_IN_ANSWERS, 4000 },
	  { 200, 10, 0, RATE_LIMIT_IN_ANSWERS, 0 } },
};

/* Guards against a limit that outlasts its statement, or is lifted too soon. */
START_TEST(newest_answer_tells_the_limit)
{
	rate_limit_t limit = { 0 };

	for (int i = 0; i < ANSWERS_MAX && histories[_i][i].took_ms; i++) {
		const answer_t *a = &histories[_i][i];
		pimento_usec_t at = NOW + a->at_ms * PIMENTO_MSEC;

		rate_limit_learn(&limit, a->rate, a->source,
				 at - a->took_ms * PIMENTO_MSEC, at);
		ck_assert_uint_eq(limit.stated.rate, a->known);
		ck_assert_int_eq(rate_limit_applies(&limit, at), a->known != 0);
	}
}
END_TEST

/* Guards against a limit that nobody can end, as there are no rejections. */
START_TEST(limit_in_rejections_lapses_without_them)
{
	rate_limit_t limit = { 0 };

	rate_limit_learn(&limit, 4000, RATE_LIMIT_IN_REJECTIONS, NOW - 1, NOW);
	ck_assert(rate_limit_applies(&limit, NOW + 10 * PIMENTO_SEC));
	ck_assert(!rate_limit_applies(&limit, NOW + 21 * PIMENTO_SEC));
	rate_limit_learn(&limit, 4000, RATE_LIMIT_IN_ANSWERS, NOW,
			 NOW + 30 * PIMENTO_SEC);
	ck_assert(rate_limit_applies(&limit, NOW + 60 * PIMENTO_SEC));
}
END_TEST

static void pass_gossip(node_t *from, node_t *to, pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_GOSSIP };
	uint8_t bytes[PACKET_BYTES_MAX];
	int length;

	packet.as.gossip.address = from->slots.self;
	statements_report(&from->slots, &packet.as.gossip, now);
	length = packet_pack(&packet, bytes, sizeof(bytes));
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(packet_unpack(&packet, bytes, (size_t)length), 0);
	statements_receive(&to->slots, &packet.as.gossip, now);
}

/* Guards against hosts that have just started and know of no limit. */
START_TEST(hosts_learn_limits_from_each_other)
{
	const pimento_usec_t later = NOW + PIMENTO_SEC;
	static node_t a, b;

	init_node(&a, SELF);
	init_node(&b, OTHER);
	statements_learn_rate_limit(&a.slots, a.endpoint, 400,
				    RATE_LIMIT_IN_ANSWERS, NOW - 1, NOW);
	pass_gossip(&a, &b, NOW + 100 * PIMENTO_MSEC);
	ck_assert_uint_eq(rate_of(&b), 400);
	ck_assert_uint_eq(b.other->rate_limit.stated.rate, 0);
	/* the end spreads too, and what is older does not undo it */
	statements_learn_rate_limit(&b.slots, b.endpoint, 0,
				    RATE_LIMIT_IN_ANSWERS, later - 1, later);
	pass_gossip(&a, &b, later + PIMENTO_MSEC);
	ck_assert_uint_eq(rate_of(&b), 0);
	pass_gossip(&b, &a, later + PIMENTO_MSEC);
	ck_assert_uint_eq(rate_of(&a), 0);
	finish_node(&a);
	finish_node(&b);
}
END_TEST

/* Guards against a limit that a new process of the endpoint never stated. */
START_TEST(new_process_has_no_limit)
{
	registry_record_t record = { .id = "limited",
				     .service = SERVICE,
				     .address = "127.0.0.1",
				     .port = 8000,
				     .datacentre = "a",
				     .slots = SLOTS,
				     .started_at_ms = 5 };
	static node_t a;

	init_node(&a, SELF);
	statements_learn_rate_limit(&a.slots, a.endpoint, 400,
				    RATE_LIMIT_IN_ANSWERS, NOW - 1, NOW);
	ck_assert_ptr_eq(registry_put(&a.registry, &record), a.endpoint);
	ck_assert_uint_eq(rate_of(&a), 0);
	finish_node(&a);
}
END_TEST

static pimento_usec_t granted_at[GRANTS_MAX];
static uint32_t grant_count;
static uint64_t ask_ticket;

static void ask_owner(node_t *owner, uint32_t host, pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_SLOT_REQUEST };

	packet.as.slot_request = (grants_request_t){
		.endpoint = (uint32_t)owner->endpoint->key,
		.address = 100 + host,
		.ticket = ++ask_ticket,
		.queue_timeout = QUEUE_MS * PIMENTO_MSEC,
	};
	slots_take(&owner->slots, &packet, now);
}

/* Answers are over at once, so that slots do not bound the rate. */
static void release_all(node_t *owner, pimento_usec_t now)
{
	const grants_t *grants = &owner->slots.grants;
	packet_t packet = { .kind = PACKET_SLOT_RELEASE };

	for (uint32_t i = 0; grants->count && i < grants->endpoints[0].count;) {
		const grants_entry_t *entry = &grants->endpoints[0].entries[i];

		if (!entry->granted) {
			i++;
			continue;
		}
		packet.as.slot_release = (packet_slot_release_t){
			.endpoint = entry->request.endpoint,
			.address = entry->request.address,
			.ticket = entry->request.ticket,
			.outcome = LATENCY_OUTCOME_ANSWERED,
		};
		slots_take(&owner->slots, &packet, now);
		i = 0;
	}
}

static const struct {
	uint32_t hosts;
	double per_second;
} fleets[] = { { 6, 3.7 },  { 40, 3.7 }, { 82, 3.7 }, { 82, 0.4 },
	       { 6, 0.05 }, { 82, 40 },	 { 6, 90 } };

static void ask_for_a_while(node_t *owner, uint32_t hosts)
{
	for (int ms = 0; ms < ASKED_MS; ms += ASK_EVERY_MS) {
		pimento_usec_t now = NOW + ms * PIMENTO_MSEC;
		uint64_t before = owner->slots.granted;

		if (ms % 50 == 0)
			slots_tick(&owner->slots, now);
		ask_owner(owner, (uint32_t)(ms / ASK_EVERY_MS) % hosts, now);
		release_all(owner, now);
		while (before++ < owner->slots.granted &&
		       grant_count < GRANTS_MAX)
			granted_at[grant_count++] = now;
	}
}

static double most_granted_in_window(void)
{
	uint32_t most = 0;

	for (uint32_t first = 0, last = 0; last < grant_count; last++) {
		while (granted_at[last] - granted_at[first] >=
		       WINDOW_MS * PIMENTO_MSEC)
			first++;
		if (last - first + 1 > most)
			most = last - first + 1;
	}
	return most;
}

/* Guards against an owner that grants more than the limit, or far less. */
START_TEST(owner_grants_the_stated_rate)
{
	const double seconds = (ASKED_MS - SETTLED_MS) / 1000.0;
	double limit = fleets[_i].per_second;
	uint32_t settled = 0;
	static node_t owner;

	init_node(&owner, SELF);
	statements_learn_rate_limit(&owner.slots, owner.endpoint,
				    (uint32_t)(limit * RATE_LIMIT_UNIT),
				    RATE_LIMIT_IN_ANSWERS, NOW - 1, NOW);
	ask_for_a_while(&owner, fleets[_i].hosts);
	for (uint32_t i = 0; i < grant_count; i++)
		settled += granted_at[i] >= NOW + SETTLED_MS * PIMENTO_MSEC;
	ck_assert_double_le(most_granted_in_window(),
			    EXCESS * limit * WINDOW_MS / 1000 + SLACK);
	ck_assert_msg(settled >= 0.9 * limit * seconds - 1,
		      "%u granted in %.0f s at %g a second", settled, seconds,
		      limit);
	finish_node(&owner);
}
END_TEST

static placement_request_t request_of(bool unowned)
{
	return (placement_request_t){ .service = pimento_id(SERVICE),
				      .prompt_tokens = 500,
				      .time_left = 10 * PIMENTO_SEC,
				      .engine_stream = true,
				      .datacentre = "a",
				      .random_bits = 977,
				      .unowned = unowned };
}

/* Guards against hosts that go by their own view where only an owner may grant. */
START_TEST(limited_endpoint_is_not_used_without_its_owner)
{
	placement_request_t request = request_of(true);
	registry_endpoint_t *chosen = NULL;
	static node_t host;

	init_node(&host, SELF);
	statements_learn_rate_limit(&host.slots, host.endpoint, 4000,
				    RATE_LIMIT_IN_ANSWERS, NOW - 1, NOW);
	ck_assert_int_eq(
		placement_choose(&host.registry, &request, NOW, &chosen),
		PLACEMENT_FOUND);
	ck_assert_ptr_eq(chosen, host.other);
	host.other->running = 2 * SLOTS;
	ck_assert_int_eq(
		placement_choose(&host.registry, &request, NOW, &chosen),
		PLACEMENT_FULL);
	request.unowned = false;
	ck_assert_int_eq(
		placement_choose(&host.registry, &request, NOW, &chosen),
		PLACEMENT_FOUND);
	ck_assert_ptr_eq(chosen, host.endpoint);
	finish_node(&host);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rate_limit");
	TCase *tests = tcase_create("all");

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, hosts_keep_to_a_stated_limit, 0,
			    sizeof(scenarios) / sizeof(scenarios[0]));
	tcase_add_loop_test(tests, newest_answer_tells_the_limit, 0,
			    sizeof(histories) / sizeof(histories[0]));
	tcase_add_test(tests, limit_in_rejections_lapses_without_them);
	tcase_add_test(tests, hosts_learn_limits_from_each_other);
	tcase_add_test(tests, new_process_has_no_limit);
	tcase_add_loop_test(tests, owner_grants_the_stated_rate, 0,
			    sizeof(fleets) / sizeof(fleets[0]));
	tcase_add_test(tests, limited_endpoint_is_not_used_without_its_owner);
	suite_add_tcase(suite, tests);
	return process_run_suite(suite);
}
