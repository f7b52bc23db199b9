#ifndef BURN_JSON_H
#define BURN_JSON_H

/*
 * The text of GET /burn:
 *
 *	{"now_s": N, "tiers": [{"tier": "charge", "rank": 0,
 *	  "objective": 0.999,
 *	  "windows": [{"seconds": 300, "good": n, "total": n}, ...],
 *	  "series": [{"t": N - age, "good": n, "total": n}, ...]}]}
 *
 * Empty points of the series are left out, and the rank of a tier that is no
 * longer in force.
 */

#include "../src/burn.h"

/*
 * Returns a text to be freed, or NULL if memory could not be had. config is
 * the one in force, or NULL.
 */
char *burn_json_write(const burn_t *burn, const pimento_config_t *config,
		      pimento_usec_t now);

/* Several hosts' reports, merged by the name of the tier. */
typedef struct burn_reports {
	uint32_t count;
	burn_report_t *reports; /* BURN_TIERS_MAX of them */
} burn_reports_t;

int burn_reports_init(burn_reports_t *reports);
void burn_reports_finish(burn_reports_t *reports);

/*
 * Adds one host's text. Returns 0, or PIMENTO_EPARSE if it is not such a text;
 * a tier that is understood only in part is passed over.
 */
int burn_json_read(burn_reports_t *reports, const char *text, size_t length);

/* Sorts by rank, then by name. */
void burn_reports_sort(burn_reports_t *reports);

#endif
