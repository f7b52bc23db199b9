/*
 * Slow start: what a whole fleet sends to an endpoint whose process has just
 * been started, in virtual time and with real programs.
 */

#include "edge.h"
#include "slots.h"
#include "slow_start.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE "engines"
#define NOW (100 * PIMENTO_SEC)

enum {
	SELF = 1,
	SLOTS = 8,
	ENDPOINTS = 10,
	HOSTS_MAX = 300,
	PLAY_MS = 4000,
	ANSWER_MS = 10,
	ASK_EVERY_MS = 2,
	ASKS = PLAY_MS / ASK_EVERY_MS,
	QUEUE_MS = 150,
	EVENTS_MAX = PLAY_MS
};

static const int fleets[] = { 30, 100, 300 };

static registry_t registry;
static registry_endpoint_t *endpoints[ENDPOINTS];
static registry_service_t *service;

/* Endpoint 0 is starting. */
static void setup(void)
{
	registry_init(&registry);
	for (int i = 0; i < ENDPOINTS; i++) {
		char id[16];
		registry_record_t record = { .id = id,
					     .service = SERVICE,
					     .address = "127.0.0.1",
					     .port = (uint16_t)(8000 + i),
					     .datacentre = "a",
					     .slots = SLOTS };

		snprintf(id, sizeof(id), "e%d", i);
		endpoints[i] = registry_put(&registry, &record);
		ck_assert_ptr_nonnull(endpoints[i]);
	}
	endpoints[0]->starting_until = NOW + 20 * PIMENTO_SEC;
	service = registry_get_service(&registry, pimento_id(SERVICE));
	ck_assert_ptr_nonnull(service);
}

static void teardown(void)
{
	registry_finish(&registry);
}

static void start_all(pimento_usec_t until)
{
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i]->starting_until = until;
}

/* Hosts that ask the owner of endpoint 0 for its slots. */
typedef struct play {
	peers_t peers;
	slots_t slots;
	uint64_t ticket;
	pimento_usec_t begun[EVENTS_MAX];
	uint32_t count;
} play_t;

static void release_answered(play_t *play, pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_SLOT_RELEASE };
	const grants_t *grants = &play->slots.grants;

	for (uint32_t i = 0; grants->count && i < grants->endpoints[0].count;) {
		const grants_entry_t *entry = &grants->endpoints[0].entries[i];

		if (!entry->granted ||
		    now - entry->since < ANSWER_MS * PIMENTO_MSEC) {
			i++;
			continue;
		}
		packet.as.slot_release = (packet_slot_release_t){
			.endpoint = entry->request.endpoint,
			.address = entry->request.address,
			.ticket = entry->request.ticket,
			.outcome = LATENCY_OUTCOME_ANSWERED,
		};
		slots_take(&play->slots, &packet, now);
		i = 0;
	}
}

static void ask(play_t *play, int host, pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_SLOT_REQUEST };

	packet.as.slot_request = (grants_request_t){
		.endpoint = (uint32_t)endpoints[0]->key,
		.address = 100 + (uint32_t)host,
		.ticket = ++play->ticket,
		.queue_timeout = QUEUE_MS * PIMENTO_MSEC,
	};
	slots_take(&play->slots, &packet, now);
}

static void play_fleet(play_t *play, int hosts)
{
	memset(play, 0, sizeof(*play));
	endpoints[0]->start_tokens_at = 0;
	ck_assert_int_eq(peers_init(&play->peers, SELF, 99), 0);
	slots_init(&play->slots, &registry, &play->peers, SELF);
	for (int ms = 0; ms < PLAY_MS; ms++) {
		pimento_usec_t now = NOW + ms * PIMENTO_MSEC;
		uint64_t before = play->slots.granted;

		release_answered(play, now);
		if (ms % ASK_EVERY_MS == 0)
			ask(play, ms % hosts, now);
		while (before++ < play->slots.granted &&
		       play->count < EVENTS_MAX)
			play->begun[play->count++] = now;
	}
	slots_finish(&play->slots);
	peers_finish(&play->peers);
}

/* The most requests that began within one second. */
static uint32_t most_in_a_second(const play_t *play)
{
	uint32_t most = 0;

	for (uint32_t first = 0, last = 0; last < play->count; last++) {
		while (play->begun[last] - play->begun[first] >= PIMENTO_SEC)
			first++;
		if (last - first + 1 > most)
			most = last - first + 1;
	}
	return most;
}

/*
 * Guards against a fleet that together floods an endpoint that has just been
 * started, as short answers free its slots at once.
 */
START_TEST(fleet_spares_starting_endpoint)
{
	static play_t play;
	static const pimento_usec_t slot_times[] = { 0, 400 * PIMENTO_MSEC };
	uint32_t limit = placement_in_flight_limit(service, endpoints[0]);

	for (size_t i = 0; i < 2; i++) {
		uint32_t full_load = limit; /* requests in a second */
		uint32_t most;

		if (slot_times[i]) {
			for (int n = 0; n < 200; n++)
				latency_add_slot_time(&service->latency,
						      slot_times[i]);
			full_load =
				(uint32_t)(limit * PIMENTO_SEC / slot_times[i]);
		}
		play_fleet(&play, fleets[_i]);
		most = most_in_a_second(&play);
		ck_assert_uint_gt(most, 0);
		ck_assert_msg(most <= limit + full_load,
			      "%d hosts: %u requests in one second at an "
			      "endpoint that is starting, %u allowed",
			      fleets[_i], most, limit + full_load);
	}
}
END_TEST

/* Guards against a limit that serves nobody, as no other endpoint is better. */
START_TEST(slow_start_needs_an_alternative)
{
	static play_t play;
	uint32_t limited;

	play_fleet(&play, fleets[0]);
	limited = play.count;
	start_all(NOW + 20 * PIMENTO_SEC);
	play_fleet(&play, fleets[0]);
	ck_assert_uint_gt(play.count, 5 * limited);
	ck_assert_uint_eq(play.count, ASKS);
}
END_TEST

/* One request of a host that has not heard of any other. */
static placement_request_t lone_request(uint64_t draw)
{
	return (placement_request_t){ .service = pimento_id(SERVICE),
				      .prompt_tokens = 500,
				      .time_left = 10 * PIMENTO_SEC,
				      .engine_stream = true,
				      .datacentre = "a",
				      .random_bits = draw * 977 + 1,
				      .unowned = true };
}

/*
 * Guards against hosts that have just started, each of which knows no other and
 * would send a request of its own to the endpoint that has just been started.
 */
START_TEST(started_hosts_use_other_endpoints)
{
	uint32_t chosen = 0;

	for (int host = 0; host < fleets[_i]; host++) {
		for (uint64_t i = 0; i < 3; i++) {
			placement_request_t request =
				lone_request((uint64_t)host * 3 + i);
			registry_endpoint_t *endpoint = NULL;

			ck_assert_int_eq(placement_choose(&registry, &request,
							  NOW, &endpoint),
					 PLACEMENT_FOUND);
			chosen += endpoint == endpoints[0];
		}
	}
	ck_assert_msg(chosen == 0,
		      "%u of %d requests of %d hosts that have just started "
		      "went to an endpoint that is starting",
		      chosen, 3 * fleets[_i], fleets[_i]);
}
END_TEST

/* Guards against a wait for a slot while an endpoint in slow start has one. */
START_TEST(starting_endpoint_is_used_when_others_are_full)
{
	placement_request_t request = lone_request(1);
	registry_endpoint_t *endpoint = NULL;

	for (int i = 1; i < ENDPOINTS; i++)
		endpoints[i]->running = 2 * SLOTS;
	for (int owned = 0; owned < 2; owned++) {
		request.unowned = !owned;
		ck_assert_int_eq(
			placement_choose(&registry, &request, NOW, &endpoint),
			PLACEMENT_FOUND);
		ck_assert_ptr_eq(endpoint, endpoints[0]);
	}
}
END_TEST

/*
 * Guards against requests that line up at an endpoint in slow start whose owner
 * has no slot for them, while others would have one.
 */
START_TEST(refused_requests_go_elsewhere)
{
	pimento_id_t tried[ENDPOINTS];
	placement_request_t request = lone_request(1);
	registry_endpoint_t *endpoint = NULL;

	request.unowned = false;
	request.may_queue = true;
	for (int i = 1; i < ENDPOINTS; i++)
		endpoints[i]->running = SLOTS;
	ck_assert_int_eq(placement_choose(&registry, &request, NOW, &endpoint),
			 PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[0]);
	slow_start_refused(endpoints[0], NOW);
	ck_assert_int_eq(placement_choose(&registry, &request, NOW, &endpoint),
			 PLACEMENT_FOUND);
	ck_assert_ptr_ne(endpoint, endpoints[0]);
	request.tried = tried;
	request.tried_count = ENDPOINTS - 1;
	for (int i = 1; i < ENDPOINTS; i++)
		tried[i - 1] = endpoints[i]->key;
	ck_assert_int_eq(placement_choose(&registry, &request, NOW, &endpoint),
			 PLACEMENT_FOUND);
	ck_assert_ptr_eq(endpoint, endpoints[0]);
}
END_TEST

/*
 * Guards against a rate that the first short answer after a host's start sets
 * far too high.
 */
START_TEST(one_short_answer_does_not_set_the_rate)
{
	static play_t play;

	latency_add_slot_time(&service->latency, 10 * PIMENTO_MSEC);
	play_fleet(&play, fleets[0]);
	ck_assert_uint_le(most_in_a_second(&play), 3 * SLOTS);
}
END_TEST

/* Guards against a slow start that never ends. */
START_TEST(endpoint_is_used_fully_after_its_start)
{
	static play_t play;

	endpoints[0]->starting_until = NOW;
	play_fleet(&play, fleets[0]);
	ck_assert_uint_eq(play.count, ASKS);
}
END_TEST

/* A service that states what a starting endpoint bears. */
enum { COLD_PER_SECOND = 16, COLD_SLACK = 5 };

#define COLD_OVERRUN 1.5
#define COLD_BOUND (COLD_PER_SECOND * COLD_OVERRUN + COLD_SLACK)

static void state_rate(void)
{
	service->cold_per_second = COLD_PER_SECOND;
	registry.start_bounds.overrun = COLD_OVERRUN;
	registry.start_bounds.slack = COLD_SLACK;
}

static const struct {
	pimento_usec_t owned_since;
	double live_share;
	bool all_starting;
	double least; /* requests a second on average */
} owners[] = {
	{ 1, 1, false, 0.9 * COLD_PER_SECOND },
	{ 1, 1, true, 0.9 * COLD_PER_SECOND },
	{ 1, 0.5, false, 0.4 * COLD_PER_SECOND },
	{ NOW, 1, false, 0.3 * COLD_PER_SECOND },
	{ 0, 1, true, 0.3 * COLD_PER_SECOND }, /* no owner by its own view */
};

#define OWNERS (sizeof(owners) / sizeof(owners[0]))

static void play_owner(play_t *play, size_t index)
{
	state_rate();
	start_all(0);
	if (owners[index].all_starting)
		start_all(NOW + 20 * PIMENTO_SEC);
	endpoints[0]->starting_until = NOW + 20 * PIMENTO_SEC;
	endpoints[0]->owned_since = owners[index].owned_since;
	registry.start_bounds.live_share = owners[index].live_share;
	play_fleet(play, 82);
}

/*
 * Guards against a rate that depends on how long answers take, and against one
 * that is far below what is allowed.
 */
START_TEST(stated_rate_holds)
{
	static play_t play;

	play_owner(&play, (size_t)_i);
	ck_assert_uint_le(most_in_a_second(&play), COLD_BOUND);
	ck_assert(play.count >= owners[_i].least * PLAY_MS / 1000);
}
END_TEST

static int compare_times(const void *a, const void *b)
{
	const pimento_usec_t *x = a;
	const pimento_usec_t *y = b;

	return *x < *y ? -1 : *x > *y;
}

static const size_t pairs[][2] = { { 0, 3 }, { 1, 4 }, { 2, 2 }, { 3, 4 } };

/* Guards against two hosts that both take themselves for the owner. */
START_TEST(stated_rate_holds_for_two_owners)
{
	static play_t first;
	static play_t second;

	play_owner(&first, pairs[_i][0]);
	play_owner(&second, pairs[_i][1]);
	for (uint32_t i = 0; i < second.count && first.count < EVENTS_MAX; i++)
		first.begun[first.count++] = second.begun[i];
	qsort(first.begun, first.count, sizeof(first.begun[0]), compare_times);
	ck_assert_uint_le(most_in_a_second(&first), COLD_BOUND);
}
END_TEST

static const struct {
	bool unowned;
	bool alone;
	bool all_starting;
	placement_result_t result;
} unguarded[] = {
	{ true, false, true, PLACEMENT_FULL },
	{ true, false, false, PLACEMENT_FULL },
	{ false, false, true, PLACEMENT_FOUND },
	{ true, true, true, PLACEMENT_FOUND },
};

/*
 * Guards against hosts without an owner that each send their requests to the
 * same starting endpoints, as all others are starting or full.
 */
START_TEST(no_request_begins_without_the_owner)
{
	placement_request_t request = lone_request(1);
	registry_endpoint_t *endpoint = NULL;

	state_rate();
	start_all(unguarded[_i].all_starting ? NOW + PIMENTO_SEC : 0);
	endpoints[0]->starting_until = NOW + PIMENTO_SEC;
	for (int i = 1; i < ENDPOINTS; i++)
		endpoints[i]->running = 2 * SLOTS;
	request.unowned = unguarded[_i].unowned;
	request.alone = unguarded[_i].alone;
	ck_assert_int_eq(placement_choose(&registry, &request, NOW, &endpoint),
			 unguarded[_i].result);
	endpoints[0]->latency.ejected_until = NOW + PIMENTO_SEC;
	if (unguarded[_i].unowned && !unguarded[_i].alone)
		ck_assert_int_eq(
			placement_choose(&registry, &request, NOW, &endpoint),
			PLACEMENT_FULL);
}
END_TEST

/*
 * Guards against hosts that flood an endpoint whose record states that it has
 * just been started.
 */
START_TEST(hosts_spare_endpoint_whose_record_says_so)
{
	enum { CALLS = 60 };
	edge_t edge;
	char record[256];
	long before;

	edge_start_engines(&edge, 2, 3);
	snprintf(record, sizeof(record),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"a\",\"slots\":%d,\"state\":\"ready\",\"born\":2,"
		 "\"cold_left_ms\":60000}",
		 edge.workers[0].port, SLOTS);
	edge_put(&edge, "servers/w0", record);
	process_sleep_ms(500);
	before = edge_worker(&edge, 0, "here");
	for (int i = 0; i < CALLS; i++) {
		client_reply_t reply = edge_ask_key(&edge, (uint32_t)i % 2,
						    EDGE_STREAM, EDGE_KEY);

		ck_assert_int_eq(reply.status, 200);
		client_reply_finish(&reply);
	}
	ck_assert_int_le(edge_worker(&edge, 0, "here") - before, SLOTS);
	edge_stop(&edge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("slow_start");
	TCase *virtual = tcase_create("virtual");
	TCase *real = tcase_create("real");
	int sizes = sizeof(fleets) / sizeof(fleets[0]);

	tcase_add_checked_fixture(virtual, setup, teardown);
	tcase_add_loop_test(virtual, fleet_spares_starting_endpoint, 0, sizes);
	tcase_add_test(virtual, slow_start_needs_an_alternative);
	tcase_add_loop_test(virtual, started_hosts_use_other_endpoints, 0,
			    sizes);
	tcase_add_test(virtual, starting_endpoint_is_used_when_others_are_full);
	tcase_add_test(virtual, refused_requests_go_elsewhere);
	tcase_add_test(virtual, one_short_answer_does_not_set_the_rate);
	tcase_add_test(virtual, endpoint_is_used_fully_after_its_start);
	tcase_add_loop_test(virtual, stated_rate_holds, 0, OWNERS);
	tcase_add_loop_test(virtual, stated_rate_holds_for_two_owners, 0,
			    sizeof(pairs) / sizeof(pairs[0]));
	tcase_add_loop_test(virtual, no_request_begins_without_the_owner, 0,
			    sizeof(unguarded) / sizeof(unguarded[0]));
	suite_add_tcase(suite, virtual);
	tcase_set_timeout(real, 60);
	tcase_add_test(real, hosts_spare_endpoint_whose_record_says_so);
	suite_add_tcase(suite, real);
	return process_run_suite(suite);
}
