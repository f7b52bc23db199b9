/*
 * The entry picks the endpoint that should finish the request first. The
 * estimate adds the wait until a grant, the time to read the part of the prompt
 * that is probably not cached, and the time to generate the answer. Owners put
 * a summary on every reply, so the data is fresh for endpoints in use. Work
 * sent by this entry since the last summary is added; otherwise all requests
 * between two summaries would go to the same endpoint.
 */

#include "route.h"

#include "owner.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define EWMA_KEEP 0.8 /* weight of the old value in the moving average */
#define FAILED_AVOID_SPAN (2 * PIMENTO_SEC)
#define MEASURED_SPAN (30 * PIMENTO_SEC)
#define PREFIX_TABLE_SIZE 4096 /* number of entries, a power of two */
#define PREFIX_LIFETIME (300 * PIMENTO_SEC)
/* Share of a prompt with a known prefix that is assumed to be cached. */
#define PREFIX_CACHED_SHARE 0.5
/* Tokens/s, assumed until a rate is known. */
#define DEFAULT_PREFILL_RATE 4000.0
#define DEFAULT_DECODE_RATE 30.0
#define DEFAULT_SERVICE_S 0.05 /* seconds per answer, assumed until measured */
#define OWNER_CHANGES_MAX 4
#define JITTER 0.05
#define BEST_DECAY 0.9999
/*
 * A request is feasible if its estimated time at the best rates, multiplied by
 * this, fits into its time limit: a share of 0.3, and the conversion of the
 * estimate from seconds to the limit's microseconds.
 */
#define FEASIBLE_FACTOR (0.3 * PIMENTO_SEC)
/*
 * Share of the time left within which an endpoint without long prompts must
 * finish.
 */
#define SHORT_ONLY_TIME_SHARE 0.4
/* Prompts that take longer to read than this, in seconds, are long. */
#define LONG_PROMPT_S 1.0
#define PARTITION_INTERVAL (500 * PIMENTO_MSEC)
/* Typical number of answers that an engine generates at once. */
#define DECODE_PARALLELISM 16

struct route_endpoint {
	pimento_id_t id;
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	pimento_id_t target_id;
	uint64_t identity; /* see route_endpoint_identity() */
	uint32_t concurrency;
	uint32_t context_tokens;
	/* latest summary from the owner; its epoch is 0 if none was received */
	message_summary_t summary;
	/* recent maximum of the owner's reported rate, tokens/s */
	double prefill_rate_max;
	double decode_rate_max;
	double prefill; /* rate measured by this entry, tokens/s, 0: unknown */
	double decode;
	/* measured time of a plain service's answer in seconds, 0: unknown */
	double service_seconds;
	pimento_usec_t measured_at;
	/* seconds of work that this entry sent since the summary */
	double pending_work;
	pimento_usec_t failed_until;
	bool leaving;
	bool short_only; /* kept free of long prompts */
};

struct route_prefix {
	uint64_t prefix;
	pimento_id_t endpoint;
	uint32_t tokens;
	pimento_usec_t until;
};

int route_init(route_t *route, uint64_t seed)
{
	memset(route, 0, sizeof(*route));
	pimento_random_init(&route->random, seed);
	prompt_mix_init(&route->mix);
	route->prefixes = calloc(PREFIX_TABLE_SIZE, sizeof(*route->prefixes));
	return route->prefixes ? 0 : PIMENTO_ENOMEM;
}

void route_finish(route_t *route)
{
	free(route->endpoints);
	free(route->prefixes);
	memset(route, 0, sizeof(*route));
}

static route_endpoint_t *find_endpoint(const route_t *route, pimento_id_t id)
{
	uint32_t low = 0;
	uint32_t high = route->count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (route->endpoints[middle].id == id)
			return &route->endpoints[middle];
		if (route->endpoints[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

static int endpoint_order(const void *a, const void *b)
{
	const route_endpoint_t *left = a;
	const route_endpoint_t *right = b;

	return (left->id > right->id) - (left->id < right->id);
}

static uint64_t hash_identity(const config_endpoint_t *endpoint)
{
	uint64_t hash = pimento_id(endpoint->target_name);

	hash = XXH3_64bits_withSeed(endpoint->address,
				    strlen(endpoint->address), hash);
	hash ^= (uint64_t)endpoint->target << 32 | endpoint->port;
	return hash ? hash : 1;
}

uint64_t route_endpoint_identity(const route_t *route, pimento_id_t endpoint)
{
	const route_endpoint_t *e = find_endpoint(route, endpoint);

	return e ? e->identity : 0;
}

static void set_description(route_endpoint_t *e, const config_endpoint_t *from)
{
	e->id = from->id;
	e->target = from->target;
	memcpy(e->target_name, from->target_name, sizeof(e->target_name));
	e->target_id = pimento_id(from->target_name);
	e->identity = hash_identity(from);
	e->concurrency = from->concurrency ? from->concurrency : 1;
	e->context_tokens = from->context_tokens;
}

int route_configure(route_t *route, pimento_usec_t now,
		    const pimento_config_t *config)
{
	uint32_t n = config->endpoint_count;
	route_endpoint_t *endpoints = calloc(n + 1, sizeof(*endpoints));

	(void)now;
	if (!endpoints)
		return PIMENTO_ENOMEM;
	for (uint32_t i = 0; i < n; i++) {
		route_endpoint_t *old =
			find_endpoint(route, config->endpoints[i].id);

		if (old)
			endpoints[i] = *old;
		set_description(&endpoints[i], &config->endpoints[i]);
	}
	qsort(endpoints, n, sizeof(*endpoints), endpoint_order);
	free(route->endpoints);
	route->endpoints = endpoints;
	route->count = n;
	route->tier_count = config->tier_count;
	route->partitioned_at = 0;
	return 0;
}

static double max_double(double a, double b)
{
	return a > b ? a : b;
}

void route_update_summary(route_t *route, pimento_usec_t now,
			  const message_summary_t *summary)
{
	route_endpoint_t *e = find_endpoint(route, summary->endpoint);

	(void)now;
	if (!e || summary->epoch < e->summary.epoch)
		return;
	e->summary = *summary;
	e->pending_work = 0;
	e->prefill_rate_max = max_double(e->prefill_rate_max * BEST_DECAY,
					 (double)summary->prefill_rate);
	e->decode_rate_max = max_double(e->decode_rate_max * BEST_DECAY,
					(double)summary->decode_rate);
}

static double ewma(double old, double sample)
{
	return old > 0 ? old * EWMA_KEEP + sample * (1 - EWMA_KEEP) : sample;
}

void route_record_answer(route_t *route, pimento_usec_t now,
			 pimento_id_t endpoint, uint32_t prompt_tokens,
			 uint32_t answer_tokens, pimento_usec_t first_token,
			 pimento_usec_t decode)
{
	route_endpoint_t *e = find_endpoint(route, endpoint);
	double first = (double)first_token / PIMENTO_SEC;
	double rest = (double)decode / PIMENTO_SEC;

	if (!e)
		return;
	e->measured_at = now;
	if (e->target == CONFIG_TARGET_SERVICE) {
		e->service_seconds = ewma(e->service_seconds, first + rest);
		return;
	}
	if (first > 0 && prompt_tokens)
		e->prefill = ewma(e->prefill, prompt_tokens / first);
	if (rest > 0 && answer_tokens > 1)
		e->decode = ewma(e->decode, (answer_tokens - 1) / rest);
}

static route_prefix_t *prefix_slot(const route_t *route, uint64_t prefix,
				   pimento_id_t endpoint)
{
	uint64_t h = (prefix ^ endpoint) * 0x9e3779b97f4a7c15ULL;

	return &route->prefixes[(h >> 32) & (PREFIX_TABLE_SIZE - 1)];
}

void route_record_prefix(route_t *route, pimento_usec_t now,
			 pimento_id_t endpoint, uint64_t prefix,
			 uint32_t prompt_tokens)
{
	route_prefix_t *p;

	if (!prefix)
		return;
	p = prefix_slot(route, prefix, endpoint);
	p->prefix = prefix;
	p->endpoint = endpoint;
	p->tokens = prompt_tokens;
	p->until = now + PREFIX_LIFETIME;
}

static double cached_tokens(const route_t *route, pimento_usec_t now,
			    const route_query_t *query, pimento_id_t endpoint)
{
	const route_prefix_t *p;
	uint32_t tokens;

	if (!query->prefix)
		return 0;
	p = prefix_slot(route, query->prefix, endpoint);
	if (p->prefix != query->prefix || p->endpoint != endpoint ||
	    now > p->until)
		return 0;
	tokens = p->tokens;
	if (tokens > query->prompt_tokens)
		tokens = query->prompt_tokens;
	return tokens * PREFIX_CACHED_SHARE;
}

void route_set_leaving(route_t *route, pimento_id_t endpoint, bool leaving)
{
	route_endpoint_t *e = find_endpoint(route, endpoint);

	if (e)
		e->leaving = leaving;
}

void route_endpoint_failed(route_t *route, pimento_usec_t now,
			   pimento_id_t endpoint)
{
	route_endpoint_t *e = find_endpoint(route, endpoint);

	if (e)
		e->failed_until = now + FAILED_AVOID_SPAN;
}

/*
 * Best rates known of any endpoint that serves the target. Endpoints without
 * measurements are assumed to have them, so that they are tried.
 */
typedef struct rates {
	double prefill;
	double decode;
	double service_seconds;
} rates_t;

static double prefill_rate_of(const route_endpoint_t *e)
{
	return e->summary.prefill_rate > 0 ? (double)e->summary.prefill_rate
					   : e->prefill;
}

static double decode_rate_of(const route_endpoint_t *e)
{
	return e->summary.decode_rate > 0 ? (double)e->summary.decode_rate
					  : e->decode;
}

/* Seconds that a plain service takes for an answer, 0: unknown. */
static double service_seconds_of(const route_endpoint_t *e)
{
	return e->summary.decode_rate > 0 ? 1 / (double)e->summary.decode_rate
					  : e->service_seconds;
}

static bool serves_target(const route_endpoint_t *e, const route_query_t *query)
{
	return e->target == query->target &&
	       !strcmp(e->target_name, query->target_name);
}

static rates_t best_rates(const route_t *route, const route_query_t *query)
{
	rates_t best = { 0, 0, 0 };

	for (uint32_t i = 0; i < route->count; i++) {
		const route_endpoint_t *e = &route->endpoints[i];

		if (!serves_target(e, query))
			continue;
		best.prefill = max_double(best.prefill, prefill_rate_of(e));
		best.decode = max_double(best.decode, decode_rate_of(e));
		if (service_seconds_of(e) > 0 &&
		    (best.service_seconds <= 0 ||
		     service_seconds_of(e) < best.service_seconds))
			best.service_seconds = service_seconds_of(e);
	}
	if (best.prefill <= 0)
		best.prefill = DEFAULT_PREFILL_RATE;
	if (best.decode <= 0)
		best.decode = DEFAULT_DECODE_RATE;
	if (best.service_seconds <= 0)
		best.service_seconds = DEFAULT_SERVICE_S;
	return best;
}

/*
 * Seconds from grant to complete answer, without the wait in the owner's queue.
 */
static double service_seconds(const route_t *route, pimento_usec_t now,
			      const route_query_t *query,
			      const route_endpoint_t *e, const rates_t *best)
{
	double prefill =
		prefill_rate_of(e) > 0 ? prefill_rate_of(e) : best->prefill;
	double decode =
		decode_rate_of(e) > 0 ? decode_rate_of(e) : best->decode;
	double prompt = query->prompt_tokens;

	if (e->target == CONFIG_TARGET_SERVICE)
		return service_seconds_of(e) > 0 ? service_seconds_of(e)
						 : best->service_seconds;
	prompt -= cached_tokens(route, now, query, e->id);
	/* In other tiers the owner's reported wait includes unread prompts. */
	if (!query->tier)
		prompt += e->summary.waiting_tokens;
	return prompt / prefill + query->answer_tokens / decode;
}

/*
 * Seconds until a grant: the wait in the owner's last summary, plus the work
 * that this entry sent since.
 */
static double queue_seconds(const route_query_t *query,
			    const route_endpoint_t *e)
{
	return e->summary.wait_ms[query->tier] / 1000.0 + e->pending_work;
}

static bool is_avoided(const route_query_t *query, pimento_id_t id)
{
	for (uint32_t i = 0; i < query->avoid_count; i++)
		if (query->avoid[i] == id)
			return true;
	return false;
}

static bool is_usable(const route_endpoint_t *e, pimento_usec_t now,
		      const route_query_t *query)
{
	if (!serves_target(e, query) || e->leaving || e->summary.leaving)
		return false;
	if (now < e->failed_until || is_avoided(query, e->id))
		return false;
	return !e->context_tokens ||
	       query->prompt_tokens + query->answer_tokens <= e->context_tokens;
}

/* Seconds to read this prompt at the best known rate. */
static double prefill_seconds(const route_query_t *query, const rates_t *best)
{
	return query->prompt_tokens / best->prefill;
}

static bool is_long_prompt(const route_query_t *query, const rates_t *best)
{
	return query->target == CONFIG_TARGET_MODEL && query->tier &&
	       prefill_seconds(query, best) > LONG_PROMPT_S;
}

/*
 * Sets apart the first endpoints of a target for short prompts, up to
 * short_share of its prefill capacity. The list is sorted by id, on which all
 * entries agree; if it were sorted by measured rates, two entries could send
 * long and short prompts to the same endpoint.
 */
static void partition_target(route_endpoint_t **list, uint32_t count,
			     double short_share)
{
	double total = 0;
	double sum = 0;

	for (uint32_t i = 0; i < count; i++)
		total += max_double(prefill_rate_of(list[i]), 1);
	for (uint32_t i = 0; i < count; i++) {
		double share = max_double(prefill_rate_of(list[i]), 1) / total;

		list[i]->short_only = short_share > 0 && i + 1 < count &&
				      (!i || sum + share / 2 <= short_share);
		sum += share;
	}
}

/*
 * Divides the endpoints of every target between long and short prompts, at most
 * once per PARTITION_INTERVAL.
 */
static void partition_endpoints(route_t *route, pimento_usec_t now)
{
	route_endpoint_t **list;

	if (route->partitioned_at &&
	    now - route->partitioned_at < PARTITION_INTERVAL)
		return;
	route->partitioned_at = now;
	list = malloc((route->count + 1) * sizeof(route_endpoint_t *));
	for (int t = 0; list && t < PROMPT_MIX_TARGETS_MAX; t++) {
		const prompt_mix_target_t *target = &route->mix.targets[t];
		uint32_t n = 0;

		if (!target->name)
			break;
		for (uint32_t i = 0; i < route->count; i++) {
			route_endpoint_t *e = &route->endpoints[i];

			if (e->target_id == target->name && !e->leaving &&
			    !e->summary.leaving && now >= e->failed_until)
				list[n++] = e;
		}
		partition_target(list, n, prompt_mix_short_share(target));
	}
	free(list);
}

/*
 * The endpoints among which to choose: all, those kept free of long prompts, or
 * the others.
 */
typedef enum subset { SUBSET_ALL, SUBSET_SHORT_ONLY, SUBSET_OTHERS } subset_t;

static bool is_in_subset(const route_endpoint_t *e, subset_t subset)
{
	return subset == SUBSET_ALL ||
	       e->short_only == (subset == SUBSET_SHORT_ONLY);
}

static route_endpoint_t *pick_fastest(route_t *route, pimento_usec_t now,
				      const route_query_t *query,
				      const rates_t *best, subset_t subset,
				      double *least)
{
	route_endpoint_t *found = NULL;

	for (uint32_t i = 0; i < route->count; i++) {
		route_endpoint_t *e = &route->endpoints[i];
		double service;
		double total;

		if (!is_usable(e, now, query) || !is_in_subset(e, subset))
			continue;
		service = service_seconds(route, now, query, e, best);
		total = service + queue_seconds(query, e);
		total *= 1 + JITTER * pimento_random_unit(&route->random);
		if (!found || total < *least) {
			found = e;
			*least = total;
		}
	}
	return found;
}

/*
 * True if a request with a short prompt, in a tier at least as urgent as the
 * least urgent one with long prompts, prefers endpoints kept free of long
 * prompts. They are chosen as long as they are quick enough, even if another
 * endpoint is quicker at the moment: there the request would delay the next
 * long prompt, which may not use up the slack of answers in progress.
 */
static bool prefers_short_only(route_t *route, const route_query_t *query)
{
	prompt_mix_target_t *target;

	if (query->target != CONFIG_TARGET_MODEL)
		return false;
	target = prompt_mix_find_or_add_target(&route->mix,
					       pimento_id(query->target_name));
	return target &&
	       query->tier <= prompt_mix_last_tier_with_long_prompts(target);
}

static route_endpoint_t *pick_short(route_t *route, pimento_usec_t now,
				    const route_query_t *query,
				    const rates_t *best, double *least)
{
	route_endpoint_t *found = NULL;

	if (prefers_short_only(route, query))
		found = pick_fastest(route, now, query, best, SUBSET_SHORT_ONLY,
				     least);
	if (found && *least * PIMENTO_SEC <=
			     (double)query->time_left * SHORT_ONLY_TIME_SHARE)
		return found;
	return pick_fastest(route, now, query, best, SUBSET_ALL, least);
}

/* Seconds of endpoint time that a request uses up, at the best known rates. */
static double work_seconds(const route_query_t *query, const rates_t *best)
{
	if (query->target == CONFIG_TARGET_SERVICE)
		return best->service_seconds / DECODE_PARALLELISM;
	return prefill_seconds(query, best) +
	       query->answer_tokens / best->decode / DECODE_PARALLELISM;
}

static void record_work(route_t *route, pimento_usec_t now,
			const route_query_t *query, const rates_t *best)
{
	prompt_mix_target_t *target;

	if (query->target != CONFIG_TARGET_MODEL)
		return;
	target = prompt_mix_find_or_add_target(&route->mix,
					       pimento_id(query->target_name));
	if (target)
		prompt_mix_record(target, now, query->tier,
				  work_seconds(query, best),
				  is_long_prompt(query, best));
}

static int choose_endpoint(route_t *route, pimento_usec_t now,
			   const route_query_t *query, bool allow_short_only,
			   route_choice_t *choice)
{
	rates_t best = best_rates(route, query);
	double least = 0;
	route_endpoint_t *found;

	if (is_long_prompt(query, &best))
		found = pick_fastest(
			route, now, query, &best,
			allow_short_only ? SUBSET_ALL : SUBSET_OTHERS, &least);
	else
		found = pick_short(route, now, query, &best, &least);
	if (!found)
		return PIMENTO_EUNREACHABLE;
	found->pending_work += work_seconds(query, &best);
	choice->endpoint = found->id;
	choice->expected_time = (pimento_usec_t)(least * PIMENTO_SEC);
	return 0;
}

int route_pick(route_t *route, pimento_usec_t now, const route_query_t *query,
	       route_choice_t *choice)
{
	rates_t best = best_rates(route, query);

	record_work(route, now, query, &best);
	partition_endpoints(route, now);
	if (!choose_endpoint(route, now, query, false, choice))
		return 0;
	return choose_endpoint(route, now, query, true, choice);
}

void route_retry_init(route_retry_t *retry)
{
	memset(retry, 0, sizeof(*retry));
}

static bool contains_id(const pimento_id_t *ids, uint32_t count,
			pimento_id_t id)
{
	for (uint32_t i = 0; i < count; i++)
		if (ids[i] == id)
			return true;
	return false;
}

static void record_refusal(route_retry_t *retry, pimento_id_t endpoint,
			   const message_refuse_t *refuse)
{
	if (!retry->reason)
		retry->reason = refuse->reason;
	if (!retry->retry_after || refuse->retry_after < retry->retry_after)
		retry->retry_after = refuse->retry_after;
	if (refuse->reason == PIMENTO_ESTALE &&
	    retry->owner_changes < OWNER_CHANGES_MAX) {
		retry->owner_changes++;
		return;
	}
	if (retry->refused_count < ROUTE_ATTEMPTS_MAX &&
	    !contains_id(retry->refused, retry->refused_count, endpoint))
		retry->refused[retry->refused_count++] = endpoint;
}

/*
 * Chooses an endpoint that has not refused the request and should finish it in
 * time; false if there is none.
 */
static bool choose_alternative(route_t *route, pimento_usec_t now,
			       const route_retry_t *retry,
			       const route_query_t *query,
			       route_choice_t *choice)
{
	route_query_t q = *query;

	if (retry->refused_count >= ROUTE_ATTEMPTS_MAX)
		return false;
	q.avoid = retry->refused;
	q.avoid_count = retry->refused_count;
	return !choose_endpoint(route, now, &q, false, choice) &&
	       choice->expected_time <= query->time_left;
}

/*
 * True if an idle endpoint could finish the request within client_timeout, the
 * time limit that it arrived with. Uses the best rates instead of the current
 * ones, and only FEASIBLE_FACTOR of the estimate, because endpoints that were
 * always busy have never shown their best rates. A request that is too late
 * only because the endpoints are busy must not be rejected while work of lower
 * priority still waits.
 */
static bool is_feasible(const route_t *route, pimento_usec_t now,
			const route_query_t *query,
			pimento_usec_t client_timeout)
{
	rates_t best = best_rates(route, query);
	route_query_t q = *query;

	q.avoid_count = 0;
	for (uint32_t i = 0; i < route->count; i++) {
		const route_endpoint_t *e = &route->endpoints[i];
		double seconds;

		if (!is_usable(e, now, &q))
			continue;
		if (e->target == CONFIG_TARGET_SERVICE)
			seconds = best.service_seconds;
		else
			seconds =
				q.prompt_tokens /
					max_double(e->prefill_rate_max,
						   best.prefill) +
				q.answer_tokens / max_double(e->decode_rate_max,
							     best.decode);
		if (seconds * FEASIBLE_FACTOR <= (double)client_timeout)
			return true;
	}
	return false;
}

/*
 * Chooses an endpoint whose owner has had no final attempt yet and may hold
 * work of lower priority. At an endpoint that is kept free of long prompts, the
 * owner of a long prompt's reservation only sheds lower tiers.
 */
static bool choose_final_attempt(route_t *route, pimento_usec_t now,
				 route_retry_t *retry,
				 const route_query_t *query,
				 route_choice_t *choice, uint8_t *hops)
{
	route_query_t q = *query;

	/*
	 * A request that waited after its final attempt may be refused again
	 * when lower tiers have been readmitted, so attempts older than this
	 * are forgotten.
	 */
	if (now - retry->final_since > OWNER_TIER_FLOOR_SPAN / 2) {
		retry->final_count = 0;
		retry->final_since = now;
	}
	if (retry->final_count >= ROUTE_ATTEMPTS_MAX)
		return false;
	q.avoid = retry->final;
	q.avoid_count = retry->final_count;
	*hops = OWNER_HOPS_FINAL;
	if (choose_endpoint(route, now, &q, false, choice)) {
		*hops = OWNER_HOPS_SHED_ONLY;
		if (choose_endpoint(route, now, &q, true, choice))
			return false;
	}
	retry->final[retry->final_count++] = choice->endpoint;
	return true;
}

int route_handle_refusal(route_t *route, pimento_usec_t now,
			 route_retry_t *retry, const route_query_t *query,
			 pimento_usec_t client_timeout, pimento_id_t endpoint,
			 const message_refuse_t *refuse, route_choice_t *choice,
			 uint8_t *hops)
{
	if (refuse->summary.endpoint)
		route_update_summary(route, now, &refuse->summary);
	record_refusal(retry, endpoint, refuse);
	if (choose_alternative(route, now, retry, query, choice)) {
		*hops = (uint8_t)retry->refused_count;
		return 0;
	}
	if (query->tier + 1U < route->tier_count &&
	    is_feasible(route, now, query, client_timeout) &&
	    choose_final_attempt(route, now, retry, query, choice, hops))
		return 0;
	return retry->reason;
}
