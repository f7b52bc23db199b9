/*
 * Discrete-event simulation of hosts: a heap holds the future messages,
 * connections, ends of exchanges and disconnecting callers, by due time. Events
 * of a paused host are delayed until it continues; those of a crashed host are
 * dropped.
 */

#include "netsim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINK_DELAY PIMENTO_MSEC
#define RUN_TIME_MIN (20 * PIMENTO_MSEC)
#define RUN_TIME_SPREAD (800 * PIMENTO_MSEC)
#define CLIENT_TIMEOUT (4 * PIMENTO_SEC)
#define RECOVERY_SPAN (40 * PIMENTO_SEC)
#define START_TIME (2 * PIMENTO_SEC)
#define REQUEST_PERIOD (30 * PIMENTO_MSEC)
#define VIOLATION_TEXT_MAX 200
#define KEY_ROTATION_PERIOD (150 * PIMENTO_MSEC)
#define ACTIVE_KEYS 12

typedef enum netsim_event_kind {
	NETSIM_EVENT_MESSAGE = 1,
	NETSIM_EVENT_CONNECT, /* connecting to an endpoint succeeds or fails */
	NETSIM_EVENT_END, /* an exchange with an endpoint ends */
	NETSIM_EVENT_CALLER_LEAVE /* a caller disconnects */
} netsim_event_kind_t;

typedef struct netsim_event {
	netsim_event_kind_t kind;
	pimento_usec_t due;
	uint32_t host;
	/* incarnation of the host; an event of an earlier one is dropped */
	uint64_t incarnation;
	pimento_id_t from;
	message_t *message;
	pimento_action_t action;
	pimento_event_kind_t outcome;
	pimento_handle_t handle;
} netsim_event_t;

/* A request as the simulation observed it, independent of the hosts' state. */
typedef struct tracked_request {
	pimento_reqid_t id;
	uint32_t host;
	uint64_t incarnation;
	int key; /* index into keys; -1: none */
	/*
	 * attempt number of the key when the request was committed or refused
	 */
	uint32_t attempt;
	uint32_t commits;
	bool answered;
	bool caller_disconnected;
	bool not_run; /* the caller was told that the request has not run */
	/* when the request ends at the endpoint; 0: it never ran */
	pimento_usec_t run_ends_at;
	pimento_id_t endpoint; /* endpoint that runs the request */
} tracked_request_t;

typedef struct netsim_host {
	pimento_host_t *host; /* NULL while crashed */
	uint64_t incarnation;
	pimento_usec_t paused_until;
	pimento_usec_t restart_at;
	int partition_side; /* side of the network partition */
} netsim_host_t;

struct netsim {
	pimento_random_t random;
	netsim_faults_t faults;
	double keyed_share;
	pimento_usec_t now;
	bool healed; /* faults have ended */
	netsim_host_t sim_hosts[NETSIM_HOSTS];
	netsim_event_t *events; /* binary heap, ordered by due */
	uint32_t event_count;
	uint32_t event_capacity;
	tracked_request_t tracked_requests[NETSIM_REQUESTS_MAX];
	uint32_t tracked_count;
	char keys[NETSIM_KEYS_MAX][PIMENTO_KEY_TEXT_SIZE];
	char violation[VIOLATION_TEXT_MAX];
	netsim_counts_t counts;
	pimento_usec_t next_request;
	pimento_usec_t next_fault;
	char *config_text;
	char *hosts_text;
};

static const char *const host_names[NETSIM_HOSTS] = { "entry-1", "entry-2",
						      "entry-3", "entry-4",
						      "entry-5" };

static bool random_chance(netsim_t *netsim, double p)
{
	return pimento_random_unit(&netsim->random) < p;
}

static uint64_t random_below(netsim_t *netsim, uint64_t bound)
{
	return pimento_random_below(&netsim->random, bound);
}

static void report_violation(netsim_t *netsim, const char *invariant,
			     const tracked_request_t *tracked)
{
	if (*netsim->violation)
		return;
	snprintf(netsim->violation, sizeof(netsim->violation),
		 "%s (request %llx/%llx, key %d, attempt %u, at %lld us)",
		 invariant, (unsigned long long)tracked->id.hi,
		 (unsigned long long)tracked->id.lo, tracked->key,
		 tracked->attempt, (long long)netsim->now);
}

static void swap_events(netsim_event_t *a, netsim_event_t *b)
{
	netsim_event_t t = *a;

	*a = *b;
	*b = t;
}

static void push_event(netsim_t *netsim, const netsim_event_t *event)
{
	uint32_t i = netsim->event_count++;

	if (netsim->event_count > netsim->event_capacity) {
		netsim->event_capacity = netsim->event_capacity * 2 + 64;
		netsim->events =
			realloc(netsim->events, netsim->event_capacity *
							sizeof(netsim_event_t));
	}
	netsim->events[i] = *event;
	for (; i && netsim->events[(i - 1) / 2].due > netsim->events[i].due;
	     i = (i - 1) / 2)
		swap_events(&netsim->events[i], &netsim->events[(i - 1) / 2]);
}

static netsim_event_t pop_event(netsim_t *netsim)
{
	netsim_event_t first = netsim->events[0];
	uint32_t i = 0;

	netsim->events[0] = netsim->events[--netsim->event_count];
	for (;;) {
		uint32_t least = i;

		for (uint32_t c = 2 * i + 1;
		     c <= 2 * i + 2 && c < netsim->event_count; c++) {
			if (netsim->events[c].due < netsim->events[least].due)
				least = c;
		}
		if (least == i)
			return first;
		swap_events(&netsim->events[i], &netsim->events[least]);
		i = least;
	}
}

static tracked_request_t *find_tracked_request(netsim_t *netsim,
					       pimento_reqid_t id)
{
	for (uint32_t i = netsim->tracked_count; i-- > 0;) {
		if (pimento_reqid_equal(netsim->tracked_requests[i].id, id))
			return &netsim->tracked_requests[i];
	}
	return NULL;
}

static tracked_request_t *
find_request_by_handle(netsim_t *netsim, uint32_t host, pimento_handle_t handle)
{
	pimento_reqid_t id = { netsim->sim_hosts[host].incarnation, handle };

	return find_tracked_request(netsim, id);
}

/* Reads from a host's state which attempt of its key a request uses, or 0. */
static uint32_t read_key_attempt(netsim_t *netsim, uint32_t host,
				 pimento_handle_t handle)
{
	const entry_table_t *table = &netsim->sim_hosts[host].host->entries;
	const entry_t *entry = &table->entries[(uint32_t)handle];

	return entry->claim ? entry->claim->attempt : 0;
}

/*
 * Checks a refusal as "not run": no request that used the same or an older
 * attempt of the key may have been dispatched.
 */
static void check_not_run(netsim_t *netsim, const tracked_request_t *tracked)
{
	for (uint32_t i = 0; i < netsim->tracked_count; i++) {
		const tracked_request_t *other = &netsim->tracked_requests[i];

		if (other == tracked || tracked->key < 0 ||
		    other->key != tracked->key)
			continue;
		if (other->commits && other->attempt <= tracked->attempt)
			report_violation(
				netsim,
				"reported as not run, but its key was dispatched",
				tracked);
	}
	if (tracked->commits)
		report_violation(netsim, "reported as not run after dispatch",
				 tracked);
}

static void check_commit(netsim_t *netsim, const tracked_request_t *tracked)
{
	if (tracked->commits > 1)
		report_violation(netsim, "request dispatched twice", tracked);
	if (tracked->not_run)
		report_violation(netsim, "dispatched after reported as not run",
				 tracked);
	for (uint32_t i = 0; i < netsim->tracked_count; i++) {
		const tracked_request_t *other = &netsim->tracked_requests[i];

		if (other == tracked || tracked->key < 0 ||
		    other->key != tracked->key)
			continue;
		if (other->commits)
			report_violation(netsim, "key dispatched twice",
					 tracked);
		if (other->not_run && other->attempt >= tracked->attempt)
			report_violation(
				netsim, "attempt ran after reported as not run",
				tracked);
	}
}

static uint32_t host_index(pimento_id_t id)
{
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++) {
		if (pimento_id(host_names[i]) == id)
			return i;
	}
	return NETSIM_HOSTS;
}

static pimento_usec_t link_delay(netsim_t *netsim)
{
	pimento_usec_t delay = LINK_DELAY;

	if (!netsim->healed && netsim->faults.delay_max &&
	    random_chance(netsim, 0.1))
		delay += (pimento_usec_t)random_below(
			netsim, (uint64_t)netsim->faults.delay_max);
	return delay;
}

static void schedule_delivery(netsim_t *netsim, uint32_t from, uint32_t to,
			      const message_t *message)
{
	size_t size = message_size(message->kind);
	netsim_event_t event = { .kind = NETSIM_EVENT_MESSAGE, .host = to };

	event.due = netsim->now + link_delay(netsim);
	event.from = pimento_id(host_names[from]);
	event.message = malloc(size);
	memcpy(event.message, message, size);
	push_event(netsim, &event);
}

static void send_message(netsim_t *netsim, uint32_t from,
			 const pimento_action_t *action)
{
	uint32_t to = host_index(action->peer);

	netsim->counts.messages++;
	if (to == NETSIM_HOSTS || !netsim->sim_hosts[to].host)
		return;
	if (!netsim->healed && (random_chance(netsim, netsim->faults.loss) ||
				netsim->sim_hosts[from].partition_side !=
					netsim->sim_hosts[to].partition_side)) {
		netsim->counts.lost++;
		return;
	}
	schedule_delivery(netsim, from, to, action->message);
	if (!netsim->healed &&
	    random_chance(netsim, netsim->faults.duplication)) {
		netsim->counts.duplicated++;
		schedule_delivery(netsim, from, to, action->message);
	}
}

static void start_exchange(netsim_t *netsim, uint32_t host,
			   const pimento_action_t *action)
{
	netsim_event_t event = { .kind = NETSIM_EVENT_CONNECT, .host = host };

	event.due = netsim->now + link_delay(netsim);
	event.incarnation = netsim->sim_hosts[host].incarnation;
	event.action = *action;
	push_event(netsim, &event);
}

static void schedule_exchange_end(netsim_t *netsim,
				  const netsim_event_t *connect,
				  pimento_usec_t due,
				  pimento_event_kind_t outcome)
{
	netsim_event_t event = *connect;

	event.kind = NETSIM_EVENT_END;
	event.due = due;
	event.outcome = outcome;
	push_event(netsim, &event);
}

static void record_answer(netsim_t *netsim, uint32_t host,
			  pimento_handle_t handle)
{
	tracked_request_t *tracked =
		find_request_by_handle(netsim, host, handle);

	if (!tracked || tracked->caller_disconnected)
		return;
	if (tracked->answered)
		report_violation(netsim, "request answered twice", tracked);
	tracked->answered = true;
}

static void record_refusal(netsim_t *netsim, uint32_t host,
			   const pimento_action_t *action)
{
	tracked_request_t *tracked =
		find_request_by_handle(netsim, host, action->request);

	record_answer(netsim, host, action->request);
	netsim->counts.refused[action->verdict]++;
	if (!tracked || action->verdict != PIMENTO_NOT_RUN ||
	    action->error == PIMENTO_EMISMATCH)
		return;
	tracked->not_run = true;
	/* A "not run" verdict without an attempt number is for attempt 1. */
	tracked->attempt = action->attempt ? action->attempt : 1;
	check_not_run(netsim, tracked);
}

/*
 * Checks that a replayed answer, which is the id of the request that produced
 * it, belongs to a dispatched request with the same key.
 */
static void check_replay(netsim_t *netsim, uint32_t host,
			 const pimento_action_t *action)
{
	const tracked_request_t *tracked =
		find_request_by_handle(netsim, host, action->request);
	pimento_reqid_t id;
	const tracked_request_t *ran;

	memcpy(&id, action->answer, sizeof(id));
	ran = find_tracked_request(netsim, id);
	if (tracked && (!ran || ran->key != tracked->key || !ran->commits))
		report_violation(netsim, "replayed the answer of another key",
				 tracked);
	record_answer(netsim, host, action->request);
	netsim->counts.replayed++;
	free(action->answer);
}

static void run_actions(netsim_t *netsim, uint32_t host)
{
	pimento_action_t action;

	while (pimento_host_next_action(netsim->sim_hosts[host].host,
					&action)) {
		switch (action.kind) {
		case PIMENTO_ACTION_SEND:
			send_message(netsim, host, &action);
			break;
		case PIMENTO_ACTION_RESUME:
			netsim->counts.resumed++;
			start_exchange(netsim, host, &action);
			break;
		case PIMENTO_ACTION_DISPATCH:
			start_exchange(netsim, host, &action);
			break;
		case PIMENTO_ACTION_REFUSE:
			record_refusal(netsim, host, &action);
			break;
		case PIMENTO_ACTION_REPLAY:
			check_replay(netsim, host, &action);
			break;
		case PIMENTO_ACTION_END:
			record_answer(netsim, host, action.request);
			break;
		default:
			break;
		}
	}
}

/*
 * Commits a dispatch. From here on the endpoint runs the request to its end,
 * even if the connection breaks or the host crashes.
 */
static void commit_exchange(netsim_t *netsim, const netsim_event_t *event)
{
	pimento_handle_t handle = event->action.request;
	uint32_t attempt = read_key_attempt(netsim, event->host, handle);
	tracked_request_t *tracked =
		find_tracked_request(netsim, event->action.stream);
	pimento_usec_t end;

	if (pimento_host_commit(netsim->sim_hosts[event->host].host,
				netsim->now, handle))
		return;
	netsim->counts.commits++;
	tracked->commits++;
	tracked->attempt = attempt;
	tracked->endpoint = event->action.endpoint;
	check_commit(netsim, tracked);
	end = netsim->now + RUN_TIME_MIN +
	      (pimento_usec_t)random_below(netsim, (uint64_t)RUN_TIME_SPREAD);
	tracked->run_ends_at = end;
	if (!netsim->healed && random_chance(netsim, netsim->faults.disconnect))
		schedule_exchange_end(netsim, event,
				      netsim->now + (end - netsim->now) / 2,
				      PIMENTO_EVENT_CONNECTION_LOST);
	else
		schedule_exchange_end(netsim, event, end, PIMENTO_EVENT_DONE);
}

static void resume_stream(netsim_t *netsim, const netsim_event_t *event)
{
	const tracked_request_t *tracked =
		find_tracked_request(netsim, event->action.stream);
	pimento_usec_t end;

	if (!tracked || !tracked->run_ends_at ||
	    tracked->endpoint != event->action.endpoint) {
		schedule_exchange_end(netsim, event, netsim->now,
				      PIMENTO_EVENT_STREAM_UNKNOWN);
		return;
	}
	end = tracked->run_ends_at > netsim->now ? tracked->run_ends_at
						 : netsim->now;
	if (!netsim->healed && random_chance(netsim, netsim->faults.disconnect))
		schedule_exchange_end(netsim, event, netsim->now,
				      PIMENTO_EVENT_CONNECTION_LOST);
	else
		schedule_exchange_end(netsim, event, end, PIMENTO_EVENT_DONE);
}

static void handle_connect_result(netsim_t *netsim, const netsim_event_t *event)
{
	if (!netsim->healed &&
	    random_chance(netsim, netsim->faults.connect_refused))
		schedule_exchange_end(netsim, event, netsim->now,
				      PIMENTO_EVENT_UNREACHABLE);
	else if (event->action.kind == PIMENTO_ACTION_DISPATCH)
		commit_exchange(netsim, event);
	else
		resume_stream(netsim, event);
}

static void handle_exchange_end(netsim_t *netsim, const netsim_event_t *event)
{
	pimento_event_t outcome = { .kind = event->outcome,
				    .status = 200,
				    .tokens = 10 };

	/* The answer's body is the request's id, which check_replay() verifies. */
	if (event->outcome == PIMENTO_EVENT_DONE) {
		outcome.answer = (const uint8_t *)&event->action.stream;
		outcome.answer_size = sizeof(event->action.stream);
	}
	pimento_host_event(netsim->sim_hosts[event->host].host, netsim->now,
			   event->action.request, &outcome);
}

static void handle_caller_disconnect(netsim_t *netsim,
				     const netsim_event_t *event)
{
	pimento_event_t outcome = { .kind = PIMENTO_EVENT_CALLER_DISCONNECTED };
	tracked_request_t *tracked =
		find_request_by_handle(netsim, event->host, event->handle);

	if (!tracked || tracked->answered)
		return;
	pimento_host_event(netsim->sim_hosts[event->host].host, netsim->now,
			   event->handle, &outcome);
	tracked->answered = true;
	tracked->caller_disconnected = true;
}

static void handle_event(netsim_t *netsim, netsim_event_t *event)
{
	netsim_host_t *sim_host = &netsim->sim_hosts[event->host];

	if (sim_host->host && sim_host->paused_until > netsim->now) {
		event->due = sim_host->paused_until +
			     (pimento_usec_t)random_below(netsim, 1000);
		push_event(netsim, event);
		return;
	}
	if (event->kind == NETSIM_EVENT_MESSAGE) {
		if (sim_host->host)
			pimento_host_receive(sim_host->host, netsim->now,
					     event->from, event->message);
		free(event->message);
	} else if (sim_host->host &&
		   sim_host->incarnation == event->incarnation) {
		if (event->kind == NETSIM_EVENT_CONNECT)
			handle_connect_result(netsim, event);
		else if (event->kind == NETSIM_EVENT_END)
			handle_exchange_end(netsim, event);
		else
			handle_caller_disconnect(netsim, event);
	}
	if (sim_host->host)
		run_actions(netsim, event->host);
}

static int start_host(netsim_t *netsim, uint32_t i)
{
	pimento_host_options_t options = { .name = host_names[i] };
	netsim_host_t *sim_host = &netsim->sim_hosts[i];
	int error;

	sim_host->host = calloc(1, sizeof(*sim_host->host));
	sim_host->incarnation = pimento_random_next(&netsim->random) | 1;
	options.incarnation = sim_host->incarnation;
	options.seed = pimento_random_next(&netsim->random);
	options.requests_max = 512;
	options.waiting_max = 1024;
	options.keys_max = 256;
	error = pimento_host_init(sim_host->host, &options, netsim->now);
	if (!error)
		error = pimento_host_apply_update(sim_host->host, netsim->now,
						  true, 1, netsim->hosts_text,
						  strlen(netsim->hosts_text));
	if (!error)
		error = pimento_host_apply_update(sim_host->host, netsim->now,
						  false, 1, netsim->config_text,
						  strlen(netsim->config_text));
	run_actions(netsim, i);
	return error;
}

static void crash_host(netsim_t *netsim, uint32_t i)
{
	netsim_host_t *sim_host = &netsim->sim_hosts[i];

	if (!sim_host->host)
		return;
	netsim->counts.crashes++;
	pimento_host_finish(sim_host->host);
	free(sim_host->host);
	sim_host->host = NULL;
	sim_host->restart_at = netsim->now + (pimento_usec_t)random_below(
						     netsim, 4 * PIMENTO_SEC);
}

static void change_partition(netsim_t *netsim)
{
	bool start_partition = random_chance(netsim, 0.5);

	netsim->counts.partitions += start_partition;
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++)
		netsim->sim_hosts[i].partition_side =
			start_partition ? (int)random_below(netsim, 2) : 0;
}

static void inject_faults(netsim_t *netsim)
{
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++) {
		netsim_host_t *sim_host = &netsim->sim_hosts[i];

		if (random_chance(netsim, netsim->faults.crash))
			crash_host(netsim, i);
		if (sim_host->host &&
		    random_chance(netsim, netsim->faults.pause)) {
			netsim->counts.pauses++;
			sim_host->paused_until =
				netsim->now + (pimento_usec_t)random_below(
						      netsim, 8 * PIMENTO_SEC);
		}
	}
	if (random_chance(netsim, netsim->faults.partition))
		change_partition(netsim);
}

/* Makes a caller's own key, a UUID version 7, which contains a timestamp. */
static void make_caller_key(netsim_t *netsim, char *key)
{
	uint64_t msec = (uint64_t)(netsim->now / PIMENTO_MSEC);

	snprintf(key, PIMENTO_KEY_TEXT_SIZE, "%08x-%04x-7%03x-8%03x-%012llx",
		 (unsigned)(msec >> 16), (unsigned)(msec & 0xffff),
		 (unsigned)random_below(netsim, 4096),
		 (unsigned)random_below(netsim, 4096),
		 (unsigned long long)random_below(netsim, 1ULL << 48));
}

/*
 * Chooses one of ACTIVE_KEYS keys, so that several requests use a key at once
 * through several hosts; the set changes every KEY_ROTATION_PERIOD. One key in
 * three is made by the caller, the others are issued by the host.
 */
static const char *choose_key(netsim_t *netsim, uint32_t host, int *index)
{
	uint64_t base =
		(uint64_t)((netsim->now - START_TIME) / KEY_ROTATION_PERIOD);
	char *key;

	*index = (int)((base + random_below(netsim, ACTIVE_KEYS)) %
		       NETSIM_KEYS_MAX);
	key = netsim->keys[*index];
	if (!*key && *index % 3 == 0)
		make_caller_key(netsim, key);
	else if (!*key)
		pimento_host_issue_key(netsim->sim_hosts[host].host,
				       netsim->now, netsim->now / PIMENTO_MSEC,
				       pimento_random_next(&netsim->random),
				       key);
	return *key ? key : NULL;
}

static void submit_request(netsim_t *netsim)
{
	uint32_t host = (uint32_t)random_below(netsim, NETSIM_HOSTS);
	netsim_host_t *sim_host = &netsim->sim_hosts[host];
	pimento_request_t request = { .account = 1,
				      .client_timeout = CLIENT_TIMEOUT };
	tracked_request_t *tracked =
		&netsim->tracked_requests[netsim->tracked_count];
	pimento_handle_t handle;
	netsim_event_t leave = { .kind = NETSIM_EVENT_CALLER_LEAVE,
				 .host = host };

	if (!sim_host->host || sim_host->paused_until > netsim->now ||
	    netsim->tracked_count == NETSIM_REQUESTS_MAX)
		return;
	memset(tracked, 0, sizeof(*tracked));
	tracked->key = -1;
	request.is_model = random_chance(netsim, 0.6);
	request.repeatable = true;
	request.tier = (uint8_t)random_below(netsim, 2);
	request.prompt_tokens = 100;
	request.answer_tokens = 10;
	request.wall_msec = netsim->now / PIMENTO_MSEC;
	if (random_chance(netsim, netsim->keyed_share))
		request.key = choose_key(netsim, host, &tracked->key);
	if (!request.key)
		tracked->key = -1;
	else
		request.is_model = tracked->key % 2;
	request.digest = request.key ? (uint64_t)tracked->key + 1 : 0;
	strcpy(request.target, request.is_model ? "planner" : "orders");
	if (pimento_host_submit(sim_host->host, netsim->now, &request, &handle,
				&tracked->id))
		return;
	tracked->host = host;
	tracked->incarnation = sim_host->incarnation;
	netsim->tracked_count++;
	netsim->counts.submitted++;
	run_actions(netsim, host);
	if (random_chance(netsim, netsim->faults.caller_leave)) {
		leave.due = netsim->now + (pimento_usec_t)random_below(
						  netsim, 300 * PIMENTO_MSEC);
		leave.incarnation = sim_host->incarnation;
		leave.handle = handle;
		push_event(netsim, &leave);
	}
}

static void tick_hosts(netsim_t *netsim)
{
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++) {
		netsim_host_t *sim_host = &netsim->sim_hosts[i];

		if (!sim_host->host && netsim->now >= sim_host->restart_at)
			start_host(netsim, i);
		if (!sim_host->host || sim_host->paused_until > netsim->now ||
		    pimento_host_deadline(sim_host->host) > netsim->now)
			continue;
		pimento_host_tick(sim_host->host, netsim->now);
		run_actions(netsim, i);
	}
}

static pimento_usec_t next_time(const netsim_t *netsim)
{
	pimento_usec_t next = netsim->next_request;

	if (netsim->healed)
		next = PIMENTO_NEVER;
	if (netsim->event_count && netsim->events[0].due < next)
		next = netsim->events[0].due;
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++) {
		const netsim_host_t *sim_host = &netsim->sim_hosts[i];
		pimento_usec_t due = sim_host->restart_at;

		if (sim_host->host)
			due = pimento_host_deadline(sim_host->host);
		if (sim_host->host && due < sim_host->paused_until)
			due = sim_host->paused_until;
		if (due < next)
			next = due;
	}
	return next > netsim->now ? next : netsim->now + 1;
}

static void advance_to_next_event(netsim_t *netsim)
{
	netsim->counts.steps++;
	netsim->now = next_time(netsim);
	while (netsim->event_count && netsim->events[0].due <= netsim->now &&
	       !*netsim->violation) {
		netsim_event_t event = pop_event(netsim);

		handle_event(netsim, &event);
	}
	tick_hosts(netsim);
	if (netsim->healed)
		return;
	if (netsim->now >= netsim->next_request) {
		netsim->next_request = netsim->now + REQUEST_PERIOD;
		submit_request(netsim);
	}
	if (netsim->now >= netsim->next_fault) {
		netsim->next_fault = netsim->now + PIMENTO_SEC;
		inject_faults(netsim);
	}
}

static void end_faults(netsim_t *netsim)
{
	netsim->healed = true;
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++) {
		netsim->sim_hosts[i].paused_until = 0;
		netsim->sim_hosts[i].partition_side = 0;
		netsim->sim_hosts[i].restart_at = netsim->now;
	}
}

/* Every request must be answered unless its entry host has crashed. */
static void check_answered(netsim_t *netsim)
{
	for (uint32_t i = 0; i < netsim->tracked_count; i++) {
		const tracked_request_t *tracked = &netsim->tracked_requests[i];

		if (tracked->answered ||
		    netsim->sim_hosts[tracked->host].incarnation !=
			    tracked->incarnation)
			continue;
		netsim->counts.unanswered++;
		report_violation(netsim, "request never answered", tracked);
	}
}

void netsim_run(netsim_t *netsim, pimento_usec_t span)
{
	pimento_usec_t end = netsim->now + span;

	while (netsim->now < end && !*netsim->violation)
		advance_to_next_event(netsim);
	end_faults(netsim);
	end = netsim->now + RECOVERY_SPAN;
	while (netsim->now < end && !*netsim->violation)
		advance_to_next_event(netsim);
	check_answered(netsim);
}

static char *make_hosts_text(void)
{
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);

	fputs("{\"revision\":1,\"hosts\":[", out);
	for (int i = 0; i < NETSIM_HOSTS; i++)
		fprintf(out,
			"%s{\"name\":\"%s\",\"datacentre\":\"d\",\"address\":"
			"\"127.0.0.1\",\"port\":%d,\"role\":\"entry\","
			"\"state\":\"live\"}",
			i ? "," : "", host_names[i], 9001 + i);
	fputs("]}", out);
	fclose(out);
	return text;
}

static char *make_config_text(void)
{
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);

	fputs("deployment = \"qurum\"\nbody_max = 65536\nretention_s = 600\n"
	      "[[tier]]\nname = \"charge\"\nrank = 0\npatience_ms = 4000\n"
	      "[[tier]]\nname = \"plan\"\nrank = 1\npatience_ms = 4000\n"
	      "[[account]]\nname = \"shop\"\nweight = 1\nkey_hash = \"",
	      out);
	for (int i = 0; i < 32; i++)
		fputs("ab", out);
	fputs("\"\n[[contract]]\nname = \"plan\"\naccount = \"shop\"\n"
	      "target = \"model:planner\"\ntier = \"plan\"\n"
	      "answer_tokens = 10\n"
	      "[[contract]]\nname = \"charge\"\naccount = \"shop\"\n"
	      "target = \"service:orders\"\ntier = \"charge\"\n"
	      "[[service]]\nname = \"orders\"\nprefix = \"/orders\"\n",
	      out);
	for (int i = 0; i < NETSIM_ENDPOINTS; i++)
		fprintf(out,
			"[[endpoint]]\nname = \"e-%d\"\ndatacentre = \"d\"\n"
			"target = \"%s\"\naddress = \"127.0.0.1\"\n"
			"port = %d\nconcurrency = 8\ncontext_tokens = %d\n",
			i, i < 3 ? "model:planner" : "service:orders", 7001 + i,
			i < 3 ? 10000 : 0);
	fclose(out);
	return text;
}

netsim_t *netsim_new(uint64_t seed, const netsim_faults_t *faults,
		     double keyed_share)
{
	netsim_t *netsim = calloc(1, sizeof(*netsim));

	if (!netsim)
		return NULL;
	pimento_random_init(&netsim->random, seed);
	netsim->faults = *faults;
	netsim->keyed_share = keyed_share;
	netsim->now = START_TIME;
	netsim->next_request = START_TIME + PIMENTO_SEC;
	netsim->next_fault = START_TIME + 2 * PIMENTO_SEC;
	netsim->config_text = make_config_text();
	netsim->hosts_text = make_hosts_text();
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++) {
		if (!start_host(netsim, i))
			continue;
		netsim_free(netsim);
		return NULL;
	}
	return netsim;
}

void netsim_free(netsim_t *netsim)
{
	for (uint32_t i = 0; i < netsim->event_count; i++) {
		if (netsim->events[i].kind == NETSIM_EVENT_MESSAGE)
			free(netsim->events[i].message);
	}
	for (uint32_t i = 0; i < NETSIM_HOSTS; i++) {
		if (!netsim->sim_hosts[i].host)
			continue;
		pimento_host_finish(netsim->sim_hosts[i].host);
		free(netsim->sim_hosts[i].host);
	}
	free(netsim->events);
	free(netsim->config_text);
	free(netsim->hosts_text);
	free(netsim);
}

const char *netsim_violation(const netsim_t *netsim)
{
	return *netsim->violation ? netsim->violation : NULL;
}

const netsim_counts_t *netsim_counts(const netsim_t *netsim)
{
	return &netsim->counts;
}
