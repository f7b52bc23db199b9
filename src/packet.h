#ifndef PACKET_H
#define PACKET_H

/*
 * The datagrams between entry hosts, typed. src/peer.proto is their encoding;
 * what comes from the network is bounded before it is copied.
 */

#include "grants.h"
#include "quota_fleet.h"
#include "peers.h"

/* Bytes of an encoded packet, below the least MTU in use. */
#define PACKET_BYTES_MAX 1400

typedef enum packet_kind {
	PACKET_GOSSIP,
	PACKET_SLOT_REQUEST,
	PACKET_SLOT_REPLY,
	PACKET_SLOT_RELEASE,
	PACKET_RUNNING_REPORT,
	PACKET_QUOTA
} packet_kind_t;

typedef struct packet_slot_reply {
	uint32_t endpoint;
	uint64_t ticket;
	bool granted;
	registry_report_t report;
} packet_slot_reply_t;

typedef struct packet_slot_release {
	uint32_t endpoint;
	uint32_t address;
	uint64_t ticket;
	uint32_t gap_us; /* mean that the request has seen; 0 none */
	latency_outcome_t outcome;
} packet_slot_release_t;

/* What a host has in flight at an endpoint, for the endpoint's owner. */
typedef struct packet_running_report {
	uint32_t endpoint;
	uint32_t address;
	uint32_t running;
} packet_running_report_t;

typedef struct packet {
	packet_kind_t kind;
	union {
		gossip_message_t gossip;
		grants_request_t slot_request;
		packet_slot_reply_t slot_reply;
		packet_slot_release_t slot_release;
		packet_running_report_t running_report;
		quota_message_t quota;
	} as;
} packet_t;

/* Returns the bytes written, or a negative error. */
int packet_pack(const packet_t *packet, uint8_t *bytes, size_t size);
/* Returns 0 or PIMENTO_EPARSE. */
int packet_unpack(packet_t *packet, const uint8_t *bytes, size_t length);

#endif
