/*
 * The entry picks the endpoint that should finish the request first: the line
 * in front of it, then reading the prompt less what is probably cached, then
 * making the answer. Owners put a summary on every answer, so what is known is
 * fresh where requests go; what this entry sent since is added to it, or all
 * requests between two summaries would go to the same endpoint.
 */

#include "route.h"

#include "owner.h"

#include <stdlib.h>
#include <string.h>

#define KEEP 0.8 /* of the old value in each new sample */
#define FAILED_SPAN (2 * PIMENTO_SEC)
#define MEASURED_SPAN (30 * PIMENTO_SEC)
#define PREFIXES 4096 /* a power of two */
#define PREFIX_SPAN (300 * PIMENTO_SEC)
#define PREFIX_PART 0.5 /* of a prompt, taken to be shared */
#define GUESS_PREFILL 4000.0 /* tokens a second, until anything is known */
#define GUESS_DECODE 30.0
#define GUESS_SERVICE 0.05 /* seconds */
#define MOVED_MAX 4
#define JITTER 0.05
#define BEST_FORGET 0.9999
#define HOPELESS (0.3 * PIMENTO_SEC) /* of the span by the best rates */
#define QUICK_PART 0.4 /* of the patience that is quick enough */
#define LENGTHY 1.0 /* seconds of reading that make a prompt a long one */
#define DIVIDE_SPAN (500 * PIMENTO_MSEC)
#define SIDE_BY_SIDE 16 /* answers made at once, roughly */

struct route_endpoint {
	pimento_id_t id;
	config_target_t target;
	char target_name[PIMENTO_NAME_MAX];
	pimento_id_t target_id;
	uint32_t concurrency;
	uint32_t context_tokens;
	message_summary_t summary; /* epoch 0: none yet */
	double prefill_best; /* rates of its quickest time lately */
	double decode_best;
	double prefill; /* measured here, tokens a second, 0 unknown */
	double decode;
	double service; /* seconds, plain services */
	pimento_usec_t measured;
	double sent; /* seconds of work, by this entry since the summary */
	pimento_usec_t failed_until;
	bool leaving;
	bool kept; /* free of long prompts */
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
	mix_init(&route->mix);
	route->prefixes = calloc(PREFIXES, sizeof(*route->prefixes));
	return route->prefixes ? 0 : PIMENTO_ENOMEM;
}

void route_finish(route_t *route)
{
	free(route->endpoints);
	free(route->prefixes);
	memset(route, 0, sizeof(*route));
}

static route_endpoint_t *find(const route_t *route, pimento_id_t id)
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

static void describe(route_endpoint_t *e, const config_endpoint_t *from)
{
	e->id = from->id;
	e->target = from->target;
	memcpy(e->target_name, from->target_name, sizeof(e->target_name));
	e->target_id = pimento_id(from->target_name);
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
		route_endpoint_t *old = find(route, config->endpoints[i].id);

		if (old)
			endpoints[i] = *old;
		describe(&endpoints[i], &config->endpoints[i]);
	}
	qsort(endpoints, n, sizeof(*endpoints), endpoint_order);
	free(route->endpoints);
	route->endpoints = endpoints;
	route->count = n;
	route->tier_count = config->tier_count;
	route->divided = 0;
	return 0;
}

static double larger(double a, double b)
{
	return a > b ? a : b;
}

void route_learn(route_t *route, pimento_usec_t now,
		 const message_summary_t *summary)
{
	route_endpoint_t *e = find(route, summary->endpoint);

	(void)now;
	if (!e || summary->epoch < e->summary.epoch)
		return;
	e->summary = *summary;
	e->sent = 0;
	e->prefill_best = larger(e->prefill_best * BEST_FORGET,
				 (double)summary->prefill_rate);
	e->decode_best = larger(e->decode_best * BEST_FORGET,
				(double)summary->decode_rate);
}

static double blend(double old, double sample)
{
	return old > 0 ? old * KEEP + sample * (1 - KEEP) : sample;
}

void route_observe(route_t *route, pimento_usec_t now, pimento_id_t endpoint,
		   uint32_t prompt_tokens, uint32_t answer_tokens,
		   pimento_usec_t first_token, pimento_usec_t decode)
{
	route_endpoint_t *e = find(route, endpoint);
	double first = (double)first_token / PIMENTO_SEC;
	double rest = (double)decode / PIMENTO_SEC;

	if (!e)
		return;
	e->measured = now;
	if (e->target == CONFIG_TARGET_SERVICE) {
		e->service = blend(e->service, first + rest);
		return;
	}
	if (first > 0 && prompt_tokens)
		e->prefill = blend(e->prefill, prompt_tokens / first);
	if (rest > 0 && answer_tokens > 1)
		e->decode = blend(e->decode, (answer_tokens - 1) / rest);
}

static route_prefix_t *prefix_place(const route_t *route, uint64_t prefix,
				    pimento_id_t endpoint)
{
	uint64_t h = (prefix ^ endpoint) * 0x9e3779b97f4a7c15ULL;

	return &route->prefixes[(h >> 32) & (PREFIXES - 1)];
}

void route_placed(route_t *route, pimento_usec_t now, pimento_id_t endpoint,
		  uint64_t prefix, uint32_t prompt_tokens)
{
	route_prefix_t *p;

	if (!prefix)
		return;
	p = prefix_place(route, prefix, endpoint);
	p->prefix = prefix;
	p->endpoint = endpoint;
	p->tokens = prompt_tokens;
	p->until = now + PREFIX_SPAN;
}

static double cached_tokens(const route_t *route, pimento_usec_t now,
			    const route_query_t *query, pimento_id_t endpoint)
{
	const route_prefix_t *p;
	uint32_t tokens;

	if (!query->prefix)
		return 0;
	p = prefix_place(route, query->prefix, endpoint);
	if (p->prefix != query->prefix || p->endpoint != endpoint ||
	    now > p->until)
		return 0;
	tokens = p->tokens;
	if (tokens > query->prompt_tokens)
		tokens = query->prompt_tokens;
	return tokens * PREFIX_PART;
}

void route_leaving(route_t *route, pimento_id_t endpoint, bool leaving)
{
	route_endpoint_t *e = find(route, endpoint);

	if (e)
		e->leaving = leaving;
}

void route_failed(route_t *route, pimento_usec_t now, pimento_id_t endpoint)
{
	route_endpoint_t *e = find(route, endpoint);

	if (e)
		e->failed_until = now + FAILED_SPAN;
}

/* The best rates known of any endpoint: what an unknown one is taken to have,
 * so that it is tried. */
typedef struct rates {
	double prefill;
	double decode;
	double service;
} rates_t;

static double prefill_of(const route_endpoint_t *e)
{
	return e->summary.prefill_rate > 0 ? (double)e->summary.prefill_rate
					   : e->prefill;
}

static double decode_of(const route_endpoint_t *e)
{
	return e->summary.decode_rate > 0 ? (double)e->summary.decode_rate
					  : e->decode;
}

/* Seconds of a plain service's answer. */
static double service_of(const route_endpoint_t *e)
{
	return e->summary.decode_rate > 0 ? 1 / (double)e->summary.decode_rate
					  : e->service;
}

static bool serves(const route_endpoint_t *e, const route_query_t *query)
{
	return e->target == query->target &&
	       !strcmp(e->target_name, query->target_name);
}

static rates_t best_rates(const route_t *route, const route_query_t *query)
{
	rates_t best = { 0, 0, 0 };

	for (uint32_t i = 0; i < route->count; i++) {
		const route_endpoint_t *e = &route->endpoints[i];

		if (!serves(e, query))
			continue;
		best.prefill = larger(best.prefill, prefill_of(e));
		best.decode = larger(best.decode, decode_of(e));
		if (service_of(e) > 0 &&
		    (best.service <= 0 || service_of(e) < best.service))
			best.service = service_of(e);
	}
	if (best.prefill <= 0)
		best.prefill = GUESS_PREFILL;
	if (best.decode <= 0)
		best.decode = GUESS_DECODE;
	if (best.service <= 0)
		best.service = GUESS_SERVICE;
	return best;
}

/* Seconds of service without any line. */
static double service(const route_t *route, pimento_usec_t now,
		      const route_query_t *query, const route_endpoint_t *e,
		      const rates_t *best)
{
	double prefill = prefill_of(e) > 0 ? prefill_of(e) : best->prefill;
	double decode = decode_of(e) > 0 ? decode_of(e) : best->decode;
	double prompt = query->prompt_tokens;

	if (e->target == CONFIG_TARGET_SERVICE)
		return service_of(e) > 0 ? service_of(e) : best->service;
	prompt -= cached_tokens(route, now, query, e->id);
	if (!query->tier) /* for the others they are in the wait */
		prompt += e->summary.waiting_tokens;
	return prompt / prefill + query->answer_tokens / decode;
}

/* Seconds until it is granted, as the owner said, and what was sent since. */
static double line(const route_query_t *query, const route_endpoint_t *e)
{
	return e->summary.wait_ms[query->tier] / 1000.0 + e->sent;
}

static bool avoided(const route_query_t *query, pimento_id_t id)
{
	for (uint32_t i = 0; i < query->avoid_count; i++)
		if (query->avoid[i] == id)
			return true;
	return false;
}

static bool usable(const route_endpoint_t *e, pimento_usec_t now,
		   const route_query_t *query)
{
	if (!serves(e, query) || e->leaving || e->summary.leaving)
		return false;
	if (now < e->failed_until || avoided(query, e->id))
		return false;
	return !e->context_tokens ||
	       query->prompt_tokens + query->answer_tokens <= e->context_tokens;
}

/* Seconds that an ordinary endpoint reads this prompt. */
static double reading(const route_query_t *query, const rates_t *best)
{
	return query->prompt_tokens / best->prefill;
}

static bool lengthy(const route_query_t *query, const rates_t *best)
{
	return query->target == CONFIG_TARGET_MODEL && query->tier &&
	       reading(query, best) > LENGTHY;
}

/*
 * Keeps the first endpoints of a target that make up its part. In the order of
 * their ids, on which all entries agree: were it the order of measured rates,
 * two entries would send long and short prompts to the same endpoint.
 */
static void divide_target(route_endpoint_t **list, uint32_t count, double part)
{
	double all = 0;
	double sum = 0;

	for (uint32_t i = 0; i < count; i++)
		all += larger(prefill_of(list[i]), 1);
	for (uint32_t i = 0; i < count; i++) {
		double one = larger(prefill_of(list[i]), 1) / all;

		list[i]->kept = part > 0 && i + 1 < count &&
				(!i || sum + one / 2 <= part);
		sum += one;
	}
}

/* Divides the endpoints of every target anew, now and then. */
static void divide(route_t *route, pimento_usec_t now)
{
	route_endpoint_t **list;

	if (route->divided && now - route->divided < DIVIDE_SPAN)
		return;
	route->divided = now;
	list = malloc((route->count + 1) * sizeof(route_endpoint_t *));
	for (int t = 0; list && t < MIX_TARGETS_MAX; t++) {
		const mix_target_t *target = &route->mix.targets[t];
		uint32_t n = 0;

		if (!target->name)
			break;
		for (uint32_t i = 0; i < route->count; i++) {
			route_endpoint_t *e = &route->endpoints[i];

			if (e->target_id == target->name && !e->leaving &&
			    !e->summary.leaving && now >= e->failed_until)
				list[n++] = e;
		}
		divide_target(list, n, mix_kept(target));
	}
	free(list);
}

/* Which endpoints a choice is among. */
typedef enum among { AMONG_ALL, AMONG_KEPT, AMONG_OTHERS } among_t;

static bool is_among(const route_endpoint_t *e, among_t among)
{
	return among == AMONG_ALL || e->kept == (among == AMONG_KEPT);
}

static route_endpoint_t *pick(route_t *route, pimento_usec_t now,
			      const route_query_t *query, const rates_t *best,
			      among_t among, double *least)
{
	route_endpoint_t *found = NULL;

	for (uint32_t i = 0; i < route->count; i++) {
		route_endpoint_t *e = &route->endpoints[i];
		double one;
		double all;

		if (!usable(e, now, query) || !is_among(e, among))
			continue;
		one = service(route, now, query, e, best);
		all = one + line(query, e);
		all *= 1 + JITTER * pimento_random_unit(&route->random);
		if (!found || all < *least) {
			found = e;
			*least = all;
		}
	}
	return found;
}

/*
 * A short request that is more urgent than long ones goes where no long prompt
 * comes while that is quick enough, even if another endpoint is quicker just
 * now: there it would hold up the next long prompt, which may not use up its
 * slack.
 */
static bool keeps_apart(route_t *route, const route_query_t *query)
{
	mix_target_t *target;

	if (query->target != CONFIG_TARGET_MODEL)
		return false;
	target = mix_target(&route->mix, pimento_id(query->target_name));
	return target && query->tier <= mix_last(target);
}

static route_endpoint_t *pick_short(route_t *route, pimento_usec_t now,
				    const route_query_t *query,
				    const rates_t *best, double *least)
{
	route_endpoint_t *found = NULL;

	if (keeps_apart(route, query))
		found = pick(route, now, query, best, AMONG_KEPT, least);
	if (found &&
	    *least * PIMENTO_SEC <= (double)query->patience * QUICK_PART)
		return found;
	return pick(route, now, query, best, AMONG_ALL, least);
}

/* Seconds of an ordinary endpoint's time. */
static double work(const route_query_t *query, const rates_t *best)
{
	if (query->target == CONFIG_TARGET_SERVICE)
		return best->service / SIDE_BY_SIDE;
	return reading(query, best) +
	       query->answer_tokens / best->decode / SIDE_BY_SIDE;
}

static void note_work(route_t *route, pimento_usec_t now,
		      const route_query_t *query, const rates_t *best)
{
	mix_target_t *target;

	if (query->target != CONFIG_TARGET_MODEL)
		return;
	target = mix_target(&route->mix, pimento_id(query->target_name));
	if (target)
		mix_note(target, now, query->tier, work(query, best),
			 lengthy(query, best));
}

static int choose(route_t *route, pimento_usec_t now,
		  const route_query_t *query, bool kept_too,
		  route_choice_t *choice)
{
	rates_t best = best_rates(route, query);
	double least = 0;
	route_endpoint_t *found;

	if (lengthy(query, &best))
		found = pick(route, now, query, &best,
			     kept_too ? AMONG_ALL : AMONG_OTHERS, &least);
	else
		found = pick_short(route, now, query, &best, &least);
	if (!found)
		return PIMENTO_EUNREACHABLE;
	found->sent += work(query, &best);
	choice->endpoint = found->id;
	choice->expected = (pimento_usec_t)(least * PIMENTO_SEC);
	return 0;
}

int route_pick(route_t *route, pimento_usec_t now, const route_query_t *query,
	       route_choice_t *choice)
{
	rates_t best = best_rates(route, query);

	note_work(route, now, query, &best);
	divide(route, now);
	if (!choose(route, now, query, false, choice))
		return 0;
	return choose(route, now, query, true, choice);
}

void route_retry_init(route_retry_t *retry)
{
	memset(retry, 0, sizeof(*retry));
}

static bool listed(const pimento_id_t *ids, uint32_t count, pimento_id_t id)
{
	for (uint32_t i = 0; i < count; i++)
		if (ids[i] == id)
			return true;
	return false;
}

static void note(route_retry_t *retry, pimento_id_t endpoint,
		 const message_refuse_t *refuse)
{
	if (!retry->reason)
		retry->reason = refuse->reason;
	if (!retry->retry_after || refuse->retry_after < retry->retry_after)
		retry->retry_after = refuse->retry_after;
	if (refuse->reason == PIMENTO_ESTALE && retry->moved < MOVED_MAX) {
		retry->moved++;
		return;
	}
	if (retry->count < ROUTE_VISITS_MAX &&
	    !listed(retry->refused, retry->count, endpoint))
		retry->refused[retry->count++] = endpoint;
}

/* An endpoint that should still finish it in time. */
static bool another(route_t *route, pimento_usec_t now,
		    const route_retry_t *retry, const route_query_t *query,
		    route_choice_t *choice)
{
	route_query_t q = *query;

	if (retry->count >= ROUTE_VISITS_MAX)
		return false;
	q.avoid = retry->refused;
	q.avoid_count = retry->count;
	return !choose(route, now, &q, false, choice) &&
	       choice->expected <= query->patience;
}

/*
 * True if an idle endpoint might do it within the span it came with. By the
 * best rates, not those of now, and generously, for endpoints that have been
 * busy all along never showed their best: a request that is late only because
 * of that is one that less urgent work must not outlive.
 */
static bool feasible(const route_t *route, pimento_usec_t now,
		     const route_query_t *query, pimento_usec_t patience)
{
	rates_t best = best_rates(route, query);
	route_query_t q = *query;

	q.avoid_count = 0;
	for (uint32_t i = 0; i < route->count; i++) {
		const route_endpoint_t *e = &route->endpoints[i];
		double seconds;

		if (!usable(e, now, &q))
			continue;
		if (e->target == CONFIG_TARGET_SERVICE)
			seconds = best.service;
		else
			seconds = q.prompt_tokens / larger(e->prefill_best,
							   best.prefill) +
				  q.answer_tokens /
					  larger(e->decode_best, best.decode);
		if (seconds * HOPELESS <= (double)patience)
			return true;
	}
	return false;
}

/*
 * An owner that may have less urgent work and had no last visit yet. One of an
 * endpoint that is kept free of such a long prompt only sheds.
 */
static bool last_visit(route_t *route, pimento_usec_t now, route_retry_t *retry,
		       const route_query_t *query, route_choice_t *choice,
		       uint8_t *hops)
{
	route_query_t q = *query;

	/* One that was let wait at its last visit comes back when others have
	 * let less urgent work in again. */
	if (now - retry->last_visit > OWNER_FLOOR / 2) {
		retry->last_count = 0;
		retry->last_visit = now;
	}
	if (retry->last_count >= ROUTE_VISITS_MAX)
		return false;
	q.avoid = retry->last;
	q.avoid_count = retry->last_count;
	*hops = OWNER_HOPS_LAST;
	if (choose(route, now, &q, false, choice)) {
		*hops = OWNER_HOPS_SHED;
		if (choose(route, now, &q, true, choice))
			return false;
	}
	retry->last[retry->last_count++] = choice->endpoint;
	return true;
}

int route_refused(route_t *route, pimento_usec_t now, route_retry_t *retry,
		  const route_query_t *query, pimento_usec_t patience,
		  pimento_id_t endpoint, const message_refuse_t *refuse,
		  route_choice_t *choice, uint8_t *hops)
{
	if (refuse->summary.endpoint)
		route_learn(route, now, &refuse->summary);
	note(retry, endpoint, refuse);
	if (another(route, now, retry, query, choice)) {
		*hops = (uint8_t)retry->count;
		return 0;
	}
	if (query->tier + 1U < route->tier_count &&
	    feasible(route, now, query, patience) &&
	    last_visit(route, now, retry, query, choice, hops))
		return 0;
	return retry->reason;
}
