#ifndef BURN_PAGE_H
#define BURN_PAGE_H

/*
 * Writes burn reports for operators: as a text table for a terminal, and as a
 * self-contained HTML page that loads no other resources.
 */

#include "burn.h"
#include "strbuf.h"

void burn_write_table(const burn_report_t *reports, uint32_t count,
		      strbuf_t *text);

/*
 * hosts is the number of hosts whose counts were merged; when is the time of the
 * report, shown as given (escaped for HTML).
 */
void burn_write_html(const burn_report_t *reports, uint32_t count, size_t hosts,
		     const char *when, strbuf_t *text);

#endif
