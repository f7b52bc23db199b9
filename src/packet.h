#ifndef PACKET_H
#define PACKET_H

/*
 * The typed datagrams between entry hosts, which are encoded as in
 * src/peer.proto. List lengths that are received are limited before the lists
 * are copied into fixed arrays.
 */

#include "demand.h"
#include "grants.h"
#include "quota_fleet.h"
#include "peers.h"

/* Maximum size of an encoded packet in bytes, below the smallest MTU in use. */
#define PACKET_BYTES_MAX 1400

typedef enum packet_kind {
	PACKET_GOSSIP,
	PACKET_SLOT_REQUEST,
	PACKET_SLOT_REPLY,
	PACKET_SLOT_RELEASE,
	PACKET_RUNNING_REPORT,
	PACKET_QUOTA,
	PACKET_TRIAL,
	PACKET_RATE_LIMIT,
	PACKET_DEMAND,
	PACKET_DEPARTURE,
	PACKET_BACKOFF
} packet_kind_t;

typedef enum packet_trial_kind {
	PACKET_TRIAL_REQUEST,
	PACKET_TRIAL_GRANT,
	PACKET_TRIAL_DENIAL,
	PACKET_TRIAL_RELEASE,
	PACKET_TRIAL_EVIDENCE, /* of no trial: to the owner, or from it to all */
	PACKET_TRIAL_KINDS
} packet_trial_kind_t;

/* A trial of a request that is not clear, or with such a part; see quarantine.h. */
typedef struct packet_trial {
	packet_trial_kind_t kind;
	uint32_t address; /* of the sender */
	uint64_t ticket;
	uint32_t suspects;
	quarantine_evidence_t evidence; /* times in it are negative ages */
} packet_trial_t;

typedef struct packet_slot_reply {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	uint64_t ticket; /* ticket of the slot request that is answered */
	bool granted;
	registry_report_t report; /* the owner's report on the endpoint */
} packet_slot_reply_t;

typedef struct packet_slot_release {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	uint32_t address; /* address of the host that releases the slot */
	/* ticket of the slot request; 0: reports an outcome, frees no slot */
	uint64_t ticket;
	uint32_t gap_us; /* mean gap of the stream's events; 0 if unknown */
	latency_outcome_t outcome;
	bool unused; /* no request was sent with the slot */
} packet_slot_release_t;

/* Number of requests that a host has in flight, sent to the endpoint's owner. */
typedef struct packet_running_report {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	uint32_t address; /* address of the reporting host */
	/* requests that the host has in flight at the endpoint */
	uint32_t running;
} packet_running_report_t;

/* An endpoint from which the receiver is to back off; see backoff.h. */
typedef struct packet_backoff {
	uint32_t endpoint; /* low 32 bits of the endpoint's key */
	uint32_t process; /* registry_process_id() */
	pimento_usec_t span;
} packet_backoff_t;

typedef struct packet {
	packet_kind_t kind;
	union {
		gossip_message_t gossip;
		grants_request_t slot_request;
		packet_slot_reply_t slot_reply;
		packet_slot_release_t slot_release;
		packet_running_report_t running_report;
		quota_message_t quota;
		packet_trial_t trial;
		rate_limit_report_t rate_limit;
		demand_report_t demand;
		departure_t departure; /* at: how long ago */
		packet_backoff_t backoff;
	} as;
} packet_t;

/*
 * Encodes a packet. Returns the number of bytes written, PIMENTO_EINVAL for an
 * unknown kind, or PIMENTO_ETOOBIG. Lists of a gossip message are shortened to fit.
 */
int packet_pack(const packet_t *packet, uint8_t *bytes, size_t size);
/* Decodes a packet. Returns 0 or PIMENTO_EPARSE. */
int packet_unpack(packet_t *packet, const uint8_t *bytes, size_t length);

#endif
