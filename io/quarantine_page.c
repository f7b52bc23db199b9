#include "quarantine_page.h"

#include "sys.h"
#include "trail.h"

#include <stdlib.h>
#include <string.h>

static void write_record(strbuf_t *text, const quarantine_t *quarantine,
			 const quarantine_record_t *record, pimento_usec_t now)
{
	const quarantine_evidence_t *evidence = &record->evidence;

	strbuf_addf(text, "%llx %s trial_in_s=%.1f ended_s_ago=",
		    (unsigned long long)evidence->part,
		    quarantine_state_name(quarantine_state(quarantine, record)),
		    (double)(quarantine_trial_at(quarantine, record, 1) - now) /
			    (double)PIMENTO_SEC);
	for (uint32_t i = 0; i < evidence->end_count; i++)
		strbuf_addf(text, "%s%.1f", i ? "," : "",
			    (double)(now - evidence->ends[i].at) /
				    (double)PIMENTO_SEC);
	strbuf_addf(text, "\n");
}

static void list_parts(const quarantine_t *quarantine, httpd_conn_t *conn)
{
	strbuf_t text;

	strbuf_init(&text);
	for (uint32_t i = 0; i < quarantine->count; i++) {
		const quarantine_record_t *record = &quarantine->records[i];

		if (quarantine_state(quarantine, record) != QUARANTINE_CLEAR)
			write_record(&text, quarantine, record, sys_now());
	}
	httpd_answer(conn, HTTP_STATUS_OK, "Content-Type: text/plain\r\n",
		     strbuf_str(&text), text.length);
	strbuf_finish(&text);
}

static int release_part(quarantine_t *quarantine, const char *id)
{
	char *end;
	uint64_t part = strtoull(id, &end, 16);

	if (end == id || *end)
		return HTTP_STATUS_BAD_REQUEST;
	if (!quarantine_find(quarantine, part))
		return HTTP_STATUS_NOT_FOUND;
	quarantine_add_answer(quarantine, part, sys_now());
	trail(TRAIL_STATE, "quarantine", "released", "part=%llx",
	      (unsigned long long)part);
	return HTTP_STATUS_OK;
}

void quarantine_page_serve(gateway_t *gateway, httpd_conn_t *conn)
{
	quarantine_t *quarantine = &gateway->trials.quarantine;
	const char *rest = conn->target.bytes + strlen(QUARANTINE_PAGE_PATH);
	int method = conn->parser.method;

	if (!*rest && method == HTTP_GET)
		list_parts(quarantine, conn);
	else if (*rest == '/' && method == HTTP_DELETE)
		httpd_answer(conn, release_part(quarantine, rest + 1), "", "",
			     0);
	else
		httpd_answer(conn,
			     *rest && *rest != '/'
				     ? HTTP_STATUS_NOT_FOUND
				     : HTTP_STATUS_METHOD_NOT_ALLOWED,
			     "", "", 0);
}
