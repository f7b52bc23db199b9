/*
 * The queue of an endpoint is a short unsorted array: each host sends slot
 * requests only for a few of its most urgent requests, and reviews them several
 * times a second.
 */

#include "grants.h"

#include <stdlib.h>

/*
 * A report may have been sent before a grant that is younger than this reached
 * its host, so it neither renews nor drops such a grant.
 */
#define GRANT_DELIVERY_MAX (300 * PIMENTO_MSEC)

/*
 * Hosts detect a failure up to some seconds apart, so a host can receive slot
 * requests before it knows that it has become the owner. For this long after a
 * slot request it keeps its counts; otherwise it would discard them and grant
 * all slots again at each tick.
 */
#define REQUESTED_RECENTLY_SPAN (3 * PIMENTO_SEC)

void grants_init(grants_t *grants)
{
	*grants = (grants_t){ 0 };
}

static void free_endpoint(grants_endpoint_t *e)
{
	free(e->entries);
	free(e->foreign);
}

void grants_finish(grants_t *grants)
{
	for (uint32_t i = 0; i < grants->count; i++)
		free_endpoint(&grants->endpoints[i]);
	free(grants->endpoints);
}

static grants_endpoint_t *find_endpoint(const grants_t *grants,
					uint32_t endpoint)
{
	for (uint32_t i = 0; i < grants->count; i++)
		if (grants->endpoints[i].endpoint == endpoint)
			return &grants->endpoints[i];
	return NULL;
}

static grants_endpoint_t *find_or_add(grants_t *grants, uint32_t endpoint)
{
	grants_endpoint_t *e = find_endpoint(grants, endpoint);

	if (e)
		return e;
	e = realloc(grants->endpoints, (grants->count + 1) * sizeof(*e));
	if (!e)
		return NULL;
	grants->endpoints = e;
	e += grants->count++;
	*e = (grants_endpoint_t){ .endpoint = endpoint };
	return e;
}

static grants_entry_t *add_entry(grants_endpoint_t *e)
{
	uint32_t size = e->size ? e->size * 2 : 16;
	grants_entry_t *grown;

	if (e->count == e->size) {
		grown = realloc(e->entries, size * sizeof(*grown));
		if (!grown)
			return NULL;
		e->entries = grown;
		e->size = size;
	}
	return &e->entries[e->count++];
}

static void remove_entry(grants_endpoint_t *e, uint32_t index)
{
	if (e->entries[index].granted)
		e->granted--;
	else
		e->waiting--;
	e->entries[index] = e->entries[--e->count];
}

int grants_request(grants_t *grants, const grants_request_t *request,
		   pimento_usec_t now)
{
	grants_endpoint_t *e = find_or_add(grants, request->endpoint);
	grants_entry_t *entry = e ? add_entry(e) : NULL;

	if (!entry)
		return PIMENTO_ENOMEM;
	e->requested_at = now;
	*entry = (grants_entry_t){ .request = *request,
				   .granted = request->unconditional,
				   .since = now,
				   .renewed_at = now };
	if (request->unconditional)
		e->granted++;
	else
		e->waiting++;
	return 0;
}

bool grants_is_waiting(const grants_t *grants, const grants_request_t *request)
{
	const grants_endpoint_t *e = find_endpoint(grants, request->endpoint);

	for (uint32_t i = 0; e && i < e->count; i++)
		if (e->entries[i].request.ticket == request->ticket &&
		    e->entries[i].request.address == request->address)
			return !e->entries[i].granted;
	return false;
}

static grants_foreign_t *find_foreign_running(const grants_endpoint_t *e,
					      uint32_t address)
{
	for (uint32_t i = 0; i < e->foreign_count; i++)
		if (e->foreign[i].address == address)
			return &e->foreign[i];
	return NULL;
}

static void set_foreign_running(grants_endpoint_t *e, grants_foreign_t *foreign,
				uint32_t running)
{
	e->foreign_running += running - foreign->running;
	foreign->running = running;
}

bool grants_release(grants_t *grants, uint32_t endpoint, uint32_t address,
		    uint64_t ticket)
{
	grants_endpoint_t *e = find_endpoint(grants, endpoint);
	grants_foreign_t *foreign;

	for (uint32_t i = 0; e && i < e->count; i++) {
		const grants_request_t *request = &e->entries[i].request;

		if (request->ticket == ticket && request->address == address) {
			bool granted = e->entries[i].granted;

			remove_entry(e, i);
			return granted;
		}
	}
	foreign = e && ticket ? find_foreign_running(e, address) : NULL;
	if (foreign && foreign->running)
		set_foreign_running(e, foreign, foreign->running - 1);
	return false;
}

/*
 * Sort key among waiting requests of equal rank, the smallest first: the time
 * on this host's clock at which the request was queued, minus the head start
 * that it came with.
 */
static pimento_usec_t queue_order_time(const grants_entry_t *entry)
{
	return entry->since - entry->request.head_start;
}

/*
 * True if a waiting request can no longer meet its objective. This is checked
 * again while it waits: requests with short answers meet their objective only
 * if they get a slot within 250 ms, and wait for most of that. If each kept the
 * status it arrived with, the one that waited longest would always get the slot
 * just too late, while requests behind it could still be on time.
 */
static bool is_overdue(const grants_entry_t *entry, pimento_usec_t now)
{
	const grants_request_t *request = &entry->request;

	return request->overdue || (request->overdue_in &&
				    now - entry->since >= request->overdue_in);
}

/*
 * True if a is granted before b: requests that are not overdue first, then by
 * rank, then by the start of their wait.
 */
static bool precedes(const grants_entry_t *a, const grants_entry_t *b,
		     pimento_usec_t now)
{
	if (is_overdue(a, now) != is_overdue(b, now))
		return is_overdue(b, now);
	if (a->request.rank != b->request.rank)
		return a->request.rank < b->request.rank;
	return queue_order_time(a) < queue_order_time(b);
}

static void drop_expired(grants_endpoint_t *e, pimento_usec_t now)
{
	for (uint32_t i = e->count; i-- > 0;) {
		const grants_entry_t *entry = &e->entries[i];

		if (!entry->granted &&
		    now - entry->since > entry->request.queue_timeout)
			remove_entry(e, i);
	}
}

static grants_entry_t *first_waiting(grants_endpoint_t *e, pimento_usec_t now)
{
	grants_entry_t *first = NULL;

	for (uint32_t i = 0; i < e->count; i++) {
		grants_entry_t *entry = &e->entries[i];

		if (!entry->granted && (!first || precedes(entry, first, now)))
			first = entry;
	}
	return first;
}

bool grants_grant_next(grants_t *grants, uint32_t endpoint, uint32_t slots,
		       pimento_usec_t now, grants_request_t *granted)
{
	grants_endpoint_t *e = find_endpoint(grants, endpoint);
	grants_entry_t *first;

	if (!e || !e->waiting)
		return false;
	drop_expired(e, now);
	first = first_waiting(e, now);
	if (!first || e->granted + e->foreign_running >= slots)
		return false;
	first->granted = true;
	first->since = now;
	first->renewed_at = now;
	e->granted++;
	e->waiting--;
	*granted = first->request;
	return true;
}

static grants_foreign_t *add_foreign_running(grants_endpoint_t *e,
					     uint32_t address)
{
	uint32_t size = e->foreign_size ? e->foreign_size * 2 : 8;
	grants_foreign_t *grown;

	if (e->foreign_count == e->foreign_size) {
		grown = realloc(e->foreign, size * sizeof(*grown));
		if (!grown)
			return NULL;
		e->foreign = grown;
		e->foreign_size = size;
	}
	grown = &e->foreign[e->foreign_count++];
	*grown = (grants_foreign_t){ .address = address };
	return grown;
}

/*
 * Renews a host's grants, up to the number of running requests that it
 * reported, and drops the rest. Returns the number of its grants that remain.
 */
static uint32_t renew_grants(grants_endpoint_t *e, uint32_t address,
			     uint32_t running, pimento_usec_t now)
{
	uint32_t unconfirmed = 0;
	uint32_t renewed = 0;

	for (uint32_t i = e->count; i-- > 0;) {
		grants_entry_t *entry = &e->entries[i];

		if (entry->request.address != address || !entry->granted)
			continue;
		if (now - entry->since < GRANT_DELIVERY_MAX) {
			unconfirmed++;
		} else if (renewed >= running) {
			remove_entry(e, i);
		} else {
			entry->renewed_at = now;
			renewed++;
		}
	}
	return unconfirmed + renewed;
}

int grants_report(grants_t *grants, uint32_t endpoint, uint32_t address,
		  uint32_t running, pimento_usec_t now)
{
	grants_endpoint_t *e = find_or_add(grants, endpoint);
	grants_foreign_t *foreign;
	uint32_t granted_here;

	if (!e)
		return PIMENTO_ENOMEM;
	granted_here = renew_grants(e, address, running, now);
	foreign = find_foreign_running(e, address);
	if (!foreign && running > granted_here)
		foreign = add_foreign_running(e, address);
	if (!foreign)
		return running > granted_here ? PIMENTO_ENOMEM : 0;
	foreign->reported_at = now;
	set_foreign_running(e, foreign,
			    running > granted_here ? running - granted_here
						   : 0);
	return 0;
}

void grants_drop_dead(grants_t *grants, uint32_t endpoint,
		      grants_is_dead_t *is_dead, void *context)
{
	grants_endpoint_t *e = find_endpoint(grants, endpoint);

	for (uint32_t i = e ? e->count : 0; i-- > 0;)
		if (is_dead(context, e->entries[i].request.address))
			remove_entry(e, i);
	for (uint32_t i = 0; e && i < e->foreign_count; i++)
		if (e->foreign[i].running &&
		    is_dead(context, e->foreign[i].address))
			set_foreign_running(e, &e->foreign[i], 0);
}

static void expire_running_without_grant(grants_endpoint_t *e,
					 pimento_usec_t now)
{
	for (uint32_t i = e->foreign_count; i-- > 0;) {
		grants_foreign_t *foreign = &e->foreign[i];

		if (now - foreign->reported_at <= GRANTS_LEASE)
			continue;
		set_foreign_running(e, foreign, 0);
		*foreign = e->foreign[--e->foreign_count];
	}
}

void grants_expire(grants_t *grants, uint32_t endpoint, pimento_usec_t now)
{
	grants_endpoint_t *e = find_endpoint(grants, endpoint);

	if (!e)
		return;
	for (uint32_t i = e->count; i-- > 0;) {
		const grants_entry_t *entry = &e->entries[i];

		if (entry->granted && now - entry->renewed_at > GRANTS_LEASE)
			remove_entry(e, i);
	}
	expire_running_without_grant(e, now);
}

bool grants_is_requested(const grants_t *grants, uint32_t endpoint,
			 pimento_usec_t now)
{
	const grants_endpoint_t *e = find_endpoint(grants, endpoint);

	return e && e->requested_at &&
	       now - e->requested_at < REQUESTED_RECENTLY_SPAN;
}

void grants_remove_endpoint(grants_t *grants, uint32_t endpoint)
{
	grants_endpoint_t *e = find_endpoint(grants, endpoint);

	if (!e)
		return;
	free_endpoint(e);
	*e = grants->endpoints[--grants->count];
}

bool grants_has_endpoint(const grants_t *grants, uint32_t endpoint)
{
	return find_endpoint(grants, endpoint) != NULL;
}

uint32_t grants_running(const grants_t *grants, uint32_t endpoint)
{
	const grants_endpoint_t *e = find_endpoint(grants, endpoint);

	return e ? e->granted + e->foreign_running : 0;
}

uint32_t grants_waiting(const grants_t *grants, uint32_t endpoint)
{
	const grants_endpoint_t *e = find_endpoint(grants, endpoint);

	return e ? e->waiting : 0;
}
