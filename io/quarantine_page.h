#ifndef QUARANTINE_PAGE_H
#define QUARANTINE_PAGE_H

/*
 * The operators' page on parts of prompts that crash endpoints:
 *
 *	GET /quarantine		a line for each part that is not clear
 *	DELETE /quarantine/ID	releases a part, on all hosts
 */

#include "gateway.h"

#define QUARANTINE_PAGE_PATH "/quarantine"

/* Answers a request whose path begins with QUARANTINE_PAGE_PATH. */
void quarantine_page_serve(gateway_t *gateway, httpd_conn_t *conn);

#endif
