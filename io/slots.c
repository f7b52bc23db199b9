#include "slots.h"

#include "statements.h"
#include "trail.h"

#include "../src/slow_start.h"

#include <arpa/inet.h>

/* Hosts that died longer ago do not lessen a slow start's rate. */
#define SLOTS_LOST_LATELY (20 * PIMENTO_SEC)
/* Reports of a host without requests in flight are due this long after its start. */
#define START_SPAN (3 * PIMENTO_SEC)
/* An answer within this time outweighs a host that reached nobody. */
#define ANSWERED_LATELY (300 * PIMENTO_MSEC)
/* A report that is older is not passed on. */
#define RELAY_AGE (1200 * PIMENTO_MSEC)

void slots_init(slots_t *slots, registry_t *registry, peers_t *roster,
		uint32_t self)
{
	*slots = (slots_t){
		.registry = registry, .roster = roster, .fd = -1, .self = self
	};
	grants_init(&slots->grants);
}

void slots_finish(slots_t *slots)
{
	grants_finish(&slots->grants);
}

/* A datagram that cannot be sent now is as good as lost on the way. */
void slots_send(const slots_t *slots, uint32_t address, const packet_t *packet)
{
	net_address_t to = { address, slots->port };
	uint8_t bytes[PACKET_BYTES_MAX];
	int length = packet_pack(packet, bytes, sizeof(bytes));

	if (length > 0)
		(void)net_send_to(slots->fd, &to, bytes, (size_t)length);
}

registry_endpoint_t *slots_endpoint(const slots_t *slots, uint32_t key)
{
	for (uint32_t i = 0; i < slots->registry->count; i++)
		if ((uint32_t)slots->registry->endpoints[i]->key == key)
			return slots->registry->endpoints[i];
	return NULL;
}

uint32_t slots_owner(slots_t *slots, registry_endpoint_t *endpoint)
{
	uint64_t epoch = peers_owner_changes(slots->roster) + 1;
	uint32_t owner;

	if (endpoint->owner_change_count == epoch)
		return endpoint->owner;
	owner = peers_owner(slots->roster, endpoint->key);
	if (endpoint->owner != owner) {
		slots->owners_changed++;
		/* the new one is to know at once */
		endpoint->running_sent_at = 0;
	}
	endpoint->owner = owner;
	endpoint->owner_change_count = epoch;
	return owner;
}

/* What this host, as the owner, says of an endpoint. */
static registry_report_t word_of(const slots_t *slots,
				 const registry_endpoint_t *endpoint,
				 pimento_usec_t now)
{
	uint32_t key = (uint32_t)endpoint->key;
	const registry_service_t *service =
		registry_get_service(slots->registry, endpoint->service);
	registry_report_t word = {
		.running = grants_running(&slots->grants, key),
		.waiting = grants_waiting(&slots->grants, key),
		.event_gap_us = (uint32_t)endpoint->latency.event_gap_us,
		.suspect = endpoint->latency.consecutive_unreachable > 0 ||
			   (service &&
			    latency_endpoint_is_failing(&endpoint->latency,
							&service->latency)),
	};

	if (endpoint->latency.ejected_until > now)
		word.ejected_ms =
			(uint32_t)((endpoint->latency.ejected_until - now) /
				   PIMENTO_MSEC);
	return word;
}

static void reply(slots_t *slots, const grants_request_t *ask, bool granted,
		  pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_SLOT_REPLY };
	const registry_endpoint_t *endpoint =
		slots_endpoint(slots, ask->endpoint);

	packet.as.slot_reply = (packet_slot_reply_t){ .endpoint = ask->endpoint,
						      .ticket = ask->ticket,
						      .granted = granted };
	if (endpoint)
		packet.as.slot_reply.report = word_of(slots, endpoint, now);
	if (ask->address == slots->self)
		slots->replied(slots->context, &packet.as.slot_reply);
	else
		slots_send(slots, ask->address, &packet);
}

/* Ejecting an endpoint serves nobody if its service has no other. */
static bool has_alternative(const slots_t *slots,
			    const registry_endpoint_t *endpoint,
			    pimento_usec_t now)
{
	const registry_t *registry = slots->registry;

	for (uint32_t i = 0; i < registry->count; i++) {
		const registry_endpoint_t *e = registry->endpoints[i];

		if (e != endpoint && e->service == endpoint->service &&
		    registry_endpoint_accepts_work(e, now) &&
		    e->latency.ejected_until <= now)
			return true;
	}
	return false;
}

/* One that was not reached, or mostly fails, gets one request at a time. */
static uint32_t places_of(const slots_t *slots,
			  const registry_endpoint_t *endpoint,
			  pimento_usec_t now)
{
	const registry_service_t *service =
		registry_get_service(slots->registry, endpoint->service);

	if (!service || endpoint->latency.consecutive_unreachable)
		return 1;
	if (latency_endpoint_is_failing(&endpoint->latency,
					&service->latency) &&
	    has_alternative(slots, endpoint, now))
		return 1;
	return placement_in_flight_limit(service, endpoint);
}

/* True if the next request may begin: slow start and a stated limit. */
static bool may_begin(slots_t *slots, registry_endpoint_t *endpoint,
		      pimento_usec_t now)
{
	double share = registry_owner_share(slots->registry, endpoint, now);

	return slow_start_may_begin(slots->registry, endpoint, now) &&
	       rate_limit_may_begin(&endpoint->rate_limit, share, now);
}

void slots_record_begun(registry_t *registry, registry_endpoint_t *endpoint,
			pimento_usec_t now)
{
	double share = registry_owner_share(registry, endpoint, now);

	slow_start_record(registry, endpoint, now);
	rate_limit_record(&endpoint->rate_limit, share, now);
}

/* Gives free places to those in line. */
static void give_places(slots_t *slots, uint32_t key, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = slots_endpoint(slots, key);
	grants_request_t ask;

	if (!endpoint || !registry_endpoint_accepts_work(endpoint, now))
		return;
	if (endpoint->latency.ejected_until > now &&
	    has_alternative(slots, endpoint, now))
		return;
	while (may_begin(slots, endpoint, now) &&
	       grants_grant_next(&slots->grants, key,
				 places_of(slots, endpoint, now), now, &ask)) {
		slots->granted++;
		slots_record_begun(slots->registry, endpoint, now);
		reply(slots, &ask, true, now);
	}
}

static bool is_granted(const slots_t *slots, const grants_request_t *ask)
{
	return !grants_is_waiting(&slots->grants, ask);
}

static void take_ask(slots_t *slots, const grants_request_t *ask,
		     pimento_usec_t now)
{
	registry_endpoint_t *endpoint = slots_endpoint(slots, ask->endpoint);

	if (grants_request(&slots->grants, ask, now))
		return; /* no memory: who asks goes by its own view */
	if (ask->unconditional) {
		if (endpoint)
			slots_record_begun(slots->registry, endpoint, now);
		return;
	}
	give_places(slots, ask->endpoint, now);
	if (is_granted(slots, ask))
		return;
	if (endpoint && rate_limit_applies(&endpoint->rate_limit, now))
		slots->held_by_limit++;
	if (endpoint && !registry_endpoint_accepts_work(endpoint, now))
		statements_report_departure(slots, ask->endpoint, ask->address,
					    now);
	reply(slots, ask, false, now);
}

/*
 * True if some host has just had an answer from the endpoint: others that do
 * not reach it have lost their paths.
 */
static bool is_answering(const registry_endpoint_t *endpoint,
			 pimento_usec_t now)
{
	return (endpoint->answered_at &&
		now - endpoint->answered_at < ANSWERED_LATELY) ||
	       endpoint_path_is_alive(&endpoint->path, now);
}

void slots_learn(slots_t *slots, registry_endpoint_t *endpoint,
		 latency_outcome_t finding, uint32_t source, pimento_usec_t now)
{
	const struct in_addr by = { htonl(source) };
	char text[INET_ADDRSTRLEN] = "";
	const registry_service_t *service =
		registry_get_service(slots->registry, endpoint->service);
	latency_model_t *pace = &endpoint->latency;
	uint32_t before = pace->consecutive_unreachable;

	if (!service)
		return;
	if (finding == LATENCY_OUTCOME_ANSWERED)
		endpoint->answered_at = now;
	if (finding == LATENCY_OUTCOME_UNREACHABLE &&
	    is_answering(endpoint, now))
		return;
	latency_update_ejection(pace, &service->latency, finding, now);
	inet_ntop(AF_INET, &by, text, sizeof(text));
	if (!before && pace->consecutive_unreachable)
		trail(TRAIL_STATE, "endpoint", "left_alone",
		      "endpoint=%s why=%s by=%s in_a_row=%u ms=%lld",
		      endpoint->id, latency_outcome_name(finding),
		      source == slots->self ? "self" : text,
		      pace->consecutive_errors,
		      (long long)((pace->ejected_until - now) / PIMENTO_MSEC));
	else if (before && !pace->consecutive_unreachable)
		trail(TRAIL_STATE, "endpoint", "answers_again",
		      "endpoint=%s by=%s failures=%u", endpoint->id,
		      source == slots->self ? "self" : text, before);
}

static void take_release(slots_t *slots, const packet_slot_release_t *release,
			 pimento_usec_t now)
{
	registry_endpoint_t *endpoint =
		slots_endpoint(slots, release->endpoint);
	registry_service_t *service =
		endpoint ? registry_get_service(slots->registry,
						endpoint->service)
			 : NULL;

	/* what this host found out itself was learnt on the way */
	if (service && release->address != slots->self) {
		latency_update_failure_rate(&endpoint->latency,
					    &service->latency, release->outcome,
					    now);
		slots_learn(slots, endpoint, release->outcome, release->address,
			    now);
		if (release->gap_us)
			latency_add_mean_gap(&endpoint->latency,
					     &service->latency,
					     release->gap_us);
	}
	if (grants_release(&slots->grants, release->endpoint, release->address,
			   release->ticket) &&
	    release->unused && endpoint)
		rate_limit_return(&endpoint->rate_limit);
	give_places(slots, release->endpoint, now);
}

void slots_ask(slots_t *slots, registry_endpoint_t *endpoint,
	       grants_request_t *ask, pimento_usec_t now)
{
	uint32_t owner = slots_owner(slots, endpoint);
	packet_t packet = { .kind = PACKET_SLOT_REQUEST };

	ask->endpoint = (uint32_t)endpoint->key;
	ask->address = slots->self;
	slots->asked++;
	if (owner == slots->self) {
		take_ask(slots, ask, now);
		return;
	}
	packet.as.slot_request = *ask;
	slots_send(slots, owner, &packet);
}

void slots_release(slots_t *slots, registry_endpoint_t *endpoint,
		   const packet_slot_release_t *release, pimento_usec_t now)
{
	uint32_t owner = slots_owner(slots, endpoint);
	packet_t packet = { .kind = PACKET_SLOT_RELEASE };

	packet.as.slot_release = *release;
	packet.as.slot_release.endpoint = (uint32_t)endpoint->key;
	packet.as.slot_release.address = slots->self;
	if (owner == slots->self)
		take_release(slots, &packet.as.slot_release, now);
	else
		slots_send(slots, owner, &packet);
}

void slots_take(slots_t *slots, const packet_t *packet, pimento_usec_t now)
{
	switch (packet->kind) {
	case PACKET_SLOT_REQUEST:
		take_ask(slots, &packet->as.slot_request, now);
		break;
	case PACKET_SLOT_REPLY:
		slots->replied(slots->context, &packet->as.slot_reply);
		break;
	case PACKET_SLOT_RELEASE:
		take_release(slots, &packet->as.slot_release, now);
		break;
	case PACKET_RUNNING_REPORT:
		(void)grants_report(&slots->grants,
				    packet->as.running_report.endpoint,
				    packet->as.running_report.address,
				    packet->as.running_report.running, now);
		break;
	case PACKET_GOSSIP:
	case PACKET_QUOTA:
	case PACKET_TRIAL:
	case PACKET_RATE_LIMIT:
	case PACKET_DEMAND:
	case PACKET_DEPARTURE:
	case PACKET_BACKOFF:
		break; /* the mesh's own */
	}
}

static bool is_dead(void *context, uint32_t address)
{
	const slots_t *slots = context;

	return address != slots->self && peers_is_dead(slots->roster, address);
}

/* Counts anew what is in flight, and gives what is free. */
static void keep_endpoint(slots_t *slots, registry_endpoint_t *endpoint,
			  bool owner, pimento_usec_t now)
{
	uint32_t key = (uint32_t)endpoint->key;
	registry_report_t word;

	grants_expire(&slots->grants, key, now);
	grants_drop_dead(&slots->grants, key, is_dead, slots);
	if (owner) {
		(void)grants_report(&slots->grants, key, slots->self,
				    endpoint->running, now);
		word = word_of(slots, endpoint, now);
		registry_apply_report(endpoint, &word, now);
	}
	give_places(slots, key, now);
}

/*
 * A host that has just started reports once that it has nothing in flight: the
 * owner still counts what a former process of this host held.
 */
static bool announces_start(const slots_t *slots,
			    const registry_endpoint_t *endpoint,
			    pimento_usec_t now)
{
	return !endpoint->running_sent_at &&
	       now - slots->first_tick_at < START_SPAN &&
	       !peers_is_discovering(slots->roster, now);
}

/*
 * Tells the owner what this host has in flight. That renews its grants, and
 * makes up for asks and releases that were lost or went to a former owner.
 */
static void report(const slots_t *slots, registry_endpoint_t *endpoint,
		   pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_RUNNING_REPORT };

	if (!endpoint->running && !endpoint->sent_running &&
	    !announces_start(slots, endpoint, now))
		return;
	if (endpoint->running_sent_at &&
	    now - endpoint->running_sent_at < GRANTS_REPORT_INTERVAL)
		return;
	endpoint->running_sent_at = now;
	endpoint->sent_running = endpoint->running;
	packet.as.running_report = (packet_running_report_t){
		.endpoint = (uint32_t)endpoint->key,
		.address = slots->self,
		.running = endpoint->running,
	};
	slots_send(slots, endpoint->owner, &packet);
}

static void say_own(slots_t *slots, gossip_message_t *note, pimento_usec_t now)
{
	const registry_t *registry = slots->registry;

	for (uint32_t i = 0; i < registry->count; i++) {
		registry_endpoint_t *e = registry->endpoints[i];
		uint32_t key = (uint32_t)e->key;

		if (note->owner_report_count == GOSSIP_OWNER_REPORTS_MAX ||
		    slots_owner(slots, e) != slots->self ||
		    !grants_has_endpoint(&slots->grants, key))
			continue;
		note->owner_reports[note->owner_report_count++] =
			(gossip_owner_report_t){
				.endpoint = key,
				.report = word_of(slots, e, now),
			};
	}
}

static void relay_others(slots_t *slots, gossip_message_t *note,
			 pimento_usec_t now)
{
	const registry_t *registry = slots->registry;

	for (uint32_t i = 0; i < registry->count; i++) {
		registry_endpoint_t *e =
			registry->endpoints[slots->relay_turn++ %
					    registry->count];

		if (note->owner_report_count == GOSSIP_OWNER_REPORTS_MAX)
			return;
		if (!e->report_received_at ||
		    now - e->report_received_at > RELAY_AGE ||
		    slots_owner(slots, e) == slots->self)
			continue;
		note->owner_reports[note->owner_report_count++] =
			(gossip_owner_report_t){
				.endpoint = (uint32_t)e->key,
				.age = now - e->report_received_at,
				.report = e->report,
			};
	}
}

void slots_say(slots_t *slots, gossip_message_t *note, pimento_usec_t now)
{
	say_own(slots, note, now);
	relay_others(slots, note, now);
}

void slots_hear(slots_t *slots, const gossip_message_t *note,
		pimento_usec_t now)
{
	for (uint32_t i = 0; i < note->owner_report_count; i++) {
		const gossip_owner_report_t *owned = &note->owner_reports[i];
		registry_endpoint_t *e = slots_endpoint(slots, owned->endpoint);
		pimento_usec_t at = now - owned->age;

		if (e && at > e->report_received_at &&
		    slots_owner(slots, e) != slots->self)
			registry_apply_report(e, &owned->report, at);
	}
}

void slots_tick(slots_t *slots, pimento_usec_t now)
{
	if (!slots->first_tick_at)
		slots->first_tick_at = now;
	statements_tick(slots, now);
	slots->registry->start_bounds.live_share =
		peers_known_live_share(slots->roster, SLOTS_LOST_LATELY, now);
	for (uint32_t i = 0; i < slots->registry->count; i++) {
		registry_endpoint_t *e = slots->registry->endpoints[i];
		uint32_t key = (uint32_t)e->key;
		bool owner = slots_owner(slots, e) == slots->self;

		slow_start_set_owner(e, owner, now);
		if (owner || grants_is_requested(&slots->grants, key, now))
			keep_endpoint(slots, e, owner, now);
		else
			grants_remove_endpoint(&slots->grants, key);
		if (!owner)
			report(slots, e, now);
	}
}
