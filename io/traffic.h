#ifndef TRAFFIC_H
#define TRAFFIC_H

/*
 * Traffic threads: one for each exchange with an endpoint. The commit to the
 * control thread stands between the connection and the first byte.
 */

#include "control.h"

/*
 * Starts a thread for a DISPATCH, FOLLOW or CANCEL action. address and port
 * are the endpoint's. Takes its own reference to the call. Returns 0 or
 * PIMENTO_EIO, after which nothing was sent.
 */
int traffic_start(control_t *control, call_t *call,
		  const pimento_action_t *action, const char *address,
		  uint16_t port);

/* Threads still running. */
uint32_t traffic_running(void);

#endif
