/*
 * The library's owner and route on every host, and around them the least that
 * an entry does. Ownership of an endpoint is by highest hash over the hosts
 * that a host holds live.
 */

#include "policy.h"

#include "owner.h"
#include "route.h"

#include <stdlib.h>
#include <string.h>

#define TICK (20 * PIMENTO_MSEC)
#define DIGEST (500 * PIMENTO_MSEC)
#define ATTEMPTS 4 /* request ids per request */
#define OUTBOX 65536
#define WAITING_MAX 100000

typedef struct pending {
	bool active;
	bool answered; /* the owner said wait */
	uint32_t round;
	uint32_t endpoint;
	uint32_t owner;
	uint64_t epoch;
	uint8_t hops;
	pimento_usec_t patience; /* it came with */
	pimento_usec_t first_no;
	route_retry_t retry;
} pending_t;

typedef struct ours_host {
	owner_t owner;
	route_t route;
	outbox_t out;
	uint32_t owners[WORKLOAD_ENDPOINTS]; /* as this host sees it */
} ours_host_t;

typedef struct ours {
	policy_t policy; /* first member */
	world_t *world;
	ours_host_t hosts[WORLD_HOSTS_MAX];
	pending_t *pending; /* by request */
} ours_t;

static pending_t *pending_of(const ours_t *o, const request_t *r)
{
	return &o->pending[r - o->world->requests];
}

static pimento_reqid_t reqid(const request_t *r)
{
	pimento_reqid_t id = { r->host + 1, r->id * ATTEMPTS + r->attempt };

	return id;
}

/* The request that an id names, NULL if that attempt is over. */
static request_t *request_of(const ours_t *o, pimento_reqid_t id)
{
	request_t *r = &o->world->requests[id.lo / ATTEMPTS - 1];

	if (r->attempt != id.lo % ATTEMPTS || r->host + 1 != id.hi)
		return NULL;
	return pending_of(o, r)->active ? r : NULL;
}

static void pump(ours_t *o, uint32_t host)
{
	pimento_id_t to;
	message_t m;

	while (outbox_take(&o->hosts[host].out, &to, &m))
		world_send(o->world, host, (uint32_t)(to - 1), &m);
}

static uint32_t rendezvous(const ours_t *o, uint32_t host, uint32_t endpoint)
{
	uint64_t best = 0;
	uint32_t found = host;

	for (uint32_t i = 0; i < o->world->hosts; i++) {
		pimento_random_t hash;
		uint64_t score;

		if (!o->world->live[host][i])
			continue;
		pimento_random_init(&hash, endpoint * 7919ULL + i * 104729ULL);
		score = pimento_random_next(&hash);
		if (score >= best) {
			best = score;
			found = i;
		}
	}
	return found;
}

/* The part of the hosts that are not known dead which this one reaches. */
static double reachable_part(const ours_t *o, uint32_t host)
{
	uint32_t reached = 0;
	uint32_t all = 0;

	for (uint32_t i = 0; i < o->world->hosts; i++) {
		all += !o->world->dead[i];
		reached += o->world->live[host][i];
	}
	return (double)reached / all;
}

static void assign(ours_t *o, uint32_t host)
{
	ours_host_t *h = &o->hosts[host];
	world_t *w = o->world;

	for (uint32_t i = 0; i < w->endpoint_count; i++) {
		pimento_id_t id = w->descriptions[i].id;

		h->owners[i] = rendezvous(o, host, i);
		if (w->endpoint_left[i])
			continue;
		if (h->owners[i] == host)
			owner_add_endpoint(&h->owner, w->sim.now,
					   &w->descriptions[i],
					   (uint64_t)w->sim.now + 1,
					   reachable_part(o, host));
		else
			owner_remove_endpoint(&h->owner, w->sim.now, id);
	}
}

static void query_of(const ours_t *o, const request_t *r, route_query_t *query)
{
	memset(query, 0, sizeof(*query));
	query->target = r->class->target;
	query->target_name =
		r->class->target == CONFIG_TARGET_MODEL ? "model" : "shop";
	query->tier = r->class->tier;
	query->time_left = r->deadline - o->world->sim.now;
	query->prompt_tokens = r->prompt;
	query->answer_tokens =
		(r->class->answer_least + r->class->answer_most) / 2;
	query->prefix = r->prefix;
}

static void send_reserve(ours_t *o, request_t *r)
{
	pending_t *p = pending_of(o, r);
	message_t m = { .kind = MESSAGE_RESERVE };
	route_query_t query;

	query_of(o, r, &query);
	m.u.reserve.request = reqid(r);
	m.u.reserve.round = p->round;
	m.u.reserve.endpoint = o->world->descriptions[p->endpoint].id;
	m.u.reserve.account = r->account + 1;
	m.u.reserve.tier = r->class->tier;
	m.u.reserve.hops = p->hops;
	m.u.reserve.time_left = query.time_left;
	m.u.reserve.prompt_tokens = query.prompt_tokens;
	m.u.reserve.answer_tokens = query.answer_tokens;
	m.u.reserve.prefix_hash = query.prefix;
	p->owner = o->hosts[r->host].owners[p->endpoint];
	world_send(o->world, r->host, p->owner, &m);
}

static void reserve_at(ours_t *o, request_t *r, pimento_id_t endpoint,
		       uint8_t hops)
{
	pending_t *p = pending_of(o, r);

	p->endpoint = (uint32_t)(endpoint - 1);
	p->hops = hops;
	p->round++;
	p->answered = false;
	send_reserve(o, r);
}

static void send_progress(ours_t *o, const request_t *r, uint32_t to)
{
	const pending_t *p = pending_of(o, r);
	message_t m = { .kind = MESSAGE_PROGRESS };

	m.u.progress.request = reqid(r);
	m.u.progress.round = p->round;
	m.u.progress.endpoint = o->world->descriptions[p->endpoint].id;
	m.u.progress.epoch = p->epoch;
	m.u.progress.answer_tokens = r->job.made;
	if (r->first_token) {
		m.u.progress.time_to_first_token =
			r->first_token - r->dispatched;
		m.u.progress.decode_time = o->world->sim.now - r->first_token;
	}
	world_send(o->world, r->host, to, &m);
}

static void send_release(ours_t *o, const request_t *r, uint8_t outcome)
{
	const pending_t *p = pending_of(o, r);
	message_t m = { .kind = MESSAGE_RELEASE };

	m.u.release.request = reqid(r);
	m.u.release.round = p->round;
	m.u.release.endpoint = o->world->descriptions[p->endpoint].id;
	m.u.release.epoch = p->epoch;
	m.u.release.outcome = outcome;
	m.u.release.prompt_tokens = r->prompt;
	m.u.release.answer_tokens = r->job.made;
	if (outcome != RELEASE_UNUSED && r->first_token) {
		m.u.release.time_to_first_token =
			r->first_token - r->dispatched;
		m.u.release.decode_time = o->world->sim.now - r->first_token;
	}
	world_send(o->world, r->host, p->owner, &m);
}

/* Says again what may have been lost, and that a slot is still in use. */
static void remind(void *context, void *item, uint64_t id)
{
	ours_t *o = context;
	request_t *r = item;
	pending_t *p = pending_of(o, r);

	if (!p->active || id != reqid(r).lo)
		return;
	if (r->state == REQUEST_DISPATCHED)
		send_progress(o, r, p->owner);
	else if (!p->answered)
		send_reserve(o, r);
	sim_at(&o->world->sim, o->world->sim.now + OWNER_PROGRESS_INTERVAL,
	       remind, o, r, id);
}

static void submit(policy_t *policy, request_t *r)
{
	ours_t *o = (ours_t *)policy;
	pending_t *p = pending_of(o, r);
	pimento_usec_t now = o->world->sim.now;
	route_query_t query;
	route_choice_t choice;

	memset(p, 0, sizeof(*p));
	p->active = true;
	p->patience = r->deadline - now;
	query_of(o, r, &query);
	if (route_pick(&o->hosts[r->host].route, now, &query, &choice)) {
		p->active = false;
		world_refuse(o->world, r, PIMENTO_EUNREACHABLE, PIMENTO_SEC,
			     now);
		return;
	}
	reserve_at(o, r, choice.endpoint, 0);
	sim_at(&o->world->sim, now + OWNER_PROGRESS_INTERVAL, remind, o, r,
	       reqid(r).lo);
}

static void granted(ours_t *o, uint32_t host, uint32_t from,
		    const message_grant_t *grant)
{
	request_t *r = request_of(o, grant->request);
	pimento_usec_t now = o->world->sim.now;
	message_t m = { .kind = MESSAGE_RELEASE };

	route_update_summary(&o->hosts[host].route, now, &grant->summary);
	if (!r || r->state != REQUEST_ENTRY ||
	    pending_of(o, r)->round != grant->round) {
		if (r && pending_of(o, r)->round == grant->round)
			return; /* said twice */
		m.u.release.request = grant->request;
		m.u.release.round = grant->round;
		m.u.release.endpoint = grant->summary.endpoint;
		m.u.release.epoch = grant->epoch;
		world_send(o->world, host, from, &m);
		return;
	}
	pending_of(o, r)->epoch = grant->epoch;
	world_dispatch(o->world, r, pending_of(o, r)->endpoint);
	route_record_prefix(&o->hosts[host].route, now, grant->summary.endpoint,
			    r->prefix, r->prompt);
	r->job.made = 0;
	send_progress(o, r, from);
}

static void refused(ours_t *o, uint32_t host, const message_refuse_t *refuse)
{
	request_t *r = request_of(o, refuse->request);
	pimento_usec_t now = o->world->sim.now;
	pending_t *p;
	route_query_t query;
	route_choice_t choice;
	uint8_t hops;
	int reason;

	if (!r || r->state != REQUEST_ENTRY)
		return;
	p = pending_of(o, r);
	if (p->round != refuse->round)
		return;
	if (!p->first_no)
		p->first_no = now;
	query_of(o, r, &query);
	reason = route_handle_refusal(
		&o->hosts[host].route, now, &p->retry, &query, p->patience,
		o->world->descriptions[p->endpoint].id, refuse, &choice, &hops);
	if (!reason) {
		reserve_at(o, r, choice.endpoint, hops);
		return;
	}
	p->active = false;
	world_refuse(o->world, r, reason, p->retry.retry_after, p->first_no);
}

static void waits(ours_t *o, uint32_t host, const message_wait_t *wait)
{
	request_t *r = request_of(o, wait->request);

	route_update_summary(&o->hosts[host].route, o->world->sim.now,
			     &wait->summary);
	if (r && pending_of(o, r)->round == wait->round) {
		pending_of(o, r)->answered = true;
		pending_of(o, r)->first_no = 0;
	}
}

static void receive(policy_t *policy, uint32_t host, uint32_t from,
		    const message_t *m)
{
	ours_t *o = (ours_t *)policy;
	pimento_usec_t now = o->world->sim.now;

	switch (m->kind) {
	case MESSAGE_GRANT:
		granted(o, host, from, &m->u.grant);
		return;
	case MESSAGE_WAIT:
		waits(o, host, &m->u.wait);
		return;
	case MESSAGE_REFUSE:
		refused(o, host, &m->u.refuse);
		return;
	case MESSAGE_DIGEST:
		for (uint32_t i = 0; i < m->u.digest.count; i++)
			route_update_summary(&o->hosts[host].route, now,
					     &m->u.digest.summaries[i]);
		return;
	default:
		owner_receive(&o->hosts[host].owner, now, from + 1, m);
		pump(o, host);
	}
}

static void first(policy_t *policy, request_t *r)
{
	ours_t *o = (ours_t *)policy;

	send_progress(o, r, pending_of(o, r)->owner);
}

static void done(policy_t *policy, request_t *r)
{
	ours_t *o = (ours_t *)policy;
	pending_t *p = pending_of(o, r);
	pimento_usec_t now = o->world->sim.now;

	route_record_answer(&o->hosts[r->host].route, now,
			    o->world->descriptions[p->endpoint].id, r->prompt,
			    r->answer, r->first_token - r->dispatched,
			    now - r->first_token);
	send_release(o, r, RELEASE_DONE);
	p->active = false;
}

static void left(policy_t *policy, request_t *r)
{
	ours_t *o = (ours_t *)policy;
	pending_t *p = pending_of(o, r);

	if (!p->active)
		return;
	if (!o->world->dead[r->host])
		send_release(o, r,
			     r->state == REQUEST_DISPATCHED ? RELEASE_CANCELLED
							    : RELEASE_UNUSED);
	p->active = false;
}

static void report(policy_t *policy, uint32_t endpoint,
		   const load_report_t *said)
{
	ours_t *o = (ours_t *)policy;
	world_t *w = o->world;

	for (uint32_t i = 0; i < w->hosts; i++) {
		if (w->dead[i])
			continue;
		owner_load_report(&o->hosts[i].owner, w->sim.now,
				  w->descriptions[endpoint].id, said);
		pump(o, i);
	}
}

/* What this entry has with an owner that is none any more. */
static void move(ours_t *o, request_t *r)
{
	pending_t *p = pending_of(o, r);
	uint32_t owner = o->hosts[r->host].owners[p->endpoint];

	if (owner == p->owner)
		return;
	p->owner = owner;
	if (r->state == REQUEST_DISPATCHED)
		send_progress(o, r, owner);
	else if (r->state == REQUEST_ENTRY)
		reserve_at(o, r, o->world->descriptions[p->endpoint].id, 0);
}

static void view(policy_t *policy, uint32_t host)
{
	ours_t *o = (ours_t *)policy;
	world_t *w = o->world;

	assign(o, host);
	for (uint32_t i = 0; i < w->hosts; i++)
		if (!w->live[host][i])
			owner_entry_dead(&o->hosts[host].owner, w->sim.now,
					 i + 1);
	for (uint32_t i = 0; i < w->next_arrival; i++)
		if (w->requests[i].host == host && o->pending[i].active)
			move(o, &w->requests[i]);
	pump(o, host);
}

static void leaving(policy_t *policy, uint32_t endpoint)
{
	ours_t *o = (ours_t *)policy;
	world_t *w = o->world;
	pimento_id_t id = w->descriptions[endpoint].id;

	for (uint32_t i = 0; i < w->hosts; i++) {
		route_set_leaving(&o->hosts[i].route, id, true);
		owner_endpoint_leaving(&o->hosts[i].owner, w->sim.now, id);
		pump(o, i);
	}
}

static uint32_t waiting_below(policy_t *policy, uint32_t host,
			      const request_t *r)
{
	ours_t *o = (ours_t *)policy;
	world_t *w = o->world;
	message_summary_t s;
	uint32_t found = 0;

	for (uint32_t i = 0; i < w->hosts; i++) {
		if (!world_reaches(w, host, i) || !w->live[host][i])
			continue;
		for (uint32_t j = 0; j < w->endpoint_count; j++) {
			if (!world_serves(w, r, j) ||
			    owner_summary(&o->hosts[i].owner, w->sim.now,
					  w->descriptions[j].id, &s))
				continue;
			for (int t = r->class->tier + 1; t < PIMENTO_TIERS_MAX;
			     t++)
				found += s.waiting[t];
		}
	}
	return found;
}

static void tick(void *context, void *item, uint64_t host)
{
	ours_t *o = context;
	world_t *w = o->world;

	(void)item;
	if (w->dead[host])
		return;
	owner_tick(&o->hosts[host].owner, w->sim.now);
	pump(o, (uint32_t)host);
	sim_at(&w->sim, w->sim.now + TICK, tick, o, NULL, host);
}

static void digest(void *context, void *item, uint64_t host)
{
	ours_t *o = context;
	world_t *w = o->world;
	message_t m = { .kind = MESSAGE_DIGEST };
	message_digest_t *d = &m.u.digest;

	(void)item;
	if (w->dead[host])
		return;
	for (uint32_t i = 0; i < w->endpoint_count; i++)
		if (d->count < MESSAGE_SUMMARIES_MAX &&
		    !owner_summary(&o->hosts[host].owner, w->sim.now,
				   w->descriptions[i].id,
				   &d->summaries[d->count]))
			d->count++;
	for (uint32_t i = 0; d->count && i < w->hosts; i++)
		if (w->live[host][i])
			world_send(w, (uint32_t)host, i, &m);
	sim_at(&w->sim, w->sim.now + DIGEST, digest, o, NULL, host);
}

static int start(policy_t *policy, world_t *world)
{
	ours_t *o = (ours_t *)policy;

	o->world = world;
	o->pending = calloc(world->request_count, sizeof(*o->pending));
	if (!o->pending)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < world->hosts; i++) {
		ours_host_t *h = &o->hosts[i];
		owner_options_t options = { .self = i + 1,
					    .seed = i + 1,
					    .waiting_max = WAITING_MAX };

		if (outbox_init(&h->out, OUTBOX) ||
		    owner_init(&h->owner, &options, &h->out) ||
		    route_init(&h->route, i + 1) ||
		    route_configure(&h->route, 0, &world->config))
			return PIMENTO_ENOMEM;
		assign(o, i);
		sim_at(&world->sim, TICK + i, tick, o, NULL, i);
		sim_at(&world->sim, DIGEST + i, digest, o, NULL, i);
	}
	return 0;
}

static void finish(policy_t *policy)
{
	ours_t *o = (ours_t *)policy;

	for (uint32_t i = 0; i < o->world->hosts; i++) {
		owner_finish(&o->hosts[i].owner);
		route_finish(&o->hosts[i].route);
		outbox_finish(&o->hosts[i].out);
	}
	free(o->pending);
	free(o);
}

policy_t *policy_ours(void)
{
	ours_t *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->policy.name = "ours";
	o->policy.start = start;
	o->policy.finish = finish;
	o->policy.submit = submit;
	o->policy.first = first;
	o->policy.done = done;
	o->policy.left = left;
	o->policy.report = report;
	o->policy.receive = receive;
	o->policy.view = view;
	o->policy.leaving = leaving;
	o->policy.waiting_below = waiting_below;
	return &o->policy;
}
