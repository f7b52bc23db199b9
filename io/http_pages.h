#ifndef HTTP_PAGES_H
#define HTTP_PAGES_H

/* ulfius callbacks for http.c; data is an http_t. */

#include "http.h"

int http_keys(const struct _u_request *request, struct _u_response *response,
	      void *data);
int http_health(const struct _u_request *request, struct _u_response *response,
		void *data);
int http_status_page(const struct _u_request *request,
		     struct _u_response *response, void *data);
int http_metrics(const struct _u_request *request, struct _u_response *response,
		 void *data);
int http_burn(const struct _u_request *request, struct _u_response *response,
	      void *data);

#endif
