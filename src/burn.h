#ifndef BURN_H
#define BURN_H

/*
 * Error budget burn: how fast each tier uses up the error budget of its service
 * level objective. Counts the good requests of a tier, which are those answered
 * completely before their timeout, and all its requests, in rings of buckets, so
 * that memory is bounded however long the process runs. Not counted are requests
 * never accepted under a contract (unknown account, malformed body) and those
 * whose caller disconnected before the timeout.
 *
 * Tiers are identified by name, because a new configuration may assign a rank to
 * another tier.
 */

#include "config.h"

#define BURN_TIERS_MAX ((size_t)2 * PIMENTO_TIERS_MAX)

/*
 * Windows over which requests are counted. Short ones quickly show that a fault
 * has begun or ended; long ones are not swayed by a short burst of errors.
 */
#define BURN_WINDOWS 5
extern const uint32_t burn_window_seconds[BURN_WINDOWS]; /* 5 min to 24 h */

/* The fine ring serves windows of up to 1 h, the coarse one up to 24 h. */
#define BURN_FINE_STEP_S 10 /* seconds in a bucket of the fine ring */
#define BURN_FINE_BUCKETS 360
#define BURN_COARSE_STEP_S 300 /* seconds in a bucket of the coarse ring */
#define BURN_COARSE_BUCKETS 288

/* Number of requests counted in a window or a bucket. */
typedef struct burn_count {
	uint64_t good;
	uint64_t total;
} burn_count_t;

typedef struct burn_bucket {
	/* time divided by the ring's step, plus 1; 0 if never used */
	int64_t interval;
	uint32_t good;
	uint32_t total;
} burn_bucket_t;

typedef struct burn_tier {
	char name[PIMENTO_NAME_MAX];
	pimento_usec_t last_used; /* time of the last request counted */
	burn_bucket_t fine[BURN_FINE_BUCKETS];
	burn_bucket_t coarse[BURN_COARSE_BUCKETS];
} burn_tier_t;

typedef struct burn {
	uint32_t count;
	burn_tier_t *tiers;
} burn_t;

/*
 * Returns 0 or PIMENTO_ENOMEM. Not thread-safe: all calls for one burn_t must
 * come from one thread at a time.
 */
int burn_init(burn_t *burn);
void burn_finish(burn_t *burn);

/*
 * Counts one request of a tier. A new name evicts the least recently used one if
 * BURN_TIERS_MAX names are in use.
 */
void burn_add(burn_t *burn, const char *tier, bool good, pimento_usec_t now);

/*
 * Whether a request that failed with this error counts as bad. It does not if
 * the caller caused the error: by disconnecting, or by sending a request that
 * can never be served.
 */
bool burn_counts_as_bad(int error);

/*
 * Requests of a tier counted in the given number of seconds before now; both
 * counts are zero for an unknown tier.
 */
burn_count_t burn_window_count(const burn_t *burn, const char *tier,
			       uint32_t seconds, pimento_usec_t now);

/* Rank of a tier that the current configuration does not define. */
#define BURN_RANK_NONE UINT32_MAX

/* Burn report of one tier, of one host or merged over several. */
typedef struct burn_report {
	char tier[PIMENTO_NAME_MAX];
	uint32_t rank;
	double objective; /* share of requests that must be good */
	burn_count_t windows[BURN_WINDOWS];
	burn_count_t
		series[BURN_COARSE_BUCKETS]; /* buckets by age, newest first */
} burn_report_t;

/*
 * Fills in the report of burn->tiers[index]; index must be below burn->count.
 * config gives rank and objective of the tier. Without it (NULL), or if it does
 * not define the tier, the rank is BURN_RANK_NONE and the objective the lowest.
 */
void burn_report(const burn_t *burn, uint32_t index,
		 const pimento_config_t *config, pimento_usec_t now,
		 burn_report_t *report);

/*
 * Adds the counts of another host to a report. The clocks of hosts differ, so
 * buckets are merged by age and not by time. If the hosts have different
 * configurations, the more urgent rank and its objective are kept.
 */
void burn_merge(burn_report_t *to, const burn_report_t *from);

/*
 * Returns the objective of a tier, as the share of its requests that must be
 * good: 0.999 for the most urgent tier, 0.95 for the least urgent one; between
 * them the error budget grows by equal factors. A single tier has 0.999.
 */
double burn_objective(uint32_t rank, uint32_t tier_count);

/*
 * Returns the burn rate: the share of bad requests divided by the error budget.
 * A rate of 1 uses up the budget of a period in exactly that period. 0 if there
 * was no bad request, or none at all.
 */
double burn_rate(burn_count_t count, double objective);

typedef enum burn_state {
	BURN_IDLE, /* no request in the last 24 h */
	BURN_OK,
	/* burn rate above 1 in the last 24 h, but neither of the below */
	BURN_SPENT,
	/* burn rate above 6 in the last 6 h and in the last 30 min */
	BURN_SLOW,
	/* burn rate above 14.4 in the last 1 h and in the last 5 min */
	BURN_FAST
} burn_state_t;

/*
 * Returns the state of a tier. Slow and fast burn need a high rate in a long and
 * in a short window, so that a fault that has ended is not reported as current.
 * A long window with fewer than three bad requests is disregarded, as its rate
 * is not significant.
 */
burn_state_t burn_evaluate(const burn_report_t *report);

/* Returns "idle", "ok", "spent", "slow" or "fast"; never NULL. */
const char *burn_state_name(burn_state_t state);

#endif
