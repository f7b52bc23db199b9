#include "packet.h"

#include <string.h>

#include "peer.pb-c.h"

#define AGE_MS_UNKNOWN UINT32_MAX

typedef struct evidence_scratch {
	Peer__Evidence message;
	uint32_t processes[QUARANTINE_ENDS_MAX];
	uint32_t ages_ms[QUARANTINE_ENDS_MAX];
} evidence_scratch_t;

/* The structures that a gossip message can point to while it is packed. */
typedef struct scratch {
	Peer__Load loads[GOSSIP_LOADS_MAX];
	Peer__Load *load_pointers[GOSSIP_LOADS_MAX];
	Peer__Quota quotas[GOSSIP_QUOTAS_MAX];
	Peer__Quota *quota_pointers[GOSSIP_QUOTAS_MAX];
	Peer__Owned owned[GOSSIP_OWNER_REPORTS_MAX];
	Peer__Owned *owned_pointers[GOSSIP_OWNER_REPORTS_MAX];
	Peer__Fact facts[MESSAGE_FACTS_MAX];
	Peer__Fact *fact_pointers[MESSAGE_FACTS_MAX];
	Peer__Reader readers[GOSSIP_POLLERS_MAX];
	Peer__Reader *reader_pointers[GOSSIP_POLLERS_MAX];
	evidence_scratch_t evidence[GOSSIP_EVIDENCE_MAX];
	Peer__Evidence *evidence_pointers[GOSSIP_EVIDENCE_MAX];
	Peer__RateLimit rate_limits[GOSSIP_RATE_LIMITS_MAX];
	Peer__RateLimit *rate_limit_pointers[GOSSIP_RATE_LIMITS_MAX];
	Peer__Departure departures[GOSSIP_DEPARTURES_MAX];
	Peer__Departure *departure_pointers[GOSSIP_DEPARTURES_MAX];
} scratch_t;

static uint32_t encode_age_ms(pimento_usec_t age)
{
	if (age < 0 || age / PIMENTO_MSEC + 1 >= AGE_MS_UNKNOWN)
		return AGE_MS_UNKNOWN;
	/* Ages are rounded up, so that data never appear fresher than they are. */
	return (uint32_t)(age / PIMENTO_MSEC) + 1;
}

static uint64_t truncate_tokens(double tokens)
{
	return tokens > 0 ? (uint64_t)tokens : 0;
}

static void fill_membership(Peer__Note *message, const gossip_message_t *gossip,
			    scratch_t *scratch)
{
	const message_probe_t *membership = &gossip->membership;

	for (uint32_t i = 0; i < membership->count; i++) {
		const message_fact_t *fact = &membership->facts[i];

		peer__fact__init(&scratch->facts[i]);
		scratch->facts[i].address = (uint32_t)fact->subject;
		scratch->facts[i].incarnation = fact->incarnation;
		scratch->facts[i].version = fact->version;
		scratch->facts[i].state = fact->state;
		scratch->fact_pointers[i] = &scratch->facts[i];
	}
	for (uint32_t i = 0; i < gossip->poller_count; i++) {
		peer__reader__init(&scratch->readers[i]);
		scratch->readers[i].address = gossip->pollers[i].address;
		scratch->readers[i].age_ms =
			encode_age_ms(gossip->pollers[i].age);
		scratch->reader_pointers[i] = &scratch->readers[i];
	}
	message->probe = gossip->probe_kind;
	message->pull = gossip->reply_wanted;
	message->sequence = membership->sequence;
	message->target = (uint32_t)membership->target;
	message->settled = membership->revision != 0;
	message->n_facts = membership->count;
	message->facts = scratch->fact_pointers;
	message->n_readers = gossip->poller_count;
	message->readers = scratch->reader_pointers;
}

static void fill_evidence(evidence_scratch_t *scratch,
			  const quarantine_evidence_t *evidence)
{
	Peer__Evidence *message = &scratch->message;

	peer__evidence__init(message);
	message->kind = evidence->kind;
	message->id = evidence->id;
	if (evidence->answered)
		message->answered_ms = encode_age_ms(-evidence->answered_at);
	for (uint32_t i = 0; i < evidence->end_count; i++) {
		scratch->processes[i] = evidence->ends[i].process;
		scratch->ages_ms[i] = encode_age_ms(-evidence->ends[i].at);
	}
	message->n_processes = evidence->end_count;
	message->processes = scratch->processes;
	message->n_ages_ms = evidence->end_count;
	message->ages_ms = scratch->ages_ms;
}

static void fill_rate_limit(Peer__RateLimit *message,
			    const rate_limit_report_t *report)
{
	peer__rate_limit__init(message);
	message->endpoint = report->endpoint;
	message->rate = report->stated.rate;
	message->sources = report->stated.sources;
	message->age_ms = encode_age_ms(report->stated.at);
}

static void fill_departure(Peer__Departure *message,
			   const departure_t *departure)
{
	peer__departure__init(message);
	message->endpoint = departure->endpoint;
	message->process = departure->process;
	message->revision = departure->revision;
	message->age_ms = encode_age_ms(departure->at);
}

static void fill_reports(Peer__Note *message, const gossip_message_t *gossip,
			 scratch_t *scratch)
{
	for (uint32_t i = 0; i < gossip->load_count; i++) {
		peer__load__init(&scratch->loads[i]);
		scratch->loads[i].endpoint = gossip->loads[i].endpoint;
		scratch->loads[i].running = gossip->loads[i].running;
		scratch->loads[i].reading = gossip->loads[i].prefill_tokens;
		scratch->load_pointers[i] = &scratch->loads[i];
	}
	for (uint32_t i = 0; i < gossip->quota_count; i++) {
		peer__quota__init(&scratch->quotas[i]);
		scratch->quotas[i].account = gossip->quotas[i].account;
		scratch->quotas[i].level =
			truncate_tokens(gossip->quotas[i].level);
		scratch->quotas[i].age_ms =
			(uint32_t)(gossip->quotas[i].age / PIMENTO_MSEC);
		scratch->quota_pointers[i] = &scratch->quotas[i];
	}
	for (uint32_t i = 0; i < gossip->owner_report_count; i++) {
		peer__owned__init(&scratch->owned[i]);
		scratch->owned[i].endpoint = gossip->owner_reports[i].endpoint;
		scratch->owned[i].running =
			gossip->owner_reports[i].report.running;
		scratch->owned[i].waiting =
			gossip->owner_reports[i].report.waiting;
		scratch->owned[i].gap_us =
			gossip->owner_reports[i].report.event_gap_us;
		scratch->owned[i].ejected_ms =
			gossip->owner_reports[i].report.ejected_ms;
		scratch->owned[i].doubtful =
			gossip->owner_reports[i].report.suspect;
		scratch->owned[i].age_ms =
			(uint32_t)(gossip->owner_reports[i].age / PIMENTO_MSEC);
		scratch->owned_pointers[i] = &scratch->owned[i];
	}
	for (uint32_t i = 0; i < gossip->evidence_count; i++) {
		fill_evidence(&scratch->evidence[i], &gossip->evidence[i]);
		scratch->evidence_pointers[i] = &scratch->evidence[i].message;
	}
	for (uint32_t i = 0; i < gossip->rate_limit_count; i++) {
		fill_rate_limit(&scratch->rate_limits[i],
				&gossip->rate_limits[i]);
		scratch->rate_limit_pointers[i] = &scratch->rate_limits[i];
	}
	for (uint32_t i = 0; i < gossip->departure_count; i++) {
		fill_departure(&scratch->departures[i], &gossip->departures[i]);
		scratch->departure_pointers[i] = &scratch->departures[i];
	}
	message->n_departures = gossip->departure_count;
	message->departures = scratch->departure_pointers;
	message->n_rate_limits = gossip->rate_limit_count;
	message->rate_limits = scratch->rate_limit_pointers;
	message->n_evidence = gossip->evidence_count;
	message->evidence = scratch->evidence_pointers;
	message->n_owned = gossip->owner_report_count;
	message->owned = scratch->owned_pointers;
	message->n_loads = gossip->load_count;
	message->loads = scratch->load_pointers;
	message->n_quotas = gossip->quota_count;
	message->quotas = scratch->quota_pointers;
}

/* Encodes a packet; all that it points to must be valid during the call. */
static int encode(const Peer__Packet *message, uint8_t *bytes, size_t size)
{
	if (peer__packet__get_packed_size(message) > size)
		return PIMENTO_ETOOBIG;
	return (int)peer__packet__pack(message, bytes);
}

/* Number of owner reports kept in preference to the sender's own loads. */
#define OWNER_REPORTS_KEPT_MIN 16

/* Shortens one list of the packet, to min_count at least, until the packet fits. */
static void trim_list(const Peer__Packet *message, size_t size, size_t *count,
		      size_t min_count)
{
	while (*count > min_count &&
	       peer__packet__get_packed_size(message) > size)
		(*count)--;
}

/*
 * A host with requests at many endpoints, many accounts and many endpoints that
 * it owns has more to report than a datagram holds. If the gossip message were
 * not sent for its size, the host would appear unresponsive. After surplus owner
 * reports, loads are dropped first, as owners count the requests that they
 * granted anyway; then the reports of other owners' endpoints, which follow the
 * sender's own; then quotas, evidence about prompts, limits of
 * endpoints, and departures last.
 */
static void trim_to_size(Peer__Packet *message, size_t size)
{
	Peer__Note *out = message->note;

	trim_list(message, size, &out->n_owned, OWNER_REPORTS_KEPT_MIN);
	trim_list(message, size, &out->n_loads, 0);
	trim_list(message, size, &out->n_owned, 0);
	trim_list(message, size, &out->n_quotas, 0);
	trim_list(message, size, &out->n_evidence, 0);
	trim_list(message, size, &out->n_rate_limits, 0);
	trim_list(message, size, &out->n_departures, 0);
}

static int pack_gossip(const gossip_message_t *gossip, uint8_t *bytes,
		       size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Note out = PEER__NOTE__INIT;
	scratch_t scratch;

	out.address = gossip->address;
	out.incarnation = gossip->incarnation;
	out.datacentre = gossip->datacentre;
	out.stamp = (uint64_t)gossip->stamp;
	out.echo = (uint64_t)gossip->echo;
	out.operator_age_ms =
		encode_age_ms(gossip->replicas[REPLICA_OPERATOR].age);
	out.operator_revision = gossip->replicas[REPLICA_OPERATOR].revision;
	out.endpoints_age_ms =
		encode_age_ms(gossip->replicas[REPLICA_ENDPOINTS].age);
	out.endpoints_revision = gossip->replicas[REPLICA_ENDPOINTS].revision;
	fill_reports(&out, gossip, &scratch);
	fill_membership(&out, gossip, &scratch);
	message.content_case = PEER__PACKET__CONTENT_NOTE;
	message.note = &out;
	trim_to_size(&message, size);
	return encode(&message, bytes, size);
}

static int pack_slot_request(const grants_request_t *request, uint8_t *bytes,
			     size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Ask out = PEER__ASK__INIT;

	out.endpoint = request->endpoint;
	out.address = request->address;
	out.ticket = request->ticket;
	out.rank = request->rank;
	out.late = request->overdue;
	out.sure = request->unconditional;
	out.wait_ms = (uint32_t)(request->queue_timeout / PIMENTO_MSEC);
	out.late_in_ms = (uint32_t)(request->overdue_in / PIMENTO_MSEC);
	out.ahead_ms = (int32_t)(request->head_start / PIMENTO_MSEC);
	message.content_case = PEER__PACKET__CONTENT_ASK;
	message.ask = &out;
	return encode(&message, bytes, size);
}

static int pack_slot_reply(const packet_slot_reply_t *reply, uint8_t *bytes,
			   size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Reply out = PEER__REPLY__INIT;

	out.endpoint = reply->endpoint;
	out.ticket = reply->ticket;
	out.granted = reply->granted;
	out.running = reply->report.running;
	out.waiting = reply->report.waiting;
	out.gap_us = reply->report.event_gap_us;
	out.ejected_ms = reply->report.ejected_ms;
	out.doubtful = reply->report.suspect;
	message.content_case = PEER__PACKET__CONTENT_REPLY;
	message.reply = &out;
	return encode(&message, bytes, size);
}

static int pack_slot_release(const packet_slot_release_t *release,
			     uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Release out = PEER__RELEASE__INIT;

	out.endpoint = release->endpoint;
	out.address = release->address;
	out.ticket = release->ticket;
	out.gap_us = release->gap_us;
	out.finding = release->outcome;
	out.unused = release->unused;
	message.content_case = PEER__PACKET__CONTENT_RELEASE;
	message.release = &out;
	return encode(&message, bytes, size);
}

static int pack_running_report(const packet_running_report_t *report,
			       uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Report out = PEER__REPORT__INIT;

	out.endpoint = report->endpoint;
	out.address = report->address;
	out.running = report->running;
	message.content_case = PEER__PACKET__CONTENT_REPORT;
	message.report = &out;
	return encode(&message, bytes, size);
}

static int pack_trial(const packet_trial_t *trial, uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Trial out = PEER__TRIAL__INIT;
	evidence_scratch_t scratch;

	out.kind = trial->kind;
	out.address = trial->address;
	out.ticket = trial->ticket;
	out.suspects = trial->suspects;
	fill_evidence(&scratch, &trial->evidence);
	out.evidence = &scratch.message;
	message.content_case = PEER__PACKET__CONTENT_TRIAL;
	message.trial = &out;
	return encode(&message, bytes, size);
}

static int pack_rate_limit(const rate_limit_report_t *report, uint8_t *bytes,
			   size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__RateLimit out;

	fill_rate_limit(&out, report);
	message.content_case = PEER__PACKET__CONTENT_RATE_LIMIT;
	message.rate_limit = &out;
	return encode(&message, bytes, size);
}

static int pack_departure(const departure_t *departure, uint8_t *bytes,
			  size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Departure out;

	fill_departure(&out, departure);
	message.content_case = PEER__PACKET__CONTENT_DEPARTURE;
	message.departure = &out;
	return encode(&message, bytes, size);
}

static int pack_backoff(const packet_backoff_t *backoff, uint8_t *bytes,
			size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Backoff out = PEER__BACKOFF__INIT;

	out.endpoint = backoff->endpoint;
	out.process = backoff->process;
	out.span_ms = (uint32_t)(backoff->span / PIMENTO_MSEC) + 1;
	message.content_case = PEER__PACKET__CONTENT_BACKOFF;
	message.backoff = &out;
	return encode(&message, bytes, size);
}

/* Beyond any demand; what others state may add up to more than a number holds. */
#define SLOT_TIME_MAX_S 1e9
#define ARRIVALS_MAX 1e8

static uint64_t slot_time_us(double seconds)
{
	if (seconds > SLOT_TIME_MAX_S)
		seconds = SLOT_TIME_MAX_S;
	return seconds > 0 ? (uint64_t)(seconds * (double)PIMENTO_SEC + 0.5)
			   : 0;
}

static uint32_t arrivals_in_ten_seconds(double per_second)
{
	if (per_second > ARRIVALS_MAX)
		per_second = ARRIVALS_MAX;
	return (uint32_t)(per_second * 10 + 0.5);
}

static int pack_demand(const demand_report_t *report, uint8_t *bytes,
		       size_t size)
{
	const demand_t *demand = &report->demand;
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Demand out = PEER__DEMAND__INIT;
	uint64_t ranks[DEMAND_BANDS_MAX];
	uint64_t waiting[DEMAND_BANDS_MAX];
	uint64_t arriving[DEMAND_BANDS_MAX];
	uint32_t arrivals[DEMAND_BANDS_MAX];
	uint64_t shorter[DEMAND_BANDS_MAX * DEMAND_EDGES];
	uint64_t due[DEMAND_STEPS];

	for (uint32_t i = 0; i < demand->band_count; i++) {
		ranks[i] = demand->bands[i].rank;
		waiting[i] = slot_time_us(demand->bands[i].waiting);
		arriving[i] = slot_time_us(demand->bands[i].arriving);
		arrivals[i] =
			arrivals_in_ten_seconds(demand->bands[i].arrivals);
		for (uint32_t k = 0; k < DEMAND_EDGES; k++)
			shorter[i * DEMAND_EDGES + k] =
				slot_time_us(demand->bands[i].shorter[k]);
	}
	for (uint32_t i = 0; i < DEMAND_STEPS; i++) {
		due[i] = slot_time_us(demand->due[i]);
		if (due[i])
			out.n_due = i + 1;
	}
	out.due = due;
	out.service = report->service;
	out.address = report->address;
	out.sum = report->is_sum;
	out.hosts = demand->hosts;
	out.beginning = slot_time_us(demand->beginning);
	out.n_ranks = demand->band_count;
	out.ranks = ranks;
	out.n_waiting = demand->band_count;
	out.waiting = waiting;
	out.n_arriving = demand->band_count;
	out.arriving = arriving;
	out.n_arrivals = demand->band_count;
	out.arrivals = arrivals;
	out.n_shorter = (size_t)demand->band_count * DEMAND_EDGES;
	out.shorter = shorter;
	message.content_case = PEER__PACKET__CONTENT_DEMAND;
	message.demand = &out;
	return encode(&message, bytes, size);
}

/* The first request has fields of its own, which earlier versions know. */
static void fill_quota_items(const quota_message_t *quota,
			     Peer__QuotaMessage *out, uint64_t *tokens,
			     uint32_t *tiers)
{
	uint32_t more = quota->count ? quota->count - 1 : 0;

	out->admitted = quota->admitted & 1;
	out->more_admitted = quota->admitted >> 1;
	if (quota->kind != QUOTA_REQUEST) {
		out->more_decided = more;
		return;
	}
	out->tokens = truncate_tokens(quota->items[0].tokens);
	out->tier = quota->items[0].tier;
	for (uint32_t i = 0; i < more; i++) {
		tokens[i] = truncate_tokens(quota->items[i + 1].tokens);
		tiers[i] = quota->items[i + 1].tier;
	}
	out->n_more_tokens = more;
	out->more_tokens = tokens;
	out->n_more_tiers = more;
	out->more_tiers = tiers;
}

static int pack_quota(const quota_message_t *quota, uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__QuotaMessage out = PEER__QUOTA_MESSAGE__INIT;
	uint64_t tokens[QUOTA_BATCH_MAX];
	uint32_t tiers[QUOTA_BATCH_MAX];

	out.kind = quota->kind;
	out.address = quota->address;
	out.account = quota->account;
	out.ticket = quota->ticket;
	out.tokens = truncate_tokens(quota->tokens);
	fill_quota_items(quota, &out, tokens, tiers);
	out.per_second = truncate_tokens(quota->limit.tokens_per_second);
	out.burst = truncate_tokens(quota->limit.burst);
	out.version = quota->version;
	out.retry_after_ms = (uint32_t)(quota->retry_after / PIMENTO_MSEC);
	out.level = truncate_tokens(quota->level);
	message.content_case = PEER__PACKET__CONTENT_QUOTA;
	message.quota = &out;
	return encode(&message, bytes, size);
}

int packet_pack(const packet_t *packet, uint8_t *bytes, size_t size)
{
	switch (packet->kind) {
	case PACKET_GOSSIP:
		return pack_gossip(&packet->as.gossip, bytes, size);
	case PACKET_SLOT_REQUEST:
		return pack_slot_request(&packet->as.slot_request, bytes, size);
	case PACKET_SLOT_REPLY:
		return pack_slot_reply(&packet->as.slot_reply, bytes, size);
	case PACKET_SLOT_RELEASE:
		return pack_slot_release(&packet->as.slot_release, bytes, size);
	case PACKET_RUNNING_REPORT:
		return pack_running_report(&packet->as.running_report, bytes,
					   size);
	case PACKET_QUOTA:
		return pack_quota(&packet->as.quota, bytes, size);
	case PACKET_DEMAND:
		return pack_demand(&packet->as.demand, bytes, size);
	case PACKET_TRIAL:
		return pack_trial(&packet->as.trial, bytes, size);
	case PACKET_RATE_LIMIT:
		return pack_rate_limit(&packet->as.rate_limit, bytes, size);
	case PACKET_DEPARTURE:
		return pack_departure(&packet->as.departure, bytes, size);
	case PACKET_BACKOFF:
		return pack_backoff(&packet->as.backoff, bytes, size);
	}
	return PIMENTO_EINVAL;
}

static uint32_t clamp_count(size_t count, uint32_t max)
{
	return count < max ? (uint32_t)count : max;
}

/* Earlier versions send no age, which decodes as 0 and means unknown. */
static pimento_usec_t decode_age_ms(uint32_t ms)
{
	return ms && ms != AGE_MS_UNKNOWN ? ms * PIMENTO_MSEC : PIMENTO_NEVER;
}

/* Kinds of probe that a newer version may send are treated as no probe. */
static gossip_probe_kind_t probe_from_wire(uint32_t number)
{
	return number <= GOSSIP_ACK ? (gossip_probe_kind_t)number
				    : GOSSIP_NO_PROBE;
}

static void copy_membership(gossip_message_t *gossip, const Peer__Note *message)
{
	message_probe_t *membership = &gossip->membership;

	gossip->probe_kind = probe_from_wire(message->probe);
	gossip->reply_wanted = message->pull != 0;
	*membership = (message_probe_t){
		.sequence = message->sequence,
		.incarnation = message->incarnation,
		.target = message->target,
		.revision = message->settled != 0,
		.count = clamp_count(message->n_facts, MESSAGE_FACTS_MAX),
	};
	for (uint32_t i = 0; i < membership->count; i++)
		membership->facts[i] = (message_fact_t){
			.subject = message->facts[i]->address,
			.incarnation = message->facts[i]->incarnation,
			.version = message->facts[i]->version,
			.state = (uint8_t)clamp_count(message->facts[i]->state,
						      UINT8_MAX),
		};
	gossip->poller_count =
		clamp_count(message->n_readers, GOSSIP_POLLERS_MAX);
	for (uint32_t i = 0; i < gossip->poller_count; i++)
		gossip->pollers[i] = (gossip_poller_t){
			.address = message->readers[i]->address,
			.age = decode_age_ms(message->readers[i]->age_ms),
		};
}

/* Ages beyond all that evidence is kept for tell nothing more. */
static pimento_usec_t decode_evidence_age(uint32_t ms)
{
	pimento_usec_t age = decode_age_ms(ms);

	return age < QUARANTINE_RETENTION ? age : QUARANTINE_RETENTION;
}

/*
 * Ages become times before now, so that the receiver only adds its clock. Returns
 * false if it is of a kind that this version does not know.
 */
static bool copy_evidence(quarantine_evidence_t *evidence,
			  const Peer__Evidence *message)
{
	if (message->kind >= QUARANTINE_KINDS)
		return false;
	*evidence = (quarantine_evidence_t){
		.kind = (quarantine_kind_t)message->kind,
		.id = message->id,
		.answered = message->answered_ms != 0,
		.answered_at = -decode_evidence_age(message->answered_ms),
		.end_count =
			clamp_count(message->n_processes, QUARANTINE_ENDS_MAX),
	};
	if (evidence->end_count > message->n_ages_ms)
		evidence->end_count = (uint32_t)message->n_ages_ms;
	for (uint32_t i = 0; i < evidence->end_count; i++)
		evidence->ends[i] = (quarantine_end_t){
			message->processes[i],
			-decode_evidence_age(message->ages_ms[i]),
		};
	return true;
}

static void copy_rate_limit(rate_limit_report_t *report,
			    const Peer__RateLimit *message)
{
	*report = (rate_limit_report_t){
		.endpoint = message->endpoint,
		.stated = { .rate = clamp_count(message->rate, RATE_LIMIT_MAX),
			    .sources = message->sources,
			    .at = decode_age_ms(message->age_ms) },
	};
}

static void copy_departure(departure_t *departure,
			   const Peer__Departure *message)
{
	*departure = (departure_t){
		.endpoint = message->endpoint,
		.process = message->process,
		.revision = message->revision,
		.at = decode_age_ms(message->age_ms),
	};
}

static void copy_gossip(gossip_message_t *gossip, const Peer__Note *message)
{
	*gossip = (gossip_message_t){
		.address = message->address,
		.incarnation = message->incarnation,
		.datacentre = message->datacentre,
		.stamp = (pimento_usec_t)message->stamp,
		.echo = (pimento_usec_t)message->echo,
		.replicas = {
			[REPLICA_OPERATOR] = {
				message->operator_revision,
				decode_age_ms(message->operator_age_ms) },
			[REPLICA_ENDPOINTS] = {
				message->endpoints_revision,
				decode_age_ms(message->endpoints_age_ms) },
		},
		.load_count = clamp_count(message->n_loads, GOSSIP_LOADS_MAX),
		.quota_count = clamp_count(message->n_quotas, GOSSIP_QUOTAS_MAX),
		.owner_report_count = clamp_count(message->n_owned, GOSSIP_OWNER_REPORTS_MAX),
	};
	for (uint32_t i = 0; i < gossip->load_count; i++) {
		gossip->loads[i].endpoint = message->loads[i]->endpoint;
		gossip->loads[i].running = message->loads[i]->running;
		gossip->loads[i].prefill_tokens = message->loads[i]->reading;
	}
	for (uint32_t i = 0; i < gossip->quota_count; i++)
		gossip->quotas[i] = (quota_report_t){
			.account = message->quotas[i]->account,
			.level = (double)message->quotas[i]->level,
			.age = message->quotas[i]->age_ms * PIMENTO_MSEC,
		};
	for (uint32_t i = 0; i < gossip->owner_report_count; i++)
		gossip->owner_reports[i] = (gossip_owner_report_t){
			.endpoint = message->owned[i]->endpoint,
			.age = message->owned[i]->age_ms * PIMENTO_MSEC,
			.report = { .running = message->owned[i]->running,
				    .waiting = message->owned[i]->waiting,
				    .event_gap_us = message->owned[i]->gap_us,
				    .ejected_ms = message->owned[i]->ejected_ms,
				    .suspect =
					    message->owned[i]->doubtful != 0 },
		};
	for (size_t i = 0; i < message->n_evidence &&
			   gossip->evidence_count < GOSSIP_EVIDENCE_MAX;
	     i++)
		gossip->evidence_count +=
			copy_evidence(&gossip->evidence[gossip->evidence_count],
				      message->evidence[i]);
	gossip->rate_limit_count =
		clamp_count(message->n_rate_limits, GOSSIP_RATE_LIMITS_MAX);
	for (uint32_t i = 0; i < gossip->rate_limit_count; i++)
		copy_rate_limit(&gossip->rate_limits[i],
				message->rate_limits[i]);
	gossip->departure_count =
		clamp_count(message->n_departures, GOSSIP_DEPARTURES_MAX);
	for (uint32_t i = 0; i < gossip->departure_count; i++)
		copy_departure(&gossip->departures[i], message->departures[i]);
	copy_membership(gossip, message);
}

static void copy_slot_request(grants_request_t *request,
			      const Peer__Ask *message)
{
	*request = (grants_request_t){
		.endpoint = message->endpoint,
		.address = message->address,
		.ticket = message->ticket,
		.rank = message->rank,
		.overdue = message->late != 0,
		.unconditional = message->sure != 0,
		.queue_timeout = message->wait_ms * PIMENTO_MSEC,
		.overdue_in = message->late_in_ms * PIMENTO_MSEC,
		.head_start = message->ahead_ms * PIMENTO_MSEC,
	};
}

static void copy_slot_reply(packet_slot_reply_t *reply,
			    const Peer__Reply *message)
{
	*reply = (packet_slot_reply_t){
		.endpoint = message->endpoint,
		.ticket = message->ticket,
		.granted = message->granted != 0,
		.report = { .running = message->running,
			    .waiting = message->waiting,
			    .event_gap_us = message->gap_us,
			    .ejected_ms = message->ejected_ms,
			    .suspect = message->doubtful != 0 },
	};
}

/* Outcomes that a newer version may send are treated as no outcome. */
static latency_outcome_t outcome_from_wire(uint32_t number)
{
	return number < LATENCY_OUTCOMES ? (latency_outcome_t)number
					 : LATENCY_OUTCOME_NONE;
}

static void copy_slot_release(packet_slot_release_t *release,
			      const Peer__Release *message)
{
	*release = (packet_slot_release_t){
		.endpoint = message->endpoint,
		.address = message->address,
		.ticket = message->ticket,
		.gap_us = message->gap_us,
		.outcome = outcome_from_wire(message->finding),
		.unused = message->unused != 0,
	};
}

static void copy_running_report(packet_running_report_t *report,
				const Peer__Report *message)
{
	*report = (packet_running_report_t){
		.endpoint = message->endpoint,
		.address = message->address,
		.running = message->running,
	};
}

static void copy_quota_items(quota_message_t *quota,
			     const Peer__QuotaMessage *message)
{
	size_t more = message->n_more_tokens;

	quota->admitted = (message->admitted != 0) | message->more_admitted
							     << 1;
	if (quota->kind != QUOTA_REQUEST) {
		quota->count = 1 + message->more_decided;
		return;
	}
	if (more > message->n_more_tiers)
		more = message->n_more_tiers;
	if (more > QUOTA_BATCH_MAX - 1)
		more = QUOTA_BATCH_MAX - 1;
	quota->count = 1 + (uint32_t)more;
	quota->items[0] =
		(quota_item_t){ (double)message->tokens, message->tier };
	for (size_t i = 0; i < more; i++)
		quota->items[i + 1] =
			(quota_item_t){ (double)message->more_tokens[i],
					message->more_tiers[i] };
}

static int copy_quota(quota_message_t *quota, const Peer__QuotaMessage *message)
{
	if (message->kind >= QUOTA_MESSAGE_KINDS)
		return PIMENTO_EPARSE;
	*quota = (quota_message_t){
		.kind = (quota_message_kind_t)message->kind,
		.address = message->address,
		.account = message->account,
		.ticket = message->ticket,
		.tokens = (double)message->tokens,
		.limit = { (double)message->per_second,
			   (double)message->burst },
		.version = message->version,
		.retry_after = message->retry_after_ms * PIMENTO_MSEC,
		.level = (double)message->level,
	};
	copy_quota_items(quota, message);
	return 0;
}

static double seconds_of(uint64_t slot_time_us)
{
	return (double)slot_time_us / (double)PIMENTO_SEC;
}

static bool is_demand_valid(const Peer__Demand *message)
{
	size_t count = message->n_ranks;

	for (size_t i = 1; i < count; i++)
		if (message->ranks[i] <= message->ranks[i - 1])
			return false;
	return count <= DEMAND_BANDS_MAX && message->n_waiting == count &&
	       message->n_arriving == count && message->n_arrivals == count &&
	       message->n_shorter == count * DEMAND_EDGES &&
	       message->n_due <= DEMAND_STEPS;
}

static int copy_demand(demand_report_t *report, const Peer__Demand *message)
{
	size_t count = message->n_ranks;

	if (!is_demand_valid(message))
		return PIMENTO_EPARSE;
	*report = (demand_report_t){
		.service = message->service,
		.address = message->address,
		.is_sum = message->sum != 0,
		.demand = { .beginning = seconds_of(message->beginning),
			    .hosts = message->hosts,
			    .band_count = (uint32_t)count },
	};
	for (size_t i = 0; i < message->n_due; i++)
		report->demand.due[i] = seconds_of(message->due[i]);
	for (size_t i = 0; i < count; i++) {
		demand_band_t *band = &report->demand.bands[i];

		band->rank = message->ranks[i];
		band->waiting = seconds_of(message->waiting[i]);
		band->arriving = seconds_of(message->arriving[i]);
		band->arrivals = (double)message->arrivals[i] / 10;
		for (size_t k = 0; k < DEMAND_EDGES; k++)
			band->shorter[k] = seconds_of(
				message->shorter[i * DEMAND_EDGES + k]);
	}
	return 0;
}

static int copy_trial(packet_trial_t *trial, const Peer__Trial *message)
{
	if (message->kind >= PACKET_TRIAL_KINDS || !message->evidence)
		return PIMENTO_EPARSE;
	*trial = (packet_trial_t){
		.kind = (packet_trial_kind_t)message->kind,
		.address = message->address,
		.ticket = message->ticket,
		.suspects = message->suspects,
	};
	return copy_evidence(&trial->evidence, message->evidence)
		       ? 0
		       : PIMENTO_EPARSE;
}

static int copy_content(packet_t *packet, const Peer__Packet *message)
{
	switch (message->content_case) {
	case PEER__PACKET__CONTENT_NOTE:
		packet->kind = PACKET_GOSSIP;
		copy_gossip(&packet->as.gossip, message->note);
		return 0;
	case PEER__PACKET__CONTENT_ASK:
		packet->kind = PACKET_SLOT_REQUEST;
		copy_slot_request(&packet->as.slot_request, message->ask);
		return 0;
	case PEER__PACKET__CONTENT_REPLY:
		packet->kind = PACKET_SLOT_REPLY;
		copy_slot_reply(&packet->as.slot_reply, message->reply);
		return 0;
	case PEER__PACKET__CONTENT_RELEASE:
		packet->kind = PACKET_SLOT_RELEASE;
		copy_slot_release(&packet->as.slot_release, message->release);
		return 0;
	case PEER__PACKET__CONTENT_REPORT:
		packet->kind = PACKET_RUNNING_REPORT;
		copy_running_report(&packet->as.running_report,
				    message->report);
		return 0;
	case PEER__PACKET__CONTENT_DEMAND:
		packet->kind = PACKET_DEMAND;
		return copy_demand(&packet->as.demand, message->demand);
	case PEER__PACKET__CONTENT_QUOTA:
		packet->kind = PACKET_QUOTA;
		return copy_quota(&packet->as.quota, message->quota);
	case PEER__PACKET__CONTENT_TRIAL:
		packet->kind = PACKET_TRIAL;
		return copy_trial(&packet->as.trial, message->trial);
	case PEER__PACKET__CONTENT_RATE_LIMIT:
		packet->kind = PACKET_RATE_LIMIT;
		copy_rate_limit(&packet->as.rate_limit, message->rate_limit);
		return 0;
	case PEER__PACKET__CONTENT_DEPARTURE:
		packet->kind = PACKET_DEPARTURE;
		copy_departure(&packet->as.departure, message->departure);
		return 0;
	case PEER__PACKET__CONTENT_BACKOFF:
		packet->kind = PACKET_BACKOFF;
		packet->as.backoff = (packet_backoff_t){
			.endpoint = message->backoff->endpoint,
			.process = message->backoff->process,
			.span = message->backoff->span_ms * PIMENTO_MSEC,
		};
		return 0;
	default:
		return PIMENTO_EPARSE; /* packet of a newer version, or malformed */
	}
}

int packet_unpack(packet_t *packet, const uint8_t *bytes, size_t length)
{
	Peer__Packet *message = peer__packet__unpack(NULL, length, bytes);
	int error;

	if (!message)
		return PIMENTO_EPARSE;
	error = copy_content(packet, message);
	peer__packet__free_unpacked(message, NULL);
	return error;
}
