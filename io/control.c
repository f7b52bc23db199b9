/*
 * One loop: run commands, handle what the links received, let the host's time
 * pass, carry out the actions that came of it. As nothing else touches the
 * host, its code needs no locks.
 */

#include "control.h"
#include "log.h"
#include "sys.h"
#include "traffic.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL_MAX 1100
#define POLL_LONGEST_MSEC 200
#define LINKS_PERIOD (200 * PIMENTO_MSEC)
/*
 * Between the turn of the health answer and the refusal of new requests: the
 * balancer goes on sending until it has asked again.
 */
#define DRAIN_DELAY PIMENTO_SEC
/*
 * A daemon that ended at once would be missed by its peers only after seconds
 * of silence, and requests in its lines would wait for that long. Some rounds
 * of probes take the word around, and callers who come late hear "not run"
 * instead of a connection that breaks.
 */
#define TELL_DELAY PIMENTO_SEC
/* Before the end: for what has not been dispatched, to become "not run". */
#define REFUSE_MARGIN PIMENTO_SEC

static void on_message(link_handler_t *handler, pimento_id_t from,
		       const message_t *message)
{
	control_t *control = (control_t *)handler;

	if (pimento_host_receive(control->host, sys_now(), from, message))
		log_line(LOG_LEVEL_DEBUG, "control", "ignored a %s message",
			 message_kind_name(message->kind));
}

static void on_hello(link_handler_t *handler, message_t *message)
{
	control_t *control = (control_t *)handler;

	pimento_host_fill_probe(control->host, message);
}

static int init_host(control_t *control)
{
	const settings_t *settings = control->settings;
	pimento_host_options_t options = { .name = settings->name };

	control->host = calloc(1, pimento_host_size());
	if (!control->host)
		return PIMENTO_ENOMEM;
	control->incarnation = sys_random();
	options.incarnation = control->incarnation;
	options.seed = sys_random();
	options.wall_msec = sys_wall_msec();
	options.requests_max = settings->connections;
	memcpy(options.secret, settings->secret, sizeof(options.secret));
	return pimento_host_init(control->host, &options, sys_now());
}

static int init_links(control_t *control)
{
	const settings_t *settings = control->settings;
	int error = link_init(&control->links, pimento_id(settings->name),
			      &control->handler, settings->address,
			      settings->peer_port);

	for (uint32_t i = 0; !error && i < settings->seed_count; i++) {
		const settings_seed_t *seed = &settings->seeds[i];

		/* All hosts may be given the same list, this one in it. */
		if (seed->port == settings->peer_port &&
		    !strcmp(seed->address, settings->address))
			continue;
		error = link_seed(&control->links, seed->address, seed->port);
	}
	return error;
}

static int init_wake(control_t *control)
{
	if (pipe(control->wake) < 0)
		return PIMENTO_EIO;
	for (int i = 0; i < 2; i++) {
		fcntl(control->wake[i], F_SETFL, O_NONBLOCK);
		fcntl(control->wake[i], F_SETFD, FD_CLOEXEC);
	}
	return PIMENTO_OK;
}

int control_init(control_t *control, const settings_t *settings)
{
	int error;

	memset(control, 0, sizeof(*control));
	control->handler.message = on_message;
	control->handler.hello = on_hello;
	control->settings = settings;
	control->last = &control->first;
	control->wake[0] = control->wake[1] = -1;
	pthread_mutex_init(&control->lock, NULL);
	pthread_cond_init(&control->done, NULL);
	control->calls_max = settings->connections;
	control->calls = calloc(control->calls_max, sizeof(call_t *));
	if (!control->calls)
		return PIMENTO_ENOMEM;
	error = burn_init(&control->burn);
	if (!error)
		error = init_wake(control);
	if (!error)
		error = init_host(control);
	if (!error)
		error = init_links(control);
	return error;
}

void control_finish(control_t *control)
{
	for (uint32_t i = 0; control->calls && i < control->calls_max; i++)
		call_drop(control->calls[i]);
	free(control->calls);
	link_finish(&control->links);
	burn_finish(&control->burn);
	if (control->host)
		pimento_host_finish(control->host);
	free(control->host);
	for (int i = 0; i < 2; i++) {
		if (control->wake[i] >= 0)
			close(control->wake[i]);
	}
	pthread_cond_destroy(&control->done);
	pthread_mutex_destroy(&control->lock);
}

static void wake_up(control_t *control)
{
	/* A full pipe wakes the loop as well as one more byte would. */
	if (write(control->wake[1], "", 1) < 0)
		return;
}

void control_call(control_t *control,
		  void (*run)(control_t *control, void *argument),
		  void *argument)
{
	control_command_t command = { .run = run, .argument = argument };

	pthread_mutex_lock(&control->lock);
	if (control->closed) {
		pthread_mutex_unlock(&control->lock);
		return;
	}
	*control->last = &command;
	control->last = &command.next;
	wake_up(control);
	while (!command.done)
		pthread_cond_wait(&control->done, &control->lock);
	pthread_mutex_unlock(&control->lock);
}

static control_command_t *take_commands(control_t *control)
{
	control_command_t *first;

	pthread_mutex_lock(&control->lock);
	first = control->first;
	control->first = NULL;
	control->last = &control->first;
	pthread_mutex_unlock(&control->lock);
	return first;
}

static void run_commands(control_t *control)
{
	control_command_t *command = take_commands(control);

	if (!command)
		return;
	for (control_command_t *c = command; c; c = c->next)
		c->run(control, c->argument);
	pthread_mutex_lock(&control->lock);
	while (command) {
		/* The waiter's stack holds the command: read next first. */
		control_command_t *next = command->next;

		command->done = true;
		command = next;
	}
	pthread_cond_broadcast(&control->done);
	pthread_mutex_unlock(&control->lock);
}

static call_t *find_call(control_t *control, pimento_handle_t handle)
{
	uint32_t index = (uint32_t)handle;
	call_t *call =
		index < control->calls_max ? control->calls[index] : NULL;

	return call && call->handle == handle ? call : NULL;
}

static void forget_call(control_t *control, call_t *call)
{
	uint32_t index = (uint32_t)call->handle;

	if (control->calls[index] != call)
		return;
	control->calls[index] = NULL;
	call_drop(call);
}

typedef struct submit {
	call_t *call;
	const pimento_request_t *request;
	int error;
} submit_t;

static void run_submit(control_t *control, void *argument)
{
	submit_t *submit = argument;
	call_t *call = submit->call;
	uint32_t index;

	submit->error =
		pimento_host_submit(control->host, sys_now(), submit->request,
				    &call->handle, &call->id);
	if (submit->error)
		return;
	index = (uint32_t)call->handle;
	call_drop(control->calls[index]);
	control->calls[index] = call_hold(call);
}

int control_submit(control_t *control, call_t *call,
		   const pimento_request_t *request)
{
	submit_t submit = { call, request, PIMENTO_ELEAVING };

	control_call(control, run_submit, &submit);
	return submit.error;
}

typedef struct commit {
	pimento_handle_t handle;
	int error;
} commit_t;

static void run_commit(control_t *control, void *argument)
{
	commit_t *commit = argument;

	commit->error =
		pimento_host_commit(control->host, sys_now(), commit->handle);
}

int control_commit(control_t *control, call_t *call)
{
	commit_t commit = { call->handle, PIMENTO_ELEAVING };

	control_call(control, run_commit, &commit);
	return commit.error;
}

/* Good is a whole answer while the caller still cares. */
static void count_answer(control_t *control, const call_t *call, bool whole)
{
	pimento_usec_t now = sys_now();
	bool in_time = now - call->began <= call->patience;

	burn_add(&control->burn, call->tier, whole && in_time, now);
}

typedef struct event {
	call_t *call;
	const pimento_event_t *event;
} event_t;

static void run_event(control_t *control, void *argument)
{
	event_t *event = argument;
	call_t *call = event->call;

	pimento_host_event(control->host, sys_now(), call->handle,
			   event->event);
	if (event->event->kind == PIMENTO_EVENT_DONE)
		count_answer(control, call, true);
}

void control_event(control_t *control, call_t *call,
		   const pimento_event_t *event)
{
	event_t argument = { call, event };

	control_call(control, run_event, &argument);
}

static void run_config(control_t *control, void *argument)
{
	pimento_config_t **config = argument;

	*config = pimento_config_ref(pimento_host_config(control->host));
}

pimento_config_t *control_config(control_t *control)
{
	pimento_config_t *config = NULL;

	control_call(control, run_config, &config);
	return config;
}

static void act_hosts(control_t *control)
{
	const hostlist_t *list = pimento_host_hostlist(control->host);

	for (uint32_t i = 0; i < list->count; i++) {
		const hostlist_host_t *host = &list->hosts[i];

		if (!host->is_endpoint)
			link_peer(&control->links, host->id, host->address,
				  host->port);
	}
	log_line(LOG_LEVEL_INFO, "member", "host list %llu in force, %u hosts",
		 (unsigned long long)list->revision, list->count);
}

static void act_config(control_t *control)
{
	const pimento_config_t *config = pimento_host_config(control->host);

	log_line(LOG_LEVEL_INFO, "config",
		 "revision %llu in force, %u endpoints",
		 (unsigned long long)config->revision, config->endpoint_count);
}

/* One log line for each mistake; the last accepted text stays in force. */
static void act_refused_text(control_t *control)
{
	uint64_t revision;
	const char *line = pimento_host_update_errors(control->host, &revision);

	log_line(LOG_LEVEL_WARNING, "config",
		 "revision %llu refused, the last one stays in force",
		 (unsigned long long)revision);
	while (line && *line) {
		size_t length = strcspn(line, "\n");

		log_line(LOG_LEVEL_WARNING, "config", "%.*s", (int)length,
			 line);
		line += length + (line[length] == '\n');
	}
}

static void cancel_call(call_t *call)
{
	pthread_mutex_lock(&call->lock);
	call->cancelled = true;
	pthread_cond_broadcast(&call->changed);
	pthread_mutex_unlock(&call->lock);
}

static void act_exchange(control_t *control, const pimento_action_t *action)
{
	call_t *call = find_call(control, action->request);
	const config_endpoint_t *endpoint = pimento_config_find_endpoint(
		pimento_host_config(control->host), action->endpoint);
	pimento_event_t event = { .kind = PIMENTO_EVENT_UNREACHABLE };

	if (!call)
		return;
	if (action->kind == PIMENTO_ACTION_CANCEL)
		cancel_call(call);
	if (endpoint && !traffic_start(control, call, action, endpoint->address,
				       endpoint->port))
		return;
	pimento_host_event(control->host, sys_now(), action->request, &event);
}

static void act_end(control_t *control, const pimento_action_t *action)
{
	call_t *call = find_call(control, action->request);

	if (call)
		forget_call(control, call);
}

static void act_refuse(control_t *control, const pimento_action_t *action)
{
	call_t *call = find_call(control, action->request);

	if (!call)
		return;
	log_line(LOG_LEVEL_DEBUG, "entry", "refused a request: %s, %s",
		 pimento_strerror(action->error),
		 pimento_verdict_name(action->verdict));
	if (burn_counts_as_bad(action->error))
		count_answer(control, call, false);
	call_refuse(call, action);
	forget_call(control, call);
}

static void act_replay(control_t *control, const pimento_action_t *action)
{
	call_t *call = find_call(control, action->request);

	if (call) {
		call_begin(call, action->status, "application/json");
		call_write(call, action->answer, action->answer_size);
		call_end(call);
		count_answer(control, call, true);
		forget_call(control, call);
	}
	free(action->answer);
}

static void act(control_t *control, const pimento_action_t *action)
{
	switch (action->kind) {
	case PIMENTO_ACTION_SEND:
		link_send(&control->links, sys_now(), action->peer,
			  action->message);
		return;
	case PIMENTO_ACTION_DISPATCH:
	case PIMENTO_ACTION_RESUME:
	case PIMENTO_ACTION_CANCEL:
		act_exchange(control, action);
		return;
	case PIMENTO_ACTION_REPLAY:
		act_replay(control, action);
		return;
	case PIMENTO_ACTION_END:
		act_end(control, action);
		return;
	case PIMENTO_ACTION_REFUSE:
		act_refuse(control, action);
		return;
	case PIMENTO_ACTION_CONFIG_CHANGED:
		act_config(control);
		return;
	case PIMENTO_ACTION_HOSTS_CHANGED:
		act_hosts(control);
		return;
	case PIMENTO_ACTION_UPDATE_REJECTED:
		act_refused_text(control);
		return;
	case PIMENTO_ACTION_NONE:
	default:
		return;
	}
}

static void act_all(control_t *control)
{
	pimento_action_t action;

	while (pimento_host_next_action(control->host, &action))
		act(control, &action);
}

static int poll_timeout(const control_t *control, pimento_usec_t now)
{
	pimento_usec_t due = pimento_host_deadline(control->host);
	pimento_usec_t span = due > now ? due - now : 0;

	if (span > POLL_LONGEST_MSEC * PIMENTO_MSEC)
		return POLL_LONGEST_MSEC;
	return (int)((span + PIMENTO_MSEC - 1) / PIMENTO_MSEC);
}

static void wait_for_work(control_t *control)
{
	struct pollfd fds[POLL_MAX];
	uint32_t count;
	char drained[64];

	fds[0].fd = control->wake[0];
	fds[0].events = POLLIN;
	count = link_poll(&control->links, fds + 1, POLL_MAX - 1);
	for (uint32_t i = 0; i <= count; i++)
		fds[i].revents = 0;
	if (poll(fds, count + 1, poll_timeout(control, sys_now())) <= 0)
		return;
	while (read(control->wake[0], drained, sizeof(drained)) > 0)
		continue;
	link_ready(&control->links, sys_now(), fds + 1, count);
}

void control_stop(control_t *control)
{
	int saved = errno;

	control->leaving = true;
	wake_up(control);
	errno = saved;
}

/* Requests that the end of the process would cut. */
static uint32_t unfinished(const control_t *control)
{
	uint32_t busy = pimento_host_active_requests(control->host);

	return busy > control->answering ? busy : control->answering;
}

/* Returns true when the graceful stop is complete or its limit is reached. */
static bool stopping(control_t *control, pimento_usec_t now)
{
	if (!control->leaving)
		return false;
	if (!control->leave_at) {
		control->leave_at = now + DRAIN_DELAY;
		control->stop_at =
			now + control->settings->stop_seconds * PIMENTO_SEC;
		log_line(LOG_LEVEL_INFO, "control",
			 "leaving, %u requests in progress",
			 pimento_host_active_requests(control->host));
	}
	if (now < control->leave_at)
		return false;
	if (!control->end_at) {
		control->end_at = now + TELL_DELAY;
		pimento_host_leave(control->host, now);
	}
	if (now >= control->stop_at - REFUSE_MARGIN)
		pimento_host_refuse_waiting(control->host, now);
	if (now >= control->stop_at)
		return true;
	return now >= control->end_at && !unfinished(control) &&
	       !traffic_running();
}

static void close_commands(control_t *control)
{
	pthread_mutex_lock(&control->lock);
	control->closed = true;
	pthread_mutex_unlock(&control->lock);
	run_commands(control);
}

/*
 * After the limit nobody is left who could end a call. Its caller's thread
 * would wait for ever and the process never end, so that a replacement of the
 * host hangs until somebody kills it. What is left was dispatched and may still
 * run, or a key's witnesses have not answered.
 */
static void cut_calls(control_t *control)
{
	const pimento_action_t action = {
		.verdict = PIMENTO_MAY_HAVE_RUN,
		.error = PIMENTO_ELEAVING,
	};

	for (uint32_t i = 0; i < control->calls_max; i++) {
		call_t *call = control->calls[i];

		if (!call)
			continue;
		cancel_call(call);
		call_refuse(call, &action);
		forget_call(control, call);
	}
}

uint32_t control_run(control_t *control)
{
	uint32_t left;

	for (;;) {
		pimento_usec_t now;

		wait_for_work(control);
		run_commands(control);
		now = sys_now();
		pimento_host_tick(control->host, now);
		act_all(control);
		if (now >= control->next_links) {
			control->next_links = now + LINKS_PERIOD;
			link_tick(&control->links, now);
		}
		if (stopping(control, now))
			break;
	}
	act_all(control);
	left = unfinished(control);
	close_commands(control);
	cut_calls(control);
	control->stopped = true;
	return left;
}
