#ifndef GOALS_H
#define GOALS_H

/* What the library's policy has to reach beside the baselines. */

#include "report.h"

/*
 * Compares rows of the same workload, scenario and load, which must follow
 * one another with the library's policy last, and prints every goal missed.
 * Returns how many were missed; goals says how many there were.
 */
uint32_t goals_check(FILE *table, const report_row_t *rows, uint32_t count,
		     uint32_t *goals);

/*
 * True if the most urgent tier alone would fit on what is left of the
 * endpoints at the busiest time of the run.
 */
bool goals_top_fits(const workload_t *workload, scenario_t scenario,
		    double load);

#endif
