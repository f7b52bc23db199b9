#include "keeping.h"

void keeping_init(keeping_t *keeping, directory_t *directory, roster_t *roster,
		  uint32_t self)
{
	*keeping = (keeping_t){
		.directory = directory, .roster = roster, .fd = -1, .self = self
	};
	grants_init(&keeping->grants);
}

void keeping_finish(keeping_t *keeping)
{
	grants_finish(&keeping->grants);
}

/* A datagram that cannot be sent now is as good as lost on the way. */
static void send_packet(const keeping_t *keeping, uint32_t address,
			const packet_t *packet)
{
	net_address_t to = { address, keeping->port };
	uint8_t bytes[PACKET_BYTES];
	int length = packet_pack(packet, bytes, sizeof(bytes));

	if (length > 0)
		(void)net_send_to(keeping->fd, &to, bytes, (size_t)length);
}

static directory_endpoint_t *endpoint_of(const keeping_t *keeping, uint32_t key)
{
	for (uint32_t i = 0; i < keeping->directory->count; i++)
		if ((uint32_t)keeping->directory->endpoints[i]->key == key)
			return keeping->directory->endpoints[i];
	return NULL;
}

/* What this host, as the keeper, says of an endpoint. */
static directory_word_t word_of(const keeping_t *keeping,
				const directory_endpoint_t *endpoint,
				pimento_usec_t now)
{
	uint32_t key = (uint32_t)endpoint->key;
	directory_word_t word = {
		.running = grants_running(&keeping->grants, key),
		.waiting = grants_waiting(&keeping->grants, key),
		.gap_us = (uint32_t)endpoint->pace.gap,
		.doubtful = endpoint->pace.failures > 0,
	};

	if (endpoint->pace.shunned_until > now)
		word.shunned_ms =
			(uint32_t)((endpoint->pace.shunned_until - now) /
				   PIMENTO_MSEC);
	return word;
}

static void reply(keeping_t *keeping, const grants_ask_t *ask, bool granted,
		  pimento_usec_t now)
{
	packet_t packet = { .kind = PACKET_REPLY };
	const directory_endpoint_t *endpoint =
		endpoint_of(keeping, ask->endpoint);

	packet.as.reply = (packet_reply_t){ .endpoint = ask->endpoint,
					    .ticket = ask->ticket,
					    .granted = granted };
	if (endpoint)
		packet.as.reply.word = word_of(keeping, endpoint, now);
	if (ask->address == keeping->self)
		keeping->replied(keeping->context, &packet.as.reply);
	else
		send_packet(keeping, ask->address, &packet);
}

/* One that was not reached lately is tried by one request at a time. */
static grants_places_t places_of(const directory_endpoint_t *endpoint)
{
	grants_places_t places = placement_places(endpoint);

	if (endpoint->pace.failures)
		places = (grants_places_t){ .all = 1, .late = 1 };
	return places;
}

/* Gives free places to those in line. */
static void give_places(keeping_t *keeping, uint32_t key, pimento_usec_t now)
{
	const directory_endpoint_t *endpoint = endpoint_of(keeping, key);
	grants_ask_t ask;

	if (!endpoint || !directory_takes(endpoint, now) ||
	    endpoint->pace.shunned_until > now)
		return;
	while (grants_next(&keeping->grants, key, places_of(endpoint), now,
			   &ask)) {
		keeping->granted++;
		reply(keeping, &ask, true, now);
	}
}

static bool is_granted(const keeping_t *keeping, const grants_ask_t *ask)
{
	return !grants_is_waiting(&keeping->grants, ask);
}

static void take_ask(keeping_t *keeping, const grants_ask_t *ask,
		     pimento_usec_t now)
{
	if (grants_ask(&keeping->grants, ask, now))
		return; /* no memory: who asks goes by its own view */
	if (ask->sure)
		return;
	give_places(keeping, ask->endpoint, now);
	if (!is_granted(keeping, ask))
		reply(keeping, ask, false, now);
}

/* What another host found out; this one's own was learnt on the way. */
static void learn_reached(pace_t *pace, const packet_release_t *release,
			  pimento_usec_t now)
{
	if (release->unreached && pace->shunned_until <= now)
		pace_unreachable(pace, now);
	else if (release->gap_us)
		pace->failures = 0; /* a stream came from there */
}

static void take_release(keeping_t *keeping, const packet_release_t *release,
			 pimento_usec_t now)
{
	directory_endpoint_t *endpoint =
		endpoint_of(keeping, release->endpoint);
	directory_service_t *service =
		endpoint ? directory_service(keeping->directory,
					     endpoint->service)
			 : NULL;

	if (endpoint && release->address != keeping->self)
		learn_reached(&endpoint->pace, release, now);
	if (service && release->gap_us && release->address != keeping->self)
		pace_gap_mean(&endpoint->pace, &service->pace, release->gap_us);
	grants_release(&keeping->grants, release->endpoint, release->address,
		       release->ticket);
	give_places(keeping, release->endpoint, now);
}

void keeping_ask(keeping_t *keeping, const directory_endpoint_t *endpoint,
		 grants_ask_t *ask, pimento_usec_t now)
{
	uint32_t keeper = roster_keeper(keeping->roster, endpoint->key, now);
	packet_t packet = { .kind = PACKET_ASK };

	ask->endpoint = (uint32_t)endpoint->key;
	ask->address = keeping->self;
	keeping->asked++;
	if (keeper == keeping->self) {
		take_ask(keeping, ask, now);
		return;
	}
	packet.as.ask = *ask;
	send_packet(keeping, keeper, &packet);
}

void keeping_release(keeping_t *keeping, const directory_endpoint_t *endpoint,
		     const packet_release_t *release, pimento_usec_t now)
{
	uint32_t keeper = roster_keeper(keeping->roster, endpoint->key, now);
	packet_t packet = { .kind = PACKET_RELEASE };

	packet.as.release = *release;
	packet.as.release.endpoint = (uint32_t)endpoint->key;
	packet.as.release.address = keeping->self;
	if (keeper == keeping->self)
		take_release(keeping, &packet.as.release, now);
	else
		send_packet(keeping, keeper, &packet);
}

void keeping_take(keeping_t *keeping, const packet_t *packet,
		  pimento_usec_t now)
{
	switch (packet->kind) {
	case PACKET_ASK:
		take_ask(keeping, &packet->as.ask, now);
		break;
	case PACKET_REPLY:
		keeping->replied(keeping->context, &packet->as.reply);
		break;
	case PACKET_RELEASE:
		take_release(keeping, &packet->as.release, now);
		break;
	case PACKET_NOTE:
		break; /* the mesh's own */
	}
}

static void hear_endpoint(keeping_t *keeping, directory_endpoint_t *endpoint,
			  pimento_usec_t now)
{
	uint32_t key = (uint32_t)endpoint->key;
	const roster_t *roster = keeping->roster;
	directory_word_t word;

	grants_hear(&keeping->grants, key, keeping->self, endpoint->running,
		    now);
	for (uint32_t i = 0; i < roster->count; i++) {
		const roster_peer_t *peer = roster->peers[i];

		grants_hear(&keeping->grants, key, peer->address,
			    roster_peer_running(peer, endpoint->key, now), now);
	}
	word = word_of(keeping, endpoint, now);
	directory_told(endpoint, &word, now);
}

void keeping_say(const keeping_t *keeping, roster_note_t *note,
		 pimento_usec_t now)
{
	const directory_t *directory = keeping->directory;

	for (uint32_t i = 0; i < directory->count; i++) {
		const directory_endpoint_t *e = directory->endpoints[i];
		uint32_t key = (uint32_t)e->key;

		if (note->kept_count == ROSTER_KEPT_MAX ||
		    !grants_is_kept(&keeping->grants, key) ||
		    roster_keeper(keeping->roster, e->key, now) !=
			    keeping->self)
			continue;
		note->kept[note->kept_count++] = (roster_kept_t){
			.endpoint = key,
			.word = word_of(keeping, e, now),
		};
	}
}

void keeping_hear(keeping_t *keeping, const roster_note_t *note,
		  pimento_usec_t now)
{
	for (uint32_t i = 0; i < note->kept_count; i++) {
		const roster_kept_t *kept = &note->kept[i];
		directory_endpoint_t *e = endpoint_of(keeping, kept->endpoint);

		if (e && roster_keeper(keeping->roster, e->key, now) ==
				 note->address)
			directory_told(e, &kept->word, now);
	}
}

void keeping_tick(keeping_t *keeping, pimento_usec_t now)
{
	grants_hear_begin(&keeping->grants);
	for (uint32_t i = 0; i < keeping->directory->count; i++) {
		directory_endpoint_t *e = keeping->directory->endpoints[i];

		if (roster_keeper(keeping->roster, e->key, now) !=
		    keeping->self) {
			grants_forget(&keeping->grants, (uint32_t)e->key);
			continue;
		}
		hear_endpoint(keeping, e, now);
		give_places(keeping, (uint32_t)e->key, now);
	}
}
