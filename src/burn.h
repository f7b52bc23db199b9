#ifndef BURN_H
#define BURN_H

/*
 * Service-level burn: how fast each tier uses up its error budget. Counts the
 * good requests (answered whole while the caller still cared) and all requests
 * of a tier in rings of buckets, so that memory is bounded however long a
 * daemon runs. Requests that were never served under a contract (unknown
 * account, malformed body) and those whose caller left in time do not count.
 *
 * Tiers are counted by name, because a new configuration may give a rank to
 * another tier.
 */

#include "config.h"

#define BURN_TIERS_MAX ((size_t)2 * PIMENTO_TIERS_MAX)

/* A short window notices quickly, a long one is not misled by a moment. */
#define BURN_WINDOWS 5
extern const uint32_t burn_window_seconds[BURN_WINDOWS]; /* 5 min to 24 h */

#define BURN_FINE_STEP_S 10 /* seconds of a bucket, for windows up to 1 h */
#define BURN_FINE_BUCKETS 360
#define BURN_COARSE_STEP_S 300 /* for longer windows, and the series */
#define BURN_COARSE_BUCKETS 288

typedef struct burn_count {
	uint64_t good;
	uint64_t total;
} burn_count_t;

typedef struct burn_bucket {
	int64_t interval; /* time divided by the step; other times are void */
	uint32_t good;
	uint32_t total;
} burn_bucket_t;

typedef struct burn_tier {
	char name[PIMENTO_NAME_MAX];
	pimento_usec_t last_used; /* when last counted */
	burn_bucket_t fine[BURN_FINE_BUCKETS];
	burn_bucket_t coarse[BURN_COARSE_BUCKETS];
} burn_tier_t;

typedef struct burn {
	uint32_t count;
	burn_tier_t *tiers;
} burn_t;

/* Returns 0 or PIMENTO_ENOMEM. Not locked; one thread at a time. */
int burn_init(burn_t *burn);
void burn_finish(burn_t *burn);

/*
 * Counts one request. With BURN_TIERS_MAX names in use, the one that was not
 * counted for longest is forgotten.
 */
void burn_add(burn_t *burn, const char *tier, bool good, pimento_usec_t now);

/*
 * Whether a refusal with this error is the service's fault and counts as not
 * good. A caller who left, or who sent what can never be served, does not.
 */
bool burn_error_counts(int error);

/* Counts of the last seconds; both zero for a tier that is not known. */
burn_count_t burn_window_count(const burn_t *burn, const char *tier,
			       uint32_t seconds, pimento_usec_t now);

/* Rank of a tier that the configuration in force does not name. */
#define BURN_RANK_NONE UINT32_MAX

/* One tier as it is reported, merged over hosts, and drawn. */
typedef struct burn_report {
	char tier[PIMENTO_NAME_MAX];
	uint32_t rank;
	double objective;
	burn_count_t windows[BURN_WINDOWS];
	burn_count_t series[BURN_COARSE_BUCKETS]; /* by age, newest first */
} burn_report_t;

/*
 * Fills the report of burn->tiers[index], index below burn->count. config may
 * be NULL: then every tier is without rank and has the lowest objective.
 */
void burn_report(const burn_t *burn, uint32_t index,
		 const pimento_config_t *config, pimento_usec_t now,
		 burn_report_t *report);

/*
 * Adds the counts of another host. Hosts share no clock, so counts are merged
 * by their age. Where hosts have unlike configurations, the more urgent
 * rank and its objective are kept.
 */
void burn_merge(burn_report_t *to, const burn_report_t *from);

/*
 * The objective of a tier, as the share of its requests that must be good:
 * 99.9 % for the most urgent, 95 % for the least; between them the error
 * budget grows by equal factors. A single tier has the first.
 */
double burn_objective(uint32_t rank, uint32_t tier_count);

/*
 * Error budgets used up per budgeted time: 1 uses the budget up exactly, 0 is
 * no bad request. 0 where nothing was counted.
 */
double burn_rate(burn_count_t count, double objective);

typedef enum burn_state {
	BURN_IDLE, /* nothing counted in the longest window */
	BURN_OK,
	BURN_SPENT, /* over budget in the longest window, over by now */
	BURN_SLOW, /* over 6 in the last 6 h and still so in 30 min */
	BURN_FAST /* over 14.4 in the last hour and still so in 5 min */
} burn_state_t;

/*
 * Judges long windows together with short ones: a fault that is over is not
 * reported as going on. A long window with less than three bad requests is
 * never judged, whatever its rate.
 */
burn_state_t burn_evaluate(const burn_report_t *report);

/* Returns "idle", "ok", "spent", "slow" or "fast"; never NULL. */
const char *burn_state_name(burn_state_t state);

#endif
