/*
 * Evacuated data centres: real entry hosts, with the records that operators write
 * and take back while hosts are killed, started and cut off from the store.
 */

#include "edge.h"

#include "../src/registry.h"

#include <unistd.h>

enum {
	HOSTS = 3,
	IN_FORCE_MS = 1500, /* below the operators' bound of 5 s */
	REFUSED_MS = 300, /* a refusal that waits for nothing */
	ROUNDS = 30
};

#define EVACUATE_A "op/evacuate/a"
#define EVACUATE_B "op/evacuate/b"

static edge_t edge;

/* Worker 0 is in the hosts' data centre, "a"; worker 1 in "b". */
static void setup(void)
{
	edge_start_engines(&edge, HOSTS, 2);
	edge_list_worker_in(&edge, 1, "b", "ready");
	process_sleep_ms(IN_FORCE_MS);
}

static void teardown(void)
{
	edge_stop(&edge);
}

static long status_at(uint32_t host)
{
	client_reply_t reply = edge_ask(&edge, host, EDGE_ONCE, NULL, "prompt");
	long status = reply.status;

	client_reply_finish(&reply);
	return status;
}

static void check_all_served(void)
{
	for (int i = 0; i < ROUNDS; i++)
		ck_assert_int_eq(status_at((uint32_t)i % HOSTS), 200);
}

/* Requests that reach a worker while all hosts serve. */
static long arrivals_of(uint32_t worker)
{
	long before = edge_worker(&edge, worker, "here");

	check_all_served();
	return edge_worker(&edge, worker, "here") - before;
}

/* Guards against requests that are sent to an evacuated data centre. */
START_TEST(nothing_new_is_sent_there)
{
	edge_put(&edge, EVACUATE_A, "{}");
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0), 0);
	edge_put(&edge, EVACUATE_A, "{}");
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0), 0);
	edge_remove(&edge, EVACUATE_A);
	edge_put(&edge, EVACUATE_B, "{}");
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0), ROUNDS);
}
END_TEST

/* Guards against an evacuation that breaks off what already runs there. */
START_TEST(what_runs_there_ends_undisturbed)
{
	static const char request[] =
		"GET " EDGE_ONCE " HTTP/1.1\r\n"
		"Host: t.example\r\nKey: " EDGE_KEY "\r\n"
		"Request-Id: long\r\nDeadline-Ms: 8000\r\n"
		"Test-Events: 30\r\nTest-Gap-Ms: 60\r\n"
		"\r\n";
	int fds[8];

	for (int i = 0; i < 8; i++) {
		fds[i] = edge_connect(&edge, (uint32_t)i % HOSTS);
		edge_send(fds[i], request);
	}
	process_sleep_ms(300);
	ck_assert_int_gt(edge_worker(&edge, 0, "open"), 0);
	edge_put(&edge, EVACUATE_A, "{}");
	for (int i = 0; i < 8; i++) {
		ck_assert(edge_expect(fds[i], "0\r\n\r\n", 5000));
		close(fds[i]);
	}
}
END_TEST

/*
 * Guards against requests that are held until they time out, or run, while all
 * data centres of their service are evacuated.
 */
START_TEST(all_evacuated_is_refused_at_once)
{
	long before;
	int64_t began;

	edge_put(&edge, EVACUATE_B, "{}");
	edge_put(&edge, EVACUATE_A, "{}");
	process_sleep_ms(IN_FORCE_MS);
	before = edge_worker(&edge, 0, "here") + edge_worker(&edge, 1, "here");
	for (uint32_t host = 0; host < HOSTS; host++) {
		client_reply_t reply;

		began = process_now_ms();
		reply = edge_ask(&edge, host, EDGE_UNSAFE, NULL, "charge");
		ck_assert_int_eq(reply.status, 503);
		ck_assert_str_ne(reply.retry_after, "");
		ck_assert_int_le(process_now_ms() - began, REFUSED_MS);
		client_reply_finish(&reply);
	}
	ck_assert_int_eq(edge_worker(&edge, 0, "here") +
				 edge_worker(&edge, 1, "here"),
			 before);
	edge_remove(&edge, EVACUATE_B);
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0), 0);
}
END_TEST

/* Guards against a host that starts and does not know what is evacuated. */
START_TEST(host_that_starts_knows)
{
	edge_put(&edge, EVACUATE_A, "{}");
	process_sleep_ms(IN_FORCE_MS);
	for (uint32_t host = 0; host < HOSTS; host++) {
		process_kill(&edge.hosts[host].process);
		edge_start_host(&edge, host);
		ck_assert(edge_wait_health(&edge, host, 200, 5000));
	}
	ck_assert_int_eq(arrivals_of(0), 0);
}
END_TEST

/* Guards against an evacuation that is lost with the store's history. */
START_TEST(store_that_forgets_changes_nothing)
{
	edge_put(&edge, EVACUATE_A, "{}");
	edge_forget(&edge);
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0), 0);
	edge_remove(&edge, EVACUATE_A);
	edge_put(&edge, EVACUATE_B, "{}");
	edge_forget(&edge);
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0), ROUNDS);
}
END_TEST

/* Guards against a host that sends there as soon as it is woken up. */
START_TEST(host_that_wakes_up_knows_soon)
{
	process_freeze(&edge.hosts[0].process);
	edge_put(&edge, EVACUATE_A, "{}");
	process_sleep_ms(IN_FORCE_MS);
	process_thaw(&edge.hosts[0].process);
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0), 0);
}
END_TEST

static const struct {
	const char *key;
	const char *value;
	bool spares; /* data centre "a" */
} records[] = {
	{ "op/evacuate/", "{}", false }, { "op/evacuate/nowhere", "{}", false },
	{ EVACUATE_A, "rubbish", true }, { EVACUATE_A, "", true },
	{ "op/unknown/a", "{}", false },
};

/* Guards against a malformed record that stops what others say. */
START_TEST(malformed_records_harm_nothing)
{
	edge_put(&edge, records[_i].key, records[_i].value);
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(arrivals_of(0) == 0, records[_i].spares);
	edge_configure(&edge, 7, "[\"another-key\"]", 1000);
	process_sleep_ms(IN_FORCE_MS);
	ck_assert_int_eq(status_at(0), 401);
}
END_TEST

static registry_endpoint_t *put(registry_t *registry, const char *id,
				const char *datacentre)
{
	const registry_record_t record = { .id = id,
					   .service = "s",
					   .address = "127.0.0.1",
					   .port = 80,
					   .datacentre = datacentre,
					   .slots = 4 };
	registry_endpoint_t *endpoint = registry_put(registry, &record);

	ck_assert_ptr_nonnull(endpoint);
	return endpoint;
}

/* Guards against evacuations that overlap and end each other. */
START_TEST(evacuations_overlap)
{
	const pimento_usec_t now = 100 * PIMENTO_SEC;
	registry_t registry;
	registry_endpoint_t *a;
	registry_endpoint_t *b;

	registry_init(&registry);
	a = put(&registry, "1", "a");
	ck_assert_int_eq(registry_evacuate(&registry, "a", now), 1);
	ck_assert_int_eq(registry_evacuate(&registry, "b", now), 0);
	b = put(&registry, "2", "b");
	ck_assert(!registry_endpoint_accepts_work(a, now));
	ck_assert(!registry_endpoint_accepts_work(b, now));
	ck_assert(registry_endpoint_is_evacuated(a, now));
	ck_assert_int_eq(registry_evacuate(&registry, "a", now), 1);
	ck_assert_int_eq(registry_end_evacuation(&registry, "a", now), 1);
	ck_assert_int_eq(registry_end_evacuation(&registry, "a", now), 0);
	ck_assert(registry_endpoint_accepts_work(a, now));
	ck_assert(!registry_endpoint_accepts_work(b, now));
	ck_assert(!registry_endpoint_is_evacuated(a, now));
	ck_assert_int_eq(registry_evacuate(&registry, "", now), PIMENTO_EINVAL);
	registry_finish(&registry);
}
END_TEST

/* Guards against a rush to a data centre that returns, and against no use of it. */
START_TEST(endpoints_return_in_slow_start)
{
	const pimento_usec_t now = 100 * PIMENTO_SEC;
	registry_t registry;
	registry_endpoint_t *a;

	registry_init(&registry);
	a = put(&registry, "1", "a");
	registry_get_service(&registry, a->service)->cold_start =
		3 * PIMENTO_SEC;
	registry_evacuate(&registry, "a", now);
	registry_end_evacuation(&registry, "a", now);
	ck_assert(registry_endpoint_accepts_work(a, now));
	ck_assert_int_eq(a->starting_until, now + 3 * PIMENTO_SEC);
	registry_finish(&registry);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("evacuation");
	TCase *state = tcase_create("state");
	TCase *hosts = tcase_create("hosts");

	tcase_add_test(state, evacuations_overlap);
	tcase_add_test(state, endpoints_return_in_slow_start);
	suite_add_tcase(suite, state);
	tcase_add_checked_fixture(hosts, setup, teardown);
	tcase_set_timeout(hosts, 60);
	tcase_add_test(hosts, nothing_new_is_sent_there);
	tcase_add_test(hosts, what_runs_there_ends_undisturbed);
	tcase_add_test(hosts, all_evacuated_is_refused_at_once);
	tcase_add_test(hosts, host_that_starts_knows);
	tcase_add_test(hosts, store_that_forgets_changes_nothing);
	tcase_add_test(hosts, host_that_wakes_up_knows_soon);
	tcase_add_loop_test(hosts, malformed_records_harm_nothing, 0,
			    sizeof(records) / sizeof(records[0]));
	suite_add_tcase(suite, hosts);
	return process_run_suite(suite);
}
