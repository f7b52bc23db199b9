#ifndef STATUS_H
#define STATUS_H

/*
 * What operators and the balancer see. The control thread takes the snapshot;
 * the caller's thread writes it out.
 */

#include "control.h"

#include <jansson.h>

/* "serving", "leaving", "not-ready" or "not-fresh"; a literal. */
const char *status_health(control_t *control);

/* The whole status; the caller drops the reference. */
json_t *status_json(control_t *control);

/* Counters in Prometheus' text format; the caller frees them. */
char *status_metrics(control_t *control);

#endif
