#ifndef CTL_ORDER_H
#define CTL_ORDER_H

/*
 * What pimentoctl send is to send, from its arguments.
 */

#include "ctl.h"

#define ENTRIES_MAX 16
#define KEY_BYTES 512
#define VALUE_BYTES 512

typedef struct order {
	const char *entries[ENTRIES_MAX];
	size_t entry_count;
	char api_key[KEY_BYTES];
	const char *contract;
	unsigned long deadline_ms;
	char idempotency_key[KEY_BYTES];
	bool issue_key;
	const char *model;
	unsigned long max_tokens;
	bool stream;
	const char *path;
	const char *method;
	ctl_file_t body; /* prompt, or body of a service call */
	bool has_body;
	char attempt[VALUE_BYTES]; /* told by the last refusal */
	bool help; /* was asked for and printed */
} order_t;

/*
 * Reads arguments, API key and body. Returns CTL_SUCCESS, or CTL_USAGE after a
 * message; order_finish() is due in either case.
 */
int order_init(order_t *order, int argc, char **argv);
void order_finish(order_t *order);

#endif
