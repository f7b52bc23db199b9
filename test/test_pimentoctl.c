/*
 * The command as a process: exit statuses, what it sends, and what it makes of
 * a host's answers. The host is a small server in this program.
 */

#include <check.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <ulfius.h>
#include <unistd.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Commands are run by a shell, which puts the server's address in. */
#define HOST "$HOST"
#define NOBODY "127.0.0.1:1"

#define PORT_FIRST 20000
#define PORT_COUNT 12000
#define PORT_TRIES 20

static int on_refuse(const struct _u_request *request,
		     struct _u_response *response, void *verdict)
{
	(void)request;
	u_map_put(response->map_header, "Pimento-Verdict", verdict);
	ulfius_set_string_body_response(response, 503,
					"{\"error\":{\"message\":\"full\"}}");
	return U_CALLBACK_COMPLETE;
}

/* Says what came, so that the test can see what was sent. */
static int on_echo(const struct _u_request *request,
		   struct _u_response *response, void *data)
{
	static const char *const names[] = { "Authorization", "Idempotency-Key",
					     "Pimento-Contract",
					     "Pimento-Deadline-Ms" };
	char body[2048];
	int used = snprintf(body, sizeof(body), "%s", request->http_verb);

	(void)data;
	for (size_t i = 0; i < COUNT(names); i++) {
		const char *value =
			u_map_get_case(request->map_header, names[i]);

		used += snprintf(body + used, sizeof(body) - (size_t)used,
				 " %s", value ? value : "-");
	}
	snprintf(body + used, sizeof(body) - (size_t)used, " %.*s",
		 (int)request->binary_body_length,
		 request->binary_body_length ? (char *)request->binary_body
					     : "");
	u_map_put(response->map_header, "Pimento-Verdict", "ran");
	u_map_put(response->map_header, "Pimento-Request-Id", "00ff");
	ulfius_set_string_body_response(response, 200, body);
	return U_CALLBACK_COMPLETE;
}

/* Leaves the end mark out if the prompt says so. */
static int on_stream(const struct _u_request *request,
		     struct _u_response *response, void *data)
{
	const char *body = request->binary_body;
	bool cut = memmem(body, request->binary_body_length, "cut", 3);
	char answer[256];

	(void)data;
	snprintf(answer, sizeof(answer),
		 "data: {\"choices\":[{\"text\":\"one \"}]}\n\n"
		 "data: {\"choices\":[{\"text\":\"two\"}]}\n\n%s",
		 cut ? "" : "data: [DONE]\n\n");
	u_map_put(response->map_header, "Pimento-Verdict", "ran");
	ulfius_set_string_body_response(response, 200, answer);
	return U_CALLBACK_COMPLETE;
}

static int on_text(const struct _u_request *request,
		   struct _u_response *response, void *text)
{
	(void)request;
	ulfius_set_string_body_response(response, 200, text);
	return U_CALLBACK_COMPLETE;
}

static struct _u_instance server;

static void add(const char *method, const char *path,
		int (*callback)(const struct _u_request *, struct _u_response *,
				void *),
		const char *data)
{
	ck_assert_int_eq(ulfius_add_endpoint_by_val(&server, method, path, NULL,
						    0, callback, (void *)data),
			 U_OK);
}

static void add_all(void)
{
	add("POST", "/v1/completions", on_stream, NULL);
	add("POST", "/not-run", on_refuse, "not-run");
	add("POST", "/may-have-run", on_refuse, "may-have-run");
	add("*", "/echo", on_echo, NULL);
	add("POST", "/v1/keys", on_text, "{\"keys\":[\"issued-1\"]}");
	add("GET", "/status", on_text,
	    "{\"name\":\"h1\",\"state\":\"serving\"}");
	add("GET", "/burn", on_text,
	    "{\"now_s\":9,\"tiers\":[{\"tier\":\"charge\",\"rank\":0,"
	    "\"objective\":0.999,\"windows\":[{\"seconds\":86400,"
	    "\"good\":99,\"total\":100}],\"series\":[]}]}");
}

/* Several runs of this program share a machine, so a port may be taken. */
static void start(void)
{
	char host[32];
	int port = PORT_FIRST + getpid() % PORT_COUNT;

	for (int i = 0; i < PORT_TRIES; i++, port++) {
		ck_assert_int_eq(ulfius_init_instance(&server, (unsigned)port,
						      NULL, NULL),
				 U_OK);
		add_all();
		if (ulfius_start_framework(&server) == U_OK) {
			snprintf(host, sizeof(host), "127.0.0.1:%d", port);
			setenv("HOST", host, 1);
			return;
		}
		ulfius_clean_instance(&server);
	}
	ck_abort_msg("no free port");
}

static void stop(void)
{
	ulfius_stop_framework(&server);
	ulfius_clean_instance(&server);
}

static const struct {
	const char *arguments;
	int status;
	const char *output; /* of both standard output and error */
} runs[] = {
	{ "--version", 0, "pimentoctl 0." },
	{ "--help", 0, "Exit status:" },
	{ "", 2, "usage:" },
	{ "nothing", 2, "\"nothing\" is no command" },
	{ "send --help", 0, "usage: pimentoctl send" },
	{ "check --help", 0, "Exit status:" },
	{ "check", 2, "--help" },
	{ "check examples/qurum.answers.toml", 0, "answers: no mistake" },
	{ "check --kind settings examples/qurum.answers.toml", 2,
	  "tier: unknown key" },
	{ "check --kind rubbish x", 2, "is no kind" },
	{ "check no-such-file", 2, "No such file" },
	{ "generate --template", 0, "# Questionnaire" },
	{ "generate --template x", 2, "--help" },
	{ "generate examples/druckstube.answers.toml", 0, "digest = \"" },
	{ "diff examples/qurum.answers.toml examples/qurum.answers.toml", 0,
	  "Nothing changes." },
	{ "diff examples/qurum.answers.toml examples/druckstube.answers.toml",
	  0, "This is another deployment" },
	{ "hash-key < /dev/null", 2, "a key has 1 to" },
	{ "status " HOST, 0, "h1 " },
	{ "status " HOST " " NOBODY, 1, NOBODY ": cannot be reached" },
	{ "status " NOBODY, 3, "cannot be reached" },
	{ "status host:1", 2, "is not ADDRESS:PORT" },
	{ "burn " HOST, 0, "charge                 99.90 %" },
	{ "burn --html /no/such/place " HOST, 1, "No such file" },
	{ "burn " NOBODY, 3, "cannot be reached" },
	{ "send -e " HOST " --path /echo", 2, "no API key" },
	{ "send -e " HOST " --model m", 2, "--help" },
	{ "send -e " HOST " --model m --prompt x --path /y", 2, "--help" },
};

/*
 * Exit statuses are what scripts go by: a wrong one makes a job at night
 * believe that a refused charge went through.
 */
static int run(const char *prefix, const char *arguments, char *output,
	       size_t size)
{
	const char *build = getenv("B");
	char command[1024];
	FILE *process;
	size_t used;
	int status;

	snprintf(command, sizeof(command), "%s %s/pimentoctl %s 2>&1", prefix,
		 build ? build : "build", arguments);
	process = popen(command, "r");
	ck_assert_ptr_nonnull(process);
	used = fread(output, 1, size - 1, process);
	output[used] = '\0';
	while (fgetc(process) != EOF)
		;
	status = pclose(process);
	ck_assert(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static void expect(const char *prefix, const char *arguments, int status,
		   const char *wanted)
{
	char output[16384];
	int got;

	start();
	got = run(prefix, arguments, output, sizeof(output));
	stop();
	ck_assert_msg(got == status, "%s: %d, not %d:\n%s", arguments, got,
		      status, output);
	ck_assert_msg(strstr(output, wanted) != NULL, "no \"%s\" in:\n%s",
		      wanted, output);
}

START_TEST(statuses)
{
	expect("env -u PIMENTO_KEY", runs[_i].arguments, runs[_i].status,
	       runs[_i].output);
}
END_TEST

#define SEND(path) "send -e " HOST " --path " path " "

static const struct {
	const char *arguments;
	int status;
	const char *output;
} sends[] = {
	{ SEND("/echo") "-c charge -d 500 -i k1 --data x", 0,
	  "POST Bearer demo-key k1 charge 500 x" },
	{ SEND("/echo") "-X GET", 0, "GET Bearer demo-key - - -" },
	{ SEND("/echo") "--issue-key", 0, "POST Bearer demo-key issued-1 - -" },
	{ SEND("/echo") "-I -i k", 2, "--help" },
	{ SEND("/echo"), 0, "request: 00ff\nverdict: ran\n" },
	{ SEND("/not-run"), 1, "reason: full\nverdict: not-run\n" },
	{ SEND("/not-run") "-e " NOBODY, 1,
	  "entry: " NOBODY "\nreason: cannot be reached\nverdict: not-run\n" },
	{ SEND("/may-have-run"), 1, "verdict: may-have-run\n" },
	{ "send -e " NOBODY " -e " HOST " --path /echo", 0, "verdict: ran\n" },
	{ "send -e " NOBODY " --path /echo", 3, "verdict: not-run\n" },
	{ "send -e " HOST " -m m -p hello --stream", 0, "one two" },
	{ "send -e " HOST " -m m -p cut --stream", 1,
	  "reason: the answer is not whole\nverdict: may-have-run" },
	{ "send -e " HOST " -d 0 --path /echo", 2, "no whole number" },
};

START_TEST(requests)
{
	expect("PIMENTO_KEY=demo-key", sends[_i].arguments, sends[_i].status,
	       sends[_i].output);
}
END_TEST

/*
 * The first entry host lets the request out and then fails. A command that
 * went on to the next host would charge a family twice.
 */
START_TEST(doubtful_request_is_not_sent_on)
{
	char output[4096];

	start();
	ck_assert_int_eq(run("PIMENTO_KEY=k", SEND("/may-have-run") "-e " HOST,
			     output, sizeof(output)),
			 1);
	stop();
	ck_assert_ptr_null(strstr(strstr(output, "entry:") + 1, "entry:"));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("pimentoctl");
	TCase *tc = tcase_create("pimentoctl");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 30);
	tcase_add_loop_test(tc, statuses, 0, COUNT(runs));
	tcase_add_loop_test(tc, requests, 0, COUNT(sends));
	tcase_add_test(tc, doubtful_request_is_not_sent_on);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
