/*
 * Only the owner grants slots of its endpoints, so it knows exactly what is in
 * flight there, however old the endpoints' load reports are. It holds
 * reservations, never requests. A reservation that it loses, receives twice or
 * revokes costs a slot for a short time but never an answer, because only the
 * entry that holds a request dispatches it, and only on a grant of the round
 * that it waits for.
 */

#include "owner.h"

#include "endpoint.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER_MIN (100 * PIMENTO_MSEC)
#define RETRY_AFTER_MAX (60 * PIMENTO_SEC)
#define ENDPOINTS_INITIAL 8
/* Time that a refused request needs for its final attempts at all owners. */
#define REFUSAL_MARGIN (100 * PIMENTO_MSEC)

/*
 * Requests of more urgent tiers that arrive later lengthen a wait, so the
 * estimate is multiplied by this.
 */
#define WAIT_ESTIMATE_FACTOR 1.25

int owner_init(owner_t *owner, const owner_options_t *options, outbox_t *out)
{
	memset(owner, 0, sizeof(*owner));
	owner->options = *options;
	owner->out = out;
	pimento_random_init(&owner->random, options->seed);
	heap_init(&owner->due, offsetof(reservation_t, due_index));
	return reservation_table_init(&owner->reservations);
}

static owner_endpoint_t *find_endpoint(const owner_t *owner,
				       pimento_id_t endpoint)
{
	for (uint32_t i = 0; i < owner->count; i++)
		if (owner->endpoints[i]->config.id == endpoint)
			return owner->endpoints[i];
	return NULL;
}

static uint32_t account_weight(const owner_t *owner, pimento_id_t account)
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

static int compare_accounts(const void *a, const void *b)
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
	qsort(accounts, n, sizeof(*accounts), compare_accounts);
	free(owner->accounts);
	owner->accounts = accounts;
	owner->account_count = n;
	return 0;
}

static void send_wait(owner_t *owner, pimento_usec_t now,
		      const reservation_t *r)
{
	message_t m = { .kind = MESSAGE_WAIT };

	m.u.wait.request = r->params.request;
	m.u.wait.round = r->params.round;
	m.u.wait.expected_wait =
		endpoint_wait_time(r->endpoint, now, r->item.tier);
	endpoint_fill_summary(r->endpoint, now, &m.u.wait.summary);
	outbox_put(owner->out, r->entry, &m);
}

static void send_grant(owner_t *owner, pimento_usec_t now,
		       const reservation_t *r)
{
	message_t m = { .kind = MESSAGE_GRANT };

	m.u.grant.request = r->params.request;
	m.u.grant.round = r->params.round;
	m.u.grant.epoch = r->endpoint->epoch;
	m.u.grant.lifetime = r->due - now;
	endpoint_fill_summary(r->endpoint, now, &m.u.grant.summary);
	outbox_put(owner->out, r->entry, &m);
}

/*
 * Returns another endpoint of this owner that might accept what this one
 * refuses, 0 if there is none: the one with the shortest wait for the tier,
 * which ignores work of lower priority.
 */
static pimento_id_t find_alternative(const owner_t *owner, pimento_usec_t now,
				     const owner_endpoint_t *refusing,
				     uint8_t tier)
{
	pimento_usec_t best = PIMENTO_NEVER;
	pimento_id_t found = 0;

	for (uint32_t i = 0; i < owner->count; i++) {
		const owner_endpoint_t *e = owner->endpoints[i];
		pimento_usec_t wait;

		if (e == refusing || e->leaving ||
		    !endpoint_same_target(e, refusing))
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

	if (wait < RETRY_AFTER_MIN)
		wait = RETRY_AFTER_MIN;
	if (wait > RETRY_AFTER_MAX)
		wait = RETRY_AFTER_MAX;
	/*
	 * Random, so that callers refused at the same time do not all retry at
	 * once.
	 */
	return wait + (pimento_usec_t)(pimento_random_unit(&owner->random) *
				       (double)wait);
}

static void send_refuse(owner_t *owner, pimento_usec_t now, pimento_id_t to,
			const message_reserve_t *params, owner_endpoint_t *e,
			int reason)
{
	message_t m = { .kind = MESSAGE_REFUSE };
	message_refuse_t *refuse = &m.u.refuse;

	refuse->request = params->request;
	refuse->round = params->round;
	refuse->reason = reason;
	refuse->retry_after = retry_after(owner, now, e, params->tier);
	if (e) {
		refuse->alternative_endpoint =
			find_alternative(owner, now, e, params->tier);
		endpoint_fill_summary(e, now, &refuse->summary);
	}
	outbox_put(owner->out, to, &m);
}

/* Removes a reservation from all queues and tables and frees it. */
static void discard_reservation(owner_t *owner, reservation_t *r)
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

static void refuse_reservation(owner_t *owner, pimento_usec_t now,
			       reservation_t *r, int reason)
{
	message_reserve_t params = r->params;
	owner_endpoint_t *e = r->endpoint;
	pimento_id_t to = r->entry;

	discard_reservation(owner, r);
	send_refuse(owner, now, to, &params, e, reason);
}

static void grant_reservation(owner_t *owner, pimento_usec_t now,
			      reservation_t *r)
{
	queue_grant(&r->endpoint->queue, &r->item);
	owner->waiting--;
	r->state = RESERVATION_GRANTED;
	r->due = now + OWNER_GRANT_LIFETIME;
	heap_put(&owner->due, r, r->due);
	endpoint_add_reservation(r->endpoint, now, r);
	send_grant(owner, now, r);
}

/*
 * Grants waiting requests in queue order, most urgent tier first. A request
 * that finds no free slot blocks all behind it. One that only waits until
 * earlier prompts are read lets shorter prompts pass: these do not delay it,
 * because they never fill the prefill time that it needs free.
 */
static void grant_waiting_requests(owner_t *owner, pimento_usec_t now,
				   owner_endpoint_t *e)
{
	for (uint8_t tier = 0; tier < PIMENTO_TIERS_MAX; tier++) {
		reservation_t *r;

		while ((r = (reservation_t *)queue_next(&e->queue, tier)) &&
		       endpoint_fits(e, now, r))
			grant_reservation(owner, now, r);
		if (r && e->running >= endpoint_tier_slots(e, now, tier))
			return;
	}
}

/*
 * Refuses queued requests that the work queued before them leaves no time for,
 * least urgent first, so that their callers learn of it at once.
 */
static void refuse_overdue(owner_t *owner, pimento_usec_t now,
			   owner_endpoint_t *e)
{
	if (!endpoint_speed_measured(e))
		return;
	for (int tier = PIMENTO_TIERS_MAX - 1; tier >= 0; tier--) {
		reservation_t *r;

		while ((r = (reservation_t *)queue_victim(&e->queue, tier))) {
			pimento_usec_t wait = endpoint_wait_time(e, now, tier);

			if (now + wait <= r->item.deadline)
				break;
			refuse_reservation(owner, now, r, PIMENTO_EDEADLINE);
		}
	}
}

static void evict_lowest_tier(owner_t *owner, pimento_usec_t now)
{
	owner_endpoint_t *from = NULL;
	int lowest = -1;

	for (uint32_t i = 0; i < owner->count; i++) {
		int tier = queue_least_urgent_tier(&owner->endpoints[i]->queue);

		if (tier > lowest) {
			lowest = tier;
			from = owner->endpoints[i];
		}
	}
	if (from)
		refuse_reservation(
			owner, now,
			(reservation_t *)queue_victim(&from->queue, lowest),
			PIMENTO_EBUSY);
}

/*
 * Refuses everything of lower priority than a request that is about to be
 * rejected, at all endpoints of its target.
 */
static void shed_lower_tiers(owner_t *owner, pimento_usec_t now,
			     const owner_endpoint_t *reference, uint8_t tier)
{
	for (uint32_t i = 0; i < owner->count; i++) {
		owner_endpoint_t *e = owner->endpoints[i];
		int lowest;

		if (!endpoint_same_target(e, reference))
			continue;
		e->tier_floor_until[tier] = now + OWNER_TIER_FLOOR_SPAN;
		while ((lowest = queue_least_urgent_tier(&e->queue)) > tier)
			refuse_reservation(owner, now,
					   (reservation_t *)queue_victim(
						   &e->queue, lowest),
					   PIMENTO_EBUSY);
	}
}

static bool tier_may_wait(const owner_endpoint_t *e, pimento_usec_t now,
			  uint8_t tier)
{
	for (uint8_t i = 0; i < tier; i++)
		if (now < e->tier_floor_until[i])
			return false;
	return true;
}

/*
 * Time from which on a waiting request can no longer finish in time. While the
 * endpoint's speed is unknown this would be the deadline itself, and the caller
 * would be gone before the refusal arrived and requests of lower priority were
 * shed. REFUSAL_MARGIN leaves time for both.
 */
static pimento_usec_t latest_start(const reservation_t *r)
{
	pimento_usec_t service = endpoint_service_time(r->endpoint, &r->params);

	if (service < REFUSAL_MARGIN &&
	    r->params.time_left > 2 * REFUSAL_MARGIN)
		service = REFUSAL_MARGIN;
	return r->item.deadline - service;
}

static reservation_t *enqueue(owner_t *owner, pimento_usec_t now,
			      pimento_id_t from, owner_endpoint_t *e,
			      const message_reserve_t *params)
{
	reservation_t *r =
		reservation_add(&owner->reservations, params->request);

	if (!r)
		return NULL;
	r->params = *params;
	r->entry = from;
	r->endpoint = e;
	r->state = RESERVATION_WAITING;
	r->item.tier = params->tier;
	r->item.account = params->account;
	r->item.deadline = now + params->time_left;
	r->item.work = endpoint_busy_time(e, params);
	r->due = latest_start(r);
	if (heap_put(&owner->due, r, r->due) ||
	    queue_put(&e->queue, &r->item,
		      account_weight(owner, params->account))) {
		heap_remove(&owner->due, r);
		reservation_remove(&owner->reservations, r);
		return NULL;
	}
	owner->waiting++;
	return r;
}

/*
 * Returns the error with which a new reservation is refused at once, 0 to
 * accept it.
 */
static int refusal_reason(const owner_t *owner, pimento_usec_t now,
			  const owner_endpoint_t *e,
			  const message_reserve_t *params)
{
	pimento_usec_t wait;
	pimento_usec_t service;

	(void)owner;
	if (e->leaving)
		return PIMENTO_ELEAVING;
	if (params->hops == OWNER_HOPS_SHED_ONLY)
		return PIMENTO_EBUSY;
	wait = endpoint_wait_time(e, now, params->tier);
	service = endpoint_service_time(e, params);
	if (endpoint_speed_measured(e) &&
	    (double)wait * WAIT_ESTIMATE_FACTOR + (double)service >
		    (double)params->time_left)
		return PIMENTO_EDEADLINE;
	return 0;
}

static void reserve_new(owner_t *owner, pimento_usec_t now, pimento_id_t from,
			const message_reserve_t *params)
{
	owner_endpoint_t *e = find_endpoint(owner, params->endpoint);
	pimento_reqid_t request = params->request;
	reservation_t *r;
	int reason;

	if (!e) {
		send_refuse(owner, now, from, params, NULL, PIMENTO_ESTALE);
		return;
	}
	reason = refusal_reason(owner, now, e, params);
	if (reason) {
		if (params->hops >= OWNER_HOPS_SHED_ONLY)
			shed_lower_tiers(owner, now, e, params->tier);
		send_refuse(owner, now, from, params, e, reason);
		return;
	}
	if (!enqueue(owner, now, from, e, params)) {
		send_refuse(owner, now, from, params, e, PIMENTO_EBUSY);
		return;
	}
	grant_waiting_requests(owner, now, e);
	if (owner->waiting > owner->options.waiting_max)
		evict_lowest_tier(owner, now);
	refuse_overdue(owner, now, e);
	r = reservation_find(&owner->reservations, request);
	if (!r || r->state != RESERVATION_WAITING)
		return;
	if (tier_may_wait(e, now, params->tier)) {
		send_wait(owner, now, r);
		return;
	}
	if (params->hops >= OWNER_HOPS_SHED_ONLY)
		shed_lower_tiers(owner, now, e, params->tier);
	refuse_reservation(owner, now, r, PIMENTO_EBUSY);
}

static void handle_reserve(owner_t *owner, pimento_usec_t now,
			   pimento_id_t from, const message_reserve_t *params)
{
	reservation_t *r =
		reservation_find(&owner->reservations, params->request);

	if (params->tier >= PIMENTO_TIERS_MAX) {
		send_refuse(owner, now, from, params, NULL, PIMENTO_EINVAL);
		return;
	}
	if (r && params->round < r->params.round)
		return;
	if (r && params->round == r->params.round) {
		if (r->state == RESERVATION_WAITING)
			send_wait(owner, now, r);
		else if (r->state == RESERVATION_GRANTED)
			send_grant(owner, now, r);
		return;
	}
	if (r) {
		owner_endpoint_t *before = r->endpoint;

		discard_reservation(owner, r);
		grant_waiting_requests(owner, now, before);
	}
	reserve_new(owner, now, from, params);
}

/*
 * Updates the learnt rates with the tokens that a dispatch made since its last
 * report.
 */
static void record_rates(reservation_t *r, pimento_usec_t now,
			 uint32_t answer_tokens, pimento_usec_t first_token,
			 pimento_usec_t decode)
{
	limit_t *limit = &r->endpoint->limit;
	limit_load_t load = endpoint_load(r->endpoint);

	if (r->endpoint->config.target == CONFIG_TARGET_SERVICE)
		return;
	if (first_token > 0 && !r->has_first_token)
		limit_observe_first_token(
			limit, now, r->prefill_ahead + r->params.prompt_tokens,
			first_token, &load);
	/* If the first token's time is unknown, decode covers all tokens. */
	if (answer_tokens > r->answer_tokens && decode > r->decode_span &&
	    (r->answer_tokens || first_token <= 0))
		limit_observe_decode(limit, answer_tokens - r->answer_tokens,
				     decode - r->decode_span);
	if (decode > r->decode_span)
		r->decode_span = decode;
}

static void handle_release(owner_t *owner, pimento_usec_t now,
			   const message_release_t *reported)
{
	reservation_t *r =
		reservation_find(&owner->reservations, reported->request);
	owner_endpoint_t *e;
	limit_load_t load;

	if (!r || reported->round < r->params.round)
		return;
	e = r->endpoint;
	load = endpoint_load(e);
	if (r->state != RESERVATION_WAITING &&
	    reported->outcome != RELEASE_UNUSED) {
		record_rates(r, now, reported->answer_tokens,
			     reported->time_to_first_token,
			     reported->decode_time);
		if (e->config.target == CONFIG_TARGET_SERVICE &&
		    reported->time_to_first_token > 0)
			limit_observe_service(&e->limit, now,
					      reported->time_to_first_token +
						      reported->decode_time,
					      &load);
	}
	if (reported->outcome == RELEASE_FAILED)
		limit_observe_failure(&e->limit, now);
	discard_reservation(owner, r);
	grant_waiting_requests(owner, now, e);
}

/*
 * Counts a dispatch that this owner has no reservation for: the previous owner
 * granted it, or its grant expired here while the entry's message was in
 * transit. Uncounted, it would let one request too many into the endpoint.
 */
static void adopt_dispatch(owner_t *owner, pimento_usec_t now,
			   pimento_id_t from,
			   const message_progress_t *reported)
{
	owner_endpoint_t *e = find_endpoint(owner, reported->endpoint);
	reservation_t *r;

	if (!e)
		return;
	r = reservation_add(&owner->reservations, reported->request);
	if (!r)
		return;
	r->params.round = reported->round;
	r->params.endpoint = reported->endpoint;
	r->entry = from;
	r->endpoint = e;
	r->state = RESERVATION_RUNNING;
	r->has_first_token = reported->time_to_first_token > 0;
	r->answer_tokens = reported->answer_tokens;
	r->decode_span = reported->decode_time;
	r->due = now + OWNER_LEASE;
	if (heap_put(&owner->due, r, r->due)) {
		reservation_remove(&owner->reservations, r);
		return;
	}
	endpoint_add_reservation(e, now, r);
}

static void handle_progress(owner_t *owner, pimento_usec_t now,
			    pimento_id_t from,
			    const message_progress_t *reported)
{
	reservation_t *r =
		reservation_find(&owner->reservations, reported->request);

	if (!r) {
		adopt_dispatch(owner, now, from, reported);
		return;
	}
	if (r->state == RESERVATION_WAITING ||
	    reported->round != r->params.round)
		return;
	record_rates(r, now, reported->answer_tokens,
		     reported->time_to_first_token, reported->decode_time);
	r->state = RESERVATION_RUNNING;
	if (reported->time_to_first_token > 0)
		endpoint_prefill_done(r->endpoint, r);
	else
		endpoint_check_first_token(r->endpoint, now, r);
	endpoint_update_answer_tokens(r->endpoint, r, reported->answer_tokens);
	r->due = now + OWNER_LEASE;
	heap_put(&owner->due, r, r->due);
	grant_waiting_requests(owner, now, r->endpoint);
}

int owner_receive(owner_t *owner, pimento_usec_t now, pimento_id_t from,
		  const message_t *message)
{
	switch (message->kind) {
	case MESSAGE_RESERVE:
		handle_reserve(owner, now, from, &message->u.reserve);
		return 0;
	case MESSAGE_RELEASE:
		handle_release(owner, now, &message->u.release);
		return 0;
	case MESSAGE_PROGRESS:
		handle_progress(owner, now, from, &message->u.progress);
		return 0;
	default:
		return PIMENTO_EINVAL;
	}
}

/* Refuses all requests that wait for an endpoint, least urgent first. */
static void refuse_all(owner_t *owner, pimento_usec_t now, owner_endpoint_t *e,
		       int reason)
{
	int tier;

	while ((tier = queue_least_urgent_tier(&e->queue)) >= 0)
		refuse_reservation(
			owner, now,
			(reservation_t *)queue_victim(&e->queue, tier), reason);
}

static int append_endpoint(owner_t *owner, owner_endpoint_t *e)
{
	uint32_t n = owner->capacity ? owner->capacity * 2 : ENDPOINTS_INITIAL;
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

int owner_add_endpoint(owner_t *owner, pimento_usec_t now,
		       const config_endpoint_t *endpoint, uint64_t epoch,
		       double weight)
{
	owner_endpoint_t *e = find_endpoint(owner, endpoint->id);

	if (e) {
		e->config = *endpoint;
		e->epoch = epoch;
		e->weight = weight;
		limit_set_concurrency(&e->limit, endpoint->concurrency);
		grant_waiting_requests(owner, now, e);
		return 0;
	}
	e = endpoint_new(endpoint, epoch, weight);
	if (!e)
		return PIMENTO_ENOMEM;
	if (!append_endpoint(owner, e))
		return 0;
	endpoint_free(e);
	return PIMENTO_ENOMEM;
}

void owner_remove_endpoint(owner_t *owner, pimento_usec_t now,
			   pimento_id_t endpoint)
{
	owner_endpoint_t *e = find_endpoint(owner, endpoint);

	if (!e)
		return;
	e->leaving = true;
	refuse_all(owner, now, e, PIMENTO_ESTALE);
	while (e->in_flight)
		discard_reservation(owner, e->in_flight);
	for (uint32_t i = 0; i < owner->count; i++)
		if (owner->endpoints[i] == e)
			owner->endpoints[i] = owner->endpoints[--owner->count];
	endpoint_free(e);
}

void owner_endpoint_leaving(owner_t *owner, pimento_usec_t now,
			    pimento_id_t endpoint)
{
	owner_endpoint_t *e = find_endpoint(owner, endpoint);

	if (!e || e->leaving)
		return;
	e->leaving = true;
	refuse_all(owner, now, e, PIMENTO_ELEAVING);
}

void owner_endpoint_restarted(owner_t *owner, pimento_usec_t now,
			      pimento_id_t endpoint)
{
	owner_endpoint_t *e = find_endpoint(owner, endpoint);

	if (!e || !e->leaving)
		return;
	e->leaving = false;
	grant_waiting_requests(owner, now, e);
}

void owner_entry_dead(owner_t *owner, pimento_usec_t now, pimento_id_t entry)
{
	reservation_table_t *table = &owner->reservations;

	for (uint32_t i = 0; i < table->size; i++) {
		reservation_t *r = table->chains[i];

		while (r) {
			reservation_t *next = r->next;

			if (r->entry == entry &&
			    r->state != RESERVATION_RUNNING)
				discard_reservation(owner, r);
			r = next;
		}
	}
	for (uint32_t i = 0; i < owner->count; i++)
		grant_waiting_requests(owner, now, owner->endpoints[i]);
}

void owner_load_report(owner_t *owner, pimento_usec_t now,
		       pimento_id_t endpoint, const load_report_t *report)
{
	owner_endpoint_t *e = find_endpoint(owner, endpoint);

	if (!e)
		return;
	if (report->leaving)
		owner_endpoint_leaving(owner, now, endpoint);
	endpoint_apply_load_report(e, now, report);
	grant_waiting_requests(owner, now, e);
}

/*
 * Handles a reservation's time-out: the latest start of a waiting one, the end
 * of the lifetime of a grant, or the end of a lease.
 */
static void handle_due(owner_t *owner, pimento_usec_t now, reservation_t *r)
{
	owner_endpoint_t *e = r->endpoint;

	if (r->state != RESERVATION_WAITING) {
		discard_reservation(owner, r);
		grant_waiting_requests(owner, now, e);
		return;
	}
	r->due = latest_start(r);
	if (r->due <= now)
		refuse_reservation(owner, now, r, PIMENTO_EDEADLINE);
	else
		heap_put(&owner->due, r, r->due);
}

void owner_tick(owner_t *owner, pimento_usec_t now)
{
	while (heap_top_key(&owner->due) <= now)
		handle_due(owner, now, heap_top(&owner->due));
	for (uint32_t i = 0; i < owner->count; i++) {
		grant_waiting_requests(owner, now, owner->endpoints[i]);
		refuse_overdue(owner, now, owner->endpoints[i]);
	}
}

pimento_usec_t owner_deadline(const owner_t *owner)
{
	return heap_top_key(&owner->due);
}

int owner_summary(const owner_t *owner, pimento_usec_t now,
		  pimento_id_t endpoint, message_summary_t *summary)
{
	const owner_endpoint_t *e = find_endpoint(owner, endpoint);

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

		while ((tier = queue_least_urgent_tier(&e->queue)) >= 0)
			discard_reservation(
				owner,
				(reservation_t *)queue_victim(&e->queue, tier));
		while (e->in_flight)
			discard_reservation(owner, e->in_flight);
		owner->endpoints[0] = owner->endpoints[--owner->count];
		endpoint_free(e);
	}
	free(owner->endpoints);
	free(owner->accounts);
	heap_finish(&owner->due);
	reservation_table_finish(&owner->reservations);
	memset(owner, 0, sizeof(*owner));
}
