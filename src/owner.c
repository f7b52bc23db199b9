/*
 * The owner is the only one who grants slots of its endpoints, so it knows
 * what is in flight there exactly, whatever late load reports say. It holds
 * reservations, never requests: whatever it forgets, gets twice or takes back
 * costs a slot for a short span, never an answer, because only the entry that
 * holds a request dispatches it, and only on a grant of the round it waits for.
 */

#include "owner.h"

#include "endpoint.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_LEAST (100 * PIMENTO_MSEC)
#define RETRY_MOST (60 * PIMENTO_SEC)
#define ENDPOINTS_FIRST 8
#define GIVE_UP_SPAN (100 * PIMENTO_MSEC) /* for all last visits */

/* Waiting takes longer than it seems: what is more urgent still comes. */
#define WAIT_MARGIN 1.25

int owner_init(owner_t *owner, const owner_options_t *options, outbox_t *out)
{
	memset(owner, 0, sizeof(*owner));
	owner->options = *options;
	owner->out = out;
	pimento_random_init(&owner->random, options->seed);
	heap_init(&owner->due, offsetof(reservation_t, place_due));
	return reservation_table_init(&owner->reservations);
}

static owner_endpoint_t *find(const owner_t *owner, pimento_id_t endpoint)
{
	for (uint32_t i = 0; i < owner->count; i++)
		if (owner->endpoints[i]->config.id == endpoint)
			return owner->endpoints[i];
	return NULL;
}

static uint32_t weight_of(const owner_t *owner, pimento_id_t account)
{
	uint32_t low = 0;
	uint32_t high = owner->account_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (owner->accounts[middle].id == account)
			return owner->accounts[middle].weight;
		if (owner->accounts[middle].id < account)
			low = middle + 1;
		else
			high = middle;
	}
	return 1;
}

static int account_order(const void *a, const void *b)
{
	const owner_account_t *left = a;
	const owner_account_t *right = b;

	return (left->id > right->id) - (left->id < right->id);
}

int owner_configure(owner_t *owner, const pimento_config_t *config)
{
	uint32_t n = config->account_count;
	owner_account_t *accounts = calloc(n + 1, sizeof(*accounts));

	if (!accounts)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < n; i++) {
		accounts[i].id = config->accounts[i].id;
		accounts[i].weight = config->accounts[i].weight;
		if (!accounts[i].weight)
			accounts[i].weight = 1;
	}
	qsort(accounts, n, sizeof(*accounts), account_order);
	free(owner->accounts);
	owner->accounts = accounts;
	owner->account_count = n;
	return 0;
}

static void send_wait(owner_t *owner, pimento_usec_t now,
		      const reservation_t *r)
{
	message_t m = { .kind = MESSAGE_WAIT };

	m.u.wait.request = r->asked.request;
	m.u.wait.round = r->asked.round;
	m.u.wait.expected_wait =
		endpoint_wait_time(r->endpoint, now, r->item.tier);
	endpoint_fill_summary(r->endpoint, now, &m.u.wait.summary);
	outbox_put(owner->out, r->entry, &m);
}

static void send_grant(owner_t *owner, pimento_usec_t now,
		       const reservation_t *r)
{
	message_t m = { .kind = MESSAGE_GRANT };

	m.u.grant.request = r->asked.request;
	m.u.grant.round = r->asked.round;
	m.u.grant.epoch = r->endpoint->epoch;
	m.u.grant.lifetime = r->due - now;
	endpoint_fill_summary(r->endpoint, now, &m.u.grant.summary);
	outbox_put(owner->out, r->entry, &m);
}

/*
 * Another endpoint of ours that might take what this one refuses: one with
 * less urgent work waiting, which has to go first, or with the shortest line.
 */
static pimento_id_t elsewhere(const owner_t *owner, pimento_usec_t now,
			      const owner_endpoint_t *not_here, uint8_t tier)
{
	pimento_usec_t best = PIMENTO_NEVER;
	pimento_id_t found = 0;

	for (uint32_t i = 0; i < owner->count; i++) {
		const owner_endpoint_t *e = owner->endpoints[i];
		pimento_usec_t wait;

		if (e == not_here || e->leaving ||
		    !endpoint_same_target(e, not_here))
			continue;
		wait = endpoint_wait_time(e, now, tier);
		if (wait < best) {
			best = wait;
			found = e->config.id;
		}
	}
	return found;
}

static pimento_usec_t retry_after(owner_t *owner, pimento_usec_t now,
				  const owner_endpoint_t *e, uint8_t tier)
{
	pimento_usec_t wait = e ? endpoint_wait_time(e, now, tier) : 0;

	if (wait < RETRY_LEAST)
		wait = RETRY_LEAST;
	if (wait > RETRY_MOST)
		wait = RETRY_MOST;
	/* Spread, or all who are refused now come back together. */
	return wait + (pimento_usec_t)(pimento_random_unit(&owner->random) *
				       (double)wait);
}

static void send_refuse(owner_t *owner, pimento_usec_t now, pimento_id_t to,
			const message_reserve_t *asked, owner_endpoint_t *e,
			int reason)
{
	message_t m = { .kind = MESSAGE_REFUSE };
	message_refuse_t *refuse = &m.u.refuse;

	refuse->request = asked->request;
	refuse->round = asked->round;
	refuse->reason = reason;
	refuse->retry_after = retry_after(owner, now, e, asked->tier);
	if (e) {
		refuse->alternative_endpoint =
			elsewhere(owner, now, e, asked->tier);
		endpoint_fill_summary(e, now, &refuse->summary);
	}
	outbox_put(owner->out, to, &m);
}

/* Takes a reservation out of everything and frees it. */
static void discard(owner_t *owner, reservation_t *r)
{
	if (r->state == RESERVATION_WAITING) {
		queue_remove(&r->endpoint->queue, &r->item);
		owner->waiting--;
	} else {
		endpoint_remove_reservation(r->endpoint, r);
	}
	heap_remove(&owner->due, r);
	reservation_remove(&owner->reservations, r);
}

static void refuse(owner_t *owner, pimento_usec_t now, reservation_t *r,
		   int reason)
{
	message_reserve_t asked = r->asked;
	owner_endpoint_t *e = r->endpoint;
	pimento_id_t to = r->entry;

	discard(owner, r);
	send_refuse(owner, now, to, &asked, e, reason);
}

static void grant(owner_t *owner, pimento_usec_t now, reservation_t *r)
{
	queue_grant(&r->endpoint->queue, &r->item);
	owner->waiting--;
	r->state = RESERVATION_GRANTED;
	r->due = now + OWNER_LIFETIME;
	heap_put(&owner->due, r, r->due);
	endpoint_add_reservation(r->endpoint, now, r);
	send_grant(owner, now, r);
}

/*
 * Grants in the order of the line. A request that finds no slot holds up all
 * behind it; one that only has to wait until prompts are read lets shorter
 * prompts pass, which does not put it off: they never fill the span that has
 * to be free for it.
 */
static void grant_what_fits(owner_t *owner, pimento_usec_t now,
			    owner_endpoint_t *e)
{
	for (uint8_t tier = 0; tier < PIMENTO_TIERS_MAX; tier++) {
		reservation_t *r;

		while ((r = (reservation_t *)queue_first(&e->queue, tier)) &&
		       endpoint_fits(e, now, r))
			grant(owner, now, r);
		if (r && e->running >= endpoint_tier_slots(e, now, tier))
			return;
	}
}

/*
 * Refuses the end of each line that the line in front of it leaves no time
 * for, least urgent first, so that its callers know at once.
 */
static void refuse_hopeless(owner_t *owner, pimento_usec_t now,
			    owner_endpoint_t *e)
{
	if (!endpoint_speed_measured(e))
		return;
	for (int tier = PIMENTO_TIERS_MAX - 1; tier >= 0; tier--) {
		reservation_t *r;

		while ((r = (reservation_t *)queue_last(&e->queue, tier))) {
			pimento_usec_t wait = endpoint_wait_time(e, now, tier);

			if (now + wait <= r->item.deadline)
				break;
			refuse(owner, now, r, PIMENTO_ELATE);
		}
	}
}

static void displace_lowest(owner_t *owner, pimento_usec_t now)
{
	owner_endpoint_t *from = NULL;
	int lowest = -1;

	for (uint32_t i = 0; i < owner->count; i++) {
		int tier = queue_lowest(&owner->endpoints[i]->queue);

		if (tier > lowest) {
			lowest = tier;
			from = owner->endpoints[i];
		}
	}
	if (from)
		refuse(owner, now,
		       (reservation_t *)queue_last(&from->queue, lowest),
		       PIMENTO_EBUSY);
}

/* Sheds what is less urgent than a request that is given up next. */
static void shed_below(owner_t *owner, pimento_usec_t now,
		       const owner_endpoint_t *like, uint8_t tier)
{
	for (uint32_t i = 0; i < owner->count; i++) {
		owner_endpoint_t *e = owner->endpoints[i];
		int lowest;

		if (!endpoint_same_target(e, like))
			continue;
		e->tier_floor_until[tier] = now + OWNER_FLOOR;
		while ((lowest = queue_lowest(&e->queue)) > tier)
			refuse(owner, now,
			       (reservation_t *)queue_last(&e->queue, lowest),
			       PIMENTO_EBUSY);
	}
}

static bool above_floor(const owner_endpoint_t *e, pimento_usec_t now,
			uint8_t tier)
{
	for (uint8_t i = 0; i < tier; i++)
		if (now < e->tier_floor_until[i])
			return false;
	return true;
}

/*
 * From when on it can no longer finish in time. At the deadline itself, as with
 * an endpoint whose speed is not known, its caller would be gone before the
 * refusal and what is less urgent were settled.
 */
static pimento_usec_t latest_start(const reservation_t *r)
{
	pimento_usec_t service = endpoint_service_time(r->endpoint, &r->asked);

	if (service < GIVE_UP_SPAN && r->asked.time_left > 2 * GIVE_UP_SPAN)
		service = GIVE_UP_SPAN;
	return r->item.deadline - service;
}

static reservation_t *enter(owner_t *owner, pimento_usec_t now,
			    pimento_id_t from, owner_endpoint_t *e,
			    const message_reserve_t *asked)
{
	reservation_t *r =
		reservation_add(&owner->reservations, asked->request);

	if (!r)
		return NULL;
	r->asked = *asked;
	r->entry = from;
	r->endpoint = e;
	r->state = RESERVATION_WAITING;
	r->item.tier = asked->tier;
	r->item.account = asked->account;
	r->item.deadline = now + asked->time_left;
	r->item.work = endpoint_busy_time(e, asked);
	r->due = latest_start(r);
	if (heap_put(&owner->due, r, r->due) ||
	    queue_put(&e->queue, &r->item, weight_of(owner, asked->account))) {
		heap_remove(&owner->due, r);
		reservation_remove(&owner->reservations, r);
		return NULL;
	}
	owner->waiting++;
	return r;
}

/* What to refuse a new reservation with at once; 0 to take it. */
static int judge(const owner_t *owner, pimento_usec_t now,
		 const owner_endpoint_t *e, const message_reserve_t *asked)
{
	pimento_usec_t wait;
	pimento_usec_t service;

	(void)owner;
	if (e->leaving)
		return PIMENTO_ELEAVING;
	if (asked->hops == OWNER_HOPS_SHED)
		return PIMENTO_EBUSY;
	wait = endpoint_wait_time(e, now, asked->tier);
	service = endpoint_service_time(e, asked);
	if (endpoint_speed_measured(e) &&
	    (double)wait * WAIT_MARGIN + (double)service >
		    (double)asked->time_left)
		return PIMENTO_ELATE;
	return 0;
}

static void reserve_new(owner_t *owner, pimento_usec_t now, pimento_id_t from,
			const message_reserve_t *asked)
{
	owner_endpoint_t *e = find(owner, asked->endpoint);
	pimento_reqid_t request = asked->request;
	reservation_t *r;
	int reason;

	if (!e) {
		send_refuse(owner, now, from, asked, NULL, PIMENTO_ESTALE);
		return;
	}
	reason = judge(owner, now, e, asked);
	if (reason) {
		if (asked->hops >= OWNER_HOPS_SHED)
			shed_below(owner, now, e, asked->tier);
		send_refuse(owner, now, from, asked, e, reason);
		return;
	}
	if (!enter(owner, now, from, e, asked)) {
		send_refuse(owner, now, from, asked, e, PIMENTO_EBUSY);
		return;
	}
	grant_what_fits(owner, now, e);
	if (owner->waiting > owner->options.waiting_max)
		displace_lowest(owner, now);
	refuse_hopeless(owner, now, e);
	r = reservation_find(&owner->reservations, request);
	if (!r || r->state != RESERVATION_WAITING)
		return;
	if (above_floor(e, now, asked->tier)) {
		send_wait(owner, now, r);
		return;
	}
	if (asked->hops >= OWNER_HOPS_SHED)
		shed_below(owner, now, e, asked->tier);
	refuse(owner, now, r, PIMENTO_EBUSY);
}

static void reserve(owner_t *owner, pimento_usec_t now, pimento_id_t from,
		    const message_reserve_t *asked)
{
	reservation_t *r =
		reservation_find(&owner->reservations, asked->request);

	if (asked->tier >= PIMENTO_TIERS_MAX) {
		send_refuse(owner, now, from, asked, NULL, PIMENTO_EINVAL);
		return;
	}
	if (r && asked->round < r->asked.round)
		return;
	if (r && asked->round == r->asked.round) {
		if (r->state == RESERVATION_WAITING)
			send_wait(owner, now, r);
		else if (r->state == RESERVATION_GRANTED)
			send_grant(owner, now, r);
		return;
	}
	if (r) {
		owner_endpoint_t *before = r->endpoint;

		discard(owner, r);
		grant_what_fits(owner, now, before);
	}
	reserve_new(owner, now, from, asked);
}

/* What came since the last word on this dispatch. */
static void learn(reservation_t *r, pimento_usec_t now, uint32_t answer_tokens,
		  pimento_usec_t first_token, pimento_usec_t decode)
{
	limit_t *limit = &r->endpoint->limit;
	limit_load_t load = endpoint_load(r->endpoint);

	if (r->endpoint->config.target == CONFIG_TARGET_SERVICE)
		return;
	if (first_token > 0 && !r->first_token)
		limit_first_token(limit, now, r->ahead + r->asked.prompt_tokens,
				  first_token, &load);
	/* Without a first token the span is that of all tokens. */
	if (answer_tokens > r->answered && decode > r->decode &&
	    (r->answered || first_token <= 0))
		limit_decoded(limit, answer_tokens - r->answered,
			      decode - r->decode);
	if (decode > r->decode)
		r->decode = decode;
}

static void release(owner_t *owner, pimento_usec_t now,
		    const message_release_t *said)
{
	reservation_t *r =
		reservation_find(&owner->reservations, said->request);
	owner_endpoint_t *e;
	limit_load_t load;

	if (!r || said->round < r->asked.round)
		return;
	e = r->endpoint;
	load = endpoint_load(e);
	if (r->state != RESERVATION_WAITING &&
	    said->outcome != RELEASE_UNUSED) {
		learn(r, now, said->answer_tokens, said->time_to_first_token,
		      said->decode_time);
		if (e->config.target == CONFIG_TARGET_SERVICE &&
		    said->time_to_first_token > 0)
			limit_served(&e->limit, now,
				     said->time_to_first_token +
					     said->decode_time,
				     &load);
	}
	if (said->outcome == RELEASE_FAILED)
		limit_failed(&e->limit, now);
	discard(owner, r);
	grant_what_fits(owner, now, e);
}

/*
 * A dispatch that this owner knows nothing of: granted by the owner before, or
 * its grant's lifetime ended here while the entry's word was on its way.
 * Uncounted it would let one request too many in at the endpoint.
 */
static void adopt(owner_t *owner, pimento_usec_t now, pimento_id_t from,
		  const message_progress_t *said)
{
	owner_endpoint_t *e = find(owner, said->endpoint);
	reservation_t *r;

	if (!e)
		return;
	r = reservation_add(&owner->reservations, said->request);
	if (!r)
		return;
	r->asked.round = said->round;
	r->asked.endpoint = said->endpoint;
	r->entry = from;
	r->endpoint = e;
	r->state = RESERVATION_RUNNING;
	r->first_token = said->time_to_first_token > 0;
	r->answered = said->answer_tokens;
	r->decode = said->decode_time;
	r->due = now + OWNER_LEASE;
	if (heap_put(&owner->due, r, r->due)) {
		reservation_remove(&owner->reservations, r);
		return;
	}
	endpoint_add_reservation(e, now, r);
}

static void progress(owner_t *owner, pimento_usec_t now, pimento_id_t from,
		     const message_progress_t *said)
{
	reservation_t *r =
		reservation_find(&owner->reservations, said->request);

	if (!r) {
		adopt(owner, now, from, said);
		return;
	}
	if (r->state == RESERVATION_WAITING || said->round != r->asked.round)
		return;
	learn(r, now, said->answer_tokens, said->time_to_first_token,
	      said->decode_time);
	r->state = RESERVATION_RUNNING;
	if (said->time_to_first_token > 0)
		endpoint_prefill_done(r->endpoint, r);
	else
		endpoint_check_first_token(r->endpoint, now, r);
	endpoint_update_answered(r->endpoint, r, said->answer_tokens);
	r->due = now + OWNER_LEASE;
	heap_put(&owner->due, r, r->due);
	grant_what_fits(owner, now, r->endpoint);
}

int owner_receive(owner_t *owner, pimento_usec_t now, pimento_id_t from,
		  const message_t *message)
{
	switch (message->kind) {
	case MESSAGE_RESERVE:
		reserve(owner, now, from, &message->u.reserve);
		return 0;
	case MESSAGE_RELEASE:
		release(owner, now, &message->u.release);
		return 0;
	case MESSAGE_PROGRESS:
		progress(owner, now, from, &message->u.progress);
		return 0;
	default:
		return PIMENTO_EINVAL;
	}
}

/* Refuses all that waits at an endpoint, least urgent first. */
static void refuse_all(owner_t *owner, pimento_usec_t now, owner_endpoint_t *e,
		       int reason)
{
	int tier;

	while ((tier = queue_lowest(&e->queue)) >= 0)
		refuse(owner, now, (reservation_t *)queue_last(&e->queue, tier),
		       reason);
}

static int add(owner_t *owner, owner_endpoint_t *e)
{
	uint32_t n = owner->capacity ? owner->capacity * 2 : ENDPOINTS_FIRST;
	owner_endpoint_t **grown;

	if (owner->count == owner->capacity) {
		grown = realloc(owner->endpoints,
				n * sizeof(owner_endpoint_t *));
		if (!grown)
			return PIMENTO_ENOMEM;
		owner->endpoints = grown;
		owner->capacity = n;
	}
	owner->endpoints[owner->count++] = e;
	return 0;
}

int owner_take(owner_t *owner, pimento_usec_t now,
	       const config_endpoint_t *endpoint, uint64_t epoch, double weight)
{
	owner_endpoint_t *e = find(owner, endpoint->id);

	if (e) {
		e->config = *endpoint;
		e->epoch = epoch;
		e->weight = weight;
		limit_cap(&e->limit, endpoint->concurrency);
		grant_what_fits(owner, now, e);
		return 0;
	}
	e = endpoint_new(endpoint, epoch, weight);
	if (!e)
		return PIMENTO_ENOMEM;
	if (!add(owner, e))
		return 0;
	endpoint_free(e);
	return PIMENTO_ENOMEM;
}

void owner_drop(owner_t *owner, pimento_usec_t now, pimento_id_t endpoint)
{
	owner_endpoint_t *e = find(owner, endpoint);

	if (!e)
		return;
	e->leaving = true;
	refuse_all(owner, now, e, PIMENTO_ESTALE);
	while (e->in_flight)
		discard(owner, e->in_flight);
	for (uint32_t i = 0; i < owner->count; i++)
		if (owner->endpoints[i] == e)
			owner->endpoints[i] = owner->endpoints[--owner->count];
	endpoint_free(e);
}

void owner_leaving(owner_t *owner, pimento_usec_t now, pimento_id_t endpoint)
{
	owner_endpoint_t *e = find(owner, endpoint);

	if (!e || e->leaving)
		return;
	e->leaving = true;
	refuse_all(owner, now, e, PIMENTO_ELEAVING);
}

void owner_returned(owner_t *owner, pimento_usec_t now, pimento_id_t endpoint)
{
	owner_endpoint_t *e = find(owner, endpoint);

	if (!e || !e->leaving)
		return;
	e->leaving = false;
	grant_what_fits(owner, now, e);
}

void owner_forget(owner_t *owner, pimento_usec_t now, pimento_id_t entry)
{
	reservation_table_t *table = &owner->reservations;

	for (uint32_t i = 0; i < table->size; i++) {
		reservation_t *r = table->chains[i];

		while (r) {
			reservation_t *next = r->next;

			if (r->entry == entry &&
			    r->state != RESERVATION_RUNNING)
				discard(owner, r);
			r = next;
		}
	}
	for (uint32_t i = 0; i < owner->count; i++)
		grant_what_fits(owner, now, owner->endpoints[i]);
}

void owner_report(owner_t *owner, pimento_usec_t now, pimento_id_t endpoint,
		  const load_report_t *report)
{
	owner_endpoint_t *e = find(owner, endpoint);

	if (!e)
		return;
	if (report->leaving)
		owner_leaving(owner, now, endpoint);
	endpoint_apply_load_report(e, now, report);
	grant_what_fits(owner, now, e);
}

/* The time of a reservation has come. */
static void fall_due(owner_t *owner, pimento_usec_t now, reservation_t *r)
{
	owner_endpoint_t *e = r->endpoint;

	if (r->state != RESERVATION_WAITING) {
		discard(owner, r);
		grant_what_fits(owner, now, e);
		return;
	}
	r->due = latest_start(r);
	if (r->due <= now)
		refuse(owner, now, r, PIMENTO_ELATE);
	else
		heap_put(&owner->due, r, r->due);
}

void owner_tick(owner_t *owner, pimento_usec_t now)
{
	while (heap_top_key(&owner->due) <= now)
		fall_due(owner, now, heap_top(&owner->due));
	for (uint32_t i = 0; i < owner->count; i++) {
		grant_what_fits(owner, now, owner->endpoints[i]);
		refuse_hopeless(owner, now, owner->endpoints[i]);
	}
}

pimento_usec_t owner_deadline(const owner_t *owner)
{
	return heap_top_key(&owner->due);
}

int owner_summary(const owner_t *owner, pimento_usec_t now,
		  pimento_id_t endpoint, message_summary_t *summary)
{
	const owner_endpoint_t *e = find(owner, endpoint);

	if (!e)
		return PIMENTO_ENOTFOUND;
	endpoint_fill_summary(e, now, summary);
	return 0;
}

void owner_finish(owner_t *owner)
{
	while (owner->count) {
		owner_endpoint_t *e = owner->endpoints[0];
		int tier;

		while ((tier = queue_lowest(&e->queue)) >= 0)
			discard(owner,
				(reservation_t *)queue_last(&e->queue, tier));
		while (e->in_flight)
			discard(owner, e->in_flight);
		owner->endpoints[0] = owner->endpoints[--owner->count];
		endpoint_free(e);
	}
	free(owner->endpoints);
	free(owner->accounts);
	heap_finish(&owner->due);
	reservation_table_finish(&owner->reservations);
	memset(owner, 0, sizeof(*owner));
}
