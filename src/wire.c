/*
 * Converts between the typed messages and their protobuf encoding. Encoding
 * builds the generated structures on the stack, with pointers into the message;
 * decoding copies from what protobuf-c allocated and frees that at once. So no
 * pointer to a protobuf structure leaves this file.
 */

#include "wire.h"
#include "wire.pb-c.h"

#include <string.h>

/* The structures that an envelope can point to while it is packed. */
typedef struct scratch {
	Wire__Reqid reqid;
	Wire__Reqid dispatch_reqid;
	Wire__Summary summaries[MESSAGE_SUMMARIES_MAX];
	Wire__Summary *summary_list[MESSAGE_SUMMARIES_MAX];
	Wire__Fact facts[MESSAGE_FACTS_MAX];
	Wire__Fact *fact_list[MESSAGE_FACTS_MAX];
	Wire__Place dispatch;
	union {
		Wire__Reserve reserve;
		Wire__Grant grant;
		Wire__Wait wait;
		Wire__Refuse refuse;
		Wire__Release release;
		Wire__Progress progress;
		Wire__Digest digest;
		Wire__Claim claim;
		Wire__Witness witness;
		Wire__Probe probe;
		Wire__Offer offer;
		Wire__Pull pull;
		Wire__Part part;
	} u;
} scratch_t;

static Wire__Reqid *encode_id(Wire__Reqid *to, uint64_t hi, uint64_t lo)
{
	wire__reqid__init(to);
	to->hi = hi;
	to->lo = lo;
	return to;
}

static Wire__Summary *encode_summary(Wire__Summary *to,
				     const message_summary_t *from)
{
	wire__summary__init(to);
	to->endpoint = from->endpoint;
	to->epoch = from->epoch;
	to->running = from->running;
	to->limit = from->limit;
	to->running_tokens = from->running_tokens;
	to->token_limit = from->token_limit;
	to->n_waiting = PIMENTO_TIERS_MAX;
	to->waiting = (uint32_t *)from->waiting;
	to->n_wait = PIMENTO_TIERS_MAX;
	to->wait = (uint32_t *)from->wait_ms;
	to->waiting_tokens = from->waiting_tokens;
	to->prefill_rate = from->prefill_rate;
	to->decode_rate = from->decode_rate;
	to->leaving = from->leaving;
	return to;
}

static Wire__Place *encode_dispatch(scratch_t *s,
				    const message_dispatch_t *from)
{
	wire__place__init(&s->dispatch);
	s->dispatch.request =
		encode_id(&s->dispatch_reqid, from->id.hi, from->id.lo);
	s->dispatch.endpoint = from->endpoint;
	s->dispatch.digest = from->digest;
	s->dispatch.done = from->done;
	s->dispatch.status = from->status;
	s->dispatch.answer.data = (uint8_t *)from->answer;
	s->dispatch.answer.len = from->answer_size;
	return &s->dispatch;
}

static void encode_reserve(scratch_t *s, Wire__Envelope *e,
			   const message_reserve_t *m)
{
	Wire__Reserve *to = &s->u.reserve;

	wire__reserve__init(to);
	to->request = encode_id(&s->reqid, m->request.hi, m->request.lo);
	to->round = m->round;
	to->endpoint = m->endpoint;
	to->account = m->account;
	to->tier = m->tier;
	to->hops = m->hops;
	to->patience = m->time_left;
	to->prompt_tokens = m->prompt_tokens;
	to->answer_tokens = m->answer_tokens;
	to->prefix = m->prefix_hash;
	e->body_case = WIRE__ENVELOPE__BODY_RESERVE;
	e->reserve = to;
}

static void encode_grant(scratch_t *s, Wire__Envelope *e,
			 const message_grant_t *m)
{
	Wire__Grant *to = &s->u.grant;

	wire__grant__init(to);
	to->request = encode_id(&s->reqid, m->request.hi, m->request.lo);
	to->round = m->round;
	to->epoch = m->epoch;
	to->lifetime = m->lifetime;
	to->summary = encode_summary(&s->summaries[0], &m->summary);
	e->body_case = WIRE__ENVELOPE__BODY_GRANT;
	e->grant = to;
}

static void encode_wait(scratch_t *s, Wire__Envelope *e,
			const message_wait_t *m)
{
	Wire__Wait *to = &s->u.wait;

	wire__wait__init(to);
	to->request = encode_id(&s->reqid, m->request.hi, m->request.lo);
	to->round = m->round;
	to->expected = m->expected_wait;
	to->summary = encode_summary(&s->summaries[0], &m->summary);
	e->body_case = WIRE__ENVELOPE__BODY_WAIT;
	e->wait = to;
}

static void encode_refuse(scratch_t *s, Wire__Envelope *e,
			  const message_refuse_t *m)
{
	Wire__Refuse *to = &s->u.refuse;

	wire__refuse__init(to);
	to->request = encode_id(&s->reqid, m->request.hi, m->request.lo);
	to->round = m->round;
	to->reason = m->reason;
	to->retry_after = m->retry_after;
	to->elsewhere = m->alternative_endpoint;
	to->summary = encode_summary(&s->summaries[0], &m->summary);
	e->body_case = WIRE__ENVELOPE__BODY_REFUSE;
	e->refuse = to;
}

static void encode_release(scratch_t *s, Wire__Envelope *e,
			   const message_release_t *m)
{
	Wire__Release *to = &s->u.release;

	wire__release__init(to);
	to->request = encode_id(&s->reqid, m->request.hi, m->request.lo);
	to->round = m->round;
	to->endpoint = m->endpoint;
	to->epoch = m->epoch;
	to->outcome = m->outcome;
	to->prompt_tokens = m->prompt_tokens;
	to->answer_tokens = m->answer_tokens;
	to->first_token = m->time_to_first_token;
	to->decode = m->decode_time;
	e->body_case = WIRE__ENVELOPE__BODY_RELEASE;
	e->release = to;
}

static void encode_progress(scratch_t *s, Wire__Envelope *e,
			    const message_progress_t *m)
{
	Wire__Progress *to = &s->u.progress;

	wire__progress__init(to);
	to->request = encode_id(&s->reqid, m->request.hi, m->request.lo);
	to->round = m->round;
	to->endpoint = m->endpoint;
	to->epoch = m->epoch;
	to->answer_tokens = m->answer_tokens;
	to->first_token = m->time_to_first_token;
	to->decode = m->decode_time;
	e->body_case = WIRE__ENVELOPE__BODY_PROGRESS;
	e->progress = to;
}

static void encode_digest(scratch_t *s, Wire__Envelope *e,
			  const message_digest_t *m)
{
	Wire__Digest *to = &s->u.digest;

	wire__digest__init(to);
	for (uint32_t i = 0; i < m->count; i++)
		s->summary_list[i] =
			encode_summary(&s->summaries[i], &m->summaries[i]);
	to->n_summaries = m->count;
	to->summaries = s->summary_list;
	e->body_case = WIRE__ENVELOPE__BODY_DIGEST;
	e->digest = to;
}

static void encode_claim(scratch_t *s, Wire__Envelope *e,
			 const message_claim_t *m)
{
	Wire__Claim *to = &s->u.claim;

	wire__claim__init(to);
	to->op = m->op;
	to->key = encode_id(&s->reqid, m->key.hi, m->key.lo);
	to->sequence = m->sequence;
	to->incarnation = m->incarnation;
	to->view = m->witness_set_hash;
	to->age = m->key_age;
	to->attempt = m->attempt;
	to->place = encode_dispatch(s, &m->dispatch);
	e->body_case = WIRE__ENVELOPE__BODY_CLAIM;
	e->claim = to;
}

static void encode_witness(scratch_t *s, Wire__Envelope *e,
			   const message_witness_t *m)
{
	Wire__Witness *to = &s->u.witness;

	wire__witness__init(to);
	to->key = encode_id(&s->reqid, m->key.hi, m->key.lo);
	to->sequence = m->sequence;
	to->incarnation = m->incarnation;
	to->answer = m->result;
	to->sealed = m->sealed;
	to->attempt = m->attempt;
	if (m->attempt)
		to->place = encode_dispatch(s, &m->dispatch);
	e->body_case = WIRE__ENVELOPE__BODY_WITNESS;
	e->witness = to;
}

static void encode_probe(scratch_t *s, Wire__Envelope *e,
			 const message_probe_t *m, bool ack)
{
	Wire__Probe *to = &s->u.probe;

	wire__probe__init(to);
	to->sequence = m->sequence;
	to->incarnation = m->incarnation;
	to->target = m->target;
	to->revision = m->revision;
	to->hosts_revision = m->hosts_revision;
	for (uint32_t i = 0; i < m->count; i++) {
		Wire__Fact *fact = &s->facts[i];

		wire__fact__init(fact);
		fact->subject = m->facts[i].subject;
		fact->incarnation = m->facts[i].incarnation;
		fact->version = m->facts[i].version;
		fact->state = m->facts[i].state;
		fact->endpoint = m->facts[i].is_endpoint;
		s->fact_list[i] = fact;
	}
	to->n_facts = m->count;
	to->facts = s->fact_list;
	e->body_case =
		ack ? WIRE__ENVELOPE__BODY_ACK : WIRE__ENVELOPE__BODY_PROBE;
	e->probe = to;
}

static void encode_offer(scratch_t *s, Wire__Envelope *e,
			 const message_offer_t *m)
{
	Wire__Offer *to = &s->u.offer;

	wire__offer__init(to);
	to->subject = m->subject;
	to->revision = m->revision;
	to->digest = m->digest;
	to->size = m->size;
	e->body_case = WIRE__ENVELOPE__BODY_OFFER;
	e->offer = to;
}

static void encode_pull(scratch_t *s, Wire__Envelope *e,
			const message_pull_t *m)
{
	Wire__Pull *to = &s->u.pull;

	wire__pull__init(to);
	to->subject = m->subject;
	to->revision = m->revision;
	to->held = m->base;
	to->offset = m->offset;
	e->body_case = WIRE__ENVELOPE__BODY_PULL;
	e->pull = to;
}

static void encode_part(scratch_t *s, Wire__Envelope *e,
			const message_part_t *m)
{
	Wire__Part *to = &s->u.part;

	wire__part__init(to);
	to->subject = m->subject;
	to->revision = m->revision;
	to->held = m->base;
	to->digest = m->digest;
	to->size = m->size;
	to->offset = m->offset;
	to->body.data = (uint8_t *)m->bytes;
	to->body.len = m->length;
	e->body_case = WIRE__ENVELOPE__BODY_PART;
	e->part = to;
}

/* False if encoding the message would read past the end of one of its arrays. */
static bool counts_in_bounds(const message_t *m)
{
	switch (m->kind) {
	case MESSAGE_DIGEST:
		return m->u.digest.count <= MESSAGE_SUMMARIES_MAX;
	case MESSAGE_PROBE:
	case MESSAGE_ACK:
		return m->u.probe.count <= MESSAGE_FACTS_MAX;
	case MESSAGE_PART:
		return m->u.part.length <= MESSAGE_PART_BYTES_MAX;
	case MESSAGE_CLAIM:
		return m->u.claim.dispatch.answer_size <=
		       MESSAGE_ANSWER_BYTES_MAX;
	case MESSAGE_WITNESS:
		return m->u.witness.dispatch.answer_size <=
		       MESSAGE_ANSWER_BYTES_MAX;
	default:
		return true;
	}
}

static int encode_message(scratch_t *s, Wire__Envelope *e, const message_t *m)
{
	switch (m->kind) {
	case MESSAGE_RESERVE:
		encode_reserve(s, e, &m->u.reserve);
		return PIMENTO_OK;
	case MESSAGE_GRANT:
		encode_grant(s, e, &m->u.grant);
		return PIMENTO_OK;
	case MESSAGE_WAIT:
		encode_wait(s, e, &m->u.wait);
		return PIMENTO_OK;
	case MESSAGE_REFUSE:
		encode_refuse(s, e, &m->u.refuse);
		return PIMENTO_OK;
	case MESSAGE_RELEASE:
		encode_release(s, e, &m->u.release);
		return PIMENTO_OK;
	case MESSAGE_PROGRESS:
		encode_progress(s, e, &m->u.progress);
		return PIMENTO_OK;
	case MESSAGE_DIGEST:
		encode_digest(s, e, &m->u.digest);
		return PIMENTO_OK;
	case MESSAGE_CLAIM:
		encode_claim(s, e, &m->u.claim);
		return PIMENTO_OK;
	case MESSAGE_WITNESS:
		encode_witness(s, e, &m->u.witness);
		return PIMENTO_OK;
	case MESSAGE_PROBE:
	case MESSAGE_ACK:
		encode_probe(s, e, &m->u.probe, m->kind == MESSAGE_ACK);
		return PIMENTO_OK;
	case MESSAGE_OFFER:
		encode_offer(s, e, &m->u.offer);
		return PIMENTO_OK;
	case MESSAGE_PULL:
		encode_pull(s, e, &m->u.pull);
		return PIMENTO_OK;
	case MESSAGE_PART:
		encode_part(s, e, &m->u.part);
		return PIMENTO_OK;
	case MESSAGE_NONE:
	case MESSAGE_KINDS:
	default:
		return PIMENTO_EINVAL;
	}
}

int wire_encode(pimento_id_t from, const message_t *message, uint8_t *frame,
		size_t size)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	scratch_t scratch;
	size_t length;

	if (!counts_in_bounds(message))
		return PIMENTO_EINVAL;
	if (encode_message(&scratch, &envelope, message))
		return PIMENTO_EINVAL;
	envelope.from = from;
	length = wire__envelope__get_packed_size(&envelope);
	if (length > WIRE_PAYLOAD_MAX || length + WIRE_HEADER_SIZE > size)
		return PIMENTO_ETOOBIG;
	frame[0] = (uint8_t)(length >> 24);
	frame[1] = (uint8_t)(length >> 16);
	frame[2] = (uint8_t)(length >> 8);
	frame[3] = (uint8_t)length;
	wire__envelope__pack(&envelope, frame + WIRE_HEADER_SIZE);
	return (int)(length + WIRE_HEADER_SIZE);
}

int wire_payload_length(const uint8_t header[WIRE_HEADER_SIZE])
{
	uint32_t length = (uint32_t)header[0] << 24 |
			  (uint32_t)header[1] << 16 | (uint32_t)header[2] << 8 |
			  header[3];

	if (!length || length > WIRE_PAYLOAD_MAX)
		return PIMENTO_EPARSE;
	return (int)length;
}

static pimento_reqid_t decode_reqid(const Wire__Reqid *from)
{
	pimento_reqid_t id = { 0, 0 };

	if (from) {
		id.hi = from->hi;
		id.lo = from->lo;
	}
	return id;
}

static pimento_key_t decode_key(const Wire__Reqid *from)
{
	pimento_key_t key = { 0, 0 };

	if (from) {
		key.hi = from->hi;
		key.lo = from->lo;
	}
	return key;
}

static int decode_summary(message_summary_t *to, const Wire__Summary *from)
{
	memset(to, 0, sizeof(*to));
	if (!from)
		return PIMENTO_EPARSE;
	if (from->n_waiting > PIMENTO_TIERS_MAX ||
	    from->n_wait > PIMENTO_TIERS_MAX)
		return PIMENTO_EPARSE;
	to->endpoint = from->endpoint;
	to->epoch = from->epoch;
	to->running = from->running;
	to->limit = from->limit;
	to->running_tokens = from->running_tokens;
	to->token_limit = from->token_limit;
	for (size_t i = 0; i < from->n_waiting; i++)
		to->waiting[i] = from->waiting[i];
	for (size_t i = 0; i < from->n_wait; i++)
		to->wait_ms[i] = from->wait[i];
	to->waiting_tokens = from->waiting_tokens;
	/* Negative and NaN rates become 0: they would corrupt every estimate. */
	to->prefill_rate = from->prefill_rate >= 0 ? from->prefill_rate : 0;
	to->decode_rate = from->decode_rate >= 0 ? from->decode_rate : 0;
	to->leaving = from->leaving;
	return PIMENTO_OK;
}

static int decode_dispatch(message_dispatch_t *to, const Wire__Place *from)
{
	memset(to, 0, offsetof(message_dispatch_t, answer));
	if (!from)
		return PIMENTO_OK;
	if (from->answer.len > MESSAGE_ANSWER_BYTES_MAX || from->status > 999)
		return PIMENTO_EPARSE;
	to->id = decode_reqid(from->request);
	to->endpoint = from->endpoint;
	to->digest = from->digest;
	to->done = from->done;
	to->status = (uint16_t)from->status;
	to->answer_size = (uint16_t)from->answer.len;
	if (from->answer.len)
		memcpy(to->answer, from->answer.data, from->answer.len);
	return PIMENTO_OK;
}

/* Another host may send a negative span, which would put a deadline in the past. */
static pimento_usec_t clamp_duration(int64_t span)
{
	return span < 0 ? 0 : span;
}

static int decode_reserve(message_reserve_t *to, const Wire__Reserve *from)
{
	if (from->tier >= PIMENTO_TIERS_MAX || from->hops > UINT8_MAX)
		return PIMENTO_EPARSE;
	to->request = decode_reqid(from->request);
	to->round = from->round;
	to->endpoint = from->endpoint;
	to->account = from->account;
	to->tier = (uint8_t)from->tier;
	to->hops = (uint8_t)from->hops;
	to->time_left = clamp_duration(from->patience);
	to->prompt_tokens = from->prompt_tokens;
	to->answer_tokens = from->answer_tokens;
	to->prefix_hash = from->prefix;
	return PIMENTO_OK;
}

static int decode_release(message_release_t *to, const Wire__Release *from)
{
	if (from->outcome > RELEASE_CANCELLED)
		return PIMENTO_EPARSE;
	to->request = decode_reqid(from->request);
	to->round = from->round;
	to->endpoint = from->endpoint;
	to->epoch = from->epoch;
	to->outcome = (uint8_t)from->outcome;
	to->prompt_tokens = from->prompt_tokens;
	to->answer_tokens = from->answer_tokens;
	to->time_to_first_token = clamp_duration(from->first_token);
	to->decode_time = clamp_duration(from->decode);
	return PIMENTO_OK;
}

static void decode_progress(message_progress_t *to, const Wire__Progress *from)
{
	to->request = decode_reqid(from->request);
	to->round = from->round;
	to->endpoint = from->endpoint;
	to->epoch = from->epoch;
	to->answer_tokens = from->answer_tokens;
	to->time_to_first_token = clamp_duration(from->first_token);
	to->decode_time = clamp_duration(from->decode);
}

static int decode_grant(message_grant_t *to, const Wire__Grant *from)
{
	to->request = decode_reqid(from->request);
	to->round = from->round;
	to->epoch = from->epoch;
	to->lifetime = clamp_duration(from->lifetime);
	return decode_summary(&to->summary, from->summary);
}

static int decode_wait(message_wait_t *to, const Wire__Wait *from)
{
	to->request = decode_reqid(from->request);
	to->round = from->round;
	to->expected_wait = clamp_duration(from->expected);
	return decode_summary(&to->summary, from->summary);
}

static int decode_refuse(message_refuse_t *to, const Wire__Refuse *from)
{
	to->request = decode_reqid(from->request);
	to->round = from->round;
	to->reason = from->reason;
	to->retry_after = clamp_duration(from->retry_after);
	to->alternative_endpoint = from->elsewhere;
	return decode_summary(&to->summary, from->summary);
}

static int decode_digest(message_digest_t *to, const Wire__Digest *from)
{
	if (from->n_summaries > MESSAGE_SUMMARIES_MAX)
		return PIMENTO_EPARSE;
	to->count = (uint32_t)from->n_summaries;
	for (uint32_t i = 0; i < to->count; i++) {
		if (decode_summary(&to->summaries[i], from->summaries[i]))
			return PIMENTO_EPARSE;
	}
	return PIMENTO_OK;
}

static int decode_claim(message_claim_t *to, const Wire__Claim *from)
{
	if (from->op < CLAIM_QUERY || from->op > CLAIM_DONE)
		return PIMENTO_EPARSE;
	to->op = (uint8_t)from->op;
	to->key = decode_key(from->key);
	to->sequence = from->sequence;
	to->incarnation = from->incarnation;
	to->witness_set_hash = from->view;
	to->key_age = from->age;
	to->attempt = from->attempt;
	return decode_dispatch(&to->dispatch, from->place);
}

static int decode_witness(message_witness_t *to, const Wire__Witness *from)
{
	to->key = decode_key(from->key);
	to->sequence = from->sequence;
	to->incarnation = from->incarnation;
	to->result = from->answer;
	to->sealed = from->sealed;
	to->attempt = from->attempt;
	return decode_dispatch(&to->dispatch, from->place);
}

static int decode_probe(message_probe_t *to, const Wire__Probe *from)
{
	if (from->n_facts > MESSAGE_FACTS_MAX)
		return PIMENTO_EPARSE;
	to->sequence = from->sequence;
	to->incarnation = from->incarnation;
	to->target = from->target;
	to->revision = from->revision;
	to->hosts_revision = from->hosts_revision;
	to->count = (uint32_t)from->n_facts;
	for (uint32_t i = 0; i < to->count; i++) {
		const Wire__Fact *fact = from->facts[i];

		if (fact->state > HOST_DEAD)
			return PIMENTO_EPARSE;
		to->facts[i].subject = fact->subject;
		to->facts[i].incarnation = fact->incarnation;
		to->facts[i].version = fact->version;
		to->facts[i].state = (uint8_t)fact->state;
		to->facts[i].is_endpoint = fact->endpoint;
	}
	return PIMENTO_OK;
}

static int decode_subject(uint8_t *to, uint32_t from)
{
	if (from != CONFIG_SYNC_CONFIG && from != CONFIG_SYNC_HOSTS)
		return PIMENTO_EPARSE;
	*to = (uint8_t)from;
	return PIMENTO_OK;
}

static int decode_offer(message_offer_t *to, const Wire__Offer *from)
{
	to->revision = from->revision;
	to->digest = from->digest;
	to->size = from->size;
	return decode_subject(&to->subject, from->subject);
}

static int decode_pull(message_pull_t *to, const Wire__Pull *from)
{
	to->revision = from->revision;
	to->base = from->held;
	to->offset = from->offset;
	return decode_subject(&to->subject, from->subject);
}

static int decode_part(message_part_t *to, const Wire__Part *from)
{
	if (from->body.len > MESSAGE_PART_BYTES_MAX)
		return PIMENTO_EPARSE;
	to->revision = from->revision;
	to->base = from->held;
	to->digest = from->digest;
	to->size = from->size;
	to->offset = from->offset;
	to->length = (uint32_t)from->body.len;
	if (from->body.len)
		memcpy(to->bytes, from->body.data, from->body.len);
	return decode_subject(&to->subject, from->subject);
}

static int decode_message(message_t *m, const Wire__Envelope *e)
{
	switch (e->body_case) {
	case WIRE__ENVELOPE__BODY_RESERVE:
		m->kind = MESSAGE_RESERVE;
		return decode_reserve(&m->u.reserve, e->reserve);
	case WIRE__ENVELOPE__BODY_GRANT:
		m->kind = MESSAGE_GRANT;
		return decode_grant(&m->u.grant, e->grant);
	case WIRE__ENVELOPE__BODY_WAIT:
		m->kind = MESSAGE_WAIT;
		return decode_wait(&m->u.wait, e->wait);
	case WIRE__ENVELOPE__BODY_REFUSE:
		m->kind = MESSAGE_REFUSE;
		return decode_refuse(&m->u.refuse, e->refuse);
	case WIRE__ENVELOPE__BODY_RELEASE:
		m->kind = MESSAGE_RELEASE;
		return decode_release(&m->u.release, e->release);
	case WIRE__ENVELOPE__BODY_PROGRESS:
		m->kind = MESSAGE_PROGRESS;
		decode_progress(&m->u.progress, e->progress);
		return PIMENTO_OK;
	case WIRE__ENVELOPE__BODY_DIGEST:
		m->kind = MESSAGE_DIGEST;
		return decode_digest(&m->u.digest, e->digest);
	case WIRE__ENVELOPE__BODY_CLAIM:
		m->kind = MESSAGE_CLAIM;
		return decode_claim(&m->u.claim, e->claim);
	case WIRE__ENVELOPE__BODY_WITNESS:
		m->kind = MESSAGE_WITNESS;
		return decode_witness(&m->u.witness, e->witness);
	case WIRE__ENVELOPE__BODY_PROBE:
		m->kind = MESSAGE_PROBE;
		return decode_probe(&m->u.probe, e->probe);
	case WIRE__ENVELOPE__BODY_ACK:
		m->kind = MESSAGE_ACK;
		return decode_probe(&m->u.probe, e->ack);
	case WIRE__ENVELOPE__BODY_OFFER:
		m->kind = MESSAGE_OFFER;
		return decode_offer(&m->u.offer, e->offer);
	case WIRE__ENVELOPE__BODY_PULL:
		m->kind = MESSAGE_PULL;
		return decode_pull(&m->u.pull, e->pull);
	case WIRE__ENVELOPE__BODY_PART:
		m->kind = MESSAGE_PART;
		return decode_part(&m->u.part, e->part);
	case WIRE__ENVELOPE__BODY__NOT_SET:
	default:
		return PIMENTO_EPARSE;
	}
}

int wire_decode(const uint8_t *payload, size_t length, pimento_id_t *from,
		message_t *message)
{
	Wire__Envelope *envelope;
	int result;

	if (length > WIRE_PAYLOAD_MAX)
		return PIMENTO_EPARSE;
	envelope = wire__envelope__unpack(NULL, length, payload);
	if (!envelope)
		return PIMENTO_EPARSE;
	*from = envelope->from;
	result = envelope->from ? decode_message(message, envelope)
				: PIMENTO_EPARSE;
	wire__envelope__free_unpacked(envelope, NULL);
	return result;
}
