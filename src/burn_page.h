#ifndef BURN_PAGE_H
#define BURN_PAGE_H

/*
 * The burn report for people: a table for a terminal, and a page of HTML that
 * needs nothing from outside.
 */

#include "burn.h"
#include "strbuf.h"

void burn_write_table(const burn_report_t *reports, uint32_t count,
		      strbuf_t *text);

/* hosts says how many hosts the counts are of; when is printed as it is. */
void burn_write_html(const burn_report_t *reports, uint32_t count, size_t hosts,
		     const char *when, strbuf_t *text);

#endif
