#include "packet.h"

#include <string.h>

#include "peer.pb-c.h"

#define AGE_UNKNOWN UINT32_MAX

typedef struct packed {
	Peer__Load loads[ROSTER_LOADS_MAX];
	Peer__Load *load_pointers[ROSTER_LOADS_MAX];
	Peer__Quota quotas[ROSTER_QUOTAS_MAX];
	Peer__Quota *quota_pointers[ROSTER_QUOTAS_MAX];
	Peer__Owned owned[ROSTER_OWNED_MAX];
	Peer__Owned *owned_pointers[ROSTER_OWNED_MAX];
	Peer__Fact facts[MESSAGE_FACTS_MAX];
	Peer__Fact *fact_pointers[MESSAGE_FACTS_MAX];
	Peer__Reader readers[ROSTER_READERS_MAX];
	Peer__Reader *reader_pointers[ROSTER_READERS_MAX];
} packed_t;

static uint32_t age_msec(pimento_usec_t age)
{
	if (age < 0 || age / PIMENTO_MSEC + 1 >= AGE_UNKNOWN)
		return AGE_UNKNOWN;
	return (uint32_t)(age / PIMENTO_MSEC) + 1; /* never younger */
}

static uint64_t whole(double tokens)
{
	return tokens > 0 ? (uint64_t)tokens : 0;
}

static void point_members(Peer__Note *message, const roster_note_t *note,
			  packed_t *packed)
{
	const message_probe_t *membership = &note->membership;

	for (uint32_t i = 0; i < membership->count; i++) {
		const message_fact_t *fact = &membership->facts[i];

		peer__fact__init(&packed->facts[i]);
		packed->facts[i].address = (uint32_t)fact->subject;
		packed->facts[i].incarnation = fact->incarnation;
		packed->facts[i].version = fact->version;
		packed->facts[i].state = fact->state;
		packed->fact_pointers[i] = &packed->facts[i];
	}
	for (uint32_t i = 0; i < note->reader_count; i++) {
		peer__reader__init(&packed->readers[i]);
		packed->readers[i].address = note->readers[i].address;
		packed->readers[i].age_ms = age_msec(note->readers[i].age);
		packed->reader_pointers[i] = &packed->readers[i];
	}
	message->probe = note->probe;
	message->pull = note->pull;
	message->sequence = membership->sequence;
	message->target = (uint32_t)membership->target;
	message->settled = membership->revision != 0;
	message->n_facts = membership->count;
	message->facts = packed->fact_pointers;
	message->n_readers = note->reader_count;
	message->readers = packed->reader_pointers;
}

static void point(Peer__Note *message, const roster_note_t *note,
		  packed_t *packed)
{
	for (uint32_t i = 0; i < note->load_count; i++) {
		peer__load__init(&packed->loads[i]);
		packed->loads[i].endpoint = note->loads[i].endpoint;
		packed->loads[i].running = note->loads[i].running;
		packed->loads[i].reading = note->loads[i].reading;
		packed->load_pointers[i] = &packed->loads[i];
	}
	for (uint32_t i = 0; i < note->quota_count; i++) {
		peer__quota__init(&packed->quotas[i]);
		packed->quotas[i].account = note->quotas[i].account;
		packed->quotas[i].level = whole(note->quotas[i].level);
		packed->quotas[i].age_ms =
			(uint32_t)(note->quotas[i].age / PIMENTO_MSEC);
		packed->quota_pointers[i] = &packed->quotas[i];
	}
	for (uint32_t i = 0; i < note->owned_count; i++) {
		peer__owned__init(&packed->owned[i]);
		packed->owned[i].endpoint = note->owned[i].endpoint;
		packed->owned[i].running = note->owned[i].word.running;
		packed->owned[i].waiting = note->owned[i].word.waiting;
		packed->owned[i].gap_us = note->owned[i].word.gap_us;
		packed->owned[i].ejected_ms = note->owned[i].word.ejected_ms;
		packed->owned[i].doubtful = note->owned[i].word.doubtful;
		packed->owned[i].age_ms =
			(uint32_t)(note->owned[i].age / PIMENTO_MSEC);
		packed->owned_pointers[i] = &packed->owned[i];
	}
	message->n_owned = note->owned_count;
	message->owned = packed->owned_pointers;
	message->n_loads = note->load_count;
	message->loads = packed->load_pointers;
	message->n_quotas = note->quota_count;
	message->quotas = packed->quota_pointers;
}

/* Encodes a packet whose parts live as long as this call. */
static int encode(const Peer__Packet *message, uint8_t *bytes, size_t size)
{
	if (peer__packet__get_packed_size(message) > size)
		return PIMENTO_ETOOBIG;
	return (int)peer__packet__pack(message, bytes);
}

/* Reports of endpoints that come before a host's own loads. */
#define OWNED_FIRST 16

/* Lowers a count of the message's parts, down to least, until it fits. */
static void leave_out_of(const Peer__Packet *message, size_t size,
			 size_t *count, size_t least)
{
	while (*count > least && peer__packet__get_packed_size(message) > size)
		(*count)--;
}

/*
 * A host with requests at many endpoints, accounts and engines of its own has
 * more to say than a datagram holds. A note that is not sent at all would make
 * it mute. Loads are the least that can be missed, as owners count what they
 * granted; then reports of other owners' endpoints.
 */
static void leave_out(Peer__Packet *message, size_t size)
{
	Peer__Note *said = message->note;

	leave_out_of(message, size, &said->n_owned, OWNED_FIRST);
	leave_out_of(message, size, &said->n_loads, 0);
	leave_out_of(message, size, &said->n_owned, 0);
	leave_out_of(message, size, &said->n_quotas, 0);
}

static int pack_note(const roster_note_t *note, uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Note said = PEER__NOTE__INIT;
	packed_t packed;

	said.address = note->address;
	said.incarnation = note->incarnation;
	said.stamp = (uint64_t)note->stamp;
	said.echo = (uint64_t)note->echo;
	said.fresh_age_ms = age_msec(note->copies[MIRROR_CONFIGURATION].age);
	said.revision = note->copies[MIRROR_CONFIGURATION].revision;
	said.endpoints_age_ms = age_msec(note->copies[MIRROR_ENDPOINTS].age);
	said.endpoints_revision = note->copies[MIRROR_ENDPOINTS].revision;
	point(&said, note, &packed);
	point_members(&said, note, &packed);
	message.content_case = PEER__PACKET__CONTENT_NOTE;
	message.note = &said;
	leave_out(&message, size);
	return encode(&message, bytes, size);
}

static int pack_ask(const grants_ask_t *ask, uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Ask said = PEER__ASK__INIT;

	said.endpoint = ask->endpoint;
	said.address = ask->address;
	said.ticket = ask->ticket;
	said.rank = ask->rank;
	said.late = ask->late;
	said.sure = ask->sure;
	said.wait_ms = (uint32_t)(ask->wait / PIMENTO_MSEC);
	said.late_in_ms = (uint32_t)(ask->late_in / PIMENTO_MSEC);
	said.ahead_ms = (int32_t)(ask->ahead / PIMENTO_MSEC);
	message.content_case = PEER__PACKET__CONTENT_ASK;
	message.ask = &said;
	return encode(&message, bytes, size);
}

static int pack_reply(const packet_reply_t *reply, uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Reply said = PEER__REPLY__INIT;

	said.endpoint = reply->endpoint;
	said.ticket = reply->ticket;
	said.granted = reply->granted;
	said.running = reply->word.running;
	said.waiting = reply->word.waiting;
	said.gap_us = reply->word.gap_us;
	said.ejected_ms = reply->word.ejected_ms;
	said.doubtful = reply->word.doubtful;
	message.content_case = PEER__PACKET__CONTENT_REPLY;
	message.reply = &said;
	return encode(&message, bytes, size);
}

static int pack_release(const packet_release_t *release, uint8_t *bytes,
			size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Release said = PEER__RELEASE__INIT;

	said.endpoint = release->endpoint;
	said.address = release->address;
	said.ticket = release->ticket;
	said.gap_us = release->gap_us;
	said.finding = release->finding;
	message.content_case = PEER__PACKET__CONTENT_RELEASE;
	message.release = &said;
	return encode(&message, bytes, size);
}

static int pack_report(const packet_report_t *report, uint8_t *bytes,
		       size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__Report said = PEER__REPORT__INIT;

	said.endpoint = report->endpoint;
	said.address = report->address;
	said.running = report->running;
	message.content_case = PEER__PACKET__CONTENT_REPORT;
	message.report = &said;
	return encode(&message, bytes, size);
}

static int pack_quota(const quota_message_t *quota, uint8_t *bytes, size_t size)
{
	Peer__Packet message = PEER__PACKET__INIT;
	Peer__QuotaMessage said = PEER__QUOTA_MESSAGE__INIT;

	said.kind = quota->kind;
	said.address = quota->address;
	said.account = quota->account;
	said.ticket = quota->ticket;
	said.tokens = whole(quota->tokens);
	said.tier = quota->tier;
	said.per_second = whole(quota->limit.per_second);
	said.burst = whole(quota->limit.burst);
	said.version = quota->version;
	said.admitted = quota->admitted;
	said.retry_after_ms = (uint32_t)(quota->retry_after / PIMENTO_MSEC);
	said.level = whole(quota->level);
	message.content_case = PEER__PACKET__CONTENT_QUOTA;
	message.quota = &said;
	return encode(&message, bytes, size);
}

int packet_pack(const packet_t *packet, uint8_t *bytes, size_t size)
{
	switch (packet->kind) {
	case PACKET_NOTE:
		return pack_note(&packet->as.note, bytes, size);
	case PACKET_ASK:
		return pack_ask(&packet->as.ask, bytes, size);
	case PACKET_REPLY:
		return pack_reply(&packet->as.reply, bytes, size);
	case PACKET_RELEASE:
		return pack_release(&packet->as.release, bytes, size);
	case PACKET_REPORT:
		return pack_report(&packet->as.report, bytes, size);
	case PACKET_QUOTA:
		return pack_quota(&packet->as.quota, bytes, size);
	}
	return PIMENTO_EINVAL;
}

static uint32_t least(size_t count, uint32_t most)
{
	return count < most ? (uint32_t)count : most;
}

/* Earlier versions do not send an age, which decodes as 0. */
static pimento_usec_t age_from_msec(uint32_t ms)
{
	return ms && ms != AGE_UNKNOWN ? ms * PIMENTO_MSEC : PIMENTO_NEVER;
}

/* A newer host may use the probe in ways that this one does not know. */
static roster_probe_t probe_of(uint32_t number)
{
	return number <= ROSTER_ACK ? (roster_probe_t)number : ROSTER_NO_PROBE;
}

static void copy_members(roster_note_t *note, const Peer__Note *message)
{
	message_probe_t *membership = &note->membership;

	note->probe = probe_of(message->probe);
	note->pull = message->pull != 0;
	*membership = (message_probe_t){
		.sequence = message->sequence,
		.incarnation = message->incarnation,
		.target = message->target,
		.revision = message->settled != 0,
		.count = least(message->n_facts, MESSAGE_FACTS_MAX),
	};
	for (uint32_t i = 0; i < membership->count; i++)
		membership->facts[i] = (message_fact_t){
			.subject = message->facts[i]->address,
			.incarnation = message->facts[i]->incarnation,
			.version = message->facts[i]->version,
			.state = (uint8_t)least(message->facts[i]->state,
						UINT8_MAX),
		};
	note->reader_count = least(message->n_readers, ROSTER_READERS_MAX);
	for (uint32_t i = 0; i < note->reader_count; i++)
		note->readers[i] = (roster_reader_t){
			.address = message->readers[i]->address,
			.age = age_from_msec(message->readers[i]->age_ms),
		};
}

static void copy_note(roster_note_t *note, const Peer__Note *message)
{
	*note = (roster_note_t){
		.address = message->address,
		.incarnation = message->incarnation,
		.stamp = (pimento_usec_t)message->stamp,
		.echo = (pimento_usec_t)message->echo,
		.copies = {
			[MIRROR_CONFIGURATION] = {
				message->revision,
				age_from_msec(message->fresh_age_ms) },
			[MIRROR_ENDPOINTS] = {
				message->endpoints_revision,
				age_from_msec(message->endpoints_age_ms) },
		},
		.load_count = least(message->n_loads, ROSTER_LOADS_MAX),
		.quota_count = least(message->n_quotas, ROSTER_QUOTAS_MAX),
		.owned_count = least(message->n_owned, ROSTER_OWNED_MAX),
	};
	for (uint32_t i = 0; i < note->load_count; i++) {
		note->loads[i].endpoint = message->loads[i]->endpoint;
		note->loads[i].running = message->loads[i]->running;
		note->loads[i].reading = message->loads[i]->reading;
	}
	for (uint32_t i = 0; i < note->quota_count; i++)
		note->quotas[i] = (quota_report_t){
			.account = message->quotas[i]->account,
			.level = (double)message->quotas[i]->level,
			.age = message->quotas[i]->age_ms * PIMENTO_MSEC,
		};
	for (uint32_t i = 0; i < note->owned_count; i++)
		note->owned[i] = (roster_owned_t){
			.endpoint = message->owned[i]->endpoint,
			.age = message->owned[i]->age_ms * PIMENTO_MSEC,
			.word = { .running = message->owned[i]->running,
				  .waiting = message->owned[i]->waiting,
				  .gap_us = message->owned[i]->gap_us,
				  .ejected_ms = message->owned[i]->ejected_ms,
				  .doubtful =
					  message->owned[i]->doubtful != 0 },
		};
	copy_members(note, message);
}

static void copy_ask(grants_ask_t *ask, const Peer__Ask *message)
{
	*ask = (grants_ask_t){
		.endpoint = message->endpoint,
		.address = message->address,
		.ticket = message->ticket,
		.rank = message->rank,
		.late = message->late != 0,
		.sure = message->sure != 0,
		.wait = message->wait_ms * PIMENTO_MSEC,
		.late_in = message->late_in_ms * PIMENTO_MSEC,
		.ahead = message->ahead_ms * PIMENTO_MSEC,
	};
}

static void copy_reply(packet_reply_t *reply, const Peer__Reply *message)
{
	*reply = (packet_reply_t){
		.endpoint = message->endpoint,
		.ticket = message->ticket,
		.granted = message->granted != 0,
		.word = { .running = message->running,
			  .waiting = message->waiting,
			  .gap_us = message->gap_us,
			  .ejected_ms = message->ejected_ms,
			  .doubtful = message->doubtful != 0 },
	};
}

/* A newer host may tell of findings that this one does not know. */
static pace_finding_t finding_of(uint32_t number)
{
	return number < PACE_FINDINGS ? (pace_finding_t)number : PACE_NOTHING;
}

static void copy_release(packet_release_t *release,
			 const Peer__Release *message)
{
	*release = (packet_release_t){
		.endpoint = message->endpoint,
		.address = message->address,
		.ticket = message->ticket,
		.gap_us = message->gap_us,
		.finding = finding_of(message->finding),
	};
}

static void copy_report(packet_report_t *report, const Peer__Report *message)
{
	*report = (packet_report_t){
		.endpoint = message->endpoint,
		.address = message->address,
		.running = message->running,
	};
}

static int copy_quota(quota_message_t *quota, const Peer__QuotaMessage *message)
{
	if (message->kind >= QUOTA_MESSAGES)
		return PIMENTO_EPARSE;
	*quota = (quota_message_t){
		.kind = (quota_message_kind_t)message->kind,
		.address = message->address,
		.account = message->account,
		.ticket = message->ticket,
		.tokens = (double)message->tokens,
		.tier = message->tier,
		.limit = { (double)message->per_second,
			   (double)message->burst },
		.version = message->version,
		.admitted = message->admitted != 0,
		.retry_after = message->retry_after_ms * PIMENTO_MSEC,
		.level = (double)message->level,
	};
	return 0;
}

static int copy(packet_t *packet, const Peer__Packet *message)
{
	switch (message->content_case) {
	case PEER__PACKET__CONTENT_NOTE:
		packet->kind = PACKET_NOTE;
		copy_note(&packet->as.note, message->note);
		return 0;
	case PEER__PACKET__CONTENT_ASK:
		packet->kind = PACKET_ASK;
		copy_ask(&packet->as.ask, message->ask);
		return 0;
	case PEER__PACKET__CONTENT_REPLY:
		packet->kind = PACKET_REPLY;
		copy_reply(&packet->as.reply, message->reply);
		return 0;
	case PEER__PACKET__CONTENT_RELEASE:
		packet->kind = PACKET_RELEASE;
		copy_release(&packet->as.release, message->release);
		return 0;
	case PEER__PACKET__CONTENT_REPORT:
		packet->kind = PACKET_REPORT;
		copy_report(&packet->as.report, message->report);
		return 0;
	case PEER__PACKET__CONTENT_QUOTA:
		packet->kind = PACKET_QUOTA;
		return copy_quota(&packet->as.quota, message->quota);
	default:
		return PIMENTO_EPARSE; /* of a later version, or rubbish */
	}
}

int packet_unpack(packet_t *packet, const uint8_t *bytes, size_t length)
{
	Peer__Packet *message = peer__packet__unpack(NULL, length, bytes);
	int error;

	if (!message)
		return PIMENTO_EPARSE;
	error = copy(packet, message);
	peer__packet__free_unpacked(message, NULL);
	return error;
}
