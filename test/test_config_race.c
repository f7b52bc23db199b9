/*
 * A configuration that is replaced while a request is on its way from the
 * caller's thread to the control thread. The control thread runs in this
 * process, so that the test decides in which order its commands come.
 */

#include "background.h"
#include "fleet.h"
#include "watch.h"

#include "http.h"
#include "log.h"
#include "sys.h"

#include <check.h>
#include <curl/curl.h>
#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum { WAIT_MS = 5000, TEXT_MAX = 4096 };

static const char host_list[] =
	"{\"revision\":1,\"hosts\":[{\"name\":\"host-0\",\"datacentre\":\"dc0\","
	"\"address\":\"127.0.0.1\",\"port\":%u,\"role\":\"entry\","
	"\"state\":\"live\"}]}";

static const char config_head[] =
	"deployment = \"qurum\"\n"
	"[[tier]]\nname = \"parent\"\nrank = 0\npatience_ms = 20000\n"
	"[[contract]]\nname = \"box\"\naccount = \"*\"\n"
	"target = \"model:planner\"\ntier = \"parent\"\n"
	"repeatable = true\nanswer_tokens = 4\n"
	"[[service]]\nname = \"orders\"\nprefix = \"/orders\"\n"
	"[[contract]]\nname = \"charge\"\naccount = \"*\"\n"
	"target = \"service:orders\"\ntier = \"parent\"\n"
	"repeatable = false\nmethod = \"POST\"\npath = \"/charge\"\n"
	"[[endpoint]]\nname = \"engine-0\"\ndatacentre = \"dc0\"\n"
	"target = \"model:planner\"\naddress = \"127.0.0.1\"\nport = %u\n"
	"concurrency = 8\ncontext_tokens = 4096\n"
	"[[endpoint]]\nname = \"service-0\"\ndatacentre = \"dc0\"\n"
	"target = \"service:orders\"\naddress = \"127.0.0.1\"\nport = %u\n"
	"concurrency = 8\n";

static fleet_t fleet;
static control_t control;
static http_t http;
static settings_t settings;
static pthread_t control_thread;

static void add_account(char text[TEXT_MAX], const char *name, const char *key)
{
	unsigned char hash[32];
	char hex[65];
	size_t length = strlen(text);

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
			   strlen(key), NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	snprintf(text + length, TEXT_MAX - length,
		 "[[account]]\nname = \"%s\"\nkey_hash = \"%s\"\n", name, hex);
}

/* A text to put into force in the control thread. */
typedef struct update {
	bool hosts;
	uint64_t revision;
	char text[TEXT_MAX];
	int error;
} update_t;

static void run_update(control_t *c, void *argument)
{
	update_t *update = argument;
	pimento_usec_t now = sys_now();

	update->error = pimento_host_apply_update(
		c->host, now, update->hosts, update->revision, update->text,
		strlen(update->text));
	pimento_host_confirm_current(c->host, now, now);
}

/* The other account is in each revision, that of FLEET_KEY not always. */
static void write_config(update_t *update, uint64_t revision, bool listed)
{
	update->hosts = false;
	update->revision = revision;
	snprintf(update->text, TEXT_MAX, config_head, fleet.engine[0].port,
		 fleet.service[0].port);
	add_account(update->text, "other", FLEET_OTHER_KEY);
	if (listed)
		add_account(update->text, "shop", FLEET_KEY);
}

static void put_into_force(update_t *update)
{
	control_call(&control, run_update, update);
	ck_assert_int_eq(update->error, 0);
}

static void *run_control(void *data)
{
	(void)data;
	control_run(&control);
	return NULL;
}

static void start(void)
{
	fleet_options_t options = { .hosts = 1, .engines = 1, .services = 1 };
	static update_t update;

	ck_assert_int_eq(fleet_start_standins(&fleet, &options), 0);
	memset(&settings, 0, sizeof(settings));
	strcpy(settings.name, "host-0");
	strcpy(settings.datacentre, "dc0");
	strcpy(settings.address, "127.0.0.1");
	settings.http_port = fleet.http_port[0];
	settings.peer_port = fleet.peer_port[0];
	settings.connections = 64;
	settings.stop_seconds = 10;
	log_init(settings.name, "test", LOG_LEVEL_WARNING);
	ck_assert_int_eq(curl_global_init(CURL_GLOBAL_DEFAULT), 0);
	ck_assert_int_eq(control_init(&control, &settings), 0);
	ck_assert_int_eq(http_init(&http, &control), 0);
	ck_assert_int_eq(
		pthread_create(&control_thread, NULL, run_control, NULL), 0);
	update.hosts = true;
	update.revision = 1;
	snprintf(update.text, TEXT_MAX, host_list, settings.peer_port);
	put_into_force(&update);
	write_config(&update, 1, true);
	put_into_force(&update);
}

static void stop(void)
{
	control_stop(&control);
	pthread_join(control_thread, NULL);
	http_finish(&http);
	control_finish(&control);
	ck_assert_int_eq(fleet_stop(&fleet), 0);
}

static atomic_bool holding;
static atomic_bool hold_ended;

static void run_hold(control_t *c, void *argument)
{
	(void)c;
	(void)argument;
	holding = true;
	while (!hold_ended)
		process_sleep_ms(1);
}

static void *command(void *data)
{
	update_t *update = data;

	control_call(&control, update ? run_update : run_hold, update);
	return NULL;
}

static uint32_t queued_commands(void)
{
	uint32_t count = 0;

	pthread_mutex_lock(&control.lock);
	for (control_command_t *c = control.first; c; c = c->next)
		count++;
	pthread_mutex_unlock(&control.lock);
	return count;
}

static void wait_queued(uint32_t count)
{
	int64_t until = process_now_ms() + WAIT_MS;

	while (queued_commands() < count) {
		ck_assert_int_lt(process_now_ms(), until);
		process_sleep_ms(1);
	}
}

/*
 * Makes a call and puts the update into force right after the call's thread has
 * been given the configuration before it: all commands queued at one time are
 * run before any of their callers goes on.
 */
static void call_during(background_t *caller, const client_call_t *call,
			update_t *update)
{
	pthread_t holder;
	pthread_t updater;

	holding = false;
	hold_ended = false;
	pthread_create(&holder, NULL, command, NULL);
	while (!holding)
		process_sleep_ms(1);
	background_start(caller, call);
	wait_queued(1);
	pthread_create(&updater, NULL, command, update);
	wait_queued(2);
	hold_ended = true;
	pthread_join(holder, NULL);
	pthread_join(updater, NULL);
	ck_assert_int_eq(update->error, 0);
}

static const struct {
	const char *path;
	const char *body;
	bool keyed; /* with an idempotency key */
	bool listed; /* the account is in the next configuration too */
	long status;
} calls[] = {
	{ "/v1/completions",
	  "{\"model\":\"planner\",\"prompt\":\"box\",\"max_tokens\":4}", false,
	  false, 401 },
	{ "/v1/completions",
	  "{\"model\":\"planner\",\"prompt\":\"box\",\"max_tokens\":4}", false,
	  true, 200 },
	{ "/orders/charge", "{\"amount\":1}", true, false, 401 },
	{ "/orders/charge", "{\"amount\":1}", true, true, 200 },
	{ "/v1/keys", "{\"count\":1}", false, false, 401 },
	{ "/v1/keys", "{\"count\":1}", false, true, 200 },
};

/*
 * Guards against serving a request under a configuration that was replaced
 * between the check of its API key and its acceptance.
 */
START_TEST(request_is_judged_by_the_configuration_in_force)
{
	static update_t update;
	background_t caller;
	const client_reply_t *reply;
	char key[FLEET_KEY_MAX];
	client_call_t call = { .method = "POST",
			       .path = calls[_i].path,
			       .body = calls[_i].body };

	start();
	call.port = settings.http_port;
	call.headers[0].name = "Authorization";
	call.headers[0].value = "Bearer " FLEET_KEY;
	if (calls[_i].keyed) {
		ck_assert_int_eq(fleet_issue_key(settings.http_port, key), 0);
		call.headers[1].name = "Idempotency-Key";
		call.headers[1].value = key;
	}
	write_config(&update, 2, calls[_i].listed);
	call_during(&caller, &call, &update);
	reply = background_wait(&caller);
	ck_assert_msg(reply->status == calls[_i].status, "%s: %ld %s",
		      calls[_i].path, reply->status, reply->body);
	if (!calls[_i].listed) {
		ck_assert_str_eq(reply->verdict, "not-run");
		ck_assert_int_eq(watch_started(fleet.engine[0].port), 0);
		ck_assert_int_eq(watch_started(fleet.service[0].port), 0);
	}
	client_reply_finish(&caller.reply);
	stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_race");
	TCase *tc = tcase_create("config_race");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, request_is_judged_by_the_configuration_in_force,
			    0, sizeof(calls) / sizeof(calls[0]));
	suite_add_tcase(suite, tc);
	return process_run_suite(suite);
}
