#include "quarantine_page.h"

#include "sys.h"
#include "trail.h"

#include <stdlib.h>
#include <string.h>

static void write_record(strbuf_t *text, const quarantine_t *quarantine,
			 const quarantine_record_t *record, pimento_usec_t now)
{
	const quarantine_evidence_t *evidence = &record->evidence;

	if (quarantine->kind != QUARANTINE_PARTS)
		strbuf_addf(text, "%s/",
			    quarantine_kind_name(quarantine->kind));
	strbuf_addf(text, "%llx %s trial_in_s=%.1f ended_s_ago=",
		    (unsigned long long)evidence->id,
		    quarantine_state_name(quarantine_state(quarantine, record)),
		    (double)(quarantine_trial_at(quarantine, record, 1) - now) /
			    (double)PIMENTO_SEC);
	for (uint32_t i = 0; i < evidence->end_count; i++)
		strbuf_addf(text, "%s%.1f", i ? "," : "",
			    (double)(now - evidence->ends[i].at) /
				    (double)PIMENTO_SEC);
	strbuf_addf(text, "\n");
}

static void add_records(strbuf_t *text, const quarantine_t *quarantine)
{
	for (uint32_t i = 0; i < quarantine->count; i++) {
		const quarantine_record_t *record = &quarantine->records[i];

		if (quarantine_state(quarantine, record) != QUARANTINE_CLEAR)
			write_record(text, quarantine, record, sys_now());
	}
}

static void list_records(const quarantine_t *quarantines, httpd_conn_t *conn)
{
	strbuf_t text;

	strbuf_init(&text);
	for (int kind = 0; kind < QUARANTINE_KINDS; kind++)
		add_records(&text, &quarantines[kind]);
	httpd_answer(conn, HTTP_STATUS_OK, "Content-Type: text/plain\r\n",
		     strbuf_str(&text), text.length);
	strbuf_finish(&text);
}

static int release(quarantine_t *quarantine, const char *text)
{
	char *end;
	uint64_t id = strtoull(text, &end, 16);

	if (end == text || *end)
		return HTTP_STATUS_BAD_REQUEST;
	if (!quarantine_find(quarantine, id))
		return HTTP_STATUS_NOT_FOUND;
	quarantine_add_answer(quarantine, id, sys_now());
	trail(TRAIL_STATE, "quarantine", "released", "%s=%llx",
	      quarantine_kind_name(quarantine->kind), (unsigned long long)id);
	return HTTP_STATUS_OK;
}

/* Parts are listed by their id alone, other kinds as KIND/ID. */
static int release_listed(quarantine_t *quarantines, const char *text)
{
	for (int i = QUARANTINE_PARTS + 1; i < QUARANTINE_KINDS; i++) {
		const char *kind = quarantine_kind_name((quarantine_kind_t)i);
		size_t length = strlen(kind);

		if (strncmp(text, kind, length) == 0 && text[length] == '/')
			return release(&quarantines[i], text + length + 1);
	}
	return release(&quarantines[QUARANTINE_PARTS], text);
}

void quarantine_page_serve(gateway_t *gateway, httpd_conn_t *conn)
{
	quarantine_t *quarantines = gateway->trials.quarantines;
	const char *rest = conn->target.bytes + strlen(QUARANTINE_PAGE_PATH);
	int method = conn->parser.method;

	if (!*rest && method == HTTP_GET)
		list_records(quarantines, conn);
	else if (*rest == '/' && method == HTTP_DELETE)
		httpd_answer(conn, release_listed(quarantines, rest + 1), "",
			     "", 0);
	else
		httpd_answer(conn,
			     *rest && *rest != '/'
				     ? HTTP_STATUS_NOT_FOUND
				     : HTTP_STATUS_METHOD_NOT_ALLOWED,
			     "", "", 0);
}
