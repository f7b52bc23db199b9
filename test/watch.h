#ifndef TEST_WATCH_H
#define TEST_WATCH_H

/* What the daemons of a fleet show of themselves, and what the platform saw. */

#include "fleet.h"

/* GET /status as JSON, or NULL; to be released. */
json_t *watch_status(uint16_t port);

/* A number of /status by object and field; -1 if there was no answer. */
int64_t watch_number(uint16_t port, const char *object, const char *field);

/* State of a host or endpoint as one daemon's member list has it; "" none. */
void watch_member(uint16_t port, const char *name, char state[32]);

/* A counter of /metrics, or -1. */
int64_t watch_metric(uint16_t port, const char *name);

/* Waits until a number of /status is the value. Returns 0, or -1. */
int watch_wait(uint16_t port, const char *object, const char *field,
	       int64_t value, int timeout_ms);

/* Waits until every running host has the configuration. Returns 0, or -1. */
int watch_wait_config(const fleet_t *fleet, uint64_t revision, int timeout_ms);

/* Reads and watches that the platforms have counted. */
int64_t watch_platform_calls(const fleet_t *fleet);

/* How every platform behaves from now. Returns 0, or -1. */
int watch_platform_mode(const fleet_t *fleet, const char *mode);

/* Requests that an endpoint has started. */
int watch_started(uint16_t port);

#endif
