#include "statements.h"

#include "trail.h"

#include <arpa/inet.h>

/* For so long a backoff is repeated to the peer it holds for. */
#define BACKOFF_REPORT_SPAN (400 * PIMENTO_MSEC)

/* Rate limits. */

static void log_rate_limit(const registry_endpoint_t *endpoint, uint32_t before,
			   const char *by)
{
	uint32_t rate = endpoint->rate_limit.stated.rate;
	const char *event = !before ? "limit_stated"
			    : rate  ? "limit_changed"
				    : "limit_ended";

	trail(TRAIL_STATE, "endpoint", event,
	      "endpoint=%s per_second=%g before=%g by=%s", endpoint->id,
	      (double)rate / RATE_LIMIT_UNIT, (double)before / RATE_LIMIT_UNIT,
	      by);
}

static void tell_owner_rate_limit(slots_t *slots, registry_endpoint_t *endpoint)
{
	uint32_t owner = slots_owner(slots, endpoint);
	packet_t packet = { .kind = PACKET_RATE_LIMIT };

	if (owner == slots->self)
		return;
	packet.as.rate_limit = (rate_limit_report_t){
		.endpoint = (uint32_t)endpoint->key,
		.stated = endpoint->rate_limit.stated,
	};
	packet.as.rate_limit.stated.at = 0;
	slots_send(slots, owner, &packet);
}

void statements_learn_rate_limit(slots_t *slots, registry_endpoint_t *endpoint,
				 uint32_t rate, enum rate_limit_source source,
				 pimento_usec_t sent_at, pimento_usec_t now)
{
	uint32_t before = endpoint->rate_limit.stated.rate;

	if (!rate_limit_learn(&endpoint->rate_limit, rate, source, sent_at,
			      now))
		return;
	log_rate_limit(endpoint, before, "self");
	tell_owner_rate_limit(slots, endpoint);
}

void statements_receive_rate_limit(slots_t *slots,
				   const rate_limit_report_t *report,
				   uint32_t source, pimento_usec_t now)
{
	registry_endpoint_t *endpoint = slots_endpoint(slots, report->endpoint);
	rate_limit_statement_t stated = report->stated;
	const struct in_addr by = { htonl(source) };
	char text[INET_ADDRSTRLEN] = "";
	uint32_t before;

	if (!endpoint || stated.at == PIMENTO_NEVER)
		return;
	stated.at = now - stated.at;
	before = endpoint->rate_limit.stated.rate;
	if (!rate_limit_merge(&endpoint->rate_limit, &stated))
		return;
	inet_ntop(AF_INET, &by, text, sizeof(text));
	log_rate_limit(endpoint, before, text);
}

/* Limits that endpoints have stated, in turn. */
static void report_rate_limits(slots_t *slots, gossip_message_t *note,
			       pimento_usec_t now)
{
	const registry_t *registry = slots->registry;

	note->rate_limit_count = 0;
	for (uint32_t i = 0; i < registry->count &&
			     note->rate_limit_count < GOSSIP_RATE_LIMITS_MAX;
	     i++) {
		registry_endpoint_t *e =
			registry->endpoints[slots->limit_turn++ %
					    registry->count];
		rate_limit_report_t report = { (uint32_t)e->key,
					       e->rate_limit.stated };

		if (!rate_limit_is_news(&e->rate_limit, now))
			continue;
		report.stated.at = now - report.stated.at;
		note->rate_limits[note->rate_limit_count++] = report;
	}
}

/* Departures. */

static void send_departure(const slots_t *slots, uint32_t address,
			   const departure_t *departure, pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_DEPARTURE };

	packet.as.departure = *departure;
	packet.as.departure.at = now - departure->at;
	if (address && address != slots->self)
		slots_send(slots, address, &packet);
}

static void log_leaving(const registry_endpoint_t *endpoint,
			const departure_t *departure, const char *by)
{
	trail(TRAIL_STATE, "endpoint", "leaving",
	      "endpoint=%s why=%s by=%s revision=%llu", endpoint->id,
	      departure->process ? "stated" : "recorded", by,
	      (unsigned long long)departure->revision);
}

void statements_learn_leaving(slots_t *slots, registry_endpoint_t *endpoint,
			      uint32_t via, pimento_usec_t now)
{
	const departure_t departure = {
		.endpoint = (uint32_t)endpoint->key,
		.process = registry_process_id(endpoint),
		.at = now,
	};

	send_departure(slots, via, &departure, now);
	if (endpoint->stated_leaving)
		return;
	(void)registry_depart(slots->registry, &departure, now);
	log_leaving(endpoint, &departure, "self");
	send_departure(slots, slots_owner(slots, endpoint), &departure, now);
}

void statements_receive_departure(slots_t *slots, const departure_t *departure,
				  uint32_t source, pimento_usec_t now)
{
	const struct in_addr by = { htonl(source) };
	char text[INET_ADDRSTRLEN] = "";
	departure_t received = *departure;
	registry_endpoint_t *endpoint;

	if (received.at == PIMENTO_NEVER ||
	    !received.process == !received.revision)
		return;
	received.at = now - received.at;
	endpoint = registry_depart(slots->registry, &received, now);
	if (!endpoint)
		return;
	inet_ntop(AF_INET, &by, text, sizeof(text));
	log_leaving(endpoint, &received, text);
}

void statements_report_departure(const slots_t *slots, uint32_t endpoint,
				 uint32_t address, pimento_usec_t now)
{
	const departure_t *departure =
		departures_find(&slots->registry->departures, endpoint);

	if (departure)
		send_departure(slots, address, departure, now);
}

/* Backoff. */

static void log_backoff(const registry_endpoint_t *endpoint, const char *by,
			pimento_usec_t now)
{
	trail(TRAIL_STATE, "endpoint", "backoff_stated",
	      "endpoint=%s ms=%lld by=%s", endpoint->id,
	      (long long)((endpoint->backoff.until - now) / PIMENTO_MSEC), by);
}

static void send_backoff(const slots_t *slots, uint32_t address,
			 const registry_endpoint_t *endpoint,
			 pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_BACKOFF };

	packet.as.backoff = (packet_backoff_t){
		.endpoint = (uint32_t)endpoint->key,
		.process = registry_process_id(endpoint),
		.span = endpoint->backoff.until - now,
	};
	if (address && backoff_is_active(&endpoint->backoff, now))
		slots_send(slots, address, &packet);
}

void statements_learn_backoff(slots_t *slots, registry_endpoint_t *endpoint,
			      pimento_usec_t span, uint32_t via,
			      pimento_usec_t now)
{
	bool known = backoff_is_active(&endpoint->backoff, now);

	if (backoff_extend(&endpoint->backoff, span, via, now) && !known)
		log_backoff(endpoint, "self", now);
	send_backoff(slots, via, endpoint, now);
}

void statements_receive_backoff(slots_t *slots, const packet_backoff_t *backoff,
				uint32_t source, pimento_usec_t now)
{
	registry_endpoint_t *endpoint =
		slots_endpoint(slots, backoff->endpoint);
	const struct in_addr by = { htonl(source) };
	char text[INET_ADDRSTRLEN] = "";
	bool known;

	if (!endpoint || backoff->process != registry_process_id(endpoint))
		return;
	known = backoff_is_active(&endpoint->backoff, now);
	if (!backoff_extend(&endpoint->backoff, backoff->span, 0, now) || known)
		return;
	inet_ntop(AF_INET, &by, text, sizeof(text));
	log_backoff(endpoint, text, now);
}

/* All of them. */

void statements_report(slots_t *slots, gossip_message_t *note,
		       pimento_usec_t now)
{
	report_rate_limits(slots, note, now);
	note->departure_count =
		departures_report(&slots->registry->departures,
				  note->departures, GOSSIP_DEPARTURES_MAX, now);
}

void statements_receive(slots_t *slots, const gossip_message_t *note,
			pimento_usec_t now)
{
	for (uint32_t i = 0; i < note->departure_count; i++)
		statements_receive_departure(slots, &note->departures[i],
					     note->address, now);
	for (uint32_t i = 0; i < note->rate_limit_count; i++)
		statements_receive_rate_limit(slots, &note->rate_limits[i],
					      note->address, now);
}

void statements_tick(const slots_t *slots, pimento_usec_t now)
{
	registry_expire_departures(slots->registry, now);
	for (uint32_t i = 0; i < slots->registry->count; i++) {
		const registry_endpoint_t *e = slots->registry->endpoints[i];

		if (now - e->backoff.stated_at < BACKOFF_REPORT_SPAN)
			send_backoff(slots, e->backoff.via, e, now);
	}
}
