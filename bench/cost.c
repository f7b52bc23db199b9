/*
 * Each figure is the mean over many decisions of the same kind, after the
 * tables were filled; the outbox is emptied as a daemon would.
 */

#include "cost.h"

#include "owner.h"
#include "route.h"
#include "wire.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ROUNDS 20000
#define ENDPOINTS_MOST 600
#define SLOTS 32
#define PATIENCE (3600 * PIMENTO_SEC)
#define DIGESTS_A_SECOND 2
#define ACCOUNTS 5

static double nanoseconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static config_endpoint_t *endpoints_new(uint32_t count)
{
	config_endpoint_t *all = calloc(count, sizeof(*all));

	for (uint32_t i = 0; all && i < count; i++) {
		all[i].id = i + 1;
		all[i].target = CONFIG_TARGET_MODEL;
		all[i].concurrency = SLOTS;
		strcpy(all[i].target_name, "model");
	}
	return all;
}

static void drain(outbox_t *out)
{
	pimento_id_t to;
	message_t m;

	while (outbox_take(out, &to, &m))
		;
}

static void reserve(owner_t *owner, uint64_t n, uint32_t endpoints)
{
	message_t m = { .kind = MESSAGE_RESERVE };

	m.u.reserve.request.lo = n;
	m.u.reserve.round = 1;
	m.u.reserve.endpoint = n % endpoints + 1;
	m.u.reserve.account = n % ACCOUNTS + 1;
	m.u.reserve.tier = (uint8_t)(n % 3);
	m.u.reserve.time_left = PATIENCE + (pimento_usec_t)(n * 7919 % 1000);
	m.u.reserve.prompt_tokens = 1;
	m.u.reserve.answer_tokens = 1;
	owner_receive(owner, 0, 1, &m);
}

static void release(owner_t *owner, uint64_t n)
{
	message_t m = { .kind = MESSAGE_RELEASE };

	m.u.release.request.lo = n;
	m.u.release.round = 1;
	m.u.release.outcome = RELEASE_UNUSED;
	owner_receive(owner, 0, 1, &m);
}

/* A reservation comes and a slot is freed, which grants another one. */
static int owner_cost(FILE *table, uint32_t count, uint32_t waiting)
{
	config_endpoint_t *all = endpoints_new(count);
	owner_options_t options = { .self = 1, .seed = 1 };
	outbox_t out;
	owner_t owner;
	uint64_t first = 1;
	uint64_t next = 1;
	double begin;

	options.waiting_max = UINT32_MAX;
	if (!all || outbox_init(&out, 1024) ||
	    owner_init(&owner, &options, &out))
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < count; i++)
		if (owner_add_endpoint(&owner, 0, &all[i], 1, 1.0))
			return PIMENTO_ENOMEM;
	while (owner.waiting < waiting) {
		reserve(&owner, next++, count);
		drain(&out);
	}
	begin = nanoseconds();
	for (uint32_t i = 0; i < ROUNDS; i++) {
		reserve(&owner, next++, count);
		release(&owner, first++);
		drain(&out);
	}
	fprintf(table, "owner: %3u endpoints %6u waiting %8.0f ns a decision\n",
		count, waiting, (nanoseconds() - begin) / ROUNDS / 2);
	owner_finish(&owner);
	outbox_finish(&out);
	free(all);
	return 0;
}

static int route_cost(FILE *table, uint32_t count)
{
	pimento_config_t config = { .tier_count = 3, .endpoint_count = count };
	route_query_t query = { .target = CONFIG_TARGET_MODEL,
				.target_name = "model",
				.tier = 1,
				.time_left = PATIENCE,
				.prompt_tokens = 500,
				.answer_tokens = 100,
				.prefix = 1 };
	route_choice_t choice;
	route_t route;
	double begin;

	config.endpoints = endpoints_new(count);
	if (!config.endpoints || route_init(&route, 1) ||
	    route_configure(&route, 0, &config))
		return PIMENTO_ENOMEM;
	begin = nanoseconds();
	for (uint32_t i = 0; i < ROUNDS; i++)
		route_pick(&route, i * PIMENTO_MSEC, &query, &choice);
	fprintf(table, "route: %3u endpoints %22.0f ns a pick\n", count,
		(nanoseconds() - begin) / ROUNDS);
	route_finish(&route);
	free(config.endpoints);
	return 0;
}

static message_summary_t summary_new(void)
{
	message_summary_t s = { .endpoint = UINT64_MAX,
				.epoch = UINT32_MAX,
				.running = SLOTS,
				.limit = SLOTS,
				.running_tokens = 20000,
				.token_limit = 400000,
				.waiting_tokens = 50000,
				.prefill_rate = 9000,
				.decode_rate = 60 };

	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		s.waiting[i] = i < 3 ? 200 : 0;
		s.wait_ms[i] = 20000;
	}
	return s;
}

static int bytes_of(const message_t *m)
{
	static uint8_t frame[WIRE_FRAME_MAX];

	return wire_encode(UINT64_MAX, m, frame, sizeof(frame));
}

static pimento_reqid_t reqid_new(void)
{
	pimento_reqid_t id = { UINT64_MAX, UINT32_MAX };

	return id;
}

static void protocol_cost(FILE *table)
{
	message_t reserved = { .kind = MESSAGE_RESERVE };
	message_t granted = { .kind = MESSAGE_GRANT };
	message_t said = { .kind = MESSAGE_PROGRESS };
	message_t digest = { .kind = MESSAGE_DIGEST };
	int request;

	reserved.u.reserve = (message_reserve_t){ .request = reqid_new(),
						  .round = 1,
						  .endpoint = ~0ULL,
						  .account = ~0ULL,
						  .tier = 1,
						  .time_left = PATIENCE,
						  .prompt_tokens = 2000,
						  .answer_tokens = 400,
						  .prefix_hash = ~0ULL };
	granted.u.grant = (message_grant_t){ .request = reqid_new(),
					     .round = 1,
					     .epoch = UINT32_MAX,
					     .lifetime = OWNER_GRANT_LIFETIME,
					     .summary = summary_new() };
	said.u.progress =
		(message_progress_t){ .request = reqid_new(),
				      .round = 1,
				      .endpoint = ~0ULL,
				      .epoch = UINT32_MAX,
				      .answer_tokens = 400,
				      .time_to_first_token = PIMENTO_SEC,
				      .decode_time = 9 * PIMENTO_SEC };
	digest.u.digest.count = 2;
	digest.u.digest.summaries[0] = summary_new();
	digest.u.digest.summaries[1] = summary_new();
	/* reserve, wait, grant, progress at dispatch and first token, release */
	request = bytes_of(&reserved) + 2 * bytes_of(&granted) +
		  3 * bytes_of(&said);
	fprintf(table, "wire: reserve %d, grant %d, progress %d bytes\n",
		bytes_of(&reserved), bytes_of(&granted), bytes_of(&said));
	fprintf(table,
		"wire: %d bytes a request that waits, and %d a second while "
		"it runs\n",
		request, bytes_of(&said));
	fprintf(table,
		"wire: a digest of 2 endpoints %d bytes; %d a second to each "
		"peer it goes to\n",
		bytes_of(&digest), bytes_of(&digest) * DIGESTS_A_SECOND);
}

int cost_report(FILE *table)
{
	static const uint32_t waiting[] = { 100, 1000, 10000, 100000 };
	static const uint32_t counts[] = { 12, 100, ENDPOINTS_MOST };
	int r = 0;

	for (int i = 0; !r && i < 4; i++)
		r = owner_cost(table, 12, waiting[i]);
	for (int i = 0; !r && i < 3; i++)
		r = owner_cost(table, counts[i], 1000);
	for (int i = 0; !r && i < 3; i++)
		r = route_cost(table, counts[i]);
	protocol_cost(table);
	return r;
}
