#include "peers_sim.h"

#include "packet.h"

#include <stdlib.h>
#include <string.h>

#define STEP (10 * PIMENTO_MSEC)
#define PROBE_STEPS 5 /* the daemon calls peers_tick() 20 times per second */
#define GOSSIP_STEPS 10
#define SEEDS 3
#define TARGETS 2
#define CLOCK_START (1000 * PIMENTO_SEC)

uint32_t peers_sim_address(uint32_t host)
{
	return 0x0a000001u + (host / 200 << 8) + host % 200;
}

uint32_t peers_sim_host_index(uint32_t address)
{
	uint32_t offset = address - 0x0a000001u;

	return (offset >> 8) * 200 + (offset & 0xff);
}

void peers_sim_init(peers_sim_t *sim, uint32_t count, uint64_t seed)
{
	*sim = (peers_sim_t){ .count = count,
			      .targets = TARGETS,
			      .now = CLOCK_START };
	sim->hosts = calloc(count, sizeof(*sim->hosts));
	pimento_random_init(&sim->random, seed);
}

void peers_sim_finish(peers_sim_t *sim)
{
	for (uint32_t i = 0; i < sim->count; i++)
		peers_sim_kill(sim, i);
	free(sim->hosts);
}

static uint32_t seed_of(const peers_sim_t *sim, uint32_t index)
{
	return index * sim->count / SEEDS;
}

bool peers_sim_is_seed(const peers_sim_t *sim, uint32_t host)
{
	for (uint32_t i = 0; i < SEEDS; i++)
		if (seed_of(sim, i) == host)
			return true;
	return false;
}

void peers_sim_start(peers_sim_t *sim, uint32_t host)
{
	peers_sim_host_t *h = &sim->hosts[host];

	h->incarnation = pimento_random_next(&sim->random);
	peers_init(&h->peers, peers_sim_address(host), h->incarnation);
	for (uint32_t i = 0; i < SEEDS; i++)
		peers_add(&h->peers, peers_sim_address(seed_of(sim, i)), true,
			  sim->now);
	h->up = true;
	h->leaving = false;
}

void peers_sim_kill(peers_sim_t *sim, uint32_t host)
{
	if (!sim->hosts[host].up)
		return;
	peers_finish(&sim->hosts[host].peers);
	sim->hosts[host].up = false;
}

static bool is_running(const peers_sim_t *sim, const peers_sim_host_t *h)
{
	return h->up && h->frozen_until <= sim->now;
}

static void send_probes(peers_sim_t *sim, uint32_t host);

static void count_encoded_bytes(peers_sim_host_t *from,
				const gossip_message_t *message)
{
	uint8_t bytes[PACKET_BYTES_MAX];
	packet_t packet = { .kind = PACKET_GOSSIP };
	int length;

	packet.as.gossip = *message;
	length = packet_pack(&packet, bytes, sizeof(bytes));
	from->bytes_sent += length > 0 ? (uint64_t)length : 0;
}

/*
 * Messages to a frozen host are lost here, whereas a real host would read them
 * after it resumes.
 */
static void deliver_gossip(peers_sim_t *sim, uint32_t from,
			   gossip_message_t *message, uint32_t address)
{
	pimento_usec_t confirmed_at[REPLICA_KIND_COUNT];
	quota_t *quota = sim->hosts[from].quota;
	uint32_t to = peers_sim_host_index(address);

	message->address = peers_sim_address(from);
	message->incarnation = sim->hosts[from].incarnation;
	message->stamp = ++sim->now; /* gossip messages have distinct stamps */
	message->quota_count =
		quota ? quota_collect_reports(quota, message->quotas,
					      GOSSIP_QUOTAS_MAX, sim->now)
		      : 0;
	message->departure_count = departures_report(
		&sim->hosts[from].departures, message->departures,
		GOSSIP_DEPARTURES_MAX, sim->now);
	sim->hosts[from].messages_sent++;
	if (sim->measure_bytes)
		count_encoded_bytes(&sim->hosts[from], message);
	if (to >= sim->count || !is_running(sim, &sim->hosts[to]) ||
	    sim->hosts[to].drops_input ||
	    sim->hosts[to].partition != sim->hosts[from].partition ||
	    pimento_random_unit(&sim->random) < sim->loss)
		return;
	peers_receive(&sim->hosts[to].peers, message, sim->now, confirmed_at);
	for (uint32_t i = 0; sim->hosts[to].quota && i < message->quota_count;
	     i++)
		quota_apply_report(sim->hosts[to].quota,
				   message->quotas[i].account,
				   message->quotas[i].level,
				   sim->now - message->quotas[i].age);
	for (uint32_t i = 0; i < message->departure_count; i++) {
		departure_t departure = message->departures[i];

		departure.at = sim->now - departure.at;
		departures_add(&sim->hosts[to].departures, &departure,
			       sim->now);
	}
	send_probes(sim, to);
}

static void send_probes(peers_sim_t *sim, uint32_t host)
{
	gossip_message_t message = { 0 };
	uint32_t address;

	while (peers_next_probe(&sim->hosts[host].peers, &address, &message))
		deliver_gossip(sim, host, &message, address);
}

static void send_gossip(peers_sim_t *sim, uint32_t host)
{
	peers_sim_host_t *h = &sim->hosts[host];
	peer_t *targets[TARGETS];
	gossip_message_t message = { 0 };
	uint32_t count;

	peers_put_membership(&h->peers, &message);
	count = peers_next_targets(&h->peers, sim->now, sim->targets, targets);
	for (uint32_t i = 0; i < count; i++)
		deliver_gossip(sim, host, &message, targets[i]->address);
}

void peers_sim_run(peers_sim_t *sim, pimento_usec_t span)
{
	pimento_usec_t end = sim->now + span;

	for (; sim->now < end; sim->step++) {
		pimento_usec_t begun = sim->now;
		uint32_t step = sim->step;

		for (uint32_t i = 0; i < sim->count; i++) {
			if (!is_running(sim, &sim->hosts[i]))
				continue;
			if ((step + i) % PROBE_STEPS == 0) {
				peers_tick(&sim->hosts[i].peers, sim->now);
				send_probes(sim, i);
			}
			if (sim->targets && (step + i) % GOSSIP_STEPS == 0)
				send_gossip(sim, i);
		}
		if (sim->now < begun + STEP)
			sim->now = begun + STEP;
	}
}

uint32_t peers_sim_count_disputed_owners(const peers_sim_t *sim,
					 uint32_t endpoints)
{
	uint32_t disputed = 0;

	for (uint32_t e = 1; e <= endpoints; e++) {
		uint32_t owner = 0;

		for (uint32_t i = 0; i < sim->count; i++) {
			uint32_t seen;

			if (!is_running(sim, &sim->hosts[i]))
				continue;
			seen = peers_owner(&sim->hosts[i].peers,
					   e * 0x9e3779b97f4a7c15u);
			if (owner && seen != owner) {
				disputed++;
				break;
			}
			owner = seen;
		}
	}
	return disputed;
}

uint32_t peers_sim_count_wrong_states(const peers_sim_t *sim)
{
	uint32_t wrong = 0;

	/* one host with a wrong state shows that the hosts do not agree yet */
	for (uint32_t i = 0; i < sim->count && !wrong; i++) {
		const peers_t *peers = &sim->hosts[i].peers;

		for (uint32_t j = 0; j < sim->count; j++) {
			const peers_sim_host_t *other = &sim->hosts[j];
			host_state_t state;
			bool live;

			if (!is_running(sim, &sim->hosts[i]) || i == j)
				continue;
			state = membership_state(&peers->membership,
						 peers_sim_address(j));
			live = state == HOST_LIVE || state == HOST_SUSPECT;
			wrong += live != (other->up && !other->leaving);
		}
	}
	return wrong;
}

pimento_usec_t peers_sim_converge(peers_sim_t *sim, pimento_usec_t limit)
{
	const pimento_usec_t step = 100 * PIMENTO_MSEC;
	pimento_usec_t begun = sim->now;

	while (peers_sim_count_wrong_states(sim)) {
		if (sim->now - begun >= limit)
			return limit;
		peers_sim_run(sim, step);
	}
	return sim->now - begun;
}
