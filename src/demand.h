#ifndef DEMAND_H
#define DEMAND_H

/*
 * Supply and demand of a service over all hosts, as slot time: how much of it
 * the waiting requests need, how much arrives and how much begins in a second.
 * From these a host expects, when a request arrives, how long it would wait for
 * a slot.
 *
 * Load pattern: demand of two to three times what the endpoints can do, for
 * seconds. A request for which there is no room in time is rejected at once,
 * with its caller's time left; without this it waits until its objective has
 * passed, and then takes a slot from one that could still meet its own.
 *
 * Each host measures its own part and reports it to the service's keeper, one
 * of the hosts, which adds the parts up and replies with the sum. A host that
 * has no recent sum, as after its start or after the death of a keeper, goes by
 * its own part: its own queue and what it begins itself.
 */

#include "../pimentoshelf.h"

/* Distinct ranks that are told apart; others count as a less urgent one. */
#define DEMAND_BANDS_MAX 12

/* Slot times that are told apart within a rank. */
#define DEMAND_EDGES 3

/* Time is cut into this many steps for requests that are to return. */
#define DEMAND_STEPS 20
#define DEMAND_STEP (250 * PIMENTO_MSEC)
#define DEMAND_STEPS_A_SECOND (PIMENTO_SEC / DEMAND_STEP)

/* Rank of requests that can no longer meet their objective. */
#define DEMAND_RANK_OVERDUE UINT64_MAX

/* Requests of one rank. */
typedef struct demand_band {
	uint64_t rank; /* urgency: a lower rank is more urgent */
	double waiting; /* slot time that the waiting requests need */
	double arriving; /* slot time that arrives in a second */
	double arrivals; /* requests that arrive in a second */
	/*
	 * of arriving, what requests take that are shorter than each of some
	 * multiples of the mean slot time of the rank
	 */
	double shorter[DEMAND_EDGES];
} demand_band_t;

/* One host's part, or the sum of all hosts. */
typedef struct demand {
	double beginning; /* slot time of the requests that begin in a second */
	uint32_t hosts; /* in the sum */
	demand_band_t bands[DEMAND_BANDS_MAX]; /* the most urgent first */
	uint32_t band_count;
	/* slot time of the requests that are to return, by step from now on */
	double due[DEMAND_STEPS];
} demand_t;

/* As it goes over the network. */
typedef struct demand_report {
	uint32_t service; /* low half of the service's key */
	uint32_t address; /* of the sender */
	bool is_sum; /* a keeper's reply */
	demand_t demand;
} demand_report_t;

/* What a host measures of one service. */
typedef struct demand_meter {
	demand_t own;
	demand_t sum; /* as the keeper last replied */
	pimento_usec_t sum_at; /* when that came; 0: never */
	pimento_usec_t measured_at;
	pimento_usec_t due_from; /* begin of the first step */
	pimento_usec_t reported_at;
	/* since measured_at, by band: slot time, and requests */
	demand_band_t arrived[DEMAND_BANDS_MAX];
	double begun; /* since measured_at */
} demand_meter_t;

/* A request arrives, or begins at an endpoint; slot_time in microseconds. */
void demand_add_arrival(demand_meter_t *meter, uint64_t rank,
			pimento_usec_t slot_time);
void demand_add_begun(demand_meter_t *meter, pimento_usec_t slot_time);

/*
 * Sets anew what waits: first without any, then by each waiting request. Call
 * demand_measure() afterwards, some times a second.
 */
void demand_clear_waiting(demand_meter_t *meter);
void demand_add_waiting(demand_meter_t *meter, uint64_t rank,
			pimento_usec_t slot_time);
void demand_measure(demand_meter_t *meter, pimento_usec_t now);

/*
 * True if the part is to be reported now: requests wait here or at other hosts.
 * Counts it as reported. hosts: live hosts, which share the keeper's time.
 */
bool demand_report_is_due(demand_meter_t *meter, uint32_t hosts,
			  pimento_usec_t now);

/* The keeper's reply. */
void demand_set_sum(demand_meter_t *meter, const demand_t *sum,
		    pimento_usec_t now);

/* The sum if it is recent enough to go by, else this host's own part. */
const demand_t *demand_current(const demand_meter_t *meter, uint32_t hosts,
			       pimento_usec_t now);

/* Drops the steps that have passed; call before due is read or added to. */
void demand_advance(demand_meter_t *meter, pimento_usec_t now);

/*
 * A rejected request is to return in this step. Until the next sum the other
 * hosts are taken to do the same.
 */
void demand_add_due(demand_meter_t *meter, uint32_t step,
		    pimento_usec_t slot_time);

/* A request for which a slot is wanted. */
typedef struct demand_request {
	uint64_t rank;
	pimento_usec_t slot_time; /* that it is expected to hold a slot */
	/* time after which a slot is of no use to it */
	pimento_usec_t slack;
} demand_request_t;

/*
 * Time until the request would get a slot if it waited from now on;
 * PIMENTO_NEVER if what goes first takes all that begins. Among requests of
 * equal rank those go first that hold their slot for a shorter time. hosts:
 * live hosts, which bound the age of a sum that is used.
 */
pimento_usec_t demand_expected_wait(const demand_meter_t *meter,
				    const demand_request_t *request,
				    uint32_t hosts, pimento_usec_t now);

/*
 * True if a request that arrives is to be rejected: its expected wait leaves no
 * margin before its slack is used up.
 */
bool demand_exceeds(const demand_meter_t *meter,
		    const demand_request_t *request, uint32_t hosts,
		    pimento_usec_t now);

/* The keeper's table of one service: the last report of each host. */
typedef struct demand_part {
	uint32_t address;
	pimento_usec_t received_at;
	demand_t demand;
} demand_part_t;

typedef struct demand_keeper {
	uint32_t service;
	demand_part_t *parts;
	uint32_t count;
	uint32_t size;
} demand_keeper_t;

void demand_keeper_init(demand_keeper_t *keeper, uint32_t service);
void demand_keeper_finish(demand_keeper_t *keeper);

/* Returns 0 or PIMENTO_ENOMEM. */
int demand_keeper_receive(demand_keeper_t *keeper,
			  const demand_report_t *report, pimento_usec_t now);

/* Adds up the reports that are recent enough, and drops the others. */
void demand_keeper_add_up(demand_keeper_t *keeper, uint32_t hosts,
			  pimento_usec_t now, demand_t *sum);

#endif
