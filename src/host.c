/*
 * Combines the modules of one entry host: passes each message to the module it
 * is for, delivers messages to itself, puts published texts into force, and
 * assigns each endpoint to an owner among the live hosts.
 */

#include "host.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define OUTBOX_CAPACITY 8192
/*
 * Interval at which an owner sends load digests, and number of peers that each
 * digest is sent to.
 */
#define DIGEST_PERIOD (500 * PIMENTO_MSEC)
#define DIGEST_FANOUT 4
/* Witnesses named in an issued idempotency key. */
#define KEY_WITNESSES 3
/* Bound on the difference between two hosts' wall clocks. */
#define CLOCK_SKEW_DEFAULT (2 * PIMENTO_SEC)
#define LIVE_HOSTS_MAX 1024
/* Time after the start at which a host becomes ready even without peers. */
#define READY_GRACE (3 * PIMENTO_SEC)
#define KEY_RETENTION_DEFAULT (600 * PIMENTO_SEC)
#define KEYS_MAX_DEFAULT 65536
#define WAITING_MAX_DEFAULT 100000
#define REQUESTS_MAX_DEFAULT 4096

/*
 * A configuration with its reference count. The count is atomic because traffic
 * threads hold references while the control thread switches to a newer one. The
 * configuration is not modified after parsing.
 */
typedef struct refcounted_config {
	/*
	 * must be the first member: pointers to it are cast to
	 * refcounted_config_t
	 */
	pimento_config_t config;
	atomic_uint refs;
} refcounted_config_t;

struct pimento_config *pimento_config_ref(struct pimento_config *config)
{
	if (config)
		atomic_fetch_add(&((refcounted_config_t *)config)->refs, 1);
	return config;
}

void pimento_config_unref(struct pimento_config *config)
{
	refcounted_config_t *refcounted = (refcounted_config_t *)config;

	if (!refcounted || atomic_fetch_sub(&refcounted->refs, 1) != 1)
		return;
	pimento_config_finish(&refcounted->config);
	free(refcounted);
}

size_t pimento_host_size(void)
{
	return sizeof(pimento_host_t);
}

static void set_defaults(pimento_host_options_t *options)
{
	if (!options->requests_max)
		options->requests_max = REQUESTS_MAX_DEFAULT;
	if (!options->waiting_max)
		options->waiting_max = WAITING_MAX_DEFAULT;
	if (!options->keys_max)
		options->keys_max = KEYS_MAX_DEFAULT;
	if (!options->clock_skew_max)
		options->clock_skew_max = CLOCK_SKEW_DEFAULT;
}

static int init_modules(pimento_host_t *host, pimento_usec_t now)
{
	const pimento_host_options_t *o = &host->options;
	membership_options_t membership = { .self = host->self,
					    .incarnation = o->incarnation,
					    .seed = o->seed + 1 };
	config_sync_options_t config_sync = { .self = host->self,
					      .seed = o->seed + 2 };
	owner_options_t owner = { .self = host->self,
				  .seed = o->seed + 3,
				  .waiting_max = o->waiting_max };
	witness_options_t witness = { .incarnation = o->incarnation,
				      .capacity = o->keys_max,
				      .retention = KEY_RETENTION_DEFAULT,
				      .started = now,
				      .clock_skew_max = o->clock_skew_max };
	entry_options_t entry = { .self = host->self,
				  .incarnation = o->incarnation,
				  .requests_max = o->requests_max };
	int error = outbox_init(&host->out, OUTBOX_CAPACITY);

	if (!error)
		error = membership_init(&host->membership, &membership,
					&host->out);
	if (!error)
		error = config_sync_init(&host->config_sync, &config_sync,
					 &host->out);
	if (!error)
		error = owner_init(&host->owner, &owner, &host->out);
	if (!error)
		error = route_init(&host->route, o->seed + 4);
	if (!error)
		error = witness_init(&host->witness, &witness);
	if (!error)
		error = entry_init(&host->entries, &entry, &host->route,
				   &host->membership, &host->out);
	return error;
}

int pimento_host_init(pimento_host_t *host,
		      const pimento_host_options_t *options, pimento_usec_t now)
{
	int error;

	if (!options->name || !options->incarnation)
		return PIMENTO_EINVAL;
	memset(host, 0, sizeof(*host));
	host->options = *options;
	set_defaults(&host->options);
	host->self = pimento_id(options->name);
	host->started = now;
	host->now = now;
	host->last_epoch = 1;
	pimento_random_init(&host->random, options->seed);
	error = init_modules(host, now);
	if (error)
		pimento_host_finish(host);
	return error;
}

void pimento_host_finish(pimento_host_t *host)
{
	entry_finish(&host->entries);
	witness_finish(&host->witness);
	route_finish(&host->route);
	owner_finish(&host->owner);
	config_sync_finish(&host->config_sync);
	membership_finish(&host->membership);
	outbox_finish(&host->out);
	pimento_config_unref(host->config);
	hostlist_finish(&host->hosts);
	free(host->endpoints);
	free(host->update_errors);
	memset(host, 0, sizeof(*host));
}

/*
 * Epochs of ownership are taken from the wall clock, so that a later one is
 * greater also across hosts and restarts. Clock skew between two hosts can make
 * a load summary look older than it is; that affects only estimates of load,
 * never the claim of a key.
 */
static uint64_t new_epoch(pimento_host_t *host, pimento_usec_t now)
{
	uint64_t epoch = (uint64_t)(host->options.wall_msec * PIMENTO_MSEC +
				    (now - host->started));

	if (epoch <= host->last_epoch)
		epoch = host->last_epoch + 1;
	host->last_epoch = epoch;
	return epoch;
}

static void assign_endpoint(pimento_host_t *host, pimento_usec_t now,
			    host_endpoint_t *endpoint, double share)
{
	pimento_id_t id = endpoint->config->id;
	pimento_id_t owner = membership_owner(&host->membership, id);
	bool was_ours = endpoint->owner == host->self;
	bool is_ours = owner == host->self;
	bool leaving =
		membership_state(&host->membership, id) == HOST_LEAVING ||
		(host->config &&
		 evacuation_includes(&host->config->evacuated,
				     endpoint->config->datacentre));

	endpoint->owner = owner;
	if (was_ours && !is_ours)
		owner_remove_endpoint(&host->owner, now, id);
	if (is_ours && (!was_ours || endpoint->share != share)) {
		if (!was_ours)
			endpoint->epoch = new_epoch(host, now);
		endpoint->share = share;
		owner_add_endpoint(&host->owner, now, endpoint->config,
				   endpoint->epoch, share);
	}
	route_set_leaving(&host->route, id, leaving);
	if (is_ours && leaving)
		owner_endpoint_leaving(&host->owner, now, id);
	if (is_ours && !leaving)
		owner_endpoint_restarted(&host->owner, now, id);
}

/*
 * Assigns owners by rendezvous hash over the live hosts. Each host computes
 * this alone; hosts with the same view of membership get the same owners.
 */
static void assign_owners(pimento_host_t *host, pimento_usec_t now)
{
	double share = membership_published_live_share(&host->membership);

	host->applied_changes = host->membership.owner_changes;
	for (uint32_t i = 0; i < host->endpoint_count; i++)
		assign_endpoint(host, now, &host->endpoints[i], share);
	entry_owners_changed(&host->entries, now);
}

static const host_endpoint_t *find_endpoint(const pimento_host_t *host,
					    pimento_id_t id)
{
	for (uint32_t i = 0; i < host->endpoint_count; i++) {
		if (host->endpoints[i].config->id == id)
			return &host->endpoints[i];
	}
	return NULL;
}

/* Stops owning endpoints that the new configuration does not contain. */
static void drop_removed_endpoints(pimento_host_t *host, pimento_usec_t now,
				   const pimento_config_t *config)
{
	for (uint32_t i = 0; i < host->endpoint_count; i++) {
		const host_endpoint_t *old = &host->endpoints[i];

		if (old->owner == host->self &&
		    !pimento_config_find_endpoint(config, old->config->id))
			owner_remove_endpoint(&host->owner, now,
					      old->config->id);
	}
}

static int switch_endpoints(pimento_host_t *host, pimento_usec_t now,
			    const pimento_config_t *config)
{
	uint32_t count = config->endpoint_count;
	host_endpoint_t *endpoints = calloc(count + 1, sizeof(*endpoints));

	if (!endpoints)
		return PIMENTO_ENOMEM;
	drop_removed_endpoints(host, now, config);
	for (uint32_t i = 0; i < count; i++) {
		const host_endpoint_t *old =
			find_endpoint(host, config->endpoints[i].id);

		if (old)
			endpoints[i] = *old;
		endpoints[i].config = &config->endpoints[i];
		/*
		 * No endpoint has this share, so the new settings will be
		 * passed to owner.c.
		 */
		endpoints[i].share = 0;
	}
	free(host->endpoints);
	host->endpoints = endpoints;
	host->endpoint_count = count;
	return PIMENTO_OK;
}

/* Keeps the errors of a rejected text for pimento_host_update_errors(). */
static void record_rejected_update(pimento_host_t *host, uint64_t revision,
				   problems_t *problems)
{
	free(host->update_errors);
	host->update_errors = problems->text ? strdup(problems->text) : NULL;
	host->rejected_revision = revision;
	host->update_rejected = true;
}

/*
 * Validates a configuration and puts it into force. The switch is one step of
 * the control thread, so no request sees a mixture of two configurations.
 */
static int apply_config(pimento_host_t *host, pimento_usec_t now,
			uint64_t revision, const char *text, size_t length)
{
	refcounted_config_t *refcounted = calloc(1, sizeof(*refcounted));
	pimento_config_t *old = host->config;
	problems_t problems;
	int error;

	if (!refcounted)
		return PIMENTO_ENOMEM;
	atomic_init(&refcounted->refs, 1);
	problems_init(&problems);
	error = pimento_config_parse(&refcounted->config, text, length,
				     "configuration", &problems);
	if (error)
		record_rejected_update(host, revision, &problems);
	problems_finish(&problems);
	if (error) {
		free(refcounted);
		host->rejected_config_revision = revision;
		return error;
	}
	refcounted->config.revision = revision;
	error = switch_endpoints(host, now, &refcounted->config);
	if (!error)
		error = route_configure(&host->route, now, &refcounted->config);
	if (!error)
		error = owner_configure(&host->owner, &refcounted->config);
	if (error) {
		pimento_config_unref(&refcounted->config);
		return error;
	}
	host->config = &refcounted->config;
	host->witness.options.retention = refcounted->config.retention;
	host->config_switches++;
	host->config_changed = true;
	assign_owners(host, now);
	pimento_config_unref(old);
	return PIMENTO_OK;
}

static int apply_hostlist(pimento_host_t *host, pimento_usec_t now,
			  uint64_t revision, const char *text, size_t length)
{
	hostlist_t list;
	problems_t problems;
	int error;

	problems_init(&problems);
	error = hostlist_parse(&list, text, length, &problems);
	if (error)
		record_rejected_update(host, revision, &problems);
	problems_finish(&problems);
	if (error)
		return error;
	list.revision = revision;
	hostlist_finish(&host->hosts);
	host->hosts = list;
	membership_apply_hostlist(&host->membership, now, &host->hosts);
	witness_adopt_hostlist(&host->witness, now, &host->hosts, host->self);
	host->hosts_changed = true;
	assign_owners(host, now);
	return PIMENTO_OK;
}

/*
 * Validates each configuration or host list that has been received completely,
 * and applies it if valid.
 */
static int apply_pending_updates(pimento_host_t *host, pimento_usec_t now)
{
	static const config_sync_subject_t subjects[] = { CONFIG_SYNC_HOSTS,
							  CONFIG_SYNC_CONFIG };
	int result = PIMENTO_OK;

	for (size_t i = 0; i < sizeof(subjects) / sizeof(subjects[0]); i++) {
		uint64_t revision;
		size_t length;
		const char *text = config_sync_pending(
			&host->config_sync, subjects[i], &revision, &length);
		int error;

		if (!text)
			continue;
		error = subjects[i] == CONFIG_SYNC_HOSTS
				? apply_hostlist(host, now, revision, text,
						 length)
				: apply_config(host, now, revision, text,
					       length);
		config_sync_resolve_pending(&host->config_sync, now,
					    subjects[i], !error);
		if (error)
			result = error;
	}
	host->membership.config_revision =
		config_sync_revision(&host->config_sync, CONFIG_SYNC_CONFIG);
	host->membership.hosts_revision =
		config_sync_revision(&host->config_sync, CONFIG_SYNC_HOSTS);
	return result;
}

int pimento_host_apply_update(pimento_host_t *host, pimento_usec_t now,
			      bool hosts, uint64_t revision, const char *text,
			      size_t length)
{
	config_sync_subject_t subject =
		hosts ? CONFIG_SYNC_HOSTS : CONFIG_SYNC_CONFIG;
	int error = config_sync_submit(&host->config_sync, now, subject,
				       revision, text, length);

	host->now = now;
	if (error)
		return error;
	return apply_pending_updates(host, now);
}

void pimento_host_confirm_current(pimento_host_t *host, pimento_usec_t now,
				  pimento_usec_t read_started)
{
	host->now = now;
	membership_platform_read_done(&host->membership, now, read_started);
}

bool pimento_host_is_current(const pimento_host_t *host)
{
	return membership_is_fresh(&host->membership, host->now);
}

bool pimento_host_should_watch_platform(const pimento_host_t *host,
					pimento_usec_t *interval)
{
	pimento_id_t live[LIVE_HOSTS_MAX];
	uint32_t count =
		membership_live_hosts(&host->membership, live, LIVE_HOSTS_MAX);

	return config_sync_is_poller(&host->config_sync, live, count, interval);
}

static int resolve_key_witnesses(pimento_host_t *host,
				 const pimento_request_t *request,
				 pimento_key_t *key, witness_set_t *witnesses,
				 pimento_usec_t *age)
{
	int64_t birth = -1;
	int error;

	*key = idem_key_hash(request->account, request->key);
	if (idem_key_is_issued(request->key))
		error = idem_key_parse(host->options.secret, request->key,
				       witnesses, &birth);
	else
		error = idem_key_select_witnesses(
			request->key, *key, &host->hosts, witnesses, &birth);
	*age = birth < 0 ? -1 : (request->wall_msec - birth) * PIMENTO_MSEC;
	return error;
}

int pimento_host_check_config(pimento_host_t *host, pimento_usec_t now,
			      uint64_t revision)
{
	host->now = now;
	/*
	 * After a pause of this process its configuration may have been
	 * replaced; it must not serve under it until it is confirmed.
	 */
	if (!host->config || !membership_is_fresh(&host->membership, now))
		return PIMENTO_EUNREADY;
	if (revision && revision != host->config->revision)
		return PIMENTO_ESTALE;
	return PIMENTO_OK;
}

int pimento_host_submit(pimento_host_t *host, pimento_usec_t now,
			const pimento_request_t *request,
			pimento_handle_t *handle, pimento_reqid_t *id)
{
	pimento_key_t key = { 0, 0 };
	witness_set_t witnesses;
	pimento_usec_t age = -1;
	int error;

	host->now = now;
	if (host->leaving)
		return PIMENTO_ELEAVING;
	error = pimento_host_check_config(host, now, request->config_revision);
	if (error)
		return error;
	if (request->tier >= PIMENTO_TIERS_MAX || request->client_timeout <= 0)
		return PIMENTO_EINVAL;
	if (!request->key)
		return request->repeatable
			       ? entry_submit(&host->entries, now, request, key,
					      NULL, age, handle, id)
			       : PIMENTO_EINVAL;
	error = resolve_key_witnesses(host, request, &key, &witnesses, &age);
	if (error)
		return error;
	return entry_submit(&host->entries, now, request, key, &witnesses, age,
			    handle, id);
}

int pimento_host_commit(pimento_host_t *host, pimento_usec_t now,
			pimento_handle_t handle)
{
	host->now = now;
	return entry_commit(&host->entries, now, handle);
}

void pimento_host_event(pimento_host_t *host, pimento_usec_t now,
			pimento_handle_t handle, const pimento_event_t *event)
{
	host->now = now;
	entry_event(&host->entries, now, handle, event);
}

static void handle_claim(pimento_host_t *host, pimento_usec_t now,
			 pimento_id_t from, const message_claim_t *claim)
{
	message_t reply = { .kind = MESSAGE_WITNESS };

	witness_receive(&host->witness, now, claim, &reply.u.witness);
	outbox_put(&host->out, from, &reply);
}

static void handle_digest(pimento_host_t *host, pimento_usec_t now,
			  const message_digest_t *digest)
{
	for (uint32_t i = 0; i < digest->count; i++)
		route_update_summary(&host->route, now, &digest->summaries[i]);
}

static int handle_message(pimento_host_t *host, pimento_usec_t now,
			  pimento_id_t from, const message_t *message)
{
	switch (message->kind) {
	case MESSAGE_RESERVE:
	case MESSAGE_RELEASE:
	case MESSAGE_PROGRESS:
		return owner_receive(&host->owner, now, from, message);
	case MESSAGE_GRANT:
	case MESSAGE_WAIT:
	case MESSAGE_REFUSE:
	case MESSAGE_WITNESS:
		return entry_receive(&host->entries, now, from, message);
	case MESSAGE_DIGEST:
		handle_digest(host, now, &message->u.digest);
		return PIMENTO_OK;
	case MESSAGE_CLAIM:
		handle_claim(host, now, from, &message->u.claim);
		return PIMENTO_OK;
	case MESSAGE_PROBE:
	case MESSAGE_ACK:
		config_sync_learn_revision(&host->config_sync, now, from,
					   CONFIG_SYNC_CONFIG,
					   message->u.probe.revision);
		config_sync_learn_revision(&host->config_sync, now, from,
					   CONFIG_SYNC_HOSTS,
					   message->u.probe.hosts_revision);
		return membership_receive(&host->membership, now, from,
					  message);
	case MESSAGE_OFFER:
	case MESSAGE_PULL:
	case MESSAGE_PART:
		return config_sync_receive(&host->config_sync, now, from,
					   message);
	case MESSAGE_NONE:
	case MESSAGE_KINDS:
	default:
		return PIMENTO_EINVAL;
	}
}

int pimento_host_receive(pimento_host_t *host, pimento_usec_t now,
			 pimento_id_t from, const struct message *message)
{
	int error;

	host->now = now;
	if (from == host->self || !from)
		return PIMENTO_EINVAL;
	membership_add_host(&host->membership, now, from);
	membership_host_seen(&host->membership, now, from);
	error = handle_message(host, now, from, message);
	apply_pending_updates(host, now);
	if (host->membership.owner_changes != host->applied_changes)
		assign_owners(host, now);
	return error;
}

void pimento_host_report_load(pimento_host_t *host, pimento_usec_t now,
			      pimento_id_t endpoint, uint32_t running,
			      uint32_t waiting, uint32_t tokens_left,
			      pimento_usec_t age, bool leaving,
			      uint64_t incarnation)
{
	load_report_t report = { .age = age,
				 .running = running,
				 .waiting = waiting,
				 .tokens_left = tokens_left,
				 .leaving = leaving };

	host->now = now;
	owner_load_report(&host->owner, now, endpoint, &report);
	if (leaving)
		membership_endpoint_leaving(&host->membership, now, endpoint,
					    incarnation);
	else
		membership_endpoint_live(&host->membership, now, endpoint,
					 incarnation);
	if (host->membership.owner_changes != host->applied_changes)
		assign_owners(host, now);
}

void pimento_host_leave(pimento_host_t *host, pimento_usec_t now)
{
	host->now = now;
	host->leaving = true;
	membership_leave(&host->membership, now);
	assign_owners(host, now);
}

void pimento_host_refuse_waiting(pimento_host_t *host, pimento_usec_t now)
{
	host->now = now;
	entry_refuse_waiting(&host->entries, now, PIMENTO_ELEAVING);
}

uint32_t pimento_host_active_requests(const pimento_host_t *host)
{
	return host->entries.active;
}

/*
 * Sends load summaries of owned endpoints to a few random peers; the cost does
 * not grow with the number of hosts.
 */
static void send_digest(pimento_host_t *host, pimento_usec_t now)
{
	message_t message = { .kind = MESSAGE_DIGEST };
	message_digest_t *digest = &message.u.digest;
	pimento_id_t live[LIVE_HOSTS_MAX];
	uint32_t peers =
		membership_live_hosts(&host->membership, live, LIVE_HOSTS_MAX);

	for (uint32_t i = 0;
	     i < host->endpoint_count && digest->count < MESSAGE_SUMMARIES_MAX;
	     i++) {
		uint32_t at = (host->digest_start + i) % host->endpoint_count;
		pimento_id_t id = host->endpoints[at].config->id;

		if (!owner_summary(&host->owner, now, id,
				   &digest->summaries[digest->count]))
			digest->count++;
	}
	host->digest_start++;
	if (!digest->count || !peers)
		return;
	for (uint32_t i = 0; i < DIGEST_FANOUT; i++) {
		pimento_id_t to =
			live[pimento_random_below(&host->random, peers)];

		if (to != host->self)
			outbox_put(&host->out, to, &message);
	}
	handle_digest(host, now, digest);
}

void pimento_host_tick(pimento_host_t *host, pimento_usec_t now)
{
	host->now = now;
	membership_tick(&host->membership, now);
	config_sync_tick(&host->config_sync, now);
	witness_tick(&host->witness, now);
	apply_pending_updates(host, now);
	if (host->membership.owner_changes != host->applied_changes)
		assign_owners(host, now);
	owner_tick(&host->owner, now);
	entry_tick(&host->entries, now);
	if (now >= host->next_digest) {
		host->next_digest = now + DIGEST_PERIOD;
		send_digest(host, now);
	}
}

static pimento_usec_t usec_min(pimento_usec_t a, pimento_usec_t b)
{
	return a < b ? a : b;
}

pimento_usec_t pimento_host_deadline(const pimento_host_t *host)
{
	pimento_usec_t due = host->next_digest;

	due = usec_min(due, membership_deadline(&host->membership));
	due = usec_min(due, config_sync_deadline(&host->config_sync));
	due = usec_min(due, owner_deadline(&host->owner));
	return usec_min(due, host->entries.next_wake);
}

/*
 * Moves the next message for a peer to host->scratch and processes those that
 * this host sent to itself. Returns false if no message for a peer is left.
 */
static bool next_outgoing_message(pimento_host_t *host, pimento_id_t *to)
{
	while (outbox_take(&host->out, to, &host->scratch)) {
		if (*to != host->self)
			return true;
		handle_message(host, host->now, host->self, &host->scratch);
	}
	return false;
}

int pimento_host_next_action(pimento_host_t *host, pimento_action_t *action)
{
	memset(action, 0, sizeof(*action));
	if (host->config_changed) {
		host->config_changed = false;
		action->kind = PIMENTO_ACTION_CONFIG_CHANGED;
		return 1;
	}
	if (host->hosts_changed) {
		host->hosts_changed = false;
		action->kind = PIMENTO_ACTION_HOSTS_CHANGED;
		return 1;
	}
	if (host->update_rejected) {
		host->update_rejected = false;
		action->kind = PIMENTO_ACTION_UPDATE_REJECTED;
		return 1;
	}
	if (next_outgoing_message(host, &action->peer)) {
		action->kind = PIMENTO_ACTION_SEND;
		action->message = &host->scratch;
		return 1;
	}
	return entry_next_action(&host->entries, action);
}

struct pimento_config *pimento_host_config(const pimento_host_t *host)
{
	return host->config;
}

const struct hostlist *pimento_host_hostlist(const pimento_host_t *host)
{
	return &host->hosts;
}

const char *pimento_host_update_errors(const pimento_host_t *host,
				       uint64_t *revision)
{
	*revision = host->rejected_revision;
	return host->update_errors;
}

/* Chooses witnesses of a key among the live hosts, this host being the first. */
static void choose_witnesses(const pimento_host_t *host, uint32_t start,
			     witness_set_t *set)
{
	pimento_id_t live[LIVE_HOSTS_MAX];
	uint32_t count =
		membership_live_hosts(&host->membership, live, LIVE_HOSTS_MAX);

	memset(set, 0, sizeof(*set));
	set->hosts[0] = host->self;
	set->incarnations[0] = host->options.incarnation;
	set->count = 1;
	for (uint32_t i = 0; i < count && set->count < KEY_WITNESSES; i++) {
		pimento_id_t id = live[(start + i) % count];
		uint64_t incarnation =
			membership_incarnation(&host->membership, id);

		if (id == host->self || !incarnation)
			continue;
		set->hosts[set->count] = id;
		set->incarnations[set->count] = incarnation;
		set->count++;
	}
	set->quorum = set->count / 2 + 1;
}

/*
 * Requires KEY_WITNESSES witnesses if the host list has that many entry hosts.
 * With two witnesses the quorum is two, so the loss of one would block the key.
 */
static bool enough_witnesses(const pimento_host_t *host,
			     const witness_set_t *set)
{
	uint32_t entries = 0;

	for (uint32_t i = 0; i < host->hosts.count; i++)
		entries += !host->hosts.hosts[i].is_endpoint;
	return set->count >= KEY_WITNESSES || entries < KEY_WITNESSES;
}

int pimento_host_issue_key(pimento_host_t *host, pimento_usec_t now,
			   int64_t wall_msec, uint64_t nonce,
			   char text[PIMENTO_KEY_TEXT_SIZE])
{
	uint32_t start =
		(uint32_t)pimento_random_below(&host->random, LIVE_HOSTS_MAX);
	witness_set_t set;

	(void)now;
	choose_witnesses(host, start, &set);
	if (!enough_witnesses(host, &set))
		return PIMENTO_ENOQUORUM;
	return idem_key_issue(host->options.secret, &set, wall_msec, nonce,
			      text);
}

bool pimento_host_ready(const pimento_host_t *host, pimento_usec_t now)
{
	witness_set_t set;

	if (host->leaving || !host->config ||
	    !membership_is_fresh(&host->membership, now))
		return false;
	choose_witnesses(host, 0, &set);
	return enough_witnesses(host, &set) ||
	       now - host->started > READY_GRACE;
}

void pimento_host_fill_probe(const pimento_host_t *host,
			     struct message *message)
{
	message_probe_t *probe = &message->u.probe;

	message->kind = MESSAGE_PROBE;
	memset(probe, 0, sizeof(*probe));
	probe->incarnation = host->options.incarnation;
	probe->revision = host->membership.config_revision;
	probe->hosts_revision = host->membership.hosts_revision;
}

bool host_endpoint_status(const pimento_host_t *host, pimento_usec_t now,
			  uint32_t index, const config_endpoint_t **config,
			  pimento_id_t *owner, message_summary_t *summary)
{
	const host_endpoint_t *endpoint;

	if (index >= host->endpoint_count)
		return false;
	endpoint = &host->endpoints[index];
	*config = endpoint->config;
	*owner = endpoint->owner;
	memset(summary, 0, sizeof(*summary));
	owner_summary(&host->owner, now, endpoint->config->id, summary);
	return true;
}

const char *host_name(const pimento_host_t *host, pimento_id_t id)
{
	if (id == host->self)
		return host->options.name;
	for (uint32_t i = 0; i < host->hosts.count; i++) {
		if (host->hosts.hosts[i].id == id)
			return host->hosts.hosts[i].name;
	}
	return "?";
}
