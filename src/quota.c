/*
 * A bucket that drains at rate + part * burst / window and holds the rest of
 * the burst lets through, in any window, rate * window + burst: as much as the
 * operator states, for any part. A larger part gives an account that asks for
 * more than its rate all the time more of what it is owed, a smaller one is
 * kinder to sudden bursts.
 *
 * A view of a bucket is late by as long as a peer's word takes. What a peer
 * admits meanwhile is projected from what it admitted lately: in a surge that
 * comes in at all hosts at once, the sum would else pass the limit by the surge
 * times that delay. A peer that has fallen silent may serve on behind a cut;
 * its even share of the rate is then left to it.
 *
 * While an account is scarce each host keeps to its share of what drains, by
 * what its own callers ask for. Were every host to admit until its view is
 * full, all would admit for the second in which they do not hear of each other
 * and then nothing for two: in a surge of five times the rate over 58 hosts,
 * 1.6 times the rate in one second and nothing in the next.
 *
 * A host that restarts knows nothing. It takes over the view of a peer that
 * has known longer; while there is none, because all were killed together, it
 * starts three quarters full. The operator's tolerance over a window, a quarter
 * of rate times window plus burst, holds what is used twice then.
 */

#include "quota.h"

#include <math.h>
#include <stdlib.h>

/* Room beside the burst, in seconds of the rate, for views that are late. */
#define ROOM_SECONDS 0.5
/*
 * Part of the burst that drains with the rate, and part that may come at
 * once. Their sum above 1 uses some of the operators' tolerance for an
 * account that is over its quota all the time.
 */
#define DRAIN_PART 0.75
#define BURST_PART 0.75
/* Part of the burst that counts as used when nothing is known. */
#define UNKNOWN_PART 0.75
/*
 * Beyond this part of the bucket the account is scarce and each host keeps to
 * its share, which holds the bucket at the part aimed at: more or less than
 * drains is admitted, by so much that the aim would be reached in this time.
 * That is a few times as long as news takes, as views swing otherwise.
 */
#define SCARCE_PART 0.65
#define AIM_PART 0.8
#define SETTLE_SECONDS 2.0
#define SETTLE_TURNS 2.0
#define CORRECT_MOST 0.5
/* Part of the bucket that is kept for more urgent requests. */
#define KEPT_PART 0.2
/* Views that began within this of each other know equally little. */
#define SAME_START (1 * PIMENTO_SEC)
/* A peer's admissions are projected for at most this. */
#define PROJECT_MOST (2 * PIMENTO_SEC)
/* Silent for so many times the usual, at least: a peer may be cut off. */
#define SILENT_TIMES 4
#define SILENT_LEAST (1 * PIMENTO_SEC)
/* Longer than this it is gone, not cut off. */
#define GONE (20 * PIMENTO_SEC)
/*
 * A restarted host is limited to its share of an account for this multiple of
 * hear_every, counted from the account's first request.
 */
#define RESTART_TURNS 2
/* Part of the bucket that the share holds at that first request. */
#define RESTART_PART (1.0 / 64)
/* Weight of a new sample of a peer's rate. */
#define RATE_WEIGHT 0.5

void quota_init(quota_t *quota, pimento_usec_t window, bool first_start)
{
	*quota = (quota_t){ .first_start = first_start, .window = window };
}

void quota_finish(quota_t *quota)
{
	for (uint32_t i = 0; i < quota->count; i++)
		free(quota->uses[i].peers);
	free(quota->uses);
}

static quota_usage_t *find(const quota_t *quota, uint32_t account)
{
	for (uint32_t i = 0; i < quota->count; i++)
		if ((uint32_t)quota->uses[i].account == account)
			return &quota->uses[i];
	return NULL;
}

static quota_usage_t *use_of(quota_t *quota, pimento_id_t account)
{
	quota_usage_t *use = find(quota, (uint32_t)account);

	if (use)
		return use;
	use = realloc(quota->uses, (quota->count + 1) * sizeof(*use));
	if (!use)
		return NULL;
	quota->uses = use;
	use += quota->count++;
	*use = (quota_usage_t){ .account = account };
	return use;
}

static pimento_usec_t silent_after(const quota_t *quota)
{
	pimento_usec_t span = quota->hear_every * SILENT_TIMES;

	return span > SILENT_LEAST ? span : SILENT_LEAST;
}

/* Part of the rate that is left to hosts that can hear each other. */
static double heard_part(const quota_t *quota, const quota_usage_t *use,
			 pimento_usec_t now)
{
	double heard = 1; /* this host */
	double silent = 0;

	for (uint32_t i = 0; i < use->peer_count; i++) {
		pimento_usec_t age = now - use->peers[i].heard_at;

		if (age < silent_after(quota))
			heard++;
		else if (age < GONE)
			silent++;
	}
	return heard / (heard + silent);
}

static double room(quota_limit_t rate)
{
	return rate.burst * BURST_PART + rate.per_second * ROOM_SECONDS;
}

/* Tokens a second that drain. */
static double draining(const quota_t *quota, quota_limit_t rate)
{
	double window = (double)quota->window / (double)PIMENTO_SEC;

	return rate.per_second + rate.burst * DRAIN_PART / window;
}

static void begin(const quota_t *quota, quota_usage_t *use, quota_limit_t rate,
		  pimento_usec_t now)
{
	double unknown = room(rate) * UNKNOWN_PART;
	bool after_restart =
		!quota->first_start && now - quota->started_at <= quota->window;
	bool known = quota->first_start ||
		     (use->since && now - use->since > quota->window);

	if (!known && use->level < unknown)
		use->level = unknown;
	if (after_restart) {
		use->share.credit = room(rate) * RESTART_PART;
		use->share.filled_at = now;
	}
	use->after_restart = after_restart;
	use->begun_at = now;
	if (!use->since)
		use->since = now;
	use->begun = true;
	use->settled = now;
}

/*
 * Also before a view is told to others: the level of an account that nobody
 * asked for here lately would else be that of its last request.
 */
static void drain(const quota_t *quota, quota_usage_t *use, pimento_usec_t now)
{
	double passed = (double)(now - use->settled) / (double)PIMENTO_SEC;

	use->settled = now;
	use->level -= passed * draining(quota, use->rate) *
		      heard_part(quota, use, now);
	if (use->level < 0)
		use->level = 0;
}

/* What peers have probably admitted since they last spoke. */
static double projected(const quota_usage_t *use, pimento_usec_t now)
{
	double sum = 0;

	for (uint32_t i = 0; i < use->peer_count; i++) {
		const quota_peer_t *peer = &use->peers[i];
		pimento_usec_t age = now - peer->heard_at;

		if (age > PROJECT_MOST)
			continue; /* its share of the rate is left to it */
		sum += peer->per_second * (double)age / (double)PIMENTO_SEC;
	}
	return sum;
}

/* Tokens a second that callers ask all hosts for. */
static double asked_of_all(const quota_t *quota, const quota_usage_t *use,
			   pimento_usec_t now)
{
	double own = quota_share_asked(&use->share, now);
	double sum = own;
	uint32_t heard = 1;

	for (uint32_t i = 0; i < use->peer_count; i++) {
		if (now - use->peers[i].heard_at >= silent_after(quota))
			continue;
		sum += use->peers[i].asked;
		heard++;
	}
	/* those that have not spoken of it yet are asked as this host is */
	if (quota->hosts > heard)
		sum += own * (quota->hosts - heard);
	return sum;
}

/* Tokens a second that this host may admit of a scarce account. */
static double fair_rate(const quota_t *quota, const quota_usage_t *use,
			double level, pimento_usec_t now)
{
	double all = asked_of_all(quota, use, now);
	double drains =
		draining(quota, use->rate) * heard_part(quota, use, now);
	double span =
		fmax(SETTLE_SECONDS, SETTLE_TURNS * (double)quota->hear_every /
					     (double)PIMENTO_SEC);
	double off = (AIM_PART * room(use->rate) - level) / span / drains;

	if (all <= 0)
		return drains;
	off = fmin(fmax(off, -CORRECT_MOST), CORRECT_MOST);
	return drains * (1 + off) * quota_share_asked(&use->share, now) / all;
}

/*
 * Prevents hosts that restart together from each admitting all the free tokens
 * in their own view before they receive each other's admissions.
 */
static bool limited_to_share(const quota_t *quota, const quota_usage_t *use,
			     pimento_usec_t now)
{
	if (!use->after_restart ||
	    now - use->begun_at >= quota->hear_every * RESTART_TURNS)
		return false;
	return quota->discovering ||
	       asked_of_all(quota, use, now) > draining(quota, use->rate);
}

static bool fits(const quota_t *quota, quota_usage_t *use, double level,
		 uint32_t tier, double tokens, pimento_usec_t now)
{
	double most = room(use->rate);
	double kept;

	/* the share does not grow while the host count may be too low */
	if (quota->discovering && use->after_restart)
		use->share.filled_at = now;
	else
		quota_share_fill(&use->share, fair_rate(quota, use, level, now),
				 now);
	kept = KEPT_PART * quota_share_reserved(&use->share, tier, tokens, now);
	/* one that is larger than the whole bucket waits for an empty one */
	if (level > 0 && level + tokens > most * (1 - kept))
		return false;
	return (level <= SCARCE_PART * most &&
		!limited_to_share(quota, use, now)) ||
	       quota_share_spend(&use->share, tier, tokens, now);
}

int quota_admit(quota_t *quota, pimento_id_t account, quota_limit_t rate,
		uint32_t tier, double tokens, pimento_usec_t now)
{
	quota_usage_t *use = use_of(quota, account);
	double level;

	if (!use)
		return PIMENTO_ENOMEM;
	if (!quota->started_at)
		quota->started_at = now;
	use->rate = rate;
	if (!use->begun)
		begin(quota, use, rate, now);
	drain(quota, use, now);
	quota_share_ask(&use->share, tier, tokens, now);
	level = use->level + projected(use, now);
	if (rate.per_second > 0 && !fits(quota, use, level, tier, tokens, now))
		return PIMENTO_EFULL;
	use->level += tokens;
	use->admitted += tokens;
	return 0;
}

void quota_refund(quota_t *quota, pimento_id_t account, double tokens)
{
	quota_usage_t *use = find(quota, (uint32_t)account);

	if (!use)
		return;
	use->admitted -= tokens;
	quota_share_refund(&use->share, tokens);
	use->level = use->level > tokens ? use->level - tokens : 0;
}

pimento_usec_t quota_retry_after(const quota_t *quota, pimento_id_t account,
				 quota_limit_t rate, double tokens)
{
	const quota_usage_t *use = find(quota, (uint32_t)account);
	double over = (use ? use->level : 0) + tokens - room(rate);
	double seconds = 0;

	if (over > 0 && rate.per_second > 0)
		seconds = over / draining(quota, rate);
	return (pimento_usec_t)(seconds * (double)PIMENTO_SEC);
}

double quota_level(const quota_t *quota, pimento_id_t account)
{
	const quota_usage_t *use = find(quota, (uint32_t)account);

	return use ? use->level : 0;
}

static quota_peer_t *peer_of(quota_usage_t *use, uint32_t address)
{
	quota_peer_t *peer;

	for (uint32_t i = 0; i < use->peer_count; i++)
		if (use->peers[i].address == address)
			return &use->peers[i];
	peer = realloc(use->peers, (use->peer_count + 1) * sizeof(*peer));
	if (!peer)
		return NULL;
	use->peers = peer;
	peer += use->peer_count++;
	*peer = (quota_peer_t){ .address = address };
	return peer;
}

/*
 * The first word of a peer. One that has known for longer holds what was used
 * before this host's time, by all hosts: its view is taken over. One that
 * began when this host did, after a mass restart, tells what it admitted
 * itself, and only that is new. Were its view taken over too, views would
 * climb one upon the other, as each holds what others admitted, and accounts
 * would be turned away for seconds; were nothing taken, each host would give
 * a surge the whole quota anew.
 */
static double first_news(const quota_t *quota, quota_usage_t *use,
			 const quota_report_t *word, pimento_usec_t now)
{
	pimento_usec_t since = now - word->age;

	if (since + SAME_START < use->since) {
		use->since = since;
		use->taken_over = true;
		if (use->level < word->level)
			use->level = word->level;
		return 0;
	}
	if (use->taken_over && since <= use->since + SAME_START)
		return 0; /* in what was taken over */
	if (now - use->followed_at < quota->window &&
	    since + quota->window < use->followed_at)
		return 0; /* in the view that was followed */
	/* what drained since does not count any more */
	return fmin(word->admitted, word->level);
}

/*
 * No request of this account came here yet, so that its rate is not known here
 * and the view is not drained: the latest word of a peer is the view.
 */
static void follow(quota_usage_t *use, const quota_report_t *word,
		   pimento_usec_t now)
{
	pimento_usec_t since = now - word->age;

	if (use->since && since > use->since + SAME_START)
		return; /* others have known for longer */
	use->since = since;
	use->followed_at = now;
	use->level = word->level;
}

/* Tokens that a peer admitted since its last word. */
static double news_of(const quota_t *quota, quota_usage_t *use,
		      const quota_peer_t *peer, uint64_t incarnation,
		      const quota_report_t *word, pimento_usec_t now)
{
	if (!use->begun)
		return 0; /* in the view that is followed */
	if (!peer->incarnation)
		return first_news(quota, use, word, now);
	if (peer->incarnation != incarnation)
		return word->admitted; /* since its restart */
	return word->admitted - peer->admitted;
}

/* How fast the peer admits, for what it will have admitted until it speaks. */
static void learn_rate(const quota_t *quota, quota_peer_t *peer,
		       const quota_report_t *word, double news,
		       pimento_usec_t now)
{
	pimento_usec_t span =
		peer->incarnation ? now - peer->heard_at : word->age;
	double sample;

	/* a single request in a shorter span would look like a surge */
	if (span < quota->hear_every)
		span = quota->hear_every;
	if (span <= 0)
		return;
	sample = news * (double)PIMENTO_SEC / (double)span;
	if (peer->incarnation)
		sample = peer->per_second +
			 RATE_WEIGHT * (sample - peer->per_second);
	peer->per_second = sample > 0 ? sample : 0;
}

int quota_receive(quota_t *quota, uint32_t address, uint64_t incarnation,
		  const quota_report_t *word, pimento_usec_t now)
{
	quota_usage_t *use = use_of(quota, word->account);
	quota_peer_t *peer = use ? peer_of(use, address) : NULL;
	double news;

	if (!peer)
		return PIMENTO_ENOMEM;
	if (!quota->started_at)
		quota->started_at = now;
	if (use->begun)
		drain(quota, use, now);
	else
		follow(use, word, now);
	news = news_of(quota, use, peer, incarnation, word, now);
	learn_rate(quota, peer, word, news, now);
	peer->incarnation = incarnation;
	peer->admitted = word->admitted;
	peer->asked = word->asked;
	peer->heard_at = now;
	use->level += news;
	if (use->level < 0)
		use->level = 0;
	return 0;
}

uint32_t quota_reports(quota_t *quota, quota_report_t *words, uint32_t max,
		       pimento_usec_t now)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < quota->count && count < max; i++) {
		quota_usage_t *use = &quota->uses[i];

		if (!use->begun)
			continue; /* it only repeats what others say */
		drain(quota, use, now);
		words[count++] = (quota_report_t){
			.account = (uint32_t)use->account,
			.admitted = use->admitted,
			.level = use->level,
			.asked = quota_share_asked(&use->share, now),
			.age = use->since ? now - use->since : 0,
		};
	}
	return count;
}
