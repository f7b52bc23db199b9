#ifndef STATUS_TABLE_H
#define STATUS_TABLE_H

/*
 * Tables from the texts of GET /status of one or more hosts. Unknown keys are
 * passed over and missing ones shown as "-", so that hosts of two versions can
 * be shown side by side during a rolling replacement.
 */

#include "../src/strbuf.h"

#include <jansson.h>

/* Bytes that would upset a terminal are replaced. */
void status_table(json_t *const *hosts, size_t count, strbuf_t *text);

#endif
