/*
 * What callers must be able to rely on while processes are killed, frozen and
 * cut off: real daemons, real signals, loopback.
 */

#include "background.h"
#include "fleet.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLS 12

static fleet_t fleet;

static void start(const fleet_options_t *options)
{
	ck_assert_int_eq(fleet_start(&fleet, options), 0);
}

static void stop(void)
{
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}

static void pause_ms(int ms)
{
	usleep((useconds_t)ms * 1000);
}

/* A key issued by a host; the text is static until the next. */
static const char *issue_key(int host)
{
	static char key[300];
	client_call_t call = { .method = "POST",
			       .port = fleet.http_port[host],
			       .path = "/v1/keys",
			       .body = "{}" };
	client_reply_t reply;
	json_t *json;

	call.headers[0].name = "Authorization";
	call.headers[0].value = "Bearer " FLEET_KEY;
	client_call(&reply, &call);
	json = client_json(&reply);
	snprintf(key, sizeof(key), "%s",
		 json_string_value(
			 json_array_get(json_object_get(json, "keys"), 0)));
	json_decref(json);
	client_reply_finish(&reply);
	return key;
}

static client_call_t keyed(int host, const char *path, const char *body,
			   const char *key)
{
	client_call_t call = { .method = "POST",
			       .port = fleet.http_port[host],
			       .path = path,
			       .body = body };

	call.headers[0].name = "Authorization";
	call.headers[0].value = "Bearer " FLEET_KEY;
	if (key) {
		call.headers[1].name = "Idempotency-Key";
		call.headers[1].value = key;
	}
	return call;
}

/* What the engine answers to this body, from its first byte to its last. */
static void check_whole_stream(const client_reply_t *reply, const char *body)
{
	client_call_t direct = { .method = "POST",
				 .port = fleet.engine[0].port,
				 .path = "/v1/completions",
				 .body = body };
	client_reply_t expected;

	client_call(&expected, &direct);
	ck_assert_msg(reply->status == 200, "%ld %s", reply->status,
		      reply->body);
	ck_assert_uint_eq(reply->length, expected.length);
	ck_assert_mem_eq(reply->body, expected.body, expected.length);
	client_reply_finish(&expected);
}

static void check_runs(uint32_t started, uint32_t most)
{
	fleet_runs_t runs;

	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_eq(runs.started, started);
	ck_assert_uint_le(runs.most, most);
}

/* For what may or may not have reached the endpoint. */
static void check_runs_at_most(uint32_t started)
{
	fleet_runs_t runs;

	ck_assert_int_eq(fleet_runs(&fleet, &runs), 0);
	ck_assert_uint_le(runs.started, started);
	ck_assert_uint_le(runs.most, 1);
}

#define STREAM_BODY                                                       \
	"{\"model\":\"planner\",\"prompt\":\"boxes\",\"max_tokens\":300," \
	"\"stream\":true}"

/*
 * An entry host dies in the middle of a streamed answer. The parent's client
 * repeats the request with the same key through another host. The parent must
 * see the whole answer, and the engine must have made it once.
 */
START_TEST(entry_killed_in_mid_stream)
{
	fleet_options_t options = { .hosts = 3, .engines = 1 };
	background_t first;
	client_call_t call;
	client_reply_t again;
	const char *key;

	options.engine[0].decode = 200;
	start(&options);
	key = issue_key(1);
	call = keyed(0, "/v1/completions", STREAM_BODY, key);
	background_start(&first, &call);
	pause_ms(500);
	process_kill(&fleet.host[0]);
	ck_assert(!background_wait(&first)->whole);
	client_reply_finish(&first.reply);
	call = keyed(1, "/v1/completions", STREAM_BODY, key);
	client_call(&again, &call);
	check_runs(1, 1);
	check_whole_stream(&again, STREAM_BODY);
	client_reply_finish(&again);
	stop();
}
END_TEST

/*
 * An entry host dies while its requests still wait for a place. Nothing of
 * them has run, so the callers repeat them elsewhere; a keyed one must run
 * once in all.
 */
START_TEST(entry_killed_while_waiting)
{
	fleet_options_t options = { .hosts = 3, .engines = 1 };
	static const char busy[] = "{\"model\":\"planner\",\"prompt\":\"a\","
				   "\"max_tokens\":600}";
	background_t blocker;
	background_t waiting;
	client_call_t call;
	client_reply_t again;
	const char *key;

	options.engine[0].batch = 1;
	options.engine[0].decode = 200;
	start(&options);
	key = issue_key(1);
	call = keyed(2, "/v1/completions", busy, NULL);
	background_start(&blocker, &call);
	pause_ms(300);
	call = keyed(0, "/v1/completions", STREAM_BODY, key);
	background_start(&waiting, &call);
	pause_ms(300);
	check_runs(1, 1);
	process_kill(&fleet.host[0]);
	background_wait(&waiting);
	client_reply_finish(&waiting.reply);
	call = keyed(1, "/v1/completions", STREAM_BODY, key);
	client_call(&again, &call);
	ck_assert_msg(again.status == 200, "%ld %s", again.status, again.body);
	ck_assert_int_eq(background_wait(&blocker)->status, 200);
	client_reply_finish(&blocker.reply);
	check_runs(2, 1);
	check_whole_stream(&again, STREAM_BODY);
	client_reply_finish(&again);
	stop();
}
END_TEST

/* The host that owns the first engine, by the status page. */
static int find_owner(void)
{
	client_call_t call = { .port = fleet.http_port[0], .path = "/status" };
	client_reply_t reply;
	json_t *json;
	const char *owner;
	int host = -1;

	client_call(&reply, &call);
	json = client_json(&reply);
	owner = json_string_value(json_object_get(
		json_array_get(json_object_get(json, "endpoints"), 0),
		"owner"));
	ck_assert_ptr_nonnull(owner);
	ck_assert_int_eq(sscanf(owner, "host-%d", &host), 1);
	json_decref(json);
	client_reply_finish(&reply);
	return host;
}

/*
 * The owner of an engine dies while requests of other hosts wait in its line.
 * It dispatched nothing itself, so each request finds its place at the next
 * owner; every caller gets a whole answer and sees no more than a delay.
 */
START_TEST(owner_killed_with_requests_waiting)
{
	fleet_options_t options = { .hosts = 3, .engines = 1 };
	static const char body[] = "{\"model\":\"planner\",\"prompt\":\"b\","
				   "\"max_tokens\":40}";
	background_t callers[CALLS];
	int owner;

	options.engine[0].batch = 2;
	options.engine[0].decode = 100;
	start(&options);
	owner = find_owner();
	for (int i = 0; i < CALLS; i++) {
		int host = (owner + 1 + i % 2) % 3;
		client_call_t call = keyed(host, "/v1/completions", body, NULL);

		background_start(&callers[i], &call);
	}
	pause_ms(300);
	process_kill(&fleet.host[owner]);
	for (int i = 0; i < CALLS; i++) {
		const client_reply_t *reply = background_wait(&callers[i]);

		ck_assert_msg(reply->status == 200, "%ld %s", reply->status,
			      reply->body);
		client_reply_finish(&callers[i].reply);
	}
	check_runs(CALLS, 1);
	stop();
}
END_TEST

/*
 * Two of a key's three witnesses die and start anew; they have forgotten. A
 * repeat must not take their ignorance for "never ran": it is refused, or gets
 * the first answer, but the family is charged once.
 */
START_TEST(witnesses_restarted)
{
	fleet_options_t options = { .hosts = 3, .engines = 1, .services = 1 };
	const char *key;
	client_call_t call;
	client_reply_t reply;

	start(&options);
	key = issue_key(0);
	call = keyed(0, "/orders/charge", "{\"amount\":5}", key);
	client_call(&reply, &call);
	ck_assert_int_eq(reply.status, 200);
	client_reply_finish(&reply);
	for (int i = 1; i < 3; i++) {
		process_kill(&fleet.host[i]);
		ck_assert_int_eq(fleet_start_host(&fleet, i), 0);
	}
	for (int i = 0; i < 3; i++) {
		call = keyed(i, "/orders/charge", "{\"amount\":5}", key);
		client_call(&reply, &call);
		ck_assert_msg(reply.status == 200 ||
				      !strcmp(reply.verdict, "may-have-run"),
			      "%ld %s", reply.status, reply.body);
		client_reply_finish(&reply);
	}
	ck_assert_int_eq(fleet_key_runs(&fleet, key), 1);
	stop();
}
END_TEST

/*
 * An entry host is frozen with a request that waits, and wakes long after its
 * caller and its peers gave it up. It must not send the request then: the
 * caller has repeated it elsewhere and it has run.
 */
START_TEST(entry_frozen_past_every_timeout)
{
	fleet_options_t options = { .hosts = 3, .engines = 1 };
	static const char busy[] = "{\"model\":\"planner\",\"prompt\":\"a\","
				   "\"max_tokens\":100}";
	background_t blocker;
	background_t waiting;
	client_call_t call;
	client_reply_t again;
	const char *key;

	options.engine[0].batch = 1;
	options.engine[0].decode = 50;
	start(&options);
	key = issue_key(1);
	call = keyed(2, "/v1/completions", busy, NULL);
	background_start(&blocker, &call);
	pause_ms(300);
	call = keyed(0, "/v1/completions", STREAM_BODY, key);
	call.timeout_s = 4;
	background_start(&waiting, &call);
	pause_ms(300);
	process_freeze(&fleet.host[0]);
	background_wait(&waiting);
	background_wait(&blocker);
	call = keyed(1, "/v1/completions", STREAM_BODY, key);
	client_call(&again, &call);
	ck_assert_msg(again.status == 200, "%s", again.body);
	process_thaw(&fleet.host[0]);
	pause_ms(1500);
	check_runs(2, 1);
	client_reply_finish(&again);
	client_reply_finish(&waiting.reply);
	client_reply_finish(&blocker.reply);
	stop();
}
END_TEST

/*
 * The network cuts the fleet in two and the same charge is sent to both sides.
 * The side without a majority of the key's witnesses must refuse it, and
 * requests without a key must go on being served on both sides.
 */
START_TEST(one_key_on_both_sides_of_a_cut)
{
	fleet_options_t options = {
		.hosts = 5, .engines = 2, .services = 1, .split = 3
	};
	static const char plain[] = "{\"model\":\"planner\",\"prompt\":\"x\","
				    "\"max_tokens\":5}";
	const char *key;
	client_call_t call;
	client_reply_t reply;
	int answered = 0;

	start(&options);
	key = issue_key(0);
	fleet_cut(&fleet);
	pause_ms(200);
	for (int host = 0; host < 5; host += 4) {
		call = keyed(host, "/orders/charge", "{}", key);
		client_call(&reply, &call);
		answered += reply.status == 200;
		if (!strcmp(reply.verdict, "not-run"))
			ck_assert_int_eq(fleet_key_runs(&fleet, key), 0);
		client_reply_finish(&reply);
	}
	ck_assert_int_eq(answered, 1);
	ck_assert_int_eq(fleet_key_runs(&fleet, key), 1);
	pause_ms(4000);
	for (int host = 0; host < 5; host += 4) {
		call = keyed(host, "/v1/completions", plain, NULL);
		client_call(&reply, &call);
		ck_assert_msg(reply.status == 200, "host %d: %s", host,
			      reply.body);
		client_reply_finish(&reply);
	}
	fleet_mend(&fleet);
	pause_ms(3000);
	call = keyed(4, "/orders/charge", "{}", key);
	client_call(&reply, &call);
	client_reply_finish(&reply);
	ck_assert_int_le(fleet_key_runs(&fleet, key), 1);
	stop();
}
END_TEST

static const struct {
	const char *when;
	bool service;
	bool stream;
	long status; /* 0: any */
	const char *verdict;
	uint32_t started; /* at most */
} closes[] = {
	/* An engine is asked for the rest of the stream. */
	{ "during", false, true, 200, "ran", 1 },
	{ "during", false, false, 200, "ran", 1 },
	/* A service cannot be asked what became of the charge. */
	{ "before", true, false, 502, "may-have-run", 1 },
	{ "during", true, false, 502, "may-have-run", 1 },
};

/*
 * The endpoint closes its connection before, in the middle of, or just after
 * the answer. The caller gets the whole answer where the endpoint can resume
 * it, else the truth: it may have run. It is never sent again.
 */
START_TEST(endpoint_closes)
{
	fleet_options_t options = { .hosts = 2, .engines = 1, .services = 1 };
	client_reply_t reply;
	client_call_t call;
	uint16_t port;
	char when[64];

	options.engine[0].decode = 400;
	start(&options);
	port = closes[_i].service ? fleet.service[0].port
				  : fleet.engine[0].port;
	snprintf(when, sizeof(when), "{\"when\":\"%s\",\"count\":1}",
		 closes[_i].when);
	ck_assert_int_eq(fleet_control(port, "/control/close", when), 0);
	call = closes[_i].service
		       ? keyed(0, "/orders/charge", "{}", issue_key(0))
		       : keyed(0, "/v1/completions",
			       closes[_i].stream
				       ? STREAM_BODY
				       : "{\"model\":\"planner\",\"prompt\":"
					 "\"boxes\",\"max_tokens\":300}",
			       NULL);
	client_call(&reply, &call);
	ck_assert_msg(reply.status == closes[_i].status, "%ld %s", reply.status,
		      reply.body);
	ck_assert_str_eq(reply.verdict, closes[_i].verdict);
	check_runs_at_most(closes[_i].started);
	if (closes[_i].stream)
		check_whole_stream(&reply, STREAM_BODY);
	client_reply_finish(&reply);
	stop();
}
END_TEST

/*
 * Many callers ask at once for answers of unlike length, which arrive in an
 * order of their own. Each caller must get the answer to its own question.
 */
START_TEST(each_caller_its_own_answer)
{
	fleet_options_t options = { .hosts = 2, .engines = 2 };
	background_t callers[CALLS];
	char bodies[CALLS][128];

	start(&options);
	for (int i = 0; i < CALLS; i++) {
		client_call_t call;

		snprintf(bodies[i], sizeof(bodies[i]),
			 "{\"model\":\"planner\",\"prompt\":\"question %d\","
			 "\"max_tokens\":%d,\"stream\":true}",
			 i, 100 - 8 * i);
		call = keyed(i % 2, "/v1/completions", bodies[i], NULL);
		background_start(&callers[i], &call);
	}
	for (int i = 0; i < CALLS; i++) {
		check_whole_stream(background_wait(&callers[i]), bodies[i]);
		client_reply_finish(&callers[i].reply);
	}
	stop();
}
END_TEST

/*
 * A port whose accept queue is full: connections to it neither stand nor fail,
 * so that a test can act between the claim and the dispatch.
 */
typedef struct stuck {
	int listener;
	int fillers[4];
	uint16_t port;
} stuck_t;

static void stuck_init(stuck_t *stuck)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	stuck->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(stuck->listener, (struct sockaddr *)&at, size),
			 0);
	ck_assert_int_eq(listen(stuck->listener, 0), 0);
	getsockname(stuck->listener, (struct sockaddr *)&at, &size);
	stuck->port = ntohs(at.sin_port);
	for (int i = 0; i < 4; i++) {
		stuck->fillers[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(stuck->fillers[i], (struct sockaddr *)&at, size);
	}
	pause_ms(100);
}

static void stuck_finish(stuck_t *stuck)
{
	for (int i = 0; i < 4; i++)
		close(stuck->fillers[i]);
	close(stuck->listener);
}

static void start_with_stuck_service(stuck_t *stuck, char *more, size_t size)
{
	fleet_options_t options = { .hosts = 3, .engines = 1 };

	stuck_init(stuck);
	snprintf(more, size,
		 "[[service]]\nname = \"orders\"\nprefix = \"/orders\"\n"
		 "[[contract]]\nname = \"charge\"\naccount = \"*\"\n"
		 "target = \"service:orders\"\ntier = \"charge\"\n"
		 "repeatable = false\n"
		 "[[endpoint]]\nname = \"stuck\"\ndatacentre = \"dc0\"\n"
		 "target = \"service:orders\"\naddress = \"127.0.0.1\"\n"
		 "port = %u\nconcurrency = 4\ncontext_tokens = 0\n",
		 stuck->port);
	options.config_more = more;
	start(&options);
}

/*
 * An entry host has won the claim of a charge and dies before it could send
 * it. Nobody else can know that it had not been sent: a repeat through another
 * host must say "may have run", and must not send it either.
 */
START_TEST(entry_killed_between_claim_and_dispatch)
{
	stuck_t stuck;
	char more[1024];
	const char *key;
	client_call_t call;
	client_reply_t reply;
	background_t first;

	start_with_stuck_service(&stuck, more, sizeof(more));
	key = issue_key(1);
	call = keyed(0, "/orders/charge", "{}", key);
	background_start(&first, &call);
	pause_ms(500);
	process_kill(&fleet.host[0]);
	background_wait(&first);
	client_reply_finish(&first.reply);
	call = keyed(1, "/orders/charge", "{}", key);
	call.headers[2].name = "Pimento-Deadline-Ms";
	call.headers[2].value = "3000";
	client_call(&reply, &call);
	ck_assert_msg(!strcmp(reply.verdict, "may-have-run"), "%s", reply.body);
	client_reply_finish(&reply);
	stop();
	stuck_finish(&stuck);
}
END_TEST

/*
 * The only endpoint of a charge cannot be reached. The caller is told "not
 * run" within a few seconds; from then on that attempt must never run, and
 * the caller is told which attempt can.
 */
START_TEST(not_run_seals_the_attempt)
{
	stuck_t stuck;
	char more[1024];
	const char *key;
	client_call_t call;
	client_reply_t reply;

	start_with_stuck_service(&stuck, more, sizeof(more));
	key = issue_key(0);
	call = keyed(0, "/orders/charge", "{}", key);
	client_call(&reply, &call);
	ck_assert_msg(!strcmp(reply.verdict, "not-run"), "%s", reply.body);
	ck_assert_int_lt(reply.total_us, 9000000);
	client_reply_finish(&reply);
	call.headers[2].name = "Pimento-Attempt";
	call.headers[2].value = "1";
	call.port = fleet.http_port[1];
	client_call(&reply, &call);
	ck_assert_int_eq(reply.status, 409);
	ck_assert_str_eq(reply.verdict, "not-run");
	client_reply_finish(&reply);
	stop();
	stuck_finish(&stuck);
}
END_TEST

static const struct {
	const char *name;
	const char *bytes;
	size_t length;
} frames[] = {
	{ "length of four gigabytes", "\xff\xff\xff\xff", 4 },
	{ "length zero", "\0\0\0\0", 4 },
	{ "rubbish of a proper length", "\0\0\0\4abcd", 8 },
	{ "HTTP", "GET / HTTP/1.1\r\n\r\n", 18 },
	{ "half a frame", "\0\0\1\0xx", 6 },
};

static void send_bytes(uint16_t port, const char *bytes, size_t length)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_port = htons(port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(write(fd, bytes, length), (ssize_t)length);
	pause_ms(100);
	close(fd);
}

/*
 * A stray client, or a peer of another version, sends bytes that are no frame
 * to the peer port. The daemon closes that link and goes on serving.
 */
START_TEST(malformed_frames)
{
	fleet_options_t options = { .hosts = 1, .engines = 1 };
	static const char body[] = "{\"model\":\"planner\",\"prompt\":\"x\","
				   "\"max_tokens\":5}";
	client_call_t call = { .path = "/metrics" };
	client_reply_t reply;

	start(&options);
	for (size_t i = 0; i < sizeof(frames) / sizeof(frames[0]); i++)
		send_bytes(fleet.peer_port[0], frames[i].bytes,
			   frames[i].length);
	call.port = fleet.http_port[0];
	client_call(&reply, &call);
	ck_assert_msg(strstr(reply.body, "pimento_link_malformed_total 4\n") !=
			      NULL,
		      "%s", reply.body);
	client_reply_finish(&reply);
	call = keyed(0, "/v1/completions", body, NULL);
	client_call(&reply, &call);
	ck_assert_int_eq(reply.status, 200);
	client_reply_finish(&reply);
	stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("failure");
	TCase *tc = tcase_create("failure");

	tcase_set_timeout(tc, 90);
	tcase_add_test(tc, entry_killed_in_mid_stream);
	tcase_add_test(tc, entry_killed_while_waiting);
	tcase_add_test(tc, owner_killed_with_requests_waiting);
	tcase_add_test(tc, witnesses_restarted);
	tcase_add_test(tc, entry_frozen_past_every_timeout);
	tcase_add_test(tc, one_key_on_both_sides_of_a_cut);
	tcase_add_loop_test(tc, endpoint_closes, 0,
			    sizeof(closes) / sizeof(closes[0]));
	tcase_add_test(tc, each_caller_its_own_answer);
	tcase_add_test(tc, entry_killed_between_claim_and_dispatch);
	tcase_add_test(tc, not_run_seals_the_attempt);
	tcase_add_test(tc, malformed_frames);
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
