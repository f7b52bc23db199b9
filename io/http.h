#ifndef HTTP_H
#define HTTP_H

/*
 * The callers' and operators' interface over HTTP.
 *
 *	POST /v1/completions, /v1/chat/completions	to a model engine
 *	POST /v1/keys		issues idempotency keys
 *	any below a service's prefix			to a plain service
 *	GET /healthz		for the balancer: 200, or 503 when leaving
 *	GET /status, /metrics, /burn			for operators
 */

#include "control.h"

#include <ulfius.h>

typedef struct http {
	control_t *control;
	struct _u_instance instance;
	bool started;
} http_t;

/* Listens at once. Returns 0 or PIMENTO_EIO. control is borrowed. */
int http_init(http_t *http, control_t *control);
void http_finish(http_t *http);

/* Fills a refusal: status, verdict header and JSON body. */
void http_refuse(struct _u_response *response, int error,
		 pimento_verdict_t verdict, pimento_usec_t retry_after,
		 const char *detail);

/* The same for a request that the control thread never heard of. */
int http_refuse_early(struct _u_response *response, int error,
		      const char *detail);

#endif
