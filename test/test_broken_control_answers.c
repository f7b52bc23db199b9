/*
 * Answers that are broken, as hosts read them of the store and of peers: they
 * bring no configuration, no endpoints, no snapshot and no tunnel.
 */

#include "../standin/scripted.h"
#include "edge.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

enum {
	TEXT_BYTES = 2048,
	READY_MS = 5000,
	PEERS_IP = 0x7f000100 /* 127.0.1.0 */
};

static edge_t edge;
static scripted_t server; /* in the place of the store or of a peer */

static void answer_with(const char *bytes)
{
	const scripted_answer_t answer = { .bytes = bytes };

	scripted_set(&server, &answer, 1);
}

static void teardown(void)
{
	edge_stop(&edge);
	scripted_finish(&server);
}

/* Requests that host 0 sent through its peer. */
static long tunnelled(void)
{
	return edge_metric(&edge, 0, "pimento_attempts_tunnelled_total");
}

/* True once a line of a host's log has both texts. */
static bool has_logged(const process_t *host, const char *event,
		       const char *detail)
{
	FILE *file = fopen(host->out, "r");
	char line[1024];
	bool found = false;

	while (file && fgets(line, sizeof(line), file))
		found |= strstr(line, event) && strstr(line, detail);
	if (file)
		fclose(file);
	return found;
}

static bool wait_logged(const process_t *host, const char *event,
			const char *detail)
{
	int64_t until = process_now_ms() + READY_MS;

	while (!has_logged(host, event, detail)) {
		if (process_now_ms() > until)
			return false;
		process_sleep_ms(20);
	}
	return true;
}

/* What readers of the store and of snapshots see. */
static const struct {
	const char *head; /* up to the length */
	bool sound;
} state_answers[] = {
	{ "HTTP/1.1 200 OK\r\n", true },
	{ "HTTP/1.1 0200 OK\r\n", false },
	{ "HTTP/1.1 200 OK\r\nX Bad: 1\r\n", false },
};

#define STATE_ANSWERS (sizeof(state_answers) / sizeof(state_answers[0]))

static void write_state(char text[TEXT_BYTES], int i, const char *body)
{
	snprintf(text, TEXT_BYTES, "%sContent-Length: %zu\r\n\r\n%s",
		 state_answers[i].head, strlen(body), body);
}

static void setup_store(void)
{
	ck_assert_int_eq(scripted_init(&server, INADDR_LOOPBACK, 0, NULL), 0);
	edge_start(&edge, 1, 1);
}

/* Guards against a configuration or a list of endpoints from a broken answer. */
START_TEST(a_broken_answer_of_the_store_is_not_believed)
{
	process_t *host = &edge.hosts[0].process;
	char text[TEXT_BYTES];

	write_state(text, _i,
		    "{\"store_revision\":9,\"items\":[],\"more_pages\":false}");
	answer_with(text);
	process_kill(host);
	edge.store_front = server.port;
	edge_start_host(&edge, 0);
	if (state_answers[_i].sound)
		ck_assert(wait_logged(host, "event=listed", "revision=9"));
	else
		ck_assert(wait_logged(host, "event=lost", "why=garbled"));
	ck_assert_int_eq(has_logged(host, "event=listed", ""),
			 state_answers[_i].sound);
}
END_TEST

static void setup_two_hosts(void)
{
	edge_start(&edge, 2, 1);
}

/* Guards against a peer's snapshot that is taken from a broken answer. */
START_TEST(a_broken_answer_of_a_peer_is_no_snapshot)
{
	process_t *host = &edge.hosts[1].process;
	char text[TEXT_BYTES];

	ck_assert_int_eq(scripted_init(&server, PEERS_IP + 1,
				       process_free_port(), "/snapshot/"),
			 0);
	write_state(text, _i, "no snapshot");
	answer_with(text);
	process_kill(host);
	edge.peer_fronts[1] = server.port;
	edge.store_front = process_free_port(); /* nothing listens on it */
	edge_start_host(&edge, 1);
	ck_assert(wait_logged(host, "event=fetch",
			      state_answers[_i].sound ? "outcome=complete"
						      : "outcome=garbled"));
	ck_assert_int_eq(has_logged(host, "event=fetch", "outcome=complete"),
			 state_answers[_i].sound);
}
END_TEST

/* Answers of a peer to the request for a tunnel. */
static const struct {
	const char *answer;
	bool sound;
} tunnel_answers[] = {
	{ "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
	  "Upgrade: pimento-tunnel/1\r\n\r\n",
	  true },
	{ "HTTP/1.1 0101 Switching Protocols\r\nConnection: Upgrade\r\n"
	  "Upgrade: pimento-tunnel/1\r\n\r\n",
	  false },
	{ "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
	  "X Bad: 1\r\nUpgrade: pimento-tunnel/1\r\n\r\n",
	  false },
	{ "HTTP/1.1 101 garbled\r\nno field\r\n\r\n", false },
	{ "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", false },
};

#define TUNNEL_ANSWERS (sizeof(tunnel_answers) / sizeof(tunnel_answers[0]))

static void setup_paths(void)
{
	edge_start_paths(&edge, 2, 1);
}

/* Guards against requests that are sent into a tunnel that there is not. */
START_TEST(a_broken_answer_of_a_peer_opens_no_tunnel)
{
	process_t *host = &edge.hosts[0].process;
	client_reply_t reply;

	ck_assert_int_eq(scripted_init(&server, PEERS_IP + 2,
				       process_free_port(), "/tunnel/"),
			 0);
	answer_with(tunnel_answers[_i].answer);
	process_kill(host);
	edge.peer_fronts[0] = server.port;
	edge_start_host(&edge, 0);
	ck_assert(edge_wait_health(&edge, 0, 200, READY_MS));
	edge_cut_path(&edge, 0, 0, EDGE_CUT_RESET);
	reply = edge_ask(&edge, 0, EDGE_UNSAFE, NULL, "x");
	ck_assert_uint_gt(scripted_requests(&server), 0);
	ck_assert_msg((tunnelled() > 0) == tunnel_answers[_i].sound,
		      "%s: got %ld, %ld sent", tunnel_answers[_i].answer,
		      reply.status, tunnelled());
	if (!tunnel_answers[_i].sound)
		ck_assert_int_eq(reply.status, 503);
	client_reply_finish(&reply);
}
END_TEST

static TCase *add_case(Suite *suite, const char *name, SFun setup)
{
	TCase *tcase = tcase_create(name);

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	suite_add_tcase(suite, tcase);
	return tcase;
}

int main(void)
{
	Suite *suite = suite_create("broken control answers");
	TCase *store = add_case(suite, "store", setup_store);
	TCase *peers = add_case(suite, "peers", setup_two_hosts);
	TCase *paths = add_case(suite, "paths", setup_paths);

	tcase_add_loop_test(store, a_broken_answer_of_the_store_is_not_believed,
			    0, STATE_ANSWERS);
	tcase_add_loop_test(peers, a_broken_answer_of_a_peer_is_no_snapshot, 0,
			    STATE_ANSWERS);
	tcase_add_loop_test(paths, a_broken_answer_of_a_peer_opens_no_tunnel, 0,
			    TUNNEL_ANSWERS);
	return process_run_suite(suite);
}
