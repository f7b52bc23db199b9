#ifndef QUOTA_H
#define QUOTA_H

/*
 * What a client account may use over all entry hosts together: in any window,
 * its rate times the window and its burst. It is kept as a bucket, which needs
 * no memory of single requests. Each host keeps its own
 * view of every bucket; it fills it with what it admits itself, and with what
 * its peers say that they admitted.
 */

#include "quota_share.h"

typedef struct quota_rate {
	double per_second; /* tokens; 0 no limit */
	double burst;
} quota_limit_t;

/* What a host says of an account, in its notes. */
typedef struct quota_word {
	uint32_t account; /* low half of its key */
	double admitted; /* tokens since the host's start */
	double level; /* of the bucket, as the host sees it */
	double asked; /* tokens a second, by its callers lately */
	pimento_usec_t age; /* of that view: what was used before is unknown */
} quota_report_t;

/* A peer and what it last said of one account. */
typedef struct quota_peer {
	uint32_t address;
	uint64_t incarnation;
	double admitted;
	double per_second; /* lately */
	double asked; /* tokens a second */
	pimento_usec_t heard_at;
} quota_peer_t;

typedef struct quota_use {
	pimento_id_t account;
	quota_limit_t rate; /* as last stated */
	double admitted; /* tokens, by this host since its start */
	double level; /* tokens in the bucket */
	bool begun; /* it was settled once */
	bool after_restart; /* it began within a window of a restart */
	pimento_usec_t begun_at; /* first request to this host */
	pimento_usec_t since; /* the view holds what was used since; 0 none */
	bool taken_over; /* from a peer that has known for longer */
	pimento_usec_t followed_at; /* last took a peer's view for its own */
	pimento_usec_t settled; /* when level was last drained */
	quota_share_t share; /* of this host, while the account is scarce */
	quota_peer_t *peers;
	uint32_t peer_count;
} quota_usage_t;

typedef struct quota {
	bool first_start; /* nothing can have been used before this host */
	pimento_usec_t window; /* that the operator counts in */
	pimento_usec_t started_at; /* first request or peer report; 0 none */
	pimento_usec_t hear_every; /* how often a peer is usually heard */
	uint32_t hosts; /* that are heard, this one too */
	bool discovering; /* hosts may be too low to compute a share */
	quota_usage_t *uses;
	uint32_t count;
} quota_t;

void quota_init(quota_t *quota, pimento_usec_t window, bool first_start);
void quota_finish(quota_t *quota);

/*
 * Admits tokens if they fit, and counts them. Returns 0, PIMENTO_EFULL if the
 * account is over its quota, or PIMENTO_ENOMEM.
 */
int quota_admit(quota_t *quota, pimento_id_t account, quota_limit_t rate,
		uint32_t tier, double tokens, pimento_usec_t now);

/* The request was turned away after all and has not run. */
void quota_refund(quota_t *quota, pimento_id_t account, double tokens);

/* When room for tokens may be there again; for a caller told to come back. */
pimento_usec_t quota_retry_after(const quota_t *quota, pimento_id_t account,
				 quota_limit_t rate, double tokens);

/* Tokens in an account's bucket, as this host last saw it. */
double quota_level(const quota_t *quota, pimento_id_t account);

/* Takes a peer's word. Returns 0 or PIMENTO_ENOMEM. */
int quota_receive(quota_t *quota, uint32_t address, uint64_t incarnation,
		  const quota_report_t *word, pimento_usec_t now);

/* This host's words, at most max; returns how many. */
uint32_t quota_reports(quota_t *quota, quota_report_t *words, uint32_t max,
		       pimento_usec_t now);

#endif
